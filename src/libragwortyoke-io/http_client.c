#include "ragwortyoke-io/http_client.h"

#include <arpa/inet.h>
#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "private/read_buffer.h"

#define MAX_BODY_BYTES ((size_t)4 * 1024 * 1024)
/* TCP options with which the kernel detects a half-open connection after about
   USER_TIMEOUT_MS, so that a long poll does not wait on the connection until
   its own timeout.  */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define USER_TIMEOUT_MS 2500

/* A connection; freed once libuv has closed its handle.  */
struct connection_
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  struct rgy_http_client *client; /* NULL once the client has closed it.  */
  http_parser parser;
  GByteArray *body;
  GString *header_name;  /* Of the header that is being read.  */
  GString *header_value; /* Values of the recorded header.  */
  bool in_header_value;
  bool connected;
};

struct rgy_http_client
{
  uv_loop_t *loop;
  struct rgy_endpoint server;
  struct connection_ *connection;
  uv_timer_t *timer;
  GString *request;
  const char *recorded_header; /* Name; NULL: none is recorded.  */
  GString *header_value;       /* Value in the last response.  */
  rgy_http_client_fn fn;       /* NULL: no call in progress.  */
  void *ctx;
};

struct request_write_
{
  uv_write_t request;
  GString *text;
};

static void
on_closed_ (uv_handle_t *handle)
{
  struct connection_ *c = handle->data;

  g_byte_array_unref (c->body);
  g_string_free (c->header_name, TRUE);
  g_string_free (c->header_value, TRUE);
  g_free (c);
}

/* Closes the connection without waiting.  Callbacks of the connection
   do nothing afterwards.  */
static void
close_connection_ (struct rgy_http_client *client)
{
  struct connection_ *c = client->connection;

  if (c == NULL)
    return;
  client->connection = NULL;
  c->client = NULL;
  uv_close ((uv_handle_t *)&c->tcp, on_closed_);
}

/* Ends the call and runs its callback.  */
static void
finish_call_ (struct rgy_http_client *client, enum rgy_outcome outcome,
              unsigned status, struct rgy_bytes body)
{
  rgy_http_client_fn fn = client->fn;

  uv_timer_stop (client->timer);
  if (outcome != RGY_OK)
    {
      close_connection_ (client);
      g_string_truncate (client->header_value, 0);
    }
  if (fn == NULL)
    return;
  client->fn = NULL;
  fn (outcome, status, body, client->ctx);
}

static int
on_header_field_ (http_parser *parser, const char *at, size_t len)
{
  struct connection_ *c = parser->data;

  if (c->in_header_value)
    g_string_truncate (c->header_name, 0);
  c->in_header_value = false;
  g_string_append_len (c->header_name, at, (gssize)len);
  return 0;
}

static int
on_header_value_ (http_parser *parser, const char *at, size_t len)
{
  struct connection_ *c = parser->data;

  if (c->client != NULL && c->client->recorded_header != NULL
      && g_ascii_strcasecmp (c->header_name->str, c->client->recorded_header)
             == 0)
    {
      if (!c->in_header_value && c->header_value->len > 0)
        g_string_append_c (c->header_value, ',');
      g_string_append_len (c->header_value, at, (gssize)len);
    }
  c->in_header_value = true;
  return 0;
}

static int
on_body_ (http_parser *parser, const char *at, size_t len)
{
  struct connection_ *c = parser->data;

  if (c->body->len + len > MAX_BODY_BYTES)
    return -1;
  g_byte_array_append (c->body, (const guint8 *)at, (guint)len);
  return 0;
}

/* Removes the spaces behind a header's value, which are no part of it.  The
   parser leaves out only those before it.  */
static void
trim_value_ (GString *value)
{
  while (value->len > 0 && strchr (" \t", value->str[value->len - 1]) != NULL)
    g_string_truncate (value, value->len - 1);
}

static int
on_message_complete_ (http_parser *parser)
{
  struct connection_ *c = parser->data;
  struct rgy_http_client *client = c->client;
  GByteArray *body = c->body;

  if (client == NULL || client->fn == NULL)
    return -1;
  c->body = g_byte_array_new ();
  g_string_assign (client->header_value, c->header_value->str);
  trim_value_ (client->header_value);
  g_string_truncate (c->header_value, 0);
  if (!http_should_keep_alive (parser))
    close_connection_ (client);
  finish_call_ (client, RGY_OK, parser->status_code,
                (struct rgy_bytes){ .data = body->data, .len = body->len });
  g_byte_array_unref (body);
  return 0;
}

static const http_parser_settings parser_settings_ = {
  .on_header_field = on_header_field_,
  .on_header_value = on_header_value_,
  .on_body = on_body_,
  .on_message_complete = on_message_complete_,
};

static void
on_read_ (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct connection_ *c = stream->data;
  size_t used;

  /* libuv reports 0 for a read that would block; the parser would take it for
     the end of the stream.  */
  if (c->client == NULL || n == 0)
    return;
  if (n < 0)
    {
      finish_call_ (c->client, RGY_ERR_UNAVAILABLE, 0,
                    (struct rgy_bytes){ 0 });
      if (c->client != NULL)
        close_connection_ (c->client);
      return;
    }
  used = http_parser_execute (&c->parser, &parser_settings_, buf->base,
                              (size_t)n);
  if (used != (size_t)n && c->client != NULL)
    finish_call_ (c->client, RGY_ERR_INVALID, 0, (struct rgy_bytes){ 0 });
}

static void
on_written_ (uv_write_t *request, int status)
{
  struct request_write_ *write = (struct request_write_ *)request;

  (void)status; /* After a failed write, reading fails as well.  */
  g_string_free (write->text, TRUE);
  g_free (write);
}

