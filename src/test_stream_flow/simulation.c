#include "simulation.h"

#include <glib.h>
#include <string.h>

#include "ragwortyoke/clock.h"
#include "ragwortyoke/stream_agent.h"
#include "ragwortyoke/stream_balancer.h"

#define BALANCER_IP 0x0a010000U
#define AGENT_IP 0x0a020000U
#define CALLER_IP 0x64400000U
#define SERVICE_IP 0xc6120001U
#define SERVICE_PORT 443
#define MIN_DELAY_US 300
#define MAX_DELAY_US 6000
#define LOCAL_DELAY_US 50
#define REQUEST_INTERVAL_US (200 * RGY_US_PER_MS)
#define FIRST_RETRY_US (200 * RGY_US_PER_MS)
#define MAX_RETRIES 5
#define LIST_UPDATE_INTERVAL_US (3 * RGY_US_PER_S)
#define REQUEST_TIMEOUT_US (5 * RGY_US_PER_S)
/* Time after the acknowledgement of a drain; the users allow no first segment
   at the backend server after it.  */
#define DRAIN_LIMIT_US (3 * RGY_US_PER_S)

/* Bytes of a simulated segment.  */
struct packet_
{
  uint32_t caller;
  bool from_service;
  uint8_t flags;
  uint32_t seq;
  uint32_t ack;
  uint16_t payload_len;
};

enum delivery_kind_
{
  TO_ROUTER,
  RETURNED_TO_BALANCER,
  MESSAGE_TO_BALANCER,
  TO_AGENT,
  MESSAGE_TO_AGENT,
  CHECK_RESULT_TO_AGENT, /* Result of a check of the backend server's
                            process.  */
  TO_BACKEND,
  FROM_BACKEND,
  TO_CALLER,
  RESET_TO_CALLER
};

struct delivery_
{
  int64_t at_us;
  uint64_t order;
  enum delivery_kind_ kind;
  size_t index;
  uint32_t from_ip;
  struct packet_ packet;
  struct rgy_segment_trailer trail;
  GByteArray *message;
  int64_t request_us; /* Time at which the check was requested.  */
};

struct backend_
{
  bool alive;
  bool draining;
  bool crashed; /* Ended without deregistering.  */
  int64_t drained_us;
  int64_t started_ms;
  unsigned generation;
  uint64_t seq;
  int64_t next_heartbeat_us;
  GHashTable *flows; /* Caller's number to the backend server's first sequence
                        number.  */
  unsigned accepted;
};

struct caller_
{
  uint32_t number;
  bool done;
  bool open;
  uint32_t seq;   /* Sequence number of the backend server's first segment.  */
  size_t backend; /* Index of the backend server whose answer the caller
                     accepted.  */
  int64_t began_us;
  int64_t ends_us;
  int64_t request_us; /* Time of the request that awaits an answer; 0 if
                         none.  */
  int64_t next_us;    /* Time of the next request or repetition.  */
  unsigned repeats;
};

struct process_
{
  struct simulation *simulation;
  bool is_agent;
  size_t index;
};

struct simulation
{
  GRand *rand;
  double loss_share;
  int64_t now_us;
  uint64_t order;
  GSequence *queue;
  size_t n_balancers;
  size_t n_agents;
  size_t n_workshop;
  struct rgy_stream_balancer *balancers[SIM_MAX_BALANCERS];
  bool leaving[SIM_MAX_BALANCERS];
  struct rgy_stream_agent *agents[SIM_MAX_AGENTS];
  struct backend_ backends[SIM_MAX_AGENTS];
  struct process_ balancer_processes[SIM_MAX_BALANCERS];
  struct process_ agent_processes[SIM_MAX_AGENTS];
  GPtrArray *callers;
  struct rgy_counters *counters;
  uint32_t weights[2];
  uint64_t version;
  uint64_t view_revision;
  struct rgy_domain_view view;
  bool ever_routed[2];
  unsigned flows_per_s;
  int64_t lifetime_us;
  int64_t next_flow_us;
  uint64_t next_incarnation;
  GByteArray *stored_agents; /* List of agents in the simulated store.  */
  int64_t next_list_update_us;
  bool started;
  struct sim_counts counts;
};

