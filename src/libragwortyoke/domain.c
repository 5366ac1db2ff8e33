#include "ragwortyoke/domain.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "private/check.h"

#define ID_HEX_DIGITS 16
#define HEX_BASE 16

/* Largest integer that every JSON parser represents exactly.  */
#define MAX_NUMBER UINT64_C (9007199254740991)

struct rgy_domain_set
{
  GHashTable *orders; /* Failure domain name to struct rgy_domain_order.  */
};

bool
rgy_domain_order_is_newer (const struct rgy_domain_order *a,
                           const struct rgy_domain_order *b)
{
  if (a->number != b->number)
    return a->number > b->number;
  return a->id > b->id;
}

char *
rgy_domain_order_format (const struct rgy_domain_order *order)
{
  /* Names contain no character that needs escaping in JSON.  */
  return g_strdup_printf (
      "{\"domain\":\"%s\",\"out\":%s,\"number\":%" PRIu64
      ",\"id\":\"%016" PRIx64 "\",\"operator\":\"%s\",\"issued\":%" PRId64 "}",
      order->domain.data, order->out ? "true" : "false", order->number,
      order->id, order->operator_name.data, order->issued_s);
}

static bool
parse_id_ (const json_t *value, const struct rgy_check_path *path,
           uint64_t *id, struct rgy_check_error *error)
{
  struct rgy_str text = rgy_check_text (value);
  size_t i;

  *id = 0;
  for (i = 0; i < text.len && g_ascii_isxdigit (text.data[i]); i++)
    *id = *id * HEX_BASE + (uint64_t)g_ascii_xdigit_value (text.data[i]);
  if (text.len != ID_HEX_DIGITS || i != ID_HEX_DIGITS)
    return rgy_check_fail (error, path,
                           "must be a string of 16 hexadecimal digits");
  return true;
}

enum rgy_outcome
rgy_domain_order_parse (struct rgy_str json, struct rgy_domain_order *order,
                        struct rgy_check_error *error)
{
  static const char *const allowed[]
      = { "domain", "out", "number", "id", "operator", "issued", NULL };
  static const struct rgy_check_path root_path = { .text = "" };
  struct rgy_check_path domain = rgy_check_path_member (&root_path, "domain");
  struct rgy_check_path out = rgy_check_path_member (&root_path, "out");
  struct rgy_check_path number = rgy_check_path_member (&root_path, "number");
  struct rgy_check_path id = rgy_check_path_member (&root_path, "id");
  struct rgy_check_path operator_name
      = rgy_check_path_member (&root_path, "operator");
  struct rgy_check_path issued = rgy_check_path_member (&root_path, "issued");
  struct rgy_domain_order parsed = { 0 };
  uint64_t issued_s = 0;
  json_t *root;
  bool ok;

  root = rgy_check_parse_json (json, error);
  if (root == NULL)
    return RGY_ERR_INVALID;
  ok = rgy_check_object (root, &root_path, allowed, error)
       && rgy_check_name (json_object_get (root, "domain"), &domain,
                          &parsed.domain, error)
       && rgy_check_boolean (json_object_get (root, "out"), &out, &parsed.out,
                             error)
       && rgy_check_integer (json_object_get (root, "number"), &number, 1,
                             MAX_NUMBER, &parsed.number, error)
       && parse_id_ (json_object_get (root, "id"), &id, &parsed.id, error)
       && rgy_check_name (json_object_get (root, "operator"), &operator_name,
                          &parsed.operator_name, error)
       && rgy_check_integer (json_object_get (root, "issued"), &issued, 0,
                             MAX_NUMBER, &issued_s, error);
  json_decref (root);
  if (!ok)
    return RGY_ERR_INVALID;
  parsed.issued_s = (int64_t)issued_s;
  *order = parsed;
  return RGY_OK;
}

struct rgy_domain_set *
rgy_domain_set_new (void)
{
  struct rgy_domain_set *set = g_new0 (struct rgy_domain_set, 1);

  set->orders
      = g_hash_table_new_full (rgy_name_ghash, rgy_name_gequal, NULL, g_free);
  return set;
}

void
rgy_domain_set_delete (struct rgy_domain_set *set)
{
  if (set == NULL)
    return;
  g_hash_table_destroy (set->orders);
  g_free (set);
}

enum rgy_outcome
rgy_domain_set_apply (struct rgy_domain_set *set,
                      const struct rgy_domain_order *order)
{
  struct rgy_domain_order *known
      = g_hash_table_lookup (set->orders, &order->domain);

  if (known == NULL)
    {
      known = g_new (struct rgy_domain_order, 1);
      *known = *order;
      g_hash_table_insert (set->orders, &known->domain, known);
      return RGY_OK;
    }
  if (!rgy_domain_order_is_newer (order, known))
    return RGY_ERR_STALE;
  *known = *order;
  return RGY_OK;
}

const struct rgy_domain_order *
rgy_domain_set_get (const struct rgy_domain_set *set,
                    const struct rgy_name *domain)
{
  return g_hash_table_lookup (set->orders, domain);
}

bool
rgy_domain_set_is_out (const struct rgy_domain_set *set,
                       const struct rgy_name *domain)
{
  const struct rgy_domain_order *order = rgy_domain_set_get (set, domain);

  return order != NULL && order->out;
}

void
rgy_domain_set_foreach (const struct rgy_domain_set *set,
                        void (*fn) (const struct rgy_domain_order *order,
                                    void *ctx),
                        void *ctx)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, set->orders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    fn (value, ctx);
}
