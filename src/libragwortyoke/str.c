#include "ragwortyoke/str.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

static bool
is_name_char_ (char c)
{
  return g_ascii_isalnum (c) || c == '-' || c == '_' || c == '.';
}

struct rgy_str
rgy_str_from_c (const char *text)
{
  return (struct rgy_str){ .data = text, .len = strlen (text) };
}

bool
rgy_str_equal (struct rgy_str a, struct rgy_str b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

enum rgy_outcome
rgy_name_set (struct rgy_name *name, struct rgy_str text)
{
  size_t i;

  if (text.len == 0 || text.len > RGY_NAME_MAX_BYTES)
    return RGY_ERR_INVALID;
  for (i = 0; i < text.len; i++)
    if (!is_name_char_ (text.data[i]))
      return RGY_ERR_INVALID;
  memset (name, 0, sizeof *name);
  name->len = (uint8_t)text.len;
  memcpy (name->data, text.data, text.len);
  return RGY_OK;
}

struct rgy_name
rgy_name_from_c (const char *text)
{
  struct rgy_name name;
  enum rgy_outcome rc = rgy_name_set (&name, rgy_str_from_c (text));

  g_assert_cmpint (rc, ==, RGY_OK);
  return name;
}

int
rgy_name_compare (const struct rgy_name *a, const struct rgy_name *b)
{
  return memcmp (a->data, b->data, sizeof a->data);
}

static int
compare_names_ (const void *a, const void *b)
{
  return rgy_name_compare (a, b);
}

void
rgy_name_sort (struct rgy_name *names, size_t count)
{
  qsort (names, count, sizeof names[0], compare_names_);
}

bool
rgy_name_equal (const struct rgy_name *a, const struct rgy_name *b)
{
  return a->len == b->len && memcmp (a->data, b->data, a->len) == 0;
}

uint64_t
rgy_name_hash (const struct rgy_name *name, uint64_t seed)
{
  return XXH3_64bits_withSeed (name->data, name->len, seed);
}

unsigned
rgy_name_ghash (const void *name)
{
  return (unsigned)rgy_name_hash (name, 0);
}

int
rgy_name_gequal (const void *a, const void *b)
{
  return rgy_name_equal (a, b);
}

uint64_t
rgy_hash_bytes (struct rgy_bytes bytes, uint64_t seed)
{
  return XXH3_64bits_withSeed (bytes.data, bytes.len, seed);
}
