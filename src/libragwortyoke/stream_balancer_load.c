#include "private/stream_balancer_private.h"

#include <math.h>
#include <stdlib.h>

#include "ragwortyoke/bytes.h"
#include "ragwortyoke/clock.h"

/* Time over which the shares of this balancer and of all balancers in the new
   flows of an agent are averaged.  */
#define SHARE_WINDOW_US (10.0 * RGY_US_PER_S)
/* Time for which the requests that follow on a new flow count as expected
   work; about the interval of reports.  */
#define FOLLOW_UPS_US (400.0 * RGY_US_PER_MS)
/* Requests of this balancer's new flows beyond the usual ones that random
   arrivals explain half of.  */
#define CHANCE_SURGE 3.0
/* Time for which a reported queue is expected to drain.  Agents report every
   400 ms and at once when their queue has halved; the queue of an agent that
   is silent for longer may not drain at all.  */
#define DRAIN_MAX_US (400 * RGY_US_PER_MS)
/* Age of the last report from which on the next one is overdue, of agents of
   the own failure domain, which report every 400 ms, and of others.  */
#define SILENT_US (900 * RGY_US_PER_MS)
#define DISTANT_SILENT_US (1400 * RGY_US_PER_MS)
/* Interval between two comparisons of run times; half of the interval of
   reports.  */
#define COMPARE_INTERVAL_US (200 * RGY_US_PER_MS)
/* Slowness from which on a backend server is logged as slow, and below which
   no longer.  */
#define SLOW_FROM 2.0
#define SLOW_UNTIL 1.5
/* Bounds of the slowness.  No server counts as faster than the median: one
   that answers part of its requests with an error at once looks fast, and
   would draw the flows of others.  A single odd measurement must not leave a
   server without any flows.  */
#define SLOWNESS_MIN 1.0
#define SLOWNESS_MAX 20.0
/* Time without requests over which the slowness of a backend server is
   forgotten: it gets no flows while others have room, so that its recovery
   would not show.  */
#define SLOWNESS_WINDOW_US (3.0 * RGY_US_PER_S)
/* Time between two losses of a backend server within which it counts as
   flapping.  */
#define FLAP_WINDOW_US (30 * RGY_US_PER_S)
/* Time after its return over which a lost backend server gets its flows again,
   at the first loss and at most; doubled with each loss.  */
#define RETURN_MIN_US RGY_US_PER_S
#define RETURN_MAX_US (8 * RGY_US_PER_S)
/* Share of its flows that it gets at its return.  */
#define RETURN_SHARE 0.1

bool
rgy_known_agent_has_load_ (const struct rgy_known_agent *agent, int64_t now_us)
{
  return agent->load.at_us != 0
         && now_us - agent->load.at_us <= LOAD_EXPIRE_US;
}

double
rgy_known_load_get_slowness_ (const struct rgy_known_load *load,
                              int64_t now_us)
{
  if (load->slowness <= 1 || load->idle_since_us == 0)
    return load->slowness;
  return 1
         + (load->slowness - 1)
               * exp ((double)(load->idle_since_us - now_us)
                      / SLOWNESS_WINDOW_US);
}

/* Number of balancers that place new flows on the agent as this one does, from
   their shares in its new flows; of an agent without many of them all known
   balancers.  */
static double
count_placing_balancers_ (const struct rgy_stream_balancer *b,
                          const struct rgy_known_load *load)
{
  double balancers = b->peers->len + 1;

  return CLAMP ((load->all_flows + balancers) / (load->own_flows + 1), 1,
                balancers);
}

/* Returns the surge at NOW_US: this balancer's share of the backend server
   works it off.  */
static double
get_surge_ (const struct rgy_stream_balancer *b,
            const struct rgy_known_agent *agent, int64_t now_us)
{
  const struct rgy_known_load *load = &agent->load;
  double done;

  if (load->run_us == 0)
    return load->surge;
  done = (double)(now_us - load->surge_us) / load->run_us
         * MAX (agent->report.slots, 1) / count_placing_balancers_ (b, load);
  return MAX (load->surge - done, 0);
}

void
rgy_stream_balancer_note_placed_ (const struct rgy_stream_balancer *b,
                                  struct rgy_known_agent *agent,
                                  int64_t now_us)
{
  struct rgy_known_load *load = &agent->load;
  double follow_ups_per_flow
      = (double)load->follow_ups_per_s / MAX (agent->report.open_flows, 1);

  agent->placed++;
  load->placed++;
  load->placed_since_confirmed++;
  load->surge = get_surge_ (b, agent, now_us) + 1
                + follow_ups_per_flow * FOLLOW_UPS_US / RGY_US_PER_S;
  load->surge_us = now_us;
}

void
rgy_known_agent_confirm_load_ (struct rgy_known_agent *agent, int64_t now_us)
{
  agent->load.confirmed_us = now_us;
  agent->load.placed_since_confirmed = 0;
  agent->load.surge = 0;
  agent->load.surge_us = now_us;
}

/* Requests that the backend server works off since its last report, beyond
   those of the new flows of all balancers.  */
