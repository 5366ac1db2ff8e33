/* Requests in front of a backend server that has fewer slots than callers, as
   after a loss of power, when callers repeat what was lost while new requests
   arrive.  */

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
#define SLOTS 2
/* The agent hands over one request more than there are slots.  */
#define AT_BACKEND ((uint16_t)(SLOTS + 1))
#define GOAL_US (120 * RGY_US_PER_MS)
#define MAX_PORTS 64
#define SEGMENT_BYTES 200

/* An agent, and the segments with payload that it has delivered to its backend
   server.  */
struct fixture_
{
  struct rgy_counters *counters;
  struct rgy_stream_agent *agent;
  int64_t now_us;
  uint16_t started[4 * MAX_PORTS]; /* Port of the caller of each segment.  */
  size_t n_started;
};

static struct rgy_segment
make_segment_ (uint16_t port, uint8_t flags, uint32_t seq, uint32_t ack,
               uint16_t payload_len)
{
  static const uint8_t raw[SEGMENT_BYTES];
  struct rgy_name service = rgy_name_from_c ("workshop");

  return (struct rgy_segment){
    .key = rgy_flow_key_segment (
        (struct rgy_endpoint){ .ip = 0x64400007, .port = port },
        (struct rgy_endpoint){ .ip = 0xc6120001, .port = 443 }),
    .flags = flags,
    .seq = seq,
    .ack = ack,
    .payload_len = payload_len,
    .trail = { .service_tag = rgy_service_tag (&service),
               .balancer_ip = BALANCER_IP,
               .goal_us = GOAL_US },
    .raw = { .data = raw, .len = sizeof raw }
  };
}

