#include <inttypes.h>
#include <string.h>

#include "private/store_client_private.h"

/* The audit ring lies between agents and balancers; the history, which holds
   whole contracts, lies behind the watched keys and is not transferred.  */
#define AGENTS_KEY RGY_STORE_PREFIX "agents/"
#define AGENTS_END RGY_STORE_PREFIX "agents0"
#define CONFIG_KEY RGY_STORE_PREFIX "balancers/"
#define WATCH_END RGY_STORE_PREFIX "domains0"

static void read_ (struct rgy_store_client *client);
static void on_probe_timer_ (uv_timer_t *timer);

static bool
is_reported_ (GBytes *key)
{
  static const char *const prefixes[]
      = { RGY_STORE_PREFIX "contracts/", RGY_STORE_PREFIX "domains/",
          AGENTS_KEY, CONFIG_KEY };
  gsize len = 0;
  const char *data = g_bytes_get_data (key, &len);
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (prefixes); i++)
    if (len > strlen (prefixes[i])
        && memcmp (data, prefixes[i], strlen (prefixes[i])) == 0)
      return true;
  return false;
}

static uint64_t
get_known_ (const struct rgy_store_client *client, GBytes *key)
{
  const uint64_t *revision = g_hash_table_lookup (client->watch.known, key);

  return revision == NULL ? 0 : *revision;
}

uint64_t
rgy_store_client_get_mod_revision (struct rgy_store_client *client,
                                   struct rgy_str key)
{
  GBytes *bytes = g_bytes_new (key.data, key.len);
  uint64_t revision = get_known_ (client, bytes);

  g_bytes_unref (bytes);
  return revision;
}

/* Reports a key unless its revision is known.  VALUE is NULL for a
   deletion.  */
static void
report_ (struct rgy_store_client *client, GBytes *key, GBytes *value,
         uint64_t mod_revision)
{
  struct rgy_store_event event
      = { .deleted = value == NULL, .mod_revision = mod_revision };
  uint64_t known = get_known_ (client, key);
  gsize len = 0;

  if (mod_revision <= known || (value == NULL && known == 0))
    return;
  if (value == NULL)
    g_hash_table_remove (client->watch.known, key);
  else
    g_hash_table_replace (client->watch.known, g_bytes_ref (key),
                          g_memdup2 (&mod_revision, sizeof mod_revision));
  event.key.data = g_bytes_get_data (key, &len);
  event.key.len = len;
  if (value != NULL)
    {
      event.value.data = g_bytes_get_data (value, &len);
      event.value.len = len;
    }
  if (client->callbacks.on_event != NULL)
    client->callbacks.on_event (&event, client->callbacks.ctx);
}

/* Retries.  */

static void
on_retry_ (uv_timer_t *timer)
{
  read_ (timer->data);
}

/* Drops the transfers of the watch.  */
static void
drop_ (struct rgy_store_client *client)
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

/* Drops the transfers and reads again after a back-off.  */
static void
retry_ (struct rgy_store_client *client)
{
  struct rgy_store_watch *watch = &client->watch;

  drop_ (client);
  /* Before the next read, which may report the deletion of queued keys.  */
  rgy_store_watch_flush (client);
  if (client->closing || (!watch->wanted && !watch->read_once))
    return;
  watch->failures++;
  uv_timer_start (&watch->retry_timer, on_retry_,
                  rgy_store_client_backoff_ms (client, watch->failures), 0);
}

/* Drops a watch that may have lost events and reads again at once.  */
static void
replace_ (struct rgy_store_client *client)
{
  drop_ (client);
  rgy_store_watch_flush (client);
  if (!client->closing && client->watch.wanted)
    read_ (client);
}

/* Watch.  */

static void
apply_answer_ (struct rgy_store_client *client, const json_t *result,
               GHashTable *last)
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
    newest = g_hash_table_lookup (last, key);
    if (is_reported_ (key) && (newest == NULL || *newest == revision))
      {
        value = g_strcmp0 (json_string_value (json_object_get (event, "type")),
                           "DELETE")
                        == 0
                    ? NULL
                    : rgy_store_json_get_bytes (kv, "value");
        report_ (client, key, value, revision);
        if (value != NULL)
          g_bytes_unref (value);
      }
    g_bytes_unref (key);
    if (client->closing)
      return;
  }
}

static void
note_newest_ (const json_t *result, GHashTable *last)
{
  uint64_t revision;
  const json_t *kv;
  json_t *event;
  size_t i;

  json_array_foreach (json_object_get (result, "events"), i, event)
  {
    kv = json_object_get (event, "kv");
    revision = rgy_store_json_get_revision (kv, "mod_revision");
    g_hash_table_replace (last, rgy_store_json_get_bytes (kv, "key"),
                          g_memdup2 (&revision, sizeof revision));
  }
}

static GHashTable *
revisions_new_ (void)
{
  return g_hash_table_new_full (g_bytes_hash, g_bytes_equal,
                                (GDestroyNotify)g_bytes_unref, g_free);
}

