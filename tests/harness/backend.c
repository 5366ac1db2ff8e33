#include "harness_private.h"

#include <string.h>

#include "ragwortyoke/request.h"

/* Simulated backend server with a concurrency limit, a cold start, records
   that it executes, and an observable board.  Payloads of requests start with
   the address of their service, so that the server detects a datagram of
   another service.  */

#define COLD_LIMIT 1 /* Concurrent executions while the server is cold.  */
#define WARMUP_COMPLETIONS 8
#define LOOPBACK_DELAY_US 50
#define SHED_GRACE_US H_MS

/* Observer of the board, found by the socket key of its flow.  */
struct observer
{
  uint8_t token[RGY_COAP_TOKEN_MAX_BYTES];
  size_t token_len;
  uint32_t sequence;
  uint16_t message_id;
};

void
backend_init (struct backend *b, unsigned slots, int64_t work_us)
{
  *b = (struct backend){ .slots = slots,
                         .cold_limit = COLD_LIMIT,
                         .warmup_completions = WARMUP_COMPLETIONS,
                         .work_us = work_us,
                         .cold = true };
  b->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  b->observers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  b->answers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                      (GDestroyNotify)g_bytes_unref);
}

void
backend_clear (struct backend *b)
{
  g_hash_table_unref (b->records);
  g_hash_table_unref (b->observers);
  g_hash_table_unref (b->answers);
}

/* Each flow has a socket of its own, which is closed when its agent stops. The
   key holds the agent's incarnation above the 40 bits of the flow ID.  */
static uint64_t
make_socket_key_ (const struct node *node, uint64_t flow_id)
{
  return (uint64_t)node->incarnation << 40 | flow_id;
}

static void
send_answer_later_ (struct harness *h, struct node *node, uint64_t flow_id,
                    GByteArray *datagram, int64_t delay_us)
{
  h_schedule (
      h,
      (struct event){ .kind = EVENT_FROM_BACKEND,
                      .node = node,
                      .flow_id = flow_id,
                      .data = g_bytes_new (datagram->data, datagram->len) },
      LOOPBACK_DELAY_US + delay_us);
  g_byte_array_unref (datagram);
}

static void
send_answer_ (struct harness *h, struct node *node, uint64_t flow_id,
              GByteArray *datagram)
{
  send_answer_later_ (h, node, flow_id, datagram, 0);
}

static struct rgy_bytes
view_text_ (const char *text)
{
  return (struct rgy_bytes){ .data = (const uint8_t *)text,
                             .len = strlen (text) };
}

static GByteArray *
build_answer_ (const struct rgy_coap_view *request, uint8_t code,
               const uint32_t *observe, struct rgy_bytes payload)
{
  struct rgy_coap_header header
      = { .type = request->type == RGY_COAP_CON ? RGY_COAP_ACK : RGY_COAP_NON,
          .code = code,
          .message_id = request->message_id,
          .token = request->token };
  struct rgy_coap_uint room;
  struct rgy_coap_option option;

  if (observe != NULL)
    option = rgy_coap_uint_option (RGY_COAP_OPTION_OBSERVE, *observe, &room);
  return rgy_coap_build (&header, &option, observe != NULL, payload);
}

static unsigned
get_concurrency_limit_ (const struct backend *b)
{
  return b->cold ? b->cold_limit : b->slots;
}

/* Whether the server answers a request with 5.03.  The first 5.03 informs the
   agent that the server is cold.  A request above the concurrency limit that
   comes later than SHED_GRACE_US after the first 5.03 is a fault of the agent,
   and is counted as an overload.  */
static bool
sheds_request_ (struct harness *h, struct node *node)
{
  struct backend *b = &node->backend;

  if (b->shedding)
    return true;
  if (!b->sheds_when_cold || !b->cold
      || b->running < get_concurrency_limit_ (b))
    return false;
  if (b->first_shed_us == 0)
    b->first_shed_us = h->now_us;
  else if (h->now_us > b->first_shed_us + SHED_GRACE_US)
    {
      b->overloads++;
      h_trace (h, "%s: overload after the first 5.03", node->id.data);
    }
  return true;
}

/* Starts an execution even above the concurrency limit, and then counts
   an overload.  */
static void
start_execution_ (struct harness *h, struct node *node, uint64_t flow_id,
                  struct rgy_bytes datagram)
{
  struct backend *b = &node->backend;

