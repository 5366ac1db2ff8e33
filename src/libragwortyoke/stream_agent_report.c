#include "private/stream_agent_private.h"

#include <inttypes.h>

static struct rgy_agent_balancer *
find_balancer_ (const struct rgy_stream_agent *agent, uint32_t ip)
{
  guint i;

  for (i = 0; i < agent->balancers->len; i++)
    {
      struct rgy_agent_balancer *b
          = &g_array_index (agent->balancers, struct rgy_agent_balancer, i);

      if (b->ip == ip)
        return b;
    }
  return NULL;
}

static enum rgy_receiver_domain
get_receiver_domain_ (const struct rgy_stream_agent *agent, uint32_t ip)
{
  const struct rgy_agent_balancer *b = find_balancer_ (agent, ip);

  if (b == NULL || b->domain == 0)
    return RGY_RECEIVER_UNKNOWN_DOMAIN;
  return rgy_stream_agent_is_near_balancer_ (agent, b)
             ? RGY_RECEIVER_SAME_DOMAIN
             : RGY_RECEIVER_OTHER_DOMAIN;
}

void
rgy_stream_agent_send_message_ (struct rgy_stream_agent *agent, uint32_t ip,
                                const struct rgy_stream_message *message)
{
  rgy_stream_traffic_send (&agent->traffic, &agent->settings.out, ip, message,
                           get_receiver_domain_ (agent, ip));
}

static uint64_t
hash_balancers_ (const struct rgy_stream_agent *agent)
{
  uint64_t hash = 0;
  guint i;

  for (i = 0; i < agent->balancers->len; i++)
    hash ^= rgy_stream_hash_balancer (
        g_array_index (agent->balancers, struct rgy_agent_balancer, i).ip);
  return hash;
}

void
rgy_flow_journal_free_ (void *data)
{
  struct rgy_flow_journal *journal = data;

  g_byte_array_unref (journal->changes);
  g_free (journal);
}

static struct rgy_flow_journal *
get_journal_ (const struct rgy_stream_agent *agent, uint64_t domain)
{
  struct rgy_flow_journal *journal;
  guint i;

  for (i = 0; i < agent->journals->len; i++)
    {
      journal = g_ptr_array_index (agent->journals, i);
      if (journal->domain == domain)
        return journal;
    }
  journal = g_new0 (struct rgy_flow_journal, 1);
  journal->domain = domain;
  journal->changes = g_byte_array_new ();
  g_ptr_array_add (agent->journals, journal);
  return journal;
}

static uint64_t
get_journal_end_ (const struct rgy_flow_journal *journal)
{
  return journal->from + journal->changes->len / RGY_FLOW_CHANGE_BYTES;
}

uint64_t
rgy_stream_agent_get_balancer_domain_ (const struct rgy_stream_agent *agent,
                                       uint32_t balancer_ip)
{
  const struct rgy_agent_balancer *b = find_balancer_ (agent, balancer_ip);

  return b != NULL && b->domain != 0 ? b->domain : agent->domain_hash;
}

uint64_t
rgy_stream_agent_get_backend_id_ (const struct rgy_stream_agent *agent)
{
  return rgy_name_hash (&agent->backend, (uint64_t)agent->backend_started_ms);
}

/* Makes a report without flow changes.  */
static struct rgy_stream_report
make_report_ (const struct rgy_stream_agent *agent, int64_t now_us)
{
  return (struct rgy_stream_report){
    .incarnation = agent->settings.incarnation,
    .service = agent->settings.service,
    .domain = agent->settings.domain,
    .backend_id = rgy_stream_agent_get_backend_id_ (agent),
    .state = agent->state,
    .restarting = agent->stopping,
    .complete = agent->complete,
    .cold = agent->cold_until_us > now_us,
    .slots = agent->slots,
    .open_flows = agent->n_open,
    .latency_us = agent->latency_us,
    .balancers_hash = hash_balancers_ (agent)
  };
}

static uint64_t
get_fingerprint_ (const struct rgy_stream_agent *agent, int64_t now_us)
{
  struct rgy_stream_report report = make_report_ (agent, now_us);

  return rgy_stream_report_fingerprint (&report);
}

