#include "daemon.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "ragwortyoke-io/log.h"
#include "ragwortyoke/balancer.h"

/* Daemon of the balancer role: sockets, timers and HTTP around
   the balancer core.  */

struct balancer_daemon_
{
  struct rgy_daemon d; /* First member, since the handles of the event loop
                          carry the daemon's address.  */
  struct rgy_balancer *core;
  struct rgy_udp *fabric;
  struct rgy_sync_server *sync_server;
  bool watching;
};

static void
start_sync_ (struct balancer_daemon_ *b, struct rgy_endpoint peer)
{
  rgy_sync_client_request (b->d.sync_client, peer,
                           rgy_balancer_build_sync_request (b->core));
}

static void
on_store_write_done_ (enum rgy_outcome outcome, void *ctx)
{
  (void)ctx;
  if (outcome != RGY_OK && outcome != RGY_ERR_CONFLICT)
    rgy_log_warning ("store: cannot write key: %s",
                     rgy_outcome_string[outcome]);
}

static void
write_to_store_ (struct balancer_daemon_ *b, const struct rgy_action *action)
{
  char *key
      = g_strdup_printf (RGY_STORE_PREFIX "%.*s", (int)action->u.store.key.len,
                         action->u.store.key.data);
  struct rgy_str k = rgy_str_from_c (key);

  if (rgy_store_client_get_state (b->d.store) == RGY_STORE_UP)
    rgy_store_client_cas (b->d.store, k, action->u.store.value,
                          rgy_store_client_get_mod_revision (b->d.store, k),
                          on_store_write_done_, NULL);
  g_free (key);
}

static void
run_action_ (struct balancer_daemon_ *b, const struct rgy_action *action)
{
  switch (action->kind)
    {
    case RGY_ACTION_SEND:
      rgy_daemon_send (&b->d, b->d.internal, action->u.send.to,
                       action->u.send.data);
      break;
    case RGY_ACTION_EGRESS:
      rgy_daemon_send (&b->d, b->fabric, b->d.settings->fabric,
                       action->u.send.data);
      break;
    case RGY_ACTION_SYNC:
      start_sync_ (b, action->u.send.to);
      break;
    case RGY_ACTION_WRITE_STORE:
      write_to_store_ (b, action);
      break;
    case RGY_ACTION_LOG:
      rgy_log_info ("%.*s", (int)action->u.text.len, action->u.text.data);
      break;
    case RGY_ACTION_EXIT:
      rgy_daemon_exit (&b->d);
      break;
    case RGY_ACTION_READ_STORE:
    case RGY_ACTION_DELIVER:
    case RGY_ACTION_CLOSE_FLOW:
      break;
    }
}

static void
run_actions_ (struct balancer_daemon_ *b)
{
  struct rgy_action action;
  size_t i;

  for (i = 0; i < rgy_actions_get_count (b->d.actions); i++)
    {
      action = rgy_actions_get (b->d.actions, i);
      run_action_ (b, &action);
    }
  rgy_actions_clear (b->d.actions);
}

static void
on_fabric_datagram_ (struct rgy_endpoint from, struct rgy_bytes data,
                     void *ctx)
{
  struct balancer_daemon_ *b = ctx;

  (void)from;
  rgy_balancer_from_fabric (b->core, data, rgy_daemon_now_us (&b->d),
                            b->d.actions);
  run_actions_ (b);
}

static void
on_internal_datagram_ (struct rgy_endpoint from, struct rgy_bytes data,
                       void *ctx)
{
  struct balancer_daemon_ *b = ctx;

  rgy_balancer_from_instance (b->core, from, data, rgy_daemon_now_us (&b->d),
                              b->d.actions);
  run_actions_ (b);
}

static void
on_sync_request_ (struct rgy_bytes request, GPtrArray *frames, void *ctx)
{
  struct balancer_daemon_ *b = ctx;

  rgy_balancer_serve_sync (b->core, request, frames);
}

static void
on_sync_done_ (enum rgy_outcome outcome, struct rgy_endpoint peer,
               const struct rgy_bytes *frames, size_t count, void *ctx)
{
  struct balancer_daemon_ *b = ctx;
  size_t i;

  (void)peer;
  if (outcome != RGY_OK)
    return;
  for (i = 0; i < count; i++)
    rgy_balancer_apply_sync (b->core, frames[i], rgy_daemon_now_us (&b->d),
                             b->d.actions);
  run_actions_ (b);
}

