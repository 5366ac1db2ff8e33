#ifndef RAGWORTYOKE_PLACEMENT_H
#define RAGWORTYOKE_PLACEMENT_H

/**
 * @file
 * Placement: choice of the backend server for a new flow.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A backend server on which a new flow may be placed.  */
struct rgy_candidate
{
  uint32_t slots;      /**< Concurrency limit of the server in requests.  */
  uint32_t flows;      /**< Open flows and flows that are being opened.  */
  uint32_t latency_us; /**< Mean time to the first answer; 0: unknown.  */
  bool cold;
  bool same_domain;     /**< Same failure domain as the balancer.  */
  bool preferred;       /**< Result of rgy_preference_has().  */
  uint64_t tie_breaker; /**< At equal loads the lowest value is chosen; differs
                           by flow.  */
  bool silent;          /**< The report of the agent is overdue.  */
  bool has_load;        /**< The next members but @c slowness and @c distrust
                             are known.  */
  double requests;      /**< Requests expected to wait or run there, without
                             those of the new flow.  */
  uint32_t run_us;      /**< Mean time for which one of them occupies a slot; 0
                             if none was measured.  */
  double failed_share;  /**< Part of its requests that failed of late.  */
  double slowness;      /**< Run time relative to the median of the servers,
                             compared by route; 0: unknown.  */
  double distrust;      /**< Part of its flows that it does not get yet, since
                             it was lost shortly before; 0 to 1.  */
};

/** Why a backend server was chosen.  */
enum rgy_placement_reason
{
  RGY_PLACED_BY_FLOWS,  /**< No load is known; rgy_placement_choose().  */
  RGY_PLACED_PREFERRED, /**< A preferred server of the own failure domain has
                             room.  */
  RGY_PLACED_DOMAIN, /**< Another one of the own failure domain has room.  */
  RGY_PLACED_OTHER_DOMAIN, /**< Only servers of other failure domains have
                                room.  */
  RGY_PLACED_WITHOUT_ROOM, /**< No server has room.  */
  RGY_PLACEMENT_REASON_COUNT
};

extern const char *const rgy_placement_reason_string[];

struct rgy_placement
{
  size_t index; /**< The number of candidates if there are none.  */
  enum rgy_placement_reason reason;
  bool has_load;   /**< The next members are set.  */
  bool has_room;   /**< The server answers requests well within the latency
                        goal.  */
  double delay_us; /**< Time by which an answer is expected to come later than
                        that of an idle server of median speed.  */
};

/**
 * Choose the backend server for a new flow.  The first choice is the preferred
 * server of the balancer's own failure domain with the fewest flows for its
 * capacity, unless its load is clearly above the mean; then the least loaded
 * of all preferred servers, then of all servers.
 *
 * A slow or cold server counts as having fewer slots.  A server that has just
 * started gets only the flows that prefer it, not all new ones.
 *
 * @return an index, or @p count when there are no candidates.
 */
size_t rgy_placement_choose (const struct rgy_candidate *candidates,
                             size_t count);

/**
 * Choose the backend server for a new flow by the work that is expected there:
 * a preferred server of the own failure domain while it has room; else a
 * server of the own failure domain, else of another one, with a probability in
 * proportion to its room, so that many balancers with the same reports do not
 * choose the same one; if none has room, one with a short expected wait.
 * Without any known load rgy_placement_choose() decides.
 *
 * A server has room while the expected delay of an answer is small against the
 * latency goal; the limit differs by flow, so that flows move gradually.
 *
 * @param goal_us    latency goal of the route; 0 if none is stated.
 * @param flow_hash  differs by flow.
 */
struct rgy_placement
rgy_placement_choose_by_work (const struct rgy_candidate *candidates,
                              size_t count, int64_t goal_us,
                              uint64_t flow_hash);

/**
 * Find the backend server that is expected to answer first; where no load is
 * known, that with the fewest flows for its capacity.
 *
 * @param cost  receives a value by which results can be compared.
 * @return an index, or @p count when there are no candidates.
 */
size_t rgy_placement_find_least_loaded (const struct rgy_candidate *candidates,
                                        size_t count, double *cost);

/** Number of backend servers of one service that a flow prefers in each
    failure domain.  */
#define RGY_PREFERRED_PER_DOMAIN 3
/** Number of failure domains that preferences distinguish; in further domains
    no backend server is preferred.  */
#define RGY_PREFERENCE_DOMAINS 32

/**
 * Backend servers on which a new flow is placed unless they are loaded, and at
 * which a balancer that does not know an open flow starts its lookup.  They
 * follow from the flow and the set of backend servers alone, so that all
 * balancers agree on most of them.
 */
struct rgy_preference
{
  uint64_t flow_hash;
  size_t preferred_domain_count;
  struct
  {
    uint64_t domain;
    size_t n;
    uint32_t ips[RGY_PREFERRED_PER_DOMAIN];
    uint64_t ranks[RGY_PREFERRED_PER_DOMAIN]; /**< In ascending order.  */
  } domains[RGY_PREFERENCE_DOMAINS];
};

/** Initialise a preference without any backend servers.  */
void rgy_preference_init (struct rgy_preference *preference,
                          uint64_t flow_hash);

/** Add a backend server to the set; @p domain is a hash of the name of its
    failure domain.  */
void rgy_preference_add (struct rgy_preference *preference, uint64_t domain,
                         uint32_t ip);

/** @return the rank of a backend server for a flow; lower ranks come
    first.  */
uint64_t rgy_preference_rank (const struct rgy_preference *preference,
                              uint32_t ip);

/** @return true if the backend server is one of the preferred ones.  */
bool rgy_preference_has (const struct rgy_preference *preference,
                         uint64_t domain, uint32_t ip);

#endif
