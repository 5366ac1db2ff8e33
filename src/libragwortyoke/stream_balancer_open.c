#include "private/stream_balancer_private.h"

#include <string.h>

#include "ragwortyoke/clock.h"

/* Latency goal of a route that states none, for the decision whether its first
   service has room.  */
#define DEFAULT_GOAL_US INT64_C (200000)

/* True if an agent of the service may soon be ready: it has just started, is
   restarting, or is unresponsive and not yet declared dead.  */
static bool
service_may_recover_ (const struct rgy_stream_balancer *b, uint32_t tag,
                      int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  if (!rgy_stream_balancer_is_settled_ (b, now_us))
    return true;
  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_known_agent *agent = value;

      if ((agent->tag == tag || agent->tag == 0)
          && !rgy_known_agent_is_dead_ (agent, now_us)
          && agent->report.state != RGY_BACKEND_DRAINING
          && !rgy_domain_view_is_out (&b->view, &agent->report.domain))
        return true;
    }
  return false;
}

static bool
route_may_recover_ (const struct rgy_stream_balancer *b,
                    const struct rgy_route *route, int64_t now_us)
{
  size_t i;

  for (i = 0; i < route->n_targets; i++)
    if (route->targets[i].weight > 0
        && service_may_recover_ (b, route->targets[i].tag, now_us))
      return true;
  return false;
}

static struct rgy_known_agent *
choose_agent_ (struct rgy_stream_balancer *b,
               const struct rgy_pending_open *open,
               const struct rgy_route *route, int64_t now_us)
{
  size_t first = rgy_route_choose (route, rgy_flow_key_hash (&open->key));
  struct rgy_agent_choice choice
      = rgy_stream_balancer_choose_agent_of_service_ (
          b, open, route, route->targets[first].tag, now_us);
  bool is_full = choice.agent != NULL && choice.placement.has_load
                 && choice.placement.delay_us > (route->terms.goal_us > 0
                                                     ? route->terms.goal_us
                                                     : DEFAULT_GOAL_US);
  struct rgy_known_agent *agent = choice.agent;
  size_t i;

  if (!is_full
      && (agent != NULL
          || (now_us - open->began_us < OTHER_SERVICE_WAIT_US
              && service_may_recover_ (b, route->targets[first].tag, now_us))))
    return agent;
  for (i = 1; i < route->n_targets; i++)
    {
      const struct rgy_route_target *target
          = &route->targets[(first + i) % route->n_targets];

      if (target->weight == 0)
        continue;
      choice = rgy_stream_balancer_choose_agent_of_service_ (
          b, open, route, target->tag, now_us);
      if (choice.agent == NULL || (is_full && !choice.placement.has_room))
        continue;
      if (is_full)
        ++*b->n_other_service;
      return choice.agent;
    }
  return agent;
}

/* True if the first segment and all copies sent so far reached this balancer.
   Otherwise another balancer may have got one of them and opened the flow.  */
static bool
has_seen_all_copies_ (const struct rgy_pending_open *open, int64_t now_us)
{
  int64_t waited_us = now_us - open->began_us;
  uint32_t due = 0;

  if (waited_us > FIRST_COPY_DUE_US)
    due++;
  if (waited_us > SECOND_COPY_DUE_US)
    due++;
  return !open->missed_first && open->copies >= due;
}

/* Ends a new flow that no agent accepts.  */
static void
reject_flow_ (struct rgy_stream_balancer *b, struct rgy_pending_open *open,
              const char *why, int64_t now_us)
{
  char text[RGY_FLOW_TEXT_BYTES];
  /* Under overload the flow ends before the time in which an answer of another
     agent would have come.  */
  bool certain = has_seen_all_copies_ (open, now_us)
                 && !(open->is_last_offer && open->unanswered);

  rgy_stream_emit_flow_log (
      &b->settings.out,
      "open_rejected flow=%s reason=%s tried=%zu overloaded=%u "
      "unanswered=%d waited_ms=%" G_GINT64_FORMAT
      " copies=%u agents=%zu version=%" G_GUINT64_FORMAT " outcome=%s",
      rgy_flow_key_format (&open->key, text), why, open->n_tried,
      open->n_overloaded, open->unanswered,
      (now_us - open->began_us) / RGY_US_PER_MS, open->copies,
      rgy_stream_balancer_count_agents (b, now_us),
      rgy_stream_balancer_get_version (b), certain ? "reset" : "dropped");
  if (!certain)
    {
      ++*b->n_dropped;
      return;
    }
  ++*b->n_resets;
  rgy_stream_emit_reset (&b->settings.out, &open->key, 0);
}

