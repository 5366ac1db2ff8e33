#ifndef RAGWORTYOKE_CONTRACT_H
#define RAGWORTYOKE_CONTRACT_H

/**
 * @file
 * Contracts with customers: parsing, checking and lookup.
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
  RGY_PROTOCOL_UDP, /**< Flow guarantees only.  */
  RGY_PROTOCOL_COAP /**< Requests are known.  */
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
  struct rgy_name domains[RGY_CONTRACT_MAX_DOMAINS]; /**< Empty: all.  */
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
  uint64_t revision;         /**< Store revision; 0 when not stored.  */
};

/** Message of a failed check: "PATH: what is wrong, what is allowed".  */
struct rgy_check_error
{
  char text[256];
};

/**
 * Parse and check a contract file, for example
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

/** Set of the contracts in force.  */
struct rgy_contract_set;

struct rgy_contract_set *rgy_contract_set_new (void);
void rgy_contract_set_delete (struct rgy_contract_set *set);

/** Add or replace a contract; takes ownership also on failure.  Pointers to
    the replaced contract become invalid.
    @return RGY_OK or RGY_ERR_STALE (a newer revision is in force, or the
    customer was removed at this or a newer revision).  */
enum rgy_outcome rgy_contract_set_put (struct rgy_contract_set *set,
                                       struct rgy_contract *contract);

/** Remove a contract as of @p revision; older puts are refused after it.  */
enum rgy_outcome rgy_contract_set_remove (struct rgy_contract_set *set,
                                          const struct rgy_name *customer,
                                          uint64_t revision);

const struct rgy_contract *
rgy_contract_set_get (const struct rgy_contract_set *set,
                      const struct rgy_name *customer);
size_t rgy_contract_set_get_count (const struct rgy_contract_set *set);

/** Contract and service that cover a packet.  When prefixes of two customers
    match, the longest wins; when both have the same prefix, the customer
    whose name is lower.
    @return RGY_OK, or RGY_ERR_NOT_FOUND with *service NULL when no contract
    names the address and non-NULL when only the caller is unknown.  */
enum rgy_outcome
rgy_contract_set_match (const struct rgy_contract_set *set, uint32_t caller_ip,
                        struct rgy_endpoint address,
                        const struct rgy_contract **contract,
                        const struct rgy_contract_service **service);

/** Call @p fn for each contract.  */
void rgy_contract_set_foreach (const struct rgy_contract_set *set,
                               void (*fn) (const struct rgy_contract *c,
                                           void *ctx),
                               void *ctx);

#endif
