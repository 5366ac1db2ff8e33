#include "caller.h"

#include <stdio.h>

#define MS_PER_S 1000
#define MAX_CALLERS 1000

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

/* Parses the local address, which has no port, as each caller binds a free
   port of its own.  */
static bool
parse_local_ (const char *text, struct rgy_endpoint *endpoint)
{
  char *with_port;
  bool ok;

  if (text == NULL)
    return true;
  with_port = g_strconcat (text, ":1", NULL);
  ok = rgy_endpoint_parse (rgy_str_from_c (with_port), endpoint) == RGY_OK;
  endpoint->port = 0;
  g_free (with_port);
  if (!ok)
    fprintf (stderr, "--bind: A.B.C.D is required, got \"%s\"\n", text);
  return ok;
}

int
main (int argc, char **argv)
{
  /* These variables are static, so that leak checkers find their contents
     reachable when the process ends.  */
  static char *connect_text;
  static char *bind_text;
  static char *name;
  static char *fetch_path;
  static GPtrArray *callers;
  int caller_count = 1;
  int ack_timeout_ms = 2000;
  int deadline_ms = 0;
  int interval_ms = 0;
  int attempts = 1;
  int separate_ms = 60000;
  int silence_ms = 10000;
  double watch_s = 0;
  int posts = 0;
  int until_version = 0;
  const GOptionEntry entries[] = {
    { "connect", 0, 0, G_OPTION_ARG_STRING, &connect_text, "Service address",
      "A.B.C.D:PORT" },
    { "bind", 0, 0, G_OPTION_ARG_STRING, &bind_text, "Local address",
      "A.B.C.D" },
    { "name", 0, 0, G_OPTION_ARG_STRING, &name,
      "Prefix of the record IDs; unique among callers", "NAME" },
    { "callers", 0, 0, G_OPTION_ARG_INT, &caller_count,
      "Number of callers, each with its own socket", "N" },
    { "ack-timeout-ms", 0, 0, G_OPTION_ARG_INT, &ack_timeout_ms,
      "ACK_TIMEOUT of RFC 7252", "N" },
    { "deadline-ms", 0, 0, G_OPTION_ARG_INT, &deadline_ms,
      "Deadline-Ms option of every request; 0: none", "N" },
    { "interval-ms", 0, 0, G_OPTION_ARG_INT, &interval_ms,
      "Pause between posts", "N" },
    { "attempts", 0, 0, G_OPTION_ARG_INT, &attempts,
      "Attempts for a record that was answered as not run", "N" },
    { "separate-ms", 0, 0, G_OPTION_ARG_INT, &separate_ms,
      "Time-out of a separate answer", "N" },
    { "silence-ms", 0, 0, G_OPTION_ARG_INT, &silence_ms,
      "Register an observation again after this time without a notification",
      "N" },
    { "watch", 0, 0, G_OPTION_ARG_DOUBLE, &watch_s,
      "Observe the board for this time", "SECONDS" },
    { "until-version", 0, 0, G_OPTION_ARG_INT, &until_version,
      "End the watch at this version of the board; 0: never", "N" },
    { "post", 0, 0, G_OPTION_ARG_INT, &posts, "Number of records to post",
      "N" },
    { "fetch", 0, 0, G_OPTION_ARG_STRING, &fetch_path,
      "Fetch a resource block-wise", "PATH" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *options = g_option_context_new ("- caller stand-in");
  struct caller_settings settings = { 0 };
  GError *error = NULL;
  uv_loop_t *loop = uv_default_loop ();
  int i;

  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return 2;
    }
  g_option_context_free (options);
  if (!parse_endpoint_ ("--connect", connect_text, &settings.connect)
      || !parse_local_ (bind_text, &settings.local))
    return 2;
  if (caller_count < 1 || caller_count > MAX_CALLERS || ack_timeout_ms < 1
      || deadline_ms < 0 || deadline_ms > RGY_COAP_DEADLINE_MAX_MS
      || interval_ms < 0 || attempts < 1 || separate_ms < 1 || silence_ms < 1
      || watch_s < 0 || posts < 0 || until_version < 0)
    {
      fprintf (stderr,
               "a number is out of range: --callers must be 1 to %d, "
               "--deadline-ms 0 to %d, --attempts and the time-outs at least "
               "1, all others at least 0\n",
               MAX_CALLERS, RGY_COAP_DEADLINE_MAX_MS);
      return 2;
    }
  if (name == NULL)
    name = g_strdup_printf ("caller-%u", g_random_int ());
  settings.ack_timeout_ms = (unsigned)ack_timeout_ms;
  settings.deadline_ms = (unsigned)deadline_ms;
  settings.interval_ms = (unsigned)interval_ms;
  settings.attempts = (unsigned)attempts;
  settings.separate_ms = (unsigned)separate_ms;
  settings.silence_ms = (unsigned)silence_ms;
  settings.watch_ms = (unsigned)(watch_s * MS_PER_S);
  settings.until_version = (uint64_t)until_version;
  settings.posts = (unsigned)posts;
  settings.fetch_path = fetch_path;
  if (settings.watch_ms == 0 && posts == 0 && fetch_path == NULL)
    {
      fprintf (stderr, "at least one of --watch, --post and --fetch is "
                       "required\n");
      return 2;
    }
  callers = g_ptr_array_new ();
  for (i = 0; i < caller_count; i++)
    {
      char *caller_name = caller_count == 1
                              ? g_strdup (name)
                              : g_strdup_printf ("%s.%d", name, i);
      struct caller *caller = caller_new (loop, &settings, caller_name);
      int rc = caller_open (caller);

      g_free (caller_name);
      if (rc != 0)
        {
          fprintf (stderr, "cannot open a UDP socket: %s\n", uv_strerror (rc));
          return 1;
        }
      g_ptr_array_add (callers, caller);
    }
  puts ("ready");
  fflush (stdout);
  for (i = 0; i < caller_count; i++)
    caller_start (g_ptr_array_index (callers, i));
  uv_run (loop, UV_RUN_DEFAULT);
  return 0;
}
