/* An agent in front of a backend server that is asked for more than it can do,
   on routes whose priority and time limit are known.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "private/stream_agent_private.h"

#define MS RGY_US_PER_MS
#define BALANCER_IP 0x0a010001U
#define OLD_BALANCER_IP 0x0a010002U
#define SLOTS 2
/* The agent hands over one request more than there are slots.  */
#define AT_BACKEND (SLOTS + 1)
#define RUN_US (30 * MS)
#define GOAL_US (250 * MS)
#define LIMIT_US (2 * RGY_US_PER_S)
/* Ports of routes by priority.  */
#define URGENT_PORT 441
#define ROUTE_PORT 443
/* A route of which nothing but the goal is known.  */
#define UNKNOWN_PORT 444
/* A route whose time limit a test drops.  */
#define CHANGED_PORT 445
#define MAX_PORTS 1024

/* Outcome of the flow of one caller's port.  */
struct outcome_
{
  unsigned opened;    /* First segments given to the backend server.  */
  unsigned delivered; /* Further segments given to it.  */
  unsigned payloads;  /* Segments with payload among them.  */
  unsigned resets;
  unsigned to_caller;
  unsigned refused;
  enum rgy_stream_refusal reason;
};

struct fixture_
{
  struct rgy_counters *counters;
  struct rgy_stream_agent *agent;
  int64_t now_us;
  uint64_t heartbeats;
  uint64_t last_seq; /* Of the reports to BALANCER_IP.  */
  uint64_t old_last_seq;
  struct outcome_ by_port[MAX_PORTS];
  uint16_t started[MAX_PORTS]; /* Ports in the order of their payloads.  */
  size_t n_started;
};

/* A later manifest states no limit for CHANGED_PORT.  */
static bool limit_is_dropped;

/* The linker's option --wrap defines the name.  */
/* NOLINTBEGIN(readability-identifier-naming) */
struct rgy_request_terms
__wrap_rgy_stream_agent_get_terms_ (struct rgy_stream_agent *agent,
                                    const struct rgy_segment *segment,
                                    int64_t now_us);

struct rgy_request_terms
__wrap_rgy_stream_agent_get_terms_ (struct rgy_stream_agent *agent,
                                    const struct rgy_segment *segment,
                                    int64_t now_us)
{
  uint16_t port = segment->key.u.segment.service.port;

  (void)agent;
  (void)now_us;
  if (port == UNKNOWN_PORT || (port == CHANGED_PORT && limit_is_dropped))
    return (struct rgy_request_terms){ .priority = RGY_PRIORITY_UNSTATED,
                                       .goal_us = GOAL_US };
  return (struct rgy_request_terms){ .priority = port == URGENT_PORT ? 1 : 2,
                                     .goal_us = GOAL_US,
                                     .limit_us = LIMIT_US };
}
/* NOLINTEND(readability-identifier-naming) */

/* The first byte of a segment tells its kind to record_action_.  */
enum segment_kind_
{
  FIRST_SEGMENT,
  BARE_SEGMENT,
  PAYLOAD_SEGMENT
};

static struct rgy_segment
make_segment_ (uint16_t port, uint16_t service_port, uint8_t flags,
               uint32_t seq, uint32_t ack, uint16_t payload_len)
{
  static const uint8_t raw[]
      = { FIRST_SEGMENT, BARE_SEGMENT, PAYLOAD_SEGMENT };
  struct rgy_name service = rgy_name_from_c ("workshop");
  size_t kind = (flags & RGY_SEGMENT_SYN) != 0 ? FIRST_SEGMENT
                : payload_len == 0             ? BARE_SEGMENT
                                               : PAYLOAD_SEGMENT;

  return (struct rgy_segment){
    .key = rgy_flow_key_segment (
        (struct rgy_endpoint){ .ip = 0x64400007, .port = port },
        (struct rgy_endpoint){ .ip = 0xc6120001, .port = service_port }),
    .flags = flags,
    .seq = seq,
    .ack = ack,
    .payload_len = payload_len,
    .trail = { .service_tag = rgy_service_tag (&service),
               .balancer_ip = BALANCER_IP,
               .goal_us = GOAL_US },
    .raw = { .data = raw + kind, .len = 1 }
  };
}

