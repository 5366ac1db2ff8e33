#include "private/stream_balancer_private.h"

struct agent_flows_
{
  struct rgy_stream_balancer *balancer;
  uint32_t ip;
};

static bool
uncache_flow_of_agent_ (struct rgy_flow *flow, void *ctx)
{
  struct agent_flows_ *agent_flows = ctx;
  const struct rgy_cached_flow *cached = flow->session;

  if (cached->agent_ip == agent_flows->ip
      && cached->certainty == RGY_FLOW_OPEN)
    rgy_stream_balancer_uncache_flow_ (agent_flows->balancer, flow);
  return true;
}

void
rgy_stream_balancer_uncache_agent_flows_ (struct rgy_stream_balancer *b,
                                          uint32_t ip)
{
  struct agent_flows_ agent_flows = { .balancer = b, .ip = ip };

  rgy_flow_table_foreach (b->flows, uncache_flow_of_agent_, &agent_flows);
}

void
rgy_stream_balancer_uncache_flow_ (struct rgy_stream_balancer *b,
                                   struct rgy_flow *flow)
{
  g_free (flow->session);
  flow->session = NULL;
  rgy_flow_table_close (b->flows, flow);
}

void
rgy_stream_balancer_cache_flow_ (struct rgy_stream_balancer *b,
                                 const struct rgy_flow_key *key,
                                 uint32_t agent_ip,
                                 enum rgy_flow_certainty certainty,
                                 int64_t now_us)
{
  struct rgy_flow *flow = rgy_flow_table_find (b->flows, key);
  struct rgy_cached_flow *cached = flow == NULL ? NULL : flow->session;
  const struct rgy_pending_open *open;

  if (cached != NULL && cached->certainty > certainty
      && rgy_stream_balancer_find_agent_ (b, cached->agent_ip) != NULL)
    return;
  if (cached != NULL && certainty == RGY_FLOW_OPEN
      && cached->agent_ip != agent_ip)
    {
      /* It may be another flow, which the caller opened from the same port
         through another balancer.  */
      rgy_stream_balancer_uncache_flow_ (b, flow);
      flow = NULL;
    }
  if (flow == NULL)
    {
      if (rgy_flow_table_open (b->flows, key, now_us, &flow) != RGY_OK)
        return;
      cached = g_new0 (struct rgy_cached_flow, 1);
      flow->session = cached;
    }
  else
    rgy_flow_table_touch (b->flows, flow, now_us);
  g_assert (cached != NULL);
  cached->agent_ip = agent_ip;
  cached->certainty = certainty;
  if (certainty == RGY_FLOW_PLACED)
    return;
  /* The placement ends here instead of on RGY_STREAM_ACCEPTED, because that
     message may be lost; the agent's report then makes the owner known.  */
  open = g_hash_table_lookup (b->opens, key);
  if (open != NULL)
    rgy_histogram_observe (b->open_time, now_us - open->began_us);
  g_hash_table_remove (b->opens, key);
  rgy_stream_balancer_complete_lookup_ (b, key, agent_ip, now_us);
}

void
rgy_stream_balancer_forward_first_segment_ (struct rgy_stream_balancer *b,
                                            const struct rgy_flow_key *key,
                                            struct rgy_bytes raw,
                                            uint32_t agent_ip,
                                            enum rgy_segment_mark mark)
{
  const struct rgy_known_agent *agent
      = rgy_stream_balancer_find_agent_ (b, agent_ip);
  const struct rgy_route *route = rgy_stream_balancer_find_route_ (b, key);

  rgy_stream_emit_segment (
      &b->settings.out, RGY_STREAM_TO_AGENT, agent_ip, key, raw,
      (struct rgy_segment_trailer){
          .service_tag = agent == NULL ? 0 : agent->tag,
          .balancer_ip = b->settings.own_ip,
          .mark = mark,
          .goal_us = route == NULL ? 0 : route->terms.goal_us });
}

void
rgy_stream_balancer_forward_segment_ (struct rgy_stream_balancer *b,
                                      const struct rgy_flow_key *key,
                                      struct rgy_bytes raw, uint32_t agent_ip)
{
  rgy_stream_balancer_forward_first_segment_ (b, key, raw, agent_ip,
                                              RGY_MARK_NONE);
}

