#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <uv.h>

#include "platform.h"
#include "platform_store.h"
#include "store_answer.h"

/* Odd entries of other writers among those that the processes read from the
   store.  */

#define LOOPBACK 0x7f000001
#define OWN_IP 0x0a010001
#define OTHER_BALANCER_IP 0x0a01000aU
#define RUN_MS 7500
#define BALANCER_PREFIX "ragwortyoke/balancer/"
#define AGENTS_KEY "ragwortyoke/agents"
/* "10.1.0.10" and "7" in base64.  */
#define OTHER_BALANCER_VALUE "MTAuMS4wLjEw"
#define SEVEN "Nw=="

/* A store, a client of it, and what the client has reported.  */
struct fixture_
{
  uv_loop_t loop;
  struct rgy_counters *counters;
  struct rgy_rejections *rejections;
  struct standin_platform_store *standin;
  struct rgy_platform_store *client;
  GHashTable *balancers; /* Set of addresses.  */
  unsigned manifests;
  size_t listed; /* Bytes of the last list of agents.  */
  struct rgy_domain_view view;
};

static unsigned n_log_lines_;

static GLogWriterOutput
count_line_ (GLogLevelFlags level, const GLogField *fields, gsize n_fields,
             gpointer ctx)
{
  (void)level;
  (void)fields;
  (void)n_fields;
  (void)ctx;
  n_log_lines_++;
  return G_LOG_WRITER_HANDLED;
}

static void
on_manifest_ (void *ctx, struct rgy_bytes json,
              struct rgy_manifest_origin origin)
{
  struct fixture_ *f = ctx;

  (void)origin;
  f->manifests += json.len == 1 && json.data[0] == '7';
}

static void
on_view_ (void *ctx, const struct rgy_domain_view *view)
{
  struct fixture_ *f = ctx;

  f->view = *view;
}

static void
on_balancer_ (void *ctx, uint32_t ip)
{
  struct fixture_ *f = ctx;

  g_hash_table_add (f->balancers, GUINT_TO_POINTER (ip));
}

static bool
on_agents_ (void *ctx, struct rgy_bytes listed, GByteArray *wanted)
{
  struct fixture_ *f = ctx;

  (void)wanted;
  f->listed = listed.len;
  return false;
}

static int
set_up_ (void **state)
{
  struct fixture_ *f = g_new0 (struct fixture_, 1);

  n_log_lines_ = 0;
  uv_loop_init (&f->loop);
  f->counters = rgy_counters_new ();
  f->rejections = rgy_rejections_new (f->counters);
  f->standin = standin_platform_store_new (&f->loop, 1);
  f->balancers = g_hash_table_new (g_direct_hash, g_direct_equal);
  *state = f;
  return 0;
}

static int
tear_down_ (void **state)
{
  struct fixture_ *f = *state;

  rgy_platform_store_delete (f->client);
  standin_platform_store_delete (f->standin);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&f->loop), 0);
  rgy_rejections_delete (f->rejections);
  rgy_counters_delete (f->counters);
  g_hash_table_unref (f->balancers);
  g_free (f);
  return 0;
}

static void
start_client_ (struct fixture_ *f, bool watches)
{
  struct rgy_platform_store_events events = { .manifest = on_manifest_,
                                              .view = on_view_,
                                              .balancer = on_balancer_,
                                              .agents = on_agents_,
                                              .ctx = f };
  struct rgy_platform_store_settings settings = {
    .address
    = { .ip = LOOPBACK, .port = standin_platform_store_get_port (f->standin) },
    .own_ip = OWN_IP,
    .recovery_ms = 4000,
    .counters = f->counters,
    .rejections = f->rejections,
  };

  f->client = watches
                  ? rgy_platform_store_watch (&f->loop, &settings, &events)
                  : rgy_platform_store_discover (&f->loop, &settings, &events);
}

