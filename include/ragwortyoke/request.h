#ifndef RAGWORTYOKE_REQUEST_H
#define RAGWORTYOKE_REQUEST_H

/**
 * @file
 * CoAP requests at an agent: codec, classification, Echo, deduplication,
 * admission, observations and refusals.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/action.h"
#include "ragwortyoke/admission.h"
#include "ragwortyoke/counter.h"
#include "ragwortyoke/flow.h"
#include "ragwortyoke/handover.h"
#include "ragwortyoke/outcome.h"
#include "ragwortyoke/str.h"

/* CoAP codec.  */

#define RGY_COAP_TOKEN_MAX_BYTES 8
#define RGY_COAP_OPTION_OBSERVE 6
#define RGY_COAP_OPTION_MAX_AGE 14
#define RGY_COAP_OPTION_ECHO 252
/** Elective option, safe to forward: the time left in milliseconds,
    1 to 60,000.  */
#define RGY_COAP_OPTION_DEADLINE_MS 65008
#define RGY_COAP_DEADLINE_MAX_MS 60000
#define RGY_COAP_EXCHANGE_LIFETIME_US INT64_C (247000000)

enum rgy_coap_type
{
  RGY_COAP_CON,
  RGY_COAP_NON,
  RGY_COAP_ACK,
  RGY_COAP_RST
};

/** Message code as class * 32 + detail, for example 0.02 POST = 2.  */
#define RGY_COAP_CODE(class, detail) ((uint8_t)(((class) << 5) | (detail)))

/** Parsed message; byte ranges point into the datagram.  */
struct rgy_coap_view
{
  enum rgy_coap_type type;
  uint8_t code;
  uint16_t message_id;
  struct rgy_bytes token;
  struct rgy_bytes options; /**< Encoded options; see
                               rgy_coap_next_option().  */
  struct rgy_bytes payload;
  bool has_observe;
  uint32_t observe;
  bool has_echo;
  struct rgy_bytes echo;
  bool has_deadline;
  uint32_t deadline_ms;
};

/** Parse a datagram.  @return RGY_OK or RGY_ERR_INVALID.  */
enum rgy_outcome rgy_coap_parse (struct rgy_bytes datagram,
                                 struct rgy_coap_view *view);

struct rgy_coap_option
{
  uint16_t number;
  struct rgy_bytes value;
};

/** Position in the options of a message; initialise it with zeros.  */
struct rgy_coap_cursor
{
  size_t offset;
  uint16_t number;
};

/** Return the next option of a parsed message, in ascending order of numbers.
    @return false after the last option.  */
bool rgy_coap_next_option (const struct rgy_coap_view *view,
                           struct rgy_coap_cursor *cursor,
                           struct rgy_coap_option *option);

/** Decode the value of an unsigned integer option; bytes beyond the
    fourth are ignored.  */
uint32_t rgy_coap_option_uint (struct rgy_bytes value);

/** Storage for the value of an unsigned integer option.  */
struct rgy_coap_uint
{
  uint8_t bytes[4];
};

/** Make an option with an unsigned integer value in its shortest form; the
    value points into @p room.  */
struct rgy_coap_option rgy_coap_uint_option (uint16_t number, uint32_t value,
                                             struct rgy_coap_uint *room);

/** Header of a message, including the token.  */
struct rgy_coap_header
{
  enum rgy_coap_type type;
  uint8_t code;
  uint16_t message_id;
  struct rgy_bytes token; /**< At most RGY_COAP_TOKEN_MAX_BYTES.  */
};

/** Build a message.  @p options must be in ascending order of numbers.
    @return bytes to be freed with g_byte_array_unref().  */
GByteArray *rgy_coap_build (const struct rgy_coap_header *header,
                            const struct rgy_coap_option *options,
                            size_t option_count, struct rgy_bytes payload);

/** Build a message with the options and the payload of @p view, but with
    another header and some options replaced.

    @param changes  in ascending order of distinct numbers; all options of
                    that number are replaced, or removed when the value's
                    @c data is NULL.  */
GByteArray *rgy_coap_rewrite (const struct rgy_coap_view *view,
                              const struct rgy_coap_header *header,
                              const struct rgy_coap_option *changes,
                              size_t change_count);

/** Build an empty message: a ping, an acknowledgement or a Reset.  */
GByteArray *rgy_coap_build_empty (enum rgy_coap_type type,
                                  uint16_t message_id);

