#include "private/stream_balancer_private.h"

#include <string.h>

#include "ragwortyoke/bytes.h"
#include "ragwortyoke/clock.h"

static void
append_ip_ (GByteArray *list, uint32_t ip)
{
  uint8_t bytes[RGY_STREAM_IP_BYTES];

  rgy_put_be (bytes, ip, sizeof bytes);
  g_byte_array_append (list, bytes, sizeof bytes);
}

static struct rgy_stream_peer *
find_peer_ (const struct rgy_stream_balancer *b, uint32_t ip)
{
  guint i;

  for (i = 0; i < b->peers->len; i++)
    {
      struct rgy_stream_peer *peer
          = &g_array_index (b->peers, struct rgy_stream_peer, i);

      if (peer->ip == ip)
        return peer;
    }
  return NULL;
}

/* The domains of other balancers are not known here.  */
static enum rgy_receiver_domain
get_receiver_domain_ (const struct rgy_stream_balancer *b, uint32_t ip)
{
  const struct rgy_known_agent *agent
      = rgy_stream_balancer_find_agent_ (b, ip);

  if (agent == NULL || agent->tag == 0)
    return RGY_RECEIVER_UNKNOWN_DOMAIN;
  return agent->distant ? RGY_RECEIVER_OTHER_DOMAIN : RGY_RECEIVER_SAME_DOMAIN;
}

void
rgy_stream_balancer_send_message_ (struct rgy_stream_balancer *b, uint32_t ip,
                                   const struct rgy_stream_message *message)
{
  rgy_stream_traffic_send (&b->traffic, &b->settings.out, ip, message,
                           get_receiver_domain_ (b, ip));
}

/* Appends an agent to the list in a status.  */
static void
append_agent_ (GByteArray *list, const struct rgy_known_agent *agent)
{
  uint8_t state = (uint8_t)agent->last_state;

  if (agent->report.restarting)
    state |= RGY_STREAM_AGENT_RESTARTING;
  append_ip_ (list, agent->ip);
  g_byte_array_append (list, &state, sizeof state);
}

/* Lists the addresses of this balancer and its peers.  */
static GByteArray *
list_balancers_ (const struct rgy_stream_balancer *b)
{
  GByteArray *list = g_byte_array_new ();
  guint i;

  append_ip_ (list, b->settings.own_ip);
  for (i = 0; i < b->peers->len && i + 1 < RGY_STREAM_MAX_BALANCERS; i++)
    append_ip_ (list, g_array_index (b->peers, struct rgy_stream_peer, i).ip);
  return list;
}

static uint64_t
hash_balancers_ (const struct rgy_stream_balancer *b)
{
  uint64_t hash = rgy_stream_hash_balancer (b->settings.own_ip);
  guint i;

  for (i = 0; i < b->peers->len; i++)
    hash ^= rgy_stream_hash_balancer (
        g_array_index (b->peers, struct rgy_stream_peer, i).ip);
  return hash;
}

static void
send_status_to_ (struct rgy_stream_balancer *b, uint32_t ip, bool wants_reply,
                 bool with_agents, int64_t now_us)
{
  const struct rgy_stream_peer *peer = find_peer_ (b, ip);
  uint64_t hash = hash_balancers_ (b);
  bool is_same = peer != NULL && peer->balancers_hash == hash;
  GByteArray *balancers = is_same && !wants_reply && !with_agents
                              ? g_byte_array_new ()
                              : list_balancers_ (b);
  GByteArray *agents = g_byte_array_new ();
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_STATUS,
          .u.status
          = { .incarnation = b->settings.incarnation,
              .manifest_version = rgy_stream_balancer_get_version (b),
              .manifest_epoch = b->manifest_epoch,
              .wants_reply = wants_reply,
              .settled = rgy_stream_balancer_is_settled_ (b, now_us),
              .view = b->view,
              .balancers_hash = hash } };
  GHashTableIter iter;
  void *value;

  if (with_agents)
    {
      g_hash_table_iter_init (&iter, b->agents);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        if (!rgy_known_agent_is_dead_ (value, now_us))
          append_agent_ (agents, value);
    }
  message.u.status.balancers
      = (struct rgy_bytes){ .data = balancers->data, .len = balancers->len };
  message.u.status.agents
      = (struct rgy_bytes){ .data = agents->data, .len = agents->len };
  rgy_stream_balancer_send_message_ (b, ip, &message);
  g_byte_array_unref (agents);
  g_byte_array_unref (balancers);
}

