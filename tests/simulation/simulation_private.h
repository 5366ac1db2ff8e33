#ifndef SIMULATION_PRIVATE_H
#define SIMULATION_PRIVATE_H

/**
 * @file
 * State of the simulation, shared by its source files: simulation.c (network,
 * balancers, agents and callers), simulation_backend.c (backend servers) and
 * simulation_users.c (users who send requests).
 */

#include <glib.h>

#include "ragwortyoke/clock.h"
#include "ragwortyoke/stream_agent.h"
#include "ragwortyoke/stream_balancer.h"
#include "simulation.h"

#define BALANCER_IP 0x0a010000U
#define AGENT_IP 0x0a020000U
#define CALLER_IP 0x64400000U
#define SERVICE_IP 0xc6120001U
#define SERVICE_PORT 443
#define MIN_DELAY_US 300
#define MAX_DELAY_US 6000
#define LOCAL_DELAY_US 50
#define STORE_DELAY_US 8000
#define REQUEST_BYTES 100
#define ANSWER_BYTES 200
#define DEFAULT_SLOTS 4
/* Run times vary evenly by this share of their mean.  */
#define RUN_SPREAD 0.5
#define REQUEST_INTERVAL_US (200 * RGY_US_PER_MS)
#define FIRST_RETRY_US (200 * RGY_US_PER_MS)
#define MAX_RETRIES 5
#define LIST_UPDATE_INTERVAL_US (3 * RGY_US_PER_S)
#define REQUEST_TIMEOUT_US (5 * RGY_US_PER_S)
/* Router's checks that a frozen balancer leaves unanswered before it is left
   out: two, every 500 ms.  */
#define ROTATION_US RGY_US_PER_S
/* Datagrams that wait for a frozen process: a socket's usual 212,992 bytes
   with 800 bytes of bookkeeping each.  */
#define MAX_HELD 250
/* Time in which a closing segment reaches the backend server on any path, or a
   first segment three agents one after the other.  */
#define NOTICE_US (50 * RGY_US_PER_MS)
/* Interval at which runs at a hanging backend server are looked at.  */
#define HANG_CHECK_US (20 * RGY_US_PER_MS)
/* Time after the acknowledgement of a drain; the users allow no first segment
   at the backend server after it.  */
#define DRAIN_LIMIT_US (3 * RGY_US_PER_S)

/* Bytes of a simulated segment.  */
struct packet_
{
  uint32_t caller;
  bool from_service;
  uint8_t flags;
  uint32_t seq;
  uint32_t ack;
  uint16_t payload_len;
  bool rejected; /* The backend server did not run the request.  */
};

enum delivery_kind_
{
  TO_ROUTER,
  ROUTED_TO_BALANCER,
  RETURNED_TO_BALANCER,
  MESSAGE_TO_BALANCER,
  TO_AGENT,
  MESSAGE_TO_AGENT,
  STORED_FLOWS_TO_BALANCER,
  CHECK_RESULT_TO_AGENT, /* Result of a check of the backend server's
                            process.  */
  TO_BACKEND,
  RUN_ENDED, /* A request's run at a backend server ends.  */
  FROM_BACKEND,
  TO_CALLER,
  RESET_TO_CALLER
};

struct delivery_
{
  int64_t at_us;
  uint64_t order;
  enum delivery_kind_ kind;
  size_t index;
  uint32_t from_ip;
  struct packet_ packet;
  struct rgy_segment_trailer trail;
  GByteArray *message;
  int64_t request_us;  /* Time at which the check was requested.  */
  unsigned generation; /* Start of the backend server that runs a request.  */
};

struct backend_
{
  bool alive;
  bool draining;
  bool crashed; /* Ended without deregistering.  */
  int64_t drained_us;
  int64_t started_ms;
  unsigned generation;
  uint64_t seq;
  int64_t next_heartbeat_us;
  GHashTable *flows;  /* Caller's number to the backend server's first sequence
                         number.  */
  GHashTable *opened; /* Numbers of the callers whose flows are open: the
                         backend server has got the end of the handshake.  */
  unsigned accepted;
  unsigned running;     /* Requests that occupy a slot.  */
  GQueue waiting;       /* Requests in the queue; entries are struct packet_,
                           owned.  */
  GHashTable *started;  /* Caller's number to the end of its last request that
                           was queued, run or answered.  */
  GHashTable *answered; /* The same for answered requests.  */
  int64_t cold_until_us;
  int64_t free_since_us; /* Since when a slot is free; INT64_MAX if none.  */
  double speed;
};

struct caller_
{
  uint32_t number;
  bool done;
  bool open;
  uint32_t seq;   /* Sequence number of the backend server's first segment.  */
  size_t backend; /* Index of the backend server whose answer the caller
                     accepted.  */
  int64_t began_us;
  int64_t ends_us;
  int64_t request_us; /* Time of the request that awaits an answer; 0 if
                         none.  */
  int64_t next_us;    /* Time of the next request or repetition.  */
  unsigned repeats;
  uint32_t sent;            /* Bytes of the requests before this one.  */
  struct request_ *request; /* Request of a user that the flow carries, or
                               NULL.  */
  bool of_user;
  size_t kind;
  size_t domain;
  size_t request_number; /* Of the last request that the flow carried.  */
  bool reached; /* A segment after the first one reached the backend server, so
                   that the flow is open there.  */
  bool ran;     /* A backend server began to run it.  */
  bool refused; /* The flow was reset before it opened, or the request
                   rejected.  */
  int64_t done_us;
};

