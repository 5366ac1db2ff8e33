#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#include "bench.h"
#include "ragwortyoke-io/udp.h"
#include "ragwortyoke/clock.h"
#include "ragwortyoke/proxy.h"
#include "ragwortyoke/wire.h"

/* One ragwortyoked balancer against a plain datagram relay on the same
   adapter and the same sender.  This process is the fabric and the agent; the
   number of packets under way is bounded, so that none is dropped.

   Usage: bench_relay [PACKETS]  */

#define DEFAULT_PACKETS 200000
#define MAX_PACKETS 5000000
#define WINDOW 64
#define PAYLOAD_BYTES 200
#define DATAGRAM_BYTES 2048
#define LOST_AFTER_MS 200
#define READY_ATTEMPTS 100
#define READY_WAIT_MS 100
#define LOOPBACK 0x7f000001U
#define CALLER_IP 0x7f640001U
#define CALLERS 1000
#define ROUNDS 3

extern char **environ;

static const struct rgy_endpoint service_ = { .ip = 0x7f000a01, .port = 5683 };
static const uint8_t key_[RGY_WIRE_KEY_BYTES];

struct bench_
{
  int fabric; /* Sends what callers send, gets what callers get.  */
  int agent;  /* Gets what the agent gets, answers.  */
  struct rgy_endpoint fabric_at;
  struct rgy_endpoint agent_at;
  struct rgy_endpoint target_fabric;
  struct rgy_endpoint target_internal;
  pid_t pid;
  bool relay; /* The target is the plain relay.  */
  struct rgy_wire *wire;
};

struct result_
{
  double packets_per_s;
  double cpu_us;
  unsigned lost;
};

/* Sockets.  */

static struct sockaddr_in
to_sockaddr_ (struct rgy_endpoint e)
{
  struct sockaddr_in in = { .sin_family = AF_INET };

  in.sin_addr.s_addr = htonl (e.ip);
  in.sin_port = htons (e.port);
  return in;
}

static int
bind_ (int type, struct rgy_endpoint *at)
{
  struct sockaddr_in in
      = to_sockaddr_ ((struct rgy_endpoint){ .ip = LOOPBACK });
  socklen_t len = sizeof in;
  int size = 4 << 20;
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);

  if (fd < 0 || bind (fd, (struct sockaddr *)&in, sizeof in) != 0
      || getsockname (fd, (struct sockaddr *)&in, &len) != 0)
    g_error ("cannot bind a socket: %s", g_strerror (errno));
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  *at = (struct rgy_endpoint){ .ip = LOOPBACK, .port = ntohs (in.sin_port) };
  return fd;
}

/* Address that is free at this moment.  */
static struct rgy_endpoint
find_free_ (int type)
{
  struct rgy_endpoint at;

  close (bind_ (type, &at));
  return at;
}

static void
send_ (int fd, struct rgy_endpoint to, const void *data, size_t len)
{
  struct sockaddr_in in = to_sockaddr_ (to);

  if (sendto (fd, data, len, 0, (struct sockaddr *)&in, sizeof in) < 0)
    g_error ("cannot send: %s", g_strerror (errno));
}

/* Relay.  */

struct relay_
{
  struct rgy_udp *in;
  struct rgy_udp *out;
  struct rgy_endpoint agent;
  struct rgy_endpoint fabric;
};

static void
on_relay_in_ (struct rgy_endpoint from, struct rgy_bytes data, void *ctx)
{
  struct relay_ *r = ctx;

  (void)from;
  rgy_udp_send (r->out, r->agent, data);
}

static void
on_relay_out_ (struct rgy_endpoint from, struct rgy_bytes data, void *ctx)
{
  struct relay_ *r = ctx;

  (void)from;
  rgy_udp_send (r->in, r->fabric, data);
}

