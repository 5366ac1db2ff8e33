#ifndef RAGWORTYOKE_PRIVATE_STREAM_AGENT_PRIVATE_H
#define RAGWORTYOKE_PRIVATE_STREAM_AGENT_PRIVATE_H

/**
 * @file
 * State of the agent core for sequenced flows, and functions shared by its
 * source files: stream_agent.c (set-up and timers), stream_agent_flow.c
 * (segments), stream_agent_queue.c (requests that wait for a slot of the
 * backend server), stream_agent_backend.c (state of the backend server),
 * stream_agent_report.c (reports and control messages), stream_agent_former.c
 * (flows that the agent before has listed), stream_agent_terms.c (terms of
 * routes), stream_agent_load.c (speed of the backend server and load reports).
 */

#include <glib.h>

#include "private/domain_view.h"
#include "private/request_queue.h"
#include "private/route_terms.h"
#include "private/stream_traffic.h"
#include "ragwortyoke/clock.h"
#include "ragwortyoke/stream_agent.h"

/* Interval of reports to balancers of the own failure domain, and to others
   that need news.  A balancer misses four of them before it declares the agent
   dead.  */
#define REPORT_INTERVAL_US (400 * RGY_US_PER_MS)
/* Interval of reports without news to balancers of other failure domains,
   which place few flows here.  They request a report that is overdue.  */
#define DISTANT_REPORT_INTERVAL_US (800 * RGY_US_PER_MS)
/* Interval of reports to balancers that may not know this agent after a
   restart.  They assume 400 ms after their start that all agents have
   reported.  */
#define PROMPT_REPORT_INTERVAL_US (300 * RGY_US_PER_MS)
/* Time since its request for a report for which a balancer gets reports at
   PROMPT_REPORT_INTERVAL_US.  Balancers request one every 2 s of an agent that
   the store's list does not name: when all balancers restart, such an agent
   must report to them before they assume that they know all agents.  */
#define REQUESTED_US (5 * RGY_US_PER_S)
/* Time for which all balancers get reports at PROMPT_REPORT_INTERVAL_US after
   half of those in the own failure domain have restarted: others have probably
   restarted too and may not know this agent.  */
#define MASS_RESTART_US (3 * RGY_US_PER_S)
/* Time without contact after which a balancer of the own failure domain, or of
   another one, may soon declare this agent dead and reset its flows: 100 ms
   less than the balancers' 2 and 2.4 s.  */
#define CONTACT_LOST_US (1900 * RGY_US_PER_MS)
#define DISTANT_CONTACT_LOST_US (2300 * RGY_US_PER_MS)
/* Reports to a balancer whose times are kept; an acknowledgement arrives
   before as many more are sent.  */
#define SENT_REPORTS 4
/* Time since the last acknowledgement after which one is overdue.  Balancers
   acknowledge at least every second report to them.  */
#define ACK_OVERDUE_US (2 * RGY_US_PER_S)
/* Interval of the lists of open flows to the balancer that keeps them.  A flow
   is in the store about half of this time and of the keeper's interval after
   its opening.  */
#define OPEN_FLOWS_INTERVAL_US (3 * RGY_US_PER_S)
/* Time after its start in which an agent uses its former flows.  Later their
   callers may use the same ports for other flows.  */
#define FORMER_FLOWS_US (10 * RGY_US_PER_S)
/* Change of the number of open flows that is news: this many flows, and this
   part of the number last reported.  */
#define LOAD_NEWS_FLOWS 4
#define LOAD_NEWS_DIVISOR 4
/* A balancer that has not acknowledged a report for BALANCER_SLOW_US gets
   reports at BALANCER_SLOW_INTERVAL_US, and is removed after
   BALANCER_EXPIRE_US.  */
#define BALANCER_SLOW_US (10 * RGY_US_PER_S)
#define BALANCER_SLOW_INTERVAL_US (2 * RGY_US_PER_S)
#define BALANCER_EXPIRE_US (120 * RGY_US_PER_S)
/* Time since the last acknowledgement up to which a balancer counts as
   reachable.  Balancers acknowledge at least once a second.  */
