#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/clock.h"
#include "ragwortyoke/stream_balancer.h"

/* Which manifest a balancer follows when the store returns from an older
   copy.  */

#define N_BALANCERS 2
#define FIRST_IP 0x0a010001U

struct fixture_;

struct process_
{
  struct fixture_ *fixture;
  struct rgy_stream_balancer *core;
  uint32_t ip;
};

/* Balancers that exchange messages and manifests without delay.  */
struct fixture_
{
  struct rgy_counters *counters;
  int64_t now_us;
  struct process_ processes[N_BALANCERS];
  unsigned fetches;
};

static struct process_ *
find_process_ (struct fixture_ *f, uint32_t ip)
{
  assert_in_range (ip, FIRST_IP, FIRST_IP + N_BALANCERS - 1);
  return &f->processes[ip - FIRST_IP];
}

static enum rgy_outcome
receive_ (struct process_ *p, uint64_t version, uint32_t epoch, int source)
{
  struct rgy_manifest_origin origin = { .epoch = epoch };

  origin.source = source;
  return rgy_stream_balancer_receive_manifest (
      p->core, rgy_stream_manifest_new (version), origin, p->fixture->now_us);
}

static void
execute_action_ (void *ctx, const struct rgy_stream_action *action)
{
  struct process_ *p = ctx;
  struct fixture_ *f = p->fixture;

  if (action->kind == RGY_STREAM_FETCH_MANIFEST)
    {
      f->fetches++;
      receive_ (p,
                rgy_stream_balancer_get_version (
                    find_process_ (f, action->ip)->core),
                action->u.manifest_epoch, RGY_MANIFEST_PEER);
    }
  else if (action->kind == RGY_STREAM_MESSAGE
           && find_process_ (f, action->ip)->core != NULL)
    assert_int_equal (
        rgy_stream_balancer_from_message (find_process_ (f, action->ip)->core,
                                          action->u.message, p->ip, f->now_us),
        RGY_OK);
}

static void
start_ (struct fixture_ *f, size_t i)
{
  struct process_ *p = &f->processes[i];
  struct rgy_stream_balancer_settings settings
      = { .own_ip = FIRST_IP + (uint32_t)i,
          .domain = rgy_name_from_c ("poa-a"),
          .incarnation = i + 1,
          .flow_ttl_us = 60 * RGY_US_PER_S,
          .max_flows = 10,
          .out = { .emit = execute_action_, .ctx = p } };

  *p = (struct process_){ .fixture = f, .ip = settings.own_ip };
  p->core = rgy_stream_balancer_new (&settings, f->counters, f->now_us);
}

static void
connect_ (struct fixture_ *f)
{
  rgy_stream_balancer_add_peer (f->processes[0].core, FIRST_IP + 1, f->now_us);
}

static void
advance_time_ (struct fixture_ *f, int64_t us)
{
  int64_t until = f->now_us + us;
  size_t i;

  while (f->now_us < until)
    {
      f->now_us += RGY_STREAM_TICK_US;
      for (i = 0; i < N_BALANCERS; i++)
        if (f->processes[i].core != NULL)
          rgy_stream_balancer_tick (f->processes[i].core, f->now_us);
    }
}

static uint64_t
get_version_ (const struct fixture_ *f, size_t i)
{
  return rgy_stream_balancer_get_version (f->processes[i].core);
}

static int
set_up_ (void **state)
{
  struct fixture_ *f = g_new0 (struct fixture_, 1);

  f->counters = rgy_counters_new ();
  f->now_us = 100 * RGY_US_PER_S;
  start_ (f, 0);
  assert_int_equal (receive_ (&f->processes[0], 9, 1, RGY_MANIFEST_STANDING),
                    RGY_OK);
  *state = f;
  return 0;
}

static int
tear_down_ (void **state)
{
  struct fixture_ *f = *state;
  size_t i;

  for (i = 0; i < N_BALANCERS; i++)
    rgy_stream_balancer_delete (f->processes[i].core);
  rgy_counters_delete (f->counters);
  g_free (f);
  return 0;
}