  b->running++;
  b->last_start_us = h->now_us;
  b->peak_running = MAX (b->peak_running, b->running);
  if (b->running > get_concurrency_limit_ (b))
    {
      b->overloads++;
      h_trace (h, "%s: overload, %u running", node->id.data, b->running);
    }
  h_schedule (h,
              (struct event){ .kind = EVENT_WORK_DONE,
                              .node = node,
                              .flow_id = make_socket_key_ (node, flow_id),
                              .data = h_copy_bytes (datagram) },
              h_add_jitter (h, b->work_us));
}

/* Key of a request, by which the server finds its response for a duplicate. */
static uint64_t
make_message_key_ (const struct node *node, uint64_t flow_id, uint16_t id)
{
  return make_socket_key_ (node, flow_id) << 16 | id;
}

static bool
is_for_service_ (const struct node *node, struct rgy_bytes payload)
{
  char text[RGY_ENDPOINT_TEXT_BYTES];
  size_t len;

  rgy_endpoint_format (node->agent_settings.service, text);
  len = strlen (text);
  return payload.len > len && memcmp (payload.data, text, len) == 0;
}

static void
answer_load_query_ (struct harness *h, struct node *node,
                    const struct rgy_coap_view *view)
{
  char text[64];

  g_snprintf (text, sizeof text, "{\"running\":%u,\"slots\":%u}",
              node->backend.reports_full       ? node->backend.slots
              : node->backend.ignores_requests ? 0
                                               : node->backend.running,
              node->backend.slots);
  send_answer_later_ (
      h, node, RGY_PROBE_FLOW_ID,
      build_answer_ (view, RGY_COAP_CODE (2, 5), NULL, view_text_ (text)),
      node->backend.probe_delay_us);
}

void
backend_receive (struct harness *h, struct node *node, uint64_t flow_id,
                 struct rgy_bytes datagram)
{
  struct backend *b = &node->backend;
  struct rgy_coap_view view;
  uint64_t key;
  uint64_t socket = make_socket_key_ (node, flow_id);
  GBytes *cached;

  if (b->unresponsive || rgy_coap_parse (datagram, &view) != RGY_OK)
    return;
  switch (rgy_coap_classify (&view))
    {
    case RGY_COAP_CLASS_PING:
      send_answer_later_ (h, node, flow_id,
                          rgy_coap_build_empty (RGY_COAP_RST, view.message_id),
                          b->probe_delay_us);
      return;
    case RGY_COAP_CLASS_RESET:
      g_hash_table_remove (b->observers, &socket);
      return;
    case RGY_COAP_CLASS_ACK:
    case RGY_COAP_CLASS_RESPONSE:
      return;
    case RGY_COAP_CLASS_OBSERVE_END:
      g_hash_table_remove (b->observers, &socket);
      send_answer_ (h, node, flow_id,
                    build_answer_ (&view, RGY_COAP_CODE (2, 5), NULL,
                                   view_text_ ("end")));
      return;
    case RGY_COAP_CLASS_IDEMPOTENT:
    case RGY_COAP_CLASS_OBSERVE:
    case RGY_COAP_CLASS_NON_IDEMPOTENT:
      break;
    }
  if (flow_id == RGY_PROBE_FLOW_ID)
    {
      answer_load_query_ (h, node, &view);
      return;
    }
  if (b->ignores_requests)
    return;
  if (!is_for_service_ (node, view.payload))
    b->wrong_service++;
  key = make_message_key_ (node, flow_id, view.message_id);
  cached = g_hash_table_lookup (b->answers, &key);
  if (cached != NULL)
    {
      if (g_bytes_get_size (cached) > 0)
        h_schedule (h,
                    (struct event){ .kind = EVENT_FROM_BACKEND,
                                    .node = node,
                                    .flow_id = flow_id,
                                    .data = g_bytes_ref (cached) },
                    LOOPBACK_DELAY_US);
      return;
    }
  g_hash_table_insert (b->answers, g_memdup2 (&key, sizeof key),
                       g_bytes_new (NULL, 0));
  if (sheds_request_ (h, node))
    {
      send_answer_ (h, node, flow_id,
                    build_answer_ (&view, RGY_COAP_CODE (5, 3), NULL,
                                   view_text_ ("busy")));
      return;
    }
  start_execution_ (h, node, flow_id, datagram);
}

