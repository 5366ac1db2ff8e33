#include "message_samples.h"

#include <glib.h>
#include <string.h>

static const uint8_t payload_[] = { 0x52, 0x01, 0x00, 0x07, 0xaa, 0xbb };
static const uint8_t state_[] = { 0x97, 0x00, 0xff };

#define BYTES(array)                                                          \
  ((struct rgy_bytes){ .data = (array), .len = sizeof (array) })

static struct rgy_endpoint
make_endpoint_ (uint16_t port)
{
  return (struct rgy_endpoint){ .ip = 0xffffff00 + port, .port = port };
}

static struct rgy_name
make_name_ (const char *prefix, size_t number)
{
  char text[RGY_NAME_MAX_BYTES + 1];

  g_snprintf (text, sizeof text, "%s-%zu", prefix, number);
  return rgy_name_from_c (text);
}

static void
fill_digests_ (struct rgy_digests *digests, uint64_t first)
{
  size_t i;

  for (i = 0; i < RGY_ENTRY_CLASS_COUNT; i++)
    digests->of[i] = first - i;
}

static void
fill_data_ (struct rgy_data_message *m)
{
  size_t i;

  m->caller = make_endpoint_ (1);
  m->service = make_endpoint_ (2);
  m->customer = rgy_name_from_c ("rodaforte");
  m->contract_revision = UINT64_MAX;
  m->view = UINT64_MAX - 1;
  m->balancer = make_endpoint_ (3);
  m->trail.overflow = true;
  m->trail.visit_all = true;
  m->trail.restarted = true;
  m->trail.origin = RGY_MAX_HOPS;
  m->trail.origin_sequence = 77;
  m->trail.count = RGY_MAX_HOPS;
  for (i = 0; i < RGY_MAX_HOPS; i++)
    m->trail.visited[i] = make_name_ ("agent", i);
  m->payload = BYTES (payload_);
}

static void
fill_heartbeat_ (struct rgy_heartbeat_message *m)
{
  size_t i;

  for (i = 0; i < RGY_REFUSAL_REASON_COUNT; i++)
    m->refused[i] = 900 + i;
  m->record = (struct rgy_agent_record){ .id = rgy_name_from_c ("agent-1"),
                                         .epoch = 5,
                                         .sequence = 8,
                                         .state = RGY_MEMBER_DRAINING,
                                         .domain = rgy_name_from_c ("poa-a"),
                                         .endpoint = make_endpoint_ (4),
                                         .service = make_endpoint_ (5) };
  fill_digests_ (&m->digests, UINT64_MAX);
  m->flows = UINT32_MAX;
  m->running = 3;
  m->limit = 4;
}

static void
fill_heartbeat_ack_ (struct rgy_heartbeat_ack_message *m)
{
  struct rgy_balancer_record *record;
  size_t i;
  size_t j;

  m->balancer = rgy_name_from_c ("balancer-1");
  m->sync = make_endpoint_ (6);
  fill_digests_ (&m->digests, 100);
  m->agent_epoch = 6;
  m->agent_sequence = 9;
  m->sample_count = RGY_WIRE_MAX_SAMPLE;
  for (i = 0; i < m->sample_count; i++)
    {
      record = &m->sample[i];
      record->id = make_name_ ("balancer", i);
      record->epoch = 10 + i;
      record->sequence = 20 + 2 * i;
      record->state = RGY_MEMBER_READY;
      record->domain = make_name_ ("domain", i);
      record->endpoint = make_endpoint_ ((uint16_t)(30 + i));
      record->sync = make_endpoint_ ((uint16_t)(40 + i));
      record->http = make_endpoint_ ((uint16_t)(50 + i));
      record->config_digest = UINT64_MAX - i;
      record->lagging_count = RGY_LAGGING_NAMES_MAX + 1;
      for (j = 0; j < RGY_LAGGING_NAMES_MAX; j++)
        record->lagging[j] = make_name_ ("lagging", j);
      record->demand_count = RGY_DEMAND_MAX;
      for (j = 0; j < RGY_DEMAND_MAX; j++)
        record->demand[j]
            = (struct rgy_demand){ .customer = make_name_ ("customer", j),
                                   .bytes_per_s = 1000 - j };
    }
}

