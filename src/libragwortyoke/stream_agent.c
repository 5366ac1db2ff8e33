#include "ragwortyoke/stream_agent.h"

#include <glib.h>
#include <string.h>

#include "ragwortyoke/clock.h"

/* Reports without a change; a balancer misses 4 before it takes an agent for
   lost.  */
#define REPORT_INTERVAL_US (400 * RGY_US_PER_MS)
/* A balancer that acknowledges nothing gets reports at a slow rate after this
   time, and none after BALANCER_FORGET_US.  */
#define BALANCER_SLOW_US (10 * RGY_US_PER_S)
#define BALANCER_SLOW_INTERVAL_US (2 * RGY_US_PER_S)
#define BALANCER_FORGET_US (120 * RGY_US_PER_S)
/* Balancers acknowledge at least once a second.  */
#define BALANCER_HEARD_US (2500 * RGY_US_PER_MS)
/* The backend server returns a segment within a millisecond; the margin
   covers a loaded machine.  */
#define PROBE_US (30 * RGY_US_PER_MS)
/* A probe without any sign of the backend server is forgotten.  */
#define PROBE_END_US (2 * RGY_US_PER_S)
/* How long a bounce counts as "does not hold it".  */
#define ABSENT_US (5 * RGY_US_PER_S)
/* Closed flows still get late segments of their ends.  */
#define CLOSED_US (4 * RGY_US_PER_S)
/* A first segment without an answer for this long is forgotten.  */
#define OPENING_US (5 * RGY_US_PER_S)
/* A caller takes an answer up within its own limit of 1.4 s, or never.  */
#define AWAITED_US (1500 * RGY_US_PER_MS)
/* Unanswered first segments in a row before the backend server counts as
   silent.  */
#define SILENT_OPENINGS 4
#define OPENING_ANSWER_US (250 * RGY_US_PER_MS)
/* Missed heartbeats before it takes no new flows, and before its flows are
   reset; the second is longer, since a wrong reset breaks a flow.  */
#define SILENT_HEARTBEATS_X10 25
#define LOST_HEARTBEATS_X10 33
/* A sign of life from its packets counts as a heartbeat for this long.  */
#define PACKET_ALIVE_US (1500 * RGY_US_PER_MS)
/* The backend server ends just after it has said so.  */
#define GONE_RESET_US (300 * RGY_US_PER_MS)
/* The users count a cold backend server's new flows in any second; the rest of
   the window covers the way from the agent.  */
#define COLD_WINDOW_US (1050 * RGY_US_PER_MS)
#define COLD_RING 256
/* A pause of the process that makes queued first segments too old.  */
#define STALL_US (700 * RGY_US_PER_MS)
/* Pause between two passes over all flows; bounds their processor time.  */
#define SWEEP_INTERVAL_US (40 * RGY_US_PER_MS)
#define IDLE_SLACK_US (2 * RGY_US_PER_S)
/* Flow changes kept for balancers that lag.  */
#define MAX_JOURNAL 8192
#define LATENCY_WEIGHT 8

enum flow_state_
{
  FLOW_OPENING,  /* First segment delivered, no answer yet.  */
  FLOW_ANSWERED, /* The backend server's number is known.  */
  FLOW_OPEN,
  FLOW_PROBING, /* One segment delivered to find out whether it is held.  */
  FLOW_ABSENT,  /* The backend server does not hold it.  */
  FLOW_CLOSED   /* Both ends have finished.  */
};

/* The agent's part of a flow.  */
struct stream_
{
  enum flow_state_ state;
  uint32_t backend_seq; /* Of its first segment.  */
  uint32_t caller_ack;  /* What the caller acknowledged last.  */
  uint32_t balancer_ip;
  unsigned generation; /* Start of the backend server it was opened at.  */
  bool caller_finished;
  bool backend_finished;
  bool announced;
  bool confirmed; /* The backend server has sent on it.  */
  bool awaited;   /* Counted in n_awaited.  */
  int64_t since_us;
  int64_t asked_us; /* Caller's payload that waits for an answer; 0: none.  */
};

struct balancer_
{
  uint32_t ip;
  uint64_t incarnation;
  int64_t added_us;
  int64_t heard_us; /* Last acknowledgement; 0: none.  */
  int64_t sent_us;
  uint64_t acked; /* Number after the last change it has.  */
  bool synced;    /* It got all flows since its start.  */
};

struct rgy_stream_agent
{
  struct rgy_stream_agent_settings settings;
  uint32_t service_tag;
  struct rgy_flow_table *flows;
  uint32_t n_open;
  uint32_t n_awaited; /* Answered flows that the caller may yet take up.  */
  GArray *balancers;  /* struct balancer_.  */
  uint64_t seq;

  GByteArray *journal; /* Changes from journal_from on.  */
  uint64_t journal_from;

  struct rgy_name backend;
  int64_t backend_started_ms;
  uint64_t backend_seq;
  enum rgy_backend_state state;
  unsigned generation;
  bool complete;
  bool stopping;
  uint32_t slots;
  int64_t started_us;
  int64_t heartbeat_us; /* Last one; 0: none.  */
  int64_t packet_us;    /* Last packet of the backend server.  */
  int64_t cold_until_us;
  int64_t gone_us;
  int64_t cold_opened_us[COLD_RING];
  unsigned cold_next;
  unsigned unanswered;
  int64_t ticked_us;
  bool stalled;
  uint32_t latency_us;

