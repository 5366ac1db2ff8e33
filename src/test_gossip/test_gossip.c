#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fleet.h"

/* Dissemination among balancer cores: membership after a start and after a
   partition, the initial synchronisation and the confirmation of changes.  */

static struct fleet_settings
make_settings_ (unsigned balancers)
{
  return (struct fleet_settings){ .balancers = balancers,
                                  .agents = 5 * balancers,
                                  .services = balancers,
                                  .customers = 4,
                                  .seed = 1,
                                  .delay_us = 5 * FLEET_MS,
                                  .jitter_percent = 20,
                                  .loss_percent = 1 };
}

static unsigned
count_complete_ (struct fleet *f)
{
  unsigned done = 0;
  unsigned i;

  for (i = 0; i < fleet_get_balancer_count (f); i++)
    if (fleet_balancer_is_complete (f, fleet_get_balancer (f, i)))
      done++;
  return done;
}

/* Number of balancers that see all others as members of the cluster.  */
static unsigned
count_connected_ (struct fleet *f)
{
  unsigned n = fleet_get_balancer_count (f);
  unsigned connected = 0;
  unsigned i;
  unsigned k;

  for (i = 0; i < n; i++)
    {
      const struct rgy_blackboard *bb
          = rgy_balancer_get_blackboard (fleet_get_balancer (f, i)->core);
      unsigned known = 0;

      for (k = 0; k < n; k++)
        {
          const struct rgy_balancer_record *r = rgy_blackboard_get_balancer (
              bb, &fleet_get_balancer (f, k)->id);

          known += r != NULL && r->state == RGY_MEMBER_READY;
        }
      if (known == n)
        connected++;
    }
  return connected;
}

/* Number of pairs of a balancer and an agent in which the balancer does not
   see the agent as ready.  */
static unsigned
count_unready_ (struct fleet *f, unsigned agents)
{
  unsigned unready = 0;
  unsigned i;
  unsigned k;

  for (i = 0; i < fleet_get_balancer_count (f); i++)
    for (k = 0; k < agents; k++)
      {
        const struct rgy_agent_record *r = rgy_blackboard_get_agent (
            rgy_balancer_get_blackboard (fleet_get_balancer (f, i)->core),
            &fleet_get_agent (f, k)->record.id);

        unready += r == NULL || r->state != RGY_MEMBER_READY;
      }
  return unready;
}

/* Guards against groups of balancers that start at the same time, learn only
   of each other and never send messages to the others again.  */
static void
test_start_at_once_forms_one_cluster_ (void **state)
{
  struct fleet_settings s = make_settings_ (40);
  struct fleet *f;
  uint64_t seed;

  (void)state;
  for (seed = 1; seed <= 5; seed++)
    {
      s.seed = seed;
      f = fleet_new (&s);
      fleet_run (f, 20 * FLEET_S);
      assert_int_equal (count_complete_ (f), 40);
      assert_int_equal (count_connected_ (f), 40);
      fleet_delete (f);
    }
}

/* Guards against a partition that continues after the network has recovered:
   each half has declared the other dead and sends nothing to it.  */
static void
test_balancers_rejoin_after_partition_ (void **state)
{
  struct fleet_settings s = make_settings_ (12);
  struct fleet *f = fleet_new (&s);

  (void)state;
  fleet_run (f, 20 * FLEET_S);
  assert_int_equal (count_connected_ (f), 12);
  fleet_set_partitioned (f, true);
  fleet_run (f, 120 * FLEET_S);
  fleet_set_partitioned (f, false);
  fleet_run (f, 30 * FLEET_S);
  assert_int_equal (count_connected_ (f), 12);
  assert_int_equal (count_unready_ (f, s.agents), 0);
  fleet_delete (f);
}

/* Guards against a new balancer that gossips all entries of its initial
   synchronisation, although the other balancers have them already.  */
