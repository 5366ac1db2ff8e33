#ifndef RAGWORTYOKE_STREAM_MESSAGE_H
#define RAGWORTYOKE_STREAM_MESSAGE_H

/**
 * @file
 * Messages between the balancers and agents that forward sequenced flows.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwortyoke/outcome.h"
#include "ragwortyoke/segment.h"
#include "ragwortyoke/store_position.h"
#include "ragwortyoke/str.h"
#include "ragwortyoke/stream_manifest.h"

/** Maximum number of balancers in one list.  */
#define RGY_STREAM_MAX_BALANCERS 512
/** Maximum number of agents in one list.  */
#define RGY_STREAM_MAX_AGENTS 8192
/** Maximum number of failure domains out of service in one view.  */
#define RGY_STREAM_MAX_DOMAINS 32
/** Maximum number of flow changes in one report; it keeps the message within
    one Ethernet frame.  */
#define RGY_STREAM_MAX_CHANGES 96
/** Maximum number of flows in one query or answer; it keeps the message within
    one Ethernet frame.  */
#define RGY_STREAM_MAX_QUERIED 96

/** Bytes of each balancer's or agent's address in a list.  */
#define RGY_STREAM_IP_BYTES 4

/** Decode the address at @p in, RGY_STREAM_IP_BYTES long, to host byte
    order.  */
uint32_t rgy_stream_decode_ip (const uint8_t *in);

/** Hash of one balancer.  The hash of a set of balancers is the exclusive or
    of these hashes, so that their order does not matter.  */
uint64_t rgy_stream_hash_balancer (uint32_t ip);

/** Hash of a failure domain's name; it is the same in every process.  */
uint64_t rgy_stream_hash_domain (const struct rgy_name *domain);

/** State of the backend server in an agent's report.  */
enum rgy_backend_state
{
  RGY_BACKEND_UNKNOWN,  /**< No heartbeat received since the agent started.  */
  RGY_BACKEND_READY,    /**< The backend server accepts new flows.  */
  RGY_BACKEND_DRAINING, /**< The backend server keeps its flows and accepts no
                             new ones.  */
  RGY_BACKEND_UNRESPONSIVE, /**< The backend server sends no heartbeats or
                                 answers no first segments, and has not
                                 deregistered; it gets no new flows.  */
  RGY_BACKEND_ENDED, /**< The backend server's process has ended; its flows
                          are lost.  */
  RGY_BACKEND_STATE_COUNT
};

extern const char *const rgy_backend_state_string[];

/** Reason why an agent refuses a new flow.  */
enum rgy_stream_refusal
{
  RGY_REFUSED_SERVICE, /**< The agent's backend server belongs to another
                            service.  */
  RGY_REFUSED_STATE,   /**< The backend server is not ready.  */
  RGY_REFUSED_DOMAIN,  /**< The failure domain is out of service.  */
  RGY_REFUSED_COLD,    /**< The rate of new flows during the warm-up is used
                            up.  */
  RGY_REFUSED_FULL,    /**< The backend server refused the flow, or the agent's
                            flow table is full.  */
  RGY_REFUSED_RESTARTING, /**< The agent's process is about to end.  */
  RGY_REFUSED_OVERLOAD,   /**< Requests of the same or a higher priority keep
                               the backend server busy for too long.  Sent only
                               to balancers that state
                               RGY_STREAM_DECODES_LOAD.  */
  RGY_STREAM_REFUSAL_COUNT
};

extern const char *const rgy_stream_refusal_string[];

/** Answer of an agent to the query whether it owns a flow.  */
enum rgy_flow_ownership
{
  RGY_FLOW_NOT_OWNED,
  RGY_FLOW_OWNED,
  RGY_FLOW_OWNERSHIP_UNKNOWN, /**< The agent restarted and must forward a
                                   segment to the backend server to find
                                   out.  */
  RGY_FLOW_OWNERSHIP_COUNT
};

/** Failure domains that operators have taken out of service.  */
struct rgy_domain_view
{
  uint32_t epoch; /**< Epoch and revision of the store at which the view was
                       read.  */
  uint64_t revision;
  bool settled; /**< Operators have had the time to write again what a return
                     of the store to this epoch has lost.  */
  size_t n_out;
  size_t n_kept; /**< Number of names at the end of @c out that the store does
                      not list in this epoch and that are kept until the view
                      is settled.  */
  struct rgy_name out[RGY_STREAM_MAX_DOMAINS];
};

