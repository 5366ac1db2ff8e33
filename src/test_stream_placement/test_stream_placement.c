/* Choice of agents by balancers that know loads only from messages, some of
   them late.  Servers are queues on a virtual clock.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/bytes.h"
#include "ragwortyoke/clock.h"
#include "ragwortyoke/stream_balancer.h"

#define MS RGY_US_PER_MS
#define STEP_US (10 * MS)
#define GOAL_US (200 * MS)
#define REPORT_US (400 * MS)
#define MAX_BALANCERS 24
#define MAX_SERVERS 640
#define ROUTES 2

/* A backend server and its agent.  */
struct server_
{
  uint32_t ip;
  const char *domain;
  const char *service;
  uint32_t slots;
  double run_us;
  uint32_t route_run_us[ROUTES]; /* Reported if not 0.  */
  double requests;               /* Requests that wait or run.  */
  unsigned chosen;               /* New flows since the test reset this.  */
  double arrived_per_s;
  uint32_t open_flows;
  uint32_t failed_permille;
  enum rgy_backend_state state;
  uint64_t backend_id;
  uint64_t incarnation;
  uint64_t seq;
  bool is_frozen; /* Neither reports nor answers.  */
  bool reports_load;
  int64_t reported_us;
  double reported_wait_us;
};

struct fixture_
{
  struct rgy_counters *counters;
  struct rgy_stream_balancer *balancers[MAX_BALANCERS];
  size_t n_balancers;
  struct server_ servers[MAX_SERVERS];
  size_t n_servers;
  int64_t now_us;
  uint32_t flows;
  uint32_t offered_ip; /* Agent that the last segment was forwarded to.  */
};

static struct server_ *
find_server_ (struct fixture_ *f, uint32_t ip)
{
  size_t i;

  for (i = 0; i < f->n_servers; i++)
    if (f->servers[i].ip == ip)
      return &f->servers[i];
  return NULL;
}

static void
note_action_ (void *ctx, const struct rgy_stream_action *action)
{
  struct fixture_ *f = ctx;

  if (action->kind == RGY_STREAM_TO_AGENT)
    f->offered_ip = action->ip;
}

static void
send_message_ (struct fixture_ *f, size_t balancer,
               const struct rgy_stream_message *message, uint32_t ip)
{
  GByteArray *bytes = g_byte_array_new ();

  rgy_stream_message_encode (message, bytes);
  assert_int_equal (
      rgy_stream_balancer_from_message (
          f->balancers[balancer],
          (struct rgy_bytes){ .data = bytes->data, .len = bytes->len }, ip,
          f->now_us),
      RGY_OK);
  g_byte_array_unref (bytes);
}

static struct rgy_stream_message
make_report_ (const struct server_ *server)
{
  return (struct rgy_stream_message){
    .kind = RGY_STREAM_REPORT,
    .u.report = { .incarnation = server->incarnation,
                  .seq = server->seq,
                  .service = rgy_name_from_c (server->service),
                  .domain = rgy_name_from_c (server->domain),
                  .state = server->state,
                  .backend_id = server->backend_id,
                  .complete = true,
                  .slots = server->slots,
                  .open_flows = server->open_flows }
  };
}

static double
get_wait_us_ (const struct server_ *server)
{
  return MAX (server->requests - server->slots, 0) * server->run_us
         / server->slots;
}

static size_t
encode_runs_ (const struct server_ *server, uint8_t *runs)
{
  size_t len = 0;
  uint16_t i;

  for (i = 0; i < ROUTES; i++)
    {
      const struct rgy_endpoint address
          = { .ip = 0xc6120001, .port = (uint16_t)(443 + i) };

      if (server->route_run_us[i] == 0)
        continue;
      rgy_route_address_encode (address, runs + len);
      rgy_put_be (runs + len + RGY_ROUTE_ADDRESS_BYTES,
                  server->route_run_us[i],
                  RGY_ROUTE_RUN_BYTES - RGY_ROUTE_ADDRESS_BYTES);
      len += RGY_ROUTE_RUN_BYTES;
    }
  return len;
}

