#ifndef RAGWORTYOKE_PRIVATE_MSGPACK_IO_H
#define RAGWORTYOKE_PRIVATE_MSGPACK_IO_H

/**
 * @file
 * Helpers to write and read MessagePack arrays of the library's own types.
 * A reader remembers its first failure, so that a decoder checks it once.
 */

#include <msgpack.h>
#include <stdbool.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/str.h"

void rgy_pack_name (msgpack_packer *pk, const struct rgy_name *name);
void rgy_pack_bytes (msgpack_packer *pk, struct rgy_bytes bytes);
void rgy_pack_endpoint (msgpack_packer *pk, struct rgy_endpoint endpoint);
void rgy_pack_bool (msgpack_packer *pk, bool value);

/** Cursor over the elements of one array.  */
struct rgy_reader
{
  const msgpack_object *items;
  size_t count;
  size_t next;
  bool failed;
};

/** Reader over @p object; failed when it is not an array.  */
struct rgy_reader rgy_reader_init (const msgpack_object *object);

/** Reader over the next element, which must be an array.  */
struct rgy_reader rgy_read_array (struct rgy_reader *reader);
uint64_t rgy_read_u64 (struct rgy_reader *reader);

/** Integer from 0 to @p max; a larger one fails.  */
uint64_t rgy_read_max (struct rgy_reader *reader, uint64_t max);
bool rgy_read_bool (struct rgy_reader *reader);
struct rgy_bytes rgy_read_bytes (struct rgy_reader *reader);
void rgy_read_name (struct rgy_reader *reader, struct rgy_name *name);

/** As rgy_read_name(), but an empty name is allowed.  */
void rgy_read_optional_name (struct rgy_reader *reader, struct rgy_name *name);
struct rgy_endpoint rgy_read_endpoint (struct rgy_reader *reader);

#endif
