#ifndef FIXTURE_H
#define FIXTURE_H

/**
 * @file
 * A client and the stand-in for the key-value service on one libuv loop.
 */

#include <glib.h>

#include "kv_server.h"
#include "ragwortyoke-io/store_client.h"

/** Stand-in, client and what the callbacks of the client have received.  */
struct fixture
{
  uv_loop_t loop;
  struct kv_server *server;
  uv_poll_t poll;
  uv_timer_t timer;
  uv_timer_t hang_timer;
  struct rgy_store_client *client;
  GPtrArray *events; /**< Texts "put KEY VALUE" and "delete KEY".  */
  GString *states;   /**< Names of the reported states,
                         each followed by a blank.  */
  unsigned sync_count;
  uint64_t synced_revision;
  void (*on_synced) (struct fixture *fixture); /**< Called after each
                                                    read if a test has
                                                    set it.  */
  unsigned swaps_done;
  enum rgy_outcome swap_outcome;
};

struct fixture *fixture_new (void);
/** Create the client.
    @param endpoints  endpoint list; NULL for the stand-in.  */
void fixture_start (struct fixture *fixture, const char *endpoints);
void fixture_delete (struct fixture *fixture);

/** Run the loop until @p done returns true.  Fails the test after a time that
    no working client needs.  */
void fixture_run (struct fixture *fixture,
                  bool (*done) (const struct fixture *fixture));

/** Write or delete a key in the stand-in.  */
void fixture_put (struct fixture *fixture, const char *key, const char *value);
void fixture_remove (struct fixture *fixture, const char *key);
/** Value of a key in the stand-in, or NULL; free with g_free().  */
char *fixture_get (struct fixture *fixture, const char *key);
/** Inject faults into the stand-in.  */
void fixture_set_faults (struct fixture *fixture, const char *json);
/** @return true when the client has reported this event.  */
bool fixture_has_event (const struct fixture *fixture, const char *text);
/** Start a compare-and-swap of the client.  */
void fixture_swap (struct fixture *fixture, const char *key, const char *value,
                   uint64_t expected);

#endif
