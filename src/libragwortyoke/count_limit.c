#include "ragwortyoke/limit.h"

#include <glib.h>

#include "ragwortyoke/clock.h"

/* Interval between two updates of the reservation.  */
#define UPDATE_INTERVAL_US (250 * RGY_US_PER_MS)
/* Length of a peak window.  The reservation covers the highest usage of at
   least this time: a raise takes seconds, so a reservation must not be
   returned in a short lull.  */
#define PEAK_WINDOW_US (2500 * RGY_US_PER_MS)
/* A refusal makes the agent claim a larger raise for this long.  */
#define REFUSAL_EFFECT_US RGY_US_PER_S
/* Every agent may reserve the mean share divided by this number at any time,
   so that the others cannot lock out an agent that starts to get traffic.  */
#define FLOOR_DIVISOR 10
/* Delay before a claim is settled again after a conflict: the reports
   of the other agents must arrive before it is known whether the
   halved raise fits.  */
#define CONFLICT_RETRY_US (750 * RGY_US_PER_MS)
/* Two agents that claim the last unit both withdraw; each waits
   for a different number of update intervals, less than this,
   before it claims again.  */
#define BACKOFF_INTERVALS 24
/* When a new agent finds no room for its floor, one of the agents above the
   mean share gives back a part of its reservation after this time and an
   agent-specific number of update intervals.  The time is longer than most
   conflicts of claims, which look the same.  */
#define YIELD_DELAY_US (2 * RGY_US_PER_S)
#define NAME_HASH_SEED 0
#define NEVER_US INT64_MIN

struct peer_
{
  uint64_t instance; /* Hash of the agent's name.  */
  uint64_t claim;
  int64_t reported_us; /* NEVER_US until the first report.  */
  int64_t changed_us;  /* Start of the present state; NEVER_US until the next
                          update sets it.  */
  bool live;
};

struct rgy_count_limit
{
  uint64_t limit;
  uint64_t usage;
  uint64_t reserved; /* Own reservation; new work is refused above it.  */
  uint64_t claim;    /* Wanted reservation, never below @c reserved.  */
  int64_t claim_published_us; /* First publication of a raised claim; NEVER_US:
                                 not published.  */
  GArray *peers;
  uint64_t live_count;
  uint64_t peers_hash; /* Hash of all other agents' names, which differs
                          between the agents of one group.  */
  uint64_t peak;       /* Highest usage in the present peak window.  */
  uint64_t previous_peak;
  int64_t window_start_us; /* Start of the present peak window.  */
  int64_t refused_us;
  int64_t backoff_until_us;
  int64_t retry_us; /* Earliest time to settle a claim after a conflict.  */
  uint64_t conflicts;
  int64_t no_room_since_us; /* Time since which the reservation has not
                               fitted beside the other agents' claims;
                               NEVER_US: it fits.  */
  int64_t last_update_us;
  int64_t next_update_us;
  int64_t resumed_us; /* End of the last pause of this process.  */
};