/* A user's request, which may take several tries on different flows.  */
struct request_
{
  size_t number;
  size_t kind;
  size_t domain;
  size_t user;
  bool fresh; /* Uses a flow of its own.  */
  int64_t began_us;
  unsigned tries;
  uint32_t caller; /* Number of the flow of the present try.  */
  int64_t ran_us;  /* Beginning of the last run.  */
  bool ended;
};

struct process_
{
  struct simulation *simulation;
  bool is_agent;
  size_t index;
  int64_t frozen_us;       /* Time of the last freeze.  */
  int64_t frozen_until_us; /* Not frozen from then on.  */
  unsigned held;           /* Datagrams that wait for its end.  */
};

struct simulation
{
  GRand *rand;
  double loss_share;
  int64_t now_us;
  uint64_t order;
  GSequence *queue;
  size_t n_balancers;
  size_t n_agents;
  size_t n_workshop;
  size_t n_domains;
  bool cut[SIM_MAX_DOMAINS][SIM_MAX_DOMAINS]; /* Pairs of failure domains that
                                                 cannot reach each other.  */
  struct sim_traffic traffic;
  bool store_down;
  /* Open flows in the simulated store; NULL: none.  */
  GByteArray *stored_flows[SIM_MAX_DOMAINS];
  struct rgy_stream_balancer *balancers[SIM_MAX_BALANCERS];
  bool leaving[SIM_MAX_BALANCERS];
  struct rgy_stream_agent *agents[SIM_MAX_AGENTS];
  struct backend_ backends[SIM_MAX_AGENTS];
  struct process_ balancer_processes[SIM_MAX_BALANCERS];
  struct process_ agent_processes[SIM_MAX_AGENTS];
  GPtrArray *callers;
  GPtrArray *active; /* Callers that are not done, and some that are.  */
  struct rgy_counters *counters;
  uint32_t weights[2];
  uint64_t version;
  uint64_t view_revision;
  struct rgy_domain_view view;
  bool ever_routed[2];
  unsigned flows_per_s;
  /* Resets of flows that the backend server has not opened are right.  */
  bool allows_early_resets;
  int64_t lifetime_us;
  int64_t next_flow_us;
  uint64_t next_incarnation;
  GByteArray *stored_agents; /* List of agents in the simulated store.  */
  int64_t next_list_update_us;
  bool started;
  struct sim_counts counts;
  struct sim_load load; /* Without users unless sim_set_users() was called.  */
  double rate_factor[SIM_MAX_KINDS][SIM_MAX_DOMAINS];
  GArray *pooled; /* For each kind, failure domain and user the number of
                     its idle flow plus 1, or 0.  */
  GArray *runs;   /* For each request the number of its runs, a byte.  */
  GArray *waits[SIM_MAX_KINDS]; /* sim_get_waits().  */
  GPtrArray *requests;          /* Requests that have not ended.  */
  int64_t next_request_us;
  int64_t users_since_us;
  GArray *seconds; /* Entries are struct sim_second.  */
};

/* Queues a delivery after a random delay, or LOCAL; it may be lost.  */
void sim_queue_delivery_ (struct simulation *sim, struct delivery_ delivery,
                          bool local);
/* Queues a delivery after DELAY_US; it is never lost.  */
void sim_queue_event_ (struct simulation *sim, struct delivery_ delivery,
                       int64_t delay_us);
struct caller_ *sim_find_caller_ (const struct simulation *sim,
                                  uint32_t number);
/* Begins a new flow of a caller in a failure domain to the service address of
   a kind of requests.  */
struct caller_ *sim_begin_flow_ (struct simulation *sim, size_t kind,
                                 size_t domain);
void sim_end_caller_ (struct simulation *sim, struct caller_ *caller);
/* Counts a refusal that a process of failure domain FROM sends.  */
void sim_count_refusal_ (struct simulation *sim, const struct caller_ *caller,
                         size_t from);
bool sim_is_frozen_ (const struct simulation *sim,
                     const struct process_ *process);
bool sim_is_domain_out_ (const struct simulation *sim, size_t instance);
void sim_send_from_caller_ (struct simulation *sim,
                            const struct caller_ *caller, uint8_t flags,
                            uint16_t len);
/* Sends the request of an open flow for the first time.  */
void sim_send_request_ (struct simulation *sim, struct caller_ *caller);
struct rgy_name sim_get_service_name_ (const struct simulation *sim,
                                       size_t agent);
struct rgy_name sim_get_backend_name_ (const struct simulation *sim, size_t i);
size_t sim_get_service_ (const struct simulation *sim, size_t agent);

void sim_deliver_to_backend_ (struct simulation *sim,
                              const struct delivery_ *d);
void sim_end_run_ (struct simulation *sim, const struct delivery_ *d);
void sim_send_heartbeat_ (struct simulation *sim, size_t i);
/* Drops the requests of a backend server.  */
void sim_clear_backend_ (struct backend_ *backend);

/* Begins and ends requests of users as their times require.  */
void sim_step_users_ (struct simulation *sim);
/* Handles an answer or a rejection on the flow of a user.  */
void sim_handle_user_answer_ (struct simulation *sim, struct caller_ *caller,
                              const struct packet_ *packet);
/* Notes that a backend server begins to run the request on a user's flow.  */
void sim_handle_user_run_ (struct simulation *sim, struct caller_ *caller);
/* Handles the end of a user's flow, by a RESET or by silence.  */
void sim_handle_user_flow_end_ (struct simulation *sim, struct caller_ *caller,
                                bool reset);

#endif
