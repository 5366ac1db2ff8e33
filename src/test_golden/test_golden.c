/* Compares the traces of whole sessions with golden files byte for byte.  This
   guards against unintended changes of the order, path or content of a
   session's datagrams, and against nondeterminism in the cores.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "deployment.h"

#define SEED 1
#define REQUEST_INTERVAL_US (4 * H_S)
#define STEP_US (6 * H_S)
#define DOMAIN_CHANGE_US (8 * H_S)
#define END_US (3 * H_S)

/* Running agent of the desk service whose backend server has an observer,
   or NULL.  */
static struct node *
find_observed_agent_ (const struct deployment *d)
{
  unsigned i;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i++)
    {
      struct node *n = d->desk_agents[i];

      if (n->alive && g_hash_table_size (n->backend.observers) > 0)
        return n;
    }
  return NULL;
}

static struct node *
get_observed_agent_ (const struct deployment *d)
{
  struct node *agent = find_observed_agent_ (d);

  assert_non_null (agent);
  return agent;
}

/* Traces one watch, one poster and one getter while the agent that owns the
   watch drains, a balancer is killed, and the failure domain of the new owner
   is taken out and comes back.  Free the trace with free().  */
static char *
trace_session_ (enum deployment_kind kind)
{
  const struct harness_settings settings = { .seed = SEED };
  struct deployment *d = deployment_new (kind, &settings);
  struct caller *callers[3];
  unsigned domain;
  char *text = NULL;
  size_t len = 0;
  FILE *out = open_memstream (&text, &len);
  size_t i;

  assert_non_null (out);
  harness_trace_datagrams (d->h, out);
  callers[0] = harness_add_caller (d->h, CALLER_WATCH,
                                   DEPLOYMENT_CUSTOMER_IP + 1, d->desk, 0);
  callers[1]
      = harness_add_caller (d->h, CALLER_POST, DEPLOYMENT_CUSTOMER_IP + 2,
                            d->desk, REQUEST_INTERVAL_US);
  callers[2]
      = harness_add_caller (d->h, CALLER_GET, DEPLOYMENT_CUSTOMER_IP + 3,
                            d->guide, REQUEST_INTERVAL_US);
  deployment_run (d, STEP_US);
  harness_drain (d->h, get_observed_agent_ (d));
  deployment_run (d, STEP_US);
  harness_kill (d->h, d->balancers[0]);
  deployment_run (d, STEP_US);
  domain = get_observed_agent_ (d)->domain;
  harness_order_domain (d->h, domain, true);
  deployment_run (d, DOMAIN_CHANGE_US);
  harness_order_domain (d->h, domain, false);
  deployment_run (d, DOMAIN_CHANGE_US);
  for (i = 0; i < G_N_ELEMENTS (callers); i++)
    harness_stop_caller (callers[i]);
  deployment_run (d, END_US);
  deployment_delete (d);
  fclose (out);
  return text;
}

static char *
make_golden_path_ (enum deployment_kind kind)
{
  return g_strdup_printf ("%s/%s.txt", RGY_GOLDEN_DIR,
                          deployment_string[kind]);
}

static void
print_difference_ (const char *expected, const char *actual)
{
  char **a = g_strsplit (expected, "\n", -1);
  char **b = g_strsplit (actual, "\n", -1);
  size_t i;

  for (i = 0; a[i] != NULL && b[i] != NULL && strcmp (a[i], b[i]) == 0; i++)
    ;
  print_message ("  first difference in line %zu\n  expected: %s\n"
                 "  actual:   %s\n",
                 i + 1, a[i] != NULL ? a[i] : "(end)",
                 b[i] != NULL ? b[i] : "(end)");
  g_strfreev (a);
  g_strfreev (b);
}

static void
check_golden_trace_ (enum deployment_kind kind)
{
  char *path = make_golden_path_ (kind);
  char *actual = trace_session_ (kind);
  char *expected = NULL;
  GError *error = NULL;
  bool same;

  if (!g_file_get_contents (path, &expected, NULL, &error))
    fail_msg ("%s", error->message);
  same = strcmp (expected, actual) == 0;
  if (!same)
    print_difference_ (expected, actual);
  free (actual);
  g_free (expected);
  g_free (path);
  assert_true (same);
}

static void
test_sul_session_matches_golden_trace (void **state)
{
  (void)state;
  check_golden_trace_ (DEPLOYMENT_SUL);
}

static void
test_great_lakes_session_matches_golden_trace (void **state)
{
  (void)state;
  check_golden_trace_ (DEPLOYMENT_GREAT_LAKES);
}

/* Guards against behaviour that depends on the addresses of memory blocks,
   which differ between two runs in one process.  */
static void
test_second_run_gives_same_trace (void **state)
{
  char *first = trace_session_ (DEPLOYMENT_SUL);
  char *second = trace_session_ (DEPLOYMENT_SUL);
  bool same = strcmp (first, second) == 0;

  (void)state;
  if (!same)
    print_difference_ (first, second);
  free (first);
  free (second);
  assert_true (same);
}

static int
regenerate_golden_files_ (void)
{
  enum deployment_kind kind;
  int rc = EXIT_SUCCESS;

  for (kind = DEPLOYMENT_SUL; kind < DEPLOYMENT_COUNT; kind++)
    {
      char *path = make_golden_path_ (kind);
      char *text = trace_session_ (kind);
      GError *error = NULL;

      if (!g_file_set_contents (path, text, -1, &error))
        {
          fprintf (stderr, "test_golden: cannot write a golden file: %s\n",
                   error->message);
          g_clear_error (&error);
          rc = EXIT_FAILURE;
        }
      free (text);
      g_free (path);
    }
  return rc;
}

/* Usage: test_golden [--regenerate]; this option writes the golden files.  */
int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_sul_session_matches_golden_trace),
    cmocka_unit_test (test_great_lakes_session_matches_golden_trace),
    cmocka_unit_test (test_second_run_gives_same_trace),
  };

  if (argc > 1)
    {
      if (strcmp (argv[1], "--regenerate") == 0)
        return regenerate_golden_files_ ();
      fprintf (
          stderr,
          "test_golden: unknown option %s; the only option is --regenerate\n",
          argv[1]);
      return EXIT_FAILURE;
    }
  return cmocka_run_group_tests (tests, NULL, NULL);
}
