#include "ragwortyoke/flow.h"

#include <glib.h>
#include <stdlib.h>

/* A flow with its links in the idle order.  The public part comes first, so
   that a pointer to it can be converted back, and begins with the key, by
   which the table looks flows up.  */
struct entry_
{
  struct rgy_flow flow;
  struct entry_ *prev;
  struct entry_ *next;
};

struct rgy_flow_table
{
  size_t max_flows;
  int64_t idle_timeout_us;
  uint64_t next_id;
  GHashTable *by_key; /* Set of struct entry_, owned.  */
  GHashTable *by_id;  /* Set of struct entry_, borrowed.  */
  struct entry_ *oldest;
  struct entry_ *newest;
  uint32_t bucket_flows[RGY_BUCKET_COUNT];
  struct rgy_bucket_set occupied;
};

/* Flow keys.  */

struct rgy_flow_key
rgy_flow_key_udp (struct rgy_endpoint caller, struct rgy_endpoint service)
{
  return (struct rgy_flow_key){ .kind = RGY_FLOW_KEY_UDP,
                                .u.udp
                                = { .caller = caller, .service = service } };
}

struct rgy_flow_key
rgy_flow_key_segment (struct rgy_endpoint caller, struct rgy_endpoint service)
{
  return (struct rgy_flow_key){ .kind = RGY_FLOW_KEY_SEGMENT,
                                .u.segment
                                = { .caller = caller, .service = service } };
}

/* Returns the endpoints of a key, which every kind of key has.  */
static const struct rgy_flow_ends *
get_ends_ (const struct rgy_flow_key *key)
{
  switch (key->kind)
    {
    case RGY_FLOW_KEY_UDP:
      return &key->u.udp;
    case RGY_FLOW_KEY_SEGMENT:
      return &key->u.segment;
    }
  abort ();
}

bool
rgy_flow_key_equal (const struct rgy_flow_key *a, const struct rgy_flow_key *b)
{
  if (a->kind != b->kind)
    return false;
  return rgy_endpoint_equal (get_ends_ (a)->caller, get_ends_ (b)->caller)
         && rgy_endpoint_equal (get_ends_ (a)->service,
                                get_ends_ (b)->service);
}

uint64_t
rgy_flow_key_hash (const struct rgy_flow_key *key)
{
  uint64_t in[2] = { rgy_endpoint_pack (get_ends_ (key)->caller),
                     rgy_endpoint_pack (get_ends_ (key)->service) };

  return rgy_hash_bytes (
      (struct rgy_bytes){ .data = (const uint8_t *)in, .len = sizeof in },
      (uint64_t)key->kind);
}

unsigned
rgy_flow_key_ghash (const void *key)
{
  /* The low bits select the bucket, and an agent owns flows of few buckets;
     the high bits spread these flows over the hash table.  */
  return (unsigned)(rgy_flow_key_hash (key) >> 32);
}

int
rgy_flow_key_gequal (const void *a, const void *b)
{
  return rgy_flow_key_equal (a, b);
}

unsigned
rgy_flow_key_bucket (const struct rgy_flow_key *key)
{
  return (unsigned)(rgy_flow_key_hash (key) % RGY_BUCKET_COUNT);
}

/* Flow table.  */

static guint
hash_flow_id_ (gconstpointer entry)
{
  const struct rgy_flow *flow = entry;

  return (guint)flow->id;
}

static gboolean
equal_flow_ids_ (gconstpointer a, gconstpointer b)
{
  const struct rgy_flow *x = a;
  const struct rgy_flow *y = b;

  return x->id == y->id;
}

struct rgy_flow_table *
rgy_flow_table_new (size_t max_flows, int64_t idle_timeout_us)
{
  struct rgy_flow_table *table = g_new0 (struct rgy_flow_table, 1);

  table->max_flows = max_flows;
  table->idle_timeout_us = idle_timeout_us;
  table->next_id = 1;
  table->by_key = g_hash_table_new_full (rgy_flow_key_ghash,
                                         rgy_flow_key_gequal, g_free, NULL);
  table->by_id = g_hash_table_new (hash_flow_id_, equal_flow_ids_);
  return table;
}

void
rgy_flow_table_delete (struct rgy_flow_table *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->by_id);
  g_hash_table_unref (table->by_key);
  g_free (table);
}

