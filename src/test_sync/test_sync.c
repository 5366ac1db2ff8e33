#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>
#include <uv.h>
#include <zmq.h>

#include "ragwortyoke-io/sync.h"

#define LOOPBACK 0x7f000001

/* For requests that are answered; far above any delay of a busy machine.  */
#define LONG_TIMEOUT_MS 120000

/* For requests that are never answered.  */
#define SHORT_TIMEOUT_MS 20

/* Fixture and helpers.  */

/* Binds a socket to an ephemeral port of the loopback address.  */
static int
bind_ephemeral_ (struct rgy_endpoint *endpoint)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  assert_true (fd >= 0);
  addr.sin_addr.s_addr = htonl (LOOPBACK);
  assert_int_equal (bind (fd, (struct sockaddr *)&addr, sizeof addr), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *)&addr, &len), 0);
  *endpoint
      = (struct rgy_endpoint){ .ip = LOOPBACK, .port = ntohs (addr.sin_port) };
  return fd;
}

struct fixture_
{
  uv_loop_t loop;
  struct rgy_sync_server *server;
  struct rgy_endpoint endpoint;
  struct rgy_sync_client *client;
  /* What the server receives and answers.  */
  unsigned served;
  GByteArray *last_request;
  unsigned frame_count; /* Frames of each answer, with texts "0", "1", ...  */
  size_t frame_bytes;   /* Size of each frame; 0 for only the text.  */
  /* What the client receives.  */
  unsigned done;
  unsigned done_ok;
  enum rgy_outcome outcome;
  struct rgy_endpoint peer;
  GPtrArray *frames; /* Copies of the frames of the last answer, GBytes.  */
  bool delete_client_when_done;
  unsigned remaining_repeats; /* Requests that the callback still starts.  */
};

static void
serve_request_ (struct rgy_bytes request, GPtrArray *frames, void *ctx)
{
  struct fixture_ *f = ctx;
  GByteArray *frame;
  char text[16];
  unsigned i;

  f->served++;
  g_byte_array_set_size (f->last_request, 0);
  g_byte_array_append (f->last_request, request.data, (guint)request.len);
  for (i = 0; i < f->frame_count; i++)
    {
      frame = g_byte_array_new ();
      g_snprintf (text, sizeof text, "%u", i);
      g_byte_array_append (frame, (const guint8 *)text, (guint)strlen (text));
      if (f->frame_bytes > 0)
        {
          g_byte_array_set_size (frame, (guint)f->frame_bytes);
          frame->data[f->frame_bytes - 1] = (guint8)i;
        }
      g_ptr_array_add (frames, frame);
    }
}

static enum rgy_outcome
start_request_ (struct fixture_ *f, const char *text)
{
  return rgy_sync_client_request (
      f->client, f->endpoint,
      (struct rgy_bytes){ .data = (const uint8_t *)text,
                          .len = strlen (text) });
}

static void
on_done_ (enum rgy_outcome outcome, struct rgy_endpoint peer,
          const struct rgy_bytes *frames, size_t count, void *ctx)
{
  struct fixture_ *f = ctx;
  size_t i;

  f->done++;
  f->done_ok += outcome == RGY_OK;
  f->outcome = outcome;
  f->peer = peer;
  g_ptr_array_set_size (f->frames, 0);
  for (i = 0; i < count; i++)
    g_ptr_array_add (f->frames, g_bytes_new (frames[i].data, frames[i].len));
  if (f->delete_client_when_done)
    {
      rgy_sync_client_delete (f->client);
      f->client = NULL;
    }
  else if (f->remaining_repeats > 0)
    {
      f->remaining_repeats--;
      assert_int_equal (start_request_ (f, "again"), RGY_OK);
    }
}

static void
unref_bytes_ (void *bytes)
{
  g_bytes_unref (bytes);
}

static void
fixture_init_ (struct fixture_ *f, unsigned timeout_ms)
{
  memset (f, 0, sizeof *f);
  assert_int_equal (uv_loop_init (&f->loop), 0);
  f->last_request = g_byte_array_new ();
  f->frames = g_ptr_array_new_with_free_func (unref_bytes_);
  f->frame_count = 1;
  f->client = rgy_sync_client_new (&f->loop, timeout_ms, on_done_, f);
  assert_non_null (f->client);
}

