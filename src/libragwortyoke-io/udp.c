#include "ragwortyoke-io/udp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <string.h>

#define DATAGRAM_MAX_BYTES 65536
/* Datagrams that one receive call of a bound socket can return.  */
#define RECEIVE_BATCH 16
#define SOCKET_BUFFER_BYTES (4 * 1024 * 1024)

struct rgy_udp
{
  uv_udp_t handle;
  rgy_udp_receive_fn receive;
  rgy_udp_refused_fn refused;
  void *ctx;
  bool connected;
  bool closing;
};

/* Receive buffer that all sockets of the process share.  This is safe because
   libuv allocates a buffer and passes it to the callback within one turn of a
   single-threaded loop.  */
static char *receive_buffer_;

static void
allocate_buffer_ (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  (void)handle;
  (void)suggested;
  if (receive_buffer_ == NULL)
    receive_buffer_ = g_malloc (DATAGRAM_MAX_BYTES * RECEIVE_BATCH);
  *buf = uv_buf_init (receive_buffer_, DATAGRAM_MAX_BYTES * RECEIVE_BATCH);
}

static void
on_receive_ (uv_udp_t *handle, ssize_t n, const uv_buf_t *buf,
             const struct sockaddr *addr, unsigned flags)
{
  struct rgy_udp *udp = handle->data;
  const struct sockaddr_in *in = (const struct sockaddr_in *)addr;
  struct rgy_endpoint from = { 0 };

  (void)flags;
  if (udp->closing)
    return;
  if (n == UV_ECONNREFUSED && udp->refused != NULL)
    {
      udp->refused (udp->ctx);
      return;
    }
  if (n < 0 || addr == NULL)
    return;
  from.ip = ntohl (in->sin_addr.s_addr);
  from.port = ntohs (in->sin_port);
  udp->receive (from,
                (struct rgy_bytes){ .data = (const uint8_t *)buf->base,
                                    .len = (size_t)n },
                udp->ctx);
}

static struct sockaddr_in
to_sockaddr_ (struct rgy_endpoint endpoint)
{
  struct sockaddr_in in = { .sin_family = AF_INET };

  in.sin_addr.s_addr = htonl (endpoint.ip);
  in.sin_port = htons (endpoint.port);
  return in;
}

static struct rgy_udp *
udp_new_ (uv_loop_t *loop, unsigned flags, rgy_udp_receive_fn receive,
          void *ctx)
{
  struct rgy_udp *udp = g_new0 (struct rgy_udp, 1);

  if (uv_udp_init_ex (loop, &udp->handle, AF_INET | flags) != 0)
    {
      g_free (udp);
      return NULL;
    }
  udp->handle.data = udp;
  udp->receive = receive;
  udp->ctx = ctx;
  return udp;
}

struct rgy_udp *
rgy_udp_bind (uv_loop_t *loop, struct rgy_endpoint endpoint,
              rgy_udp_receive_fn receive, void *ctx, const char **why)
{
  struct sockaddr_in in = to_sockaddr_ (endpoint);
  struct rgy_udp *udp = udp_new_ (loop, UV_UDP_RECVMMSG, receive, ctx);
  int size = SOCKET_BUFFER_BYTES;
  int rc;

  if (udp == NULL)
    {
      *why = "cannot create a socket";
      return NULL;
    }
  rc = uv_udp_bind (&udp->handle, (struct sockaddr *)&in, 0);
  if (rc == 0)
    rc = uv_udp_recv_start (&udp->handle, allocate_buffer_, on_receive_);
  if (rc != 0)
    {
      *why = uv_strerror (rc);
      rgy_udp_delete (udp);
      return NULL;
    }
  uv_recv_buffer_size ((uv_handle_t *)&udp->handle, &size);
  return udp;
}

struct rgy_udp *
rgy_udp_connect (uv_loop_t *loop, struct rgy_endpoint peer,
                 rgy_udp_receive_fn receive, rgy_udp_refused_fn refused,
                 void *ctx)
{
  struct sockaddr_in in = to_sockaddr_ (peer);
  struct rgy_udp *udp = udp_new_ (loop, 0, receive, ctx);

  if (udp == NULL)
    return NULL;
  udp->refused = refused;
  udp->connected = true;
  if (uv_udp_connect (&udp->handle, (struct sockaddr *)&in) != 0
      || uv_udp_recv_start (&udp->handle, allocate_buffer_, on_receive_) != 0)
    {
      rgy_udp_delete (udp);
      return NULL;
    }
  return udp;
}

static void
on_closed_ (uv_handle_t *handle)
{
  g_free (handle->data);
}

void
rgy_udp_delete (struct rgy_udp *udp)
{
  if (udp == NULL || udp->closing)
    return;
  udp->closing = true;
  uv_close ((uv_handle_t *)&udp->handle, on_closed_);
}

enum rgy_outcome
rgy_udp_send (struct rgy_udp *udp, struct rgy_endpoint to,
              struct rgy_bytes data)
{
  struct sockaddr_in in = to_sockaddr_ (to);
  uv_buf_t buf = uv_buf_init ((char *)data.data, (unsigned)data.len);
  int rc
      = uv_udp_try_send (&udp->handle, &buf, 1,
                         udp->connected ? NULL : (const struct sockaddr *)&in);

  if (rc >= 0)
    return RGY_OK;
  return rc == UV_EAGAIN ? RGY_ERR_FULL : RGY_ERR_UNAVAILABLE;
}
