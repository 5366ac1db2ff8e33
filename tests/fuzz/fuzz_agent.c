#include <jansson.h>
#include <string.h>

#include "fuzz.h"
#include "message_samples.h"
#include "ragwortyoke/agent.h"
#include "ragwortyoke/clock.h"

/* Inputs are sequences of steps.  An agent starts ready, with a contract, one
   peer and one balancer.  */

enum operation
{
  OP_SEALED,  /* The body of a message; gets a valid tag.  */
  OP_RAW,     /* A datagram from an instance.  */
  OP_TICK,    /* Time passes: two bytes of milliseconds.  */
  OP_CALLER,  /* Number of the caller and its datagram.  */
  OP_ECHO,    /* The same, with the last Echo added.  */
  OP_BACKEND, /* Number of a flow and a datagram of the backend server.  */
  OP_ANSWER,  /* The answer to the last delivery: code and payload.  */
  OP_NOTIFY,  /* A notification for the last delivery: Observe and payload.  */
  OP_REFUSED, /* Number of a flow whose socket is refused.  */
  OP_SYNC_REPLY,  /* Body, as for OP_SEALED.  */
  OP_ACKNOWLEDGE, /* The last handover is accepted or, with a byte, not.  */
  OP_DRAIN,
  OP_COUNT
};

#define START_US RGY_US_PER_S
#define MAX_STEPS 64
#define CONNECTIONS 8
#define CALLER_IP 0x7f010001

static const struct rgy_endpoint service_ = { .ip = 0x7f000a01, .port = 5683 };
static const struct rgy_endpoint balancer_
    = { .ip = 0x7f000002, .port = 7000 };
static const struct rgy_endpoint peer_ = { .ip = 0x7f000003, .port = 7000 };

static const char contract_[]
    = "{\"customer\":\"rodaforte\",\"callers\":[\"127.1.0.0/16\"],"
      "\"services\":[{\"name\":\"workshop\","
      "\"address\":\"127.0.10.1:5683\",\"protocol\":\"coap\","
      "\"limits\":{\"open_flows\":100,\"new_flows_per_second\":100,"
      "\"requests_in_flight\":10}}]}";
static const char order_[]
    = "{\"domain\":\"poa-a\",\"out\":true,\"number\":3,"
      "\"id\":\"0000000000000001\",\"operator\":\"ana\",\"issued\":1}";

struct run
{
  struct rgy_counters *counters;
  struct rgy_agent *agent;
  struct rgy_actions *actions;
  struct rgy_wire *wire;
  struct rgy_message *message;
  int64_t now_us;
  GArray *flows;      /* IDs that were delivered to, in order.  */
  GHashTable *closed; /* IDs.  */
  uint64_t last_flow;
  GByteArray *last_delivery;
  bool probed; /* The backend server owes an answer to a probe.  */
  uint16_t probe_id;
  uint64_t last_transfer;
  GByteArray *last_echo;
};

static struct rgy_bytes
text_bytes_ (const char *text)
{
  return (struct rgy_bytes){ .data = (const uint8_t *)text,
                             .len = strlen (text) };
}

/* Seeds.  */

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
append_tick_ (GByteArray *steps, uint16_t ms)
{
  uint8_t data[] = { (uint8_t)(ms >> 8), (uint8_t)ms };

  fuzz_step_append (steps, OP_TICK,
                    (struct rgy_bytes){ .data = data, .len = sizeof data });
}

