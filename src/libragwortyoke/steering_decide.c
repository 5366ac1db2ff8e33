#include <glib.h>
#include <string.h>

#include "private/bucket_weight.h"
#include "private/steering_state.h"

const char *const rgy_steer_reason_string[] = {
  [RGY_STEER_REASON_OWNER] = "owner",
  [RGY_STEER_REASON_MAY_HOLD] = "may-hold",
  [RGY_STEER_REASON_UNSETTLED] = "unsettled",
  [RGY_STEER_REASON_NOT_OWNER] = "not-owner",
  [RGY_STEER_REASON_OVERFLOW] = "overflow",
  [RGY_STEER_REASON_HOP_LIMIT] = "hop-limit",
  [RGY_STEER_REASON_NO_AGENT] = "no-agent",
};
G_STATIC_ASSERT (G_N_ELEMENTS (rgy_steer_reason_string)
                 == RGY_STEER_REASON_COUNT);

/* Trail of agents that a packet has visited.  */

/* Returns the index of an agent in the trail, or the trail's count.  */
static size_t
trail_index_ (const struct rgy_steer_trail *trail, const struct rgy_name *name)
{
  size_t i;

  for (i = 0; i < trail->count; i++)
    if (rgy_name_equal (&trail->visited[i], name))
      break;
  return i;
}

static bool
trail_contains_ (const struct rgy_steer_trail *trail,
                 const struct rgy_name *name)
{
  return trail_index_ (trail, name) < trail->count;
}

/* Returns the agent to which the packet returns when no agent is left to
   visit, or NULL.  */
static const struct rgy_name *
trail_origin_ (const struct rgy_steer_trail *trail)
{
  if (trail->origin == 0 || trail->origin > trail->count)
    return NULL;
  return &trail->visited[trail->origin - 1];
}

/* Returns true when the origin considers itself the owner or has claimed the
   bucket.  */
static bool
origin_claims_ (const struct rgy_steer_trail *trail)
{
  return trail_origin_ (trail) != NULL && trail->origin_sequence != 0;
}

void
rgy_steer_trail_extend (struct rgy_steer_trail *trail,
                        const struct rgy_name *self,
                        const struct rgy_steer_decision *decision)
{
  const struct rgy_name *origin = NULL;

  if (decision->restart)
    *trail = (struct rgy_steer_trail){ .overflow = trail->overflow,
                                       .restarted = true };
  /* The trail has room except when the last agent of a full lookup returns the
     packet to its origin, which then visits no other agent.  */
  if (!trail_contains_ (trail, self) && trail->count < RGY_MAX_HOPS)
    trail->visited[trail->count++] = *self;
  switch (decision->reason)
    {
    case RGY_STEER_REASON_MAY_HOLD:
    case RGY_STEER_REASON_UNSETTLED:
      if (decision->become_origin)
        {
          trail->origin = trail_index_ (trail, self) + 1;
          trail->origin_sequence = decision->claim_sequence;
        }
      trail->visit_all = decision->visit_all;
      break;
    case RGY_STEER_REASON_OVERFLOW:
      trail->overflow = true;
      trail->origin = 0;
      trail->origin_sequence = 0;
      trail->visit_all = false;
      break;
    case RGY_STEER_REASON_NOT_OWNER:
      origin = trail_origin_ (trail);
      if (origin != NULL && rgy_name_equal (origin, &decision->next))
        break;
      trail->origin = 0;
      trail->origin_sequence = 0;
      trail->visit_all = false;
      break;
    case RGY_STEER_REASON_OWNER:
    case RGY_STEER_REASON_HOP_LIMIT:
    case RGY_STEER_REASON_NO_AGENT:
    case RGY_STEER_REASON_COUNT:
      break;
    }
}

/* Steering decisions.  */

static bool
is_live_peer_ (const struct rgy_steering *steering,
               const struct rgy_name *name)
{
  const struct rgy_steering_peer *peer
      = rgy_steering_find_peer (steering, name);

  return peer != NULL && peer->live;
}

/* Returns true when a peer may own flows of the bucket.  A peer whose state
   has not arrived yet may own any flow.  */
static bool
may_own_flow_ (const struct rgy_steering_peer *peer, unsigned bucket)
{
  return !peer->state_known || rgy_bucket_set_has (&peer->may_hold, bucket);
}

