#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <msgpack.h>
#include <sodium.h>

#include "message_samples.h"
#include "ragwortyoke/wire.h"

static const uint8_t key_[RGY_WIRE_KEY_BYTES] = { 1, 2, 3 };

struct fixture
{
  struct rgy_wire *wire;
  struct rgy_message *message;
  struct rgy_message *decoded;
};

static int
setup_ (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);

  f->wire = rgy_wire_new (key_);
  f->message = g_new0 (struct rgy_message, 1);
  f->decoded = g_new0 (struct rgy_message, 1);
  *state = f;
  return 0;
}

static int
teardown_ (void **state)
{
  struct fixture *f = *state;

  rgy_wire_delete (f->wire);
  g_free (f->message);
  g_free (f->decoded);
  g_free (f);
  return 0;
}

/* Copies an encoded sample into an allocation of exactly its length, so that
   the sanitizers detect a read past the end.  */
static GBytes *
encode_sample_ (struct fixture *f, enum rgy_message_kind kind)
{
  struct rgy_bytes bytes;

  message_sample_fill (kind, f->message);
  bytes = rgy_wire_encode (f->wire, f->message);
  return g_bytes_new (bytes.data, bytes.len);
}

static struct rgy_bytes
get_bytes_ (GBytes *bytes)
{
  struct rgy_bytes out;

  out.data = g_bytes_get_data (bytes, &out.len);
  return out;
}

/* Prepends the tag to a body, as the encoder does.  */
static GBytes *
add_tag_ (const void *body, size_t len)
{
  guint8 *datagram = g_malloc (RGY_WIRE_TAG_BYTES + len);

  crypto_generichash (datagram, RGY_WIRE_TAG_BYTES, body, len, key_,
                      sizeof key_);
  memcpy (datagram + RGY_WIRE_TAG_BYTES, body, len);
  return g_bytes_new_take (datagram, RGY_WIRE_TAG_BYTES + len);
}

static enum rgy_outcome
decode_body_ (struct fixture *f, const void *body, size_t len)
{
  GBytes *datagram = add_tag_ (body, len);
  enum rgy_outcome rc
      = rgy_wire_decode (f->wire, get_bytes_ (datagram), f->decoded);

  g_bytes_unref (datagram);
  return rc;
}

/* Comparison of messages.  */

static void
assert_bytes_equal_ (struct rgy_bytes a, struct rgy_bytes b)
{
  assert_int_equal (a.len, b.len);
  if (a.len > 0)
    assert_memory_equal (a.data, b.data, a.len);
}

static void
assert_names_equal_ (const struct rgy_name *a, const struct rgy_name *b)
{
  assert_memory_equal (a, b, sizeof *a);
}

static void
assert_endpoints_equal_ (struct rgy_endpoint a, struct rgy_endpoint b)
{
  assert_true (rgy_endpoint_equal (a, b));
}

static void
assert_data_equal_ (const struct rgy_data_message *a,
                    const struct rgy_data_message *b)
{
  size_t i;

  assert_endpoints_equal_ (a->caller, b->caller);
  assert_endpoints_equal_ (a->service, b->service);
  assert_names_equal_ (&a->customer, &b->customer);
  assert_int_equal (a->contract_revision, b->contract_revision);
  assert_int_equal (a->view, b->view);
  assert_endpoints_equal_ (a->balancer, b->balancer);
  assert_int_equal (a->trail.overflow, b->trail.overflow);
  assert_int_equal (a->trail.visit_all, b->trail.visit_all);
  assert_int_equal (a->trail.restarted, b->trail.restarted);
  assert_int_equal (a->trail.origin, b->trail.origin);
  assert_int_equal (a->trail.origin_sequence, b->trail.origin_sequence);
  assert_int_equal (a->trail.count, b->trail.count);
  for (i = 0; i < a->trail.count; i++)
    assert_names_equal_ (&a->trail.visited[i], &b->trail.visited[i]);
  assert_bytes_equal_ (a->payload, b->payload);
}

