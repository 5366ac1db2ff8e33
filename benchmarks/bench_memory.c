#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "ragwortyoke/blackboard.h"
#include "ragwortyoke/clock.h"
#include "ragwortyoke/flow.h"
#include "ragwortyoke/request.h"

/* Benchmark of memory.  The program prints the heap bytes of each class of
   replicated entries at the size of the full fleet, with the state derived
   from them, and the heap bytes of a flow: alone, and with the request state
   of a session that has one observation and the deduplication record of one
   POST.  */

#define TOKEN_BYTES 4
#define CALLER_IP 0x64400000
#define IDLE_US (86400 * RGY_US_PER_S)
#define PORTS 60000

static const unsigned flow_counts_[] = { 10000, 100000, 400000 };

/* Bytes that the process has allocated from the heap.  */
static size_t
get_heap_bytes_ (void)
{
  struct mallinfo2 m = mallinfo2 ();

  return m.uordblks + m.hblkhd;
}

struct session_run_
{
  struct rgy_request_engine *engine;
  struct rgy_flow_table *table;
  struct rgy_actions *actions;
  GByteArray *caller_datagram; /* Last datagram to the caller.  */
  /* Sessions with an observation and no outstanding request.  */
  unsigned established_count;
};

static void
store_caller_datagram_ (struct rgy_flow *flow, struct rgy_bytes datagram,
                        void *ctx)
{
  struct session_run_ *r = ctx;

  (void)flow;
  g_byte_array_set_size (r->caller_datagram, 0);
  g_byte_array_append (r->caller_datagram, datagram.data, (guint)datagram.len);
}

static bool
begin_request_ (struct rgy_flow *flow, void *ctx)
{
  (void)flow;
  (void)ctx;
  return true;
}

static void
end_request_ (struct rgy_flow *flow, void *ctx)
{
  (void)flow;
  (void)ctx;
}

static struct rgy_flow *
open_flow_ (struct rgy_flow_table *table, unsigned i)
{
  struct rgy_flow_key key = rgy_flow_key_udp (
      (struct rgy_endpoint){ .ip = CALLER_IP + i / PORTS,
                             .port = (uint16_t)(1024 + i % PORTS) },
      (struct rgy_endpoint){ .ip = 0x7f0a0001, .port = 5683 });
  struct rgy_flow *flow;

  if (rgy_flow_table_open (table, &key, RGY_US_PER_S, &flow) != RGY_OK)
    g_error ("the flow table opened no flow for caller %u", i);
  return flow;
}

/* Passes a confirmable request of a caller to the request engine; @p token is
   the request's token.  */
static void
send_caller_request_ (struct session_run_ *r, struct rgy_flow *flow,
                      uint8_t code, uint16_t message_id, uint32_t token,
                      const struct rgy_coap_option *options,
                      size_t option_count)
{
  struct rgy_coap_header h
      = { .type = RGY_COAP_CON,
          .code = code,
          .message_id = message_id,
          .token = { .data = (const uint8_t *)&token, .len = TOKEN_BYTES } };
  GByteArray *bytes
      = rgy_coap_build (&h, options, option_count, (struct rgy_bytes){ 0 });

  rgy_request_engine_handle_caller_datagram (
      r->engine, flow,
      (struct rgy_bytes){ .data = bytes->data, .len = bytes->len },
      RGY_US_PER_S, r->actions);
  g_byte_array_unref (bytes);
}

/* Answers each request that the engine has delivered to the backend server. */
static void
answer_deliveries_ (struct session_run_ *r, struct rgy_flow *flow)
{
  GPtrArray *answers
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_byte_array_unref);
  struct rgy_coap_uint buffer;
  struct rgy_coap_option observe
      = rgy_coap_uint_option (RGY_COAP_OPTION_OBSERVE, 1, &buffer);
  struct rgy_coap_view view;
  struct rgy_action action;
  size_t i;

  for (i = 0; i < rgy_actions_get_count (r->actions); i++)
    {
      struct rgy_coap_header h = { .type = RGY_COAP_ACK };

      action = rgy_actions_get (r->actions, i);
      if (action.kind != RGY_ACTION_DELIVER
          || rgy_coap_parse (action.u.flow.data, &view) != RGY_OK)
        continue;
      h.code = view.has_observe ? RGY_COAP_CODE (2, 5) : RGY_COAP_CODE (2, 4);
      h.message_id = view.message_id;
      h.token = view.token;
      g_ptr_array_add (answers,
                       rgy_coap_build (&h, &observe, view.has_observe ? 1 : 0,
                                       (struct rgy_bytes){ 0 }));
    }
  rgy_actions_clear (r->actions);
  for (i = 0; i < answers->len; i++)
    {
      const GByteArray *a = answers->pdata[i];

      rgy_request_engine_handle_backend_datagram (
          r->engine, flow,
          (struct rgy_bytes){ .data = a->data, .len = a->len }, RGY_US_PER_S,
          r->actions);
    }
  rgy_actions_clear (r->actions);
  g_ptr_array_unref (answers);
}