static void
append_request_ (GByteArray *steps, uint8_t operation, uint8_t caller,
                 uint8_t method, uint16_t message_id, bool observe)
{
  struct rgy_coap_uint room[2];
  struct rgy_coap_option options[]
      = { rgy_coap_uint_option (RGY_COAP_OPTION_OBSERVE, 0, &room[0]),
          { .number = 11, .value = text_bytes_ ("board") },
          rgy_coap_uint_option (RGY_COAP_OPTION_DEADLINE_MS, 1500, &room[1]) };
  struct rgy_coap_header header = { .type = RGY_COAP_CON,
                                    .code = method,
                                    .message_id = message_id,
                                    .token = { .data = &caller, .len = 1 } };
  GByteArray *built
      = rgy_coap_build (&header, observe ? options : options + 1,
                        observe ? 3 : 2, (struct rgy_bytes){ 0 });

  g_byte_array_prepend (built, &caller, 1);
  fuzz_step_append (steps, operation, fuzz_borrow (built));
  g_byte_array_unref (built);
}

static void
append_answer_ (GByteArray *steps, uint8_t code)
{
  uint8_t data[] = { code, 'o', 'k' };

  fuzz_step_append (steps, OP_ANSWER,
                    (struct rgy_bytes){ .data = data, .len = sizeof data });
}

static void
append_peer_state_ (GByteArray *steps, struct rgy_wire *wire,
                    struct rgy_message *m)
{
  message_sample_fill (RGY_MSG_PEER_STATE, m);
  m->u.peer_state.from = rgy_name_from_c ("agent-2");
  m->u.peer_state.epoch = 2;
  m->u.peer_state.usage_count = 1;
  m->u.peer_state.usage[0].customer = rgy_name_from_c ("rodaforte");
  append_message_ (steps, wire, OP_SEALED, m);
}

static void
append_handover_ (GByteArray *steps, struct rgy_wire *wire,
                  struct rgy_message *m)
{
  static const uint8_t registration[]
      = { 0x41, 0x01, 0x00, 0x07, 0xaa, 0x60, 0x55, 'b', 'o', 'a', 'r', 'd' };
  static const uint8_t token[] = { 0xab };
  struct rgy_handover_state state
      = { .key = rgy_flow_key_udp (
              (struct rgy_endpoint){ .ip = CALLER_IP, .port = 9 }, service_),
          .customer = rgy_name_from_c ("rodaforte"),
          .observation_count = 1,
          .observations = { { .registration = { .data = registration,
                                                .len = sizeof registration },
                              .last_sequence = 5,
                              .notified = true } },
          .record_count = 1,
          .records = { { .message_id = 3,
                         .token = { .data = token, .len = sizeof token },
                         .age_ms = 100 } },
          .echo_epoch_count = 1,
          .echo_epochs = { 4 } };
  GByteArray *bytes = rgy_handover_state_encode (&state);

  message_sample_fill (RGY_MSG_HANDOVER, m);
  m->u.handover.from = rgy_name_from_c ("agent-2");
  m->u.handover.state = fuzz_borrow (bytes);
  append_message_ (steps, wire, OP_SEALED, m);
  g_byte_array_unref (bytes);
}

static void
append_order_ (GByteArray *steps, struct rgy_wire *wire, uint8_t operation,
               enum rgy_message_kind kind, struct rgy_message *m)
{
  struct rgy_entry order = { .class = RGY_ENTRY_DOMAIN,
                             .key = rgy_name_from_c ("poa-a"),
                             .version = { .major = 3, .minor = 1 },
                             .value = text_bytes_ (order_) };

  message_sample_fill (kind, m);
  m->u.entries.count = 1;
  m->u.entries.entries[0] = &order;
  append_message_ (steps, wire, operation, m);
}

/* Requests of several callers, with answers, refusals and silence.  */
static GByteArray *
build_requests_ (void)
{
  GByteArray *steps = g_byte_array_new ();
  uint8_t flow = 0;
  uint8_t i;

  append_request_ (steps, OP_CALLER, 1, 1, 1, false);
  append_answer_ (steps, RGY_COAP_CODE (2, 5));
  append_request_ (steps, OP_CALLER, 2, 2, 2, false);
  append_request_ (steps, OP_ECHO, 2, 2, 3, false);
  append_answer_ (steps, RGY_COAP_CODE (2, 1));
  append_request_ (steps, OP_ECHO, 2, 2, 3, false);
  for (i = 3; i < 8; i++)
    append_request_ (steps, OP_CALLER, i, 1, i, false);
  append_answer_ (steps, RGY_COAP_CODE (5, 3));
  fuzz_step_append (steps, OP_REFUSED,
                    (struct rgy_bytes){ .data = &flow, .len = 1 });
  append_tick_ (steps, 600);
  append_tick_ (steps, 1600);
  append_tick_ (steps, 60000);
  return steps;
}

