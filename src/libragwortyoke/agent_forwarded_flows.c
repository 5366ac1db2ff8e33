#include "private/agent_private.h"

/* New flows that were forwarded for an even share or because of overload.
   The choice of the agent depends on the load at that moment, so that a second
   copy of the first datagram, duplicated by the network, could go to another
   agent or be opened here.  Copies within FORWARDED_KEEP_US go to the same
   agent; later ones find the owner by its bitmap.  */

#define FORWARDED_KEEP_US RGY_US_PER_S
#define FORWARDED_MAX 4096

struct forwarded_flow_
{
  uint64_t key_hash; /* Hash of the flow key.  */
  struct rgy_name target;
  int64_t forwarded_us;
};

struct rgy_forwarded_flows
{
  GHashTable *by_key; /* Borrowed struct forwarded_flow_ by flow key hash.  */
  GQueue order;       /* Owned struct forwarded_flow_, oldest first.  */
};

struct rgy_forwarded_flows *
rgy_forwarded_flows_new (void)
{
  struct rgy_forwarded_flows *forwarded_flows
      = g_new0 (struct rgy_forwarded_flows, 1);

  forwarded_flows->by_key = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&forwarded_flows->order);
  return forwarded_flows;
}

void
rgy_forwarded_flows_delete (struct rgy_forwarded_flows *forwarded_flows)
{
  if (forwarded_flows == NULL)
    return;
  g_hash_table_unref (forwarded_flows->by_key);
  g_queue_clear_full (&forwarded_flows->order, g_free);
  g_free (forwarded_flows);
}

static void
expire_forwarded_flows_ (struct rgy_forwarded_flows *forwarded_flows,
                         int64_t now_us)
{
  struct forwarded_flow_ *oldest;

  while ((oldest = g_queue_peek_head (&forwarded_flows->order)) != NULL
         && (now_us - oldest->forwarded_us > FORWARDED_KEEP_US
             || forwarded_flows->order.length > FORWARDED_MAX))
    {
      g_hash_table_remove (forwarded_flows->by_key, &oldest->key_hash);
      g_free (g_queue_pop_head (&forwarded_flows->order));
    }
}

void
rgy_forwarded_flows_note (struct rgy_forwarded_flows *forwarded_flows,
                          const struct rgy_flow_key *key,
                          const struct rgy_name *target, int64_t now_us)
{
  struct forwarded_flow_ *p;
  uint64_t hash = rgy_flow_key_hash (key);

  if (g_hash_table_contains (forwarded_flows->by_key, &hash))
    return;
  p = g_new (struct forwarded_flow_, 1);
  *p = (struct forwarded_flow_){ .key_hash = hash,
                                 .target = *target,
                                 .forwarded_us = now_us };
  g_hash_table_insert (forwarded_flows->by_key, &p->key_hash, p);
  g_queue_push_tail (&forwarded_flows->order, p);
  expire_forwarded_flows_ (forwarded_flows, now_us);
}

const struct rgy_name *
rgy_forwarded_flows_find (struct rgy_forwarded_flows *forwarded_flows,
                          const struct rgy_flow_key *key, int64_t now_us)
{
  const struct forwarded_flow_ *p;
  uint64_t hash = rgy_flow_key_hash (key);

  expire_forwarded_flows_ (forwarded_flows, now_us);
  p = g_hash_table_lookup (forwarded_flows->by_key, &hash);
  return p == NULL ? NULL : &p->target;
}
