#ifndef RGY_FAULT_MATRIX_H
#define RGY_FAULT_MATRIX_H

/**
 * @file
 * Fault matrix: injects each fault during each step on the simulated
 * deployment of the harness, and checks the guarantees of section 1.2 of the
 * design during and after it.
 */

#include "deployment.h"

/** Faults; fault_string[] has their names on the command line and in
    KNOWN-RED.txt.  */
enum fault
{
  FAULT_NONE,
  FAULT_KILL_AGENT,
  FAULT_KILL_BALANCER,
  FAULT_FREEZE_AGENT,
  FAULT_FREEZE_BALANCER,
  FAULT_PARTITION_AGENT_ONE_WAY,    /**< All datagrams from an agent to
                                       other processes are dropped; those to
                                       the agent are not.  */
  FAULT_PARTITION_AGENTS_ONE_WAY,   /**< One agent's datagrams don't reach
                                       another agent.  */
  FAULT_PARTITION_BALANCER_ONE_WAY, /**< A balancer receives no datagrams of
                                       the other balancers.  */
  FAULT_PARTITION_AGENT,    /**< No datagrams pass between an agent and the
                               other processes.  */
  FAULT_PARTITION_AGENTS,   /**< No datagrams pass between two agents.  */
  FAULT_PARTITION_BALANCER, /**< No datagrams pass between a balancer and the
                               other balancers.  */
  FAULT_PARTITION_DOMAIN, /**< No datagrams pass between PARTITIONED_DOMAIN and
                             the other failure domains.  */
  FAULT_LOSS_5,           /**< 5% loss between failure domains.  */
  FAULT_LOSS_20,          /**< 20% loss between failure domains.  */
  FAULT_DISORDER,         /**< Reordering and duplication.  */
  FAULT_STORE_DOWN,
  FAULT_STORE_SLOW,
  FAULT_STORE_ANSWER_LOST, /**< The store's response to a write is lost after
                              the write took effect, and the operator
                              repeats it.  */
  FAULT_LEASE_EXPIRED,     /**< An agent is paused for long enough that it is
                              declared dead.  */
  FAULT_OPERATORS_RACE,    /**< Two operators change the same configuration
                              at once.  */
  FAULT_BACKEND_COLD, /**< A backend server becomes cold while it runs.  */
  FAULT_HALF_OPEN_CONNECTION, /**< No datagrams pass between one agent and one
                                 balancer, in either direction.  */
  FAULT_PROBE_ANSWERS_LATE,   /**< A backend server's health and load endpoints
                                 answer late and report that all slots are
                                 in use.  */
  FAULT_PROBE_ANSWERS_WRONG,  /**< A backend server drops requests while its
                                 health and load endpoints report that it
                                 is idle.  */
  FAULT_UNEVEN_UPDATES, /**< A balancer misses the gossip of the others while
                           an agent drains and returns.  */
  FAULT_COUNT
};
extern const char *const fault_string[];

/** Steps of operation during which the faults are injected.  */
enum step
{
  STEP_OPEN,        /**< New callers open flows.  */
  STEP_REQUEST,     /**< Additional callers post records.  */
  STEP_IDLE,        /**< The boards don't change.  */
  STEP_DRAIN,       /**< An agent drains.  */
  STEP_HANDOVER,    /**< Sessions move to an agent that returns.  */
  STEP_DOMAIN_OUT,  /**< An operator takes OUT_DOMAIN out.  */
  STEP_DOMAIN_BACK, /**< An operator puts OUT_DOMAIN back.  */
  STEP_CONTRACT,    /**< An operator changes the contract.  */
  STEP_BALANCER_JOIN,
  STEP_BALANCER_LEAVE,
  STEP_COUNT
};
extern const char *const step_string[];

/** One fault during one step.  */
struct cell
{
  enum fault fault;
  enum step step;
  unsigned guarantee;         /**< Number in section 1.2 of the guarantee that
                                 the cell mainly tests.  */
  const char *not_run_reason; /**< Why the combination isn't applicable,
                                 or NULL.  */
};
extern const struct cell cells[];
extern const size_t cell_count;

#define MAX_FAULTS 2
/** Failure domain that operators take out.  */
#define OUT_DOMAIN 1
/** Failure domain of FAULT_PARTITION_DOMAIN.  */
#define PARTITIONED_DOMAIN 2

