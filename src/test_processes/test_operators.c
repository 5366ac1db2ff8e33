#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "cluster.h"
#include "tests.h"

#define CTL_EXIT_CONFLICT 2
#define CALLERS 16

struct serving_wait_
{
  struct cluster *c;
  unsigned round;
};

static bool
serves_ (void *ctx)
{
  struct serving_wait_ *w = ctx;
  json_int_t before = cluster_backend_stat (w->c, 1, "records");
  char *name = g_strdup_printf ("round%u", w->round++);

  cluster_post (w->c, name, 8);
  g_free (name);
  return cluster_backend_stat (w->c, 1, "records") > before;
}

struct probe_wait_
{
  struct cluster *c;
  json_int_t pings;
};

/* Agents probe their backend servers at one interval: after three probes of
   the first one, the other one would have been probed as well.  */
static bool
is_probed_again_ (void *ctx)
{
  const struct probe_wait_ *w = ctx;

  return cluster_backend_stat (w->c, 0, "pings") >= w->pings + 3;
}

/* Guards against packets that still reach a failure domain that is out, and
   against one that does not serve again after its return.  */
void
failure_domain_goes_out_and_returns (void **state)
{
  struct cluster *c = cluster_new (2, 2, "");
  struct serving_wait_ wait = { .c = c };
  struct probe_wait_ probes = { .c = c };
  json_int_t requests;
  json_int_t pings;
  size_t line;

  (void)state;
  cluster_post (c, "before", CALLERS);
  line = process_get_length (c->fabric, STREAM_OUT);
  assert_int_equal (cluster_ctl (c, "domain out dom-b"), 0);
  assert_false (cluster_is_ready (c, HOST_BALANCER + 1));
  process_await_line (c->fabric, STREAM_OUT, "not-ready", line);
  /* Datagrams that were already in the stand-in's socket are read at the
     latest in the round of its loop that serves the first request.  */
  (void)cluster_backend_stat (c, 1, "requests");
  requests = cluster_backend_stat (c, 1, "requests");
  pings = cluster_backend_stat (c, 1, "pings");
  probes.pings = cluster_backend_stat (c, 0, "pings");
  cluster_post (c, "out", CALLERS);
  await (is_probed_again_, &probes, "the other agent to probe three times");
  assert_int_equal (cluster_backend_stat (c, 1, "requests"), requests);
  assert_int_equal (cluster_backend_stat (c, 1, "pings"), pings);
  assert_int_equal (cluster_ctl (c, "domain in dom-b"), 0);
  cluster_await_ready (c, HOST_BALANCER + 1, true);
  cluster_await_agent (c, 1);
  await (serves_, &wait, "the failure domain to serve");
  cluster_check_all_running (c);
  cluster_delete (c);
}

/* Guards against a lost update when two operators change one contract at the
   same time.  */
void
racing_operators_lose_nothing (void **state)
{
  static const unsigned limits[] = { 61000000, 62000000 };
  struct cluster *c = cluster_new (1, 1, "");
  json_int_t revision = cluster_revision (c, 0);
  struct process *ctl[2];
  char *limit_texts[2];
  int statuses[2];
  const char *error;
  char *text;
  char *path;
  char *line;
  int winner;
  int i;

  (void)state;
  for (i = 0; i < 2; i++)
    {
      path = cluster_write_contract (c, limits[i]);
      line = g_strdup_printf ("contract put %s --expect-revision %d", path,
                              (int)revision);
      ctl[i] = cluster_start_ctl (c, line);
      limit_texts[i] = g_strdup_printf ("%u", limits[i]);
      g_free (line);
      g_free (path);
    }
  for (i = 0; i < 2; i++)
    statuses[i] = process_await_exit (ctl[i]);
  winner = statuses[0] == 0 ? 0 : 1;
  assert_int_equal (statuses[winner], 0);
  assert_int_equal (statuses[1 - winner], CTL_EXIT_CONFLICT);
  error = process_get_text (ctl[1 - winner], STREAM_ERROR);
  assert_non_null (strstr (error, limit_texts[0]));
  assert_non_null (strstr (error, limit_texts[1]));
  text = cluster_ctl_read (c, "contract get " CLUSTER_CUSTOMER);
  assert_non_null (strstr (text, limit_texts[winner]));
  g_free (text);
  /* The version before the race is in the history, the loser's is not.  */
  text = cluster_ctl_read (c, "contract history " CLUSTER_CUSTOMER);
  line = g_strdup_printf ("revision %d\n", (int)revision);
  assert_non_null (strstr (text, line));
  assert_null (strstr (text, limit_texts[1 - winner]));
  g_free (line);
  g_free (text);
  assert_true (cluster_revision (c, 0) > revision);
  for (i = 0; i < 2; i++)
    g_free (limit_texts[i]);
  cluster_delete (c);
}
