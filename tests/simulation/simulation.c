#include "simulation_private.h"

#include <string.h>

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

void
sim_queue_event_ (struct simulation *sim, struct delivery_ delivery,
                  int64_t delay_us)
{
  delivery.at_us = sim->now_us + delay_us;
  delivery.order = sim->order++;
  g_sequence_insert_sorted (sim->queue, g_memdup2 (&delivery, sizeof delivery),
                            compare_deliveries_, NULL);
}

void
sim_queue_delivery_ (struct simulation *sim, struct delivery_ delivery,
                     bool local)
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
  sim_queue_event_ (sim, delivery, delay);
}

static struct rgy_flow_key
make_key_ (const struct simulation *sim, uint32_t number)
{
  const struct caller_ *caller = sim_find_caller_ (sim, number);

  return rgy_flow_key_segment (
      (struct rgy_endpoint){ .ip = CALLER_IP + number / 50000,
                             .port = (uint16_t)(1024 + number % 50000) },
      (struct rgy_endpoint){ .ip = SERVICE_IP,
                             .port = sim->load.kinds[caller->kind].port });
}

static uint32_t
get_caller_number_ (const struct rgy_flow_key *key)
{
  return (key->u.segment.caller.ip - CALLER_IP) * 50000
         + key->u.segment.caller.port - 1024U;
}

static struct rgy_segment
make_segment_ (const struct simulation *sim, const struct packet_ *packet,
               const struct rgy_segment_trailer *trail)
{
  return (struct rgy_segment){ .key = make_key_ (sim, packet->caller),
                               .from_service = packet->from_service,
                               .flags = packet->flags,
                               .seq = packet->seq,
                               .ack = packet->ack,
                               .payload_len = packet->payload_len,
                               .trail = *trail,
                               .raw = { .data = (const uint8_t *)packet,
                                        .len = sizeof *packet } };
}

static struct rgy_name
get_domain_name_ (const struct simulation *sim, size_t instance)
{
  static const char *const names[SIM_MAX_DOMAINS]
      = { "poa-a", "poa-b", "cxs-c", "fln-d", "jve-e" };

  return rgy_name_from_c (names[instance % sim->n_domains]);
}

static void
count_message_ (struct simulation *sim, const struct process_ *from,
                bool to_agent, size_t to, size_t bytes)
{
  *(from->is_agent ? &sim->traffic.from_agents : &sim->traffic.from_balancers)
      += bytes;
  *(to_agent ? &sim->traffic.to_agents : &sim->traffic.to_balancers) += bytes;
  if (from->index % sim->n_domains != to % sim->n_domains)
    sim->traffic.between_domains += bytes;
}

/* Queues a delivery from one instance to another unless the path between
   their failure domains is cut.  */
static void
queue_delivery_between_ (struct simulation *sim, struct delivery_ d,
                         size_t from)
{
  if (!sim->cut[from % sim->n_domains][d.index % sim->n_domains])
    sim_queue_delivery_ (sim, d, false);
  else if (d.message != NULL)
    g_byte_array_unref (d.message);
}

static void
save_flows_ (struct simulation *sim, size_t domain, struct rgy_bytes bytes)
{
  if (sim->stored_flows[domain] != NULL)
    g_byte_array_unref (sim->stored_flows[domain]);
  sim->stored_flows[domain] = g_byte_array_new ();
  g_byte_array_append (sim->stored_flows[domain], bytes.data,
                       (guint)bytes.len);
}

