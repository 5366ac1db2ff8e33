#include "ragwortyoke-io/http.h"

#include <arpa/inet.h>
#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <string.h>

#include "private/read_buffer.h"

/* Operators' tools and metrics scrapers need only a few connections.  The
   limit prevents a client that opens many connections from using up the file
   descriptors of the process.  */
#define MAX_CONNECTIONS 64U
#define BACKLOG 64
#define IDLE_TIMEOUT_MS 10000U
#define IDLE_CHECK_INTERVAL_MS 2000U
/* A body above RGY_HTTP_MAX_BODY_BYTES is read and discarded up to this size.
   Closing the connection earlier would reset it, so that the client might not
   receive the status 413.  */
#define MAX_DISCARD_BYTES ((size_t)1024 * 1024)
/* Limit of the target of a request, and also of the name of a header and of
   the value of the Authorization header.  */
#define MAX_TARGET_BYTES 4096

struct rgy_http
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  uv_timer_t timer; /* Closes idle connections.  */
  unsigned open_handles;
  bool closing;
  rgy_http_handler_fn handle;
  void *ctx;
  GPtrArray *connections; /* struct connection_, not owned.  */
};

struct connection_
{
  uv_tcp_t tcp;
  struct rgy_http *http;
  http_parser parser;
  GString *target;
  GString *authorization;
  GString *header_name;
  GByteArray *body;
  size_t received; /* Bytes of the body, including discarded ones.  */
  bool close_after_response;
  bool closing;
  uint64_t last_active_ms;
};

/* A response that is being written.  */
struct response_write_
{
  uv_write_t request;
  struct connection_ *connection;
  char *text;
  bool close_after_response;
};

/* Closing of handles and connections.  */

static void
release_handle_ (struct rgy_http *http)
{
  if (--http->open_handles > 0)
    return;
  g_ptr_array_unref (http->connections);
  g_free (http);
}

static void
on_connection_closed_ (uv_handle_t *handle)
{
  struct connection_ *c = handle->data;

  g_string_free (c->target, TRUE);
  g_string_free (c->authorization, TRUE);
  g_string_free (c->header_name, TRUE);
  g_byte_array_unref (c->body);
  release_handle_ (c->http);
  g_free (c);
}

static void
close_connection_ (struct connection_ *c)
{
  if (c->closing)
    return;
  c->closing = true;
  g_ptr_array_remove_fast (c->http->connections, c);
  uv_close ((uv_handle_t *)&c->tcp, on_connection_closed_);
}

/* Writing of responses.  */

static void
on_shut_down_ (uv_shutdown_t *request, int status)
{
  (void)status;
  g_free (request);
}

static void
on_written_ (uv_write_t *request, int status)
{
  struct response_write_ *write = request->data;
  struct connection_ *c = write->connection;

  if (status != 0)
    close_connection_ (c);
  else if (write->close_after_response && !c->closing)
    {
      /* The client closes the connection after the response.  Closing the
         connection here with unread bytes would reset it.  */
      uv_shutdown_t *shutdown = g_new0 (uv_shutdown_t, 1);

      if (uv_shutdown (shutdown, (uv_stream_t *)&c->tcp, on_shut_down_) != 0)
        {
          g_free (shutdown);
          close_connection_ (c);
        }
    }
  g_free (write->text);
  g_free (write);
}

/* Writes a response.  Takes ownership of its body and header.  */
static void
send_response_ (struct connection_ *c,
                const struct rgy_http_response *response,
                bool close_after_response)
{
  unsigned status = response->status;
  const char *content_type = response->content_type;
  char *body = response->body;
  GString *text = g_string_new (NULL);
  struct response_write_ *write = g_new0 (struct response_write_, 1);
  size_t len = body == NULL ? 0 : strlen (body);
  uv_buf_t buf;

  g_string_append_printf (text, "HTTP/1.1 %u %s\r\n", status,
                          http_status_str ((enum http_status)status));
  if (status != HTTP_STATUS_NO_CONTENT)
    g_string_append_printf (text, "Content-Length: %zu\r\n", len);
  if (content_type != NULL)
    g_string_append_printf (text, "Content-Type: %s\r\n", content_type);
  if (response->header != NULL)
    g_string_append_printf (text, "%s\r\n", response->header);
  if (status == HTTP_STATUS_UNAUTHORIZED)
    g_string_append (text, "WWW-Authenticate: Bearer\r\n");
  if (close_after_response)
    g_string_append (text, "Connection: close\r\n");
  g_string_append (text, "\r\n");
  if (body != NULL)
    g_string_append_len (text, body, (gssize)len);
  g_free (body);
  g_free (response->header);
  buf.len = text->len;
  write->connection = c;
  write->close_after_response = close_after_response;
  write->text = g_string_free (text, FALSE);
  write->request.data = write;
  buf.base = write->text;
  c->close_after_response = c->close_after_response || close_after_response;
  if (uv_write (&write->request, (uv_stream_t *)&c->tcp, &buf, 1, on_written_)
      == 0)
    return;
  g_free (write->text);
  g_free (write);
  close_connection_ (c);
}

