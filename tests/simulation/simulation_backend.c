#include "simulation_private.h"

#include <math.h>

size_t
sim_get_service_ (const struct simulation *sim, size_t agent)
{
  return agent < sim->n_workshop ? 0 : 1;
}

static void
send_from_backend_ (struct simulation *sim, size_t i, struct packet_ packet,
                    const struct rgy_segment_trailer *trail)
{
  struct delivery_ d = {
    .kind = FROM_BACKEND, .index = i, .packet = packet, .trail = *trail
  };

  sim_queue_delivery_ (sim, d, true);
}

/* Answers a request.  A draining backend server closes the flow with the
   answer.  */
static void
answer_request_ (struct simulation *sim, size_t i,
                 const struct packet_ *request, bool rejected)
{
  send_from_backend_ (
      sim, i,
      (struct packet_){
          .caller = request->caller,
          .from_service = true,
          .flags
          = (uint8_t)(RGY_SEGMENT_ACK
                      | (sim->backends[i].draining ? RGY_SEGMENT_FIN : 0)),
          .ack = request->seq + request->payload_len,
          .payload_len = ANSWER_BYTES,
          .rejected = rejected },
      &(struct rgy_segment_trailer){ 0 });
}

/* Draws the run time of a request relative to the mean of its kind.  */
static double
draw_run_ (struct simulation *sim, const struct sim_kind *kind)
{
  if (kind->longest_run <= 0)
    return g_rand_double_range (sim->rand, 1 - RUN_SPREAD, 1 + RUN_SPREAD);
  return MIN (-log (1 - g_rand_double (sim->rand)), kind->longest_run);
}

static void
run_request_ (struct simulation *sim, size_t i, const struct packet_ *request)
{
  struct backend_ *backend = &sim->backends[i];
  struct caller_ *caller = sim_find_caller_ (sim, request->caller);
  const struct sim_kind *kind = &sim->load.kinds[caller->kind];
  struct delivery_ end = { .kind = RUN_ENDED,
                           .index = i,
                           .packet = *request,
                           .generation = backend->generation };
  double factor
      = sim->now_us < backend->cold_until_us ? sim->load.cold_factor : 1;

  if (backend->speed > 0)
    factor /= backend->speed;
  if (++backend->running >= sim->load.slots)
    backend->free_since_us = INT64_MAX;
  sim_handle_user_run_ (sim, caller);
  sim_queue_event_ (
      sim, end,
      (int64_t)((double)kind->run_us * factor * draw_run_ (sim, kind)));
}

/* True if a backend server of the service could have begun to run a request
   for some time.  */
static bool
has_room_ (const struct simulation *sim, size_t i, size_t from)
{
  const struct backend_ *backend = &sim->backends[i];

  return backend->alive && !backend->draining && backend->speed > 0
         && sim->now_us >= backend->cold_until_us
         && backend->free_since_us < sim->now_us - NOTICE_US
         && sim->weights[sim_get_service_ (sim, i)] > 0
         && sim->agents[i] != NULL
         && !sim_is_frozen_ (sim, &sim->agent_processes[i])
         && !sim->cut[from][i % sim->n_domains]
         && !sim_is_domain_out_ (sim, i);
}

void
sim_count_refusal_ (struct simulation *sim, const struct caller_ *caller,
                    size_t from)
{
  size_t i;

  if (!caller->of_user)
    return;
  for (i = 0; i < sim->n_agents; i++)
    if (has_room_ (sim, i, from))
      {
        sim->counts.refused_with_room++;
        if (g_getenv ("WORLD_LOG") != NULL)
          g_printerr ("%10.4f refused_with_room caller=%u domain=%zu "
                      "backend=%zu free_ms=%ld\n",
                      (double)sim->now_us / 1e6, caller->number, from, i,
                      (long)((sim->now_us - sim->backends[i].free_since_us)
                             / RGY_US_PER_MS));
        return;
      }
}