static void
record_segment_ (struct fixture_ *f, const struct rgy_stream_action *action)
{
  uint16_t port = action->u.segment.key.u.segment.caller.port;
  struct outcome_ *outcome = &f->by_port[port];
  uint8_t kind = action->u.segment.raw.data[0];

  if (kind == FIRST_SEGMENT)
    outcome->opened++;
  else
    outcome->delivered++;
  if (kind != PAYLOAD_SEGMENT)
    return;
  outcome->payloads++;
  if (f->n_started < MAX_PORTS)
    f->started[f->n_started++] = port;
}

static void
record_report_ (struct fixture_ *f, const struct rgy_stream_message *message,
                uint32_t ip)
{
  uint64_t *last = ip == BALANCER_IP ? &f->last_seq : &f->old_last_seq;

  switch (message->kind)
    {
    case RGY_STREAM_REPORT:
      *last = message->u.report.seq;
      return;
    case RGY_STREAM_BRIEF_REPORT:
      *last = message->u.brief.seq;
      return;
    case RGY_STREAM_LOAD_REPORT:
      *last = message->u.load.brief.seq;
      return;
    default:
      return;
    }
}

static void
record_action_ (void *ctx, const struct rgy_stream_action *action)
{
  struct fixture_ *f = ctx;
  struct rgy_stream_message message;
  struct outcome_ *outcome;

  switch (action->kind)
    {
    case RGY_STREAM_TO_BACKEND:
      record_segment_ (f, action);
      return;
    case RGY_STREAM_TO_CALLER:
      f->by_port[action->u.segment.key.u.segment.caller.port].to_caller++;
      return;
    case RGY_STREAM_RESET:
      f->by_port[action->u.reset.key.u.segment.caller.port].resets++;
      return;
    case RGY_STREAM_MESSAGE:
      assert_int_equal (
          rgy_stream_message_decode (action->u.message, &message), RGY_OK);
      record_report_ (f, &message, action->ip);
      if (message.kind != RGY_STREAM_REFUSED)
        return;
      outcome = &f->by_port[message.u.flow.key.u.segment.caller.port];
      outcome->refused++;
      outcome->reason = message.u.flow.reason;
      return;
    default:
      return;
    }
}

static void
send_message_ (struct fixture_ *f, const struct rgy_stream_message *message,
               uint32_t ip)
{
  GByteArray *bytes = g_byte_array_new ();

  rgy_stream_message_encode (message, bytes);
  assert_int_equal (
      rgy_stream_agent_from_message (
          f->agent,
          (struct rgy_bytes){ .data = bytes->data, .len = bytes->len }, ip,
          f->now_us),
      RGY_OK);
  g_byte_array_unref (bytes);
}

static void
send_heartbeat_ (struct fixture_ *f)
{
  struct rgy_backend_heartbeat heartbeat
      = { .id = rgy_name_from_c ("i-1"),
          .service = rgy_name_from_c ("workshop"),
          .started_ms = 5,
          .uptime_us = 60 * RGY_US_PER_S,
          .seq = ++f->heartbeats,
          .slots = SLOTS };

  assert_int_equal (
      rgy_stream_agent_heartbeat (f->agent, &heartbeat, f->now_us), RGY_OK);
}

/* The balancer states that it decodes loads, and the old one nothing.  */
static void
acknowledge_ (struct fixture_ *f)
{
  struct rgy_name domain = rgy_name_from_c ("poa-a");
  struct rgy_stream_message ack
      = { .kind = RGY_STREAM_REPORT_ACK,
          .u.ack = { .balancer_incarnation = 1,
                     .balancer_domain = rgy_stream_hash_domain (&domain),
                     .agent_incarnation = 1,
                     .seq = f->last_seq } };
  const struct rgy_stream_message features
      = { .kind = RGY_STREAM_FEATURES,
          .u.features
          = { .balancer_incarnation = 1, .flags = RGY_STREAM_DECODES_LOAD } };

  send_message_ (f, &ack, BALANCER_IP);
  ack.u.ack.seq = f->old_last_seq;
  send_message_ (f, &ack, OLD_BALANCER_IP);
  send_message_ (f, &features, BALANCER_IP);
}

