#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <msgpack.h>

#include "ragwortyoke/clock.h"
#include "ragwortyoke/member.h"

#define SEED_COUNT 20

static struct rgy_name
numbered_name_ (const char *prefix, unsigned number)
{
  char text[32];

  g_snprintf (text, sizeof text, "%s-%u", prefix, number);
  return rgy_name_from_c (text);
}

static struct rgy_bytes
get_bytes_ (const GByteArray *array)
{
  return (struct rgy_bytes){ .data = array->data, .len = array->len };
}

/* Encoding and decoding of records.  */

static struct rgy_agent_record
make_agent_record_ (void)
{
  return (struct rgy_agent_record){
    .id = rgy_name_from_c ("agent-poa-a-1"),
    .epoch = UINT64_MAX,
    .sequence = 4,
    .state = RGY_MEMBER_READY,
    .domain = rgy_name_from_c ("poa-a"),
    .endpoint = { .ip = 0x7f000001, .port = 7001 },
    .service = { .ip = 0x0a000001, .port = 5683 },
  };
}

static struct rgy_balancer_record
make_balancer_record_ (void)
{
  struct rgy_balancer_record record = {
    .id = rgy_name_from_c ("balancer-1"),
    .epoch = 3,
    .sequence = 9,
    .state = RGY_MEMBER_DEAD,
    .domain = rgy_name_from_c ("cxs-c"),
    .endpoint = { .ip = 0x7f000001, .port = 1 },
    .sync = { .ip = 0xffffffff, .port = 65535 },
    .config_digest = UINT64_C (0x8000000000000001),
    .lagging_count = 30,
    .demand_count = RGY_DEMAND_MAX,
  };
  unsigned i;

  for (i = 0; i < RGY_LAGGING_NAMES_MAX; i++)
    record.lagging[i] = numbered_name_ ("agent", i);
  for (i = 0; i < RGY_DEMAND_MAX; i++)
    record.demand[i]
        = (struct rgy_demand){ .customer = numbered_name_ ("customer", i),
                               .bytes_per_s = UINT64_MAX - i };
  return record;
}

static void
assert_agent_equal_ (const struct rgy_agent_record *a,
                     const struct rgy_agent_record *b)
{
  assert_true (rgy_name_equal (&a->id, &b->id));
  assert_true (a->epoch == b->epoch && a->sequence == b->sequence);
  assert_int_equal (a->state, b->state);
  assert_true (rgy_name_equal (&a->domain, &b->domain));
  assert_true (rgy_endpoint_equal (a->endpoint, b->endpoint));
  assert_true (rgy_endpoint_equal (a->service, b->service));
}

static void
assert_balancer_equal_ (const struct rgy_balancer_record *a,
                        const struct rgy_balancer_record *b)
{
  size_t i;

  assert_true (rgy_name_equal (&a->id, &b->id));
  assert_true (a->epoch == b->epoch && a->sequence == b->sequence);
  assert_int_equal (a->state, b->state);
  assert_true (rgy_name_equal (&a->domain, &b->domain));
  assert_true (rgy_endpoint_equal (a->endpoint, b->endpoint));
  assert_true (rgy_endpoint_equal (a->sync, b->sync));
  assert_true (rgy_endpoint_equal (a->http, b->http));
  assert_true (a->config_digest == b->config_digest);
  assert_int_equal (a->lagging_count, b->lagging_count);
  for (i = 0; i < RGY_LAGGING_NAMES_MAX; i++)
    assert_true (rgy_name_equal (&a->lagging[i], &b->lagging[i]));
  assert_int_equal (a->demand_count, b->demand_count);
  for (i = 0; i < a->demand_count; i++)
    {
      assert_true (
          rgy_name_equal (&a->demand[i].customer, &b->demand[i].customer));
      assert_true (a->demand[i].bytes_per_s == b->demand[i].bytes_per_s);
    }
}

/* Guards against a field that the codec loses or swaps, which
   would misdirect traffic.  */
static void
records_round_trip_unchanged_ (void **state)
{
  struct rgy_agent_record agent = make_agent_record_ ();
  struct rgy_balancer_record balancer = make_balancer_record_ ();
  struct rgy_balancer_record plain = make_balancer_record_ ();
  struct rgy_agent_record agent_out;
  struct rgy_balancer_record balancer_out;
  GByteArray *bytes;

  (void)state;
  bytes = rgy_agent_record_encode (&agent);
  assert_int_equal (rgy_agent_record_decode (get_bytes_ (bytes), &agent_out),
                    RGY_OK);
  assert_agent_equal_ (&agent, &agent_out);
  g_byte_array_unref (bytes);
  bytes = rgy_balancer_record_encode (&balancer);
  assert_int_equal (
      rgy_balancer_record_decode (get_bytes_ (bytes), &balancer_out), RGY_OK);
  assert_balancer_equal_ (&balancer, &balancer_out);
  g_byte_array_unref (bytes);
  /* Decoding into a used record must not leave anything of
     its earlier contents.  */
  plain.lagging_count = 0;
  memset (plain.lagging, 0, sizeof plain.lagging);
  plain.demand_count = 0;
  plain.sync = (struct rgy_endpoint){ 0 };
  bytes = rgy_balancer_record_encode (&plain);
  assert_int_equal (
      rgy_balancer_record_decode (get_bytes_ (bytes), &balancer_out), RGY_OK);
  assert_balancer_equal_ (&plain, &balancer_out);
  g_byte_array_unref (bytes);
}

