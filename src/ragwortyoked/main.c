#include <glib.h>
#include <stdio.h>
#include <sys/resource.h>

#include "daemon.h"
#include "ragwortyoke-io/log.h"

/* Number of files that an agent opens in addition to one socket
   for each flow.  */
#define OTHER_FILE_COUNT 256

/* Raises the limit of open files, since an agent needs one socket
   for each flow.  */
static void
raise_file_limit_ (const struct rgy_settings *settings)
{
  struct rlimit limit;
  rlim_t wanted = settings->connections + OTHER_FILE_COUNT;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= wanted)
    return;
  limit.rlim_cur = MIN (wanted, limit.rlim_max);
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur < wanted)
    rgy_log_warning (
        "only %" G_GUINT64_FORMAT " open files are allowed, %" G_GUINT64_FORMAT
        " are needed for --connections %u",
        (guint64)limit.rlim_cur, (guint64)wanted, settings->connections);
}

int
main (int argc, char **argv)
{
  struct rgy_settings settings;
  struct rgy_check_error error;
  enum rgy_outcome rc = rgy_settings_parse (argc, argv, &settings, &error);
  int status = 0;
  char *text;

  if (rc == RGY_ERR_UNSUPPORTED)
    return 0;
  if (rc != RGY_OK)
    {
      fprintf (stderr, "ragwortyoked: %s\n", error.text);
      return 1;
    }
  if (settings.check_only)
    {
      text = rgy_settings_format (&settings);
      fputs (text, stdout);
      g_free (text);
      rgy_settings_finish (&settings);
      return 0;
    }
  rgy_log_init (rgy_role_string[settings.role], settings.id.data,
                settings.log_level);
  switch (settings.role)
    {
    case RGY_ROLE_BALANCER:
      status = rgy_balancer_main (&settings);
      break;
    case RGY_ROLE_AGENT:
      raise_file_limit_ (&settings);
      status = rgy_agent_main (&settings);
      break;
    }
  rgy_settings_finish (&settings);
  return status;
}
