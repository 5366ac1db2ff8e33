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
place_ (struct rgy_candidate *candidates, size_t n, unsigned *counts)
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

/* Load pattern: a steady stream of long flows.  */
static void
flows_spread_by_slots_ (void **state)
{
  struct rgy_candidate candidates[3]
      = { { .slots = 4, .same_domain = true, .preferred = true },
          { .slots = 4, .same_domain = true, .preferred = true },
          { .slots = 2, .same_domain = true, .preferred = true } };
  unsigned counts[3] = { 0 };

  (void)state;
  place_ (candidates, 3, counts);
  assert_in_range (counts[0], 395, 405);
  assert_in_range (counts[1], 395, 405);
  assert_in_range (counts[2], 195, 205);
}

/* Load pattern: one failure domain has fewer backend servers than callers. Its
   callers stay near while it bears them, and go elsewhere before they wait. */
static void
load_leaves_a_full_domain_ (void **state)
{
  struct rgy_candidate candidates[3]
      = { { .slots = 4, .same_domain = true, .preferred = true },
          { .slots = 4, .preferred = true },
          { .slots = 4, .preferred = true } };
  unsigned counts[3] = { 0 };

  (void)state;
  assert_int_equal (rgy_placement_choose (candidates, 3), 0);
  place_ (candidates, 3, counts);
  assert_true (counts[0] > counts[1]);
  assert_true (counts[0] < counts[1] * 3 / 2);
}

/* Load pattern: one backend server turns slow.  It keeps a share, by which its
   recovery is seen.  */
static void
slow_gets_less_ (void **state)
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
  place_ (candidates, 3, counts);
  assert_true (counts[2] > 0);
  assert_true (counts[2] < counts[0] / 3);
}

/* Load pattern: a release replaces backend servers one by one by cold ones. */
static void
cold_gets_less_ (void **state)
{
  struct rgy_candidate candidates[2] = {
    { .slots = 4, .same_domain = true, .preferred = true },
    { .slots = 4, .cold = true, .same_domain = true, .preferred = true }
  };
  unsigned counts[2] = { 0 };

  (void)state;
  place_ (candidates, 2, counts);
  assert_true (counts[1] < counts[0] * 7 / 10);
}

/* Load pattern: callers whose preferred backend servers are loaded.  Others
   are taken before these have a quarter more to do.  */
static void
load_leaves_preferred_ones_ (void **state)
{
  struct rgy_candidate candidates[2]
      = { { .slots = 4, .same_domain = true, .preferred = true },
          { .slots = 4, .same_domain = true } };
  unsigned counts[2] = { 0 };

  (void)state;
  place_ (candidates, 2, counts);
  assert_true (counts[0] > counts[1]);
  assert_true (counts[0] < counts[1] * 13 / 10);
}

/* All balancers must agree on the preferred ones, whatever order they learn
   them in, and one that comes or goes may change few of them.  */
static void
preference_is_stable_ (void **state)
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
          rgy_preference_offer (&forward, ip % 2, ip);
          rgy_preference_offer (&backward, (39 - ip) % 2, 39 - ip);
          rgy_preference_offer (&grown, ip % 2, ip);
        }
      rgy_preference_offer (&grown, 0, 40);
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

static void
none_is_reported_ (void **state)
{
  (void)state;
  assert_int_equal (rgy_placement_choose (NULL, 0), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (flows_spread_by_slots_),
    cmocka_unit_test (load_leaves_a_full_domain_),
    cmocka_unit_test (slow_gets_less_),
    cmocka_unit_test (cold_gets_less_),
    cmocka_unit_test (load_leaves_preferred_ones_),
    cmocka_unit_test (preference_is_stable_),
    cmocka_unit_test (none_is_reported_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
