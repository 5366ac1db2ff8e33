#include <inttypes.h>
#include <string.h>

#include "private/store_client_private.h"

static void start_read_ (struct rgy_store_client *client);
static void on_probe_timer_ (uv_timer_t *timer);

/* Cancelling and restarting of the read and the watch.  */

static void
on_retry_timer_ (uv_timer_t *timer)
{
  start_read_ (timer->data);
}

/* Cancels the read, the watch and the probe.  */
static void
cancel_transfers_ (struct rgy_store_client *client)
{
  struct rgy_store_watch *watch = &client->watch;

  rgy_store_http_cancel (watch->read);
  rgy_store_http_cancel (watch->stream);
  rgy_store_http_cancel (watch->probe);
  watch->read = NULL;
  watch->stream = NULL;
  watch->probe = NULL;
  watch->behind = false;
  uv_timer_stop (&watch->retry_timer);
  uv_timer_stop (&watch->probe_timer);
}

/* Cancels the transfers and schedules another read after a back-off.  */
static void
schedule_read_ (struct rgy_store_client *client)
{
  struct rgy_store_watch *watch = &client->watch;

  cancel_transfers_ (client);
  /* The queue must be applied before the next read, which may report the
     deletion of queued keys.  */
  rgy_store_watch_flush (client);
  if (client->closing || (!watch->enabled && !watch->read_once))
    return;
  watch->failures++;
  uv_timer_start (&watch->retry_timer, on_retry_timer_,
                  rgy_store_client_backoff_ms (client, watch->failures), 0);
}

/* Cancels a watch that may have lost events and reads again immediately.  */
static void
replace_watch_ (struct rgy_store_client *client)
{
  cancel_transfers_ (client);
  rgy_store_watch_flush (client);
  if (!client->closing && client->watch.enabled)
    start_read_ (client);
}

/* Watch and its queued answers.  */

/* Reports the events of one watch answer.  Of each key only the event with the
   revision in NEWEST_REVISIONS is reported.  */
static void
apply_watch_answer_ (struct rgy_store_client *client, const json_t *result,
                     GHashTable *newest_revisions)
{
  const uint64_t *newest;
  uint64_t revision;
  json_t *event;
  const json_t *kv;
  GBytes *value;
  GBytes *key;
  size_t i;

  json_array_foreach (json_object_get (result, "events"), i, event)
  {
    kv = json_object_get (event, "kv");
    revision = rgy_store_json_get_revision (kv, "mod_revision");
    key = rgy_store_json_get_bytes (kv, "key");
    newest = g_hash_table_lookup (newest_revisions, key);
    if (rgy_store_known_is_reported (key)
        && (newest == NULL || *newest == revision))
      {
        value = g_strcmp0 (json_string_value (json_object_get (event, "type")),
                           "DELETE")
                        == 0
                    ? NULL
                    : rgy_store_json_get_bytes (kv, "value");
        rgy_store_known_report (client, key, value, revision);
        if (value != NULL)
          g_bytes_unref (value);
      }
    g_bytes_unref (key);
    if (client->closing)
      return;
  }
}

/* Records the revision of each key of a watch answer in NEWEST_REVISIONS.  */
static void
record_newest_revisions_ (const json_t *result, GHashTable *newest_revisions)
{
  uint64_t revision;
  const json_t *kv;
  json_t *event;
  size_t i;

  json_array_foreach (json_object_get (result, "events"), i, event)
  {
    kv = json_object_get (event, "kv");
    revision = rgy_store_json_get_revision (kv, "mod_revision");
    g_hash_table_replace (newest_revisions,
                          rgy_store_json_get_bytes (kv, "key"),
                          g_memdup2 (&revision, sizeof revision));
  }
}

static GHashTable *
new_revision_table_ (void)
{
  return g_hash_table_new_full (g_bytes_hash, g_bytes_equal,
                                (GDestroyNotify)g_bytes_unref, g_free);
}

static void
unref_result_ (void *result)
{
  json_decref (result);
}

void
rgy_store_watch_flush (struct rgy_store_client *client)
{
  struct rgy_store_watch *watch = &client->watch;
  GPtrArray *queue = watch->queue;
  GHashTable *newest_revisions;
  unsigned i;

  if (queue->len == 0)
    return;
  watch->queue = g_ptr_array_new_with_free_func (unref_result_);
  newest_revisions = new_revision_table_ ();
  for (i = 0; i < queue->len; i++)
    record_newest_revisions_ (g_ptr_array_index (queue, i), newest_revisions);
  for (i = 0; i < queue->len && !client->closing; i++)
    apply_watch_answer_ (client, g_ptr_array_index (queue, i),
                         newest_revisions);
  g_hash_table_unref (newest_revisions);
  g_ptr_array_unref (queue);
}

