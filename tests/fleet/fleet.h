#ifndef RGY_FLEET_H
#define RGY_FLEET_H

/**
 * @file
 * A fleet of balancer cores in one process on a virtual clock, with agents
 * that send heartbeats and a store that notifies its readers.  The same seed
 * gives the same messages; only CPU times differ between runs.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwortyoke/agent.h"
#include "ragwortyoke/balancer.h"
#include "ragwortyoke/clock.h"

#define FLEET_DOMAINS 6
#define FLEET_MS RGY_US_PER_MS
#define FLEET_S RGY_US_PER_S
/** Customers whose traffic each balancer sees in every second.  */
#define FLEET_ACTIVE_CUSTOMERS 16

struct fleet_settings
{
  unsigned balancers;
  unsigned agents;
  unsigned services;
  unsigned customers;
  uint64_t seed;
  int64_t delay_us; /**< One way.  */
  unsigned jitter_percent;
  unsigned loss_percent; /**< Of datagrams.  */
  bool agent_cores;      /**< Whole agent cores instead of stand-ins.  */
  bool traffic;          /**< Customers have a limit and send packets.  */
};

/** Bytes and messages by kind.  */
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
  int64_t cpu_ns; /**< Of control-plane calls.  */
  bool reader;
  bool alive;
};

/** Stand-in of an agent: heartbeats, probes, configuration digests; or a
    whole agent core.  */
struct fleet_agent
{
  struct rgy_agent *core; /**< NULL for a stand-in.  */
  struct rgy_counters *counters;
  int64_t cpu_ns; /**< Of the core.  */
  uint64_t store_writes;
  struct rgy_agent_record record;
  unsigned monitors[3]; /**< Balancers that it sends heartbeats to.  */
  unsigned monitor_count;
  uint64_t *contract_revisions;
  uint64_t *contract_hashes;
  uint64_t contract_digest;
  uint64_t domain_digest;
  bool deaf;         /**< Gets no configuration.  */
  GHashTable *peers; /**< Name to highest sequence, from ENTRIES.  */
  int64_t next_sync_us;
  struct fleet_traffic in;
  struct fleet_traffic out;
};

struct fleet;

struct fleet *fleet_new (const struct fleet_settings *settings);
void fleet_delete (struct fleet *fleet);

void fleet_run (struct fleet *fleet, int64_t duration_us);
int64_t fleet_now_us (const struct fleet *fleet);

struct fleet_balancer *fleet_get_balancer (struct fleet *fleet, unsigned i);
unsigned fleet_get_balancer_count (const struct fleet *fleet);
struct fleet_agent *fleet_get_agent (struct fleet *fleet, unsigned i);

/** Start one more balancer that knows three seeds.  */
struct fleet_balancer *fleet_add_balancer (struct fleet *fleet);

/** Drop everything between the first three failure domains and the others.  */
void fleet_set_partitioned (struct fleet *fleet, bool partitioned);

/** Write a customer's contract of at least @p min_bytes to the store; its
    readers get it at once.  @return its revision.  */
uint64_t fleet_put_contract (struct fleet *fleet, unsigned customer,
                             size_t min_bytes);
/** Restart an agent: its epoch rises and it sends a heartbeat at once.  */
void fleet_restart_agent (struct fleet *fleet, unsigned i);

bool fleet_balancer_has_contract (const struct fleet *fleet,
                                  const struct fleet_balancer *b,
                                  unsigned customer, uint64_t revision);
bool fleet_agent_has_contract (const struct fleet *fleet,
                               const struct fleet_agent *a, unsigned customer,
                               uint64_t revision);
/** What one balancer tells an operator who asks whether a contract is in force
    everywhere.  */
bool fleet_is_confirmed (const struct fleet *fleet, unsigned balancer,
                         unsigned customer, uint64_t revision);
/** Sequence of a balancer's own record.  */
uint64_t fleet_get_sequence (const struct fleet *fleet, unsigned balancer);
bool fleet_balancer_has_agent (const struct fleet_balancer *b,
                               const struct fleet_agent *a);
/** True when the balancer holds every contract, agent and balancer.  */
bool fleet_balancer_is_complete (const struct fleet *fleet,
                                 const struct fleet_balancer *b);

/** Domain orders and other writes that balancers ask the store for.  */
uint64_t fleet_get_store_writes (const struct fleet *fleet);
unsigned fleet_get_reader_count (const struct fleet *fleet);

/** Set traffic and CPU figures to zero.  */
void fleet_reset_figures (struct fleet *fleet);

#endif
