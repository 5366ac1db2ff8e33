#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/handover.h"

#define STEP_US INT64_C (10000)
#define MUTATIONS 20000
#define MODEL_FLOWS 40
#define MODEL_LOSS_PERCENT 40

static const uint8_t registration_[] = { 0x52, 0x01, 0x00, 0x07, 0xaa, 0xbb };
static const uint8_t token_[] = { 0xaa, 0xbb };
static const uint8_t response_[]
    = { 0x62, 0x45, 0x00, 0x07, 0xaa, 0xbb, 0xff };

#define BYTES(array)                                                          \
  ((struct rgy_bytes){ .data = (array), .len = sizeof (array) })

static struct rgy_flow_key
make_key_ (uint16_t port)
{
  return rgy_flow_key_udp (
      (struct rgy_endpoint){ .ip = 0xc0a80001, .port = port },
      (struct rgy_endpoint){ .ip = 0x7f000001, .port = 5683 });
}

static struct rgy_handover_state
make_full_state_ (void)
{
  struct rgy_handover_state state
      = { .key = make_key_ (40000),
          .customer = rgy_name_from_c ("rodaforte"),
          .observation_count = RGY_HANDOVER_MAX_OBSERVATIONS,
          .record_count = RGY_HANDOVER_MAX_RECORDS,
          .echo_epoch_count = RGY_HANDOVER_MAX_EPOCHS };
  size_t i;

  for (i = 0; i < RGY_HANDOVER_MAX_OBSERVATIONS; i++)
    state.observations[i] = (struct rgy_handover_observation){
      .registration = BYTES (registration_),
      .last_sequence = 0xffffff - (uint32_t)i,
      .notified = i % 2 == 0
    };
  for (i = 0; i < RGY_HANDOVER_MAX_RECORDS; i++)
    state.records[i] = (struct rgy_handover_record){
      .message_id = (uint16_t)(0xffff - i),
      .token = BYTES (token_),
      .response = i % 2 == 0 ? BYTES (response_) : (struct rgy_bytes){ 0 },
      .age_ms = UINT32_MAX - (uint32_t)i
    };
  for (i = 0; i < RGY_HANDOVER_MAX_EPOCHS; i++)
    state.echo_epochs[i] = UINT64_MAX - i;
  return state;
}

static void
assert_bytes_equal_ (struct rgy_bytes a, struct rgy_bytes b)
{
  assert_int_equal (a.len, b.len);
  if (a.len > 0)
    assert_memory_equal (a.data, b.data, a.len);
}

static void
assert_states_equal_ (const struct rgy_handover_state *a,
                      const struct rgy_handover_state *b)
{
  size_t i;

  assert_true (rgy_flow_key_equal (&a->key, &b->key));
  assert_true (rgy_name_equal (&a->customer, &b->customer));
  assert_int_equal (a->observation_count, b->observation_count);
  for (i = 0; i < a->observation_count; i++)
    {
      assert_bytes_equal_ (a->observations[i].registration,
                           b->observations[i].registration);
      assert_int_equal (a->observations[i].last_sequence,
                        b->observations[i].last_sequence);
      assert_int_equal (a->observations[i].notified,
                        b->observations[i].notified);
    }
  assert_int_equal (a->record_count, b->record_count);
  for (i = 0; i < a->record_count; i++)
    {
      assert_int_equal (a->records[i].message_id, b->records[i].message_id);
      assert_bytes_equal_ (a->records[i].token, b->records[i].token);
      assert_bytes_equal_ (a->records[i].response, b->records[i].response);
      assert_int_equal (a->records[i].age_ms, b->records[i].age_ms);
    }
  assert_int_equal (a->echo_epoch_count, b->echo_epoch_count);
  for (i = 0; i < a->echo_epoch_count; i++)
    assert_int_equal (a->echo_epochs[i], b->echo_epochs[i]);
}

/* Guards against a field that is lost between encoding and decoding, which
   would end the session or run a request twice.  */