/* Sends the server's state to all balancers: a full report, and its load if it
   reports one.  */
static void
report_ (struct fixture_ *f, struct server_ *server)
{
  uint8_t runs[ROUTES * RGY_ROUTE_RUN_BYTES];
  struct rgy_stream_message full;
  struct rgy_stream_message load = { .kind = RGY_STREAM_LOAD_REPORT };
  size_t i;

  server->seq++;
  full = make_report_ (server);
  for (i = 0; i < f->n_balancers; i++)
    send_message_ (f, i, &full, server->ip);
  server->reported_us = f->now_us;
  server->reported_wait_us = get_wait_us_ (server);
  if (!server->reports_load)
    return;
  load.u.load = (struct rgy_stream_load_report){
    .brief = { .seq = ++server->seq,
               .fingerprint = rgy_stream_report_fingerprint (&full.u.report),
               .open_flows = server->open_flows },
    .run_us = (uint32_t)server->run_us,
    .requests = (uint32_t)server->requests,
    .wait_us = (uint32_t)server->reported_wait_us,
    .requests_per_s = (uint32_t)server->arrived_per_s,
    .failed_permille = server->failed_permille,
    .runs = { .data = runs, .len = encode_runs_ (server, runs) }
  };
  for (i = 0; i < f->n_balancers; i++)
    send_message_ (f, i, &load, server->ip);
}

/* True if the server's agent reports now: every 400 ms, and 100 ms after the
   last report when its wait has changed much.  */
static bool
is_report_due_ (const struct fixture_ *f, const struct server_ *server)
{
  int64_t age_us = f->now_us - server->reported_us;
  double wait_us = get_wait_us_ (server);

  return age_us >= REPORT_US
         || (age_us >= 100 * MS
             && ABS (wait_us - server->reported_wait_us) > 20.0 * MS
             && (wait_us > 2 * server->reported_wait_us
                 || server->reported_wait_us > 2 * wait_us));
}

static void
advance_time_ (struct fixture_ *f, int64_t us)
{
  int64_t until = f->now_us + us;

  for (; f->now_us < until; f->now_us += STEP_US)
    {
      size_t i;

      for (i = 0; i < f->n_servers; i++)
        {
          struct server_ *server = &f->servers[i];

          server->requests = MAX (
              server->requests - STEP_US / server->run_us * server->slots, 0);
          server->arrived_per_s *= 1 - (double)STEP_US / RGY_US_PER_S;
          if (!server->is_frozen && is_report_due_ (f, server))
            report_ (f, server);
        }
      for (i = 0; i < f->n_balancers; i++)
        rgy_stream_balancer_tick (f->balancers[i], f->now_us);
    }
}

static void
set_manifest_ (struct fixture_ *f, size_t balancer, uint64_t version,
               uint32_t workshop, uint32_t catalogue)
{
  struct rgy_stream_manifest *manifest = rgy_stream_manifest_new (version);
  struct rgy_route route = { .address = { .ip = 0xc6120001, .port = 443 },
                             .terms = { .goal_us = GOAL_US },
                             .n_targets = 2 };

  route.targets[0].service = rgy_name_from_c ("workshop");
  route.targets[0].weight = workshop;
  route.targets[1].service = rgy_name_from_c ("catalogue");
  route.targets[1].weight = catalogue;
  assert_int_equal (rgy_stream_manifest_add_route (manifest, &route), RGY_OK);
  assert_int_equal (rgy_stream_balancer_set_manifest (f->balancers[balancer],
                                                      manifest, f->now_us),
                    RGY_OK);
}

/* Sets up servers of the service "workshop" with four slots and a run time of
   20 ms, N_NEAR in the balancers' failure domain and N_FAR in another one, and
   runs until the balancers know them.  */
