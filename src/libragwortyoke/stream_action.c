#include "ragwortyoke/stream_action.h"

#include <glib.h>
#include <stdarg.h>

#include "ragwortyoke/stream_message.h"

#define LOG_TEXT_BYTES 400

const char *
rgy_flow_key_format (const struct rgy_flow_key *key, char *text)
{
  char caller[RGY_ENDPOINT_TEXT_BYTES];
  char service[RGY_ENDPOINT_TEXT_BYTES];

  g_snprintf (text, RGY_FLOW_TEXT_BYTES, "%s>%s",
              rgy_endpoint_format (key->u.segment.caller, caller),
              rgy_endpoint_format (key->u.segment.service, service));
  return text;
}

void
rgy_stream_emit_segment (const struct rgy_stream_action_sink *out,
                         enum rgy_stream_action_kind kind, uint32_t ip,
                         const struct rgy_flow_key *key, struct rgy_bytes raw,
                         struct rgy_segment_trailer trail)
{
  struct rgy_stream_action action
      = { .kind = kind,
          .ip = ip,
          .u.segment = { .raw = raw, .trail = trail, .key = *key } };

  out->emit (out->ctx, &action);
}

void
rgy_stream_emit_reset (const struct rgy_stream_action_sink *out,
                       const struct rgy_flow_key *key, uint32_t seq)
{
  struct rgy_stream_action action
      = { .kind = RGY_STREAM_RESET, .u.reset = { .key = *key, .seq = seq } };

  out->emit (out->ctx, &action);
}

size_t
rgy_stream_emit_message (const struct rgy_stream_action_sink *out, uint32_t ip,
                         const struct rgy_stream_message *message)
{
  GByteArray *bytes = g_byte_array_new ();
  struct rgy_stream_action action = { .kind = RGY_STREAM_MESSAGE, .ip = ip };
  size_t len;

  rgy_stream_message_encode (message, bytes);
  action.u.message
      = (struct rgy_bytes){ .data = bytes->data, .len = bytes->len };
  out->emit (out->ctx, &action);
  len = bytes->len;
  g_byte_array_unref (bytes);
  return len;
}

static void
emit_log_ (const struct rgy_stream_action_sink *out,
           enum rgy_stream_action_kind kind, const char *format, va_list ap)
{
  char text[LOG_TEXT_BYTES];
  struct rgy_stream_action action = { .kind = kind, .u.log = text };

  g_vsnprintf (text, sizeof text, format, ap);
  out->emit (out->ctx, &action);
}

void
rgy_stream_emit_log (const struct rgy_stream_action_sink *out,
                     const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  emit_log_ (out, RGY_STREAM_LOG, format, ap);
  va_end (ap);
}

void
rgy_stream_emit_flow_log (const struct rgy_stream_action_sink *out,
                          const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  emit_log_ (out, RGY_STREAM_LOG_FLOW, format, ap);
  va_end (ap);
}
