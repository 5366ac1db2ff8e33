#include "ragwortyoke-io/sync.h"

#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

#include "ragwortyoke-io/log.h"

/* Frames of a request: an empty delimiter and the request itself.  An answer
   is an empty delimiter and any number of frames; the delimiter allows an
   answer without frames.  */
#define REQUEST_FRAME_COUNT 2

/* Limit of the messages queued for one connection.  A client has only one
   request in progress; only a faulty client queues more.  */
#define SERVER_QUEUE_MAX_MESSAGES 8

/* Limit of the requests served in one turn of the loop, so that many requests
   do not delay datagrams and timers.  */
#define SERVE_BATCH 16

/* A ZeroMQ socket on the loop.  ZMQ_FD is edge-triggered: it becomes readable
   once when ZMQ_EVENTS may have changed, and every call on the socket may
   consume that signal.  ZMQ_EVENTS is therefore read after every call until no
   event is left, and the idle handle runs the handler again when the handler
   stops earlier.  */
struct socket_
{
  void *zmq;
  uv_poll_t poll;
  uv_idle_t resume_idle;
  unsigned open_handles;
  void (*on_readable) (struct socket_ *s);
  void (*on_closed) (struct socket_ *s); /* Frees the owner of the socket.  */
};

static void
socket_on_poll_ (uv_poll_t *poll, int status, int events)
{
  struct socket_ *s = poll->data;

  (void)status;
  (void)events;
  s->on_readable (s);
}

static void
socket_on_resume_ (uv_idle_t *idle)
{
  struct socket_ *s = idle->data;

  uv_idle_stop (idle);
  s->on_readable (s);
}

static bool
socket_is_readable_ (struct socket_ *s)
{
  int events = 0;
  size_t len = sizeof events;

  return zmq_getsockopt (s->zmq, ZMQ_EVENTS, &events, &len) == 0
         && (events & ZMQ_POLLIN) != 0;
}

/* Runs the handler in the next turn of the loop if the socket is readable.
   Must be called after calls on the socket outside its handler.  */
static void
socket_resume_if_readable_ (struct socket_ *s)
{
  if (socket_is_readable_ (s))
    uv_idle_start (&s->resume_idle, socket_on_resume_);
}

static bool
set_int_option_ (void *zmq, int option, int value)
{
  return zmq_setsockopt (zmq, option, &value, sizeof value) == 0;
}

/* Creates the ZeroMQ socket without libuv handles.  Returns false on failure,
   after which nothing is open.  */
static bool
socket_open_ (struct socket_ *s, void *context, int type)
{
  int64_t max = RGY_SYNC_MAX_FRAME_BYTES;

  s->zmq = zmq_socket (context, type);
  if (s->zmq == NULL)
    return false;
  if (set_int_option_ (s->zmq, ZMQ_LINGER, 0)
      && zmq_setsockopt (s->zmq, ZMQ_MAXMSGSIZE, &max, sizeof max) == 0)
    return true;
  zmq_close (s->zmq);
  s->zmq = NULL;
  return false;
}

/* Watches an open socket on the loop.  Returns false on failure, after which
   no handle is open.  */
static bool
socket_watch_ (struct socket_ *s, uv_loop_t *loop)
{
  size_t len;
  int fd;

  len = sizeof fd;
  if (zmq_getsockopt (s->zmq, ZMQ_FD, &fd, &len) != 0
      || uv_poll_init (loop, &s->poll, fd) != 0)
    return false;
  uv_idle_init (loop, &s->resume_idle);
  s->poll.data = s;
  s->resume_idle.data = s;
  s->open_handles = 2;
  uv_poll_start (&s->poll, UV_READABLE, socket_on_poll_);
  return true;
}

static void
socket_on_handle_closed_ (uv_handle_t *handle)
{
  struct socket_ *s = handle->data;

  s->open_handles--;
  if (s->open_handles == 0)
    s->on_closed (s);
}

/* Closes the socket immediately.  libuv allows the file descriptor to be
   closed as soon as uv_close() has returned.  */
