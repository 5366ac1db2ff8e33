/* Estimates what a system with perfect knowledge could earn on a day that the
   users' bench has played, from the bench's report (run --report FILE), and
   shows where the day lies below it.

   Assumptions:
   - Outside the closing fault every request is answered within its latency
     goal.
   - From the closing fault until the first balancer and agents serve again,
     nothing is answered.  A caller repeats a packet after 200 and 600 ms, so a
     request sent more than 600 ms before service returns cannot be served, and
     one sent later but before the return can only be late.
   - Requests arrive evenly within a window.
   - From the return on, new requests are answered in time and late ones as far
     as the slots allow.  The slots need COLD_FACTOR times the usual time while
     the backend servers are cold.
   - Machines in use and memory are paid for; every other price is avoidable.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

/* Length of a window of the report in seconds.  */
#define WINDOW_S 2.0
/* Time before the return of service from which on a request's last repetition
   arrives after the return.  */
#define LAST_REPEAT_S 0.6
/* Mean of the worst windows that the bench counts.  */
#define WORST_WINDOWS 2
#define COLD_FACTOR 1.6
/* Windows whose gap is printed.  */
#define PRINTED_WINDOWS 3

static struct
{
  gdouble serving_s;
  gdouble late_share;
  gdouble late_limit_s;
  gdouble slots;
  gdouble run_ms;
} options_ = { .late_share = 0.5, .late_limit_s = 0.7 };

static const GOptionEntry entries_[] = {
  { "serving-from", 0, 0, G_OPTION_ARG_DOUBLE, &options_.serving_s,
    "Time of the day at which the first balancer serves again after the "
    "closing fault, from the processes' logs",
    "SECONDS" },
  { "late-share", 0, 0, G_OPTION_ARG_DOUBLE, &options_.late_share,
    "Worth of a late answer relative to one in time (default 0.5)", "SHARE" },
  { "late-limit", 0, 0, G_OPTION_ARG_DOUBLE, &options_.late_limit_s,
    "Mean time that a late request has left when service returns "
    "(default 0.7)",
    "SECONDS" },
  { "slots", 0, 0, G_OPTION_ARG_DOUBLE, &options_.slots,
    "Slots of all backend servers after the closing fault; 0: no limit", "N" },
  { "run-ms", 0, 0, G_OPTION_ARG_DOUBLE, &options_.run_ms,
    "Mean run time of a request at a warm backend server", "MS" },
  { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL }
};

static double
get_number_ (const json_t *object, const char *name)
{
  return json_number_value (json_object_get (object, name));
}

/* Time of the closing fault, or a negative number if there is none.  */
static double
find_closing_s_ (const json_t *report)
{
  const json_t *event;
  size_t i;

  json_array_foreach (json_object_get (report, "events"), i, event)
  {
    const char *kind = json_string_value (json_object_get (event, "kind"));

    if (kind != NULL && g_str_has_prefix (kind, "closing"))
      return get_number_ (event, "at_s");
  }
  return -1;
}

/* Length of the common part of two time spans.  */
static double
overlap_ (double from, double to, double other_from, double other_to)
{
  return MAX (0, MIN (to, other_to) - MAX (from, other_from));
}

struct window_
{
  double from_s;
  double requests;
  double worth; /* As played.  */
  double bound;
};

/* Share of the late requests of the outage that the slots can serve beside the
   new ones before their time is over.  */
static double
get_servable_late_share_ (double requests_per_s, double late)
{
  double per_s = options_.run_ms > 0
                     ? options_.slots * 1000 / (options_.run_ms * COLD_FACTOR)
                     : 0;

  if (options_.slots <= 0 || late <= 0)
    return 1;
  return CLAMP ((per_s - requests_per_s) * options_.late_limit_s / late, 0, 1);
}

static void
compute_bound_ (struct window_ *window, double closing_s)
{
  double to_s = window->from_s + WINDOW_S;
  double hopeless_to_s = MAX (closing_s, options_.serving_s - LAST_REPEAT_S);
  double per_s = window->requests / WINDOW_S;
  double late_s
      = overlap_ (window->from_s, to_s, hopeless_to_s, options_.serving_s);
  double lost_s = overlap_ (window->from_s, to_s, closing_s, hopeless_to_s);
  double all_late = (options_.serving_s - hopeless_to_s) * per_s;

  window->bound = 1;
  if (closing_s < 0 || options_.serving_s <= closing_s)
    return;
  window->bound = 1 - lost_s / WINDOW_S
                  - late_s / WINDOW_S
                        * (1
                           - options_.late_share
                                 * get_servable_late_share_ (per_s, all_late));
}

