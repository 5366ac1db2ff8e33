#include "private/stream_balancer_private.h"

#include "ragwortyoke/clock.h"

static struct rgy_asked_agent *
find_asked_ (struct rgy_lookup *lookup, uint32_t ip)
{
  guint i;

  for (i = 0; i < lookup->asked->len; i++)
    {
      struct rgy_asked_agent *asked
          = &g_array_index (lookup->asked, struct rgy_asked_agent, i);

      if (asked->ip == ip)
        return asked;
    }
  return NULL;
}

static bool
has_denied_ (const struct rgy_asked_agent *asked)
{
  return asked->answered && asked->answer == RGY_HELD_NO;
}

static void
hold_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
       const struct rgy_segment *segment)
{
  if ((segment->flags & RGY_SEGMENT_ACK) != 0)
    lookup->caller_ack = segment->ack;
  if (lookup->n_held == MAX_HELD)
    {
      ++*b->n_dropped;
      return;
    }
  lookup->held[lookup->n_held++]
      = (struct rgy_held_segment){ .data = g_memdup2 (segment->raw.data,
                                                      segment->raw.len),
                                   .len = segment->raw.len };
}

/* Asks those agents again that have not answered a search.  Preferred ones,
   where the flow is most likely, also what became of a probe.  */
static void
repeat_queries_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
                 int64_t now_us)
{
  guint i;

  lookup->asked_us = now_us;
  lookup->repeat_us = QUERY_REPEAT_LATER_US;
  for (i = 0; i < lookup->asked->len; i++)
    {
      const struct rgy_asked_agent *asked
          = &g_array_index (lookup->asked, struct rgy_asked_agent, i);
      bool probed = asked->probing && asked->answer == RGY_HELD_UNSURE
                    && asked->wave <= WAVE_PREFERRED;
      struct rgy_known_agent *agent
          = asked->answered && !probed
                ? NULL
                : rgy_stream_balancer_find_agent_ (b, asked->ip);

      if (agent != NULL)
        rgy_stream_balancer_query_ (b, &lookup->key, agent, now_us);
    }
}

static bool
serves_route_ (const struct rgy_known_agent *agent,
               const struct rgy_route *route)
{
  size_t i;

  if (agent->tag == 0)
    return true; /* Named by a peer, has not reported yet.  */
  for (i = 0; i < route->n_targets; i++)
    if (route->targets[i].tag == agent->tag)
      return true;
  return false;
}

/* Asks the preferred agents, or all that were not asked yet.  All means all:
   an open flow stays where it is when a manifest takes its service off the
   route, so nobody is left out before a reset.  */
static void
ask_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup, bool all,
      int64_t now_us)
{
  const struct rgy_route *route
      = rgy_stream_balancer_find_route_ (b, &lookup->key);
  struct rgy_preference preference;
  GHashTableIter iter;
  void *value;

  lookup->asked_all = all;
  rgy_preference_init (&preference, 0);
  if (route != NULL)
    {
      size_t first
          = rgy_route_choose (route, rgy_flow_key_hash (&lookup->key));

      rgy_stream_balancer_prefer_ (b, &lookup->key, route->targets[first].tag,
                                   now_us, &preference);
    }
  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rgy_known_agent *agent = value;
      struct rgy_asked_agent asked
          = { .ip = agent->ip,
              .wave = route != NULL && serves_route_ (agent, route)
                          ? WAVE_ROUTE
                          : WAVE_OTHERS };

      if (rgy_preference_has (&preference, agent->domain_hash, agent->ip))
        asked.wave
            = rgy_name_equal (&agent->report.domain, &b->settings.domain)
                  ? WAVE_OWN_DOMAIN
                  : WAVE_PREFERRED;
      if ((!all && asked.wave > WAVE_PREFERRED)
          || agent->report.state == RGY_BACKEND_GONE
          || find_asked_ (lookup, agent->ip) != NULL)
        continue;
      if (agent->tag != 0 && !agent->report.complete)
        {
          /* It has restarted and would only say that it is unsure.  */
          asked.answered = true;
          asked.answer = RGY_HELD_UNSURE;
        }
      g_array_append_val (lookup->asked, asked);
      if (!asked.answered)
        rgy_stream_balancer_query_ (b, &lookup->key, agent, now_us);
    }
}

