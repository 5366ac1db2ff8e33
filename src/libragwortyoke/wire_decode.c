#include "private/wire_codec.h"

#include <string.h>

static void
read_entry_ (struct rgy_reader *parent, struct rgy_entry *entry)
{
  struct rgy_reader r = rgy_read_array (parent);

  entry->class = (enum rgy_entry_class)rgy_read_u64_max (
      &r, RGY_ENTRY_CLASS_COUNT - 1);
  rgy_read_name (&r, &entry->key);
  entry->version.major = rgy_read_u64 (&r);
  entry->version.minor = rgy_read_u64 (&r);
  entry->deleted = rgy_read_bool (&r);
  entry->value = rgy_read_bytes (&r);
  rgy_reader_fail (parent, r.outcome);
}

static void
read_entries_ (struct rgy_reader *r, struct rgy_entries_message *m)
{
  struct rgy_reader list;
  size_t i;

  rgy_read_name (r, &m->from);
  list = rgy_read_array_of (r, 0, RGY_WIRE_MAX_ENTRIES);
  m->count = list.count;
  for (i = 0; i < m->count; i++)
    {
      read_entry_ (&list, &m->decoded[i]);
      m->entries[i] = &m->decoded[i];
    }
  rgy_reader_fail (r, list.outcome);
}

/* Reads an array of exactly COUNT integers.  */
static void
read_words_ (struct rgy_reader *r, uint64_t *words, size_t count)
{
  struct rgy_reader list = rgy_read_array_of (r, count, count);
  size_t i;

  for (i = 0; i < count; i++)
    words[i] = rgy_read_u64 (&list);
  rgy_reader_fail (r, list.outcome);
}

static void
read_agent_record_ (struct rgy_reader *r, struct rgy_agent_record *record)
{
  struct rgy_bytes bytes = rgy_read_bytes (r);

  if (!rgy_reader_is_ok (r)
      || rgy_agent_record_decode (bytes, record) != RGY_OK)
    rgy_reader_fail (r, RGY_ERR_INVALID);
}

static void
read_data_ (struct rgy_reader *r, struct rgy_data_message *m)
{
  struct rgy_reader list;
  size_t i;

  m->caller = rgy_read_endpoint (r);
  m->service = rgy_read_endpoint (r);
  rgy_read_optional_name (r, &m->customer);
  m->contract_revision = rgy_read_u64 (r);
  m->view = rgy_read_u64 (r);
  m->balancer = rgy_read_endpoint (r);
  m->trail.overflow = rgy_read_bool (r);
  m->trail.visit_all = rgy_read_bool (r);
  m->trail.restarted = rgy_read_bool (r);
  m->trail.origin = (size_t)rgy_read_u64_max (r, RGY_MAX_HOPS);
  m->trail.origin_sequence = rgy_read_u64 (r);
  list = rgy_read_array_of (r, 0, RGY_MAX_HOPS);
  m->trail.count = list.count;
  if (m->trail.origin > m->trail.count)
    rgy_reader_fail (r, RGY_ERR_INVALID);
  for (i = 0; i < m->trail.count; i++)
    rgy_read_name (&list, &m->trail.visited[i]);
  rgy_reader_fail (r, list.outcome);
  m->payload = rgy_read_bytes (r);
}

static void
read_heartbeat_ (struct rgy_reader *r, struct rgy_heartbeat_message *m)
{
  read_agent_record_ (r, &m->record);
  read_words_ (r, m->digests.of, RGY_ENTRY_CLASS_COUNT);
  m->flows = (uint32_t)rgy_read_u64_max (r, UINT32_MAX);
  m->running = (uint32_t)rgy_read_u64_max (r, UINT32_MAX);
  m->limit = (uint32_t)rgy_read_u64_max (r, UINT32_MAX);
  read_words_ (r, m->refused, RGY_REFUSAL_REASON_COUNT);
}

static void
read_heartbeat_ack_ (struct rgy_reader *r, struct rgy_heartbeat_ack_message *m)
{
  struct rgy_reader list;
  struct rgy_bytes bytes;
  size_t i;

  rgy_read_name (r, &m->balancer);
  m->sync = rgy_read_endpoint (r);
  read_words_ (r, m->digests.of, RGY_ENTRY_CLASS_COUNT);
  m->agent_epoch = rgy_read_u64 (r);
  m->agent_sequence = rgy_read_u64 (r);
  list = rgy_read_array_of (r, 0, RGY_WIRE_MAX_SAMPLE);
  m->sample_count = list.count;
  for (i = 0; i < m->sample_count; i++)
    {
      bytes = rgy_read_bytes (&list);
      if (!rgy_reader_is_ok (&list)
          || rgy_balancer_record_decode (bytes, &m->sample[i]) != RGY_OK)
        rgy_reader_fail (&list, RGY_ERR_INVALID);
    }
  rgy_reader_fail (r, list.outcome);
}

static void
read_usage_ (struct rgy_reader *parent, struct rgy_usage *usage)
{
  struct rgy_reader r = rgy_read_array (parent);

  rgy_read_name (&r, &usage->customer);
  usage->open_flows = rgy_read_u64 (&r);
  usage->new_flows_per_s = rgy_read_u64 (&r);
  usage->requests = rgy_read_u64 (&r);
  rgy_reader_fail (parent, r.outcome);
}

