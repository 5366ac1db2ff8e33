#include "server.h"

#include <string.h>

#define NS_PER_MS 1000000
#define METHOD_GET 1
#define METHOD_POST 2
#define CODE_CREATED RGY_COAP_CODE (2, 1)
#define CODE_CONTENT RGY_COAP_CODE (2, 5)
#define CODE_BAD_REQUEST RGY_COAP_CODE (4, 0)
#define CODE_BAD_OPTION RGY_COAP_CODE (4, 2)
#define CODE_NOT_FOUND RGY_COAP_CODE (4, 4)
#define CODE_NOT_ALLOWED RGY_COAP_CODE (4, 5)
#define CODE_UNAVAILABLE RGY_COAP_CODE (5, 3)
#define MIN_BLOCK_BYTES 16
/* EXCHANGE_LIFETIME of RFC 7252 section 4.8.2.  */
#define EXCHANGE_LIFETIME_MS 247000
#define EXPIRY_INTERVAL_MS 10000

enum resource_
{
  RESOURCE_BOARD,
  RESOURCE_RECORDS,
  RESOURCE_CATALOGUE,
  RESOURCE_HEALTH,
  RESOURCE_LOAD,
  RESOURCE_NONE
};

/* Identifies a message by its sender, message ID and token.  */
struct exchange_key_
{
  uint64_t from;
  uint64_t token;
  uint16_t message_id;
  uint8_t token_len;
};

/* One request: waiting for a slot, in execution, or finished and kept to
   answer duplicates.  */
struct exchange_
{
  struct exchange_key_ key;
  struct server *server;
  struct rgy_endpoint from;
  GByteArray *datagram;
  struct rgy_coap_view request;
  enum resource_ resource;
  uint64_t arrived_ms;
  uint64_t deadline_ms; /* On the clock of the loop; 0: none.  */
  bool running;
  bool acknowledged;
  bool abandoned;     /* The deadline is before the end of the execution.  */
  GByteArray *answer; /* NULL until it was sent.  */
  uv_timer_t timer;
};

/* A confirmable message that has not been acknowledged yet.  */
struct transmission_
{
  struct exchange_key_ key;
  struct server *server;
  struct rgy_endpoint to;
  GByteArray *datagram;
  unsigned attempts;
  uv_timer_t timer;
};

struct server
{
  struct server_settings settings;
  struct server_stats stats;
  uv_loop_t *loop;
  struct rgy_standin_udp udp;
  struct board *board;
  GHashTable *records;       /* Executions by record ID.  */
  GHashTable *exchanges;     /* struct exchange_ by its key.  */
  GHashTable *transmissions; /* struct transmission_ by its key.  */
  GQueue *waiting;           /* struct exchange_ that wait for a slot.  */
  unsigned running;
  unsigned completions_since_cold;
  bool is_cold;
  bool is_unresponsive;
  bool is_shedding;
  uint16_t message_id; /* Message ID of the next message.  */
  uv_timer_t expiry_timer;
};

static struct exchange_key_
make_key_ (struct rgy_endpoint from, uint16_t message_id,
           struct rgy_bytes token)
{
  struct exchange_key_ key;

  memset (&key, 0, sizeof key);
  key.from = rgy_endpoint_pack (from);
  key.message_id = message_id;
  key.token_len = (uint8_t)token.len;
  if (token.len > 0)
    memcpy (&key.token, token.data, token.len);
  return key;
}

static guint
key_hash_ (gconstpointer key)
{
  return (guint)rgy_hash_bytes (
      (struct rgy_bytes){ .data = key, .len = sizeof (struct exchange_key_) },
      0);
}

static gboolean
key_equal_ (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (struct exchange_key_)) == 0;
}

static void
on_exchange_closed_ (uv_handle_t *handle)
{
  struct exchange_ *e = handle->data;

  g_byte_array_unref (e->datagram);
  if (e->answer != NULL)
    g_byte_array_unref (e->answer);
  g_free (e);
}

static void
remove_exchange_ (struct exchange_ *e)
{
  g_hash_table_remove (e->server->exchanges, &e->key);
  uv_close ((uv_handle_t *)&e->timer, on_exchange_closed_);
}

const struct server_settings *
server_get_settings (const struct server *server)
{
  return &server->settings;
}

struct server_stats *
server_get_mutable_stats (struct server *server)
{
  return &server->stats;
}

uint16_t
server_next_message_id (struct server *server)
{
  return server->message_id++;
}

