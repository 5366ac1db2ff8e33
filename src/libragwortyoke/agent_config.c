#include "private/agent_private.h"

/* Configuration at an agent: entries from balancers, failure domain orders and
   contract changes.  */

const struct rgy_contract_service *
rgy_agent_get_service (const struct rgy_agent *a,
                       const struct rgy_contract **contract,
                       uint32_t caller_ip)
{
  const struct rgy_contract_service *service = NULL;

  if (rgy_contract_set_match (a->bb->contracts, caller_ip, a->settings.service,
                              contract, &service)
      != RGY_OK)
    return NULL;
  return service;
}

static bool
close_flow_of_domain_ (struct rgy_flow *flow, void *ctx)
{
  struct rgy_agent *a = ctx;

  ++*a->c.flows_given_up;
  rgy_agent_close_flow (a, flow);
  return true;
}

static bool
clear_last_balancer_ (struct rgy_flow *flow, void *ctx)
{
  (void)ctx;
  flow->last_balancer_us = 0;
  return true;
}

static void
apply_domain_order_ (struct rgy_agent *a)
{
  bool domain_out
      = rgy_domain_set_is_out (a->bb->domains, &a->settings.domain);

  /* The last balancer of a flow may be in the failure domain that was taken
     out of service.  */
  rgy_flow_table_foreach (a->flows, clear_last_balancer_, a);
  if (domain_out == a->domain_out)
    return;
  a->domain_out = domain_out;
  rgy_request_engine_set_domain_out (a->engine, domain_out);
  rgy_actions_log (a->actions, "failure domain %s: %s, %zu flows held",
                   a->settings.domain.data, domain_out ? "out" : "in",
                   rgy_flow_table_get_count (a->flows));
  if (domain_out)
    rgy_flow_table_foreach (a->flows, close_flow_of_domain_, a);
  else
    rgy_admission_set_cold (rgy_request_engine_get_admission (a->engine),
                            RGY_COLD_DOMAIN, a->now_us);
}

struct revocation_
{
  struct rgy_agent *a;
  const struct rgy_name *customer;
};

static bool
revoke_flow_ (struct rgy_flow *flow, void *ctx)
{
  struct revocation_ *r = ctx;
  struct rgy_agent *a = r->a;
  const struct rgy_contract *contract;

  if (!rgy_name_equal (&flow->customer, r->customer)
      || (rgy_agent_get_service (a, &contract, flow->key.u.udp.caller.ip)
              != NULL
          && rgy_name_equal (&contract->customer, &flow->customer)))
    return true;
  ++*a->c.flows_revoked;
  rgy_request_engine_end_observations (a->engine, flow, a->actions);
  rgy_agent_close_flow (a, flow);
  return true;
}

/* Closes the flows that the customer's contract no longer covers; a session
   would otherwise continue to notify a caller that may not reach the
   service.  */
static void
revoke_flows_ (struct rgy_agent *a, const struct rgy_name *customer)
{
  struct revocation_ r = { .a = a, .customer = customer };

  rgy_flow_table_foreach (a->flows, revoke_flow_, &r);
}

static bool
is_relevant_entry_ (const struct rgy_agent *a, const struct rgy_entry *entry)
{
  struct rgy_agent_record record;

  if (entry->class != RGY_ENTRY_AGENT)
    return true;
  return rgy_blackboard_get_agent (a->bb, &entry->key) != NULL
         || (rgy_agent_record_decode (entry->value, &record) == RGY_OK
             && rgy_endpoint_equal (record.service, a->settings.service));
}

static void
apply_entry_ (struct rgy_agent *a, const struct rgy_entry *entry)
{
  if (!is_relevant_entry_ (a, entry)
      || rgy_blackboard_apply (a->bb, entry) != RGY_OK)
    return;
  if (entry->class == RGY_ENTRY_CONTRACT || entry->class == RGY_ENTRY_DOMAIN)
    {
      ++*a->c.config_changes;
      /* The balancers wait for the new digest, which the heartbeat
         carries.  */
      a->next_heartbeat_us = 0;
    }
  if (entry->class == RGY_ENTRY_CONTRACT)
    {
      rgy_agent_prepare_usage (a);
      revoke_flows_ (a, &entry->key);
    }
  if (entry->class == RGY_ENTRY_DOMAIN)
    apply_domain_order_ (a);
  if (entry->class == RGY_ENTRY_AGENT
      && rgy_name_equal (&entry->key, &a->settings.id)
      && entry->version.major == a->self.epoch)
    {
      /* A balancer declared this agent dead; the next even sequence number
         refutes it.  */
      a->self.sequence = entry->version.minor;
      a->record_changed = true;
    }
}

void
rgy_agent_apply_entries (struct rgy_agent *a,
                         const struct rgy_entries_message *m)
{
  size_t i;

  for (i = 0; i < m->count; i++)
    apply_entry_ (a, m->entries[i]);
}

struct rgy_bytes
rgy_agent_build_sync_request (struct rgy_agent *a)
{
  static const enum rgy_entry_class classes[]
      = { RGY_ENTRY_CONTRACT, RGY_ENTRY_DOMAIN, RGY_ENTRY_AGENT };
  struct rgy_message *m = g_new0 (struct rgy_message, 1);
  struct rgy_bytes bytes;
  size_t i;

  m->kind = RGY_MSG_SYNC_REQUEST;
  m->u.sync_request.from = a->settings.id;
  m->u.sync_request.service = a->settings.service;
  for (i = 0; i < G_N_ELEMENTS (classes); i++)
    {
      m->u.sync_request.classes |= 1U << classes[i];
      rgy_replica_get_subdigests (a->bb->replica, classes[i],
                                  m->u.sync_request.subdigests[classes[i]]);
    }
  bytes = rgy_wire_encode (a->link.wire, m);
  g_free (m);
  return bytes;
}

enum rgy_outcome
rgy_agent_apply_sync (struct rgy_agent *a, struct rgy_bytes frame,
                      int64_t now_us, struct rgy_actions *actions)
{
  struct rgy_message *m = g_new0 (struct rgy_message, 1);
  enum rgy_outcome rc = rgy_wire_decode (a->link.wire, frame, m);

  a->now_us = now_us;
  a->actions = actions;
  if (rc == RGY_OK && m->kind != RGY_MSG_SYNC_REPLY)
    rc = RGY_ERR_INVALID;
  if (rc == RGY_OK)
    rgy_agent_apply_entries (a, &m->u.entries);
  g_free (m);
  return rc;
}