uint64_t
rgy_stream_agent_number_report_ (struct rgy_stream_agent *agent,
                                 struct rgy_agent_balancer *b, int64_t now_us)
{
  b->sent[b->sent_next]
      = (struct rgy_sent_report){ .seq = ++agent->seq, .sent_us = now_us };
  b->sent_next = (b->sent_next + 1) % SENT_REPORTS;
  return agent->seq;
}

static void
send_report_ (struct rgy_stream_agent *agent, struct rgy_agent_balancer *b,
              uint64_t from, struct rgy_bytes changes, int64_t now_us)
{
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_REPORT,
          .u.report = make_report_ (agent, now_us) };

  message.u.report.seq = rgy_stream_agent_number_report_ (agent, b, now_us);
  message.u.report.changes_from = from;
  message.u.report.changes = changes;
  b->sent_us = now_us;
  b->sent_flows = agent->n_open;
  b->sent_fingerprint = rgy_stream_report_fingerprint (&message.u.report);
  rgy_stream_agent_send_message_ (agent, b->ip, &message);
  /* Flow changes make most reports of a busy agent full ones, which do not
     state its load.  */
  if (b->synced)
    rgy_stream_agent_report_load_ (agent, b, now_us);
}

static void
send_brief_report_ (struct rgy_stream_agent *agent,
                    struct rgy_agent_balancer *b, int64_t now_us)
{
  struct rgy_stream_message message;

  b->sent_us = now_us;
  if (rgy_stream_agent_report_load_ (agent, b, now_us))
    return;
  message = (struct rgy_stream_message){
    .kind = RGY_STREAM_BRIEF_REPORT,
    .u.brief = { .seq = rgy_stream_agent_number_report_ (agent, b, now_us),
                 .fingerprint = b->sent_fingerprint,
                 .open_flows = agent->n_open,
                 .latency_us = agent->latency_us }
  };
  b->sent_flows = agent->n_open;
  rgy_stream_agent_send_message_ (agent, b->ip, &message);
}

static int64_t
get_ack_age_us_ (const struct rgy_agent_balancer *b, int64_t now_us)
{
  return now_us - MAX (b->last_ack_us, b->added_us);
}

/* A balancer that does not acknowledge may have been replaced by an earlier
   version without the feature.  */
bool
rgy_agent_balancer_has_feature_ (const struct rgy_agent_balancer *b,
                                 uint32_t feature, int64_t now_us)
{
  return b->incarnation != 0 && b->features_incarnation == b->incarnation
         && (b->features & feature) != 0
         && get_ack_age_us_ (b, now_us) <= ACK_OVERDUE_US;
}

bool
rgy_stream_agent_balancer_has_feature_ (const struct rgy_stream_agent *agent,
                                        uint32_t ip, uint32_t feature,
                                        int64_t now_us)
{
  const struct rgy_agent_balancer *b = find_balancer_ (agent, ip);

  return b != NULL && rgy_agent_balancer_has_feature_ (b, feature, now_us);
}

/* True if a brief report tells the balancer all that it needs.  */
static bool
is_brief_sufficient_ (const struct rgy_stream_agent *agent,
                      const struct rgy_agent_balancer *b, int64_t now_us)
{
  return b->synced
         && rgy_agent_balancer_has_feature_ (
             b, RGY_STREAM_DECODES_BRIEF_REPORTS, now_us)
         && b->sent_fingerprint == get_fingerprint_ (agent, now_us);
}

struct flow_snapshot_
{
  struct rgy_stream_agent *agent;
  struct rgy_agent_balancer *balancer;
  GByteArray *changes;
  int64_t now_us;
};

static void
append_change_ (GByteArray *changes, const struct rgy_flow_key *key,
                bool opened)
{
  uint8_t change[RGY_FLOW_CHANGE_BYTES];

  rgy_flow_endpoints_encode (key, change);
  change[RGY_FLOW_ENDPOINTS_BYTES] = opened ? 1 : 0;
  g_byte_array_append (changes, change, sizeof change);
}

static void
send_snapshot_part_ (const struct flow_snapshot_ *snapshot)
{
  struct rgy_bytes changes
      = { .data = snapshot->changes->data, .len = snapshot->changes->len };

  send_report_ (snapshot->agent, snapshot->balancer, 0, changes,
                snapshot->now_us);
  g_byte_array_set_size (snapshot->changes, 0);
}