/* An observation, its notifications, and a drain that moves it.  */
static GByteArray *
build_observation_ (struct rgy_wire *wire, struct rgy_message *m)
{
  GByteArray *steps = g_byte_array_new ();
  uint8_t i;

  append_peer_state_ (steps, wire, m);
  append_request_ (steps, OP_CALLER, 1, 1, 1, true);
  append_answer_ (steps, RGY_COAP_CODE (2, 5));
  for (i = 7; i < 10; i++)
    fuzz_step_append (steps, OP_NOTIFY,
                      (struct rgy_bytes){ .data = &i, .len = 1 });
  append_handover_ (steps, wire, m);
  append_answer_ (steps, RGY_COAP_CODE (2, 5));
  fuzz_step_append (steps, OP_DRAIN, (struct rgy_bytes){ 0 });
  append_peer_state_ (steps, wire, m);
  append_tick_ (steps, 50);
  append_tick_ (steps, 2500);
  fuzz_step_append (steps, OP_ACKNOWLEDGE, (struct rgy_bytes){ 0 });
  append_tick_ (steps, 200);
  fuzz_step_append (steps, OP_ACKNOWLEDGE, (struct rgy_bytes){ 0 });
  append_tick_ (steps, 5000);
  return steps;
}

void
fuzz_add_seeds (GPtrArray *seeds)
{
  struct rgy_wire *wire = rgy_wire_new (fuzz_key);
  struct rgy_message *m = g_new0 (struct rgy_message, 1);
  GByteArray *steps;
  int kind;

  fuzz_add_array (seeds, build_requests_ ());
  fuzz_add_array (seeds, build_observation_ (wire, m));

  /* Every kind of message, then the failure domain leaves.  */
  steps = g_byte_array_new ();
  append_request_ (steps, OP_CALLER, 1, 1, 1, true);
  append_answer_ (steps, RGY_COAP_CODE (2, 5));
  for (kind = 1; kind < RGY_MSG_KIND_COUNT; kind++)
    if (kind != RGY_MSG_HEARTBEAT_ACK)
      {
        message_sample_fill ((enum rgy_message_kind)kind, m);
        append_message_ (steps, wire, OP_SEALED, m);
      }
  append_order_ (steps, wire, OP_SEALED, RGY_MSG_ENTRIES, m);
  append_request_ (steps, OP_CALLER, 1, 1, 2, false);
  append_tick_ (steps, 100);
  fuzz_add_array (seeds, steps);

  steps = g_byte_array_new ();
  append_order_ (steps, wire, OP_SYNC_REPLY, RGY_MSG_SYNC_REPLY, m);
  append_request_ (steps, OP_CALLER, 1, 2, 2, false);
  append_tick_ (steps, 100);
  fuzz_add_array (seeds, steps);
  g_free (m);
  rgy_wire_delete (wire);
}

/* Checks.  */

/* An Echo option of an answer is kept for OP_ECHO.  */
static void
note_answer_ (struct run *run, struct rgy_bytes payload)
{
  struct rgy_coap_view view;

  g_assert (rgy_coap_parse (payload, &view) == RGY_OK);
  if (!view.has_echo || view.echo.len == 0)
    return;
  g_byte_array_set_size (run->last_echo, 0);
  g_byte_array_append (run->last_echo, view.echo.data, (guint)view.echo.len);
}

