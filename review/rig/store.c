#include "rig.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Stand-in for the platform's store: range, watch, transaction, lease.  */

/* Time for which the store keeps its history.  */
#define HISTORY_S 20.0
#define HISTORY_CHECK_MS 200

struct item_
{
  char *key;
  char *value; /* Base64; NULL for a tombstone.  */
  json_int_t revision;
  json_int_t create_rev;
  json_int_t lease;
  char *json; /* The item as it is sent.  */
  double changed_s;
};

struct lease_
{
  json_int_t id;
  json_int_t ttl_ms;
  guint timer;
};

struct watch_
{
  struct rig_connection *connection;
  char *prefix;
  json_int_t after;
  guint timer;
};

static struct
{
  json_int_t revision;
  json_int_t next_lease;
  GHashTable *items;  /* Key to struct item_.  */
  GPtrArray *history; /* Changes of the last HISTORY_S, as struct item_.  */
  json_int_t dropped; /* Revision of the last change that was dropped.  */
  GHashTable *leases; /* ID to struct lease_.  */
  GPtrArray *watches; /* struct watch_.  */
  bool silent;        /* Answers nothing.  */
  unsigned version;
} store_ = { .revision = 400 };

static void
free_item_ (void *data)
{
  struct item_ *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item->json);
  g_free (item);
}

/* Sends an answer.  While the store is silent, the connection returns nothing
   further.  */
static void
answer_text_ (struct rig_connection *connection, unsigned status,
              const char *text)
{
  if (store_.silent)
    rig_http_mute (connection);
  else
    rig_http_answer (connection, status, text);
}

static void
answer_ (struct rig_connection *connection, unsigned status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  answer_text_ (connection, status, text);
  free (text);
  json_decref (body);
}

static char *
describe_item_ (const struct item_ *item)
{
  if (item->value == NULL)
    return g_strdup_printf (
        "{\"key\":\"%s\",\"revision\":%" JSON_INTEGER_FORMAT
        ",\"tombstone\":true}",
        item->key, item->revision);
  return g_strdup_printf (
      "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":"
      "%" JSON_INTEGER_FORMAT ",\"create_rev\":"
      "%" JSON_INTEGER_FORMAT ",\"lease\":%" JSON_INTEGER_FORMAT "}",
      item->key, item->value, item->revision, item->create_rev, item->lease);
}

static void
append_item_ (GString *list, const struct item_ *item)
{
  if (list->len > 0)
    g_string_append_c (list, ',');
  g_string_append (list, item->json);
}

/* Lists the changes that a watch waits for; empty if there are none.  */
static GString *
list_events_ (const struct watch_ *watch)
{
  GString *events = g_string_new (NULL);
  guint i;

  for (i = 0; i < store_.history->len; i++)
    {
      const struct item_ *item = g_ptr_array_index (store_.history, i);

      if (item->revision > watch->after
          && g_str_has_prefix (item->key, watch->prefix))
        append_item_ (events, item);
    }
  return events;
}

static void
free_watch_ (struct watch_ *watch)
{
  g_ptr_array_remove_fast (store_.watches, watch);
  if (watch->timer != 0)
    g_source_remove (watch->timer);
  g_free (watch->prefix);
  g_free (watch);
}

/* Answers a watch if it has events, or in any case.  */
static bool
answer_watch_ (struct watch_ *watch, bool always)
{
  GString *events = list_events_ (watch);
  char *text;

  if (events->len == 0 && !always)
    {
      g_string_free (events, TRUE);
      return false;
    }
  text = g_strdup_printf ("{\"events\":[%s],\"current_rev\":"
                          "%" JSON_INTEGER_FORMAT "}",
                          events->str, store_.revision);
  answer_text_ (watch->connection, 200, text);
  g_free (text);
  g_string_free (events, TRUE);
  free_watch_ (watch);
  return true;
}

static gboolean
on_watch_end_ (gpointer data)
{
  struct watch_ *watch = data;

  watch->timer = 0;
  answer_watch_ (watch, true);
  return G_SOURCE_REMOVE;
}

static void
on_watch_closed_ (struct rig_connection *connection)
{
  guint i;

  for (i = 0; i < store_.watches->len; i++)
    {
      struct watch_ *watch = g_ptr_array_index (store_.watches, i);

      if (watch->connection != connection)
        continue;
      free_watch_ (watch);
      return;
    }
}

static void
answer_watches_ (void)
{
  guint i = 0;

  while (i < store_.watches->len)
    if (!answer_watch_ (g_ptr_array_index (store_.watches, i), false))
      i++;
}

