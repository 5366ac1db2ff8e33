#include "private/flow_keeper.h"
#include "private/stream_balancer_private.h"

#include "ragwortyoke/clock.h"

static void
add_counters_ (struct rgy_stream_balancer *b, struct rgy_counters *counters)
{
  const struct rgy_counter_spec specs[] = {
    { .value = &b->n_segments,
      .name = "stream_segments_total",
      .help = "Segments from the router." },
    { .value = &b->n_opens,
      .name = "stream_opens_total",
      .help = "New flows to be placed on an agent." },
    { .value = &b->n_retries,
      .name = "stream_open_retries_total",
      .help = "Attempts to place a new flow on a further agent." },
    { .value = &b->n_last_offers,
      .name = "stream_last_offers_total",
      .help = "New flows offered to an agent as the last one, since others "
              "refused them under overload." },
    { .value = &b->n_overload_resets,
      .name = "stream_overload_rejected_total",
      .help = "New flows that no agent accepted because of overload." },
    { .value = &b->n_lookups,
      .name = "stream_lookups_total",
      .help = "Lookups of the agent that owns a flow." },
    { .value = &b->n_found,
      .name = "stream_lookups_found_total",
      .help = "Lookups that found the owner of the flow." },
    { .value = &b->n_resets,
      .name = "stream_resets_total",
      .help = "Flows reset because they are lost or could not be placed." },
    { .value = &b->n_no_route,
      .name = "stream_no_route_total",
      .help = "Segments to an address without a route." },
    { .value = &b->n_dropped,
      .name = "stream_dropped_total",
      .help = "Segments dropped because a limit was reached or the owner of "
              "the flow stayed uncertain." },
    { .value = &b->n_bad_messages,
      .name = "stream_messages_invalid_total",
      .help = "Control messages that could not be decoded." },
    { .value = &b->n_unknown_agents,
      .name = "stream_foreign_total",
      .help = "Messages and segments from unknown agents." },
    { .value = &b->n_other_service,
      .name = "stream_other_service_total",
      .help = "Choices of another service of the route because the first one "
              "had no room." },
    { .value = &b->n_slow_agents,
      .name = "slow_backends",
      .help = "Backend servers that take at least twice the median time on "
              "requests of the same routes.",
      .gauge = true },
  };

  int i;

  rgy_counters_add_all (counters, specs, G_N_ELEMENTS (specs));
  rgy_stream_traffic_init (&b->traffic, counters);
  for (i = 0; i < RGY_PLACEMENT_REASON_COUNT; i++)
    {
      char *label
          = g_strdup_printf ("reason=\"%s\"", rgy_placement_reason_string[i]);

      b->n_placed[i]
          = rgy_counters_add (counters, "stream_choices_total", label,
                              "Choices of an agent for a new flow.");
      g_free (label);
    }
  b->open_time = rgy_counters_add_histogram (
      counters, "stream_open_seconds",
      "Time from a first segment until an agent accepts the flow.");
  b->lookup_time = rgy_counters_add_histogram (
      counters, "stream_lookup_seconds",
      "Time from the start of a lookup until the owner of the flow is found.");
}

static void
free_agent_ (void *data)
{
  struct rgy_known_agent *agent = data;

  g_byte_array_unref (agent->queried);
  g_free (agent);
}

static void
free_pending_open_ (void *data)
{
  struct rgy_pending_open *open = data;

  g_free (open->raw);
  g_free (open);
}

static void
free_lookup_ (void *data)
{
  struct rgy_lookup *lookup = data;
  size_t i;

  for (i = 0; i < lookup->n_buffered; i++)
    g_free (lookup->buffered[i].data);
  g_array_unref (lookup->candidates);
  g_free (lookup);
}

struct rgy_stream_balancer *
rgy_stream_balancer_new (const struct rgy_stream_balancer_settings *settings,
                         struct rgy_counters *counters, int64_t now_us)
{
  struct rgy_stream_balancer *b = g_new0 (struct rgy_stream_balancer, 1);

