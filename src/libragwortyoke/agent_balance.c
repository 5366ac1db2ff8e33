#include "private/agent_private.h"

/* Bounded imbalance of the flows over the agents of a service.  The bucket
   table alone gives every agent the same number of buckets, but with few flows
   in each bucket the random spread leaves a maximum over mean of about 1.25
   for 33 flows on each agent.  */

#define PERCENT 100
/* A new flow is placed on another agent above this percentage of the mean.
   The bound leaves a margin to the target of 1.15 for reports that are up to
   500 ms old.  */
#define PLACE_BOUND_PERCENT 108
/* Flows are handed over above this percentage of the mean, and only down to
   the mean, so that two agents do not hand over the same flows back and
   forth.  */
#define HANDOVER_BOUND_PERCENT 105

static const struct rgy_peer *
get_peer_ (const struct rgy_agent *a, const struct rgy_name *name)
{
  return g_hash_table_lookup (a->peers, name);
}

bool
rgy_agent_peer_accepts (const struct rgy_agent *a, const struct rgy_name *peer)
{
  const struct rgy_peer *state = get_peer_ (a, peer);

  return state == NULL
         || (state->can_accept && state->refused_until_us <= a->now_us);
}

struct group_load_
{
  size_t agents;
  size_t flows;
};

static bool
is_eligible_ (const struct rgy_agent *a, const struct rgy_name *name)
{
  const struct rgy_agent_record *r = rgy_blackboard_get_agent (a->bb, name);

  return r != NULL && rgy_blackboard_agent_is_eligible (a->bb, r);
}

static struct group_load_
sum_group_load_ (const struct rgy_agent *a)
{
  struct group_load_ g
      = { .agents = 1, .flows = rgy_flow_table_get_count (a->flows) };
  size_t i;

  for (i = 0; i < a->peer_count; i++)
    {
      const struct rgy_peer *peer = get_peer_ (a, &a->peer_names[i]);

      if (peer == NULL || !is_eligible_ (a, &a->peer_names[i]))
        continue;
      g.agents++;
      g.flows += peer->flows;
    }
  return g;
}

/* True if the own flows, less one flow of slack, exceed a percentage of the
   mean.  */
static bool
exceeds_percent_of_mean_ (const struct rgy_agent *a,
                          const struct group_load_ *g, size_t percent)
{
  size_t own = rgy_flow_table_get_count (a->flows);

  return own > 1 && (own - 1) * g->agents * PERCENT > g->flows * percent;
}

bool
rgy_agent_is_above_bound (const struct rgy_agent *a)
{
  struct group_load_ g = sum_group_load_ (a);

  return exceeds_percent_of_mean_ (a, &g, PLACE_BOUND_PERCENT);
}

size_t
rgy_agent_get_surplus (const struct rgy_agent *a)
{
  struct group_load_ g = sum_group_load_ (a);

  if (!exceeds_percent_of_mean_ (a, &g, HANDOVER_BOUND_PERCENT))
    return 0;
  return rgy_flow_table_get_count (a->flows) - g.flows / g.agents;
}

const struct rgy_name *
rgy_agent_choose_less_loaded (const struct rgy_agent *a, unsigned bucket)
{
  const struct rgy_bucket_table *table = rgy_steering_get_table (a->steering);
  const struct rgy_name *owner = rgy_bucket_table_get_owner (table, bucket);
  struct group_load_ g = sum_group_load_ (a);
  const struct rgy_name *best = NULL;
  size_t least = g.flows / g.agents;
  size_t i;

  for (i = 0; i < a->peer_count; i++)
    {
      const struct rgy_name *name = &a->peer_names[i];
      const struct rgy_peer *peer = get_peer_ (a, name);

      if (peer == NULL || !is_eligible_ (a, name)
          || !rgy_agent_peer_accepts (a, name)
          || peer->flows * g.agents >= g.flows)
        continue;
      if (owner != NULL && rgy_name_equal (owner, name))
        return name;
      if (peer->flows < least)
        {
          least = peer->flows;
          best = name;
        }
    }
  return best;
}