static gint
compare_deliveries_ (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct delivery_ *x = a;
  const struct delivery_ *y = b;

  (void)data;
  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static void
free_delivery_ (void *data)
{
  struct delivery_ *delivery = data;

  if (delivery->message != NULL)
    g_byte_array_unref (delivery->message);
  g_free (delivery);
}

static void
queue_delivery_ (struct simulation *sim, struct delivery_ delivery, bool local)
{
  int64_t delay
      = local ? LOCAL_DELAY_US
              : g_rand_int_range (sim->rand, MIN_DELAY_US, MAX_DELAY_US);

  if (!local && g_rand_double (sim->rand) < sim->loss_share)
    {
      if (delivery.message != NULL)
        g_byte_array_unref (delivery.message);
      return;
    }
  delivery.at_us = sim->now_us + delay;
  delivery.order = sim->order++;
  g_sequence_insert_sorted (sim->queue, g_memdup2 (&delivery, sizeof delivery),
                            compare_deliveries_, NULL);
}

static struct rgy_flow_key
make_key_ (uint32_t caller)
{
  return rgy_flow_key_segment (
      (struct rgy_endpoint){ .ip = CALLER_IP + caller / 50000,
                             .port = (uint16_t)(1024 + caller % 50000) },
      (struct rgy_endpoint){ .ip = SERVICE_IP, .port = SERVICE_PORT });
}

static uint32_t
get_caller_number_ (const struct rgy_flow_key *key)
{
  return (key->u.segment.caller.ip - CALLER_IP) * 50000
         + key->u.segment.caller.port - 1024U;
}

static struct rgy_segment
make_segment_ (const struct packet_ *packet,
               const struct rgy_segment_trailer *trail)
{
  return (struct rgy_segment){ .key = make_key_ (packet->caller),
                               .from_service = packet->from_service,
                               .flags = packet->flags,
                               .seq = packet->seq,
                               .ack = packet->ack,
                               .payload_len = packet->payload_len,
                               .trail = *trail,
                               .raw = { .data = (const uint8_t *)packet,
                                        .len = sizeof *packet } };
}

static void
run_action_ (void *ctx, const struct rgy_stream_action *action)
{
  struct process_ *process = ctx;
  struct simulation *sim = process->simulation;
  struct delivery_ d
      = { .from_ip = (uint32_t)((process->is_agent ? AGENT_IP : BALANCER_IP)
                                + process->index) };

  switch (action->kind)
    {
    case RGY_STREAM_TO_AGENT:
      d.kind = TO_AGENT;
      d.index = action->ip - AGENT_IP;
      break;
    case RGY_STREAM_TO_BALANCER:
      d.kind = RETURNED_TO_BALANCER;
      d.index = action->ip - BALANCER_IP;
      break;
    case RGY_STREAM_TO_BACKEND:
      d.kind = TO_BACKEND;
      d.index = process->index;
      break;
    case RGY_STREAM_TO_CALLER:
      d.kind = TO_CALLER;
      d.index = process->index;
      break;
    case RGY_STREAM_RESET:
      d.kind = RESET_TO_CALLER;
      d.packet.caller = get_caller_number_ (&action->u.reset.key);
      queue_delivery_ (sim, d, false);
      return;
    case RGY_STREAM_MESSAGE:
      d.kind = action->ip >= AGENT_IP ? MESSAGE_TO_AGENT : MESSAGE_TO_BALANCER;
      d.index = action->ip - (action->ip >= AGENT_IP ? AGENT_IP : BALANCER_IP);
      d.message = g_byte_array_new ();
      g_byte_array_append (d.message, action->u.message.data,
                           (guint)action->u.message.len);
      queue_delivery_ (sim, d, false);
      return;
    case RGY_STREAM_CHECK_BACKEND:
      d.kind = CHECK_RESULT_TO_AGENT;
      d.index = process->index;
      d.request_us = sim->now_us;
      if (!sim->backends[process->index].alive)
        queue_delivery_ (sim, d, true);
      return;
    case RGY_STREAM_FETCH_MANIFEST:
      return; /* Every balancer gets each manifest from sim_set_weights().  */
    case RGY_STREAM_LOG:
    case RGY_STREAM_LOG_FLOW:
      if (g_getenv ("WORLD_LOG") != NULL)
        g_printerr ("%10.4f %s %zu %s\n", (double)sim->now_us / 1e6,
                    process->is_agent ? "agent" : "balancer", process->index,
                    action->u.log);
      return;
    }
  memcpy (&d.packet, action->u.segment.raw.data, sizeof d.packet);
  d.packet.flags &= (uint8_t)~RGY_SEGMENT_BOUNCED;
  d.trail = action->u.segment.trail;
  queue_delivery_ (sim, d, d.kind == TO_BACKEND);
}

static void
send_from_caller_ (struct simulation *sim, const struct caller_ *caller,
                   uint8_t flags, uint16_t len)
{
  struct delivery_ d
      = { .kind = TO_ROUTER,
          .packet = { .caller = caller->number,
                      .flags = flags,
                      .ack = caller->open ? caller->seq + 1 : caller->repeats,
                      .payload_len = len } };

  queue_delivery_ (sim, d, false);
}

static void
end_unanswered_caller_ (struct simulation *sim, struct caller_ *caller)
{
  if (caller->request_us != 0)
    sim->counts.unanswered++;
  caller->request_us = 0;
  caller->done = true;
}

static struct caller_ *
find_caller_ (struct simulation *sim, uint32_t number)
{
  return number < sim->callers->len ? g_ptr_array_index (sim->callers, number)
                                    : NULL;
}

static void
begin_flow_ (struct simulation *sim)
{
  struct caller_ *caller = g_new0 (struct caller_, 1);

  caller->number = sim->callers->len;
  caller->began_us = sim->now_us;
  caller->ends_us = sim->now_us + sim->lifetime_us;
  caller->next_us = sim->now_us + FIRST_RETRY_US;
  g_ptr_array_add (sim->callers, caller);
  send_from_caller_ (sim, caller, RGY_SEGMENT_SYN, 0);
}

static void
step_caller_ (struct simulation *sim, struct caller_ *caller)
{
  if (caller->done || sim->now_us < caller->next_us)
    return;
  if (!caller->open)
    {
      if (++caller->repeats > 2)
        {
          caller->done = true;
          return;
        }
      caller->next_us = sim->now_us + 2 * FIRST_RETRY_US;
      send_from_caller_ (sim, caller, RGY_SEGMENT_SYN, 0);
      return;
    }
  if (caller->request_us == 0)
    {
      if (sim->now_us >= caller->ends_us)
        {
          send_from_caller_ (sim, caller, RGY_SEGMENT_FIN | RGY_SEGMENT_ACK,
                             0);
          caller->done = true;
          return;
        }
      caller->request_us = sim->now_us;
      caller->repeats = 0;
    }
  else if (sim->now_us - caller->request_us > REQUEST_TIMEOUT_US)
    {
      end_unanswered_caller_ (sim, caller);
      return;
    }
  send_from_caller_ (sim, caller, RGY_SEGMENT_ACK, 100);
  caller->next_us = sim->now_us + (FIRST_RETRY_US << MIN (caller->repeats, 3));
  caller->repeats++;
}

/* True if the backend server whose answer the caller accepted still serves the
   flow.  The sequence number distinguishes it from a flow that a copy of the
   first segment opened after a restart of the backend server.  */
static bool
is_flow_served_ (const struct simulation *sim, const struct caller_ *caller)
{
  const struct backend_ *backend = &sim->backends[caller->backend];

  return backend->alive
         && GPOINTER_TO_UINT (g_hash_table_lookup (
                backend->flows, GUINT_TO_POINTER (caller->number)))
                == caller->seq;
}

static void
deliver_to_caller_ (struct simulation *sim, const struct delivery_ *d)
{
  struct caller_ *caller = find_caller_ (sim, d->packet.caller);

  if (caller == NULL || caller->done)
    return;
  if (d->kind == RESET_TO_CALLER)
    {
      if (!caller->open)
        sim->counts.rejected++;
      else if (is_flow_served_ (sim, caller))
        {
          sim->counts.wrong_resets++;
          if (g_getenv ("WORLD_LOG") != NULL)
            g_printerr ("%10.4f wrong_reset caller=%u backend=%zu\n",
                        (double)sim->now_us / 1e6, caller->number,
                        caller->backend);
        }
      else
        sim->counts.resets++;
      caller->request_us = 0;
      caller->done = true;
      return;
    }
  if ((d->packet.flags & RGY_SEGMENT_SYN) != 0)
    {
      if (caller->open)
        return;
      caller->open = true;
      caller->seq = d->packet.seq;
      caller->backend = d->index;
      caller->next_us = sim->now_us;
      sim->counts.opened++;
      return;
    }
  if (caller->open && d->packet.payload_len > 0 && caller->request_us != 0)
    {
      caller->request_us = 0;
      caller->next_us = sim->now_us + REQUEST_INTERVAL_US;
      sim->counts.answered++;
    }
}

static size_t
get_service_ (const struct simulation *sim, size_t agent)
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

  queue_delivery_ (sim, d, true);
}

