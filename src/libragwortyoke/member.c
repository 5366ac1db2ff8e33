#include "ragwortyoke/member.h"

#include <msgpack.h>
#include <string.h>

#include "private/msgpack_check.h"

/* 32-bit address and 16-bit port.  */
#define ENDPOINT_MAX ((UINT64_C (1) << 48) - 1)

const char *const rgy_member_state_string[] = {
  [RGY_MEMBER_STARTING] = "starting", [RGY_MEMBER_READY] = "ready",
  [RGY_MEMBER_DRAINING] = "draining", [RGY_MEMBER_LEFT] = "left",
  [RGY_MEMBER_DEAD] = "dead",
};

/* Encoding.  */

/* Elements of a record, in this order.  New ones are added at the end, where
   older processes ignore them.  */
#define AGENT_FIELD_COUNT 7
#define BALANCER_FIELD_COUNT 12

static int
append_ (void *data, const char *bytes, size_t len)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)len);
  return 0;
}

static void
pack_name_ (msgpack_packer *pk, const struct rgy_name *name)
{
  msgpack_pack_str (pk, name->len);
  msgpack_pack_str_body (pk, name->data, name->len);
}

static void
pack_endpoint_ (msgpack_packer *pk, struct rgy_endpoint endpoint)
{
  msgpack_pack_uint64 (pk, rgy_endpoint_pack (endpoint));
}

GByteArray *
rgy_agent_record_encode (const struct rgy_agent_record *record)
{
  GByteArray *bytes = g_byte_array_new ();
  msgpack_packer pk;

  msgpack_packer_init (&pk, bytes, append_);
  msgpack_pack_array (&pk, AGENT_FIELD_COUNT);
  pack_name_ (&pk, &record->id);
  msgpack_pack_uint64 (&pk, record->epoch);
  msgpack_pack_uint64 (&pk, record->sequence);
  msgpack_pack_uint32 (&pk, (uint32_t)record->state);
  pack_name_ (&pk, &record->domain);
  pack_endpoint_ (&pk, record->endpoint);
  pack_endpoint_ (&pk, record->service);
  return bytes;
}

GByteArray *
rgy_balancer_record_encode (const struct rgy_balancer_record *record)
{
  GByteArray *bytes = g_byte_array_new ();
  size_t names = 0;
  msgpack_packer pk;
  size_t i;

  g_assert (record->demand_count <= RGY_DEMAND_MAX);
  while (names < RGY_LAGGING_NAMES_MAX && names < record->lagging_count
         && record->lagging[names].len > 0)
    names++;
  msgpack_packer_init (&pk, bytes, append_);
  msgpack_pack_array (&pk, BALANCER_FIELD_COUNT);
  pack_name_ (&pk, &record->id);
  msgpack_pack_uint64 (&pk, record->epoch);
  msgpack_pack_uint64 (&pk, record->sequence);
  msgpack_pack_uint32 (&pk, (uint32_t)record->state);
  pack_name_ (&pk, &record->domain);
  pack_endpoint_ (&pk, record->endpoint);
  pack_endpoint_ (&pk, record->sync);
  pack_endpoint_ (&pk, record->http);
  msgpack_pack_uint64 (&pk, record->config_digest);
  msgpack_pack_uint32 (&pk, record->lagging_count);
  msgpack_pack_array (&pk, names);
  for (i = 0; i < names; i++)
    pack_name_ (&pk, &record->lagging[i]);
  msgpack_pack_array (&pk, record->demand_count);
  for (i = 0; i < record->demand_count; i++)
    {
      msgpack_pack_array (&pk, 2);
      pack_name_ (&pk, &record->demand[i].customer);
      msgpack_pack_uint64 (&pk, record->demand[i].bytes_per_s);
    }
  return bytes;
}

/* Decoding.  */

/* Cursor over the elements of an array; remembers the first failure.  */
struct cursor_
{
  const msgpack_object *items;
  size_t count;
  size_t next;
  enum rgy_outcome outcome;
};

