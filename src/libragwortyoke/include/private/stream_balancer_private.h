#ifndef RAGWORTYOKE_PRIVATE_STREAM_BALANCER_PRIVATE_H
#define RAGWORTYOKE_PRIVATE_STREAM_BALANCER_PRIVATE_H

/**
 * @file
 * State of the balancer core for sequenced flows, and functions shared by its
 * source files: stream_balancer.c (configuration and state of agents),
 * stream_balancer_open.c (new flows), stream_balancer_lookup.c (lookups of
 * flows that this balancer has not cached), stream_balancer_place.c (choice of
 * the agent for a new flow), stream_balancer_load.c (load of agents),
 * stream_balancer_query.c (queries to agents), stream_balancer_packet.c
 * (cached flows, segments and messages), stream_balancer_member.c (agents and
 * other balancers), stream_balancer_keep.c (open flows of the own failure
 * domain), stream_balancer_terms.c (terms of routes),
 * stream_balancer_manifest.c (choice of the active manifest).
 */

#include <glib.h>
#include <inttypes.h>

#include "private/domain_view.h"
#include "private/stream_traffic.h"
#include "ragwortyoke/placement.h"
#include "ragwortyoke/stream_balancer.h"

/* Time since the last report up to which an agent counts as alive.  Agents of
   the own failure domain report every 400 ms, and three reports may be
   lost.  */
#define AGENT_ALIVE_US INT64_C (1500000)
/* Time since the last report after which an agent's machine is declared
   dead.  */
#define AGENT_DEAD_US INT64_C (2000000)
/* The same for agents of other failure domains, which report every 800 ms:
   both allow a silence of 1.6 s after the time at which a report was due.  */
#define DISTANT_AGENT_ALIVE_US INT64_C (1900000)
#define DISTANT_AGENT_DEAD_US INT64_C (2400000)
/* Time since the last report of an agent of another failure domain after which
   the next one is requested: one interval and the time that a loaded machine
   may take.  */
#define REPORT_OVERDUE_US INT64_C (1000000)
/* Interval of requests for an overdue report, so that several may be lost
   before the agent is declared dead.  */
#define REPORT_REQUEST_INTERVAL_US INT64_C (200000)
/* Interval of requests for reports of an agent that the store's list does not
   name.  Agents report every 300 ms for 5 s after each.  */
#define UNLISTED_REQUEST_INTERVAL_US INT64_C (2000000)
/* Interval at which the agents are checked for overdue reports.  */
#define REPORT_CHECK_INTERVAL_US INT64_C (100000)
/* Interval at which an agent that sends full reports without news is told the
   balancer's features again.  */
#define FEATURES_INTERVAL_US INT64_C (2000000)
/* Time after which an agent is declared dead that has announced its restart.
   The users' machines are back within a few seconds.  */
#define AGENT_RESTART_US INT64_C (6000000)
/* Time since the last report after which an agent is removed.  */
#define AGENT_EXPIRE_US INT64_C (30000000)
/* Agents that reported within this time count when the balancer decides
   whether it is partitioned.  Others are removed from the store's list.  */
#define PARTITION_WINDOW_US INT64_C (8000000)
/* Time after the start until a balancer assumes that it knows all agents, when
   a peer that knows them has listed them: the list and the agents' reports
   arrive within a few round trips.  */
#define SETTLE_WITH_PEER_US INT64_C (300000)
/* Time after the start until a balancer assumes that it knows all agents, when
   the store has listed them.  The balancer waits for each listed agent
   besides; this time is for agents that started after the list was written.
   Such agents find the balancer through the store when they start, within a
   second of each other, or have been asked for reports every 300 ms.  */
#define SETTLE_WITH_STORE_US INT64_C (400000)
/* Time after which an agent that is listed in the store and has not reported
   counts as removed.  Agents report every 400 ms.  */
#define STORED_AGENT_DEAD_US INT64_C (1000000)
/* Time after the start until a balancer assumes that it knows all agents, when
   neither a peer nor the store has listed them.  Agents find the balancer
   through the store or repeat their reports to its address.  */
