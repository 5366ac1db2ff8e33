#include "private/request_private.h"

#include <string.h>

#include "ragwortyoke/clock.h"

#define CODE_UNAUTHORIZED RGY_COAP_CODE (4, 1)
/* Retry budget: retries per hundred deliveries.  */
#define RETRY_PERCENT 10
/* Delay before observations are registered again after the
   backend server refused the flow's socket, because the backend
   server is probably starting.  */
#define REFUSED_RETRY_US (500 * RGY_US_PER_MS)

/* Creation and settings of the engine.  */

static void
register_counters_ (struct rgy_request_counters *c,
                    struct rgy_counters *counters)
{
  const struct rgy_counter_spec specs[] = {
    { .value = &c->delivered,
      .name = "requests_delivered_total",
      .help = "Requests sent to the backend server." },
    { .value = &c->retries,
      .name = "request_retries_total",
      .help = "Idempotent requests sent to the backend server again." },
    { .value = &c->answered,
      .name = "requests_answered_total",
      .help = "Requests answered by the backend server." },
    { .value = &c->outcome_unknown,
      .name = "requests_outcome_unknown_total",
      .help = "Requests answered as outcome-unknown." },
    { .value = &c->echo_challenges,
      .name = "echo_challenges_total",
      .help
      = "Non-idempotent requests without Echo, answered with a fresh one." },
    { .value = &c->echo_rejected,
      .name = "echo_rejected_total",
      .help = "Requests with an Echo of another agent or an earlier epoch." },
    { .value = &c->absorbed,
      .name = "requests_absorbed_total",
      .help = "Duplicates of requests that were not finished." },
    { .value = &c->replayed,
      .name = "requests_replayed_total",
      .help = "Duplicates answered with a stored answer." },
    { .value = &c->late,
      .name = "answers_late_total",
      .help = "Answers received after the deadline and dropped." },
    { .value = &c->unmatched,
      .name = "answers_unmatched_total",
      .help = "Messages that belong to no request or observation." },
    { .value = &c->malformed,
      .name = "requests_malformed_total",
      .help = "Datagrams that are not valid CoAP." },
    { .value = &c->moving_dropped,
      .name = "requests_moving_dropped_total",
      .help = "Requests dropped while their flow was moving." },
    { .value = &c->records_full,
      .name = "requests_records_full_total",
      .help = "Requests dropped because their flow had too many "
              "deduplication records." },
    { .value = &c->cancelled,
      .name = "requests_cancelled_total",
      .help = "Requests cancelled by the caller." },
    { .value = &c->notifications,
      .name = "notifications_total",
      .help = "Notifications sent to callers." },
    { .value = &c->notifications_stale,
      .name = "notifications_stale_total",
      .help = "Notifications dropped because a newer one was sent before." },
  };
  int i;

  rgy_counters_add_all (counters, specs, G_N_ELEMENTS (specs));
  for (i = 0; i < RGY_REFUSAL_REASON_COUNT; i++)
    {
      char *label
          = g_strdup_printf ("reason=\"%s\"", rgy_refusal_reason_string[i]);

      c->refused[i]
          = rgy_counters_add (counters, "requests_not_run_total", label,
                              "Requests refused before delivery.");
      g_free (label);
    }
}

struct rgy_request_engine *
rgy_request_engine_new (const struct rgy_request_settings *settings)
{
  struct rgy_request_engine *engine = g_new0 (struct rgy_request_engine, 1);

  engine->settings = *settings;
  if (engine->settings.deadline_ms == 0)
    engine->settings.deadline_ms = RGY_ADMISSION_DEFAULT_DEADLINE_MS;
  if (engine->settings.counters == NULL)
    engine->settings.counters = engine->own_counters = rgy_counters_new ();
  register_counters_ (&engine->c, engine->settings.counters);
  engine->admission = rgy_admission_new (&settings->admission);
  engine->retry_budget = rgy_retry_budget_new (RETRY_PERCENT);
  engine->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&engine->records);
  g_queue_init (&engine->timer_sessions);
  return engine;
}

void
rgy_request_engine_delete (struct rgy_request_engine *engine)
{
  if (engine == NULL)
    return;
  g_hash_table_unref (engine->requests);
  rgy_retry_budget_delete (engine->retry_budget);
  rgy_admission_delete (engine->admission);
  rgy_counters_delete (engine->own_counters);
  g_free (engine);
}

struct rgy_admission *
rgy_request_engine_get_admission (struct rgy_request_engine *engine)
{
  return engine->admission;
}

void
rgy_request_engine_set_domain_out (struct rgy_request_engine *engine, bool out)
{
  engine->domain_out = out;
}