static void
decoded_state_equals_encoded_state_ (void **state)
{
  struct rgy_handover_state full = make_full_state_ ();
  struct rgy_handover_state empty
      = { .key = make_key_ (1), .customer = rgy_name_from_c ("c") };
  const struct rgy_handover_state *const states[] = { &full, &empty };
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (states); i++)
    {
      GByteArray *buf = rgy_handover_state_encode (states[i]);
      struct rgy_handover_state decoded;

      assert_int_equal (
          rgy_handover_state_decode (
              (struct rgy_bytes){ .data = buf->data, .len = buf->len },
              &decoded),
          RGY_OK);
      assert_states_equal_ (states[i], &decoded);
      g_byte_array_unref (buf);
    }
}

/* Decodes a copy that ends with its allocation, so that the sanitizers detect
   a read past it.  */
static enum rgy_outcome
decode_at_end_of_allocation_ (const uint8_t *data, size_t len)
{
  struct rgy_handover_state decoded = { 0 };
  uint8_t *copy = g_malloc (MAX (len, 1));
  enum rgy_outcome rc;
  size_t i;

  if (len > 0)
    memcpy (copy, data, len);
  rc = rgy_handover_state_decode (
      (struct rgy_bytes){ .data = copy, .len = len }, &decoded);
  if (rc == RGY_OK)
    {
      assert_true (decoded.observation_count <= RGY_HANDOVER_MAX_OBSERVATIONS);
      assert_true (decoded.record_count <= RGY_HANDOVER_MAX_RECORDS);
      assert_true (decoded.echo_epoch_count <= RGY_HANDOVER_MAX_EPOCHS);
      for (i = 0; i < decoded.record_count; i++)
        {
          struct rgy_bytes range = decoded.records[i].response;

          assert_true (
              range.len == 0
              || (range.data >= copy && range.data + range.len <= copy + len));
        }
    }
  g_free (copy);
  return rc;
}

/* Guards against reading past the end of a truncated, extended or damaged
   state; each must be rejected.  */
static void
decode_rejects_damaged_input_ (void **state)
{
  static const uint8_t huge_array[] = { 0xdd, 0xff, 0xff, 0xff, 0xff };
  static const uint8_t huge_bin[] = { 0xc6, 0xff, 0xff, 0xff, 0xff, 0x00 };
  static const uint8_t map[] = { 0x81, 0x01, 0x02 };
  struct rgy_handover_state full = make_full_state_ ();
  GByteArray *buf = rgy_handover_state_encode (&full);
  GRand *rand = g_rand_new_with_seed (5);
  uint8_t nested[200];
  guint8 zero = 0;
  size_t len;
  int i;

  (void)state;
  for (len = 0; len < buf->len; len++)
    assert_int_equal (decode_at_end_of_allocation_ (buf->data, len),
                      RGY_ERR_INVALID);
  for (i = 0; i < MUTATIONS; i++)
    {
      uint8_t *copy = g_memdup2 (buf->data, buf->len);
      int flips = g_rand_int_range (rand, 1, 5);

      while (flips-- > 0)
        copy[g_rand_int_range (rand, 0, (gint32)buf->len)]
            = (uint8_t)g_rand_int_range (rand, 0, 256);
      decode_at_end_of_allocation_ (copy, buf->len);
      g_free (copy);
    }
  g_byte_array_append (buf, &zero, 1);
  assert_int_equal (decode_at_end_of_allocation_ (buf->data, buf->len),
                    RGY_ERR_INVALID);
  assert_int_equal (
      decode_at_end_of_allocation_ (huge_array, sizeof huge_array),
      RGY_ERR_INVALID);
  assert_int_equal (decode_at_end_of_allocation_ (huge_bin, sizeof huge_bin),
                    RGY_ERR_INVALID);
  assert_int_equal (decode_at_end_of_allocation_ (map, sizeof map),
                    RGY_ERR_INVALID);
  memset (nested, 0x91, sizeof nested);
  nested[sizeof nested - 1] = 0x01;
  assert_int_equal (decode_at_end_of_allocation_ (nested, sizeof nested),
                    RGY_ERR_INVALID);
  g_rand_free (rand);
  g_byte_array_unref (buf);
}

