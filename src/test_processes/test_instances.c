#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "cluster.h"
#include "tests.h"

/* With 16 callers and two agents, it is improbable (2^-16) that an agent has
   no caller, and 16 requests fit into the queue of one agent.  */
#define CALLERS 16
#define CALLERS_TEXT "16"
#define WATCH_OPTIONS                                                         \
  "--callers " CALLERS_TEXT " --watch 600 --until-version 2 "                 \
  "--silence-ms 600000 --deadline-ms 60000"

/* Checks that every watch received version 2 under its first registration.  */
static void
check_watches_ (struct process *watches)
{
  json_t *results = cluster_await_callers (watches);
  const json_t *result;
  size_t i;

  assert_int_equal (json_array_size (results), CALLERS);
  json_array_foreach (results, i, result)
  {
    if (json_integer_value (json_object_get (result, "registrations")) != 1
        || json_integer_value (json_object_get (result, "lost")) != 0
        || json_integer_value (json_object_get (result, "last_version")) != 2)
      fail_msg ("a watch was interrupted: %s",
                json_dumps (result, JSON_COMPACT));
  }
  json_decref (results);
}

/* Checks that EXPECTED records were accepted and executed once.  */
static void
check_posts_ (struct cluster *c, struct process *posts, size_t expected)
{
  json_t *results = cluster_await_callers (posts);

  if (cluster_check_records (c, results) != expected)
    fail_msg ("not all records were accepted: %s",
              json_dumps (results, JSON_COMPACT));
  json_decref (results);
}

struct busy_wait_
{
  struct cluster *c;
  unsigned index;
};

static json_int_t
get_agent_stat_ (const struct cluster *c, unsigned index, const char *name)
{
  json_t *status
      = cluster_get_json (c, HOST_AGENT + index, PORT_HTTP, "/v1/status");
  json_int_t value = json_integer_value (json_object_get (status, name));

  json_decref (status);
  return value;
}

/* Finds an agent with a request in execution, at least two queued requests and
   a watch.  */
static bool
find_busy_agent_ (void *ctx)
{
  struct busy_wait_ *w = ctx;
  unsigned i;

  for (i = 0; i < w->c->agent_count; i++)
    if (get_agent_stat_ (w->c, i, "running") >= 1
        && get_agent_stat_ (w->c, i, "queued") >= 2
        && cluster_get_backend_stat (w->c, i, "records") >= 1
        && cluster_get_backend_stat (w->c, i, "observers") >= 1)
      {
        w->index = i;
        return true;
      }
  return false;
}

/* Guards against a planned stop of an agent that interrupts requests in
   execution, drops queued ones, loses watches, or exceeds the concurrency
   limit of a backend server while its flows move to another agent.  */
void
planned_agent_stop_interrupts_nothing (void **state)
{
  struct cluster *c = cluster_new (2, 2, " --work-ms 300");
  struct process *watches;
  struct process *posts;
  struct busy_wait_ wait = { .c = c };

  (void)state;
  watches = cluster_start_callers (c, "watch", WATCH_OPTIONS);
  cluster_await_backend_sum (c, "observers", CALLERS);
  posts = cluster_start_callers (
      c, "post", "--callers " CALLERS_TEXT " --post 1 --deadline-ms 60000");
  await_condition (find_busy_agent_, &wait,
                   "an agent with running and queued requests");
  process_signal (c->agents[wait.index], SIGTERM);
  assert_int_equal (process_await_exit (c->agents[wait.index]), 0);
  check_posts_ (c, posts, CALLERS);
  cluster_raise_versions (c, 2);
  check_watches_ (watches);
  assert_int_equal (cluster_sum_backend_stats (c, "overload_violations"), 0);
  assert_int_equal (cluster_sum_backend_stats (c, "slots_exceeded"), 0);
  cluster_delete (c);
}

/* Guards against flow state that exists only in a balancer: its crash must
   break no session, lose no record and execute none twice.  */