void
rgy_request_engine_set_hooks (struct rgy_request_engine *engine,
                              const struct rgy_request_hooks *hooks)
{
  engine->hooks = *hooks;
}

/* Messages from the caller.  */

static struct rgy_request *
find_request_by_key_ (const struct rgy_session *session,
                      const struct rgy_dedup_key *key)
{
  GList *link;

  for (link = session->requests.head; link != NULL; link = link->next)
    {
      struct rgy_request *r = link->data;

      if (rgy_dedup_key_equal (&r->key, key))
        return r;
    }
  return NULL;
}

static void
replay_answer_ (struct rgy_session *session, const struct rgy_coap_view *view,
                const struct rgy_dedup_record *record)
{
  GByteArray *out;

  ++*session->engine->c.replayed;
  if (record->response != NULL)
    {
      rgy_session_send (session, record->response);
      return;
    }
  out = rgy_coap_build_outcome_unknown (view, "handover");
  rgy_session_send (session, out);
  g_byte_array_unref (out);
}

/* Sends @p answer to the caller with a fresh Echo added; takes ownership of
   @p answer.  */
static void
send_with_echo_ (struct rgy_session *session, GByteArray *answer)
{
  uint8_t echo[RGY_ECHO_BYTES];
  struct rgy_coap_option change
      = { .number = RGY_COAP_OPTION_ECHO,
          .value = { .data = echo, .len = sizeof echo } };
  struct rgy_coap_header header;
  struct rgy_coap_view view;
  GByteArray *out;
  enum rgy_outcome rc;

  rc = rgy_coap_parse (
      (struct rgy_bytes){ .data = answer->data, .len = answer->len }, &view);
  g_assert (rc == RGY_OK);
  header = (struct rgy_coap_header){ .type = view.type,
                                     .code = view.code,
                                     .message_id = view.message_id,
                                     .token = view.token };
  if (view.type == RGY_COAP_NON)
    header.message_id = session->caller_id++;
  rgy_echo_create (session, echo);
  out = rgy_coap_rewrite (&view, &header, &change, 1);
  rgy_session_send (session, out);
  g_byte_array_unref (out);
  g_byte_array_unref (answer);
}

static void
send_echo_challenge_ (struct rgy_session *session,
                      const struct rgy_coap_view *view)
{
  struct rgy_coap_header header
      = { .type = view->type == RGY_COAP_CON ? RGY_COAP_ACK : RGY_COAP_NON,
          .code = CODE_UNAUTHORIZED,
          .message_id = view->message_id,
          .token = view->token };

  ++*session->engine->c.echo_challenges;
  send_with_echo_ (session,
                   rgy_coap_build (&header, NULL, 0, (struct rgy_bytes){ 0 }));
}

/* Rejects a request with an invalid Echo as outcome-unknown: the request may
   have run at another agent, or at this agent in an earlier epoch.  The answer
   carries a fresh Echo for the caller's next requests.  */
static void
reject_echo_ (struct rgy_session *session, const struct rgy_coap_view *view)
{
  ++*session->engine->c.echo_rejected;
  ++*session->engine->c.outcome_unknown;
  send_with_echo_ (session,
                   session->engine->settings.without_outcome_unknown
                       ? rgy_coap_build_not_run (view, RGY_REFUSAL_OVERLOAD, 1)
                       : rgy_coap_build_outcome_unknown (view, "echo"));
}

/* Decides by its Echo whether a non-idempotent request may run; answers the
   request if it may not.
   @return true when it may run.  */
static bool
check_echo_ (struct rgy_session *session, const struct rgy_coap_view *view,
             int64_t now_us)
{
  if (!session->engine->settings.echo_required)
    return true;
  if (!view->has_echo)
    {
      if (session->engine->domain_out)
        rgy_request_refuse (session, view, RGY_REFUSAL_FAILURE_DOMAIN_OUT,
                            now_us);
      else
        send_echo_challenge_ (session, view);
      return false;
    }
  if (rgy_echo_is_valid (session, view->echo))
    {
      rgy_echo_count_accepted (session, view);
      return true;
    }
  reject_echo_ (session, view);
  return false;
}

