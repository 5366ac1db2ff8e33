#include "harness_private.h"

#include <stdarg.h>
#include <string.h>

#include "ragwortyoke/proxy.h"

#define TICK_US (50 * H_MS)
#define LOCAL_DELAY_US 250   /* One way within a failure domain.  */
#define LOOPBACK_DELAY_US 50 /* From an agent to its backend server.  */
#define STORE_DELAY_STEPS 3
#define STORE_POLL_US (100 * H_MS)
#define BACKLOG_MAX 500 /* Queued events of a frozen process.  */
#define PERCENT 100
#define BALANCER_IP 0x7f010000
#define AGENT_IP 0x7f020000
#define INTERNAL_PORT 7000
#define REORDER_MAX_US (60 * H_MS)
#define DRAIN_US (5 * H_S)
#define IDLE_TIMEOUT_US (86400 * H_S)
#define FIRST_EPOCH 1000000

/* Event queue, random numbers and trace.  */

static bool
is_event_before_ (const struct event *a, const struct event *b)
{
  if (a->at_us != b->at_us)
    return a->at_us < b->at_us;
  return a->sequence < b->sequence;
}

static void
swap_events_ (GPtrArray *heap, guint a, guint b)
{
  gpointer t = heap->pdata[a];

  heap->pdata[a] = heap->pdata[b];
  heap->pdata[b] = t;
}

void
h_schedule (struct harness *h, struct event event, int64_t delay_us)
{
  struct event *e = g_memdup2 (&event, sizeof event);
  guint i = h->heap->len;

  e->at_us = h->now_us + delay_us;
  e->sequence = h->next_event_sequence++;
  if (e->node != NULL)
    e->incarnation = e->node->incarnation;
  g_ptr_array_add (h->heap, e);
  while (i > 0
         && is_event_before_ (h->heap->pdata[i], h->heap->pdata[(i - 1) / 2]))
    {
      swap_events_ (h->heap, i, (i - 1) / 2);
      i = (i - 1) / 2;
    }
}

static struct event *
pop_event_ (struct harness *h)
{
  struct event *top = h->heap->pdata[0];
  guint i = 0;

  swap_events_ (h->heap, 0, h->heap->len - 1);
  g_ptr_array_set_size (h->heap, (gint)h->heap->len - 1);
  for (;;)
    {
      guint earliest = i;
      guint child;

      for (child = 2 * i + 1; child <= 2 * i + 2; child++)
        if (child < h->heap->len
            && is_event_before_ (h->heap->pdata[child],
                                 h->heap->pdata[earliest]))
          earliest = child;
      if (earliest == i)
        return top;
      swap_events_ (h->heap, i, earliest);
      i = earliest;
    }
}

static void
event_free_ (struct event *e)
{
  if (e->data != NULL)
    g_bytes_unref (e->data);
  g_free (e);
}

GBytes *
h_copy_bytes (struct rgy_bytes bytes)
{
  return g_bytes_new (bytes.data, bytes.len);
}

struct rgy_bytes
h_view_bytes (GBytes *bytes)
{
  gsize len = 0;
  const uint8_t *data = g_bytes_get_data (bytes, &len);

  return (struct rgy_bytes){ .data = data, .len = len };
}

bool
h_draw_percent (struct harness *h, unsigned percent)
{
  return percent > 0
         && g_rand_int_range (h->random, 0, PERCENT) < (gint32)percent;
}

int64_t
h_add_jitter (struct harness *h, int64_t delay_us)
{
  int64_t spread = delay_us * h->settings.jitter_percent / PERCENT;

  return spread == 0 ? delay_us
                     : delay_us
                           + g_rand_int_range (h->random, (gint32)-spread,
                                               (gint32)spread + 1);
}

/* Draws the delay of a datagram on a network path: jitter, and for reordered
   datagrams up to REORDER_MAX_US more, so that later ones overtake them.  */
