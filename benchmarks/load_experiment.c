/* Plays a pattern of load and faults on the cores for sequenced flows and a
   virtual clock, for many seeds in parallel, and prints what users got in each
   second beside what they could have got at best.  A second build, or one with
   a mechanism switched off, is compared by running its program with the same
   arguments.

   The bound assumes that requests which can still be answered in time are
   never delayed, that the last repetition of a packet arrives 600 ms after the
   first one, and that slots that new requests leave free serve late ones.  */

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "load_scarcity.h"
#include "ragwortyoke/clock.h"
#include "simulation.h"

#define MS RGY_US_PER_MS
#define S RGY_US_PER_S
/* Time from the first request to the fault.  */
#define FAULT_S 5
/* Processes start within this time of each other after a fault.  */
#define START_SPREAD_MS 450
#define LAST_REPEAT_S 0.6
#define LATE_SHARE 0.5

enum pattern_
{
  PATTERN_STEADY,     /* No fault.  */
  PATTERN_POWER_LOSS, /* All machines and backend servers lose power.  */
  PATTERN_KILL_ALL,   /* All balancers and agents are killed.  */
  PATTERN_RELEASE,    /* Backend servers are replaced one after the other.  */
  PATTERN_ROLL,       /* Balancers restart one after the other.  */
  PATTERN_COUNT
};

static const char *const pattern_string[] = {
  [PATTERN_STEADY] = "steady",     [PATTERN_POWER_LOSS] = "power-loss",
  [PATTERN_KILL_ALL] = "kill-all", [PATTERN_RELEASE] = "release",
  [PATTERN_ROLL] = "roll",
};

static struct
{
  gchar *pattern;
  struct scarcity_options scarcity;
  gint first_seed;
  gint seeds;
  gint seconds;
  gint balancers;
  gint agents;
  gint down_ms;
  gint users;
  gint requests_per_s;
  gdouble fresh_share;
  gint retries;
  gint goal_ms;
  gint limit_ms;
  gint slots;
  gint queue;
  gint run_ms;
  gint cold_ms;
  gdouble cold_factor;
} options_ = { .scarcity = { .factor = 3 },
               .first_seed = 1,
               .seeds = 12,
               .seconds = 14,
               .balancers = 4,
               .agents = 7,
               .down_ms = 1000,
               .users = 300,
               .requests_per_s = 320,
               .fresh_share = 0.25,
               .retries = 2,
               .goal_ms = 120,
               .limit_ms = 1000,
               .slots = 2,
               .queue = 8,
               .run_ms = 16,
               .cold_ms = 2000,
               .cold_factor = 1.6 };

#define INT_OPTION(name, field, text)                                         \
  {                                                                           \
    name, 0, 0, G_OPTION_ARG_INT, &options_.field, text, "N"                  \
  }

static const GOptionEntry entries_[] = {
  { "pattern", 0, 0, G_OPTION_ARG_STRING, &options_.pattern,
    "steady, power-loss, kill-all, release or roll (default power-loss); "
    "overload, domain-burst, servers-gone, zone-emptied, half-slow, uneven or "
    "wave, which know only the options before --seconds",
    "NAME" },
  { "site", 0, 0, G_OPTION_ARG_STRING, &options_.scarcity.site,
    "Deployment of an overload: seitkali or bluemahoe", "NAME" },
  { "factor", 0, 0, G_OPTION_ARG_DOUBLE, &options_.scarcity.factor,
    "Factor of the first kind of requests in overload (default 3)", "X" },
  { "table", 0, 0, G_OPTION_ARG_NONE, &options_.scarcity.table,
    "Goodput against the load of all requests, 0.5 to 5 times the capacity",
    NULL },
  INT_OPTION ("first-seed", first_seed, "First seed"),
  INT_OPTION ("seeds", seeds, "Number of seeds"),
  INT_OPTION ("balancers", balancers, "Balancers"),
  INT_OPTION ("agents", agents, "Agents and backend servers"),
  INT_OPTION ("seconds", seconds, "Seconds with requests"),
  INT_OPTION ("down-ms", down_ms, "Duration of the fault"),
  INT_OPTION ("users", users, "Users"),
  INT_OPTION ("requests-per-s", requests_per_s,
              "Requests a second of all users"),
  { "fresh-share", 0, 0, G_OPTION_ARG_DOUBLE, &options_.fresh_share,
    "Share of requests on a flow of their own", "SHARE" },
  INT_OPTION ("retries", retries, "Retries of a request"),
  INT_OPTION ("goal-ms", goal_ms, "Latency goal"),
  INT_OPTION ("limit-ms", limit_ms, "Time after which a user gives up"),
  INT_OPTION ("slots", slots, "Slots of a backend server"),
  INT_OPTION ("queue", queue, "Requests that a backend server queues"),
  INT_OPTION ("run-ms", run_ms, "Mean run time of a request"),
  INT_OPTION ("cold-ms", cold_ms, "Time for which a backend server is cold"),
  { "cold-factor", 0, 0, G_OPTION_ARG_DOUBLE, &options_.cold_factor,
    "Run time of a cold backend server relative to a warm one", "FACTOR" },
  { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL }
};

