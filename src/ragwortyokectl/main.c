#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>

#include "private/ctl_io.h"

int
main (int argc, char **argv)
{
  struct ctl_settings settings;
  struct rgy_check_error error;
  struct ctl ctl
      = { .settings = &settings, .order_store_ms = CTL_ORDER_STORE_MS };
  enum rgy_outcome rc;
  char *help;
  int status;

  (void)argc;
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    {
      fputs ("ragwortyokectl: cannot initialise libsodium or libcurl\n",
             stderr);
      return CTL_EXIT_UNAVAILABLE;
    }
  rc = ctl_settings_parse (argv, &settings, &help, &error);
  if (rc == RGY_ERR_UNSUPPORTED)
    {
      fputs (help, stdout);
      g_free (help);
      return CTL_EXIT_OK;
    }
  if (rc != RGY_OK)
    {
      fprintf (stderr, "ragwortyokectl: %s\n", error.text);
      return CTL_EXIT_USAGE;
    }
  switch (settings.command)
    {
    case CTL_CONTRACT_PUT:
    case CTL_CONTRACT_DELETE:
      status = ctl_run_contract_write (&ctl);
      break;
    case CTL_DOMAIN_OUT:
    case CTL_DOMAIN_IN:
      status = ctl_run_domain_write (&ctl);
      break;
    default:
      status = ctl_run_read (&ctl);
      break;
    }
  ctl_settings_finish (&settings);
  curl_global_cleanup ();
  return status;
}
