#ifndef RAGWORTYOKE_BYTES_H
#define RAGWORTYOKE_BYTES_H

/**
 * @file
 * Big-endian integers in byte buffers.
 */

#include <stddef.h>
#include <stdint.h>

/** Write the low @p len bytes of @p value, at most 8, most
    significant byte first.  */
static inline void
rgy_put_be (uint8_t *out, uint64_t value, size_t len)
{
  size_t i;

  for (i = 0; i < len; i++)
    out[i] = (uint8_t)(value >> (8 * (len - 1 - i)));
}

/** Read an integer of @p len bytes, at most 8, most
    significant byte first.  */
static inline uint64_t
rgy_get_be (const uint8_t *in, size_t len)
{
  uint64_t value = 0;
  size_t i;

  for (i = 0; i < len; i++)
    value = value << 8 | in[i];
  return value;
}

#endif