/* Guards against reads past the end of a truncated record, and against a
   rejected record that overwrites the last valid one.  */
static void
truncated_records_are_rejected_ (void **state)
{
  struct rgy_agent_record agent = make_agent_record_ ();
  struct rgy_balancer_record balancer = make_balancer_record_ ();
  struct rgy_agent_record agent_out = agent;
  struct rgy_balancer_record balancer_out = balancer;
  GByteArray *bytes;
  uint8_t *copy;
  size_t len;

  (void)state;
  bytes = rgy_agent_record_encode (&agent);
  for (len = 0; len < bytes->len; len++)
    {
      /* The copy has the exact size, so that the address sanitizer detects
         every overrun.  */
      copy = g_memdup2 (bytes->data, len);
      assert_int_equal (
          rgy_agent_record_decode (
              (struct rgy_bytes){ .data = copy, .len = len }, &agent_out),
          RGY_ERR_INVALID);
      g_free (copy);
    }
  g_byte_array_append (bytes, (const guint8 *)"\xc0", 1);
  assert_int_equal (rgy_agent_record_decode (get_bytes_ (bytes), &agent_out),
                    RGY_ERR_INVALID);
  assert_agent_equal_ (&agent, &agent_out);
  g_byte_array_unref (bytes);
  bytes = rgy_balancer_record_encode (&balancer);
  for (len = 0; len < bytes->len; len++)
    {
      copy = g_memdup2 (bytes->data, len);
      assert_int_equal (
          rgy_balancer_record_decode (
              (struct rgy_bytes){ .data = copy, .len = len }, &balancer_out),
          RGY_ERR_INVALID);
      g_free (copy);
    }
  assert_balancer_equal_ (&balancer, &balancer_out);
  g_byte_array_unref (bytes);
}

/* Guards against a decoder that crashes on random damage or accepts a record
   that violates its invariants.  */
static void
damaged_records_are_safe_ (void **state)
{
  struct rgy_agent_record agent = make_agent_record_ ();
  struct rgy_balancer_record balancer = make_balancer_record_ ();
  struct rgy_agent_record agent_out;
  struct rgy_balancer_record balancer_out;
  GByteArray *good[2];
  uint8_t *copy;
  GRand *rand;
  guint32 seed;
  unsigned changes;
  unsigned i;
  size_t len;

  (void)state;
  good[0] = rgy_agent_record_encode (&agent);
  good[1] = rgy_balancer_record_encode (&balancer);
  for (seed = 1; seed <= 4000; seed++)
    {
      rand = g_rand_new_with_seed (seed);
      len = good[seed % 2]->len;
      copy = g_memdup2 (good[seed % 2]->data, len);
      changes = (unsigned)g_rand_int_range (rand, 1, 5);
      for (i = 0; i < changes; i++)
        copy[g_rand_int_range (rand, 0, (gint32)len)]
            = (uint8_t)g_rand_int (rand);
      if (rgy_agent_record_decode (
              (struct rgy_bytes){ .data = copy, .len = len }, &agent_out)
          == RGY_OK)
        {
          assert_in_range (agent_out.id.len, 1, RGY_NAME_MAX_BYTES);
          assert_in_range (agent_out.state, 0, RGY_MEMBER_STATE_COUNT - 1);
          assert_int_equal (agent_out.state == RGY_MEMBER_DEAD,
                            agent_out.sequence % 2);
        }
      if (rgy_balancer_record_decode (
              (struct rgy_bytes){ .data = copy, .len = len }, &balancer_out)
          == RGY_OK)
        {
          assert_in_range (balancer_out.id.len, 1, RGY_NAME_MAX_BYTES);
          assert_in_range (balancer_out.state, 0, RGY_MEMBER_STATE_COUNT - 1);
          assert_in_range (balancer_out.demand_count, 0, RGY_DEMAND_MAX);
        }
      g_free (copy);
      g_rand_free (rand);
    }
  g_byte_array_unref (good[0]);
  g_byte_array_unref (good[1]);
}

/* Guards against a decoder that allocates memory for a huge array, map or
   string that a few bytes announce.  */
