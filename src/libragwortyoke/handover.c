#include "ragwortyoke/handover.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

/* Fields of an encoded state, in order.  */
enum field_
{
  FIELD_KEY_KIND,
  FIELD_CALLER,
  FIELD_SERVICE,
  FIELD_CUSTOMER,
  FIELD_OBSERVATIONS,
  FIELD_RECORDS,
  FIELD_ECHO_EPOCHS,
  FIELD_COUNT
};

#define OBSERVATION_FIELDS 3
#define RECORD_FIELDS 4
/* The Observe option has 24 bits, a CoAP token 8 bytes (RFC 7641, RFC
   7252).  */
#define SEQUENCE_MAX 0xffffff
#define TOKEN_MAX_BYTES 8
#define ENDPOINT_MAX ((UINT64_C (1) << 48) - 1)

/* Encoding.  */

static int
append_ (void *data, const char *buf, size_t len)
{
  g_byte_array_append (data, (const guint8 *)buf, (guint)len);
  return 0;
}

static void
pack_bytes_ (msgpack_packer *pk, struct rgy_bytes bytes)
{
  msgpack_pack_bin (pk, bytes.len);
  if (bytes.len > 0)
    msgpack_pack_bin_body (pk, bytes.data, bytes.len);
}

static void
pack_key_ (msgpack_packer *pk, const struct rgy_flow_key *key)
{
  switch (key->kind)
    {
    case RGY_FLOW_KEY_UDP:
      msgpack_pack_uint64 (pk, key->kind);
      msgpack_pack_uint64 (pk, rgy_endpoint_pack (key->u.udp.caller));
      msgpack_pack_uint64 (pk, rgy_endpoint_pack (key->u.udp.service));
      return;
    }
  abort ();
}

GByteArray *
rgy_handover_state_encode (const struct rgy_handover_state *state)
{
  GByteArray *out = g_byte_array_new ();
  struct rgy_str customer = rgy_name_str (&state->customer);
  msgpack_packer pk;
  size_t i;

  g_assert (state->observation_count <= RGY_HANDOVER_MAX_OBSERVATIONS
            && state->record_count <= RGY_HANDOVER_MAX_RECORDS
            && state->echo_epoch_count <= RGY_HANDOVER_MAX_EPOCHS);
  msgpack_packer_init (&pk, out, append_);
  msgpack_pack_array (&pk, FIELD_COUNT);
  pack_key_ (&pk, &state->key);
  msgpack_pack_str (&pk, customer.len);
  msgpack_pack_str_body (&pk, customer.data, customer.len);
  msgpack_pack_array (&pk, state->observation_count);
  for (i = 0; i < state->observation_count; i++)
    {
      const struct rgy_handover_observation *obs = &state->observations[i];

      msgpack_pack_array (&pk, OBSERVATION_FIELDS);
      pack_bytes_ (&pk, obs->registration);
      msgpack_pack_uint32 (&pk, obs->last_sequence);
      if (obs->notified)
        msgpack_pack_true (&pk);
      else
        msgpack_pack_false (&pk);
    }
  msgpack_pack_array (&pk, state->record_count);
  for (i = 0; i < state->record_count; i++)
    {
      const struct rgy_handover_record *record = &state->records[i];

      msgpack_pack_array (&pk, RECORD_FIELDS);
      msgpack_pack_uint16 (&pk, record->message_id);
      pack_bytes_ (&pk, record->token);
      pack_bytes_ (&pk, record->response);
      msgpack_pack_uint32 (&pk, record->age_ms);
    }
  msgpack_pack_array (&pk, state->echo_epoch_count);
  for (i = 0; i < state->echo_epoch_count; i++)
    msgpack_pack_uint64 (&pk, state->echo_epochs[i]);
  return out;
}

/* Decoding.  */

/* Big-endian number of LEN bytes.  */
static uint64_t
read_number_ (const uint8_t *data, size_t len)
{
  uint64_t value = 0;
  size_t i;

  for (i = 0; i < len; i++)
    value = value << 8 | data[i];
  return value;
}

/* Length of the object at DATA without the elements of an array, whose number
   is stored in ELEMENTS; 0 for an object that does not fit into LEN bytes or
   is of a type that a state does not contain.  */
