#ifndef RGY_FLEET_H
#define RGY_FLEET_H

/**
 * @file
 * Simulation of a fleet of balancer cores in one process on a virtual clock,
 * with agents that send heartbeats and a store that notifies the balancers
 * that watch it.  The same seed gives the same messages; only the CPU times
 * differ between runs.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwortyoke/agent.h"
#include "ragwortyoke/balancer.h"
#include "ragwortyoke/clock.h"

/** Failure domains over which balancers and agents are spread.  */
#define FLEET_DOMAINS 6
/** A millisecond and a second of the virtual clock, in microseconds.  */
#define FLEET_MS RGY_US_PER_MS
#define FLEET_S RGY_US_PER_S
/** Number of customers that each send one packet per second to each
    balancer.  */
#define FLEET_ACTIVE_CUSTOMERS 16

struct fleet_settings
{
  unsigned balancers;
  unsigned agents;
  unsigned services;
  unsigned customers;
  uint64_t seed;
  int64_t delay_us;        /**< Mean one-way delay of a link.  */
  unsigned jitter_percent; /**< Largest deviation from the mean delay.  */
  unsigned loss_percent;   /**< Share of lost datagrams.  */
  bool agent_cores; /**< Runs whole agent cores instead of stand-ins.  */
  bool traffic;     /**< Customers have a byte limit and send packets.  */
};

/** Bytes and messages of one direction by message kind.  */
struct fleet_traffic
{
  uint64_t bytes[RGY_MSG_KIND_COUNT];
  uint64_t messages[RGY_MSG_KIND_COUNT];
};

struct fleet_balancer
{
  struct rgy_name id;
  struct rgy_endpoint endpoint;
  struct rgy_balancer *core;
  struct rgy_counters *counters;
  struct fleet_traffic in;
  struct fleet_traffic out;
  int64_t cpu_ns; /**< CPU time of the control-plane calls.  */
  bool reader;    /**< The balancer watches the store.  */
};

/** A whole agent core, or a stand-in that sends heartbeats with configuration
    digests, answers probes and synchronises contracts.  */
struct fleet_agent
{
  struct rgy_agent *core; /**< NULL for a stand-in.  */
  struct rgy_counters *counters;
  int64_t cpu_ns;        /**< CPU time of the core.  */
  uint64_t store_writes; /**< Writes that the core asked the store for.  */
  struct rgy_agent_record record;
  unsigned monitors[3]; /**< Balancers that get the heartbeats.  */
  unsigned monitor_count;
  uint64_t *contract_revisions; /**< By customer; 0 without a contract.  */
  uint64_t *contract_hashes;    /**< By customer; 0 without a contract.  */
  uint64_t contract_digest;
  uint64_t domain_digest;
  bool ignores_configuration; /**< Stand-in drops entries and sync replies.  */
  GHashTable *agent_epochs;   /**< Agent name to epoch of its last entry.  */
  int64_t next_sync_us; /**< Earliest time of the next synchronisation.  */
  struct fleet_traffic in;
  struct fleet_traffic out;
};

struct fleet;

struct fleet *fleet_new (const struct fleet_settings *settings);
void fleet_delete (struct fleet *fleet);

/** Advance the virtual clock by @p duration_us and handle all events up to the
    new time.  */
void fleet_run (struct fleet *fleet, int64_t duration_us);
int64_t fleet_now_us (const struct fleet *fleet);

struct fleet_balancer *fleet_get_balancer (struct fleet *fleet, unsigned i);
unsigned fleet_get_balancer_count (const struct fleet *fleet);
struct fleet_agent *fleet_get_agent (struct fleet *fleet, unsigned i);

/** Start one more balancer; the first three balancers are its seeds.  */
struct fleet_balancer *fleet_add_balancer (struct fleet *fleet);

/** Start or end a partition between the first three failure domains and the
    others.  Datagrams and synchronisation requests that are sent across the
    partition are dropped.  */
void fleet_set_partitioned (struct fleet *fleet, bool partitioned);

/** Write a customer's contract to the store, filled up with about @p min_bytes
    of caller prefixes.  The balancers that watch the store get it after a
    link delay and the pause of their watch.  @return its revision.  */
uint64_t fleet_put_contract (struct fleet *fleet, unsigned customer,
                             size_t min_bytes);
/** Restart an agent with a higher epoch.  A stand-in sends a heartbeat at
   once; an agent core starts anew.  */
void fleet_restart_agent (struct fleet *fleet, unsigned i);

/** True when the balancer has a contract of at least @p revision.  */
bool fleet_balancer_has_contract (const struct fleet *fleet,
                                  const struct fleet_balancer *b,
                                  unsigned customer, uint64_t revision);
/** True when the agent has a contract of at least @p revision.  */
bool fleet_agent_has_contract (const struct fleet *fleet,
                               const struct fleet_agent *a, unsigned customer,
                               uint64_t revision);
/** True when a balancer reports to an operator that a contract of at least
    @p revision is in effect everywhere.  */
bool fleet_is_contract_confirmed (const struct fleet *fleet, unsigned balancer,
                                  unsigned customer, uint64_t revision);
/** Sequence number of a balancer's own record.  */
uint64_t fleet_get_balancer_sequence (const struct fleet *fleet,
                                      unsigned balancer);
/** True when the balancer has the agent's record of its current epoch or of a
    later one.  */
bool fleet_balancer_has_agent (const struct fleet_balancer *b,
                               const struct fleet_agent *a);
/** True when the balancer has the entries of all contracts, agents and
    balancers.  */
bool fleet_balancer_is_complete (const struct fleet *fleet,
                                 const struct fleet_balancer *b);

/** Number of domain orders and other writes that balancers asked the store for
    since the last reset.  */
uint64_t fleet_get_store_writes (const struct fleet *fleet);
/** Number of balancers that watch the store.  */
unsigned fleet_get_reader_count (const struct fleet *fleet);

/** Set traffic, CPU times and store writes of all instances to zero.  */
void fleet_reset_statistics (struct fleet *fleet);

#endif
