#include "ragwortyoke/steering.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "private/steering_state.h"

static bool
bucket_set_is_empty_ (const struct rgy_bucket_set *set)
{
  size_t i;

  for (i = 0; i < RGY_BUCKET_WORDS; i++)
    if (set->words[i] != 0)
      return false;
  return true;
}

static struct rgy_bucket_set
bucket_set_union_ (const struct rgy_bucket_set *a,
                   const struct rgy_bucket_set *b)
{
  struct rgy_bucket_set set;
  size_t i;

  for (i = 0; i < RGY_BUCKET_WORDS; i++)
    set.words[i] = a->words[i] | b->words[i];
  return set;
}

static bool
bucket_set_equal_ (const struct rgy_bucket_set *a,
                   const struct rgy_bucket_set *b)
{
  return memcmp (a, b, sizeof *a) == 0;
}

/* Group of agents of the service.  */

struct rgy_steering *
rgy_steering_new (const struct rgy_name *self, uint64_t seed)
{
  struct rgy_steering *steering = g_new0 (struct rgy_steering, 1);

  steering->self = *self;
  steering->seed = seed;
  steering->lookup_enabled = true;
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
rgy_steering_set_lookup_enabled (struct rgy_steering *steering, bool enabled)
{
  steering->lookup_enabled = enabled;
}

static struct rgy_steering_peer *
get_or_add_peer_ (struct rgy_steering *steering, const struct rgy_name *name)
{
  struct rgy_steering_peer *peer = rgy_steering_find_peer (steering, name);

  if (peer != NULL)
    return peer;
  peer = g_new0 (struct rgy_steering_peer, 1);
  peer->name = *name;
  peer->weight_hash = rgy_name_hash (name, steering->seed);
  g_hash_table_insert (steering->peers, &peer->name, peer);
  return peer;
}

static gint
compare_peers_ (gconstpointer a, gconstpointer b)
{
  const struct rgy_steering_peer *const *x = a;
  const struct rgy_steering_peer *const *y = b;

  return rgy_name_compare (&(*x)->name, &(*y)->name);
}

/* Returns the live peers, sorted: all agents in PEERS and ELIGIBLE except this
   one.  */
static GPtrArray *
collect_live_peers_ (struct rgy_steering *steering,
                     const struct rgy_name *eligible, size_t eligible_count,
                     const struct rgy_name *peers, size_t peer_count)
{
  GPtrArray *live = g_ptr_array_new ();
  size_t i;
  guint n;

  for (i = 0; i < eligible_count + peer_count; i++)
    {
      const struct rgy_name *name
          = i < eligible_count ? &eligible[i] : &peers[i - eligible_count];

      if (!rgy_name_equal (name, &steering->self))
        g_ptr_array_add (live, get_or_add_peer_ (steering, name));
    }
  g_ptr_array_sort (live, compare_peers_);
  for (n = live->len; n > 1; n--)
    if (live->pdata[n - 1] == live->pdata[n - 2])
      g_ptr_array_remove_index (live, n - 1);
  return live;
}

static bool
equal_live_peers_ (const GPtrArray *a, const GPtrArray *b)
{
  return a->len == b->len
         && (a->len == 0
             || memcmp (a->pdata, b->pdata, a->len * sizeof *a->pdata) == 0);
}

/* Returns true when both tables were built from the same set of names.  */
static bool
equal_table_members_ (const struct rgy_bucket_table *old,
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

/* Replaces the live peers; returns true when a new one has joined.  The bits
   of a peer that is no longer live are discarded.  Records of peers that were
   not live before either are removed, so that the map stays small.  */
static bool
replace_live_peers_ (struct rgy_steering *steering, GPtrArray *live)
{
  GHashTableIter iter;
  gpointer value = NULL;
  bool joined = false;
  guint i;

  for (i = 0; i < live->len; i++)
    {
      struct rgy_steering_peer *peer = live->pdata[i];

      joined = joined || !peer->live;
      peer->live = true;
    }
  g_hash_table_iter_init (&iter, steering->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rgy_steering_peer *peer = value;

      if (g_ptr_array_find (live, peer, NULL))
        continue;
      if (!peer->live)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      peer->live = false;
      peer->state_known = false;
      peer->acked_sequence = 0;
      peer->needed_sequence = 0;
      peer->claim_sequence = 0;
      memset (&peer->may_hold, 0, sizeof peer->may_hold);
    }
  g_ptr_array_unref (steering->live);
  steering->live = live;
  return joined;
}

/* Recomputes the owned buckets; returns true when some were gained.  Buckets
   gained become unsettled, and buckets lost are no longer unsettled.  */
static bool
update_owned_buckets_ (struct rgy_steering *steering)
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
  return !bucket_set_is_empty_ (&gained);
}

static bool
peer_is_settled_ (const struct rgy_steering *steering,
                  const struct rgy_steering_peer *peer)
{
  return peer->state_known && peer->acked_sequence >= steering->settle_sequence
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
clear_unsettled_if_settled_ (struct rgy_steering *steering)
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
  GPtrArray *live = collect_live_peers_ (steering, eligible, eligible_count,
                                         peers, peer_count);
  bool gained;
  bool joined;
  size_t i;

  rgy_bucket_table_build (table, eligible, eligible_count, steering->seed);
  if (equal_live_peers_ (steering->live, live)
      && equal_table_members_ (steering->table, table))
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
  joined = replace_live_peers_ (steering, live);
  gained = update_owned_buckets_ (steering);
  memset (&steering->claimed, 0, sizeof steering->claimed);
  steering->sequence++;
  steering->group_sequence = steering->sequence;
  if (gained || joined)
    steering->settle_sequence = steering->sequence;
  clear_unsettled_if_settled_ (steering);
  return true;
}

/* State exchange with peers.  */

bool
rgy_steering_set_occupied (struct rgy_steering *steering,
                           const struct rgy_bucket_set *occupied)
{
  struct rgy_bucket_set before;
  struct rgy_bucket_set after;

  rgy_steering_get_bitmap (steering, &steering->occupied, &before);
  rgy_steering_get_bitmap (steering, occupied, &after);
  steering->occupied = *occupied;
  if (bucket_set_equal_ (&before, &after))
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
rgy_steering_get_bitmap (const struct rgy_steering *steering,
                         const struct rgy_bucket_set *occupied,
                         struct rgy_bucket_set *may_hold)
{
  *may_hold = bucket_set_union_ (&steering->owned, &steering->claimed);
  *may_hold = bucket_set_union_ (may_hold, occupied);
}

enum rgy_outcome
rgy_steering_note_state (struct rgy_steering *steering,
                         const struct rgy_name *peer, uint64_t epoch,
                         uint64_t sequence,
                         const struct rgy_bucket_set *bitmap)
{
  struct rgy_steering_peer *record = NULL;

  if (rgy_name_equal (peer, &steering->self))
    return RGY_ERR_NOT_FOUND;
  record = rgy_steering_find_peer (steering, peer);
  if (record == NULL)
    {
      /* Names come from the network, so the number of records of agents that
         are not live is bounded.  */
      if (g_hash_table_size (steering->peers) >= 2 * RGY_GROUP_MAX)
        return RGY_ERR_NOT_FOUND;
      record = get_or_add_peer_ (steering, peer);
    }
  if (epoch < record->epoch
      || (epoch == record->epoch && sequence < record->sequence))
    return RGY_ERR_STALE;
  if (epoch > record->epoch)
    {
      /* A restarted peer no longer has the state that it acknowledged.  */
      record->acked_sequence = 0;
      record->needed_sequence = 0;
      record->claim_sequence = 0;
    }
  record->epoch = epoch;
  record->sequence = sequence;
  record->may_hold = *bitmap;
  record->state_known = true;
  if (!record->live)
    return RGY_ERR_NOT_FOUND;
  clear_unsettled_if_settled_ (steering);
  return RGY_OK;
}

void
rgy_steering_note_ack_at (struct rgy_steering *steering,
                          const struct rgy_name *peer, uint64_t sequence,
                          uint64_t peer_sequence)
{
  struct rgy_steering_peer *record = rgy_steering_find_peer (steering, peer);

  if (record == NULL || !record->live || sequence < record->acked_sequence
      || sequence > steering->sequence)
    return;
  /* The earliest acknowledgement of a sequence counts: from then on the peer
     forwards packets to this agent before it opens a flow.  */
  if (sequence == record->acked_sequence)
    record->needed_sequence = MIN (record->needed_sequence, peer_sequence);
  else
    record->needed_sequence = peer_sequence;
  record->acked_sequence = sequence;
  clear_unsettled_if_settled_ (steering);
}

void
rgy_steering_note_ack (struct rgy_steering *steering,
                       const struct rgy_name *peer, uint64_t sequence)
{
  rgy_steering_note_ack_at (steering, peer, sequence, 0);
}

void
rgy_steering_force_settled (struct rgy_steering *steering)
{
  guint i;

  for (i = 0; i < steering->live->len; i++)
    {
      struct rgy_steering_peer *peer = steering->live->pdata[i];

      peer->state_known = true;
      peer->acked_sequence
          = MAX (peer->acked_sequence, steering->settle_sequence);
      peer->needed_sequence = 0;
      peer->claim_sequence = 0;
    }
  clear_unsettled_if_settled_ (steering);
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