static void
advance_time_ (struct fixture_ *f, int64_t us)
{
  int64_t until = f->now_us + us;

  while (f->now_us < until)
    {
      f->now_us += RGY_STREAM_TICK_US;
      if (f->now_us % RGY_US_PER_S < RGY_STREAM_TICK_US)
        {
          send_heartbeat_ (f);
          acknowledge_ (f);
        }
      rgy_stream_agent_tick (f->agent, f->now_us);
    }
}

static void
start_agent_ (struct fixture_ *f, bool first_start)
{
  struct rgy_stream_agent_settings settings
      = { .service = rgy_name_from_c ("workshop"),
          .domain = rgy_name_from_c ("poa-a"),
          .incarnation = 1,
          .flow_ttl_us = 60 * RGY_US_PER_S,
          .heartbeat_us = RGY_US_PER_S,
          .max_flows = 50000,
          .first_start = first_start,
          .out = { .emit = record_action_, .ctx = f } };

  f->agent = rgy_stream_agent_new (&settings, f->counters, f->now_us);
  rgy_stream_agent_add_balancer (f->agent, BALANCER_IP, f->now_us);
  rgy_stream_agent_add_balancer (f->agent, OLD_BALANCER_IP, f->now_us);
  send_heartbeat_ (f);
  acknowledge_ (f);
}

static void
send_from_caller_ (struct fixture_ *f, struct rgy_segment segment)
{
  rgy_stream_agent_from_balancer (f->agent, &segment, BALANCER_IP, f->now_us);
}

static void
send_from_backend_ (struct fixture_ *f, struct rgy_segment segment)
{
  rgy_stream_agent_from_backend (f->agent, &segment, f->now_us);
}

/* Offers a flow; returns what the agent has done with the first segment.  */
static const struct outcome_ *
offer_ (struct fixture_ *f, uint16_t port, uint32_t copy, bool is_last,
        uint32_t ip)
{
  struct rgy_segment segment
      = make_segment_ (port, ROUTE_PORT, RGY_SEGMENT_SYN, 0, copy, 0);

  segment.trail.mark = is_last ? RGY_MARK_LAST_OFFER : RGY_MARK_NONE;
  rgy_stream_agent_from_balancer (f->agent, &segment, ip, f->now_us);
  return &f->by_port[port];
}

static void
answer_first_segment_ (struct fixture_ *f, uint16_t port,
                       uint16_t service_port)
{
  send_from_backend_ (f, make_segment_ (port, service_port,
                                        RGY_SEGMENT_SYN | RGY_SEGMENT_ACK,
                                        1000, 1, 0));
}

static void
send_handshake_end_ (struct fixture_ *f, uint16_t port, uint16_t service_port)
{
  send_from_caller_ (
      f, make_segment_ (port, service_port, RGY_SEGMENT_ACK, 1, 1001, 0));
}

static void
open_flow_ (struct fixture_ *f, uint16_t port, uint16_t service_port)
{
  struct rgy_segment first
      = make_segment_ (port, service_port, RGY_SEGMENT_SYN, 0, 0, 0);

  first.trail.mark = RGY_MARK_LAST_OFFER;
  send_from_caller_ (f, first);
  answer_first_segment_ (f, port, service_port);
  send_handshake_end_ (f, port, service_port);
}

static void
request_ (struct fixture_ *f, uint16_t port, uint16_t service_port)
{
  send_from_caller_ (
      f, make_segment_ (port, service_port, RGY_SEGMENT_ACK, 1, 1001, 100));
}

static void
ask_ (struct fixture_ *f, uint16_t port, uint16_t service_port)
{
  open_flow_ (f, port, service_port);
  request_ (f, port, service_port);
}

static void
answer_ (struct fixture_ *f, uint16_t port, uint16_t service_port)
{
  send_from_backend_ (
      f, make_segment_ (port, service_port, RGY_SEGMENT_ACK, 1001, 101, 300));
}

/* Runs one request after the other, so that the run time is known.  */
static void
run_requests_ (struct fixture_ *f, int64_t run_us)
{
  uint16_t port;

  for (port = 900; port < 960; port++)
    {
      ask_ (f, port, ROUTE_PORT);
      advance_time_ (f, run_us);
      answer_ (f, port, ROUTE_PORT);
    }
}