void
rgy_stream_balancer_send_status_ (struct rgy_stream_balancer *b,
                                  bool wants_reply, int64_t now_us)
{
  guint i;

  b->status_sent_us = now_us;
  for (i = 0; i < b->peers->len; i++)
    send_status_to_ (b, g_array_index (b->peers, struct rgy_stream_peer, i).ip,
                     wants_reply || b->manifest == NULL
                         || !rgy_stream_balancer_is_settled_ (b, now_us),
                     false, now_us);
}

void
rgy_stream_balancer_add_peer (struct rgy_stream_balancer *b, uint32_t ip,
                              int64_t now_us)
{
  struct rgy_stream_peer peer = { .ip = ip, .last_seen_us = now_us };

  if (!rgy_ip_is_host (ip) || ip == b->settings.own_ip
      || find_peer_ (b, ip) != NULL
      || b->peers->len + 1 >= RGY_STREAM_MAX_BALANCERS)
    return;
  g_array_append_val (b->peers, peer);
  send_status_to_ (b, ip, true, false, now_us);
}

static void
request_report_ (struct rgy_stream_balancer *b, uint32_t ip)
{
  struct rgy_stream_message message = { .kind = RGY_STREAM_REPORT_REQUEST };

  rgy_stream_balancer_send_message_ (b, ip, &message);
}

static void
request_report_of_ (struct rgy_stream_balancer *b,
                    struct rgy_known_agent *agent, int64_t now_us)
{
  agent->requested_us = now_us;
  request_report_ (b, agent->ip);
}

/* Asks all agents for a report, so that they get the new view at once: the
   acknowledgement carries it.  */
void
rgy_stream_balancer_request_reports_ (struct rgy_stream_balancer *b,
                                      int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    request_report_of_ (b, value, now_us);
}

/* True if an agent should have reported by now.  One that has not reported yet
   was requested to when it became known.  */
static bool
is_report_overdue_ (const struct rgy_known_agent *agent, int64_t now_us)
{
  return agent->tag == 0
         || (agent->distant
             && now_us - agent->last_seen_us > REPORT_OVERDUE_US);
}

void
rgy_stream_balancer_request_due_reports_ (struct rgy_stream_balancer *b,
                                          int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  if (now_us - b->reports_checked_us < REPORT_CHECK_INTERVAL_US)
    return;
  b->reports_checked_us = now_us;
  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rgy_known_agent *agent = value;
      bool is_overdue = is_report_overdue_ (agent, now_us);

      if (agent->report.restarting || rgy_known_agent_is_dead_ (agent, now_us)
          || (!is_overdue && agent->listed))
        continue;
      if (now_us - agent->requested_us >= (is_overdue
                                               ? REPORT_REQUEST_INTERVAL_US
                                               : UNLISTED_REQUEST_INTERVAL_US))
        request_report_of_ (b, agent, now_us);
    }
}

static struct rgy_known_agent *
add_agent_ (struct rgy_stream_balancer *b, uint32_t ip, int64_t now_us)
{
  struct rgy_known_agent *agent = g_new0 (struct rgy_known_agent, 1);

  agent->ip = ip;
  agent->last_seen_us = now_us;
  agent->queried = g_byte_array_new ();
  g_hash_table_insert (b->agents, GUINT_TO_POINTER (ip), agent);
  return agent;
}

/* Adds an agent that a peer lists, as append_agent_() encodes it.  If the peer
   knows all agents, its information counts until the agent itself reports: the
   agent may be restarting, and its backend server may be draining.  */
