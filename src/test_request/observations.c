#include "fixture.h"
#include "tests.h"

#define SEQUENCE_MASK 0xffffff
#define SEQUENCE_HALF (1 << 23)

static void
send_observe_ (struct agent *a, struct rgy_flow *flow, uint16_t id,
               const char *token, int observe, int64_t now_us)
{
  struct request_spec spec = { .code = GET,
                               .message_id = id,
                               .token = token,
                               .text = "board",
                               .observe = observe };
  GByteArray *request = build_request (&spec);

  agent_from_caller (a, flow, request, now_us);
  g_byte_array_unref (request);
}

/* Sends an answer or a notification with the token of
   a delivered registration.  */
static void
send_from_backend_ (struct agent *a, struct rgy_flow *flow,
                    const struct rgy_coap_view *registration,
                    enum rgy_coap_type type, uint16_t id, int observe,
                    int64_t now_us)
{
  GByteArray *m
      = build_answer (registration, type, id, RGY_COAP_CODE (2, 5), observe);

  agent_from_backend (a, flow, m, now_us);
  g_byte_array_unref (m);
}

static void
send_empty_from_caller_ (struct agent *a, struct rgy_flow *flow,
                         enum rgy_coap_type type, uint16_t id, int64_t now_us)
{
  GByteArray *m = rgy_coap_build_empty (type, id);

  agent_from_caller (a, flow, m, now_us);
  g_byte_array_unref (m);
}

static GByteArray *
copy_registration_ (const struct agent *a, struct rgy_coap_view *view)
{
  GByteArray *copy = g_byte_array_ref (last_to_backend (a)->bytes);

  *view = last_to_backend (a)->view;
  return copy;
}

/* Guards against a notification that occupies a slot, loses its token, or is
   acknowledged to the backend server before the caller has received it.  */
void
notifications_are_forwarded_without_a_slot (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  struct rgy_coap_view registration;
  GByteArray *keep;
  uint16_t caller_id;

  (void)state;
  send_observe_ (a, &flow, 1, "watch", 0, 0);
  assert_true (last_to_backend (a)->view.has_observe);
  keep = copy_registration_ (a, &registration);
  send_from_backend_ (a, &flow, &registration, RGY_COAP_ACK, 0, 10, 0);
  assert_int_equal (last_to_caller (a)->view.type, RGY_COAP_ACK);
  assert_int_equal (last_to_caller (a)->view.observe, 10);
  assert_int_equal (rgy_request_engine_get_observations (&flow), 1);
  assert_int_equal (rgy_request_engine_get_outstanding (&flow), 0);
  assert_int_equal (rgy_admission_get_running (agent_get_admission (a)), 0);
  clear_messages (a);
  send_from_backend_ (a, &flow, &registration, RGY_COAP_CON, 77, 11, 0);
  assert_int_equal (a->to_backend->len, 0);
  assert_int_equal (last_to_caller (a)->view.type, RGY_COAP_CON);
  assert_int_equal (last_to_caller (a)->view.token.len, 5);
  assert_memory_equal (last_to_caller (a)->view.token.data, "watch", 5);
  caller_id = last_to_caller (a)->view.message_id;
  /* A retransmission keeps its message ID, so that the
     caller recognises it.  */
  send_from_backend_ (a, &flow, &registration, RGY_COAP_CON, 77, 11, 0);
  assert_int_equal (a->to_caller->len, 2);
  assert_int_equal (last_to_caller (a)->view.message_id, caller_id);
  send_empty_from_caller_ (a, &flow, RGY_COAP_ACK, caller_id, 0);
  assert_int_equal (last_to_backend (a)->view.type, RGY_COAP_ACK);
  assert_int_equal (last_to_backend (a)->view.message_id, 77);
  /* A notification older than the last is not forwarded.  */
  send_from_backend_ (a, &flow, &registration, RGY_COAP_NON, 76, 10, 0);
  assert_int_equal (a->to_caller->len, 2);
  g_byte_array_unref (keep);
  rgy_request_engine_release_flow (a->engine, &flow);
  agent_delete (a);
}