static void
start_ (struct fixture_ *f, size_t n_balancers, size_t n_near, size_t n_far)
{
  size_t i;

  f->n_balancers = n_balancers;
  f->n_servers = n_near + n_far;
  for (i = 0; i < f->n_servers; i++)
    f->servers[i]
        = (struct server_){ .ip = 0x0a020001U + (uint32_t)i,
                            .domain = i < n_near ? "poa-a" : "poa-b",
                            .service = "workshop",
                            .slots = 4,
                            .run_us = 20.0 * MS,
                            .state = RGY_BACKEND_READY,
                            .backend_id = 1,
                            .incarnation = 1,
                            .reports_load = true,
                            .reported_us
                            = f->now_us - (int64_t)(i % 40) * STEP_US };
  for (i = 0; i < n_balancers; i++)
    {
      struct rgy_stream_balancer_settings settings
          = { .own_ip = 0x0a010001U + (uint32_t)i,
              .domain = rgy_name_from_c ("poa-a"),
              .incarnation = 1,
              .flow_ttl_us = 60 * RGY_US_PER_S,
              .max_flows = 100000,
              .out = { .emit = note_action_, .ctx = f } };
      size_t k;

      f->balancers[i]
          = rgy_stream_balancer_new (&settings, f->counters, f->now_us);
      for (k = 0; k < n_balancers; k++)
        rgy_stream_balancer_add_peer (f->balancers[i],
                                      0x0a010001U + (uint32_t)k, f->now_us);
      set_manifest_ (f, i, 1, 1, 0);
    }
  advance_time_ (f, 3 * RGY_US_PER_S);
}

/* Opens a flow with one request through a balancer.  Returns the server, or
   NULL if the flow was not placed.  */
static struct server_ *
open_flow_ (struct fixture_ *f, size_t balancer)
{
  static const uint8_t raw[1];
  const uint32_t n = f->flows++;
  struct rgy_segment segment
      = { .key = rgy_flow_key_segment (
              (struct rgy_endpoint){ .ip = 0x64400007 + n / 60000,
                                     .port = (uint16_t)(1024 + n % 60000) },
              (struct rgy_endpoint){ .ip = 0xc6120001, .port = 443 }),
          .flags = RGY_SEGMENT_SYN,
          .raw = { .data = raw, .len = sizeof raw } };
  struct rgy_stream_message accepted
      = { .kind = RGY_STREAM_ACCEPTED, .u.flow.key = segment.key };
  struct server_ *server;

  f->offered_ip = 0;
  rgy_stream_balancer_from_router (f->balancers[balancer], &segment,
                                   f->now_us);
  server = find_server_ (f, f->offered_ip);
  if (server == NULL)
    return NULL;
  send_message_ (f, balancer, &accepted, server->ip);
  server->requests++;
  server->arrived_per_s++;
  server->chosen++;
  return server;
}

/* Opens flows evenly through all balancers over some time.  Returns how many
   went to another failure domain.  */
static unsigned
open_flows_ (struct fixture_ *f, unsigned flows_per_s, int64_t us)
{
  int64_t until = f->now_us + us;
  int64_t due_us = 0; /* Flows that are due, times a second.  */
  unsigned left = 0;

  for (; f->now_us < until; advance_time_ (f, STEP_US))
    for (due_us += flows_per_s * STEP_US; due_us >= RGY_US_PER_S;
         due_us -= RGY_US_PER_S)
      {
        const struct server_ *server
            = open_flow_ (f, f->flows % f->n_balancers);

        assert_non_null (server);
        left += strcmp (server->domain, "poa-a") != 0;
      }
  return left;
}

static int
set_up_ (void **state)
{
  struct fixture_ *f = g_new0 (struct fixture_, 1);

  f->counters = rgy_counters_new ();
  f->now_us = 100 * RGY_US_PER_S;
  *state = f;
  return 0;
}

static int
tear_down_ (void **state)
{
  struct fixture_ *f = *state;
  size_t i;

  for (i = 0; i < f->n_balancers; i++)
    rgy_stream_balancer_delete (f->balancers[i]);
  rgy_counters_delete (f->counters);
  g_free (f);
  return 0;
}

/* Load pattern: all servers have a queue but one, which all balancers know
   from the same reports.  In the 100 ms until its next report it may get what
   it answers within the latency goal, 60 requests, not the 200 of all.  */
