#include "fleet.h"

#include <string.h>
#include <time.h>

#include "ragwortyoke/proxy.h"

#define TICK_US (50 * FLEET_MS)
#define HEARTBEAT_US FLEET_S
#define SYNC_RETRY_US FLEET_S
#define PERCENT 100
#define BALANCER_IP 0x0a000000U
#define AGENT_IP 0x0b000000U
#define SERVICE_IP 0x0c000000U
#define CALLER_IP 0x64400000U
#define INTERNAL_PORT 7000
#define SYNC_PORT 7001
#define HTTP_PORT 7002
#define SERVICE_PORT 5683
#define SEEDS 3
#define FIRST_EPOCH 1000000
/* Longest pause of a balancer's watch between two answers of the store.  */
#define STORE_COALESCE_US (200 * FLEET_MS)
/* Approximate bytes of one of the caller prefixes that fill a contract up to a
   size.  */
#define FILL_PREFIX_BYTES 20
#define PACKET_BYTES 200

enum event_kind_
{
  EVENT_BALANCER_TICK,
  EVENT_AGENT_TICK,
  EVENT_DATAGRAM_TO_BALANCER,
  EVENT_DATAGRAM_TO_AGENT,
  /* A synchronisation request arrives at the serving balancer.  */
  EVENT_SYNC_REQUEST,
  /* One frame of a synchronisation reply arrives.  */
  EVENT_SYNC_REPLY_TO_BALANCER,
  EVENT_SYNC_REPLY_TO_AGENT,
  /* A contract arrives at a balancer that watches the store.  */
  EVENT_STORE_CONTRACT
};

struct event_
{
  int64_t at_us;
  uint64_t order; /* Order of events of the same time.  */
  enum event_kind_ kind;
  unsigned node; /* Index of the balancer or agent that gets it.  */
  /* Sender.  In EVENT_STORE_CONTRACT, the IP is the customer's index.  */
  struct rgy_endpoint from;
  GBytes *data;
};

struct contract_
{
  char *json;
  uint64_t revision;
};

struct fleet
{
  struct fleet_settings settings;
  GRand *random;
  int64_t now_us;
  uint64_t next_order;
  GPtrArray *heap; /* Pending events.  */
  GPtrArray *balancers;
  struct fleet_agent *agents;
  struct contract_ *contracts;
  struct rgy_name *customers;
  GHashTable *customer_index; /* Customer name to index.  */
  uint64_t revision;          /* Revision of the store.  */
  uint64_t store_writes;
  struct rgy_wire *wire;
  uint8_t key[RGY_WIRE_KEY_BYTES];
  struct rgy_actions *actions;
  struct rgy_message *message; /* Reused by all instances.  */
  bool partitioned;
};

/* CPU time of the calling thread in nanoseconds.  */
static int64_t
get_thread_cpu_ns_ (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &ts);
  return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static bool
