#include <msgpack.h>

#include "fuzz.h"
#include "private/msgpack_io.h"

/* Mutates a MessagePack object: unpacks it and packs it again with one node
   changed.  */

#define MAX_COPIES 80
#define MAX_TEXT_BYTES 80

struct edit_
{
  size_t target;  /* Number of the node to change, in packing order.  */
  size_t visited; /* Nodes packed so far.  */
  uint64_t *state;
};

/* Write callback of the packer.  */
static int
append_packed_ (void *data, const char *bytes, size_t len)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)len);
  return 0;
}

/* Number of nodes: the object itself and all elements of its arrays.  */
static size_t
count_nodes_ (const msgpack_object *o)
{
  size_t count = 1;
  uint32_t i;

  if (o->type == MSGPACK_OBJECT_ARRAY)
    for (i = 0; i < o->via.array.size; i++)
      count += count_nodes_ (&o->via.array.ptr[i]);
  return count;
}

/* Packs an array with one random element removed, or repeated 2 to MAX_COPIES
   + 1 times.  An empty array gets one element.  */
static void
pack_changed_array_ (msgpack_packer *pk, const msgpack_object_array *array,
                     uint64_t *state)
{
  size_t size = array->size;
  size_t copies;
  size_t at;
  size_t i;

  if (size == 0)
    {
      msgpack_pack_array (pk, 1);
      msgpack_pack_uint64 (pk, fuzz_random_u64 (state));
      return;
    }
  copies = fuzz_random_below (state, 2) == 0
               ? 0
               : 2 + fuzz_random_below (state, MAX_COPIES);
  at = fuzz_random_below (state, size);
  msgpack_pack_array (pk, size - 1 + copies);
  for (i = 0; i < size - 1 + copies; i++)
    if (i < at)
      msgpack_pack_object (pk, array->ptr[i]);
    else
      msgpack_pack_object (pk,
                           array->ptr[i < at + copies ? at : i + 1 - copies]);
}

/* Packs a boundary value or a neighbour of the number.  */
static void
pack_changed_number_ (msgpack_packer *pk, uint64_t value, uint64_t *state)
{
  const uint64_t values[] = { 0,
                              1,
                              value + 1,
                              value - 1,
                              UINT16_MAX,
                              UINT32_MAX,
                              UINT64_C (1) << 32,
                              (UINT64_C (1) << 48) - 1,
                              UINT64_C (1) << 48,
                              INT64_MAX,
                              UINT64_MAX };

  msgpack_pack_uint64 (
      pk, values[fuzz_random_below (state, G_N_ELEMENTS (values))]);
}

/* Packs a random string of up to MAX_TEXT_BYTES letters.  About a quarter of
   the strings have one random byte.  */
static void
pack_changed_text_ (msgpack_packer *pk, uint64_t *state)
{
  char text[MAX_TEXT_BYTES];
  size_t len = fuzz_random_below (state, sizeof text + 1);
  size_t i;

  for (i = 0; i < len; i++)
    text[i] = (char)('a' + fuzz_random_below (state, 26));
  if (len > 0 && fuzz_random_below (state, 4) == 0)
    text[fuzz_random_below (state, len)] = (char)fuzz_random_u64 (state);
  msgpack_pack_str (pk, len);
  msgpack_pack_str_body (pk, text, len);
}

/* Packs a changed byte string: with one inner node changed if the bytes are a
   MessagePack object themselves, as member records are, or else truncated.  */
static void
pack_changed_bytes_ (msgpack_packer *pk, const msgpack_object_bin *bin,
                     uint64_t *state)
{
  GByteArray *bytes = g_byte_array_new ();

  g_byte_array_append (bytes, (const guint8 *)bin->ptr, bin->size);
  if (!fuzz_mutate_msgpack (bytes, state))
    g_byte_array_set_size (bytes,
                           (guint)fuzz_random_below (state, bytes->len + 1));
  msgpack_pack_bin (pk, bytes->len);
  if (bytes->len > 0)
    msgpack_pack_bin_body (pk, bytes->data, bytes->len);
  g_byte_array_unref (bytes);
}

/* Packs a value of a type that is rarely valid.  */
static void
pack_other_type_ (msgpack_packer *pk, uint64_t *state)
{
  switch (fuzz_random_below (state, 4))
    {
    case 0:
      msgpack_pack_nil (pk);
      break;
    case 1:
      msgpack_pack_int64 (pk, -1);
      break;
    case 2:
      msgpack_pack_array (pk, 0);
      break;
    default:
      msgpack_pack_double (pk, 1.5);
      break;
    }
}

static void
pack_changed_node_ (msgpack_packer *pk, const msgpack_object *o,
                    uint64_t *state)
{
  if (fuzz_random_below (state, 16) == 0)
    {
      pack_other_type_ (pk, state);
      return;
    }
  switch (o->type)
    {
    case MSGPACK_OBJECT_ARRAY:
      pack_changed_array_ (pk, &o->via.array, state);
      break;
    case MSGPACK_OBJECT_POSITIVE_INTEGER:
      pack_changed_number_ (pk, o->via.u64, state);
      break;
    case MSGPACK_OBJECT_BOOLEAN:
      if (o->via.boolean)
        msgpack_pack_false (pk);
      else
        msgpack_pack_true (pk);
      break;
    case MSGPACK_OBJECT_STR:
      pack_changed_text_ (pk, state);
      break;
    case MSGPACK_OBJECT_BIN:
      pack_changed_bytes_ (pk, &o->via.bin, state);
      break;
    default:
      pack_other_type_ (pk, state);
      break;
    }
}

/* Packs the object, with the node that @p edit selects changed.  */
static void
pack_node_ (msgpack_packer *pk, const msgpack_object *o, struct edit_ *edit)
{
  uint32_t i;

  if (edit->visited++ == edit->target)
    {
      pack_changed_node_ (pk, o, edit->state);
      return;
    }
  if (o->type != MSGPACK_OBJECT_ARRAY)
    {
      msgpack_pack_object (pk, *o);
      return;
    }
  msgpack_pack_array (pk, o->via.array.size);
  for (i = 0; i < o->via.array.size; i++)
    pack_node_ (pk, &o->via.array.ptr[i], edit);
}

bool
fuzz_mutate_msgpack (GByteArray *input, uint64_t *state)
{
  struct edit_ edit = { .state = state };
  msgpack_unpacked unpacked;
  msgpack_packer pk;
  GByteArray *out;
  size_t offset = 0;
  bool ok;

  if (!rgy_msgpack_is_complete (fuzz_view_array (input)))
    return false;
  msgpack_unpacked_init (&unpacked);
  ok = msgpack_unpack_next (&unpacked, (const char *)input->data, input->len,
                            &offset)
           == MSGPACK_UNPACK_SUCCESS
       && offset == input->len;
  if (ok)
    {
      out = g_byte_array_new ();
      edit.target = fuzz_random_below (state, count_nodes_ (&unpacked.data));
      msgpack_packer_init (&pk, out, append_packed_);
      pack_node_ (&pk, &unpacked.data, &edit);
      g_byte_array_set_size (input, 0);
      g_byte_array_append (input, out->data, out->len);
      g_byte_array_unref (out);
    }
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}
