#include "fixture.h"
#include "tests.h"

static void
send_request_ (struct agent *a, struct rgy_flow *flow,
               const struct request_spec *spec, int64_t now_us)
{
  GByteArray *request = build_request (spec);

  agent_from_caller (a, flow, request, now_us);
  g_byte_array_unref (request);
}

static void
send_answer_ (struct agent *a, struct rgy_flow *flow, const struct message *m,
              enum rgy_coap_type type, uint8_t code, int64_t now_us)
{
  GByteArray *answer = build_answer (&m->view, type, 0x7000, code, -1);

  agent_from_backend (a, flow, answer, now_us);
  g_byte_array_unref (answer);
}

static struct request_spec
make_post_ (uint16_t id, const char *text, GBytes *echo)
{
  return (struct request_spec){ .code = POST,
                                .message_id = id,
                                .token = text,
                                .text = text,
                                .observe = -1,
                                .echo = echo != NULL
                                            ? echo_bytes (echo)
                                            : (struct rgy_bytes){ 0 } };
}

static struct request_spec
make_get_ (uint16_t id, const char *text)
{
  return (struct request_spec){
    .code = GET, .message_id = id, .token = text, .text = text, .observe = -1
  };
}

static void
check_last_answer_ (struct agent *a, uint8_t code, const char *text)
{
  const struct message *m = last_to_caller (a);

  assert_int_equal (m->view.code, code);
  if (!payload_equals (&m->view, text))
    fail_msg ("payload is \"%.*s\", expected \"%s\"", (int)m->view.payload.len,
              (const char *)m->view.payload.data, text);
}

/* Guards against a record that is posted twice because of a retransmission or
   a duplicate of the request with the Echo.  */
void
post_runs_once_despite_duplicates (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  GBytes *echo = get_echo (a, &flow, 0);
  struct request_spec without = make_post_ (6, "rec", NULL);
  struct request_spec with = make_post_ (7, "rec", echo);
  GByteArray *first;

  (void)state;
  send_request_ (a, &flow, &without, 0);
  send_request_ (a, &flow, &with, 0);
  assert_int_equal (a->to_backend->len, 1);
  assert_false (last_to_backend (a)->view.has_echo);
  assert_true (last_to_backend (a)->view.has_deadline);
  assert_int_equal (last_to_backend (a)->view.deadline_ms, 2000);
  send_request_ (a, &flow, &with, 300 * MS);
  send_request_ (a, &flow, &with, 900 * MS);
  assert_int_equal (a->to_backend->len, 1);
  assert_int_equal (agent_get_counter (a, "requests_absorbed_total"), 2);
  send_answer_ (a, &flow, last_to_backend (a), RGY_COAP_ACK,
                RGY_COAP_CODE (2, 1), 1000 * MS);
  check_last_answer_ (a, RGY_COAP_CODE (2, 1), "rec");
  first = g_byte_array_ref (last_to_caller (a)->bytes);
  send_request_ (a, &flow, &with, 1500 * MS);
  send_request_ (a, &flow, &without, 1500 * MS);
  send_request_ (a, &flow, &with, 200 * RGY_US_PER_S);
  assert_int_equal (a->to_backend->len, 1);
  assert_int_equal (last_to_caller (a)->bytes->len, first->len);
  assert_memory_equal (last_to_caller (a)->bytes->data, first->data,
                       first->len);
  g_byte_array_unref (first);
  g_bytes_unref (echo);
  rgy_request_engine_release_flow (a->engine, &flow);
  agent_delete (a);
}

/* Guards against a second run of a POST after the agent has restarted without
   its deduplication records.  */