static int
set_up_ (void **state)
{
  struct fixture_ *f = g_new0 (struct fixture_, 1);

  limit_is_dropped = false;
  f->counters = rgy_counters_new ();
  f->now_us = 100 * RGY_US_PER_S;
  start_agent_ (f, true);
  run_requests_ (f, RUN_US);
  advance_time_ (f, 2 * RGY_US_PER_S);
  f->n_started = 0;
  *state = f;
  return 0;
}

static int
tear_down_ (void **state)
{
  struct fixture_ *f = *state;

  rgy_stream_agent_delete (f->agent);
  rgy_counters_delete (f->counters);
  g_free (f);
  return 0;
}

/* Fills the backend server, and the agent with requests from port 1 on.  */
static void
fill_ (struct fixture_ *f, uint16_t n_waiting)
{
  const uint16_t last = (uint16_t)(AT_BACKEND + n_waiting);
  uint16_t port;

  for (port = 1; port <= last; port++)
    ask_ (f, port, ROUTE_PORT);
}

/* A wave of callers: while a slot is free nothing may be refused, and what
   would wait for longer than the goal allows is refused before its flow
   opens.  */
static void
flows_are_refused_only_when_they_would_be_late_ (void **state)
{
  struct fixture_ *f = *state;
  const struct outcome_ *refused;
  uint16_t port;

  for (port = 1; port <= 40; port++)
    {
      const struct outcome_ *outcome = offer_ (f, port, 0, false, BALANCER_IP);

      if (outcome->refused > 0)
        break;
      answer_first_segment_ (f, port, ROUTE_PORT);
      send_handshake_end_ (f, port, ROUTE_PORT);
      request_ (f, port, ROUTE_PORT);
    }
  /* 200 ms of work for two slots is 13 runs.  */
  assert_in_range (port, AT_BACKEND + 5, AT_BACKEND + 14);
  refused = &f->by_port[port];
  assert_int_equal (refused->reason, RGY_REFUSED_OVERLOAD);
  assert_int_equal (refused->opened, 0);
  assert_int_equal (refused->resets, 0);
  for (; port > 1; port--)
    answer_ (f, (uint16_t)(port - 1), ROUTE_PORT);
  assert_int_equal (offer_ (f, 50, 0, false, BALANCER_IP)->refused, 0);
}

/* Callers open many flows at once: their requests are on the way although none
   waits yet.  */
static void
accepted_flows_count_before_their_requests_come_ (void **state)
{
  struct fixture_ *f = *state;
  uint16_t port;

  fill_ (f, 0);
  for (port = 100; port < 140; port++)
    if (offer_ (f, port, 0, false, BALANCER_IP)->refused > 0)
      break;
  assert_in_range (port, 105, 114);
  /* Callers that do not send requests block no one for long.  */
  advance_time_ (f, 600 * MS);
  assert_int_equal (offer_ (f, 150, 0, false, BALANCER_IP)->refused, 0);
}

/* Offers flows, as last offers or as copies, until one is refused; returns the
   number that was accepted.  */
static unsigned
offer_until_refused_ (struct fixture_ *f, uint16_t first_port, uint32_t copy)
{
  uint16_t port = first_port;

  while (offer_ (f, port, copy, copy == 0, BALANCER_IP)->refused == 0)
    assert_true (++port < first_port + 200);
  assert_int_equal (f->by_port[port].reason, RGY_REFUSED_OVERLOAD);
  return port - first_port;
}

/* Callers repeat their first segments, for example after an outage.  Another
   balancer may have got the first one, so that the caller is not told of a
   refusal: a copy is accepted late, unless its caller, who has waited for
   600 ms, will have left before its turn.  */
static void
age_of_a_copy_counts_ (void **state)
{
  struct fixture_ *f = *state;

  assert_int_equal (offer_ (f, 99, 2, false, BALANCER_IP)->refused, 0);
  fill_ (f, 0);
  assert_int_equal (offer_ (f, 100, 0, false, BALANCER_IP)->refused, 0);
  /* 1.4 s of two slots are 70 runs of 40 ms.  */
  assert_in_range (offer_until_refused_ (f, 200, 2), 60, 70);
  assert_true (offer_until_refused_ (f, 500, 0) > 20);
}

