#ifndef KV_WATCH_H
#define KV_WATCH_H

/**
 * @file
 * Watches of the key-value stand-in. A watch is a chunked HTTP answer with
 * one JSON object on each line.
 */

#include <microhttpd.h>

#include "kv_api.h"

/** An open watch.  */
struct kv_watch
{
  struct MHD_Connection *connection;
  struct kv_interval interval;
  uint64_t next_revision; /**< Events below this revision were queued.  */
  GString *pending;       /**< Lines that were not sent yet.  */
  bool suspended;         /**< libmicrohttpd has suspended the connection.  */
  bool events_suppressed; /**< The watch reports no event any more, even when
                             the fault switch is off again.  */
  bool ended;
};

/** Create a watch whose first line confirms it. A watch from a compacted
    revision ends at once with an error line.
    @return NULL when the request has no create_request with a key.  */
struct kv_watch *kv_watch_new (const struct kv_store *store,
                               const json_t *body, bool events_suppressed,
                               struct MHD_Connection *connection);
void kv_watch_delete (struct kv_watch *watch);

/** HTTP response that streams the lines of the watch.  */
struct MHD_Response *kv_watch_get_response (struct kv_watch *watch);

/** Queue the events that were not queued yet, end the watch when the client
    has closed the connection, and resume the connection when there are lines
    to send or the watch has ended.  */
void kv_watch_update (struct kv_watch *watch, const struct kv_store *store);
/** Resume the connection when it is suspended.  */
void kv_watch_resume (struct kv_watch *watch);

#endif
