#ifndef RAGWORTYOKE_PRIVATE_STREAM_AGENT_PRIVATE_H
#define RAGWORTYOKE_PRIVATE_STREAM_AGENT_PRIVATE_H

/**
 * @file
 * State of the agent core for sequenced flows and functions shared by its
 * files: stream_agent.c (life and time), stream_agent_flow.c (segments),
 * stream_agent_backend.c (state of the backend server), stream_agent_report.c
 * (reports and messages).
 */

#include <glib.h>

#include "ragwortyoke/clock.h"
#include "ragwortyoke/stream_agent.h"

/* Reports without a change; a balancer misses 4 before it takes an agent for
   lost.  */
#define REPORT_INTERVAL_US (400 * RGY_US_PER_MS)
/* A balancer that acknowledges nothing gets reports at a slow rate after this
   time, and none after BALANCER_FORGET_US.  */
#define BALANCER_SLOW_US (10 * RGY_US_PER_S)
#define BALANCER_SLOW_INTERVAL_US (2 * RGY_US_PER_S)
#define BALANCER_FORGET_US (120 * RGY_US_PER_S)
/* Balancers acknowledge at least once a second.  */
#define BALANCER_HEARD_US (2500 * RGY_US_PER_MS)
/* The backend server returns a segment within a millisecond; the margin
   covers a loaded machine.  */
#define PROBE_US (30 * RGY_US_PER_MS)
/* A probe without any sign of the backend server is forgotten.  */
#define PROBE_END_US (2 * RGY_US_PER_S)
/* How long a bounce counts as "does not hold it".  */
#define ABSENT_US (5 * RGY_US_PER_S)
/* Closed flows still get late segments of their ends.  */
#define CLOSED_US (4 * RGY_US_PER_S)
/* A first segment without an answer for this long is forgotten.  */
#define OPENING_US (5 * RGY_US_PER_S)
/* Unanswered first segments in a row before the backend server counts as
   silent.  */
#define SILENT_OPENINGS 4
#define OPENING_ANSWER_US (250 * RGY_US_PER_MS)
/* Missed heartbeats before it takes no new flows, and before its flows are
   reset; the second is longer, since a wrong reset breaks a flow.  */
#define SILENT_HEARTBEATS_X10 25
#define LOST_HEARTBEATS_X10 33
/* Pause between two checks whether the backend server's process runs; longer
   than one check may take.  */
#define CHECK_INTERVAL_US (500 * RGY_US_PER_MS)
/* A backend server that starts together with the agent listens by then.  */
#define FIRST_CHECK_US (300 * RGY_US_PER_MS)
/* Missed heartbeats before its process is checked: one that is late by less is
   on its way.  */
#define CHECK_HEARTBEATS_X10 14
/* A sign of life from its packets counts as a heartbeat for this long.  */
#define PACKET_ALIVE_US (1500 * RGY_US_PER_MS)
/* The backend server ends just after it has said so.  */
#define GONE_RESET_US (300 * RGY_US_PER_MS)
/* The users count a cold backend server's new flows in any second; the rest of
   the window covers the way from the agent.  */
#define COLD_WINDOW_US (1050 * RGY_US_PER_MS)
#define COLD_RING 256
/* A pause of the process that makes queued first segments too old.  */
#define STALL_US (700 * RGY_US_PER_MS)
/* Pause between two passes over all flows; bounds their processor time.  */
#define SWEEP_INTERVAL_US (40 * RGY_US_PER_MS)
#define IDLE_SLACK_US (2 * RGY_US_PER_S)
/* Flow changes kept for balancers of one failure domain that lag.  */
#define MAX_JOURNAL 8192
#define LATENCY_WEIGHT 8

enum rgy_agent_flow_state
{
  FLOW_OPENING,  /* First segment delivered, no answer yet.  */
  FLOW_ANSWERED, /* The backend server's number is known.  */
  FLOW_OPEN,
  FLOW_PROBING, /* One segment delivered to find out whether it is held.  */
  FLOW_ABSENT,  /* The backend server does not hold it.  */
  FLOW_CLOSED   /* Both ends have finished.  */
};

/* The agent's part of a flow.  */
struct rgy_agent_stream
{
  enum rgy_agent_flow_state state;
  uint32_t backend_seq; /* Of its first segment.  */
  uint64_t audience;    /* Failure domain whose balancers know it, by
                           rgy_stream_hash_domain().  */
  uint32_t caller_ack;  /* What the caller acknowledged last.  */
  uint32_t balancer_ip;
  unsigned generation; /* Start of the backend server it was opened at.  */
  bool caller_finished;
  bool backend_finished;
  bool announced;
  bool confirmed; /* The backend server has sent on it.  */
  int64_t since_us;
  int64_t asked_us; /* Caller's payload that waits for an answer; 0: none.  */
};

