#include "fuzz.h"
#include "private/flow_keeper.h"

/* Fuzz target of the decoder of stored open flows.  */

#define AGENT_IP 0x0a020001U

void
fuzz_add_seeds (GPtrArray *seeds)
{
  struct rgy_flow_keeper *keeper = rgy_flow_keeper_new ();
  GByteArray *bytes = g_byte_array_new ();
  uint8_t flows[2 * RGY_OPEN_FLOW_BYTES] = { 100, 64, 0, 7 };

  struct rgy_stream_open_flows list
      = { .backend_id = 1, .flows = { .data = flows, .len = sizeof flows } };

  rgy_flow_keeper_record (keeper, AGENT_IP, &list, 0);
  list.flows.len = RGY_OPEN_FLOW_BYTES;
  rgy_flow_keeper_record (keeper, AGENT_IP + 1, &list, 0);
  rgy_flow_keeper_encode (keeper, bytes, 0);
  fuzz_add_seed_array (seeds, bytes);
  rgy_flow_keeper_delete (keeper);
}

/* Flows that the decoder accepts must be whole, bounded, and accepted again
   when they are written by this keeper.  */
void
fuzz_run_input (struct rgy_bytes input)
{
  struct rgy_flow_keeper *keeper = rgy_flow_keeper_new ();
  struct rgy_flow_keeper *again = rgy_flow_keeper_new ();
  GByteArray *bytes = g_byte_array_new ();
  uint64_t backend;
  struct rgy_bytes lost;

  if (rgy_flow_keeper_load (keeper, input, 0) == RGY_OK)
    {
      rgy_flow_keeper_encode (keeper, bytes, 0);
      g_assert (rgy_flow_keeper_load (again, fuzz_view_array (bytes), 0)
                == RGY_OK);
      rgy_flow_keeper_record (
          keeper, AGENT_IP,
          &(struct rgy_stream_open_flows){ .agent_incarnation = 99 }, 0);
      lost = rgy_flow_keeper_get_former (keeper, AGENT_IP, &backend, 0);
      g_assert (lost.len % RGY_OPEN_FLOW_BYTES == 0);
      g_assert (lost.len <= RGY_STREAM_MAX_OPEN_FLOWS * RGY_OPEN_FLOW_BYTES);
    }
  g_byte_array_unref (bytes);
  rgy_flow_keeper_delete (again);
  rgy_flow_keeper_delete (keeper);
}
