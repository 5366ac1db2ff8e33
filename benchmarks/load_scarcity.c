#include "load_scarcity.h"

#include <stdio.h>

#include "ragwortyoke/clock.h"
#include "scarcity.h"

#define S RGY_US_PER_S
/* Time with the deployment's own load after the excess.  */
#define AFTER_S 4
#define EXCESS_END_S (SIM_CALM_S + SIM_EXCESS_S)
#define END_S (EXCESS_END_S + AFTER_S)
/* Time in which requests of the last second end.  */
#define DRAIN_S 3

struct seed_outcome_
{
  struct sim_scarcity play;
  struct sim_tally of[END_S][SIM_MAX_KINDS][SIM_MAX_DOMAINS];
  GArray *waits[SIM_MAX_KINDS]; /* Entries are unsigned, by milliseconds.  */
  struct sim_counts counts;
};

static bool
find_pattern_ (const char *name, enum sim_pattern *pattern)
{
  size_t i;

  for (i = 0; i < SIM_PATTERN_COUNT; i++)
    if (g_strcmp0 (name, sim_pattern_string[i]) == 0)
      {
        *pattern = (enum sim_pattern)i;
        return true;
      }
  return false;
}

bool
scarcity_has_pattern (const char *name)
{
  enum sim_pattern pattern;

  return find_pattern_ (name, &pattern);
}

static void
play_seed_ (void *data, void *ctx)
{
  struct seed_outcome_ *outcome = data;
  struct sim_scarcity *s = &outcome->play;
  struct simulation *sim = sim_scarcity_start (s);
  size_t second;
  size_t i;

  (void)ctx;
  sim_scarcity_begin (s, sim);
  sim_scarcity_run (s, sim, SIM_EXCESS_S * S - s->elapsed_us);
  sim_scarcity_end (s, sim);
  sim_run (sim, (AFTER_S + DRAIN_S) * S);
  for (second = 0; second < END_S; second++)
    for (i = 0; i < (size_t)SIM_MAX_KINDS * SIM_MAX_DOMAINS; i++)
      outcome->of[second][i / SIM_MAX_DOMAINS][i % SIM_MAX_DOMAINS]
          = sim_sum_seconds (sim, second, second + 1, i / SIM_MAX_DOMAINS,
                             i % SIM_MAX_DOMAINS);
  for (i = 0; i < SIM_MAX_KINDS; i++)
    outcome->waits[i] = g_array_copy ((GArray *)sim_get_waits (sim, i));
  outcome->counts = *sim_get_counts (sim);
  sim_delete (sim);
}

static void
free_outcome_ (void *data)
{
  struct seed_outcome_ *outcome = data;
  size_t i;

  for (i = 0; i < SIM_MAX_KINDS; i++)
    if (outcome->waits[i] != NULL)
      g_array_unref (outcome->waits[i]);
  g_free (outcome);
}

/* Plays all seeds; returns NULL if no threads can be started.  */
static GPtrArray *
play_seeds_ (const struct sim_scarcity *play, int first_seed, int seeds)
{
  GPtrArray *outcomes = g_ptr_array_new_with_free_func (free_outcome_);
  GThreadPool *pool = g_thread_pool_new (
      play_seed_, NULL, (gint)MAX (g_get_num_processors () / 2, 1), TRUE,
      NULL);
  int i;

  if (pool == NULL)
    {
      g_ptr_array_unref (outcomes);
      return NULL;
    }
  for (i = 0; i < seeds; i++)
    {
      struct seed_outcome_ *outcome = g_new0 (struct seed_outcome_, 1);

      outcome->play = *play;
      outcome->play.seed = (uint64_t)first_seed + (uint64_t)i;
      g_ptr_array_add (outcomes, outcome);
      (void)g_thread_pool_push (pool, outcome, NULL);
    }
  g_thread_pool_free (pool, FALSE, TRUE);
  return outcomes;
}