static void
socket_close_ (struct socket_ *s)
{
  uv_close ((uv_handle_t *)&s->poll, socket_on_handle_closed_);
  uv_close ((uv_handle_t *)&s->resume_idle, socket_on_handle_closed_);
  zmq_close (s->zmq);
  s->zmq = NULL;
}

/* Deletes a ZeroMQ context.  This waits until its sockets are closed, which do
   not linger.  */
static void
context_delete_ (void *context)
{
  while (zmq_ctx_term (context) != 0 && errno == EINTR)
    continue;
}

/* Messages and frames.  */

static void
frame_free_ (void *data)
{
  zmq_msg_t *frame = data;

  zmq_msg_close (frame);
  g_free (frame);
}

/* Receives one message as an array of zmq_msg_t.  Returns NULL when no message
   is available.  */
static GPtrArray *
receive_message_ (void *zmq)
{
  GPtrArray *frames = g_ptr_array_new_with_free_func (frame_free_);
  zmq_msg_t *frame;

  do
    {
      frame = g_new (zmq_msg_t, 1);
      zmq_msg_init (frame);
      if (zmq_msg_recv (frame, zmq, ZMQ_DONTWAIT) < 0)
        {
          frame_free_ (frame);
          g_ptr_array_unref (frames);
          return NULL;
        }
      g_ptr_array_add (frames, frame);
    }
  while (zmq_msg_more (frame));
  return frames;
}

static struct rgy_bytes
frame_bytes_ (const GPtrArray *frames, guint index)
{
  zmq_msg_t *frame = frames->pdata[index];

  return (struct rgy_bytes){ .data = zmq_msg_data (frame),
                             .len = zmq_msg_size (frame) };
}

/* Sends one frame.  Once ZeroMQ has accepted the first frame of a message, it
   also accepts the others.  */
static bool
send_frame_ (void *zmq, struct rgy_bytes bytes, bool more)
{
  return zmq_send (zmq, bytes.data, bytes.len,
                   ZMQ_DONTWAIT | (more ? ZMQ_SNDMORE : 0))
         >= 0;
}

static void
format_url_ (struct rgy_endpoint endpoint, char *url, size_t len)
{
  char text[RGY_ENDPOINT_TEXT_BYTES];

  snprintf (url, len, "tcp://%s", rgy_endpoint_format (endpoint, text));
}

/* Server side.  */

struct rgy_sync_server
{
  struct socket_ socket; /* First: callbacks cast the socket.  */
  void *context;
  rgy_sync_serve_fn serve;
  void *ctx;
};

static void
byte_array_free_ (void *data)
{
  g_byte_array_unref (data);
}

static void
answer_request_ (struct rgy_sync_server *server, const GPtrArray *request)
{
  GPtrArray *answer = g_ptr_array_new_with_free_func (byte_array_free_);
  const GByteArray *frame;
  guint i;

  server->serve (frame_bytes_ (request, REQUEST_FRAME_COUNT), answer,
                 server->ctx);
  for (i = 0; i < answer->len; i++)
    {
      frame = answer->pdata[i];
      if (frame->len > RGY_SYNC_MAX_FRAME_BYTES)
        {
          rgy_log_warning (
              "synchronisation: answer with a frame of %u bytes not sent",
              frame->len);
          goto cleanup;
        }
    }
  /* Sending fails when the client has disconnected or is slow.  The client
     repeats the request later.  */
  if (!send_frame_ (server->socket.zmq, frame_bytes_ (request, 0), true)
      || !send_frame_ (server->socket.zmq, (struct rgy_bytes){ 0 },
                       answer->len > 0))
    goto cleanup;
  for (i = 0; i < answer->len; i++)
    {
      frame = answer->pdata[i];
      if (!send_frame_ (
              server->socket.zmq,
              (struct rgy_bytes){ .data = frame->data, .len = frame->len },
              i + 1 < answer->len))
        goto cleanup;
    }
cleanup:
  g_ptr_array_unref (answer);
}

