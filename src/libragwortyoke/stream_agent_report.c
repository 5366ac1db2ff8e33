#include "private/stream_agent_private.h"

/* Reports.  */

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
journal_end_ (const struct rgy_flow_journal *journal)
{
  return journal->from + journal->changes->len / RGY_FLOW_CHANGE_BYTES;
}

uint64_t
rgy_stream_agent_get_domain_ (const struct rgy_stream_agent *agent,
                              uint32_t balancer_ip)
{
  const struct rgy_agent_balancer *b = find_balancer_ (agent, balancer_ip);

  return b != NULL && b->domain != 0
             ? b->domain
             : rgy_stream_hash_domain (&agent->settings.domain);
}

static void
send_report_ (struct rgy_stream_agent *agent, struct rgy_agent_balancer *b,
              uint64_t from, struct rgy_bytes changes, int64_t now_us)
{
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_REPORT,
          .u.report
          = { .incarnation = agent->settings.incarnation,
              .seq = ++agent->seq,
              .service = agent->settings.service,
              .domain = agent->settings.domain,
              .backend_id = rgy_name_hash (
                  &agent->backend, (uint64_t)agent->backend_started_ms),
              .state = agent->state,
              .restarting = agent->stopping,
              .complete = agent->complete,
              .cold = agent->cold_until_us > now_us,
              .slots = agent->slots,
              .open_flows = agent->n_open,
              .latency_us = agent->latency_us,
              .balancers_hash = hash_balancers_ (agent),
              .changes_from = from,
              .changes = changes } };

  b->sent_us = now_us;
  rgy_stream_emit_message (&agent->settings.out, b->ip, &message);
}

struct snapshot_
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

  rgy_flow_ends_encode (key, change);
  change[RGY_FLOW_ENDS_BYTES] = opened ? 1 : 0;
  g_byte_array_append (changes, change, sizeof change);
}

static void
send_part_ (const struct snapshot_ *snapshot)
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
  struct snapshot_ *snapshot = ctx;
  const struct rgy_agent_stream *stream = flow->session;

  if (!stream->announced || stream->audience != snapshot->balancer->domain)
    return true;
  append_change_ (snapshot->changes, &flow->key, true);
  if (snapshot->changes->len >= RGY_STREAM_MAX_CHANGES * RGY_FLOW_CHANGE_BYTES)
    send_part_ (snapshot);
  return true;
}

/* Sends all flows of its failure domain to a balancer that has just started.
   Reports that get lost are made up for by queries.  */
static void
send_snapshot_ (struct rgy_stream_agent *agent, struct rgy_agent_balancer *b,
                int64_t now_us)
{
  struct snapshot_ snapshot = { .agent = agent,
                                .balancer = b,
                                .changes = g_byte_array_new (),
                                .now_us = now_us };

  rgy_flow_table_foreach (agent->flows, add_to_snapshot_, &snapshot);
  if (snapshot.changes->len > 0)
    send_part_ (&snapshot);
  g_byte_array_unref (snapshot.changes);
  b->acked = journal_end_ (get_journal_ (agent, b->domain));
  b->synced = true;
}

static void
report_to_ (struct rgy_stream_agent *agent, struct rgy_agent_balancer *b,
            int64_t now_us)
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
  from = MAX (b->acked, journal->from);
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
    report_to_ (
        agent, &g_array_index (agent->balancers, struct rgy_agent_balancer, i),
        now_us);
}

/* Changes go out with the next periodic report: the balancer that carries a
   new flow knows it from TAKEN, the others need it only when the router moves
   the flow, and can ask.  */