static void
on_timer_ (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

static void
run_ (struct fixture_ *f, unsigned ms)
{
  uv_timer_t timer;

  uv_timer_init (&f->loop, &timer);
  uv_timer_start (&timer, on_timer_, ms, 0);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  uv_close ((uv_handle_t *)&timer, NULL);
  uv_run (&f->loop, UV_RUN_NOWAIT);
}

static void
put_ (struct fixture_ *f, const char *key, const char *value, int64_t lease)
{
  standin_platform_store_put_len (f->standin, key, strlen (key), value, lease);
}

/* Puts entries that name no balancer around the one that does.  */
static void
put_odd_balancers_ (struct fixture_ *f)
{
  static const char with_nul[] = BALANCER_PREFIX "10.1.0.10\0x";
  static const char *const bad_names[]
      = { "",           "7",           "10.1.0",     "10.1.0.256",
          "10.1.0.9:1", "10.1.0.9:99", "0.0.0.0",    "255.255.255.255",
          "224.0.0.1",  "[[[[[[[[[[",  "10.1.0.9 ",  "4294967296",
          "\xc3\xa4",   "10.1.0.9/",   "10.1.0.9\n", "x" };
  char *long_name = g_strnfill (150, 'a');
  char *key = g_strconcat (BALANCER_PREFIX, long_name, NULL);
  size_t i;

  standin_platform_store_put_len (f->standin, with_nul, sizeof with_nul - 1,
                                  OTHER_BALANCER_VALUE, 7);
  put_ (f, key, OTHER_BALANCER_VALUE, 7);
  for (i = 0; i < G_N_ELEMENTS (bad_names); i++)
    {
      g_free (key);
      key = g_strconcat (BALANCER_PREFIX, bad_names[i], NULL);
      put_ (f, key, OTHER_BALANCER_VALUE, 7);
    }
  /* Entries whose value or lease is not that of a registration.  */
  put_ (f, BALANCER_PREFIX "10.1.0.20", "", 7);
  put_ (f, BALANCER_PREFIX "10.1.0.21", "%%%", 7);
  put_ (f, BALANCER_PREFIX "10.1.0.22", SEVEN, 7);
  put_ (f, BALANCER_PREFIX "10.1.0.23", OTHER_BALANCER_VALUE, 7);
  put_ (f, BALANCER_PREFIX "10.1.0.10", OTHER_BALANCER_VALUE, 7);
  put_ (f, BALANCER_PREFIX "10.1.0.24", "MTAuMS4wLjI0", 0);
  g_free (key);
  g_free (long_name);
}

static void
assert_only_the_balancer_is_found_ (struct fixture_ *f)
{
  assert_int_equal (g_hash_table_size (f->balancers), 1);
  assert_true (g_hash_table_contains (f->balancers,
                                      GUINT_TO_POINTER (OTHER_BALANCER_IP)));
}

/* An agent did not find any balancer as long as one odd entry lay among
   theirs, or used addresses that do not exist.  It must find the one that is
   valid, and a poll must not repeat pages or log lines.  */
static void
agent_finds_the_balancer_among_odd_entries_ (void **state)
{
  struct fixture_ *f = *state;
  unsigned n_lines;

  put_odd_balancers_ (f);
  start_client_ (f, false);
  run_ (f, 1000);
  assert_only_the_balancer_is_found_ (f);
  n_lines = n_log_lines_;
  assert_true (n_lines > 0 && n_lines <= RGY_REJECTION_MAX_REASONS + 1);
  run_ (f, 2000);
  assert_int_equal (n_log_lines_, n_lines);
  /* 25 items are 7 pages; polls are 0.4 s apart.  */
  assert_in_range (
      standin_platform_store_count (f->standin, STANDIN_CALL_RANGE), 7, 63);
  assert_true (rgy_counters_get (f->counters, "rejected_total",
                                 "source=\"store-entry\"")
               > 20);
}

/* A balancer must register and follow the operators' keys in spite of odd
   entries among its own and the operators' keys, also if these come later.  */
static void
balancer_follows_the_store_among_odd_entries_ (void **state)
{
  static const char odd_domain[] = "op/evacuate/poa\0b";
  struct fixture_ *f = *state;
  unsigned n_lines;

  put_odd_balancers_ (f);
  put_ (f, "op/evacuate/", "e30=", 0);
  put_ (f, "op/evacuate/a b", "e30=", 0);
  put_ (f, "op/evacuate/a/b", "e30=", 0);
  put_ (f, "op/config", "%%%", 0);
  put_ (f, "op/unknown", "e30=", 0);
  standin_platform_store_put_len (f->standin, odd_domain,
                                  sizeof odd_domain - 1, "e30=", 0);
  start_client_ (f, true);
  run_ (f, 1000);
  assert_non_null (
      standin_platform_store_get (f->standin, BALANCER_PREFIX "10.1.0.1"));
  assert_only_the_balancer_is_found_ (f);
  assert_int_equal (f->view.n_out, 0);
  put_ (f, "op/config", "%%%", 0);
  standin_platform_store_put_len (f->standin, odd_domain,
                                  sizeof odd_domain - 1, "e30=", 0);
  put_ (f, "op/evacuate/poa-a", "e30=", 0);
  put_ (f, "op/config", SEVEN, 0);
  n_lines = n_log_lines_;
  run_ (f, RUN_MS);
  assert_int_equal (f->view.n_out, 1);
  assert_string_equal (f->view.out[0].data, "poa-a");
  assert_int_equal (f->manifests, 1);
  assert_int_equal (n_log_lines_, n_lines);
}

/* A list of agents of another writer made a starting balancer ask as many
   addresses as it holds.  One that is too long, not whole or not base64 must
   count as empty.  */
static void
odd_list_of_agents_counts_as_empty_ (void **state)
{
  static const char *const odd[] = { "%%%", "Cg==", "CgIAAQo=", "CgIA" };
  struct fixture_ *f = *state;
  char *long_list = g_strnfill (400000, 'A');
  size_t i;

  put_ (f, AGENTS_KEY, "CgIAAQoCAAI=", 0);
  start_client_ (f, true);
  run_ (f, 300);
  assert_int_equal (f->listed, 8);
  rgy_platform_store_delete (f->client);
  for (i = 0; i <= G_N_ELEMENTS (odd); i++)
    {
      put_ (f, AGENTS_KEY, i < G_N_ELEMENTS (odd) ? odd[i] : long_list, 0);
      f->listed = 1;
      start_client_ (f, true);
      run_ (f, 300);
      assert_int_equal (f->listed, 0);
      if (i < G_N_ELEMENTS (odd))
        rgy_platform_store_delete (f->client);
    }
  g_free (long_list);
}

/* Decoding of single answers.  */

#define VALID_FIELDS                                                          \
  "\"key\":\"a\",\"value\":\"Nw==\",\"revision\":9,\"create_rev\":3,"         \
  "\"lease\":7"
/* Nesting beyond the parser's limit.  */
#define TOO_DEEP 5000

static struct rgy_bytes
make_bytes_ (const char *text)
{
  return (struct rgy_bytes){ .data = (const uint8_t *)text,
                             .len = strlen (text) };
}

static char *
repeat_ (const char *part, size_t n)
{
  GString *text = g_string_new (NULL);

  while (n-- > 0)
    g_string_append (text, part);
  return g_string_free (text, FALSE);
}

static const char *
read_entry_ (const char *text)
{
  struct rgy_platform_store_entry entry;
  const char *why = rgy_platform_store_entry_read (&entry, make_bytes_ (text));

  rgy_platform_store_entry_clear (&entry);
  return why;
}

/* All fields of an entry and of a deletion must be decoded.  */
static void
entry_is_decoded_ (void **state)
{
  struct rgy_platform_store_entry entry;

  (void)state;
  assert_null (rgy_platform_store_entry_read (
      &entry, make_bytes_ ("{" VALID_FIELDS ",\"new\":[1]}")));
  assert_true (rgy_str_equal (entry.key, RGY_STR ("a")));
  assert_int_equal (entry.revision, 9);
  assert_int_equal (entry.lease, 7);
  assert_int_equal (g_bytes_get_size (entry.value), 1);
  assert_false (entry.removed);
  rgy_platform_store_entry_clear (&entry);
  assert_null (rgy_platform_store_entry_read (
      &entry,
      make_bytes_ ("{\"key\":\"a\",\"revision\":9,\"tombstone\":true}")));
  assert_true (entry.removed);
  rgy_platform_store_entry_clear (&entry);
}

/* An entry with a field that is missing, of another type or out of range must
   be rejected as a whole, with a reason that names the field.  */
static void
malformed_entry_is_rejected_ (void **state)
{
  static const struct
  {
    const char *field;
    const char *valid; /* The field as it stands in VALID_FIELDS.  */
  } fields[] = {
    { "key", "\"key\":\"a\"," },       { "value", "\"value\":\"Nw==\"," },
    { "revision", "\"revision\":9," }, { "create_rev", "\"create_rev\":3," },
    { "lease", ",\"lease\":7" },
  };
  static const char *const odd[] = { "null",
                                     "true",
                                     "[]",
                                     "{}",
                                     "1.5",
                                     "\"\"",
                                     "-1",
                                     "\"9\"",
                                     "9223372036854775807",
                                     "\"%\"",
                                     "\"Nw==\\u0000\"",
                                     "\"Nw=\"" };
  size_t i;
  size_t k;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (fields); i++)
    for (k = 0; k <= G_N_ELEMENTS (odd); k++)
      {
        char **parts = g_strsplit ("{" VALID_FIELDS "}", fields[i].valid, 2);
        char *text
            = k < G_N_ELEMENTS (odd)
                  ? g_strdup_printf ("%s%s\"%s\":%s%s%s", parts[0],
                                     i == 4 ? "," : "", fields[i].field,
                                     odd[k], i == 4 ? "" : ",", parts[1])
                  : g_strconcat (parts[0], parts[1], NULL);
        const char *why = read_entry_ (text);
        /* Values that the field may have.  */
        bool is_allowed
            = k < G_N_ELEMENTS (odd)
              && ((strcmp (fields[i].field, "key") == 0
                   && (strcmp (odd[k], "\"9\"") == 0
                       || strcmp (odd[k], "\"%\"") == 0
                       || strcmp (odd[k], "\"Nw=\"") == 0))
                  || (strcmp (fields[i].field, "value") == 0
                      && strcmp (odd[k], "\"\"") == 0)
                  || (odd[k][0] == '9'
                      && (strcmp (fields[i].field, "revision") == 0
                          || strcmp (fields[i].field, "lease") == 0)));

        if (is_allowed)
          assert_null (why);
        else
          {
            assert_non_null (why);
            assert_true (g_str_has_prefix (why, fields[i].field));
          }
        g_free (text);
        g_strfreev (parts);
      }
  assert_non_null (read_entry_ ("{\"key\":\"a\",\"revision\":9}"));
  assert_non_null (
      read_entry_ ("{\"key\":\"a\",\"revision\":9,\"tombstone\":1}"));
  assert_non_null (read_entry_ ("{" VALID_FIELDS ",\"lease\":8}"));
}

