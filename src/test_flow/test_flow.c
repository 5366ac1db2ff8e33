#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/flow.h"

#define IDLE_US INT64_C (1000)
#define MANY_FLOWS 400
#define RANDOM_STEPS 20000

static struct rgy_flow_key
make_key_ (uint32_t n)
{
  return rgy_flow_key_udp (
      (struct rgy_endpoint){ .ip = 0x0a000000 + n / 60000,
                             .port = (uint16_t)(1024 + n % 60000) },
      (struct rgy_endpoint){ .ip = 0x7f000001, .port = 5683 });
}

/* Guards against padding bytes that enter the comparison or the hash: the flow
   of a key would not be found, or would move to another bucket.  */
static void
equality_and_hash_ignore_padding_ (void **state)
{
  struct rgy_flow_key a;
  struct rgy_flow_key b;
  struct rgy_flow_key clean = make_key_ (1);

  (void)state;
  memset (&a, 0xaa, sizeof a);
  memset (&b, 0x55, sizeof b);
  a.kind = b.kind = RGY_FLOW_KEY_UDP;
  a.u.udp.caller.ip = b.u.udp.caller.ip = clean.u.udp.caller.ip;
  a.u.udp.caller.port = b.u.udp.caller.port = clean.u.udp.caller.port;
  a.u.udp.service.ip = b.u.udp.service.ip = clean.u.udp.service.ip;
  a.u.udp.service.port = b.u.udp.service.port = clean.u.udp.service.port;
  assert_true (rgy_flow_key_equal (&a, &b));
  assert_int_equal (rgy_flow_key_hash (&a), rgy_flow_key_hash (&b));
  assert_int_equal (rgy_flow_key_bucket (&a), rgy_flow_key_bucket (&clean));
}

/* Guards against delivery of a packet for one service to the flow of another:
   caller and service must not be interchangeable, and every part of the key
   must count.  */
static void
keys_that_differ_in_one_part_are_unequal_ (void **state)
{
  struct rgy_endpoint x = { .ip = 1, .port = 2 };
  struct rgy_endpoint y = { .ip = 3, .port = 4 };
  struct rgy_endpoint z = { .ip = 3, .port = 5 };
  struct rgy_flow_key base = rgy_flow_key_udp (x, y);
  struct rgy_flow_key swapped = rgy_flow_key_udp (y, x);
  struct rgy_flow_key other = rgy_flow_key_udp (x, z);

  (void)state;
  assert_false (rgy_flow_key_equal (&base, &swapped));
  assert_false (rgy_flow_key_equal (&base, &other));
  assert_int_not_equal (rgy_flow_key_hash (&base),
                        rgy_flow_key_hash (&swapped));
  assert_int_not_equal (rgy_flow_key_hash (&base), rgy_flow_key_hash (&other));
}

/* Guards against uneven buckets, which would leave agents with unequal numbers
   of flows although they own equal numbers of buckets.  */
static void
keys_spread_over_buckets_ (void **state)
{
  unsigned counts[RGY_BUCKET_COUNT] = { 0 };
  unsigned max = 0;
  uint32_t n;

  (void)state;
  for (n = 0; n < 100 * RGY_BUCKET_COUNT; n++)
    {
      struct rgy_flow_key key = make_key_ (n);
      unsigned bucket = rgy_flow_key_bucket (&key);

      assert_true (bucket < RGY_BUCKET_COUNT);
      counts[bucket]++;
      max = MAX (max, counts[bucket]);
    }
  assert_true (max < 150);
}

/* Guards against a second flow for one key, and against more flows than the
   capacity of the agent.  */
static void
open_refuses_duplicates_and_excess_ (void **state)
{
  struct rgy_flow_table *table = rgy_flow_table_new (2, IDLE_US);
  struct rgy_flow_key keys[3]
      = { make_key_ (0), make_key_ (1), make_key_ (2) };
  struct rgy_flow *flow = NULL;
  struct rgy_flow *other = NULL;
  uint64_t id;

  (void)state;
  assert_null (rgy_flow_table_find (table, &keys[0]));
  assert_int_equal (rgy_flow_table_open (table, &keys[0], 5, &flow), RGY_OK);
  assert_int_equal (flow->opened_us, 5);
  assert_int_equal (flow->bucket, rgy_flow_key_bucket (&keys[0]));
  assert_int_not_equal (flow->id, 0);
  id = flow->id;
  assert_int_equal (rgy_flow_table_open (table, &keys[0], 6, &other),
                    RGY_ERR_CONFLICT);
  assert_int_equal (rgy_flow_table_open (table, &keys[1], 6, &other), RGY_OK);
  assert_int_equal (rgy_flow_table_open (table, &keys[2], 6, &other),
                    RGY_ERR_FULL);
  assert_int_equal (rgy_flow_table_open (table, &keys[0], 6, &other),
                    RGY_ERR_CONFLICT);
  assert_ptr_equal (rgy_flow_table_find (table, &keys[0]), flow);
  assert_ptr_equal (rgy_flow_table_find_id (table, id), flow);
  rgy_flow_table_close (table, flow);
  assert_null (rgy_flow_table_find (table, &keys[0]));
  assert_null (rgy_flow_table_find_id (table, id));
  /* A late response with the ID of the closed flow must not find the new
     flow.  */
  assert_int_equal (rgy_flow_table_open (table, &keys[0], 7, &flow), RGY_OK);
  assert_int_not_equal (flow->id, id);
  assert_null (rgy_flow_table_find_id (table, 0));
  rgy_flow_table_delete (table);
}

/* Guards against an active flow that expires, or an idle flow that does
   not.  */
