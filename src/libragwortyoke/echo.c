#include "private/request_private.h"

#include <string.h>

#include <sodium.h>

#include "ragwortyoke/bytes.h"

#define FLOW_KEY_BYTES 13
/* The low bits of an epoch count the steps within a session.  */
#define STEP_MASK 0xffff
/* Half of the records that fit into a handover, so that a handover holds all
   records of the last two steps.  */
#define REQUESTS_PER_STEP (RGY_HANDOVER_MAX_RECORDS / 2)

static void
encode_flow_key_ (uint8_t *out, const struct rgy_flow_key *key)
{
  out[0] = (uint8_t)key->kind;
  switch (key->kind)
    {
    case RGY_FLOW_KEY_UDP:
      rgy_put_be (out + 1, key->u.udp.caller.ip, 4);
      rgy_put_be (out + 5, key->u.udp.caller.port, 2);
      rgy_put_be (out + 7, key->u.udp.service.ip, 4);
      rgy_put_be (out + 11, key->u.udp.service.port, 2);
      return;
    case RGY_FLOW_KEY_SEGMENT:
      break;
    }
  g_assert_not_reached (); /* Request sessions exist for UDP flows only.  */
}

static void
compute_mac_ (const struct rgy_session *session, uint64_t epoch, uint8_t *mac)
{
  uint8_t input[RGY_ECHO_EPOCH_BYTES + FLOW_KEY_BYTES] = { 0 };
  const struct rgy_request_settings *settings = &session->engine->settings;
  int rc;

  rgy_put_be (input, epoch, RGY_ECHO_EPOCH_BYTES);
  encode_flow_key_ (input + RGY_ECHO_EPOCH_BYTES, &session->flow->key);
  rc = crypto_generichash (mac, RGY_ECHO_MAC_BYTES, input, sizeof input,
                           settings->echo_key, sizeof settings->echo_key);
  g_assert (rc == 0);
}

/* The epoch in an Echo value differs from the agent's epoch.  It also changes
   for new sessions of a bucket after a flow of the bucket has moved to another
   agent, or was closed with deduplication records.  Without this change a flow
   that comes back would have its old Echo values accepted although the records
   of the requests that ran no longer exist.

   Within a session the epoch advances by one step after REQUESTS_PER_STEP
   requests.  A handover has room for few records and carries only the
   epochs whose records it holds completely.  A caller that uses the newest
   Echo it has received therefore gets no outcome-unknown answer because of
   a planned change.  */
uint64_t
rgy_echo_first_epoch (const struct rgy_request_engine *engine, unsigned bucket)
{
  uint64_t input[3];

  g_assert (bucket < RGY_BUCKET_COUNT);
  input[0] = engine->settings.epoch;
  input[1] = bucket;
  input[2] = engine->echo_generations[bucket];
  return rgy_hash_bytes ((struct rgy_bytes){ .data = (const uint8_t *)input,
                                             .len = sizeof input },
                         0)
         & ~(uint64_t)STEP_MASK;
}

void
rgy_echo_invalidate (struct rgy_session *session)
{
  struct rgy_request_engine *engine = session->engine;
  unsigned bucket = session->flow->bucket;

  engine->echo_generations[bucket]++;
  session->first_epoch = rgy_echo_first_epoch (engine, bucket);
  session->step = 0;
  session->accepted = 0;
  session->imported_count = 0;
  session->export_count = 0;
}

uint64_t
rgy_echo_current_epoch (const struct rgy_session *session)
{
  return session->first_epoch + session->step;
}

uint64_t
rgy_echo_get_epoch (const struct rgy_coap_view *request)
{
  if (!request->has_echo || request->echo.len != RGY_ECHO_BYTES)
    return 0;
  return rgy_get_be (request->echo.data, RGY_ECHO_EPOCH_BYTES);
}

void
rgy_echo_count_accepted (struct rgy_session *session,
                         const struct rgy_coap_view *request)
{
  if (rgy_echo_get_epoch (request) != rgy_echo_current_epoch (session)
      || ++session->accepted < REQUESTS_PER_STEP || session->step == STEP_MASK)
    return;
  session->step++;
  session->accepted = 0;
}

void
rgy_echo_create (const struct rgy_session *session, uint8_t *echo)
{
  uint64_t epoch = rgy_echo_current_epoch (session);

  rgy_put_be (echo, epoch, RGY_ECHO_EPOCH_BYTES);
  compute_mac_ (session, epoch, echo + RGY_ECHO_EPOCH_BYTES);
}

static bool
is_valid_epoch_ (const struct rgy_session *session, uint64_t epoch)
{
  size_t i;

  if (epoch >= session->first_epoch
      && epoch - session->first_epoch <= session->step)
    return true;
  for (i = 0; i < session->imported_count; i++)
    if (session->imported_epochs[i] == epoch)
      return true;
  return false;
}

bool
rgy_echo_is_valid (const struct rgy_session *session, struct rgy_bytes echo)
{
  uint8_t mac[RGY_ECHO_MAC_BYTES];
  uint64_t epoch;

  if (echo.len != RGY_ECHO_BYTES)
    return false;
  epoch = rgy_get_be (echo.data, RGY_ECHO_EPOCH_BYTES);
  if (!is_valid_epoch_ (session, epoch))
    return false;
  compute_mac_ (session, epoch, mac);
  return sodium_memcmp (mac, echo.data + RGY_ECHO_EPOCH_BYTES, sizeof mac)
         == 0;
}
