#include "readiness.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

/* Interval of the polls and time-out of each: a poll without an answer at the
   start of the next one means not ready.  */
#define POLL_INTERVAL_MS 200
#define STATUS_LINE_OK "HTTP/1.1 200"

struct readiness
{
  uv_loop_t *loop;
  struct rgy_endpoint http;
  uv_timer_t timer;
  void (*on_changed) (bool ready, void *ctx);
  void *ctx;
  bool ready;
  struct poll_ *current_poll; /* Poll without an answer yet, or NULL.  */
};

/* One HTTP request.  */
struct poll_
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  char buf[256];
  size_t len;
  struct readiness *owner;
};

static void
set_ready_ (struct readiness *r, bool ready)
{
  if (r->ready == ready)
    return;
  r->ready = ready;
  r->on_changed (ready, r->ctx);
}

static void
on_poll_closed_ (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
end_poll_ (struct poll_ *p, bool ready)
{
  if (uv_is_closing ((uv_handle_t *)&p->tcp))
    return;
  if (p->owner->current_poll == p)
    {
      p->owner->current_poll = NULL;
      set_ready_ (p->owner, ready);
    }
  uv_close ((uv_handle_t *)&p->tcp, on_poll_closed_);
}

static void
allocate_buffer_ (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  struct poll_ *p = handle->data;

  (void)suggested;
  *buf = uv_buf_init (p->buf + p->len, (unsigned)(sizeof p->buf - p->len));
}

static void
on_read_ (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct poll_ *p = stream->data;

  (void)buf;
  if (n < 0)
    {
      end_poll_ (p, false);
      return;
    }
  p->len += (size_t)n;
  if (p->len >= strlen (STATUS_LINE_OK))
    end_poll_ (p,
               memcmp (p->buf, STATUS_LINE_OK, strlen (STATUS_LINE_OK)) == 0);
}

static void
on_connect_ (uv_connect_t *connect, int status)
{
  static char request[]
      = "GET /readyz HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n";
  struct poll_ *p = connect->data;
  uv_buf_t buf = uv_buf_init (request, sizeof request - 1);

  if (status != 0)
    {
      end_poll_ (p, false);
      return;
    }
  uv_write (&p->write, (uv_stream_t *)&p->tcp, &buf, 1, NULL);
  uv_read_start ((uv_stream_t *)&p->tcp, allocate_buffer_, on_read_);
}

static void
on_poll_timer_ (uv_timer_t *timer)
{
  struct readiness *r = timer->data;
  struct sockaddr_in in = { .sin_family = AF_INET };
  struct poll_ *p;

  if (r->current_poll != NULL)
    end_poll_ (r->current_poll, false);
  p = g_new0 (struct poll_, 1);
  p->owner = r;
  r->current_poll = p;
  uv_tcp_init (r->loop, &p->tcp);
  p->tcp.data = p;
  p->connect.data = p;
  in.sin_addr.s_addr = htonl (r->http.ip);
  in.sin_port = htons (r->http.port);
  if (uv_tcp_connect (&p->connect, &p->tcp, (struct sockaddr *)&in,
                      on_connect_)
      != 0)
    end_poll_ (p, false);
}

struct readiness *
readiness_new (uv_loop_t *loop, struct rgy_endpoint http,
               void (*on_changed) (bool ready, void *ctx), void *ctx)
{
  struct readiness *r = g_new0 (struct readiness, 1);

  r->loop = loop;
  r->http = http;
  r->on_changed = on_changed;
  r->ctx = ctx;
  uv_timer_init (loop, &r->timer);
  r->timer.data = r;
  uv_timer_start (&r->timer, on_poll_timer_, 0, POLL_INTERVAL_MS);
  return r;
}