static void
flows_expire_in_order_of_traffic_ (void **state)
{
  struct rgy_flow_table *table = rgy_flow_table_new (10, IDLE_US);
  struct rgy_flow *flows[3];
  struct rgy_flow_key key;
  uint32_t i;

  (void)state;
  assert_null (rgy_flow_table_get_expired (table, INT64_MAX));
  for (i = 0; i < 3; i++)
    {
      key = make_key_ (i);
      assert_int_equal (rgy_flow_table_open (table, &key, i, &flows[i]),
                        RGY_OK);
    }
  rgy_flow_table_touch (table, flows[0], 10);
  rgy_flow_table_touch (table, flows[0], 11);
  assert_null (rgy_flow_table_get_expired (table, IDLE_US));
  assert_ptr_equal (rgy_flow_table_get_expired (table, IDLE_US + 1), flows[1]);
  rgy_flow_table_close (table, flows[1]);
  assert_null (rgy_flow_table_get_expired (table, IDLE_US + 1));
  assert_ptr_equal (rgy_flow_table_get_expired (table, IDLE_US + 2), flows[2]);
  rgy_flow_table_close (table, flows[2]);
  assert_null (rgy_flow_table_get_expired (table, IDLE_US + 10));
  assert_ptr_equal (rgy_flow_table_get_expired (table, IDLE_US + 11),
                    flows[0]);
  rgy_flow_table_close (table, flows[0]);
  assert_int_equal (rgy_flow_table_get_count (table), 0);
  rgy_flow_table_delete (table);
}

struct visit_
{
  struct rgy_flow_table *table;
  size_t visited_count;
  size_t stop_after;
  struct rgy_bucket_set occupied;
  int64_t last_active_us;
};

static bool
close_every_other_ (struct rgy_flow *flow, void *ctx)
{
  struct visit_ *visit = ctx;

  if (visit->visited_count++ % 2 == 0)
    rgy_flow_table_close (visit->table, flow);
  return visit->visited_count != visit->stop_after;
}

/* Guards against a flow that the iteration skips or repeats because another
   one was closed during it.  */
static void
foreach_allows_closing_flows_ (void **state)
{
  struct rgy_flow_table *table = rgy_flow_table_new (100, IDLE_US);
  struct visit_ visit = { .table = table };
  struct rgy_flow *flow = NULL;
  uint32_t i;

  (void)state;
  for (i = 0; i < 21; i++)
    {
      struct rgy_flow_key key = make_key_ (i);

      assert_int_equal (rgy_flow_table_open (table, &key, i, &flow), RGY_OK);
    }
  rgy_flow_table_foreach (table, close_every_other_, &visit);
  assert_int_equal (visit.visited_count, 21);
  assert_int_equal (rgy_flow_table_get_count (table), 10);
  visit = (struct visit_){ .table = table, .stop_after = 3 };
  rgy_flow_table_foreach (table, close_every_other_, &visit);
  assert_int_equal (visit.visited_count, 3);
  assert_int_equal (rgy_flow_table_get_count (table), 8);
  rgy_flow_table_delete (table);
}

static bool
check_order_and_collect_bucket_ (struct rgy_flow *flow, void *ctx)
{
  struct visit_ *visit = ctx;

  assert_true (flow->last_active_us >= visit->last_active_us);
  visit->last_active_us = flow->last_active_us;
  visit->visited_count++;
  rgy_bucket_set_add (&visit->occupied, flow->bucket);
  return true;
}

/* Guards against a wrong bitmap of occupied buckets: with a bucket missing,
   peers open its flows a second time; a bucket without flows costs extra hops
   for ever.  */
static void
occupied_buckets_match_flows_after_random_use_ (void **state)
{
  struct rgy_flow_table *table = rgy_flow_table_new (MANY_FLOWS / 2, IDLE_US);
  GRand *rand = g_rand_new_with_seed (3);
  int64_t now_us = 0;
  int step;

  (void)state;
  for (step = 0; step < RANDOM_STEPS; step++)
    {
      struct rgy_flow_key key
          = make_key_ ((uint32_t)g_rand_int_range (rand, 0, MANY_FLOWS));
      struct rgy_flow *flow = rgy_flow_table_find (table, &key);
      struct visit_ visit = { .last_active_us = INT64_MIN };

      now_us += g_rand_int_range (rand, 0, 10);
      if (flow == NULL)
        rgy_flow_table_open (table, &key, now_us, &flow);
      else if (g_rand_int_range (rand, 0, 2) == 0)
        rgy_flow_table_touch (table, flow, now_us);
      else
        rgy_flow_table_close (table, flow);
      while ((flow = rgy_flow_table_get_expired (table, now_us)) != NULL)
        rgy_flow_table_close (table, flow);
      if (step % 50 != 0)
        continue;
      rgy_flow_table_foreach (table, check_order_and_collect_bucket_, &visit);
      assert_int_equal (visit.visited_count, rgy_flow_table_get_count (table));
      assert_memory_equal (&visit.occupied,
                           rgy_flow_table_get_occupied (table),
                           sizeof visit.occupied);
    }
  g_rand_free (rand);
  rgy_flow_table_delete (table);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (equality_and_hash_ignore_padding_),
    cmocka_unit_test (keys_that_differ_in_one_part_are_unequal_),
    cmocka_unit_test (keys_spread_over_buckets_),
    cmocka_unit_test (open_refuses_duplicates_and_excess_),
    cmocka_unit_test (flows_expire_in_order_of_traffic_),
    cmocka_unit_test (foreach_allows_closing_flows_),
    cmocka_unit_test (occupied_buckets_match_flows_after_random_use_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
