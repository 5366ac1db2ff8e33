#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"

/* Mutation of JSON texts: changes one value of the text.  */

#define MAX_COPIES 300

struct edit_
{
  size_t target;  /* Number of the value to change, in visiting order.  */
  size_t visited; /* Values visited so far.  */
  uint64_t *state;
};

/* Number of values: the value itself and all values in its arrays and
   objects.  */
static size_t
count_values_ (const json_t *value)
{
  size_t count = 1;
  const char *key;
  json_t *child;
  size_t i;

  json_array_foreach ((json_t *)value, i, child) count
      += count_values_ (child);
  json_object_foreach ((json_t *)value, key, child) count
      += count_values_ (child);
  return count;
}

/* String at the limits of addresses, prefixes, numbers or names, or the old
   one truncated.  */
static json_t *
build_text_ (const char *old, uint64_t *state)
{
  static const char *const texts[]
      = { "",
          "x",
          "0.0.0.0/0",
          "127.0.0.0/33",
          "255.255.255.255:65535",
          "127.0.0.1:0",
          "-1",
          "18446744073709551615",
          "18446744073709551616",
          "ffffffffffffffff",
          "0123456789012345678901234567890123456789012345678901234567890123" };
  size_t at = fuzz_random_below (state, G_N_ELEMENTS (texts) + 1);
  size_t len = strlen (old);

  if (at < G_N_ELEMENTS (texts))
    return json_string (texts[at]);
  return json_stringn (old, fuzz_random_below (state, len + 1));
}

/* Number at the limits of the integer types, or half of the old one.  */
static json_t *
build_number_ (json_int_t old, uint64_t *state)
{
  const json_int_t values[]
      = { 0, -1, 1, old / 2, UINT16_MAX, INT32_MAX, INT64_MAX, INT64_MIN };

  return json_integer (
      values[fuzz_random_below (state, G_N_ELEMENTS (values))]);
}

static json_t *
build_other_type_ (uint64_t *state)
{
  switch (fuzz_random_below (state, 5))
    {
    case 0:
      return json_null ();
    case 1:
      return json_array ();
    case 2:
      return json_object ();
    case 3:
      return json_real (1e300);
    default:
      return json_string ("x");
    }
}

/* Removes a random element of an array, or appends up to MAX_COPIES copies of
   it.  An empty array stays empty.  */
static void
change_array_ (json_t *array, uint64_t *state)
{
  size_t size = json_array_size (array);
  size_t copies = 1 + fuzz_random_below (state, MAX_COPIES);
  json_t *element;
  size_t at;

  if (size == 0)
    return;
  at = fuzz_random_below (state, size);
  if (fuzz_random_below (state, 2) == 0)
    {
      json_array_remove (array, at);
      return;
    }
  element = json_deep_copy (json_array_get (array, at));
  for (; copies > 0; copies--)
    json_array_append (array, element);
  json_decref (element);
}

/* Removes a random member of an object, or adds an unknown one.  */
static void
change_object_ (json_t *object, uint64_t *state)
{
  size_t at = fuzz_random_below (state, json_object_size (object) + 1);
  void *iter = json_object_iter (object);

  for (; iter != NULL && at > 0; at--)
    iter = json_object_iter_next (object, iter);
  if (iter == NULL)
    json_object_set_new (object, "unknown", json_true ());
  else
    json_object_del (object, json_object_iter_key (iter));
}

/* Changed version of a value, as a new reference.  */
static json_t *
change_value_ (json_t *value, uint64_t *state)
{
  if (fuzz_random_below (state, 16) == 0)
    return build_other_type_ (state);
  switch (json_typeof (value))
    {
    case JSON_STRING:
      return build_text_ (json_string_value (value), state);
    case JSON_INTEGER:
      return build_number_ (json_integer_value (value), state);
    case JSON_TRUE:
      return json_false ();
    case JSON_FALSE:
      return json_true ();
    case JSON_ARRAY:
      change_array_ (value, state);
      return json_incref (value);
    case JSON_OBJECT:
      change_object_ (value, state);
      return json_incref (value);
    default:
      return build_other_type_ (state);
    }
}

/* Value in which the part that @p edit selects is changed, as a new
   reference.  */
static json_t *
edit_value_ (json_t *value, struct edit_ *edit)
{
  const char *key;
  json_t *child;
  void *next;
  size_t i;

  if (edit->visited++ == edit->target)
    return change_value_ (value, edit->state);
  json_array_foreach (value, i, child)
      json_array_set_new (value, i, edit_value_ (child, edit));
  json_object_foreach_safe (value, next, key, child)
      json_object_set_new (value, key, edit_value_ (child, edit));
  return json_incref (value);
}

bool
fuzz_mutate_structure (GByteArray *input, uint64_t *state)
{
  json_t *json = json_loadb ((const char *)input->data, input->len, 0, NULL);
  struct edit_ edit = { .state = state };
  json_t *changed;
  char *text;

  if (json == NULL)
    return false;
  edit.target = fuzz_random_below (state, count_values_ (json));
  changed = edit_value_ (json, &edit);
  text = json_dumps (changed, JSON_COMPACT | JSON_ENCODE_ANY);
  if (text != NULL)
    {
      g_byte_array_set_size (input, 0);
      g_byte_array_append (input, (const guint8 *)text, (guint)strlen (text));
    }
  free (text);
  json_decref (changed);
  json_decref (json);
  return true;
}
