#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "private/flow_keeper.h"
#include "ragwortyoke/clock.h"

#define AGENT_IP 0x0a020001U
#define S RGY_US_PER_S
#define NOW_US (100 * S)

/* Flows of FILL, as an agent lists them.  */
static struct rgy_bytes
make_flows_ (uint8_t *buffer, uint8_t fill, size_t count)
{
  memset (buffer, fill, count * RGY_OPEN_FLOW_BYTES);
  return (struct rgy_bytes){ .data = buffer,
                             .len = count * RGY_OPEN_FLOW_BYTES };
}

/* Records a list of an agent whose incarnation is the backend server's.  */
static void
record_ (struct rgy_flow_keeper *keeper, uint32_t ip, uint64_t backend,
         uint8_t fill, size_t count, int64_t now_us)
{
  uint8_t buffer[RGY_STREAM_MAX_OPEN_FLOWS * RGY_OPEN_FLOW_BYTES];
  const struct rgy_stream_open_flows list
      = { .agent_incarnation = backend,
          .backend_id = backend,
          .flows = make_flows_ (buffer, fill, count) };

  rgy_flow_keeper_record (keeper, ip, &list, now_us);
}

static size_t
count_former_ (struct rgy_flow_keeper *keeper, uint32_t ip, uint64_t *backend,
               int64_t now_us)
{
  return rgy_flow_keeper_get_former (keeper, ip, backend, now_us).len
         / RGY_OPEN_FLOW_BYTES;
}

/* Writes the flows of one keeper and loads them into another.  */
static enum rgy_outcome
copy_ (const struct rgy_flow_keeper *from, struct rgy_flow_keeper *to,
       int64_t now_us)
{
  GByteArray *bytes = g_byte_array_new ();
  enum rgy_outcome rc;

  rgy_flow_keeper_encode (from, bytes, now_us);
  rc = rgy_flow_keeper_load (
      to, (struct rgy_bytes){ .data = bytes->data, .len = bytes->len },
      now_us);
  g_byte_array_unref (bytes);
  return rc;
}

/* Pattern: loss of power.  Agents and keeper start anew, in any order, and the
   backend servers have another start.  */
static void
lists_survive_a_loss_of_power_ (void **state)
{
  int order;

  (void)state;
  for (order = 0; order < 2; order++)
    {
      struct rgy_flow_keeper *before = rgy_flow_keeper_new ();
      struct rgy_flow_keeper *after = rgy_flow_keeper_new ();
      uint64_t backend;

      record_ (before, AGENT_IP, 1, 7, 3, NOW_US);
      record_ (before, AGENT_IP + 1, 1, 8, 2, NOW_US);
      if (order == 0)
        assert_int_equal (copy_ (before, after, NOW_US), RGY_OK);
      record_ (after, AGENT_IP, 2, 0, 0, NOW_US);
      record_ (after, AGENT_IP + 1, 1, 8, 2, NOW_US);
      if (order == 1)
        assert_int_equal (copy_ (before, after, NOW_US), RGY_OK);
      assert_int_equal (count_former_ (after, AGENT_IP, &backend, NOW_US), 3);
      assert_int_equal (backend, 1);
      /* The other backend server has not restarted; its agent is told so by
         the identifier.  */
      assert_int_equal (count_former_ (after, AGENT_IP + 1, &backend, NOW_US),
                        2);
      assert_int_equal (backend, 1);
      assert_int_equal (
          count_former_ (after, AGENT_IP, &backend, NOW_US + 16 * S), 0);
      rgy_flow_keeper_delete (before);
      rgy_flow_keeper_delete (after);
    }
}

/* What an agent has sent is newer than what was stored, whenever the store
   answers.  */
static void
stored_flows_replace_nothing_newer_ (void **state)
{
  struct rgy_flow_keeper *before = rgy_flow_keeper_new ();
  struct rgy_flow_keeper *after = rgy_flow_keeper_new ();
  struct rgy_flow_keeper *last = rgy_flow_keeper_new ();
  uint64_t backend;

  (void)state;
  record_ (before, AGENT_IP, 1, 7, 3, NOW_US);
  record_ (after, AGENT_IP, 2, 9, 4, NOW_US);
  record_ (after, AGENT_IP, 3, 0, 0, NOW_US);
  assert_int_equal (copy_ (before, after, NOW_US), RGY_OK);
  assert_int_equal (count_former_ (after, AGENT_IP, &backend, NOW_US), 4);
  assert_int_equal (backend, 2);
  /* The stored list is of the backend server that still runs.  */
  record_ (last, AGENT_IP, 1, 7, 1, NOW_US);
  assert_int_equal (copy_ (before, last, NOW_US), RGY_OK);
  record_ (last, AGENT_IP, 5, 0, 0, NOW_US);
  assert_int_equal (count_former_ (last, AGENT_IP, &backend, NOW_US), 1);
  rgy_flow_keeper_delete (before);
  rgy_flow_keeper_delete (after);
  rgy_flow_keeper_delete (last);
}

/* Half a value, one of another writer, or one of a later version counts for
   nothing.  */