static void
assert_heartbeats_equal_ (const struct rgy_heartbeat_message *a,
                          const struct rgy_heartbeat_message *b)
{
  assert_memory_equal (a->refused, b->refused, sizeof a->refused);
  assert_names_equal_ (&a->record.id, &b->record.id);
  assert_int_equal (a->record.epoch, b->record.epoch);
  assert_int_equal (a->record.sequence, b->record.sequence);
  assert_int_equal (a->record.state, b->record.state);
  assert_names_equal_ (&a->record.domain, &b->record.domain);
  assert_endpoints_equal_ (a->record.endpoint, b->record.endpoint);
  assert_endpoints_equal_ (a->record.service, b->record.service);
  assert_memory_equal (&a->digests, &b->digests, sizeof a->digests);
  assert_int_equal (a->flows, b->flows);
  assert_int_equal (a->running, b->running);
  assert_int_equal (a->limit, b->limit);
}

static void
assert_balancer_records_equal_ (const struct rgy_balancer_record *a,
                                const struct rgy_balancer_record *b)
{
  size_t i;

  assert_names_equal_ (&a->id, &b->id);
  assert_int_equal (a->epoch, b->epoch);
  assert_int_equal (a->sequence, b->sequence);
  assert_int_equal (a->state, b->state);
  assert_names_equal_ (&a->domain, &b->domain);
  assert_endpoints_equal_ (a->endpoint, b->endpoint);
  assert_endpoints_equal_ (a->sync, b->sync);
  assert_endpoints_equal_ (a->http, b->http);
  assert_int_equal (a->config_digest, b->config_digest);
  assert_int_equal (a->lagging_count, b->lagging_count);
  for (i = 0; i < RGY_LAGGING_NAMES_MAX; i++)
    assert_names_equal_ (&a->lagging[i], &b->lagging[i]);
  assert_int_equal (a->demand_count, b->demand_count);
  for (i = 0; i < a->demand_count; i++)
    {
      assert_names_equal_ (&a->demand[i].customer, &b->demand[i].customer);
      assert_int_equal (a->demand[i].bytes_per_s, b->demand[i].bytes_per_s);
    }
}

static void
assert_heartbeat_acks_equal_ (const struct rgy_heartbeat_ack_message *a,
                              const struct rgy_heartbeat_ack_message *b)
{
  size_t i;

  assert_names_equal_ (&a->balancer, &b->balancer);
  assert_endpoints_equal_ (a->sync, b->sync);
  assert_memory_equal (&a->digests, &b->digests, sizeof a->digests);
  assert_int_equal (a->agent_epoch, b->agent_epoch);
  assert_int_equal (a->agent_sequence, b->agent_sequence);
  assert_int_equal (a->sample_count, b->sample_count);
  for (i = 0; i < a->sample_count; i++)
    assert_balancer_records_equal_ (&a->sample[i], &b->sample[i]);
}

static void
assert_entries_equal_ (const struct rgy_entries_message *a,
                       const struct rgy_entries_message *b)
{
  size_t i;

  assert_names_equal_ (&a->from, &b->from);
  assert_int_equal (a->count, b->count);
  for (i = 0; i < a->count; i++)
    {
      assert_int_equal (a->entries[i]->class, b->entries[i]->class);
      assert_names_equal_ (&a->entries[i]->key, &b->entries[i]->key);
      assert_int_equal (
          rgy_version_compare (a->entries[i]->version, b->entries[i]->version),
          0);
      assert_int_equal (a->entries[i]->deleted, b->entries[i]->deleted);
      assert_bytes_equal_ (a->entries[i]->value, b->entries[i]->value);
    }
}

static void
assert_peer_states_equal_ (const struct rgy_peer_state_message *a,
                           const struct rgy_peer_state_message *b)
{
  size_t i;

  assert_names_equal_ (&a->from, &b->from);
  assert_int_equal (a->epoch, b->epoch);
  assert_int_equal (a->sequence, b->sequence);
  assert_memory_equal (&a->may_hold, &b->may_hold, sizeof a->may_hold);
  assert_int_equal (a->can_accept, b->can_accept);
  assert_int_equal (a->flows, b->flows);
  assert_int_equal (a->usage_count, b->usage_count);
  for (i = 0; i < a->usage_count; i++)
    {
      assert_names_equal_ (&a->usage[i].customer, &b->usage[i].customer);
      assert_int_equal (a->usage[i].open_flows, b->usage[i].open_flows);
      assert_int_equal (a->usage[i].new_flows_per_s,
                        b->usage[i].new_flows_per_s);
      assert_int_equal (a->usage[i].requests, b->usage[i].requests);
    }
}

