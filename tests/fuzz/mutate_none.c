#include "fuzz.h"

/* For inputs without a structure of their own; the driver mutates their bytes
   only.  */

bool
fuzz_mutate_structure (GByteArray *input, uint64_t *state)
{
  (void)input;
  (void)state;
  return false;
}
