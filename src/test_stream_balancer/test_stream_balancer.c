#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/clock.h"
#include "ragwortyoke/stream_balancer.h"

#define AGENT_IP 0x0a020001U
#define PEER_IP 0x0a010002U
#define MS RGY_US_PER_MS

/* A balancer that knows one agent, and the actions that it has emitted.  */
struct fixture_
{
  struct rgy_counters *counters;
  struct rgy_stream_balancer *balancer;
  int64_t now_us;
  int64_t report_us;
  enum rgy_backend_state state; /* In reports.  */
  uint64_t seq;
  unsigned to_agent;
  unsigned resets;
  unsigned statuses;
  unsigned status_lists; /* Of these, with a list of balancers.  */
  unsigned queries;
  size_t queried_bytes;
  GByteArray *queried; /* Of the last query.  */
};

static void
emit_ (void *ctx, const struct rgy_stream_action *action)
{
  struct fixture_ *f = ctx;

  if (action->kind == RGY_STREAM_TO_AGENT)
    f->to_agent++;
  else if (action->kind == RGY_STREAM_RESET)
    f->resets++;
  else if (action->kind == RGY_STREAM_MESSAGE)
    {
      struct rgy_stream_message message;

      assert_int_equal (
          rgy_stream_message_decode (action->u.message, &message), RGY_OK);
      if (message.kind == RGY_STREAM_STATUS)
        {
          f->statuses++;
          f->status_lists += message.u.status.balancers.len > 0;
        }
      if (message.kind != RGY_STREAM_QUERY)
        return;
      f->queries++;
      f->queried_bytes += message.u.queried.len;
      g_byte_array_set_size (f->queried, 0);
      g_byte_array_append (f->queried, message.u.queried.data,
                           (guint)message.u.queried.len);
    }
}

static void
tell_from_ (struct fixture_ *f, const struct rgy_stream_message *message,
            uint32_t ip)
{
  GByteArray *bytes = g_byte_array_new ();

  rgy_stream_message_encode (message, bytes);
  assert_int_equal (
      rgy_stream_balancer_from_message (
          f->balancer,
          (struct rgy_bytes){ .data = bytes->data, .len = bytes->len }, ip,
          f->now_us),
      RGY_OK);
  g_byte_array_unref (bytes);
}

static void
tell_ (struct fixture_ *f, const struct rgy_stream_message *message)
{
  tell_from_ (f, message, AGENT_IP);
}

static void
pass_ (struct fixture_ *f, int64_t us)
{
  int64_t until = f->now_us + us;

  while (f->now_us < until)
    {
      f->now_us += RGY_STREAM_TICK_US;
      if (f->now_us >= f->report_us)
        {
          struct rgy_stream_message report
              = { .kind = RGY_STREAM_REPORT,
                  .u.report = { .incarnation = 1,
                                .seq = ++f->seq,
                                .service = rgy_name_from_c ("workshop"),
                                .domain = rgy_name_from_c ("poa-a"),
                                .state = f->state,
                                .complete = true,
                                .slots = 4 } };

          tell_ (f, &report);
          f->report_us = f->now_us + 400 * MS;
        }
      rgy_stream_balancer_tick (f->balancer, f->now_us);
    }
}

static void
start_balancer_ (struct fixture_ *f, uint64_t incarnation)
{
  struct rgy_stream_balancer_settings settings
      = { .own_ip = 0x0a010001,
          .domain = rgy_name_from_c ("poa-a"),
          .incarnation = incarnation,
          .flow_ttl_us = 60 * RGY_US_PER_S,
          .max_flows = 100,
          .out = { .emit = emit_, .ctx = f } };
  struct rgy_stream_manifest *manifest = rgy_stream_manifest_new (7);
  struct rgy_route route
      = { .address = { .ip = 0xc6120001, .port = 443 }, .n_targets = 1 };

  route.targets[0].service = rgy_name_from_c ("workshop");
  route.targets[0].weight = 1;
  assert_int_equal (rgy_stream_manifest_add_route (manifest, &route), RGY_OK);
  f->balancer = rgy_stream_balancer_new (&settings, f->counters, f->now_us);
  assert_int_equal (
      rgy_stream_balancer_set_manifest (f->balancer, manifest, f->now_us),
      RGY_OK);
}

