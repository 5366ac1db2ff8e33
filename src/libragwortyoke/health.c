#include "ragwortyoke/health.h"

#include <glib.h>

#include "ragwortyoke/clock.h"

/* A load report counts for this long; then only the agent's own count of
   requests limits the load.  */
#define LOAD_MAX_AGE_US (5 * RGY_US_PER_S)
/* An unhealthy server that has answered traffic within this time still
   receives one request at a time.  */
#define TRAFFIC_RECENT_US RGY_US_PER_S
#define NEVER_US INT64_MIN

const struct rgy_health_settings rgy_health_defaults = {
  .interval_us = RGY_US_PER_S,
  .timeout_us = 500 * RGY_US_PER_MS,
  .fail_after = 2,
  .recover_after = 2,
};

struct rgy_health
{
  struct rgy_health_settings settings;
  unsigned slots;
  bool healthy;
  unsigned failures;  /* Consecutive failed probes.  */
  unsigned successes; /* Consecutive successes.  */
  bool probe_pending;
  uint16_t sequence; /* Sequence number of the last probe.  */
  int64_t probe_us;
  int64_t traffic_us; /* Time of the last answer to traffic.  */
  unsigned load_in_use;
  int64_t load_us;
};

struct rgy_health *
rgy_health_new (const struct rgy_health_settings *settings, unsigned slots)
{
  struct rgy_health *health = g_new0 (struct rgy_health, 1);

  health->settings = *settings;
  health->slots = slots;
  health->healthy = true;
  health->probe_us = NEVER_US;
  health->traffic_us = NEVER_US;
  health->load_us = NEVER_US;
  return health;
}

void
rgy_health_delete (struct rgy_health *health)
{
  g_free (health);
}

static bool
is_within_ (int64_t at_us, int64_t span_us, int64_t now_us)
{
  return at_us != NEVER_US && now_us - at_us <= span_us;
}

static enum rgy_health_change
note_success_ (struct rgy_health *health)
{
  health->failures = 0;
  if (health->successes < health->settings.recover_after)
    health->successes++;
  if (health->healthy || health->successes < health->settings.recover_after)
    return RGY_HEALTH_UNCHANGED;
  health->healthy = true;
  return RGY_HEALTH_RECOVERED;
}

static enum rgy_health_change
set_unhealthy_ (struct rgy_health *health)
{
  if (!health->healthy)
    return RGY_HEALTH_UNCHANGED;
  health->healthy = false;
  return RGY_HEALTH_FAILED;
}

static enum rgy_health_change
note_failure_ (struct rgy_health *health)
{
  health->successes = 0;
  if (health->failures < health->settings.fail_after)
    health->failures++;
  if (health->failures < health->settings.fail_after)
    return RGY_HEALTH_UNCHANGED;
  return set_unhealthy_ (health);
}

bool
rgy_health_start_probe (struct rgy_health *health, int64_t now_us,
                        uint16_t *sequence)
{
  if (health->probe_pending
      || (health->probe_us != NEVER_US
          && now_us - health->probe_us < health->settings.interval_us))
    return false;
  health->probe_pending = true;
  health->probe_us = now_us;
  *sequence = ++health->sequence;
  return true;
}

enum rgy_health_change
rgy_health_note_answer (struct rgy_health *health, uint16_t sequence,
                        int64_t now_us)
{
  if (!health->probe_pending || sequence != health->sequence
      || !is_within_ (health->probe_us, health->settings.timeout_us, now_us))
    return RGY_HEALTH_UNCHANGED;
  health->probe_pending = false;
  return note_success_ (health);
}

enum rgy_health_change
rgy_health_note_refused (struct rgy_health *health, int64_t now_us)
{
  (void)now_us;
  health->probe_pending = false;
  health->successes = 0;
  health->failures = health->settings.fail_after;
  /* Answers from before the refusal came from a process that no longer
     exists.  */
  health->traffic_us = NEVER_US;
  return set_unhealthy_ (health);
}

enum rgy_health_change
rgy_health_note_traffic (struct rgy_health *health, int64_t now_us)
{
  health->traffic_us = now_us;
  return note_success_ (health);
}

enum rgy_health_change
rgy_health_tick (struct rgy_health *health, int64_t now_us)
{
  if (!health->probe_pending
      || is_within_ (health->probe_us, health->settings.timeout_us, now_us))
    return RGY_HEALTH_UNCHANGED;
  health->probe_pending = false;
  return note_failure_ (health);
}

void
rgy_health_note_load (struct rgy_health *health, unsigned in_use,
                      int64_t now_us)
{
  health->load_in_use = in_use;
  health->load_us = now_us;
}

bool
rgy_health_is_healthy (const struct rgy_health *health)
{
  return health->healthy;
}

unsigned
rgy_health_get_ceiling (const struct rgy_health *health, int64_t now_us)
{
  if (!health->healthy)
    return is_within_ (health->traffic_us, TRAFFIC_RECENT_US, now_us) ? 1 : 0;
  if (!is_within_ (health->load_us, LOAD_MAX_AGE_US, now_us))
    return health->slots;
  if (health->load_in_use >= health->slots)
    return 1;
  return health->slots - health->load_in_use;
}