static void
reject_store_event_ (struct balancer_daemon_ *b,
                     const struct rgy_store_event *event,
                     const struct rgy_check_error *error)
{
  char *reason = g_strdup_printf ("%.*s: %s", (int)event->key.len,
                                  event->key.data, error->text);

  (void)rgy_rejections_add (b->d.rejections, "store-entry", reason,
                            rgy_daemon_now_us (&b->d));
  g_free (reason);
}

static void
on_store_event_ (const struct rgy_store_event *event, void *ctx)
{
  struct balancer_daemon_ *b = ctx;
  struct rgy_check_error error;
  struct rgy_entry entry;
  struct rgy_name domain;
  enum rgy_outcome rc;

  if (rgy_daemon_get_rollup_domain (event, &domain))
    rgy_balancer_note_rollup (
        b->core, &domain,
        (struct rgy_str){ .data = (const char *)event->value.data,
                          .len = event->value.len });
  rc = rgy_store_event_to_entry (event, &entry, &error);
  if (rc == RGY_ERR_INVALID)
    reject_store_event_ (b, event, &error);
  if (rc != RGY_OK)
    return;
  rgy_balancer_from_store (b->core, &entry, b->d.actions);
  run_actions_ (b);
}

static void
on_store_synced_ (uint64_t revision, void *ctx)
{
  (void)ctx;
  rgy_log_info ("store: read up to revision %" G_GUINT64_FORMAT, revision);
}

static void
on_store_state_ (enum rgy_store_state state, const char *why, void *ctx)
{
  (void)ctx;
  if (state == RGY_STORE_UP)
    rgy_log_info ("store: %s: %s", rgy_store_state_string[state], why);
  else
    rgy_log_warning ("store: %s: %s", rgy_store_state_string[state], why);
}

static void
on_tick_ (uv_timer_t *timer)
{
  struct balancer_daemon_ *b = timer->data;
  bool reader;

  rgy_balancer_tick (b->core, rgy_daemon_now_us (&b->d), b->d.actions);
  run_actions_ (b);
  reader = rgy_balancer_is_reader (b->core);
  if (reader != b->watching)
    {
      b->watching = reader;
      rgy_store_client_set_watching (b->d.store, reader);
    }
}

static void
on_signal_ (uv_signal_t *handle, int number)
{
  struct balancer_daemon_ *b = handle->data;

  (void)number;
  rgy_balancer_start_drain (b->core, rgy_daemon_now_us (&b->d), b->d.actions);
  run_actions_ (b);
}

/* HTTP requests.  */

static bool
is_authorized_ (const struct balancer_daemon_ *b,
                const struct rgy_http_request *request)
{
  char *expected
      = g_strdup_printf ("Bearer %s", b->d.settings->operator_token);
  size_t len = strlen (expected);
  bool same = request->authorization != NULL
              && strlen (request->authorization) == len
              && sodium_memcmp (request->authorization, expected, len) == 0;

  g_free (expected);
  return same;
}

static void
handle_order_ (struct balancer_daemon_ *b,
               const struct rgy_http_request *request,
               struct rgy_http_response *response)
{
  enum rgy_outcome rc;

  if (!g_str_equal (request->method, "POST"))
    {
      rgy_daemon_respond_json (response, 405,
                               g_strdup ("{\"error\":\"use POST\"}"));
      return;
    }
  if (!is_authorized_ (b, request))
    {
      rgy_daemon_respond_json (
          response, 401,
          g_strdup ("{\"error\":\"wrong or missing operator token\"}"));
      return;
    }
  rc = rgy_balancer_from_operator (
      b->core,
      (struct rgy_str){ .data = (const char *)request->body.data,
                        .len = request->body.len },
      rgy_daemon_now_us (&b->d), b->d.actions);
  run_actions_ (b);
  rgy_daemon_respond_json (
      response, rc == RGY_ERR_INVALID ? 400 : 200,
      g_strdup_printf ("{\"accepted\":%s,\"outcome\":\"%s\"}",
                       rc == RGY_OK ? "true" : "false",
                       rgy_outcome_string[rc]));
}

static void
handle_confirm_ (struct balancer_daemon_ *b,
                 const struct rgy_http_request *request,
                 struct rgy_http_response *response)
{
  const char *customer = rgy_http_request_get_query (request, "customer");
  const char *domain = rgy_http_request_get_query (request, "domain");
  const char *number = rgy_http_request_get_query (
      request, domain != NULL ? "number" : "revision");
  struct rgy_name key;
  guint64 value;

