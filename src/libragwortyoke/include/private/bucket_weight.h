#ifndef RAGWORTYOKE_PRIVATE_BUCKET_WEIGHT_H
#define RAGWORTYOKE_PRIVATE_BUCKET_WEIGHT_H

#include <stdint.h>

#include "ragwortyoke/str.h"

/** @return the rendezvous weight of an agent for a bucket.
    @param name_hash  hash of the agent's name with the service's seed.  */
static inline uint64_t
rgy_bucket_weight (uint64_t name_hash, unsigned bucket)
{
  uint64_t in[2] = { name_hash, bucket };

  return rgy_hash_bytes (
      (struct rgy_bytes){ .data = (const uint8_t *)in, .len = sizeof in }, 0);
}

#endif
