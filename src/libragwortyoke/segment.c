#include "ragwortyoke/segment.h"

#include "ragwortyoke/bytes.h"

/* Bytes of an encoded end of a flow: an address of 4 bytes and a port of
   2.  */
#define ENDPOINT_BYTES (RGY_FLOW_ENDPOINTS_BYTES / 2)

uint32_t
rgy_service_tag (const struct rgy_name *service)
{
  uint32_t tag = (uint32_t)rgy_name_hash (service, 0);

  return tag == 0 ? 1 : tag;
}

void
rgy_flow_endpoints_encode (const struct rgy_flow_key *key, uint8_t *out)
{
  rgy_put_be (out, rgy_endpoint_pack (key->u.segment.caller), ENDPOINT_BYTES);
  rgy_put_be (out + ENDPOINT_BYTES, rgy_endpoint_pack (key->u.segment.service),
              ENDPOINT_BYTES);
}

struct rgy_flow_key
rgy_flow_endpoints_decode (const uint8_t *in)
{
  return rgy_flow_key_segment (
      rgy_endpoint_unpack (rgy_get_be (in, ENDPOINT_BYTES)),
      rgy_endpoint_unpack (rgy_get_be (in + ENDPOINT_BYTES, ENDPOINT_BYTES)));
}
