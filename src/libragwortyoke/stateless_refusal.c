#include "ragwortyoke/request.h"

#define REFUSAL_MAX_AGE_S 2

GByteArray *
rgy_coap_build_stateless_refusal (const struct rgy_coap_view *message,
                                  enum rgy_refusal_reason reason)
{
  switch (rgy_coap_classify (message))
    {
    case RGY_MESSAGE_NON_IDEMPOTENT:
      if (!message->has_echo)
        return rgy_coap_build_not_run (message, reason, REFUSAL_MAX_AGE_S);
      return rgy_coap_build_outcome_unknown (
          message, rgy_refusal_reason_string[reason]);
    case RGY_MESSAGE_IDEMPOTENT:
    case RGY_MESSAGE_OBSERVE:
    case RGY_MESSAGE_OBSERVE_END:
      return rgy_coap_build_outcome_unknown (
          message, rgy_refusal_reason_string[reason]);
    case RGY_MESSAGE_PING:
    case RGY_MESSAGE_ACK:
    case RGY_MESSAGE_RESET:
    case RGY_MESSAGE_RESPONSE:
      break;
    }
  return NULL;
}
