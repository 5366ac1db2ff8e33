#include "rig.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* The platform's store, with the calls that the programs use.  */

#define MAX_ITEMS 64
#define MAX_CHANGES 4096
#define MAX_CONNECTIONS 64
#define KEY_BYTES 200
#define VALUE_BYTES 8192
#define BUFFER_BYTES (256 * 1024)
#define LEASE_MS 10000

struct item_
{
  char key[KEY_BYTES];
  char *value; /* Base64; NULL: deleted.  */
  int64_t revision;
  int64_t created;
  int64_t lease;
};

struct lease_
{
  int64_t id;
  int64_t end_ms;
};

struct connection_
{
  struct rig_source *source; /* NULL: unused.  */
  char in[BUFFER_BYTES / 4];
  size_t in_len;
  char answer[BUFFER_BYTES];
  int64_t answer_at_ms;         /* 0: no answer is due.  */
  char watch_prefix[KEY_BYTES]; /* Empty: no watch waits.  */
  int64_t watch_after;
  int64_t watch_end_ms;
};

static struct item_ items_[MAX_ITEMS];
static struct item_ changes_[MAX_CHANGES];
static int n_changes_;
static struct lease_ leases_[MAX_ITEMS];
static int64_t next_lease_ = 77000;
static int64_t revision_ = 400;
static int delay_ms_ = 4;
static struct connection_ connections_[MAX_CONNECTIONS];

static struct item_ *
find_item_ (const char *key)
{
  int i;

  for (i = 0; i < MAX_ITEMS; i++)
    if (items_[i].value != NULL && strcmp (items_[i].key, key) == 0)
      return &items_[i];
  return NULL;
}

/* Writes a key at the present revision; VALUE is base64, NULL deletes.  */
static void
change_ (const char *key, const char *value, int64_t lease)
{
  struct item_ *item = find_item_ (key);
  int i;

  if (n_changes_ < MAX_CHANGES)
    {
      struct item_ *change = &changes_[n_changes_++];

      snprintf (change->key, KEY_BYTES, "%s", key);
      change->value = value == NULL ? NULL : strdup (value);
      change->revision = revision_;
      change->created = item == NULL ? revision_ : item->created;
      change->lease = lease;
    }
  if (value == NULL && item != NULL)
    {
      free (item->value);
      item->value = NULL;
    }
  if (value == NULL)
    return;
  for (i = 0; item == NULL && i < MAX_ITEMS; i++)
    if (items_[i].value == NULL)
      {
        item = &items_[i];
        item->created = revision_;
        snprintf (item->key, KEY_BYTES, "%s", key);
      }
  if (item == NULL)
    return;
  free (item->value);
  item->value = strdup (value);
  item->revision = revision_;
  item->lease = lease;
}

static void
encode_base64_ (const char *in, char *out)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t len = strlen (in);
  size_t i;

  for (i = 0; i < len; i += 3)
    {
      unsigned bits = (unsigned)(unsigned char)in[i] << 16;

      if (i + 1 < len)
        bits |= (unsigned)(unsigned char)in[i + 1] << 8;
      if (i + 2 < len)
        bits |= (unsigned char)in[i + 2];
      *out++ = digits[bits >> 18 & 63];
      *out++ = digits[bits >> 12 & 63];
      *out++ = '=';
      *out++ = '=';
      if (i + 1 < len)
        out[-2] = digits[bits >> 6 & 63];
      if (i + 2 < len)
        out[-1] = digits[bits & 63];
    }
  *out = '\0';
}

void
rig_store_put (const char *key, const char *value)
{
  char encoded[VALUE_BYTES * 2];

  encode_base64_ (value, encoded);
  revision_++;
  change_ (key, encoded, 0);
  rig_record ("store put %s revision=%lld", key, (long long)revision_);
}

void
rig_store_delete (const char *key)
{
  revision_++;
  change_ (key, NULL, 0);
  rig_record ("store delete %s revision=%lld", key, (long long)revision_);
}

/* Answers.  */