static void
huge_length_fields_are_rejected_ (void **state)
{
  static const struct
  {
    const char *bytes;
    size_t len;
  } inputs[] = {
    { "\xdd\xff\xff\xff\xff", 5 },
    { "\xdf\xff\xff\xff\xff", 5 },
    { "\xdb\xff\xff\xff\xff", 5 },
    { "\xc6\xff\xff\xff\xff", 5 },
    { "\xc9\xff\xff\xff\xff\x01", 6 },
    { "\xdc\xff\xff\x01", 4 },
    { "\x91\xdd\x0f\xff\xff\xff\x01", 7 },
    { "\xc1", 1 },
    { "\xc7\x00", 2 },
    { "\x9f\xdf\x80\x00\x00\x00", 6 },
  };
  struct rgy_agent_record record;
  uint8_t deep[512];
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (inputs); i++)
    assert_int_equal (
        rgy_agent_record_decode (
            (struct rgy_bytes){ .data = (const uint8_t *)inputs[i].bytes,
                                .len = inputs[i].len },
            &record),
        RGY_ERR_INVALID);
  memset (deep, 0x91, sizeof deep);
  deep[sizeof deep - 1] = 0x90;
  assert_int_equal (
      rgy_agent_record_decode (
          (struct rgy_bytes){ .data = deep, .len = sizeof deep }, &record),
      RGY_ERR_INVALID);
}

/* Guards against values on the blackboard that no member writes.  */
static void
contradictory_records_are_rejected_ (void **state)
{
  struct rgy_agent_record record = make_agent_record_ ();
  struct rgy_agent_record out;
  struct rgy_agent_record bad[6];
  enum rgy_outcome expected[G_N_ELEMENTS (bad)];
  GByteArray *bytes;
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      bad[i] = record;
      expected[i] = RGY_ERR_INVALID;
    }
  bad[0].state = RGY_MEMBER_STATE_COUNT;
  expected[0] = RGY_ERR_UNSUPPORTED;
  bad[1].state = RGY_MEMBER_DEAD; /* The sequence is even.  */
  bad[2].sequence = 5;            /* The sequence is odd although the state is
                                     not dead.  */
  memset (&bad[3].domain, 0, sizeof bad[3].domain);
  bad[4].endpoint.port = 0;
  bad[5].service = (struct rgy_endpoint){ 0 };
  for (i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      bytes = rgy_agent_record_encode (&bad[i]);
      assert_int_equal (rgy_agent_record_decode (get_bytes_ (bytes), &out),
                        expected[i]);
      g_byte_array_unref (bytes);
    }
}

/* During an upgrade a newer process appends fields.  Guards against an older
   process that rejects such a record.  */
static void
trailing_elements_are_ignored_ (void **state)
{
  struct rgy_agent_record agent = make_agent_record_ ();
  struct rgy_balancer_record balancer = make_balancer_record_ ();
  struct rgy_agent_record agent_out;
  struct rgy_balancer_record balancer_out;
  GByteArray *bytes;

  (void)state;
  bytes = rgy_agent_record_encode (&agent);
  assert_int_equal (bytes->data[0] & 0xf0, 0x90);
  bytes->data[0] += 2;
  g_byte_array_append (bytes, (const guint8 *)"\xa3new\x93\x01\x02\x03", 8);
  assert_int_equal (rgy_agent_record_decode (get_bytes_ (bytes), &agent_out),
                    RGY_OK);
  assert_agent_equal_ (&agent, &agent_out);
  g_byte_array_unref (bytes);
  bytes = rgy_balancer_record_encode (&balancer);
  assert_int_equal (bytes->data[0] & 0xf0, 0x90);
  bytes->data[0] += 1;
  g_byte_array_append (bytes, (const guint8 *)"\x81\x01\xc3", 3);
  assert_int_equal (
      rgy_balancer_record_decode (get_bytes_ (bytes), &balancer_out), RGY_OK);
  assert_balancer_equal_ (&balancer, &balancer_out);
  g_byte_array_unref (bytes);
}

static int
append_bytes_ (void *data, const char *bytes, size_t len)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)len);
  return 0;
}

static void
pack_text_ (msgpack_packer *pk, const char *text)
{
  msgpack_pack_str (pk, strlen (text));
  msgpack_pack_str_body (pk, text, strlen (text));
}