/* The manifest of the copy was taken for an order, or was refused for ever. */
static void
older_manifest_of_the_copy_waits_until_it_stands_ (void **state)
{
  struct fixture_ *f = *state;
  struct process_ *p = &f->processes[0];

  assert_int_equal (receive_ (p, 7, 2, RGY_MANIFEST_STORED), RGY_ERR_STALE);
  advance_time_ (f, 20 * RGY_US_PER_S);
  assert_int_equal (get_version_ (f, 0), 9);
  assert_int_equal (receive_ (p, 7, 2, RGY_MANIFEST_STANDING), RGY_OK);
  assert_int_equal (get_version_ (f, 0), 7);
  /* A late one of the epoch before must not come back; the next one of this
     epoch must apply.  */
  assert_int_equal (receive_ (p, 9, 1, RGY_MANIFEST_STANDING), RGY_ERR_STALE);
  assert_int_equal (receive_ (p, 8, 2, RGY_MANIFEST_STANDING), RGY_OK);
  assert_int_equal (get_version_ (f, 0), 8);
}

/* A manifest that is written after the return is an order: a newer one applies
   at once, an older one within the time in which a manifest must be in
   force.  */
static void
manifest_written_after_the_return_applies_in_time_ (void **state)
{
  struct fixture_ *f = *state;
  struct process_ *p = &f->processes[0];

  receive_ (p, 7, 2, RGY_MANIFEST_STORED);
  assert_int_equal (receive_ (p, 10, 2, RGY_MANIFEST_WRITTEN), RGY_OK);
  assert_int_equal (get_version_ (f, 0), 10);
  assert_int_equal (receive_ (p, 8, 2, RGY_MANIFEST_WRITTEN), RGY_ERR_STALE);
  assert_int_equal (get_version_ (f, 0), 10);
  advance_time_ (f, 1600 * RGY_US_PER_MS);
  assert_int_equal (get_version_ (f, 0), 8);
}

/* Operators that write the lost versions again one by one must not take the
   active one back meanwhile.  */
static void
versions_written_again_in_a_row_change_nothing_ (void **state)
{
  struct fixture_ *f = *state;
  uint64_t version;

  receive_ (&f->processes[0], 5, 2, RGY_MANIFEST_STORED);
  for (version = 6; version <= 9; version++)
    {
      receive_ (&f->processes[0], version, 2, RGY_MANIFEST_WRITTEN);
      advance_time_ (f, RGY_US_PER_S);
      assert_int_equal (get_version_ (f, 0), 9);
    }
  advance_time_ (f, 5 * RGY_US_PER_S);
  assert_int_equal (get_version_ (f, 0), 9);
}

/* A balancer that starts during the return reads the manifest of the copy, and
   must not make the others follow it; they tell it the newer one.  */
static void
balancer_that_starts_in_a_return_learns_the_manifest_ (void **state)
{
  struct fixture_ *f = *state;

  start_ (f, 1);
  assert_int_equal (receive_ (&f->processes[1], 7, 2, RGY_MANIFEST_STORED),
                    RGY_OK);
  connect_ (f);
  advance_time_ (f, 3 * RGY_US_PER_S);
  assert_int_equal (get_version_ (f, 0), 9);
  assert_int_equal (get_version_ (f, 1), 9);
  /* The last orders go to the process that does not reach the store, also
     downwards.  */
  receive_ (&f->processes[1], 7, 2, RGY_MANIFEST_STANDING);
  advance_time_ (f, 3 * RGY_US_PER_S);
  assert_int_equal (get_version_ (f, 0), 7);
  assert_int_equal (get_version_ (f, 1), 7);
  assert_int_equal (f->fetches, 2);
}

/* A balancer that has read a newer manifest after the return must not follow
   one back for which an older one still stands; the other one learns the newer
   one when it stands.  */
