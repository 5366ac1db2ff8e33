#include <string.h>

#include "private/store_client_private.h"

bool
rgy_store_known_is_reported (GBytes *key)
{
  static const char *const prefixes[]
      = { RGY_STORE_PREFIX "contracts/", RGY_STORE_PREFIX "domains/",
          AGENTS_PREFIX, BALANCERS_PREFIX };
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
get_known_revision_ (const struct rgy_store_client *client, GBytes *key)
{
  const uint64_t *revision = g_hash_table_lookup (client->watch.known, key);

  return revision == NULL ? 0 : *revision;
}

uint64_t
rgy_store_client_get_mod_revision (struct rgy_store_client *client,
                                   struct rgy_str key)
{
  GBytes *bytes = g_bytes_new (key.data, key.len);
  uint64_t revision = get_known_revision_ (client, bytes);

  g_bytes_unref (bytes);
  return revision;
}

void
rgy_store_known_report (struct rgy_store_client *client, GBytes *key,
                        GBytes *value, uint64_t mod_revision)
{
  struct rgy_store_event event
      = { .deleted = value == NULL, .mod_revision = mod_revision };
  uint64_t known = get_known_revision_ (client, key);
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

GPtrArray *
rgy_store_known_collect (const json_t *answer)
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

bool
rgy_store_known_is_older (const struct rgy_store_client *client,
                          const GPtrArray *pairs)
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
              < get_known_revision_ (client, key);
      g_bytes_unref (key);
    }
  return older;
}

/* Reports known keys that are not in PAIRS as deleted.  */
static void
report_deleted_ (struct rgy_store_client *client, const GPtrArray *pairs,
                 uint64_t revision)
{
  GHashTable *present = g_hash_table_new_full (
      g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
  GPtrArray *deleted_keys
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
      g_ptr_array_add (deleted_keys, g_bytes_ref (key));
  for (i = 0; i < deleted_keys->len && !client->closing; i++)
    rgy_store_known_report (client, g_ptr_array_index (deleted_keys, i), NULL,
                            revision);
  g_ptr_array_unref (deleted_keys);
  g_hash_table_unref (present);
}

void
rgy_store_known_apply (struct rgy_store_client *client, const GPtrArray *pairs,
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
      if (rgy_store_known_is_reported (key))
        rgy_store_known_report (
            client, key, value,
            rgy_store_json_get_revision (kv, "mod_revision"));
      g_bytes_unref (value);
      g_bytes_unref (key);
    }
  if (!client->closing)
    report_deleted_ (client, pairs, revision);
}
