#ifndef RGY_STANDIN_H
#define RGY_STANDIN_H

/**
 * @file
 * Functions shared by the CoAP stand-ins: catalogue, options and UDP socket.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/request.h"

/* Option numbers of RFC 7252 and RFC 7959.  */
#define RGY_STANDIN_OPTION_ETAG 4
#define RGY_STANDIN_OPTION_URI_PATH 11
#define RGY_STANDIN_OPTION_BLOCK2 23
#define RGY_STANDIN_OPTION_SIZE2 28

/** Largest block size exponent: blocks of 1,024 bytes.  */
#define RGY_STANDIN_BLOCK_MAX_EXPONENT 6

/** Byte of the catalogue at an offset. The sequence does not repeat with the
    block size, so that a receiver detects swapped blocks.  */
uint8_t rgy_standin_catalogue_byte (uint64_t offset);

#define RGY_STANDIN_MAX_OPTIONS 24

/** Options of a message under construction, added in ascending order.  */
struct rgy_standin_options
{
  struct rgy_coap_option list[RGY_STANDIN_MAX_OPTIONS];
  struct rgy_coap_uint integers[RGY_STANDIN_MAX_OPTIONS]; /**< Storage of
                                                          integers.  */
  size_t count;
};

/** Add an integer option.  */
void rgy_standin_add_uint (struct rgy_standin_options *options,
                           uint16_t number, uint32_t value);
/** Add an option; @p value must outlive the options.  */
void rgy_standin_add_bytes (struct rgy_standin_options *options,
                            uint16_t number, struct rgy_bytes value);
/** Add a Uri-Path option for each segment of a path such as "/a/b"; @p path
    must outlive the options.  */
void rgy_standin_add_path (struct rgy_standin_options *options,
                           const char *path);

/** Path of a request, such as "/a/b".
    @return a string to be freed with g_free().  */
char *rgy_standin_get_path (const struct rgy_coap_view *view);
/** Find the first option with a number.
    @param value  receives the value, which points into the message.
    @return false when there is no such option.  */
bool rgy_standin_find_option (const struct rgy_coap_view *view,
                              uint16_t number, struct rgy_bytes *value);

/** Value of a Block2 option (RFC 7959).  */
struct rgy_standin_block
{
  uint32_t number;
  bool more;         /**< More blocks follow.  */
  unsigned exponent; /**< A block has 16 << exponent bytes; 0 to 6.  */
};

/** Decode a Block2 value.  @return false for the reserved block size.  */
bool rgy_standin_block_decode (struct rgy_bytes value,
                               struct rgy_standin_block *block);
uint32_t rgy_standin_block_encode (const struct rgy_standin_block *block);

/** Called for each received datagram, which is valid during the call.  */
typedef void (*rgy_standin_receive_fn) (struct rgy_endpoint from,
                                        struct rgy_bytes datagram, void *ctx);

/** UDP socket; the address of the structure must not change.  */
struct rgy_standin_udp
{
  uv_udp_t handle;
  rgy_standin_receive_fn receive;
  void *ctx;
  char buffer[65536];
};

/** Open a socket that is bound to @p local and, when @p remote is set,
    connected to it.
    @return 0 or a libuv error.  */
int rgy_standin_udp_open (struct rgy_standin_udp *udp, uv_loop_t *loop,
                          struct rgy_endpoint local,
                          struct rgy_endpoint remote,
                          rgy_standin_receive_fn receive, void *ctx);
/** Send a datagram; it is lost when it does not fit into the socket buffer, as
    on any network.
    @param to  ignored on a connected socket.  */
void rgy_standin_udp_send (struct rgy_standin_udp *udp, struct rgy_endpoint to,
                           const GByteArray *datagram);
void rgy_standin_udp_close (struct rgy_standin_udp *udp);

#endif
