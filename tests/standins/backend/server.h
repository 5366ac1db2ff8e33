#ifndef RGY_STANDIN_SERVER_H
#define RGY_STANDIN_SERVER_H

/**
 * @file
 * Backend server stand-in: a CoAP server with an observable board, records
 * that must be posted only once, a catalogue that is fetched block-wise, and
 * an HTTP control port for faults and statistics.
 */

#include "standin.h"

/* Transmission parameters of RFC 7252 section 4.8.  */
#define ACK_TIMEOUT_MS 2000
#define MAX_RETRANSMIT 4

struct server_settings
{
  unsigned slots;         /**< Concurrency limit.  */
  unsigned cold_limit;    /**< Concurrency limit while cold.  */
  unsigned warm_after;    /**< Completed executions that end the warm-up.  */
  unsigned work_ms;       /**< Duration of one execution.  */
  unsigned block_ms;      /**< Duration of an execution for one
                             catalogue block.  */
  unsigned separate_ms;   /**< Executions of at least this duration are
                             acknowledged first and answered separately.  */
  unsigned confirm_every; /**< Every Nth notification is confirmable;
                             0: none.  */
  uint64_t catalogue_bytes;
  uint32_t observe_start; /**< Observe value of the first notification.  */
};

/** Counters since the start, named as in the answer to GET /stats.  */
struct server_stats
{
  uint64_t requests;   /**< Requests, not counting duplicates.  */
  uint64_t duplicates; /**< Repetitions of a received request.  */
  uint64_t completed;
  uint64_t cancelled;          /**< Requests ended by a Reset of the caller. */
  uint64_t deadline_abandoned; /**< Requests not completed before their
                                  deadline.  */
  uint64_t shed;               /**< Requests rejected because of the shed
                                  switch.  */
  uint64_t overload_violations; /**< Requests received above the cold
                                   limit while the server was cold.  */
  uint64_t slots_exceeded;      /**< Requests received while no slot was
                                   free.  */
  uint64_t blocks;              /**< Catalogue blocks sent.  */
  uint64_t notifications;
  uint64_t observers_ended;
  uint64_t pings;
  unsigned highest_concurrency; /**< Highest number of requests that were in
                                   execution or waiting.  */
};

struct server;

/** Create a cold server.  */
struct server *server_new (uv_loop_t *loop,
                           const struct server_settings *settings);
/** Open the CoAP socket.  @return 0 or a libuv error.  */
int server_listen (struct server *server, struct rgy_endpoint listen);

/* Switches of the control port.  */

/** Raise the board's version by one, or to @p version when that is not 0 and
    higher, and notify all observers.  */
void server_raise_version (struct server *server, uint64_t version);
/** Make the server cold again, as after a restart.  */
void server_set_cold (struct server *server);
/** Make the server unresponsive: it drops every datagram.  */
void server_set_unresponsive (struct server *server, bool unresponsive);
/** Make the server reject all requests for the board, for records and for the
    catalogue with 5.03. Health and load are still reported.  */
void server_set_shedding (struct server *server, bool shed);

/* State that the control port reports.  */

const struct server_stats *server_get_stats (const struct server *server);
/** Number of executions by record ID, char * to unsigned; the server keeps
    ownership.  */
GHashTable *server_get_record_executions (struct server *server);
/** Version of the board.  */
uint64_t server_get_board_version (const struct server *server);
bool server_is_cold (const struct server *server);
/** Number of requests in execution.  */
unsigned server_get_running_count (const struct server *server);
/** Number of observers of the board.  */
unsigned server_get_observer_count (const struct server *server);

/* Functions shared by the source files of the server.  */

/** Observable resource /board, whose value is a version number.  */
struct board;

/** Create a board of version 1.  */
struct board *board_new (struct server *server);
/** Build the answer to a GET, and register or deregister the observer when
    the request says so.
    @return a datagram owned by the caller.  */
GByteArray *board_answer (struct board *board, struct rgy_endpoint from,
                          const struct rgy_coap_view *request,
                          const struct rgy_coap_header *header);
/** Remove an observer, if it exists.  */
void board_remove (struct board *board, struct rgy_endpoint from,
                   struct rgy_bytes token);
/** Handle a Reset: the observer is removed when the message ID belongs to one
    of its recent notifications.  */
void board_handle_reset (struct board *board, struct rgy_endpoint from,
                         uint16_t message_id);
/** Remove the observer of a confirmable notification that was not
    acknowledged after all retransmissions.  */
void board_handle_delivery_failure (struct board *board,
                                    struct rgy_endpoint from,
                                    uint16_t message_id);
/** As server_raise_version().  */
void board_raise_version (struct board *board, uint64_t version);
uint64_t board_get_version (const struct board *board);
/** Number of observers.  */
unsigned board_get_observer_count (const struct board *board);

const struct server_settings *
server_get_settings (const struct server *server);
struct server_stats *server_get_mutable_stats (struct server *server);
uint16_t server_next_message_id (struct server *server);
void server_send (struct server *server, struct rgy_endpoint to,
                  const GByteArray *datagram);
/** Send a confirmable message and retransmit it until it is acknowledged.
    @param datagram  the function takes ownership.  */
void server_send_confirmable (struct server *server, struct rgy_endpoint to,
                              uint16_t message_id, GByteArray *datagram);

/** Serve the HTTP control port.  @return 0, or -1 when it cannot listen.  */
int control_start (uv_loop_t *loop, struct server *server,
                   struct rgy_endpoint listen);

#endif
