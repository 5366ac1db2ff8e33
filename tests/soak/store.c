#include "soak.h"

#include <jansson.h>
#include <string.h>

/* Stand-in for the platform's store with the calls that the programs use:
   range, watch, lease, lease renewal and transaction.  */

/* State of a key at a revision.  */
struct item_
{
  char *key;
  char *value; /* Base64; NULL: the key was deleted.  */
  uint64_t revision;
  uint64_t lease; /* ID; 0: none.  */
};

/* State that a return puts back.  */
struct contents_
{
  uint64_t revision;
  uint64_t first_revision; /* Oldest revision of the history.  */
  uint64_t next_lease;
  GPtrArray *items;   /* Current state of each key, as struct item_.  */
  GPtrArray *history; /* All changes, as struct item_.  */
  GHashTable *leases; /* Set of lease IDs.  */
};

static struct
{
  uv_loop_t *loop;
  struct rgy_http *http;
  enum soak_store_mode mode;
  unsigned era;
  struct contents_ now;
  struct contents_ copy;
  GHashTable *operator_writes; /* Key to base64, NULL when it was deleted.  */
} store_;

static void
free_item_ (void *data)
{
  struct item_ *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static struct item_ *
new_item_ (const char *key, const char *value, uint64_t lease)
{
  struct item_ *item = g_new0 (struct item_, 1);

  item->key = g_strdup (key);
  item->value = g_strdup (value);
  item->revision = store_.now.revision;
  item->lease = lease;
  return item;
}

/* Writes a key at the next revision. VALUE is base64; NULL deletes the key. */
static void
change_key_ (const char *key, const char *value, uint64_t lease)
{
  guint i;

  store_.now.revision++;
  g_ptr_array_add (store_.now.history, new_item_ (key, value, lease));
  for (i = 0; i < store_.now.items->len; i++)
    if (strcmp (((struct item_ *)store_.now.items->pdata[i])->key, key) == 0)
      {
        g_ptr_array_remove_index_fast (store_.now.items, i);
        break;
      }
  if (value != NULL)
    g_ptr_array_add (store_.now.items, new_item_ (key, value, lease));
}

void
soak_store_put (const char *key, const char *value)
{
  char *encoded = g_base64_encode ((const guchar *)value, strlen (value));

  change_key_ (key, encoded, 0);
  g_hash_table_insert (store_.operator_writes, g_strdup (key), encoded);
}

void
soak_store_delete (const char *key)
{
  change_key_ (key, NULL, 0);
  g_hash_table_insert (store_.operator_writes, g_strdup (key), NULL);
}

static GPtrArray *
copy_items_ (const GPtrArray *items)
{
  GPtrArray *copy = g_ptr_array_new_with_free_func (free_item_);
  guint i;

  for (i = 0; i < items->len; i++)
    {
      const struct item_ *item = g_ptr_array_index (items, i);
      struct item_ *added = new_item_ (item->key, item->value, item->lease);

      added->revision = item->revision;
      g_ptr_array_add (copy, added);
    }
  return copy;
}

static struct contents_
copy_contents_ (const struct contents_ *contents)
{
  struct contents_ copy = *contents;
  GHashTableIter iter;
  void *lease;

  copy.items = copy_items_ (contents->items);
  copy.history = copy_items_ (contents->history);
  copy.leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_hash_table_iter_init (&iter, contents->leases);
  while (g_hash_table_iter_next (&iter, &lease, NULL))
    g_hash_table_add (copy.leases, g_memdup2 (lease, sizeof (uint64_t)));
  return copy;
}

static void
free_contents_ (struct contents_ *contents)
{
  if (contents->items == NULL)
    return;
  g_ptr_array_unref (contents->items);
  g_ptr_array_unref (contents->history);
  g_hash_table_unref (contents->leases);
}

void
soak_store_copy (void)
{
  free_contents_ (&store_.copy);
  store_.copy = copy_contents_ (&store_.now);
}

void
soak_store_return (void)
{
  free_contents_ (&store_.now);
  store_.now = copy_contents_ (&store_.copy);
  store_.era++;
}

static const char *
get_value_ (const char *key)
{
  guint i;

  for (i = 0; i < store_.now.items->len; i++)
    {
      const struct item_ *item = g_ptr_array_index (store_.now.items, i);

      if (strcmp (item->key, key) == 0)
        return item->value;
    }
  return NULL;
}

void
soak_store_rewrite (void)
{
  GHashTableIter iter;
  void *key;
  void *value;

  g_hash_table_iter_init (&iter, store_.operator_writes);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (g_strcmp0 (get_value_ (key), value) != 0)
      change_key_ (key, value, 0);
}

void
soak_store_compact (void)
{
  store_.now.first_revision = store_.now.revision + 1;
  g_ptr_array_set_size (store_.now.history, 0);
}

void
soak_store_revoke_leases (void)
{
  guint i;

  g_hash_table_remove_all (store_.now.leases);
  for (i = store_.now.items->len; i-- > 0;)
    {
      struct item_ *item = store_.now.items->pdata[i];

      if (item->lease != 0)
        {
          char *key = g_strdup (item->key);

          change_key_ (key, NULL, 0);
          g_free (key);
        }
    }
}

static json_t *
build_item_json_ (const struct item_ *item)
{
  if (item->value == NULL)
    return json_pack ("{s:s, s:I, s:b}", "key", item->key, "revision",
                      (json_int_t)item->revision, "tombstone", 1);
  return json_pack ("{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value",
                    item->value, "revision", (json_int_t)item->revision,
                    "create_rev", (json_int_t)item->revision, "lease",
                    (json_int_t)item->lease);
}

/* Lists the items whose keys start with PREFIX and whose revision is greater
   than AFTER.  */
static json_t *
build_item_list_ (GPtrArray *items, const char *prefix, uint64_t after)
{
  json_t *list = json_array ();
  guint i;

  for (i = 0; i < items->len; i++)
    {
      const struct item_ *item = items->pdata[i];

      if (g_str_has_prefix (item->key, prefix) && item->revision > after)
        json_array_append_new (list, build_item_json_ (item));
    }
  return list;
}

/* Returns the revision of a key; 0 when the key does not exist.  */
static uint64_t
get_revision_ (const char *key)
{
  guint i;

  for (i = 0; i < store_.now.items->len; i++)
    {
      const struct item_ *item = g_ptr_array_index (store_.now.items, i);

      if (strcmp (item->key, key) == 0)
        return item->revision;
    }
  return 0;
}

/* Runs a transaction: all writes, or none when a key does not have the
   expected revision.  */
static json_t *
run_transaction_ (struct rgy_bytes body, unsigned *status)
{
  json_t *root = json_loadb ((const char *)body.data, body.len, 0, NULL);
  const json_t *item;
  size_t i;

  json_array_foreach (json_object_get (root, "expect"), i, item)
  {
    if (get_revision_ (json_string_value (json_object_get (item, "key")))
        == (uint64_t)json_integer_value (json_object_get (item, "revision")))
      continue;
    json_decref (root);
    *status = 412;
    return json_pack ("{s:[]}", "items");
  }
  json_array_foreach (json_object_get (root, "writes"), i, item)
  {
    change_key_ (
        json_string_value (json_object_get (item, "key")),
        json_string_value (json_object_get (item, "value")),
        (uint64_t)json_integer_value (json_object_get (item, "lease")));
  }
  json_decref (root);
  return json_pack ("{s:I}", "revision", (json_int_t)store_.now.revision);
}

/* Runs a request.  @return the body of the answer, or NULL.  */
static json_t *
run_request_ (const struct rgy_http_request *request, unsigned *status)
{
  const char *prefix = rgy_http_request_get_query (request, "prefix");
  const char *after = rgy_http_request_get_query (request, "after");
  uint64_t after_revision
      = after == NULL ? 0 : g_ascii_strtoull (after, NULL, 10);

  if (strcmp (request->path, "/kv-range") == 0 && prefix != NULL)
    return json_pack ("{s:o, s:b, s:I}", "items",
                      build_item_list_ (store_.now.items, prefix, 0),
                      "more_pages", 0, "current_rev",
                      (json_int_t)store_.now.revision);
  if (strcmp (request->path, "/kv-watch") == 0 && prefix != NULL)
    {
      if (after_revision + 1 < store_.now.first_revision
          || after_revision > store_.now.revision)
        {
          *status = 410;
          return NULL;
        }
      return json_pack (
          "{s:o, s:I}", "events",
          build_item_list_ (store_.now.history, prefix, after_revision),
          "current_rev", (json_int_t)store_.now.revision);
    }
  if (strcmp (request->path, "/kv-lease") == 0)
    {
      uint64_t *lease = g_new (uint64_t, 1);

      *lease = ++store_.now.next_lease;
      g_hash_table_add (store_.now.leases, lease);
      return json_pack ("{s:I, s:i}", "lease", (json_int_t)*lease, "ttl_ms",
                        10000);
    }
  if (g_str_has_prefix (request->path, "/kv-keep/"))
    {
      uint64_t lease = g_ascii_strtoull (request->path + 9, NULL, 10);

      if (g_hash_table_contains (store_.now.leases, &lease))
        return json_pack ("{s:i}", "ttl_ms", 10000);
    }
  if (strcmp (request->path, "/kv-txn") == 0)
    return run_transaction_ (request->body, status);
  *status = 404;
  return NULL;
}

static void
on_request_ (const struct rgy_http_request *request,
             struct rgy_http_response *response, void *ctx)
{
  json_t *json;

  (void)ctx;
  response->status = 503;
  response->header = g_strdup_printf ("Store-Era: %u", store_.era);
  if (store_.mode == SOAK_STORE_UNAVAILABLE)
    return;
  response->status = 200;
  json = run_request_ (request, &response->status);
  if (store_.mode == SOAK_STORE_LOSES_ANSWERS)
    response->status = 503;
  if (json == NULL)
    return;
  response->content_type = "application/json";
  response->body = json_dumps (json, JSON_COMPACT);
  json_decref (json);
}

static void
open_port_ (void)
{
  store_.http = rgy_http_new (
      store_.loop,
      (struct rgy_endpoint){ .ip = SOAK_STORE_IP, .port = SOAK_STORE_PORT },
      on_request_, NULL);
}

void
soak_store_start (uv_loop_t *loop)
{
  store_.loop = loop;
  store_.operator_writes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  store_.now.revision = 1;
  store_.now.items = g_ptr_array_new_with_free_func (free_item_);
  store_.now.history = g_ptr_array_new_with_free_func (free_item_);
  store_.now.leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  open_port_ ();
}

void
soak_store_set_mode (enum soak_store_mode mode)
{
  store_.mode = mode;
  if (mode == SOAK_STORE_CLOSED)
    {
      rgy_http_delete (store_.http);
      store_.http = NULL;
    }
  else if (store_.http == NULL)
    open_port_ ();
}

void
soak_store_stop (void)
{
  rgy_http_delete (store_.http);
  store_.http = NULL;
}
