#ifndef RGY_FAULT_MATRIX_H
#define RGY_FAULT_MATRIX_H

/**
 * @file
 * Fault matrix: each fault during each step, on the in-memory harness, with
 * the guarantees of section 1.2 of the design checked after it.
 */

#include "deployment.h"

enum fault
{
  FAULT_NONE,
  FAULT_KILL_AGENT,
  FAULT_KILL_BALANCER,
  FAULT_FREEZE_AGENT,
  FAULT_FREEZE_BALANCER,
  FAULT_CUT_AGENT_ONE_WAY,    /**< It hears all, nobody hears it.  */
  FAULT_CUT_AGENTS_ONE_WAY,   /**< One agent does not hear another.  */
  FAULT_CUT_BALANCER_ONE_WAY, /**< It does not hear other balancers.  */
  FAULT_CUT_AGENT,            /**< From all others, both ways.  */
  FAULT_CUT_AGENTS,           /**< Two agents from each other.  */
  FAULT_CUT_BALANCER,         /**< From other balancers, both ways.  */
  FAULT_CUT_DOMAIN,           /**< Third failure domain from the others.  */
  FAULT_LOSS_5,
  FAULT_LOSS_20,
  FAULT_DISORDER, /**< Reordering and duplication.  */
  FAULT_STORE_DOWN,
  FAULT_STORE_SLOW,
  FAULT_STORE_ANSWER_LOST, /**< The operator repeats a write that took
                              effect.  */
  FAULT_LEASE_LAPSED,      /**< Agent paused until it was declared dead.  */
  FAULT_OPERATORS_RACE,
  FAULT_BACKEND_COLD,
  FAULT_SILENT_CONNECTION, /**< Between one agent and one balancer.  */
  FAULT_READINGS_LAG,      /**< Health and load come late and look bad.  */
  FAULT_READINGS_LIE,      /**< Health and load look good, work is ignored.  */
  FAULT_UNEVEN_UPDATES,    /**< A balancer misses gossip while an agent leaves
                              and returns.  */
  FAULT_COUNT
};
extern const char *const fault_string[];

enum step
{
  STEP_OPEN,
  STEP_REQUEST,
  STEP_IDLE,
  STEP_DRAIN,
  STEP_HANDOVER, /**< A returning agent gets its share of the sessions.  */
  STEP_DOMAIN_OUT,
  STEP_DOMAIN_BACK,
  STEP_CONTRACT,
  STEP_BALANCER_JOIN,
  STEP_BALANCER_LEAVE,
  STEP_COUNT
};
extern const char *const step_string[];

struct cell
{
  enum fault fault;
  enum step step;
  unsigned point;          /**< Of section 1.2 that it is there for.  */
  const char *meaningless; /**< Reason why it is not run, or NULL.  */
};
extern const struct cell cells[];
extern const size_t cell_count;

#define MAX_FAULTS 2
#define OUT_DOMAIN 1 /**< Failure domain that operators take out.  */
#define CUT_DOMAIN 2

struct active_fault
{
  enum fault fault;
  int64_t begin_us;
  int64_t hold_us;
  int64_t end_us; /**< INT64_MAX until it has begun.  */
  bool begun;
  bool ended;
  struct node *agent;
  struct node *peer;
  struct node *balancer;
};

struct run
{
  char name[96];
  uint64_t seed;
  struct deployment *d;
  GRand *random;
  struct active_fault faults[MAX_FAULTS];
  size_t fault_count;
  enum step step;
  int64_t step_us;
  bool stepped;
  int64_t start_us;
  unsigned point;
  unsigned failures;

  struct node *subject;          /**< Agent that drains or returns.  */
  struct node *subject_balancer; /**< Balancer that leaves.  */
  GPtrArray *watches;            /**< struct caller.  */
  GArray *registrations; /**< Of each watch before the step, uint64_t.  */
  GPtrArray *busy;       /**< Added for the step; stopped after it.  */
  GHashTable *excused;   /**< Watches that may break.  */
  struct harness_totals before; /**< When the cell's time begins.  */
  bool requests_may_fail;
  bool answers_may_be_lost;
  bool boards_idle;

  /* Configuration that must be in force.  */
  uint64_t revision;
  int64_t revision_us;
  struct rgy_domain_order order;
  int64_t order_us;
  int64_t direct_us; /**< When it is given directly, or 0.  */
  int64_t drain_us;
  struct
  {
    uint32_t incarnation;
    uint64_t revision;
    bool reported;
    bool late;
  } seen[H_MAX_NODES];
};

void run_fail (struct run *r, unsigned point, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* faults.c */
void fault_prepare (struct run *r, struct active_fault *f);
/** Begin and end the faults that are due.  */
void fault_tick (struct run *r);
/** True while the fault, or 100 ms before it, may break flows of an agent.  */
bool fault_harms (const struct run *r, const struct node *agent);
/** End of the last fault that keeps a node from hearing of a change; 0 when
    there is none, INT64_MAX while it lasts.  */
int64_t fault_get_reachable_us (const struct run *r, const struct node *node);
/** End of a store outage that keeps a change from some processes: a contract
    that no reader has seen, or an order while balancers are cut off from each
    other; 0 when there is none, INT64_MAX while it lasts.  */
int64_t fault_get_store_us (const struct run *r);
bool fault_is_active (const struct run *r, enum fault fault);
bool fault_has (const struct run *r, enum fault fault);

/* steps.c */
void step_prepare (struct run *r);
void step_tick (struct run *r);
void step_put_contract (struct run *r);
void step_add_busy_callers (struct run *r);

/* checks.c */
/** Sample; call every 100 ms.  */
void check_tick (struct run *r);
/** Watches and processes, while the callers are still there.  */
void check_state (struct run *r);
/** Requests, when the last one has ended.  */
void check_outcomes (struct run *r);

#endif