static size_t
append_item_ (char *out, size_t size, const struct item_ *item)
{
  int n;

  if (item->value == NULL)
    n = snprintf (out, size,
                  "{\"key\":\"%s\",\"revision\":%lld,\"tombstone\":true}",
                  item->key, (long long)item->revision);
  else
    n = snprintf (out, size,
                  "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lld,"
                  "\"create_rev\":%lld,\"lease\":%lld}",
                  item->key, item->value, (long long)item->revision,
                  (long long)item->created, (long long)item->lease);
  return (size_t)n;
}

/* Lists the items with the prefix and a later revision.  */
static size_t
append_items_ (char *out, size_t size, const struct item_ *items, int count,
               bool with_deleted, const char *prefix, int64_t after)
{
  size_t len = 0;
  int i;

  for (i = 0; i < count; i++)
    {
      if ((items[i].value == NULL && !with_deleted)
          || strncmp (items[i].key, prefix, strlen (prefix)) != 0
          || items[i].revision <= after)
        continue;
      if (len > 0)
        out[len++] = ',';
      len += append_item_ (out + len, size - len, &items[i]);
    }
  out[len] = '\0';
  return len;
}

static void
set_answer_ (struct connection_ *c, int status, const char *body)
{
  snprintf (c->answer, BUFFER_BYTES,
            "HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            status, strlen (body), body);
  c->answer_at_ms = rig_now_ms + delay_ms_;
  c->watch_prefix[0] = '\0';
}

void
rig_store_set_delay (int ms)
{
  delay_ms_ = ms;
  rig_record ("store answers in %d ms", ms);
}

/* Answers a watch if there is something to tell, or if its time is over.  */
static void
advance_watch_ (struct connection_ *c)
{
  static char body[BUFFER_BYTES];
  size_t len = (size_t)snprintf (body, BUFFER_BYTES, "{\"events\":[");
  size_t events
      = append_items_ (body + len, BUFFER_BYTES - len - 64, changes_,
                       n_changes_, true, c->watch_prefix, c->watch_after);

  if (events == 0 && rig_now_ms < c->watch_end_ms)
    return;
  len += events;
  snprintf (body + len, BUFFER_BYTES - len, "],\"current_rev\":%lld}",
            (long long)revision_);
  set_answer_ (c, 200, body);
}

/* Reads a parameter of the target; keys have no characters to unescape.  */
static bool
get_parameter_ (const char *target, const char *name, char *out, size_t size)
{
  const char *at = strchr (target, '?');
  size_t len = strlen (name);
  size_t n = 0;

  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, len) == 0 && at[len] == '=')
        {
          for (at += len + 1;
               *at != '\0' && *at != '&' && *at != ' ' && n + 1 < size; at++)
            out[n++] = *at;
          out[n] = '\0';
          return true;
        }
      at = strchr (at, '&');
    }
  out[0] = '\0';
  return false;
}

/* Copies the text of a field of the object at AT, up to END.  */
static bool
get_text_ (const char *at, const char *end, const char *name, char *out,
           size_t size)
{
  char pattern[64];
  const char *found;
  size_t n = 0;

  snprintf (pattern, sizeof pattern, "\"%s\":", name);
  found = strstr (at, pattern);
  out[0] = '\0';
  if (found == NULL || found >= end)
    return false;
  found += strlen (pattern);
  while (*found == ' ' || *found == '"')
    found++;
  while (*found != '"' && *found != ',' && *found != '}' && n + 1 < size)
    out[n++] = *found++;
  out[n] = '\0';
  return true;
}

/* Finds the objects of the list NAME.  The values have no brackets.  */
static const char *
find_list_ (const char *body, const char *name, const char **end)
{
  char pattern[64];
  const char *at;

  snprintf (pattern, sizeof pattern, "\"%s\":", name);
  at = strstr (body, pattern);
  if (at == NULL)
    return NULL;
  at = strchr (at, '[');
  *end = at == NULL ? NULL : strchr (at, ']');
  return *end == NULL ? NULL : at;
}

static bool
has_lease_ (int64_t id)
{
  int i;

  for (i = 0; i < MAX_ITEMS; i++)
    if (id != 0 && leases_[i].id == id)
      return true;
  return false;
}

