#include "private/blackboard_private.h"

static void
group_free_ (gpointer data)
{
  struct rgy_group *group = data;

  g_ptr_array_unref (group->agents);
  g_free (group);
}

struct rgy_blackboard *
rgy_blackboard_new (struct rgy_counters *counters)
{
  struct rgy_blackboard *bb = g_new0 (struct rgy_blackboard, 1);

  bb->replica = rgy_replica_new ();
  bb->contracts = rgy_contract_set_new ();
  bb->domains = rgy_domain_set_new ();
  bb->agents
      = g_hash_table_new_full (rgy_name_ghash, rgy_name_gequal, NULL, g_free);
  bb->balancers
      = g_hash_table_new_full (rgy_name_ghash, rgy_name_gequal, NULL, g_free);
  bb->groups = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                      group_free_);
  bb->counters = counters;
  return bb;
}

void
rgy_blackboard_delete (struct rgy_blackboard *bb)
{
  if (bb == NULL)
    return;
  g_hash_table_unref (bb->groups);
  g_hash_table_unref (bb->agents);
  g_hash_table_unref (bb->balancers);
  rgy_domain_set_delete (bb->domains);
  rgy_contract_set_delete (bb->contracts);
  rgy_replica_delete (bb->replica);
  g_free (bb);
}

const struct rgy_agent_record *
rgy_blackboard_get_agent (const struct rgy_blackboard *bb,
                          const struct rgy_name *id)
{
  return g_hash_table_lookup (bb->agents, id);
}

const struct rgy_balancer_record *
rgy_blackboard_get_balancer (const struct rgy_blackboard *bb,
                             const struct rgy_name *id)
{
  return g_hash_table_lookup (bb->balancers, id);
}

bool
rgy_blackboard_agent_is_live (const struct rgy_blackboard *bb,
                              const struct rgy_agent_record *record)
{
  return (record->state == RGY_MEMBER_READY
          || record->state == RGY_MEMBER_DRAINING)
         && !rgy_domain_set_is_out (bb->domains, &record->domain);
}

bool
rgy_blackboard_agent_is_eligible (const struct rgy_blackboard *bb,
                                  const struct rgy_agent_record *record)
{
  return record->state == RGY_MEMBER_READY
         && rgy_blackboard_agent_is_live (bb, record);
}

bool
rgy_blackboard_balancer_is_usable (const struct rgy_blackboard *bb,
                                   const struct rgy_balancer_record *record)
{
  return (record->state == RGY_MEMBER_READY
          || record->state == RGY_MEMBER_DRAINING)
         && !rgy_domain_set_is_out (bb->domains, &record->domain);
}

uint64_t
rgy_blackboard_get_config_digest (const struct rgy_blackboard *bb)
{
  uint64_t both[2]
      = { rgy_replica_get_digest (bb->replica, RGY_ENTRY_CONTRACT),
          rgy_replica_get_digest (bb->replica, RGY_ENTRY_DOMAIN) };

  return rgy_hash_bytes (
      (struct rgy_bytes){ .data = (const uint8_t *)both, .len = sizeof both },
      0);
}

struct rgy_group *
rgy_blackboard_ensure_group (struct rgy_blackboard *bb,
                             struct rgy_endpoint service)
{
  uint64_t packed = rgy_endpoint_pack (service);
  struct rgy_group *group = g_hash_table_lookup (bb->groups, &packed);

  if (group == NULL)
    {
      group = g_new0 (struct rgy_group, 1);
      group->service = service;
      group->agents = g_ptr_array_new ();
      g_hash_table_insert (bb->groups, g_memdup2 (&packed, sizeof packed),
                           group);
    }
  return group;
}

const struct rgy_group *
rgy_blackboard_get_group (const struct rgy_blackboard *bb,
                          struct rgy_endpoint service)
{
  /* The cast is safe: an empty group does not change the state that callers
     can observe.  */
  return rgy_blackboard_ensure_group ((struct rgy_blackboard *)bb, service);
}

uint64_t
rgy_blackboard_get_group_digest (const struct rgy_blackboard *bb,
                                 struct rgy_endpoint service)
{
  const struct rgy_group *group = rgy_blackboard_get_group (bb, service);
  uint64_t digest = 0;
  guint i;

  for (i = 0; i < group->agents->len; i++)
    {
      const struct rgy_agent_record *r = g_ptr_array_index (group->agents, i);
      uint64_t version[2] = { r->epoch, r->sequence };

      digest ^= rgy_hash_bytes (
          (struct rgy_bytes){ .data = (const uint8_t *)version,
                              .len = sizeof version },
          rgy_name_hash (&r->id, 0));
    }
  return digest;
}

uint64_t
rgy_service_seed (struct rgy_endpoint service)
{
  uint64_t packed = rgy_endpoint_pack (service);

  return rgy_hash_bytes ((struct rgy_bytes){ .data = (const uint8_t *)&packed,
                                             .len = sizeof packed },
                         0);
}

bool
rgy_service_allows_domain (const struct rgy_contract_service *service,
                           const struct rgy_name *domain)
{
  size_t i;

  if (service->domain_count == 0)
    return true;
  for (i = 0; i < service->domain_count; i++)
    if (rgy_name_equal (&service->domains[i], domain))
      return true;
  return false;
}