static bool
add_to_snapshot_ (struct rgy_flow *flow, void *ctx)
{
  struct flow_snapshot_ *snapshot = ctx;
  const struct rgy_agent_stream *stream = flow->session;

  if (!stream->reported_open
      || stream->informed_domain != snapshot->balancer->domain)
    return true;
  append_change_ (snapshot->changes, &flow->key, true);
  if (snapshot->changes->len >= RGY_STREAM_MAX_CHANGES * RGY_FLOW_CHANGE_BYTES)
    send_snapshot_part_ (snapshot);
  return true;
}

/* Sends a balancer that has just started all flows of its failure domain.  A
   lost report is not repeated; the balancer then queries the agent about the
   flows.  */
static void
send_snapshot_ (struct rgy_stream_agent *agent, struct rgy_agent_balancer *b,
                int64_t now_us)
{
  struct flow_snapshot_ snapshot = { .agent = agent,
                                     .balancer = b,
                                     .changes = g_byte_array_new (),
                                     .now_us = now_us };

  rgy_flow_table_foreach (agent->flows, add_to_snapshot_, &snapshot);
  if (snapshot.changes->len > 0)
    send_snapshot_part_ (&snapshot);
  g_byte_array_unref (snapshot.changes);
  b->changes_acked = get_journal_end_ (get_journal_ (agent, b->domain));
  b->synced = true;
}

static void
report_to_balancer_ (struct rgy_stream_agent *agent,
                     struct rgy_agent_balancer *b, int64_t now_us)
{
  const struct rgy_flow_journal *journal;
  uint64_t from;
  size_t offset;
  size_t len;

  if (!b->synced)
    {
      send_report_ (agent, b, 0, (struct rgy_bytes){ 0 }, now_us);
      return;
    }
  journal = get_journal_ (agent, b->domain);
  from = MAX (b->changes_acked, journal->from);
  if (from == get_journal_end_ (journal)
      && is_brief_sufficient_ (agent, b, now_us))
    {
      send_brief_report_ (agent, b, now_us);
      return;
    }
  offset = (size_t)(from - journal->from) * RGY_FLOW_CHANGE_BYTES;
  len = MIN (journal->changes->len - offset,
             RGY_STREAM_MAX_CHANGES * RGY_FLOW_CHANGE_BYTES);
  send_report_ (agent, b, from,
                (struct rgy_bytes){ .data = journal->changes->data + offset,
                                    .len = len },
                now_us);
}

void
rgy_stream_agent_report_to_all_ (struct rgy_stream_agent *agent,
                                 int64_t now_us)
{
  guint i;

  for (i = 0; i < agent->balancers->len; i++)
    report_to_balancer_ (
        agent, &g_array_index (agent->balancers, struct rgy_agent_balancer, i),
        now_us);
}

/* Records a change for the next periodic report.  The balancer that forwards a
   new flow knows it from RGY_STREAM_ACCEPTED; the others need it only if the
   router moves the flow to them, and can query the agent before.  */
void
rgy_stream_agent_record_change_ (struct rgy_stream_agent *agent,
                                 const struct rgy_flow_key *key,
                                 uint64_t domain, bool opened)
{
  struct rgy_flow_journal *journal = get_journal_ (agent, domain);

  append_change_ (journal->changes, key, opened);
  if (journal->changes->len > MAX_JOURNAL_CHANGES * RGY_FLOW_CHANGE_BYTES)
    {
      guint half = MAX_JOURNAL_CHANGES / 2;

      g_byte_array_remove_range (journal->changes, 0,
                                 half * RGY_FLOW_CHANGE_BYTES);
      journal->from += half;
    }
}

void
rgy_stream_agent_add_balancer (struct rgy_stream_agent *agent, uint32_t ip,
                               int64_t now_us)
{
  struct rgy_agent_balancer added = { .ip = ip, .added_us = now_us };

  if (!rgy_ip_is_host (ip) || find_balancer_ (agent, ip) != NULL
      || agent->balancers->len >= RGY_STREAM_MAX_BALANCERS)
    return;
  g_array_append_val (agent->balancers, added);
  report_to_balancer_ (agent,
                       &g_array_index (agent->balancers,
                                       struct rgy_agent_balancer,
                                       agent->balancers->len - 1),
                       now_us);
}

