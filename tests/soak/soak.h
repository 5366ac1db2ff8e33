#ifndef SOAK_H
#define SOAK_H

/**
 * @file
 * Fault soak: runs the real programs as processes on loopback addresses. The
 * soak itself is their store, their backend servers, their router and their
 * callers.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "platform.h"

/** Number of this run, which is part of all addresses, so that several runs
    can use one machine at the same time.  */
extern unsigned soak_run_number;

#define SOAK_BALANCERS 3
#define SOAK_AGENTS 6
/** Agents whose index is below this number serve "workshop", the others
    "catalogue".  */
#define SOAK_WORKSHOP_AGENTS 4
/** Requests that a backend server runs at a time, stated in its heartbeats. */
#define SOAK_SLOTS 4
/* Addresses of the first balancer, agent and so on; the others follow.  */
#define SOAK_BALANCER_IP (0x7f0a0001U + (soak_run_number << 8))
#define SOAK_AGENT_IP (0x7f140001U + (soak_run_number << 8))
#define SOAK_STORE_IP (0x7f1e0001U + (soak_run_number << 8))
#define SOAK_CALLER_IP (0x7f280001U + (soak_run_number << 8))
#define SOAK_PACKETS_PORT 18172
#define SOAK_READINESS_PORT 18167
#define SOAK_CONTROL_PORT 18166
#define SOAK_OUTBOUND_PORT 18162
#define SOAK_BACKEND_PORT 18165
#define SOAK_STORE_PORT 18169
#define SOAK_INTERNAL_PORT 17720

/** A process of the program under test: a balancer or an agent.  */
struct soak_process
{
  bool agent;            /**< An agent; otherwise a balancer.  */
  size_t index;          /**< Index among the agents or the balancers.  */
  GPid pid;              /**< 0: the process does not run.  */
  bool paused;           /**< Stopped by SIGSTOP.  */
  int64_t last_fault_us; /**< Time of the last crash or pause; 0: none.  */
};

/** Write the settings of a process and start it.
    @param first_start  value of the setting "first-start".  */
void soak_process_start (struct soak_process *process, bool first_start);
/** Send a signal to a process; without effect when the process does not run.
    After SIGKILL, also wait for the end of the process.  */
void soak_process_signal (struct soak_process *process, int signal);
/** Reap a process that has exited.  @return true when it does not run.  */
bool soak_process_has_ended (struct soak_process *process);
/** Folder of the settings and logs, which is created by the first call.
    @return its path, owned by the function.  */
const char *soak_process_get_folder (void);
/** Delete the folder of the settings and logs.  */
void soak_process_delete_folder (void);

/** How the store answers.  */
enum soak_store_mode
{
  SOAK_STORE_WORKS,         /**< Answers all requests.  */
  SOAK_STORE_UNAVAILABLE,   /**< Answers 503 and changes nothing.  */
  SOAK_STORE_LOSES_ANSWERS, /**< Runs the request, but answers 503.  */
  SOAK_STORE_CLOSED,        /**< Refuses connections.  */
  SOAK_STORE_MODE_COUNT
};

/** Start an empty store.  */
void soak_store_start (uv_loop_t *loop);
void soak_store_set_mode (enum soak_store_mode mode);
/** Delete the history: watches from an older revision get 410.  */
void soak_store_compact (void);
/** Revoke all leases and delete their keys.  */
void soak_store_revoke_leases (void);
/** Write a key without a lease.
    @param value  text that the store encodes as base64.  */
void soak_store_put (const char *key, const char *value);
void soak_store_delete (const char *key);
/** Take the copy from which the store returns.  */
void soak_store_copy (void);
/** Return from the copy, in the next era.  Revisions and numbers of leases are
    given out again.  */
void soak_store_return (void);
/** Write again what the operator wrote and the return has lost.  */
void soak_store_rewrite (void);
/** Close the port of the store.  */
void soak_store_stop (void);

/* Slots of the backend servers, for the requests of callers who send one
   each.  */

/** Run or queue a request.  @return false if it is rejected.  */
bool soak_slots_take (size_t backend, uint16_t port, int64_t now_us);
/** End the runs that are due and begin the next ones.  */
void soak_slots_tick (int64_t now_us);
/** Drop all requests of a backend server.  */
void soak_slots_clear (size_t backend);
/* Called by the functions above: a run begins; it ends.  */
void soak_request_begins (uint16_t port);
void soak_request_ends (size_t backend, uint16_t port);
/* Returns of the store from an older copy, which have random numbers of their
   own, so that they do not change the faults of a seed.  */

void soak_returns_start (uint32_t seed);
/** Copy, return and write again when that is due.
    @param works  the store has no other fault; it is then closed for a
                  moment.  */
void soak_returns_tick (int64_t now_us, bool works);
/** End the returns; what was lost is written again at once.  */
void soak_returns_end (void);
/** True while the store is closed or the operator has not written again.  */
bool soak_returns_is_pending (void);
unsigned soak_returns_count (void);

/* Another writer, which sends odd input.  */

void soak_writer_start (uv_loop_t *loop, uint32_t seed);
/** Send or leave the next odd input when it is due.  */
void soak_writer_tick (int64_t now_us);
/** Number of odd heartbeats that an agent has acknowledged.  */
unsigned soak_writer_get_accepted (void);

#endif
