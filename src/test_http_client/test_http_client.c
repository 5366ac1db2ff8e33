#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <glib.h>
#include <uv.h>

#include "ragwortyoke-io/http.h"
#include "ragwortyoke-io/http_client.h"

#define LOOPBACK 0x7f000001
#define TIMEOUT_MS 20000
#define LARGE_BYTES 200000

/* A server, a client and the result of the last call.  */
struct fixture_
{
  uv_loop_t loop;
  struct rgy_http *http;
  struct rgy_http_client *client;
  unsigned calls;
  bool done;
  enum rgy_outcome outcome;
  unsigned status;
  char *body;
  char *header;           /* Recorded header of the last response.  */
  unsigned chained_calls; /* Number of calls that the callback still starts. */
};

static void
handle_request_ (const struct rgy_http_request *request,
                 struct rgy_http_response *response, void *ctx)
{
  struct fixture_ *f = ctx;

  f->calls++;
  response->status = 200;
  if (strcmp (request->path, "/large") == 0)
    response->body = g_strnfill (LARGE_BYTES, 'x');
  else if (strcmp (request->path, "/age") == 0)
    response->header = g_strdup ("Store-AGE: 17");
  else if (strcmp (request->path, "/ages") == 0)
    response->header = g_strdup ("Store-Age: 17\r\nStore-Ages: 9\r\n"
                                 "Store-Age: 18");
  else if (strcmp (request->path, "/padded-age") == 0)
    response->header = g_strdup ("Store-Age: \t17 \t");
  else if (strcmp (request->path, "/echo") == 0)
    response->body
        = g_strndup ((const char *)request->body.data, request->body.len);
  else
    response->status = 404;
}

static int
set_up_ (void **state)
{
  struct fixture_ *f = g_new0 (struct fixture_, 1);

  uv_loop_init (&f->loop);
  f->http = rgy_http_new (&f->loop, (struct rgy_endpoint){ .ip = LOOPBACK },
                          handle_request_, f);
  f->client = rgy_http_client_new (
      &f->loop, (struct rgy_endpoint){ .ip = LOOPBACK,
                                       .port = rgy_http_get_port (f->http) });
  *state = f;
  return f->http == NULL;
}

static int
tear_down_ (void **state)
{
  struct fixture_ *f = *state;
  int rc;

  rgy_http_client_delete (f->client);
  rgy_http_delete (f->http);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  rc = uv_loop_close (&f->loop);
  g_free (f->body);
  g_free (f->header);
  g_free (f);
  return rc;
}

static void start_call_ (struct fixture_ *f, const char *method,
                         const char *target, const char *body);

static void
on_answer_ (enum rgy_outcome outcome, unsigned status, struct rgy_bytes body,
            void *ctx)
{
  struct fixture_ *f = ctx;

  f->outcome = outcome;
  f->status = status;
  g_free (f->body);
  f->body = g_strndup ((const char *)body.data, body.len);
  g_free (f->header);
  f->header = g_strndup (rgy_http_client_get_header (f->client).data,
                         rgy_http_client_get_header (f->client).len);
  if (f->chained_calls > 0)
    {
      f->chained_calls--;
      start_call_ (f, "GET", "/large", "");
      return;
    }
  f->done = true;
}

static void
start_call_ (struct fixture_ *f, const char *method, const char *target,
             const char *body)
{
  f->done = false;
  rgy_http_client_call (f->client, method, target,
                        (struct rgy_bytes){ .data = (const uint8_t *)body,
                                            .len = strlen (body) },
                        TIMEOUT_MS, on_answer_, f);
}

static void
call_and_wait_ (struct fixture_ *f, const char *method, const char *target,
                const char *body)
{
  start_call_ (f, method, target, body);
  while (!f->done)
    uv_run (&f->loop, UV_RUN_ONCE);
}

/* A response larger than one read must be complete; the client once rejected
   it as malformed.  */
static void
large_response_is_complete_ (void **state)
{
  struct fixture_ *f = *state;

  call_and_wait_ (f, "GET", "/large", "");
  assert_int_equal (f->outcome, RGY_OK);
  assert_int_equal (f->status, 200);
  assert_int_equal (strlen (f->body), LARGE_BYTES);
}

/* Calls reuse the connection.  A call that is started in the callback of the
   previous call, as for a watch of the store, must not lose its response.  */
static void
consecutive_calls_get_their_responses_ (void **state)
{
  struct fixture_ *f = *state;

  call_and_wait_ (f, "POST", "/echo", "one");
  assert_string_equal (f->body, "one");
  call_and_wait_ (f, "GET", "/absent", "");
  assert_int_equal (f->status, 404);
  f->chained_calls = 5;
  call_and_wait_ (f, "GET", "/large", "");
  assert_int_equal (f->outcome, RGY_OK);
  assert_int_equal (strlen (f->body), LARGE_BYTES);
  assert_int_equal (f->calls, 8);
}

/* The header of one response must not be taken for that of the next one on the
   connection, and one that comes twice must not be taken for a single one.  */
static void
header_is_that_of_the_response_ (void **state)
{
  struct fixture_ *f = *state;

  rgy_http_client_record_header (f->client, "Store-Age");
  call_and_wait_ (f, "GET", "/age", "");
  assert_string_equal (f->header, "17");
  call_and_wait_ (f, "POST", "/echo", "one");
  assert_string_equal (f->header, "");
  call_and_wait_ (f, "GET", "/ages", "");
  assert_string_equal (f->header, "17,18");
  call_and_wait_ (f, "GET", "/padded-age", "");
  assert_string_equal (f->header, "17");
  call_and_wait_ (f, "GET", "/absent", "");
  assert_string_equal (f->header, "");
}

