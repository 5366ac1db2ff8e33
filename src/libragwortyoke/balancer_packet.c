#include "private/balancer_private.h"

#include "ragwortyoke/flow.h"
#include "ragwortyoke/proxy.h"
#include "ragwortyoke/request.h"

/* Data path of a balancer: packets from callers to agents, and responses back
   to callers.  */

static struct rgy_service_table *
get_table_ (struct rgy_balancer *b, struct rgy_endpoint service)
{
  uint64_t packed = rgy_endpoint_pack (service);
  struct rgy_service_table *t = g_hash_table_lookup (b->tables, &packed);

  if (t == NULL)
    {
      int64_t *key = g_memdup2 (&packed, sizeof packed);

      t = g_new0 (struct rgy_service_table, 1);
      t->service = service;
      t->table = rgy_bucket_table_new ();
      t->group_changes = UINT64_MAX;
      g_hash_table_insert (b->tables, key, t);
    }
  return t;
}

static void
rebuild_table_ (struct rgy_balancer *b, struct rgy_service_table *t,
                const struct rgy_group *group)
{
  struct rgy_name names[RGY_GROUP_MAX];
  size_t n = 0;
  guint i;

  for (i = 0; i < group->agents->len && n < RGY_GROUP_MAX; i++)
    {
      const struct rgy_agent_record *r = g_ptr_array_index (group->agents, i);

      if (rgy_blackboard_agent_is_eligible (b->bb, r))
        names[n++] = r->id;
    }
  rgy_name_sort (names, n);
  rgy_bucket_table_build (t->table, names, n, rgy_service_seed (t->service));
  t->group_changes = group->changes;
  t->domain_changes = b->bb->changes[RGY_ENTRY_DOMAIN];
}

static const struct rgy_bucket_table *
get_current_table_ (struct rgy_balancer *b, struct rgy_endpoint service)
{
  struct rgy_service_table *t = get_table_ (b, service);
  const struct rgy_group *group = rgy_blackboard_get_group (b->bb, service);

  if (t->group_changes != group->changes
      || t->domain_changes != b->bb->changes[RGY_ENTRY_DOMAIN])
    rebuild_table_ (b, t, group);
  return t->table;
}

/* Returns the highest-ranked agent in a failure domain that the contract
   allows, or NULL.  */
static const struct rgy_agent_record *
choose_agent_ (struct rgy_balancer *b, const struct rgy_bucket_table *table,
               const struct rgy_contract_service *service,
               const struct rgy_flow_key *key)
{
  unsigned bucket = rgy_flow_key_bucket (key);
  const struct rgy_name *name = rgy_bucket_table_get_owner (table, bucket);
  const struct rgy_agent_record *r;
  size_t rank;

  if (b->settings.steering == RGY_BALANCER_STEER_MODULO
      && rgy_bucket_table_get_count (table) > 0)
    name = rgy_bucket_table_get_ranked (
        table, 0,
        rgy_flow_key_hash (key) % rgy_bucket_table_get_count (table));
  for (rank = 0; name != NULL; rank++)
    {
      r = rgy_blackboard_get_agent (b->bb, name);
      if (r != NULL && rgy_service_allows_domain (service, &r->domain))
        return r;
      name = rgy_bucket_table_get_ranked (table, bucket, rank);
    }
  return NULL;
}

static bool
consume_rate_limit_ (struct rgy_balancer *b,
                     const struct rgy_contract *contract, size_t bytes,
                     int64_t now_us)
{
  struct rgy_rate_limit *limit;

  if (contract->bytes_per_second == 0)
    return true;
  limit = g_hash_table_lookup (b->limits, &contract->customer);
  if (limit == NULL)
    {
      limit = rgy_rate_limit_new (contract->bytes_per_second, RGY_BURST_MS);
      g_hash_table_insert (
          b->limits,
          g_memdup2 (&contract->customer, sizeof contract->customer), limit);
    }
  rgy_rate_limit_set_rate (limit, contract->bytes_per_second);
  return rgy_rate_limit_charge (limit, bytes, now_us);
}

static void
send_to_fabric_ (struct rgy_balancer *b, struct rgy_endpoint caller,
                 struct rgy_endpoint service, struct rgy_bytes payload,
                 struct rgy_actions *actions)
{
  uint8_t header[RGY_PROXY_HEADER_BYTES];

  rgy_proxy_write (header, service, caller);
  g_byte_array_set_size (b->packet, 0);
  g_byte_array_append (b->packet, header, sizeof header);
  g_byte_array_append (b->packet, payload.data, (guint)payload.len);
  rgy_actions_egress (actions, (struct rgy_bytes){ .data = b->packet->data,
                                                   .len = b->packet->len });
}

