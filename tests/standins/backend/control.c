#include "server.h"

#include <arpa/inet.h>
#include <string.h>

#include <jansson.h>
#include <microhttpd.h>

/* Interval at which the HTTP daemon also runs without input, so that its
   time-outs take effect.  */
#define RUN_INTERVAL_MS 100

struct control_
{
  struct MHD_Daemon *daemon;
  struct server *server;
  uv_poll_t poll;
  uv_timer_t timer;
};

static json_t *
build_stats_json_ (struct server *server)
{
  const struct server_stats *s = server_get_stats (server);
  GHashTable *records = server_get_record_executions (server);
  unsigned max_executions = 0;
  json_int_t executions = 0;
  GHashTableIter iter;
  gpointer count;

  g_hash_table_iter_init (&iter, records);
  while (g_hash_table_iter_next (&iter, NULL, &count))
    {
      max_executions = MAX (max_executions, GPOINTER_TO_UINT (count));
      executions += GPOINTER_TO_UINT (count);
    }
  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,"
      "s:I,s:b}",
      "requests", (json_int_t)s->requests, "duplicates",
      (json_int_t)s->duplicates, "completed", (json_int_t)s->completed,
      "cancelled", (json_int_t)s->cancelled, "deadline_abandoned",
      (json_int_t)s->deadline_abandoned, "shed", (json_int_t)s->shed,
      "overload_violations", (json_int_t)s->overload_violations,
      "slots_exceeded", (json_int_t)s->slots_exceeded, "blocks",
      (json_int_t)s->blocks, "notifications", (json_int_t)s->notifications,
      "observers_ended", (json_int_t)s->observers_ended, "pings",
      (json_int_t)s->pings, "highest_concurrency",
      (json_int_t)s->highest_concurrency, "running",
      (json_int_t)server_get_running_count (server), "observers",
      (json_int_t)server_get_observer_count (server), "version",
      (json_int_t)server_get_board_version (server), "records", executions,
      "most_executions_of_a_record", (json_int_t)max_executions, "cold",
      (int)server_is_cold (server));
}

static json_t *
build_records_json_ (struct server *server)
{
  json_t *out = json_object ();
  GHashTableIter iter;
  gpointer id;
  gpointer count;

  g_hash_table_iter_init (&iter, server_get_record_executions (server));
  while (g_hash_table_iter_next (&iter, &id, &count))
    json_object_set_new_nocheck (out, id,
                                 json_integer (GPOINTER_TO_UINT (count)));
  return out;
}

/* Sends a JSON answer and takes ownership of BODY.  */
static enum MHD_Result
send_json_ (struct MHD_Connection *connection, unsigned status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  struct MHD_Response *response;
  enum MHD_Result rc;

  json_decref (body);
  if (text == NULL)
    return MHD_NO;
  response = MHD_create_response_from_buffer (strlen (text), text,
                                              MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, "Content-Type", "application/json");
  rc = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return rc;
}

/* Returns the value of the URL argument "on": true, unless it is "0".  */
static bool
get_on_argument_ (struct MHD_Connection *connection)
{
  const char *value
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "on");

  return value == NULL || strcmp (value, "0") != 0;
}

/* Applies the switch that URL names and answers with the statistics.  */
static enum MHD_Result
apply_switch_ (struct server *server, struct MHD_Connection *connection,
               const char *url)
{
  if (strcmp (url, "/bump") == 0)
    {
      const char *version = MHD_lookup_connection_value (
          connection, MHD_GET_ARGUMENT_KIND, "version");

      server_raise_version (
          server, version != NULL ? g_ascii_strtoull (version, NULL, 10) : 0);
    }
  else if (strcmp (url, "/cold") == 0)
    server_set_cold (server);
  else if (strcmp (url, "/silent") == 0)
    server_set_unresponsive (server, get_on_argument_ (connection));
  else if (strcmp (url, "/shed") == 0)
    server_set_shedding (server, get_on_argument_ (connection));
  else
    return send_json_ (connection, MHD_HTTP_NOT_FOUND,
                       json_pack ("{s:s}", "error", "unknown control path"));
  return send_json_ (connection, MHD_HTTP_OK, build_stats_json_ (server));
}

/* Called by libmicrohttpd once for the header and again for the body.  */
static enum MHD_Result
on_request_ (void *cls, struct MHD_Connection *connection, const char *url,
             const char *method, const char *version, const char *data,
             size_t *data_size, void **ctx)
{
  struct control_ *control = cls;

  (void)version;
  (void)data;
  if (*ctx == NULL)
    {
      *ctx = control;
      return MHD_YES;
    }
  if (*data_size > 0)
    {
      *data_size = 0;
      return MHD_YES;
    }
  if (strcmp (method, "POST") == 0)
    return apply_switch_ (control->server, connection, url);
  if (strcmp (method, "GET") == 0 && strcmp (url, "/stats") == 0)
    return send_json_ (connection, MHD_HTTP_OK,
                       build_stats_json_ (control->server));
  if (strcmp (method, "GET") == 0 && strcmp (url, "/records") == 0)
    return send_json_ (connection, MHD_HTTP_OK,
                       build_records_json_ (control->server));
  return send_json_ (connection, MHD_HTTP_NOT_FOUND,
                     json_pack ("{s:s}", "error", "unknown resource"));
}

static void
on_readable_ (uv_poll_t *poll, int status, int events)
{
  struct control_ *control = poll->data;

  (void)status;
  (void)events;
  MHD_run (control->daemon);
}

static void
on_run_timer_ (uv_timer_t *timer)
{
  struct control_ *control = timer->data;

  MHD_run (control->daemon);
}

int
control_start (uv_loop_t *loop, struct server *server,
               struct rgy_endpoint listen)
{
  struct control_ *control = g_new0 (struct control_, 1);
  struct sockaddr_in addr = { .sin_family = AF_INET,
                              .sin_port = htons (listen.port),
                              .sin_addr.s_addr = htonl (listen.ip) };
  const union MHD_DaemonInfo *info;

  control->server = server;
  control->daemon = MHD_start_daemon (
      MHD_USE_EPOLL, listen.port, NULL, NULL, on_request_, control,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&addr, MHD_OPTION_END);
  if (control->daemon == NULL)
    goto fail;
  info = MHD_get_daemon_info (control->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  if (info == NULL || uv_poll_init (loop, &control->poll, info->epoll_fd) != 0)
    goto fail;
  control->poll.data = control;
  uv_poll_start (&control->poll, UV_READABLE, on_readable_);
  uv_timer_init (loop, &control->timer);
  control->timer.data = control;
  uv_timer_start (&control->timer, on_run_timer_, RUN_INTERVAL_MS,
                  RUN_INTERVAL_MS);
  return 0;

fail:
  if (control->daemon != NULL)
    MHD_stop_daemon (control->daemon);
  g_free (control);
  return -1;
}
