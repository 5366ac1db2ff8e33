#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "private/domain_view.h"
#include "ragwortyoke/clock.h"

#define NOW_US (100 * RGY_US_PER_S)

/* A process, and the view that it follows.  */
struct follower_
{
  struct rgy_domain_view view;
  struct rgy_domain_view_times times;
};

/* Makes a view that names up to two failure domains.  */
static struct rgy_domain_view
make_view_ (uint32_t epoch, uint64_t revision, bool settled, const char *out,
            const char *kept)
{
  struct rgy_domain_view view
      = { .epoch = epoch, .revision = revision, .settled = settled };

  if (out != NULL)
    view.out[view.n_out++] = rgy_name_from_c (out);
  if (kept != NULL)
    {
      view.out[view.n_out++] = rgy_name_from_c (kept);
      view.n_kept = 1;
    }
  return view;
}

static bool
receive_ (struct follower_ *f, struct rgy_domain_view view, int64_t now_us)
{
  return rgy_domain_view_merge (&f->view, &f->times, &view, now_us);
}

static bool
is_out_ (const struct follower_ *f, const char *domain)
{
  struct rgy_name name = rgy_name_from_c (domain);

  return rgy_domain_view_is_out (&f->view, &name);
}

/* A store without epochs is followed by its revision alone.  */
static void
views_without_epoch_follow_the_revision_ (void **state)
{
  struct follower_ f = { 0 };

  (void)state;
  assert_true (receive_ (&f, make_view_ (0, 5, false, "poa-a", NULL), NOW_US));
  assert_false (receive_ (&f, make_view_ (0, 4, false, NULL, NULL), NOW_US));
  assert_true (is_out_ (&f, "poa-a"));
  assert_true (receive_ (&f, make_view_ (0, 6, false, NULL, NULL), NOW_US));
  assert_false (is_out_ (&f, "poa-a"));
}

/* A view of a later epoch was ignored until its revisions had passed those of
   before, and a late one of the earlier epoch must not win after it.  */
static void
later_epoch_wins_over_a_higher_revision_ (void **state)
{
  struct follower_ f = { 0 };

  (void)state;
  receive_ (&f, make_view_ (1, 500, true, NULL, NULL), NOW_US);
  assert_true (
      receive_ (&f, make_view_ (2, 450, false, "poa-b", NULL), NOW_US));
  assert_true (is_out_ (&f, "poa-b"));
  assert_false (receive_ (&f, make_view_ (1, 501, true, NULL, NULL), NOW_US));
  assert_true (is_out_ (&f, "poa-b"));
}

/* An order that the return has lost is kept until its operator has had the
   time to write it again; an order that is written meanwhile applies at once,
   and so does its withdrawal.  */
static void
lost_order_is_kept_until_the_view_settles_ (void **state)
{
  struct follower_ f = { 0 };

  (void)state;
  receive_ (&f, make_view_ (1, 500, true, "poa-a", NULL), NOW_US);
  assert_false (receive_ (&f, make_view_ (2, 450, false, NULL, NULL), NOW_US));
  assert_true (is_out_ (&f, "poa-a"));
  assert_true (
      receive_ (&f, make_view_ (2, 451, false, "poa-b", NULL), NOW_US));
  assert_true (is_out_ (&f, "poa-a"));
  assert_true (is_out_ (&f, "poa-b"));
  assert_true (receive_ (&f, make_view_ (2, 452, false, NULL, NULL), NOW_US));
  assert_true (is_out_ (&f, "poa-a"));
  assert_false (is_out_ (&f, "poa-b"));
  assert_true (receive_ (&f, make_view_ (2, 452, true, NULL, NULL), NOW_US));
  assert_false (is_out_ (&f, "poa-a"));
  /* Another process that is not settled yet must not bring it back.  */
  assert_false (
      receive_ (&f, make_view_ (2, 453, false, NULL, "poa-a"), NOW_US));
  assert_false (is_out_ (&f, "poa-a"));
}

/* An order that has been written again is no longer kept: its withdrawal
   applies at once.  */
static void
order_that_was_written_again_is_withdrawn_at_once_ (void **state)
{
  struct follower_ f = { 0 };

  (void)state;
  receive_ (&f, make_view_ (1, 500, true, "poa-a", NULL), NOW_US);
  receive_ (&f, make_view_ (2, 450, false, NULL, NULL), NOW_US);
  receive_ (&f, make_view_ (2, 451, false, "poa-a", NULL), NOW_US);
  assert_true (receive_ (&f, make_view_ (2, 452, false, NULL, NULL), NOW_US));
  assert_false (is_out_ (&f, "poa-a"));
}

