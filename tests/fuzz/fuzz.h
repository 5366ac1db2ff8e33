#ifndef RGY_FUZZ_H
#define RGY_FUZZ_H

/**
 * @file
 * Interface of the fuzz targets.  A target passes one input to a decoder or to
 * a core and aborts when the result violates an invariant.  driver.c mutates
 * the target's valid inputs; libfuzzer.c lets clang's libFuzzer call the same
 * function.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/str.h"
#include "ragwortyoke/wire.h"

/* Each target implements the next two functions.  */

/** Append the target's valid inputs (GBytes) to @p seeds.  The library's own
    encoders build them where there is one.  */
void fuzz_add_seeds (GPtrArray *seeds);

/** Run the target on one input; abort when an invariant is violated.  */
void fuzz_run_input (struct rgy_bytes input);

/** Cluster key of the targets that handle messages between processes.  */
extern const uint8_t fuzz_key[RGY_WIRE_KEY_BYTES];

/** Append a copy of the bytes as a valid input.  */
void fuzz_add_seed (GPtrArray *seeds, const void *data, size_t len);

/** Append a copy of the text without its final zero as a valid input.  */
void fuzz_add_seed_text (GPtrArray *seeds, const char *text);

/** Append @p bytes as a valid input and take ownership of them.  */
void fuzz_add_seed_array (GPtrArray *seeds, GByteArray *bytes);

/** Build a datagram of @p body with a valid authentication tag under fuzz_key.
    Free it with g_byte_array_unref().  */
GByteArray *fuzz_build_datagram (struct rgy_bytes body);

/** True when @p part lies within @p whole.  */
bool fuzz_is_within (struct rgy_bytes part, struct rgy_bytes whole);

/** View of the array's bytes, valid until the array changes.  */
struct rgy_bytes fuzz_view_array (const GByteArray *bytes);
bool fuzz_arrays_equal (const GByteArray *a, const GByteArray *b);

/* Inputs of the targets that run a core are sequences of steps.  A step is an
   operation of one byte, the length of its data in two bytes, big-endian, and
   the data.  */

/** Append a step to @p steps; @p data has at most UINT16_MAX bytes.  */
void fuzz_step_append (GByteArray *steps, uint8_t operation,
                       struct rgy_bytes data);

/** Read the next step and advance @p steps past it; the data of a truncated
    last step ends with the input.  @return false when fewer bytes are left
    than a step's operation and length need.  */
bool fuzz_step_next (struct rgy_bytes *steps, uint8_t *operation,
                     struct rgy_bytes *data);

/** Next number of the splitmix64 generator with @p state.  */
uint64_t fuzz_random_u64 (uint64_t *state);

/** Random number from 0 to @p limit - 1; @p limit must not be 0.  */
size_t fuzz_random_below (uint64_t *state, size_t limit);

/** Change one part of the input and keep its structure valid, which mutations
    of its bytes rarely do.  Each mutate_*.c implements this function for
    one structure; a target is linked with one of them.
    @return false when the input does not have this structure.  */
bool fuzz_mutate_structure (GByteArray *input, uint64_t *state);

/** Change one node of a MessagePack object.  @return false when the input is
    not exactly one MessagePack object.  */
bool fuzz_mutate_msgpack (GByteArray *input, uint64_t *state);

#endif
