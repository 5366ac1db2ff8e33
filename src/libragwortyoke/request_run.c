#include "private/request_private.h"

#include <string.h>

#include "ragwortyoke/clock.h"

/* Delivery of requests to the backend server, and their answers
   to the caller.  */

#define CODE_SERVICE_UNAVAILABLE RGY_COAP_CODE (5, 3)
#define CLASS_SERVER_ERROR 5
#define METHOD_GET 1
#define METHOD_FETCH 5

/* Max-Age of refusals, in seconds.  A cold or a missing backend server
   needs more time than a full queue.  A failure domain that is out of
   service, or a draining agent, needs another agent, which the balancers
   choose within seconds.  */
#define MAX_AGE_SHORT_S 1
#define MAX_AGE_COLD_S 2
#define MAX_AGE_OUT_S 5

/* A duplicate from the caller causes a retry only after this time, so that a
   datagram duplicated by the network does not cause one.  */
#define RETRY_MIN_US (200 * RGY_US_PER_MS)
/* Number of timed-out requests of a flow for which a late answer
   is still recognised.  */
#define TIMED_OUT_MAX 16

/* True for safe requests, which change nothing.  Their answers are not stored,
   so that a block-wise transfer costs no memory; a duplicate may run again,
   and its refusal applies to that attempt only.  */
static bool
is_safe_ (const struct rgy_coap_view *view)
{
  return view->code == METHOD_GET || view->code == METHOD_FETCH;
}

static uint32_t
refusal_max_age_s_ (enum rgy_refusal_reason reason)
{
  switch (reason)
    {
    case RGY_REFUSAL_COLD_START:
    case RGY_REFUSAL_NO_BACKEND_SERVER:
      return MAX_AGE_COLD_S;
    case RGY_REFUSAL_FAILURE_DOMAIN_OUT:
    case RGY_REFUSAL_DRAINING:
      return MAX_AGE_OUT_S;
    case RGY_REFUSAL_CONTRACT_LIMIT:
    case RGY_REFUSAL_DEADLINE:
    case RGY_REFUSAL_OVERLOAD:
    case RGY_REFUSAL_REASON_COUNT:
      break;
    }
  return MAX_AGE_SHORT_S;
}

/* Gives a NON answer a message ID that does not collide with
   those of notifications.  */
static void
renumber_non_answer_ (struct rgy_session *session, GByteArray *answer)
{
  struct rgy_coap_view view;
  uint16_t id;

  if (rgy_coap_parse (
          (struct rgy_bytes){ .data = answer->data, .len = answer->len },
          &view)
          != RGY_OK
      || view.type != RGY_COAP_NON)
    return;
  id = session->caller_id++;
  answer->data[2] = (uint8_t)(id >> 8);
  answer->data[3] = (uint8_t)id;
}

/* Refusals of requests.  */

/* The refusal is stored like an answer: a retransmission of the request that
   arrives after it must not run.  */
void
rgy_request_refuse (struct rgy_session *session,
                    const struct rgy_coap_view *view,
                    enum rgy_refusal_reason reason, int64_t now_us)
{
  struct rgy_request_engine *engine = session->engine;
  GByteArray *out;

  if (!rgy_dedup_ensure_space (session))
    {
      ++*engine->c.records_full;
      return;
    }
  out = rgy_coap_build_not_run (view, reason, refusal_max_age_s_ (reason));
  renumber_non_answer_ (session, out);
  ++*engine->c.refused[reason];
  rgy_session_send (session, out);
  (void)rgy_dedup_store (session, view, out, is_safe_ (view), now_us);
}

static enum rgy_refusal_reason
admission_refusal_reason_ (const struct rgy_request_engine *engine)
{
  if (rgy_admission_get_limit (engine->admission) == 0)
    return RGY_REFUSAL_NO_BACKEND_SERVER;
  return rgy_admission_is_cold (engine->admission) ? RGY_REFUSAL_COLD_START
                                                   : RGY_REFUSAL_OVERLOAD;
}

/* Creation and release of requests.  */

static struct rgy_request *
request_new_ (struct rgy_session *session, struct rgy_bytes datagram,
              int64_t deadline_us)
{
  struct rgy_request_engine *engine = session->engine;
  struct rgy_request *r = g_new0 (struct rgy_request, 1);
  enum rgy_outcome rc;

  r->id = ++engine->next_id;
  r->session = session;
  r->datagram = g_byte_array_sized_new ((guint)datagram.len);
  g_byte_array_append (r->datagram, datagram.data, (guint)datagram.len);
  rc = rgy_coap_parse (
      (struct rgy_bytes){ .data = r->datagram->data, .len = r->datagram->len },
      &r->view);
  g_assert (rc == RGY_OK);
  r->class = rgy_coap_classify (&r->view);
  r->key = rgy_dedup_make_key (&r->view);
  r->deadline_us = deadline_us;
  r->message_id = session->backend_id++;
  r->link.data = r;
  g_hash_table_insert (engine->requests, &r->id, r);
  g_queue_push_tail_link (&session->requests, &r->link);
  return r;
}