/* A process that has started after the return does not know what was lost, and
   learns it from one that does, in either order of the two views.  */
static void
process_that_started_later_learns_kept_orders_ (void **state)
{
  struct follower_ late = { 0 };
  struct follower_ early = { 0 };

  (void)state;
  receive_ (&late, make_view_ (2, 455, false, NULL, NULL), NOW_US);
  assert_true (
      receive_ (&late, make_view_ (2, 450, false, NULL, "poa-a"), NOW_US));
  assert_true (is_out_ (&late, "poa-a"));
  receive_ (&early, make_view_ (2, 450, false, NULL, "poa-a"), NOW_US);
  assert_false (
      receive_ (&early, make_view_ (2, 455, false, NULL, NULL), NOW_US));
  assert_true (is_out_ (&early, "poa-a"));
}

/* A process that reaches neither the store nor one that is settled must not
   keep an order for ever.  */
static void
view_settles_by_itself_ (void **state)
{
  struct follower_ f = { 0 };

  (void)state;
  receive_ (&f, make_view_ (1, 500, true, "poa-a", NULL), NOW_US);
  receive_ (&f, make_view_ (2, 450, false, NULL, NULL), NOW_US);
  assert_false (rgy_domain_view_settle (
      &f.view, &f.times, NOW_US + RGY_STORE_REWRITE_MAX_US - 1));
  assert_true (is_out_ (&f, "poa-a"));
  assert_true (rgy_domain_view_settle (&f.view, &f.times,
                                       NOW_US + RGY_STORE_REWRITE_MAX_US));
  assert_false (is_out_ (&f, "poa-a"));
  assert_false (rgy_domain_view_settle (&f.view, &f.times,
                                        NOW_US + RGY_STORE_REWRITE_MAX_US));
}

/* After a way back to processes that state no epoch, their orders count again;
   as long as others state one, theirs do not.  */
static void
views_without_epoch_count_when_no_others_come_ (void **state)
{
  struct follower_ f = { 0 };
  int64_t later_us = NOW_US + RGY_STORE_REWRITE_MAX_US + 1;

  (void)state;
  receive_ (&f, make_view_ (2, 500, true, NULL, NULL), NOW_US);
  assert_false (
      receive_ (&f, make_view_ (0, 900, false, "poa-a", NULL), NOW_US));
  assert_true (
      receive_ (&f, make_view_ (0, 901, false, "poa-a", NULL), later_us));
  assert_true (is_out_ (&f, "poa-a"));
}

/* A view that names as many failure domains as fit keeps no more.  */
static void
kept_orders_do_not_exceed_the_maximum_ (void **state)
{
  struct rgy_domain_view before = make_view_ (1, 9, true, "poa-a", NULL);
  struct rgy_domain_view full = make_view_ (2, 8, false, NULL, NULL);
  struct follower_ f = { 0 };

  (void)state;
  for (; full.n_out < RGY_STREAM_MAX_DOMAINS; full.n_out++)
    {
      char *name = g_strdup_printf ("d%zu", full.n_out);

      full.out[full.n_out] = rgy_name_from_c (name);
      g_free (name);
    }
  receive_ (&f, before, NOW_US);
  receive_ (&f, full, NOW_US);
  assert_int_equal (f.view.n_out, RGY_STREAM_MAX_DOMAINS);
  assert_int_equal (f.view.n_kept, 0);
}

/* Seeded runs: processes that read a store and exchange their views, each in
   touch with it at other times, while it returns from older copies and
   operators write again what was lost.  */

#define N_PROCESSES 5
#define N_DOMAINS 3
#define N_STEPS 4000
#define STEP_US (20 * RGY_US_PER_MS)
#define REWRITE_STEPS 100 /* 2 s until operators have written again.  */
#define SETTLE_STEPS 250  /* 5 s until the store's clients settle.  */

struct world_
{
  GRand *rand;
  int64_t now_us;
  int step;
  uint32_t epoch;
  uint64_t revision;
  unsigned stored; /* Bit of each failure domain that the store has out.  */
  unsigned wanted; /* Number of what operators want.  */
  struct rgy_store_position ordered[N_DOMAINS]; /* Position of the order that
                                                   stands now.  */
  int returned_step;
  struct follower_ processes[N_PROCESSES];
  bool knows[N_PROCESSES][N_DOMAINS]; /* The process has seen the order that
                                         stands now.  */
};

