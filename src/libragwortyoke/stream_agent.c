#include "private/stream_agent_private.h"

static void
add_counters_ (struct rgy_stream_agent *agent, struct rgy_counters *counters)
{
  const struct rgy_counter_spec specs[] = {
    { .value = &agent->n_opened,
      .name = "stream_flows_opened_total",
      .help = "Flows whose first segment the backend server answered." },
    { .value = &agent->n_returned,
      .name = "stream_misses_total",
      .help = "Segments returned to a balancer because the agent does not own "
              "the flow." },
    { .value = &agent->n_resets,
      .name = "stream_resets_total",
      .help = "Flows reset because the backend server lost them." },
    { .value = &agent->n_former_reset,
      .name = "stream_former_resets_total",
      .help = "Flows of a backend server before this one that were reset "
              "from the kept list." },
    { .value = &agent->n_former_restored,
      .name = "stream_former_restored_total",
      .help = "Flows that were known from the kept list after a restart of "
              "the agent." },
    { .value = &agent->n_probes,
      .name = "stream_probes_total",
      .help = "Segments of unknown flows delivered to find out whether the "
              "backend server serves the flow." },
    { .value = &agent->n_late,
      .name = "stream_requests_late_total",
      .help = "Waiting requests that passed the latest start at which they "
              "could meet their latency goal." },
    { .value = &agent->n_handed_over,
      .name = "stream_requests_handed_over_total",
      .help = "Waiting requests given to the backend server without a free "
              "slot." },
    { .value = &agent->n_expired_reset,
      .name = "stream_requests_expired_total",
      .label = "outcome=\"reset\"",
      .help = "Waiting requests that could no longer be answered within the "
              "caller's time limit and were not run." },
    { .value = &agent->n_expired_dropped,
      .name = "stream_requests_expired_total",
      .label = "outcome=\"dropped\"",
      .help = "Waiting requests that could no longer be answered within the "
              "caller's time limit and were not run." },
    { .value = &agent->n_unanswered,
      .name = "stream_requests_unanswered_total",
      .help = "Requests that the backend server did not answer within eight "
              "times its longest mean run time, at least half a second." },
    { .value = &agent->n_requests_reset,
      .name = "stream_requests_reset_total",
      .help = "Requests on which the backend server reset the flow." },
    { .value = &agent->n_stale_heartbeats,
      .name = "backend_heartbeats_stale_total",
      .help = "Heartbeats older than the last one processed." },
    { .value = &agent->n_terms_unstated,
      .name = "stream_terms_unstated_total",
      .help = "Look-ups of a route's terms that no balancer had stated." },
    { .value = &agent->n_terms_full,
      .name = "stream_terms_full_total",
      .help = "Look-ups of a route that the full table could not take." },
    { .value = &agent->n_terms_unanswered,
      .name = "stream_terms_unanswered_total",
      .help = "Times that a balancer left a query for terms unanswered." },
    { .value = &agent->n_bad_messages,
      .name = "stream_messages_invalid_total",
      .help = "Control messages that could not be decoded." },
  };
  int i;

  rgy_counters_add_all (counters, specs, G_N_ELEMENTS (specs));
  rgy_stream_traffic_init (&agent->traffic, counters);
  agent->answer_time = rgy_counters_add_histogram (
      counters, "backend_answer_seconds",
      "Time from a caller's payload to the first payload that answers it.");
  agent->wait_time = rgy_counters_add_histogram (
      counters, "request_wait_seconds",
      "Time for which a request waited at the agent for a slot.");
  agent->expired_wait = rgy_counters_add_histogram (
      counters, "request_expired_wait_seconds",
      "Time for which a request had waited when it expired.");
  agent->refused_wait = rgy_counters_add_histogram (
      counters, "request_refused_wait_seconds",
      "Wait predicted for the request of a flow refused under overload.");
  for (i = 0; i < RGY_STREAM_REFUSAL_COUNT; i++)
    {
      char *label
          = g_strdup_printf ("reason=\"%s\"", rgy_stream_refusal_string[i]);

      agent->n_refused[i]
          = rgy_counters_add (counters, "stream_refused_total", label,
                              "New flows that the agent refused.");
      g_free (label);
    }
  for (i = 0; i < RGY_TERMS_EFFECT_COUNT; i++)
    {
      char *label
          = g_strdup_printf ("effect=\"%s\"", rgy_terms_effect_string[i]);

      agent->n_terms_answers[i]
          = rgy_counters_add (counters, "stream_terms_answers_total", label,
                              "Routes in balancers' answers, by effect.");
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
  agent->domain_hash = rgy_stream_hash_domain (&settings->domain);
  agent->max_open_flows = RGY_STREAM_MAX_OPEN_FLOWS;
  agent->terms
      = rgy_route_terms_new (settings->flow_ttl_us, settings->incarnation);
  agent->flows
      = rgy_flow_table_new (settings->max_flows, settings->flow_ttl_us);
  agent->balancers
      = g_array_new (FALSE, TRUE, sizeof (struct rgy_agent_balancer));
  agent->journals = g_ptr_array_new_with_free_func (rgy_flow_journal_free_);
  agent->waiting = rgy_request_queue_new ();
  agent->slots = 1;
  agent->complete = settings->first_start;
  agent->started_us = now_us;
  agent->last_tick_us = now_us;
  add_counters_ (agent, counters);
  return agent;
}

void
rgy_stream_agent_delete (struct rgy_stream_agent *agent)
{
  if (agent == NULL)
    return;
  rgy_flow_table_foreach (agent->flows, rgy_stream_agent_drop_request_, agent);
  rgy_flow_table_delete_all (agent->flows);
  rgy_request_queue_delete (agent->waiting);
  g_array_unref (agent->balancers);
  g_ptr_array_unref (agent->journals);
  rgy_route_terms_delete (agent->terms);
  g_free (agent);
}

enum rgy_backend_state
rgy_stream_agent_get_state (const struct rgy_stream_agent *agent)
{
  return agent->state;
}

struct flow_sweep_
{
  struct rgy_stream_agent *agent;
  int64_t now_us;
};

static bool
sweep_flow_ (struct rgy_flow *flow, void *ctx)
{
  struct flow_sweep_ *sweep = ctx;
  struct rgy_stream_agent *agent = sweep->agent;
  struct rgy_agent_stream *stream = flow->session;
  int64_t age_us = sweep->now_us - stream->state_since_us;

  switch (stream->state)
    {
    case FLOW_OPENING:
      if (age_us > OPENING_ANSWER_US && stream->request_us == 0)
        {
          stream->request_us = sweep->now_us;
          if (++agent->unanswered_openings >= UNRESPONSIVE_OPENINGS
              && agent->state == RGY_BACKEND_READY)
            rgy_stream_agent_set_backend_state_ (
                agent, RGY_BACKEND_UNRESPONSIVE, "no-answers", sweep->now_us);
        }
      if (age_us > OPENING_EXPIRE_US)
        rgy_stream_agent_remove_flow_ (agent, flow, sweep->now_us);
      break;
    case FLOW_ANSWERED:
      if (age_us > OPENING_EXPIRE_US)
        rgy_stream_agent_remove_flow_ (agent, flow, sweep->now_us);
      break;
    case FLOW_PROBING:
      /* The backend server has sent something since the probe and has not
         returned it, so it serves the flow.  */
      if (age_us > PROBE_RETURN_US
          && agent->backend_packet_us
                 > stream->state_since_us + PROBE_RETURN_US)
        rgy_stream_agent_adopt_flow_ (agent, flow, sweep->now_us);
      else if (age_us > PROBE_EXPIRE_US)
        rgy_stream_agent_remove_flow_ (agent, flow, sweep->now_us);
      break;
    case FLOW_NOT_OWNED:
      if (age_us > NOT_OWNED_EXPIRE_US)
        rgy_stream_agent_remove_flow_ (agent, flow, sweep->now_us);
      break;
    case FLOW_CLOSED:
      if (age_us > CLOSED_EXPIRE_US)
        rgy_stream_agent_remove_flow_ (agent, flow, sweep->now_us);
      break;
    case FLOW_OPEN:
      if (age_us > HANDSHAKE_HOLD_US)
        rgy_stream_agent_release_handshake_ (agent, flow);
      break;
    }
  return true;
}

void
rgy_stream_agent_tick (struct rgy_stream_agent *agent, int64_t now_us)
{
  struct flow_sweep_ sweep = { .agent = agent, .now_us = now_us };
  struct rgy_flow *expired;

  /* After a pause of this process, missing packets and heartbeats say nothing
     about the backend server, and balancers have offered the queued first
     segments to other agents.  */
  agent->was_paused = now_us - agent->last_tick_us > PROCESS_PAUSE_US;
  if (agent->was_paused)
    {
      rgy_stream_emit_log (&agent->settings.out,
                           "process_paused ms=%" G_GINT64_FORMAT,
                           (now_us - agent->last_tick_us) / RGY_US_PER_MS);
      agent->backend_packet_us = now_us;
      if (agent->heartbeat_us != 0)
        agent->heartbeat_us += now_us - agent->last_tick_us;
    }
  agent->last_tick_us = now_us;
  /* By now a flow without a segment since the agent's start has been idle for
     longer than flows are kept, so the agent knows all flows.  */
  if (!agent->complete
      && (now_us - agent->started_us > agent->settings.flow_ttl_us
          || (agent->idle_timeout_us > 0
              && now_us - agent->started_us
                     > agent->idle_timeout_us + IDLE_MARGIN_US)))
    agent->complete = true;
  if (now_us - agent->last_sweep_us >= SWEEP_INTERVAL_US)
    {
      agent->last_sweep_us = now_us;
      rgy_flow_table_foreach (agent->flows, sweep_flow_, &sweep);
    }
  while ((expired = rgy_flow_table_get_expired (agent->flows, now_us)) != NULL)
    rgy_stream_agent_remove_flow_ (agent, expired, now_us);
  rgy_stream_agent_watch_load_ (agent, now_us);
  rgy_stream_agent_advance_requests_ (agent, now_us);
  rgy_stream_agent_check_heartbeats_ (agent, now_us);
  rgy_stream_agent_send_due_reports_ (agent, now_us);
  rgy_stream_agent_report_load_news_ (agent, now_us);
  rgy_stream_agent_send_open_flows_ (agent, now_us);
  rgy_stream_agent_send_terms_queries_ (agent, now_us);
}

void
rgy_stream_agent_stop (struct rgy_stream_agent *agent, int64_t now_us)
{
  agent->stopping = true;
  rgy_stream_agent_hand_over_requests_ (agent, now_us);
  if (agent->deregistered_us != 0)
    rgy_stream_agent_mark_backend_ended_ (agent, "ended", now_us);
  rgy_stream_agent_report_to_all_ (agent, now_us);
  /* Balancers expect an agent that stops to restart with the flows of its
     backend server.  If the backend server may have ended as well, the check
     lets the agent report that.  */
  if (agent->heartbeat_us == 0 || agent->state == RGY_BACKEND_UNRESPONSIVE)
    {
      agent->last_check_us = 0;
      rgy_stream_agent_request_check_ (agent, now_us);
    }
}