static void
assert_messages_equal_ (const struct rgy_message *a,
                        const struct rgy_message *b)
{
  assert_int_equal (a->kind, b->kind);
  switch (a->kind)
    {
    case RGY_MSG_DATA:
      assert_data_equal_ (&a->u.data, &b->u.data);
      break;
    case RGY_MSG_ANSWER:
      assert_endpoints_equal_ (a->u.answer.caller, b->u.answer.caller);
      assert_endpoints_equal_ (a->u.answer.service, b->u.answer.service);
      assert_bytes_equal_ (a->u.answer.payload, b->u.answer.payload);
      break;
    case RGY_MSG_HEARTBEAT:
      assert_heartbeats_equal_ (&a->u.heartbeat, &b->u.heartbeat);
      break;
    case RGY_MSG_HEARTBEAT_ACK:
      assert_heartbeat_acks_equal_ (&a->u.heartbeat_ack, &b->u.heartbeat_ack);
      break;
    case RGY_MSG_ENTRIES:
    case RGY_MSG_SYNC_REPLY:
      assert_entries_equal_ (&a->u.entries, &b->u.entries);
      break;
    case RGY_MSG_GOSSIP:
    case RGY_MSG_GOSSIP_ACK:
      assert_names_equal_ (&a->u.gossip.from, &b->u.gossip.from);
      assert_endpoints_equal_ (a->u.gossip.sync, b->u.gossip.sync);
      assert_memory_equal (&a->u.gossip.digests, &b->u.gossip.digests,
                           sizeof a->u.gossip.digests);
      assert_entries_equal_ (&a->u.gossip.entries, &b->u.gossip.entries);
      break;
    case RGY_MSG_PEER_STATE:
      assert_peer_states_equal_ (&a->u.peer_state, &b->u.peer_state);
      break;
    case RGY_MSG_PEER_STATE_ACK:
      assert_names_equal_ (&a->u.peer_state_ack.from,
                           &b->u.peer_state_ack.from);
      assert_int_equal (a->u.peer_state_ack.epoch, b->u.peer_state_ack.epoch);
      assert_int_equal (a->u.peer_state_ack.sequence,
                        b->u.peer_state_ack.sequence);
      assert_int_equal (a->u.peer_state_ack.own_sequence,
                        b->u.peer_state_ack.own_sequence);
      break;
    case RGY_MSG_HANDOVER:
      assert_names_equal_ (&a->u.handover.from, &b->u.handover.from);
      assert_int_equal (a->u.handover.transfer_id, b->u.handover.transfer_id);
      assert_bytes_equal_ (a->u.handover.state, b->u.handover.state);
      break;
    case RGY_MSG_HANDOVER_ACK:
      assert_names_equal_ (&a->u.handover_ack.from, &b->u.handover_ack.from);
      assert_int_equal (a->u.handover_ack.transfer_id,
                        b->u.handover_ack.transfer_id);
      assert_int_equal (a->u.handover_ack.accepted,
                        b->u.handover_ack.accepted);
      break;
    case RGY_MSG_PROBE:
    case RGY_MSG_PROBE_ACK:
      assert_names_equal_ (&a->u.probe.from, &b->u.probe.from);
      assert_int_equal (a->u.probe.nonce, b->u.probe.nonce);
      assert_names_equal_ (&a->u.probe.subject, &b->u.probe.subject);
      break;
    case RGY_MSG_SYNC_REQUEST:
      assert_names_equal_ (&a->u.sync_request.from, &b->u.sync_request.from);
      assert_int_equal (a->u.sync_request.classes, b->u.sync_request.classes);
      assert_endpoints_equal_ (a->u.sync_request.service,
                               b->u.sync_request.service);
      assert_memory_equal (a->u.sync_request.subdigests,
                           b->u.sync_request.subdigests,
                           sizeof a->u.sync_request.subdigests);
      break;
    case RGY_MSG_KIND_COUNT:
      fail ();
    }
}

/* Tests of the codec.  */

/* Guards against a field that one side omits or reads in another order: it
   would be lost between processes without an error.  */