static void
run_action_ (void *ctx, const struct rgy_stream_action *action)
{
  struct process_ *process = ctx;
  struct simulation *sim = process->simulation;
  const struct caller_ *caller;
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
      caller = sim_find_caller_ (sim, d.packet.caller);
      if (caller != NULL && !caller->reached && !caller->done)
        sim_count_refusal_ (sim, caller, process->index % sim->n_domains);
      sim_queue_delivery_ (sim, d, false);
      return;
    case RGY_STREAM_MESSAGE:
      d.kind = action->ip >= AGENT_IP ? MESSAGE_TO_AGENT : MESSAGE_TO_BALANCER;
      d.index = action->ip - (action->ip >= AGENT_IP ? AGENT_IP : BALANCER_IP);
      d.message = g_byte_array_new ();
      g_byte_array_append (d.message, action->u.message.data,
                           (guint)action->u.message.len);
      count_message_ (sim, process, d.kind == MESSAGE_TO_AGENT, d.index,
                      d.message->len);
      queue_delivery_between_ (sim, d, process->index);
      return;
    case RGY_STREAM_CHECK_BACKEND:
      d.kind = CHECK_RESULT_TO_AGENT;
      d.index = process->index;
      d.request_us = sim->now_us;
      if (!sim->backends[process->index].alive)
        sim_queue_delivery_ (sim, d, true);
      return;
    case RGY_STREAM_SAVE_FLOWS:
      if (!sim->store_down)
        save_flows_ (sim, process->index % sim->n_domains, action->u.stored);
      return;
    case RGY_STREAM_LOAD_FLOWS:
      d.kind = STORED_FLOWS_TO_BALANCER;
      d.index = process->index;
      sim_queue_event_ (sim, d, STORE_DELAY_US);
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
  if (d.kind == TO_AGENT || d.kind == RETURNED_TO_BALANCER)
    queue_delivery_between_ (sim, d, process->index);
  else
    sim_queue_delivery_ (sim, d, d.kind == TO_BACKEND);
}

void
sim_send_from_caller_ (struct simulation *sim, const struct caller_ *caller,
                       uint8_t flags, uint16_t len)
{
  struct delivery_ d
      = { .kind = TO_ROUTER,
          .packet = { .caller = caller->number,
                      .flags = flags,
                      .seq = caller->open ? 1 + caller->sent : 0,
                      .ack = caller->open ? caller->seq + 1 : caller->repeats,
                      .payload_len = len } };

  sim_queue_delivery_ (sim, d, false);
}

static void
end_unanswered_caller_ (struct simulation *sim, struct caller_ *caller)
{
  if (caller->request_us != 0)
    sim->counts.unanswered++;
  caller->request_us = 0;
  sim_end_caller_ (sim, caller);
}

void
sim_end_caller_ (struct simulation *sim, struct caller_ *caller)
{
  caller->done = true;
  caller->done_us = sim->now_us;
}

struct caller_ *
sim_find_caller_ (const struct simulation *sim, uint32_t number)
{
  return number < sim->callers->len ? g_ptr_array_index (sim->callers, number)
                                    : NULL;
}

bool
sim_is_frozen_ (const struct simulation *sim, const struct process_ *process)
{
  return sim->now_us < process->frozen_until_us;
}

bool
sim_is_domain_out_ (const struct simulation *sim, size_t instance)
{
  struct rgy_name domain = get_domain_name_ (sim, instance);

  return rgy_domain_view_is_out (&sim->view, &domain);
}

struct caller_ *
sim_begin_flow_ (struct simulation *sim, size_t kind, size_t domain)
{
  struct caller_ *caller = g_new0 (struct caller_, 1);

  caller->number = sim->callers->len;
  caller->kind = kind;
  caller->domain = domain;
  caller->began_us = sim->now_us;
  caller->ends_us = sim->now_us + sim->lifetime_us;
  caller->next_us = sim->now_us + FIRST_RETRY_US;
  g_ptr_array_add (sim->callers, caller);
  g_ptr_array_add (sim->active, caller);
  sim_send_from_caller_ (sim, caller, RGY_SEGMENT_SYN, 0);
  return caller;
}

void
sim_send_request_ (struct simulation *sim, struct caller_ *caller)
{
  caller->request_us = sim->now_us;
  caller->repeats = 1;
  caller->next_us = sim->now_us + FIRST_RETRY_US;
  sim_send_from_caller_ (sim, caller, RGY_SEGMENT_ACK, REQUEST_BYTES);
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
          sim_end_caller_ (sim, caller);
          sim_handle_user_flow_end_ (sim, caller, false);
          return;
        }
      caller->next_us = sim->now_us + (FIRST_RETRY_US << caller->repeats);
      sim_send_from_caller_ (sim, caller, RGY_SEGMENT_SYN, 0);
      return;
    }
  if (caller->of_user && caller->request_us == 0)
    return;
  if (caller->request_us == 0)
    {
      if (sim->now_us >= caller->ends_us)
        {
          sim_send_from_caller_ (sim, caller,
                                 RGY_SEGMENT_FIN | RGY_SEGMENT_ACK, 0);
          sim_end_caller_ (sim, caller);
          return;
        }
      caller->request_us = sim->now_us;
      caller->repeats = 0;
    }
  else if (!caller->of_user
           && sim->now_us - caller->request_us > REQUEST_TIMEOUT_US)
    {
      end_unanswered_caller_ (sim, caller);
      return;
    }
  sim_send_from_caller_ (sim, caller, RGY_SEGMENT_ACK, REQUEST_BYTES);
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

