#ifndef RGY_HARNESS_H
#define RGY_HARNESS_H

/**
 * @file
 * Simulation of a deployment: the decision cores of balancers and agents run
 * in one process, connected by an event queue on a virtual clock.  Fabric,
 * store, backend servers and callers are simulated.  The same seed gives the
 * same run.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "ragwortyoke/agent.h"
#include "ragwortyoke/balancer.h"
#include "ragwortyoke/clock.h"

#define H_MAX_DOMAINS 6
#define H_MAX_NODES 128
/* Microseconds in a millisecond and in a second of the virtual clock.  */
#define H_MS RGY_US_PER_MS
#define H_S RGY_US_PER_S

/** Settings of a simulation; zeros give a network without loss, jitter and
    disorder, whose only delays are those within a failure domain.  */
struct harness_settings
{
  uint64_t seed;
  int64_t domain_delay_us;    /**< One way between failure domains.  */
  int64_t client_delay_us;    /**< One way between a caller and the fabric.  */
  unsigned jitter_percent;    /**< Delays vary by this share, up and down.  */
  unsigned loss_percent;      /**< Datagrams lost between failure domains.  */
  unsigned duplicate_percent; /**< Datagrams that arrive twice.  */
  unsigned reorder_percent;   /**< Datagrams that arrive up to 60 ms late.  */
  FILE *trace; /**< One line for each event of interest, or NULL.  */
  /* Mechanisms of the product that a baseline run switches off.  */
  bool modulo_steering;
  bool without_lookup;
  bool without_cold_start;
  bool without_echo;
  bool without_handover;
  bool without_service_check;
  bool without_answer_matching;
  bool without_outcome_unknown;
  bool without_contract_limits;
  bool without_drain_announcement;
  bool without_domain_orders;
  bool without_version_check;
};

enum node_kind
{
  NODE_BALANCER,
  NODE_AGENT
};

/** Simulated backend server; it is part of its agent's node.  */
struct backend
{
  unsigned slots;              /**< Concurrency limit when it is warm.  */
  unsigned cold_limit;         /**< Concurrency limit while it is cold.  */
  unsigned warmup_completions; /**< Executions that end its warm-up.  */
  int64_t work_us;             /**< Duration of one execution.  */
  bool cold;
  bool unresponsive;      /**< Sends no responses at all.  */
  bool shedding;          /**< Answers every request with 5.03.  */
  bool sheds_when_cold;   /**< Answers 5.03 above its limit while cold.  */
  bool ignores_requests;  /**< Drops requests, while its health and load
                             endpoints report an idle server.  */
  bool reports_full;      /**< Its load endpoint reports that all slots are
                             in use.  */
  int64_t probe_delay_us; /**< Extra delay of its health and load endpoints. */
  int64_t first_shed_us;  /**< Time of the first 5.03 since it became cold, or
                             0.  */
  int64_t last_start_us;  /**< Start of its latest execution.  */
  unsigned running;
  unsigned completed; /**< Executions since it became cold.  */
  unsigned peak_running;
  unsigned overloads;     /**< Executions above its concurrency limit.  */
  unsigned wrong_service; /**< Requests for a service that it doesn't run.  */
  uint64_t executions;    /**< Executions of non-idempotent requests.  */
  uint64_t board_version; /**< Version of its observable resource.  */
  GHashTable *records;    /**< Record ID to number of executions.  */
  GHashTable *observers;  /**< Socket key to struct observer; private.  */
  GHashTable *answers;    /**< Message key to the response that was sent,
                             or to an empty value until the execution
                             ends; private.  */
};

/** Simulated process: a balancer, or an agent with its backend server.  */
struct node
{
  enum node_kind kind;
  struct rgy_name id;
  unsigned domain;
  struct rgy_endpoint endpoint;
  bool alive;
  bool frozen;          /**< The process is paused.  */
  bool exited;          /**< The process exited at the end of a drain.  */
  uint32_t incarnation; /**< Number of times that the process was stopped.  */
  uint64_t epoch;
  struct rgy_balancer *balancer; /**< NULL in an agent or a killed node.  */
  struct rgy_agent *agent;       /**< NULL in a balancer or a killed node. */
  struct rgy_counters *counters;
  struct rgy_agent_settings agent_settings;
  struct rgy_balancer_settings balancer_settings;
  struct backend backend;
  GQueue backlog; /**< Events that arrived while the process was frozen.  */
  int64_t last_datagram_us; /**< Arrival of the latest caller's datagram at
                               the process, or of any datagram at its
                               backend server.  */
  int64_t started_us;
};

enum caller_kind
{
  CALLER_WATCH, /**< Keeps one observation of the board.  */
  CALLER_POST,  /**< Posts one record in each interval.  */
  CALLER_GET    /**< Sends one GET in each interval.  */
};

/** Results of one caller.  */
struct caller_stats
{
  uint64_t requests; /**< User requests, without retransmissions.  */
  uint64_t in_time;  /**< Answered with success within 5 s.  */
  uint64_t late;     /**< Answered with success after 5 s.  */
  uint64_t refused; /**< Ended because the last of 20 attempts was refused.  */
  uint64_t false_not_run;    /**< "not-run" for a record that was executed. */
  uint64_t unknown_outcomes; /**< Ended with an unknown outcome.  */
  uint64_t no_answer;  /**< Unknown outcomes because the last retransmission
                          got no response.  */
  uint64_t mismatched; /**< Responses that belong to another request.  */
  uint64_t registrations;
  uint64_t notifications;
  uint64_t version_regressions; /**< Board versions below an earlier one.  */
  uint64_t stale; /**< Times that a watch got no update for over 5 s.  */
  int64_t last_update_us; /**< Latest update of a watch; not summed.  */
};