#define BALANCER_ALIVE_US (2500 * RGY_US_PER_MS)
/* Time for which a balancer that has left a query for terms unanswered is
   queried only if all others have done so too.  A balancer that was behind has
   the manifest after it: a change must be in force within 5 s.  */
#define TERMS_AVOIDED_US (5 * RGY_US_PER_S)
/* Time in which the backend server returns a probe segment of a flow that it
   does not serve.  It does so within a millisecond; the margin covers a loaded
   machine.  */
#define PROBE_RETURN_US (30 * RGY_US_PER_MS)
/* Time after which a probe expires because the backend server has sent nothing
   at all.  */
#define PROBE_EXPIRE_US (2 * RGY_US_PER_S)
/* Time for which a bounced segment proves that the agent does not own the
   flow.  */
#define NOT_OWNED_EXPIRE_US (5 * RGY_US_PER_S)
/* Time for which a closed flow is kept, so that late segments of its ends
   still pass.  */
#define CLOSED_EXPIRE_US (4 * RGY_US_PER_S)
/* Time after which an unanswered first segment expires.  */
#define OPENING_EXPIRE_US (5 * RGY_US_PER_S)
/* Number of unanswered first segments in a row after which the backend server
   counts as unresponsive.  */
#define UNRESPONSIVE_OPENINGS 4
/* Time after which a first segment counts as unanswered.  */
#define OPENING_ANSWER_US (250 * RGY_US_PER_MS)
/* Heartbeat intervals, in tenths, without a heartbeat after which the backend
   server gets no new flows, and after which its flows are reset.  The second
   limit is longer because a wrong reset breaks a flow.  */
#define UNRESPONSIVE_HEARTBEATS_X10 25
#define RESET_HEARTBEATS_X10 33
/* Minimum time between two checks whether the backend server's process runs;
   longer than a check may take.  */
#define CHECK_INTERVAL_US (500 * RGY_US_PER_MS)
/* Time after the agent's start until the first check.  A backend server that
   starts together with the agent listens by then.  */
#define FIRST_CHECK_US (300 * RGY_US_PER_MS)
/* Time by which the backend server may start before the agent when the machine
   starts both.  A process that has ended is started again later than this, so
   that no flow can have passed through it meanwhile.  */
#define START_TOGETHER_US (100 * RGY_US_PER_MS)
/* Heartbeat intervals, in tenths, without a heartbeat after which the backend
   server's process is checked.  A heartbeat that is late by less is still on
   its way.  */
#define CHECK_HEARTBEATS_X10 14
/* Time for which a packet of the backend server counts like a heartbeat.  */
#define PACKET_ALIVE_US (1500 * RGY_US_PER_MS)
/* Time from the deregistration to the reset of the flows.  The backend server
   ends right after it has deregistered.  */
#define DEREGISTERED_RESET_US (300 * RGY_US_PER_MS)
/* Window in which the new flows of a cold backend server are counted.  The
   users count them in any second; the rest of the window covers the delay from
   the agent to the backend server.  */
#define COLD_WINDOW_US (1050 * RGY_US_PER_MS)
/* Size of the ring with the times of new flows at a cold backend server.  */
#define COLD_RING_SIZE 256
/* Pause of the agent's process after which queued first segments are too old
   to be delivered.  */
#define PROCESS_PAUSE_US (700 * RGY_US_PER_MS)
/* Minimum time between two passes over all flows; limits their processor
   time.  */
#define SWEEP_INTERVAL_US (40 * RGY_US_PER_MS)
/* Margin added to the idle timeout before the agent assumes that flows unseen
   since its start are lost.  */
#define IDLE_MARGIN_US (2 * RGY_US_PER_S)
/* Maximum number of flow changes that are kept for lagging balancers of one
   failure domain.  */
#define MAX_JOURNAL_CHANGES 8192
/* Requests that the backend server may have beyond its slots, so that no slot
   is idle until the agent has read the answer.  */
#define QUEUED_AT_BACKEND 1
/* Maximum number of segments that are held for one waiting request; a caller
   has at most this many unacknowledged.  */
#define MAX_HELD_SEGMENTS 16
/* Maximum number of bytes held for all waiting requests; a thirtieth of the
   memory of the smallest machines.  Further requests are handed over if their
   route has no known time limit, and left to their callers' repetition if it
   has one.  */
