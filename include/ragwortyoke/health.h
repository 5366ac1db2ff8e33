#ifndef RAGWORTYOKE_HEALTH_H
#define RAGWORTYOKE_HEALTH_H

/**
 * @file
 * Health of the backend server.  Probes and the server's own endpoints may lag
 * or mislead, so they lower the admission limit and never raise it.
 */

#include <stdbool.h>
#include <stdint.h>

struct rgy_health_settings
{
  int64_t interval_us; /**< Time between probes; by default 1 s.  */
  int64_t timeout_us; /**< Time after which a probe without an answer fails; by
                         default 500 ms.  */
  unsigned fail_after;    /**< Consecutive failures that make the server
                             unhealthy; by default 2.  */
  unsigned recover_after; /**< Consecutive successes that make the server
                             healthy again; by default 2.  */
};
extern const struct rgy_health_settings rgy_health_defaults;

enum rgy_health_change
{
  RGY_HEALTH_UNCHANGED,
  RGY_HEALTH_FAILED,   /**< The server became unhealthy: treat it as cold.  */
  RGY_HEALTH_RECOVERED /**< The server is healthy again, but cold.  */
};

struct rgy_health;

struct rgy_health *rgy_health_new (const struct rgy_health_settings *settings,
                                   unsigned slots);
void rgy_health_delete (struct rgy_health *health);

/** Start a probe if one is due.  At most one probe is pending; call
    rgy_health_tick() first.
    @return true when a probe is to be sent; @p sequence identifies it.  */
bool rgy_health_start_probe (struct rgy_health *health, int64_t now_us,
                             uint16_t *sequence);
/** Record the answer to a probe.  Late and unknown sequence numbers are
    ignored.  */
enum rgy_health_change rgy_health_note_answer (struct rgy_health *health,
                                               uint16_t sequence,
                                               int64_t now_us);
/** Record a refused socket.  The server is unhealthy at once, since no process
    listens.  */
enum rgy_health_change rgy_health_note_refused (struct rgy_health *health,
                                                int64_t now_us);
/** Record an answer to ordinary traffic, which counts as a success.  */
enum rgy_health_change rgy_health_note_traffic (struct rgy_health *health,
                                                int64_t now_us);
/** Record a failure for a probe that has timed out.  */
enum rgy_health_change rgy_health_tick (struct rgy_health *health,
                                        int64_t now_us);
/** Record the load that the backend server reports, as the number of slots
    that others use.  For 5 s the report lowers the ceiling to slots - in_use
    (at least 1).  */
void rgy_health_note_load (struct rgy_health *health, unsigned in_use,
                           int64_t now_us);
bool rgy_health_is_healthy (const struct rgy_health *health);
/** @return the ceiling for the admission limit, 0 to slots.  An unhealthy
    server gets 1 if it answered traffic within the last second, else 0.  */
unsigned rgy_health_get_ceiling (const struct rgy_health *health,
                                 int64_t now_us);

#endif