  if ((customer == NULL) == (domain == NULL) || number == NULL
      || !g_ascii_string_to_unsigned (number, 10, 0, G_MAXUINT64, &value, NULL)
      || rgy_name_set (&key,
                       rgy_str_from_c (domain != NULL ? domain : customer))
             != RGY_OK)
    {
      rgy_daemon_respond_json (
          response, 400,
          g_strdup ("{\"error\":\"customer and revision, or domain and "
                    "number, are required\"}"));
      return;
    }
  rgy_daemon_respond_json (
      response, 200,
      rgy_balancer_format_confirm (b->core, &key, domain != NULL, value));
}

static void
on_http_request_ (const struct rgy_http_request *request,
                  struct rgy_http_response *response, void *ctx)
{
  struct balancer_daemon_ *b = ctx;

  if (rgy_daemon_handle_common (&b->d, request, response))
    return;
  if (g_str_equal (request->path, "/readyz"))
    rgy_daemon_respond_ready (response, rgy_balancer_is_ready (b->core));
  else if (g_str_equal (request->path, "/v1/status"))
    rgy_daemon_respond_json (response, 200,
                             rgy_balancer_format_status (b->core));
  else if (g_str_equal (request->path, "/v1/confirm"))
    handle_confirm_ (b, request, response);
  else if (g_str_equal (request->path, "/v1/domain"))
    handle_order_ (b, request, response);
  else
    rgy_daemon_respond_json (response, 404,
                             g_strdup ("{\"error\":\"no such path\"}"));
}

static struct rgy_balancer_settings
make_core_settings_ (const struct rgy_settings *s)
{
  struct rgy_balancer_settings cs
      = { .id = s->id,
          .domain = s->domain,
          .epoch = rgy_daemon_make_epoch (),
          .endpoint = s->listen,
          .sync = s->sync,
          .http = s->http,
          .seed_count = s->seed_count,
          .random_seed = rgy_daemon_make_seed (),
          .drain_us = s->drain_timeout_ms * RGY_US_PER_MS };

  memcpy (cs.key, s->cluster_key, sizeof cs.key);
  memcpy (cs.seeds, s->seeds, sizeof cs.seeds);
  return cs;
}

/* Opens all sockets.
   @return false after an error was logged.  */
static bool
open_sockets_ (struct balancer_daemon_ *b)
{
  const struct rgy_settings *s = b->d.settings;
  const struct rgy_store_callbacks callbacks = { .on_event = on_store_event_,
                                                 .on_synced = on_store_synced_,
                                                 .on_state = on_store_state_,
                                                 .ctx = b };
  const char *why = "";

  b->d.internal
      = rgy_udp_bind (&b->d.loop, s->listen, on_internal_datagram_, b, &why);
  if (b->d.internal == NULL)
    {
      rgy_log_error ("--listen: cannot bind: %s", why);
      return false;
    }
  b->fabric = rgy_udp_bind (&b->d.loop, s->fabric_listen, on_fabric_datagram_,
                            b, &why);
  if (b->fabric == NULL)
    {
      rgy_log_error ("--fabric-listen: cannot bind: %s", why);
      return false;
    }
  b->sync_server
      = rgy_sync_server_new (&b->d.loop, s->sync, on_sync_request_, b, &why);
  if (b->sync_server == NULL)
    {
      rgy_log_error ("--sync: cannot bind: %s", why);
      return false;
    }
  b->d.http = rgy_http_new (&b->d.loop, s->http, on_http_request_, b);
  if (b->d.http == NULL)
    {
      rgy_log_error ("--http: cannot bind");
      return false;
    }
  b->d.sync_client = rgy_sync_client_new (&b->d.loop, RGY_SYNC_TIMEOUT_MS,
                                          on_sync_done_, b);
  b->d.store = rgy_store_client_new (&b->d.loop, s->store,
                                     rgy_daemon_make_seed (), &callbacks);
  return b->d.store != NULL && b->d.sync_client != NULL;
}

int
rgy_balancer_main (const struct rgy_settings *settings)
{
  struct balancer_daemon_ b = { 0 };
  struct rgy_balancer_settings core_settings;
  int status = 1;

  rgy_daemon_init (&b.d, settings, on_tick_, on_signal_);
  core_settings = make_core_settings_ (settings);
  b.core = rgy_balancer_new (&core_settings, b.d.counters);
  if (!open_sockets_ (&b))
    goto out;
  rgy_log_info ("started");
  rgy_daemon_run (&b.d);
  rgy_log_info ("stopped");
  status = 0;
out:
  rgy_udp_delete (b.fabric);
  if (b.sync_server != NULL)
    rgy_sync_server_delete (b.sync_server);
  rgy_daemon_finish (&b.d);
  rgy_balancer_delete (b.core);
  return status;
}
