#include "private/stream_traffic.h"

#include <glib.h>

static const char *const receiver_string_[] = {
  [RGY_RECEIVER_SAME_DOMAIN] = "same",
  [RGY_RECEIVER_OTHER_DOMAIN] = "other",
  [RGY_RECEIVER_UNKNOWN_DOMAIN] = "unknown",
};

void
rgy_stream_traffic_init (struct rgy_stream_traffic *traffic,
                         struct rgy_counters *counters)
{
  int kind;
  int receiver;

  for (kind = 0; kind < RGY_STREAM_MESSAGE_KIND_COUNT; kind++)
    for (receiver = 0; receiver < RGY_RECEIVER_DOMAIN_COUNT; receiver++)
      {
        char *label = g_strdup_printf ("kind=\"%s\",domain=\"%s\"",
                                       rgy_stream_message_kind_string[kind],
                                       receiver_string_[receiver]);

        traffic->bytes[kind][receiver] = rgy_counters_add (
            counters, "stream_message_bytes_total", label,
            "Bytes of control messages sent, by the failure domain of the "
            "receiver, without the datagrams' headers.");
        g_free (label);
      }
}

void
rgy_stream_traffic_send (struct rgy_stream_traffic *traffic,
                         const struct rgy_stream_action_sink *out, uint32_t ip,
                         const struct rgy_stream_message *message,
                         enum rgy_receiver_domain receiver)
{
  *traffic->bytes[message->kind][receiver]
      += rgy_stream_emit_message (out, ip, message);
}