/* Encodes a balancer record with lists of any length.  */
static GByteArray *
encode_lists_ (uint32_t lagging_count, unsigned names, unsigned demands)
{
  GByteArray *bytes = g_byte_array_new ();
  msgpack_packer pk;
  unsigned i;

  msgpack_packer_init (&pk, bytes, append_bytes_);
  msgpack_pack_array (&pk, 12);
  pack_text_ (&pk, "balancer-1");
  msgpack_pack_uint64 (&pk, 1);
  msgpack_pack_uint64 (&pk, 2);
  msgpack_pack_uint64 (&pk, RGY_MEMBER_READY);
  pack_text_ (&pk, "cxs-c");
  msgpack_pack_uint64 (&pk, UINT64_C (0x7f0000010001));
  msgpack_pack_uint64 (&pk, 0);
  msgpack_pack_uint64 (&pk, 0);
  msgpack_pack_uint64 (&pk, 0);
  msgpack_pack_uint64 (&pk, lagging_count);
  msgpack_pack_array (&pk, names);
  for (i = 0; i < names; i++)
    pack_text_ (&pk, numbered_name_ ("agent", i).data);
  msgpack_pack_array (&pk, demands);
  for (i = 0; i < demands; i++)
    {
      msgpack_pack_array (&pk, 2);
      pack_text_ (&pk, numbered_name_ ("customer", i).data);
      msgpack_pack_uint64 (&pk, i);
    }
  return bytes;
}

/* Guards against writes past the end of the record's arrays when
   lists are longer.  */
static void
long_lists_are_bounded_ (void **state)
{
  struct rgy_balancer_record record;
  struct rgy_name name;
  GByteArray *bytes;

  (void)state;
  bytes = encode_lists_ (1000, 100, 100);
  assert_int_equal (rgy_balancer_record_decode (get_bytes_ (bytes), &record),
                    RGY_OK);
  g_byte_array_unref (bytes);
  assert_int_equal (record.lagging_count, 1000);
  name = numbered_name_ ("agent", RGY_LAGGING_NAMES_MAX - 1);
  assert_true (
      rgy_name_equal (&record.lagging[RGY_LAGGING_NAMES_MAX - 1], &name));
  assert_int_equal (record.demand_count, RGY_DEMAND_MAX);
  /* There are more names than lagging agents.  */
  bytes = encode_lists_ (1, 2, 0);
  assert_int_equal (rgy_balancer_record_decode (get_bytes_ (bytes), &record),
                    RGY_ERR_INVALID);
  g_byte_array_unref (bytes);
}

/* Rendezvous hashing.  */

/* Guards against processes that choose different members because they list
   them in another order, and against the loss of one member that changes
   choices other than its own.  */
static void
choice_depends_only_on_the_set_ (void **state)
{
  enum
  {
    MEMBERS = 20,
    SUBJECTS = 2000,
    WANTED = 3
  };
  struct rgy_name members[MEMBERS];
  struct rgy_name reversed[MEMBERS];
  unsigned load[MEMBERS] = { 0 };
  size_t chosen[WANTED];
  size_t other[WANTED];
  struct rgy_name subject;
  unsigned i;
  unsigned k;
  unsigned n;

  (void)state;
  for (i = 0; i < MEMBERS; i++)
    {
      members[i] = numbered_name_ ("balancer", i);
      reversed[MEMBERS - 1 - i] = members[i];
    }
  for (i = 0; i < SUBJECTS; i++)
    {
      subject = numbered_name_ ("agent", i);
      assert_int_equal (
          rgy_member_choose (&subject, members, MEMBERS, WANTED, chosen),
          WANTED);
      assert_int_equal (
          rgy_member_choose (&subject, reversed, MEMBERS, WANTED, other),
          WANTED);
      for (k = 0; k < WANTED; k++)
        {
          load[chosen[k]]++;
          assert_int_equal (chosen[k], MEMBERS - 1 - other[k]);
        }
      assert_true (chosen[0] != chosen[1] && chosen[1] != chosen[2]
                   && chosen[0] != chosen[2]);
      /* Without the last member, the others keep their order.  */
      rgy_member_choose (&subject, members, MEMBERS - 1, WANTED, other);
      n = 0;
      for (k = 0; k < WANTED; k++)
        if (chosen[k] != MEMBERS - 1)
          assert_int_equal (other[n++], chosen[k]);
    }
  for (i = 0; i < MEMBERS; i++)
    assert_in_range (load[i], SUBJECTS * WANTED / MEMBERS * 7 / 10,
                     SUBJECTS * WANTED / MEMBERS * 13 / 10);
}

/* Guards against reads past the list when there are fewer members than wanted,
   or none.  */
static void
choice_handles_few_members_ (void **state)
{
  struct rgy_name members[] = { rgy_name_from_c ("a"), rgy_name_from_c ("b") };
  struct rgy_name subject = rgy_name_from_c ("agent");
  size_t chosen[3];

  (void)state;
  assert_int_equal (rgy_member_choose (&subject, members, 2, 3, chosen), 2);
  assert_int_equal (chosen[0] + chosen[1], 1);
  assert_int_equal (rgy_member_choose (&subject, members, 0, 3, chosen), 0);
  assert_int_equal (rgy_member_choose (&subject, members, 2, 0, chosen), 0);
}

/* Failure detection.  */

