#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "private/route_terms.h"
#include "ragwortyoke/clock.h"

#define S RGY_US_PER_S
#define MS RGY_US_PER_MS
#define START_US (100 * S)
#define TICK_US (20 * MS)
#define TTL_US (60 * S)
#define GOAL_US (150 * MS)
/* Time in which a changed manifest must reach an agent after it has reached
   the balancers: the users' 5 s less the 3 s of the balancers.  */
#define REFRESH_BOUND_US (2 * S)
#define MAX_QUERIES_PER_S 20

static const struct rgy_request_terms urgent_terms_
    = { .priority = 1, .goal_us = 150 * MS, .limit_us = 1500 * MS };
static const struct rgy_request_terms bulk_terms_ = {
  .priority = 2, .repeatable = true, .goal_us = 400 * MS, .limit_us = 3 * S
};

/* A table and the queries that were taken from it.  */
struct fixture_
{
  struct rgy_route_terms *table;
  int64_t now_us;
  unsigned queries;
  size_t routes_queried;
  struct rgy_endpoint last[RGY_STREAM_MAX_TERMS];
  size_t n_last;
};

static int
set_up_ (void **state)
{
  struct fixture_ *f = g_new0 (struct fixture_, 1);

  f->table = rgy_route_terms_new (TTL_US, 1);
  f->now_us = START_US;
  *state = f;
  return 0;
}

static int
tear_down_ (void **state)
{
  struct fixture_ *f = *state;

  rgy_route_terms_delete (f->table);
  g_free (f);
  return 0;
}

static struct rgy_endpoint
make_route_ (uint32_t number)
{
  return (struct rgy_endpoint){ .ip = 0xc6120001U + number, .port = 443 };
}

static size_t
take_queries_ (struct fixture_ *f)
{
  f->n_last = rgy_route_terms_take_queries (f->table, f->last, f->now_us);
  f->queries += f->n_last > 0;
  f->routes_queried += f->n_last;
  return f->n_last;
}

static enum rgy_terms_effect
apply_ (struct fixture_ *f, uint32_t number,
        const struct rgy_request_terms *terms, uint64_t version)
{
  int64_t age_us;

  return rgy_route_terms_apply (f->table, make_route_ (number), terms, version,
                                f->now_us, &age_us);
}

static bool
use_ (struct fixture_ *f, uint32_t number)
{
  return rgy_route_terms_use (f->table, make_route_ (number), f->now_us);
}

/* Uses a route, and states its terms at once.  */
static void
learn_ (struct fixture_ *f, uint32_t number,
        const struct rgy_request_terms *terms, uint64_t version)
{
  assert_true (use_ (f, number));
  f->now_us += 50 * MS;
  assert_int_not_equal (take_queries_ (f), 0);
  assert_int_equal (apply_ (f, number, terms, version), RGY_TERMS_CHANGED);
}

static struct rgy_request_terms
find_ (const struct fixture_ *f, uint32_t number)
{
  struct rgy_request_terms terms;

  (void)rgy_route_terms_find (f->table, make_route_ (number), GOAL_US, &terms);
  return terms;
}

/* Advances the time without answers; the route is used every tick.  */
static void
run_unanswered_ (struct fixture_ *f, uint32_t number, int64_t us)
{
  int64_t until_us = f->now_us + us;

  while (f->now_us < until_us)
    {
      f->now_us += TICK_US;
      assert_true (use_ (f, number));
      take_queries_ (f);
    }
}

/* Answers the last query: every route has TERMS.  */
static void
answer_ (struct fixture_ *f, const struct rgy_request_terms *terms,
         uint64_t version)
{
  int64_t age_us;
  size_t i;

  for (i = 0; i < f->n_last; i++)
    (void)rgy_route_terms_apply (f->table, f->last[i], terms, version,
                                 f->now_us, &age_us);
  f->n_last = 0;
}

