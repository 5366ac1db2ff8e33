#include "soak.h"

/* Times between the end of a return and the next copy, between the copy and
   the return, and from the return until the operator writes again.  */
#define MIN_PAUSE_MS 1500
#define MAX_PAUSE_MS 7000
#define MAX_COPY_AGE_MS 4000
#define MAX_REWRITE_MS 2500
/* Time for which the store is away.  */
#define MAX_CLOSED_MS 400

static struct
{
  GRand *rand;
  enum
  {
    RETURN_PAUSE,   /* Until the next copy.  */
    RETURN_COPIED,  /* Until the return.  */
    RETURN_CLOSED,  /* Until the port opens again.  */
    RETURN_REWRITE, /* Until the operator writes again.  */
    RETURN_ENDED
  } state;
  bool closed; /* The store was closed by the return.  */
  int64_t next_us;
  unsigned n_returns;
} returns_;

static void
wait_ (int64_t now_us, int min_ms, int max_ms)
{
  returns_.next_us
      = now_us
        + (int64_t)g_rand_int_range (returns_.rand, min_ms, max_ms) * 1000;
}

void
soak_returns_start (uint32_t seed)
{
  returns_.rand = g_rand_new_with_seed (seed);
}

static void
open_port_ (void)
{
  if (returns_.closed)
    soak_store_set_mode (SOAK_STORE_WORKS);
  returns_.closed = false;
}

void
soak_returns_tick (int64_t now_us, bool works)
{
  if (now_us < returns_.next_us)
    return;
  switch (returns_.state)
    {
    case RETURN_PAUSE:
      soak_store_copy ();
      returns_.state = RETURN_COPIED;
      wait_ (now_us, 50, MAX_COPY_AGE_MS);
      return;
    case RETURN_COPIED:
      soak_store_return ();
      returns_.n_returns++;
      returns_.closed = works;
      if (works)
        soak_store_set_mode (SOAK_STORE_CLOSED);
      returns_.state = RETURN_CLOSED;
      wait_ (now_us, 1, MAX_CLOSED_MS);
      return;
    case RETURN_CLOSED:
      open_port_ ();
      returns_.state = RETURN_REWRITE;
      wait_ (now_us, 1, MAX_REWRITE_MS);
      return;
    case RETURN_REWRITE:
      soak_store_rewrite ();
      returns_.state = RETURN_PAUSE;
      wait_ (now_us, MIN_PAUSE_MS, MAX_PAUSE_MS);
      return;
    case RETURN_ENDED:
      return;
    }
}

void
soak_returns_end (void)
{
  open_port_ ();
  if (soak_returns_is_pending ())
    soak_store_rewrite ();
  returns_.state = RETURN_ENDED;
}

bool
soak_returns_is_pending (void)
{
  return returns_.state == RETURN_CLOSED || returns_.state == RETURN_REWRITE;
}

unsigned
soak_returns_count (void)
{
  return returns_.n_returns;
}