static void
request_free_ (struct rgy_request *r)
{
  struct rgy_session *session = r->session;

  g_queue_unlink (r->state == RGY_REQUEST_TIMED_OUT ? &session->timed_out
                                                    : &session->requests,
                  &r->link);
  if (r->observation != NULL && r->observation->request == r)
    r->observation->request = NULL;
  g_hash_table_remove (session->engine->requests, &r->id);
  g_byte_array_unref (r->datagram);
  g_free (r);
}

/* Reports to the contract that the request is no longer in flight.  */
static void
report_request_end_ (struct rgy_request *r)
{
  const struct rgy_request_hooks *hooks = &r->session->engine->hooks;

  if (!r->sent_by_engine && r->state != RGY_REQUEST_TIMED_OUT
      && hooks->end_request != NULL)
    hooks->end_request (r->session->flow, hooks->ctx);
}

/* Removes an observation whose first registration has failed.  */
static void
remove_failed_registration_ (struct rgy_request *r)
{
  struct rgy_observation *o = r->observation;

  if (o == NULL || o->request != r)
    return;
  o->request = NULL;
  r->observation = NULL;
  if (!o->registered && !o->must_register)
    rgy_observation_remove (r->session, o);
}

/* Sends the final answer of a request to the caller and stores it for
   duplicates.  Takes ownership of @p answer.  */
static void
finish_request_ (struct rgy_request *r, GByteArray *answer, int64_t now_us)
{
  struct rgy_session *session = r->session;

  report_request_end_ (r);
  rgy_session_send (session, answer);
  if (!is_safe_ (&r->view))
    (void)rgy_dedup_store (session, &r->view, answer, false, now_us);
  else
    g_byte_array_unref (answer);
}

static void
finish_outcome_unknown_ (struct rgy_request *r, const char *reason,
                         int64_t now_us)
{
  GByteArray *answer
      = r->session->engine->settings.without_outcome_unknown
            ? rgy_coap_build_not_run (&r->view, RGY_REFUSAL_OVERLOAD, 1)
            : rgy_coap_build_outcome_unknown (&r->view, reason);

  ++*r->session->engine->c.outcome_unknown;
  renumber_non_answer_ (r->session, answer);
  finish_request_ (r, answer, now_us);
}

/* Delivery to the backend server.  */

static void
deliver_request_ (struct rgy_request *r, int64_t now_us,
                  struct rgy_actions *actions)
{
  struct rgy_session *session = r->session;
  struct rgy_coap_header header
      = { .type = r->view.type,
          .code = r->view.code,
          .message_id = r->message_id,
          .token = { .data = r->token, .len = sizeof r->token } };
  int64_t left_ms = (r->deadline_us - now_us) / RGY_US_PER_MS;
  struct rgy_coap_uint room;
  struct rgy_coap_option changes[]
      = { { .number = RGY_COAP_OPTION_ECHO },
          rgy_coap_uint_option (
              RGY_COAP_OPTION_DEADLINE_MS,
              (uint32_t)CLAMP (left_ms, 1, RGY_COAP_DEADLINE_MAX_MS), &room) };
  GByteArray *out
      = rgy_coap_rewrite (&r->view, &header, changes, G_N_ELEMENTS (changes));

  r->state = RGY_REQUEST_RUNNING;
  r->delivered_us = now_us;
  ++*session->engine->c.delivered;
  rgy_session_deliver (session, out, actions);
  g_byte_array_unref (out);
}

static void
start_request_ (struct rgy_request *r, int64_t now_us,
                struct rgy_actions *actions)
{
  rgy_retry_budget_note_delivery (r->session->engine->retry_budget, now_us);
  deliver_request_ (r, now_us, actions);
}

/* Submits a request to admission.
   @return false when admission refused it; the caller of this function must
   then release the request.  */
static bool
submit_request_ (struct rgy_request *r, int64_t now_us,
                 struct rgy_actions *actions)
{
  switch (rgy_admission_submit (r->session->engine->admission, r->id,
                                r->deadline_us, now_us))
    {
    case RGY_ADMISSION_RUN:
      start_request_ (r, now_us, actions);
      return true;
    case RGY_ADMISSION_QUEUED:
      return true;
    case RGY_ADMISSION_REFUSED:
    case RGY_ADMISSION_DEADLINE:
    case RGY_ADMISSION_DUPLICATE:
      break;
    }
  return false;
}