static void
unknown_route_is_queried_at_once_ (void **state)
{
  struct fixture_ *f = *state;
  struct rgy_request_terms terms;
  int64_t age_us;

  assert_true (use_ (f, 0));
  assert_false (
      rgy_route_terms_find (f->table, make_route_ (0), GOAL_US, &terms));
  assert_int_equal (terms.priority, RGY_PRIORITY_UNSTATED);
  assert_int_equal (terms.goal_us, GOAL_US);
  assert_int_equal (terms.limit_us, 0);
  assert_int_equal (take_queries_ (f), 1);
  assert_true (rgy_endpoint_equal (f->last[0], make_route_ (0)));
  f->now_us += 3 * MS;
  assert_int_equal (rgy_route_terms_apply (f->table, make_route_ (0),
                                           &urgent_terms_, 7, f->now_us,
                                           &age_us),
                    RGY_TERMS_CHANGED);
  assert_int_equal (age_us, 3 * MS);
  assert_true (
      rgy_route_terms_find (f->table, make_route_ (0), GOAL_US, &terms));
  assert_int_equal (terms.priority, 1);
  assert_int_equal (terms.limit_us, urgent_terms_.limit_us);
  assert_int_equal (apply_ (f, 0, &urgent_terms_, 7), RGY_TERMS_CONFIRMED);
}

/* Routes that come into use within a moment share a query.  */
static void
queries_are_collected_ (void **state)
{
  struct fixture_ *f = *state;
  uint32_t i;

  for (i = 0; i < 30; i++)
    {
      assert_true (use_ (f, i));
      take_queries_ (f);
      f->now_us += MS;
    }
  assert_int_equal (f->queries, 1);
  f->now_us += 20 * MS;
  assert_int_equal (take_queries_ (f), 29);
}

/* Pattern: upgrade, agents first.  Agents must not search a balancer to query
   for each segment.  */
static void
search_for_a_balancer_is_paced_ (void **state)
{
  struct fixture_ *f = *state;
  unsigned searches = 0;
  int i;

  for (i = 0; i < 1000; i++)
    {
      assert_true (use_ (f, 0));
      if (rgy_route_terms_is_due (f->table, f->now_us))
        {
          searches++;
          rgy_route_terms_postpone (f->table, f->now_us);
        }
      f->now_us += MS;
    }
  assert_int_equal (searches, MAX_QUERIES_PER_S);
  assert_int_equal (take_queries_ (f), 1);
}

/* The store is down, all balancers are cut off, or none states terms.  */
static void
unanswered_query_is_repeated_less_and_less_ (void **state)
{
  struct fixture_ *f = *state;

  run_unanswered_ (f, 0, 500 * MS);
  assert_int_equal (f->queries, 2);
  run_unanswered_ (f, 0, 9500 * MS);
  assert_in_range (f->queries, 12, 14);
}

/* The answer of a balancer with an earlier manifest is overtaken by one from a
   later manifest.  */
static void
older_manifest_overrides_nothing_ (void **state)
{
  struct fixture_ *f = *state;

  learn_ (f, 0, &urgent_terms_, 8);
  assert_int_equal (apply_ (f, 0, &bulk_terms_, 7), RGY_TERMS_OLDER);
  assert_int_equal (apply_ (f, 0, NULL, 7), RGY_TERMS_OLDER);
  assert_int_equal (find_ (f, 0).priority, 1);
  assert_int_equal (apply_ (f, 0, &bulk_terms_, 9), RGY_TERMS_CHANGED);
  assert_int_equal (apply_ (f, 0, &urgent_terms_, 8), RGY_TERMS_OLDER);
  assert_int_equal (find_ (f, 0).priority, 2);
}

/* The store has returned from an older copy, and the operator does not write
   the lost manifest again: from some time on all balancers state an earlier
   one.  Its terms count once all have done so for 10 s.  */
static void
lost_manifest_gives_way_to_an_earlier_one_ (void **state)
{
  struct fixture_ *f = *state;

  learn_ (f, 0, &urgent_terms_, 8);
  assert_int_equal (apply_ (f, 0, &bulk_terms_, 7), RGY_TERMS_OLDER);
  run_unanswered_ (f, 0, 9 * S);
  assert_int_equal (apply_ (f, 0, &bulk_terms_, 7), RGY_TERMS_OLDER);
  run_unanswered_ (f, 0, 2 * S);
  assert_int_equal (apply_ (f, 0, &bulk_terms_, 7), RGY_TERMS_CHANGED);
  assert_int_equal (find_ (f, 0).priority, 2);
  assert_int_equal (apply_ (f, 0, &urgent_terms_, 6), RGY_TERMS_OLDER);
}