/* Registers an observation, then posts a record.  The engine answers the first
   POST with an Echo value, which the second POST carries.  */
static void
establish_session_ (struct session_run_ *r, struct rgy_flow *flow)
{
  struct rgy_coap_option observe = { .number = RGY_COAP_OPTION_OBSERVE };
  struct rgy_coap_option echo = { .number = RGY_COAP_OPTION_ECHO };
  struct rgy_coap_view view;
  uint8_t value[64];

  send_caller_request_ (r, flow, RGY_COAP_CODE (0, 1), 1, 1, &observe, 1);
  answer_deliveries_ (r, flow);
  send_caller_request_ (r, flow, RGY_COAP_CODE (0, 2), 2, 2, NULL, 0);
  rgy_actions_clear (r->actions);
  if (rgy_coap_parse ((struct rgy_bytes){ .data = r->caller_datagram->data,
                                          .len = r->caller_datagram->len },
                      &view)
          != RGY_OK
      || !view.has_echo || view.echo.len > sizeof value)
    g_error ("the answer to the first POST has no valid Echo option");
  memcpy (value, view.echo.data, view.echo.len);
  echo.value = (struct rgy_bytes){ .data = value, .len = view.echo.len };
  send_caller_request_ (r, flow, RGY_COAP_CODE (0, 2), 3, 3, &echo, 1);
  answer_deliveries_ (r, flow);
  if (rgy_request_engine_get_observations (flow) == 1
      && rgy_request_engine_get_outstanding (flow) == 0)
    r->established_count++;
}

static bool
release_flow_state_ (struct rgy_flow *flow, void *ctx)
{
  rgy_request_engine_release_flow (((struct session_run_ *)ctx)->engine, flow);
  return true;
}

/* Opens @p count flows, establishes a session on each and prints the memory of
   both.  */
static void
measure_flows_ (unsigned count)
{
  struct rgy_counters *counters = rgy_counters_new ();
  struct rgy_request_settings settings
      = { .epoch = 1,
          .deadline_ms = 2000,
          .admission = { .slots = 1024, .queue_length = 16 },
          .echo_required = true,
          .counters = counters };
  struct session_run_ r = { .engine = rgy_request_engine_new (&settings),
                            .actions = rgy_actions_new (),
                            .caller_datagram = g_byte_array_new () };
  struct rgy_request_hooks hooks = { .to_caller = store_caller_datagram_,
                                     .begin_request = begin_request_,
                                     .end_request = end_request_,
                                     .ctx = &r };
  struct rgy_flow **flows = g_new (struct rgy_flow *, count);
  size_t heap_before;
  size_t flow_bytes;
  size_t session_bytes;
  unsigned i;

  rgy_request_engine_set_hooks (r.engine, &hooks);
  heap_before = get_heap_bytes_ ();
  r.table = rgy_flow_table_new (count, IDLE_US);
  for (i = 0; i < count; i++)
    flows[i] = open_flow_ (r.table, i);
  flow_bytes = get_heap_bytes_ () - heap_before;
  for (i = 0; i < count; i++)
    establish_session_ (&r, flows[i]);
  session_bytes = get_heap_bytes_ () - heap_before - flow_bytes;
  printf ("%6u flows: %.0f B per flow; with %u observations and as many "
          "deduplication records %.0f B more, %.0f B in all; total %.1f MB\n",
          count, (double)flow_bytes / count, r.established_count,
          (double)session_bytes / count,
          (double)(flow_bytes + session_bytes) / count,
          (double)(flow_bytes + session_bytes) / 1e6);
  rgy_flow_table_foreach (r.table, release_flow_state_, &r);
  rgy_flow_table_delete (r.table);
  g_free (flows);
  g_byte_array_unref (r.caller_datagram);
  rgy_actions_delete (r.actions);
  rgy_request_engine_delete (r.engine);
  rgy_counters_delete (counters);
}

