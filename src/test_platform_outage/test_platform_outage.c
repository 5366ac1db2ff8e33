#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <uv.h>

#include "platform.h"
#include "platform_store.h"

/* What a balancer reads from the store after the store has been silent or has
   lost answers.  All scenarios of a test run at the same time, each with a
   store of its own.  */

#define LOOPBACK 0x7f000001
#define OWN_IP 0x0a010001
/* Stated targets: a change is applied within APPLY_MS of its acknowledgement,
   and all are RECOVERY_MS after the end of an outage.  */
#define APPLY_MS 3000
#define RECOVERY_MS 4000
#define MAX_CHANGES 64
#define MANIFEST_KEY "op/config"
#define DOMAIN_KEY "op/evacuate/poa-b"
#define BALANCER_KEY "ragwortyoke/balancer/10.1.0.10"
/* Time for the client to load the keys and to begin its first watch.  */
#define START_MS 400

/* An outage, and changes that an operator makes in it and after it.  */
struct scenario_
{
  const char *name;
  unsigned begin_ms;    /* Begin of the outage, after a change that all watches
                           answered: it falls into the wait of the watch.  */
  unsigned length_ms;   /* 0: no outage.  */
  double lost_share;    /* Part of the answers that are lost; 1: silence.  */
  unsigned first_ms;    /* First change of the manifest after the begin.  */
  unsigned interval_ms; /* Time between changes.  */
  unsigned n_changes;
  bool forgets;        /* The store forgets its history in the outage.  */
  unsigned rewrite_ms; /* The store returns from a copy of the begin of the
                          outage, and the operator writes again what was lost
                          this time after its end; 0: it loses nothing.  */
  uint32_t seed;
};

/* A scenario that runs.  */
struct run_
{
  const struct scenario_ *scenario;
  uv_loop_t *loop;
  struct standin_platform_store *standin;
  struct rgy_platform_store *client;
  struct rgy_counters *counters;
  struct rgy_rejections *rejections;
  uv_timer_t begin;
  uv_timer_t end;
  uv_timer_t change;
  uv_timer_t rewrite;
  uint64_t began_ms;
  uint64_t ended_ms;
  unsigned n_written;
  uint64_t written_ms[MAX_CHANGES]; /* Time of each change.  */
  uint64_t applied_ms[MAX_CHANGES]; /* 0: not yet.  */
  uint64_t domain_written_ms;
  uint64_t domain_applied_ms;
};

static void
write_change_ (struct run_ *run)
{
  char *text = g_strdup_printf ("%u", run->n_written);
  char *value = g_base64_encode ((const guchar *)text, strlen (text));

  run->written_ms[run->n_written++] = uv_now (run->loop);
  standin_platform_store_put (run->standin, MANIFEST_KEY, value);
  g_free (value);
  g_free (text);
}

static void
on_manifest_ (void *ctx, struct rgy_bytes json,
              struct rgy_manifest_origin origin)
{
  struct run_ *run = ctx;
  char *text = g_strndup ((const char *)json.data, json.len);
  guint64 number = g_ascii_strtoull (text, NULL, 10);
  guint64 i;

  (void)origin;
  /* A newer manifest replaces the earlier ones.  */
  for (i = 0; i <= number && i < MAX_CHANGES; i++)
    if (run->applied_ms[i] == 0)
      run->applied_ms[i] = uv_now (run->loop);
  g_free (text);
}

static void
on_view_ (void *ctx, const struct rgy_domain_view *view)
{
  struct run_ *run = ctx;

  if (view->n_out == 1 && run->domain_applied_ms == 0)
    run->domain_applied_ms = uv_now (run->loop);
}

static void
on_balancer_ (void *ctx, uint32_t ip)
{
  (void)ctx;
  (void)ip;
}

static bool
on_agents_ (void *ctx, struct rgy_bytes listed, GByteArray *wanted)
{
  (void)ctx;
  (void)listed;
  (void)wanted;
  return false;
}

