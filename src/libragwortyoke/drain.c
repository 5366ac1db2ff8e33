#include "ragwortyoke/drain.h"

#include <glib.h>

const char *const rgy_drain_stage_string[] = {
  [RGY_DRAIN_NONE] = "none",     [RGY_DRAIN_ANNOUNCING] = "announcing",
  [RGY_DRAIN_MOVING] = "moving", [RGY_DRAIN_LINGERING] = "lingering",
  [RGY_DRAIN_DONE] = "done",
};
G_STATIC_ASSERT (G_N_ELEMENTS (rgy_drain_stage_string)
                 == RGY_DRAIN_STAGE_COUNT);

struct rgy_drain
{
  int64_t timeout_us;
  int64_t linger_us;
  enum rgy_drain_stage stage;
  int64_t started_us;
  int64_t entered_us; /* Time of the last change of stage.  */
  bool forced;
};

struct rgy_drain *
rgy_drain_new (int64_t timeout_us, int64_t linger_us)
{
  struct rgy_drain *drain = g_new0 (struct rgy_drain, 1);

  drain->timeout_us = timeout_us;
  drain->linger_us = linger_us;
  return drain;
}

void
rgy_drain_delete (struct rgy_drain *drain)
{
  g_free (drain);
}

static bool
enter_stage_ (struct rgy_drain *drain, enum rgy_drain_stage stage,
              int64_t now_us)
{
  drain->stage = stage;
  drain->entered_us = now_us;
  return true;
}

void
rgy_drain_start (struct rgy_drain *drain, int64_t now_us)
{
  if (drain->stage != RGY_DRAIN_NONE)
    return;
  drain->started_us = now_us;
  enter_stage_ (drain, RGY_DRAIN_ANNOUNCING, now_us);
}

static bool
has_work_ (const struct rgy_drain_work *work)
{
  return work->flows > 0 || work->running > 0 || work->queued > 0
         || work->transfers > 0;
}

bool
rgy_drain_tick (struct rgy_drain *drain, const struct rgy_drain_work *work,
                int64_t now_us)
{
  int64_t in_stage_us = now_us - drain->entered_us;

  if (drain->stage == RGY_DRAIN_NONE || drain->stage == RGY_DRAIN_DONE)
    return false;
  if (now_us - drain->started_us >= drain->timeout_us)
    {
      drain->forced = has_work_ (work);
      return enter_stage_ (drain, RGY_DRAIN_DONE, now_us);
    }
  switch (drain->stage)
    {
    case RGY_DRAIN_ANNOUNCING:
      if (in_stage_us >= RGY_DRAIN_ANNOUNCE_US)
        return enter_stage_ (drain, RGY_DRAIN_MOVING, now_us);
      break;
    case RGY_DRAIN_MOVING:
      if (!has_work_ (work))
        return enter_stage_ (drain, RGY_DRAIN_LINGERING, now_us);
      break;
    case RGY_DRAIN_LINGERING:
      if (has_work_ (work))
        return enter_stage_ (drain, RGY_DRAIN_MOVING, now_us);
      if (in_stage_us >= drain->linger_us)
        return enter_stage_ (drain, RGY_DRAIN_DONE, now_us);
      break;
    case RGY_DRAIN_NONE:
    case RGY_DRAIN_DONE:
    case RGY_DRAIN_STAGE_COUNT:
      break;
    }
  return false;
}

enum rgy_drain_stage
rgy_drain_get_stage (const struct rgy_drain *drain)
{
  return drain->stage;
}

bool
rgy_drain_is_forced (const struct rgy_drain *drain)
{
  return drain->forced;
}
