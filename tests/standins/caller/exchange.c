#include "caller.h"

#include <stdio.h>
#include <string.h>

#define TOKEN_BYTES 8
#define METHOD_GET 1
#define CODE_UNAUTHORIZED RGY_COAP_CODE (4, 1)
#define CODE_UNAVAILABLE RGY_COAP_CODE (5, 3)
#define CODE_GATEWAY_TIMEOUT RGY_COAP_CODE (5, 4)
#define ECHO_MAX_BYTES 40
/* Maximum number of repetitions of a request because of Echo answers.  */
#define MAX_ECHO_RETRIES 4
/* Lower bound of the retry delay.  */
#define MIN_RETRY_MS 100
#define DEFAULT_MAX_AGE_S 60
/* The first time-out is ACK_TIMEOUT times a random factor from 1 to
   ACK_RANDOM_FACTOR, which is 1.5 in RFC 7252.  */
#define ACK_TIMEOUT_JITTER 0.5

/* One request until its answer. The datagram is kept for retransmissions.  */
struct exchange_
{
  struct caller *caller;
  struct exchange_request request;
  uint8_t token[RGY_COAP_TOKEN_MAX_BYTES];
  size_t token_len;
  char *path;
  uint8_t *payload;
  uint16_t message_id;
  GByteArray *datagram;
  unsigned attempts;
  unsigned timeout_ms;
  unsigned echo_retries;
  bool acknowledged;
  exchange_done_fn done;
  void *ctx;
  uv_timer_t timer;
};

struct caller
{
  struct caller_settings settings;
  char *name;
  uv_loop_t *loop;
  struct rgy_standin_udp udp;
  GPtrArray *exchanges;
  GRand *rand;
  uint64_t token;      /* Token of the next request.  */
  uint16_t message_id; /* Message ID of the next request.  */
  uint8_t echo[ECHO_MAX_BYTES];
  size_t echo_len;
  uint64_t retransmissions;
  uint8_t observe_token[RGY_COAP_TOKEN_MAX_BYTES];
  size_t observe_token_len;
  notification_fn notify;
  void *notify_ctx;
  unsigned unfinished_scenarios;
};

bool
answer_is_outcome_unknown (const struct rgy_coap_view *answer)
{
  static const char prefix[] = "outcome-unknown";

  return answer->code == CODE_GATEWAY_TIMEOUT
         || (answer->payload.len >= sizeof prefix - 1
             && memcmp (answer->payload.data, prefix, sizeof prefix - 1) == 0);
}

bool
answer_count_error (json_t *refusals, const struct rgy_coap_view *answer)
{
  static const char prefix[] = "not-run: ";
  size_t prefix_len = sizeof prefix - 1;
  bool not_run = answer->code == CODE_UNAVAILABLE
                 && answer->payload.len >= prefix_len
                 && memcmp (answer->payload.data, prefix, prefix_len) == 0;
  char *reason
      = not_run ? g_strndup ((const char *)answer->payload.data + prefix_len,
                             answer->payload.len - prefix_len)
                : g_strdup_printf ("%u.%02u", answer->code >> 5,
                                   answer->code & 0x1f);

  json_object_set_new (
      refusals, reason,
      json_integer (json_integer_value (json_object_get (refusals, reason))
                    + 1));
  g_free (reason);
  return not_run;
}

unsigned
answer_get_retry_ms (const struct rgy_coap_view *answer)
{
  struct rgy_bytes value;
  uint32_t max_age_s = DEFAULT_MAX_AGE_S;

  if (rgy_standin_find_option (answer, RGY_COAP_OPTION_MAX_AGE, &value))
    max_age_s = rgy_coap_option_uint (value);
  return MAX (max_age_s * 1000, MIN_RETRY_MS);
}

static void
send_datagram_ (struct caller *caller, const GByteArray *datagram)
{
  rgy_standin_udp_send (&caller->udp, caller->settings.connect, datagram);
}

static void
send_empty_ (struct caller *caller, enum rgy_coap_type type,
             uint16_t message_id)
{
  GByteArray *out = rgy_coap_build_empty (type, message_id);

  send_datagram_ (caller, out);
  g_byte_array_unref (out);
}

struct rgy_bytes
caller_new_token (struct caller *caller, uint8_t *buffer)
{
  uint64_t token = caller->token++;

  memcpy (buffer, &token, TOKEN_BYTES);
  return (struct rgy_bytes){ .data = buffer, .len = TOKEN_BYTES };
}

/* Builds the datagram of an exchange. Requests other than GET carry the
   last Echo.  */