/* Finds or creates the observation of a registration, and sets the token for
   the backend server.
   @return false when the flow has too many observations.  */
static bool
bind_observation_ (struct rgy_request *r, int64_t now_us,
                   struct rgy_actions *actions)
{
  struct rgy_session *session = r->session;
  struct rgy_observation *o;

  switch (r->class)
    {
    case RGY_COAP_CLASS_OBSERVE:
      o = rgy_observation_add_or_replace (
          session, (struct rgy_bytes){ .data = r->datagram->data,
                                       .len = r->datagram->len });
      if (o == NULL)
        return false;
      if (o->request != NULL)
        rgy_observation_cancel_request (o, now_us, actions);
      o->request = r;
      r->observation = o;
      memcpy (r->token, o->token, sizeof r->token);
      return true;
    case RGY_COAP_CLASS_OBSERVE_END:
      o = rgy_observation_find (session, r->view.token);
      if (o == NULL)
        break;
      memcpy (r->token, o->token, sizeof r->token);
      return true;
    case RGY_COAP_CLASS_PING:
    case RGY_COAP_CLASS_ACK:
    case RGY_COAP_CLASS_RESET:
    case RGY_COAP_CLASS_IDEMPOTENT:
    case RGY_COAP_CLASS_NON_IDEMPOTENT:
    case RGY_COAP_CLASS_RESPONSE:
      break;
    }
  rgy_session_new_token (session, r->token);
  return true;
}

/* Removes an observation after the request that ends it was submitted.  */
static void
end_observation_ (struct rgy_session *session, struct rgy_observation *o,
                  int64_t now_us, struct rgy_actions *actions)
{
  if (o->request != NULL)
    rgy_observation_cancel_request (o, now_us, actions);
  rgy_observation_remove (session, o);
}

void
rgy_request_begin (struct rgy_session *session, struct rgy_bytes datagram,
                   const struct rgy_coap_view *view, int64_t now_us,
                   struct rgy_actions *actions)
{
  struct rgy_request_engine *engine = session->engine;
  const struct rgy_request_hooks *hooks = &engine->hooks;
  int64_t deadline_ms
      = view->has_deadline ? view->deadline_ms : engine->settings.deadline_ms;
  enum rgy_refusal_reason reason = RGY_REFUSAL_OVERLOAD;
  struct rgy_observation *ended = NULL;
  struct rgy_request *r;

  if (!rgy_dedup_ensure_space (session))
    {
      ++*engine->c.records_full;
      return;
    }
  if (hooks->begin_request != NULL
      && !hooks->begin_request (session->flow, hooks->ctx))
    {
      rgy_request_refuse (session, view, RGY_REFUSAL_CONTRACT_LIMIT, now_us);
      return;
    }
  r = request_new_ (session, datagram, now_us + deadline_ms * RGY_US_PER_MS);
  if (bind_observation_ (r, now_us, actions))
    {
      if (r->class == RGY_COAP_CLASS_OBSERVE_END)
        ended = rgy_observation_find (session, view->token);
      if (submit_request_ (r, now_us, actions))
        {
          if (ended != NULL)
            end_observation_ (session, ended, now_us, actions);
          return;
        }
      reason = admission_refusal_reason_ (engine);
    }
  report_request_end_ (r);
  remove_failed_registration_ (r);
  rgy_request_refuse (session, view, reason, now_us);
  request_free_ (r);
}

void
rgy_request_begin_registration (struct rgy_session *session,
                                struct rgy_observation *observation,
                                int64_t now_us, struct rgy_actions *actions)
{
  struct rgy_request_engine *engine = session->engine;
  struct rgy_request *r = request_new_ (
      session,
      (struct rgy_bytes){ .data = observation->registration->data,
                          .len = observation->registration->len },
      now_us + engine->settings.deadline_ms * RGY_US_PER_MS);

  r->sent_by_engine = true;
  r->observation = observation;
  observation->request = r;
  memcpy (r->token, observation->token, sizeof r->token);
  /* A duplicate of the registration that the caller sent must not
     match this request.  */
  memset (&r->key, 0, sizeof r->key);
  r->key.token_len = UINT8_MAX;
  if (submit_request_ (r, now_us, actions))
    return;
  request_free_ (r);
  rgy_observation_schedule_registration (session, observation, RETRY_MIN_US,
                                         now_us);
}