struct caller;
struct harness;

/** From now on, write one line for each datagram of a session (time, sender,
    receiver, message kind or CoAP code, token, Observe) and for each change
    of state to @p out, which the harness does not close.  Control datagrams
    are summarised in one line a second with their number and a digest.  */
void harness_trace_datagrams (struct harness *h, FILE *out);

struct harness *harness_new (const struct harness_settings *settings);
void harness_delete (struct harness *h);

/* Processes and callers of the deployment.  The harness owns all nodes
   and callers.  */

/** Add a failure domain; returns its index.  */
unsigned harness_add_domain (struct harness *h, const char *name);
struct node *harness_add_balancer (struct harness *h, const char *id,
                                   unsigned domain);
/** Add an agent and its backend server with @p slots.  The server starts cold
    with a concurrency limit of 1, and is warm after 8 completions.  */
struct node *harness_add_agent (struct harness *h, const char *id,
                                unsigned domain, struct rgy_endpoint service,
                                unsigned slots, unsigned connections,
                                int64_t work_us);
struct caller *harness_add_caller (struct harness *h, enum caller_kind kind,
                                   uint32_t ip, struct rgy_endpoint service,
                                   int64_t interval_us);
/** The caller sends no new requests, but completes the outstanding one.  */
void harness_stop_caller (struct caller *caller);
const struct caller_stats *harness_get_stats (const struct caller *caller);
/** True while a request of the caller has no final response.  */
bool harness_has_outstanding_request (const struct caller *caller);
/** True when the agent owns the caller's flow.  */
bool harness_owns_flow (const struct node *agent, const struct caller *caller);

/** Results of all callers and backend servers.  */
struct harness_totals
{
  struct caller_stats sum[CALLER_GET + 1]; /**< By kind of caller.  */
  uint64_t repeated_records; /**< Records executed more than once.  */
  uint64_t lost_records;     /**< Records accepted but never executed.  */
  uint64_t overloads;        /**< Executions above a concurrency limit.  */
  uint64_t wrong_service;    /**< Requests at a server of another service.  */
};
struct harness_totals harness_get_totals (struct harness *h);

/** Returns the node with an ID, or NULL.  */
struct node *harness_get_node (struct harness *h, const char *id);
unsigned harness_get_node_count (const struct harness *h);
struct node *harness_get_node_at (struct harness *h, unsigned index);

/* Store and operators' orders.  */

/** Write a contract to the store; the reading balancers get it when the store
    is up.  Returns its revision.  */
uint64_t harness_put_contract (struct harness *h, const char *json);
/** Write an older contract with its older revision, as a store does that was
    restored from a backup.  */
void harness_restore_contract (struct harness *h, const char *json,
                               uint64_t revision);
/** Write a domain order to the store; returns its number.  */
uint64_t harness_order_domain (struct harness *h, unsigned domain, bool out);
/** Make an order with the next number; harness_put_order() or
    harness_send_order() must then publish it.  */
struct rgy_domain_order harness_make_order (struct harness *h, unsigned domain,
                                            bool out);
/** Write an order to the store.  */
void harness_put_order (struct harness *h,
                        const struct rgy_domain_order *order);
/** Send an order to a balancer.  */
void harness_send_order (struct harness *h,
                         const struct rgy_domain_order *order,
                         struct node *balancer);
/** Readers see a write after a third, two thirds or the whole of this delay,
    depending on their failure domain.  */
void harness_set_store_delay (struct harness *h, int64_t delay_us);
void harness_set_store_down (struct harness *h, bool down);

/* Faults.  */

/** Stop a process without a drain; its backend server keeps running.  */
void harness_kill (struct harness *h, struct node *node);
/** Start a process again with a new epoch; with @p backend_too, an agent's
    backend server restarts too, and is cold.  */
void harness_restart (struct harness *h, struct node *node, bool backend_too);
/** Pause a process, or resume it.  A resumed process handles the events that
    arrived during the pause; besides its timer, at most 500 are kept.  */
void harness_set_frozen (struct harness *h, struct node *node, bool frozen);
/** Drop the datagrams from @p from to @p to while @p partitioned is true; the
   other direction is not affected.  */
void harness_set_partition (struct harness *h, struct node *from,
                            struct node *to, bool partitioned);
void harness_set_loss (struct harness *h, unsigned percent);
void harness_set_disorder (struct harness *h, unsigned reorder_percent,
                           unsigned duplicate_percent);
void harness_drain (struct harness *h, struct node *node);
/** Make an agent's backend server cold while both keep running.  */
void harness_make_cold (struct node *agent);

/** Publish a new version of the boards of all backend servers of a service,
    and notify their observers.  */
void harness_update_boards (struct harness *h, struct rgy_endpoint service);

/* Virtual time.  */

int64_t harness_now_us (const struct harness *h);
/** Advance the virtual clock by a duration and handle all events that are due
    until then.  */
void harness_run (struct harness *h, int64_t duration_us);

#endif