/* An agent that was without answers for long hears first from a balancer that
   is behind, and then from another one.  */
static void
balancer_that_is_behind_overrides_nothing_after_a_pause_ (void **state)
{
  struct fixture_ *f = *state;

  learn_ (f, 0, &urgent_terms_, 8);
  run_unanswered_ (f, 0, 11 * S);
  assert_int_equal (apply_ (f, 0, &bulk_terms_, 7), RGY_TERMS_OLDER);
  assert_int_equal (apply_ (f, 0, &urgent_terms_, 8), RGY_TERMS_CONFIRMED);
  run_unanswered_ (f, 0, 11 * S);
  assert_int_equal (apply_ (f, 0, &bulk_terms_, 7), RGY_TERMS_OLDER);
  assert_int_equal (find_ (f, 0).priority, 1);
}

/* A balancer that is behind confirms what has changed elsewhere; that must not
   delay the next query.  */
static void
balancer_that_is_behind_ends_no_query_ (void **state)
{
  struct fixture_ *f = *state;

  learn_ (f, 0, &urgent_terms_, 8);
  assert_true (use_ (f, 1));
  f->now_us += 50 * MS;
  assert_int_not_equal (take_queries_ (f), 0);
  assert_int_equal (apply_ (f, 1, &bulk_terms_, 7), RGY_TERMS_CHANGED);
  assert_int_equal (find_ (f, 1).priority, 2);
  run_unanswered_ (f, 1, RGY_ROUTE_TERMS_REPEAT_US);
  assert_int_equal (f->n_last, 1);
  assert_true (rgy_endpoint_equal (f->last[0], make_route_ (1)));
}

static void
answer_without_a_query_is_ignored_ (void **state)
{
  struct fixture_ *f = *state;

  assert_int_equal (apply_ (f, 0, &urgent_terms_, 8), RGY_TERMS_NOT_ASKED);
  assert_int_equal (rgy_route_terms_count (f->table), 0);
  assert_true (use_ (f, 0));
  assert_int_equal (apply_ (f, 0, &urgent_terms_, 8), RGY_TERMS_NOT_ASKED);
  assert_int_equal (find_ (f, 0).priority, RGY_PRIORITY_UNSTATED);
  assert_int_equal (rgy_route_terms_get_newest_version (f->table), 0);
}

/* Flows that are open when an operator removes their route keep its terms.  */
static void
removed_route_keeps_its_last_terms_ (void **state)
{
  struct fixture_ *f = *state;

  learn_ (f, 0, &urgent_terms_, 8);
  assert_int_equal (apply_ (f, 0, NULL, 9), RGY_TERMS_REMOVED);
  assert_int_equal (apply_ (f, 0, NULL, 9), RGY_TERMS_CONFIRMED);
  assert_int_equal (find_ (f, 0).priority, 1);
  assert_int_equal (apply_ (f, 0, &urgent_terms_, 8), RGY_TERMS_OLDER);
  assert_int_equal (apply_ (f, 0, &bulk_terms_, 10), RGY_TERMS_CHANGED);
  assert_int_equal (find_ (f, 0).priority, 2);
  /* A route that no manifest has had.  */
  assert_true (use_ (f, 1));
  f->now_us += 50 * MS;
  take_queries_ (f);
  assert_int_equal (apply_ (f, 1, NULL, 10), RGY_TERMS_CONFIRMED);
  assert_int_equal (find_ (f, 1).priority, RGY_PRIORITY_UNSTATED);
}

/* Last known good: terms whose refresh gets no answer stay in force.  */
static void
terms_without_refresh_stay_in_force_ (void **state)
{
  struct fixture_ *f = *state;

  learn_ (f, 0, &urgent_terms_, 8);
  run_unanswered_ (f, 0, 2 * TTL_US);
  assert_int_equal (find_ (f, 0).priority, 1);
}

/* Time from an answer until the route is queried again.  */
static int64_t
measure_refresh_us_ (struct fixture_ *f, uint32_t number)
{
  int64_t since_us = f->now_us;
  unsigned queries = f->queries;

  while (f->queries == queries && f->now_us - since_us < 10 * S)
    run_unanswered_ (f, number, TICK_US);
  return f->now_us - since_us;
}