  struct rgy_domain_view view;
  uint32_t cold_rate_milli;
  int64_t swept_us;
  int64_t idle_us; /* Longest idle timeout stated; 0: none.  */

  struct rgy_histogram *answer_time;
  uint64_t *n_opened;
  uint64_t *n_refused[RGY_STREAM_REFUSAL_COUNT];
  uint64_t *n_missed;
  uint64_t *n_resets;
  uint64_t *n_probes;
  uint64_t *n_stale_heartbeats;
  uint64_t *n_bad_messages;
};

static void
add_counters_ (struct rgy_stream_agent *agent, struct rgy_counters *counters)
{
  const struct rgy_counter_spec specs[] = {
    { .value = &agent->n_opened,
      .name = "stream_flows_opened_total",
      .help = "Flows that the backend server answered." },
    { .value = &agent->n_missed,
      .name = "stream_misses_total",
      .help = "Segments returned because the flow is not here." },
    { .value = &agent->n_resets,
      .name = "stream_resets_total",
      .help = "Flows reset because the backend server has lost them." },
    { .value = &agent->n_probes,
      .name = "stream_probes_total",
      .help = "Segments of unknown flows tried at the backend server." },
    { .value = &agent->n_stale_heartbeats,
      .name = "backend_heartbeats_stale_total",
      .help = "Heartbeats older than what is known." },
    { .value = &agent->n_bad_messages,
      .name = "stream_messages_invalid_total",
      .help = "Control messages that could not be decoded." },
  };
  int i;

  rgy_counters_add_all (counters, specs, G_N_ELEMENTS (specs));
  agent->answer_time = rgy_counters_add_histogram (
      counters, "backend_answer_seconds",
      "Time from a caller's payload to the first payload in answer.");
  for (i = 0; i < RGY_STREAM_REFUSAL_COUNT; i++)
    {
      char *label
          = g_strdup_printf ("reason=\"%s\"", rgy_stream_refusal_string[i]);

      agent->n_refused[i]
          = rgy_counters_add (counters, "stream_refused_total", label,
                              "New flows that the agent did not take.");
      g_free (label);
    }
}

struct rgy_stream_agent *
rgy_stream_agent_new (const struct rgy_stream_agent_settings *settings,
                      struct rgy_counters *counters, int64_t now_us)
{
  struct rgy_stream_agent *agent = g_new0 (struct rgy_stream_agent, 1);

  agent->settings = *settings;
  agent->service_tag = rgy_service_tag (&settings->service);
  agent->flows
      = rgy_flow_table_new (settings->max_flows, settings->flow_ttl_us);
  agent->balancers = g_array_new (FALSE, TRUE, sizeof (struct balancer_));
  agent->journal = g_byte_array_new ();
  agent->slots = 1;
  agent->complete = settings->first_start;
  agent->started_us = now_us;
  agent->ticked_us = now_us;
  add_counters_ (agent, counters);
  return agent;
}

static bool
free_session_ (struct rgy_flow *flow, void *ctx)
{
  (void)ctx;
  g_free (flow->session);
  flow->session = NULL;
  return true;
}

void
rgy_stream_agent_delete (struct rgy_stream_agent *agent)
{
  if (agent == NULL)
    return;
  rgy_flow_table_foreach (agent->flows, free_session_, NULL);
  rgy_flow_table_delete (agent->flows);
  g_array_unref (agent->balancers);
  g_byte_array_unref (agent->journal);
  g_free (agent);
}

enum rgy_backend_state
rgy_stream_agent_get_state (const struct rgy_stream_agent *agent)
{
  return agent->state;
}

/* Reports.  */

static struct balancer_ *
find_balancer_ (const struct rgy_stream_agent *agent, uint32_t ip)
{
  guint i;

  for (i = 0; i < agent->balancers->len; i++)
    {
      struct balancer_ *b
          = &g_array_index (agent->balancers, struct balancer_, i);

      if (b->ip == ip)
        return b;
    }
  return NULL;
}

/* Independent of the order in which the balancers became known.  */
static uint64_t
hash_balancers_ (const struct rgy_stream_agent *agent)
{
  uint64_t hash = 0;
  guint i;

  for (i = 0; i < agent->balancers->len; i++)
    {
      uint32_t ip = g_array_index (agent->balancers, struct balancer_, i).ip;

      hash ^= rgy_hash_bytes (
          (struct rgy_bytes){ .data = (const uint8_t *)&ip, .len = sizeof ip },
          0);
    }
  return hash;
}

static uint64_t
journal_end_ (const struct rgy_stream_agent *agent)
{
  return agent->journal_from + agent->journal->len / RGY_FLOW_CHANGE_BYTES;
}

