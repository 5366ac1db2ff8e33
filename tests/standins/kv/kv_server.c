#include "kv_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>

#include "kv_api.h"
#include "kv_watch.h"

/* libmicrohttpd does not poll the sockets of suspended watches. The server
   checks them at this interval to detect clients that closed them.  */
#define WATCH_CHECK_MS 100
#define MAX_DELAY_MS 600000

/* Fault switches, named as in POST /standin/faults.  */
struct faults_
{
  bool down;
  int64_t delay_ms;
  int64_t drop_next_answers; /* Changes whose answers will be dropped.  */
  bool silent_watches;
};

/* One HTTP request, from its first line to the end of its answer.  */
struct request_
{
  struct kv_server *server;
  struct MHD_Connection *connection;
  GByteArray *body;
  enum kv_call call;
  struct MHD_Response *response; /* NULL until the call has run.  */
  unsigned status;
  int64_t due_us; /* Monotonic time until which the answer is delayed.  */
  bool suspended;
  bool dropped; /* The connection is closed in place of an answer.  */
  struct kv_watch *watch; /* NULL for all other calls.  */
};

struct kv_server
{
  struct MHD_Daemon *daemon;
  struct kv_store store;
  struct faults_ faults;
  uint64_t calls[KV_CALL_COUNT];
  GPtrArray *requests; /* Open requests: struct request_.  */
};

const char *
kv_server_set_faults (struct kv_server *server, const json_t *body)
{
  struct faults_ faults = server->faults;
  struct request_ *request;
  const char *name;
  json_t *value;
  unsigned i;

  if (!json_is_object (body))
    return "the body must be a JSON object";
  json_object_foreach ((json_t *)body, name, value)
  {
    if (strcmp (name, "delay_ms") == 0
        || strcmp (name, "drop_next_answers") == 0)
      {
        if (!json_is_integer (value) || json_integer_value (value) < 0
            || json_integer_value (value) > MAX_DELAY_MS)
          return "delay_ms and drop_next_answers must be integers from 0 to "
                 "600000";
        if (name[1] == 'e')
          faults.delay_ms = json_integer_value (value);
        else
          faults.drop_next_answers = json_integer_value (value);
      }
    else if (!json_is_boolean (value))
      return "down, silent_watches, reset, new_cluster, compact and "
             "expire_leases must be true or false";
    else if (strcmp (name, "down") == 0)
      faults.down = json_is_true (value);
    else if (strcmp (name, "silent_watches") == 0)
      faults.silent_watches = json_is_true (value);
    else if (strcmp (name, "reset") != 0 && strcmp (name, "new_cluster") != 0
             && strcmp (name, "compact") != 0
             && strcmp (name, "expire_leases") != 0)
      return "allowed are down, delay_ms, drop_next_answers, silent_watches, "
             "reset, new_cluster, compact and expire_leases";
  }
  server->faults = faults;
  if (json_is_true (json_object_get (body, "reset"))
      || json_is_true (json_object_get (body, "new_cluster")))
    kv_store_reset (&server->store,
                    json_is_true (json_object_get (body, "new_cluster")));
  if (json_is_true (json_object_get (body, "compact")))
    kv_store_compact (&server->store);
  if (json_is_true (json_object_get (body, "expire_leases")))
    kv_store_expire_leases (&server->store, g_get_monotonic_time (), true);
  for (i = 0; i < server->requests->len; i++)
    {
      request = g_ptr_array_index (server->requests, i);
      if (request->watch == NULL)
        continue;
      request->watch->events_suppressed |= faults.silent_watches;
      request->watch->ended
          |= faults.down || json_is_true (json_object_get (body, "reset"))
             || json_is_true (json_object_get (body, "new_cluster"));
    }
  return NULL;
}

