#ifndef SIMULATION_H
#define SIMULATION_H

/**
 * @file
 * Simulation of balancers, agents, backend servers and callers on a virtual
 * clock.  Segments and messages take time and may be lost; the simulation
 * checks what each caller and each backend server receives.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/stream_manifest.h"
#include "ragwortyoke/stream_message.h"

#define SIM_MAX_BALANCERS 64
#define SIM_MAX_AGENTS 160
#define SIM_MAX_DOMAINS 5
/** Maximum number of kinds of requests.  */
#define SIM_MAX_KINDS 4
/** Interval of the backend servers' heartbeats.  */
#define SIM_HEARTBEAT_US INT64_C (1000000)

/** Counts of what callers and backend servers experienced.  */
struct sim_counts
{
  unsigned opened;   /**< Flows that callers opened.  */
  unsigned answered; /**< Requests answered.  */
  unsigned resets;   /**< Flows reset after their backend server lost them.  */
  unsigned requests_reset; /**< Of these with a request under way.  */
  unsigned wrong_resets;   /**< Open flows reset although their backend server
                                still serves them.  */
  unsigned wrong_service;  /**< First segments accepted by a service that no
                                manifest named in the route.  */
  unsigned accepted_after_drain; /**< First segments that a backend server
                                      accepted more than 3 s after its drain
                                      was acknowledged.  */
  unsigned misdelivered; /**< Segments at a backend server that does not
                              serve their flow.  */
  unsigned rejected;     /**< New flows reset.  */
  unsigned unanswered;   /**< Requests without an answer within 5 s.  */
  unsigned ran_twice; /**< Runs beyond the first of a request that must not be
                           repeated.  */
  unsigned refused_and_ran;   /**< Tries that ran although their new flow was
                                   reset or their request rejected.  */
  unsigned ran_for_nobody;    /**< Runs that began more than 50 ms after the
                                   caller had left.  */
  unsigned refused_with_room; /**< New flows of users reset, and last tries
                                   rejected, while a backend server of the
                                   service had had a free slot for 50 ms.  A
                                   rejection on an open flow lets the next try
                                   go elsewhere.  */
};

/** Requests of one kind, which have a service address of their own.  */
struct sim_kind
{
  uint16_t port;                  /**< Of the service address.  */
  double requests_per_s;          /**< Of all users, at random times.  */
  struct rgy_request_terms terms; /**< Stated by the manifest and kept by the
                                       users: answers after the goal are late,
                                       a user gives up at the limit, and a
                                       request that is not repeatable is tried
                                       again only if it has not run.  */
  int64_t run_us;                 /**< Mean run time.  */
  double longest_run; /**< Longest run relative to the mean, runs being spread
                           exponentially below it; 0: evenly within half of the
                           mean.  */
  double fresh_share; /**< Share of requests on a flow of their own.  */
};

/** Users who send requests, and the limits of the backend servers.  A user
    keeps a flow open for its requests, but some requests take a flow of their
    own.  A try that was reset or rejected is repeated at once on a new flow.
    Without @c kinds there is one kind, of the fields before it.  */
struct sim_load
{
  unsigned users; /**< Of each kind in each failure domain.  */
  double requests_per_s;
  double fresh_share;
  int64_t goal_us;
  int64_t limit_us;
  int64_t run_us;
  struct sim_kind kinds[SIM_MAX_KINDS];
  size_t n_kinds;
  /** Share of the callers in each failure domain, whose segments the router
      gives to the balancers of that domain; all 0: callers have no failure
      domain.  */
  double domain_share[SIM_MAX_DOMAINS];
  unsigned retries;
  unsigned slots;  /**< Requests that a backend server runs at a time.  */
  unsigned queue;  /**< Requests that it queues; it rejects further ones.  */
  int64_t cold_us; /**< Time after its start for which it is slow.  */
  double cold_factor;
};

/** Number of requests by outcome.  */
struct sim_tally
{
  unsigned in_time;
  unsigned late;
  unsigned refused; /**< Last try reset before its flow opened, or
                         rejected.  */
  unsigned failed;  /**< Without an answer for another reason.  */
};

/** Outcomes of the requests that users began in one second.  */
struct sim_second
{
  unsigned in_time;
  unsigned late;
  unsigned rejected; /**< Refused, of struct sim_tally.  */
  unsigned failed;
  struct sim_tally of[SIM_MAX_KINDS][SIM_MAX_DOMAINS]; /**< By kind and failure
                                                            domain.  */
};

/** Bytes of the control messages since the start of the simulation, without
    the datagrams' headers.  */
struct sim_traffic
{
  uint64_t from_balancers;
  uint64_t to_balancers;
  uint64_t from_agents;
  uint64_t to_agents;
  uint64_t between_domains; /**< Of the bytes sent.  */
};

struct simulation;

