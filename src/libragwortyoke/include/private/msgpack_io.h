#ifndef RAGWORTYOKE_PRIVATE_MSGPACK_IO_H
#define RAGWORTYOKE_PRIVATE_MSGPACK_IO_H

/**
 * @file
 * Functions to write and read MessagePack arrays of the library's own types,
 * for all codecs.  A reader stores its first failure, so that a decoder checks
 * for errors once, at the end.
 */

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/outcome.h"
#include "ragwortyoke/str.h"

/* Writing of MessagePack values.  */

/** Write function of a packer whose buffer is a GByteArray.  */
int rgy_pack_append (void *byte_array, const char *data, size_t len);
void rgy_pack_name (msgpack_packer *pk, const struct rgy_name *name);
void rgy_pack_bytes (msgpack_packer *pk, struct rgy_bytes bytes);
void rgy_pack_endpoint (msgpack_packer *pk, struct rgy_endpoint endpoint);
void rgy_pack_bool (msgpack_packer *pk, bool value);

/* Reading of MessagePack values.  */

/**
 * Check that @p bytes hold exactly one complete MessagePack object.
 *
 * msgpack-c allocates an array when it reads the array header, before the
 * elements have arrived, so a datagram of 5 bytes can make it allocate
 * gigabytes.  After this check the allocations are bounded by the number of
 * bytes.
 */
bool rgy_msgpack_is_complete (struct rgy_bytes bytes);

/** Unpack exactly one object.  Its strings and byte ranges point into
    @p bytes; its arrays are allocated in @p zone.
    @return false when the bytes are malformed.  */
bool rgy_msgpack_unpack (struct rgy_bytes bytes, msgpack_zone *zone,
                         msgpack_object *object);

/** Cursor over the elements of one array.  */
struct rgy_reader
{
  const msgpack_object *items;
  size_t count;
  size_t next;
  enum rgy_outcome outcome; /**< First failure, or RGY_OK.  */
};

/** Make a reader of the array @p object; the reader has failed when @p object
    is not an array.  */
struct rgy_reader rgy_reader_init (const msgpack_object *object);
bool rgy_reader_is_ok (const struct rgy_reader *reader);

/** Set the reader's failure, unless it has one already.
    RGY_OK is ignored.  */
void rgy_reader_fail (struct rgy_reader *reader, enum rgy_outcome outcome);

/** Read the next element, which must be an array, and return a
    reader of it.  */
struct rgy_reader rgy_read_array (struct rgy_reader *reader);

/** Like rgy_read_array(), but an array of fewer than @p min or more than
    @p max elements is a failure.  */
struct rgy_reader rgy_read_array_of (struct rgy_reader *reader, size_t min,
                                     size_t max);
uint64_t rgy_read_u64 (struct rgy_reader *reader);

/** Read an integer from 0 to @p max; a larger one is a failure.  */
uint64_t rgy_read_u64_max (struct rgy_reader *reader, uint64_t max);
bool rgy_read_bool (struct rgy_reader *reader);
struct rgy_bytes rgy_read_bytes (struct rgy_reader *reader);
void rgy_read_name (struct rgy_reader *reader, struct rgy_name *name);

/** Like rgy_read_name(), but the name may be empty.  */
void rgy_read_optional_name (struct rgy_reader *reader, struct rgy_name *name);
struct rgy_endpoint rgy_read_endpoint (struct rgy_reader *reader);

#endif
