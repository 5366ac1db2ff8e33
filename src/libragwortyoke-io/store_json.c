#include "ragwortyoke-io/store_json.h"

#include <inttypes.h>
#include <string.h>

#define U64_TEXT_BYTES 24

uint64_t
rgy_store_json_get_u64 (const json_t *object, const char *name)
{
  const json_t *value = json_object_get (object, name);
  guint64 number = 0;

  if (json_is_string (value))
    return g_ascii_string_to_unsigned (json_string_value (value), 10, 0,
                                       G_MAXUINT64, &number, NULL)
               ? number
               : 0;
  return json_integer_value (value) < 0 ? 0
                                        : (uint64_t)json_integer_value (value);
}

uint64_t
rgy_store_json_get_revision (const json_t *object, const char *name)
{
  uint64_t revision = rgy_store_json_get_u64 (object, name);

  return revision > INT64_MAX ? 0 : revision;
}

json_t *
rgy_store_json_u64 (uint64_t value)
{
  char text[U64_TEXT_BYTES];

  g_snprintf (text, sizeof text, "%" PRIu64, value);
  return json_string (text);
}

bool
rgy_store_json_get_header (const json_t *answer,
                           struct rgy_store_header *header)
{
  const json_t *object = json_object_get (answer, "header");

  header->cluster_id = rgy_store_json_get_u64 (object, "cluster_id");
  header->revision = rgy_store_json_get_revision (object, "revision");
  return json_is_object (object);
}

GBytes *
rgy_store_json_get_bytes (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  gsize len = 0;
  guchar *data;

  if (text == NULL || text[0] == '\0')
    return g_bytes_new_static ("", 0);
  data = g_base64_decode (text, &len);
  return g_bytes_new_take (data, len);
}

json_t *
rgy_store_json_bytes (struct rgy_bytes bytes)
{
  char *text = g_base64_encode (bytes.data, bytes.len);
  json_t *json = json_string (text);

  g_free (text);
  return json;
}

json_t *
rgy_store_json_str (struct rgy_str text)
{
  return rgy_store_json_bytes ((struct rgy_bytes){
      .data = (const uint8_t *)text.data, .len = text.len });
}

json_t *
rgy_store_json_range (struct rgy_str key, struct rgy_str end)
{
  json_t *range = json_object ();

  json_object_set_new (range, "key", rgy_store_json_str (key));
  if (end.len > 0)
    json_object_set_new (range, "range_end", rgy_store_json_str (end));
  return range;
}

json_t *
rgy_store_json_put (struct rgy_str key, struct rgy_bytes value, uint64_t lease)
{
  json_t *put = json_object ();

  json_object_set_new (put, "key", rgy_store_json_str (key));
  json_object_set_new (put, "value", rgy_store_json_bytes (value));
  if (lease != 0)
    json_object_set_new (put, "lease", rgy_store_json_u64 (lease));
  return put;
}

json_t *
rgy_store_json_delete (struct rgy_str key, struct rgy_str end)
{
  return rgy_store_json_range (key, end);
}

json_t *
rgy_store_json_compare_mod (struct rgy_str key, uint64_t revision)
{
  json_t *compare = json_object ();

  json_object_set_new (compare, "key", rgy_store_json_str (key));
  json_object_set_new (compare, "target", json_string ("MOD"));
  json_object_set_new (compare, "result", json_string ("EQUAL"));
  json_object_set_new (compare, "mod_revision", rgy_store_json_u64 (revision));
  return compare;
}

json_t *
rgy_store_json_op_range (json_t *range)
{
  return json_pack ("{s:o}", "request_range", range);
}

json_t *
rgy_store_json_op_put (json_t *put)
{
  return json_pack ("{s:o}", "request_put", put);
}

json_t *
rgy_store_json_op_delete (json_t *delete_range)
{
  return json_pack ("{s:o}", "request_delete_range", delete_range);
}

char *
rgy_store_prefix_end (const char *prefix)
{
  char *end = g_strdup (prefix);

  end[strlen (end) - 1]++;
  return end;
}
