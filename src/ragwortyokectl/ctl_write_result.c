#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "private/ctl_plan.h"
#include "ragwortyoke-io/store_json.h"

#define INDENT JSON_INDENT (2)

/* True when a stored value or audit record contains this write ID.  The write
   ID of an order is the ID of the order.  */
static bool
has_write_id_ (const char *text, const char *write_id)
{
  json_t *object = text == NULL ? NULL : json_loads (text, 0, NULL);
  const char *id = json_string_value (json_object_get (object, "write_id"));
  bool same;

  if (id == NULL)
    id = json_string_value (json_object_get (object, "id"));
  same = id != NULL && strcmp (id, write_id) == 0;
  json_decref (object);
  return same;
}

static void
move_first_key_ (const json_t *answer, size_t index, struct ctl_key *out)
{
  const json_t *response
      = json_array_get (json_object_get (answer, "responses"), index);
  GPtrArray *keys
      = ctl_parse_range (json_object_get (response, "response_range"));
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

/* Determines the result of a write from the current value of its subject.  The
   function takes ownership of CURRENT.  */
static enum ctl_write_result
check_subject_ (const struct ctl_change *change, uint64_t base,
                struct ctl_key *current, uint64_t *revision,
                struct ctl_key *theirs)
{
  enum ctl_write_result write_result = CTL_WRITE_CONFLICT;

  if (has_write_id_ (current->value, change->write_id))
    {
      *revision = current->mod_revision;
      write_result = CTL_WRITTEN;
    }
  else if (current->mod_revision == base)
    write_result = CTL_NOT_WRITTEN;
  if (write_result == CTL_WRITE_CONFLICT)
    *theirs = *current;
  else
    ctl_key_finish (current);
  return write_result;
}

enum ctl_write_result
ctl_check_write_answer (const struct ctl_change *change, uint64_t base,
                        const json_t *answer, uint64_t *revision,
                        struct ctl_key *theirs)
{
  struct rgy_store_header header;
  struct ctl_key current;

  *theirs = (struct ctl_key){ 0 };
  if (!rgy_store_json_get_header (answer, &header))
    return CTL_ANSWER_MALFORMED;
  if (json_is_true (json_object_get (answer, "succeeded")))
    {
      *revision = header.revision;
      return CTL_WRITTEN;
    }
  move_first_key_ (answer, 0, &current);
  return check_subject_ (change, base, &current, revision, theirs);
}

enum ctl_write_result
ctl_check_read_back_answer (const struct ctl_change *change, uint64_t base,
                            const json_t *answer, uint64_t *revision,
                            struct ctl_key *theirs)
{
  struct rgy_store_header header;
  struct ctl_key current;
  struct ctl_key record;
  bool recorded;

  *theirs = (struct ctl_key){ 0 };
  if (!rgy_store_json_get_header (answer, &header))
    return CTL_ANSWER_MALFORMED;
  /* The audit record is written in the same transaction.  It proves that a
     deletion took effect, or a write whose value was replaced later.  */
  move_first_key_ (answer, 1, &record);
  recorded = has_write_id_ (record.value, change->write_id);
  *revision = record.mod_revision;
  ctl_key_finish (&record);
  if (recorded)
    return CTL_WRITTEN;
  move_first_key_ (answer, 0, &current);
  return check_subject_ (change, base, &current, revision, theirs);
}

char *
ctl_format_contract (const char *json)
{
  json_t *object = json_loads (json, 0, NULL);
  char *text;
  char *copy;

  if (object == NULL)
    return g_strdup (json);
  json_object_del (object, "write_id");
  text = json_dumps (object, INDENT);
  json_decref (object);
  copy = g_strdup (text);
  free (text);
  return copy;
}

static char *
format_version_ (const char *value)
{
  return value == NULL ? g_strdup ("(deleted)") : ctl_format_contract (value);
}

char *
ctl_format_conflict (const struct ctl_change *change, uint64_t base,
                     const struct ctl_key *theirs)
{
  char *mine = format_version_ (change->value);
  char *stored = format_version_ (theirs->value);
  char *text;

  text = g_strdup_printf (
      "conflict: another operator changed %s %s first; nothing was "
      "written\n"
      "--- yours, based on revision %" PRIu64 "\n%s\n"
      "--- stored, revision %" PRIu64 "\n%s\n",
      change->kind == CTL_CHANGE_CONTRACT ? "contract" : "failure domain",
      change->name, base, mine, theirs->mod_revision, stored);
  g_free (mine);
  g_free (stored);
  return text;
}

static json_t *
version_json_ (uint64_t revision, const char *value)
{
  json_t *object = value == NULL ? NULL : json_loads (value, 0, NULL);

  json_object_del (object, "write_id");
  return json_pack ("{s:I, s:o}", "revision", (json_int_t)revision, "value",
                    object != NULL ? object : json_null ());
}

json_t *
ctl_conflict_json (const struct ctl_change *change, uint64_t base,
                   const struct ctl_key *theirs)
{
  return json_pack ("{s:s, s:s, s:o, s:o}", "error", "conflict", "name",
                    change->name, "yours", version_json_ (base, change->value),
                    "stored",
                    version_json_ (theirs->mod_revision, theirs->value));
}
