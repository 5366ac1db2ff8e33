#ifndef RAGWORTYOKE_COUNTER_H
#define RAGWORTYOKE_COUNTER_H

/**
 * @file
 * Named counters and gauges, printed in the Prometheus text format.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rgy_counters;

struct rgy_counters *rgy_counters_new (void);
void rgy_counters_delete (struct rgy_counters *counters);

/**
 * Register a value, or find one that is registered.
 *
 * @param name   Prometheus name without the prefix "ragwortyoke_", a static
 *               string.
 * @param label  text such as "reason=\"deadline\"", or NULL; copied.
 * @param help   one line, a static string.
 * @return address of the value; stays valid until rgy_counters_delete().
 */
uint64_t *rgy_counters_add (struct rgy_counters *counters, const char *name,
                            const char *label, const char *help);
uint64_t *rgy_counters_add_gauge (struct rgy_counters *counters,
                                  const char *name, const char *label,
                                  const char *help);

/** One counter of a set.  */
struct rgy_counter_spec
{
  uint64_t **value; /**< Receives the address of the value.  */
  const char *name;
  const char *label; /**< Or NULL.  */
  const char *help;
  bool gauge;
};

/** Register a set of counters.  */
void rgy_counters_add_all (struct rgy_counters *counters,
                           const struct rgy_counter_spec *specs, size_t count);

/** Latency histogram with fixed bounds from 1 ms to 5 s.  */
struct rgy_histogram;

/** Register a histogram; @p name and @p help as for counters.  Valid until
    rgy_counters_delete().  */
struct rgy_histogram *
rgy_counters_add_histogram (struct rgy_counters *counters, const char *name,
                            const char *help);
void rgy_histogram_observe (struct rgy_histogram *histogram, int64_t us);

/** Number of values observed.  */
uint64_t rgy_histogram_get_count (const struct rgy_histogram *histogram);

/** Value of a counter; 0 when it is not registered.  */
uint64_t rgy_counters_get (const struct rgy_counters *counters,
                           const char *name, const char *label);

/** Prometheus text, to be freed with g_free().  */
char *rgy_counters_format (const struct rgy_counters *counters);

#endif