is_before_ (const struct event_ *a, const struct event_ *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

/* Adds an event to the queue, which is a binary heap ordered by time.  */
static void
push_event_ (struct fleet *f, struct event_ event, int64_t delay_us)
{
  struct event_ *e = g_memdup2 (&event, sizeof event);
  void **heap;
  guint i = f->heap->len;

  e->at_us = f->now_us + delay_us;
  e->order = f->next_order++;
  g_ptr_array_add (f->heap, e);
  heap = f->heap->pdata;
  for (; i > 0 && is_before_ (e, heap[(i - 1) / 2]); i = (i - 1) / 2)
    heap[i] = heap[(i - 1) / 2];
  heap[i] = e;
}

/* Removes the earliest event from the queue, which must not be empty.  The
   caller owns the event.  */
static struct event_ *
pop_event_ (struct fleet *f)
{
  void **heap = f->heap->pdata;
  struct event_ *top = heap[0];
  struct event_ *last = heap[f->heap->len - 1];
  guint n = f->heap->len - 1;
  guint i = 0;
  guint child;

  g_ptr_array_set_size (f->heap, (gint)n);
  while ((child = 2 * i + 1) < n)
    {
      if (child + 1 < n && is_before_ (heap[child + 1], heap[child]))
        child++;
      if (!is_before_ (heap[child], last))
        break;
      heap[i] = heap[child];
      i = child;
    }
  if (n > 0)
    heap[i] = last;
  return top;
}

static void
free_event_ (struct event_ *e)
{
  if (e->data != NULL)
    g_bytes_unref (e->data);
  g_free (e);
}

static struct rgy_bytes
get_bytes_view_ (GBytes *bytes)
{
  gsize len = 0;
  const uint8_t *data = g_bytes_get_data (bytes, &len);

  return (struct rgy_bytes){ .data = data, .len = len };
}

/* Draws the delay of one message, in microseconds.  */
static int64_t
draw_delay_us_ (struct fleet *f)
{
  gint32 spread
      = (gint32)(f->settings.delay_us * f->settings.jitter_percent / PERCENT);

  return f->settings.delay_us
         + g_rand_int_range (f->random, -spread, spread + 1);
}

/* Draws whether the network loses a datagram.  */
static bool
draw_loss_ (struct fleet *f)
{
  return g_rand_int_range (f->random, 0, PERCENT)
         < (gint32)f->settings.loss_percent;
}

/* Message kind of an encoded datagram, which is the first element of the array
   behind the tag.  @return 0 if the datagram has no valid kind.  */
static enum rgy_message_kind
get_message_kind_ (struct rgy_bytes datagram)
{
  size_t at = RGY_WIRE_TAG_BYTES + 1;

  if (datagram.len <= at || datagram.data[at] >= RGY_MSG_KIND_COUNT)
    return (enum rgy_message_kind)0;
  return (enum rgy_message_kind)datagram.data[at];
}

static void
count_datagram_ (struct fleet_traffic *t, struct rgy_bytes datagram)
{
  enum rgy_message_kind kind = get_message_kind_ (datagram);

  t->bytes[kind] += datagram.len;
  t->messages[kind]++;
}

/* True when the instance at @p ip is in the first half of the failure
   domains.  */
static bool
is_in_first_half_ (const struct fleet *f, uint32_t ip)
{
  unsigned i = ip & 0xffffffU;

  if ((ip & 0xff000000U) == AGENT_IP)
    i /= f->settings.services;
  return i % FLEET_DOMAINS < FLEET_DOMAINS / 2;
}

static bool
crosses_partition_ (const struct fleet *f, struct rgy_endpoint from,
                    struct rgy_endpoint to)
{
  return f->partitioned
         && is_in_first_half_ (f, from.ip) != is_in_first_half_ (f, to.ip);
}

void
fleet_set_partitioned (struct fleet *f, bool partitioned)
{
  f->partitioned = partitioned;
}

/* Sends a datagram to a balancer or an agent.  The network drops the datagram
   at a partition, by random loss, or if no instance has the address.  */
static void
send_datagram_ (struct fleet *f, struct rgy_endpoint from,
                struct rgy_endpoint to, struct rgy_bytes data)
{
  bool to_agent = (to.ip & 0xff000000U) == AGENT_IP;
  struct event_ e = { .kind = to_agent ? EVENT_DATAGRAM_TO_AGENT
                                       : EVENT_DATAGRAM_TO_BALANCER,
                      .node = to.ip & 0xffffffU,
                      .from = from };

  if (crosses_partition_ (f, from, to) || draw_loss_ (f)
      || e.node >= (to_agent ? f->settings.agents : f->balancers->len))
    return;
  e.data = g_bytes_new (data.data, data.len);
  push_event_ (f, e, draw_delay_us_ (f));
}

/* Sends a synchronisation request over a connection, which loses nothing but
   does not pass a partition.  */
static void
send_sync_request_ (struct fleet *f, struct rgy_endpoint from,
                    struct rgy_endpoint to, struct rgy_bytes request)
{
  struct event_ e = { .kind = EVENT_SYNC_REQUEST,
                      .node = to.ip & 0xffffffU,
                      .from = from };

  if (crosses_partition_ (f, from, to) || e.node >= f->balancers->len)
    return;
  e.data = g_bytes_new (request.data, request.len);
  push_event_ (f, e, draw_delay_us_ (f));
}

struct fleet_balancer *
fleet_get_balancer (struct fleet *f, unsigned i)
{
  return f->balancers->pdata[i];
}

unsigned
fleet_get_balancer_count (const struct fleet *f)
{
  return f->balancers->len;
}

/* Executes and clears the actions of a balancer core.  */
static void
run_balancer_actions_ (struct fleet *f, struct fleet_balancer *b)
{
  struct rgy_action action;
  struct rgy_bytes request;
  int64_t start_ns;
  size_t i;

  for (i = 0; i < rgy_actions_get_count (f->actions); i++)
    {
      action = rgy_actions_get (f->actions, i);
      switch (action.kind)
        {
        case RGY_ACTION_SEND:
          count_datagram_ (&b->out, action.u.send.data);
          send_datagram_ (f, b->endpoint, action.u.send.to,
                          action.u.send.data);
          break;
        case RGY_ACTION_SYNC:
          start_ns = get_thread_cpu_ns_ ();
          request = rgy_balancer_build_sync_request (b->core);
          b->cpu_ns += get_thread_cpu_ns_ () - start_ns;
          count_datagram_ (&b->out, request);
          send_sync_request_ (f, b->endpoint, action.u.send.to, request);
          break;
        case RGY_ACTION_WRITE_STORE:
          f->store_writes++;
          break;
        default:
          break;
        }
    }
  rgy_actions_clear (f->actions);
}

static void
free_balancer_ (gpointer data)
{
  struct fleet_balancer *b = data;

  rgy_balancer_delete (b->core);
  rgy_counters_delete (b->counters);
  g_free (b);
}

static struct rgy_entry
make_contract_entry_ (const struct fleet *f, unsigned customer)
{
  const struct contract_ *c = &f->contracts[customer];

  return (struct rgy_entry){ .class = RGY_ENTRY_CONTRACT,
                             .key = f->customers[customer],
                             .version = { .major = c->revision },
                             .value = { .data = (const uint8_t *)c->json,
                                        .len = strlen (c->json) } };
}

/* Passes a contract from the store to a balancer that watches it.  */
static void
deliver_contract_ (struct fleet *f, struct fleet_balancer *b,
                   unsigned customer)
{
  struct rgy_entry entry = make_contract_entry_ (f, customer);
  int64_t start_ns = get_thread_cpu_ns_ ();

  rgy_balancer_from_store (b->core, &entry, f->actions);
  b->cpu_ns += get_thread_cpu_ns_ () - start_ns;
  run_balancer_actions_ (f, b);
}

/* Passes one packet of each active customer to a balancer.  Packets are not
   part of the control plane: their CPU time does not count, and the actions
   that they cause are not executed.  */
static void
deliver_customer_packets_ (struct fleet *f, struct fleet_balancer *b)
{
  uint8_t packet[PACKET_BYTES] = { 0 };
  unsigned i;

  for (i = 0; i < MIN (FLEET_ACTIVE_CUSTOMERS, f->settings.customers); i++)
    {
      rgy_proxy_write (
          packet,
          (struct rgy_endpoint){ .ip = CALLER_IP + (i << 8) + 1,
                                 .port = SERVICE_PORT },
          (struct rgy_endpoint){ .ip = SERVICE_IP + i, .port = SERVICE_PORT });
      rgy_balancer_from_fabric (
          b->core, (struct rgy_bytes){ .data = packet, .len = sizeof packet },
          f->now_us, f->actions);
    }
  rgy_actions_clear (f->actions);
}

static void
tick_balancer_ (struct fleet *f, unsigned node)
{
  struct fleet_balancer *b = fleet_get_balancer (f, node);
  int64_t start_ns;
  bool reader;
  unsigned i;

  if (f->settings.traffic && f->now_us / TICK_US % (FLEET_S / TICK_US) == 0)
    deliver_customer_packets_ (f, b);
  start_ns = get_thread_cpu_ns_ ();
  rgy_balancer_tick (b->core, f->now_us, f->actions);
  reader = rgy_balancer_is_reader (b->core);
  b->cpu_ns += get_thread_cpu_ns_ () - start_ns;
  run_balancer_actions_ (f, b);
  if (reader && !b->reader)
    for (i = 0; i < f->settings.customers; i++)
      deliver_contract_ (f, b, i);
  b->reader = reader;
  push_event_ (f, (struct event_){ .kind = EVENT_BALANCER_TICK, .node = node },
               TICK_US);
}

static void
deliver_to_balancer_ (struct fleet *f, const struct event_ *e)
{
  struct fleet_balancer *b = fleet_get_balancer (f, e->node);
  struct rgy_bytes data = get_bytes_view_ (e->data);
  int64_t start_ns;

  count_datagram_ (&b->in, data);
  start_ns = get_thread_cpu_ns_ ();
  if (e->kind == EVENT_DATAGRAM_TO_BALANCER)
    rgy_balancer_from_instance (b->core, e->from, data, f->now_us, f->actions);
  else
    rgy_balancer_apply_sync (b->core, data, f->now_us, f->actions);
  b->cpu_ns += get_thread_cpu_ns_ () - start_ns;
  run_balancer_actions_ (f, b);
}

/* Serves a synchronisation request and sends all frames of the reply.  */
static void
serve_sync_request_ (struct fleet *f, const struct event_ *e)
{
  struct fleet_balancer *b = fleet_get_balancer (f, e->node);
  GPtrArray *frames
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_byte_array_unref);
  bool to_agent = (e->from.ip & 0xff000000U) == AGENT_IP;
  int64_t start_ns = get_thread_cpu_ns_ ();
  int64_t delay_us = draw_delay_us_ (f);
  guint i;

  count_datagram_ (&b->in, get_bytes_view_ (e->data));
  rgy_balancer_serve_sync (b->core, get_bytes_view_ (e->data), frames);
  b->cpu_ns += get_thread_cpu_ns_ () - start_ns;
  for (i = 0; i < frames->len; i++)
    {
      const GByteArray *frame = frames->pdata[i];

      count_datagram_ (&b->out, (struct rgy_bytes){ .data = frame->data,
                                                    .len = frame->len });
      push_event_ (
          f,
          (struct event_){ .kind = to_agent ? EVENT_SYNC_REPLY_TO_AGENT
                                            : EVENT_SYNC_REPLY_TO_BALANCER,
                           .node = e->from.ip & 0xffffffU,
                           .data = g_bytes_new (frame->data, frame->len) },
          delay_us);
    }
  g_ptr_array_unref (frames);
}