static int64_t
draw_path_delay_ (struct harness *h, int64_t delay_us)
{
  int64_t reorder_delay_us
      = h_draw_percent (h, h->settings.reorder_percent)
            ? g_rand_int_range (h->random, 0, REORDER_MAX_US)
            : 0;

  return h_add_jitter (h, delay_us) + reorder_delay_us;
}

void
h_trace (struct harness *h, const char *format, ...)
{
  va_list ap;
  char *text;

  if (h->settings.trace == NULL)
    return;
  va_start (ap, format);
  text = g_strdup_vprintf (format, ap);
  va_end (ap);
  fprintf (h->settings.trace, "%10.3f %s\n", (double)h->now_us / (double)H_MS,
           text);
  g_free (text);
}

/* Network between processes, and between the fabric and callers.  */

/* Key of a link in one direction in the set of partitioned links.  */
static uint64_t
make_link_key_ (const struct node *from, const struct node *to)
{
  return rgy_endpoint_pack (from->endpoint) << 16
         ^ rgy_endpoint_pack (to->endpoint) * UINT64_C (0x9e3779b97f4a7c15);
}

static struct node *
find_node_by_endpoint_ (struct harness *h, struct rgy_endpoint endpoint)
{
  guint i;

  for (i = 0; i < h->nodes->len; i++)
    {
      struct node *n = g_ptr_array_index (h->nodes, i);

      if (rgy_endpoint_equal (n->endpoint, endpoint))
        return n;
    }
  return NULL;
}

static void
send_to_instance_ (struct harness *h, struct node *from,
                   struct rgy_endpoint to, struct rgy_bytes data)
{
  struct node *target = find_node_by_endpoint_ (h, to);
  bool crosses_domains;
  uint64_t link;
  unsigned copies = 1;

  if (target == NULL)
    return;
  crosses_domains = target->domain != from->domain;
  link = make_link_key_ (from, target);
  if (g_hash_table_contains (h->partitioned_links, &link)
      || (crosses_domains && h_draw_percent (h, h->settings.loss_percent)))
    return;
  if (h_draw_percent (h, h->settings.duplicate_percent))
    copies++;
  while (copies-- > 0)
    h_schedule (h,
                (struct event){ .kind = EVENT_INSTANCE,
                                .node = target,
                                .from = from->endpoint,
                                .data = h_copy_bytes (data) },
                draw_path_delay_ (h, crosses_domains
                                         ? h->settings.domain_delay_us
                                         : LOCAL_DELAY_US));
}

/* Sends no request when either direction is partitioned, as synchronisation
   needs both.  */
static void
send_sync_request_ (struct harness *h, struct node *node,
                    struct rgy_endpoint peer)
{
  struct node *target = find_node_by_endpoint_ (h, peer);
  struct rgy_bytes request;
  uint64_t request_link;
  uint64_t reply_link;

  if (target == NULL || target->balancer == NULL)
    return;
  request_link = make_link_key_ (node, target);
  reply_link = make_link_key_ (target, node);
  if (g_hash_table_contains (h->partitioned_links, &request_link)
      || g_hash_table_contains (h->partitioned_links, &reply_link))
    return;
  request = node->kind == NODE_BALANCER
                ? rgy_balancer_build_sync_request (node->balancer)
                : rgy_agent_build_sync_request (node->agent);
  h_schedule (h,
              (struct event){ .kind = EVENT_SYNC_REQUEST,
                              .node = target,
                              .from = node->endpoint,
                              .data = h_copy_bytes (request) },
              h_add_jitter (h, h->settings.domain_delay_us));
}

static void
send_to_caller_ (struct harness *h, struct rgy_bytes data)
{
  struct rgy_endpoint service;
  struct rgy_endpoint caller;
  struct rgy_bytes payload;
  guint i;

  if (rgy_proxy_parse (data, &service, &caller, &payload) != RGY_OK)
    return;
  for (i = 0; i < h->callers->len; i++)
    {
      struct caller *c = g_ptr_array_index (h->callers, i);

      if (rgy_endpoint_equal (caller_get_endpoint (c), caller))
        h_schedule (h,
                    (struct event){ .kind = EVENT_TO_CALLER,
                                    .caller = c,
                                    .data = h_copy_bytes (payload) },
                    draw_path_delay_ (h, h->settings.client_delay_us));
    }
}

