#include "fixture.h"
#include "tests.h"

#define SEEDS 300
#define STEPS 400
#define FLOWS 4
#define AGENTS 2
#define STEP_MAX_MS 300
#define FUZZ_ROUNDS 60000
#define FUZZ_MAX_BYTES 64

/* Random runs of two agents: callers retransmit, backend servers answer late
   and on the wrong flow, handovers fail and agents restart.  */

/** A request that a caller has sent, kept for retransmissions and checks.  */
struct sent_request_
{
  GByteArray *datagram;
  struct rgy_coap_view view;
  char *text;
  bool is_post;
  bool not_run;  /* The caller has received "not-run".  */
  bool answered; /* The caller has received a success code.  */
  unsigned deliveries;
};

/** A delivery that the backend server has not yet answered.  */
struct unanswered_
{
  GByteArray *datagram;
  struct rgy_coap_view view;
  unsigned agent;
  uint64_t incarnation;
  uint64_t flow_id;
};

struct simulation_
{
  GRand *rand;
  int64_t now_us;
  struct agent *agents[AGENTS];
  struct rgy_flow *owned_flows[AGENTS][FLOWS]; /* Flows that each agent owns;
                                                  NULL: not owned.  */
  uint64_t next_epoch;
  uint64_t next_flow_id;
  GPtrArray *sent[FLOWS];
  GBytes *echoes[FLOWS];
  uint16_t next_id[FLOWS];
  GPtrArray *unanswered;
  int handover_from; /* Agent that hands a flow over; -1: none.  */
  unsigned handover_flow;
  unsigned succeeded_count;
};

static void
sent_request_free_ (void *data)
{
  struct sent_request_ *s = data;

  g_byte_array_unref (s->datagram);
  g_free (s->text);
  g_free (s);
}

static void
unanswered_free_ (void *data)
{
  struct unanswered_ *p = data;

  g_byte_array_unref (p->datagram);
  g_free (p);
}

static unsigned
random_below_ (struct simulation_ *sim, unsigned n)
{
  return (unsigned)g_rand_int_range (sim->rand, 0, (gint32)n);
}

static struct sent_request_ *
find_sent_ (struct simulation_ *sim, unsigned flow, const char *text)
{
  guint i;

  for (i = 0; i < sim->sent[flow]->len; i++)
    {
      struct sent_request_ *s = g_ptr_array_index (sim->sent[flow], i);

      if (strcmp (s->text, text) == 0)
        return s;
    }
  return NULL;
}

static unsigned
get_flow_of_text_ (const char *text)
{
  return (unsigned)(text[0] - 'A');
}

/* Checks a message that an agent has delivered, and adds it to
   the unanswered deliveries.  */
static void
check_delivery_ (struct simulation_ *sim, unsigned agent,
                 const struct message *m)
{
  char *text;
  struct sent_request_ *s;
  struct unanswered_ *p;

  if (m->view.code == 0)
    return;
  text = get_query_text (&m->view);
  s = find_sent_ (sim, get_flow_of_text_ (text), text);
  assert_non_null (s);
  s->deliveries++;
  if (s->is_post)
    {
      assert_int_equal (s->deliveries, 1);
      assert_false (s->not_run);
    }
  p = g_new0 (struct unanswered_, 1);
  p->datagram = g_byte_array_ref (m->bytes);
  p->view = m->view;
  p->agent = agent;
  p->incarnation = sim->agents[agent]->epoch;
  p->flow_id = m->flow_id;
  g_ptr_array_add (sim->unanswered, p);
  g_free (text);
}

static bool
is_answer_to_ (const struct rgy_coap_view *answer,
               const struct rgy_coap_view *request)
{
  return answer->token.len == request->token.len
         && memcmp (answer->token.data, request->token.data,
                    request->token.len)
                == 0
         && (answer->type != RGY_COAP_ACK
             || answer->message_id == request->message_id);
}