struct fleet_balancer *
fleet_add_balancer (struct fleet *f)
{
  struct fleet_balancer *b = g_new0 (struct fleet_balancer, 1);
  unsigned i = f->balancers->len;
  struct rgy_balancer_settings s = { .epoch = FIRST_EPOCH + i,
                                     .random_seed = f->settings.seed + i,
                                     .seed_count = SEEDS };
  char text[RGY_NAME_MAX_BYTES];
  unsigned k;

  g_snprintf (text, sizeof text, "balancer-%04u", i);
  b->id = s.id = rgy_name_from_c (text);
  g_snprintf (text, sizeof text, "domain-%u", i % FLEET_DOMAINS);
  s.domain = rgy_name_from_c (text);
  b->endpoint = s.endpoint
      = (struct rgy_endpoint){ .ip = BALANCER_IP + i, .port = INTERNAL_PORT };
  s.sync = (struct rgy_endpoint){ .ip = BALANCER_IP + i, .port = SYNC_PORT };
  s.http = (struct rgy_endpoint){ .ip = BALANCER_IP + i, .port = HTTP_PORT };
  for (k = 0; k < SEEDS; k++)
    s.seeds[k] = (struct rgy_endpoint){ .ip = BALANCER_IP + k,
                                        .port = INTERNAL_PORT };
  memcpy (s.key, f->key, sizeof s.key);
  b->counters = rgy_counters_new ();
  b->core = rgy_balancer_new (&s, b->counters);
  g_ptr_array_add (f->balancers, b);
  /* A random start spreads the ticks of the balancers over the interval.  */
  push_event_ (f, (struct event_){ .kind = EVENT_BALANCER_TICK, .node = i },
               g_rand_int_range (f->random, 0, TICK_US));
  return b;
}