static void
check_send_ (struct run *run, struct rgy_bytes data)
{
  /* A message that the other side refuses would be lost.  */
  g_assert (rgy_wire_decode (run->wire, data, run->message) == RGY_OK);
  if (run->message->kind == RGY_MSG_ANSWER)
    note_answer_ (run, run->message->u.answer.payload);
  if (run->message->kind == RGY_MSG_HANDOVER)
    {
      struct rgy_handover_state state;

      run->last_transfer = run->message->u.handover.transfer_id;
      g_assert (
          rgy_handover_state_decode (run->message->u.handover.state, &state)
          == RGY_OK);
    }
}

/* A socket must not be opened again for a flow that has ended.  */
static void
check_deliver_ (struct run *run, uint64_t flow_id, struct rgy_bytes data)
{
  struct rgy_coap_view view;

  g_assert (!g_hash_table_contains (run->closed, &flow_id));
  g_assert (rgy_coap_parse (data, &view) == RGY_OK);
  if (flow_id == RGY_PROBE_FLOW_ID)
    {
      run->probed = true;
      run->probe_id = view.message_id;
      return;
    }
  g_array_append_val (run->flows, flow_id);
  run->last_flow = flow_id;
  g_byte_array_set_size (run->last_delivery, 0);
  g_byte_array_append (run->last_delivery, data.data, (guint)data.len);
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
          check_send_ (run, action.u.send.data);
          break;
        case RGY_ACTION_DELIVER:
          check_deliver_ (run, action.u.flow.flow_id, action.u.flow.data);
          break;
        case RGY_ACTION_CLOSE_FLOW:
          g_hash_table_add (run->closed, g_memdup2 (&action.u.flow.flow_id,
                                                    sizeof (uint64_t)));
          break;
        case RGY_ACTION_EGRESS:
          /* Only balancers talk to the fabric.  */
          g_assert_not_reached ();
        case RGY_ACTION_SYNC:
        case RGY_ACTION_WRITE_STORE:
        case RGY_ACTION_READ_STORE:
        case RGY_ACTION_LOG:
        case RGY_ACTION_EXIT:
          break;
        }
    }
  rgy_actions_clear (run->actions);
  g_assert (rgy_agent_get_flow_count (run->agent) <= CONNECTIONS);
}

static void
check_state_ (const struct run *run)
{
  char *text = rgy_agent_format_status (run->agent);
  json_t *json = json_loads (text, 0, NULL);

  g_assert (json_is_object (json));
  json_decref (json);
  g_free (text);
}

/* Steps.  */

static void
from_instance_ (struct run *run, struct rgy_endpoint from,
                struct rgy_bytes datagram)
{
  rgy_agent_from_instance (run->agent, from, datagram, run->now_us,
                           run->actions);
}

static void
send_to_agent_ (struct run *run, const struct rgy_message *m)
{
  struct rgy_bytes bytes = rgy_wire_encode (run->wire, m);
  uint8_t *copy = g_memdup2 (bytes.data, bytes.len);

  from_instance_ (run, balancer_,
                  (struct rgy_bytes){ .data = copy, .len = bytes.len });
  g_free (copy);
}

static void
from_caller_ (struct run *run, uint8_t caller, struct rgy_bytes payload)
{
  struct rgy_message *m = run->message;

  memset (m, 0, sizeof *m);
  m->kind = RGY_MSG_DATA;
  m->u.data = (struct rgy_data_message){
    .caller = { .ip = CALLER_IP, .port = (uint16_t)(1000 + caller % 16) },
    .service = service_,
    .customer = rgy_name_from_c ("rodaforte"),
    .contract_revision = 5,
    .balancer = balancer_,
    /* Already passed on by the peer, so that the flow opens here.  */
    .trail = { .visited = { rgy_name_from_c ("agent-2") }, .count = 1 },
    .payload = payload
  };
  send_to_agent_ (run, m);
}

