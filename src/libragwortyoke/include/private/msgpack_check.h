#ifndef RAGWORTYOKE_PRIVATE_MSGPACK_CHECK_H
#define RAGWORTYOKE_PRIVATE_MSGPACK_CHECK_H

/**
 * @file
 * Structural check of MessagePack bytes before they are unpacked.
 */

#include <stdbool.h>

#include "ragwortyoke/str.h"

/**
 * True when @p bytes hold exactly one complete MessagePack object.
 *
 * msgpack-c allocates an array when it reads its header, before the elements
 * have arrived, so that 5 bytes can claim gigabytes.  After this check the
 * allocations are bounded by the number of bytes.
 */
bool rgy_msgpack_is_complete (struct rgy_bytes bytes);

#endif
