#include "rig.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Callers, who open a flow for each request, and the router.  */

#define FIRST_PORT 10000
#define LAST_PORT 60000
#define LIMIT_MS RIG_LIMIT_MS
#define RESET_WINDOW 76800
#define REOPEN_MS 200
#define OPENING_LIMIT_MS 1400
#define FIRST_COPY_MS 200
#define SECOND_COPY_MS 600
#define RETRY_MS 200
#define MAX_RETRY_MS 1600
#define MAX_TRIES 3
#define READY_INTERVAL_MS 500
#define CLIENT_SEQ 1000U
/* Distance of the numbers of two flows from one port.  */
#define SEQ_STEP 1000000U

struct caller_
{
  enum
  {
    CALLER_NONE,
    CALLER_OPENING,
    CALLER_WAITING, /* The request is sent.  */
    CALLER_IDLE,    /* Keeps the flow after the answer.  */
    CALLER_CLOSING, /* Opens a new flow from the port soon.  */
    CALLER_DONE
  } state;
  bool keeps;
  bool was_reset; /* After its first answer.  */
  uint32_t asked; /* Bytes of answered requests.  */
  uint32_t got;   /* Bytes of answers.  */
  int tries;
  unsigned copies;
  uint32_t seq;
  uint32_t backend_seq;
  int64_t first_try_ms;
  int64_t sent_ms;
  int64_t next_ms;
  int64_t retry_ms;
};

static const char request_[] = "GET /board HTTP/1.1\r\nHost: board\r\n\r\n";

static struct caller_ callers_[65536];
static struct rig_source *udp_;
static int per_s_;
static bool keep_;
static bool reuse_;
static int64_t next_open_us_;
static uint16_t next_port_ = FIRST_PORT;
static uint16_t oldest_port_ = FIRST_PORT;
static int answered_;
static int opened_;
static int refused_;
static int failed_;
static int lost_; /* Of these on flows that had been answered.  */

static int balancer_count_;
static int missed_[RIG_MAX_BALANCERS];
static int64_t next_ready_ms_;

/* The router.  */

static void
on_ready_answer_ (int status, void *ctx)
{
  int *missed = ctx;

  *missed = status == 200 ? 0 : *missed + 1;
}

void
rig_router_tick (const struct rig_process *balancers, int count)
{
  int i;

  balancer_count_ = count;
  if (rig_now_ms < next_ready_ms_)
    return;
  next_ready_ms_ = rig_now_ms + READY_INTERVAL_MS;
  for (i = 0; i < count; i++)
    rig_call (RIG_BALANCER_IP (balancers[i].index), RIG_READINESS_PORT, "GET",
              "/ready", "", READY_INTERVAL_MS - 20, on_ready_answer_,
              &missed_[i]);
}

static int
choose_balancer_ (uint16_t port)
{
  int ready[RIG_MAX_BALANCERS];
  int n = 0;
  int i;

  for (i = 0; i < balancer_count_; i++)
    if (missed_[i] < 2)
      ready[n++] = i;
  return n > 0 ? ready[(port * 2654435761U >> 8) % (unsigned)n]
               : port % balancer_count_;
}

static void
send_ (uint16_t port, uint8_t flags, uint32_t seq, uint32_t ack,
       const char *data)
{
  struct rig_packet packet
      = { .flags = flags,
          .seq = seq,
          .ack = ack,
          .src = RIG_CALLER_IP,
          .dst = RIG_ROUTE_IP,
          .sport = port,
          .dport = RIG_ROUTE_PORT,
          .data = (const uint8_t *)data,
          .len = (uint16_t)(data == NULL ? 0 : strlen (data)) };
  uint8_t out[RIG_PACKET_BYTES];
  size_t n = rig_packet_encode (&packet, out);

  rig_udp_send (udp_->fd, RIG_BALANCER_IP (choose_balancer_ (port)),
                RIG_PACKETS_PORT, out, n);
}

/* Callers.  */

static void
open_flow_at_ (uint16_t port, int tries, int64_t first_try_ms)
{
  struct caller_ *caller = &callers_[port];
  uint32_t seq = caller->state == CALLER_NONE ? CLIENT_SEQ + port
                                              : caller->seq + SEQ_STEP;

  *caller = (struct caller_){ .state = CALLER_OPENING,
                              .keeps = keep_,
                              .tries = tries,
                              .seq = seq,
                              .first_try_ms = first_try_ms,
                              .sent_ms = rig_now_ms,
                              .next_ms = rig_now_ms + FIRST_COPY_MS };
  opened_++;
  rig_record ("sent port=%u try=%d", port, tries);
  send_ (port, RIG_SYN, caller->seq, 0, NULL);
}