/* Writes the newest manifest again.  */
static void
on_rewrite_ (uv_timer_t *timer)
{
  struct run_ *run = timer->data;
  unsigned i;

  run->n_written--;
  for (i = 0; i < run->n_written; i++)
    if (run->applied_ms[i] == 0)
      run->written_ms[i] = uv_now (run->loop);
  write_change_ (run);
}

static void
on_end_ (uv_timer_t *timer)
{
  struct run_ *run = timer->data;

  standin_platform_store_lose_answers (run->standin, 0);
  if (run->scenario->rewrite_ms != 0)
    {
      standin_platform_store_return (run->standin);
      uv_timer_start (&run->rewrite, on_rewrite_, run->scenario->rewrite_ms,
                      0);
    }
  run->ended_ms = uv_now (run->loop);
  run->domain_written_ms = uv_now (run->loop);
  standin_platform_store_put (run->standin, DOMAIN_KEY, "e30=");
}

static void
on_change_ (uv_timer_t *timer)
{
  struct run_ *run = timer->data;

  write_change_ (run);
  if (run->n_written > run->scenario->n_changes)
    uv_timer_stop (timer);
}

static void
on_begin_ (uv_timer_t *timer)
{
  struct run_ *run = timer->data;
  const struct scenario_ *s = run->scenario;

  run->began_ms = uv_now (run->loop);
  standin_platform_store_lose_answers (run->standin, s->lost_share);
  if (s->forgets)
    standin_platform_store_compact (run->standin);
  if (s->rewrite_ms != 0)
    standin_platform_store_copy (run->standin);
  uv_timer_start (&run->end, on_end_, s->length_ms, 0);
  uv_timer_start (&run->change, on_change_, s->first_ms, s->interval_ms);
}

/* The first change, which all watches answer.  */
static void
on_first_change_ (uv_timer_t *timer)
{
  struct run_ *run = timer->data;

  write_change_ (run);
  uv_timer_start (timer, on_begin_, run->scenario->begin_ms, 0);
}

static void
start_run_ (struct run_ *run, uv_loop_t *loop,
            const struct scenario_ *scenario)
{
  struct rgy_platform_store_events events = { .manifest = on_manifest_,
                                              .view = on_view_,
                                              .balancer = on_balancer_,
                                              .agents = on_agents_,
                                              .ctx = run };
  struct rgy_platform_store_settings settings = {
    .address = { .ip = LOOPBACK }, .own_ip = OWN_IP, .recovery_ms = RECOVERY_MS
  };

  run->scenario = scenario;
  run->loop = loop;
  run->counters = rgy_counters_new ();
  run->rejections = rgy_rejections_new (run->counters);
  settings.counters = run->counters;
  settings.rejections = run->rejections;
  run->standin = standin_platform_store_new (loop, scenario->seed);
  settings.address.port = standin_platform_store_get_port (run->standin);
  if (scenario->rewrite_ms != 0)
    standin_platform_store_set_era (run->standin, 1);
  run->client = rgy_platform_store_watch (loop, &settings, &events);
  uv_timer_init (loop, &run->rewrite);
  run->rewrite.data = run;
  uv_timer_init (loop, &run->begin);
  uv_timer_init (loop, &run->end);
  uv_timer_init (loop, &run->change);
  run->begin.data = run;
  run->end.data = run;
  run->change.data = run;
  uv_timer_start (&run->begin, on_first_change_, START_MS, 0);
}

