#include "rig.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Backend servers.  */

#define CALL_TIMEOUT_MS 1000
#define COLD_WORK_X10 16
#define RESTART_AFTER_FALL_MS 1000
#define WINDOW_MS 1000
/* Packets that must not stray for FLOW_GRACE_MS.  */
#define MIN_STRAYED 3
#define FLOW_GRACE_MS 2000
/* Spread the first numbers of flows.  */
#define SEQ_STEP 104729U
#define SEQ_FACTOR 2654435761U

enum
{
  FLOW_NONE,
  FLOW_HALF_OPEN,
  FLOW_OPEN,
  FLOW_CLOSED
};

static const char answer_[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

int rig_work_ms;
double rig_cold_limit;

static struct rig_host *started_[RIG_MAX_AGENTS];
/* Packets of a flow that reached hosts which do not hold it while another one
   does, since the holder got the last one.  By the caller's port.  */
static int strayed_[65536];
static int64_t first_strayed_ms_[65536];
static bool was_lost_[65536];

static int64_t
get_unix_ms_ (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Sends a packet of a flow to the agent, for the caller.  */
static void
send_to_caller_ (const struct rig_host *host, uint16_t port, uint8_t flags,
                 uint32_t seq, const char *data, size_t len)
{
  struct rig_packet packet = { .flags = flags,
                               .seq = seq,
                               .ack = host->flow_next[port],
                               .src = RIG_ROUTE_IP,
                               .dst = RIG_CALLER_IP,
                               .sport = RIG_ROUTE_PORT,
                               .dport = port,
                               .data = (const uint8_t *)data,
                               .len = (uint16_t)len };
  uint8_t out[RIG_PACKET_BYTES];
  size_t n = rig_packet_encode (&packet, out);

  rig_udp_send (host->udp->fd, RIG_AGENT_IP (host->index), RIG_OUTBOUND_PORT,
                out, n);
}

/* Returns a packet of a flow that the host does not hold.  */
static void
bounce_ (const struct rig_host *host, const uint8_t *in, size_t len)
{
  uint8_t out[RIG_PACKET_BYTES];

  memcpy (out, in, len);
  out[0] |= RIG_BOUNCED;
  memset (out + 1, 0, 5);
  rig_udp_send (host->udp->fd, RIG_AGENT_IP (host->index), RIG_OUTBOUND_PORT,
                out, len);
}

static void
record_run_ (struct rig_host *host, uint16_t port)
{
  if (host->n_runs == RIG_MAX_RUNS)
    return;
  host->runs[host->n_runs++]
      = (struct rig_run){ .sent_ms = rig_caller_get_sent_ms (port),
                          .arrived_ms = rig_now_ms };
  rig_record ("run port=%u host=%d cold=%d", port, host->index,
              rig_now_ms >= host->cold_from_ms
                  && rig_now_ms < host->cold_until_ms);
}

static void
handle_first_packet_ (struct rig_host *host, const struct rig_packet *packet)
{
  uint16_t port = packet->sport;

  if (host->flow_state[port] == FLOW_NONE
      || host->flow_state[port] == FLOW_CLOSED)
    {
      host->flow_state[port] = FLOW_HALF_OPEN;
      host->flow_sent[port] = 0;
      host->flow_has_fin[port] = false;
      host->flow_seq[port] = ((port * SEQ_STEP) ^ (host->boot << 24)
                              ^ ((uint32_t)host->index << 20))
                             * SEQ_FACTOR;
    }
  host->flow_next[port] = packet->seq + 1;
  send_to_caller_ (host, port, RIG_SYN | RIG_ACK, host->flow_seq[port], NULL,
                   0);
}

/* Answers the request of a flow, again if it was answered before.  */
static void
answer_request_ (struct rig_host *host, uint16_t port)
{
  uint32_t seq = host->flow_seq[port] + 1;
  uint32_t len = (uint32_t)strlen (answer_);

  send_to_caller_ (host, port, RIG_ACK, seq + host->flow_sent[port] - len,
                   answer_, len);
  /* A host that leaves closes each flow after its next answer.  */
  if (!host->draining)
    return;
  host->flow_has_fin[port] = true;
  send_to_caller_ (host, port, RIG_FIN | RIG_ACK, seq + host->flow_sent[port],
                   NULL, 0);
}

static void
end_request_ (struct rig_host *host, uint16_t port)
{
  host->flow_due_ms[port] = 0;
  host->n_running--;
  host->flow_sent[port] += (uint32_t)strlen (answer_);
  answer_request_ (host, port);
}

/* Runs a request on the slot that is free first.  */
static void
begin_request_ (struct rig_host *host, uint16_t port)
{
  bool is_cold = rig_now_ms < host->cold_until_ms;
  int64_t work_ms = is_cold ? rig_work_ms * COLD_WORK_X10 / 10 : rig_work_ms;
  int64_t *slot = &host->slot_free_ms[0];
  int i;

  for (i = 1; i < RIG_SLOTS; i++)
    if (host->slot_free_ms[i] < *slot)
      slot = &host->slot_free_ms[i];
  *slot = (*slot > rig_now_ms ? *slot : rig_now_ms) + work_ms;
  host->flow_due_ms[port] = *slot;
  host->n_running++;
  if (work_ms == 0)
    end_request_ (host, port);
}

/* Handles a packet of an open flow.  */
static void
handle_packet_ (struct rig_host *host, const struct rig_packet *packet)
{
  uint16_t port = packet->sport;

  if ((packet->flags & RIG_RST) != 0)
    {
      host->flow_state[port] = FLOW_CLOSED;
      return;
    }
  if (packet->len > 0 && packet->seq == host->flow_next[port])
    {
      host->flow_next[port] = packet->seq + packet->len;
      begin_request_ (host, port);
    }
  else if (packet->len > 0 && host->flow_due_ms[port] == 0)
    answer_request_ (host, port);
  if ((packet->flags & RIG_FIN) == 0)
    return;
  host->flow_next[port] = packet->seq + 1;
  host->flow_state[port] = FLOW_CLOSED;
  if (host->flow_has_fin[port])
    send_to_caller_ (host, port, RIG_ACK,
                     host->flow_seq[port] + 2 + host->flow_sent[port], NULL,
                     0);
  else
    send_to_caller_ (host, port, RIG_FIN | RIG_ACK,
                     host->flow_seq[port] + 1 + host->flow_sent[port], NULL,
                     0);
}

static bool
is_held_elsewhere_ (const struct rig_host *host, uint16_t port)
{
  int i;

  for (i = 0; i < RIG_MAX_AGENTS; i++)
    if (started_[i] != NULL && started_[i] != host
        && rig_host_holds_flow (started_[i], port))
      return true;
  return false;
}

static void
check_strayed_ (uint16_t port)
{
  if (strayed_[port] >= MIN_STRAYED
      && rig_now_ms - first_strayed_ms_[port] >= FLOW_GRACE_MS)
    was_lost_[port] = true;
}

/* Notes which host a packet of an open flow has reached.  */
static void
note_packet_ (const struct rig_host *host, uint16_t port)
{
  if (rig_host_holds_flow (host, port))
    {
      check_strayed_ (port);
      strayed_[port] = 0;
    }
  else if (is_held_elsewhere_ (host, port))
    {
      if (strayed_[port]++ == 0)
        first_strayed_ms_[port] = rig_now_ms;
      rig_record ("strayed port=%u host=%d", port, host->index);
    }
}

int
rig_hosts_count_lost_flows (void)
{
  int n = 0;
  int port;

  for (port = 0; port < 65536; port++)
    {
      check_strayed_ ((uint16_t)port);
      n += was_lost_[port];
    }
  return n;
}

static void
on_packet_ (struct rig_source *source, short events)
{
  struct rig_host *host = source->ctx;
  uint8_t in[RIG_PACKET_BYTES + 1];
  struct rig_packet packet;
  ssize_t n;

  (void)events;
  while ((n = recv (source->fd, in, sizeof in, 0)) > 0)
    {
      uint16_t port;

      if (!rig_packet_decode (in, (size_t)n, &packet))
        continue;
      port = packet.sport;
      if ((packet.flags & (RIG_SYN | RIG_ACK)) == RIG_SYN)
        {
          handle_first_packet_ (host, &packet);
          continue;
        }
      if (host->flow_state[port] == FLOW_HALF_OPEN
          && packet.ack == host->flow_seq[port] + 1)
        {
          host->flow_state[port] = FLOW_OPEN;
          record_run_ (host, port);
        }
      note_packet_ (host, port);
      if (host->flow_state[port] == FLOW_OPEN)
        handle_packet_ (host, &packet);
      else if (host->flow_state[port] != FLOW_CLOSED)
        bounce_ (host, in, (size_t)n);
      else if ((packet.flags & RIG_FIN) != 0)
        send_to_caller_ (host, port, RIG_ACK,
                         host->flow_seq[port] + 2 + (uint32_t)strlen (answer_),
                         NULL, 0);
      else if (packet.len > 0)
        send_to_caller_ (host, port, RIG_RST, host->flow_seq[port] + 1, NULL,
                         0);
    }
}

/* Accepts the connection of a status check and closes it.  */
static void
on_check_ (struct rig_source *source, short events)
{
  int fd = accept (source->fd, NULL, NULL);

  (void)events;
  if (fd >= 0)
    close (fd);
}

/* Heartbeats.  */

static void
on_heartbeat_answer_ (int status, void *ctx)
{
  struct rig_host *host = ctx;

  host->heartbeat_running = false;
  if (status != 200)
    {
      rig_record ("heartbeat host=%d seq=%llu status=%d", host->index,
                  (unsigned long long)host->seq, status);
      host->next_heartbeat_ms = rig_now_ms + 300;
      return;
    }
  if (host->heartbeat_drains && host->drain_acked_ms < 0)
    {
      host->drain_acked_ms = rig_now_ms;
      rig_record ("draining acknowledged host=%d", host->index);
    }
}

static void
send_heartbeat_ (struct rig_host *host)
{
  int64_t left_ms = host->cold_until_ms - rig_now_ms;
  char ip[32];
  char target[64];
  char body[512];

  host->heartbeat_running = true;
  host->heartbeat_drains = host->draining;
  host->next_heartbeat_ms = rig_now_ms + RIG_HEARTBEAT_MS;
  rig_format_ip (RIG_AGENT_IP (host->index), ip, sizeof ip);
  snprintf (target, sizeof target, "/instances/i-%d-%u/heartbeat", host->index,
            host->boot);
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"concurrency\":%d,\"state\":\"%s\","
            "\"warmup_left_ms\":%lld,\"seq\":%llu,\"born\":%lld}",
            RIG_SERVICE, ip, RIG_APP_PORT, host->zone, RIG_SLOTS,
            host->draining ? "draining" : "ready",
            (long long)(left_ms > 0 ? left_ms : 0),
            (unsigned long long)++host->seq, (long long)host->born_ms);
  rig_record ("heartbeat host=%d seq=%llu warmup_left=%lld", host->index,
              (unsigned long long)host->seq,
              (long long)(left_ms > 0 ? left_ms : 0));
  rig_call (RIG_AGENT_IP (host->index), RIG_CONTROL_PORT, "POST", target, body,
            CALL_TIMEOUT_MS, on_heartbeat_answer_, host);
}

void
rig_host_cool (struct rig_host *host, int64_t cold_ms)
{
  host->cold_from_ms = rig_now_ms;
  host->cold_until_ms = rig_now_ms + cold_ms;
  host->fall_cold_ms = cold_ms;
  rig_record ("host %d is cold for %lld ms", host->index, (long long)cold_ms);
}

void
rig_host_start (struct rig_host *host, int64_t cold_ms)
{
  int fd = rig_udp_bind (RIG_AGENT_IP (host->index), RIG_APP_PORT);
  int listener = rig_tcp_listen (RIG_AGENT_IP (host->index), RIG_APP_PORT);

  if (fd < 0 || listener < 0)
    {
      fprintf (stderr, "the address of host %d is in use\n", host->index);
      exit (2);
    }
  started_[host->index] = host;
  host->alive = true;
  host->boot++;
  host->born_ms = get_unix_ms_ () + host->clock_ahead_ms;
  host->seq = 0;
  host->drain_acked_ms = -1;
  host->cold_from_ms = -1;
  host->cold_until_ms = -1;
  host->next_heartbeat_ms = rig_now_ms;
  host->udp = rig_source_add (fd, POLLIN, on_packet_, host);
  host->tcp = rig_source_add (listener, POLLIN, on_check_, host);
  rig_record ("host %d starts", host->index);
  if (cold_ms > 0)
    rig_host_cool (host, cold_ms);
}

void
rig_host_crash (struct rig_host *host)
{
  rig_record ("host %d ends, %d requests run", host->index, host->n_running);
  host->n_lost += host->n_running;
  host->n_running = 0;
  memset (host->flow_due_ms, 0, sizeof host->flow_due_ms);
  host->alive = false;
  rig_source_close (host->udp);
  rig_source_close (host->tcp);
  memset (host->flow_state, 0, sizeof host->flow_state);
}

void
rig_host_drain (struct rig_host *host)
{
  rig_record ("host %d leaves", host->index);
  host->draining = true;
  host->next_heartbeat_ms = rig_now_ms;
}

bool
rig_host_holds_flow (const struct rig_host *host, uint16_t port)
{
  return host->alive && host->flow_state[port] == FLOW_OPEN;
}

static void
on_leave_answer_ (int status, void *ctx)
{
  struct rig_host *host = ctx;

  rig_record ("deregistered host=%d status=%d", host->index, status);
  rig_host_crash (host);
}

void
rig_host_leave (struct rig_host *host)
{
  char target[64];

  snprintf (target, sizeof target, "/instances/i-%d-%u/deregister",
            host->index, host->boot);
  rig_call (RIG_AGENT_IP (host->index), RIG_CONTROL_PORT, "POST", target, "",
            CALL_TIMEOUT_MS, on_leave_answer_, host);
}

int
rig_host_count_late (const struct rig_host *host, int64_t ms)
{
  int n = 0;
  int i;

  for (i = 0; i < host->n_runs; i++)
    n += host->drain_acked_ms >= 0
         && host->runs[i].arrived_ms > host->drain_acked_ms + ms;
  return n;
}

/* True if a cold host got more in the last second than it bears.  */
static bool
is_overrun_ (const struct rig_host *host)
{
  int n = 0;
  int i;

  if (rig_cold_limit <= 0 || rig_now_ms >= host->cold_until_ms)
    return false;
  for (i = host->n_runs - 1;
       i >= 0 && rig_now_ms - host->runs[i].arrived_ms < WINDOW_MS
       && host->runs[i].arrived_ms >= host->cold_from_ms;
       i--)
    n++;
  return n > rig_cold_limit;
}

void
rig_host_tick (struct rig_host *host)
{
  int port;

  for (port = 0; host->n_running > 0 && port < 65536; port++)
    if (host->flow_due_ms[port] != 0 && rig_now_ms >= host->flow_due_ms[port])
      end_request_ (host, (uint16_t)port);
  if (host->alive && is_overrun_ (host))
    {
      host->n_falls++;
      rig_record ("host %d falls over", host->index);
      rig_host_crash (host);
      host->restart_ms = rig_now_ms + RESTART_AFTER_FALL_MS;
    }
  if (!host->alive && host->restart_ms != 0 && rig_now_ms >= host->restart_ms)
    {
      int64_t from_ms = host->cold_from_ms;

      host->restart_ms = 0;
      rig_host_start (host, host->fall_cold_ms);
      host->cold_from_ms = from_ms;
    }
  if (host->alive && !host->heartbeat_running
      && rig_now_ms >= host->next_heartbeat_ms)
    send_heartbeat_ (host);
}

int
rig_host_count_cold_peak (const struct rig_host *host, int64_t *from_ms)
{
  int peak = 0;
  int i;
  int j;

  for (i = 0; i < host->n_runs; i++)
    {
      int64_t start_ms = host->runs[i].sent_ms;
      int n = 0;

      if (start_ms < host->cold_from_ms)
        continue;
      for (j = 0; j < host->n_runs; j++)
        n += host->runs[j].sent_ms >= start_ms
             && host->runs[j].arrived_ms < start_ms + WINDOW_MS
             && host->runs[j].arrived_ms < host->cold_until_ms;
      if (n > peak)
        {
          peak = n;
          *from_ms = start_ms;
        }
    }
  return peak;
}
