#include "private/stream_balancer_private.h"

#include "ragwortyoke/clock.h"

static struct rgy_lookup_candidate *
find_candidate_ (struct rgy_lookup *lookup, uint32_t ip)
{
  guint i;

  for (i = 0; i < lookup->candidates->len; i++)
    {
      struct rgy_lookup_candidate *candidate = &g_array_index (
          lookup->candidates, struct rgy_lookup_candidate, i);

      if (candidate->ip == ip)
        return candidate;
    }
  return NULL;
}

static bool
has_denied_flow_ (const struct rgy_lookup_candidate *candidate)
{
  return candidate->answered && candidate->answer == RGY_FLOW_NOT_OWNED;
}

static void
buffer_segment_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
                 const struct rgy_segment *segment)
{
  if ((segment->flags & RGY_SEGMENT_ACK) != 0)
    lookup->caller_ack = segment->ack;
  if (lookup->n_buffered == MAX_BUFFERED_SEGMENTS)
    {
      ++*b->n_dropped;
      return;
    }
  lookup->buffered[lookup->n_buffered++]
      = (struct rgy_buffered_segment){ .data = g_memdup2 (segment->raw.data,
                                                          segment->raw.len),
                                       .len = segment->raw.len };
}

/* Repeats the queries to agents that have not answered.  Preferred agents,
   which most likely own the flow, are also asked about the outcome of a
   probe.  */
static void
repeat_queries_of_lookup_ (struct rgy_stream_balancer *b,
                           struct rgy_lookup *lookup, int64_t now_us)
{
  guint i;

  lookup->queries_sent_us = now_us;
  lookup->repeat_after_us = QUERY_REPEAT_LATER_US;
  for (i = 0; i < lookup->candidates->len; i++)
    {
      const struct rgy_lookup_candidate *candidate = &g_array_index (
          lookup->candidates, struct rgy_lookup_candidate, i);
      bool probed = candidate->probing
                    && candidate->answer == RGY_FLOW_OWNERSHIP_UNKNOWN
                    && candidate->stage <= STAGE_PREFERRED;
      struct rgy_known_agent *agent
          = candidate->answered && !probed
                ? NULL
                : rgy_stream_balancer_find_agent_ (b, candidate->ip);

      if (agent != NULL)
        rgy_stream_balancer_queue_query_ (b, &lookup->key, agent, now_us);
    }
}

static bool
is_agent_on_route_ (const struct rgy_known_agent *agent,
                    const struct rgy_route *route)
{
  size_t i;

  if (agent->tag == 0)
    return true; /* The agent was listed by a peer and has not reported
                    yet.  */
  for (i = 0; i < route->n_targets; i++)
    if (route->targets[i].tag == agent->tag)
      return true;
  return false;
}

/* Queries the preferred agents, or all agents, that were not queried yet.
   With ALL even agents of other services are queried: an open flow stays at
   its backend server when a manifest removes the service from the route, so no
   agent may be left out before a reset.  */
static void
query_agents_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
               bool all, int64_t now_us)
{
  const struct rgy_route *route
      = rgy_stream_balancer_find_route_ (b, &lookup->key);
  struct rgy_preference preference;
  GHashTableIter iter;
  void *value;

  lookup->all_queried = all;
  rgy_preference_init (&preference, 0);
  if (route != NULL)
    {
      size_t first
          = rgy_route_choose (route, rgy_flow_key_hash (&lookup->key));

      rgy_stream_balancer_get_preferred_ (
          b, &lookup->key, route->targets[first].tag, now_us, &preference);
    }
  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rgy_known_agent *agent = value;
      struct rgy_lookup_candidate candidate
          = { .ip = agent->ip,
              .stage = route != NULL && is_agent_on_route_ (agent, route)
                           ? STAGE_ROUTE
                           : STAGE_ALL };

      if (rgy_preference_has (&preference, agent->domain_hash, agent->ip))
        candidate.stage
            = rgy_name_equal (&agent->report.domain, &b->settings.domain)
                  ? STAGE_OWN_DOMAIN
                  : STAGE_PREFERRED;
      if ((!all && candidate.stage > STAGE_PREFERRED)
          || agent->report.state == RGY_BACKEND_ENDED
          || find_candidate_ (lookup, agent->ip) != NULL)
        continue;
      g_array_append_val (lookup->candidates, candidate);
      rgy_stream_balancer_queue_query_ (b, &lookup->key, agent, now_us);
    }
}

