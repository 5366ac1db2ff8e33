#include "fixture.h"

#define DEADLINE_MS 2000
#define CALLER_IP 0x7f000001
#define SERVICE_IP 0x7f000a01
#define SERVICE_PORT 5683
#define FIRST_CALLER_PORT 10000

static struct rgy_bytes
bytes_of_ (const GByteArray *array)
{
  return (struct rgy_bytes){ .data = array->data, .len = array->len };
}

static void
message_free_ (void *data)
{
  struct message *m = data;

  g_byte_array_unref (m->bytes);
  g_free (m);
}

/* Parses a datagram of the engine; the test fails when it is
   not valid CoAP.  */
static struct message *
message_new_ (struct rgy_bytes datagram)
{
  struct message *m = g_new0 (struct message, 1);

  m->bytes = g_byte_array_new ();
  g_byte_array_append (m->bytes, datagram.data, (guint)datagram.len);
  assert_int_equal (rgy_coap_parse (bytes_of_ (m->bytes), &m->view), RGY_OK);
  return m;
}

static void
to_caller_ (struct rgy_flow *flow, struct rgy_bytes datagram, void *ctx)
{
  struct agent *agent = ctx;
  struct message *m = message_new_ (datagram);

  m->flow = flow;
  g_ptr_array_add (agent->to_caller, m);
}

static bool
begin_request_ (struct rgy_flow *flow, void *ctx)
{
  struct agent *agent = ctx;

  (void)flow;
  if (agent->in_flight >= agent->limit)
    return false;
  agent->in_flight++;
  return true;
}

static void
end_request_ (struct rgy_flow *flow, void *ctx)
{
  struct agent *agent = ctx;

  (void)flow;
  agent->in_flight--;
  assert_true (agent->in_flight >= 0);
}

struct agent *
agent_new (uint64_t epoch, bool cold_start)
{
  struct agent *agent = g_new0 (struct agent, 1);
  struct rgy_request_settings settings = {
    .epoch = epoch,
    .echo_key = { 1, 2, 3 },
    .deadline_ms = DEADLINE_MS,
    .admission
    = { .slots = SLOTS, .queue_length = QUEUE, .cold_start = cold_start },
    .echo_required = true
  };
  struct rgy_request_hooks hooks = { .to_caller = to_caller_,
                                     .begin_request = begin_request_,
                                     .end_request = end_request_,
                                     .ctx = agent };

  agent->epoch = epoch;
  agent->limit = INT_MAX;
  agent->counters = rgy_counters_new ();
  settings.counters = agent->counters;
  agent->engine = rgy_request_engine_new (&settings);
  rgy_request_engine_set_hooks (agent->engine, &hooks);
  agent->actions = rgy_actions_new ();
  agent->to_backend = g_ptr_array_new_with_free_func (message_free_);
  agent->to_caller = g_ptr_array_new_with_free_func (message_free_);
  return agent;
}

void
agent_delete (struct agent *agent)
{
  rgy_request_engine_delete (agent->engine);
  rgy_counters_delete (agent->counters);
  rgy_actions_delete (agent->actions);
  g_ptr_array_unref (agent->to_backend);
  g_ptr_array_unref (agent->to_caller);
  g_free (agent);
}

struct rgy_admission *
agent_get_admission (struct agent *agent)
{
  return rgy_request_engine_get_admission (agent->engine);
}

uint64_t
agent_get_counter (struct agent *agent, const char *name)
{
  return rgy_counters_get (agent->counters, name, NULL);
}

void
agent_collect_deliveries (struct agent *agent)
{
  size_t i;

  for (i = 0; i < rgy_actions_get_count (agent->actions); i++)
    {
      struct rgy_action action = rgy_actions_get (agent->actions, i);
      struct message *m;

      assert_int_equal (action.kind, RGY_ACTION_DELIVER);
      m = message_new_ (action.u.flow.data);
      m->flow_id = action.u.flow.flow_id;
      g_ptr_array_add (agent->to_backend, m);
    }
  rgy_actions_clear (agent->actions);
}

void
agent_from_caller (struct agent *agent, struct rgy_flow *flow,
                   const GByteArray *datagram, int64_t now_us)
{
  rgy_request_engine_handle_caller_datagram (
      agent->engine, flow, bytes_of_ (datagram), now_us, agent->actions);
  agent_collect_deliveries (agent);
}

void
agent_from_backend (struct agent *agent, struct rgy_flow *flow,
                    const GByteArray *datagram, int64_t now_us)
{
  rgy_request_engine_handle_backend_datagram (
      agent->engine, flow, bytes_of_ (datagram), now_us, agent->actions);
  agent_collect_deliveries (agent);
}

void
agent_run_timers (struct agent *agent, int64_t now_us)
{
  rgy_request_engine_tick (agent->engine, now_us, agent->actions);
  agent_collect_deliveries (agent);
}

