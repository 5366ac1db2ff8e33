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
#define MAX_FLEET 24
#define MAX_REPORTS 8
#define STEP_MS 10
#define STEPS_PER_S (1000 / STEP_MS)
#define REPORT_STEPS (STEPS_PER_S / 2)
#define MAX_DELAY_STEPS (STEPS_PER_S / 10)
/* Time until the other agents know of a start or a death.  */
#define MEMBERSHIP_STEPS (3 * STEPS_PER_S)

/* Report in transit from one agent to another.  */
struct report_
{
  unsigned arrives_step; /* Step of arrival; 0: unused.  */
  uint64_t claim;
};

struct agent_
{
  struct rgy_count_limit *limit; /* NULL while the agent is not running.  */
  bool known;                    /* The other agents know the agent.  */
  unsigned changed_step;
  unsigned phase;
  uint64_t wanted_usage; /* Usage that the agent tries to reach.  */
  struct report_ reports[MAX_FLEET][MAX_REPORTS]; /* Reports in transit,
                                                     by receiver.  */
};

/* Group of agents that enforce one count limit on a virtual clock.  */
struct fleet_
{
  GRand *rand;
  int64_t now_us;
  unsigned step;
  unsigned size;
  unsigned loss_percent;
  double release_per_step; /* Part of the usage that ends in a step.  */
  uint64_t limit;
  struct agent_ agents[MAX_FLEET];
  uint64_t sum;
  uint64_t max_sum;
};

static struct rgy_name
make_name_ (unsigned i)
{
  char text[16];

  snprintf (text, sizeof text, "a%u", i);
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
        if (k != i && f->agents[k].known)
          others[count++] = make_name_ (k);
      if (f->agents[i].limit != NULL)
        rgy_count_limit_set_instances (f->agents[i].limit, others, count);
    }
}

static struct fleet_ *
fleet_new_ (unsigned size, uint64_t limit, guint32 seed)
{
  struct fleet_ *f = g_new0 (struct fleet_, 1);
  unsigned i;

  f->rand = g_rand_new_with_seed (seed);
  f->now_us = START_US;
  f->step = 1;
  f->size = size;
  f->limit = limit;
  f->release_per_step = 0.02;
  for (i = 0; i < size; i++)
    {
      f->agents[i].limit = rgy_count_limit_new (limit);
      f->agents[i].known = true;
      f->agents[i].phase
          = (unsigned)g_rand_int_range (f->rand, 0, REPORT_STEPS);
    }
  fleet_update_members_ (f);
  return f;
}

static void
fleet_delete_ (struct fleet_ *f)
{
  unsigned i;

  for (i = 0; i < f->size; i++)
    rgy_count_limit_delete (f->agents[i].limit);
  g_rand_free (f->rand);
  g_free (f);
}

static void
fleet_start_agent_ (struct fleet_ *f, unsigned i)
{
  f->agents[i].limit = rgy_count_limit_new (f->limit);
  f->agents[i].changed_step = f->step;
  fleet_update_members_ (f);
}

static void
fleet_stop_agent_ (struct fleet_ *f, unsigned i)
{
  rgy_count_limit_delete (f->agents[i].limit);
  f->agents[i].limit = NULL;
  f->agents[i].changed_step = f->step;
}

static void
fleet_send_report_ (struct fleet_ *f, unsigned i)
{
  struct agent_ *a = &f->agents[i];
  uint64_t claim = rgy_count_limit_publish_claim (a->limit, f->now_us);
  unsigned to;
  unsigned r;

  for (to = 0; to < f->size; to++)
    {
      /* An agent reports only to the agents that it knows.  */
      if (to == i || !f->agents[to].known
          || g_rand_int_range (f->rand, 0, 100) < (gint32)f->loss_percent)
        continue;
      for (r = 0; r < MAX_REPORTS && a->reports[to][r].arrives_step != 0; r++)
        ;
      if (r < MAX_REPORTS)
        a->reports[to][r] = (struct report_){
          .arrives_step
          = f->step + (unsigned)g_rand_int_range (f->rand, 1, MAX_DELAY_STEPS),
          .claim = claim
        };
    }
}

static void
fleet_deliver_reports_ (struct fleet_ *f, unsigned from)
{
  struct rgy_name name = make_name_ (from);
  unsigned to;
  unsigned r;

  for (to = 0; to < f->size; to++)
    for (r = 0; r < MAX_REPORTS; r++)
      {
        struct report_ *report = &f->agents[from].reports[to][r];

        if (report->arrives_step == 0 || report->arrives_step > f->step)
          continue;
        report->arrives_step = 0;
        if (f->agents[to].limit != NULL)
          rgy_count_limit_record_claim (f->agents[to].limit, &name,
                                        report->claim, f->now_us);
      }
}

static void
fleet_apply_load_ (struct fleet_ *f, struct agent_ *a)
{
  uint64_t usage = rgy_count_limit_get_usage (a->limit);
  uint64_t i;

  for (i = 0; i < usage; i++)
    if (g_rand_double (f->rand) < f->release_per_step)
      rgy_count_limit_release (a->limit);
  while (rgy_count_limit_get_usage (a->limit) < a->wanted_usage
         && rgy_count_limit_acquire (a->limit, f->now_us))
    ;
}

