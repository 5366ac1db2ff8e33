#ifndef RAGWORTYOKE_IO_REJECTION_H
#define RAGWORTYOKE_IO_REJECTION_H

/**
 * @file
 * Counters and log lines about malformed input.  Each input is counted, but a
 * source that repeats it does not fill the log.
 */

#include <stdbool.h>
#include <stdint.h>

#include "ragwortyoke/counter.h"

/** Minimum time between two lines with the same source and reason.  */
#define RGY_REJECTION_LOG_INTERVAL_US INT64_C (600000000)
/** Maximum number of different reasons for which lines are remembered; further
    ones share one line in each interval.  */
#define RGY_REJECTION_MAX_REASONS 32

struct rgy_rejections;

/** Create an empty record.
    @param counters  must outlive the record.  */
struct rgy_rejections *rgy_rejections_new (struct rgy_counters *counters);
void rgy_rejections_delete (struct rgy_rejections *rejections);

/**
 * Count a rejected input as rejected_total{source="..."}, and log it unless
 * the same source and reason was logged within RGY_REJECTION_LOG_INTERVAL_US.
 *
 * @param source  kind of input, such as "heartbeat".
 * @param reason  field and what is wrong with it; escaped in the log.
 * @return true if a line was logged.
 */
bool rgy_rejections_add (struct rgy_rejections *rejections, const char *source,
                         const char *reason, int64_t now_us);

#endif
