#include "private/ctl_plan.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ragwortyoke-io/store_json.h"

static char *
subject_key_ (const struct ctl_change *change)
{
  return g_strconcat (change->kind == CTL_CHANGE_CONTRACT ? CTL_CONTRACTS
                                                          : CTL_DOMAINS,
                      change->name, NULL);
}

static json_t *
range_single_key_ (const char *key)
{
  return rgy_store_json_op_range (
      rgy_store_json_range (rgy_str_from_c (key), RGY_STR ("")));
}

json_t *
ctl_plan_view (const struct ctl_change *change)
{
  char *subject = subject_key_ (change);
  char *history = g_strconcat (CTL_HISTORY, change->name, "/", NULL);
  char *end = rgy_store_prefix_end (history);
  json_t *ops = json_array ();
  json_t *range;

  json_array_append_new (ops, range_single_key_ (subject));
  json_array_append_new (ops, range_single_key_ (CTL_AUDIT_HEAD));
  if (change->kind == CTL_CHANGE_CONTRACT)
    {
      range = rgy_store_json_range (rgy_str_from_c (history),
                                    rgy_str_from_c (end));
      json_object_set_new (range, "keys_only", json_true ());
      json_array_append_new (ops, rgy_store_json_op_range (range));
    }
  g_free (subject);
  g_free (history);
  g_free (end);
  return json_pack ("{s:o}", "success", ops);
}

void
ctl_key_finish (struct ctl_key *key)
{
  g_free (key->key);
  g_free (key->value);
  *key = (struct ctl_key){ 0 };
}

static void
key_delete_ (void *key)
{
  ctl_key_finish (key);
  g_free (key);
}

static char *
get_text_ (const json_t *kv, const char *name)
{
  GBytes *bytes = rgy_store_json_get_bytes (kv, name);
  gsize len = 0;
  const char *data = g_bytes_get_data (bytes, &len);
  char *text = g_strndup (data, len);

  g_bytes_unref (bytes);
  return text;
}

GPtrArray *
ctl_parse_range (const json_t *response_range)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (key_delete_);
  struct ctl_key *key;
  json_t *kv;
  size_t i;

  json_array_foreach (json_object_get (response_range, "kvs"), i, kv)
  {
    key = g_new0 (struct ctl_key, 1);
    key->key = get_text_ (kv, "key");
    key->value = get_text_ (kv, "value");
    key->mod_revision = rgy_store_json_get_revision (kv, "mod_revision");
    g_ptr_array_add (keys, key);
  }
  return keys;
}

/* Moves the single key of a range to OUT, if the range has one.  */
static void
move_single_key_ (const json_t *responses, size_t index, struct ctl_key *out)
{
  GPtrArray *keys = ctl_parse_range (
      json_object_get (json_array_get (responses, index), "response_range"));
  struct ctl_key *key;

  *out = (struct ctl_key){ 0 };
  if (keys->len > 0)
    {
      key = g_ptr_array_index (keys, 0);
      *out = *key;
      *key = (struct ctl_key){ 0 };
    }
  g_ptr_array_unref (keys);
}

bool
ctl_view_parse (const json_t *answer, struct ctl_view *view)
{
  const json_t *responses = json_object_get (answer, "responses");
  struct rgy_store_header header;

  *view = (struct ctl_view){ 0 };
  if (!rgy_store_json_get_header (answer, &header)
      || json_array_size (responses) < 2)
    return false;
  view->revision = header.revision;
  move_single_key_ (responses, 0, &view->subject);
  move_single_key_ (responses, 1, &view->head);
  view->history = ctl_parse_range (
      json_object_get (json_array_get (responses, 2), "response_range"));
  return true;
}

void
ctl_view_finish (struct ctl_view *view)
{
  ctl_key_finish (&view->subject);
  ctl_key_finish (&view->head);
  if (view->history != NULL)
    g_ptr_array_unref (view->history);
  *view = (struct ctl_view){ 0 };
}

static struct rgy_bytes
get_text_bytes_ (const char *text)
{
  return (struct rgy_bytes){ .data = (const uint8_t *)text,
                             .len = strlen (text) };
}

static json_t *
op_put_text_ (const char *key, const char *text)
{
  return rgy_store_json_op_put (
      rgy_store_json_put (rgy_str_from_c (key), get_text_bytes_ (text), 0));
}