static struct sim_tally
sum_ (GPtrArray *outcomes, size_t first, size_t end, size_t kind,
      size_t domain)
{
  struct sim_tally sum = { 0 };
  guint i;
  size_t second;
  size_t k;
  size_t d;

  for (i = 0; i < outcomes->len; i++)
    for (second = first; second < end; second++)
      for (k = 0; k < SIM_MAX_KINDS; k++)
        for (d = 0; d < SIM_MAX_DOMAINS; d++)
          {
            const struct seed_outcome_ *outcome
                = g_ptr_array_index (outcomes, i);
            const struct sim_tally *of = &outcome->of[second][k][d];

            if ((kind != SIM_ALL && kind != k)
                || (domain != SIM_ALL && domain != d))
              continue;
            sum.in_time += of->in_time;
            sum.late += of->late;
            sum.refused += of->refused;
            sum.failed += of->failed;
          }
  return sum;
}

static double
get_share_ (const struct sim_tally *t, unsigned part)
{
  unsigned all = t->in_time + t->late + t->refused + t->failed;

  return all == 0 ? 1 : (double)part / all;
}

/* Wait in milliseconds that a share of the answered requests does not
   exceed.  */
static unsigned
get_wait_ (GPtrArray *outcomes, size_t kind, double share)
{
  GArray *sum = g_array_new (FALSE, TRUE, sizeof (unsigned));
  double left = 0;
  unsigned ms;
  guint i;

  for (i = 0; i < outcomes->len; i++)
    {
      const struct seed_outcome_ *o = g_ptr_array_index (outcomes, i);
      const GArray *waits = o->waits[kind];

      if (waits->len > sum->len)
        g_array_set_size (sum, waits->len);
      for (ms = 0; ms < waits->len; ms++)
        {
          unsigned n = g_array_index (waits, unsigned, ms);

          g_array_index (sum, unsigned, ms) += n;
          left += n * share;
        }
    }
  for (ms = 0; ms < sum->len; ms++)
    {
      left -= g_array_index (sum, unsigned, ms);
      if (left <= 0)
        break;
    }
  g_array_unref (sum);
  return ms;
}

static double
get_possible_ (GPtrArray *outcomes)
{
  double sum = 0;
  guint i;

  for (i = 0; i < outcomes->len; i++)
    sum += ((const struct seed_outcome_ *)g_ptr_array_index (outcomes, i))
               ->play.possible;
  return sum;
}

static void
print_seconds_ (GPtrArray *outcomes, const struct sim_site *site)
{
  double n = outcomes->len;
  size_t second;
  size_t kind;

  printf ("second");
  for (kind = 0; kind < site->n_kinds; kind++)
    printf (" | kind %zu: in time   late refused failed", kind);
  printf ("\n");
  for (second = 0; second < END_S; second++)
    {
      printf ("%6zu", second);
      for (kind = 0; kind < site->n_kinds; kind++)
        {
          struct sim_tally t
              = sum_ (outcomes, second, second + 1, kind, SIM_ALL);

          printf (" |        %9.1f %6.1f %7.1f %6.1f", t.in_time / n,
                  t.late / n, t.refused / n, t.failed / n);
        }
      printf ("\n");
    }
}

