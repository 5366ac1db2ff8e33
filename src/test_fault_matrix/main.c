/* Runs each fault during each step of operation, and on request pairs of
   faults, in a simulated deployment.  Guards against faults that break a
   guarantee only at a certain moment of a change, such as a process that dies
   while an agent drains.  */

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "matrix.h"

/* Callers of the whole run.  */
#define WATCHES 30
#define POSTERS 10
#define GETTERS 5
/* Interval of the checks, times from the start of a run, and durations after
   RUN_US: new callers get NEW_CALLERS_US to be served, and then outstanding
   requests get FINISH_US to end.  */
#define SAMPLE_US (100 * H_MS)
#define STEP_AFTER_US (2 * H_S)
#define RUN_US (26 * H_S)
#define EXTRA_CALLERS_UNTIL_US (15 * H_S)
#define NEW_CALLERS_US (6 * H_S)
#define FINISH_US (70 * H_S)
/* Callers that check the service after the faults.  */
#define NEW_CALLERS_IP (DEPLOYMENT_CUSTOMER_IP + 0x2000)
#define NEW_CALLERS 4

/* Options of the command line.  */
static struct
{
  gchar *cell;
  gint64 seed;
  gint pairs;
  gchar *shard;
  gchar *known_red;
  gboolean trace;
  gboolean list;
} options_ = { .seed = 1 };

static const GOptionEntry entries_[]
    = { { "cell", 0, 0, G_OPTION_ARG_STRING, &options_.cell,
          "Run only the cell FAULT/STEP or the pair FAULT+FAULT/STEP",
          "NAME" },
        { "seed", 0, 0, G_OPTION_ARG_INT64, &options_.seed,
          "Seed of the random numbers (default 1)", "N" },
        { "pairs", 0, 0, G_OPTION_ARG_INT, &options_.pairs,
          "After the matrix, run N random pairs of faults", "N" },
        { "shard", 0, 0, G_OPTION_ARG_STRING, &options_.shard,
          "Run the Ith of N parts of the matrix", "I/N" },
        { "known-red", 0, 0, G_OPTION_ARG_FILENAME, &options_.known_red,
          "Skip runs listed in FILE in lines \"cell: NAME seed N\"", "FILE" },
        { "trace", 0, 0, G_OPTION_ARG_NONE, &options_.trace,
          "Write a trace of events to standard error", NULL },
        { "list", 0, 0, G_OPTION_ARG_NONE, &options_.list,
          "List all cells and the guarantees that they test", NULL },
        { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL } };

void
run_report_failure (struct run *r, unsigned guarantee, const char *format, ...)
{
  va_list ap;
  char *text;

  va_start (ap, format);
  text = g_strdup_vprintf (format, ap);
  va_end (ap);
  r->failures++;
  printf ("FAILED %s seed %" G_GUINT64_FORMAT
          " at %.3f ms: guarantee %u: %s\n",
          r->name, r->seed, (double)harness_now_us (r->d->h) / (double)H_MS,
          guarantee, text);
  g_free (text);
}

static char *
make_cell_name_ (enum fault a, enum fault b, enum step step)
{
  if (b == FAULT_NONE)
    return g_strdup_printf ("%s/%s", fault_string[a], step_string[step]);
  return g_strdup_printf ("%s+%s/%s", fault_string[a], fault_string[b],
                          step_string[step]);
}

/* Runs until a virtual time, with checks, faults and the step in
   each interval.  */
static void
advance_run_ (struct run *r, int64_t until_us)
{
  struct harness *h = r->d->h;

  while (harness_now_us (h) < until_us)
    {
      check_sample (r);
      fault_tick (r);
      step_tick (r);
      if (r->boards_idle)
        harness_run (h, SAMPLE_US);
      else
        deployment_run (r->d, SAMPLE_US);
    }
}