void
killed_balancer_breaks_no_session (void **state)
{
  /* Confirmable notifications are retransmitted, so that those that the killed
     balancer did not forward still arrive.  */
  struct cluster *c = cluster_new (3, 2, " --confirm-every 1");
  struct process *watches;
  struct process *posts;

  (void)state;
  watches = cluster_start_callers (c, "watch", WATCH_OPTIONS);
  cluster_await_backend_sum (c, "observers", CALLERS);
  posts = cluster_start_callers (c, "post",
                                 "--callers 4 --post 20 --interval-ms 20 "
                                 "--deadline-ms 60000 --attempts 20");
  cluster_await_backend_sum (c, "records", 8);
  process_signal (c->balancers[1], SIGKILL);
  cluster_raise_versions (c, 2);
  assert_int_equal (process_await_exit (c->balancers[1]), -SIGKILL);
  check_posts_ (c, posts, 80);
  check_watches_ (watches);
  cluster_delete (c);
}

/* Guards against a second execution of a record whose agent crashed after the
   delivery, and against an answer "not-run" for it, which would be wrong.  */
void
killed_agent_yields_unknown_outcome (void **state)
{
  /* The backend server neither acknowledges nor answers the request before the
     test ends.  */
  struct cluster *c
      = cluster_new (2, 2, " --work-ms 600000 --separate-ms 1200000");
  struct process *post;
  json_t *results;
  json_t *result;
  unsigned index;

  (void)state;
  post = cluster_start_callers (
      c, "post", "--post 1 --deadline-ms 60000 --ack-timeout-ms 1000");
  cluster_await_backend_sum (c, "records", 1);
  index = cluster_get_backend_stat (c, 0, "records") == 1 ? 0 : 1;
  process_signal (c->agents[index], SIGKILL);
  assert_int_equal (process_await_exit (c->agents[index]), -SIGKILL);
  cluster_start_agent (c, index);
  results = cluster_await_callers (post);
  assert_int_equal (json_array_size (results), 1);
  result = json_array_get (results, 0);
  if (json_array_size (json_object_get (result, "unknown")) != 1
      || json_integer_value (
             json_object_get (json_object_get (result, "refusals"), "5.04"))
             != 1)
    fail_msg ("the record was not answered as outcome-unknown: %s",
              json_dumps (result, JSON_COMPACT));
  cluster_check_records (c, results);
  assert_int_equal (cluster_sum_backend_stats (c, "records"), 1);
  json_decref (results);
  cluster_delete (c);
}

struct serving_wait_
{
  struct cluster *c;
  unsigned index;
  unsigned round;
};

/* Posts records in new flows and returns true when the backend server of the
   agent has executed one of these records.  */
static bool
is_serving_ (void *ctx)
{
  struct serving_wait_ *w = ctx;
  json_int_t before = cluster_get_backend_stat (w->c, w->index, "records");
  char *name = g_strdup_printf ("round%u", w->round++);

  cluster_post_records (w->c, name, 8);
  g_free (name);
  return cluster_get_backend_stat (w->c, w->index, "records") > before;
}

/* Guards against an agent that stays out of use after a pause during which it
   was declared dead: its buckets must move during the pause and return after
   it. No record may be executed twice when the agent processes what it
   received before the pause.  */
void
paused_agent_serves_again_after_being_declared_dead (void **state)
{
  struct cluster *c = cluster_new (2, 3, "");
  struct serving_wait_ wait = { .c = c, .index = 0 };
  struct process *posts;
  json_t *results;

  (void)state;
  posts = cluster_start_callers (c, "post",
                                 "--callers 8 --post 100 --interval-ms 20 "
                                 "--deadline-ms 60000 --attempts 20");
  cluster_await_backend_sum (c, "records", 24);
  process_signal (c->agents[0], SIGSTOP);
  cluster_await_state (c, 0, 0, "dead");
  cluster_await_state (c, 1, 0, "dead");
  cluster_post_records (c, "moved", CALLERS);
  process_signal (c->agents[0], SIGCONT);
  cluster_await_agent (c, 0);
  results = cluster_await_callers (posts);
  cluster_check_records (c, results);
  json_decref (results);
  await_condition (is_serving_, &wait, "the resumed agent to serve");
  cluster_check_all_running (c);
  cluster_delete (c);
}
