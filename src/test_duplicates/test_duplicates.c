/* Guards against a flow that two agents own: a network that duplicates the
   first datagram of a flow must not open it twice.  Both agents would notify
   the caller of an observation, and its session breaks when the agent with the
   higher Observe values ends.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "deployment.h"

#define FIRST_SEED 1
#define SEED_COUNT 3
#define OBSERVATIONS 100
#define DUPLICATE_PERCENT 5
#define JITTER_PERCENT 60

static uint64_t
count_extra_flows_ (enum deployment_kind kind, uint64_t seed)
{
  const struct harness_settings settings
      = { .seed = seed,
          .duplicate_percent = DUPLICATE_PERCENT,
          .jitter_percent = JITTER_PERCENT };
  const struct deployment_load load = { .watches = OBSERVATIONS };
  struct deployment *d = deployment_new (kind, &settings);
  uint64_t flows = 0;
  unsigned i;

  deployment_add_load (d, &load);
  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i++)
    flows += rgy_agent_get_flow_count (d->desk_agents[i]->agent);
  deployment_delete (d);
  assert_true (flows >= OBSERVATIONS);
  return flows - OBSERVATIONS;
}

static void
duplicate_opens_no_second_flow_ (void **state)
{
  enum deployment_kind kind;
  uint64_t extra = 0;
  uint64_t seed;

  (void)state;
  for (kind = DEPLOYMENT_SUL; kind < DEPLOYMENT_COUNT; kind++)
    for (seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++)
      {
        uint64_t n = count_extra_flows_ (kind, seed);

        print_message ("  %s, seed %" G_GUINT64_FORMAT ": %" G_GUINT64_FORMAT
                       " flows of %d owned by two agents\n",
                       deployment_string[kind], seed, n, OBSERVATIONS);
        extra += n;
      }
  assert_int_equal (extra, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (duplicate_opens_no_second_flow_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
