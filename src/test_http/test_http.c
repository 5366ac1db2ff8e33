#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include "ragwortyoke-io/http.h"

#define LOOPBACK 0x7f000001

/* Server under test and what its handler has received.  */
struct fixture_
{
  uv_loop_t loop;
  struct rgy_http *http;
  unsigned handler_calls;
  size_t last_body_len;
  uint8_t last_body_byte;
};

/* Client on the same loop, which sends all of @c out in pieces of @c piece
   bytes and then reads until the server closes the connection.  */
struct client_
{
  uv_poll_t poll;
  int fd;
  const GString *out;
  size_t sent;
  size_t piece;
  GString *in;
  bool done;
};

static void
handle_request_ (const struct rgy_http_request *request,
                 struct rgy_http_response *response, void *ctx)
{
  struct fixture_ *f = ctx;
  const char *who = rgy_http_request_get_query (request, "who");

  f->handler_calls++;
  f->last_body_len = request->body.len;
  if (request->body.len > 0)
    f->last_body_byte = request->body.data[request->body.len - 1];
  if (strcmp (request->path, "/empty") == 0)
    {
      response->status = 204;
      return;
    }
  if (strcmp (request->path, "/closed") == 0)
    {
      response->status = 401;
      return;
    }
  response->status = 200;
  response->content_type = "text/plain";
  response->body = g_strdup_printf (
      "%s %s auth=%s who=%s", request->method, request->path,
      request->authorization ? request->authorization : "-", who ? who : "-");
}

static int
set_up_ (void **state)
{
  struct fixture_ *f = g_new0 (struct fixture_, 1);

  uv_loop_init (&f->loop);
  f->http = rgy_http_new (&f->loop,
                          (struct rgy_endpoint){ .ip = LOOPBACK, .port = 0 },
                          handle_request_, f);
  *state = f;
  return f->http == NULL;
}

static int
tear_down_ (void **state)
{
  struct fixture_ *f = *state;
  int rc;

  rgy_http_delete (f->http);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  rc = uv_loop_close (&f->loop);
  g_free (f);
  return rc;
}

static void
client_on_poll_ (uv_poll_t *poll, int status, int events)
{
  struct client_ *c = poll->data;
  char buf[4096];
  ssize_t n;

  (void)status;
  if ((events & UV_WRITABLE) != 0 && c->sent < c->out->len)
    {
      n = send (c->fd, c->out->str + c->sent,
                MIN (c->piece, c->out->len - c->sent), MSG_NOSIGNAL);
      if (n > 0)
        c->sent += (size_t)n;
      if (c->sent == c->out->len)
        uv_poll_start (poll, UV_READABLE, client_on_poll_);
    }
  if ((events & UV_READABLE) == 0)
    return;
  n = recv (c->fd, buf, sizeof buf, 0);
  if (n > 0)
    g_string_append_len (c->in, buf, n);
  else if (n == 0 || errno != EAGAIN)
    c->done = true;
}

static void
client_open_ (struct client_ *c, struct fixture_ *f, const GString *out,
              size_t piece)
{
  struct sockaddr_in addr = { .sin_family = AF_INET,
                              .sin_port = htons (rgy_http_get_port (f->http)),
                              .sin_addr.s_addr = htonl (LOOPBACK) };

  *c = (struct client_){ .out = out, .piece = piece };
  c->in = g_string_new (NULL);
  c->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  assert_true (c->fd >= 0);
  assert_int_equal (connect (c->fd, (struct sockaddr *)&addr, sizeof addr), 0);
  assert_int_equal (uv_poll_init (&f->loop, &c->poll, c->fd), 0);
  c->poll.data = c;
  uv_poll_start (&c->poll, UV_READABLE | UV_WRITABLE, client_on_poll_);
}

static void
client_on_closed_ (uv_handle_t *handle)
{
  struct client_ *c = handle->data;

  close (c->fd);
  c->fd = -1;
}

static void
client_close_ (struct client_ *c, struct fixture_ *f)
{
  uv_close ((uv_handle_t *)&c->poll, client_on_closed_);
  while (c->fd >= 0)
    uv_run (&f->loop, UV_RUN_ONCE);
  g_string_free (c->in, TRUE);
}