void
rgy_request_handle_duplicate (struct rgy_request *request, int64_t now_us,
                              struct rgy_actions *actions)
{
  struct rgy_request_engine *engine = request->session->engine;

  ++*engine->c.absorbed;
  if (request->class == RGY_COAP_CLASS_NON_IDEMPOTENT
      || request->state != RGY_REQUEST_RUNNING || request->acknowledged
      || now_us - request->delivered_us < RETRY_MIN_US
      || !rgy_retry_budget_charge (engine->retry_budget, now_us))
    return;
  ++*engine->c.retries;
  deliver_request_ (request, now_us, actions);
}

/* Cancellation, answers, failures and deadlines of requests.  */

void
rgy_request_cancel (struct rgy_request *request, int64_t now_us,
                    struct rgy_actions *actions)
{
  struct rgy_session *session = request->session;
  struct rgy_request_engine *engine = session->engine;

  ++*engine->c.cancelled;
  if (request->state == RGY_REQUEST_QUEUED)
    (void)rgy_admission_cancel (engine->admission, request->id);
  else
    {
      rgy_session_deliver_empty (session, RGY_COAP_RST, request->message_id,
                                 actions);
      (void)rgy_admission_complete (engine->admission, request->id,
                                    RGY_COMPLETION_CANCELLED, now_us);
    }
  report_request_end_ (request);
  /* The caller expects no answer, but duplicates of the request
     must not run.  */
  if (!is_safe_ (&request->view))
    (void)rgy_dedup_store (
        session, &request->view,
        rgy_coap_build_outcome_unknown (&request->view, "cancelled"), false,
        now_us);
  remove_failed_registration_ (request);
  request_free_ (request);
}

static enum rgy_completion
classify_completion_ (const struct rgy_coap_view *answer)
{
  if (answer->code == CODE_SERVICE_UNAVAILABLE)
    return RGY_COMPLETION_SHED;
  return answer->code >> 5 == CLASS_SERVER_ERROR ? RGY_COMPLETION_FAILED
                                                 : RGY_COMPLETION_OK;
}

/* Updates the observation from the answer to its registration.
   @return true when the answer to the caller carries the Observe value
   @p sequence.  */
static bool
apply_registration_answer_ (struct rgy_request *r,
                            const struct rgy_coap_view *answer,
                            uint32_t *sequence)
{
  struct rgy_observation *o = r->observation;

  if (o == NULL || o->request != r)
    return false;
  o->request = NULL;
  r->observation = NULL;
  if (answer->code >> 5 != 2 || !answer->has_observe)
    {
      rgy_observation_remove (r->session, o);
      return false;
    }
  o->registered = true;
  o->must_register = false;
  *sequence = rgy_observation_first_sequence (o, answer->observe);
  return true;
}

/* True when the caller used an Echo other than the newest, so that the answer
   must carry a fresh one.  */
static bool
needs_fresh_echo_ (const struct rgy_request *r)
{
  return r->class == RGY_COAP_CLASS_NON_IDEMPOTENT
         && r->session->engine->settings.echo_required
         && rgy_echo_get_epoch (&r->view)
                != rgy_echo_current_epoch (r->session);
}

void
rgy_request_handle_answer (struct rgy_request *request,
                           const struct rgy_coap_view *answer, int64_t now_us)
{
  struct rgy_session *session = request->session;
  struct rgy_request_engine *engine = session->engine;
  struct rgy_coap_header header = { .type = RGY_COAP_ACK,
                                    .code = answer->code,
                                    .message_id = request->view.message_id,
                                    .token = request->view.token };
  /* Removes Observe and Echo: an Echo of the backend server itself would be
     mistaken for one of the agent's.  */
  struct rgy_coap_option changes[] = { { .number = RGY_COAP_OPTION_OBSERVE },
                                       { .number = RGY_COAP_OPTION_ECHO } };
  uint8_t echo[RGY_ECHO_BYTES];
  struct rgy_coap_uint room;
  uint32_t sequence;

  (void)rgy_admission_complete (engine->admission, request->id,
                                classify_completion_ (answer), now_us);
  ++*engine->c.answered;
  if (request->sent_by_engine)
    {
      struct rgy_observation *o = request->observation;

      request_free_ (request);
      if (o != NULL)
        rgy_observation_handle_registration_answer (session, o, answer,
                                                    now_us);
      return;
    }
  if (apply_registration_answer_ (request, answer, &sequence))
    changes[0]
        = rgy_coap_uint_option (RGY_COAP_OPTION_OBSERVE, sequence, &room);
  if (needs_fresh_echo_ (request))
    {
      rgy_echo_create (session, echo);
      changes[1].value
          = (struct rgy_bytes){ .data = echo, .len = sizeof echo };
    }
  if (request->view.type == RGY_COAP_NON)
    {
      header.type = RGY_COAP_NON;
      header.message_id = session->caller_id++;
    }
  finish_request_ (
      request,
      rgy_coap_rewrite (answer, &header, changes, G_N_ELEMENTS (changes)),
      now_us);
  request_free_ (request);
}

