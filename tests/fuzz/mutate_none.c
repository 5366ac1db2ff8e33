#include "fuzz.h"

/* Structure mutation for inputs that are neither JSON nor MessagePack nor
   steps.  This mutation always fails, so the driver mutates only the bytes of
   such inputs.  */

bool
fuzz_mutate_structure (GByteArray *input, uint64_t *state)
{
  (void)input;
  (void)state;
  return false;
}