/* After the faults, new callers must be served as usual.  */
static void
check_new_callers_ (struct run *r)
{
  struct caller *callers[NEW_CALLERS];
  unsigned unserved = 0;
  unsigned i;

  for (i = 0; i < NEW_CALLERS; i++)
    {
      callers[i] = harness_add_caller (
          r->d->h, i == 0 ? CALLER_WATCH : CALLER_POST, NEW_CALLERS_IP + i,
          r->d->desk, i == 0 ? 0 : H_S);
      g_ptr_array_add (r->extra_callers, callers[i]);
    }
  advance_run_ (r, harness_now_us (r->d->h) + NEW_CALLERS_US);
  for (i = 0; i < NEW_CALLERS; i++)
    if (harness_get_stats (callers[i])->in_time == 0)
      unserved++;
  if (unserved > 0)
    run_report_failure (r, r->guarantee,
                        "%u new callers are not served after the faults",
                        unserved);
}

static bool
is_request_outstanding_ (const struct run *r)
{
  guint i;

  for (i = 0; i < r->extra_callers->len; i++)
    if (harness_has_outstanding_request (
            g_ptr_array_index (r->extra_callers, i)))
      return true;
  for (i = 0; i < r->d->callers->len; i++)
    if (harness_has_outstanding_request (g_ptr_array_index (r->d->callers, i)))
      return true;
  return false;
}

static void
stop_callers_ (GPtrArray *callers)
{
  guint i;

  for (i = 0; i < callers->len; i++)
    harness_stop_caller (g_ptr_array_index (callers, i));
}

static void
finish_requests_ (struct run *r)
{
  int64_t end_us = harness_now_us (r->d->h) + FINISH_US;

  stop_callers_ (r->extra_callers);
  stop_callers_ (r->d->callers);
  do
    advance_run_ (r, harness_now_us (r->d->h) + H_S);
  while (is_request_outstanding_ (r) && harness_now_us (r->d->h) < end_us);
}

static void
start_run_ (struct run *r)
{
  const struct harness_settings settings
      = { .seed = r->seed, .trace = options_.trace ? stderr : NULL };
  const struct deployment_load load = { .watches = WATCHES,
                                        .posters = POSTERS,
                                        .getters = GETTERS,
                                        .interval_us = H_S };
  enum deployment_kind kind = (enum deployment_kind) (
      (g_str_hash (r->name) + r->seed) % DEPLOYMENT_COUNT);
  struct node *balancer;
  size_t i;

  r->d = deployment_new (kind, &settings);
  deployment_add_load (r->d, &load);
  r->random = g_rand_new_with_seed (
      (guint32)(g_str_hash (r->name) + r->seed * 2654435761U));
  r->watches = g_ptr_array_new ();
  r->registrations = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  r->extra_callers = g_ptr_array_new ();
  r->excused_watches = g_hash_table_new (g_direct_hash, g_direct_equal);
  r->step_agent = r->d->desk_agents[1];
  balancer
      = r->d->balancers[g_rand_int_range (r->random, 0, DEPLOYMENT_DOMAINS)];
  r->leaving_balancer = r->d->balancers[1];
  step_prepare (r);
  for (i = 0; i < WATCHES; i++)
    {
      struct caller *c = g_ptr_array_index (r->d->callers, i);
      uint64_t registrations = harness_get_stats (c)->registrations;

      g_ptr_array_add (r->watches, c);
      g_array_append_val (r->registrations, registrations);
    }
  r->totals_before = harness_get_totals (r->d->h);
  r->start_us = harness_now_us (r->d->h);
  r->step_us = r->start_us + STEP_AFTER_US;
  for (i = 0; i < r->fault_count; i++)
    {
      r->faults[i].balancer = balancer;
      fault_prepare (r, &r->faults[i]);
    }
}

/* Runs one fault or, when B is not FAULT_NONE, two faults during a step.
   @return true when no check failed.  */