/* One entry that the parser cannot represent made the whole answer unreadable:
   the process repeated the call and never got the others.  */
static void
unreadable_entry_leaves_the_others_ (void **state)
{
  char *arrays = repeat_ ("[", TOO_DEEP);
  char *ends = repeat_ ("]", TOO_DEEP);
  char *nested = g_strconcat (arrays, ends, NULL);
  char *odd[] = { g_strdup (nested),
                  g_strdup_printf ("{\"key\":%s}", nested),
                  g_strdup ("{\"key\":\"a\",\"revision\":1e99999}"),
                  g_strdup ("{\"revision\":99999999999999999999}"),
                  g_strdup ("{\"key\":\"\xff\xfe\"}"),
                  g_strdup ("{\"key\":\"\\udcff\"}"),
                  g_strdup ("{\"key\":\"a]}\\\"\\u0000\"}"),
                  g_strdup ("null"),
                  g_strdup ("7"),
                  g_strdup (""),
                  g_strdup ("\"],[\""),
                  g_strdup ("{\"key\" \"a\"}") };
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      char *text = g_strdup_printf (
          "{\"other\":{\"items\":[1]},\"items\" : [ {" VALID_FIELDS
          "},%s,{" VALID_FIELDS "} ],\"more_pages\":true,\"current_rev\":530}",
          odd[i]);
      struct rgy_platform_store_answer answer;
      unsigned n_valid = 0;
      guint k;

      assert_true (rgy_platform_store_answer_read (&answer, make_bytes_ (text),
                                                   "items"));
      assert_int_equal (answer.list->len, 3);
      assert_int_equal (
          json_integer_value (json_object_get (answer.fields, "current_rev")),
          530);
      assert_true (
          json_is_true (json_object_get (answer.fields, "more_pages")));
      for (k = 0; k < answer.list->len; k++)
        {
          struct rgy_platform_store_entry entry;

          n_valid
              += rgy_platform_store_entry_read (
                     &entry, g_array_index (answer.list, struct rgy_bytes, k))
                 == NULL;
          rgy_platform_store_entry_clear (&entry);
        }
      assert_int_equal (n_valid, 2);
      rgy_platform_store_answer_clear (&answer);
      g_free (text);
      g_free (odd[i]);
    }
  g_free (nested);
  g_free (ends);
  g_free (arrays);
}