static int
compare_bounds_ (const void *a, const void *b)
{
  double x = ((const struct window_ *)a)->bound;
  double y = ((const struct window_ *)b)->bound;

  return (x > y) - (x < y);
}

static int
compare_gaps_ (const void *a, const void *b)
{
  const struct window_ *x = a;
  const struct window_ *y = b;
  double gap_x = (x->bound - x->worth) * x->requests;
  double gap_y = (y->bound - y->worth) * y->requests;

  return (gap_x < gap_y) - (gap_x > gap_y);
}

/* Sum of the day's prices; with FIXED only those that no system avoids.  */
static double
sum_prices_ (const json_t *report, bool fixed)
{
  const json_t *price;
  double sum = 0;
  size_t i;

  json_array_foreach (json_object_get (report, "prices"), i, price)
  {
    const char *name = json_string_value (json_array_get (price, 0));

    if (!fixed
        || (name != NULL
            && (g_str_has_prefix (name, "machine-seconds")
                || g_str_has_prefix (name, "memory"))))
      sum += json_number_value (json_array_get (price, 2));
  }
  return sum;
}

/* Weight of a part of the worth, by its name in the report.  */
static double
get_weight_ (const json_t *report, const char *name)
{
  const json_t *part;
  size_t i;

  json_array_foreach (json_object_get (report, "parts"), i, part)
  {
    const char *text = json_string_value (json_array_get (part, 0));

    if (g_strcmp0 (text, name) == 0)
      return json_number_value (json_array_get (part, 1));
  }
  return 0;
}

static GArray *
read_windows_ (const json_t *report, double closing_s)
{
  GArray *windows = g_array_new (FALSE, TRUE, sizeof (struct window_));
  const json_t *item;
  size_t i;

  json_array_foreach (json_object_get (report, "windows"), i, item)
  {
    const char *name = json_string_value (json_object_get (item, "name"));
    struct window_ window
        = { .from_s = name == NULL ? 0 : g_ascii_strtod (name, NULL),
            .requests
            = get_number_ (item, "n") - get_number_ (item, "not_owed"),
            .worth = get_number_ (item, "worth") };

    compute_bound_ (&window, closing_s);
    g_array_append_val (windows, window);
  }
  return windows;
}

static void
print_day_ (const char *file, const json_t *report)
{
  GArray *windows = read_windows_ (report, find_closing_s_ (report));
  double requests = 0;
  double earned = 0;
  double worst = 0;
  double worth = get_number_ (report, "G");
  double whole;
  double bound;
  guint i;

  for (i = 0; i < windows->len; i++)
    {
      const struct window_ *w = &g_array_index (windows, struct window_, i);

      requests += w->requests;
      earned += w->requests * w->bound;
    }
  whole = requests > 0 ? earned / requests : 1;
  g_array_sort (windows, compare_bounds_);
  for (i = 0; i < MIN (windows->len, WORST_WINDOWS); i++)
    worst += g_array_index (windows, struct window_, i).bound / WORST_WINDOWS;
  /* Kinds of request and failure domains suffer alike.  */
  bound = whole * (1 - get_weight_ (report, "worst windows"))
          + worst * get_weight_ (report, "worst windows")
          - sum_prices_ (report, true);
  printf ("%s: worth %.3f, bound %.3f, gap %.3f (prices %.4f", file, worth,
          bound, bound - worth,
          sum_prices_ (report, false) - sum_prices_ (report, true));
  g_array_sort (windows, compare_gaps_);
  for (i = 0; i < MIN (windows->len, PRINTED_WINDOWS); i++)
    {
      const struct window_ *w = &g_array_index (windows, struct window_, i);

      printf ("; second %.0f: %.3f of %.3f", w->from_s, w->worth, w->bound);
    }
  printf (")\n");
  g_array_unref (windows);
}

int
main (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new ("REPORT");
  GError *error = NULL;
  json_error_t json_error;
  json_t *report = NULL;
  int rc = EXIT_FAILURE;

  g_option_context_add_main_entries (context, entries_, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || argc != 2)
    {
      fprintf (stderr, "day_bound: %s\n",
               error == NULL ? "one report is required" : error->message);
      goto out;
    }
  report = json_load_file (argv[1], 0, &json_error);
  if (report == NULL)
    {
      fprintf (stderr, "day_bound: %s: line %d: %s\n", argv[1],
               json_error.line, json_error.text);
      goto out;
    }
  print_day_ (argv[1], report);
  rc = EXIT_SUCCESS;
out:
  g_clear_error (&error);
  json_decref (report);
  g_option_context_free (context);
  return rc;
}
