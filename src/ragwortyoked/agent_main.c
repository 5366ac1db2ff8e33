#include "daemon.h"

#include <glib.h>
#include <string.h>

#include "ragwortyoke-io/log.h"
#include "ragwortyoke/agent.h"

/* Daemon of the agent role: sockets, timers and HTTP around
   the agent core.  */

struct agent_daemon_
{
  struct rgy_daemon d; /* First member, since the handles of the event loop
                          carry the daemon's address.  */
  struct rgy_agent *core;
  GHashTable *flows; /* Flow ID to struct flow_socket_.  */
};

struct flow_socket_
{
  struct agent_daemon_ *daemon;
  uint64_t flow_id;
  struct rgy_udp *udp;
};

static void run_actions_ (struct agent_daemon_ *a);

static void
on_backend_data_ (struct rgy_endpoint from, struct rgy_bytes data, void *ctx)
{
  struct flow_socket_ *s = ctx;
  struct agent_daemon_ *a = s->daemon;

  (void)from;
  rgy_agent_from_backend (a->core, s->flow_id, data, rgy_daemon_now_us (&a->d),
                          a->d.actions);
  run_actions_ (a);
}

static void
on_backend_refused_ (void *ctx)
{
  struct flow_socket_ *s = ctx;
  struct agent_daemon_ *a = s->daemon;

  rgy_agent_backend_refused (a->core, s->flow_id, rgy_daemon_now_us (&a->d),
                             a->d.actions);
  run_actions_ (a);
}

static void
flow_socket_free_ (gpointer data)
{
  struct flow_socket_ *s = data;

  rgy_udp_delete (s->udp);
  g_free (s);
}

static struct flow_socket_ *
get_flow_socket_ (struct agent_daemon_ *a, uint64_t flow_id)
{
  struct flow_socket_ *s = g_hash_table_lookup (a->flows, &flow_id);

  if (s != NULL)
    return s;
  s = g_new0 (struct flow_socket_, 1);
  s->daemon = a;
  s->flow_id = flow_id;
  s->udp = rgy_udp_connect (&a->d.loop, a->d.settings->backend,
                            on_backend_data_, on_backend_refused_, s);
  g_hash_table_insert (a->flows, &s->flow_id, s);
  return s;
}

static void
write_to_store_ (struct agent_daemon_ *a, const struct rgy_action *action)
{
  char *key
      = g_strdup_printf (RGY_STORE_PREFIX "%.*s", (int)action->u.store.key.len,
                         action->u.store.key.data);

  rgy_store_client_set_leased_key (a->d.store, rgy_str_from_c (key),
                                   action->u.store.value, RGY_AGENT_LEASE_S);
  g_free (key);
}

static void
run_action_ (struct agent_daemon_ *a, const struct rgy_action *action)
{
  switch (action->kind)
    {
    case RGY_ACTION_SEND:
      rgy_daemon_send (&a->d, a->d.internal, action->u.send.to,
                       action->u.send.data);
      break;
    case RGY_ACTION_DELIVER:
      rgy_daemon_send (&a->d,
                       get_flow_socket_ (a, action->u.flow.flow_id)->udp,
                       a->d.settings->backend, action->u.flow.data);
      break;
    case RGY_ACTION_CLOSE_FLOW:
      g_hash_table_remove (a->flows, &action->u.flow.flow_id);
      break;
    case RGY_ACTION_SYNC:
      rgy_sync_client_request (a->d.sync_client, action->u.send.to,
                               rgy_agent_build_sync_request (a->core));
      break;
    case RGY_ACTION_WRITE_STORE:
      write_to_store_ (a, action);
      break;
    case RGY_ACTION_LOG:
      rgy_log_info ("%.*s", (int)action->u.text.len, action->u.text.data);
      break;
    case RGY_ACTION_READ_STORE:
      rgy_store_client_read (a->d.store);
      break;
    case RGY_ACTION_EXIT:
      rgy_daemon_exit (&a->d);
      break;
    case RGY_ACTION_EGRESS:
      break;
    }
}

static void
run_actions_ (struct agent_daemon_ *a)
{
  struct rgy_action action;
  size_t i;

  for (i = 0; i < rgy_actions_get_count (a->d.actions); i++)
    {
      action = rgy_actions_get (a->d.actions, i);
      run_action_ (a, &action);
    }
  rgy_actions_clear (a->d.actions);
}

static void
on_internal_datagram_ (struct rgy_endpoint from, struct rgy_bytes data,
                       void *ctx)
{
  struct agent_daemon_ *a = ctx;

  rgy_agent_from_instance (a->core, from, data, rgy_daemon_now_us (&a->d),
                           a->d.actions);
  run_actions_ (a);
}