static void
open_flow_ (int tries, int64_t first_try_ms)
{
  uint16_t port = next_port_++;

  if (next_port_ == LAST_PORT)
    {
      fprintf (stderr, "too many flows\n");
      exit (2);
    }
  open_flow_at_ (port, tries, first_try_ms);
}

static void
fail_ (uint16_t port, const char *why)
{
  struct caller_ *caller = &callers_[port];
  bool was_open = caller->state != CALLER_OPENING;

  rig_record ("failed port=%u why=%s", port, why);
  caller->state = CALLER_DONE;
  /* The request is unsafe, and may have run if its flow has opened.  */
  lost_ += was_open;
  if (!was_open && caller->tries < MAX_TRIES
      && rig_now_ms - caller->first_try_ms < LIMIT_MS)
    open_flow_ (caller->tries + 1, caller->first_try_ms);
  else
    failed_++;
}

static void
send_request_ (uint16_t port)
{
  const struct caller_ *caller = &callers_[port];

  send_ (port, RIG_ACK, caller->seq + 1 + caller->asked,
         caller->backend_seq + 1 + caller->got, request_);
}

/* A reset counts on an open flow if its number is near the last one that the
   caller has acknowledged.  */
static bool
is_valid_reset_ (const struct caller_ *caller, uint32_t seq)
{
  int32_t distance = (int32_t)(seq - caller->backend_seq - 1 - caller->got);

  return caller->state == CALLER_OPENING
         || (distance <= RESET_WINDOW && distance >= -RESET_WINDOW);
}

static void
handle_reset_ (uint16_t port, uint32_t seq)
{
  struct caller_ *caller = &callers_[port];

  if (caller->state == CALLER_NONE || caller->state == CALLER_CLOSING
      || caller->state == CALLER_DONE)
    return;
  if (!is_valid_reset_ (caller, seq))
    {
      rig_record ("reset ignored port=%u", port);
      return;
    }
  refused_ += caller->state == CALLER_OPENING;
  caller->was_reset = caller->got > 0;
  if (caller->was_reset)
    {
      rig_record ("reset port=%u", port);
      caller->state = CALLER_DONE;
    }
  else
    fail_ (port, "reset");
}

static void
handle_answer_ (uint16_t port, uint16_t len)
{
  struct caller_ *caller = &callers_[port];

  answered_++;
  caller->asked += (uint32_t)strlen (request_);
  caller->got += len;
  rig_record ("answered port=%u ms=%lld", port,
              (long long)(rig_now_ms - caller->first_try_ms));
  caller->state = caller->keeps ? CALLER_IDLE : CALLER_DONE;
  if (!caller->keeps)
    send_ (port, RIG_FIN | RIG_ACK, caller->seq + 1 + caller->asked,
           caller->backend_seq + 1 + caller->got, NULL);
}

/* Ends a kept flow that the backend server closes.  */
static void
handle_end_ (uint16_t port)
{
  struct caller_ *caller = &callers_[port];

  send_ (port, RIG_FIN | RIG_ACK, caller->seq + 1 + caller->asked,
         caller->backend_seq + 2 + caller->got, NULL);
  rig_record ("closed port=%u", port);
  caller->state = reuse_ ? CALLER_CLOSING : CALLER_DONE;
  caller->next_ms = rig_now_ms + REOPEN_MS;
  if (reuse_ && port < oldest_port_)
    oldest_port_ = port;
}

/* Opens a new flow from a port whose flow both ends have closed.  */
static void
reopen_ (uint16_t port)
{
  keep_ = true;
  open_flow_at_ (port, 1, rig_now_ms);
  keep_ = false;
}

static void
handle_packet_ (const struct rig_packet *packet)
{
  uint16_t port = packet->dport;
  struct caller_ *caller = &callers_[port];

  if ((packet->flags & RIG_RST) != 0)
    handle_reset_ (port, packet->seq);
  else if (caller->state == CALLER_OPENING && (packet->flags & RIG_SYN) != 0)
    {
      caller->state = CALLER_WAITING;
      caller->backend_seq = packet->seq;
      caller->retry_ms = RETRY_MS;
      caller->next_ms = rig_now_ms + RETRY_MS;
      send_request_ (port);
    }
  else if (caller->state == CALLER_WAITING && packet->len > 0
           && packet->seq == caller->backend_seq + 1 + caller->got)
    handle_answer_ (port, packet->len);
  else if (caller->state == CALLER_IDLE && (packet->flags & RIG_FIN) != 0
           && packet->seq == caller->backend_seq + 1 + caller->got)
    handle_end_ (port);
}