/* Counts the execution of a record, whose ID is the payload.  */
static void
count_execution_ (struct harness *h, struct node *node,
                  struct rgy_bytes payload)
{
  struct backend *b = &node->backend;
  char *id = g_strndup ((const char *)payload.data, payload.len);
  unsigned n = GPOINTER_TO_UINT (g_hash_table_lookup (b->records, id));

  b->executions++;
  if (n > 0 || h_count_executions (h, id) > 0)
    h_trace (h, "%s: record %s executed again", node->id.data, id);
  g_hash_table_replace (b->records, id, GUINT_TO_POINTER (n + 1));
}

static uint32_t
add_observer_ (struct node *node, uint64_t socket,
               const struct rgy_coap_view *view)
{
  struct observer *o = g_new0 (struct observer, 1);

  memcpy (o->token, view->token.data, view->token.len);
  o->token_len = view->token.len;
  o->sequence = 1;
  o->message_id = 1;
  g_hash_table_replace (node->backend.observers,
                        g_memdup2 (&socket, sizeof socket), o);
  return o->sequence;
}

void
backend_finish_work (struct harness *h, struct node *node, uint64_t socket,
                     struct rgy_bytes request)
{
  struct backend *b = &node->backend;
  uint64_t flow_id = socket & ((UINT64_C (1) << 40) - 1);
  bool is_current = socket >> 40 == node->incarnation;
  struct rgy_coap_view view;
  GByteArray *answer;
  char board[32];
  uint32_t observe = 0;
  uint64_t key;

  if (b->running > 0)
    b->running--;
  if (++b->completed >= b->warmup_completions)
    b->cold = false;
  g_assert (rgy_coap_parse (request, &view) == RGY_OK);
  switch (rgy_coap_classify (&view))
    {
    case RGY_COAP_CLASS_NON_IDEMPOTENT:
      count_execution_ (h, node, view.payload);
      answer = build_answer_ (&view, RGY_COAP_CODE (2, 4), NULL, view.payload);
      break;
    case RGY_COAP_CLASS_OBSERVE:
      if (is_current)
        observe = add_observer_ (node, socket, &view);
      g_snprintf (board, sizeof board, "%" G_GUINT64_FORMAT, b->board_version);
      answer = build_answer_ (&view, RGY_COAP_CODE (2, 5), &observe,
                              view_text_ (board));
      break;
    default:
      answer = build_answer_ (&view, RGY_COAP_CODE (2, 5), NULL, view.payload);
      break;
    }
  key = make_message_key_ (node, flow_id, view.message_id);
  g_hash_table_replace (b->answers, g_memdup2 (&key, sizeof key),
                        g_bytes_new (answer->data, answer->len));
  if (is_current && !b->unresponsive)
    send_answer_ (h, node, flow_id, answer);
  else
    g_byte_array_unref (answer);
}

static int
compare_sockets_ (const void *a, const void *b)
{
  uint64_t first = *(const uint64_t *)a;
  uint64_t second = *(const uint64_t *)b;

  return first < second ? -1 : first > second;
}

void
backend_update_board (struct harness *h, struct node *node)
{
  struct backend *b = &node->backend;
  GList *sockets;
  GList *link;
  char board[32];

  b->board_version++;
  if (b->unresponsive)
    return;
  g_snprintf (board, sizeof board, "%" G_GUINT64_FORMAT, b->board_version);
  sockets
      = g_list_sort (g_hash_table_get_keys (b->observers), compare_sockets_);
  for (link = sockets; link != NULL; link = link->next)
    {
      struct observer *o = g_hash_table_lookup (b->observers, link->data);
      uint64_t socket = *(uint64_t *)link->data;
      struct rgy_coap_header header
          = { .type = RGY_COAP_NON,
              .code = RGY_COAP_CODE (2, 5),
              .message_id = o->message_id++,
              .token = { .data = o->token, .len = o->token_len } };
      struct rgy_coap_uint room;
      struct rgy_coap_option option;

      o->sequence = (o->sequence + 1) & 0xffffff;
      option
          = rgy_coap_uint_option (RGY_COAP_OPTION_OBSERVE, o->sequence, &room);
      if (socket >> 40 == node->incarnation)
        send_answer_ (
            h, node, socket & ((UINT64_C (1) << 40) - 1),
            rgy_coap_build (&header, &option, 1, view_text_ (board)));
    }
  g_list_free (sockets);
}