static void
send_report_ (struct rgy_stream_agent *agent, struct balancer_ *b,
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
              .awaited_flows = agent->n_awaited,
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
  struct balancer_ *balancer;
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

static bool
add_to_snapshot_ (struct rgy_flow *flow, void *ctx)
{
  struct snapshot_ *snapshot = ctx;
  const struct stream_ *stream = flow->session;

  if (!stream->announced)
    return true;
  append_change_ (snapshot->changes, &flow->key, true);
  if (snapshot->changes->len >= RGY_STREAM_MAX_CHANGES * RGY_FLOW_CHANGE_BYTES)
    {
      send_report_ (snapshot->agent, snapshot->balancer, 0,
                    (struct rgy_bytes){ .data = snapshot->changes->data,
                                        .len = snapshot->changes->len },
                    snapshot->now_us);
      g_byte_array_set_size (snapshot->changes, 0);
    }
  return true;
}

/* Sends all flows to a balancer that has just started.  Reports that get lost
   are made up for by queries.  */
static void
send_snapshot_ (struct rgy_stream_agent *agent, struct balancer_ *b,
                int64_t now_us)
{
  struct snapshot_ snapshot = { .agent = agent,
                                .balancer = b,
                                .changes = g_byte_array_new (),
                                .now_us = now_us };

  rgy_flow_table_foreach (agent->flows, add_to_snapshot_, &snapshot);
  if (snapshot.changes->len > 0)
    send_report_ (agent, b, 0,
                  (struct rgy_bytes){ .data = snapshot.changes->data,
                                      .len = snapshot.changes->len },
                  now_us);
  g_byte_array_unref (snapshot.changes);
  b->acked = journal_end_ (agent);
  b->synced = true;
}

static void
report_to_ (struct rgy_stream_agent *agent, struct balancer_ *b,
            int64_t now_us)
{
  uint64_t from = MAX (b->acked, agent->journal_from);
  size_t offset = (size_t)(from - agent->journal_from) * RGY_FLOW_CHANGE_BYTES;
  size_t len = MIN (agent->journal->len - offset,
                    RGY_STREAM_MAX_CHANGES * RGY_FLOW_CHANGE_BYTES);

  send_report_ (
      agent, b, from,
      (struct rgy_bytes){ .data = agent->journal->data + offset, .len = len },
      now_us);
}

static void
report_to_all_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  guint i;

  for (i = 0; i < agent->balancers->len; i++)
    report_to_ (agent, &g_array_index (agent->balancers, struct balancer_, i),
                now_us);
}

/* Changes go out with the next periodic report: the balancer that carries a
   new flow knows it from TAKEN, the others need it only when the router moves
   the flow, and can ask.  */
static void
record_change_ (struct rgy_stream_agent *agent, const struct rgy_flow_key *key,
                bool opened)
{
  append_change_ (agent->journal, key, opened);
  if (agent->journal->len > MAX_JOURNAL * RGY_FLOW_CHANGE_BYTES)
    {
      guint half = MAX_JOURNAL / 2;

      g_byte_array_remove_range (agent->journal, 0,
                                 half * RGY_FLOW_CHANGE_BYTES);
      agent->journal_from += half;
    }
}

