#include "ragwortyoke/proxy.h"

#include <string.h>

/* PROXY protocol version 2: signature, version and command, family and
   transport, length, then source and destination.  */
#define SIGNATURE_BYTES 12
#define FIXED_BYTES 16
#define ADDRESS_BYTES 12
#define VERSION_COMMAND_PROXY 0x21
#define FAMILY_INET_DGRAM 0x12

static const uint8_t signature_[SIGNATURE_BYTES] = { 0x0d, 0x0a, 0x0d, 0x0a,
                                                     0x00, 0x0d, 0x0a, 0x51,
                                                     0x55, 0x49, 0x54, 0x0a };

static void
put_u16_ (uint8_t *to, uint16_t value)
{
  to[0] = (uint8_t)(value >> 8);
  to[1] = (uint8_t)value;
}

static void
put_u32_ (uint8_t *to, uint32_t value)
{
  put_u16_ (to, (uint16_t)(value >> 16));
  put_u16_ (to + 2, (uint16_t)value);
}

static uint16_t
get_u16_ (const uint8_t *from)
{
  return (uint16_t)(from[0] << 8 | from[1]);
}

static uint32_t
get_u32_ (const uint8_t *from)
{
  return (uint32_t)get_u16_ (from) << 16 | get_u16_ (from + 2);
}

void
rgy_proxy_write (uint8_t *header, struct rgy_endpoint source,
                 struct rgy_endpoint destination)
{
  memcpy (header, signature_, SIGNATURE_BYTES);
  header[12] = VERSION_COMMAND_PROXY;
  header[13] = FAMILY_INET_DGRAM;
  put_u16_ (header + 14, ADDRESS_BYTES);
  put_u32_ (header + 16, source.ip);
  put_u32_ (header + 20, destination.ip);
  put_u16_ (header + 24, source.port);
  put_u16_ (header + 26, destination.port);
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
  len = get_u16_ (p + 14);
  if (datagram.len < FIXED_BYTES + len)
    return RGY_ERR_INVALID;
  if (p[12] != VERSION_COMMAND_PROXY || p[13] != FAMILY_INET_DGRAM)
    return RGY_ERR_UNSUPPORTED;
  if (len < ADDRESS_BYTES)
    return RGY_ERR_INVALID;
  *source = (struct rgy_endpoint){ .ip = get_u32_ (p + 16),
                                   .port = get_u16_ (p + 24) };
  *destination = (struct rgy_endpoint){ .ip = get_u32_ (p + 20),
                                        .port = get_u16_ (p + 26) };
  *payload = (struct rgy_bytes){ .data = p + FIXED_BYTES + len,
                                 .len = datagram.len - FIXED_BYTES - len };
  return RGY_OK;
}