#define MAX_HELD_BYTES 2500000
/* Multiple of its latency goal after which a waiting request is handed over
   even if no slot is free: the backend server then runs or rejects it while
   the caller still has time to repeat it elsewhere.  */
#define MAX_WAIT_GOALS 4
/* Time reserved for a run when its latest start is computed, in tenths of the
   mean run time; run times vary.  */
#define RUN_MARGIN_X10 15
/* Time after which a request that the backend server has got no longer counts
   against its slots.  With a known time limit that limit counts if it is
   longer: single runs of a slow backend server take more than a second, and
   callers end their flows at the limit.  */
#define RUN_EXPIRE_US RGY_US_PER_S
/* Time for which a flow's first request is expected after the flow was
   accepted; covers a lost segment and its repetition.  */
#define EXPECTED_REQUEST_US (500 * RGY_US_PER_MS)
/* Time for which the end of the handshake is held for the first request, which
   callers send with it.  */
#define HANDSHAKE_HOLD_US (100 * RGY_US_PER_MS)
/* Age of a flow whose first segment arrived as the first or the second
   copy.  */
#define FIRST_COPY_AGE_US (200 * RGY_US_PER_MS)
#define SECOND_COPY_AGE_US (600 * RGY_US_PER_MS)
/* Weight of the newest latency in the moving average, as a divisor.  */
#define LATENCY_SMOOTHING 8

enum rgy_agent_flow_state
{
  FLOW_OPENING,  /* The first segment is delivered and not answered yet.  */
  FLOW_ANSWERED, /* The backend server answered; its first sequence number is
                    known.  */
  FLOW_OPEN,
  FLOW_PROBING,   /* One segment is delivered to find out whether the backend
                     server serves the flow.  */
  FLOW_NOT_OWNED, /* The agent does not own the flow.  */
  FLOW_CLOSED     /* Both ends have finished, or one has reset the flow.  */
};

/* State of the request of a flow at the backend server.  */
enum rgy_request_state
{
  REQUEST_NONE,
  REQUEST_WAITING, /* Waits for a slot.  */
  REQUEST_RUNNING, /* Handed to the backend server.  */
  REQUEST_EXPIRED  /* Was not started within the caller's time limit.  Its
                      segments are dropped: the backend server must not run
                      it.  */
};

/* The agent's state of a flow.  */
struct rgy_agent_stream
{
  enum rgy_agent_flow_state state;
  uint32_t backend_seq;     /* Sequence number of the backend server's first
                               segment.  */
  uint64_t informed_domain; /* rgy_stream_hash_domain() of the failure
                               domain whose balancers were notified of the
                               flow.  */
  uint32_t caller_ack;      /* Last number that the caller acknowledged.  */
  uint32_t backend_ack;     /* Last number that the backend server
                               acknowledged.  */
  uint32_t balancer_ip;
  unsigned generation; /* Value of rgy_stream_agent.generation when the backend
                          server opened or last used the flow.  */
  bool caller_sent_fin;
  bool backend_sent_fin;
  /* Counted in n_open and reported to the balancers as open.  */
  bool reported_open;
  bool backend_confirmed; /* The backend server has sent a segment on the
                             flow.  */
  bool restored;          /* Known from the list of the agent before.  */
  bool has_caller_seq;    /* The first segment passed this process.  */
  uint32_t caller_seq;    /* Sequence number of the caller's first segment.  */
  int64_t state_since_us;
  int64_t request_us; /* Time of the caller's payload that awaits an answer; 0
                         if none.  While the flow opens, the time at which it
                         counted as unanswered.  */
  enum rgy_request_state request_state;
  int64_t running_since_us;
  int64_t goal_us;  /* Latency goal of the request; 0 if none.  */
  int64_t limit_us; /* Time limit of the request's caller; 0 if unknown.  */
  struct rgy_request_class class;
  struct rgy_waiting_request waiting;
  /* The flow was accepted with a time limit and its first request has not
     arrived; counted in the queue's predictions.  */
  bool is_expected;
  GList expected_link;
  /* The first segment passed this process and the backend server has not got
     the end of the handshake, so that it does not hold the flow.  */
  bool unopened;
  /* The flow was reset before it opened at the backend server.  */
  bool rejected;
  int64_t age_us; /* Time that the first request of the flow had waited at
                     least when the flow opened.  */
  int64_t round_trip_us; /* Time from the backend server's first answer to the
                            caller's next segment.  */
  int64_t slot_since_us; /* Time at which the request got a slot of the
                            backend server, if it was handed over before one
                            was free.  */
  int64_t failed_run_us; /* Value of running_since_us of the last request that
                            counted as failed.  */
  bool has_requested;    /* A request came on the flow.  */
  GPtrArray *held;       /* Segments of the waiting request, or NULL.  */
  uint32_t held_end; /* Sequence number that follows the segment held last.  */
  GList running_link;
};