static void
check_newer_ (uint32_t sequence, uint32_t *last)
{
  uint32_t ahead = (sequence - *last) & SEQUENCE_MASK;

  assert_true (ahead > 0 && ahead < SEQUENCE_HALF);
  *last = sequence;
}

/* Guards against an Observe value that goes back after a handover: the
   caller would ignore every notification of the new owner.  The first
   values of the backend servers are below, above and across the end of the
   24-bit number space.  */
void
observe_sequence_increases_across_handovers (void **state)
{
  static const int starts[]
      = { 5000, 3, 0xfffffe, 100, 0x800000, 0, 0xffffff, 4000 };
  struct agent *agents[G_N_ELEMENTS (starts) + 1];
  struct rgy_flow *flows[G_N_ELEMENTS (starts) + 1];
  struct rgy_coap_view registration;
  struct rgy_handover_state handover;
  GByteArray *keep;
  uint32_t last;
  size_t i;

  (void)state;
  agents[0] = agent_new (1, false);
  flows[0] = flow_new (1);
  send_observe_ (agents[0], flows[0], 1, "watch", 0, 0);
  keep = copy_registration_ (agents[0], &registration);
  send_from_backend_ (agents[0], flows[0], &registration, RGY_COAP_ACK, 0,
                      4000, 0);
  last = last_to_caller (agents[0])->view.observe;
  for (i = 0; i < G_N_ELEMENTS (starts); i++)
    {
      struct agent *a = agents[i];
      struct agent *b = agents[i + 1] = agent_new (2 + i, false);
      int sequence = i == 0 ? 4000 : starts[i - 1] + 3;
      uint16_t k;

      flows[i + 1] = flow_new (1);
      assert_int_equal (
          rgy_request_engine_export (a->engine, flows[i], 0, &handover),
          RGY_OK);
      flows[i]->moving = true;
      assert_int_equal (rgy_request_engine_import (b->engine, flows[i + 1],
                                                   &handover, 0, b->actions),
                        RGY_OK);
      agent_collect_deliveries (b);
      assert_int_equal (b->to_backend->len, 1);
      assert_int_equal (rgy_admission_get_running (agent_get_admission (b)),
                        1);
      /* The previous owner still sends notifications until the
         transfer is acknowledged.  */
      for (k = 1; k <= 100; k++)
        {
          send_from_backend_ (a, flows[i], &registration, RGY_COAP_NON,
                              (uint16_t)(99 + k),
                              (sequence + k) & SEQUENCE_MASK, 0);
          check_newer_ (last_to_caller (a)->view.observe, &last);
        }
      g_byte_array_unref (keep);
      keep = copy_registration_ (b, &registration);
      rgy_request_engine_end_observations (a->engine, flows[i], a->actions);
      agent_collect_deliveries (a);
      assert_int_equal (last_to_backend (a)->view.type, RGY_COAP_RST);
      rgy_request_engine_release_flow (a->engine, flows[i]);
      send_from_backend_ (b, flows[i + 1], &registration, RGY_COAP_ACK, 0,
                          starts[i], 0);
      check_newer_ (last_to_caller (b)->view.observe, &last);
      assert_memory_equal (last_to_caller (b)->view.token.data, "watch", 5);
      for (k = 1; k <= 3; k++)
        {
          send_from_backend_ (b, flows[i + 1], &registration, RGY_COAP_NON, k,
                              (starts[i] + k) & SEQUENCE_MASK, 0);
          check_newer_ (last_to_caller (b)->view.observe, &last);
        }
      assert_int_equal (rgy_admission_get_running (agent_get_admission (b)),
                        0);
    }
  rgy_request_engine_release_flow (agents[i]->engine, flows[i]);
  for (i = 0; i < G_N_ELEMENTS (agents); i++)
    {
      agent_delete (agents[i]);
      g_free (flows[i]);
    }
  g_byte_array_unref (keep);
}

