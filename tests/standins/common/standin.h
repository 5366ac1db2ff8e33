#ifndef RGY_STANDIN_H
#define RGY_STANDIN_H

/**
 * @file
 * Parts shared by the CoAP stand-ins.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/request.h"

#define RGY_STANDIN_OPTION_ETAG 4
#define RGY_STANDIN_OPTION_URI_PATH 11
#define RGY_STANDIN_OPTION_BLOCK2 23
#define RGY_STANDIN_OPTION_SIZE2 28

/** Largest block size exponent: blocks of 1,024 bytes.  */
#define RGY_STANDIN_BLOCK_MAX_EXPONENT 6

/* Catalogue.  */

/** Byte of the catalogue at an offset; the sequence does not repeat with the
    block size, so that a swapped block is noticed.  */
uint8_t rgy_standin_catalogue_byte (uint64_t offset);

/* Options.  */

#define RGY_STANDIN_MAX_OPTIONS 24

/** Options of a message under construction, added in ascending order.  */
struct rgy_standin_options
{
  struct rgy_coap_option list[RGY_STANDIN_MAX_OPTIONS];
  struct rgy_coap_uint rooms[RGY_STANDIN_MAX_OPTIONS];
  size_t count;
};

void rgy_standin_add_uint (struct rgy_standin_options *options,
                           uint16_t number, uint32_t value);
void rgy_standin_add_bytes (struct rgy_standin_options *options,
                            uint16_t number, struct rgy_bytes value);
/** Add the segments of "/a/b"; @p path must outlive the options.  */
void rgy_standin_add_path (struct rgy_standin_options *options,
                           const char *path);

/** Path of a request as "/a/b", to be freed with g_free().  */
char *rgy_standin_get_path (const struct rgy_coap_view *view);
/** First option of a number.  @return false when there is none.  */
bool rgy_standin_find_option (const struct rgy_coap_view *view,
                              uint16_t number, struct rgy_bytes *value);

/** Block2 value.  */
struct rgy_standin_block
{
  uint32_t number;
  bool more;
  unsigned exponent; /**< Blocks of 16 << exponent bytes, 0 to 6.  */
};

/** @return false for a reserved size.  */
bool rgy_standin_block_decode (struct rgy_bytes value,
                               struct rgy_standin_block *block);
uint32_t rgy_standin_block_encode (const struct rgy_standin_block *block);

/* UDP.  */

typedef void (*rgy_standin_receive_fn) (struct rgy_endpoint from,
                                        struct rgy_bytes datagram, void *ctx);

struct rgy_standin_udp
{
  uv_udp_t handle;
  rgy_standin_receive_fn receive;
  void *ctx;
  char buffer[65536];
};

/** Open a socket bound to @p local; with a @p remote that is set, a connected
    one.  @return 0 or a libuv error.  */
int rgy_standin_udp_open (struct rgy_standin_udp *udp, uv_loop_t *loop,
                          struct rgy_endpoint local,
                          struct rgy_endpoint remote,
                          rgy_standin_receive_fn receive, void *ctx);
/** Send; a datagram that does not fit the socket buffer is lost, as on any
    network.  @p to is ignored on a connected socket.  */
void rgy_standin_udp_send (struct rgy_standin_udp *udp, struct rgy_endpoint to,
                           const GByteArray *datagram);
void rgy_standin_udp_close (struct rgy_standin_udp *udp);

#endif
