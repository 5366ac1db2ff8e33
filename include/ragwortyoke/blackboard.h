#ifndef RAGWORTYOKE_BLACKBOARD_H
#define RAGWORTYOKE_BLACKBOARD_H

/**
 * @file
 * State that the controllers of one process share: replica, contracts,
 * failure domain orders, agents and balancers.
 */

#include <glib.h>
#include <stdbool.h>

#include "ragwortyoke/contract.h"
#include "ragwortyoke/counter.h"
#include "ragwortyoke/domain.h"
#include "ragwortyoke/member.h"
#include "ragwortyoke/replica.h"

/** Agents of one service.  */
struct rgy_group
{
  struct rgy_endpoint service;
  GPtrArray *agents; /**< Borrowed struct rgy_agent_record.  */
  uint64_t changes;  /**< Number of changes to the group's records.  */
};

/** All controllers may read the members.  The members change only through
    rgy_blackboard_apply() and its variants.  */
struct rgy_blackboard
{
  struct rgy_replica *replica;
  struct rgy_contract_set *contracts;
  struct rgy_domain_set *domains;
  GHashTable *agents;    /**< Agent name to struct rgy_agent_record.  */
  GHashTable *groups;    /**< Packed service endpoint to struct rgy_group.  */
  GHashTable *balancers; /**< Balancer name to struct rgy_balancer_record.  */
  struct rgy_counters *counters; /**< Borrowed.  */
  /** Number of changes to each class, by which caches of derived state detect
      that they are outdated.  */
  uint64_t changes[RGY_ENTRY_CLASS_COUNT];
  bool without_domain_orders; /**< For baselines in measurements and tests
                                 only: failure domain orders are stored but
                                 not followed.  */
  bool without_version_check; /**< For baselines in measurements and tests
                                 only: older versions of a contract are
                                 activated as well.  */
};

struct rgy_blackboard *rgy_blackboard_new (struct rgy_counters *counters);
void rgy_blackboard_delete (struct rgy_blackboard *bb);

/**
 * Apply one configuration or membership change.
 *
 * @return RGY_OK when the entry is new and now active, RGY_ERR_STALE when it
 *         is not newer than the known one, RGY_ERR_INVALID when its value is
 *         malformed; an invalid entry changes nothing.
 */
enum rgy_outcome rgy_blackboard_apply (struct rgy_blackboard *bb,
                                       const struct rgy_entry *entry);

/** As rgy_blackboard_apply(), but the change is not gossiped, because the
    other balancers have it already.  */
enum rgy_outcome rgy_blackboard_apply_unqueued (struct rgy_blackboard *bb,
                                                const struct rgy_entry *entry);

/** Store this process's own record.  */
void rgy_blackboard_apply_agent (struct rgy_blackboard *bb,
                                 const struct rgy_agent_record *record);
void rgy_blackboard_apply_balancer (struct rgy_blackboard *bb,
                                    const struct rgy_balancer_record *record);

const struct rgy_agent_record *
rgy_blackboard_get_agent (const struct rgy_blackboard *bb,
                          const struct rgy_name *id);
const struct rgy_balancer_record *
rgy_blackboard_get_balancer (const struct rgy_blackboard *bb,
                             const struct rgy_name *id);

/** Agents of a service; the group is empty when no agent is known.  */
const struct rgy_group *
rgy_blackboard_get_group (const struct rgy_blackboard *bb,
                          struct rgy_endpoint service);

/** True when the agent takes part in its service: it is ready or draining, and
    its failure domain is in service.  */
bool rgy_blackboard_agent_is_live (const struct rgy_blackboard *bb,
                                   const struct rgy_agent_record *record);
/** True when the agent may open flows: it is live and ready.  */
bool rgy_blackboard_agent_is_eligible (const struct rgy_blackboard *bb,
                                       const struct rgy_agent_record *record);
/** True when traffic may pass through the balancer: it is ready or draining,
    and its failure domain is in service.  */
bool
rgy_blackboard_balancer_is_usable (const struct rgy_blackboard *bb,
                                   const struct rgy_balancer_record *record);

/** Digest over contracts and failure domain orders.  */
uint64_t rgy_blackboard_get_config_digest (const struct rgy_blackboard *bb);

/** Digest of the records of one service's agents.  */
uint64_t rgy_blackboard_get_group_digest (const struct rgy_blackboard *bb,
                                          struct rgy_endpoint service);

/** Seed of the bucket table of a service.  */
uint64_t rgy_service_seed (struct rgy_endpoint service);

/** True when the contract allows a failure domain to serve the service.  */
bool rgy_service_allows_domain (const struct rgy_contract_service *service,
                                const struct rgy_name *domain);

#endif