/* Numbers of entries in the full fleet.  */
#define FULL_CONTRACTS 142
#define FULL_SERVICES 710
#define FULL_AGENTS 3400
#define FULL_BALANCERS 460

static struct rgy_name
make_name_ (const char *prefix, unsigned i)
{
  char text[RGY_NAME_MAX_BYTES];

  g_snprintf (text, sizeof text, "%s-%04u", prefix, i);
  return rgy_name_from_c (text);
}

static void
add_contract_ (struct rgy_blackboard *bb, unsigned i)
{
  struct rgy_entry entry = { .class = RGY_ENTRY_CONTRACT,
                             .key = make_name_ ("customer", i),
                             .version = { .major = 1 } };
  GString *json = g_string_new (NULL);
  unsigned s;

  g_string_append_printf (
      json,
      "{\"customer\":\"%s\",\"callers\":[\"10.%u.%u.0/24\"],"
      "\"limits\":{\"bytes_per_second\":100000000},"
      "\"services\":[",
      entry.key.data, i >> 8, i & 255);
  for (s = i; s < FULL_SERVICES; s += FULL_CONTRACTS)
    g_string_append_printf (
        json,
        "%s{\"name\":\"service-%u\",\"address\":\"12.0.%u.%u:5683\","
        "\"protocol\":\"coap\",\"limits\":{\"open_flows\":20000,"
        "\"requests_in_flight\":100}}",
        s == i ? "" : ",", s, s >> 8, s & 255);
  g_string_append (json, "]}");
  entry.value = (struct rgy_bytes){ .data = (const uint8_t *)json->str,
                                    .len = json->len };
  if (rgy_blackboard_apply_unqueued (bb, &entry) != RGY_OK)
    g_error ("the blackboard did not apply the contract");
  g_string_free (json, TRUE);
}

static void
add_agent_ (struct rgy_blackboard *bb, unsigned i)
{
  struct rgy_agent_record r
      = { .id = make_name_ ("agent", i),
          .epoch = 1,
          .sequence = 2,
          .state = RGY_MEMBER_READY,
          .domain = make_name_ ("domain", i % 6),
          .endpoint = { .ip = 0x0b000000 + i, .port = 7000 },
          .service = { .ip = 0x0c000000 + i % FULL_SERVICES, .port = 5683 } };

  rgy_blackboard_apply_agent (bb, &r);
}

static void
add_balancer_ (struct rgy_blackboard *bb, unsigned i)
{
  struct rgy_endpoint e = { .ip = 0x0a000000 + i, .port = 7000 };
  struct rgy_balancer_record r = { .id = make_name_ ("balancer", i),
                                   .epoch = 1,
                                   .sequence = 2,
                                   .state = RGY_MEMBER_READY,
                                   .domain = make_name_ ("domain", i % 6),
                                   .endpoint = e,
                                   .sync = e,
                                   .http = e };

  rgy_blackboard_apply_balancer (bb, &r);
}

/* Adds @p count entries of one class and prints the memory that they use.  */
static void
measure_class_ (struct rgy_blackboard *bb, const char *what, unsigned count,
                void (*add) (struct rgy_blackboard *bb, unsigned i))
{
  size_t before = get_heap_bytes_ ();
  size_t replica = rgy_replica_get_memory (bb->replica);
  unsigned i;

  for (i = 0; i < count; i++)
    add (bb, i);
  printf ("%4u %s entries: %.0f B each, of which %.0f B in the replica; %.2f "
          "MB\n",
          count, what, (double)(get_heap_bytes_ () - before) / count,
          (double)(rgy_replica_get_memory (bb->replica) - replica) / count,
          (double)(get_heap_bytes_ () - before) / 1e6);
}

static void
measure_entry_classes_ (void)
{
  struct rgy_counters *counters = rgy_counters_new ();
  struct rgy_blackboard *bb = rgy_blackboard_new (counters);

  measure_class_ (bb, "contract", FULL_CONTRACTS, add_contract_);
  measure_class_ (bb, "agent", FULL_AGENTS, add_agent_);
  measure_class_ (bb, "balancer", FULL_BALANCERS, add_balancer_);
  rgy_blackboard_delete (bb);
  rgy_counters_delete (counters);
}

int
main (void)
{
  size_t i;

  measure_entry_classes_ ();

  for (i = 0; i < G_N_ELEMENTS (flow_counts_); i++)
    measure_flows_ (flow_counts_[i]);
  return 0;
}
