#include "ragwortyoke/steering.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "private/bucket_weight.h"

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

/* What is known of another agent.  */
struct peer_
{
  struct rgy_name name;
  uint64_t weight_hash;
  bool live;
  bool known; /* Its state has arrived, or is no longer waited for.  */
  uint64_t epoch;
  uint64_t sequence;
  struct rgy_bucket_set may_hold;
  uint64_t acked;           /* Highest own sequence it acknowledged.  */
  uint64_t needed_sequence; /* Its sequence when it acknowledged.  */
  uint64_t claim_sequence;  /* Its sequence in packets that it asked with.  */
};

struct rgy_steering
{
  struct rgy_name self;
  uint64_t seed;
  bool chain_enabled;
  bool eligible; /* This agent may open flows.  */
  struct rgy_bucket_table *table;
  struct rgy_bucket_set owned;
  struct rgy_bucket_set held;
  struct rgy_bucket_set claimed; /* To end loops; not owned.  */
  struct rgy_bucket_set unsettled;
  uint64_t sequence;
  uint64_t group_sequence;  /* Sequence of the last change of the group.  */
  uint64_t settle_sequence; /* To be acknowledged by every live peer.  */
  GHashTable *peers;        /* Owned struct peer_ by name.  */
  GPtrArray *live;          /* Borrowed, sorted by name.  */
};

static bool
set_is_empty_ (const struct rgy_bucket_set *set)
{
  size_t i;

  for (i = 0; i < RGY_BUCKET_WORDS; i++)
    if (set->words[i] != 0)
      return false;
  return true;
}

static struct rgy_bucket_set
set_union_ (const struct rgy_bucket_set *a, const struct rgy_bucket_set *b)
{
  struct rgy_bucket_set set;
  size_t i;

  for (i = 0; i < RGY_BUCKET_WORDS; i++)
    set.words[i] = a->words[i] | b->words[i];
  return set;
}

static bool
set_equal_ (const struct rgy_bucket_set *a, const struct rgy_bucket_set *b)
{
  return memcmp (a, b, sizeof *a) == 0;
}

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

/* Group.  */

struct rgy_steering *
rgy_steering_new (const struct rgy_name *self, uint64_t seed)
{
  struct rgy_steering *steering = g_new0 (struct rgy_steering, 1);

  steering->self = *self;
  steering->seed = seed;
  steering->chain_enabled = true;
  steering->sequence = 1;
  steering->table = rgy_bucket_table_new ();
  steering->peers
      = g_hash_table_new_full (rgy_name_ghash, rgy_name_gequal, NULL, g_free);
  steering->live = g_ptr_array_new ();
  return steering;
}

void
rgy_steering_delete (struct rgy_steering *steering)
{
  if (steering == NULL)
    return;
  g_ptr_array_unref (steering->live);
  g_hash_table_unref (steering->peers);
  rgy_bucket_table_delete (steering->table);
  g_free (steering);
}

void
rgy_steering_set_chain_enabled (struct rgy_steering *steering, bool enabled)
{
  steering->chain_enabled = enabled;
}

static struct peer_ *
find_peer_ (const struct rgy_steering *steering, const struct rgy_name *name)
{
  return g_hash_table_lookup (steering->peers, name);
}

static struct peer_ *
ensure_peer_ (struct rgy_steering *steering, const struct rgy_name *name)
{
  struct peer_ *peer = find_peer_ (steering, name);

  if (peer != NULL)
    return peer;
  peer = g_new0 (struct peer_, 1);
  peer->name = *name;
  peer->weight_hash = rgy_name_hash (name, steering->seed);
  g_hash_table_insert (steering->peers, &peer->name, peer);
  return peer;
}

static gint
compare_peers_ (gconstpointer a, gconstpointer b)
{
  const struct peer_ *const *x = a;
  const struct peer_ *const *y = b;

  return rgy_name_compare (&(*x)->name, &(*y)->name);
}

/* Sorted live peers: all of PEERS and ELIGIBLE but this agent.  */
static GPtrArray *
collect_live_ (struct rgy_steering *steering, const struct rgy_name *eligible,
               size_t eligible_count, const struct rgy_name *peers,
               size_t peer_count)
{
  GPtrArray *live = g_ptr_array_new ();
  size_t i;
  guint n;

  for (i = 0; i < eligible_count + peer_count; i++)
    {
      const struct rgy_name *name
          = i < eligible_count ? &eligible[i] : &peers[i - eligible_count];

      if (!rgy_name_equal (name, &steering->self))
        g_ptr_array_add (live, ensure_peer_ (steering, name));
    }
  g_ptr_array_sort (live, compare_peers_);
  for (n = live->len; n > 1; n--)
    if (live->pdata[n - 1] == live->pdata[n - 2])
      g_ptr_array_remove_index (live, n - 1);
  return live;
}

static bool
same_live_ (const GPtrArray *a, const GPtrArray *b)
{
  return a->len == b->len
         && (a->len == 0
             || memcmp (a->pdata, b->pdata, a->len * sizeof *a->pdata) == 0);
}

