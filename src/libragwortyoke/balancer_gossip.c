#include "private/balancer_private.h"

#include <string.h>

/* Gossip between balancers.  */

#define ANNOUNCEMENT_BYTES (RGY_NAME_MAX_BYTES + RGY_ENTRY_OVERHEAD_BYTES)
#define MAX_ANNOUNCEMENTS 4

static void
get_digests_ (const struct rgy_balancer *b, struct rgy_digests *digests)
{
  size_t c;

  for (c = 0; c < RGY_ENTRY_CLASS_COUNT; c++)
    digests->of[c]
        = rgy_replica_get_digest (b->bb->replica, (enum rgy_entry_class)c);
}
static size_t
take_announcements_ (struct rgy_balancer *b, unsigned transmissions,
                     struct rgy_announcement *taken,
                     const struct rgy_entry **entries)
{
  size_t count = 0;
  guint i = 0;

  while (i < b->announcements->len && count < MAX_ANNOUNCEMENTS)
    {
      struct rgy_announcement *a
          = &g_array_index (b->announcements, struct rgy_announcement, i);

      a->sends++;
      taken[count] = *a;
      entries[count] = &taken[count].entry;
      count++;
      if (a->sends < transmissions)
        i++;
      else
        g_array_remove_index (b->announcements, i);
    }
  return count;
}

static void
send_gossip_ (struct rgy_balancer *b, struct rgy_endpoint to,
              enum rgy_message_kind kind, struct rgy_actions *actions)
{
  struct rgy_message *m = g_new0 (struct rgy_message, 1);
  struct rgy_announcement taken[MAX_ANNOUNCEMENTS];
  size_t announced;

  m->kind = kind;
  m->u.gossip.from = b->settings.id;
  m->u.gossip.sync = b->settings.sync;
  get_digests_ (b, &m->u.gossip.digests);
  m->u.gossip.entries.from = b->settings.id;
  announced = take_announcements_ (b, RGY_GOSSIP_TRANSMISSIONS, taken,
                                   m->u.gossip.entries.entries);
  m->u.gossip.entries.count
      = announced
        + rgy_replica_take_updates (b->bb->replica, RGY_GOSSIP_TRANSMISSIONS,
                                    RGY_GOSSIP_ENTRY_BYTES
                                        - announced * ANNOUNCEMENT_BYTES,
                                    m->u.gossip.entries.entries + announced,
                                    RGY_WIRE_MAX_ENTRIES - announced);
  rgy_balancer_send_message (b, to, m, actions);
  g_free (m);
}

void
rgy_balancer_gossip_tick (struct rgy_balancer *b, int64_t now_us,
                          struct rgy_actions *actions)
{
  struct rgy_name *names;
  const struct rgy_balancer_record *peer;
  size_t max = g_hash_table_size (b->bb->balancers);
  size_t n;

  if (now_us < b->next_gossip_us && !b->gossip_soon)
    return;
  b->gossip_soon = false;
  b->next_gossip_us = now_us + RGY_GOSSIP_INTERVAL_US;
  names = g_new (struct rgy_name, max + 1);
  n = rgy_balancer_list_others (b, names, max);
  if (n > 0)
    {
      peer = rgy_blackboard_get_balancer (
          b->bb, &names[g_rand_int_range (b->random, 0, (gint32)n)]);
      send_gossip_ (b, peer->endpoint, RGY_MSG_GOSSIP, actions);
    }
  else if (b->settings.seed_count > 0)
    send_gossip_ (b,
                  b->settings.seeds[g_rand_int_range (
                      b->random, 0, (gint32)b->settings.seed_count)],
                  RGY_MSG_GOSSIP, actions);
  g_free (names);
}

static bool
is_live_endpoint_ (const struct rgy_balancer *b, struct rgy_endpoint endpoint)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->bb->balancers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_balancer_record *r = value;

      if (rgy_balancer_is_in_cluster (r)
          && rgy_endpoint_equal (r->endpoint, endpoint))
        return true;
    }
  return false;
}

static int
compare_endpoints_ (const void *a, const void *b)
{
  uint64_t first = rgy_endpoint_pack (*(const struct rgy_endpoint *)a);
  uint64_t second = rgy_endpoint_pack (*(const struct rgy_endpoint *)b);

  return first < second ? -1 : first > second;
}

/* Balancers that start at the same time, or are separated by a partition,
   may form groups that know only their own members or have declared the
   others dead.  One message every RGY_REJOIN_INTERVAL_US to a random seed or
   dead balancer lets such groups rejoin.  When all balancers are live,
   nothing is sent.  */
void
rgy_balancer_rejoin_tick (struct rgy_balancer *b, int64_t now_us,
                          struct rgy_actions *actions)
{
  GArray *candidates;
  GHashTableIter iter;
  gpointer value;
  size_t i;