/* Checks a message that a caller has received.  */
static void
check_answer_ (struct simulation_ *sim, const struct message *m)
{
  static const char not_run[] = "not-run: ";
  unsigned flow = m->flow->key.u.udp.caller.port % 100;
  struct sent_request_ *s = NULL;
  guint i;

  if (m->view.code == 0)
    return;
  for (i = 0; i < sim->sent[flow]->len && s == NULL; i++)
    {
      struct sent_request_ *candidate = g_ptr_array_index (sim->sent[flow], i);

      if (is_answer_to_ (&m->view, &candidate->view))
        s = candidate;
    }
  if (s == NULL)
    {
      fail_msg ("flow %u received an answer to none of its requests", flow);
      return;
    }
  if (m->view.has_echo)
    {
      g_clear_pointer (&sim->echoes[flow], g_bytes_unref);
      sim->echoes[flow] = g_bytes_new (m->view.echo.data, m->view.echo.len);
    }
  if (m->view.code >> 5 == 2)
    {
      assert_true (payload_equals (&m->view, s->text));
      assert_true (s->deliveries > 0);
      s->answered = true;
      sim->succeeded_count++;
    }
  if (m->view.code == RGY_COAP_CODE (5, 3)
      && m->view.payload.len > sizeof not_run
      && memcmp (m->view.payload.data, not_run, sizeof not_run - 1) == 0)
    {
      s->not_run = true;
      if (s->is_post)
        assert_int_equal (s->deliveries, 0);
    }
}

static void
check_messages_ (struct simulation_ *sim)
{
  unsigned a;

  for (a = 0; a < AGENTS; a++)
    {
      struct agent *agent = sim->agents[a];
      guint i;

      agent_collect_deliveries (agent);
      for (i = 0; i < agent->to_backend->len; i++)
        check_delivery_ (sim, a, g_ptr_array_index (agent->to_backend, i));
      for (i = 0; i < agent->to_caller->len; i++)
        check_answer_ (sim, g_ptr_array_index (agent->to_caller, i));
      clear_messages (agent);
      assert_true (rgy_admission_get_running (agent_get_admission (agent))
                   <= SLOTS);
      assert_true (rgy_admission_get_queued (agent_get_admission (agent))
                   <= QUEUE);
    }
}

/* Opening and closing of flows.  */

static void
open_flow_ (struct simulation_ *sim, unsigned agent, unsigned flow)
{
  struct rgy_flow *f = flow_new (++sim->next_flow_id);

  f->bucket = 0;
  f->key.u.udp.caller.port = (uint16_t)(10000 + flow);
  sim->owned_flows[agent][flow] = f;
}

static void
close_flow_ (struct simulation_ *sim, unsigned agent, unsigned flow)
{
  rgy_request_engine_release_flow (sim->agents[agent]->engine,
                                   sim->owned_flows[agent][flow]);
  g_clear_pointer (&sim->owned_flows[agent][flow], g_free);
}

/* Chooses the agent that gets the next packet of a flow; opens the flow if no
   agent owns it.  */
static unsigned
choose_agent_ (struct simulation_ *sim, unsigned flow)
{
  unsigned first = random_below_ (sim, AGENTS);
  unsigned k;

  for (k = 0; k < AGENTS; k++)
    if (sim->owned_flows[(first + k) % AGENTS][flow] != NULL)
      return (first + k) % AGENTS;
  open_flow_ (sim, first, flow);
  return first;
}

/* Random steps of a run.  */

static void
transmit_request_ (struct simulation_ *sim, unsigned flow,
                   const struct sent_request_ *s)
{
  unsigned agent = choose_agent_ (sim, flow);

  agent_from_caller (sim->agents[agent], sim->owned_flows[agent][flow],
                     s->datagram, sim->now_us);
}

static void
step_send_new_ (struct simulation_ *sim)
{
  static const char *const tokens[] = { "", "t", "uu", "12345678" };
  unsigned flow = random_below_ (sim, FLOWS);
  struct sent_request_ *s = g_new0 (struct sent_request_, 1);
  struct request_spec spec = { .observe = -1 };
  char token[9];

  s->is_post = random_below_ (sim, 2) == 0;
  s->text = g_strdup_printf ("%c%u", 'A' + flow, sim->sent[flow]->len);
  spec.code = s->is_post ? POST : GET;
  spec.type = random_below_ (sim, 8) == 0 ? RGY_COAP_NON : RGY_COAP_CON;
  spec.message_id = sim->next_id[flow]++;
  /* Confirmable requests reuse tokens; the message ID
     distinguishes their answers.  */
  g_snprintf (token, sizeof token, "n%u", spec.message_id);
  spec.token
      = spec.type == RGY_COAP_NON ? token : tokens[random_below_ (sim, 4)];
  spec.text = s->text;
  if (sim->echoes[flow] != NULL && random_below_ (sim, 10) > 0)
    spec.echo = echo_bytes (sim->echoes[flow]);
  if (random_below_ (sim, 3) == 0)
    spec.deadline_ms = 1 + random_below_ (sim, 1500);
  s->datagram = build_request (&spec);
  assert_int_equal (
      rgy_coap_parse ((struct rgy_bytes){ .data = s->datagram->data,
                                          .len = s->datagram->len },
                      &s->view),
      RGY_OK);
  g_ptr_array_add (sim->sent[flow], s);
  transmit_request_ (sim, flow, s);
}

