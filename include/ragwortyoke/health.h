#ifndef RAGWORTYOKE_HEALTH_H
#define RAGWORTYOKE_HEALTH_H

/**
 * @file
 * Health of the backend server.  Probes and the server's own endpoints may
 * lag or mislead, so they lower the admission limit and never raise it.
 */

#include <stdbool.h>
#include <stdint.h>

struct rgy_health_settings
{
  int64_t interval_us;    /**< Between probes; 1 s.  */
  int64_t timeout_us;     /**< A probe without answer fails; 500 ms.  */
  unsigned fail_after;    /**< Consecutive failures to unhealthy; 2.  */
  unsigned recover_after; /**< Consecutive successes to healthy; 2.  */
};
extern const struct rgy_health_settings rgy_health_defaults;

enum rgy_health_change
{
  RGY_HEALTH_UNCHANGED,
  RGY_HEALTH_FAILED,   /**< Now unhealthy: treat as cold.  */
  RGY_HEALTH_RECOVERED /**< Healthy again: still cold.  */
};

struct rgy_health;

struct rgy_health *rgy_health_new (const struct rgy_health_settings *settings,
                                   unsigned slots);
void rgy_health_delete (struct rgy_health *health);

/** One probe is pending at a time; call rgy_health_tick() first.
    @return true when a probe is due; @p sequence identifies it.  */
bool rgy_health_probe_due (struct rgy_health *health, int64_t now_us,
                           uint16_t *sequence);
/** Answer to a probe.  Late and unknown sequences are ignored.  */
enum rgy_health_change rgy_health_note_answer (struct rgy_health *health,
                                               uint16_t sequence,
                                               int64_t now_us);
/** The socket was refused: unhealthy at once, since nothing listens.  */
enum rgy_health_change rgy_health_note_refused (struct rgy_health *health,
                                                int64_t now_us);
/** Any answer to real work counts as a success.  */
enum rgy_health_change rgy_health_note_work (struct rgy_health *health,
                                             int64_t now_us);
/** Account for probes that timed out.  */
enum rgy_health_change rgy_health_tick (struct rgy_health *health,
                                        int64_t now_us);
/** Load reported by the backend server, in slots in use by others; lowers
    the ceiling to slots - in_use (at least 1) for 5 s.  */
void rgy_health_note_load (struct rgy_health *health, unsigned in_use,
                           int64_t now_us);
bool rgy_health_is_healthy (const struct rgy_health *health);
/** Ceiling for admission, 0 to slots.  An unhealthy server gets 0 unless
    it answered work within the last second, else 1.  */
unsigned rgy_health_get_ceiling (const struct rgy_health *health,
                                 int64_t now_us);

#endif
