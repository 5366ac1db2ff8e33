#include "private/msgpack_io.h"

/* What follows the first byte and the length field of an object.  */
enum follows_
{
  FOLLOWS_NOTHING,
  FOLLOWS_BYTES,
  FOLLOWS_EXT, /* A type byte and the data bytes.  */
  FOLLOWS_ITEMS,
  FOLLOWS_PAIRS,
  FOLLOWS_INVALID
};

struct header_
{
  uint8_t length_bytes; /* Size of the length field.  */
  uint8_t fixed_bytes;  /* Size of the value of an object without
                           a length field.  */
  enum follows_ follows;
};

/* Headers of the first bytes 0xc0 to 0xdf.  */
static const struct header_ headers_[32] = {
  [0x00] = { 0, 0, FOLLOWS_NOTHING },  /* nil */
  [0x01] = { 0, 0, FOLLOWS_INVALID },  /* never used */
  [0x02] = { 0, 0, FOLLOWS_NOTHING },  /* false */
  [0x03] = { 0, 0, FOLLOWS_NOTHING },  /* true */
  [0x04] = { 1, 0, FOLLOWS_BYTES },    /* bin 8 */
  [0x05] = { 2, 0, FOLLOWS_BYTES },    /* bin 16 */
  [0x06] = { 4, 0, FOLLOWS_BYTES },    /* bin 32 */
  [0x07] = { 1, 0, FOLLOWS_EXT },      /* ext 8 */
  [0x08] = { 2, 0, FOLLOWS_EXT },      /* ext 16 */
  [0x09] = { 4, 0, FOLLOWS_EXT },      /* ext 32 */
  [0x0a] = { 0, 4, FOLLOWS_NOTHING },  /* float 32 */
  [0x0b] = { 0, 8, FOLLOWS_NOTHING },  /* float 64 */
  [0x0c] = { 0, 1, FOLLOWS_NOTHING },  /* uint 8 */
  [0x0d] = { 0, 2, FOLLOWS_NOTHING },  /* uint 16 */
  [0x0e] = { 0, 4, FOLLOWS_NOTHING },  /* uint 32 */
  [0x0f] = { 0, 8, FOLLOWS_NOTHING },  /* uint 64 */
  [0x10] = { 0, 1, FOLLOWS_NOTHING },  /* int 8 */
  [0x11] = { 0, 2, FOLLOWS_NOTHING },  /* int 16 */
  [0x12] = { 0, 4, FOLLOWS_NOTHING },  /* int 32 */
  [0x13] = { 0, 8, FOLLOWS_NOTHING },  /* int 64 */
  [0x14] = { 0, 2, FOLLOWS_NOTHING },  /* fixext 1 */
  [0x15] = { 0, 3, FOLLOWS_NOTHING },  /* fixext 2 */
  [0x16] = { 0, 5, FOLLOWS_NOTHING },  /* fixext 4 */
  [0x17] = { 0, 9, FOLLOWS_NOTHING },  /* fixext 8 */
  [0x18] = { 0, 17, FOLLOWS_NOTHING }, /* fixext 16 */
  [0x19] = { 1, 0, FOLLOWS_BYTES },    /* str 8 */
  [0x1a] = { 2, 0, FOLLOWS_BYTES },    /* str 16 */
  [0x1b] = { 4, 0, FOLLOWS_BYTES },    /* str 32 */
  [0x1c] = { 2, 0, FOLLOWS_ITEMS },    /* array 16 */
  [0x1d] = { 4, 0, FOLLOWS_ITEMS },    /* array 32 */
  [0x1e] = { 2, 0, FOLLOWS_PAIRS },    /* map 16 */
  [0x1f] = { 4, 0, FOLLOWS_PAIRS },    /* map 32 */
};

bool
rgy_msgpack_is_complete (struct rgy_bytes bytes)
{
  const uint8_t *p = bytes.data;
  size_t left = bytes.len;
  uint64_t pending = 1; /* Number of objects that must still follow.  */
  uint64_t length;
  struct header_ h;
  uint8_t first;
  unsigned i;

  while (pending > 0)
    {
      /* Every object takes at least one byte.  */
      if (pending > left)
        return false;
      first = *p++;
      left--;
      pending--;
      length = 0;
      h = (struct header_){ .follows = FOLLOWS_NOTHING };
      if (first >= 0xc0 && first <= 0xdf)
        h = headers_[first - 0xc0];
      else if (first >= 0xa0 && first <= 0xbf)
        {
          h.follows = FOLLOWS_BYTES;
          length = first & 0x1f;
        }
      else if (first >= 0x80 && first <= 0x9f)
        {
          h.follows = first < 0x90 ? FOLLOWS_PAIRS : FOLLOWS_ITEMS;
          length = first & 0x0f;
        }
      if (h.length_bytes > left)
        return false;
      for (i = 0; i < h.length_bytes; i++)
        length = length << 8 | *p++;
      left -= h.length_bytes;
      switch (h.follows)
        {
        case FOLLOWS_INVALID:
          return false;
        case FOLLOWS_NOTHING:
          length = h.fixed_bytes;
          break;
        case FOLLOWS_BYTES:
          break;
        case FOLLOWS_EXT:
          length++;
          break;
        case FOLLOWS_ITEMS:
          pending += length;
          length = 0;
          break;
        case FOLLOWS_PAIRS:
          pending += 2 * length;
          length = 0;
          break;
        }
      if (length > left)
        return false;
      p += length;
      left -= length;
    }
  return left == 0;
}