  if (now_us < b->next_rejoin_us)
    return;
  b->next_rejoin_us = now_us + RGY_REJOIN_INTERVAL_US;
  candidates = g_array_new (FALSE, FALSE, sizeof (struct rgy_endpoint));
  for (i = 0; i < b->settings.seed_count; i++)
    if (!rgy_endpoint_equal (b->settings.seeds[i], b->settings.endpoint)
        && !is_live_endpoint_ (b, b->settings.seeds[i]))
      g_array_append_val (candidates, b->settings.seeds[i]);
  g_hash_table_iter_init (&iter, b->bb->balancers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rgy_balancer_record *r = value;

      if (r->state == RGY_MEMBER_DEAD
          && !rgy_name_equal (&r->id, &b->settings.id))
        g_array_append_val (candidates, r->endpoint);
    }
  g_array_sort (candidates, compare_endpoints_);
  if (candidates->len > 0)
    send_gossip_ (b,
                  g_array_index (candidates, struct rgy_endpoint,
                                 g_rand_int_range (b->random, 0,
                                                   (gint32)candidates->len)),
                  RGY_MSG_GOSSIP, actions);
  g_array_unref (candidates);
}

/* Tracks whether PEER's digests differ from this balancer's for too long.
   Agreement with one peer does not imply agreement with another: of three
   balancers, two that agree would never request the entries that only the
   third has.  One peer at a time is observed until it agrees.
   @return true when the observed peer has differed for too long.  */
static bool
differs_too_long_ (struct rgy_balancer *b, const struct rgy_name *peer,
                   bool agrees, int64_t now_us)
{
  int64_t since_us = b->peer_differs_since_us;

  if (since_us == 0 || now_us - since_us > RGY_PEER_DIFFERING_FORGET_US)
    {
      b->differing_peer = *peer;
      b->peer_differs_since_us = agrees ? 0 : now_us;
      return false;
    }
  if (!rgy_name_equal (&b->differing_peer, peer)
      || (!agrees && now_us - since_us < RGY_PEER_DIFFERING_US))
    return false;
  b->peer_differs_since_us = 0;
  return !agrees;
}

/* Starts a synchronisation when the digests in M differ from this balancer's.
   The digests of two balancers differ briefly after every change, so that only
   a lasting difference starts one.  With AT_ONCE it starts without delay: the
   sender has announced an entry that this balancer lacks, or it is unknown or
   dead to this balancer.  In the latter case, waiting would lose the chance,
   since the next message may come from a peer that this balancer already knows
   and whose digests agree.  */
static void
compare_digests_ (struct rgy_balancer *b, const struct rgy_gossip_message *m,
                  bool at_once, int64_t now_us, struct rgy_actions *actions)
{
  struct rgy_digests own;
  bool agrees;

  get_digests_ (b, &own);
  agrees = memcmp (&own, &m->digests, sizeof own) == 0;
  if (differs_too_long_ (b, &m->from, agrees, now_us))
    at_once = true;
  if (agrees)
    {
      b->digests_differ_since_us = 0;
      b->synced = true;
      b->joined = true;
      return;
    }
  if (b->digests_differ_since_us == 0)
    b->digests_differ_since_us = now_us;
  if (now_us < b->next_sync_us
      || (b->synced && !at_once
          && now_us - b->digests_differ_since_us < RGY_DIGEST_GRACE_US))
    return;
  b->next_sync_us = now_us + RGY_SYNC_INTERVAL_US;
  rgy_actions_sync (actions, m->sync);
}

void
rgy_balancer_handle_gossip (struct rgy_balancer *b, struct rgy_endpoint from,
                            const struct rgy_message *message, int64_t now_us,
                            struct rgy_actions *actions)
{
  const struct rgy_gossip_message *m = &message->u.gossip;
  const struct rgy_balancer_record *sender
      = rgy_blackboard_get_balancer (b->bb, &m->from);
  bool is_unknown_sender
      = sender == NULL || !rgy_balancer_is_in_cluster (sender);
  bool missing;

  /* The balancer's own address may be among the seeds.  Agreement with itself
     does not count as having joined.  */
  if (rgy_name_equal (&m->from, &b->settings.id))
    return;
  if (rgy_liveness_is_watched (b->balancers_liveness, &m->from))
    rgy_liveness_note_message (b->balancers_liveness, &m->from, now_us);
  missing = rgy_balancer_apply_entries (b, &m->entries, actions);
  compare_digests_ (b, m, is_unknown_sender || missing, now_us, actions);
  if (message->kind == RGY_MSG_GOSSIP)
    send_gossip_ (b, from, RGY_MSG_GOSSIP_ACK, actions);
}