struct rgy_store_position
rgy_domain_view_get_position (const struct rgy_domain_view *view);
bool rgy_domain_view_is_out (const struct rgy_domain_view *view,
                             const struct rgy_name *domain);
/** True if both views name the same failure domains, in any order.  */
bool rgy_domain_view_has_same_names (const struct rgy_domain_view *a,
                                     const struct rgy_domain_view *b);

/** An agent's report on its backend server; sent periodically and at each
    change.  */
struct rgy_stream_report
{
  uint64_t incarnation; /**< Random number drawn at each start of the
                             agent.  */
  uint64_t seq;         /**< Number of the report; increases with each report
                             of an incarnation.  */
  struct rgy_name service;
  struct rgy_name domain;
  uint64_t backend_id; /**< Hash of the backend server's name and start
                            time.  */
  enum rgy_backend_state state;
  bool restarting; /**< The agent's process ends and is expected to restart;
                        the backend server keeps its flows.  */
  bool complete;   /**< The agent knows all flows of its backend server, so
                        that it does not own any other flow.  */
  /** The backend server is in its warm-up.  */
  bool cold;
  /** Number of requests that the backend server processes concurrently.  */
  uint32_t slots;
  uint32_t open_flows;
  uint32_t latency_us;      /**< Mean time from a request to its first answer;
                                 0 if none was measured.  */
  uint64_t balancers_hash;  /**< Combined rgy_stream_hash_balancer() of the
                                 balancers that the agent knows.  */
  uint64_t changes_from;    /**< Number of the first entry in @c changes.  */
  struct rgy_bytes changes; /**< Entries of RGY_FLOW_CHANGE_BYTES: the ends of
                                 a flow and a byte, 1 for opened and 0 for
                                 closed.  */
};

/** Hash of what a brief report does not carry: all of a report but its number,
    the load and the flow changes.  It is the same in every process.  */
uint64_t
rgy_stream_report_fingerprint (const struct rgy_stream_report *report);

/** A report in which only the load has changed.  */
struct rgy_stream_brief_report
{
  uint64_t seq; /**< Number of the report, counted with the full ones.  */
  uint64_t fingerprint; /**< rgy_stream_report_fingerprint() of the last full
                             report; the receiver requests a full one if it
                             has another one.  */
  uint32_t open_flows;
  uint32_t latency_us;
};

/** Bytes of a route's address: address and port.  */
#define RGY_ROUTE_ADDRESS_BYTES 6

/** Load of a backend server and of the requests that wait for it; sent in
   place of a brief report.  */
struct rgy_stream_load_report
{
  struct rgy_stream_brief_report brief;
  uint32_t run_us;   /**< Mean time for which a request occupies a slot; 0 if
                          none was measured.  */
  uint32_t requests; /**< Requests that wait or run.  */
  uint32_t wait_us;  /**< Time for which a request of the lowest priority that
                          arrives now is expected to wait for a slot.  */
  uint32_t requests_per_s;   /**< Requests that arrived in the last second.  */
  uint32_t follow_ups_per_s; /**< Of these, requests that were not the first
                                  ones of their flows.  */
  uint32_t failed_permille;  /**< Share of the requests of late that the
                                  backend server reset or did not answer, in
                                  thousandths.  */
  struct rgy_bytes runs;     /**< Entries of RGY_ROUTE_RUN_BYTES; empty if they
                                  are about as last sent.  */
};

/** Bytes of a route's mean run time at one backend server: the route's address
    and the time in microseconds in 4 bytes.  */
#define RGY_ROUTE_RUN_BYTES (RGY_ROUTE_ADDRESS_BYTES + 4)
/** Maximum number of routes whose run times an agent measures.  */
#define RGY_STREAM_MAX_RUNS 4

/** Bytes of a route in RGY_STREAM_TERMS: its address, a byte each with the
    priority and the bits of enum rgy_terms_flag, and latency goal and time
    limit in milliseconds in 4 bytes each.  */
#define RGY_ROUTE_TERMS_BYTES (RGY_ROUTE_ADDRESS_BYTES + 10)
/** Maximum number of routes in one query or answer; it keeps the message
   within one Ethernet frame.  */