/* Sends the text and returns everything that the server answered.  To be freed
   with g_free().  */
static char *
send_and_read_ (struct fixture_ *f, const GString *out, size_t piece)
{
  struct client_ c;
  char *answer;

  client_open_ (&c, f, out, piece);
  while (!c.done)
    uv_run (&f->loop, UV_RUN_ONCE);
  answer = g_strdup (c.in->str);
  client_close_ (&c, f);
  return answer;
}

static char *
send_text_and_read_ (struct fixture_ *f, const char *text, size_t piece)
{
  GString *out = g_string_new (text);
  char *answer = send_and_read_ (f, out, piece);

  g_string_free (out, TRUE);
  return answer;
}

static void
assert_status_ (const char *answer, const char *status)
{
  assert_non_null (strstr (answer, status));
  assert_ptr_equal (strstr (answer, "HTTP/1.1 "), answer);
  assert_ptr_equal (strstr (answer, status), answer + strlen ("HTTP/1.1 "));
}

/* The handler must receive the complete request.  A parser that handles only
   whole reads loses parts when the request arrives one byte at a time.  */
static void
handler_sees_the_request_ (void **state)
{
  static const char request[]
      = "GET /metrics?who=a%20b HTTP/1.1\r\nHost: x\r\n"
        "Authorization: Bearer abc\r\nConnection: close\r\n\r\n";
  static const size_t pieces[] = { 1, 7, sizeof request };
  struct fixture_ *f = *state;
  char *answer;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (pieces); i++)
    {
      answer = send_text_and_read_ (f, request, pieces[i]);
      assert_status_ (answer, "200");
      assert_non_null (strstr (answer, "Content-Type: text/plain\r\n"));
      assert_true (g_str_has_suffix (
          answer, "\r\n\r\nGET /metrics auth=Bearer abc who=a b"));
      g_free (answer);
    }
  assert_int_equal (f->handler_calls, G_N_ELEMENTS (pieces));
}

/* A response without body or content type must be complete, or the client
   waits for the rest.  A response with status 401 must name the authentication
   scheme, as RFC 9110 requires.  */