#define SETTLE_WITHOUT_LIST_US INT64_C (1000000)
/* Pause of the process after which the balancer no longer assumes that it
   knows all agents.  */
#define PROCESS_PAUSE_US INT64_C (700000)
/* A tick that is late by more than this was delayed by work, so the answers
   that agents sent meanwhile are not read yet.  */
#define LATE_TICK_US INT64_C (10000)
/* Interval of acknowledgements for reports that bring nothing new.  */
#define ACK_INTERVAL_US INT64_C (1000000)
/* Interval of status messages to the other balancers while this one does not
   know the manifest and all agents.  */
#define STATUS_INTERVAL_US INT64_C (500000)
/* Interval of status messages without news.  Changes are sent at once; the
   message after a lost one must arrive well within the 3 s in which a manifest
   must be in force.  */
#define QUIET_STATUS_INTERVAL_US INT64_C (1500000)
/* Time since the last status after which another balancer is removed.  */
#define PEER_EXPIRE_US INT64_C (60000000)
/* Time after which a new flow is offered to the next agent.  It covers the
   round trip between failure domains and a loaded machine.  */
#define OPEN_RETRY_US INT64_C (80000)
/* Time after which a new flow expires.  The caller repeats its first segment
   after 200 and 600 ms and gives up after 1.4 s.  */
#define OPEN_EXPIRE_US INT64_C (1300000)
/* Agents that refuse a new flow under overload before the flow is offered for
   the last time.  */
#define MAX_OVERLOADED_AGENTS 3
/* Times at which the caller's copies of the first segment are expected here,
   including some network delay.  */
#define FIRST_COPY_DUE_US INT64_C (190000)
#define SECOND_COPY_DUE_US INT64_C (590000)
/* Time for which a new flow waits for agents that are about to be ready.  */
#define OPEN_WAIT_US INT64_C (1000000)
/* Time for which a new flow waits for its own service while agents of that
   service may still recover.  Only then is it placed on another service of its
   route, where it stays.  */
#define OTHER_SERVICE_WAIT_US INT64_C (400000)
/* Stages of a lookup.  Each stage forwards the segment to more of the agents
   that do not know whether they own the flow.  */
#define STAGE_OWN_DOMAIN 0 /* Preferred agents of the own failure domain.  */
#define STAGE_PREFERRED 1  /* Preferred agents of other failure domains.  */
#define STAGE_ROUTE 2      /* All agents of the route's services.  */
#define STAGE_ALL 3        /* All agents.  */
/* Time in which a preferred agent answers a query or a probe; the next stage
   begins after it.  */
#define STAGE_TIMEOUT_US INT64_C (80000)
/* Time limit of one round of a lookup; long enough for several repetitions of
   a query, each of which may be lost.  */
#define LOOKUP_ROUND_US INT64_C (900000)
/* Minimum time between two queries to an agent; flows are collected in
   between.  After a power failure thousands of flows are looked up at once,
   and one message for each flow and agent would overload small balancers.  */
#define QUERY_INTERVAL_US INT64_C (5000)
/* Number of agents up to which a lookup queries all agents at once.  With more
   it saves messages to query the preferred ones first, which own nearly all
   flows.  */
#define QUERY_ALL_AGENTS 16
/* Minimum time between two queries of this balancer.  It prolongs
   QUERY_INTERVAL_US with many agents, so that at most 2,000 queries a second
   are sent: the processor of a balancer with an eighth of a core is needed for
   segments.  */
#define QUERY_AGENT_INTERVAL_US INT64_C (500)
/* Flows a second in the queries to all agents together.  At 12 bytes for the
   query and 13 for the answer this takes two fifths of a link of 10 Mbit/s,
   the slowest one in the users' deployments.  Lookups above the limit
   wait.  */
