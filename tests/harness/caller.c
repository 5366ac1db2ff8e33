#include "harness_private.h"

#include <string.h>

#include "ragwortyoke/request.h"

/* Simulated caller: it sends one request at a time, with the retransmission of
   RFC 7252 and new attempts after refusals.  A watch registers again when it
   has received no update for REREGISTER_US.  */

#define ACK_TIMEOUT_US (2 * H_S)
#define MAX_RETRANSMIT 4
#define ANSWER_TARGET_US (5 * H_S)
#define STALE_US (5 * H_S)
#define REREGISTER_US (10 * H_S)
#define RETRY_US H_S
#define TIMER_INTERVAL_US (100 * H_MS)
#define MAX_ATTEMPTS 20
#define ECHO_MAX_BYTES 40

struct caller
{
  struct harness *harness;
  enum caller_kind kind;
  struct rgy_endpoint endpoint;
  struct rgy_endpoint service;
  int64_t interval_us;
  bool stopped;
  struct caller_stats stats;

  /* The outstanding request.  */
  bool request_outstanding;
  char request_id[96];
  GByteArray *datagram;
  uint64_t token;
  uint16_t message_id;
  unsigned transmissions;
  unsigned attempts;
  int64_t request_start_us;
  int64_t resend_us;
  int64_t next_request_us;
  uint8_t echo[ECHO_MAX_BYTES];
  size_t echo_len;

  /* Observation of a watch.  */
  bool watching;
  uint64_t watch_token;
  uint32_t observe;
  uint64_t version;
  int64_t last_update_us;
  bool counted_stale;

  /* IDs of the records that were answered with success.  */
  GPtrArray *accepted_records;
};

struct caller *
harness_add_caller (struct harness *h, enum caller_kind kind, uint32_t ip,
                    struct rgy_endpoint service, int64_t interval_us)
{
  struct caller *c = g_new0 (struct caller, 1);

  c->harness = h;
  c->kind = kind;
  c->endpoint
      = (struct rgy_endpoint){ .ip = ip,
                               .port = (uint16_t)(10000 + h->callers->len) };
  c->service = service;
  c->interval_us = interval_us;
  c->token = (uint64_t)h->callers->len << 32;
  c->message_id = (uint16_t)g_rand_int (h->random);
  c->next_request_us
      = h->now_us
        + (interval_us > 0
               ? g_rand_int_range (h->random, 0, (gint32)interval_us)
               : g_rand_int_range (h->random, 0, (gint32)H_S));
  c->accepted_records = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (h->callers, c);
  h_schedule (h, (struct event){ .kind = EVENT_CALLER_TIMER, .caller = c },
              h_add_jitter (h, TIMER_INTERVAL_US));
  return c;
}

void
caller_free (struct caller *c)
{
  if (c->datagram != NULL)
    g_byte_array_unref (c->datagram);
  g_ptr_array_unref (c->accepted_records);
  g_free (c);
}

void
harness_stop_caller (struct caller *c)
{
  c->stopped = true;
}

const struct caller_stats *
harness_get_stats (const struct caller *c)
{
  return &c->stats;
}

bool
harness_has_outstanding_request (const struct caller *c)
{
  return c->request_outstanding;
}

bool
harness_owns_flow (const struct node *agent, const struct caller *c)
{
  struct rgy_flow_key key = rgy_flow_key_udp (c->endpoint, c->service);

  return agent->agent != NULL && rgy_agent_owns_flow (agent->agent, &key);
}

struct rgy_endpoint
caller_get_endpoint (const struct caller *c)
{
  return c->endpoint;
}

enum caller_kind
caller_get_kind (const struct caller *c)
{
  return c->kind;
}

/* Sending of requests.  */

static void
transmit_request_ (struct caller *c)
{
  struct harness *h = c->harness;

  c->resend_us = h->now_us + (ACK_TIMEOUT_US << c->transmissions);
  c->transmissions++;
  h_send_from_caller (h, c->endpoint, c->service, c->datagram);
}

/* Sends the outstanding request in a message with a new token and message ID.
   A poster adds the Echo option of the last 4.01.  */
static void
send_new_message_ (struct caller *c)
{
  static const uint8_t codes[]
      = { [CALLER_WATCH] = 1, [CALLER_POST] = 2, [CALLER_GET] = 1 };
  struct rgy_coap_header header;
  struct rgy_coap_option options[2];
  struct rgy_coap_uint room;
  size_t n = 0;

  c->token++;
  c->message_id++;
  c->transmissions = 0;
  header = (struct rgy_coap_header){
    .type = RGY_COAP_CON,
    .code = codes[c->kind],
    .message_id = c->message_id,
    .token = { .data = (const uint8_t *)&c->token, .len = sizeof c->token }
  };
  if (c->kind == CALLER_WATCH)
    options[n++] = rgy_coap_uint_option (RGY_COAP_OPTION_OBSERVE, 0, &room);
  if (c->echo_len > 0 && c->kind == CALLER_POST)
    options[n++] = (struct rgy_coap_option){ .number = RGY_COAP_OPTION_ECHO,
                                             .value = { .data = c->echo,
                                                        .len = c->echo_len } };
  if (c->datagram != NULL)
    g_byte_array_unref (c->datagram);
  c->datagram = rgy_coap_build (
      &header, options, n,
      (struct rgy_bytes){ .data = (const uint8_t *)c->request_id,
                          .len = strlen (c->request_id) });
  transmit_request_ (c);
}

