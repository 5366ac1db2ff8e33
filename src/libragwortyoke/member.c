#include "ragwortyoke/member.h"

#include "private/msgpack_io.h"

const char *const rgy_member_state_string[] = {
  [RGY_MEMBER_STARTING] = "starting", [RGY_MEMBER_READY] = "ready",
  [RGY_MEMBER_DRAINING] = "draining", [RGY_MEMBER_LEFT] = "left",
  [RGY_MEMBER_DEAD] = "dead",
};

/* Encoding of records.  */

/* Number of elements of a record.  New elements are added at the end, where
   older processes ignore them.  */
#define AGENT_FIELD_COUNT 7
#define BALANCER_FIELD_COUNT 12

GByteArray *
rgy_agent_record_encode (const struct rgy_agent_record *record)
{
  GByteArray *bytes = g_byte_array_new ();
  msgpack_packer pk;

  msgpack_packer_init (&pk, bytes, rgy_pack_append);
  msgpack_pack_array (&pk, AGENT_FIELD_COUNT);
  rgy_pack_name (&pk, &record->id);
  msgpack_pack_uint64 (&pk, record->epoch);
  msgpack_pack_uint64 (&pk, record->sequence);
  msgpack_pack_uint32 (&pk, (uint32_t)record->state);
  rgy_pack_name (&pk, &record->domain);
  rgy_pack_endpoint (&pk, record->endpoint);
  rgy_pack_endpoint (&pk, record->service);
  return bytes;
}

GByteArray *
rgy_balancer_record_encode (const struct rgy_balancer_record *record)
{
  GByteArray *bytes = g_byte_array_new ();
  size_t name_count = 0;
  msgpack_packer pk;
  size_t i;

  g_assert (record->demand_count <= RGY_DEMAND_MAX);
  while (name_count < RGY_LAGGING_NAMES_MAX
         && name_count < record->lagging_count
         && record->lagging[name_count].len > 0)
    name_count++;
  msgpack_packer_init (&pk, bytes, rgy_pack_append);
  msgpack_pack_array (&pk, BALANCER_FIELD_COUNT);
  rgy_pack_name (&pk, &record->id);
  msgpack_pack_uint64 (&pk, record->epoch);
  msgpack_pack_uint64 (&pk, record->sequence);
  msgpack_pack_uint32 (&pk, (uint32_t)record->state);
  rgy_pack_name (&pk, &record->domain);
  rgy_pack_endpoint (&pk, record->endpoint);
  rgy_pack_endpoint (&pk, record->sync);
  rgy_pack_endpoint (&pk, record->http);
  msgpack_pack_uint64 (&pk, record->config_digest);
  msgpack_pack_uint32 (&pk, record->lagging_count);
  msgpack_pack_array (&pk, name_count);
  for (i = 0; i < name_count; i++)
    rgy_pack_name (&pk, &record->lagging[i]);
  msgpack_pack_array (&pk, record->demand_count);
  for (i = 0; i < record->demand_count; i++)
    {
      msgpack_pack_array (&pk, 2);
      rgy_pack_name (&pk, &record->demand[i].customer);
      msgpack_pack_uint64 (&pk, record->demand[i].bytes_per_s);
    }
  return bytes;
}

/* Decoding of records.  */

/* Reads an endpoint that the record must have: a record without
   it is rejected.  */
static struct rgy_endpoint
read_required_endpoint_ (struct rgy_reader *r)
{
  struct rgy_endpoint endpoint = rgy_read_endpoint (r);

  if (rgy_reader_is_ok (r) && (endpoint.ip == 0 || endpoint.port == 0))
    rgy_reader_fail (r, RGY_ERR_INVALID);
  return endpoint;
}

static enum rgy_member_state
read_state_ (struct rgy_reader *r, uint64_t sequence)
{
  uint64_t state = rgy_read_u64_max (r, UINT32_MAX);

  if (!rgy_reader_is_ok (r))
    return RGY_MEMBER_STARTING;
  if (state >= RGY_MEMBER_STATE_COUNT)
    {
      rgy_reader_fail (r, RGY_ERR_UNSUPPORTED);
      return RGY_MEMBER_STARTING;
    }
  /* A member writes even sequence numbers, and members that declare it dead
     write odd ones, so that one version never has two values.  */
  if ((state == RGY_MEMBER_DEAD) != (sequence % 2 == 1))
    rgy_reader_fail (r, RGY_ERR_INVALID);
  return (enum rgy_member_state)state;
}

