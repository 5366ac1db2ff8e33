#include "world.h"

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
#define LIST_INTERVAL_US (3 * RGY_US_PER_S)
#define GIVE_UP_US (5 * RGY_US_PER_S)
/* The users' bound on first segments after a drain was acknowledged.  */
#define DRAIN_US (3 * RGY_US_PER_S)

/* What travels as the bytes of a segment.  */
struct packet_
{
  uint32_t caller;
  bool from_service;
  uint8_t flags;
  uint32_t seq;
  uint32_t ack;
  uint16_t payload_len;
};

enum place_kind_
{
  PLACE_ROUTER,
  PLACE_BALANCER_RETURNED,
  PLACE_BALANCER_MESSAGE,
  PLACE_AGENT,
  PLACE_AGENT_MESSAGE,
  PLACE_AGENT_ABSENT, /* Verdict of a check of the backend server.  */
  PLACE_BACKEND,
  PLACE_FROM_BACKEND,
  PLACE_CALLER,
  PLACE_CALLER_RESET
};

struct delivery_
{
  int64_t at_us;
  uint64_t order;
  enum place_kind_ kind;
  size_t index;
  uint32_t from_ip;
  struct packet_ packet;
  struct rgy_trail trail;
  GByteArray *message;
  int64_t asked_us; /* Of a check.  */
};

struct backend_
{
  bool alive;
  bool draining;
  bool silent; /* Ended without a trace.  */
  int64_t drained_us;
  int64_t started_ms;
  unsigned generation;
  uint64_t seq;
  int64_t next_heartbeat_us;
  GHashTable *flows; /* Caller number to its number of the first segment.  */
  unsigned taken;
};

struct caller_
{
  uint32_t number;
  bool done;
  bool open;
  uint32_t seq;   /* Of the backend server's first segment.  */
  size_t backend; /* Whose answer it took.  */
  int64_t began_us;
  int64_t ends_us;
  int64_t asked_us; /* Request that waits; 0: none.  */
  int64_t next_us;  /* Next request or repetition.  */
  unsigned repeats;
};

struct node_
{
  struct world *world;
  bool is_agent;
  size_t index;
};

struct world
{
  GRand *rand;
  double loss;
  int64_t now_us;
  uint64_t order;
  GSequence *queue;
  size_t n_balancers;
  size_t n_agents;
  size_t n_workshop;
  struct rgy_stream_balancer *balancers[WORLD_MAX_BALANCERS];
  bool leaving[WORLD_MAX_BALANCERS];
  struct rgy_stream_agent *agents[WORLD_MAX_AGENTS];
  struct backend_ backends[WORLD_MAX_AGENTS];
  struct node_ balancer_nodes[WORLD_MAX_BALANCERS];
  struct node_ agent_nodes[WORLD_MAX_AGENTS];
  GPtrArray *callers;
  struct rgy_counters *counters;
  uint32_t weights[2];
  uint64_t version;
  uint64_t view_revision;
  struct rgy_domain_view view;
  bool ever_named[2];
  unsigned flows_per_s;
  int64_t lifetime_us;
  int64_t next_flow_us;
  uint64_t next_incarnation;
  GByteArray *named_agents; /* The list of agents in the store.  */
  int64_t next_list_us;
  bool started;
  struct world_seen seen;
};

/* Delivery.  */

static gint
compare_ (gconstpointer a, gconstpointer b, gpointer data)
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
post_ (struct world *w, struct delivery_ delivery, bool local)
{
  int64_t delay = local
                      ? LOCAL_DELAY_US
                      : g_rand_int_range (w->rand, MIN_DELAY_US, MAX_DELAY_US);

  if (!local && g_rand_double (w->rand) < w->loss)
    {
      if (delivery.message != NULL)
        g_byte_array_unref (delivery.message);
      return;
    }
  delivery.at_us = w->now_us + delay;
  delivery.order = w->order++;
  g_sequence_insert_sorted (w->queue, g_memdup2 (&delivery, sizeof delivery),
                            compare_, NULL);
}

