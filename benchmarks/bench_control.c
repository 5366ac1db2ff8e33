#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "fleet.h"

/* Slopes of the control plane: bytes by kind, CPU, memory and the time until
   a change is known by all, for several sizes of the fleet.

   Usage: bench_control [--size N]... [--no-traffic] [--agent-cores]  */

#define FULL_BALANCERS 460
#define FULL_AGENTS 3400
#define FULL_SERVICES 710
#define FULL_CUSTOMERS 142
#define MAX_SIZES 8
#define STEP_US (10 * FLEET_MS)
#define START_LIMIT_US (180 * FLEET_S)
#define SETTLE_US (30 * FLEET_S)
#define STEADY_US (20 * FLEET_S)
#define CHANGE_LIMIT_US (60 * FLEET_S)
/* One of 1,200 changes a day comes every 72 s.  */
#define CHANGE_PERIOD_US (72 * FLEET_S)
/* A contract of this size does not fit into a datagram.  */
#define LARGE_CONTRACT_BYTES 3000
#define CONFIRM_STEP_US (100 * FLEET_MS)

struct options_
{
  unsigned sizes[MAX_SIZES];
  unsigned size_count;
  bool traffic;
  bool agent_cores;
};

static unsigned
scale_ (unsigned full, unsigned balancers, unsigned min)
{
  return MAX (min, full * balancers / FULL_BALANCERS);
}

static struct fleet *
start_fleet_ (const struct options_ *o, unsigned balancers)
{
  struct fleet_settings s
      = { .balancers = balancers,
          .agents = scale_ (FULL_AGENTS, balancers, 10),
          .services = scale_ (FULL_SERVICES, balancers, 4),
          .customers = scale_ (FULL_CUSTOMERS, balancers, 2),
          .seed = 1,
          .delay_us = 5 * FLEET_MS,
          .jitter_percent = 20,
          .loss_percent = 1,
          .agent_cores = o->agent_cores,
          .traffic = o->traffic };

  printf ("\n== %u balancers, %u agents, %u services, %u customers, "
          "customer traffic %s, %s\n",
          s.balancers, s.agents, s.services, s.customers,
          o->traffic ? "on" : "off",
          o->agent_cores ? "agent cores" : "heartbeat generators");
  return fleet_new (&s);
}

/* Figures.  */

struct sum_
{
  uint64_t in[RGY_MSG_KIND_COUNT];
  uint64_t out[RGY_MSG_KIND_COUNT];
  uint64_t in_all;
  uint64_t out_all;
  uint64_t worst; /* In and out together, of one balancer.  */
  int64_t cpu_ns;
  int64_t worst_cpu_ns;
};

static void
sum_balancers_ (struct fleet *f, struct sum_ *s)
{
  unsigned n = fleet_get_balancer_count (f);
  unsigned i;
  unsigned k;

  memset (s, 0, sizeof *s);
  for (i = 0; i < n; i++)
    {
      const struct fleet_balancer *b = fleet_get_balancer (f, i);
      uint64_t both = 0;

      for (k = 0; k < RGY_MSG_KIND_COUNT; k++)
        {
          s->in[k] += b->in.bytes[k];
          s->out[k] += b->out.bytes[k];
          s->in_all += b->in.bytes[k];
          s->out_all += b->out.bytes[k];
          both += b->in.bytes[k] + b->out.bytes[k];
        }
      s->worst = MAX (s->worst, both);
      s->cpu_ns += b->cpu_ns;
      s->worst_cpu_ns = MAX (s->worst_cpu_ns, b->cpu_ns);
    }
}

static void
print_figures_ (struct fleet *f, const char *what, int64_t duration_us)
{
  double n = fleet_get_balancer_count (f);
  double seconds = (double)duration_us / (double)FLEET_S;
  struct sum_ s;
  unsigned k;

  sum_balancers_ (f, &s);
  printf ("%s, per balancer over %.0f s: in %.0f B/s, out %.0f B/s, most "
          "loaded in+out %.0f B/s, CPU %.3f%% (most loaded %.3f%%)\n",
          what, seconds, (double)s.in_all / n / seconds,
          (double)s.out_all / n / seconds, (double)s.worst / seconds,
          (double)s.cpu_ns / 1e7 / n / seconds,
          (double)s.worst_cpu_ns / 1e7 / seconds);
  for (k = 0; k < RGY_MSG_KIND_COUNT; k++)
    if (s.in[k] + s.out[k] > 0)
      printf ("    %-14s in %7.0f B/s  out %7.0f B/s\n",
              rgy_message_kind_string[k], (double)s.in[k] / n / seconds,
              (double)s.out[k] / n / seconds);
}