static void
record_caller_seq_ (struct rgy_stream_balancer *b,
                    const struct rgy_pending_open *open)
{
  const struct rgy_flow *flow = rgy_flow_table_find (b->flows, &open->key);
  struct rgy_cached_flow *cached = flow == NULL ? NULL : flow->session;

  if (cached == NULL)
    return;
  cached->has_caller_seq = true;
  cached->caller_seq = open->caller_seq;
}

/* Finds the cached flow of a first segment.  A flow that the caller has
   forgotten, because it uses its port for a new one, is removed from the
   cache.  */
static const struct rgy_cached_flow *
find_opening_flow_ (struct rgy_stream_balancer *b,
                    const struct rgy_segment *segment, int64_t now_us)
{
  struct rgy_flow *flow = rgy_flow_table_find (b->flows, &segment->key);
  const struct rgy_cached_flow *cached = flow == NULL ? NULL : flow->session;

  if (cached == NULL)
    return NULL;
  if (cached->has_caller_seq
          ? cached->caller_seq == segment->seq
          : now_us - flow->opened_us <= RGY_SEGMENT_OPENING_US)
    return cached;
  rgy_stream_balancer_uncache_flow_ (b, flow);
  return NULL;
}

/* Chooses the agent for the next offer, which may be the last one.  */
static struct rgy_known_agent *
choose_next_agent_ (struct rgy_stream_balancer *b,
                    struct rgy_pending_open *open,
                    const struct rgy_route *route, int64_t now_us)
{
  struct rgy_known_agent *agent = NULL;

  if (open->n_tried < MAX_TRIED_AGENTS
      && (open->is_last_offer || open->n_overloaded < MAX_OVERLOADED_AGENTS))
    agent = choose_agent_ (b, open, route, now_us);
  if (agent != NULL || open->n_overloaded == 0 || open->is_last_offer)
    return agent;
  open->is_last_offer = true;
  ++*b->n_last_offers;
  return rgy_stream_balancer_choose_least_loaded_agent_ (b, open, route,
                                                         now_us);
}

static void
send_offer_ (struct rgy_stream_balancer *b, struct rgy_pending_open *open,
             struct rgy_known_agent *agent, int64_t now_us)
{
  if (open->n_tried > 0)
    ++*b->n_retries;
  if (!rgy_pending_open_was_tried_ (open, agent->ip)
      && open->n_tried < MAX_TRIED_AGENTS)
    open->tried[open->n_tried++] = agent->ip;
  open->current_ip = agent->ip;
  open->sent_us = now_us;
  rgy_stream_balancer_note_placed_ (b, agent, now_us);
  rgy_stream_balancer_cache_flow_ (b, &open->key, agent->ip, RGY_FLOW_PLACED,
                                   now_us);
  record_caller_seq_ (b, open);
  rgy_stream_balancer_forward_first_segment_ (
      b, &open->key,
      (struct rgy_bytes){ .data = open->raw, .len = open->raw_len }, agent->ip,
      open->is_last_offer ? RGY_MARK_LAST_OFFER : RGY_MARK_NONE);
}

/* Offers a new flow to the next agent.  Returns false if the placement has
   ended because the flow was rejected or its time is over.  */
static bool
offer_flow_ (struct rgy_stream_balancer *b, struct rgy_pending_open *open,
             int64_t now_us)
{
  const struct rgy_route *route
      = rgy_stream_balancer_find_route_ (b, &open->key);
  struct rgy_known_agent *agent;

  open->current_ip = 0;
  if (now_us - open->began_us > OPEN_EXPIRE_US)
    return false;
  if (route == NULL)
    {
      if (b->manifest == NULL)
        return now_us - open->began_us < OPEN_WAIT_US;
      reject_flow_ (b, open, "no-route", now_us);
      return false;
    }
  agent = choose_next_agent_ (b, open, route, now_us);
  if (agent == NULL)
    {
      if (now_us - open->began_us < OPEN_WAIT_US
          && route_may_recover_ (b, route, now_us))
        {
          open->n_tried = 0;
          open->sent_us = now_us;
          return true;
        }
      reject_flow_ (b, open, "no-backend-server", now_us);
      return false;
    }
  send_offer_ (b, open, agent, now_us);
  return true;
}

