#include "private/update_queue.h"

void
rgy_update_queue_init (struct rgy_update_queue *queue)
{
  size_t i;

  for (i = 0; i < RGY_UPDATE_LEVEL_COUNT; i++)
    g_queue_init (&queue->levels[i]);
  queue->count = 0;
}

static GQueue *
get_level_ (struct rgy_update_queue *queue, const struct rgy_update *update)
{
  return &queue->levels[MIN (update->sends, RGY_UPDATE_LEVEL_COUNT - 1)];
}

static void
insert_update_ (struct rgy_update_queue *queue, struct rgy_update *update)
{
  update->link = (GList){ .data = update };
  update->queued = true;
  /* The newest update comes first, so that a new change overtakes the backlog
     of a bulk merge.  */
  g_queue_push_head_link (get_level_ (queue, update), &update->link);
  queue->count++;
}

void
rgy_update_queue_push (struct rgy_update_queue *queue,
                       struct rgy_update *update)
{
  rgy_update_queue_remove (queue, update);
  update->sends = 0;
  insert_update_ (queue, update);
}

void
rgy_update_queue_remove (struct rgy_update_queue *queue,
                         struct rgy_update *update)
{
  if (!update->queued)
    return;
  g_queue_unlink (get_level_ (queue, update), &update->link);
  update->queued = false;
  queue->count--;
}

static size_t
get_entry_size_ (const struct rgy_entry *entry)
{
  return entry->key.len + entry->value.len + RGY_UPDATE_OVERHEAD_BYTES;
}

size_t
rgy_update_queue_take (struct rgy_update_queue *queue, unsigned transmissions,
                       size_t max_bytes, const struct rgy_entry **out,
                       size_t max_entries)
{
  GQueue taken = G_QUEUE_INIT;
  size_t left = max_bytes;
  size_t count = 0;
  struct rgy_update *u;
  GList *link;
  GList *next;
  size_t cost;
  size_t i;

  if (transmissions == 0)
    return 0;
  for (i = 0; i < RGY_UPDATE_LEVEL_COUNT; i++)
    for (link = queue->levels[i].head; link != NULL; link = next)
      {
        if (count == max_entries || left <= RGY_UPDATE_OVERHEAD_BYTES)
          goto requeue;
        next = link->next;
        u = link->data;
        cost = get_entry_size_ (u->entry);
        /* An update may have been sent more often than TRANSMISSIONS, which
           falls when replicas leave.  */
        if (cost > max_bytes || u->sends >= transmissions)
          rgy_update_queue_remove (queue, u);
        else if (cost <= left)
          {
            rgy_update_queue_remove (queue, u);
            g_queue_push_tail_link (&taken, &u->link);
            out[count++] = u->entry;
            left -= cost;
          }
      }
requeue:
  /* Updates return to the queue only after the scan, so that no update is
     taken twice.  */
  while ((link = g_queue_pop_head_link (&taken)) != NULL)
    {
      u = link->data;
      u->sends++;
      if (u->sends < transmissions)
        insert_update_ (queue, u);
    }
  return count;
}
