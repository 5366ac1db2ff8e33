#ifndef KV_STORE_H
#define KV_STORE_H

/**
 * @file
 * Keys, revisions, leases and the event log of the key-value stand-in.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One version of a key; immutable and reference-counted.  */
struct kv_pair
{
  GBytes *key;
  GBytes *value; /**< NULL for a deletion.  */
  uint64_t create_revision;
  uint64_t mod_revision;
  uint64_t version; /**< Number of writes since the creation.  */
  uint64_t lease;   /**< ID; 0: none.  */
};

/** A lease, whose keys are deleted when it expires.  */
struct kv_lease
{
  uint64_t id;
  int64_t ttl_s;
  int64_t expires_us; /**< On the monotonic clock.  */
};

/** Contents of the key-value stand-in.  */
struct kv_store
{
  uint64_t cluster_id;
  uint64_t revision;
  uint64_t compacted_revision; /**< Events up to this revision are deleted.  */
  uint64_t next_lease_id;
  GTree *pairs;       /**< Current pairs: GBytes key to struct kv_pair.  */
  GPtrArray *events;  /**< Event log: struct kv_pair, by modification
                           revision.  */
  GHashTable *leases; /**< Leases: ID to struct kv_lease.  */
};

/** Interval of keys: only @c key when @c end is empty, all keys from @c key on
    when @c end is one zero byte, [key, end) otherwise.  */
struct kv_interval
{
  GBytes *key;
  GBytes *end;
};

void kv_store_init (struct kv_store *store);
void kv_store_finish (struct kv_store *store);
/** Delete all contents and restart at revision 1.
    @param new_cluster  also change the cluster ID.  */
void kv_store_reset (struct kv_store *store, bool new_cluster);
/** Delete the event log, so that watches from an older revision fail.  */
void kv_store_compact (struct kv_store *store);

bool kv_interval_contains (const struct kv_interval *interval, GBytes *key);
/** Current pair of a key, owned by the store; NULL when there is none.  */
const struct kv_pair *kv_store_get (const struct kv_store *store, GBytes *key);
/** Pairs of an interval in key order.
    @return an array to be freed with g_ptr_array_unref(); the store keeps
    ownership of the pairs.  */
GPtrArray *kv_store_range (const struct kv_store *store,
                           const struct kv_interval *interval);
/** Write a pair at the current revision. The caller starts a transaction by
    incrementing @c store->revision; all its writes share that revision.
    @param lease  ID; 0: none.  */
void kv_store_put (struct kv_store *store, GBytes *key, GBytes *value,
                   uint64_t lease);
/** Delete the pairs of an interval at the current revision.
    @return the number of deleted pairs.  */
unsigned kv_store_delete (struct kv_store *store,
                          const struct kv_interval *interval);

/** Lease with this ID, owned by the store; NULL when there is none.  */
struct kv_lease *kv_store_get_lease (const struct kv_store *store,
                                     uint64_t id);
/** Create a lease that expires @p ttl_s after @p now_us.
    @return the lease, owned by the store.  */
struct kv_lease *kv_store_grant_lease (struct kv_store *store, int64_t ttl_s,
                                       int64_t now_us);
/** Remove a lease and delete its keys.
    @return false when there is no such lease.  */
bool kv_store_revoke_lease (struct kv_store *store, uint64_t id);
/** Revoke the leases that have expired.
    @param all  revoke all leases, expired or not.  */
void kv_store_expire_leases (struct kv_store *store, int64_t now_us, bool all);
/** Monotonic time at which the next lease expires; -1 without leases.  */
int64_t kv_store_get_next_expiry_us (const struct kv_store *store);

#endif