  b->settings = *settings;
  b->settling_since_us = now_us;
  b->last_tick_us = now_us;
  b->tokens_updated_us = now_us;
  b->query_tokens = QUERIED_FLOWS_BURST;
  b->flows = rgy_flow_table_new (settings->max_flows, settings->flow_ttl_us);
  b->agents = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                     free_agent_);
  b->peers = g_array_new (FALSE, TRUE, sizeof (struct rgy_stream_peer));
  /* The flow key is the first member of the values of both sets.  */
  b->opens = g_hash_table_new_full (rgy_flow_key_ghash, rgy_flow_key_gequal,
                                    NULL, free_pending_open_);
  b->candidates = g_array_new (FALSE, FALSE, sizeof (struct rgy_candidate));
  b->candidate_agents = g_ptr_array_new ();
  b->lookups = g_hash_table_new_full (rgy_flow_key_ghash, rgy_flow_key_gequal,
                                      NULL, free_lookup_);
  add_counters_ (b, counters);
  return b;
}

void
rgy_stream_balancer_delete (struct rgy_stream_balancer *b)
{
  if (b == NULL)
    return;
  rgy_flow_keeper_delete (b->keeper);
  rgy_flow_table_delete_all (b->flows);
  g_hash_table_unref (b->lookups);
  g_array_unref (b->candidates);
  g_ptr_array_unref (b->candidate_agents);
  g_hash_table_unref (b->opens);
  g_hash_table_unref (b->agents);
  g_array_unref (b->peers);
  rgy_stream_manifest_delete (b->previous_manifest);
  rgy_stream_manifest_delete (b->manifest);
  rgy_stream_manifest_delete (b->waiting.manifest);
  g_free (b);
}

/* Tells agents and other balancers that the view names other failure domains
   than before.  */
static void
announce_view_ (struct rgy_stream_balancer *b, int64_t now_us)
{
  b->config_changed_us = now_us;
  rgy_stream_emit_log (&b->settings.out,
                       "domains_out count=%zu first=%s revision="
                       "%" G_GUINT64_FORMAT " epoch=%" PRIu32 " kept=%zu",
                       b->view.n_out,
                       b->view.n_out > 0 ? b->view.out[0].data : "-",
                       b->view.revision, b->view.epoch, b->view.n_kept);
  rgy_stream_balancer_send_status_ (b, false, now_us);
  rgy_stream_balancer_request_reports_ (b, now_us);
}

void
rgy_stream_balancer_set_domain_view (struct rgy_stream_balancer *b,
                                     const struct rgy_domain_view *view,
                                     int64_t now_us)
{
  if (rgy_domain_view_merge (&b->view, &b->view_times, view, now_us))
    announce_view_ (b, now_us);
}

bool
rgy_stream_balancer_is_domain_out (const struct rgy_stream_balancer *b,
                                   const struct rgy_name *domain)
{
  return rgy_domain_view_is_out (&b->view, domain);
}

struct rgy_known_agent *
rgy_stream_balancer_find_agent_ (const struct rgy_stream_balancer *b,
                                 uint32_t ip)
{
  return g_hash_table_lookup (b->agents, GUINT_TO_POINTER (ip));
}

bool
rgy_known_agent_is_alive_ (const struct rgy_known_agent *agent, int64_t now_us)
{
  int64_t limit_us = agent->distant ? DISTANT_AGENT_ALIVE_US : AGENT_ALIVE_US;

  return agent->last_seen_us != 0 && now_us - agent->last_seen_us < limit_us;
}

bool
rgy_known_agent_is_dead_ (const struct rgy_known_agent *agent, int64_t now_us)
{
  int64_t limit_us = agent->report.restarting ? AGENT_RESTART_US
                     : agent->from_store      ? STORED_AGENT_DEAD_US
                     : agent->distant         ? DISTANT_AGENT_DEAD_US
                                              : AGENT_DEAD_US;

  return agent->report.state == RGY_BACKEND_ENDED
         || now_us - agent->last_seen_us > limit_us;
}

void
rgy_stream_balancer_get_preferred_ (const struct rgy_stream_balancer *b,
                                    const struct rgy_flow_key *key,
                                    uint32_t tag, int64_t now_us,
                                    struct rgy_preference *preference)
{
  GHashTableIter iter;
  void *value;

  rgy_preference_init (preference, rgy_flow_key_hash (key));
  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_known_agent *agent = value;