/* True while agents may be unknown only because this balancer has just started
   or was paused.  A lookup that finds no owner is then repeated instead of
   ended.  */
static bool
may_still_settle_ (const struct rgy_stream_balancer *b,
                   const struct rgy_lookup *lookup, int64_t now_us)
{
  return !rgy_stream_balancer_is_settled_ (b, now_us)
         && now_us - lookup->began_us < LOOKUP_MAX_US;
}

/* Answers of the agents to the queries of one lookup.  */
struct answer_counts_
{
  unsigned denied;
  unsigned unsure;
  unsigned unanswered;
  uint32_t possible_owner_ip; /* Agent that may own the flow; 0 if none.  */
};

static struct answer_counts_
count_answers_ (const struct rgy_lookup *lookup)
{
  struct answer_counts_ answers = { 0 };
  guint i;

  for (i = 0; i < lookup->candidates->len; i++)
    {
      const struct rgy_lookup_candidate *candidate = &g_array_index (
          lookup->candidates, struct rgy_lookup_candidate, i);

      if (has_denied_flow_ (candidate))
        {
          answers.denied++;
          continue;
        }
      answers.possible_owner_ip = candidate->ip;
      if (candidate->answered)
        answers.unsure++;
      else
        answers.unanswered++;
    }
  return answers;
}

/* Ends a lookup that found no owner.  The caller gets a reset only if no agent
   is left that might own the flow.  */
static void
end_failed_lookup_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
                    bool certain, int64_t now_us)
{
  char text[RGY_FLOW_TEXT_BYTES];
  char ip[RGY_IP_TEXT_BYTES];
  struct answer_counts_ answers = count_answers_ (lookup);

  if (may_still_settle_ (b, lookup, now_us))
    {
      lookup->awaits_settling = true;
      return;
    }
  certain = certain && rgy_stream_balancer_is_settled_ (b, now_us);
  rgy_stream_emit_flow_log (
      &b->settings.out,
      "flow_not_found flow=%s asked=%u no=%u unsure=%u unanswered=%u "
      "open_agent=%s known=%u waited_ms=%" G_GINT64_FORMAT
      " certain=%d outcome=%s",
      rgy_flow_key_format (&lookup->key, text), lookup->candidates->len,
      answers.denied, answers.unsure, answers.unanswered,
      answers.possible_owner_ip == 0
          ? "-"
          : rgy_ip_format (answers.possible_owner_ip, ip),
      g_hash_table_size (b->agents),
      (now_us - lookup->began_us) / RGY_US_PER_MS, certain,
      certain ? "reset" : "dropped");
  if (certain)
    {
      ++*b->n_resets;
      rgy_stream_emit_reset (&b->settings.out, &lookup->key,
                             lookup->caller_ack);
    }
  else
    *b->n_dropped += lookup->n_buffered;
  g_hash_table_remove (b->lookups, &lookup->key);
}

/* Forwards a buffered segment to the agents of the current stage that do not
   know whether they own the flow.  The last stage may reach backend servers of
   services that the active manifest does not name in the route: the flow may
   be there since an earlier manifest, and a backend server that does not serve
   it returns the segment unread.  */
static void
probe_unsure_agents_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
                      int64_t now_us)
{
  guint i;

  for (i = 0; i < lookup->candidates->len; i++)
    {
      struct rgy_lookup_candidate *candidate = &g_array_index (
          lookup->candidates, struct rgy_lookup_candidate, i);

      if (candidate->answer != RGY_FLOW_OWNERSHIP_UNKNOWN || candidate->probing
          || candidate->stage > lookup->stage || lookup->n_buffered == 0)
        continue;
      candidate->probing = true;
      lookup->deadline_us = now_us + LOOKUP_ROUND_US;
      rgy_stream_balancer_forward_segment_ (
          b, &lookup->key,
          (struct rgy_bytes){ .data = lookup->buffered[0].data,
                              .len = lookup->buffered[0].len },
          candidate->ip);
    }
}