static void
fill_entries_ (struct rgy_entries_message *m)
{
  size_t i;

  m->from = rgy_name_from_c ("balancer-2");
  m->count = RGY_WIRE_MAX_ENTRIES;
  for (i = 0; i < m->count; i++)
    {
      m->decoded[i] = (struct rgy_entry){
        .class = (enum rgy_entry_class) (i % RGY_ENTRY_CLASS_COUNT),
        .key = make_name_ ("key", i),
        .version = { .major = UINT64_MAX - i, .minor = i },
        .deleted = i % 2 == 1,
        .value = i % 2 == 1 ? (struct rgy_bytes){ 0 } : BYTES (payload_)
      };
      m->entries[i] = &m->decoded[i];
    }
}

static void
fill_peer_state_ (struct rgy_peer_state_message *m)
{
  size_t i;

  m->from = rgy_name_from_c ("agent-2");
  m->epoch = 11;
  m->sequence = 12;
  for (i = 0; i < RGY_BUCKET_WORDS; i++)
    m->may_hold.words[i] = UINT64_C (0x8000000000000001) + (i << 8);
  m->can_accept = true;
  m->flows = 2000;
  m->usage_count = RGY_WIRE_MAX_USAGE;
  for (i = 0; i < m->usage_count; i++)
    m->usage[i] = (struct rgy_usage){ .customer = make_name_ ("customer", i),
                                      .open_flows = 100 + i,
                                      .new_flows_per_s = 200 + i,
                                      .requests = 300 + i };
}

static void
fill_sync_request_ (struct rgy_sync_request_message *m)
{
  size_t c;
  size_t i;

  m->from = rgy_name_from_c ("agent-3");
  m->classes = UINT32_MAX;
  m->service = make_endpoint_ (7);
  for (c = 0; c < RGY_ENTRY_CLASS_COUNT; c++)
    for (i = 0; i < RGY_SUBDIGEST_COUNT; i++)
      m->subdigests[c][i] = UINT64_MAX - (c << 8) - i;
}

void
message_sample_fill (enum rgy_message_kind kind, struct rgy_message *m)
{
  memset (m, 0, sizeof *m);
  m->kind = kind;
  switch (kind)
    {
    case RGY_MSG_DATA:
      fill_data_ (&m->u.data);
      break;
    case RGY_MSG_ANSWER:
      m->u.answer = (struct rgy_answer_message){ .caller = make_endpoint_ (8),
                                                 .service = make_endpoint_ (9),
                                                 .payload = BYTES (payload_) };
      break;
    case RGY_MSG_HEARTBEAT:
      fill_heartbeat_ (&m->u.heartbeat);
      break;
    case RGY_MSG_HEARTBEAT_ACK:
      fill_heartbeat_ack_ (&m->u.heartbeat_ack);
      break;
    case RGY_MSG_ENTRIES:
    case RGY_MSG_SYNC_REPLY:
      fill_entries_ (&m->u.entries);
      break;
    case RGY_MSG_GOSSIP:
    case RGY_MSG_GOSSIP_ACK:
      m->u.gossip.from = rgy_name_from_c ("balancer-3");
      m->u.gossip.sync = make_endpoint_ (10);
      fill_digests_ (&m->u.gossip.digests, 200);
      fill_entries_ (&m->u.gossip.entries);
      break;
    case RGY_MSG_PEER_STATE:
      fill_peer_state_ (&m->u.peer_state);
      break;
    case RGY_MSG_PEER_STATE_ACK:
      m->u.peer_state_ack
          = (struct rgy_peer_state_ack_message){ .from
                                                 = rgy_name_from_c ("agent-4"),
                                                 .epoch = 13,
                                                 .sequence = 14,
                                                 .own_sequence = 15 };
      break;
    case RGY_MSG_HANDOVER:
      m->u.handover
          = (struct rgy_handover_message){ .from = rgy_name_from_c ("agent-5"),
                                           .transfer_id = 16,
                                           .state = BYTES (state_) };
      break;
    case RGY_MSG_HANDOVER_ACK:
      m->u.handover_ack
          = (struct rgy_handover_ack_message){ .from
                                               = rgy_name_from_c ("agent-6"),
                                               .transfer_id = 17,
                                               .accepted = true };
      break;
    case RGY_MSG_PROBE:
    case RGY_MSG_PROBE_ACK:
      m->u.probe
          = (struct rgy_probe_message){ .from = rgy_name_from_c ("balancer-4"),
                                        .nonce = 18,
                                        .subject
                                        = rgy_name_from_c ("agent-7") };
      break;
    case RGY_MSG_SYNC_REQUEST:
      fill_sync_request_ (&m->u.sync_request);
      break;
    case RGY_MSG_KIND_COUNT:
      g_assert_not_reached ();
    }
}