static void
handle_request_ (struct rgy_session *session, struct rgy_bytes datagram,
                 const struct rgy_coap_view *view, enum rgy_coap_class class,
                 int64_t now_us, struct rgy_actions *actions)
{
  struct rgy_request_engine *engine = session->engine;
  struct rgy_dedup_key key = rgy_dedup_make_key (view);
  struct rgy_request *request = find_request_by_key_ (session, &key);
  const struct rgy_dedup_record *record;

  if (request != NULL)
    {
      rgy_request_handle_duplicate (request, now_us, actions);
      return;
    }
  record = rgy_dedup_find (session, &key);
  if (record != NULL)
    {
      replay_answer_ (session, view, record);
      return;
    }
  if (session->flow->moving)
    {
      ++*engine->c.moving_dropped;
      return;
    }
  /* After an export without a known result, the target may have run requests
     under the Echo values created so far.  */
  if (session->export_count > 0)
    rgy_echo_invalidate (session);
  if (class == RGY_COAP_CLASS_NON_IDEMPOTENT
      && !check_echo_ (session, view, now_us))
    return;
  if (engine->domain_out)
    {
      rgy_request_refuse (session, view, RGY_REFUSAL_FAILURE_DOMAIN_OUT,
                          now_us);
      return;
    }
  rgy_request_begin (session, datagram, view, now_us, actions);
}

static void
handle_reset_ (struct rgy_session *session, uint16_t message_id,
               int64_t now_us, struct rgy_actions *actions)
{
  GList *link;

  if (rgy_observation_handle_reset (session, message_id, now_us, actions))
    return;
  for (link = session->requests.head; link != NULL; link = link->next)
    {
      struct rgy_request *r = link->data;

      if (r->sent_by_engine || r->view.message_id != message_id)
        continue;
      rgy_request_cancel (r, now_us, actions);
      return;
    }
  ++*session->engine->c.unmatched;
}

void
rgy_request_engine_handle_caller_datagram (struct rgy_request_engine *engine,
                                           struct rgy_flow *flow,
                                           struct rgy_bytes datagram,
                                           int64_t now_us,
                                           struct rgy_actions *actions)
{
  struct rgy_session *session;
  struct rgy_coap_view view;
  enum rgy_coap_class class;

  engine->now_us = now_us;
  if (rgy_coap_parse (datagram, &view) != RGY_OK)
    {
      ++*engine->c.malformed;
      return;
    }
  session = rgy_session_get (engine, flow);
  class = rgy_coap_classify (&view);
  switch (class)
    {
    case RGY_COAP_CLASS_PING:
      rgy_session_send_empty (session, RGY_COAP_RST, view.message_id);
      break;
    case RGY_COAP_CLASS_ACK:
      if (!rgy_observation_handle_ack (session, view.message_id, actions))
        ++*engine->c.unmatched;
      break;
    case RGY_COAP_CLASS_RESET:
      handle_reset_ (session, view.message_id, now_us, actions);
      break;
    case RGY_COAP_CLASS_RESPONSE:
      ++*engine->c.unmatched;
      break;
    case RGY_COAP_CLASS_IDEMPOTENT:
    case RGY_COAP_CLASS_OBSERVE:
    case RGY_COAP_CLASS_OBSERVE_END:
    case RGY_COAP_CLASS_NON_IDEMPOTENT:
      handle_request_ (session, datagram, &view, class, now_us, actions);
      break;
    }
  rgy_request_start_queued (engine, now_us, actions);
}

/* Messages from the backend server.  */

static struct rgy_request *
find_request_by_token_ (const GQueue *requests, struct rgy_bytes token)
{
  GList *link;

  if (token.len != RGY_BACKEND_TOKEN_BYTES)
    return NULL;
  for (link = requests->head; link != NULL; link = link->next)
    {
      struct rgy_request *r = link->data;

      if (r->state != RGY_REQUEST_QUEUED
          && memcmp (r->token, token.data, token.len) == 0)
        return r;
    }
  return NULL;
}

static struct rgy_request *
find_request_by_message_id_ (const struct rgy_session *session,
                             uint16_t message_id)
{
  GList *link;

  for (link = session->requests.head; link != NULL; link = link->next)
    {
      struct rgy_request *r = link->data;

      if (r->state == RGY_REQUEST_RUNNING && r->message_id == message_id)
        return r;
    }
  return NULL;
}

/* True when a message with the request's token is its answer.  A
   registration shares its token with the notifications of the observation
   that it refreshes, and the request that ends an observation shares it with
   the last notifications.  */
static bool
is_answer_to_ (const struct rgy_request *r, const struct rgy_coap_view *view)
{
  if (view->type == RGY_COAP_ACK)
    return view->message_id == r->message_id;
  if (!view->has_observe)
    return true;
  if (r->class != RGY_COAP_CLASS_OBSERVE)
    return false;
  return r->acknowledged || r->observation == NULL
         || !r->observation->registered;
}

static void
handle_response_ (struct rgy_session *session,
                  const struct rgy_coap_view *view, int64_t now_us,
                  struct rgy_actions *actions)
{
  struct rgy_request *request
      = find_request_by_token_ (&session->requests, view->token);
  struct rgy_observation *o;