/* Queries all agents that were not queried yet, including those that became
   known meanwhile.  Returns true if there were any.  */
static bool
query_all_agents_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
                   int64_t now_us)
{
  guint before = lookup->candidates->len;

  query_agents_ (b, lookup, true, now_us);
  if (lookup->candidates->len == before)
    return false;
  lookup->deadline_us = now_us + LOOKUP_ROUND_US;
  return true;
}

/* Begins the next stage of a lookup with more agents.  */
static void
begin_next_stage_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
                   int64_t now_us)
{
  if (lookup->stage < STAGE_ALL)
    lookup->stage++;
  lookup->stage_since_us = now_us;
  (void)query_all_agents_ (b, lookup, now_us);
  probe_unsure_agents_ (b, lookup, now_us);
}

/* What a lookup waits for.  */
struct lookup_progress_
{
  bool is_waiting;  /* An agent has not answered a query or a probe.  */
  bool has_untried; /* Some agents that do not know whether they own the flow
                       belong to a later stage.  */
  bool all_denied;
};

static struct lookup_progress_
get_lookup_progress_ (const struct rgy_lookup *lookup)
{
  struct lookup_progress_ progress = { .all_denied = true };
  guint i;

  for (i = 0; i < lookup->candidates->len; i++)
    {
      const struct rgy_lookup_candidate *candidate = &g_array_index (
          lookup->candidates, struct rgy_lookup_candidate, i);

      if (has_denied_flow_ (candidate))
        continue;
      progress.all_denied = false;
      if (!candidate->answered || candidate->probing)
        progress.is_waiting = true;
      else if (candidate->stage > lookup->stage)
        progress.has_untried = true;
    }
  return progress;
}

/* Advances a lookup as far as the answers allow; waits if an agent has yet to
   answer.  */
static void
continue_lookup_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
                  int64_t now_us)
{
  struct lookup_progress_ progress;

  do
    {
      probe_unsure_agents_ (b, lookup, now_us);
      progress = get_lookup_progress_ (lookup);
      if (progress.is_waiting)
        return;
      if (progress.has_untried)
        begin_next_stage_ (b, lookup, now_us);
    }
  while (progress.has_untried || query_all_agents_ (b, lookup, now_us));
  if (progress.all_denied)
    end_failed_lookup_ (b, lookup, true, now_us);
}

/* Queries the preferred agents, or all if they are few.  Without a manifest
   the lookup only buffers segments, because the preferred agents depend on the
   route.  */
static void
begin_lookup_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
               int64_t now_us)
{
  lookup->queries_sent_us = now_us;
  lookup->repeat_after_us = QUERY_REPEAT_US;
  lookup->stage_since_us = now_us;
  lookup->deadline_us = now_us + LOOKUP_ROUND_US;
  lookup->awaits_manifest = b->manifest == NULL;
  if (lookup->awaits_manifest)
    return;
  query_agents_ (b, lookup, g_hash_table_size (b->agents) <= QUERY_ALL_AGENTS,
                 now_us);
  continue_lookup_ (b, lookup, now_us);
}