static void
on_sync_done_ (enum rgy_outcome outcome, struct rgy_endpoint peer,
               const struct rgy_bytes *frames, size_t count, void *ctx)
{
  struct agent_daemon_ *a = ctx;
  size_t i;

  (void)peer;
  if (outcome != RGY_OK)
    return;
  for (i = 0; i < count; i++)
    rgy_agent_apply_sync (a->core, frames[i], rgy_daemon_now_us (&a->d),
                          a->d.actions);
  run_actions_ (a);
}

static void
on_store_event_ (const struct rgy_store_event *event, void *ctx)
{
  struct agent_daemon_ *a = ctx;
  struct rgy_name domain;

  if (rgy_daemon_get_rollup_domain (event, &domain))
    rgy_agent_note_rollup (
        a->core, (struct rgy_str){ .data = (const char *)event->value.data,
                                   .len = event->value.len });
}

static void
on_store_synced_ (uint64_t revision, void *ctx)
{
  (void)revision;
  (void)ctx;
}

static void
on_store_state_ (enum rgy_store_state state, const char *why, void *ctx)
{
  (void)ctx;
  rgy_log_info ("store: %s: %s", rgy_store_state_string[state], why);
}

static void
on_tick_ (uv_timer_t *timer)
{
  struct agent_daemon_ *a = timer->data;

  rgy_agent_tick (a->core, rgy_daemon_now_us (&a->d), a->d.actions);
  run_actions_ (a);
}

static void
on_signal_ (uv_signal_t *handle, int number)
{
  struct agent_daemon_ *a = handle->data;

  (void)number;
  rgy_agent_start_drain (a->core, rgy_daemon_now_us (&a->d), a->d.actions);
  run_actions_ (a);
}

static void
on_http_request_ (const struct rgy_http_request *request,
                  struct rgy_http_response *response, void *ctx)
{
  struct agent_daemon_ *a = ctx;

  if (rgy_daemon_handle_common (&a->d, request, response))
    return;
  if (g_str_equal (request->path, "/readyz"))
    rgy_daemon_respond_ready (response, rgy_agent_is_ready (a->core));
  else if (g_str_equal (request->path, "/v1/status"))
    rgy_daemon_respond_json (response, 200, rgy_agent_format_status (a->core));
  else
    rgy_daemon_respond_json (response, 404,
                             g_strdup ("{\"error\":\"no such path\"}"));
}

static struct rgy_agent_settings
make_core_settings_ (const struct rgy_settings *s)
{
  struct rgy_agent_settings cs
      = { .id = s->id,
          .domain = s->domain,
          .epoch = rgy_daemon_make_epoch (),
          .endpoint = s->listen,
          .service = s->service,
          .seed_count = s->seed_count,
          .random_seed = rgy_daemon_make_seed (),
          .slots = s->slots,
          .connections = s->connections,
          .queue_length = s->queue,
          .deadline_ms = s->deadline_ms,
          .idle_timeout_us = s->idle_timeout_s * RGY_US_PER_S,
          .drain_timeout_us = s->drain_timeout_ms * RGY_US_PER_MS };

  memcpy (cs.key, s->cluster_key, sizeof cs.key);
  memcpy (cs.seeds, s->seeds, sizeof cs.seeds);
  return cs;
}

static bool
open_sockets_ (struct agent_daemon_ *a)
{
  const struct rgy_settings *s = a->d.settings;
  const struct rgy_store_callbacks callbacks = { .on_event = on_store_event_,
                                                 .on_synced = on_store_synced_,
                                                 .on_state = on_store_state_,
                                                 .ctx = a };
  const char *why = "";

  a->d.internal
      = rgy_udp_bind (&a->d.loop, s->listen, on_internal_datagram_, a, &why);
  if (a->d.internal == NULL)
    {
      rgy_log_error ("--listen: cannot bind: %s", why);
      return false;
    }
  a->d.http = rgy_http_new (&a->d.loop, s->http, on_http_request_, a);
  if (a->d.http == NULL)
    {
      rgy_log_error ("--http: cannot bind");
      return false;
    }
  a->d.sync_client = rgy_sync_client_new (&a->d.loop, RGY_SYNC_TIMEOUT_MS,
                                          on_sync_done_, a);
  a->d.store = rgy_store_client_new (&a->d.loop, s->store,
                                     rgy_daemon_make_seed (), &callbacks);
  return a->d.store != NULL && a->d.sync_client != NULL;
}

int
rgy_agent_main (const struct rgy_settings *settings)
{
  struct agent_daemon_ a = { 0 };
  struct rgy_agent_settings core_settings;
  int status = 1;

  rgy_daemon_init (&a.d, settings, on_tick_, on_signal_);
  a.flows = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                   flow_socket_free_);
  core_settings = make_core_settings_ (settings);
  a.core = rgy_agent_new (&core_settings, a.d.counters);
  if (!open_sockets_ (&a))
    goto out;
  rgy_log_info ("started");
  rgy_daemon_run (&a.d);
  rgy_log_info ("stopped");
  status = 0;
out:
  g_hash_table_unref (a.flows);
  rgy_daemon_finish (&a.d);
  rgy_agent_delete (a.core);
  return status;
}
