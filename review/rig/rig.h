#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

/**
 * @file
 * Stand-ins of the review: the platform's store, hosts, clients and routers,
 * which run in one process on loopback addresses and start the project's
 * programs.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Events and record (loop.c).  */

/** Prepare the record and the addresses.  Exits with 2 on failure.  */
void rig_init (const char *record_path);
/** Seconds since rig_init().  */
double rig_now (void);
/** Write a line with the time to the record.  */
void rig_record (const char *format, ...) G_GNUC_PRINTF (1, 2);
/** Run the loop for some seconds.  */
void rig_run (double seconds);
/** True unless TROUBLE=0 is set.  */
bool rig_has_trouble (void);
/** End all processes and exit: 1 if the rule was broken, 0 if it held.  */
void rig_finish (bool broken) G_GNUC_NORETURN;
/** End all processes and exit with 2.  */
void rig_cannot_run (const char *why) G_GNUC_NORETURN;
/** Bind a socket to a loopback address.  @return -1 on failure.  */
int rig_bind (int type, uint32_t ip, uint16_t port);

/* Addresses.  */

#define RIG_MAX_NODES 8
#define RIG_MAX_HOSTS 12

uint32_t rig_node_ip (size_t i);
uint32_t rig_host_ip (size_t i);
uint32_t rig_client_ip (void);
uint32_t rig_store_ip (void);
const char *rig_ip_text (uint32_t ip);
/** Ports, which are the same on all machines.  */
enum rig_port
{
  RIG_PORT_PACKETS,
  RIG_PORT_READINESS,
  RIG_PORT_CONTROL,
  RIG_PORT_OUTBOUND,
  RIG_PORT_APP,
  RIG_PORT_STORE,
  RIG_PORT_INTERNAL, /* The first one of a range of sixteen.  */
};
uint16_t rig_port (enum rig_port port);

/* HTTP (http.c).  */

struct rig_connection;
typedef void (*rig_request_fn) (struct rig_connection *connection,
                                const char *method, const char *target,
                                const char *body);
/** Listen for requests.  @return the descriptor.  */
int rig_http_listen (uint32_t ip, uint16_t port, rig_request_fn fn);
/** Stop to listen; open connections stay.  */
void rig_http_stop (int descriptor);
/** Answer a request.  */
void rig_http_answer (struct rig_connection *connection, unsigned status,
                      const char *body);
/** Lose an answer: the connection returns nothing further.  */
void rig_http_mute (struct rig_connection *connection);
/** Called with NULL data when the connection of a waiting request closes.  */
void rig_http_on_close (struct rig_connection *connection,
                        void (*fn) (struct rig_connection *connection));

/** Receives the status of an answer, or 0 if none came within the time.  */
typedef void (*rig_answer_fn) (unsigned status, void *ctx);
void rig_http_call (uint32_t ip, uint16_t port, const char *method,
                    const char *target, const char *body, unsigned timeout_ms,
                    rig_answer_fn fn, void *ctx);

/* Store (store.c).  */

void rig_store_start (void);
/** Write a key as the operator does.  The return is the acknowledgement.  */
void rig_store_put (const char *key, const char *value);
/** Take the store down without a word, or bring it back.  Calls that it gets
    or would answer meanwhile are never answered.  */
void rig_store_set_silent (bool silent);

/** Write the manifest of the next version.
    @param routes  objects of a JSON array, without the brackets.
    @param services  a JSON array.
    @param note  what changed, for the record.  */
void rig_put_manifest (const char *routes, const char *services,
                       const char *note);

/* Processes (process.c).  */

struct rig_process;
struct rig_process *rig_start_node (size_t i, const char *zone, bool first);
struct rig_process *rig_start_agent (size_t i, const char *zone,
                                     const char *service, bool first);
/** Kill a process, which doesn't start again.  */
void rig_kill (struct rig_process *process);
/** Send SIGTERM and start the process again some time after its end.  */
void rig_restart (struct rig_process *process, double pause_s);
void rig_end_processes (void);

/* Packets (packet.c).  */