static struct rgy_flow_key
key_ (uint32_t caller)
{
  return rgy_flow_key_segment (
      (struct rgy_endpoint){ .ip = CALLER_IP + caller / 50000,
                             .port = (uint16_t)(1024 + caller % 50000) },
      (struct rgy_endpoint){ .ip = SERVICE_IP, .port = SERVICE_PORT });
}

static uint32_t
caller_number_ (const struct rgy_flow_key *key)
{
  return (key->u.segment.caller.ip - CALLER_IP) * 50000
         + key->u.segment.caller.port - 1024U;
}

static struct rgy_segment
segment_ (const struct packet_ *packet, const struct rgy_trail *trail)
{
  return (struct rgy_segment){ .key = key_ (packet->caller),
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
emit_ (void *ctx, const struct rgy_stream_action *action)
{
  struct node_ *node = ctx;
  struct world *w = node->world;
  struct delivery_ d
      = { .from_ip = (uint32_t)((node->is_agent ? AGENT_IP : BALANCER_IP)
                                + node->index) };

  switch (action->kind)
    {
    case RGY_STREAM_TO_AGENT:
      d.kind = PLACE_AGENT;
      d.index = action->ip - AGENT_IP;
      break;
    case RGY_STREAM_TO_BALANCER:
      d.kind = PLACE_BALANCER_RETURNED;
      d.index = action->ip - BALANCER_IP;
      break;
    case RGY_STREAM_TO_BACKEND:
      d.kind = PLACE_BACKEND;
      d.index = node->index;
      break;
    case RGY_STREAM_TO_CALLER:
      d.kind = PLACE_CALLER;
      d.index = node->index;
      break;
    case RGY_STREAM_RESET:
      d.kind = PLACE_CALLER_RESET;
      d.packet.caller = caller_number_ (&action->u.reset.key);
      post_ (w, d, false);
      return;
    case RGY_STREAM_MESSAGE:
      d.kind = action->ip >= AGENT_IP ? PLACE_AGENT_MESSAGE
                                      : PLACE_BALANCER_MESSAGE;
      d.index = action->ip - (action->ip >= AGENT_IP ? AGENT_IP : BALANCER_IP);
      d.message = g_byte_array_new ();
      g_byte_array_append (d.message, action->u.message.data,
                           (guint)action->u.message.len);
      post_ (w, d, false);
      return;
    case RGY_STREAM_CHECK_BACKEND:
      d.kind = PLACE_AGENT_ABSENT;
      d.index = node->index;
      d.asked_us = w->now_us;
      if (!w->backends[node->index].alive)
        post_ (w, d, true);
      return;
    case RGY_STREAM_FETCH_MANIFEST:
      return; /* Every balancer is given it.  */
    case RGY_STREAM_LOG:
    case RGY_STREAM_LOG_FLOW:
      if (g_getenv ("WORLD_LOG") != NULL)
        g_printerr ("%10.4f %s %zu %s\n", (double)w->now_us / 1e6,
                    node->is_agent ? "agent" : "balancer", node->index,
                    action->u.log);
      return;
    }
  memcpy (&d.packet, action->u.segment.raw.data, sizeof d.packet);
  d.packet.flags &= (uint8_t)~RGY_SEGMENT_BOUNCED;
  d.trail = action->u.segment.trail;
  post_ (w, d, d.kind == PLACE_BACKEND);
}

/* Callers.  */

static void
send_ (struct world *w, const struct caller_ *caller, uint8_t flags,
       uint16_t len)
{
  struct delivery_ d
      = { .kind = PLACE_ROUTER,
          .packet = { .caller = caller->number,
                      .flags = flags,
                      .ack = caller->open ? caller->seq + 1 : caller->repeats,
                      .payload_len = len } };

  post_ (w, d, false);
}

static void
end_ (struct world *w, struct caller_ *caller)
{
  if (caller->asked_us != 0)
    w->seen.unanswered++;
  caller->asked_us = 0;
  caller->done = true;
}

static struct caller_ *
find_caller_ (struct world *w, uint32_t number)
{
  return number < w->callers->len ? g_ptr_array_index (w->callers, number)
                                  : NULL;
}

static void
begin_flow_ (struct world *w)
{
  struct caller_ *caller = g_new0 (struct caller_, 1);

  caller->number = w->callers->len;
  caller->began_us = w->now_us;
  caller->ends_us = w->now_us + w->lifetime_us;
  caller->next_us = w->now_us + FIRST_RETRY_US;
  g_ptr_array_add (w->callers, caller);
  send_ (w, caller, RGY_SEGMENT_SYN, 0);
}

static void
step_caller_ (struct world *w, struct caller_ *caller)
{
  if (caller->done || w->now_us < caller->next_us)
    return;
  if (!caller->open)
    {
      if (++caller->repeats > 2)
        {
          caller->done = true;
          return;
        }
      caller->next_us = w->now_us + 2 * FIRST_RETRY_US;
      send_ (w, caller, RGY_SEGMENT_SYN, 0);
      return;
    }
  if (caller->asked_us == 0)
    {
      if (w->now_us >= caller->ends_us)
        {
          send_ (w, caller, RGY_SEGMENT_FIN | RGY_SEGMENT_ACK, 0);
          caller->done = true;
          return;
        }
      caller->asked_us = w->now_us;
      caller->repeats = 0;
    }
  else if (w->now_us - caller->asked_us > GIVE_UP_US)
    {
      end_ (w, caller);
      return;
    }
  send_ (w, caller, RGY_SEGMENT_ACK, 100);
  caller->next_us = w->now_us + (FIRST_RETRY_US << MIN (caller->repeats, 3));
  caller->repeats++;
}

/* True when the backend server whose answer the caller took holds the flow.
   The number tells it from a flow that a copy of the first segment began at a
   later start.  */
static bool
is_held_ (const struct world *w, const struct caller_ *caller)
{
  const struct backend_ *backend = &w->backends[caller->backend];

  return backend->alive
         && GPOINTER_TO_UINT (g_hash_table_lookup (
                backend->flows, GUINT_TO_POINTER (caller->number)))
                == caller->seq;
}

static void
to_caller_ (struct world *w, const struct delivery_ *d)
{
  struct caller_ *caller = find_caller_ (w, d->packet.caller);

  if (caller == NULL || caller->done)
    return;
  if (d->kind == PLACE_CALLER_RESET)
    {
      if (!caller->open)
        w->seen.rejected++;
      else if (is_held_ (w, caller))
        {
          w->seen.wrong_resets++;
          if (g_getenv ("WORLD_LOG") != NULL)
            g_printerr ("%10.4f wrong_reset caller=%u backend=%zu\n",
                        (double)w->now_us / 1e6, caller->number,
                        caller->backend);
        }
      else
        w->seen.resets++;
      caller->asked_us = 0;
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
      caller->next_us = w->now_us;
      w->seen.opened++;
      return;
    }
  if (caller->open && d->packet.payload_len > 0 && caller->asked_us != 0)
    {
      caller->asked_us = 0;
      caller->next_us = w->now_us + REQUEST_INTERVAL_US;
      w->seen.answered++;
    }
}

/* Backend servers.  */

static size_t
service_of_ (const struct world *w, size_t agent)
{
  return agent < w->n_workshop ? 0 : 1;
}

static void
from_backend_ (struct world *w, size_t i, struct packet_ packet,
               const struct rgy_trail *trail)
{
  struct delivery_ d = {
    .kind = PLACE_FROM_BACKEND, .index = i, .packet = packet, .trail = *trail
  };

  post_ (w, d, true);
}

static void
to_backend_ (struct world *w, const struct delivery_ *d)
{
  struct backend_ *backend = &w->backends[d->index];
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
              GUINT_TO_POINTER (g_rand_int_range (w->rand, 1, G_MAXINT)));
          backend->taken++;
          if (!w->ever_named[service_of_ (w, d->index)])
            w->seen.wrong_service++;
          if (backend->draining && w->now_us - backend->drained_us > DRAIN_US)
            w->seen.after_drain++;
        }
      answer.flags = RGY_SEGMENT_SYN | RGY_SEGMENT_ACK;
      answer.seq
          = GPOINTER_TO_UINT (g_hash_table_lookup (backend->flows, number));
      from_backend_ (w, d->index, answer, &(struct rgy_trail){ 0 });
      return;
    }
  if (!g_hash_table_contains (backend->flows, number)
      || d->packet.ack
             != GPOINTER_TO_UINT (g_hash_table_lookup (backend->flows, number))
                    + 1)
    {
      struct packet_ bounced = d->packet;

      w->seen.strays++;
      bounced.flags |= RGY_SEGMENT_BOUNCED;
      from_backend_ (
          w, d->index, bounced,
          &(struct rgy_trail){ .balancer_ip = d->trail.balancer_ip });
      return;
    }
  if ((d->packet.flags & RGY_SEGMENT_FIN) != 0)
    {
      answer.flags |= RGY_SEGMENT_FIN;
      g_hash_table_remove (backend->flows, number);
      from_backend_ (w, d->index, answer, &(struct rgy_trail){ 0 });
      return;
    }
  answer.payload_len = 200;
  from_backend_ (w, d->index, answer, &(struct rgy_trail){ 0 });
}

