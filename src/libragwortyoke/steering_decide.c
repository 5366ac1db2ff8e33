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

/* Trail.  */

/* Index of NAME in the trail, or the trail's count.  */
static size_t
trail_find_ (const struct rgy_steer_trail *trail, const struct rgy_name *name)
{
  size_t i;

  for (i = 0; i < trail->count; i++)
    if (rgy_name_equal (&trail->visited[i], name))
      break;
  return i;
}

static bool
trail_has_ (const struct rgy_steer_trail *trail, const struct rgy_name *name)
{
  return trail_find_ (trail, name) < trail->count;
}

/* The agent to which the packet returns when nobody is left to ask.  */
static const struct rgy_name *
trail_origin_ (const struct rgy_steer_trail *trail)
{
  if (trail->origin == 0 || trail->origin > trail->count)
    return NULL;
  return &trail->visited[trail->origin - 1];
}

/* True when the origin considers itself the owner.  */
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
  /* The trail has room except when the last agent of a full search returns
     the packet to its origin, which then asks nobody else.  */
  if (!trail_has_ (trail, self) && trail->count < RGY_MAX_HOPS)
    trail->visited[trail->count++] = *self;
  switch (decision->reason)
    {
    case RGY_STEER_REASON_MAY_HOLD:
    case RGY_STEER_REASON_UNSETTLED:
      if (decision->ask)
        {
          trail->origin = trail_find_ (trail, self) + 1;
          trail->origin_sequence = decision->claim_sequence;
        }
      trail->search = decision->search;
      break;
    case RGY_STEER_REASON_OVERFLOW:
      trail->overflow = true;
      trail->origin = 0;
      trail->origin_sequence = 0;
      trail->search = false;
      break;
    case RGY_STEER_REASON_NOT_OWNER:
      origin = trail_origin_ (trail);
      if (origin != NULL && rgy_name_equal (origin, &decision->next))
        break;
      trail->origin = 0;
      trail->origin_sequence = 0;
      trail->search = false;
      break;
    case RGY_STEER_REASON_OWNER:
    case RGY_STEER_REASON_HOP_LIMIT:
    case RGY_STEER_REASON_NO_AGENT:
    case RGY_STEER_REASON_COUNT:
      break;
    }
}

/* Decisions.  */

static bool
is_live_peer_ (const struct rgy_steering *steering,
               const struct rgy_name *name)
{
  const struct rgy_steering_peer *peer
      = rgy_steering_find_peer (steering, name);

  return peer != NULL && peer->live;
}

/* A peer whose state has not arrived yet may hold any flow.  */
static bool
may_hold_ (const struct rgy_steering_peer *peer, unsigned bucket)
{
  return !peer->known || rgy_bucket_set_has (&peer->may_hold, bucket)
         || rgy_bucket_set_has (&peer->passed[0], bucket)
         || rgy_bucket_set_has (&peer->passed[1], bucket);
}

/* First live peer in rendezvous order that is not in the trail; with
   HOLDERS_ONLY, only peers that may hold flows of the bucket.  */