static void
add_listed_agent_ (struct rgy_stream_balancer *b, const uint8_t *listed,
                   bool settled, int64_t now_us)
{
  uint32_t ip = rgy_stream_decode_ip (listed);
  uint8_t state = listed[RGY_STREAM_IP_BYTES];
  struct rgy_known_agent *agent = rgy_stream_balancer_find_agent_ (b, ip);

  if (!rgy_ip_is_host (ip) || (agent != NULL && !agent->from_store)
      || (agent == NULL
          && g_hash_table_size (b->agents) >= RGY_STREAM_MAX_AGENTS))
    return;
  request_report_ (b, ip);
  if (!settled)
    return;
  if (agent == NULL)
    agent = add_agent_ (b, ip, now_us);
  agent->from_store = false;
  agent->report.restarting = (state & RGY_STREAM_AGENT_RESTARTING) != 0;
  agent->last_state
      = (enum rgy_backend_state) (state & ~RGY_STREAM_AGENT_RESTARTING);
}

void
rgy_stream_balancer_handle_status_ (struct rgy_stream_balancer *b,
                                    const struct rgy_stream_status *status,
                                    uint32_t ip, int64_t now_us)
{
  struct rgy_stream_peer *peer;
  size_t i;

  rgy_stream_balancer_add_peer (b, ip, now_us);
  peer = find_peer_ (b, ip);
  if (peer == NULL)
    return;
  peer->last_seen_us = now_us;
  peer->balancers_hash = status->balancers_hash;
  if (status->wants_reply)
    send_status_to_ (b, ip, false, true, now_us);
  rgy_stream_balancer_set_domain_view (b, &status->view, now_us);
  if (rgy_stream_balancer_check_peer_manifest_ (b, status->manifest_epoch,
                                                status->manifest_version))
    {
      struct rgy_stream_action action
          = { .kind = RGY_STREAM_FETCH_MANIFEST,
              .ip = ip,
              .u.manifest_epoch = status->manifest_epoch };

      b->settings.out.emit (b->settings.out.ctx, &action);
    }
  for (i = 0; i + RGY_STREAM_IP_BYTES <= status->balancers.len;
       i += RGY_STREAM_IP_BYTES)
    rgy_stream_balancer_add_peer (
        b, rgy_stream_decode_ip (status->balancers.data + i), now_us);
  for (i = 0; i < status->agents.len; i += RGY_STREAM_AGENT_BYTES)
    add_listed_agent_ (b, status->agents.data + i, status->settled, now_us);
  if (status->settled && status->agents.len > 0)
    b->peer_listed_agents = true;
}

void
rgy_stream_balancer_add_stored_agents (struct rgy_stream_balancer *b,
                                       struct rgy_bytes ips, int64_t now_us)
{
  size_t i;

  if (ips.len == 0 || rgy_stream_balancer_is_settled_ (b, now_us))
    return;
  for (i = 0; i + RGY_STREAM_IP_BYTES <= ips.len; i += RGY_STREAM_IP_BYTES)
    {
      uint32_t ip = rgy_stream_decode_ip (ips.data + i);
      struct rgy_known_agent *agent;

      if (!rgy_ip_is_host (ip)
          || rgy_stream_balancer_find_agent_ (b, ip) != NULL
          || g_hash_table_size (b->agents) >= RGY_STREAM_MAX_AGENTS)
        continue;
      agent = add_agent_ (b, ip, now_us);
      agent->from_store = true;
      agent->listed = true;
      request_report_of_ (b, agent, now_us);
    }
  b->stored_agents_added = true;
  rgy_stream_emit_log (&b->settings.out, "agents_named count=%zu known=%u",
                       ips.len / RGY_STREAM_IP_BYTES,
                       g_hash_table_size (b->agents));
}