/* A refused connection must be reported as an outcome, and the client must
   connect again once the server is back.  */
static void
refused_connection_is_reported_ (void **state)
{
  struct fixture_ *f = *state;
  struct rgy_endpoint server
      = { .ip = LOOPBACK, .port = rgy_http_get_port (f->http) };

  call_and_wait_ (f, "POST", "/echo", "one");
  rgy_http_delete (f->http);
  f->http = NULL;
  call_and_wait_ (f, "POST", "/echo", "two");
  assert_int_equal (f->outcome, RGY_ERR_UNAVAILABLE);
  call_and_wait_ (f, "POST", "/echo", "two");
  assert_int_equal (f->outcome, RGY_ERR_UNAVAILABLE);
  f->http = rgy_http_new (&f->loop, server, handle_request_, f);
  assert_non_null (f->http);
  call_and_wait_ (f, "POST", "/echo", "three");
  assert_int_equal (f->outcome, RGY_OK);
  assert_string_equal (f->body, "three");
}

/* Deleting a client during a call must neither leak memory
   nor run the callback.  */
static void
delete_cancels_the_call_without_callback_ (void **state)
{
  struct fixture_ *f = *state;

  start_call_ (f, "GET", "/large", "");
  uv_run (&f->loop, UV_RUN_ONCE);
  rgy_http_client_delete (f->client);
  f->client = NULL;
  rgy_http_delete (f->http);
  f->http = NULL;
  uv_run (&f->loop, UV_RUN_DEFAULT);
  assert_false (f->done);
}

static void
on_silent_connection_ (uv_stream_t *listener, int status)
{
  (void)listener;
  (void)status;
}

/* A server that takes connections and never answers must not hold a call for
   longer than its timeout, and the next call must work as soon as the server
   does: a balancer fetches manifests from its peers in this way.  */
static void
silent_server_ends_the_call_at_its_timeout_ (void **state)
{
  struct fixture_ *f = *state;
  struct sockaddr_in addr;
  int len = sizeof addr;
  struct rgy_http_client *client;
  uint64_t began_ms = uv_now (&f->loop);
  uv_tcp_t listener;

  uv_ip4_addr ("127.0.0.1", 0, &addr);
  uv_tcp_init (&f->loop, &listener);
  assert_int_equal (uv_tcp_bind (&listener, (struct sockaddr *)&addr, 0), 0);
  assert_int_equal (
      uv_listen ((uv_stream_t *)&listener, 8, on_silent_connection_), 0);
  uv_tcp_getsockname (&listener, (struct sockaddr *)&addr, &len);
  client = rgy_http_client_new (
      &f->loop,
      (struct rgy_endpoint){ .ip = LOOPBACK, .port = ntohs (addr.sin_port) });
  rgy_http_client_call (client, "GET", "/", (struct rgy_bytes){ 0 }, 200,
                        on_answer_, f);
  while (!f->done)
    uv_run (&f->loop, UV_RUN_ONCE);
  assert_int_equal (f->outcome, RGY_ERR_TIMEOUT);
  assert_in_range (uv_now (&f->loop) - began_ms, 190, 1200);
  assert_false (rgy_http_client_is_busy (client));
  rgy_http_client_delete (client);
  uv_close ((uv_handle_t *)&listener, NULL);
  call_and_wait_ (f, "GET", "/large", "");
  assert_int_equal (f->outcome, RGY_OK);
}

/* A cancelled call must not run its callback, and the next call must get its
   own answer, on another connection.  */
static void
cancelled_call_leaves_the_client_usable_ (void **state)
{
  struct fixture_ *f = *state;

  rgy_http_client_cancel (f->client); /* No call is in progress.  */
  start_call_ (f, "GET", "/large", "");
  uv_run (&f->loop, UV_RUN_ONCE);
  rgy_http_client_cancel (f->client);
  assert_false (rgy_http_client_is_busy (f->client));
  call_and_wait_ (f, "POST", "/echo", "one");
  assert_int_equal (f->outcome, RGY_OK);
  assert_string_equal (f->body, "one");
  start_call_ (f, "GET", "/large", "");
  rgy_http_client_cancel (f->client); /* Before the connection is made.  */
  uv_run (&f->loop, UV_RUN_NOWAIT);
  assert_false (f->done);
  call_and_wait_ (f, "POST", "/echo", "two");
  assert_string_equal (f->body, "two");
}

int
main (void)
{
#define WITH_SERVER(test)                                                     \
  cmocka_unit_test_setup_teardown (test, set_up_, tear_down_)
  const struct CMUnitTest tests[] = {
    WITH_SERVER (large_response_is_complete_),
    WITH_SERVER (consecutive_calls_get_their_responses_),
    WITH_SERVER (header_is_that_of_the_response_),
    WITH_SERVER (refused_connection_is_reported_),
    WITH_SERVER (silent_server_ends_the_call_at_its_timeout_),
    WITH_SERVER (cancelled_call_leaves_the_client_usable_),
    WITH_SERVER (delete_cancels_the_call_without_callback_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