#define QUERIED_FLOWS_PER_S 20000
/* Flows that may be queried in one burst.  */
#define QUERIED_FLOWS_BURST 8000
/* Time after which an unanswered query is repeated.  The first interval is
   several round trips between failure domains plus the time for which queries
   are collected.  Later ones are longer because the agent may be dead or the
   limit of queries reached.  */
#define QUERY_REPEAT_US INT64_C (150000)
#define QUERY_REPEAT_LATER_US INT64_C (300000)
/* Time since its last status up to which another balancer counts as running
   when the writer of the store's list of agents is chosen.  */
#define LIST_WRITER_ALIVE_US INT64_C (5000000)
/* Time after which the next balancer in order writes the list if it still
   differs: the one before reads it every 3 s, and the change shows in the next
   read, which may be some seconds old.  */
#define LIST_WRITER_DELAY_US INT64_C (8000000)
/* Number of balancers that wait for each other.  */
#define MAX_LIST_WRITERS 3
/* Time for which a lookup is extended while an agent may still answer or be
   declared dead.  The shortest time limit of the users' requests is a little
   longer.  */
#define LOOKUP_MAX_US INT64_C (1500000)
/* Maximum number of agents that one new flow is offered to.  */
#define MAX_TRIED_AGENTS 16
/* Maximum number of segments that one lookup buffers.  */
#define MAX_BUFFERED_SEGMENTS 4
/* Maximum number of new flows being placed, and of lookups under way.  */
#define MAX_PENDING_FLOWS 4096

/** Age after which the load of an agent counts as unknown.  Agents report each
    notable change at once and repeat their load every 4 s; one of these
    reports may be lost.  */
#define LOAD_EXPIRE_US INT64_C (9000000)

/** Run time of the requests of one route at one backend server.  */
struct rgy_known_run
{
  struct rgy_endpoint address;
  uint32_t run_us;
};

/** Load of an agent's backend server as its last load report states it, and
    what this balancer has placed since.  */
struct rgy_known_load
{
  int64_t at_us; /**< Time of the report; 0 if none came.  */
  uint32_t run_us;
  uint32_t requests;
  uint32_t requests_per_s;
  uint32_t follow_ups_per_s;
  uint32_t failed_permille;
  size_t n_runs;
  struct rgy_known_run runs[RGY_STREAM_MAX_RUNS];
  double slowness;       /**< Run time relative to the median of the service's
                              backend servers, compared by route; 0 if none is
                              known.  */
  bool is_slow;          /**< Logged as slow.  */
  int64_t idle_since_us; /**< Time of the first report since which all state no
                              requests; 0 if the last one states any.  */
  uint32_t placed;       /**< New flows placed here since the report.  */
  int64_t confirmed_us;  /**< Time of the last report that states this load, or
                              by being brief that it has hardly changed.  */
  uint32_t placed_since_confirmed;
  double surge;     /**< Requests of these flows beyond what this balancer's
                         share of the backend server works off.  */
  int64_t surge_us; /**< Time at which @c surge was updated.  */
  double own_flows; /**< New flows that this balancer has placed here of
                         late, and those of all balancers.  */
  double all_flows;
};

/** Losses of an agent's backend server, after which it gets new flows
    gradually.  */
struct rgy_known_losses
{
  unsigned n; /**< Losses, each within a short time of the one before.  */
  bool is_lost;
  int64_t lost_us;
  int64_t returned_us;
};

