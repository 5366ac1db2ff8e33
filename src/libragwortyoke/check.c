#include "private/check.h"

#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define JSON_FLAGS (JSON_REJECT_DUPLICATES | JSON_DECODE_ANY)

struct rgy_check_path
rgy_check_path_member (const struct rgy_check_path *parent, const char *member)
{
  struct rgy_check_path path;

  g_snprintf (path.text, sizeof path.text, "%s%s%s", parent->text,
              parent->text[0] == '\0' ? "" : ".", member);
  return path;
}

struct rgy_check_path
rgy_check_path_element (const struct rgy_check_path *parent, size_t index)
{
  struct rgy_check_path path;

  g_snprintf (path.text, sizeof path.text, "%s[%zu]", parent->text, index);
  return path;
}

/* Replaces control characters by '?'.  Error texts quote the input, whose
   control characters must not reach a terminal.  */
static void
make_printable_ (char *text)
{
  for (; *text != '\0'; text++)
    if (g_ascii_iscntrl (*text))
      *text = '?';
}

bool
rgy_check_fail (struct rgy_check_error *error,
                const struct rgy_check_path *path, const char *format, ...)
{
  char message[sizeof error->text];
  va_list ap;

  va_start (ap, format);
  g_vsnprintf (message, sizeof message, format, ap);
  va_end (ap);
  g_snprintf (error->text, sizeof error->text, "%s: %s",
              path->text[0] == '\0' ? "(top level)" : path->text, message);
  make_printable_ (error->text);
  return false;
}

json_t *
rgy_check_parse_json (struct rgy_str text, struct rgy_check_error *error)
{
  static const struct rgy_check_path root_path = { .text = "" };
  json_error_t where;
  json_t *root;

  root = json_loadb (text.data, text.len, JSON_FLAGS, &where);
  if (root == NULL)
    rgy_check_fail (error, &root_path,
                    "not valid JSON at line %d, column %d: %s", where.line,
                    where.column, where.text);
  return root;
}

static bool
is_listed_ (const char *name, const char *const *list)
{
  for (; *list != NULL; list++)
    if (strcmp (name, *list) == 0)
      return true;
  return false;
}

bool
rgy_check_object (const json_t *object, const struct rgy_check_path *path,
                  const char *const *allowed, struct rgy_check_error *error)
{
  struct rgy_check_path member;
  const char *name;
  json_t *value;
  char *list;

  if (!json_is_object (object))
    return rgy_check_fail (error, path, "must be an object");
  json_object_foreach ((json_t *)object, name, value)
  {
    if (is_listed_ (name, allowed))
      continue;
    member = rgy_check_path_member (path, name);
    list = g_strjoinv (", ", (char **)allowed);
    rgy_check_fail (error, &member, "unknown member, allowed are %s", list);
    g_free (list);
    return false;
  }
  return true;
}

bool
rgy_check_array (const json_t *value, const struct rgy_check_path *path,
                 size_t min, size_t max, struct rgy_check_error *error)
{
  if (!json_is_array (value) || json_array_size (value) < min
      || json_array_size (value) > max)
    return rgy_check_fail (
        error, path, "%s, must be an array of %zu to %zu elements",
        value == NULL           ? "is missing"
        : json_is_array (value) ? "has a wrong number of elements"
                                : "is not an array",
        min, max);
  return true;
}

struct rgy_str
rgy_check_text (const json_t *value)
{
  return (struct rgy_str){ .data = json_is_string (value)
                                       ? json_string_value (value)
                                       : "",
                           .len = json_string_length (value) };
}

bool
rgy_check_name (const json_t *value, const struct rgy_check_path *path,
                struct rgy_name *name, struct rgy_check_error *error)
{
  if (rgy_name_set (name, rgy_check_text (value)) != RGY_OK)
    return rgy_check_fail (
        error, path,
        "%s, must be a string of 1 to %d characters a-z, A-Z, 0-9, '-', '_' "
        "and '.'",
        value == NULL ? "is missing" : "is not a valid name",
        RGY_NAME_MAX_BYTES);
  return true;
}

bool
rgy_check_integer (const json_t *value, const struct rgy_check_path *path,
                   uint64_t min, uint64_t max, uint64_t *number,
                   struct rgy_check_error *error)
{
  json_int_t n = json_integer_value (value);

  if (!json_is_integer (value) || n < 0 || (uint64_t)n < min
      || (uint64_t)n > max)
    return rgy_check_fail (error, path,
                           "must be an integer from %" PRIu64 " to %" PRIu64,
                           min, max);
  *number = (uint64_t)n;
  return true;
}

bool
rgy_check_boolean (const json_t *value, const struct rgy_check_path *path,
                   bool *flag, struct rgy_check_error *error)
{
  if (!json_is_boolean (value))
    return rgy_check_fail (error, path, "must be true or false");
  *flag = json_is_true (value);
  return true;
}