void
server_send (struct server *server, struct rgy_endpoint to,
             const GByteArray *datagram)
{
  rgy_standin_udp_send (&server->udp, to, datagram);
}

static void
on_transmission_closed_ (uv_handle_t *handle)
{
  struct transmission_ *t = handle->data;

  g_byte_array_unref (t->datagram);
  g_free (t);
}

static void
remove_transmission_ (struct transmission_ *t)
{
  g_hash_table_remove (t->server->transmissions, &t->key);
  uv_close ((uv_handle_t *)&t->timer, on_transmission_closed_);
}

static void
on_retransmit_timer_ (uv_timer_t *timer)
{
  struct transmission_ *t = timer->data;

  if (t->attempts > MAX_RETRANSMIT)
    {
      board_handle_delivery_failure (t->server->board, t->to,
                                     t->key.message_id);
      remove_transmission_ (t);
      return;
    }
  server_send (t->server, t->to, t->datagram);
  uv_timer_start (timer, on_retransmit_timer_,
                  (uint64_t)ACK_TIMEOUT_MS << t->attempts, 0);
  t->attempts++;
}

void
server_send_confirmable (struct server *server, struct rgy_endpoint to,
                         uint16_t message_id, GByteArray *datagram)
{
  struct transmission_ *t = g_new0 (struct transmission_, 1);
  struct transmission_ *old;

  t->key = make_key_ (to, message_id, (struct rgy_bytes){ 0 });
  t->server = server;
  t->to = to;
  t->datagram = datagram;
  uv_timer_init (server->loop, &t->timer);
  t->timer.data = t;
  old = g_hash_table_lookup (server->transmissions, &t->key);
  if (old != NULL)
    remove_transmission_ (old);
  g_hash_table_insert (server->transmissions, &t->key, t);
  on_retransmit_timer_ (&t->timer);
}

static GByteArray *
build_catalogue_answer_ (struct server *server,
                         const struct rgy_coap_view *request,
                         struct rgy_coap_header *header)
{
  struct rgy_standin_block block
      = { .exponent = RGY_STANDIN_BLOCK_MAX_EXPONENT };
  struct rgy_standin_options options = { 0 };
  uint64_t total = server->settings.catalogue_bytes;
  struct rgy_bytes value;
  uint8_t payload[MIN_BLOCK_BYTES << RGY_STANDIN_BLOCK_MAX_EXPONENT];
  uint64_t start;
  size_t size;
  size_t i;

  if (rgy_standin_find_option (request, RGY_STANDIN_OPTION_BLOCK2, &value)
      && !rgy_standin_block_decode (value, &block))
    {
      header->code = CODE_BAD_REQUEST;
      return rgy_coap_build (header, NULL, 0, (struct rgy_bytes){ 0 });
    }
  size = (size_t)MIN_BLOCK_BYTES << block.exponent;
  start = (uint64_t)block.number * size;
  if (start >= total)
    {
      header->code = CODE_BAD_OPTION;
      return rgy_coap_build (header, NULL, 0, (struct rgy_bytes){ 0 });
    }
  size = (size_t)MIN ((uint64_t)size, total - start);
  for (i = 0; i < size; i++)
    payload[i] = rgy_standin_catalogue_byte (start + i);
  block.more = start + size < total;
  rgy_standin_add_uint (&options, RGY_STANDIN_OPTION_BLOCK2,
                        rgy_standin_block_encode (&block));
  rgy_standin_add_uint (&options, RGY_STANDIN_OPTION_SIZE2, (uint32_t)total);
  server->stats.blocks++;
  return rgy_coap_build (header, options.list, options.count,
                         (struct rgy_bytes){ .data = payload, .len = size });
}

static GByteArray *
build_text_answer_ (struct rgy_coap_header *header, uint8_t code,
                    const char *text)
{
  header->code = code;
  return rgy_coap_build (header, NULL, 0,
                         (struct rgy_bytes){ .data = (const uint8_t *)text,
                                             .len = strlen (text) });
}

static GByteArray *
build_load_answer_ (struct server *server, struct rgy_coap_header *header)
{
  char *text = g_strdup_printf ("{\"running\":%u,\"slots\":%u}",
                                server->running, server->settings.slots);
  GByteArray *out = build_text_answer_ (header, CODE_CONTENT, text);

  g_free (text);
  return out;
}