static void
start_server_ (struct fixture_ *f)
{
  const char *why = NULL;
  unsigned attempt;

  /* Another process may bind the port after it was closed and before the
     server binds it.  */
  for (attempt = 0; attempt < 20 && f->server == NULL; attempt++)
    {
      close (bind_ephemeral_ (&f->endpoint));
      f->server = rgy_sync_server_new (&f->loop, f->endpoint, serve_request_,
                                       f, &why);
    }
  assert_non_null (f->server);
  assert_null (why);
}

/* Deletes everything.  Closing the loop fails if a handle is still open.  */
static void
fixture_finish_ (struct fixture_ *f)
{
  rgy_sync_client_delete (f->client);
  rgy_sync_server_delete (f->server);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&f->loop), 0);
  g_byte_array_unref (f->last_request);
  g_ptr_array_unref (f->frames);
}

static void
run_until_done_ (struct fixture_ *f, unsigned done)
{
  while (f->done < done)
    uv_run (&f->loop, UV_RUN_ONCE);
}

static void
run_until_served_ (struct fixture_ *f, unsigned served)
{
  while (f->served < served)
    uv_run (&f->loop, UV_RUN_ONCE);
}

static void
assert_frame_text_ (const struct fixture_ *f, guint index, const char *text)
{
  gsize len;
  const void *data = g_bytes_get_data (f->frames->pdata[index], &len);

  assert_int_equal (len, strlen (text));
  assert_memory_equal (data, text, len);
}

/* A plain ZeroMQ client, which can send messages
   that rgy_sync_client never sends.  */
struct raw_client_
{
  void *context;
  void *socket;
  void *monitor; /* Connected before the socket,
                    so that no event is lost.  */
};

static void
raw_client_open_ (struct raw_client_ *raw, struct rgy_endpoint endpoint)
{
  char text[RGY_ENDPOINT_TEXT_BYTES];
  char *url;
  int zero = 0;

  raw->context = zmq_ctx_new ();
  raw->socket = zmq_socket (raw->context, ZMQ_DEALER);
  assert_non_null (raw->socket);
  zmq_setsockopt (raw->socket, ZMQ_LINGER, &zero, sizeof zero);
  assert_int_equal (zmq_socket_monitor (raw->socket, "inproc://monitor",
                                        ZMQ_EVENT_DISCONNECTED),
                    0);
  raw->monitor = zmq_socket (raw->context, ZMQ_PAIR);
  assert_non_null (raw->monitor);
  assert_int_equal (zmq_connect (raw->monitor, "inproc://monitor"), 0);
  url = g_strdup_printf ("tcp://%s", rgy_endpoint_format (endpoint, text));
  assert_int_equal (zmq_connect (raw->socket, url), 0);
  g_free (url);
}

static void
raw_client_send_ (struct raw_client_ *raw, const void *data, size_t len,
                  bool more)
{
  assert_int_equal (zmq_send (raw->socket, data, len, more ? ZMQ_SNDMORE : 0),
                    len);
}

/* Blocks until the server has closed the connection.  */
static void
raw_client_wait_for_disconnect_ (struct raw_client_ *raw)
{
  uint16_t event = 0;

  /* The frame has the event number and a value;
     the address follows in another frame.  */
  assert_int_equal (zmq_recv (raw->monitor, &event, sizeof event, 0), 6);
  assert_int_equal (event, ZMQ_EVENT_DISCONNECTED);
}

static void
raw_client_close_ (struct raw_client_ *raw)
{
  zmq_close (raw->socket);
  zmq_close (raw->monitor);
  zmq_ctx_term (raw->context);
}

/* Tests of complete transfers.  */

/* The frames of an answer must arrive complete and in order, also when there
   are none, and another request must be possible afterwards.  */
static void
answers_arrive_complete_ (void **state)
{
  struct fixture_ f;

  (void)state;
  fixture_init_ (&f, LONG_TIMEOUT_MS);
  start_server_ (&f);
  f.frame_count = 12;
  assert_int_equal (start_request_ (&f, "first"), RGY_OK);
  run_until_done_ (&f, 1);
  assert_int_equal (f.outcome, RGY_OK);
  assert_true (rgy_endpoint_equal (f.peer, f.endpoint));
  assert_int_equal (f.last_request->len, strlen ("first"));
  assert_memory_equal (f.last_request->data, "first", strlen ("first"));
  assert_int_equal (f.frames->len, 12);
  assert_frame_text_ (&f, 0, "0");
  assert_frame_text_ (&f, 11, "11");
  f.frame_count = 0;
  assert_int_equal (start_request_ (&f, ""), RGY_OK);
  run_until_done_ (&f, 2);
  assert_int_equal (f.outcome, RGY_OK);
  assert_int_equal (f.frames->len, 0);
  assert_int_equal (f.last_request->len, 0);
  fixture_finish_ (&f);
}