static void
from_caller_with_echo_ (struct run *run, uint8_t caller,
                        struct rgy_bytes payload)
{
  struct rgy_coap_option echo = { .number = RGY_COAP_OPTION_ECHO,
                                  .value = fuzz_borrow (run->last_echo) };
  struct rgy_coap_header header;
  struct rgy_coap_view view;
  GByteArray *built;

  if (rgy_coap_parse (payload, &view) != RGY_OK || view.code == 0
      || run->last_echo->len == 0)
    return;
  header = (struct rgy_coap_header){ .type = view.type,
                                     .code = view.code,
                                     .message_id = view.message_id,
                                     .token = view.token };
  built = rgy_coap_rewrite (&view, &header, &echo, 1);
  from_caller_ (run, caller, fuzz_borrow (built));
  g_byte_array_unref (built);
}

static uint64_t
choose_flow_ (const struct run *run, uint8_t number)
{
  if (run->flows->len == 0)
    return number;
  return g_array_index (run->flows, uint64_t, number % run->flows->len);
}

static void
answer_last_ (struct run *run, struct rgy_bytes data, bool notify)
{
  struct rgy_coap_header header
      = { .type = notify ? RGY_COAP_NON : RGY_COAP_ACK };
  uint32_t sequence = notify && data.len > 0 ? data.data[0] : 6;
  struct rgy_coap_uint room;
  struct rgy_coap_option observe
      = rgy_coap_uint_option (RGY_COAP_OPTION_OBSERVE, sequence, &room);
  struct rgy_coap_view view;
  GByteArray *built;

  if (data.len == 0
      || rgy_coap_parse (fuzz_borrow (run->last_delivery), &view) != RGY_OK
      || view.code == 0)
    return;
  header.code
      = notify || data.data[0] == 0 ? RGY_COAP_CODE (2, 5) : data.data[0];
  header.message_id = notify ? (uint16_t)(sequence + 1) : view.message_id;
  header.token = view.token;
  built = rgy_coap_build (
      &header, &observe, notify || view.has_observe ? 1 : 0,
      (struct rgy_bytes){ .data = data.data + 1, .len = data.len - 1 });
  rgy_agent_from_backend (run->agent, run->last_flow, fuzz_borrow (built),
                          run->now_us, run->actions);
  g_byte_array_unref (built);
}

static void
answer_probe_ (struct run *run)
{
  GByteArray *reset;

  if (!run->probed)
    return;
  run->probed = false;
  reset = rgy_coap_build_empty (RGY_COAP_RST, run->probe_id);
  rgy_agent_from_backend (run->agent, RGY_PROBE_FLOW_ID, fuzz_borrow (reset),
                          run->now_us, run->actions);
  g_byte_array_unref (reset);
}

/* Time passes.  The backend server answers probes in even milliseconds
   only.  */
static void
tick_ (struct run *run, unsigned ms)
{
  run->now_us += ms * RGY_US_PER_MS;
  if (ms % 2 == 0)
    answer_probe_ (run);
  rgy_agent_tick (run->agent, run->now_us, run->actions);
}

static void
acknowledge_ (struct run *run, bool accepted)
{
  struct rgy_message *m = run->message;

  memset (m, 0, sizeof *m);
  m->kind = RGY_MSG_HANDOVER_ACK;
  m->u.handover_ack
      = (struct rgy_handover_ack_message){ .from = rgy_name_from_c ("agent-2"),
                                           .transfer_id = run->last_transfer,
                                           .accepted = accepted };
  send_to_agent_ (run, m);
}

static void
run_sealed_ (struct run *run, uint8_t operation, struct rgy_bytes body)
{
  GByteArray *sealed = fuzz_seal (body);

  if (operation == OP_SYNC_REPLY)
    rgy_agent_apply_sync (run->agent, fuzz_borrow (sealed), run->now_us,
                          run->actions);
  else
    from_instance_ (run, peer_, fuzz_borrow (sealed));
  g_byte_array_unref (sealed);
}