static void
balancers_with_the_same_reports_do_not_flood_a_server_ (void **state)
{
  struct fixture_ *f = *state;
  size_t i;

  start_ (f, 20, 8, 0);
  for (i = 0; i < f->n_servers; i++)
    {
      f->servers[i].requests = i == 0 ? 0 : 12;
      report_ (f, &f->servers[i]);
      f->servers[i].chosen = 0;
    }
  for (i = 0; i < 200; i++)
    assert_non_null (open_flow_ (f, i % f->n_balancers));
  assert_in_range (f->servers[0].chosen, 10, 60);
}

/* Load pattern: a wave of demand.  The callers of one failure domain bring
   twice what its servers bear, from one report to the next.  New flows must go
   to the other domain before a request waits for longer than its latency
   goal.  */
static void
wave_moves_flows_before_a_queue_forms_ (void **state)
{
  struct fixture_ *f = *state;
  double longest_us = 0;
  int round;
  size_t i;

  start_ (f, 6, 6, 12);
  assert_int_equal (open_flows_ (f, 400, 6 * RGY_US_PER_S), 0);
  for (round = 0; round < 40; round++)
    {
      open_flows_ (f, 2400, 50 * MS);
      for (i = 0; i < f->n_servers; i++)
        longest_us = MAX (longest_us, get_wait_us_ (&f->servers[i]));
    }
  assert_true (longest_us < GOAL_US);
}

/* Load pattern: the callers of one failure domain bring 1.3 times what its
   servers bear for long.  The own domain stays in use, and the share that
   leaves does not swing.  */
static void
steady_share_leaves_a_full_domain_ (void **state)
{
  struct fixture_ *f = *state;
  unsigned lowest = UINT_MAX;
  unsigned highest = 0;
  double longest_us = 0;
  int round;
  size_t i;

  start_ (f, 6, 6, 12);
  open_flows_ (f, 1560, 4 * RGY_US_PER_S);
  for (round = 0; round < 20; round++)
    {
      unsigned left = open_flows_ (f, 1560, 400 * MS);

      lowest = MIN (lowest, left);
      highest = MAX (highest, left);
      for (i = 0; i < 6; i++)
        longest_us = MAX (longest_us, get_wait_us_ (&f->servers[i]));
    }
  /* The excess is 144 of 624 flows in each round.  */
  assert_in_range (lowest, 72, 170);
  assert_in_range (highest, 120, 260);
  assert_true (longest_us < GOAL_US / 2.0);
  /* The excess ends, and the flows return at once for good.  */
  open_flows_ (f, 800, RGY_US_PER_S);
  assert_int_equal (open_flows_ (f, 800, 2 * RGY_US_PER_S), 0);
}

/* Load pattern: one server gets long requests, the others short ones, and one
   is slow on both routes.  Only the latter counts as slow.  */
static void
slowness_is_compared_by_route_ (void **state)
{
  struct fixture_ *f = *state;
  size_t i;

  start_ (f, 1, 6, 0);
  for (i = 0; i < f->n_servers; i++)
    {
      f->servers[i].run_us = i == 0 ? 150.0 * MS : 10.0 * MS;
      f->servers[i].route_run_us[0] = i == 0 ? 0 : 10000;
      f->servers[i].route_run_us[1] = i < 4 ? 150000 : 0;
      f->servers[i].chosen = 0;
    }
  f->servers[1].run_us *= 6;
  f->servers[1].route_run_us[0] *= 6;
  f->servers[1].route_run_us[1] *= 6;
  advance_time_ (f, RGY_US_PER_S);
  open_flows_ (f, 40, 5 * RGY_US_PER_S);
  assert_int_equal (rgy_counters_get (f->counters, "slow_backends", NULL), 1);
  assert_true (f->servers[0].chosen > 200 / 6 / 2);
  assert_in_range (f->servers[1].chosen, 0, 200 / 6 / 2);
}

/* Load pattern: a server is six times slower for some seconds.  No flow goes
   there while others have room, so its run times are measured no more; it must
   get flows again after its recovery all the same, and few before.  */
