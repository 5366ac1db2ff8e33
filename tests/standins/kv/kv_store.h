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
  uint64_t version;
  uint64_t lease;
};

struct kv_lease
{
  uint64_t id;
  int64_t ttl_s;
  int64_t expires_us;
};

struct kv_store
{
  uint64_t cluster_id;
  uint64_t revision;
  uint64_t compacted; /**< Events up to this revision are gone.  */
  uint64_t next_lease;
  GTree *pairs;       /**< GBytes key to struct kv_pair.  */
  GPtrArray *events;  /**< struct kv_pair, by modification revision.  */
  GHashTable *leases; /**< ID to struct kv_lease.  */
};

/** Interval of keys: one key when @c end is empty, all from @c key on when it
    is one zero byte, [key, end) otherwise.  */
struct kv_interval
{
  GBytes *key;
  GBytes *end;
};

void kv_store_init (struct kv_store *store);
void kv_store_finish (struct kv_store *store);
/** Forget all contents and start again at revision 1.  */
void kv_store_reset (struct kv_store *store, bool new_cluster);
/** Forget the event log.  */
void kv_store_compact (struct kv_store *store);

bool kv_interval_contains (const struct kv_interval *interval, GBytes *key);
const struct kv_pair *kv_store_get (const struct kv_store *store, GBytes *key);
/** Pairs of an interval in key order, borrowed; free with
    g_ptr_array_unref().  */
GPtrArray *kv_store_range (const struct kv_store *store,
                           const struct kv_interval *interval);
/** Writes take the revision of their transaction, which the caller begins by
    raising @c store->revision.  */
void kv_store_put (struct kv_store *store, GBytes *key, GBytes *value,
                   uint64_t lease);
unsigned kv_store_delete (struct kv_store *store,
                          const struct kv_interval *interval);

struct kv_lease *kv_store_get_lease (const struct kv_store *store,
                                     uint64_t id);
struct kv_lease *kv_store_grant (struct kv_store *store, int64_t ttl_s,
                                 int64_t now_us);
/** Remove a lease with its keys.  @return false when there is none.  */
bool kv_store_revoke (struct kv_store *store, uint64_t id);
/** Revoke leases that are due; @p all revokes every one.  */
void kv_store_expire (struct kv_store *store, int64_t now_us, bool all);
/** Time of the next expiry, or -1.  */
int64_t kv_store_next_expiry_us (const struct kv_store *store);

#endif