static void
run_relay_ (const struct bench_ *b)
{
  struct relay_ r = { .agent = b->agent_at, .fabric = b->fabric_at };
  const char *why = "";
  uv_loop_t loop;

  uv_loop_init (&loop);
  r.in = rgy_udp_bind (&loop, b->target_fabric, on_relay_in_, &r, &why);
  r.out = rgy_udp_bind (&loop, b->target_internal, on_relay_out_, &r, &why);
  if (r.in == NULL || r.out == NULL)
    g_error ("relay: cannot bind: %s", why);
  uv_run (&loop, UV_RUN_DEFAULT);
}

/* Balancer.  */

static void
spawn_balancer_ (struct bench_ *b)
{
  char fabric_listen[RGY_ENDPOINT_TEXT_BYTES];
  char listen_at[RGY_ENDPOINT_TEXT_BYTES];
  char fabric[RGY_ENDPOINT_TEXT_BYTES];
  char http[RGY_ENDPOINT_TEXT_BYTES];
  char sync_at[RGY_ENDPOINT_TEXT_BYTES];
  char store[RGY_ENDPOINT_TEXT_BYTES];
  char key[2 * RGY_WIRE_KEY_BYTES + 1] = { 0 };
  char *argv[] = { (char *)RGY_BALANCER_PROGRAM,
                   (char *)"balancer",
                   (char *)"--id",
                   (char *)"balancer-1",
                   (char *)"--domain",
                   (char *)"domain-1",
                   (char *)"--listen",
                   listen_at,
                   (char *)"--fabric-listen",
                   fabric_listen,
                   (char *)"--fabric",
                   fabric,
                   (char *)"--http",
                   http,
                   (char *)"--sync",
                   sync_at,
                   (char *)"--store",
                   store,
                   (char *)"--cluster-key",
                   key,
                   (char *)"--operator-token",
                   (char *)"benchmark",
                   (char *)"--log-level",
                   (char *)"error",
                   NULL };

  memset (key, '0', sizeof key - 1);
  rgy_endpoint_format (b->target_internal, listen_at);
  rgy_endpoint_format (b->target_fabric, fabric_listen);
  rgy_endpoint_format (b->fabric_at, fabric);
  rgy_endpoint_format (find_free_ (SOCK_STREAM), http);
  rgy_endpoint_format (find_free_ (SOCK_STREAM), sync_at);
  rgy_endpoint_format (find_free_ (SOCK_STREAM), store);
  if (posix_spawn (&b->pid, RGY_BALANCER_PROGRAM, NULL, NULL, argv, environ)
      != 0)
    g_error ("cannot start %s", RGY_BALANCER_PROGRAM);
}

/* Tells the balancer of the contract and of the agent, which is this
   process.  */
static void
send_configuration_ (struct bench_ *b)
{
  static const char contract[]
      = "{\"customer\":\"bench\",\"callers\":[\"127.100.0.0/16\"],"
        "\"services\":[{\"name\":\"bench\",\"address\":\"127.0.10.1:5683\","
        "\"protocol\":\"udp\"}]}";
  struct rgy_agent_record record = { .id = rgy_name_from_c ("agent-1"),
                                     .epoch = 1,
                                     .sequence = 2,
                                     .state = RGY_MEMBER_READY,
                                     .domain = rgy_name_from_c ("domain-1"),
                                     .endpoint = b->agent_at,
                                     .service = service_ };
  GByteArray *bytes = rgy_agent_record_encode (&record);
  struct rgy_entry entries[]
      = { { .class = RGY_ENTRY_CONTRACT,
            .key = rgy_name_from_c ("bench"),
            .version = { .major = 1 },
            .value = { .data = (const uint8_t *)contract,
                       .len = sizeof contract - 1 } },
          { .class = RGY_ENTRY_AGENT,
            .key = record.id,
            .version = { .major = 1, .minor = 2 },
            .value = { .data = bytes->data, .len = bytes->len } } };
  struct rgy_message *m = g_new0 (struct rgy_message, 1);
  struct rgy_bytes encoded;

  m->kind = RGY_MSG_ENTRIES;
  m->u.entries.from = record.id;
  m->u.entries.entries[0] = &entries[0];
  m->u.entries.entries[1] = &entries[1];
  m->u.entries.count = 2;
  encoded = rgy_wire_encode (b->wire, m);
  send_ (b->agent, b->target_internal, encoded.data, encoded.len);
  g_free (m);
  g_byte_array_unref (bytes);
}

