#ifndef KV_WATCH_H
#define KV_WATCH_H

/**
 * @file
 * Watches of the key-value stand-in: a chunked answer with one JSON object a
 * line.
 */

#include <microhttpd.h>

#include "kv_api.h"

struct kv_watch
{
  struct MHD_Connection *connection;
  struct kv_interval interval;
  uint64_t next_revision; /**< Events below it were sent.  */
  GString *pending;
  bool suspended;
  bool silent; /**< For good: new watches work again once the switch is
                  off.  */
  bool ended;
};

/** @return NULL when the request has no create_request with a key.  */
struct kv_watch *kv_watch_new (const struct kv_store *store,
                               const json_t *body, bool silent,
                               struct MHD_Connection *connection);
void kv_watch_delete (struct kv_watch *watch);

/** Response that streams the watch.  */
struct MHD_Response *kv_watch_get_response (struct kv_watch *watch);

/** Queue the events that were not sent yet, notice a caller that closed the
    connection, and resume the connection when there is something to do.  */
void kv_watch_update (struct kv_watch *watch, const struct kv_store *store);
void kv_watch_resume (struct kv_watch *watch);

#endif
