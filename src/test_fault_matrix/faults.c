#include "matrix.h"

/* A fault begins at most this long before or after the step.  */
#define MAX_OFFSET_US (1500 * H_MS)
#define PROBE_DELAY_US (800 * H_MS)
#define STORE_DELAY_US (3 * H_S)
#define OPERATORS_RACE_US (50 * H_MS)
#define REORDER_PERCENT 30
#define DUPLICATE_PERCENT 10
#define SAMPLE_US (100 * H_MS)

/* These names stand in KNOWN-RED.txt and in the journal, and a run's random
   numbers depend on them: a renamed fault gets other runs with the
   same seed.  */
const char *const fault_string[] = {
  [FAULT_NONE] = "none",
  [FAULT_KILL_AGENT] = "kill-agent",
  [FAULT_KILL_BALANCER] = "kill-balancer",
  [FAULT_FREEZE_AGENT] = "freeze-agent",
  [FAULT_FREEZE_BALANCER] = "freeze-balancer",
  [FAULT_PARTITION_AGENT_ONE_WAY] = "cut-agent-one-way",
  [FAULT_PARTITION_AGENTS_ONE_WAY] = "cut-agents-one-way",
  [FAULT_PARTITION_BALANCER_ONE_WAY] = "cut-balancer-one-way",
  [FAULT_PARTITION_AGENT] = "cut-agent",
  [FAULT_PARTITION_AGENTS] = "cut-agents",
  [FAULT_PARTITION_BALANCER] = "cut-balancer",
  [FAULT_PARTITION_DOMAIN] = "cut-domain",
  [FAULT_LOSS_5] = "loss-5",
  [FAULT_LOSS_20] = "loss-20",
  [FAULT_DISORDER] = "disorder",
  [FAULT_STORE_DOWN] = "store-down",
  [FAULT_STORE_SLOW] = "store-slow",
  [FAULT_STORE_ANSWER_LOST] = "store-answer-lost",
  [FAULT_LEASE_EXPIRED] = "lease-lapsed",
  [FAULT_OPERATORS_RACE] = "operators-race",
  [FAULT_BACKEND_COLD] = "backend-cold",
  [FAULT_HALF_OPEN_CONNECTION] = "silent-connection",
  [FAULT_PROBE_ANSWERS_LATE] = "readings-lag",
  [FAULT_PROBE_ANSWERS_WRONG] = "readings-lie",
  [FAULT_UNEVEN_UPDATES] = "uneven-updates",
};

/* Agents whose flows a fault may break.  */
enum affected_
{
  AFFECTS_NONE,
  AFFECTS_AGENT,  /* One agent.  */
  AFFECTS_AGENTS, /* Two agents.  */
  AFFECTS_DOMAIN  /* The agents of the partitioned failure domain.  */
};

/* Process that a configuration change cannot reach during a fault.  */
enum isolated_
{
  ISOLATES_NONE,
  ISOLATES_AGENT,
  ISOLATES_BALANCER
};

/* Shortest and longest duration of a fault, and the processes that
   it affects.  */
struct fault_kind_
{
  int64_t min_us;
  int64_t max_us;
  enum affected_ affected;
  enum isolated_ isolated;
};