static bool
meets_conditions_ (const char *body)
{
  const char *end = NULL;
  const char *at = find_list_ (body, "expect", &end);

  while (at != NULL && (at = strchr (at, '{')) != NULL && at < end)
    {
      const char *close = strchr (at, '}');
      char key[KEY_BYTES];
      char revision[32];
      const struct item_ *item;

      (void)get_text_ (at, close, "key", key, sizeof key);
      (void)get_text_ (at, close, "revision", revision, sizeof revision);
      item = find_item_ (key);
      if ((item == NULL ? 0 : item->revision) != strtoll (revision, NULL, 10))
        return false;
      at = close;
    }
  return true;
}

static void
run_transaction_ (struct connection_ *c, const char *body)
{
  static char value[VALUE_BYTES * 4];
  const char *end = NULL;
  const char *at = find_list_ (body, "writes", &end);
  char answer[64];

  if (!meets_conditions_ (body))
    {
      set_answer_ (c, 412, "{\"items\":[]}");
      return;
    }
  revision_++;
  while (at != NULL && (at = strchr (at, '{')) != NULL && at < end)
    {
      const char *close = strchr (at, '}');
      char key[KEY_BYTES];
      char lease[32];

      (void)get_text_ (at, close, "key", key, sizeof key);
      (void)get_text_ (at, close, "lease", lease, sizeof lease);
      (void)get_text_ (at, close, "value", value, sizeof value);
      if (strtoll (lease, NULL, 10) != 0
          && !has_lease_ (strtoll (lease, NULL, 10)))
        {
          set_answer_ (c, 404, "{}");
          return;
        }
      change_ (key, value, strtoll (lease, NULL, 10));
      at = close;
    }
  snprintf (answer, sizeof answer, "{\"revision\":%lld}",
            (long long)revision_);
  set_answer_ (c, 200, answer);
}

static void
grant_lease_ (struct connection_ *c)
{
  char answer[64];
  int i;

  for (i = 0; i < MAX_ITEMS && leases_[i].id != 0; i++)
    continue;
  if (i == MAX_ITEMS)
    {
      set_answer_ (c, 503, "{}");
      return;
    }
  leases_[i] = (struct lease_){ .id = ++next_lease_,
                                .end_ms = rig_now_ms + LEASE_MS };
  snprintf (answer, sizeof answer, "{\"lease\":%lld,\"ttl_ms\":%d}",
            (long long)next_lease_, LEASE_MS);
  set_answer_ (c, 200, answer);
}

static void
renew_lease_ (struct connection_ *c, int64_t id)
{
  int i;

  for (i = 0; i < MAX_ITEMS; i++)
    if (id != 0 && leases_[i].id == id)
      {
        leases_[i].end_ms = rig_now_ms + LEASE_MS;
        set_answer_ (c, 200, "{\"ttl_ms\":10000}");
        return;
      }
  set_answer_ (c, 404, "{}");
}

static void
answer_range_ (struct connection_ *c, const char *prefix)
{
  static char body[BUFFER_BYTES];
  size_t len = (size_t)snprintf (body, BUFFER_BYTES, "{\"items\":[");

  len += append_items_ (body + len, BUFFER_BYTES - len - 64, items_, MAX_ITEMS,
                        false, prefix, 0);
  snprintf (body + len, BUFFER_BYTES - len,
            "],\"more_pages\":false,\"current_rev\":%lld}",
            (long long)revision_);
  set_answer_ (c, 200, body);
}

static void
answer_key_ (struct connection_ *c, const char *key)
{
  static char body[BUFFER_BYTES];
  const struct item_ *item = find_item_ (key);

  if (item == NULL)
    {
      set_answer_ (c, 404, "{}");
      return;
    }
  (void)append_item_ (body, BUFFER_BYTES, item);
  set_answer_ (c, 200, body);
}

