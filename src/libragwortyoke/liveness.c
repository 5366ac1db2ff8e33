#include "ragwortyoke/member.h"

#include "ragwortyoke/clock.h"

const struct rgy_liveness_settings rgy_liveness_defaults = {
  .unresponsive_us = 2 * RGY_US_PER_S,
  .probe_us = 1 * RGY_US_PER_S,
  .window_us = 10 * RGY_US_PER_S,
  .cut_protection_percent = 50,
  .cut_protection_min_members = 4,
};

struct member_
{
  struct rgy_name id;
  int64_t last_seen_us;   /* Last message from the member itself or indirect
                             acknowledgement by another monitor.  */
  int64_t last_direct_us; /* Last message from the member itself, or when
                             watching began.  */
  bool seen_directly;     /* A message from the member itself was received.  */
  int64_t probed_us;
  bool probed; /* A probe was sent since the member was last seen.  */
};

/* Member that was declared dead within the window.  */
struct dead_member_
{
  struct rgy_name id;
  int64_t declared_us;
};

struct rgy_liveness
{
  struct rgy_liveness_settings settings;
  GTree *members; /* Members by ID, so that the order of
                     events is deterministic.  */
  GArray *dead;   /* Elements are struct dead_member_, in the order
                     of their declaration.  */
  bool cut_protection;
  int64_t monitor_contact_us; /* Set by rgy_liveness_set_monitor_contact().  */
};

static int
compare_ids_ (const void *a, const void *b, void *ctx)
{
  (void)ctx;
  return rgy_name_compare (a, b);
}

struct rgy_liveness *
rgy_liveness_new (const struct rgy_liveness_settings *settings)
{
  struct rgy_liveness *liveness = g_new0 (struct rgy_liveness, 1);

  liveness->settings = *settings;
  liveness->monitor_contact_us = INT64_MAX;
  liveness->members = g_tree_new_full (compare_ids_, NULL, NULL, g_free);
  liveness->dead = g_array_new (FALSE, FALSE, sizeof (struct dead_member_));
  return liveness;
}

void
rgy_liveness_delete (struct rgy_liveness *liveness)
{
  if (liveness == NULL)
    return;
  g_tree_unref (liveness->members);
  g_array_unref (liveness->dead);
  g_free (liveness);
}

static void
remove_dead_ (struct rgy_liveness *liveness, const struct rgy_name *id)
{
  guint i;

  for (i = 0; i < liveness->dead->len; i++)
    if (rgy_name_equal (
            &g_array_index (liveness->dead, struct dead_member_, i).id, id))
      {
        g_array_remove_index (liveness->dead, i);
        return;
      }
}

static void
expire_dead_ (struct rgy_liveness *liveness, int64_t now_us)
{
  guint expired = 0;

  while (
      expired < liveness->dead->len
      && now_us
                 - g_array_index (liveness->dead, struct dead_member_, expired)
                       .declared_us
             > liveness->settings.window_us)
    expired++;
  if (expired > 0)
    g_array_remove_range (liveness->dead, 0, expired);
}

void
rgy_liveness_note_message (struct rgy_liveness *liveness,
                           const struct rgy_name *id, int64_t now_us)
{
  struct member_ *m = g_tree_lookup (liveness->members, id);

  if (m == NULL)
    {
      remove_dead_ (liveness, id);
      m = g_new0 (struct member_, 1);
      m->id = *id;
      m->last_seen_us = now_us;
      g_tree_insert (liveness->members, &m->id, m);
    }
  else
    m->seen_directly = true;
  m->last_direct_us = MAX (m->last_direct_us, now_us);
  m->last_seen_us = MAX (m->last_seen_us, now_us);
  m->probed = false;
}

void
rgy_liveness_note_indirect_ack (struct rgy_liveness *liveness,
                                const struct rgy_name *id, int64_t now_us)
{
  struct member_ *m = g_tree_lookup (liveness->members, id);

  if (m == NULL)
    return;
  m->last_seen_us = MAX (m->last_seen_us, now_us);
  m->probed = false;
}

bool
rgy_liveness_was_seen_since (const struct rgy_liveness *liveness,
                             const struct rgy_name *id, int64_t since_us)
{
  const struct member_ *m = g_tree_lookup (liveness->members, id);

  return m != NULL && m->seen_directly && m->last_direct_us >= since_us;
}

void
rgy_liveness_remove (struct rgy_liveness *liveness, const struct rgy_name *id)
{
  g_tree_remove (liveness->members, id);
  remove_dead_ (liveness, id);
}

bool
rgy_liveness_is_watched (const struct rgy_liveness *liveness,
                         const struct rgy_name *id)
{
  return g_tree_lookup (liveness->members, id) != NULL;
}

bool
rgy_liveness_is_cut_protected (const struct rgy_liveness *liveness)
{
  return liveness->cut_protection;
}