static struct rgy_name
service_name_ (const struct world *w, size_t agent)
{
  return rgy_name_from_c (service_of_ (w, agent) == 0 ? "workshop"
                                                      : "catalogue");
}

static struct rgy_name
backend_name_ (const struct world *w, size_t i)
{
  char *text = g_strdup_printf ("i-%zu-%u", i, w->backends[i].generation);
  struct rgy_name name = rgy_name_from_c (text);

  g_free (text);
  return name;
}

static void
heartbeat_ (struct world *w, size_t i)
{
  struct backend_ *backend = &w->backends[i];
  struct rgy_backend_heartbeat heartbeat = { .id = backend_name_ (w, i),
                                             .service = service_name_ (w, i),
                                             .started_ms = backend->started_ms,
                                             .seq = ++backend->seq,
                                             .draining = backend->draining,
                                             .slots = 4 };

  backend->next_heartbeat_us = w->now_us + WORLD_HEARTBEAT_US;
  if (w->agents[i] != NULL
      && rgy_stream_agent_heartbeat (w->agents[i], &heartbeat, w->now_us)
             == RGY_OK
      && backend->draining && backend->drained_us == 0)
    backend->drained_us = w->now_us;
}

/* Routing.  */

static void
route_ (struct world *w, const struct delivery_ *d)
{
  size_t ready[WORLD_MAX_BALANCERS];
  size_t n = 0;
  size_t i;
  struct rgy_segment segment = segment_ (&d->packet, &(struct rgy_trail){ 0 });

  for (i = 0; i < w->n_balancers; i++)
    if (w->balancers[i] != NULL
        && rgy_stream_balancer_is_ready (w->balancers[i], w->now_us))
      ready[n++] = i;
  if (n == 0)
    return;
  i = ready[rgy_flow_key_hash (&segment.key) % n];
  rgy_stream_balancer_from_router (w->balancers[i], &segment, w->now_us);
}

