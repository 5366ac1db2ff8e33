#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "kv_api.h"
#include "private/ctl_plan.h"
#include "private/ctl_settings.h"

#define CONTRACT(id) "{\"customer\":\"a\",\"write_id\":\"" id "\"}"

/* Writes to the store.  The plans run against the transactions
   of the stand-in.  */

static json_t *
run_transaction_ (struct kv_store *store, json_t *plan)
{
  unsigned status = 0;
  json_t *answer = kv_api_call (store, KV_CALL_TXN, plan, 0, &status);

  assert_int_equal (status, 200);
  json_decref (plan);
  return answer;
}

static struct ctl_change
make_change_ (const char *write_id, const char *value)
{
  return (struct ctl_change){ .kind = CTL_CHANGE_CONTRACT,
                              .action = "contract put",
                              .name = "a",
                              .operator_name = "ana",
                              .write_id = write_id,
                              .value = value,
                              .time_s = 1700000000 };
}

static void
read_view_ (struct kv_store *store, const struct ctl_change *change,
            struct ctl_view *view)
{
  json_t *answer = run_transaction_ (store, ctl_plan_view (change));

  assert_true (ctl_view_parse (answer, view));
  json_decref (answer);
}

/* Writes a change that is based on VIEW.
   @return the result of the write.  */
static enum ctl_write_result
write_change_ (struct kv_store *store, const struct ctl_change *change,
               const struct ctl_view *view, uint64_t *revision,
               struct ctl_key *theirs)
{
  char *audit_key = NULL;
  json_t *answer
      = run_transaction_ (store, ctl_plan_write (change, view, &audit_key));
  enum ctl_write_result write_result;

  write_result = ctl_check_write_answer (change, view->subject.mod_revision,
                                         answer, revision, theirs);
  json_decref (answer);
  g_free (audit_key);
  return write_result;
}

/* Reads the view of a change and writes the change.
   @return the revision of the write.  */
static uint64_t
put_change_ (struct kv_store *store, const struct ctl_change *change)
{
  struct ctl_key theirs;
  struct ctl_view view;
  uint64_t revision = 0;

  read_view_ (store, change, &view);
  assert_int_equal (write_change_ (store, change, &view, &revision, &theirs),
                    CTL_WRITTEN);
  ctl_view_finish (&view);
  return revision;
}

static char *
get_value_ (const struct kv_store *store, const char *key)
{
  GBytes *bytes = g_bytes_new (key, strlen (key));
  const struct kv_pair *pair = kv_store_get (store, bytes);
  gsize len = 0;
  const char *data;

  g_bytes_unref (bytes);
  if (pair == NULL)
    return NULL;
  data = g_bytes_get_data (pair->value, &len);
  return g_strndup (data, len);
}

static unsigned
count_keys_ (const struct kv_store *store, const char *prefix)
{
  struct kv_interval interval;
  unsigned count;
  char *end = g_strdup (prefix);
  GPtrArray *pairs;

  end[strlen (end) - 1]++;
  interval.key = g_bytes_new (prefix, strlen (prefix));
  interval.end = g_bytes_new (end, strlen (end));
  pairs = kv_store_range (store, &interval);
  count = pairs->len;
  g_ptr_array_unref (pairs);
  kv_interval_finish (&interval);
  g_free (end);
  return count;
}

/* Guards against a contract, its earlier version and the audit record that do
   not change together, and against an audit record that does not state who
   changed what.  */
