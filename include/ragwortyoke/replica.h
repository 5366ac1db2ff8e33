#ifndef RAGWORTYOKE_REPLICA_H
#define RAGWORTYOKE_REPLICA_H

/**
 * @file
 * Replica of versioned entries, kept in memory only, with digests for
 * synchronisation and a queue of updates for gossip.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/outcome.h"
#include "ragwortyoke/str.h"

#define RGY_SUBDIGEST_COUNT 64

enum rgy_entry_class
{
  RGY_ENTRY_CONTRACT,
  RGY_ENTRY_DOMAIN,
  RGY_ENTRY_AGENT,
  RGY_ENTRY_BALANCER,
  RGY_ENTRY_CLASS_COUNT
};
extern const char *const rgy_entry_class_string[];

/** Versions are compared by @c major, then by @c minor.  */
struct rgy_version
{
  uint64_t major;
  uint64_t minor;
};

struct rgy_entry
{
  struct rgy_version version;
  struct rgy_bytes value;
  enum rgy_entry_class class;
  bool deleted; /**< The entry is a tombstone; @c value is empty.  */
  struct rgy_name key;
};

/** Compare two versions.
    @return a negative number, zero or a positive number, as memcmp().  */
int rgy_version_compare (struct rgy_version a, struct rgy_version b);

/** Hash of class, key, version and tombstone flag.  The digest of a set of
    entries is the XOR of their hashes, 0 for an empty set; callers combine
    hashes for subsets such as the agents of one service.  */
uint64_t rgy_entry_get_hash (const struct rgy_entry *entry);
/** Sub-digest bucket of an entry, below RGY_SUBDIGEST_COUNT; depends on the
    key only.  */
unsigned rgy_entry_get_bucket (const struct rgy_entry *entry);

struct rgy_replica;

struct rgy_replica *rgy_replica_new (void);
void rgy_replica_delete (struct rgy_replica *replica);

/**
 * Merge one entry; the value is copied.  A merged entry joins the update queue
 * and replaces an older version of itself there.  At equal versions a
 * tombstone is newer than a live entry, so that the result does not depend on
 * the order of merging.  Pointers to entries of the replica stay valid until
 * the next merge or prune.
 *
 * @return RGY_OK when the entry is newer, RGY_ERR_STALE when it is not, or
 *         RGY_ERR_INVALID when the class is out of range or the key empty.
 */
enum rgy_outcome rgy_replica_merge (struct rgy_replica *replica,
                                    const struct rgy_entry *entry);

/** As rgy_replica_merge(), but the entry does not join the update
    queue: for the initial synchronisation, whose entries the other
    replicas already have.  */
enum rgy_outcome rgy_replica_merge_unqueued (struct rgy_replica *replica,
                                             const struct rgy_entry *entry);

/** Look up an entry by its key.
    @return the entry, which may be a tombstone, or NULL.  */
const struct rgy_entry *rgy_replica_get (const struct rgy_replica *replica,
                                         enum rgy_entry_class class,
                                         const struct rgy_name *key);

/** Remove an entry without leaving a tombstone, for members that have been
    dead for a long time.  */
void rgy_replica_prune (struct rgy_replica *replica,
                        enum rgy_entry_class class,
                        const struct rgy_name *key);

size_t rgy_replica_get_count (const struct rgy_replica *replica,
                              enum rgy_entry_class class);

typedef void (*rgy_entry_fn) (const struct rgy_entry *entry, void *ctx);

/** Call @p fn for every entry of a class, tombstones included, in the order of
    the keys.  */
void rgy_replica_foreach (const struct rgy_replica *replica,
                          enum rgy_entry_class class, rgy_entry_fn fn,
                          void *ctx);

/** Digest of the keys and versions of a class; it does not depend on the order
    of merging.  */
uint64_t rgy_replica_get_digest (const struct rgy_replica *replica,
                                 enum rgy_entry_class class);
void rgy_replica_get_subdigests (const struct rgy_replica *replica,
                                 enum rgy_entry_class class,
                                 uint64_t subdigests[RGY_SUBDIGEST_COUNT]);

/** Call @p fn for the entries in the buckets whose sub-digests differ
    from @p theirs.  */
void rgy_replica_foreach_difference (
    const struct rgy_replica *replica, enum rgy_entry_class class,
    const uint64_t theirs[RGY_SUBDIGEST_COUNT], rgy_entry_fn fn, void *ctx);

/**
 * Take updates for one gossip datagram: the least often sent first, and the
 * newest first among those sent equally often.
 *
 * @param transmissions  an update leaves the queue after this many sends.  0,
 *         for a replica without peers, takes and drops nothing.
 * @param max_bytes      sum of key and value sizes plus 32 bytes per entry.
 * @return number of entries stored in @p out.  Entries that can never fit are
 *         removed from the queue and reach other replicas by synchronisation.
 */
size_t rgy_replica_take_updates (struct rgy_replica *replica,
                                 unsigned transmissions, size_t max_bytes,
                                 const struct rgy_entry **out,
                                 size_t max_entries);

/** Number of entries whose updates are still queued.  */
size_t rgy_replica_get_update_count (const struct rgy_replica *replica);

/** Bytes allocated by the replica, for capacity measurements.  */
size_t rgy_replica_get_memory (const struct rgy_replica *replica);

#endif
