#include "ragwortyoke-io/store_client.h"

#include <inttypes.h>
#include <string.h>

#include "private/store_client_private.h"
#include "ragwortyoke/address.h"

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define MAX_BACKOFF_SHIFT 16

const char *const rgy_store_state_string[] = {
  [RGY_STORE_DOWN] = "down",
  [RGY_STORE_UP] = "up",
  [RGY_STORE_REFUSED] = "refused",
};

const struct rgy_store_intervals rgy_store_intervals_default
    = { .retry_min_ms = 1000,
        .retry_max_ms = 30000,
        .probe_ms = 5000,
        .catch_up_ms = 1000,
        .call_ms = 3000,
        .coalesce_ms = 200 };

struct cas_call_
{
  struct rgy_store_client *client;
  uint64_t sent_revision;
  rgy_store_cas_fn done;
  void *ctx;
};

/* Random numbers for jitter.  */

/* Returns the next number of the splitmix64 generator.  */
static uint64_t
next_random_ (struct rgy_store_client *client)
{
  uint64_t z = client->random_state += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

uint64_t
rgy_store_client_random (struct rgy_store_client *client, uint64_t limit)
{
  return limit == 0 ? 0 : next_random_ (client) % limit;
}

uint64_t
rgy_store_client_backoff_ms (struct rgy_store_client *client,
                             unsigned failures)
{
  uint64_t cap = (uint64_t)client->intervals.retry_min_ms
                 << MIN (failures, MAX_BACKOFF_SHIFT);

  cap = MIN (cap, client->intervals.retry_max_ms);
  return cap / 2 + rgy_store_client_random (client, cap / 2 + 1);
}

/* State of the store.  */

void
rgy_store_client_set_state (struct rgy_store_client *client,
                            enum rgy_store_state state, const char *why)
{
  if (client->state == state)
    return;
  client->state = state;
  if (client->callbacks.on_state != NULL)
    client->callbacks.on_state (state, why, client->callbacks.ctx);
}

bool
rgy_store_client_accept_header (struct rgy_store_client *client,
                                const json_t *answer, uint64_t min_revision)
{
  struct rgy_store_header header;
  char why[160];

  if (!rgy_store_json_get_header (answer, &header))
    {
      rgy_store_client_set_state (client, RGY_STORE_DOWN,
                                  "an answer of the store has no header");
      return false;
    }
  if (client->newest_header.cluster_id != 0
      && header.cluster_id != client->newest_header.cluster_id)
    {
      g_snprintf (why, sizeof why,
                  "the store has cluster ID %" PRIu64 " instead of %" PRIu64,
                  header.cluster_id, client->newest_header.cluster_id);
      rgy_store_client_set_state (client, RGY_STORE_REFUSED, why);
      return false;
    }
  if (header.revision < min_revision)
    {
      g_snprintf (why, sizeof why,
                  "the store returned revision %" PRIu64
                  ", older than %" PRIu64,
                  header.revision, min_revision);
      rgy_store_client_set_state (client, RGY_STORE_REFUSED, why);
      return false;
    }
  client->newest_header.cluster_id = header.cluster_id;
  client->newest_header.revision
      = MAX (client->newest_header.revision, header.revision);
  return true;
}

enum rgy_outcome
rgy_store_client_check_answer (struct rgy_store_client *client,
                               enum rgy_outcome outcome, long status,
                               const json_t *answer, const char *why,
                               uint64_t sent_revision)
{
  if (outcome == RGY_OK && status == HTTP_NOT_FOUND)
    return RGY_ERR_NOT_FOUND;
  if (outcome != RGY_OK || status != HTTP_OK)
    {
      if (client->state != RGY_STORE_REFUSED)
        rgy_store_client_set_state (client, RGY_STORE_DOWN, why);
      client->endpoint = (client->endpoint + 1) % client->endpoint_count;
      return outcome == RGY_OK ? RGY_ERR_UNAVAILABLE : outcome;
    }
  if (!rgy_store_client_accept_header (client, answer, sent_revision))
    {
      client->endpoint = (client->endpoint + 1) % client->endpoint_count;
      return RGY_ERR_STALE;
    }
  /* A client that reads or watches leaves RGY_STORE_REFUSED only after a
     complete read, which also compares the revisions of the keys.  */
  if (client->state != RGY_STORE_REFUSED
      || (!client->watch.enabled && !client->watch.read_once))
    rgy_store_client_set_state (client, RGY_STORE_UP, "the store answers");
  return client->closing ? RGY_ERR_UNAVAILABLE : RGY_OK;
}

/* Calls and compare-and-swaps.  */

struct rgy_store_request *
rgy_store_client_post (struct rgy_store_client *client, const char *path,
                       json_t *body, rgy_store_line_fn line,
                       rgy_store_done_fn done, void *ctx)
{
  char *url = g_strdup_printf ("http://%s%s",
                               client->endpoints[client->endpoint], path);
  struct rgy_store_request *request;

  client->call_count++;
  request = rgy_store_http_post (
      client->http, url, body,
      line == NULL ? (long)client->intervals.call_ms : 0, line, done, ctx);
  g_free (url);
  return request;
}

static void
on_cas_done_ (enum rgy_outcome outcome, long status, const json_t *answer,
              const char *why, void *ctx)
{
  struct cas_call_ *cas = ctx;
  rgy_store_cas_fn done;
  enum rgy_outcome rc;
  void *done_ctx;

  rc = rgy_store_client_check_answer (cas->client, outcome, status, answer,
                                      why, cas->sent_revision);
  if (rc == RGY_ERR_NOT_FOUND)
    rc = RGY_ERR_UNAVAILABLE;
  if (rc == RGY_OK && cas->client->state == RGY_STORE_REFUSED)
    rc = RGY_ERR_STALE;
  if (rc == RGY_OK && !json_is_true (json_object_get (answer, "succeeded")))
    rc = RGY_ERR_CONFLICT;
  if (cas->client->closing)
    return;
  done = cas->done;
  done_ctx = cas->ctx;
  g_ptr_array_remove_fast (cas->client->cas_calls, cas);
  done (rc, done_ctx);
}

void
rgy_store_client_cas (struct rgy_store_client *client, struct rgy_str key,
                      struct rgy_bytes value, uint64_t expected,
                      rgy_store_cas_fn done, void *ctx)
{
  struct cas_call_ *cas = g_new0 (struct cas_call_, 1);
  json_t *body;

  g_ptr_array_add (client->cas_calls, cas);
  *cas = (struct cas_call_){ .client = client,
                             .sent_revision = client->newest_header.revision,
                             .done = done,
                             .ctx = ctx };
  body = json_pack (
      "{s:[o], s:[o]}", "compare", rgy_store_json_compare_mod (key, expected),
      "success", rgy_store_json_op_put (rgy_store_json_put (key, value, 0)));
  rgy_store_client_post (client, RGY_STORE_PATH_TXN, body, NULL, on_cas_done_,
                         cas);
}

/* Handles, after whose closing the client is freed.  */

static void
release_handle_ (struct rgy_store_client *client)
{
  client->open_handles--;
  if (client->open_handles > 0)
    return;
  g_ptr_array_unref (client->cas_calls);
  g_ptr_array_unref (client->watch.queue);
  g_hash_table_unref (client->watch.known);
  g_strfreev (client->endpoints);
  g_free (client);
}

static void
on_http_closed_ (void *ctx)
{
  release_handle_ (ctx);
}

static void
on_timer_closed_ (uv_handle_t *handle)
{
  release_handle_ (handle->data);
}

void
rgy_store_client_init_timer (struct rgy_store_client *client,
                             uv_timer_t *timer)
{
  uv_timer_init (client->loop, timer);
  timer->data = client;
  client->open_handles++;
}

void
rgy_store_client_close_timer (struct rgy_store_client *client,
                              uv_timer_t *timer)
{
  (void)client;
  uv_close ((uv_handle_t *)timer, on_timer_closed_);
}

static bool
parse_endpoints_ (struct rgy_store_client *client, const char *text)
{
  struct rgy_endpoint endpoint;
  unsigned i;

  client->endpoints = g_strsplit (text, ",", 0);
  client->endpoint_count = g_strv_length (client->endpoints);
  for (i = 0; i < client->endpoint_count; i++)
    if (rgy_endpoint_parse (rgy_str_from_c (g_strstrip (client->endpoints[i])),
                            &endpoint)
        != RGY_OK)
      return false;
  return client->endpoint_count > 0;
}

struct rgy_store_client *
rgy_store_client_new (uv_loop_t *loop, const char *endpoints, uint64_t seed,
                      const struct rgy_store_callbacks *callbacks)
{
  struct rgy_store_client *client = g_new0 (struct rgy_store_client, 1);

  if (!parse_endpoints_ (client, endpoints))
    {
      g_strfreev (client->endpoints);
      g_free (client);
      return NULL;
    }
  client->loop = loop;
  client->callbacks = *callbacks;
  client->intervals = rgy_store_intervals_default;
  client->random_state = seed;
  client->cas_calls = g_ptr_array_new_with_free_func (g_free);
  client->endpoint
      = (unsigned)rgy_store_client_random (client, client->endpoint_count);
  client->http = rgy_store_http_new (loop, on_http_closed_, client);
  client->open_handles = 1;
  rgy_store_watch_init (client);
  rgy_store_leased_key_init (client);
  return client;
}

void
rgy_store_client_set_intervals (struct rgy_store_client *client,
                                const struct rgy_store_intervals *intervals)
{
  client->intervals = *intervals;
}

void
rgy_store_client_delete (struct rgy_store_client *client)
{
  if (client == NULL || client->closing)
    return;
  client->closing = true;
  client->callbacks = (struct rgy_store_callbacks){ 0 };
  rgy_store_watch_finish (client);
  rgy_store_leased_key_finish (client);
  rgy_store_http_delete (client->http);
}

enum rgy_store_state
rgy_store_client_get_state (const struct rgy_store_client *client)
{
  return client->state;
}

uint64_t
rgy_store_client_get_calls (const struct rgy_store_client *client)
{
  return client->call_count;
}