static void
recovered_server_gets_flows_again_ (void **state)
{
  struct fixture_ *f = *state;
  size_t i;

  start_ (f, 2, 6, 0);
  for (i = 0; i < f->n_servers; i++)
    f->servers[i].route_run_us[0] = 20000;
  f->servers[1].run_us *= 6;
  f->servers[1].route_run_us[0] *= 6;
  advance_time_ (f, RGY_US_PER_S);
  f->servers[1].chosen = 0;
  open_flows_ (f, 100, 20 * RGY_US_PER_S);
  assert_in_range (f->servers[1].chosen, 0, 2000 / 6 / 4);
  f->servers[1].run_us /= 6;
  f->servers[1].chosen = 0;
  for (i = 0; i < 25; i++)
    {
      open_flows_ (f, 100, RGY_US_PER_S);
      /* The agent reports the mean of one run before and those since.  */
      f->servers[1].route_run_us[0]
          = 20000 + 100000 / (1 + f->servers[1].chosen);
    }
  f->servers[1].chosen = 0;
  open_flows_ (f, 100, 5 * RGY_US_PER_S);
  assert_true (f->servers[1].chosen > 500 / 6 / 2);
}

/* Load pattern: a server answers part of its requests with an error at once,
   which only its callers see, so that it looks faster than others.  Its share
   of the flows must not grow by that beyond half as much again.  */
static void
fast_answers_draw_no_flows_ (void **state)
{
  struct fixture_ *f = *state;
  size_t i;

  start_ (f, 2, 6, 0);
  for (i = 0; i < f->n_servers; i++)
    f->servers[i].route_run_us[0] = 20000;
  f->servers[1].route_run_us[0] = 6000;
  advance_time_ (f, RGY_US_PER_S);
  f->servers[1].chosen = 0;
  open_flows_ (f, 100, 20 * RGY_US_PER_S);
  assert_in_range (f->servers[1].chosen, 2000 / 6 / 2, 2000 / 6 * 3 / 2);
}

/* Load pattern: flows open and end all the time, so that most reports are full
   ones, while long flows keep a server's queue at the same length.  Without a
   load report after it a full report, too, states that the load has hardly
   changed.  */
static void
queue_is_expected_to_stay_after_a_full_report_ (void **state)
{
  struct fixture_ *f = *state;
  size_t i;

  start_ (f, 1, 4, 0);
  f->servers[0].requests = 40;
  report_ (f, &f->servers[0]);
  f->servers[0].reports_load = false;
  advance_time_ (f, 800 * MS);
  report_ (f, &f->servers[0]);
  f->servers[0].chosen = 0;
  for (i = 0; i < 20; i++)
    assert_non_null (open_flow_ (f, 0));
  assert_int_equal (f->servers[0].chosen, 0);
}

/* Load pattern: a server hangs while its heartbeats are good.  */
static void
failing_server_is_avoided_ (void **state)
{
  struct fixture_ *f = *state;

  start_ (f, 2, 4, 0);
  f->servers[0].failed_permille = 1000;
  report_ (f, &f->servers[0]);
  f->servers[0].chosen = 0;
  open_flows_ (f, 100, RGY_US_PER_S);
  assert_int_equal (f->servers[0].chosen, 0);
  f->servers[0].failed_permille = 0;
  report_ (f, &f->servers[0]);
  open_flows_ (f, 100, RGY_US_PER_S);
  assert_true (f->servers[0].chosen > 0);
}

/* Load pattern: a server goes down and up by turns.  Its flows are lost each
   time, so the more often it does, the slower it gets new ones.  */
static void
flapping_server_gets_flows_gradually_ (void **state)
{
  struct fixture_ *f = *state;
  unsigned chosen[4];
  unsigned turn;

  start_ (f, 2, 4, 0);
  for (turn = 0; turn < 4; turn++)
    {
      f->servers[0].state = RGY_BACKEND_ENDED;
      report_ (f, &f->servers[0]);
      advance_time_ (f, RGY_US_PER_S);
      f->servers[0].state = RGY_BACKEND_READY;
      f->servers[0].backend_id++;
      report_ (f, &f->servers[0]);
      f->servers[0].chosen = 0;
      open_flows_ (f, 100, 2 * RGY_US_PER_S);
      chosen[turn] = f->servers[0].chosen;
    }
  assert_true (chosen[0] > 0);
  assert_true (chosen[3] < chosen[0] / 2);
  open_flows_ (f, 100, 8 * RGY_US_PER_S);
  f->servers[0].chosen = 0;
  open_flows_ (f, 100, 2 * RGY_US_PER_S);
  assert_true (f->servers[0].chosen > 200 / 4 / 2);
}

