#ifndef RAGWORTYOKE_PRIVATE_STEERING_STATE_H
#define RAGWORTYOKE_PRIVATE_STEERING_STATE_H

#include <glib.h>

#include "ragwortyoke/steering.h"

/* State of another agent as far as it is known.  */
struct rgy_steering_peer
{
  struct rgy_name name;
  uint64_t weight_hash;
  bool live;
  bool state_known; /* The peer's state has arrived, or is no longer waited
                       for.  */
  uint64_t epoch;
  uint64_t sequence;
  struct rgy_bucket_set may_hold;
  uint64_t acked_sequence;  /* The highest sequence of this agent that the peer
                               has acknowledged.  */
  uint64_t needed_sequence; /* The peer's own sequence when it acknowledged
                               acked_sequence.  */
  uint64_t claim_sequence; /* The peer's sequence in packets of which it is the
                              origin.  */
};

struct rgy_steering
{
  struct rgy_name self;
  uint64_t seed;
  bool lookup_enabled;
  bool eligible; /* This agent may open flows.  */
  struct rgy_bucket_table *table;
  struct rgy_bucket_set owned;
  struct rgy_bucket_set occupied;
  /* Buckets claimed to end forwarding loops, although not owned.  */
  struct rgy_bucket_set claimed;
  struct rgy_bucket_set unsettled;
  uint64_t sequence;
  uint64_t group_sequence;  /* Sequence of the last change of the group.  */
  uint64_t settle_sequence; /* Sequence that live peers must acknowledge.  */
  GHashTable *peers;        /* Owned struct rgy_steering_peer by name.  */
  GPtrArray *live; /* Borrowed struct rgy_steering_peer, sorted by name.  */
};

/** @return the record of an agent, live or not, or NULL.  */
static inline struct rgy_steering_peer *
rgy_steering_find_peer (const struct rgy_steering *steering,
                        const struct rgy_name *name)
{
  return g_hash_table_lookup (steering->peers, name);
}

#endif
