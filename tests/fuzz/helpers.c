#include <sodium.h>
#include <string.h>

#include "fuzz.h"

#define STEP_HEADER_BYTES 3

const uint8_t fuzz_key[RGY_WIRE_KEY_BYTES] = { 0x66, 0x75, 0x7a, 0x7a };

uint64_t
fuzz_random_u64 (uint64_t *state)
{
  uint64_t z;

  *state += UINT64_C (0x9e3779b97f4a7c15);
  z = *state;
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

size_t
fuzz_random_below (uint64_t *state, size_t limit)
{
  return (size_t)(fuzz_random_u64 (state) % limit);
}

void
fuzz_add_seed (GPtrArray *seeds, const void *data, size_t len)
{
  g_ptr_array_add (seeds, g_bytes_new (data, len));
}

void
fuzz_add_seed_text (GPtrArray *seeds, const char *text)
{
  fuzz_add_seed (seeds, text, strlen (text));
}

void
fuzz_add_seed_array (GPtrArray *seeds, GByteArray *bytes)
{
  g_ptr_array_add (seeds, g_byte_array_free_to_bytes (bytes));
}

GByteArray *
fuzz_build_datagram (struct rgy_bytes body)
{
  GByteArray *datagram = g_byte_array_new ();
  uint8_t tag[RGY_WIRE_TAG_BYTES];

  crypto_generichash (tag, sizeof tag, body.data, body.len, fuzz_key,
                      sizeof fuzz_key);
  g_byte_array_append (datagram, tag, sizeof tag);
  if (body.len > 0)
    g_byte_array_append (datagram, body.data, (guint)body.len);
  return datagram;
}

bool
fuzz_is_within (struct rgy_bytes part, struct rgy_bytes whole)
{
  return part.len == 0
         || (part.data >= whole.data
             && part.data + part.len <= whole.data + whole.len);
}

struct rgy_bytes
fuzz_view_array (const GByteArray *bytes)
{
  return (struct rgy_bytes){ .data = bytes->data, .len = bytes->len };
}

bool
fuzz_arrays_equal (const GByteArray *a, const GByteArray *b)
{
  return a->len == b->len
         && (a->len == 0 || memcmp (a->data, b->data, a->len) == 0);
}

void
fuzz_step_append (GByteArray *steps, uint8_t operation, struct rgy_bytes data)
{
  uint8_t header[STEP_HEADER_BYTES]
      = { operation, (uint8_t)(data.len >> 8), (uint8_t)data.len };

  g_assert (data.len <= UINT16_MAX);
  g_byte_array_append (steps, header, sizeof header);
  if (data.len > 0)
    g_byte_array_append (steps, data.data, (guint)data.len);
}

bool
fuzz_step_next (struct rgy_bytes *steps, uint8_t *operation,
                struct rgy_bytes *data)
{
  size_t len;

  if (steps->len < STEP_HEADER_BYTES)
    return false;
  *operation = steps->data[0];
  len = (size_t)steps->data[1] << 8 | steps->data[2];
  steps->data += STEP_HEADER_BYTES;
  steps->len -= STEP_HEADER_BYTES;
  *data = (struct rgy_bytes){ .data = steps->data,
                              .len = MIN (len, steps->len) };
  steps->data += data->len;
  steps->len -= data->len;
  return true;
}
