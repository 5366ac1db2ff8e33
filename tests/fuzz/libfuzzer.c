#include "fuzz.h"

/* Entry point that clang's libFuzzer calls with each input.  libFuzzer
   prescribes its name and types.  */
/* NOLINTBEGIN(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  fuzz_run_input ((struct rgy_bytes){ .data = data, .len = size });
  return 0;
}
/* NOLINTEND(readability-identifier-naming) */
