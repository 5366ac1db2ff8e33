#include <jansson.h>
#include <string.h>

#include "fuzz.h"
#include "message_samples.h"
#include "ragwortyoke/agent.h"
#include "ragwortyoke/clock.h"

/* Fuzz target of the agent core.  An input is a sequence of steps for an agent
   that is ready and has a contract, one peer and one balancer.  */

enum operation
{
  OP_MESSAGE,      /* Body of a peer's message; the step adds a valid tag.  */
  OP_RAW_DATAGRAM, /* Whole datagram from a peer.  */
  OP_TICK,         /* Milliseconds that pass, in two bytes.  */
  /* Number of the caller and its datagram.  */
  OP_CALLER_DATAGRAM,
  /* Number of the caller and its request, which gets the last Echo option.  */
  OP_CALLER_WITH_ECHO,
  /* Number of a flow and a datagram of the backend server.  */
  OP_BACKEND_DATAGRAM,
  /* Code and payload of the answer to the last delivery.  */
  OP_BACKEND_ANSWER,
  /* Observe value and payload of a notification for the last delivery.  */
  OP_BACKEND_NOTIFICATION,
  /* Number of a flow whose socket the backend server refuses.  */
  OP_SOCKET_REFUSED,
  OP_SYNC_REPLY, /* Body of a reply; the step adds a valid tag.  */
  /* The peer accepts the last handover, or refuses it if there is data.  */
  OP_HANDOVER_ACK,
  OP_DRAIN, /* The agent starts to drain.  */
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
static const char domain_order_[]
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
  GArray *delivery_flow_ids; /* ID of the flow of each delivery, in order.  */
  GHashTable *closed_flow_ids; /* IDs of the flows that have ended.  */
  uint64_t last_flow_id;       /* Flow of the last delivery.  */
  GByteArray *last_delivery;   /* Last datagram to the backend server.  */
  bool probe_pending; /* The backend server has not answered the last probe. */
  uint16_t probe_message_id;
  uint64_t last_transfer_id;
  GByteArray *last_echo; /* Value of the last Echo option to a caller.  */
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
append_tick_ (GByteArray *steps, uint16_t ms)
{
  uint8_t data[] = { (uint8_t)(ms >> 8), (uint8_t)ms };

  fuzz_step_append (steps, OP_TICK,
                    (struct rgy_bytes){ .data = data, .len = sizeof data });
}

/* Appends a step with a caller's request; the caller's number also serves as
   the token.  */
static void
append_request_ (GByteArray *steps, uint8_t operation, uint8_t caller,
                 uint8_t method, uint16_t message_id, bool observe)
{
  struct rgy_coap_uint buffers[2];
  struct rgy_coap_option options[]
      = { rgy_coap_uint_option (RGY_COAP_OPTION_OBSERVE, 0, &buffers[0]),
          { .number = 11, .value = get_text_bytes_ ("board") },
          rgy_coap_uint_option (RGY_COAP_OPTION_DEADLINE_MS, 1500,
                                &buffers[1]) };
  struct rgy_coap_header header = { .type = RGY_COAP_CON,
                                    .code = method,
                                    .message_id = message_id,
                                    .token = { .data = &caller, .len = 1 } };
  GByteArray *built
      = rgy_coap_build (&header, observe ? options : options + 1,
                        observe ? 3 : 2, (struct rgy_bytes){ 0 });

  g_byte_array_prepend (built, &caller, 1);
  fuzz_step_append (steps, operation, fuzz_view_array (built));
  g_byte_array_unref (built);
}

static void
append_answer_ (GByteArray *steps, uint8_t code)
{
  uint8_t data[] = { code, 'o', 'k' };

  fuzz_step_append (steps, OP_BACKEND_ANSWER,
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
  append_message_ (steps, wire, OP_MESSAGE, m);
}

/* Appends the handover of a flow with an observation, a deduplication record
   and an Echo epoch.  */
static void
append_handover_ (GByteArray *steps, struct rgy_wire *wire,
                  struct rgy_message *m)
{
  /* GET of /board with Observe 0, which registers an observation.  */
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
  m->u.handover.state = fuzz_view_array (bytes);
  append_message_ (steps, wire, OP_MESSAGE, m);
  g_byte_array_unref (bytes);
}

/* Appends a message with a domain order that takes the agent's failure domain
   out.  */
static void
append_domain_order_ (GByteArray *steps, struct rgy_wire *wire,
                      uint8_t operation, enum rgy_message_kind kind,
                      struct rgy_message *m)
{
  struct rgy_entry order = { .class = RGY_ENTRY_DOMAIN,
                             .key = rgy_name_from_c ("poa-a"),
                             .version = { .major = 3, .minor = 1 },
                             .value = get_text_bytes_ (domain_order_) };

  message_sample_fill (kind, m);
  m->u.entries.count = 1;
  m->u.entries.entries[0] = &order;
  append_message_ (steps, wire, operation, m);
}

/* Steps with requests of several callers.  The backend server answers some of
   them, refuses some and leaves some unanswered.  */
static GByteArray *
build_request_steps_ (void)
{
  GByteArray *steps = g_byte_array_new ();
  uint8_t flow = 0;
  uint8_t i;

  append_request_ (steps, OP_CALLER_DATAGRAM, 1, 1, 1, false);
  append_answer_ (steps, RGY_COAP_CODE (2, 5));
  append_request_ (steps, OP_CALLER_DATAGRAM, 2, 2, 2, false);
  append_request_ (steps, OP_CALLER_WITH_ECHO, 2, 2, 3, false);
  append_answer_ (steps, RGY_COAP_CODE (2, 1));
  append_request_ (steps, OP_CALLER_WITH_ECHO, 2, 2, 3, false);
  for (i = 3; i < 8; i++)
    append_request_ (steps, OP_CALLER_DATAGRAM, i, 1, i, false);
  append_answer_ (steps, RGY_COAP_CODE (5, 3));
  fuzz_step_append (steps, OP_SOCKET_REFUSED,
                    (struct rgy_bytes){ .data = &flow, .len = 1 });
  append_tick_ (steps, 600);
  append_tick_ (steps, 1600);
  append_tick_ (steps, 60000);
  return steps;
}

/* Steps that register an observation, notify it and drain the agent, which
   hands the observation over.  */
static GByteArray *
build_observation_steps_ (struct rgy_wire *wire, struct rgy_message *m)
{
  GByteArray *steps = g_byte_array_new ();
  uint8_t i;

  append_peer_state_ (steps, wire, m);
  append_request_ (steps, OP_CALLER_DATAGRAM, 1, 1, 1, true);
  append_answer_ (steps, RGY_COAP_CODE (2, 5));
  for (i = 7; i < 10; i++)
    fuzz_step_append (steps, OP_BACKEND_NOTIFICATION,
                      (struct rgy_bytes){ .data = &i, .len = 1 });
  append_handover_ (steps, wire, m);
  append_answer_ (steps, RGY_COAP_CODE (2, 5));
  fuzz_step_append (steps, OP_DRAIN, (struct rgy_bytes){ 0 });
  append_peer_state_ (steps, wire, m);
  append_tick_ (steps, 50);
  append_tick_ (steps, 2500);
  fuzz_step_append (steps, OP_HANDOVER_ACK, (struct rgy_bytes){ 0 });
  append_tick_ (steps, 200);
  fuzz_step_append (steps, OP_HANDOVER_ACK, (struct rgy_bytes){ 0 });
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

  fuzz_add_seed_array (seeds, build_request_steps_ ());
  fuzz_add_seed_array (seeds, build_observation_steps_ (wire, m));

  /* Messages of all kinds, then an order that takes the failure domain out. */
  steps = g_byte_array_new ();
  append_request_ (steps, OP_CALLER_DATAGRAM, 1, 1, 1, true);
  append_answer_ (steps, RGY_COAP_CODE (2, 5));
  for (kind = 1; kind < RGY_MSG_KIND_COUNT; kind++)
    if (kind != RGY_MSG_HEARTBEAT_ACK)
      {
        message_sample_fill ((enum rgy_message_kind)kind, m);
        append_message_ (steps, wire, OP_MESSAGE, m);
      }
  append_domain_order_ (steps, wire, OP_MESSAGE, RGY_MSG_ENTRIES, m);
  append_request_ (steps, OP_CALLER_DATAGRAM, 1, 1, 2, false);
  append_tick_ (steps, 100);
  fuzz_add_seed_array (seeds, steps);

  /* A synchronisation reply that takes the failure domain out.  */
  steps = g_byte_array_new ();
  append_domain_order_ (steps, wire, OP_SYNC_REPLY, RGY_MSG_SYNC_REPLY, m);
  append_request_ (steps, OP_CALLER_DATAGRAM, 1, 2, 2, false);
  append_tick_ (steps, 100);
  fuzz_add_seed_array (seeds, steps);
  g_free (m);
  rgy_wire_delete (wire);
}

/* Stores the Echo option of an answer for OP_CALLER_WITH_ECHO.  */
static void
store_echo_ (struct run *run, struct rgy_bytes payload)
{
  struct rgy_coap_view view;

  g_assert (rgy_coap_parse (payload, &view) == RGY_OK);
  if (!view.has_echo || view.echo.len == 0)
    return;
  g_byte_array_set_size (run->last_echo, 0);
  g_byte_array_append (run->last_echo, view.echo.data, (guint)view.echo.len);
}

/* Checks a message that the agent sends, and the state in a handover.  */
static void
check_sent_message_ (struct run *run, struct rgy_bytes data)
{
  /* The receiver would drop a message that it cannot decode.  */
  g_assert (rgy_wire_decode (run->wire, data, run->message) == RGY_OK);
  if (run->message->kind == RGY_MSG_ANSWER)
    store_echo_ (run, run->message->u.answer.payload);
  if (run->message->kind == RGY_MSG_HANDOVER)
    {
      struct rgy_handover_state state;

      run->last_transfer_id = run->message->u.handover.transfer_id;
      g_assert (
          rgy_handover_state_decode (run->message->u.handover.state, &state)
          == RGY_OK);
    }
}

/* Checks a datagram to the backend server.  A delivery for a flow that has
   ended would open its socket again.  */
static void
check_delivery_ (struct run *run, uint64_t flow_id, struct rgy_bytes data)
{
  struct rgy_coap_view view;

  g_assert (!g_hash_table_contains (run->closed_flow_ids, &flow_id));
  g_assert (rgy_coap_parse (data, &view) == RGY_OK);
  if (flow_id == RGY_PROBE_FLOW_ID)
    {
      run->probe_pending = true;
      run->probe_message_id = view.message_id;
      return;
    }
  g_array_append_val (run->delivery_flow_ids, flow_id);
  run->last_flow_id = flow_id;
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
          check_sent_message_ (run, action.u.send.data);
          break;
        case RGY_ACTION_DELIVER:
          check_delivery_ (run, action.u.flow.flow_id, action.u.flow.data);
          break;
        case RGY_ACTION_CLOSE_FLOW:
          g_hash_table_add (
              run->closed_flow_ids,
              g_memdup2 (&action.u.flow.flow_id, sizeof (uint64_t)));
          break;
        case RGY_ACTION_EGRESS:
          /* Only balancers send datagrams to the fabric.  */
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
check_status_ (const struct run *run)
{
  char *text = rgy_agent_format_status (run->agent);
  json_t *json = json_loads (text, 0, NULL);

  g_assert (json_is_object (json));
  json_decref (json);
  g_free (text);
}

static void
pass_datagram_ (struct run *run, struct rgy_endpoint from,
                struct rgy_bytes datagram)
{
  rgy_agent_from_instance (run->agent, from, datagram, run->now_us,
                           run->actions);
}

/* Passes a message to the agent in a copy of exactly its length, so that the
   sanitizers detect a read past its end.  */
static void
pass_message_ (struct run *run, const struct rgy_message *m)
{
  struct rgy_bytes bytes = rgy_wire_encode (run->wire, m);
  uint8_t *copy = g_memdup2 (bytes.data, bytes.len);

  pass_datagram_ (run, balancer_,
                  (struct rgy_bytes){ .data = copy, .len = bytes.len });
  g_free (copy);
}

/* Passes a caller's datagram to the agent, as a balancer forwards it.  */
static void
pass_caller_datagram_ (struct run *run, uint8_t caller,
                       struct rgy_bytes payload)
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
    /* The trail names the peer, as if the peer had forwarded the datagram, so
       that this agent opens the flow.  */
    .trail = { .visited = { rgy_name_from_c ("agent-2") }, .count = 1 },
    .payload = payload
  };
  pass_message_ (run, m);
}

/* Passes a caller's request to the agent with the last Echo option added.  */
static void
pass_caller_request_with_echo_ (struct run *run, uint8_t caller,
                                struct rgy_bytes payload)
{
  struct rgy_coap_option echo = { .number = RGY_COAP_OPTION_ECHO,
                                  .value = fuzz_view_array (run->last_echo) };
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
  pass_caller_datagram_ (run, caller, fuzz_view_array (built));
  g_byte_array_unref (built);
}

/* ID of a flow with deliveries, or @p number itself if there is none.  */
static uint64_t
choose_flow_ (const struct run *run, uint8_t number)
{
  if (run->delivery_flow_ids->len == 0)
    return number;
  return g_array_index (run->delivery_flow_ids, uint64_t,
                        number % run->delivery_flow_ids->len);
}

/* Passes the backend server's answer to the last delivery, or a notification
   for it, to the agent.  */
static void
answer_last_delivery_ (struct run *run, struct rgy_bytes data, bool notify)
{
  struct rgy_coap_header header
      = { .type = notify ? RGY_COAP_NON : RGY_COAP_ACK };
  uint32_t sequence = notify && data.len > 0 ? data.data[0] : 6;
  struct rgy_coap_uint buffers;
  struct rgy_coap_option observe
      = rgy_coap_uint_option (RGY_COAP_OPTION_OBSERVE, sequence, &buffers);
  struct rgy_coap_view view;
  GByteArray *built;

  if (data.len == 0
      || rgy_coap_parse (fuzz_view_array (run->last_delivery), &view) != RGY_OK
      || view.code == 0)
    return;
  header.code
      = notify || data.data[0] == 0 ? RGY_COAP_CODE (2, 5) : data.data[0];
  header.message_id = notify ? (uint16_t)(sequence + 1) : view.message_id;
  header.token = view.token;
  built = rgy_coap_build (
      &header, &observe, notify || view.has_observe ? 1 : 0,
      (struct rgy_bytes){ .data = data.data + 1, .len = data.len - 1 });
  rgy_agent_from_backend (run->agent, run->last_flow_id,
                          fuzz_view_array (built), run->now_us, run->actions);
  g_byte_array_unref (built);
}

/* Answers a pending probe with a Reset, as a CoAP server answers a ping.  */
static void
answer_probe_ (struct run *run)
{
  GByteArray *reset;

  if (!run->probe_pending)
    return;
  run->probe_pending = false;
  reset = rgy_coap_build_empty (RGY_COAP_RST, run->probe_message_id);
  rgy_agent_from_backend (run->agent, RGY_PROBE_FLOW_ID,
                          fuzz_view_array (reset), run->now_us, run->actions);
  g_byte_array_unref (reset);
}

/* Advances the time.  The backend server answers a pending probe only if the
   number of milliseconds is even, so that inputs can make it unresponsive.  */
static void
advance_time_ (struct run *run, unsigned ms)
{
  run->now_us += ms * RGY_US_PER_MS;
  if (ms % 2 == 0)
    answer_probe_ (run);
  rgy_agent_tick (run->agent, run->now_us, run->actions);
}

/* Acknowledges the agent's last handover as the peer, which accepts or refuses
   the flow.  */
static void
acknowledge_handover_ (struct run *run, bool accepted)
{
  struct rgy_message *m = run->message;

  memset (m, 0, sizeof *m);
  m->kind = RGY_MSG_HANDOVER_ACK;
  m->u.handover_ack
      = (struct rgy_handover_ack_message){ .from = rgy_name_from_c ("agent-2"),
                                           .transfer_id
                                           = run->last_transfer_id,
                                           .accepted = accepted };
  pass_message_ (run, m);
}

/* Passes a message with the given body and a valid tag to the agent.  */
static void
run_message_body_ (struct run *run, uint8_t operation, struct rgy_bytes body)
{
  GByteArray *tagged = fuzz_build_datagram (body);

  if (operation == OP_SYNC_REPLY)
    rgy_agent_apply_sync (run->agent, fuzz_view_array (tagged), run->now_us,
                          run->actions);
  else
    pass_datagram_ (run, peer_, fuzz_view_array (tagged));
  g_byte_array_unref (tagged);
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
    case OP_RAW_DATAGRAM:
      pass_datagram_ (run, peer_, data);
      break;
    case OP_TICK:
      advance_time_ (run, data.len < 2 ? 0 : data.data[0] << 8 | data.data[1]);
      break;
    case OP_CALLER_DATAGRAM:
      pass_caller_datagram_ (run, number, rest);
      break;
    case OP_CALLER_WITH_ECHO:
      pass_caller_request_with_echo_ (run, number, rest);
      break;
    case OP_BACKEND_DATAGRAM:
      rgy_agent_from_backend (run->agent, choose_flow_ (run, number), rest,
                              run->now_us, run->actions);
      break;
    case OP_BACKEND_ANSWER:
      answer_last_delivery_ (run, data, false);
      break;
    case OP_BACKEND_NOTIFICATION:
      answer_last_delivery_ (run, data, true);
      break;
    case OP_SOCKET_REFUSED:
      rgy_agent_backend_refused (run->agent, choose_flow_ (run, number),
                                 run->now_us, run->actions);
      break;
    case OP_HANDOVER_ACK:
      acknowledge_handover_ (run, data.len == 0);
      break;
    case OP_DRAIN:
      rgy_agent_start_drain (run->agent, run->now_us, run->actions);
      break;
    default:
      run_message_body_ (run, operation % OP_COUNT, data);
      break;
    }
}