static void
run_request_ (struct connection_ *c, const char *target, const char *body)
{
  char text[KEY_BYTES];

  if (strncmp (target, "/kv-range?", 10) == 0)
    {
      (void)get_parameter_ (target, "prefix", text, sizeof text);
      answer_range_ (c, text);
    }
  else if (strncmp (target, "/kv-key?", 8) == 0)
    {
      (void)get_parameter_ (target, "key", text, sizeof text);
      answer_key_ (c, text);
    }
  else if (strncmp (target, "/kv-watch?", 10) == 0)
    {
      (void)get_parameter_ (target, "after", text, sizeof text);
      c->watch_after = strtoll (text, NULL, 10);
      (void)get_parameter_ (target, "wait_ms", text, sizeof text);
      c->watch_end_ms = rig_now_ms + strtoll (text, NULL, 10);
      (void)get_parameter_ (target, "prefix", c->watch_prefix, KEY_BYTES);
      advance_watch_ (c);
    }
  else if (strncmp (target, "/kv-lease ", 10) == 0)
    grant_lease_ (c);
  else if (strncmp (target, "/kv-keep/", 9) == 0)
    renew_lease_ (c, strtoll (target + 9, NULL, 10));
  else if (strncmp (target, "/kv-txn", 7) == 0)
    run_transaction_ (c, body);
  else
    set_answer_ (c, 404, "{}");
}

/* Connections.  */

static void
close_connection_ (struct connection_ *c)
{
  rig_source_close (c->source);
  c->source = NULL;
}

static void
on_request_ (struct rig_source *source, short events)
{
  struct connection_ *c = source->ctx;
  ssize_t n
      = recv (source->fd, c->in + c->in_len, sizeof c->in - 1 - c->in_len, 0);
  const char *head_end;
  const char *length;
  const char *target;
  size_t body_len;

  (void)events;
  if (n <= 0)
    {
      close_connection_ (c);
      return;
    }
  c->in_len += (size_t)n;
  c->in[c->in_len] = '\0';
  head_end = strstr (c->in, "\r\n\r\n");
  if (head_end == NULL)
    return;
  length = strstr (c->in, "\r\nContent-Length:");
  body_len = length == NULL || length > head_end
                 ? 0
                 : (size_t)strtoul (length + 17, NULL, 10);
  if (c->in_len < (size_t)(head_end + 4 - c->in) + body_len)
    return;
  target = strchr (c->in, ' ');
  if (target == NULL)
    {
      close_connection_ (c);
      return;
    }
  run_request_ (c, target + 1, head_end + 4);
  c->in_len = 0;
}

static void
on_connection_ (struct rig_source *source, short events)
{
  int fd = accept (source->fd, NULL, NULL);
  int i;

  (void)events;
  for (i = 0; i < MAX_CONNECTIONS && connections_[i].source != NULL; i++)
    continue;
  if (fd < 0 || i == MAX_CONNECTIONS)
    return;
  connections_[i].in_len = 0;
  connections_[i].answer_at_ms = 0;
  connections_[i].watch_prefix[0] = '\0';
  connections_[i].source
      = rig_source_add (fd, POLLIN, on_request_, &connections_[i]);
}

void
rig_store_start (void)
{
  int fd = rig_tcp_listen (RIG_STORE_IP, RIG_STORE_PORT);

  if (fd < 0)
    {
      fprintf (stderr, "the store's address is in use\n");
      exit (2);
    }
  (void)rig_source_add (fd, POLLIN, on_connection_, NULL);
}

static void
end_lease_ (struct lease_ *lease)
{
  int i;

  for (i = 0; i < MAX_ITEMS; i++)
    if (items_[i].value != NULL && items_[i].lease == lease->id)
      {
        char key[KEY_BYTES];

        memcpy (key, items_[i].key, sizeof key);
        revision_++;
        change_ (key, NULL, 0);
      }
  lease->id = 0;
}

void
rig_store_tick (void)
{
  int i;

  for (i = 0; i < MAX_ITEMS; i++)
    if (leases_[i].id != 0 && rig_now_ms >= leases_[i].end_ms)
      end_lease_ (&leases_[i]);
  for (i = 0; i < MAX_CONNECTIONS; i++)
    {
      struct connection_ *c = &connections_[i];

      if (c->source == NULL)
        continue;
      if (c->watch_prefix[0] != '\0')
        advance_watch_ (c);
      if (c->answer_at_ms == 0 || rig_now_ms < c->answer_at_ms)
        continue;
      c->answer_at_ms = 0;
      (void)send (c->source->fd, c->answer, strlen (c->answer), MSG_NOSIGNAL);
    }
}