static void
print_excess_ (GPtrArray *outcomes, const struct sim_site *site)
{
  struct sim_tally all
      = sum_ (outcomes, SIM_CALM_S, EXCESS_END_S, SIM_ALL, SIM_ALL);
  struct sim_counts counts = { 0 };
  size_t i;
  guint k;

  printf ("excess: in time %.3f of what the slots can serve\n",
          all.in_time / get_possible_ (outcomes));
  for (i = 0; i < site->n_kinds; i++)
    {
      struct sim_tally t
          = sum_ (outcomes, SIM_CALM_S, EXCESS_END_S, i, SIM_ALL);

      printf ("  kind %zu: in time %.3f late %.3f refused %.3f failed %.3f, "
              "wait p50 %u ms, p99 %u ms\n",
              i, get_share_ (&t, t.in_time), get_share_ (&t, t.late),
              get_share_ (&t, t.refused), get_share_ (&t, t.failed),
              get_wait_ (outcomes, i, 0.5), get_wait_ (outcomes, i, 0.99));
    }
  for (i = 0; i < site->domains; i++)
    {
      struct sim_tally t
          = sum_ (outcomes, SIM_CALM_S, EXCESS_END_S, SIM_ALL, i);

      printf ("  callers of domain %zu: in time %.3f\n", i,
              get_share_ (&t, t.in_time));
    }
  for (k = 0; k < outcomes->len; k++)
    {
      const struct seed_outcome_ *o = g_ptr_array_index (outcomes, k);

      counts.refused_with_room += o->counts.refused_with_room;
      counts.ran_for_nobody += o->counts.ran_for_nobody;
      counts.ran_twice += o->counts.ran_twice;
      counts.refused_and_ran += o->counts.refused_and_ran;
    }
  printf ("  refused with room %u, ran for nobody %u, ran twice %u, refused "
          "and ran %u\n",
          counts.refused_with_room, counts.ran_for_nobody, counts.ran_twice,
          counts.refused_and_ran);
}

static const char *
print_table_ (struct sim_scarcity *play,
              const struct scarcity_options *options)
{
  static const double loads[] = { 0.5, 0.8, 1, 1.2, 1.5, 2, 3, 5 };
  size_t i;
  size_t kind;

  printf ("| load | kind | asked/s | in time/s | late | refused | failed | "
          "wait p50 ms | p99 ms |\n| --- | --- | --- | --- | --- | --- | --- "
          "| --- | --- |\n");
  for (i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      GPtrArray *outcomes;

      play->load = loads[i];
      outcomes = play_seeds_ (play, options->first_seed, options->seeds);
      if (outcomes == NULL)
        return "threads cannot be started";
      for (kind = 0; kind < play->site->n_kinds; kind++)
        {
          struct sim_tally t
              = sum_ (outcomes, SIM_CALM_S, EXCESS_END_S, kind, SIM_ALL);
          double n = (double)outcomes->len * SIM_EXCESS_S;

          printf ("| %.1f | %zu | %.0f | %.0f | %.3f | %.3f | %.3f | %u | %u "
                  "|\n",
                  loads[i], kind,
                  (t.in_time + t.late + t.refused + t.failed) / n,
                  t.in_time / n, get_share_ (&t, t.late),
                  get_share_ (&t, t.refused), get_share_ (&t, t.failed),
                  get_wait_ (outcomes, kind, 0.5),
                  get_wait_ (outcomes, kind, 0.99));
        }
      g_ptr_array_unref (outcomes);
    }
  return NULL;
}

const char *
scarcity_play (const char *pattern, const struct scarcity_options *options)
{
  struct sim_scarcity play = { .site = &sim_seitkali,
                               .balancers = (size_t)options->balancers,
                               .agents = (size_t)options->agents,
                               .factor = options->factor };
  GPtrArray *outcomes;

  if (!find_pattern_ (pattern, &play.pattern))
    return "--pattern: unknown name";
  if (play.pattern == SIM_HALF_SLOW || play.pattern == SIM_WAVE)
    play.site = &sim_bluemahoe;
  if (g_strcmp0 (options->site, sim_bluemahoe.name) == 0)
    play.site = &sim_bluemahoe;
  else if (g_strcmp0 (options->site, sim_seitkali.name) == 0)
    play.site = &sim_seitkali;
  else if (options->site != NULL)
    return "--site: unknown name";
  if (options->table)
    {
      play.pattern = SIM_OVERLOAD;
      play.factor = 0;
      return print_table_ (&play, options);
    }
  outcomes = play_seeds_ (&play, options->first_seed, options->seeds);
  if (outcomes == NULL)
    return "threads cannot be started";
  printf ("%s on %s, %zu balancers, %zu agents, %d seeds from %d\n", pattern,
          play.site->name, play.balancers, play.agents, options->seeds,
          options->first_seed);
  print_seconds_ (outcomes, play.site);
  print_excess_ (outcomes, play.site);
  g_ptr_array_unref (outcomes);
  return NULL;
}