static void
write_keeps_history_and_audit_ (void **state)
{
  struct ctl_change first = make_change_ ("w1", CONTRACT ("w1"));
  struct ctl_change second = make_change_ ("w2", CONTRACT ("w2"));
  struct kv_store store;
  json_t *record;
  uint64_t old;
  uint64_t new;
  char *text;
  char *key;

  (void)state;
  kv_store_init (&store);
  old = put_change_ (&store, &first);
  new = put_change_ (&store, &second);
  assert_true (new > old);
  text = get_value_ (&store, "/ragwortyoke/contracts/a");
  assert_string_equal (text, CONTRACT ("w2"));
  g_free (text);
  key = g_strdup_printf ("/ragwortyoke/history/a/%020u", (unsigned)old);
  text = get_value_ (&store, key);
  assert_string_equal (text, CONTRACT ("w1"));
  g_free (text);
  g_free (key);
  text = get_value_ (&store, "/ragwortyoke/audit/0001");
  record = json_loads (text, 0, NULL);
  assert_string_equal (
      json_string_value (json_object_get (record, "operator")), "ana");
  assert_string_equal (json_string_value (json_object_get (record, "action")),
                       "contract put");
  assert_int_equal (
      json_integer_value (json_object_get (record, "before_revision")), old);
  assert_string_equal (json_string_value (json_object_get (
                           json_object_get (record, "before"), "write_id")),
                       "w1");
  assert_string_equal (json_string_value (json_object_get (
                           json_object_get (record, "after"), "write_id")),
                       "w2");
  json_decref (record);
  g_free (text);
  kv_store_finish (&store);
}

/* Guards against history and audit records that grow without limit or lose the
   newest records.  */
static void
history_and_audit_are_bounded_ (void **state)
{
  struct kv_store store;
  struct ctl_change change;
  char *audit;
  char *head;
  unsigned i;

  (void)state;
  kv_store_init (&store);
  change = make_change_ ("w", CONTRACT ("w"));
  for (i = 0; i < CTL_AUDIT_SLOTS + 7; i++)
    put_change_ (&store, &change);
  assert_int_equal (count_keys_ (&store, "/ragwortyoke/history/a/"),
                    CTL_HISTORY_KEPT);
  assert_int_equal (count_keys_ (&store, "/ragwortyoke/audit/"),
                    CTL_AUDIT_SLOTS + 1);
  head = get_value_ (&store, "/ragwortyoke/audit/head");
  assert_string_equal (head, "1007");
  audit = get_value_ (&store, "/ragwortyoke/audit/0999");
  assert_non_null (audit);
  g_free (audit);
  g_free (head);
  kv_store_finish (&store);
}

/* Two operators change one contract at the same time.  Guards
   against both writes taking effect, and against a conflict message
   without both versions.  */
static void
conflict_shows_both_versions_ (void **state)
{
  struct ctl_change mine
      = make_change_ ("mine", "{\"customer\":\"a\",\"callers\":"
                              "[\"10.0.0.0/8\"]}");
  struct ctl_change other
      = make_change_ ("other", "{\"customer\":\"a\",\"callers\""
                               ":[\"11.0.0.0/8\"],\"write_id\":"
                               "\"other\"}");
  struct ctl_key theirs;
  struct ctl_view view;
  struct kv_store store;
  uint64_t revision = 0;
  json_t *json;
  char *text;

  (void)state;
  kv_store_init (&store);
  read_view_ (&store, &mine, &view);
  put_change_ (&store, &other);
  assert_int_equal (write_change_ (&store, &mine, &view, &revision, &theirs),
                    CTL_WRITE_CONFLICT);
  assert_int_equal (theirs.mod_revision, 2);
  text = ctl_format_conflict (&mine, 0, &theirs);
  assert_non_null (strstr (text, "--- yours, based on revision 0"));
  assert_non_null (strstr (text, "10.0.0.0/8"));
  assert_non_null (strstr (text, "--- stored, revision 2"));
  assert_non_null (strstr (text, "11.0.0.0/8"));
  assert_null (strstr (text, "write_id"));
  json = ctl_conflict_json (&mine, 0, &theirs);
  assert_int_equal (json_integer_value (json_object_get (
                        json_object_get (json, "stored"), "revision")),
                    2);
  json_decref (json);
  g_free (text);
  ctl_key_finish (&theirs);
  ctl_view_finish (&view);
  kv_store_finish (&store);
}

/* A change of another customer takes the audit slot.  Guards against a
   report of this as a conflict, and against overwriting the other
   change's audit record.  */
