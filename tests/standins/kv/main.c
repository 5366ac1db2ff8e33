#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "kv_server.h"

static volatile sig_atomic_t stop_requested_;

static void
on_signal_ (int number)
{
  (void)number;
  stop_requested_ = 1;
}

int
main (int argc, char **argv)
{
  struct sigaction action = { .sa_handler = on_signal_ };
  struct rgy_endpoint endpoint = { 0 };
  struct kv_server *server = NULL;
  GError *error = NULL;
  GOptionContext *context;
  struct pollfd pfd;
  char *listen_text = NULL;
  int status = EXIT_FAILURE;
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &listen_text,
      "Address to listen on", "A.B.C.D:PORT" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };

  context = g_option_context_new ("- key-value service stand-in");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "rgy-standin-kv: %s\n", error->message);
      goto out;
    }
  if (listen_text == NULL
      || rgy_endpoint_parse (rgy_str_from_c (listen_text), &endpoint)
             != RGY_OK)
    {
      fprintf (stderr,
               "rgy-standin-kv: --listen is \"%s\", must be A.B.C.D:PORT with "
               "port 1 to 65535\n",
               listen_text == NULL ? "" : listen_text);
      goto out;
    }
  server = kv_server_new (endpoint);
  if (server == NULL)
    {
      fprintf (stderr, "rgy-standin-kv: cannot listen on %s\n", listen_text);
      goto out;
    }
  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  puts ("ready");
  fflush (stdout);
  pfd = (struct pollfd){ .fd = kv_server_get_fd (server), .events = POLLIN };
  while (!stop_requested_)
    {
      if (poll (&pfd, 1, kv_server_get_timeout_ms (server)) < 0
          && errno != EINTR)
        goto out;
      kv_server_run (server);
    }
  status = EXIT_SUCCESS;

out:
  kv_server_delete (server);
  g_option_context_free (context);
  g_clear_error (&error);
  g_free (listen_text);
  return status;
}
