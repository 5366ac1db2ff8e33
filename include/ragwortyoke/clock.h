#ifndef RAGWORTYOKE_CLOCK_H
#define RAGWORTYOKE_CLOCK_H

/**
 * @file
 * Clock interface.  The library reads time only through this interface, never
 * from the system clock.
 */

#include <stdint.h>
#include <time.h>

#define RGY_US_PER_MS INT64_C (1000)
#define RGY_US_PER_S INT64_C (1000000)

/** Source of monotonic time. */
struct rgy_clock
{
  /** Store the current time in @p ts. */
  void (*now) (void *ctx, struct timespec *ts);
  void *ctx; /**< Context passed to now().  */
};

/**
 * Read a clock.
 *
 * @return the current time in microseconds.
 */
int64_t rgy_clock_now_us (const struct rgy_clock *clock);

#endif