/* Guards against values that fit their MessagePack type but not the field: the
   decoder must reject them and leave its output unchanged.  */
static void
decode_rejects_values_out_of_range_ (void **state)
{
  static const uint8_t long_token[9] = { 0 };
  struct rgy_handover_state bad = make_full_state_ ();
  struct rgy_handover_state kept = { .record_count = 77 };
  GByteArray *buf = NULL;

  (void)state;
  bad.observations[0].last_sequence = 0x1000000;
  buf = rgy_handover_state_encode (&bad);
  assert_int_equal (
      rgy_handover_state_decode (
          (struct rgy_bytes){ .data = buf->data, .len = buf->len }, &kept),
      RGY_ERR_INVALID);
  assert_int_equal (kept.record_count, 77);
  g_byte_array_unref (buf);

  bad = make_full_state_ ();
  bad.records[0].token = BYTES (long_token);
  buf = rgy_handover_state_encode (&bad);
  assert_int_equal (decode_at_end_of_allocation_ (buf->data, buf->len),
                    RGY_ERR_INVALID);
  g_byte_array_unref (buf);

  bad = make_full_state_ ();
  memcpy (bad.customer.data, "a b", 3);
  buf = rgy_handover_state_encode (&bad);
  assert_int_equal (decode_at_end_of_allocation_ (buf->data, buf->len),
                    RGY_ERR_INVALID);
  /* The first element is the kind of the flow key.  */
  buf->data[1] = 0x09;
  assert_int_equal (decode_at_end_of_allocation_ (buf->data, buf->len),
                    RGY_ERR_UNSUPPORTED);
  g_byte_array_unref (buf);
}

/* Acknowledgements may be lost: the state must be sent again until one
   arrives, and the transfer must end after a bounded number of attempts.  */
static void
transfer_is_sent_again_until_acknowledged_ (void **state)
{
  struct rgy_transfers *transfers = rgy_transfers_new ();
  struct rgy_name target = rgy_name_from_c ("agent-b");
  struct rgy_name other = rgy_name_from_c ("agent-c");
  struct rgy_transfer_event event;
  uint64_t flow_id = 0;
  uint64_t first_id;
  int i;

  (void)state;
  assert_int_equal (rgy_transfers_begin (transfers, 7, &target, 100), RGY_OK);
  assert_int_equal (rgy_transfers_begin (transfers, 7, &other, 100),
                    RGY_ERR_CONFLICT);
  assert_true (rgy_transfers_next (transfers, 100, &event));
  assert_int_equal (event.kind, RGY_TRANSFER_SEND);
  assert_int_equal (event.flow_id, 7);
  first_id = event.transfer_id;
  assert_false (rgy_transfers_next (transfers, 100, &event));
  assert_false (rgy_transfers_next (
      transfers, 100 + RGY_HANDOVER_RETRANSMIT_US - 1, &event));
  for (i = 1; i < RGY_HANDOVER_ATTEMPTS; i++)
    {
      int64_t now_us = 100 + i * RGY_HANDOVER_RETRANSMIT_US;

      assert_true (rgy_transfers_next (transfers, now_us, &event));
      assert_int_equal (event.kind, RGY_TRANSFER_SEND);
      assert_int_equal (event.transfer_id, first_id);
      assert_false (rgy_transfers_next (transfers, now_us, &event));
    }
  assert_true (rgy_transfers_next (
      transfers, 100 + RGY_HANDOVER_ATTEMPTS * RGY_HANDOVER_RETRANSMIT_US,
      &event));
  assert_int_equal (event.kind, RGY_TRANSFER_FAILED);
  assert_false (event.target_unavailable);
  assert_int_equal (rgy_transfers_get_count (transfers), 0);

  /* A late answer to the old transfer must not end the new one.  */
  assert_int_equal (rgy_transfers_begin (transfers, 7, &other, 0), RGY_OK);
  assert_true (rgy_transfers_next (transfers, 0, &event));
  assert_int_not_equal (event.transfer_id, first_id);
  assert_int_equal (
      rgy_transfers_note_ack (transfers, first_id, &target, &flow_id),
      RGY_ERR_NOT_FOUND);
  assert_int_equal (
      rgy_transfers_note_ack (transfers, event.transfer_id, &target, &flow_id),
      RGY_ERR_NOT_FOUND);
  assert_int_equal (
      rgy_transfers_note_ack (transfers, event.transfer_id, &other, &flow_id),
      RGY_OK);
  assert_int_equal (flow_id, 7);
  assert_int_equal (
      rgy_transfers_note_ack (transfers, event.transfer_id, &other, &flow_id),
      RGY_ERR_NOT_FOUND);
  assert_false (rgy_transfers_next (transfers, INT64_MAX, &event));
  rgy_transfers_delete (transfers);
}

