/* Measurements of a backend server, and the agent's reports of them.  The
   backend server is a queue on a virtual clock.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/bytes.h"
#include "ragwortyoke/clock.h"
#include "ragwortyoke/stream_agent.h"

#define BALANCER_IP 0x0a010001U
#define OTHER_DOMAIN_BALANCER_IP 0x0a020001U
#define MS RGY_US_PER_MS
#define GOAL_US (200 * MS)
#define SLOTS 2
#define SHORT_PORT 443
#define LONG_PORT 444
#define SHORT_US (10 * MS)
#define LONG_US (100 * MS)

enum backend_mode_
{
  BACKEND_ANSWERS,
  BACKEND_HANGS,
  BACKEND_RESETS
};

/* A request at the backend server.  */
struct request_
{
  struct rgy_flow_key key;
  int64_t ends_us; /* 0 while it waits.  */
};

struct fixture_
{
  struct rgy_counters *counters;
  struct rgy_stream_agent *agent;
  int64_t now_us;
  enum backend_mode_ mode;
  int64_t slow_factor;
  GArray *requests; /* Entries are struct request_, in order of arrival.  */
  uint32_t seq;
  uint16_t next_port;
  uint64_t heartbeats;
  int64_t heartbeat_us;
  int64_t ack_us;
  unsigned load_reports[2]; /* To each balancer.  */
  unsigned other_reports[2];
  struct rgy_stream_load_report load; /* The last one.  */
  uint32_t short_us;                  /* Run times last reported; 0: none.  */
  uint32_t long_us;
  int64_t load_us; /* Time of the last load report to the near balancer.  */
  unsigned logged;
};

static void
note_load_ (struct fixture_ *f, const struct rgy_stream_load_report *load,
            uint32_t ip)
{
  size_t i;

  f->load_reports[ip == BALANCER_IP ? 0 : 1]++;
  if (ip != BALANCER_IP)
    return;
  f->load = *load;
  f->load_us = f->now_us;
  for (i = 0; i < load->runs.len; i += RGY_ROUTE_RUN_BYTES)
    {
      const uint8_t *entry = load->runs.data + i;
      uint32_t run_us = (uint32_t)rgy_get_be (entry + RGY_ROUTE_ADDRESS_BYTES,
                                              RGY_ROUTE_RUN_BYTES
                                                  - RGY_ROUTE_ADDRESS_BYTES);

      if (rgy_route_address_decode (entry).port == SHORT_PORT)
        f->short_us = run_us;
      else
        f->long_us = run_us;
    }
}