static void
send_request_ (struct rgy_http_client *client)
{
  struct request_write_ *write = g_new0 (struct request_write_, 1);
  uv_buf_t buf;

  write->text = client->request;
  client->request = NULL;
  buf = uv_buf_init (write->text->str, (unsigned)write->text->len);
  if (uv_write (&write->request, (uv_stream_t *)&client->connection->tcp, &buf,
                1, on_written_)
      == 0)
    return;
  g_string_free (write->text, TRUE);
  g_free (write);
  finish_call_ (client, RGY_ERR_UNAVAILABLE, 0, (struct rgy_bytes){ 0 });
}

static void
set_socket_options_ (struct connection_ *c)
{
  int interval = KEEPALIVE_INTERVAL_S;
  int probes = KEEPALIVE_PROBES;
  int timeout_ms = USER_TIMEOUT_MS;
  uv_os_fd_t fd;

  uv_tcp_nodelay (&c->tcp, 1);
  uv_tcp_keepalive (&c->tcp, 1, KEEPALIVE_IDLE_S);
  if (uv_fileno ((uv_handle_t *)&c->tcp, &fd) != 0)
    return;
  /* Errors are ignored, because the timeout of each call applies anyway.  */
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval,
                    sizeof interval);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                    sizeof timeout_ms);
}

static void
on_connected_ (uv_connect_t *request, int status)
{
  struct connection_ *c = request->data;

  if (c->client == NULL)
    return;
  if (status != 0
      || uv_read_start ((uv_stream_t *)&c->tcp, rgy_read_buffer_allocate,
                        on_read_)
             != 0)
    {
      finish_call_ (c->client, RGY_ERR_UNAVAILABLE, 0,
                    (struct rgy_bytes){ 0 });
      return;
    }
  c->connected = true;
  set_socket_options_ (c);
  send_request_ (c->client);
}

static void
open_connection_ (struct rgy_http_client *client)
{
  struct sockaddr_in addr = { .sin_family = AF_INET,
                              .sin_port = htons (client->server.port),
                              .sin_addr.s_addr = htonl (client->server.ip) };
  struct connection_ *c = g_new0 (struct connection_, 1);

  c->client = client;
  c->body = g_byte_array_new ();
  c->header_name = g_string_new (NULL);
  c->header_value = g_string_new (NULL);
  c->connect.data = c;
  http_parser_init (&c->parser, HTTP_RESPONSE);
  c->parser.data = c;
  uv_tcp_init (client->loop, &c->tcp);
  c->tcp.data = c;
  client->connection = c;
  if (uv_tcp_connect (&c->connect, &c->tcp, (struct sockaddr *)&addr,
                      on_connected_)
      != 0)
    finish_call_ (client, RGY_ERR_UNAVAILABLE, 0, (struct rgy_bytes){ 0 });
}

static void
on_call_timeout_ (uv_timer_t *timer)
{
  finish_call_ (timer->data, RGY_ERR_TIMEOUT, 0, (struct rgy_bytes){ 0 });
}

struct rgy_http_client *
rgy_http_client_new (uv_loop_t *loop, struct rgy_endpoint server)
{
  struct rgy_http_client *client = g_new0 (struct rgy_http_client, 1);

  client->loop = loop;
  client->server = server;
  client->header_value = g_string_new (NULL);
  client->timer = g_new0 (uv_timer_t, 1);
  uv_timer_init (loop, client->timer);
  client->timer->data = client;
  return client;
}

static void
free_timer_ (uv_handle_t *handle)
{
  g_free (handle);
}

void
rgy_http_client_delete (struct rgy_http_client *client)
{
  if (client == NULL)
    return;
  close_connection_ (client);
  uv_close ((uv_handle_t *)client->timer, free_timer_);
  if (client->request != NULL)
    g_string_free (client->request, TRUE);
  g_string_free (client->header_value, TRUE);
  g_free (client);
}

void
rgy_http_client_record_header (struct rgy_http_client *client,
                               const char *name)
{
  client->recorded_header = name;
}

struct rgy_str
rgy_http_client_get_header (const struct rgy_http_client *client)
{
  return (struct rgy_str){ .data = client->header_value->str,
                           .len = client->header_value->len };
}

void
rgy_http_client_cancel (struct rgy_http_client *client)
{
  if (client->fn == NULL)
    return;
  client->fn = NULL;
  uv_timer_stop (client->timer);
  close_connection_ (client);
}

bool
rgy_http_client_is_busy (const struct rgy_http_client *client)
{
  return client->fn != NULL;
}

void
rgy_http_client_call (struct rgy_http_client *client, const char *method,
                      const char *target, struct rgy_bytes body,
                      unsigned timeout_ms, rgy_http_client_fn fn, void *ctx)
{
  char host[RGY_ENDPOINT_TEXT_BYTES];

  g_return_if_fail (client->fn == NULL);
  client->fn = fn;
  client->ctx = ctx;
  if (client->request != NULL)
    g_string_free (client->request, TRUE);
  client->request = g_string_new (NULL);
  g_string_append_printf (client->request, "%s %s HTTP/1.1\r\nHost: %s\r\n",
                          method, target,
                          rgy_endpoint_format (client->server, host));
  if (body.len > 0)
    g_string_append (client->request, "Content-Type: application/json\r\n");
  if (body.len > 0 || g_strcmp0 (method, "GET") != 0)
    g_string_append_printf (client->request, "Content-Length: %zu\r\n",
                            body.len);
  g_string_append (client->request, "\r\n");
  g_string_append_len (client->request, (const char *)body.data,
                       (gssize)body.len);
  uv_timer_start (client->timer, on_call_timeout_, timeout_ms, 0);
  if (client->connection != NULL && client->connection->connected)
    send_request_ (client);
  else if (client->connection == NULL)
    open_connection_ (client);
}