bool
rgy_stream_agent_has_balancer (const struct rgy_stream_agent *agent,
                               int64_t now_us)
{
  guint i;

  for (i = 0; i < agent->balancers->len; i++)
    {
      const struct rgy_agent_balancer *b
          = &g_array_index (agent->balancers, struct rgy_agent_balancer, i);

      if (b->last_ack_us != 0 && now_us - b->last_ack_us < BALANCER_ALIVE_US)
        return true;
    }
  return false;
}

bool
rgy_stream_agent_is_near_balancer_ (const struct rgy_stream_agent *agent,
                                    const struct rgy_agent_balancer *b)
{
  return b->domain == agent->domain_hash;
}

/* True if the balancer of another failure domain has not got all flow changes,
   or a report of about the present load.  */
static bool
has_news_for_ (const struct rgy_stream_agent *agent,
               const struct rgy_agent_balancer *b, uint64_t fingerprint)
{
  uint32_t change = b->sent_flows > agent->n_open
                        ? b->sent_flows - agent->n_open
                        : agent->n_open - b->sent_flows;

  return fingerprint != b->sent_fingerprint
         || b->changes_acked
                < get_journal_end_ (get_journal_ (agent, b->domain))
         || change > MAX (LOAD_NEWS_FLOWS, b->sent_flows / LOAD_NEWS_DIVISOR);
}

static int64_t
get_report_interval_us_ (const struct rgy_stream_agent *agent,
                         const struct rgy_agent_balancer *b,
                         uint64_t fingerprint, int64_t now_us)
{
  int64_t ack_age_us = get_ack_age_us_ (b, now_us);

  if (ack_age_us > BALANCER_SLOW_US)
    return BALANCER_SLOW_INTERVAL_US;
  if (now_us < agent->prompt_until_us
      || (b->requested_us != 0 && now_us - b->requested_us < REQUESTED_US))
    return PROMPT_REPORT_INTERVAL_US;
  /* Without a balancer in the own failure domain the others place the flows
     here, and a restart of all of them would not show.  */
  if (!b->synced || !agent->has_near_balancer
      || rgy_stream_agent_is_near_balancer_ (agent, b)
      || ack_age_us > ACK_OVERDUE_US || has_news_for_ (agent, b, fingerprint))
    return REPORT_INTERVAL_US;
  return DISTANT_REPORT_INTERVAL_US;
}

/* Logs that the view has taken the own failure domain out of service or put it
   back.  */
static void
log_own_domain_ (const struct rgy_stream_agent *agent, bool was_out)
{
  bool is_out = rgy_domain_view_is_out (&agent->view, &agent->settings.domain);

  if (was_out != is_out)
    rgy_stream_emit_log (&agent->settings.out,
                         "domain_%s domain=%s revision=%" G_GUINT64_FORMAT
                         " epoch=%" PRIu32,
                         is_out ? "out" : "in", agent->settings.domain.data,
                         agent->view.revision, agent->view.epoch);
}

void
rgy_stream_agent_send_due_reports_ (struct rgy_stream_agent *agent,
                                    int64_t now_us)
{
  uint64_t fingerprint = get_fingerprint_ (agent, now_us);
  bool was_out
      = rgy_domain_view_is_out (&agent->view, &agent->settings.domain);
  bool has_near = false;
  guint i;

  if (rgy_domain_view_settle (&agent->view, &agent->view_times, now_us))
    log_own_domain_ (agent, was_out);
  for (i = 0; i < agent->balancers->len;)
    {
      struct rgy_agent_balancer *b
          = &g_array_index (agent->balancers, struct rgy_agent_balancer, i);

      if (get_ack_age_us_ (b, now_us) > BALANCER_EXPIRE_US)
        {
          g_array_remove_index_fast (agent->balancers, i);
          continue;
        }
      has_near = has_near
                 || (get_ack_age_us_ (b, now_us) <= ACK_OVERDUE_US
                     && rgy_stream_agent_is_near_balancer_ (agent, b));
      if (now_us - b->sent_us
          >= get_report_interval_us_ (agent, b, fingerprint, now_us))
        report_to_balancer_ (agent, b, now_us);
      i++;
    }
  agent->has_near_balancer = has_near;
}

/* Records that a balancer has restarted.  */
static void
note_balancer_restart_ (struct rgy_stream_agent *agent,
                        struct rgy_agent_balancer *restarted, int64_t now_us)
{
  unsigned near = 0;
  unsigned restarted_lately = 0;
  guint i;