static void
deliver_to_backend_ (struct simulation *sim, const struct delivery_ *d)
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
          if (!sim->ever_routed[get_service_ (sim, d->index)])
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
  if ((d->packet.flags & RGY_SEGMENT_FIN) != 0)
    {
      answer.flags |= RGY_SEGMENT_FIN;
      g_hash_table_remove (backend->flows, number);
      send_from_backend_ (sim, d->index, answer,
                          &(struct rgy_segment_trailer){ 0 });
      return;
    }
  answer.payload_len = 200;
  send_from_backend_ (sim, d->index, answer,
                      &(struct rgy_segment_trailer){ 0 });
}

static struct rgy_name
get_service_name_ (const struct simulation *sim, size_t agent)
{
  return rgy_name_from_c (get_service_ (sim, agent) == 0 ? "workshop"
                                                         : "catalogue");
}

static struct rgy_name
get_backend_name_ (const struct simulation *sim, size_t i)
{
  char *text = g_strdup_printf ("i-%zu-%u", i, sim->backends[i].generation);
  struct rgy_name name = rgy_name_from_c (text);

  g_free (text);
  return name;
}

static void
send_heartbeat_ (struct simulation *sim, size_t i)
{
  struct backend_ *backend = &sim->backends[i];
  struct rgy_backend_heartbeat heartbeat
      = { .id = get_backend_name_ (sim, i),
          .service = get_service_name_ (sim, i),
          .started_ms = backend->started_ms,
          .seq = ++backend->seq,
          .draining = backend->draining,
          .slots = 4 };

  backend->next_heartbeat_us = sim->now_us + SIM_HEARTBEAT_US;
  if (sim->agents[i] != NULL
      && rgy_stream_agent_heartbeat (sim->agents[i], &heartbeat, sim->now_us)
             == RGY_OK
      && backend->draining && backend->drained_us == 0)
    backend->drained_us = sim->now_us;
}

