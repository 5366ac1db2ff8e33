#include "kv_store.h"

#include <string.h>

#define FIRST_CLUSTER_ID UINT64_C (14841639068965178418)
#define FIRST_LEASE_ID UINT64_C (7587848390000000001)
#define FIRST_REVISION 1

/* Events kept in the log. Older events are compacted, as in a real service. */
#define MAX_EVENTS 10000

static void
pair_clear_ (void *data)
{
  struct kv_pair *pair = data;

  g_bytes_unref (pair->key);
  if (pair->value != NULL)
    g_bytes_unref (pair->value);
}

static void
pair_unref_ (void *data)
{
  g_rc_box_release_full (data, pair_clear_);
}

static int
key_compare_ (const void *a, const void *b, void *ctx)
{
  (void)ctx;
  return g_bytes_compare (a, b);
}

static void
contents_init_ (struct kv_store *store)
{
  store->revision = FIRST_REVISION;
  store->compacted_revision = 0;
  store->pairs = g_tree_new_full (key_compare_, NULL, NULL, pair_unref_);
  store->events = g_ptr_array_new_with_free_func (pair_unref_);
  store->leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
kv_store_init (struct kv_store *store)
{
  *store = (struct kv_store){ .cluster_id = FIRST_CLUSTER_ID,
                              .next_lease_id = FIRST_LEASE_ID };
  contents_init_ (store);
}

void
kv_store_finish (struct kv_store *store)
{
  g_tree_unref (store->pairs);
  g_ptr_array_unref (store->events);
  g_hash_table_unref (store->leases);
}

void
kv_store_reset (struct kv_store *store, bool new_cluster)
{
  kv_store_finish (store);
  contents_init_ (store);
  if (new_cluster)
    store->cluster_id++;
}

void
kv_store_compact (struct kv_store *store)
{
  g_ptr_array_set_size (store->events, 0);
  store->compacted_revision = store->revision;
}

bool
kv_interval_contains (const struct kv_interval *interval, GBytes *key)
{
  gsize len = 0;
  const uint8_t *end = g_bytes_get_data (interval->end, &len);

  if (len == 0)
    return g_bytes_equal (interval->key, key);
  if (g_bytes_compare (key, interval->key) < 0)
    return false;
  return (len == 1 && end[0] == 0) || g_bytes_compare (key, interval->end) < 0;
}

const struct kv_pair *
kv_store_get (const struct kv_store *store, GBytes *key)
{
  return g_tree_lookup (store->pairs, key);
}

GPtrArray *
kv_store_range (const struct kv_store *store,
                const struct kv_interval *interval)
{
  GPtrArray *pairs = g_ptr_array_new ();
  GTreeNode *node = g_tree_lower_bound (store->pairs, interval->key);

  for (;
       node != NULL && kv_interval_contains (interval, g_tree_node_key (node));
       node = g_tree_node_next (node))
    g_ptr_array_add (pairs, g_tree_node_value (node));
  return pairs;
}

/* Appends an event to the log and compacts the oldest one when the log is
   full.  @return the logged pair, owned by the log.  */
static struct kv_pair *
log_event_ (struct kv_store *store, struct kv_pair event)
{
  struct kv_pair *pair = g_rc_box_new (struct kv_pair);
  const struct kv_pair *oldest;

  *pair = event;
  g_bytes_ref (pair->key);
  if (pair->value != NULL)
    g_bytes_ref (pair->value);
  g_ptr_array_add (store->events, pair);
  if (store->events->len > MAX_EVENTS)
    {
      oldest = g_ptr_array_index (store->events, 0);
      store->compacted_revision = oldest->mod_revision;
      g_ptr_array_remove_index (store->events, 0);
    }
  return pair;
}

void
kv_store_put (struct kv_store *store, GBytes *key, GBytes *value,
              uint64_t lease)
{
  const struct kv_pair *old = kv_store_get (store, key);
  struct kv_pair *pair;

  pair = log_event_ (
      store,
      (struct kv_pair){ .key = key,
                        .value = value,
                        .create_revision
                        = old == NULL ? store->revision : old->create_revision,
                        .mod_revision = store->revision,
                        .version = old == NULL ? 1 : old->version + 1,
                        .lease = lease });
  g_tree_replace (store->pairs, pair->key, g_rc_box_acquire (pair));
}

unsigned
kv_store_delete (struct kv_store *store, const struct kv_interval *interval)
{
  GPtrArray *pairs = kv_store_range (store, interval);
  const struct kv_pair *pair;
  unsigned deleted = pairs->len;
  unsigned i;

  for (i = 0; i < deleted; i++)
    {
      pair = g_ptr_array_index (pairs, i);
      log_event_ (store, (struct kv_pair){ .key = pair->key,
                                           .mod_revision = store->revision });
      g_tree_remove (store->pairs, pair->key);
    }
  g_ptr_array_unref (pairs);
  return deleted;
}

struct kv_lease *
kv_store_get_lease (const struct kv_store *store, uint64_t id)
{
  return g_hash_table_lookup (store->leases, &id);
}

struct kv_lease *
kv_store_grant_lease (struct kv_store *store, int64_t ttl_s, int64_t now_us)
{
  struct kv_lease *lease = g_new0 (struct kv_lease, 1);

  *lease = (struct kv_lease){ .id = store->next_lease_id++,
                              .ttl_s = ttl_s,
                              .expires_us = now_us + ttl_s * G_USEC_PER_SEC };
  g_hash_table_insert (store->leases, &lease->id, lease);
  return lease;
}

bool
kv_store_revoke_lease (struct kv_store *store, uint64_t id)
{
  struct kv_interval single_key;
  const struct kv_pair *pair;
  GTreeNode *node;
  GPtrArray *keys;
  unsigned i;

  if (kv_store_get_lease (store, id) == NULL)
    return false;
  keys = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  for (node = g_tree_node_first (store->pairs); node != NULL;
       node = g_tree_node_next (node))
    {
      pair = g_tree_node_value (node);
      if (pair->lease == id)
        g_ptr_array_add (keys, g_bytes_ref (pair->key));
    }
  if (keys->len > 0)
    store->revision++;
  single_key.end = g_bytes_new_static ("", 0);
  for (i = 0; i < keys->len; i++)
    {
      single_key.key = g_ptr_array_index (keys, i);
      kv_store_delete (store, &single_key);
    }
  g_bytes_unref (single_key.end);
  g_ptr_array_unref (keys);
  g_hash_table_remove (store->leases, &id);
  return true;
}

void
kv_store_expire_leases (struct kv_store *store, int64_t now_us, bool all)
{
  GArray *expired = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  const struct kv_lease *lease;
  GHashTableIter iter;
  void *value;
  unsigned i;

  g_hash_table_iter_init (&iter, store->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      lease = value;
      if (all || lease->expires_us <= now_us)
        g_array_append_val (expired, lease->id);
    }
  for (i = 0; i < expired->len; i++)
    kv_store_revoke_lease (store, g_array_index (expired, uint64_t, i));
  g_array_unref (expired);
}

int64_t
kv_store_get_next_expiry_us (const struct kv_store *store)
{
  GHashTableIter iter;
  int64_t next = -1;
  void *value;
  int64_t at;

  g_hash_table_iter_init (&iter, store->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      at = ((struct kv_lease *)value)->expires_us;
      if (next < 0 || at < next)
        next = at;
    }
  return next;
}