static void
fleet_step_ (struct fleet_ *f)
{
  bool members_changed = false;
  unsigned i;

  f->sum = 0;
  for (i = 0; i < f->size; i++)
    {
      struct agent_ *a = &f->agents[i];

      if (a->known != (a->limit != NULL)
          && f->step - a->changed_step >= MEMBERSHIP_STEPS)
        {
          a->known = !a->known;
          members_changed = true;
        }
      fleet_deliver_reports_ (f, i);
      if (a->limit == NULL)
        continue;
      if (f->step % REPORT_STEPS == a->phase)
        fleet_send_report_ (f, i);
      fleet_apply_load_ (f, a);
      f->sum += rgy_count_limit_get_usage (a->limit);
    }
  f->max_sum = MAX (f->max_sum, f->sum);
  if (f->sum > f->limit)
    fail_msg ("%u agents, step %u: %" G_GUINT64_FORMAT
              " in use, limit %" G_GUINT64_FORMAT,
              f->size, f->step, f->sum, f->limit);
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

/* Runs the fleet and returns the mean usage over that time, in percent
   of the limit.  */
static unsigned
fleet_measure_usage_percent_ (struct fleet_ *f, unsigned seconds)
{
  uint64_t total = 0;
  unsigned i;

  for (i = 0; i < seconds * STEPS_PER_S; i++)
    {
      fleet_step_ (f);
      total += f->sum;
    }
  return (unsigned)(total * 100 / (f->limit * seconds * STEPS_PER_S));
}

static const struct
{
  unsigned size;
  uint64_t limit;
} fleets_[] = { { 3, 28 }, { 3, 1000 }, { 7, 28 }, { 20, 1000 }, { 20, 50 } };

/* Guards against a fleet that exceeds the limit although the exchange of
   claims works, or that leaves more than a tenth of it unused when all agents
   want more.  */
static void
saturated_fleet_keeps_the_count_ (void **state)
{
  guint32 seed;
  size_t s;
  unsigned i;

  (void)state;
  for (s = 0; s < G_N_ELEMENTS (fleets_); s++)
    for (seed = 1; seed <= 4; seed++)
      {
        struct fleet_ *f
            = fleet_new_ (fleets_[s].size, fleets_[s].limit, seed);
        unsigned percent;

        for (i = 0; i < f->size; i++)
          f->agents[i].wanted_usage = f->limit;
        fleet_run_ (f, 40);
        percent = fleet_measure_usage_percent_ (f, 20);
        if (percent < 90)
          fail_msg ("%u agents use %u%% of the limit %" G_GUINT64_FORMAT,
                    f->size, percent, f->limit);
        fleet_delete_ (f);
      }
}

/* Guards against reservations of idle agents that keep the only busy agent
   from using most of the count.  */
static void
one_busy_agent_reaches_most_of_the_count_ (void **state)
{
  size_t s;

  (void)state;
  for (s = 0; s < G_N_ELEMENTS (fleets_); s++)
    {
      struct fleet_ *f = fleet_new_ (fleets_[s].size, fleets_[s].limit, 5);
      unsigned percent;

      f->agents[1].wanted_usage = f->limit;
      fleet_run_ (f, 40);
      percent = fleet_measure_usage_percent_ (f, 10);
      if (percent < 60)
        fail_msg ("%u agents: the busy agent uses %u%% of the limit "
                  "%" G_GUINT64_FORMAT,
                  f->size, percent, f->limit);
      fleet_delete_ (f);
    }
}

/* Guards against a fleet that exceeds the limit when demand moves quickly
   between agents, which raises and lowers all claims at the same time, or when
   lost reports leave the agents with old claims.  */
static void
moving_demand_and_lost_reports_keep_the_count_ (void **state)
{
  static const unsigned losses[] = { 0, 20, 60 };
  guint32 seed;
  size_t s;
  size_t k;
  unsigned i;
  unsigned round;

  (void)state;
  for (s = 0; s < G_N_ELEMENTS (fleets_); s++)
    for (k = 0; k < G_N_ELEMENTS (losses); k++)
      for (seed = 31; seed <= 33; seed++)
        {
          struct fleet_ *f
              = fleet_new_ (fleets_[s].size, fleets_[s].limit, seed);

          f->loss_percent = losses[k];
          f->release_per_step = 0.2;
          for (round = 0; round < 30; round++)
            {
              for (i = 0; i < f->size; i++)
                f->agents[i].wanted_usage
                    = g_rand_int_range (f->rand, 0, 3) == 0 ? f->limit : 0;
              fleet_run_ (f, (unsigned)g_rand_int_range (f->rand, 1, 4));
            }
          fleet_delete_ (f);
        }
}

/* Guards against a fleet that exceeds the limit when agents die and start, and
   against a new agent that gets no part of the count.  */
static void
deaths_and_starts_keep_the_count_ (void **state)
{
  guint32 seed;
  size_t s;
  unsigned i;
  unsigned round;

  (void)state;
  for (s = 0; s < G_N_ELEMENTS (fleets_); s++)
    for (seed = 41; seed <= 43; seed++)
      {
        struct fleet_ *f
            = fleet_new_ (fleets_[s].size, fleets_[s].limit, seed);

        for (i = 0; i < f->size; i++)
          f->agents[i].wanted_usage = f->limit;
        fleet_run_ (f, 10);
        for (round = 0; round < 6; round++)
          {
            i = (unsigned)g_rand_int_range (f->rand, 0, (gint32)f->size);
            fleet_stop_agent_ (f, i);
            fleet_run_ (f, (unsigned)g_rand_int_range (f->rand, 1, 12));
            fleet_start_agent_ (f, i);
            fleet_run_ (f, 20);
            if (f->limit >= 2 * f->size)
              assert_true (rgy_count_limit_get_usage (f->agents[i].limit) > 0);
          }
        fleet_delete_ (f);
      }
}

/* Guards against a process that after a pause uses a reservation that the
   other agents have claimed in the meantime.  */
static void
pause_releases_unused_reservation_ (void **state)
{
  struct rgy_count_limit *limit = rgy_count_limit_new (100);
  struct rgy_name other = make_name_ (1);
  int64_t t = START_US;
  unsigned i;

  (void)state;
  rgy_count_limit_set_instances (limit, &other, 1);
  for (i = 0; i < 20; i++, t += 250 * MS)
    {
      rgy_count_limit_publish_claim (limit, t);
      rgy_count_limit_record_claim (limit, &other, 10, t);
    }
  assert_true (rgy_count_limit_acquire (limit, t));
  assert_true (rgy_count_limit_acquire (limit, t));
  rgy_count_limit_release (limit);
  t += 10 * RGY_US_PER_S;
  for (i = 0; i < 6; i++, t += 250 * MS)
    {
      assert_false (rgy_count_limit_acquire (limit, t));
      rgy_count_limit_publish_claim (limit, t);
      rgy_count_limit_record_claim (limit, &other, 99, t);
    }
  assert_int_equal (rgy_count_limit_get_usage (limit), 1);
  rgy_count_limit_delete (limit);
}

/* Guards against a dead agent's claim that is released at once: the agent may
   be alive behind a broken link and still use its count.  The claim must stay
   charged for 5 s and then be free again.  */
static void
claim_of_a_dead_agent_expires_after_5_s_ (void **state)
{
  struct rgy_count_limit *limit = rgy_count_limit_new (100);
  struct rgy_name other = make_name_ (1);
  int64_t t = START_US;

  (void)state;
  rgy_count_limit_set_instances (limit, &other, 1);
  rgy_count_limit_record_claim (limit, &other, 90, t);
  rgy_count_limit_set_instances (limit, NULL, 0);
  assert_int_equal (rgy_count_limit_publish_claim (limit, t), 10);
  t += RGY_LIMIT_REPORT_MAX_AGE_US - 1;
  assert_int_equal (rgy_count_limit_publish_claim (limit, t), 10);
  t += 250 * MS;
  assert_int_equal (rgy_count_limit_publish_claim (limit, t), 100);
  rgy_count_limit_delete (limit);
}

/* Guards against a single agent that cannot use the whole count, and against a
   lowered limit that needs an exchange of claims or discards usage.  */
static void
single_agent_uses_the_whole_limit_and_follows_changes_ (void **state)
{
  struct rgy_count_limit *limit = rgy_count_limit_new (4);
  struct rgy_name other = make_name_ (1);
  int64_t t = START_US;
  unsigned i;

  (void)state;
  for (i = 0; i < 4; i++)
    assert_true (rgy_count_limit_acquire (limit, t));
  assert_false (rgy_count_limit_acquire (limit, t));
  rgy_count_limit_release (limit);
  assert_true (rgy_count_limit_acquire (limit, t));
  rgy_count_limit_set_limit (limit, 2);
  rgy_count_limit_release (limit);
  assert_false (rgy_count_limit_acquire (limit, t));
  assert_int_equal (rgy_count_limit_get_usage (limit), 3);
  assert_int_equal (rgy_count_limit_publish_claim (limit, t), 3);
  rgy_count_limit_set_limit (limit, 0);
  for (i = 0; i < 1000; i++)
    assert_true (rgy_count_limit_acquire (limit, t));
  rgy_count_limit_set_instances (limit, &other, 1);
  rgy_count_limit_set_limit (limit, 2000);
  assert_false (rgy_count_limit_acquire (limit, t));
  assert_true (rgy_count_limit_publish_claim (limit, t) >= 1003);
  rgy_count_limit_delete (limit);
}

int
run_count_tests (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (saturated_fleet_keeps_the_count_),
    cmocka_unit_test (one_busy_agent_reaches_most_of_the_count_),
    cmocka_unit_test (moving_demand_and_lost_reports_keep_the_count_),
    cmocka_unit_test (deaths_and_starts_keep_the_count_),
    cmocka_unit_test (pause_releases_unused_reservation_),
    cmocka_unit_test (claim_of_a_dead_agent_expires_after_5_s_),
    cmocka_unit_test (single_agent_uses_the_whole_limit_and_follows_changes_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
