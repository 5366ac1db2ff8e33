#include "private/balancer_private.h"

#include <string.h>

/* The balancer's own record: its state, configuration digest, lagging agents
   and demand.  */

static int
compare_demand_ (const void *a, const void *b)
{
  const struct rgy_demand *x = a;
  const struct rgy_demand *y = b;

  return (x->bytes_per_s < y->bytes_per_s) - (x->bytes_per_s > y->bytes_per_s);
}

static void
collect_demand_ (struct rgy_balancer *b, int64_t now_us)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (struct rgy_demand));
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, b->limits);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct rgy_demand d
          = { .customer = *(struct rgy_name *)key,
              .bytes_per_s = rgy_rate_limit_publish_demand (value, now_us) };

      g_array_append_val (all, d);
    }
  g_array_sort (all, compare_demand_);
  b->self.demand_count = MIN (all->len, RGY_DEMAND_MAX);
  if (b->self.demand_count > 0)
    memcpy (b->self.demand, all->data,
            b->self.demand_count * sizeof b->self.demand[0]);
  g_array_unref (all);
}

static void
note_demand_of_others_ (struct rgy_balancer *b, int64_t now_us)
{
  size_t max = g_hash_table_size (b->bb->balancers);
  struct rgy_name *names;
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  size_t n;
  size_t i;
  size_t d;

  if (g_hash_table_size (b->limits) == 0)
    return;
  names = g_new (struct rgy_name, max + 1);
  n = rgy_balancer_list_others (b, names, max);
  g_hash_table_iter_init (&iter, b->limits);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      rgy_rate_limit_set_instances (value, names, n);
      for (i = 0; i < n; i++)
        {
          const struct rgy_balancer_record *r
              = rgy_blackboard_get_balancer (b->bb, &names[i]);

          for (d = 0; d < r->demand_count; d++)
            if (rgy_name_equal (&r->demand[d].customer, key))
              break;
          if (d < r->demand_count)
            rgy_rate_limit_record_demand (value, &r->id,
                                          r->demand[d].bytes_per_s, now_us);
          else if (r->demand_count < RGY_DEMAND_MAX)
            rgy_rate_limit_record_demand (value, &r->id, 0, now_us);
        }
    }
  g_free (names);
}

static void
collect_lagging_agents_ (struct rgy_balancer *b)
{
  GHashTableIter iter;
  gpointer key;
  size_t n = 0;

  b->self.lagging_count = g_hash_table_size (b->lagging);
  g_hash_table_iter_init (&iter, b->lagging);
  while (n < RGY_LAGGING_NAMES_MAX
         && g_hash_table_iter_next (&iter, &key, NULL))
    b->self.lagging[n++] = *(struct rgy_name *)key;
  for (; n < RGY_LAGGING_NAMES_MAX; n++)
    b->self.lagging[n] = (struct rgy_name){ 0 };
}

/* Decides when to publish a new configuration digest: as soon as no
   monitored agent lacks the change or, after RGY_CONFIRM_WAIT_US, together
   with the agents that still lack it.  This gives one publication for each
   change instead of three, and never reports too early that all agents
   have the change.  */
static void
update_config_digest_ (struct rgy_balancer *b, int64_t now_us)
{
  guint lagging;

  if (b->config_changed)
    {
      b->config_changed = false;
      b->confirm_until_us = now_us + RGY_CONFIRM_WAIT_US;
      rgy_balancer_mark_agents_lagging (b);
    }
  lagging = g_hash_table_size (b->lagging);
  if (b->confirm_until_us == 0
      || (now_us < b->confirm_until_us && lagging > 0))
    return;
  b->confirm_until_us = 0;
  if (lagging > 0 || lagging != b->self.lagging_count
      || b->self.config_digest != rgy_blackboard_get_config_digest (b->bb))
    b->record_changed = true;
}

static const struct rgy_demand *
find_reported_demand_ (const struct rgy_balancer *b,
                       const struct rgy_name *customer)
{
  size_t i;

  for (i = 0; i < b->self.demand_count; i++)
    if (rgy_name_equal (&b->self.demand[i].customer, customer))
      return &b->self.demand[i];
  return NULL;
}