#define RGY_STREAM_MAX_TERMS 64

enum rgy_terms_flag
{
  RGY_TERMS_KNOWN = 1 << 0,     /**< The manifest has the route.  */
  RGY_TERMS_REPEATABLE = 1 << 1 /**< struct rgy_request_terms.repeatable.  */
};

/** Terms of some routes in a balancer's manifest.  */
struct rgy_stream_terms
{
  uint64_t manifest_version;
  struct rgy_bytes routes; /**< Entries of RGY_ROUTE_TERMS_BYTES.  */
};

/** Write the address of a route, RGY_ROUTE_ADDRESS_BYTES long, to @p out.  */
void rgy_route_address_encode (struct rgy_endpoint address, uint8_t *out);
struct rgy_endpoint rgy_route_address_decode (const uint8_t *in);

/** Write the terms of a route, RGY_ROUTE_TERMS_BYTES long, to @p out.
    @param terms  NULL if the manifest lacks the route.  */
void rgy_route_terms_encode (struct rgy_endpoint address,
                             const struct rgy_request_terms *terms,
                             uint8_t *out);
/** Read the terms of a route from RGY_ROUTE_TERMS_BYTES at @p in.
    @return false if the manifest lacks the route.  */
bool rgy_route_terms_decode (const uint8_t *in, struct rgy_endpoint *address,
                             struct rgy_request_terms *terms);

/** Messages besides those of the first version that a balancer decodes.  */
#define RGY_STREAM_DECODES_BRIEF_REPORTS 1U
#define RGY_STREAM_KEEPS_OPEN_FLOWS 2U
#define RGY_STREAM_STATES_TERMS 4U
#define RGY_STREAM_DECODES_LOAD 8U

struct rgy_stream_features
{
  uint64_t balancer_incarnation;
  uint32_t flags; /**< RGY_STREAM_DECODES_BRIEF_REPORTS and others.  */
};

/** Open flows of one backend server.  */
struct rgy_stream_open_flows
{
  uint64_t agent_incarnation; /**< Of the agent that sends the list, or that
                                   receives the reply.  */
  uint64_t backend_id; /**< As in struct rgy_stream_report, 0 before the first
                            heartbeat; in the reply that of the backend server
                            which had the flows.  */
  uint32_t max_flows;  /**< Flows that the agent may list, stated in the
                            reply.  */
  struct rgy_bytes flows; /**< Entries of RGY_OPEN_FLOW_BYTES.  */
};

/** Bytes of one open flow: its ends and the number that the caller has
    acknowledged last.  */
#define RGY_OPEN_FLOW_BYTES (RGY_FLOW_ENDPOINTS_BYTES + 4)
/** Maximum number of flows in one list; it keeps the message within one
    Ethernet frame.  */
#define RGY_STREAM_MAX_OPEN_FLOWS 72

/** Bytes of one flow change in a report.  */
#define RGY_FLOW_CHANGE_BYTES (RGY_FLOW_ENDPOINTS_BYTES + 1)

/** Bytes of one flow in the answer to a query: the ends of the flow and a byte
    with an enum rgy_flow_ownership.  */
#define RGY_FLOW_ANSWER_BYTES (RGY_FLOW_ENDPOINTS_BYTES + 1)

/** A balancer's acknowledgement of a report.  */
struct rgy_stream_report_ack
{
  uint64_t balancer_incarnation;
  uint64_t balancer_domain; /**< rgy_stream_hash_domain() of the balancer's
                                 failure domain.  */
  uint64_t agent_incarnation;
  uint64_t seq;
  uint64_t changes_upto; /**< Number that follows the last flow change
                              applied.  */
  struct rgy_domain_view view;
  uint32_t cold_rate_milli; /**< New flows a second for a backend server of the
                                 service during its warm-up, in thousandths; 0
                                 if none is stated.  */
  uint32_t idle_timeout_ms; /**< Time after which idle flows may be lost; 0 if
                                 none is stated.  */
  struct rgy_bytes balancers; /**< Addresses of all balancers; empty if the
                                   agent knows the same ones.  */
};

/** Bytes of one agent in a status: its address and a byte that holds the last
    known state of its backend server and RGY_STREAM_AGENT_RESTARTING.  */