static void
print_agent_figures_ (struct fleet *f, unsigned agents, int64_t duration_us)
{
  double seconds = (double)duration_us / (double)FLEET_S;
  struct fleet_traffic in = { 0 };
  struct fleet_traffic out = { 0 };
  uint64_t store_writes = 0;
  int64_t cpu_ns = 0;
  unsigned i;
  unsigned k;

  for (i = 0; i < agents; i++)
    {
      const struct fleet_agent *a = fleet_get_agent (f, i);

      cpu_ns += a->cpu_ns;
      store_writes += a->store_writes;
      for (k = 0; k < RGY_MSG_KIND_COUNT; k++)
        {
          in.bytes[k] += a->in.bytes[k];
          out.bytes[k] += a->out.bytes[k];
        }
    }
  printf ("one agent: CPU %.4f%%, store writes %" PRIu64 "\n",
          (double)cpu_ns / 1e7 / agents / seconds, store_writes);
  for (k = 0; k < RGY_MSG_KIND_COUNT; k++)
    if (in.bytes[k] + out.bytes[k] > 0)
      printf ("    %-14s in %7.0f B/s  out %7.0f B/s\n",
              rgy_message_kind_string[k],
              (double)in.bytes[k] / agents / seconds,
              (double)out.bytes[k] / agents / seconds);
}

/* Memory.  */

static size_t
heap_bytes_ (void)
{
  struct mallinfo2 m = mallinfo2 ();

  return m.uordblks + m.hblkhd;
}

static void
print_memory_ (struct fleet *f)
{
  const struct rgy_replica *r
      = rgy_balancer_get_blackboard (fleet_get_balancer (f, 0)->core)->replica;
  size_t entries = 0;
  unsigned c;

  for (c = 0; c < RGY_ENTRY_CLASS_COUNT; c++)
    entries += rgy_replica_get_count (r, (enum rgy_entry_class)c);
  printf ("memory of a balancer: replica %zu entries, %zu B, %.0f B an entry, "
          "%zu updates queued\n",
          entries, rgy_replica_get_memory (r),
          (double)rgy_replica_get_memory (r) / (double)entries,
          rgy_replica_get_update_count (r));
}

/* Phases.  */

static unsigned
count_complete_ (struct fleet *f)
{
  unsigned done = 0;
  unsigned i;

  for (i = 0; i < fleet_get_balancer_count (f); i++)
    if (fleet_balancer_is_complete (f, fleet_get_balancer (f, i)))
      done++;
  return done;
}

/* The start of everything at once leaves more updates than gossip sends in
   minutes, although all know them.  They are dropped, so that the phases after
   it show the ordinary state.  */
static void
drop_updates_ (struct fleet *f)
{
  const struct rgy_entry *entry;
  unsigned i;

  for (i = 0; i < fleet_get_balancer_count (f); i++)
    {
      struct rgy_replica *r
          = rgy_balancer_get_blackboard (fleet_get_balancer (f, i)->core)
                ->replica;

      while (rgy_replica_take_updates (r, 1, 1 << 20, &entry, 1) > 0)
        ;
    }
}

static void
phase_start_ (struct fleet *f)
{
  unsigned n = fleet_get_balancer_count (f);
  int64_t start_us = fleet_now_us (f);
  int64_t from_us = 0;

  while (count_complete_ (f) < n
         && fleet_now_us (f) - start_us < START_LIMIT_US)
    fleet_run (f, 100 * FLEET_MS);
  printf ("start of everything at once: %u of %u balancers complete after "
          "%" PRId64 " ms\n",
          count_complete_ (f), n, (fleet_now_us (f) - start_us) / FLEET_MS);
  from_us = fleet_now_us (f) - start_us;
  print_figures_ (f, "start", from_us);
  fleet_reset_figures (f);
  fleet_run (f, SETTLE_US);
  print_figures_ (f, "30 s after the start", SETTLE_US);
  drop_updates_ (f);
  fleet_run (f, FLEET_S);
}