void
rgy_request_handle_failure (struct rgy_request *request, int64_t now_us)
{
  struct rgy_session *session = request->session;
  struct rgy_observation *o = request->observation;

  (void)rgy_admission_complete (session->engine->admission, request->id,
                                RGY_COMPLETION_FAILED, now_us);
  if (request->sent_by_engine)
    {
      request_free_ (request);
      if (o != NULL)
        rgy_observation_schedule_registration (session, o, RGY_US_PER_S,
                                               now_us);
      return;
    }
  finish_outcome_unknown_ (
      request, rgy_refusal_reason_string[RGY_REFUSAL_NO_BACKEND_SERVER],
      now_us);
  remove_failed_registration_ (request);
  request_free_ (request);
}

void
rgy_request_handle_late_answer (struct rgy_request *request,
                                const struct rgy_coap_view *answer,
                                int64_t now_us)
{
  struct rgy_request_engine *engine = request->session->engine;

  ++*engine->c.late;
  (void)rgy_admission_complete (engine->admission, request->id,
                                classify_completion_ (answer), now_us);
  request_free_ (request);
}

void
rgy_request_release (struct rgy_request *request)
{
  struct rgy_request_engine *engine = request->session->engine;

  switch (request->state)
    {
    case RGY_REQUEST_QUEUED:
      (void)rgy_admission_cancel (engine->admission, request->id);
      break;
    case RGY_REQUEST_RUNNING:
      (void)rgy_admission_complete (engine->admission, request->id,
                                    RGY_COMPLETION_LOST, engine->now_us);
      break;
    case RGY_REQUEST_TIMED_OUT:
      break;
    }
  report_request_end_ (request);
  request_free_ (request);
}

static void
time_out_queued_ (struct rgy_request *r, int64_t now_us)
{
  struct rgy_session *session = r->session;
  struct rgy_observation *o = r->observation;

  if (r->sent_by_engine)
    {
      request_free_ (r);
      if (o != NULL)
        rgy_observation_schedule_registration (session, o, RETRY_MIN_US,
                                               now_us);
      return;
    }
  report_request_end_ (r);
  rgy_request_refuse (session, &r->view, RGY_REFUSAL_DEADLINE, now_us);
  remove_failed_registration_ (r);
  request_free_ (r);
}

static void
time_out_running_ (struct rgy_request *r, int64_t now_us)
{
  struct rgy_session *session = r->session;
  struct rgy_observation *o = r->observation;

  if (!r->sent_by_engine)
    finish_outcome_unknown_ (
        r, rgy_refusal_reason_string[RGY_REFUSAL_DEADLINE], now_us);
  if (r->sent_by_engine && o != NULL)
    {
      o->request = NULL;
      r->observation = NULL;
      rgy_observation_schedule_registration (session, o, RETRY_MIN_US, now_us);
    }
  else
    remove_failed_registration_ (r);
  g_queue_unlink (&session->requests, &r->link);
  r->state = RGY_REQUEST_TIMED_OUT;
  g_queue_push_tail_link (&session->timed_out, &r->link);
  if (session->timed_out.length > TIMED_OUT_MAX)
    request_free_ (session->timed_out.head->data);
}

void
rgy_request_expire_due (struct rgy_request_engine *engine, int64_t now_us)
{
  struct rgy_admission_expired expired;

  while (rgy_admission_expire (engine->admission, now_us, &expired))
    {
      struct rgy_request *r
          = g_hash_table_lookup (engine->requests, &expired.id);

      if (r == NULL)
        continue;
      if (expired.was_running)
        time_out_running_ (r, now_us);
      else
        time_out_queued_ (r, now_us);
    }
}

void
rgy_request_start_queued (struct rgy_request_engine *engine, int64_t now_us,
                          struct rgy_actions *actions)
{
  uint64_t id;

  while (rgy_admission_next (engine->admission, now_us, &id))
    {
      struct rgy_request *r = g_hash_table_lookup (engine->requests, &id);

      if (r != NULL)
        start_request_ (r, now_us, actions);
      else
        (void)rgy_admission_complete (engine->admission, id,
                                      RGY_COMPLETION_CANCELLED, now_us);
    }
}