/* Prints and counts the changes that were applied too late.  */
static unsigned
count_late_changes_ (const struct run_ *run)
{
  uint64_t recovered_ms = run->ended_ms + RECOVERY_MS;
  unsigned n_late = 0;
  unsigned i;

  for (i = 1; i < run->n_written; i++)
    {
      uint64_t bound_ms = MAX (run->written_ms[i] + APPLY_MS, recovered_ms);

      if (run->applied_ms[i] != 0 && run->applied_ms[i] <= bound_ms)
        continue;
      n_late++;
      print_message (
          "%s: change %u, written %dms after the outage, applied "
          "%d ms after it\n",
          run->scenario->name, i, (int)(run->written_ms[i] - run->ended_ms),
          run->applied_ms[i] == 0 ? -1
                                  : (int)(run->applied_ms[i] - run->ended_ms));
    }
  if (run->domain_applied_ms != 0 && run->domain_applied_ms <= recovered_ms)
    return n_late;
  print_message ("%s: failure domain out of service, applied %d ms after the "
                 "outage\n",
                 run->scenario->name,
                 run->domain_applied_ms == 0
                     ? -1
                     : (int)(run->domain_applied_ms - run->ended_ms));
  return n_late + 1;
}

static void
finish_run_ (struct run_ *run)
{
  rgy_platform_store_delete (run->client);
  standin_platform_store_delete (run->standin);
  uv_close ((uv_handle_t *)&run->begin, NULL);
  uv_close ((uv_handle_t *)&run->end, NULL);
  uv_close ((uv_handle_t *)&run->change, NULL);
  uv_close ((uv_handle_t *)&run->rewrite, NULL);
  rgy_rejections_delete (run->rejections);
  rgy_counters_delete (run->counters);
}

static void
on_all_done_ (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

/* Plays all scenarios, and returns the number of changes that were applied too
   late.  */
static unsigned
play_ (const struct scenario_ *scenarios, size_t n)
{
  struct run_ *runs = g_new0 (struct run_, n);
  uv_loop_t loop;
  uv_timer_t done;
  uint64_t length_ms = 0;
  unsigned n_late = 0;
  size_t i;

  uv_loop_init (&loop);
  for (i = 0; i < n; i++)
    {
      const struct scenario_ *s = &scenarios[i];
      uint64_t changes_ms
          = s->first_ms + (uint64_t)s->interval_ms * s->n_changes;

      start_run_ (&runs[i], &loop, s);
      length_ms = MAX (length_ms, START_MS + s->begin_ms
                                      + MAX (s->length_ms, changes_ms)
                                      + RECOVERY_MS + 500);
    }
  uv_timer_init (&loop, &done);
  uv_timer_start (&done, on_all_done_, length_ms, 0);
  uv_run (&loop, UV_RUN_DEFAULT);
  for (i = 0; i < n; i++)
    {
      n_late += count_late_changes_ (&runs[i]);
      finish_run_ (&runs[i]);
    }
  uv_close ((uv_handle_t *)&done, NULL);
  uv_run (&loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&loop), 0);
  g_free (runs);
  return n_late;
}

/* A watch that began in a silent outage was never answered, and the balancer
   did not read changes for up to 12 s (review case 1).  The outage begins at
   different times against the watch and lasts for different times; the
   operator's changes come in the outage, at its end and later.  */
static void
changes_are_read_after_a_silent_outage_ (void **state)
{
  static const unsigned lengths_ms[] = { 300, 1000, 2600, 4500, 7000 };
  static const unsigned begins_ms[] = { 20, 700, 1300, 1900, 2300, 9500 };
  struct scenario_
      scenarios[G_N_ELEMENTS (lengths_ms) * G_N_ELEMENTS (begins_ms)];
  char *names[G_N_ELEMENTS (scenarios)];
  size_t n = 0;
  size_t i;
  size_t k;
  unsigned n_late;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (lengths_ms); i++)
    for (k = 0; k < G_N_ELEMENTS (begins_ms); k++)
      {
        names[n] = g_strdup_printf ("silent for %u ms from %u ms on",
                                    lengths_ms[i], begins_ms[k]);
        scenarios[n] = (struct scenario_){ .name = names[n],
                                           .begin_ms = begins_ms[k],
                                           .length_ms = lengths_ms[i],
                                           .lost_share = 1,
                                           .first_ms = lengths_ms[i] / 2,
                                           .interval_ms = 1200,
                                           .n_changes = 6,
                                           .seed = (uint32_t)n };
        n++;
      }
  n_late = play_ (scenarios, n);
  for (i = 0; i < n; i++)
    g_free (names[i]);
  assert_int_equal (n_late, 0);
}

