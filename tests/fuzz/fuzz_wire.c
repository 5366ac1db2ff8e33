#include <string.h>

#include "fuzz.h"
#include "message_samples.h"

/* Fuzz target of the decoder of messages between instances.  */

static struct rgy_wire *wire_;
static struct rgy_message *message_;

static void
init_wire_ (void)
{
  if (wire_ != NULL)
    return;
  wire_ = rgy_wire_new (fuzz_key);
  message_ = g_new0 (struct rgy_message, 1);
}

/* The valid inputs are message bodies without their tag, and one datagram with
   its tag.  */
void
fuzz_add_seeds (GPtrArray *seeds)
{
  struct rgy_bytes bytes;
  int kind;

  init_wire_ ();
  for (kind = 1; kind < RGY_MSG_KIND_COUNT; kind++)
    {
      message_sample_fill ((enum rgy_message_kind)kind, message_);
      bytes = rgy_wire_encode (wire_, message_);
      if (kind == RGY_MSG_PROBE)
        fuzz_add_seed (seeds, bytes.data, bytes.len);
      fuzz_add_seed (seeds, bytes.data + RGY_WIRE_TAG_BYTES,
                     bytes.len - RGY_WIRE_TAG_BYTES);
    }
}

/* Checks that the counts of a message are within their limits and that its
   byte ranges lie within the datagram.  */
static void
check_ranges_ (const struct rgy_message *m, struct rgy_bytes datagram)
{
  const struct rgy_entries_message *entries = NULL;
  size_t i;

  switch (m->kind)
    {
    case RGY_MSG_DATA:
      g_assert (fuzz_is_within (m->u.data.payload, datagram));
      g_assert (m->u.data.trail.count <= RGY_MAX_HOPS);
      g_assert (m->u.data.trail.origin <= m->u.data.trail.count);
      break;
    case RGY_MSG_ANSWER:
      g_assert (fuzz_is_within (m->u.answer.payload, datagram));
      break;
    case RGY_MSG_HANDOVER:
      g_assert (fuzz_is_within (m->u.handover.state, datagram));
      break;
    case RGY_MSG_ENTRIES:
    case RGY_MSG_SYNC_REPLY:
      entries = &m->u.entries;
      break;
    case RGY_MSG_GOSSIP:
    case RGY_MSG_GOSSIP_ACK:
      entries = &m->u.gossip.entries;
      break;
    default:
      break;
    }
  if (entries == NULL)
    return;
  g_assert (entries->count <= RGY_WIRE_MAX_ENTRIES);
  for (i = 0; i < entries->count; i++)
    {
      g_assert (fuzz_is_within (entries->entries[i]->value, datagram));
      g_assert ((unsigned)entries->entries[i]->class < RGY_ENTRY_CLASS_COUNT);
    }
}

static GByteArray *
encode_copy_ (const struct rgy_message *m)
{
  struct rgy_bytes bytes = rgy_wire_encode (wire_, m);

  return g_byte_array_append (g_byte_array_new (), bytes.data,
                              (guint)bytes.len);
}

/* A decoded message must stay the same when it is encoded and decoded again,
   because balancers forward entries.  */
static void
check_reencoding_ (void)
{
  GByteArray *first = encode_copy_ (message_);
  GByteArray *second;

  g_assert (rgy_wire_decode (wire_, fuzz_view_array (first), message_)
            == RGY_OK);
  second = encode_copy_ (message_);
  g_assert (fuzz_arrays_equal (first, second));
  g_byte_array_unref (first);
  g_byte_array_unref (second);
}

/* Decodes the input as a whole datagram, and as the body of a datagram with a
   valid tag.  */
void
fuzz_run_input (struct rgy_bytes input)
{
  GByteArray *tagged;
  struct rgy_bytes datagram;

  init_wire_ ();
  /* The tag of a mutated input is nearly always invalid.  */
  if (rgy_wire_decode (wire_, input, message_) == RGY_OK)
    check_ranges_ (message_, input);
  tagged = fuzz_build_datagram (input);
  /* The copy has exactly the datagram's length, because an array may have
     spare bytes that hide a read past the end.  */
  datagram = (struct rgy_bytes){ .data = g_memdup2 (tagged->data, tagged->len),
                                 .len = tagged->len };
  g_byte_array_unref (tagged);
  if (rgy_wire_decode (wire_, datagram, message_) == RGY_OK)
    {
      check_ranges_ (message_, datagram);
      check_reencoding_ ();
    }
  g_free ((void *)datagram.data);
}