/* Returns the first live peer in rendezvous order that is not in the trail;
   with OWNERS_ONLY, only peers that may own flows of the bucket.  */
static const struct rgy_steering_peer *
next_unvisited_peer_ (const struct rgy_steering *steering, unsigned bucket,
                      const struct rgy_steer_trail *trail, bool owners_only)
{
  const struct rgy_steering_peer *best = NULL;
  uint64_t best_weight = 0;
  guint i;

  for (i = 0; i < steering->live->len; i++)
    {
      const struct rgy_steering_peer *peer = steering->live->pdata[i];
      uint64_t weight;

      if (owners_only && !may_own_flow_ (peer, bucket))
        continue;
      if (trail_contains_ (trail, &peer->name))
        continue;
      weight = rgy_bucket_weight (peer->weight_hash, bucket);
      if (best == NULL || weight > best_weight)
        {
          best = peer;
          best_weight = weight;
        }
    }
  return best;
}

static void
set_forward_decision_ (struct rgy_steer_decision *decision,
                       enum rgy_steer_reason reason,
                       const struct rgy_name *next)
{
  decision->kind = RGY_STEER_FORWARD;
  decision->reason = reason;
  decision->next = *next;
}

static void
set_final_decision_ (struct rgy_steer_decision *decision,
                     enum rgy_steer_kind kind, enum rgy_steer_reason reason)
{
  decision->kind = kind;
  decision->reason = reason;
}

/* Counts live peers that are not in the trail; with OWNERS_ONLY, only those
   that may own flows of the bucket.  */
static size_t
count_unvisited_ (const struct rgy_steering *steering, unsigned bucket,
                  const struct rgy_steer_trail *trail, bool owners_only)
{
  size_t count = 0;
  guint i;

  for (i = 0; i < steering->live->len; i++)
    {
      const struct rgy_steering_peer *peer = steering->live->pdata[i];

      if ((!owners_only || may_own_flow_ (peer, bucket))
          && !trail_contains_ (trail, &peer->name))
        count++;
    }
  return count;
}

/* Returns true when a visited peer may own flows of the bucket.  */
static bool
visited_peer_may_own_ (const struct rgy_steering *steering, unsigned bucket,
                       const struct rgy_steer_trail *trail)
{
  guint i;

  for (i = 0; i < steering->live->len; i++)
    {
      const struct rgy_steering_peer *peer = steering->live->pdata[i];

      if (may_own_flow_ (peer, bucket) && trail_contains_ (trail, &peer->name))
        return true;
    }
  return false;
}

/* A packet whose flow this agent does not own, with its claims in the view of
   this agent.  */
struct packet_
{
  unsigned bucket;
  const struct rgy_steer_trail *trail;
  const struct rgy_name *origin; /* NULL for none.  */
  bool is_owner;
  bool unsettled; /* This agent owns the bucket, but not all peers know it.  */
  bool returned;  /* This agent is the origin.  */
  bool own_claim; /* Returned, and the own bitmap has contained the bucket ever
                     since the packet left.  */
  bool foreign_claim; /* The origin, a live peer, considers itself the owner or
                         has claimed the bucket.  */
};

static struct packet_
inspect_packet_ (const struct rgy_steering *steering, unsigned bucket,
                 const struct rgy_steer_trail *trail)
{
  struct packet_ p = { .bucket = bucket, .trail = trail };

  p.origin = trail_origin_ (trail);
  p.is_owner = rgy_steering_is_owner (steering, bucket);
  p.unsettled = rgy_bucket_set_has (&steering->unsettled, bucket);
  p.returned = p.origin != NULL && rgy_name_equal (p.origin, &steering->self);
  p.own_claim
      = p.returned && origin_claims_ (trail)
        && trail->origin_sequence >= steering->group_sequence
        && (p.is_owner || rgy_bucket_set_has (&steering->claimed, bucket));
  p.foreign_claim = origin_claims_ (trail) && !p.returned
                    && is_live_peer_ (steering, p.origin);
  return p;
}

/* Restarts the lookup at all live peers.  A peer that the packet visited
   before this agent claimed the bucket may since have become a settled owner
   without knowing of the claim.  A second restart is refused, so that
   forwarding ends.  */
static void
decide_restart_ (const struct rgy_steering *steering, const struct packet_ *p,
                 struct rgy_steer_decision *decision)
{
  static const struct rgy_steer_trail empty = { 0 };
  const struct rgy_steering_peer *peer = NULL;

