#include "ragwortyoke/limit.h"

#include <glib.h>

#include "ragwortyoke/clock.h"

/* The reservation is reconsidered this often.  */
#define STEP_US (250 * RGY_US_PER_MS)
/* The reservation covers the highest usage of at least this time; a raise
   takes seconds, so it must not be given up in a short lull.  */
#define PEAK_WINDOW_US (2500 * RGY_US_PER_MS)
/* A refusal asks for a larger raise for this long.  */
#define REFUSAL_US RGY_US_PER_S
/* Every agent may reserve this part of the mean share at any time, so that an
   agent that starts to get traffic is not kept out by the others.  */
#define FLOOR_DIVISOR 10
/* After a conflict the other agents' reports must arrive before it is known
   whether the halved raise fits.  */
#define RETRY_US (750 * RGY_US_PER_MS)
/* Two agents that claim the last unit both withdraw; each waits for a
   different number of steps before it claims again.  */
#define BACKOFF_STEPS 24
/* When a new agent finds no room for its floor, one of the agents above the
   mean share gives way after this time and an own number of steps.  The time
   is longer than most conflicts of claims, which look the same.  */
#define YIELD_US (2 * RGY_US_PER_S)
#define SEED 0
#define NEVER_US INT64_MIN

struct peer_
{
  uint64_t instance; /* Hash of the name.  */
  uint64_t claim;
  int64_t reported_us; /* NEVER_US until the first report.  */
  int64_t changed_us;  /* Start of the present state; NEVER_US: not noted.  */
  bool live;
};

struct rgy_count_limit
{
  uint64_t limit;
  uint64_t usage;
  uint64_t reserved;  /* The usage is not raised above it.  */
  uint64_t claim;     /* Wanted reservation, not below the present one.  */
  int64_t claimed_us; /* First publication of a raise; NEVER_US: none.  */
  GArray *peers;
  uint64_t live_count;
  uint64_t self; /* Differs between the agents of one group.  */
  uint64_t peak; /* Highest usage in the present window.  */
  uint64_t previous_peak;
  int64_t window_us; /* Start of the present window.  */
  int64_t refused_us;
  int64_t backoff_until_us;
  int64_t retry_us; /* Earliest time to settle a claim after a conflict.  */
  uint64_t conflicts;
  int64_t short_since_us; /* Reserved does not fit since; NEVER_US: fits.  */
  int64_t last_step_us;
  int64_t next_step_us;
  int64_t resumed_us; /* End of the last pause of this process.  */
};

struct rgy_count_limit *
rgy_count_limit_new (uint64_t limit)
{
  struct rgy_count_limit *l = g_new0 (struct rgy_count_limit, 1);

  l->limit = limit;
  l->peers = g_array_new (FALSE, TRUE, sizeof (struct peer_));
  l->claimed_us = NEVER_US;
  l->refused_us = NEVER_US;
  l->backoff_until_us = NEVER_US;
  l->retry_us = NEVER_US;
  l->short_since_us = NEVER_US;
  l->window_us = NEVER_US;
  l->last_step_us = NEVER_US;
  l->next_step_us = NEVER_US;
  l->resumed_us = NEVER_US;
  return l;
}

void
rgy_count_limit_delete (struct rgy_count_limit *limit)
{
  if (limit == NULL)
    return;
  g_array_unref (limit->peers);
  g_free (limit);
}

/* Does "now - since >= span" hold; NEVER_US is long ago.  */
static bool
has_passed_ (int64_t since_us, int64_t span_us, int64_t now_us)
{
  return since_us == NEVER_US || now_us - since_us >= span_us;
}

void
rgy_count_limit_set_limit (struct rgy_count_limit *limit, uint64_t value)
{
  if (value == limit->limit)
    return;
  /* All agents scale by the same factor, so the sum stays within the new limit
     without an exchange.  */
  if (value != 0 && limit->limit != 0 && value < limit->limit)
    limit->reserved
        = (uint64_t)((__uint128_t)limit->reserved * value / limit->limit);
  else if (limit->limit == 0)
    limit->reserved = 0;
  limit->claim = limit->reserved;
  limit->claimed_us = NEVER_US;
  limit->limit = value;
  limit->next_step_us = NEVER_US;
}

static struct peer_ *
find_peer_ (struct rgy_count_limit *l, uint64_t instance)
{
  guint i;

  for (i = 0; i < l->peers->len; i++)
    {
      struct peer_ *p = &g_array_index (l->peers, struct peer_, i);

      if (p->instance == instance)
        return p;
    }
  return NULL;
}

static void
set_live_ (struct rgy_count_limit *l, uint64_t instance)
{
  struct peer_ *p = find_peer_ (l, instance);
  struct peer_ added = { .instance = instance,
                         .reported_us = NEVER_US,
                         .changed_us = NEVER_US,
                         .live = true };

  if (p == NULL)
    g_array_append_val (l->peers, added);
  else if (!p->live)
    {
      p->live = true;
      p->changed_us = NEVER_US;
    }
}