void
post_with_an_echo_of_an_earlier_epoch_is_outcome_unknown (void **state)
{
  struct agent *a = agent_new (1, false);
  struct agent *b = agent_new (2, false);
  struct rgy_flow flow = flow_make (1);
  struct rgy_flow again = flow_make (1);
  GBytes *echo = get_echo (a, &flow, 0);
  struct request_spec spec = make_post_ (7, "rec", echo);

  (void)state;
  send_request_ (a, &flow, &spec, 0);
  assert_int_equal (a->to_backend->len, 1);
  send_request_ (b, &again, &spec, 1000 * MS);
  assert_int_equal (b->to_backend->len, 0);
  check_last_answer_ (b, RGY_COAP_CODE (5, 4), "outcome-unknown: echo");
  /* The fresh Echo in the answer is valid for the next request.  */
  assert_true (last_to_caller (b)->view.has_echo);
  spec = make_post_ (8, "next", NULL);
  spec.echo = last_to_caller (b)->view.echo;
  send_request_ (b, &again, &spec, 1000 * MS);
  assert_int_equal (b->to_backend->len, 1);
  g_bytes_unref (echo);
  rgy_request_engine_release_flow (a->engine, &flow);
  rgy_request_engine_release_flow (b->engine, &again);
  agent_delete (a);
  agent_delete (b);
}

/* Guards against an Echo that is forged or taken from another caller.  */
void
echo_of_another_flow_is_rejected (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  struct rgy_flow other = flow_make (3);
  GBytes *echo = get_echo (a, &flow, 0);
  struct request_spec spec = make_post_ (7, "rec", echo);
  struct rgy_bytes good = echo_bytes (echo);
  uint8_t changed[64];

  (void)state;
  send_request_ (a, &other, &spec, 0);
  check_last_answer_ (a, RGY_COAP_CODE (5, 4), "outcome-unknown: echo");
  assert_in_range (good.len, 1, sizeof changed);
  memcpy (changed, good.data, good.len);
  changed[good.len - 1] ^= 1;
  spec.echo.data = changed;
  send_request_ (a, &flow, &spec, 0);
  check_last_answer_ (a, RGY_COAP_CODE (5, 4), "outcome-unknown: echo");
  spec.echo.len--;
  send_request_ (a, &flow, &spec, 0);
  check_last_answer_ (a, RGY_COAP_CODE (5, 4), "outcome-unknown: echo");
  assert_int_equal (a->to_backend->len, 0);
  g_bytes_unref (echo);
  rgy_request_engine_release_flow (a->engine, &flow);
  rgy_request_engine_release_flow (a->engine, &other);
  agent_delete (a);
}

/* Guards against a second run of a POST at the new owner of a flow, and
   against an unnecessary outcome-unknown there.  */
void
post_runs_once_across_a_handover (void **state)
{
  struct agent *a = agent_new (1, false);
  struct agent *b = agent_new (2, false);
  struct rgy_flow flow = flow_make (1);
  struct rgy_flow moved = flow_make (1);
  GBytes *echo = get_echo (a, &flow, 0);
  struct request_spec done = make_post_ (7, "done", echo);
  struct request_spec undelivered = make_post_ (8, "held", echo);
  struct rgy_handover_state handover;
  guint answers;

  (void)state;
  send_request_ (a, &flow, &done, 0);
  assert_int_equal (rgy_request_engine_export (a->engine, &flow, 0, &handover),
                    RGY_ERR_CONFLICT);
  send_answer_ (a, &flow, last_to_backend (a), RGY_COAP_ACK,
                RGY_COAP_CODE (2, 1), 10 * MS);
  assert_int_equal (
      rgy_request_engine_export (a->engine, &flow, 20 * MS, &handover),
      RGY_OK);
  flow.moving = true;
  /* The request is not among the exported records, so the first agent must no
     longer run it.  */
  answers = a->to_caller->len;
  send_request_ (a, &flow, &undelivered, 25 * MS);
  assert_int_equal (a->to_backend->len, 1);
  assert_int_equal (a->to_caller->len, answers);
  assert_int_equal (rgy_request_engine_import (b->engine, &moved, &handover,
                                               30 * MS, b->actions),
                    RGY_OK);
  agent_collect_deliveries (b);
  rgy_request_engine_release_flow (a->engine, &flow);
  send_request_ (b, &moved, &done, 40 * MS);
  assert_int_equal (b->to_backend->len, 0);
  check_last_answer_ (b, RGY_COAP_CODE (2, 1), "done");
  send_request_ (b, &moved, &undelivered, 50 * MS);
  assert_int_equal (b->to_backend->len, 1);
  g_bytes_unref (echo);
  rgy_request_engine_release_flow (b->engine, &moved);
  agent_delete (a);
  agent_delete (b);
}

