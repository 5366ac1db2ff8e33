#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 64
#define READ_BYTES 65536

/* Server.  */

struct listener_
{
  rig_request_fn fn;
  guint watch;
  int fd;
};

struct rig_connection
{
  struct listener_ *listener;
  int fd;
  guint watch;
  GString *in;
  GString *out;
  guint out_watch;
  bool muted;
  void (*on_close) (struct rig_connection *connection);
};

static GPtrArray *listeners_; /* struct listener_, owned.  */

static void
close_connection_ (struct rig_connection *c)
{
  if (c->on_close != NULL)
    c->on_close (c);
  if (c->watch != 0)
    g_source_remove (c->watch);
  if (c->out_watch != 0)
    g_source_remove (c->out_watch);
  close (c->fd);
  g_string_free (c->in, TRUE);
  g_string_free (c->out, TRUE);
  g_free (c);
}

/* Writes what the socket takes.  Returns false after an error.  */
static bool
flush_ (struct rig_connection *c)
{
  while (c->out->len > 0)
    {
      ssize_t n = send (c->fd, c->out->str, c->out->len, MSG_NOSIGNAL);

      if (n < 0)
        return errno == EAGAIN;
      g_string_erase (c->out, 0, n);
    }
  return true;
}

static gboolean
on_writable_ (gint fd, GIOCondition condition, gpointer data)
{
  struct rig_connection *c = data;

  (void)fd;
  (void)condition;
  if (flush_ (c) && c->out->len > 0)
    return G_SOURCE_CONTINUE;
  c->out_watch = 0;
  return G_SOURCE_REMOVE;
}

void
rig_http_answer (struct rig_connection *c, unsigned status, const char *body)
{
  c->on_close = NULL;
  if (c->muted)
    return;
  g_string_append_printf (c->out,
                          "HTTP/1.1 %u %s\r\nContent-Type: application/json"
                          "\r\nContent-Length: %zu\r\n\r\n%s",
                          status, status == 200 ? "OK" : "Other",
                          strlen (body), body);
  if (flush_ (c) && c->out->len > 0 && c->out_watch == 0)
    c->out_watch = g_unix_fd_add (c->fd, G_IO_OUT, on_writable_, c);
}

void
rig_http_mute (struct rig_connection *c)
{
  c->on_close = NULL;
  c->muted = true;
}

void
rig_http_on_close (struct rig_connection *c,
                   void (*fn) (struct rig_connection *connection))
{
  c->on_close = fn;
}

/* Length of the body that the head of a message announces.  */
static size_t
get_body_length_ (const char *head)
{
  char *lower = g_ascii_strdown (head, -1);
  const char *field = strstr (lower, "content-length:");
  size_t len = field == NULL ? 0 : strtoul (field + 15, NULL, 10);

  g_free (lower);
  return len;
}

/* Takes one request from the buffer.  Returns false if it isn't complete.  */
static bool
take_request_ (struct rig_connection *c)
{
  char *end = strstr (c->in->str, "\r\n\r\n");
  char *head;
  char **words;
  char *body;
  size_t head_len;
  size_t body_len;

  if (end == NULL)
    return false;
  head_len = (size_t)(end - c->in->str) + 4;
  head = g_strndup (c->in->str, head_len);
  body_len = get_body_length_ (head);
  if (c->in->len < head_len + body_len)
    {
      g_free (head);
      return false;
    }
  body = g_strndup (c->in->str + head_len, body_len);
  g_string_erase (c->in, 0, (gssize)(head_len + body_len));
  words = g_strsplit (head, " ", 3);
  if (g_strv_length (words) == 3 && !c->muted)
    c->listener->fn (c, words[0], words[1], body);
  g_strfreev (words);
  g_free (body);
  g_free (head);
  return true;
}

static gboolean
on_readable_ (gint fd, GIOCondition condition, gpointer data)
{
  struct rig_connection *c = data;
  char buffer[READ_BYTES];
  ssize_t n = read (fd, buffer, sizeof buffer);

  (void)condition;
  if (n < 0 && errno == EAGAIN)
    return G_SOURCE_CONTINUE;
  if (n <= 0)
    {
      c->watch = 0;
      close_connection_ (c);
      return G_SOURCE_REMOVE;
    }
  g_string_append_len (c->in, buffer, n);
  while (take_request_ (c))
    continue;
  return G_SOURCE_CONTINUE;
}

static gboolean
on_connection_ (gint fd, GIOCondition condition, gpointer data)
{
  struct listener_ *listener = data;
  struct rig_connection *c;
  int accepted = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)condition;
  if (accepted < 0)
    return G_SOURCE_CONTINUE;
  c = g_new0 (struct rig_connection, 1);
  c->listener = listener;
  c->fd = accepted;
  c->in = g_string_new (NULL);
  c->out = g_string_new (NULL);
  c->watch = g_unix_fd_add (accepted, G_IO_IN | G_IO_HUP, on_readable_, c);
  return G_SOURCE_CONTINUE;
}