/* Flow changes for the balancers of one failure domain.  The routers send a
   flow to another failure domain only if its own one has no balancer.  */
struct rgy_flow_journal
{
  uint64_t domain;     /* rgy_stream_hash_domain() of the failure domain.  */
  GByteArray *changes; /* Entries of RGY_FLOW_CHANGE_BYTES; the first one has
                          the number in @c from.  */
  uint64_t from;
};

/* Time that one of LOAD_BUCKETS covers; all of them cover a second.  */
#define LOAD_BUCKET_US (250 * RGY_US_PER_MS)
#define LOAD_BUCKETS 4

/* Requests in a quarter of a second.  */
struct rgy_load_bucket
{
  uint32_t arrived;
  uint32_t follow_ups; /* Of these not the first ones of their flows.  */
  uint32_t answered;
  uint32_t failed; /* Reset by the backend server, or not answered in
                      time.  */
};

/* Measured run time of the requests of one route.  */
struct rgy_route_run
{
  struct rgy_endpoint address;
  int64_t mean_us;
  int64_t announced_us; /* Mean at the last change of runs_version.  */
  uint32_t runs;
  uint32_t recent_runs; /* Since the last pause; the mean before it counts as
                           one run.  */
  int64_t used_us;
};

/* Measurements of the backend server.  */
struct rgy_agent_load
{
  unsigned generation; /* Value of rgy_stream_agent.generation.  */
  struct rgy_load_bucket buckets[LOAD_BUCKETS];
  unsigned bucket;
  int64_t bucket_since_us;
  int64_t run_us; /* Mean time for which a request occupies a slot.  */
  int64_t last_answer_us;
  struct rgy_route_run routes[RGY_STREAM_MAX_RUNS]; /* Without runs while the
                                                       server is cold.  */
  unsigned runs_version; /* Changes with each notable change of @c routes.  */
  unsigned failed_in_a_row; /* Failed requests since the last answer.  */
  bool is_failing;
  int64_t failing_until_us; /* 0 if the backend server has not failed.  */
  int64_t failing_for_us;
};

/* A report that was sent to a balancer.  */
struct rgy_sent_report
{
  uint64_t seq;
  int64_t sent_us;
};

struct rgy_agent_balancer
{
  uint32_t ip;
  uint64_t incarnation;
  uint64_t domain; /* rgy_stream_hash_domain() of the balancer's failure
                      domain; 0 if not known yet.  */
  int64_t added_us;
  int64_t last_ack_us; /* Time of the last acknowledgement; 0 if none.  */
  int64_t sent_us;
  struct rgy_sent_report sent[SENT_REPORTS]; /* The last ones.  */
  unsigned sent_next;
  int64_t contact_us;   /* Time at which the newest report was sent that the
                           balancer has certainly received; 0 if none.  */
  int64_t gap_us;       /* End of the last time without contact for longer than
                           CONTACT_LOST_US; 0 if none.  */
  int64_t requested_us; /* Time of its last request for a report; 0 if
                           none.  */
  int64_t restarted_us; /* Time at which its last restart was seen; 0 if
                           none.  */
  uint64_t features_incarnation; /* Incarnation that has stated its
                                    features; 0 if none.  */
  uint32_t features;             /* RGY_STREAM_DECODES_BRIEF_REPORTS and
                                    others.  */
  uint64_t sent_fingerprint;     /* Fingerprint of the last full report sent; 0
                                    if the next one must be full.  */
  uint32_t sent_flows;           /* Open flows in the last report sent.  */
  struct rgy_stream_load_report sent_load; /* Last load report sent, without
                                              its run times.  */
  int64_t load_sent_us; /* Time of the last load report; 0 if the balancer
                           has none.  */
  int64_t runs_sent_us; /* Time of the last run times.  */
  unsigned sent_runs_version; /* Value of rgy_agent_load.runs_version then.  */
  uint64_t changes_acked; /* Number that follows the last flow change that the
                             balancer has acknowledged.  */
  bool synced; /* All flows were sent to the balancer since its start.  */
  int64_t terms_asked_us;   /* Time of the last query for terms.  */
  int64_t terms_pending_us; /* Time of the first query for terms that awaits
                               an answer; 0 if none.  */
  bool terms_overdue;       /* The answer is overdue.  */
};

