#include "ragwortyoke/clock.h"

#define NS_PER_US 1000

int64_t
rgy_clock_now_us (const struct rgy_clock *clock)
{
  struct timespec ts = { 0 };

  clock->now (clock->ctx, &ts);
  return (int64_t)ts.tv_sec * RGY_US_PER_S + ts.tv_nsec / NS_PER_US;
}
