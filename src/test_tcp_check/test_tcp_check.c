#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <uv.h>

#include "ragwortyoke-io/http.h"
#include "ragwortyoke-io/tcp_check.h"

#define LOOPBACK 0x7f000001
#define TIMEOUT_MS 20000

struct result_
{
  unsigned calls;
  enum rgy_outcome outcome;
};

static void
on_result_ (enum rgy_outcome outcome, void *ctx)
{
  struct result_ *result = ctx;

  result->calls++;
  result->outcome = outcome;
}

static void
handle_request_ (const struct rgy_http_request *request,
                 struct rgy_http_response *response, void *ctx)
{
  (void)request;
  (void)ctx;
  response->status = 200;
}

static struct result_
check_and_wait_ (uv_loop_t *loop, uint16_t port)
{
  struct result_ result = { 0 };

  rgy_tcp_check (loop, (struct rgy_endpoint){ .ip = LOOPBACK, .port = port },
                 TIMEOUT_MS, on_result_, &result);
  assert_int_equal (result.calls, 0);
  while (result.calls == 0)
    uv_run (loop, UV_RUN_ONCE);
  return result;
}

/* A listening process must not be reported as ended, nor an ended process as
   listening: the agent resets flows when its backend server is not running. */
static void
listening_and_closed_ports_are_distinguished_ (void **state)
{
  uv_loop_t loop;
  struct rgy_http *http;
  uint16_t port;

  (void)state;
  uv_loop_init (&loop);
  http = rgy_http_new (&loop, (struct rgy_endpoint){ .ip = LOOPBACK },
                       handle_request_, NULL);
  port = rgy_http_get_port (http);
  assert_int_equal (check_and_wait_ (&loop, port).outcome, RGY_OK);
  rgy_http_delete (http);
  uv_run (&loop, UV_RUN_DEFAULT);
  assert_int_equal (check_and_wait_ (&loop, port).outcome, RGY_ERR_NOT_FOUND);
  uv_run (&loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&loop), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (listening_and_closed_ports_are_distinguished_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
