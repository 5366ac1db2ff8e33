#ifndef WORLD_H
#define WORLD_H

/**
 * @file
 * Balancers, agents, backend servers and callers on a virtual clock.  Segments
 * and messages take time and may be lost; the world checks what each caller
 * and each backend server sees.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/stream_manifest.h"
#include "ragwortyoke/stream_message.h"

#define WORLD_MAX_BALANCERS 8
#define WORLD_MAX_AGENTS 24
#define WORLD_HEARTBEAT_US INT64_C (1000000)

/** What callers and backend servers saw.  */
struct world_seen
{
  unsigned opened;   /**< Flows that callers opened.  */
  unsigned answered; /**< Requests answered.  */
  unsigned resets;   /**< Flows reset whose backend server had lost them. */
  unsigned wrong_resets;  /**< Open flows reset while their backend server
                               holds them.  */
  unsigned wrong_service; /**< First segments at a service that the route did
                               not name.  */
  unsigned after_drain;   /**< First segments taken after the time for it.  */
  unsigned strays;        /**< Segments at a backend server that does not hold
                               their flow.  */
  unsigned rejected;      /**< New flows reset.  */
  unsigned unanswered;    /**< Requests without an answer within 5 s.  */
};

struct world;

/** @param loss  share of datagrams that get lost, 0 to 1.  */
struct world *world_new (uint64_t seed, size_t n_balancers, size_t n_agents,
                         double loss);
void world_delete (struct world *world);

/** Agents with an index below @p n serve "workshop", others "catalogue".  */
void world_set_workshop (struct world *world, size_t n);

/** Put a manifest with these weights into force at all balancers; a weight of
   0 leaves the service out.  */
void world_set_weights (struct world *world, uint32_t workshop,
                        uint32_t catalogue);

/** Start everything, so that flows can be opened.  */
void world_start (struct world *world);
/** Let time pass.  */
void world_run (struct world *world, int64_t us);
/** Callers open this many flows a second, each with requests every 0.2 s for
    @p lifetime_us.  */
void world_set_load (struct world *world, unsigned flows_per_s,
                     int64_t lifetime_us);

void world_stop_balancer (struct world *world, size_t i); /**< Planned.  */
void world_kill_balancer (struct world *world, size_t i);
void world_start_balancer (struct world *world, size_t i);
void world_stop_agent (struct world *world, size_t i); /**< Planned.  */
void world_kill_agent (struct world *world, size_t i);
void world_start_agent (struct world *world, size_t i);
/** The backend server ends; @p silent: nothing tells.  */
void world_end_backend (struct world *world, size_t i, bool silent);
void world_start_backend (struct world *world, size_t i);
void world_drain_backend (struct world *world, size_t i);
void world_set_domain_out (struct world *world, const char *domain);

const struct world_seen *world_get_seen (const struct world *world);
/** First segments that the backend server @p i has taken.  */
unsigned world_get_taken (const struct world *world, size_t i);

#endif
