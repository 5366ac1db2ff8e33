#include "private/balancer_private.h"

/* Synchronisation: a peer sends its sub-digests and receives all entries in
   the buckets whose sub-digests differ.  */

struct rgy_bytes
rgy_balancer_build_sync_request (struct rgy_balancer *b)
{
  struct rgy_message *m = g_new0 (struct rgy_message, 1);
  struct rgy_bytes bytes;
  size_t c;

  b->initial_pull = !b->joined;
  m->kind = RGY_MSG_SYNC_REQUEST;
  m->u.sync_request.from = b->settings.id;
  for (c = 0; c < RGY_ENTRY_CLASS_COUNT; c++)
    {
      m->u.sync_request.classes |= 1U << c;
      rgy_replica_get_subdigests (b->bb->replica, (enum rgy_entry_class)c,
                                  m->u.sync_request.subdigests[c]);
    }
  bytes = rgy_wire_encode (b->link.wire, m);
  g_free (m);
  return bytes;
}

struct sync_reply_
{
  struct rgy_balancer *b;
  struct rgy_message *message;
  GPtrArray *frames;
  const struct rgy_sync_request_message *request;
};

static void
flush_frame_ (struct sync_reply_ *reply)
{
  struct rgy_bytes bytes
      = rgy_wire_encode (reply->b->link.wire, reply->message);
  GByteArray *frame = g_byte_array_sized_new ((guint)bytes.len);

  g_byte_array_append (frame, bytes.data, (guint)bytes.len);
  g_ptr_array_add (reply->frames, frame);
  reply->message->u.entries.count = 0;
}

static void
add_entry_ (const struct rgy_entry *entry, void *ctx)
{
  struct sync_reply_ *reply = ctx;
  struct rgy_entries_message *e = &reply->message->u.entries;

  e->entries[e->count++] = entry;
  if (e->count == RGY_WIRE_MAX_ENTRIES)
    flush_frame_ (reply);
}

/* An agent stores only the agents of its own service, so its sub-digests for
   agents are not comparable with a balancer's.  It receives all agents of the
   service instead.  */
static void
add_group_ (struct sync_reply_ *reply)
{
  const struct rgy_group *group
      = rgy_blackboard_get_group (reply->b->bb, reply->request->service);
  guint i;

  for (i = 0; i < group->agents->len; i++)
    {
      const struct rgy_agent_record *r = g_ptr_array_index (group->agents, i);

      add_entry_ (
          rgy_replica_get (reply->b->bb->replica, RGY_ENTRY_AGENT, &r->id),
          reply);
    }
}

void
rgy_balancer_serve_sync (struct rgy_balancer *b, struct rgy_bytes request,
                         GPtrArray *frames)
{
  struct rgy_message *request_message = g_new0 (struct rgy_message, 1);
  struct sync_reply_ reply = { .b = b, .frames = frames };
  size_t c;

  if (rgy_wire_decode (b->link.wire, request, request_message) != RGY_OK
      || request_message->kind != RGY_MSG_SYNC_REQUEST)
    {
      ++*b->link.bad_message;
      g_free (request_message);
      return;
    }
  reply.request = &request_message->u.sync_request;
  reply.message = g_new0 (struct rgy_message, 1);
  reply.message->kind = RGY_MSG_SYNC_REPLY;
  reply.message->u.entries.from = b->settings.id;
  for (c = 0; c < RGY_ENTRY_CLASS_COUNT; c++)
    {
      if ((reply.request->classes & 1U << c) == 0)
        continue;
      if (c == RGY_ENTRY_AGENT && rgy_endpoint_is_set (reply.request->service))
        add_group_ (&reply);
      else
        rgy_replica_foreach_difference (
            b->bb->replica, (enum rgy_entry_class)c,
            reply.request->subdigests[c], add_entry_, &reply);
    }
  flush_frame_ (&reply);
  g_free (reply.message);
  g_free (request_message);
}

enum rgy_outcome
rgy_balancer_apply_sync (struct rgy_balancer *b, struct rgy_bytes frame,
                         int64_t now_us, struct rgy_actions *actions)
{
  struct rgy_message *m = g_new0 (struct rgy_message, 1);
  enum rgy_outcome rc = rgy_wire_decode (b->link.wire, frame, m);
  size_t i;

  (void)now_us;
  if (rc == RGY_OK && m->kind != RGY_MSG_SYNC_REPLY)
    rc = RGY_ERR_INVALID;
  if (rc == RGY_OK)
    {
      for (i = 0; i < m->u.entries.count; i++)
        if (b->initial_pull)
          rgy_balancer_apply_pulled_entry (b, m->u.entries.entries[i],
                                           actions);
        else
          rgy_balancer_apply_entry (b, m->u.entries.entries[i], actions);
      b->synced = true;
      b->joined = true;
    }
  g_free (m);
  return rc;
}
