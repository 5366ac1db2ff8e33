#include "private/flow_keeper.h"
#include "private/stream_balancer_private.h"
#include "ragwortyoke/clock.h"

/* Interval at which the kept flows are written to the store; also the time
   after which a new keeper writes first, so that one that agents choose only
   until they know all balancers writes nothing.  */
#define SAVE_INTERVAL_US (4 * RGY_US_PER_S)
/* Time without a list from an agent after which another balancer keeps the
   flows.  */
#define KEEPER_EXPIRE_US (10 * RGY_US_PER_S)

static void
send_former_flows_ (struct rgy_stream_balancer *b, uint32_t ip,
                    uint64_t agent_incarnation, int64_t now_us)
{
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_FORMER_FLOWS,
          .u.open_flows
          = { .agent_incarnation = agent_incarnation,
              .max_flows = rgy_flow_keeper_get_max_flows (b->keeper) } };

  message.u.open_flows.flows = rgy_flow_keeper_get_former (
      b->keeper, ip, &message.u.open_flows.backend_id, now_us);
  rgy_stream_balancer_send_message_ (b, ip, &message);
}

/* Begins to keep the flows; those that a keeper before has written are read
   first.  */
static void
begin_to_keep_ (struct rgy_stream_balancer *b, int64_t now_us)
{
  struct rgy_stream_action action = { .kind = RGY_STREAM_LOAD_FLOWS };

  b->keeper = rgy_flow_keeper_new ();
  b->flows_loaded = false;
  b->flows_saved_us = now_us;
  b->settings.out.emit (b->settings.out.ctx, &action);
}

void
rgy_stream_balancer_handle_open_flows_ (
    struct rgy_stream_balancer *b, const struct rgy_stream_open_flows *flows,
    uint32_t ip, int64_t now_us)
{
  const struct rgy_known_agent *agent
      = rgy_stream_balancer_find_agent_ (b, ip);

  if (agent == NULL || agent->distant
      || agent->report.incarnation != flows->agent_incarnation)
    {
      ++*b->n_unknown_agents;
      return;
    }
  if (b->keeper == NULL)
    begin_to_keep_ (b, now_us);
  b->flows_heard_us = now_us;
  rgy_flow_keeper_record (b->keeper, ip, flows, now_us);
  send_former_flows_ (b, ip, flows->agent_incarnation, now_us);
}

void
rgy_stream_balancer_set_stored_flows (struct rgy_stream_balancer *b,
                                      struct rgy_bytes bytes, int64_t now_us)
{
  GHashTableIter iter;
  void *value;
  enum rgy_outcome rc;

  if (b->keeper == NULL || b->flows_loaded)
    return;
  b->flows_loaded = true;
  if (bytes.len == 0)
    return;
  rc = rgy_flow_keeper_load (b->keeper, bytes, now_us);
  rgy_stream_emit_log (&b->settings.out,
                       "open_flows_loaded bytes=%zu outcome=\"%s\"", bytes.len,
                       rgy_outcome_string[rc]);
  if (rc != RGY_OK)
    return;
  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_known_agent *agent = value;
      uint64_t backend_id;

      if (rgy_flow_keeper_get_former (b->keeper, agent->ip, &backend_id,
                                      now_us)
              .len
          > 0)
        send_former_flows_ (b, agent->ip, agent->report.incarnation, now_us);
    }
}

void
rgy_stream_balancer_save_flows_ (struct rgy_stream_balancer *b, int64_t now_us)
{
  struct rgy_stream_action action = { .kind = RGY_STREAM_SAVE_FLOWS };
  GByteArray *bytes;

  if (b->keeper == NULL)
    return;
  if (now_us - b->flows_heard_us > KEEPER_EXPIRE_US)
    {
      g_clear_pointer (&b->keeper, rgy_flow_keeper_delete);
      return;
    }
  if (!b->flows_loaded || now_us - b->flows_saved_us < SAVE_INTERVAL_US)
    return;
  b->flows_saved_us = now_us;
  rgy_flow_keeper_expire (b->keeper, now_us);
  bytes = g_byte_array_new ();
  rgy_flow_keeper_encode (b->keeper, bytes, now_us);
  action.u.stored
      = (struct rgy_bytes){ .data = bytes->data, .len = bytes->len };
  b->settings.out.emit (b->settings.out.ctx, &action);
  g_byte_array_unref (bytes);
}
