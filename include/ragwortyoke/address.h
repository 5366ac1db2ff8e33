#ifndef RAGWORTYOKE_ADDRESS_H
#define RAGWORTYOKE_ADDRESS_H

/**
 * @file
 * IPv4 endpoints and prefixes.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/outcome.h"
#include "ragwortyoke/str.h"

/** Bytes needed for "255.255.255.255" and its terminator.  */
#define RGY_IP_TEXT_BYTES 16
/** Bytes needed for "255.255.255.255:65535" and its terminator.  */
#define RGY_ENDPOINT_TEXT_BYTES 22

/** IPv4 address and port, both in host byte order.  */
struct rgy_endpoint
{
  uint32_t ip;
  uint16_t port;
};

/** IPv4 prefix; the address is in host byte order.  */
struct rgy_prefix
{
  uint32_t ip;
  uint8_t bits; /**< Prefix length, 0 to 32.  */
};

/** Parse "A.B.C.D".  @return RGY_OK or RGY_ERR_INVALID.  */
enum rgy_outcome rgy_ip_parse (struct rgy_str text, uint32_t *ip);

/** True if a host may have the address: it is neither 0.0.0.0 nor a multicast,
    reserved or broadcast address.  */
bool rgy_ip_is_host (uint32_t ip);

/** Format an address into @p text (RGY_IP_TEXT_BYTES bytes); returns
    @p text.  */
const char *rgy_ip_format (uint32_t ip, char *text);

/** Parse "A.B.C.D:PORT".  @return RGY_OK or RGY_ERR_INVALID.  */
enum rgy_outcome rgy_endpoint_parse (struct rgy_str text,
                                     struct rgy_endpoint *endpoint);

/** Parse "A.B.C.D/BITS"; host bits must be zero.
    @return RGY_OK or RGY_ERR_INVALID.  */
enum rgy_outcome rgy_prefix_parse (struct rgy_str text,
                                   struct rgy_prefix *prefix);

/** Format an endpoint into @p text (RGY_ENDPOINT_TEXT_BYTES bytes); returns
    @p text.  */
const char *rgy_endpoint_format (struct rgy_endpoint endpoint, char *text);

bool rgy_endpoint_equal (struct rgy_endpoint a, struct rgy_endpoint b);
bool rgy_endpoint_is_set (struct rgy_endpoint endpoint);
bool rgy_prefix_contains (const struct rgy_prefix *prefix, uint32_t ip);

/** Pack IP address and port into one integer, for maps and messages.  */
uint64_t rgy_endpoint_pack (struct rgy_endpoint endpoint);
struct rgy_endpoint rgy_endpoint_unpack (uint64_t packed);

#endif