/* Answers of single watches were lost without any other sign of an outage, and
   the balancer did not read changes until the watch timed out.  */
static void
changes_are_read_after_lost_answers_ (void **state)
{
  struct scenario_ scenarios[24];
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (scenarios); i++)
    scenarios[i] = (struct scenario_){
      .name = "lost answers",
      .begin_ms = 20 + 90 * (unsigned)i,
      .length_ms = i % 3 == 0 ? 500 : 2600,
      .lost_share = i % 2 == 0 ? 0.35 : 0.7,
      .first_ms = 30,
      .interval_ms = 250,
      .n_changes = 20,
      .seed = (uint32_t)i,
    };
  assert_int_equal (play_ (scenarios, G_N_ELEMENTS (scenarios)), 0);
}

/* The store has forgotten its history when it returns: the balancer must read
   all keys again in the same time.  */
static void
changes_are_read_after_a_lost_history_ (void **state)
{
  struct scenario_ scenarios[8];
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (scenarios); i++)
    scenarios[i] = (struct scenario_){ .name = "lost history",
                                       .begin_ms = 20 + 290 * (unsigned)i,
                                       .length_ms = i % 2 == 0 ? 4500 : 1500,
                                       .lost_share = 1,
                                       .first_ms = 600,
                                       .interval_ms = 900,
                                       .n_changes = 7,
                                       .forgets = true,
                                       .seed = (uint32_t)i };
  assert_int_equal (play_ (scenarios, G_N_ELEMENTS (scenarios)), 0);
}

/* The store comes back from a copy of the begin of the outage, with revisions
   that it gives out again.  No change after it was read before the revisions
   had passed those of before (review case 6); the domain's order is the first
   one after the return.  Answers are lost or cut in the outage.  */
static void
changes_are_read_after_a_return_ (void **state)
{
  struct scenario_ scenarios[32];
  GRand *rand = g_rand_new_with_seed (33);
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (scenarios); i++)
    scenarios[i] = (struct scenario_){
      .name = "return from an older copy",
      .begin_ms = (unsigned)g_rand_int_range (rand, 20, 2500),
      .length_ms = (unsigned)g_rand_int_range (rand, 20, 3000),
      .lost_share = i % 4 == 0 ? 0 : (i % 4) / 3.0,
      .first_ms = (unsigned)g_rand_int_range (rand, 10, 400),
      .interval_ms = (unsigned)g_rand_int_range (rand, 120, 900),
      .n_changes = 12,
      .rewrite_ms = (unsigned)g_rand_int_range (rand, 1, 2500),
      .seed = (uint32_t)i,
    };
  g_rand_free (rand);
  assert_int_equal (play_ (scenarios, G_N_ELEMENTS (scenarios)), 0);
}

/* Changes that come faster than watches begin made an answer larger than the
   client reads.  The watch was repeated after the same revision, with a larger
   answer each time, and the balancer followed no change (review case 5).  */
static void
changes_are_read_after_a_large_answer_ (void **state)
{
  static char value[1024 * 1024 + 1];
  struct scenario_ scenario = { .name = "large answer",
                                .begin_ms = 900,
                                .length_ms = 100,
                                .first_ms = 30,
                                .interval_ms = 900,
                                .n_changes = 4 };
  struct run_ run = { 0 };
  uv_loop_t loop;
  uv_timer_t done;
  int i;

  (void)state;
  memset (value, 'A', sizeof value - 1);
  uv_loop_init (&loop);
  start_run_ (&run, &loop, &scenario);
  uv_timer_init (&loop, &done);
  uv_timer_start (&done, on_all_done_, START_MS + 200, 0);
  uv_run (&loop, UV_RUN_DEFAULT);
  for (i = 0; i < 6; i++)
    standin_platform_store_put (run.standin, "op/large", value);
  uv_timer_start (&done, on_all_done_, 6000, 0);
  uv_run (&loop, UV_RUN_DEFAULT);
  assert_int_equal (count_late_changes_ (&run), 0);
  finish_run_ (&run);
  uv_close ((uv_handle_t *)&done, NULL);
  uv_run (&loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&loop), 0);
}