static int
set_up_ (void **state)
{
  struct fixture_ *f = g_new0 (struct fixture_, 1);

  f->queried = g_byte_array_new ();
  f->counters = rgy_counters_new ();
  f->now_us = 100 * RGY_US_PER_S;
  f->state = RGY_BACKEND_READY;
  start_balancer_ (f, 1);
  pass_ (f, 3 * RGY_US_PER_S);
  *state = f;
  return 0;
}

static int
tear_down_ (void **state)
{
  struct fixture_ *f = *state;

  rgy_stream_balancer_delete (f->balancer);
  rgy_counters_delete (f->counters);
  g_byte_array_unref (f->queried);
  g_free (f);
  return 0;
}

/* Answers the last query with NO for each flow.  */
static void
deny_ (struct fixture_ *f)
{
  GByteArray *answers = g_byte_array_new ();
  struct rgy_stream_message message = { .kind = RGY_STREAM_ANSWER };
  guint i;

  for (i = 0; i < f->queried->len; i += RGY_FLOW_ENDS_BYTES)
    {
      uint8_t held = RGY_HELD_NO;

      g_byte_array_append (answers, f->queried->data + i, RGY_FLOW_ENDS_BYTES);
      g_byte_array_append (answers, &held, sizeof held);
    }
  message.u.answers
      = (struct rgy_bytes){ .data = answers->data, .len = answers->len };
  tell_ (f, &message);
  g_byte_array_unref (answers);
}

static void
router_from_ (struct fixture_ *f, uint16_t caller_port, uint16_t service_port,
              uint8_t flags, uint32_t ack)
{
  static const uint8_t raw[1];
  struct rgy_segment segment
      = { .key = rgy_flow_key_segment (
              (struct rgy_endpoint){ .ip = 0x64400007, .port = caller_port },
              (struct rgy_endpoint){ .ip = 0xc6120001, .port = service_port }),
          .flags = flags,
          .ack = ack,
          .raw = { .data = raw, .len = sizeof raw } };

  rgy_stream_balancer_from_router (f->balancer, &segment, f->now_us);
}

static void
router_ (struct fixture_ *f, uint16_t service_port, uint8_t flags,
         uint32_t ack)
{
  router_from_ (f, 4000, service_port, flags, ack);
}

/* A copy of the first segment that went to another balancer may have opened
   the flow; the reset of the first balancer then hit an open flow (soak, seed
   104).  */
static void
open_flow_is_not_rejected_late_ (void **state)
{
  struct fixture_ *f = *state;

  router_ (f, 443, RGY_SEGMENT_SYN, 0);
  assert_int_equal (f->to_agent, 1);
  pass_ (f, 1500 * MS);
  assert_int_equal (f->resets, 0);
}

/* When all copies came here, nobody else can have opened it.  */
static void
unanswered_flow_is_rejected_ (void **state)
{
  struct fixture_ *f = *state;

  router_ (f, 443, RGY_SEGMENT_SYN, 0);
  pass_ (f, 200 * MS);
  router_ (f, 443, RGY_SEGMENT_SYN, 1);
  pass_ (f, 400 * MS);
  router_ (f, 443, RGY_SEGMENT_SYN, 2);
  pass_ (f, 700 * MS);
  assert_int_equal (f->resets, 1);
}