static void
phase_steady_ (struct fleet *f, unsigned agents)
{
  fleet_reset_figures (f);
  fleet_run (f, STEADY_US);
  print_figures_ (f, "steady state", STEADY_US);
  print_agent_figures_ (f, agents, STEADY_US);
  printf ("readers of the store %u, writes of balancers %" PRIu64 "\n",
          fleet_get_reader_count (f), fleet_get_store_writes (f));
  print_memory_ (f);
}

static void
phase_contract_ (struct fleet *f, unsigned agents, unsigned customer,
                 size_t min_bytes, const char *what)
{
  unsigned n = fleet_get_balancer_count (f);
  int64_t start_us = fleet_now_us (f);
  int64_t balancers_us = -1;
  int64_t agents_us = -1;
  int64_t confirmed_us = -1;
  int64_t at_us = 0;
  uint64_t revision;
  unsigned done;
  unsigned i;

  fleet_reset_figures (f);
  revision = fleet_put_contract (f, customer, min_bytes);
  while (at_us < CHANGE_LIMIT_US
         && (balancers_us < 0 || agents_us < 0 || confirmed_us < 0))
    {
      fleet_run (f, STEP_US);
      at_us = fleet_now_us (f) - start_us;
      if (balancers_us < 0)
        {
          for (i = 0, done = 0; i < n; i++)
            done += fleet_balancer_has_contract (f, fleet_get_balancer (f, i),
                                                 customer, revision);
          if (done == n)
            balancers_us = at_us;
        }
      if (agents_us < 0)
        {
          for (i = 0, done = 0; i < agents; i++)
            done += fleet_agent_has_contract (f, fleet_get_agent (f, i),
                                              customer, revision);
          if (done == agents)
            agents_us = at_us;
        }
      if (confirmed_us < 0 && at_us % CONFIRM_STEP_US == 0
          && fleet_is_confirmed (f, n - 1, customer, revision))
        confirmed_us = at_us;
    }
  printf ("%s: known by all balancers after %" PRId64
          " ms, by all agents after %" PRId64 " ms, confirmed after %" PRId64
          " ms (-1: not within 60 s)\n",
          what, balancers_us / FLEET_MS, agents_us / FLEET_MS,
          confirmed_us / FLEET_MS);
  if (at_us < CHANGE_PERIOD_US)
    fleet_run (f, CHANGE_PERIOD_US - at_us);
  print_figures_ (f, what, CHANGE_PERIOD_US);
}

static unsigned
count_knowing_ (struct fleet *f, const struct fleet_agent *a)
{
  unsigned done = 0;
  unsigned i;

  for (i = 0; i < fleet_get_balancer_count (f); i++)
    done += fleet_balancer_has_agent (fleet_get_balancer (f, i), a);
  return done;
}

static void
phase_agent_ (struct fleet *f)
{
  int64_t start_us = fleet_now_us (f);
  const struct fleet_agent *a = fleet_get_agent (f, 0);

  fleet_restart_agent (f, 0);
  while (count_knowing_ (f, a) < fleet_get_balancer_count (f)
         && fleet_now_us (f) - start_us < CHANGE_LIMIT_US)
    fleet_run (f, STEP_US);
  printf ("change of one agent: known by %u of %u balancers after %" PRId64
          " ms\n",
          count_knowing_ (f, a), fleet_get_balancer_count (f),
          (fleet_now_us (f) - start_us) / FLEET_MS);
  fleet_run (f, SETTLE_US);
}

static void
phase_domain_ (struct fleet *f, unsigned agents)
{
  unsigned returning = agents / FLEET_DOMAINS;
  int64_t start_us = fleet_now_us (f);
  int64_t half_us = -1;
  uint64_t done = 0;
  uint64_t all = (uint64_t)returning * fleet_get_balancer_count (f);
  unsigned i;

  fleet_reset_figures (f);
  for (i = 0; i < returning; i++)
    fleet_restart_agent (f, i);
  while (done < all && fleet_now_us (f) - start_us < 2 * CHANGE_LIMIT_US)
    {
      fleet_run (f, 10 * STEP_US);
      for (i = 0, done = 0; i < returning; i++)
        done += count_knowing_ (f, fleet_get_agent (f, i));
      if (half_us < 0 && 2 * done >= all)
        half_us = fleet_now_us (f) - start_us;
    }
  printf ("restart of %u agents at once: half of all pairs of balancer and "
          "agent after %" PRId64 " ms, %.2f%% after %" PRId64 " ms\n",
          returning, half_us / FLEET_MS, 100.0 * (double)done / (double)all,
          (fleet_now_us (f) - start_us) / FLEET_MS);
  print_figures_ (f, "until then", fleet_now_us (f) - start_us);
  fleet_run (f, CHANGE_LIMIT_US);
}

