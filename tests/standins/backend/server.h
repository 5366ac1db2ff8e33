#ifndef RGY_STANDIN_SERVER_H
#define RGY_STANDIN_SERVER_H

/**
 * @file
 * Backend server stand-in.
 */

#include "standin.h"

#define ACK_TIMEOUT_MS 2000
#define MAX_RETRANSMIT 4

struct server_settings
{
  unsigned slots;
  unsigned cold_limit;
  unsigned warm_after;    /**< Completions until warm.  */
  unsigned work_ms;       /**< Time of one execution.  */
  unsigned block_ms;      /**< Time of one catalogue block.  */
  unsigned separate_ms;   /**< Longer executions are acknowledged first.  */
  unsigned confirm_every; /**< Every Nth notification is confirmable.  */
  uint64_t catalogue_bytes;
  uint32_t observe_start; /**< Observe value of the first notification.  */
};

struct server_stats
{
  uint64_t requests;
  uint64_t duplicates;
  uint64_t completed;
  uint64_t cancelled;
  uint64_t deadline_abandoned;
  uint64_t shed;
  uint64_t overload_violations; /**< Above the cold limit while cold.  */
  uint64_t slots_exceeded;      /**< Above the slots at any time.  */
  uint64_t blocks;
  uint64_t notifications;
  uint64_t observers_ended;
  uint64_t pings;
  unsigned highest_concurrency;
};

struct server;

struct server *server_new (uv_loop_t *loop,
                           const struct server_settings *settings);
/** @return 0 or a libuv error.  */
int server_listen (struct server *server, struct rgy_endpoint listen);

/* Switches.  */
/** Grow the board's version by one, or to @p version when it is not 0 and
    higher, and notify all observers.  */
void server_bump (struct server *server, uint64_t version);
void server_set_cold (struct server *server);
/** A silent server drops every datagram.  */
void server_set_silent (struct server *server, bool silent);
void server_set_shed (struct server *server, bool shed);

/* Readings.  */
const struct server_stats *server_get_stats (const struct server *server);
/** Executions by record ID: char * to unsigned.  */
GHashTable *server_get_records (struct server *server);
uint64_t server_get_version (const struct server *server);
bool server_is_cold (const struct server *server);
unsigned server_get_running (const struct server *server);
unsigned server_get_observers (const struct server *server);

/* Between the files of the server.  */

struct board;

struct board *board_new (struct server *server);
/** Build the answer to a registration, or to a plain GET.  */
GByteArray *board_answer (struct board *board, struct rgy_endpoint from,
                          const struct rgy_coap_view *request,
                          const struct rgy_coap_header *header);
void board_remove (struct board *board, struct rgy_endpoint from,
                   struct rgy_bytes token);
/** A Reset that may belong to a notification.  */
void board_note_reset (struct board *board, struct rgy_endpoint from,
                       uint16_t message_id);
/** A confirmable notification was never acknowledged.  */
void board_note_lost (struct board *board, struct rgy_endpoint from,
                      uint16_t message_id);
void board_bump (struct board *board, uint64_t version);
uint64_t board_get_version (const struct board *board);
unsigned board_get_observers (const struct board *board);

const struct server_settings *
server_get_settings (const struct server *server);
struct server_stats *server_get_mutable_stats (struct server *server);
uint16_t server_next_message_id (struct server *server);
void server_send (struct server *server, struct rgy_endpoint to,
                  const GByteArray *datagram);
/** Send a confirmable message and retransmit it until it is acknowledged;
    takes ownership.  */
void server_send_confirmable (struct server *server, struct rgy_endpoint to,
                              uint16_t message_id, GByteArray *datagram);

/** HTTP control port.  @return 0 or -1.  */
int control_start (uv_loop_t *loop, struct server *server,
                   struct rgy_endpoint listen);

#endif