static void
test_initial_pull_is_not_gossiped_ (void **state)
{
  struct fleet_settings s = make_settings_ (12);
  struct fleet *f = fleet_new (&s);
  struct fleet_balancer *b;

  (void)state;
  fleet_run (f, 60 * FLEET_S);
  b = fleet_add_balancer (f);
  while (!fleet_balancer_is_complete (f, b))
    {
      fleet_run (f, 10 * FLEET_MS);
      assert_true (fleet_now_us (f) < 70 * FLEET_S);
    }
  /* The queue contains the balancer's own record and a few records that
     changed in the meantime.  */
  assert_true (rgy_replica_get_update_count (
                   rgy_balancer_get_blackboard (b->core)->replica)
               <= 12);
  fleet_delete (f);
}

/* Guards against acknowledgements that carry a sample of balancers
   although the agent needs none.  Also guards against agents that, without
   samples, send their heartbeats to balancers that do not monitor them and
   then need probes.  */
static void
test_samples_are_rare_and_suffice_ (void **state)
{
  struct fleet_settings s = make_settings_ (16);
  struct fleet_traffic in = { 0 };
  struct fleet *f;
  unsigned i;

  (void)state;
  s.agent_cores = true;
  f = fleet_new (&s);
  fleet_run (f, 20 * FLEET_S);
  for (i = 0; i < 3; i++)
    fleet_add_balancer (f);
  fleet_run (f, 20 * FLEET_S);
  fleet_reset_statistics (f);
  fleet_run (f, 30 * FLEET_S);
  for (i = 0; i < s.agents; i++)
    {
      const struct fleet_traffic *t = &fleet_get_agent (f, i)->in;

      in.bytes[RGY_MSG_HEARTBEAT_ACK] += t->bytes[RGY_MSG_HEARTBEAT_ACK];
      in.messages[RGY_MSG_HEARTBEAT_ACK] += t->messages[RGY_MSG_HEARTBEAT_ACK];
      in.messages[RGY_MSG_PROBE] += t->messages[RGY_MSG_PROBE];
    }
  assert_true (in.messages[RGY_MSG_HEARTBEAT_ACK] > s.agents * 80);
  assert_true (in.bytes[RGY_MSG_HEARTBEAT_ACK]
               < 150 * in.messages[RGY_MSG_HEARTBEAT_ACK]);
  /* Two heartbeats lost in succession also cause a probe.  */
  assert_true (in.messages[RGY_MSG_PROBE] < s.agents / 2);
  fleet_delete (f);
}

/* Guards against a change that counts as confirmed while an agent lacks it:
   balancers must not publish the new digest before the agents that they
   monitor have reported it.  */
static void
test_change_is_not_confirmed_without_an_agent_ (void **state)
{
  struct fleet_settings s = make_settings_ (4);
  struct fleet *f = fleet_new (&s);
  uint64_t revision;
  unsigned agent;
  unsigned i;

  (void)state;
  fleet_run (f, 20 * FLEET_S);
  for (agent = 0; agent < s.agents; agent++)
    {
      fleet_get_agent (f, agent)->ignores_configuration = true;
      revision = fleet_put_contract (f, 1, 0);
      for (i = 0; i < 300; i++)
        {
          fleet_run (f, 10 * FLEET_MS);
          assert_false (fleet_is_contract_confirmed (f, 0, 1, revision));
        }
      fleet_get_agent (f, agent)->ignores_configuration = false;
      fleet_run (f, 6 * FLEET_S);
      assert_true (fleet_is_contract_confirmed (f, 0, 1, revision));
    }
  fleet_delete (f);
}

/* Guards against several publications of every balancer's record for
   one change: first with the new digest, then with lagging agents,
   then without them.  */
static void
test_change_is_published_once_ (void **state)
{
  struct fleet_settings s = make_settings_ (12);
  struct fleet *f;
  uint64_t before = 0;
  uint64_t after = 0;
  unsigned i;

  (void)state;
  s.loss_percent = 0;
  f = fleet_new (&s);
  fleet_run (f, 20 * FLEET_S);
  for (i = 0; i < 12; i++)
    before += fleet_get_balancer_sequence (f, i);
  fleet_put_contract (f, 1, 0);
  fleet_run (f, 10 * FLEET_S);
  for (i = 0; i < 12; i++)
    after += fleet_get_balancer_sequence (f, i);
  /* A member's own sequence numbers are even, so that each
     publication adds 2.  */
  assert_true (after - before <= 2 * (12 + 3));
  fleet_delete (f);
}