struct fleet_agent *
fleet_get_agent (struct fleet *f, unsigned i)
{
  return &f->agents[i];
}

static void
send_agent_message_ (struct fleet *f, struct fleet_agent *a,
                     struct rgy_endpoint to, const struct rgy_message *m)
{
  struct rgy_bytes bytes = rgy_wire_encode (f->wire, m);

  count_datagram_ (&a->out, bytes);
  send_datagram_ (f, a->record.endpoint, to, bytes);
}

static void
send_heartbeats_ (struct fleet *f, struct fleet_agent *a)
{
  struct rgy_message *m = f->message;
  unsigned i;

  *m = (struct rgy_message){ .kind = RGY_MSG_HEARTBEAT };
  m->u.heartbeat.record = a->record;
  m->u.heartbeat.digests.of[RGY_ENTRY_CONTRACT] = a->contract_digest;
  m->u.heartbeat.digests.of[RGY_ENTRY_DOMAIN] = a->domain_digest;
  for (i = 0; i < a->monitor_count; i++)
    send_agent_message_ (f, a,
                         fleet_get_balancer (f, a->monitors[i])->endpoint, m);
}

/* Executes and clears the actions of an agent core.  */
static void
run_agent_actions_ (struct fleet *f, struct fleet_agent *a)
{
  struct rgy_action action;
  struct rgy_bytes request;
  size_t i;

  for (i = 0; i < rgy_actions_get_count (f->actions); i++)
    {
      action = rgy_actions_get (f->actions, i);
      switch (action.kind)
        {
        case RGY_ACTION_SEND:
          count_datagram_ (&a->out, action.u.send.data);
          send_datagram_ (f, a->record.endpoint, action.u.send.to,
                          action.u.send.data);
          break;
        case RGY_ACTION_SYNC:
          request = rgy_agent_build_sync_request (a->core);
          count_datagram_ (&a->out, request);
          send_sync_request_ (f, a->record.endpoint, action.u.send.to,
                              request);
          break;
        case RGY_ACTION_WRITE_STORE:
          a->store_writes++;
          break;
        default:
          break;
        }
    }
  rgy_actions_clear (f->actions);
}

static void
tick_agent_core_ (struct fleet *f, unsigned node)
{
  struct fleet_agent *a = &f->agents[node];
  int64_t start_ns = get_thread_cpu_ns_ ();

  rgy_agent_tick (a->core, f->now_us, f->actions);
  a->cpu_ns += get_thread_cpu_ns_ () - start_ns;
  run_agent_actions_ (f, a);
  push_event_ (f, (struct event_){ .kind = EVENT_AGENT_TICK, .node = node },
               TICK_US);
}

