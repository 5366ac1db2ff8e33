#include "private/stream_agent_private.h"

#include "ragwortyoke/bytes.h"

/* Chooses the balancer that keeps the open flows of the failure domain.  All
   agents that know the same balancers choose the same one.  */
static struct rgy_agent_balancer *
choose_keeper_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  struct rgy_agent_balancer *keeper = NULL;
  guint i;

  for (i = 0; i < agent->balancers->len; i++)
    {
      struct rgy_agent_balancer *b
          = &g_array_index (agent->balancers, struct rgy_agent_balancer, i);

      if (rgy_agent_balancer_has_feature_ (b, RGY_STREAM_KEEPS_OPEN_FLOWS,
                                           now_us)
          && rgy_stream_agent_is_near_balancer_ (agent, b)
          && (keeper == NULL
              || rgy_stream_hash_balancer (b->ip)
                     < rgy_stream_hash_balancer (keeper->ip)))
        keeper = b;
    }
  return keeper;
}

static bool
append_open_flow_ (struct rgy_flow *flow, void *ctx)
{
  GByteArray *flows = ctx;
  const struct rgy_agent_stream *stream = flow->session;
  uint8_t entry[RGY_OPEN_FLOW_BYTES];

  if (stream->state != FLOW_OPEN || !stream->reported_open
      || !stream->backend_confirmed)
    return true;
  rgy_flow_endpoints_encode (&flow->key, entry);
  rgy_put_be (entry + RGY_FLOW_ENDPOINTS_BYTES, stream->caller_ack,
              RGY_OPEN_FLOW_BYTES - RGY_FLOW_ENDPOINTS_BYTES);
  g_byte_array_append (flows, entry, sizeof entry);
  return true;
}

void
rgy_stream_agent_send_open_flows_ (struct rgy_stream_agent *agent,
                                   int64_t now_us)
{
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_OPEN_FLOWS,
          .u.open_flows
          = { .agent_incarnation = agent->settings.incarnation,
              .backend_id = agent->heartbeat_us == 0
                                ? 0
                                : rgy_stream_agent_get_backend_id_ (agent) } };
  const struct rgy_agent_balancer *keeper;
  GByteArray *flows;
  size_t max_bytes = agent->max_open_flows * RGY_OPEN_FLOW_BYTES;
  size_t skipped;

  if (agent->open_flows_sent_us != 0
      && now_us - agent->open_flows_sent_us < OPEN_FLOWS_INTERVAL_US)
    return;
  keeper = choose_keeper_ (agent, now_us);
  if (keeper == NULL)
    return;
  agent->open_flows_sent_us = now_us;
  flows = g_byte_array_new ();
  /* Before the first heartbeat the list only asks for the former flows.  */
  if (agent->heartbeat_us != 0)
    rgy_flow_table_foreach (agent->flows, append_open_flow_, flows);
  /* The table is in the order of the last use; the flows used last are kept
     open by their callers most likely.  */
  skipped = flows->len > max_bytes ? flows->len - max_bytes : 0;
  message.u.open_flows.flows = (struct rgy_bytes){
    .data = flows->data == NULL ? NULL : flows->data + skipped,
    .len = flows->len - skipped
  };
  rgy_stream_agent_send_message_ (agent, keeper->ip, &message);
  g_byte_array_unref (flows);
}

/* Resets a flow of the backend server before, unless this agent knows it: its
   caller may use the port for another flow by now.  */
static bool
reset_former_flow_ (struct rgy_stream_agent *agent,
                    const struct rgy_flow_key *key, uint32_t caller_ack)
{
  if (rgy_flow_table_find (agent->flows, key) != NULL)
    return false;
  ++*agent->n_former_reset;
  rgy_stream_emit_reset (&agent->settings.out, key, caller_ack);
  return true;
}

