#include "ragwortyoke/counter.h"

#include <glib.h>
#include <string.h>

#define NAME_PREFIX "ragwortyoke_"

/* One labelled value.  Each is allocated separately, so that its
   address is stable.  */
struct sample_
{
  char *label;
  uint64_t value;
};

/* All samples of one name.  The text format requires them in one group, below
   one HELP and one TYPE line.  */
struct family_
{
  const char *name;
  const char *help;
  bool is_gauge;
  GPtrArray *samples;
};

/* Upper bounds of the histogram buckets; the last bucket has no bound.  */
static const int64_t bounds_us_[]
    = { 1000,   2000,   5000,   10000,   20000,   50000,
        100000, 200000, 500000, 1000000, 2000000, 5000000 };

#define BUCKET_COUNT (G_N_ELEMENTS (bounds_us_) + 1)
#define US_PER_S 1e6

struct rgy_histogram
{
  const char *name;
  const char *help;
  uint64_t counts[BUCKET_COUNT];
  uint64_t count;
  int64_t sum_us;
};

struct rgy_counters
{
  GPtrArray *families; /* Families in the order of registration.  */
  GHashTable *by_name; /* Name to struct family_, borrowed from
                          @c families.  */
  GPtrArray *histograms;
};

static void
sample_free_ (void *data)
{
  struct sample_ *sample = data;

  g_free (sample->label);
  g_free (sample);
}

static void
family_free_ (void *data)
{
  struct family_ *family = data;

  g_ptr_array_unref (family->samples);
  g_free (family);
}

struct rgy_counters *
rgy_counters_new (void)
{
  struct rgy_counters *counters = g_new0 (struct rgy_counters, 1);

  counters->families = g_ptr_array_new_with_free_func (family_free_);
  counters->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  counters->histograms = g_ptr_array_new_with_free_func (g_free);
  return counters;
}

void
rgy_counters_delete (struct rgy_counters *counters)
{
  if (counters == NULL)
    return;
  g_ptr_array_unref (counters->histograms);
  g_hash_table_unref (counters->by_name);
  g_ptr_array_unref (counters->families);
  g_free (counters);
}

static struct sample_ *
find_sample_ (const struct family_ *family, const char *label)
{
  guint i;

  for (i = 0; i < family->samples->len; i++)
    {
      struct sample_ *sample = g_ptr_array_index (family->samples, i);

      if (g_strcmp0 (sample->label, label) == 0)
        return sample;
    }
  return NULL;
}

static uint64_t *
add_sample_ (struct rgy_counters *counters, const char *name,
             const char *label, const char *help, bool is_gauge)
{
  struct family_ *family = g_hash_table_lookup (counters->by_name, name);
  struct sample_ *sample;

  if (family == NULL)
    {
      family = g_new0 (struct family_, 1);
      family->name = name;
      family->help = help;
      family->is_gauge = is_gauge;
      family->samples = g_ptr_array_new_with_free_func (sample_free_);
      g_ptr_array_add (counters->families, family);
      g_hash_table_insert (counters->by_name, (void *)name, family);
    }
  g_assert (family->is_gauge == is_gauge);
  sample = find_sample_ (family, label);
  if (sample == NULL)
    {
      sample = g_new0 (struct sample_, 1);
      sample->label = g_strdup (label);
      g_ptr_array_add (family->samples, sample);
    }
  return &sample->value;
}

uint64_t *
rgy_counters_add (struct rgy_counters *counters, const char *name,
                  const char *label, const char *help)
{
  return add_sample_ (counters, name, label, help, false);
}

uint64_t *
rgy_counters_add_gauge (struct rgy_counters *counters, const char *name,
                        const char *label, const char *help)
{
  return add_sample_ (counters, name, label, help, true);
}