static GByteArray *
build_request_ (struct exchange_ *e)
{
  const struct exchange_request *r = &e->request;
  struct caller *caller = e->caller;
  struct rgy_coap_header header
      = { .type = RGY_COAP_CON,
          .code = r->code,
          .message_id = e->message_id,
          .token = { .data = e->token, .len = e->token_len } };
  struct rgy_standin_options options = { 0 };

  if (r->has_observe)
    rgy_standin_add_uint (&options, RGY_COAP_OPTION_OBSERVE, r->observe);
  rgy_standin_add_path (&options, e->path);
  if (r->has_block)
    rgy_standin_add_uint (&options, RGY_STANDIN_OPTION_BLOCK2, r->block);
  if (caller->echo_len > 0 && r->code != METHOD_GET)
    rgy_standin_add_bytes (
        &options, RGY_COAP_OPTION_ECHO,
        (struct rgy_bytes){ .data = caller->echo, .len = caller->echo_len });
  if (caller->settings.deadline_ms > 0)
    rgy_standin_add_uint (&options, RGY_COAP_OPTION_DEADLINE_MS,
                          caller->settings.deadline_ms);
  return rgy_coap_build (&header, options.list, options.count, r->payload);
}

static void
on_exchange_closed_ (uv_handle_t *handle)
{
  struct exchange_ *e = handle->data;

  g_byte_array_unref (e->datagram);
  g_free (e->path);
  g_free (e->payload);
  g_free (e);
}

static void
finish_exchange_ (struct exchange_ *e, enum exchange_outcome outcome,
                  const struct rgy_coap_view *answer)
{
  g_ptr_array_remove_fast (e->caller->exchanges, e);
  uv_timer_stop (&e->timer);
  e->done (outcome, answer, e->ctx);
  uv_close ((uv_handle_t *)&e->timer, on_exchange_closed_);
}

/* Retransmits a request, or ends its exchange without an answer.  */
static void
on_exchange_timer_ (uv_timer_t *timer)
{
  struct exchange_ *e = timer->data;

  if (e->acknowledged || e->attempts > MAX_RETRANSMIT)
    {
      finish_exchange_ (e, EXCHANGE_TIMED_OUT, NULL);
      return;
    }
  if (e->attempts > 0)
    e->caller->retransmissions++;
  e->attempts++;
  send_datagram_ (e->caller, e->datagram);
  uv_timer_start (timer, on_exchange_timer_, e->timeout_ms, 0);
  e->timeout_ms *= 2;
}

/* Sends the request with a new message ID.  */
static void
transmit_request_ (struct exchange_ *e)
{
  struct caller *caller = e->caller;

  if (e->datagram != NULL)
    g_byte_array_unref (e->datagram);
  e->message_id = caller->message_id++;
  e->datagram = build_request_ (e);
  e->attempts = 0;
  e->acknowledged = false;
  e->timeout_ms
      = (unsigned)(caller->settings.ack_timeout_ms
                   * (1 + ACK_TIMEOUT_JITTER * g_rand_double (caller->rand)));
  on_exchange_timer_ (&e->timer);
}

void
exchange_start (struct caller *caller, const struct exchange_request *request,
                exchange_done_fn done, void *ctx)
{
  struct exchange_ *e = g_new0 (struct exchange_, 1);

  e->caller = caller;
  e->request = *request;
  e->path = g_strdup (request->path);
  e->payload = g_memdup2 (request->payload.data, request->payload.len);
  e->request.payload.data = e->payload;
  e->done = done;
  e->ctx = ctx;
  if (request->token.len > 0)
    {
      e->token_len = request->token.len;
      memcpy (e->token, request->token.data, request->token.len);
    }
  else
    e->token_len = caller_new_token (caller, e->token).len;
  uv_timer_init (caller->loop, &e->timer);
  e->timer.data = e;
  g_ptr_array_add (caller->exchanges, e);
  transmit_request_ (e);
}

static struct exchange_ *
find_exchange_by_token_ (struct caller *caller, struct rgy_bytes token)
{
  guint i;

  for (i = 0; i < caller->exchanges->len; i++)
    {
      struct exchange_ *e = g_ptr_array_index (caller->exchanges, i);

      if (e->token_len == token.len
          && memcmp (e->token, token.data, token.len) == 0)
        return e;
    }
  return NULL;
}

static struct exchange_ *
find_exchange_by_message_id_ (struct caller *caller, uint16_t message_id)
{
  guint i;

  for (i = 0; i < caller->exchanges->len; i++)
    {
      struct exchange_ *e = g_ptr_array_index (caller->exchanges, i);

      if (e->message_id == message_id)
        return e;
    }
  return NULL;
}

/* Stores the Echo of an answer. After a gateway time-out, the stored Echo is
   discarded.  */
static void
update_echo_ (struct caller *caller, const struct rgy_coap_view *answer)
{
  if (answer->has_echo && answer->echo.len <= ECHO_MAX_BYTES
      && answer->echo.len > 0)
    {
      memcpy (caller->echo, answer->echo.data, answer->echo.len);
      caller->echo_len = answer->echo.len;
    }
  else if (answer->code == CODE_GATEWAY_TIMEOUT)
    caller->echo_len = 0;
}

static bool
is_observation_token_ (const struct caller *caller, struct rgy_bytes token)
{
  return caller->notify != NULL && caller->observe_token_len == token.len
         && memcmp (caller->observe_token, token.data, token.len) == 0;
}

/* Passes an answer to its exchange or a notification to the observation. An
   unexpected confirmable message or notification is rejected with a Reset.  */
