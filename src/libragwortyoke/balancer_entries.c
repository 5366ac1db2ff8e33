#include "private/balancer_private.h"

#include <string.h>

/* Entries at a balancer: new entries are activated, logged and passed on.  */

static void
announce_if_large_ (struct rgy_balancer *b, const struct rgy_entry *entry)
{
  struct rgy_announcement a = { .entry = *entry };
  guint i;

  for (i = 0; i < b->announcements->len; i++)
    {
      const struct rgy_entry *old
          = &g_array_index (b->announcements, struct rgy_announcement, i)
                 .entry;

      if (old->class == entry->class
          && rgy_name_equal (&old->key, &entry->key))
        {
          g_array_remove_index (b->announcements, i);
          break;
        }
    }
  if (entry->key.len + entry->value.len + RGY_ENTRY_OVERHEAD_BYTES
      <= RGY_GOSSIP_ENTRY_BYTES)
    return;
  a.entry.value = (struct rgy_bytes){ 0 };
  g_array_append_val (b->announcements, a);
}

static void
add_pending_push_ (struct rgy_balancer *b, const struct rgy_entry *entry)
{
  struct rgy_pending_push *copy;

  if (entry->class == RGY_ENTRY_BALANCER)
    return;
  copy = g_new0 (struct rgy_pending_push, 1);
  copy->entry = *entry;
  copy->value = g_bytes_new (entry->value.data, entry->value.len);
  copy->entry.value.data = g_bytes_get_data (copy->value, NULL);
  g_ptr_array_add (b->pending_pushes, copy);
}

static void
log_change_ (const struct rgy_balancer *b, const struct rgy_entry *entry,
             struct rgy_actions *actions)
{
  const struct rgy_agent_record *agent;

  switch (entry->class)
    {
    case RGY_ENTRY_CONTRACT:
      rgy_actions_log (actions,
                       "contract %s: revision %" G_GUINT64_FORMAT " %s",
                       entry->key.data, entry->version.major,
                       entry->deleted ? "deleted" : "active");
      break;
    case RGY_ENTRY_DOMAIN:
      rgy_actions_log (
          actions, "failure domain %s: %s (order %" G_GUINT64_FORMAT ")",
          entry->key.data,
          rgy_domain_set_is_out (b->bb->domains, &entry->key) ? "out" : "in",
          entry->version.major);
      break;
    case RGY_ENTRY_AGENT:
      agent = rgy_blackboard_get_agent (b->bb, &entry->key);
      rgy_actions_log (actions, "agent %s: %s", entry->key.data,
                       rgy_member_state_string[agent->state]);
      break;
    case RGY_ENTRY_BALANCER:
    case RGY_ENTRY_CLASS_COUNT:
      break;
    }
}

/* When another member has declared this balancer dead, the balancer refutes it
   with the next even sequence number.  */
static void
refute_if_self_ (struct rgy_balancer *b, const struct rgy_entry *entry)
{
  if (entry->class != RGY_ENTRY_BALANCER
      || !rgy_name_equal (&entry->key, &b->settings.id)
      || entry->version.major != b->self.epoch
      || entry->version.minor <= b->self.sequence)
    return;
  b->self.sequence = entry->version.minor;
  b->record_changed = true;
}

static void
handle_new_entry_ (struct rgy_balancer *b, const struct rgy_entry *entry,
                   struct rgy_actions *actions)
{
  refute_if_self_ (b, entry);
  add_pending_push_ (b, entry);
  log_change_ (b, entry, actions);
  if (entry->class == RGY_ENTRY_CONTRACT || entry->class == RGY_ENTRY_DOMAIN)
    {
      ++*b->c.config_changes;
      b->config_changed = true;
    }
}

enum rgy_outcome
rgy_balancer_apply_entry (struct rgy_balancer *b,
                          const struct rgy_entry *entry,
                          struct rgy_actions *actions)
{
  enum rgy_outcome rc = rgy_blackboard_apply (b->bb, entry);

