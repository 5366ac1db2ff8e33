#include "private/request_private.h"

#include <string.h>

#include <sodium.h>

#include "ragwortyoke/bytes.h"

#define FLOW_KEY_BYTES 13
/* Low bits of an epoch that count the steps of a session.  */
#define STEP_MASK 0xffff
/* Half of the records that a handover carries, so that it holds those of the
   last two steps.  */
#define REQUESTS_PER_STEP (RGY_HANDOVER_MAX_RECORDS / 2)

static void
put_flow_key_ (uint8_t *out, const struct rgy_flow_key *key)
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
mac_ (const struct rgy_session *session, uint64_t epoch, uint8_t *mac)
{
  uint8_t input[RGY_ECHO_EPOCH_BYTES + FLOW_KEY_BYTES] = { 0 };
  const struct rgy_request_settings *settings = &session->engine->settings;
  int rc;

  rgy_put_be (input, epoch, RGY_ECHO_EPOCH_BYTES);
  put_flow_key_ (input + RGY_ECHO_EPOCH_BYTES, &session->flow->key);
  rc = crypto_generichash (mac, RGY_ECHO_MAC_BYTES, input, sizeof input,
                           settings->echo_key, sizeof settings->echo_key);
  g_assert (rc == 0);
}

/* The epoch of an Echo is not the agent's epoch itself: it also changes for
   new sessions of a bucket after a flow of the bucket has moved away or was
   closed with deduplication records.  Otherwise a flow that comes back would
   have its old Echo values accepted without the records of what has run.

   Within a session the epoch advances by one step after a few requests.  A
   handover has room for a few records only, and carries just the epochs whose
   records it holds completely; a caller that uses the newest Echo it was given
   therefore gets no outcome-unknown from a planned change.  */
uint64_t
rgy_echo_epoch (const struct rgy_request_engine *engine, unsigned bucket)
{
  uint64_t input[3];

  g_assert (bucket < RGY_BUCKET_COUNT);
  input[0] = engine->settings.epoch;
  input[1] = bucket;
  input[2] = engine->generations[bucket];
  return rgy_hash_bytes ((struct rgy_bytes){ .data = (const uint8_t *)input,
                                             .len = sizeof input },
                         0)
         & ~(uint64_t)STEP_MASK;
}

void
rgy_echo_renew (struct rgy_session *session)
{
  struct rgy_request_engine *engine = session->engine;
  unsigned bucket = session->flow->bucket;

  engine->generations[bucket]++;
  session->own_epoch = rgy_echo_epoch (engine, bucket);
  session->step = 0;
  session->accepted = 0;
  session->imported_count = 0;
  session->exports = 0;
}

uint64_t
rgy_echo_current (const struct rgy_session *session)
{
  return session->own_epoch + session->step;
}

uint64_t
rgy_echo_epoch_of (const struct rgy_coap_view *request)
{
  if (!request->has_echo || request->echo.len != RGY_ECHO_BYTES)
    return 0;
  return rgy_get_be (request->echo.data, RGY_ECHO_EPOCH_BYTES);
}

void
rgy_echo_note_accepted (struct rgy_session *session,
                        const struct rgy_coap_view *request)
{
  if (rgy_echo_epoch_of (request) != rgy_echo_current (session)
      || ++session->accepted < REQUESTS_PER_STEP || session->step == STEP_MASK)
    return;
  session->step++;
  session->accepted = 0;
}

void
rgy_echo_mint (const struct rgy_session *session, uint8_t *echo)
{
  uint64_t epoch = rgy_echo_current (session);

  rgy_put_be (echo, epoch, RGY_ECHO_EPOCH_BYTES);
  mac_ (session, epoch, echo + RGY_ECHO_EPOCH_BYTES);
}

static bool
is_valid_epoch_ (const struct rgy_session *session, uint64_t epoch)
{
  size_t i;

  if (epoch >= session->own_epoch
      && epoch - session->own_epoch <= session->step)
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
  mac_ (session, epoch, mac);
  return sodium_memcmp (mac, echo.data + RGY_ECHO_EPOCH_BYTES, sizeof mac)
         == 0;
}