static void
concurrent_audit_write_is_not_a_conflict_ (void **state)
{
  struct ctl_change mine = make_change_ ("mine", CONTRACT ("mine"));
  struct ctl_change other = make_change_ ("other", CONTRACT ("other"));
  struct ctl_key theirs;
  struct ctl_view view;
  struct kv_store store;
  uint64_t revision = 0;

  (void)state;
  other.name = "b";
  kv_store_init (&store);
  read_view_ (&store, &mine, &view);
  put_change_ (&store, &other);
  assert_int_equal (write_change_ (&store, &mine, &view, &revision, &theirs),
                    CTL_NOT_WRITTEN);
  ctl_view_finish (&view);
  put_change_ (&store, &mine);
  assert_int_equal (count_keys_ (&store, "/ragwortyoke/audit/"), 3);
  kv_store_finish (&store);
}

/* Events around a write whose answer was lost, and the expected result.  */
struct lost_answer_case_
{
  const char *name;
  bool was_written;
  bool other_follows; /* Another write takes effect: after this one or, when
                         WAS_WRITTEN is false, instead of it.  */
  bool deletes;
  enum ctl_write_result write_result;
};

/* Guards against a wrong report after a lost answer: the write took
   effect, did not take effect, or conflicts with another operator's.  The
   cases include a write that was replaced later and a deletion, which
   leaves no value.  */
static void
lost_answer_is_resolved_ (void **state)
{
  static const struct lost_answer_case_ cases[] = {
    { "written", true, false, false, CTL_WRITTEN },
    { "written, then replaced", true, true, false, CTL_WRITTEN },
    { "not written", false, false, false, CTL_NOT_WRITTEN },
    { "beaten", false, true, false, CTL_WRITE_CONFLICT },
    { "deleted", true, false, true, CTL_WRITTEN },
    { "deleted, then written", true, true, true, CTL_WRITTEN },
    { "not deleted", false, false, true, CTL_NOT_WRITTEN },
    { "beaten deletion", false, true, true, CTL_WRITE_CONFLICT },
  };
  struct ctl_change first = make_change_ ("first", CONTRACT ("first"));
  struct ctl_change other = make_change_ ("other", CONTRACT ("other"));
  struct ctl_change mine;
  struct ctl_key theirs;
  struct ctl_view view;
  struct kv_store store;
  uint64_t revision;
  uint64_t expected;
  char *audit_key;
  json_t *answer;
  json_t *plan;
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      print_message ("%s\n", cases[i].name);
      mine
          = make_change_ ("mine", cases[i].deletes ? NULL : CONTRACT ("mine"));
      kv_store_init (&store);
      put_change_ (&store, &first);
      read_view_ (&store, &mine, &view);
      plan = ctl_plan_write (&mine, &view, &audit_key);
      expected = 0;
      if (cases[i].was_written)
        {
          json_decref (run_transaction_ (&store, json_incref (plan)));
          expected = store.revision;
        }
      if (cases[i].other_follows)
        put_change_ (&store, &other);
      answer
          = run_transaction_ (&store, ctl_plan_read_back (&mine, audit_key));
      revision = 0;
      assert_int_equal (
          ctl_check_read_back_answer (&mine, view.subject.mod_revision, answer,
                                      &revision, &theirs),
          cases[i].write_result);
      if (cases[i].write_result == CTL_WRITTEN)
        assert_int_equal (revision, expected);
      assert_int_equal (cases[i].write_result == CTL_WRITE_CONFLICT,
                        theirs.key != NULL);
      ctl_key_finish (&theirs);
      json_decref (answer);

      /* Sending the same transaction again must not write twice.  */
      expected = store.revision;
      answer = run_transaction_ (&store, plan);
      if (cases[i].was_written)
        assert_int_equal (store.revision, expected);
      json_decref (answer);
      g_free (audit_key);
      ctl_view_finish (&view);
      kv_store_finish (&store);
    }
}