struct rgy_stream_agent
{
  struct rgy_stream_agent_settings settings;
  uint32_t service_tag;
  uint64_t domain_hash; /* rgy_stream_hash_domain() of the own failure
                           domain.  */
  struct rgy_flow_table *flows;
  uint32_t n_open;
  GArray *balancers; /* Entries are struct rgy_agent_balancer.  */
  uint64_t seq;
  bool has_near_balancer; /* A balancer of the own failure domain acknowledges
                             reports.  */
  int64_t open_flows_sent_us; /* Time of the last list of open flows.  */
  uint32_t max_open_flows;    /* Flows that the list may have.  */
  uint64_t former_backend_id; /* Backend server that had the flows in the
                                 keeper's reply; 0 if none came yet.  */
  int64_t prompt_until_us;    /* Time until which all balancers get reports at
                                 PROMPT_REPORT_INTERVAL_US.  */

  GPtrArray *journals; /* Entries are struct rgy_flow_journal, owned.  */
  struct rgy_route_terms *terms;
  uint32_t forwarder_ip; /* Balancer that forwarded the last segment whose
                            route was looked up.  */

  struct rgy_name backend;
  int64_t backend_started_ms;
  uint64_t backend_seq;
  enum rgy_backend_state state;
  /* Number of backend server starts seen.  */
  unsigned generation;
  bool complete;
  bool deregistered; /* The backend server has deregistered.  */
  bool stopping;
  uint32_t slots;
  int64_t started_us;
  int64_t heartbeat_us;      /* Time of the last heartbeat; 0 if none.  */
  int64_t backend_packet_us; /* Time of the last packet from the backend
                                server.  */
  int64_t cold_until_us;
  /* Time of the deregistration; 0 if none, or once the flows were reset.  */
  int64_t deregistered_us;
  int64_t last_check_us; /* Time of the last check of the backend server's
                            process; 0 if none.  */
  int64_t cold_opened_us[COLD_RING_SIZE];
  unsigned cold_next;
  /* Unanswered first segments in a row.  */
  unsigned unanswered_openings;
  int64_t last_tick_us;
  /* The last tick came after a pause of the process.  */
  bool was_paused;
  uint32_t latency_us;
  struct rgy_request_queue *waiting; /* Owners are struct rgy_flow.  */
  GQueue running;  /* Requests at the backend server; entries are struct
                      rgy_flow.  */
  GQueue expected; /* Flows whose first request is expected; entries are struct
                      rgy_flow.  */
  size_t held_bytes;
  struct rgy_run_time run_time; /* From the hand-over of a request to its
                                   answer.  */
  struct rgy_agent_load load;

  struct rgy_domain_view view;
  struct rgy_domain_view_times view_times;
  uint32_t cold_rate_milli;
  int64_t last_sweep_us;
  int64_t idle_timeout_us; /* Longest idle timeout that a balancer has sent; 0
                              if none.  */

