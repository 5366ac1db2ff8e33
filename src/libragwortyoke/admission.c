#include "ragwortyoke/admission.h"

#include <glib.h>

#include "ragwortyoke/clock.h"

/* A latency above both bounds resets the limit.  The absolute bound keeps
   jitter of very fast servers from causing resets.  */
#define SLOW_LATENCY_FACTOR 4
#define SLOW_LATENCY_MIN_US (50 * RGY_US_PER_MS)
/* Weight of one sample in the moving average of the latency, as a divisor.  */
#define AVERAGE_DIVISOR 8
/* Slow samples within this time after a reset are left out of the average, so
   that the overload that caused the reset is not taken for normal latency.
   Later samples are included, so that a server that has become slower
   permanently is not kept at the cold limit.  */
#define RESET_SETTLE_US RGY_US_PER_S

const char *const rgy_cold_reason_string[] = {
  [RGY_COLD_START] = "start", [RGY_COLD_LATENCY] = "latency",
  [RGY_COLD_SHED] = "shed",   [RGY_COLD_REFUSED] = "refused",
  [RGY_COLD_PROBE] = "probe", [RGY_COLD_DOMAIN] = "failure-domain",
};
G_STATIC_ASSERT (G_N_ELEMENTS (rgy_cold_reason_string)
                 == RGY_COLD_REASON_COUNT);

enum state_
{
  STATE_WAITING,
  STATE_RUNNING,
  STATE_LOST /* The caller was answered; the slot is still charged.  */
};

struct request_
{
  uint64_t id;
  enum state_ state;
  int64_t submitted_us;
  int64_t deadline_us;
  int64_t started_us;
  int64_t release_us; /* STATE_LOST: time at which the slot is released.  */
  uint64_t resets;    /* Resets of the limit before the request started.  */
};

struct rgy_admission
{
  struct rgy_admission_settings settings;
  GHashTable *requests; /* Maps IDs to struct request_ in all states.  */
  GQueue waiting;       /* Queue in order of arrival.  */
  unsigned charged;     /* Number of requests that are running or lost.  */
  unsigned limit;
  unsigned ceiling;
  unsigned good_completions; /* Good completions in a row since the last step
                                or reset.  */
  int64_t average_us;        /* Moving average of the latency; 0: none yet.  */
  bool cold;
  enum rgy_cold_reason cold_reason;
  uint64_t resets;
  int64_t reset_us;
  int64_t next_due_us; /* No deadline or release is due earlier.  */
};

struct rgy_admission *
rgy_admission_new (const struct rgy_admission_settings *settings)
{
  struct rgy_admission *a = g_new0 (struct rgy_admission, 1);

  g_assert (settings->slots >= 1);
  a->settings = *settings;
  a->requests
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&a->waiting);
  a->cold = settings->cold_start;
  a->cold_reason = RGY_COLD_START;
  a->limit = a->cold ? RGY_ADMISSION_COLD_LIMIT : settings->slots;
  a->ceiling = settings->slots;
  a->next_due_us = INT64_MAX;
  return a;
}

void
rgy_admission_delete (struct rgy_admission *a)
{
  if (a == NULL)
    return;
  g_queue_clear (&a->waiting);
  g_hash_table_unref (a->requests);
  g_free (a);
}

static bool
has_free_slot_ (const struct rgy_admission *a)
{
  return a->charged < rgy_admission_get_limit (a);
}

static void
update_next_due_ (struct rgy_admission *a, int64_t due_us)
{
  a->next_due_us = MIN (a->next_due_us, due_us);
}

static void
start_request_ (struct rgy_admission *a, struct request_ *r, int64_t now_us)
{
  r->state = STATE_RUNNING;
  r->started_us = now_us;
  r->resets = a->resets;
  a->charged++;
}

static void
release_request_ (struct rgy_admission *a, struct request_ *r)
{
  g_assert (a->charged > 0);
  a->charged--;
  g_hash_table_remove (a->requests, &r->id);
}

/* Releases the slots of lost requests that are due, finds one request past its
   deadline, and updates next_due_us.  */
