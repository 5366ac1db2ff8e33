#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private/ctl_io.h"

#define POLL_US 100000

void
ctl_print_json (json_t *json)
{
  char *text = json_dumps (json, JSON_INDENT (2));

  puts (text);
  free (text);
  json_decref (json);
}

/* Joins the strings of an array in the form "a, b"; free the
   result with g_free().  */
static char *
join_names_ (const json_t *names)
{
  GString *text = g_string_new (NULL);
  json_t *name;
  size_t i;

  json_array_foreach ((json_t *)names, i, name) g_string_append_printf (
      text, "%s%s", i == 0 ? "" : ", ",
      json_is_string (name) ? json_string_value (name) : "?");
  return g_string_free (text, FALSE);
}

static int
report_confirmation_ (const struct ctl *ctl, const char *name,
                      const char *unit, uint64_t revision, const char *done,
                      int status, json_t *lagging)
{
  char *names = join_names_ (lagging);

  if (ctl->settings->json)
    ctl_print_json (json_pack (
        "{s:s, s:I, s:b, s:O}", "name", name, unit, (json_int_t)revision,
        "confirmed", status == CTL_EXIT_OK && !ctl->settings->no_wait,
        "lagging", lagging));
  else
    printf ("%s: %s, %s %" PRIu64 "%s\n", name, done, unit, revision,
            status != CTL_EXIT_OK    ? ""
            : ctl->settings->no_wait ? ", not confirmed"
                                     : ", in effect everywhere");
  if (status == CTL_EXIT_UNCONFIRMED)
    fprintf (stderr,
             "ragwortyokectl: not in effect everywhere after %u ms; lagging: "
             "%s\n",
             ctl->settings->timeout_ms,
             names[0] == '\0' ? "(names unknown)" : names);
  else if (status == CTL_EXIT_UNAVAILABLE)
    fputs ("ragwortyokectl: no balancer answers, so the change could not be "
           "confirmed\n",
           stderr);
  g_free (names);
  return status;
}

int
ctl_confirm (struct ctl *ctl, const char *query, const char *name,
             const char *unit, uint64_t revision, const char *done)
{
  int64_t deadline_ms = ctl_now_ms () + ctl->settings->timeout_ms;
  char *path = g_strconcat ("/v1/confirm?", query, NULL);
  int status = CTL_EXIT_UNAVAILABLE;
  json_t *lagging = json_array ();
  json_t *answer;

  if (ctl->settings->no_wait)
    status = CTL_EXIT_OK;
  while (status != CTL_EXIT_OK && ctl_remaining_ms (deadline_ms) > 0)
    {
      if (ctl_balancer_call (ctl, path, NULL, NULL, deadline_ms, &answer)
          == RGY_OK)
        {
          status = json_is_true (json_object_get (answer, "confirmed"))
                       ? CTL_EXIT_OK
                       : CTL_EXIT_UNCONFIRMED;
          json_array_clear (lagging);
          json_array_extend (lagging, json_object_get (answer, "lagging"));
          json_decref (answer);
        }
      if (status != CTL_EXIT_OK)
        g_usleep (POLL_US);
    }
  status = report_confirmation_ (ctl, name, unit, revision, done, status,
                                 lagging);
  json_decref (lagging);
  g_free (path);
  return status;
}