static void
send_too_large_ (struct connection_ *c)
{
  struct rgy_http_response response = {
    .status = HTTP_STATUS_PAYLOAD_TOO_LARGE,
    .content_type = "text/plain; charset=utf-8",
    .body = g_strdup_printf ("request body: at most %d bytes are allowed\n",
                             RGY_HTTP_MAX_BODY_BYTES),
  };

  send_response_ (c, &response, true);
}

/* Parsing of requests.  */

const char *
rgy_http_request_get_query (const struct rgy_http_request *request,
                            const char *name)
{
  return request->query == NULL ? NULL
                                : g_hash_table_lookup (request->query, name);
}

static GHashTable *
parse_query_ (const char *text)
{
  GHashTable *values
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  char **parts = g_strsplit (text, "&", -1);
  char **part;

  for (part = parts; *part != NULL; part++)
    {
      char **pair = g_strsplit (*part, "=", 2);
      char *name
          = pair[0] == NULL ? NULL : g_uri_unescape_string (pair[0], "");
      char *value = name == NULL || pair[1] == NULL
                        ? NULL
                        : g_uri_unescape_string (pair[1], "");

      if (value != NULL)
        g_hash_table_replace (values, name, value);
      else
        g_free (name);
      g_strfreev (pair);
    }
  g_strfreev (parts);
  return values;
}

static int
on_message_begin_ (http_parser *parser)
{
  struct connection_ *c = parser->data;

  g_string_truncate (c->target, 0);
  g_string_truncate (c->authorization, 0);
  g_string_truncate (c->header_name, 0);
  g_byte_array_set_size (c->body, 0);
  c->received = 0;
  return 0;
}

static int
on_url_ (http_parser *parser, const char *at, size_t len)
{
  struct connection_ *c = parser->data;

  g_string_append_len (c->target, at, (gssize)len);
  return c->target->len > MAX_TARGET_BYTES;
}

static int
on_header_field_ (http_parser *parser, const char *at, size_t len)
{
  struct connection_ *c = parser->data;

  /* A colon at the end marks a name whose value has begun; the next name
     starts a new header.  */
  if (c->header_name->len > 0
      && c->header_name->str[c->header_name->len - 1] == ':')
    g_string_truncate (c->header_name, 0);
  g_string_append_len (c->header_name, at, (gssize)len);
  return c->header_name->len > MAX_TARGET_BYTES;
}

static int
on_header_value_ (http_parser *parser, const char *at, size_t len)
{
  struct connection_ *c = parser->data;

  if (c->header_name->len == 0
      || c->header_name->str[c->header_name->len - 1] != ':')
    g_string_append_c (c->header_name, ':');
  if (g_ascii_strcasecmp (c->header_name->str, "authorization:") == 0)
    g_string_append_len (c->authorization, at, (gssize)len);
  return c->authorization->len > MAX_TARGET_BYTES;
}

static int
on_headers_complete_ (http_parser *parser)
{
  struct connection_ *c = parser->data;

  if (parser->content_length != ULLONG_MAX
      && parser->content_length > MAX_DISCARD_BYTES)
    {
      send_too_large_ (c);
      return -1;
    }
  return 0;
}

static int
on_body_ (http_parser *parser, const char *at, size_t len)
{
  struct connection_ *c = parser->data;

  c->received += len;
  if (c->received > MAX_DISCARD_BYTES)
    return -1;
  if (c->received <= RGY_HTTP_MAX_BODY_BYTES)
    g_byte_array_append (c->body, (const guint8 *)at, (guint)len);
  return 0;
}

static int
on_message_complete_ (http_parser *parser)
{
  struct connection_ *c = parser->data;
  struct rgy_http_response response = { .status = HTTP_STATUS_NOT_FOUND };
  struct rgy_http_request request = {
    .method = http_method_str ((enum http_method)parser->method),
    .authorization = c->authorization->len > 0 ? c->authorization->str : NULL,
    .body = { .data = c->body->data, .len = c->body->len },
  };
  char *question_mark;
  bool close_after_response = !http_should_keep_alive (parser);

  if (c->received > RGY_HTTP_MAX_BODY_BYTES)
    {
      send_too_large_ (c);
      return 0;
    }
  question_mark = strchr (c->target->str, '?');
  if (question_mark != NULL)
    {
      request.query = parse_query_ (question_mark + 1);
      *question_mark = '\0';
    }
  request.path = c->target->str;
  c->http->handle (&request, &response, c->http->ctx);
  if (request.query != NULL)
    g_hash_table_unref (request.query);
  send_response_ (c, &response, close_after_response);
  return 0;
}

