#ifndef RAGWORTYOKE_PRIVATE_DOMAIN_VIEW_H
#define RAGWORTYOKE_PRIVATE_DOMAIN_VIEW_H

/**
 * @file
 * The view of the failure domains that a process follows, put together from
 * the views that it receives from the store and from other processes.
 */

#include <stdbool.h>
#include <stdint.h>

#include "ragwortyoke/stream_message.h"

/** Times that belong to a followed view.  */
struct rgy_domain_view_times
{
  int64_t settle_us; /**< Time at which an unsettled view settles by itself. */
  int64_t heard_us;  /**< Time at which a view of the followed epoch or a later
                          one was received last.  */
};

/**
 * Merge a received view into the one that is followed.
 *
 * A later position replaces an earlier one.  In a later epoch, names that the
 * store does not list any more are kept until the view settles, because their
 * operators may not have written them again yet; names that another unsettled
 * process keeps are kept as well.
 *
 * @return true if the set of names has changed.
 */
bool rgy_domain_view_merge (struct rgy_domain_view *view,
                            struct rgy_domain_view_times *times,
                            const struct rgy_domain_view *received,
                            int64_t now_us);

/** Settle the view when that is due.
    @return true if the set of names has changed.  */
bool rgy_domain_view_settle (struct rgy_domain_view *view,
                             const struct rgy_domain_view_times *times,
                             int64_t now_us);

#endif
