#ifndef RAGWORTYOKECTL_SETTINGS_H
#define RAGWORTYOKECTL_SETTINGS_H

/**
 * @file
 * Commands and settings of ragwortyokectl.
 */

#include <stdbool.h>
#include <stdint.h>

#include "ragwortyoke/contract.h"
#include "ragwortyoke/outcome.h"

enum ctl_exit
{
  CTL_EXIT_OK = 0,
  CTL_EXIT_USAGE = 1,
  CTL_EXIT_CONFLICT = 2,
  CTL_EXIT_UNAVAILABLE = 3,
  CTL_EXIT_UNCONFIRMED = 4,
  CTL_EXIT_NOT_FOUND = 5
};

enum ctl_command
{
  CTL_CONTRACT_PUT,
  CTL_CONTRACT_GET,
  CTL_CONTRACT_LIST,
  CTL_CONTRACT_DELETE,
  CTL_CONTRACT_HISTORY,
  CTL_DOMAIN_OUT,
  CTL_DOMAIN_IN,
  CTL_DOMAIN_LIST,
  CTL_STATUS,
  CTL_AUDIT,
  CTL_COMMAND_COUNT
};
/** Command words, indexed by enum ctl_command.  */
extern const char *const ctl_command_string[];

/** Validated settings.  Each has a flag "--NAME" and, except for
    --expect-revision and flags without a value, an environment variable
    "RAGWORTYOKE_NAME" (upper case, '-' as '_'); the flag wins.  */
struct ctl_settings
{
  enum ctl_command command;
  char *argument;       /**< File, customer or failure domain; NULL when the
                           command has no argument.  */
  char **stores;        /**< --store; NULL when the command does
                           not need it.  */
  char **balancers;     /**< --balancers; NULL when not given.  */
  char *operator_token; /**< --operator-token, or NULL.  */
  char *operator_name;  /**< --operator, or NULL.  */
  unsigned timeout_ms;  /**< --timeout-ms  */
  bool json;            /**< --json  */
  bool no_wait;         /**< --no-wait: do not wait for confirmation.  */
  bool has_expected;
  uint64_t expected; /**< --expect-revision  */
};

/**
 * Parse the command line, a vector that ends with NULL.
 *
 * @return RGY_OK; RGY_ERR_INVALID with @p error set; or RGY_ERR_UNSUPPORTED
 *         when @p help is set to the text to print (free with g_free()).
 */
enum rgy_outcome ctl_settings_parse (char **argv,
                                     struct ctl_settings *settings,
                                     char **help,
                                     struct rgy_check_error *error);
void ctl_settings_finish (struct ctl_settings *settings);

#endif
