#include "fuzz.h"
#include "ragwortyoke/member.h"

/* Fuzz target of the decoders of agent and balancer records.  */

void
fuzz_add_seeds (GPtrArray *seeds)
{
  struct rgy_agent_record agent
      = { .id = rgy_name_from_c ("agent-1"),
          .epoch = UINT64_MAX,
          .sequence = 8,
          .state = RGY_MEMBER_READY,
          .domain = rgy_name_from_c ("poa-a"),
          .endpoint = { .ip = 0x7f000001, .port = 7000 },
          .service = { .ip = 0x7f000a01, .port = 5683 } };
  struct rgy_balancer_record balancer = {
    .id = rgy_name_from_c ("balancer-1"),
    .epoch = 3,
    .sequence = 5,
    .state = RGY_MEMBER_DEAD,
    .domain = rgy_name_from_c ("poa-b"),
    .endpoint = { .ip = 0x7f000001, .port = 7000 },
    .lagging_count = 2,
    .lagging = { rgy_name_from_c ("agent-1"), rgy_name_from_c ("agent-2") },
    .demand
    = { { .customer = rgy_name_from_c ("rodaforte"), .bytes_per_s = 100 } },
    .demand_count = 1
  };

  fuzz_add_seed_array (seeds, rgy_agent_record_encode (&agent));
  fuzz_add_seed_array (seeds, rgy_balancer_record_encode (&balancer));
}

static void
check_agent_record_ (const struct rgy_agent_record *record)
{
  GByteArray *first = rgy_agent_record_encode (record);
  struct rgy_agent_record again;
  GByteArray *second;

  g_assert (rgy_agent_record_decode (fuzz_view_array (first), &again)
            == RGY_OK);
  second = rgy_agent_record_encode (&again);
  g_assert (fuzz_arrays_equal (first, second));
  g_byte_array_unref (first);
  g_byte_array_unref (second);
}

static void
check_balancer_record_ (const struct rgy_balancer_record *record)
{
  GByteArray *first = rgy_balancer_record_encode (record);
  struct rgy_balancer_record again;
  GByteArray *second;

  g_assert (rgy_balancer_record_decode (fuzz_view_array (first), &again)
            == RGY_OK);
  second = rgy_balancer_record_encode (&again);
  g_assert (fuzz_arrays_equal (first, second));
  g_byte_array_unref (first);
  g_byte_array_unref (second);
}

/* A record that its decoder accepts must stay the same when it is encoded and
   decoded again.  */
void
fuzz_run_input (struct rgy_bytes input)
{
  struct rgy_agent_record agent;
  struct rgy_balancer_record balancer;

  if (rgy_agent_record_decode (input, &agent) == RGY_OK)
    check_agent_record_ (&agent);
  if (rgy_balancer_record_decode (input, &balancer) == RGY_OK)
    check_balancer_record_ (&balancer);
}
