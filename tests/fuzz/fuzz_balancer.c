#include <jansson.h>
#include <string.h>

#include "fuzz.h"
#include "message_samples.h"
#include "ragwortyoke/balancer.h"
#include "ragwortyoke/clock.h"
#include "ragwortyoke/proxy.h"

/* Fuzz target of the balancer core.  An input is a sequence of steps for a
   balancer that has a contract and the address of one seed instance.  */

enum operation
{
  OP_FABRIC_DATAGRAM, /* Datagram from the fabric.  */
  OP_MESSAGE, /* Body of an instance's message; the step adds a valid tag.  */
  OP_RAW_DATAGRAM,   /* Whole datagram from an instance.  */
  OP_TICK,           /* Milliseconds that pass, in two bytes.  */
  OP_OPERATOR_ORDER, /* Domain order of an operator, as JSON.  */
  OP_SYNC_REQUEST,   /* Body of a request; the step adds a valid tag.  */
  OP_SYNC_REPLY,     /* Body of a reply; the step adds a valid tag.  */
  OP_STORE_CONTRACT, /* Contract from the store, as JSON.  */
  OP_DRAIN,          /* The balancer starts to drain.  */
  OP_COUNT
};

#define START_US RGY_US_PER_S
#define MAX_STEPS 64

static const struct rgy_endpoint service_ = { .ip = 0x7f000a01, .port = 5683 };
static const struct rgy_endpoint caller_ = { .ip = 0x7f010001, .port = 4000 };
static const struct rgy_endpoint sender_ = { .ip = 0x7f000002, .port = 7000 };

static const char contract_[]
    = "{\"customer\":\"rodaforte\",\"callers\":[\"127.1.0.0/16\"],"
      "\"limits\":{\"bytes_per_second\":100000},"
      "\"services\":[{\"name\":\"workshop\","
      "\"address\":\"127.0.10.1:5683\",\"protocol\":\"coap\"}]}";
static const char domain_order_[]
    = "{\"domain\":\"poa-a\",\"out\":true,\"number\":3,"
      "\"id\":\"0000000000000001\",\"operator\":\"ana\",\"issued\":1}";
/* CoAP POST with a token of one byte.  */
static const uint8_t request_[] = { 0x41, 0x02, 0x00, 0x07, 0xaa };

struct run
{
  struct rgy_counters *counters;
  struct rgy_balancer *balancer;
  struct rgy_actions *actions;
  struct rgy_wire *wire;
  struct rgy_message *message;
  int64_t now_us;
};

static struct rgy_bytes
get_text_bytes_ (const char *text)
{
  return (struct rgy_bytes){ .data = (const uint8_t *)text,
                             .len = strlen (text) };
}

/* Appends a step with the body of an encoded message, without its tag.  */
static void
append_message_ (GByteArray *steps, struct rgy_wire *wire, uint8_t operation,
                 const struct rgy_message *m)
{
  struct rgy_bytes bytes = rgy_wire_encode (wire, m);

  bytes.data += RGY_WIRE_TAG_BYTES;
  bytes.len -= RGY_WIRE_TAG_BYTES;
  fuzz_step_append (steps, operation, bytes);
}

static void
append_fabric_datagram_ (GByteArray *steps)
{
  uint8_t datagram[RGY_PROXY_HEADER_BYTES + sizeof request_];

  rgy_proxy_write (datagram, caller_, service_);
  memcpy (datagram + RGY_PROXY_HEADER_BYTES, request_, sizeof request_);
  fuzz_step_append (
      steps, OP_FABRIC_DATAGRAM,
      (struct rgy_bytes){ .data = datagram, .len = sizeof datagram });
}

static void
append_tick_ (GByteArray *steps, uint16_t ms)
{
  uint8_t data[] = { (uint8_t)(ms >> 8), (uint8_t)ms };

  fuzz_step_append (steps, OP_TICK,
                    (struct rgy_bytes){ .data = data, .len = sizeof data });
}

static void
append_heartbeat_ (GByteArray *steps, struct rgy_wire *wire,
                   struct rgy_message *m, uint64_t sequence)
{
  message_sample_fill (RGY_MSG_HEARTBEAT, m);
  m->u.heartbeat.record.state = RGY_MEMBER_READY;
  m->u.heartbeat.record.sequence = sequence;
  m->u.heartbeat.record.service = service_;
  append_message_ (steps, wire, OP_MESSAGE, m);
}

/* Appends gossip with a contract and an order that takes a failure domain
   out.  */
static void
append_gossip_ (GByteArray *steps, struct rgy_wire *wire,
                struct rgy_message *m)
{
  struct rgy_entry contract = { .class = RGY_ENTRY_CONTRACT,
                                .key = rgy_name_from_c ("rodaforte"),
                                .version = { .major = 7 },
                                .value = get_text_bytes_ (contract_) };
  struct rgy_entry order = { .class = RGY_ENTRY_DOMAIN,
                             .key = rgy_name_from_c ("poa-a"),
                             .version = { .major = 3, .minor = 1 },
                             .value = get_text_bytes_ (domain_order_) };