/* Builds the answer to a request that has been executed.  */
static GByteArray *
build_answer_ (struct server *server, const struct exchange_ *e,
               struct rgy_coap_header *header)
{
  header->code = CODE_CONTENT;
  switch (e->resource)
    {
    case RESOURCE_BOARD:
      return board_answer (server->board, e->from, &e->request, header);
    case RESOURCE_RECORDS:
      return build_text_answer_ (header, CODE_CREATED, "");
    case RESOURCE_CATALOGUE:
      return build_catalogue_answer_ (server, &e->request, header);
    case RESOURCE_HEALTH:
      return build_text_answer_ (header, CODE_CONTENT, "ok");
    case RESOURCE_LOAD:
      return build_load_answer_ (server, header);
    case RESOURCE_NONE:
      break;
    }
  return build_text_answer_ (header, CODE_NOT_FOUND, "");
}

/* Sends the answer of an exchange: piggybacked on the acknowledgement, or as a
   message of its own when the request was acknowledged before or is not
   confirmable. An ERROR_CODE other than 0 replaces the answer.  */
static void
send_answer_ (struct exchange_ *e, uint8_t error_code, const char *text)
{
  struct server *server = e->server;
  struct rgy_coap_header header = { .type = RGY_COAP_ACK,
                                    .message_id = e->request.message_id,
                                    .token = e->request.token };
  GByteArray *out;

  if (e->request.type == RGY_COAP_NON || e->acknowledged)
    {
      header.type = e->acknowledged ? RGY_COAP_CON : RGY_COAP_NON;
      header.message_id = server_next_message_id (server);
    }
  out = error_code != 0 ? build_text_answer_ (&header, error_code, text)
                        : build_answer_ (server, e, &header);
  e->answer = g_byte_array_ref (out);
  if (header.type == RGY_COAP_CON)
    {
      server_send_confirmable (server, e->from, header.message_id, out);
      return;
    }
  server_send (server, e->from, out);
  g_byte_array_unref (out);
}

static void start_waiting_executions_ (struct server *server);

/* Ends an exchange. A POST is kept for the exchange lifetime, as its
   duplicates must not be executed; other requests may be executed again.  */
static void
end_exchange_ (struct exchange_ *e)
{
  if (e->request.code == METHOD_POST)
    {
      uv_timer_stop (&e->timer);
      return;
    }
  remove_exchange_ (e);
}

static void
end_execution_ (struct exchange_ *e)
{
  struct server *server = e->server;

  e->running = false;
  server->running--;
  start_waiting_executions_ (server);
}

static void
on_work_done_ (uv_timer_t *timer)
{
  struct exchange_ *e = timer->data;
  struct server *server = e->server;

  if (e->abandoned)
    server->stats.deadline_abandoned++;
  else
    {
      server->stats.completed++;
      if (server->is_cold
          && ++server->completions_since_cold >= server->settings.warm_after)
        server->is_cold = false;
      send_answer_ (e, 0, NULL);
    }
  end_execution_ (e);
  end_exchange_ (e);
}

static void
record_execution_ (struct server *server, const struct rgy_coap_view *request)
{
  char *id
      = g_strndup ((const char *)request->payload.data, request->payload.len);
  unsigned count
      = GPOINTER_TO_UINT (g_hash_table_lookup (server->records, id));

  g_hash_table_insert (server->records, id, GUINT_TO_POINTER (count + 1));
}

static void
start_execution_ (struct exchange_ *e)
{
  struct server *server = e->server;
  uint64_t now_ms = uv_now (server->loop);
  uint64_t work_ms = e->resource == RESOURCE_CATALOGUE
                         ? server->settings.block_ms
                         : server->settings.work_ms;

  e->running = true;
  server->running++;
  if (e->resource == RESOURCE_RECORDS)
    record_execution_ (server, &e->request);
  if (e->deadline_ms != 0 && now_ms + work_ms > e->deadline_ms)
    {
      e->abandoned = true;
      work_ms = e->deadline_ms - now_ms;
    }
  if (work_ms >= server->settings.separate_ms
      && e->request.type == RGY_COAP_CON && !e->acknowledged)
    {
      GByteArray *ack
          = rgy_coap_build_empty (RGY_COAP_ACK, e->request.message_id);

      e->acknowledged = true;
      server_send (server, e->from, ack);
      g_byte_array_unref (ack);
    }
  uv_timer_start (&e->timer, on_work_done_, work_ms, 0);
}

static void
start_waiting_executions_ (struct server *server)
{
  while (server->running < server->settings.slots
         && !g_queue_is_empty (server->waiting))
    {
      struct exchange_ *e = g_queue_pop_head (server->waiting);

      if (e->deadline_ms != 0 && uv_now (server->loop) >= e->deadline_ms)
        {
          server->stats.deadline_abandoned++;
          end_exchange_ (e);
          continue;
        }
      start_execution_ (e);
    }
}

