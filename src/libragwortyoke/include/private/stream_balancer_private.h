#ifndef RAGWORTYOKE_PRIVATE_STREAM_BALANCER_PRIVATE_H
#define RAGWORTYOKE_PRIVATE_STREAM_BALANCER_PRIVATE_H

/**
 * @file
 * State of the balancer core for sequenced flows and functions shared by its
 * files: stream_balancer.c (configuration), stream_balancer_open.c (new
 * flows), stream_balancer_lookup.c (flows that moved),
 * stream_balancer_query.c (its messages to agents), stream_balancer_member.c
 * (agents and other balancers).
 */

#include <glib.h>

#include "ragwortyoke/placement.h"
#include "ragwortyoke/stream_balancer.h"

/* Agents report every 400 ms; three may be lost on the way.  */
#define AGENT_HEARD_US INT64_C (1500000)
/* Silent for this long, an agent's machine is taken for lost.  */
#define AGENT_LOST_US INT64_C (2000000)
/* A restart that the agent has announced: the users' machines are back within
   a few seconds.  */
#define AGENT_RESTART_US INT64_C (6000000)
#define AGENT_FORGET_US INT64_C (30000000)
#define CUT_OFF_MEMORY_US INT64_C (8000000)
/* A starting balancer gets the list of agents from a peer that knows them, and
   then their reports, within a few round trips.  */
#define SETTLE_WITH_PEER_US INT64_C (300000)
/* With the list of agents from the store it waits for each of them; the time
   is for agents that started after it was written: they find this balancer
   through the store when they start, within a second of each other.  */
#define SETTLE_WITH_STORE_US INT64_C (400000)
/* One that the store names and that does not report for this long, while
   agents report every 400 ms, was taken away.  */
#define NAMED_LOST_US INT64_C (1000000)
/* Without such a peer it waits for the reports of agents that find it through
   the store or repeat them to its address.  */
#define SETTLE_ALONE_US INT64_C (1000000)
#define STALL_US INT64_C (700000)
/* A tick that comes later than this was delayed by work: the answers that
   agents have sent meanwhile are not read yet.  */
#define LATE_US INT64_C (10000)
#define ACK_INTERVAL_US INT64_C (1000000)
#define STATUS_INTERVAL_US INT64_C (500000)
#define PEER_FORGET_US INT64_C (60000000)
/* Two ways between failure domains and a loaded machine.  */
#define OPEN_RETRY_US INT64_C (80000)
/* The caller repeats its first segment after 200 and 600 ms and gives up after
   1.4 s.  */
#define OPEN_GIVE_UP_US INT64_C (1300000)
/* When the caller's copies are due here, with some delay on the way.  */
#define FIRST_COPY_US INT64_C (190000)
#define SECOND_COPY_US INT64_C (590000)
/* A new flow waits this long for agents that are about to be ready.  */
#define OPEN_WAIT_US INT64_C (1000000)
/* A new flow goes to another service of its route only after this time, while
   agents of its own may still come back: it would stay there.  */
#define SPILL_WAIT_US INT64_C (400000)
/* An agent that answered nothing is passed over for this long after
   FAILURES_TO_EXCLUDE failures in a row.  */
#define EXCLUDE_US INT64_C (1000000)
#define FAILURES_TO_EXCLUDE 2
/* Unsure agents are tried in this order.  */
#define WAVE_OWN_DOMAIN 0 /* Preferred ones of the own failure domain.  */
#define WAVE_PREFERRED 1  /* Preferred ones of other failure domains.  */
#define WAVE_ROUTE 2      /* All of the route's services.  */
#define WAVE_OTHERS 3     /* All.  */
/* A preferred agent answers a query or a probe within this time; then the
   search widens.  */
#define WAVE_US INT64_C (80000)
/* Several repetitions of a query, of which each may be lost.  */
#define LOOKUP_US INT64_C (900000)
/* Queries to one agent are collected for this long after the one before:
   after a loss of power thousands of flows are searched at once, and a message
   for each flow and agent would overload small balancers.  */
#define QUERY_INTERVAL_US INT64_C (40000)
/* With many agents for longer, so that at most 2,000 queries a second are
   sent: the processor of a balancer with an eighth of a core is for segments.
 */
#define QUERY_COST_US INT64_C (500)
/* Flows that all agents together are asked about in a second, 12 bytes each
   and 13 for the answer: two fifths of a link of 10 Mbit/s, the narrowest of
   the users' deployments.  Searches above wait.  */
#define QUERIED_PER_S 20000
/* Most of them at once.  */
#define QUERIED_BURST 8000
/* A query without an answer is repeated: several times the way between failure
   domains, plus the time for which queries are collected; then less often, as
   the agent may be lost or the balancer short of queries.  */
#define QUERY_REPEAT_US INT64_C (150000)
#define QUERY_REPEAT_LATER_US INT64_C (300000)
/* A search is extended for this long while an agent may yet answer or turn out
   to be lost; the shortest time limit of the users' requests is a little
   longer.  */
