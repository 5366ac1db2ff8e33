#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "fleet.h"

/* Benchmark of the control plane.  For several fleet sizes, the program prints
   the bytes of each message kind, the CPU time, the memory and the time until
   a change has reached every instance, to show how they grow with the fleet.

   Usage: bench_control [--size N]... [--no-traffic] [--agent-cores]  */

/* Numbers of the full fleet; fleets of other sizes keep its proportions.  */
#define FULL_BALANCERS 460
#define FULL_AGENTS 3400
#define FULL_SERVICES 710
#define FULL_CUSTOMERS 142
#define MAX_SIZES 8
#define STEP_US (10 * FLEET_MS)
#define START_TIMEOUT_US (180 * FLEET_S)
#define SETTLE_US (30 * FLEET_S)
#define STEADY_US (20 * FLEET_S)
#define CHANGE_TIMEOUT_US (60 * FLEET_S)
/* The full fleet has 1,200 contract changes a day, which is one every 72 s. */
#define CHANGE_PERIOD_US (72 * FLEET_S)
/* A contract of this size does not fit into one datagram.  */
#define LARGE_CONTRACT_BYTES 3000
#define CONFIRM_INTERVAL_US (100 * FLEET_MS)

struct options_
{
  unsigned sizes[MAX_SIZES];
  unsigned size_count;
  bool traffic;
  bool agent_cores;
};

static unsigned
scale_to_fleet_ (unsigned full, unsigned balancers, unsigned min)
{
  return MAX (min, full * balancers / FULL_BALANCERS);
}

static struct fleet *
start_fleet_ (const struct options_ *o, unsigned balancers)
{
  struct fleet_settings s
      = { .balancers = balancers,
          .agents = scale_to_fleet_ (FULL_AGENTS, balancers, 10),
          .services = scale_to_fleet_ (FULL_SERVICES, balancers, 4),
          .customers = scale_to_fleet_ (FULL_CUSTOMERS, balancers, 2),
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

/* Traffic and CPU time of all balancers since the last reset.  */
struct balancer_totals_
{
  uint64_t in[RGY_MSG_KIND_COUNT];
  uint64_t out[RGY_MSG_KIND_COUNT];
  uint64_t total_in;
  uint64_t total_out;
  uint64_t max_bytes; /* Bytes in and out of the most loaded balancer.  */
  int64_t cpu_ns;
  int64_t max_cpu_ns;
};

static void
sum_balancer_totals_ (struct fleet *f, struct balancer_totals_ *s)
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
          s->total_in += b->in.bytes[k];
          s->total_out += b->out.bytes[k];
          both += b->in.bytes[k] + b->out.bytes[k];
        }
      s->max_bytes = MAX (s->max_bytes, both);
      s->cpu_ns += b->cpu_ns;
      s->max_cpu_ns = MAX (s->max_cpu_ns, b->cpu_ns);
    }
}

static void
print_balancer_statistics_ (struct fleet *f, const char *what,
                            int64_t duration_us)
{
  double n = fleet_get_balancer_count (f);
  double seconds = (double)duration_us / (double)FLEET_S;
  struct balancer_totals_ s;
  unsigned k;

  sum_balancer_totals_ (f, &s);
  printf ("%s, per balancer over %.0f s: in %.0f B/s, out %.0f B/s, most "
          "loaded in+out %.0f B/s, CPU %.3f%% (most loaded %.3f%%)\n",
          what, seconds, (double)s.total_in / n / seconds,
          (double)s.total_out / n / seconds, (double)s.max_bytes / seconds,
          (double)s.cpu_ns / 1e7 / n / seconds,
          (double)s.max_cpu_ns / 1e7 / seconds);
  for (k = 0; k < RGY_MSG_KIND_COUNT; k++)
    if (s.in[k] + s.out[k] > 0)
      printf ("    %-14s in %7.0f B/s  out %7.0f B/s\n",
              rgy_message_kind_string[k], (double)s.in[k] / n / seconds,
              (double)s.out[k] / n / seconds);
}

static void
print_agent_statistics_ (struct fleet *f, unsigned agents, int64_t duration_us)
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

/* Bytes that the process has allocated from the heap.  */
static size_t
get_heap_bytes_ (void)
{
  struct mallinfo2 m = mallinfo2 ();

  return m.uordblks + m.hblkhd;
}

static void
print_replica_memory_ (struct fleet *f)
{
  const struct rgy_replica *r
      = rgy_balancer_get_blackboard (fleet_get_balancer (f, 0)->core)->replica;
  size_t entries = 0;
  unsigned c;

  for (c = 0; c < RGY_ENTRY_CLASS_COUNT; c++)
    entries += rgy_replica_get_count (r, (enum rgy_entry_class)c);
  printf (
      "memory of a balancer: replica %zu entries, %zu B, %.0f B per entry, "
      "%zu updates queued\n",
      entries, rgy_replica_get_memory (r),
      (double)rgy_replica_get_memory (r) / (double)entries,
      rgy_replica_get_update_count (r));
}

