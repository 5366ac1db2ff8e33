#include "ragwortyoke/rollup.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <string.h>

char *
rgy_rollup_format (const struct rgy_rollup *rollup)
{
  json_t *list = json_array ();
  json_t *json = json_pack ("{s:o}", "balancers", list);
  char text[RGY_ENDPOINT_TEXT_BYTES];
  char *dump;
  char *copy;
  size_t i;

  for (i = 0; i < rollup->count; i++)
    json_array_append_new (
        list, json_string (rgy_endpoint_format (rollup->balancers[i], text)));
  dump = json_dumps (json, JSON_COMPACT);
  copy = g_strdup (dump);
  free (dump);
  json_decref (json);
  return copy;
}

enum rgy_outcome
rgy_rollup_parse (struct rgy_str json, struct rgy_rollup *rollup)
{
  json_t *root = json_loadb (json.data, json.len, 0, NULL);
  json_t *list = json_object_get (root, "balancers");
  enum rgy_outcome rc = RGY_ERR_INVALID;
  json_t *item;
  size_t i;

  memset (rollup, 0, sizeof *rollup);
  if (!json_is_array (list))
    goto out;
  json_array_foreach (list, i, item)
  {
    if (rollup->count == RGY_ROLLUP_MAX)
      break;
    if (!json_is_string (item)
        || rgy_endpoint_parse (
               (struct rgy_str){ .data = json_string_value (item),
                                 .len = json_string_length (item) },
               &rollup->balancers[rollup->count])
               != RGY_OK)
      goto out;
    rollup->count++;
  }
  rc = RGY_OK;
out:
  json_decref (root);
  return rc;
}

static bool
contains_endpoint_ (const struct rgy_endpoint *seeds, size_t count,
                    struct rgy_endpoint endpoint)
{
  size_t i;

  for (i = 0; i < count; i++)
    if (rgy_endpoint_equal (seeds[i], endpoint))
      return true;
  return false;
}

void
rgy_rollup_add_seeds (const struct rgy_rollup *rollup,
                      struct rgy_endpoint *seeds, size_t *count, size_t max)
{
  size_t i;

  for (i = 0; i < rollup->count; i++)
    {
      if (contains_endpoint_ (seeds, *count, rollup->balancers[i]))
        continue;
      if (*count == max)
        {
          memmove (seeds, seeds + 1, (max - 1) * sizeof *seeds);
          --*count;
        }
      seeds[(*count)++] = rollup->balancers[i];
    }
}
