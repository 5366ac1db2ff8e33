#ifndef RGY_DEPLOYMENT_H
#define RGY_DEPLOYMENT_H

/**
 * @file
 * Deployments of both users on the harness, with their sizes and network
 * delays.
 */

#include "harness.h"

enum deployment_kind
{
  DEPLOYMENT_SUL,
  DEPLOYMENT_GREAT_LAKES,
  DEPLOYMENT_COUNT
};
extern const char *const deployment_string[];

#define DEPLOYMENT_DOMAINS 3
#define DEPLOYMENT_DESK_HOSTS 7
#define DEPLOYMENT_GUIDE_HOSTS 3
#define DEPLOYMENT_CUSTOMER_IP 0x7f640000

/** Callers of a load.  */
struct deployment_load
{
  unsigned watches;    /**< Observations of the desk service.  */
  unsigned posters;    /**< Callers that post to the desk service.  */
  unsigned getters;    /**< Callers that get from the guide service.  */
  int64_t interval_us; /**< Between the requests of one caller.  */
};

struct deployment
{
  struct harness *h;
  enum deployment_kind kind;
  struct rgy_endpoint desk;  /**< Service of the workshop or catalog desk.  */
  struct rgy_endpoint guide; /**< Service of the catalogue or guide room.  */
  struct node *balancers[DEPLOYMENT_DOMAINS];
  struct node *desk_agents[DEPLOYMENT_DESK_HOSTS];
  struct node *guide_agents[DEPLOYMENT_GUIDE_HOSTS];
  GPtrArray *callers;           /**< struct caller of the harness.  */
  int64_t next_board_update_us; /**< 0 before deployment_run().  */
};

/** Start all processes, write the contract to the store and run 6 s of
    virtual time, in which the processes get ready.  */
struct deployment *deployment_new (enum deployment_kind kind,
                                   const struct harness_settings *settings);
void deployment_delete (struct deployment *d);

/** Add callers of the customer, and run 20 s of virtual time, in which the
    backend servers warm up.  */
void deployment_add_load (struct deployment *d,
                          const struct deployment_load *load);
/** Advance the virtual clock by a duration, and publish new versions of the
    desk service's boards every second.  */
void deployment_run (struct deployment *d, int64_t duration_us);
/** Stop all callers, and run 70 s of virtual time, in which their outstanding
    requests end.  */
void deployment_finish_load (struct deployment *d);

/** Largest number of flows that a ready agent of the desk service owns,
    divided by the mean over these agents; 0 when they own none.  */
double deployment_get_imbalance (const struct deployment *d);

/** Write a contract with this limit of requests in flight for the
    desk service.  */
void deployment_put_limit (struct deployment *d, unsigned requests_in_flight);
/** Number of running processes whose active contract has another limit of
    requests in flight for the desk service, or that have no contract.  */
unsigned deployment_count_without_limit (const struct deployment *d,
                                         unsigned requests_in_flight);
/** Number of processes of a failure domain that received a caller's datagram
    after a time, or whose backend server received any datagram.  */
unsigned deployment_count_receivers (const struct deployment *d,
                                     unsigned domain, int64_t after_us);

void deployment_get_customer (const struct deployment *d,
                              struct rgy_name *customer);
/** Format a contract of the customer as JSON, with this limit of requests in
    flight for the desk service.  Free with g_free().  */
char *deployment_make_contract (const struct deployment *d,
                                unsigned requests_in_flight);

#endif
