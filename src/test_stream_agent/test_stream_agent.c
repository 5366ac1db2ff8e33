#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/clock.h"
#include "ragwortyoke/stream_agent.h"

#define BALANCER_IP 0x0a010001U
#define FAR_BALANCER_IP 0x0a020001U
#define START_US (100 * RGY_US_PER_S)

/* An agent and the actions that it has emitted.  */
struct fixture_
{
  struct rgy_counters *counters;
  struct rgy_stream_agent *agent;
  int64_t now_us;
  unsigned to_backend;
  unsigned to_caller;
  unsigned to_balancer;
  unsigned resets;
  unsigned held[RGY_FLOW_HELD_COUNT];
  unsigned refused;
  unsigned taken;
  unsigned checks;
  size_t changes_to[2]; /* Flow changes in reports to each balancer.  */
  enum rgy_backend_state reported;
};

static void
on_message_ (struct fixture_ *f, uint32_t ip, struct rgy_bytes bytes)
{
  struct rgy_stream_message message;
  size_t i;

  assert_int_equal (rgy_stream_message_decode (bytes, &message), RGY_OK);
  if (message.kind == RGY_STREAM_ANSWER)
    for (i = 0; i < message.u.answers.len; i += RGY_FLOW_ANSWER_BYTES)
      f->held[message.u.answers.data[i + RGY_FLOW_ENDS_BYTES]]++;
  else if (message.kind == RGY_STREAM_REFUSED)
    f->refused++;
  else if (message.kind == RGY_STREAM_TAKEN)
    f->taken++;
  else if (message.kind == RGY_STREAM_REPORT)
    {
      f->reported = message.u.report.state;
      f->changes_to[ip == BALANCER_IP ? 0 : 1]
          += message.u.report.changes.len / RGY_FLOW_CHANGE_BYTES;
    }
}

static void
emit_ (void *ctx, const struct rgy_stream_action *action)
{
  struct fixture_ *f = ctx;

  switch (action->kind)
    {
    case RGY_STREAM_TO_BACKEND:
      f->to_backend++;
      return;
    case RGY_STREAM_TO_CALLER:
      f->to_caller++;
      return;
    case RGY_STREAM_TO_BALANCER:
      f->to_balancer++;
      return;
    case RGY_STREAM_RESET:
      f->resets++;
      return;
    case RGY_STREAM_MESSAGE:
      on_message_ (f, action->ip, action->u.message);
      return;
    case RGY_STREAM_CHECK_BACKEND:
      f->checks++;
      return;
    case RGY_STREAM_TO_AGENT:
    case RGY_STREAM_FETCH_MANIFEST:
    case RGY_STREAM_LOG:
    case RGY_STREAM_LOG_FLOW:
      return;
    }
}

