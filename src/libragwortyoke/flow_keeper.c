#include "private/flow_keeper.h"

#include "private/msgpack_io.h"
#include "ragwortyoke/clock.h"

#define FORMAT_VERSION 1
/* Time after which a list is forgotten.  Pooled connections are idle for less
   than this, and an agent that restarts needs its former list once.  */
#define EXPIRE_US (15 * RGY_US_PER_S)
/* Part of a balancer's budget for control (8 kB/s) that lists of flows may
   take, and the interval of the lists.  */
#define LIST_BYTES_PER_S 4000
#define LIST_INTERVAL_S 3
/* Maximum size of the encoded flows; half of the store's largest value.  */
#define MAX_ENCODED_BYTES (512 * 1024)
/* Upper bound of an encoded entry without its flows.  */
#define ENTRY_OVERHEAD_BYTES 20
#define ENTRY_FIELDS 3

/* Flows of one backend server.  */
struct list_
{
  uint64_t backend_id;
  GByteArray *flows;
  int64_t recorded_us;
};

struct entry_
{
  uint32_t agent_ip;
  uint64_t agent_incarnation; /* 0 if only a keeper before has heard of it.  */
  struct list_ current;
  struct list_ former;
};

struct rgy_flow_keeper
{
  GHashTable *entries; /* Address of an agent to struct entry_, owned.  */
};

static void
free_entry_ (void *data)
{
  struct entry_ *entry = data;

  g_byte_array_unref (entry->current.flows);
  g_byte_array_unref (entry->former.flows);
  g_free (entry);
}

struct rgy_flow_keeper *
rgy_flow_keeper_new (void)
{
  struct rgy_flow_keeper *keeper = g_new0 (struct rgy_flow_keeper, 1);

  keeper->entries = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                           free_entry_);
  return keeper;
}

void
rgy_flow_keeper_delete (struct rgy_flow_keeper *keeper)
{
  if (keeper == NULL)
    return;
  g_hash_table_unref (keeper->entries);
  g_free (keeper);
}

static struct entry_ *
find_entry_ (const struct rgy_flow_keeper *keeper, uint32_t agent_ip)
{
  return g_hash_table_lookup (keeper->entries, GUINT_TO_POINTER (agent_ip));
}

static struct entry_ *
add_entry_ (struct rgy_flow_keeper *keeper, uint32_t agent_ip)
{
  struct entry_ *entry = NULL;

  if (g_hash_table_size (keeper->entries) >= RGY_STREAM_MAX_AGENTS)
    return NULL;
  entry = g_new0 (struct entry_, 1);
  entry->agent_ip = agent_ip;
  entry->current.flows = g_byte_array_new ();
  entry->former.flows = g_byte_array_new ();
  g_hash_table_insert (keeper->entries, GUINT_TO_POINTER (agent_ip), entry);
  return entry;
}

static void
set_list_ (struct list_ *list, uint64_t backend_id, struct rgy_bytes flows,
           int64_t now_us)
{
  list->backend_id = backend_id;
  g_byte_array_set_size (list->flows, 0);
  g_byte_array_append (list->flows, flows.data, (guint)flows.len);
  list->recorded_us = now_us;
}

static struct rgy_bytes
get_flows_ (const struct list_ *list)
{
  return (struct rgy_bytes){ .data = list->flows->data,
                             .len = list->flows->len };
}

static bool
is_list_valid_ (const struct list_ *list, int64_t now_us)
{
  return list->flows->len > 0 && now_us - list->recorded_us <= EXPIRE_US;
}

/* True if a list is of another process or backend server than the one before.
   A backend server that is not known yet may be the same.  */
static bool
is_successor_ (const struct entry_ *entry,
               const struct rgy_stream_open_flows *list)
{
  return entry->agent_incarnation != list->agent_incarnation
         || (list->backend_id != 0 && entry->current.backend_id != 0
             && list->backend_id != entry->current.backend_id);
}

void
rgy_flow_keeper_record (struct rgy_flow_keeper *keeper, uint32_t agent_ip,
                        const struct rgy_stream_open_flows *list,
                        int64_t now_us)
{
  struct entry_ *entry = find_entry_ (keeper, agent_ip);

  if (entry == NULL)
    entry = add_entry_ (keeper, agent_ip);
  if (entry == NULL)
    return;
  if (is_successor_ (entry, list) && is_list_valid_ (&entry->current, now_us))
    set_list_ (&entry->former, entry->current.backend_id,
               get_flows_ (&entry->current), now_us);
  entry->agent_incarnation = list->agent_incarnation;
  set_list_ (&entry->current, list->backend_id, list->flows, now_us);
}

struct rgy_bytes
rgy_flow_keeper_get_former (struct rgy_flow_keeper *keeper, uint32_t agent_ip,
                            uint64_t *backend_id, int64_t now_us)
{
  const struct entry_ *entry = find_entry_ (keeper, agent_ip);

  *backend_id = 0;
  if (entry == NULL || !is_list_valid_ (&entry->former, now_us))
    return (struct rgy_bytes){ 0 };
  *backend_id = entry->former.backend_id;
  return get_flows_ (&entry->former);
}

uint32_t
rgy_flow_keeper_get_max_flows (const struct rgy_flow_keeper *keeper)
{
  guint n_agents = MAX (g_hash_table_size (keeper->entries), 1);

  return MIN (LIST_BYTES_PER_S * LIST_INTERVAL_S / RGY_OPEN_FLOW_BYTES
                  / n_agents,
              RGY_STREAM_MAX_OPEN_FLOWS);
}

static gboolean
is_expired_ (gpointer key, gpointer value, gpointer data)
{
  const struct entry_ *entry = value;

  (void)key;
  return *(int64_t *)data - entry->current.recorded_us > EXPIRE_US;
}