void
rgy_count_limit_set_instances (struct rgy_count_limit *limit,
                               const struct rgy_name *others, size_t count)
{
  uint64_t self = 0;
  guint i;
  size_t k;

  for (i = 0; i < limit->peers->len; i++)
    {
      struct peer_ *p = &g_array_index (limit->peers, struct peer_, i);
      bool live = false;

      for (k = 0; k < count; k++)
        live |= rgy_name_hash (&others[k], SEED) == p->instance;
      if (p->live && !live)
        {
          p->live = false;
          p->changed_us = NEVER_US;
        }
    }
  for (k = 0; k < count; k++)
    {
      set_live_ (limit, rgy_name_hash (&others[k], SEED));
      self ^= rgy_name_hash (&others[k], SEED);
    }
  limit->self = self;
  limit->live_count = count;
  limit->next_step_us = NEVER_US;
}

/* Notes since when peers are live or dead, and forgets those dead for
   long.  */
static void
age_peers_ (struct rgy_count_limit *l, int64_t now_us)
{
  guint i = 0;

  while (i < l->peers->len)
    {
      struct peer_ *p = &g_array_index (l->peers, struct peer_, i);

      if (p->changed_us == NEVER_US)
        p->changed_us = now_us;
      if (!p->live
          && has_passed_ (p->changed_us, RGY_LIMIT_REPORT_MAX_AGE_US, now_us))
        g_array_remove_index_fast (l->peers, i);
      else
        i++;
    }
}

/* What the other agents may reserve, and whether their claims are fresh.  */
struct others_
{
  uint64_t charged;
  bool fresh;
};

/* Floor of one of N agents; none when the limit is small, because it would
   tie up most of the limit.  */
static uint64_t
floor_of_ (const struct rgy_count_limit *l, uint64_t n)
{
  return l->limit < 2 * n ? 0 : MAX (1, l->limit / (FLOOR_DIVISOR * n));
}

/* Floor that every other agent is charged with.  */
static uint64_t
peer_floor_ (const struct rgy_count_limit *l)
{
  return floor_of_ (l, l->live_count + 1);
}

/* Own floor.  Dead agents still count, so that it grows only after the others
   know of the death and charge it.  */
static uint64_t
own_floor_ (const struct rgy_count_limit *l)
{
  return floor_of_ (l, l->peers->len + 1);
}

/* An agent that has not reported for RGY_LIMIT_REPORT_MAX_AGE_US although it
   is live no longer holds up the others: its exchange does not work.  It stays
   charged with its last claim, or with the mean share if there is none.  */
static struct others_
sum_peers_ (const struct rgy_count_limit *l, int64_t now_us)
{
  struct others_ others = { .fresh = true };
  guint i;

  for (i = 0; i < l->peers->len; i++)
    {
      const struct peer_ *p = &g_array_index (l->peers, struct peer_, i);
      int64_t since_us
          = p->reported_us == NEVER_US ? p->changed_us : p->reported_us;
      bool silent = has_passed_ (MAX (since_us, l->resumed_us),
                                 RGY_LIMIT_REPORT_MAX_AGE_US, now_us);
      uint64_t claim = p->claim;

      if (p->reported_us == NEVER_US && silent)
        claim = l->limit / (l->live_count + 1);
      others.charged += p->live ? MAX (claim, peer_floor_ (l)) : claim;
      if (p->live && !silent
          && has_passed_ (p->reported_us, RGY_COUNT_LIMIT_FRESH_US, now_us))
        others.fresh = false;
    }
  return others;
}

static uint64_t
update_peak_ (struct rgy_count_limit *l, int64_t now_us)
{
  l->peak = MAX (l->peak, l->usage);
  if (has_passed_ (l->window_us, PEAK_WINDOW_US, now_us))
    {
      l->previous_peak = l->peak;
      l->peak = l->usage;
      l->window_us = now_us;
    }
  return MAX (l->peak, l->previous_peak);
}

/* Number of steps that differs between agents and between draws.  */
static int64_t
draw_delay_us_ (const struct rgy_count_limit *l, uint64_t draw)
{
  return STEP_US
         * (int64_t)((l->self ^ (draw * 0x9e3779b97f4a7c15U)) % BACKOFF_STEPS);
}

/* Makes a raise effective that has been public for long enough, as far as it
   fits.  What does not fit collides with another agent's claim: the raise is
   halved, and the last unit withdrawn.  */
static void
settle_claim_ (struct rgy_count_limit *l, uint64_t room, int64_t now_us)
{
  uint64_t rest;

  l->reserved = MAX (l->reserved, MIN (l->claim, room));
  rest = l->claim - l->reserved;
  if (rest == 0)
    return;
  l->claim = l->reserved + rest / 2;
  l->retry_us = now_us + RETRY_US;
  if (rest > 1)
    return;
  l->conflicts++;
  l->backoff_until_us = now_us + draw_delay_us_ (l, l->conflicts);
}