void
rgy_stream_agent_add_balancer (struct rgy_stream_agent *agent, uint32_t ip,
                               int64_t now_us)
{
  struct balancer_ added = { .ip = ip, .added_us = now_us };

  if (ip == 0 || find_balancer_ (agent, ip) != NULL
      || agent->balancers->len >= RGY_STREAM_MAX_BALANCERS)
    return;
  added.acked = journal_end_ (agent);
  g_array_append_val (agent->balancers, added);
  report_to_ (agent,
              &g_array_index (agent->balancers, struct balancer_,
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
      const struct balancer_ *b
          = &g_array_index (agent->balancers, struct balancer_, i);

      if (b->heard_us != 0 && now_us - b->heard_us < BALANCER_HEARD_US)
        return true;
    }
  return false;
}

/* Flows.  */

static struct rgy_flow *
open_ (struct rgy_stream_agent *agent, const struct rgy_flow_key *key,
       enum flow_state_ state, int64_t now_us)
{
  struct rgy_flow *flow = NULL;
  struct stream_ *stream;

  if (rgy_flow_table_open (agent->flows, key, now_us, &flow) != RGY_OK)
    return NULL;
  stream = g_new0 (struct stream_, 1);
  stream->state = state;
  stream->since_us = now_us;
  stream->generation = agent->generation;
  flow->session = stream;
  return flow;
}

static void
set_awaited_ (struct rgy_stream_agent *agent, struct stream_ *stream,
              bool awaited)
{
  if (stream->awaited == awaited)
    return;
  stream->awaited = awaited;
  agent->n_awaited += awaited ? 1U : -1U;
}

static void
set_state_ (struct rgy_stream_agent *agent, struct rgy_flow *flow,
            enum flow_state_ state, int64_t now_us)
{
  struct stream_ *stream = flow->session;
  bool open = state == FLOW_OPEN;

  if (open != stream->announced)
    {
      stream->announced = open;
      if (open)
        agent->n_open++;
      else
        agent->n_open--;
      record_change_ (agent, &flow->key, open);
    }
  set_awaited_ (agent, stream, state == FLOW_ANSWERED);
  stream->state = state;
  stream->since_us = now_us;
}

static void
remove_ (struct rgy_stream_agent *agent, struct rgy_flow *flow, int64_t now_us)
{
  set_state_ (agent, flow, FLOW_ABSENT, now_us);
  g_free (flow->session);
  flow->session = NULL;
  rgy_flow_table_close (agent->flows, flow);
}

/* Tells the caller that a flow is lost.  Only for flows that the backend
   server certainly does not hold any more.  */
static void
reset_ (struct rgy_stream_agent *agent, struct rgy_flow *flow, const char *why,
        int64_t now_us)
{
  const struct stream_ *stream = flow->session;
  char text[RGY_FLOW_TEXT_BYTES];

  ++*agent->n_resets;
  rgy_stream_emit_log (&agent->settings.out,
                       "flow_reset flow=%s reason=%s generation=%u of=%u",
                       rgy_flow_key_format (&flow->key, text), why,
                       stream->generation, agent->generation);
  rgy_stream_emit_reset (&agent->settings.out, &flow->key, stream->caller_ack);
  set_state_ (agent, flow, FLOW_ABSENT, now_us);
}

static void
deliver_ (struct rgy_stream_agent *agent, const struct rgy_segment *segment,
          uint32_t balancer_ip)
{
  rgy_stream_emit_segment (&agent->settings.out, RGY_STREAM_TO_BACKEND, 0,
                           &segment->key, segment->raw,
                           (struct rgy_trail){ .balancer_ip = balancer_ip });
}

static void
return_ (struct rgy_stream_agent *agent, const struct rgy_segment *segment,
         uint32_t balancer_ip, const char *why)
{
  char text[RGY_FLOW_TEXT_BYTES];

  ++*agent->n_missed;
  rgy_stream_emit_log (&agent->settings.out,
                       "segment_returned flow=%s reason=%s flags=%u seq=%u "
                       "ack=%u complete=%d",
                       rgy_flow_key_format (&segment->key, text), why,
                       segment->flags, segment->seq, segment->ack,
                       agent->complete);
  rgy_stream_emit_segment (&agent->settings.out, RGY_STREAM_TO_BALANCER,
                           balancer_ip, &segment->key, segment->raw,
                           (struct rgy_trail){ .mark = RGY_MARK_MISS });
}

static void
answer_ (struct rgy_stream_agent *agent, enum rgy_stream_message_kind kind,
         const struct rgy_flow_key *key, uint32_t ip, int argument)
{
  struct rgy_stream_message message
      = { .kind = kind, .u.flow = { .key = *key } };

  if (kind == RGY_STREAM_REFUSED)
    message.u.flow.reason = (enum rgy_stream_refusal)argument;
  else
    message.u.flow.held = (enum rgy_flow_held)argument;
  rgy_stream_emit_message (&agent->settings.out, ip, &message);
}

static void
refuse_ (struct rgy_stream_agent *agent, const struct rgy_segment *segment,
         uint32_t ip, enum rgy_stream_refusal reason)
{
  char text[RGY_FLOW_TEXT_BYTES];

  ++*agent->n_refused[reason];
  rgy_stream_emit_log (&agent->settings.out,
                       "open_refused flow=%s reason=%s backend=%s state=%s "
                       "view=%" G_GUINT64_FORMAT,
                       rgy_flow_key_format (&segment->key, text),
                       rgy_stream_refusal_string[reason], agent->backend.data,
                       rgy_backend_state_string[agent->state],
                       agent->view.revision);
  answer_ (agent, RGY_STREAM_REFUSED, &segment->key, ip, (int)reason);
}

static void set_backend_state_ (struct rgy_stream_agent *agent,
                                enum rgy_backend_state state, const char *why,
                                int64_t now_us);

/* True when the rate of a cold backend server leaves room; counts the flow.  A
   service without a rate has no limit.  */
static bool
take_cold_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  double rate = agent->cold_rate_milli / 1000.0;
  unsigned allowed = (unsigned)MIN (rate * agent->settings.cold_overshoot
                                        + agent->settings.cold_slack,
                                    (double)COLD_RING);
  unsigned recent = 0;
  unsigned i;

  if (agent->cold_rate_milli == 0)
    return true;
  for (i = 0; i < COLD_RING; i++)
    if (agent->cold_opened_us[i] != 0
        && now_us - agent->cold_opened_us[i] < COLD_WINDOW_US)
      recent++;
  if (recent >= allowed)
    return false;
  agent->cold_opened_us[agent->cold_next] = now_us;
  agent->cold_next = (agent->cold_next + 1) % COLD_RING;
  return true;
}

static void
from_caller_opening_ (struct rgy_stream_agent *agent,
                      const struct rgy_segment *segment, uint32_t ip,
                      struct rgy_flow *flow, int64_t now_us)
{
  struct stream_ *stream;

  if (segment->trail.service_tag != agent->service_tag)
    {
      refuse_ (agent, segment, ip, RGY_REFUSED_SERVICE);
      return;
    }
  if (flow != NULL && ((struct stream_ *)flow->session)->state <= FLOW_OPEN)
    {
      stream = flow->session;
      stream->balancer_ip = ip;
      rgy_flow_table_touch (agent->flows, flow, now_us);
      deliver_ (agent, segment, ip);
      return;
    }
  if (agent->stopping)
    refuse_ (agent, segment, ip, RGY_REFUSED_RESTARTING);
  else if (agent->state != RGY_BACKEND_READY
           && agent->state != RGY_BACKEND_UNKNOWN)
    refuse_ (agent, segment, ip, RGY_REFUSED_STATE);
  else if (rgy_domain_view_is_out (&agent->view, &agent->settings.domain))
    refuse_ (agent, segment, ip, RGY_REFUSED_DOMAIN);
  else if (agent->cold_until_us > now_us && !take_cold_ (agent, now_us))
    refuse_ (agent, segment, ip, RGY_REFUSED_COLD);
  else
    {
      if (flow != NULL)
        remove_ (agent, flow, now_us);
      flow = open_ (agent, &segment->key, FLOW_OPENING, now_us);
      if (flow == NULL)
        {
          refuse_ (agent, segment, ip, RGY_REFUSED_FULL);
          return;
        }
      stream = flow->session;
      stream->balancer_ip = ip;
      deliver_ (agent, segment, ip);
    }
}