static void
run_step_ (struct run *run, uint8_t operation, struct rgy_bytes data)
{
  uint8_t number = data.len > 0 ? data.data[0] : 0;
  struct rgy_bytes rest = data;

  if (data.len > 0)
    rest = (struct rgy_bytes){ .data = data.data + 1, .len = data.len - 1 };
  switch (operation % OP_COUNT)
    {
    case OP_RAW:
      from_instance_ (run, peer_, data);
      break;
    case OP_TICK:
      tick_ (run, data.len < 2 ? 0 : data.data[0] << 8 | data.data[1]);
      break;
    case OP_CALLER:
      from_caller_ (run, number, rest);
      break;
    case OP_ECHO:
      from_caller_with_echo_ (run, number, rest);
      break;
    case OP_BACKEND:
      rgy_agent_from_backend (run->agent, choose_flow_ (run, number), rest,
                              run->now_us, run->actions);
      break;
    case OP_ANSWER:
      answer_last_ (run, data, false);
      break;
    case OP_NOTIFY:
      answer_last_ (run, data, true);
      break;
    case OP_REFUSED:
      rgy_agent_backend_refused (run->agent, choose_flow_ (run, number),
                                 run->now_us, run->actions);
      break;
    case OP_ACKNOWLEDGE:
      acknowledge_ (run, data.len == 0);
      break;
    case OP_DRAIN:
      rgy_agent_start_drain (run->agent, run->now_us, run->actions);
      break;
    default:
      run_sealed_ (run, operation % OP_COUNT, data);
      break;
    }
}

/* Start.  */

static void
tell_entries_ (struct run *run)
{
  struct rgy_agent_record record = { .id = rgy_name_from_c ("agent-2"),
                                     .epoch = 2,
                                     .sequence = 2,
                                     .state = RGY_MEMBER_READY,
                                     .domain = rgy_name_from_c ("poa-b"),
                                     .endpoint = peer_,
                                     .service = service_ };
  GByteArray *bytes = rgy_agent_record_encode (&record);
  struct rgy_entry contract = { .class = RGY_ENTRY_CONTRACT,
                                .key = rgy_name_from_c ("rodaforte"),
                                .version = { .major = 5 },
                                .value = text_bytes_ (contract_) };
  struct rgy_entry agent = { .class = RGY_ENTRY_AGENT,
                             .key = record.id,
                             .version = { .major = 2, .minor = 2 },
                             .value = fuzz_borrow (bytes) };
  struct rgy_message *m = run->message;

  message_sample_fill (RGY_MSG_ENTRIES, m);
  m->u.entries.count = 2;
  m->u.entries.entries[0] = &contract;
  m->u.entries.entries[1] = &agent;
  send_to_agent_ (run, m);
  g_byte_array_unref (bytes);
}

/* An acknowledgement with the agent's own digests ends its start.  */
static void
tell_synced_ (struct run *run)
{
  const struct rgy_blackboard *bb = rgy_agent_get_blackboard (run->agent);
  struct rgy_message *m = run->message;

  memset (m, 0, sizeof *m);
  m->kind = RGY_MSG_HEARTBEAT_ACK;
  m->u.heartbeat_ack.balancer = rgy_name_from_c ("balancer-1");
  m->u.heartbeat_ack.digests.of[RGY_ENTRY_CONTRACT]
      = rgy_replica_get_digest (bb->replica, RGY_ENTRY_CONTRACT);
  m->u.heartbeat_ack.digests.of[RGY_ENTRY_DOMAIN]
      = rgy_replica_get_digest (bb->replica, RGY_ENTRY_DOMAIN);
  m->u.heartbeat_ack.digests.of[RGY_ENTRY_AGENT]
      = rgy_blackboard_get_group_digest (bb, service_);
  m->u.heartbeat_ack.sample_count = 1;
  m->u.heartbeat_ack.sample[0]
      = (struct rgy_balancer_record){ .id = rgy_name_from_c ("balancer-1"),
                                      .epoch = 1,
                                      .sequence = 2,
                                      .state = RGY_MEMBER_READY,
                                      .domain = rgy_name_from_c ("poa-b"),
                                      .endpoint = balancer_ };
  send_to_agent_ (run, m);
}