/* A frame of the largest size must be transferred.  A larger frame must not be
   sent, because ZeroMQ would close the connection of the client.  */
static void
frame_size_is_limited_ (void **state)
{
  struct fixture_ f;
  uint8_t *large;
  gsize len;

  (void)state;
  fixture_init_ (&f, LONG_TIMEOUT_MS);
  start_server_ (&f);
  f.frame_bytes = RGY_SYNC_MAX_FRAME_BYTES;
  assert_int_equal (start_request_ (&f, "largest"), RGY_OK);
  run_until_done_ (&f, 1);
  assert_int_equal (f.outcome, RGY_OK);
  assert_int_equal (f.frames->len, 1);
  g_bytes_get_data (f.frames->pdata[0], &len);
  assert_int_equal (len, RGY_SYNC_MAX_FRAME_BYTES);
  large = g_malloc0 (RGY_SYNC_MAX_FRAME_BYTES + 1);
  assert_int_equal (
      rgy_sync_client_request (
          f.client, f.endpoint,
          (struct rgy_bytes){ .data = large,
                              .len = RGY_SYNC_MAX_FRAME_BYTES + 1 }),
      RGY_ERR_INVALID);
  g_free (large);
  fixture_finish_ (&f);

  fixture_init_ (&f, SHORT_TIMEOUT_MS);
  start_server_ (&f);
  f.frame_bytes = RGY_SYNC_MAX_FRAME_BYTES + 1;
  assert_int_equal (start_request_ (&f, "too large"), RGY_OK);
  run_until_done_ (&f, 1);
  assert_int_equal (f.outcome, RGY_ERR_TIMEOUT);
  assert_int_equal (f.frames->len, 0);
  fixture_finish_ (&f);
}

/* All requests of a burst must be served.  ZMQ_FD is edge-triggered: a server
   that does not read until nothing is left stops although requests wait.  */
static void
burst_of_requests_is_served_ (void **state)
{
  enum
  {
    BURST = 300
  };
  struct raw_client_ raw;
  struct fixture_ f;
  unsigned i;

  (void)state;
  fixture_init_ (&f, LONG_TIMEOUT_MS);
  start_server_ (&f);
  raw_client_open_ (&raw, f.endpoint);
  for (i = 0; i < BURST; i++)
    {
      raw_client_send_ (&raw, "", 0, true);
      raw_client_send_ (&raw, &i, sizeof i, false);
    }
  run_until_served_ (&f, BURST);
  i = BURST - 1;
  assert_int_equal (f.last_request->len, sizeof i);
  assert_memory_equal (f.last_request->data, &i, sizeof i);
  raw_client_close_ (&raw);
  fixture_finish_ (&f);
}

/* Requests of many connections that have all arrived before the loop runs give
   only one signal on ZMQ_FD.  A server that ends its turn early must serve the
   others without another signal.  */