static void
phase_new_balancer_ (struct fleet *f)
{
  size_t before = heap_bytes_ ();
  struct fleet_balancer *b = fleet_add_balancer (f);
  int64_t start_us = fleet_now_us (f);
  unsigned n = fleet_get_balancer_count (f);
  uint64_t sync;
  unsigned i;
  unsigned known = 0;

  fleet_reset_figures (f);
  while (!fleet_balancer_is_complete (f, b)
         && fleet_now_us (f) - start_us < CHANGE_LIMIT_US)
    fleet_run (f, STEP_US);
  sync = b->in.bytes[RGY_MSG_SYNC_REPLY];
  for (i = 0; i < n; i++)
    known += rgy_blackboard_get_balancer (
                 rgy_balancer_get_blackboard (fleet_get_balancer (f, i)->core),
                 &b->id)
             != NULL;
  printf ("new balancer: complete after %" PRId64 " ms, known by %u of %u, "
          "pulled %" PRIu64 " B, CPU %.1f ms, heap %.2f MB, %zu updates "
          "queued\n",
          (fleet_now_us (f) - start_us) / FLEET_MS, known, n, sync,
          (double)b->cpu_ns / 1e6, (double)(heap_bytes_ () - before) / 1e6,
          rgy_replica_get_update_count (
              rgy_balancer_get_blackboard (b->core)->replica));
  fleet_reset_figures (f);
  fleet_run (f, SETTLE_US);
  printf (
      "    in the 30 s after: gossip out %.0f B/s\n",
      (double)(b->out.bytes[RGY_MSG_GOSSIP] + b->out.bytes[RGY_MSG_GOSSIP_ACK])
          * (double)FLEET_S / (double)SETTLE_US);
}

static void
run_size_ (const struct options_ *o, unsigned balancers)
{
  struct fleet *f = start_fleet_ (o, balancers);
  unsigned agents = scale_ (FULL_AGENTS, balancers, 10);
  int64_t start_ns = bench_wall_ns ();

  phase_start_ (f);
  phase_steady_ (f, agents);
  phase_contract_ (f, agents, 0, 0, "contract change");
  phase_contract_ (f, agents, 1, LARGE_CONTRACT_BYTES, "large contract");
  phase_agent_ (f);
  phase_domain_ (f, agents);
  phase_new_balancer_ (f);
  printf ("%.0f s of wall time for %.0f virtual seconds\n",
          (double)(bench_wall_ns () - start_ns) / 1e9,
          (double)fleet_now_us (f) / (double)FLEET_S);
  fleet_delete (f);
}

static bool
parse_ (int argc, char **argv, struct options_ *o)
{
  int i;

  for (i = 1; i < argc; i++)
    if (strcmp (argv[i], "--no-traffic") == 0)
      o->traffic = false;
    else if (strcmp (argv[i], "--agent-cores") == 0)
      o->agent_cores = true;
    else if (strcmp (argv[i], "--size") == 0 && i + 1 < argc
             && o->size_count < MAX_SIZES)
      {
        guint64 size;

        if (!g_ascii_string_to_unsigned (argv[++i], 10, 4, 1000, &size, NULL))
          {
            fprintf (stderr, "--size: '%s': an integer from 4 to 1000\n",
                     argv[i]);
            return false;
          }
        o->sizes[o->size_count++] = (unsigned)size;
      }
    else
      {
        fprintf (stderr,
                 "usage: %s [--size N]... [--no-traffic] [--agent-cores]\n",
                 argv[0]);
        return false;
      }
  return true;
}

int
main (int argc, char **argv)
{
  static const unsigned defaults[] = { 10, 40, 120, 460 };
  struct options_ o = { .traffic = true };
  unsigned i;

  if (!parse_ (argc, argv, &o))
    return 2;
  setvbuf (stdout, NULL, _IOLBF, 0);
  if (o.size_count == 0)
    {
      memcpy (o.sizes, defaults, sizeof defaults);
      o.size_count = G_N_ELEMENTS (defaults);
    }
  for (i = 0; i < o.size_count; i++)
    run_size_ (&o, o.sizes[i]);
  return 0;
}