/* True while agents may be missing only because this balancer has just started
   or was paused; a search is then repeated instead of ended.  */
static bool
may_settle_ (const struct rgy_stream_balancer *b,
             const struct rgy_lookup *lookup, int64_t now_us)
{
  return !rgy_stream_balancer_is_settled_ (b, now_us)
         && now_us - lookup->began_us < LOOKUP_PATIENCE_US;
}

/* What the agents have said to a search.  */
struct answers_
{
  unsigned no;
  unsigned unsure;
  unsigned missing;
  uint32_t open_ip; /* One that may hold the flow; 0: none.  */
};

static struct answers_
count_answers_ (const struct rgy_lookup *lookup)
{
  struct answers_ answers = { 0 };
  guint i;

  for (i = 0; i < lookup->asked->len; i++)
    {
      const struct rgy_asked_agent *asked
          = &g_array_index (lookup->asked, struct rgy_asked_agent, i);

      if (has_denied_ (asked))
        {
          answers.no++;
          continue;
        }
      answers.open_ip = asked->ip;
      if (asked->answered)
        answers.unsure++;
      else
        answers.missing++;
    }
  return answers;
}

/* Ends a search that found nothing.  The caller is told only when no agent is
   left that might have the flow.  */
static void
give_up_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
          bool certain, int64_t now_us)
{
  char text[RGY_FLOW_TEXT_BYTES];
  char ip[RGY_IP_TEXT_BYTES];
  struct answers_ answers = count_answers_ (lookup);

  if (may_settle_ (b, lookup, now_us))
    {
      lookup->unsettled = true;
      return;
    }
  certain = certain && rgy_stream_balancer_is_settled_ (b, now_us);
  rgy_stream_emit_flow_log (
      &b->settings.out,
      "flow_not_found flow=%s asked=%u no=%u unsure=%u unanswered=%u "
      "open_agent=%s known=%u waited_ms=%" G_GINT64_FORMAT
      " certain=%d outcome=%s",
      rgy_flow_key_format (&lookup->key, text), lookup->asked->len, answers.no,
      answers.unsure, answers.missing,
      answers.open_ip == 0 ? "-" : rgy_ip_format (answers.open_ip, ip),
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
    *b->n_dropped += lookup->n_held;
  g_hash_table_remove (b->lookups, &lookup->key);
}

/* Sends a held segment to the unsure agents of this wave.  The last wave may
   reach backend servers of services that the route does not name now: the flow
   may be there since an earlier manifest, and one that does not hold it
   returns the segment unread.  */
static void
probe_unsure_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
               int64_t now_us)
{
  guint i;

  for (i = 0; i < lookup->asked->len; i++)
    {
      struct rgy_asked_agent *asked
          = &g_array_index (lookup->asked, struct rgy_asked_agent, i);

      if (asked->answer != RGY_HELD_UNSURE || asked->probing
          || asked->wave > lookup->wave || lookup->n_held == 0)
        continue;
      asked->probing = true;
      lookup->deadline_us = now_us + LOOKUP_US;
      rgy_stream_balancer_send_ (
          b, &lookup->key,
          (struct rgy_bytes){ .data = lookup->held[0].data,
                              .len = lookup->held[0].len },
          asked->ip);
    }
}

/* Asks all agents, also those that have become known since others were asked.
   Returns true when there were such.  */
static bool
ask_all_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
          int64_t now_us)
{
  guint before = lookup->asked->len;

  ask_ (b, lookup, true, now_us);
  if (lookup->asked->len == before)
    return false;
  lookup->deadline_us = now_us + LOOKUP_US;
  return true;
}

/* Tries the agents of the next wave.  */
static void
widen_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
        int64_t now_us)
{
  if (lookup->wave < WAVE_OTHERS)
    lookup->wave++;
  lookup->wave_us = now_us;
  (void)ask_all_ (b, lookup, now_us);
  probe_unsure_ (b, lookup, now_us);
}

/* What a search waits for.  */
struct progress_
{
  bool waits;   /* An agent has not answered, or not told about a probe.  */
  bool untried; /* Some are unsure and belong to a later wave.  */
  bool all_no;
};