static void
append_to_idle_order_ (struct rgy_flow_table *table, struct entry_ *entry)
{
  entry->prev = table->newest;
  entry->next = NULL;
  if (table->newest != NULL)
    table->newest->next = entry;
  else
    table->oldest = entry;
  table->newest = entry;
}

static void
remove_from_idle_order_ (struct rgy_flow_table *table, struct entry_ *entry)
{
  if (entry->prev != NULL)
    entry->prev->next = entry->next;
  else
    table->oldest = entry->next;
  if (entry->next != NULL)
    entry->next->prev = entry->prev;
  else
    table->newest = entry->prev;
}

struct rgy_flow *
rgy_flow_table_find (struct rgy_flow_table *table,
                     const struct rgy_flow_key *key)
{
  return g_hash_table_lookup (table->by_key, key);
}

struct rgy_flow *
rgy_flow_table_find_id (struct rgy_flow_table *table, uint64_t id)
{
  struct rgy_flow probe = { .id = id };

  return g_hash_table_lookup (table->by_id, &probe);
}

enum rgy_outcome
rgy_flow_table_open (struct rgy_flow_table *table,
                     const struct rgy_flow_key *key, int64_t now_us,
                     struct rgy_flow **flow)
{
  struct entry_ *entry = NULL;
  unsigned bucket;

  if (rgy_flow_table_find (table, key) != NULL)
    return RGY_ERR_CONFLICT;
  if (rgy_flow_table_get_count (table) >= table->max_flows)
    return RGY_ERR_FULL;
  bucket = rgy_flow_key_bucket (key);
  entry = g_new0 (struct entry_, 1);
  entry->flow = (struct rgy_flow){ .key = *key,
                                   .id = table->next_id++,
                                   .bucket = bucket,
                                   .opened_us = now_us,
                                   .last_active_us = now_us };
  g_hash_table_add (table->by_key, entry);
  g_hash_table_add (table->by_id, entry);
  append_to_idle_order_ (table, entry);
  if (table->bucket_flows[bucket]++ == 0)
    rgy_bucket_set_add (&table->occupied, bucket);
  *flow = &entry->flow;
  return RGY_OK;
}

void
rgy_flow_table_touch (struct rgy_flow_table *table, struct rgy_flow *flow,
                      int64_t now_us)
{
  struct entry_ *entry = (struct entry_ *)flow;

  flow->last_active_us = now_us;
  if (entry == table->newest)
    return;
  remove_from_idle_order_ (table, entry);
  append_to_idle_order_ (table, entry);
}

void
rgy_flow_table_close (struct rgy_flow_table *table, struct rgy_flow *flow)
{
  struct entry_ *entry = (struct entry_ *)flow;

  remove_from_idle_order_ (table, entry);
  if (--table->bucket_flows[flow->bucket] == 0)
    rgy_bucket_set_remove (&table->occupied, flow->bucket);
  g_hash_table_remove (table->by_id, entry);
  g_hash_table_remove (table->by_key, entry);
}

struct rgy_flow *
rgy_flow_table_get_expired (struct rgy_flow_table *table, int64_t now_us)
{
  struct entry_ *entry = table->oldest;

  if (entry == NULL
      || now_us - entry->flow.last_active_us < table->idle_timeout_us)
    return NULL;
  return &entry->flow;
}

size_t
rgy_flow_table_get_count (const struct rgy_flow_table *table)
{
  return g_hash_table_size (table->by_key);
}

const struct rgy_bucket_set *
rgy_flow_table_get_occupied (const struct rgy_flow_table *table)
{
  return &table->occupied;
}

void
rgy_flow_table_foreach (struct rgy_flow_table *table,
                        bool (*fn) (struct rgy_flow *flow, void *ctx),
                        void *ctx)
{
  struct entry_ *entry = table->oldest;

  while (entry != NULL)
    {
      struct entry_ *next = entry->next;

      if (!fn (&entry->flow, ctx))
        break;
      entry = next;
    }
}

static bool
free_session_ (struct rgy_flow *flow, void *ctx)
{
  (void)ctx;
  g_free (flow->session);
  flow->session = NULL;
  return true;
}

void
rgy_flow_table_delete_all (struct rgy_flow_table *table)
{
  if (table == NULL)
    return;
  rgy_flow_table_foreach (table, free_session_, NULL);
  rgy_flow_table_delete (table);
}