void
rgy_flow_keeper_expire (struct rgy_flow_keeper *keeper, int64_t now_us)
{
  g_hash_table_foreach_remove (keeper->entries, is_expired_, &now_us);
}

/* Chooses what is written of an entry: the former list until the agent has
   sent a new one.  */
static const struct list_ *
choose_list_ (const struct entry_ *entry, int64_t now_us)
{
  if (is_list_valid_ (&entry->current, now_us))
    return &entry->current;
  return is_list_valid_ (&entry->former, now_us) ? &entry->former : NULL;
}

/* Returns the entries with flows that fit into MAX_ENCODED_BYTES.  */
static GPtrArray *
choose_entries_ (const struct rgy_flow_keeper *keeper, int64_t now_us)
{
  GPtrArray *chosen = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;
  size_t bytes = 0;

  g_hash_table_iter_init (&iter, keeper->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct list_ *list = choose_list_ (value, now_us);

      if (list == NULL)
        continue;
      bytes += ENTRY_OVERHEAD_BYTES + list->flows->len;
      if (bytes > MAX_ENCODED_BYTES)
        break;
      g_ptr_array_add (chosen, value);
    }
  return chosen;
}

void
rgy_flow_keeper_encode (const struct rgy_flow_keeper *keeper, GByteArray *out,
                        int64_t now_us)
{
  GPtrArray *entries = choose_entries_ (keeper, now_us);
  msgpack_packer pk;
  guint i;

  msgpack_packer_init (&pk, out, rgy_pack_append);
  msgpack_pack_array (&pk, 2);
  msgpack_pack_uint8 (&pk, FORMAT_VERSION);
  msgpack_pack_array (&pk, entries->len);
  for (i = 0; i < entries->len; i++)
    {
      const struct entry_ *entry = g_ptr_array_index (entries, i);
      const struct list_ *list = choose_list_ (entry, now_us);

      msgpack_pack_array (&pk, ENTRY_FIELDS);
      msgpack_pack_uint32 (&pk, entry->agent_ip);
      msgpack_pack_uint64 (&pk, list->backend_id);
      rgy_pack_bytes (&pk, get_flows_ (list));
    }
  g_ptr_array_unref (entries);
}

/* An entry as it is read, before it is used.  */
struct stored_entry_
{
  uint32_t agent_ip;
  uint64_t backend_id;
  struct rgy_bytes flows;
};

static struct stored_entry_
read_entry_ (struct rgy_reader *entries)
{
  struct rgy_reader fields
      = rgy_read_array_of (entries, ENTRY_FIELDS, ENTRY_FIELDS);
  struct stored_entry_ entry;

  entry.agent_ip = (uint32_t)rgy_read_u64_max (&fields, UINT32_MAX);
  entry.backend_id = rgy_read_u64 (&fields);
  entry.flows = rgy_read_bytes (&fields);
  if (rgy_reader_is_ok (&fields)
      && (!rgy_ip_is_host (entry.agent_ip)
          || entry.flows.len % RGY_OPEN_FLOW_BYTES != 0
          || entry.flows.len / RGY_OPEN_FLOW_BYTES
                 > RGY_STREAM_MAX_OPEN_FLOWS))
    rgy_reader_fail (&fields, RGY_ERR_INVALID);
  rgy_reader_fail (entries, fields.outcome);
  return entry;
}

/* Adds flows that a keeper before has recorded.  */
static void
add_stored_entry_ (struct rgy_flow_keeper *keeper,
                   const struct stored_entry_ *stored, int64_t now_us)
{
  struct entry_ *entry = find_entry_ (keeper, stored->agent_ip);

  if (entry != NULL && !is_list_valid_ (&entry->former, now_us))
    set_list_ (&entry->former, stored->backend_id, stored->flows, now_us);
  else if (entry == NULL
           && (entry = add_entry_ (keeper, stored->agent_ip)) != NULL)
    set_list_ (&entry->current, stored->backend_id, stored->flows, now_us);
}

enum rgy_outcome
rgy_flow_keeper_load (struct rgy_flow_keeper *keeper, struct rgy_bytes bytes,
                      int64_t now_us)
{
  struct rgy_reader fields;
  struct rgy_reader entries;
  GArray *stored = g_array_new (FALSE, FALSE, sizeof (struct stored_entry_));
  msgpack_zone zone;
  msgpack_object object;
  enum rgy_outcome rc = RGY_ERR_INVALID;
  guint i;

  if (!msgpack_zone_init (&zone, 1024))
    {
      g_array_unref (stored);
      return RGY_ERR_FULL;
    }
  if (!rgy_msgpack_unpack (bytes, &zone, &object))
    goto out;
  fields = rgy_reader_init (&object);
  if (rgy_read_u64 (&fields) != FORMAT_VERSION && rgy_reader_is_ok (&fields))
    {
      rc = RGY_ERR_UNSUPPORTED;
      goto out;
    }
  entries = rgy_read_array_of (&fields, 0, RGY_STREAM_MAX_AGENTS);
  while (rgy_reader_is_ok (&entries) && entries.next < entries.count)
    {
      struct stored_entry_ entry = read_entry_ (&entries);

      g_array_append_val (stored, entry);
    }
  rgy_reader_fail (&fields, entries.outcome);
  if (fields.next != fields.count)
    rgy_reader_fail (&fields, RGY_ERR_INVALID);
  rc = fields.outcome;
  for (i = 0; rc == RGY_OK && i < stored->len; i++)
    add_stored_entry_ (
        keeper, &g_array_index (stored, struct stored_entry_, i), now_us);
out:
  msgpack_zone_destroy (&zone);
  g_array_unref (stored);
  return rc;
}
