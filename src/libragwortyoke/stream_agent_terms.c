#include "private/stream_agent_private.h"

/* Rank of a balancer as the receiver of a query; the lowest one is chosen.  */
static unsigned
get_rank_ (const struct rgy_stream_agent *agent,
           const struct rgy_agent_balancer *b)
{
  if (b->terms_overdue)
    return 4;
  return (b->ip == agent->forwarder_ip ? 0 : 2)
         + (rgy_stream_agent_is_near_balancer_ (agent, b) ? 0 : 1);
}

/* Orders balancers as receivers of a query.  Those of one rank are ordered by
   a hash that differs between agents, or in turn if their answers are
   overdue.  */
static bool
precedes_ (const struct rgy_stream_agent *agent,
           const struct rgy_agent_balancer *a,
           const struct rgy_agent_balancer *b)
{
  unsigned rank = get_rank_ (agent, a);
  uint64_t salt = agent->settings.incarnation;

  if (rank != get_rank_ (agent, b))
    return rank < get_rank_ (agent, b);
  if (a->terms_overdue)
    return a->terms_asked_us < b->terms_asked_us;
  return (rgy_stream_hash_balancer (a->ip) ^ salt)
         < (rgy_stream_hash_balancer (b->ip) ^ salt);
}

static struct rgy_agent_balancer *
choose_balancer_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  struct rgy_agent_balancer *chosen = NULL;
  guint i;

  for (i = 0; i < agent->balancers->len; i++)
    {
      struct rgy_agent_balancer *b
          = &g_array_index (agent->balancers, struct rgy_agent_balancer, i);

      if (rgy_agent_balancer_has_feature_ (b, RGY_STREAM_STATES_TERMS, now_us)
          && (chosen == NULL || precedes_ (agent, b, chosen)))
        chosen = b;
    }
  return chosen;
}

/* Marks balancers whose answer is overdue, and gives those another chance that
   were marked long ago.  */
static void
update_overdue_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  char ip[RGY_IP_TEXT_BYTES];
  guint i;

  for (i = 0; i < agent->balancers->len; i++)
    {
      struct rgy_agent_balancer *b
          = &g_array_index (agent->balancers, struct rgy_agent_balancer, i);

      if (b->terms_pending_us == 0)
        continue;
      if (now_us - b->terms_asked_us >= TERMS_AVOIDED_US)
        {
          b->terms_pending_us = 0;
          b->terms_overdue = false;
        }
      else if (!b->terms_overdue
               && now_us - b->terms_pending_us >= RGY_ROUTE_TERMS_REPEAT_US)
        {
          b->terms_overdue = true;
          ++*agent->n_terms_unanswered;
          rgy_stream_emit_log (
              &agent->settings.out,
              "terms_unanswered balancer=%s "
              "waited_ms=%" G_GINT64_FORMAT " version=%" G_GUINT64_FORMAT,
              rgy_ip_format (b->ip, ip),
              (now_us - b->terms_pending_us) / RGY_US_PER_MS,
              rgy_route_terms_get_newest_version (agent->terms));
        }
    }
}

void
rgy_stream_agent_send_terms_queries_ (struct rgy_stream_agent *agent,
                                      int64_t now_us)
{
  struct rgy_endpoint routes[RGY_STREAM_MAX_TERMS];
  uint8_t encoded[RGY_STREAM_MAX_TERMS * RGY_ROUTE_ADDRESS_BYTES];
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_TERMS_QUERY,
          .u.queried_routes = { .data = encoded } };
  struct rgy_agent_balancer *b;
  size_t n;
  size_t i;

  if (!rgy_route_terms_is_due (agent->terms, now_us))
    return;
  update_overdue_ (agent, now_us);
  b = choose_balancer_ (agent, now_us);
  if (b == NULL)
    {
      rgy_route_terms_postpone (agent->terms, now_us);
      return;
    }
  n = rgy_route_terms_take_queries (agent->terms, routes, now_us);
  if (n == 0)
    return;
  for (i = 0; i < n; i++)
    rgy_route_address_encode (routes[i],
                              encoded + i * RGY_ROUTE_ADDRESS_BYTES);
  message.u.queried_routes.len = n * RGY_ROUTE_ADDRESS_BYTES;
  b->terms_asked_us = now_us;
  if (b->terms_pending_us == 0)
    b->terms_pending_us = now_us;
  rgy_stream_agent_send_message_ (agent, b->ip, &message);
}

struct rgy_request_terms
rgy_stream_agent_get_terms_ (struct rgy_stream_agent *agent,
                             const struct rgy_segment *segment, int64_t now_us)
{
  struct rgy_endpoint route = segment->key.u.segment.service;
  struct rgy_request_terms terms;

  if (segment->trail.balancer_ip != 0)
    agent->forwarder_ip = segment->trail.balancer_ip;
  if (!rgy_route_terms_use (agent->terms, route, now_us))
    ++*agent->n_terms_full;
  rgy_stream_agent_send_terms_queries_ (agent, now_us);
  if (!rgy_route_terms_find (agent->terms, route, segment->trail.goal_us,
                             &terms))
    ++*agent->n_terms_unstated;
  return terms;
}

static void
log_effect_ (struct rgy_stream_agent *agent, struct rgy_endpoint route,
             enum rgy_terms_effect effect, uint64_t version,
             uint32_t balancer_ip, int64_t age_us)
{
  struct rgy_request_terms terms;
  char address[RGY_ENDPOINT_TEXT_BYTES];
  char ip[RGY_IP_TEXT_BYTES];

  (void)rgy_route_terms_find (agent->terms, route, 0, &terms);
  rgy_stream_emit_log (
      &agent->settings.out,
      "route_terms address=%s effect=%s priority=%u goal_ms=%" G_GINT64_FORMAT
      " limit_ms=%" G_GINT64_FORMAT " repeatable=%d version=%" G_GUINT64_FORMAT
      " balancer=%s age_ms=%" G_GINT64_FORMAT,
      rgy_endpoint_format (route, address), rgy_terms_effect_string[effect],
      terms.priority, terms.goal_us / RGY_US_PER_MS,
      terms.limit_us / RGY_US_PER_MS, terms.repeatable, version,
      rgy_ip_format (balancer_ip, ip), age_us / RGY_US_PER_MS);
}

void
rgy_stream_agent_handle_terms_ (struct rgy_stream_agent *agent,
                                struct rgy_agent_balancer *b,
                                const struct rgy_stream_terms *stated,
                                int64_t now_us)
{
  size_t i;

  if (b == NULL)
    return;
  for (i = 0; i < stated->routes.len; i += RGY_ROUTE_TERMS_BYTES)
    {
      struct rgy_endpoint route;
      struct rgy_request_terms terms;
      bool is_listed
          = rgy_route_terms_decode (stated->routes.data + i, &route, &terms);
      int64_t age_us;
      enum rgy_terms_effect effect = rgy_route_terms_apply (
          agent->terms, route, is_listed ? &terms : NULL,
          stated->manifest_version, now_us, &age_us);

      ++*agent->n_terms_answers[effect];
      if (effect == RGY_TERMS_CHANGED || effect == RGY_TERMS_REMOVED)
        log_effect_ (agent, route, effect, stated->manifest_version, b->ip,
                     age_us);
    }
  /* A balancer that is behind counts as one that does not answer, so that the
     query is repeated to another one.  */
  if (stated->manifest_version
      >= rgy_route_terms_get_newest_version (agent->terms))
    {
      b->terms_pending_us = 0;
      b->terms_overdue = false;
    }
}