  struct rgy_stream_traffic traffic;
  struct rgy_histogram *answer_time;
  struct rgy_histogram *wait_time; /* Time for which a request waited for a
                                      slot.  */
  uint64_t *n_late;            /* Requests that missed their latest start.  */
  uint64_t *n_handed_over;     /* Requests handed over without a free slot.  */
  uint64_t *n_expired_reset;   /* Requests that expired on flows that were not
                                  open at the backend server.  */
  uint64_t *n_expired_dropped; /* Requests that expired on open flows.  */
  struct rgy_histogram *expired_wait; /* Time for which they had waited.  */
  struct rgy_histogram *refused_wait; /* Predicted wait of refused flows.  */
  uint64_t *n_unanswered;     /* Requests that the backend server had for too
                                 long.  */
  uint64_t *n_requests_reset; /* Requests that the backend server reset.  */
  uint64_t *n_opened;
  uint64_t *n_refused[RGY_STREAM_REFUSAL_COUNT];
  uint64_t *n_returned;
  uint64_t *n_resets;
  uint64_t *n_former_reset;
  uint64_t *n_former_restored;
  uint64_t *n_probes;
  uint64_t *n_stale_heartbeats;
  uint64_t *n_terms_unstated;
  uint64_t *n_terms_full;
  uint64_t *n_terms_unanswered;
  uint64_t *n_terms_answers[RGY_TERMS_EFFECT_COUNT];
  uint64_t *n_bad_messages;
};

/** Send a control message to the balancer at @p ip.  */
void rgy_stream_agent_send_message_ (struct rgy_stream_agent *agent,
                                     uint32_t ip,
                                     const struct rgy_stream_message *message);
void rgy_stream_agent_report_to_all_ (struct rgy_stream_agent *agent,
                                      int64_t now_us);
/** Record that a flow was opened or closed, for the balancers of a failure
    domain.  */
void rgy_stream_agent_record_change_ (struct rgy_stream_agent *agent,
                                      const struct rgy_flow_key *key,
                                      uint64_t domain, bool opened);
/** Hash of a balancer's failure domain, or of the agent's own failure domain
    if the balancer's is not known.  */
uint64_t
rgy_stream_agent_get_balancer_domain_ (const struct rgy_stream_agent *agent,
                                       uint32_t balancer_ip);
/** True if the balancer has acknowledged lately and has stated a feature.  */
bool rgy_agent_balancer_has_feature_ (const struct rgy_agent_balancer *b,
                                      uint32_t feature, int64_t now_us);
/** Number the next report to a balancer and record its time.  */
uint64_t rgy_stream_agent_number_report_ (struct rgy_stream_agent *agent,
                                          struct rgy_agent_balancer *b,
                                          int64_t now_us);
/** True if the balancer at @p ip cannot have declared this agent dead since
    @p since_us, so that it has reset no flow as lost.  */
bool rgy_stream_agent_had_contact_ (const struct rgy_stream_agent *agent,
                                    uint32_t ip, int64_t since_us,
                                    int64_t now_us);
/** True if the balancer is in the agent's failure domain.  */
bool rgy_stream_agent_is_near_balancer_ (const struct rgy_stream_agent *agent,
                                         const struct rgy_agent_balancer *b);
/** Identifier of the backend server in reports.  */
uint64_t
rgy_stream_agent_get_backend_id_ (const struct rgy_stream_agent *agent);
/** Send the list of open flows if it is due.  */
void rgy_stream_agent_send_open_flows_ (struct rgy_stream_agent *agent,
                                        int64_t now_us);
/** Reset or restore the flows that the agent before has listed.  */
void rgy_stream_agent_handle_former_flows_ (
    struct rgy_stream_agent *agent, const struct rgy_stream_open_flows *former,
    int64_t now_us);
/** Reset the restored flows if the first heartbeat shows that their backend
    server is gone.  */
void rgy_stream_agent_check_restored_flows_ (struct rgy_stream_agent *agent,
                                             int64_t now_us);
/** Open a flow that the agent before has listed; the backend server has not
    confirmed it yet.  Returns false if the flow is known.  */
bool rgy_stream_agent_restore_flow_ (struct rgy_stream_agent *agent,
                                     const struct rgy_flow_key *key,
                                     uint32_t caller_ack, int64_t now_us);
void rgy_flow_journal_free_ (void *data);
/** Send the periodic reports that are due and remove balancers that have not
    acknowledged any for long.  */
void rgy_stream_agent_send_due_reports_ (struct rgy_stream_agent *agent,
                                         int64_t now_us);

void rgy_stream_agent_set_flow_state_ (struct rgy_stream_agent *agent,
                                       struct rgy_flow *flow,
                                       enum rgy_agent_flow_state state,
                                       int64_t now_us);
void rgy_stream_agent_remove_flow_ (struct rgy_stream_agent *agent,
                                    struct rgy_flow *flow, int64_t now_us);