#define LOOKUP_PATIENCE_US INT64_C (1500000)
#define MAX_TRIED 16
#define MAX_HELD 4
#define MAX_PENDING 4096

/** An agent and what it said last.  */
struct rgy_known_agent
{
  uint32_t ip;
  uint32_t tag;                      /**< Of its service.  */
  uint64_t domain_hash;              /**< By rgy_stream_hash_domain().  */
  struct rgy_stream_report report;   /**< Without changes.  */
  enum rgy_backend_state last_state; /**< Last one that was not unknown.  */
  int64_t heard_us;
  int64_t acked_us;        /**< Last acknowledgement.  */
  int64_t acked_change_us; /**< rgy_stream_balancer.changed_us it told.  */
  uint64_t changes_upto;
  uint32_t placed;     /**< New flows placed since the last report.  */
  GByteArray *queried; /**< Ends of flows in the next query.  */
  int64_t queried_us;  /**< Last query.  */
  bool named;          /**< By the store, and has not reported.  */
  unsigned failures;
  int64_t excluded_until_us;
};

struct rgy_stream_peer
{
  uint32_t ip;
  int64_t heard_us;
  uint64_t balancers_hash; /**< Of those it knows.  */
};

/** How a balancer knows where a flow is; more certain ones come later.  */
enum rgy_flow_certainty
{
  RGY_FLOW_CHOSEN, /**< Its first segment was sent there.  */
  RGY_FLOW_TAKEN,  /**< The backend server answered; so may another one.  */
  RGY_FLOW_OPEN    /**< The caller has acknowledged that answer.  */
};

/** Where a cached flow is.  */
struct rgy_cached_flow
{
  uint32_t agent_ip;
  enum rgy_flow_certainty certainty;
};

/** A new flow that no agent has taken yet.  The key comes first.  */
struct rgy_pending_open
{
  struct rgy_flow_key key;
  uint8_t *raw;
  size_t raw_len;
  int64_t began_us;
  int64_t sent_us;
  uint32_t current_ip; /**< Agent that has it; 0: waits.  */
  uint32_t copies;     /**< Copies of the first segment seen here.  */
  bool began_late;     /**< The first segment itself was not seen here.  */
  uint32_t tried[MAX_TRIED];
  size_t n_tried;
};

struct rgy_asked_agent
{
  uint32_t ip;
  enum rgy_flow_held answer;
  bool answered;
  bool probing;  /**< A segment was sent there to find out.  */
  unsigned wave; /**< When it is tried if it is unsure.  */
};

struct rgy_held_segment
{
  uint8_t *data;
  size_t len;
};

/** A search for the agent of a flow.  The key comes first.  */
struct rgy_lookup
{
  struct rgy_flow_key key;
  GArray *asked;  /**< struct rgy_asked_agent.  */
  bool asked_all; /**< Not only the preferred agents.  */
  bool unsettled; /**< All said no; the balancer may not know all agents. */
  int64_t began_us;
  int64_t asked_us;  /**< Start, or last repetition of its queries.  */
  int64_t repeat_us; /**< Time from there to the next one.  */
  unsigned wave;
  int64_t wave_us; /**< When it began.  */
  int64_t deadline_us;
  uint32_t caller_ack;
  struct rgy_held_segment held[MAX_HELD];
  size_t n_held;
};

struct rgy_stream_balancer
{
  struct rgy_stream_balancer_settings settings;
  struct rgy_stream_manifest *manifest;
  struct rgy_stream_manifest *previous; /**< To know dropped routes.  */
  struct rgy_domain_view view;
  struct rgy_flow_table *flows; /**< Sessions are struct rgy_cached_flow.  */
  GHashTable *agents;           /**< IP to struct rgy_known_agent, owned.  */
  GArray *peers;                /**< struct rgy_stream_peer.  */
  GHashTable *opens;            /**< Set of struct rgy_pending_open.  */
  GHashTable *lookups;          /**< Set of struct rgy_lookup.  */
  int64_t changed_us;           /**< Last change of manifest or view.  */
  double query_tokens;          /**< Flows that may be asked about now.  */
  int64_t tokens_us;            /**< When they were counted.  */
  int64_t ticked_us;
  int64_t unsettled_us; /**< Start, or end of the last pause.  */
  bool named;           /**< The store has named the agents since.  */
  bool informed; /**< A peer that knows all agents has named them since.  */
  int64_t status_us;
  bool stopping;

  struct rgy_histogram *open_time;   /**< Until a new flow is taken.  */
  struct rgy_histogram *lookup_time; /**< Until a searched flow is found.  */
  uint64_t *n_segments;
  uint64_t *n_opens;
  uint64_t *n_retries;
  uint64_t *n_lookups;
  uint64_t *n_found;
  uint64_t *n_resets;
  uint64_t *n_no_route;
  uint64_t *n_dropped;
  uint64_t *n_bad_messages;
  uint64_t *n_foreign;
};

