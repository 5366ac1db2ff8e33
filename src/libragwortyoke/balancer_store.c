#include "private/balancer_private.h"

#include <string.h>

/* Store access of a reader: the reader writes back failure domain
   orders that operators sent directly to balancers, and the roll-up of
   its own failure domain.  */

bool
rgy_balancer_choose_reader (const struct rgy_balancer *b,
                            const struct rgy_name *names, size_t count)
{
  struct rgy_name *same = g_new (struct rgy_name, count);
  size_t chosen[RGY_READER_COUNT];
  size_t kept = 0;
  bool reader = false;
  size_t i;

  for (i = 0; i + 1 < count; i++)
    if (rgy_name_equal (
            &rgy_blackboard_get_balancer (b->bb, &names[i])->domain,
            &b->settings.domain))
      same[kept++] = names[i];
  same[kept++] = b->settings.id;
  count = rgy_member_choose (&b->settings.domain, same, kept, RGY_READER_COUNT,
                             chosen);
  for (i = 0; i < count; i++)
    reader |= rgy_name_equal (&same[chosen[i]], &b->settings.id);
  g_free (same);
  return reader;
}

bool
rgy_balancer_is_reader (const struct rgy_balancer *b)
{
  return b->reader;
}

static void
store_text_ (struct rgy_actions *actions, const char *kind,
             const struct rgy_name *name, const char *text)
{
  char *key = g_strdup_printf ("%s/%s", kind, name->data);

  rgy_actions_write_store (actions, rgy_str_from_c (key),
                           (struct rgy_bytes){ .data = (const uint8_t *)text,
                                               .len = strlen (text) });
  g_free (key);
}

struct order_context_
{
  struct rgy_balancer *b;
  struct rgy_actions *actions;
};

static void
store_order_ (const struct rgy_domain_order *order, void *ctx)
{
  struct order_context_ *c = ctx;
  const uint64_t *stored
      = g_hash_table_lookup (c->b->stored_orders, &order->domain);
  char *json;

  if (stored != NULL && *stored >= order->number)
    return;
  json = rgy_domain_order_format (order);
  store_text_ (c->actions, "domains", &order->domain, json);
  g_free (json);
}

/* Collects the first ready balancers, by name, of this balancer's failure
   domain.  This balancer may be among them.  */
static void
collect_rollup_ (const struct rgy_balancer *b, struct rgy_rollup *rollup)
{
  size_t max = g_hash_table_size (b->bb->balancers);
  struct rgy_name *names = g_new (struct rgy_name, max + 1);
  size_t n = rgy_balancer_list_others (b, names, max);
  size_t i;

  names[n++] = b->settings.id;
  rgy_name_sort (names, n);
  rollup->count = 0;
  for (i = 0; i < n && rollup->count < RGY_ROLLUP_MAX; i++)
    {
      const struct rgy_balancer_record *r
          = rgy_blackboard_get_balancer (b->bb, &names[i]);

      if (r != NULL && r->state == RGY_MEMBER_READY
          && rgy_name_equal (&r->domain, &b->settings.domain))
        rollup->balancers[rollup->count++] = r->endpoint;
    }
  g_free (names);
}

static void
store_rollup_ (struct rgy_balancer *b, struct rgy_actions *actions)
{
  struct rgy_rollup rollup;
  char *json;

  collect_rollup_ (b, &rollup);
  if (rollup.count == 0)
    return;
  json = rgy_rollup_format (&rollup);
  if (b->last_stored_rollup == NULL
      || strcmp (json, b->last_stored_rollup) != 0)
    store_text_ (actions, "balancers", &b->settings.domain, json);
  g_free (json);
}

void
rgy_balancer_note_rollup (struct rgy_balancer *b,
                          const struct rgy_name *domain, struct rgy_str json)
{
  struct rgy_rollup rollup;

  if (rgy_name_equal (domain, &b->settings.domain))
    {
      g_free (b->last_stored_rollup);
      b->last_stored_rollup = g_strndup (json.data, json.len);
    }
  if (rgy_rollup_parse (json, &rollup) == RGY_OK)
    rgy_rollup_add_seeds (&rollup, b->settings.seeds, &b->settings.seed_count,
                          RGY_BALANCER_MAX_SEEDS);
}

void
rgy_balancer_store_tick (struct rgy_balancer *b, int64_t now_us,
                         struct rgy_actions *actions)
{
  struct order_context_ ctx = { .b = b, .actions = actions };

  if (now_us < b->next_store_us)
    return;
  b->next_store_us = now_us + RGY_STORE_INTERVAL_US;
  if (!rgy_balancer_is_reader (b))
    return;
  rgy_domain_set_foreach (b->bb->domains, store_order_, &ctx);
  if (b->self.state == RGY_MEMBER_READY)
    store_rollup_ (b, actions);
}
