#include "caller.h"

#include <string.h>

#define METHOD_GET 1
#define PATH "/board"
#define CLASS_SUCCESS 2
#define RETRY_MS 500
#define CHECK_MS 100
/* A notification is newer when its Observe value is ahead by less than half
   of the 24-bit space (RFC 7641 section 3.4).  */
#define OBSERVE_HALF (1 << 23)
#define OBSERVE_MASK 0xffffff

struct watch_
{
  struct caller *caller;
  uint8_t token[RGY_COAP_TOKEN_MAX_BYTES];
  size_t token_len;
  bool registered;
  bool in_exchange;
  bool ending;
  bool has_observe;
  uint32_t observe;
  uint64_t last_heard_ms;
  uint64_t end_ms;
  uint64_t version;
  json_t *versions;
  json_t *refusals;
  unsigned registrations;
  unsigned notifications;
  unsigned lost;
  unsigned stale;
  unsigned version_regressions;
  unsigned unknown;
  uv_timer_t timer;
};

static void register_ (struct watch_ *w);

static void
on_closed_ (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
finish_ (struct watch_ *w)
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
  caller_report (w->caller, "watch", result);
  uv_close ((uv_handle_t *)&w->timer, on_closed_);
}

static void
note_version_ (struct watch_ *w, const struct rgy_coap_view *view)
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

/* Takes the state from an answer or a notification.
   @return false when the server has ended the observation.  */
static bool
take_ (struct watch_ *w, const struct rgy_coap_view *view)
{
  w->last_heard_ms = uv_now (caller_get_loop (w->caller));
  if (view->code >> 5 != CLASS_SUCCESS || !view->has_observe)
    return false;
  if (w->has_observe
      && (((view->observe - w->observe) & OBSERVE_MASK) >= OBSERVE_HALF
          || view->observe == w->observe))
    {
      w->stale++;
      return true;
    }
  w->has_observe = true;
  w->observe = view->observe;
  note_version_ (w, view);
  return true;
}

static void
on_notification_ (const struct rgy_coap_view *view, void *ctx)
{
  struct watch_ *w = ctx;

  if (w->ending)
    return;
  w->notifications++;
  if (take_ (w, view))
    return;
  refusal_note (w->refusals, view);
  w->lost++;
  w->registered = false;
}

static void
on_deregistered_ (enum exchange_outcome outcome,
                  const struct rgy_coap_view *answer, void *ctx)
{
  (void)outcome;
  (void)answer;
  finish_ (ctx);
}

static void
exchange_ (struct watch_ *w, uint32_t observe, exchange_done_fn done)
{
  struct exchange_request request
      = { .code = METHOD_GET,
          .has_observe = true,
          .observe = observe,
          .path = PATH,
          .token = { .data = w->token, .len = w->token_len } };

  w->in_exchange = true;
  exchange_start (w->caller, &request, done, w);
}

static void
on_registered_ (enum exchange_outcome outcome,
                const struct rgy_coap_view *answer, void *ctx)
{
  struct watch_ *w = ctx;

  w->in_exchange = false;
  w->last_heard_ms = uv_now (caller_get_loop (w->caller));
  if (outcome != EXCHANGE_ANSWERED)
    {
      w->unknown++;
      w->registered = false;
      return;
    }
  w->registered = take_ (w, answer);
  if (!w->registered)
    refusal_note (w->refusals, answer);
}

static void
register_ (struct watch_ *w)
{
  w->registrations++;
  exchange_ (w, 0, on_registered_);
}

static void
on_timer_ (uv_timer_t *timer)
{
  struct watch_ *w = timer->data;
  uint64_t now_ms = uv_now (timer->loop);
  const struct caller_settings *s = caller_get_settings (w->caller);

  if (w->in_exchange)
    return;
  if (now_ms >= w->end_ms
      || (s->until_version > 0 && w->version >= s->until_version))
    {
      w->ending = true;
      exchange_ (w, 1, on_deregistered_);
      return;
    }
  if (!w->registered ? now_ms - w->last_heard_ms >= RETRY_MS
                     : now_ms - w->last_heard_ms >= s->silence_ms)
    register_ (w);
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
  uv_timer_start (&w->timer, on_timer_, CHECK_MS, CHECK_MS);
  caller_set_observation (
      caller, (struct rgy_bytes){ .data = w->token, .len = w->token_len },
      on_notification_, w);
  register_ (w);
}