/* Failure: two reports in a row of an agent in another failure domain are
   lost; they come each 800 ms.  It is not declared dead, and so has not
   returned.  */
static void
distant_agent_is_not_lost_before_it_is_dead_ (void **state)
{
  struct fixture_ *f = *state;
  size_t i;

  start_ (f, 1, 0, 8);
  report_ (f, &f->servers[0]);
  f->servers[0].is_frozen = true;
  advance_time_ (f, 2300 * MS);
  f->servers[0].is_frozen = false;
  report_ (f, &f->servers[0]);
  f->servers[0].chosen = 0;
  for (i = 0; i < 40; i++)
    assert_non_null (open_flow_ (f, 0));
  assert_true (f->servers[0].chosen > 40 / 8 / 2);
}

/* Load pattern: a release.  Each server is drained, ends and starts anew; that
   is no loss.  */
static void
replaced_server_gets_its_share_at_once_ (void **state)
{
  struct fixture_ *f = *state;

  start_ (f, 2, 4, 0);
  f->servers[0].state = RGY_BACKEND_DRAINING;
  report_ (f, &f->servers[0]);
  advance_time_ (f, RGY_US_PER_S);
  f->servers[0].state = RGY_BACKEND_ENDED;
  report_ (f, &f->servers[0]);
  f->servers[0].state = RGY_BACKEND_READY;
  f->servers[0].backend_id++;
  report_ (f, &f->servers[0]);
  f->servers[0].chosen = 0;
  open_flows_ (f, 100, RGY_US_PER_S);
  assert_true (f->servers[0].chosen > 100 / 4 / 2);
}

/* Load pattern: a route to two services, split evenly.  The split holds while
   both have room, and when one has none its flows go to the other one at once,
   unless that has the weight 0.  */
static void
other_service_takes_flows_without_room_ (void **state)
{
  struct fixture_ *f = *state;
  unsigned catalogue = 0;
  size_t i;

  start_ (f, 1, 8, 0);
  for (i = 4; i < 8; i++)
    {
      f->servers[i].service = "catalogue";
      report_ (f, &f->servers[i]);
    }
  set_manifest_ (f, 0, 2, 1, 1);
  open_flows_ (f, 100, 4 * RGY_US_PER_S);
  for (i = 4; i < 8; i++)
    catalogue += f->servers[i].chosen;
  assert_in_range (catalogue, 160, 240);
  for (i = 0; i < 4; i++)
    {
      f->servers[i].requests = 200;
      report_ (f, &f->servers[i]);
      f->servers[i].chosen = 0;
    }
  for (i = 0; i < 20; i++)
    assert_non_null (open_flow_ (f, 0));
  for (i = 0; i < 4; i++)
    assert_int_equal (f->servers[i].chosen, 0);
  set_manifest_ (f, 0, 3, 1, 0);
  for (i = 0; i < 20; i++)
    assert_string_equal (open_flow_ (f, 0)->service, "workshop");
}

/* Load pattern: an upgrade.  Agents of the earlier version report no load, and
   their flows decide.  */
static void
agents_without_load_reports_are_placed_by_flows_ (void **state)
{
  struct fixture_ *f = *state;
  size_t i;

  start_ (f, 1, 4, 0);
  advance_time_ (f, 10 * RGY_US_PER_S);
  for (i = 0; i < 4; i++)
    {
      f->servers[i].reports_load = false;
      f->servers[i].open_flows = i == 0 ? 100 : 2;
    }
  /* The last load reports are too old by then.  */
  advance_time_ (f, 10 * RGY_US_PER_S);
  for (i = 0; i < 30; i++)
    assert_true (open_flow_ (f, 0) != &f->servers[0]);
  assert_int_equal (rgy_counters_get (f->counters, "stream_choices_total",
                                      "reason=\"flows\""),
                    30);
}