static bool
run_cell_ (enum fault a, enum fault b, enum step step, unsigned guarantee,
           uint64_t seed)
{
  struct run r = { .seed = seed, .step = step, .guarantee = guarantee };
  char *name = make_cell_name_ (a, b, step);

  g_strlcpy (r.name, name, sizeof r.name);
  g_free (name);
  r.faults[r.fault_count++].fault = a;
  if (b != FAULT_NONE)
    r.faults[r.fault_count++].fault = b;
  start_run_ (&r);
  advance_run_ (&r, r.start_us + EXTRA_CALLERS_UNTIL_US);
  stop_callers_ (r.extra_callers);
  advance_run_ (&r, r.start_us + RUN_US);
  check_new_callers_ (&r);
  check_state (&r);
  finish_requests_ (&r);
  check_outcomes (&r);
  if (r.failures > 0)
    printf ("  replay: test_fault_matrix --cell %s --seed %" G_GUINT64_FORMAT
            " --trace\n",
            r.name, r.seed);
  g_hash_table_unref (r.excused_watches);
  g_ptr_array_unref (r.extra_callers);
  g_ptr_array_unref (r.watches);
  g_array_unref (r.registrations);
  g_rand_free (r.random);
  deployment_delete (r.d);
  fflush (stdout);
  return r.failures == 0;
}

/* Selection of cells and pairs of faults.  */

static bool
is_known_red_ (const char *name, uint64_t seed, const char *known_failures)
{
  char **lines;
  char *wanted;
  bool found = false;
  size_t i;

  if (known_failures == NULL)
    return false;
  wanted = g_strdup_printf ("cell: %s seed %" G_GUINT64_FORMAT, name, seed);
  lines = g_strsplit (known_failures, "\n", -1);
  for (i = 0; lines[i] != NULL && !found; i++)
    found = strcmp (g_strstrip (lines[i]), wanted) == 0;
  g_free (wanted);
  g_strfreev (lines);
  return found;
}

/* Numbers of runs by their result.  */
struct results_
{
  unsigned passed;
  unsigned failed;
  unsigned skipped;
  unsigned not_applicable;
};

static void
run_unless_known_red_ (const struct cell *cell, enum fault second,
                       const char *known_failures, uint64_t seed,
                       struct results_ *t)
{
  char *name = make_cell_name_ (cell->fault, second, cell->step);

  if (is_known_red_ (name, seed, known_failures))
    {
      printf ("skipped (KNOWN-RED.txt): %s seed %" G_GUINT64_FORMAT "\n", name,
              seed);
      t->skipped++;
    }
  else if (run_cell_ (cell->fault, second, cell->step, cell->guarantee, seed))
    t->passed++;
  else
    t->failed++;
  g_free (name);
}

static const struct cell *
find_cell_ (enum fault fault, enum step step)
{
  size_t i;

  for (i = 0; i < cell_count; i++)
    if (cells[i].fault == fault && cells[i].step == step)
      return &cells[i];
  return NULL;
}

/* Checks that cells.c has exactly one line for each fault during each step. */
static bool
check_cells_complete_ (void)
{
  unsigned count[FAULT_COUNT][STEP_COUNT] = { 0 };
  bool complete = true;
  size_t i;
  unsigned f;
  unsigned s;

  for (i = 0; i < cell_count; i++)
    count[cells[i].fault][cells[i].step]++;
  for (f = 0; f < FAULT_COUNT; f++)
    for (s = 0; s < STEP_COUNT; s++)
      if (count[f][s] != 1)
        {
          printf ("FAILED: %u lines instead of 1 in cells.c for %s/%s\n",
                  count[f][s], fault_string[f], step_string[s]);
          complete = false;
        }
  return complete;
}

/* Runs random pairs of faults.  Pair number I has the seed SEED + I, so that
   each shard runs other pairs.  */
static void
run_pairs_ (unsigned first, const char *known_failures, struct results_ *t)
{
  unsigned i;

  for (i = first; i < first + (unsigned)options_.pairs; i++)
    {
      uint64_t seed = (uint64_t)options_.seed + i;
      GRand *random = g_rand_new_with_seed ((guint32)seed);
      enum fault a;
      enum fault b;
      enum step step;

      /* Equal faults of the same process at the same time would act as one
         fault, so they are drawn again.  */
      do
        {
          a = (enum fault)g_rand_int_range (random, 1, FAULT_COUNT);
          b = (enum fault)g_rand_int_range (random, 1, FAULT_COUNT);
          step = (enum step)g_rand_int_range (random, 0, STEP_COUNT);
        }
      while (a == b || find_cell_ (a, step)->not_run_reason != NULL
             || find_cell_ (b, step)->not_run_reason != NULL);
      run_unless_known_red_ (find_cell_ (a, step), b, known_failures, seed, t);
      g_rand_free (random);
    }
}

