#include "standin.h"

#include <arpa/inet.h>

#define RECEIVE_BUFFER_BYTES (1 << 20)

static struct sockaddr_in
to_sockaddr_ (struct rgy_endpoint endpoint)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (endpoint.port),
                               .sin_addr.s_addr = htonl (endpoint.ip) };
}

static void
on_alloc_ (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  struct rgy_standin_udp *udp = handle->data;

  (void)suggested;
  *buf = uv_buf_init (udp->buffer, sizeof udp->buffer);
}

static void
on_receive_ (uv_udp_t *handle, ssize_t len, const uv_buf_t *buf,
             const struct sockaddr *addr, unsigned flags)
{
  struct rgy_standin_udp *udp = handle->data;
  const struct sockaddr_in *in = (const struct sockaddr_in *)addr;

  (void)flags;
  if (len <= 0 || addr == NULL)
    return;
  udp->receive ((struct rgy_endpoint){ .ip = ntohl (in->sin_addr.s_addr),
                                       .port = ntohs (in->sin_port) },
                (struct rgy_bytes){ .data = (const uint8_t *)buf->base,
                                    .len = (size_t)len },
                udp->ctx);
}

int
rgy_standin_udp_open (struct rgy_standin_udp *udp, uv_loop_t *loop,
                      struct rgy_endpoint local, struct rgy_endpoint remote,
                      rgy_standin_receive_fn receive, void *ctx)
{
  struct sockaddr_in addr = to_sockaddr_ (local);
  int bytes = RECEIVE_BUFFER_BYTES;
  int rc;

  udp->receive = receive;
  udp->ctx = ctx;
  rc = uv_udp_init (loop, &udp->handle);
  if (rc != 0)
    return rc;
  udp->handle.data = udp;
  rc = uv_udp_bind (&udp->handle, (const struct sockaddr *)&addr, 0);
  if (rc != 0)
    return rc;
  (void)uv_recv_buffer_size ((uv_handle_t *)&udp->handle, &bytes);
  if (rgy_endpoint_is_set (remote))
    {
      addr = to_sockaddr_ (remote);
      rc = uv_udp_connect (&udp->handle, (const struct sockaddr *)&addr);
      if (rc != 0)
        return rc;
    }
  return uv_udp_recv_start (&udp->handle, on_alloc_, on_receive_);
}

void
rgy_standin_udp_send (struct rgy_standin_udp *udp, struct rgy_endpoint to,
                      const GByteArray *datagram)
{
  struct sockaddr_in addr = to_sockaddr_ (to);
  struct sockaddr_storage peer;
  int peer_len = sizeof peer;
  bool connected
      = uv_udp_getpeername (&udp->handle, (struct sockaddr *)&peer, &peer_len)
        == 0;
  uv_buf_t buf = uv_buf_init ((char *)datagram->data, datagram->len);

  (void)uv_udp_try_send (&udp->handle, &buf, 1,
                         connected ? NULL : (const struct sockaddr *)&addr);
}

void
rgy_standin_udp_close (struct rgy_standin_udp *udp)
{
  uv_close ((uv_handle_t *)&udp->handle, NULL);
}
