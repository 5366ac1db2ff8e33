#include "private/wire_codec.h"

static void
pack_record_bytes_ (msgpack_packer *pk, GByteArray *bytes)
{
  rgy_pack_bytes (
      pk, (struct rgy_bytes){ .data = bytes->data, .len = bytes->len });
  g_byte_array_unref (bytes);
}

static void
pack_entry_ (msgpack_packer *pk, const struct rgy_entry *entry)
{
  msgpack_pack_array (pk, 6);
  msgpack_pack_uint8 (pk, (uint8_t)entry->class);
  rgy_pack_name (pk, &entry->key);
  msgpack_pack_uint64 (pk, entry->version.major);
  msgpack_pack_uint64 (pk, entry->version.minor);
  rgy_pack_bool (pk, entry->deleted);
  rgy_pack_bytes (pk, entry->value);
}

static void
pack_entries_ (msgpack_packer *pk, const struct rgy_entries_message *m)
{
  size_t i;

  rgy_pack_name (pk, &m->from);
  msgpack_pack_array (pk, m->count);
  for (i = 0; i < m->count; i++)
    pack_entry_ (pk, m->entries[i]);
}

static void
pack_digests_ (msgpack_packer *pk, const struct rgy_digests *digests)
{
  size_t i;

  msgpack_pack_array (pk, RGY_ENTRY_CLASS_COUNT);
  for (i = 0; i < RGY_ENTRY_CLASS_COUNT; i++)
    msgpack_pack_uint64 (pk, digests->of[i]);
}

static void
pack_data_ (msgpack_packer *pk, const struct rgy_data_message *m)
{
  size_t i;

  rgy_pack_endpoint (pk, m->caller);
  rgy_pack_endpoint (pk, m->service);
  rgy_pack_name (pk, &m->customer);
  msgpack_pack_uint64 (pk, m->contract_revision);
  msgpack_pack_uint64 (pk, m->view);
  rgy_pack_endpoint (pk, m->balancer);
  rgy_pack_bool (pk, m->trail.overflow);
  rgy_pack_bool (pk, m->trail.visit_all);
  rgy_pack_bool (pk, m->trail.restarted);
  msgpack_pack_uint64 (pk, m->trail.origin);
  msgpack_pack_uint64 (pk, m->trail.origin_sequence);
  msgpack_pack_array (pk, m->trail.count);
  for (i = 0; i < m->trail.count; i++)
    rgy_pack_name (pk, &m->trail.visited[i]);
  rgy_pack_bytes (pk, m->payload);
}

static void
pack_heartbeat_ (msgpack_packer *pk, const struct rgy_heartbeat_message *m)
{
  size_t i;

  pack_record_bytes_ (pk, rgy_agent_record_encode (&m->record));
  pack_digests_ (pk, &m->digests);
  msgpack_pack_uint32 (pk, m->flows);
  msgpack_pack_uint32 (pk, m->running);
  msgpack_pack_uint32 (pk, m->limit);
  msgpack_pack_array (pk, RGY_REFUSAL_REASON_COUNT);
  for (i = 0; i < RGY_REFUSAL_REASON_COUNT; i++)
    msgpack_pack_uint64 (pk, m->refused[i]);
}

static void
pack_heartbeat_ack_ (msgpack_packer *pk,
                     const struct rgy_heartbeat_ack_message *m)
{
  size_t i;

  rgy_pack_name (pk, &m->balancer);
  rgy_pack_endpoint (pk, m->sync);
  pack_digests_ (pk, &m->digests);
  msgpack_pack_uint64 (pk, m->agent_epoch);
  msgpack_pack_uint64 (pk, m->agent_sequence);
  msgpack_pack_array (pk, m->sample_count);
  for (i = 0; i < m->sample_count; i++)
    pack_record_bytes_ (pk, rgy_balancer_record_encode (&m->sample[i]));
}

static void
pack_peer_state_ (msgpack_packer *pk, const struct rgy_peer_state_message *m)
{
  size_t i;

  rgy_pack_name (pk, &m->from);
  msgpack_pack_uint64 (pk, m->epoch);
  msgpack_pack_uint64 (pk, m->sequence);
  msgpack_pack_array (pk, RGY_BUCKET_WORDS);
  for (i = 0; i < RGY_BUCKET_WORDS; i++)
    msgpack_pack_uint64 (pk, m->may_hold.words[i]);
  rgy_pack_bool (pk, m->can_accept);
  msgpack_pack_uint32 (pk, m->flows);
  msgpack_pack_array (pk, m->usage_count);
  for (i = 0; i < m->usage_count; i++)
    {
      msgpack_pack_array (pk, 4);
      rgy_pack_name (pk, &m->usage[i].customer);
      msgpack_pack_uint64 (pk, m->usage[i].open_flows);
      msgpack_pack_uint64 (pk, m->usage[i].new_flows_per_s);
      msgpack_pack_uint64 (pk, m->usage[i].requests);
    }
}