/* Tries a segment of an unknown flow at the backend server.  */
static void
probe_ (struct rgy_stream_agent *agent, const struct rgy_segment *segment,
        uint32_t ip, int64_t now_us)
{
  struct rgy_flow *flow = open_ (agent, &segment->key, FLOW_PROBING, now_us);
  struct stream_ *stream;

  if (flow == NULL)
    return;
  stream = flow->session;
  stream->balancer_ip = ip;
  stream->caller_ack = segment->ack;
  ++*agent->n_probes;
  deliver_ (agent, segment, ip);
}

static void
note_caller_ (struct stream_ *stream, const struct rgy_segment *segment,
              int64_t now_us)
{
  if ((segment->flags & RGY_SEGMENT_ACK) != 0)
    stream->caller_ack = segment->ack;
  if ((segment->flags & RGY_SEGMENT_FIN) != 0)
    stream->caller_finished = true;
  if (segment->payload_len > 0 && stream->asked_us == 0)
    stream->asked_us = now_us;
}

void
rgy_stream_agent_from_balancer (struct rgy_stream_agent *agent,
                                const struct rgy_segment *segment, uint32_t ip,
                                int64_t now_us)
{
  struct rgy_flow *flow = rgy_flow_table_find (agent->flows, &segment->key);
  struct stream_ *stream = flow == NULL ? NULL : flow->session;

  if (rgy_segment_is_opening (segment))
    {
      if (!agent->stalled)
        from_caller_opening_ (agent, segment, ip, flow, now_us);
      return;
    }
  if (stream == NULL)
    {
      if (agent->complete || agent->state == RGY_BACKEND_GONE)
        return_ (agent, segment, ip, "unknown");
      else
        probe_ (agent, segment, ip, now_us);
      return;
    }
  rgy_flow_table_touch (agent->flows, flow, now_us);
  stream->balancer_ip = ip;
  switch (stream->state)
    {
    case FLOW_ABSENT:
      return_ (agent, segment, ip, "absent");
      return;
    case FLOW_PROBING:
      /* The probe's outcome comes first; the caller repeats this one.  */
      if (now_us - stream->since_us < PROBE_US)
        return;
      note_caller_ (stream, segment, now_us);
      deliver_ (agent, segment, ip);
      return;
    case FLOW_OPENING:
      /* The answer that the caller has is another backend server's.  */
      return_ (agent, segment, ip, "not-answered");
      return;
    case FLOW_ANSWERED:
      if ((segment->flags & RGY_SEGMENT_ACK) != 0
          && (segment->flags & RGY_SEGMENT_RST) == 0
          && segment->ack - stream->backend_seq > 1)
        {
          /* The caller took the answer of another backend server.  */
          return_ (agent, segment, ip, "other-answer");
          return;
        }
      set_state_ (agent, flow, FLOW_OPEN, now_us);
      break;
    case FLOW_OPEN:
    case FLOW_CLOSED:
      break;
    }
  note_caller_ (stream, segment, now_us);
  deliver_ (agent, segment, ip);
  if ((segment->flags & RGY_SEGMENT_RST) != 0
      || (stream->caller_finished && stream->backend_finished))
    if (stream->state == FLOW_OPEN)
      set_state_ (agent, flow, FLOW_CLOSED, now_us);
}

/* The backend server holds a flow that this agent did not know.  */
static void
recognise_ (struct rgy_stream_agent *agent, struct rgy_flow *flow,
            int64_t now_us)
{
  const struct stream_ *stream = flow->session;

  set_state_ (agent, flow, FLOW_OPEN, now_us);
  if (stream->balancer_ip != 0)
    answer_ (agent, RGY_STREAM_ANSWER, &flow->key, stream->balancer_ip,
             RGY_HELD_YES);
}

static void
from_backend_bounced_ (struct rgy_stream_agent *agent,
                       const struct rgy_segment *segment, int64_t now_us)
{
  struct rgy_flow *flow = rgy_flow_table_find (agent->flows, &segment->key);
  struct stream_ *stream = flow == NULL ? NULL : flow->session;
  uint32_t ip = segment->trail.balancer_ip;

  if (ip == 0 && stream != NULL)
    ip = stream->balancer_ip;
  if (rgy_segment_is_opening (segment))
    {
      agent->unanswered = 0;
      if (agent->state == RGY_BACKEND_UNKNOWN)
        set_backend_state_ (agent, RGY_BACKEND_SILENT, "bounced", now_us);
      if (stream != NULL && stream->state == FLOW_OPENING)
        remove_ (agent, flow, now_us);
      refuse_ (agent, segment, ip, RGY_REFUSED_FULL);
      return;
    }
  if (flow == NULL)
    {
      flow = open_ (agent, &segment->key, FLOW_ABSENT, now_us);
      stream = flow == NULL ? NULL : flow->session;
    }
  if (stream == NULL)
    return;
  if (stream->announced && stream->confirmed)
    {
      /* It was held here and is not any more: nobody else can have it.  */
      stream->caller_ack = segment->ack;
      reset_ (agent, flow, "bounced", now_us);
      return;
    }
  if (stream->state != FLOW_CLOSED)
    {
      set_state_ (agent, flow, FLOW_ABSENT, now_us);
      return_ (agent, segment, ip, "bounced");
    }
}