#define TICK_US (100 * RGY_US_PER_MS)
#define FLEET_MAX 30

/* Members that send a heartbeat every second while they are up.  */
struct fleet_
{
  struct rgy_liveness *liveness;
  struct rgy_name ids[FLEET_MAX];
  bool up[FLEET_MAX];
  int64_t phase_us[FLEET_MAX];
  unsigned count;
  int64_t now_us;
  /* Events returned by the failure detector.  */
  unsigned protections_started;
  unsigned protections_ended;
  unsigned probes[FLEET_MAX];
  unsigned deaths[FLEET_MAX];
  int64_t probed_us[FLEET_MAX];
  int64_t dead_us[FLEET_MAX];
};

static void
fleet_init_ (struct fleet_ *f, unsigned count, guint32 seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  unsigned i;

  memset (f, 0, sizeof *f);
  f->liveness = rgy_liveness_new (&rgy_liveness_defaults);
  f->count = count;
  f->now_us = 1000 * RGY_US_PER_S;
  for (i = 0; i < count; i++)
    {
      f->ids[i] = numbered_name_ ("agent", i);
      f->up[i] = true;
      f->phase_us[i] = g_rand_int_range (rand, 0, 10) * TICK_US;
      rgy_liveness_note_message (f->liveness, &f->ids[i], f->now_us);
    }
  g_rand_free (rand);
}

static unsigned
fleet_index_ (const struct fleet_ *f, const struct rgy_name *id)
{
  unsigned i;

  for (i = 0; i < f->count; i++)
    if (rgy_name_equal (&f->ids[i], id))
      return i;
  fail_msg ("event for an unknown member %s", id->data);
  return 0;
}

static void
fleet_handle_events_ (struct fleet_ *f)
{
  struct rgy_liveness_event event;
  unsigned i;

  while (rgy_liveness_next (f->liveness, f->now_us, &event))
    switch (event.kind)
      {
      case RGY_LIVENESS_PROBE:
        i = fleet_index_ (f, &event.id);
        f->probes[i]++;
        f->probed_us[i] = f->now_us;
        /* A member that is up answers the probe at once.  */
        if (f->up[i])
          rgy_liveness_note_message (f->liveness, &f->ids[i], f->now_us);
        break;
      case RGY_LIVENESS_DEAD:
        i = fleet_index_ (f, &event.id);
        f->deaths[i]++;
        f->dead_us[i] = f->now_us;
        assert_false (rgy_liveness_is_cut_protected (f->liveness));
        assert_false (rgy_liveness_is_watched (f->liveness, &event.id));
        break;
      case RGY_LIVENESS_CUT_PROTECTION_ON:
        f->protections_started++;
        assert_true (rgy_liveness_is_cut_protected (f->liveness));
        break;
      case RGY_LIVENESS_CUT_PROTECTION_OFF:
        f->protections_ended++;
        assert_false (rgy_liveness_is_cut_protected (f->liveness));
        break;
      }
}

static void
fleet_run_ (struct fleet_ *f, int64_t duration_us)
{
  int64_t end_us = f->now_us + duration_us;
  unsigned i;

  while (f->now_us < end_us)
    {
      f->now_us += TICK_US;
      for (i = 0; i < f->count; i++)
        if (f->up[i] && f->now_us % RGY_US_PER_S == f->phase_us[i])
          rgy_liveness_note_message (f->liveness, &f->ids[i], f->now_us);
      fleet_handle_events_ (f);
    }
}

static void
fleet_set_members_up_ (struct fleet_ *f, unsigned from, unsigned to, bool up)
{
  unsigned i;

  for (i = from; i < to; i++)
    f->up[i] = up;
}

static unsigned
fleet_death_count_ (const struct fleet_ *f)
{
  unsigned count = 0;
  unsigned i;

  for (i = 0; i < f->count; i++)
    count += f->deaths[i];
  return count;
}

/* Guards against a dead agent that is not detected within about 3 s, against
   probes to a member that sends heartbeats, and against a declaration of death
   before the time for the answer to the probe has passed.  */
static void
unresponsive_member_is_probed_then_declared_dead_ (void **state)
{
  struct fleet_ f;
  int64_t stopped_us;
  unsigned i;

  (void)state;
  fleet_init_ (&f, 10, 1);
  fleet_run_ (&f, 60 * RGY_US_PER_S);
  for (i = 0; i < f.count; i++)
    assert_int_equal (f.probes[i], 0);
  f.up[4] = false;
  stopped_us = f.now_us;
  fleet_run_ (&f, 10 * RGY_US_PER_S);
  assert_int_equal (f.probes[4], 1);
  assert_int_equal (f.deaths[4], 1);
  assert_int_equal (fleet_death_count_ (&f), 1);
  assert_true (f.dead_us[4] - f.probed_us[4] == RGY_US_PER_S);
  assert_true (f.dead_us[4] - stopped_us <= 3 * RGY_US_PER_S);
  assert_true (f.dead_us[4] - stopped_us >= 2 * RGY_US_PER_S);
  assert_int_equal (f.protections_started, 0);
  rgy_liveness_delete (f.liveness);
}