static size_t
object_length_ (const uint8_t *data, size_t len, size_t *elements)
{
  uint8_t type = data[0];
  size_t head = 1;
  uint64_t body = 0;

  *elements = 0;
  if (type >= 0x90 && type <= 0x9f)
    *elements = type & 0x0f;
  else if (type >= 0xa0 && type <= 0xbf)
    body = type & 0x1f;
  else if (type >= 0xcc && type <= 0xcf) /* uint 8 to uint 64 */
    body = UINT64_C (1) << (type - 0xcc);
  else if (type >= 0xc4 && type <= 0xc6) /* bin 8 to bin 32 */
    head += (size_t)1 << (type - 0xc4);
  else if (type == 0xd9) /* str 8 */
    head += 1;
  else if (type > 0x7f && type != 0xc2 && type != 0xc3) /* number, boolean */
    return 0;
  if (head > len)
    return 0;
  if (head > 1)
    body = read_number_ (data + 1, head - 1);
  return body > len - head ? 0 : head + body;
}

/* Checks that BYTES is exactly one object built from the types of a state.
   msgpack-c allocates an array from the count in its header before it reads
   the elements, so counts are bounded here first.  */
static bool
is_bounded_ (struct rgy_bytes bytes)
{
  size_t at = 0;
  size_t pending = 1;

  while (pending > 0)
    {
      size_t elements = 0;
      size_t len = 0;

      if (at < bytes.len)
        len = object_length_ (bytes.data + at, bytes.len - at, &elements);
      if (len == 0)
        return false;
      at += len;
      pending += elements;
      pending--;
    }
  return at == bytes.len;
}

static bool
get_uint_ (const msgpack_object *object, uint64_t max, uint64_t *value)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
    return false;
  *value = object->via.u64;
  return true;
}

static bool
get_bytes_ (const msgpack_object *object, struct rgy_bytes *bytes)
{
  if (object->type != MSGPACK_OBJECT_BIN)
    return false;
  *bytes = (struct rgy_bytes){ .data = (const uint8_t *)object->via.bin.ptr,
                               .len = object->via.bin.size };
  return true;
}

/* Elements of an array of at most MAX elements, or NULL.  */
static const msgpack_object *
get_array_ (const msgpack_object *object, size_t max, size_t *count)
{
  static const msgpack_object empty = { .type = MSGPACK_OBJECT_NIL };

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > max)
    return NULL;
  *count = object->via.array.size;
  return *count == 0 ? &empty : object->via.array.ptr;
}

/* Elements of an array of exactly COUNT elements, or NULL.  */
static const msgpack_object *
get_fields_ (const msgpack_object *object, size_t count)
{
  size_t found = 0;
  const msgpack_object *fields = get_array_ (object, count, &found);

  return found == count ? fields : NULL;
}

static enum rgy_outcome
decode_key_ (const msgpack_object *fields, struct rgy_flow_key *key)
{
  uint64_t kind = 0;
  uint64_t caller = 0;
  uint64_t service = 0;

  if (!get_uint_ (&fields[FIELD_KEY_KIND], UINT64_MAX, &kind)
      || !get_uint_ (&fields[FIELD_CALLER], ENDPOINT_MAX, &caller)
      || !get_uint_ (&fields[FIELD_SERVICE], ENDPOINT_MAX, &service))
    return RGY_ERR_INVALID;
  if (kind != RGY_FLOW_KEY_UDP)
    return RGY_ERR_UNSUPPORTED;
  *key = rgy_flow_key_udp (rgy_endpoint_unpack (caller),
                           rgy_endpoint_unpack (service));
  return RGY_OK;
}

static bool
decode_customer_ (const msgpack_object *object, struct rgy_name *customer)
{
  return object->type == MSGPACK_OBJECT_STR
         && rgy_name_set (customer,
                          (struct rgy_str){ .data = object->via.str.ptr,
                                            .len = object->via.str.size })
                == RGY_OK;
}

static bool
decode_observations_ (const msgpack_object *object,
                      struct rgy_handover_state *state)
{
  const msgpack_object *items = get_array_ (
      object, RGY_HANDOVER_MAX_OBSERVATIONS, &state->observation_count);
  size_t i;