/* Reservations need the claims of all peers.  */
static void
tell_peer_state_ (struct run *run, uint64_t sequence)
{
  struct rgy_message *m = run->message;

  memset (m, 0, sizeof *m);
  m->kind = RGY_MSG_PEER_STATE;
  m->u.peer_state = (struct rgy_peer_state_message){
    .from = rgy_name_from_c ("agent-2"),
    .epoch = 2,
    .sequence = sequence,
    .can_accept = true,
    .usage = { { .customer = rgy_name_from_c ("rodaforte"),
                 .open_flows = 10,
                 .new_flows_per_s = 1,
                 .requests = 2 } },
    .usage_count = 1
  };
  send_to_agent_ (run, m);
}

static void
start_ (struct run *run)
{
  struct rgy_agent_settings settings
      = { .id = rgy_name_from_c ("agent-1"),
          .domain = rgy_name_from_c ("poa-a"),
          .epoch = 5,
          .endpoint = { .ip = 0x7f000001, .port = 7000 },
          .service = service_,
          .seeds = { balancer_ },
          .seed_count = 1,
          .random_seed = 1,
          .slots = 2,
          .connections = CONNECTIONS,
          .queue_length = 4,
          .deadline_ms = 2000,
          .idle_timeout_us = 30 * RGY_US_PER_S,
          .drain_timeout_us = 5 * RGY_US_PER_S };
  uint64_t i;

  memcpy (settings.key, fuzz_key, sizeof settings.key);
  run->now_us = START_US;
  run->counters = rgy_counters_new ();
  run->agent = rgy_agent_new (&settings, run->counters);
  run->actions = rgy_actions_new ();
  run->wire = rgy_wire_new (fuzz_key);
  run->message = g_new0 (struct rgy_message, 1);
  run->flows = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  run->closed
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  run->last_delivery = g_byte_array_new ();
  run->last_echo = g_byte_array_new ();
  tell_entries_ (run);
  tell_synced_ (run);
  /* An agent reports ready 3 s after it has met its group.  */
  for (i = 1; i <= 8; i++)
    {
      tell_peer_state_ (run, i);
      tell_synced_ (run);
      tick_ (run, 500);
      check_actions_ (run);
    }
  g_assert (rgy_agent_is_ready (run->agent));
}

static void
finish_ (struct run *run)
{
  rgy_agent_delete (run->agent);
  rgy_actions_delete (run->actions);
  rgy_counters_delete (run->counters);
  rgy_wire_delete (run->wire);
  g_free (run->message);
  g_array_unref (run->flows);
  g_hash_table_unref (run->closed);
  g_byte_array_unref (run->last_delivery);
  g_byte_array_unref (run->last_echo);
}

/* Whatever arrives, an agent must not crash, what it sends must be readable
   by its peers, and a flow that has ended stays ended.  */
void
fuzz_run (struct rgy_bytes input)
{
  struct run run = { 0 };
  struct rgy_bytes data;
  uint8_t operation;
  int steps = 0;

  start_ (&run);
  while (steps++ < MAX_STEPS && fuzz_step_next (&input, &operation, &data))
    {
      run_step_ (&run, operation, data);
      check_actions_ (&run);
    }
  rgy_agent_tick (run.agent, run.now_us + RGY_US_PER_S, run.actions);
  check_actions_ (&run);
  check_state_ (&run);
  finish_ (&run);
}