static void
damaged_flows_change_nothing_ (void **state)
{
  struct rgy_flow_keeper *before = rgy_flow_keeper_new ();
  struct rgy_flow_keeper *after = rgy_flow_keeper_new ();
  GByteArray *bytes = g_byte_array_new ();
  uint8_t *later;
  uint64_t backend;
  guint len;

  (void)state;
  record_ (before, AGENT_IP, 1, 7, 3, NOW_US);
  record_ (before, AGENT_IP + 1, 1, 8, 2, NOW_US);
  rgy_flow_keeper_encode (before, bytes, NOW_US);
  for (len = 0; len < bytes->len; len++)
    {
      uint8_t *half = g_memdup2 (bytes->data, len);

      assert_int_equal (
          rgy_flow_keeper_load (
              after, (struct rgy_bytes){ .data = half, .len = len }, NOW_US),
          RGY_ERR_INVALID);
      g_free (half);
    }
  later = g_memdup2 (bytes->data, bytes->len);
  later[1] = 2; /* The version follows the header of the array.  */
  assert_int_equal (rgy_flow_keeper_load (
                        after,
                        (struct rgy_bytes){ .data = later, .len = bytes->len },
                        NOW_US),
                    RGY_ERR_UNSUPPORTED);
  /* One entry of another length makes the whole value invalid.  */
  later[1] = 1;
  later[bytes->len - 2 * RGY_OPEN_FLOW_BYTES - 1]--;
  assert_int_equal (
      rgy_flow_keeper_load (
          after, (struct rgy_bytes){ .data = later, .len = bytes->len - 1 },
          NOW_US),
      RGY_ERR_INVALID);
  record_ (after, AGENT_IP, 2, 0, 0, NOW_US);
  assert_int_equal (count_former_ (after, AGENT_IP, &backend, NOW_US), 0);
  g_free (later);
  g_byte_array_unref (bytes);
  rgy_flow_keeper_delete (before);
  rgy_flow_keeper_delete (after);
}

/* At full size a failure domain has 570 agents; their lists must fit the
   keeper's budget, and the value the store's limit.  */
static void
lists_stay_within_their_limits_ (void **state)
{
  struct rgy_flow_keeper *keeper = rgy_flow_keeper_new ();
  GByteArray *bytes = g_byte_array_new ();
  uint32_t i;

  (void)state;
  record_ (keeper, AGENT_IP, 1, 7, 1, NOW_US);
  assert_int_equal (rgy_flow_keeper_get_max_flows (keeper),
                    RGY_STREAM_MAX_OPEN_FLOWS);
  for (i = 0; i < 570; i++)
    record_ (keeper, AGENT_IP + i, 1, 7, RGY_STREAM_MAX_OPEN_FLOWS, NOW_US);
  assert_in_range (rgy_flow_keeper_get_max_flows (keeper) * 570
                       * RGY_OPEN_FLOW_BYTES / 3,
                   1, 4000);
  rgy_flow_keeper_encode (keeper, bytes, NOW_US);
  assert_in_range (bytes->len, 400 * 1024, 512 * 1024);
  rgy_flow_keeper_expire (keeper, NOW_US + 16 * S);
  assert_int_equal (rgy_flow_keeper_get_max_flows (keeper),
                    RGY_STREAM_MAX_OPEN_FLOWS);
  g_byte_array_unref (bytes);
  rgy_flow_keeper_delete (keeper);
}

/* Random restarts of agents, backend servers and keepers: a former list is
   always one that this agent has sent for that backend server, and never one
   of another agent.  */
static void
former_lists_were_sent_by_their_agent_ (void **state)
{
  enum
  {
    AGENTS = 5,
    STARTS = 400
  };
  static bool was_sent[AGENTS][STARTS][UINT8_MAX + 1];
  GRand *rand = g_rand_new_with_seed (77);
  struct rgy_flow_keeper *keeper = rgy_flow_keeper_new ();
  uint64_t running[AGENTS] = { 0 };
  int64_t now_us = NOW_US;
  unsigned n_former = 0;
  int step;

  (void)state;
  for (step = 0; step < 4000; step++)
    {
      int agent = g_rand_int_range (rand, 0, AGENTS);
      uint8_t fill = (uint8_t)(1 + agent + AGENTS * (step % 50));
      struct rgy_bytes former;
      uint64_t backend;

      now_us += g_rand_int_range (rand, 0, 4000) * RGY_US_PER_MS;
      if (g_rand_int_range (rand, 0, 12) == 0 && running[agent] + 1 < STARTS)
        running[agent]++;
      record_ (keeper, AGENT_IP + (uint32_t)agent, 1 + running[agent], fill,
               (size_t)g_rand_int_range (rand, 0, 9), now_us);
      was_sent[agent][running[agent]][fill] = true;
      if (g_rand_int_range (rand, 0, 20) == 0)
        {
          struct rgy_flow_keeper *next = rgy_flow_keeper_new ();

          assert_int_equal (copy_ (keeper, next, now_us), RGY_OK);
          rgy_flow_keeper_delete (keeper);
          keeper = next;
        }
      rgy_flow_keeper_expire (keeper, now_us);
      former = rgy_flow_keeper_get_former (keeper, AGENT_IP + (uint32_t)agent,
                                           &backend, now_us);
      if (former.len == 0)
        continue;
      n_former++;
      assert_in_range (backend, 1, 1 + running[agent]);
      assert_true (was_sent[agent][backend - 1][former.data[0]]);
    }
  assert_true (n_former > 100);
  g_rand_free (rand);
  rgy_flow_keeper_delete (keeper);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (lists_survive_a_loss_of_power_),
    cmocka_unit_test (stored_flows_replace_nothing_newer_),
    cmocka_unit_test (damaged_flows_change_nothing_),
    cmocka_unit_test (lists_stay_within_their_limits_),
    cmocka_unit_test (former_lists_were_sent_by_their_agent_),
  };

  return cmocka_run_group_tests_name ("flow_keeper", tests, NULL, NULL);
}