static const msgpack_object *
next_ (struct cursor_ *c, msgpack_object_type type)
{
  const msgpack_object *o;

  if (c->outcome != RGY_OK)
    return NULL;
  o = c->next < c->count ? &c->items[c->next++] : NULL;
  if (o != NULL && o->type == type)
    return o;
  c->outcome = RGY_ERR_INVALID;
  return NULL;
}

static uint64_t
read_max_ (struct cursor_ *c, uint64_t max)
{
  const msgpack_object *o = next_ (c, MSGPACK_OBJECT_POSITIVE_INTEGER);

  if (o == NULL)
    return 0;
  if (o->via.u64 <= max)
    return o->via.u64;
  c->outcome = RGY_ERR_INVALID;
  return 0;
}

static void
read_name_ (struct cursor_ *c, struct rgy_name *name)
{
  const msgpack_object *o = next_ (c, MSGPACK_OBJECT_STR);

  if (o != NULL)
    c->outcome
        = rgy_name_set (name, (struct rgy_str){ .data = o->via.str.ptr,
                                                .len = o->via.str.size });
}

static struct rgy_endpoint
read_endpoint_ (struct cursor_ *c)
{
  return rgy_endpoint_unpack (read_max_ (c, ENDPOINT_MAX));
}

/* Endpoint that the record is of no use without.  */
static struct rgy_endpoint
read_required_endpoint_ (struct cursor_ *c)
{
  struct rgy_endpoint endpoint = read_endpoint_ (c);

  if (c->outcome == RGY_OK && (endpoint.ip == 0 || endpoint.port == 0))
    c->outcome = RGY_ERR_INVALID;
  return endpoint;
}

static enum rgy_member_state
read_state_ (struct cursor_ *c, uint64_t sequence)
{
  uint64_t state = read_max_ (c, UINT32_MAX);

  if (c->outcome != RGY_OK)
    return RGY_MEMBER_STARTING;
  if (state >= RGY_MEMBER_STATE_COUNT)
    {
      c->outcome = RGY_ERR_UNSUPPORTED;
      return RGY_MEMBER_STARTING;
    }
  /* A member and those that declare it dead never write the same version:
     one version would then have two values.  */
  if ((state == RGY_MEMBER_DEAD) != (sequence % 2 == 1))
    c->outcome = RGY_ERR_INVALID;
  return (enum rgy_member_state)state;
}

static struct cursor_
open_array_ (const msgpack_object *o)
{
  if (o == NULL || o->type != MSGPACK_OBJECT_ARRAY)
    return (struct cursor_){ .outcome = RGY_ERR_INVALID };
  return (struct cursor_){ .items = o->via.array.ptr,
                           .count = o->via.array.size };
}

static struct cursor_
read_array_ (struct cursor_ *c)
{
  return open_array_ (next_ (c, MSGPACK_OBJECT_ARRAY));
}

static void
read_agent_ (struct cursor_ *c, struct rgy_agent_record *record)
{
  read_name_ (c, &record->id);
  record->epoch = read_max_ (c, UINT64_MAX);
  record->sequence = read_max_ (c, UINT64_MAX);
  record->state = read_state_ (c, record->sequence);
  read_name_ (c, &record->domain);
  record->endpoint = read_required_endpoint_ (c);
  record->service = read_required_endpoint_ (c);
}

