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

/* Adds a query for the terms of two routes, and its answer.  */
static void
add_terms_seeds_ (GPtrArray *seeds)
{
  static const struct rgy_request_terms terms = {
    .priority = 1, .repeatable = true, .goal_us = 150000, .limit_us = 1500000
  };
  const struct rgy_endpoint known = { .ip = 0xc6120001, .port = 443 };
  const struct rgy_endpoint absent = { .ip = 0xc6120002, .port = 80 };
  uint8_t addresses[2 * RGY_ROUTE_ADDRESS_BYTES];
  uint8_t routes[2 * RGY_ROUTE_TERMS_BYTES];
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_TERMS_QUERY,
          .u.queried_routes = { .data = addresses, .len = sizeof addresses } };

  rgy_route_address_encode (known, addresses);
  rgy_route_address_encode (absent, addresses + RGY_ROUTE_ADDRESS_BYTES);
  add_message_seed_ (seeds, &message);
  rgy_route_terms_encode (known, &terms, routes);
  rgy_route_terms_encode (absent, NULL, routes + RGY_ROUTE_TERMS_BYTES);
  message = (struct rgy_stream_message){
    .kind = RGY_STREAM_TERMS,
    .u.terms = { .manifest_version = 7,
                 .routes = { .data = routes, .len = sizeof routes } }
  };
  add_message_seed_ (seeds, &message);
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
  add_terms_seeds_ (seeds);
}

/* Terms must be whole entries, and must not change when they are encoded and
   decoded again.  */
static void
check_terms_ (struct rgy_bytes routes)
{
  size_t i;

  g_assert (routes.len <= RGY_STREAM_MAX_TERMS * RGY_ROUTE_TERMS_BYTES);
  g_assert (routes.len % RGY_ROUTE_TERMS_BYTES == 0);
  for (i = 0; i < routes.len; i += RGY_ROUTE_TERMS_BYTES)
    {
      uint8_t encoded[RGY_ROUTE_TERMS_BYTES];
      struct rgy_endpoint address;
      struct rgy_endpoint address_again;
      struct rgy_request_terms terms;
      struct rgy_request_terms again;

      if (!rgy_route_terms_decode (routes.data + i, &address, &terms))
        continue;
      rgy_route_terms_encode (address, &terms, encoded);
      g_assert (rgy_route_terms_decode (encoded, &address_again, &again));
      g_assert (rgy_endpoint_equal (address, address_again));
      g_assert (again.priority == terms.priority);
      g_assert (again.repeatable == terms.repeatable);
      g_assert (again.goal_us == terms.goal_us);
      g_assert (again.limit_us == terms.limit_us);
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
  if (message.kind == RGY_STREAM_TERMS)
    check_terms_ (message.u.terms.routes);
  if (message.kind == RGY_STREAM_TERMS_QUERY)
    {
      g_assert (message.u.queried_routes.len
                <= RGY_STREAM_MAX_TERMS * RGY_ROUTE_ADDRESS_BYTES);
      g_assert (message.u.queried_routes.len % RGY_ROUTE_ADDRESS_BYTES == 0);
    }
  bytes = g_byte_array_new ();
  rgy_stream_message_encode (&message, bytes);
  g_assert (rgy_stream_message_decode (fuzz_view_array (bytes), &again)
            == RGY_OK);
  g_assert (again.kind == message.kind);
  g_byte_array_unref (bytes);
}
