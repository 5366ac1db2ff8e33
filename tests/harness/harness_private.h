#ifndef RGY_HARNESS_PRIVATE_H
#define RGY_HARNESS_PRIVATE_H

#include "harness.h"

/** Where an event goes.  */
enum event_kind
{
  EVENT_TICK,         /**< To a node.  */
  EVENT_FABRIC,       /**< Datagram of the fabric to a balancer.  */
  EVENT_INSTANCE,     /**< Datagram between nodes.  */
  EVENT_TO_BACKEND,   /**< Datagram to a node's backend server.  */
  EVENT_FROM_BACKEND, /**< Datagram of it to the agent.  */
  EVENT_WORK_DONE,    /**< A backend server's execution ends.  */
  EVENT_TO_CALLER,    /**< Datagram to a caller.  */
  EVENT_CALLER_TIMER,
  EVENT_SYNC_REQUEST, /**< Synchronisation, to the serving balancer.  */
  EVENT_SYNC_REPLY,
  EVENT_STORE_ENTRY /**< Store watch event to a balancer.  */
};

struct event
{
  int64_t at_us;
  uint64_t order; /**< Decides between equal times.  */
  enum event_kind kind;
  struct node *node;
  uint32_t incarnation; /**< Of the node; an older one drops the event.  */
  struct caller *caller;
  struct rgy_endpoint from;
  uint64_t flow_id;
  GBytes *data;
};

struct store_record
{
  enum rgy_entry_class class;
  struct rgy_name key;
  struct rgy_version version;
  char *json;
  int64_t written_us;
};

struct harness
{
  struct harness_settings settings;
  GRand *random;
  int64_t now_us;
  uint64_t next_order;
  GPtrArray *heap; /**< Binary heap of struct event.  */
  GPtrArray *nodes;
  GPtrArray *callers;
  struct rgy_name domains[H_MAX_DOMAINS];
  unsigned domain_count;
  struct rgy_actions *actions;
  GHashTable *cuts; /**< Set of packed node index pairs.  */
  GPtrArray *store; /**< struct store_record.  */
  uint64_t store_revision;
  uint64_t next_order_number;
  bool store_down;
  int64_t store_delay_us;
  uint8_t key[RGY_WIRE_KEY_BYTES];
  struct rgy_wire *trace_wire; /**< NULL: datagrams are not traced.  */
  unsigned control_count;      /**< Control datagrams of this second.  */
  uint64_t control_digest;
  int64_t control_until_us;
};

void h_push (struct harness *h, struct event event, int64_t delay_us);
GBytes *h_bytes (struct rgy_bytes bytes);
struct rgy_bytes h_view (GBytes *bytes);
int64_t h_jitter (struct harness *h, int64_t delay_us);
bool h_chance (struct harness *h, unsigned percent);
void h_trace (struct harness *h, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* trace.c */
/** A datagram has arrived; events of other kinds are passed over.  */
void trace_event (struct harness *h, const struct event *e);

/* backend.c */
void backend_init (struct backend *b, unsigned slots, int64_t work_us);
void backend_finish (struct backend *b);
void backend_receive (struct harness *h, struct node *node, uint64_t flow_id,
                      struct rgy_bytes datagram);
void backend_work_done (struct harness *h, struct node *node, uint64_t socket,
                        struct rgy_bytes request);
void backend_bump (struct harness *h, struct node *node);

/* caller.c */
void caller_receive (struct harness *h, struct caller *c,
                     struct rgy_bytes datagram);
void caller_timer (struct harness *h, struct caller *c);
void caller_free (struct caller *c);
struct rgy_endpoint caller_get_endpoint (const struct caller *c);
enum caller_kind caller_get_kind (const struct caller *c);
/** A datagram of a caller enters the fabric.  */
void h_from_caller (struct harness *h, struct rgy_endpoint caller,
                    struct rgy_endpoint service, const GByteArray *datagram);
/** Executions of a record over all backend servers.  */
unsigned h_count_executions (struct harness *h, const char *record);

#endif