static int
set_up_ (void **state)
{
  struct fixture_ *f = g_new0 (struct fixture_, 1);
  struct rgy_stream_agent_settings settings
      = { .service = rgy_name_from_c ("workshop"),
          .domain = rgy_name_from_c ("poa-a"),
          .incarnation = 1,
          .flow_ttl_us = 60 * RGY_US_PER_S,
          .heartbeat_us = RGY_US_PER_S,
          .max_flows = 100,
          .cold_overshoot = 1.5,
          .cold_slack = 5,
          .out = { .emit = emit_, .ctx = f } };

  f->counters = rgy_counters_new ();
  f->now_us = START_US;
  f->agent = rgy_stream_agent_new (&settings, f->counters, f->now_us);
  rgy_stream_agent_add_balancer (f->agent, BALANCER_IP, f->now_us);
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

static void
pass_ (struct fixture_ *f, int64_t us)
{
  int64_t until = f->now_us + us;

  while (f->now_us < until)
    {
      f->now_us += RGY_STREAM_TICK_US;
      rgy_stream_agent_tick (f->agent, f->now_us);
    }
}

static struct rgy_segment
segment_ (uint16_t port, uint8_t flags, uint32_t seq, uint32_t ack)
{
  static const uint8_t raw[1];
  struct rgy_name service = rgy_name_from_c ("workshop");

  return (struct rgy_segment){
    .key = rgy_flow_key_segment (
        (struct rgy_endpoint){ .ip = 0x64400007, .port = port },
        (struct rgy_endpoint){ .ip = 0xc6120001, .port = 443 }),
    .flags = flags,
    .seq = seq,
    .ack = ack,
    .trail = { .service_tag = rgy_service_tag (&service),
               .balancer_ip = BALANCER_IP },
    .raw = { .data = raw, .len = sizeof raw }
  };
}

static void
caller_ (struct fixture_ *f, uint16_t port, uint8_t flags, uint32_t ack)
{
  struct rgy_segment segment = segment_ (port, flags, 0, ack);

  rgy_stream_agent_from_balancer (f->agent, &segment, BALANCER_IP, f->now_us);
}

static void
backend_ (struct fixture_ *f, uint16_t port, uint8_t flags, uint32_t seq)
{
  struct rgy_segment segment = segment_ (port, flags, seq, 0);

  rgy_stream_agent_from_backend (f->agent, &segment, f->now_us);
}

/* Sends a message of the balancer at IP to the agent.  */
static void
tell_ (struct fixture_ *f, const struct rgy_stream_message *message,
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

static enum rgy_outcome
heartbeat_ (struct fixture_ *f, const char *id, int64_t started_ms,
            uint64_t seq, bool draining)
{
  struct rgy_backend_heartbeat heartbeat
      = { .id = rgy_name_from_c (id),
          .service = rgy_name_from_c ("workshop"),
          .started_ms = started_ms,
          .seq = seq,
          .draining = draining,
          .slots = 4 };

  return rgy_stream_agent_heartbeat (f->agent, &heartbeat, f->now_us);
}

/* Opens a flow at the backend server, whose first number is 1000.  */
static void
open_flow_ (struct fixture_ *f, uint16_t port)
{
  caller_ (f, port, RGY_SEGMENT_SYN, 0);
  backend_ (f, port, RGY_SEGMENT_SYN | RGY_SEGMENT_ACK, 1000);
  caller_ (f, port, RGY_SEGMENT_ACK, 1001);
}

/* A probe that the backend server answers with a reset showed the caller a
   reset of a flow that another one holds (hollenbeck-lakes-grown, scale-1,
   seed 238987681661).  */
static void
reset_of_a_probed_flow_stays_here_ (void **state)
{
  struct fixture_ *f = *state;

  caller_ (f, 1, RGY_SEGMENT_ACK, 1001);
  assert_int_equal (f->to_backend, 1);
  backend_ (f, 1, RGY_SEGMENT_RST, 0);
  assert_int_equal (f->to_caller, 0);
  assert_int_equal (f->held[RGY_HELD_NO], 1);
  /* A reset of a flow that is open here is the caller's.  */
  heartbeat_ (f, "i-1", 5, 1, false);
  open_flow_ (f, 2);
  backend_ (f, 2, RGY_SEGMENT_RST, 1001);
  assert_int_equal (f->to_caller, 2);
}

/* Segments of a flow that another backend server has answered must not reach
   one that has only got its first segment.  */
static void
only_its_own_answer_opens_a_flow_ (void **state)
{
  struct fixture_ *f = *state;

  heartbeat_ (f, "i-1", 5, 1, false);
  caller_ (f, 1, RGY_SEGMENT_SYN, 0);
  assert_int_equal (f->to_backend, 1);
  caller_ (f, 1, RGY_SEGMENT_ACK, 5001);
  assert_int_equal (f->to_backend, 1);
  assert_int_equal (f->to_balancer, 1);
  backend_ (f, 1, RGY_SEGMENT_SYN | RGY_SEGMENT_ACK, 1000);
  assert_int_equal (f->taken, 1);
  caller_ (f, 1, RGY_SEGMENT_ACK, 5001);
  assert_int_equal (f->to_balancer, 2);
  caller_ (f, 1, RGY_SEGMENT_ACK, 1001);
  assert_int_equal (f->to_backend, 2);
}

/* Bounces come for a backend server that has ended, too: they must not turn a
   probed flow into one that is held.  */
static void
bounces_are_no_sign_of_life_ (void **state)
{
  struct fixture_ *f = *state;

  caller_ (f, 1, RGY_SEGMENT_ACK, 1001);
  pass_ (f, 60 * RGY_US_PER_MS);
  caller_ (f, 2, RGY_SEGMENT_ACK, 2001);
  backend_ (f, 2, RGY_SEGMENT_ACK | RGY_SEGMENT_BOUNCED, 0);
  pass_ (f, 200 * RGY_US_PER_MS);
  assert_int_equal (f->held[RGY_HELD_YES], 0);
  backend_ (f, 3, RGY_SEGMENT_ACK, 7);
  pass_ (f, 100 * RGY_US_PER_MS);
  assert_int_equal (f->held[RGY_HELD_YES], 1);
}

/* A late heartbeat of an earlier start must not bring it back.  */
static void
late_heartbeats_are_stale_ (void **state)
{
  struct fixture_ *f = *state;

  assert_int_equal (heartbeat_ (f, "i-1", 5, 3, false), RGY_OK);
  assert_int_equal (heartbeat_ (f, "i-1", 5, 2, true), RGY_ERR_STALE);
  assert_int_equal (heartbeat_ (f, "i-2", 9, 1, true), RGY_OK);
  assert_int_equal (heartbeat_ (f, "i-1", 5, 4, false), RGY_ERR_STALE);
  assert_int_equal (rgy_stream_agent_get_state (f->agent),
                    RGY_BACKEND_DRAINING);
  /* The same name may start anew, with its counts.  */
  assert_int_equal (heartbeat_ (f, "i-2", 11, 1, false), RGY_OK);
  assert_int_equal (rgy_stream_agent_get_state (f->agent), RGY_BACKEND_READY);
}

static void
other_services_are_refused_ (void **state)
{
  struct fixture_ *f = *state;
  struct rgy_backend_heartbeat heartbeat
      = { .id = rgy_name_from_c ("i-1"),
          .service = rgy_name_from_c ("catalogue"),
          .seq = 1 };
  struct rgy_segment segment = segment_ (1, RGY_SEGMENT_SYN, 0, 0);

  assert_int_equal (
      rgy_stream_agent_heartbeat (f->agent, &heartbeat, f->now_us),
      RGY_ERR_INVALID);
  heartbeat_ (f, "i-1", 5, 1, false);
  segment.trail.service_tag++;
  rgy_stream_agent_from_balancer (f->agent, &segment, BALANCER_IP, f->now_us);
  assert_int_equal (f->to_backend, 0);
  assert_int_equal (f->refused, 1);
}

/* Load pattern: a failure domain returns and its cold backend servers meet all
   waiting callers.  The users' bound is 1.5 times the rate plus 5 in a
   second.  */
static void
cold_rate_is_kept_ (void **state)
{
  struct fixture_ *f = *state;
  struct rgy_backend_heartbeat heartbeat
      = { .id = rgy_name_from_c ("i-1"),
          .service = rgy_name_from_c ("workshop"),
          .started_ms = 5,
          .seq = 1,
          .slots = 4,
          .cold_left_us = 60 * RGY_US_PER_S };
  struct rgy_stream_message ack = { .kind = RGY_STREAM_REPORT_ACK,
                                    .u.ack = { .balancer_incarnation = 1,
                                               .agent_incarnation = 1,
                                               .cold_rate_milli = 4000 } };
  unsigned second;
  uint16_t port = 1;

  tell_ (f, &ack, BALANCER_IP);
  rgy_stream_agent_heartbeat (f->agent, &heartbeat, f->now_us);
  for (second = 0; second < 3; second++)
    {
      unsigned before = f->to_backend;
      int i;

      for (i = 0; i < 100; i++)
        {
          caller_ (f, port++, RGY_SEGMENT_SYN, 0);
          f->now_us += 9 * RGY_US_PER_MS;
        }
      assert_in_range (f->to_backend - before, 1, 11);
      f->now_us += 150 * RGY_US_PER_MS;
    }
}

/* Flows of a backend server that has said it ends live until it has ended.  */
static void
leaving_backend_keeps_its_flows_for_a_moment_ (void **state)
{
  struct fixture_ *f = *state;
  struct rgy_name id = rgy_name_from_c ("i-1");

  heartbeat_ (f, "i-1", 5, 1, false);
  open_flow_ (f, 1);
  assert_int_equal (rgy_stream_agent_leave (f->agent, &id, f->now_us), RGY_OK);
  pass_ (f, 200 * RGY_US_PER_MS);
  assert_int_equal (f->resets, 0);
  assert_int_not_equal (f->reported, RGY_BACKEND_GONE);
  pass_ (f, 200 * RGY_US_PER_MS);
  assert_int_equal (f->resets, 1);
  assert_int_equal (f->reported, RGY_BACKEND_GONE);
}

static void
acknowledge_ (struct fixture_ *f, uint32_t ip, const char *domain)
{
  struct rgy_name name = rgy_name_from_c (domain);
  struct rgy_stream_message ack
      = { .kind = RGY_STREAM_REPORT_ACK,
          .u.ack = { .balancer_incarnation = 1,
                     .balancer_domain = rgy_stream_hash_domain (&name),
                     .agent_incarnation = 1 } };

  tell_ (f, &ack, ip);
}

/* Changes of flows went to all balancers, also of failure domains to which the
   routers do not send these flows; that traffic grew with balancers times
   flows (sweep of rodaforte-sul-grown, 300 machines).  */
static void
changes_go_to_the_flows_domain_ (void **state)
{
  struct fixture_ *f = *state;

  rgy_stream_agent_add_balancer (f->agent, FAR_BALANCER_IP, f->now_us);
  heartbeat_ (f, "i-1", 5, 1, false);
  acknowledge_ (f, BALANCER_IP, "poa-a");
  acknowledge_ (f, FAR_BALANCER_IP, "poa-b");
  open_flow_ (f, 1);
  pass_ (f, 500 * RGY_US_PER_MS);
  assert_int_equal (f->changes_to[0], 1);
  assert_int_equal (f->changes_to[1], 0);
  /* The router moves the flow to the other failure domain.  */
  {
    struct rgy_segment segment = segment_ (1, RGY_SEGMENT_ACK, 0, 1001);

    rgy_stream_agent_from_balancer (f->agent, &segment, FAR_BALANCER_IP,
                                    f->now_us);
  }
  pass_ (f, 500 * RGY_US_PER_MS);
  assert_int_equal (f->changes_to[1], 1);
}

static void
ask_ (struct fixture_ *f, uint16_t port)
{
  struct rgy_segment segment = segment_ (port, RGY_SEGMENT_ACK, 0, 0);
  uint8_t ends[RGY_FLOW_ENDS_BYTES];
  struct rgy_stream_message query
      = { .kind = RGY_STREAM_QUERY,
          .u.queried = { .data = ends, .len = sizeof ends } };

  rgy_flow_ends_encode (&segment.key, ends);
  tell_ (f, &query, BALANCER_IP);
}

/* After a loss of power some backend servers never come back.  Their agents
   stayed unsure about every flow until the idle timeout, and all callers of
   lost flows waited until their time limit (rodaforte-sul-grown, trouble-1).
   */
static void
absent_backend_holds_nothing_ (void **state)
{
  struct fixture_ *f = *state;

  ask_ (f, 1);
  assert_int_equal (f->held[RGY_HELD_UNSURE], 1);
  pass_ (f, 200 * RGY_US_PER_MS);
  /* Answers to segments of ended flows are no sign of life.  */
  backend_ (f, 2, RGY_SEGMENT_RST, 0);
  pass_ (f, 200 * RGY_US_PER_MS);
  assert_int_equal (f->checks, 1);
  rgy_stream_agent_backend_absent (f->agent, f->now_us, f->now_us);
  assert_int_equal (f->reported, RGY_BACKEND_GONE);
  ask_ (f, 1);
  assert_int_equal (f->held[RGY_HELD_NO], 1);
  /* One that starts later is taken up, also when its first heartbeats were
     lost.  */
  assert_int_equal (heartbeat_ (f, "i-1", 5, 3, false), RGY_OK);
  assert_int_equal (rgy_stream_agent_get_state (f->agent), RGY_BACKEND_READY);
  ask_ (f, 1);
  assert_int_equal (f->held[RGY_HELD_NO], 2);
}

/* A machine is taken away whose backend server did not survive a loss of
   power. Its agent was stopped before the first check and announced a restart,
   so balancers waited 6 s for it before they reset a flow (rodaforte-sul,
   trouble-2).  */
static void
stopping_agent_checks_an_unheard_backend_ (void **state)
{
  struct fixture_ *f = *state;

  pass_ (f, 100 * RGY_US_PER_MS);
  assert_int_equal (f->checks, 0);
  rgy_stream_agent_stop (f->agent, f->now_us);
  assert_int_equal (f->checks, 1);
  rgy_stream_agent_backend_absent (f->agent, f->now_us, f->now_us);
  assert_int_equal (f->reported, RGY_BACKEND_GONE);
}

/* A backend server that crashes is noticed at its first missing heartbeat or
   at the first bounce of a flow that it held, and its callers are told.  */
static void
crashed_backend_is_noticed_ (void **state)
{
  struct fixture_ *f = *state;

  heartbeat_ (f, "i-1", 5, 1, false);
  open_flow_ (f, 1);
  pass_ (f, 1200 * RGY_US_PER_MS);
  assert_int_equal (f->checks, 0);
  pass_ (f, 300 * RGY_US_PER_MS);
  assert_int_equal (f->checks, 1);
  rgy_stream_agent_backend_absent (f->agent, f->now_us, f->now_us);
  assert_int_equal (f->resets, 1);
  assert_int_equal (f->reported, RGY_BACKEND_GONE);
}

static void
bounce_of_a_held_flow_is_followed_up_ (void **state)
{
  struct fixture_ *f = *state;

  heartbeat_ (f, "i-1", 5, 1, false);
  open_flow_ (f, 1);
  backend_ (f, 1, RGY_SEGMENT_ACK | RGY_SEGMENT_BOUNCED, 0);
  assert_int_equal (f->checks, 1);
}

/* The verdict of a check is older than what the backend server has sent
   since.  */
static void
sign_of_life_overrules_a_check_ (void **state)
{
  struct fixture_ *f = *state;
  int64_t asked_us;

  pass_ (f, 400 * RGY_US_PER_MS);
  assert_int_equal (f->checks, 1);
  asked_us = f->now_us;
  pass_ (f, 20 * RGY_US_PER_MS);
  heartbeat_ (f, "i-1", 5, 1, false);
  rgy_stream_agent_backend_absent (f->agent, asked_us, f->now_us);
  assert_int_equal (rgy_stream_agent_get_state (f->agent), RGY_BACKEND_READY);
  /* One that lives after all is not ignored.  */
  rgy_stream_agent_backend_absent (f->agent, f->now_us, f->now_us);
  assert_int_equal (rgy_stream_agent_get_state (f->agent), RGY_BACKEND_GONE);
  assert_int_equal (heartbeat_ (f, "i-1", 5, 2, false), RGY_OK);
  assert_int_equal (rgy_stream_agent_get_state (f->agent), RGY_BACKEND_READY);
}

int
main (void)
{
#define WITH_AGENT(test)                                                      \
  cmocka_unit_test_setup_teardown (test, set_up_, tear_down_)
  const struct CMUnitTest tests[] = {
    WITH_AGENT (reset_of_a_probed_flow_stays_here_),
    WITH_AGENT (only_its_own_answer_opens_a_flow_),
    WITH_AGENT (bounces_are_no_sign_of_life_),
    WITH_AGENT (late_heartbeats_are_stale_),
    WITH_AGENT (other_services_are_refused_),
    WITH_AGENT (cold_rate_is_kept_),
    WITH_AGENT (leaving_backend_keeps_its_flows_for_a_moment_),
    WITH_AGENT (changes_go_to_the_flows_domain_),
    WITH_AGENT (absent_backend_holds_nothing_),
    WITH_AGENT (stopping_agent_checks_an_unheard_backend_),
    WITH_AGENT (crashed_backend_is_noticed_),
    WITH_AGENT (bounce_of_a_held_flow_is_followed_up_),
    WITH_AGENT (sign_of_life_overrules_a_check_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