static unsigned
count_complete_balancers_ (struct fleet *f)
{
  unsigned done = 0;
  unsigned i;

  for (i = 0; i < fleet_get_balancer_count (f); i++)
    if (fleet_balancer_is_complete (f, fleet_get_balancer (f, i)))
      done++;
  return done;
}

/* Discards the queued gossip updates of all balancers.  The simultaneous start
   of all instances queues more updates than gossip sends in minutes, although
   every balancer has them already.  Without these updates the next phases show
   the ordinary state.  */
static void
discard_queued_updates_ (struct fleet *f)
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

/* Waits until every balancer has all entries after the simultaneous start of
   all instances, then runs on until the fleet has settled.  */
static void
run_start_phase_ (struct fleet *f)
{
  unsigned n = fleet_get_balancer_count (f);
  int64_t start_us = fleet_now_us (f);
  int64_t elapsed_us = 0;

  while (count_complete_balancers_ (f) < n
         && fleet_now_us (f) - start_us < START_TIMEOUT_US)
    fleet_run (f, 100 * FLEET_MS);
  printf (
      "simultaneous start of all instances: %u of %u balancers complete after "
      "%" PRId64 " ms\n",
      count_complete_balancers_ (f), n,
      (fleet_now_us (f) - start_us) / FLEET_MS);
  elapsed_us = fleet_now_us (f) - start_us;
  print_balancer_statistics_ (f, "start", elapsed_us);
  fleet_reset_statistics (f);
  fleet_run (f, SETTLE_US);
  print_balancer_statistics_ (f, "in the 30 s after the start", SETTLE_US);
  discard_queued_updates_ (f);
  fleet_run (f, FLEET_S);
}

static void
run_steady_phase_ (struct fleet *f, unsigned agents)
{
  fleet_reset_statistics (f);
  fleet_run (f, STEADY_US);
  print_balancer_statistics_ (f, "steady state", STEADY_US);
  print_agent_statistics_ (f, agents, STEADY_US);
  printf (
      "balancers that watch the store %u, store writes by balancers %" PRIu64
      "\n",
      fleet_get_reader_count (f), fleet_get_store_writes (f));
  print_replica_memory_ (f);
}

/* Changes a contract and measures when all balancers and all agents have it
   and when a balancer reports it as confirmed; then runs on to the end of the
   period between two changes of the full fleet.  */
static void
run_contract_phase_ (struct fleet *f, unsigned agents, unsigned customer,
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

  fleet_reset_statistics (f);
  revision = fleet_put_contract (f, customer, min_bytes);
  while (at_us < CHANGE_TIMEOUT_US
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
      if (confirmed_us < 0 && at_us % CONFIRM_INTERVAL_US == 0
          && fleet_is_contract_confirmed (f, n - 1, customer, revision))
        confirmed_us = at_us;
    }
  printf ("%s: received by all balancers after %" PRId64
          " ms, by all agents after %" PRId64 " ms, confirmed after %" PRId64
          " ms (-1: not within 60 s)\n",
          what, balancers_us / FLEET_MS, agents_us / FLEET_MS,
          confirmed_us / FLEET_MS);
  if (at_us < CHANGE_PERIOD_US)
    fleet_run (f, CHANGE_PERIOD_US - at_us);
  print_balancer_statistics_ (f, what, CHANGE_PERIOD_US);
}

/* Number of balancers that have the agent's record of its current epoch.  */
static unsigned
count_balancers_with_agent_ (struct fleet *f, const struct fleet_agent *a)
{
  unsigned done = 0;
  unsigned i;

  for (i = 0; i < fleet_get_balancer_count (f); i++)
    done += fleet_balancer_has_agent (fleet_get_balancer (f, i), a);
  return done;
}

static void
run_agent_restart_phase_ (struct fleet *f)
{
  int64_t start_us = fleet_now_us (f);
  const struct fleet_agent *a = fleet_get_agent (f, 0);

  fleet_restart_agent (f, 0);
  while (count_balancers_with_agent_ (f, a) < fleet_get_balancer_count (f)
         && fleet_now_us (f) - start_us < CHANGE_TIMEOUT_US)
    fleet_run (f, STEP_US);
  printf ("restart of one agent: known to %u of %u balancers after %" PRId64
          " ms\n",
          count_balancers_with_agent_ (f, a), fleet_get_balancer_count (f),
          (fleet_now_us (f) - start_us) / FLEET_MS);
  fleet_run (f, SETTLE_US);
}

