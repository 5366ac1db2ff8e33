#include "matrix.h"

#define LEAD_US (1500 * H_MS)
#define LATE_READING_US (800 * H_MS)
#define STORE_DELAY_US (3 * H_S)
#define RACE_US (50 * H_MS)
#define REORDER_PERCENT 30
#define DUPLICATE_PERCENT 10
#define SAMPLE_US (100 * H_MS)

const char *const fault_string[] = {
  [FAULT_NONE] = "none",
  [FAULT_KILL_AGENT] = "kill-agent",
  [FAULT_KILL_BALANCER] = "kill-balancer",
  [FAULT_FREEZE_AGENT] = "freeze-agent",
  [FAULT_FREEZE_BALANCER] = "freeze-balancer",
  [FAULT_CUT_AGENT_ONE_WAY] = "cut-agent-one-way",
  [FAULT_CUT_AGENTS_ONE_WAY] = "cut-agents-one-way",
  [FAULT_CUT_BALANCER_ONE_WAY] = "cut-balancer-one-way",
  [FAULT_CUT_AGENT] = "cut-agent",
  [FAULT_CUT_AGENTS] = "cut-agents",
  [FAULT_CUT_BALANCER] = "cut-balancer",
  [FAULT_CUT_DOMAIN] = "cut-domain",
  [FAULT_LOSS_5] = "loss-5",
  [FAULT_LOSS_20] = "loss-20",
  [FAULT_DISORDER] = "disorder",
  [FAULT_STORE_DOWN] = "store-down",
  [FAULT_STORE_SLOW] = "store-slow",
  [FAULT_STORE_ANSWER_LOST] = "store-answer-lost",
  [FAULT_LEASE_LAPSED] = "lease-lapsed",
  [FAULT_OPERATORS_RACE] = "operators-race",
  [FAULT_BACKEND_COLD] = "backend-cold",
  [FAULT_SILENT_CONNECTION] = "silent-connection",
  [FAULT_READINGS_LAG] = "readings-lag",
  [FAULT_READINGS_LIE] = "readings-lie",
  [FAULT_UNEVEN_UPDATES] = "uneven-updates",
};

enum harm_
{
  HARM_NONE,
  HARM_AGENT,  /* Its flows may break.  */
  HARM_AGENTS, /* Those of two agents.  */
  HARM_DOMAIN  /* Those of the cut failure domain.  */
};

enum deafness_
{
  DEAF_NONE,
  DEAF_AGENT,
  DEAF_BALANCER
};

struct fault_kind_
{
  int64_t min_us;
  int64_t max_us;
  enum harm_ harm;
  enum deafness_ deaf; /* Which process a change cannot reach.  */
};

static const struct fault_kind_ kinds_[] = {
  [FAULT_NONE] = { 0, 0, HARM_NONE, DEAF_NONE },
  [FAULT_KILL_AGENT] = { 2 * H_S, 8 * H_S, HARM_AGENT, DEAF_NONE },
  [FAULT_KILL_BALANCER] = { 2 * H_S, 8 * H_S, HARM_NONE, DEAF_NONE },
  [FAULT_FREEZE_AGENT] = { 500 * H_MS, 4 * H_S, HARM_AGENT, DEAF_AGENT },
  [FAULT_FREEZE_BALANCER] = { 500 * H_MS, 8 * H_S, HARM_NONE, DEAF_BALANCER },
  [FAULT_CUT_AGENT_ONE_WAY] = { H_S, 8 * H_S, HARM_AGENT, DEAF_AGENT },
  [FAULT_CUT_AGENTS_ONE_WAY] = { H_S, 8 * H_S, HARM_AGENTS, DEAF_NONE },
  [FAULT_CUT_BALANCER_ONE_WAY] = { H_S, 8 * H_S, HARM_NONE, DEAF_NONE },
  [FAULT_CUT_AGENT] = { H_S, 8 * H_S, HARM_AGENT, DEAF_AGENT },
  [FAULT_CUT_AGENTS] = { H_S, 8 * H_S, HARM_AGENTS, DEAF_NONE },
  [FAULT_CUT_BALANCER] = { H_S, 8 * H_S, HARM_NONE, DEAF_NONE },
  [FAULT_CUT_DOMAIN] = { H_S, 8 * H_S, HARM_DOMAIN, DEAF_NONE },
  [FAULT_LOSS_5] = { 8 * H_S, 12 * H_S, HARM_NONE, DEAF_NONE },
  [FAULT_LOSS_20] = { 8 * H_S, 12 * H_S, HARM_NONE, DEAF_NONE },
  [FAULT_DISORDER] = { 8 * H_S, 12 * H_S, HARM_NONE, DEAF_NONE },
  [FAULT_STORE_DOWN] = { 4 * H_S, 10 * H_S, HARM_NONE, DEAF_NONE },
  [FAULT_STORE_SLOW] = { 8 * H_S, 10 * H_S, HARM_NONE, DEAF_NONE },
  [FAULT_STORE_ANSWER_LOST] = { H_S, H_S, HARM_NONE, DEAF_NONE },
  [FAULT_LEASE_LAPSED] = { 5 * H_S, 8 * H_S, HARM_AGENT, DEAF_AGENT },
  [FAULT_OPERATORS_RACE] = { RACE_US, RACE_US, HARM_NONE, DEAF_NONE },
  [FAULT_BACKEND_COLD] = { 4 * H_S, 8 * H_S, HARM_NONE, DEAF_NONE },
  [FAULT_SILENT_CONNECTION] = { 18 * H_S, 18 * H_S, HARM_NONE, DEAF_NONE },
  [FAULT_READINGS_LAG] = { 4 * H_S, 8 * H_S, HARM_NONE, DEAF_NONE },
  [FAULT_READINGS_LIE] = { H_S, 4 * H_S, HARM_AGENT, DEAF_NONE },
  [FAULT_UNEVEN_UPDATES] = { 7 * H_S, 8 * H_S, HARM_NONE, DEAF_NONE },
};

