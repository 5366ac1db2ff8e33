#include <stdio.h>

#include <glib.h>

#include "bench.h"
#include "ragwortyoke/flow.h"
#include "ragwortyoke/steering.h"

/* Benchmark of the bucket table: compares the CPU time of finding the owner of
   a packet with the time of a hash modulo the number of members, and measures
   the time to build the table.  */

#define LOOKUPS 4000000
#define KEYS 4096
/* CPU time for which the table is built repeatedly.  */
#define BUILD_RUN_NS 200000000

static const unsigned member_counts_[] = { 3, 7, 40 };

static void
fill_member_names_ (struct rgy_name *members, unsigned count)
{
  char text[RGY_NAME_MAX_BYTES];
  unsigned i;

  for (i = 0; i < count; i++)
    {
      g_snprintf (text, sizeof text, "agent-%u", i);
      members[i] = rgy_name_from_c (text);
    }
}

static void
fill_flow_keys_ (struct rgy_flow_key *keys)
{
  struct rgy_endpoint service = { .ip = 0x7f0a0001, .port = 5683 };
  unsigned i;

  for (i = 0; i < KEYS; i++)
    keys[i] = rgy_flow_key_udp (
        (struct rgy_endpoint){ .ip = 0x7f640000 + i / 64,
                               .port = (uint16_t)(1024 + i) },
        service);
}

/* @return nanoseconds per lookup in the bucket table.  */
static double
measure_table_lookup_ (const struct rgy_bucket_table *table,
                       const struct rgy_flow_key *keys, uint64_t *sum)
{
  int64_t start_ns = bench_cpu_ns ();
  unsigned i;

  for (i = 0; i < LOOKUPS; i++)
    *sum += rgy_bucket_table_get_owner (table,
                                        rgy_flow_key_bucket (&keys[i % KEYS]))
                ->len;
  return (double)(bench_cpu_ns () - start_ns) / LOOKUPS;
}

/* @return nanoseconds per choice by hash modulo @p count.  */
static double
measure_modulo_choice_ (const struct rgy_name *members, unsigned count,
                        const struct rgy_flow_key *keys, uint64_t *sum)
{
  int64_t start_ns = bench_cpu_ns ();
  unsigned i;

  for (i = 0; i < LOOKUPS; i++)
    *sum += members[rgy_flow_key_hash (&keys[i % KEYS]) % count].len;
  return (double)(bench_cpu_ns () - start_ns) / LOOKUPS;
}

/* @return microseconds per build of the bucket table.  */
static double
measure_table_build_ (struct rgy_bucket_table *table,
                      const struct rgy_name *members, unsigned count)
{
  int64_t start_ns = bench_cpu_ns ();
  unsigned builds = 0;

  do
    rgy_bucket_table_build (table, members, count, builds++);
  while (bench_cpu_ns () - start_ns < BUILD_RUN_NS);
  return (double)(bench_cpu_ns () - start_ns) / 1000 / builds;
}

int
main (void)
{
  struct rgy_flow_key *keys = g_new (struct rgy_flow_key, KEYS);
  struct rgy_name members[RGY_GROUP_MAX];
  struct rgy_bucket_table *table = rgy_bucket_table_new ();
  uint64_t sum = 0;
  size_t i;

  fill_flow_keys_ (keys);
  for (i = 0; i < G_N_ELEMENTS (member_counts_); i++)
    {
      unsigned n = member_counts_[i];
      double table_ns;
      double modulo_ns;

      fill_member_names_ (members, n);
      rgy_bucket_table_build (table, members, n, 1);
      measure_table_lookup_ (table, keys, &sum);
      table_ns = measure_table_lookup_ (table, keys, &sum);
      modulo_ns = measure_modulo_choice_ (members, n, keys, &sum);
      printf ("%2u members: bucket table %.1f ns, hash modulo n %.1f ns, "
              "ratio %.2f; rebuild %.0f us, as long as %.0f lookups\n",
              n, table_ns, modulo_ns, table_ns / modulo_ns,
              measure_table_build_ (table, members, n),
              measure_table_build_ (table, members, n) * 1000 / table_ns);
    }
  rgy_bucket_table_delete (table);
  g_free (keys);
  /* The exit status depends on the sum, so that the compiler cannot remove the
     measured loops.  */
  return sum == 0;
}