/* Urgent callers take all slots while others wait, again and again.  */
static void
keep_slots_busy_ (struct fixture_ *f, uint16_t first_port, uint16_t n)
{
  size_t answered = 0;
  uint16_t port;

  for (port = first_port; port < first_port + n; port++)
    {
      uint16_t running = f->started[answered++];

      ask_ (f, port, URGENT_PORT);
      answer_ (f, running, running >= first_port ? URGENT_PORT : ROUTE_PORT);
    }
}

/* No agent has room.  A late answer is possible while late requests get slots,
   and impossible while more urgent callers take them all.  */
static void
last_offer_is_refused_without_room_for_late_requests_ (void **state)
{
  struct fixture_ *f = *state;

  fill_ (f, 20);
  assert_int_equal (offer_ (f, 100, 0, false, BALANCER_IP)->refused, 1);
  assert_int_equal (offer_ (f, 100, 0, true, BALANCER_IP)->refused, 1);
  assert_int_equal (f->by_port[100].opened, 1);
  keep_slots_busy_ (f, 300, 200);
  assert_int_equal (offer_ (f, 101, 0, true, BALANCER_IP)->refused, 1);
  assert_int_equal (f->by_port[101].reason, RGY_REFUSED_OVERLOAD);
}

/* The agents refuse the same flow one after the other, and callers return at
   once.  An offer that goes on to another agent is no demand here: counted as
   such, refusals would bring about further ones.  */
static void
refused_offers_leave_room_for_late_requests_ (void **state)
{
  struct fixture_ *f = *state;
  uint16_t port;

  fill_ (f, 20);
  for (port = 200; port < 500; port++)
    assert_int_equal (offer_ (f, port, 0, false, BALANCER_IP)->refused, 1);
  assert_int_equal (offer_ (f, 101, 0, true, BALANCER_IP)->refused, 0);
}

/* A balancer of an earlier version does not know the reason, and offers a flow
   no second time after it has given up.  */
static void
old_balancer_gets_no_new_refusal_ (void **state)
{
  struct fixture_ *f = *state;

  fill_ (f, 20);
  assert_int_equal (offer_ (f, 100, 0, false, OLD_BALANCER_IP)->refused, 0);
  keep_slots_busy_ (f, 300, 200);
  assert_int_equal (offer_ (f, 101, 0, false, OLD_BALANCER_IP)->refused, 1);
  assert_int_equal (f->by_port[101].reason, RGY_REFUSED_FULL);
}

/* The process is paused, or cut off from its balancers, for as long as these
   need to declare it dead: they have reset its flows, and callers have sent
   their requests again.  A waiting one must not run besides.  */
static void
request_does_not_run_after_a_loss_of_contact_ (void **state)
{
  struct fixture_ *f = *state;
  size_t started;

  fill_ (f, 3);
  started = f->n_started;
  f->now_us += 1950 * MS;
  answer_ (f, f->started[0], ROUTE_PORT);
  assert_int_equal (f->n_started, started);
  assert_int_equal (f->by_port[AT_BACKEND + 1].resets, 1);
  /* New requests run as soon as the balancers acknowledge reports again.  */
  advance_time_ (f, 2 * RGY_US_PER_S);
  ask_ (f, 100, ROUTE_PORT);
  assert_int_equal (f->by_port[100].payloads, 1);
}

/* Routes whose terms no balancer has stated: as before, everything waits.  */
static void
flows_without_a_known_limit_are_accepted_ (void **state)
{
  struct fixture_ *f = *state;
  uint16_t port;

  for (port = 1; port <= 100; port++)
    ask_ (f, port, UNKNOWN_PORT);
  for (port = 1; port <= 100; port++)
    assert_int_equal (f->by_port[port].opened, 1);
}

/* A restarted agent does not know what its backend server runs.  */
static void
restarted_agent_refuses_nothing_ (void **state)
{
  struct fixture_ *f = *state;

  rgy_stream_agent_delete (f->agent);
  memset (f->by_port, 0, sizeof f->by_port);
  start_agent_ (f, false);
  run_requests_ (f, RUN_US);
  fill_ (f, 60);
  assert_int_equal (offer_ (f, 100, 0, false, BALANCER_IP)->refused, 0);
}