/* Returns the JSON of a stored value, a JSON string when the value is not
   JSON, or JSON null when the key does not exist.  */
static json_t *
value_json_ (const char *text)
{
  json_t *value;

  if (text == NULL)
    return json_null ();
  value = json_loads (text, 0, NULL);
  return value != NULL ? value : json_string (text);
}

static char *
format_audit_record_ (const struct ctl_change *change,
                      const struct ctl_key *before)
{
  json_t *record = json_pack (
      "{s:I, s:s, s:s, s:s, s:s, s:I, s:o, s:o}", "time",
      (json_int_t)change->time_s, "operator", change->operator_name, "action",
      change->action, "name", change->name, "write_id", change->write_id,
      "before_revision", (json_int_t)before->mod_revision, "before",
      value_json_ (before->value), "after", value_json_ (change->value));
  char *text = json_dumps (record, JSON_COMPACT);

  json_decref (record);
  return text;
}

/* Adds operations that store the replaced contract in the history and delete
   the oldest versions.  */
static void
append_history_ (const struct ctl_change *change, const struct ctl_view *view,
                 json_t *ops)
{
  const struct ctl_key *old;
  char *key;
  unsigned i;

  if (change->kind != CTL_CHANGE_CONTRACT || view->subject.key == NULL)
    return;
  /* The revision is zero-padded, so that keys sort in the
     order of revisions.  */
  key = g_strdup_printf (CTL_HISTORY "%s/%020" PRIu64, change->name,
                         view->subject.mod_revision);
  json_array_append_new (ops, op_put_text_ (key, view->subject.value));
  g_free (key);
  for (i = 0; i + CTL_HISTORY_KEPT <= view->history->len; i++)
    {
      old = g_ptr_array_index (view->history, i);
      json_array_append_new (ops,
                             rgy_store_json_op_delete (rgy_store_json_delete (
                                 rgy_str_from_c (old->key), RGY_STR (""))));
    }
}

json_t *
ctl_plan_write (const struct ctl_change *change, const struct ctl_view *view,
                char **audit_key)
{
  uint64_t number = view->head.value == NULL
                        ? 0
                        : g_ascii_strtoull (view->head.value, NULL, 10);
  char *subject = subject_key_ (change);
  char *record = format_audit_record_ (change, &view->subject);
  char *next = g_strdup_printf ("%" PRIu64, number + 1);
  json_t *ops = json_array ();
  json_t *plan;

  *audit_key = g_strdup_printf (CTL_AUDIT_RING "%04u",
                                (unsigned)(number % CTL_AUDIT_SLOTS));
  if (change->value != NULL)
    json_array_append_new (ops, op_put_text_ (subject, change->value));
  else
    json_array_append_new (ops,
                           rgy_store_json_op_delete (rgy_store_json_delete (
                               rgy_str_from_c (subject), RGY_STR (""))));
  append_history_ (change, view, ops);
  json_array_append_new (ops, op_put_text_ (*audit_key, record));
  json_array_append_new (ops, op_put_text_ (CTL_AUDIT_HEAD, next));
  plan = json_pack ("{s:[o, o], s:o, s:[o]}", "compare",
                    rgy_store_json_compare_mod (rgy_str_from_c (subject),
                                                view->subject.mod_revision),
                    rgy_store_json_compare_mod (RGY_STR (CTL_AUDIT_HEAD),
                                                view->head.mod_revision),
                    "success", ops, "failure", range_single_key_ (subject));
  g_free (subject);
  free (record);
  g_free (next);
  return plan;
}

json_t *
ctl_plan_read_back (const struct ctl_change *change, const char *audit_key)
{
  char *subject = subject_key_ (change);
  json_t *plan
      = json_pack ("{s:[o, o]}", "success", range_single_key_ (subject),
                   range_single_key_ (audit_key));

  g_free (subject);
  return plan;
}

char *
ctl_add_write_id (const char *json, const char *write_id)
{
  json_t *object = json_loads (json, 0, NULL);
  char *text = NULL;
  char *copy;

  if (json_object_set_new (object, "write_id", json_string (write_id)) == 0)
    text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  copy = g_strdup (text);
  free (text);
  return copy;
}
