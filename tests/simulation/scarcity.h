#ifndef SCARCITY_H
#define SCARCITY_H

/**
 * @file
 * Load patterns on the simulation in which callers ask for more than the
 * backend servers can run, with the request kinds of the users' deployments.
 */

#include "simulation.h"

/** Time with the deployment's own load before the excess.  */
#define SIM_CALM_S 3
/** Length of the excess.  */
#define SIM_EXCESS_S 8

enum sim_pattern
{
  SIM_OVERLOAD,     /**< Kind 0 is requested more often.  */
  SIM_DOMAIN_BURST, /**< The callers of failure domain 0 request five times as
                         much, while the load is .8 of the capacity.  */
  SIM_SERVERS_GONE, /**< Kind 0 doubles, and 40% of the backend servers
                         crash.  */
  SIM_ZONE_EMPTIED, /**< Kind 0 doubles, failure domain 0 is out of service,
                       and the backend servers of domain 1 are cold.  */
  SIM_HALF_SLOW,    /**< Kind 0 is requested five times as often, and half of
                         the backend servers are six times slower.  */
  SIM_UNEVEN,       /**< Backend servers have speeds of 0.7, 0.7 and 1.7 by
                         turns; the load rises to .9 of the capacity and falls
                         in waves.  */
  SIM_WAVE,         /**< The load rises to 1.2 times the capacity and falls in
                         waves.  */
  SIM_PATTERN_COUNT
};

extern const char *const sim_pattern_string[];

/** Deployment with the failure domains, slots and kinds of requests of one
    service.  */
struct sim_site
{
  const char *name;
  size_t hosts; /**< Backend servers for the kinds' rates.  */
  size_t domains;
  unsigned slots;
  size_t n_kinds;
  struct sim_kind kinds[SIM_MAX_KINDS];
};

/** Kinds 0 and 1: "digest-poll" (priority 2), "crash-post" (priority 1).  */
extern const struct sim_site sim_seitkali;
/** Kinds 0 and 1: "feed-watch" (priority 2), "scan-post" (priority 1).  */
extern const struct sim_site sim_bluemahoe;

struct sim_scarcity
{
  const struct sim_site *site;
  enum sim_pattern pattern;
  uint64_t seed;
  size_t balancers;
  size_t agents; /**< The rates of the site are scaled to them.  */
  double factor; /**< SIM_OVERLOAD: of kind 0; 0: by @c load.  */
  double load;   /**< SIM_OVERLOAD: of all kinds, relative to the capacity.  */
  /* Set by the functions below.  */
  int64_t elapsed_us; /**< Since the beginning of the excess.  */
  double possible;    /**< Requests of the excess that the slots can serve, the
                           most urgent ones first.  */
};

/** Create and start the deployment, and run it with its own load for
    SIM_CALM_S.  */
struct simulation *sim_scarcity_start (struct sim_scarcity *scarcity);
/** Begin the excess.  */
void sim_scarcity_begin (struct sim_scarcity *scarcity,
                         struct simulation *simulation);
/** Run the excess for @p us.  */
void sim_scarcity_run (struct sim_scarcity *scarcity,
                       struct simulation *simulation, int64_t us);
/** End the excess.  */
void sim_scarcity_end (const struct sim_scarcity *scarcity,
                       struct simulation *simulation);
/** Requests a second of a kind that the slots of all backend servers could
    serve when they had no other.  */
double sim_scarcity_get_capacity (const struct sim_scarcity *scarcity,
                                  size_t kind);

#endif