/* Gives back a part of what does not fit beside the others.  */
static void
yield_ (struct rgy_count_limit *l, uint64_t room, int64_t now_us)
{
  uint64_t n = l->live_count + 1;

  if (l->reserved <= room || l->reserved <= l->limit / n)
    {
      l->short_since_us = NEVER_US;
      return;
    }
  if (l->short_since_us == NEVER_US)
    l->short_since_us = now_us;
  if (!has_passed_ (l->short_since_us, YIELD_US + draw_delay_us_ (l, 0),
                    now_us))
    return;
  l->reserved -= MAX (1, (l->reserved - room) / n);
  l->claim = l->reserved;
  l->short_since_us = now_us;
}

static void
step_ (struct rgy_count_limit *l, int64_t now_us)
{
  uint64_t peak = update_peak_ (l, now_us);
  struct others_ others;
  bool refused = !has_passed_ (l->refused_us, REFUSAL_US, now_us);
  uint64_t spare;
  uint64_t room;
  uint64_t want;

  age_peers_ (l, now_us);
  others = sum_peers_ (l, now_us);
  room = l->limit - MIN (l->limit, others.charged);
  if (l->live_count == 0)
    {
      l->reserved = room;
      l->claim = room;
      return;
    }
  spare = room - MIN (room, peak);
  want = peak + (refused ? MAX (1, spare / 2) : spare / (l->live_count + 1));
  want = MIN (MAX (want, own_floor_ (l)), l->limit);

  /* While requests are refused a raise is not given up because others claim
     the same room; settle_claim_() decides that.  */
  if (!refused)
    {
      l->claim = MIN (l->claim, want);
      l->reserved = MIN (l->reserved, l->claim);
    }
  yield_ (l, room, now_us);
  if (others.fresh && l->reserved < own_floor_ (l))
    {
      l->reserved = MAX (l->reserved, MIN (own_floor_ (l), room));
      l->claim = MAX (l->claim, l->reserved);
    }
  if (l->claim > l->reserved)
    {
      if (others.fresh && l->claimed_us != NEVER_US
          && has_passed_ (l->claimed_us, RGY_COUNT_LIMIT_SETTLE_US, now_us)
          && has_passed_ (l->retry_us, 0, now_us))
        settle_claim_ (l, room, now_us);
      return;
    }
  if (want > l->reserved && room > l->reserved
      && has_passed_ (l->backoff_until_us, 0, now_us))
    {
      l->claim = MIN (want, room);
      l->claimed_us = NEVER_US;
    }
}

/* After a pause of the process the others may have given away what is not in
   use, and the claims known of them are old.  */
static void
resume_ (struct rgy_count_limit *l, int64_t now_us)
{
  l->resumed_us = now_us;
  l->reserved = MIN (l->reserved, l->usage);
  l->claim = l->reserved;
  l->claimed_us = NEVER_US;
}

static void
update_ (struct rgy_count_limit *l, int64_t now_us)
{
  if (l->limit == 0)
    return;
  if (now_us < l->next_step_us)
    return;
  if (l->last_step_us != NEVER_US
      && now_us - l->last_step_us > RGY_COUNT_LIMIT_FRESH_US)
    resume_ (l, now_us);
  l->last_step_us = now_us;
  l->next_step_us = now_us + STEP_US;
  step_ (l, now_us);
}

uint64_t
rgy_count_limit_get_claim (struct rgy_count_limit *limit, int64_t now_us)
{
  update_ (limit, now_us);
  if (limit->claim > limit->reserved && limit->claimed_us == NEVER_US)
    limit->claimed_us = now_us;
  return MAX (limit->claim, limit->usage);
}

void
rgy_count_limit_note_claim (struct rgy_count_limit *limit,
                            const struct rgy_name *instance, uint64_t claim,
                            int64_t now_us)
{
  struct peer_ *p = find_peer_ (limit, rgy_name_hash (instance, SEED));

  if (p == NULL)
    return;
  p->claim = claim;
  p->reported_us = now_us;
}

bool
rgy_count_limit_take (struct rgy_count_limit *limit, int64_t now_us)
{
  update_ (limit, now_us);
  if (limit->limit != 0 && limit->usage >= limit->reserved)
    {
      limit->refused_us = now_us;
      return false;
    }
  limit->usage++;
  limit->peak = MAX (limit->peak, limit->usage);
  return true;
}

void
rgy_count_limit_force (struct rgy_count_limit *limit)
{
  limit->usage++;
  limit->peak = MAX (limit->peak, limit->usage);
}

void
rgy_count_limit_release (struct rgy_count_limit *limit)
{
  g_assert (limit->usage > 0);
  limit->usage--;
}

uint64_t
rgy_count_limit_get_usage (const struct rgy_count_limit *limit)
{
  return limit->usage;
}