/* Guards against contracts too large for a datagram that spread only by
   synchronisation after lasting differences, to one balancer a second.  */
static void
test_large_contract_spreads_within_six_seconds_ (void **state)
{
  struct fleet_settings s = make_settings_ (40);
  struct fleet *f = fleet_new (&s);
  uint64_t revision;
  unsigned customer;
  unsigned i;

  (void)state;
  fleet_run (f, 60 * FLEET_S);
  for (customer = 0; customer < s.customers; customer++)
    {
      revision = fleet_put_contract (f, customer, 3000);
      fleet_run (f, 4 * FLEET_S);
      for (i = 0; i < s.balancers; i++)
        assert_true (fleet_balancer_has_contract (f, fleet_get_balancer (f, i),
                                                  customer, revision));
      fleet_run (f, 2 * FLEET_S);
      for (i = 0; i < s.agents; i++)
        assert_true (fleet_agent_has_contract (f, fleet_get_agent (f, i),
                                               customer, revision));
    }
  fleet_delete (f);
}

/* Guards against gossip that sends the records of one change many more
   times than it takes to reach all balancers.  The bytes are counted on
   a virtual clock.  */
static void
test_gossip_of_a_change_is_bounded_ (void **state)
{
  struct fleet_settings s = make_settings_ (40);
  struct fleet *f;
  uint64_t idle = 0;
  uint64_t change = 0;
  unsigned i;

  (void)state;
  s.traffic = true;
  s.customers = 16;
  f = fleet_new (&s);
  fleet_run (f, 200 * FLEET_S);
  fleet_reset_statistics (f);
  fleet_run (f, 60 * FLEET_S);
  for (i = 0; i < s.balancers; i++)
    idle += fleet_get_balancer (f, i)->in.bytes[RGY_MSG_GOSSIP];
  fleet_reset_statistics (f);
  fleet_put_contract (f, 1, 0);
  fleet_run (f, 60 * FLEET_S);
  for (i = 0; i < s.balancers; i++)
    change += fleet_get_balancer (f, i)->in.bytes[RGY_MSG_GOSSIP];
  /* One record of 100 bytes from each balancer, sent 6 times in GOSSIP and
     GOSSIP_ACK together.  */
  assert_true ((change - idle) / s.balancers
               < (uint64_t)s.balancers * 100 * 6);
  fleet_delete (f);
}

/* Guards against demand reports that every balancer sends to all others
   although the demand has not changed.  */
static void
test_steady_demand_is_not_gossiped_ (void **state)
{
  struct fleet_settings s = make_settings_ (40);
  uint64_t bytes = 0;
  struct fleet *f;
  unsigned i;

  (void)state;
  s.traffic = true;
  f = fleet_new (&s);
  fleet_run (f, 200 * FLEET_S);
  fleet_reset_statistics (f);
  fleet_run (f, 60 * FLEET_S);
  for (i = 0; i < s.balancers; i++)
    bytes += fleet_get_balancer (f, i)->in.bytes[RGY_MSG_GOSSIP];
  /* Five messages a second of 110 bytes without updates.  */
  assert_true (bytes / s.balancers / 60 < 600);
  fleet_delete (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_start_at_once_forms_one_cluster_),
    cmocka_unit_test (test_balancers_rejoin_after_partition_),
    cmocka_unit_test (test_initial_pull_is_not_gossiped_),
    cmocka_unit_test (test_samples_are_rare_and_suffice_),
    cmocka_unit_test (test_change_is_not_confirmed_without_an_agent_),
    cmocka_unit_test (test_change_is_published_once_),
    cmocka_unit_test (test_large_contract_spreads_within_six_seconds_),
    cmocka_unit_test (test_gossip_of_a_change_is_bounded_),
    cmocka_unit_test (test_steady_demand_is_not_gossiped_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