static const struct fault_kind_ fault_kinds_[] = {
  [FAULT_NONE] = { 0, 0, AFFECTS_NONE, ISOLATES_NONE },
  [FAULT_KILL_AGENT] = { 2 * H_S, 8 * H_S, AFFECTS_AGENT, ISOLATES_NONE },
  [FAULT_KILL_BALANCER] = { 2 * H_S, 8 * H_S, AFFECTS_NONE, ISOLATES_NONE },
  [FAULT_FREEZE_AGENT]
  = { 500 * H_MS, 4 * H_S, AFFECTS_AGENT, ISOLATES_AGENT },
  [FAULT_FREEZE_BALANCER]
  = { 500 * H_MS, 8 * H_S, AFFECTS_NONE, ISOLATES_BALANCER },
  [FAULT_PARTITION_AGENT_ONE_WAY]
  = { H_S, 8 * H_S, AFFECTS_AGENT, ISOLATES_AGENT },
  [FAULT_PARTITION_AGENTS_ONE_WAY]
  = { H_S, 8 * H_S, AFFECTS_AGENTS, ISOLATES_NONE },
  [FAULT_PARTITION_BALANCER_ONE_WAY]
  = { H_S, 8 * H_S, AFFECTS_NONE, ISOLATES_NONE },
  [FAULT_PARTITION_AGENT] = { H_S, 8 * H_S, AFFECTS_AGENT, ISOLATES_AGENT },
  [FAULT_PARTITION_AGENTS] = { H_S, 8 * H_S, AFFECTS_AGENTS, ISOLATES_NONE },
  [FAULT_PARTITION_BALANCER] = { H_S, 8 * H_S, AFFECTS_NONE, ISOLATES_NONE },
  [FAULT_PARTITION_DOMAIN] = { H_S, 8 * H_S, AFFECTS_DOMAIN, ISOLATES_NONE },
  [FAULT_LOSS_5] = { 8 * H_S, 12 * H_S, AFFECTS_NONE, ISOLATES_NONE },
  [FAULT_LOSS_20] = { 8 * H_S, 12 * H_S, AFFECTS_NONE, ISOLATES_NONE },
  [FAULT_DISORDER] = { 8 * H_S, 12 * H_S, AFFECTS_NONE, ISOLATES_NONE },
  [FAULT_STORE_DOWN] = { 4 * H_S, 10 * H_S, AFFECTS_NONE, ISOLATES_NONE },
  [FAULT_STORE_SLOW] = { 8 * H_S, 10 * H_S, AFFECTS_NONE, ISOLATES_NONE },
  [FAULT_STORE_ANSWER_LOST] = { H_S, H_S, AFFECTS_NONE, ISOLATES_NONE },
  [FAULT_LEASE_EXPIRED] = { 5 * H_S, 8 * H_S, AFFECTS_AGENT, ISOLATES_AGENT },
  [FAULT_OPERATORS_RACE]
  = { OPERATORS_RACE_US, OPERATORS_RACE_US, AFFECTS_NONE, ISOLATES_NONE },
  [FAULT_BACKEND_COLD] = { 4 * H_S, 8 * H_S, AFFECTS_NONE, ISOLATES_NONE },
  [FAULT_HALF_OPEN_CONNECTION]
  = { 18 * H_S, 18 * H_S, AFFECTS_NONE, ISOLATES_NONE },
  [FAULT_PROBE_ANSWERS_LATE]
  = { 4 * H_S, 8 * H_S, AFFECTS_NONE, ISOLATES_NONE },
  [FAULT_PROBE_ANSWERS_WRONG] = { H_S, 4 * H_S, AFFECTS_AGENT, ISOLATES_NONE },
  [FAULT_UNEVEN_UPDATES] = { 7 * H_S, 8 * H_S, AFFECTS_NONE, ISOLATES_NONE },
};

/* A fault of an agent affects the agent of the step in one of four runs, and
   another agent otherwise.  FAULT_UNEVEN_UPDATES never affects the agent of
   the step.  */
void
fault_prepare (struct run *r, struct active_fault *f)
{
  const struct fault_kind_ *k = &fault_kinds_[f->fault];
  struct deployment *d = r->d;

  do
    f->agent = d->desk_agents[g_rand_int_range (r->random, 0,
                                                DEPLOYMENT_DESK_HOSTS)];
  while (f->agent == r->step_agent);
  if (g_rand_int_range (r->random, 0, 4) == 0
      && f->fault != FAULT_UNEVEN_UPDATES)
    f->agent = r->step_agent;
  do
    f->peer = d->desk_agents[g_rand_int_range (r->random, 0,
                                               DEPLOYMENT_DESK_HOSTS)];
  while (f->peer == f->agent);
  f->duration_us = k->min_us
                   + (k->max_us > k->min_us ? g_rand_int_range (
                          r->random, 0, (gint32)(k->max_us - k->min_us))
                                            : 0);
  f->begin_us = r->step_us
                + g_rand_int_range (r->random, (gint32)-MAX_OFFSET_US,
                                    (gint32)MAX_OFFSET_US);
  f->end_us = INT64_MAX;
  if (k->affected != AFFECTS_NONE)
    r->requests_may_fail = true;
  if (f->fault == FAULT_LOSS_20)
    r->answers_may_be_lost = true;
  if (f->fault == FAULT_BACKEND_COLD)
    step_add_posters (r);
}

/* Partitions a node from all other nodes, or from all other balancers when
   KIND is NODE_BALANCER: IN drops the datagrams to the node, OUT those
   from it.  */
static void
partition_from_all_ (struct run *r, struct node *node, enum node_kind kind,
                     bool in, bool out, bool partitioned)
{
  unsigned i;

  for (i = 0; i < harness_get_node_count (r->d->h); i++)
    {
      struct node *other = harness_get_node_at (r->d->h, i);

      if (other == node || (kind == NODE_BALANCER && other->kind != kind))
        continue;
      if (in)
        harness_set_partition (r->d->h, other, node, partitioned);
      if (out)
        harness_set_partition (r->d->h, node, other, partitioned);
    }
}

static void
partition_domain_ (struct run *r, bool partitioned)
{
  struct harness *h = r->d->h;
  unsigned n = harness_get_node_count (h);
  unsigned i;
  unsigned k;

  for (i = 0; i < n; i++)
    for (k = 0; k < n; k++)
      {
        struct node *a = harness_get_node_at (h, i);
        struct node *b = harness_get_node_at (h, k);

        if ((a->domain == PARTITIONED_DOMAIN)
            != (b->domain == PARTITIONED_DOMAIN))
          harness_set_partition (h, a, b, partitioned);
      }
}

