#include "fuzz.h"

/* The names and types are libFuzzer's.  */
/* NOLINTBEGIN(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  fuzz_run ((struct rgy_bytes){ .data = data, .len = size });
  return 0;
}
/* NOLINTEND(readability-identifier-naming) */
