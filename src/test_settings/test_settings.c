#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke-io/settings.h"

#define KEY "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1E1F"
#define MAX_ARGS 64

static const char *const balancer_args_[] = { "--id",
                                              "b1",
                                              "--domain",
                                              "poa-a",
                                              "--listen",
                                              "127.0.0.1:7000",
                                              "--http",
                                              "0.0.0.0:7001",
                                              "--store",
                                              "127.0.0.1:2379,127.0.0.2:2379",
                                              "--cluster-key",
                                              KEY,
                                              "--fabric-listen",
                                              "127.0.0.1:7002",
                                              "--fabric",
                                              "127.0.0.1:7003",
                                              "--sync",
                                              "127.0.0.1:7004",
                                              "--operator-token",
                                              "token-for-tests",
                                              NULL };
static const char *const agent_args_[] = { "--id",
                                           "a1",
                                           "--domain",
                                           "poa-a",
                                           "--listen",
                                           "127.0.0.1:7000",
                                           "--http",
                                           "127.0.0.1:7001",
                                           "--store",
                                           "127.0.0.1:2379",
                                           "--cluster-key",
                                           KEY,
                                           "--service",
                                           "127.0.10.1:5683",
                                           "--backend",
                                           "127.0.0.1:5683",
                                           NULL };

struct parse_run_
{
  struct rgy_settings settings;
  struct rgy_check_error error;
  enum rgy_outcome outcome;
};

/* Parses ROLE with the arguments of BASE, except the flag WITHOUT, followed by
   FLAG and VALUE when they are not NULL.  */
static void
parse_arguments_ (struct parse_run_ *run, const char *role,
                  const char *const *base, const char *without,
                  const char *flag, const char *value)
{
  char *argv[MAX_ARGS] = { (char *)"ragwortyoked", (char *)role };
  int argc = 2;
  size_t i;

  for (i = 0; base[i] != NULL; i += 2)
    {
      if (without != NULL && strcmp (without, base[i]) == 0)
        continue;
      argv[argc++] = (char *)base[i];
      argv[argc++] = (char *)base[i + 1];
    }
  if (flag != NULL)
    argv[argc++] = (char *)flag;
  if (value != NULL)
    argv[argc++] = (char *)value;
  run->outcome = rgy_settings_parse (argc, argv, &run->settings, &run->error);
}

static void
expect_error_ (const char *role, const char *const *base, const char *flag,
               const char *value, const char *message)
{
  struct parse_run_ run;

  parse_arguments_ (&run, role, base, flag, flag, value);
  assert_string_equal (run.error.text, message);
  assert_int_equal (run.outcome, RGY_ERR_INVALID);
  assert_null (run.settings.store);
}

/* Guards against a setting that is stored in the wrong member or has the wrong
   default, which would change the behaviour of a process without notice.  */