static void
deliver_to_agent_core_ (struct fleet *f, const struct event_ *e)
{
  struct fleet_agent *a = &f->agents[e->node];
  struct rgy_bytes data = get_bytes_view_ (e->data);
  int64_t start_ns;

  count_datagram_ (&a->in, data);
  start_ns = get_thread_cpu_ns_ ();
  if (e->kind == EVENT_DATAGRAM_TO_AGENT)
    rgy_agent_from_instance (a->core, e->from, data, f->now_us, f->actions);
  else
    rgy_agent_apply_sync (a->core, data, f->now_us, f->actions);
  a->cpu_ns += get_thread_cpu_ns_ () - start_ns;
  run_agent_actions_ (f, a);
}

static void
start_agent_core_ (struct fleet *f, struct fleet_agent *a)
{
  struct rgy_agent_settings s = { .id = a->record.id,
                                  .domain = a->record.domain,
                                  .epoch = a->record.epoch,
                                  .endpoint = a->record.endpoint,
                                  .service = a->record.service,
                                  .seed_count = SEEDS,
                                  .random_seed = a->record.epoch,
                                  .slots = 4,
                                  .connections = 2000,
                                  .queue_length = 16,
                                  .deadline_ms = 2000,
                                  .idle_timeout_us = 86400 * FLEET_S,
                                  .drain_timeout_us = 60 * FLEET_S };
  unsigned k;

  for (k = 0; k < SEEDS; k++)
    s.seeds[k] = (struct rgy_endpoint){ .ip = BALANCER_IP + k,
                                        .port = INTERNAL_PORT };
  memcpy (s.key, f->key, sizeof s.key);
  a->counters = rgy_counters_new ();
  a->core = rgy_agent_new (&s, a->counters);
}

static void
stop_agent_core_ (struct fleet_agent *a)
{
  rgy_agent_delete (a->core);
  if (a->counters != NULL)
    rgy_counters_delete (a->counters);
}

static void
tick_agent_standin_ (struct fleet *f, unsigned node)
{
  send_heartbeats_ (f, &f->agents[node]);
  push_event_ (f, (struct event_){ .kind = EVENT_AGENT_TICK, .node = node },
               HEARTBEAT_US);
}

/* Stores what a stand-in needs of an entry: the epoch of an agent, or the
   revision and the hash of a newer contract.  */
static void
apply_entry_ (struct fleet *f, struct fleet_agent *a,
              const struct rgy_entry *entry)
{
  gpointer found;
  unsigned i;

  if (entry->class == RGY_ENTRY_AGENT)
    {
      uint64_t *epoch = g_memdup2 (&entry->version.major, sizeof *epoch);

      g_hash_table_replace (a->agent_epochs,
                            g_memdup2 (&entry->key, sizeof entry->key), epoch);
      return;
    }
  if (entry->class != RGY_ENTRY_CONTRACT
      || !g_hash_table_lookup_extended (f->customer_index, &entry->key, NULL,
                                        &found))
    return;
  i = GPOINTER_TO_UINT (found);
  if (entry->version.major <= a->contract_revisions[i])
    return;
  a->contract_revisions[i] = entry->version.major;
  a->contract_digest ^= a->contract_hashes[i];
  a->contract_hashes[i] = rgy_entry_get_hash (entry);
  a->contract_digest ^= a->contract_hashes[i];
}

/* Requests the contracts and domain orders that the stand-in lacks from a
   balancer, at most once per SYNC_RETRY_US.  */
static void
request_agent_sync_ (struct fleet *f, struct fleet_agent *a,
                     struct rgy_endpoint peer)
{
  struct rgy_message *m = f->message;
  struct rgy_bytes bytes;
  struct rgy_entry entry;
  unsigned i;

  if (f->now_us < a->next_sync_us)
    return;
  a->next_sync_us = f->now_us + SYNC_RETRY_US;
  *m = (struct rgy_message){ .kind = RGY_MSG_SYNC_REQUEST };
  m->u.sync_request.from = a->record.id;
  m->u.sync_request.classes
      = 1U << RGY_ENTRY_CONTRACT | 1U << RGY_ENTRY_DOMAIN;
  for (i = 0; i < f->settings.customers; i++)
    {
      entry = (struct rgy_entry){ .class = RGY_ENTRY_CONTRACT,
                                  .key = f->customers[i] };
      m->u.sync_request
          .subdigests[RGY_ENTRY_CONTRACT][rgy_entry_get_bucket (&entry)]
          ^= a->contract_hashes[i];
    }
  bytes = rgy_wire_encode (f->wire, m);
  count_datagram_ (&a->out, bytes);
  send_sync_request_ (f, a->record.endpoint, peer, bytes);
}