/* The backend server resets a flow that is not open here: the caller may have
   it open at another one, so the reset must not reach the caller.  */
static void
disown_ (struct rgy_stream_agent *agent, struct rgy_flow *flow, int64_t now_us)
{
  const struct stream_ *stream = flow->session;
  bool opening
      = stream->state == FLOW_OPENING || stream->state == FLOW_ANSWERED;

  if (stream->balancer_ip != 0)
    answer_ (agent, opening ? RGY_STREAM_REFUSED : RGY_STREAM_ANSWER,
             &flow->key, stream->balancer_ip,
             opening ? (int)RGY_REFUSED_FULL : (int)RGY_HELD_NO);
  set_state_ (agent, flow, FLOW_ABSENT, now_us);
}

void
rgy_stream_agent_from_backend (struct rgy_stream_agent *agent,
                               const struct rgy_segment *segment,
                               int64_t now_us)
{
  struct rgy_flow *flow;
  struct stream_ *stream;

  /* Bounces also come for a backend server that has ended, so they are no sign
     of life.  */
  if ((segment->flags & RGY_SEGMENT_BOUNCED) != 0)
    {
      from_backend_bounced_ (agent, segment, now_us);
      return;
    }
  agent->packet_us = now_us;
  flow = rgy_flow_table_find (agent->flows, &segment->key);
  if (flow != NULL && (segment->flags & RGY_SEGMENT_RST) != 0
      && !((struct stream_ *)flow->session)->announced
      && ((struct stream_ *)flow->session)->state != FLOW_CLOSED)
    {
      disown_ (agent, flow, now_us);
      return;
    }
  if (flow == NULL && (segment->flags & RGY_SEGMENT_RST) == 0)
    flow = open_ (agent, &segment->key, FLOW_PROBING, now_us);
  stream = flow == NULL ? NULL : flow->session;
  if (stream != NULL)
    {
      rgy_flow_table_touch (agent->flows, flow, now_us);
      stream->generation = agent->generation;
      stream->confirmed = true;
      if ((segment->flags & RGY_SEGMENT_RST) != 0)
        set_state_ (agent, flow, FLOW_CLOSED, now_us);
      else if ((segment->flags & RGY_SEGMENT_SYN) != 0)
        {
          agent->unanswered = 0;
          if (stream->state != FLOW_OPEN)
            {
              if (stream->state != FLOW_ANSWERED)
                ++*agent->n_opened;
              set_state_ (agent, flow, FLOW_ANSWERED, now_us);
              stream->backend_seq = segment->seq;
              if (stream->balancer_ip != 0)
                answer_ (agent, RGY_STREAM_TAKEN, &segment->key,
                         stream->balancer_ip, 0);
            }
        }
      else if (stream->state == FLOW_PROBING || stream->state == FLOW_ABSENT)
        recognise_ (agent, flow, now_us);
      if (segment->payload_len > 0 && stream->asked_us != 0)
        {
          int64_t took = now_us - stream->asked_us;

          rgy_histogram_observe (agent->answer_time, took);

          agent->latency_us
              = agent->latency_us == 0
                    ? (uint32_t)took
                    : (uint32_t)((agent->latency_us
                                      * (int64_t)(LATENCY_WEIGHT - 1)
                                  + took)
                                 / LATENCY_WEIGHT);
          stream->asked_us = 0;
        }
      if ((segment->flags & RGY_SEGMENT_FIN) != 0)
        stream->backend_finished = true;
      if (stream->state == FLOW_OPEN && stream->caller_finished
          && stream->backend_finished)
        set_state_ (agent, flow, FLOW_CLOSED, now_us);
    }
  rgy_stream_emit_segment (&agent->settings.out, RGY_STREAM_TO_CALLER, 0,
                           &segment->key, segment->raw,
                           (struct rgy_trail){ 0 });
}

/* Messages.  */

static void
from_ack_ (struct rgy_stream_agent *agent,
           const struct rgy_stream_report_ack *ack, uint32_t from_ip,
           int64_t now_us)
{
  struct balancer_ *b = find_balancer_ (agent, from_ip);
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
      send_snapshot_ (agent, b, now_us);
    }
  else if (ack->changes_upto > b->acked
           && ack->changes_upto <= journal_end_ (agent))
    b->acked = ack->changes_upto;
  for (i = 0; i + 4 <= ack->balancers.len; i += 4)
    {
      const uint8_t *p = ack->balancers.data + i;

      rgy_stream_agent_add_balancer (agent,
                                     (uint32_t)p[0] << 24
                                         | (uint32_t)p[1] << 16
                                         | (uint32_t)p[2] << 8 | p[3],
                                     now_us);
    }
}

