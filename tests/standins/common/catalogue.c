#include "standin.h"

/* Multiplier of the 64-bit golden-ratio hash; its high bits mix all bits of
   the offset.  */
#define MIX UINT64_C (0x9e3779b97f4a7c15)
#define MIX_SHIFT 56

uint8_t
rgy_standin_catalogue_byte (uint64_t offset)
{
  return (uint8_t)((offset * MIX) >> MIX_SHIFT);
}