int64_t
rgy_liveness_get_last_contact (const struct rgy_liveness *liveness,
                               int64_t now_us)
{
  int64_t contact_us = 0;
  bool is_alone = true;
  GTreeNode *at;
  guint i;

  for (at = g_tree_node_first (liveness->members); at != NULL;
       at = g_tree_node_next (at))
    {
      const struct member_ *m = g_tree_node_value (at);

      is_alone = false;
      contact_us = MAX (contact_us, m->last_direct_us);
    }
  for (i = 0; i < liveness->dead->len; i++)
    if (now_us
            - g_array_index (liveness->dead, struct dead_member_, i)
                  .declared_us
        <= liveness->settings.window_us)
      is_alone = false;
  return is_alone ? INT64_MAX : contact_us;
}

static gboolean
clear_probe_ (void *key, void *value, void *ctx)
{
  struct member_ *m = value;

  (void)key;
  (void)ctx;
  m->probed = false;
  return FALSE;
}

void
rgy_liveness_set_monitor_contact (struct rgy_liveness *liveness,
                                  int64_t contact_us)
{
  /* Probes sent during a gap as long as this did not reach the other
     monitors.  */
  if (contact_us - liveness->monitor_contact_us
      > liveness->settings.unresponsive_us)
    g_tree_foreach (liveness->members, clear_probe_, NULL);
  liveness->monitor_contact_us = contact_us;
}

/* Result of one pass over the members.  */
struct scan_result_
{
  unsigned unresponsive;
  struct member_ *unprobed;  /* First unresponsive member that
                                was not probed.  */
  struct member_ *timed_out; /* First member that did not answer its
                                probe in time.  */
  struct member_ *due_again; /* First member due for another probe
                                under cut protection.  */
};

static struct scan_result_
scan_members_ (const struct rgy_liveness *liveness, int64_t now_us)
{
  const struct rgy_liveness_settings *settings = &liveness->settings;
  struct scan_result_ s = { 0 };
  struct member_ *m;
  GTreeNode *at;

  for (at = g_tree_node_first (liveness->members); at != NULL;
       at = g_tree_node_next (at))
    {
      m = g_tree_node_value (at);
      if (now_us - m->last_direct_us >= settings->unresponsive_us)
        s.unresponsive++;
      if (now_us - m->last_seen_us < settings->unresponsive_us)
        continue;
      if (!m->probed)
        {
          if (s.unprobed == NULL)
            s.unprobed = m;
          continue;
        }
      if (s.timed_out == NULL && now_us - m->probed_us >= settings->probe_us)
        s.timed_out = m;
      if (s.due_again == NULL
          && now_us - m->probed_us >= settings->unresponsive_us)
        s.due_again = m;
    }
  return s;
}

static bool
needs_cut_protection_ (const struct rgy_liveness *liveness,
                       unsigned unresponsive)
{
  /* Members declared dead within the window count as unresponsive, because a
     partition may affect the members one after the other.  */
  uint64_t lost = (uint64_t)unresponsive + liveness->dead->len;
  uint64_t total
      = (uint64_t)g_tree_nnodes (liveness->members) + liveness->dead->len;

  return total >= liveness->settings.cut_protection_min_members
         && lost * 100 > total * liveness->settings.cut_protection_percent;
}

static void
probe_member_ (struct member_ *m, int64_t now_us,
               struct rgy_liveness_event *event)
{
  m->probed = true;
  m->probed_us = now_us;
  *event
      = (struct rgy_liveness_event){ .kind = RGY_LIVENESS_PROBE, .id = m->id };
}

bool
rgy_liveness_next (struct rgy_liveness *liveness, int64_t now_us,
                   struct rgy_liveness_event *event)
{
  struct scan_result_ s;
  struct dead_member_ dead;
  bool protect;

  expire_dead_ (liveness, now_us);
  s = scan_members_ (liveness, now_us);
  protect = needs_cut_protection_ (liveness, s.unresponsive);
  if (protect != liveness->cut_protection)
    {
      liveness->cut_protection = protect;
      /* Probes sent during the partition may have been lost.  */
      if (!protect)
        g_tree_foreach (liveness->members, clear_probe_, NULL);
      *event = (struct rgy_liveness_event){
        .kind = protect ? RGY_LIVENESS_CUT_PROTECTION_ON
                        : RGY_LIVENESS_CUT_PROTECTION_OFF
      };
      return true;
    }
  if (s.unprobed != NULL)
    {
      probe_member_ (s.unprobed, now_us, event);
      return true;
    }
  /* Probes continue under cut protection: members that send messages
     only in answer to a probe would otherwise stay unresponsive
     after the partition.  */
  if (protect && s.due_again != NULL)
    {
      probe_member_ (s.due_again, now_us, event);
      return true;
    }
  if (!protect && s.timed_out != NULL
      && liveness->monitor_contact_us < s.timed_out->probed_us)
    {
      probe_member_ (s.timed_out, now_us, event);
      return true;
    }
  if (!protect && s.timed_out != NULL)
    {
      dead = (struct dead_member_){ .id = s.timed_out->id,
                                    .declared_us = now_us };
      g_array_append_val (liveness->dead, dead);
      g_tree_remove (liveness->members, &dead.id);
      *event = (struct rgy_liveness_event){ .kind = RGY_LIVENESS_DEAD,
                                            .id = dead.id };
      return true;
    }
  return false;
}