static void
read_balancer_ (struct cursor_ *c, struct rgy_balancer_record *record)
{
  struct cursor_ list;
  struct cursor_ pair;
  size_t i;

  read_name_ (c, &record->id);
  record->epoch = read_max_ (c, UINT64_MAX);
  record->sequence = read_max_ (c, UINT64_MAX);
  record->state = read_state_ (c, record->sequence);
  read_name_ (c, &record->domain);
  record->endpoint = read_required_endpoint_ (c);
  record->sync = read_endpoint_ (c);
  record->http = read_endpoint_ (c);
  record->config_digest = read_max_ (c, UINT64_MAX);
  record->lagging_count = (uint32_t)read_max_ (c, UINT32_MAX);
  list = read_array_ (c);
  if (c->outcome == RGY_OK && list.count > record->lagging_count)
    c->outcome = RGY_ERR_INVALID;
  /* A later version may list more names or customers; the first ones are
     kept.  */
  for (i = 0;
       i < MIN (list.count, RGY_LAGGING_NAMES_MAX) && list.outcome == RGY_OK;
       i++)
    read_name_ (&list, &record->lagging[i]);
  if (c->outcome == RGY_OK)
    c->outcome = list.outcome;
  list = read_array_ (c);
  for (i = 0; i < MIN (list.count, RGY_DEMAND_MAX) && list.outcome == RGY_OK;
       i++)
    {
      pair = read_array_ (&list);
      read_name_ (&pair, &record->demand[i].customer);
      record->demand[i].bytes_per_s = read_max_ (&pair, UINT64_MAX);
      list.outcome = pair.outcome;
      record->demand_count = i + 1;
    }
  if (c->outcome == RGY_OK)
    c->outcome = list.outcome;
}

/* Unpacks @p bytes into @p unpacked, which the caller destroys in every
   case.  */
static struct cursor_
open_record_ (struct rgy_bytes bytes, msgpack_unpacked *unpacked)
{
  size_t offset = 0;

  msgpack_unpacked_init (unpacked);
  if (!rgy_msgpack_is_complete (bytes)
      || msgpack_unpack_next (unpacked, (const char *)bytes.data, bytes.len,
                              &offset)
             != MSGPACK_UNPACK_SUCCESS)
    return (struct cursor_){ .outcome = RGY_ERR_INVALID };
  return open_array_ (&unpacked->data);
}

enum rgy_outcome
rgy_agent_record_decode (struct rgy_bytes bytes,
                         struct rgy_agent_record *record)
{
  struct rgy_agent_record decoded = { 0 };
  msgpack_unpacked unpacked;
  struct cursor_ c = open_record_ (bytes, &unpacked);

  read_agent_ (&c, &decoded);
  if (c.outcome == RGY_OK)
    *record = decoded;
  msgpack_unpacked_destroy (&unpacked);
  return c.outcome;
}

enum rgy_outcome
rgy_balancer_record_decode (struct rgy_bytes bytes,
                            struct rgy_balancer_record *record)
{
  struct rgy_balancer_record decoded = { 0 };
  msgpack_unpacked unpacked;
  struct cursor_ c = open_record_ (bytes, &unpacked);

  read_balancer_ (&c, &decoded);
  if (c.outcome == RGY_OK)
    *record = decoded;
  msgpack_unpacked_destroy (&unpacked);
  return c.outcome;
}

/* Rendezvous choice.  */

struct candidate_
{
  uint64_t weight;
  size_t index;
};

size_t
rgy_member_choose (const struct rgy_name *subject,
                   const struct rgy_name *members, size_t count, size_t wanted,
                   size_t *chosen)
{
  uint64_t seed = rgy_name_hash (subject, 0);
  struct candidate_ *best = g_new (struct candidate_, wanted + 1);
  struct candidate_ c;
  size_t filled = 0;
  size_t i;
  size_t at;

  for (i = 0; i < count; i++)
    {
      c = (struct candidate_){ .weight = rgy_name_hash (&members[i], seed),
                               .index = i };
      /* The spare element at the end takes the one that falls out.  */
      for (at = filled; at > 0; at--)
        {
          if (best[at - 1].weight > c.weight
              || (best[at - 1].weight == c.weight
                  && rgy_name_compare (&members[best[at - 1].index],
                                       &members[i])
                         < 0))
            break;
          best[at] = best[at - 1];
        }
      best[at] = c;
      if (filled < wanted)
        filled++;
    }
  for (i = 0; i < filled; i++)
    chosen[i] = best[i].index;
  g_free (best);
  return filled;
}
