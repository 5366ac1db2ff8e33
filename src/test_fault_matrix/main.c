#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "matrix.h"

#define WATCHES 30
#define POSTERS 10
#define GETTERS 5
#define SLICE_US (100 * H_MS)
#define STEP_AFTER_US (2 * H_S)
#define RUN_US (26 * H_S)
#define BUSY_UNTIL_US (15 * H_S)
#define PROBE_US (6 * H_S)
#define FINISH_US (70 * H_S)
#define PROBE_IP (DEPLOYMENT_CUSTOMER_IP + 0x2000)
#define PROBE_CALLERS 4

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
          "Run only FAULT/STEP or FAULT+FAULT/STEP", "NAME" },
        { "seed", 0, 0, G_OPTION_ARG_INT64, &options_.seed, "Seed (default 1)",
          "N" },
        { "pairs", 0, 0, G_OPTION_ARG_INT, &options_.pairs,
          "Then run N pairs of faults drawn by the seed", "N" },
        { "shard", 0, 0, G_OPTION_ARG_STRING, &options_.shard,
          "Run the Ith of N parts", "I/N" },
        { "known-red", 0, 0, G_OPTION_ARG_FILENAME, &options_.known_red,
          "Pass over cells named in lines \"cell: NAME seed N\"", "FILE" },
        { "trace", 0, 0, G_OPTION_ARG_NONE, &options_.trace,
          "Print what happens to standard error", NULL },
        { "list", 0, 0, G_OPTION_ARG_NONE, &options_.list, "List the cells",
          NULL },
        { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL } };

void
run_fail (struct run *r, unsigned point, const char *format, ...)
{
  va_list ap;
  char *text;

  va_start (ap, format);
  text = g_strdup_vprintf (format, ap);
  va_end (ap);
  r->failures++;
  printf ("FAILED %s seed %" G_GUINT64_FORMAT " at %.3f ms: point %u: %s\n",
          r->name, r->seed, (double)harness_now_us (r->d->h) / (double)H_MS,
          point, text);
  g_free (text);
}

static char *
make_name_ (enum fault a, enum fault b, enum step step)
{
  if (b == FAULT_NONE)
    return g_strdup_printf ("%s/%s", fault_string[a], step_string[step]);
  return g_strdup_printf ("%s+%s/%s", fault_string[a], fault_string[b],
                          step_string[step]);
}

static void
advance_ (struct run *r, int64_t until_us)
{
  struct harness *h = r->d->h;

  while (harness_now_us (h) < until_us)
    {
      check_tick (r);
      fault_tick (r);
      step_tick (r);
      if (r->boards_idle)
        harness_run (h, SLICE_US);
      else
        deployment_run (r->d, SLICE_US);
    }
}

/* Callers that come after everything are served as on any other day.  */
static void
probe_service_ (struct run *r)
{
  struct caller *callers[PROBE_CALLERS];
  unsigned unserved = 0;
  unsigned i;

  for (i = 0; i < PROBE_CALLERS; i++)
    {
      callers[i]
          = harness_add_caller (r->d->h, i == 0 ? CALLER_WATCH : CALLER_POST,
                                PROBE_IP + i, r->d->desk, i == 0 ? 0 : H_S);
      g_ptr_array_add (r->busy, callers[i]);
    }
  advance_ (r, harness_now_us (r->d->h) + PROBE_US);
  for (i = 0; i < PROBE_CALLERS; i++)
    if (harness_get_stats (callers[i])->in_time == 0)
      unserved++;
  if (unserved > 0)
    run_fail (r, r->point, "%u new callers are not served after the faults",
              unserved);
}

static bool
is_any_busy_ (const struct run *r)
{
  guint i;

  for (i = 0; i < r->busy->len; i++)
    if (harness_is_busy (g_ptr_array_index (r->busy, i)))
      return true;
  for (i = 0; i < r->d->callers->len; i++)
    if (harness_is_busy (g_ptr_array_index (r->d->callers, i)))
      return true;
  return false;
}

static void
stop_ (GPtrArray *callers)
{
  guint i;

  for (i = 0; i < callers->len; i++)
    harness_stop_caller (g_ptr_array_index (callers, i));
}