static void
handle_answer_ (struct caller *caller, const struct rgy_coap_view *view)
{
  struct exchange_ *e = find_exchange_by_token_ (caller, view->token);

  /* A piggybacked answer must also have the message ID of the request.  */
  if (e != NULL && view->type == RGY_COAP_ACK
      && view->message_id != e->message_id)
    e = NULL;
  if (view->type == RGY_COAP_CON)
    send_empty_ (caller,
                 e != NULL || is_observation_token_ (caller, view->token)
                     ? RGY_COAP_ACK
                     : RGY_COAP_RST,
                 view->message_id);
  if (e == NULL)
    {
      if (is_observation_token_ (caller, view->token))
        caller->notify (view, caller->notify_ctx);
      else if (view->type == RGY_COAP_NON && view->has_observe)
        send_empty_ (caller, RGY_COAP_RST, view->message_id);
      return;
    }
  update_echo_ (caller, view);
  if (view->code == CODE_UNAUTHORIZED && view->has_echo
      && e->echo_retries < MAX_ECHO_RETRIES)
    {
      e->echo_retries++;
      if (e->request.token.len == 0)
        (void)caller_new_token (caller, e->token);
      transmit_request_ (e);
      return;
    }
  finish_exchange_ (e, EXCHANGE_ANSWERED, view);
}

static void
on_datagram_ (struct rgy_endpoint from, struct rgy_bytes datagram, void *ctx)
{
  struct caller *caller = ctx;
  struct rgy_coap_view view;
  struct exchange_ *e;

  (void)from;
  if (rgy_coap_parse (datagram, &view) != RGY_OK)
    return;
  switch (rgy_coap_classify (&view))
    {
    case RGY_COAP_CLASS_PING:
      send_empty_ (caller, RGY_COAP_RST, view.message_id);
      break;
    case RGY_COAP_CLASS_ACK:
      e = find_exchange_by_message_id_ (caller, view.message_id);
      if (e == NULL)
        break;
      e->acknowledged = true;
      uv_timer_start (&e->timer, on_exchange_timer_,
                      caller->settings.separate_ms, 0);
      break;
    case RGY_COAP_CLASS_RESET:
      e = find_exchange_by_message_id_ (caller, view.message_id);
      if (e != NULL)
        finish_exchange_ (e, EXCHANGE_RESET, NULL);
      break;
    case RGY_COAP_CLASS_RESPONSE:
      handle_answer_ (caller, &view);
      break;
    case RGY_COAP_CLASS_IDEMPOTENT:
    case RGY_COAP_CLASS_OBSERVE:
    case RGY_COAP_CLASS_OBSERVE_END:
    case RGY_COAP_CLASS_NON_IDEMPOTENT:
      break;
    }
}

uint64_t
exchange_get_retransmissions (const struct caller *caller)
{
  return caller->retransmissions;
}

void
caller_set_observation (struct caller *caller, struct rgy_bytes token,
                        notification_fn notify, void *ctx)
{
  caller->observe_token_len = token.len;
  if (token.len > 0)
    memcpy (caller->observe_token, token.data, token.len);
  caller->notify = notify;
  caller->notify_ctx = ctx;
}

struct caller *
caller_new (uv_loop_t *loop, const struct caller_settings *settings,
            const char *name)
{
  struct caller *caller = g_new0 (struct caller, 1);

  caller->settings = *settings;
  caller->name = g_strdup (name);
  caller->loop = loop;
  caller->exchanges = g_ptr_array_new ();
  caller->rand = g_rand_new ();
  caller->token
      = (uint64_t)g_rand_int (caller->rand) << 32 | g_rand_int (caller->rand);
  caller->message_id = (uint16_t)g_rand_int (caller->rand);
  return caller;
}

int
caller_open (struct caller *caller)
{
  return rgy_standin_udp_open (&caller->udp, caller->loop,
                               caller->settings.local,
                               caller->settings.connect, on_datagram_, caller);
}

void
caller_start (struct caller *caller)
{
  const struct caller_settings *s = &caller->settings;

  caller->unfinished_scenarios
      = (s->watch_ms > 0) + (s->posts > 0) + (s->fetch_path != NULL);
  if (s->watch_ms > 0)
    watch_start (caller);
  if (s->posts > 0)
    post_start (caller);
  if (s->fetch_path != NULL)
    fetch_start (caller);
}

const struct caller_settings *
caller_get_settings (const struct caller *c)
{
  return &c->settings;
}

const char *
caller_get_name (const struct caller *caller)
{
  return caller->name;
}

uv_loop_t *
caller_get_loop (struct caller *caller)
{
  return caller->loop;
}

void
caller_report_result (struct caller *caller, const char *scenario,
                      json_t *result)
{
  char *text;

  json_object_set_new (result, "scenario", json_string (scenario));
  json_object_set_new (result, "caller", json_string (caller->name));
  text = json_dumps (result, JSON_COMPACT | JSON_SORT_KEYS);
  puts (text);
  fflush (stdout);
  free (text);
  json_decref (result);
  if (--caller->unfinished_scenarios == 0)
    rgy_standin_udp_close (&caller->udp);
}
