#ifndef FIXTURE_H
#define FIXTURE_H

/**
 * @file
 * Request engine of an agent; the messages that it sends to the backend server
 * and to callers are recorded.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "ragwortyoke/clock.h"
#include "ragwortyoke/request.h"

#define MS RGY_US_PER_MS
#define GET 1
#define POST 2
#define PUT 3
#define QUERY_OPTION 15
#define SLOTS 4
#define QUEUE 4

/** A datagram that the engine has sent, parsed.  */
struct message
{
  GByteArray *bytes;
  struct rgy_coap_view view;
  struct rgy_flow *flow; /**< Flow of a message to the caller.  */
  uint64_t flow_id;      /**< Flow of a message to the backend server.  */
};

struct agent
{
  struct rgy_request_engine *engine;
  struct rgy_counters *counters;
  struct rgy_actions *actions;
  GPtrArray *to_backend; /**< Recorded messages, struct message.  */
  GPtrArray *to_caller;  /**< Recorded messages, struct message.  */
  uint64_t epoch;
  int in_flight; /**< Number of requests begun and not ended, as the contract
                    counts them.  */
  int limit;     /**< Largest allowed value of @c in_flight.  */
};

struct agent *agent_new (uint64_t epoch, bool cold_start);
/** Delete an agent; the state of all its flows must have been released.  */
void agent_delete (struct agent *agent);
struct rgy_admission *agent_get_admission (struct agent *agent);
uint64_t agent_get_counter (struct agent *agent, const char *name);

/** Move the deliveries of the last event to @c to_backend.  */
void agent_collect_deliveries (struct agent *agent);
void agent_from_caller (struct agent *agent, struct rgy_flow *flow,
                        const GByteArray *datagram, int64_t now_us);
void agent_from_backend (struct agent *agent, struct rgy_flow *flow,
                         const GByteArray *datagram, int64_t now_us);
void agent_run_timers (struct agent *agent, int64_t now_us);

struct rgy_flow flow_make (uint64_t id);
/** Allocate a flow, to be freed with g_free().  */
struct rgy_flow *flow_new (uint64_t id);

/** Latest recorded message, which must exist.  */
const struct message *last_to_backend (const struct agent *agent);
const struct message *last_to_caller (const struct agent *agent);
void clear_messages (struct agent *agent);

/** Description of a request.  The text is sent as a query option, by which the
    backend server can identify the request.  */
struct request_spec
{
  enum rgy_coap_type type;
  uint8_t code;
  uint16_t message_id;
  const char *token;
  const char *text;
  struct rgy_bytes echo; /**< Echo value; empty: no option.  */
  int observe;           /**< Observe value; -1: no option.  */
  uint32_t deadline_ms;  /**< Deadline; 0: no option.  */
};
GByteArray *build_request (const struct request_spec *spec);

/** Return the query text of a delivered request, to be
    freed with g_free().  */
char *get_query_text (const struct rgy_coap_view *view);
/** Build the answer to a delivered request, with the request's text as
    payload.
    @param observe  Observe value; -1: no option.  */
GByteArray *build_answer (const struct rgy_coap_view *request,
                          enum rgy_coap_type type, uint16_t message_id,
                          uint8_t code, int observe);
bool payload_equals (const struct rgy_coap_view *view, const char *text);

/** Send a POST without Echo and return a copy of the Echo in the challenge
    that answers it.  */
GBytes *get_echo (struct agent *agent, struct rgy_flow *flow, int64_t now_us);
struct rgy_bytes echo_bytes (GBytes *echo);

#endif