#define RGY_STREAM_AGENT_BYTES (RGY_STREAM_IP_BYTES + 1)
/** Flag of an agent that has announced its restart.  */
#define RGY_STREAM_AGENT_RESTARTING 0x80

/** State that balancers exchange.  */
struct rgy_stream_status
{
  uint64_t incarnation;
  uint64_t manifest_version;
  uint32_t manifest_epoch; /**< Last epoch of the store in which the manifest
                                is known to stand; 0 if none.  */
  bool wants_reply; /**< The receiver must answer with its own status; sent by
                         a starting balancer.  */
  bool settled;     /**< The sender knows all agents.  */
  struct rgy_domain_view view;
  uint64_t balancers_hash;    /**< Combined rgy_stream_hash_balancer() of the
                                   balancers that the sender knows, itself
                                   included.  */
  struct rgy_bytes balancers; /**< Addresses of all balancers; empty if the
                                   receiver knows the same ones.  */
  struct rgy_bytes agents;    /**< Entries of RGY_STREAM_AGENT_BYTES; only in
                                   replies.  */
};

enum rgy_stream_message_kind
{
  RGY_STREAM_REPORT,
  RGY_STREAM_REPORT_ACK,
  RGY_STREAM_STATUS,
  RGY_STREAM_REPORT_REQUEST, /**< A balancer asks an agent to send a report. */
  RGY_STREAM_ACCEPTED, /**< The backend server answered the first segment of
                            a flow.  */
  RGY_STREAM_REFUSED,  /**< The agent refused a new flow.  */
  RGY_STREAM_QUERY,    /**< A balancer asks which of these flows the agent
                            owns.  */
  RGY_STREAM_ANSWER,
  RGY_STREAM_BRIEF_REPORT,
  RGY_STREAM_FEATURES,   /**< A balancer tells an agent which messages it
                              decodes.  Earlier versions ignore it.  */
  RGY_STREAM_OPEN_FLOWS, /**< An agent's open flows, to the balancer that keeps
                              those of its failure domain.  */
  RGY_STREAM_FORMER_FLOWS, /**< The reply: the open flows that the agent
                                before this one has listed.  */
  RGY_STREAM_LOAD_REPORT,
  RGY_STREAM_TERMS_QUERY, /**< An agent asks a balancer for the terms of
                               routes.  */
  RGY_STREAM_TERMS,       /**< The answer.  */
  RGY_STREAM_MESSAGE_KIND_COUNT
};

extern const char *const rgy_stream_message_kind_string[];

/** A decoded message.  Its byte ranges point into the buffer that was
    decoded.  */
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
      enum rgy_stream_refusal reason; /**< Set for RGY_STREAM_REFUSED only.  */
    } flow;                           /**< Set for RGY_STREAM_ACCEPTED and
                                           RGY_STREAM_REFUSED.  */
    struct rgy_bytes queried;         /**< Set for RGY_STREAM_QUERY: the ends
                                           of each flow.  */
    struct rgy_bytes answers;         /**< Set for RGY_STREAM_ANSWER: entries
                                           of RGY_FLOW_ANSWER_BYTES.  */
    struct rgy_stream_brief_report brief;
    struct rgy_stream_features features;
    struct rgy_stream_open_flows open_flows; /**< Set for
                                                  RGY_STREAM_OPEN_FLOWS and
                                                  RGY_STREAM_FORMER_FLOWS.  */
    struct rgy_stream_load_report load;
    struct rgy_bytes queried_routes; /**< Set for RGY_STREAM_TERMS_QUERY:
                                          entries of
                                          RGY_ROUTE_ADDRESS_BYTES.  */
    struct rgy_stream_terms terms;
  } u;
};

/** Append the encoded message to @p out.  */
void rgy_stream_message_encode (const struct rgy_stream_message *message,
                                GByteArray *out);

/**
 * Decode one message.  The result is valid as long as the memory of @p bytes.
 *
 * @return RGY_OK, RGY_ERR_INVALID (malformed) or RGY_ERR_UNSUPPORTED (unknown
 *         kind).
 */
enum rgy_outcome
rgy_stream_message_decode (struct rgy_bytes bytes,
                           struct rgy_stream_message *message);

#endif
