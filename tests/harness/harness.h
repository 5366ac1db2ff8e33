#ifndef RGY_HARNESS_H
#define RGY_HARNESS_H

/**
 * @file
 * Cores of balancers and agents in one process, joined by an event queue on
 * a virtual clock, with fakes of fabric, store, backend servers and callers.
 * The same seed gives the same run.
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
#define H_MS RGY_US_PER_MS
#define H_S RGY_US_PER_S

/* Settings.  */

struct harness_settings
{
  uint64_t seed;
  int64_t domain_delay_us; /**< One way between failure domains.  */
  int64_t client_delay_us;
  unsigned jitter_percent;
  unsigned loss_percent; /**< Between failure domains.  */
  unsigned duplicate_percent;
  unsigned reorder_percent; /**< Datagrams that arrive up to 60 ms late.  */
  FILE *trace; /**< One line for each event of interest, or NULL.  */
  /* Baselines.  */
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

/** Fake of a backend server; the agent's node holds it.  */
struct backend
{
  unsigned slots;
  unsigned cold_limit;
  unsigned warm_after; /**< Completions until it is warm.  */
  int64_t work_us;
  bool cold;
  bool silent;     /**< Answers nothing.  */
  bool shedding;   /**< Answers 5.03.  */
  bool cold_sheds; /**< Answers 5.03 above its limit while it is cold.  */
  bool deaf;       /**< Ignores requests; health and load say all is well.  */
  bool says_full;  /**< Its load endpoint says that all slots are in use.  */
  int64_t ping_us; /**< Extra delay of its health and load endpoints.  */
  int64_t shed_us; /**< First 5.03 since it became cold, or 0.  */
  int64_t last_begun_us; /**< Start of its last execution.  */
  unsigned running;
  unsigned completed;
  unsigned highest_running;
  unsigned violations; /**< Executions above what it bears.  */
  unsigned wrong_service;
  uint64_t executions;
  uint64_t version;      /**< Of its board.  */
  GHashTable *records;   /**< Record ID to executions.  */
  GHashTable *observers; /**< Flow to struct observer (private).  */
  GHashTable *answered;  /**< Message to its answer (private).  */
};

struct node
{
  enum node_kind kind;
  struct rgy_name id;
  unsigned domain;
  struct rgy_endpoint endpoint;
  bool alive;
  bool frozen;
  bool left; /**< Exited by itself after a drain.  */
  uint32_t incarnation;
  uint64_t epoch;
  struct rgy_balancer *balancer;
  struct rgy_agent *agent;
  struct rgy_counters *counters;
  struct rgy_agent_settings agent_settings;
  struct rgy_balancer_settings balancer_settings;
  struct backend backend;
  GQueue backlog;         /**< Datagrams that arrived while it was frozen.  */
  int64_t last_packet_us; /**< Last datagram of a caller that reached it or
                             its backend server.  */
  int64_t started_us;
};

enum caller_kind
{
  CALLER_WATCH, /**< Keeps an observation.  */
  CALLER_POST,  /**< Posts one record each interval.  */
  CALLER_GET    /**< Fetches each interval.  */
};

/** What one caller has seen.  */
struct caller_stats
{
  uint64_t requests;      /**< Requests of the user, not retransmissions.  */
  uint64_t in_time;       /**< Answered with success within 5 s.  */
  uint64_t late;          /**< Answered with success later.  */
  uint64_t not_run;       /**< Ended by a refusal.  */
  uint64_t false_not_run; /**< "not-run" for a record that was executed.  */
  uint64_t unknown;       /**< Ended with an unknown outcome.  */
  uint64_t no_answer;     /**< Of these, after the last retransmission.  */
  uint64_t crossed;       /**< Answers that belong to another request.  */
  uint64_t registrations;
  uint64_t notifications;
  uint64_t regressions; /**< Board versions that went back.  */
  uint64_t stale;       /**< Times that a watch lagged for over 5 s.  */
  int64_t heard_us;     /**< Last news of a watch; not summed.  */
};

struct caller;
struct harness;

/** From now on, write one line for each datagram of a session (time, from,
    to, kind or CoAP code, token, Observe) and for each change of state.  The
    lines of control datagrams are folded into one line a second with their
    number and a digest.  */
void harness_trace_datagrams (struct harness *h, FILE *out);

struct harness *harness_new (const struct harness_settings *settings);
void harness_delete (struct harness *h);

/* Deployment.  */

/** Add a failure domain; returns its index.  */
unsigned harness_add_domain (struct harness *h, const char *name);
struct node *harness_add_balancer (struct harness *h, const char *id,
                                   unsigned domain);
/** Add an agent and its backend server with @p slots, cold at first with a
    limit of 1 until 8 completions.  */
struct node *harness_add_agent (struct harness *h, const char *id,
                                unsigned domain, struct rgy_endpoint service,
                                unsigned slots, unsigned connections,
                                int64_t work_us);
struct caller *harness_add_caller (struct harness *h, enum caller_kind kind,
                                   uint32_t ip, struct rgy_endpoint service,
                                   int64_t interval_us);
/** Stop sending new requests.  */
void harness_stop_caller (struct caller *caller);
const struct caller_stats *harness_get_stats (const struct caller *caller);
bool harness_is_busy (const struct caller *caller);
/** True when the agent holds the caller's flow.  */
bool harness_is_held (const struct node *agent, const struct caller *caller);
struct harness_totals
{
  struct caller_stats sum[CALLER_GET + 1]; /**< By kind.  */
  uint64_t doubled; /**< Records executed more than once.  */
  uint64_t lost;    /**< Records accepted but never executed.  */
  uint64_t violations;
  uint64_t wrong_service;
};
struct harness_totals harness_get_totals (struct harness *h);

struct node *harness_get_node (struct harness *h, const char *id);
unsigned harness_get_node_count (const struct harness *h);
struct node *harness_get_node_at (struct harness *h, unsigned index);

/* Store.  */

/** Write a contract; readers get it when the store is up.  Returns its
    revision.  */
uint64_t harness_put_contract (struct harness *h, const char *json);
/** The store comes back with an older contract and its older revision, as
    after a restore from a backup.  */
void harness_restore_contract (struct harness *h, const char *json,
                               uint64_t revision);
/** Write a domain order through the store.  */
uint64_t harness_order_domain (struct harness *h, unsigned domain, bool out);
/** Give the order to one balancer directly.  */
uint64_t harness_order_domain_directly (struct harness *h, unsigned domain,
                                        bool out, struct node *balancer);
/** Next order; it takes effect only when it is given.  */
struct rgy_domain_order harness_make_order (struct harness *h, unsigned domain,
                                            bool out);
/** Put an order in the store.  */
void harness_put_order (struct harness *h,
                        const struct rgy_domain_order *order);
/** Give an order to a balancer.  */
void harness_give_order (struct harness *h,
                         const struct rgy_domain_order *order,
                         struct node *balancer);
/** Readers see writes this late, each by another third of it.  */
void harness_set_store_delay (struct harness *h, int64_t delay_us);
void harness_set_store_down (struct harness *h, bool down);

/* Faults.  */

void harness_kill (struct harness *h, struct node *node);
/** Start again with a new epoch; the backend server restarts cold too when
    @p backend_too.  */
void harness_restart (struct harness *h, struct node *node, bool backend_too);
void harness_freeze (struct harness *h, struct node *node, bool frozen);
/** Drop datagrams from @p from to @p to; one way.  */
void harness_cut (struct harness *h, struct node *from, struct node *to,
                  bool cut);
void harness_set_loss (struct harness *h, unsigned percent);
void harness_set_disorder (struct harness *h, unsigned reorder_percent,
                           unsigned duplicate_percent);
void harness_drain (struct harness *h, struct node *node);
void harness_make_cold (struct node *agent);

/** New version of the boards of all backend servers of a service.  */
void harness_bump_boards (struct harness *h, struct rgy_endpoint service);

/* Time.  */

int64_t harness_now_us (const struct harness *h);
/** Handle all events up to a time from now.  */
void harness_run (struct harness *h, int64_t duration_us);

#endif