static void
on_coalesce_timer_ (uv_timer_t *timer)
{
  struct rgy_store_client *client = timer->data;
  unsigned pause_ms = client->intervals.coalesce_ms;

  if (client->watch.queue->len == 0)
    return;
  uv_timer_start (timer, on_coalesce_timer_,
                  pause_ms + rgy_store_client_random (client, pause_ms / 2),
                  0);
  rgy_store_watch_flush (client);
}

static void
on_watch_answer_ (const json_t *line, void *ctx)
{
  struct rgy_store_client *client = ctx;
  struct rgy_store_watch *watch = &client->watch;
  json_t *result = json_object_get (line, "result");
  const json_t *events = json_object_get (result, "events");
  const json_t *event;
  uint64_t newest = 0;
  uint64_t revision;
  size_t i;

  /* Only the cluster ID is checked, because a member of the service that is
     behind the others may answer the watch.  The probe checks the revision. */
  if (!rgy_store_client_accept_header (client, result, 0))
    {
      if (!client->closing)
        schedule_read_ (client);
      return;
    }
  if (json_is_true (json_object_get (result, "canceled")))
    {
      replace_watch_ (client);
      return;
    }
  json_array_foreach ((json_t *)events, i, event)
  {
    revision = rgy_store_json_get_revision (json_object_get (event, "kv"),
                                            "mod_revision");
    newest = MAX (newest, revision);
  }
  if (newest == 0)
    return;
  if (newest <= watch->revision)
    return;
  watch->revision = newest;
  if (watch->probe == NULL && !watch->behind)
    uv_timer_start (&watch->probe_timer, on_probe_timer_,
                    client->intervals.probe_ms, 0);
  g_ptr_array_add (watch->queue, json_incref (result));
  if (!uv_is_active ((uv_handle_t *)&watch->coalesce_timer))
    on_coalesce_timer_ (&watch->coalesce_timer);
}

static void
on_watch_end_ (enum rgy_outcome outcome, long status, const json_t *answer,
               const char *why, void *ctx)
{
  struct rgy_store_client *client = ctx;

  (void)outcome;
  (void)status;
  (void)answer;
  client->watch.stream = NULL;
  if (client->state != RGY_STORE_REFUSED)
    rgy_store_client_set_state (client, RGY_STORE_DOWN, why);
  if (client->closing)
    return;
  client->endpoint = (client->endpoint + 1) % client->endpoint_count;
  schedule_read_ (client);
}

/* Probe, which checks whether the watch is complete.  */

static void
on_probe_end_ (enum rgy_outcome outcome, long status, const json_t *answer,
               const char *why, void *ctx)
{
  struct rgy_store_client *client = ctx;
  struct rgy_store_watch *watch = &client->watch;
  struct rgy_store_header header;
  enum rgy_outcome rc;

  watch->probe = NULL;
  rc = rgy_store_client_check_answer (client, outcome, status, answer, why,
                                      watch->sent_revision);
  if (client->closing || watch->stream == NULL)
    return;
  if (rc != RGY_OK)
    {
      schedule_read_ (client);
      return;
    }
  rgy_store_json_get_header (answer, &header);
  watch->probed_revision = header.revision;
  watch->behind = header.revision > watch->revision;
  uv_timer_start (&watch->probe_timer, on_probe_timer_,
                  watch->behind ? client->intervals.catch_up_ms
                                : client->intervals.probe_ms,
                  0);
}

static void
on_probe_timer_ (uv_timer_t *timer)
{
  struct rgy_store_client *client = timer->data;
  struct rgy_store_watch *watch = &client->watch;

  if (watch->behind && watch->probed_revision > watch->revision)
    {
      /* The watch has stalled, or a key outside the watched range was written.
         In the second case another read costs little and loses no events.  */
      replace_watch_ (client);
      return;
    }
  watch->behind = false;
  watch->sent_revision = client->newest_header.revision;
  watch->probe = rgy_store_client_post (
      client, RGY_STORE_PATH_RANGE,
      json_pack ("{s:o, s:o, s:b, s:o}", "key",
                 rgy_store_json_str (RGY_STR (AGENTS_PREFIX)), "range_end",
                 rgy_store_json_str (RGY_STR (WATCH_END)), "keys_only", 1,
                 "limit", rgy_store_json_u64 (1)),
      NULL, on_probe_end_, client);
}