/* Guards against a declaration of death for a member whose heartbeats were
   lost but which answers the probe.  */
static void
answered_probe_prevents_death_ (void **state)
{
  struct rgy_liveness *liveness = rgy_liveness_new (&rgy_liveness_defaults);
  struct rgy_name id = rgy_name_from_c ("agent");
  struct rgy_liveness_event event;
  int64_t t = 5 * RGY_US_PER_S;

  (void)state;
  rgy_liveness_note_message (liveness, &id, t);
  assert_false (rgy_liveness_next (liveness, t + 1999999, &event));
  assert_true (rgy_liveness_next (liveness, t + 2000000, &event));
  assert_int_equal (event.kind, RGY_LIVENESS_PROBE);
  assert_false (rgy_liveness_next (liveness, t + 2999999, &event));
  rgy_liveness_note_message (liveness, &id, t + 2999999);
  assert_false (rgy_liveness_next (liveness, t + 3000000, &event));
  /* A message that is reported late must not set the member's
     last-seen time back.  */
  rgy_liveness_note_message (liveness, &id, t);
  assert_false (rgy_liveness_next (liveness, t + 4999998, &event));
  assert_true (rgy_liveness_next (liveness, t + 4999999, &event));
  assert_int_equal (event.kind, RGY_LIVENESS_PROBE);
  rgy_liveness_delete (liveness);
}

/* To a balancer that was itself paused, every member seems to have been
   unresponsive for a long time.  Guards against members that are declared dead
   without a probe and the time to answer it.  */
static void
members_are_probed_before_death_after_long_pause_ (void **state)
{
  struct fleet_ f;
  unsigned i;

  (void)state;
  /* Three members are below the minimum of the cut protection.  */
  fleet_init_ (&f, 3, 1);
  fleet_run_ (&f, 5 * RGY_US_PER_S);
  f.now_us += 600 * RGY_US_PER_S;
  fleet_handle_events_ (&f);
  fleet_run_ (&f, 5 * RGY_US_PER_S);
  for (i = 0; i < f.count; i++)
    assert_int_equal (f.probes[i], 1);
  assert_int_equal (fleet_death_count_ (&f), 0);
  rgy_liveness_delete (f.liveness);
}

/* Guards against a dead member that returns but is not watched again, or whose
   death still counts for the cut protection.  */
static void
returning_member_is_watched_again_ (void **state)
{
  struct fleet_ f;

  (void)state;
  fleet_init_ (&f, 8, 2);
  fleet_set_members_up_ (&f, 0, 4, false);
  fleet_run_ (&f, 5 * RGY_US_PER_S);
  assert_int_equal (fleet_death_count_ (&f), 4);
  assert_int_equal (f.protections_started, 0);
  assert_false (rgy_liveness_is_watched (f.liveness, &f.ids[0]));
  fleet_set_members_up_ (&f, 0, 4, true);
  fleet_run_ (&f, 2 * RGY_US_PER_S);
  assert_true (rgy_liveness_is_watched (f.liveness, &f.ids[0]));
  /* Within the window of the first deaths, 3 of 8 members are unresponsive.
     It would be 7 of 12 if the returned members still counted as dead.  */
  fleet_set_members_up_ (&f, 5, 8, false);
  fleet_run_ (&f, 4 * RGY_US_PER_S);
  assert_int_equal (f.protections_started, 0);
  assert_int_equal (fleet_death_count_ (&f), 7);
  fleet_run_ (&f, 15 * RGY_US_PER_S);
  f.up[0] = false;
  fleet_run_ (&f, 4 * RGY_US_PER_S);
  assert_int_equal (f.deaths[0], 2);
  rgy_liveness_delete (f.liveness);
}

/* Guards against a member that left gracefully and is then
   treated as unresponsive.  */
static void
removed_member_is_not_watched_ (void **state)
{
  struct fleet_ f;

  (void)state;
  fleet_init_ (&f, 5, 3);
  f.up[2] = false;
  rgy_liveness_remove (f.liveness, &f.ids[2]);
  fleet_run_ (&f, 10 * RGY_US_PER_S);
  assert_int_equal (f.probes[2], 0);
  assert_int_equal (fleet_death_count_ (&f), 0);
  rgy_liveness_delete (f.liveness);
}

/* Guards against a balancer that declares all agents dead while a partition
   separates it from them, however long the partition lasts, and against one
   that does not recover when it ends.  */