static void
waiting_requests_are_served_without_another_signal_ (void **state)
{
  enum
  {
    CONNECTIONS = 60
  };
  char text[RGY_ENDPOINT_TEXT_BYTES];
  void *sockets[CONNECTIONS];
  struct raw_client_ raw;
  struct fixture_ f;
  uint8_t *large;
  void *context;
  char *url;
  int zero = 0;
  unsigned i;

  (void)state;
  fixture_init_ (&f, LONG_TIMEOUT_MS);
  start_server_ (&f);
  /* Answers without frames are needed: sending further frames has been
     observed to signal ZMQ_FD again, which hides the fault.  */
  f.frame_count = 0;
  context = zmq_ctx_new ();
  url = g_strdup_printf ("tcp://%s", rgy_endpoint_format (f.endpoint, text));
  for (i = 0; i < CONNECTIONS; i++)
    {
      sockets[i] = zmq_socket (context, ZMQ_DEALER);
      assert_non_null (sockets[i]);
      zmq_setsockopt (sockets[i], ZMQ_LINGER, &zero, sizeof zero);
      assert_int_equal (zmq_connect (sockets[i], url), 0);
      assert_int_equal (zmq_send (sockets[i], "", 0, ZMQ_SNDMORE), 0);
      assert_int_equal (zmq_send (sockets[i], "x", 1, 0), 1);
    }
  /* The I/O thread of the server closes this later connection without the
     loop; by then the requests above have normally arrived.  */
  raw_client_open_ (&raw, f.endpoint);
  large = g_malloc0 (RGY_SYNC_MAX_FRAME_BYTES + 1);
  raw_client_send_ (&raw, "", 0, true);
  raw_client_send_ (&raw, large, RGY_SYNC_MAX_FRAME_BYTES + 1, false);
  g_free (large);
  raw_client_wait_for_disconnect_ (&raw);
  run_until_served_ (&f, CONNECTIONS);
  assert_int_equal (f.served, CONNECTIONS);
  for (i = 0; i < CONNECTIONS; i++)
    zmq_close (sockets[i]);
  zmq_ctx_term (context);
  raw_client_close_ (&raw);
  g_free (url);
  fixture_finish_ (&f);
}

/* A sequence of requests must not stall.  Each request starts when the
   previous request ends, so that a missed edge of ZMQ_FD on either side stops
   the sequence.  */
static void
sequence_of_requests_does_not_stall_ (void **state)
{
  struct fixture_ f;

  (void)state;
  fixture_init_ (&f, LONG_TIMEOUT_MS);
  start_server_ (&f);
  f.remaining_repeats = 99;
  assert_int_equal (start_request_ (&f, "first"), RGY_OK);
  run_until_done_ (&f, 100);
  assert_int_equal (f.done_ok, 100);
  assert_int_equal (f.served, 100);
  fixture_finish_ (&f);
}

/* A second request to a peer must be rejected while the first is in progress,
   but requests to several peers must be possible at the same time.  */
static void
each_peer_has_one_request_in_progress_ (void **state)
{
  struct fixture_ f;
  struct fixture_ g;

  (void)state;
  fixture_init_ (&f, LONG_TIMEOUT_MS);
  fixture_init_ (&g, LONG_TIMEOUT_MS);
  start_server_ (&f);
  start_server_ (&g);
  assert_int_equal (start_request_ (&f, "a"), RGY_OK);
  assert_int_equal (start_request_ (&f, "b"), RGY_ERR_CONFLICT);
  assert_int_equal (
      rgy_sync_client_request (f.client, g.endpoint, (struct rgy_bytes){ 0 }),
      RGY_OK);
  while (f.done < 2)
    {
      uv_run (&f.loop, UV_RUN_NOWAIT);
      uv_run (&g.loop, UV_RUN_NOWAIT);
    }
  assert_int_equal (f.done_ok, 2);
  assert_int_equal (f.served, 1);
  assert_int_equal (g.served, 1);
  assert_int_equal (start_request_ (&f, "c"), RGY_OK);
  run_until_done_ (&f, 3);
  fixture_finish_ (&f);
  fixture_finish_ (&g);
}

/* Tests of faults.  */

/* A peer that accepts connections and never sends anything.  */
struct unresponsive_peer_
{
  uv_tcp_t listener;
  uv_tcp_t accepted[64];
  unsigned accepted_count;
  unsigned closed_count;
  char buf[1024];
};

static void
unresponsive_peer_allocate_ (uv_handle_t *handle, size_t suggested,
                             uv_buf_t *buf)
{
  struct unresponsive_peer_ *p = handle->data;

  (void)suggested;
  *buf = uv_buf_init (p->buf, sizeof p->buf);
}

static void
unresponsive_peer_on_read_ (uv_stream_t *stream, ssize_t nread,
                            const uv_buf_t *buf)
{
  struct unresponsive_peer_ *p = stream->data;

  (void)buf;
  if (nread >= 0)
    return;
  p->closed_count++;
  uv_close ((uv_handle_t *)stream, NULL);
}

static void
unresponsive_peer_on_connection_ (uv_stream_t *listener, int status)
{
  struct unresponsive_peer_ *p = listener->data;
  uv_tcp_t *tcp;

  assert_int_equal (status, 0);
  assert_true (p->accepted_count < G_N_ELEMENTS (p->accepted));
  tcp = &p->accepted[p->accepted_count++];
  uv_tcp_init (listener->loop, tcp);
  tcp->data = p;
  assert_int_equal (uv_accept (listener, (uv_stream_t *)tcp), 0);
  uv_read_start ((uv_stream_t *)tcp, unresponsive_peer_allocate_,
                 unresponsive_peer_on_read_);
}

