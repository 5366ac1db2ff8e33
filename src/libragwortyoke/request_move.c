#include "private/request_private.h"

#include "ragwortyoke/clock.h"

/* Export and import of the request state of flows.  */

/* Number of Observe values that the previous owner may still use until the
   transfer is acknowledged; the new owner starts after them.  */
#define SEQUENCE_GAP 1024
#define SEQUENCE_MASK 0xffffff
/* A longer stored answer is not transferred; a duplicate of its request then
   gets outcome-unknown.  */
#define RESPONSE_MAX_BYTES 1200

static struct rgy_bytes
bytes_of_ (const GByteArray *array)
{
  return (struct rgy_bytes){ .data = array->data, .len = array->len };
}

static void
export_observations_ (const struct rgy_session *s,
                      struct rgy_handover_state *state)
{
  size_t i;

  for (i = 0; i < s->observation_count; i++)
    {
      const struct rgy_observation *o = s->observations[i];

      state->observations[i] = (struct rgy_handover_observation){
        .registration = bytes_of_ (o->registration),
        .last_sequence
        = o->notified ? (o->last_sequence + SEQUENCE_GAP) & SEQUENCE_MASK : 0,
        .notified = o->notified
      };
    }
  state->observation_count = s->observation_count;
}

/* Epochs of which at least one record did not fit.  */
struct incomplete_epochs_
{
  bool imported;
  GArray *epochs;
};

/* Exports the newest records first, and adds the epochs of those that do not
   fit to @p incomplete.  */
static void
export_records_ (const struct rgy_session *s, bool safe, int64_t now_us,
                 struct rgy_handover_state *state,
                 struct incomplete_epochs_ *incomplete)
{
  GList *link;

  for (link = s->record_order.tail; link != NULL; link = link->prev)
    {
      const struct rgy_dedup_record *r = link->data;
      struct rgy_handover_record *out;

      if (r->safe != safe || r->expires_us <= now_us)
        continue;
      if (state->record_count == RGY_HANDOVER_MAX_RECORDS)
        {
          incomplete->imported = incomplete->imported || r->imported;
          g_array_append_val (incomplete->epochs, r->echo_epoch);
          continue;
        }
      out = &state->records[state->record_count++];
      out->message_id = r->key.message_id;
      out->token = (struct rgy_bytes){ .data = (const uint8_t *)&r->key.token,
                                       .len = r->key.token_len };
      out->response = (struct rgy_bytes){ 0 };
      if (r->response != NULL && r->response->len <= RESPONSE_MAX_BYTES)
        out->response = bytes_of_ (r->response);
      out->age_ms = (uint32_t)((now_us - r->finished_us) / RGY_US_PER_MS);
    }
}

static void
export_epoch_ (uint64_t epoch, const struct incomplete_epochs_ *incomplete,
               struct rgy_handover_state *state)
{
  guint i;

  if (state->echo_epoch_count == RGY_HANDOVER_MAX_EPOCHS)
    return;
  for (i = 0; i < incomplete->epochs->len; i++)
    if (g_array_index (incomplete->epochs, uint64_t, i) == epoch)
      return;
  state->echo_epochs[state->echo_epoch_count++] = epoch;
}

/* Exports the epochs whose records are all exported; an epoch without all its
   records would let a request run again.  The newest own epochs come first.
   Half of the space is left for the epochs of previous owners, whose Echo
   values callers may still use.  */
static void
export_epochs_ (const struct rgy_session *s,
                const struct incomplete_epochs_ *incomplete,
                struct rgy_handover_state *state)
{
  unsigned steps = MIN (s->step + 1, RGY_HANDOVER_MAX_EPOCHS / 2);
  unsigned i;

  for (i = 0; i < steps; i++)
    export_epoch_ (s->first_epoch + s->step - i, incomplete, state);
  if (incomplete->imported)
    return;
  for (i = 0; i < s->imported_count; i++)
    export_epoch_ (s->imported_epochs[i], incomplete, state);
}

enum rgy_outcome
rgy_request_engine_export (struct rgy_request_engine *engine,
                           struct rgy_flow *flow, int64_t now_us,
                           struct rgy_handover_state *state)
{
  struct rgy_session *s = rgy_session_get (engine, flow);
  struct incomplete_epochs_ incomplete = { 0 };

  if (s->requests.length > 0)
    return RGY_ERR_CONFLICT;
  *state = (struct rgy_handover_state){ .key = flow->key,
                                        .customer = flow->customer };
  export_observations_ (s, state);
  incomplete.epochs = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  export_records_ (s, false, now_us, state, &incomplete);
  export_epochs_ (s, &incomplete, state);
  export_records_ (s, true, now_us, state, &incomplete);
  g_array_unref (incomplete.epochs);
  s->export_count++;
  return RGY_OK;
}