void
h_send_from_caller (struct harness *h, struct rgy_endpoint caller,
                    struct rgy_endpoint service, const GByteArray *datagram)
{
  struct node *ready[H_MAX_NODES];
  uint8_t header[RGY_PROXY_HEADER_BYTES];
  GByteArray *packet;
  unsigned copies = 1;
  GBytes *data;
  gint32 n = 0;
  guint i;

  for (i = 0; i < h->nodes->len; i++)
    {
      struct node *node = g_ptr_array_index (h->nodes, i);

      if (node->kind == NODE_BALANCER && node->alive && !node->frozen
          && rgy_balancer_is_ready (node->balancer))
        ready[n++] = node;
    }
  if (n == 0)
    return;
  if (h_draw_percent (h, h->settings.duplicate_percent))
    copies++;
  rgy_proxy_write (header, caller, service);
  packet = g_byte_array_new ();
  g_byte_array_append (packet, header, sizeof header);
  g_byte_array_append (packet, datagram->data, datagram->len);
  data = g_byte_array_free_to_bytes (packet);
  while (copies-- > 0)
    {
      /* Drawn one after the other: compilers evaluate the arguments of a call
         in different orders.  */
      int64_t delay_us = draw_path_delay_ (h, h->settings.client_delay_us);
      struct node *node = ready[g_rand_int_range (h->random, 0, n)];

      h_schedule (h,
                  (struct event){ .kind = EVENT_FABRIC,
                                  .node = node,
                                  .data = g_bytes_ref (data) },
                  delay_us);
    }
  g_bytes_unref (data);
}

static void
run_action_ (struct harness *h, struct node *node,
             const struct rgy_action *action)
{
  switch (action->kind)
    {
    case RGY_ACTION_SEND:
      send_to_instance_ (h, node, action->u.send.to, action->u.send.data);
      break;
    case RGY_ACTION_EGRESS:
      send_to_caller_ (h, action->u.send.data);
      break;
    case RGY_ACTION_DELIVER:
      h_schedule (h,
                  (struct event){ .kind = EVENT_TO_BACKEND,
                                  .node = node,
                                  .flow_id = action->u.flow.flow_id,
                                  .data = h_copy_bytes (action->u.flow.data) },
                  LOOPBACK_DELAY_US);
      break;
    case RGY_ACTION_SYNC:
      send_sync_request_ (h, node, action->u.send.to);
      break;
    case RGY_ACTION_LOG:
      h_trace (h, "%s: %.*s", node->id.data, (int)action->u.text.len,
               action->u.text.data);
      break;
    case RGY_ACTION_EXIT:
      node->alive = false;
      node->exited = true;
      h_trace (h, "%s: exit", node->id.data);
      break;
    case RGY_ACTION_WRITE_STORE:
    case RGY_ACTION_READ_STORE:
    case RGY_ACTION_CLOSE_FLOW:
      break;
    }
}

static void
run_actions_ (struct harness *h, struct node *node)
{
  struct rgy_action action;
  size_t i;

  for (i = 0; i < rgy_actions_get_count (h->actions); i++)
    {
      action = rgy_actions_get (h->actions, i);
      run_action_ (h, node, &action);
    }
  rgy_actions_clear (h->actions);
}

/* Store and operators' orders.  */

/* Whether a record is the newest write of its key that is visible to a reader
   which sees all writes DELAY_US late.  */
static bool
is_newest_visible_ (const struct harness *h, guint index, int64_t delay_us)
{
  const struct store_record *r = g_ptr_array_index (h->store, index);
  guint i;

  if (r->written_us + delay_us > h->now_us)
    return false;
  for (i = index + 1; i < h->store->len; i++)
    {
      const struct store_record *later = g_ptr_array_index (h->store, i);

      if (later->class == r->class && rgy_name_equal (&later->key, &r->key)
          && later->written_us + delay_us <= h->now_us)
        return false;
    }
  return true;
}