static void
server_on_readable_ (struct socket_ *s)
{
  struct rgy_sync_server *server = (struct rgy_sync_server *)s;
  GPtrArray *request;
  unsigned served;

  for (served = 0; served < SERVE_BATCH && socket_is_readable_ (s); served++)
    {
      request = receive_message_ (s->zmq);
      if (request == NULL)
        break;
      /* The frames are routing ID, delimiter and request.  */
      if (request->len == REQUEST_FRAME_COUNT + 1
          && frame_bytes_ (request, 1).len == 0)
        answer_request_ (server, request);
      g_ptr_array_unref (request);
    }
  socket_resume_if_readable_ (s);
}

static void
server_on_closed_ (struct socket_ *s)
{
  g_free (s);
}

static const char *
get_bind_error_text_ (int error)
{
  switch (error)
    {
    case EADDRINUSE:
      return "address already in use";
    case EADDRNOTAVAIL:
    case ENODEV:
      return "address is not local to this machine";
    case EACCES:
      return "permission denied";
    case EMFILE:
      return "too many open files";
    default:
      return "cannot bind the address";
    }
}

struct rgy_sync_server *
rgy_sync_server_new (uv_loop_t *loop, struct rgy_endpoint endpoint,
                     rgy_sync_serve_fn serve, void *ctx, const char **why)
{
  struct rgy_sync_server *server;
  char url[RGY_ENDPOINT_TEXT_BYTES + sizeof "tcp://"];

  /* For port 0 ZeroMQ would choose a port that no peer knows.  */
  if (endpoint.port == 0)
    {
      *why = "no port given";
      return NULL;
    }
  server = g_new0 (struct rgy_sync_server, 1);
  server->serve = serve;
  server->ctx = ctx;
  server->socket.on_readable = server_on_readable_;
  server->socket.on_closed = server_on_closed_;
  server->context = zmq_ctx_new ();
  *why = "cannot create a socket";
  if (server->context == NULL)
    goto free_server;
  if (!socket_open_ (&server->socket, server->context, ZMQ_ROUTER))
    goto delete_context;
  /* Without ROUTER_MANDATORY an answer to a disconnected client would be built
     frame by frame and then dropped without an error.  */
  if (!set_int_option_ (server->socket.zmq, ZMQ_ROUTER_MANDATORY, 1)
      || !set_int_option_ (server->socket.zmq, ZMQ_SNDHWM,
                           SERVER_QUEUE_MAX_MESSAGES)
      || !set_int_option_ (server->socket.zmq, ZMQ_RCVHWM,
                           SERVER_QUEUE_MAX_MESSAGES))
    goto close_socket;
  format_url_ (endpoint, url, sizeof url);
  if (zmq_bind (server->socket.zmq, url) != 0)
    {
      *why = get_bind_error_text_ (errno);
      goto close_socket;
    }
  if (!socket_watch_ (&server->socket, loop))
    {
      *why = "cannot watch the socket";
      goto close_socket;
    }
  socket_resume_if_readable_ (&server->socket);
  *why = NULL;
  return server;

close_socket:
  zmq_close (server->socket.zmq);
delete_context:
  context_delete_ (server->context);
free_server:
  g_free (server);
  return NULL;
}

void
rgy_sync_server_delete (struct rgy_sync_server *server)
{
  void *context;

  if (server == NULL)
    return;
  context = server->context;
  socket_close_ (&server->socket);
  context_delete_ (context);
}

/* Client side.  */

struct rgy_sync_client
{
  uv_loop_t *loop;
  void *context;
  unsigned timeout_ms;
  rgy_sync_done_fn done;
  void *ctx;
  GHashTable *requests; /* struct request_ by packed endpoint of the peer.  */
};

struct request_
{
  struct socket_ socket; /* First: callbacks cast the socket.  */
  uv_timer_t timer;
  struct rgy_sync_client *client;
  struct rgy_endpoint peer;
  uint64_t key; /* Packed endpoint of the peer.  */
};

struct rgy_sync_client *
rgy_sync_client_new (uv_loop_t *loop, unsigned timeout_ms,
                     rgy_sync_done_fn done, void *ctx)
{
  struct rgy_sync_client *client = g_new0 (struct rgy_sync_client, 1);

  client->loop = loop;
  client->context = zmq_ctx_new ();
  client->timeout_ms = timeout_ms;
  client->done = done;
  client->ctx = ctx;
  client->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  return client;
}

