#define G_LOG_DOMAIN "ragwortyoke"

#include "ragwortyoke-io/log.h"

#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

struct log_state_
{
  char prefix[96];
  GLogLevelFlags most_verbose;
  bool installed; /* GLib allows the writer to be set only once per process. */
  bool rate_limited; /* Write to standard output, at most MAX_LINES_PER_S.  */
  gint64 current_second;    /* Second of the monotonic clock.  */
  unsigned lines_in_second; /* Lines written in that second.  */
  unsigned left_out;        /* Lines left out since the last written one.  */
};

/* Limits the cost of a burst of log lines; lines above the limit are left out
   and counted.  */
#define MAX_LINES_PER_S 100
/* Share of the limit that lines about single flows may use.  */
#define MAX_FLOW_LINES_PER_S 80
/* GLib log field that is "1" in lines about single flows and "0" in others. */
#define FLOW_FIELD "RAGWORTYOKE_FLOW"
#define LINE_MAX_BYTES 640

/* Levels, from the least verbose to the most verbose.  */
static const struct
{
  const char *name;
  GLogLevelFlags flags;
} levels_[] = { { "error", G_LOG_LEVEL_CRITICAL },
                { "warning", G_LOG_LEVEL_WARNING },
                { "info", G_LOG_LEVEL_INFO },
                { "debug", G_LOG_LEVEL_DEBUG } };

static struct log_state_ state_ = { .most_verbose = G_LOG_LEVEL_INFO };

/* Writes one line without blocking.  When the reader of the output is too
   slow, lines are lost; the next line that is written gives their number.  */
static void
write_limited_ (const char *level, const char *message, bool flow)
{
  gint64 current_second = g_get_monotonic_time () / G_USEC_PER_SEC;
  gint64 now_ms = g_get_real_time () / 1000;
  char line[LINE_MAX_BYTES];
  int len;

  if (current_second != state_.current_second)
    {
      state_.current_second = current_second;
      state_.lines_in_second = 0;
    }
  if (state_.lines_in_second
      >= (flow ? MAX_FLOW_LINES_PER_S : MAX_LINES_PER_S))
    {
      state_.left_out++;
      return;
    }
  state_.lines_in_second++;
  len = g_snprintf (line, sizeof line,
                    "ts_ms=%" G_GINT64_FORMAT
                    " level=%s process=%s left_out=%u event=%s\n",
                    now_ms, level, state_.prefix, state_.left_out, message);
  if (len >= (int)sizeof line)
    {
      len = sizeof line - 1;
      line[len - 1] = '\n';
    }
  if (write (STDOUT_FILENO, line, (size_t)len) == len)
    state_.left_out = 0;
  else
    state_.left_out++;
}

static const char *
get_level_name_ (GLogLevelFlags level)
{
  size_t i;

  for (i = 0; i + 1 < G_N_ELEMENTS (levels_); i++)
    if ((level & G_LOG_LEVEL_MASK) == levels_[i].flags)
      break;
  return levels_[i].name;
}

static GLogWriterOutput
write_entry_ (GLogLevelFlags level, const GLogField *fields, gsize n_fields,
              gpointer user_data)
{
  const char *message = "";
  char *time_text;
  GDateTime *now;
  bool flow = false;
  gsize i;

  (void)user_data;
  if ((level & G_LOG_LEVEL_MASK) > state_.most_verbose)
    return G_LOG_WRITER_HANDLED;
  for (i = 0; i < n_fields; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      message = fields[i].value;
    else if (strcmp (fields[i].key, FLOW_FIELD) == 0)
      flow = strcmp (fields[i].value, "1") == 0;
  if (state_.rate_limited)
    {
      write_limited_ (get_level_name_ (level), message, flow);
      return G_LOG_WRITER_HANDLED;
    }
  now = g_date_time_new_now_utc ();
  time_text = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  fprintf (stderr, "%s %s%s\n", time_text, state_.prefix, message);
  g_free (time_text);
  g_date_time_unref (now);
  return G_LOG_WRITER_HANDLED;
}

void
rgy_log_init (const char *role, const char *id, const char *level)
{
  size_t i;

  g_snprintf (state_.prefix, sizeof state_.prefix, "%s/%s: ", role, id);
  for (i = 0; i < G_N_ELEMENTS (levels_); i++)
    if (strcmp (levels_[i].name, level) == 0)
      state_.most_verbose = levels_[i].flags;
  if (!state_.installed)
    g_log_set_writer_func (write_entry_, NULL, NULL);
  state_.installed = true;
}

void
rgy_log_to_standard_output (void)
{
  char *end = strstr (state_.prefix, ": ");

  if (end != NULL)
    *end = '\0';
  state_.rate_limited = true;
  (void)fcntl (STDOUT_FILENO, F_SETFL,
               fcntl (STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

static void
log_formatted_ (GLogLevelFlags level, bool flow, const char *format,
                va_list ap)
{
  char *text = g_strdup_vprintf (format, ap);

  g_log_structured (G_LOG_DOMAIN, level, FLOW_FIELD, flow ? "1" : "0",
                    "MESSAGE", "%s", text);
  g_free (text);
}

void
rgy_log_flow (const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  log_formatted_ (G_LOG_LEVEL_INFO, true, format, ap);
  va_end (ap);
}

void
rgy_log_info (const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  log_formatted_ (G_LOG_LEVEL_INFO, false, format, ap);
  va_end (ap);
}

void
rgy_log_warning (const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  log_formatted_ (G_LOG_LEVEL_WARNING, false, format, ap);
  va_end (ap);
}

void
rgy_log_error (const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  log_formatted_ (G_LOG_LEVEL_CRITICAL, false, format, ap);
  va_end (ap);
}
