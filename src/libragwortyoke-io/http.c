#include "ragwortyoke-io/http.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string.h>

/* Operators' tools and scrapers need a handful; the bound keeps a client that
   opens connections from using up the process's descriptors.  */
#define MAX_CONNECTIONS 64U
#define CONNECTION_TIMEOUT_S 10U
/* A body over RGY_HTTP_MAX_BODY_BYTES is read and discarded up to this size,
   because a connection closed early is reset and the client may then not see
   the 413.  */
#define MAX_DISCARD_BYTES ((size_t)1024 * 1024)

struct rgy_http
{
  uv_poll_t poll;
  uv_timer_t timer;
  unsigned open_handles;
  struct MHD_Daemon *daemon;
  rgy_http_fn handle;
  void *ctx;
};

/* State of one request while its body arrives.  */
struct exchange_
{
  GByteArray *body;
  size_t received; /* Bytes, with the discarded ones.  */
};

const char *
rgy_http_request_get_query (const struct rgy_http_request *request,
                            const char *name)
{
  return MHD_lookup_connection_value (request->query, MHD_GET_ARGUMENT_KIND,
                                      name);
}

/* Queues a response; takes ownership of BODY.  */
static enum MHD_Result
respond_ (struct MHD_Connection *connection, unsigned status,
          const char *content_type, char *body)
{
  struct MHD_Response *response;
  enum MHD_Result rc;

  if (body == NULL)
    body = g_strdup ("");
  response = MHD_create_response_from_buffer_with_free_callback (strlen (body),
                                                                 body, g_free);
  if (response == NULL)
    {
      g_free (body);
      return MHD_NO;
    }
  if (content_type != NULL)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                             content_type);
  if (status == MHD_HTTP_UNAUTHORIZED)
    MHD_add_response_header (response, MHD_HTTP_HEADER_WWW_AUTHENTICATE,
                             "Bearer");
  rc = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return rc;
}

static enum MHD_Result
respond_too_large_ (struct MHD_Connection *connection)
{
  return respond_ (connection, MHD_HTTP_CONTENT_TOO_LARGE,
                   "text/plain; charset=utf-8",
                   g_strdup_printf ("request body: at most %d bytes are "
                                    "allowed\n",
                                    RGY_HTTP_MAX_BODY_BYTES));
}

static enum MHD_Result
start_exchange_ (struct MHD_Connection *connection, void **con_cls)
{
  const char *length_text = MHD_lookup_connection_value (
      connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  struct exchange_ *exchange;

  if (length_text != NULL
      && g_ascii_strtoull (length_text, NULL, 10) > MAX_DISCARD_BYTES)
    return respond_too_large_ (connection);
  exchange = g_new0 (struct exchange_, 1);
  exchange->body = g_byte_array_new ();
  *con_cls = exchange;
  return MHD_YES;
}

static enum MHD_Result
receive_ (struct exchange_ *exchange, const char *data, size_t *len)
{
  exchange->received += *len;
  if (exchange->received > MAX_DISCARD_BYTES)
    return MHD_NO;
  if (exchange->received <= RGY_HTTP_MAX_BODY_BYTES)
    g_byte_array_append (exchange->body, (const guint8 *)data, (guint)*len);
  *len = 0;
  return MHD_YES;
}

static enum MHD_Result
on_request_ (void *cls, struct MHD_Connection *connection, const char *url,
             const char *method, const char *version, const char *upload_data,
             size_t *upload_data_size, void **con_cls)
{
  struct rgy_http *http = cls;
  struct exchange_ *exchange = *con_cls;
  struct rgy_http_response response = { .status = MHD_HTTP_NOT_FOUND };
  struct rgy_http_request request;

  (void)version;
  if (exchange == NULL)
    return start_exchange_ (connection, con_cls);
  if (*upload_data_size > 0)
    return receive_ (exchange, upload_data, upload_data_size);
  if (exchange->received > RGY_HTTP_MAX_BODY_BYTES)
    return respond_too_large_ (connection);
  request = (struct rgy_http_request){
    .method = method,
    .path = url,
    .authorization = MHD_lookup_connection_value (
        connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION),
    .body = { .data = exchange->body->data, .len = exchange->body->len },
    .query = connection,
  };
  http->handle (&request, &response, http->ctx);
  return respond_ (connection, response.status, response.content_type,
                   response.body);
}

static void
on_completed_ (void *cls, struct MHD_Connection *connection, void **con_cls,
               enum MHD_RequestTerminationCode code)
{
  struct exchange_ *exchange = *con_cls;

  (void)cls;
  (void)connection;
  (void)code;
  if (exchange == NULL)
    return;
  g_byte_array_unref (exchange->body);
  g_free (exchange);
  *con_cls = NULL;
}

static void on_timer_ (uv_timer_t *timer);

static void
run_ (struct rgy_http *http)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;

  MHD_run (http->daemon);
  if (MHD_get_timeout (http->daemon, &timeout_ms) == MHD_YES)
    uv_timer_start (&http->timer, on_timer_, timeout_ms, 0);
  else
    uv_timer_stop (&http->timer);
}

static void
on_timer_ (uv_timer_t *timer)
{
  run_ (timer->data);
}

static void
on_poll_ (uv_poll_t *poll, int status, int events)
{
  (void)status;
  (void)events;
  run_ (poll->data);
}

static void
on_closed_ (uv_handle_t *handle)
{
  struct rgy_http *http = handle->data;

  if (--http->open_handles == 0)
    g_free (http);
}

struct rgy_http *
rgy_http_new (uv_loop_t *loop, struct rgy_endpoint endpoint,
              rgy_http_fn handle, void *ctx)
{
  struct sockaddr_in addr = { .sin_family = AF_INET,
                              .sin_port = htons (endpoint.port),
                              .sin_addr.s_addr = htonl (endpoint.ip) };
  struct rgy_http *http = g_new0 (struct rgy_http, 1);
  const union MHD_DaemonInfo *info;

  http->handle = handle;
  http->ctx = ctx;
  http->daemon = MHD_start_daemon (
      MHD_USE_EPOLL, endpoint.port, NULL, NULL, on_request_, http,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&addr,
      MHD_OPTION_CONNECTION_LIMIT, MAX_CONNECTIONS,
      MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_S,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed_, NULL, MHD_OPTION_END);
  if (http->daemon == NULL)
    goto fail;
  info = MHD_get_daemon_info (http->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  if (info == NULL || uv_poll_init (loop, &http->poll, info->epoll_fd) != 0)
    goto fail_daemon;
  uv_timer_init (loop, &http->timer);
  http->open_handles = 2;
  http->poll.data = http;
  http->timer.data = http;
  if (uv_poll_start (&http->poll, UV_READABLE, on_poll_) != 0)
    {
      rgy_http_delete (http);
      return NULL;
    }
  return http;

fail_daemon:
  MHD_stop_daemon (http->daemon);
fail:
  g_free (http);
  return NULL;
}

uint16_t
rgy_http_get_port (const struct rgy_http *http)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (http->daemon, MHD_DAEMON_INFO_BIND_PORT);

  return info == NULL ? 0 : info->port;
}

void
rgy_http_delete (struct rgy_http *http)
{
  if (http == NULL)
    return;
  /* Before the daemon closes the descriptor that the handle watches.  */
  uv_close ((uv_handle_t *)&http->poll, on_closed_);
  uv_close ((uv_handle_t *)&http->timer, on_closed_);
  MHD_stop_daemon (http->daemon);
  http->daemon = NULL;
}