static struct progress_
get_progress_ (const struct rgy_lookup *lookup)
{
  struct progress_ progress = { .all_no = true };
  guint i;

  for (i = 0; i < lookup->asked->len; i++)
    {
      const struct rgy_asked_agent *asked
          = &g_array_index (lookup->asked, struct rgy_asked_agent, i);

      if (has_denied_ (asked))
        continue;
      progress.all_no = false;
      if (!asked->answered || asked->probing)
        progress.waits = true;
      else if (asked->wave > lookup->wave)
        progress.untried = true;
    }
  return progress;
}

/* Takes the next step when every agent asked so far has answered.  */
static void
check_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
        int64_t now_us)
{
  struct progress_ progress;

  do
    {
      probe_unsure_ (b, lookup, now_us);
      progress = get_progress_ (lookup);
      if (progress.waits)
        return;
      if (progress.untried)
        widen_ (b, lookup, now_us);
    }
  while (progress.untried || ask_all_ (b, lookup, now_us));
  if (progress.all_no)
    give_up_ (b, lookup, true, now_us);
}

void
rgy_stream_balancer_look_up_ (struct rgy_stream_balancer *b,
                              const struct rgy_segment *segment,
                              uint32_t missed_ip, int64_t now_us)
{
  struct rgy_lookup *lookup = g_hash_table_lookup (b->lookups, &segment->key);
  const struct rgy_route *route;

  if (lookup != NULL)
    {
      struct rgy_asked_agent *asked = find_asked_ (lookup, missed_ip);

      if (asked == NULL || !asked->probing)
        hold_ (b, lookup, segment);
      if (asked != NULL)
        {
          asked->answered = true;
          asked->answer = RGY_HELD_NO;
          check_ (b, lookup, now_us);
        }
      return;
    }
  route = rgy_stream_balancer_find_route_ (b, &segment->key);
  if (route == NULL && b->previous != NULL
      && rgy_stream_manifest_find (b->previous, segment->key.u.segment.service)
             != NULL)
    {
      /* The newest manifest dropped the route, and its flows with it.  */
      ++*b->n_resets;
      rgy_stream_emit_reset (&b->settings.out, &segment->key, segment->ack);
      return;
    }
  if (route == NULL || g_hash_table_size (b->lookups) >= MAX_PENDING)
    {
      ++*(route == NULL ? b->n_no_route : b->n_dropped);
      return;
    }
  ++*b->n_lookups;
  lookup = g_new0 (struct rgy_lookup, 1);
  lookup->key = segment->key;
  lookup->asked = g_array_new (FALSE, TRUE, sizeof (struct rgy_asked_agent));
  lookup->began_us = now_us;
  lookup->asked_us = now_us;
  lookup->repeat_us = QUERY_REPEAT_US;
  lookup->wave_us = now_us;
  lookup->deadline_us = now_us + LOOKUP_US;
  hold_ (b, lookup, segment);
  g_hash_table_add (b->lookups, lookup);
  if (missed_ip != 0)
    {
      struct rgy_asked_agent missed = { .ip = missed_ip, .answered = true };

      g_array_append_val (lookup->asked, missed);
    }
  ask_ (b, lookup, false, now_us);
  check_ (b, lookup, now_us);
}

void
rgy_stream_balancer_answered_ (struct rgy_stream_balancer *b,
                               const struct rgy_flow_key *key, uint32_t ip,
                               enum rgy_flow_held held, int64_t now_us)
{
  struct rgy_lookup *lookup = g_hash_table_lookup (b->lookups, key);
  struct rgy_asked_agent *asked
      = lookup == NULL ? NULL : find_asked_ (lookup, ip);

  if (asked == NULL)
    return;
  switch (held)
    {
    case RGY_HELD_YES:
      ++*b->n_found;
      if (asked->probing && lookup->n_held > 0)
        {
          /* It has the segment already.  */
          g_free (lookup->held[0].data);
          lookup->held[0] = lookup->held[--lookup->n_held];
        }
      rgy_stream_balancer_learn_ (b, key, ip, RGY_FLOW_OPEN, now_us);
      return;
    case RGY_HELD_NO:
    case RGY_HELD_UNSURE:
      asked->answered = true;
      asked->answer = held;
      check_ (b, lookup, now_us);
      return;
    case RGY_FLOW_HELD_COUNT:
      return;
    }
}

