#include "caller.h"

#include <string.h>

#define METHOD_GET 1
#define BOARD_PATH "/board"
#define CLASS_SUCCESS 2
/* Delay before a lost observation is registered again.  */
#define REREGISTER_DELAY_MS 500
#define CHECK_INTERVAL_MS 100
/* A notification is newer than the last one when its Observe value is greater
   by less than half of the 24-bit range (RFC 7641 section 3.4).  */
#define OBSERVE_HALF_RANGE (1 << 23)
#define OBSERVE_MASK 0xffffff

/* Scenario that observes the board.  */
struct watch_
{
  struct caller *caller;
  uint8_t token[RGY_COAP_TOKEN_MAX_BYTES];
  size_t token_len;
  bool registered;
  bool has_open_exchange; /* A request is not answered yet.  */
  bool ending;            /* The deregistration was sent.  */
  bool has_observe;
  uint32_t observe; /* Observe value of the newest notification.  */
  uint64_t last_received_ms;
  uint64_t end_ms;
  uint64_t version;       /* Last version of the board.  */
  json_t *versions;       /* Every change of the version, in order.  */
  json_t *refusals;       /* Number of error answers by reason.  */
  unsigned registrations; /* Registrations sent.  */
  unsigned notifications;
  unsigned lost;                /* Observations ended by the server.  */
  unsigned stale;               /* Notifications older than the newest.  */
  unsigned version_regressions; /* Versions lower than the one before.  */
  unsigned unknown;             /* Registrations without an answer.  */
  uv_timer_t timer;
};

static void register_observation_ (struct watch_ *w);

static void
on_timer_closed_ (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
finish_watch_ (struct watch_ *w)
{
  json_t *result = json_pack (
      "{s:o,s:o,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "versions", w->versions,
      "refusals", w->refusals, "last_version", (json_int_t)w->version,
      "registrations", (json_int_t)w->registrations, "notifications",
      (json_int_t)w->notifications, "lost", (json_int_t)w->lost, "stale",
      (json_int_t)w->stale, "version_regressions",
      (json_int_t)w->version_regressions, "unknown", (json_int_t)w->unknown,
      "retransmissions", (json_int_t)exchange_get_retransmissions (w->caller));

  caller_set_observation (w->caller, (struct rgy_bytes){ 0 }, NULL, NULL);
  caller_report_result (w->caller, "watch", result);
  uv_close ((uv_handle_t *)&w->timer, on_timer_closed_);
}

static void
record_version_ (struct watch_ *w, const struct rgy_coap_view *view)
{
  char *text = g_strndup ((const char *)view->payload.data, view->payload.len);
  uint64_t version = g_ascii_strtoull (text, NULL, 10);

  g_free (text);
  if (version < w->version)
    w->version_regressions++;
  if (version != w->version)
    json_array_append_new (w->versions, json_integer ((json_int_t)version));
  w->version = version;
}

/* Records the version in an answer or a notification, unless it is stale.
   @return false when the server has ended the observation.  */
static bool
record_message_ (struct watch_ *w, const struct rgy_coap_view *view)
{
  w->last_received_ms = uv_now (caller_get_loop (w->caller));
  if (view->code >> 5 != CLASS_SUCCESS || !view->has_observe)
    return false;
  if (w->has_observe
      && (((view->observe - w->observe) & OBSERVE_MASK) >= OBSERVE_HALF_RANGE
          || view->observe == w->observe))
    {
      w->stale++;
      return true;
    }
  w->has_observe = true;
  w->observe = view->observe;
  record_version_ (w, view);
  return true;
}

static void
on_notification_ (const struct rgy_coap_view *view, void *ctx)
{
  struct watch_ *w = ctx;

  if (w->ending)
    return;
  w->notifications++;
  if (record_message_ (w, view))
    return;
  answer_count_error (w->refusals, view);
  w->lost++;
  w->registered = false;
}

static void
on_deregistered_ (enum exchange_outcome outcome,
                  const struct rgy_coap_view *answer, void *ctx)
{
  (void)outcome;
  (void)answer;
  finish_watch_ (ctx);
}

/* Sends a registration (OBSERVE 0) or a deregistration (OBSERVE 1).  */
static void
send_observe_request_ (struct watch_ *w, uint32_t observe,
                       exchange_done_fn done)
{
  struct exchange_request request
      = { .code = METHOD_GET,
          .has_observe = true,
          .observe = observe,
          .path = BOARD_PATH,
          .token = { .data = w->token, .len = w->token_len } };

  w->has_open_exchange = true;
  exchange_start (w->caller, &request, done, w);
}

static void
on_registered_ (enum exchange_outcome outcome,
                const struct rgy_coap_view *answer, void *ctx)
{
  struct watch_ *w = ctx;

  w->has_open_exchange = false;
  w->last_received_ms = uv_now (caller_get_loop (w->caller));
  if (outcome != EXCHANGE_ANSWERED)
    {
      w->unknown++;
      w->registered = false;
      return;
    }
  w->registered = record_message_ (w, answer);
  if (!w->registered)
    answer_count_error (w->refusals, answer);
}

static void
register_observation_ (struct watch_ *w)
{
  w->registrations++;
  send_observe_request_ (w, 0, on_registered_);
}

/* Ends the watch when it is due, and registers the observation again when it
   was lost or has received nothing for too long.  */
static void
on_check_timer_ (uv_timer_t *timer)
{
  struct watch_ *w = timer->data;
  uint64_t now_ms = uv_now (timer->loop);
  const struct caller_settings *s = caller_get_settings (w->caller);

  if (w->has_open_exchange)
    return;
  if (now_ms >= w->end_ms
      || (s->until_version > 0 && w->version >= s->until_version))
    {
      w->ending = true;
      send_observe_request_ (w, 1, on_deregistered_);
      return;
    }
  if (!w->registered ? now_ms - w->last_received_ms >= REREGISTER_DELAY_MS
                     : now_ms - w->last_received_ms >= s->silence_ms)
    register_observation_ (w);
}

void
watch_start (struct caller *caller)
{
  struct watch_ *w = g_new0 (struct watch_, 1);

  w->caller = caller;
  w->versions = json_array ();
  w->refusals = json_object ();
  w->token_len = caller_new_token (caller, w->token).len;
  w->end_ms = uv_now (caller_get_loop (caller))
              + caller_get_settings (caller)->watch_ms;
  uv_timer_init (caller_get_loop (caller), &w->timer);
  w->timer.data = w;
  uv_timer_start (&w->timer, on_check_timer_, CHECK_INTERVAL_MS,
                  CHECK_INTERVAL_MS);
  caller_set_observation (
      caller, (struct rgy_bytes){ .data = w->token, .len = w->token_len },
      on_notification_, w);
  register_observation_ (w);
}