static void
read_agent_ (struct rgy_reader *r, struct rgy_agent_record *record)
{
  rgy_read_name (r, &record->id);
  record->epoch = rgy_read_u64 (r);
  record->sequence = rgy_read_u64 (r);
  record->state = read_state_ (r, record->sequence);
  rgy_read_name (r, &record->domain);
  record->endpoint = read_required_endpoint_ (r);
  record->service = read_required_endpoint_ (r);
}

static void
read_balancer_ (struct rgy_reader *r, struct rgy_balancer_record *record)
{
  struct rgy_reader list;
  struct rgy_reader pair;
  size_t i;

  rgy_read_name (r, &record->id);
  record->epoch = rgy_read_u64 (r);
  record->sequence = rgy_read_u64 (r);
  record->state = read_state_ (r, record->sequence);
  rgy_read_name (r, &record->domain);
  record->endpoint = read_required_endpoint_ (r);
  record->sync = rgy_read_endpoint (r);
  record->http = rgy_read_endpoint (r);
  record->config_digest = rgy_read_u64 (r);
  record->lagging_count = (uint32_t)rgy_read_u64_max (r, UINT32_MAX);
  list = rgy_read_array (r);
  if (rgy_reader_is_ok (r) && list.count > record->lagging_count)
    rgy_reader_fail (r, RGY_ERR_INVALID);
  /* A later version may list more names or customers; only the first
     ones are kept.  */
  for (i = 0;
       i < MIN (list.count, RGY_LAGGING_NAMES_MAX) && rgy_reader_is_ok (&list);
       i++)
    rgy_read_name (&list, &record->lagging[i]);
  rgy_reader_fail (r, list.outcome);
  list = rgy_read_array (r);
  for (i = 0; i < MIN (list.count, RGY_DEMAND_MAX) && rgy_reader_is_ok (&list);
       i++)
    {
      pair = rgy_read_array (&list);
      rgy_read_name (&pair, &record->demand[i].customer);
      record->demand[i].bytes_per_s = rgy_read_u64 (&pair);
      rgy_reader_fail (&list, pair.outcome);
      record->demand_count = i + 1;
    }
  rgy_reader_fail (r, list.outcome);
}

/* Unpacks BYTES.  The caller destroys the zone also after a failure.  */
static struct rgy_reader
unpack_record_ (struct rgy_bytes bytes, msgpack_zone *zone)
{
  msgpack_object object;

  msgpack_zone_init (zone, MSGPACK_ZONE_CHUNK_SIZE);
  if (!rgy_msgpack_unpack (bytes, zone, &object))
    return (struct rgy_reader){ .outcome = RGY_ERR_INVALID };
  return rgy_reader_init (&object);
}

enum rgy_outcome
rgy_agent_record_decode (struct rgy_bytes bytes,
                         struct rgy_agent_record *record)
{
  struct rgy_agent_record decoded = { 0 };
  msgpack_zone zone;
  struct rgy_reader r = unpack_record_ (bytes, &zone);

  read_agent_ (&r, &decoded);
  if (rgy_reader_is_ok (&r))
    *record = decoded;
  msgpack_zone_destroy (&zone);
  return r.outcome;
}

enum rgy_outcome
rgy_balancer_record_decode (struct rgy_bytes bytes,
                            struct rgy_balancer_record *record)
{
  struct rgy_balancer_record decoded = { 0 };
  msgpack_zone zone;
  struct rgy_reader r = unpack_record_ (bytes, &zone);

  read_balancer_ (&r, &decoded);
  if (rgy_reader_is_ok (&r))
    *record = decoded;
  msgpack_zone_destroy (&zone);
  return r.outcome;
}

/* Rendezvous hashing.  */

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
      /* The spare element at the end receives the candidate that drops out of
         the best WANTED ones.  */
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