  if (p->trail->restarted || p->trail->count >= RGY_MAX_HOPS)
    {
      set_final_decision_ (decision, RGY_STEER_DROP,
                           RGY_STEER_REASON_HOP_LIMIT);
      return;
    }
  peer = next_unvisited_peer_ (steering, p->bucket, &empty, true);
  set_forward_decision_ (decision, RGY_STEER_REASON_MAY_HOLD, &peer->name);
  decision->become_origin = true;
  decision->visit_all = true;
  decision->restart = true;
  decision->claim_sequence = steering->sequence;
}

/* Chooses the next agent of the lookup, which comes before a flow may be
   opened.  Returns false when no agent is left to visit.  */
static bool
decide_lookup_ (const struct rgy_steering *steering, const struct packet_ *p,
                struct rgy_steer_decision *decision)
{
  bool visit_all
      = p->is_owner ? p->unsettled : p->trail->visit_all && p->origin != NULL;
  enum rgy_steer_reason reason = RGY_STEER_REASON_MAY_HOLD;
  const struct rgy_steering_peer *peer = NULL;

  if (p->unsettled && !p->own_claim && !p->foreign_claim
      && visited_peer_may_own_ (steering, p->bucket, p->trail))
    {
      decide_restart_ (steering, p, decision);
      return true;
    }
  peer = next_unvisited_peer_ (steering, p->bucket, p->trail, true);
  if (peer == NULL && visit_all)
    {
      reason = RGY_STEER_REASON_UNSETTLED;
      peer = next_unvisited_peer_ (steering, p->bucket, p->trail, false);
    }
  if (peer == NULL)
    return false;
  if (p->trail->count >= RGY_MAX_HOPS)
    {
      /* A full trail does not name the agent that returned the packet.  */
      if (p->returned
          && count_unvisited_ (steering, p->bucket, p->trail, !visit_all) == 1)
        return false;
      set_final_decision_ (decision, RGY_STEER_DROP,
                           RGY_STEER_REASON_HOP_LIMIT);
      return true;
    }
  set_forward_decision_ (decision, reason, &peer->name);
  decision->visit_all = visit_all;
  /* A settled owner becomes the origin in place of an unsettled one.  */
  if (p->is_owner)
    decision->become_origin = !visit_all || !p->foreign_claim;
  else
    decision->become_origin = p->origin == NULL || p->returned
                              || (p->trail->overflow && steering->eligible);
  if (p->is_owner || p->own_claim)
    decision->claim_sequence = steering->sequence;
  return true;
}

/* Decides when the owner in this view has already forwarded the packet, so
   that it considers another agent the owner.  Opening the flow here ends the
   loop.  This agent first claims the bucket and sends the packet to all live
   peers, as the owner of an unsettled bucket does.  */
static void
decide_loop_end_ (struct rgy_steering *steering, const struct packet_ *p,
                  struct rgy_steer_decision *decision)
{
  const struct rgy_steering_peer *peer = NULL;

  if (!steering->eligible)
    {
      set_final_decision_ (decision, RGY_STEER_DROP,
                           RGY_STEER_REASON_NOT_OWNER);
      return;
    }
  if (steering->lookup_enabled)
    peer = next_unvisited_peer_ (steering, p->bucket, p->trail, false);
  if (!steering->lookup_enabled
      || (peer == NULL
          && !visited_peer_may_own_ (steering, p->bucket, p->trail)))
    {
      set_final_decision_ (decision, RGY_STEER_OPEN,
                           RGY_STEER_REASON_NOT_OWNER);
      return;
    }
  if (p->trail->restarted || p->trail->count >= RGY_MAX_HOPS)
    {
      set_final_decision_ (decision, RGY_STEER_DROP,
                           p->trail->restarted ? RGY_STEER_REASON_NOT_OWNER
                                               : RGY_STEER_REASON_HOP_LIMIT);
      return;
    }
  if (!rgy_bucket_set_has (&steering->claimed, p->bucket))
    {
      rgy_bucket_set_add (&steering->claimed, p->bucket);
      if (!rgy_bucket_set_has (&steering->occupied, p->bucket))
        steering->sequence++;
    }
  if (peer == NULL)
    {
      decide_restart_ (steering, p, decision);
      return;
    }
  set_forward_decision_ (decision, RGY_STEER_REASON_UNSETTLED, &peer->name);
  decision->become_origin = true;
  decision->visit_all = true;
  decision->restart = true;
  decision->claim_sequence = steering->sequence;
}

