#ifndef SOAK_H
#define SOAK_H

/**
 * @file
 * Fault soak: the real programs as processes on loopback addresses, met by a
 * store, backend servers, a router and callers in this one process.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "platform.h"

/** Number of this run, so that several can use their own addresses.  */
extern unsigned soak_instance;

#define SOAK_BALANCERS 3
#define SOAK_AGENTS 6
/** Agents below serve "workshop", the others "catalogue".  */
#define SOAK_WORKSHOP 4
#define SOAK_BALANCER_IP (0x7f0a0001U + (soak_instance << 8))
#define SOAK_AGENT_IP (0x7f140001U + (soak_instance << 8))
#define SOAK_STORE_IP (0x7f1e0001U + (soak_instance << 8))
#define SOAK_CALLER_IP (0x7f280001U + (soak_instance << 8))
#define SOAK_PACKETS_PORT 18172
#define SOAK_READY_PORT 18167
#define SOAK_CONTROL_PORT 18166
#define SOAK_OUTBOUND_PORT 18162
#define SOAK_APP_PORT 18165
#define SOAK_STORE_PORT 18169
#define SOAK_INTERNAL_PORT 17720

/* Processes.  */

/** One process of the program under test.  */
struct soak_process
{
  bool agent;
  size_t index;
  GPid pid; /**< 0: does not run.  */
  bool paused;
  int64_t troubled_us; /**< Last unplanned fault; 0: none.  */
};

void soak_process_start (struct soak_process *process, bool first_start);
/** Send a signal to a process that runs; SIGKILL also waits for its end.  */
void soak_process_signal (struct soak_process *process, int signal);
/** Note the end of a process that was told to stop.  @return true if it has
    ended.  */
bool soak_process_has_ended (struct soak_process *process);
/** Folder of settings and logs; removed by soak_process_clean().  */
const char *soak_process_folder (void);
void soak_process_clean (void);

/* Store.  */

enum soak_store_mode
{
  SOAK_STORE_SERVES,
  SOAK_STORE_BUSY,    /**< Answers 503.  */
  SOAK_STORE_LOSES,   /**< Does what it is told and answers 503.  */
  SOAK_STORE_REFUSES, /**< Refuses connections.  */
  SOAK_STORE_MODES
};

void soak_store_start (uv_loop_t *loop);
void soak_store_set_mode (enum soak_store_mode mode);
/** Forget the history: watches get 410.  */
void soak_store_compact (void);
/** End all leases at once.  */
void soak_store_revoke (void);
void soak_store_put (const char *key, const char *value);
void soak_store_delete (const char *key);
void soak_store_stop (void);

#endif
