#include "tests.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/clock.h"
#include "ragwortyoke/limit.h"

#define MS RGY_US_PER_MS
#define START_US (1000 * RGY_US_PER_S)
#define RATE UINT64_C (100000)
#define BURST_MS 200
#define MAX_FLEET 24
#define STEP_MS 10
#define STEPS_PER_S (1000 / STEP_MS)
#define WINDOW_S 10
#define WINDOW_STEPS (WINDOW_S * STEPS_PER_S)
#define SETTLE_S 15
#define PACKET_BYTES 100
/* Reports travel by gossip: one report a second, which takes up to 2
   s to arrive.  */
#define REPORT_STEPS STEPS_PER_S
#define MAX_DELAY_STEPS (2 * STEPS_PER_S)
/* Time until the other instances know of a start or a death.  */
#define MEMBERSHIP_STEPS (3 * STEPS_PER_S)

/* Fleet of instances that enforce one rate limit on a virtual clock.  */
struct fleet_
{
  GRand *rand;
  int64_t now_us;
  unsigned step;
  unsigned size;
  struct rgy_rate_limit *limits[MAX_FLEET]; /* NULL while the instance
                                               is not running.  */
  bool known[MAX_FLEET];                    /* The other instances
                                               know the instance.  */
  unsigned changed_step[MAX_FLEET];
  double offered_per_s[MAX_FLEET];
  double backlog[MAX_FLEET];
  uint64_t in_flight[MAX_FLEET]; /* Demand in the report in transit.  */
  unsigned arrives_step[MAX_FLEET];
  uint64_t passed[MAX_FLEET]; /* Total amount passed since the start.  */
  uint64_t window[WINDOW_STEPS];
  uint64_t window_sum;
  uint64_t max_window_sum;
};

static struct rgy_name
make_name_ (unsigned i)
{
  char text[16];

  snprintf (text, sizeof text, "b%u", i);
  return rgy_name_from_c (text);
}

static void
fleet_update_members_ (struct fleet_ *f)
{
  struct rgy_name others[MAX_FLEET];
  unsigned i;
  unsigned k;

  for (i = 0; i < f->size; i++)
    {
      size_t count = 0;

      for (k = 0; k < f->size; k++)
        if (k != i && f->known[k])
          others[count++] = make_name_ (k);
      if (f->limits[i] != NULL)
        rgy_rate_limit_set_instances (f->limits[i], others, count);
    }
}

static void
fleet_start_instance_ (struct fleet_ *f, unsigned i)
{
  f->limits[i] = rgy_rate_limit_new (RATE, BURST_MS);
  f->changed_step[i] = f->step;
  f->arrives_step[i] = 0;
  fleet_update_members_ (f);
}

static void
fleet_stop_instance_ (struct fleet_ *f, unsigned i)
{
  rgy_rate_limit_delete (f->limits[i]);
  f->limits[i] = NULL;
  f->changed_step[i] = f->step;
  f->arrives_step[i] = 0;
}

static struct fleet_ *
fleet_new_ (unsigned size, guint32 seed)
{
  struct fleet_ *f = g_new0 (struct fleet_, 1);
  unsigned i;

  f->rand = g_rand_new_with_seed (seed);
  f->now_us = START_US;
  f->size = size;
  for (i = 0; i < size; i++)
    {
      f->limits[i] = rgy_rate_limit_new (RATE, BURST_MS);
      f->known[i] = true;
    }
  fleet_update_members_ (f);
  return f;
}

static void
fleet_delete_ (struct fleet_ *f)
{
  unsigned i;

  for (i = 0; i < f->size; i++)
    rgy_rate_limit_delete (f->limits[i]);
  g_rand_free (f->rand);
  g_free (f);
}

static void
fleet_exchange_reports_ (struct fleet_ *f, unsigned i)
{
  struct rgy_name name = make_name_ (i);
  unsigned k;

  if (f->arrives_step[i] == f->step && f->arrives_step[i] != 0)
    for (k = 0; k < f->size; k++)
      if (k != i && f->limits[k] != NULL)
        rgy_rate_limit_record_demand (f->limits[k], &name, f->in_flight[i],
                                      f->now_us);
  if (f->limits[i] != NULL && f->step % REPORT_STEPS == i % REPORT_STEPS
      && f->arrives_step[i] <= f->step)
    {
      f->in_flight[i]
          = rgy_rate_limit_publish_demand (f->limits[i], f->now_us);
      f->arrives_step[i]
          = f->step + (unsigned)g_rand_int_range (f->rand, 1, MAX_DELAY_STEPS);
    }
}