static void
finish_ (struct run *r)
{
  int64_t end_us = harness_now_us (r->d->h) + FINISH_US;

  stop_ (r->busy);
  stop_ (r->d->callers);
  do
    advance_ (r, harness_now_us (r->d->h) + H_S);
  while (is_any_busy_ (r) && harness_now_us (r->d->h) < end_us);
}

static void
start_ (struct run *r)
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
  r->busy = g_ptr_array_new ();
  r->excused = g_hash_table_new (g_direct_hash, g_direct_equal);
  r->subject = r->d->desk_agents[1];
  balancer
      = r->d->balancers[g_rand_int_range (r->random, 0, DEPLOYMENT_DOMAINS)];
  r->subject_balancer = r->d->balancers[1];
  step_prepare (r);
  for (i = 0; i < WATCHES; i++)
    {
      struct caller *c = g_ptr_array_index (r->d->callers, i);
      uint64_t registrations = harness_get_stats (c)->registrations;

      g_ptr_array_add (r->watches, c);
      g_array_append_val (r->registrations, registrations);
    }
  r->before = harness_get_totals (r->d->h);
  r->start_us = harness_now_us (r->d->h);
  r->step_us = r->start_us + STEP_AFTER_US;
  for (i = 0; i < r->fault_count; i++)
    {
      r->faults[i].balancer = balancer;
      fault_prepare (r, &r->faults[i]);
    }
}

static bool
run_cell_ (enum fault a, enum fault b, enum step step, unsigned point,
           uint64_t seed)
{
  struct run r = { .seed = seed, .step = step, .point = point };
  char *name = make_name_ (a, b, step);

  g_strlcpy (r.name, name, sizeof r.name);
  g_free (name);
  r.faults[r.fault_count++].fault = a;
  if (b != FAULT_NONE)
    r.faults[r.fault_count++].fault = b;
  start_ (&r);
  advance_ (&r, r.start_us + BUSY_UNTIL_US);
  stop_ (r.busy);
  advance_ (&r, r.start_us + RUN_US);
  probe_service_ (&r);
  check_state (&r);
  finish_ (&r);
  check_outcomes (&r);
  if (r.failures > 0)
    printf ("  replay: test_fault_matrix --cell %s --seed %" G_GUINT64_FORMAT
            " --trace\n",
            r.name, r.seed);
  g_hash_table_unref (r.excused);
  g_ptr_array_unref (r.busy);
  g_ptr_array_unref (r.watches);
  g_array_unref (r.registrations);
  g_rand_free (r.random);
  deployment_delete (r.d);
  fflush (stdout);
  return r.failures == 0;
}

/* Selection.  */

static bool
is_known_red_ (const char *name, uint64_t seed, const char *red)
{
  char **lines;
  char *wanted;
  bool found = false;
  size_t i;

  if (red == NULL)
    return false;
  wanted = g_strdup_printf ("cell: %s seed %" G_GUINT64_FORMAT, name, seed);
  lines = g_strsplit (red, "\n", -1);
  for (i = 0; lines[i] != NULL && !found; i++)
    found = strcmp (g_strstrip (lines[i]), wanted) == 0;
  g_free (wanted);
  g_strfreev (lines);
  return found;
}

struct tally_
{
  unsigned passed;
  unsigned failed;
  unsigned passed_over;
  unsigned meaningless;
};

