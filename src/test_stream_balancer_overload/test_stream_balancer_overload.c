/* New flows that agents refuse because of overload.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/clock.h"
#include "ragwortyoke/stream_balancer.h"

#define MS RGY_US_PER_MS
#define FIRST_AGENT_IP 0x0a020001U
#define MAX_AGENTS 8
/* Time after which an offer without an answer goes to the next agent, with
   some margin.  */
#define RETRY_US (100 * MS)

/* A balancer, some agents that report, and what was offered to them.  */
struct fixture_
{
  struct rgy_counters *counters;
  struct rgy_stream_balancer *balancer;
  int64_t now_us;
  int64_t next_report_us;
  uint64_t seq;
  uint32_t n_agents;
  unsigned offers;
  uint32_t offered[4 * MAX_AGENTS];
  bool is_last[4 * MAX_AGENTS];
  unsigned resets;
};

static void
record_action_ (void *ctx, const struct rgy_stream_action *action)
{
  struct fixture_ *f = ctx;

  if (action->kind == RGY_STREAM_TO_AGENT)
    {
      assert_in_range (f->offers, 0, G_N_ELEMENTS (f->offered) - 1);
      f->is_last[f->offers]
          = action->u.segment.trail.mark == RGY_MARK_LAST_OFFER;
      f->offered[f->offers++] = action->ip;
    }
  else if (action->kind == RGY_STREAM_RESET)
    f->resets++;
}

