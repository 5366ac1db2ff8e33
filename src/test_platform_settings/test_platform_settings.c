#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include <glib/gstdio.h>
#include <unistd.h>

#include "platform.h"
#include "ragwortyoke/clock.h"

static const char agent_settings_[]
    = "[instance]\nname=side-1\nip=10.1.0.12\nfailure-domain=poa-a\n"
      "first-start=true\nseeds=10.1.0.10:8166,junk,10.2.0.40:8166\n"
      "[backend-server]\nservice=workshop\naddress=10.1.0.12:8165\n"
      "heartbeat-ms=1200\n"
      "[listen]\npackets=10.1.0.12:8172\nfrom-backend-server=10.1.0.12:8162\n"
      "readiness=\nheartbeats=10.1.0.12:8166\ninternal-ports=7720,7735\n"
      "[store]\naddress=10.200.1.7:8169\nrecovery-ms=3000\n"
      "[flows]\nlifetime-s=60\nmemory-mb=128\ncold-overshoot=1.5\n"
      "cold-slack=5\nunknown=1\n";

static enum rgy_outcome
load_text_ (const char *text, bool agent,
            struct rgy_platform_settings *settings, char **why)
{
  char *path = NULL;
  int fd = g_file_open_tmp ("settings-XXXXXX", &path, NULL);
  enum rgy_outcome rc;

  assert_true (fd >= 0);
  close (fd);
  assert_true (g_file_set_contents (path, text, -1, NULL));
  rc = rgy_platform_settings_load (path, agent, settings, why);
  g_unlink (path);
  g_free (path);
  return rc;
}

/* Values must be read in the units of the settings file; an invalid seed and
   an unknown key must not stop the process.  */
static void
settings_are_read_ (void **state)
{
  struct rgy_platform_settings s;
  char *why = NULL;

  (void)state;
  assert_int_equal (load_text_ (agent_settings_, true, &s, &why), RGY_OK);
  assert_null (why);
  assert_int_equal (s.ip, 0x0a01000c);
  assert_true (s.first_start);
  assert_int_equal (s.n_seeds, 2);
  assert_int_equal (s.heartbeat_us, 1200 * RGY_US_PER_MS);
  assert_int_equal (s.control_port, 7720);
  assert_int_equal (s.returned_port, 7721);
  assert_int_equal (s.store_recovery_ms, 3000);
  assert_int_equal (s.flow_ttl_us, 60 * RGY_US_PER_S);
  assert_true (s.cold_overshoot > 1.49 && s.cold_overshoot < 1.51);
}

/* An invalid value must be rejected with an error that names its key, or an
   operator cannot find it.  The test replaces one value at a time.  */
static void
error_names_the_invalid_setting_ (void **state)
{
  static const struct
  {
    const char *key;
    const char *value;
  } bad[] = { { "name", "" },
              { "name", "a b" },
              { "ip", "10.1.0" },
              { "failure-domain", "" },
              { "service", "" },
              { "address", "nowhere" },
              { "heartbeat-ms", "-5" },
              { "recovery-ms", "soon" },
              { "packets", "10.1.0.12" },
              { "from-backend-server", "" },
              { "heartbeats", "10.1.0.12:0" },
              { "internal-ports", "7720" },
              { "internal-ports", "7720,7720" },
              { "lifetime-s", "soon" },
              { "cold-overshoot", "nan" },
              { "memory-mb", "1e3" } };
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      struct rgy_platform_settings s;
      char *pattern = g_strdup_printf ("(?m)^%s=.*$", bad[i].key);
      char *line = g_strdup_printf ("%s=%s", bad[i].key, bad[i].value);
      GRegex *regex = g_regex_new (pattern, 0, 0, NULL);
      char *text = g_regex_replace_literal (regex, agent_settings_, -1, 0,
                                            line, 0, NULL);
      char *why = NULL;

      assert_int_equal (load_text_ (text, true, &s, &why), RGY_ERR_INVALID);
      assert_non_null (strstr (why, bad[i].key));
      g_free (why);
      g_free (text);
      g_regex_unref (regex);
      g_free (line);
      g_free (pattern);
    }
}

/* A missing settings file must be reported as such,
   not as an invalid setting.  */
static void
missing_file_is_reported_ (void **state)
{
  struct rgy_platform_settings s;
  char *why = NULL;

  (void)state;
  assert_int_equal (
      rgy_platform_settings_load ("/nonexistent/file", true, &s, &why),
      RGY_ERR_NOT_FOUND);
  assert_non_null (why);
  g_free (why);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (settings_are_read_),
    cmocka_unit_test (error_names_the_invalid_setting_),
    cmocka_unit_test (missing_file_is_reported_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
