#include "fixture.h"
#include "tests.h"

#define SEEDS 300
#define STEPS 400
#define FLOWS 4
#define AGENTS 2
#define STEP_MAX_MS 300
#define FUZZ_ROUNDS 60000
#define FUZZ_MAX_BYTES 64

/* Random runs of two agents with callers that retransmit, backend servers
   that answer late and crossed, handovers that fail, and restarts.  */

/** One request of a caller, kept for retransmissions.  */
struct sent_
{
  GByteArray *datagram;
  struct rgy_coap_view view;
  char *text;
  bool is_post;
  bool not_run;  /* The caller was told so.  */
  bool answered; /* With success.  */
  unsigned deliveries;
};

/** A delivery that has not been answered.  */
struct pending_
{
  GByteArray *datagram;
  struct rgy_coap_view view;
  unsigned agent;
  uint64_t incarnation;
  uint64_t flow_id;
};

struct world_
{
  GRand *rand;
  int64_t now_us;
  struct agent *agents[AGENTS];
  struct rgy_flow *held[AGENTS][FLOWS]; /* NULL: not held.  */
  uint64_t next_epoch;
  uint64_t next_flow_id;
  GPtrArray *sent[FLOWS];
  GBytes *echoes[FLOWS];
  uint16_t next_id[FLOWS];
  GPtrArray *pending;
  int moving_from; /* Agent that gives a flow away; -1: none.  */
  unsigned moving_flow;
  unsigned accepted;
};

static void
sent_free_ (void *data)
{
  struct sent_ *s = data;

  g_byte_array_unref (s->datagram);
  g_free (s->text);
  g_free (s);
}

static void
pending_free_ (void *data)
{
  struct pending_ *p = data;

  g_byte_array_unref (p->datagram);
  g_free (p);
}

static unsigned
pick_ (struct world_ *w, unsigned n)
{
  return (unsigned)g_rand_int_range (w->rand, 0, (gint32)n);
}

static struct sent_ *
find_sent_ (struct world_ *w, unsigned flow, const char *text)
{
  guint i;

  for (i = 0; i < w->sent[flow]->len; i++)
    {
      struct sent_ *s = g_ptr_array_index (w->sent[flow], i);

      if (strcmp (s->text, text) == 0)
        return s;
    }
  return NULL;
}

static unsigned
flow_of_text_ (const char *text)
{
  return (unsigned)(text[0] - 'A');
}