/* Draw the processes and times.  The agent is the one that the step is about
   in one of four cases.  */
void
fault_prepare (struct run *r, struct active_fault *f)
{
  const struct fault_kind_ *k = &kinds_[f->fault];
  struct deployment *d = r->d;

  do
    f->agent = d->desk_agents[g_rand_int_range (r->random, 0,
                                                DEPLOYMENT_DESK_HOSTS)];
  while (f->agent == r->subject);
  if (g_rand_int_range (r->random, 0, 4) == 0
      && f->fault != FAULT_UNEVEN_UPDATES)
    f->agent = r->subject;
  do
    f->peer = d->desk_agents[g_rand_int_range (r->random, 0,
                                               DEPLOYMENT_DESK_HOSTS)];
  while (f->peer == f->agent);
  f->hold_us = k->min_us
               + (k->max_us > k->min_us ? g_rand_int_range (
                      r->random, 0, (gint32)(k->max_us - k->min_us))
                                        : 0);
  f->begin_us
      = r->step_us
        + g_rand_int_range (r->random, (gint32)-LEAD_US, (gint32)LEAD_US);
  f->end_us = INT64_MAX;
  if (k->harm != HARM_NONE)
    r->requests_may_fail = true;
  if (f->fault == FAULT_LOSS_20)
    r->answers_may_be_lost = true;
  if (f->fault == FAULT_BACKEND_COLD)
    step_add_busy_callers (r);
}

static void
cut_all_ (struct run *r, struct node *node, enum node_kind kind, bool in,
          bool out, bool cut)
{
  unsigned i;

  for (i = 0; i < harness_get_node_count (r->d->h); i++)
    {
      struct node *other = harness_get_node_at (r->d->h, i);

      if (other == node || (kind == NODE_BALANCER && other->kind != kind))
        continue;
      if (in)
        harness_cut (r->d->h, other, node, cut);
      if (out)
        harness_cut (r->d->h, node, other, cut);
    }
}

static void
cut_domain_ (struct run *r, bool cut)
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

        if ((a->domain == CUT_DOMAIN) != (b->domain == CUT_DOMAIN))
          harness_cut (h, a, b, cut);
      }
}

/* Cuts and their ends.  */
static void
cut_ (struct run *r, const struct active_fault *f, bool cut)
{
  struct harness *h = r->d->h;

  switch (f->fault)
    {
    case FAULT_CUT_AGENT_ONE_WAY:
      cut_all_ (r, f->agent, NODE_AGENT, false, true, cut);
      break;
    case FAULT_CUT_AGENT:
      cut_all_ (r, f->agent, NODE_AGENT, true, true, cut);
      break;
    case FAULT_CUT_AGENTS:
      harness_cut (h, f->peer, f->agent, cut);
      harness_cut (h, f->agent, f->peer, cut);
      break;
    case FAULT_CUT_AGENTS_ONE_WAY:
      harness_cut (h, f->agent, f->peer, cut);
      break;
    case FAULT_CUT_BALANCER_ONE_WAY:
    case FAULT_UNEVEN_UPDATES:
      cut_all_ (r, f->balancer, NODE_BALANCER, true, false, cut);
      break;
    case FAULT_CUT_BALANCER:
      cut_all_ (r, f->balancer, NODE_BALANCER, true, true, cut);
      break;
    case FAULT_CUT_DOMAIN:
      cut_domain_ (r, cut);
      break;
    case FAULT_SILENT_CONNECTION:
      harness_cut (h, f->agent, f->balancer, cut);
      harness_cut (h, f->balancer, f->agent, cut);
      break;
    default:
      break;
    }
}

/* The process that the fault stops, or NULL.  */
static struct node *
get_stopped_ (const struct active_fault *f)
{
  switch (f->fault)
    {
    case FAULT_KILL_AGENT:
    case FAULT_FREEZE_AGENT:
    case FAULT_LEASE_LAPSED:
      return f->agent;
    case FAULT_KILL_BALANCER:
    case FAULT_FREEZE_BALANCER:
      return f->balancer;
    default:
      return NULL;
    }
}