static void
result_unref_ (void *result)
{
  json_decref (result);
}

void
rgy_store_watch_flush (struct rgy_store_client *client)
{
  struct rgy_store_watch *watch = &client->watch;
  GPtrArray *queue = watch->queue;
  GHashTable *last;
  unsigned i;

  if (queue->len == 0)
    return;
  watch->queue = g_ptr_array_new_with_free_func (result_unref_);
  last = revisions_new_ ();
  for (i = 0; i < queue->len; i++)
    note_newest_ (g_ptr_array_index (queue, i), last);
  for (i = 0; i < queue->len && !client->closing; i++)
    apply_answer_ (client, g_ptr_array_index (queue, i), last);
  g_hash_table_unref (last);
  g_ptr_array_unref (queue);
}

static void
on_coalesce_ (uv_timer_t *timer)
{
  struct rgy_store_client *client = timer->data;
  unsigned pause_ms = client->intervals.coalesce_ms;

  if (client->watch.queue->len == 0)
    return;
  uv_timer_start (timer, on_coalesce_,
                  pause_ms + rgy_store_client_random (client, pause_ms / 2),
                  0);
  rgy_store_watch_flush (client);
}

static void
on_line_ (const json_t *line, void *ctx)
{
  struct rgy_store_client *client = ctx;
  struct rgy_store_watch *watch = &client->watch;
  json_t *result = json_object_get (line, "result");
  const json_t *events = json_object_get (result, "events");
  const json_t *event;
  uint64_t newest = 0;
  uint64_t revision;
  size_t i;

  /* Only the cluster is compared: a service of several members may answer a
     watch from one that is behind.  The revision is checked by the probe.  */
  if (!rgy_store_client_accept_header (client, result, 0))
    {
      if (!client->closing)
        retry_ (client);
      return;
    }
  if (json_is_true (json_object_get (result, "canceled")))
    {
      replace_ (client);
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
    on_coalesce_ (&watch->coalesce_timer);
}

static void
on_stream_end_ (enum rgy_outcome outcome, long status, const json_t *answer,
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
  retry_ (client);
}

/* Probe.  */

static void
on_probe_end_ (enum rgy_outcome outcome, long status, const json_t *answer,
               const char *why, void *ctx)
{
  struct rgy_store_client *client = ctx;
  struct rgy_store_watch *watch = &client->watch;
  struct rgy_store_header header;
  enum rgy_outcome rc;

  watch->probe = NULL;
  rc = rgy_store_client_check (client, outcome, status, answer, why,
                               watch->sent_revision);
  if (client->closing || watch->stream == NULL)
    return;
  if (rc != RGY_OK)
    {
      retry_ (client);
      return;
    }
  rgy_store_json_get_header (answer, &header);
  watch->probed_revision = header.revision;
  watch->behind = header.revision > watch->revision;
  uv_timer_start (&watch->probe_timer, on_probe_timer_,
                  watch->behind ? client->intervals.behind_ms
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
      /* The watch is silent, or a key outside of it was written.  A read
         costs little in the second case and misses nothing.  */
      replace_ (client);
      return;
    }
  watch->behind = false;
  watch->sent_revision = client->seen.revision;
  watch->probe = rgy_store_client_post (
      client, RGY_STORE_PATH_RANGE,
      json_pack ("{s:o, s:o, s:b, s:o}", "key",
                 rgy_store_json_str (RGY_STR (AGENTS_KEY)), "range_end",
                 rgy_store_json_str (RGY_STR (WATCH_END)), "keys_only", 1,
                 "limit", rgy_store_json_u64 (1)),
      NULL, on_probe_end_, client);
}

static void
start_stream_ (struct rgy_store_client *client)
{
  struct rgy_store_watch *watch = &client->watch;
  json_t *create;

  create = rgy_store_json_range (RGY_STR (AGENTS_KEY), RGY_STR (WATCH_END));
  json_object_set_new (create, "start_revision",
                       rgy_store_json_u64 (watch->revision + 1));
  watch->behind = false;
  watch->stream
      = rgy_store_client_post (client, RGY_STORE_PATH_WATCH,
                               json_pack ("{s:o}", "create_request", create),
                               on_line_, on_stream_end_, client);
  uv_timer_start (&watch->probe_timer, on_probe_timer_,
                  client->intervals.probe_ms, 0);
}

/* Read.  */

/* Pairs of both ranges of a read.  */
static GPtrArray *
collect_pairs_ (const json_t *answer)
{
  GPtrArray *pairs = g_ptr_array_new ();
  json_t *response;
  json_t *kv;
  size_t i;
  size_t j;

  json_array_foreach (json_object_get (answer, "responses"), i, response)
      json_array_foreach (
          json_object_get (json_object_get (response, "response_range"),
                           "kvs"),
          j, kv) g_ptr_array_add (pairs, kv);
  return pairs;
}

/* A key whose revision went back shows older contents, even when later
   writes have raised the header's revision again.  */
static bool
is_older_ (const struct rgy_store_client *client, const GPtrArray *pairs)
{
  bool older = false;
  const json_t *kv;
  GBytes *key;
  unsigned i;

  for (i = 0; i < pairs->len && !older; i++)
    {
      kv = g_ptr_array_index (pairs, i);
      key = rgy_store_json_get_bytes (kv, "key");
      older = rgy_store_json_get_revision (kv, "mod_revision")
              < get_known_ (client, key);
      g_bytes_unref (key);
    }
  return older;
}

/* Reports the keys that are known but not in PAIRS as deleted.  */
static void
report_vanished_ (struct rgy_store_client *client, const GPtrArray *pairs,
                  uint64_t revision)
{
  GHashTable *present = g_hash_table_new_full (
      g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
  GPtrArray *gone
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  GHashTableIter iter;
  void *key;
  unsigned i;

  for (i = 0; i < pairs->len; i++)
    g_hash_table_add (present, rgy_store_json_get_bytes (
                                   g_ptr_array_index (pairs, i), "key"));
  g_hash_table_iter_init (&iter, client->watch.known);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (present, key))
      g_ptr_array_add (gone, g_bytes_ref (key));
  for (i = 0; i < gone->len && !client->closing; i++)
    report_ (client, g_ptr_array_index (gone, i), NULL, revision);
  g_ptr_array_unref (gone);
  g_hash_table_unref (present);
}

static void
apply_read_ (struct rgy_store_client *client, const GPtrArray *pairs,
             uint64_t revision)
{
  const json_t *kv;
  GBytes *value;
  GBytes *key;
  unsigned i;

  for (i = 0; i < pairs->len && !client->closing; i++)
    {
      kv = g_ptr_array_index (pairs, i);
      key = rgy_store_json_get_bytes (kv, "key");
      value = rgy_store_json_get_bytes (kv, "value");
      if (is_reported_ (key))
        report_ (client, key, value,
                 rgy_store_json_get_revision (kv, "mod_revision"));
      g_bytes_unref (value);
      g_bytes_unref (key);
    }
  if (!client->closing)
    report_vanished_ (client, pairs, revision);
}

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
  rc = rgy_store_client_check (client, outcome, status, answer, why,
                               watch->sent_revision);
  if (client->closing)
    return;
  if (rc != RGY_OK)
    {
      retry_ (client);
      return;
    }
  pairs = collect_pairs_ (answer);
  rgy_store_json_get_header (answer, &header);
  if (is_older_ (client, pairs))
    {
      rgy_store_client_set_state (
          client, RGY_STORE_REFUSED,
          "the store holds an older version of a key that was read before");
      g_ptr_array_unref (pairs);
      if (!client->closing)
        retry_ (client);
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
  apply_read_ (client, pairs, header.revision);
  g_ptr_array_unref (pairs);
  if (client->callbacks.on_synced != NULL)
    client->callbacks.on_synced (header.revision, client->callbacks.ctx);
  if (!client->closing && watch->wanted && watch->stream == NULL
      && watch->read == NULL)
    start_stream_ (client);
}

static void
read_ (struct rgy_store_client *client)
{
  struct rgy_store_watch *watch = &client->watch;
  json_t *agents;
  json_t *config;

  if (watch->read != NULL || watch->stream != NULL)
    return;
  uv_timer_stop (&watch->retry_timer);
  watch->sent_revision = client->seen.revision;
  agents = rgy_store_json_range (RGY_STR (AGENTS_KEY), RGY_STR (AGENTS_END));
  config = rgy_store_json_range (RGY_STR (CONFIG_KEY), RGY_STR (WATCH_END));
  /* One transaction, so that both ranges are of one revision.  */
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

  if (watch->wanted == watching)
    return;
  watch->wanted = watching;
  watch->read_once = false;
  drop_ (client);
  rgy_store_watch_flush (client);
  if (watching && !client->closing)
    read_ (client);
}

void
rgy_store_client_read (struct rgy_store_client *client)
{
  struct rgy_store_watch *watch = &client->watch;

  if (watch->wanted || watch->read_once)
    return;
  watch->read_once = true;
  watch->failures = 0;
  read_ (client);
}

void
rgy_store_watch_init (struct rgy_store_client *client)
{
  struct rgy_store_watch *watch = &client->watch;

  watch->known = revisions_new_ ();
  watch->queue = g_ptr_array_new_with_free_func (result_unref_);
  rgy_store_client_init_timer (client, &watch->retry_timer);
  rgy_store_client_init_timer (client, &watch->probe_timer);
  rgy_store_client_init_timer (client, &watch->coalesce_timer);
}

void
rgy_store_watch_finish (struct rgy_store_client *client)
{
  struct rgy_store_watch *watch = &client->watch;

  watch->wanted = false;
  watch->read_once = false;
  rgy_store_client_close_timer (client, &watch->retry_timer);
  rgy_store_client_close_timer (client, &watch->probe_timer);
  rgy_store_client_close_timer (client, &watch->coalesce_timer);
  g_hash_table_remove_all (watch->known);
  g_ptr_array_set_size (watch->queue, 0);
}