static void
partition_declares_no_member_dead_ (void **state)
{
  struct fleet_ f;
  guint32 seed;
  unsigned lost;

  (void)state;
  for (seed = 1; seed <= SEED_COUNT; seed++)
    for (lost = 6; lost <= 10; lost += 2)
      {
        fleet_init_ (&f, 10, seed);
        fleet_run_ (&f, 5 * RGY_US_PER_S);
        fleet_set_members_up_ (&f, 0, lost, false);
        fleet_run_ (&f, 600 * RGY_US_PER_S);
        assert_int_equal (f.protections_started, 1);
        assert_int_equal (f.protections_ended, 0);
        assert_int_equal (fleet_death_count_ (&f), 0);
        /* Members that send messages only in answer to a probe must be
           able to return.  */
        assert_true (f.probed_us[0] > f.now_us - 5 * RGY_US_PER_S);
        fleet_set_members_up_ (&f, 0, lost, true);
        fleet_run_ (&f, 20 * RGY_US_PER_S);
        assert_int_equal (f.protections_started, 1);
        assert_int_equal (f.protections_ended, 1);
        assert_int_equal (fleet_death_count_ (&f), 0);
        rgy_liveness_delete (f.liveness);
      }
}

/* When the share of unresponsive members falls, the rest may only have missed
   probes during the partition.  Guards against declaring them dead without
   another probe.  */
static void
members_are_probed_again_after_partition_ (void **state)
{
  struct fleet_ f;
  unsigned before[2];
  unsigned i;

  (void)state;
  fleet_init_ (&f, 10, 4);
  fleet_run_ (&f, 5 * RGY_US_PER_S);
  fleet_set_members_up_ (&f, 0, 10, false);
  fleet_run_ (&f, 30 * RGY_US_PER_S);
  assert_int_equal (f.protections_started, 1);
  for (i = 0; i < 2; i++)
    before[i] = f.probes[i];
  for (i = 2; i < 10; i++)
    {
      f.up[i] = true;
      rgy_liveness_note_message (f.liveness, &f.ids[i], f.now_us);
    }
  /* Cut protection ends and two members are probed again at the same time.  */
  fleet_handle_events_ (&f);
  assert_int_equal (f.protections_ended, 1);
  for (i = 0; i < 2; i++)
    {
      assert_int_equal (f.probes[i], before[i] + 1);
      assert_true (f.probed_us[i] == f.now_us);
    }
  assert_int_equal (fleet_death_count_ (&f), 0);
  /* Member 0 answers the new probe, member 1 does not.  */
  f.up[0] = true;
  rgy_liveness_note_message (f.liveness, &f.ids[0], f.now_us);
  fleet_run_ (&f, 3 * RGY_US_PER_S);
  assert_int_equal (f.deaths[0], 0);
  assert_int_equal (f.deaths[1], 1);
  assert_true (f.dead_us[1] - f.probed_us[1] == RGY_US_PER_S);
  assert_int_equal (fleet_death_count_ (&f), 1);
  rgy_liveness_delete (f.liveness);
}

/* Guards against missing cut protection when a network fails gradually within
   the window.  */
static void
deaths_within_window_count_for_cut_protection_ (void **state)
{
  struct fleet_ f;

  (void)state;
  fleet_init_ (&f, 10, 5);
  fleet_run_ (&f, 5 * RGY_US_PER_S);
  fleet_set_members_up_ (&f, 0, 3, false);
  fleet_run_ (&f, 4 * RGY_US_PER_S);
  assert_int_equal (fleet_death_count_ (&f), 3);
  fleet_set_members_up_ (&f, 3, 6, false);
  fleet_run_ (&f, 4 * RGY_US_PER_S);
  assert_int_equal (f.protections_started, 1);
  assert_int_equal (fleet_death_count_ (&f), 3);
  /* After the window 3 of 7 members are unresponsive, too few
     for cut protection.  */
  fleet_run_ (&f, 20 * RGY_US_PER_S);
  assert_int_equal (f.protections_ended, 1);
  assert_int_equal (fleet_death_count_ (&f), 6);
  rgy_liveness_delete (f.liveness);
}

/* Guards against deaths far apart that together switch cut protection on, so
   that dead agents would stay in the tables.  */
static void
deaths_outside_window_do_not_count_ (void **state)
{
  struct fleet_ f;
  unsigned i;

  (void)state;
  fleet_init_ (&f, 12, 6);
  for (i = 0; i < 8; i++)
    {
      f.up[i] = false;
      fleet_run_ (&f, 15 * RGY_US_PER_S);
      assert_int_equal (fleet_death_count_ (&f), i + 1);
    }
  assert_int_equal (f.protections_started, 0);
  rgy_liveness_delete (f.liveness);
}

/* Guards against cut protection at exactly half of the members, and in groups
   below the minimum size.  */