/** A fault of a run, and the processes that it affects.  */
struct active_fault
{
  enum fault fault;
  int64_t begin_us; /**< Planned time, replaced by the actual time when the
                       fault begins.  */
  int64_t duration_us;
  int64_t end_us; /**< INT64_MAX until the fault has begun.  */
  bool begun;
  bool ended;
  struct node *agent;
  struct node *peer; /**< Second agent of a partition between agents.  */
  struct node *balancer;
};

/** One run of a cell, or of a pair of faults during a step.  */
struct run
{
  char name[96];
  uint64_t seed;
  struct deployment *d;
  GRand *random;
  struct active_fault faults[MAX_FAULTS];
  size_t fault_count;
  enum step step;
  int64_t step_us; /**< Planned time of the step.  */
  bool step_begun;
  int64_t start_us;
  unsigned guarantee; /**< Guarantee that the cell mainly tests.  */
  unsigned failures;

  struct node *step_agent;       /**< Agent that drains or returns.  */
  struct node *leaving_balancer; /**< Balancer that drains.  */
  GPtrArray *watches;            /**< struct caller.  */
  GArray *registrations;    /**< uint64_t for each watch, before the step.  */
  GPtrArray *extra_callers; /**< Callers added for the step or the final
                               check, stopped after it.  */
  GHashTable *excused_watches; /**< Watches whose sessions may break.  */
  struct harness_totals totals_before; /**< Totals when the run starts.  */
  bool requests_may_fail;
  bool answers_may_be_lost;
  bool boards_idle;

  /* Configuration that must take effect, with the times at which it was
     written; 0 when nothing was written.  */
  uint64_t revision;
  int64_t revision_us;
  struct rgy_domain_order order;
  int64_t order_us;
  int64_t direct_order_us; /**< When the order is due to be sent directly to a
                              balancer, or 0.  */
  int64_t drain_us;        /**< Start of the agent's drain, or 0.  */
  /* What the checks recorded of each node; the last element is used for the
     agent that drains.  */
  struct
  {
    uint32_t incarnation;
    uint64_t revision;
    bool config_reported; /**< A missing configuration change was reported.  */
    bool late_reported;   /**< A late datagram or request was reported.  */
  } observed[H_MAX_NODES];
};

/** Print a violation of a guarantee and count it as a failure of the run.  */
void run_report_failure (struct run *r, unsigned guarantee, const char *format,
                         ...) __attribute__ ((format (printf, 3, 4)));

/* faults.c */
/** Draw the processes, begin and duration of a fault.  */
void fault_prepare (struct run *r, struct active_fault *f);
/** Begin and end the faults that are due.  */
void fault_tick (struct run *r);
/** True from 100 ms before a fault until its end, if the fault may break
    flows of the agent.  */
bool fault_may_break_flows (const struct run *r, const struct node *agent);
/** End of the last fault that keeps a configuration change from a node: 0 when
    there is none, INT64_MAX while it lasts.  */
int64_t fault_get_isolation_end_us (const struct run *r,
                                    const struct node *node);
/** End of a store outage that keeps a change from some processes: a contract
    that no reader has received, such as that of FAULT_OPERATORS_RACE, or an
    order while balancers are partitioned.  0 when there is none, INT64_MAX
   while it lasts.  */
int64_t fault_get_store_outage_end_us (const struct run *r);
/** True between the begin and the end of a fault.  */
bool fault_is_active (const struct run *r, enum fault fault);
/** True when the run has a fault, whether or not it has begun.  */
bool fault_is_planned (const struct run *r, enum fault fault);

/* steps.c */
/** Bring the deployment into the state from which the step starts.  */
void step_prepare (struct run *r);
/** Begin the step, and its later parts, when they are due.  */
void step_tick (struct run *r);
/** Write a contract with another limit.  */
void step_put_contract (struct run *r);
/** Add callers that post a record every 100 ms.  */
void step_add_posters (struct run *r);

/* checks.c */
/** Check the processes at this instant; call it every 100 ms.  */
void check_sample (struct run *r);
/** Check watches, confirmations and the drain after the faults, while the
    callers are still active.  */
void check_state (struct run *r);
/** Check the results of all requests, when the last one has ended.  */
void check_outcomes (struct run *r);

#endif