static void
on_packet_ (struct rig_source *source, short events)
{
  uint8_t in[RIG_PACKET_BYTES + 1];
  struct rig_packet packet;
  ssize_t n;

  (void)events;
  while ((n = recv (source->fd, in, sizeof in, 0)) > 0)
    if (rig_packet_decode (in, (size_t)n, &packet))
      handle_packet_ (&packet);
}

static void
advance_ (uint16_t port)
{
  struct caller_ *caller = &callers_[port];

  if (caller->state == CALLER_NONE || caller->state == CALLER_DONE
      || caller->state == CALLER_IDLE)
    return;
  if (caller->state == CALLER_CLOSING)
    {
      if (rig_now_ms >= caller->next_ms)
        reopen_ (port);
      return;
    }
  if (rig_now_ms - caller->first_try_ms >= LIMIT_MS)
    {
      fail_ (port, "limit");
      return;
    }
  if (caller->state == CALLER_OPENING
      && rig_now_ms - caller->sent_ms >= OPENING_LIMIT_MS)
    {
      fail_ (port, "no-answer");
      return;
    }
  if (rig_now_ms < caller->next_ms)
    return;
  if (caller->state == CALLER_WAITING)
    {
      caller->retry_ms = caller->retry_ms * 2 < MAX_RETRY_MS
                             ? caller->retry_ms * 2
                             : MAX_RETRY_MS;
      caller->next_ms = rig_now_ms + caller->retry_ms;
      send_request_ (port);
    }
  else if (caller->copies < 2)
    {
      caller->copies++;
      caller->next_ms
          = caller->sent_ms
            + (caller->copies == 1 ? SECOND_COPY_MS : OPENING_LIMIT_MS);
      send_ (port, RIG_SYN, caller->seq, caller->copies, NULL);
    }
}

void
rig_callers_set_rate (int per_s)
{
  per_s_ = per_s;
  next_open_us_ = rig_now_ms * 1000;
}

void
rig_callers_start (int per_s)
{
  if (udp_ == NULL)
    udp_ = rig_source_add (rig_udp_bind (RIG_CALLER_IP, RIG_PACKETS_PORT),
                           POLLIN, on_packet_, NULL);
  rig_callers_set_rate (per_s);
}

void
rig_callers_tick (void)
{
  uint16_t port;

  if (udp_ == NULL)
    return;
  while (oldest_port_ < next_port_
         && callers_[oldest_port_].state == CALLER_DONE)
    oldest_port_++;
  for (port = oldest_port_; port < next_port_; port++)
    advance_ (port);
  while (per_s_ > 0 && next_open_us_ <= rig_now_ms * 1000)
    {
      next_open_us_ += 1000000 / per_s_;
      open_flow_ (1, rig_now_ms);
    }
}

void
rig_callers_keep_flows (bool keep)
{
  keep_ = keep;
}

void
rig_callers_reuse_ports (bool reuse)
{
  reuse_ = reuse;
}

void
rig_callers_ask_again (void)
{
  uint16_t port;

  for (port = FIRST_PORT; port < next_port_; port++)
    {
      struct caller_ *caller = &callers_[port];

      if (caller->state != CALLER_IDLE)
        continue;
      rig_record ("sent port=%u again", port);
      caller->state = CALLER_WAITING;
      caller->tries = MAX_TRIES;
      caller->first_try_ms = rig_now_ms;
      caller->retry_ms = RETRY_MS;
      caller->next_ms = rig_now_ms + RETRY_MS;
      if (port < oldest_port_)
        oldest_port_ = port;
      send_request_ (port);
    }
}

int
rig_callers_count_broken (const struct rig_host *hosts, int count)
{
  uint16_t port;
  int n = 0;
  int i;

  for (port = FIRST_PORT; port < next_port_; port++)
    for (i = 0; callers_[port].was_reset && i < count; i++)
      n += rig_host_holds_flow (&hosts[i], port);
  return n;
}

int64_t
rig_caller_get_sent_ms (uint16_t port)
{
  return callers_[port].sent_ms;
}

int
rig_callers_get_answered (void)
{
  return answered_;
}

void
rig_callers_print_totals (void)
{
  rig_record ("flows=%d answered=%d refused=%d failed=%d lost=%d", opened_,
              answered_, refused_, failed_, lost_);
}