static void
every_kind_survives_a_round_trip_ (void **state)
{
  struct fixture *f = *state;
  GBytes *datagram;
  int kind;

  for (kind = 1; kind < RGY_MSG_KIND_COUNT; kind++)
    {
      datagram = encode_sample_ (f, (enum rgy_message_kind)kind);
      memset (f->decoded, 0xa5, sizeof *f->decoded);
      assert_int_equal (
          rgy_wire_decode (f->wire, get_bytes_ (datagram), f->decoded),
          RGY_OK);
      assert_messages_equal_ (f->message, f->decoded);
      g_bytes_unref (datagram);
    }
}

/* Guards against a codec that rejects empty lists and payloads, which are
   valid, or that returns true for a false flag.  */
static void
empty_fields_survive_a_round_trip_ (void **state)
{
  struct fixture *f = *state;
  static const enum rgy_message_kind kinds[]
      = { RGY_MSG_DATA,        RGY_MSG_ANSWER,     RGY_MSG_ENTRIES,
          RGY_MSG_GOSSIP,      RGY_MSG_PEER_STATE, RGY_MSG_HEARTBEAT_ACK,
          RGY_MSG_HANDOVER_ACK };
  struct rgy_bytes bytes;
  GBytes *datagram;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      message_sample_fill (kinds[i], f->message);
      switch (kinds[i])
        {
        case RGY_MSG_DATA:
          memset (&f->message->u.data.trail, 0,
                  sizeof f->message->u.data.trail);
          memset (&f->message->u.data.customer, 0,
                  sizeof f->message->u.data.customer);
          f->message->u.data.payload = (struct rgy_bytes){ 0 };
          break;
        case RGY_MSG_ANSWER:
          f->message->u.answer.payload = (struct rgy_bytes){ 0 };
          break;
        case RGY_MSG_ENTRIES:
          f->message->u.entries.count = 0;
          break;
        case RGY_MSG_GOSSIP:
          f->message->u.gossip.entries.count = 0;
          break;
        case RGY_MSG_PEER_STATE:
          f->message->u.peer_state.can_accept = false;
          f->message->u.peer_state.usage_count = 0;
          break;
        case RGY_MSG_HEARTBEAT_ACK:
          f->message->u.heartbeat_ack.sample_count = 0;
          break;
        default:
          f->message->u.handover_ack.accepted = false;
          break;
        }
      bytes = rgy_wire_encode (f->wire, f->message);
      datagram = g_bytes_new (bytes.data, bytes.len);
      memset (f->decoded, 0xa5, sizeof *f->decoded);
      assert_int_equal (
          rgy_wire_decode (f->wire, get_bytes_ (datagram), f->decoded),
          RGY_OK);
      assert_messages_equal_ (f->message, f->decoded);
      g_bytes_unref (datagram);
    }
}

/* Guards against processing of a datagram that was changed in transit, or made
   without the key.  */
static void
wrong_tag_is_rejected_ (void **state)
{
  static const uint8_t other_key[RGY_WIRE_KEY_BYTES] = { 9 };
  struct fixture *f = *state;
  struct rgy_wire *other = rgy_wire_new (other_key);
  struct rgy_bytes bytes;
  guint8 *copy;
  size_t i;

  message_sample_fill (RGY_MSG_PROBE, f->message);
  bytes = rgy_wire_encode (f->wire, f->message);
  copy = g_memdup2 (bytes.data, bytes.len);
  bytes.data = copy;
  assert_int_equal (rgy_wire_decode (other, bytes, f->decoded), RGY_ERR_AUTH);
  for (i = 0; i < bytes.len * 8; i++)
    {
      copy[i / 8] ^= (guint8)(1U << (i % 8));
      assert_int_equal (rgy_wire_decode (f->wire, bytes, f->decoded),
                        RGY_ERR_AUTH);
      copy[i / 8] ^= (guint8)(1U << (i % 8));
    }
  assert_int_equal (rgy_wire_decode (f->wire, bytes, f->decoded), RGY_OK);
  g_free (copy);
  rgy_wire_delete (other);
}

/* Guards against a truncated datagram that is accepted or read past its end.
   UDP truncates a datagram that is longer than the receive buffer.  The tag is
   the one received, or one that matches the truncated body.  */