static void
routes_in_use_are_refreshed_ (void **state)
{
  struct fixture_ *f = *state;
  unsigned queries;

  learn_ (f, 0, &urgent_terms_, 8);
  assert_in_range (measure_refresh_us_ (f, 0), S, REFRESH_BOUND_US);
  answer_ (f, &urgent_terms_, 8);
  /* A route that nobody uses costs no queries after a while, and is queried at
     its next use.  */
  queries = f->queries;
  for (; f->now_us < START_US + 30 * S; f->now_us += TICK_US)
    if (take_queries_ (f) > 0)
      answer_ (f, &urgent_terms_, 8);
  assert_in_range (f->queries - queries, 4, 8);
  assert_int_equal (take_queries_ (f), 0);
  assert_true (use_ (f, 0));
  assert_int_equal (take_queries_ (f), 1);
}

/* All routes of an agent are refreshed in one query.  */
static void
refreshes_are_collected_ (void **state)
{
  struct fixture_ *f = *state;
  uint32_t i;

  for (i = 0; i < 8; i++)
    learn_ (f, i, &urgent_terms_, 8);
  f->queries = 0;
  for (; f->now_us < START_US + 10 * S; f->now_us += TICK_US)
    {
      for (i = 0; i < 8; i++)
        assert_true (use_ (f, i));
      if (take_queries_ (f) > 0)
        answer_ (f, &urgent_terms_, 8);
    }
  assert_in_range (f->queries, 4, 8);
}

/* The first answer from a new manifest lets all routes be queried.  */
static void
new_manifest_refreshes_all_routes_ (void **state)
{
  struct fixture_ *f = *state;

  learn_ (f, 0, &urgent_terms_, 8);
  learn_ (f, 1, &urgent_terms_, 8);
  f->now_us += 50 * MS;
  assert_int_equal (take_queries_ (f), 0);
  assert_int_equal (apply_ (f, 0, &bulk_terms_, 9), RGY_TERMS_CHANGED);
  assert_int_equal (take_queries_ (f), 1);
  assert_true (rgy_endpoint_equal (f->last[0], make_route_ (1)));
}

/* Pattern: power returns, and all agents learn their routes at one moment.
   Their later queries must not come at one moment.  */
static void
agents_query_at_different_times_ (void **state)
{
  enum
  {
    AGENTS = 200,
    SLOTS = 25 /* Of 20 ms; the queries are spread over 500 ms.  */
  };
  unsigned queries[100] = { 0 };
  unsigned most = 0;
  uint64_t agent;
  size_t i;

  (void)state;
  for (agent = 0; agent < AGENTS; agent++)
    {
      struct fixture_ f
          = { .table = rgy_route_terms_new (TTL_US, agent * 7919),
              .now_us = START_US };
      size_t slot;

      learn_ (&f, 0, &urgent_terms_, 8);
      slot = (size_t)((measure_refresh_us_ (&f, 0) - TICK_US) / TICK_US);
      assert_true (slot < G_N_ELEMENTS (queries));
      queries[slot]++;
      rgy_route_terms_delete (f.table);
    }
  for (i = 0; i < G_N_ELEMENTS (queries); i++)
    most = MAX (most, queries[i]);
  assert_in_range (most, 1, 3 * AGENTS / SLOTS);
}

/* Pattern: segments to ever new addresses, of which the manifest has none.
   Answers come after 10 ms.  */