/* Traffic.  */

static void
send_packet_ (const struct bench_ *b, unsigned i)
{
  uint8_t packet[RGY_PROXY_HEADER_BYTES + PAYLOAD_BYTES] = { 0 };

  rgy_proxy_write (
      packet,
      (struct rgy_endpoint){ .ip = CALLER_IP,
                             .port = (uint16_t)(1024 + i % CALLERS) },
      service_);
  send_ (b->fabric, b->target_fabric, packet, sizeof packet);
}

static void
answer_probe_ (struct bench_ *b, struct rgy_bytes datagram)
{
  struct rgy_message *m = g_new0 (struct rgy_message, 1);
  struct rgy_bytes encoded;

  if (rgy_wire_decode (b->wire, datagram, m) == RGY_OK
      && m->kind == RGY_MSG_PROBE)
    {
      m->kind = RGY_MSG_PROBE_ACK;
      m->u.probe.from = rgy_name_from_c ("agent-1");
      encoded = rgy_wire_encode (b->wire, m);
      send_ (b->agent, b->target_internal, encoded.data, encoded.len);
    }
  g_free (m);
}

static void
send_answer_ (struct bench_ *b, const uint8_t *datagram, size_t len)
{
  static const uint8_t payload[PAYLOAD_BYTES];
  struct rgy_message m = { .kind = RGY_MSG_ANSWER };
  struct rgy_bytes encoded;

  if (b->relay)
    {
      send_ (b->agent, b->target_internal, datagram, len);
      return;
    }
  m.u.answer = (struct rgy_answer_message){
    .caller = { .ip = CALLER_IP, .port = 1024 },
    .service = service_,
    .payload = { .data = payload, .len = sizeof payload }
  };
  encoded = rgy_wire_encode (b->wire, &m);
  send_ (b->agent, b->target_internal, encoded.data, encoded.len);
}

/* Takes all datagrams that the agent's socket holds.  @return packets.  */
static unsigned
receive_at_agent_ (struct bench_ *b, bool answer)
{
  uint8_t data[DATAGRAM_BYTES];
  unsigned packets = 0;
  ssize_t n;

  while ((n = recv (b->agent, data, sizeof data, MSG_DONTWAIT)) > 0)
    {
      if (!b->relay && n > RGY_WIRE_TAG_BYTES + 1
          && data[RGY_WIRE_TAG_BYTES + 1] != RGY_MSG_DATA)
        {
          answer_probe_ (b,
                         (struct rgy_bytes){ .data = data, .len = (size_t)n });
          continue;
        }
      packets++;
      if (answer)
        send_answer_ (b, data, (size_t)n);
    }
  return packets;
}

static unsigned
receive_at_fabric_ (const struct bench_ *b)
{
  uint8_t data[DATAGRAM_BYTES];
  unsigned packets = 0;

  while (recv (b->fabric, data, sizeof data, MSG_DONTWAIT) > 0)
    packets++;
  return packets;
}

/* @return false after a time without a datagram.  */
static bool
wait_ (const struct bench_ *b, int timeout_ms)
{
  struct pollfd fds[] = { { .fd = b->agent, .events = POLLIN },
                          { .fd = b->fabric, .events = POLLIN } };

  return poll (fds, G_N_ELEMENTS (fds), timeout_ms) > 0;
}