static void
step_retransmit_ (struct simulation_ *sim)
{
  unsigned flow = random_below_ (sim, FLOWS);

  if (sim->sent[flow]->len > 0)
    transmit_request_ (
        sim, flow,
        g_ptr_array_index (sim->sent[flow],
                           random_below_ (sim, sim->sent[flow]->len)));
}

static void
step_caller_resets_ (struct simulation_ *sim)
{
  unsigned flow = random_below_ (sim, FLOWS);
  unsigned agent;
  const struct sent_request_ *s;
  GByteArray *reset;

  if (sim->sent[flow]->len == 0)
    return;
  s = g_ptr_array_index (sim->sent[flow],
                         random_below_ (sim, sim->sent[flow]->len));
  agent = choose_agent_ (sim, flow);
  reset = rgy_coap_build_empty (RGY_COAP_RST, s->view.message_id);
  agent_from_caller (sim->agents[agent], sim->owned_flows[agent][flow], reset,
                     sim->now_us);
  g_byte_array_unref (reset);
}

static struct rgy_flow *
find_flow_ (struct simulation_ *sim, unsigned agent, uint64_t flow_id)
{
  unsigned flow;

  for (flow = 0; flow < FLOWS; flow++)
    if (sim->owned_flows[agent][flow] != NULL
        && sim->owned_flows[agent][flow]->id == flow_id)
      return sim->owned_flows[agent][flow];
  return NULL;
}

/* Answers a random delivery, sometimes twice, and sometimes on the socket of
   another flow.  */
static void
step_backend_answers_ (struct simulation_ *sim)
{
  static const enum rgy_coap_type types[]
      = { RGY_COAP_ACK, RGY_COAP_ACK, RGY_COAP_NON, RGY_COAP_CON };
  struct unanswered_ *p;
  struct agent *agent;
  struct rgy_flow *flow;
  GByteArray *m;
  guint index;

  if (sim->unanswered->len == 0)
    return;
  index = random_below_ (sim, sim->unanswered->len);
  p = g_ptr_array_index (sim->unanswered, index);
  agent = sim->agents[p->agent];
  flow = find_flow_ (sim, p->agent, p->flow_id);
  if (random_below_ (sim, 10) == 0)
    {
      unsigned other = random_below_ (sim, FLOWS);

      if (sim->owned_flows[p->agent][other] != NULL)
        flow = sim->owned_flows[p->agent][other];
    }
  /* The socket of a closed flow, or of an earlier incarnation of the agent, no
     longer exists.  */
  if (flow == NULL || agent->epoch != p->incarnation)
    {
      g_ptr_array_remove_index_fast (sim->unanswered, index);
      return;
    }
  if (random_below_ (sim, 5) == 0)
    {
      m = rgy_coap_build_empty (RGY_COAP_ACK, p->view.message_id);
      agent_from_backend (agent, flow, m, sim->now_us);
      g_byte_array_unref (m);
      return;
    }
  m = build_answer (&p->view, types[random_below_ (sim, 4)],
                    (uint16_t)random_below_ (sim, 1 << 16),
                    random_below_ (sim, 10) == 0 ? RGY_COAP_CODE (5, 3)
                                                 : RGY_COAP_CODE (2, 5),
                    -1);
  agent_from_backend (agent, flow, m, sim->now_us);
  g_byte_array_unref (m);
  if (random_below_ (sim, 5) > 0)
    g_ptr_array_remove_index_fast (sim->unanswered, index);
}

static void
step_advance_time_ (struct simulation_ *sim)
{
  unsigned a;

  sim->now_us += random_below_ (sim, STEP_MAX_MS) * MS;
  for (a = 0; a < AGENTS; a++)
    agent_run_timers (sim->agents[a], sim->now_us);
}

/* Hands a flow over to the other agent, which may refuse it.  */
static void
step_start_handover_ (struct simulation_ *sim)
{
  unsigned from = random_below_ (sim, AGENTS);
  unsigned to = 1 - from;
  unsigned flow = random_below_ (sim, FLOWS);
  struct rgy_flow *h = sim->owned_flows[from][flow];
  struct rgy_handover_state state;
  unsigned copies = 1 + random_below_ (sim, 2);

  if (sim->handover_from >= 0 || h == NULL
      || sim->owned_flows[to][flow] != NULL)
    return;
  while (copies-- > 0)
    if (rgy_request_engine_export (sim->agents[from]->engine, h, sim->now_us,
                                   &state)
        != RGY_OK)
      return;
  if (random_below_ (sim, 4) == 0)
    {
      rgy_request_engine_keep_echo (sim->agents[from]->engine, h);
      return;
    }
  open_flow_ (sim, to, flow);
  assert_int_equal (rgy_request_engine_import (
                        sim->agents[to]->engine, sim->owned_flows[to][flow],
                        &state, sim->now_us, sim->agents[to]->actions),
                    RGY_OK);
  h->moving = true;
  sim->handover_from = (int)from;
  sim->handover_flow = flow;
}