static void
cut_protection_thresholds_are_exact_ (void **state)
{
  struct fleet_ f;

  (void)state;
  fleet_init_ (&f, 4, 7);
  fleet_set_members_up_ (&f, 0, 2, false);
  fleet_run_ (&f, 5 * RGY_US_PER_S);
  assert_int_equal (f.protections_started, 0);
  assert_int_equal (fleet_death_count_ (&f), 2);
  rgy_liveness_delete (f.liveness);
  fleet_init_ (&f, 4, 7);
  fleet_set_members_up_ (&f, 0, 3, false);
  fleet_run_ (&f, 5 * RGY_US_PER_S);
  assert_int_equal (f.protections_started, 1);
  assert_int_equal (fleet_death_count_ (&f), 0);
  rgy_liveness_delete (f.liveness);
  fleet_init_ (&f, 3, 7);
  fleet_set_members_up_ (&f, 0, 3, false);
  fleet_run_ (&f, 5 * RGY_US_PER_S);
  assert_int_equal (f.protections_started, 0);
  assert_int_equal (fleet_death_count_ (&f), 3);
  rgy_liveness_delete (f.liveness);
}

/* Guards against a balancer that is cut off from the others and declares an
   agent dead that only it cannot reach: nobody could have acknowledged the
   agent.  */
static void
no_member_dies_while_other_monitors_are_out_of_contact_ (void **state)
{
  struct fleet_ f;
  unsigned i;

  (void)state;
  fleet_init_ (&f, 6, 11);
  fleet_run_ (&f, RGY_US_PER_S);
  rgy_liveness_set_monitor_contact (f.liveness, f.now_us);
  fleet_set_members_up_ (&f, 0, 1, false);
  fleet_run_ (&f, 8 * RGY_US_PER_S);
  assert_int_equal (fleet_death_count_ (&f), 0);
  /* Back in contact, the balancer probes once more before it decides.  */
  for (i = 0; i < 5; i++)
    {
      rgy_liveness_set_monitor_contact (f.liveness, f.now_us);
      fleet_run_ (&f, 100 * RGY_US_PER_MS);
    }
  assert_int_equal (fleet_death_count_ (&f), 0);
  rgy_liveness_set_monitor_contact (f.liveness, INT64_MAX);
  fleet_run_ (&f, 2 * RGY_US_PER_S);
  assert_int_equal (fleet_death_count_ (&f), 1);
  rgy_liveness_delete (f.liveness);
}

/* Guards against a survivor of two failures that never declares an agent dead:
   deaths of other monitors count only within the window.  */
static void
last_contact_tells_apart_silent_and_absent_members_ (void **state)
{
  struct fleet_ f;

  (void)state;
  fleet_init_ (&f, 2, 3);
  fleet_run_ (&f, RGY_US_PER_S);
  assert_true (rgy_liveness_get_last_contact (f.liveness, f.now_us)
               >= f.now_us - RGY_US_PER_S);
  fleet_set_members_up_ (&f, 0, 2, false);
  fleet_run_ (&f, 5 * RGY_US_PER_S);
  assert_int_equal (fleet_death_count_ (&f), 2);
  assert_true (rgy_liveness_get_last_contact (f.liveness, f.now_us) == 0);
  fleet_run_ (&f, 12 * RGY_US_PER_S);
  assert_true (rgy_liveness_get_last_contact (f.liveness, f.now_us)
               == INT64_MAX);
  rgy_liveness_delete (f.liveness);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (records_round_trip_unchanged_),
    cmocka_unit_test (truncated_records_are_rejected_),
    cmocka_unit_test (damaged_records_are_safe_),
    cmocka_unit_test (huge_length_fields_are_rejected_),
    cmocka_unit_test (contradictory_records_are_rejected_),
    cmocka_unit_test (trailing_elements_are_ignored_),
    cmocka_unit_test (long_lists_are_bounded_),
    cmocka_unit_test (choice_depends_only_on_the_set_),
    cmocka_unit_test (choice_handles_few_members_),
    cmocka_unit_test (unresponsive_member_is_probed_then_declared_dead_),
    cmocka_unit_test (answered_probe_prevents_death_),
    cmocka_unit_test (members_are_probed_before_death_after_long_pause_),
    cmocka_unit_test (returning_member_is_watched_again_),
    cmocka_unit_test (removed_member_is_not_watched_),
    cmocka_unit_test (partition_declares_no_member_dead_),
    cmocka_unit_test (members_are_probed_again_after_partition_),
    cmocka_unit_test (deaths_within_window_count_for_cut_protection_),
    cmocka_unit_test (deaths_outside_window_do_not_count_),
    cmocka_unit_test (cut_protection_thresholds_are_exact_),
    cmocka_unit_test (no_member_dies_while_other_monitors_are_out_of_contact_),
    cmocka_unit_test (last_contact_tells_apart_silent_and_absent_members_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