static void
begin_request_ (struct caller *c)
{
  char service[RGY_ENDPOINT_TEXT_BYTES];
  char self[RGY_ENDPOINT_TEXT_BYTES];

  c->stats.requests++;
  g_snprintf (c->request_id, sizeof c->request_id, "%s/%s/%" G_GUINT64_FORMAT,
              rgy_endpoint_format (c->service, service),
              rgy_endpoint_format (c->endpoint, self), c->stats.requests);
  c->request_outstanding = true;
  c->attempts = 1;
  c->request_start_us = c->harness->now_us;
  c->echo_len = 0;
  if (c->kind == CALLER_WATCH)
    c->stats.registrations++;
  send_new_message_ (c);
}

static void
end_request_ (struct caller *c)
{
  c->request_outstanding = false;
  c->next_request_us
      = MAX (c->harness->now_us, c->request_start_us + c->interval_us);
}

static void
end_request_unknown_ (struct caller *c, const char *why)
{
  c->stats.unknown_outcomes++;
  h_trace (c->harness, "caller %s: outcome unknown: %s", c->request_id, why);
  end_request_ (c);
  if (c->kind == CALLER_WATCH)
    c->next_request_us = c->harness->now_us + RETRY_US;
}

/* Handling of responses and notifications.  */

static void
record_success_ (struct caller *c, const struct rgy_coap_view *view)
{
  struct harness *h = c->harness;

  if (c->kind != CALLER_WATCH
      && (view->payload.len != strlen (c->request_id)
          || memcmp (view->payload.data, c->request_id, view->payload.len)
                 != 0))
    c->stats.mismatched++;
  if (h->now_us - c->request_start_us <= ANSWER_TARGET_US)
    c->stats.in_time++;
  else
    c->stats.late++;
  if (c->kind == CALLER_POST)
    g_ptr_array_add (c->accepted_records, g_strdup (c->request_id));
  end_request_ (c);
}

/* Records the board version in a response or notification of a watch.  */
static void
record_board_version_ (struct caller *c, const struct rgy_coap_view *view)
{
  char text[32] = { 0 };
  uint64_t version;

  memcpy (text, view->payload.data, MIN (view->payload.len, sizeof text - 1));
  version = g_ascii_strtoull (text, NULL, 10);
  c->last_update_us = c->harness->now_us;
  c->stats.last_update_us = c->last_update_us;
  c->counted_stale = false;
  if (version < c->version)
    {
      c->stats.version_regressions++;
      h_trace (c->harness,
               "caller %s: version %" G_GUINT64_FORMAT
               " after %" G_GUINT64_FORMAT,
               c->request_id, version, c->version);
    }
  else
    c->version = version;
}

/* Acknowledges a notification, and records it when it is newer than the last
   one: its Observe value is ahead by less than half of the 24-bit space.  */
static void
handle_notification_ (struct caller *c, const struct rgy_coap_view *view)
{
  uint32_t ahead = (view->observe - c->observe) & 0xffffff;
  GByteArray *ack;

  if (view->type == RGY_COAP_CON)
    {
      ack = rgy_coap_build_empty (RGY_COAP_ACK, view->message_id);
      h_send_from_caller (c->harness, c->endpoint, c->service, ack);
      g_byte_array_unref (ack);
    }
  if (!view->has_observe || ahead == 0 || ahead >= 1U << 23)
    return;
  c->observe = view->observe;
  c->stats.notifications++;
  record_board_version_ (c, view);
}

/* Sends a refused request again after RETRY_US, with at most MAX_ATTEMPTS
   attempts in all.  A poster does not repeat a request that was refused with
   "outcome-unknown", as its record could then be executed twice.  */
static void
handle_refusal_ (struct caller *c, const struct rgy_coap_view *view)
{
  char text[64] = { 0 };

  memcpy (text, view->payload.data, MIN (view->payload.len, sizeof text - 1));
  if (c->kind == CALLER_POST && g_str_has_prefix (text, "not-run")
      && h_count_executions (c->harness, c->request_id) > 0)
    {
      c->stats.false_not_run++;
      h_trace (c->harness, "caller %s: false %s", c->request_id, text);
    }
  if (g_str_has_prefix (text, "outcome-unknown") && c->kind == CALLER_POST)
    {
      end_request_unknown_ (c, text);
      return;
    }
  if (c->attempts < MAX_ATTEMPTS)
    {
      c->attempts++;
      c->echo_len = 0;
      c->resend_us = c->harness->now_us + RETRY_US;
      c->transmissions = 0;
      g_byte_array_unref (c->datagram);
      c->datagram = NULL;
      return;
    }
  c->stats.refused++;
  end_request_ (c);
}