static void
note_action_ (void *ctx, const struct rgy_stream_action *action)
{
  struct fixture_ *f = ctx;
  struct rgy_stream_message message;
  struct request_ request = { 0 };

  switch (action->kind)
    {
    case RGY_STREAM_TO_BACKEND:
      if (action->u.segment.raw.data[0] == 0)
        return; /* Without payload.  */
      request.key = action->u.segment.key;
      g_array_append_val (f->requests, request);
      return;
    case RGY_STREAM_MESSAGE:
      assert_int_equal (
          rgy_stream_message_decode (action->u.message, &message), RGY_OK);
      if (message.kind == RGY_STREAM_LOAD_REPORT)
        note_load_ (f, &message.u.load, action->ip);
      else if (message.kind == RGY_STREAM_REPORT
               || message.kind == RGY_STREAM_BRIEF_REPORT)
        f->other_reports[action->ip == BALANCER_IP ? 0 : 1]++;
      return;
    case RGY_STREAM_LOG:
      f->logged += strstr (action->u.log, "backend_failing") != NULL;
      return;
    case RGY_STREAM_TO_AGENT:
    case RGY_STREAM_TO_BALANCER:
    case RGY_STREAM_TO_CALLER:
    case RGY_STREAM_RESET:
    case RGY_STREAM_CHECK_BACKEND:
    case RGY_STREAM_FETCH_MANIFEST:
    case RGY_STREAM_SAVE_FLOWS:
    case RGY_STREAM_LOAD_FLOWS:
    case RGY_STREAM_LOG_FLOW:
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
acknowledge_ (struct fixture_ *f, uint32_t ip, const char *domain)
{
  struct rgy_name name = rgy_name_from_c (domain);
  struct rgy_stream_message ack
      = { .kind = RGY_STREAM_REPORT_ACK,
          .u.ack = { .balancer_incarnation = 1,
                     .balancer_domain = rgy_stream_hash_domain (&name),
                     .agent_incarnation = 1 } };

  send_message_ (f, &ack, ip);
}

static void
state_features_ (struct fixture_ *f, uint32_t ip, uint32_t flags)
{
  const struct rgy_stream_message features
      = { .kind = RGY_STREAM_FEATURES,
          .u.features = { .balancer_incarnation = 1, .flags = flags } };

  send_message_ (f, &features, ip);
}

static void
send_heartbeat_ (struct fixture_ *f, int64_t cold_left_us)
{
  struct rgy_backend_heartbeat heartbeat
      = { .id = rgy_name_from_c ("i-1"),
          .service = rgy_name_from_c ("workshop"),
          .started_ms = 5,
          .seq = ++f->heartbeats,
          .cold_left_us = cold_left_us,
          .slots = SLOTS };

  f->heartbeat_us = f->now_us;
  assert_int_equal (
      rgy_stream_agent_heartbeat (f->agent, &heartbeat, f->now_us), RGY_OK);
}

static struct rgy_segment
make_segment_ (const struct rgy_flow_key *key, uint8_t flags, size_t payload)
{
  static const uint8_t empty[1] = { 0 };
  static const uint8_t request[1] = { 1 };
  struct rgy_name service = rgy_name_from_c ("workshop");

  return (struct rgy_segment){
    .key = *key,
    .flags = flags,
    .payload_len = payload,
    .trail = { .service_tag = rgy_service_tag (&service),
               .balancer_ip = BALANCER_IP,
               .goal_us = GOAL_US },
    .raw = { .data = payload > 0 ? request : empty, .len = 1 }
  };
}

static struct rgy_flow_key
open_flow_ (struct fixture_ *f, uint16_t service_port)
{
  struct rgy_flow_key key = rgy_flow_key_segment (
      (struct rgy_endpoint){ .ip = 0x64400007, .port = ++f->next_port },
      (struct rgy_endpoint){ .ip = 0xc6120001, .port = service_port });
  struct rgy_segment segment = make_segment_ (&key, RGY_SEGMENT_SYN, 0);

  rgy_stream_agent_from_balancer (f->agent, &segment, BALANCER_IP, f->now_us);
  segment = make_segment_ (&key, RGY_SEGMENT_SYN | RGY_SEGMENT_ACK, 0);
  segment.seq = 1000;
  rgy_stream_agent_from_backend (f->agent, &segment, f->now_us);
  segment = make_segment_ (&key, RGY_SEGMENT_ACK, 0);
  segment.ack = 1001;
  rgy_stream_agent_from_balancer (f->agent, &segment, BALANCER_IP, f->now_us);
  return key;
}

static void
send_request_ (struct fixture_ *f, const struct rgy_flow_key *key)
{
  struct rgy_segment segment = make_segment_ (key, RGY_SEGMENT_ACK, 1);

  segment.seq = f->seq += 10;
  segment.ack = 1001;
  rgy_stream_agent_from_balancer (f->agent, &segment, BALANCER_IP, f->now_us);
}

static int64_t
get_run_us_ (const struct fixture_ *f, const struct request_ *request)
{
  return f->slow_factor
         * (request->key.u.segment.service.port == SHORT_PORT ? SHORT_US
                                                              : LONG_US);
}

static void
end_request_ (struct fixture_ *f, guint i, uint8_t flags, size_t payload)
{
  struct rgy_flow_key key
      = g_array_index (f->requests, struct request_, i).key;
  struct rgy_segment segment = make_segment_ (&key, flags, payload);

  g_array_remove_index (f->requests, i);
  segment.seq = 2000;
  segment.ack = f->seq + 1;
  rgy_stream_agent_from_backend (f->agent, &segment, f->now_us);
}

/* Runs the first SLOTS requests.  */
static void
run_backend_ (struct fixture_ *f)
{
  guint i;

  if (f->mode == BACKEND_RESETS)
    while (f->requests->len > 0)
      end_request_ (f, 0, RGY_SEGMENT_RST, 0);
  if (f->mode == BACKEND_HANGS)
    return;
  for (i = 0; i < MIN (f->requests->len, SLOTS);)
    {
      struct request_ *request
          = &g_array_index (f->requests, struct request_, i);

      if (request->ends_us == 0)
        request->ends_us = f->now_us + get_run_us_ (f, request);
      if (request->ends_us > f->now_us)
        i++;
      else
        end_request_ (f, i, RGY_SEGMENT_ACK, 1);
    }
}

static void
advance_time_ (struct fixture_ *f, int64_t us)
{
  int64_t until = f->now_us + us;

  while (f->now_us < until)
    {
      f->now_us += MS;
      run_backend_ (f);
      if (f->now_us - f->heartbeat_us >= RGY_US_PER_S)
        send_heartbeat_ (f, 0);
      if (f->now_us - f->ack_us >= RGY_US_PER_S)
        {
          f->ack_us = f->now_us;
          acknowledge_ (f, BALANCER_IP, "poa-a");
          acknowledge_ (f, OTHER_DOMAIN_BALANCER_IP, "poa-b");
        }
      rgy_stream_agent_tick (f->agent, f->now_us);
    }
}

/* Sends requests on flows of their own at even intervals.  */
static void
send_requests_ (struct fixture_ *f, uint16_t service_port, unsigned per_s,
                int64_t us)
{
  int64_t until = f->now_us + us;

  while (f->now_us < until)
    {
      struct rgy_flow_key key = open_flow_ (f, service_port);

      send_request_ (f, &key);
      advance_time_ (f, RGY_US_PER_S / per_s);
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
          .max_flows = 10000,
          .cold_overshoot = 1.5,
          .cold_slack = 5,
          .out = { .emit = note_action_, .ctx = f } };

  f->counters = rgy_counters_new ();
  f->requests = g_array_new (FALSE, FALSE, sizeof (struct request_));
  f->now_us = 100 * RGY_US_PER_S;
  f->slow_factor = 1;
  f->agent = rgy_stream_agent_new (&settings, f->counters, f->now_us);
  rgy_stream_agent_add_balancer (f->agent, BALANCER_IP, f->now_us);
  rgy_stream_agent_add_balancer (f->agent, OTHER_DOMAIN_BALANCER_IP,
                                 f->now_us);
  send_heartbeat_ (f, 0);
  advance_time_ (f, 2 * RGY_US_PER_S);
  state_features_ (f, BALANCER_IP,
                   RGY_STREAM_DECODES_BRIEF_REPORTS | RGY_STREAM_DECODES_LOAD);
  *state = f;
  return 0;
}

static int
tear_down_ (void **state)
{
  struct fixture_ *f = *state;

  rgy_stream_agent_delete (f->agent);
  rgy_counters_delete (f->counters);
  g_array_unref (f->requests);
  g_free (f);
  return 0;
}

/* An earlier version counts an unknown message as an error and would declare
   an agent dead that sends nothing else.  */
static void
load_goes_only_to_balancers_that_decode_it_ (void **state)
{
  struct fixture_ *f = *state;

  send_requests_ (f, SHORT_PORT, 50, 3 * RGY_US_PER_S);
  assert_true (f->load_reports[0] >= 1);
  assert_int_equal (f->load_reports[1], 0);
  assert_true (f->other_reports[1] >= 6);
}

/* Pattern: quiet hours.  A load that stays about the same is not repeated in
   each report.  */
static void
steady_load_is_reported_seldom_ (void **state)
{
  struct fixture_ *f = *state;

  send_requests_ (f, SHORT_PORT, 40, 4 * RGY_US_PER_S);
  memset (f->load_reports, 0, sizeof f->load_reports);
  send_requests_ (f, SHORT_PORT, 40, 8 * RGY_US_PER_S);
  assert_in_range (f->load_reports[0], 2, 5);
}

/* Load pattern: one server gets a mix of short and long requests.  The mean
   says nothing of its speed, the run times by route do.  */
static void
run_times_are_measured_by_route_ (void **state)
{
  struct fixture_ *f = *state;
  int i;

  for (i = 0; i < 20; i++)
    {
      send_requests_ (f, SHORT_PORT, 20, 50 * MS);
      send_requests_ (f, LONG_PORT, 4, 250 * MS);
    }
  advance_time_ (f, RGY_US_PER_S);
  assert_in_range (f->short_us, SHORT_US * 9 / 10, SHORT_US * 11 / 10);
  assert_in_range (f->long_us, LONG_US * 9 / 10, LONG_US * 11 / 10);
  assert_in_range (f->load.run_us, SHORT_US * 2, LONG_US * 9 / 10);
}

/* Load pattern: overload.  The request beyond the slots waits at the backend
   server, and that time made an overloaded server look slow.  */
static void
waiting_is_no_run_time_ (void **state)
{
  struct fixture_ *f = *state;

  send_requests_ (f, SHORT_PORT, 250, 2 * RGY_US_PER_S);
  assert_in_range (f->short_us, SHORT_US * 9 / 10, SHORT_US * 115 / 100);
  assert_in_range (f->load.run_us, SHORT_US * 9 / 10, SHORT_US * 115 / 100);
  assert_true (f->load.requests > SLOTS);
}

/* Load pattern: a server becomes six times slower for some seconds.  Balancers
   must know within a second.  */
static void
slow_server_is_reported_soon_ (void **state)
{
  struct fixture_ *f = *state;

  send_requests_ (f, SHORT_PORT, 40, 2 * RGY_US_PER_S);
  assert_in_range (f->short_us, SHORT_US * 9 / 10, SHORT_US * 11 / 10);
  f->slow_factor = 6;
  send_requests_ (f, SHORT_PORT, 30, RGY_US_PER_S);
  assert_true (f->short_us >= SHORT_US * 4);
}

/* Load pattern: a server is slow, then gets no requests for some seconds, and
   is fast again with its next ones.  What was measured before the pause
   counts as one run.  */
static void
runs_after_a_pause_are_measured_anew_ (void **state)
{
  struct fixture_ *f = *state;

  f->slow_factor = 6;
  send_requests_ (f, SHORT_PORT, 40, 4 * RGY_US_PER_S);
  assert_true (f->short_us >= SHORT_US * 5);
  advance_time_ (f, 7 * RGY_US_PER_S);
  f->slow_factor = 1;
  send_requests_ (f, SHORT_PORT, 10, RGY_US_PER_S);
  advance_time_ (f, RGY_US_PER_S);
  assert_in_range (f->short_us, SHORT_US * 9 / 10, SHORT_US * 2);
}

/* A cold server works longer on each request, which must not count as its
   speed.  */
static void
cold_runs_do_not_count_as_slow_ (void **state)
{
  struct fixture_ *f = *state;

  send_heartbeat_ (f, 20 * RGY_US_PER_S);
  f->heartbeat_us = f->now_us + 2 * RGY_US_PER_S;
  f->slow_factor = 2;
  send_requests_ (f, SHORT_PORT, 20, 2 * RGY_US_PER_S);
  assert_int_equal (f->short_us, 0);
  assert_in_range (f->load.run_us, SHORT_US * 18 / 10, SHORT_US * 22 / 10);
}

/* Load pattern: a burst of requests on flows that are open already.  Balancers
   must learn of the queue before the next periodic report, and the news stays
   bounded while the queue goes up and down.  */
static void
forming_queue_is_news_ (void **state)
{
  struct fixture_ *f = *state;
  struct rgy_flow_key keys[60];
  int64_t burst_us;
  int round;
  int i;

  for (i = 0; i < 60; i++)
    {
      keys[i] = open_flow_ (f, SHORT_PORT);
      send_request_ (f, &keys[i]);
      advance_time_ (f, 30 * MS);
    }
  advance_time_ (f, 1100 * MS);
  burst_us = f->now_us;
  for (i = 0; i < 60; i++)
    send_request_ (f, &keys[i]);
  advance_time_ (f, 110 * MS);
  assert_true (f->load_us > burst_us);
  assert_true (f->load.requests > 10);
  advance_time_ (f, RGY_US_PER_S);
  memset (f->load_reports, 0, sizeof f->load_reports);
  for (round = 0; round < 20; round++)
    {
      for (i = 0; i < 30; i++)
        send_request_ (f, &keys[i]);
      advance_time_ (f, 200 * MS);
    }
  /* 4 s: at most one each 100 ms, besides the periodic ones.  */
  assert_in_range (f->load_reports[0], 10, 50);
}

/* Load pattern: long flows that bring many requests each.  Balancers tell them
   from flows with a single request.  */
static void
requests_that_follow_on_a_flow_are_told_apart_ (void **state)
{
  struct fixture_ *f = *state;
  struct rgy_flow_key key = open_flow_ (f, SHORT_PORT);
  int i;

  for (i = 0; i < 40; i++)
    {
      send_request_ (f, &key);
      advance_time_ (f, 25 * MS);
    }
  send_requests_ (f, SHORT_PORT, 20, 500 * MS);
  for (i = 0; i < 80; i++)
    {
      send_request_ (f, &key);
      advance_time_ (f, 25 * MS);
    }
  assert_in_range (f->load.follow_ups_per_s, 20, 45);
  assert_true (f->load.requests_per_s >= f->load.follow_ups_per_s);
}

/* Load pattern: a server hangs while its heartbeats are good.  Its queue
   looked short, since requests that were handed over long ago are forgotten.
 */
static void
hanging_server_is_reported_ (void **state)
{
  struct fixture_ *f = *state;

  send_requests_ (f, SHORT_PORT, 50, 2 * RGY_US_PER_S);
  f->mode = BACKEND_HANGS;
  send_requests_ (f, SHORT_PORT, 50, 200 * MS);
  /* Stalled: a request that arrives now waits long.  */
  assert_true (f->load.run_us >= 50 * MS);
  send_requests_ (f, SHORT_PORT, 50, 600 * MS);
  assert_int_equal (f->load.failed_permille, 1000);
  assert_int_equal (f->logged, 1);
  assert_true (
      rgy_counters_get (f->counters, "stream_requests_unanswered_total", NULL)
      >= SLOTS);
  /* No flows come now, and the server answers again.  */
  f->mode = BACKEND_ANSWERS;
  advance_time_ (f, 3 * RGY_US_PER_S);
  assert_in_range (f->load.failed_permille, 1, 499);
  advance_time_ (f, 4 * RGY_US_PER_S);
  assert_int_equal (f->load.failed_permille, 0);
}

/* Load pattern: a server with good heartbeats resets what it gets.  Each
   return that fails again takes longer.  */
static void
resetting_server_is_avoided_for_longer_each_time_ (void **state)
{
  struct fixture_ *f = *state;
  unsigned logged;

  send_requests_ (f, SHORT_PORT, 50, RGY_US_PER_S);
  f->mode = BACKEND_RESETS;
  send_requests_ (f, SHORT_PORT, 50, 200 * MS);
  assert_int_equal (f->load.failed_permille, 1000);
  send_requests_ (f, SHORT_PORT, 50, 20 * RGY_US_PER_S);
  logged = f->logged;
  assert_in_range (logged, 2, 6);
  assert_true (
      rgy_counters_get (f->counters, "stream_requests_reset_total", NULL)
      > 100);
}

/* A caller that closes its flow is no failure of the server, nor is a single
   request that never ends.  */
static void
single_failure_is_not_reported_ (void **state)
{
  struct fixture_ *f = *state;
  struct rgy_flow_key key;
  struct rgy_segment reset;

  send_requests_ (f, SHORT_PORT, 50, RGY_US_PER_S);
  key = open_flow_ (f, LONG_PORT);
  send_request_ (f, &key);
  reset = make_segment_ (&key, RGY_SEGMENT_RST, 0);
  rgy_stream_agent_from_balancer (f->agent, &reset, BALANCER_IP, f->now_us);
  f->mode = BACKEND_HANGS;
  key = open_flow_ (f, SHORT_PORT);
  send_request_ (f, &key);
  advance_time_ (f, 20 * MS);
  f->mode = BACKEND_ANSWERS;
  g_array_set_size (f->requests, 0);
  send_requests_ (f, SHORT_PORT, 50, 2 * RGY_US_PER_S);
  assert_int_equal (f->load.failed_permille, 0);
  assert_int_equal (f->logged, 0);
}

/* A service whose requests take 1.5 s each.  They count as unanswered at most
   until the first ones were measured.  */
static void
long_runs_are_no_failures_ (void **state)
{
  struct fixture_ *f = *state;
  int round;

  f->slow_factor = 15;
  for (round = 0; round < 6; round++)
    {
      int i;

      for (i = 0; i < SLOTS; i++)
        {
          struct rgy_flow_key key = open_flow_ (f, LONG_PORT);

          send_request_ (f, &key);
        }
      advance_time_ (f, 2 * RGY_US_PER_S);
    }
  assert_int_equal (f->load.failed_permille, 0);
  assert_in_range (f->logged, 0, 1);
}

/* The next backend server may have another speed and does not inherit the
   failures of the one before.  */
static void
next_backend_server_is_measured_anew_ (void **state)
{
  struct fixture_ *f = *state;
  struct rgy_backend_heartbeat heartbeat
      = { .id = rgy_name_from_c ("i-2"),
          .service = rgy_name_from_c ("workshop"),
          .started_ms = 9,
          .seq = 1,
          .slots = SLOTS };

  send_requests_ (f, SHORT_PORT, 50, RGY_US_PER_S);
  f->mode = BACKEND_RESETS;
  send_requests_ (f, SHORT_PORT, 50, 200 * MS);
  assert_int_equal (f->load.failed_permille, 1000);
  f->mode = BACKEND_ANSWERS;
  f->heartbeat_us = f->now_us + 10 * RGY_US_PER_S;
  rgy_stream_agent_heartbeat (f->agent, &heartbeat, f->now_us);
  advance_time_ (f, 500 * MS);
  assert_int_equal (f->load.failed_permille, 0);
  assert_int_equal (f->load.run_us, 0);
}

int
main (void)
{
#define WITH_AGENT(test)                                                      \
  cmocka_unit_test_setup_teardown (test, set_up_, tear_down_)
  const struct CMUnitTest tests[] = {
    WITH_AGENT (load_goes_only_to_balancers_that_decode_it_),
    WITH_AGENT (steady_load_is_reported_seldom_),
    WITH_AGENT (run_times_are_measured_by_route_),
    WITH_AGENT (waiting_is_no_run_time_),
    WITH_AGENT (slow_server_is_reported_soon_),
    WITH_AGENT (runs_after_a_pause_are_measured_anew_),
    WITH_AGENT (cold_runs_do_not_count_as_slow_),
    WITH_AGENT (forming_queue_is_news_),
    WITH_AGENT (requests_that_follow_on_a_flow_are_told_apart_),
    WITH_AGENT (hanging_server_is_reported_),
    WITH_AGENT (resetting_server_is_avoided_for_longer_each_time_),
    WITH_AGENT (single_failure_is_not_reported_),
    WITH_AGENT (long_runs_are_no_failures_),
    WITH_AGENT (next_backend_server_is_measured_anew_),
  };

  return cmocka_run_group_tests_name ("stream_agent_load", tests, NULL, NULL);
}
