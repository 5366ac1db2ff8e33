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

/* State that a return of the store puts back.  */
struct contents_
{
  json_int_t revision;
  json_int_t forgotten; /* Last revision that is no longer in the history.  */
  json_int_t next_lease;
  GPtrArray *items;   /* Current items, sorted by key.  */
  GPtrArray *history; /* All changes since FORGOTTEN.  */
  GHashTable *leases; /* Number to enum holder_.  */
};

enum holder_
{
  HOLDER_NONE,
  HOLDER_CLIENT,
  HOLDER_OTHER /* A process that is not a client.  */
};

struct listener_
{
  uv_tcp_t tcp;
  struct standin_platform_store *store;
  bool silent;
};

struct standin_platform_store
{
  uv_loop_t *loop;
  struct listener_ *listeners[STANDIN_PORTS];
  GRand *rand;
  double lost_share;
  json_int_t era;      /* -1: none.  */
  const char *odd_era; /* Stated instead of the era; NULL: none.  */
  struct contents_ now;
  struct contents_ copy;   /* ITEMS is NULL before the first copy.  */
  struct contents_ before; /* The contents at the last return.  */
  unsigned late_answers;   /* Number of answers that are still late.  */
  unsigned n_foreign;
  unsigned answers_to_return; /* 0: no return is due.  */
  uv_timer_t *return_timer;
  GPtrArray *connections; /* struct connection_, not owned.  */
  unsigned counts[STANDIN_CALL_COUNT];
};