static void
fleet_step_ (struct fleet_ *f)
{
  uint64_t *slot = &f->window[f->step % WINDOW_STEPS];
  bool members_changed = false;
  unsigned i;

  f->window_sum -= *slot;
  *slot = 0;
  for (i = 0; i < f->size; i++)
    {
      if (f->known[i] != (f->limits[i] != NULL)
          && f->step - f->changed_step[i] >= MEMBERSHIP_STEPS)
        {
          f->known[i] = !f->known[i];
          members_changed = true;
        }
      fleet_exchange_reports_ (f, i);
      if (f->limits[i] == NULL)
        continue;
      f->backlog[i] += f->offered_per_s[i] * STEP_MS / 1000
                       * g_rand_double_range (f->rand, 0, 2);
      for (; f->backlog[i] >= PACKET_BYTES; f->backlog[i] -= PACKET_BYTES)
        if (rgy_rate_limit_charge (f->limits[i], PACKET_BYTES, f->now_us))
          {
            *slot += PACKET_BYTES;
            f->passed[i] += PACKET_BYTES;
          }
    }
  f->window_sum += *slot;
  f->max_window_sum = MAX (f->max_window_sum, f->window_sum);
  if (members_changed)
    fleet_update_members_ (f);
  f->step++;
  f->now_us += STEP_MS * MS;
}

static void
fleet_run_ (struct fleet_ *f, unsigned seconds)
{
  unsigned i;

  for (i = 0; i < seconds * STEPS_PER_S; i++)
    fleet_step_ (f);
}

/* Lets the fleet settle and then checks every window of 10 s of the next 30 s.
   While the fleet settles the bound is wider, because the instances know of a
   rise of the demand everywhere at once only when the reports arrive.  */
static void
fleet_check_steady_ (struct fleet_ *f, unsigned min_percent)
{
  const uint64_t whole = RATE * WINDOW_S;

  f->max_window_sum = 0;
  fleet_run_ (f, SETTLE_S + WINDOW_S);
  assert_true (f->max_window_sum * 100 <= whole * 140);
  f->max_window_sum = 0;
  fleet_run_ (f, 3 * WINDOW_S);
  if (f->max_window_sum * 100 > whole * 110)
    fail_msg ("%u instances: %" G_GUINT64_FORMAT
              " passed in a window, limit %" G_GUINT64_FORMAT,
              f->size, f->max_window_sum, whole);
  assert_true (f->window_sum * 100 >= whole * min_percent);
}

static const unsigned fleet_sizes_[] = { 3, 20 };

/* Guards against a fleet that exceeds the limit, or leaves most of it unused,
   when the fabric distributes traffic unevenly.  */
static void
uneven_distribution_keeps_the_rate_ (void **state)
{
  guint32 seed;
  size_t s;
  unsigned i;

  (void)state;
  for (s = 0; s < G_N_ELEMENTS (fleet_sizes_); s++)
    for (seed = 1; seed <= 5; seed++)
      {
        struct fleet_ *f = fleet_new_ (fleet_sizes_[s], seed);

        for (i = 0; i < f->size; i++)
          f->offered_per_s[i]
              = 3.0 * RATE / f->size * g_rand_double_range (f->rand, 0, 2);
        fleet_check_steady_ (f, 80);
        fleet_delete_ (f);
      }
}

/* Guards against an instance with all the traffic that is kept at its even
   share instead of at least 80% of the limit.  */
static void
one_busy_instance_reaches_most_of_the_rate_ (void **state)
{
  size_t s;

  (void)state;
  for (s = 0; s < G_N_ELEMENTS (fleet_sizes_); s++)
    {
      struct fleet_ *f = fleet_new_ (fleet_sizes_[s], 7);

      f->offered_per_s[1] = 2.0 * RATE;
      fleet_check_steady_ (f, 80);
      fleet_delete_ (f);
    }
}

/* Guards against shares that sum to more than the limit after deaths and
   starts, and against unused shares of dead instances.  */
static void
deaths_and_starts_settle_within_the_rate_ (void **state)
{
  guint32 seed;
  size_t s;
  unsigned i;
  unsigned k;

  (void)state;
  for (s = 0; s < G_N_ELEMENTS (fleet_sizes_); s++)
    for (seed = 11; seed <= 13; seed++)
      {
        struct fleet_ *f = fleet_new_ (fleet_sizes_[s], seed);

        for (i = 0; i < f->size; i++)
          f->offered_per_s[i]
              = 3.0 * RATE / f->size * g_rand_double_range (f->rand, 0.5, 1.5);
        fleet_check_steady_ (f, 80);
        for (k = 0; k < 4; k++)
          {
            i = (unsigned)g_rand_int_range (f->rand, 0, (gint32)f->size);
            fleet_stop_instance_ (f, i);
            fleet_run_ (f, (unsigned)g_rand_int_range (f->rand, 1, 8));
            if (k % 2 == 0)
              fleet_check_steady_ (f, 80);
            fleet_start_instance_ (f, i);
            fleet_check_steady_ (f, 80);
          }
        fleet_delete_ (f);
      }
}

/* Guards against starvation of an instance that starts to get traffic while
   the others use the whole limit: some traffic must pass at once, and its part
   of the limit soon.  */
