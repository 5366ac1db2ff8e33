#include "private/stream_balancer_private.h"

#include "ragwortyoke/clock.h"

/* Queries of searches, collected for each agent.  */

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
  rgy_stream_emit_message (&b->settings.out, agent->ip, &message);
  g_byte_array_set_size (agent->queried, 0);
}

static int64_t
query_interval_us_ (const struct rgy_stream_balancer *b)
{
  return MAX (QUERY_INTERVAL_US,
              g_hash_table_size (b->agents) * QUERY_COST_US);
}

/* Asks an agent about a flow: at once, or together with others when it was
   asked only a moment ago.  */
void
rgy_stream_balancer_query_ (struct rgy_stream_balancer *b,
                            const struct rgy_flow_key *key,
                            struct rgy_known_agent *agent, int64_t now_us)
{
  uint8_t ends[RGY_FLOW_ENDS_BYTES];

  if (b->query_tokens < 1)
    return; /* Asked again when the query is repeated.  */
  b->query_tokens--;
  rgy_flow_ends_encode (key, ends);
  g_byte_array_append (agent->queried, ends, sizeof ends);
  if (now_us - agent->queried_us >= query_interval_us_ (b)
      || agent->queried->len >= RGY_STREAM_MAX_QUERIED * sizeof ends)
    flush_queries_ (b, agent, now_us);
}

void
rgy_stream_balancer_send_queries_ (struct rgy_stream_balancer *b,
                                   int64_t now_us)
{
  int64_t interval_us = query_interval_us_ (b);
  GHashTableIter iter;
  void *value;

  b->query_tokens = MIN (b->query_tokens
                             + (double)(now_us - b->tokens_us) / RGY_US_PER_S
                                   * QUERIED_PER_S,
                         QUERIED_BURST);
  b->tokens_us = now_us;
  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rgy_known_agent *agent = value;

      if (now_us - agent->queried_us >= interval_us)
        flush_queries_ (b, agent, now_us);
    }
}