static void
begin_ (struct run *r, struct active_fault *f)
{
  struct harness *h = r->d->h;

  cut_ (r, f, true);
  switch (f->fault)
    {
    case FAULT_KILL_AGENT:
    case FAULT_KILL_BALANCER:
      harness_kill (h, get_stopped_ (f));
      break;
    case FAULT_FREEZE_AGENT:
    case FAULT_FREEZE_BALANCER:
    case FAULT_LEASE_LAPSED:
      harness_freeze (h, get_stopped_ (f), true);
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
      f->agent->backend.cold_sheds = true;
      harness_make_cold (f->agent);
      break;
    case FAULT_READINGS_LAG:
      f->agent->backend.ping_us = LATE_READING_US;
      f->agent->backend.says_full = true;
      break;
    case FAULT_READINGS_LIE:
      f->agent->backend.deaf = true;
      break;
    case FAULT_UNEVEN_UPDATES:
      harness_drain (h, f->agent);
      break;
    default:
      break;
    }
}

static void
end_ (struct run *r, struct active_fault *f)
{
  struct harness *h = r->d->h;

  cut_ (r, f, false);
  switch (f->fault)
    {
    case FAULT_KILL_AGENT:
    case FAULT_KILL_BALANCER:
      harness_restart (h, get_stopped_ (f), true);
      break;
    case FAULT_FREEZE_AGENT:
    case FAULT_FREEZE_BALANCER:
    case FAULT_LEASE_LAPSED:
      harness_freeze (h, get_stopped_ (f), false);
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
    case FAULT_READINGS_LAG:
      f->agent->backend.ping_us = 0;
      f->agent->backend.says_full = false;
      break;
    case FAULT_READINGS_LIE:
      f->agent->backend.deaf = false;
      break;
    case FAULT_UNEVEN_UPDATES:
      if (f->agent->left)
        harness_restart (h, f->agent, true);
      break;
    default:
      break;
    }
}

/* A process that is not there when its fault is due is struck when it is.  */
static bool
can_begin_ (const struct active_fault *f)
{
  const struct node *stopped = get_stopped_ (f);

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

      if (!f->begun && now_us >= f->begin_us && can_begin_ (f))
        {
          f->begun = true;
          f->begin_us = now_us;
          f->end_us = now_us + f->hold_us;
          begin_ (r, f);
        }
      else if (f->begun && !f->ended && now_us >= f->end_us)
        {
          f->ended = true;
          end_ (r, f);
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
fault_has (const struct run *r, enum fault fault)
{
  size_t i;

  for (i = 0; i < r->fault_count; i++)
    if (r->faults[i].fault == fault)
      return true;
  return false;
}

bool
fault_harms (const struct run *r, const struct node *agent)
{
  int64_t now_us = harness_now_us (r->d->h);
  size_t i;

  for (i = 0; i < r->fault_count; i++)
    {
      const struct active_fault *f = &r->faults[i];

      if (now_us < f->begin_us - SAMPLE_US || f->ended)
        continue;
      switch (kinds_[f->fault].harm)
        {
        case HARM_NONE:
          break;
        case HARM_AGENT:
          if (agent == f->agent)
            return true;
          break;
        case HARM_AGENTS:
          if (agent == f->agent || agent == f->peer)
            return true;
          break;
        case HARM_DOMAIN:
          if (agent->domain == CUT_DOMAIN)
            return true;
          break;
        }
    }
  return false;
}

int64_t
fault_get_reachable_us (const struct run *r, const struct node *node)
{
  int64_t last_us = 0;
  size_t i;

  for (i = 0; i < r->fault_count; i++)
    {
      const struct active_fault *f = &r->faults[i];
      const struct fault_kind_ *k = &kinds_[f->fault];

      if (!f->begun)
        continue;
      if ((k->deaf == DEAF_AGENT && node == f->agent)
          || (k->deaf == DEAF_BALANCER && node == f->balancer))
        last_us = MAX (last_us, f->ended ? f->end_us : INT64_MAX);
    }
  return last_us;
}

int64_t
fault_get_store_us (const struct run *r)
{
  bool direct = r->step == STEP_DOMAIN_OUT || r->step == STEP_DOMAIN_BACK;
  bool apart = fault_has (r, FAULT_CUT_DOMAIN)
               || fault_has (r, FAULT_CUT_BALANCER)
               || fault_has (r, FAULT_CUT_BALANCER_ONE_WAY)
               || fault_has (r, FAULT_UNEVEN_UPDATES);
  size_t i;

  for (i = 0; i < r->fault_count; i++)
    {
      const struct active_fault *f = &r->faults[i];

      if (f->fault == FAULT_STORE_DOWN && f->begun
          && (!direct || apart || fault_has (r, FAULT_OPERATORS_RACE)))
        return f->ended ? f->end_us : INT64_MAX;
    }
  return 0;
}
