#include "private/agent_private.h"

/* Bounded imbalance of the flows over the agents of a service.  The bucket
   table alone gives every agent the same number of buckets, but with few
   flows a bucket the random spread leaves a maximum over mean of about 1.25
   for 33 flows an agent.  */

#define PERCENT 100
/* A new flow is passed on above this share of the mean, which leaves room to
   the target of 1.15 for reports that are up to 500 ms old.  */
#define BOUND_PERCENT 108
/* Flows are moved away above this share, and only down to the mean, so that
   two agents do not move the same flows back and forth.  */
#define MOVE_PERCENT 105

static const struct rgy_peer *
get_peer_ (const struct rgy_agent *a, const struct rgy_name *name)
{
  return g_hash_table_lookup (a->peers, name);
}

bool
rgy_agent_can_take (const struct rgy_agent *a, const struct rgy_name *peer)
{
  const struct rgy_peer *known = get_peer_ (a, peer);

  return known == NULL
         || (known->can_accept && known->refused_until_us <= a->now_us);
}

struct group_
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

static struct group_
sum_group_ (const struct rgy_agent *a)
{
  struct group_ g
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

/* Own flows against PERCENT of the mean, plus one flow of slack.  */
static bool
exceeds_ (const struct rgy_agent *a, const struct group_ *g, size_t percent)
{
  size_t own = rgy_flow_table_get_count (a->flows);

  return own > 1 && (own - 1) * g->agents * PERCENT > g->flows * percent;
}

bool
rgy_agent_is_above_bound (const struct rgy_agent *a)
{
  struct group_ g = sum_group_ (a);

  return exceeds_ (a, &g, BOUND_PERCENT);
}

size_t
rgy_agent_get_surplus (const struct rgy_agent *a)
{
  struct group_ g = sum_group_ (a);

  if (!exceeds_ (a, &g, MOVE_PERCENT))
    return 0;
  return rgy_flow_table_get_count (a->flows) - g.flows / g.agents;
}

const struct rgy_name *
rgy_agent_choose_lighter (const struct rgy_agent *a, unsigned bucket)
{
  const struct rgy_bucket_table *table = rgy_steering_get_table (a->steering);
  const struct rgy_name *owner = rgy_bucket_table_get_owner (table, bucket);
  struct group_ g = sum_group_ (a);
  const struct rgy_name *best = NULL;
  size_t least = g.flows / g.agents;
  size_t i;

  for (i = 0; i < a->peer_count; i++)
    {
      const struct rgy_name *name = &a->peer_names[i];
      const struct rgy_peer *peer = get_peer_ (a, name);

      if (peer == NULL || !is_eligible_ (a, name)
          || !rgy_agent_can_take (a, name)
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