/* Handles a datagram or a synchronisation frame at a stand-in.  */
static void
deliver_to_agent_standin_ (struct fleet *f, const struct event_ *e)
{
  struct fleet_agent *a = &f->agents[e->node];
  struct rgy_bytes data = get_bytes_view_ (e->data);
  struct rgy_message *m = f->message;
  struct rgy_name self = a->record.id;
  uint64_t digest = a->contract_digest;
  size_t i;

  count_datagram_ (&a->in, data);
  if (rgy_wire_decode (f->wire, data, m) != RGY_OK
      || (a->ignores_configuration
          && (m->kind == RGY_MSG_ENTRIES || m->kind == RGY_MSG_SYNC_REPLY)))
    return;
  switch (m->kind)
    {
    case RGY_MSG_HEARTBEAT_ACK:
      if (m->u.heartbeat_ack.agent_epoch == a->record.epoch
          && m->u.heartbeat_ack.agent_sequence > a->record.sequence)
        a->record.sequence = (m->u.heartbeat_ack.agent_sequence | 1) + 1;
      if (m->u.heartbeat_ack.digests.of[RGY_ENTRY_CONTRACT]
          != a->contract_digest)
        request_agent_sync_ (f, a, m->u.heartbeat_ack.sync);
      break;
    case RGY_MSG_ENTRIES:
    case RGY_MSG_SYNC_REPLY:
      for (i = 0; i < m->u.entries.count; i++)
        apply_entry_ (f, a, m->u.entries.entries[i]);
      if (a->contract_digest != digest)
        send_heartbeats_ (f, a);
      break;
    case RGY_MSG_PROBE:
      m->kind = RGY_MSG_PROBE_ACK;
      m->u.probe.from = self;
      send_agent_message_ (f, a, e->from, m);
      break;
    default:
      break;
    }
}

static void
init_agent_ (struct fleet *f, unsigned i)
{
  struct fleet_agent *a = &f->agents[i];
  struct rgy_name *names = g_new (struct rgy_name, f->balancers->len);
  size_t chosen[3];
  size_t n;
  size_t k;
  char text[RGY_NAME_MAX_BYTES];

  g_snprintf (text, sizeof text, "agent-%05u", i);
  a->record = (struct rgy_agent_record){
    .id = rgy_name_from_c (text),
    .epoch = FIRST_EPOCH + i,
    .sequence = 2,
    .state = RGY_MEMBER_READY,
    .endpoint = { .ip = AGENT_IP + i, .port = INTERNAL_PORT },
    .service
    = { .ip = SERVICE_IP + i % f->settings.services, .port = SERVICE_PORT },
  };
  g_snprintf (text, sizeof text, "domain-%u",
              i / f->settings.services % FLEET_DOMAINS);
  a->record.domain = rgy_name_from_c (text);
  for (k = 0; k < f->balancers->len; k++)
    names[k] = fleet_get_balancer (f, (unsigned)k)->id;
  n = rgy_member_choose (&a->record.id, names, f->balancers->len, 3, chosen);
  for (k = 0; k < n; k++)
    a->monitors[a->monitor_count++] = (unsigned)chosen[k];
  a->contract_revisions = g_new0 (uint64_t, f->settings.customers);
  a->contract_hashes = g_new0 (uint64_t, f->settings.customers);
  a->agent_epochs = g_hash_table_new_full (rgy_name_ghash, rgy_name_gequal,
                                           g_free, g_free);
  g_free (names);
  if (f->settings.agent_cores)
    start_agent_core_ (f, a);
  push_event_ (f, (struct event_){ .kind = EVENT_AGENT_TICK, .node = i },
               g_rand_int_range (f->random, 0, HEARTBEAT_US));
}

void
fleet_restart_agent (struct fleet *f, unsigned i)
{
  struct fleet_agent *a = &f->agents[i];

  a->record.epoch += FIRST_EPOCH;
  if (a->core == NULL)
    {
      send_heartbeats_ (f, a);
      return;
    }
  stop_agent_core_ (a);
  start_agent_core_ (f, a);
}

