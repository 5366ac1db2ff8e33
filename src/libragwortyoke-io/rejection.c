#include "ragwortyoke-io/rejection.h"

#include <glib.h>

#include "ragwortyoke-io/log.h"

/* Key of the reasons beyond RGY_REJECTION_MAX_REASONS.  */
#define OTHER_REASONS ""

struct rgy_rejections
{
  struct rgy_counters *counters;
  GHashTable *reasons; /* "SOURCE REASON" to struct reason_.  */
};

/* One source and reason.  */
struct reason_
{
  int64_t logged_us;
  unsigned left_out; /* Rejections since the last line.  */
};

struct rgy_rejections *
rgy_rejections_new (struct rgy_counters *counters)
{
  struct rgy_rejections *rejections = g_new0 (struct rgy_rejections, 1);

  rejections->counters = counters;
  rejections->reasons
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return rejections;
}

void
rgy_rejections_delete (struct rgy_rejections *rejections)
{
  if (rejections == NULL)
    return;
  g_hash_table_unref (rejections->reasons);
  g_free (rejections);
}

static void
count_ (struct rgy_rejections *rejections, const char *source)
{
  char *label = g_strdup_printf ("source=\"%s\"", source);

  ++*rgy_counters_add (rejections->counters, "rejected_total", label,
                       "Inputs of other writers rejected as malformed.");
  g_free (label);
}

bool
rgy_rejections_add (struct rgy_rejections *rejections, const char *source,
                    const char *reason, int64_t now_us)
{
  char *key = g_strconcat (source, " ", reason, NULL);
  struct reason_ *known = g_hash_table_lookup (rejections->reasons, key);
  char *escaped;

  count_ (rejections, source);
  if (known == NULL
      && g_hash_table_size (rejections->reasons) >= RGY_REJECTION_MAX_REASONS)
    {
      g_free (key);
      key = g_strdup (OTHER_REASONS);
      known = g_hash_table_lookup (rejections->reasons, key);
    }
  if (known != NULL
      && now_us - known->logged_us < RGY_REJECTION_LOG_INTERVAL_US)
    {
      known->left_out++;
      g_free (key);
      return false;
    }
  escaped = g_strescape (reason, NULL);
  rgy_log_warning ("input_rejected source=%s error=\"%s\" repeated=%u", source,
                   escaped, known == NULL ? 0 : known->left_out);
  g_free (escaped);
  if (known == NULL)
    {
      known = g_new0 (struct reason_, 1);
      g_hash_table_insert (rejections->reasons, key, known);
    }
  else
    g_free (key);
  known->logged_us = now_us;
  known->left_out = 0;
  return true;
}