/** Send the caller a reset and mark the flow as not owned.  Only for a flow
    that the backend server has certainly lost.  */
void rgy_stream_agent_reset_flow_ (struct rgy_stream_agent *agent,
                                   struct rgy_flow *flow, const char *why,
                                   int64_t now_us);
/** Send the balancer at IP the answer whether the agent owns a flow.  */
void rgy_stream_agent_send_ownership_ (struct rgy_stream_agent *agent,
                                       const struct rgy_flow_key *key,
                                       uint32_t ip,
                                       enum rgy_flow_ownership ownership);
/** Open a flow that the backend server turned out to serve, and notify the
    flow's balancer.  */
void rgy_stream_agent_adopt_flow_ (struct rgy_stream_agent *agent,
                                   struct rgy_flow *flow, int64_t now_us);

/** Let a caller's segment start, continue or end a request.  Returns true if
    the segment is held until the backend server has a free slot.  */
bool rgy_stream_agent_queue_request_ (struct rgy_stream_agent *agent,
                                      struct rgy_flow *flow,
                                      const struct rgy_segment *segment,
                                      uint32_t ip, int64_t now_us);
/** True if the backend server has acknowledged the caller's segment, so that
    it repeats an earlier request.  */
bool rgy_stream_agent_is_repeated_ (const struct rgy_agent_stream *stream,
                                    const struct rgy_segment *segment);
/** True if payload from the backend server can be the answer to the flow's
    request.  While the request waits, or after it has expired, payload that
    does not acknowledge it repeats an earlier answer: the caller's
    acknowledgement of that one is held with the request.  */
bool rgy_stream_agent_may_be_answered_ (const struct rgy_agent_stream *stream);
/** End the request of a flow, because it was answered or its flow has ended,
    and start those that can run now.  */
void rgy_stream_agent_end_request_ (struct rgy_stream_agent *agent,
                                    struct rgy_flow *flow, int64_t now_us);
/** Update the run times from a request that is being answered.  */
void rgy_stream_agent_note_run_time_ (struct rgy_stream_agent *agent,
                                      const struct rgy_agent_stream *stream,
                                      int64_t now_us);
/** Start the requests that have a slot, expire those that can no longer be
    answered within their time limit, and hand over those without a known limit
    that have waited for MAX_WAIT_GOALS times their latency goal.  */
void rgy_stream_agent_advance_requests_ (struct rgy_stream_agent *agent,
                                         int64_t now_us);
/** Hand over all requests; the agent stops.  */
void rgy_stream_agent_hand_over_requests_ (struct rgy_stream_agent *agent,
                                           int64_t now_us);
/** Time that a flow has waited at least when its first segment arrives.  */
int64_t
rgy_stream_agent_get_opening_age_us_ (const struct rgy_segment *segment);
/** Inputs of the decision on a new flow, for the log.  */
struct rgy_admission_basis
{
  struct rgy_request_terms terms;
  struct rgy_start_prediction start;
  int64_t goal_left_us;  /* Time until the latest start for the goal.  */
  int64_t limit_left_us; /* Time until the latest start for the limit.  */
  bool is_last_offer;
};
/** Decide whether the request of a new flow would be answered in time.
    @return RGY_STREAM_REFUSAL_COUNT to accept the flow, or the reason to
   refuse it, with the inputs in @p basis.  */
enum rgy_stream_refusal
rgy_stream_agent_admit_ (struct rgy_stream_agent *agent,
                         const struct rgy_segment *segment, uint32_t ip,
                         int64_t now_us, struct rgy_admission_basis *basis);
/** Count the first request of an accepted flow in predictions.  */
void rgy_stream_agent_expect_request_ (struct rgy_stream_agent *agent,
                                       struct rgy_flow *flow,
                                       const struct rgy_segment *segment,
                                       uint32_t ip, int64_t now_us);
/** End that, because the request has arrived or the flow has ended.  */
void rgy_stream_agent_unexpect_request_ (struct rgy_stream_agent *agent,
                                         struct rgy_agent_stream *stream);
/** Hold the end of a handshake while no slot is free and the caller's time
    limit is known.  @return false if the segment must be delivered.  */
