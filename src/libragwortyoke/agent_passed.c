#include "private/agent_private.h"

/* New flows that were passed on for an even share or because of overload.
   The choice depends on the load at that moment, so that a second copy of the
   first datagram, duplicated by the network, could go to another agent or be
   opened here.  Copies within the time below go the same way; later ones find
   the holder by its bitmap.  */

#define PASSED_KEEP_US RGY_US_PER_S
#define PASSED_MAX 4096

struct passed_
{
  uint64_t key; /* Hash of the flow key.  */
  struct rgy_name target;
  int64_t at_us;
};

struct rgy_passed
{
  GHashTable *by_key; /* Borrowed struct passed_.  */
  GQueue order;       /* Owned struct passed_, oldest first.  */
};

struct rgy_passed *
rgy_passed_new (void)
{
  struct rgy_passed *passed = g_new0 (struct rgy_passed, 1);

  passed->by_key = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&passed->order);
  return passed;
}

void
rgy_passed_delete (struct rgy_passed *passed)
{
  if (passed == NULL)
    return;
  g_hash_table_unref (passed->by_key);
  g_queue_clear_full (&passed->order, g_free);
  g_free (passed);
}

static void
expire_ (struct rgy_passed *passed, int64_t now_us)
{
  struct passed_ *oldest;

  while ((oldest = g_queue_peek_head (&passed->order)) != NULL
         && (now_us - oldest->at_us > PASSED_KEEP_US
             || passed->order.length > PASSED_MAX))
    {
      g_hash_table_remove (passed->by_key, &oldest->key);
      g_free (g_queue_pop_head (&passed->order));
    }
}

void
rgy_passed_note (struct rgy_passed *passed, const struct rgy_flow_key *key,
                 const struct rgy_name *target, int64_t now_us)
{
  struct passed_ *p;
  uint64_t hash = rgy_flow_key_hash (key);

  if (g_hash_table_contains (passed->by_key, &hash))
    return;
  p = g_new (struct passed_, 1);
  *p = (struct passed_){ .key = hash, .target = *target, .at_us = now_us };
  g_hash_table_insert (passed->by_key, &p->key, p);
  g_queue_push_tail (&passed->order, p);
  expire_ (passed, now_us);
}

const struct rgy_name *
rgy_passed_find (struct rgy_passed *passed, const struct rgy_flow_key *key,
                 int64_t now_us)
{
  const struct passed_ *p;
  uint64_t hash = rgy_flow_key_hash (key);

  expire_ (passed, now_us);
  p = g_hash_table_lookup (passed->by_key, &hash);
  return p == NULL ? NULL : &p->target;
}
