#include "ragwortyoke/handover.h"

#include <stdlib.h>

#include "private/msgpack_io.h"

/* Fields of an encoded state: kind of the flow key, caller, service, customer,
   observations, records, Echo epochs.  */
#define STATE_FIELD_COUNT 7
#define OBSERVATION_FIELD_COUNT 3
#define RECORD_FIELD_COUNT 4
/* The Observe option has 24 bits (RFC 7641), a CoAP token 8 bytes (RFC
   7252).  */
#define SEQUENCE_MAX 0xffffff
#define TOKEN_MAX_BYTES 8

/* Encoding of a state.  */

static void
pack_key_ (msgpack_packer *pk, const struct rgy_flow_key *key)
{
  switch (key->kind)
    {
    case RGY_FLOW_KEY_UDP:
      msgpack_pack_uint64 (pk, key->kind);
      rgy_pack_endpoint (pk, key->u.udp.caller);
      rgy_pack_endpoint (pk, key->u.udp.service);
      return;
    case RGY_FLOW_KEY_SEGMENT:
      break; /* Only request sessions, over UDP, are handed over.  */
    }
  abort ();
}

GByteArray *
rgy_handover_state_encode (const struct rgy_handover_state *state)
{
  GByteArray *out = g_byte_array_new ();
  msgpack_packer pk;
  size_t i;

  g_assert (state->observation_count <= RGY_HANDOVER_MAX_OBSERVATIONS
            && state->record_count <= RGY_HANDOVER_MAX_RECORDS
            && state->echo_epoch_count <= RGY_HANDOVER_MAX_EPOCHS);
  msgpack_packer_init (&pk, out, rgy_pack_append);
  msgpack_pack_array (&pk, STATE_FIELD_COUNT);
  pack_key_ (&pk, &state->key);
  rgy_pack_name (&pk, &state->customer);
  msgpack_pack_array (&pk, state->observation_count);
  for (i = 0; i < state->observation_count; i++)
    {
      const struct rgy_handover_observation *obs = &state->observations[i];

      msgpack_pack_array (&pk, OBSERVATION_FIELD_COUNT);
      rgy_pack_bytes (&pk, obs->registration);
      msgpack_pack_uint32 (&pk, obs->last_sequence);
      rgy_pack_bool (&pk, obs->notified);
    }
  msgpack_pack_array (&pk, state->record_count);
  for (i = 0; i < state->record_count; i++)
    {
      const struct rgy_handover_record *record = &state->records[i];

      msgpack_pack_array (&pk, RECORD_FIELD_COUNT);
      msgpack_pack_uint16 (&pk, record->message_id);
      rgy_pack_bytes (&pk, record->token);
      rgy_pack_bytes (&pk, record->response);
      msgpack_pack_uint32 (&pk, record->age_ms);
    }
  msgpack_pack_array (&pk, state->echo_epoch_count);
  for (i = 0; i < state->echo_epoch_count; i++)
    msgpack_pack_uint64 (&pk, state->echo_epochs[i]);
  return out;
}

/* Decoding of a state.  */

static void
read_key_ (struct rgy_reader *r, struct rgy_flow_key *key)
{
  uint64_t kind = rgy_read_u64 (r);
  struct rgy_endpoint caller = rgy_read_endpoint (r);
  struct rgy_endpoint service = rgy_read_endpoint (r);

  if (kind == RGY_FLOW_KEY_UDP)
    *key = rgy_flow_key_udp (caller, service);
  else
    rgy_reader_fail (r, RGY_ERR_UNSUPPORTED);
}

static void
read_observations_ (struct rgy_reader *r, struct rgy_handover_state *state)
{
  struct rgy_reader list
      = rgy_read_array_of (r, 0, RGY_HANDOVER_MAX_OBSERVATIONS);
  size_t i;

  state->observation_count = list.count;
  for (i = 0; i < list.count; i++)
    {
      struct rgy_handover_observation *obs = &state->observations[i];
      struct rgy_reader fields = rgy_read_array_of (
          &list, OBSERVATION_FIELD_COUNT, OBSERVATION_FIELD_COUNT);

      obs->registration = rgy_read_bytes (&fields);
      obs->last_sequence = (uint32_t)rgy_read_u64_max (&fields, SEQUENCE_MAX);
      obs->notified = rgy_read_bool (&fields);
      rgy_reader_fail (&list, fields.outcome);
    }
  rgy_reader_fail (r, list.outcome);
}