/** An agent and its last report.  */
struct rgy_known_agent
{
  uint32_t ip;
  uint32_t tag;                      /**< rgy_service_tag() of its service; 0
                                          before its first report.  */
  uint64_t domain_hash;              /**< rgy_stream_hash_domain() of its
                                          failure domain.  */
  struct rgy_stream_report report;   /**< Last report, without its flow
                                          changes.  */
  enum rgy_backend_state last_state; /**< Last known state of the backend
                                          server other than
                                          RGY_BACKEND_UNKNOWN.  */
  int64_t last_seen_us;
  int64_t acked_us;        /**< Time of the last acknowledgement sent.  */
  int64_t acked_config_us; /**< Value of rgy_stream_balancer.config_changed_us
                                at the last acknowledgement.  */
  uint64_t changes_upto;
  uint32_t placed; /**< New flows placed on the agent since its last
                        report.  */
  struct rgy_known_load load;
  struct rgy_known_losses losses;
  GByteArray *queried;       /**< Ends of the flows in the next query.  */
  int64_t queried_us;        /**< Time of the last query sent.  */
  uint64_t fingerprint;      /**< rgy_stream_report_fingerprint() of the last
                                  report.  */
  bool distant;              /**< Belongs to another failure domain.  */
  bool listed;               /**< Named by the store's list when it was last
                                  read.  */
  int64_t requested_us;      /**< Time of the last request for a report.  */
  int64_t features_sent_us;  /**< Time of the last RGY_STREAM_FEATURES.  */
  bool from_store;           /**< Listed in the store and has not reported
                                  yet.  */
  int64_t excluded_until_us; /**< The agent refused a new flow and gets none
                                  until this time.  */
};

struct rgy_stream_peer
{
  uint32_t ip;
  int64_t last_seen_us;
  uint64_t balancers_hash; /**< Combined rgy_stream_hash_balancer() of the
                                balancers that the peer knows.  */
};

/** Confidence in the agent of a cached flow, ascending.  */
enum rgy_flow_certainty
{
  RGY_FLOW_PLACED,   /**< The first segment was forwarded to the agent.  */
  RGY_FLOW_ACCEPTED, /**< The backend server answered; another one may have
                          answered as well.  */
  RGY_FLOW_OPEN      /**< The caller has acknowledged the backend server's
                          answer.  */
};

/** Agent of a cached flow.  */
struct rgy_cached_flow
{
  uint32_t agent_ip;
  enum rgy_flow_certainty certainty;
  bool has_caller_seq; /**< This balancer placed the flow; others are known
                            from reports.  */
  uint32_t caller_seq; /**< Sequence number of the caller's first segment.  */
};

/** A new flow that no agent has accepted yet.  The key must be the first
    member.  */
struct rgy_pending_open
{
  struct rgy_flow_key key;
  uint8_t *raw;
  size_t raw_len;
  uint32_t caller_seq; /**< Sequence number of the first segment.  */
  int64_t began_us;
  int64_t sent_us;
  uint32_t current_ip; /**< Agent that the flow is offered to; 0 while it
                            waits.  */
  uint32_t copies;     /**< Highest number of a copy of the first segment that
                            reached this balancer.  */
  bool missed_first;   /**< The first segment reached another balancer or was
                            lost; this one got a copy.  */
  uint32_t tried[MAX_TRIED_AGENTS];
  size_t n_tried;
  unsigned n_overloaded; /**< Agents that refused the flow under overload.  */
  bool unanswered;    /**< An agent has not answered an offer, so that it may
                           have accepted the flow.  */
  bool is_last_offer; /**< The current offer is the last one.  */
};

struct rgy_lookup_candidate
{
  uint32_t ip;
  enum rgy_flow_ownership answer;
  bool answered;
  bool probing;   /**< A segment was forwarded to the agent to find out whether
                       it owns the flow.  */
  unsigned stage; /**< Stage from which on the agent is probed if it does not
                       know whether it owns the flow.  */
};

struct rgy_buffered_segment
{
  uint8_t *data;
  size_t len;
};

/** A lookup of the agent that owns a flow.  The key must be the first
    member.  */
struct rgy_lookup
{
  struct rgy_flow_key key;
  GArray *candidates;   /**< Entries are struct rgy_lookup_candidate.  */
  bool all_queried;     /**< All agents were queried, not only the preferred
                             ones.  */
  bool awaits_manifest; /**< The route is not known yet, because this balancer
                             has just started.  */
  bool awaits_settling; /**< All agents denied the flow, but the balancer may
                             not know all of them.  */
  int64_t began_us;
  int64_t queries_sent_us; /**< Time at which the lookup started or its
                                queries were last repeated.  */
  int64_t repeat_after_us; /**< Time from queries_sent_us to the next
                                repetition.  */
  unsigned stage;
  int64_t stage_since_us; /**< Time at which the stage began.  */
  int64_t deadline_us;
  uint32_t caller_ack;
  struct rgy_buffered_segment buffered[MAX_BUFFERED_SEGMENTS];
  size_t n_buffered;
};