/* Delivers the newest visible write of each key to a balancer that reads the
   store; the delay grows with the index of its failure domain.  */
static void
deliver_store_entries_ (struct harness *h, struct node *node)
{
  int64_t delay_us;
  guint i;

  if (h->store_down || !rgy_balancer_is_reader (node->balancer))
    return;
  delay_us = h->store_delay_us * (node->domain + 1) / STORE_DELAY_STEPS;
  for (i = 0; i < h->store->len; i++)
    {
      const struct store_record *r = g_ptr_array_index (h->store, i);
      struct rgy_entry entry = { .class = r->class,
                                 .key = r->key,
                                 .version = r->version,
                                 .value = { .data = (const uint8_t *)r->json,
                                            .len = strlen (r->json) } };

      if (is_newest_visible_ (h, i, delay_us))
        rgy_balancer_from_store (node->balancer, &entry, h->actions);
    }
  run_actions_ (h, node);
}

static void
append_store_record_ (struct harness *h, enum rgy_entry_class class,
                      const struct rgy_name *key, struct rgy_version version,
                      const char *json)
{
  struct store_record *r = g_new0 (struct store_record, 1);

  *r = (struct store_record){ .class = class,
                              .key = *key,
                              .version = version,
                              .json = g_strdup (json),
                              .written_us = h->now_us };
  g_ptr_array_add (h->store, r);
}

void
harness_restore_contract (struct harness *h, const char *json,
                          uint64_t revision)
{
  struct rgy_check_error error;
  struct rgy_contract *c = rgy_contract_parse (rgy_str_from_c (json), &error);

  if (c == NULL)
    g_error ("invalid contract: %s", error.text);
  append_store_record_ (h, RGY_ENTRY_CONTRACT, &c->customer,
                        (struct rgy_version){ .major = revision }, json);
  rgy_contract_delete (c);
  h_trace (h, "contract revision %" G_GUINT64_FORMAT, revision);
}

uint64_t
harness_put_contract (struct harness *h, const char *json)
{
  h->store_revision++;
  harness_restore_contract (h, json, h->store_revision);
  return h->store_revision;
}

struct rgy_domain_order
harness_make_order (struct harness *h, unsigned domain, bool out)
{
  h->next_order_number++;
  return (struct rgy_domain_order){ .domain = h->domains[domain],
                                    .out = out,
                                    .number = h->next_order_number,
                                    .id = h->next_order_number * 7919,
                                    .operator_name
                                    = rgy_name_from_c ("operator") };
}

void
harness_put_order (struct harness *h, const struct rgy_domain_order *order)
{
  char *json = rgy_domain_order_format (order);

  h->store_revision++;
  append_store_record_ (
      h, RGY_ENTRY_DOMAIN, &order->domain,
      (struct rgy_version){ .major = order->number, .minor = order->id },
      json);
  h_trace (h, "order %s %s", order->domain.data, order->out ? "out" : "in");
  g_free (json);
}

void
harness_send_order (struct harness *h, const struct rgy_domain_order *order,
                    struct node *balancer)
{
  char *json = rgy_domain_order_format (order);

  h_trace (h, "order %s %s to %s", order->domain.data,
           order->out ? "out" : "in", balancer->id.data);
  rgy_balancer_from_operator (balancer->balancer, rgy_str_from_c (json),
                              h->now_us, h->actions);
  run_actions_ (h, balancer);
  g_free (json);
}

uint64_t
harness_order_domain (struct harness *h, unsigned domain, bool out)
{
  struct rgy_domain_order order = harness_make_order (h, domain, out);

  harness_put_order (h, &order);
  return order.number;
}

void
harness_set_store_delay (struct harness *h, int64_t delay_us)
{
  h->store_delay_us = delay_us;
  h_trace (h, "store delay %" G_GINT64_FORMAT " ms", delay_us / H_MS);
}

