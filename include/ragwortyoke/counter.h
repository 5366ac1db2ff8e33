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
 * Register a counter, or return the one registered under @p name and @p label.
 *
 * @param name   Prometheus name without the prefix "ragwortyoke_", a static
 *               string.
 * @param label  label text such as "reason=\"deadline\"", or NULL; copied.
 * @param help   one line, a static string.
 * @return address of the value, valid until rgy_counters_delete().
 */
uint64_t *rgy_counters_add (struct rgy_counters *counters, const char *name,
                            const char *label, const char *help);
uint64_t *rgy_counters_add_gauge (struct rgy_counters *counters,
                                  const char *name, const char *label,
                                  const char *help);

/** Description of a counter or gauge to register.  */
struct rgy_counter_spec
{
  uint64_t **value; /**< Receives the address of the value.  */
  const char *name;
  const char *label; /**< Label text, or NULL.  */
  const char *help;
  bool gauge;
};

/** Register @p count counters and gauges.  */
void rgy_counters_add_all (struct rgy_counters *counters,
                           const struct rgy_counter_spec *specs, size_t count);

/** Latency histogram with fixed bounds from 1 ms to 5 s.  */
struct rgy_histogram;

/** Register a histogram; @p name and @p help as for rgy_counters_add().
    @return the histogram, valid until rgy_counters_delete().  */
struct rgy_histogram *
rgy_counters_add_histogram (struct rgy_counters *counters, const char *name,
                            const char *help);
void rgy_histogram_observe (struct rgy_histogram *histogram, int64_t us);

/** Number of values observed.  */
uint64_t rgy_histogram_get_count (const struct rgy_histogram *histogram);

/** Return the value of a counter or gauge; 0 when it is not registered.  */
uint64_t rgy_counters_get (const struct rgy_counters *counters,
                           const char *name, const char *label);

/** Format all values as Prometheus text, to be freed with g_free().  */
char *rgy_counters_format (const struct rgy_counters *counters);

#endif