/* Guards against an unexpected answer of the store that counts as success.  */
static void
malformed_answers_are_detected_ (void **state)
{
  struct ctl_change mine = make_change_ ("mine", CONTRACT ("mine"));
  json_t *answer = json_pack ("{s:b}", "succeeded", 1);
  struct ctl_key theirs;
  struct ctl_view view;
  uint64_t revision = 0;

  (void)state;
  assert_int_equal (
      ctl_check_write_answer (&mine, 0, answer, &revision, &theirs),
      CTL_ANSWER_MALFORMED);
  assert_int_equal (
      ctl_check_read_back_answer (&mine, 0, answer, &revision, &theirs),
      CTL_ANSWER_MALFORMED);
  assert_false (ctl_view_parse (answer, &view));
  assert_false (ctl_view_parse (NULL, &view));
  json_decref (answer);
}

/* Guards against a contract that is sent without its write ID, and against a
   write ID that is shown to operators.  */
static void
write_id_is_added_and_hidden_ (void **state)
{
  char *text = ctl_add_write_id ("{ \"customer\": \"a\" }", "id");
  char *shown = ctl_format_contract (text);

  (void)state;
  assert_string_equal (text, "{\"customer\":\"a\",\"write_id\":\"id\"}");
  assert_string_equal (shown, "{\n  \"customer\": \"a\"\n}");
  assert_null (ctl_add_write_id ("[]", "id"));
  g_free (text);
  g_free (shown);
}

/* Parsing of settings.  */

static enum rgy_outcome
parse_line_ (const char *line, struct ctl_settings *settings, char **help,
             struct rgy_check_error *error)
{
  char **words = g_strsplit (line, " ", 0);
  enum rgy_outcome rc;

  error->text[0] = '\0';
  rc = ctl_settings_parse (words, settings, help, error);
  g_strfreev (words);
  return rc;
}

/* Guards against error messages that do not name the setting, its value and
   the allowed values.  */
static void
setting_errors_name_value_and_allowed_values_ (void **state)
{
  static const struct
  {
    const char *line;
    const char *message;
  } cases[] = {
    { "ctl", "\"\" is not a command, must be contract "
             "put|get|list|delete|history, domain out|in|list, status or "
             "audit" },
    { "ctl contract", "\"contract\" is not a command, must be contract "
                      "put|get|list|delete|history, domain out|in|list, "
                      "status or audit" },
    { "ctl contract get", "contract get takes CUSTOMER, got 0 arguments" },
    { "ctl audit x", "audit takes no argument, got 1 arguments" },
    { "ctl audit", "--store is not set, must be a comma-separated list of "
                   "A.B.C.D:PORT" },
    { "ctl audit --store host:1",
      "--store is \"host:1\", must be a comma-separated list of A.B.C.D:PORT "
      "with ports 1 to 65535" },
    { "ctl contract get a/b --store 127.0.0.1:1",
      "CUSTOMER is \"a/b\", must be 1 to 62 characters a-z, A-Z, 0-9, '-', "
      "'_' and '.'" },
    { "ctl status", "--balancers is not set, must be a comma-separated list "
                    "of A.B.C.D:PORT" },
    { "ctl domain out d --store 127.0.0.1:1 --operator ana",
      "--balancers is not set, must be a comma-separated list of "
      "A.B.C.D:PORT unless --no-wait is given" },
    { "ctl domain out d --store 127.0.0.1:1 --balancers 127.0.0.1:2",
      "--operator is not set, must be the name of the operator for the audit "
      "record" },
    { "ctl audit --store 127.0.0.1:1 --timeout-ms 5",
      "--timeout-ms is \"5\", must be a number from 100 to 600000" },
    { "ctl audit --store 127.0.0.1:1 --operator-token short",
      "--operator-token (value not shown) must be 8 to 128 printable ASCII "
      "characters without blanks" },
    { "ctl audit --store 127.0.0.1:1 --expect-revision 5",
      "--expect-revision is \"5\", allowed only for contract put and contract "
      "delete" },
    { "ctl contract put f --store 127.0.0.1:1 --no-wait --operator o "
      "--expect-revision -5",
      "--expect-revision is \"-5\", must be a number from 0 to "
      "9223372036854775807" },
    { "ctl audit --stor 127.0.0.1:1", "Unknown option --stor" },
  };
  struct ctl_settings settings;
  struct rgy_check_error error;
  char *help;
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      assert_int_equal (parse_line_ (cases[i].line, &settings, &help, &error),
                        RGY_ERR_INVALID);
      assert_string_equal (error.text, cases[i].message);
      assert_null (help);
    }
}