static void
new_traffic_is_not_starved_ (void **state)
{
  size_t s;
  unsigned i;

  (void)state;
  for (s = 0; s < G_N_ELEMENTS (fleet_sizes_); s++)
    {
      struct fleet_ *f = fleet_new_ (fleet_sizes_[s], 21);
      uint64_t before;

      for (i = 1; i < f->size; i++)
        f->offered_per_s[i] = 3.0 * RATE / f->size;
      fleet_run_ (f, 30);
      f->offered_per_s[0] = 3.0 * RATE / f->size;
      fleet_run_ (f, 1);
      assert_true (f->passed[0] * f->size * 100 >= RATE * 5);
      fleet_run_ (f, SETTLE_S);
      before = f->passed[0];
      fleet_run_ (f, WINDOW_S);
      assert_true ((f->passed[0] - before) * f->size * 100
                   >= RATE * WINDOW_S * 80);
      fleet_delete_ (f);
    }
}

/* Guards against shares of unresponsive instances that are lost or given
   away twice: these instances count with the mean demand.  Unknown names
   are not counted.  */
static void
old_and_unknown_reports_are_replaced_ (void **state)
{
  struct rgy_rate_limit *limit = rgy_rate_limit_new (900, 100);
  struct rgy_name others[] = { make_name_ (1), make_name_ (2) };
  struct rgy_name unknown = make_name_ (3);
  int64_t t = START_US;
  uint64_t share;

  (void)state;
  assert_int_equal (rgy_rate_limit_get_share (limit, t), 900);
  rgy_rate_limit_set_instances (limit, others, 2);
  assert_int_equal (rgy_rate_limit_get_share (limit, t), 300);
  rgy_rate_limit_record_demand (limit, &unknown, 1000000, t);
  rgy_rate_limit_record_demand (limit, &others[0], 0, t);
  rgy_rate_limit_record_demand (limit, &others[1], 0, t);
  rgy_rate_limit_charge (limit, 100, t);
  t += RGY_US_PER_S;
  share = rgy_rate_limit_get_share (limit, t);
  assert_in_range (share, 840, 850); /* Expected: 900 * (1 + 1/30) / 1.1.  */
  t += 5 * RGY_US_PER_S;
  assert_int_equal (rgy_rate_limit_get_share (limit, t), 300);
  rgy_rate_limit_set_rate (limit, 300);
  assert_int_equal (rgy_rate_limit_get_share (limit, t), 100);
  rgy_rate_limit_delete (limit);
}

/* Guards against a packet larger than the burst that is never accepted, or
   whose excess is not subtracted from later traffic.  */
static void
amount_above_the_burst_passes_and_is_charged_later_ (void **state)
{
  struct rgy_rate_limit *limit = rgy_rate_limit_new (1000, 100);
  int64_t t = START_US;
  unsigned passed = 0;
  unsigned i;

  (void)state;
  for (i = 0; i < 100000; i++, t += MS)
    passed += rgy_rate_limit_charge (limit, 1200, t);
  assert_in_range (passed, 83, 85);
  rgy_rate_limit_delete (limit);

  limit = rgy_rate_limit_new (0, 100);
  assert_true (rgy_rate_limit_charge (limit, UINT32_MAX, t));
  assert_true (rgy_rate_limit_charge (limit, UINT32_MAX, t));
  rgy_rate_limit_delete (limit);
}

/* Guards against a share that follows a demand unknown to the other
   instances: when the demand of all rises at once, each would take nearly
   the whole rate.  */
static void
confirmed_report_bounds_the_share_ (void **state)
{
  struct rgy_rate_limit *limit = rgy_rate_limit_new (RATE, BURST_MS);
  struct rgy_name other = make_name_ (1);
  int64_t now_us = START_US;
  unsigned i;

  (void)state;
  rgy_rate_limit_set_instances (limit, &other, 1);
  for (i = 0; i < 10 * STEPS_PER_S; i++, now_us += STEP_MS * MS)
    rgy_rate_limit_charge (limit, 10, now_us);
  rgy_rate_limit_record_demand (
      limit, &other, rgy_rate_limit_publish_demand (limit, now_us), now_us);
  for (i = 0; i < 20 * STEPS_PER_S; i++, now_us += STEP_MS * MS)
    {
      rgy_rate_limit_charge (limit, 100, now_us);
      if (i % (2 * STEPS_PER_S) == 0)
        {
          rgy_rate_limit_confirm_demand (limit, now_us);
          rgy_rate_limit_record_demand (limit, &other, 1000, now_us);
        }
      assert_true (rgy_rate_limit_get_share (limit, now_us)
                   <= RATE / 2 + RATE / 50);
    }
  assert_true (rgy_rate_limit_peek_demand (limit, now_us) > 5000);
  rgy_rate_limit_delete (limit);
}

int
run_rate_tests (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (uneven_distribution_keeps_the_rate_),
    cmocka_unit_test (one_busy_instance_reaches_most_of_the_rate_),
    cmocka_unit_test (deaths_and_starts_settle_within_the_rate_),
    cmocka_unit_test (new_traffic_is_not_starved_),
    cmocka_unit_test (old_and_unknown_reports_are_replaced_),
    cmocka_unit_test (amount_above_the_burst_passes_and_is_charged_later_),
    cmocka_unit_test (confirmed_report_bounds_the_share_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