enum report_urgency_
{
  REPORT_CURRENT, /* The last report is still accurate enough.  */
  REPORT_DUE,     /* A customer's demand has changed by more than a
                     factor of 2.  */
  REPORT_URGENT   /* A customer is missing from the report, so that the other
                     balancers would take its demand at this balancer as 0.  */
};

static enum report_urgency_
check_demand_report_ (struct rgy_balancer *b, int64_t now_us)
{
  enum report_urgency_ need = REPORT_CURRENT;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, b->limits);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct rgy_demand *old = find_reported_demand_ (b, key);
      uint64_t now_per_s = rgy_rate_limit_peek_demand (value, now_us);

      if (old == NULL)
        {
          if (b->self.demand_count < RGY_DEMAND_MAX)
            return REPORT_URGENT;
        }
      else if (MAX (now_per_s, old->bytes_per_s) >= RGY_DEMAND_MIN_BYTES
               && (now_per_s > 2 * old->bytes_per_s
                   || old->bytes_per_s > 2 * now_per_s))
        need = REPORT_DUE;
    }
  return need;
}

/* Returns the interval between demand reports.  Each report reaches the whole
   fleet, so that the bytes sent would grow with the square of its size if the
   interval did not grow with it.  */
static int64_t
report_interval_us_ (const struct rgy_balancer *b)
{
  int64_t members = g_hash_table_size (b->bb->balancers);

  return MAX (RGY_DEMAND_INTERVAL_US, members * RGY_DEMAND_SPREAD_US);
}

/* In a large fleet the demand would make up most of every record.  The fabric
   spreads packets evenly over the balancers, so that equal shares of a limit
   are correct to within the variation of that spread.  A balancer without a
   report counts with the mean demand.  */
static bool
is_too_large_for_reports_ (struct rgy_balancer *b)
{
  size_t max = g_hash_table_size (b->bb->balancers);
  struct rgy_name *names;
  GHashTableIter iter;
  gpointer value;
  size_t n;

  if (max <= RGY_DEMAND_MAX_FLEET)
    return false;
  names = g_new (struct rgy_name, max + 1);
  n = rgy_balancer_list_others (b, names, max);
  if (n >= RGY_DEMAND_MAX_FLEET)
    {
      g_hash_table_iter_init (&iter, b->limits);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        rgy_rate_limit_set_instances (value, names, n);
      if (b->self.demand_count > 0)
        b->record_changed = true;
      b->self.demand_count = 0;
    }
  g_free (names);
  return n >= RGY_DEMAND_MAX_FLEET;
}

static void
update_demand_ (struct rgy_balancer *b, int64_t now_us)
{
  enum report_urgency_ need;
  GHashTableIter iter;
  gpointer value;

  if (now_us < b->next_demand_us || g_hash_table_size (b->limits) == 0)
    return;
  b->next_demand_us = now_us + RGY_DEMAND_INTERVAL_US;
  if (is_too_large_for_reports_ (b))
    return;
  need = check_demand_report_ (b, now_us);
  if (need == REPORT_URGENT
      || (need == REPORT_DUE && now_us >= b->next_report_us))
    {
      b->next_report_us = now_us + report_interval_us_ (b);
      collect_demand_ (b, now_us);
      b->record_changed = true;
    }
  g_hash_table_iter_init (&iter, b->limits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    rgy_rate_limit_confirm_demand (value, now_us);
  note_demand_of_others_ (b, now_us);
}

void
rgy_balancer_publish_record (struct rgy_balancer *b, int64_t now_us)
{
  update_config_digest_ (b, now_us);
  update_demand_ (b, now_us);
  if (!b->record_changed)
    return;
  b->record_changed = false;
  b->self.sequence = (b->self.sequence | 1) + 1;
  b->self.config_digest = rgy_blackboard_get_config_digest (b->bb);
  collect_lagging_agents_ (b);
  rgy_blackboard_apply_balancer (b->bb, &b->self);
  b->gossip_soon = true;
}