enum rgy_coap_class
{
  RGY_COAP_CLASS_PING,           /**< Empty confirmable message.  */
  RGY_COAP_CLASS_ACK,            /**< Empty acknowledgement.  */
  RGY_COAP_CLASS_RESET,          /**< Empty Reset, which cancels a request
                                    or an observation.  */
  RGY_COAP_CLASS_IDEMPOTENT,     /**< GET, PUT, DELETE, FETCH.  */
  RGY_COAP_CLASS_OBSERVE,        /**< GET with Observe 0.  */
  RGY_COAP_CLASS_OBSERVE_END,    /**< GET with Observe 1.  */
  RGY_COAP_CLASS_NON_IDEMPOTENT, /**< POST, PATCH, iPATCH, unknown methods.  */
  RGY_COAP_CLASS_RESPONSE        /**< Response to a request.  */
};
enum rgy_coap_class rgy_coap_classify (const struct rgy_coap_view *view);

/* Refusals of requests.  */

/** Max-Age of a refusal when no flow is open: the time after which a caller
    may try again.  */
#define RGY_REFUSAL_MAX_AGE_S 2

enum rgy_refusal_reason
{
  RGY_REFUSAL_CONTRACT_LIMIT,
  RGY_REFUSAL_NO_BACKEND_SERVER,
  RGY_REFUSAL_COLD_START,
  RGY_REFUSAL_FAILURE_DOMAIN_OUT,
  RGY_REFUSAL_DEADLINE,
  RGY_REFUSAL_DRAINING,
  RGY_REFUSAL_OVERLOAD,
  RGY_REFUSAL_REASON_COUNT
};
/** Texts such as "contract-limit", indexed by enum rgy_refusal_reason.  */
extern const char *const rgy_refusal_reason_string[];

/** Build a 5.03 answer "not-run: REASON" with Max-Age to a request that has
    not been delivered.  The answer is piggybacked for CON, and NON for NON.
    @return bytes to be freed with g_byte_array_unref().  */
GByteArray *rgy_coap_build_not_run (const struct rgy_coap_view *request,
                                    enum rgy_refusal_reason reason,
                                    uint32_t max_age_s);
/** Build a 5.04 answer "outcome-unknown: REASON".
    @return bytes to be freed with g_byte_array_unref().  */
GByteArray *
rgy_coap_build_outcome_unknown (const struct rgy_coap_view *request,
                                const char *reason);
/** Build the refusal of a request of which this process has no record.  Only a
    non-idempotent request without Echo gets "not-run: REASON", because no
    agent delivers such a request.  Any other request gets "outcome-unknown:
    REASON", because an agent that no longer runs may have delivered an earlier
    copy of it.
    @return bytes to be freed with g_byte_array_unref(), or NULL when
    @p message is not a request.  */
GByteArray *rgy_coap_build_refusal (const struct rgy_coap_view *message,
                                    enum rgy_refusal_reason reason,
                                    uint32_t max_age_s);

/* Request engine: all requests of one agent.  */

struct rgy_request_settings
{
  uint64_t epoch;       /**< Value that differs for each start
                           of each agent.  */
  uint8_t echo_key[32]; /**< Key of the Echo values, the same in
                           the whole cluster.  */
  unsigned deadline_ms; /**< Default deadline of a request.  */
  struct rgy_admission_settings admission;
  bool echo_required;           /**< False only in baseline measurements.  */
  bool without_answer_matching; /**< True only in baseline
                                   measurements and tests: an answer
                                   goes to the oldest request.  */
  bool without_outcome_unknown; /**< True only in baseline
                                   measurements and tests: every
                                   failure is answered with "not-run".  */
  struct rgy_counters *counters;
};

struct rgy_request_engine;

struct rgy_request_engine *
rgy_request_engine_new (const struct rgy_request_settings *settings);
void rgy_request_engine_delete (struct rgy_request_engine *engine);

struct rgy_admission *
rgy_request_engine_get_admission (struct rgy_request_engine *engine);

/** Set whether the agent's failure domain is out of service; if so, new
    requests are refused with "not-run: failure-domain-out".  */
void rgy_request_engine_set_domain_out (struct rgy_request_engine *engine,
                                        bool out);

/** Function that sends a datagram to the caller of a flow.  */
typedef void (*rgy_send_to_caller_fn) (struct rgy_flow *flow,
                                       struct rgy_bytes datagram, void *ctx);

