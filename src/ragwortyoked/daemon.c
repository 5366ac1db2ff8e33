#include "daemon.h"

#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>

static void
monotonic_now_ (void *ctx, struct timespec *ts)
{
  (void)ctx;
  clock_gettime (CLOCK_MONOTONIC, ts);
}

uint64_t
rgy_daemon_make_epoch (void)
{
  return (uint64_t)g_get_real_time ();
}

uint64_t
rgy_daemon_make_seed (void)
{
  uint64_t seed;

  randombytes_buf (&seed, sizeof seed);
  return seed;
}

void
rgy_daemon_init (struct rgy_daemon *d, const struct rgy_settings *settings,
                 uv_timer_cb on_tick, uv_signal_cb on_signal)
{
  int rc = sodium_init ();

  g_assert_cmpint (rc, >=, 0);
  d->settings = settings;
  rc = uv_loop_init (&d->loop);
  g_assert_cmpint (rc, ==, 0);
  d->clock = (struct rgy_clock){ .now = monotonic_now_ };
  d->counters = rgy_counters_new ();
  d->rejections = rgy_rejections_new (d->counters);
  d->send_failed = rgy_counters_add (d->counters, "send_failed_total", NULL,
                                     "Datagrams that could not be sent.");
  d->store_calls = rgy_counters_add (d->counters, "store_calls_total", NULL,
                                     "Calls to the key-value service.");
  d->store_up = rgy_counters_add_gauge (
      d->counters, "store_up", NULL,
      "1 while the key-value service answers and its contents are accepted.");
  d->actions = rgy_actions_new ();
  uv_timer_init (&d->loop, &d->timer);
  d->timer.data = d;
  uv_timer_start (&d->timer, on_tick, 0, RGY_TICK_INTERVAL_MS);
  uv_signal_init (&d->loop, &d->sigterm);
  d->sigterm.data = d;
  uv_signal_start (&d->sigterm, on_signal, SIGTERM);
  uv_signal_init (&d->loop, &d->sigint);
  d->sigint.data = d;
  uv_signal_start (&d->sigint, on_signal, SIGINT);
}

void
rgy_daemon_run (struct rgy_daemon *d)
{
  uv_run (&d->loop, UV_RUN_DEFAULT);
}

void
rgy_daemon_exit (struct rgy_daemon *d)
{
  d->exiting = true;
  uv_stop (&d->loop);
}

void
rgy_daemon_finish (struct rgy_daemon *d)
{
  uv_close ((uv_handle_t *)&d->timer, NULL);
  uv_close ((uv_handle_t *)&d->sigterm, NULL);
  uv_close ((uv_handle_t *)&d->sigint, NULL);
  rgy_udp_delete (d->internal);
  if (d->http != NULL)
    rgy_http_delete (d->http);
  if (d->store != NULL)
    rgy_store_client_delete (d->store);
  if (d->sync_client != NULL)
    rgy_sync_client_delete (d->sync_client);
  uv_run (&d->loop, UV_RUN_DEFAULT);
  uv_loop_close (&d->loop);
  rgy_actions_delete (d->actions);
  rgy_rejections_delete (d->rejections);
  rgy_counters_delete (d->counters);
}

int64_t
rgy_daemon_now_us (struct rgy_daemon *d)
{
  return rgy_clock_now_us (&d->clock);
}

bool
rgy_daemon_get_rollup_domain (const struct rgy_store_event *event,
                              struct rgy_name *domain)
{
  static const char prefix[] = RGY_STORE_PREFIX "balancers/";
  const size_t len = sizeof prefix - 1;

  return !event->deleted && event->key.len > len
         && memcmp (event->key.data, prefix, len) == 0
         && rgy_name_set (domain,
                          (struct rgy_str){ .data = event->key.data + len,
                                            .len = event->key.len - len })
                == RGY_OK;
}

void
rgy_daemon_send (struct rgy_daemon *d, struct rgy_udp *udp,
                 struct rgy_endpoint to, struct rgy_bytes data)
{
  if (udp == NULL || rgy_udp_send (udp, to, data) != RGY_OK)
    ++*d->send_failed;
}

void
rgy_daemon_respond_json (struct rgy_http_response *response, unsigned status,
                         char *json)
{
  response->status = status;
  response->content_type = "application/json";
  response->body = json;
}

void
rgy_daemon_respond_ready (struct rgy_http_response *response, bool ready)
{
  response->status = ready ? 200 : 503;
  response->content_type = "text/plain";
  response->body = g_strdup (ready ? "ready\n" : "not ready\n");
}

bool
rgy_daemon_handle_common (struct rgy_daemon *d,
                          const struct rgy_http_request *request,
                          struct rgy_http_response *response)
{
  if (g_str_equal (request->path, "/metrics"))
    {
      *d->store_calls = rgy_store_client_get_calls (d->store);
      *d->store_up = rgy_store_client_get_state (d->store) == RGY_STORE_UP;
      response->status = 200;
      response->content_type = "text/plain; version=0.0.4";
      response->body = rgy_counters_format (d->counters);
      return true;
    }
  if (g_str_equal (request->path, "/healthz"))
    {
      response->status = 200;
      response->content_type = "text/plain";
      response->body = g_strdup ("ok\n");
      return true;
    }
  return false;
}