/* Guards against a run at the previous owner after the target of a handover,
   which may have accepted the flow and run the request, has died.  */
void
failed_handover_makes_old_echoes_invalid (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  struct rgy_handover_state handover;
  GBytes *echo = get_echo (a, &flow, 0);
  struct request_spec spec = make_post_ (7, "rec", echo);

  (void)state;
  /* The only target refuses the flow: all Echo values stay valid.  */
  assert_int_equal (rgy_request_engine_export (a->engine, &flow, 0, &handover),
                    RGY_OK);
  rgy_request_engine_keep_echo (a->engine, &flow);
  send_request_ (a, &flow, &spec, 0);
  assert_int_equal (a->to_backend->len, 1);
  send_answer_ (a, &flow, last_to_backend (a), RGY_COAP_ACK,
                RGY_COAP_CODE (2, 1), 0);
  /* The state is sent twice and then refused: the target may have accepted the
     first copy.  */
  assert_int_equal (rgy_request_engine_export (a->engine, &flow, 0, &handover),
                    RGY_OK);
  assert_int_equal (rgy_request_engine_export (a->engine, &flow, 0, &handover),
                    RGY_OK);
  rgy_request_engine_keep_echo (a->engine, &flow);
  spec = make_post_ (8, "next", echo);
  send_request_ (a, &flow, &spec, 0);
  assert_int_equal (a->to_backend->len, 1);
  check_last_answer_ (a, RGY_COAP_CODE (5, 4), "outcome-unknown: echo");
  g_bytes_unref (echo);
  echo = get_echo (a, &flow, 0);
  spec = make_post_ (9, "fresh", echo);
  send_request_ (a, &flow, &spec, 0);
  assert_int_equal (a->to_backend->len, 2);
  g_bytes_unref (echo);
  rgy_request_engine_release_flow (a->engine, &flow);
  agent_delete (a);
}

/* Guards against a second run at the first agent when the flow has moved away,
   its new owner has died and the flow is opened at the first agent again in
   the same epoch; and when the flow was closed together with its records.  */
void
reopened_flow_does_not_accept_old_echoes (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  struct rgy_handover_state handover;
  GBytes *echo = get_echo (a, &flow, 0);
  struct request_spec spec = make_post_ (7, "rec", echo);

  (void)state;
  rgy_request_engine_release_flow (a->engine, &flow);
  flow = flow_make (1);
  send_request_ (a, &flow, &spec, 0);
  /* The flow was closed without any record, so the Echo is still valid.  */
  assert_int_equal (a->to_backend->len, 1);
  send_answer_ (a, &flow, last_to_backend (a), RGY_COAP_ACK,
                RGY_COAP_CODE (2, 1), 0);
  rgy_request_engine_release_flow (a->engine, &flow);
  flow = flow_make (1);
  send_request_ (a, &flow, &spec, 0);
  assert_int_equal (a->to_backend->len, 1);
  check_last_answer_ (a, RGY_COAP_CODE (5, 4), "outcome-unknown: echo");
  g_bytes_unref (echo);
  echo = get_echo (a, &flow, 0);
  assert_int_equal (rgy_request_engine_export (a->engine, &flow, 0, &handover),
                    RGY_OK);
  rgy_request_engine_release_flow (a->engine, &flow);
  flow = flow_make (1);
  spec = make_post_ (8, "rec2", echo);
  send_request_ (a, &flow, &spec, 0);
  assert_int_equal (a->to_backend->len, 1);
  check_last_answer_ (a, RGY_COAP_CODE (5, 4), "outcome-unknown: echo");
  g_bytes_unref (echo);
  rgy_request_engine_release_flow (a->engine, &flow);
  agent_delete (a);
}

/* Guards against a second run of a request whose record did not fit into the
   handover.  The caller uses its first Echo for all requests.  */