/* Ends a handover: the acknowledgement arrives, or the target has died.  */
static void
step_end_handover_ (struct simulation_ *sim)
{
  unsigned from;

  if (sim->handover_from < 0)
    return;
  from = (unsigned)sim->handover_from;
  sim->handover_from = -1;
  if (sim->owned_flows[1 - from][sim->handover_flow] != NULL)
    {
      rgy_request_engine_end_observations (
          sim->agents[from]->engine,
          sim->owned_flows[from][sim->handover_flow],
          sim->agents[from]->actions);
      close_flow_ (sim, from, sim->handover_flow);
    }
  else
    sim->owned_flows[from][sim->handover_flow]->moving = false;
}

static void
restart_agent_ (struct simulation_ *sim, unsigned agent)
{
  unsigned flow;

  for (flow = 0; flow < FLOWS; flow++)
    if (sim->owned_flows[agent][flow] != NULL)
      close_flow_ (sim, agent, flow);
  agent_collect_deliveries (sim->agents[agent]);
  check_messages_ (sim);
  assert_int_equal (sim->agents[agent]->in_flight, 0);
  agent_delete (sim->agents[agent]);
  sim->agents[agent]
      = agent_new (++sim->next_epoch, random_below_ (sim, 2) == 0);
  if (sim->handover_from == (int)agent)
    sim->handover_from = -1;
}

static void
step_close_flow_ (struct simulation_ *sim)
{
  unsigned agent = random_below_ (sim, AGENTS);
  unsigned flow = random_below_ (sim, FLOWS);

  if (sim->owned_flows[agent][flow] != NULL && sim->handover_from < 0)
    close_flow_ (sim, agent, flow);
}

static void
step_refuse_socket_ (struct simulation_ *sim)
{
  unsigned agent = random_below_ (sim, AGENTS);
  unsigned flow = random_below_ (sim, FLOWS);

  if (sim->owned_flows[agent][flow] != NULL)
    rgy_request_engine_handle_socket_refused (
        sim->agents[agent]->engine, sim->owned_flows[agent][flow], sim->now_us,
        sim->agents[agent]->actions);
}

static void
run_random_step_ (struct simulation_ *sim)
{
  unsigned roll = random_below_ (sim, 200);

  if (roll < 50)
    step_send_new_ (sim);
  else if (roll < 90)
    step_retransmit_ (sim);
  else if (roll < 140)
    step_backend_answers_ (sim);
  else if (roll < 170)
    step_advance_time_ (sim);
  else if (roll < 180)
    step_start_handover_ (sim);
  else if (roll < 188)
    step_end_handover_ (sim);
  else if (roll < 191)
    step_caller_resets_ (sim);
  else if (roll < 194)
    step_close_flow_ (sim);
  else if (roll < 196)
    step_refuse_socket_ (sim);
  else if (roll < 198)
    rgy_request_engine_set_domain_out (
        sim->agents[random_below_ (sim, AGENTS)]->engine,
        random_below_ (sim, 2) == 0);
  else
    restart_agent_ (sim, random_below_ (sim, AGENTS));
  check_messages_ (sim);
}

/* Checks that no slot is in use after all deadlines and after the time for
   which timed-out requests stay charged.  */
static void
check_slots_released_ (struct simulation_ *sim)
{
  unsigned a;
  unsigned flow;
  int k;

  for (k = 0; k < 3; k++)
    {
      sim->now_us += RGY_COAP_DEADLINE_MAX_MS * MS;
      for (a = 0; a < AGENTS; a++)
        agent_run_timers (sim->agents[a], sim->now_us);
      check_messages_ (sim);
    }
  for (a = 0; a < AGENTS; a++)
    {
      struct rgy_admission *admission = agent_get_admission (sim->agents[a]);

      assert_int_equal (rgy_admission_get_running (admission), 0);
      assert_int_equal (rgy_admission_get_queued (admission), 0);
      assert_int_equal (sim->agents[a]->in_flight, 0);
      for (flow = 0; flow < FLOWS; flow++)
        if (sim->owned_flows[a][flow] != NULL)
          assert_int_equal (
              rgy_request_engine_get_outstanding (sim->owned_flows[a][flow]),
              0);
    }
}