/* The backend server hangs.  Callers that wait are told before their own time
   is over that their requests have not run, and this stays true: neither a
   repetition of the caller nor one of the backend server starts the request
   later.  */
static void
expired_request_is_reset_and_never_runs_ (void **state)
{
  struct fixture_ *f = *state;
  const uint16_t port = AT_BACKEND + 1;
  const struct outcome_ *outcome = &f->by_port[port];
  unsigned to_caller;

  fill_ (f, 3);
  advance_time_ (f, LIMIT_US);
  assert_int_equal (outcome->resets, 1);
  assert_int_equal (outcome->delivered, 0);
  to_caller = outcome->to_caller;
  request_ (f, port, ROUTE_PORT);
  answer_first_segment_ (f, port, ROUTE_PORT);
  send_handshake_end_ (f, port, ROUTE_PORT);
  request_ (f, port, ROUTE_PORT);
  assert_int_equal (outcome->delivered, 0);
  assert_int_equal (outcome->to_caller, to_caller);
  assert_int_equal (outcome->resets, 4);
}

/* The end of the handshake has reached the backend server, so that the flow is
   open: only the backend server may reset it.  */
static void
expired_request_on_an_open_flow_is_dropped_ (void **state)
{
  struct fixture_ *f = *state;

  open_flow_ (f, 100, ROUTE_PORT);
  assert_int_equal (f->by_port[100].delivered, 1);
  fill_ (f, 0);
  request_ (f, 100, ROUTE_PORT);
  advance_time_ (f, LIMIT_US);
  request_ (f, 100, ROUTE_PORT);
  assert_int_equal (f->by_port[100].resets, 0);
  assert_int_equal (f->by_port[100].payloads, 0);
}

/* The agent has restarted, and the backend server repeats its first answer on
   a flow that a segment from the caller has opened since.  */
static void
flow_from_before_a_restart_is_not_reset_ (void **state)
{
  struct fixture_ *f = *state;

  rgy_stream_agent_delete (f->agent);
  start_agent_ (f, false);
  run_requests_ (f, RUN_US);
  send_handshake_end_ (f, 100, ROUTE_PORT);
  assert_int_equal (f->by_port[100].delivered, 1);
  answer_first_segment_ (f, 100, ROUTE_PORT);
  fill_ (f, 0);
  request_ (f, 100, ROUTE_PORT);
  advance_time_ (f, LIMIT_US);
  assert_int_equal (f->by_port[100].payloads, 0);
  assert_int_equal (f->by_port[100].resets, 0);
}

/* The backend server has got the requests and answers none: whether they ran
   is not known.  */
static void
request_at_the_backend_server_is_not_reset_ (void **state)
{
  struct fixture_ *f = *state;
  uint16_t port;

  fill_ (f, 0);
  advance_time_ (f, 3 * LIMIT_US);
  for (port = 1; port <= AT_BACKEND; port++)
    {
      assert_int_equal (f->by_port[port].payloads, 1);
      assert_int_equal (f->by_port[port].resets, 0);
    }
}

/* With a known limit the backend server's own queue does not fill with old
   requests: a new one starts with the next free slot.  */
static void
nothing_is_handed_over_without_a_free_slot_ (void **state)
{
  struct fixture_ *f = *state;

  fill_ (f, 10);
  advance_time_ (f, 6 * GOAL_US);
  assert_int_equal (f->n_started, AT_BACKEND);
}

/* Callers give up under overload; work on their requests would be lost.  */
static void
request_of_a_caller_that_left_does_not_run_ (void **state)
{
  struct fixture_ *f = *state;
  const uint16_t left = AT_BACKEND + 1;

  fill_ (f, 2);
  send_from_caller_ (f, make_segment_ (left, ROUTE_PORT,
                                       RGY_SEGMENT_FIN | RGY_SEGMENT_ACK, 1,
                                       1001, 0));
  answer_ (f, 1, ROUTE_PORT);
  answer_ (f, 2, ROUTE_PORT);
  assert_int_equal (f->by_port[left].payloads, 0);
  assert_int_equal (f->by_port[left + 1].payloads, 1);
}