/* Whether the table was built from this set of names.  */
static bool
same_eligible_ (const struct rgy_bucket_table *old,
                const struct rgy_bucket_table *table)
{
  size_t count = rgy_bucket_table_get_count (old);
  size_t i;
  size_t j;

  if (rgy_bucket_table_get_count (table) != count)
    return false;
  for (i = 0; i < count; i++)
    {
      const struct rgy_name *name = rgy_bucket_table_get_ranked (old, 0, i);

      for (j = 0; j < count; j++)
        if (rgy_name_equal (name, rgy_bucket_table_get_ranked (table, 0, j)))
          break;
      if (j == count)
        return false;
    }
  return true;
}

/* Replaces the live peers; returns true when there is a new one.  The bits of
   a peer that is gone are discarded.  Records of peers that were not live
   before either are removed, so that the map stays small.  */
static bool
replace_live_ (struct rgy_steering *steering, GPtrArray *live)
{
  GHashTableIter iter;
  gpointer value = NULL;
  bool joined = false;
  guint i;

  for (i = 0; i < live->len; i++)
    {
      struct peer_ *peer = live->pdata[i];

      joined = joined || !peer->live;
      peer->live = true;
    }
  g_hash_table_iter_init (&iter, steering->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer_ *peer = value;

      if (g_ptr_array_find (live, peer, NULL))
        continue;
      if (!peer->live)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      peer->live = false;
      peer->known = false;
      peer->acked = 0;
      peer->needed_sequence = 0;
      peer->claim_sequence = 0;
      memset (&peer->may_hold, 0, sizeof peer->may_hold);
    }
  g_ptr_array_unref (steering->live);
  steering->live = live;
  return joined;
}

/* Recomputes the owned buckets; returns true when some were gained.  Buckets
   gained become unsettled, and buckets lost are no longer so.  */
static bool
update_owned_ (struct rgy_steering *steering)
{
  struct rgy_bucket_set owned = { 0 };
  struct rgy_bucket_set gained;
  unsigned bucket;
  size_t i;

  for (bucket = 0; bucket < RGY_BUCKET_COUNT; bucket++)
    {
      const struct rgy_name *owner
          = rgy_bucket_table_get_owner (steering->table, bucket);

      if (owner != NULL && rgy_name_equal (owner, &steering->self))
        rgy_bucket_set_add (&owned, bucket);
    }
  for (i = 0; i < RGY_BUCKET_WORDS; i++)
    {
      gained.words[i] = owned.words[i] & ~steering->owned.words[i];
      steering->unsettled.words[i]
          = (steering->unsettled.words[i] | gained.words[i]) & owned.words[i];
    }
  steering->owned = owned;
  return !set_is_empty_ (&gained);
}

static bool
peer_is_settled_ (const struct rgy_steering *steering,
                  const struct peer_ *peer)
{
  return peer->known && peer->acked >= steering->settle_sequence
         && peer->sequence >= peer->needed_sequence
         && peer->sequence >= peer->claim_sequence;
}

bool
rgy_steering_is_settled (const struct rgy_steering *steering)
{
  guint i;

  for (i = 0; i < steering->live->len; i++)
    if (!peer_is_settled_ (steering, steering->live->pdata[i]))
      return false;
  return true;
}

static void
update_settled_ (struct rgy_steering *steering)
{
  if (rgy_steering_is_settled (steering))
    memset (&steering->unsettled, 0, sizeof steering->unsettled);
}

bool
rgy_steering_set_group (struct rgy_steering *steering,
                        const struct rgy_name *eligible, size_t eligible_count,
                        const struct rgy_name *peers, size_t peer_count)
{
  struct rgy_bucket_table *table = rgy_bucket_table_new ();
  GPtrArray *live
      = collect_live_ (steering, eligible, eligible_count, peers, peer_count);
  bool gained;
  bool joined;
  size_t i;

  rgy_bucket_table_build (table, eligible, eligible_count, steering->seed);
  if (same_live_ (steering->live, live)
      && same_eligible_ (steering->table, table))
    {
      g_ptr_array_unref (live);
      rgy_bucket_table_delete (table);
      return false;
    }
  rgy_bucket_table_delete (steering->table);
  steering->table = table;
  steering->eligible = false;
  for (i = 0; i < eligible_count; i++)
    if (rgy_name_equal (&eligible[i], &steering->self))
      steering->eligible = true;
  joined = replace_live_ (steering, live);
  gained = update_owned_ (steering);
  memset (&steering->claimed, 0, sizeof steering->claimed);
  steering->sequence++;
  steering->group_sequence = steering->sequence;
  if (gained || joined)
    steering->settle_sequence = steering->sequence;
  update_settled_ (steering);
  return true;
}

/* State exchange with peers.  */