static unsigned
run_simulation_ (guint32 seed)
{
  struct simulation_ sim = { .rand = g_rand_new_with_seed (seed),
                             .handover_from = -1,
                             .next_epoch = 100 };
  unsigned a;
  unsigned flow;
  int step;

  for (a = 0; a < AGENTS; a++)
    sim.agents[a] = agent_new (++sim.next_epoch, a == 0);
  for (flow = 0; flow < FLOWS; flow++)
    sim.sent[flow] = g_ptr_array_new_with_free_func (sent_request_free_);
  sim.unanswered = g_ptr_array_new_with_free_func (unanswered_free_);
  for (step = 0; step < STEPS; step++)
    run_random_step_ (&sim);
  check_slots_released_ (&sim);
  for (a = 0; a < AGENTS; a++)
    restart_agent_ (&sim, a);
  for (a = 0; a < AGENTS; a++)
    agent_delete (sim.agents[a]);
  for (flow = 0; flow < FLOWS; flow++)
    {
      g_ptr_array_unref (sim.sent[flow]);
      g_clear_pointer (&sim.echoes[flow], g_bytes_unref);
    }
  g_ptr_array_unref (sim.unanswered);
  g_rand_free (sim.rand);
  return sim.succeeded_count;
}

/* Guards against a POST that runs twice, a false "not-run", an answer
   to the wrong request or flow, and a slot or a contract's request that
   is never released.  */
void
random_event_orders_keep_the_guarantees (void **state)
{
  guint32 seed;
  unsigned succeeded_count = 0;

  (void)state;
  for (seed = 1; seed <= SEEDS; seed++)
    {
      print_message ("seed %u\r", seed);
      succeeded_count += run_simulation_ (seed);
    }
  /* Enough requests must succeed; otherwise an engine that refuses every
     request would pass the test.  */
  assert_true (succeeded_count > SEEDS * STEPS / 40);
}

/* Guards against crashes and reads out of bounds on malformed or unexpected
   datagrams from the caller or the backend server.  */
void
random_datagrams_are_handled_within_bounds (void **state)
{
  GRand *rand = g_rand_new_with_seed (7);
  struct agent *a = agent_new (1, false);
  struct rgy_flow flow = flow_make (1);
  struct request_spec spec = {
    .code = GET, .message_id = 1, .token = "T", .text = "board", .observe = 0
  };
  GByteArray *request = build_request (&spec);
  int round;

  (void)state;
  for (round = 0; round < FUZZ_ROUNDS; round++)
    {
      GByteArray *datagram = g_byte_array_new ();
      GPtrArray *source = g_rand_boolean (rand) ? a->to_backend : a->to_caller;
      int changes = g_rand_int_range (rand, 0, 4);

      /* The datagram is random bytes, or a message of the engine with some
         bytes changed.  */
      if (source->len > 0 && g_rand_int_range (rand, 0, 4) > 0)
        {
          const struct message *m = g_ptr_array_index (
              source, (guint)g_rand_int_range (rand, 0, (gint32)source->len));

          g_byte_array_append (datagram, m->bytes->data, m->bytes->len);
        }
      else
        {
          int len = g_rand_int_range (rand, 0, FUZZ_MAX_BYTES);

          while (len-- > 0)
            {
              uint8_t byte = (uint8_t)g_rand_int_range (rand, 0, 256);

              g_byte_array_append (datagram, &byte, 1);
            }
          if (datagram->len > 0)
            datagram->data[0] = (uint8_t)(0x40 | (datagram->data[0] & 0x3f));
        }
      while (changes-- > 0 && datagram->len > 0)
        datagram->data[g_rand_int_range (rand, 0, (gint32)datagram->len)]
            = (uint8_t)g_rand_int_range (rand, 0, 256);
      if (g_rand_boolean (rand))
        agent_from_caller (a, &flow, datagram, round * MS);
      else
        agent_from_backend (a, &flow, datagram, round * MS);
      if (round % 50 == 0)
        {
          agent_run_timers (a, round * MS);
          clear_messages (a);
          agent_from_caller (a, &flow, request, round * MS);
        }
      if (round % 5000 == 0)
        rgy_request_engine_release_flow (a->engine, &flow);
      g_byte_array_unref (datagram);
    }
  rgy_request_engine_release_flow (a->engine, &flow);
  assert_int_equal (a->in_flight, 0);
  g_byte_array_unref (request);
  g_rand_free (rand);
  agent_delete (a);
}
