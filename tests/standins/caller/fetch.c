#include "caller.h"

#include <string.h>

#define METHOD_GET 1
#define CODE_CONTENT RGY_COAP_CODE (2, 5)
#define CLASS_SERVER_ERROR 5
/* Failed attempts for one block after which the fetch ends.  */
#define BLOCK_ATTEMPTS 20

/* Scenario that fetches a resource block by block.  */
struct fetch_
{
  struct caller *caller;
  uint32_t number;   /* Number of the block to request.  */
  unsigned exponent; /* Size exponent of the blocks.  */
  unsigned attempt;  /* Failed attempts for this block.  */
  uint64_t bytes;    /* Payload received so far.  */
  bool matched;      /* All bytes are those of the catalogue.  */
  unsigned unknown;  /* Requests without an answer or with unknown outcome.  */
  json_t *refusals;
  uv_timer_t timer;
};

static void
on_timer_closed_ (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
finish_fetch_ (struct fetch_ *f, bool complete)
{
  json_t *result = json_pack (
      "{s:I,s:b,s:b,s:I,s:o,s:I}", "bytes", (json_int_t)f->bytes, "matched",
      (int)f->matched, "complete", (int)complete, "unknown",
      (json_int_t)f->unknown, "refusals", f->refusals, "retransmissions",
      (json_int_t)exchange_get_retransmissions (f->caller));

  caller_report_result (f->caller, "fetch", result);
  uv_close ((uv_handle_t *)&f->timer, on_timer_closed_);
}

static void request_block_ (struct fetch_ *f);

static void
on_retry_timer_ (uv_timer_t *timer)
{
  request_block_ (timer->data);
}

/* Compares a block with the catalogue and requests the next one.  */
static void
check_block_ (struct fetch_ *f, const struct rgy_coap_view *answer)
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
    finish_fetch_ (f, !block.more);
  else
    request_block_ (f);
}

static void
on_block_exchange_done_ (enum exchange_outcome outcome,
                         const struct rgy_coap_view *answer, void *ctx)
{
  struct fetch_ *f = ctx;
  unsigned retry_ms = caller_get_settings (f->caller)->ack_timeout_ms;

  if (outcome == EXCHANGE_ANSWERED && answer->code == CODE_CONTENT)
    {
      check_block_ (f, answer);
      return;
    }
  if (outcome != EXCHANGE_ANSWERED || answer_is_outcome_unknown (answer))
    f->unknown++;
  else if (answer_count_error (f->refusals, answer))
    retry_ms = answer_get_retry_ms (answer);
  if (++f->attempt >= BLOCK_ATTEMPTS
      || (answer != NULL && answer->code >> 5 != CLASS_SERVER_ERROR))
    finish_fetch_ (f, false);
  else
    uv_timer_start (&f->timer, on_retry_timer_, retry_ms, 0);
}

static void
request_block_ (struct fetch_ *f)
{
  struct rgy_standin_block block
      = { .number = f->number, .exponent = f->exponent };
  struct exchange_request request
      = { .code = METHOD_GET,
          .path = caller_get_settings (f->caller)->fetch_path,
          .has_block = true,
          .block = rgy_standin_block_encode (&block) };

  exchange_start (f->caller, &request, on_block_exchange_done_, f);
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
  request_block_ (f);
}