static void
request_on_closed_ (struct socket_ *s)
{
  g_free (s);
}

static void
request_close_ (struct request_ *r)
{
  uv_close ((uv_handle_t *)&r->timer, socket_on_handle_closed_);
  socket_close_ (&r->socket);
}

void
rgy_sync_client_delete (struct rgy_sync_client *client)
{
  GHashTableIter iter;
  void *request;

  if (client == NULL)
    return;
  g_hash_table_iter_init (&iter, client->requests);
  while (g_hash_table_iter_next (&iter, NULL, &request))
    request_close_ (request);
  g_hash_table_unref (client->requests);
  if (client->context != NULL)
    context_delete_ (client->context);
  g_free (client);
}

/* Ends a request and reports its result.  Neither the request nor the client
   may be used afterwards, because the callback may delete the client.  */
static void
request_finish_ (struct request_ *r, enum rgy_outcome outcome,
                 const GPtrArray *answer)
{
  struct rgy_sync_client *client = r->client;
  struct rgy_endpoint peer = r->peer;
  struct rgy_bytes *frames = NULL;
  size_t count = 0;

  g_hash_table_remove (client->requests, &r->key);
  request_close_ (r);
  if (answer != NULL)
    {
      frames = g_new (struct rgy_bytes, answer->len);
      /* The first frame is the delimiter.  */
      for (count = 0; count + 1 < answer->len; count++)
        frames[count] = frame_bytes_ (answer, (guint)count + 1);
    }
  client->done (outcome, peer, frames, count, client->ctx);
  g_free (frames);
}

static void
request_on_readable_ (struct socket_ *s)
{
  struct request_ *r = (struct request_ *)s;
  GPtrArray *answer;

  while (socket_is_readable_ (s))
    {
      answer = receive_message_ (s->zmq);
      if (answer == NULL)
        return;
      if (frame_bytes_ (answer, 0).len == 0)
        {
          request_finish_ (r, RGY_OK, answer);
          g_ptr_array_unref (answer);
          return;
        }
      g_ptr_array_unref (answer);
    }
}

static void
request_on_timeout_ (uv_timer_t *timer)
{
  request_finish_ (timer->data, RGY_ERR_TIMEOUT, NULL);
}

enum rgy_outcome
rgy_sync_client_request (struct rgy_sync_client *client,
                         struct rgy_endpoint peer, struct rgy_bytes request)
{
  char url[RGY_ENDPOINT_TEXT_BYTES + sizeof "tcp://"];
  uint64_t key = rgy_endpoint_pack (peer);
  struct request_ *r;

  if (peer.ip == 0 || peer.port == 0 || request.len > RGY_SYNC_MAX_FRAME_BYTES)
    return RGY_ERR_INVALID;
  if (g_hash_table_contains (client->requests, &key))
    return RGY_ERR_CONFLICT;
  if (client->context == NULL)
    return RGY_ERR_UNAVAILABLE;
  r = g_new0 (struct request_, 1);
  r->client = client;
  r->peer = peer;
  r->key = key;
  r->socket.on_readable = request_on_readable_;
  r->socket.on_closed = request_on_closed_;
  if (!socket_open_ (&r->socket, client->context, ZMQ_DEALER))
    goto free_request;
  format_url_ (peer, url, sizeof url);
  if (zmq_connect (r->socket.zmq, url) != 0
      || !send_frame_ (r->socket.zmq, (struct rgy_bytes){ 0 }, true)
      || !send_frame_ (r->socket.zmq, request, false)
      || !socket_watch_ (&r->socket, client->loop))
    goto close_socket;
  uv_timer_init (client->loop, &r->timer);
  r->timer.data = r;
  r->socket.open_handles++;
  /* After a long turn of the loop its cached time is old, which would shorten
     the timeout.  */
  uv_update_time (client->loop);
  uv_timer_start (&r->timer, request_on_timeout_, client->timeout_ms, 0);
  g_hash_table_insert (client->requests, &r->key, r);
  socket_resume_if_readable_ (&r->socket);
  return RGY_OK;

close_socket:
  zmq_close (r->socket.zmq);
free_request:
  g_free (r);
  return RGY_ERR_UNAVAILABLE;
}