  message_sample_fill (RGY_MSG_GOSSIP, m);
  m->u.gossip.entries.count = 2;
  m->u.gossip.entries.entries[0] = &contract;
  m->u.gossip.entries.entries[1] = &order;
  append_message_ (steps, wire, OP_MESSAGE, m);
}

void
fuzz_add_seeds (GPtrArray *seeds)
{
  struct rgy_wire *wire = rgy_wire_new (fuzz_key);
  struct rgy_message *m = g_new0 (struct rgy_message, 1);
  GByteArray *steps = g_byte_array_new ();
  int kind;

  /* An agent whose heartbeats pause while callers send; then a drain.  */
  append_heartbeat_ (steps, wire, m, 8);
  append_fabric_datagram_ (steps);
  message_sample_fill (RGY_MSG_ANSWER, m);
  append_message_ (steps, wire, OP_MESSAGE, m);
  append_tick_ (steps, 200);
  append_gossip_ (steps, wire, m);
  append_fabric_datagram_ (steps);
  append_tick_ (steps, 2500);
  append_tick_ (steps, 1500);
  append_heartbeat_ (steps, wire, m, 12);
  fuzz_step_append (steps, OP_DRAIN, (struct rgy_bytes){ 0 });
  append_tick_ (steps, 3000);
  fuzz_add_seed_array (seeds, steps);

  /* An operator's order and synchronisation in both directions.  */
  steps = g_byte_array_new ();
  fuzz_step_append (steps, OP_OPERATOR_ORDER, get_text_bytes_ (domain_order_));
  append_tick_ (steps, 50);
  message_sample_fill (RGY_MSG_SYNC_REQUEST, m);
  append_message_ (steps, wire, OP_SYNC_REQUEST, m);
  message_sample_fill (RGY_MSG_SYNC_REPLY, m);
  append_message_ (steps, wire, OP_SYNC_REPLY, m);
  append_fabric_datagram_ (steps);
  fuzz_add_seed_array (seeds, steps);

  /* A contract from the store, then messages of all kinds.  */
  steps = g_byte_array_new ();
  fuzz_step_append (steps, OP_STORE_CONTRACT, get_text_bytes_ (contract_));
  for (kind = 1; kind < RGY_MSG_KIND_COUNT; kind++)
    if (kind != RGY_MSG_HEARTBEAT_ACK)
      {
        message_sample_fill ((enum rgy_message_kind)kind, m);
        append_message_ (steps, wire, OP_MESSAGE, m);
      }
  append_tick_ (steps, 500);
  fuzz_add_seed_array (seeds, steps);
  g_free (m);
  rgy_wire_delete (wire);
}

/* Checks a message that the balancer sends to an instance.  */
static void
check_sent_message_ (struct run *run, struct rgy_bytes data)
{
  /* The receiver would drop a message that it cannot decode.  */
  g_assert (rgy_wire_decode (run->wire, data, run->message) == RGY_OK);
  if (run->message->kind == RGY_MSG_GOSSIP
      || run->message->kind == RGY_MSG_GOSSIP_ACK
      || run->message->kind == RGY_MSG_ENTRIES)
    g_assert (data.len <= RGY_WIRE_DATAGRAM_BYTES);
}

/* Checks a datagram to the fabric, which needs a valid header.  */
static void
check_fabric_datagram_ (struct rgy_bytes data)
{
  struct rgy_endpoint source;
  struct rgy_endpoint destination;
  struct rgy_bytes payload;

  g_assert (rgy_proxy_parse (data, &source, &destination, &payload) == RGY_OK);
}

static void
check_actions_ (struct run *run)
{
  struct rgy_action action;
  size_t i;

  for (i = 0; i < rgy_actions_get_count (run->actions); i++)
    {
      action = rgy_actions_get (run->actions, i);
      switch (action.kind)
        {
        case RGY_ACTION_SEND:
          check_sent_message_ (run, action.u.send.data);
          break;
        case RGY_ACTION_EGRESS:
          check_fabric_datagram_ (action.u.send.data);
          break;
        case RGY_ACTION_WRITE_STORE:
          g_assert (action.u.store.key.len > 0);
          break;
        case RGY_ACTION_DELIVER:
        case RGY_ACTION_CLOSE_FLOW:
          /* A balancer owns no flows; only agents do.  */
          g_assert_not_reached ();
        case RGY_ACTION_SYNC:
        case RGY_ACTION_READ_STORE:
        case RGY_ACTION_LOG:
        case RGY_ACTION_EXIT:
          break;
        }
    }
  rgy_actions_clear (run->actions);
}

/* Checks that the text is a JSON object, and frees it.  */
static void
check_json_object_ (char *text)
{
  json_t *json = json_loads (text, 0, NULL);

  g_assert (json_is_object (json));
  json_decref (json);
  g_free (text);
}

