#include "ragwortyoke/request.h"

#include <string.h>

#define CODE_SERVICE_UNAVAILABLE RGY_COAP_CODE (5, 3)
#define CODE_GATEWAY_TIMEOUT RGY_COAP_CODE (5, 4)

const char *const rgy_refusal_reason_string[] = {
  [RGY_REFUSAL_CONTRACT_LIMIT] = "contract-limit",
  [RGY_REFUSAL_NO_BACKEND_SERVER] = "no-backend-server",
  [RGY_REFUSAL_COLD_START] = "cold-start",
  [RGY_REFUSAL_FAILURE_DOMAIN_OUT] = "failure-domain-out",
  [RGY_REFUSAL_DEADLINE] = "deadline",
  [RGY_REFUSAL_DRAINING] = "draining",
  [RGY_REFUSAL_OVERLOAD] = "overload",
};
G_STATIC_ASSERT (G_N_ELEMENTS (rgy_refusal_reason_string)
                 == RGY_REFUSAL_REASON_COUNT);

/* Builds an answer with a diagnostic payload.  A NON answer repeats the
   message ID of the request, because the two directions have separate ID
   spaces (RFC 7252 section 4.4).  */
static GByteArray *
build_answer_ (const struct rgy_coap_view *request, uint8_t code,
               const struct rgy_coap_option *options, size_t option_count,
               const char *prefix, const char *reason)
{
  struct rgy_coap_header header
      = { .type = request->type == RGY_COAP_CON ? RGY_COAP_ACK : RGY_COAP_NON,
          .code = code,
          .message_id = request->message_id,
          .token = request->token };
  char *text = g_strconcat (prefix, reason, NULL);
  GByteArray *out
      = rgy_coap_build (&header, options, option_count,
                        (struct rgy_bytes){ .data = (const uint8_t *)text,
                                            .len = strlen (text) });

  g_free (text);
  return out;
}

GByteArray *
rgy_coap_build_not_run (const struct rgy_coap_view *request,
                        enum rgy_refusal_reason reason, uint32_t max_age_s)
{
  struct rgy_coap_uint room;
  struct rgy_coap_option max_age
      = rgy_coap_uint_option (RGY_COAP_OPTION_MAX_AGE, max_age_s, &room);

  return build_answer_ (request, CODE_SERVICE_UNAVAILABLE, &max_age, 1,
                        "not-run: ", rgy_refusal_reason_string[reason]);
}

GByteArray *
rgy_coap_build_outcome_unknown (const struct rgy_coap_view *request,
                                const char *reason)
{
  return build_answer_ (request, CODE_GATEWAY_TIMEOUT, NULL, 0,
                        "outcome-unknown: ", reason);
}

GByteArray *
rgy_coap_build_refusal (const struct rgy_coap_view *message,
                        enum rgy_refusal_reason reason, uint32_t max_age_s)
{
  switch (rgy_coap_classify (message))
    {
    case RGY_COAP_CLASS_NON_IDEMPOTENT:
      if (!message->has_echo)
        return rgy_coap_build_not_run (message, reason, max_age_s);
      break;
    case RGY_COAP_CLASS_IDEMPOTENT:
    case RGY_COAP_CLASS_OBSERVE:
    case RGY_COAP_CLASS_OBSERVE_END:
      break;
    case RGY_COAP_CLASS_PING:
    case RGY_COAP_CLASS_ACK:
    case RGY_COAP_CLASS_RESET:
    case RGY_COAP_CLASS_RESPONSE:
      return NULL;
    }
  return rgy_coap_build_outcome_unknown (message,
                                         rgy_refusal_reason_string[reason]);
}