static void
unknown_address_is_rejected_at_once_ (void **state)
{
  struct fixture_ *f = *state;

  router_ (f, 444, RGY_SEGMENT_SYN, 0);
  assert_int_equal (f->resets, 1);
  /* A later segment may be of a route that only others know yet.  */
  router_ (f, 445, RGY_SEGMENT_ACK, 5);
  pass_ (f, RGY_US_PER_S);
  assert_int_equal (f->resets, 1);
}

/* The caller is told as soon as the last agent has denied the flow, not at the
   end of the time for a search.  */
static void
lost_flow_is_reset_ (void **state)
{
  struct fixture_ *f = *state;

  router_ (f, 443, RGY_SEGMENT_ACK, 5);
  assert_int_equal (f->queries, 1);
  deny_ (f);
  assert_int_equal (f->resets, 1);
}

/* One lost query or answer ended a search without a verdict, and the caller
   waited until its time limit.  */
static void
lost_query_is_repeated_ (void **state)
{
  struct fixture_ *f = *state;

  router_ (f, 443, RGY_SEGMENT_ACK, 5);
  pass_ (f, 200 * MS);
  assert_int_equal (f->queries, 2);
  deny_ (f);
  assert_int_equal (f->resets, 1);
  pass_ (f, RGY_US_PER_S);
  assert_int_equal (f->queries, 2);
}

/* After a loss of power every caller uses its lost flows at once.  A query for
   each flow was above what small balancers can send, so most searches ended
   without a verdict (rodaforte-sul-grown, trouble-1).  */
static void
many_lost_flows_share_queries_ (void **state)
{
  struct fixture_ *f = *state;
  uint16_t i;

  for (i = 0; i < 50; i++)
    router_from_ (f, (uint16_t)(4000 + i), 443, RGY_SEGMENT_ACK, 5);
  assert_int_equal (f->queries, 1);
  deny_ (f);
  assert_int_equal (f->resets, 1);
  pass_ (f, 50 * MS);
  assert_int_equal (f->queries, 2);
  assert_int_equal (f->queried->len, 49 * RGY_FLOW_ENDS_BYTES);
  deny_ (f);
  assert_int_equal (f->resets, 50);
}

/* A new balancer beside an agent that reports; the store names it and others,
   N_NAMED in all.  */
static void
restart_ (struct fixture_ *f, uint8_t n_named)
{
  GByteArray *ips = g_byte_array_new ();
  uint8_t i;

  for (i = 1; i <= n_named; i++)
    g_byte_array_append (ips, (const uint8_t[]){ 10, 2, 0, i }, 4);
  rgy_stream_balancer_delete (f->balancer);
  start_balancer_ (f, 2);
  f->report_us = f->now_us;
  rgy_stream_balancer_name_agents (
      f->balancer, (struct rgy_bytes){ .data = ips->data, .len = ips->len },
      f->now_us);
  g_byte_array_unref (ips);
}

/* Load pattern: thousands of searches that agents do not answer.  The repeated
   queries of all of them filled the link of a small balancer, so that the
   answers did not arrive either (rodaforte-sul-grown, trouble-1).  The bound
   is two fifths of a link of 10 Mbit/s, at 12 bytes for each flow.  */
static void
repeated_queries_are_bounded_ (void **state)
{
  struct fixture_ *f = *state;
  uint16_t i;

  restart_ (f, 20);
  pass_ (f, 20 * MS);
  f->queried_bytes = 0;
  for (i = 0; i < 4000; i++)
    router_from_ (f, (uint16_t)(4000 + i), 443, RGY_SEGMENT_ACK, 5);
  pass_ (f, RGY_US_PER_S);
  assert_in_range (f->queried_bytes, 4000 * RGY_FLOW_ENDS_BYTES,
                   10000000 / 8 * 2 / 5);
}

/* Load pattern: a small balancer is behind with its work after everything was
   killed.  It took the answers that it had not read for missing ones, widened
   every search and offered new flows to more agents, which put it further
   behind (hollenbeck-lakes-grown, trouble-3).  */
