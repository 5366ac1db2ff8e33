#include "private/msgpack_io.h"

#include <string.h>

/* Largest packed endpoint: a 32-bit address and a 16-bit port.  */
#define ENDPOINT_MAX ((UINT64_C (1) << 48) - 1)

int
rgy_pack_append (void *byte_array, const char *data, size_t len)
{
  g_byte_array_append (byte_array, (const guint8 *)data, (guint)len);
  return 0;
}

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
  if (bytes.len > 0)
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

bool
rgy_msgpack_unpack (struct rgy_bytes bytes, msgpack_zone *zone,
                    msgpack_object *object)
{
  size_t offset = 0;

  return rgy_msgpack_is_complete (bytes)
         && msgpack_unpack ((const char *)bytes.data, bytes.len, &offset, zone,
                            object)
                == MSGPACK_UNPACK_SUCCESS;
}

struct rgy_reader
rgy_reader_init (const msgpack_object *object)
{
  if (object->type != MSGPACK_OBJECT_ARRAY)
    return (struct rgy_reader){ .outcome = RGY_ERR_INVALID };
  return (struct rgy_reader){ .items = object->via.array.ptr,
                              .count = object->via.array.size };
}

bool
rgy_reader_is_ok (const struct rgy_reader *r)
{
  return r->outcome == RGY_OK;
}

void
rgy_reader_fail (struct rgy_reader *r, enum rgy_outcome outcome)
{
  if (r->outcome == RGY_OK)
    r->outcome = outcome;
}

/* Returns the next element, or NULL with a failure when there is none or it
   has another type.  */
static const msgpack_object *
next_element_ (struct rgy_reader *r, msgpack_object_type type)
{
  const msgpack_object *o;

  if (r->outcome != RGY_OK)
    return NULL;
  o = r->next < r->count ? &r->items[r->next++] : NULL;
  if (o != NULL && o->type == type)
    return o;
  r->outcome = RGY_ERR_INVALID;
  return NULL;
}

struct rgy_reader
rgy_read_array (struct rgy_reader *r)
{
  const msgpack_object *o = next_element_ (r, MSGPACK_OBJECT_ARRAY);

  if (o == NULL)
    return (struct rgy_reader){ .outcome = RGY_ERR_INVALID };
  return rgy_reader_init (o);
}

struct rgy_reader
rgy_read_array_of (struct rgy_reader *r, size_t min, size_t max)
{
  struct rgy_reader list = rgy_read_array (r);

  if (list.outcome == RGY_OK && list.count >= min && list.count <= max)
    return list;
  rgy_reader_fail (r, RGY_ERR_INVALID);
  return (struct rgy_reader){ .outcome = RGY_ERR_INVALID };
}

uint64_t
rgy_read_u64 (struct rgy_reader *r)
{
  const msgpack_object *o = next_element_ (r, MSGPACK_OBJECT_POSITIVE_INTEGER);

  return o == NULL ? 0 : o->via.u64;
}

uint64_t
rgy_read_u64_max (struct rgy_reader *r, uint64_t max)
{
  uint64_t value = rgy_read_u64 (r);

  if (value <= max)
    return value;
  rgy_reader_fail (r, RGY_ERR_INVALID);
  return 0;
}

bool
rgy_read_bool (struct rgy_reader *r)
{
  const msgpack_object *o = next_element_ (r, MSGPACK_OBJECT_BOOLEAN);

  return o != NULL && o->via.boolean;
}

struct rgy_bytes
rgy_read_bytes (struct rgy_reader *r)
{
  const msgpack_object *o = next_element_ (r, MSGPACK_OBJECT_BIN);

  if (o == NULL)
    return (struct rgy_bytes){ 0 };
  return (struct rgy_bytes){ .data = (const uint8_t *)o->via.bin.ptr,
                             .len = o->via.bin.size };
}

void
rgy_read_optional_name (struct rgy_reader *r, struct rgy_name *name)
{
  const msgpack_object *o = next_element_ (r, MSGPACK_OBJECT_STR);

  memset (name, 0, sizeof *name);
  if (o == NULL || o->via.str.size == 0)
    return;
  rgy_reader_fail (
      r, rgy_name_set (name, (struct rgy_str){ .data = o->via.str.ptr,
                                               .len = o->via.str.size }));
}

void
rgy_read_name (struct rgy_reader *r, struct rgy_name *name)
{
  rgy_read_optional_name (r, name);
  if (name->len == 0)
    rgy_reader_fail (r, RGY_ERR_INVALID);
}

struct rgy_endpoint
rgy_read_endpoint (struct rgy_reader *r)
{
  return rgy_endpoint_unpack (rgy_read_u64_max (r, ENDPOINT_MAX));
}