/** Choice of an agent for a new flow.  */
struct rgy_agent_choice
{
  struct rgy_known_agent *agent; /**< NULL if none is left.  */
  struct rgy_placement placement;
};

struct rgy_stream_balancer
{
  struct rgy_stream_balancer_settings settings;
  struct rgy_stream_manifest *manifest;
  struct rgy_stream_manifest *previous_manifest; /**< Previous manifest; its
                                                      routes that the active
                                                      manifest lacks count as
                                                      removed.  */
  uint32_t manifest_epoch;  /**< Last epoch of the store in which the active
                                 manifest is known to stand; 0 if none.  */
  uint32_t read_epoch;      /**< Last epoch in which this balancer has read a
                                 manifest from the store itself.  */
  uint64_t highest_version; /**< Highest version that was active.  */
  struct
  {
    struct rgy_stream_manifest *manifest; /**< NULL if none waits.  */
    uint32_t epoch;
    int64_t apply_us; /**< Time at which it becomes active.  */
  } waiting; /**< Manifest that an operator has written after the return of the
                  store and that is older than the active one.  */
  struct rgy_domain_view view;
  struct rgy_domain_view_times view_times;
  struct rgy_flow_table *flows; /**< Sessions are struct rgy_cached_flow.  */
  GHashTable *agents;           /**< Address to struct rgy_known_agent,
                                     owned.  */
  GArray *peers;                /**< Entries are struct rgy_stream_peer.  */
  GHashTable *opens;            /**< Set of struct rgy_pending_open, owned.  */
  GHashTable *lookups;          /**< Set of struct rgy_lookup, owned.  */
  GArray *candidates;           /**< Entries are struct rgy_candidate, of the
                                     placement under way.  */
  GPtrArray *candidate_agents;  /**< The agents of these candidates.  */
  int64_t config_changed_us;    /**< Time of the last change of the
                                     manifest or the view.  */
  double query_tokens;          /**< Flows that may be queried now.  */
  int64_t tokens_updated_us;    /**< Time at which query_tokens was
                                     updated.  */
  int64_t last_tick_us;
  int64_t settling_since_us; /**< Time of the start, or of the end of the last
                                  pause of the process.  */
  int64_t list_differs_since_us; /**< Time since which the store's list of
                                      agents has differed from the known ones;
                                      0 if it does not.  */
  bool stored_agents_added;      /**< The agents listed in the store were
                                      added since settling_since_us.  */
  bool peer_listed_agents; /**< A peer that knows all agents has listed them
                                since settling_since_us.  */
  int64_t status_sent_us;
  int64_t reports_checked_us; /**< Time of the last check for overdue
                                   reports.  */
  bool stopping;
  struct rgy_flow_keeper *keeper; /**< NULL unless agents have chosen this
                                       balancer to keep their open flows.  */
  bool flows_loaded;              /**< The stored flows were read.  */
  int64_t flows_heard_us;         /**< Time of the last list of an agent.  */
  int64_t flows_saved_us; /**< Time of the last write, or at which the balancer
                               became the keeper.  */

  struct rgy_stream_traffic traffic;
  struct rgy_histogram *open_time;   /**< Time from a first segment until an
                                          agent accepts the flow.  */
  struct rgy_histogram *lookup_time; /**< Time from the start of a lookup until
                                          the owner is found.  */
  uint64_t *n_segments;
  uint64_t *n_opens;
  uint64_t *n_retries;
  uint64_t *n_last_offers;
  uint64_t *n_overload_resets;
  uint64_t *n_lookups;
  uint64_t *n_found;
  uint64_t *n_resets;
  uint64_t *n_no_route;
  uint64_t *n_dropped;
  uint64_t *n_bad_messages;
  uint64_t *n_unknown_agents;
  uint64_t *n_placed[RGY_PLACEMENT_REASON_COUNT];
  uint64_t *n_other_service; /**< New flows placed on another service of their
                                  route because the first one had no room.  */
  uint64_t *n_slow_agents;   /**< Agents whose backend server counts as
                                  slow.  */
  int64_t runs_compared_us;  /**< Time of the last comparison of run times.  */
  bool runs_changed;         /**< Run times were reported since.  */
};

