#include "caller.h"

#include <string.h>

#define METHOD_POST 2
#define RECORDS_PATH "/records"
#define CLASS_SUCCESS 2

/* Scenario that posts records. A record that was answered as not run is posted
   again. A record whose outcome is unknown is not posted again, as it could be
   executed twice.  */
struct post_
{
  struct caller *caller;
  char id[96];            /* ID of the current record.  */
  unsigned record_number; /* Number of the current record.  */
  unsigned attempt;       /* Attempts for this record that were not run.  */
  json_t *accepted; /* IDs of records that were answered with success.  */
  json_t *unknown;  /* IDs of records with unknown outcome.  */
  json_t *refused;  /* IDs of records that were rejected.  */
  json_t *refusals; /* Number of error answers by reason.  */
  uv_timer_t timer;
};

static void
on_timer_closed_ (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
finish_posts_ (struct post_ *p)
{
  json_t *result = json_pack (
      "{s:o,s:o,s:o,s:o,s:I}", "accepted", p->accepted, "unknown", p->unknown,
      "refused", p->refused, "refusals", p->refusals, "retransmissions",
      (json_int_t)exchange_get_retransmissions (p->caller));

  caller_report_result (p->caller, "post", result);
  uv_close ((uv_handle_t *)&p->timer, on_timer_closed_);
}

static void post_record_ (struct post_ *p);

static void
on_post_timer_ (uv_timer_t *timer)
{
  post_record_ (timer->data);
}

/* Ends the current record and schedules the next one.  */
static void
finish_record_ (struct post_ *p)
{
  const struct caller_settings *s = caller_get_settings (p->caller);

  p->record_number++;
  p->attempt = 0;
  if (p->record_number == s->posts)
    finish_posts_ (p);
  else
    uv_timer_start (&p->timer, on_post_timer_, s->interval_ms, 0);
}

static void
on_post_exchange_done_ (enum exchange_outcome outcome,
                        const struct rgy_coap_view *answer, void *ctx)
{
  struct post_ *p = ctx;

  if (outcome != EXCHANGE_ANSWERED)
    json_array_append_new (p->unknown, json_string (p->id));
  else if (answer->code >> 5 == CLASS_SUCCESS)
    json_array_append_new (p->accepted, json_string (p->id));
  else if (answer_count_error (p->refusals, answer))
    {
      if (++p->attempt < caller_get_settings (p->caller)->attempts)
        {
          uv_timer_start (&p->timer, on_post_timer_,
                          answer_get_retry_ms (answer), 0);
          return;
        }
      json_array_append_new (p->refused, json_string (p->id));
    }
  else
    json_array_append_new (answer_is_outcome_unknown (answer) ? p->unknown
                                                              : p->refused,
                           json_string (p->id));
  finish_record_ (p);
}

static void
post_record_ (struct post_ *p)
{
  struct exchange_request request
      = { .code = METHOD_POST, .path = RECORDS_PATH };

  g_snprintf (p->id, sizeof p->id, "%s-%u", caller_get_name (p->caller),
              p->record_number);
  request.payload = (struct rgy_bytes){ .data = (const uint8_t *)p->id,
                                        .len = strlen (p->id) };
  exchange_start (p->caller, &request, on_post_exchange_done_, p);
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
  post_record_ (p);
}