/* Restarts as many agents as one failure domain has, all at once.  */
static void
run_domain_restart_phase_ (struct fleet *f, unsigned agents)
{
  unsigned restart_count = agents / FLEET_DOMAINS;
  int64_t start_us = fleet_now_us (f);
  int64_t half_us = -1;
  uint64_t done = 0;
  uint64_t all = (uint64_t)restart_count * fleet_get_balancer_count (f);
  unsigned i;

  fleet_reset_statistics (f);
  for (i = 0; i < restart_count; i++)
    fleet_restart_agent (f, i);
  while (done < all && fleet_now_us (f) - start_us < 2 * CHANGE_TIMEOUT_US)
    {
      fleet_run (f, 10 * STEP_US);
      for (i = 0, done = 0; i < restart_count; i++)
        done += count_balancers_with_agent_ (f, fleet_get_agent (f, i));
      if (half_us < 0 && 2 * done >= all)
        half_us = fleet_now_us (f) - start_us;
    }
  printf (
      "simultaneous restart of %u agents: half of all pairs of balancer and "
      "agent complete after %" PRId64 " ms, %.2f%% after %" PRId64 " ms\n",
      restart_count, half_us / FLEET_MS, 100.0 * (double)done / (double)all,
      (fleet_now_us (f) - start_us) / FLEET_MS);
  print_balancer_statistics_ (f, "during the restart",
                              fleet_now_us (f) - start_us);
  fleet_run (f, CHANGE_TIMEOUT_US);
}

/* Adds a balancer and measures its synchronisation with the fleet.  */
static void
run_new_balancer_phase_ (struct fleet *f)
{
  size_t before = get_heap_bytes_ ();
  struct fleet_balancer *b = fleet_add_balancer (f);
  int64_t start_us = fleet_now_us (f);
  unsigned n = fleet_get_balancer_count (f);
  uint64_t sync;
  unsigned i;
  unsigned known_count = 0;

  fleet_reset_statistics (f);
  while (!fleet_balancer_is_complete (f, b)
         && fleet_now_us (f) - start_us < CHANGE_TIMEOUT_US)
    fleet_run (f, STEP_US);
  sync = b->in.bytes[RGY_MSG_SYNC_REPLY];
  for (i = 0; i < n; i++)
    known_count
        += rgy_blackboard_get_balancer (
               rgy_balancer_get_blackboard (fleet_get_balancer (f, i)->core),
               &b->id)
           != NULL;
  printf ("new balancer: complete after %" PRId64 " ms, known to %u of %u "
          "balancers, synchronisation %" PRIu64
          " B, CPU %.1f ms, heap %.2f MB, %zu updates "
          "queued\n",
          (fleet_now_us (f) - start_us) / FLEET_MS, known_count, n, sync,
          (double)b->cpu_ns / 1e6, (double)(get_heap_bytes_ () - before) / 1e6,
          rgy_replica_get_update_count (
              rgy_balancer_get_blackboard (b->core)->replica));
  fleet_reset_statistics (f);
  fleet_run (f, SETTLE_US);
  printf (
      "    in the 30 s after: gossip out %.0f B/s\n",
      (double)(b->out.bytes[RGY_MSG_GOSSIP] + b->out.bytes[RGY_MSG_GOSSIP_ACK])
          * (double)FLEET_S / (double)SETTLE_US);
}

static void
run_fleet_size_ (const struct options_ *o, unsigned balancers)
{
  struct fleet *f = start_fleet_ (o, balancers);
  unsigned agents = scale_to_fleet_ (FULL_AGENTS, balancers, 10);
  int64_t start_ns = bench_wall_ns ();

  run_start_phase_ (f);
  run_steady_phase_ (f, agents);
  run_contract_phase_ (f, agents, 0, 0, "contract change");
  run_contract_phase_ (f, agents, 1, LARGE_CONTRACT_BYTES, "large contract");
  run_agent_restart_phase_ (f);
  run_domain_restart_phase_ (f, agents);
  run_new_balancer_phase_ (f);
  printf ("%.0f s of wall time for %.0f virtual seconds\n",
          (double)(bench_wall_ns () - start_ns) / 1e9,
          (double)fleet_now_us (f) / (double)FLEET_S);
  fleet_delete (f);
}

static bool
parse_options_ (int argc, char **argv, struct options_ *o)
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
            fprintf (stderr, "--size: '%s' is not an integer from 4 to 1000\n",
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

  if (!parse_options_ (argc, argv, &o))
    return 2;
  setvbuf (stdout, NULL, _IOLBF, 0);
  if (o.size_count == 0)
    {
      memcpy (o.sizes, defaults, sizeof defaults);
      o.size_count = G_N_ELEMENTS (defaults);
    }
  for (i = 0; i < o.size_count; i++)
    run_fleet_size_ (&o, o.sizes[i]);
  return 0;
}