static void
own_delay_widens_no_search_ (void **state)
{
  struct fixture_ *f = *state;
  unsigned queries;

  restart_ (f, 20);
  pass_ (f, 20 * MS);
  queries = f->queries;
  router_ (f, 443, RGY_SEGMENT_ACK, 5);
  assert_int_equal (f->queries, queries + 1);
  f->now_us += 300 * MS;
  rgy_stream_balancer_tick (f->balancer, f->now_us);
  assert_int_equal (f->queries, queries + 1);
  f->report_us = INT64_MAX;
  pass_ (f, 120 * MS);
  assert_true (f->queries > queries + 10);
}

/* An agent of the time before the start may hold the flow: no reset before it
   has had time to report.  One that was taken away meanwhile must not keep
   callers waiting for the 2 s that an agent may be silent.  */
static void
named_agent_is_waited_for_ (void **state)
{
  struct fixture_ *f = *state;

  restart_ (f, 2);
  pass_ (f, 20 * MS);
  router_ (f, 443, RGY_SEGMENT_ACK, 5);
  pass_ (f, 100 * MS);
  deny_ (f);
  pass_ (f, 700 * MS);
  deny_ (f);
  assert_int_equal (f->resets, 0);
  pass_ (f, 900 * MS);
  assert_int_equal (f->resets, 1);
}

/* A peer that knows all agents lists one of them.  */
static void
list_agent_ (struct fixture_ *f, uint8_t last_byte_of_ip, uint8_t state)
{
  const uint8_t agents[RGY_STREAM_AGENT_BYTES]
      = { 10, 2, 0, last_byte_of_ip, state };
  struct rgy_stream_message status
      = { .kind = RGY_STREAM_STATUS,
          .u.status = { .incarnation = 3,
                        .settled = true,
                        .agents = { .data = agents, .len = sizeof agents } } };

  tell_from_ (f, &status, PEER_IP);
}

/* A peer that has heard the agent may know that it is restarting.  Taken for
   removed after a second, its flows were reset although its backend server
   held them (soak, seed 863).  */
static void
agent_known_to_a_peer_is_waited_for_longer_ (void **state)
{
  struct fixture_ *f = *state;

  restart_ (f, 2);
  list_agent_ (f, 2, RGY_BACKEND_READY | RGY_STREAM_AGENT_RESTARTING);
  pass_ (f, 20 * MS);
  router_ (f, 443, RGY_SEGMENT_ACK, 5);
  pass_ (f, 100 * MS);
  deny_ (f);
  pass_ (f, 4 * RGY_US_PER_S);
  assert_int_equal (f->resets, 0);
}

/* An agent that has restarted takes new flows before the first heartbeat,
   unless its backend server was draining.  A balancer that had started while
   the agent was away did not know that (soak, seed 863).  */
static void
drain_is_learnt_from_a_peer_ (void **state)
{
  struct fixture_ *f = *state;

  restart_ (f, 1);
  list_agent_ (f, 1, RGY_BACKEND_DRAINING | RGY_STREAM_AGENT_RESTARTING);
  f->state = RGY_BACKEND_UNKNOWN;
  pass_ (f, 20 * MS);
  router_ (f, 443, RGY_SEGMENT_SYN, 0);
  pass_ (f, 200 * MS);
  assert_int_equal (f->to_agent, 0);
  f->state = RGY_BACKEND_READY;
  pass_ (f, 400 * MS);
  assert_true (f->to_agent > 0);
}

/* The list keeps agents that a balancer does not know, and gets those that it
   hears.  */