  if (items == NULL)
    return false;
  for (i = 0; i < state->observation_count; i++)
    {
      struct rgy_handover_observation *obs = &state->observations[i];
      const msgpack_object *fields
          = get_fields_ (&items[i], OBSERVATION_FIELDS);
      uint64_t sequence = 0;

      if (fields == NULL || !get_bytes_ (&fields[0], &obs->registration)
          || !get_uint_ (&fields[1], SEQUENCE_MAX, &sequence)
          || fields[2].type != MSGPACK_OBJECT_BOOLEAN)
        return false;
      obs->last_sequence = (uint32_t)sequence;
      obs->notified = fields[2].via.boolean;
    }
  return true;
}

static bool
decode_records_ (const msgpack_object *object,
                 struct rgy_handover_state *state)
{
  const msgpack_object *items
      = get_array_ (object, RGY_HANDOVER_MAX_RECORDS, &state->record_count);
  size_t i;

  if (items == NULL)
    return false;
  for (i = 0; i < state->record_count; i++)
    {
      struct rgy_handover_record *record = &state->records[i];
      const msgpack_object *fields = get_fields_ (&items[i], RECORD_FIELDS);
      uint64_t message_id = 0;
      uint64_t age_ms = 0;

      if (fields == NULL || !get_uint_ (&fields[0], UINT16_MAX, &message_id)
          || !get_bytes_ (&fields[1], &record->token)
          || record->token.len > TOKEN_MAX_BYTES
          || !get_bytes_ (&fields[2], &record->response)
          || !get_uint_ (&fields[3], UINT32_MAX, &age_ms))
        return false;
      record->message_id = (uint16_t)message_id;
      record->age_ms = (uint32_t)age_ms;
    }
  return true;
}

static bool
decode_epochs_ (const msgpack_object *object, struct rgy_handover_state *state)
{
  const msgpack_object *items
      = get_array_ (object, RGY_HANDOVER_MAX_EPOCHS, &state->echo_epoch_count);
  size_t i;

  if (items == NULL)
    return false;
  for (i = 0; i < state->echo_epoch_count; i++)
    if (!get_uint_ (&items[i], UINT64_MAX, &state->echo_epochs[i]))
      return false;
  return true;
}

static enum rgy_outcome
decode_object_ (const msgpack_object *object, struct rgy_handover_state *state)
{
  const msgpack_object *fields = get_fields_ (object, FIELD_COUNT);
  enum rgy_outcome rc;

  if (fields == NULL)
    return RGY_ERR_INVALID;
  rc = decode_key_ (fields, &state->key);
  if (rc != RGY_OK)
    return rc;
  if (!decode_customer_ (&fields[FIELD_CUSTOMER], &state->customer)
      || !decode_observations_ (&fields[FIELD_OBSERVATIONS], state)
      || !decode_records_ (&fields[FIELD_RECORDS], state)
      || !decode_epochs_ (&fields[FIELD_ECHO_EPOCHS], state))
    return RGY_ERR_INVALID;
  return RGY_OK;
}

enum rgy_outcome
rgy_handover_state_decode (struct rgy_bytes bytes,
                           struct rgy_handover_state *state)
{
  struct rgy_handover_state decoded = { 0 };
  enum rgy_outcome rc = RGY_ERR_INVALID;
  msgpack_unpacked unpacked;
  size_t offset = 0;

  if (!is_bounded_ (bytes))
    return RGY_ERR_INVALID;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, (const char *)bytes.data, bytes.len,
                           &offset)
      == MSGPACK_UNPACK_SUCCESS)
    rc = decode_object_ (&unpacked.data, &decoded);
  msgpack_unpacked_destroy (&unpacked);
  if (rc == RGY_OK)
    *state = decoded;
  return rc;
}

/* Transfers.  */

struct transfer_
{
  uint64_t id;
  uint64_t flow_id;
  struct rgy_name target;
  unsigned attempts;
  bool target_died;
  int64_t due_us;
  GQueue *queue; /* Queue that holds LINK.  */
  GList link;
};

