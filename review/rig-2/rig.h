#ifndef RIG_H
#define RIG_H

/**
 * @file
 * Stand-ins for a small deployment: the store, backend servers, callers and
 * the router, all in one process, which starts the programs under test.
 */

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_MAX_BALANCERS 4
#define RIG_MAX_AGENTS 8
#define RIG_PACKETS_PORT 8172
#define RIG_OUTBOUND_PORT 8162
#define RIG_APP_PORT 8165
#define RIG_CONTROL_PORT 8166
#define RIG_READINESS_PORT 8167
#define RIG_STORE_PORT 8169
#define RIG_ROUTE_PORT 8443
#define RIG_HEARTBEAT_MS 1200
/** Time limit of the requests.  */
#define RIG_LIMIT_MS 3000
#define RIG_CALLER_IP (rig_net + 100U)
#define RIG_STORE_IP (rig_net + 200U)
#define RIG_ROUTE_IP (rig_net + 250U)
#define RIG_BALANCER_IP(i) (rig_net + 1U + (uint32_t)(i))
#define RIG_AGENT_IP(i) (rig_net + 11U + (uint32_t)(i))
#define RIG_SERVICE "board"
/** Bytes of a packet's header, and of a whole packet.  */
#define RIG_HEADER_BYTES 36
#define RIG_PACKET_BYTES 1236

/** Flags of a packet.  */
enum
{
  RIG_SYN = 2,
  RIG_ACK = 4,
  RIG_RST = 8,
  RIG_FIN = 16,
  RIG_BOUNCED = 128
};

/** Loopback network of this run, which no other run uses.  */
extern uint32_t rig_net;
/** Time since the start in milliseconds; updated before each callback.  */
extern int64_t rig_now_ms;
/** Folder of settings and logs.  */
extern char rig_folder[128];

/* Events and sockets.  */

struct rig_source;
typedef void (*rig_source_fn) (struct rig_source *source, short events);

/** A file descriptor that is polled.  */
struct rig_source
{
  int fd; /**< -1: unused.  */
  short events;
  rig_source_fn fn;
  void *ctx;
};

struct rig_source *rig_source_add (int fd, short events, rig_source_fn fn,
                                   void *ctx);
/** Close the descriptor and forget the source.  */
void rig_source_close (struct rig_source *source);
/** Wait for events for at most @p ms and run their callbacks.  */
void rig_poll (int ms);
int rig_udp_bind (uint32_t ip, uint16_t port);
void rig_udp_send (int fd, uint32_t ip, uint16_t port, const uint8_t *data,
                   size_t len);
/** Listen at an address.  @return -1 if that fails.  */
int rig_tcp_listen (uint32_t ip, uint16_t port);
int rig_tcp_connect (uint32_t ip, uint16_t port);
/** Write an address with a port as text.  */
void rig_format_ip (uint32_t ip, char *out, size_t size);
/** Write a line with the time to the record.  */
void rig_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/* A call over HTTP on a connection of its own.  */

/** @param status  0 if the call has failed.  */
typedef void (*rig_call_fn) (int status, void *ctx);
void rig_call (uint32_t ip, uint16_t port, const char *method,
               const char *target, const char *body, int timeout_ms,
               rig_call_fn fn, void *ctx);
void rig_calls_tick (void);

/* Packets.  */

struct rig_packet
{
  uint8_t flags;
  uint32_t seq;
  uint32_t ack;
  uint32_t src;
  uint32_t dst;
  uint16_t sport;
  uint16_t dport;
  const uint8_t *data;
  uint16_t len;
};

/** @return false if the bytes are no packet.  */
bool rig_packet_decode (const uint8_t *in, size_t len,
                        struct rig_packet *packet);
size_t rig_packet_encode (const struct rig_packet *packet, uint8_t *out);

/* Store.  */

void rig_store_start (void);
void rig_store_put (const char *key, const char *value);
void rig_store_delete (const char *key);
/** Time that the store takes for an answer.  */
void rig_store_set_delay (int ms);
void rig_store_tick (void);

/* Processes under test.  */

struct rig_process
{
  bool is_agent;
  int index;
  const char *zone;
  pid_t pid;        /**< 0: does not run.  */
  bool is_stopping; /**< It got SIGTERM.  */
};