struct connection_
{
  uv_tcp_t tcp;
  uv_timer_t timer; /* End of the wait of a watch.  */
  unsigned open_handles;
  struct standin_platform_store *store; /* NULL: closing.  */
  const struct listener_ *listener;
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

static GPtrArray *
copy_items_ (const GPtrArray *items)
{
  GPtrArray *copy = g_ptr_array_new_with_free_func (free_item_);
  guint i;

  for (i = 0; i < items->len; i++)
    {
      const struct item_ *item = g_ptr_array_index (items, i);
      struct item_ *added = g_memdup2 (item, sizeof *item);

      added->key = g_string_new_len (item->key->str, (gssize)item->key->len);
      added->value = g_strdup (item->value);
      g_ptr_array_add (copy, added);
    }
  return copy;
}

static struct contents_
copy_contents_ (const struct contents_ *contents)
{
  struct contents_ copy = *contents;
  GHashTableIter iter;
  void *key;
  void *value;

  copy.items = copy_items_ (contents->items);
  copy.history = copy_items_ (contents->history);
  copy.leases = g_hash_table_new (g_direct_hash, g_direct_equal);
  g_hash_table_iter_init (&iter, contents->leases);
  while (g_hash_table_iter_next (&iter, &key, &value))
    g_hash_table_insert (copy.leases, key, value);
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
  *contents = (struct contents_){ 0 };
}

static enum holder_
get_holder_ (const struct standin_platform_store *store, json_int_t lease)
{
  return (enum holder_)GPOINTER_TO_INT (
      g_hash_table_lookup (store->now.leases, GINT_TO_POINTER ((int)lease)));
}

static json_int_t
grant_lease_ (struct standin_platform_store *store, enum holder_ holder)
{
  json_int_t lease = ++store->now.next_lease;

  g_hash_table_insert (store->now.leases, GINT_TO_POINTER ((int)lease),
                       GINT_TO_POINTER (holder));
  return lease;
}

/* Checks the lease that a client uses.  Returns false if there is none.  */
static bool
check_lease_ (struct standin_platform_store *store, json_int_t lease)
{
  enum holder_ holder = get_holder_ (store, lease);

  store->n_foreign += holder == HOLDER_OTHER;
  return holder != HOLDER_NONE;
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

/* Makes the header line of the era, which may be empty.  */
static char *
make_era_header_ (const struct standin_platform_store *store)
{
  if (store->odd_era != NULL)
    return g_strdup_printf ("Store-Era: %s\r\n", store->odd_era);
  if (store->era < 0)
    return g_strdup ("");
  return g_strdup_printf ("Store-Era: %" JSON_INTEGER_FORMAT "\r\n",
                          store->era);
}

static void
on_return_due_ (uv_timer_t *timer)
{
  standin_platform_store_return (timer->data);
}

/* Sends an answer, or loses it.  Takes ownership of BODY, which may be
   NULL.  */
static void
answer_ (struct connection_ *c, unsigned status, json_t *body)
{
  char *text = body == NULL ? g_strdup ("") : json_dumps (body, 0);
  char *era = make_era_header_ (c->store);
  uv_write_t *request;
  uv_buf_t buf;

  json_decref (body);
  if (c->store->answers_to_return > 0 && --c->store->answers_to_return == 0)
    uv_timer_start (c->store->return_timer, on_return_due_, 0, 0);
  c->mute = c->mute || c->listener->silent
            || g_rand_double (c->store->rand) < c->store->lost_share;
  if (c->mute)
    {
      g_free (era);
      g_free (text);
      return;
    }
  request = g_new0 (uv_write_t, 1);
  request->data = g_strdup_printf ("HTTP/1.1 %u X\r\nContent-Type: "
                                   "application/json\r\n%sContent-Length: "
                                   "%zu\r\n\r\n%s",
                                   status, era, strlen (text), text);
  g_free (era);
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

  for (i = 0; i < store->now.history->len; i++)
    {
      const struct item_ *item = g_ptr_array_index (store->now.history, i);

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
                      store->now.revision));
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

  while (
      at < store->now.items->len
      && compare_keys_ (
             ((struct item_ *)g_ptr_array_index (store->now.items, at))->key,
             key, key_len)
             < 0)
    at++;
  if (at < store->now.items->len
      && compare_keys_ (
             ((struct item_ *)g_ptr_array_index (store->now.items, at))->key,
             key, key_len)
             == 0)
    g_ptr_array_remove_index (store->now.items, at);
  store->now.revision++;
  for (n_copies = 0; n_copies < 2; n_copies++)
    {
      item = g_new0 (struct item_, 1);
      item->key = g_string_new_len (key, (gssize)key_len);
      item->value = g_strdup (value);
      item->revision = store->now.revision;
      item->lease = lease;
      if (n_copies == 0)
        g_ptr_array_add (store->now.history, item);
      else if (value != NULL)
        g_ptr_array_insert (store->now.items, (gint)at, item);
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
serve_range_ (struct connection_ *c, const struct contents_ *contents,
              const char *prefix, const char *after)
{
  json_t *items = json_array ();
  bool more = false;
  size_t after_len = 0;
  GBytes *bytes
      = after == NULL ? NULL : g_uri_unescape_bytes (after, -1, NULL, NULL);
  const char *after_key
      = bytes == NULL ? NULL : g_bytes_get_data (bytes, &after_len);
  guint i;

  for (i = 0; i < contents->items->len; i++)
    {
      const struct item_ *item = g_ptr_array_index (contents->items, i);

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
                      (int)more, "current_rev", contents->revision));
}

/* Answers as before the return.  */
static void
serve_late_range_ (struct connection_ *c, const char *prefix,
                   const char *after)
{
  struct standin_platform_store *store = c->store;

  store->late_answers--;
  store->era--;
  serve_range_ (c, &store->before, prefix, after);
  store->era++;
}

static const struct item_ *
find_item_ (const struct standin_platform_store *store, const char *key)
{
  guint i;

  for (i = 0; i < store->now.items->len; i++)
    {
      const struct item_ *item = g_ptr_array_index (store->now.items, i);

      if (compare_keys_ (item->key, key, strlen (key)) == 0)
        return item;
    }
  return NULL;
}

static void
serve_key_ (struct connection_ *c, const char *escaped)
{
  char *key = g_uri_unescape_string (escaped, NULL);
  const struct item_ *item = find_item_ (c->store, key);

  if (item == NULL)
    answer_ (c, STATUS_NOT_FOUND, NULL);
  else
    answer_ (c, STATUS_OK, make_item_json_ (item));
  g_free (key);
}

static json_int_t
get_revision_ (const struct standin_platform_store *store, const char *key)
{
  const struct item_ *item = find_item_ (store, key);

  return item == NULL ? 0 : item->revision;
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
    json_int_t lease = json_integer_value (json_object_get (row, "lease"));

    if (lease != 0 && !check_lease_ (store, lease))
      {
        json_decref (root);
        answer_ (c, STATUS_NOT_FOUND, NULL);
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
  answer_ (c, STATUS_OK, json_pack ("{s:I}", "revision", store->now.revision));
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
  char *key = get_parameter_ (target, "key");

  if (g_str_has_prefix (target, "/kv-range?"))
    {
      store->counts[STANDIN_CALL_RANGE]++;
      if (store->late_answers > 0)
        serve_late_range_ (c, prefix, after);
      else
        serve_range_ (c, &store->now, prefix, after);
    }
  else if (g_str_has_prefix (target, "/kv-watch?"))
    {
      store->counts[STANDIN_CALL_WATCH]++;
      c->watch_after = (json_int_t)g_ascii_strtoll (after, NULL, 10);
      if (c->watch_after < store->now.forgotten
          || c->watch_after > store->now.revision)
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
               json_pack ("{s:I, s:i}", "lease",
                          grant_lease_ (store, HOLDER_CLIENT), "ttl_ms",
                          10000));
    }
  else if (g_str_has_prefix (target, "/kv-keep/"))
    {
      store->counts[STANDIN_CALL_KEEP]++;
      if (check_lease_ (store,
                        g_ascii_strtoll (strrchr (target, '/') + 1, NULL, 10)))
        answer_ (c, STATUS_OK, json_pack ("{s:i}", "ttl_ms", 10000));
      else
        answer_ (c, STATUS_NOT_FOUND, NULL);
    }
  else if (g_str_has_prefix (target, "/kv-key?"))
    {
      store->counts[STANDIN_CALL_KEY]++;
      serve_key_ (c, key);
    }
  else
    answer_ (c, STATUS_NOT_FOUND, NULL);
  g_free (prefix);
  g_free (after);
  g_free (wait);
  g_free (key);
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
  const struct listener_ *l = listener->data;
  struct standin_platform_store *store = l->store;
  struct connection_ *c = g_new0 (struct connection_, 1);

  c->store = store;
  c->listener = l;
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

static struct listener_ *
new_listener_ (struct standin_platform_store *store)
{
  struct listener_ *l = g_new0 (struct listener_, 1);
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  l->store = store;
  uv_tcp_init (store->loop, &l->tcp);
  l->tcp.data = l;
  g_assert_cmpint (uv_tcp_bind (&l->tcp, (struct sockaddr *)&addr, 0), ==, 0);
  g_assert_cmpint (uv_listen ((uv_stream_t *)&l->tcp, BACKLOG, on_connection_),
                   ==, 0);
  return l;
}

struct standin_platform_store *
standin_platform_store_new (uv_loop_t *loop, uint32_t seed)
{
  struct standin_platform_store *store
      = g_new0 (struct standin_platform_store, 1);
  int i;

  store->loop = loop;
  store->rand = g_rand_new_with_seed (seed);
  store->era = -1;
  store->now = (struct contents_){
    .revision = FIRST_REVISION,
    .items = g_ptr_array_new_with_free_func (free_item_),
    .history = g_ptr_array_new_with_free_func (free_item_),
    .leases = g_hash_table_new (g_direct_hash, g_direct_equal)
  };
  store->connections = g_ptr_array_new ();
  store->return_timer = g_new0 (uv_timer_t, 1);
  uv_timer_init (loop, store->return_timer);
  store->return_timer->data = store;
  for (i = 0; i < STANDIN_PORTS; i++)
    store->listeners[i] = new_listener_ (store);
  return store;
}

static void
free_timer_ (uv_handle_t *handle)
{
  g_free (handle);
}

static void
free_listener_ (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
close_all_connections_ (struct standin_platform_store *store)
{
  while (store->connections->len > 0)
    close_connection_ (g_ptr_array_index (store->connections, 0));
}

void
standin_platform_store_delete (struct standin_platform_store *store)
{
  int i;

  close_all_connections_ (store);
  uv_close ((uv_handle_t *)store->return_timer, free_timer_);
  for (i = 0; i < STANDIN_PORTS; i++)
    uv_close ((uv_handle_t *)&store->listeners[i]->tcp, free_listener_);
  free_contents_ (&store->now);
  free_contents_ (&store->copy);
  free_contents_ (&store->before);
  g_ptr_array_unref (store->connections);
  g_rand_free (store->rand);
  g_free (store);
}

uint16_t
standin_platform_store_get_nth_port (const struct standin_platform_store *s,
                                     unsigned n)
{
  struct sockaddr_in addr;
  int len = sizeof addr;

  g_assert_cmpint (uv_tcp_getsockname (&s->listeners[n]->tcp,
                                       (struct sockaddr *)&addr, &len),
                   ==, 0);
  return ntohs (addr.sin_port);
}

uint16_t
standin_platform_store_get_port (const struct standin_platform_store *store)
{
  return standin_platform_store_get_nth_port (store, 0);
}

void
standin_platform_store_set_port_silent (struct standin_platform_store *s,
                                        unsigned n, bool silent)
{
  s->listeners[n]->silent = silent;
}

void
standin_platform_store_set_era (struct standin_platform_store *store,
                                int64_t era)
{
  store->era = era;
}

void
standin_platform_store_set_odd_era (struct standin_platform_store *store,
                                    const char *text)
{
  store->odd_era = text;
}

void
standin_platform_store_copy (struct standin_platform_store *store)
{
  free_contents_ (&store->copy);
  store->copy = copy_contents_ (&store->now);
}

void
standin_platform_store_return (struct standin_platform_store *store)
{
  close_all_connections_ (store);
  free_contents_ (&store->before);
  store->before = store->now;
  store->now = copy_contents_ (&store->copy);
  if (store->era >= 0)
    store->era++;
}

void
standin_platform_store_return_after (struct standin_platform_store *store,
                                     unsigned n_answers)
{
  store->answers_to_return = n_answers;
}

void
standin_platform_store_answer_late (struct standin_platform_store *store,
                                    unsigned n_answers)
{
  store->late_answers = n_answers;
}

int64_t
standin_platform_store_take_lease (struct standin_platform_store *store)
{
  return grant_lease_ (store, HOLDER_OTHER);
}

unsigned
standin_platform_store_count_foreign_leases (
    const struct standin_platform_store *store)
{
  return store->n_foreign;
}

unsigned
standin_platform_store_count_client_leases (
    const struct standin_platform_store *store)
{
  GHashTableIter iter;
  void *holder;
  unsigned n = 0;

  g_hash_table_iter_init (&iter, store->now.leases);
  while (g_hash_table_iter_next (&iter, NULL, &holder))
    n += GPOINTER_TO_INT (holder) == HOLDER_CLIENT;
  return n;
}

int64_t
standin_platform_store_get_lease (const struct standin_platform_store *store,
                                  const char *key)
{
  const struct item_ *item = find_item_ (store, key);

  return item == NULL ? 0 : item->lease;
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
  store->now.forgotten = store->now.revision;
  g_ptr_array_set_size (store->now.history, 0);
}

const char *
standin_platform_store_get (const struct standin_platform_store *store,
                            const char *key)
{
  const struct item_ *item = find_item_ (store, key);

  return item == NULL ? NULL : item->value;
}

unsigned
standin_platform_store_count (const struct standin_platform_store *store,
                              enum standin_call call)
{
  return store->counts[call];
}