/* Guards against an observation that ends without notice when the new backend
   server is full, sheds load, does not answer or restarts; and against a state
   that the caller never gets because its datagram was lost.  */
void
observation_is_registered_until_it_succeeds (void **state)
{
  struct agent *a = agent_new (1, false);
  struct agent *b = agent_new (2, true);
  struct rgy_flow flow = flow_make (1);
  struct rgy_flow moved = flow_make (1);
  struct rgy_handover_state handover;
  struct rgy_coap_view registration;
  GByteArray *keep;
  GByteArray *shed;
  uint16_t id;
  int64_t now_us = 0;

  (void)state;
  send_observe_ (a, &flow, 1, "watch", 0, 0);
  send_from_backend_ (a, &flow, &last_to_backend (a)->view, RGY_COAP_ACK, 0, 1,
                      0);
  assert_int_equal (rgy_request_engine_export (a->engine, &flow, 0, &handover),
                    RGY_OK);
  assert_int_equal (
      rgy_request_engine_import (b->engine, &moved, &handover, 0, b->actions),
      RGY_OK);
  agent_collect_deliveries (b);
  rgy_request_engine_release_flow (a->engine, &flow);
  keep = copy_registration_ (b, &registration);
  shed = build_answer (&registration, RGY_COAP_ACK, 0, RGY_COAP_CODE (5, 3),
                       -1);
  agent_from_backend (b, &moved, shed, 0);
  g_byte_array_unref (shed);
  g_byte_array_unref (keep);
  clear_messages (b);
  /* The registration is sent again after the refusal, and again
     after no answer.  */
  while (b->to_backend->len < 2 && now_us < 20 * RGY_US_PER_S)
    agent_run_timers (b, now_us += 100 * MS);
  assert_int_equal (b->to_backend->len, 2);
  assert_int_equal (b->to_caller->len, 0);
  while (b->to_backend->len < 3 && now_us < 40 * RGY_US_PER_S)
    agent_run_timers (b, now_us += 100 * MS);
  assert_int_equal (b->to_backend->len, 3);
  keep = copy_registration_ (b, &registration);
  send_from_backend_ (b, &moved, &registration, RGY_COAP_ACK, 0, 5, now_us);
  assert_int_equal (b->to_caller->len, 1);
  assert_int_equal (last_to_caller (b)->view.type, RGY_COAP_CON);
  id = last_to_caller (b)->view.message_id;
  agent_run_timers (b, now_us += 2 * RGY_US_PER_S);
  assert_int_equal (b->to_caller->len, 2);
  assert_int_equal (last_to_caller (b)->view.message_id, id);
  send_empty_from_caller_ (b, &moved, RGY_COAP_ACK, id, now_us);
  agent_run_timers (b, now_us += 60 * RGY_US_PER_S);
  assert_int_equal (b->to_caller->len, 2);
  /* A refused socket means that the backend server no longer
     has the observation.  */
  clear_messages (b);
  rgy_request_engine_handle_socket_refused (b->engine, &moved, now_us,
                                            b->actions);
  agent_run_timers (b, now_us + RGY_US_PER_S);
  assert_int_equal (b->to_backend->len, 1);
  assert_true (last_to_backend (b)->view.has_observe);
  assert_int_equal (rgy_request_engine_get_observations (&moved), 1);
  g_byte_array_unref (keep);
  rgy_request_engine_release_flow (b->engine, &moved);
  agent_delete (a);
  agent_delete (b);
}

/* Guards against the end of an active observation when a notification renews
   the state in the confirmable one while the acknowledgement of the earlier
   transmission is still in transit.  */
