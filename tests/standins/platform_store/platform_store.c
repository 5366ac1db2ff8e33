#include "platform_store.h"

#include <arpa/inet.h>
#include <glib.h>
#include <http_parser.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <string.h>

#define BACKLOG 64
#define READ_BYTES 65536
#define FIRST_REVISION 400
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_GONE 410
#define STATUS_CONFLICT 412
/* Items of one page, fewer than on the platform, so that lists have pages.  */
#define PAGE_ITEMS 4

/* State of a key at a revision.  */
struct item_
{
  GString *key;
  char *value; /* Base64; NULL: the key was deleted.  */
  json_int_t revision;
  json_int_t lease;
};

struct standin_platform_store
{
  uv_loop_t *loop;
  uv_tcp_t *listener;
  GRand *rand;
  double lost_share;
  json_int_t revision;
  json_int_t forgotten; /* Last revision that is no longer in the history.  */
  json_int_t next_lease;
  GPtrArray *items;       /* Current items, sorted by key.  */
  GPtrArray *history;     /* All changes since FORGOTTEN.  */
  GPtrArray *connections; /* struct connection_, not owned.  */
  unsigned counts[STANDIN_CALL_COUNT];
};

struct connection_
{
  uv_tcp_t tcp;
  uv_timer_t timer; /* End of the wait of a watch.  */
  unsigned open_handles;
  struct standin_platform_store *store; /* NULL: closing.  */
  http_parser parser;
  GString *target;
  GString *body;
  bool mute;          /* An answer was lost.  */
  char *watch_prefix; /* Of the waiting watch; NULL: none.  */
  json_int_t watch_after;
};

static void
free_item_ (void *data)
{
  struct item_ *item = data;

  g_string_free (item->key, TRUE);
  g_free (item->value);
  g_free (item);
}

static int
compare_keys_ (const GString *a, const char *key, size_t key_len)
{
  int order = memcmp (a->str, key, MIN (a->len, key_len));

  return order != 0 ? order : (a->len > key_len) - (a->len < key_len);
}

/* Connections and answers.  */

static void
on_handle_closed_ (uv_handle_t *handle)
{
  struct connection_ *c = handle->data;

  if (--c->open_handles > 0)
    return;
  g_string_free (c->target, TRUE);
  g_string_free (c->body, TRUE);
  g_free (c->watch_prefix);
  g_free (c);
}

static void
close_connection_ (struct connection_ *c)
{
  if (c->store == NULL)
    return;
  g_ptr_array_remove_fast (c->store->connections, c);
  c->store = NULL;
  uv_close ((uv_handle_t *)&c->tcp, on_handle_closed_);
  uv_close ((uv_handle_t *)&c->timer, on_handle_closed_);
}

static void
on_written_ (uv_write_t *request, int status)
{
  (void)status;
  g_free (request->data);
  g_free (request);
}

/* Sends an answer, or loses it.  Takes ownership of BODY, which may be
   NULL.  */
static void
answer_ (struct connection_ *c, unsigned status, json_t *body)
{
  char *text = body == NULL ? g_strdup ("") : json_dumps (body, 0);
  uv_write_t *request;
  uv_buf_t buf;

  json_decref (body);
  c->mute = c->mute || g_rand_double (c->store->rand) < c->store->lost_share;
  if (c->mute)
    {
      g_free (text);
      return;
    }
  request = g_new0 (uv_write_t, 1);
  request->data = g_strdup_printf ("HTTP/1.1 %u X\r\nContent-Type: "
                                   "application/json\r\nContent-Length: %zu"
                                   "\r\n\r\n%s",
                                   status, strlen (text), text);
  g_free (text);
  buf = uv_buf_init (request->data, (unsigned)strlen (request->data));
  if (uv_write (request, (uv_stream_t *)&c->tcp, &buf, 1, on_written_) != 0)
    on_written_ (request, 0);
}

static json_t *
make_item_json_ (const struct item_ *item)
{
  json_t *json = json_pack ("{s:s%, s:I}", "key", item->key->str,
                            item->key->len, "revision", item->revision);

  if (item->value == NULL)
    json_object_set_new (json, "tombstone", json_true ());
  else
    {
      json_object_set_new (json, "value", json_string (item->value));
      json_object_set_new (json, "create_rev", json_integer (item->revision));
      json_object_set_new (json, "lease", json_integer (item->lease));
    }
  return json;
}