static void
flood_of_addresses_evicts_no_route_in_use_ (void **state)
{
  struct fixture_ *f = *state;
  const struct rgy_request_terms *changed = &bulk_terms_;
  uint32_t address = 1000;
  int64_t used_until_us = START_US + 10 * S;
  uint32_t i;

  for (i = 0; i < 10; i++)
    learn_ (f, i, &urgent_terms_, 8);
  f->queries = 0;
  while (f->now_us < used_until_us)
    {
      if ((f->now_us - START_US) % (500 * MS) < 10 * MS)
        for (i = 0; i < 10; i++)
          assert_true (use_ (f, i));
      for (i = 0; i < 100; i++)
        (void)use_ (f, address++);
      take_queries_ (f);
      f->now_us += 10 * MS;
      for (i = 0; i < f->n_last; i++)
        {
          bool is_route = f->last[i].ip < make_route_ (10).ip;
          int64_t age_us;

          (void)rgy_route_terms_apply (f->table, f->last[i],
                                       is_route ? changed : NULL, 9, f->now_us,
                                       &age_us);
        }
      assert_true (rgy_route_terms_count (f->table)
                   <= 10 + RGY_ROUTE_TERMS_MAX_UNSTATED);
    }
  assert_in_range (f->queries, 1, 10 * MAX_QUERIES_PER_S);
  for (i = 0; i < 10; i++)
    assert_int_equal (find_ (f, i).priority, 2);
  /* A route that comes into use is learned as soon as it has a place.  */
  while (!use_ (f, 10) && f->now_us < used_until_us + S)
    {
      take_queries_ (f);
      answer_ (f, NULL, 9);
      f->now_us += 10 * MS;
    }
  run_unanswered_ (f, 10, 100 * MS);
  assert_int_equal (apply_ (f, 10, &urgent_terms_, 9), RGY_TERMS_CHANGED);
}

/* No balancer answers during the flood, and a route awaits its first answer.
   Its repeated query must still come.  */
static void
flood_evicts_no_route_that_awaits_its_answer_ (void **state)
{
  struct fixture_ *f = *state;
  uint32_t address = 1000;

  assert_true (use_ (f, 0));
  assert_int_equal (take_queries_ (f), 1);
  while (f->now_us < START_US + 500 * MS)
    {
      (void)use_ (f, address++);
      take_queries_ (f);
      f->now_us += MS;
    }
  assert_int_equal (rgy_route_terms_count (f->table),
                    RGY_ROUTE_TERMS_MAX_UNSTATED);
  assert_int_equal (apply_ (f, 0, &urgent_terms_, 8), RGY_TERMS_CHANGED);
}

/* A table full of routes in use takes no further one until some of them are no
   longer used.  */
static void
full_table_takes_no_route_ (void **state)
{
  struct fixture_ *f = *state;
  uint32_t i;

  for (i = 0; i < RGY_ROUTE_TERMS_MAX; i++)
    learn_ (f, i, &urgent_terms_, 8);
  assert_false (use_ (f, RGY_ROUTE_TERMS_MAX));
  assert_int_equal (find_ (f, RGY_ROUTE_TERMS_MAX).goal_us, GOAL_US);
  f->now_us += TTL_US + S;
  for (i = 1; i < RGY_ROUTE_TERMS_MAX; i++)
    assert_true (use_ (f, i));
  assert_true (use_ (f, RGY_ROUTE_TERMS_MAX));
  assert_int_equal (rgy_route_terms_count (f->table), RGY_ROUTE_TERMS_MAX);
  assert_int_equal (find_ (f, 0).priority, RGY_PRIORITY_UNSTATED);
  assert_int_equal (find_ (f, 1).priority, 1);
}

#define FRESH(test) cmocka_unit_test_setup_teardown (test, set_up_, tear_down_)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    FRESH (unknown_route_is_queried_at_once_),
    FRESH (queries_are_collected_),
    FRESH (search_for_a_balancer_is_paced_),
    FRESH (unanswered_query_is_repeated_less_and_less_),
    FRESH (older_manifest_overrides_nothing_),
    FRESH (lost_manifest_gives_way_to_an_earlier_one_),
    FRESH (balancer_that_is_behind_overrides_nothing_after_a_pause_),
    FRESH (balancer_that_is_behind_ends_no_query_),
    FRESH (answer_without_a_query_is_ignored_),
    FRESH (removed_route_keeps_its_last_terms_),
    FRESH (terms_without_refresh_stay_in_force_),
    FRESH (routes_in_use_are_refreshed_),
    FRESH (refreshes_are_collected_),
    FRESH (new_manifest_refreshes_all_routes_),
    cmocka_unit_test (agents_query_at_different_times_),
    FRESH (flood_of_addresses_evicts_no_route_in_use_),
    FRESH (flood_evicts_no_route_that_awaits_its_answer_),
    FRESH (full_table_takes_no_route_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