/* Agents that poll for balancers.  */

static void
on_discovered_ (void *ctx, uint32_t ip)
{
  uint64_t *found_ms = ctx;

  (void)ip;
  if (*found_ms == 0)
    *found_ms = (uint64_t)(g_get_monotonic_time () / 1000);
}

static void
on_silence_ended_ (uv_timer_t *timer)
{
  standin_platform_store_lose_answers (timer->data, 0);
  standin_platform_store_put_len (timer->data, BALANCER_KEY,
                                  strlen (BALANCER_KEY), "MTAuMS4wLjEw", 7);
}

/* An agent that starts in a silent outage must find a balancer as soon: each
   poll ends by itself.  */
static void
balancers_are_found_after_a_silent_outage_ (void **state)
{
  static const unsigned lengths_ms[] = { 100, 900, 1300, 2000, 4500 };
  uv_loop_t loop;
  uv_timer_t done;
  struct standin_platform_store *standins[G_N_ELEMENTS (lengths_ms)];
  struct rgy_platform_store *clients[G_N_ELEMENTS (lengths_ms)];
  uv_timer_t ends[G_N_ELEMENTS (lengths_ms)];
  uint64_t found_ms[G_N_ELEMENTS (lengths_ms)] = { 0 };
  struct rgy_counters *counters = rgy_counters_new ();
  struct rgy_rejections *rejections = rgy_rejections_new (counters);
  uint64_t began_ms = (uint64_t)(g_get_monotonic_time () / 1000);
  size_t i;

  (void)state;
  uv_loop_init (&loop);
  for (i = 0; i < G_N_ELEMENTS (lengths_ms); i++)
    {
      struct rgy_platform_store_events events
          = { .balancer = on_discovered_, .ctx = &found_ms[i] };
      struct rgy_platform_store_settings settings
          = { .address = { .ip = LOOPBACK },
              .recovery_ms = RECOVERY_MS,
              .counters = counters,
              .rejections = rejections };

      standins[i] = standin_platform_store_new (&loop, (uint32_t)i);
      standin_platform_store_lose_answers (standins[i], 1);
      settings.address.port = standin_platform_store_get_port (standins[i]);
      clients[i] = rgy_platform_store_discover (&loop, &settings, &events);
      uv_timer_init (&loop, &ends[i]);
      ends[i].data = standins[i];
      uv_timer_start (&ends[i], on_silence_ended_, lengths_ms[i], 0);
    }
  uv_timer_init (&loop, &done);
  uv_timer_start (&done, on_all_done_, 4500 + RECOVERY_MS, 0);
  uv_run (&loop, UV_RUN_DEFAULT);
  for (i = 0; i < G_N_ELEMENTS (lengths_ms); i++)
    {
      assert_int_not_equal (found_ms[i], 0);
      assert_in_range (found_ms[i] - began_ms, lengths_ms[i],
                       lengths_ms[i] + RECOVERY_MS);
      rgy_platform_store_delete (clients[i]);
      standin_platform_store_delete (standins[i]);
      uv_close ((uv_handle_t *)&ends[i], NULL);
    }
  uv_close ((uv_handle_t *)&done, NULL);
  uv_run (&loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&loop), 0);
  rgy_rejections_delete (rejections);
  rgy_counters_delete (counters);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (changes_are_read_after_a_silent_outage_),
    cmocka_unit_test (changes_are_read_after_lost_answers_),
    cmocka_unit_test (changes_are_read_after_a_lost_history_),
    cmocka_unit_test (changes_are_read_after_a_return_),
    cmocka_unit_test (changes_are_read_after_a_large_answer_),
    cmocka_unit_test (balancers_are_found_after_a_silent_outage_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