/* What an agent does with its former flows.  */
enum former_use_
{
  IGNORE_FLOWS,
  RESET_FLOWS,  /* Their backend server is gone.  */
  RESTORE_FLOWS /* Their backend server runs as far as is known.  */
};

/* An agent that knows all flows of its backend server needs no list of them,
   and one that does not cannot tell whether the caller of a lost one uses its
   port again.  One that has seen its backend server restart has reset the
   flows itself.  */
static enum former_use_
choose_use_ (const struct rgy_stream_agent *agent, uint64_t former_backend_id,
             int64_t now_us)
{
  bool is_gone
      = agent->heartbeat_us != 0
        && former_backend_id != rgy_stream_agent_get_backend_id_ (agent);

  if (agent->generation > 1 || former_backend_id == 0
      || now_us - agent->started_us > FORMER_FLOWS_US)
    return IGNORE_FLOWS;
  if (is_gone)
    return agent->complete ? RESET_FLOWS : IGNORE_FLOWS;
  return agent->complete ? IGNORE_FLOWS : RESTORE_FLOWS;
}

void
rgy_stream_agent_handle_former_flows_ (
    struct rgy_stream_agent *agent, const struct rgy_stream_open_flows *former,
    int64_t now_us)
{
  enum former_use_ use = choose_use_ (agent, former->backend_id, now_us);
  size_t n_used = 0;
  size_t i;

  if (former->agent_incarnation != agent->settings.incarnation)
    return;
  agent->max_open_flows = MIN (former->max_flows, RGY_STREAM_MAX_OPEN_FLOWS);
  if (former->flows.len == 0 || agent->former_backend_id != 0)
    return;
  agent->former_backend_id = former->backend_id;
  for (i = 0; i < former->flows.len; i += RGY_OPEN_FLOW_BYTES)
    {
      const uint8_t *entry = former->flows.data + i;
      struct rgy_flow_key key = rgy_flow_endpoints_decode (entry);
      uint32_t caller_ack = (uint32_t)rgy_get_be (
          entry + RGY_FLOW_ENDPOINTS_BYTES,
          RGY_OPEN_FLOW_BYTES - RGY_FLOW_ENDPOINTS_BYTES);

      switch (use)
        {
        case RESET_FLOWS:
          n_used += reset_former_flow_ (agent, &key, caller_ack);
          break;
        case RESTORE_FLOWS:
          n_used += rgy_stream_agent_restore_flow_ (agent, &key, caller_ack,
                                                    now_us);
          break;
        case IGNORE_FLOWS:
          break;
        }
    }
  rgy_stream_emit_log (&agent->settings.out,
                       "former_flows use=%s backend=%s listed=%zu used=%zu",
                       use == RESET_FLOWS     ? "reset"
                       : use == RESTORE_FLOWS ? "restore"
                                              : "none",
                       agent->backend.data,
                       former->flows.len / RGY_OPEN_FLOW_BYTES, n_used);
}

struct former_reset_
{
  struct rgy_stream_agent *agent;
  int64_t now_us;
};

static bool
reset_restored_flow_ (struct rgy_flow *flow, void *ctx)
{
  const struct rgy_agent_stream *stream = flow->session;
  const struct former_reset_ *reset = ctx;

  if (!stream->restored || stream->backend_confirmed
      || stream->state != FLOW_OPEN)
    return true;
  ++*reset->agent->n_former_reset;
  rgy_stream_agent_reset_flow_ (reset->agent, flow, "new-backend",
                                reset->now_us);
  return true;
}

void
rgy_stream_agent_check_restored_flows_ (struct rgy_stream_agent *agent,
                                        int64_t now_us)
{
  struct former_reset_ reset = { .agent = agent, .now_us = now_us };

  if (agent->former_backend_id == 0 || !agent->complete
      || agent->former_backend_id == rgy_stream_agent_get_backend_id_ (agent))
    return;
  rgy_flow_table_foreach (agent->flows, reset_restored_flow_, &reset);
}
