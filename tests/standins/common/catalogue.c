#include "standin.h"

/* Multiplier of the 64-bit golden-ratio hash. The high bits of the product
   depend on all bits of the offset.  */
#define HASH_MULTIPLIER UINT64_C (0x9e3779b97f4a7c15)
#define HASH_SHIFT 56

uint8_t
rgy_standin_catalogue_byte (uint64_t offset)
{
  return (uint8_t)((offset * HASH_MULTIPLIER) >> HASH_SHIFT);
}
