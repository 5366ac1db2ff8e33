#include "ragwortyoke/member.h"

#include "ragwortyoke/clock.h"

const struct rgy_liveness_settings rgy_liveness_defaults = {
  .silence_us = 2 * RGY_US_PER_S,
  .probe_us = 1 * RGY_US_PER_S,
  .window_us = 10 * RGY_US_PER_S,
  .cut_percent = 50,
  .cut_min = 4,
};

struct member_
{
  struct rgy_name id;
  int64_t heard_us;   /* From itself or from another monitor.  */
  int64_t reached_us; /* From itself, or when it was first watched.  */
  bool reached;       /* Heard from itself.  */
  int64_t probed_us;
  bool probed; /* Since it was last heard.  */
};

/* Member declared dead within the window.  */
struct dead_
{
  struct rgy_name id;
  int64_t declared_us;
};

struct rgy_liveness
{
  struct rgy_liveness_settings settings;
  GTree *members; /* By ID, so that the order of events is fixed.  */
  GArray *dead;   /* In the order of their declaration.  */
  bool cut;
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
  liveness->members = g_tree_new_full (compare_ids_, NULL, NULL, g_free);
  liveness->dead = g_array_new (FALSE, FALSE, sizeof (struct dead_));
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
forget_dead_ (struct rgy_liveness *liveness, const struct rgy_name *id)
{
  guint i;

  for (i = 0; i < liveness->dead->len; i++)
    if (rgy_name_equal (&g_array_index (liveness->dead, struct dead_, i).id,
                        id))
      {
        g_array_remove_index (liveness->dead, i);
        return;
      }
}

static void
expire_dead_ (struct rgy_liveness *liveness, int64_t now_us)
{
  guint expired = 0;

  while (expired < liveness->dead->len
         && now_us
                    - g_array_index (liveness->dead, struct dead_, expired)
                          .declared_us
                > liveness->settings.window_us)
    expired++;
  if (expired > 0)
    g_array_remove_range (liveness->dead, 0, expired);
}

void
rgy_liveness_heard (struct rgy_liveness *liveness, const struct rgy_name *id,
                    int64_t now_us)
{
  struct member_ *m = g_tree_lookup (liveness->members, id);

  if (m == NULL)
    {
      forget_dead_ (liveness, id);
      m = g_new0 (struct member_, 1);
      m->id = *id;
      m->heard_us = now_us;
      g_tree_insert (liveness->members, &m->id, m);
    }
  else
    m->reached = true;
  m->reached_us = MAX (m->reached_us, now_us);
  m->heard_us = MAX (m->heard_us, now_us);
  m->probed = false;
}

void
rgy_liveness_vouch (struct rgy_liveness *liveness, const struct rgy_name *id,
                    int64_t now_us)
{
  struct member_ *m = g_tree_lookup (liveness->members, id);

  if (m == NULL)
    return;
  m->heard_us = MAX (m->heard_us, now_us);
  m->probed = false;
}

bool
rgy_liveness_is_reached (const struct rgy_liveness *liveness,
                         const struct rgy_name *id, int64_t since_us)
{
  const struct member_ *m = g_tree_lookup (liveness->members, id);

  return m != NULL && m->reached && m->reached_us >= since_us;
}

void
rgy_liveness_remove (struct rgy_liveness *liveness, const struct rgy_name *id)
{
  g_tree_remove (liveness->members, id);
  forget_dead_ (liveness, id);
}

bool
rgy_liveness_is_watched (const struct rgy_liveness *liveness,
                         const struct rgy_name *id)
{
  return g_tree_lookup (liveness->members, id) != NULL;
}

bool
rgy_liveness_is_cut (const struct rgy_liveness *liveness)
{
  return liveness->cut;
}

/* Result of one pass over the members.  */
struct survey_
{
  unsigned silent;
  struct member_ *unprobed; /* First silent one that was not probed.  */
  struct member_ *expired;  /* First one whose probe was not answered.  */
  struct member_ *reprobe;  /* First one due for a further probe in a cut.  */
};

static struct survey_
survey_ (const struct rgy_liveness *liveness, int64_t now_us)
{
  const struct rgy_liveness_settings *settings = &liveness->settings;
  struct survey_ s = { 0 };
  struct member_ *m;
  GTreeNode *at;

  for (at = g_tree_node_first (liveness->members); at != NULL;
       at = g_tree_node_next (at))
    {
      m = g_tree_node_value (at);
      if (now_us - m->reached_us >= settings->silence_us)
        s.silent++;
      if (now_us - m->heard_us < settings->silence_us)
        continue;
      if (!m->probed)
        {
          if (s.unprobed == NULL)
            s.unprobed = m;
          continue;
        }
      if (s.expired == NULL && now_us - m->probed_us >= settings->probe_us)
        s.expired = m;
      if (s.reprobe == NULL && now_us - m->probed_us >= settings->silence_us)
        s.reprobe = m;
    }
  return s;
}

static bool
is_cut_share_ (const struct rgy_liveness *liveness, unsigned silent)
{
  /* Members declared dead within the window count as silent: a cut may reach
     the members one after the other.  */
  uint64_t lost = (uint64_t)silent + liveness->dead->len;
  uint64_t total
      = (uint64_t)g_tree_nnodes (liveness->members) + liveness->dead->len;

  return total >= liveness->settings.cut_min
         && lost * 100 > total * liveness->settings.cut_percent;
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

static void
probe_ (struct member_ *m, int64_t now_us, struct rgy_liveness_event *event)
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
  struct survey_ s;
  struct dead_ dead;
  bool cut;

  expire_dead_ (liveness, now_us);
  s = survey_ (liveness, now_us);
  cut = is_cut_share_ (liveness, s.silent);
  if (cut != liveness->cut)
    {
      liveness->cut = cut;
      /* Probes sent during the cut may have been lost with it.  */
      if (!cut)
        g_tree_foreach (liveness->members, clear_probe_, NULL);
      *event = (struct rgy_liveness_event){ .kind = cut ? RGY_LIVENESS_CUT
                                                        : RGY_LIVENESS_UNCUT };
      return true;
    }
  if (s.unprobed != NULL)
    {
      probe_ (s.unprobed, now_us, event);
      return true;
    }
  /* Probes go on during a cut: members that speak only when asked would
     otherwise stay silent after it.  */
  if (cut && s.reprobe != NULL)
    {
      probe_ (s.reprobe, now_us, event);
      return true;
    }
  if (!cut && s.expired != NULL)
    {
      dead = (struct dead_){ .id = s.expired->id, .declared_us = now_us };
      g_array_append_val (liveness->dead, dead);
      g_tree_remove (liveness->members, &dead.id);
      *event = (struct rgy_liveness_event){ .kind = RGY_LIVENESS_DEAD,
                                            .id = dead.id };
      return true;
    }
  return false;
}