  if (session->engine->settings.without_answer_matching
      && session->requests.head != NULL)
    {
      rgy_request_handle_answer (session->requests.head->data, view, now_us);
      return;
    }
  if (request != NULL && is_answer_to_ (request, view))
    {
      if (view->type == RGY_COAP_CON)
        rgy_session_deliver_empty (session, RGY_COAP_ACK, view->message_id,
                                   actions);
      rgy_request_handle_answer (request, view, now_us);
      return;
    }
  o = rgy_observation_find_backend (session, view->token);
  if (o != NULL && o->registered && view->type != RGY_COAP_ACK)
    {
      rgy_observation_handle_notification (session, o, view, actions);
      return;
    }
  /* Resets a message that belongs to no request or observation; this also ends
     an observation that the caller no longer wants.  */
  if (view->type == RGY_COAP_CON
      || (view->type == RGY_COAP_NON && view->has_observe))
    rgy_session_deliver_empty (session, RGY_COAP_RST, view->message_id,
                               actions);
  request = find_request_by_token_ (&session->timed_out, view->token);
  if (request != NULL)
    rgy_request_handle_late_answer (request, view, now_us);
  else
    ++*session->engine->c.unmatched;
}

void
rgy_request_engine_handle_backend_datagram (struct rgy_request_engine *engine,
                                            struct rgy_flow *flow,
                                            struct rgy_bytes datagram,
                                            int64_t now_us,
                                            struct rgy_actions *actions)
{
  struct rgy_session *session = flow->session;
  struct rgy_request *request;
  struct rgy_coap_view view;

  engine->now_us = now_us;
  if (rgy_coap_parse (datagram, &view) != RGY_OK)
    {
      ++*engine->c.malformed;
      return;
    }
  if (session == NULL)
    {
      ++*engine->c.unmatched;
      return;
    }
  switch (rgy_coap_classify (&view))
    {
    case RGY_COAP_CLASS_PING:
      rgy_session_deliver_empty (session, RGY_COAP_RST, view.message_id,
                                 actions);
      break;
    case RGY_COAP_CLASS_ACK:
      request = find_request_by_message_id_ (session, view.message_id);
      if (request != NULL)
        request->acknowledged = true;
      break;
    case RGY_COAP_CLASS_RESET:
      request = find_request_by_message_id_ (session, view.message_id);
      if (request != NULL)
        rgy_request_handle_failure (request, now_us);
      break;
    case RGY_COAP_CLASS_RESPONSE:
      handle_response_ (session, &view, now_us, actions);
      break;
    case RGY_COAP_CLASS_IDEMPOTENT:
    case RGY_COAP_CLASS_OBSERVE:
    case RGY_COAP_CLASS_OBSERVE_END:
    case RGY_COAP_CLASS_NON_IDEMPOTENT:
      ++*engine->c.unmatched;
      break;
    }
  rgy_request_start_queued (engine, now_us, actions);
}

void
rgy_request_engine_handle_socket_refused (struct rgy_request_engine *engine,
                                          struct rgy_flow *flow,
                                          int64_t now_us,
                                          struct rgy_actions *actions)
{
  struct rgy_session *session = flow->session;
  GList *link;
  GList *next;
  size_t i;

  engine->now_us = now_us;
  if (session == NULL)
    return;
  for (link = session->requests.head; link != NULL; link = next)
    {
      struct rgy_request *r = link->data;

      next = link->next;
      if (r->state == RGY_REQUEST_RUNNING)
        rgy_request_handle_failure (r, now_us);
    }
  for (i = 0; i < session->observation_count; i++)
    if (session->observations[i]->registered)
      rgy_observation_schedule_registration (session, session->observations[i],
                                             REFUSED_RETRY_US, now_us);
  rgy_request_start_queued (engine, now_us, actions);
}

void
rgy_request_engine_tick (struct rgy_request_engine *engine, int64_t now_us,
                         struct rgy_actions *actions)
{
  guint count = engine->timer_sessions.length;

  engine->now_us = now_us;
  rgy_request_expire_due (engine, now_us);
  rgy_dedup_expire (engine, now_us);
  while (count-- > 0)
    {
      struct rgy_session *session = engine->timer_sessions.head->data;

      g_queue_unlink (&engine->timer_sessions, &session->timer_link);
      session->has_timers_queued = false;
      if (rgy_observation_run_timers (session, now_us, actions))
        rgy_session_schedule_timers (session);
    }
  rgy_request_start_queued (engine, now_us, actions);
}
