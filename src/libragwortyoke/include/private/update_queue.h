#ifndef RAGWORTYOKE_PRIVATE_UPDATE_QUEUE_H
#define RAGWORTYOKE_PRIVATE_UPDATE_QUEUE_H

/**
 * @file
 * Queue of entries to gossip, ordered by the number of times that they were
 * sent.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "ragwortyoke/replica.h"

/** Bytes charged for an entry in addition to its key and value: class,
    version, tombstone flag and MessagePack headers.  */
#define RGY_UPDATE_OVERHEAD_BYTES 32

/** Number of levels; updates sent 63 times or more share the last one.
    3*ceil(log2 n) sends stay below it for 2 million replicas.  */
#define RGY_UPDATE_LEVEL_COUNT 64

/** Element of the queue, embedded in the object that owns the entry.  */
struct rgy_update
{
  const struct rgy_entry *entry;
  unsigned sends;
  bool queued;
  GList link;
};

struct rgy_update_queue
{
  GQueue levels[RGY_UPDATE_LEVEL_COUNT];
  size_t count;
};

void rgy_update_queue_init (struct rgy_update_queue *queue);

/** Queue an update with a send count of 0; an update that is queued already
    starts again.  */
void rgy_update_queue_push (struct rgy_update_queue *queue,
                            struct rgy_update *update);

/** Remove an update; a call for an update that is not queued
    has no effect.  */
void rgy_update_queue_remove (struct rgy_update_queue *queue,
                              struct rgy_update *update);

/** Implements rgy_replica_take_updates().  */
size_t rgy_update_queue_take (struct rgy_update_queue *queue,
                              unsigned transmissions, size_t max_bytes,
                              const struct rgy_entry **out,
                              size_t max_entries);

#endif