void
epoch_with_missing_records_is_not_exported (void **state)
{
  struct agent *a = agent_new (1, false);
  struct agent *b = agent_new (2, false);
  struct rgy_flow flow = flow_make (1);
  struct rgy_flow moved = flow_make (1);
  struct rgy_handover_state handover;
  GBytes *echo = get_echo (a, &flow, 0);
  struct request_spec spec;
  uint16_t i;
  size_t k;

  (void)state;
  for (i = 0; i <= RGY_HANDOVER_MAX_RECORDS; i++)
    {
      spec = make_post_ (i, "rec", echo);
      send_request_ (a, &flow, &spec, 0);
      send_answer_ (a, &flow, last_to_backend (a), RGY_COAP_ACK,
                    RGY_COAP_CODE (2, 1), 0);
    }
  assert_int_equal (rgy_request_engine_export (a->engine, &flow, 0, &handover),
                    RGY_OK);
  assert_int_equal (handover.record_count, RGY_HANDOVER_MAX_RECORDS);
  for (k = 0; k < handover.echo_epoch_count; k++)
    {
      uint64_t epoch = GUINT64_TO_BE (handover.echo_epochs[k]);

      assert_memory_not_equal (&epoch, echo_bytes (echo).data, sizeof epoch);
    }
  assert_int_equal (
      rgy_request_engine_import (b->engine, &moved, &handover, 0, b->actions),
      RGY_OK);
  spec = make_post_ (0, "rec", echo);
  send_request_ (b, &moved, &spec, 0);
  check_last_answer_ (b, RGY_COAP_CODE (5, 4), "outcome-unknown: echo");
  spec = make_post_ (RGY_HANDOVER_MAX_RECORDS, "rec", echo);
  send_request_ (b, &moved, &spec, 0);
  check_last_answer_ (b, RGY_COAP_CODE (2, 1), "rec");
  assert_int_equal (b->to_backend->len, 0);
  g_bytes_unref (echo);
  rgy_request_engine_release_flow (a->engine, &flow);
  rgy_request_engine_release_flow (b->engine, &moved);
  agent_delete (a);
  agent_delete (b);
}

/* Guards against an unnecessary outcome-unknown after a planned change for a
   caller that has posted many records and uses the newest Echo it has
   received; and against a second run of any of those records.  */
void
newest_echo_is_accepted_after_a_handover (void **state)
{
  enum
  {
    POSTS = 40
  };
  struct agent *a = agent_new (1, false);
  struct agent *b = agent_new (2, false);
  struct rgy_flow flow = flow_make (1);
  struct rgy_flow moved = flow_make (1);
  struct rgy_handover_state handover;
  GBytes *echoes[POSTS + 1];
  struct request_spec spec;
  int i;

  (void)state;
  echoes[0] = get_echo (a, &flow, 0);
  for (i = 0; i < POSTS; i++)
    {
      spec = make_post_ ((uint16_t)i, "rec", echoes[i]);
      send_request_ (a, &flow, &spec, 0);
      assert_int_equal (a->to_backend->len, i + 1);
      send_answer_ (a, &flow, last_to_backend (a), RGY_COAP_ACK,
                    RGY_COAP_CODE (2, 1), 0);
      echoes[i + 1] = last_to_caller (a)->view.has_echo
                          ? g_bytes_new (last_to_caller (a)->view.echo.data,
                                         last_to_caller (a)->view.echo.len)
                          : g_bytes_ref (echoes[i]);
    }
  assert_int_equal (rgy_request_engine_export (a->engine, &flow, 0, &handover),
                    RGY_OK);
  assert_int_equal (
      rgy_request_engine_import (b->engine, &moved, &handover, 0, b->actions),
      RGY_OK);
  for (i = 0; i < POSTS; i++)
    {
      spec = make_post_ ((uint16_t)i, "rec", echoes[i]);
      send_request_ (b, &moved, &spec, 0);
      assert_int_equal (b->to_backend->len, 0);
    }
  spec = make_post_ (POSTS, "next", echoes[POSTS]);
  send_request_ (b, &moved, &spec, 0);
  assert_int_equal (b->to_backend->len, 1);
  send_answer_ (b, &moved, last_to_backend (b), RGY_COAP_ACK,
                RGY_COAP_CODE (2, 1), 0);
  /* The new owner sends its own Echo.  */
  assert_true (last_to_caller (b)->view.has_echo);
  for (i = 0; i <= POSTS; i++)
    g_bytes_unref (echoes[i]);
  rgy_request_engine_release_flow (a->engine, &flow);
  rgy_request_engine_release_flow (b->engine, &moved);
  agent_delete (a);
  agent_delete (b);
}