static const http_parser_settings parser_settings_ = {
  .on_message_begin = on_message_begin_,
  .on_url = on_url_,
  .on_header_field = on_header_field_,
  .on_header_value = on_header_value_,
  .on_headers_complete = on_headers_complete_,
  .on_body = on_body_,
  .on_message_complete = on_message_complete_,
};

static void
on_read_ (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct connection_ *c = stream->data;
  struct rgy_http_response response = { 0 };
  size_t used;

  if (n < 0)
    {
      close_connection_ (c);
      return;
    }
  /* libuv reports 0 for a read that would block; the parser would take it for
     the end of the stream.  */
  if (n == 0)
    return;
  c->last_active_ms = uv_now (c->http->loop);
  if (c->close_after_response || c->closing)
    return; /* The connection closes after the response; discard the rest.  */
  used = http_parser_execute (&c->parser, &parser_settings_, buf->base,
                              (size_t)n);
  if (used == (size_t)n || c->close_after_response || c->closing)
    return;
  response.status = HTTP_STATUS_BAD_REQUEST;
  response.content_type = "text/plain; charset=utf-8";
  response.body = g_strdup_printf (
      "malformed request: %s\n",
      http_errno_description (HTTP_PARSER_ERRNO (&c->parser)));
  send_response_ (c, &response, true);
}

static void
on_connection_ (uv_stream_t *listener, int status)
{
  struct rgy_http *http = listener->data;
  struct connection_ *c;

  if (status != 0)
    return;
  c = g_new0 (struct connection_, 1);
  c->http = http;
  c->target = g_string_new (NULL);
  c->authorization = g_string_new (NULL);
  c->header_name = g_string_new (NULL);
  c->body = g_byte_array_new ();
  c->last_active_ms = uv_now (http->loop);
  http_parser_init (&c->parser, HTTP_REQUEST);
  c->parser.data = c;
  uv_tcp_init (http->loop, &c->tcp);
  c->tcp.data = c;
  http->open_handles++;
  g_ptr_array_add (http->connections, c);
  if (uv_accept (listener, (uv_stream_t *)&c->tcp) != 0
      || http->connections->len > MAX_CONNECTIONS
      || uv_read_start ((uv_stream_t *)&c->tcp, rgy_read_buffer_allocate,
                        on_read_)
             != 0)
    close_connection_ (c);
}

static void
on_idle_check_ (uv_timer_t *timer)
{
  struct rgy_http *http = timer->data;
  uint64_t now_ms = uv_now (http->loop);
  guint i = http->connections->len;

  while (i-- > 0)
    {
      struct connection_ *c = g_ptr_array_index (http->connections, i);

      if (now_ms - c->last_active_ms > IDLE_TIMEOUT_MS)
        close_connection_ (c);
    }
}

static void
on_closed_ (uv_handle_t *handle)
{
  release_handle_ (handle->data);
}

struct rgy_http *
rgy_http_new (uv_loop_t *loop, struct rgy_endpoint endpoint,
              rgy_http_handler_fn handle, void *ctx)
{
  struct sockaddr_in addr = { .sin_family = AF_INET,
                              .sin_port = htons (endpoint.port),
                              .sin_addr.s_addr = htonl (endpoint.ip) };
  struct rgy_http *http = g_new0 (struct rgy_http, 1);

  http->loop = loop;
  http->handle = handle;
  http->ctx = ctx;
  http->connections = g_ptr_array_new ();
  uv_tcp_init (loop, &http->listener);
  uv_timer_init (loop, &http->timer);
  http->listener.data = http;
  http->timer.data = http;
  http->open_handles = 2;
  if (uv_tcp_bind (&http->listener, (struct sockaddr *)&addr, 0) != 0
      || uv_listen ((uv_stream_t *)&http->listener, BACKLOG, on_connection_)
             != 0)
    {
      rgy_http_delete (http);
      return NULL;
    }
  uv_timer_start (&http->timer, on_idle_check_, IDLE_CHECK_INTERVAL_MS,
                  IDLE_CHECK_INTERVAL_MS);
  return http;
}

uint16_t
rgy_http_get_port (const struct rgy_http *http)
{
  struct sockaddr_in addr;
  int len = sizeof addr;

  if (uv_tcp_getsockname (&http->listener, (struct sockaddr *)&addr, &len)
      != 0)
    return 0;
  return ntohs (addr.sin_port);
}

void
rgy_http_delete (struct rgy_http *http)
{
  if (http == NULL || http->closing)
    return;
  http->closing = true;
  while (http->connections->len > 0)
    close_connection_ (g_ptr_array_index (http->connections, 0));
  uv_close ((uv_handle_t *)&http->listener, on_closed_);
  uv_close ((uv_handle_t *)&http->timer, on_closed_);
}