/* Watches.  */

/* Answers a waiting watch if there are events or its wait has ended.  */
static void
answer_watch_ (struct connection_ *c, bool wait_ended)
{
  struct standin_platform_store *store = c->store;
  json_t *events = json_array ();
  guint i;

  for (i = 0; i < store->history->len; i++)
    {
      const struct item_ *item = g_ptr_array_index (store->history, i);

      if (item->revision > c->watch_after
          && g_str_has_prefix (item->key->str, c->watch_prefix))
        json_array_append_new (events, make_item_json_ (item));
    }
  if (json_array_size (events) == 0 && !wait_ended)
    {
      json_decref (events);
      return;
    }
  g_clear_pointer (&c->watch_prefix, g_free);
  uv_timer_stop (&c->timer);
  answer_ (c, STATUS_OK,
           json_pack ("{s:o, s:I}", "events", events, "current_rev",
                      store->revision));
}

static void
on_wait_ended_ (uv_timer_t *timer)
{
  answer_watch_ (timer->data, true);
}

static void
change_ (struct standin_platform_store *store, const char *key, size_t key_len,
         const char *value, json_int_t lease)
{
  struct item_ *item;
  guint at = 0;
  int n_copies;

  while (at < store->items->len
         && compare_keys_ (
                ((struct item_ *)g_ptr_array_index (store->items, at))->key,
                key, key_len)
                < 0)
    at++;
  if (at < store->items->len
      && compare_keys_ (
             ((struct item_ *)g_ptr_array_index (store->items, at))->key, key,
             key_len)
             == 0)
    g_ptr_array_remove_index (store->items, at);
  store->revision++;
  for (n_copies = 0; n_copies < 2; n_copies++)
    {
      item = g_new0 (struct item_, 1);
      item->key = g_string_new_len (key, (gssize)key_len);
      item->value = g_strdup (value);
      item->revision = store->revision;
      item->lease = lease;
      if (n_copies == 0)
        g_ptr_array_add (store->history, item);
      else if (value != NULL)
        g_ptr_array_insert (store->items, (gint)at, item);
      else
        free_item_ (item);
    }
  for (at = 0; at < store->connections->len; at++)
    {
      struct connection_ *c = g_ptr_array_index (store->connections, at);

      if (c->watch_prefix != NULL)
        answer_watch_ (c, false);
    }
}

/* Requests.  */

static void
serve_range_ (struct connection_ *c, const char *prefix, const char *after)
{
  struct standin_platform_store *store = c->store;
  json_t *items = json_array ();
  bool more = false;
  size_t after_len = 0;
  GBytes *bytes
      = after == NULL ? NULL : g_uri_unescape_bytes (after, -1, NULL, NULL);
  const char *after_key
      = bytes == NULL ? NULL : g_bytes_get_data (bytes, &after_len);
  guint i;

  for (i = 0; i < store->items->len; i++)
    {
      const struct item_ *item = g_ptr_array_index (store->items, i);

      if (!g_str_has_prefix (item->key->str, prefix)
          || (after_key != NULL
              && compare_keys_ (item->key, after_key, after_len) <= 0))
        continue;
      if (json_array_size (items) == PAGE_ITEMS)
        {
          more = true;
          break;
        }
      json_array_append_new (items, make_item_json_ (item));
    }
  if (bytes != NULL)
    g_bytes_unref (bytes);
  answer_ (c, STATUS_OK,
           json_pack ("{s:o, s:b, s:I}", "items", items, "more_pages",
                      (int)more, "current_rev", store->revision));
}

static json_int_t
get_revision_ (const struct standin_platform_store *store, const char *key)
{
  guint i;

  for (i = 0; i < store->items->len; i++)
    {
      const struct item_ *item = g_ptr_array_index (store->items, i);

      if (compare_keys_ (item->key, key, strlen (key)) == 0)
        return item->revision;
    }
  return 0;
}

