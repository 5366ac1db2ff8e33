/**
 * @file
 * Example of embedding the decision core: a balancer with one contract and
 * one agent receives one datagram and returns the actions to execute.  The
 * core does no I/O; the embedding program passes the time and the datagrams to
 * it and executes the actions.
 */

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ragwortyoke/balancer.h>
#include <ragwortyoke/clock.h>
#include <ragwortyoke/proxy.h>

static const struct rgy_endpoint service
    = { .ip = 0x7f000a01, .port = 5683 }; /* 127.0.10.1 */
static const struct rgy_endpoint caller
    = { .ip = 0x7f010001, .port = 40000 }; /* 127.1.0.1 */

static const char contract[]
    = "{\"customer\": \"rodaforte\", \"callers\": [\"127.1.0.0/16\"],"
      " \"services\": [{\"name\": \"workshop\","
      " \"address\": \"127.0.10.1:5683\", \"protocol\": \"udp\"}]}";

/* Passes a contract to the balancer, as the watch of a key-value service would
   deliver it.  */
static enum rgy_outcome
add_contract (struct rgy_balancer *balancer, struct rgy_actions *actions)
{
  struct rgy_entry entry = { .class = RGY_ENTRY_CONTRACT,
                             .key = rgy_name_from_c ("rodaforte"),
                             .version = { .major = 1 },
                             .value = { .data = (const uint8_t *)contract,
                                        .len = sizeof contract - 1 } };

  return rgy_balancer_from_store (balancer, &entry, actions);
}

/* Passes the record of a ready agent to the balancer.  */
static enum rgy_outcome
add_agent (struct rgy_balancer *balancer, struct rgy_actions *actions)
{
  struct rgy_agent_record record
      = { .id = rgy_name_from_c ("agent-1"),
          .epoch = 1,
          .sequence = 2,
          .state = RGY_MEMBER_READY,
          .domain = rgy_name_from_c ("poa-a"),
          .endpoint = { .ip = 0x7f002101, .port = 7000 }, /* 127.0.33.1 */
          .service = service };
  GByteArray *bytes = rgy_agent_record_encode (&record);
  struct rgy_entry entry
      = { .class = RGY_ENTRY_AGENT,
          .key = record.id,
          .version = { .major = record.epoch, .minor = record.sequence },
          .value = { .data = bytes->data, .len = bytes->len } };
  enum rgy_outcome rc = rgy_balancer_from_store (balancer, &entry, actions);

  g_byte_array_unref (bytes);
  return rc;
}

/* Prints the actions that the balancer requests.  @return the number of
   datagrams to send.  */
static size_t
print_actions (const struct rgy_actions *actions)
{
  char to[RGY_ENDPOINT_TEXT_BYTES];
  struct rgy_action action;
  size_t send_count = 0;
  size_t i;

  for (i = 0; i < rgy_actions_get_count (actions); i++)
    {
      action = rgy_actions_get (actions, i);
      switch (action.kind)
        {
        case RGY_ACTION_SEND:
          printf ("send %zu bytes to %s\n", action.u.send.data.len,
                  rgy_endpoint_format (action.u.send.to, to));
          send_count++;
          break;
        case RGY_ACTION_LOG:
          printf ("log: %.*s\n", (int)action.u.text.len, action.u.text.data);
          break;
        default:
          printf ("action %d\n", (int)action.kind);
          break;
        }
    }
  return send_count;
}

/* Passes a caller's datagram, as the fabric delivers it behind a header with
   the addresses, to the balancer.  @return the number of datagrams to send. */
static size_t
handle_caller_datagram (struct rgy_balancer *balancer,
                        struct rgy_actions *actions)
{
  static const char payload[] = "hello";
  uint8_t datagram[RGY_PROXY_HEADER_BYTES + sizeof payload];

  rgy_proxy_write (datagram, caller, service);
  memcpy (datagram + RGY_PROXY_HEADER_BYTES, payload, sizeof payload);
  rgy_actions_clear (actions);
  rgy_balancer_from_fabric (
      balancer, (struct rgy_bytes){ .data = datagram, .len = sizeof datagram },
      2 * RGY_US_PER_S, actions);
  return print_actions (actions);
}

int
main (void)
{
  struct rgy_balancer_settings settings
      = { .id = rgy_name_from_c ("balancer-1"),
          .domain = rgy_name_from_c ("poa-a"),
          .epoch = 1,
          .endpoint = { .ip = 0x7f001f01, .port = 7000 }, /* 127.0.31.1 */
          .random_seed = 1 };
  struct rgy_counters *counters = rgy_counters_new ();
  struct rgy_balancer *balancer = rgy_balancer_new (&settings, counters);
  struct rgy_actions *actions = rgy_actions_new ();
  int status = EXIT_FAILURE;

  if (add_contract (balancer, actions) == RGY_OK
      && add_agent (balancer, actions) == RGY_OK
      && handle_caller_datagram (balancer, actions) == 1)
    status = EXIT_SUCCESS;
  printf ("forwarded %" PRIu64 "\n",
          rgy_counters_get (counters, "balancer_forwarded_total", NULL));
  rgy_actions_delete (actions);
  rgy_balancer_delete (balancer);
  rgy_counters_delete (counters);
  return status;
}