void
rgy_stream_balancer_look_up_flow_ (struct rgy_stream_balancer *b,
                                   const struct rgy_segment *segment,
                                   uint32_t returned_by_ip, int64_t now_us)
{
  struct rgy_lookup *lookup = g_hash_table_lookup (b->lookups, &segment->key);
  const struct rgy_route *route;

  if (lookup != NULL && lookup->awaits_manifest)
    {
      buffer_segment_ (b, lookup, segment);
      return;
    }
  if (lookup != NULL)
    {
      struct rgy_lookup_candidate *candidate
          = find_candidate_ (lookup, returned_by_ip);

      if (candidate == NULL || !candidate->probing)
        buffer_segment_ (b, lookup, segment);
      if (candidate != NULL)
        {
          candidate->answered = true;
          candidate->answer = RGY_FLOW_NOT_OWNED;
          continue_lookup_ (b, lookup, now_us);
        }
      return;
    }
  route = rgy_stream_balancer_find_route_ (b, &segment->key);
  if (route == NULL && b->previous_manifest != NULL
      && rgy_stream_manifest_find (b->previous_manifest,
                                   segment->key.u.segment.service)
             != NULL)
    {
      /* The active manifest removed the route, and the flows on it with
         it.  */
      ++*b->n_resets;
      rgy_stream_emit_reset (&b->settings.out, &segment->key, segment->ack);
      return;
    }
  if ((route == NULL && b->manifest != NULL)
      || g_hash_table_size (b->lookups) >= MAX_PENDING_FLOWS)
    {
      ++*(route == NULL && b->manifest != NULL ? b->n_no_route : b->n_dropped);
      return;
    }
  ++*b->n_lookups;
  lookup = g_new0 (struct rgy_lookup, 1);
  lookup->key = segment->key;
  lookup->candidates
      = g_array_new (FALSE, TRUE, sizeof (struct rgy_lookup_candidate));
  lookup->began_us = now_us;
  buffer_segment_ (b, lookup, segment);
  g_hash_table_add (b->lookups, lookup);
  if (returned_by_ip != 0)
    {
      struct rgy_lookup_candidate returned_by
          = { .ip = returned_by_ip, .answered = true };

      g_array_append_val (lookup->candidates, returned_by);
    }
  begin_lookup_ (b, lookup, now_us);
}

void
rgy_stream_balancer_handle_answer_ (struct rgy_stream_balancer *b,
                                    const struct rgy_flow_key *key,
                                    uint32_t ip,
                                    enum rgy_flow_ownership ownership,
                                    int64_t now_us)
{
  struct rgy_lookup *lookup = g_hash_table_lookup (b->lookups, key);
  struct rgy_lookup_candidate *candidate
      = lookup == NULL ? NULL : find_candidate_ (lookup, ip);

  if (candidate == NULL)
    return;
  switch (ownership)
    {
    case RGY_FLOW_OWNED:
      ++*b->n_found;
      if (candidate->probing && lookup->n_buffered > 0)
        {
          /* The probe has delivered this segment already.  */
          g_free (lookup->buffered[0].data);
          lookup->buffered[0] = lookup->buffered[--lookup->n_buffered];
        }
      rgy_stream_balancer_cache_flow_ (b, key, ip, RGY_FLOW_OPEN, now_us);
      return;
    case RGY_FLOW_NOT_OWNED:
    case RGY_FLOW_OWNERSHIP_UNKNOWN:
      candidate->answered = true;
      candidate->answer = ownership;
      continue_lookup_ (b, lookup, now_us);
      return;
    case RGY_FLOW_OWNERSHIP_COUNT:
      return;
    }
}

void
rgy_stream_balancer_complete_lookup_ (struct rgy_stream_balancer *b,
                                      const struct rgy_flow_key *key,
                                      uint32_t agent_ip, int64_t now_us)
{
  struct rgy_lookup *lookup = g_hash_table_lookup (b->lookups, key);
  size_t i;

  if (lookup == NULL)
    return;
  rgy_histogram_observe (b->lookup_time, now_us - lookup->began_us);
  for (i = 0; i < lookup->n_buffered; i++)
    rgy_stream_balancer_forward_segment_ (
        b, key,
        (struct rgy_bytes){ .data = lookup->buffered[i].data,
                            .len = lookup->buffered[i].len },
        agent_ip);
  g_hash_table_remove (b->lookups, key);
}

/* True if no agent can own the flow any more.  An agent that has not denied it
   may still own it unless its machine is declared dead.  */
