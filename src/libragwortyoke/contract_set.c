#include "ragwortyoke/contract.h"

#include <glib.h>
#include <string.h>

/* State of one customer.  The revision of a removed contract is kept, so that
   an older contract that arrives late does not become active again.  */
struct entry_
{
  struct rgy_name customer;
  struct rgy_contract *contract; /* NULL after removal.  */
  uint64_t revision;
};

/* One prefix of callers that may use one service address.  */
struct rule_
{
  struct rgy_prefix prefix;
  const struct rgy_contract *contract;
  const struct rgy_contract_service *service;
};

/* Rules of one service address, sorted by descending prefix length, then by
   prefix, then by customer.  The last key makes all processes choose the same
   contract when two customers have the same prefix.  */
struct address_
{
  uint64_t packed;
  GArray *rules;
  /* Index of the first rule of each prefix length; the rules of length B are
     at [first[32 - B], first[33 - B]).  */
  unsigned first[34];
};

struct rgy_contract_set
{
  GHashTable *entries;   /* Customer name to struct entry_.  */
  GHashTable *addresses; /* Packed endpoint to struct address_.  */
  size_t count;
};

static unsigned
packed_hash_ (const void *packed)
{
  /* Fibonacci hashing, since addresses often differ only in
     their middle bits.  */
  return (unsigned)((*(const uint64_t *)packed * UINT64_C (0x9e3779b97f4a7c15))
                    >> 32);
}

static void
entry_delete_ (void *data)
{
  struct entry_ *entry = data;

  rgy_contract_delete (entry->contract);
  g_free (entry);
}

static void
address_delete_ (void *data)
{
  struct address_ *address = data;

  g_array_unref (address->rules);
  g_free (address);
}

struct rgy_contract_set *
rgy_contract_set_new (void)
{
  struct rgy_contract_set *set = g_new0 (struct rgy_contract_set, 1);

  set->entries = g_hash_table_new_full (rgy_name_ghash, rgy_name_gequal, NULL,
                                        entry_delete_);
  set->addresses = g_hash_table_new_full (packed_hash_, g_int64_equal, NULL,
                                          address_delete_);
  return set;
}

void
rgy_contract_set_delete (struct rgy_contract_set *set)
{
  if (set == NULL)
    return;
  g_hash_table_destroy (set->addresses);
  g_hash_table_destroy (set->entries);
  g_free (set);
}

static int
rule_compare_ (const void *left, const void *right)
{
  const struct rule_ *a = left;
  const struct rule_ *b = right;

  if (a->prefix.bits != b->prefix.bits)
    return a->prefix.bits > b->prefix.bits ? -1 : 1;
  if (a->prefix.ip != b->prefix.ip)
    return a->prefix.ip < b->prefix.ip ? -1 : 1;
  return rgy_name_compare (&a->contract->customer, &b->contract->customer);
}

static void
address_index_ (struct address_ *address)
{
  const struct rule_ *rules;
  unsigned slot;
  unsigned at = 0;

  g_array_sort (address->rules, rule_compare_);
  rules = (const struct rule_ *)address->rules->data;
  for (slot = 0; slot <= 32; slot++)
    {
      address->first[slot] = at;
      while (at < address->rules->len && rules[at].prefix.bits == 32 - slot)
        at++;
    }
  address->first[33] = at;
}

static void
index_add_ (struct rgy_contract_set *set, const struct rgy_contract *contract)
{
  const struct rgy_contract_service *service;
  struct address_ *address;
  struct rule_ rule;
  uint64_t packed;
  size_t i;
  size_t j;

  for (i = 0; i < contract->service_count; i++)
    {
      service = &contract->services[i];
      packed = rgy_endpoint_pack (service->address);
      address = g_hash_table_lookup (set->addresses, &packed);
      if (address == NULL)
        {
          address = g_new0 (struct address_, 1);
          address->packed = packed;
          address->rules = g_array_new (FALSE, FALSE, sizeof (struct rule_));
          g_hash_table_insert (set->addresses, &address->packed, address);
        }
      for (j = 0; j < contract->prefix_count; j++)
        {
          rule = (struct rule_){ .prefix = contract->prefixes[j],
                                 .contract = contract,
                                 .service = service };
          g_array_append_val (address->rules, rule);
        }
      address_index_ (address);
    }
}

