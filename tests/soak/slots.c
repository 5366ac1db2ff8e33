#include "soak.h"

#include "ragwortyoke/clock.h"

/* Slots that a backend server states in its heartbeats.  */
#define QUEUE_LENGTH 8
#define RUN_US (150 * RGY_US_PER_MS)

struct run_
{
  uint16_t port; /* Of the caller.  */
  int64_t end_us;
};

static struct
{
  GQueue running[SOAK_AGENTS]; /* Entries are struct run_, owned, the first one
                                  ends first.  */
  GQueue waiting[SOAK_AGENTS]; /* Ports of callers.  */
} slots_;

static void
run_ (size_t i, uint16_t port, int64_t now_us)
{
  struct run_ *run = g_new0 (struct run_, 1);

  run->port = port;
  run->end_us = now_us + RUN_US;
  g_queue_push_tail (&slots_.running[i], run);
  soak_request_begins (port);
}

bool
soak_slots_take (size_t backend, uint16_t port, int64_t now_us)
{
  if (slots_.running[backend].length < SOAK_SLOTS)
    run_ (backend, port, now_us);
  else if (slots_.waiting[backend].length < QUEUE_LENGTH)
    g_queue_push_tail (&slots_.waiting[backend], GUINT_TO_POINTER (port));
  else
    return false;
  return true;
}

void
soak_slots_tick (int64_t now_us)
{
  size_t i;

  for (i = 0; i < SOAK_AGENTS; i++)
    {
      struct run_ *run = g_queue_peek_head (&slots_.running[i]);

      while (run != NULL && now_us >= run->end_us)
        {
          g_queue_pop_head (&slots_.running[i]);
          soak_request_ends (i, run->port);
          g_free (run);
          if (slots_.waiting[i].length > 0)
            run_ (i,
                  (uint16_t)GPOINTER_TO_UINT (
                      g_queue_pop_head (&slots_.waiting[i])),
                  now_us);
          run = g_queue_peek_head (&slots_.running[i]);
        }
    }
}

void
soak_slots_clear (size_t backend)
{
  g_queue_clear_full (&slots_.running[backend], g_free);
  g_queue_clear (&slots_.waiting[backend]);
}