  restarted->restarted_us = now_us;
  for (i = 0; i < agent->balancers->len; i++)
    {
      const struct rgy_agent_balancer *b
          = &g_array_index (agent->balancers, struct rgy_agent_balancer, i);

      if (!rgy_stream_agent_is_near_balancer_ (agent, b))
        continue;
      near++;
      restarted_lately += b->restarted_us != 0
                          && now_us - b->restarted_us < MASS_RESTART_US;
    }
  if (restarted_lately * 2 >= near)
    agent->prompt_until_us = now_us + MASS_RESTART_US;
}

static bool
is_contact_lost_ (const struct rgy_stream_agent *agent,
                  const struct rgy_agent_balancer *b, int64_t now_us)
{
  return now_us - MAX (b->contact_us, b->added_us)
         > (rgy_stream_agent_is_near_balancer_ (agent, b)
                ? CONTACT_LOST_US
                : DISTANT_CONTACT_LOST_US);
}

/* Records that the balancer has received the report of this number.  An
   acknowledgement that has waited in the socket while this process was paused
   tells only of a report from before.  */
static void
note_contact_ (const struct rgy_stream_agent *agent,
               struct rgy_agent_balancer *b, uint64_t seq, int64_t now_us)
{
  size_t i;

  for (i = 0; i < SENT_REPORTS; i++)
    if (b->sent[i].seq == seq && b->sent[i].sent_us > b->contact_us)
      {
        if (is_contact_lost_ (agent, b, now_us))
          b->gap_us = now_us;
        b->contact_us = b->sent[i].sent_us;
      }
}

bool
rgy_stream_agent_had_contact_ (const struct rgy_stream_agent *agent,
                               uint32_t ip, int64_t since_us, int64_t now_us)
{
  const struct rgy_agent_balancer *b = find_balancer_ (agent, ip);

  return b == NULL
         || (!is_contact_lost_ (agent, b, now_us) && since_us > b->gap_us);
}

static void
handle_report_ack_ (struct rgy_stream_agent *agent,
                    const struct rgy_stream_report_ack *ack, uint32_t from_ip,
                    int64_t now_us)
{
  struct rgy_agent_balancer *b = find_balancer_ (agent, from_ip);
  bool was_out;
  size_t i;

  if (b == NULL || ack->agent_incarnation != agent->settings.incarnation)
    return;
  b->last_ack_us = now_us;
  note_contact_ (agent, b, ack->seq, now_us);
  was_out = rgy_domain_view_is_out (&agent->view, &agent->settings.domain);
  (void)rgy_domain_view_merge (&agent->view, &agent->view_times, &ack->view,
                               now_us);
  log_own_domain_ (agent, was_out);
  agent->cold_rate_milli = ack->cold_rate_milli;
  agent->idle_timeout_us
      = MAX (agent->idle_timeout_us, ack->idle_timeout_ms * RGY_US_PER_MS);
  if (b->incarnation != ack->balancer_incarnation || !b->synced)
    {
      bool has_restarted = b->incarnation != 0;

      b->incarnation = ack->balancer_incarnation;
      b->domain = ack->balancer_domain;
      if (has_restarted)
        note_balancer_restart_ (agent, b, now_us);
      send_snapshot_ (agent, b, now_us);
    }
  else if (ack->changes_upto > b->changes_acked
           && ack->changes_upto
                  <= get_journal_end_ (get_journal_ (agent, b->domain)))
    b->changes_acked = ack->changes_upto;
  for (i = 0; i + RGY_STREAM_IP_BYTES <= ack->balancers.len;
       i += RGY_STREAM_IP_BYTES)
    rgy_stream_agent_add_balancer (
        agent, rgy_stream_decode_ip (ack->balancers.data + i), now_us);
}

/* A balancer requests a report because it does not know what the agent has
   reported, so brief reports do not help it.  */
static void
handle_report_request_ (struct rgy_stream_agent *agent, uint32_t from_ip,
                        int64_t now_us)
{
  struct rgy_agent_balancer *b;

  rgy_stream_agent_add_balancer (agent, from_ip, now_us);
  b = find_balancer_ (agent, from_ip);
  if (b == NULL)
    return;
  b->requested_us = now_us;
  b->sent_fingerprint = 0;
  b->load_sent_us = 0;
  report_to_balancer_ (agent, b, now_us);
}