static void
index_remove_ (struct rgy_contract_set *set,
               const struct rgy_contract *contract)
{
  struct address_ *address;
  uint64_t packed;
  unsigned kept;
  unsigned r;
  size_t i;

  for (i = 0; i < contract->service_count; i++)
    {
      packed = rgy_endpoint_pack (contract->services[i].address);
      address = g_hash_table_lookup (set->addresses, &packed);
      if (address == NULL)
        continue;
      kept = 0;
      for (r = 0; r < address->rules->len; r++)
        if (g_array_index (address->rules, struct rule_, r).contract
            != contract)
          g_array_index (address->rules, struct rule_, kept++)
              = g_array_index (address->rules, struct rule_, r);
      g_array_set_size (address->rules, kept);
      if (kept == 0)
        g_hash_table_remove (set->addresses, &packed);
      else
        address_index_ (address);
    }
}

static struct entry_ *
entry_ensure_ (struct rgy_contract_set *set, const struct rgy_name *customer)
{
  struct entry_ *entry = g_hash_table_lookup (set->entries, customer);

  if (entry != NULL)
    return entry;
  entry = g_new0 (struct entry_, 1);
  entry->customer = *customer;
  g_hash_table_insert (set->entries, &entry->customer, entry);
  return entry;
}

/* Deactivates and frees the contract of an entry.  */
static void
entry_clear_ (struct rgy_contract_set *set, struct entry_ *entry)
{
  if (entry->contract == NULL)
    return;
  index_remove_ (set, entry->contract);
  rgy_contract_delete (entry->contract);
  entry->contract = NULL;
  set->count--;
}

enum rgy_outcome
rgy_contract_set_put (struct rgy_contract_set *set,
                      struct rgy_contract *contract)
{
  struct entry_ *entry = entry_ensure_ (set, &contract->customer);

  if (contract->revision < entry->revision
      || (contract->revision == entry->revision && entry->revision != 0
          && entry->contract == NULL))
    {
      rgy_contract_delete (contract);
      return RGY_ERR_STALE;
    }
  entry_clear_ (set, entry);
  entry->contract = contract;
  entry->revision = contract->revision;
  set->count++;
  index_add_ (set, contract);
  return RGY_OK;
}

enum rgy_outcome
rgy_contract_set_remove (struct rgy_contract_set *set,
                         const struct rgy_name *customer, uint64_t revision)
{
  struct entry_ *entry = entry_ensure_ (set, customer);

  if (revision < entry->revision)
    return RGY_ERR_STALE;
  entry_clear_ (set, entry);
  entry->revision = revision;
  return RGY_OK;
}

const struct rgy_contract *
rgy_contract_set_get (const struct rgy_contract_set *set,
                      const struct rgy_name *customer)
{
  const struct entry_ *entry = g_hash_table_lookup (set->entries, customer);

  return entry == NULL ? NULL : entry->contract;
}

size_t
rgy_contract_set_get_count (const struct rgy_contract_set *set)
{
  return set->count;
}

/* Binary search for IP among the rules in [low, high), which all have the same
   prefix length.
   @return the first matching rule, or NULL.  */
static const struct rule_ *
find_prefix_ (const struct rule_ *rules, unsigned low, unsigned high,
              uint32_t ip)
{
  unsigned end = high;
  unsigned mid;

  while (low < high)
    {
      mid = low + (high - low) / 2;
      if (rules[mid].prefix.ip < ip)
        low = mid + 1;
      else
        high = mid;
    }
  return low < end && rules[low].prefix.ip == ip ? &rules[low] : NULL;
}

enum rgy_outcome
rgy_contract_set_match (const struct rgy_contract_set *set, uint32_t caller_ip,
                        struct rgy_endpoint address,
                        const struct rgy_contract **contract,
                        const struct rgy_contract_service **service)
{
  uint64_t packed = rgy_endpoint_pack (address);
  const struct address_ *found;
  const struct rule_ *rules;
  const struct rule_ *rule;
  unsigned slot;

  *contract = NULL;
  *service = NULL;
  found = g_hash_table_lookup (set->addresses, &packed);
  if (found == NULL)
    return RGY_ERR_NOT_FOUND;
  rules = (const struct rule_ *)found->rules->data;
  for (slot = 0; slot <= 32; slot++)
    {
      if (found->first[slot] == found->first[slot + 1])
        continue;
      rule = find_prefix_ (rules, found->first[slot], found->first[slot + 1],
                           slot == 32 ? 0 : caller_ip & (UINT32_MAX << slot));
      if (rule != NULL)
        {
          *contract = rule->contract;
          *service = rule->service;
          return RGY_OK;
        }
    }
  *service = rules[0].service;
  return RGY_ERR_NOT_FOUND;
}

void
rgy_contract_set_foreach (const struct rgy_contract_set *set,
                          void (*fn) (const struct rgy_contract *c, void *ctx),
                          void *ctx)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, set->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct entry_ *)value)->contract != NULL)
      fn (((struct entry_ *)value)->contract, ctx);
}
