#include "private/request_private.h"

#include <string.h>

#include "ragwortyoke/clock.h"

#define CLASS_SUCCESS 2
/* Observe values have 24 bits; a value is newer than another when it is ahead
   by less than half of the number space (RFC 7641 section 3.4).  */
#define SEQUENCE_MASK 0xffffff
#define SEQUENCE_HALF (1 << 23)
/* ACK_TIMEOUT of RFC 7252.  */
#define ACK_TIMEOUT_US (2 * RGY_US_PER_S)
/* Delay before a registration that the backend server has refused
   is sent again.  */
#define REFUSED_RETRY_US RGY_US_PER_S

static struct rgy_bytes
bytes_of_ (const GByteArray *array)
{
  return (struct rgy_bytes){ .data = array->data, .len = array->len };
}

static bool
bytes_equal_ (struct rgy_bytes a, struct rgy_bytes b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

static bool
is_newer_ (uint32_t sequence, uint32_t than)
{
  uint32_t ahead = (sequence - than) & SEQUENCE_MASK;

  return ahead > 0 && ahead < SEQUENCE_HALF;
}

/* Set of observations of a session.  */

struct rgy_observation *
rgy_observation_find (const struct rgy_session *session,
                      struct rgy_bytes caller_token)
{
  size_t i;

  for (i = 0; i < session->observation_count; i++)
    if (bytes_equal_ (session->observations[i]->view.token, caller_token))
      return session->observations[i];
  return NULL;
}

struct rgy_observation *
rgy_observation_find_backend (const struct rgy_session *session,
                              struct rgy_bytes token)
{
  size_t i;

  for (i = 0; i < session->observation_count; i++)
    if (bytes_equal_ (
            (struct rgy_bytes){ .data = session->observations[i]->token,
                                .len = RGY_BACKEND_TOKEN_BYTES },
            token))
      return session->observations[i];
  return NULL;
}

static void
set_registration_ (struct rgy_observation *o, struct rgy_bytes registration)
{
  enum rgy_outcome rc;

  if (o->registration != NULL)
    g_byte_array_unref (o->registration);
  o->registration = g_byte_array_sized_new ((guint)registration.len);
  g_byte_array_append (o->registration, registration.data,
                       (guint)registration.len);
  rc = rgy_coap_parse (bytes_of_ (o->registration), &o->view);
  g_assert (rc == RGY_OK);
}

struct rgy_observation *
rgy_observation_add_or_replace (struct rgy_session *session,
                                struct rgy_bytes registration)
{
  struct rgy_observation *o;
  struct rgy_coap_view view;

  if (rgy_coap_parse (registration, &view) != RGY_OK)
    return NULL;
  o = rgy_observation_find (session, view.token);
  if (o == NULL)
    {
      if (session->observation_count == RGY_HANDOVER_MAX_OBSERVATIONS)
        return NULL;
      o = g_new0 (struct rgy_observation, 1);
      rgy_session_new_token (session, o->token);
      session->observations[session->observation_count++] = o;
    }
  set_registration_ (o, registration);
  return o;
}

void
rgy_observation_cancel_request (struct rgy_observation *observation,
                                int64_t now_us, struct rgy_actions *actions)
{
  bool must_register = observation->must_register;

  /* Without this flag, rgy_request_cancel() would remove an observation that
     is not yet registered.  */
  observation->must_register = true;
  rgy_request_cancel (observation->request, now_us, actions);
  observation->must_register = must_register;
}

static void
release_confirmable_ (struct rgy_observation *o)
{
  if (o->confirmable != NULL)
    g_byte_array_unref (o->confirmable);
  o->confirmable = NULL;
}

void
rgy_observation_remove (struct rgy_session *session,
                        struct rgy_observation *observation)
{
  size_t i = 0;

  while (session->observations[i] != observation)
    i++;
  session->observations[i]
      = session->observations[--session->observation_count];
  if (observation->request != NULL)
    observation->request->observation = NULL;
  release_confirmable_ (observation);
  g_byte_array_unref (observation->registration);
  g_free (observation);
}

/* Observe values.  */

uint32_t
rgy_observation_first_sequence (struct rgy_observation *observation,
                                uint32_t sequence)
{
  uint32_t shifted = (sequence + observation->offset) & SEQUENCE_MASK;

  if (observation->notified
      && !is_newer_ (shifted, observation->last_sequence))
    {
      shifted = (observation->last_sequence + 1) & SEQUENCE_MASK;
      observation->offset = (shifted - sequence) & SEQUENCE_MASK;
    }
  observation->notified = true;
  observation->last_sequence = shifted;
  return shifted;
}

void
rgy_observation_continue_after (struct rgy_observation *observation,
                                uint32_t sequence)
{
  struct rgy_observation *o = observation;

  if (o->notified && !is_newer_ (sequence, o->last_sequence))
    return;
  o->offset = (o->offset + sequence - o->last_sequence) & SEQUENCE_MASK;
  o->last_sequence = sequence;
  o->notified = true;
}

/* Builds a message of the observation for the caller.  */
static GByteArray *
build_message_ (const struct rgy_observation *o,
                const struct rgy_coap_view *view, enum rgy_coap_type type,
                uint16_t id, bool has_sequence, uint32_t sequence)
{
  struct rgy_coap_header header = {
    .type = type, .code = view->code, .message_id = id, .token = o->view.token
  };
  struct rgy_coap_option changes[] = { { .number = RGY_COAP_OPTION_OBSERVE },
                                       { .number = RGY_COAP_OPTION_ECHO } };
  struct rgy_coap_uint room;

  if (has_sequence)
    changes[0]
        = rgy_coap_uint_option (RGY_COAP_OPTION_OBSERVE, sequence, &room);
  return rgy_coap_rewrite (view, &header, changes, G_N_ELEMENTS (changes));
}

/* Notifications of the backend server.  */

static struct rgy_notification_ids *
find_recent_notification_ (struct rgy_observation *o, uint16_t id,
                           bool by_caller_id)
{
  size_t count = MIN (o->notification_count, RGY_RECENT_NOTIFICATIONS);
  size_t i;

  for (i = 0; i < count; i++)
    if ((by_caller_id ? o->recent_notifications[i].caller_id
                      : o->recent_notifications[i].backend_id)
        == id)
      return &o->recent_notifications[i];
  return NULL;
}

static void
forward_notification_ (struct rgy_session *session,
                       const struct rgy_observation *o,
                       const struct rgy_coap_view *view,
                       const struct rgy_notification_ids *ids)
{
  GByteArray *out = build_message_ (o, view, view->type, ids->caller_id, true,
                                    ids->sequence);

  rgy_session_send (session, out);
  g_byte_array_unref (out);
}

/* Handles a message with which the backend server ends the observation.  */
static void
handle_backend_end_ (struct rgy_session *session, struct rgy_observation *o,
                     const struct rgy_coap_view *view,
                     struct rgy_actions *actions)
{
  GByteArray *out
      = build_message_ (o, view, RGY_COAP_NON, session->caller_id++, false, 0);

  if (view->type == RGY_COAP_CON)
    rgy_session_deliver_empty (session, RGY_COAP_ACK, view->message_id,
                               actions);
  rgy_session_send (session, out);
  g_byte_array_unref (out);
  if (o->request == NULL)
    rgy_observation_remove (session, o);
  else
    o->registered = false;
}

static void
transmit_confirmable_ (struct rgy_session *session, struct rgy_observation *o,
                       int64_t now_us)
{
  rgy_session_send (session, o->confirmable);
  o->confirmable_ids[o->confirmable_transmissions] = o->confirmable_id;
  o->confirmable_due_us
      = now_us + (ACK_TIMEOUT_US << o->confirmable_transmissions);
  o->confirmable_transmissions++;
}

/* True for the message ID of any transmission of the confirmable
   notification.  An acknowledgement of an earlier transmission counts
   although the state, and with it the ID, has been renewed since: it shows
   that the caller is reachable.  */
static bool
is_confirmable_id_ (const struct rgy_observation *o, uint16_t message_id)
{
  unsigned i;

  for (i = 0; o->confirmable != NULL && i < o->confirmable_transmissions; i++)
    if (o->confirmable_ids[i] == message_id)
      return true;
  return false;
}

/* Replaces the state in the engine's confirmable notification, because a
   retransmission carries the newest state (RFC 7641 section 4.5.2).  The
   backend server itself retransmits its own confirmable notifications.  */
static void
renew_confirmable_ (struct rgy_session *session, struct rgy_observation *o,
                    const struct rgy_coap_view *view)
{
  if (o->confirmable == NULL)
    return;
  release_confirmable_ (o);
  if (view->type == RGY_COAP_CON)
    return;
  o->confirmable_id = session->caller_id++;
  o->confirmable = build_message_ (o, view, RGY_COAP_CON, o->confirmable_id,
                                   true, o->last_sequence);
}

void
rgy_observation_handle_notification (struct rgy_session *session,
                                     struct rgy_observation *observation,
                                     const struct rgy_coap_view *view,
                                     struct rgy_actions *actions)
{
  struct rgy_observation *o = observation;
  struct rgy_request_counters *c = &session->engine->c;
  struct rgy_notification_ids *ids
      = find_recent_notification_ (o, view->message_id, false);
  uint32_t sequence = (view->observe + o->offset) & SEQUENCE_MASK;

  if (view->code >> 5 != CLASS_SUCCESS || !view->has_observe)
    {
      handle_backend_end_ (session, o, view, actions);
      return;
    }
  if (ids != NULL && ids->sequence == sequence)
    {
      forward_notification_ (session, o, view, ids);
      return;
    }
  if (o->notified && !is_newer_ (sequence, o->last_sequence))
    {
      ++*c->notifications_stale;
      if (view->type == RGY_COAP_CON)
        rgy_session_deliver_empty (session, RGY_COAP_ACK, view->message_id,
                                   actions);
      return;
    }
  ++*c->notifications;
  o->notified = true;
  o->last_sequence = sequence;
  ids = &o->recent_notifications[o->notification_count++
                                 % RGY_RECENT_NOTIFICATIONS];
  *ids = (struct rgy_notification_ids){ .backend_id = view->message_id,
                                        .caller_id = session->caller_id++,
                                        .sequence = sequence };
  forward_notification_ (session, o, view, ids);
  renew_confirmable_ (session, o, view);
}

/* Registrations sent by the engine.  */

/* Sends the state in the answer to a registration as a confirmable
   notification: if it were lost, the caller would keep an old state until the
   next change.  */
static void
send_confirmable_ (struct rgy_session *session, struct rgy_observation *o,
                   const struct rgy_coap_view *answer, uint32_t sequence,
                   int64_t now_us)
{
  release_confirmable_ (o);
  o->confirmable_id = session->caller_id++;
  o->confirmable = build_message_ (o, answer, RGY_COAP_CON, o->confirmable_id,
                                   true, sequence);
  o->confirmable_transmissions = 0;
  transmit_confirmable_ (session, o, now_us);
  rgy_session_schedule_timers (session);
}

void
rgy_observation_handle_registration_answer (
    struct rgy_session *session, struct rgy_observation *observation,
    const struct rgy_coap_view *answer, int64_t now_us)
{
  struct rgy_observation *o = observation;

  if (answer->code >> 5 == CLASS_SUCCESS && answer->has_observe)
    {
      o->registered = true;
      o->must_register = false;
      ++*session->engine->c.notifications;
      send_confirmable_ (session, o, answer,
                         rgy_observation_first_sequence (o, answer->observe),
                         now_us);
      return;
    }
  if (answer->code >> 5 == 5)
    {
      rgy_observation_schedule_registration (session, o, REFUSED_RETRY_US,
                                             now_us);
      return;
    }
  {
    GByteArray *out = build_message_ (o, answer, RGY_COAP_NON,
                                      session->caller_id++, false, 0);

    rgy_session_send (session, out);
    g_byte_array_unref (out);
  }
  rgy_observation_remove (session, o);
}

void
rgy_observation_schedule_registration (struct rgy_session *session,
                                       struct rgy_observation *observation,
                                       int64_t delay_us, int64_t now_us)
{
  observation->registered = false;
  observation->must_register = true;
  observation->register_after_us = now_us + delay_us;
  rgy_session_schedule_timers (session);
}

/* Acknowledgements and Resets of the caller.  */

bool
rgy_observation_handle_ack (struct rgy_session *session, uint16_t message_id,
                            struct rgy_actions *actions)
{
  size_t i;

  for (i = 0; i < session->observation_count; i++)
    {
      struct rgy_observation *o = session->observations[i];
      const struct rgy_notification_ids *ids;

      if (is_confirmable_id_ (o, message_id))
        {
          release_confirmable_ (o);
          return true;
        }
      ids = find_recent_notification_ (o, message_id, true);
      if (ids != NULL)
        {
          rgy_session_deliver_empty (session, RGY_COAP_ACK, ids->backend_id,
                                     actions);
          return true;
        }
    }
  return false;
}

bool
rgy_observation_handle_reset (struct rgy_session *session, uint16_t message_id,
                              int64_t now_us, struct rgy_actions *actions)
{
  size_t i;

  for (i = 0; i < session->observation_count; i++)
    {
      struct rgy_observation *o = session->observations[i];

      if (!is_confirmable_id_ (o, message_id)
          && find_recent_notification_ (o, message_id, true) == NULL)
        continue;
      if (o->request != NULL)
        rgy_observation_cancel_request (o, now_us, actions);
      if (o->registered)
        rgy_observation_deregister (session, o, actions);
      rgy_observation_remove (session, o);
      return true;
    }
  return false;
}

/* A Reset to the last notification ends an observation without work for
   the backend server.  Without a notification the agent only removes the
   observation (RFC 7641 section 3.6): a GET with Observe 1 would run
   beside the requests that admission counts, and a drain would send one
   for each observation.  */
void
rgy_observation_deregister (struct rgy_session *session,
                            const struct rgy_observation *observation,
                            struct rgy_actions *actions)
{
  const struct rgy_observation *o = observation;

  if (o->notification_count > 0)
    rgy_session_deliver_empty (
        session, RGY_COAP_RST,
        o->recent_notifications[(o->notification_count - 1)
                                % RGY_RECENT_NOTIFICATIONS]
            .backend_id,
        actions);
}

/* Timers of observations.  */

/* Retransmits the confirmable notification when it is due.
   @return false when the last transmission has timed out and the caller has
   acknowledged none of them.  */
static bool
retransmit_confirmable_ (struct rgy_session *session,
                         struct rgy_observation *o, int64_t now_us)
{
  if (o->confirmable == NULL || o->confirmable_due_us > now_us)
    return true;
  if (o->confirmable_transmissions >= RGY_CONFIRMABLE_TRANSMISSIONS)
    return false;
  transmit_confirmable_ (session, o, now_us);
  return true;
}

bool
rgy_observation_run_timers (struct rgy_session *session, int64_t now_us,
                            struct rgy_actions *actions)
{
  bool has_timers = false;
  size_t i;

  for (i = session->observation_count; i > 0; i--)
    {
      struct rgy_observation *o = session->observations[i - 1];

      if (!retransmit_confirmable_ (session, o, now_us))
        {
          if (o->registered)
            rgy_observation_deregister (session, o, actions);
          rgy_observation_remove (session, o);
          continue;
        }
      if (o->must_register && o->request == NULL && !session->flow->moving
          && o->register_after_us <= now_us)
        rgy_request_begin_registration (session, o, now_us, actions);
      has_timers = has_timers || o->must_register || o->confirmable != NULL;
    }
  return has_timers;
}