struct rgy_flow
flow_make (uint64_t id)
{
  struct rgy_flow flow = { .id = id, .bucket = (unsigned)(id % 2) };

  flow.key.kind = RGY_FLOW_KEY_UDP;
  flow.key.u.udp.caller.ip = CALLER_IP;
  flow.key.u.udp.caller.port = (uint16_t)(FIRST_CALLER_PORT + id);
  flow.key.u.udp.service.ip = SERVICE_IP;
  flow.key.u.udp.service.port = SERVICE_PORT;
  return flow;
}

struct rgy_flow *
flow_new (uint64_t id)
{
  struct rgy_flow *flow = g_new (struct rgy_flow, 1);

  *flow = flow_make (id);
  return flow;
}

const struct message *
last_to_backend (const struct agent *agent)
{
  assert_true (agent->to_backend->len > 0);
  return g_ptr_array_index (agent->to_backend, agent->to_backend->len - 1);
}

const struct message *
last_to_caller (const struct agent *agent)
{
  assert_true (agent->to_caller->len > 0);
  return g_ptr_array_index (agent->to_caller, agent->to_caller->len - 1);
}

void
clear_messages (struct agent *agent)
{
  g_ptr_array_set_size (agent->to_backend, 0);
  g_ptr_array_set_size (agent->to_caller, 0);
}

GByteArray *
build_request (const struct request_spec *spec)
{
  struct rgy_coap_header header
      = { .type = spec->type,
          .code = spec->code,
          .message_id = spec->message_id,
          .token = { .data = (const uint8_t *)spec->token,
                     .len = spec->token != NULL ? strlen (spec->token) : 0 } };
  struct rgy_coap_option options[4];
  struct rgy_coap_uint rooms[2];
  size_t count = 0;

  if (spec->observe >= 0)
    options[count++] = rgy_coap_uint_option (
        RGY_COAP_OPTION_OBSERVE, (uint32_t)spec->observe, &rooms[0]);
  if (spec->text != NULL)
    options[count++]
        = (struct rgy_coap_option){ .number = QUERY_OPTION,
                                    .value
                                    = { .data = (const uint8_t *)spec->text,
                                        .len = strlen (spec->text) } };
  if (spec->echo.len > 0)
    options[count++]
        = (struct rgy_coap_option){ .number = RGY_COAP_OPTION_ECHO,
                                    .value = spec->echo };
  if (spec->deadline_ms > 0)
    options[count++] = rgy_coap_uint_option (RGY_COAP_OPTION_DEADLINE_MS,
                                             spec->deadline_ms, &rooms[1]);
  return rgy_coap_build (&header, options, count, (struct rgy_bytes){ 0 });
}

char *
get_query_text (const struct rgy_coap_view *view)
{
  struct rgy_coap_cursor cursor = { 0 };
  struct rgy_coap_option option;

  while (rgy_coap_next_option (view, &cursor, &option))
    if (option.number == QUERY_OPTION)
      return g_strndup ((const char *)option.value.data, option.value.len);
  return g_strdup ("");
}

GByteArray *
build_answer (const struct rgy_coap_view *request, enum rgy_coap_type type,
              uint16_t message_id, uint8_t code, int observe)
{
  struct rgy_coap_header header
      = { .type = type,
          .code = code,
          .message_id
          = type == RGY_COAP_ACK ? request->message_id : message_id,
          .token = request->token };
  char *text = get_query_text (request);
  struct rgy_coap_option option;
  struct rgy_coap_uint room;
  GByteArray *out;

  if (observe >= 0)
    option = rgy_coap_uint_option (RGY_COAP_OPTION_OBSERVE, (uint32_t)observe,
                                   &room);
  out = rgy_coap_build (&header, &option, observe >= 0 ? 1 : 0,
                        (struct rgy_bytes){ .data = (const uint8_t *)text,
                                            .len = strlen (text) });
  g_free (text);
  return out;
}

bool
payload_equals (const struct rgy_coap_view *view, const char *text)
{
  return view->payload.len == strlen (text)
         && memcmp (view->payload.data, text, view->payload.len) == 0;
}

GBytes *
get_echo (struct agent *agent, struct rgy_flow *flow, int64_t now_us)
{
  struct request_spec spec = { .code = POST,
                               .message_id = 0xfff0,
                               .token = "echo",
                               .text = "challenged",
                               .observe = -1 };
  GByteArray *request = build_request (&spec);
  guint delivered = agent->to_backend->len;
  const struct message *m;

  agent_from_caller (agent, flow, request, now_us);
  g_byte_array_unref (request);
  assert_int_equal (agent->to_backend->len, delivered);
  m = last_to_caller (agent);
  assert_int_equal (m->view.code, RGY_COAP_CODE (4, 1));
  assert_true (m->view.has_echo);
  return g_bytes_new (m->view.echo.data, m->view.echo.len);
}

struct rgy_bytes
echo_bytes (GBytes *echo)
{
  gsize len;
  const uint8_t *data = g_bytes_get_data (echo, &len);

  return (struct rgy_bytes){ .data = data, .len = len };
}