static void
route_segment_ (struct simulation *sim, const struct delivery_ *d)
{
  size_t ready[SIM_MAX_BALANCERS];
  size_t n = 0;
  size_t i;
  struct rgy_segment segment
      = make_segment_ (&d->packet, &(struct rgy_segment_trailer){ 0 });

  for (i = 0; i < sim->n_balancers; i++)
    if (sim->balancers[i] != NULL
        && rgy_stream_balancer_is_ready (sim->balancers[i], sim->now_us))
      ready[n++] = i;
  if (n == 0)
    return;
  i = ready[rgy_flow_key_hash (&segment.key) % n];
  rgy_stream_balancer_from_router (sim->balancers[i], &segment, sim->now_us);
}

static void
run_delivery_ (struct simulation *sim, struct delivery_ *d)
{
  struct rgy_segment segment = make_segment_ (&d->packet, &d->trail);
  struct rgy_bytes message
      = { .data = d->message == NULL ? NULL : d->message->data,
          .len = d->message == NULL ? 0 : d->message->len };

  switch (d->kind)
    {
    case TO_ROUTER:
      route_segment_ (sim, d);
      return;
    case RETURNED_TO_BALANCER:
      if (d->index < sim->n_balancers && sim->balancers[d->index] != NULL)
        rgy_stream_balancer_from_agent (sim->balancers[d->index], &segment,
                                        d->from_ip, sim->now_us);
      return;
    case MESSAGE_TO_BALANCER:
      if (d->index < sim->n_balancers && sim->balancers[d->index] != NULL)
        (void)rgy_stream_balancer_from_message (
            sim->balancers[d->index], message, d->from_ip, sim->now_us);
      return;
    case TO_AGENT:
      if (sim->agents[d->index] != NULL)
        rgy_stream_agent_from_balancer (sim->agents[d->index], &segment,
                                        d->from_ip, sim->now_us);
      return;
    case MESSAGE_TO_AGENT:
      if (sim->agents[d->index] != NULL)
        (void)rgy_stream_agent_from_message (sim->agents[d->index], message,
                                             d->from_ip, sim->now_us);
      return;
    case CHECK_RESULT_TO_AGENT:
      if (sim->agents[d->index] != NULL)
        rgy_stream_agent_backend_not_running (sim->agents[d->index],
                                              d->request_us, sim->now_us);
      return;
    case TO_BACKEND:
      deliver_to_backend_ (sim, d);
      return;
    case FROM_BACKEND:
      if (sim->agents[d->index] != NULL)
        rgy_stream_agent_from_backend (sim->agents[d->index], &segment,
                                       sim->now_us);
      return;
    case TO_CALLER:
    case RESET_TO_CALLER:
      deliver_to_caller_ (sim, d);
      return;
    }
}

