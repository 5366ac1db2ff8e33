#include "ragwortyoke/segment.h"

uint32_t
rgy_service_tag (const struct rgy_name *service)
{
  uint32_t tag = (uint32_t)rgy_name_hash (service, 0);

  return tag == 0 ? 1 : tag;
}

static void
put_endpoint_ (struct rgy_endpoint endpoint, uint8_t *out)
{
  uint64_t packed = rgy_endpoint_pack (endpoint);
  int i;

  for (i = 0; i < 6; i++)
    out[i] = (uint8_t)(packed >> (40 - 8 * i));
}

static struct rgy_endpoint
get_endpoint_ (const uint8_t *in)
{
  uint64_t packed = 0;
  int i;

  for (i = 0; i < 6; i++)
    packed = packed << 8 | in[i];
  return rgy_endpoint_unpack (packed);
}

void
rgy_flow_ends_encode (const struct rgy_flow_key *key, uint8_t *out)
{
  put_endpoint_ (key->u.segment.caller, out);
  put_endpoint_ (key->u.segment.service, out + 6);
}

struct rgy_flow_key
rgy_flow_ends_decode (const uint8_t *in)
{
  return rgy_flow_key_segment (get_endpoint_ (in), get_endpoint_ (in + 6));
}
