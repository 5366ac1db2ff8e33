#include "ragwortyoke/proxy.h"

#include <string.h>

#include "ragwortyoke/bytes.h"

/* Layout of a PROXY protocol version 2 header: signature, version and
   command, family and transport, length, then source and destination
   address and port.  */
#define SIGNATURE_BYTES 12
#define FIXED_BYTES 16
#define ADDRESS_BYTES 12
#define VERSION_COMMAND_PROXY 0x21
#define FAMILY_INET_DGRAM 0x12

static const uint8_t signature_[SIGNATURE_BYTES] = { 0x0d, 0x0a, 0x0d, 0x0a,
                                                     0x00, 0x0d, 0x0a, 0x51,
                                                     0x55, 0x49, 0x54, 0x0a };

void
rgy_proxy_write (uint8_t *header, struct rgy_endpoint source,
                 struct rgy_endpoint destination)
{
  memcpy (header, signature_, SIGNATURE_BYTES);
  header[12] = VERSION_COMMAND_PROXY;
  header[13] = FAMILY_INET_DGRAM;
  rgy_put_be (header + 14, ADDRESS_BYTES, 2);
  rgy_put_be (header + 16, source.ip, 4);
  rgy_put_be (header + 20, destination.ip, 4);
  rgy_put_be (header + 24, source.port, 2);
  rgy_put_be (header + 26, destination.port, 2);
}

enum rgy_outcome
rgy_proxy_parse (struct rgy_bytes datagram, struct rgy_endpoint *source,
                 struct rgy_endpoint *destination, struct rgy_bytes *payload)
{
  const uint8_t *p = datagram.data;
  size_t len;

  if (datagram.len < FIXED_BYTES
      || memcmp (p, signature_, SIGNATURE_BYTES) != 0)
    return RGY_ERR_INVALID;
  len = rgy_get_be (p + 14, 2);
  if (datagram.len < FIXED_BYTES + len)
    return RGY_ERR_INVALID;
  if (p[12] != VERSION_COMMAND_PROXY || p[13] != FAMILY_INET_DGRAM)
    return RGY_ERR_UNSUPPORTED;
  if (len < ADDRESS_BYTES)
    return RGY_ERR_INVALID;
  *source = (struct rgy_endpoint){ .ip = (uint32_t)rgy_get_be (p + 16, 4),
                                   .port = (uint16_t)rgy_get_be (p + 24, 2) };
  *destination
      = (struct rgy_endpoint){ .ip = (uint32_t)rgy_get_be (p + 20, 4),
                               .port = (uint16_t)rgy_get_be (p + 26, 2) };
  *payload = (struct rgy_bytes){ .data = p + FIXED_BYTES + len,
                                 .len = datagram.len - FIXED_BYTES - len };
  return RGY_OK;
}
