#include "private/stream_agent_private.h"

struct rgy_request_terms
rgy_stream_agent_get_terms_ (struct rgy_stream_agent *agent,
                             const struct rgy_segment *segment, int64_t now_us)
{
  (void)agent;
  (void)now_us;
  return (struct rgy_request_terms){ .priority = RGY_PRIORITY_UNSTATED,
                                     .goal_us = segment->trail.goal_us };
}