/* Builds the answer to GET /standin/calls.  */
static json_t *
build_calls_json_ (const struct kv_server *server)
{
  json_t *answer = json_object ();
  const struct request_ *request;
  uint64_t total = 0;
  int open = 0;
  unsigned i;

  for (i = 0; i < KV_CALL_COUNT; i++)
    {
      total += server->calls[i];
      json_object_set_new (answer, kv_call_name[i],
                           json_integer ((json_int_t)server->calls[i]));
    }
  for (i = 0; i < server->requests->len; i++)
    {
      request = g_ptr_array_index (server->requests, i);
      open += request->watch != NULL && !request->watch->ended;
    }
  json_object_set_new (answer, "total", json_integer ((json_int_t)total));
  json_object_set_new (answer, "open_watches", json_integer (open));
  return answer;
}

/* Sets the answer of a request and takes ownership of it.  */
static void
set_response_ (struct request_ *request, unsigned status, json_t *answer)
{
  char *text = json_dumps (answer, JSON_COMPACT);

  json_decref (answer);
  request->status = status;
  request->response = MHD_create_response_from_buffer (strlen (text), text,
                                                       MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (request->response, "Content-Type",
                           "application/json");
}

/* Queues new events of the store for all open watches.  */
static void
update_watches_ (struct kv_server *server)
{
  struct request_ *request;
  unsigned i;

  for (i = 0; i < server->requests->len; i++)
    {
      request = g_ptr_array_index (server->requests, i);
      if (request->watch != NULL && !request->watch->ended)
        kv_watch_update (request->watch, &server->store);
    }
}

/* Runs the call of a complete request and applies the delay and drop
   switches to its answer.  */
static void
run_call_ (struct request_ *request, const json_t *body)
{
  struct kv_server *server = request->server;
  uint64_t revision = server->store.revision;
  unsigned status = MHD_HTTP_OK;
  json_t *answer = NULL;

  server->calls[request->call]++;
  if (request->call == KV_CALL_WATCH)
    {
      request->watch
          = kv_watch_new (&server->store, body, server->faults.silent_watches,
                          request->connection);
      if (request->watch != NULL)
        request->response = kv_watch_get_response (request->watch);
      request->status = MHD_HTTP_OK;
    }
  else
    answer = kv_api_call (&server->store, request->call, body,
                          g_get_monotonic_time (), &status);
  if (answer != NULL)
    set_response_ (request, status, answer);
  else if (request->response == NULL)
    set_response_ (request, MHD_HTTP_BAD_REQUEST,
                   kv_api_build_error (MHD_HTTP_BAD_REQUEST,
                                       "create_request with a key is required",
                                       &status));
  if ((server->store.revision != revision
       || request->call == KV_CALL_LEASE_GRANT
       || request->call == KV_CALL_LEASE_REVOKE)
      && server->faults.drop_next_answers > 0)
    {
      server->faults.drop_next_answers--;
      request->dropped = true;
    }
  if (server->faults.delay_ms > 0)
    request->due_us = g_get_monotonic_time ()
                      + server->faults.delay_ms * (G_USEC_PER_SEC / 1000);
  update_watches_ (server);
}

/* Answers a complete request: a call of the store or one of the stand-in's
   own paths.  */
static void
run_request_ (struct request_ *request, const char *method, const char *url)
{
  struct kv_server *server = request->server;
  const char *problem;
  unsigned status;
  json_t *body;

  if (strcmp (url, "/standin/calls") == 0 && strcmp (method, "GET") == 0)
    {
      set_response_ (request, MHD_HTTP_OK, build_calls_json_ (server));
      return;
    }
  if (strcmp (method, "POST") != 0)
    {
      set_response_ (request, MHD_HTTP_METHOD_NOT_ALLOWED,
                     kv_api_build_error (MHD_HTTP_METHOD_NOT_ALLOWED,
                                         "Method Not Allowed", &status));
      return;
    }
  body = json_loadb ((const char *)request->body->data, request->body->len, 0,
                     NULL);
  if (strcmp (url, "/standin/faults") == 0)
    {
      problem = kv_server_set_faults (server, body);
      if (problem == NULL)
        set_response_ (request, MHD_HTTP_OK, json_object ());
      else
        set_response_ (
            request, MHD_HTTP_BAD_REQUEST,
            kv_api_build_error (MHD_HTTP_BAD_REQUEST, problem, &status));
    }
  else if (request->call == KV_CALL_COUNT)
    set_response_ (
        request, MHD_HTTP_NOT_FOUND,
        kv_api_build_error (MHD_HTTP_NOT_FOUND, "Not Found", &status));
  else if (body == NULL)
    set_response_ (request, MHD_HTTP_BAD_REQUEST,
                   kv_api_build_error (MHD_HTTP_BAD_REQUEST,
                                       "the body is not valid JSON", &status));
  else
    run_call_ (request, body);
  json_decref (body);
}

static struct request_ *
request_new_ (struct kv_server *server, struct MHD_Connection *connection,
              const char *url)
{
  struct request_ *request = g_new0 (struct request_, 1);
  int call;

  request->server = server;
  request->connection = connection;
  request->body = g_byte_array_new ();
  for (call = 0; call < KV_CALL_COUNT; call++)
    if (strcmp (url, kv_call_path[call]) == 0)
      break;
  request->call = (enum kv_call)call;
  g_ptr_array_add (server->requests, request);
  return request;
}

/* Called by libmicrohttpd for the header, for each part of the body, at the
   end of the body, and again when a delayed answer is due.  */
static enum MHD_Result
on_request_ (void *ctx, struct MHD_Connection *connection, const char *url,
             const char *method, const char *version, const char *data,
             size_t *size, void **state)
{
  struct kv_server *server = ctx;
  struct request_ *request = *state;

  (void)version;
  if (server->faults.down && !g_str_has_prefix (url, "/standin/"))
    return MHD_NO;
  if (request == NULL)
    {
      *state = request_new_ (server, connection, url);
      return MHD_YES;
    }
  if (*size > 0)
    {
      if (request->body->len + *size > KV_MAX_REQUEST_BYTES * 2)
        return MHD_NO;
      g_byte_array_append (request->body, (const guint8 *)data, (guint)*size);
      *size = 0;
      return MHD_YES;
    }
  if (request->response == NULL)
    run_request_ (request, method, url);
  if (request->due_us > g_get_monotonic_time ())
    {
      request->suspended = true;
      MHD_suspend_connection (connection);
      return MHD_YES;
    }
  if (request->dropped)
    return MHD_NO;
  return MHD_queue_response (connection, request->status, request->response);
}

static void
on_request_completed_ (void *ctx, struct MHD_Connection *connection,
                       void **state, enum MHD_RequestTerminationCode code)
{
  struct kv_server *server = ctx;
  struct request_ *request = *state;

  (void)connection;
  (void)code;
  if (request == NULL)
    return;
  *state = NULL;
  g_ptr_array_remove_fast (server->requests, request);
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  kv_watch_delete (request->watch);
  g_byte_array_unref (request->body);
  g_free (request);
}

struct kv_server *
kv_server_new (struct rgy_endpoint endpoint)
{
  struct kv_server *server = g_new0 (struct kv_server, 1);
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons (endpoint.port),
                             .sin_addr.s_addr = htonl (endpoint.ip) };

  kv_store_init (&server->store);
  server->requests = g_ptr_array_new ();
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, endpoint.port, NULL, NULL,
      on_request_, server, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&sin,
      MHD_OPTION_NOTIFY_COMPLETED, on_request_completed_, server,
      MHD_OPTION_END);
  if (server->daemon != NULL)
    return server;
  kv_server_delete (server);
  return NULL;
}

