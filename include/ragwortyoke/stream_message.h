#ifndef RAGWORTYOKE_STREAM_MESSAGE_H
#define RAGWORTYOKE_STREAM_MESSAGE_H

/**
 * @file
 * Messages between balancers and agents that carry sequenced flows.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwortyoke/outcome.h"
#include "ragwortyoke/segment.h"
#include "ragwortyoke/str.h"

/** Most balancers in one list.  */
#define RGY_STREAM_MAX_BALANCERS 512
/** Most failure domains out of service in one view.  */
#define RGY_STREAM_MAX_DOMAINS 32
/** Most flow changes in one report; keeps it below one Ethernet frame.  */
#define RGY_STREAM_MAX_CHANGES 96
/** Most flows in one query or answer, for the same reason.  */
#define RGY_STREAM_MAX_QUERIED 96

/** Bytes of each balancer or agent in a list.  */
#define RGY_STREAM_IP_BYTES 4

/** Address at the start of @p in, host byte order.  */
uint32_t rgy_stream_get_ip (const uint8_t *in);

/** Part of one balancer in the hash of a set, which is the exclusive or of
    these, so that its order does not count.  */
uint64_t rgy_stream_hash_balancer (uint32_t ip);

/** Number for a failure domain, the same in every process.  */
uint64_t rgy_stream_hash_domain (const struct rgy_name *domain);

/** What an agent says of its backend server.  */
enum rgy_backend_state
{
  RGY_BACKEND_UNKNOWN,  /**< Not heard since the agent started.  */
  RGY_BACKEND_READY,    /**< Takes new flows.  */
  RGY_BACKEND_DRAINING, /**< Keeps its flows, takes no new ones.  */
  RGY_BACKEND_SILENT,   /**< Lost without a word; takes no new flow.  */
  RGY_BACKEND_GONE,     /**< Has ended; its flows are lost.  */
  RGY_BACKEND_STATE_COUNT
};

extern const char *const rgy_backend_state_string[];

/** Why an agent does not take a new flow.  */
enum rgy_stream_refusal
{
  RGY_REFUSED_SERVICE, /**< Another service lives here.  */
  RGY_REFUSED_STATE,   /**< The backend server is not ready.  */
  RGY_REFUSED_DOMAIN,  /**< The failure domain is out of service.  */
  RGY_REFUSED_COLD,    /**< The rate of a cold backend server is used up.  */
  RGY_REFUSED_FULL,    /**< The backend server did not take it.  */
  RGY_REFUSED_RESTARTING, /**< The agent is about to end.  */
  RGY_STREAM_REFUSAL_COUNT
};

extern const char *const rgy_stream_refusal_string[];

/** Answer to the question whether an agent holds a flow.  */
enum rgy_flow_held
{
  RGY_HELD_NO,
  RGY_HELD_YES,
  RGY_HELD_UNSURE, /**< The agent restarted and must try the backend server. */
  RGY_FLOW_HELD_COUNT
};

/** Failure domains that operators have taken out of service.  */
struct rgy_domain_view
{
  uint64_t revision; /**< Store revision that this view reflects.  */
  size_t n_out;
  struct rgy_name out[RGY_STREAM_MAX_DOMAINS];
};

bool rgy_domain_view_is_out (const struct rgy_domain_view *view,
                             const struct rgy_name *domain);

/** An agent's periodic report, also sent at each change.  */
struct rgy_stream_report
{
  uint64_t incarnation; /**< Random for each start of the agent.  */
  uint64_t seq;         /**< Grows with each report.  */
  struct rgy_name service;
  struct rgy_name domain;
  uint64_t backend_id; /**< Hash of the backend server's incarnation.  */
  enum rgy_backend_state state;
  bool restarting; /**< The agent ends and will be back; its flows live.  */
  bool complete;   /**< The agent knows all flows of its backend server.  */
  bool cold;
  uint32_t slots;
  uint32_t open_flows;
  uint32_t latency_us;      /**< Mean time to the first answer; 0 if none.  */
  uint64_t balancers_hash;  /**< Of those it knows: see
                                 rgy_stream_hash_balancer().  */
  uint64_t changes_from;    /**< Number of the first change below.  */
  struct rgy_bytes changes; /**< Flow ends and a byte, 1 opened, 0 closed.  */
};