/* Guards against an Echo of the backend server that reaches the caller: the
   caller would send it in its next request, which the agent would reject.  */
void
echo_of_the_backend_server_is_removed (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  struct request_spec spec = make_get_ (1, "get");
  struct rgy_coap_option option
      = { .number = RGY_COAP_OPTION_ECHO,
          .value = { .data = (const uint8_t *)"theirs", .len = 6 } };
  struct rgy_coap_header header
      = { .type = RGY_COAP_ACK, .code = RGY_COAP_CODE (2, 5) };
  GByteArray *answer;

  (void)state;
  send_request_ (a, &flow, &spec, 0);
  header.message_id = last_to_backend (a)->view.message_id;
  header.token = last_to_backend (a)->view.token;
  answer = rgy_coap_build (&header, &option, 1, (struct rgy_bytes){ 0 });
  agent_from_backend (a, &flow, answer, 0);
  g_byte_array_unref (answer);
  assert_int_equal (last_to_caller (a)->view.code, RGY_COAP_CODE (2, 5));
  assert_false (last_to_caller (a)->view.has_echo);
  rgy_request_engine_release_flow (a->engine, &flow);
  agent_delete (a);
}

/* Guards against a retransmission that runs after the caller has received
   "not-run" for its request.  */
void
refused_request_does_not_run_later (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  GBytes *echo = get_echo (a, &flow, 0);
  struct request_spec spec;
  uint16_t i;

  (void)state;
  for (i = 0; i < SLOTS + QUEUE; i++)
    {
      spec = make_get_ (i, "load");
      send_request_ (a, &flow, &spec, 0);
    }
  assert_int_equal (a->to_backend->len, SLOTS);
  spec = make_post_ (100, "rec", echo);
  send_request_ (a, &flow, &spec, 0);
  check_last_answer_ (a, RGY_COAP_CODE (5, 3), "not-run: overload");
  for (i = 0; i < SLOTS + QUEUE; i++)
    send_answer_ (a, &flow, g_ptr_array_index (a->to_backend, i), RGY_COAP_ACK,
                  RGY_COAP_CODE (2, 5), 0);
  assert_int_equal (a->to_backend->len, SLOTS + QUEUE);
  assert_int_equal (rgy_admission_get_running (agent_get_admission (a)), 0);
  send_request_ (a, &flow, &spec, 10 * MS);
  assert_int_equal (a->to_backend->len, SLOTS + QUEUE);
  check_last_answer_ (a, RGY_COAP_CODE (5, 3), "not-run: overload");
  g_bytes_unref (echo);
  rgy_request_engine_release_flow (a->engine, &flow);
  agent_delete (a);
}

/* Guards against "not-run" for a PUT that has run, when its duplicate arrives
   while the queue is full.  */
void
answer_to_a_put_is_replayed_when_the_queue_is_full (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  struct request_spec put = make_get_ (50, "put");
  struct request_spec spec;
  uint16_t i;

  (void)state;
  put.code = PUT;
  send_request_ (a, &flow, &put, 0);
  send_answer_ (a, &flow, last_to_backend (a), RGY_COAP_ACK,
                RGY_COAP_CODE (2, 4), 0);
  for (i = 0; i < SLOTS + QUEUE; i++)
    {
      spec = make_get_ (i, "load");
      send_request_ (a, &flow, &spec, 0);
    }
  send_request_ (a, &flow, &put, 0);
  check_last_answer_ (a, RGY_COAP_CODE (2, 4), "put");
  rgy_request_engine_release_flow (a->engine, &flow);
  assert_int_equal (a->in_flight, 0);
  agent_delete (a);
}

/* Guards against "not-run" after delivery, and against a request that stays
   queued without end.  */