static void
newer_manifest_is_not_taken_back_by_another_ (void **state)
{
  struct fixture_ *f = *state;

  start_ (f, 1);
  receive_ (&f->processes[1], 7, 2, RGY_MANIFEST_STANDING);
  receive_ (&f->processes[0], 10, 2, RGY_MANIFEST_WRITTEN);
  connect_ (f);
  advance_time_ (f, 3 * RGY_US_PER_S);
  assert_int_equal (get_version_ (f, 0), 10);
  receive_ (&f->processes[0], 10, 2, RGY_MANIFEST_STANDING);
  advance_time_ (f, 3 * RGY_US_PER_S);
  assert_int_equal (get_version_ (f, 0), 10);
  assert_int_equal (get_version_ (f, 1), 10);
}

/* A balancer for which an older manifest stands after the return must not
   follow one that has not heard of the return.  */
static void
lost_manifest_does_not_come_back_from_another_ (void **state)
{
  struct fixture_ *f = *state;

  start_ (f, 1);
  receive_ (&f->processes[1], 7, 2, RGY_MANIFEST_STANDING);
  receive_ (&f->processes[0], 7, 2, RGY_MANIFEST_STORED);
  connect_ (f);
  advance_time_ (f, 3 * RGY_US_PER_S);
  assert_int_equal (get_version_ (f, 0), 9);
  assert_int_equal (get_version_ (f, 1), 7);
  receive_ (&f->processes[0], 7, 2, RGY_MANIFEST_STANDING);
  assert_int_equal (get_version_ (f, 0), 7);
}

/* Without epochs, versions only count up.  */
static void
without_epochs_versions_count_up_ (void **state)
{
  struct fixture_ *f = *state;
  static const int sources[]
      = { RGY_MANIFEST_STORED, RGY_MANIFEST_WRITTEN, RGY_MANIFEST_STANDING };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (sources); i++)
    assert_int_equal (receive_ (&f->processes[0], 8, 0, sources[i]),
                      RGY_ERR_STALE);
  advance_time_ (f, 3 * RGY_US_PER_S);
  assert_int_equal (get_version_ (f, 0), 9);
  assert_int_equal (receive_ (&f->processes[0], 10, 0, RGY_MANIFEST_STORED),
                    RGY_OK);
}

/* Peers fetch the text of the manifest that is active, not of one
   that waits.  */
static void
text_is_that_of_the_active_manifest_ (void **state)
{
  struct fixture_ *f = *state;
  struct rgy_stream_manifest *manifest = rgy_stream_manifest_new (8);
  struct rgy_manifest_origin origin
      = { .epoch = 2, .source = RGY_MANIFEST_WRITTEN };

  assert_int_equal (
      rgy_stream_balancer_get_manifest_text (f->processes[0].core).len, 0);
  rgy_stream_manifest_set_text (manifest, rgy_str_from_c ("eight"));
  rgy_stream_balancer_receive_manifest (f->processes[0].core, manifest, origin,
                                        f->now_us);
  assert_int_equal (
      rgy_stream_balancer_get_manifest_text (f->processes[0].core).len, 0);
  advance_time_ (f, 1600 * RGY_US_PER_MS);
  assert_true (rgy_str_equal (
      rgy_stream_balancer_get_manifest_text (f->processes[0].core),
      rgy_str_from_c ("eight")));
}

int
main (void)
{
#define WITH_BALANCER(test)                                                   \
  cmocka_unit_test_setup_teardown (test, set_up_, tear_down_)
  const struct CMUnitTest tests[] = {
    WITH_BALANCER (older_manifest_of_the_copy_waits_until_it_stands_),
    WITH_BALANCER (manifest_written_after_the_return_applies_in_time_),
    WITH_BALANCER (versions_written_again_in_a_row_change_nothing_),
    WITH_BALANCER (balancer_that_starts_in_a_return_learns_the_manifest_),
    WITH_BALANCER (newer_manifest_is_not_taken_back_by_another_),
    WITH_BALANCER (lost_manifest_does_not_come_back_from_another_),
    WITH_BALANCER (without_epochs_versions_count_up_),
    WITH_BALANCER (text_is_that_of_the_active_manifest_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