static void
from_query_ (struct rgy_stream_agent *agent, const struct rgy_flow_key *key,
             uint32_t from_ip)
{
  const struct rgy_flow *flow = rgy_flow_table_find (agent->flows, key);
  const struct stream_ *stream = flow == NULL ? NULL : flow->session;
  enum rgy_flow_held held = RGY_HELD_NO;

  if (agent->state == RGY_BACKEND_GONE)
    held = RGY_HELD_NO;
  else if (stream == NULL)
    held = agent->complete ? RGY_HELD_NO : RGY_HELD_UNSURE;
  else
    switch (stream->state)
      {
      case FLOW_OPENING:
      case FLOW_ANSWERED:
      case FLOW_OPEN:
      case FLOW_CLOSED:
        held = RGY_HELD_YES;
        break;
      case FLOW_PROBING:
        held = RGY_HELD_UNSURE;
        break;
      case FLOW_ABSENT:
        held = RGY_HELD_NO;
        break;
      }
  answer_ (agent, RGY_STREAM_ANSWER, key, from_ip, (int)held);
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
      from_query_ (agent, &message.u.flow.key, from_ip);
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

/* The backend server.  */

static void
set_backend_state_ (struct rgy_stream_agent *agent,
                    enum rgy_backend_state state, const char *why,
                    int64_t now_us)
{
  if (agent->state == state)
    return;
  rgy_stream_emit_log (&agent->settings.out,
                       "backend_state backend=%s from=%s to=%s reason=%s "
                       "heartbeat_age_ms=%" G_GINT64_FORMAT " open_flows=%u",
                       agent->backend.data,
                       rgy_backend_state_string[agent->state],
                       rgy_backend_state_string[state], why,
                       agent->heartbeat_us == 0
                           ? -1
                           : (now_us - agent->heartbeat_us) / RGY_US_PER_MS,
                       agent->n_open);
  agent->state = state;
  report_to_all_ (agent, now_us);
}

struct loss_
{
  struct rgy_stream_agent *agent;
  const char *why;
  int64_t opened_before_us;
  int64_t now_us;
};

static bool
reset_lost_ (struct rgy_flow *flow, void *ctx)
{
  struct loss_ *loss = ctx;
  const struct stream_ *stream = flow->session;

  if (stream->announced && stream->confirmed
      && flow->opened_us < loss->opened_before_us)
    reset_ (loss->agent, flow, loss->why, loss->now_us);
  return true;
}

static void
reset_flows_before_ (struct rgy_stream_agent *agent, int64_t before_us,
                     const char *why, int64_t now_us)
{
  struct loss_ loss = {
    .agent = agent, .why = why, .opened_before_us = before_us, .now_us = now_us
  };

  rgy_flow_table_foreach (agent->flows, reset_lost_, &loss);
}

/* A backend server started at this address.  Flows opened before its first
   heartbeat can have been sent are those of an earlier one; later ones are
   found by bounces.  */
static void
begin_backend_ (struct rgy_stream_agent *agent,
                const struct rgy_backend_heartbeat *heartbeat, int64_t now_us)
{
  bool first = agent->heartbeat_us == 0;
  int64_t alive_us
      = (int64_t)MIN (heartbeat->seq + 1, 1000) * agent->settings.heartbeat_us
        + RGY_US_PER_S / 2;

  agent->gone_us = 0;
  agent->backend = heartbeat->id;
  agent->backend_started_ms = heartbeat->started_ms;
  agent->generation++;
  rgy_stream_emit_log (
      &agent->settings.out,
      "backend_started backend=%s started_ms=%" G_GINT64_FORMAT
      " seq=%" G_GUINT64_FORMAT " first=%d",
      heartbeat->id.data, heartbeat->started_ms, heartbeat->seq, first);
  /* The first heartbeat of a start comes before any flow.  */
  if (first && heartbeat->seq <= 1)
    agent->complete = true;
  if (!first)
    {
      agent->complete = true;
      reset_flows_before_ (agent, now_us - alive_us, "backend-restarted",
                           now_us);
    }
}

enum rgy_outcome
rgy_stream_agent_heartbeat (struct rgy_stream_agent *agent,
                            const struct rgy_backend_heartbeat *heartbeat,
                            int64_t now_us)
{
  bool same = agent->heartbeat_us != 0
              && rgy_name_equal (&agent->backend, &heartbeat->id)
              && agent->backend_started_ms == heartbeat->started_ms;
  bool earlier = agent->heartbeat_us != 0
                 && heartbeat->started_ms < agent->backend_started_ms;

  if (!rgy_name_equal (&heartbeat->service, &agent->settings.service))
    return RGY_ERR_INVALID;
  if (earlier || (same && heartbeat->seq <= agent->backend_seq)
      || (same && (agent->state == RGY_BACKEND_GONE || agent->gone_us != 0)))
    {
      ++*agent->n_stale_heartbeats;
      return RGY_ERR_STALE;
    }
  if (!same)
    begin_backend_ (agent, heartbeat, now_us);
  agent->backend_seq = heartbeat->seq;
  agent->heartbeat_us = now_us;
  agent->unanswered = 0;
  agent->slots = MAX (heartbeat->slots, 1);
  agent->cold_until_us
      = heartbeat->cold_left_us > 0 ? now_us + heartbeat->cold_left_us : 0;
  set_backend_state_ (
      agent, heartbeat->draining ? RGY_BACKEND_DRAINING : RGY_BACKEND_READY,
      "heartbeat", now_us);
  return RGY_OK;
}

enum rgy_outcome
rgy_stream_agent_leave (struct rgy_stream_agent *agent,
                        const struct rgy_name *id, int64_t now_us)
{
  if (agent->heartbeat_us != 0 && !rgy_name_equal (&agent->backend, id))
    return RGY_ERR_STALE;
  if (agent->heartbeat_us == 0)
    {
      agent->backend = *id;
      agent->heartbeat_us = now_us;
    }
  /* It ends when it has the answer; until then its flows live.  */
  agent->gone_us = now_us;
  set_backend_state_ (agent, RGY_BACKEND_DRAINING, "deregistered", now_us);
  return RGY_OK;
}

static void
end_backend_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  agent->gone_us = 0;
  set_backend_state_ (agent, RGY_BACKEND_GONE, "ended", now_us);
  reset_flows_before_ (agent, now_us, "backend-gone", now_us);
}