static void
read_records_ (struct rgy_reader *r, struct rgy_handover_state *state)
{
  struct rgy_reader list = rgy_read_array_of (r, 0, RGY_HANDOVER_MAX_RECORDS);
  size_t i;

  state->record_count = list.count;
  for (i = 0; i < list.count; i++)
    {
      struct rgy_handover_record *record = &state->records[i];
      struct rgy_reader fields
          = rgy_read_array_of (&list, RECORD_FIELD_COUNT, RECORD_FIELD_COUNT);

      record->message_id = (uint16_t)rgy_read_u64_max (&fields, UINT16_MAX);
      record->token = rgy_read_bytes (&fields);
      if (record->token.len > TOKEN_MAX_BYTES)
        rgy_reader_fail (&fields, RGY_ERR_INVALID);
      record->response = rgy_read_bytes (&fields);
      record->age_ms = (uint32_t)rgy_read_u64_max (&fields, UINT32_MAX);
      rgy_reader_fail (&list, fields.outcome);
    }
  rgy_reader_fail (r, list.outcome);
}

static void
read_epochs_ (struct rgy_reader *r, struct rgy_handover_state *state)
{
  struct rgy_reader list = rgy_read_array_of (r, 0, RGY_HANDOVER_MAX_EPOCHS);
  size_t i;

  state->echo_epoch_count = list.count;
  for (i = 0; i < list.count; i++)
    state->echo_epochs[i] = rgy_read_u64 (&list);
  rgy_reader_fail (r, list.outcome);
}

static enum rgy_outcome
read_state_ (const msgpack_object *object, struct rgy_handover_state *state)
{
  struct rgy_reader r = rgy_reader_init (object);

  if (r.count != STATE_FIELD_COUNT)
    return RGY_ERR_INVALID;
  read_key_ (&r, &state->key);
  rgy_read_name (&r, &state->customer);
  read_observations_ (&r, state);
  read_records_ (&r, state);
  read_epochs_ (&r, state);
  return r.outcome;
}

enum rgy_outcome
rgy_handover_state_decode (struct rgy_bytes bytes,
                           struct rgy_handover_state *state)
{
  struct rgy_handover_state decoded = { 0 };
  enum rgy_outcome rc = RGY_ERR_INVALID;
  msgpack_object object;
  msgpack_zone zone;

  msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
  if (rgy_msgpack_unpack (bytes, &zone, &object))
    rc = read_state_ (&object, &decoded);
  msgpack_zone_destroy (&zone);
  if (rc == RGY_OK)
    *state = decoded;
  return rc;
}

/* Transfers under way at the sending agent.  */

struct transfer_
{
  uint64_t id;
  uint64_t flow_id;
  struct rgy_name target;
  unsigned attempts;
  bool target_unavailable;
  int64_t due_us;
  GQueue *queue; /* The queue that contains link.  */
  GList link;
};

struct rgy_transfers
{
  uint64_t next_id;
  GHashTable *by_flow; /* Owned struct transfer_ by flow_id.  */
  GHashTable *by_id;   /* Borrowed struct transfer_ by id.  */
  /* Transfers due at once: new, or with a target that is unavailable.  */
  GQueue urgent;
  GQueue waiting; /* Ordered by due_us, as all wait equally long.  */
};

struct rgy_transfers *
rgy_transfers_new (void)
{
  struct rgy_transfers *transfers = g_new0 (struct rgy_transfers, 1);

  transfers->next_id = 1;
  transfers->by_flow
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  transfers->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&transfers->urgent);
  g_queue_init (&transfers->waiting);
  return transfers;
}