static void
valid_flags_fill_all_members_ (void **state)
{
  struct parse_run_ run;
  char *text;

  (void)state;
  parse_arguments_ (&run, "balancer", balancer_args_, NULL, "--seeds",
                    "127.0.0.1:1,127.0.0.1:2");
  assert_string_equal (run.error.text, "");
  assert_int_equal (run.outcome, RGY_OK);
  assert_int_equal (run.settings.seed_count, 2);
  assert_int_equal (run.settings.cluster_key[31], 0x1f);
  text = rgy_settings_format (&run.settings);
  assert_string_equal (text, "role = balancer\n"
                             "id = b1\n"
                             "domain = poa-a\n"
                             "listen = 127.0.0.1:7000\n"
                             "http = 0.0.0.0:7001\n"
                             "store = 127.0.0.1:2379,127.0.0.2:2379\n"
                             "seeds = 127.0.0.1:1,127.0.0.1:2\n"
                             "cluster-key = (set)\n"
                             "log-level = info\n"
                             "drain-timeout-ms = 5000\n"
                             "fabric-listen = 127.0.0.1:7002\n"
                             "fabric = 127.0.0.1:7003\n"
                             "sync = 127.0.0.1:7004\n"
                             "operator-token = (set)\n");
  g_free (text);
  rgy_settings_finish (&run.settings);

  parse_arguments_ (&run, "agent", agent_args_, NULL, "--check", NULL);
  assert_string_equal (run.error.text, "");
  assert_int_equal (run.outcome, RGY_OK);
  assert_true (run.settings.check_only);
  text = rgy_settings_format (&run.settings);
  assert_string_equal (text, "role = agent\n"
                             "id = a1\n"
                             "domain = poa-a\n"
                             "listen = 127.0.0.1:7000\n"
                             "http = 127.0.0.1:7001\n"
                             "store = 127.0.0.1:2379\n"
                             "seeds = \n"
                             "cluster-key = (set)\n"
                             "log-level = info\n"
                             "drain-timeout-ms = 60000\n"
                             "service = 127.0.10.1:5683\n"
                             "backend = 127.0.0.1:5683\n"
                             "slots = 4\n"
                             "connections = 2000\n"
                             "queue = 16\n"
                             "deadline-ms = 2000\n"
                             "idle-timeout-s = 86400\n");
  g_free (text);
  rgy_settings_finish (&run.settings);
}

/* Guards against error messages without the setting, its value or
   the allowed range.  */
static void
errors_name_setting_value_and_range_ (void **state)
{
  (void)state;
  expect_error_ ("agent", agent_args_, "--slots", "0",
                 "--slots: \"0\": must be an integer from 1 to 1024");
  expect_error_ ("agent", agent_args_, "--slots", "1025",
                 "--slots: \"1025\": must be an integer from 1 to 1024");
  expect_error_ ("agent", agent_args_, "--queue", "-1",
                 "--queue: \"-1\": must be an integer from 0 to 1024");
  expect_error_ ("agent", agent_args_, "--connections", "5x",
                 "--connections: \"5x\": must be an integer from 1 to 65536");
  expect_error_ ("agent", agent_args_, "--deadline-ms", "",
                 "--deadline-ms: \"\": must be an integer from 1 to 60000");
  expect_error_ ("agent", agent_args_, "--idle-timeout-s",
                 "99999999999999999999999",
                 "--idle-timeout-s: \"99999999999999999999999\": must be an "
                 "integer from 1 to 604800");
  expect_error_ ("agent", agent_args_, "--backend", "localhost:80",
                 "--backend: \"localhost:80\": must be A.B.C.D:PORT, not "
                 "0.0.0.0, port 1 to 65535");
  expect_error_ ("agent", agent_args_, "--listen", "0.0.0.0:80",
                 "--listen: \"0.0.0.0:80\": must be A.B.C.D:PORT, not "
                 "0.0.0.0, port 1 to 65535");
  expect_error_ ("agent", agent_args_, "--http", "1.2.3.4:0",
                 "--http: \"1.2.3.4:0\": must be A.B.C.D:PORT, port 1 to "
                 "65535");
  expect_error_ ("agent", agent_args_, "--log-level", "loud",
                 "--log-level: \"loud\": must be error, warning, info or "
                 "debug");
  expect_error_ ("agent", agent_args_, "--id", "a b\n",
                 "--id: \"a b\\n\": must be 1 to 62 characters from a-z, A-Z, "
                 "0-9, '-', '_' and '.'");
  expect_error_ ("agent", agent_args_, "--store", "127.0.0.1:1,",
                 "--store: \"127.0.0.1:1,\": must be 1 to 16 different "
                 "A.B.C.D:PORT, separated by commas");
  expect_error_ ("agent", agent_args_, "--seeds", "127.0.0.1:1,127.0.0.1:1",
                 "--seeds: \"127.0.0.1:1,127.0.0.1:1\": must be 1 to 16 "
                 "different A.B.C.D:PORT, separated by commas");
  expect_error_ ("agent", agent_args_, "--seeds",
                 "1.1.1.1:1,1.1.1.1:2,1.1.1.1:3,1.1.1.1:4,1.1.1.1:5,"
                 "1.1.1.1:6,1.1.1.1:7,1.1.1.1:8,1.1.1.1:9,1.1.1.1:10,"
                 "1.1.1.1:11,1.1.1.1:12,1.1.1.1:13,1.1.1.1:14,1.1.1.1:15,"
                 "1.1.1.1:16,1.1.1.1:17",
                 "--seeds: \"1.1.1.1:1,1.1.1.1:2,1.1.1.1:3,1.1.1.1:4,"
                 "1.1.1.1:5,1.1.1.1:6,1.1....\": must be 1 to 16 different "
                 "A.B.C.D:PORT, separated by commas");
  expect_error_ ("balancer", balancer_args_, "--fabric-listen",
                 "127.0.0.1:7000",
                 "--fabric-listen: \"127.0.0.1:7000\": must differ from "
                 "--listen");
  expect_error_ ("balancer", balancer_args_, "--sync", "127.0.0.1:1x",
                 "--sync: \"127.0.0.1:1x\": must be A.B.C.D:PORT, not "
                 "0.0.0.0, port 1 to 65535");
}