static void
handle_features_ (struct rgy_stream_agent *agent,
                  const struct rgy_stream_features *features, uint32_t from_ip)
{
  struct rgy_agent_balancer *b = find_balancer_ (agent, from_ip);

  if (b == NULL)
    return;
  if (b->features_incarnation != features->balancer_incarnation)
    b->load_sent_us = 0;
  b->features_incarnation = features->balancer_incarnation;
  b->features = features->flags;
}

static enum rgy_flow_ownership
get_ownership_ (const struct rgy_stream_agent *agent,
                const struct rgy_flow_key *key)
{
  const struct rgy_flow *flow = rgy_flow_table_find (agent->flows, key);
  const struct rgy_agent_stream *stream = flow == NULL ? NULL : flow->session;

  if (agent->state == RGY_BACKEND_ENDED)
    return RGY_FLOW_NOT_OWNED;
  if (stream == NULL)
    return agent->complete ? RGY_FLOW_NOT_OWNED : RGY_FLOW_OWNERSHIP_UNKNOWN;
  switch (stream->state)
    {
    case FLOW_OPENING:
    case FLOW_ANSWERED:
    case FLOW_OPEN:
    case FLOW_CLOSED:
      return RGY_FLOW_OWNED;
    case FLOW_PROBING:
      return RGY_FLOW_OWNERSHIP_UNKNOWN;
    case FLOW_NOT_OWNED:
      break;
    }
  return RGY_FLOW_NOT_OWNED;
}

static void
answer_query_ (struct rgy_stream_agent *agent, struct rgy_bytes queried,
               uint32_t from_ip)
{
  uint8_t answers[RGY_STREAM_MAX_QUERIED * RGY_FLOW_ANSWER_BYTES];
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_ANSWER, .u.answers = { .data = answers } };
  size_t i;

  for (i = 0; i < queried.len; i += RGY_FLOW_ENDPOINTS_BYTES)
    {
      struct rgy_flow_key key = rgy_flow_endpoints_decode (queried.data + i);
      uint8_t *answer = answers + message.u.answers.len;

      rgy_flow_endpoints_encode (&key, answer);
      answer[RGY_FLOW_ENDPOINTS_BYTES] = (uint8_t)get_ownership_ (agent, &key);
      message.u.answers.len += RGY_FLOW_ANSWER_BYTES;
    }
  rgy_stream_agent_send_message_ (agent, from_ip, &message);
}

enum rgy_outcome
rgy_stream_agent_from_message (struct rgy_stream_agent *agent,
                               struct rgy_bytes bytes, uint32_t from_ip,
                               int64_t now_us)
{
  struct rgy_stream_message message;
  enum rgy_outcome rc = rgy_stream_message_decode (bytes, &message);

  if (rc != RGY_OK)
    {
      ++*agent->n_bad_messages;
      return rc;
    }
  switch (message.kind)
    {
    case RGY_STREAM_REPORT_ACK:
      handle_report_ack_ (agent, &message.u.ack, from_ip, now_us);
      return RGY_OK;
    case RGY_STREAM_REPORT_REQUEST:
      handle_report_request_ (agent, from_ip, now_us);
      return RGY_OK;
    case RGY_STREAM_FEATURES:
      handle_features_ (agent, &message.u.features, from_ip);
      return RGY_OK;
    case RGY_STREAM_FORMER_FLOWS:
      rgy_stream_agent_handle_former_flows_ (agent, &message.u.open_flows,
                                             now_us);
      return RGY_OK;
    case RGY_STREAM_QUERY:
      answer_query_ (agent, message.u.queried, from_ip);
      return RGY_OK;
    case RGY_STREAM_TERMS:
      rgy_stream_agent_handle_terms_ (agent, find_balancer_ (agent, from_ip),
                                      &message.u.terms, now_us);
      return RGY_OK;
    case RGY_STREAM_REPORT:
    case RGY_STREAM_STATUS:
    case RGY_STREAM_ACCEPTED:
    case RGY_STREAM_REFUSED:
    case RGY_STREAM_ANSWER:
    case RGY_STREAM_BRIEF_REPORT:
    case RGY_STREAM_OPEN_FLOWS:
    case RGY_STREAM_LOAD_REPORT:
    case RGY_STREAM_TERMS_QUERY:
    case RGY_STREAM_MESSAGE_KIND_COUNT:
      break;
    }
  ++*agent->n_bad_messages;
  return RGY_ERR_UNSUPPORTED;
}