void rig_process_start (struct rig_process *process, bool bootstrap);
void rig_process_kill (struct rig_process *process, int signal);
/** Send SIGTERM and wait for the end.  */
void rig_process_stop (struct rig_process *process);
/** Send a signal, SIGKILL at the end, and wait for the end.  */
void rig_process_end (struct rig_process *process);
/** @return true if a process that should run has ended by itself.  */
bool rig_process_check (struct rig_process *process);

/* Backend servers.  */

/** What the checks need of one flow at a backend server.  */
struct rig_run
{
  int64_t sent_ms;
  int64_t arrived_ms;
};

#define RIG_MAX_RUNS 32768
#define RIG_SLOTS 4

struct rig_host
{
  int index;
  const char *zone;
  bool alive;
  bool draining;
  unsigned boot;
  int64_t clock_ahead_ms; /**< Of the time of day on its machine.  */
  int64_t born_ms;        /**< Unix time by the clock of its machine.  */
  uint64_t seq;
  int64_t cold_from_ms; /**< -1: was never cold.  */
  int64_t cold_until_ms;
  int64_t fall_cold_ms; /**< Warm-up after a start that follows a fall.  */
  int64_t restart_ms;   /**< 0: no start is due.  */
  int64_t next_heartbeat_ms;
  bool heartbeat_running;
  bool heartbeat_drains;  /**< The call under way says draining.  */
  int64_t drain_acked_ms; /**< -1: not acknowledged.  */
  struct rig_source *udp;
  struct rig_source *tcp;
  uint32_t flow_seq[65536]; /**< By the caller's port; 0: no flow.  */
  uint8_t flow_state[65536];
  uint32_t flow_next[65536];  /**< Next number expected of the caller.  */
  uint32_t flow_sent[65536];  /**< Bytes of answers.  */
  bool flow_has_fin[65536];   /**< It has sent the end of the flow.  */
  int64_t flow_due_ms[65536]; /**< End of the run of its request; 0: none.  */
  int n_running;              /**< Requests that wait or run.  */
  int64_t slot_free_ms[RIG_SLOTS];
  int n_falls; /**< Times that it got more than it bears.  */
  int n_lost;  /**< Requests that ended with it.  */
  struct rig_run runs[RIG_MAX_RUNS];
  int n_runs;
};

/** Time that a request takes; more at a cold server.  */
extern int rig_work_ms;
/** Requests in a second at which a cold server falls over: it ends with all of
    its flows, and starts again, cold, after a second.  0: it bears any.  */
extern double rig_cold_limit;

/** Start a backend server; it is cold until @p cold_ms from now.  */
void rig_host_start (struct rig_host *host, int64_t cold_ms);
/** End a backend server without notice; all of its flows are lost.  */
void rig_host_crash (struct rig_host *host);
/** Let a backend server say that it leaves, from now on.  */
void rig_host_drain (struct rig_host *host);
/** Number of flows of which three or more packets reached other backend
   servers for two seconds and none the one that holds the flow.  */
int rig_hosts_count_lost_flows (void);
/** True if the backend server holds the flow of the caller's port.  */
bool rig_host_holds_flow (const struct rig_host *host, uint16_t port);
/** Deregister a backend server, which then ends.  */
void rig_host_leave (struct rig_host *host);
/** Count the requests that arrived later than @p ms after the agent
    acknowledged the draining.  */
int rig_host_count_late (const struct rig_host *host, int64_t ms);
/** Make a running backend server cold.  */
void rig_host_cool (struct rig_host *host, int64_t cold_ms);
void rig_host_tick (struct rig_host *host);
/** Most requests in a second while the server was cold, of those that were
    sent and arrived inside that second.  */
int rig_host_count_cold_peak (const struct rig_host *host, int64_t *from_ms);

/* Callers and router.  */

void rig_callers_start (int per_s);
void rig_callers_set_rate (int per_s);
void rig_callers_tick (void);
/** Let callers who open a flow from now on keep it after the answer.  */
void rig_callers_keep_flows (bool keep);
/** Let callers whose kept flow the backend server closes open a new flow from
    the same port at once.  */
void rig_callers_reuse_ports (bool reuse);
/** Send a further request on each kept flow.  */
void rig_callers_ask_again (void);
/** Number of kept flows that were reset while their backend server held
    them.  */
int rig_callers_count_broken (const struct rig_host *hosts, int count);
/** Time at which the caller with this port sent its first segment.  */
int64_t rig_caller_get_sent_ms (uint16_t port);
void rig_callers_print_totals (void);
int rig_callers_get_answered (void);
/** Let the router poll the balancers.  */
void rig_router_tick (const struct rig_process *balancers, int count);

#endif