static void
deliver_ (struct world *w, struct delivery_ *d)
{
  struct rgy_segment segment = segment_ (&d->packet, &d->trail);
  struct rgy_bytes message
      = { .data = d->message == NULL ? NULL : d->message->data,
          .len = d->message == NULL ? 0 : d->message->len };

  switch (d->kind)
    {
    case PLACE_ROUTER:
      route_ (w, d);
      return;
    case PLACE_BALANCER_RETURNED:
      if (d->index < w->n_balancers && w->balancers[d->index] != NULL)
        rgy_stream_balancer_from_agent (w->balancers[d->index], &segment,
                                        d->from_ip, w->now_us);
      return;
    case PLACE_BALANCER_MESSAGE:
      if (d->index < w->n_balancers && w->balancers[d->index] != NULL)
        (void)rgy_stream_balancer_from_message (
            w->balancers[d->index], message, d->from_ip, w->now_us);
      return;
    case PLACE_AGENT:
      if (w->agents[d->index] != NULL)
        rgy_stream_agent_from_balancer (w->agents[d->index], &segment,
                                        d->from_ip, w->now_us);
      return;
    case PLACE_AGENT_MESSAGE:
      if (w->agents[d->index] != NULL)
        (void)rgy_stream_agent_from_message (w->agents[d->index], message,
                                             d->from_ip, w->now_us);
      return;
    case PLACE_AGENT_ABSENT:
      if (w->agents[d->index] != NULL)
        rgy_stream_agent_backend_absent (w->agents[d->index], d->asked_us,
                                         w->now_us);
      return;
    case PLACE_BACKEND:
      to_backend_ (w, d);
      return;
    case PLACE_FROM_BACKEND:
      if (w->agents[d->index] != NULL)
        rgy_stream_agent_from_backend (w->agents[d->index], &segment,
                                       w->now_us);
      return;
    case PLACE_CALLER:
    case PLACE_CALLER_RESET:
      to_caller_ (w, d);
      return;
    }
}