/* Lets every balancer update the store's list of agents.  */
static void
update_agent_list_ (struct simulation *sim)
{
  size_t i;

  sim->next_list_update_us = sim->now_us + LIST_UPDATE_INTERVAL_US;
  for (i = 0; i < sim->n_balancers; i++)
    {
      GByteArray *wanted = g_byte_array_new ();

      if (sim->balancers[i] != NULL
          && rgy_stream_balancer_update_agent_list (
              sim->balancers[i],
              (struct rgy_bytes){ .data = sim->stored_agents->data,
                                  .len = sim->stored_agents->len },
              wanted, sim->now_us))
        {
          g_byte_array_set_size (sim->stored_agents, 0);
          g_byte_array_append (sim->stored_agents, wanted->data, wanted->len);
        }
      g_byte_array_unref (wanted);
    }
}

static void
run_tick_ (struct simulation *sim)
{
  guint k;
  size_t i;

  if (sim->now_us >= sim->next_list_update_us)
    update_agent_list_ (sim);
  for (i = 0; i < sim->n_balancers; i++)
    if (sim->balancers[i] != NULL)
      rgy_stream_balancer_tick (sim->balancers[i], sim->now_us);
  for (i = 0; i < sim->n_agents; i++)
    {
      if (sim->agents[i] != NULL)
        rgy_stream_agent_tick (sim->agents[i], sim->now_us);
      if (sim->backends[i].alive
          && sim->now_us >= sim->backends[i].next_heartbeat_us)
        send_heartbeat_ (sim, i);
    }
  for (k = 0; k < sim->callers->len; k++)
    step_caller_ (sim, g_ptr_array_index (sim->callers, k));
  while (sim->flows_per_s > 0 && sim->now_us >= sim->next_flow_us)
    {
      begin_flow_ (sim);
      sim->next_flow_us += RGY_US_PER_S / sim->flows_per_s;
    }
}

void
sim_run (struct simulation *sim, int64_t us)
{
  int64_t until = sim->now_us + us;

  while (sim->now_us < until)
    {
      int64_t next_tick = sim->now_us + RGY_STREAM_TICK_US;

      while (!g_sequence_is_empty (sim->queue))
        {
          GSequenceIter *first = g_sequence_get_begin_iter (sim->queue);
          struct delivery_ *d = g_sequence_get (first);

          if (d->at_us > next_tick)
            break;
          sim->now_us = MAX (sim->now_us, d->at_us);
          {
            struct delivery_ copy = *d;

            if (copy.message != NULL)
              g_byte_array_ref (copy.message);
            g_sequence_remove (first);
            run_delivery_ (sim, &copy);
            if (copy.message != NULL)
              g_byte_array_unref (copy.message);
          }
        }
      sim->now_us = next_tick;
      run_tick_ (sim);
    }
}

