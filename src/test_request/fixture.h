#ifndef FIXTURE_H
#define FIXTURE_H

/**
 * @file
 * An agent's request engine with a recording backend server and a recording
 * caller.
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
  struct rgy_flow *flow; /**< To the caller.  */
  uint64_t flow_id;      /**< To the backend server.  */
};

struct agent
{
  struct rgy_request_engine *engine;
  struct rgy_counters *counters;
  struct rgy_actions *actions;
  GPtrArray *to_backend; /**< struct message.  */
  GPtrArray *to_caller;  /**< struct message.  */
  uint64_t epoch;
  int in_flight; /**< Calls of begin_request without end_request.  */
  int limit;     /**< Most in flight.  */
};

struct agent *agent_new (uint64_t epoch, bool cold_start);
/** Flows must have been forgotten.  */
void agent_delete (struct agent *agent);
struct rgy_admission *agent_admission (struct agent *agent);
uint64_t agent_counter (struct agent *agent, const char *name);

/** Move the deliveries of the last event to to_backend.  */
void agent_collect (struct agent *agent);
void agent_from_caller (struct agent *agent, struct rgy_flow *flow,
                        const GByteArray *datagram, int64_t now_us);
void agent_from_backend (struct agent *agent, struct rgy_flow *flow,
                         const GByteArray *datagram, int64_t now_us);
void agent_tick (struct agent *agent, int64_t now_us);

struct rgy_flow flow_make (uint64_t id);
/** To be freed with g_free().  */
struct rgy_flow *flow_new (uint64_t id);

/** Latest message, which must exist.  */
const struct message *last_to_backend (const struct agent *agent);
const struct message *last_to_caller (const struct agent *agent);
void forget_messages (struct agent *agent);

/** Request with the text as a query option, so that every one can be told
    apart at the backend server.  */
struct request_spec
{
  enum rgy_coap_type type;
  uint8_t code;
  uint16_t message_id;
  const char *token;
  const char *text;
  struct rgy_bytes echo; /**< Empty: none.  */
  int observe;           /**< -1: none.  */
  uint32_t deadline_ms;  /**< 0: none.  */
};
GByteArray *build_request (const struct request_spec *spec);

/** Query text of a delivered request, to be freed with g_free().  */
char *text_of (const struct rgy_coap_view *view);
/** Answer to a delivered request with its text as payload.
    @param observe  Observe value; -1: none.  */
GByteArray *build_answer (const struct rgy_coap_view *request,
                          enum rgy_coap_type type, uint16_t message_id,
                          uint8_t code, int observe);
bool payload_is (const struct rgy_coap_view *view, const char *text);

/** POST without Echo, the challenge for it, and a copy of the Echo.  */
GBytes *get_echo (struct agent *agent, struct rgy_flow *flow, int64_t now_us);
struct rgy_bytes echo_bytes (GBytes *echo);

#endif