void
rgy_transfers_delete (struct rgy_transfers *transfers)
{
  if (transfers == NULL)
    return;
  g_hash_table_unref (transfers->by_id);
  g_hash_table_unref (transfers->by_flow);
  g_free (transfers);
}

static void
move_to_queue_ (GQueue *queue, struct transfer_ *transfer)
{
  if (transfer->queue != NULL)
    g_queue_unlink (transfer->queue, &transfer->link);
  transfer->queue = queue;
  g_queue_push_tail_link (queue, &transfer->link);
}

static void
end_transfer_ (struct rgy_transfers *transfers, struct transfer_ *transfer)
{
  g_queue_unlink (transfer->queue, &transfer->link);
  g_hash_table_remove (transfers->by_id, &transfer->id);
  g_hash_table_remove (transfers->by_flow, &transfer->flow_id);
}

enum rgy_outcome
rgy_transfers_begin (struct rgy_transfers *transfers, uint64_t flow_id,
                     const struct rgy_name *target, int64_t now_us)
{
  struct transfer_ *transfer = NULL;

  if (g_hash_table_contains (transfers->by_flow, &flow_id))
    return RGY_ERR_CONFLICT;
  transfer = g_new0 (struct transfer_, 1);
  transfer->id = transfers->next_id++;
  transfer->flow_id = flow_id;
  transfer->target = *target;
  transfer->due_us = now_us;
  transfer->link.data = transfer;
  g_hash_table_insert (transfers->by_flow, &transfer->flow_id, transfer);
  g_hash_table_insert (transfers->by_id, &transfer->id, transfer);
  move_to_queue_ (&transfers->urgent, transfer);
  return RGY_OK;
}

bool
rgy_transfers_next (struct rgy_transfers *transfers, int64_t now_us,
                    struct rgy_transfer_event *event)
{
  struct transfer_ *transfer = g_queue_peek_head (&transfers->urgent);

  if (transfer == NULL)
    transfer = g_queue_peek_head (&transfers->waiting);
  if (transfer == NULL || transfer->due_us > now_us)
    return false;
  *event = (struct rgy_transfer_event){ .kind = RGY_TRANSFER_SEND,
                                        .flow_id = transfer->flow_id,
                                        .transfer_id = transfer->id,
                                        .target = transfer->target };
  if (transfer->target_unavailable
      || transfer->attempts == RGY_HANDOVER_ATTEMPTS)
    {
      event->kind = RGY_TRANSFER_FAILED;
      event->target_unavailable = transfer->target_unavailable;
      end_transfer_ (transfers, transfer);
      return true;
    }
  transfer->attempts++;
  transfer->due_us = now_us + RGY_HANDOVER_RETRANSMIT_US;
  move_to_queue_ (&transfers->waiting, transfer);
  return true;
}

enum rgy_outcome
rgy_transfers_note_ack (struct rgy_transfers *transfers, uint64_t transfer_id,
                        const struct rgy_name *target, uint64_t *flow_id)
{
  struct transfer_ *transfer
      = g_hash_table_lookup (transfers->by_id, &transfer_id);

  if (transfer == NULL || !rgy_name_equal (&transfer->target, target))
    return RGY_ERR_NOT_FOUND;
  *flow_id = transfer->flow_id;
  end_transfer_ (transfers, transfer);
  return RGY_OK;
}

void
rgy_transfers_cancel (struct rgy_transfers *transfers, uint64_t flow_id)
{
  struct transfer_ *transfer
      = g_hash_table_lookup (transfers->by_flow, &flow_id);

  if (transfer != NULL)
    end_transfer_ (transfers, transfer);
}

/* Orders transfers by ID, so that the order does not depend on that of a hash
   table.  */
static int
compare_transfers_ (const void *a, const void *b)
{
  const struct transfer_ *first = *(struct transfer_ *const *)a;
  const struct transfer_ *second = *(struct transfer_ *const *)b;

  return first->id < second->id ? -1 : first->id > second->id;
}

