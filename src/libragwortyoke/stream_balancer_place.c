#include "private/stream_balancer_private.h"

static bool
was_tried_ (const struct rgy_pending_open *open, uint32_t ip)
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
                const struct rgy_preference *preference)
{
  struct rgy_candidate candidate
      = { .slots = agent->report.slots,
          .flows = agent->report.open_flows + agent->placed,
          .latency_us = agent->report.latency_us,
          .cold = agent->report.cold,
          .same_domain
          = rgy_name_equal (&agent->report.domain, &b->settings.domain),
          .preferred
          = rgy_preference_has (preference, agent->domain_hash, agent->ip),
          .tie_breaker = rgy_preference_rank (preference, agent->ip) };

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

  g_array_set_size (b->candidates, 0);
  g_ptr_array_set_size (b->candidate_agents, 0);
  rgy_stream_balancer_get_preferred_ (b, &open->key, tag, now_us, &preference);
  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rgy_known_agent *agent = value;

      if (agent->tag == tag && (with_tried || !was_tried_ (open, agent->ip))
          && accepts_new_flows_ (b, agent, now_us))
        add_candidate_ (b, agent, &preference);
    }
}

static const struct rgy_candidate *
get_candidates_ (const struct rgy_stream_balancer *b)
{
  return (const struct rgy_candidate *)(const void *)b->candidates->data;
}

struct rgy_known_agent *
rgy_stream_balancer_choose_agent_of_service_ (
    struct rgy_stream_balancer *b, const struct rgy_pending_open *open,
    uint32_t tag, int64_t now_us)
{
  size_t best;

  collect_candidates_ (b, open, tag, false, now_us);
  best = rgy_placement_choose (get_candidates_ (b), b->candidates->len);
  return best == b->candidates->len
             ? NULL
             : g_ptr_array_index (b->candidate_agents, best);
}

struct rgy_known_agent *
rgy_stream_balancer_choose_least_loaded_agent_ (
    struct rgy_stream_balancer *b, const struct rgy_pending_open *open,
    const struct rgy_route *route, int64_t now_us)
{
  struct rgy_known_agent *least = NULL;
  double least_load = 0;
  size_t i;
  guint k;

  for (i = 0; i < route->n_targets; i++)
    {
      if (route->targets[i].weight == 0)
        continue;
      collect_candidates_ (b, open, route->targets[i].tag, true, now_us);
      for (k = 0; k < b->candidates->len; k++)
        {
          const struct rgy_candidate *candidate = &get_candidates_ (b)[k];
          double load = (double)candidate->flows / MAX (candidate->slots, 1);

          if (least != NULL && load >= least_load)
            continue;
          least = g_ptr_array_index (b->candidate_agents, k);
          least_load = load;
        }
    }
  return least;
}
