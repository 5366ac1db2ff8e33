#include "fuzz.h"
#include "ragwortyoke/stream_message.h"

/* Fuzz target of the decoder of stream messages.  */

static void
add_message_seed_ (GPtrArray *seeds, const struct rgy_stream_message *message)
{
  GByteArray *bytes = g_byte_array_new ();

  rgy_stream_message_encode (message, bytes);
  fuzz_add_seed_array (seeds, bytes);
}

void
fuzz_add_seeds (GPtrArray *seeds)
{
  static const uint8_t change[RGY_FLOW_CHANGE_BYTES] = { 100, 64, 0, 7 };
  static const uint8_t ips[8] = { 10, 1, 0, 1, 10, 1, 0, 2 };
  struct rgy_stream_message message = { .kind = RGY_STREAM_REPORT };
  int kind;

  message.u.report.service = rgy_name_from_c ("workshop");
  message.u.report.domain = rgy_name_from_c ("poa-a");
  message.u.report.changes
      = (struct rgy_bytes){ .data = change, .len = sizeof change };
  add_message_seed_ (seeds, &message);
  message = (struct rgy_stream_message){ .kind = RGY_STREAM_REPORT_ACK };
  message.u.ack.view.n_out = 1;
  message.u.ack.view.out[0] = rgy_name_from_c ("poa-b");
  message.u.ack.balancers
      = (struct rgy_bytes){ .data = ips, .len = sizeof ips };
  add_message_seed_ (seeds, &message);
  message = (struct rgy_stream_message){ .kind = RGY_STREAM_STATUS };
  message.u.status.agents = (struct rgy_bytes){ .data = ips, .len = 4 };
  add_message_seed_ (seeds, &message);
  message.u.status.manifest_epoch = 3;
  message.u.status.view
      = (struct rgy_domain_view){ .epoch = 3, .n_out = 2, .n_kept = 1 };
  message.u.status.view.out[0] = rgy_name_from_c ("poa-a");
  message.u.status.view.out[1] = rgy_name_from_c ("poa-b");
  add_message_seed_ (seeds, &message);
  for (kind = RGY_STREAM_REPORT_REQUEST; kind < RGY_STREAM_MESSAGE_KIND_COUNT;
       kind++)
    {
      message = (struct rgy_stream_message){
        .kind = (enum rgy_stream_message_kind)kind
      };
      add_message_seed_ (seeds, &message);
    }
}

/* A message that the decoder accepts must be within its bounds, and must keep
   its kind when it is encoded and decoded again.  */
void
fuzz_run_input (struct rgy_bytes input)
{
  struct rgy_stream_message message;
  struct rgy_stream_message again;
  GByteArray *bytes;

  if (rgy_stream_message_decode (input, &message) != RGY_OK)
    return;
  if (message.kind == RGY_STREAM_STATUS)
    g_assert (message.u.status.view.n_out <= RGY_STREAM_MAX_DOMAINS
              && message.u.status.view.n_kept <= message.u.status.view.n_out);
  if (message.kind == RGY_STREAM_REPORT)
    {
      g_assert (message.u.report.state < RGY_BACKEND_STATE_COUNT);
      g_assert (message.u.report.changes.len
                <= RGY_STREAM_MAX_CHANGES * RGY_FLOW_CHANGE_BYTES);
    }
  bytes = g_byte_array_new ();
  rgy_stream_message_encode (&message, bytes);
  g_assert (rgy_stream_message_decode (fuzz_view_array (bytes), &again)
            == RGY_OK);
  g_assert (again.kind == message.kind);
  g_byte_array_unref (bytes);
}
