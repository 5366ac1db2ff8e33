#ifndef RAGWORTYOKE_ADMISSION_H
#define RAGWORTYOKE_ADMISSION_H

/**
 * @file
 * Admission control for the requests to one backend server: a concurrency
 * limit with warm-up, a bounded queue with deadlines, and a budget for
 * retries.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/outcome.h"

#define RGY_ADMISSION_DEFAULT_QUEUE_LENGTH 16
#define RGY_ADMISSION_DEFAULT_DEADLINE_MS 2000
#define RGY_ADMISSION_COLD_LIMIT 1
#define RGY_ADMISSION_COMPLETIONS_PER_STEP 8

struct rgy_admission_settings
{
  unsigned slots;        /**< Highest concurrency limit, 1 or more.  */
  unsigned queue_length; /**< Highest number of requests in the queue.  */
  bool cold_start;       /**< False disables the warm-up; for baselines.  */
};

/** Reason for the last reset of the limit to RGY_ADMISSION_COLD_LIMIT.  */
enum rgy_cold_reason
{
  RGY_COLD_START,   /**< The agent or the backend server has just started.  */
  RGY_COLD_LATENCY, /**< A latency was far above the moving average.  */
  RGY_COLD_SHED,    /**< The backend server refused a request.  */
  RGY_COLD_REFUSED, /**< The backend server refused a socket.  */
  RGY_COLD_PROBE,   /**< A health probe failed.  */
  RGY_COLD_DOMAIN,  /**< The failure domain is back in service.  */
  RGY_COLD_REASON_COUNT
};
extern const char *const rgy_cold_reason_string[];

enum rgy_admission_verdict
{
  RGY_ADMISSION_RUN,       /**< The request is in execution: deliver it.  */
  RGY_ADMISSION_QUEUED,    /**< The request is in the queue; see
                              rgy_admission_next().  */
  RGY_ADMISSION_REFUSED,   /**< The queue is full.  */
  RGY_ADMISSION_DEADLINE,  /**< The deadline has already passed.  */
  RGY_ADMISSION_DUPLICATE, /**< A request with this ID is in the queue or in
                              execution.  */
};

enum rgy_completion
{
  RGY_COMPLETION_OK,
  RGY_COMPLETION_SHED,      /**< The backend server refused the request.  */
  RGY_COMPLETION_FAILED,    /**< The backend server answered with an error or
                               refused the socket.  */
  RGY_COMPLETION_CANCELLED, /**< The caller cancelled the request.  */
  RGY_COMPLETION_LOST       /**< No answer arrived by the deadline.  */
};

/** A request whose deadline has passed.  */
struct rgy_admission_expired
{
  uint64_t id;
  bool was_running; /**< False: the request was never delivered.  */
};

struct rgy_admission;

struct rgy_admission *
rgy_admission_new (const struct rgy_admission_settings *settings);
void rgy_admission_delete (struct rgy_admission *admission);

/** Submit request @p id (unique, not 0), to be run before @p deadline_us.  */
enum rgy_admission_verdict rgy_admission_submit (struct rgy_admission *a,
                                                 uint64_t id,
                                                 int64_t deadline_us,
                                                 int64_t now_us);

/** Record the end of a running request.  RGY_COMPLETION_LOST keeps the slot
    charged for one more deadline, and at least for the latency at which the
    limit is reset, because the backend server may still execute the request.
    Any other completion of a lost request releases its slot at once and has no
    further effect.
    @return RGY_OK, or RGY_ERR_NOT_FOUND for an unknown ID.  */
enum rgy_outcome rgy_admission_complete (struct rgy_admission *a, uint64_t id,
                                         enum rgy_completion completion,
                                         int64_t now_us);

/** Remove a request from the queue.
    @return RGY_OK, or RGY_ERR_NOT_FOUND when the request is running or
    unknown.  */
enum rgy_outcome rgy_admission_cancel (struct rgy_admission *a, uint64_t id);

/** Move the next request from the queue into execution, in arrival order.
    @return true and the request's ID in @p id, or false when none can start.
 */
bool rgy_admission_next (struct rgy_admission *a, int64_t now_us,
                         uint64_t *id);

/** Remove one request whose deadline has passed.  A running request counts as
    RGY_COMPLETION_LOST.
    @return false when there is no such request.  */
bool rgy_admission_expire (struct rgy_admission *a, int64_t now_us,
                           struct rgy_admission_expired *expired);

/** Reset the limit to RGY_ADMISSION_COLD_LIMIT at once.  */
void rgy_admission_set_cold (struct rgy_admission *a,
                             enum rgy_cold_reason reason, int64_t now_us);

/** Set the upper bound that the health module gives; 0 stops new requests.  */
void rgy_admission_set_ceiling (struct rgy_admission *a, unsigned ceiling);

/** @return the lower of the concurrency limit and the ceiling.  */
unsigned rgy_admission_get_limit (const struct rgy_admission *a);
/** @return the number of charged slots: requests in execution and lost
    ones.  */
unsigned rgy_admission_get_running (const struct rgy_admission *a);
unsigned rgy_admission_get_queued (const struct rgy_admission *a);
/** @return true from a reset of the limit until it has risen to the slots.  */
bool rgy_admission_is_cold (const struct rgy_admission *a);
enum rgy_cold_reason
rgy_admission_get_cold_reason (const struct rgy_admission *a);
uint64_t rgy_admission_get_cold_resets (const struct rgy_admission *a);

/* Retry budget: bounds retries to a percentage of the deliveries in a sliding
   window.  */

struct rgy_retry_budget;

/** @param percent  retries allowed per 100 deliveries in the last 10 s.  */
struct rgy_retry_budget *rgy_retry_budget_new (unsigned percent);
void rgy_retry_budget_delete (struct rgy_retry_budget *budget);
void rgy_retry_budget_note_delivery (struct rgy_retry_budget *budget,
                                     int64_t now_us);
/** Charge the budget for one retry.
    @return true when the retry is allowed.  The retry is then counted, and
    must not be noted as a delivery too.  */
bool rgy_retry_budget_charge (struct rgy_retry_budget *budget, int64_t now_us);

#endif