void
deadline_is_not_run_before_and_outcome_unknown_after_delivery (void **state)
{
  struct agent *a = agent_new (1, true);
  struct rgy_flow flow = flow_make (1);
  GBytes *echo = get_echo (a, &flow, 0);
  struct request_spec running = make_post_ (1, "running", echo);
  struct request_spec waiting = make_get_ (2, "waiting");
  const struct message *delivered;

  (void)state;
  running.deadline_ms = 500;
  waiting.deadline_ms = 300;
  send_request_ (a, &flow, &running, 0);
  send_request_ (a, &flow, &waiting, 0);
  assert_int_equal (a->to_backend->len, 1);
  delivered = last_to_backend (a);
  assert_int_equal (delivered->view.deadline_ms, 500);
  clear_messages (a);
  agent_run_timers (a, 299 * MS);
  assert_int_equal (a->to_caller->len, 0);
  agent_run_timers (a, 300 * MS);
  check_last_answer_ (a, RGY_COAP_CODE (5, 3), "not-run: deadline");
  agent_run_timers (a, 500 * MS);
  check_last_answer_ (a, RGY_COAP_CODE (5, 4), "outcome-unknown: deadline");
  assert_int_equal (rgy_request_engine_get_outstanding (&flow), 0);
  assert_int_equal (a->in_flight, 0);
  /* Duplicates get the same answers, and nothing runs.  */
  send_request_ (a, &flow, &running, 600 * MS);
  check_last_answer_ (a, RGY_COAP_CODE (5, 4), "outcome-unknown: deadline");
  send_request_ (a, &flow, &waiting, 600 * MS);
  check_last_answer_ (a, RGY_COAP_CODE (5, 3), "not-run: deadline");
  agent_run_timers (a, 10 * RGY_US_PER_S);
  assert_int_equal (a->to_backend->len, 0);
  assert_int_equal (rgy_admission_get_running (agent_get_admission (a)), 0);
  g_bytes_unref (echo);
  rgy_request_engine_release_flow (a->engine, &flow);
  agent_delete (a);
}

/* Guards against a late answer to an expired request that is forwarded as the
   answer to the next request with the same token.  */
void
late_answer_is_not_given_to_another_request (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  struct request_spec first = make_get_ (1, "first");
  struct request_spec second = make_get_ (2, "second");
  GByteArray *late;

  (void)state;
  first.token = second.token = "T";
  send_request_ (a, &flow, &first, 0);
  late = build_answer (&last_to_backend (a)->view, RGY_COAP_ACK, 0,
                       RGY_COAP_CODE (2, 5), -1);
  agent_run_timers (a, 2000 * MS);
  check_last_answer_ (a, RGY_COAP_CODE (5, 4), "outcome-unknown: deadline");
  send_request_ (a, &flow, &second, 2100 * MS);
  clear_messages (a);
  agent_from_backend (a, &flow, late, 2200 * MS);
  assert_int_equal (a->to_caller->len, 0);
  assert_int_equal (agent_get_counter (a, "answers_late_total"), 1);
  assert_int_equal (rgy_request_engine_get_outstanding (&flow), 1);
  assert_int_equal (rgy_admission_get_running (agent_get_admission (a)), 1);
  g_byte_array_unref (late);
  rgy_request_engine_release_flow (a->engine, &flow);
  agent_delete (a);
}

/* Guards against an answer that reaches another flow whose request has the
   same token and message ID.  */
void
answer_on_another_flow_is_dropped (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow one = flow_make (1);
  struct rgy_flow two = flow_make (2);
  struct request_spec spec = make_get_ (1, "one");
  struct request_spec same = make_get_ (1, "two");
  const struct message *first;
  const struct message *second;

  (void)state;
  spec.token = same.token = "T";
  send_request_ (a, &one, &spec, 0);
  first = last_to_backend (a);
  send_request_ (a, &two, &same, 0);
  second = last_to_backend (a);
  send_answer_ (a, &two, first, RGY_COAP_NON, RGY_COAP_CODE (2, 5), 0);
  send_answer_ (a, &one, second, RGY_COAP_NON, RGY_COAP_CODE (2, 5), 0);
  assert_int_equal (a->to_caller->len, 0);
  send_answer_ (a, &two, second, RGY_COAP_ACK, RGY_COAP_CODE (2, 5), 0);
  check_last_answer_ (a, RGY_COAP_CODE (2, 5), "two");
  assert_ptr_equal (last_to_caller (a)->flow, &two);
  send_answer_ (a, &one, first, RGY_COAP_ACK, RGY_COAP_CODE (2, 5), 0);
  check_last_answer_ (a, RGY_COAP_CODE (2, 5), "one");
  assert_ptr_equal (last_to_caller (a)->flow, &one);
  rgy_request_engine_release_flow (a->engine, &one);
  rgy_request_engine_release_flow (a->engine, &two);
  agent_delete (a);
}