static bool
find_name_index_ (const char *const *names, unsigned count, const char *name,
                  unsigned *index)
{
  for (*index = 0; *index < count; ++*index)
    if (strcmp (names[*index], name) == 0)
      return true;
  return false;
}

/* Parses FAULT/STEP or FAULT+FAULT/STEP.
   @return the cell of the first fault, or NULL after an error message.  */
static const struct cell *
parse_cell_ (const char *text, enum fault *second)
{
  char **parts = g_strsplit (text, "/", 2);
  char **faults = g_strsplit (parts[0] == NULL ? "" : parts[0], "+", 2);
  unsigned a = 0;
  unsigned b = FAULT_NONE;
  unsigned step = 0;
  const struct cell *cell = NULL;

  if (faults[0] != NULL && parts[1] != NULL
      && find_name_index_ (fault_string, FAULT_COUNT, faults[0], &a)
      && (faults[1] == NULL
          || find_name_index_ (fault_string, FAULT_COUNT, faults[1], &b))
      && find_name_index_ (step_string, STEP_COUNT, parts[1], &step))
    cell = find_cell_ ((enum fault)a, (enum step)step);
  else
    fprintf (stderr, "unknown cell %s; --list prints all cells\n", text);
  *second = (enum fault)b;
  g_strfreev (faults);
  g_strfreev (parts);
  return cell;
}

static void
list_cells_ (void)
{
  size_t i;

  for (i = 0; i < cell_count; i++)
    printf ("%s/%s: guarantee %u%s%s\n", fault_string[cells[i].fault],
            step_string[cells[i].step], cells[i].guarantee,
            cells[i].not_run_reason == NULL ? "" : "; not run: ",
            cells[i].not_run_reason == NULL ? "" : cells[i].not_run_reason);
}

static bool
parse_shard_ (unsigned *index, unsigned *count)
{
  *index = 1;
  *count = 1;
  return options_.shard == NULL
         || (sscanf (options_.shard, "%u/%u", index, count) == 2 && *index >= 1
             && *index <= *count);
}

static int
run_all_ (const char *known_failures)
{
  struct results_ t = { 0 };
  unsigned index;
  unsigned count;
  size_t i;

  if (!parse_shard_ (&index, &count))
    {
      fprintf (stderr, "--shard %s: expected I/N with I from 1 to N\n",
               options_.shard);
      return EXIT_FAILURE;
    }
  if (!check_cells_complete_ ())
    return EXIT_FAILURE;
  for (i = index - 1; i < cell_count; i += count)
    if (cells[i].not_run_reason != NULL)
      t.not_applicable++;
    else
      run_unless_known_red_ (&cells[i], FAULT_NONE, known_failures,
                             (uint64_t)options_.seed, &t);
  if (options_.pairs > 0)
    run_pairs_ ((index - 1) * (unsigned)options_.pairs, known_failures, &t);
  printf ("%u passed, %u failed, %u skipped, %u not applicable\n", t.passed,
          t.failed, t.skipped, t.not_applicable);
  return t.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new (
      "- inject faults during steps of operation in a simulation");
  GError *error = NULL;
  gchar *known_failures = NULL;
  enum fault second;
  const struct cell *cell;
  int rc;

  g_option_context_add_main_entries (context, entries_, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
      g_option_context_free (context);
      return EXIT_FAILURE;
    }
  g_option_context_free (context);
  /* A missing file means that there are no known failures.  */
  if (options_.known_red != NULL)
    g_file_get_contents (options_.known_red, &known_failures, NULL, NULL);
  if (options_.list)
    {
      list_cells_ ();
      rc = EXIT_SUCCESS;
    }
  else if (options_.cell != NULL)
    {
      struct results_ t = { 0 };

      cell = parse_cell_ (options_.cell, &second);
      if (cell != NULL)
        run_unless_known_red_ (cell, second, NULL, (uint64_t)options_.seed,
                               &t);
      rc = t.passed > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    }
  else
    rc = run_all_ (known_failures);
  g_free (known_failures);
  g_free (options_.cell);
  g_free (options_.shard);
  g_free (options_.known_red);
  return rc;
}