/* An unresponsive peer must not block a synchronisation: the request must time
   out, its connection be closed and a new request open a new connection.  */
static void
unresponsive_peer_times_out_ (void **state)
{
  static struct unresponsive_peer_ peer;
  struct fixture_ f;
  unsigned ended = 0;

  (void)state;
  fixture_init_ (&f, SHORT_TIMEOUT_MS);
  assert_int_equal (uv_tcp_init (&f.loop, &peer.listener), 0);
  peer.listener.data = &peer;
  assert_int_equal (
      uv_tcp_open (&peer.listener, bind_ephemeral_ (&f.endpoint)), 0);
  assert_int_equal (uv_listen ((uv_stream_t *)&peer.listener, 16,
                               unresponsive_peer_on_connection_),
                    0);
  /* On a busy machine a request may time out before its connection is
     accepted; only accepted connections are counted.  */
  while (peer.closed_count < 2)
    {
      if (peer.accepted_count < 2 && f.done == ended)
        {
          assert_int_equal (start_request_ (&f, "hello"), RGY_OK);
          ended++;
        }
      uv_run (&f.loop, UV_RUN_ONCE);
      if (f.done > 0)
        {
          assert_int_equal (f.outcome, RGY_ERR_TIMEOUT);
          assert_int_equal (f.frames->len, 0);
          assert_true (rgy_endpoint_equal (f.peer, f.endpoint));
        }
    }
  run_until_done_ (&f, ended);
  uv_close ((uv_handle_t *)&peer.listener, NULL);
  fixture_finish_ (&f);
}

/* A request to a peer whose process has ended, and whose address therefore
   refuses connections, must time out.  */
static void
refused_connection_times_out_ (void **state)
{
  struct fixture_ f;
  int fd;

  (void)state;
  fixture_init_ (&f, SHORT_TIMEOUT_MS);
  /* The socket is bound without listening, so that no other process can bind
     the port.  */
  fd = bind_ephemeral_ (&f.endpoint);
  assert_int_equal (start_request_ (&f, "hello"), RGY_OK);
  run_until_done_ (&f, 1);
  assert_int_equal (f.outcome, RGY_ERR_TIMEOUT);
  close (fd);
  fixture_finish_ (&f);
}

/* Messages that are not requests must be ignored: the callback must not be
   called for them, and the next request must be served.  */
static void
malformed_requests_are_ignored_ (void **state)
{
  struct raw_client_ raw;
  struct fixture_ f;

  (void)state;
  fixture_init_ (&f, LONG_TIMEOUT_MS);
  start_server_ (&f);
  raw_client_open_ (&raw, f.endpoint);
  raw_client_send_ (&raw, "x", 1, false);
  raw_client_send_ (&raw, "", 0, false);
  raw_client_send_ (&raw, "x", 1, true);
  raw_client_send_ (&raw, "y", 1, false);
  raw_client_send_ (&raw, "", 0, true);
  raw_client_send_ (&raw, "x", 1, true);
  raw_client_send_ (&raw, "y", 1, false);
  raw_client_send_ (&raw, "", 0, true);
  raw_client_send_ (&raw, "good", 4, false);
  run_until_served_ (&f, 1);
  assert_int_equal (f.last_request->len, 4);
  assert_memory_equal (f.last_request->data, "good", 4);
  raw_client_close_ (&raw);
  fixture_finish_ (&f);
}

/* A message above the limit must not be buffered: its connection must be
   closed, and other connections must still be served.  */
static void
oversized_request_closes_its_connection_ (void **state)
{
  struct raw_client_ raw;
  struct fixture_ f;
  uint8_t *large;

  (void)state;
  fixture_init_ (&f, LONG_TIMEOUT_MS);
  start_server_ (&f);
  raw_client_open_ (&raw, f.endpoint);
  large = g_malloc0 (RGY_SYNC_MAX_FRAME_BYTES + 1);
  raw_client_send_ (&raw, "", 0, true);
  raw_client_send_ (&raw, large, RGY_SYNC_MAX_FRAME_BYTES + 1, false);
  g_free (large);
  raw_client_wait_for_disconnect_ (&raw);
  assert_int_equal (start_request_ (&f, "other"), RGY_OK);
  run_until_done_ (&f, 1);
  assert_int_equal (f.outcome, RGY_OK);
  assert_int_equal (f.served, 1);
  raw_client_close_ (&raw);
  fixture_finish_ (&f);
}