static const struct rgy_steering_peer *
next_peer_ (const struct rgy_steering *steering, unsigned bucket,
            const struct rgy_steer_trail *trail, bool holders_only)
{
  const struct rgy_steering_peer *best = NULL;
  uint64_t best_weight = 0;
  guint i;

  for (i = 0; i < steering->live->len; i++)
    {
      const struct rgy_steering_peer *peer = steering->live->pdata[i];
      uint64_t weight;

      if (holders_only && !may_hold_ (peer, bucket))
        continue;
      if (trail_has_ (trail, &peer->name))
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
set_forward_ (struct rgy_steer_decision *decision,
              enum rgy_steer_reason reason, const struct rgy_name *next)
{
  decision->kind = RGY_STEER_FORWARD;
  decision->reason = reason;
  decision->next = *next;
}

static void
set_result_ (struct rgy_steer_decision *decision, enum rgy_steer_kind kind,
             enum rgy_steer_reason reason)
{
  decision->kind = kind;
  decision->reason = reason;
}

/* Counts live peers that are not in the trail; with HOLDERS_ONLY, only those
   that may hold flows of the bucket.  */
static size_t
count_unvisited_ (const struct rgy_steering *steering, unsigned bucket,
                  const struct rgy_steer_trail *trail, bool holders_only)
{
  size_t count = 0;
  guint i;

  for (i = 0; i < steering->live->len; i++)
    {
      const struct rgy_steering_peer *peer = steering->live->pdata[i];

      if ((!holders_only || may_hold_ (peer, bucket))
          && !trail_has_ (trail, &peer->name))
        count++;
    }
  return count;
}

/* True when a visited peer may hold flows of the bucket.  */
static bool
visited_may_hold_ (const struct rgy_steering *steering, unsigned bucket,
                   const struct rgy_steer_trail *trail)
{
  guint i;

  for (i = 0; i < steering->live->len; i++)
    {
      const struct rgy_steering_peer *peer = steering->live->pdata[i];

      if (may_hold_ (peer, bucket) && trail_has_ (trail, &peer->name))
        return true;
    }
  return false;
}

/* A packet on its way through this agent.  */
struct packet_
{
  unsigned bucket;
  const struct rgy_steer_trail *trail;
  const struct rgy_name *origin; /* Or NULL.  */
  bool is_owner;
  bool unsettled;     /* Owner, but not yet known to all peers.  */
  bool returned;      /* This agent is the origin.  */
  bool own_claim;     /* Returned, and the bit of the bucket has been set in
                         the own bitmap ever since the packet left.  */
  bool foreign_claim; /* The origin, a live peer, considers itself owner.  */
};

static struct packet_
inspect_ (const struct rgy_steering *steering, unsigned bucket,
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

/* Sends the packet to all live peers anew.  A peer that it visited before
   this agent claimed the bucket may since have become a settled owner without
   knowing of the claim.  A second restart is refused, so that forwarding
   ends.  */
static void
decide_restart_ (const struct rgy_steering *steering, const struct packet_ *p,
                 struct rgy_steer_decision *decision)
{
  static const struct rgy_steer_trail empty = { 0 };
  const struct rgy_steering_peer *peer = NULL;

  if (p->trail->restarted || p->trail->count >= RGY_MAX_HOPS)
    {
      set_result_ (decision, RGY_STEER_DROP, RGY_STEER_REASON_HOP_LIMIT);
      return;
    }
  peer = next_peer_ (steering, p->bucket, &empty, true);
  set_forward_ (decision, RGY_STEER_REASON_MAY_HOLD, &peer->name);
  decision->ask = true;
  decision->search = true;
  decision->restart = true;
  decision->claim_sequence = steering->sequence;
}

/* Looks for an agent to ask before a flow may be opened.  Returns false when
   nobody is left.  */
static bool
decide_ask_ (const struct rgy_steering *steering, const struct packet_ *p,
             struct rgy_steer_decision *decision)
{
  bool search
      = p->is_owner ? p->unsettled : p->trail->search && p->origin != NULL;
  enum rgy_steer_reason reason = RGY_STEER_REASON_MAY_HOLD;
  const struct rgy_steering_peer *peer = NULL;

  if (p->unsettled && !p->own_claim && !p->foreign_claim
      && visited_may_hold_ (steering, p->bucket, p->trail))
    {
      decide_restart_ (steering, p, decision);
      return true;
    }
  peer = next_peer_ (steering, p->bucket, p->trail, true);
  if (peer == NULL && search)
    {
      reason = RGY_STEER_REASON_UNSETTLED;
      peer = next_peer_ (steering, p->bucket, p->trail, false);
    }
  if (peer == NULL)
    return false;
  if (p->trail->count >= RGY_MAX_HOPS)
    {
      /* A full trail does not name the agent that returned the packet.  */
      if (p->returned
          && count_unvisited_ (steering, p->bucket, p->trail, !search) == 1)
        return false;
      set_result_ (decision, RGY_STEER_DROP, RGY_STEER_REASON_HOP_LIMIT);
      return true;
    }
  set_forward_ (decision, reason, &peer->name);
  decision->search = search;
  /* A settled owner takes the packet over from an unsettled one.  */
  if (p->is_owner)
    decision->ask = !search || !p->foreign_claim;
  else
    decision->ask = p->origin == NULL || p->returned
                    || (p->trail->overflow && steering->eligible);
  if (p->is_owner || p->own_claim)
    decision->claim_sequence = steering->sequence;
  return true;
}

/* Decides when the owner in this view has already passed the packet on, so
   that it considers another agent the owner.  Opening the flow here ends the
   loop.  This agent first claims the bucket and asks all live peers, as the
   owner of an unsettled bucket does.  */
static void
decide_loop_ (struct rgy_steering *steering, const struct packet_ *p,
              struct rgy_steer_decision *decision)
{
  const struct rgy_steering_peer *peer = NULL;

  if (!steering->eligible)
    {
      set_result_ (decision, RGY_STEER_DROP, RGY_STEER_REASON_NOT_OWNER);
      return;
    }
  if (steering->chain_enabled)
    peer = next_peer_ (steering, p->bucket, p->trail, false);
  if (!steering->chain_enabled
      || (peer == NULL && !visited_may_hold_ (steering, p->bucket, p->trail)))
    {
      set_result_ (decision, RGY_STEER_OPEN, RGY_STEER_REASON_NOT_OWNER);
      return;
    }
  if (p->trail->restarted || p->trail->count >= RGY_MAX_HOPS)
    {
      set_result_ (decision, RGY_STEER_DROP,
                   p->trail->restarted ? RGY_STEER_REASON_NOT_OWNER
                                       : RGY_STEER_REASON_HOP_LIMIT);
      return;
    }
  if (!rgy_bucket_set_has (&steering->claimed, p->bucket))
    {
      rgy_bucket_set_add (&steering->claimed, p->bucket);
      if (!rgy_bucket_set_has (&steering->held, p->bucket))
        steering->sequence++;
    }
  if (peer == NULL)
    {
      decide_restart_ (steering, p, decision);
      return;
    }
  set_forward_ (decision, RGY_STEER_REASON_UNSETTLED, &peer->name);
  decision->ask = true;
  decision->search = true;
  decision->restart = true;
  decision->claim_sequence = steering->sequence;
}

/* Decides for an agent that is not the owner when nobody is left to ask.  */
static void
decide_not_owner_ (struct rgy_steering *steering, const struct packet_ *p,
                   struct rgy_steer_decision *decision)
{
  const struct rgy_name *owner
      = rgy_bucket_table_get_owner (steering->table, p->bucket);

  if (p->own_claim)
    set_result_ (decision, RGY_STEER_OPEN, RGY_STEER_REASON_NOT_OWNER);
  else if (owner != NULL && !trail_has_ (p->trail, owner))
    {
      if (p->trail->count >= RGY_MAX_HOPS)
        set_result_ (decision, RGY_STEER_DROP, RGY_STEER_REASON_HOP_LIMIT);
      else
        set_forward_ (decision, RGY_STEER_REASON_NOT_OWNER, owner);
    }
  else if (p->origin != NULL && !p->returned
           && is_live_peer_ (steering, p->origin))
    /* Another agent may be the owner in the view of the origin.  */
    set_forward_ (decision, RGY_STEER_REASON_NOT_OWNER, p->origin);
  else if (owner == NULL)
    set_result_ (decision, RGY_STEER_DROP, RGY_STEER_REASON_NO_AGENT);
  else
    decide_loop_ (steering, p, decision);
}

/* Records that the origin of a packet considers itself the owner.  An owner
   of the same bucket that is still unsettled may have an acknowledgement that
   the origin sent before it became owner; its buckets stay unsettled until
   the newer state of the origin has arrived.  */
static void
note_claim_ (struct rgy_steering *steering, const struct packet_ *p)
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
  struct packet_ p = inspect_ (steering, bucket, trail);

  memset (decision, 0, sizeof *decision);
  note_claim_ (steering, &p);
  if (steering->chain_enabled && decide_ask_ (steering, &p, decision))
    return;
  if (trail->overflow && steering->eligible)
    set_result_ (decision, RGY_STEER_OPEN, RGY_STEER_REASON_OVERFLOW);
  else if (p.foreign_claim && (!p.is_owner || p.unsettled))
    set_forward_ (decision, RGY_STEER_REASON_NOT_OWNER, p.origin);
  else if (p.is_owner)
    set_result_ (decision, RGY_STEER_OPEN, RGY_STEER_REASON_OWNER);
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
      set_result_ (decision, RGY_STEER_DROP, RGY_STEER_REASON_NO_AGENT);
      return;
    }
  for (rank = 0;; rank++)
    {
      name = rgy_bucket_table_get_ranked (steering->table, bucket, rank);
      if (name == NULL)
        {
          set_result_ (decision, RGY_STEER_DROP, RGY_STEER_REASON_OVERFLOW);
          return;
        }
      if (!rgy_name_equal (name, &steering->self) && !trail_has_ (trail, name))
        break;
    }
  if (trail->count >= RGY_MAX_HOPS)
    set_result_ (decision, RGY_STEER_DROP, RGY_STEER_REASON_HOP_LIMIT);
  else
    set_forward_ (decision, RGY_STEER_REASON_OVERFLOW, name);
}
