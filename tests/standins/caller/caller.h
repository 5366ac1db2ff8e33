#ifndef RGY_STANDIN_CALLER_H
#define RGY_STANDIN_CALLER_H

/**
 * @file
 * Caller stand-in: a CoAP client with one socket that runs up to three
 * scenarios at once, each of which prints one JSON object as its result.
 */

#include <jansson.h>

#include "standin.h"

/** MAX_RETRANSMIT of RFC 7252.  */
#define MAX_RETRANSMIT 4

struct caller_settings
{
  struct rgy_endpoint local;   /**< Unset: any address and port.  */
  struct rgy_endpoint connect; /**< Service address.  */
  unsigned ack_timeout_ms;     /**< ACK_TIMEOUT of RFC 7252.  */
  unsigned deadline_ms;        /**< Deadline of each request; 0: none.  */
  unsigned interval_ms;        /**< Pause between posts.  */
  unsigned attempts;      /**< Attempts for a record answered as not run.  */
  unsigned separate_ms;   /**< Time-out of a separate answer.  */
  unsigned silence_ms;    /**< An observation without a notification for
                             this time is registered again.  */
  unsigned watch_ms;      /**< Duration of the watch; 0: no watch.  */
  uint64_t until_version; /**< The watch ends early at this version; 0: the
                             watch lasts watch_ms.  */
  unsigned posts;         /**< Number of records to post.  */
  const char *fetch_path; /**< NULL: no fetch.  */
};

struct caller;

/** Create a caller without a socket.
    @param name  prefix of its record IDs; copied.  */
struct caller *caller_new (uv_loop_t *loop,
                           const struct caller_settings *settings,
                           const char *name);
/** Open the socket.  @return 0 or a libuv error.  */
int caller_open (struct caller *caller);
/** Start the scenarios of the settings.  */
void caller_start (struct caller *caller);

const struct caller_settings *caller_get_settings (const struct caller *c);
/** Prefix of the caller's record IDs.  */
const char *caller_get_name (const struct caller *caller);
uv_loop_t *caller_get_loop (struct caller *caller);
/** Print the result of a finished scenario, and close the socket after the
    last one.
    @param result  the function takes ownership.  */
void caller_report_result (struct caller *caller, const char *scenario,
                           json_t *result);

/** How an exchange ended.  */
enum exchange_outcome
{
  EXCHANGE_ANSWERED,
  EXCHANGE_TIMED_OUT, /**< No answer after all retransmissions.  */
  EXCHANGE_RESET      /**< The server answered with a Reset.  */
};

/** Called once at the end of an exchange.
    @param answer  NULL unless EXCHANGE_ANSWERED; valid during the call.  */
typedef void (*exchange_done_fn) (enum exchange_outcome outcome,
                                  const struct rgy_coap_view *answer,
                                  void *ctx);

/** Request of an exchange.  */
struct exchange_request
{
  uint8_t code;
  bool has_observe;
  uint32_t observe;
  const char *path;
  bool has_block;
  uint32_t block; /**< Encoded Block2 value.  */
  struct rgy_bytes payload;
  /** Token of the request; empty: a new one.  */
  struct rgy_bytes token;
};

/** Send a confirmable request and retransmit it until it is answered. After an
    answer 4.01 with Echo, the request is repeated with that Echo, a new
    message ID and, unless @p request gives one, a new token.
    @param request  path and payload are copied.  */
void exchange_start (struct caller *caller,
                     const struct exchange_request *request,
                     exchange_done_fn done, void *ctx);

/** Number of retransmissions of all exchanges.  */
uint64_t exchange_get_retransmissions (const struct caller *caller);

/** Called for each notification, which is valid during the call.  */
typedef void (*notification_fn) (const struct rgy_coap_view *view, void *ctx);
/** Set the token of the caller's observation: an answer that has this token
    and belongs to no exchange is a notification.
    @param notify  NULL: no observation.  */
void caller_set_observation (struct caller *caller, struct rgy_bytes token,
                             notification_fn notify, void *ctx);
/** Write an unused token to @p buffer, which has at least
    RGY_COAP_TOKEN_MAX_BYTES bytes.
    @return the token in @p buffer.  */
struct rgy_bytes caller_new_token (struct caller *caller, uint8_t *buffer);

/** Count an error answer in @p refusals: by its reason when it is "not-run",
    otherwise by its code.
    @return true for "not-run", false when the outcome is unknown or the
    error is final.  */
bool answer_count_error (json_t *refusals, const struct rgy_coap_view *answer);
/** True when the request of this answer may have been executed.  */
bool answer_is_outcome_unknown (const struct rgy_coap_view *answer);
/** Delay in milliseconds before the request is repeated: Max-Age of the
    answer, or 100 if that is longer.  */
unsigned answer_get_retry_ms (const struct rgy_coap_view *answer);

/** Observe /board and record its versions.  */
void watch_start (struct caller *caller);
/** Post records to /records, one after the other.  */
void post_start (struct caller *caller);
/** Fetch a resource block-wise and compare it with the catalogue.  */
void fetch_start (struct caller *caller);

#endif
