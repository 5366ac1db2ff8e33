#include "private/link.h"

#include <glib.h>

void
rgy_link_init (struct rgy_link *link, const uint8_t *key,
               struct rgy_counters *counters)
{
  const struct rgy_counter_spec specs[] = {
    { .value = &link->bad_tag,
      .name = "bad_tag_total",
      .help = "Internal datagrams with a wrong tag." },
    { .value = &link->bad_message,
      .name = "bad_message_total",
      .help = "Internal datagrams that could not be decoded." },
    { .value = &link->control_messages_in,
      .name = "control_messages_in_total",
      .help = "Control messages received." },
    { .value = &link->control_bytes_in,
      .name = "control_bytes_in_total",
      .help = "Control bytes received." },
    { .value = &link->control_bytes_out,
      .name = "control_bytes_out_total",
      .help = "Control bytes sent." },
  };

  link->wire = rgy_wire_new (key);
  link->message = g_new0 (struct rgy_message, 1);
  rgy_counters_add_all (counters, specs, G_N_ELEMENTS (specs));
}

void
rgy_link_finish (struct rgy_link *link)
{
  g_free (link->message);
  rgy_wire_delete (link->wire);
}

void
rgy_link_send (struct rgy_link *link, struct rgy_endpoint to,
               const struct rgy_message *message, struct rgy_actions *actions)
{
  struct rgy_bytes bytes = rgy_wire_encode (link->wire, message);

  *link->control_bytes_out += bytes.len;
  rgy_actions_send (actions, to, bytes);
}

struct rgy_message *
rgy_link_receive (struct rgy_link *link, struct rgy_bytes datagram)
{
  enum rgy_outcome rc = rgy_wire_decode (link->wire, datagram, link->message);

  if (rc != RGY_OK)
    {
      ++*(rc == RGY_ERR_AUTH ? link->bad_tag : link->bad_message);
      return NULL;
    }
  if (link->message->kind != RGY_MSG_DATA
      && link->message->kind != RGY_MSG_ANSWER)
    {
      ++*link->control_messages_in;
      *link->control_bytes_in += datagram.len;
    }
  return link->message;
}
