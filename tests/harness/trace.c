#include "harness_private.h"

#include <string.h>

#include "ragwortyoke/proxy.h"
#include "ragwortyoke/request.h"

/* Trace of the datagrams of a run: one line for each datagram of a session,
   and one summary line a second for all control datagrams.  */

#define BACKEND_SUFFIX "/backend"

/* Names of the message kinds in traces.  */
static const char *const kind_string_[] = {
  [RGY_MSG_DATA] = "DATA",
  [RGY_MSG_ANSWER] = "ANSWER",
  [RGY_MSG_HEARTBEAT] = "HEARTBEAT",
  [RGY_MSG_HEARTBEAT_ACK] = "HEARTBEAT_ACK",
  [RGY_MSG_ENTRIES] = "ENTRIES",
  [RGY_MSG_GOSSIP] = "GOSSIP",
  [RGY_MSG_GOSSIP_ACK] = "GOSSIP_ACK",
  [RGY_MSG_PEER_STATE] = "PEER_STATE",
  [RGY_MSG_PEER_STATE_ACK] = "PEER_STATE_ACK",
  [RGY_MSG_HANDOVER] = "HANDOVER",
  [RGY_MSG_HANDOVER_ACK] = "HANDOVER_ACK",
  [RGY_MSG_PROBE] = "PROBE",
  [RGY_MSG_PROBE_ACK] = "PROBE_ACK",
  [RGY_MSG_SYNC_REQUEST] = "SYNC_REQUEST",
  [RGY_MSG_SYNC_REPLY] = "SYNC_REPLY",
};

void
harness_trace_datagrams (struct harness *h, FILE *out)
{
  h->settings.trace = out;
  h->trace_wire = rgy_wire_new (h->key);
  h->control_until_us = h->now_us + H_S;
}

static const char *
find_node_name_ (const struct harness *h, struct rgy_endpoint endpoint)
{
  guint i;

  for (i = 0; i < h->nodes->len; i++)
    {
      const struct node *n = g_ptr_array_index (h->nodes, i);

      if (rgy_endpoint_equal (n->endpoint, endpoint))
        return n->id.data;
    }
  return "unknown";
}

static void
append_coap_message_ (GString *line, struct rgy_bytes datagram)
{
  struct rgy_coap_view view;
  size_t i;

  if (rgy_coap_parse (datagram, &view) != RGY_OK)
    {
      g_string_append (line, " not-coap");
      return;
    }
  g_string_append_printf (line, " %u.%02u token ", view.code >> 5,
                          view.code & 0x1fU);
  for (i = 0; i < view.token.len; i++)
    g_string_append_printf (line, "%02x", view.token.data[i]);
  if (view.token.len == 0)
    g_string_append_c (line, '-');
  if (view.has_observe)
    g_string_append_printf (line, " observe %u", (unsigned)view.observe);
}

static void
append_caller_address_ (GString *line, struct rgy_endpoint caller)
{
  char text[RGY_ENDPOINT_TEXT_BYTES];

  g_string_append_printf (line, " %s", rgy_endpoint_format (caller, text));
}

/* @return true when the datagram belongs to a session, false for a
   control datagram.  */
static bool
append_instance_datagram_ (struct harness *h, const struct event *e,
                           GString *line)
{
  struct rgy_message *m = g_new0 (struct rgy_message, 1);
  bool is_session_datagram = false;

  g_string_append_printf (line, "%s -> %s:", find_node_name_ (h, e->from),
                          e->node->id.data);
  if (rgy_wire_decode (h->trace_wire, h_view_bytes (e->data), m) != RGY_OK)
    g_string_append (line, " unreadable");
  else
    {
      g_string_append_printf (line, " %s", kind_string_[m->kind]);
      is_session_datagram
          = m->kind == RGY_MSG_DATA || m->kind == RGY_MSG_ANSWER
            || m->kind == RGY_MSG_HANDOVER || m->kind == RGY_MSG_HANDOVER_ACK;
      if (m->kind == RGY_MSG_DATA)
        {
          append_caller_address_ (line, m->u.data.caller);
          append_coap_message_ (line, m->u.data.payload);
        }
      if (m->kind == RGY_MSG_ANSWER)
        {
          append_caller_address_ (line, m->u.answer.caller);
          append_coap_message_ (line, m->u.answer.payload);
        }
    }
  g_free (m);
  return is_session_datagram;
}

static void
append_fabric_datagram_ (const struct event *e, GString *line)
{
  struct rgy_endpoint caller;
  struct rgy_endpoint service;
  struct rgy_bytes payload;

  if (rgy_proxy_parse (h_view_bytes (e->data), &caller, &service, &payload)
      != RGY_OK)
    return;
  g_string_append (line, "caller");
  append_caller_address_ (line, caller);
  g_string_append_printf (line, " -> %s:", e->node->id.data);
  append_coap_message_ (line, payload);
}

/* Appends the datagram of an event, and nothing when it carries none.
   @return true when the datagram belongs to a session.  */
static bool
append_event_ (struct harness *h, const struct event *e, GString *line)
{
  switch (e->kind)
    {
    case EVENT_FABRIC:
      append_fabric_datagram_ (e, line);
      return true;
    case EVENT_INSTANCE:
      return append_instance_datagram_ (h, e, line);
    case EVENT_TO_BACKEND:
      g_string_append_printf (line, "%s -> %s" BACKEND_SUFFIX ":",
                              e->node->id.data, e->node->id.data);
      append_coap_message_ (line, h_view_bytes (e->data));
      return e->flow_id != RGY_PROBE_FLOW_ID;
    case EVENT_FROM_BACKEND:
      g_string_append_printf (line,
                              "%s" BACKEND_SUFFIX " -> %s:", e->node->id.data,
                              e->node->id.data);
      append_coap_message_ (line, h_view_bytes (e->data));
      return e->flow_id != RGY_PROBE_FLOW_ID;
    case EVENT_TO_CALLER:
      g_string_append (line, "fabric -> caller");
      append_caller_address_ (line, caller_get_endpoint (e->caller));
      g_string_append_c (line, ':');
      append_coap_message_ (line, h_view_bytes (e->data));
      return true;
    case EVENT_SYNC_REQUEST:
    case EVENT_SYNC_REPLY:
      g_string_append_printf (line, "%s: SYNC", e->node->id.data);
      return false;
    case EVENT_TICK:
    case EVENT_WORK_DONE:
    case EVENT_CALLER_TIMER:
      break;
    }
  return false;
}

/* Counts a control datagram in this second's summary; the digest covers its
   line and its time in us.  */
static void
add_control_datagram_ (struct harness *h, const GString *line)
{
  char *timestamped
      = g_strdup_printf ("%" G_GINT64_FORMAT " %s", h->now_us, line->str);

  h->control_count++;
  h->control_digest = rgy_hash_bytes (
      (struct rgy_bytes){ .data = (const uint8_t *)timestamped,
                          .len = strlen (timestamped) },
      h->control_digest);
  g_free (timestamped);
}

/* The first event after a second has passed writes the summary of that
   second's control datagrams.  */
void
trace_event (struct harness *h, const struct event *e)
{
  GString *line = g_string_new (NULL);

  if (h->now_us >= h->control_until_us)
    {
      h_trace (h, "control: %u datagrams, digest %016" G_GINT64_MODIFIER "x",
               h->control_count, h->control_digest);
      h->control_count = 0;
      h->control_until_us += H_S;
    }
  if (append_event_ (h, e, line))
    h_trace (h, "%s", line->str);
  else if (line->len > 0)
    add_control_datagram_ (h, line);
  g_string_free (line, TRUE);
}
