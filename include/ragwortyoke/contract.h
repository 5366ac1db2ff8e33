#ifndef RAGWORTYOKE_CONTRACT_H
#define RAGWORTYOKE_CONTRACT_H

/**
 * @file
 * Contracts with customers: parsing, validation and lookup.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/outcome.h"
#include "ragwortyoke/str.h"

#define RGY_CONTRACT_MAX_SERVICES 64
#define RGY_CONTRACT_MAX_PREFIXES 256
#define RGY_CONTRACT_MAX_DOMAINS 16
#define RGY_CONTRACT_MAX_JSON_BYTES (256 * 1024)

enum rgy_protocol
{
  RGY_PROTOCOL_UDP, /**< The flow is guaranteed, but requests
                       are not tracked.  */
  RGY_PROTOCOL_COAP /**< CoAP requests are tracked.  */
};
extern const char *const rgy_protocol_string[];

/** Limits of one service of a contract; 0 means unlimited.  */
struct rgy_service_limits
{
  uint64_t open_flows;
  uint64_t new_flows_per_second;
  uint64_t requests_in_flight;
};

struct rgy_contract_service
{
  struct rgy_name name;
  struct rgy_endpoint address;
  enum rgy_protocol protocol;
  struct rgy_name domains[RGY_CONTRACT_MAX_DOMAINS]; /**< No element means all
                                                        failure domains.  */
  size_t domain_count;
  struct rgy_service_limits limits;
};

struct rgy_contract
{
  struct rgy_name customer;
  struct rgy_prefix *prefixes;
  size_t prefix_count;
  struct rgy_contract_service *services;
  size_t service_count;
  uint64_t bytes_per_second; /**< 0 means unlimited.  */
  uint64_t revision;         /**< Store revision; 0 when the contract
                                was not stored.  */
};

/** Message of a failed check, in the form "PATH: the error,
    the allowed values".  */
struct rgy_check_error
{
  char text[256];
};

/**
 * Parse and validate a contract file, for example
 * {"customer": "rodaforte", "callers": ["127.0.0.0/8"],
 *  "limits": {"bytes_per_second": 1000000},
 *  "services": [{"name": "workshop", "address": "127.0.10.1:5683",
 *    "protocol": "coap", "failure_domains": ["poa-a"],
 *    "limits": {"open_flows": 1000, "new_flows_per_second": 50,
 *               "requests_in_flight": 28}}]}
 *
 * The member "write_id" is allowed and ignored.  Unknown members, duplicate
 * names, addresses or prefixes and values out of range are errors.
 *
 * @return a contract to be freed with rgy_contract_delete(), or NULL with
 *         @p error set.
 */
struct rgy_contract *rgy_contract_parse (struct rgy_str json,
                                         struct rgy_check_error *error);
void rgy_contract_delete (struct rgy_contract *contract);

/** Set of the active contracts.  */
struct rgy_contract_set;

struct rgy_contract_set *rgy_contract_set_new (void);
void rgy_contract_set_delete (struct rgy_contract_set *set);

/** Add or replace a contract.  The set takes ownership of the contract also on
    failure.  Pointers to the replaced contract become invalid.
    @return RGY_OK or RGY_ERR_STALE (a newer revision is active, or the
    customer's contract was removed at this or a newer revision).  */
enum rgy_outcome rgy_contract_set_put (struct rgy_contract_set *set,
                                       struct rgy_contract *contract);

/** Remove a customer's contract as of @p revision.  Later calls of
    rgy_contract_set_put() with an older revision are rejected.
    @return RGY_OK or RGY_ERR_STALE.  */
enum rgy_outcome rgy_contract_set_remove (struct rgy_contract_set *set,
                                          const struct rgy_name *customer,
                                          uint64_t revision);

const struct rgy_contract *
rgy_contract_set_get (const struct rgy_contract_set *set,
                      const struct rgy_name *customer);
size_t rgy_contract_set_get_count (const struct rgy_contract_set *set);

/** Find the contract and service that cover a packet.  When prefixes of two
    customers match, the longest prefix wins; when both customers have the same
    prefix, the lower customer name wins.
    @return RGY_OK, or RGY_ERR_NOT_FOUND with *service NULL when no contract
    names the address and non-NULL when only the caller is unknown.  */
enum rgy_outcome
rgy_contract_set_match (const struct rgy_contract_set *set, uint32_t caller_ip,
                        struct rgy_endpoint address,
                        const struct rgy_contract **contract,
                        const struct rgy_contract_service **service);

/** Call @p fn for each active contract.  */
void rgy_contract_set_foreach (const struct rgy_contract_set *set,
                               void (*fn) (const struct rgy_contract *c,
                                           void *ctx),
                               void *ctx);

#endif
