#include "fuzz.h"

/* Mutation of inputs that are one MessagePack object.  */

bool
fuzz_mutate_structure (GByteArray *input, uint64_t *state)
{
  return fuzz_mutate_msgpack (input, state);
}