struct rgy_transfers
{
  uint64_t next_id;
  GHashTable *by_flow; /* Owned struct transfer_ by flow_id.  */
  GHashTable *by_id;   /* Borrowed struct transfer_ by id.  */
  GQueue urgent;       /* Due at once: new or given up.  */
  GQueue waiting;      /* In order of due_us, as all wait equally long.  */
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
enqueue_ (GQueue *queue, struct transfer_ *transfer)
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
  enqueue_ (&transfers->urgent, transfer);
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
  if (transfer->target_died || transfer->attempts == RGY_HANDOVER_ATTEMPTS)
    {
      event->kind = RGY_TRANSFER_GIVEN_UP;
      event->target_died = transfer->target_died;
      end_transfer_ (transfers, transfer);
      return true;
    }
  transfer->attempts++;
  transfer->due_us = now_us + RGY_HANDOVER_RETRANSMIT_US;
  enqueue_ (&transfers->waiting, transfer);
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

void
rgy_transfers_cancel_target (struct rgy_transfers *transfers,
                             const struct rgy_name *target)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, transfers->by_flow);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct transfer_ *transfer = value;

      if (!rgy_name_equal (&transfer->target, target))
        continue;
      transfer->target_died = true;
      transfer->due_us = INT64_MIN;
      enqueue_ (&transfers->urgent, transfer);
    }
}

size_t
rgy_transfers_get_count (const struct rgy_transfers *transfers)
{
  return g_hash_table_size (transfers->by_flow);
}

/* Receipts.  */

struct receipt_
{
  struct rgy_name from;
  uint64_t transfer_id;
  struct rgy_flow_key key;
  bool accepted;
  int64_t noted_us;
};

struct rgy_receipts
{
  GHashTable *set; /* Borrowed struct receipt_.  */
  GQueue order;    /* Owned struct receipt_, oldest first.  */
};

static guint
hash_receipt_ (gconstpointer data)
{
  const struct receipt_ *receipt = data;

  return (guint)rgy_name_hash (&receipt->from, receipt->transfer_id);
}

static gboolean
equal_receipts_ (gconstpointer a, gconstpointer b)
{
  const struct receipt_ *x = a;
  const struct receipt_ *y = b;

  return x->transfer_id == y->transfer_id
         && rgy_name_equal (&x->from, &y->from)
         && rgy_flow_key_equal (&x->key, &y->key);
}

struct rgy_receipts *
rgy_receipts_new (void)
{
  struct rgy_receipts *receipts = g_new0 (struct rgy_receipts, 1);

  receipts->set = g_hash_table_new (hash_receipt_, equal_receipts_);
  g_queue_init (&receipts->order);
  return receipts;
}

void
rgy_receipts_delete (struct rgy_receipts *receipts)
{
  if (receipts == NULL)
    return;
  g_hash_table_unref (receipts->set);
  g_queue_clear_full (&receipts->order, g_free);
  g_free (receipts);
}

static void
expire_receipts_ (struct rgy_receipts *receipts, int64_t now_us)
{
  struct receipt_ *oldest = NULL;

  while ((oldest = g_queue_peek_head (&receipts->order)) != NULL
         && now_us - oldest->noted_us >= RGY_HANDOVER_RECEIPT_US)
    {
      g_hash_table_remove (receipts->set, oldest);
      g_free (g_queue_pop_head (&receipts->order));
    }
}

void
rgy_receipts_note (struct rgy_receipts *receipts, const struct rgy_name *from,
                   uint64_t transfer_id, const struct rgy_flow_key *key,
                   bool accepted, int64_t now_us)
{
  struct receipt_ probe = { .from = *from,
                            .transfer_id = transfer_id,
                            .key = *key,
                            .accepted = accepted,
                            .noted_us = now_us };
  struct receipt_ *receipt = NULL;

  expire_receipts_ (receipts, now_us);
  /* The first answer stands.  */
  if (g_hash_table_contains (receipts->set, &probe))
    return;
  receipt = g_memdup2 (&probe, sizeof probe);
  g_hash_table_add (receipts->set, receipt);
  g_queue_push_tail (&receipts->order, receipt);
}

enum rgy_outcome
rgy_receipts_find (struct rgy_receipts *receipts, const struct rgy_name *from,
                   uint64_t transfer_id, const struct rgy_flow_key *key,
                   int64_t now_us, bool *accepted)
{
  struct receipt_ probe
      = { .from = *from, .transfer_id = transfer_id, .key = *key };
  const struct receipt_ *receipt = NULL;

  expire_receipts_ (receipts, now_us);
  receipt = g_hash_table_lookup (receipts->set, &probe);
  if (receipt == NULL)
    return RGY_ERR_NOT_FOUND;
  *accepted = receipt->accepted;
  return RGY_OK;
}
