#include "caller.h"

#include <string.h>

#define METHOD_GET 1
#define CODE_CONTENT RGY_COAP_CODE (2, 5)
#define CLASS_SERVER_ERROR 5
/* Failures of one block before the fetch is given up.  */
#define BLOCK_ATTEMPTS 20

struct fetch_
{
  struct caller *caller;
  uint32_t number;
  unsigned exponent;
  unsigned attempt;
  uint64_t bytes;
  bool matched;
  unsigned unknown;
  json_t *refusals;
  uv_timer_t timer;
};

static void
on_closed_ (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
finish_ (struct fetch_ *f, bool complete)
{
  json_t *result = json_pack (
      "{s:I,s:b,s:b,s:I,s:o,s:I}", "bytes", (json_int_t)f->bytes, "matched",
      (int)f->matched, "complete", (int)complete, "unknown",
      (json_int_t)f->unknown, "refusals", f->refusals, "retransmissions",
      (json_int_t)exchange_get_retransmissions (f->caller));

  caller_report (f->caller, "fetch", result);
  uv_close ((uv_handle_t *)&f->timer, on_closed_);
}

static void send_ (struct fetch_ *f);

static void
on_timer_ (uv_timer_t *timer)
{
  send_ (timer->data);
}

/* Checks a block and asks for the next one.  */
static void
take_ (struct fetch_ *f, const struct rgy_coap_view *answer)
{
  struct rgy_standin_block block = { 0 };
  struct rgy_bytes value;
  size_t i;

  if (rgy_standin_find_option (answer, RGY_STANDIN_OPTION_BLOCK2, &value)
      && (!rgy_standin_block_decode (value, &block)
          || block.number != f->number))
    f->matched = false;
  for (i = 0; i < answer->payload.len; i++)
    if (answer->payload.data[i] != rgy_standin_catalogue_byte (f->bytes + i))
      f->matched = false;
  f->bytes += answer->payload.len;
  f->number++;
  f->exponent = block.exponent;
  f->attempt = 0;
  if (!f->matched || !block.more)
    finish_ (f, !block.more);
  else
    send_ (f);
}

static void
on_done_ (enum exchange_outcome outcome, const struct rgy_coap_view *answer,
          void *ctx)
{
  struct fetch_ *f = ctx;
  unsigned retry_ms = caller_get_settings (f->caller)->ack_timeout_ms;

  if (outcome == EXCHANGE_ANSWERED && answer->code == CODE_CONTENT)
    {
      take_ (f, answer);
      return;
    }
  if (outcome != EXCHANGE_ANSWERED || answer_is_outcome_unknown (answer))
    f->unknown++;
  else if (refusal_note (f->refusals, answer))
    retry_ms = answer_retry_ms (answer);
  if (++f->attempt >= BLOCK_ATTEMPTS
      || (answer != NULL && answer->code >> 5 != CLASS_SERVER_ERROR))
    finish_ (f, false);
  else
    uv_timer_start (&f->timer, on_timer_, retry_ms, 0);
}

static void
send_ (struct fetch_ *f)
{
  struct rgy_standin_block block
      = { .number = f->number, .exponent = f->exponent };
  struct exchange_request request
      = { .code = METHOD_GET,
          .path = caller_get_settings (f->caller)->fetch_path,
          .has_block = true,
          .block = rgy_standin_block_encode (&block) };

  exchange_start (f->caller, &request, on_done_, f);
}

void
fetch_start (struct caller *caller)
{
  struct fetch_ *f = g_new0 (struct fetch_, 1);

  f->caller = caller;
  f->exponent = RGY_STANDIN_BLOCK_MAX_EXPONENT;
  f->matched = true;
  f->refusals = json_object ();
  uv_timer_init (caller_get_loop (caller), &f->timer);
  f->timer.data = f;
  send_ (f);
}
