#ifndef RGY_FUZZ_H
#define RGY_FUZZ_H

/**
 * @file
 * Fuzz targets.  A target feeds one input to a decoder and aborts when the
 * decoder breaks a promise; driver.c mutates the target's valid inputs, and
 * libfuzzer.c hands the same function to clang's libFuzzer.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/str.h"
#include "ragwortyoke/wire.h"

/* Of each target.  */

/** Add valid inputs (GBytes), made by the library's own encoders.  */
void fuzz_add_seeds (GPtrArray *seeds);

/** Run one input; aborts on a failure.  */
void fuzz_run (struct rgy_bytes input);

/* Helpers.  */

/** Key of the targets that handle messages between processes.  */
extern const uint8_t fuzz_key[RGY_WIRE_KEY_BYTES];

void fuzz_add_seed (GPtrArray *seeds, const void *data, size_t len);
void fuzz_add_text (GPtrArray *seeds, const char *text);

/** Add a seed and release @p bytes.  */
void fuzz_add_array (GPtrArray *seeds, GByteArray *bytes);

/** Datagram with a valid tag over @p body; free with g_byte_array_unref().  */
GByteArray *fuzz_seal (struct rgy_bytes body);

/** True when @p part lies within @p whole.  */
bool fuzz_is_within (struct rgy_bytes part, struct rgy_bytes whole);

struct rgy_bytes fuzz_borrow (const GByteArray *bytes);
bool fuzz_arrays_equal (const GByteArray *a, const GByteArray *b);

/* Inputs of the core targets: a sequence of steps, each an operation, a
   length of two bytes and its data.  */

void fuzz_step_append (GByteArray *steps, uint8_t operation,
                       struct rgy_bytes data);

/** Take the next step; the last one may be cut.  @return false at the end.  */
bool fuzz_step_next (struct rgy_bytes *steps, uint8_t *operation,
                     struct rgy_bytes *data);

/* Mutations that keep the structure of an input valid, as random bytes rarely
   do.  mutate_*.c implement them; a target is built with one of them.  */

uint64_t fuzz_next (uint64_t *state);
size_t fuzz_below (uint64_t *state, size_t limit);

/** Change one part of the input.  @return false when its structure cannot be
    read.  */
bool fuzz_mutate_structure (GByteArray *input, uint64_t *state);

/** Change one node of a MessagePack object.  */
bool fuzz_mutate_msgpack (GByteArray *input, uint64_t *state);

#endif
