/* Compares the trace of whole sessions with golden files byte for byte, so
   that a change of the order, the path or the content of any datagram of a
   session is seen, and any source of nondeterminism in the cores.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "deployment.h"

#define SEED 1
#define INTERVAL_US (4 * H_S)
#define STEP_US (6 * H_S)
#define OUT_US (8 * H_S)
#define END_US (3 * H_S)

static struct node *
find_holder_ (const struct deployment *d)
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
get_holder_ (const struct deployment *d)
{
  struct node *holder = find_holder_ (d);

  assert_non_null (holder);
  return holder;
}

/* One watch, and now and then a record and a fetch, while the holder of the
   watch drains, a balancer dies, and the failure domain of the new holder
   goes out and comes back.  Free with free().  */
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
  callers[1] = harness_add_caller (
      d->h, CALLER_POST, DEPLOYMENT_CUSTOMER_IP + 2, d->desk, INTERVAL_US);
  callers[2] = harness_add_caller (
      d->h, CALLER_GET, DEPLOYMENT_CUSTOMER_IP + 3, d->guide, INTERVAL_US);
  deployment_run (d, STEP_US);
  harness_drain (d->h, get_holder_ (d));
  deployment_run (d, STEP_US);
  harness_kill (d->h, d->balancers[0]);
  deployment_run (d, STEP_US);
  domain = get_holder_ (d)->domain;
  harness_order_domain (d->h, domain, true);
  deployment_run (d, OUT_US);
  harness_order_domain (d->h, domain, false);
  deployment_run (d, OUT_US);
  for (i = 0; i < G_N_ELEMENTS (callers); i++)
    harness_stop_caller (callers[i]);
  deployment_run (d, END_US);
  deployment_delete (d);
  fclose (out);
  return text;
}

static char *
golden_path_ (enum deployment_kind kind)
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
check_golden_ (enum deployment_kind kind)
{
  char *path = golden_path_ (kind);
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
test_sul (void **state)
{
  (void)state;
  check_golden_ (DEPLOYMENT_SUL);
}

static void
test_great_lakes (void **state)
{
  (void)state;
  check_golden_ (DEPLOYMENT_GREAT_LAKES);
}

/* Guards against dependence on addresses of earlier allocations.  */
static void
test_second_run_is_the_same (void **state)
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
regenerate_ (void)
{
  enum deployment_kind kind;
  int rc = EXIT_SUCCESS;

  for (kind = DEPLOYMENT_SUL; kind < DEPLOYMENT_COUNT; kind++)
    {
      char *path = golden_path_ (kind);
      char *text = trace_session_ (kind);
      GError *error = NULL;

      if (!g_file_set_contents (path, text, -1, &error))
        {
          fprintf (stderr, "test_golden: %s\n", error->message);
          g_clear_error (&error);
          rc = EXIT_FAILURE;
        }
      free (text);
      g_free (path);
    }
  return rc;
}

/* Usage: test_golden [--regenerate].  */
int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_sul),
    cmocka_unit_test (test_great_lakes),
    cmocka_unit_test (test_second_run_is_the_same),
  };

  if (argc > 1)
    {
      if (strcmp (argv[1], "--regenerate") == 0)
        return regenerate_ ();
      fprintf (stderr, "test_golden: %s: only --regenerate is known\n",
               argv[1]);
      return EXIT_FAILURE;
    }
  return cmocka_run_group_tests (tests, NULL, NULL);
}