void
acknowledgement_crossing_a_notification_counts (void **state)
{
  struct agent *a = agent_new (1, false);
  struct agent *b = agent_new (2, false);
  struct rgy_flow flow = flow_make (1);
  struct rgy_flow moved = flow_make (1);
  struct rgy_handover_state handover;
  struct rgy_coap_view registration;
  GByteArray *keep;
  uint16_t id;
  int64_t now_us;

  (void)state;
  send_observe_ (a, &flow, 1, "watch", 0, 0);
  send_from_backend_ (a, &flow, &last_to_backend (a)->view, RGY_COAP_ACK, 0, 1,
                      0);
  assert_int_equal (rgy_request_engine_export (a->engine, &flow, 0, &handover),
                    RGY_OK);
  assert_int_equal (
      rgy_request_engine_import (b->engine, &moved, &handover, 0, b->actions),
      RGY_OK);
  agent_collect_deliveries (b);
  rgy_request_engine_release_flow (a->engine, &flow);
  keep = copy_registration_ (b, &registration);
  send_from_backend_ (b, &moved, &registration, RGY_COAP_ACK, 0, 5, 0);
  assert_int_equal (last_to_caller (b)->view.type, RGY_COAP_CON);
  id = last_to_caller (b)->view.message_id;
  send_from_backend_ (b, &moved, &registration, RGY_COAP_NON, 50, 6, MS);
  send_empty_from_caller_ (b, &moved, RGY_COAP_ACK, id, 2 * MS);
  clear_messages (b);
  for (now_us = MS; now_us < 100 * RGY_US_PER_S; now_us += RGY_US_PER_S)
    agent_run_timers (b, now_us);
  assert_int_equal (b->to_caller->len, 0);
  assert_int_equal (b->to_backend->len, 0);
  assert_int_equal (rgy_request_engine_get_observations (&moved), 1);
  g_byte_array_unref (keep);
  rgy_request_engine_release_flow (b->engine, &moved);
  agent_delete (a);
  agent_delete (b);
}

/* Guards against observations that the backend server or the agent keeps after
   the caller has ended them.  */
void
end_of_an_observation_reaches_the_backend_server (void **state)
{
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  struct rgy_coap_view registration;
  GByteArray *keep;

  (void)state;
  /* The caller ends the first observation by Observe 1 with the token
     of the registration.  */
  send_observe_ (a, &flow, 1, "watch", 0, 0);
  keep = copy_registration_ (a, &registration);
  send_from_backend_ (a, &flow, &registration, RGY_COAP_ACK, 0, 1, 0);
  send_observe_ (a, &flow, 2, "watch", 1, 0);
  assert_int_equal (last_to_backend (a)->view.observe, 1);
  assert_int_equal (last_to_backend (a)->view.token.len,
                    registration.token.len);
  assert_memory_equal (last_to_backend (a)->view.token.data,
                       registration.token.data, registration.token.len);
  assert_int_equal (rgy_request_engine_get_observations (&flow), 0);
  /* A notification that arrives before the answer to Observe 1 is not taken as
     that answer.  */
  clear_messages (a);
  send_from_backend_ (a, &flow, &registration, RGY_COAP_NON, 5, 2, 0);
  assert_int_equal (a->to_caller->len, 0);
  assert_int_equal (last_to_backend (a)->view.type, RGY_COAP_RST);
  g_byte_array_unref (keep);
  /* The caller ends the second observation by a Reset to a notification.  */
  send_observe_ (a, &flow, 3, "other", 0, 0);
  keep = copy_registration_ (a, &registration);
  send_from_backend_ (a, &flow, &registration, RGY_COAP_ACK, 0, 1, 0);
  send_from_backend_ (a, &flow, &registration, RGY_COAP_NON, 9, 2, 0);
  send_empty_from_caller_ (a, &flow, RGY_COAP_RST,
                           last_to_caller (a)->view.message_id, 0);
  assert_int_equal (last_to_backend (a)->view.type, RGY_COAP_RST);
  assert_int_equal (last_to_backend (a)->view.message_id, 9);
  assert_int_equal (rgy_request_engine_get_observations (&flow), 0);
  g_byte_array_unref (keep);
  rgy_request_engine_release_flow (a->engine, &flow);
  agent_delete (a);
}

