#include "caller.h"

#include <string.h>

#define METHOD_POST 2
#define PATH "/records"
#define CLASS_SUCCESS 2

struct post_
{
  struct caller *caller;
  char id[96];
  unsigned next;
  unsigned attempt;
  json_t *accepted;
  json_t *unknown;
  json_t *refused;
  json_t *refusals;
  uv_timer_t timer;
};

static void
on_closed_ (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
finish_ (struct post_ *p)
{
  json_t *result = json_pack (
      "{s:o,s:o,s:o,s:o,s:I}", "accepted", p->accepted, "unknown", p->unknown,
      "refused", p->refused, "refusals", p->refusals, "retransmissions",
      (json_int_t)exchange_get_retransmissions (p->caller));

  caller_report (p->caller, "post", result);
  uv_close ((uv_handle_t *)&p->timer, on_closed_);
}

static void send_ (struct post_ *p);

static void
on_timer_ (uv_timer_t *timer)
{
  send_ (timer->data);
}

static void
next_ (struct post_ *p)
{
  const struct caller_settings *s = caller_get_settings (p->caller);

  p->next++;
  p->attempt = 0;
  if (p->next == s->posts)
    finish_ (p);
  else
    uv_timer_start (&p->timer, on_timer_, s->interval_ms, 0);
}

static void
on_done_ (enum exchange_outcome outcome, const struct rgy_coap_view *answer,
          void *ctx)
{
  struct post_ *p = ctx;

  if (outcome != EXCHANGE_ANSWERED)
    json_array_append_new (p->unknown, json_string (p->id));
  else if (answer->code >> 5 == CLASS_SUCCESS)
    json_array_append_new (p->accepted, json_string (p->id));
  else if (refusal_note (p->refusals, answer))
    {
      if (++p->attempt < caller_get_settings (p->caller)->attempts)
        {
          uv_timer_start (&p->timer, on_timer_, answer_retry_ms (answer), 0);
          return;
        }
      json_array_append_new (p->refused, json_string (p->id));
    }
  else
    json_array_append_new (answer_is_outcome_unknown (answer) ? p->unknown
                                                              : p->refused,
                           json_string (p->id));
  next_ (p);
}

static void
send_ (struct post_ *p)
{
  struct exchange_request request = { .code = METHOD_POST, .path = PATH };

  g_snprintf (p->id, sizeof p->id, "%s-%u", caller_get_name (p->caller),
              p->next);
  request.payload = (struct rgy_bytes){ .data = (const uint8_t *)p->id,
                                        .len = strlen (p->id) };
  exchange_start (p->caller, &request, on_done_, p);
}

void
post_start (struct caller *caller)
{
  struct post_ *p = g_new0 (struct post_, 1);

  p->caller = caller;
  p->accepted = json_array ();
  p->unknown = json_array ();
  p->refused = json_array ();
  p->refusals = json_object ();
  uv_timer_init (caller_get_loop (caller), &p->timer);
  p->timer.data = p;
  send_ (p);
}
