#ifndef RGY_HARNESS_PRIVATE_H
#define RGY_HARNESS_PRIVATE_H

/**
 * @file
 * Event queue and parts of the harness that its source files share.
 */

#include "harness.h"

enum event_kind
{
  EVENT_TICK,         /**< Timer of a node.  */
  EVENT_FABRIC,       /**< Datagram from the fabric to a balancer.  */
  EVENT_INSTANCE,     /**< Datagram from one node to another.  */
  EVENT_TO_BACKEND,   /**< Datagram from an agent to its backend server.  */
  EVENT_FROM_BACKEND, /**< Datagram from a backend server to its agent.  */
  EVENT_WORK_DONE,    /**< An execution in a backend server ends.  */
  EVENT_TO_CALLER,    /**< Datagram from the fabric to a caller.  */
  EVENT_CALLER_TIMER, /**< Timer of a caller.  */
  EVENT_SYNC_REQUEST, /**< Synchronisation request to the serving balancer. */
  EVENT_SYNC_REPLY    /**< Synchronisation frame to the requesting node.  */
};

struct event
{
  int64_t at_us;     /**< Virtual time at which the event is due.  */
  uint64_t sequence; /**< Decides between events that are due together.  */
  enum event_kind kind;
  struct node *node;
  uint32_t incarnation; /**< Of the node when the event was scheduled.  An
                           event for the process is dropped when the node has
                           a newer incarnation.  */
  struct caller *caller;
  struct rgy_endpoint from;
  uint64_t flow_id;
  GBytes *data;
};

/** One write in the history of the store.  */
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
  uint64_t next_event_sequence;
  GPtrArray *heap; /**< Binary heap of struct event.  */
  GPtrArray *nodes;
  GPtrArray *callers;
  struct rgy_name domains[H_MAX_DOMAINS];
  unsigned domain_count;
  struct rgy_actions *actions;
  GHashTable *partitioned_links; /**< Set of keys of node pairs.  */
  GPtrArray *store;              /**< struct store_record, oldest first.  */
  uint64_t store_revision;
  uint64_t next_order_number;
  bool store_down;
  int64_t store_delay_us;
  uint8_t key[RGY_WIRE_KEY_BYTES];
  struct rgy_wire *trace_wire; /**< Decoder of the datagram trace, or NULL when
                                  datagrams are not traced.  */
  unsigned control_count;      /**< Control datagrams in this second.  */
  uint64_t control_digest;     /**< Digest of all control datagrams so far.  */
  int64_t control_until_us;    /**< Time of the next summary line.  */
};

/** Schedule a copy of an event after a delay; takes ownership of its data.  */
void h_schedule (struct harness *h, struct event event, int64_t delay_us);
GBytes *h_copy_bytes (struct rgy_bytes bytes);
/** View of bytes that stay with their owner.  */
struct rgy_bytes h_view_bytes (GBytes *bytes);
/** Draw a delay within the jitter around @p delay_us.  */
int64_t h_add_jitter (struct harness *h, int64_t delay_us);
/** Draw true with a probability in percent; 0 draws no random number.  */
bool h_draw_percent (struct harness *h, unsigned percent);
/** Write a line with the virtual time in ms to the trace, if there is one. */
void h_trace (struct harness *h, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* trace.c */
/** Trace an event that is due; ignores events that carry no datagram.  */
void trace_event (struct harness *h, const struct event *e);

/* backend.c */
void backend_init (struct backend *b, unsigned slots, int64_t work_us);
void backend_clear (struct backend *b);
/** A backend server receives a datagram on the socket of a flow.  */
void backend_receive (struct harness *h, struct node *node, uint64_t flow_id,
                      struct rgy_bytes datagram);
/** End the execution of a request; @p socket is the socket key of its flow. */
void backend_finish_work (struct harness *h, struct node *node,
                          uint64_t socket, struct rgy_bytes request);
/** Publish a new version of the board and notify its observers.  */
void backend_update_board (struct harness *h, struct node *node);

/* caller.c */
void caller_receive (struct harness *h, struct caller *c,
                     struct rgy_bytes datagram);
void caller_handle_timer (struct harness *h, struct caller *c);
void caller_free (struct caller *c);
struct rgy_endpoint caller_get_endpoint (const struct caller *c);
enum caller_kind caller_get_kind (const struct caller *c);
/** Send a caller's datagram through the fabric to a random balancer that
    is ready.  */
void h_send_from_caller (struct harness *h, struct rgy_endpoint caller,
                         struct rgy_endpoint service,
                         const GByteArray *datagram);
/** Number of executions of a record on all backend servers.  */
unsigned h_count_executions (struct harness *h, const char *record);

#endif