/* Begins or ends the partition that a fault consists of, if any.  */
static void
partition_for_fault_ (struct run *r, const struct active_fault *f,
                      bool partitioned)
{
  struct harness *h = r->d->h;

  switch (f->fault)
    {
    case FAULT_PARTITION_AGENT_ONE_WAY:
      partition_from_all_ (r, f->agent, NODE_AGENT, false, true, partitioned);
      break;
    case FAULT_PARTITION_AGENT:
      partition_from_all_ (r, f->agent, NODE_AGENT, true, true, partitioned);
      break;
    case FAULT_PARTITION_AGENTS:
      harness_set_partition (h, f->peer, f->agent, partitioned);
      harness_set_partition (h, f->agent, f->peer, partitioned);
      break;
    case FAULT_PARTITION_AGENTS_ONE_WAY:
      harness_set_partition (h, f->agent, f->peer, partitioned);
      break;
    case FAULT_PARTITION_BALANCER_ONE_WAY:
    case FAULT_UNEVEN_UPDATES:
      partition_from_all_ (r, f->balancer, NODE_BALANCER, true, false,
                           partitioned);
      break;
    case FAULT_PARTITION_BALANCER:
      partition_from_all_ (r, f->balancer, NODE_BALANCER, true, true,
                           partitioned);
      break;
    case FAULT_PARTITION_DOMAIN:
      partition_domain_ (r, partitioned);
      break;
    case FAULT_HALF_OPEN_CONNECTION:
      harness_set_partition (h, f->agent, f->balancer, partitioned);
      harness_set_partition (h, f->balancer, f->agent, partitioned);
      break;
    default:
      break;
    }
}

/* The process that the fault kills or pauses, or NULL.  */
static struct node *
get_stopped_node_ (const struct active_fault *f)
{
  switch (f->fault)
    {
    case FAULT_KILL_AGENT:
    case FAULT_FREEZE_AGENT:
    case FAULT_LEASE_EXPIRED:
      return f->agent;
    case FAULT_KILL_BALANCER:
    case FAULT_FREEZE_BALANCER:
      return f->balancer;
    default:
      return NULL;
    }
}

static void
begin_fault_ (struct run *r, struct active_fault *f)
{
  struct harness *h = r->d->h;

  partition_for_fault_ (r, f, true);
  switch (f->fault)
    {
    case FAULT_KILL_AGENT:
    case FAULT_KILL_BALANCER:
      harness_kill (h, get_stopped_node_ (f));
      break;
    case FAULT_FREEZE_AGENT:
    case FAULT_FREEZE_BALANCER:
    case FAULT_LEASE_EXPIRED:
      harness_set_frozen (h, get_stopped_node_ (f), true);
      break;
    case FAULT_LOSS_5:
      harness_set_loss (h, 5);
      break;
    case FAULT_LOSS_20:
      harness_set_loss (h, 20);
      break;
    case FAULT_DISORDER:
      harness_set_disorder (h, REORDER_PERCENT, DUPLICATE_PERCENT);
      break;
    case FAULT_STORE_DOWN:
      harness_set_store_down (h, true);
      break;
    case FAULT_STORE_SLOW:
      harness_set_store_delay (h, STORE_DELAY_US);
      break;
    case FAULT_OPERATORS_RACE:
      step_put_contract (r);
      break;
    case FAULT_BACKEND_COLD:
      f->agent->backend.sheds_when_cold = true;
      harness_make_cold (f->agent);
      break;
    case FAULT_PROBE_ANSWERS_LATE:
      f->agent->backend.probe_delay_us = PROBE_DELAY_US;
      f->agent->backend.reports_full = true;
      break;
    case FAULT_PROBE_ANSWERS_WRONG:
      f->agent->backend.ignores_requests = true;
      break;
    case FAULT_UNEVEN_UPDATES:
      harness_drain (h, f->agent);
      break;
    default:
      break;
    }
}

