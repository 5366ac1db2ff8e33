#include <string.h>

#include "ragwortyoke-io/store_client.h"
#include "ragwortyoke/domain.h"
#include "ragwortyoke/member.h"

static const char *const class_prefix_[] = {
  [RGY_ENTRY_CONTRACT] = RGY_STORE_PREFIX "contracts/",
  [RGY_ENTRY_DOMAIN] = RGY_STORE_PREFIX "domains/",
  [RGY_ENTRY_AGENT] = RGY_STORE_PREFIX "agents/",
};

/* Sets the class and the name of an entry from the key of the store.  */
static enum rgy_outcome
parse_entry_key_ (struct rgy_str key, struct rgy_entry *entry)
{
  struct rgy_str name;
  size_t len;
  int class;

  for (class = RGY_ENTRY_CONTRACT; class <= RGY_ENTRY_AGENT; class ++)
    {
      len = strlen (class_prefix_[class]);
      if (key.len < len || memcmp (key.data, class_prefix_[class], len) != 0)
        continue;
      entry->class = (enum rgy_entry_class) class;
      name = (struct rgy_str){ .data = key.data + len, .len = key.len - len };
      return rgy_name_set (&entry->key, name);
    }
  return RGY_ERR_NOT_FOUND;
}

static enum rgy_outcome
reject_ (struct rgy_check_error *error, const char *text)
{
  g_strlcpy (error->text, text, sizeof error->text);
  return RGY_ERR_INVALID;
}

static enum rgy_outcome
set_domain_version_ (struct rgy_entry *entry, struct rgy_check_error *error)
{
  struct rgy_domain_order order;
  struct rgy_str json
      = { .data = (const char *)entry->value.data, .len = entry->value.len };

  if (rgy_domain_order_parse (json, &order, error) != RGY_OK)
    return RGY_ERR_INVALID;
  if (!rgy_name_equal (&order.domain, &entry->key))
    return reject_ (error, "domain: must be the one of the key");
  entry->version
      = (struct rgy_version){ .major = order.number, .minor = order.id };
  return RGY_OK;
}

static enum rgy_outcome
set_agent_version_ (struct rgy_entry *entry, struct rgy_check_error *error)
{
  struct rgy_agent_record record;

  if (rgy_agent_record_decode (entry->value, &record) != RGY_OK)
    return reject_ (error, "value: must be the record of an agent");
  if (!rgy_name_equal (&record.id, &entry->key))
    return reject_ (error, "id: must be the one of the key");
  entry->version = (struct rgy_version){ .major = record.epoch,
                                         .minor = record.sequence };
  return RGY_OK;
}

static enum rgy_outcome
validate_contract_ (const struct rgy_entry *entry,
                    struct rgy_check_error *error)
{
  struct rgy_contract *contract;
  enum rgy_outcome rc;

  contract = rgy_contract_parse (
      (struct rgy_str){ .data = (const char *)entry->value.data,
                        .len = entry->value.len },
      error);
  if (contract == NULL)
    return RGY_ERR_INVALID;
  rc = rgy_name_equal (&contract->customer, &entry->key)
           ? RGY_OK
           : reject_ (error, "customer: must be the one of the key");
  rgy_contract_delete (contract);
  return rc;
}

enum rgy_outcome
rgy_store_event_to_entry (const struct rgy_store_event *event,
                          struct rgy_entry *entry,
                          struct rgy_check_error *error)
{
  enum rgy_outcome rc;

  *entry
      = (struct rgy_entry){ .deleted = event->deleted, .value = event->value };
  rc = parse_entry_key_ (event->key, entry);
  if (rc == RGY_ERR_INVALID)
    return reject_ (error, "key: must end in a name");
  if (rc != RGY_OK)
    return rc;
  switch (entry->class)
    {
    case RGY_ENTRY_CONTRACT:
      entry->version = (struct rgy_version){ .major = event->mod_revision };
      return event->deleted ? RGY_OK : validate_contract_ (entry, error);
    case RGY_ENTRY_DOMAIN:
      return event->deleted ? RGY_ERR_NOT_FOUND
                            : set_domain_version_ (entry, error);
    case RGY_ENTRY_AGENT:
      return event->deleted ? RGY_ERR_NOT_FOUND
                            : set_agent_version_ (entry, error);
    case RGY_ENTRY_BALANCER:
    case RGY_ENTRY_CLASS_COUNT:
      break;
    }
  return RGY_ERR_NOT_FOUND;
}