static void
handle_answer_ (struct caller *c, const struct rgy_coap_view *view)
{
  unsigned class = view->code >> 5;

  if (view->code == RGY_COAP_CODE (4, 1) && view->has_echo
      && view->echo.len <= ECHO_MAX_BYTES)
    {
      memcpy (c->echo, view->echo.data, view->echo.len);
      c->echo_len = view->echo.len;
      send_new_message_ (c);
      return;
    }
  if (class != 2)
    {
      handle_refusal_ (c, view);
      return;
    }
  if (c->kind == CALLER_WATCH)
    {
      c->watching = true;
      c->watch_token = c->token;
      c->observe = view->observe;
      record_board_version_ (c, view);
    }
  record_success_ (c, view);
}

void
caller_receive (struct harness *h, struct caller *c, struct rgy_bytes datagram)
{
  struct rgy_coap_view view;
  uint64_t token = 0;

  (void)h;
  if (rgy_coap_parse (datagram, &view) != RGY_OK
      || view.token.len != sizeof token)
    return;
  memcpy (&token, view.token.data, sizeof token);
  if (c->request_outstanding && c->datagram != NULL && token == c->token)
    handle_answer_ (c, &view);
  else if (c->watching && token == c->watch_token)
    handle_notification_ (c, &view);
}

/* Counts a watch as stale once until its next update, and registers it again
   after REREGISTER_US.  */
static void
check_watch_ (struct caller *c)
{
  int64_t since_update_us = c->harness->now_us - c->last_update_us;

  if (!c->watching || c->stopped)
    return;
  if (since_update_us > STALE_US && !c->counted_stale)
    {
      c->counted_stale = true;
      c->stats.stale++;
      h_trace (c->harness, "caller %s: stale", c->request_id);
    }
  if (since_update_us > REREGISTER_US && !c->request_outstanding)
    begin_request_ (c);
}

void
caller_handle_timer (struct harness *h, struct caller *c)
{
  h_schedule (h, (struct event){ .kind = EVENT_CALLER_TIMER, .caller = c },
              h_add_jitter (h, TIMER_INTERVAL_US));
  if (c->kind == CALLER_WATCH)
    check_watch_ (c);
  if (c->request_outstanding && h->now_us >= c->resend_us)
    {
      if (c->datagram == NULL)
        send_new_message_ (c);
      else if (c->transmissions > MAX_RETRANSMIT)
        {
          c->stats.no_answer++;
          end_request_unknown_ (c, "no answer");
        }
      else
        transmit_request_ (c);
    }
  else if (!c->request_outstanding && !c->stopped
           && h->now_us >= c->next_request_us
           && !(c->kind == CALLER_WATCH && c->watching))
    begin_request_ (c);
}

/* Totals over all callers and backend servers.  */

unsigned
h_count_executions (struct harness *h, const char *record)
{
  unsigned n = 0;
  guint i;

  for (i = 0; i < h->nodes->len; i++)
    {
      struct node *node = g_ptr_array_index (h->nodes, i);

      if (node->kind == NODE_AGENT)
        n += GPOINTER_TO_UINT (
            g_hash_table_lookup (node->backend.records, record));
    }
  return n;
}

static void
add_stats_ (struct caller_stats *sum, const struct caller_stats *s)
{
  sum->requests += s->requests;
  sum->in_time += s->in_time;
  sum->late += s->late;
  sum->refused += s->refused;
  sum->false_not_run += s->false_not_run;
  sum->unknown_outcomes += s->unknown_outcomes;
  sum->no_answer += s->no_answer;
  sum->mismatched += s->mismatched;
  sum->registrations += s->registrations;
  sum->notifications += s->notifications;
  sum->version_regressions += s->version_regressions;
  sum->stale += s->stale;
}

struct harness_totals
harness_get_totals (struct harness *h)
{
  struct harness_totals t = { 0 };
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer key;
  guint i;
  guint k;

  for (i = 0; i < h->callers->len; i++)
    {
      struct caller *c = g_ptr_array_index (h->callers, i);

      add_stats_ (&t.sum[c->kind], &c->stats);
      for (k = 0; k < c->accepted_records->len; k++)
        if (h_count_executions (h, g_ptr_array_index (c->accepted_records, k))
            == 0)
          t.lost_records++;
    }
  for (i = 0; i < h->nodes->len; i++)
    {
      struct node *n = g_ptr_array_index (h->nodes, i);

      if (n->kind != NODE_AGENT)
        continue;
      t.overloads += n->backend.overloads;
      t.wrong_service += n->backend.wrong_service;
      g_hash_table_iter_init (&iter, n->backend.records);
      while (g_hash_table_iter_next (&iter, &key, NULL))
        if (g_hash_table_add (seen, key) && h_count_executions (h, key) > 1)
          t.repeated_records++;
    }
  g_hash_table_unref (seen);
  return t;
}