/* True if a reset of a flow that the backend server serves is right, because
   it has not got the end of the handshake.  */
static bool
is_early_reset_ (const struct simulation *sim, const struct caller_ *caller)
{
  return sim->allows_early_resets
         && !g_hash_table_contains (sim->backends[caller->backend].opened,
                                    GUINT_TO_POINTER (caller->number));
}

void
sim_allow_early_resets (struct simulation *sim)
{
  sim->allows_early_resets = true;
}

static void
deliver_to_caller_ (struct simulation *sim, const struct delivery_ *d)
{
  struct caller_ *caller = sim_find_caller_ (sim, d->packet.caller);

  if (caller == NULL || caller->done)
    return;
  if (d->kind == RESET_TO_CALLER)
    {
      if (!caller->open || is_early_reset_ (sim, caller))
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
        {
          sim->counts.resets++;
          sim->counts.requests_reset += caller->request_us != 0;
        }
      caller->request_us = 0;
      sim_end_caller_ (sim, caller);
      sim_handle_user_flow_end_ (sim, caller, true);
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
      if (caller->request != NULL)
        sim_send_request_ (sim, caller);
      return;
    }
  if (caller->open && d->packet.payload_len > 0 && caller->request_us != 0
      && d->packet.ack == 1 + caller->sent + REQUEST_BYTES)
    {
      caller->request_us = 0;
      caller->sent += REQUEST_BYTES;
      caller->next_us = sim->now_us + REQUEST_INTERVAL_US;
      sim->counts.answered++;
      if (caller->of_user)
        sim_handle_user_answer_ (sim, caller, &d->packet);
    }
}

/* A frozen balancer, whose readiness was good, stays in rotation for a
   while.  */
static bool
is_in_rotation_ (const struct simulation *sim, size_t i)
{
  const struct process_ *process = &sim->balancer_processes[i];

  if (sim->balancers[i] == NULL)
    return false;
  if (sim_is_frozen_ (sim, process))
    return sim->now_us - process->frozen_us < ROTATION_US;
  return rgy_stream_balancer_is_ready (sim->balancers[i], sim->now_us);
}

static bool
have_callers_domains_ (const struct simulation *sim)
{
  size_t i;

  for (i = 0; i < SIM_MAX_DOMAINS; i++)
    if (sim->load.domain_share[i] > 0)
      return true;
  return false;
}

/* Collects the balancers in rotation, those of one failure domain if there are
   any; without any in rotation, all that run.  */
static size_t
list_balancers_ (const struct simulation *sim, size_t domain, size_t *found)
{
  size_t n = 0;
  size_t i;

  for (i = 0; have_callers_domains_ (sim) && i < sim->n_balancers; i++)
    if (i % sim->n_domains == domain && is_in_rotation_ (sim, i))
      found[n++] = i;
  if (n > 0)
    return n;
  for (i = 0; i < sim->n_balancers; i++)
    if (is_in_rotation_ (sim, i))
      found[n++] = i;
  if (n > 0)
    return n;
  for (i = 0; i < sim->n_balancers; i++)
    if (sim->balancers[i] != NULL && sim->load.users > 0)
      found[n++] = i;
  return n;
}

/* Makes a delivery to the router one to a balancer; returns false if none
   runs.  */
static bool
route_segment_ (const struct simulation *sim, struct delivery_ *d)
{
  size_t found[SIM_MAX_BALANCERS];
  const struct caller_ *caller = sim_find_caller_ (sim, d->packet.caller);
  size_t n = list_balancers_ (sim, caller->domain, found);
  struct rgy_flow_key key = make_key_ (sim, d->packet.caller);

  if (n == 0)
    return false;
  d->kind = ROUTED_TO_BALANCER;
  d->index = found[rgy_flow_key_hash (&key) % n];
  return true;
}

/* Returns the process that a delivery is for, or NULL.  */
static struct process_ *
get_receiver_ (struct simulation *sim, const struct delivery_ *d)
{
  switch (d->kind)
    {
    case ROUTED_TO_BALANCER:
    case RETURNED_TO_BALANCER:
    case MESSAGE_TO_BALANCER:
    case STORED_FLOWS_TO_BALANCER:
      return &sim->balancer_processes[d->index];
    case TO_AGENT:
    case MESSAGE_TO_AGENT:
    case CHECK_RESULT_TO_AGENT:
    case FROM_BACKEND:
      return &sim->agent_processes[d->index];
    case TO_ROUTER:
    case TO_BACKEND:
    case RUN_ENDED:
    case TO_CALLER:
    case RESET_TO_CALLER:
      return NULL;
    }
  return NULL;
}