static void
record_action_ (void *ctx, const struct rgy_stream_action *action)
{
  struct fixture_ *f = ctx;

  if (action->kind != RGY_STREAM_TO_BACKEND
      || f->n_started == G_N_ELEMENTS (f->started))
    return;
  f->started[f->n_started++] = action->u.segment.key.u.segment.caller.port;
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
          .max_flows = 50000,
          .out = { .emit = record_action_, .ctx = f } };
  struct rgy_backend_heartbeat heartbeat
      = { .id = rgy_name_from_c ("i-1"),
          .service = rgy_name_from_c ("workshop"),
          .started_ms = 5,
          .seq = 1,
          .slots = SLOTS };

  f->counters = rgy_counters_new ();
  f->now_us = 100 * RGY_US_PER_S;
  f->agent = rgy_stream_agent_new (&settings, f->counters, f->now_us);
  rgy_stream_agent_add_balancer (f->agent, BALANCER_IP, f->now_us);
  assert_int_equal (
      rgy_stream_agent_heartbeat (f->agent, &heartbeat, f->now_us), RGY_OK);
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
advance_time_ (struct fixture_ *f, int64_t us)
{
  int64_t until = f->now_us + us;

  while (f->now_us < until)
    {
      f->now_us += RGY_STREAM_TICK_US;
      rgy_stream_agent_tick (f->agent, f->now_us);
    }
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

/* Opens a flow whose first segment arrived as copy number COPY.  */
static void
open_flow_ (struct fixture_ *f, uint16_t port, uint32_t copy)
{
  send_from_caller_ (f, make_segment_ (port, RGY_SEGMENT_SYN, 0, copy, 0));
  send_from_backend_ (
      f, make_segment_ (port, RGY_SEGMENT_SYN | RGY_SEGMENT_ACK, 1000, 1, 0));
  send_from_caller_ (f, make_segment_ (port, RGY_SEGMENT_ACK, 1, 1001, 0));
  f->n_started = 0;
}

static void
open_flows_ (struct fixture_ *f, uint16_t first, uint16_t last)
{
  uint16_t port;

  for (port = first; port <= last; port++)
    open_flow_ (f, port, 0);
}

static void
request_ (struct fixture_ *f, uint16_t port)
{
  send_from_caller_ (f, make_segment_ (port, RGY_SEGMENT_ACK, 1, 1001, 100));
}

/* The backend server answers the request of a flow, which took 100 bytes.  */
static void
answer_ (struct fixture_ *f, uint16_t port)
{
  send_from_backend_ (f,
                      make_segment_ (port, RGY_SEGMENT_ACK, 1001, 101, 300));
}

static void
assert_started_ (struct fixture_ *f, const uint16_t *ports, size_t n)
{
  size_t i;

  assert_int_equal (f->n_started, n);
  for (i = 0; i < n; i++)
    assert_int_equal (f->started[i], ports[i]);
}

/* More callers than slots: a backend server with a short queue rejects what
   it cannot queue, so the agent must keep it.  */
static void
requests_beyond_the_slots_wait_for_an_answer_ (void **state)
{
  struct fixture_ *f = *state;
  static const uint16_t first[] = { 1, 2, 3 };
  static const uint16_t all[] = { 1, 2, 3, 4, 5 };
  uint16_t port;

  open_flows_ (f, 1, 6);
  for (port = 1; port <= 6; port++)
    request_ (f, port);
  assert_started_ (f, first, AT_BACKEND);
  answer_ (f, 2);
  answer_ (f, 1);
  assert_started_ (f, all, 5);
}

/* A burst of requests that miss their goal anyway, followed by new ones: first
   in, first out would make the new ones late as well.  */
static void
requests_in_time_overtake_late_ones_ (void **state)
{
  struct fixture_ *f = *state;
  static const uint16_t expected[] = { 1, 2, 3, 20, 4 };
  uint16_t port;

  open_flows_ (f, 1, 10);
  open_flow_ (f, 20, 0);
  for (port = 1; port <= 10; port++)
    request_ (f, port);
  advance_time_ (f, GOAL_US);
  request_ (f, 20);
  answer_ (f, 1);
  answer_ (f, 2);
  assert_started_ (f, expected, 5);
}

/* A caller that had to repeat its first segment has waited for 200 ms before
   its request arrives.  */
static void
requests_of_repeated_openings_count_as_late_ (void **state)
{
  struct fixture_ *f = *state;
  static const uint16_t expected[] = { 1, 2, 3, 5 };

  open_flows_ (f, 1, 3);
  open_flow_ (f, 4, 1);
  open_flow_ (f, 5, 0);
  request_ (f, 1);
  request_ (f, 2);
  request_ (f, 3);
  request_ (f, 4);
  request_ (f, 5);
  answer_ (f, 1);
  assert_started_ (f, expected, 4);
}

/* Requests of several routes share a backend server.  In order of arrival
   those with a short goal missed it behind others that had time.  */
static void
request_that_is_due_first_starts_first_ (void **state)
{
  struct fixture_ *f = *state;
  static const uint16_t expected[] = { 1, 2, 3, 5, 4 };
  struct rgy_segment patient
      = make_segment_ (4, RGY_SEGMENT_ACK, 1, 1001, 100);

  open_flows_ (f, 1, 5);
  request_ (f, 1);
  request_ (f, 2);
  request_ (f, 3);
  patient.trail.goal_us = 4 * GOAL_US;
  send_from_caller_ (f, patient);
  request_ (f, 5);
  answer_ (f, 1);
  answer_ (f, 2);
  assert_started_ (f, expected, 5);
}

/* The caller's clock also runs while segments travel: a flow that took long to
   open leaves less time for its first request.  */
static void
travel_time_counts_towards_the_goal_ (void **state)
{
  struct fixture_ *f = *state;
  static const uint16_t expected[] = { 1, 2, 3, 5 };

  open_flows_ (f, 1, 3);
  open_flow_ (f, 5, 0);
  send_from_caller_ (f, make_segment_ (4, RGY_SEGMENT_SYN, 0, 0, 0));
  send_from_backend_ (
      f, make_segment_ (4, RGY_SEGMENT_SYN | RGY_SEGMENT_ACK, 1000, 1, 0));
  advance_time_ (f, 60 * RGY_US_PER_MS);
  send_from_caller_ (f, make_segment_ (4, RGY_SEGMENT_ACK, 1, 1001, 0));
  f->n_started = 0;
  request_ (f, 1);
  request_ (f, 2);
  request_ (f, 3);
  request_ (f, 4);
  request_ (f, 5);
  answer_ (f, 1);
  assert_started_ (f, expected, 4);
}

/* Late segments of answered requests arrive in numbers after an outage; each
   one that counted as a request would occupy a slot for good.  */
static void
repeated_segments_occupy_no_slot_ (void **state)
{
  struct fixture_ *f = *state;
  uint16_t port;

  open_flows_ (f, 1, 10);
  for (port = 1; port <= AT_BACKEND; port++)
    {
      request_ (f, port);
      answer_ (f, port);
      request_ (f, port);
    }
  f->n_started = 0;
  for (port = 4; port < (uint16_t)(4 + AT_BACKEND); port++)
    request_ (f, port);
  assert_int_equal (f->n_started, AT_BACKEND);
}

/* A backend server that drops requests must not block those that wait.  */
static void
unanswered_requests_free_their_slots_ (void **state)
{
  struct fixture_ *f = *state;
  uint16_t port;

  open_flows_ (f, 1, 20);
  for (port = 1; port <= AT_BACKEND; port++)
    request_ (f, port);
  advance_time_ (f, 1100 * RGY_US_PER_MS);
  f->n_started = 0;
  for (port = 11; port < (uint16_t)(11 + AT_BACKEND); port++)
    request_ (f, port);
  assert_int_equal (f->n_started, AT_BACKEND);
}

/* The backend server rejects what it cannot run, so that the caller is told;
   a request may not wait in the agent until its caller's time is over.  */
static void
requests_are_handed_over_after_four_goals_ (void **state)
{
  struct fixture_ *f = *state;
  uint16_t port;

  open_flows_ (f, 1, 10);
  for (port = 1; port <= 10; port++)
    request_ (f, port);
  advance_time_ (f, 4 * GOAL_US - 40 * RGY_US_PER_MS);
  assert_int_equal (f->n_started, AT_BACKEND);
  advance_time_ (f, 80 * RGY_US_PER_MS);
  assert_int_equal (f->n_started, 10);
}

/* An agent that is stopped under load must not take the requests that it has
   just accepted with it.  */
static void
stop_hands_over_all_requests_ (void **state)
{
  struct fixture_ *f = *state;
  uint16_t port;

  open_flows_ (f, 1, 10);
  for (port = 1; port <= 10; port++)
    request_ (f, port);
  rgy_stream_agent_stop (f->agent, f->now_us);
  assert_int_equal (f->n_started, 10);
}

/* A request whose caller has given up must not run.  */
static void
request_of_a_caller_that_gave_up_is_dropped_ (void **state)
{
  struct fixture_ *f = *state;
  uint16_t port;

  open_flows_ (f, 1, 5);
  for (port = 1; port <= 5; port++)
    request_ (f, port);
  send_from_caller_ (
      f, make_segment_ (4, RGY_SEGMENT_RST | RGY_SEGMENT_ACK, 1, 1001, 0));
  f->n_started = 0;
  answer_ (f, 1);
  assert_int_equal (f->n_started, 1);
  assert_int_equal (f->started[0], 5);
}

/* A request of several segments starts whole, and repetitions of a waiting
   segment are not delivered twice.  */
static void
segments_of_a_waiting_request_stay_together_ (void **state)
{
  struct fixture_ *f = *state;
  static const uint16_t expected[] = { 1, 2, 3, 4, 4 };
  uint16_t port;

  open_flows_ (f, 1, 4);
  for (port = 1; port <= 4; port++)
    request_ (f, port);
  send_from_caller_ (f, make_segment_ (4, RGY_SEGMENT_ACK, 101, 1001, 50));
  request_ (f, 4);
  answer_ (f, 1);
  assert_started_ (f, expected, 5);
}

/* A flood of requests is bounded by bytes; what the agent cannot keep reaches
   the backend server, which rejects it.  */
static void
bytes_of_waiting_requests_are_bounded_ (void **state)
{
  struct fixture_ *f = *state;
  const uint16_t n_flows = 20000;
  uint16_t port;

  for (port = 1; port <= n_flows; port++)
    open_flow_ (f, port, 0);
  for (port = 1; port <= n_flows; port++)
    {
      if (f->n_started > AT_BACKEND)
        break;
      request_ (f, port);
    }
  assert_in_range (port, 2500000 / SEGMENT_BYTES, n_flows - 1);
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up_, tear_down_)
  const struct CMUnitTest tests[] = {
    TEST (requests_beyond_the_slots_wait_for_an_answer_),
    TEST (requests_in_time_overtake_late_ones_),
    TEST (requests_of_repeated_openings_count_as_late_),
    TEST (request_that_is_due_first_starts_first_),
    TEST (travel_time_counts_towards_the_goal_),
    TEST (repeated_segments_occupy_no_slot_),
    TEST (unanswered_requests_free_their_slots_),
    TEST (requests_are_handed_over_after_four_goals_),
    TEST (stop_hands_over_all_requests_),
    TEST (request_of_a_caller_that_gave_up_is_dropped_),
    TEST (segments_of_a_waiting_request_stay_together_),
    TEST (bytes_of_waiting_requests_are_bounded_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