static void
responses_without_body_are_complete_ (void **state)
{
  struct fixture_ *f = *state;
  char *answer;

  answer = send_text_and_read_ (
      f, "GET /empty HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1000);
  assert_status_ (answer, "204");
  g_free (answer);
  answer = send_text_and_read_ (
      f, "POST /closed HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
      1000);
  assert_status_ (answer, "401");
  assert_non_null (strstr (answer, "WWW-Authenticate: Bearer\r\n"));
  g_free (answer);
}

/* All requests of one connection must be answered.  A server that stalls after
   a request leaves the following ones without an answer.  */
static void
connection_serves_several_requests_ (void **state)
{
  struct fixture_ *f = *state;
  char *answer = send_text_and_read_ (
      f,
      "GET /one HTTP/1.1\r\nHost: x\r\n\r\n"
      "POST /two HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
      "GET /three HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
      1000);

  assert_non_null (strstr (answer, "GET /one "));
  assert_non_null (strstr (answer, "POST /two "));
  assert_non_null (strstr (answer, "GET /three "));
  assert_int_equal (f->handler_calls, 3);
  g_free (answer);
}

static char *
post_body_ (struct fixture_ *f, size_t len, bool chunked)
{
  GString *out = g_string_new ("POST /body HTTP/1.1\r\nHost: x\r\n"
                               "Connection: close\r\n");
  GString *body = g_string_sized_new (len);
  char *answer;

  while (body->len < len)
    g_string_append_c (body, (char)('a' + body->len % 26));
  if (chunked)
    g_string_append_printf (out, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n",
                            len);
  else
    g_string_append_printf (out, "Content-Length: %zu\r\n\r\n", len);
  g_string_append_len (out, body->str, (gssize)body->len);
  if (chunked)
    g_string_append (out, "\r\n0\r\n\r\n");
  answer = send_and_read_ (f, out, SIZE_MAX);
  g_string_free (out, TRUE);
  g_string_free (body, TRUE);
  return answer;
}

/* A body must reach the handler complete up to the limit.  One byte more must
   be answered with status 413 without a call of the handler, with and without
   a Content-Length.  */
static void
body_limit_is_enforced_ (void **state)
{
  const size_t max = RGY_HTTP_MAX_BODY_BYTES;
  struct fixture_ *f = *state;
  char *answer;
  int chunked;

  for (chunked = 0; chunked < 2; chunked++)
    {
      f->handler_calls = 0;
      answer = post_body_ (f, max, chunked);
      assert_status_ (answer, "200");
      g_free (answer);
      assert_int_equal (f->handler_calls, 1);
      assert_int_equal (f->last_body_len, max);
      assert_int_equal (f->last_body_byte, 'a' + (max - 1) % 26);
      answer = post_body_ (f, max + 1, chunked);
      assert_status_ (answer, "413");
      assert_non_null (strstr (answer, "at most 65536 bytes are allowed"));
      g_free (answer);
      assert_int_equal (f->handler_calls, 1);
    }
  answer = send_text_and_read_ (f,
                                "POST /body HTTP/1.1\r\nHost: x\r\n"
                                "Content-Length: 99999999\r\n\r\n",
                                1000);
  assert_status_ (answer, "413");
  g_free (answer);
  assert_int_equal (f->handler_calls, 1);
}

/* A malformed request must be answered with an error; it must neither reach
   the handler nor stop the server.  */
static void
malformed_requests_are_rejected_ (void **state)
{
  struct fixture_ *f = *state;
  char *answer;

  answer = send_text_and_read_ (f,
                                "POST /a HTTP/1.1\r\nHost: x\r\n"
                                "Content-Length: many\r\n\r\n",
                                1000);
  assert_status_ (answer, "400");
  g_free (answer);
  assert_int_equal (f->handler_calls, 0);
  answer = send_text_and_read_ (
      f, "GET /ok HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1000);
  assert_status_ (answer, "200");
  g_free (answer);
}

/* A second server at the same endpoint must fail to start, so that two
   processes with the same --http do not both run.  */
static void
used_endpoint_is_not_bound_twice_ (void **state)
{
  struct fixture_ *f = *state;
  struct rgy_endpoint used
      = { .ip = LOOPBACK, .port = rgy_http_get_port (f->http) };

  assert_true (used.port != 0);
  assert_null (rgy_http_new (&f->loop, used, handle_request_, f));
}

/* A shutdown in the middle of a request must neither leak memory
   nor call the handler.  */
static void
delete_closes_unfinished_requests_ (void **state)
{
  GString *out = g_string_new ("POST /half HTTP/1.1\r\nHost: x\r\n"
                               "Content-Length: 10\r\n\r\nabc");
  struct fixture_ *f = *state;
  struct client_ c;

  client_open_ (&c, f, out, 1000);
  while (c.sent < out->len)
    uv_run (&f->loop, UV_RUN_ONCE);
  uv_run (&f->loop, UV_RUN_NOWAIT);
  uv_run (&f->loop, UV_RUN_NOWAIT);
  rgy_http_delete (f->http);
  f->http = NULL;
  while (!c.done)
    uv_run (&f->loop, UV_RUN_ONCE);
  client_close_ (&c, f);
  g_string_free (out, TRUE);
  assert_int_equal (f->handler_calls, 0);
}

int
main (void)
{
#define WITH_SERVER(test)                                                     \
  cmocka_unit_test_setup_teardown (test, set_up_, tear_down_)
  const struct CMUnitTest tests[] = {
    WITH_SERVER (handler_sees_the_request_),
    WITH_SERVER (responses_without_body_are_complete_),
    WITH_SERVER (connection_serves_several_requests_),
    WITH_SERVER (body_limit_is_enforced_),
    WITH_SERVER (malformed_requests_are_rejected_),
    WITH_SERVER (used_endpoint_is_not_bound_twice_),
    WITH_SERVER (delete_closes_unfinished_requests_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