static void
serve_transaction_ (struct connection_ *c)
{
  struct standin_platform_store *store = c->store;
  json_t *root = json_loadb (c->body->str, c->body->len, 0, NULL);
  const json_t *row;
  size_t i;

  json_array_foreach (json_object_get (root, "expect"), i, row)
  {
    if (get_revision_ (store, json_string_value (json_object_get (row, "key")))
        != json_integer_value (json_object_get (row, "revision")))
      {
        json_decref (root);
        answer_ (c, STATUS_CONFLICT, json_pack ("{s:[]}", "items"));
        return;
      }
  }
  json_array_foreach (json_object_get (root, "writes"), i, row)
  {
    const char *key = json_string_value (json_object_get (row, "key"));

    change_ (store, key, strlen (key),
             json_string_value (json_object_get (row, "value")),
             json_integer_value (json_object_get (row, "lease")));
  }
  json_decref (root);
  answer_ (c, STATUS_OK, json_pack ("{s:I}", "revision", store->revision));
}

/* Returns a parameter of the query, still escaped, or NULL.  */
static char *
get_parameter_ (const char *target, const char *name)
{
  char *pattern = g_strconcat (name, "=", NULL);
  const char *at = strchr (target, '?');

  while (at != NULL && !g_str_has_prefix (at + 1, pattern))
    at = strchr (at + 1, '&');
  at = at == NULL ? NULL : at + 1 + strlen (pattern);
  g_free (pattern);
  return at == NULL ? NULL : g_strndup (at, strcspn (at, "&"));
}

static void
serve_request_ (struct connection_ *c)
{
  struct standin_platform_store *store = c->store;
  const char *target = c->target->str;
  char *prefix = get_parameter_ (target, "prefix");
  char *after = get_parameter_ (target, "after");
  char *wait = get_parameter_ (target, "wait_ms");

  if (g_str_has_prefix (target, "/kv-range?"))
    {
      store->counts[STANDIN_CALL_RANGE]++;
      serve_range_ (c, prefix, after);
    }
  else if (g_str_has_prefix (target, "/kv-watch?"))
    {
      store->counts[STANDIN_CALL_WATCH]++;
      c->watch_after = (json_int_t)g_ascii_strtoll (after, NULL, 10);
      if (c->watch_after < store->forgotten)
        answer_ (c, STATUS_GONE, NULL);
      else
        {
          c->watch_prefix = g_strdup (prefix);
          uv_timer_start (&c->timer, on_wait_ended_,
                          g_ascii_strtoull (wait, NULL, 10), 0);
          answer_watch_ (c, false);
        }
    }
  else if (strcmp (target, "/kv-txn") == 0)
    {
      store->counts[STANDIN_CALL_TXN]++;
      serve_transaction_ (c);
    }
  else if (strcmp (target, "/kv-lease") == 0)
    {
      store->counts[STANDIN_CALL_LEASE]++;
      answer_ (c, STATUS_OK,
               json_pack ("{s:I, s:i}", "lease", ++store->next_lease, "ttl_ms",
                          10000));
    }
  else if (g_str_has_prefix (target, "/kv-keep/"))
    {
      store->counts[STANDIN_CALL_KEEP]++;
      answer_ (c, STATUS_OK, json_pack ("{s:i}", "ttl_ms", 10000));
    }
  else
    answer_ (c, STATUS_NOT_FOUND, NULL);
  g_free (prefix);
  g_free (after);
  g_free (wait);
}

static int
on_url_ (http_parser *parser, const char *at, size_t len)
{
  struct connection_ *c = parser->data;

  g_string_append_len (c->target, at, (gssize)len);
  return 0;
}

static int
on_body_ (http_parser *parser, const char *at, size_t len)
{
  struct connection_ *c = parser->data;

  g_string_append_len (c->body, at, (gssize)len);
  return 0;
}

static int
on_message_complete_ (http_parser *parser)
{
  struct connection_ *c = parser->data;

  if (c->store != NULL)
    serve_request_ (c);
  g_string_truncate (c->target, 0);
  g_string_truncate (c->body, 0);
  return 0;
}

static const http_parser_settings parser_settings_
    = { .on_url = on_url_,
        .on_body = on_body_,
        .on_message_complete = on_message_complete_ };

