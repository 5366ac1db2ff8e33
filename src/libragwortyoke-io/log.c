#define G_LOG_DOMAIN "ragwortyoke"

#include "ragwortyoke-io/log.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

struct log_state_
{
  char prefix[96];
  GLogLevelFlags most_verbose;
};

static struct log_state_ log_ = { .most_verbose = G_LOG_LEVEL_INFO };

static GLogWriterOutput
writer_ (GLogLevelFlags level, const GLogField *fields, gsize n_fields,
         gpointer user_data)
{
  const char *message = "";
  char *time_text;
  GDateTime *now;
  gsize i;

  (void)user_data;
  if ((level & G_LOG_LEVEL_MASK) > log_.most_verbose)
    return G_LOG_WRITER_HANDLED;
  for (i = 0; i < n_fields; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      message = fields[i].value;
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
  static const struct
  {
    const char *name;
    GLogLevelFlags flags;
  } levels[] = { { "error", G_LOG_LEVEL_CRITICAL },
                 { "warning", G_LOG_LEVEL_WARNING },
                 { "info", G_LOG_LEVEL_INFO },
                 { "debug", G_LOG_LEVEL_DEBUG } };
  size_t i;

  g_snprintf (log_.prefix, sizeof log_.prefix, "%s/%s: ", role, id);
  for (i = 0; i < G_N_ELEMENTS (levels); i++)
    if (strcmp (levels[i].name, level) == 0)
      log_.most_verbose = levels[i].flags;
  g_log_set_writer_func (writer_, NULL, NULL);
}

static void
log_va_ (GLogLevelFlags level, const char *format, va_list ap)
{
  char *text = g_strdup_vprintf (format, ap);

  g_log_structured (G_LOG_DOMAIN, level, "MESSAGE", "%s", text);
  g_free (text);
}

void
rgy_log_info (const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  log_va_ (G_LOG_LEVEL_INFO, format, ap);
  va_end (ap);
}

void
rgy_log_warning (const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  log_va_ (G_LOG_LEVEL_WARNING, format, ap);
  va_end (ap);
}

void
rgy_log_error (const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  log_va_ (G_LOG_LEVEL_CRITICAL, format, ap);
  va_end (ap);
}
