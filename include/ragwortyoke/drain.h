#ifndef RAGWORTYOKE_DRAIN_H
#define RAGWORTYOKE_DRAIN_H

/**
 * @file
 * Stages of an agent's graceful shutdown.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Time for the announcement to reach balancers and peers before flows are
    moved.  */
#define RGY_DRAIN_ANNOUNCE_US INT64_C (500000)

enum rgy_drain_stage
{
  RGY_DRAIN_NONE,       /**< The agent is not draining.  */
  RGY_DRAIN_ANNOUNCING, /**< No new flows are accepted; the announcement
                           spreads.  */
  RGY_DRAIN_MOVING,     /**< Requests finish, observations are handed over.  */
  RGY_DRAIN_LINGERING,  /**< No work is left; late packets are forwarded.  */
  RGY_DRAIN_DONE,       /**< The process may exit.  */
  RGY_DRAIN_STAGE_COUNT
};
extern const char *const rgy_drain_stage_string[];

/** Work that is left at a draining agent.  */
struct rgy_drain_work
{
  size_t flows;
  unsigned running;
  unsigned queued;
  size_t transfers;
};

struct rgy_drain;

/** @param timeout_us  the drain ends after this time in any case.
    @param linger_us   time in RGY_DRAIN_LINGERING.  */
struct rgy_drain *rgy_drain_new (int64_t timeout_us, int64_t linger_us);
void rgy_drain_delete (struct rgy_drain *drain);
/** Start the drain.  A drain under way is not restarted.  */
void rgy_drain_start (struct rgy_drain *drain, int64_t now_us);
/** Advance by at most one stage.  Work that appears while lingering leads back
    to RGY_DRAIN_MOVING.
    @return true when the stage changed.  */
bool rgy_drain_tick (struct rgy_drain *drain,
                     const struct rgy_drain_work *work, int64_t now_us);
enum rgy_drain_stage rgy_drain_get_stage (const struct rgy_drain *drain);
/** @return true when the drain ended by its timeout with work left.  */
bool rgy_drain_is_forced (const struct rgy_drain *drain);

#endif