bool rgy_stream_agent_hold_handshake_ (struct rgy_stream_agent *agent,
                                       struct rgy_flow *flow,
                                       const struct rgy_segment *segment,
                                       uint32_t ip, int64_t now_us);
/** Deliver the held end of a handshake whose request has not arrived.  */
void rgy_stream_agent_release_handshake_ (struct rgy_stream_agent *agent,
                                          struct rgy_flow *flow);
/** Reset a flow that has not opened at the backend server, so that its request
    cannot have run.  */
void rgy_stream_agent_reject_unopened_flow_ (struct rgy_stream_agent *agent,
                                             struct rgy_flow *flow,
                                             int64_t now_us);
/** True if the balancer at @p ip has acknowledged lately and has stated a
    feature.  */
bool
rgy_stream_agent_balancer_has_feature_ (const struct rgy_stream_agent *agent,
                                        uint32_t ip, uint32_t feature,
                                        int64_t now_us);
/** Set the numbers of the queue in a load report.  */
void rgy_stream_agent_measure_queue_ (const struct rgy_stream_agent *agent,
                                      struct rgy_stream_load_report *load);
/** Count a request that has arrived on an open flow.  */
void rgy_stream_agent_note_arrival_ (struct rgy_stream_agent *agent,
                                     struct rgy_agent_stream *stream);
/** Measure the run of a request that is being answered.  */
void rgy_stream_agent_note_answer_ (struct rgy_stream_agent *agent,
                                    const struct rgy_flow *flow,
                                    int64_t now_us);
/** Count the request, if one runs, of a flow that the backend server
    resets.  */
void rgy_stream_agent_note_reset_request_ (struct rgy_stream_agent *agent,
                                           struct rgy_agent_stream *stream,
                                           int64_t now_us);
/** Find out whether the backend server fails.  */
void rgy_stream_agent_watch_load_ (struct rgy_stream_agent *agent,
                                   int64_t now_us);
/** Send a load report to a balancer that decodes it, if the load has changed
    or the last one is old.  @return false if none was sent.  */
bool rgy_stream_agent_report_load_ (struct rgy_stream_agent *agent,
                                    struct rgy_agent_balancer *b,
                                    int64_t now_us);
/** Send load reports to the balancers that must not wait for the periodic
    ones.  */
void rgy_stream_agent_report_load_news_ (struct rgy_stream_agent *agent,
                                         int64_t now_us);
/** Terms of the route that a caller's segment came over.  A route whose terms
    no balancer has stated yet has the lowest priority, the latency goal in the
    segment's trailer and no time limit.  */
struct rgy_request_terms
rgy_stream_agent_get_terms_ (struct rgy_stream_agent *agent,
                             const struct rgy_segment *segment,
                             int64_t now_us);
/** Query balancers for the terms of routes as far as that is due.  */
void rgy_stream_agent_send_terms_queries_ (struct rgy_stream_agent *agent,
                                           int64_t now_us);
/** Apply the terms that balancer @p b has stated; NULL if the sender is not a
    known balancer.  */
void rgy_stream_agent_handle_terms_ (struct rgy_stream_agent *agent,
                                     struct rgy_agent_balancer *b,
                                     const struct rgy_stream_terms *stated,
                                     int64_t now_us);
/** Forget the request of a flow; for rgy_flow_table_foreach().  */
bool rgy_stream_agent_drop_request_ (struct rgy_flow *flow, void *ctx);

void rgy_stream_agent_set_backend_state_ (struct rgy_stream_agent *agent,
                                          enum rgy_backend_state state,
                                          const char *why, int64_t now_us);
/** Record that the backend server's process has ended, and reset its
    flows.  */
void rgy_stream_agent_mark_backend_ended_ (struct rgy_stream_agent *agent,
                                           const char *why, int64_t now_us);
/** Request a check of the backend server's process unless the last one was
    less than CHECK_INTERVAL_US ago.  */
void rgy_stream_agent_request_check_ (struct rgy_stream_agent *agent,
                                      int64_t now_us);
/** Act on missing heartbeats: check the process, stop new flows, reset
    flows.  */
void rgy_stream_agent_check_heartbeats_ (struct rgy_stream_agent *agent,
                                         int64_t now_us);

#endif