void
harness_set_store_down (struct harness *h, bool down)
{
  h->store_down = down;
  h_trace (h, "store %s", down ? "down" : "up");
}

/* Start and stop of nodes.  */

static void
start_core_ (struct harness *h, struct node *node)
{
  node->counters = rgy_counters_new ();
  node->epoch = FIRST_EPOCH + (uint64_t)h->now_us;
  node->alive = true;
  node->exited = false;
  node->frozen = false;
  node->started_us = h->now_us;
  if (node->kind == NODE_BALANCER)
    {
      node->balancer_settings.epoch = node->epoch;
      node->balancer
          = rgy_balancer_new (&node->balancer_settings, node->counters);
    }
  else
    {
      node->agent_settings.epoch = node->epoch;
      node->agent = rgy_agent_new (&node->agent_settings, node->counters);
    }
  h_schedule (h, (struct event){ .kind = EVENT_TICK, .node = node },
              g_rand_int_range (h->random, 0, TICK_US));
}

static void
stop_core_ (struct node *node)
{
  rgy_balancer_delete (node->balancer);
  rgy_agent_delete (node->agent);
  rgy_counters_delete (node->counters);
  node->balancer = NULL;
  node->agent = NULL;
  node->counters = NULL;
  node->incarnation++;
  node->alive = false;
}

static void
node_free_ (gpointer data)
{
  struct node *node = data;
  struct event *e;

  if (node->counters != NULL)
    stop_core_ (node);
  while ((e = g_queue_pop_head (&node->backlog)) != NULL)
    event_free_ (e);
  if (node->kind == NODE_AGENT)
    backend_clear (&node->backend);
  g_free (node);
}

static struct node *
add_node_ (struct harness *h, enum node_kind kind, const char *id,
           unsigned domain)
{
  struct node *node = g_new0 (struct node, 1);

  g_assert (h->nodes->len < H_MAX_NODES);
  node->kind = kind;
  node->id = rgy_name_from_c (id);
  node->domain = domain;
  node->endpoint = (struct rgy_endpoint){
    .ip = (kind == NODE_BALANCER ? BALANCER_IP : AGENT_IP) + h->nodes->len + 1,
    .port = INTERNAL_PORT
  };
  g_queue_init (&node->backlog);
  g_ptr_array_add (h->nodes, node);
  return node;
}

/* Fills in the seeds of a new process: the endpoints of the first balancers
   that were added, at most three.  A new balancer can be one of its
   own seeds.  */
static size_t
fill_seeds_ (struct harness *h, struct rgy_endpoint *seeds)
{
  size_t n = 0;
  guint i;

  for (i = 0; i < h->nodes->len && n < 3; i++)
    {
      struct node *node = g_ptr_array_index (h->nodes, i);

      if (node->kind == NODE_BALANCER)
        seeds[n++] = node->endpoint;
    }
  return n;
}

struct node *
harness_add_balancer (struct harness *h, const char *id, unsigned domain)
{
  struct node *node = add_node_ (h, NODE_BALANCER, id, domain);
  struct rgy_balancer_settings *s = &node->balancer_settings;

  *s = (struct rgy_balancer_settings){
    .id = node->id,
    .domain = h->domains[domain],
    .endpoint = node->endpoint,
    .sync = node->endpoint,
    .http = node->endpoint,
    .random_seed = h->settings.seed * 1000 + h->nodes->len,
    .drain_us = DRAIN_US,
    .steering = h->settings.modulo_steering ? RGY_BALANCER_STEER_MODULO
                                            : RGY_BALANCER_STEER_TABLE,
    .without_domain_orders = h->settings.without_domain_orders,
    .without_version_check = h->settings.without_version_check,
  };
  memcpy (s->key, h->key, sizeof s->key);
  s->seed_count = fill_seeds_ (h, s->seeds);
  start_core_ (h, node);
  return node;
}