static struct request_ *
process_due_requests_ (struct rgy_admission *a, int64_t now_us)
{
  struct request_ *expired = NULL;
  GHashTableIter iter;
  gpointer value;

  if (now_us < a->next_due_us)
    return NULL;
  a->next_due_us = INT64_MAX;
  g_hash_table_iter_init (&iter, a->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct request_ *r = value;
      int64_t due_us = r->state == STATE_LOST ? r->release_us : r->deadline_us;

      if (r->state == STATE_LOST && due_us <= now_us)
        {
          a->charged--;
          g_hash_table_iter_remove (&iter);
          continue;
        }
      update_next_due_ (a, due_us);
      /* The earliest deadline and then the lowest ID, so that the order is
         reproducible.  */
      if (due_us <= now_us
          && (expired == NULL || due_us < expired->deadline_us
              || (due_us == expired->deadline_us && r->id < expired->id)))
        expired = r;
    }
  return expired;
}

static struct request_ *
first_unexpired_waiting_ (struct rgy_admission *a, int64_t now_us)
{
  GList *node;

  for (node = a->waiting.head; node != NULL; node = node->next)
    {
      struct request_ *r = node->data;

      if (r->deadline_us > now_us)
        return r;
    }
  return NULL;
}

enum rgy_admission_verdict
rgy_admission_submit (struct rgy_admission *a, uint64_t id,
                      int64_t deadline_us, int64_t now_us)
{
  struct request_ *r;
  bool run;

  g_assert (id != 0);
  process_due_requests_ (a, now_us);
  if (g_hash_table_contains (a->requests, &id))
    return RGY_ADMISSION_DUPLICATE;
  if (deadline_us <= now_us)
    return RGY_ADMISSION_DEADLINE;
  run = has_free_slot_ (a) && first_unexpired_waiting_ (a, now_us) == NULL;
  if (!run && a->waiting.length >= a->settings.queue_length)
    return RGY_ADMISSION_REFUSED;
  r = g_new0 (struct request_, 1);
  r->id = id;
  r->submitted_us = now_us;
  r->deadline_us = deadline_us;
  g_hash_table_insert (a->requests, &r->id, r);
  update_next_due_ (a, deadline_us);
  if (run)
    {
      start_request_ (a, r, now_us);
      return RGY_ADMISSION_RUN;
    }
  g_queue_push_tail (&a->waiting, r);
  return RGY_ADMISSION_QUEUED;
}

static void
reset_limit_ (struct rgy_admission *a, enum rgy_cold_reason reason,
              int64_t now_us)
{
  a->resets++;
  a->reset_us = now_us;
  a->cold_reason = reason;
  a->good_completions = 0;
  if (!a->settings.cold_start)
    return;
  a->cold = true;
  a->limit = RGY_ADMISSION_COLD_LIMIT;
}

static int64_t
slow_latency_threshold_us_ (const struct rgy_admission *a)
{
  return MAX (SLOW_LATENCY_FACTOR * a->average_us, SLOW_LATENCY_MIN_US);
}

static void
update_latency_average_ (struct rgy_admission *a, int64_t latency_us)
{
  if (a->average_us == 0)
    a->average_us = MAX (latency_us, 1);
  else
    a->average_us += (latency_us - a->average_us) / AVERAGE_DIVISOR;
  a->average_us = MAX (a->average_us, 1);
}

/* A request that started before the last reset measures the load before it, so
   it neither resets the limit again nor counts towards a step.  */
static bool
started_after_reset_ (const struct rgy_admission *a, const struct request_ *r)
{
  return r->resets == a->resets;
}

static void
note_slow_latency_ (struct rgy_admission *a, const struct request_ *r,
                    int64_t latency_us, int64_t now_us)
{
  a->good_completions = 0;
  if (!started_after_reset_ (a, r))
    return;
  if (a->limit > RGY_ADMISSION_COLD_LIMIT)
    reset_limit_ (a, RGY_COLD_LATENCY, now_us);
  else if (now_us - a->reset_us >= RESET_SETTLE_US)
    update_latency_average_ (a, latency_us);
}

static void
note_normal_latency_ (struct rgy_admission *a, const struct request_ *r,
                      int64_t latency_us)
{
  update_latency_average_ (a, latency_us);
  if (!started_after_reset_ (a, r)
      || ++a->good_completions < RGY_ADMISSION_COMPLETIONS_PER_STEP)
    return;
  a->good_completions = 0;
  if (a->limit < a->settings.slots)
    a->limit++;
  if (a->limit == a->settings.slots)
    a->cold = false;
}

static void
note_latency_ (struct rgy_admission *a, const struct request_ *r,
               int64_t now_us)
{
  int64_t latency_us = now_us - r->started_us;

  if (a->average_us > 0 && latency_us > slow_latency_threshold_us_ (a))
    note_slow_latency_ (a, r, latency_us, now_us);
  else
    note_normal_latency_ (a, r, latency_us);
}