/** Route of a flow in the active manifest, or NULL.  */
const struct rgy_route *
rgy_stream_balancer_find_route_ (const struct rgy_stream_balancer *b,
                                 const struct rgy_flow_key *key);

struct rgy_known_agent *
rgy_stream_balancer_find_agent_ (const struct rgy_stream_balancer *b,
                                 uint32_t ip);
/** True if the agent has reported within AGENT_ALIVE_US.  */
bool rgy_known_agent_is_alive_ (const struct rgy_known_agent *agent,
                                int64_t now_us);
/** True if the agent's backend server has ended, or the agent has not reported
    for so long that it is declared dead.  */
bool rgy_known_agent_is_dead_ (const struct rgy_known_agent *agent,
                               int64_t now_us);
/** True if most agents stopped reporting at about the same time, so that this
    balancer is probably partitioned from them.  */
bool rgy_stream_balancer_is_partitioned_ (const struct rgy_stream_balancer *b,
                                          int64_t now_us);
/** Activate the manifest that waits when that is due.  */
void
rgy_stream_balancer_apply_waiting_manifest_ (struct rgy_stream_balancer *b,
                                             int64_t now_us);
/** Compare the active manifest with that of another balancer.
    @param epoch  last epoch in which the other one is known to stand.
    @return true if the other one replaces the active one.  */
bool rgy_stream_balancer_check_peer_manifest_ (struct rgy_stream_balancer *b,
                                               uint32_t epoch,
                                               uint64_t version);
/** True if the balancer can be assumed to know all agents.  */
bool rgy_stream_balancer_is_settled_ (const struct rgy_stream_balancer *b,
                                      int64_t now_us);

/** Set @p preference to the agents of one service that a flow prefers.  */
void rgy_stream_balancer_get_preferred_ (const struct rgy_stream_balancer *b,
                                         const struct rgy_flow_key *key,
                                         uint32_t tag, int64_t now_us,
                                         struct rgy_preference *preference);

/** Send a control message to an agent or another balancer.  */
void
rgy_stream_balancer_send_message_ (struct rgy_stream_balancer *b, uint32_t ip,
                                   const struct rgy_stream_message *message);
void rgy_stream_balancer_send_status_ (struct rgy_stream_balancer *b,
                                       bool wants_reply, int64_t now_us);
/** Ask all agents for a report, so that they get the new view at once: the
    acknowledgement carries it.  */
void rgy_stream_balancer_request_reports_ (struct rgy_stream_balancer *b,
                                           int64_t now_us);
/** Request reports that are overdue, and those of agents that the store's list
    does not name.  */
void rgy_stream_balancer_request_due_reports_ (struct rgy_stream_balancer *b,
                                               int64_t now_us);
/** Remove agents and balancers that have not sent anything for long.  */
void rgy_stream_balancer_expire_members_ (struct rgy_stream_balancer *b,
                                          int64_t now_us);
void
rgy_stream_balancer_handle_report_ (struct rgy_stream_balancer *b,
                                    const struct rgy_stream_report *report,
                                    uint32_t ip, int64_t now_us);
void rgy_stream_balancer_handle_open_flows_ (
    struct rgy_stream_balancer *b, const struct rgy_stream_open_flows *flows,
    uint32_t ip, int64_t now_us);
/** Write the kept flows to the store when that is due.  */
void rgy_stream_balancer_save_flows_ (struct rgy_stream_balancer *b,
                                      int64_t now_us);