/* Polls fill the backend server when urgent posts arrive.  */
static void
urgent_request_starts_first_ (void **state)
{
  struct fixture_ *f = *state;

  fill_ (f, 5);
  ask_ (f, 100, URGENT_PORT);
  answer_ (f, 1, ROUTE_PORT);
  assert_int_equal (f->started[f->n_started - 1], 100);
}

/* An agent that stops under load takes nothing with it: neither requests nor
   ends of handshakes.  */
static void
stop_delivers_everything_ (void **state)
{
  struct fixture_ *f = *state;
  uint16_t port;

  fill_ (f, 10);
  open_flow_ (f, 100, ROUTE_PORT);
  assert_int_equal (f->by_port[100].delivered, 0);
  rgy_stream_agent_stop (f->agent, f->now_us);
  for (port = AT_BACKEND + 10; port > 0; port--)
    assert_int_equal (f->by_port[port].payloads, 1);
  assert_int_equal (f->by_port[100].delivered, 1);
  assert_int_equal (offer_ (f, 101, 0, false, BALANCER_IP)->reason,
                    RGY_REFUSED_RESTARTING);
}

/* A caller opens a flow for later use while all slots are taken: the backend
   server must get the end of the handshake.  */
static void
handshake_without_a_request_is_delivered_soon_ (void **state)
{
  struct fixture_ *f = *state;

  fill_ (f, 0);
  open_flow_ (f, 100, ROUTE_PORT);
  assert_int_equal (f->by_port[100].delivered, 0);
  advance_time_ (f, HANDSHAKE_HOLD_US + 2 * SWEEP_INTERVAL_US);
  assert_int_equal (f->by_port[100].delivered, 1);
}

/* The end of the handshake reaches the backend server before the request.  */
static void
held_handshake_comes_with_the_request_ (void **state)
{
  struct fixture_ *f = *state;
  const uint16_t port = AT_BACKEND + 1;

  fill_ (f, 1);
  assert_int_equal (f->by_port[port].delivered, 0);
  answer_ (f, 1, ROUTE_PORT);
  assert_int_equal (f->by_port[port].delivered, 2);
  assert_int_equal (f->by_port[port].payloads, 1);
}

/* A backend server that has become six times slower runs single requests for
   more than a second; its slots are not free meanwhile.  */
static void
slow_backend_server_has_no_free_slots_ (void **state)
{
  struct fixture_ *f = *state;

  run_requests_ (f, 6 * RUN_US);
  f->n_started = 0;
  fill_ (f, 3);
  advance_time_ (f, 1200 * MS);
  assert_int_equal (f->n_started, AT_BACKEND);
}

/* The second request on a flow; it follows the answer to the first one.  */
static void
request_again_ (struct fixture_ *f, uint16_t port)
{
  send_from_caller_ (
      f, make_segment_ (port, ROUTE_PORT, RGY_SEGMENT_ACK, 101, 1301, 100));
}

/* A waiting request carries the acknowledgement of the answer before, so the
   backend server repeats that answer; it does not answer the request.  */
static void
repeated_answer_leaves_the_next_request_waiting_ (void **state)
{
  struct fixture_ *f = *state;

  ask_ (f, 100, ROUTE_PORT);
  answer_ (f, 100, ROUTE_PORT);
  fill_ (f, 0);
  request_again_ (f, 100);
  answer_ (f, 100, ROUTE_PORT);
  assert_int_equal (f->by_port[100].to_caller, 3);
  answer_ (f, 1, ROUTE_PORT);
  assert_int_equal (f->by_port[100].payloads, 2);
}

/* The backend server got the request through the agent before, which has
   restarted: its answer ends the request even if the repetition has expired
   here, and the next request on the flow runs.  */
static void
answer_ends_an_expired_request_ (void **state)
{
  struct fixture_ *f = *state;

  open_flow_ (f, 100, ROUTE_PORT);
  fill_ (f, 0);
  request_ (f, 100, ROUTE_PORT);
  advance_time_ (f, LIMIT_US);
  assert_int_equal (f->by_port[100].payloads, 0);
  answer_ (f, 100, ROUTE_PORT);
  advance_time_ (f, LIMIT_US);
  request_again_ (f, 100);
  assert_int_equal (f->by_port[100].payloads, 1);
}