static void
list_of_agents_is_brought_up_to_date_ (void **state)
{
  static const uint8_t listed[4] = { 10, 2, 0, 9 };
  static const uint8_t both[8] = { 10, 2, 0, 1, 10, 2, 0, 9 };
  struct fixture_ *f = *state;
  GByteArray *wanted = g_byte_array_new ();

  assert_true (rgy_stream_balancer_update_agents (
      f->balancer, (struct rgy_bytes){ .data = listed, .len = sizeof listed },
      wanted, f->now_us));
  assert_int_equal (wanted->len, sizeof both);
  assert_memory_equal (wanted->data, both, sizeof both);
  g_byte_array_set_size (wanted, 0);
  assert_false (rgy_stream_balancer_update_agents (
      f->balancer, (struct rgy_bytes){ .data = both, .len = sizeof both },
      wanted, f->now_us));
  g_byte_array_unref (wanted);
}

/* A balancer that hears no agent is cut off itself: it must not reset flows
   and must leave the rotation.  */
static void
cut_off_balancer_resets_nothing_ (void **state)
{
  struct fixture_ *f = *state;

  assert_true (rgy_stream_balancer_is_ready (f->balancer, f->now_us));
  f->report_us = INT64_MAX;
  pass_ (f, 3 * RGY_US_PER_S);
  assert_false (rgy_stream_balancer_is_ready (f->balancer, f->now_us));
  router_ (f, 443, RGY_SEGMENT_ACK, 5);
  pass_ (f, 2 * RGY_US_PER_S);
  assert_int_equal (f->resets, 0);
}

/* Each balancer tells each other its state twice a second; with the list of
   all balancers in each message this traffic grew with the cube of their
   number (sweep of rodaforte-sul-grown, 300 machines).  */
static void
known_balancers_are_not_repeated_ (void **state)
{
  struct fixture_ *f = *state;
  struct rgy_stream_message status
      = { .kind = RGY_STREAM_STATUS,
          .u.status
          = { .incarnation = 3,
              .balancers_hash = rgy_stream_hash_balancer (0x0a010001)
                                ^ rgy_stream_hash_balancer (PEER_IP) } };

  rgy_stream_balancer_add_peer (f->balancer, PEER_IP, f->now_us);
  assert_int_equal (f->status_lists, 1);
  pass_ (f, 1100 * MS);
  assert_int_equal (f->status_lists, f->statuses);
  tell_from_ (f, &status, PEER_IP);
  f->statuses = 0;
  f->status_lists = 0;
  pass_ (f, 2 * RGY_US_PER_S);
  assert_true (f->statuses >= 3);
  assert_int_equal (f->status_lists, 0);
}

static void
older_manifest_is_refused_ (void **state)
{
  struct fixture_ *f = *state;

  assert_int_equal (rgy_stream_balancer_set_manifest (
                        f->balancer, rgy_stream_manifest_new (6), f->now_us),
                    RGY_ERR_STALE);
  assert_int_equal (rgy_stream_balancer_get_version (f->balancer), 7);
}

int
main (void)
{
#define WITH_BALANCER(test)                                                   \
  cmocka_unit_test_setup_teardown (test, set_up_, tear_down_)
  const struct CMUnitTest tests[] = {
    WITH_BALANCER (open_flow_is_not_rejected_late_),
    WITH_BALANCER (unanswered_flow_is_rejected_),
    WITH_BALANCER (unknown_address_is_rejected_at_once_),
    WITH_BALANCER (lost_flow_is_reset_),
    WITH_BALANCER (lost_query_is_repeated_),
    WITH_BALANCER (many_lost_flows_share_queries_),
    WITH_BALANCER (repeated_queries_are_bounded_),
    WITH_BALANCER (own_delay_widens_no_search_),
    WITH_BALANCER (named_agent_is_waited_for_),
    WITH_BALANCER (agent_known_to_a_peer_is_waited_for_longer_),
    WITH_BALANCER (drain_is_learnt_from_a_peer_),
    WITH_BALANCER (list_of_agents_is_brought_up_to_date_),
    WITH_BALANCER (cut_off_balancer_resets_nothing_),
    WITH_BALANCER (known_balancers_are_not_repeated_),
    WITH_BALANCER (older_manifest_is_refused_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