/* Time.  */

/* Every balancer reads the store's list of agents now and then.  */
static void
list_agents_ (struct world *w)
{
  size_t i;

  w->next_list_us = w->now_us + LIST_INTERVAL_US;
  for (i = 0; i < w->n_balancers; i++)
    {
      GByteArray *wanted = g_byte_array_new ();

      if (w->balancers[i] != NULL
          && rgy_stream_balancer_update_agents (
              w->balancers[i],
              (struct rgy_bytes){ .data = w->named_agents->data,
                                  .len = w->named_agents->len },
              wanted, w->now_us))
        {
          g_byte_array_set_size (w->named_agents, 0);
          g_byte_array_append (w->named_agents, wanted->data, wanted->len);
        }
      g_byte_array_unref (wanted);
    }
}

static void
tick_ (struct world *w)
{
  guint k;
  size_t i;

  if (w->now_us >= w->next_list_us)
    list_agents_ (w);
  for (i = 0; i < w->n_balancers; i++)
    if (w->balancers[i] != NULL)
      rgy_stream_balancer_tick (w->balancers[i], w->now_us);
  for (i = 0; i < w->n_agents; i++)
    {
      if (w->agents[i] != NULL)
        rgy_stream_agent_tick (w->agents[i], w->now_us);
      if (w->backends[i].alive
          && w->now_us >= w->backends[i].next_heartbeat_us)
        heartbeat_ (w, i);
    }
  for (k = 0; k < w->callers->len; k++)
    step_caller_ (w, g_ptr_array_index (w->callers, k));
  while (w->flows_per_s > 0 && w->now_us >= w->next_flow_us)
    {
      begin_flow_ (w);
      w->next_flow_us += RGY_US_PER_S / w->flows_per_s;
    }
}

void
world_run (struct world *w, int64_t us)
{
  int64_t until = w->now_us + us;

  while (w->now_us < until)
    {
      int64_t next_tick = w->now_us + RGY_STREAM_TICK_US;

      while (!g_sequence_is_empty (w->queue))
        {
          GSequenceIter *first = g_sequence_get_begin_iter (w->queue);
          struct delivery_ *d = g_sequence_get (first);

          if (d->at_us > next_tick)
            break;
          w->now_us = MAX (w->now_us, d->at_us);
          {
            struct delivery_ copy = *d;

            if (copy.message != NULL)
              g_byte_array_ref (copy.message);
            g_sequence_remove (first);
            deliver_ (w, &copy);
            if (copy.message != NULL)
              g_byte_array_unref (copy.message);
          }
        }
      w->now_us = next_tick;
      tick_ (w);
    }
}

/* Set-up.  */

