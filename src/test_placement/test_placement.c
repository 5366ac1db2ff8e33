#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/placement.h"

#define FLOWS 1000

/* Places FLOWS flows and counts them by backend server.  */
static void
place_flows_ (struct rgy_candidate *candidates, size_t n, unsigned *counts)
{
  unsigned i;

  for (i = 0; i < FLOWS; i++)
    {
      size_t chosen = rgy_placement_choose (candidates, n);

      assert_in_range (chosen, 0, n - 1);
      candidates[chosen].flows++;
      counts[chosen]++;
    }
}

/* Load pattern: a steady stream of long flows.  Each backend server must get
   flows in proportion to its slots.  */
static void
flows_spread_by_slots_ (void **state)
{
  struct rgy_candidate candidates[3]
      = { { .slots = 4, .same_domain = true, .preferred = true },
          { .slots = 4, .same_domain = true, .preferred = true },
          { .slots = 2, .same_domain = true, .preferred = true } };
  unsigned counts[3] = { 0 };

  (void)state;
  place_flows_ (candidates, 3, counts);
  assert_in_range (counts[0], 395, 405);
  assert_in_range (counts[1], 395, 405);
  assert_in_range (counts[2], 195, 205);
}

/* Load pattern: one failure domain has fewer backend servers than callers.
   Flows of its callers must stay in the domain while it has capacity, and must
   be placed elsewhere before they wait.  */
static void
flows_leave_a_full_domain_ (void **state)
{
  struct rgy_candidate candidates[3]
      = { { .slots = 4, .same_domain = true, .preferred = true },
          { .slots = 4, .preferred = true },
          { .slots = 4, .preferred = true } };
  unsigned counts[3] = { 0 };

  (void)state;
  assert_int_equal (rgy_placement_choose (candidates, 3), 0);
  place_flows_ (candidates, 3, counts);
  assert_true (counts[0] > counts[1]);
  assert_true (counts[0] < counts[1] * 3 / 2);
}

/* Load pattern: one backend server becomes slow.  It must get fewer flows, but
   keep a share, by which its recovery is detected.  */
static void
slow_server_gets_fewer_flows_ (void **state)
{
  struct rgy_candidate candidates[3] = { { .slots = 4,
                                           .latency_us = 20000,
                                           .same_domain = true,
                                           .preferred = true },
                                         { .slots = 4,
                                           .latency_us = 25000,
                                           .same_domain = true,
                                           .preferred = true },
                                         { .slots = 4,
                                           .latency_us = 200000,
                                           .same_domain = true,
                                           .preferred = true } };
  unsigned counts[3] = { 0 };

  (void)state;
  place_flows_ (candidates, 3, counts);
  assert_true (counts[2] > 0);
  assert_true (counts[2] < counts[0] / 3);
}

/* Load pattern: a release replaces backend servers one by one.  Each new one
   is cold and must get fewer flows than a warm one.  */
static void
cold_server_gets_fewer_flows_ (void **state)
{
  struct rgy_candidate candidates[2] = {
    { .slots = 4, .same_domain = true, .preferred = true },
    { .slots = 4, .cold = true, .same_domain = true, .preferred = true }
  };
  unsigned counts[2] = { 0 };

  (void)state;
  place_flows_ (candidates, 2, counts);
  assert_true (counts[1] < counts[0] * 7 / 10);
}

/* Load pattern: callers whose preferred backend servers are loaded.  Flows
   must be placed on others before the preferred ones are a quarter above the
   mean.  */
static void
flows_leave_loaded_preferred_servers_ (void **state)
{
  struct rgy_candidate candidates[2]
      = { { .slots = 4, .same_domain = true, .preferred = true },
          { .slots = 4, .same_domain = true } };
  unsigned counts[2] = { 0 };

  (void)state;
  place_flows_ (candidates, 2, counts);
  assert_true (counts[0] > counts[1]);
  assert_true (counts[0] <= FLOWS / 2 * 5 / 4 + 4);
}

/* Load pattern: a release starts an empty backend server beside loaded ones,
   and balancers that know the same loads place flows at the same moment.  The
   new server had the fewest flows and got all of them, and reset those above
   its queue (rodaforte-sul-grown, trouble-1).  */
static void
empty_backend_is_not_flooded_ (void **state)
{
  enum
  {
    N = 16
  };
  unsigned counts[N] = { 0 };
  uint64_t flow;
  uint32_t i;

  (void)state;
  for (flow = 0; flow < FLOWS; flow++)
    {
      struct rgy_candidate candidates[N];
      struct rgy_preference preference;

      rgy_preference_init (&preference, flow * 0x9e3779b97f4a7c15U);
      for (i = 0; i < N; i++)
        rgy_preference_add (&preference, 1, i);
      for (i = 0; i < N; i++)
        candidates[i] = (struct rgy_candidate){
          .slots = 2,
          .flows = i == 0 ? 0 : 60,
          .same_domain = true,
          .preferred = rgy_preference_has (&preference, 1, i),
          .tie_breaker = rgy_preference_rank (&preference, i)
        };
      counts[rgy_placement_choose (candidates, N)]++;
    }
  /* Three of the sixteen servers are preferred by each flow.  */
  assert_in_range (counts[0], FLOWS / N, FLOWS * 4 / N);
  for (i = 1; i < N; i++)
    assert_in_range (counts[i], FLOWS / N / 2, FLOWS * 2 / N);
}

/* Guards against balancers that disagree on the preferred servers because they
   learn them in different orders, and against a preference that changes widely
   when one server is added or removed.  */
static void
preference_is_independent_of_order_and_stable_ (void **state)
{
  struct rgy_preference forward;
  struct rgy_preference backward;
  struct rgy_preference grown;
  unsigned kept = 0;
  uint64_t flow;
  uint32_t ip;

  (void)state;
  for (flow = 0; flow < 200; flow++)
    {
      unsigned n = 0;

      rgy_preference_init (&forward, flow);
      rgy_preference_init (&backward, flow);
      rgy_preference_init (&grown, flow);
      for (ip = 0; ip < 40; ip++)
        {
          rgy_preference_add (&forward, ip % 2, ip);
          rgy_preference_add (&backward, (39 - ip) % 2, 39 - ip);
          rgy_preference_add (&grown, ip % 2, ip);
        }
      rgy_preference_add (&grown, 0, 40);
      for (ip = 0; ip < 40; ip++)
        {
          bool has = rgy_preference_has (&forward, ip % 2, ip);

          assert_int_equal (has, rgy_preference_has (&backward, ip % 2, ip));
          n += has;
          kept += has && rgy_preference_has (&grown, ip % 2, ip);
        }
      assert_int_equal (n, 2 * RGY_PREFERRED_PER_DOMAIN);
    }
  assert_true (kept > 200 * 2 * RGY_PREFERRED_PER_DOMAIN * 9 / 10);
}

/* Guards against an index into an empty list of candidates.  */
static void
choice_without_candidates_returns_the_count_ (void **state)
{
  (void)state;
  assert_int_equal (rgy_placement_choose (NULL, 0), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (flows_spread_by_slots_),
    cmocka_unit_test (flows_leave_a_full_domain_),
    cmocka_unit_test (slow_server_gets_fewer_flows_),
    cmocka_unit_test (cold_server_gets_fewer_flows_),
    cmocka_unit_test (flows_leave_loaded_preferred_servers_),
    cmocka_unit_test (empty_backend_is_not_flooded_),
    cmocka_unit_test (preference_is_independent_of_order_and_stable_),
    cmocka_unit_test (choice_without_candidates_returns_the_count_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