/* Failure: the machine of the only server with free slots freezes.  Its load
   is the best that balancers know.  Each flow that it draws is delayed by 80
   ms, so they must be few when two reports are missing, and none when the
   agent no longer counts as alive.  */
static void
frozen_agent_draws_no_flows_by_its_last_load_ (void **state)
{
  struct fixture_ *f = *state;
  size_t i;

  start_ (f, 2, 4, 0);
  f->servers[0].is_frozen = true;
  advance_time_ (f, 950 * MS);
  for (i = 1; i < 4; i++)
    {
      f->servers[i].requests = 8;
      report_ (f, &f->servers[i]);
    }
  f->servers[0].chosen = 0;
  for (i = 0; i < 50; i++)
    assert_non_null (open_flow_ (f, i % 2));
  assert_in_range (f->servers[0].chosen, 0, 5);
  advance_time_ (f, 650 * MS);
  f->servers[0].chosen = 0;
  for (i = 0; i < 50; i++)
    assert_non_null (open_flow_ (f, i % 2));
  assert_int_equal (f->servers[0].chosen, 0);
}

/* Failure: an agent restarts.  The load that the process before has reported
   counts no longer; the next one may be of a version that reports none.  */
static void
load_of_an_earlier_agent_process_is_forgotten_ (void **state)
{
  struct fixture_ *f = *state;
  size_t i;

  start_ (f, 1, 4, 0);
  f->servers[0].requests = 200;
  f->servers[0].run_us = RGY_US_PER_S;
  f->servers[0].failed_permille = 1000;
  report_ (f, &f->servers[0]);
  f->servers[0].incarnation++;
  f->servers[0].reports_load = false;
  f->servers[0].seq = 0;
  report_ (f, &f->servers[0]);
  f->servers[0].chosen = 0;
  for (i = 0; i < 100; i++)
    assert_non_null (open_flow_ (f, 0));
  assert_true (f->servers[0].chosen > 100 / 4 / 2);
}

/* Load pattern: 600 servers of one service.  Those beyond the 512th got no
   flows.  */
static void
every_agent_of_a_large_service_gets_flows_ (void **state)
{
  struct fixture_ *f = *state;
  unsigned chosen = 0;
  size_t i;

  start_ (f, 1, 600, 0);
  for (i = 0; i < 6000; i++)
    assert_non_null (open_flow_ (f, 0));
  for (i = 0; i < f->n_servers; i++)
    chosen += f->servers[i].chosen > 0;
  assert_int_equal (chosen, 600);
}

int
main (void)
{
#define WITH_SERVERS(test)                                                    \
  cmocka_unit_test_setup_teardown (test, set_up_, tear_down_)
  const struct CMUnitTest tests[] = {
    WITH_SERVERS (balancers_with_the_same_reports_do_not_flood_a_server_),
    WITH_SERVERS (wave_moves_flows_before_a_queue_forms_),
    WITH_SERVERS (steady_share_leaves_a_full_domain_),
    WITH_SERVERS (slowness_is_compared_by_route_),
    WITH_SERVERS (recovered_server_gets_flows_again_),
    WITH_SERVERS (fast_answers_draw_no_flows_),
    WITH_SERVERS (queue_is_expected_to_stay_after_a_full_report_),
    WITH_SERVERS (failing_server_is_avoided_),
    WITH_SERVERS (flapping_server_gets_flows_gradually_),
    WITH_SERVERS (distant_agent_is_not_lost_before_it_is_dead_),
    WITH_SERVERS (replaced_server_gets_its_share_at_once_),
    WITH_SERVERS (other_service_takes_flows_without_room_),
    WITH_SERVERS (agents_without_load_reports_are_placed_by_flows_),
    WITH_SERVERS (frozen_agent_draws_no_flows_by_its_last_load_),
    WITH_SERVERS (load_of_an_earlier_agent_process_is_forgotten_),
    WITH_SERVERS (every_agent_of_a_large_service_gets_flows_),
  };

  return cmocka_run_group_tests_name ("stream_placement", tests, NULL, NULL);
}