static void
check_backend_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  int64_t age_us = now_us - agent->heartbeat_us;
  int64_t limit_us = agent->settings.heartbeat_us;

  if (agent->gone_us != 0 && now_us - agent->gone_us > GONE_RESET_US)
    end_backend_ (agent, now_us);
  if (agent->heartbeat_us == 0 || agent->state == RGY_BACKEND_GONE
      || now_us - agent->packet_us < PACKET_ALIVE_US)
    return;
  if (agent->state != RGY_BACKEND_SILENT
      && age_us > limit_us * SILENT_HEARTBEATS_X10 / 10)
    set_backend_state_ (agent, RGY_BACKEND_SILENT, "no-heartbeat", now_us);
  if (agent->state == RGY_BACKEND_SILENT && agent->n_open > 0
      && age_us > limit_us * LOST_HEARTBEATS_X10 / 10)
    reset_flows_before_ (agent, now_us, "backend-silent", now_us);
}

/* Time.  */

struct sweep_
{
  struct rgy_stream_agent *agent;
  int64_t now_us;
};

static bool
sweep_flow_ (struct rgy_flow *flow, void *ctx)
{
  struct sweep_ *sweep = ctx;
  struct rgy_stream_agent *agent = sweep->agent;
  struct stream_ *stream = flow->session;
  int64_t age_us = sweep->now_us - stream->since_us;

  switch (stream->state)
    {
    case FLOW_OPENING:
      if (age_us > OPENING_ANSWER_US && stream->asked_us == 0)
        {
          stream->asked_us = sweep->now_us;
          if (++agent->unanswered >= SILENT_OPENINGS
              && agent->state == RGY_BACKEND_READY)
            set_backend_state_ (agent, RGY_BACKEND_SILENT, "no-answers",
                                sweep->now_us);
        }
      if (age_us > OPENING_US)
        remove_ (agent, flow, sweep->now_us);
      break;
    case FLOW_ANSWERED:
      if (age_us > AWAITED_US)
        set_awaited_ (agent, stream, false);
      if (age_us > OPENING_US)
        remove_ (agent, flow, sweep->now_us);
      break;
    case FLOW_PROBING:
      /* No bounce from a backend server that has sent something since.  */
      if (age_us > PROBE_US && agent->packet_us > stream->since_us + PROBE_US)
        recognise_ (agent, flow, sweep->now_us);
      else if (age_us > PROBE_END_US)
        remove_ (agent, flow, sweep->now_us);
      break;
    case FLOW_ABSENT:
      if (age_us > ABSENT_US)
        remove_ (agent, flow, sweep->now_us);
      break;
    case FLOW_CLOSED:
      if (age_us > CLOSED_US)
        remove_ (agent, flow, sweep->now_us);
      break;
    case FLOW_OPEN:
      break;
    }
  return true;
}

static void
report_when_due_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  guint i;

  for (i = 0; i < agent->balancers->len;)
    {
      struct balancer_ *b
          = &g_array_index (agent->balancers, struct balancer_, i);
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

void
rgy_stream_agent_tick (struct rgy_stream_agent *agent, int64_t now_us)
{
  struct sweep_ sweep = { .agent = agent, .now_us = now_us };
  struct rgy_flow *expired;

  /* After a pause of this process, silence of the backend server means
     nothing and queued first segments have been given to others.  */
  agent->stalled = now_us - agent->ticked_us > STALL_US;
  if (agent->stalled)
    {
      rgy_stream_emit_log (&agent->settings.out,
                           "process_paused ms=%" G_GINT64_FORMAT,
                           (now_us - agent->ticked_us) / RGY_US_PER_MS);
      agent->packet_us = now_us;
      if (agent->heartbeat_us != 0)
        agent->heartbeat_us += now_us - agent->ticked_us;
    }
  agent->ticked_us = now_us;
  /* A flow that has not been seen since the start has been idle, or open, for
     longer than it is kept.  */
  if (!agent->complete
      && (now_us - agent->started_us > agent->settings.flow_ttl_us
          || (agent->idle_us > 0
              && now_us - agent->started_us > agent->idle_us + IDLE_SLACK_US)))
    agent->complete = true;
  if (now_us - agent->swept_us >= SWEEP_INTERVAL_US)
    {
      agent->swept_us = now_us;
      rgy_flow_table_foreach (agent->flows, sweep_flow_, &sweep);
    }
  while ((expired = rgy_flow_table_get_expired (agent->flows, now_us)) != NULL)
    remove_ (agent, expired, now_us);
  check_backend_ (agent, now_us);
  report_when_due_ (agent, now_us);
}

void
rgy_stream_agent_stop (struct rgy_stream_agent *agent, int64_t now_us)
{
  agent->stopping = true;
  if (agent->gone_us != 0)
    end_backend_ (agent, now_us);
  report_to_all_ (agent, now_us);
}