void
rgy_stream_balancer_found_ (struct rgy_stream_balancer *b,
                            const struct rgy_flow_key *key, uint32_t agent_ip,
                            int64_t now_us)
{
  struct rgy_lookup *lookup = g_hash_table_lookup (b->lookups, key);
  size_t i;

  if (lookup == NULL)
    return;
  rgy_histogram_observe (b->lookup_time, now_us - lookup->began_us);
  for (i = 0; i < lookup->n_held; i++)
    rgy_stream_balancer_send_ (
        b, key,
        (struct rgy_bytes){ .data = lookup->held[i].data,
                            .len = lookup->held[i].len },
        agent_ip);
  g_hash_table_remove (b->lookups, key);
}

/* An agent that did not answer may still have the flow, unless its machine is
   taken for lost.  */
static bool
is_certain_ (const struct rgy_stream_balancer *b,
             const struct rgy_lookup *lookup, int64_t now_us)
{
  guint i;

  for (i = 0; i < lookup->asked->len; i++)
    {
      const struct rgy_asked_agent *asked
          = &g_array_index (lookup->asked, struct rgy_asked_agent, i);
      const struct rgy_known_agent *agent
          = rgy_stream_balancer_find_agent_ (b, asked->ip);

      if (has_denied_ (asked))
        continue;
      if (agent != NULL && !rgy_known_agent_is_lost_ (agent, now_us))
        return false;
    }
  return true;
}

/* Goes on with a search whose time is over.  A NO stays valid: the flow was
   opened before the segment that is searched for.  */
static void
extend_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup,
         int64_t now_us)
{
  guint i;

  lookup->deadline_us = now_us + LOOKUP_US;
  for (i = 0; i < lookup->asked->len; i++)
    {
      struct rgy_asked_agent *asked
          = &g_array_index (lookup->asked, struct rgy_asked_agent, i);

      if (asked->answered && !has_denied_ (asked))
        *asked
            = (struct rgy_asked_agent){ .ip = asked->ip, .wave = asked->wave };
    }
  repeat_queries_ (b, lookup, now_us);
  ask_ (b, lookup, lookup->asked_all, now_us);
}

/* Steps that time brings about in one search; it may end.  */
static void
step_ (struct rgy_stream_balancer *b, struct rgy_lookup *lookup, bool settled,
       int64_t now_us)
{
  bool repeats = now_us - lookup->asked_us >= lookup->repeat_us;

  if (lookup->unsettled && settled)
    {
      lookup->unsettled = false;
      check_ (b, lookup, now_us);
      return;
    }
  if ((!lookup->asked_all || lookup->wave < WAVE_OTHERS)
      && now_us - lookup->wave_us >= WAVE_US)
    widen_ (b, lookup, now_us);
  if (now_us < lookup->deadline_us && !repeats)
    return;
  if (lookup->asked_all && settled && is_certain_ (b, lookup, now_us))
    give_up_ (b, lookup, true, now_us);
  else if (now_us < lookup->deadline_us)
    repeat_queries_ (b, lookup, now_us);
  else if (now_us - lookup->began_us < LOOKUP_PATIENCE_US)
    extend_ (b, lookup, now_us);
  else
    give_up_ (b, lookup, false, now_us);
}

void
rgy_stream_balancer_excuse_lookups_ (struct rgy_stream_balancer *b,
                                     int64_t late_us)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, b->lookups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rgy_lookup *lookup = value;

      lookup->wave_us += late_us;
      lookup->asked_us += late_us;
    }
}

void
rgy_stream_balancer_step_lookups_ (struct rgy_stream_balancer *b,
                                   int64_t now_us)
{
  bool settled = rgy_stream_balancer_is_settled_ (b, now_us);
  GPtrArray *lookups = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;
  guint i;

  /* A step may remove the search that it is given, but no other one.  */
  g_hash_table_iter_init (&iter, b->lookups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (lookups, value);
  for (i = 0; i < lookups->len; i++)
    step_ (b, g_ptr_array_index (lookups, i), settled, now_us);
  g_ptr_array_unref (lookups);
}
