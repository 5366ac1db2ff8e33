#ifndef RGY_BENCH_H
#define RGY_BENCH_H

/**
 * @file
 * Clocks of the benchmarks.  Their figures are only ever printed.
 */

#include <stdint.h>
#include <time.h>

static inline int64_t
bench_read_ns (clockid_t clock)
{
  struct timespec ts;

  clock_gettime (clock, &ts);
  return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

/** CPU time of the calling thread.  */
static inline int64_t
bench_cpu_ns (void)
{
  return bench_read_ns (CLOCK_THREAD_CPUTIME_ID);
}

static inline int64_t
bench_wall_ns (void)
{
  return bench_read_ns (CLOCK_MONOTONIC);
}

#endif