/* Keeps a delivery to a frozen process until its end; returns false if the
   process is not frozen.  */
static bool
hold_delivery_ (struct simulation *sim, const struct delivery_ *d)
{
  struct process_ *process = get_receiver_ (sim, d);

  if (process == NULL || !sim_is_frozen_ (sim, process))
    return false;
  if (process->held++ < MAX_HELD)
    {
      if (d->message != NULL)
        g_byte_array_ref (d->message);
      sim_queue_event_ (sim, *d, process->frozen_until_us - sim->now_us);
    }
  return true;
}

static void
give_stored_flows_ (struct simulation *sim, size_t balancer)
{
  const GByteArray *stored = sim->stored_flows[balancer % sim->n_domains];
  struct rgy_bytes bytes = { 0 };

  if (sim->balancers[balancer] == NULL || sim->store_down)
    return;
  if (stored != NULL)
    bytes = (struct rgy_bytes){ .data = stored->data, .len = stored->len };
  rgy_stream_balancer_set_stored_flows (sim->balancers[balancer], bytes,
                                        sim->now_us);
}

static void
run_delivery_ (struct simulation *sim, struct delivery_ *d)
{
  struct rgy_segment segment = { 0 };
  struct rgy_bytes message
      = { .data = d->message == NULL ? NULL : d->message->data,
          .len = d->message == NULL ? 0 : d->message->len };

  if (d->kind == TO_ROUTER && !route_segment_ (sim, d))
    return;
  if (hold_delivery_ (sim, d))
    return;
  if (d->packet.caller < sim->callers->len)
    segment = make_segment_ (sim, &d->packet, &d->trail);
  switch (d->kind)
    {
    case TO_ROUTER:
      return;
    case ROUTED_TO_BALANCER:
      if (sim->balancers[d->index] != NULL)
        rgy_stream_balancer_from_router (sim->balancers[d->index], &segment,
                                         sim->now_us);
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
    case STORED_FLOWS_TO_BALANCER:
      give_stored_flows_ (sim, d->index);
      return;
    case CHECK_RESULT_TO_AGENT:
      if (sim->agents[d->index] != NULL)
        rgy_stream_agent_backend_not_running (sim->agents[d->index],
                                              d->request_us, sim->now_us);
      return;
    case TO_BACKEND:
      sim_deliver_to_backend_ (sim, d);
      return;
    case RUN_ENDED:
      sim_end_run_ (sim, d);
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

/* Steps the callers in the order of their beginning, and forgets those that
   are done.  */
static void
step_callers_ (struct simulation *sim)
{
  guint n = sim->active->len;
  guint kept = 0;
  guint k;

  for (k = 0; k < n; k++)
    step_caller_ (sim, g_ptr_array_index (sim->active, k));
  for (k = 0; k < sim->active->len; k++)
    {
      struct caller_ *caller = g_ptr_array_index (sim->active, k);

      if (!caller->done)
        g_ptr_array_index (sim->active, kept++) = caller;
    }
  g_ptr_array_set_size (sim->active, (gint)kept);
}

static void
run_tick_ (struct simulation *sim)
{
  size_t i;

  if (sim->now_us >= sim->next_list_update_us && !sim->store_down)
    update_agent_list_ (sim);
  for (i = 0; i < sim->n_balancers; i++)
    if (sim->balancers[i] != NULL
        && !sim_is_frozen_ (sim, &sim->balancer_processes[i]))
      rgy_stream_balancer_tick (sim->balancers[i], sim->now_us);
  for (i = 0; i < sim->n_agents; i++)
    {
      if (sim->agents[i] != NULL
          && !sim_is_frozen_ (sim, &sim->agent_processes[i]))
        rgy_stream_agent_tick (sim->agents[i], sim->now_us);
      if (sim->backends[i].alive
          && sim->now_us >= sim->backends[i].next_heartbeat_us)
        sim_send_heartbeat_ (sim, i);
    }
  step_callers_ (sim);
  sim_step_users_ (sim);
  while (sim->flows_per_s > 0 && sim->now_us >= sim->next_flow_us)
    {
      (void)sim_begin_flow_ (sim, 0, 0);
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
  sim->n_domains = 2;
  sim->callers = g_ptr_array_new_with_free_func (g_free);
  sim->active = g_ptr_array_new ();
  sim->load.n_kinds = 1;
  sim->load.kinds[0]
      = (struct sim_kind){ .port = SERVICE_PORT,
                           .terms = { .priority = RGY_PRIORITY_UNSTATED } };
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
      sim->backends[i].speed = 1;
      sim->backends[i].flows
          = g_hash_table_new (g_direct_hash, g_direct_equal);
      sim->backends[i].opened
          = g_hash_table_new (g_direct_hash, g_direct_equal);
      sim->backends[i].started
          = g_hash_table_new (g_direct_hash, g_direct_equal);
      sim->backends[i].answered
          = g_hash_table_new (g_direct_hash, g_direct_equal);
    }
  sim->pooled = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  sim->requests = g_ptr_array_new_with_free_func (g_free);
  sim->seconds = g_array_new (FALSE, TRUE, sizeof (struct sim_second));
  sim->runs = g_array_new (FALSE, TRUE, sizeof (uint8_t));
  for (i = 0; i < SIM_MAX_KINDS; i++)
    sim->waits[i] = g_array_new (FALSE, TRUE, sizeof (unsigned));
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
      sim_clear_backend_ (&sim->backends[i]);
      g_hash_table_unref (sim->backends[i].flows);
      g_hash_table_unref (sim->backends[i].opened);
      g_hash_table_unref (sim->backends[i].started);
      g_hash_table_unref (sim->backends[i].answered);
    }
  sim_forget_stored_flows (sim);
  g_array_unref (sim->pooled);
  g_ptr_array_unref (sim->requests);
  g_array_unref (sim->seconds);
  g_array_unref (sim->runs);
  for (i = 0; i < SIM_MAX_KINDS; i++)
    g_array_unref (sim->waits[i]);
  g_sequence_free (sim->queue);
  g_ptr_array_unref (sim->active);
  g_ptr_array_unref (sim->callers);
  rgy_counters_delete (sim->counters);
  g_byte_array_unref (sim->stored_agents);
  g_rand_free (sim->rand);
  g_free (sim);
}

void
sim_set_domains (struct simulation *sim, size_t n)
{
  sim->n_domains = n;
}

void
sim_cut_domains (struct simulation *sim, size_t a, size_t b, bool cut)
{
  sim->cut[a][b] = cut;
  sim->cut[b][a] = cut;
}

void
sim_forget_stored_flows (struct simulation *sim)
{
  size_t i;

  for (i = 0; i < SIM_MAX_DOMAINS; i++)
    g_clear_pointer (&sim->stored_flows[i], g_byte_array_unref);
}

void
sim_set_store_down (struct simulation *sim, bool down)
{
  sim->store_down = down;
}

const struct sim_traffic *
sim_get_traffic (const struct simulation *sim)
{
  return &sim->traffic;
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
  struct rgy_route route = { .address = { .ip = SERVICE_IP } };
  size_t i;

  for (i = 0; i < 2; i++)
    if (sim->weights[i] > 0)
      {
        route.targets[route.n_targets].service = rgy_name_from_c (names[i]);
        route.targets[route.n_targets++].weight = sim->weights[i];
      }
  for (i = 0; i < sim->load.n_kinds; i++)
    {
      route.address.port = sim->load.kinds[i].port;
      route.terms = sim->load.kinds[i].terms;
      (void)rgy_stream_manifest_add_route (manifest, &route);
    }
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
          .domain = get_domain_name_ (sim, i),
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
  if (!sim->store_down)
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
      = { .service = sim_get_service_name_ (sim, i),
          .domain = get_domain_name_ (sim, i),
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

static void
freeze_ (struct simulation *sim, struct process_ *process, int64_t us)
{
  process->frozen_us = sim->now_us;
  process->frozen_until_us = sim->now_us + us;
  process->held = 0;
}

void
sim_freeze_balancer (struct simulation *sim, size_t i, int64_t us)
{
  freeze_ (sim, &sim->balancer_processes[i], us);
}

void
sim_freeze_agent (struct simulation *sim, size_t i, int64_t us)
{
  freeze_ (sim, &sim->agent_processes[i], us);
}

void
sim_stop_agent (struct simulation *sim, size_t i)
{
  rgy_stream_agent_stop (sim->agents[i], sim->now_us);
  sim_kill_agent (sim, i);
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
