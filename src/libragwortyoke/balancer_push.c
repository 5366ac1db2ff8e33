#include "private/balancer_private.h"

#include <string.h>

/* Pushes new entries to the agents that this balancer monitors.  */

/* Bytes of a datagram that the frame of the message takes.  */
#define PUSH_OVERHEAD_BYTES 100

static bool
concerns_agent_ (const struct rgy_balancer *b, const struct rgy_entry *entry,
                 const struct rgy_agent_record *agent)
{
  const struct rgy_agent_record *subject;

  if (entry->class != RGY_ENTRY_AGENT)
    return true;
  subject = rgy_blackboard_get_agent (b->bb, &entry->key);
  return subject != NULL
         && rgy_endpoint_equal (subject->service, agent->service);
}

static void
push_to_agent_ (struct rgy_balancer *b, const struct rgy_agent_record *agent,
                struct rgy_message *m, struct rgy_actions *actions)
{
  struct rgy_entries_message *e = &m->u.entries;
  size_t bytes = 0;
  guint i;

  e->count = 0;
  for (i = 0; i < b->pending_pushes->len; i++)
    {
      struct rgy_pending_push *copy = g_ptr_array_index (b->pending_pushes, i);
      size_t size = copy->entry.value.len + copy->entry.key.len
                    + RGY_ENTRY_OVERHEAD_BYTES;

      if (!concerns_agent_ (b, &copy->entry, agent)
          || size > RGY_WIRE_DATAGRAM_BYTES - PUSH_OVERHEAD_BYTES)
        continue;
      if (e->count == RGY_WIRE_MAX_ENTRIES
          || bytes + size > RGY_WIRE_DATAGRAM_BYTES - PUSH_OVERHEAD_BYTES)
        {
          rgy_balancer_send_message (b, agent->endpoint, m, actions);
          e->count = 0;
          bytes = 0;
        }
      e->entries[e->count++] = &copy->entry;
      bytes += size;
    }
  if (e->count > 0)
    rgy_balancer_send_message (b, agent->endpoint, m, actions);
}

void
rgy_balancer_push_entries (struct rgy_balancer *b, struct rgy_actions *actions)
{
  struct rgy_message *m;
  GPtrArray *names;
  guint i;

  if (b->pending_pushes->len == 0)
    return;
  m = g_new0 (struct rgy_message, 1);
  m->kind = RGY_MSG_ENTRIES;
  m->u.entries.from = b->settings.id;
  names = rgy_balancer_list_watched (b->bb->agents, b->agents_liveness);
  for (i = 0; i < names->len; i++)
    push_to_agent_ (b, rgy_blackboard_get_agent (b->bb, names->pdata[i]), m,
                    actions);
  g_ptr_array_unref (names);
  g_ptr_array_set_size (b->pending_pushes, 0);
  g_free (m);
}
