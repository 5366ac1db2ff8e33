#ifndef RAGWORTYOKE_ADMISSION_H
#define RAGWORTYOKE_ADMISSION_H

/**
 * @file
 * Admission of requests to one backend server: slots, cold start, a bounded
 * queue with deadlines, and a budget for retries.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/outcome.h"

#define RGY_ADMISSION_DEFAULT_QUEUE 16
#define RGY_ADMISSION_DEFAULT_DEADLINE_MS 2000
#define RGY_ADMISSION_COLD_LIMIT 1
#define RGY_ADMISSION_COMPLETIONS_PER_STEP 8

struct rgy_admission_settings
{
  unsigned slots;        /**< Most requests in execution, 1 or more.  */
  unsigned queue_length; /**< Most requests waiting.  */
  bool cold_start;       /**< False disables slow start; baselines only.  */
};

/** Why the limit was cut.  */
enum rgy_cold_reason
{
  RGY_COLD_START,   /**< The agent or the backend server has just started.  */
  RGY_COLD_LATENCY, /**< Latency far above the moving average.  */
  RGY_COLD_SHED,    /**< The backend server refused a request.  */
  RGY_COLD_REFUSED, /**< The backend server's socket was refused.  */
  RGY_COLD_PROBE,   /**< A health probe failed.  */
  RGY_COLD_DOMAIN,  /**< The failure domain has come back.  */
  RGY_COLD_REASON_COUNT
};
extern const char *const rgy_cold_reason_string[];

enum rgy_admission_verdict
{
  RGY_ADMISSION_RUN,       /**< In execution now: deliver it.  */
  RGY_ADMISSION_QUEUED,    /**< Waiting; see rgy_admission_next().  */
  RGY_ADMISSION_REFUSED,   /**< Queue full.  */
  RGY_ADMISSION_DEADLINE,  /**< The deadline has already passed.  */
  RGY_ADMISSION_DUPLICATE, /**< This ID is already waiting or running.  */
};

enum rgy_completion
{
  RGY_COMPLETION_OK,
  RGY_COMPLETION_SHED,      /**< The backend server refused it.  */
  RGY_COMPLETION_FAILED,    /**< Error answer or refused socket.  */
  RGY_COMPLETION_CANCELLED, /**< Cancelled by the caller.  */
  RGY_COMPLETION_LOST       /**< No answer by the deadline.  */
};

/** A request that has reached its deadline.  */
struct rgy_admission_expired
{
  uint64_t id;
  bool was_running; /**< False: nothing was delivered.  */
};

struct rgy_admission;

struct rgy_admission *
rgy_admission_new (const struct rgy_admission_settings *settings);
void rgy_admission_delete (struct rgy_admission *admission);

/** Ask to run request @p id (unique, not 0) before @p deadline_us.  */
enum rgy_admission_verdict rgy_admission_submit (struct rgy_admission *a,
                                                 uint64_t id,
                                                 int64_t deadline_us,
                                                 int64_t now_us);

/** End of a running request.  Unknown IDs give RGY_ERR_NOT_FOUND.
    RGY_COMPLETION_LOST keeps its slot charged for one more deadline, and at
    least for the latency at which the limit is cut, because the backend server
    may still execute it.  Any other completion of a lost request releases its
    slot at once and has no further effect.  */
enum rgy_outcome rgy_admission_complete (struct rgy_admission *a, uint64_t id,
                                         enum rgy_completion completion,
                                         int64_t now_us);

/** Remove a waiting request.  @return RGY_OK or RGY_ERR_NOT_FOUND (it is
    running or unknown).  */
enum rgy_outcome rgy_admission_cancel (struct rgy_admission *a, uint64_t id);

/** Move the next waiting request into execution, in arrival order.
    @return true and its ID, or false when none can start.  */
bool rgy_admission_next (struct rgy_admission *a, int64_t now_us,
                         uint64_t *id);

/** Take one request whose deadline has passed.  A running one counts as
    RGY_COMPLETION_LOST.  @return false when there is none.  */
bool rgy_admission_expire (struct rgy_admission *a, int64_t now_us,
                           struct rgy_admission_expired *expired);

/** Cut the limit to RGY_ADMISSION_COLD_LIMIT at once.  */
void rgy_admission_set_cold (struct rgy_admission *a,
                             enum rgy_cold_reason reason, int64_t now_us);

/** Upper bound from the health module; 0 stops new executions.  */
void rgy_admission_set_ceiling (struct rgy_admission *a, unsigned ceiling);

/** Lower of the own limit and the ceiling.  */
unsigned rgy_admission_get_limit (const struct rgy_admission *a);
/** Charged slots: requests in execution and lost ones.  */
unsigned rgy_admission_get_running (const struct rgy_admission *a);
unsigned rgy_admission_get_queued (const struct rgy_admission *a);
/** True from a cut until the limit has risen to the slots again.  */
bool rgy_admission_is_cold (const struct rgy_admission *a);
enum rgy_cold_reason
rgy_admission_get_cold_reason (const struct rgy_admission *a);
uint64_t rgy_admission_get_cold_cuts (const struct rgy_admission *a);

/* Retry budget: retries stay under a share of the deliveries in a window.  */

struct rgy_retry_budget;

/** @param percent  most retries for 100 deliveries in the last 10 s.  */
struct rgy_retry_budget *rgy_retry_budget_new (unsigned percent);
void rgy_retry_budget_delete (struct rgy_retry_budget *budget);
void rgy_retry_budget_note_delivery (struct rgy_retry_budget *budget,
                                     int64_t now_us);
/** @return true when a retry is allowed; it is then counted, and must not be
    noted as a delivery too.  */
bool rgy_retry_budget_take (struct rgy_retry_budget *budget, int64_t now_us);

#endif
