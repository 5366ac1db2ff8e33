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

/* Benchmark of forwarding: compares one ragwortyoked balancer with a plain
   datagram relay that uses the same UDP adapter and gets packets from the same
   sender.  This process plays the fabric and the agent.  At most WINDOW
   packets are in flight, so that none is dropped.

   Usage: bench_relay [PACKETS]  */

#define DEFAULT_PACKETS 200000
#define MAX_PACKETS 5000000
/* Largest number of packets in flight.  */
#define WINDOW 64
#define PAYLOAD_BYTES 200
#define DATAGRAM_BYTES 2048
/* Packets in flight count as lost after this time without a datagram.  */
#define LOSS_TIMEOUT_MS 200
#define READY_ATTEMPTS 100
#define READY_WAIT_MS 100
#define LOOPBACK 0x7f000001U
#define CALLER_IP 0x7f640001U
#define CALLERS 1000
#define ROUNDS 3

extern char **environ;

static const struct rgy_endpoint service_ = { .ip = 0x7f000a01, .port = 5683 };
static const uint8_t cluster_key_[RGY_WIRE_KEY_BYTES];

/* A target under test, which is the balancer or the relay, with the sockets of
   the fabric and of the agent around it.  */
struct target_bench_
{
  int fabric_fd; /* Sends callers' packets, receives packets to callers.  */
  int agent_fd;  /* Receives the agent's datagrams, sends its answers.  */
  struct rgy_endpoint fabric_endpoint;
  struct rgy_endpoint agent_endpoint;
  struct rgy_endpoint target_fabric;   /* Receives packets of callers.  */
  struct rgy_endpoint target_internal; /* Receives datagrams of the agent.  */
  pid_t pid;
  bool is_relay; /* The target is the plain relay.  */
  struct rgy_wire *wire;
};

struct result_
{
  double packets_per_s;
  double cpu_us;
  unsigned lost;
};

static struct sockaddr_in
to_sockaddr_ (struct rgy_endpoint e)
{
  struct sockaddr_in in = { .sin_family = AF_INET };

  in.sin_addr.s_addr = htonl (e.ip);
  in.sin_port = htons (e.port);
  return in;
}

/* Binds a socket to a free loopback port.  @return the descriptor; @p at
   becomes the endpoint.  */
static int
bind_socket_ (int type, struct rgy_endpoint *at)
{
  struct sockaddr_in in
      = to_sockaddr_ ((struct rgy_endpoint){ .ip = LOOPBACK });
  socklen_t len = sizeof in;
  int size = 4 << 20;
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);

  if (fd < 0 || bind (fd, (struct sockaddr *)&in, sizeof in) != 0
      || getsockname (fd, (struct sockaddr *)&in, &len) != 0)
    g_error ("cannot bind a loopback socket: %s", g_strerror (errno));
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  *at = (struct rgy_endpoint){ .ip = LOOPBACK, .port = ntohs (in.sin_port) };
  return fd;
}

/* Loopback endpoint whose port is free at this moment.  */
static struct rgy_endpoint
find_free_endpoint_ (int type)
{
  struct rgy_endpoint at;

  close (bind_socket_ (type, &at));
  return at;
}

static void
send_datagram_ (int fd, struct rgy_endpoint to, const void *data, size_t len)
{
  struct sockaddr_in in = to_sockaddr_ (to);

  if (sendto (fd, data, len, 0, (struct sockaddr *)&in, sizeof in) < 0)
    g_error ("cannot send a datagram: %s", g_strerror (errno));
}

/* Plain relay between the fabric and the agent.  */
struct relay_
{
  struct rgy_udp *fabric_side;
  struct rgy_udp *agent_side;
  struct rgy_endpoint agent;
  struct rgy_endpoint fabric;
};

static void
relay_to_agent_ (struct rgy_endpoint from, struct rgy_bytes data, void *ctx)
{
  struct relay_ *r = ctx;

  (void)from;
  rgy_udp_send (r->agent_side, r->agent, data);
}

static void
relay_to_fabric_ (struct rgy_endpoint from, struct rgy_bytes data, void *ctx)
{
  struct relay_ *r = ctx;

  (void)from;
  rgy_udp_send (r->fabric_side, r->fabric, data);
}