/* JSON of a customer's contract.  Free it with g_free().  */
static char *
format_contract_ (const struct fleet *f, unsigned customer, size_t min_bytes)
{
  GString *json = g_string_new (NULL);
  unsigned limit = f->settings.traffic ? 100000000 : 0;
  uint32_t prefix = CALLER_IP + (customer << 8);
  char address[RGY_ENDPOINT_TEXT_BYTES];
  unsigned s;
  unsigned i;

  g_string_append_printf (json,
                          "{\"customer\":\"%s\",\"callers\":["
                          "\"%u.%u.%u.0/24\"",
                          f->customers[customer].data, prefix >> 24,
                          prefix >> 16 & 255, prefix >> 8 & 255);
  for (i = 0; i < min_bytes / FILL_PREFIX_BYTES; i++)
    g_string_append_printf (json, ",\"200.%u.%u.0/24\"", customer & 255, i);
  g_string_append (json, "],");
  if (limit > 0)
    g_string_append_printf (json, "\"limits\":{\"bytes_per_second\":%u},",
                            limit);
  g_string_append (json, "\"services\":[");
  for (s = customer; s < f->settings.services; s += f->settings.customers)
    {
      struct rgy_endpoint e = { .ip = SERVICE_IP + s, .port = SERVICE_PORT };

      g_string_append_printf (
          json,
          "%s{\"name\":\"service-%u\",\"address\":\"%s\",\"protocol\":"
          "\"coap\",\"limits\":{\"open_flows\":20000,"
          "\"requests_in_flight\":100}}",
          s == customer ? "" : ",", s, rgy_endpoint_format (e, address));
    }
  g_string_append (json, "]}");
  return g_string_free (json, FALSE);
}

uint64_t
fleet_put_contract (struct fleet *f, unsigned customer, size_t min_bytes)
{
  struct contract_ *c = &f->contracts[customer];
  guint i;

  g_free (c->json);
  c->json = format_contract_ (f, customer, min_bytes);
  c->revision = ++f->revision;
  for (i = 0; i < f->balancers->len; i++)
    if (fleet_get_balancer (f, i)->reader)
      push_event_ (f,
                   (struct event_){ .kind = EVENT_STORE_CONTRACT,
                                    .node = i,
                                    .from.ip = customer },
                   draw_delay_us_ (f)
                       + g_rand_int_range (f->random, 0, STORE_COALESCE_US));
  return c->revision;
}

uint64_t
fleet_get_store_writes (const struct fleet *f)
{
  return f->store_writes;
}

unsigned
fleet_get_reader_count (const struct fleet *f)
{
  unsigned n = 0;
  guint i;

  for (i = 0; i < f->balancers->len; i++)
    if (((struct fleet_balancer *)f->balancers->pdata[i])->reader)
      n++;
  return n;
}

bool
fleet_balancer_has_contract (const struct fleet *f,
                             const struct fleet_balancer *b, unsigned customer,
                             uint64_t revision)
{
  const struct rgy_entry *entry
      = rgy_replica_get (rgy_balancer_get_blackboard (b->core)->replica,
                         RGY_ENTRY_CONTRACT, &f->customers[customer]);

  return entry != NULL && entry->version.major >= revision;
}

bool
fleet_agent_has_contract (const struct fleet *f, const struct fleet_agent *a,
                          unsigned customer, uint64_t revision)
{
  const struct rgy_entry *entry;

  if (a->core != NULL)
    {
      entry = rgy_replica_get (rgy_agent_get_blackboard (a->core)->replica,
                               RGY_ENTRY_CONTRACT, &f->customers[customer]);
      return entry != NULL && entry->version.major >= revision;
    }
  return a->contract_revisions[customer] >= revision;
}

bool
fleet_is_contract_confirmed (const struct fleet *f, unsigned balancer,
                             unsigned customer, uint64_t revision)
{
  const struct fleet_balancer *b = f->balancers->pdata[balancer];
  char *json = rgy_balancer_format_confirm (b->core, &f->customers[customer],
                                            false, revision);
  bool confirmed = strstr (json, "\"confirmed\":true") != NULL;

  g_free (json);
  return confirmed;
}

uint64_t
fleet_get_balancer_sequence (const struct fleet *f, unsigned balancer)
{
  const struct fleet_balancer *b = f->balancers->pdata[balancer];

  return rgy_blackboard_get_balancer (rgy_balancer_get_blackboard (b->core),
                                      &b->id)
      ->sequence;
}

bool
fleet_balancer_has_agent (const struct fleet_balancer *b,
                          const struct fleet_agent *a)
{
  const struct rgy_agent_record *r = rgy_blackboard_get_agent (
      rgy_balancer_get_blackboard (b->core), &a->record.id);

  return r != NULL && r->epoch >= a->record.epoch;
}

bool
fleet_balancer_is_complete (const struct fleet *f,
                            const struct fleet_balancer *b)
{
  const struct rgy_replica *r = rgy_balancer_get_blackboard (b->core)->replica;

  return rgy_replica_get_count (r, RGY_ENTRY_CONTRACT) == f->settings.customers
         && rgy_replica_get_count (r, RGY_ENTRY_AGENT) == f->settings.agents
         && rgy_replica_get_count (r, RGY_ENTRY_BALANCER) == f->balancers->len;
}