/* Ends all watches and resumes all suspended connections: libmicrohttpd must
   not be stopped while a connection is suspended.  */
static void
resume_connections_ (struct kv_server *server)
{
  struct request_ *request;
  unsigned i;

  for (i = 0; i < server->requests->len; i++)
    {
      request = g_ptr_array_index (server->requests, i);
      if (request->watch != NULL)
        {
          request->watch->ended = true;
          kv_watch_resume (request->watch);
        }
      if (request->suspended)
        MHD_resume_connection (request->connection);
      request->suspended = false;
    }
}

void
kv_server_delete (struct kv_server *server)
{
  if (server == NULL)
    return;
  if (server->daemon != NULL)
    {
      resume_connections_ (server);
      MHD_stop_daemon (server->daemon);
    }
  g_ptr_array_unref (server->requests);
  kv_store_finish (&server->store);
  g_free (server);
}

struct rgy_endpoint
kv_server_get_endpoint (const struct kv_server *server)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_LISTEN_FD);
  struct sockaddr_in sin = { 0 };
  socklen_t len = sizeof sin;

  if (info == NULL
      || getsockname (info->listen_fd, (struct sockaddr *)&sin, &len) != 0)
    return (struct rgy_endpoint){ 0 };
  return (struct rgy_endpoint){ .ip = ntohl (sin.sin_addr.s_addr),
                                .port = ntohs (sin.sin_port) };
}

