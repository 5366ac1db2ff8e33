#include "private/blackboard_private.h"

/* A change is applied in three steps.  Its value is decoded first, so
   that a malformed entry changes nothing; the entry is merged into the
   replica, which rejects an entry that is not newer; the state derived
   from it is replaced.  */

struct change_
{
  struct rgy_contract *contract;
  struct rgy_domain_order order;
  struct rgy_agent_record agent;
  struct rgy_balancer_record balancer;
};

static enum rgy_outcome
read_contract_ (const struct rgy_entry *entry, struct change_ *change)
{
  struct rgy_check_error error;

  if (entry->deleted)
    return RGY_OK;
  change->contract = rgy_contract_parse (
      (struct rgy_str){ .data = (const char *)entry->value.data,
                        .len = entry->value.len },
      &error);
  if (change->contract == NULL)
    return RGY_ERR_INVALID;
  if (!rgy_name_equal (&change->contract->customer, &entry->key))
    {
      rgy_contract_delete (change->contract);
      change->contract = NULL;
      return RGY_ERR_INVALID;
    }
  change->contract->revision = entry->version.major;
  return RGY_OK;
}

static enum rgy_outcome
read_domain_ (const struct rgy_entry *entry, struct change_ *change)
{
  struct rgy_check_error error;
  enum rgy_outcome rc;

  if (entry->deleted)
    return RGY_ERR_INVALID;
  rc = rgy_domain_order_parse (
      (struct rgy_str){ .data = (const char *)entry->value.data,
                        .len = entry->value.len },
      &change->order, &error);
  if (rc != RGY_OK)
    return rc;
  /* The replica compares entry versions, the set of orders compares numbers
     and IDs.  Both must agree on which order is newer.  */
  return rgy_name_equal (&change->order.domain, &entry->key)
                 && change->order.number == entry->version.major
                 && change->order.id == entry->version.minor
             ? RGY_OK
             : RGY_ERR_INVALID;
}

static enum rgy_outcome
read_agent_ (const struct rgy_entry *entry, struct change_ *change)
{
  enum rgy_outcome rc;

  if (entry->deleted)
    return RGY_ERR_INVALID;
  rc = rgy_agent_record_decode (entry->value, &change->agent);
  if (rc != RGY_OK)
    return rc;
  return rgy_name_equal (&change->agent.id, &entry->key)
                 && change->agent.epoch == entry->version.major
                 && change->agent.sequence == entry->version.minor
             ? RGY_OK
             : RGY_ERR_INVALID;
}

static enum rgy_outcome
read_balancer_ (const struct rgy_entry *entry, struct change_ *change)
{
  enum rgy_outcome rc;

  if (entry->deleted)
    return RGY_ERR_INVALID;
  rc = rgy_balancer_record_decode (entry->value, &change->balancer);
  if (rc != RGY_OK)
    return rc;
  return rgy_name_equal (&change->balancer.id, &entry->key)
                 && change->balancer.epoch == entry->version.major
                 && change->balancer.sequence == entry->version.minor
             ? RGY_OK
             : RGY_ERR_INVALID;
}

static enum rgy_outcome
read_change_ (const struct rgy_entry *entry, struct change_ *change)
{
  switch (entry->class)
    {
    case RGY_ENTRY_CONTRACT:
      return read_contract_ (entry, change);
    case RGY_ENTRY_DOMAIN:
      return read_domain_ (entry, change);
    case RGY_ENTRY_AGENT:
      return read_agent_ (entry, change);
    case RGY_ENTRY_BALANCER:
      return read_balancer_ (entry, change);
    case RGY_ENTRY_CLASS_COUNT:
      break;
    }
  return RGY_ERR_INVALID;
}

static void
remove_from_group_ (struct rgy_blackboard *bb, struct rgy_agent_record *record)
{
  struct rgy_group *group = rgy_blackboard_ensure_group (bb, record->service);

  g_ptr_array_remove_fast (group->agents, record);
  group->changes++;
}

static void
put_agent_ (struct rgy_blackboard *bb, const struct rgy_agent_record *record)
{
  struct rgy_agent_record *copy = g_memdup2 (record, sizeof *record);
  struct rgy_agent_record *old = g_hash_table_lookup (bb->agents, &record->id);
  struct rgy_group *group;

  if (old != NULL)
    remove_from_group_ (bb, old);
  g_hash_table_replace (bb->agents, &copy->id, copy);
  group = rgy_blackboard_ensure_group (bb, copy->service);
  g_ptr_array_add (group->agents, copy);
  group->changes++;
}

static void
put_balancer_ (struct rgy_blackboard *bb,
               const struct rgy_balancer_record *record)
{
  struct rgy_balancer_record *copy = g_memdup2 (record, sizeof *record);

  g_hash_table_replace (bb->balancers, &copy->id, copy);
}

