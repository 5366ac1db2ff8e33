#ifndef FIXTURE_H
#define FIXTURE_H

/**
 * @file
 * A client and the key-value stand-in on one libuv loop.
 */

#include <glib.h>

#include "kv_server.h"
#include "ragwortyoke-io/store_client.h"

struct fixture
{
  uv_loop_t loop;
  struct kv_server *server;
  uv_poll_t poll;
  uv_timer_t timer;
  uv_timer_t guard;
  struct rgy_store_client *client;
  GPtrArray *events; /**< Texts "put KEY VALUE" and "delete KEY".  */
  GString *states;   /**< Names, each followed by a blank.  */
  unsigned synced;
  uint64_t synced_revision;
  void (*on_synced) (struct fixture *fixture); /**< Hook of a test.  */
  unsigned swaps;
  enum rgy_outcome swap_outcome;
};

struct fixture *fixture_new (void);
/** @param endpoints  NULL for the stand-in.  */
void fixture_start (struct fixture *fixture, const char *endpoints);
void fixture_delete (struct fixture *fixture);

/** Run the loop until @p done holds.  Fails the test after a time that no
    working client needs.  */
void fixture_run (struct fixture *fixture,
                  bool (*done) (const struct fixture *fixture));

void fixture_put (struct fixture *fixture, const char *key, const char *value);
void fixture_remove (struct fixture *fixture, const char *key);
/** Value of a key, or NULL; free with g_free().  */
char *fixture_get (struct fixture *fixture, const char *key);
void fixture_set_faults (struct fixture *fixture, const char *json);
bool fixture_has_event (const struct fixture *fixture, const char *text);
void fixture_swap (struct fixture *fixture, const char *key, const char *value,
                   uint64_t expected);

#endif