int
kv_server_get_fd (const struct kv_server *server)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);

  return info == NULL ? -1 : info->epoll_fd;
}

/* Shortens the time-out so that it ends at AT_US at the latest; a negative
   time-out has no limit.  */
static void
shorten_timeout_ (int *timeout_ms, int64_t at_us, int64_t now_us)
{
  int64_t wait_ms = at_us <= now_us ? 0 : (at_us - now_us) / 1000 + 1;

  if (*timeout_ms < 0 || wait_ms < *timeout_ms)
    *timeout_ms = (int)MIN (wait_ms, MAX_DELAY_MS);
}

int
kv_server_get_timeout_ms (struct kv_server *server)
{
  int64_t now_us = g_get_monotonic_time ();
  int64_t expiry_us = kv_store_get_next_expiry_us (&server->store);
  const struct request_ *request;
  MHD_UNSIGNED_LONG_LONG mhd_ms = 0;
  int timeout_ms = -1;
  unsigned i;

  if (MHD_get_timeout (server->daemon, &mhd_ms) == MHD_YES)
    timeout_ms = (int)MIN (mhd_ms, MAX_DELAY_MS);
  if (expiry_us >= 0)
    shorten_timeout_ (&timeout_ms, expiry_us, now_us);
  for (i = 0; i < server->requests->len; i++)
    {
      request = g_ptr_array_index (server->requests, i);
      if (request->suspended)
        shorten_timeout_ (&timeout_ms, request->due_us, now_us);
      if (request->watch != NULL)
        shorten_timeout_ (&timeout_ms, now_us + WATCH_CHECK_MS * 1000, now_us);
    }
  return timeout_ms;
}

/* Resumes a request whose delay has passed and updates its watch.  */
static void
update_request_ (struct kv_server *server, struct request_ *request,
                 int64_t now_us)
{
  if (request->suspended && request->due_us <= now_us)
    {
      request->suspended = false;
      MHD_resume_connection (request->connection);
    }
  if (request->watch != NULL)
    kv_watch_update (request->watch, &server->store);
}

void
kv_server_run (struct kv_server *server)
{
  int64_t now_us = g_get_monotonic_time ();
  unsigned i;

  kv_store_expire_leases (&server->store, now_us, false);
  MHD_run (server->daemon);
  now_us = g_get_monotonic_time ();
  for (i = 0; i < server->requests->len; i++)
    update_request_ (server, g_ptr_array_index (server->requests, i), now_us);
  MHD_run (server->daemon);
}

json_t *
kv_server_call (struct kv_server *server, enum kv_call call,
                const json_t *request)
{
  unsigned status;
  json_t *answer = kv_api_call (&server->store, call, request,
                                g_get_monotonic_time (), &status);

  update_watches_ (server);
  return answer;
}

uint64_t
kv_server_get_call_count (const struct kv_server *server, enum kv_call call)
{
  return server->calls[call];
}