static void
run_named_ (const struct cell *cell, enum fault second, const char *red,
            uint64_t seed, struct tally_ *t)
{
  char *name = make_name_ (cell->fault, second, cell->step);

  if (is_known_red_ (name, seed, red))
    {
      printf ("passed over (KNOWN-RED.txt): %s seed %" G_GUINT64_FORMAT "\n",
              name, seed);
      t->passed_over++;
    }
  else if (run_cell_ (cell->fault, second, cell->step, cell->point, seed))
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

/* Each fault meets each step in exactly one line.  */
static bool
check_data_ (void)
{
  unsigned count[FAULT_COUNT][STEP_COUNT] = { 0 };
  bool good = true;
  size_t i;
  unsigned f;
  unsigned s;

  for (i = 0; i < cell_count; i++)
    count[cells[i].fault][cells[i].step]++;
  for (f = 0; f < FAULT_COUNT; f++)
    for (s = 0; s < STEP_COUNT; s++)
      if (count[f][s] != 1)
        {
          printf ("FAILED: %u lines for %s/%s\n", count[f][s], fault_string[f],
                  step_string[s]);
          good = false;
        }
  return good;
}

static void
run_pairs_ (unsigned first, const char *red, struct tally_ *t)
{
  unsigned i;

  for (i = first; i < first + (unsigned)options_.pairs; i++)
    {
      uint64_t seed = (uint64_t)options_.seed + i;
      GRand *random = g_rand_new_with_seed ((guint32)seed);
      enum fault a;
      enum fault b;
      enum step step;

      /* Freezing and killing one process at a time would not be two
         faults, so equal faults are drawn again.  */
      do
        {
          a = (enum fault)g_rand_int_range (random, 1, FAULT_COUNT);
          b = (enum fault)g_rand_int_range (random, 1, FAULT_COUNT);
          step = (enum step)g_rand_int_range (random, 0, STEP_COUNT);
        }
      while (a == b || find_cell_ (a, step)->meaningless != NULL
             || find_cell_ (b, step)->meaningless != NULL);
      run_named_ (find_cell_ (a, step), b, red, seed, t);
      g_rand_free (random);
    }
}

static bool
find_name_ (const char *const *names, unsigned count, const char *name,
            unsigned *index)
{
  for (*index = 0; *index < count; ++*index)
    if (strcmp (names[*index], name) == 0)
      return true;
  return false;
}

/* @return the cell of a name, or NULL after a message.  */
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
      && find_name_ (fault_string, FAULT_COUNT, faults[0], &a)
      && (faults[1] == NULL
          || find_name_ (fault_string, FAULT_COUNT, faults[1], &b))
      && find_name_ (step_string, STEP_COUNT, parts[1], &step))
    cell = find_cell_ ((enum fault)a, (enum step)step);
  else
    fprintf (stderr, "unknown cell %s; --list names all\n", text);
  *second = (enum fault)b;
  g_strfreev (faults);
  g_strfreev (parts);
  return cell;
}

static void
list_ (void)
{
  size_t i;

  for (i = 0; i < cell_count; i++)
    printf ("%s/%s: point %u%s%s\n", fault_string[cells[i].fault],
            step_string[cells[i].step], cells[i].point,
            cells[i].meaningless == NULL ? "" : "; not run: ",
            cells[i].meaningless == NULL ? "" : cells[i].meaningless);
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
run_all_ (const char *red)
{
  struct tally_ t = { 0 };
  unsigned index;
  unsigned count;
  size_t i;

  if (!parse_shard_ (&index, &count))
    {
      fprintf (stderr, "--shard %s: want I/N with I from 1 to N\n",
               options_.shard);
      return EXIT_FAILURE;
    }
  if (!check_data_ ())
    return EXIT_FAILURE;
  for (i = index - 1; i < cell_count; i += count)
    if (cells[i].meaningless != NULL)
      t.meaningless++;
    else
      run_named_ (&cells[i], FAULT_NONE, red, (uint64_t)options_.seed, &t);
  if (options_.pairs > 0)
    run_pairs_ ((index - 1) * (unsigned)options_.pairs, red, &t);
  printf ("%u passed, %u failed, %u passed over, %u without meaning\n",
          t.passed, t.failed, t.passed_over, t.meaningless);
  return t.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  GOptionContext *context
      = g_option_context_new ("- faults during steps, on the harness");
  GError *error = NULL;
  gchar *red = NULL;
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
  /* A missing file means that nothing is red.  */
  if (options_.known_red != NULL)
    g_file_get_contents (options_.known_red, &red, NULL, NULL);
  if (options_.list)
    {
      list_ ();
      rc = EXIT_SUCCESS;
    }
  else if (options_.cell != NULL)
    {
      struct tally_ t = { 0 };

      cell = parse_cell_ (options_.cell, &second);
      if (cell != NULL)
        run_named_ (cell, second, NULL, (uint64_t)options_.seed, &t);
      rc = t.passed > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    }
  else
    rc = run_all_ (red);
  g_free (red);
  g_free (options_.cell);
  g_free (options_.shard);
  g_free (options_.known_red);
  return rc;
}
