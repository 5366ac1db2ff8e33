#include "private/request_private.h"

#include <string.h>

static struct rgy_bytes
bytes_of_ (const GByteArray *array)
{
  return (struct rgy_bytes){ .data = array->data, .len = array->len };
}

/* Seed of the session's first token and message IDs.  They differ between
   sessions and between epochs, so that a backend server or a caller does not
   attribute a message of this session to an earlier session.  */
static uint64_t
session_seed_ (const struct rgy_request_engine *engine,
               const struct rgy_flow *flow)
{
  uint64_t input[4];

  input[0] = engine->settings.epoch;
  input[1] = flow->id;
  input[2] = rgy_endpoint_pack (flow->key.u.udp.caller);
  input[3] = rgy_endpoint_pack (flow->key.u.udp.service);
  return rgy_hash_bytes ((struct rgy_bytes){ .data = (const uint8_t *)input,
                                             .len = sizeof input },
                         0);
}

struct rgy_session *
rgy_session_get (struct rgy_request_engine *engine, struct rgy_flow *flow)
{
  struct rgy_session *s = flow->session;
  uint64_t seed;

  if (s != NULL)
    return s;
  s = g_new0 (struct rgy_session, 1);
  s->engine = engine;
  s->flow = flow;
  s->first_epoch = rgy_echo_first_epoch (engine, flow->bucket);
  g_queue_init (&s->requests);
  g_queue_init (&s->timed_out);
  g_queue_init (&s->record_order);
  s->records = g_hash_table_new (rgy_dedup_key_hash, rgy_dedup_key_equal);
  s->timer_link.data = s;
  seed = session_seed_ (engine, flow);
  s->token_prefix = (uint32_t)seed;
  s->backend_id = (uint16_t)(seed >> 32);
  s->caller_id = (uint16_t)(seed >> 48);
  flow->session = s;
  return s;
}

void
rgy_session_send (struct rgy_session *session, const GByteArray *datagram)
{
  const struct rgy_request_hooks *hooks = &session->engine->hooks;

  if (hooks->to_caller != NULL)
    hooks->to_caller (session->flow, bytes_of_ (datagram), hooks->ctx);
}

void
rgy_session_send_empty (struct rgy_session *session, enum rgy_coap_type type,
                        uint16_t message_id)
{
  GByteArray *out = rgy_coap_build_empty (type, message_id);

  rgy_session_send (session, out);
  g_byte_array_unref (out);
}

void
rgy_session_deliver (struct rgy_session *session, const GByteArray *datagram,
                     struct rgy_actions *actions)
{
  rgy_actions_deliver (actions, session->flow->id, bytes_of_ (datagram));
}

void
rgy_session_deliver_empty (struct rgy_session *session,
                           enum rgy_coap_type type, uint16_t message_id,
                           struct rgy_actions *actions)
{
  GByteArray *out = rgy_coap_build_empty (type, message_id);

  rgy_session_deliver (session, out, actions);
  g_byte_array_unref (out);
}

void
rgy_session_new_token (struct rgy_session *session, uint8_t *token)
{
  uint32_t count = session->token_count++;

  memcpy (token, &session->token_prefix, sizeof session->token_prefix);
  memcpy (token + sizeof session->token_prefix, &count, sizeof count);
}

void
rgy_session_schedule_timers (struct rgy_session *session)
{
  if (session->has_timers_queued)
    return;
  session->has_timers_queued = true;
  g_queue_push_tail_link (&session->engine->timer_sessions,
                          &session->timer_link);
}

/* True for a flow that has deduplication records or outstanding requests, or
   that has been exported: its Echo values must not be accepted when the flow
   is opened again.  */
static bool
must_invalidate_echo_ (const struct rgy_session *session)
{
  return session->export_count > 0 || session->record_order.length > 0
         || session->requests.length > 0;
}

void
rgy_request_engine_release_flow (struct rgy_request_engine *engine,
                                 struct rgy_flow *flow)
{
  struct rgy_session *s = flow->session;

  if (s == NULL)
    return;
  if (must_invalidate_echo_ (s))
    rgy_echo_invalidate (s);
  while (s->requests.head != NULL)
    rgy_request_release (s->requests.head->data);
  while (s->timed_out.head != NULL)
    rgy_request_release (s->timed_out.head->data);
  while (s->observation_count > 0)
    rgy_observation_remove (s, s->observations[0]);
  rgy_dedup_clear (s);
  if (s->has_timers_queued)
    g_queue_unlink (&engine->timer_sessions, &s->timer_link);
  g_hash_table_unref (s->records);
  g_free (s);
  flow->session = NULL;
}

unsigned
rgy_request_engine_get_outstanding (const struct rgy_flow *flow)
{
  const struct rgy_session *s = flow->session;

  return s != NULL ? s->requests.length : 0;
}

unsigned
rgy_request_engine_get_observations (const struct rgy_flow *flow)
{
  const struct rgy_session *s = flow->session;

  return s != NULL ? (unsigned)s->observation_count : 0;
}