struct world *
world_new (uint64_t seed, size_t n_balancers, size_t n_agents, double loss)
{
  struct world *w = g_new0 (struct world, 1);
  size_t i;

  w->rand = g_rand_new_with_seed ((guint32)seed);
  w->loss = loss;
  w->now_us = 100 * RGY_US_PER_S;
  w->queue = g_sequence_new (free_delivery_);
  w->n_balancers = n_balancers;
  w->n_agents = n_agents;
  w->n_workshop = n_agents;
  w->callers = g_ptr_array_new_with_free_func (g_free);
  w->counters = rgy_counters_new ();
  w->named_agents = g_byte_array_new ();
  w->weights[0] = 1;
  w->lifetime_us = 10 * RGY_US_PER_S;
  for (i = 0; i < n_balancers; i++)
    w->balancer_nodes[i] = (struct node_){ .world = w, .index = i };
  for (i = 0; i < n_agents; i++)
    {
      w->agent_nodes[i]
          = (struct node_){ .world = w, .is_agent = true, .index = i };
      w->backends[i].flows = g_hash_table_new (g_direct_hash, g_direct_equal);
    }
  return w;
}

void
world_delete (struct world *w)
{
  size_t i;

  for (i = 0; i < w->n_balancers; i++)
    rgy_stream_balancer_delete (w->balancers[i]);
  for (i = 0; i < w->n_agents; i++)
    {
      rgy_stream_agent_delete (w->agents[i]);
      g_hash_table_unref (w->backends[i].flows);
    }
  g_sequence_free (w->queue);
  g_ptr_array_unref (w->callers);
  rgy_counters_delete (w->counters);
  g_byte_array_unref (w->named_agents);
  g_rand_free (w->rand);
  g_free (w);
}

void
world_set_workshop (struct world *w, size_t n)
{
  w->n_workshop = n;
}

static struct rgy_stream_manifest *
manifest_ (const struct world *w)
{
  static const char *const names[] = { "workshop", "catalogue" };
  struct rgy_stream_manifest *manifest = rgy_stream_manifest_new (w->version);
  struct rgy_route route
      = { .address = { .ip = SERVICE_IP, .port = SERVICE_PORT } };
  size_t i;

  for (i = 0; i < 2; i++)
    if (w->weights[i] > 0)
      {
        route.targets[route.n_targets].service = rgy_name_from_c (names[i]);
        route.targets[route.n_targets++].weight = w->weights[i];
      }
  (void)rgy_stream_manifest_add_route (manifest, &route);
  return manifest;
}

void
world_set_weights (struct world *w, uint32_t workshop, uint32_t catalogue)
{
  size_t i;

  w->version++;
  w->weights[0] = workshop;
  w->weights[1] = catalogue;
  w->ever_named[0] |= workshop > 0;
  w->ever_named[1] |= catalogue > 0;
  for (i = 0; i < w->n_balancers; i++)
    if (w->balancers[i] != NULL)
      (void)rgy_stream_balancer_set_manifest (w->balancers[i], manifest_ (w),
                                              w->now_us);
}

void
world_start_balancer (struct world *w, size_t i)
{
  struct rgy_stream_balancer_settings settings
      = { .own_ip = (uint32_t)(BALANCER_IP + i),
          .domain = rgy_name_from_c (i % 2 == 0 ? "poa-a" : "poa-b"),
          .incarnation = ++w->next_incarnation,
          .flow_ttl_us = 60 * RGY_US_PER_S,
          .max_flows = 100000,
          .out = { .emit = emit_, .ctx = &w->balancer_nodes[i] } };
  size_t k;

  w->balancers[i]
      = rgy_stream_balancer_new (&settings, w->counters, w->now_us);
  (void)rgy_stream_balancer_set_manifest (w->balancers[i], manifest_ (w),
                                          w->now_us);
  rgy_stream_balancer_set_view (w->balancers[i], &w->view, w->now_us);
  for (k = 0; k < w->n_balancers; k++)
    rgy_stream_balancer_add_peer (w->balancers[i], (uint32_t)(BALANCER_IP + k),
                                  w->now_us);
  rgy_stream_balancer_name_agents (
      w->balancers[i],
      (struct rgy_bytes){ .data = w->named_agents->data,
                          .len = w->named_agents->len },
      w->now_us);
}