/* Updates the concurrency counters for a new request.  */
static void
count_concurrency_ (struct server *server)
{
  unsigned concurrency = server->running + server->waiting->length + 1;

  server->stats.highest_concurrency
      = MAX (server->stats.highest_concurrency, concurrency);
  if (server->is_cold && concurrency > server->settings.cold_limit)
    server->stats.overload_violations++;
  if (concurrency > server->settings.slots)
    server->stats.slots_exceeded++;
}

static enum resource_
get_resource_ (const struct rgy_coap_view *request)
{
  static const char *const paths[] = {
    [RESOURCE_BOARD] = "/board",         [RESOURCE_RECORDS] = "/records",
    [RESOURCE_CATALOGUE] = "/catalogue", [RESOURCE_HEALTH] = "/health",
    [RESOURCE_LOAD] = "/load",
  };
  char *path = rgy_standin_get_path (request);
  unsigned i;

  for (i = 0; i < G_N_ELEMENTS (paths); i++)
    if (strcmp (path, paths[i]) == 0)
      break;
  g_free (path);
  return (enum resource_)i;
}

static struct exchange_ *
new_exchange_ (struct server *server, struct rgy_endpoint from,
               struct rgy_bytes datagram, const struct exchange_key_ *key)
{
  struct exchange_ *e = g_new0 (struct exchange_, 1);

  e->key = *key;
  e->server = server;
  e->from = from;
  e->datagram = g_byte_array_new ();
  g_byte_array_append (e->datagram, datagram.data, (guint)datagram.len);
  (void)rgy_coap_parse (
      (struct rgy_bytes){ .data = e->datagram->data, .len = e->datagram->len },
      &e->request);
  e->resource = get_resource_ (&e->request);
  e->arrived_ms = uv_now (server->loop);
  if (e->request.has_deadline)
    e->deadline_ms = e->arrived_ms + e->request.deadline_ms;
  uv_timer_init (server->loop, &e->timer);
  e->timer.data = e;
  g_hash_table_insert (server->exchanges, &e->key, e);
  return e;
}

static void
handle_duplicate_ (struct exchange_ *e)
{
  e->server->stats.duplicates++;
  if (e->answer != NULL)
    server_send (e->server, e->from, e->answer);
  else if (e->acknowledged)
    {
      GByteArray *ack
          = rgy_coap_build_empty (RGY_COAP_ACK, e->request.message_id);

      server_send (e->server, e->from, ack);
      g_byte_array_unref (ack);
    }
}

static void
handle_request_ (struct server *server, struct rgy_endpoint from,
                 struct rgy_bytes datagram, const struct rgy_coap_view *view)
{
  struct exchange_key_ key = make_key_ (from, view->message_id, view->token);
  struct exchange_ *e = g_hash_table_lookup (server->exchanges, &key);

  if (e != NULL)
    {
      handle_duplicate_ (e);
      return;
    }
  server->stats.requests++;
  e = new_exchange_ (server, from, datagram, &key);
  if (e->resource >= RESOURCE_HEALTH || view->code > METHOD_POST
      || (view->code == METHOD_POST) != (e->resource == RESOURCE_RECORDS))
    {
      bool allowed = view->code == METHOD_GET || e->resource == RESOURCE_NONE;

      send_answer_ (e, allowed ? 0 : CODE_NOT_ALLOWED, "");
      end_exchange_ (e);
      return;
    }
  if (server->is_shedding)
    {
      server->stats.shed++;
      send_answer_ (e, CODE_UNAVAILABLE, "shed");
      end_exchange_ (e);
      return;
    }
  count_concurrency_ (server);
  g_queue_push_tail (server->waiting, e);
  start_waiting_executions_ (server);
}

/* Handles a Reset, whose message ID is that of a notification, of a separate
   answer, or of a request that the caller cancels.  */
static void
handle_reset_ (struct server *server, struct rgy_endpoint from,
               uint16_t message_id)
{
  struct exchange_key_ sent
      = make_key_ (from, message_id, (struct rgy_bytes){ 0 });
  struct transmission_ *t = g_hash_table_lookup (server->transmissions, &sent);
  GHashTableIter iter;
  gpointer value;

  if (t != NULL)
    remove_transmission_ (t);
  board_handle_reset (server->board, from, message_id);
  g_hash_table_iter_init (&iter, server->exchanges);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct exchange_ *e = value;

      if (!rgy_endpoint_equal (e->from, from)
          || e->request.message_id != message_id || e->answer != NULL)
        continue;
      if (!e->running && !g_queue_remove (server->waiting, e))
        continue;
      server->stats.cancelled++;
      uv_timer_stop (&e->timer);
      if (e->running)
        end_execution_ (e);
      end_exchange_ (e);
      return;
    }
}