/* Decides for an agent that is not the owner when no agent is left to
   visit.  */
static void
decide_not_owner_ (struct rgy_steering *steering, const struct packet_ *p,
                   struct rgy_steer_decision *decision)
{
  const struct rgy_name *owner
      = rgy_bucket_table_get_owner (steering->table, p->bucket);

  if (p->own_claim)
    set_final_decision_ (decision, RGY_STEER_OPEN, RGY_STEER_REASON_NOT_OWNER);
  else if (owner != NULL && !trail_contains_ (p->trail, owner))
    {
      if (p->trail->count >= RGY_MAX_HOPS)
        set_final_decision_ (decision, RGY_STEER_DROP,
                             RGY_STEER_REASON_HOP_LIMIT);
      else
        set_forward_decision_ (decision, RGY_STEER_REASON_NOT_OWNER, owner);
    }
  else if (p->origin != NULL && !p->returned
           && is_live_peer_ (steering, p->origin))
    /* Another agent may be the owner in the view of the origin.  */
    set_forward_decision_ (decision, RGY_STEER_REASON_NOT_OWNER, p->origin);
  else if (owner == NULL)
    set_final_decision_ (decision, RGY_STEER_DROP, RGY_STEER_REASON_NO_AGENT);
  else
    decide_loop_end_ (steering, p, decision);
}

/* Records that the origin of a packet considers itself the owner.  If this
   agent owns the same bucket and is still unsettled, it may have an
   acknowledgement that the origin sent before the origin became owner; this
   agent's buckets then stay unsettled until the newer state arrives.  */
static void
note_origin_claim_ (struct rgy_steering *steering, const struct packet_ *p)
{
  struct rgy_steering_peer *peer = NULL;

  if (!p->foreign_claim || !p->unsettled)
    return;
  peer = rgy_steering_find_peer (steering, p->origin);
  peer->claim_sequence = MAX (peer->claim_sequence, p->trail->origin_sequence);
}

void
rgy_steering_decide (struct rgy_steering *steering, unsigned bucket,
                     const struct rgy_steer_trail *trail,
                     struct rgy_steer_decision *decision)
{
  struct packet_ p = inspect_packet_ (steering, bucket, trail);

  memset (decision, 0, sizeof *decision);
  note_origin_claim_ (steering, &p);
  if (steering->lookup_enabled && decide_lookup_ (steering, &p, decision))
    return;
  if (trail->overflow && steering->eligible)
    set_final_decision_ (decision, RGY_STEER_OPEN, RGY_STEER_REASON_OVERFLOW);
  else if (p.foreign_claim && (!p.is_owner || p.unsettled))
    set_forward_decision_ (decision, RGY_STEER_REASON_NOT_OWNER, p.origin);
  else if (p.is_owner)
    set_final_decision_ (decision, RGY_STEER_OPEN, RGY_STEER_REASON_OWNER);
  else
    decide_not_owner_ (steering, &p, decision);
}

void
rgy_steering_decide_overflow (const struct rgy_steering *steering,
                              unsigned bucket,
                              const struct rgy_steer_trail *trail,
                              struct rgy_steer_decision *decision)
{
  const struct rgy_name *name = NULL;
  size_t rank;

  memset (decision, 0, sizeof *decision);
  if (rgy_bucket_table_get_count (steering->table) == 0)
    {
      set_final_decision_ (decision, RGY_STEER_DROP,
                           RGY_STEER_REASON_NO_AGENT);
      return;
    }
  for (rank = 0;; rank++)
    {
      name = rgy_bucket_table_get_ranked (steering->table, bucket, rank);
      if (name == NULL)
        {
          set_final_decision_ (decision, RGY_STEER_DROP,
                               RGY_STEER_REASON_OVERFLOW);
          return;
        }
      if (!rgy_name_equal (name, &steering->self)
          && !trail_contains_ (trail, name))
        break;
    }
  if (trail->count >= RGY_MAX_HOPS)
    set_final_decision_ (decision, RGY_STEER_DROP, RGY_STEER_REASON_HOP_LIMIT);
  else
    set_forward_decision_ (decision, RGY_STEER_REASON_OVERFLOW, name);
}
