#include "simulation_private.h"

#include <math.h>

void
sim_set_users (struct simulation *sim, const struct sim_load *load)
{
  size_t kind;
  size_t domain;

  sim->load = *load;
  if (load->n_kinds == 0)
    sim->load.kinds[sim->load.n_kinds++]
        = (struct sim_kind){ .port = SERVICE_PORT,
                             .requests_per_s = load->requests_per_s,
                             .terms = { .priority = RGY_PRIORITY_UNSTATED,
                                        .repeatable = true,
                                        .goal_us = load->goal_us,
                                        .limit_us = load->limit_us },
                             .run_us = load->run_us,
                             .fresh_share = load->fresh_share };
  for (kind = 0; kind < SIM_MAX_KINDS; kind++)
    for (domain = 0; domain < SIM_MAX_DOMAINS; domain++)
      sim->rate_factor[kind][domain] = 1;
  g_array_set_size (sim->pooled,
                    load->users * SIM_MAX_KINDS * SIM_MAX_DOMAINS);
  sim->users_since_us = sim->now_us;
  sim->next_request_us = INT64_MAX;
}

void
sim_set_rate (struct simulation *sim, size_t kind, size_t domain,
              double factor)
{
  sim->rate_factor[kind][domain] = factor;
}

const GArray *
sim_get_waits (const struct simulation *sim, size_t kind)
{
  return sim->waits[kind];
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

struct sim_tally
sim_sum_seconds (const struct simulation *sim, size_t first, size_t end,
                 size_t kind, size_t domain)
{
  struct sim_tally sum = { 0 };
  size_t i;
  size_t k;
  size_t d;

  for (i = first; i < MIN (end, sim->seconds->len); i++)
    for (k = 0; k < SIM_MAX_KINDS; k++)
      for (d = 0; d < SIM_MAX_DOMAINS; d++)
        {
          const struct sim_tally *of
              = &g_array_index (sim->seconds, struct sim_second, i).of[k][d];

          if ((kind != SIM_ALL && kind != k)
              || (domain != SIM_ALL && domain != d))
            continue;
          sum.in_time += of->in_time;
          sum.late += of->late;
          sum.refused += of->refused;
          sum.failed += of->failed;
        }
  return sum;
}

enum outcome_
{
  OUTCOME_IN_TIME,
  OUTCOME_LATE,
  OUTCOME_REFUSED,
  OUTCOME_FAILED
};

static void
add_to_second_ (struct sim_second *second, struct sim_tally *of,
                enum outcome_ outcome)
{
  switch (outcome)
    {
    case OUTCOME_IN_TIME:
      second->in_time++;
      of->in_time++;
      return;
    case OUTCOME_LATE:
      second->late++;
      of->late++;
      return;
    case OUTCOME_REFUSED:
      second->rejected++;
      of->refused++;
      return;
    case OUTCOME_FAILED:
      second->failed++;
      of->failed++;
      return;
    }
}

static void
end_request_ (struct simulation *sim, struct request_ *request,
              enum outcome_ outcome)
{
  guint i = (guint)((request->began_us - sim->users_since_us) / RGY_US_PER_S);
  struct sim_second *second;

  if (i >= sim->seconds->len)
    g_array_set_size (sim->seconds, i + 1);
  second = &g_array_index (sim->seconds, struct sim_second, i);
  add_to_second_ (second, &second->of[request->kind][request->domain],
                  outcome);
  request->ended = true;
}

static uint32_t *
get_pooled_ (struct simulation *sim, const struct request_ *request)
{
  size_t i
      = (request->kind * SIM_MAX_DOMAINS + request->domain) * sim->load.users
        + request->user;

  return &g_array_index (sim->pooled, uint32_t, i);
}

/* Puts a request on a flow for the present try.  */
static void
assign_ (struct caller_ *caller, struct request_ *request)
{
  caller->request = request;
  caller->request_number = request->number;
  caller->ran = false;
  caller->refused = false;
  request->caller = caller->number;
}

/* Sends a request on the user's idle flow, or on a new one.  */
static void
try_request_ (struct simulation *sim, struct request_ *request)
{
  uint32_t *pooled = get_pooled_ (sim, request);
  struct caller_ *caller = NULL;

  request->tries++;
  if (request->tries == 1 && !request->fresh && *pooled > 0)
    caller = sim_find_caller_ (sim, *pooled - 1);
  if (caller != NULL)
    *pooled = 0; /* Not idle until the answer.  */
  if (caller != NULL && !caller->done)
    {
      assign_ (caller, request);
      sim_send_request_ (sim, caller);
      return;
    }
  caller = sim_begin_flow_ (sim, request->kind, request->domain);
  caller->of_user = true;
  assign_ (caller, request);
}

/* Requests a second of one kind from one failure domain.  Callers without
   failure domains are counted in the first one.  */
static double
get_rate_ (const struct simulation *sim, size_t kind, size_t domain)
{
  double shares = 0;
  size_t i;

  for (i = 0; i < SIM_MAX_DOMAINS; i++)
    shares += sim->load.domain_share[i];
  return sim->load.kinds[kind].requests_per_s * sim->rate_factor[kind][domain]
         * (shares > 0 ? sim->load.domain_share[domain] / shares
                       : (domain == 0 ? 1 : 0));
}

static double
get_total_rate_ (const struct simulation *sim)
{
  double sum = 0;
  size_t i;

  for (i = 0; i < sim->load.n_kinds * SIM_MAX_DOMAINS; i++)
    sum += get_rate_ (sim, i / SIM_MAX_DOMAINS, i % SIM_MAX_DOMAINS);
  return sum;
}

/* Draws the kind and the failure domain of a request by their rates.  */
static void
draw_kind_ (struct simulation *sim, struct request_ *request)
{
  double left = get_total_rate_ (sim);
  size_t n = sim->load.n_kinds * SIM_MAX_DOMAINS;
  size_t i;

  if (left <= get_rate_ (sim, 0, 0))
    return;
  left *= g_rand_double (sim->rand);
  for (i = 0; i < n; i++)
    {
      double rate = get_rate_ (sim, i / SIM_MAX_DOMAINS, i % SIM_MAX_DOMAINS);

      if (rate <= 0)
        continue;
      request->kind = i / SIM_MAX_DOMAINS;
      request->domain = i % SIM_MAX_DOMAINS;
      left -= rate;
      if (left < 0)
        return;
    }
}

static void
begin_request_ (struct simulation *sim)
{
  struct request_ *request = g_new0 (struct request_, 1);

  request->user
      = (size_t)g_rand_int_range (sim->rand, 0, (gint32)sim->load.users);
  draw_kind_ (sim, request);
  request->fresh
      = g_rand_double (sim->rand) < sim->load.kinds[request->kind].fresh_share;
  request->began_us = sim->now_us;
  request->number = sim->runs->len;
  g_array_set_size (sim->runs, sim->runs->len + 1);
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
  sim_end_caller_ (sim, caller);
}

static bool
may_retry_ (const struct simulation *sim, const struct request_ *request)
{
  return request->tries <= sim->load.retries
         && sim->now_us - request->began_us
                < sim->load.kinds[request->kind].terms.limit_us;
}

static void
log_broken_promise_ (const struct simulation *sim, const char *what,
                     const struct caller_ *caller)
{
  if (g_getenv ("WORLD_LOG") != NULL)
    g_printerr ("%10.4f %s caller=%u request=%zu open=%d reached=%d ran=%d\n",
                (double)sim->now_us / 1e6, what, caller->number,
                caller->request_number, caller->open, caller->reached,
                caller->ran);
}

/* Notes that a try was refused, so that its request must not run.  */
static void
refuse_try_ (struct simulation *sim, struct caller_ *caller)
{
  caller->refused = true;
  if (!caller->ran)
    return;
  sim->counts.refused_and_ran++;
  log_broken_promise_ (sim, "refused_and_ran", caller);
}

void
sim_handle_user_run_ (struct simulation *sim, struct caller_ *caller)
{
  uint8_t *runs = &g_array_index (sim->runs, uint8_t, caller->request_number);

  if (!caller->of_user)
    return;
  caller->ran = true;
  if (caller->refused)
    {
      sim->counts.refused_and_ran++;
      log_broken_promise_ (sim, "refused_and_ran", caller);
    }
  sim->counts.ran_for_nobody
      += caller->done && sim->now_us - caller->done_us > NOTICE_US;
  if (++*runs > 1 && !sim->load.kinds[caller->kind].terms.repeatable)
    {
      sim->counts.ran_twice++;
      log_broken_promise_ (sim, "ran_twice", caller);
    }
  if (caller->request != NULL)
    caller->request->ran_us = sim->now_us;
}

static void
count_wait_ (struct simulation *sim, const struct request_ *request)
{
  GArray *waits = sim->waits[request->kind];
  guint ms = (guint)((request->ran_us - request->began_us) / RGY_US_PER_MS);

  if (ms >= waits->len)
    g_array_set_size (waits, ms + 1);
  g_array_index (waits, unsigned, ms)++;
}

void
sim_handle_user_answer_ (struct simulation *sim, struct caller_ *caller,
                         const struct packet_ *packet)
{
  struct request_ *request = caller->request;
  uint32_t *pooled;

  if (request == NULL)
    return;
  caller->request = NULL;
  if (packet->rejected)
    refuse_try_ (sim, caller);
  pooled = get_pooled_ (sim, request);
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
  if (packet->rejected)
    {
      sim_count_refusal_ (sim, caller, caller->domain % sim->n_domains);
      end_request_ (sim, request, OUTCOME_REFUSED);
      return;
    }
  count_wait_ (sim, request);
  end_request_ (sim, request,
                sim->now_us - request->began_us
                        <= sim->load.kinds[request->kind].terms.goal_us
                    ? OUTCOME_IN_TIME
                    : OUTCOME_LATE);
}

void
sim_handle_user_flow_end_ (struct simulation *sim, struct caller_ *caller,
                           bool reset)
{
  struct request_ *request = caller->request;

  caller->request = NULL;
  if (request == NULL)
    return;
  if (reset && !caller->reached)
    refuse_try_ (sim, caller);
  if ((!caller->reached || sim->load.kinds[request->kind].terms.repeatable)
      && may_retry_ (sim, request))
    {
      try_request_ (sim, request);
      return;
    }
  end_request_ (sim, request,
                reset && !caller->reached ? OUTCOME_REFUSED : OUTCOME_FAILED);
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
  end_request_ (sim, request, OUTCOME_FAILED);
}

void
sim_step_users_ (struct simulation *sim)
{
  guint i;

  if (sim->load.users == 0)
    return;
  while (sim->now_us >= sim->next_request_us)
    {
      double rate = get_total_rate_ (sim);

      if (rate <= 0)
        {
          sim->next_request_us = sim->now_us + RGY_STREAM_TICK_US;
          break;
        }
      begin_request_ (sim);
      sim->next_request_us += (int64_t)(-log (1 - g_rand_double (sim->rand))
                                        / rate * RGY_US_PER_S);
    }
  for (i = 0; i < sim->requests->len;)
    {
      struct request_ *request = g_ptr_array_index (sim->requests, i);

      if (!request->ended
          && sim->now_us - request->began_us
                 >= sim->load.kinds[request->kind].terms.limit_us)
        give_up_ (sim, request);
      if (request->ended)
        g_ptr_array_remove_index_fast (sim->requests, i);
      else
        i++;
    }
}