void
rgy_stream_balancer_open_flow_ (struct rgy_stream_balancer *b,
                                const struct rgy_segment *segment,
                                int64_t now_us)
{
  struct rgy_pending_open *open
      = g_hash_table_lookup (b->opens, &segment->key);
  const struct rgy_cached_flow *cached;

  if (open != NULL && open->caller_seq != segment->seq)
    {
      g_hash_table_remove (b->opens, &segment->key);
      open = NULL;
    }
  if (open != NULL)
    {
      /* The segment is a copy of the first one; the timer offers the flow to
         further agents.  */
      open->copies = MAX (open->copies, segment->ack);
      return;
    }
  cached = find_opening_flow_ (b, segment, now_us);
  if (cached != NULL && cached->certainty != RGY_FLOW_PLACED
      && segment->ack < 2
      && rgy_stream_balancer_find_agent_ (b, cached->agent_ip) != NULL)
    {
      /* The caller repeats its first segment although an agent has accepted
         the flow, so the answer did not reach the caller.  The first copy is
         forwarded to the same agent, the second one to another agent.  */
      rgy_stream_balancer_forward_segment_ (b, &segment->key, segment->raw,
                                            cached->agent_ip);
      return;
    }
  if (g_hash_table_size (b->opens) >= MAX_PENDING_FLOWS)
    {
      ++*b->n_dropped;
      return;
    }
  ++*b->n_opens;
  open = g_new0 (struct rgy_pending_open, 1);
  open->key = segment->key;
  open->raw = g_memdup2 (segment->raw.data, segment->raw.len);
  open->raw_len = segment->raw.len;
  open->caller_seq = segment->seq;
  open->began_us = now_us;
  open->missed_first = segment->ack > 0;
  if (cached != NULL)
    open->tried[open->n_tried++] = cached->agent_ip;
  g_hash_table_add (b->opens, open);
  if (!offer_flow_ (b, open, now_us))
    g_hash_table_remove (b->opens, &segment->key);
}

void
rgy_stream_balancer_delay_open_timers_ (struct rgy_stream_balancer *b,
                                        int64_t late_us)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, b->opens);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct rgy_pending_open *)value)->sent_us += late_us;
}

void
rgy_stream_balancer_retry_opens_ (struct rgy_stream_balancer *b,
                                  int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, b->opens);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rgy_pending_open *open = value;

      if (now_us - open->sent_us < OPEN_RETRY_US
          && (open->current_ip != 0
              || now_us - open->sent_us < OPEN_RETRY_US / 2))
        continue;
      open->unanswered = open->unanswered || open->current_ip != 0;
      if (!offer_flow_ (b, open, now_us))
        g_hash_table_iter_remove (&iter);
    }
}

void
rgy_stream_balancer_handle_accepted_ (struct rgy_stream_balancer *b,
                                      const struct rgy_flow_key *key,
                                      uint32_t ip, int64_t now_us)
{
  struct rgy_known_agent *agent = rgy_stream_balancer_find_agent_ (b, ip);

  if (agent == NULL)
    {
      ++*b->n_unknown_agents;
      return;
    }
  agent->excluded_until_us = 0;
  rgy_stream_balancer_cache_flow_ (b, key, ip, RGY_FLOW_ACCEPTED, now_us);
}

void
rgy_stream_balancer_handle_refused_ (struct rgy_stream_balancer *b,
                                     const struct rgy_flow_key *key,
                                     uint32_t ip,
                                     enum rgy_stream_refusal reason,
                                     int64_t now_us)
{
  struct rgy_pending_open *open = g_hash_table_lookup (b->opens, key);
  struct rgy_known_agent *agent = rgy_stream_balancer_find_agent_ (b, ip);

  if (agent != NULL)
    switch (reason)
      {
      case RGY_REFUSED_SERVICE:
      case RGY_REFUSED_STATE:
      case RGY_REFUSED_DOMAIN:
      case RGY_REFUSED_RESTARTING:
      case RGY_REFUSED_COLD:
        agent->excluded_until_us = now_us + OPEN_RETRY_US * 2;
        break;
      case RGY_REFUSED_FULL:
      case RGY_REFUSED_OVERLOAD:
      case RGY_STREAM_REFUSAL_COUNT:
        break;
      }
  if (open == NULL || open->current_ip != ip)
    return;
  if (reason == RGY_REFUSED_OVERLOAD && open->is_last_offer)
    {
      ++*b->n_overload_resets;
      reject_flow_ (b, open, "overload", now_us);
      g_hash_table_remove (b->opens, key);
      return;
    }
  open->n_overloaded += reason == RGY_REFUSED_OVERLOAD;
  if (!offer_flow_ (b, open, now_us))
    g_hash_table_remove (b->opens, key);
}