/* Guards against a slot that is released by the empty acknowledgement while
   the backend server still executes the request, and against an answer that
   the caller cannot match to its request.  */
void
separate_answer_keeps_the_slot (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  struct request_spec spec = make_get_ (9, "slow");
  const struct message *m;
  GByteArray *ack;

  (void)state;
  send_request_ (a, &flow, &spec, 0);
  m = last_to_backend (a);
  ack = rgy_coap_build_empty (RGY_COAP_ACK, m->view.message_id);
  agent_from_backend (a, &flow, ack, 0);
  g_byte_array_unref (ack);
  assert_int_equal (rgy_admission_get_running (agent_get_admission (a)), 1);
  assert_int_equal (a->to_caller->len, 0);
  send_answer_ (a, &flow, m, RGY_COAP_CON, RGY_COAP_CODE (2, 5), 100 * MS);
  assert_int_equal (rgy_admission_get_running (agent_get_admission (a)), 0);
  assert_int_equal (last_to_backend (a)->view.type, RGY_COAP_ACK);
  assert_int_equal (last_to_backend (a)->view.message_id, 0x7000);
  check_last_answer_ (a, RGY_COAP_CODE (2, 5), "slow");
  assert_int_equal (last_to_caller (a)->view.type, RGY_COAP_ACK);
  assert_int_equal (last_to_caller (a)->view.message_id, 9);
  assert_int_equal (last_to_caller (a)->view.token.len, 4);
  rgy_request_engine_release_flow (a->engine, &flow);
  agent_delete (a);
}

/* Guards against cancelled requests that keep their slots, and against a
   cancelled POST that runs later.  */
void
cancellation_frees_the_slot (void **state)
{
  struct agent *a = agent_new (1, true);
  struct rgy_flow flow = flow_make (1);
  GBytes *echo = get_echo (a, &flow, 0);
  struct request_spec running = make_get_ (1, "running");
  struct request_spec waiting = make_post_ (2, "waiting", echo);
  GByteArray *reset;
  uint16_t delivered_id;

  (void)state;
  send_request_ (a, &flow, &running, 0);
  delivered_id = last_to_backend (a)->view.message_id;
  send_request_ (a, &flow, &waiting, 0);
  reset = rgy_coap_build_empty (RGY_COAP_RST, 2);
  agent_from_caller (a, &flow, reset, 0);
  g_byte_array_unref (reset);
  assert_int_equal (rgy_admission_get_queued (agent_get_admission (a)), 0);
  assert_int_equal (a->to_backend->len, 1);
  reset = rgy_coap_build_empty (RGY_COAP_RST, 1);
  agent_from_caller (a, &flow, reset, 0);
  g_byte_array_unref (reset);
  assert_int_equal (rgy_admission_get_running (agent_get_admission (a)), 0);
  assert_int_equal (last_to_backend (a)->view.type, RGY_COAP_RST);
  assert_int_equal (last_to_backend (a)->view.message_id, delivered_id);
  assert_int_equal (a->in_flight, 0);
  send_request_ (a, &flow, &waiting, 0);
  assert_int_equal (a->to_backend->len, 2);
  check_last_answer_ (a, RGY_COAP_CODE (5, 4), "outcome-unknown: cancelled");
  g_bytes_unref (echo);
  rgy_request_engine_release_flow (a->engine, &flow);
  agent_delete (a);
}

/* Guards against requests that run in a failure domain that is out of service,
   or above a contract's limit.  */