static gint
compare_ips_ (gconstpointer a, gconstpointer b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

/* True if an agent is to be removed from the store's list.  */
static bool
should_unlist_agent_ (const struct rgy_known_agent *agent, int64_t now_us)
{
  return agent->report.state == RGY_BACKEND_ENDED
         || now_us - agent->last_seen_us > PARTITION_WINDOW_US;
}

/* Returns the number of running balancers before this one in the order of
   those that write the list, at most MAX_LIST_WRITERS.  */
static unsigned
get_list_writer_rank_ (const struct rgy_stream_balancer *b, int64_t now_us)
{
  uint64_t own = rgy_stream_hash_balancer (b->settings.own_ip);
  unsigned rank = 0;
  guint i;

  for (i = 0; i < b->peers->len && rank < MAX_LIST_WRITERS; i++)
    {
      const struct rgy_stream_peer *peer
          = &g_array_index (b->peers, struct rgy_stream_peer, i);

      rank += now_us - peer->last_seen_us < LIST_WRITER_ALIVE_US
              && rgy_stream_hash_balancer (peer->ip) < own;
    }
  return rank;
}

/* True if this balancer is to write the list, which differs from the agents
   that it knows.  All balancers see a change, and each write is a call of the
   store that ends all others' with a conflict.  */
static bool
is_list_write_due_ (struct rgy_stream_balancer *b, bool differs,
                    int64_t now_us)
{
  if (!differs)
    b->list_differs_since_us = 0;
  else if (b->list_differs_since_us == 0)
    b->list_differs_since_us = now_us;
  return differs && rgy_stream_balancer_is_settled_ (b, now_us)
         && now_us - b->list_differs_since_us
                >= get_list_writer_rank_ (b, now_us) * LIST_WRITER_DELAY_US;
}

bool
rgy_stream_balancer_update_agent_list (struct rgy_stream_balancer *b,
                                       struct rgy_bytes listed,
                                       GByteArray *wanted, int64_t now_us)
{
  GArray *ips = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  GHashTableIter iter;
  void *value;
  bool differs;
  uint32_t ip;
  size_t i;

  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct rgy_known_agent *)value)->listed = false;
  for (i = 0; i + RGY_STREAM_IP_BYTES <= listed.len; i += RGY_STREAM_IP_BYTES)
    {
      struct rgy_known_agent *agent;

      ip = rgy_stream_decode_ip (listed.data + i);
      agent = rgy_stream_balancer_find_agent_ (b, ip);
      if (agent != NULL)
        agent->listed = !should_unlist_agent_ (agent, now_us);
      else if (rgy_ip_is_host (ip))
        g_array_append_val (ips, ip);
    }
  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_known_agent *agent = value;

      if (should_unlist_agent_ (agent, now_us))
        continue;
      g_array_append_val (ips, agent->ip);
    }
  g_array_sort (ips, compare_ips_);
  for (i = 0; i < ips->len; i++)
    append_ip_ (wanted, g_array_index (ips, uint32_t, i));
  g_array_unref (ips);
  differs = wanted->len != listed.len
            || (listed.len > 0
                && memcmp (wanted->data, listed.data, listed.len) != 0);
  return is_list_write_due_ (b, differs, now_us);
}

/* Acknowledges a report.  A report without news from an agent that knows the
   newest view and all balancers is acknowledged only once a second:
   acknowledgements are about half of the control traffic.  */
