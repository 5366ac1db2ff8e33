#include "simulation_private.h"

#include <math.h>

void
sim_set_users (struct simulation *sim, const struct sim_load *load)
{
  sim->load = *load;
  g_array_set_size (sim->pooled, load->users);
  sim->users_since_us = sim->now_us;
  sim->next_request_us = INT64_MAX;
}

void
sim_begin_requests (struct simulation *sim)
{
  sim->users_since_us = sim->now_us;
  sim->next_request_us = sim->now_us;
}

size_t
sim_get_seconds (const struct simulation *sim,
                 const struct sim_second **seconds)
{
  *seconds = (const struct sim_second *)(const void *)sim->seconds->data;
  return sim->seconds->len;
}

static struct sim_second *
get_second_ (struct simulation *sim, int64_t began_us)
{
  guint i = (guint)((began_us - sim->users_since_us) / RGY_US_PER_S);

  if (i >= sim->seconds->len)
    g_array_set_size (sim->seconds, i + 1);
  return &g_array_index (sim->seconds, struct sim_second, i);
}

/* Sends a request on the user's idle flow, or on a new one.  */
static void
try_request_ (struct simulation *sim, struct request_ *request)
{
  uint32_t *pooled = &g_array_index (sim->pooled, uint32_t, request->user);
  struct caller_ *caller = NULL;

  request->tries++;
  if (request->tries == 1 && !request->fresh && *pooled > 0)
    caller = sim_find_caller_ (sim, *pooled - 1);
  if (caller != NULL)
    *pooled = 0; /* Not idle until the answer.  */
  if (caller != NULL && !caller->done)
    {
      caller->request = request;
      request->caller = caller->number;
      sim_send_request_ (sim, caller);
      return;
    }
  caller = sim_begin_flow_ (sim);
  caller->of_user = true;
  caller->request = request;
  request->caller = caller->number;
}

static void
begin_request_ (struct simulation *sim)
{
  struct request_ *request = g_new0 (struct request_, 1);

  request->user
      = (size_t)g_rand_int_range (sim->rand, 0, (gint32)sim->load.users);
  request->fresh = g_rand_double (sim->rand) < sim->load.fresh_share;
  request->began_us = sim->now_us;
  g_ptr_array_add (sim->requests, request);
  try_request_ (sim, request);
}

static void
close_flow_ (struct simulation *sim, struct caller_ *caller)
{
  if (caller->open)
    sim_send_from_caller_ (sim, caller, RGY_SEGMENT_FIN | RGY_SEGMENT_ACK, 0);
  caller->request_us = 0;
  caller->request = NULL;
  caller->done = true;
}

static bool
may_retry_ (const struct simulation *sim, const struct request_ *request)
{
  return request->tries <= sim->load.retries
         && sim->now_us - request->began_us < sim->load.limit_us;
}

void
sim_handle_user_answer_ (struct simulation *sim, struct caller_ *caller,
                         const struct packet_ *packet)
{
  struct request_ *request = caller->request;
  struct sim_second *second;
  uint32_t *pooled;

  if (request == NULL)
    return;
  caller->request = NULL;
  pooled = &g_array_index (sim->pooled, uint32_t, request->user);
  if (!request->fresh && *pooled == 0
      && (packet->flags & RGY_SEGMENT_FIN) == 0)
    *pooled = caller->number + 1;
  else
    close_flow_ (sim, caller);
  if (packet->rejected && may_retry_ (sim, request))
    {
      try_request_ (sim, request);
      return;
    }
  second = get_second_ (sim, request->began_us);
  request->ended = true;
  if (packet->rejected)
    second->rejected++;
  else if (sim->now_us - request->began_us <= sim->load.goal_us)
    second->in_time++;
  else
    second->late++;
}

void
sim_handle_user_flow_end_ (struct simulation *sim, struct caller_ *caller)
{
  struct request_ *request = caller->request;

  caller->request = NULL;
  if (request == NULL)
    return;
  if (may_retry_ (sim, request))
    {
      try_request_ (sim, request);
      return;
    }
  request->ended = true;
  get_second_ (sim, request->began_us)->failed++;
}

/* The user's time is over.  */
static void
give_up_ (struct simulation *sim, struct request_ *request)
{
  struct caller_ *caller = sim_find_caller_ (sim, request->caller);

  if (g_getenv ("WORLD_LOG") != NULL)
    g_printerr ("%10.4f gave_up flow=%u open=%d backend=%zu tries=%u "
                "repeats=%u\n",
                (double)sim->now_us / 1e6, caller->number, caller->open,
                caller->backend, request->tries, caller->repeats);
  close_flow_ (sim, caller);
  request->ended = true;
  get_second_ (sim, request->began_us)->failed++;
}

void
sim_step_users_ (struct simulation *sim)
{
  guint i;

  if (sim->load.users == 0)
    return;
  while (sim->now_us >= sim->next_request_us)
    {
      begin_request_ (sim);
      sim->next_request_us
          += (int64_t)(-log (1 - g_rand_double (sim->rand))
                       / sim->load.requests_per_s * RGY_US_PER_S);
    }
  for (i = 0; i < sim->requests->len;)
    {
      struct request_ *request = g_ptr_array_index (sim->requests, i);

      if (!request->ended
          && sim->now_us - request->began_us >= sim->load.limit_us)
        give_up_ (sim, request);
      if (request->ended)
        g_ptr_array_remove_index_fast (sim->requests, i);
      else
        i++;
    }
}