void
requests_above_the_contract_or_in_a_domain_out_are_not_run (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  GBytes *echo = get_echo (a, &flow, 0);
  struct request_spec spec = make_get_ (1, "one");

  (void)state;
  a->limit = 1;
  send_request_ (a, &flow, &spec, 0);
  spec = make_get_ (2, "two");
  send_request_ (a, &flow, &spec, 0);
  check_last_answer_ (a, RGY_COAP_CODE (5, 3), "not-run: contract-limit");
  rgy_request_engine_set_domain_out (a->engine, true);
  spec = make_get_ (3, "three");
  send_request_ (a, &flow, &spec, 0);
  check_last_answer_ (a, RGY_COAP_CODE (5, 3), "not-run: failure-domain-out");
  spec = make_post_ (4, "four", echo);
  send_request_ (a, &flow, &spec, 0);
  check_last_answer_ (a, RGY_COAP_CODE (5, 3), "not-run: failure-domain-out");
  spec = make_post_ (5, "five", NULL);
  send_request_ (a, &flow, &spec, 0);
  check_last_answer_ (a, RGY_COAP_CODE (5, 3), "not-run: failure-domain-out");
  assert_int_equal (a->to_backend->len, 1);
  g_bytes_unref (echo);
  rgy_request_engine_release_flow (a->engine, &flow);
  assert_int_equal (a->in_flight, 0);
  agent_delete (a);
}

/* Guards against slots that stay charged after the backend server refused the
   flow's socket, and against "not-run" for requests that were sent on it.  */
void
refused_socket_is_outcome_unknown (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  struct request_spec spec = make_get_ (1, "one");

  (void)state;
  send_request_ (a, &flow, &spec, 0);
  rgy_request_engine_handle_socket_refused (a->engine, &flow, 0, a->actions);
  agent_collect_deliveries (a);
  check_last_answer_ (a, RGY_COAP_CODE (5, 4),
                      "outcome-unknown: no-backend-server");
  assert_int_equal (rgy_admission_get_running (agent_get_admission (a)), 0);
  rgy_request_engine_release_flow (a->engine, &flow);
  agent_delete (a);
}

/* Guards against retries beyond the budget, which would add load to a
   backend server that no longer answers.  */
void
retry_budget_bounds_retries (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  struct request_spec spec;
  uint16_t i;
  guint before;

  (void)state;
  for (i = 0; i < 100; i++)
    {
      spec = make_get_ (i, "warm");
      send_request_ (a, &flow, &spec, 0);
      send_answer_ (a, &flow, last_to_backend (a), RGY_COAP_ACK,
                    RGY_COAP_CODE (2, 5), 0);
    }
  spec = make_get_ (200, "lost");
  spec.deadline_ms = RGY_COAP_DEADLINE_MAX_MS;
  send_request_ (a, &flow, &spec, 0);
  before = a->to_backend->len;
  for (i = 1; i <= 30; i++)
    send_request_ (a, &flow, &spec, i * 250 * MS);
  assert_in_range (a->to_backend->len - before, 1, 10);
  assert_int_equal (a->to_backend->len - before,
                    agent_get_counter (a, "request_retries_total"));
  rgy_request_engine_release_flow (a->engine, &flow);
  agent_delete (a);
}

/* Guards against deduplication records that never expire.  */
void
record_expires_after_the_exchange_lifetime (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  GBytes *echo = get_echo (a, &flow, 0);
  struct request_spec spec = make_post_ (1, "one", echo);

  (void)state;
  send_request_ (a, &flow, &spec, 0);
  send_answer_ (a, &flow, last_to_backend (a), RGY_COAP_ACK,
                RGY_COAP_CODE (2, 1), 0);
  agent_run_timers (a, RGY_COAP_EXCHANGE_LIFETIME_US - 1);
  send_request_ (a, &flow, &spec, RGY_COAP_EXCHANGE_LIFETIME_US - 1);
  assert_int_equal (a->to_backend->len, 1);
  agent_run_timers (a, RGY_COAP_EXCHANGE_LIFETIME_US);
  send_request_ (a, &flow, &spec, RGY_COAP_EXCHANGE_LIFETIME_US);
  assert_int_equal (a->to_backend->len, 2);
  g_bytes_unref (echo);
  rgy_request_engine_release_flow (a->engine, &flow);
  agent_delete (a);
}