static void
allocate_ (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  static char bytes[READ_BYTES];

  (void)handle;
  (void)suggested;
  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
on_read_ (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct connection_ *c = stream->data;

  if (n < 0)
    close_connection_ (c);
  else if (n > 0)
    http_parser_execute (&c->parser, &parser_settings_, buf->base, (size_t)n);
}

static void
on_connection_ (uv_stream_t *listener, int status)
{
  struct standin_platform_store *store = listener->data;
  struct connection_ *c = g_new0 (struct connection_, 1);

  c->store = store;
  c->target = g_string_new (NULL);
  c->body = g_string_new (NULL);
  c->open_handles = 2;
  http_parser_init (&c->parser, HTTP_REQUEST);
  c->parser.data = c;
  uv_tcp_init (store->loop, &c->tcp);
  uv_timer_init (store->loop, &c->timer);
  c->tcp.data = c;
  c->timer.data = c;
  g_ptr_array_add (store->connections, c);
  if (status != 0 || uv_accept (listener, (uv_stream_t *)&c->tcp) != 0
      || uv_read_start ((uv_stream_t *)&c->tcp, allocate_, on_read_) != 0)
    close_connection_ (c);
}

/* Control.  */

struct standin_platform_store *
standin_platform_store_new (uv_loop_t *loop, uint32_t seed)
{
  struct standin_platform_store *store
      = g_new0 (struct standin_platform_store, 1);
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  store->loop = loop;
  store->rand = g_rand_new_with_seed (seed);
  store->revision = FIRST_REVISION;
  store->items = g_ptr_array_new_with_free_func (free_item_);
  store->history = g_ptr_array_new_with_free_func (free_item_);
  store->connections = g_ptr_array_new ();
  store->listener = g_new0 (uv_tcp_t, 1);
  uv_tcp_init (loop, store->listener);
  store->listener->data = store;
  g_assert_cmpint (uv_tcp_bind (store->listener, (struct sockaddr *)&addr, 0),
                   ==, 0);
  g_assert_cmpint (
      uv_listen ((uv_stream_t *)store->listener, BACKLOG, on_connection_), ==,
      0);
  return store;
}

static void
free_listener_ (uv_handle_t *handle)
{
  g_free (handle);
}

void
standin_platform_store_delete (struct standin_platform_store *store)
{
  while (store->connections->len > 0)
    close_connection_ (g_ptr_array_index (store->connections, 0));
  uv_close ((uv_handle_t *)store->listener, free_listener_);
  g_ptr_array_unref (store->items);
  g_ptr_array_unref (store->history);
  g_ptr_array_unref (store->connections);
  g_rand_free (store->rand);
  g_free (store);
}

uint16_t
standin_platform_store_get_port (const struct standin_platform_store *store)
{
  struct sockaddr_in addr;
  int len = sizeof addr;

  g_assert_cmpint (
      uv_tcp_getsockname (store->listener, (struct sockaddr *)&addr, &len), ==,
      0);
  return ntohs (addr.sin_port);
}

void
standin_platform_store_lose_answers (struct standin_platform_store *store,
                                     double share)
{
  store->lost_share = share;
}

void
standin_platform_store_put (struct standin_platform_store *store,
                            const char *key, const char *value)
{
  change_ (store, key, strlen (key), value, 0);
}

void
standin_platform_store_put_len (struct standin_platform_store *store,
                                const char *key, size_t key_len,
                                const char *value, int64_t lease)
{
  change_ (store, key, key_len, value, lease);
}

void
standin_platform_store_compact (struct standin_platform_store *store)
{
  store->forgotten = store->revision;
  g_ptr_array_set_size (store->history, 0);
}

const char *
standin_platform_store_get (const struct standin_platform_store *store,
                            const char *key)
{
  guint i;

  for (i = 0; i < store->items->len; i++)
    {
      const struct item_ *item = g_ptr_array_index (store->items, i);

      if (compare_keys_ (item->key, key, strlen (key)) == 0)
        return item->value;
    }
  return NULL;
}

unsigned
standin_platform_store_count (const struct standin_platform_store *store,
                              enum standin_call call)
{
  return store->counts[call];
}