bool
rgy_steering_set_held (struct rgy_steering *steering,
                       const struct rgy_bucket_set *held)
{
  struct rgy_bucket_set before;
  struct rgy_bucket_set after;

  rgy_steering_get_may_hold (steering, &steering->held, &before);
  rgy_steering_get_may_hold (steering, held, &after);
  steering->held = *held;
  if (set_equal_ (&before, &after))
    return false;
  steering->sequence++;
  return true;
}

uint64_t
rgy_steering_get_sequence (const struct rgy_steering *steering)
{
  return steering->sequence;
}

void
rgy_steering_get_may_hold (const struct rgy_steering *steering,
                           const struct rgy_bucket_set *held,
                           struct rgy_bucket_set *may_hold)
{
  *may_hold = set_union_ (&steering->owned, &steering->claimed);
  *may_hold = set_union_ (may_hold, held);
}

enum rgy_outcome
rgy_steering_note_state (struct rgy_steering *steering,
                         const struct rgy_name *peer, uint64_t epoch,
                         uint64_t sequence, const struct rgy_bucket_set *held)
{
  struct peer_ *record = NULL;

  if (rgy_name_equal (peer, &steering->self))
    return RGY_ERR_NOT_FOUND;
  record = find_peer_ (steering, peer);
  if (record == NULL)
    {
      /* Names come from the network; records of agents that are not live
         are bounded.  */
      if (g_hash_table_size (steering->peers) >= 2 * RGY_GROUP_MAX)
        return RGY_ERR_NOT_FOUND;
      record = ensure_peer_ (steering, peer);
    }
  if (epoch < record->epoch
      || (epoch == record->epoch && sequence < record->sequence))
    return RGY_ERR_STALE;
  if (epoch > record->epoch)
    {
      /* A restarted peer has forgotten what it acknowledged.  */
      record->acked = 0;
      record->needed_sequence = 0;
      record->claim_sequence = 0;
    }
  record->epoch = epoch;
  record->sequence = sequence;
  record->may_hold = *held;
  record->known = true;
  if (!record->live)
    return RGY_ERR_NOT_FOUND;
  update_settled_ (steering);
  return RGY_OK;
}

void
rgy_steering_note_answer (struct rgy_steering *steering,
                          const struct rgy_name *peer, uint64_t sequence,
                          uint64_t peer_sequence)
{
  struct peer_ *record = find_peer_ (steering, peer);

  if (record == NULL || !record->live || sequence < record->acked
      || sequence > steering->sequence)
    return;
  /* The earliest acknowledgement of a sequence counts: from then on the peer
     asks here before it opens a flow.  */
  if (sequence == record->acked)
    record->needed_sequence = MIN (record->needed_sequence, peer_sequence);
  else
    record->needed_sequence = peer_sequence;
  record->acked = sequence;
  update_settled_ (steering);
}

void
rgy_steering_note_ack (struct rgy_steering *steering,
                       const struct rgy_name *peer, uint64_t sequence)
{
  rgy_steering_note_answer (steering, peer, sequence, 0);
}

void
rgy_steering_force_settled (struct rgy_steering *steering)
{
  guint i;

  for (i = 0; i < steering->live->len; i++)
    {
      struct peer_ *peer = steering->live->pdata[i];

      peer->known = true;
      peer->acked = MAX (peer->acked, steering->settle_sequence);
      peer->needed_sequence = 0;
      peer->claim_sequence = 0;
    }
  update_settled_ (steering);
}

/* Decisions.  */

static bool
is_live_peer_ (const struct rgy_steering *steering,
               const struct rgy_name *name)
{
  const struct peer_ *peer = find_peer_ (steering, name);

  return peer != NULL && peer->live;
}

/* A peer whose state has not arrived yet may hold any flow.  */
static bool
may_hold_ (const struct peer_ *peer, unsigned bucket)
{
  return !peer->known || rgy_bucket_set_has (&peer->may_hold, bucket);
}

/* First live peer in rendezvous order that is not in the trail; with
   HOLDERS_ONLY, only peers that may hold flows of the bucket.  */
static const struct peer_ *
next_peer_ (const struct rgy_steering *steering, unsigned bucket,
            const struct rgy_steer_trail *trail, bool holders_only)
{
  const struct peer_ *best = NULL;
  uint64_t best_weight = 0;
  guint i;

  for (i = 0; i < steering->live->len; i++)
    {
      const struct peer_ *peer = steering->live->pdata[i];
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
      const struct peer_ *peer = steering->live->pdata[i];

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
      const struct peer_ *peer = steering->live->pdata[i];

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
  const struct peer_ *peer = NULL;

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
  const struct peer_ *peer = NULL;

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
  const struct peer_ *peer = NULL;

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
  struct peer_ *peer = NULL;

  if (!p->foreign_claim || !p->unsettled)
    return;
  peer = find_peer_ (steering, p->origin);
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

bool
rgy_steering_is_owner (const struct rgy_steering *steering, unsigned bucket)
{
  return rgy_bucket_set_has (&steering->owned, bucket);
}

const struct rgy_bucket_table *
rgy_steering_get_table (const struct rgy_steering *steering)
{
  return steering->table;
}