static void
run_relay_ (const struct target_bench_ *b)
{
  struct relay_ r
      = { .agent = b->agent_endpoint, .fabric = b->fabric_endpoint };
  const char *reason = "";
  uv_loop_t loop;

  uv_loop_init (&loop);
  r.fabric_side
      = rgy_udp_bind (&loop, b->target_fabric, relay_to_agent_, &r, &reason);
  r.agent_side = rgy_udp_bind (&loop, b->target_internal, relay_to_fabric_, &r,
                               &reason);
  if (r.fabric_side == NULL || r.agent_side == NULL)
    g_error ("relay: cannot bind: %s", reason);
  uv_run (&loop, UV_RUN_DEFAULT);
}

static void
spawn_balancer_ (struct target_bench_ *b)
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
  rgy_endpoint_format (b->fabric_endpoint, fabric);
  rgy_endpoint_format (find_free_endpoint_ (SOCK_STREAM), http);
  rgy_endpoint_format (find_free_endpoint_ (SOCK_STREAM), sync_at);
  rgy_endpoint_format (find_free_endpoint_ (SOCK_STREAM), store);
  if (posix_spawn (&b->pid, RGY_BALANCER_PROGRAM, NULL, NULL, argv, environ)
      != 0)
    g_error ("cannot start %s", RGY_BALANCER_PROGRAM);
}

/* Sends the contract and the record of the agent, which is this process, to
   the balancer.  */
static void
send_configuration_ (struct target_bench_ *b)
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
                                     .endpoint = b->agent_endpoint,
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
  send_datagram_ (b->agent_fd, b->target_internal, encoded.data, encoded.len);
  g_free (m);
  g_byte_array_unref (bytes);
}

static void
send_packet_ (const struct target_bench_ *b, unsigned i)
{
  uint8_t packet[RGY_PROXY_HEADER_BYTES + PAYLOAD_BYTES] = { 0 };

  rgy_proxy_write (
      packet,
      (struct rgy_endpoint){ .ip = CALLER_IP,
                             .port = (uint16_t)(1024 + i % CALLERS) },
      service_);
  send_datagram_ (b->fabric_fd, b->target_fabric, packet, sizeof packet);
}

/* Acknowledges a probe, so that the balancer does not declare the agent
   dead.  */
static void
answer_probe_ (struct target_bench_ *b, struct rgy_bytes datagram)
{
  struct rgy_message *m = g_new0 (struct rgy_message, 1);
  struct rgy_bytes encoded;

  if (rgy_wire_decode (b->wire, datagram, m) == RGY_OK
      && m->kind == RGY_MSG_PROBE)
    {
      m->kind = RGY_MSG_PROBE_ACK;
      m->u.probe.from = rgy_name_from_c ("agent-1");
      encoded = rgy_wire_encode (b->wire, m);
      send_datagram_ (b->agent_fd, b->target_internal, encoded.data,
                      encoded.len);
    }
  g_free (m);
}

/* Sends the agent's answer.  The relay gets the packet back unchanged; the
   balancer gets an ANSWER message.  */
static void
send_answer_ (struct target_bench_ *b, const uint8_t *datagram, size_t len)
{
  static const uint8_t payload[PAYLOAD_BYTES];
  struct rgy_message m = { .kind = RGY_MSG_ANSWER };
  struct rgy_bytes encoded;

  if (b->is_relay)
    {
      send_datagram_ (b->agent_fd, b->target_internal, datagram, len);
      return;
    }
  m.u.answer = (struct rgy_answer_message){
    .caller = { .ip = CALLER_IP, .port = 1024 },
    .service = service_,
    .payload = { .data = payload, .len = sizeof payload }
  };
  encoded = rgy_wire_encode (b->wire, &m);
  send_datagram_ (b->agent_fd, b->target_internal, encoded.data, encoded.len);
}

/* Receives all datagrams that wait at the agent's socket and answers probes;
   answers packets too if @p answer is set.  @return the number of packets.  */
