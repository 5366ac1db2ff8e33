#ifndef RGY_BENCH_H
#define RGY_BENCH_H

/**
 * @file
 * Clocks for the benchmarks, which print the times that they measure and
 * check none of them.
 */

#include <stdint.h>
#include <time.h>

/** Time of a clock in nanoseconds.  */
static inline int64_t
bench_read_clock_ns (clockid_t clock)
{
  struct timespec ts;

  clock_gettime (clock, &ts);
  return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

/** CPU time of the calling thread in nanoseconds.  */
static inline int64_t
bench_cpu_ns (void)
{
  return bench_read_clock_ns (CLOCK_THREAD_CPUTIME_ID);
}

/** Wall-clock time in nanoseconds from a start that is not specified.  */
static inline int64_t
bench_wall_ns (void)
{
  return bench_read_clock_ns (CLOCK_MONOTONIC);
}

#endif