/* A flow whose target is dead must be reported, so that it can be moved to
   another agent; a flow that was closed must not.  */
static void
transfers_to_a_dead_target_fail_ (void **state)
{
  struct rgy_transfers *transfers = rgy_transfers_new ();
  struct rgy_name dead = rgy_name_from_c ("agent-b");
  struct rgy_name live = rgy_name_from_c ("agent-c");
  struct rgy_transfer_event event;
  uint64_t failed = 0;
  uint64_t id;

  (void)state;
  for (id = 1; id <= 6; id++)
    {
      rgy_transfers_begin (transfers, id, id % 2 == 0 ? &dead : &live, 0);
      if (id <= 4)
        assert_true (rgy_transfers_next (transfers, 0, &event));
    }
  rgy_transfers_cancel (transfers, 2);
  rgy_transfers_cancel (transfers, 99);
  rgy_transfers_cancel_target (transfers, &dead);
  while (rgy_transfers_next (transfers, 0, &event))
    {
      if (event.kind != RGY_TRANSFER_FAILED)
        {
          assert_int_equal (event.flow_id, 5);
          continue;
        }
      assert_true (event.target_unavailable);
      assert_true (rgy_name_equal (&event.target, &dead));
      failed |= UINT64_C (1) << event.flow_id;
    }
  assert_int_equal (failed, 1 << 4 | 1 << 6);
  assert_int_equal (rgy_transfers_get_count (transfers), 3);
  rgy_transfers_delete (transfers);
}

/* Guards against different answers to one transfer: a retransmission must
   receive the first answer again, until the sending agent has certainly
   stopped.  */
static void
replies_repeat_the_first_answer_ (void **state)
{
  struct rgy_handover_replies *replies = rgy_handover_replies_new ();
  struct rgy_name from = rgy_name_from_c ("agent-a");
  struct rgy_name other = rgy_name_from_c ("agent-b");
  struct rgy_flow_key key = make_key_ (1);
  struct rgy_flow_key key2 = make_key_ (2);
  bool accepted = true;

  (void)state;
  assert_int_equal (
      rgy_handover_replies_find (replies, &from, 1, &key, 0, &accepted),
      RGY_ERR_NOT_FOUND);
  rgy_handover_replies_note (replies, &from, 1, &key, false, 0);
  rgy_handover_replies_note (replies, &from, 1, &key, true, 5);
  rgy_handover_replies_note (replies, &from, 2, &key, true, 5);
  assert_int_equal (
      rgy_handover_replies_find (replies, &from, 1, &key, 9, &accepted),
      RGY_OK);
  assert_false (accepted);
  assert_int_equal (
      rgy_handover_replies_find (replies, &from, 2, &key, 9, &accepted),
      RGY_OK);
  assert_true (accepted);
  assert_int_equal (
      rgy_handover_replies_find (replies, &other, 1, &key, 9, &accepted),
      RGY_ERR_NOT_FOUND);
  /* A restarted agent numbers its transfers from 1 again.  */
  assert_int_equal (
      rgy_handover_replies_find (replies, &from, 1, &key2, 9, &accepted),
      RGY_ERR_NOT_FOUND);
  assert_int_equal (rgy_handover_replies_find (replies, &from, 1, &key,
                                               RGY_HANDOVER_REPLY_KEEP_US,
                                               &accepted),
                    RGY_ERR_NOT_FOUND);
  assert_int_equal (rgy_handover_replies_find (replies, &from, 2, &key,
                                               RGY_HANDOVER_REPLY_KEEP_US,
                                               &accepted),
                    RGY_OK);
  rgy_handover_replies_delete (replies);
}