void
rgy_request_engine_keep_echo (struct rgy_request_engine *engine,
                              struct rgy_flow *flow)
{
  struct rgy_session *s = flow->session;

  (void)engine;
  if (s != NULL && s->export_count == 1)
    s->export_count = 0;
}

static bool
is_valid_state_ (const struct rgy_handover_state *state)
{
  struct rgy_coap_view view;
  size_t i;

  if (state->observation_count > RGY_HANDOVER_MAX_OBSERVATIONS
      || state->record_count > RGY_HANDOVER_MAX_RECORDS
      || state->echo_epoch_count > RGY_HANDOVER_MAX_EPOCHS)
    return false;
  for (i = 0; i < state->observation_count; i++)
    if (rgy_coap_parse (state->observations[i].registration, &view) != RGY_OK
        || rgy_coap_classify (&view) != RGY_COAP_CLASS_OBSERVE)
      return false;
  for (i = 0; i < state->record_count; i++)
    if (state->records[i].token.len > RGY_COAP_TOKEN_MAX_BYTES
        || (state->records[i].response.len > 0
            && rgy_coap_parse (state->records[i].response, &view) != RGY_OK))
      return false;
  return true;
}

static void
import_record_ (struct rgy_session *s, const struct rgy_handover_record *in,
                int64_t now_us)
{
  struct rgy_coap_view view
      = { .message_id = in->message_id, .token = in->token };
  struct rgy_dedup_key key = rgy_dedup_make_key (&view);
  GByteArray *response = NULL;

  if (rgy_dedup_find (s, &key) != NULL)
    return;
  if (in->response.len > 0)
    {
      response = g_byte_array_new ();
      g_byte_array_append (response, in->response.data,
                           (guint)in->response.len);
    }
  rgy_dedup_store (s, &view, response, false,
                   now_us - in->age_ms * RGY_US_PER_MS)
      ->imported
      = true;
}

static void
import_epochs_ (struct rgy_session *s, const struct rgy_handover_state *state)
{
  size_t i;
  size_t k;

  for (i = 0; i < state->echo_epoch_count; i++)
    {
      for (k = 0; k < s->imported_count; k++)
        if (s->imported_epochs[k] == state->echo_epochs[i])
          break;
      if (k == s->imported_count && k < RGY_HANDOVER_MAX_EPOCHS)
        s->imported_epochs[s->imported_count++] = state->echo_epochs[i];
    }
}

enum rgy_outcome
rgy_request_engine_import (struct rgy_request_engine *engine,
                           struct rgy_flow *flow,
                           const struct rgy_handover_state *state,
                           int64_t now_us, struct rgy_actions *actions)
{
  struct rgy_session *s;
  size_t i;

  engine->now_us = now_us;
  if (!is_valid_state_ (state))
    return RGY_ERR_INVALID;
  s = rgy_session_get (engine, flow);
  import_epochs_ (s, state);
  for (i = state->record_count; i > 0; i--)
    import_record_ (s, &state->records[i - 1], now_us);
  for (i = 0; i < state->observation_count; i++)
    {
      const struct rgy_handover_observation *in = &state->observations[i];
      struct rgy_observation *o
          = rgy_observation_add_or_replace (s, in->registration);

      if (o == NULL)
        continue;
      if (in->notified && !o->notified)
        {
          o->notified = true;
          o->last_sequence = in->last_sequence & SEQUENCE_MASK;
        }
      if (o->registered || o->request != NULL)
        continue;
      rgy_observation_schedule_registration (s, o, 0, now_us);
      rgy_request_begin_registration (s, o, now_us, actions);
    }
  return RGY_OK;
}

void
rgy_request_engine_merge_sequences (struct rgy_request_engine *engine,
                                    struct rgy_flow *flow,
                                    const struct rgy_handover_state *state)
{
  struct rgy_session *s = flow->session;
  struct rgy_coap_view view;
  size_t i;

  (void)engine;
  if (s == NULL || !is_valid_state_ (state))
    return;
  for (i = 0; i < state->observation_count; i++)
    {
      const struct rgy_handover_observation *in = &state->observations[i];
      struct rgy_observation *o = NULL;

      if (in->notified && rgy_coap_parse (in->registration, &view) == RGY_OK)
        o = rgy_observation_find (s, view.token);
      if (o != NULL)
        rgy_observation_continue_after (o, in->last_sequence & SEQUENCE_MASK);
    }
}

void
rgy_request_engine_end_observations (struct rgy_request_engine *engine,
                                     struct rgy_flow *flow,
                                     struct rgy_actions *actions)
{
  struct rgy_session *s = flow->session;

  (void)engine;
  if (s == NULL)
    return;
  while (s->observation_count > 0)
    {
      if (s->observations[0]->registered)
        rgy_observation_deregister (s, s->observations[0], actions);
      rgy_observation_remove (s, s->observations[0]);
    }
}