static uint32_t
get_end_ (GHashTable *ends, uint32_t caller)
{
  return GPOINTER_TO_UINT (
      g_hash_table_lookup (ends, GUINT_TO_POINTER (caller)));
}

/* Runs, queues or rejects a request.  A repetition only repeats the answer. */
static void
queue_request_ (struct simulation *sim, size_t i,
                const struct packet_ *request)
{
  struct backend_ *backend = &sim->backends[i];
  void *number = GUINT_TO_POINTER (request->caller);
  uint32_t end = request->seq + request->payload_len;

  if (get_end_ (backend->answered, request->caller) >= end)
    {
      answer_request_ (sim, i, request, false);
      return;
    }
  if (get_end_ (backend->started, request->caller) >= end)
    return;
  g_hash_table_insert (backend->started, number, GUINT_TO_POINTER (end));
  if (backend->running < sim->load.slots)
    run_request_ (sim, i, request);
  else if (backend->waiting.length < sim->load.queue)
    g_queue_push_tail (&backend->waiting,
                       g_memdup2 (request, sizeof *request));
  else
    answer_request_ (sim, i, request, true);
}

void
sim_deliver_to_backend_ (struct simulation *sim, const struct delivery_ *d)
{
  struct backend_ *backend = &sim->backends[d->index];
  void *number = GUINT_TO_POINTER (d->packet.caller);
  struct packet_ answer = { .caller = d->packet.caller,
                            .from_service = true,
                            .flags = RGY_SEGMENT_ACK };

  if (!backend->alive)
    return;
  if (d->packet.flags == RGY_SEGMENT_SYN)
    {
      if (!g_hash_table_contains (backend->flows, number))
        {
          g_hash_table_insert (
              backend->flows, number,
              GUINT_TO_POINTER (g_rand_int_range (sim->rand, 1, G_MAXINT)));
          backend->accepted++;
          if (!sim->ever_routed[sim_get_service_ (sim, d->index)])
            sim->counts.wrong_service++;
          if (backend->draining
              && sim->now_us - backend->drained_us > DRAIN_LIMIT_US)
            sim->counts.accepted_after_drain++;
        }
      answer.flags = RGY_SEGMENT_SYN | RGY_SEGMENT_ACK;
      answer.seq
          = GPOINTER_TO_UINT (g_hash_table_lookup (backend->flows, number));
      send_from_backend_ (sim, d->index, answer,
                          &(struct rgy_segment_trailer){ 0 });
      return;
    }
  if (!g_hash_table_contains (backend->flows, number)
      || d->packet.ack
             != GPOINTER_TO_UINT (g_hash_table_lookup (backend->flows, number))
                    + 1)
    {
      struct packet_ bounced = d->packet;

      sim->counts.misdelivered++;
      bounced.flags |= RGY_SEGMENT_BOUNCED;
      send_from_backend_ (sim, d->index, bounced,
                          &(struct rgy_segment_trailer){
                              .balancer_ip = d->trail.balancer_ip });
      return;
    }
  g_hash_table_add (backend->opened, number);
  sim_find_caller_ (sim, d->packet.caller)->reached = true;
  if ((d->packet.flags & RGY_SEGMENT_FIN) != 0)
    {
      answer.flags |= RGY_SEGMENT_FIN;
      g_hash_table_remove (backend->flows, number);
      g_hash_table_remove (backend->opened, number);
      send_from_backend_ (sim, d->index, answer,
                          &(struct rgy_segment_trailer){ 0 });
      return;
    }
  if (sim->load.users == 0)
    {
      answer.payload_len = ANSWER_BYTES;
      answer.ack = d->packet.seq + d->packet.payload_len;
      send_from_backend_ (sim, d->index, answer,
                          &(struct rgy_segment_trailer){ 0 });
      return;
    }
  queue_request_ (sim, d->index, &d->packet);
}