/* Sends the contract and the record of the peer to the agent.  */
static void
send_entries_ (struct run *run)
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
                                .value = get_text_bytes_ (contract_) };
  struct rgy_entry agent = { .class = RGY_ENTRY_AGENT,
                             .key = record.id,
                             .version = { .major = 2, .minor = 2 },
                             .value = fuzz_view_array (bytes) };
  struct rgy_message *m = run->message;

  message_sample_fill (RGY_MSG_ENTRIES, m);
  m->u.entries.count = 2;
  m->u.entries.entries[0] = &contract;
  m->u.entries.entries[1] = &agent;
  pass_message_ (run, m);
  g_byte_array_unref (bytes);
}

/* Acknowledges a heartbeat with digests that match the agent's own, which
   completes the agent's start.  */
static void
send_matching_digests_ (struct run *run)
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
  pass_message_ (run, m);
}

/* Sends the state of the peer with its claims.  The agent reserves a part of a
   customer's limit only when it has the claims of all peers.  */
static void
send_peer_state_ (struct run *run, uint64_t sequence)
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
  pass_message_ (run, m);
}

/* Creates the agent and runs it until it is ready.  */
static void
start_agent_ (struct run *run)
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
  run->delivery_flow_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  run->closed_flow_ids
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  run->last_delivery = g_byte_array_new ();
  run->last_echo = g_byte_array_new ();
  send_entries_ (run);
  send_matching_digests_ (run);
  /* An agent reports ready 3 s after it has exchanged states with its
     group.  */
  for (i = 1; i <= 8; i++)
    {
      send_peer_state_ (run, i);
      send_matching_digests_ (run);
      advance_time_ (run, 500);
      check_actions_ (run);
    }
  g_assert (rgy_agent_is_ready (run->agent));
}

static void
free_run_ (struct run *run)
{
  rgy_agent_delete (run->agent);
  rgy_actions_delete (run->actions);
  rgy_counters_delete (run->counters);
  rgy_wire_delete (run->wire);
  g_free (run->message);
  g_array_unref (run->delivery_flow_ids);
  g_hash_table_unref (run->closed_flow_ids);
  g_byte_array_unref (run->last_delivery);
  g_byte_array_unref (run->last_echo);
}

/* Runs the steps of the input.  Whatever an agent receives, it must not crash,
   its peers must be able to decode what it sends, and it must not deliver to a
   flow that has ended.  */
void
fuzz_run_input (struct rgy_bytes input)
{
  struct run run = { 0 };
  struct rgy_bytes data;
  uint8_t operation;
  int steps = 0;

  start_agent_ (&run);
  while (steps++ < MAX_STEPS && fuzz_step_next (&input, &operation, &data))
    {
      run_step_ (&run, operation, data);
      check_actions_ (&run);
    }
  rgy_agent_tick (run.agent, run.now_us + RGY_US_PER_S, run.actions);
  check_actions_ (&run);
  check_status_ (&run);
  free_run_ (&run);
}