/* Connects both sides by a link that loses messages; every flow must end at
   exactly one agent.  A receiver that refuses at first and accepts later, or
   that decides anew for each copy, would leave a flow at both agents or at
   none.  */
static void
flows_end_at_one_agent_over_a_lossy_link_ (void **state)
{
  unsigned failed = 0;
  uint32_t seed;

  (void)state;
  for (seed = 1; seed <= 50; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      struct rgy_transfers *transfers = rgy_transfers_new ();
      struct rgy_handover_replies *replies = rgy_handover_replies_new ();
      struct rgy_name sender = rgy_name_from_c ("agent-a");
      struct rgy_name target = rgy_name_from_c ("agent-b");
      bool at_sender[MODEL_FLOWS];
      bool at_target[MODEL_FLOWS] = { false };
      struct rgy_transfer_event event;
      int64_t now_us;
      uint16_t i;

      memset (at_sender, true, sizeof at_sender);
      for (i = 0; i < MODEL_FLOWS; i++)
        assert_int_equal (rgy_transfers_begin (transfers, i + 1, &target, 0),
                          RGY_OK);
      for (now_us = 0; rgy_transfers_get_count (transfers) > 0;
           now_us += STEP_US)
        while (rgy_transfers_next (transfers, now_us, &event))
          {
            uint64_t flow_id = 0;
            struct rgy_flow_key key = make_key_ ((uint16_t)event.flow_id);
            bool accepted = false;

            if (event.kind == RGY_TRANSFER_FAILED)
              {
                failed++;
                assert_int_equal (rgy_transfers_begin (transfers,
                                                       event.flow_id, &target,
                                                       now_us),
                                  RGY_OK);
                continue;
              }
            if (g_rand_int_range (rand, 0, 100) < MODEL_LOSS_PERCENT)
              continue;
            if (rgy_handover_replies_find (replies, &sender, event.transfer_id,
                                           &key, now_us, &accepted)
                != RGY_OK)
              {
                accepted
                    = at_target[event.flow_id - 1] || g_rand_boolean (rand);
                rgy_handover_replies_note (replies, &sender, event.transfer_id,
                                           &key, accepted, now_us);
              }
            at_target[event.flow_id - 1] |= accepted;
            if (g_rand_int_range (rand, 0, 100) < MODEL_LOSS_PERCENT)
              continue;
            assert_int_equal (rgy_transfers_note_ack (transfers,
                                                      event.transfer_id,
                                                      &target, &flow_id),
                              RGY_OK);
            assert_int_equal (flow_id, event.flow_id);
            at_sender[flow_id - 1] = !accepted;
          }
      for (i = 0; i < MODEL_FLOWS; i++)
        assert_int_not_equal (at_sender[i], at_target[i]);
      rgy_handover_replies_delete (replies);
      rgy_transfers_delete (transfers);
      g_rand_free (rand);
    }
  /* The loss is high enough to cover transfers that time out.  */
  assert_true (failed > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (decoded_state_equals_encoded_state_),
    cmocka_unit_test (decode_rejects_damaged_input_),
    cmocka_unit_test (decode_rejects_values_out_of_range_),
    cmocka_unit_test (transfer_is_sent_again_until_acknowledged_),
    cmocka_unit_test (transfers_to_a_dead_target_fail_),
    cmocka_unit_test (replies_repeat_the_first_answer_),
    cmocka_unit_test (flows_end_at_one_agent_over_a_lossy_link_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