static void
acknowledge_report_ (struct rgy_stream_balancer *b,
                     struct rgy_known_agent *agent, bool is_needed,
                     int64_t now_us)
{
  const struct rgy_stream_report *report = &agent->report;
  bool knows_balancers = hash_balancers_ (b) == report->balancers_hash;
  GByteArray *balancers;
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_REPORT_ACK,
          .u.ack
          = { .balancer_incarnation = b->settings.incarnation,
              .balancer_domain = rgy_stream_hash_domain (&b->settings.domain),
              .agent_incarnation = report->incarnation,
              .seq = report->seq,
              .changes_upto = agent->changes_upto,
              .view = b->view } };

  if (!is_needed && knows_balancers
      && now_us - agent->acked_us < ACK_INTERVAL_US)
    return;
  agent->acked_us = now_us;
  agent->acked_config_us = b->config_changed_us;
  if (b->manifest != NULL)
    {
      message.u.ack.cold_rate_milli
          = rgy_stream_manifest_get_cold_rate (b->manifest, &report->service);
      message.u.ack.idle_timeout_ms
          = rgy_stream_manifest_get_idle_timeout (b->manifest);
    }
  balancers = knows_balancers ? g_byte_array_new () : list_balancers_ (b);
  message.u.ack.balancers
      = (struct rgy_bytes){ .data = balancers->data, .len = balancers->len };
  rgy_stream_balancer_send_message_ (b, agent->ip, &message);
  g_byte_array_unref (balancers);
}

static void
send_features_ (struct rgy_stream_balancer *b, struct rgy_known_agent *agent,
                int64_t now_us)
{
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_FEATURES,
          .u.features
          = { .balancer_incarnation = b->settings.incarnation,
              .flags = RGY_STREAM_DECODES_BRIEF_REPORTS
                       | RGY_STREAM_KEEPS_OPEN_FLOWS | RGY_STREAM_STATES_TERMS
                       | RGY_STREAM_DECODES_LOAD } };

  agent->features_sent_us = now_us;
  rgy_stream_balancer_send_message_ (b, agent->ip, &message);
}

static void
apply_flow_changes_ (struct rgy_stream_balancer *b,
                     struct rgy_known_agent *agent,
                     const struct rgy_stream_report *report, int64_t now_us)
{
  size_t n = report->changes.len / RGY_FLOW_CHANGE_BYTES;
  size_t i;

  for (i = 0; i < n; i++)
    {
      const uint8_t *change = report->changes.data + i * RGY_FLOW_CHANGE_BYTES;
      struct rgy_flow_key key = rgy_flow_endpoints_decode (change);
      struct rgy_flow *flow;

      if (change[RGY_FLOW_ENDPOINTS_BYTES] != 0)
        {
          rgy_stream_balancer_cache_flow_ (b, &key, agent->ip, RGY_FLOW_OPEN,
                                           now_us);
          continue;
        }
      flow = rgy_flow_table_find (b->flows, &key);
      if (flow != NULL
          && ((struct rgy_cached_flow *)flow->session)->agent_ip == agent->ip
          && ((struct rgy_cached_flow *)flow->session)->certainty
                 == RGY_FLOW_OPEN)
        rgy_stream_balancer_uncache_flow_ (b, flow);
    }
  agent->changes_upto = MAX (agent->changes_upto, report->changes_from + n);
}