/* Guards against a flow with so many observations that it can never
   be handed over.  */
void
observations_of_a_flow_are_bounded (void **state)
{
  static const char *const tokens[] = { "a", "b", "c", "d", "e" };
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  struct rgy_handover_state handover;
  size_t i;

  (void)state;
  G_STATIC_ASSERT (G_N_ELEMENTS (tokens) == RGY_HANDOVER_MAX_OBSERVATIONS + 1);
  for (i = 0; i < RGY_HANDOVER_MAX_OBSERVATIONS; i++)
    {
      send_observe_ (a, &flow, (uint16_t)i, tokens[i], 0, 0);
      send_from_backend_ (a, &flow, &last_to_backend (a)->view, RGY_COAP_ACK,
                          0, 1, 0);
    }
  send_observe_ (a, &flow, (uint16_t)i, tokens[i], 0, 0);
  assert_int_equal (last_to_caller (a)->view.code, RGY_COAP_CODE (5, 3));
  /* A refresh of an existing observation does not count as a further one.  */
  send_observe_ (a, &flow, 50, tokens[0], 0, 0);
  send_from_backend_ (a, &flow, &last_to_backend (a)->view, RGY_COAP_ACK, 0, 2,
                      0);
  assert_int_equal (last_to_caller (a)->view.code, RGY_COAP_CODE (2, 5));
  assert_int_equal (rgy_request_engine_get_observations (&flow),
                    RGY_HANDOVER_MAX_OBSERVATIONS);
  assert_int_equal (rgy_request_engine_export (a->engine, &flow, 0, &handover),
                    RGY_OK);
  rgy_request_engine_release_flow (a->engine, &flow);
  assert_int_equal (a->in_flight, 0);
  agent_delete (a);
}

/* Guards against an observation that is kept although its registration was
   cancelled, refused or lost: its flow would count as a job board session, and
   be handed over, without end.  */
void
failed_registration_leaves_no_observation (void **state)
{
  struct agent *a = agent_new (1, true);
  struct rgy_flow flow = flow_make (1);
  uint16_t i;

  (void)state;
  send_observe_ (a, &flow, 1, "reset", 0, 0);
  assert_int_equal (rgy_request_engine_get_observations (&flow), 1);
  send_empty_from_caller_ (a, &flow, RGY_COAP_RST, 1, 0);
  assert_int_equal (rgy_request_engine_get_observations (&flow), 0);
  /* The first registration is delivered and gets no answer; the second expires
     in the queue.  */
  send_observe_ (a, &flow, 2, "lost", 0, 0);
  send_observe_ (a, &flow, 3, "waits", 0, 0);
  assert_int_equal (rgy_request_engine_get_observations (&flow), 2);
  agent_run_timers (a, 10 * RGY_US_PER_S);
  assert_int_equal (rgy_request_engine_get_observations (&flow), 0);
  /* The queue is full when the registration arrives.  */
  for (i = 0; i <= QUEUE; i++)
    {
      struct request_spec spec = { .code = GET,
                                   .message_id = (uint16_t)(10 + i),
                                   .token = "load",
                                   .observe = -1 };
      GByteArray *request = build_request (&spec);

      agent_from_caller (a, &flow, request, 20 * RGY_US_PER_S);
      g_byte_array_unref (request);
    }
  send_observe_ (a, &flow, 30, "full", 0, 20 * RGY_US_PER_S);
  assert_int_equal (last_to_caller (a)->view.code, RGY_COAP_CODE (5, 3));
  assert_int_equal (rgy_request_engine_get_observations (&flow), 0);
  rgy_request_engine_release_flow (a->engine, &flow);
  assert_int_equal (a->in_flight, 0);
  agent_delete (a);
}
