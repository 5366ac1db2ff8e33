#include "private/stream_balancer_private.h"

bool
rgy_pending_open_was_tried_ (const struct rgy_pending_open *open, uint32_t ip)
{
  size_t i;

  for (i = 0; i < open->n_tried; i++)
    if (open->tried[i] == ip)
      return true;
  return false;
}

/* True if the backend server can accept new flows as far as is known.  A
   restarted agent learns the state only from the next heartbeat; until then
   the state before the restart counts, if it is known, so that a draining
   backend server gets no new flows.  */
static bool
is_backend_usable_ (const struct rgy_known_agent *agent)
{
  return agent->report.state == RGY_BACKEND_READY
         || (agent->report.state == RGY_BACKEND_UNKNOWN && agent->tag != 0
             && (agent->last_state == RGY_BACKEND_UNKNOWN
                 || agent->last_state == RGY_BACKEND_READY));
}

static bool
accepts_new_flows_ (const struct rgy_stream_balancer *b,
                    const struct rgy_known_agent *agent, int64_t now_us)
{
  return rgy_known_agent_is_alive_ (agent, now_us)
         && is_backend_usable_ (agent) && !agent->report.restarting
         && agent->excluded_until_us <= now_us
         && !rgy_domain_view_is_out (&b->view, &agent->report.domain);
}

static void
add_candidate_ (struct rgy_stream_balancer *b, struct rgy_known_agent *agent,
                const struct rgy_preference *preference, int64_t now_us)
{
  const struct rgy_known_load *load = &agent->load;
  struct rgy_candidate candidate
      = { .slots = agent->report.slots,
          .flows = agent->report.open_flows + agent->placed,
          .latency_us = agent->report.latency_us,
          .cold = agent->report.cold,
          .same_domain
          = rgy_name_equal (&agent->report.domain, &b->settings.domain),
          .preferred
          = rgy_preference_has (preference, agent->domain_hash, agent->ip),
          .tie_breaker = rgy_preference_rank (preference, agent->ip),
          .silent = rgy_known_agent_is_silent_ (agent, now_us),
          .has_load = rgy_known_agent_has_load_ (agent, now_us),
          .slowness = rgy_known_load_get_slowness_ (load, now_us),
          .distrust = 1 - rgy_known_agent_get_trust_ (agent, now_us) };

  if (candidate.has_load)
    {
      candidate.requests
          = rgy_stream_balancer_expect_requests_ (b, agent, now_us);
      candidate.run_us = load->run_us;
      candidate.failed_share = load->failed_permille / 1000.0;
    }
  g_array_append_val (b->candidates, candidate);
  g_ptr_array_add (b->candidate_agents, agent);
}

/* Sets the candidates to the agents of a service that accept new flows.  */
static void
collect_candidates_ (struct rgy_stream_balancer *b,
                     const struct rgy_pending_open *open, uint32_t tag,
                     bool with_tried, int64_t now_us)
{
  struct rgy_preference preference;
  GHashTableIter iter;
  void *value;

  rgy_stream_balancer_compare_runs_ (b, now_us);
  g_array_set_size (b->candidates, 0);
  g_ptr_array_set_size (b->candidate_agents, 0);
  rgy_stream_balancer_get_preferred_ (b, &open->key, tag, now_us, &preference);
  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rgy_known_agent *agent = value;

      if (agent->tag == tag
          && (with_tried || !rgy_pending_open_was_tried_ (open, agent->ip))
          && accepts_new_flows_ (b, agent, now_us))
        add_candidate_ (b, agent, &preference, now_us);
    }
}

static const struct rgy_candidate *
get_candidates_ (const struct rgy_stream_balancer *b)
{
  return (const struct rgy_candidate *)(const void *)b->candidates->data;
}

struct rgy_agent_choice
rgy_stream_balancer_choose_agent_of_service_ (
    struct rgy_stream_balancer *b, const struct rgy_pending_open *open,
    const struct rgy_route *route, uint32_t tag, int64_t now_us)
{
  struct rgy_agent_choice choice = { 0 };

  collect_candidates_ (b, open, tag, false, now_us);
  choice.placement = rgy_placement_choose_by_work (
      get_candidates_ (b), b->candidates->len, route->terms.goal_us,
      rgy_flow_key_hash (&open->key));
  if (choice.placement.index == b->candidates->len)
    return choice;
  ++*b->n_placed[choice.placement.reason];
  choice.agent
      = g_ptr_array_index (b->candidate_agents, choice.placement.index);
  return choice;
}

struct rgy_known_agent *
rgy_stream_balancer_choose_least_loaded_agent_ (
    struct rgy_stream_balancer *b, const struct rgy_pending_open *open,
    const struct rgy_route *route, int64_t now_us)
{
  struct rgy_known_agent *least = NULL;
  double least_cost = 0;
  size_t i;

  for (i = 0; i < route->n_targets; i++)
    {
      size_t best;
      double cost;

      if (route->targets[i].weight == 0)
        continue;
      collect_candidates_ (b, open, route->targets[i].tag, true, now_us);
      best = rgy_placement_find_least_loaded (get_candidates_ (b),
                                              b->candidates->len, &cost);
      if (best == b->candidates->len || (least != NULL && cost >= least_cost))
        continue;
      least = g_ptr_array_index (b->candidate_agents, best);
      least_cost = cost;
    }
  return least;
}