/* Changes of flows for the balancers of one failure domain: the routers send a
   flow to another one only when its own has none.  */
struct rgy_flow_journal
{
  uint64_t domain;
  GByteArray *changes; /* From number FROM on.  */
  uint64_t from;
};

struct rgy_agent_balancer
{
  uint32_t ip;
  uint64_t incarnation;
  uint64_t domain; /* By rgy_stream_hash_domain(); 0: not known yet.  */
  int64_t added_us;
  int64_t heard_us; /* Last acknowledgement; 0: none.  */
  int64_t sent_us;
  uint64_t acked; /* Number after the last change it has.  */
  bool synced;    /* It got all flows since its start.  */
};

struct rgy_stream_agent
{
  struct rgy_stream_agent_settings settings;
  uint32_t service_tag;
  struct rgy_flow_table *flows;
  uint32_t n_open;
  GArray *balancers; /* struct rgy_agent_balancer.  */
  uint64_t seq;

  GPtrArray *journals; /* struct rgy_flow_journal.  */

  struct rgy_name backend;
  int64_t backend_started_ms;
  uint64_t backend_seq;
  enum rgy_backend_state state;
  unsigned generation;
  bool complete;
  bool left; /* It has deregistered.  */
  bool stopping;
  uint32_t slots;
  int64_t started_us;
  int64_t heartbeat_us; /* Last one; 0: none.  */
  int64_t packet_us;    /* Last packet of the backend server.  */
  int64_t cold_until_us;
  int64_t gone_us;
  int64_t checked_us; /* Last check of its process; 0: none.  */
  int64_t cold_opened_us[COLD_RING];
  unsigned cold_next;
  unsigned unanswered;
  int64_t ticked_us;
  bool stalled;
  uint32_t latency_us;

  struct rgy_domain_view view;
  uint32_t cold_rate_milli;
  int64_t swept_us;
  int64_t idle_us; /* Longest idle timeout stated; 0: none.  */

  struct rgy_histogram *answer_time;
  uint64_t *n_opened;
  uint64_t *n_refused[RGY_STREAM_REFUSAL_COUNT];
  uint64_t *n_missed;
  uint64_t *n_resets;
  uint64_t *n_probes;
  uint64_t *n_stale_heartbeats;
  uint64_t *n_bad_messages;
};

/* Reports.  */

void rgy_stream_agent_report_to_all_ (struct rgy_stream_agent *agent,
                                      int64_t now_us);
/** A flow was opened or closed, for the balancers of a failure domain.  */
void rgy_stream_agent_record_change_ (struct rgy_stream_agent *agent,
                                      const struct rgy_flow_key *key,
                                      uint64_t domain, bool opened);
/** Hash of the failure domain of a balancer; the agent's own if it is not
    known.  */
uint64_t rgy_stream_agent_get_domain_ (const struct rgy_stream_agent *agent,
                                       uint32_t balancer_ip);
void rgy_flow_journal_free_ (void *data);
void rgy_stream_agent_report_when_due_ (struct rgy_stream_agent *agent,
                                        int64_t now_us);

/* Flows.  */

void rgy_stream_agent_set_flow_state_ (struct rgy_stream_agent *agent,
                                       struct rgy_flow *flow,
                                       enum rgy_agent_flow_state state,
                                       int64_t now_us);
void rgy_stream_agent_remove_flow_ (struct rgy_stream_agent *agent,
                                    struct rgy_flow *flow, int64_t now_us);
void rgy_stream_agent_reset_flow_ (struct rgy_stream_agent *agent,
                                   struct rgy_flow *flow, const char *why,
                                   int64_t now_us);
void rgy_stream_agent_tell_held_ (struct rgy_stream_agent *agent,
                                  const struct rgy_flow_key *key, uint32_t ip,
                                  enum rgy_flow_held held);
void rgy_stream_agent_recognise_ (struct rgy_stream_agent *agent,
                                  struct rgy_flow *flow, int64_t now_us);

/* The backend server.  */

void rgy_stream_agent_set_backend_state_ (struct rgy_stream_agent *agent,
                                          enum rgy_backend_state state,
                                          const char *why, int64_t now_us);
void rgy_stream_agent_end_backend_ (struct rgy_stream_agent *agent,
                                    const char *why, int64_t now_us);
/** Have the process of the backend server checked, unless that was done a
    moment ago.  */
void rgy_stream_agent_suspect_ (struct rgy_stream_agent *agent,
                                int64_t now_us);
void rgy_stream_agent_check_backend_ (struct rgy_stream_agent *agent,
                                      int64_t now_us);

#endif