static unsigned
receive_at_agent_ (struct target_bench_ *b, bool answer)
{
  uint8_t data[DATAGRAM_BYTES];
  unsigned packets = 0;
  ssize_t n;

  while ((n = recv (b->agent_fd, data, sizeof data, MSG_DONTWAIT)) > 0)
    {
      if (!b->is_relay && n > RGY_WIRE_TAG_BYTES + 1
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

/* Receives all datagrams that wait at the fabric's socket.  @return their
   number.  */
static unsigned
receive_at_fabric_ (const struct target_bench_ *b)
{
  uint8_t data[DATAGRAM_BYTES];
  unsigned packets = 0;

  while (recv (b->fabric_fd, data, sizeof data, MSG_DONTWAIT) > 0)
    packets++;
  return packets;
}

/* Waits for a datagram at either socket.  @return false after @p timeout_ms
   without one.  */
static bool
wait_for_datagram_ (const struct target_bench_ *b, int timeout_ms)
{
  struct pollfd fds[] = { { .fd = b->agent_fd, .events = POLLIN },
                          { .fd = b->fabric_fd, .events = POLLIN } };

  return poll (fds, G_N_ELEMENTS (fds), timeout_ms) > 0;
}

/* CPU time of the target in nanoseconds, from the scheduler's statistics.  */
static int64_t
read_target_cpu_ns_ (const struct target_bench_ *b)
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

/* Sends packets through the target until each of them has arrived or counts as
   lost.  Packets arrive at the agent; with @p answer, their answers must
   arrive at the fabric instead.  */
static struct result_
measure_forwarding_ (struct target_bench_ *b, unsigned packets, bool answer)
{
  struct result_ result = { 0 };
  int64_t start_cpu_ns = read_target_cpu_ns_ (b);
  int64_t start_ns = bench_wall_ns ();
  unsigned sent = 0;
  unsigned arrived_count = 0;
  unsigned at_agent;

  while (arrived_count + result.lost < packets)
    {
      while (sent < packets && sent - arrived_count - result.lost < WINDOW)
        send_packet_ (b, sent++);
      if (!wait_for_datagram_ (b, LOSS_TIMEOUT_MS))
        result.lost = sent - arrived_count;
      at_agent = receive_at_agent_ (b, answer);
      arrived_count += answer ? receive_at_fabric_ (b) : at_agent;
    }
  result.packets_per_s
      = arrived_count * 1e9 / (double)(bench_wall_ns () - start_ns);
  result.cpu_us = (double)(read_target_cpu_ns_ (b) - start_cpu_ns) / 1000
                  / (arrived_count + 1);
  return result;
}

/* Starts the target and waits until it forwards a packet.  */
static void
start_target_ (struct target_bench_ *b, bool relay)
{
  unsigned i;

  b->is_relay = relay;
  b->fabric_fd = bind_socket_ (SOCK_DGRAM, &b->fabric_endpoint);
  b->agent_fd = bind_socket_ (SOCK_DGRAM, &b->agent_endpoint);
  b->target_fabric = find_free_endpoint_ (SOCK_DGRAM);
  b->target_internal = find_free_endpoint_ (SOCK_DGRAM);
  b->wire = rgy_wire_new (cluster_key_);
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
      if (wait_for_datagram_ (b, READY_WAIT_MS)
          && receive_at_agent_ (b, false) > 0)
        return;
    }
  g_error ("%s forwards no packet", relay ? "the relay" : "the balancer");
}

static void
stop_target_ (struct target_bench_ *b)
{
  kill (b->pid, SIGKILL);
  waitpid (b->pid, NULL, 0);
  rgy_wire_delete (b->wire);
  close (b->fabric_fd);
  close (b->agent_fd);
}

int
main (int argc, char **argv)
{
  struct target_bench_ relay = { 0 };
  struct target_bench_ balancer = { 0 };
  guint64 packets = DEFAULT_PACKETS;
  unsigned round;
  unsigned answer;

  if (argc > 2
      || (argc == 2
          && !g_ascii_string_to_unsigned (argv[1], 10, 1, MAX_PACKETS,
                                          &packets, NULL)))
    {
      fprintf (stderr, "usage: %s [PACKETS], with PACKETS from 1 to %d\n",
               argv[0], MAX_PACKETS);
      return 2;
    }
  start_target_ (&relay, true);
  start_target_ (&balancer, false);
  for (answer = 0; answer < 2; answer++)
    for (round = 0; round < ROUNDS; round++)
      {
        struct result_ r
            = measure_forwarding_ (&relay, (unsigned)packets, answer);
        struct result_ b
            = measure_forwarding_ (&balancer, (unsigned)packets, answer);

        printf ("%s: relay %.0f packets/s, %.2f us CPU per packet, %u lost; "
                "balancer %.0f packets/s, %.2f us, %u lost; balancer to "
                "relay: packets/s %.2f, CPU %.2f\n",
                answer ? "with answers" : "one way", r.packets_per_s, r.cpu_us,
                r.lost, b.packets_per_s, b.cpu_us, b.lost,
                b.packets_per_s / r.packets_per_s, b.cpu_us / r.cpu_us);
      }
  stop_target_ (&balancer);
  stop_target_ (&relay);
  return 0;
}