/** Functions of the agent that the engine calls.  begin_request() returns
    whether the contract allows one more request in flight; end_request() is
    called when the request is no longer in flight.  */
struct rgy_request_hooks
{
  rgy_send_to_caller_fn to_caller;
  bool (*begin_request) (struct rgy_flow *flow, void *ctx);
  void (*end_request) (struct rgy_flow *flow, void *ctx);
  void *ctx;
};
void rgy_request_engine_set_hooks (struct rgy_request_engine *engine,
                                   const struct rgy_request_hooks *hooks);

/** Handle a datagram from the caller on an open flow.  Messages to the backend
    server are added to @p actions.  */
void rgy_request_engine_handle_caller_datagram (
    struct rgy_request_engine *engine, struct rgy_flow *flow,
    struct rgy_bytes datagram, int64_t now_us, struct rgy_actions *actions);
/** Handle a datagram from the backend server on the flow's socket.  */
void rgy_request_engine_handle_backend_datagram (
    struct rgy_request_engine *engine, struct rgy_flow *flow,
    struct rgy_bytes datagram, int64_t now_us, struct rgy_actions *actions);
/** Handle a connection-refused error on the flow's socket: the running
    requests fail, and observations are registered again later.  */
void rgy_request_engine_handle_socket_refused (
    struct rgy_request_engine *engine, struct rgy_flow *flow, int64_t now_us,
    struct rgy_actions *actions);
/** Run what is due: deadlines, the admission queue, timers of observations and
    the expiry of deduplication records.  */
void rgy_request_engine_tick (struct rgy_request_engine *engine,
                              int64_t now_us, struct rgy_actions *actions);

/** Release the request state of a flow that is about to be closed.  */
void rgy_request_engine_release_flow (struct rgy_request_engine *engine,
                                      struct rgy_flow *flow);

/** Return the number of requests of the flow that are queued or running.  */
unsigned rgy_request_engine_get_outstanding (const struct rgy_flow *flow);
/** Return the number of observations of the flow.  */
unsigned rgy_request_engine_get_observations (const struct rgy_flow *flow);

/* Handover of flows.  */

/** Export a flow that has no outstanding requests.  Byte ranges of @p state
    stay valid until the flow changes.

    After the first export the receiving agent may accept the flow's Echo
    values.  Set @c flow->moving in the same event: while it is set, requests
    of the flow are dropped, and callers retransmit them to the new owner.
    When it is cleared and this agent still owns the flow, the Echo values
    created so far are no longer valid, unless rgy_request_engine_keep_echo()
    was called.

    The state carries only Echo epochs whose deduplication records it holds
    completely: the receiver answers outcome-unknown to a request with an Echo
    from before the last few requests.  Answers carry a fresh Echo when the
    caller's Echo is no longer the newest.
    @return RGY_OK or RGY_ERR_CONFLICT (requests outstanding).  */
enum rgy_outcome rgy_request_engine_export (struct rgy_request_engine *engine,
                                            struct rgy_flow *flow,
                                            int64_t now_us,
                                            struct rgy_handover_state *state);
/** Keep the Echo values created so far valid, after the only target of an
    export has refused the flow and stores no state of it.  The call has no
    effect after a second export, because an earlier target may have accepted
    the flow.  */
void rgy_request_engine_keep_echo (struct rgy_request_engine *engine,
                                   struct rgy_flow *flow);
/** Import the state of a flow that has just been opened, and register its
    observations at the backend server.
    @return RGY_OK or RGY_ERR_INVALID (malformed state;
    nothing is imported).  */
enum rgy_outcome
rgy_request_engine_import (struct rgy_request_engine *engine,
                           struct rgy_flow *flow,
                           const struct rgy_handover_state *state,
                           int64_t now_us, struct rgy_actions *actions);
/** Merge the state that another agent has sent of a flow that both have owned:
    the sequences of its observations continue after those that the other agent
    has sent to the caller.  */
void
rgy_request_engine_merge_sequences (struct rgy_request_engine *engine,
                                    struct rgy_flow *flow,
                                    const struct rgy_handover_state *state);
/** End the observations of a flow that has moved to another agent at the
    backend server; the caller is not notified.  */
void rgy_request_engine_end_observations (struct rgy_request_engine *engine,
                                          struct rgy_flow *flow,
                                          struct rgy_actions *actions);

#endif
