#ifndef RAGWORTYOKE_STR_H
#define RAGWORTYOKE_STR_H

/**
 * @file
 * Length-counted strings and byte ranges.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/outcome.h"

/** Longest name of a customer, service, failure domain or
    instance, in bytes.  */
#define RGY_NAME_MAX_BYTES 62

/** Borrowed text; not NUL-terminated.  */
struct rgy_str
{
  const char *data;
  size_t len;
};

/** Borrowed bytes.  */
struct rgy_bytes
{
  const uint8_t *data;
  size_t len;
};

/** Short name, stored by value.  Unused bytes of @c data are
    zero, so that names can be hashed and compared as memory;
    @c data is always NUL-terminated.  */
struct rgy_name
{
  uint8_t len;
  char data[RGY_NAME_MAX_BYTES + 1];
};

/** Borrow a string literal.  */
#define RGY_STR(literal)                                                      \
  ((struct rgy_str){ .data = (literal), .len = sizeof (literal) - 1 })

/** Borrow a NUL-terminated string.  */
struct rgy_str rgy_str_from_c (const char *text);

bool rgy_str_equal (struct rgy_str a, struct rgy_str b);

/**
 * Copy a name.  Allowed characters are a-z, A-Z, 0-9, '-', '_' and '.'.
 *
 * @return RGY_OK, or RGY_ERR_INVALID when @p text is empty or too long, or
 *         contains another character.
 */
enum rgy_outcome rgy_name_set (struct rgy_name *name, struct rgy_str text);

/** Make a name from a NUL-terminated literal; aborts when the
    name is invalid.  */
struct rgy_name rgy_name_from_c (const char *text);

/** Compare two names; the result is negative, zero or positive
    as for memcmp().  */
int rgy_name_compare (const struct rgy_name *a, const struct rgy_name *b);

/** Sort names in place by rgy_name_compare().  */
void rgy_name_sort (struct rgy_name *names, size_t count);

bool rgy_name_equal (const struct rgy_name *a, const struct rgy_name *b);

/** 64-bit hash of a name (xxh3).  */
uint64_t rgy_name_hash (const struct rgy_name *name, uint64_t seed);

/** Hash and equality functions for a GHashTable keyed by struct rgy_name.  */
unsigned rgy_name_ghash (const void *name);
int rgy_name_gequal (const void *a, const void *b);

/** 64-bit hash of bytes (xxh3).  */
uint64_t rgy_hash_bytes (struct rgy_bytes bytes, uint64_t seed);

#endif