void
world_kill_balancer (struct world *w, size_t i)
{
  rgy_stream_balancer_delete (w->balancers[i]);
  w->balancers[i] = NULL;
}

void
world_stop_balancer (struct world *w, size_t i)
{
  rgy_stream_balancer_stop (w->balancers[i]);
}

void
world_start_agent (struct world *w, size_t i)
{
  struct rgy_stream_agent_settings settings
      = { .service = service_name_ (w, i),
          .domain = rgy_name_from_c (i % 2 == 0 ? "poa-a" : "poa-b"),
          .incarnation = ++w->next_incarnation,
          .flow_ttl_us = 60 * RGY_US_PER_S,
          .heartbeat_us = WORLD_HEARTBEAT_US,
          .max_flows = 100000,
          .cold_overshoot = 1.5,
          .cold_slack = 5,
          .first_start = !w->started,
          .out = { .emit = emit_, .ctx = &w->agent_nodes[i] } };
  size_t k;

  w->agents[i] = rgy_stream_agent_new (&settings, w->counters, w->now_us);
  for (k = 0; k < w->n_balancers; k++)
    rgy_stream_agent_add_balancer (w->agents[i], (uint32_t)(BALANCER_IP + k),
                                   w->now_us);
}

void
world_kill_agent (struct world *w, size_t i)
{
  rgy_stream_agent_delete (w->agents[i]);
  w->agents[i] = NULL;
}

void
world_stop_agent (struct world *w, size_t i)
{
  rgy_stream_agent_stop (w->agents[i], w->now_us);
  world_kill_agent (w, i);
}

void
world_start_backend (struct world *w, size_t i)
{
  struct backend_ *backend = &w->backends[i];

  g_hash_table_remove_all (backend->flows);
  backend->alive = true;
  backend->draining = false;
  backend->drained_us = 0;
  backend->generation++;
  backend->seq = 0;
  backend->started_ms = w->now_us / RGY_US_PER_MS;
  backend->next_heartbeat_us
      = w->now_us + g_rand_int_range (w->rand, 0, 100000);
}

void
world_end_backend (struct world *w, size_t i, bool silent)
{
  struct rgy_name name = backend_name_ (w, i);

  w->backends[i].alive = false;
  if (!silent && w->agents[i] != NULL)
    (void)rgy_stream_agent_leave (w->agents[i], &name, w->now_us);
}

void
world_drain_backend (struct world *w, size_t i)
{
  w->backends[i].draining = true;
  heartbeat_ (w, i);
}

void
world_set_domain_out (struct world *w, const char *domain)
{
  size_t i;

  w->view.revision++;
  w->view.n_out = domain == NULL ? 0 : 1;
  if (domain != NULL)
    w->view.out[0] = rgy_name_from_c (domain);
  for (i = 0; i < w->n_balancers; i++)
    if (w->balancers[i] != NULL)
      rgy_stream_balancer_set_view (w->balancers[i], &w->view, w->now_us);
}

void
world_start (struct world *w)
{
  size_t i;

  if (w->version == 0)
    world_set_weights (w, 1, 0);
  for (i = 0; i < w->n_balancers; i++)
    world_start_balancer (w, i);
  for (i = 0; i < w->n_agents; i++)
    {
      world_start_agent (w, i);
      world_start_backend (w, i);
    }
  w->started = true;
  world_run (w, 2 * RGY_US_PER_S);
  w->next_flow_us = w->now_us;
}

void
world_set_load (struct world *w, unsigned flows_per_s, int64_t lifetime_us)
{
  w->flows_per_s = flows_per_s;
  w->lifetime_us = lifetime_us;
  w->next_flow_us = w->now_us;
}

const struct world_seen *
world_get_seen (const struct world *w)
{
  return &w->seen;
}

unsigned
world_get_taken (const struct world *w, size_t i)
{
  return w->backends[i].taken;
}