static void
check_status_ (const struct run *run)
{
  struct rgy_name customer = rgy_name_from_c ("rodaforte");

  check_json_object_ (rgy_balancer_format_status (run->balancer));
  check_json_object_ (
      rgy_balancer_format_confirm (run->balancer, &customer, false, 7));
  g_assert (rgy_contract_set_get_count (
                rgy_balancer_get_blackboard (run->balancer)->contracts)
            <= rgy_replica_get_count (
                rgy_balancer_get_blackboard (run->balancer)->replica,
                RGY_ENTRY_CONTRACT));
}

static void
apply_contract_ (struct run *run, uint64_t revision, struct rgy_bytes json)
{
  struct rgy_entry entry = { .class = RGY_ENTRY_CONTRACT,
                             .key = rgy_name_from_c ("rodaforte"),
                             .version = { .major = revision },
                             .value = json };

  rgy_balancer_from_store (run->balancer, &entry, run->actions);
}

/* Serves a synchronisation request; peers must be able to decode all frames of
   the reply.  */
static void
serve_sync_request_ (struct run *run, struct rgy_bytes request)
{
  GPtrArray *frames
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_byte_array_unref);
  guint i;

  rgy_balancer_serve_sync (run->balancer, request, frames);
  for (i = 0; i < frames->len; i++)
    g_assert (rgy_wire_decode (run->wire,
                               fuzz_view_array (g_ptr_array_index (frames, i)),
                               run->message)
              == RGY_OK);
  g_ptr_array_unref (frames);
}

/* Passes a message with the given body and a valid tag to the balancer.  */
static void
run_message_body_ (struct run *run, uint8_t operation, struct rgy_bytes body)
{
  GByteArray *tagged = fuzz_build_datagram (body);
  struct rgy_bytes datagram = fuzz_view_array (tagged);

  switch (operation)
    {
    case OP_SYNC_REQUEST:
      serve_sync_request_ (run, datagram);
      break;
    case OP_SYNC_REPLY:
      rgy_balancer_apply_sync (run->balancer, datagram, run->now_us,
                               run->actions);
      break;
    default:
      rgy_balancer_from_instance (run->balancer, sender_, datagram,
                                  run->now_us, run->actions);
      break;
    }
  g_byte_array_unref (tagged);
}

static void
run_step_ (struct run *run, uint8_t operation, struct rgy_bytes data)
{
  switch (operation % OP_COUNT)
    {
    case OP_FABRIC_DATAGRAM:
      rgy_balancer_from_fabric (run->balancer, data, run->now_us,
                                run->actions);
      break;
    case OP_RAW_DATAGRAM:
      rgy_balancer_from_instance (run->balancer, sender_, data, run->now_us,
                                  run->actions);
      break;
    case OP_TICK:
      if (data.len >= 2)
        run->now_us += (data.data[0] << 8 | data.data[1]) * RGY_US_PER_MS;
      rgy_balancer_tick (run->balancer, run->now_us, run->actions);
      break;
    case OP_OPERATOR_ORDER:
      rgy_balancer_from_operator (
          run->balancer,
          (struct rgy_str){ .data = (const char *)data.data, .len = data.len },
          run->now_us, run->actions);
      break;
    case OP_STORE_CONTRACT:
      apply_contract_ (run, 9, data);
      break;
    case OP_DRAIN:
      rgy_balancer_start_drain (run->balancer, run->now_us, run->actions);
      break;
    default:
      run_message_body_ (run, operation % OP_COUNT, data);
      break;
    }
}

/* Runs the steps of the input.  Whatever a balancer receives, it must not
   crash, and its peers must be able to decode what it sends.  */
void
fuzz_run_input (struct rgy_bytes input)
{
  struct rgy_balancer_settings settings
      = { .id = rgy_name_from_c ("balancer-1"),
          .domain = rgy_name_from_c ("poa-a"),
          .epoch = 5,
          .endpoint = { .ip = 0x7f000001, .port = 7000 },
          .sync = { .ip = 0x7f000001, .port = 7001 },
          .http = { .ip = 0x7f000001, .port = 8080 },
          .seeds = { sender_ },
          .seed_count = 1,
          .random_seed = 1,
          .drain_us = 2 * RGY_US_PER_S };
  struct run run = { .now_us = START_US };
  struct rgy_bytes data;
  uint8_t operation;
  int steps = 0;

  memcpy (settings.key, fuzz_key, sizeof settings.key);
  run.counters = rgy_counters_new ();
  run.balancer = rgy_balancer_new (&settings, run.counters);
  run.actions = rgy_actions_new ();
  run.wire = rgy_wire_new (fuzz_key);
  run.message = g_new0 (struct rgy_message, 1);
  apply_contract_ (&run, 5, get_text_bytes_ (contract_));
  while (steps++ < MAX_STEPS && fuzz_step_next (&input, &operation, &data))
    {
      run_step_ (&run, operation, data);
      check_actions_ (&run);
    }
  rgy_balancer_tick (run.balancer, run.now_us + RGY_US_PER_S, run.actions);
  check_actions_ (&run);
  check_status_ (&run);
  rgy_balancer_delete (run.balancer);
  rgy_actions_delete (run.actions);
  rgy_counters_delete (run.counters);
  rgy_wire_delete (run.wire);
  g_free (run.message);
}
