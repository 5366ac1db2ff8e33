#ifndef RAGWORTYOKE_STORE_POSITION_H
#define RAGWORTYOKE_STORE_POSITION_H

/**
 * @file
 * Position in the history of a store that may return from an older copy.  Its
 * revisions then go back and are given out again, so that they are comparable
 * only within one epoch.
 */

#include <stdbool.h>
#include <stdint.h>

#include "ragwortyoke/clock.h"

/** Time after the return of a store from an older copy within which operators
    write again what was lost, in microseconds.  Until then an entry that is
    missing or older is no order.  As long as the leases of the processes, for
    which the store may be away without a consequence.  */
#define RGY_STORE_REWRITE_US (10 * RGY_US_PER_S)
/** Time after which a process that hears of no other one that is settled
    settles by itself, in microseconds.  A multiple of RGY_STORE_REWRITE_US,
    since such a process does not know whether operators reach the store.  */
#define RGY_STORE_REWRITE_MAX_US (60 * RGY_US_PER_S)

struct rgy_store_position
{
  uint32_t epoch;    /**< Rises with each return from an older copy; 0 if the
                          store states none.  */
  uint64_t revision; /**< 0: before all revisions of the epoch.  */
};

/** Compare two positions.  @return a number below, equal to or above 0 if
    @p a is earlier than, the same as or later than @p b.  */
int rgy_store_position_compare (struct rgy_store_position a,
                                struct rgy_store_position b);
bool rgy_store_position_is_later (struct rgy_store_position a,
                                  struct rgy_store_position b);

/** Effect of an answer on what is known of the store.  */
enum rgy_store_answer_age
{
  RGY_STORE_ANSWER_CURRENT,
  RGY_STORE_ANSWER_LATE,  /**< Of an earlier epoch; it changes nothing.  */
  RGY_STORE_ANSWER_FIRST, /**< The first one that states an epoch; nothing is
                               known from before.  */
  RGY_STORE_ANSWER_OF_RETURN /**< Of a later epoch; nothing that is known is
                                  valid.  */
};

/** Classify an answer.
    @param known   epoch of what is known; 0 if none was stated.
    @param epoch   epoch that the answer states; 0 if none, which counts as the
                   known one.
    @param is_new  nothing is known of the store yet.  */
enum rgy_store_answer_age
rgy_store_classify_answer (uint32_t known, uint32_t epoch, bool is_new);

#endif