struct simulation *
sim_new (uint64_t seed, size_t n_balancers, size_t n_agents, double loss_share)
{
  struct simulation *sim = g_new0 (struct simulation, 1);
  size_t i;

  sim->rand = g_rand_new_with_seed ((guint32)seed);
  sim->loss_share = loss_share;
  sim->now_us = 100 * RGY_US_PER_S;
  sim->queue = g_sequence_new (free_delivery_);
  sim->n_balancers = n_balancers;
  sim->n_agents = n_agents;
  sim->n_workshop = n_agents;
  sim->callers = g_ptr_array_new_with_free_func (g_free);
  sim->counters = rgy_counters_new ();
  sim->stored_agents = g_byte_array_new ();
  sim->weights[0] = 1;
  sim->lifetime_us = 10 * RGY_US_PER_S;
  for (i = 0; i < n_balancers; i++)
    sim->balancer_processes[i]
        = (struct process_){ .simulation = sim, .index = i };
  for (i = 0; i < n_agents; i++)
    {
      sim->agent_processes[i] = (struct process_){ .simulation = sim,
                                                   .is_agent = true,
                                                   .index = i };
      sim->backends[i].flows
          = g_hash_table_new (g_direct_hash, g_direct_equal);
    }
  return sim;
}

void
sim_delete (struct simulation *sim)
{
  size_t i;

  for (i = 0; i < sim->n_balancers; i++)
    rgy_stream_balancer_delete (sim->balancers[i]);
  for (i = 0; i < sim->n_agents; i++)
    {
      rgy_stream_agent_delete (sim->agents[i]);
      g_hash_table_unref (sim->backends[i].flows);
    }
  g_sequence_free (sim->queue);
  g_ptr_array_unref (sim->callers);
  rgy_counters_delete (sim->counters);
  g_byte_array_unref (sim->stored_agents);
  g_rand_free (sim->rand);
  g_free (sim);
}

void
sim_set_workshop (struct simulation *sim, size_t n)
{
  sim->n_workshop = n;
}

static struct rgy_stream_manifest *
make_manifest_ (const struct simulation *sim)
{
  static const char *const names[] = { "workshop", "catalogue" };
  struct rgy_stream_manifest *manifest
      = rgy_stream_manifest_new (sim->version);
  struct rgy_route route
      = { .address = { .ip = SERVICE_IP, .port = SERVICE_PORT } };
  size_t i;

  for (i = 0; i < 2; i++)
    if (sim->weights[i] > 0)
      {
        route.targets[route.n_targets].service = rgy_name_from_c (names[i]);
        route.targets[route.n_targets++].weight = sim->weights[i];
      }
  (void)rgy_stream_manifest_add_route (manifest, &route);
  return manifest;
}

void
sim_set_weights (struct simulation *sim, uint32_t workshop, uint32_t catalogue)
{
  size_t i;

  sim->version++;
  sim->weights[0] = workshop;
  sim->weights[1] = catalogue;
  sim->ever_routed[0] |= workshop > 0;
  sim->ever_routed[1] |= catalogue > 0;
  for (i = 0; i < sim->n_balancers; i++)
    if (sim->balancers[i] != NULL)
      (void)rgy_stream_balancer_set_manifest (
          sim->balancers[i], make_manifest_ (sim), sim->now_us);
}

void
sim_start_balancer (struct simulation *sim, size_t i)
{
  struct rgy_stream_balancer_settings settings
      = { .own_ip = (uint32_t)(BALANCER_IP + i),
          .domain = rgy_name_from_c (i % 2 == 0 ? "poa-a" : "poa-b"),
          .incarnation = ++sim->next_incarnation,
          .flow_ttl_us = 60 * RGY_US_PER_S,
          .max_flows = 100000,
          .out = { .emit = run_action_, .ctx = &sim->balancer_processes[i] } };
  size_t k;

  sim->balancers[i]
      = rgy_stream_balancer_new (&settings, sim->counters, sim->now_us);
  (void)rgy_stream_balancer_set_manifest (sim->balancers[i],
                                          make_manifest_ (sim), sim->now_us);
  rgy_stream_balancer_set_domain_view (sim->balancers[i], &sim->view,
                                       sim->now_us);
  for (k = 0; k < sim->n_balancers; k++)
    rgy_stream_balancer_add_peer (sim->balancers[i],
                                  (uint32_t)(BALANCER_IP + k), sim->now_us);
  rgy_stream_balancer_add_stored_agents (
      sim->balancers[i],
      (struct rgy_bytes){ .data = sim->stored_agents->data,
                          .len = sim->stored_agents->len },
      sim->now_us);
}