static void
pack_sync_request_ (msgpack_packer *pk,
                    const struct rgy_sync_request_message *m)
{
  size_t c;
  size_t i;

  rgy_pack_name (pk, &m->from);
  msgpack_pack_uint32 (pk, m->classes);
  rgy_pack_endpoint (pk, m->service);
  for (c = 0; c < RGY_ENTRY_CLASS_COUNT; c++)
    {
      msgpack_pack_array (pk, RGY_SUBDIGEST_COUNT);
      for (i = 0; i < RGY_SUBDIGEST_COUNT; i++)
        msgpack_pack_uint64 (pk, m->subdigests[c][i]);
    }
}

/* Number of elements of a message's array, including the kind.  */
static size_t
element_count_ (enum rgy_message_kind kind)
{
  switch (kind)
    {
    case RGY_MSG_DATA:
      return 14;
    case RGY_MSG_PEER_STATE_ACK:
      return 5;
    case RGY_MSG_ANSWER:
    case RGY_MSG_HANDOVER:
    case RGY_MSG_HANDOVER_ACK:
    case RGY_MSG_PROBE:
    case RGY_MSG_PROBE_ACK:
      return 4;
    case RGY_MSG_HEARTBEAT:
      return 7;
    case RGY_MSG_HEARTBEAT_ACK:
      return 7;
    case RGY_MSG_ENTRIES:
    case RGY_MSG_SYNC_REPLY:
      return 3;
    case RGY_MSG_GOSSIP:
    case RGY_MSG_GOSSIP_ACK:
      return 6;
    case RGY_MSG_PEER_STATE:
      return 8;
    case RGY_MSG_SYNC_REQUEST:
      return 4 + RGY_ENTRY_CLASS_COUNT;
    case RGY_MSG_KIND_COUNT:
      break;
    }
  g_assert_not_reached ();
}

void
rgy_wire_pack_message (msgpack_packer *pk, const struct rgy_message *message)
{
  msgpack_pack_array (pk, element_count_ (message->kind));
  msgpack_pack_uint8 (pk, (uint8_t)message->kind);
  switch (message->kind)
    {
    case RGY_MSG_DATA:
      pack_data_ (pk, &message->u.data);
      break;
    case RGY_MSG_ANSWER:
      rgy_pack_endpoint (pk, message->u.answer.caller);
      rgy_pack_endpoint (pk, message->u.answer.service);
      rgy_pack_bytes (pk, message->u.answer.payload);
      break;
    case RGY_MSG_HEARTBEAT:
      pack_heartbeat_ (pk, &message->u.heartbeat);
      break;
    case RGY_MSG_HEARTBEAT_ACK:
      pack_heartbeat_ack_ (pk, &message->u.heartbeat_ack);
      break;
    case RGY_MSG_ENTRIES:
    case RGY_MSG_SYNC_REPLY:
      pack_entries_ (pk, &message->u.entries);
      break;
    case RGY_MSG_GOSSIP:
    case RGY_MSG_GOSSIP_ACK:
      rgy_pack_name (pk, &message->u.gossip.from);
      rgy_pack_endpoint (pk, message->u.gossip.sync);
      pack_digests_ (pk, &message->u.gossip.digests);
      pack_entries_ (pk, &message->u.gossip.entries);
      break;
    case RGY_MSG_PEER_STATE:
      pack_peer_state_ (pk, &message->u.peer_state);
      break;
    case RGY_MSG_PEER_STATE_ACK:
      rgy_pack_name (pk, &message->u.peer_state_ack.from);
      msgpack_pack_uint64 (pk, message->u.peer_state_ack.epoch);
      msgpack_pack_uint64 (pk, message->u.peer_state_ack.sequence);
      msgpack_pack_uint64 (pk, message->u.peer_state_ack.own_sequence);
      break;
    case RGY_MSG_HANDOVER:
      rgy_pack_name (pk, &message->u.handover.from);
      msgpack_pack_uint64 (pk, message->u.handover.transfer_id);
      rgy_pack_bytes (pk, message->u.handover.state);
      break;
    case RGY_MSG_HANDOVER_ACK:
      rgy_pack_name (pk, &message->u.handover_ack.from);
      msgpack_pack_uint64 (pk, message->u.handover_ack.transfer_id);
      rgy_pack_bool (pk, message->u.handover_ack.accepted);
      break;
    case RGY_MSG_PROBE:
    case RGY_MSG_PROBE_ACK:
      rgy_pack_name (pk, &message->u.probe.from);
      msgpack_pack_uint64 (pk, message->u.probe.nonce);
      rgy_pack_name (pk, &message->u.probe.subject);
      break;
    case RGY_MSG_SYNC_REQUEST:
      pack_sync_request_ (pk, &message->u.sync_request);
      break;
    case RGY_MSG_KIND_COUNT:
      g_assert_not_reached ();
    }
}