static bool
is_certainly_lost_ (const struct rgy_stream_balancer *b,
                    const struct rgy_lookup *lookup, int64_t now_us)
{
  guint i;

  for (i = 0; i < lookup->candidates->len; i++)
    {
      const struct rgy_lookup_candidate *candidate = &g_array_index (
          lookup->candidates, struct rgy_lookup_candidate, i);
      const struct rgy_known_agent *agent
          = rgy_stream_balancer_find_agent_ (b, candidate->ip);

      if (has_denied_flow_ (candidate))
        continue;
      if (agent != NULL && !rgy_known_agent_is_dead_ (agent, now_us))
        return false;
    }
  return true;
}

/* Begins another round of a lookup whose time is over.  A denial stays valid,
   because the flow was opened before the segment that is being looked up.  */
static void
extend_lookup_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
                int64_t now_us)
{
  guint i;

  lookup->deadline_us = now_us + LOOKUP_ROUND_US;
  for (i = 0; i < lookup->candidates->len; i++)
    {
      struct rgy_lookup_candidate *candidate = &g_array_index (
          lookup->candidates, struct rgy_lookup_candidate, i);

      if (candidate->answered && !has_denied_flow_ (candidate))
        *candidate
            = (struct rgy_lookup_candidate){ .ip = candidate->ip,
                                             .stage = candidate->stage };
    }
  repeat_queries_of_lookup_ (b, lookup, now_us);
  query_agents_ (b, lookup, lookup->all_queried, now_us);
}

/* Advances one lookup as its timers require; the lookup may end and be
   freed.  */
static void
advance_lookup_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
                 bool settled, int64_t now_us)
{
  bool is_repeat_due
      = now_us - lookup->queries_sent_us >= lookup->repeat_after_us;

  if (lookup->awaits_manifest)
    {
      if (b->manifest != NULL
          && rgy_stream_balancer_find_route_ (b, &lookup->key) != NULL)
        begin_lookup_ (b, lookup, now_us);
      else if (b->manifest != NULL || now_us >= lookup->deadline_us)
        {
          *b->n_dropped += lookup->n_buffered;
          g_hash_table_remove (b->lookups, &lookup->key);
        }
      return;
    }
  if (lookup->awaits_settling && settled)
    {
      lookup->awaits_settling = false;
      continue_lookup_ (b, lookup, now_us);
      return;
    }
  if ((!lookup->all_queried || lookup->stage < STAGE_ALL)
      && now_us - lookup->stage_since_us >= STAGE_TIMEOUT_US)
    begin_next_stage_ (b, lookup, now_us);
  if (now_us < lookup->deadline_us && !is_repeat_due)
    return;
  if (lookup->all_queried && settled && is_certainly_lost_ (b, lookup, now_us))
    end_failed_lookup_ (b, lookup, true, now_us);
  else if (now_us < lookup->deadline_us)
    repeat_queries_of_lookup_ (b, lookup, now_us);
  else if (now_us - lookup->began_us < LOOKUP_MAX_US)
    extend_lookup_ (b, lookup, now_us);
  else
    end_failed_lookup_ (b, lookup, false, now_us);
}

void
rgy_stream_balancer_delay_lookup_timers_ (struct rgy_stream_balancer *b,
                                          int64_t late_us)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, b->lookups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rgy_lookup *lookup = value;

      lookup->stage_since_us += late_us;
      lookup->queries_sent_us += late_us;
    }
}

void
rgy_stream_balancer_advance_lookups_ (struct rgy_stream_balancer *b,
                                      int64_t now_us)
{
  bool settled = rgy_stream_balancer_is_settled_ (b, now_us);
  GPtrArray *lookups = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;
  guint i;

  /* advance_lookup_() may remove the lookup that it is given, but no other
     one, so the collected pointers stay valid.  */
  g_hash_table_iter_init (&iter, b->lookups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (lookups, value);
  for (i = 0; i < lookups->len; i++)
    advance_lookup_ (b, g_ptr_array_index (lookups, i), settled, now_us);
  g_ptr_array_unref (lookups);
}