static double
get_drained_ (const struct rgy_known_agent *agent, double balancers,
              int64_t now_us)
{
  const struct rgy_known_load *load = &agent->load;
  double done;

  if (load->run_us == 0)
    return 0;
  done = (double)MIN (now_us - load->confirmed_us, DRAIN_MAX_US) / load->run_us
         * MAX (agent->report.slots, 1);
  return MAX (done - balancers * load->placed_since_confirmed, 0);
}

double
rgy_stream_balancer_expect_requests_ (const struct rgy_stream_balancer *b,
                                      const struct rgy_known_agent *agent,
                                      int64_t now_us)
{
  const struct rgy_known_load *load = &agent->load;
  double balancers = count_placing_balancers_ (b, load);
  double surge = get_surge_ (b, agent, now_us);
  double mean_running
      = MIN ((double)load->requests_per_s * load->run_us / RGY_US_PER_S,
             agent->report.slots);
  double requests = MAX (
      load->requests - get_drained_ (agent, balancers, now_us), mean_running);

  /* A few flows beyond the usual ones say little of other balancers; more of
     them show that the agent attracts flows, or a wave of demand, and other
     balancers have the same reports and callers.  */
  return requests + surge
         + (balancers - 1) * surge * surge / (surge + CHANCE_SURGE);
}

static void
take_over_runs_ (struct rgy_stream_balancer *b, struct rgy_known_load *load,
                 struct rgy_bytes runs)
{
  if (runs.len == 0)
    return;
  for (load->n_runs = 0; load->n_runs < runs.len / RGY_ROUTE_RUN_BYTES;
       load->n_runs++)
    {
      const uint8_t *entry = runs.data + load->n_runs * RGY_ROUTE_RUN_BYTES;

      load->runs[load->n_runs] = (struct rgy_known_run){
        .address = rgy_route_address_decode (entry),
        .run_us
        = (uint32_t)rgy_get_be (entry + RGY_ROUTE_ADDRESS_BYTES,
                                RGY_ROUTE_RUN_BYTES - RGY_ROUTE_ADDRESS_BYTES)
      };
    }
  b->runs_changed = true;
}

/* Updates the shares in the agent's new flows from the time since its last
   load report.  */
static void
update_shares_ (struct rgy_known_load *load,
                const struct rgy_stream_load_report *report, int64_t now_us)
{
  double us = (double)MIN (now_us - load->at_us, LOAD_EXPIRE_US);
  double kept = exp (-us / SHARE_WINDOW_US);
  double flows_per_s
      = report->requests_per_s
        - (double)MIN (report->follow_ups_per_s, report->requests_per_s);

  load->all_flows = load->all_flows * kept + flows_per_s * us / RGY_US_PER_S;
  load->own_flows = load->own_flows * kept + load->placed;
}

void
rgy_stream_balancer_handle_load_report_ (
    struct rgy_stream_balancer *b, const struct rgy_stream_load_report *report,
    uint32_t ip, int64_t now_us)
{
  struct rgy_known_load *load;

  if (!rgy_stream_balancer_handle_brief_report_ (b, &report->brief, ip,
                                                 now_us))
    return;
  load = &rgy_stream_balancer_find_agent_ (b, ip)->load;
  if (load->at_us != 0)
    update_shares_ (load, report, now_us);
  if (report->requests > 0 || report->requests_per_s > 0)
    load->idle_since_us = 0;
  else if (load->idle_since_us == 0)
    load->idle_since_us = now_us;
  load->at_us = now_us;
  load->run_us = report->run_us;
  load->requests = report->requests;
  load->requests_per_s = report->requests_per_s;
  load->follow_ups_per_s
      = MIN (report->follow_ups_per_s, report->requests_per_s);
  load->failed_permille = report->failed_permille;
  load->placed = 0;
  take_over_runs_ (b, load, report->runs);
}

/* Run time of one route at one agent, for the comparison.  */
struct compared_run_
{
  uint32_t tag;
  struct rgy_known_run run;
  struct rgy_known_agent *agent;
};

static int
compare_runs_ (const void *a, const void *b)
{
  const struct compared_run_ *x = a;
  const struct compared_run_ *y = b;

  if (x->tag != y->tag)
    return x->tag < y->tag ? -1 : 1;
  if (x->run.address.ip != y->run.address.ip)
    return x->run.address.ip < y->run.address.ip ? -1 : 1;
  if (x->run.address.port != y->run.address.port)
    return x->run.address.port < y->run.address.port ? -1 : 1;
  return (x->run.run_us > y->run.run_us) - (x->run.run_us < y->run.run_us);
}

static bool
is_same_route_ (const struct compared_run_ *a, const struct compared_run_ *b)
{
  return a->tag == b->tag && a->run.address.ip == b->run.address.ip
         && a->run.address.port == b->run.address.port;
}