  if (rc != RGY_OK)
    return rc;
  handle_new_entry_ (b, entry, actions);
  announce_if_large_ (b, entry);
  b->gossip_soon = true;
  return RGY_OK;
}

void
rgy_balancer_apply_agent_record (struct rgy_balancer *b,
                                 const struct rgy_agent_record *record,
                                 struct rgy_actions *actions)
{
  const struct rgy_agent_record *known
      = rgy_blackboard_get_agent (b->bb, &record->id);
  GByteArray *bytes;
  struct rgy_entry entry;

  /* Most heartbeats repeat a record that is already known.  */
  if (known != NULL && known->epoch == record->epoch
      && known->sequence == record->sequence)
    return;
  bytes = rgy_agent_record_encode (record);
  entry = (struct rgy_entry){
    .class = RGY_ENTRY_AGENT,
    .key = record->id,
    .version = { .major = record->epoch, .minor = record->sequence },
    .value = { .data = bytes->data, .len = bytes->len }
  };
  rgy_balancer_apply_entry (b, &entry, actions);
  g_byte_array_unref (bytes);
}

enum rgy_outcome
rgy_balancer_apply_pulled_entry (struct rgy_balancer *b,
                                 const struct rgy_entry *entry,
                                 struct rgy_actions *actions)
{
  enum rgy_outcome rc = rgy_blackboard_apply_unqueued (b->bb, entry);

  if (rc == RGY_OK)
    handle_new_entry_ (b, entry, actions);
  return rc;
}

static bool
is_announcement_ (const struct rgy_entry *entry)
{
  return !entry->deleted && entry->value.len == 0;
}

static bool
is_missing_ (const struct rgy_balancer *b, const struct rgy_entry *entry)
{
  const struct rgy_entry *known
      = rgy_replica_get (b->bb->replica, entry->class, &entry->key);

  return known == NULL
         || rgy_version_compare (known->version, entry->version) < 0;
}

bool
rgy_balancer_apply_entries (struct rgy_balancer *b,
                            const struct rgy_entries_message *m,
                            struct rgy_actions *actions)
{
  bool missing = false;
  size_t i;

  for (i = 0; i < m->count; i++)
    if (is_announcement_ (m->entries[i]))
      missing |= is_missing_ (b, m->entries[i]);
    else
      rgy_balancer_apply_entry (b, m->entries[i], actions);
  return missing;
}

enum rgy_outcome
rgy_balancer_from_store (struct rgy_balancer *b, const struct rgy_entry *entry,
                         struct rgy_actions *actions)
{
  if (entry->class == RGY_ENTRY_DOMAIN)
    {
      uint64_t *number = g_memdup2 (&entry->version.major, sizeof *number);

      g_hash_table_replace (b->stored_orders,
                            g_memdup2 (&entry->key, sizeof entry->key),
                            number);
    }
  b->synced = true;
  if (b->joined)
    return rgy_balancer_apply_entry (b, entry, actions);
  /* A starting balancer reads all entries of the store.  They need no gossip:
     peers that lack an entry pull it.  */
  return rgy_balancer_apply_pulled_entry (b, entry, actions);
}

enum rgy_outcome
rgy_balancer_from_operator (struct rgy_balancer *b, struct rgy_str order_json,
                            int64_t now_us, struct rgy_actions *actions)
{
  struct rgy_domain_order order;
  struct rgy_check_error error;
  struct rgy_entry entry;
  enum rgy_outcome rc;

  (void)now_us;
  rc = rgy_domain_order_parse (order_json, &order, &error);
  if (rc != RGY_OK)
    return rc;
  entry = (struct rgy_entry){
    .class = RGY_ENTRY_DOMAIN,
    .key = order.domain,
    .version = { .major = order.number, .minor = order.id },
    .value
    = { .data = (const uint8_t *)order_json.data, .len = order_json.len }
  };
  return rgy_balancer_apply_entry (b, &entry, actions);
}
