#ifndef RGY_STANDIN_CALLER_H
#define RGY_STANDIN_CALLER_H

/**
 * @file
 * Caller stand-in: one socket, several scenarios.
 */

#include <jansson.h>

#include "standin.h"

#define MAX_RETRANSMIT 4

struct caller_settings
{
  struct rgy_endpoint local;
  struct rgy_endpoint connect;
  unsigned ack_timeout_ms;
  unsigned deadline_ms;   /**< Sent with every request; 0: not sent.  */
  unsigned interval_ms;   /**< Pause between posts.  */
  unsigned attempts;      /**< Tries of a record that was not run.  */
  unsigned separate_ms;   /**< Wait for a separate answer.  */
  unsigned silence_ms;    /**< A silent observation is registered again.  */
  unsigned watch_ms;      /**< 0: no watch.  */
  uint64_t until_version; /**< The watch ends at this version; 0: never.  */
  unsigned posts;         /**< 0: no posts.  */
  const char *fetch_path; /**< NULL: no fetch.  */
};

struct caller;

struct caller *caller_new (uv_loop_t *loop,
                           const struct caller_settings *settings,
                           const char *name);
/** Open the socket.  @return 0 or a libuv error.  */
int caller_open (struct caller *caller);
void caller_start (struct caller *caller);

const struct caller_settings *caller_get_settings (const struct caller *c);
const char *caller_get_name (const struct caller *caller);
uv_loop_t *caller_get_loop (struct caller *caller);
/** A scenario has finished: print its result.  Takes ownership.  The socket
    closes after the last one.  */
void caller_report (struct caller *caller, const char *scenario,
                    json_t *result);

/* Exchanges.  */

enum exchange_outcome
{
  EXCHANGE_ANSWERED,
  EXCHANGE_TIMED_OUT, /**< No answer after all retransmissions.  */
  EXCHANGE_RESET      /**< The server refused the message.  */
};

/** @param answer  NULL unless EXCHANGE_ANSWERED.  */
typedef void (*exchange_done_fn) (enum exchange_outcome outcome,
                                  const struct rgy_coap_view *answer,
                                  void *ctx);

struct exchange_request
{
  uint8_t code;
  bool has_observe;
  uint32_t observe;
  const char *path;
  bool has_block;
  uint32_t block;
  struct rgy_bytes payload;
  /** Token to use; empty: a new one.  */
  struct rgy_bytes token;
};

/** Send a confirmable request and retransmit it until it is answered.  An
    answer 4.01 with Echo is followed by the request with that Echo, a new
    token and a new message ID.  */
void exchange_start (struct caller *caller,
                     const struct exchange_request *request,
                     exchange_done_fn done, void *ctx);

/** Retransmissions of all exchanges.  */
uint64_t exchange_get_retransmissions (const struct caller *caller);

/** Answers whose token is @p token and that belong to no exchange are
    notifications.  */
typedef void (*notification_fn) (const struct rgy_coap_view *view, void *ctx);
void caller_set_observation (struct caller *caller, struct rgy_bytes token,
                             notification_fn notify, void *ctx);
struct rgy_bytes caller_new_token (struct caller *caller, uint8_t *room);

/* Results.  */

/** Count an answer that is neither a success nor a redirection in
    @p refusals (by reason, or by code for other texts).
    @return true for "not-run", false when the outcome is unknown or the
    answer is final.  */
bool refusal_note (json_t *refusals, const struct rgy_coap_view *answer);
bool answer_is_outcome_unknown (const struct rgy_coap_view *answer);
/** Max-Age of an answer in milliseconds, at least 100.  */
unsigned answer_retry_ms (const struct rgy_coap_view *answer);

/* Scenarios.  */

void watch_start (struct caller *caller);
void post_start (struct caller *caller);
void fetch_start (struct caller *caller);

#endif