static GArray *
collect_runs_ (const struct rgy_stream_balancer *b, int64_t now_us)
{
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (struct compared_run_));
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rgy_known_agent *agent = value;
      size_t i;

      agent->load.slowness = 0;
      if (!rgy_known_agent_has_load_ (agent, now_us))
        continue;
      for (i = 0; i < agent->load.n_runs; i++)
        {
          struct compared_run_ run = { .tag = agent->tag,
                                       .run = agent->load.runs[i],
                                       .agent = agent };

          g_array_append_val (runs, run);
        }
    }
  g_array_sort (runs, compare_runs_);
  return runs;
}

static void
log_slowness_ (struct rgy_stream_balancer *b, struct rgy_known_agent *agent)
{
  struct rgy_known_load *load = &agent->load;
  char text[RGY_ENDPOINT_TEXT_BYTES];

  if (load->is_slow ? load->slowness >= SLOW_UNTIL
                    : load->slowness < SLOW_FROM)
    return;
  load->is_slow = !load->is_slow;
  rgy_stream_emit_log (
      &b->settings.out, "agent_%s agent=%s slowness=%.2f run_us=%u slots=%u",
      load->is_slow ? "slow" : "not_slow",
      rgy_endpoint_format ((struct rgy_endpoint){ .ip = agent->ip }, text),
      load->slowness, load->run_us, agent->report.slots);
}

static void
finish_comparison_ (struct rgy_stream_balancer *b)
{
  GHashTableIter iter;
  void *value;

  *b->n_slow_agents = 0;
  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rgy_known_agent *agent = value;

      if (agent->load.slowness > 0)
        agent->load.slowness
            = CLAMP (agent->load.slowness / (double)agent->load.n_runs,
                     SLOWNESS_MIN, SLOWNESS_MAX);
      log_slowness_ (b, agent);
      *b->n_slow_agents += agent->load.is_slow;
    }
}

void
rgy_stream_balancer_compare_runs_ (struct rgy_stream_balancer *b,
                                   int64_t now_us)
{
  GArray *runs;
  guint first;
  guint end;
  guint i;

  if (!b->runs_changed || now_us - b->runs_compared_us < COMPARE_INTERVAL_US)
    return;
  b->runs_changed = false;
  b->runs_compared_us = now_us;
  runs = collect_runs_ (b, now_us);
  for (first = 0; first < runs->len; first = end)
    {
      const struct compared_run_ *route
          = &g_array_index (runs, struct compared_run_, first);
      uint32_t median_us;

      for (end = first + 1; end < runs->len; end++)
        if (!is_same_route_ (route,
                             &g_array_index (runs, struct compared_run_, end)))
          break;
      median_us = g_array_index (runs, struct compared_run_,
                                 first + (end - first - 1) / 2)
                      .run.run_us;
      for (i = first; i < end; i++)
        {
          const struct compared_run_ *run
              = &g_array_index (runs, struct compared_run_, i);

          run->agent->load.slowness
              += (double)run->run.run_us / MAX (median_us, 1);
        }
    }
  g_array_unref (runs);
  finish_comparison_ (b);
}

/* True if the backend server or its machine was lost without a planned
   end.  */
static bool
is_loss_ (const struct rgy_known_agent *agent,
          const struct rgy_stream_report *report, int64_t now_us)
{
  if (agent->tag == 0 || agent->report.state != RGY_BACKEND_READY)
    return false;
  return report->state == RGY_BACKEND_UNRESPONSIVE
         || report->state == RGY_BACKEND_ENDED
         || (report->backend_id != agent->report.backend_id
             && report->state == RGY_BACKEND_READY)
         || (!agent->report.restarting
             && rgy_known_agent_is_dead_ (agent, now_us));
}

void
rgy_known_agent_note_state_ (struct rgy_known_agent *agent,
                             const struct rgy_stream_report *report,
                             int64_t now_us)
{
  struct rgy_known_losses *losses = &agent->losses;

  if (is_loss_ (agent, report, now_us))
    {
      losses->n
          = losses->lost_us != 0 && now_us - losses->lost_us < FLAP_WINDOW_US
                ? losses->n + 1
                : 1;
      losses->lost_us = now_us;
      losses->is_lost = true;
    }
  if (losses->is_lost && report->state == RGY_BACKEND_READY)
    {
      losses->is_lost = false;
      losses->returned_us = now_us;
      agent->load = (struct rgy_known_load){ .is_slow = agent->load.is_slow };
    }
}

bool
rgy_known_agent_is_silent_ (const struct rgy_known_agent *agent,
                            int64_t now_us)
{
  return now_us - agent->last_seen_us
         > (agent->distant ? DISTANT_SILENT_US : SILENT_US);
}

double
rgy_known_agent_get_trust_ (const struct rgy_known_agent *agent,
                            int64_t now_us)
{
  const struct rgy_known_losses *losses = &agent->losses;
  int64_t return_us = RETURN_MIN_US;
  unsigned i;

  if (losses->returned_us == 0)
    return 1;
  for (i = 1; i < losses->n && return_us < RETURN_MAX_US; i++)
    return_us *= 2;
  return CLAMP ((double)(now_us - losses->returned_us) / (double)return_us,
                RETURN_SHARE, 1);
}