/* Guards against environment variables that override flags or
   are not validated.  */
static void
settings_come_from_flags_and_environment_ (void **state)
{
  struct ctl_settings settings;
  struct rgy_check_error error;
  char *help;

  (void)state;
  setenv ("RAGWORTYOKE_STORE", "127.0.0.1:1,127.0.0.1:2", 1);
  setenv ("RAGWORTYOKE_OPERATOR", "ana", 1);
  setenv ("RAGWORTYOKE_TIMEOUT_MS", "250", 1);
  assert_int_equal (
      parse_line_ ("ctl --json contract put f.json --balancers "
                   "127.0.0.1:3 --operator bea --expect-revision 9",
                   &settings, &help, &error),
      RGY_OK);
  assert_int_equal (settings.command, CTL_CONTRACT_PUT);
  assert_string_equal (settings.argument, "f.json");
  assert_string_equal (settings.stores[1], "127.0.0.1:2");
  assert_string_equal (settings.balancers[0], "127.0.0.1:3");
  assert_string_equal (settings.operator_name, "bea");
  assert_int_equal (settings.timeout_ms, 250);
  assert_true (settings.json);
  assert_true (settings.has_expected);
  assert_int_equal (settings.expected, 9);
  ctl_settings_finish (&settings);
  setenv ("RAGWORTYOKE_TIMEOUT_MS", "x", 1);
  assert_int_equal (parse_line_ ("ctl audit", &settings, &help, &error),
                    RGY_ERR_INVALID);
  assert_string_equal (
      error.text,
      "--timeout-ms is \"x\", must be a number from 100 to 600000");
  unsetenv ("RAGWORTYOKE_TIMEOUT_MS");
  unsetenv ("RAGWORTYOKE_OPERATOR");
  unsetenv ("RAGWORTYOKE_STORE");
}

/* Guards against a command whose help needs other settings.  */
static void
every_command_has_help_ (void **state)
{
  struct ctl_settings settings;
  struct rgy_check_error error;
  char *help;
  char *line;
  int c;

  (void)state;
  for (c = 0; c < CTL_COMMAND_COUNT; c++)
    {
      line = g_strdup_printf ("ctl %s --help", ctl_command_string[c]);
      assert_int_equal (parse_line_ (line, &settings, &help, &error),
                        RGY_ERR_UNSUPPORTED);
      assert_non_null (strstr (help, ctl_command_string[c]));
      assert_non_null (strstr (help, "--store=LIST"));
      g_free (help);
      g_free (line);
    }
  assert_int_equal (parse_line_ ("ctl --help", &settings, &help, &error),
                    RGY_ERR_UNSUPPORTED);
  assert_non_null (strstr (help, "contract history CUSTOMER"));
  g_free (help);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (write_keeps_history_and_audit_),
    cmocka_unit_test (history_and_audit_are_bounded_),
    cmocka_unit_test (conflict_shows_both_versions_),
    cmocka_unit_test (concurrent_audit_write_is_not_a_conflict_),
    cmocka_unit_test (lost_answer_is_resolved_),
    cmocka_unit_test (malformed_answers_are_detected_),
    cmocka_unit_test (write_id_is_added_and_hidden_),
    cmocka_unit_test (setting_errors_name_value_and_allowed_values_),
    cmocka_unit_test (settings_come_from_flags_and_environment_),
    cmocka_unit_test (every_command_has_help_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