static void
read_peer_state_ (struct rgy_reader *r, struct rgy_peer_state_message *m)
{
  struct rgy_reader list;
  size_t i;

  rgy_read_name (r, &m->from);
  m->epoch = rgy_read_u64 (r);
  m->sequence = rgy_read_u64 (r);
  read_words_ (r, m->may_hold.words, RGY_BUCKET_WORDS);
  m->can_accept = rgy_read_bool (r);
  m->flows = (uint32_t)rgy_read_u64_max (r, UINT32_MAX);
  list = rgy_read_array_of (r, 0, RGY_WIRE_MAX_USAGE);
  m->usage_count = list.count;
  for (i = 0; i < m->usage_count; i++)
    read_usage_ (&list, &m->usage[i]);
  rgy_reader_fail (r, list.outcome);
}

static void
read_sync_request_ (struct rgy_reader *r, struct rgy_sync_request_message *m)
{
  size_t c;

  rgy_read_name (r, &m->from);
  m->classes = (uint32_t)rgy_read_u64_max (r, UINT32_MAX);
  m->service = rgy_read_endpoint (r);
  for (c = 0; c < RGY_ENTRY_CLASS_COUNT; c++)
    read_words_ (r, m->subdigests[c], RGY_SUBDIGEST_COUNT);
}

static enum rgy_outcome
read_body_ (struct rgy_reader *r, struct rgy_message *message)
{
  switch (message->kind)
    {
    case RGY_MSG_DATA:
      read_data_ (r, &message->u.data);
      return RGY_OK;
    case RGY_MSG_ANSWER:
      message->u.answer.caller = rgy_read_endpoint (r);
      message->u.answer.service = rgy_read_endpoint (r);
      message->u.answer.payload = rgy_read_bytes (r);
      return RGY_OK;
    case RGY_MSG_HEARTBEAT:
      read_heartbeat_ (r, &message->u.heartbeat);
      return RGY_OK;
    case RGY_MSG_HEARTBEAT_ACK:
      read_heartbeat_ack_ (r, &message->u.heartbeat_ack);
      return RGY_OK;
    case RGY_MSG_ENTRIES:
    case RGY_MSG_SYNC_REPLY:
      read_entries_ (r, &message->u.entries);
      return RGY_OK;
    case RGY_MSG_GOSSIP:
    case RGY_MSG_GOSSIP_ACK:
      rgy_read_name (r, &message->u.gossip.from);
      message->u.gossip.sync = rgy_read_endpoint (r);
      read_words_ (r, message->u.gossip.digests.of, RGY_ENTRY_CLASS_COUNT);
      read_entries_ (r, &message->u.gossip.entries);
      return RGY_OK;
    case RGY_MSG_PEER_STATE:
      read_peer_state_ (r, &message->u.peer_state);
      return RGY_OK;
    case RGY_MSG_PEER_STATE_ACK:
      rgy_read_name (r, &message->u.peer_state_ack.from);
      message->u.peer_state_ack.epoch = rgy_read_u64 (r);
      message->u.peer_state_ack.sequence = rgy_read_u64 (r);
      message->u.peer_state_ack.own_sequence = rgy_read_u64 (r);
      return RGY_OK;
    case RGY_MSG_HANDOVER:
      rgy_read_name (r, &message->u.handover.from);
      message->u.handover.transfer_id = rgy_read_u64 (r);
      message->u.handover.state = rgy_read_bytes (r);
      return RGY_OK;
    case RGY_MSG_HANDOVER_ACK:
      rgy_read_name (r, &message->u.handover_ack.from);
      message->u.handover_ack.transfer_id = rgy_read_u64 (r);
      message->u.handover_ack.accepted = rgy_read_bool (r);
      return RGY_OK;
    case RGY_MSG_PROBE:
    case RGY_MSG_PROBE_ACK:
      rgy_read_name (r, &message->u.probe.from);
      message->u.probe.nonce = rgy_read_u64 (r);
      rgy_read_optional_name (r, &message->u.probe.subject);
      return RGY_OK;
    case RGY_MSG_SYNC_REQUEST:
      read_sync_request_ (r, &message->u.sync_request);
      return RGY_OK;
    case RGY_MSG_KIND_COUNT:
      break;
    }
  return RGY_ERR_UNSUPPORTED;
}

enum rgy_outcome
rgy_wire_read_message (const msgpack_object *object,
                       struct rgy_message *message)
{
  struct rgy_reader r = rgy_reader_init (object);
  uint64_t kind = rgy_read_u64 (&r);
  enum rgy_outcome rc;

  if (!rgy_reader_is_ok (&r))
    return RGY_ERR_INVALID;
  if (kind == 0 || kind >= RGY_MSG_KIND_COUNT)
    return RGY_ERR_UNSUPPORTED;
  message->kind = (enum rgy_message_kind)kind;
  rc = read_body_ (&r, message);
  if (rc != RGY_OK)
    return rc;
  return rgy_reader_is_ok (&r) ? RGY_OK : RGY_ERR_INVALID;
}
