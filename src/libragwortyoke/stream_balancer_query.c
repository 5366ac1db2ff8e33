#include "private/stream_balancer_private.h"

#include "ragwortyoke/clock.h"

static void
flush_queries_ (struct rgy_stream_balancer *b, struct rgy_known_agent *agent,
                int64_t now_us)
{
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_QUERY,
          .u.queried
          = { .data = agent->queried->data, .len = agent->queried->len } };

  if (agent->queried->len == 0)
    return;
  agent->queried_us = now_us;
  rgy_stream_balancer_send_message_ (b, agent->ip, &message);
  g_byte_array_set_size (agent->queried, 0);
}

static int64_t
get_query_interval_us_ (const struct rgy_stream_balancer *b)
{
  return MAX (QUERY_INTERVAL_US,
              g_hash_table_size (b->agents) * QUERY_AGENT_INTERVAL_US);
}

/* Queries an agent about a flow.  The query is sent at once, or later together
   with others if the last query to the agent was sent only a moment ago.  */
void
rgy_stream_balancer_queue_query_ (struct rgy_stream_balancer *b,
                                  const struct rgy_flow_key *key,
                                  struct rgy_known_agent *agent,
                                  int64_t now_us)
{
  uint8_t ends[RGY_FLOW_ENDPOINTS_BYTES];

  if (b->query_tokens < 1)
    return; /* The lookup repeats the query.  */
  b->query_tokens--;
  rgy_flow_endpoints_encode (key, ends);
  g_byte_array_append (agent->queried, ends, sizeof ends);
  if (now_us - agent->queried_us >= get_query_interval_us_ (b)
      || agent->queried->len >= RGY_STREAM_MAX_QUERIED * sizeof ends)
    flush_queries_ (b, agent, now_us);
}

void
rgy_stream_balancer_send_queries_ (struct rgy_stream_balancer *b,
                                   int64_t now_us)
{
  int64_t interval_us = get_query_interval_us_ (b);
  GHashTableIter iter;
  void *value;

  b->query_tokens = MIN (b->query_tokens
                             + (double)(now_us - b->tokens_updated_us)
                                   / RGY_US_PER_S * QUERIED_FLOWS_PER_S,
                         QUERIED_FLOWS_BURST);
  b->tokens_updated_us = now_us;
  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rgy_known_agent *agent = value;

      if (now_us - agent->queried_us >= interval_us)
        flush_queries_ (b, agent, now_us);
    }
}