/** Route of the manifest in force for a flow, or NULL.  */
const struct rgy_route *
rgy_stream_balancer_find_route_ (const struct rgy_stream_balancer *b,
                                 const struct rgy_flow_key *key);

/* Agents.  */
struct rgy_known_agent *
rgy_stream_balancer_find_agent_ (const struct rgy_stream_balancer *b,
                                 uint32_t ip);
bool rgy_known_agent_is_heard_ (const struct rgy_known_agent *agent,
                                int64_t now_us);
bool rgy_known_agent_is_lost_ (const struct rgy_known_agent *agent,
                               int64_t now_us);
bool rgy_stream_balancer_is_cut_off_ (const struct rgy_stream_balancer *b,
                                      int64_t now_us);
bool rgy_stream_balancer_is_settled_ (const struct rgy_stream_balancer *b,
                                      int64_t now_us);

/** The agents of one service that a flow prefers.  */
void rgy_stream_balancer_prefer_ (const struct rgy_stream_balancer *b,
                                  const struct rgy_flow_key *key, uint32_t tag,
                                  int64_t now_us,
                                  struct rgy_preference *preference);

/* Members.  */
void rgy_stream_balancer_send_status_ (struct rgy_stream_balancer *b,
                                       bool wants_reply, int64_t now_us);
void rgy_stream_balancer_greet_agents_ (struct rgy_stream_balancer *b,
                                        int64_t now_us);
void rgy_stream_balancer_expire_members_ (struct rgy_stream_balancer *b,
                                          int64_t now_us);
void rgy_stream_balancer_from_report_ (struct rgy_stream_balancer *b,
                                       const struct rgy_stream_report *report,
                                       uint32_t ip, int64_t now_us);
void rgy_stream_balancer_from_status_ (struct rgy_stream_balancer *b,
                                       const struct rgy_stream_status *status,
                                       uint32_t ip, int64_t now_us);

/* Cached flows.  */
void rgy_stream_balancer_forget_ (struct rgy_stream_balancer *b,
                                  struct rgy_flow *flow);
/** Note where a flow is, unless something more certain is known, and serve
    whoever waits for it.  */
void rgy_stream_balancer_learn_ (struct rgy_stream_balancer *b,
                                 const struct rgy_flow_key *key,
                                 uint32_t agent_ip,
                                 enum rgy_flow_certainty certainty,
                                 int64_t now_us);
void rgy_stream_balancer_send_ (struct rgy_stream_balancer *b,
                                const struct rgy_flow_key *key,
                                struct rgy_bytes raw, uint32_t agent_ip);

/* New flows.  */
void rgy_stream_balancer_open_ (struct rgy_stream_balancer *b,
                                const struct rgy_segment *segment,
                                int64_t now_us);
void rgy_stream_balancer_retry_opens_ (struct rgy_stream_balancer *b,
                                       int64_t now_us);
/** Do not count time in which this process could not read answers.  */
void rgy_stream_balancer_excuse_opens_ (struct rgy_stream_balancer *b,
                                        int64_t late_us);
void rgy_stream_balancer_taken_ (struct rgy_stream_balancer *b,
                                 const struct rgy_flow_key *key, uint32_t ip,
                                 int64_t now_us);
void rgy_stream_balancer_refused_ (struct rgy_stream_balancer *b,
                                   const struct rgy_flow_key *key, uint32_t ip,
                                   enum rgy_stream_refusal reason,
                                   int64_t now_us);

/* Searches.  */
void rgy_stream_balancer_look_up_ (struct rgy_stream_balancer *b,
                                   const struct rgy_segment *segment,
                                   uint32_t missed_ip, int64_t now_us);
void rgy_stream_balancer_answered_ (struct rgy_stream_balancer *b,
                                    const struct rgy_flow_key *key,
                                    uint32_t ip, enum rgy_flow_held held,
                                    int64_t now_us);
/** Forget all flows of an agent whose backend server has lost them.  */
void rgy_stream_balancer_forget_agent_ (struct rgy_stream_balancer *b,
                                        uint32_t ip);
/** Ask an agent about a flow: at once, together with others a little later, or
    not at all when too many were asked about; such a query is repeated.  */
void rgy_stream_balancer_query_ (struct rgy_stream_balancer *b,
                                 const struct rgy_flow_key *key,
                                 struct rgy_known_agent *agent,
                                 int64_t now_us);
/** Send the queries that are due.  */
void rgy_stream_balancer_send_queries_ (struct rgy_stream_balancer *b,
                                        int64_t now_us);
/** Do not count time in which this process could not read answers.  */
void rgy_stream_balancer_excuse_lookups_ (struct rgy_stream_balancer *b,
                                          int64_t late_us);
/** Widen, repeat and end searches.  */
void rgy_stream_balancer_step_lookups_ (struct rgy_stream_balancer *b,
                                        int64_t now_us);
/** Deliver what a search holds to the agent that has the flow.  */
void rgy_stream_balancer_found_ (struct rgy_stream_balancer *b,
                                 const struct rgy_flow_key *key,
                                 uint32_t agent_ip, int64_t now_us);

#endif