struct node *
harness_add_agent (struct harness *h, const char *id, unsigned domain,
                   struct rgy_endpoint service, unsigned slots,
                   unsigned connections, int64_t work_us)
{
  struct node *node = add_node_ (h, NODE_AGENT, id, domain);
  struct rgy_agent_settings *s = &node->agent_settings;

  *s = (struct rgy_agent_settings){
    .id = node->id,
    .domain = h->domains[domain],
    .endpoint = node->endpoint,
    .service = service,
    .random_seed = h->settings.seed * 1000 + h->nodes->len,
    .slots = slots,
    .connections = connections,
    .queue_length = RGY_ADMISSION_DEFAULT_QUEUE_LENGTH,
    .deadline_ms = RGY_ADMISSION_DEFAULT_DEADLINE_MS,
    .idle_timeout_us = IDLE_TIMEOUT_US,
    .drain_timeout_us = 60 * H_S,
    .without_lookup = h->settings.without_lookup,
    .without_cold_start = h->settings.without_cold_start,
    .without_echo = h->settings.without_echo,
    .without_handover = h->settings.without_handover,
    .without_service_check = h->settings.without_service_check,
    .without_answer_matching = h->settings.without_answer_matching,
    .without_outcome_unknown = h->settings.without_outcome_unknown,
    .without_contract_limits = h->settings.without_contract_limits,
    .without_drain_announcement = h->settings.without_drain_announcement,
    .without_domain_orders = h->settings.without_domain_orders,
    .without_version_check = h->settings.without_version_check,
  };
  memcpy (s->key, h->key, sizeof s->key);
  s->seed_count = fill_seeds_ (h, s->seeds);
  backend_init (&node->backend, slots, work_us);
  start_core_ (h, node);
  return node;
}

unsigned
harness_add_domain (struct harness *h, const char *name)
{
  g_assert (h->domain_count < H_MAX_DOMAINS);
  h->domains[h->domain_count] = rgy_name_from_c (name);
  return h->domain_count++;
}

struct node *
harness_get_node (struct harness *h, const char *id)
{
  guint i;

  for (i = 0; i < h->nodes->len; i++)
    {
      struct node *n = g_ptr_array_index (h->nodes, i);

      if (strcmp (n->id.data, id) == 0)
        return n;
    }
  return NULL;
}

unsigned
harness_get_node_count (const struct harness *h)
{
  return h->nodes->len;
}

struct node *
harness_get_node_at (struct harness *h, unsigned index)
{
  return g_ptr_array_index (h->nodes, index);
}

/* Faults that tests inject.  */

void
harness_kill (struct harness *h, struct node *node)
{
  h_trace (h, "kill %s", node->id.data);
  if (node->counters != NULL)
    stop_core_ (node);
}

void
harness_restart (struct harness *h, struct node *node, bool backend_too)
{
  unsigned slots = node->backend.slots;
  int64_t work_us = node->backend.work_us;
  GHashTable *records;
  uint64_t version = node->backend.board_version;

  h_trace (h, "restart %s", node->id.data);
  if (node->counters != NULL)
    stop_core_ (node);
  if (backend_too && node->kind == NODE_AGENT)
    {
      /* The counts of executions must survive the restart, so that the harness
         finds records that are executed again after it.  */
      records = g_hash_table_ref (node->backend.records);
      backend_clear (&node->backend);
      backend_init (&node->backend, slots, work_us);
      g_hash_table_unref (node->backend.records);
      node->backend.records = records;
      node->backend.board_version = version;
    }
  start_core_ (h, node);
}

void
harness_set_partition (struct harness *h, struct node *from, struct node *to,
                       bool partitioned)
{
  uint64_t link = make_link_key_ (from, to);

  if (partitioned)
    g_hash_table_add (h->partitioned_links, g_memdup2 (&link, sizeof link));
  else
    g_hash_table_remove (h->partitioned_links, &link);
}

void
harness_set_loss (struct harness *h, unsigned percent)
{
  h->settings.loss_percent = percent;
}

void
harness_set_disorder (struct harness *h, unsigned reorder_percent,
                      unsigned duplicate_percent)
{
  h->settings.reorder_percent = reorder_percent;
  h->settings.duplicate_percent = duplicate_percent;
}

