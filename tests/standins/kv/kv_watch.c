#include "kv_watch.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#define READER_BLOCK_BYTES 16384

/* Queues a line and takes ownership of RESULT.  */
static void
append_line_ (struct kv_watch *watch, json_t *result)
{
  json_t *line = json_pack ("{s:o}", "result", result);
  char *text = json_dumps (line, JSON_COMPACT);

  g_string_append (watch->pending, text);
  g_string_append_c (watch->pending, '\n');
  free (text);
  json_decref (line);
}

struct kv_watch *
kv_watch_new (const struct kv_store *store, const json_t *body,
              bool events_suppressed, struct MHD_Connection *connection)
{
  const json_t *create = json_object_get (body, "create_request");
  uint64_t start = kv_api_get_u64 (create, "start_revision");
  struct kv_watch *watch = g_new0 (struct kv_watch, 1);
  json_t *result;

  if (!kv_api_parse_interval (create, &watch->interval))
    {
      g_free (watch);
      return NULL;
    }
  watch->connection = connection;
  watch->pending = g_string_new (NULL);
  watch->events_suppressed = events_suppressed;
  watch->next_revision = start != 0 ? start : store->revision + 1;
  append_line_ (watch, json_pack ("{s:o, s:b}", "header",
                                  kv_api_build_header (store), "created", 1));
  if (start == 0 || start > store->compacted_revision)
    return watch;
  result
      = json_pack ("{s:o, s:b, s:s}", "header", kv_api_build_header (store),
                   "canceled", 1, "cancel_reason",
                   "etcdserver: mvcc: required revision has been compacted");
  json_object_set_new (
      result, "compact_revision",
      json_sprintf ("%llu", (unsigned long long)store->compacted_revision));
  append_line_ (watch, result);
  watch->ended = true;
  return watch;
}

void
kv_watch_delete (struct kv_watch *watch)
{
  if (watch == NULL)
    return;
  kv_interval_finish (&watch->interval);
  g_string_free (watch->pending, TRUE);
  g_free (watch);
}

/* Called by libmicrohttpd when it can send: passes on the queued lines, or
   suspends the connection until there are any.  */
static ssize_t
read_pending_lines_ (void *ctx, uint64_t pos, char *buf, size_t max)
{
  struct kv_watch *watch = ctx;
  size_t len = MIN (max, watch->pending->len);

  (void)pos;
  if (len > 0)
    {
      memcpy (buf, watch->pending->str, len);
      g_string_erase (watch->pending, 0, (gssize)len);
      return (ssize_t)len;
    }
  if (watch->ended)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  watch->suspended = true;
  MHD_suspend_connection (watch->connection);
  return 0;
}

struct MHD_Response *
kv_watch_get_response (struct kv_watch *watch)
{
  return MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, READER_BLOCK_BYTES, read_pending_lines_, watch, NULL);
}

static void
queue_events_ (struct kv_watch *watch, const struct kv_store *store)
{
  const struct kv_pair *pair;
  json_t *events;
  unsigned i;

  if (watch->events_suppressed || watch->next_revision > store->revision)
    return;
  events = json_array ();
  for (i = 0; i < store->events->len; i++)
    {
      pair = g_ptr_array_index (store->events, i);
      if (pair->mod_revision >= watch->next_revision
          && kv_interval_contains (&watch->interval, pair->key))
        json_array_append_new (events, kv_api_build_event (pair));
    }
  watch->next_revision = store->revision + 1;
  if (json_array_size (events) == 0)
    json_decref (events);
  else
    append_line_ (watch,
                  json_pack ("{s:o, s:o}", "header",
                             kv_api_build_header (store), "events", events));
}

/* Checks the socket of a suspended connection, which libmicrohttpd does not
   poll.  */
static bool
is_closed_by_peer_ (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  char byte;
  ssize_t n;

  if (info == NULL)
    return true;
  n = recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void
kv_watch_update (struct kv_watch *watch, const struct kv_store *store)
{
  if (watch->suspended)
    watch->ended |= is_closed_by_peer_ (watch->connection);
  if (!watch->ended)
    queue_events_ (watch, store);
  if (watch->ended || watch->pending->len > 0)
    kv_watch_resume (watch);
}

void
kv_watch_resume (struct kv_watch *watch)
{
  if (!watch->suspended)
    return;
  watch->suspended = false;
  MHD_resume_connection (watch->connection);
}