      if (agent->tag == tag && !rgy_known_agent_is_dead_ (agent, now_us))
        rgy_preference_add (preference, agent->domain_hash, agent->ip);
    }
}

size_t
rgy_stream_balancer_count_agents (const struct rgy_stream_balancer *b,
                                  int64_t now_us)
{
  GHashTableIter iter;
  void *value;
  size_t n = 0;

  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (rgy_known_agent_is_alive_ (value, now_us))
      n++;
  return n;
}

/* True if most agents that reported recently have stopped doing so.  It is
   more likely that this process is partitioned than that all of them
   failed.  */
bool
rgy_stream_balancer_is_partitioned_ (const struct rgy_stream_balancer *b,
                                     int64_t now_us)
{
  GHashTableIter iter;
  void *value;
  size_t known = 0;
  size_t alive = 0;

  g_hash_table_iter_init (&iter, b->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_known_agent *agent = value;

      if (agent->report.state == RGY_BACKEND_ENDED
          || now_us - agent->last_seen_us > PARTITION_WINDOW_US)
        continue;
      known++;
      if (rgy_known_agent_is_alive_ (agent, now_us))
        alive++;
    }
  return alive * 2 < known;
}

bool
rgy_stream_balancer_is_settled_ (const struct rgy_stream_balancer *b,
                                 int64_t now_us)
{
  int64_t limit_us = b->peer_listed_agents    ? SETTLE_WITH_PEER_US
                     : b->stored_agents_added ? SETTLE_WITH_STORE_US
                                              : SETTLE_WITHOUT_LIST_US;

  return now_us - b->settling_since_us > limit_us
         && !rgy_stream_balancer_is_partitioned_ (b, now_us);
}

bool
rgy_stream_balancer_is_ready (const struct rgy_stream_balancer *b,
                              int64_t now_us)
{
  return b->manifest != NULL && !b->stopping
         && rgy_stream_balancer_count_agents (b, now_us) > 0
         && !rgy_stream_balancer_is_partitioned_ (b, now_us);
}

void
rgy_stream_balancer_stop (struct rgy_stream_balancer *b)
{
  b->stopping = true;
}

void
rgy_stream_balancer_tick (struct rgy_stream_balancer *b, int64_t now_us)
{
  struct rgy_flow *expired;
  int64_t late_us = now_us - b->last_tick_us - RGY_STREAM_TICK_US;
  int64_t status_interval_us;

  if (late_us > LATE_TICK_US)
    {
      rgy_stream_balancer_delay_open_timers_ (b, late_us);
      rgy_stream_balancer_delay_lookup_timers_ (b, late_us);
    }
  if (now_us - b->last_tick_us > PROCESS_PAUSE_US)
    {
      rgy_stream_emit_log (&b->settings.out,
                           "process_paused ms=%" G_GINT64_FORMAT,
                           (now_us - b->last_tick_us) / RGY_US_PER_MS);
      b->settling_since_us = now_us;
      b->peer_listed_agents = false;
      b->stored_agents_added = false;
    }
  b->last_tick_us = now_us;
  while ((expired = rgy_flow_table_get_expired (b->flows, now_us)) != NULL)
    rgy_stream_balancer_uncache_flow_ (b, expired);
  rgy_stream_balancer_retry_opens_ (b, now_us);
  rgy_stream_balancer_advance_lookups_ (b, now_us);
  rgy_stream_balancer_send_queries_ (b, now_us);
  rgy_stream_balancer_expire_members_ (b, now_us);
  rgy_stream_balancer_request_due_reports_ (b, now_us);
  rgy_stream_balancer_save_flows_ (b, now_us);
  if (rgy_domain_view_settle (&b->view, &b->view_times, now_us))
    announce_view_ (b, now_us);
  rgy_stream_balancer_apply_waiting_manifest_ (b, now_us);
  status_interval_us
      = b->manifest != NULL && rgy_stream_balancer_is_settled_ (b, now_us)
            ? QUIET_STATUS_INTERVAL_US
            : STATUS_INTERVAL_US;
  if (now_us - b->status_sent_us >= status_interval_us)
    rgy_stream_balancer_send_status_ (b, false, now_us);
}