void
fleet_reset_statistics (struct fleet *f)
{
  guint i;

  for (i = 0; i < f->balancers->len; i++)
    {
      struct fleet_balancer *b = f->balancers->pdata[i];

      memset (&b->in, 0, sizeof b->in);
      memset (&b->out, 0, sizeof b->out);
      b->cpu_ns = 0;
    }
  for (i = 0; i < f->settings.agents; i++)
    {
      memset (&f->agents[i].in, 0, sizeof f->agents[i].in);
      memset (&f->agents[i].out, 0, sizeof f->agents[i].out);
      f->agents[i].cpu_ns = 0;
      f->agents[i].store_writes = 0;
    }
  f->store_writes = 0;
}

static void
handle_event_ (struct fleet *f, const struct event_ *e)
{
  switch (e->kind)
    {
    case EVENT_BALANCER_TICK:
      tick_balancer_ (f, e->node);
      break;
    case EVENT_AGENT_TICK:
      if (f->agents[e->node].core != NULL)
        tick_agent_core_ (f, e->node);
      else
        tick_agent_standin_ (f, e->node);
      break;
    case EVENT_DATAGRAM_TO_BALANCER:
    case EVENT_SYNC_REPLY_TO_BALANCER:
      deliver_to_balancer_ (f, e);
      break;
    case EVENT_DATAGRAM_TO_AGENT:
    case EVENT_SYNC_REPLY_TO_AGENT:
      if (f->agents[e->node].core != NULL)
        deliver_to_agent_core_ (f, e);
      else
        deliver_to_agent_standin_ (f, e);
      break;
    case EVENT_SYNC_REQUEST:
      serve_sync_request_ (f, e);
      break;
    case EVENT_STORE_CONTRACT:
      deliver_contract_ (f, fleet_get_balancer (f, e->node), e->from.ip);
      break;
    }
}

int64_t
fleet_now_us (const struct fleet *f)
{
  return f->now_us;
}

void
fleet_run (struct fleet *f, int64_t duration_us)
{
  int64_t end_us = f->now_us + duration_us;
  struct event_ *e;

  while (f->heap->len > 0
         && ((struct event_ *)f->heap->pdata[0])->at_us <= end_us)
    {
      e = pop_event_ (f);
      f->now_us = MAX (f->now_us, e->at_us);
      handle_event_ (f, e);
      free_event_ (e);
    }
  f->now_us = end_us;
}

struct fleet *
fleet_new (const struct fleet_settings *settings)
{
  struct fleet *f = g_new0 (struct fleet, 1);
  char text[RGY_NAME_MAX_BYTES];
  unsigned i;

  f->settings = *settings;
  f->random = g_rand_new_with_seed ((guint32)settings->seed);
  f->now_us = FLEET_S;
  f->heap = g_ptr_array_new ();
  f->balancers = g_ptr_array_new_with_free_func (free_balancer_);
  f->actions = rgy_actions_new ();
  f->wire = rgy_wire_new (f->key);
  f->message = g_new0 (struct rgy_message, 1);
  f->customers = g_new0 (struct rgy_name, settings->customers);
  f->contracts = g_new0 (struct contract_, settings->customers);
  f->customer_index = g_hash_table_new (rgy_name_ghash, rgy_name_gequal);
  f->revision = 100;
  for (i = 0; i < settings->customers; i++)
    {
      g_snprintf (text, sizeof text, "customer-%04u", i);
      f->customers[i] = rgy_name_from_c (text);
      g_hash_table_insert (f->customer_index, &f->customers[i],
                           GUINT_TO_POINTER (i));
      fleet_put_contract (f, i, 0);
    }
  for (i = 0; i < settings->balancers; i++)
    fleet_add_balancer (f);
  f->agents = g_new0 (struct fleet_agent, settings->agents);
  for (i = 0; i < settings->agents; i++)
    init_agent_ (f, i);
  return f;
}

void
fleet_delete (struct fleet *f)
{
  guint i;

  for (i = 0; i < f->heap->len; i++)
    free_event_ (f->heap->pdata[i]);
  g_ptr_array_unref (f->heap);
  g_ptr_array_unref (f->balancers);
  for (i = 0; i < f->settings.agents; i++)
    {
      g_free (f->agents[i].contract_revisions);
      g_free (f->agents[i].contract_hashes);
      g_hash_table_unref (f->agents[i].agent_epochs);
      stop_agent_core_ (&f->agents[i]);
    }
  g_free (f->agents);
  for (i = 0; i < f->settings.customers; i++)
    g_free (f->contracts[i].json);
  g_free (f->contracts);
  g_hash_table_unref (f->customer_index);
  g_free (f->customers);
  g_free (f->message);
  rgy_wire_delete (f->wire);
  rgy_actions_delete (f->actions);
  g_rand_free (f->random);
  g_free (f);
}