static void
activate_change_ (struct rgy_blackboard *bb, const struct rgy_entry *entry,
                  struct change_ *change)
{
  switch (entry->class)
    {
    case RGY_ENTRY_CONTRACT:
      if (entry->deleted)
        rgy_contract_set_remove (bb->contracts, &entry->key,
                                 entry->version.major);
      else
        rgy_contract_set_put (bb->contracts, change->contract);
      break;
    case RGY_ENTRY_DOMAIN:
      if (!bb->without_domain_orders)
        rgy_domain_set_apply (bb->domains, &change->order);
      break;
    case RGY_ENTRY_AGENT:
      put_agent_ (bb, &change->agent);
      break;
    case RGY_ENTRY_BALANCER:
      put_balancer_ (bb, &change->balancer);
      break;
    case RGY_ENTRY_CLASS_COUNT:
      break;
    }
}

/* A value is decoded only when its version is newer, because most entries that
   arrive by gossip are already known.  At equal versions a tombstone is newer
   than a live entry, as in rgy_replica_merge().  */
static bool
is_known_version_ (const struct rgy_blackboard *bb,
                   const struct rgy_entry *entry)
{
  const struct rgy_entry *known
      = rgy_replica_get (bb->replica, entry->class, &entry->key);
  int order;

  if (known == NULL)
    return false;
  order = rgy_version_compare (entry->version, known->version);
  return order < 0 || (order == 0 && (known->deleted || !entry->deleted));
}

/* Baseline without version checks: the contract that arrived last becomes the
   active one.  */
static enum rgy_outcome
activate_any_version_ (struct rgy_blackboard *bb,
                       const struct rgy_entry *entry)
{
  struct change_ change = { 0 };
  enum rgy_outcome rc = read_contract_ (entry, &change);

  if (rc != RGY_OK || change.contract == NULL)
    return rc;
  change.contract->revision
      = rgy_replica_get (bb->replica, entry->class, &entry->key)
            ->version.major;
  rgy_contract_set_put (bb->contracts, change.contract);
  bb->changes[entry->class]++;
  return RGY_OK;
}

static enum rgy_outcome
apply_entry_ (struct rgy_blackboard *bb, const struct rgy_entry *entry,
              enum rgy_outcome (*merge) (struct rgy_replica *replica,
                                         const struct rgy_entry *entry))
{
  struct change_ change = { 0 };
  enum rgy_outcome rc;

  if ((unsigned)entry->class < RGY_ENTRY_CLASS_COUNT
      && is_known_version_ (bb, entry))
    return bb->without_version_check && entry->class == RGY_ENTRY_CONTRACT
               ? activate_any_version_ (bb, entry)
               : RGY_ERR_STALE;
  rc = read_change_ (entry, &change);
  if (rc != RGY_OK)
    {
      ++*rgy_counters_add (
          bb->counters, "entries_invalid_total", NULL,
          "Entries rejected because their value is malformed.");
      return rc;
    }
  rc = merge (bb->replica, entry);
  if (rc != RGY_OK)
    {
      rgy_contract_delete (change.contract);
      return rc;
    }
  activate_change_ (bb, entry, &change);
  bb->changes[entry->class]++;
  return RGY_OK;
}

enum rgy_outcome
rgy_blackboard_apply (struct rgy_blackboard *bb, const struct rgy_entry *entry)
{
  return apply_entry_ (bb, entry, rgy_replica_merge);
}

enum rgy_outcome
rgy_blackboard_apply_unqueued (struct rgy_blackboard *bb,
                               const struct rgy_entry *entry)
{
  return apply_entry_ (bb, entry, rgy_replica_merge_unqueued);
}

void
rgy_blackboard_apply_agent (struct rgy_blackboard *bb,
                            const struct rgy_agent_record *record)
{
  GByteArray *bytes = rgy_agent_record_encode (record);
  struct rgy_entry entry
      = { .class = RGY_ENTRY_AGENT,
          .key = record->id,
          .version = { .major = record->epoch, .minor = record->sequence },
          .value = { .data = bytes->data, .len = bytes->len } };

  rgy_blackboard_apply (bb, &entry);
  g_byte_array_unref (bytes);
}

void
rgy_blackboard_apply_balancer (struct rgy_blackboard *bb,
                               const struct rgy_balancer_record *record)
{
  GByteArray *bytes = rgy_balancer_record_encode (record);
  struct rgy_entry entry
      = { .class = RGY_ENTRY_BALANCER,
          .key = record->id,
          .version = { .major = record->epoch, .minor = record->sequence },
          .value = { .data = bytes->data, .len = bytes->len } };

  rgy_blackboard_apply (bb, &entry);
  g_byte_array_unref (bytes);
}