/* CPU time of the target, from the scheduler's statistics.  */
static int64_t
target_cpu_ns_ (const struct bench_ *b)
{
  char *path = g_strdup_printf ("/proc/%d/schedstat", (int)b->pid);
  char *text = NULL;
  int64_t ns = 0;

  if (g_file_get_contents (path, &text, NULL, NULL))
    ns = g_ascii_strtoll (text, NULL, 10);
  g_free (text);
  g_free (path);
  return ns;
}

static struct result_
measure_ (struct bench_ *b, unsigned packets, bool answer)
{
  struct result_ result = { 0 };
  int64_t start_cpu_ns = target_cpu_ns_ (b);
  int64_t start_ns = bench_wall_ns ();
  unsigned sent = 0;
  unsigned done = 0;
  unsigned at_agent;

  while (done + result.lost < packets)
    {
      while (sent < packets && sent - done - result.lost < WINDOW)
        send_packet_ (b, sent++);
      if (!wait_ (b, LOST_AFTER_MS))
        result.lost = sent - done;
      at_agent = receive_at_agent_ (b, answer);
      done += answer ? receive_at_fabric_ (b) : at_agent;
    }
  result.packets_per_s = done * 1e9 / (double)(bench_wall_ns () - start_ns);
  result.cpu_us
      = (double)(target_cpu_ns_ (b) - start_cpu_ns) / 1000 / (done + 1);
  return result;
}

static void
start_ (struct bench_ *b, bool relay)
{
  unsigned i;

  b->relay = relay;
  b->fabric = bind_ (SOCK_DGRAM, &b->fabric_at);
  b->agent = bind_ (SOCK_DGRAM, &b->agent_at);
  b->target_fabric = find_free_ (SOCK_DGRAM);
  b->target_internal = find_free_ (SOCK_DGRAM);
  b->wire = rgy_wire_new (key_);
  if (!relay)
    spawn_balancer_ (b);
  else if ((b->pid = fork ()) == 0)
    {
      run_relay_ (b);
      _exit (0);
    }
  for (i = 0; i < READY_ATTEMPTS; i++)
    {
      if (!relay)
        send_configuration_ (b);
      send_packet_ (b, 0);
      if (wait_ (b, READY_WAIT_MS) && receive_at_agent_ (b, false) > 0)
        return;
    }
  g_error ("%s does not forward", relay ? "the relay" : "the balancer");
}

static void
stop_ (struct bench_ *b)
{
  kill (b->pid, SIGKILL);
  waitpid (b->pid, NULL, 0);
  rgy_wire_delete (b->wire);
  close (b->fabric);
  close (b->agent);
}

int
main (int argc, char **argv)
{
  struct bench_ relay = { 0 };
  struct bench_ balancer = { 0 };
  guint64 packets = DEFAULT_PACKETS;
  unsigned round;
  unsigned answer;

  if (argc > 2
      || (argc == 2
          && !g_ascii_string_to_unsigned (argv[1], 10, 1, MAX_PACKETS,
                                          &packets, NULL)))
    {
      fprintf (stderr, "usage: %s [PACKETS], 1 to %d\n", argv[0], MAX_PACKETS);
      return 2;
    }
  start_ (&relay, true);
  start_ (&balancer, false);
  for (answer = 0; answer < 2; answer++)
    for (round = 0; round < ROUNDS; round++)
      {
        struct result_ r = measure_ (&relay, (unsigned)packets, answer);
        struct result_ b = measure_ (&balancer, (unsigned)packets, answer);

        printf ("%s: relay %.0f packets/s, %.2f us CPU a packet, %u lost; "
                "balancer %.0f packets/s, %.2f us, %u lost; ratio %.2f in "
                "packets/s, %.2f in CPU\n",
                answer ? "with answers" : "one way", r.packets_per_s, r.cpu_us,
                r.lost, b.packets_per_s, b.cpu_us, b.lost,
                b.packets_per_s / r.packets_per_s, b.cpu_us / r.cpu_us);
      }
  stop_ (&balancer);
  stop_ (&relay);
  return 0;
}