static struct rgy_name
get_domain_ (int domain)
{
  static const char *const names[N_DOMAINS] = { "poa-a", "poa-b", "poa-c" };

  return rgy_name_from_c (names[domain]);
}

static void
read_store_ (struct world_ *w, size_t i)
{
  struct rgy_domain_view view
      = { .epoch = w->epoch,
          .revision = w->revision,
          .settled = w->step - w->returned_step >= SETTLE_STEPS };
  int d;

  for (d = 0; d < N_DOMAINS; d++)
    if (w->stored & 1U << d)
      view.out[view.n_out++] = get_domain_ (d);
  receive_ (&w->processes[i], view, w->now_us);
}

static void
check_ (struct world_ *w)
{
  size_t i;
  int d;

  for (i = 0; i < N_PROCESSES; i++)
    for (d = 0; d < N_DOMAINS; d++)
      {
        struct rgy_name name = get_domain_ (d);
        bool is_out = rgy_domain_view_is_out (&w->processes[i].view, &name);

        if ((w->wanted & 1U << d) == 0)
          w->knows[i][d] = false;
        else if (!is_out)
          assert_false (w->knows[i][d]);
        else if (!rgy_store_position_is_later (
                     w->ordered[d],
                     rgy_domain_view_get_position (&w->processes[i].view)))
          w->knows[i][d] = true;
      }
}

static void
act_ (struct world_ *w)
{
  int domain = g_rand_int_range (w->rand, 0, N_DOMAINS);
  size_t i = (size_t)g_rand_int_range (w->rand, 0, N_PROCESSES);
  size_t k = (size_t)g_rand_int_range (w->rand, 0, N_PROCESSES);

  switch (g_rand_int_range (w->rand, 0, 400))
    {
    case 0:
      /* An operator changes its mind, once all is written again.  */
      if (w->stored != w->wanted)
        return;
      w->wanted ^= 1U << domain;
      w->stored = w->wanted;
      w->revision++;
      w->ordered[domain]
          = (struct rgy_store_position){ .epoch = w->epoch,
                                         .revision = w->revision };
      return;
    case 1:
      /* The copy has other orders, and revisions that are given out again.  */
      w->epoch++;
      w->revision -= MIN (w->revision - 1, 5);
      w->stored = (unsigned)g_rand_int_range (w->rand, 0, 1 << N_DOMAINS)
                  & w->wanted;
      w->returned_step = w->step;
      return;
    default:
      if (g_rand_boolean (w->rand))
        read_store_ (w, i);
      else
        receive_ (&w->processes[i], w->processes[k].view, w->now_us);
      return;
    }
}

static void
play_ (uint32_t seed)
{
  struct world_ w = { .rand = g_rand_new_with_seed (seed),
                      .now_us = NOW_US,
                      .epoch = 1,
                      .revision = 50,
                      .returned_step = -SETTLE_STEPS };
  size_t i;

  for (w.step = 0; w.step < N_STEPS; w.step++)
    {
      w.now_us += STEP_US;
      act_ (&w);
      if (w.stored != w.wanted && w.step - w.returned_step == REWRITE_STEPS)
        {
          w.stored = w.wanted;
          w.revision++;
        }
      check_ (&w);
    }
  w.stored = w.wanted;
  w.revision++;
  w.step = w.returned_step + SETTLE_STEPS;
  for (i = 0; i < N_PROCESSES; i++)
    read_store_ (&w, i);
  for (i = 0; i < N_PROCESSES; i++)
    assert_true (rgy_domain_view_has_same_names (&w.processes[i].view,
                                                 &w.processes[0].view));
  check_ (&w);
  g_rand_free (w.rand);
}

/* A process that has followed an order does not leave it before its operator
   withdraws it, and all processes agree in the end.  */
static void
processes_keep_orders_and_agree_ (void **state)
{
  uint32_t seed;

  (void)state;
  for (seed = 1; seed <= 200; seed++)
    play_ (seed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (views_without_epoch_follow_the_revision_),
    cmocka_unit_test (later_epoch_wins_over_a_higher_revision_),
    cmocka_unit_test (lost_order_is_kept_until_the_view_settles_),
    cmocka_unit_test (order_that_was_written_again_is_withdrawn_at_once_),
    cmocka_unit_test (process_that_started_later_learns_kept_orders_),
    cmocka_unit_test (view_settles_by_itself_),
    cmocka_unit_test (views_without_epoch_count_when_no_others_come_),
    cmocka_unit_test (kept_orders_do_not_exceed_the_maximum_),
    cmocka_unit_test (processes_keep_orders_and_agree_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