void
sim_end_run_ (struct simulation *sim, const struct delivery_ *d)
{
  struct backend_ *backend = &sim->backends[d->index];
  struct packet_ *next;

  if (!backend->alive || backend->generation != d->generation)
    return;
  if (backend->speed <= 0)
    {
      sim_queue_event_ (sim, *d, HANG_CHECK_US);
      return;
    }
  if (backend->running-- == sim->load.slots)
    backend->free_since_us = sim->now_us;
  g_hash_table_insert (
      backend->answered, GUINT_TO_POINTER (d->packet.caller),
      GUINT_TO_POINTER (d->packet.seq + d->packet.payload_len));
  answer_request_ (sim, d->index, &d->packet, false);
  next = g_queue_pop_head (&backend->waiting);
  if (next != NULL)
    run_request_ (sim, d->index, next);
  g_free (next);
}

void
sim_clear_backend_ (struct backend_ *backend)
{
  g_queue_clear_full (&backend->waiting, g_free);
  g_hash_table_remove_all (backend->started);
  g_hash_table_remove_all (backend->answered);
  g_hash_table_remove_all (backend->flows);
  g_hash_table_remove_all (backend->opened);
  backend->running = 0;
}

void
sim_set_speed (struct simulation *sim, size_t i, double speed)
{
  sim->backends[i].speed = speed;
}

struct rgy_name
sim_get_service_name_ (const struct simulation *sim, size_t agent)
{
  return rgy_name_from_c (sim_get_service_ (sim, agent) == 0 ? "workshop"
                                                             : "catalogue");
}

struct rgy_name
sim_get_backend_name_ (const struct simulation *sim, size_t i)
{
  char *text = g_strdup_printf ("i-%zu-%u", i, sim->backends[i].generation);
  struct rgy_name name = rgy_name_from_c (text);

  g_free (text);
  return name;
}

void
sim_send_heartbeat_ (struct simulation *sim, size_t i)
{
  struct backend_ *backend = &sim->backends[i];
  struct rgy_backend_heartbeat heartbeat
      = { .id = sim_get_backend_name_ (sim, i),
          .service = sim_get_service_name_ (sim, i),
          .started_ms = backend->started_ms,
          .uptime_us = sim->now_us - backend->started_ms * RGY_US_PER_MS,
          .seq = ++backend->seq,
          .draining = backend->draining,
          .cold_left_us = MAX (backend->cold_until_us - sim->now_us, 0),
          .slots = sim->load.users == 0 ? DEFAULT_SLOTS : sim->load.slots };

  backend->next_heartbeat_us = sim->now_us + SIM_HEARTBEAT_US;
  if (sim->agents[i] != NULL && !sim_is_frozen_ (sim, &sim->agent_processes[i])
      && rgy_stream_agent_heartbeat (sim->agents[i], &heartbeat, sim->now_us)
             == RGY_OK
      && backend->draining && backend->drained_us == 0)
    backend->drained_us = sim->now_us;
}

void
sim_start_backend (struct simulation *sim, size_t i)
{
  struct backend_ *backend = &sim->backends[i];

  sim_clear_backend_ (backend);
  backend->alive = true;
  backend->draining = false;
  backend->drained_us = 0;
  backend->generation++;
  backend->free_since_us = sim->now_us;
  backend->seq = 0;
  backend->cold_until_us = sim->now_us + sim->load.cold_us;
  backend->started_ms = sim->now_us / RGY_US_PER_MS;
  backend->next_heartbeat_us
      = sim->now_us + g_rand_int_range (sim->rand, 0, 100000);
}

void
sim_end_backend (struct simulation *sim, size_t i, bool crashed)
{
  struct rgy_name name = sim_get_backend_name_ (sim, i);

  sim->backends[i].alive = false;
  if (!crashed && sim->agents[i] != NULL)
    (void)rgy_stream_agent_deregister (sim->agents[i], &name, sim->now_us);
}

void
sim_drain_backend (struct simulation *sim, size_t i)
{
  sim->backends[i].draining = true;
  sim_send_heartbeat_ (sim, i);
}