void
sim_kill_balancer (struct simulation *sim, size_t i)
{
  rgy_stream_balancer_delete (sim->balancers[i]);
  sim->balancers[i] = NULL;
}

void
sim_stop_balancer (struct simulation *sim, size_t i)
{
  rgy_stream_balancer_stop (sim->balancers[i]);
}

void
sim_start_agent (struct simulation *sim, size_t i)
{
  struct rgy_stream_agent_settings settings
      = { .service = get_service_name_ (sim, i),
          .domain = rgy_name_from_c (i % 2 == 0 ? "poa-a" : "poa-b"),
          .incarnation = ++sim->next_incarnation,
          .flow_ttl_us = 60 * RGY_US_PER_S,
          .heartbeat_us = SIM_HEARTBEAT_US,
          .max_flows = 100000,
          .cold_overshoot = 1.5,
          .cold_slack = 5,
          .first_start = !sim->started,
          .out = { .emit = run_action_, .ctx = &sim->agent_processes[i] } };
  size_t k;

  sim->agents[i]
      = rgy_stream_agent_new (&settings, sim->counters, sim->now_us);
  for (k = 0; k < sim->n_balancers; k++)
    rgy_stream_agent_add_balancer (sim->agents[i], (uint32_t)(BALANCER_IP + k),
                                   sim->now_us);
}

void
sim_kill_agent (struct simulation *sim, size_t i)
{
  rgy_stream_agent_delete (sim->agents[i]);
  sim->agents[i] = NULL;
}

void
sim_stop_agent (struct simulation *sim, size_t i)
{
  rgy_stream_agent_stop (sim->agents[i], sim->now_us);
  sim_kill_agent (sim, i);
}

void
sim_start_backend (struct simulation *sim, size_t i)
{
  struct backend_ *backend = &sim->backends[i];

  g_hash_table_remove_all (backend->flows);
  backend->alive = true;
  backend->draining = false;
  backend->drained_us = 0;
  backend->generation++;
  backend->seq = 0;
  backend->started_ms = sim->now_us / RGY_US_PER_MS;
  backend->next_heartbeat_us
      = sim->now_us + g_rand_int_range (sim->rand, 0, 100000);
}

void
sim_end_backend (struct simulation *sim, size_t i, bool crashed)
{
  struct rgy_name name = get_backend_name_ (sim, i);

  sim->backends[i].alive = false;
  if (!crashed && sim->agents[i] != NULL)
    (void)rgy_stream_agent_deregister (sim->agents[i], &name, sim->now_us);
}

void
sim_drain_backend (struct simulation *sim, size_t i)
{
  sim->backends[i].draining = true;
  send_heartbeat_ (sim, i);
}

void
sim_set_domain_out (struct simulation *sim, const char *domain)
{
  size_t i;

  sim->view.revision++;
  sim->view.n_out = domain == NULL ? 0 : 1;
  if (domain != NULL)
    sim->view.out[0] = rgy_name_from_c (domain);
  for (i = 0; i < sim->n_balancers; i++)
    if (sim->balancers[i] != NULL)
      rgy_stream_balancer_set_domain_view (sim->balancers[i], &sim->view,
                                           sim->now_us);
}

void
sim_start (struct simulation *sim)
{
  size_t i;

  if (sim->version == 0)
    sim_set_weights (sim, 1, 0);
  for (i = 0; i < sim->n_balancers; i++)
    sim_start_balancer (sim, i);
  for (i = 0; i < sim->n_agents; i++)
    {
      sim_start_agent (sim, i);
      sim_start_backend (sim, i);
    }
  sim->started = true;
  sim_run (sim, 2 * RGY_US_PER_S);
  sim->next_flow_us = sim->now_us;
}

void
sim_set_load (struct simulation *sim, unsigned flows_per_s,
              int64_t lifetime_us)
{
  sim->flows_per_s = flows_per_s;
  sim->lifetime_us = lifetime_us;
  sim->next_flow_us = sim->now_us;
}

const struct sim_counts *
sim_get_counts (const struct simulation *sim)
{
  return &sim->counts;
}

unsigned
sim_get_accepted (const struct simulation *sim, size_t i)
{
  return sim->backends[i].accepted;
}
