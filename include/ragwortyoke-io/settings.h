#ifndef RAGWORTYOKE_IO_SETTINGS_H
#define RAGWORTYOKE_IO_SETTINGS_H

/**
 * @file
 * Settings of ragwortyoked, read from flags and environment variables.
 */

#include <stdbool.h>
#include <stdint.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/contract.h"
#include "ragwortyoke/str.h"
#include "ragwortyoke/wire.h"

#define RGY_SETTINGS_MAX_SEEDS 16

enum rgy_role
{
  RGY_ROLE_BALANCER,
  RGY_ROLE_AGENT
};
extern const char *const rgy_role_string[];

/** Validated settings.  Each setting has a flag "--NAME" and an
    environment variable "RAGWORTYOKE_NAME" (upper case, '-' as '_');
    the flag takes precedence.  */
struct rgy_settings
{
  enum rgy_role role;
  bool check_only; /**< --check: print the effective settings and exit.  */

  /* Settings of both roles.  */
  struct rgy_name id;         /**< --id  */
  struct rgy_name domain;     /**< --domain  */
  struct rgy_endpoint listen; /**< --listen: UDP between instances.  */
  struct rgy_endpoint http;   /**< --http  */
  char *store;                /**< --store: list of endpoints.  */
  struct rgy_endpoint seeds[RGY_SETTINGS_MAX_SEEDS]; /**< --seeds:
                                                        --listen addresses of
                                                        some balancers.  */
  size_t seed_count;
  uint8_t cluster_key[RGY_WIRE_KEY_BYTES]; /**< --cluster-key:
                                              64 hex digits.  */
  char *log_level; /**< --log-level: error, warning, info or debug.  */
  unsigned drain_timeout_ms; /**< --drain-timeout-ms  */

  /* Settings of a balancer.  */
  struct rgy_endpoint fabric_listen; /**< --fabric-listen  */
  struct rgy_endpoint fabric;        /**< --fabric: receives responses.  */
  struct rgy_endpoint sync;          /**< --sync: TCP.  */
  char *operator_token;              /**< --operator-token  */

  /* Settings of an agent.  */
  struct rgy_endpoint service; /**< --service  */
  struct rgy_endpoint backend; /**< --backend  */
  unsigned slots;              /**< --slots, 1 to 1024; default 4.  */
  unsigned connections;    /**< --connections, 1 to 65536; default 2000.  */
  unsigned queue;          /**< --queue, 0 to 1024; default 16.  */
  unsigned deadline_ms;    /**< --deadline-ms, 1 to 60000; default 2000.  */
  unsigned idle_timeout_s; /**< --idle-timeout-s, 1 to 604800; default
                              86400.  */
};

/**
 * Parse "ragwortyoked ROLE [flags]".
 *
 * @return RGY_OK; RGY_ERR_INVALID with @p error naming the setting, its value
 *         and the allowed values; or RGY_ERR_UNSUPPORTED after a help, version
 *         or manual text was printed (exit with status 0).
 */
enum rgy_outcome rgy_settings_parse (int argc, char **argv,
                                     struct rgy_settings *settings,
                                     struct rgy_check_error *error);
/** Manual page with the texts of --help, as printed by "ragwortyoked --man",
    which packaging uses and --help does not list.  Free with g_free().  */
char *rgy_settings_format_man (void);
/** Release the memory of the settings.  */
void rgy_settings_finish (struct rgy_settings *settings);

/** Effective settings, one "name = value" line each; secrets are shown as
    "(set)".  Free with g_free().  */
char *rgy_settings_format (const struct rgy_settings *settings);

#endif