/* An answer that is damaged outside its entries must count as a failed
   call.  */
static void
damaged_answer_is_rejected_ (void **state)
{
  static const char *const damaged[]
      = { "",
          "[]",
          "null",
          "{",
          "}",
          "{\"items\":[",
          "{\"items\":[{}",
          "{\"items\":[{]}",
          "{\"items\":[}]}",
          "{\"items\":[{\"key\":\"a}]}",
          "{\"items\":[]",
          "{\"items\":[],}",
          "{\"items\":[]}x",
          "{\"items\":[],\"current_rev\":1e99999}",
          "\xff" };
  struct rgy_platform_store_answer answer;
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (damaged); i++)
    assert_false (rgy_platform_store_answer_read (
        &answer, make_bytes_ (damaged[i]), "items"));
  assert_true (rgy_platform_store_answer_read (
      &answer, make_bytes_ ("{\"items\":[ ],\"current_rev\":5}"), "items"));
  assert_int_equal (answer.list->len, 0);
  rgy_platform_store_answer_clear (&answer);
  assert_true (rgy_platform_store_answer_read (
      &answer, make_bytes_ ("{\"lease\":5}"), "items"));
  assert_int_equal (answer.list->len, 0);
  rgy_platform_store_answer_clear (&answer);
}

int
main (void)
{
#define WITH_STORE(test)                                                      \
  cmocka_unit_test_setup_teardown (test, set_up_, tear_down_)
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (entry_is_decoded_),
    cmocka_unit_test (malformed_entry_is_rejected_),
    cmocka_unit_test (unreadable_entry_leaves_the_others_),
    cmocka_unit_test (damaged_answer_is_rejected_),
    WITH_STORE (agent_finds_the_balancer_among_odd_entries_),
    WITH_STORE (balancer_follows_the_store_among_odd_entries_),
    WITH_STORE (odd_list_of_agents_counts_as_empty_),
  };

  g_log_set_writer_func (count_line_, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