void
rgy_stream_balancer_handle_report_ (struct rgy_stream_balancer *b,
                                    const struct rgy_stream_report *report,
                                    uint32_t ip, int64_t now_us)
{
  struct rgy_known_agent *agent = rgy_stream_balancer_find_agent_ (b, ip);
  bool is_first = agent == NULL;
  bool is_new_incarnation;
  bool is_needed;
  enum rgy_backend_state previous_state;

  if (is_first)
    agent = add_agent_ (b, ip, now_us);
  else if (report->incarnation == agent->report.incarnation
           && report->seq <= agent->report.seq)
    {
      /* The report arrived out of order; its flow changes are still valid.  */
      apply_flow_changes_ (b, agent, report, now_us);
      return;
    }
  is_new_incarnation
      = is_first || report->incarnation != agent->report.incarnation;
  is_needed = is_new_incarnation || report->changes.len > 0
              || agent->acked_config_us != b->config_changed_us;
  previous_state = agent->report.state;
  if (!is_first
      && (report->state == RGY_BACKEND_ENDED
          || (report->complete
              && report->backend_id != agent->report.backend_id)))
    rgy_stream_balancer_uncache_agent_flows_ (b, ip);
  if (report->state != RGY_BACKEND_UNKNOWN)
    agent->last_state = report->state;
  if (is_new_incarnation)
    {
      agent->changes_upto = 0;
      /* Another balancer may have removed the agent from the list while it
         was away.  */
      agent->listed = false;
      agent->excluded_until_us = 0;
      agent->load = (struct rgy_known_load){ .is_slow = agent->load.is_slow };
    }
  if (is_first || previous_state != report->state
      || report->restarting != agent->report.restarting)
    {
      char text[RGY_ENDPOINT_TEXT_BYTES];

      rgy_stream_emit_log (
          &b->settings.out,
          "agent_state agent=%s service=%s domain=%s state=%s restarting=%d "
          "cold=%d open_flows=%u age_ms=%" G_GINT64_FORMAT,
          rgy_endpoint_format ((struct rgy_endpoint){ .ip = ip }, text),
          report->service.data, report->domain.data,
          rgy_backend_state_string[report->state], report->restarting,
          report->cold, report->open_flows,
          is_first ? 0 : (now_us - agent->last_seen_us) / RGY_US_PER_MS);
    }
  rgy_known_agent_note_state_ (agent, report, now_us);
  agent->report = *report;
  agent->report.changes = (struct rgy_bytes){ 0 };
  agent->tag = rgy_service_tag (&report->service);
  agent->domain_hash = rgy_stream_hash_domain (&report->domain);
  agent->distant = !rgy_name_equal (&report->domain, &b->settings.domain);
  agent->fingerprint = rgy_stream_report_fingerprint (report);
  agent->last_seen_us = now_us;
  agent->from_store = false;
  agent->placed = 0;
  /* The agent sends its load after this report if it has changed.  */
  rgy_known_agent_confirm_load_ (agent, now_us);
  apply_flow_changes_ (b, agent, report, now_us);
  acknowledge_report_ (b, agent, is_needed, now_us);
  if (is_new_incarnation
      || (!is_needed
          && now_us - agent->features_sent_us >= FEATURES_INTERVAL_US))
    send_features_ (b, agent, now_us);
}

bool
rgy_stream_balancer_handle_brief_report_ (
    struct rgy_stream_balancer *b,
    const struct rgy_stream_brief_report *report, uint32_t ip, int64_t now_us)
{
  struct rgy_known_agent *agent = rgy_stream_balancer_find_agent_ (b, ip);

  if (agent == NULL)
    {
      request_report_ (b, ip);
      return false;
    }
  if (agent->tag == 0 || agent->fingerprint != report->fingerprint)
    {
      /* A full report was lost.  */
      if (now_us - agent->requested_us >= REPORT_CHECK_INTERVAL_US)
        request_report_of_ (b, agent, now_us);
      return false;
    }
  if (report->seq <= agent->report.seq)
    return false;
  agent->report.seq = report->seq;
  agent->report.open_flows = report->open_flows;
  agent->report.latency_us = report->latency_us;
  agent->last_seen_us = now_us;
  agent->placed = 0;
  rgy_known_agent_confirm_load_ (agent, now_us);
  acknowledge_report_ (b, agent,
                       agent->acked_config_us != b->config_changed_us, now_us);
  return true;
}

void
rgy_stream_balancer_expire_members_ (struct rgy_stream_balancer *b,
                                     int64_t now_us)
{
  GHashTableIter iter;
  void *value;
  guint i;

  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_known_agent *agent = value;

      if (now_us - agent->last_seen_us > AGENT_EXPIRE_US)
        {
          char text[RGY_ENDPOINT_TEXT_BYTES];

          rgy_stream_emit_log (
              &b->settings.out, "agent_forgotten agent=%s",
              rgy_endpoint_format ((struct rgy_endpoint){ .ip = agent->ip },
                                   text));
          g_hash_table_iter_remove (&iter);
        }
    }
  for (i = 0; i < b->peers->len;)
    if (now_us
            - g_array_index (b->peers, struct rgy_stream_peer, i).last_seen_us
        > PEER_EXPIRE_US)
      g_array_remove_index_fast (b->peers, i);
    else
      i++;
}