/* Refuses a request for which no agent is available.  Only a
   non-idempotent request without an Echo option is certain not to have run
   before: an agent that has since failed may have delivered an earlier
   copy of any other request.  */
static void
refuse_request_ (struct rgy_balancer *b, struct rgy_endpoint caller,
                 const struct rgy_contract_service *service,
                 struct rgy_bytes payload, enum rgy_refusal_reason reason,
                 struct rgy_actions *actions)
{
  struct rgy_coap_view view;
  GByteArray *answer;

  if (service->protocol != RGY_PROTOCOL_COAP
      || rgy_coap_parse (payload, &view) != RGY_OK)
    return;
  answer = rgy_coap_build_refusal (&view, reason, RGY_REFUSAL_MAX_AGE_S);
  if (answer == NULL)
    return;
  send_to_fabric_ (
      b, caller, service->address,
      (struct rgy_bytes){ .data = answer->data, .len = answer->len }, actions);
  g_byte_array_unref (answer);
}

static void
forward_to_agent_ (struct rgy_balancer *b,
                   const struct rgy_agent_record *agent,
                   const struct rgy_contract *contract,
                   struct rgy_endpoint caller, struct rgy_endpoint service,
                   uint64_t view, struct rgy_bytes payload,
                   struct rgy_actions *actions)
{
  struct rgy_message m = { .kind = RGY_MSG_DATA };

  m.u.data
      = (struct rgy_data_message){ .caller = caller,
                                   .service = service,
                                   .customer = contract->customer,
                                   .contract_revision = contract->revision,
                                   .view = view,
                                   .balancer = b->settings.endpoint,
                                   .payload = payload };
  rgy_actions_send (actions, agent->endpoint,
                    rgy_wire_encode (b->link.wire, &m));
  ++*b->c.forwarded;
}

/* The fabric stops sending packets to a balancer some time after the balancer
   reports that it is not ready.  Until then the balancer forwards them to the
   other failure domains.  */
static bool
is_withdrawn_ (struct rgy_balancer *b, int64_t now_us)
{
  if (!rgy_domain_set_is_out (b->bb->domains, &b->settings.domain))
    {
      b->out_since_us = 0;
      return false;
    }
  if (b->out_since_us == 0)
    b->out_since_us = now_us;
  return now_us - b->out_since_us >= RGY_WITHDRAW_DELAY_US;
}

void
rgy_balancer_from_fabric (struct rgy_balancer *b, struct rgy_bytes datagram,
                          int64_t now_us, struct rgy_actions *actions)
{
  const struct rgy_contract *contract;
  const struct rgy_contract_service *service;
  const struct rgy_agent_record *agent;
  const struct rgy_bucket_table *table;
  struct rgy_endpoint caller;
  struct rgy_endpoint address;
  struct rgy_bytes payload;
  struct rgy_flow_key key;

  ++*b->c.packets_in;
  *b->c.bytes_in += datagram.len;
  if (rgy_proxy_parse (datagram, &caller, &address, &payload) != RGY_OK)
    {
      ++*b->c.drop_malformed;
      return;
    }
  if (is_withdrawn_ (b, now_us))
    {
      ++*b->c.drop_out;
      return;
    }
  if (rgy_contract_set_match (b->bb->contracts, caller.ip, address, &contract,
                              &service)
      != RGY_OK)
    {
      ++*(service == NULL ? b->c.drop_unknown_service
                          : b->c.drop_unknown_caller);
      return;
    }
  if (!consume_rate_limit_ (b, contract, payload.len, now_us))
    {
      ++*b->c.drop_limit;
      return;
    }
  key = rgy_flow_key_udp (caller, address);
  table = get_current_table_ (b, address);
  agent = choose_agent_ (b, table, service, &key);
  if (agent == NULL)
    {
      ++*b->c.drop_no_backend;
      refuse_request_ (b, caller, service, payload,
                       RGY_REFUSAL_NO_BACKEND_SERVER, actions);
      return;
    }
  forward_to_agent_ (b, agent, contract, caller, address,
                     rgy_bucket_table_get_view (table), payload, actions);
}

void
rgy_balancer_handle_answer (struct rgy_balancer *b,
                            const struct rgy_answer_message *m,
                            struct rgy_actions *actions)
{
  ++*b->c.answers;
  send_to_fabric_ (b, m->caller, m->service, m->payload, actions);
}