static void
truncated_datagram_is_rejected_ (void **state)
{
  struct fixture *f = *state;
  GBytes *datagram;
  guint8 *truncated;
  struct rgy_bytes whole;
  enum rgy_outcome rc;
  size_t len;
  int kind;

  for (kind = 1; kind < RGY_MSG_KIND_COUNT; kind++)
    {
      datagram = encode_sample_ (f, (enum rgy_message_kind)kind);
      whole = get_bytes_ (datagram);
      for (len = 0; len < whole.len; len++)
        {
          truncated = g_memdup2 (whole.data, len);
          rc = rgy_wire_decode (
              f->wire, (struct rgy_bytes){ .data = truncated, .len = len },
              f->decoded);
          assert_int_equal (rc, len <= RGY_WIRE_TAG_BYTES ? RGY_ERR_INVALID
                                                          : RGY_ERR_AUTH);
          g_free (truncated);
          if (len > RGY_WIRE_TAG_BYTES)
            assert_int_equal (decode_body_ (f, whole.data + RGY_WIRE_TAG_BYTES,
                                            len - RGY_WIRE_TAG_BYTES),
                              RGY_ERR_INVALID);
        }
      g_bytes_unref (datagram);
    }
}

/* Guards against datagrams with bytes after the message, which
   no sender produces.  */
static void
trailing_bytes_are_rejected_ (void **state)
{
  struct fixture *f = *state;
  struct rgy_bytes bytes;
  guint8 *body;
  size_t len;

  message_sample_fill (RGY_MSG_PROBE, f->message);
  bytes = rgy_wire_encode (f->wire, f->message);
  len = bytes.len - RGY_WIRE_TAG_BYTES;
  body = g_malloc0 (len + 1);
  memcpy (body, bytes.data + RGY_WIRE_TAG_BYTES, len);
  assert_int_equal (decode_body_ (f, body, len), RGY_OK);
  assert_int_equal (decode_body_ (f, body, len + 1), RGY_ERR_INVALID);
  g_free (body);
}

static void
pack_text_ (msgpack_packer *pk, const char *text)
{
  msgpack_pack_str (pk, strlen (text));
  msgpack_pack_str_body (pk, text, strlen (text));
}

static void
pack_words_ (msgpack_packer *pk, size_t count)
{
  size_t i;

  msgpack_pack_array (pk, count);
  for (i = 0; i < count; i++)
    msgpack_pack_uint64 (pk, i);
}

static void
pack_entries_ (msgpack_packer *pk, size_t count)
{
  size_t i;

  pack_text_ (pk, "balancer-1");
  msgpack_pack_array (pk, count);
  for (i = 0; i < count; i++)
    {
      msgpack_pack_array (pk, 6);
      msgpack_pack_uint8 (pk, RGY_ENTRY_CONTRACT);
      pack_text_ (pk, "rodaforte");
      msgpack_pack_uint64 (pk, 1);
      msgpack_pack_uint64 (pk, 0);
      msgpack_pack_true (pk);
      msgpack_pack_bin (pk, 0);
    }
}

static void
pack_trail_ (msgpack_packer *pk, size_t count)
{
  size_t i;

  msgpack_pack_uint64 (pk, 1);
  msgpack_pack_uint64 (pk, 2);
  pack_text_ (pk, "");
  msgpack_pack_uint64 (pk, 0);
  msgpack_pack_uint64 (pk, 0);
  msgpack_pack_uint64 (pk, 0);
  msgpack_pack_false (pk);
  msgpack_pack_false (pk);
  msgpack_pack_false (pk);
  msgpack_pack_uint64 (pk, 0);
  msgpack_pack_uint64 (pk, 0);
  msgpack_pack_array (pk, count);
  for (i = 0; i < count; i++)
    pack_text_ (pk, "agent-1");
  msgpack_pack_bin (pk, 0);
}

static void
pack_sample_ (msgpack_packer *pk, size_t count)
{
  struct rgy_balancer_record record = { .id = rgy_name_from_c ("balancer-1"),
                                        .domain = rgy_name_from_c ("poa-a"),
                                        .endpoint = { .ip = 1, .port = 1 } };
  GByteArray *bytes = rgy_balancer_record_encode (&record);
  size_t i;

  pack_text_ (pk, "balancer-1");
  msgpack_pack_uint64 (pk, 0);
  pack_words_ (pk, RGY_ENTRY_CLASS_COUNT);
  msgpack_pack_uint64 (pk, 0);
  msgpack_pack_uint64 (pk, 0);
  msgpack_pack_array (pk, count);
  for (i = 0; i < count; i++)
    {
      msgpack_pack_bin (pk, bytes->len);
      msgpack_pack_bin_body (pk, bytes->data, bytes->len);
    }
  g_byte_array_unref (bytes);
}