/* Checks what agents have delivered.  */
static void
check_delivery_ (struct world_ *w, unsigned agent, const struct message *m)
{
  char *text;
  struct sent_ *s;
  struct pending_ *p;

  if (m->view.code == 0)
    return;
  text = text_of (&m->view);
  s = find_sent_ (w, flow_of_text_ (text), text);
  assert_non_null (s);
  s->deliveries++;
  if (s->is_post)
    {
      assert_int_equal (s->deliveries, 1);
      assert_false (s->not_run);
    }
  p = g_new0 (struct pending_, 1);
  p->datagram = g_byte_array_ref (m->bytes);
  p->view = m->view;
  p->agent = agent;
  p->incarnation = w->agents[agent]->epoch;
  p->flow_id = m->flow_id;
  g_ptr_array_add (w->pending, p);
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

/* Checks what a caller has received.  */
static void
check_answer_ (struct world_ *w, const struct message *m)
{
  static const char not_run[] = "not-run: ";
  unsigned flow = m->flow->key.u.udp.caller.port % 100;
  struct sent_ *s = NULL;
  guint i;

  if (m->view.code == 0)
    return;
  for (i = 0; i < w->sent[flow]->len && s == NULL; i++)
    {
      struct sent_ *candidate = g_ptr_array_index (w->sent[flow], i);

      if (is_answer_to_ (&m->view, &candidate->view))
        s = candidate;
    }
  if (s == NULL)
    {
      fail_msg ("flow %u has an answer to no request of its own", flow);
      return;
    }
  if (m->view.has_echo)
    {
      g_clear_pointer (&w->echoes[flow], g_bytes_unref);
      w->echoes[flow] = g_bytes_new (m->view.echo.data, m->view.echo.len);
    }
  if (m->view.code >> 5 == 2)
    {
      assert_true (payload_is (&m->view, s->text));
      assert_true (s->deliveries > 0);
      s->answered = true;
      w->accepted++;
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
check_ (struct world_ *w)
{
  unsigned a;

  for (a = 0; a < AGENTS; a++)
    {
      struct agent *agent = w->agents[a];
      guint i;

      agent_collect (agent);
      for (i = 0; i < agent->to_backend->len; i++)
        check_delivery_ (w, a, g_ptr_array_index (agent->to_backend, i));
      for (i = 0; i < agent->to_caller->len; i++)
        check_answer_ (w, g_ptr_array_index (agent->to_caller, i));
      forget_messages (agent);
      assert_true (rgy_admission_get_running (agent_admission (agent))
                   <= SLOTS);
      assert_true (rgy_admission_get_queued (agent_admission (agent))
                   <= QUEUE);
    }
}

/* Flows.  */

static void
open_ (struct world_ *w, unsigned agent, unsigned flow)
{
  struct rgy_flow *f = flow_new (++w->next_flow_id);

  f->bucket = 0;
  f->key.u.udp.caller.port = (uint16_t)(10000 + flow);
  w->held[agent][flow] = f;
}

static void
close_ (struct world_ *w, unsigned agent, unsigned flow)
{
  rgy_request_engine_forget (w->agents[agent]->engine, w->held[agent][flow]);
  g_clear_pointer (&w->held[agent][flow], g_free);
}

/* Agent that gets the next packet of a flow; opens the flow if nobody holds
   it.  */
static unsigned
route_ (struct world_ *w, unsigned flow)
{
  unsigned first = pick_ (w, AGENTS);
  unsigned k;

  for (k = 0; k < AGENTS; k++)
    if (w->held[(first + k) % AGENTS][flow] != NULL)
      return (first + k) % AGENTS;
  open_ (w, first, flow);
  return first;
}

/* Steps.  */

static void
transmit_ (struct world_ *w, unsigned flow, const struct sent_ *s)
{
  unsigned agent = route_ (w, flow);

  agent_from_caller (w->agents[agent], w->held[agent][flow], s->datagram,
                     w->now_us);
}

static void
step_new_ (struct world_ *w)
{
  static const char *const tokens[] = { "", "t", "uu", "12345678" };
  unsigned flow = pick_ (w, FLOWS);
  struct sent_ *s = g_new0 (struct sent_, 1);
  struct request_spec spec = { .observe = -1 };
  char token[9];

  s->is_post = pick_ (w, 2) == 0;
  s->text = g_strdup_printf ("%c%u", 'A' + flow, w->sent[flow]->len);
  spec.code = s->is_post ? POST : GET;
  spec.type = pick_ (w, 8) == 0 ? RGY_COAP_NON : RGY_COAP_CON;
  spec.message_id = w->next_id[flow]++;
  /* Confirmable requests reuse tokens; the message ID tells answers apart.  */
  g_snprintf (token, sizeof token, "n%u", spec.message_id);
  spec.token = spec.type == RGY_COAP_NON ? token : tokens[pick_ (w, 4)];
  spec.text = s->text;
  if (w->echoes[flow] != NULL && pick_ (w, 10) > 0)
    spec.echo = echo_bytes (w->echoes[flow]);
  if (pick_ (w, 3) == 0)
    spec.deadline_ms = 1 + pick_ (w, 1500);
  s->datagram = build_request (&spec);
  assert_int_equal (
      rgy_coap_parse ((struct rgy_bytes){ .data = s->datagram->data,
                                          .len = s->datagram->len },
                      &s->view),
      RGY_OK);
  g_ptr_array_add (w->sent[flow], s);
  transmit_ (w, flow, s);
}

static void
step_retransmit_ (struct world_ *w)
{
  unsigned flow = pick_ (w, FLOWS);

  if (w->sent[flow]->len > 0)
    transmit_ (
        w, flow,
        g_ptr_array_index (w->sent[flow], pick_ (w, w->sent[flow]->len)));
}

static void
step_reset_ (struct world_ *w)
{
  unsigned flow = pick_ (w, FLOWS);
  unsigned agent;
  const struct sent_ *s;
  GByteArray *reset;

  if (w->sent[flow]->len == 0)
    return;
  s = g_ptr_array_index (w->sent[flow], pick_ (w, w->sent[flow]->len));
  agent = route_ (w, flow);
  reset = rgy_coap_build_empty (RGY_COAP_RST, s->view.message_id);
  agent_from_caller (w->agents[agent], w->held[agent][flow], reset, w->now_us);
  g_byte_array_unref (reset);
}

static struct rgy_flow *
find_flow_ (struct world_ *w, unsigned agent, uint64_t flow_id)
{
  unsigned flow;

  for (flow = 0; flow < FLOWS; flow++)
    if (w->held[agent][flow] != NULL && w->held[agent][flow]->id == flow_id)
      return w->held[agent][flow];
  return NULL;
}

/* Answers any delivery, sometimes twice, sometimes on another flow's
   socket.  */
static void
step_answer_ (struct world_ *w)
{
  static const enum rgy_coap_type types[]
      = { RGY_COAP_ACK, RGY_COAP_ACK, RGY_COAP_NON, RGY_COAP_CON };
  struct pending_ *p;
  struct agent *agent;
  struct rgy_flow *flow;
  GByteArray *m;
  guint index;

  if (w->pending->len == 0)
    return;
  index = pick_ (w, w->pending->len);
  p = g_ptr_array_index (w->pending, index);
  agent = w->agents[p->agent];
  flow = find_flow_ (w, p->agent, p->flow_id);
  if (pick_ (w, 10) == 0)
    {
      unsigned other = pick_ (w, FLOWS);

      if (w->held[p->agent][other] != NULL)
        flow = w->held[p->agent][other];
    }
  /* The socket of a closed flow or of an earlier process is gone.  */
  if (flow == NULL || agent->epoch != p->incarnation)
    {
      g_ptr_array_remove_index_fast (w->pending, index);
      return;
    }
  if (pick_ (w, 5) == 0)
    {
      m = rgy_coap_build_empty (RGY_COAP_ACK, p->view.message_id);
      agent_from_backend (agent, flow, m, w->now_us);
      g_byte_array_unref (m);
      return;
    }
  m = build_answer (
      &p->view, types[pick_ (w, 4)], (uint16_t)pick_ (w, 1 << 16),
      pick_ (w, 10) == 0 ? RGY_COAP_CODE (5, 3) : RGY_COAP_CODE (2, 5), -1);
  agent_from_backend (agent, flow, m, w->now_us);
  g_byte_array_unref (m);
  if (pick_ (w, 5) > 0)
    g_ptr_array_remove_index_fast (w->pending, index);
}

static void
step_tick_ (struct world_ *w)
{
  unsigned a;

  w->now_us += pick_ (w, STEP_MAX_MS) * MS;
  for (a = 0; a < AGENTS; a++)
    agent_tick (w->agents[a], w->now_us);
}

/* Sends a flow to the other agent, which may refuse.  */
static void
step_move_ (struct world_ *w)
{
  unsigned from = pick_ (w, AGENTS);
  unsigned to = 1 - from;
  unsigned flow = pick_ (w, FLOWS);
  struct rgy_flow *h = w->held[from][flow];
  struct rgy_handover_state state;
  unsigned copies = 1 + pick_ (w, 2);

  if (w->moving_from >= 0 || h == NULL || w->held[to][flow] != NULL)
    return;
  while (copies-- > 0)
    if (rgy_request_engine_export (w->agents[from]->engine, h, w->now_us,
                                   &state)
        != RGY_OK)
      return;
  if (pick_ (w, 4) == 0)
    {
      rgy_request_engine_keep (w->agents[from]->engine, h);
      return;
    }
  open_ (w, to, flow);
  assert_int_equal (
      rgy_request_engine_import (w->agents[to]->engine, w->held[to][flow],
                                 &state, w->now_us, w->agents[to]->actions),
      RGY_OK);
  h->moving = true;
  w->moving_from = (int)from;
  w->moving_flow = flow;
}

/* The acknowledgement arrives, or the target has died.  */
static void
step_move_ends_ (struct world_ *w)
{
  unsigned from;

  if (w->moving_from < 0)
    return;
  from = (unsigned)w->moving_from;
  w->moving_from = -1;
  if (w->held[1 - from][w->moving_flow] != NULL)
    {
      rgy_request_engine_deregister (w->agents[from]->engine,
                                     w->held[from][w->moving_flow],
                                     w->agents[from]->actions);
      close_ (w, from, w->moving_flow);
    }
  else
    w->held[from][w->moving_flow]->moving = false;
}

static void
restart_ (struct world_ *w, unsigned agent)
{
  unsigned flow;

  for (flow = 0; flow < FLOWS; flow++)
    if (w->held[agent][flow] != NULL)
      close_ (w, agent, flow);
  agent_collect (w->agents[agent]);
  check_ (w);
  assert_int_equal (w->agents[agent]->in_flight, 0);
  agent_delete (w->agents[agent]);
  w->agents[agent] = agent_new (++w->next_epoch, pick_ (w, 2) == 0);
  if (w->moving_from == (int)agent)
    w->moving_from = -1;
}

static void
step_close_ (struct world_ *w)
{
  unsigned agent = pick_ (w, AGENTS);
  unsigned flow = pick_ (w, FLOWS);

  if (w->held[agent][flow] != NULL && w->moving_from < 0)
    close_ (w, agent, flow);
}

static void
step_refused_ (struct world_ *w)
{
  unsigned agent = pick_ (w, AGENTS);
  unsigned flow = pick_ (w, FLOWS);

  if (w->held[agent][flow] != NULL)
    rgy_request_engine_refused (w->agents[agent]->engine, w->held[agent][flow],
                                w->now_us, w->agents[agent]->actions);
}

static void
step_ (struct world_ *w)
{
  unsigned roll = pick_ (w, 200);

  if (roll < 50)
    step_new_ (w);
  else if (roll < 90)
    step_retransmit_ (w);
  else if (roll < 140)
    step_answer_ (w);
  else if (roll < 170)
    step_tick_ (w);
  else if (roll < 180)
    step_move_ (w);
  else if (roll < 188)
    step_move_ends_ (w);
  else if (roll < 191)
    step_reset_ (w);
  else if (roll < 194)
    step_close_ (w);
  else if (roll < 196)
    step_refused_ (w);
  else if (roll < 198)
    rgy_request_engine_set_out (w->agents[pick_ (w, AGENTS)]->engine,
                                pick_ (w, 2) == 0);
  else
    restart_ (w, pick_ (w, AGENTS));
  check_ (w);
}

/* After all deadlines, and the time that lost requests stay charged, no slot
   is in use.  */
static void
check_slots_ (struct world_ *w)
{
  unsigned a;
  unsigned flow;
  int k;

  for (k = 0; k < 3; k++)
    {
      w->now_us += RGY_COAP_DEADLINE_MAX_MS * MS;
      for (a = 0; a < AGENTS; a++)
        agent_tick (w->agents[a], w->now_us);
      check_ (w);
    }
  for (a = 0; a < AGENTS; a++)
    {
      struct rgy_admission *admission = agent_admission (w->agents[a]);

      assert_int_equal (rgy_admission_get_running (admission), 0);
      assert_int_equal (rgy_admission_get_queued (admission), 0);
      assert_int_equal (w->agents[a]->in_flight, 0);
      for (flow = 0; flow < FLOWS; flow++)
        if (w->held[a][flow] != NULL)
          assert_int_equal (
              rgy_request_engine_get_outstanding (w->held[a][flow]), 0);
    }
}

static unsigned
run_ (guint32 seed)
{
  struct world_ w = { .rand = g_rand_new_with_seed (seed),
                      .moving_from = -1,
                      .next_epoch = 100 };
  unsigned a;
  unsigned flow;
  int step;

  for (a = 0; a < AGENTS; a++)
    w.agents[a] = agent_new (++w.next_epoch, a == 0);
  for (flow = 0; flow < FLOWS; flow++)
    w.sent[flow] = g_ptr_array_new_with_free_func (sent_free_);
  w.pending = g_ptr_array_new_with_free_func (pending_free_);
  for (step = 0; step < STEPS; step++)
    step_ (&w);
  check_slots_ (&w);
  for (a = 0; a < AGENTS; a++)
    restart_ (&w, a);
  for (a = 0; a < AGENTS; a++)
    agent_delete (w.agents[a]);
  for (flow = 0; flow < FLOWS; flow++)
    {
      g_ptr_array_unref (w.sent[flow]);
      g_clear_pointer (&w.echoes[flow], g_bytes_unref);
    }
  g_ptr_array_unref (w.pending);
  g_rand_free (w.rand);
  return w.accepted;
}

/* Guards against a record that runs twice, a false "not-run", an answer given
   to another request or flow, and a slot or a contract's request that is never
   released.  */
void
random_interleavings_keep_the_guarantees (void **state)
{
  guint32 seed;
  unsigned accepted = 0;

  (void)state;
  for (seed = 1; seed <= SEEDS; seed++)
    {
      print_message ("seed %u\r", seed);
      accepted += run_ (seed);
    }
  /* The runs must not pass by refusing everything.  */
  assert_true (accepted > SEEDS * STEPS / 40);
}

/* Guards against crashes and reads out of bounds on malformed or unexpected
   datagrams from either side.  */
void
random_datagrams_do_no_harm (void **state)
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

      /* Random bytes, or a message of the engine with some bytes changed.  */
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
          agent_tick (a, round * MS);
          forget_messages (a);
          agent_from_caller (a, &flow, request, round * MS);
        }
      if (round % 5000 == 0)
        rgy_request_engine_forget (a->engine, &flow);
      g_byte_array_unref (datagram);
    }
  rgy_request_engine_forget (a->engine, &flow);
  assert_int_equal (a->in_flight, 0);
  g_byte_array_unref (request);
  g_rand_free (rand);
  agent_delete (a);
}