void
harness_drain (struct harness *h, struct node *node)
{
  h_trace (h, "drain %s", node->id.data);
  if (node->kind == NODE_BALANCER)
    rgy_balancer_start_drain (node->balancer, h->now_us, h->actions);
  else
    rgy_agent_start_drain (node->agent, h->now_us, h->actions);
  run_actions_ (h, node);
}

void
harness_make_cold (struct node *agent)
{
  agent->backend.cold = true;
  agent->backend.completed = 0;
  agent->backend.first_shed_us = 0;
}

void
harness_update_boards (struct harness *h, struct rgy_endpoint service)
{
  guint i;

  for (i = 0; i < h->nodes->len; i++)
    {
      struct node *n = g_ptr_array_index (h->nodes, i);

      if (n->kind == NODE_AGENT
          && rgy_endpoint_equal (n->agent_settings.service, service))
        backend_update_board (h, n);
    }
}

/* Handling of events that are due.  */

static void
serve_sync_ (struct harness *h, struct event *e)
{
  GPtrArray *frames
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_byte_array_unref);
  struct node *requester = find_node_by_endpoint_ (h, e->from);
  guint i;

  rgy_balancer_serve_sync (e->node->balancer, h_view_bytes (e->data), frames);
  for (i = 0; requester != NULL && i < frames->len; i++)
    {
      GByteArray *frame = g_ptr_array_index (frames, i);

      h_schedule (
          h,
          (struct event){ .kind = EVENT_SYNC_REPLY,
                          .node = requester,
                          .data = g_bytes_new (frame->data, frame->len) },
          h_add_jitter (h, h->settings.domain_delay_us));
    }
  g_ptr_array_unref (frames);
}

static void
tick_node_ (struct harness *h, struct node *node)
{
  if (node->kind == NODE_BALANCER)
    {
      rgy_balancer_tick (node->balancer, h->now_us, h->actions);
      run_actions_ (h, node);
      if (h->now_us % STORE_POLL_US < TICK_US)
        deliver_store_entries_ (h, node);
    }
  else
    rgy_agent_tick (node->agent, h->now_us, h->actions);
  h_schedule (h, (struct event){ .kind = EVENT_TICK, .node = node }, TICK_US);
}

/* Whether a datagram between nodes carries a caller's datagram.  */
static bool
is_data_message_ (GBytes *data)
{
  /* On the wire, the message kind follows the authentication tag and the
     array header of one byte.  */
  return g_bytes_get_size (data) > RGY_WIRE_TAG_BYTES + 1
         && h_view_bytes (data).data[RGY_WIRE_TAG_BYTES + 1] == RGY_MSG_DATA;
}

static void
deliver_to_node_ (struct harness *h, struct event *e)
{
  struct node *node = e->node;

  switch (e->kind)
    {
    case EVENT_TICK:
      tick_node_ (h, node);
      break;
    case EVENT_FABRIC:
      rgy_balancer_from_fabric (node->balancer, h_view_bytes (e->data),
                                h->now_us, h->actions);
      break;
    case EVENT_INSTANCE:
      if (node->kind == NODE_BALANCER)
        rgy_balancer_from_instance (node->balancer, e->from,
                                    h_view_bytes (e->data), h->now_us,
                                    h->actions);
      else
        rgy_agent_from_instance (node->agent, e->from, h_view_bytes (e->data),
                                 h->now_us, h->actions);
      break;
    case EVENT_FROM_BACKEND:
      rgy_agent_from_backend (node->agent, e->flow_id, h_view_bytes (e->data),
                              h->now_us, h->actions);
      break;
    case EVENT_SYNC_REQUEST:
      serve_sync_ (h, e);
      break;
    case EVENT_SYNC_REPLY:
      if (node->kind == NODE_BALANCER)
        rgy_balancer_apply_sync (node->balancer, h_view_bytes (e->data),
                                 h->now_us, h->actions);
      else
        rgy_agent_apply_sync (node->agent, h_view_bytes (e->data), h->now_us,
                              h->actions);
      break;
    default:
      g_assert_not_reached ();
    }
  run_actions_ (h, node);
}