/* A caller's repetition of an answered request begins no new one, whose time
   would run while the flow is idle.  */
static void
repeated_request_does_not_age_the_next_one_ (void **state)
{
  struct fixture_ *f = *state;

  ask_ (f, 100, ROUTE_PORT);
  answer_ (f, 100, ROUTE_PORT);
  request_ (f, 100, ROUTE_PORT);
  advance_time_ (f, 2 * LIMIT_US);
  fill_ (f, 0);
  request_again_ (f, 100);
  advance_time_ (f, RUN_US);
  answer_ (f, 1, ROUTE_PORT);
  assert_int_equal (f->by_port[100].payloads, 3);
}

/* The caller uses the port of a rejected flow again, and another backend
   server has accepted the new flow: a segment that strays here must not end
   it.  */
static void
rejected_flow_resets_no_later_one_ (void **state)
{
  struct fixture_ *f = *state;
  const uint16_t port = AT_BACKEND + 1;

  fill_ (f, 1);
  advance_time_ (f, LIMIT_US);
  assert_int_equal (f->by_port[port].resets, 1);
  send_from_caller_ (
      f, make_segment_ (port, ROUTE_PORT, RGY_SEGMENT_ACK, 50001, 70001, 100));
  assert_int_equal (f->by_port[port].resets, 1);
  assert_int_equal (f->by_port[port].payloads, 0);
}

/* Requests that arrive between the agent's stop and its end.  */
static void
stopping_agent_holds_nothing_ (void **state)
{
  struct fixture_ *f = *state;

  open_flow_ (f, 100, ROUTE_PORT);
  fill_ (f, 0);
  rgy_stream_agent_stop (f->agent, f->now_us);
  request_ (f, 100, ROUTE_PORT);
  assert_int_equal (f->by_port[100].payloads, 1);
}

/* A new manifest drops the route's time limit while a flow opens: the request
   waits as one without a known limit.  */
static void
request_of_a_route_that_lost_its_limit_runs_ (void **state)
{
  struct fixture_ *f = *state;

  fill_ (f, 0);
  open_flow_ (f, 100, CHANGED_PORT);
  limit_is_dropped = true;
  request_ (f, 100, CHANGED_PORT);
  advance_time_ (f, 2 * GOAL_US);
  assert_int_equal (f->by_port[100].resets, 0);
  answer_ (f, 1, ROUTE_PORT);
  assert_int_equal (f->by_port[100].payloads, 1);
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up_, tear_down_)
  const struct CMUnitTest tests[] = {
    TEST (flows_are_refused_only_when_they_would_be_late_),
    TEST (accepted_flows_count_before_their_requests_come_),
    TEST (age_of_a_copy_counts_),
    TEST (last_offer_is_refused_without_room_for_late_requests_),
    TEST (refused_offers_leave_room_for_late_requests_),
    TEST (old_balancer_gets_no_new_refusal_),
    TEST (request_does_not_run_after_a_loss_of_contact_),
    TEST (flows_without_a_known_limit_are_accepted_),
    TEST (restarted_agent_refuses_nothing_),
    TEST (expired_request_is_reset_and_never_runs_),
    TEST (expired_request_on_an_open_flow_is_dropped_),
    TEST (flow_from_before_a_restart_is_not_reset_),
    TEST (request_at_the_backend_server_is_not_reset_),
    TEST (nothing_is_handed_over_without_a_free_slot_),
    TEST (request_of_a_caller_that_left_does_not_run_),
    TEST (urgent_request_starts_first_),
    TEST (stop_delivers_everything_),
    TEST (handshake_without_a_request_is_delivered_soon_),
    TEST (held_handshake_comes_with_the_request_),
    TEST (slow_backend_server_has_no_free_slots_),
    TEST (repeated_answer_leaves_the_next_request_waiting_),
    TEST (answer_ends_an_expired_request_),
    TEST (repeated_request_does_not_age_the_next_one_),
    TEST (rejected_flow_resets_no_later_one_),
    TEST (stopping_agent_holds_nothing_),
    TEST (request_of_a_route_that_lost_its_limit_runs_),
  };

  return cmocka_run_group_tests_name ("stream_agent_overload", tests, NULL,
                                      NULL);
}
