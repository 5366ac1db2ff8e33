#include "ragwortyoke/stream_manifest.h"

#include <glib.h>

#include "ragwortyoke/segment.h"

struct rgy_stream_manifest
{
  uint64_t version;
  uint32_t idle_timeout_ms;
  GHashTable *routes; /* Packed endpoint to struct rgy_route, both owned.  */
  GArray *services;   /* Entries are struct rgy_stream_service.  */
  GString *text;      /* NULL: none.  */
};

struct rgy_stream_manifest *
rgy_stream_manifest_new (uint64_t version)
{
  struct rgy_stream_manifest *manifest
      = g_new0 (struct rgy_stream_manifest, 1);

  manifest->version = version;
  manifest->routes
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  manifest->services
      = g_array_new (FALSE, TRUE, sizeof (struct rgy_stream_service));
  return manifest;
}

void
rgy_stream_manifest_delete (struct rgy_stream_manifest *manifest)
{
  if (manifest == NULL)
    return;
  g_hash_table_unref (manifest->routes);
  g_array_unref (manifest->services);
  if (manifest->text != NULL)
    g_string_free (manifest->text, TRUE);
  g_free (manifest);
}

static gint64 *
pack_address_ (struct rgy_endpoint address)
{
  gint64 *packed = g_new (gint64, 1);

  *packed = (gint64)rgy_endpoint_pack (address);
  return packed;
}

enum rgy_outcome
rgy_stream_manifest_add_route (struct rgy_stream_manifest *manifest,
                               const struct rgy_route *route)
{
  struct rgy_route *copy;
  uint64_t total = 0;
  size_t i;

  if (rgy_stream_manifest_find (manifest, route->address) != NULL)
    return RGY_ERR_CONFLICT;
  for (i = 0; i < route->n_targets; i++)
    total += route->targets[i].weight;
  if (total == 0)
    return RGY_ERR_INVALID;
  copy = g_memdup2 (route, sizeof *route);
  for (i = 0; i < copy->n_targets; i++)
    copy->targets[i].tag = rgy_service_tag (&copy->targets[i].service);
  g_hash_table_insert (manifest->routes, pack_address_ (copy->address), copy);
  return RGY_OK;
}

void
rgy_stream_manifest_add_service (struct rgy_stream_manifest *manifest,
                                 const struct rgy_stream_service *service)
{
  g_array_append_val (manifest->services, *service);
}

uint64_t
rgy_stream_manifest_get_version (const struct rgy_stream_manifest *manifest)
{
  return manifest->version;
}

void
rgy_stream_manifest_set_text (struct rgy_stream_manifest *manifest,
                              struct rgy_str text)
{
  if (manifest->text != NULL)
    g_string_free (manifest->text, TRUE);
  manifest->text = g_string_new_len (text.data, (gssize)text.len);
}

struct rgy_str
rgy_stream_manifest_get_text (const struct rgy_stream_manifest *manifest)
{
  return manifest->text == NULL
             ? (struct rgy_str){ 0 }
             : (struct rgy_str){ .data = manifest->text->str,
                                 .len = manifest->text->len };
}

const struct rgy_route *
rgy_stream_manifest_find (const struct rgy_stream_manifest *manifest,
                          struct rgy_endpoint address)
{
  gint64 packed = (gint64)rgy_endpoint_pack (address);

  return g_hash_table_lookup (manifest->routes, &packed);
}

uint32_t
rgy_stream_manifest_get_cold_rate (const struct rgy_stream_manifest *manifest,
                                   const struct rgy_name *service)
{
  guint i;

  for (i = 0; i < manifest->services->len; i++)
    {
      const struct rgy_stream_service *entry
          = &g_array_index (manifest->services, struct rgy_stream_service, i);

      if (rgy_name_equal (&entry->name, service))
        return entry->cold_rate_milli;
    }
  return 0;
}

void
rgy_stream_manifest_set_idle_timeout (struct rgy_stream_manifest *manifest,
                                      uint32_t ms)
{
  manifest->idle_timeout_ms = ms;
}

uint32_t
rgy_stream_manifest_get_idle_timeout (
    const struct rgy_stream_manifest *manifest)
{
  return manifest->idle_timeout_ms;
}

size_t
rgy_route_choose (const struct rgy_route *route, uint64_t flow_hash)
{
  uint64_t total = 0;
  uint64_t position;
  size_t i;

  for (i = 0; i < route->n_targets; i++)
    total += route->targets[i].weight;
  if (total == 0)
    return 0; /* rgy_stream_manifest_add_route() rejects such a route.  */
  position = flow_hash % total;
  for (i = 0; i + 1 < route->n_targets; i++)
    {
      if (position < route->targets[i].weight)
        break;
      position -= route->targets[i].weight;
    }
  return i;
}