void
rgy_stream_agent_record_change_ (struct rgy_stream_agent *agent,
                                 const struct rgy_flow_key *key,
                                 uint64_t domain, bool opened)
{
  struct rgy_flow_journal *journal = get_journal_ (agent, domain);

  append_change_ (journal->changes, key, opened);
  if (journal->changes->len > MAX_JOURNAL * RGY_FLOW_CHANGE_BYTES)
    {
      guint half = MAX_JOURNAL / 2;

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

  if (ip == 0 || find_balancer_ (agent, ip) != NULL
      || agent->balancers->len >= RGY_STREAM_MAX_BALANCERS)
    return;
  g_array_append_val (agent->balancers, added);
  report_to_ (agent,
              &g_array_index (agent->balancers, struct rgy_agent_balancer,
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

      if (b->heard_us != 0 && now_us - b->heard_us < BALANCER_HEARD_US)
        return true;
    }
  return false;
}

void
rgy_stream_agent_report_when_due_ (struct rgy_stream_agent *agent,
                                   int64_t now_us)
{
  guint i;

  for (i = 0; i < agent->balancers->len;)
    {
      struct rgy_agent_balancer *b
          = &g_array_index (agent->balancers, struct rgy_agent_balancer, i);
      int64_t silent_us = now_us - MAX (b->heard_us, b->added_us);
      bool slow = silent_us > BALANCER_SLOW_US;

      if (silent_us > BALANCER_FORGET_US)
        {
          g_array_remove_index_fast (agent->balancers, i);
          continue;
        }
      if (now_us - b->sent_us
          >= (slow ? BALANCER_SLOW_INTERVAL_US : REPORT_INTERVAL_US))
        report_to_ (agent, b, now_us);
      i++;
    }
}

/* Messages.  */

static void
from_ack_ (struct rgy_stream_agent *agent,
           const struct rgy_stream_report_ack *ack, uint32_t from_ip,
           int64_t now_us)
{
  struct rgy_agent_balancer *b = find_balancer_ (agent, from_ip);
  size_t i;

  if (b == NULL || ack->agent_incarnation != agent->settings.incarnation)
    return;
  b->heard_us = now_us;
  if (ack->view.revision > agent->view.revision)
    {
      bool was
          = rgy_domain_view_is_out (&agent->view, &agent->settings.domain);
      bool is = rgy_domain_view_is_out (&ack->view, &agent->settings.domain);

      if (was != is)
        rgy_stream_emit_log (&agent->settings.out,
                             "domain_%s domain=%s revision=%" G_GUINT64_FORMAT,
                             is ? "out" : "in", agent->settings.domain.data,
                             ack->view.revision);
      agent->view = ack->view;
    }
  agent->cold_rate_milli = ack->cold_rate_milli;
  agent->idle_us = MAX (agent->idle_us, ack->idle_timeout_ms * RGY_US_PER_MS);
  if (b->incarnation != ack->balancer_incarnation || !b->synced)
    {
      b->incarnation = ack->balancer_incarnation;
      b->domain = ack->balancer_domain;
      send_snapshot_ (agent, b, now_us);
    }
  else if (ack->changes_upto > b->acked
           && ack->changes_upto
                  <= journal_end_ (get_journal_ (agent, b->domain)))
    b->acked = ack->changes_upto;
  for (i = 0; i + RGY_STREAM_IP_BYTES <= ack->balancers.len;
       i += RGY_STREAM_IP_BYTES)
    rgy_stream_agent_add_balancer (
        agent, rgy_stream_get_ip (ack->balancers.data + i), now_us);
}

static enum rgy_flow_held
holds_ (const struct rgy_stream_agent *agent, const struct rgy_flow_key *key)
{
  const struct rgy_flow *flow = rgy_flow_table_find (agent->flows, key);
  const struct rgy_agent_stream *stream = flow == NULL ? NULL : flow->session;

  if (agent->state == RGY_BACKEND_GONE)
    return RGY_HELD_NO;
  if (stream == NULL)
    return agent->complete ? RGY_HELD_NO : RGY_HELD_UNSURE;
  switch (stream->state)
    {
    case FLOW_OPENING:
    case FLOW_ANSWERED:
    case FLOW_OPEN:
    case FLOW_CLOSED:
      return RGY_HELD_YES;
    case FLOW_PROBING:
      return RGY_HELD_UNSURE;
    case FLOW_ABSENT:
      break;
    }
  return RGY_HELD_NO;
}

static void
from_query_ (struct rgy_stream_agent *agent, struct rgy_bytes queried,
             uint32_t from_ip)
{
  uint8_t answers[RGY_STREAM_MAX_QUERIED * RGY_FLOW_ANSWER_BYTES];
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_ANSWER, .u.answers = { .data = answers } };
  size_t i;

  for (i = 0; i < queried.len; i += RGY_FLOW_ENDS_BYTES)
    {
      struct rgy_flow_key key = rgy_flow_ends_decode (queried.data + i);
      uint8_t *answer = answers + message.u.answers.len;

      rgy_flow_ends_encode (&key, answer);
      answer[RGY_FLOW_ENDS_BYTES] = (uint8_t)holds_ (agent, &key);
      message.u.answers.len += RGY_FLOW_ANSWER_BYTES;
    }
  rgy_stream_emit_message (&agent->settings.out, from_ip, &message);
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
      from_ack_ (agent, &message.u.ack, from_ip, now_us);
      return RGY_OK;
    case RGY_STREAM_HELLO:
      rgy_stream_agent_add_balancer (agent, from_ip, now_us);
      report_to_ (agent, find_balancer_ (agent, from_ip), now_us);
      return RGY_OK;
    case RGY_STREAM_QUERY:
      from_query_ (agent, message.u.queried, from_ip);
      return RGY_OK;
    case RGY_STREAM_REPORT:
    case RGY_STREAM_STATUS:
    case RGY_STREAM_TAKEN:
    case RGY_STREAM_REFUSED:
    case RGY_STREAM_ANSWER:
    case RGY_STREAM_MESSAGE_KIND_COUNT:
      break;
    }
  ++*agent->n_bad_messages;
  return RGY_ERR_UNSUPPORTED;
}