static void
pack_usage_ (msgpack_packer *pk, size_t count)
{
  size_t i;

  pack_text_ (pk, "agent-1");
  msgpack_pack_uint64 (pk, 0);
  msgpack_pack_uint64 (pk, 0);
  pack_words_ (pk, RGY_BUCKET_WORDS);
  msgpack_pack_false (pk);
  msgpack_pack_uint64 (pk, 0);
  msgpack_pack_array (pk, count);
  for (i = 0; i < count; i++)
    {
      msgpack_pack_array (pk, 4);
      pack_text_ (pk, "rodaforte");
      msgpack_pack_uint64 (pk, 0);
      msgpack_pack_uint64 (pk, 0);
      msgpack_pack_uint64 (pk, 0);
    }
}

static void
pack_may_hold_ (msgpack_packer *pk, size_t count)
{
  pack_text_ (pk, "agent-1");
  msgpack_pack_uint64 (pk, 0);
  msgpack_pack_uint64 (pk, 0);
  pack_words_ (pk, count);
  msgpack_pack_false (pk);
  msgpack_pack_uint64 (pk, 0);
  msgpack_pack_array (pk, 0);
}

static void
pack_gossip_digests_ (msgpack_packer *pk, size_t count)
{
  pack_text_ (pk, "balancer-1");
  msgpack_pack_uint64 (pk, 0);
  pack_words_ (pk, count);
  pack_entries_ (pk, 0);
}

static void
pack_subdigests_ (msgpack_packer *pk, size_t count)
{
  size_t c;

  pack_text_ (pk, "balancer-1");
  msgpack_pack_uint64 (pk, 0);
  msgpack_pack_uint64 (pk, 0);
  for (c = 0; c < RGY_ENTRY_CLASS_COUNT; c++)
    pack_words_ (pk, count);
}

/* Guards against writes past the decoder's arrays of fixed size, into which it
   copies lists: a faulty or later sender may send longer lists.  */
static void
too_long_array_is_rejected_ (void **state)
{
  static const struct
  {
    enum rgy_message_kind kind;
    size_t elements; /* Number of elements of the message,
                        including the kind.  */
    size_t max;
    void (*pack) (msgpack_packer *pk, size_t count);
  } lists[] = {
    { RGY_MSG_ENTRIES, 3, RGY_WIRE_MAX_ENTRIES, pack_entries_ },
    { RGY_MSG_SYNC_REPLY, 3, RGY_WIRE_MAX_ENTRIES, pack_entries_ },
    { RGY_MSG_DATA, 14, RGY_MAX_HOPS, pack_trail_ },
    { RGY_MSG_HEARTBEAT_ACK, 7, RGY_WIRE_MAX_SAMPLE, pack_sample_ },
    { RGY_MSG_PEER_STATE, 8, RGY_WIRE_MAX_USAGE, pack_usage_ },
    { RGY_MSG_PEER_STATE, 8, RGY_BUCKET_WORDS, pack_may_hold_ },
    { RGY_MSG_GOSSIP, 6, RGY_ENTRY_CLASS_COUNT, pack_gossip_digests_ },
    { RGY_MSG_SYNC_REQUEST, 4 + RGY_ENTRY_CLASS_COUNT, RGY_SUBDIGEST_COUNT,
      pack_subdigests_ },
  };
  struct fixture *f = *state;
  msgpack_sbuffer body;
  msgpack_packer pk;
  size_t extra;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (lists); i++)
    for (extra = 0; extra < 2; extra++)
      {
        msgpack_sbuffer_init (&body);
        msgpack_packer_init (&pk, &body, msgpack_sbuffer_write);
        msgpack_pack_array (&pk, lists[i].elements);
        msgpack_pack_uint8 (&pk, (uint8_t)lists[i].kind);
        lists[i].pack (&pk, lists[i].max + extra);
        assert_int_equal (decode_body_ (f, body.data, body.size),
                          extra == 0 ? RGY_OK : RGY_ERR_INVALID);
        msgpack_sbuffer_destroy (&body);
      }
}