static void
end_fault_ (struct run *r, struct active_fault *f)
{
  struct harness *h = r->d->h;

  partition_for_fault_ (r, f, false);
  switch (f->fault)
    {
    case FAULT_KILL_AGENT:
    case FAULT_KILL_BALANCER:
      harness_restart (h, get_stopped_node_ (f), true);
      break;
    case FAULT_FREEZE_AGENT:
    case FAULT_FREEZE_BALANCER:
    case FAULT_LEASE_EXPIRED:
      harness_set_frozen (h, get_stopped_node_ (f), false);
      break;
    case FAULT_LOSS_5:
    case FAULT_LOSS_20:
      harness_set_loss (h, 0);
      break;
    case FAULT_DISORDER:
      harness_set_disorder (h, 0, 0);
      break;
    case FAULT_STORE_DOWN:
      harness_set_store_down (h, false);
      break;
    case FAULT_STORE_SLOW:
      harness_set_store_delay (h, 0);
      break;
    case FAULT_OPERATORS_RACE:
      step_put_contract (r);
      break;
    case FAULT_PROBE_ANSWERS_LATE:
      f->agent->backend.probe_delay_us = 0;
      f->agent->backend.reports_full = false;
      break;
    case FAULT_PROBE_ANSWERS_WRONG:
      f->agent->backend.ignores_requests = false;
      break;
    case FAULT_UNEVEN_UPDATES:
      if (f->agent->exited)
        harness_restart (h, f->agent, true);
      break;
    default:
      break;
    }
}

/* A fault that kills, pauses or drains a process waits until this process
   is running.  */
static bool
can_begin_fault_ (const struct active_fault *f)
{
  const struct node *stopped = get_stopped_node_ (f);

  if (stopped != NULL)
    return stopped->alive && !stopped->frozen;
  if (f->fault == FAULT_UNEVEN_UPDATES)
    return f->agent->alive && !f->agent->frozen;
  return true;
}

void
fault_tick (struct run *r)
{
  int64_t now_us = harness_now_us (r->d->h);
  size_t i;

  for (i = 0; i < r->fault_count; i++)
    {
      struct active_fault *f = &r->faults[i];

      if (!f->begun && now_us >= f->begin_us && can_begin_fault_ (f))
        {
          f->begun = true;
          f->begin_us = now_us;
          f->end_us = now_us + f->duration_us;
          begin_fault_ (r, f);
        }
      else if (f->begun && !f->ended && now_us >= f->end_us)
        {
          f->ended = true;
          end_fault_ (r, f);
        }
    }
}

bool
fault_is_active (const struct run *r, enum fault fault)
{
  size_t i;

  for (i = 0; i < r->fault_count; i++)
    if (r->faults[i].fault == fault && r->faults[i].begun
        && !r->faults[i].ended)
      return true;
  return false;
}

bool
fault_is_planned (const struct run *r, enum fault fault)
{
  size_t i;

  for (i = 0; i < r->fault_count; i++)
    if (r->faults[i].fault == fault)
      return true;
  return false;
}

bool
fault_may_break_flows (const struct run *r, const struct node *agent)
{
  int64_t now_us = harness_now_us (r->d->h);
  size_t i;

  for (i = 0; i < r->fault_count; i++)
    {
      const struct active_fault *f = &r->faults[i];

      if (now_us < f->begin_us - SAMPLE_US || f->ended)
        continue;
      switch (fault_kinds_[f->fault].affected)
        {
        case AFFECTS_NONE:
          break;
        case AFFECTS_AGENT:
          if (agent == f->agent)
            return true;
          break;
        case AFFECTS_AGENTS:
          if (agent == f->agent || agent == f->peer)
            return true;
          break;
        case AFFECTS_DOMAIN:
          if (agent->domain == PARTITIONED_DOMAIN)
            return true;
          break;
        }
    }
  return false;
}

int64_t
fault_get_isolation_end_us (const struct run *r, const struct node *node)
{
  int64_t last_us = 0;
  size_t i;

  for (i = 0; i < r->fault_count; i++)
    {
      const struct active_fault *f = &r->faults[i];
      const struct fault_kind_ *k = &fault_kinds_[f->fault];

      if (!f->begun)
        continue;
      if ((k->isolated == ISOLATES_AGENT && node == f->agent)
          || (k->isolated == ISOLATES_BALANCER && node == f->balancer))
        last_us = MAX (last_us, f->ended ? f->end_us : INT64_MAX);
    }
  return last_us;
}

int64_t
fault_get_store_outage_end_us (const struct run *r)
{
  bool is_order_step
      = r->step == STEP_DOMAIN_OUT || r->step == STEP_DOMAIN_BACK;
  bool balancers_partitioned
      = fault_is_planned (r, FAULT_PARTITION_DOMAIN)
        || fault_is_planned (r, FAULT_PARTITION_BALANCER)
        || fault_is_planned (r, FAULT_PARTITION_BALANCER_ONE_WAY)
        || fault_is_planned (r, FAULT_UNEVEN_UPDATES);
  size_t i;

  for (i = 0; i < r->fault_count; i++)
    {
      const struct active_fault *f = &r->faults[i];

      if (f->fault == FAULT_STORE_DOWN && f->begun
          && (!is_order_step || balancers_partitioned
              || fault_is_planned (r, FAULT_OPERATORS_RACE)))
        return f->ended ? f->end_us : INT64_MAX;
    }
  return 0;
}