/** @return true if the report applies to the agent's last full one.  */
bool rgy_stream_balancer_handle_brief_report_ (
    struct rgy_stream_balancer *b,
    const struct rgy_stream_brief_report *report, uint32_t ip, int64_t now_us);
void
rgy_stream_balancer_handle_status_ (struct rgy_stream_balancer *b,
                                    const struct rgy_stream_status *status,
                                    uint32_t ip, int64_t now_us);

/** Answer an agent's query for the terms of routes from the active
    manifest.  */
void rgy_stream_balancer_answer_terms_query_ (struct rgy_stream_balancer *b,
                                              struct rgy_bytes routes,
                                              uint32_t ip);

/** Remove a flow from the cache.  */
void rgy_stream_balancer_uncache_flow_ (struct rgy_stream_balancer *b,
                                        struct rgy_flow *flow);
/** Cache the agent of a flow unless a more certain one is cached.  From
    RGY_FLOW_ACCEPTED on this also ends the placement and the lookup of the
    flow.  */
void rgy_stream_balancer_cache_flow_ (struct rgy_stream_balancer *b,
                                      const struct rgy_flow_key *key,
                                      uint32_t agent_ip,
                                      enum rgy_flow_certainty certainty,
                                      int64_t now_us);
/** Forward a first segment to an agent.
    @param mark  RGY_MARK_LAST_OFFER or RGY_MARK_NONE.  */
void rgy_stream_balancer_forward_first_segment_ (
    struct rgy_stream_balancer *b, const struct rgy_flow_key *key,
    struct rgy_bytes raw, uint32_t agent_ip, enum rgy_segment_mark mark);
/** Forward a segment to an agent.  */
void rgy_stream_balancer_forward_segment_ (struct rgy_stream_balancer *b,
                                           const struct rgy_flow_key *key,
                                           struct rgy_bytes raw,
                                           uint32_t agent_ip);

/** Process a first segment or a copy of it.  */
void rgy_stream_balancer_open_flow_ (struct rgy_stream_balancer *b,
                                     const struct rgy_segment *segment,
                                     int64_t now_us);
/** Choose the agent of one service that a new flow of a route is offered to,
    of those that were not tried.  */
struct rgy_agent_choice rgy_stream_balancer_choose_agent_of_service_ (
    struct rgy_stream_balancer *b, const struct rgy_pending_open *open,
    const struct rgy_route *route, uint32_t tag, int64_t now_us);
/** True if the flow was offered to the agent at @p ip.  */
bool rgy_pending_open_was_tried_ (const struct rgy_pending_open *open,
                                  uint32_t ip);
/** Choose the agent of the route's services with the least expected wait,
    also among those that the flow was offered to.  @return NULL if none
    accepts new flows.  */
struct rgy_known_agent *rgy_stream_balancer_choose_least_loaded_agent_ (
    struct rgy_stream_balancer *b, const struct rgy_pending_open *open,
    const struct rgy_route *route, int64_t now_us);
/** Take over the load that an agent reports.  */
void rgy_stream_balancer_handle_load_report_ (
    struct rgy_stream_balancer *b, const struct rgy_stream_load_report *report,
    uint32_t ip, int64_t now_us);
/** Count a new flow that is placed on an agent.  */
void rgy_stream_balancer_note_placed_ (const struct rgy_stream_balancer *b,
                                       struct rgy_known_agent *agent,
                                       int64_t now_us);
/** True if the agent's load is known and not too old.  */
bool rgy_known_agent_has_load_ (const struct rgy_known_agent *agent,
                                int64_t now_us);
/** Record that the agent's load is about as last reported.  */
void rgy_known_agent_confirm_load_ (struct rgy_known_agent *agent,
                                    int64_t now_us);
/** Requests expected to wait or run at the agent's backend server, those of
    the new flows of all balancers included.  */
double
rgy_stream_balancer_expect_requests_ (const struct rgy_stream_balancer *b,
                                      const struct rgy_known_agent *agent,
                                      int64_t now_us);
