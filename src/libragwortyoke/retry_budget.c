#include "ragwortyoke/admission.h"

#include <glib.h>

#include "ragwortyoke/clock.h"

/* The window of 10 s advances by one slice at a time.  */
#define SLICE_US RGY_US_PER_S
#define SLICE_COUNT 10
#define PERCENT 100

struct slice_
{
  uint64_t deliveries;
  uint64_t retries;
};

struct rgy_retry_budget
{
  unsigned percent;
  int64_t newest; /* Number of the newest slice, counted from
                     the clock's zero.  */
  struct slice_ slices[SLICE_COUNT]; /* Slices, indexed by their
                                        number modulo SLICE_COUNT.  */
};

struct rgy_retry_budget *
rgy_retry_budget_new (unsigned percent)
{
  struct rgy_retry_budget *budget = g_new0 (struct rgy_retry_budget, 1);

  budget->percent = percent;
  return budget;
}

void
rgy_retry_budget_delete (struct rgy_retry_budget *budget)
{
  g_free (budget);
}

/* Clears the slices that have left the window; returns the newest slice.  */
static struct slice_ *
advance_window_ (struct rgy_retry_budget *budget, int64_t now_us)
{
  int64_t number = MAX (now_us / SLICE_US, budget->newest);
  int64_t i = MAX (budget->newest + 1, number - SLICE_COUNT + 1);

  for (; i <= number; i++)
    budget->slices[i % SLICE_COUNT] = (struct slice_){ 0 };
  budget->newest = number;
  return &budget->slices[number % SLICE_COUNT];
}

void
rgy_retry_budget_note_delivery (struct rgy_retry_budget *budget,
                                int64_t now_us)
{
  advance_window_ (budget, now_us)->deliveries++;
}

bool
rgy_retry_budget_charge (struct rgy_retry_budget *budget, int64_t now_us)
{
  struct slice_ *newest = advance_window_ (budget, now_us);
  uint64_t deliveries = 0;
  uint64_t retries = 0;
  size_t i;

  for (i = 0; i < SLICE_COUNT; i++)
    {
      deliveries += budget->slices[i].deliveries;
      retries += budget->slices[i].retries;
    }
  if ((retries + 1) * PERCENT > deliveries * budget->percent)
    return false;
  newest->retries++;
  return true;
}
