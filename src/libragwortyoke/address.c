#include "ragwortyoke/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define PREFIX_MAX_BITS 32
#define PORT_MAX 65535
/* 224.0.0.0; all addresses from there on are multicast or reserved.  */
#define FIRST_MULTICAST_IP 0xe0000000U

enum rgy_outcome
rgy_ip_parse (struct rgy_str text, uint32_t *ip)
{
  char buf[RGY_IP_TEXT_BYTES];
  struct in_addr addr;

  if (text.len == 0 || text.len >= sizeof buf)
    return RGY_ERR_INVALID;
  memcpy (buf, text.data, text.len);
  buf[text.len] = '\0';
  if (inet_pton (AF_INET, buf, &addr) != 1)
    return RGY_ERR_INVALID;
  *ip = ntohl (addr.s_addr);
  return RGY_OK;
}

bool
rgy_ip_is_host (uint32_t ip)
{
  return ip != 0 && ip < FIRST_MULTICAST_IP;
}

const char *
rgy_ip_format (uint32_t ip, char *text)
{
  snprintf (text, RGY_IP_TEXT_BYTES, "%u.%u.%u.%u", ip >> 24,
            (ip >> 16) & 0xff, (ip >> 8) & 0xff, ip & 0xff);
  return text;
}

/* Parses an IPv4 address, a separator and a decimal number of at most MAX.  */
static enum rgy_outcome
parse_ip_and_number_ (struct rgy_str text, char separator, guint64 max,
                      uint32_t *ip, guint64 *number)
{
  char buf[RGY_ENDPOINT_TEXT_BYTES];
  char *at;

  if (text.len == 0 || text.len >= sizeof buf)
    return RGY_ERR_INVALID;
  memcpy (buf, text.data, text.len);
  buf[text.len] = '\0';
  at = strchr (buf, separator);
  if (at == NULL)
    return RGY_ERR_INVALID;
  *at = '\0';
  if (!g_ascii_string_to_unsigned (at + 1, 10, 0, max, number, NULL))
    return RGY_ERR_INVALID;
  return rgy_ip_parse (rgy_str_from_c (buf), ip);
}

enum rgy_outcome
rgy_endpoint_parse (struct rgy_str text, struct rgy_endpoint *endpoint)
{
  uint32_t ip = 0;
  guint64 port = 0;
  enum rgy_outcome rc;

  rc = parse_ip_and_number_ (text, ':', PORT_MAX, &ip, &port);
  if (rc != RGY_OK)
    return rc;
  if (port == 0)
    return RGY_ERR_INVALID;
  *endpoint = (struct rgy_endpoint){ .ip = ip, .port = (uint16_t)port };
  return RGY_OK;
}

static uint32_t
prefix_mask_ (uint8_t bits)
{
  return bits == 0 ? 0 : UINT32_MAX << (PREFIX_MAX_BITS - bits);
}

enum rgy_outcome
rgy_prefix_parse (struct rgy_str text, struct rgy_prefix *prefix)
{
  uint32_t ip = 0;
  guint64 bits = 0;
  enum rgy_outcome rc;

  rc = parse_ip_and_number_ (text, '/', PREFIX_MAX_BITS, &ip, &bits);
  if (rc != RGY_OK)
    return rc;
  if ((ip & ~prefix_mask_ ((uint8_t)bits)) != 0)
    return RGY_ERR_INVALID;
  *prefix = (struct rgy_prefix){ .ip = ip, .bits = (uint8_t)bits };
  return RGY_OK;
}

const char *
rgy_endpoint_format (struct rgy_endpoint endpoint, char *text)
{
  char ip[RGY_IP_TEXT_BYTES];

  snprintf (text, RGY_ENDPOINT_TEXT_BYTES, "%s:%u",
            rgy_ip_format (endpoint.ip, ip), endpoint.port);
  return text;
}

bool
rgy_endpoint_equal (struct rgy_endpoint a, struct rgy_endpoint b)
{
  return a.ip == b.ip && a.port == b.port;
}

bool
rgy_endpoint_is_set (struct rgy_endpoint endpoint)
{
  return endpoint.ip != 0 || endpoint.port != 0;
}

bool
rgy_prefix_contains (const struct rgy_prefix *prefix, uint32_t ip)
{
  return (ip & prefix_mask_ (prefix->bits)) == prefix->ip;
}

uint64_t
rgy_endpoint_pack (struct rgy_endpoint endpoint)
{
  return (uint64_t)endpoint.ip << 16 | endpoint.port;
}

struct rgy_endpoint
rgy_endpoint_unpack (uint64_t packed)
{
  return (struct rgy_endpoint){ .ip = (uint32_t)(packed >> 16),
                                .port = (uint16_t)packed };
}