int
rig_http_listen (uint32_t ip, uint16_t port, rig_request_fn fn)
{
  struct listener_ *listener = g_new0 (struct listener_, 1);

  listener->fd = rig_bind (SOCK_STREAM, ip, port);
  if (listener->fd < 0 || listen (listener->fd, BACKLOG) != 0)
    rig_cannot_run ("cannot listen");
  listener->fn = fn;
  listener->watch
      = g_unix_fd_add (listener->fd, G_IO_IN, on_connection_, listener);
  if (listeners_ == NULL)
    listeners_ = g_ptr_array_new ();
  g_ptr_array_add (listeners_, listener);
  return listener->fd;
}

void
rig_http_stop (int descriptor)
{
  guint i;

  for (i = 0; i < listeners_->len; i++)
    {
      struct listener_ *listener = g_ptr_array_index (listeners_, i);

      if (listener->fd != descriptor)
        continue;
      g_source_remove (listener->watch);
      close (listener->fd);
      listener->fd = -1;
      return;
    }
}

/* Client: one call on a connection of its own.  */

struct call_
{
  int fd;
  guint watch;
  guint timer;
  GString *out;
  GString *in;
  rig_answer_fn fn;
  void *ctx;
};

static void
finish_call_ (struct call_ *call, unsigned status)
{
  rig_answer_fn fn = call->fn;
  void *ctx = call->ctx;

  if (call->watch != 0)
    g_source_remove (call->watch);
  if (call->timer != 0)
    g_source_remove (call->timer);
  if (call->fd >= 0)
    close (call->fd);
  g_string_free (call->out, TRUE);
  g_string_free (call->in, TRUE);
  g_free (call);
  fn (status, ctx);
}

static gboolean
on_call_timeout_ (gpointer data)
{
  struct call_ *call = data;

  call->timer = 0;
  finish_call_ (call, 0);
  return G_SOURCE_REMOVE;
}

static gboolean
on_call_readable_ (gint fd, GIOCondition condition, gpointer data)
{
  struct call_ *call = data;
  char buffer[READ_BYTES];
  ssize_t n = read (fd, buffer, sizeof buffer);
  const char *end;
  unsigned status = 0;

  (void)condition;
  if (n < 0 && errno == EAGAIN)
    return G_SOURCE_CONTINUE;
  if (n > 0)
    g_string_append_len (call->in, buffer, n);
  end = strstr (call->in->str, "\r\n\r\n");
  if (end != NULL && g_str_has_prefix (call->in->str, "HTTP/1.1 "))
    status = (unsigned)strtoul (call->in->str + 9, NULL, 10);
  if (n > 0
      && (end == NULL
          || call->in->len < (size_t)(end - call->in->str) + 4
                                 + get_body_length_ (call->in->str)))
    return G_SOURCE_CONTINUE;
  call->watch = 0;
  finish_call_ (call, status);
  return G_SOURCE_REMOVE;
}

static gboolean
on_call_connected_ (gint fd, GIOCondition condition, gpointer data)
{
  struct call_ *call = data;
  int error = 0;
  socklen_t len = sizeof error;

  (void)condition;
  call->watch = 0;
  getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len);
  if (error != 0
      || send (fd, call->out->str, call->out->len, MSG_NOSIGNAL)
             != (ssize_t)call->out->len)
    {
      finish_call_ (call, 0);
      return G_SOURCE_REMOVE;
    }
  call->watch
      = g_unix_fd_add (fd, G_IO_IN | G_IO_HUP, on_call_readable_, call);
  return G_SOURCE_REMOVE;
}

void
rig_http_call (uint32_t ip, uint16_t port, const char *method,
               const char *target, const char *body, unsigned timeout_ms,
               rig_answer_fn fn, void *ctx)
{
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_port = htons (port),
                            .sin_addr.s_addr = htonl (ip) };
  struct call_ *call = g_new0 (struct call_, 1);

  call->fn = fn;
  call->ctx = ctx;
  call->in = g_string_new (NULL);
  call->out = g_string_new (NULL);
  g_string_append_printf (call->out,
                          "%s %s HTTP/1.1\r\nHost: %s:%u\r\nContent-Type: "
                          "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                          method, target, rig_ip_text (ip), port,
                          strlen (body), body);
  call->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  call->timer = g_timeout_add (timeout_ms, on_call_timeout_, call);
  if (call->fd >= 0
      && (connect (call->fd, (struct sockaddr *)&in, sizeof in) == 0
          || errno == EINPROGRESS))
    call->watch = g_unix_fd_add (call->fd, G_IO_OUT, on_call_connected_, call);
}
