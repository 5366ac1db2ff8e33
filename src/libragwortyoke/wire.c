#include "ragwortyoke/wire.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "private/wire_codec.h"

struct rgy_wire
{
  uint8_t key[RGY_WIRE_KEY_BYTES];
  msgpack_sbuffer out;
  msgpack_zone zone;
};

const char *const rgy_message_kind_string[] = {
  [0] = "none",
  [RGY_MSG_DATA] = "data",
  [RGY_MSG_ANSWER] = "answer",
  [RGY_MSG_HEARTBEAT] = "heartbeat",
  [RGY_MSG_HEARTBEAT_ACK] = "heartbeat_ack",
  [RGY_MSG_ENTRIES] = "entries",
  [RGY_MSG_GOSSIP] = "gossip",
  [RGY_MSG_GOSSIP_ACK] = "gossip_ack",
  [RGY_MSG_PEER_STATE] = "peer_state",
  [RGY_MSG_PEER_STATE_ACK] = "peer_state_ack",
  [RGY_MSG_HANDOVER] = "handover",
  [RGY_MSG_HANDOVER_ACK] = "handover_ack",
  [RGY_MSG_PROBE] = "probe",
  [RGY_MSG_PROBE_ACK] = "probe_ack",
  [RGY_MSG_SYNC_REQUEST] = "sync_request",
  [RGY_MSG_SYNC_REPLY] = "sync_reply",
};

struct rgy_wire *
rgy_wire_new (const uint8_t *key)
{
  struct rgy_wire *wire = g_new0 (struct rgy_wire, 1);
  int rc = sodium_init ();

  g_assert_cmpint (rc, >=, 0);
  memcpy (wire->key, key, sizeof wire->key);
  msgpack_sbuffer_init (&wire->out);
  msgpack_zone_init (&wire->zone, MSGPACK_ZONE_CHUNK_SIZE);
  return wire;
}

void
rgy_wire_delete (struct rgy_wire *wire)
{
  if (wire == NULL)
    return;
  msgpack_sbuffer_destroy (&wire->out);
  msgpack_zone_destroy (&wire->zone);
  sodium_memzero (wire->key, sizeof wire->key);
  g_free (wire);
}

static void
compute_tag_ (const struct rgy_wire *wire, const void *body, size_t len,
              uint8_t *tag)
{
  crypto_generichash (tag, RGY_WIRE_TAG_BYTES, body, len, wire->key,
                      sizeof wire->key);
}

struct rgy_bytes
rgy_wire_encode (struct rgy_wire *wire, const struct rgy_message *message)
{
  static const char zeros[RGY_WIRE_TAG_BYTES];
  msgpack_packer pk;

  msgpack_sbuffer_clear (&wire->out);
  msgpack_sbuffer_write (&wire->out, zeros, sizeof zeros);
  msgpack_packer_init (&pk, &wire->out, msgpack_sbuffer_write);
  rgy_wire_pack_message (&pk, message);
  compute_tag_ (wire, wire->out.data + RGY_WIRE_TAG_BYTES,
                wire->out.size - RGY_WIRE_TAG_BYTES,
                (uint8_t *)wire->out.data);
  return (struct rgy_bytes){ .data = (const uint8_t *)wire->out.data,
                             .len = wire->out.size };
}

enum rgy_outcome
rgy_wire_decode (struct rgy_wire *wire, struct rgy_bytes datagram,
                 struct rgy_message *message)
{
  uint8_t tag[RGY_WIRE_TAG_BYTES];
  struct rgy_bytes body;
  msgpack_object object;

  if (datagram.len <= RGY_WIRE_TAG_BYTES)
    return RGY_ERR_INVALID;
  body = (struct rgy_bytes){ .data = datagram.data + RGY_WIRE_TAG_BYTES,
                             .len = datagram.len - RGY_WIRE_TAG_BYTES };
  compute_tag_ (wire, body.data, body.len, tag);
  if (sodium_memcmp (tag, datagram.data, sizeof tag) != 0)
    return RGY_ERR_AUTH;
  msgpack_zone_clear (&wire->zone);
  if (!rgy_msgpack_unpack (body, &wire->zone, &object))
    return RGY_ERR_INVALID;
  return rgy_wire_read_message (&object, message);
}