/** Bytes of one flow change.  */
#define RGY_FLOW_CHANGE_BYTES (RGY_FLOW_ENDS_BYTES + 1)

/** Bytes of the answer to the query for one flow: its ends and a byte with an
    enum rgy_flow_held.  */
#define RGY_FLOW_ANSWER_BYTES (RGY_FLOW_ENDS_BYTES + 1)

/** Balancer's answer to a report.  */
struct rgy_stream_report_ack
{
  uint64_t balancer_incarnation;
  uint64_t balancer_domain; /**< By rgy_stream_hash_domain().  */
  uint64_t agent_incarnation;
  uint64_t seq;
  uint64_t changes_upto; /**< Number after the last change applied.  */
  struct rgy_domain_view view;
  uint32_t cold_rate_milli; /**< New flows a second for a cold backend server
                                 of the service, in thousandths; 0 when none
                                 is stated.  */
  uint32_t idle_timeout_ms; /**< Flows idle for longer may be lost; 0 when none
                                 is stated.  */
  struct rgy_bytes balancers; /**< Empty when they are the same.  */
};

/** Bytes of one agent in a status: its address and a byte with the last state
    of its backend server that was known, and this flag.  */
#define RGY_STREAM_AGENT_BYTES (RGY_STREAM_IP_BYTES + 1)
/** The agent has announced that it restarts.  */
#define RGY_STREAM_AGENT_RESTARTING 0x80

/** State that balancers tell each other.  */
struct rgy_stream_status
{
  uint64_t incarnation;
  uint64_t manifest_version;
  bool wants_reply; /**< Sent by a starting balancer.  */
  bool settled;     /**< The sender knows all agents.  */
  struct rgy_domain_view view;
  uint64_t balancers_hash;    /**< Of those the sender knows, itself included:
                                   see rgy_stream_hash_balancer().  */
  struct rgy_bytes balancers; /**< Empty for a receiver that knows the same. */
  struct rgy_bytes agents;    /**< Only in replies; records of
                                   RGY_STREAM_AGENT_BYTES.  */
};

enum rgy_stream_message_kind
{
  RGY_STREAM_REPORT,
  RGY_STREAM_REPORT_ACK,
  RGY_STREAM_STATUS,
  RGY_STREAM_HELLO,   /**< A balancer asks an agent to report.  */
  RGY_STREAM_TAKEN,   /**< The backend server answered a first segment.  */
  RGY_STREAM_REFUSED, /**< It did not get a first segment.  */
  RGY_STREAM_QUERY,   /**< Does the agent hold these flows?  */
  RGY_STREAM_ANSWER,
  RGY_STREAM_MESSAGE_KIND_COUNT
};

/** A message; borrowed ranges point into the buffer that was decoded.  */
struct rgy_stream_message
{
  enum rgy_stream_message_kind kind;
  union
  {
    struct rgy_stream_report report;
    struct rgy_stream_report_ack ack;
    struct rgy_stream_status status;
    struct
    {
      struct rgy_flow_key key;
      enum rgy_stream_refusal reason; /**< REFUSED only.  */
    } flow;                           /**< TAKEN and REFUSED.  */
    struct rgy_bytes queried;         /**< QUERY: the ends of each flow.  */
    struct rgy_bytes answers;         /**< ANSWER: records of
                                           RGY_FLOW_ANSWER_BYTES.  */
  } u;
};

/** Append the encoded message to @p out.  */
void rgy_stream_message_encode (const struct rgy_stream_message *message,
                                GByteArray *out);

/**
 * Decode one message.  It and the ranges in it are valid as long as
 * @p bytes are.
 *
 * @return RGY_OK, RGY_ERR_INVALID (malformed) or RGY_ERR_UNSUPPORTED (unknown
 *         kind).
 */
enum rgy_outcome
rgy_stream_message_decode (struct rgy_bytes bytes,
                           struct rgy_stream_message *message);

#endif