/* Guards against secrets that reach terminals and logs
   through error messages.  */
static void
messages_do_not_show_secrets_ (void **state)
{
  (void)state;
  expect_error_ ("agent", agent_args_, "--cluster-key", "abc123",
                 "--cluster-key: (6 characters): must be 64 hexadecimal "
                 "digits");
  expect_error_ ("balancer", balancer_args_, "--operator-token", "short",
                 "--operator-token: (5 characters): must be 8 to 256 "
                 "printable ASCII characters without spaces");
}

/* Guards against a process that starts without a required setting and then
   fails later with a less clear error.  */
static void
missing_required_settings_are_rejected_ (void **state)
{
  static const struct
  {
    const char *role;
    const char *const *args;
  } roles[] = { { "balancer", balancer_args_ }, { "agent", agent_args_ } };
  struct parse_run_ run;
  size_t r;
  size_t i;

  (void)state;
  for (r = 0; r < G_N_ELEMENTS (roles); r++)
    for (i = 0; roles[r].args[i] != NULL; i += 2)
      {
        parse_arguments_ (&run, roles[r].role, roles[r].args, roles[r].args[i],
                          NULL, NULL);
        assert_int_equal (run.outcome, RGY_ERR_INVALID);
        assert_ptr_equal (strstr (run.error.text, roles[r].args[i]),
                          run.error.text);
        assert_non_null (strstr (run.error.text, ": not set: must be "));
      }
}

/* Guards against environment variables that override flags, and against an
   error message that names the flag instead of the variable.  */
static void
environment_is_used_and_checked_ (void **state)
{
  struct parse_run_ run;

  (void)state;
  g_setenv ("RAGWORTYOKE_SLOTS", "7", TRUE);
  g_setenv ("RAGWORTYOKE_CLUSTER_KEY", KEY, TRUE);
  g_setenv ("RAGWORTYOKE_QUEUE", "", TRUE);
  parse_arguments_ (&run, "agent", agent_args_, "--cluster-key", NULL, NULL);
  assert_int_equal (run.outcome, RGY_OK);
  assert_int_equal (run.settings.slots, 7);
  assert_int_equal (run.settings.queue, 16);
  assert_int_equal (run.settings.cluster_key[1], 1);
  rgy_settings_finish (&run.settings);

  parse_arguments_ (&run, "agent", agent_args_, NULL, "--slots", "9");
  assert_int_equal (run.outcome, RGY_OK);
  assert_int_equal (run.settings.slots, 9);
  rgy_settings_finish (&run.settings);

  g_setenv ("RAGWORTYOKE_SLOTS", "many", TRUE);
  parse_arguments_ (&run, "agent", agent_args_, NULL, NULL, NULL);
  assert_int_equal (run.outcome, RGY_ERR_INVALID);
  assert_string_equal (run.error.text,
                       "RAGWORTYOKE_SLOTS: \"many\": must be an integer from "
                       "1 to 1024");
  /* Variables of the other role are not read.  */
  parse_arguments_ (&run, "balancer", balancer_args_, NULL, NULL, NULL);
  assert_int_equal (run.outcome, RGY_OK);
  rgy_settings_finish (&run.settings);
  g_unsetenv ("RAGWORTYOKE_SLOTS");
  g_unsetenv ("RAGWORTYOKE_CLUSTER_KEY");
  g_unsetenv ("RAGWORTYOKE_QUEUE");
}

