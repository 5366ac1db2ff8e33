#include "ragwortyoke-io/tcp_check.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>

struct check_
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_timer_t timer;
  unsigned open_handles; /* libuv handles that are not closed.  */
  rgy_tcp_check_fn fn;
  void *ctx;
};

static void
on_closed_ (uv_handle_t *handle)
{
  struct check_ *check = handle->data;

  if (--check->open_handles == 0)
    g_free (check);
}

static void
finish_check_ (struct check_ *check, enum rgy_outcome outcome)
{
  rgy_tcp_check_fn fn = check->fn;

  if (fn == NULL)
    return;
  check->fn = NULL;
  uv_close ((uv_handle_t *)&check->timer, on_closed_);
  uv_close ((uv_handle_t *)&check->tcp, on_closed_);
  fn (outcome, check->ctx);
}

static enum rgy_outcome
get_outcome_ (int status)
{
  if (status == 0)
    return RGY_OK;
  return status == UV_ECONNREFUSED ? RGY_ERR_NOT_FOUND : RGY_ERR_UNAVAILABLE;
}

static void
on_connected_ (uv_connect_t *connect, int status)
{
  finish_check_ (connect->data, get_outcome_ (status));
}

static void
on_timeout_ (uv_timer_t *timer)
{
  finish_check_ (timer->data, RGY_ERR_TIMEOUT);
}

/* Reports a connection attempt that failed immediately.  The timer is used for
   this too, so that the callback never runs inside rgy_tcp_check().  */
static void
on_failed_start_ (uv_timer_t *timer)
{
  finish_check_ (timer->data, RGY_ERR_UNAVAILABLE);
}

void
rgy_tcp_check (uv_loop_t *loop, struct rgy_endpoint address,
               unsigned timeout_ms, rgy_tcp_check_fn fn, void *ctx)
{
  struct sockaddr_in addr = { .sin_family = AF_INET,
                              .sin_port = htons (address.port),
                              .sin_addr.s_addr = htonl (address.ip) };
  struct check_ *check = g_new0 (struct check_, 1);
  bool started;

  check->fn = fn;
  check->ctx = ctx;
  check->open_handles = 2;
  check->tcp.data = check;
  check->connect.data = check;
  check->timer.data = check;
  uv_timer_init (loop, &check->timer);
  uv_tcp_init (loop, &check->tcp);
  started = uv_tcp_connect (&check->connect, &check->tcp,
                            (const struct sockaddr *)&addr, on_connected_)
            == 0;
  uv_timer_start (&check->timer, started ? on_timeout_ : on_failed_start_,
                  started ? timeout_ms : 0, 0);
}
