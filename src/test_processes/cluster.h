#ifndef TEST_PROCESSES_CLUSTER_H
#define TEST_PROCESSES_CLUSTER_H

/**
 * @file
 * A small deployment of processes: key-value service, fabric, balancers,
 * agents with their backend servers, and one customer with one CoAP service.
 */

#include <jansson.h>

#include "process.h"

/** Largest number of balancers, and of agents.  */
#define CLUSTER_MAX 3
/** Value of each byte of the cluster key.  */
#define CLUSTER_KEY_BYTE 0x5a
#define CLUSTER_CUSTOMER "shop"

/* Ports, the same for all instances, as each has an address of its own.  */
#define PORT_STORE 2379
#define PORT_SERVICE 5683
#define PORT_INSTANCE 7000
#define PORT_SYNC 7001
#define PORT_HTTP 8080
#define PORT_CONTROL 8081
#define PORT_FABRIC 9000

/* Last octets of the addresses; an index is added to those of balancers,
   backend servers, agents and callers.  */
#define HOST_STORE 1
#define HOST_BALANCER 11
#define HOST_FABRIC 20
#define HOST_SERVICE 30
#define HOST_BACKEND 41
#define HOST_AGENT 51
#define HOST_CALLER 61

/** A running deployment; processes that were not started are NULL.  */
struct cluster
{
  unsigned network;   /**< Third octet of all addresses.  */
  int lock;           /**< Socket that reserves the network.  */
  char *folder;       /**< Temporary folder of the contract files.  */
  char **environment; /**< Environment of all processes.  */
  unsigned balancer_count;
  unsigned agent_count;
  unsigned caller_count; /**< Processes of callers started so far; each
                              process has its own address.  */
  struct process *store;
  struct process *fabric;
  struct process *balancers[CLUSTER_MAX];
  struct process *agents[CLUSTER_MAX];
  struct process *backends[CLUSTER_MAX];
};

/** Failure domain of the balancer or agent with this index.  */
extern const char *const cluster_domains[CLUSTER_MAX];

/** Start the key-value service, the fabric, the balancers and the agents with
    their backend servers, write the contract and wait until all are ready.
    @param backend_options  further options of the backend servers, each
    preceded by a space.  */
struct cluster *cluster_new (unsigned balancers, unsigned agents,
                             const char *backend_options);
/** As cluster_new(), but start only the first @p started of the @p balancers.
    The fabric is configured for all balancers, so that the others can be
    started afterwards.  */
struct cluster *cluster_new_partial (unsigned balancers, unsigned started,
                                     unsigned agents,
                                     const char *backend_options);
/** Kill all processes of the test and release the network.  */
void cluster_delete (struct cluster *c);

void cluster_start_balancer (struct cluster *c, unsigned index);
void cluster_start_agent (struct cluster *c, unsigned index);
/** Wait until a balancer is ready and the fabric has noticed it.  */
void cluster_await_balancer (struct cluster *c, unsigned index);
/** Wait until an agent is ready and all started balancers have noticed it.  */
void cluster_await_agent (struct cluster *c, unsigned index);

/** Start a process of callers, which share one local address.
    @param name  prefix of the record IDs, unique in the cluster.
    @param options  further options, separated by spaces.  */
struct process *cluster_start_callers (struct cluster *c, const char *name,
                                       const char *options);
/** Wait for the end of the callers, which must succeed.
    @return an array of their results, owned by the caller.  */
json_t *cluster_await_callers (struct process *callers);
/** Start callers that post one record each; fail the test unless all records
    are accepted.
    @param name  prefix of the record IDs, unique in the cluster.  */
void cluster_post_records (struct cluster *c, const char *name,
                           unsigned callers);

/** Start ragwortyokectl.
    @param line  arguments, separated by spaces.  */
struct process *cluster_start_ctl (struct cluster *c, const char *line);
/** Run ragwortyokectl and discard its output.  @return its exit status.  */
int cluster_run_ctl (struct cluster *c, const char *line);
/** Run ragwortyokectl, which must succeed.
    @return its standard output, to be freed with g_free().  */
char *cluster_read_ctl (struct cluster *c, const char *line);
/** Write a contract whose byte limit is @p bytes_per_second to a file.
    @return the path of the file, to be freed with g_free().  */
char *cluster_write_contract (struct cluster *c, unsigned bytes_per_second);
/** Run "contract put" for a contract whose byte limit is @p bytes_per_second.
    @param options  further options, each preceded by a space.
    @return the exit status.  */
int cluster_put_contract (struct cluster *c, unsigned bytes_per_second,
                          const char *options);
/** Set fault switches of the key-value service.  */
void cluster_set_faults (struct cluster *c, const char *json);

/** Send an HTTP request to a host of the cluster.
    @param body  NULL for a GET.
    @param status  receives the HTTP status; 0 without an answer.
    @return the body of the answer, to be freed with g_free(); NULL if there
    was no answer.  */
char *cluster_request_http (const struct cluster *c, unsigned host,
                            unsigned port, const char *path, const char *body,
                            long *status);
/** GET a JSON resource and repeat the request until it is answered.
    @return the answer, owned by the caller.  */
json_t *cluster_get_json (const struct cluster *c, unsigned host,
                          unsigned port, const char *path);
/** Value of a counter or gauge.
    @param name  name with labels, without the prefix "ragwortyoke_".
    @return 0 when there is no such metric.  */
double cluster_get_metric (const struct cluster *c, unsigned host,
                           const char *name);
/** Value of a statistic of a backend server.  */
json_int_t cluster_get_backend_stat (const struct cluster *c, unsigned index,
                                     const char *name);
/** Sum of a statistic over all backend servers.  */
json_int_t cluster_sum_backend_stats (const struct cluster *c,
                                      const char *name);
/** Raise the versions of the boards of all backend servers.  */
void cluster_raise_versions (const struct cluster *c, unsigned version);
/** Number of executions of each record, over all backend servers.
    @return an object by record ID, owned by the caller.  */
json_t *cluster_get_executions (const struct cluster *c);
/** Fail the test when a record was executed more than once, or when an
    accepted record was never executed.
    @param results  results of cluster_await_callers() for posts.
    @return the number of accepted records.  */
size_t cluster_check_records (const struct cluster *c, const json_t *results);

/** True when an instance answers as ready now.  */
bool cluster_is_ready (const struct cluster *c, unsigned host);
/** Wait until an instance answers with this readiness.  */
void cluster_await_ready (const struct cluster *c, unsigned host, bool ready);
/** Wait until a balancer lists an agent in this state.  */
void cluster_await_state (const struct cluster *c, unsigned balancer,
                          unsigned agent, const char *state);
/** Revision of the active contract of a balancer; 0 without one.  */
json_int_t cluster_get_contract_revision (const struct cluster *c,
                                          unsigned balancer);
/** Wait until the sum of a statistic over all backend servers is at least
    @p least.  */
void cluster_await_backend_sum (const struct cluster *c, const char *name,
                                json_int_t least);
/** Fail the test when a process of the cluster has ended unexpectedly.  */
void cluster_check_all_running (const struct cluster *c);
/** Endpoint of a host as "A.B.C.D:PORT", to be freed with g_free().  */
char *cluster_format_endpoint (const struct cluster *c, unsigned host,
                               unsigned port);

#endif