static void
on_datagram_ (struct rgy_endpoint from, struct rgy_bytes datagram, void *ctx)
{
  struct server *server = ctx;
  struct rgy_coap_view view;
  struct exchange_key_ key;
  struct transmission_ *t;
  GByteArray *reset;

  if (server->is_unresponsive || rgy_coap_parse (datagram, &view) != RGY_OK)
    return;
  switch (rgy_coap_classify (&view))
    {
    case RGY_COAP_CLASS_PING:
      server->stats.pings++;
      reset = rgy_coap_build_empty (RGY_COAP_RST, view.message_id);
      server_send (server, from, reset);
      g_byte_array_unref (reset);
      break;
    case RGY_COAP_CLASS_ACK:
      key = make_key_ (from, view.message_id, (struct rgy_bytes){ 0 });
      t = g_hash_table_lookup (server->transmissions, &key);
      if (t != NULL)
        remove_transmission_ (t);
      break;
    case RGY_COAP_CLASS_RESET:
      handle_reset_ (server, from, view.message_id);
      break;
    case RGY_COAP_CLASS_RESPONSE:
      break;
    case RGY_COAP_CLASS_IDEMPOTENT:
    case RGY_COAP_CLASS_OBSERVE:
    case RGY_COAP_CLASS_OBSERVE_END:
    case RGY_COAP_CLASS_NON_IDEMPOTENT:
      handle_request_ (server, from, datagram, &view);
      break;
    }
}

/* Removes finished exchanges after the exchange lifetime.  */
static void
on_expiry_timer_ (uv_timer_t *timer)
{
  struct server *server = timer->data;
  uint64_t now_ms = uv_now (server->loop);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, server->exchanges);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct exchange_ *e = value;

      if (uv_is_active ((uv_handle_t *)&e->timer) || e->running
          || now_ms - e->arrived_ms < EXCHANGE_LIFETIME_MS
          || g_queue_find (server->waiting, e) != NULL)
        continue;
      g_hash_table_iter_remove (&iter);
      uv_close ((uv_handle_t *)&e->timer, on_exchange_closed_);
    }
}

struct server *
server_new (uv_loop_t *loop, const struct server_settings *settings)
{
  struct server *server = g_new0 (struct server, 1);

  server->settings = *settings;
  server->loop = loop;
  server->is_cold = true;
  server->records
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  server->exchanges = g_hash_table_new (key_hash_, key_equal_);
  server->transmissions = g_hash_table_new (key_hash_, key_equal_);
  server->waiting = g_queue_new ();
  server->board = board_new (server);
  server->message_id = (uint16_t)g_random_int ();
  uv_timer_init (loop, &server->expiry_timer);
  server->expiry_timer.data = server;
  uv_timer_start (&server->expiry_timer, on_expiry_timer_, EXPIRY_INTERVAL_MS,
                  EXPIRY_INTERVAL_MS);
  return server;
}

int
server_listen (struct server *server, struct rgy_endpoint listen)
{
  return rgy_standin_udp_open (&server->udp, server->loop, listen,
                               (struct rgy_endpoint){ 0 }, on_datagram_,
                               server);
}

void
server_raise_version (struct server *server, uint64_t version)
{
  board_raise_version (server->board, version);
}

void
server_set_cold (struct server *server)
{
  server->is_cold = true;
  server->completions_since_cold = 0;
}

void
server_set_unresponsive (struct server *server, bool unresponsive)
{
  server->is_unresponsive = unresponsive;
}

void
server_set_shedding (struct server *server, bool shed)
{
  server->is_shedding = shed;
}

const struct server_stats *
server_get_stats (const struct server *server)
{
  return &server->stats;
}

GHashTable *
server_get_record_executions (struct server *server)
{
  return server->records;
}

uint64_t
server_get_board_version (const struct server *server)
{
  return board_get_version (server->board);
}

bool
server_is_cold (const struct server *server)
{
  return server->is_cold;
}

unsigned
server_get_running_count (const struct server *server)
{
  return server->running;
}

unsigned
server_get_observer_count (const struct server *server)
{
  return board_get_observer_count (server->board);
}