/* Writes a key; VALUE is base64, NULL removes the key.  */
static void
change_ (const char *key, const char *value, json_int_t lease)
{
  const struct item_ *before = g_hash_table_lookup (store_.items, key);
  struct item_ *item;

  if (before == NULL && value == NULL)
    return;
  item = g_new0 (struct item_, 1);
  item->key = g_strdup (key);
  item->value = g_strdup (value);
  item->revision = ++store_.revision;
  item->create_rev = before == NULL ? item->revision : before->create_rev;
  item->lease = lease;
  item->changed_s = rig_now ();
  item->json = describe_item_ (item);
  g_ptr_array_add (store_.history, item);
  if (value == NULL)
    g_hash_table_remove (store_.items, key);
  else
    g_hash_table_replace (store_.items, g_strdup (key), item);
}

/* Drops changes that are older than HISTORY_S.  Current items stay.  */
static gboolean
on_history_timer_ (gpointer data)
{
  (void)data;
  while (store_.history->len > 0)
    {
      struct item_ *item = g_ptr_array_index (store_.history, 0);

      if (rig_now () - item->changed_s < HISTORY_S)
        break;
      store_.dropped = item->revision;
      if (g_hash_table_lookup (store_.items, item->key) == item)
        g_ptr_array_steal_index (store_.history, 0);
      else
        g_ptr_array_remove_index (store_.history, 0);
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
on_lease_end_ (gpointer data)
{
  struct lease_ *lease = data;
  GList *keys = g_hash_table_get_keys (store_.items);
  GList *at;

  for (at = keys; at != NULL; at = at->next)
    {
      const struct item_ *item = g_hash_table_lookup (store_.items, at->data);
      char *key = g_strdup (at->data);

      if (item->lease == lease->id)
        change_ (key, NULL, 0);
      g_free (key);
    }
  g_list_free (keys);
  g_hash_table_remove (store_.leases, &lease->id);
  g_free (lease);
  answer_watches_ ();
  return G_SOURCE_REMOVE;
}

static void
serve_range_ (struct rig_connection *connection, const char *prefix)
{
  GString *items = g_string_new (NULL);
  GList *keys = g_list_sort (g_hash_table_get_keys (store_.items),
                             (GCompareFunc)strcmp);
  GList *at;
  char *text;

  for (at = keys; at != NULL; at = at->next)
    if (g_str_has_prefix (at->data, prefix))
      append_item_ (items, g_hash_table_lookup (store_.items, at->data));
  g_list_free (keys);
  text = g_strdup_printf ("{\"items\":[%s],\"more_pages\":false,"
                          "\"current_rev\":%" JSON_INTEGER_FORMAT "}",
                          items->str, store_.revision);
  answer_text_ (connection, 200, text);
  g_free (text);
  g_string_free (items, TRUE);
}

static void
serve_watch_ (struct rig_connection *connection, const char *prefix,
              json_int_t after, json_int_t wait_ms)
{
  struct watch_ *watch;

  if (after < store_.dropped)
    {
      answer_ (connection, 410, json_object ());
      return;
    }
  watch = g_new0 (struct watch_, 1);
  watch->connection = connection;
  watch->prefix = g_strdup (prefix);
  watch->after = after;
  g_ptr_array_add (store_.watches, watch);
  if (answer_watch_ (watch, false))
    return;
  rig_http_on_close (connection, on_watch_closed_);
  watch->timer = g_timeout_add ((guint)wait_ms, on_watch_end_, watch);
}

static void
serve_lease_ (struct rig_connection *connection, const json_t *root)
{
  struct lease_ *lease = g_new0 (struct lease_, 1);

  lease->id = ++store_.next_lease;
  lease->ttl_ms = json_integer_value (json_object_get (root, "ttl_ms"));
  lease->timer = g_timeout_add ((guint)lease->ttl_ms, on_lease_end_, lease);
  g_hash_table_insert (store_.leases, &lease->id, lease);
  answer_ (
      connection, 200,
      json_pack ("{s:I, s:I}", "lease", lease->id, "ttl_ms", lease->ttl_ms));
}

static void
serve_keep_ (struct rig_connection *connection, const char *id)
{
  gint64 number = g_ascii_strtoll (id, NULL, 10);
  struct lease_ *lease = g_hash_table_lookup (store_.leases, &number);

  if (lease == NULL)
    {
      answer_ (connection, 404, json_object ());
      return;
    }
  g_source_remove (lease->timer);
  lease->timer = g_timeout_add ((guint)lease->ttl_ms, on_lease_end_, lease);
  answer_ (connection, 200, json_pack ("{s:I}", "ttl_ms", lease->ttl_ms));
}

/* True if all keys have the revisions that a transaction expects.  */
static bool
is_expected_ (const json_t *root)
{
  const json_t *row;
  size_t i;

  json_array_foreach (json_object_get (root, "expect"), i, row)
  {
    const struct item_ *item = g_hash_table_lookup (
        store_.items, json_string_value (json_object_get (row, "key")));

    if ((item == NULL ? 0 : item->revision)
        != json_integer_value (json_object_get (row, "revision")))
      return false;
  }
  return true;
}

static void
serve_transaction_ (struct rig_connection *connection, const json_t *root)
{
  const json_t *row;
  size_t i;

  if (!is_expected_ (root))
    {
      answer_ (connection, 412, json_pack ("{s:[]}", "items"));
      return;
    }
  json_array_foreach (json_object_get (root, "writes"), i, row)
  {
    gint64 lease = json_integer_value (json_object_get (row, "lease"));

    if (lease != 0 && !g_hash_table_contains (store_.leases, &lease))
      {
        answer_ (connection, 404, json_object ());
        return;
      }
  }
  json_array_foreach (json_object_get (root, "writes"), i, row)
  {
    change_ (json_string_value (json_object_get (row, "key")),
             json_string_value (json_object_get (row, "value")),
             json_integer_value (json_object_get (row, "lease")));
  }
  json_array_foreach (json_object_get (root, "delete"), i, row)
  {
    change_ (json_string_value (row), NULL, 0);
  }
  answer_ (connection, 200, json_pack ("{s:I}", "revision", store_.revision));
  answer_watches_ ();
}

/* Value of a field in the query of a target; to be freed.  */
static char *
get_query_ (const char *target, const char *name)
{
  const char *query = strchr (target, '?');
  char **fields = g_strsplit (query == NULL ? "" : query + 1, "&", -1);
  char *value = NULL;
  char **field;

  for (field = fields; *field != NULL; field++)
    if (g_str_has_prefix (*field, name) && (*field)[strlen (name)] == '=')
      {
        g_free (value);
        value = g_uri_unescape_string (*field + strlen (name) + 1, NULL);
      }
  g_strfreev (fields);
  return value;
}

static void
on_request_ (struct rig_connection *connection, const char *method,
             const char *target, const char *body)
{
  json_t *root = json_loads (body, 0, NULL);
  char *prefix = get_query_ (target, "prefix");
  char *after = get_query_ (target, "after");
  char *wait_ms = get_query_ (target, "wait_ms");

  (void)method;
  if (store_.silent)
    rig_http_mute (connection);
  else if (g_str_has_prefix (target, "/kv-range") && prefix != NULL)
    serve_range_ (connection, prefix);
  else if (g_str_has_prefix (target, "/kv-watch") && prefix != NULL
           && after != NULL && wait_ms != NULL)
    serve_watch_ (connection, prefix, g_ascii_strtoll (after, NULL, 10),
                  g_ascii_strtoll (wait_ms, NULL, 10));
  else if (strcmp (target, "/kv-lease") == 0)
    serve_lease_ (connection, root);
  else if (g_str_has_prefix (target, "/kv-keep/"))
    serve_keep_ (connection, target + strlen ("/kv-keep/"));
  else if (strcmp (target, "/kv-txn") == 0)
    serve_transaction_ (connection, root);
  else
    answer_ (connection, 404, json_object ());
  g_free (prefix);
  g_free (after);
  g_free (wait_ms);
  json_decref (root);
}

void
rig_store_start (void)
{
  store_.items = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  store_.history = g_ptr_array_new_with_free_func (free_item_);
  store_.leases = g_hash_table_new (g_int64_hash, g_int64_equal);
  store_.watches = g_ptr_array_new ();
  g_timeout_add (HISTORY_CHECK_MS, on_history_timer_, NULL);
  rig_http_listen (rig_store_ip (), rig_port (RIG_PORT_STORE), on_request_);
}

void
rig_store_put (const char *key, const char *value)
{
  char *encoded = g_base64_encode ((const guchar *)value, strlen (value));

  change_ (key, encoded, 0);
  g_free (encoded);
  answer_watches_ ();
}

void
rig_store_set_silent (bool silent)
{
  store_.silent = silent;
  rig_record ("store is %s", silent ? "down and silent" : "back");
}

void
rig_put_manifest (const char *routes, const char *services, const char *note)
{
  char *text;

  /* Versions increase in uneven steps.  */
  store_.version += 1 + (store_.version % 3);
  text = g_strdup_printf (
      "{\"version\":%u,\"routes\":[%s],\"services\":%s,\"limits\":{"
      "\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
      store_.version, routes, services);
  rig_store_put ("op/config", text);
  rig_record ("manifest acknowledged version=%u bytes=%zu: %s", store_.version,
              strlen (text), note);
  g_free (text);
}
