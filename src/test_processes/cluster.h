#ifndef TEST_PROCESSES_CLUSTER_H
#define TEST_PROCESSES_CLUSTER_H

/**
 * @file
 * A small deployment: key-value service, fabric, balancers, agents with their
 * backend servers, one customer with one coap service.
 */

#include <jansson.h>

#include "process.h"

#define CLUSTER_MAX 3
#define CLUSTER_KEY_BYTE 0x5a
#define CLUSTER_CUSTOMER "shop"

/* Ports; each instance has its own address.  */
#define PORT_STORE 2379
#define PORT_SERVICE 5683
#define PORT_INSTANCE 7000
#define PORT_SYNC 7001
#define PORT_HTTP 8080
#define PORT_CONTROL 8081
#define PORT_FABRIC 9000

/* Last octets of the addresses.  */
#define HOST_STORE 1
#define HOST_BALANCER 11
#define HOST_FABRIC 20
#define HOST_SERVICE 30
#define HOST_BACKEND 41
#define HOST_AGENT 51
#define HOST_CALLER 61

struct cluster
{
  unsigned network; /* Third octet.  */
  int lock;         /* Socket that reserves the network.  */
  char *folder;
  char **environment;
  unsigned balancer_count;
  unsigned agent_count;
  unsigned caller_count; /* Started so far, each with its own address.  */
  struct process *store;
  struct process *fabric;
  struct process *balancers[CLUSTER_MAX];
  struct process *agents[CLUSTER_MAX];
  struct process *backends[CLUSTER_MAX];
};

/** Failure domain of the balancer or agent with this index.  */
extern const char *const cluster_domains[CLUSTER_MAX];

/** Start key-value service, fabric, balancers and agents, write the contract
    and wait until all are ready.
    @param backend_options  further options of the backend servers.  */
struct cluster *cluster_new (unsigned balancers, unsigned agents,
                             const char *backend_options);
/** As cluster_new() for a balancer that is to be started later: the fabric
    knows @p balancers, of which only the first @p started are started.  */
struct cluster *cluster_new_partial (unsigned balancers, unsigned started,
                                     unsigned agents,
                                     const char *backend_options);
void cluster_delete (struct cluster *c);

void cluster_start_balancer (struct cluster *c, unsigned index);
void cluster_start_agent (struct cluster *c, unsigned index);
void cluster_await_balancer (struct cluster *c, unsigned index);
void cluster_await_agent (struct cluster *c, unsigned index);

/** Start callers that share one local address.
    @param name  prefix of the record names, unique in the cluster.
    @param options  further options, separated by spaces.  */
struct process *cluster_start_callers (struct cluster *c, const char *name,
                                       const char *options);
/** Wait for the callers.  @return their results, one object each.  */
json_t *cluster_await_callers (struct process *callers);
/** Let callers post one record each and fail unless all are accepted.  */
void cluster_post (struct cluster *c, const char *name, unsigned callers);

/** Start ragwortyokectl.  @param line  arguments, separated by spaces.  */
struct process *cluster_start_ctl (struct cluster *c, const char *line);
/** Run ragwortyokectl.  @return exit status; what it wrote is dropped.  */
int cluster_ctl (struct cluster *c, const char *line);
/** Run ragwortyokectl, which must succeed.  @return its standard output.  */
char *cluster_ctl_read (struct cluster *c, const char *line);
/** Write a contract whose byte limit is @p bytes_per_second to a file.
    @return its path.  */
char *cluster_write_contract (struct cluster *c, unsigned bytes_per_second);
/** Run "contract put" of such a contract.  */
int cluster_put_contract (struct cluster *c, unsigned bytes_per_second,
                          const char *options);
void cluster_set_faults (struct cluster *c, const char *json);

/** HTTP request to an instance.  @return body, NULL without an answer.  */
char *cluster_http (const struct cluster *c, unsigned host, unsigned port,
                    const char *path, const char *body, long *status);
/** As cluster_http(), for an answer in JSON that must come.  */
json_t *cluster_json (const struct cluster *c, unsigned host, unsigned port,
                      const char *path);
/** Value of a counter or gauge, whose full name is @p name.  */
double cluster_metric (const struct cluster *c, unsigned host,
                       const char *name);
json_int_t cluster_backend_stat (const struct cluster *c, unsigned index,
                                 const char *name);
/** Sum over all backend servers.  */
json_int_t cluster_backend_sum (const struct cluster *c, const char *name);
/** New version of the boards of all backend servers.  */
void cluster_bump (const struct cluster *c, unsigned version);
/** Executions of each record over all backend servers.  */
json_t *cluster_records (const struct cluster *c);
/** Fail when a record ran more than once, or an accepted one not at all.
    @param results  of posting callers.
    @return number of accepted records.  */
size_t cluster_check_records (const struct cluster *c, const json_t *results);

bool cluster_is_ready (const struct cluster *c, unsigned host);
void cluster_await_ready (const struct cluster *c, unsigned host, bool ready);
/** Wait until the balancer knows the agent in this state.  */
void cluster_await_state (const struct cluster *c, unsigned balancer,
                          unsigned agent, const char *state);
/** Revision of the contract in force at a balancer, 0 for none.  */
json_int_t cluster_revision (const struct cluster *c, unsigned balancer);
/** Wait until the backend servers' sum of @p name is at least @p least.  */
void cluster_await_sum (const struct cluster *c, const char *name,
                        json_int_t least);
void cluster_check_all_running (const struct cluster *c);
char *cluster_endpoint (const struct cluster *c, unsigned host, unsigned port);

#endif