struct rgy_count_limit *
rgy_count_limit_new (uint64_t limit)
{
  struct rgy_count_limit *l = g_new0 (struct rgy_count_limit, 1);

  l->limit = limit;
  l->peers = g_array_new (FALSE, TRUE, sizeof (struct peer_));
  l->claim_published_us = NEVER_US;
  l->refused_us = NEVER_US;
  l->backoff_until_us = NEVER_US;
  l->retry_us = NEVER_US;
  l->no_room_since_us = NEVER_US;
  l->window_start_us = NEVER_US;
  l->last_update_us = NEVER_US;
  l->next_update_us = NEVER_US;
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

/* True when SPAN has elapsed since SINCE; NEVER_US counts as long ago.  */
static bool
has_elapsed_ (int64_t since_us, int64_t span_us, int64_t now_us)
{
  return since_us == NEVER_US || now_us - since_us >= span_us;
}

void
rgy_count_limit_set_limit (struct rgy_count_limit *limit, uint64_t value)
{
  if (value == limit->limit)
    return;
  /* All agents scale by the same factor, so the sum of the reservations stays
     within the new limit without an exchange of claims.  */
  if (value != 0 && limit->limit != 0 && value < limit->limit)
    limit->reserved
        = (uint64_t)((__uint128_t)limit->reserved * value / limit->limit);
  else if (limit->limit == 0)
    limit->reserved = 0;
  limit->claim = limit->reserved;
  limit->claim_published_us = NEVER_US;
  limit->limit = value;
  limit->next_update_us = NEVER_US;
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
mark_peer_live_ (struct rgy_count_limit *l, uint64_t instance)
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
  uint64_t peers_hash = 0;
  guint i;
  size_t k;

  for (i = 0; i < limit->peers->len; i++)
    {
      struct peer_ *p = &g_array_index (limit->peers, struct peer_, i);
      bool live = false;

      for (k = 0; k < count; k++)
        live |= rgy_name_hash (&others[k], NAME_HASH_SEED) == p->instance;
      if (p->live && !live)
        {
          p->live = false;
          p->changed_us = NEVER_US;
        }
    }
  for (k = 0; k < count; k++)
    {
      mark_peer_live_ (limit, rgy_name_hash (&others[k], NAME_HASH_SEED));
      peers_hash ^= rgy_name_hash (&others[k], NAME_HASH_SEED);
    }
  limit->peers_hash = peers_hash;
  limit->live_count = count;
  limit->next_update_us = NEVER_US;
}

/* Sets the time since which peers are live or dead, and removes those that
   have been dead for RGY_LIMIT_REPORT_MAX_AGE_US.  */
static void
expire_peers_ (struct rgy_count_limit *l, int64_t now_us)
{
  guint i = 0;

  while (i < l->peers->len)
    {
      struct peer_ *p = &g_array_index (l->peers, struct peer_, i);

      if (p->changed_us == NEVER_US)
        p->changed_us = now_us;
      if (!p->live
          && has_elapsed_ (p->changed_us, RGY_LIMIT_REPORT_MAX_AGE_US, now_us))
        g_array_remove_index_fast (l->peers, i);
      else
        i++;
    }
}

/* Sum of what the other agents may reserve, and whether their
   claims are fresh.  */
struct peer_claims_
{
  uint64_t claim_sum;
  bool fresh;
};

/* Floor of one of N agents.  A small limit has none, because the floors would
   tie up most of it.  */
static uint64_t
compute_floor_ (const struct rgy_count_limit *l, uint64_t n)
{
  return l->limit < 2 * n ? 0 : MAX (1, l->limit / (FLOOR_DIVISOR * n));
}

/* Floor that is charged for every other agent.  */
static uint64_t
peer_floor_ (const struct rgy_count_limit *l)
{
  return compute_floor_ (l, l->live_count + 1);
}

/* Floor of this agent.  Dead agents still count, so that the floor grows only
   after the other agents know of the death and charge the larger floor.  */
static uint64_t
own_floor_ (const struct rgy_count_limit *l)
{
  return compute_floor_ (l, l->peers->len + 1);
}

/* Sums the claims of the other agents.  A live agent that has not reported for
   RGY_LIMIT_REPORT_MAX_AGE_US no longer blocks the others, because its
   exchange does not work.  It stays charged with its last claim, or with the
   mean share if there is none.  */
static struct peer_claims_
sum_peer_claims_ (const struct rgy_count_limit *l, int64_t now_us)
{
  struct peer_claims_ others = { .fresh = true };
  guint i;

  for (i = 0; i < l->peers->len; i++)
    {
      const struct peer_ *p = &g_array_index (l->peers, struct peer_, i);
      int64_t since_us
          = p->reported_us == NEVER_US ? p->changed_us : p->reported_us;
      bool unresponsive = has_elapsed_ (MAX (since_us, l->resumed_us),
                                        RGY_LIMIT_REPORT_MAX_AGE_US, now_us);
      uint64_t claim = p->claim;

      if (p->reported_us == NEVER_US && unresponsive)
        claim = l->limit / (l->live_count + 1);
      others.claim_sum += p->live ? MAX (claim, peer_floor_ (l)) : claim;
      if (p->live && !unresponsive
          && has_elapsed_ (p->reported_us, RGY_COUNT_LIMIT_FRESH_US, now_us))
        others.fresh = false;
    }
  return others;
}

static uint64_t
update_peak_ (struct rgy_count_limit *l, int64_t now_us)
{
  l->peak = MAX (l->peak, l->usage);
  if (has_elapsed_ (l->window_start_us, PEAK_WINDOW_US, now_us))
    {
      l->previous_peak = l->peak;
      l->peak = l->usage;
      l->window_start_us = now_us;
    }
  return MAX (l->peak, l->previous_peak);
}

/* Delay of a number of update intervals that differs between agents and
   between draws.  */
static int64_t
draw_backoff_us_ (const struct rgy_count_limit *l, uint64_t draw)
{
  return UPDATE_INTERVAL_US
         * (int64_t)((l->peers_hash ^ (draw * 0x9e3779b97f4a7c15U))
                     % BACKOFF_INTERVALS);
}

/* Puts a claim into effect that has been public for long enough, as far as it
   fits.  The part that does not fit conflicts with another agent's claim: the
   raise is halved, and withdrawn when only one unit is left of it.  */
static void
settle_claim_ (struct rgy_count_limit *l, uint64_t room, int64_t now_us)
{
  uint64_t rest;

  l->reserved = MAX (l->reserved, MIN (l->claim, room));
  rest = l->claim - l->reserved;
  if (rest == 0)
    return;
  l->claim = l->reserved + rest / 2;
  l->retry_us = now_us + CONFLICT_RETRY_US;
  if (rest > 1)
    return;
  l->conflicts++;
  l->backoff_until_us = now_us + draw_backoff_us_ (l, l->conflicts);
}

/* Gives back a part of a reservation that does not fit beside the claims of
   the other agents.  */
static void
yield_reservation_ (struct rgy_count_limit *l, uint64_t room, int64_t now_us)
{
  uint64_t n = l->live_count + 1;

  if (l->reserved <= room || l->reserved <= l->limit / n)
    {
      l->no_room_since_us = NEVER_US;
      return;
    }
  if (l->no_room_since_us == NEVER_US)
    l->no_room_since_us = now_us;
  if (!has_elapsed_ (l->no_room_since_us,
                     YIELD_DELAY_US + draw_backoff_us_ (l, 0), now_us))
    return;
  l->reserved -= MAX (1, (l->reserved - room) / n);
  l->claim = l->reserved;
  l->no_room_since_us = now_us;
}

static void
update_reservation_ (struct rgy_count_limit *l, int64_t now_us)
{
  uint64_t peak = update_peak_ (l, now_us);
  struct peer_claims_ others;
  bool refused = !has_elapsed_ (l->refused_us, REFUSAL_EFFECT_US, now_us);
  uint64_t spare;
  uint64_t room;
  uint64_t want;

  expire_peers_ (l, now_us);
  others = sum_peer_claims_ (l, now_us);
  room = l->limit - MIN (l->limit, others.claim_sum);
  if (l->live_count == 0)
    {
      l->reserved = room;
      l->claim = room;
      return;
    }
  spare = room - MIN (room, peak);
  want = peak + (refused ? MAX (1, spare / 2) : spare / (l->live_count + 1));
  want = MIN (MAX (want, own_floor_ (l)), l->limit);

  /* While requests are refused, a raise is not withdrawn because other agents
     claim the same room; settle_claim_() resolves such conflicts.  */
  if (!refused)
    {
      l->claim = MIN (l->claim, want);
      l->reserved = MIN (l->reserved, l->claim);
    }
  yield_reservation_ (l, room, now_us);
  if (others.fresh && l->reserved < own_floor_ (l))
    {
      l->reserved = MAX (l->reserved, MIN (own_floor_ (l), room));
      l->claim = MAX (l->claim, l->reserved);
    }
  if (l->claim > l->reserved)
    {
      if (others.fresh && l->claim_published_us != NEVER_US
          && has_elapsed_ (l->claim_published_us, RGY_COUNT_LIMIT_SETTLE_US,
                           now_us)
          && has_elapsed_ (l->retry_us, 0, now_us))
        settle_claim_ (l, room, now_us);
      return;
    }
  if (want > l->reserved && room > l->reserved
      && has_elapsed_ (l->backoff_until_us, 0, now_us))
    {
      l->claim = MIN (want, room);
      l->claim_published_us = NEVER_US;
    }
}

/* Resets the reservation to the usage after a pause of the process: the
   other agents may have reserved what was unused, and the claims known of
   them are old.  */
static void
reset_after_pause_ (struct rgy_count_limit *l, int64_t now_us)
{
  l->resumed_us = now_us;
  l->reserved = MIN (l->reserved, l->usage);
  l->claim = l->reserved;
  l->claim_published_us = NEVER_US;
}

static void
update_if_due_ (struct rgy_count_limit *l, int64_t now_us)
{
  if (l->limit == 0)
    return;
  if (now_us < l->next_update_us)
    return;
  if (l->last_update_us != NEVER_US
      && now_us - l->last_update_us > RGY_COUNT_LIMIT_FRESH_US)
    reset_after_pause_ (l, now_us);
  l->last_update_us = now_us;
  l->next_update_us = now_us + UPDATE_INTERVAL_US;
  update_reservation_ (l, now_us);
}

uint64_t
rgy_count_limit_publish_claim (struct rgy_count_limit *limit, int64_t now_us)
{
  update_if_due_ (limit, now_us);
  if (limit->claim > limit->reserved && limit->claim_published_us == NEVER_US)
    limit->claim_published_us = now_us;
  return MAX (limit->claim, limit->usage);
}

void
rgy_count_limit_record_claim (struct rgy_count_limit *limit,
                              const struct rgy_name *instance, uint64_t claim,
                              int64_t now_us)
{
  struct peer_ *p
      = find_peer_ (limit, rgy_name_hash (instance, NAME_HASH_SEED));

  if (p == NULL)
    return;
  p->claim = claim;
  p->reported_us = now_us;
}

bool
rgy_count_limit_acquire (struct rgy_count_limit *limit, int64_t now_us)
{
  update_if_due_ (limit, now_us);
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
rgy_count_limit_force_acquire (struct rgy_count_limit *limit)
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