/* Marks a request as lost.  The time without an answer is a lower bound of its
   latency.  */
static void
mark_lost_ (struct rgy_admission *a, struct request_ *r, int64_t now_us)
{
  int64_t threshold_us = slow_latency_threshold_us_ (a);
  int64_t waited_us = now_us - r->started_us;

  a->good_completions = 0;
  if (a->average_us > 0 && waited_us > threshold_us)
    note_slow_latency_ (a, r, waited_us, now_us);
  r->state = STATE_LOST;
  r->release_us
      = now_us + MAX (r->deadline_us - r->submitted_us, threshold_us);
  update_next_due_ (a, r->release_us);
}

enum rgy_outcome
rgy_admission_complete (struct rgy_admission *a, uint64_t id,
                        enum rgy_completion completion, int64_t now_us)
{
  struct request_ *r;

  process_due_requests_ (a, now_us);
  r = g_hash_table_lookup (a->requests, &id);
  if (r == NULL || r->state == STATE_WAITING)
    return RGY_ERR_NOT_FOUND;
  if (r->state == STATE_LOST)
    {
      if (completion == RGY_COMPLETION_LOST)
        return RGY_ERR_NOT_FOUND;
      release_request_ (a, r);
      return RGY_OK;
    }
  switch (completion)
    {
    case RGY_COMPLETION_OK:
      note_latency_ (a, r, now_us);
      break;
    case RGY_COMPLETION_SHED:
      a->good_completions = 0;
      if (started_after_reset_ (a, r) || a->limit > RGY_ADMISSION_COLD_LIMIT)
        reset_limit_ (a, RGY_COLD_SHED, now_us);
      break;
    case RGY_COMPLETION_FAILED:
      a->good_completions = 0;
      break;
    case RGY_COMPLETION_CANCELLED:
      break;
    case RGY_COMPLETION_LOST:
      mark_lost_ (a, r, now_us);
      return RGY_OK;
    }
  release_request_ (a, r);
  return RGY_OK;
}

enum rgy_outcome
rgy_admission_cancel (struct rgy_admission *a, uint64_t id)
{
  struct request_ *r = g_hash_table_lookup (a->requests, &id);

  if (r == NULL || r->state != STATE_WAITING)
    return RGY_ERR_NOT_FOUND;
  g_queue_remove (&a->waiting, r);
  g_hash_table_remove (a->requests, &id);
  return RGY_OK;
}

bool
rgy_admission_next (struct rgy_admission *a, int64_t now_us, uint64_t *id)
{
  struct request_ *r;

  process_due_requests_ (a, now_us);
  if (!has_free_slot_ (a))
    return false;
  r = first_unexpired_waiting_ (a, now_us);
  if (r == NULL)
    return false;
  g_queue_remove (&a->waiting, r);
  start_request_ (a, r, now_us);
  *id = r->id;
  return true;
}

bool
rgy_admission_expire (struct rgy_admission *a, int64_t now_us,
                      struct rgy_admission_expired *expired)
{
  struct request_ *r = process_due_requests_ (a, now_us);

  if (r == NULL)
    return false;
  expired->id = r->id;
  expired->was_running = r->state == STATE_RUNNING;
  if (expired->was_running)
    mark_lost_ (a, r, now_us);
  else
    {
      g_queue_remove (&a->waiting, r);
      g_hash_table_remove (a->requests, &expired->id);
    }
  return true;
}

void
rgy_admission_set_cold (struct rgy_admission *a, enum rgy_cold_reason reason,
                        int64_t now_us)
{
  reset_limit_ (a, reason, now_us);
}

void
rgy_admission_set_ceiling (struct rgy_admission *a, unsigned ceiling)
{
  a->ceiling = ceiling;
}

unsigned
rgy_admission_get_limit (const struct rgy_admission *a)
{
  return MIN (a->limit, a->ceiling);
}

unsigned
rgy_admission_get_running (const struct rgy_admission *a)
{
  return a->charged;
}

unsigned
rgy_admission_get_queued (const struct rgy_admission *a)
{
  return a->waiting.length;
}

bool
rgy_admission_is_cold (const struct rgy_admission *a)
{
  return a->cold;
}

enum rgy_cold_reason
rgy_admission_get_cold_reason (const struct rgy_admission *a)
{
  return a->cold_reason;
}

uint64_t
rgy_admission_get_cold_resets (const struct rgy_admission *a)
{
  return a->resets;
}
