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
  bool installed;     /* GLib accepts one writer for the process's life.  */
  bool limited;       /* To standard output, at most LINES_PER_S.  */
  gint64 second;      /* Of the steady clock.  */
  unsigned in_second; /* Lines written in it.  */
  unsigned left_out;  /* Lines since the last one that was written.  */
};

/* Bounds what a burst of decisions costs; what is left out is counted.  */
#define LINES_PER_S 100
/* Of these, at most so many about single flows.  */
#define FLOW_LINES_PER_S 80
/* "1" in such lines, otherwise "0".  */
#define FLOW_FIELD "RAGWORTYOKE_FLOW"
#define LINE_BYTES 640

/* From the least verbose one.  */
static const struct
{
  const char *name;
  GLogLevelFlags flags;
} levels_[] = { { "error", G_LOG_LEVEL_CRITICAL },
                { "warning", G_LOG_LEVEL_WARNING },
                { "info", G_LOG_LEVEL_INFO },
                { "debug", G_LOG_LEVEL_DEBUG } };

static struct log_state_ log_ = { .most_verbose = G_LOG_LEVEL_INFO };

/* Writes one line without blocking.  A reader that does not keep up loses
   lines, which the next one tells.  */
static void
write_limited_ (const char *level, const char *message, bool flow)
{
  gint64 second = g_get_monotonic_time () / G_USEC_PER_SEC;
  gint64 now_ms = g_get_real_time () / 1000;
  char line[LINE_BYTES];
  int len;

  if (second != log_.second)
    {
      log_.second = second;
      log_.in_second = 0;
    }
  if (log_.in_second >= (flow ? FLOW_LINES_PER_S : LINES_PER_S))
    {
      log_.left_out++;
      return;
    }
  log_.in_second++;
  len = g_snprintf (line, sizeof line,
                    "ts_ms=%" G_GINT64_FORMAT
                    " level=%s process=%s left_out=%u event=%s\n",
                    now_ms, level, log_.prefix, log_.left_out, message);
  if (len >= (int)sizeof line)
    {
      len = sizeof line - 1;
      line[len - 1] = '\n';
    }
  if (write (STDOUT_FILENO, line, (size_t)len) == len)
    log_.left_out = 0;
  else
    log_.left_out++;
}

static const char *
level_name_ (GLogLevelFlags level)
{
  size_t i;

  for (i = 0; i + 1 < G_N_ELEMENTS (levels_); i++)
    if ((level & G_LOG_LEVEL_MASK) == levels_[i].flags)
      break;
  return levels_[i].name;
}

static GLogWriterOutput
writer_ (GLogLevelFlags level, const GLogField *fields, gsize n_fields,
         gpointer user_data)
{
  const char *message = "";
  char *time_text;
  GDateTime *now;
  bool flow = false;
  gsize i;

  (void)user_data;
  if ((level & G_LOG_LEVEL_MASK) > log_.most_verbose)
    return G_LOG_WRITER_HANDLED;
  for (i = 0; i < n_fields; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      message = fields[i].value;
    else if (strcmp (fields[i].key, FLOW_FIELD) == 0)
      flow = strcmp (fields[i].value, "1") == 0;
  if (log_.limited)
    {
      write_limited_ (level_name_ (level), message, flow);
      return G_LOG_WRITER_HANDLED;
    }
  now = g_date_time_new_now_utc ();
  time_text = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  fprintf (stderr, "%s %s%s\n", time_text, log_.prefix, message);
  g_free (time_text);
  g_date_time_unref (now);
  return G_LOG_WRITER_HANDLED;
}

void
rgy_log_init (const char *role, const char *id, const char *level)
{
  size_t i;

  g_snprintf (log_.prefix, sizeof log_.prefix, "%s/%s: ", role, id);
  for (i = 0; i < G_N_ELEMENTS (levels_); i++)
    if (strcmp (levels_[i].name, level) == 0)
      log_.most_verbose = levels_[i].flags;
  if (!log_.installed)
    g_log_set_writer_func (writer_, NULL, NULL);
  log_.installed = true;
}

void
rgy_log_to_standard_output (void)
{
  char *end = strstr (log_.prefix, ": ");

  if (end != NULL)
    *end = '\0';
  log_.limited = true;
  (void)fcntl (STDOUT_FILENO, F_SETFL,
               fcntl (STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

static void
log_va_ (GLogLevelFlags level, bool flow, const char *format, va_list ap)
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
  log_va_ (G_LOG_LEVEL_INFO, true, format, ap);
  va_end (ap);
}

void
rgy_log_info (const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  log_va_ (G_LOG_LEVEL_INFO, false, format, ap);
  va_end (ap);
}

void
rgy_log_warning (const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  log_va_ (G_LOG_LEVEL_WARNING, false, format, ap);
  va_end (ap);
}

void
rgy_log_error (const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  log_va_ (G_LOG_LEVEL_CRITICAL, false, format, ap);
  va_end (ap);
}