uint64_t
rgy_counters_get (const struct rgy_counters *counters, const char *name,
                  const char *label)
{
  const struct family_ *family = g_hash_table_lookup (counters->by_name, name);
  const struct sample_ *sample
      = family == NULL ? NULL : find_sample_ (family, label);

  return sample == NULL ? 0 : sample->value;
}

static void
format_family_ (GString *text, const struct family_ *family)
{
  guint i;

  g_string_append_printf (text,
                          "# HELP " NAME_PREFIX "%s %s\n"
                          "# TYPE " NAME_PREFIX "%s %s\n",
                          family->name, family->help, family->name,
                          family->is_gauge ? "gauge" : "counter");
  for (i = 0; i < family->samples->len; i++)
    {
      const struct sample_ *sample = g_ptr_array_index (family->samples, i);

      g_string_append_printf (text, NAME_PREFIX "%s", family->name);
      if (sample->label != NULL)
        g_string_append_printf (text, "{%s}", sample->label);
      g_string_append_printf (text, " %" G_GUINT64_FORMAT "\n", sample->value);
    }
}

struct rgy_histogram *
rgy_counters_add_histogram (struct rgy_counters *counters, const char *name,
                            const char *help)
{
  struct rgy_histogram *histogram = g_new0 (struct rgy_histogram, 1);

  histogram->name = name;
  histogram->help = help;
  g_ptr_array_add (counters->histograms, histogram);
  return histogram;
}

void
rgy_histogram_observe (struct rgy_histogram *histogram, int64_t us)
{
  size_t i = 0;

  while (i < G_N_ELEMENTS (bounds_us_) && us > bounds_us_[i])
    i++;
  histogram->counts[i]++;
  histogram->count++;
  histogram->sum_us += us;
}

uint64_t
rgy_histogram_get_count (const struct rgy_histogram *histogram)
{
  return histogram->count;
}

/* Formats a histogram; the text format requires cumulative buckets and bounds
   in seconds.  */
static void
format_histogram_ (GString *text, const struct rgy_histogram *histogram)
{
  uint64_t total = 0;
  size_t i;

  g_string_append_printf (text,
                          "# HELP " NAME_PREFIX "%s %s\n"
                          "# TYPE " NAME_PREFIX "%s histogram\n",
                          histogram->name, histogram->help, histogram->name);
  for (i = 0; i < BUCKET_COUNT; i++)
    {
      total += histogram->counts[i];
      g_string_append_printf (text, NAME_PREFIX "%s_bucket{le=\"",
                              histogram->name);
      if (i < G_N_ELEMENTS (bounds_us_))
        g_string_append_printf (text, "%g", (double)bounds_us_[i] / US_PER_S);
      else
        g_string_append (text, "+Inf");
      g_string_append_printf (text, "\"} %" G_GUINT64_FORMAT "\n", total);
    }
  g_string_append_printf (
      text,
      NAME_PREFIX "%s_sum %g\n" NAME_PREFIX "%s_count %" G_GUINT64_FORMAT "\n",
      histogram->name, (double)histogram->sum_us / US_PER_S, histogram->name,
      histogram->count);
}

char *
rgy_counters_format (const struct rgy_counters *counters)
{
  GString *text = g_string_new (NULL);
  guint i;

  for (i = 0; i < counters->families->len; i++)
    format_family_ (text, g_ptr_array_index (counters->families, i));
  for (i = 0; i < counters->histograms->len; i++)
    format_histogram_ (text, g_ptr_array_index (counters->histograms, i));
  return g_string_free (text, FALSE);
}

void
rgy_counters_add_all (struct rgy_counters *counters,
                      const struct rgy_counter_spec *specs, size_t count)
{
  size_t i;

  for (i = 0; i < count; i++)
    *specs[i].value
        = specs[i].gauge ? rgy_counters_add_gauge (
              counters, specs[i].name, specs[i].label, specs[i].help)
                         : rgy_counters_add (counters, specs[i].name,
                                             specs[i].label, specs[i].help);
}
