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

/* Posts records in new flows and returns true when the backend server of agent
   1 has executed one of these records.  */
static bool
is_serving_ (void *ctx)
{
  struct serving_wait_ *w = ctx;
  json_int_t before = cluster_get_backend_stat (w->c, 1, "records");
  char *name = g_strdup_printf ("round%u", w->round++);

  cluster_post_records (w->c, name, 8);
  g_free (name);
  return cluster_get_backend_stat (w->c, 1, "records") > before;
}

struct probe_wait_
{
  struct cluster *c;
  json_int_t pings;
};

/* Returns true after three more probes of backend server 0. All agents probe
   their backend servers at the same interval, so by then an agent that is
   wrongly in service would have probed backend server 1 as well.  */
static bool
is_probed_again_ (void *ctx)
{
  const struct probe_wait_ *w = ctx;

  return cluster_get_backend_stat (w->c, 0, "pings") >= w->pings + 3;
}

/* Guards against packets that still reach a failure domain that is out of
   service, and against a failure domain that serves no flows after it has
   returned to service.  */
void
failure_domain_leaves_service_and_returns (void **state)
{
  struct cluster *c = cluster_new (2, 2, "");
  struct serving_wait_ wait = { .c = c };
  struct probe_wait_ probes = { .c = c };
  json_int_t requests;
  json_int_t pings;
  size_t line;

  (void)state;
  cluster_post_records (c, "before", CALLERS);
  line = process_get_length (c->fabric, STREAM_OUT);
  assert_int_equal (cluster_run_ctl (c, "domain out dom-b"), 0);
  assert_false (cluster_is_ready (c, HOST_BALANCER + 1));
  process_await_line (c->fabric, STREAM_OUT, "not-ready", line);
  /* The stand-in reads datagrams that were already in its socket at the latest
     in the loop iteration that answers the first request.  */
  (void)cluster_get_backend_stat (c, 1, "requests");
  requests = cluster_get_backend_stat (c, 1, "requests");
  pings = cluster_get_backend_stat (c, 1, "pings");
  probes.pings = cluster_get_backend_stat (c, 0, "pings");
  cluster_post_records (c, "out", CALLERS);
  await_condition (is_probed_again_, &probes,
                   "the agent in service to probe three times");
  assert_int_equal (cluster_get_backend_stat (c, 1, "requests"), requests);
  assert_int_equal (cluster_get_backend_stat (c, 1, "pings"), pings);
  assert_int_equal (cluster_run_ctl (c, "domain in dom-b"), 0);
  cluster_await_ready (c, HOST_BALANCER + 1, true);
  cluster_await_agent (c, 1);
  await_condition (is_serving_, &wait, "the failure domain to serve");
  cluster_check_all_running (c);
  cluster_delete (c);
}

/* Guards against a lost update when two operators change a contract at the
   same time: one must succeed, and the other must be rejected with a message
   that shows both changes.  */
void
concurrent_contract_updates_lose_nothing (void **state)
{
  static const unsigned limits[] = { 61000000, 62000000 };
  struct cluster *c = cluster_new (1, 1, "");
  json_int_t revision = cluster_get_contract_revision (c, 0);
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
  text = cluster_read_ctl (c, "contract get " CLUSTER_CUSTOMER);
  assert_non_null (strstr (text, limit_texts[winner]));
  g_free (text);
  /* The history contains the revision before both changes, but not the
     rejected change.  */
  text = cluster_read_ctl (c, "contract history " CLUSTER_CUSTOMER);
  line = g_strdup_printf ("revision %d\n", (int)revision);
  assert_non_null (strstr (text, line));
  assert_null (strstr (text, limit_texts[1 - winner]));
  g_free (line);
  g_free (text);
  assert_true (cluster_get_contract_revision (c, 0) > revision);
  for (i = 0; i < 2; i++)
    g_free (limit_texts[i]);
  cluster_delete (c);
}