/* Guards against an allocation for an array header that claims 2^32 - 1
   elements in 5 bytes.  */
static void
claimed_length_without_elements_is_rejected_ (void **state)
{
  static const uint8_t body[] = { 0xdd, 0xff, 0xff, 0xff, 0xff };
  struct fixture *f = *state;

  assert_int_equal (decode_body_ (f, body, sizeof body), RGY_ERR_INVALID);
}

/* Guards against messages of a later version with a new kind that are counted
   as malformed instead of unsupported.  */
static void
unknown_kind_is_unsupported_ (void **state)
{
  static const uint64_t kinds[]
      = { 0, RGY_MSG_KIND_COUNT, 200, UINT32_MAX, UINT64_MAX };
  struct fixture *f = *state;
  msgpack_sbuffer body;
  msgpack_packer pk;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      msgpack_sbuffer_init (&body);
      msgpack_packer_init (&pk, &body, msgpack_sbuffer_write);
      msgpack_pack_array (&pk, 2);
      msgpack_pack_uint64 (&pk, kinds[i]);
      msgpack_pack_uint64 (&pk, 0);
      assert_int_equal (decode_body_ (f, body.data, body.size),
                        RGY_ERR_UNSUPPORTED);
      msgpack_sbuffer_destroy (&body);
    }
}

/* Guards against a body whose first element is no kind, or that is no
   array at all.  */
static void
body_without_a_kind_is_rejected_ (void **state)
{
  static const uint8_t empty_array[] = { 0x90 };
  static const uint8_t text_kind[] = { 0x91, 0xa1, 'x' };
  static const uint8_t negative_kind[] = { 0x91, 0xff };
  static const uint8_t no_array[] = { 0x01 };
  static const uint8_t map[] = { 0x81, 0x01, 0x01 };
  static const struct rgy_bytes bodies[]
      = { { empty_array, sizeof empty_array },
          { text_kind, sizeof text_kind },
          { negative_kind, sizeof negative_kind },
          { no_array, sizeof no_array },
          { map, sizeof map } };
  struct fixture *f = *state;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (bodies); i++)
    assert_int_equal (decode_body_ (f, bodies[i].data, bodies[i].len),
                      RGY_ERR_INVALID);
}

/* Guards against rejection of messages to which a later version has
   appended elements: a rolling upgrade would separate the old members from
   the new ones.  */
static void
appended_elements_are_ignored_ (void **state)
{
  struct fixture *f = *state;
  msgpack_sbuffer body;
  msgpack_packer pk;

  msgpack_sbuffer_init (&body);
  msgpack_packer_init (&pk, &body, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, 4);
  msgpack_pack_uint8 (&pk, RGY_MSG_PROBE);
  pack_text_ (&pk, "balancer-1");
  msgpack_pack_uint64 (&pk, 7);
  pack_text_ (&pk, "new");
  assert_int_equal (decode_body_ (f, body.data, body.size), RGY_OK);
  assert_int_equal (f->decoded->u.probe.nonce, 7);
  msgpack_sbuffer_destroy (&body);
}

/* Guards against a kind without a name: logs and counters would print
   a null pointer.  */
static void
every_kind_has_a_name_ (void **state)
{
  int kind;

  (void)state;
  for (kind = 0; kind < RGY_MSG_KIND_COUNT; kind++)
    assert_non_null (rgy_message_kind_string[kind]);
}

#define TEST(function)                                                        \
  cmocka_unit_test_setup_teardown (function, setup_, teardown_)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (every_kind_survives_a_round_trip_),
    TEST (empty_fields_survive_a_round_trip_),
    TEST (wrong_tag_is_rejected_),
    TEST (truncated_datagram_is_rejected_),
    TEST (trailing_bytes_are_rejected_),
    TEST (too_long_array_is_rejected_),
    TEST (claimed_length_without_elements_is_rejected_),
    TEST (unknown_kind_is_unsupported_),
    TEST (body_without_a_kind_is_rejected_),
    TEST (appended_elements_are_ignored_),
    TEST (every_kind_has_a_name_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