/* @return true when the event was added to the backlog of a frozen node, which
   then owns it.  */
static bool
handle_event_ (struct harness *h, struct event *e)
{
  if (h->trace_wire != NULL)
    trace_event (h, e);
  switch (e->kind)
    {
    case EVENT_TO_CALLER:
      caller_receive (h, e->caller, h_view_bytes (e->data));
      return false;
    case EVENT_CALLER_TIMER:
      caller_handle_timer (h, e->caller);
      return false;
    case EVENT_TO_BACKEND:
      e->node->last_datagram_us = h->now_us;
      backend_receive (h, e->node, e->flow_id, h_view_bytes (e->data));
      return false;
    case EVENT_WORK_DONE:
      backend_finish_work (h, e->node, e->flow_id, h_view_bytes (e->data));
      return false;
    default:
      break;
    }
  if (!e->node->alive || e->incarnation != e->node->incarnation)
    return false;
  if (e->kind == EVENT_FABRIC
      || (e->kind == EVENT_INSTANCE && e->node->kind == NODE_AGENT
          && is_data_message_ (e->data)))
    e->node->last_datagram_us = h->now_us;
  if (e->node->frozen)
    {
      if (e->node->backlog.length >= BACKLOG_MAX && e->kind != EVENT_TICK)
        return false;
      g_queue_push_tail (&e->node->backlog, e);
      return true;
    }
  deliver_to_node_ (h, e);
  return false;
}

void
harness_set_frozen (struct harness *h, struct node *node, bool frozen)
{
  struct event *e;

  h_trace (h, "%s %s", frozen ? "freeze" : "resume", node->id.data);
  node->frozen = frozen;
  while (!frozen && (e = g_queue_pop_head (&node->backlog)) != NULL)
    {
      if (node->alive && e->incarnation == node->incarnation)
        deliver_to_node_ (h, e);
      event_free_ (e);
    }
}

int64_t
harness_now_us (const struct harness *h)
{
  return h->now_us;
}

void
harness_run (struct harness *h, int64_t duration_us)
{
  int64_t until_us = h->now_us + duration_us;
  struct event *e;

  while (h->heap->len > 0
         && ((struct event *)h->heap->pdata[0])->at_us <= until_us)
    {
      e = pop_event_ (h);
      h->now_us = MAX (h->now_us, e->at_us);
      if (!handle_event_ (h, e))
        event_free_ (e);
    }
  h->now_us = until_us;
}

static void
store_record_free_ (gpointer data)
{
  struct store_record *r = data;

  g_free (r->json);
  g_free (r);
}

struct harness *
harness_new (const struct harness_settings *settings)
{
  struct harness *h = g_new0 (struct harness, 1);

  h->settings = *settings;
  h->random = g_rand_new_with_seed ((guint32)settings->seed);
  h->now_us = H_S;
  h->heap = g_ptr_array_new ();
  h->nodes = g_ptr_array_new_with_free_func (node_free_);
  h->callers = g_ptr_array_new_with_free_func ((GDestroyNotify)caller_free);
  h->actions = rgy_actions_new ();
  h->partitioned_links
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  h->store = g_ptr_array_new_with_free_func (store_record_free_);
  h->store_revision = 100;
  return h;
}

void
harness_delete (struct harness *h)
{
  guint i;

  for (i = 0; i < h->heap->len; i++)
    event_free_ (h->heap->pdata[i]);
  g_ptr_array_unref (h->heap);
  g_ptr_array_unref (h->callers);
  g_ptr_array_unref (h->nodes);
  g_ptr_array_unref (h->store);
  g_hash_table_unref (h->partitioned_links);
  rgy_actions_delete (h->actions);
  g_rand_free (h->random);
  rgy_wire_delete (h->trace_wire);
  g_free (h);
}