static void
send_message_ (struct fixture_ *f, const struct rgy_stream_message *message,
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
send_reports_ (struct fixture_ *f)
{
  uint32_t i;

  f->seq++;
  for (i = 0; i < f->n_agents; i++)
    {
      struct rgy_stream_message report
          = { .kind = RGY_STREAM_REPORT,
              .u.report = { .incarnation = 1,
                            .seq = f->seq,
                            .service = rgy_name_from_c ("workshop"),
                            .domain = rgy_name_from_c ("poa-a"),
                            .state = RGY_BACKEND_READY,
                            .complete = true,
                            .slots = 3 } };

      send_message_ (f, &report, FIRST_AGENT_IP + i);
    }
}

static void
advance_time_ (struct fixture_ *f, int64_t us)
{
  int64_t until = f->now_us + us;

  while (f->now_us < until)
    {
      f->now_us += RGY_STREAM_TICK_US;
      if (f->now_us >= f->next_report_us)
        {
          send_reports_ (f);
          f->next_report_us = f->now_us + 400 * MS;
        }
      rgy_stream_balancer_tick (f->balancer, f->now_us);
    }
}

static struct fixture_ *
start_ (uint32_t n_agents)
{
  struct fixture_ *f = g_new0 (struct fixture_, 1);
  struct rgy_stream_manifest *manifest = rgy_stream_manifest_new (7);
  struct rgy_route route
      = { .address = { .ip = 0xc6120001, .port = 443 }, .n_targets = 1 };
  struct rgy_stream_balancer_settings settings
      = { .own_ip = 0x0a010001,
          .domain = rgy_name_from_c ("poa-a"),
          .incarnation = 1,
          .flow_ttl_us = 60 * RGY_US_PER_S,
          .max_flows = 100,
          .out = { .emit = record_action_, .ctx = f } };

  f->n_agents = n_agents;
  f->counters = rgy_counters_new ();
  f->now_us = 100 * RGY_US_PER_S;
  f->balancer = rgy_stream_balancer_new (&settings, f->counters, f->now_us);
  route.targets[0].service = rgy_name_from_c ("workshop");
  route.targets[0].weight = 1;
  assert_int_equal (rgy_stream_manifest_add_route (manifest, &route), RGY_OK);
  assert_int_equal (
      rgy_stream_balancer_set_manifest (f->balancer, manifest, f->now_us),
      RGY_OK);
  advance_time_ (f, 3 * RGY_US_PER_S);
  return f;
}

static void
end_ (struct fixture_ *f)
{
  rgy_stream_balancer_delete (f->balancer);
  rgy_counters_delete (f->counters);
  g_free (f);
}

static struct rgy_flow_key
get_key_ (void)
{
  return rgy_flow_key_segment (
      (struct rgy_endpoint){ .ip = 0x64400007, .port = 4000 },
      (struct rgy_endpoint){ .ip = 0xc6120001, .port = 443 });
}

static void
send_first_segment_ (struct fixture_ *f, uint32_t copy)
{
  static const uint8_t raw[1];
  struct rgy_segment segment = { .key = get_key_ (),
                                 .flags = RGY_SEGMENT_SYN,
                                 .ack = copy,
                                 .raw = { .data = raw, .len = sizeof raw } };

  rgy_stream_balancer_from_router (f->balancer, &segment, f->now_us);
}

/* The agent of the last offer refuses it.  */
static void
refuse_ (struct fixture_ *f)
{
  const struct rgy_stream_message refused
      = { .kind = RGY_STREAM_REFUSED,
          .u.flow = { .key = get_key_ (), .reason = RGY_REFUSED_OVERLOAD } };

  send_message_ (f, &refused, f->offered[f->offers - 1]);
}

/* One agent is overloaded and others have room: the flow goes to another one
   at once.  */
static void
refused_flow_is_offered_to_another_agent_ (void **state)
{
  struct fixture_ *f = start_ (6);
  const struct rgy_stream_message accepted
      = { .kind = RGY_STREAM_ACCEPTED, .u.flow = { .key = get_key_ () } };

  (void)state;
  send_first_segment_ (f, 0);
  refuse_ (f);
  assert_int_equal (f->offers, 2);
  assert_true (f->offered[0] != f->offered[1]);
  assert_false (f->is_last[1]);
  send_message_ (f, &accepted, f->offered[1]);
  advance_time_ (f, RGY_US_PER_S);
  assert_int_equal (f->offers, 2);
  assert_int_equal (f->resets, 0);
  end_ (f);
}

/* All agents are overloaded.  The caller is told at once instead of after its
   time limit, and the balancer sends four segments, not one to each agent.  */
static void
flow_that_nobody_accepts_is_reset_at_once_ (void **state)
{
  struct fixture_ *f = start_ (6);
  unsigned i;

  (void)state;
  send_first_segment_ (f, 0);
  for (i = 0; i < 3; i++)
    {
      assert_false (f->is_last[i]);
      refuse_ (f);
    }
  assert_int_equal (f->offers, 4);
  assert_true (f->is_last[3]);
  assert_int_equal (f->resets, 0);
  refuse_ (f);
  assert_int_equal (f->resets, 1);
  advance_time_ (f, RGY_US_PER_S);
  assert_int_equal (f->offers, 4);
  assert_int_equal (f->resets, 1);
  end_ (f);
}

/* A small service: its only agent gets the last offer.  */
static void
single_agent_gets_the_last_offer_ (void **state)
{
  struct fixture_ *f = start_ (1);

  (void)state;
  send_first_segment_ (f, 0);
  refuse_ (f);
  assert_int_equal (f->offers, 2);
  assert_true (f->is_last[1]);
  refuse_ (f);
  assert_int_equal (f->resets, 1);
  end_ (f);
}

/* An agent dies while it has the last offer: the flow goes to the next one,
   still as the last offer.  It may have been accepted by the one that is
   silent, so that a refusal does not end it with a reset.  */
static void
silent_agent_prevents_a_reset_ (void **state)
{
  struct fixture_ *f = start_ (6);
  unsigned i;

  (void)state;
  send_first_segment_ (f, 0);
  for (i = 0; i < 3; i++)
    refuse_ (f);
  assert_int_equal (f->offers, 4);
  advance_time_ (f, RETRY_US);
  assert_int_equal (f->offers, 5);
  assert_true (f->is_last[4]);
  refuse_ (f);
  advance_time_ (f, RGY_US_PER_S);
  assert_int_equal (f->resets, 0);
  end_ (f);
}

/* An agent dies between two offers: the flow is offered on, as before.  */
static void
silent_agent_is_passed_over_ (void **state)
{
  struct fixture_ *f = start_ (6);

  (void)state;
  send_first_segment_ (f, 0);
  refuse_ (f);
  advance_time_ (f, RETRY_US);
  assert_int_equal (f->offers, 3);
  assert_false (f->is_last[2]);
  refuse_ (f);
  assert_int_equal (f->offers, 4);
  end_ (f);
}

/* The first segment went to another balancer, which may have placed the
   flow.  */
static void
missed_copy_prevents_a_reset_ (void **state)
{
  struct fixture_ *f = start_ (6);
  unsigned i;

  (void)state;
  send_first_segment_ (f, 1);
  for (i = 0; i < 4; i++)
    refuse_ (f);
  assert_int_equal (f->offers, 4);
  assert_int_equal (f->resets, 0);
  end_ (f);
}

/* The acceptance of the agent is lost.  The caller acknowledges its answer, so
   that the flow is open: refusals of further agents must not reset it.  */
static void
acknowledged_answer_ends_the_placement_ (void **state)
{
  struct fixture_ *f = start_ (6);
  struct rgy_segment acknowledgement
      = { .key = get_key_ (), .flags = RGY_SEGMENT_ACK, .seq = 1, .ack = 7 };
  unsigned i;

  (void)state;
  send_first_segment_ (f, 0);
  advance_time_ (f, RETRY_US);
  assert_int_equal (f->offers, 2);
  rgy_stream_balancer_from_router (f->balancer, &acknowledgement, f->now_us);
  f->offers = 0;
  for (i = 0; i < 4; i++)
    advance_time_ (f, RETRY_US);
  assert_int_equal (f->offers, 0);
  assert_int_equal (f->resets, 0);
  end_ (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (refused_flow_is_offered_to_another_agent_),
    cmocka_unit_test (flow_that_nobody_accepts_is_reset_at_once_),
    cmocka_unit_test (single_agent_gets_the_last_offer_),
    cmocka_unit_test (silent_agent_prevents_a_reset_),
    cmocka_unit_test (silent_agent_is_passed_over_),
    cmocka_unit_test (missed_copy_prevents_a_reset_),
    cmocka_unit_test (acknowledged_answer_ends_the_placement_),
  };

  return cmocka_run_group_tests_name ("stream_balancer_overload", tests, NULL,
                                      NULL);
}
