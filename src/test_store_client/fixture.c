#include "fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "ragwortyoke-io/store_json.h"

/* Timeout that ends a test which would otherwise hang;
   far above what any test needs.  */
#define HANG_TIMEOUT_MS 60000
#define LOOPBACK 0x7f000001

static const struct rgy_store_intervals intervals_ = { .retry_min_ms = 10,
                                                       .retry_max_ms = 80,
                                                       .probe_ms = 40,
                                                       .catch_up_ms = 20,
                                                       .call_ms = 10000,
                                                       .coalesce_ms = 20 };

/* Stand-in for the key-value service.  */

static void run_server_ (struct fixture *fixture);

static void
on_timer_ (uv_timer_t *timer)
{
  run_server_ (timer->data);
}

static void
on_poll_ (uv_poll_t *poll, int status, int events)
{
  (void)status;
  (void)events;
  run_server_ (poll->data);
}

static void
run_server_ (struct fixture *fixture)
{
  int timeout_ms;

  kv_server_run (fixture->server);
  timeout_ms = kv_server_get_timeout_ms (fixture->server);
  if (timeout_ms < 0)
    uv_timer_stop (&fixture->timer);
  else
    uv_timer_start (&fixture->timer, on_timer_, (uint64_t)timeout_ms, 0);
}

static json_t *
call_server_ (struct fixture *fixture, enum kv_call call, json_t *request)
{
  json_t *answer = kv_server_call (fixture->server, call, request);

  json_decref (request);
  run_server_ (fixture);
  return answer;
}

void
fixture_put (struct fixture *fixture, const char *key, const char *value)
{
  struct rgy_bytes bytes
      = { .data = (const uint8_t *)value, .len = strlen (value) };

  json_decref (
      call_server_ (fixture, KV_CALL_PUT,
                    rgy_store_json_put (rgy_str_from_c (key), bytes, 0)));
}

void
fixture_remove (struct fixture *fixture, const char *key)
{
  json_decref (call_server_ (
      fixture, KV_CALL_DELETERANGE,
      rgy_store_json_delete (rgy_str_from_c (key), RGY_STR (""))));
}

char *
fixture_get (struct fixture *fixture, const char *key)
{
  json_t *answer = call_server_ (
      fixture, KV_CALL_RANGE,
      rgy_store_json_range (rgy_str_from_c (key), RGY_STR ("")));
  const json_t *kv = json_array_get (json_object_get (answer, "kvs"), 0);
  GBytes *value;
  char *text = NULL;
  gsize len = 0;

  if (kv != NULL)
    {
      value = rgy_store_json_get_bytes (kv, "value");
      text = g_strndup (g_bytes_get_data (value, &len),
                        g_bytes_get_size (value));
      g_bytes_unref (value);
    }
  json_decref (answer);
  return text;
}

void
fixture_set_faults (struct fixture *fixture, const char *json)
{
  json_t *faults = json_loads (json, 0, NULL);

  assert_null (kv_server_set_faults (fixture->server, faults));
  json_decref (faults);
  run_server_ (fixture);
}

/* Callbacks and calls of the client.  */

static void
on_event_ (const struct rgy_store_event *event, void *ctx)
{
  struct fixture *fixture = ctx;

  if (event->deleted)
    g_ptr_array_add (
        fixture->events,
        g_strdup_printf ("delete %.*s", (int)event->key.len, event->key.data));
  else
    g_ptr_array_add (fixture->events,
                     g_strdup_printf ("put %.*s %.*s", (int)event->key.len,
                                      event->key.data, (int)event->value.len,
                                      (const char *)event->value.data));
}

static void
on_synced_ (uint64_t revision, void *ctx)
{
  struct fixture *fixture = ctx;

  fixture->sync_count++;
  fixture->synced_revision = revision;
  if (fixture->on_synced != NULL)
    fixture->on_synced (fixture);
}

static void
on_state_ (enum rgy_store_state state, const char *why, void *ctx)
{
  struct fixture *fixture = ctx;

  assert_non_null (why);
  g_string_append_printf (fixture->states, "%s ",
                          rgy_store_state_string[state]);
}

static void
on_swapped_ (enum rgy_outcome outcome, void *ctx)
{
  struct fixture *fixture = ctx;

  fixture->swaps_done++;
  fixture->swap_outcome = outcome;
}

void
fixture_swap (struct fixture *fixture, const char *key, const char *value,
              uint64_t expected)
{
  struct rgy_bytes bytes
      = { .data = (const uint8_t *)value, .len = strlen (value) };

  rgy_store_client_cas (fixture->client, rgy_str_from_c (key), bytes, expected,
                        on_swapped_, fixture);
}

bool
fixture_has_event (const struct fixture *fixture, const char *text)
{
  unsigned i;

  for (i = 0; i < fixture->events->len; i++)
    if (strcmp (g_ptr_array_index (fixture->events, i), text) == 0)
      return true;
  return false;
}

/* Running of the loop.  */

static void
on_hang_timer_ (uv_timer_t *timer)
{
  (void)timer;
  fail_msg ("the client did not reach the expected state in time");
}

void
fixture_run (struct fixture *fixture,
             bool (*done) (const struct fixture *fixture))
{
  uv_timer_start (&fixture->hang_timer, on_hang_timer_, HANG_TIMEOUT_MS, 0);
  while (!done (fixture))
    uv_run (&fixture->loop, UV_RUN_ONCE);
  uv_timer_stop (&fixture->hang_timer);
}

struct fixture *
fixture_new (void)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);

  assert_int_equal (uv_loop_init (&fixture->loop), 0);
  fixture->server = kv_server_new ((struct rgy_endpoint){ .ip = LOOPBACK });
  assert_non_null (fixture->server);
  fixture->events = g_ptr_array_new_with_free_func (g_free);
  fixture->states = g_string_new (NULL);
  uv_timer_init (&fixture->loop, &fixture->timer);
  uv_timer_init (&fixture->loop, &fixture->hang_timer);
  uv_poll_init (&fixture->loop, &fixture->poll,
                kv_server_get_fd (fixture->server));
  fixture->timer.data = fixture;
  fixture->poll.data = fixture;
  uv_poll_start (&fixture->poll, UV_READABLE, on_poll_);
  return fixture;
}

void
fixture_start (struct fixture *fixture, const char *endpoints)
{
  const struct rgy_store_callbacks callbacks = { .on_event = on_event_,
                                                 .on_synced = on_synced_,
                                                 .on_state = on_state_,
                                                 .ctx = fixture };
  char text[RGY_ENDPOINT_TEXT_BYTES];

  rgy_endpoint_format (kv_server_get_endpoint (fixture->server), text);
  fixture->client = rgy_store_client_new (
      &fixture->loop, endpoints == NULL ? text : endpoints, 1, &callbacks);
  assert_non_null (fixture->client);
  rgy_store_client_set_intervals (fixture->client, &intervals_);
}

void
fixture_delete (struct fixture *fixture)
{
  rgy_store_client_delete (fixture->client);
  uv_close ((uv_handle_t *)&fixture->timer, NULL);
  uv_close ((uv_handle_t *)&fixture->hang_timer, NULL);
  uv_close ((uv_handle_t *)&fixture->poll, NULL);
  uv_run (&fixture->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&fixture->loop), 0);
  kv_server_delete (fixture->server);
  g_ptr_array_unref (fixture->events);
  g_string_free (fixture->states, TRUE);
  g_free (fixture);
}