/* An endpoint that cannot be used must be rejected with an error that names
   the cause.  */
static void
unusable_endpoints_are_rejected_ (void **state)
{
  struct rgy_endpoint endpoint;
  const char *why = NULL;
  struct fixture_ f;
  int fd;

  (void)state;
  fixture_init_ (&f, SHORT_TIMEOUT_MS);
  fd = bind_ephemeral_ (&endpoint);
  assert_int_equal (listen (fd, 1), 0);
  assert_null (
      rgy_sync_server_new (&f.loop, endpoint, serve_request_, &f, &why));
  assert_string_equal (why, "address already in use");
  close (fd);
  endpoint.port = 0;
  assert_null (
      rgy_sync_server_new (&f.loop, endpoint, serve_request_, &f, &why));
  assert_string_equal (why, "no port given");
  f.endpoint = endpoint;
  assert_int_equal (start_request_ (&f, "x"), RGY_ERR_INVALID);
  f.endpoint = (struct rgy_endpoint){ .port = 1 };
  assert_int_equal (start_request_ (&f, "x"), RGY_ERR_INVALID);
  assert_int_equal (f.done, 0);
  fixture_finish_ (&f);
}

/* Tests of deletion.  */

/* Deletion with requests in progress must not run callbacks.  It must not
   leave handles or memory behind, which the closing of the loop and the
   address sanitizer check.  */
static void
deletion_cancels_requests_ (void **state)
{
  struct fixture_ f;

  (void)state;
  fixture_init_ (&f, SHORT_TIMEOUT_MS);
  start_server_ (&f);
  assert_int_equal (start_request_ (&f, "a"), RGY_OK);
  rgy_sync_client_delete (f.client);
  f.client = NULL;
  uv_run (&f.loop, UV_RUN_NOWAIT);
  assert_int_equal (f.done, 0);
  fixture_finish_ (&f);
  assert_int_equal (f.done, 0);
}

/* The client must be deletable in its callback, because a process that exits
   after its synchronisation deletes it there.  */
static void
client_may_be_deleted_in_its_callback_ (void **state)
{
  struct fixture_ f;

  (void)state;
  fixture_init_ (&f, LONG_TIMEOUT_MS);
  start_server_ (&f);
  f.delete_client_when_done = true;
  assert_int_equal (start_request_ (&f, "a"), RGY_OK);
  run_until_done_ (&f, 1);
  assert_int_equal (f.outcome, RGY_OK);
  assert_frame_text_ (&f, 0, "0");
  fixture_finish_ (&f);
}

/* A request must time out when the server stops before it answers.  */
static void
stopped_server_times_out_ (void **state)
{
  struct fixture_ f;

  (void)state;
  fixture_init_ (&f, SHORT_TIMEOUT_MS);
  start_server_ (&f);
  assert_int_equal (start_request_ (&f, "a"), RGY_OK);
  rgy_sync_server_delete (f.server);
  f.server = NULL;
  run_until_done_ (&f, 1);
  assert_int_equal (f.outcome, RGY_ERR_TIMEOUT);
  fixture_finish_ (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (answers_arrive_complete_),
    cmocka_unit_test (frame_size_is_limited_),
    cmocka_unit_test (burst_of_requests_is_served_),
    cmocka_unit_test (waiting_requests_are_served_without_another_signal_),
    cmocka_unit_test (sequence_of_requests_does_not_stall_),
    cmocka_unit_test (each_peer_has_one_request_in_progress_),
    cmocka_unit_test (unresponsive_peer_times_out_),
    cmocka_unit_test (refused_connection_times_out_),
    cmocka_unit_test (malformed_requests_are_ignored_),
    cmocka_unit_test (oversized_request_closes_its_connection_),
    cmocka_unit_test (unusable_endpoints_are_rejected_),
    cmocka_unit_test (deletion_cancels_requests_),
    cmocka_unit_test (client_may_be_deleted_in_its_callback_),
    cmocka_unit_test (stopped_server_times_out_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