void
rgy_stream_balancer_from_router (struct rgy_stream_balancer *b,
                                 const struct rgy_segment *segment,
                                 int64_t now_us)
{
  struct rgy_flow *flow;
  const struct rgy_cached_flow *cached;
  const struct rgy_known_agent *agent;

  ++*b->n_segments;
  if (rgy_segment_is_opening (segment))
    {
      rgy_stream_balancer_open_flow_ (b, segment, now_us);
      return;
    }
  /* The caller has got the answer of an agent whose acceptance was lost.  */
  if ((segment->flags & RGY_SEGMENT_ACK) != 0)
    g_hash_table_remove (b->opens, &segment->key);
  flow = rgy_flow_table_find (b->flows, &segment->key);
  if (flow == NULL)
    {
      rgy_stream_balancer_look_up_flow_ (b, segment, 0, now_us);
      return;
    }
  cached = flow->session;
  agent = rgy_stream_balancer_find_agent_ (b, cached->agent_ip);
  if (agent == NULL
      || (rgy_known_agent_is_dead_ (agent, now_us)
          && rgy_stream_balancer_is_settled_ (b, now_us)))
    {
      rgy_stream_balancer_uncache_flow_ (b, flow);
      rgy_stream_balancer_look_up_flow_ (b, segment, 0, now_us);
      return;
    }
  rgy_flow_table_touch (b->flows, flow, now_us);
  rgy_stream_balancer_forward_segment_ (b, &segment->key, segment->raw,
                                        agent->ip);
}

void
rgy_stream_balancer_from_agent (struct rgy_stream_balancer *b,
                                const struct rgy_segment *segment,
                                uint32_t agent_ip, int64_t now_us)
{
  struct rgy_flow *flow;

  if (segment->trail.mark != RGY_MARK_NOT_OWNED
      || rgy_stream_balancer_find_agent_ (b, agent_ip) == NULL)
    {
      ++*b->n_unknown_agents;
      return;
    }
  flow = rgy_flow_table_find (b->flows, &segment->key);
  if (flow != NULL)
    {
      const struct rgy_cached_flow *cached = flow->session;

      if (cached->agent_ip != agent_ip)
        {
          /* The owner of the flow became known after the segment was
             forwarded.  */
          rgy_stream_balancer_forward_segment_ (b, &segment->key, segment->raw,
                                                cached->agent_ip);
          return;
        }
      rgy_stream_balancer_uncache_flow_ (b, flow);
    }
  rgy_stream_balancer_look_up_flow_ (b, segment, agent_ip, now_us);
}

static void
handle_answers_ (struct rgy_stream_balancer *b, struct rgy_bytes answers,
                 uint32_t ip, int64_t now_us)
{
  size_t i;

  for (i = 0; i < answers.len; i += RGY_FLOW_ANSWER_BYTES)
    {
      struct rgy_flow_key key = rgy_flow_endpoints_decode (answers.data + i);

      rgy_stream_balancer_handle_answer_ (
          b, &key, ip,
          (enum rgy_flow_ownership)answers.data[i + RGY_FLOW_ENDPOINTS_BYTES],
          now_us);
    }
}

enum rgy_outcome
rgy_stream_balancer_from_message (struct rgy_stream_balancer *b,
                                  struct rgy_bytes bytes, uint32_t from_ip,
                                  int64_t now_us)
{
  struct rgy_stream_message message;
  enum rgy_outcome rc = rgy_stream_message_decode (bytes, &message);

  if (rc != RGY_OK)
    {
      ++*b->n_bad_messages;
      return rc;
    }
  switch (message.kind)
    {
    case RGY_STREAM_REPORT:
      rgy_stream_balancer_handle_report_ (b, &message.u.report, from_ip,
                                          now_us);
      return RGY_OK;
    case RGY_STREAM_BRIEF_REPORT:
      rgy_stream_balancer_handle_brief_report_ (b, &message.u.brief, from_ip,
                                                now_us);
      return RGY_OK;
    case RGY_STREAM_LOAD_REPORT:
      rgy_stream_balancer_handle_load_report_ (b, &message.u.load, from_ip,
                                               now_us);
      return RGY_OK;
    case RGY_STREAM_OPEN_FLOWS:
      rgy_stream_balancer_handle_open_flows_ (b, &message.u.open_flows,
                                              from_ip, now_us);
      return RGY_OK;
    case RGY_STREAM_STATUS:
      rgy_stream_balancer_handle_status_ (b, &message.u.status, from_ip,
                                          now_us);
      return RGY_OK;
    case RGY_STREAM_ACCEPTED:
      rgy_stream_balancer_handle_accepted_ (b, &message.u.flow.key, from_ip,
                                            now_us);
      return RGY_OK;
    case RGY_STREAM_REFUSED:
      rgy_stream_balancer_handle_refused_ (b, &message.u.flow.key, from_ip,
                                           message.u.flow.reason, now_us);
      return RGY_OK;
    case RGY_STREAM_ANSWER:
      handle_answers_ (b, message.u.answers, from_ip, now_us);
      return RGY_OK;
    case RGY_STREAM_TERMS_QUERY:
      rgy_stream_balancer_answer_terms_query_ (b, message.u.queried_routes,
                                               from_ip);
      return RGY_OK;
    case RGY_STREAM_REPORT_ACK:
    case RGY_STREAM_REPORT_REQUEST:
    case RGY_STREAM_QUERY:
    case RGY_STREAM_FEATURES:
    case RGY_STREAM_FORMER_FLOWS:
    case RGY_STREAM_TERMS:
    case RGY_STREAM_MESSAGE_KIND_COUNT:
      break;
    }
  ++*b->n_bad_messages;
  return RGY_ERR_UNSUPPORTED;
}