#define RIG_HEAD_BYTES 36
#define RIG_PACKET_BYTES (RIG_HEAD_BYTES + 1200)
enum
{
  RIG_SYN = 2,
  RIG_ACK = 4,
  RIG_RST = 8,
  RIG_FIN = 16,
  RIG_BOUNCED = 128
};

struct rig_packet
{
  uint8_t flags;
  uint32_t seq;
  uint32_t ack;
  uint32_t src;
  uint32_t dst;
  uint16_t sport;
  uint16_t dport;
  uint16_t len;
  const char *data;
  uint32_t sum;
  bool intact; /* The sum fits the other fields.  */
};

size_t rig_packet_build (const struct rig_packet *packet, uint8_t *out);
bool rig_packet_parse (const uint8_t *in, size_t len,
                       struct rig_packet *packet);
void rig_send (int fd, uint32_t ip, uint16_t port, const uint8_t *data,
               size_t len);

/* Hosts (host.c).  */

struct rig_host
{
  size_t index;
  const char *service;
  const char *zone;
  bool alive;
  bool draining;
  double drain_acked_s; /* Time of the ack of "draining"; 0 if none.  */
  unsigned boot;
  int64_t born_ms;
  uint64_t seq;
  int udp;
  unsigned udp_watch;
  unsigned beat_timer;
  unsigned idle_timer;
  int health;
  GHashTable *flows;
};

extern struct rig_host rig_hosts[RIG_MAX_HOSTS];

/** Start a host.  FIRST_SEQ is the number of its first heartbeat, which it
    sends after FIRST_BEAT_S.  */
void rig_host_start (size_t i, const char *service, const char *zone,
                     unsigned first_seq, double first_beat_s);
void rig_host_drain (size_t i);
/** Crash a host: it ends without a word, and its flows with it.  */
void rig_host_crash (size_t i);
/** The host that serves a flow of a client; NULL if none.  */
struct rig_host *rig_host_of_flow (uint16_t caller_port, uint32_t service_seq);

/* Clients (client.c).  */

/** Use COUNT nodes, of which the node I is in zone I % 3, and route packets
    to them.  */
void rig_clients_start (size_t n_nodes);
/** Open a flow that sends REQUESTS requests with a pause between them.
    @return its port.  */
uint16_t rig_open_flow (uint16_t route_port, unsigned requests,
                        double pause_s);
/** After its last answer, let a flow lie idle instead of closing it.  */
void rig_forget_flow (uint16_t port);
/** Open another flow from the port of a flow that was forgotten.  */
void rig_reuse_port (uint16_t port, unsigned requests, double pause_s);
/** Open flows at a rate until the time.  */
void rig_open_flows (uint16_t route_port, double per_s, double until_s,
                     unsigned requests, double pause_s);

/* What the clients have seen.  */
struct rig_counts
{
  unsigned begun;
  unsigned opened;
  unsigned sent;
  unsigned answered;
  unsigned refused;     /* Flows reset before they opened.  */
  unsigned unopened;    /* Flows that no host answered.  */
  unsigned resets;      /* Open flows reset by the system while their host
                           served them.  */
  unsigned lost;        /* Requests that were under way on those.  */
  unsigned host_resets; /* Resets that hosts sent.  */
  unsigned foreign;     /* Packets or answers that belong elsewhere.  */
};
extern struct rig_counts rig_counts;

/** A new flow reached a host.  */
struct rig_arrival
{
  double sent_s;
  double arrived_s;
  size_t host;
  uint16_t route_port;
};
/** Called for each first packet of a flow that a host takes.  */
extern void (*rig_on_arrival) (const struct rig_arrival *arrival);
/** Time at which a client sent the first packet of a flow.  */
double rig_flow_sent_s (uint16_t caller_port);
/** Called for each flow that the system refuses, and for each that nobody
    answers.  */
extern void (*rig_on_refusal) (uint16_t route_port, double sent_s);
/** Called for each open flow that the system resets while its host serves
    it.  */
extern void (*rig_on_wrong_reset) (const struct rig_host *host,
                                   double opened_s);

#endif
