#include "fuzz.h"

bool
fuzz_mutate_structure (GByteArray *input, uint64_t *state)
{
  (void)input;
  (void)state;
  return false;
}