/* Result of one seed.  */
struct outcome_
{
  guint32 seed;
  GArray *seconds; /* Entries are struct sim_second.  */
  double served_s; /* Time since the fault at which the first balancer and half
                      of the agents run again.  */
};

/* Starts processes at random times within START_SPREAD_MS.  */
struct start_
{
  int64_t at_us;
  int index; /* Agents follow the balancers.  */
};

static int
compare_starts_ (const void *a, const void *b)
{
  const struct start_ *x = a;
  const struct start_ *y = b;

  return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

static double
start_all_ (struct simulation *sim, GRand *rand, bool with_backends)
{
  int n = options_.balancers + options_.agents;
  struct start_ *starts = g_new (struct start_, n);
  int64_t now_us = 0;
  double served_s = 0;
  int agents = 0;
  int balancers = 0;
  int i;

  for (i = 0; i < n; i++)
    starts[i] = (struct start_){
      .at_us = g_rand_int_range (rand, 0, START_SPREAD_MS * MS), .index = i
    };
  qsort (starts, (size_t)n, sizeof starts[0], compare_starts_);
  for (i = 0; i < n; i++)
    {
      sim_run (sim, starts[i].at_us - now_us);
      now_us = MAX (now_us, starts[i].at_us);
      if (starts[i].index < options_.balancers)
        {
          sim_start_balancer (sim, (size_t)starts[i].index);
          balancers++;
        }
      else
        {
          size_t agent = (size_t)(starts[i].index - options_.balancers);

          sim_start_agent (sim, agent);
          if (with_backends)
            sim_start_backend (sim, agent);
          agents++;
        }
      if (served_s <= 0 && balancers > 0 && agents * 2 >= options_.agents)
        served_s = (double)(options_.down_ms * MS + now_us) / S;
    }
  g_free (starts);
  return served_s;
}

static double
stop_and_start_all_ (struct simulation *sim, GRand *rand, bool with_backends)
{
  int i;

  for (i = 0; i < options_.balancers; i++)
    sim_kill_balancer (sim, (size_t)i);
  for (i = 0; i < options_.agents; i++)
    {
      sim_kill_agent (sim, (size_t)i);
      if (with_backends)
        sim_end_backend (sim, (size_t)i, true);
    }
  sim_run (sim, options_.down_ms * MS);
  return start_all_ (sim, rand, with_backends);
}

static void
release_ (struct simulation *sim)
{
  int i;

  for (i = 0; i < options_.agents / 2; i++)
    {
      sim_drain_backend (sim, (size_t)i);
      sim_run (sim, 2 * S);
      sim_end_backend (sim, (size_t)i, false);
      sim_run (sim, 200 * MS);
      sim_start_backend (sim, (size_t)i);
    }
}

static void
roll_ (struct simulation *sim)
{
  int i;

  for (i = 0; i < options_.balancers; i++)
    {
      sim_stop_balancer (sim, (size_t)i);
      sim_run (sim, 1800 * MS);
      sim_kill_balancer (sim, (size_t)i);
      sim_run (sim, 300 * MS);
      sim_start_balancer (sim, (size_t)i);
    }
}

static double
play_pattern_ (struct simulation *sim, GRand *rand, enum pattern_ pattern)
{
  switch (pattern)
    {
    case PATTERN_POWER_LOSS:
      return stop_and_start_all_ (sim, rand, true);
    case PATTERN_KILL_ALL:
      return stop_and_start_all_ (sim, rand, false);
    case PATTERN_RELEASE:
      release_ (sim);
      return 0;
    case PATTERN_ROLL:
      roll_ (sim);
      return 0;
    case PATTERN_STEADY:
    case PATTERN_COUNT:
      break;
    }
  return 0;
}

static enum pattern_ pattern_;

static void
play_seed_ (void *data, void *ctx)
{
  struct outcome_ *outcome = data;
  struct sim_load load = { .users = (unsigned)options_.users,
                           .requests_per_s = options_.requests_per_s,
                           .fresh_share = options_.fresh_share,
                           .retries = (unsigned)options_.retries,
                           .goal_us = options_.goal_ms * MS,
                           .limit_us = options_.limit_ms * MS,
                           .slots = (unsigned)options_.slots,
                           .queue = (unsigned)options_.queue,
                           .run_us = options_.run_ms * MS,
                           .cold_us = options_.cold_ms * MS,
                           .cold_factor = options_.cold_factor };
  struct simulation *sim = sim_new (outcome->seed, (size_t)options_.balancers,
                                    (size_t)options_.agents, 0.0005);
  GRand *rand = g_rand_new_with_seed (outcome->seed + 1);
  const struct sim_second *seconds;
  size_t n;

  (void)ctx;
  sim_set_users (sim, &load);
  sim_start (sim);
  sim_run (sim, 2 * S);
  sim_begin_requests (sim);
  sim_run (sim, FAULT_S * S + g_rand_int_range (rand, 0, 500) * MS);
  outcome->served_s = play_pattern_ (sim, rand, pattern_);
  sim_run (sim, options_.seconds * S);
  n = MIN (sim_get_seconds (sim, &seconds), (size_t)options_.seconds);
  g_array_append_vals (outcome->seconds, seconds, (guint)n);
  g_rand_free (rand);
  sim_delete (sim);
}

static unsigned
count_requests_ (const struct sim_second *s)
{
  return s->in_time + s->late + s->rejected + s->failed;
}

static double
get_worth_ (const struct outcome_ *outcome)
{
  double earned = 0;
  double owed = 0;
  guint i;

  for (i = 0; i < outcome->seconds->len; i++)
    {
      const struct sim_second *s
          = &g_array_index (outcome->seconds, struct sim_second, i);

      earned += s->in_time + LATE_SHARE * s->late;
      owed += count_requests_ (s);
    }
  return owed > 0 ? earned / owed : 1;
}

/* Worth of all requests at best.  */
static double
get_bound_ (const struct outcome_ *outcome)
{
  double per_s = options_.requests_per_s;
  double owed = per_s * options_.seconds;
  double late_s = MIN (outcome->served_s, LAST_REPEAT_S);
  double lost_s = MAX (outcome->served_s - LAST_REPEAT_S, 0);
  double slots_per_s
      = options_.agents * options_.slots * 1000.0
        / (options_.run_ms
           * (pattern_ == PATTERN_POWER_LOSS ? options_.cold_factor : 1));
  double late_limit_s = options_.limit_ms / 1000.0 - LAST_REPEAT_S / 2;
  double late
      = CLAMP ((slots_per_s - per_s) * late_limit_s, 0, late_s * per_s);

  return 1 - (lost_s + late_s) * per_s / owed + LATE_SHARE * late / owed;
}

static void
print_seconds_ (GPtrArray *outcomes)
{
  int second;
  guint i;

  printf ("second  in time     late  refused   failed\n");
  for (second = 0; second < options_.seconds; second++)
    {
      struct sim_tally sum = { 0 };

      for (i = 0; i < outcomes->len; i++)
        {
          const struct outcome_ *o = g_ptr_array_index (outcomes, i);
          const struct sim_second *s;

          if ((guint)second >= o->seconds->len)
            continue;
          s = &g_array_index (o->seconds, struct sim_second, second);
          sum.in_time += s->in_time;
          sum.late += s->late;
          sum.refused += s->rejected;
          sum.failed += s->failed;
        }
      printf ("%6d %8.1f %8.1f %8.1f %8.1f\n", second,
              (double)sum.in_time / outcomes->len,
              (double)sum.late / outcomes->len,
              (double)sum.refused / outcomes->len,
              (double)sum.failed / outcomes->len);
    }
}

static void
print_summary_ (GPtrArray *outcomes)
{
  double sum = 0;
  double squares = 0;
  double bound = 0;
  guint i;

  for (i = 0; i < outcomes->len; i++)
    {
      double worth = get_worth_ (g_ptr_array_index (outcomes, i));

      sum += worth;
      squares += worth * worth;
      bound += get_bound_ (g_ptr_array_index (outcomes, i));
    }
  sum /= outcomes->len;
  squares /= outcomes->len;
  printf ("%s: %u seeds from %d, worth %.4f, spread %.4f, bound %.4f\n",
          pattern_string[pattern_], outcomes->len, options_.first_seed, sum,
          sqrt (MAX (squares - sum * sum, 0)), bound / outcomes->len);
}

static void
free_outcome_ (void *data)
{
  struct outcome_ *outcome = data;

  g_array_unref (outcome->seconds);
  g_free (outcome);
}

/* Checks the arguments; returns an error message or NULL.  */
static const char *
check_options_ (void)
{
  int i;

  pattern_ = PATTERN_POWER_LOSS;
  if (options_.pattern != NULL && !scarcity_has_pattern (options_.pattern))
    {
      for (i = 0; i < PATTERN_COUNT; i++)
        if (g_strcmp0 (options_.pattern, pattern_string[i]) == 0)
          break;
      if (i == PATTERN_COUNT)
        return "--pattern: unknown name";
      pattern_ = (enum pattern_)i;
    }
  if (options_.balancers < 1 || options_.balancers > SIM_MAX_BALANCERS)
    return "--balancers: out of range";
  if (options_.agents < 1 || options_.agents > SIM_MAX_AGENTS)
    return "--agents: out of range";
  if (options_.seeds < 1 || options_.seconds < 1 || options_.users < 1
      || options_.requests_per_s < 1 || options_.slots < 1
      || options_.run_ms < 1 || options_.goal_ms < 1 || options_.limit_ms < 1)
    return "counts and times must be positive";
  return NULL;
}

int
main (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new (NULL);
  GPtrArray *outcomes = g_ptr_array_new_with_free_func (free_outcome_);
  GThreadPool *pool = NULL;
  GError *error = NULL;
  const char *why = NULL;
  int rc = EXIT_FAILURE;
  int i;

  g_option_context_add_main_entries (context, entries_, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "load_experiment: %s\n", error->message);
      goto out;
    }
  why = check_options_ ();
  if (why != NULL)
    {
      fprintf (stderr, "load_experiment: %s\n", why);
      goto out;
    }
  if (options_.scarcity.table || scarcity_has_pattern (options_.pattern))
    {
      options_.scarcity.first_seed = options_.first_seed;
      options_.scarcity.seeds = options_.seeds;
      options_.scarcity.balancers = options_.balancers;
      options_.scarcity.agents = options_.agents;
      why = scarcity_play (options_.scarcity.table ? "overload"
                                                   : options_.pattern,
                           &options_.scarcity);
      if (why != NULL)
        fprintf (stderr, "load_experiment: %s\n", why);
      else
        rc = EXIT_SUCCESS;
      goto out;
    }
  pool = g_thread_pool_new (play_seed_, NULL,
                            (gint)MAX (g_get_num_processors () / 2, 1), TRUE,
                            &error);
  if (pool == NULL)
    {
      fprintf (stderr, "load_experiment: %s\n", error->message);
      goto out;
    }
  for (i = 0; i < options_.seeds; i++)
    {
      struct outcome_ *outcome = g_new0 (struct outcome_, 1);

      outcome->seed = (guint32)(options_.first_seed + i);
      outcome->seconds = g_array_new (FALSE, TRUE, sizeof (struct sim_second));
      g_ptr_array_add (outcomes, outcome);
      (void)g_thread_pool_push (pool, outcome, NULL);
    }
  g_thread_pool_free (pool, FALSE, TRUE);
  print_seconds_ (outcomes);
  print_summary_ (outcomes);
  rc = EXIT_SUCCESS;
out:
  g_clear_error (&error);
  g_ptr_array_unref (outcomes);
  g_option_context_free (context);
  return rc;
}
