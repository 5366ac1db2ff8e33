#include "server.h"

#include <stdio.h>
#include <string.h>

/* Upper bound of --slots and --cold-limit.  */
#define COUNT_MAX 1000000

static void
on_signal_ (uv_signal_t *handle, int signum)
{
  (void)signum;
  uv_stop (handle->loop);
}

static bool
parse_endpoint_ (const char *flag, const char *text,
                 struct rgy_endpoint *endpoint)
{
  if (text != NULL
      && rgy_endpoint_parse (rgy_str_from_c (text), endpoint) == RGY_OK)
    return true;
  fprintf (stderr, "%s: A.B.C.D:PORT is required, got \"%s\"\n", flag,
           text != NULL ? text : "");
  return false;
}

int
main (int argc, char **argv)
{
  /* These variables are static, so that leak checkers find their contents
     reachable when the process ends.  */
  static char *listen_text;
  static char *control_text;
  static struct server *server;
  int slots = 4;
  int cold_limit = 1;
  int warm_after = 8;
  int work_ms = 10;
  int block_ms = 1;
  int separate_ms = 500;
  int confirm_every = 4;
  int bytes = 1 << 20;
  int observe_start = 1;
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &listen_text, "CoAP address",
      "A.B.C.D:PORT" },
    { "control", 0, 0, G_OPTION_ARG_STRING, &control_text,
      "HTTP control address", "A.B.C.D:PORT" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &slots, "Concurrency limit", "N" },
    { "cold-limit", 0, 0, G_OPTION_ARG_INT, &cold_limit,
      "Concurrency limit while cold", "N" },
    { "warm-after", 0, 0, G_OPTION_ARG_INT, &warm_after,
      "Completed executions that end the warm-up", "N" },
    { "work-ms", 0, 0, G_OPTION_ARG_INT, &work_ms, "Duration of one execution",
      "N" },
    { "block-ms", 0, 0, G_OPTION_ARG_INT, &block_ms,
      "Duration of an execution for one catalogue block", "N" },
    { "separate-ms", 0, 0, G_OPTION_ARG_INT, &separate_ms,
      "Executions of at least this duration get a separate answer", "N" },
    { "confirm-every", 0, 0, G_OPTION_ARG_INT, &confirm_every,
      "Every Nth notification is confirmable; 0: none", "N" },
    { "bytes", 0, 0, G_OPTION_ARG_INT, &bytes,
      "Size of the catalogue in bytes", "N" },
    { "observe-start", 0, 0, G_OPTION_ARG_INT, &observe_start,
      "Observe value of the first notification", "N" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *options = g_option_context_new ("- backend server stand-in");
  struct server_settings settings;
  struct rgy_endpoint listen = { 0 };
  struct rgy_endpoint control = { 0 };
  GError *error = NULL;
  uv_loop_t *loop = uv_default_loop ();
  uv_signal_t signals[2];
  int rc;

  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return 2;
    }
  g_option_context_free (options);
  if (!parse_endpoint_ ("--listen", listen_text, &listen)
      || (control_text != NULL
          && !parse_endpoint_ ("--control", control_text, &control)))
    return 2;
  if (slots < 1 || slots > COUNT_MAX || cold_limit < 1
      || cold_limit > COUNT_MAX || warm_after < 0 || work_ms < 0
      || block_ms < 0 || separate_ms < 0 || confirm_every < 0 || bytes < 1
      || observe_start < 0)
    {
      fprintf (stderr,
               "a number is out of range: --slots and --cold-limit "
               "must be 1 to %d, --bytes at least 1, all others at "
               "least 0\n",
               COUNT_MAX);
      return 2;
    }
  settings
      = (struct server_settings){ .slots = (unsigned)slots,
                                  .cold_limit = (unsigned)cold_limit,
                                  .warm_after = (unsigned)warm_after,
                                  .work_ms = (unsigned)work_ms,
                                  .block_ms = (unsigned)block_ms,
                                  .separate_ms = (unsigned)separate_ms,
                                  .confirm_every = (unsigned)confirm_every,
                                  .catalogue_bytes = (uint64_t)bytes,
                                  .observe_start = (uint32_t)observe_start };
  server = server_new (loop, &settings);
  rc = server_listen (server, listen);
  if (rc != 0)
    {
      fprintf (stderr, "--listen %s: %s\n", listen_text, uv_strerror (rc));
      return 1;
    }
  if (control_text != NULL && control_start (loop, server, control) != 0)
    {
      fprintf (stderr, "--control %s: cannot listen on this address\n",
               control_text);
      return 1;
    }
  uv_signal_init (loop, &signals[0]);
  uv_signal_start (&signals[0], on_signal_, SIGTERM);
  uv_signal_init (loop, &signals[1]);
  uv_signal_start (&signals[1], on_signal_, SIGINT);
  puts ("ready");
  fflush (stdout);
  uv_run (loop, UV_RUN_DEFAULT);
  return 0;
}
