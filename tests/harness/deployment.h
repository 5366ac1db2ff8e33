#ifndef RGY_DEPLOYMENT_H
#define RGY_DEPLOYMENT_H

/**
 * @file
 * The two users' deployments on the harness, with their sizes and delays.
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

struct deployment_load
{
  unsigned watches;
  unsigned posters;
  unsigned getters;
  int64_t interval_us; /**< Between the requests of one caller.  */
};

struct deployment
{
  struct harness *h;
  enum deployment_kind kind;
  struct rgy_endpoint desk;  /**< Workshop or catalog desk.  */
  struct rgy_endpoint guide; /**< Catalogue or guide room.  */
  struct node *balancers[DEPLOYMENT_DOMAINS];
  struct node *desk_agents[DEPLOYMENT_DESK_HOSTS];
  struct node *guide_agents[DEPLOYMENT_GUIDE_HOSTS];
  GPtrArray *callers;
  int64_t next_bump_us;
};

/** Start everything, put the contract and wait until all are ready.  */
struct deployment *deployment_new (enum deployment_kind kind,
                                   const struct harness_settings *settings);
void deployment_delete (struct deployment *d);

/** Add callers of the customer and let the backend servers get warm.  */
void deployment_add_load (struct deployment *d,
                          const struct deployment_load *load);
/** Run while the boards change every second.  */
void deployment_run (struct deployment *d, int64_t duration_us);
/** Let outstanding requests end without new ones.  */
void deployment_finish_load (struct deployment *d);

/** Maximum over mean of the flows held by the ready agents of the desk
    service.  */
double deployment_get_imbalance (const struct deployment *d);

/** Put a contract with this limit of requests in flight for the desk
    service.  */
void deployment_put_limit (struct deployment *d, unsigned requests_in_flight);
/** Live processes in which another limit is in force.  */
unsigned deployment_count_without_limit (const struct deployment *d,
                                         unsigned requests_in_flight);
/** Processes of a failure domain that got a datagram of a caller after a
    time.  */
unsigned deployment_count_reached (const struct deployment *d, unsigned domain,
                                   int64_t after_us);

void deployment_get_customer (const struct deployment *d,
                              struct rgy_name *customer);
/** Contract of the customer with limits for the desk service.  */
char *deployment_make_contract (const struct deployment *d,
                                unsigned requests_in_flight);

#endif