/**
 * Create a simulation in which nothing runs yet.
 *
 * @param loss_share  share of datagrams that are lost, 0 to 1.
 */
struct simulation *sim_new (uint64_t seed, size_t n_balancers, size_t n_agents,
                            double loss_share);
void sim_delete (struct simulation *simulation);

/** Spread the balancers and agents over @p n failure domains, 2 by default;
    must be called before sim_start().  */
void sim_set_domains (struct simulation *simulation, size_t n);

/** Let agents with an index below @p n serve "workshop", others
    "catalogue".  */
void sim_set_workshop (struct simulation *simulation, size_t n);

/** Activate a manifest with these weights at all balancers; a service with a
    weight of 0 is left out of the route.  */
void sim_set_weights (struct simulation *simulation, uint32_t workshop,
                      uint32_t catalogue);

/** Start all balancers, agents and backend servers, and run until flows can be
    opened.  */
void sim_start (struct simulation *simulation);
/** Run the simulation for @p us on its virtual clock.  */
void sim_run (struct simulation *simulation, int64_t us);
/** Let callers open this many flows a second, each of which sends requests
    every 0.2 s for @p lifetime_us.  */
void sim_set_load (struct simulation *simulation, unsigned flows_per_s,
                   int64_t lifetime_us);

/** Set the users and the limits of the backend servers; must be called before
    sim_start(), so that the manifest states the terms of the requests.  */
void sim_set_users (struct simulation *simulation,
                    const struct sim_load *load);
/** Do not count resets of flows as wrong that the backend server has not
   opened: it has answered the first segment and not got the end of the
   handshake.  */
void sim_allow_early_resets (struct simulation *simulation);
/** Let the users send requests from now on.  */
void sim_begin_requests (struct simulation *simulation);
/** Outcomes since sim_begin_requests(), one entry a second.  */
size_t sim_get_seconds (const struct simulation *simulation,
                        const struct sim_second **seconds);
#define SIM_ALL SIZE_MAX
/** Add up outcomes from second @p first to before @p end, of one kind and
    failure domain or of SIM_ALL.  */
struct sim_tally sim_sum_seconds (const struct simulation *simulation,
                                  size_t first, size_t end, size_t kind,
                                  size_t domain);
/** Multiply the rate of one kind of requests from one failure domain.  */
void sim_set_rate (struct simulation *simulation, size_t kind, size_t domain,
                   double factor);
/** Number of answered requests of a kind that waited for their run for so many
    milliseconds since their first try.  @return entries of unsigned, owned by
    the simulation.  */
const GArray *sim_get_waits (const struct simulation *simulation, size_t kind);

/** Announce the planned stop of a balancer; it runs until it is killed.  */
void sim_stop_balancer (struct simulation *simulation, size_t i);
void sim_kill_balancer (struct simulation *simulation, size_t i);
void sim_start_balancer (struct simulation *simulation, size_t i);
/** Stop an agent as planned: it notifies the balancers and ends.  */
void sim_stop_agent (struct simulation *simulation, size_t i);
void sim_kill_agent (struct simulation *simulation, size_t i);
void sim_start_agent (struct simulation *simulation, size_t i);
/** End a backend server; if @p crashed, without deregistering.  */
void sim_end_backend (struct simulation *simulation, size_t i, bool crashed);
void sim_start_backend (struct simulation *simulation, size_t i);
void sim_drain_backend (struct simulation *simulation, size_t i);
/** Change the speed of a backend server, 1 at first; at 0 no run ends.  Runs
    that have begun keep the speed of their beginning otherwise.  */
void sim_set_speed (struct simulation *simulation, size_t i, double speed);
/** Let a process do nothing for @p us.  Datagrams wait for it, up to the size
    of its socket's buffer; the router leaves a balancer out after 1 s.  */
void sim_freeze_balancer (struct simulation *simulation, size_t i, int64_t us);
void sim_freeze_agent (struct simulation *simulation, size_t i, int64_t us);
/** Take one failure domain out of service; with NULL none is out.  */
void sim_set_domain_out (struct simulation *simulation, const char *domain);

/** Cut the paths between two failure domains, or join them again.  */
void sim_cut_domains (struct simulation *simulation, size_t a, size_t b,
                      bool cut);

/** Let balancers and agents keep no open flows in the store.  */
void sim_forget_stored_flows (struct simulation *simulation);
/** Let balancers that start find no list of agents in the store, and let none
    be written.  */
void sim_set_store_down (struct simulation *simulation, bool down);

const struct sim_traffic *
sim_get_traffic (const struct simulation *simulation);
const struct sim_counts *sim_get_counts (const struct simulation *simulation);
/** Number of first segments that the backend server @p i has accepted.  */
unsigned sim_get_accepted (const struct simulation *simulation, size_t i);

#endif
