#ifndef RAGWORTYOKE_PROXY_H
#define RAGWORTYOKE_PROXY_H

/**
 * @file
 * Header of PROXY protocol version 2 (command PROXY, AF_INET, DGRAM), which
 * precedes each datagram between the fabric and a balancer.
 */

#include "ragwortyoke/address.h"
#include "ragwortyoke/str.h"

#define RGY_PROXY_HEADER_BYTES 28

/** Write a header into @p header (RGY_PROXY_HEADER_BYTES bytes).  */
void rgy_proxy_write (uint8_t *header, struct rgy_endpoint source,
                      struct rgy_endpoint destination);

/** Parse a header; TLVs after the addresses are skipped.
    @return RGY_OK, RGY_ERR_INVALID, or RGY_ERR_UNSUPPORTED (another command,
    family or transport).  */
enum rgy_outcome rgy_proxy_parse (struct rgy_bytes datagram,
                                  struct rgy_endpoint *source,
                                  struct rgy_endpoint *destination,
                                  struct rgy_bytes *payload);

#endif