/* Guards against a mistyped flag or subcommand that is ignored.  */
static void
unknown_input_is_rejected_ (void **state)
{
  struct parse_run_ run;
  char *none[] = { (char *)"ragwortyoked", NULL };

  (void)state;
  parse_arguments_ (&run, "agent", agent_args_, NULL, "--operator-token",
                    "12345678");
  assert_int_equal (run.outcome, RGY_ERR_INVALID);
  assert_string_equal (run.error.text, "ragwortyoked agent: Unknown option "
                                       "--operator-token");
  parse_arguments_ (&run, "agent", agent_args_, NULL, "--slots", NULL);
  assert_int_equal (run.outcome, RGY_ERR_INVALID);
  assert_non_null (strstr (run.error.text, "--slots"));
  parse_arguments_ (&run, "agent", agent_args_, NULL, "extra", NULL);
  assert_int_equal (run.outcome, RGY_ERR_INVALID);
  assert_string_equal (
      run.error.text,
      "\"extra\": unexpected argument: only flags are allowed");
  parse_arguments_ (&run, "proxy", agent_args_, NULL, NULL, NULL);
  assert_int_equal (run.outcome, RGY_ERR_INVALID);
  assert_string_equal (run.error.text,
                       "subcommand: \"proxy\": must be balancer or agent");
  run.outcome = rgy_settings_parse (1, none, &run.settings, &run.error);
  assert_int_equal (run.outcome, RGY_ERR_INVALID);
  assert_string_equal (run.error.text,
                       "subcommand not set: must be balancer or agent");
}

/* Guards against help and version that need the required settings.  */
static void
help_and_version_need_no_settings_ (void **state)
{
  static const char *const none[] = { NULL };
  struct parse_run_ run;

  (void)state;
  parse_arguments_ (&run, "balancer", none, NULL, "--help", NULL);
  assert_int_equal (run.outcome, RGY_ERR_UNSUPPORTED);
  parse_arguments_ (&run, "agent", none, NULL, "--help", NULL);
  assert_int_equal (run.outcome, RGY_ERR_UNSUPPORTED);
  parse_arguments_ (&run, "agent", none, NULL, "--version", NULL);
  assert_int_equal (run.outcome, RGY_ERR_UNSUPPORTED);
  parse_arguments_ (&run, "--version", none, NULL, NULL, NULL);
  assert_int_equal (run.outcome, RGY_ERR_UNSUPPORTED);
  parse_arguments_ (&run, "--help", none, NULL, NULL, NULL);
  assert_int_equal (run.outcome, RGY_ERR_UNSUPPORTED);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (valid_flags_fill_all_members_),
    cmocka_unit_test (errors_name_setting_value_and_range_),
    cmocka_unit_test (messages_do_not_show_secrets_),
    cmocka_unit_test (missing_required_settings_are_rejected_),
    cmocka_unit_test (environment_is_used_and_checked_),
    cmocka_unit_test (unknown_input_is_rejected_),
    cmocka_unit_test (help_and_version_need_no_settings_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
