#ifndef RAGWORTYOKE_OUTCOME_H
#define RAGWORTYOKE_OUTCOME_H

/**
 * @file
 * Outcome values returned by every library function that can fail.
 */

/** Result of an operation. */
enum rgy_outcome
{
  RGY_OK = 0,          /**< The operation succeeded. */
  RGY_ERR_INVALID,     /**< Malformed input or an argument out of range. */
  RGY_ERR_NOT_FOUND,   /**< No such object. */
  RGY_ERR_FULL,        /**< A bounded resource is exhausted. */
  RGY_ERR_STALE,       /**< The input is older than what is already known. */
  RGY_ERR_CONFLICT,    /**< Another writer changed the object first. */
  RGY_ERR_AUTH,        /**< A keyed tag or token did not match. */
  RGY_ERR_TIMEOUT,     /**< No answer arrived in time. */
  RGY_ERR_UNAVAILABLE, /**< The remote peer cannot be reached.  */
  RGY_ERR_UNSUPPORTED, /**< The input is valid, but its variant
                          is not supported.  */
  RGY_OUTCOME_COUNT
};

/** Short text of each outcome, indexed by enum rgy_outcome. */
extern const char *const rgy_outcome_string[];

#endif