/** Compare the run times of the backend servers of each service, if some were
    reported and the last comparison was not just now.  */
void rgy_stream_balancer_compare_runs_ (struct rgy_stream_balancer *b,
                                        int64_t now_us);
/** Record a report's state of the backend server; must be called before the
    report replaces the last one.  */
void rgy_known_agent_note_state_ (struct rgy_known_agent *agent,
                                  const struct rgy_stream_report *report,
                                  int64_t now_us);
/** True if the agent's next report is overdue.  */
bool rgy_known_agent_is_silent_ (const struct rgy_known_agent *agent,
                                 int64_t now_us);
/** Slowness of a backend server for placement; nearer to 1 the longer it has
    had no requests.  0: unknown.  */
double rgy_known_load_get_slowness_ (const struct rgy_known_load *load,
                                     int64_t now_us);
/** Share of its usual flows that a backend server gets after losses, 0 to
    1.  */
double rgy_known_agent_get_trust_ (const struct rgy_known_agent *agent,
                                   int64_t now_us);

/** Offer new flows to the next agent if the current one has not answered in
    time.  */
void rgy_stream_balancer_retry_opens_ (struct rgy_stream_balancer *b,
                                       int64_t now_us);
/** Shift the timers of new flows by a delay in which this process could not
    read answers.  */
void rgy_stream_balancer_delay_open_timers_ (struct rgy_stream_balancer *b,
                                             int64_t late_us);
void rgy_stream_balancer_handle_accepted_ (struct rgy_stream_balancer *b,
                                           const struct rgy_flow_key *key,
                                           uint32_t ip, int64_t now_us);
void rgy_stream_balancer_handle_refused_ (struct rgy_stream_balancer *b,
                                          const struct rgy_flow_key *key,
                                          uint32_t ip,
                                          enum rgy_stream_refusal reason,
                                          int64_t now_us);

/** Start the lookup of a flow, or continue it with another segment.  @p
    returned_by_ip is the agent that returned the segment because it does not
    own the flow; 0 if none.  */
void rgy_stream_balancer_look_up_flow_ (struct rgy_stream_balancer *b,
                                        const struct rgy_segment *segment,
                                        uint32_t returned_by_ip,
                                        int64_t now_us);
/** Process an agent's answer to the query about a flow.  */
void rgy_stream_balancer_handle_answer_ (struct rgy_stream_balancer *b,
                                         const struct rgy_flow_key *key,
                                         uint32_t ip,
                                         enum rgy_flow_ownership ownership,
                                         int64_t now_us);
/** Remove the cached flows of an agent whose backend server has lost them.  */
void rgy_stream_balancer_uncache_agent_flows_ (struct rgy_stream_balancer *b,
                                               uint32_t ip);
/** Query an agent about a flow.  The query is sent at once, or a little later
    together with others.  The flow is left out if the limit of queried flows
    is reached; the lookup then repeats the query.  */
void rgy_stream_balancer_queue_query_ (struct rgy_stream_balancer *b,
                                       const struct rgy_flow_key *key,
                                       struct rgy_known_agent *agent,
                                       int64_t now_us);
/** Send the collected queries that are due.  */
void rgy_stream_balancer_send_queries_ (struct rgy_stream_balancer *b,
                                        int64_t now_us);
/** Shift the timers of lookups by a delay in which this process could not read
    answers.  */
void rgy_stream_balancer_delay_lookup_timers_ (struct rgy_stream_balancer *b,
                                               int64_t late_us);
/** Advance, repeat and end lookups as their timers require.  */
void rgy_stream_balancer_advance_lookups_ (struct rgy_stream_balancer *b,
                                           int64_t now_us);
/** End the lookup of a flow, if there is one, by forwarding the buffered
    segments to the agent that owns it.  */
void rgy_stream_balancer_complete_lookup_ (struct rgy_stream_balancer *b,
                                           const struct rgy_flow_key *key,
                                           uint32_t agent_ip, int64_t now_us);

#endif