void
rgy_transfers_cancel_target (struct rgy_transfers *transfers,
                             const struct rgy_name *target)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value = NULL;
  guint i;

  g_hash_table_iter_init (&iter, transfers->by_flow);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (rgy_name_equal (&((struct transfer_ *)value)->target, target))
      g_ptr_array_add (found, value);
  g_ptr_array_sort (found, compare_transfers_);
  for (i = 0; i < found->len; i++)
    {
      struct transfer_ *transfer = found->pdata[i];

      transfer->target_unavailable = true;
      transfer->due_us = INT64_MIN;
      move_to_queue_ (&transfers->urgent, transfer);
    }
  g_ptr_array_unref (found);
}

size_t
rgy_transfers_get_count (const struct rgy_transfers *transfers)
{
  return g_hash_table_size (transfers->by_flow);
}

/* Answers that the receiving agent has sent.  */

struct reply_
{
  struct rgy_name from;
  uint64_t transfer_id;
  struct rgy_flow_key key;
  bool accepted;
  int64_t sent_us;
};

struct rgy_handover_replies
{
  GHashTable *set; /* Borrowed struct reply_.  */
  GQueue order;    /* Owned struct reply_, oldest first.  */
};

static guint
hash_reply_ (gconstpointer data)
{
  const struct reply_ *reply = data;

  return (guint)rgy_name_hash (&reply->from, reply->transfer_id);
}

static gboolean
equal_replies_ (gconstpointer a, gconstpointer b)
{
  const struct reply_ *x = a;
  const struct reply_ *y = b;

  return x->transfer_id == y->transfer_id
         && rgy_name_equal (&x->from, &y->from)
         && rgy_flow_key_equal (&x->key, &y->key);
}

struct rgy_handover_replies *
rgy_handover_replies_new (void)
{
  struct rgy_handover_replies *replies
      = g_new0 (struct rgy_handover_replies, 1);

  replies->set = g_hash_table_new (hash_reply_, equal_replies_);
  g_queue_init (&replies->order);
  return replies;
}

void
rgy_handover_replies_delete (struct rgy_handover_replies *replies)
{
  if (replies == NULL)
    return;
  g_hash_table_unref (replies->set);
  g_queue_clear_full (&replies->order, g_free);
  g_free (replies);
}

static void
expire_replies_ (struct rgy_handover_replies *replies, int64_t now_us)
{
  struct reply_ *oldest = NULL;

  while ((oldest = g_queue_peek_head (&replies->order)) != NULL
         && now_us - oldest->sent_us >= RGY_HANDOVER_REPLY_KEEP_US)
    {
      g_hash_table_remove (replies->set, oldest);
      g_free (g_queue_pop_head (&replies->order));
    }
}

void
rgy_handover_replies_note (struct rgy_handover_replies *replies,
                           const struct rgy_name *from, uint64_t transfer_id,
                           const struct rgy_flow_key *key, bool accepted,
                           int64_t now_us)
{
  struct reply_ probe = { .from = *from,
                          .transfer_id = transfer_id,
                          .key = *key,
                          .accepted = accepted,
                          .sent_us = now_us };
  struct reply_ *reply = NULL;

  expire_replies_ (replies, now_us);
  /* The first answer to a transfer is kept.  */
  if (g_hash_table_contains (replies->set, &probe))
    return;
  reply = g_memdup2 (&probe, sizeof probe);
  g_hash_table_add (replies->set, reply);
  g_queue_push_tail (&replies->order, reply);
}

enum rgy_outcome
rgy_handover_replies_find (struct rgy_handover_replies *replies,
                           const struct rgy_name *from, uint64_t transfer_id,
                           const struct rgy_flow_key *key, int64_t now_us,
                           bool *accepted)
{
  struct reply_ probe
      = { .from = *from, .transfer_id = transfer_id, .key = *key };
  const struct reply_ *reply = NULL;

  expire_replies_ (replies, now_us);
  reply = g_hash_table_lookup (replies->set, &probe);
  if (reply == NULL)
    return RGY_ERR_NOT_FOUND;
  *accepted = reply->accepted;
  return RGY_OK;
}