static void
start_watch_ (struct rgy_store_client *client)
{
  struct rgy_store_watch *watch = &client->watch;
  json_t *create;

  create = rgy_store_json_range (RGY_STR (AGENTS_PREFIX), RGY_STR (WATCH_END));
  json_object_set_new (create, "start_revision",
                       rgy_store_json_u64 (watch->revision + 1));
  watch->behind = false;
  watch->stream
      = rgy_store_client_post (client, RGY_STORE_PATH_WATCH,
                               json_pack ("{s:o}", "create_request", create),
                               on_watch_answer_, on_watch_end_, client);
  uv_timer_start (&watch->probe_timer, on_probe_timer_,
                  client->intervals.probe_ms, 0);
}

/* Complete read of the prefix.  */

static void
on_read_end_ (enum rgy_outcome outcome, long status, const json_t *answer,
              const char *why, void *ctx)
{
  struct rgy_store_client *client = ctx;
  struct rgy_store_watch *watch = &client->watch;
  struct rgy_store_header header;
  GPtrArray *pairs;
  enum rgy_outcome rc;

  watch->read = NULL;
  rc = rgy_store_client_check_answer (client, outcome, status, answer, why,
                                      watch->sent_revision);
  if (client->closing)
    return;
  if (rc != RGY_OK)
    {
      schedule_read_ (client);
      return;
    }
  pairs = rgy_store_known_collect (answer);
  rgy_store_json_get_header (answer, &header);
  if (rgy_store_known_is_older (client, pairs))
    {
      rgy_store_client_set_state (
          client, RGY_STORE_REFUSED,
          "the store has an older revision of a key than was read before");
      g_ptr_array_unref (pairs);
      if (!client->closing)
        schedule_read_ (client);
      return;
    }
  rgy_store_client_set_state (client, RGY_STORE_UP, "the store has been read");
  if (client->closing)
    {
      g_ptr_array_unref (pairs);
      return;
    }
  watch->failures = 0;
  watch->read_once = false;
  watch->revision = header.revision;
  rgy_store_known_apply (client, pairs, header.revision);
  g_ptr_array_unref (pairs);
  if (client->callbacks.on_synced != NULL)
    client->callbacks.on_synced (header.revision, client->callbacks.ctx);
  if (!client->closing && watch->enabled && watch->stream == NULL
      && watch->read == NULL)
    start_watch_ (client);
}

static void
start_read_ (struct rgy_store_client *client)
{
  struct rgy_store_watch *watch = &client->watch;
  json_t *agents;
  json_t *config;

  if (watch->read != NULL || watch->stream != NULL)
    return;
  uv_timer_stop (&watch->retry_timer);
  watch->sent_revision = client->newest_header.revision;
  agents = rgy_store_json_range (RGY_STR (AGENTS_PREFIX),
                                 RGY_STR (AGENTS_PREFIX_END));
  config
      = rgy_store_json_range (RGY_STR (BALANCERS_PREFIX), RGY_STR (WATCH_END));
  /* One transaction reads both ranges at the same revision.  */
  watch->read = rgy_store_client_post (
      client, RGY_STORE_PATH_TXN,
      json_pack ("{s:[o, o]}", "success", rgy_store_json_op_range (agents),
                 rgy_store_json_op_range (config)),
      NULL, on_read_end_, client);
}

void
rgy_store_client_set_watching (struct rgy_store_client *client, bool watching)
{
  struct rgy_store_watch *watch = &client->watch;

  if (watch->enabled == watching)
    return;
  watch->enabled = watching;
  watch->read_once = false;
  cancel_transfers_ (client);
  rgy_store_watch_flush (client);
  if (watching && !client->closing)
    start_read_ (client);
}

void
rgy_store_client_read (struct rgy_store_client *client)
{
  struct rgy_store_watch *watch = &client->watch;

  if (watch->enabled || watch->read_once)
    return;
  watch->read_once = true;
  watch->failures = 0;
  start_read_ (client);
}

void
rgy_store_watch_init (struct rgy_store_client *client)
{
  struct rgy_store_watch *watch = &client->watch;

  watch->known = new_revision_table_ ();
  watch->queue = g_ptr_array_new_with_free_func (unref_result_);
  rgy_store_client_init_timer (client, &watch->retry_timer);
  rgy_store_client_init_timer (client, &watch->probe_timer);
  rgy_store_client_init_timer (client, &watch->coalesce_timer);
}

void
rgy_store_watch_finish (struct rgy_store_client *client)
{
  struct rgy_store_watch *watch = &client->watch;

  watch->enabled = false;
  watch->read_once = false;
  rgy_store_client_close_timer (client, &watch->retry_timer);
  rgy_store_client_close_timer (client, &watch->probe_timer);
  rgy_store_client_close_timer (client, &watch->coalesce_timer);
  g_hash_table_remove_all (watch->known);
  g_ptr_array_set_size (watch->queue, 0);
}
