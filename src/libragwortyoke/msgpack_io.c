#include "private/msgpack_io.h"

#include <string.h>

/* 32-bit address and 16-bit port.  */
#define ENDPOINT_MAX ((UINT64_C (1) << 48) - 1)

void
rgy_pack_name (msgpack_packer *pk, const struct rgy_name *name)
{
  msgpack_pack_str (pk, name->len);
  msgpack_pack_str_body (pk, name->data, name->len);
}

void
rgy_pack_bytes (msgpack_packer *pk, struct rgy_bytes bytes)
{
  msgpack_pack_bin (pk, bytes.len);
  msgpack_pack_bin_body (pk, bytes.data, bytes.len);
}

void
rgy_pack_endpoint (msgpack_packer *pk, struct rgy_endpoint endpoint)
{
  msgpack_pack_uint64 (pk, rgy_endpoint_pack (endpoint));
}

void
rgy_pack_bool (msgpack_packer *pk, bool value)
{
  if (value)
    msgpack_pack_true (pk);
  else
    msgpack_pack_false (pk);
}

struct rgy_reader
rgy_reader_init (const msgpack_object *object)
{
  struct rgy_reader r = { 0 };

  if (object->type != MSGPACK_OBJECT_ARRAY)
    {
      r.failed = true;
      return r;
    }
  r.items = object->via.array.ptr;
  r.count = object->via.array.size;
  return r;
}

/* Takes the next element if it has the wanted type.  */
static const msgpack_object *
take_ (struct rgy_reader *r, msgpack_object_type type)
{
  const msgpack_object *o;

  if (r->failed || r->next >= r->count)
    {
      r->failed = true;
      return NULL;
    }
  o = &r->items[r->next++];
  if (o->type != type)
    {
      r->failed = true;
      return NULL;
    }
  return o;
}

struct rgy_reader
rgy_read_array (struct rgy_reader *r)
{
  const msgpack_object *o = take_ (r, MSGPACK_OBJECT_ARRAY);

  if (o == NULL)
    return (struct rgy_reader){ .failed = true };
  return rgy_reader_init (o);
}

uint64_t
rgy_read_u64 (struct rgy_reader *r)
{
  const msgpack_object *o = take_ (r, MSGPACK_OBJECT_POSITIVE_INTEGER);

  return o == NULL ? 0 : o->via.u64;
}

uint64_t
rgy_read_max (struct rgy_reader *r, uint64_t max)
{
  uint64_t value = rgy_read_u64 (r);

  if (value > max)
    {
      r->failed = true;
      return 0;
    }
  return value;
}

bool
rgy_read_bool (struct rgy_reader *r)
{
  const msgpack_object *o = take_ (r, MSGPACK_OBJECT_BOOLEAN);

  return o != NULL && o->via.boolean;
}

struct rgy_bytes
rgy_read_bytes (struct rgy_reader *r)
{
  const msgpack_object *o = take_ (r, MSGPACK_OBJECT_BIN);

  if (o == NULL)
    return (struct rgy_bytes){ 0 };
  return (struct rgy_bytes){ .data = (const uint8_t *)o->via.bin.ptr,
                             .len = o->via.bin.size };
}

void
rgy_read_optional_name (struct rgy_reader *r, struct rgy_name *name)
{
  const msgpack_object *o = take_ (r, MSGPACK_OBJECT_STR);

  memset (name, 0, sizeof *name);
  if (o == NULL || o->via.str.size == 0)
    return;
  if (rgy_name_set (name, (struct rgy_str){ .data = o->via.str.ptr,
                                            .len = o->via.str.size })
      != RGY_OK)
    r->failed = true;
}

void
rgy_read_name (struct rgy_reader *r, struct rgy_name *name)
{
  rgy_read_optional_name (r, name);
  if (name->len == 0)
    r->failed = true;
}

struct rgy_endpoint
rgy_read_endpoint (struct rgy_reader *r)
{
  return rgy_endpoint_unpack (rgy_read_max (r, ENDPOINT_MAX));
}
