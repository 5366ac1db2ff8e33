#ifndef RAGWORTYOKED_DAEMON_H
#define RAGWORTYOKED_DAEMON_H

/**
 * @file
 * Functions and state that both roles of the daemon share.
 */

#include <uv.h>

#include "ragwortyoke-io/http.h"
#include "ragwortyoke-io/rejection.h"
#include "ragwortyoke-io/settings.h"
#include "ragwortyoke-io/store_client.h"
#include "ragwortyoke-io/sync.h"
#include "ragwortyoke-io/udp.h"
#include "ragwortyoke/action.h"
#include "ragwortyoke/clock.h"
#include "ragwortyoke/counter.h"

#define RGY_TICK_INTERVAL_MS 50
#define RGY_SYNC_TIMEOUT_MS 2000
#define RGY_AGENT_LEASE_S 3600

struct rgy_daemon
{
  const struct rgy_settings *settings;
  uv_loop_t loop;
  uv_timer_t timer;
  uv_signal_t sigterm;
  uv_signal_t sigint;
  struct rgy_clock clock;
  struct rgy_counters *counters;
  struct rgy_rejections *rejections;
  uint64_t *send_failed;
  uint64_t *store_calls;
  uint64_t *store_up;
  struct rgy_actions *actions;
  struct rgy_udp *internal;
  struct rgy_http *http;
  struct rgy_store_client *store;
  struct rgy_sync_client *sync_client;
  bool exiting;
};

/** Incarnation of the process: the time of its start in microseconds since
    1970, so that it is larger at every start.  */
uint64_t rgy_daemon_make_epoch (void);
uint64_t rgy_daemon_make_seed (void);

/** Set up the event loop, clock, counters, signals and timer.  The data of the
    handles passed to @p on_tick and @p on_signal is the daemon.  */
void rgy_daemon_init (struct rgy_daemon *daemon,
                      const struct rgy_settings *settings, uv_timer_cb on_tick,
                      uv_signal_cb on_signal);
/** Run the event loop until rgy_daemon_exit() is called.  */
void rgy_daemon_run (struct rgy_daemon *daemon);
/** Close the resources that rgy_daemon_init() and the role opened.  */
void rgy_daemon_finish (struct rgy_daemon *daemon);
void rgy_daemon_exit (struct rgy_daemon *daemon);

int64_t rgy_daemon_now_us (struct rgy_daemon *daemon);
/** Get the failure domain of a store event for a roll-up.
    @return false for another kind of event.  */
bool rgy_daemon_get_rollup_domain (const struct rgy_store_event *event,
                                   struct rgy_name *domain);
void rgy_daemon_send (struct rgy_daemon *daemon, struct rgy_udp *udp,
                      struct rgy_endpoint to, struct rgy_bytes data);

/** Answer the HTTP requests that both roles answer in the same way: /metrics
    and /healthz.
    @return true when the request was one of them.  */
bool rgy_daemon_handle_common (struct rgy_daemon *daemon,
                               const struct rgy_http_request *request,
                               struct rgy_http_response *response);
void rgy_daemon_respond_json (struct rgy_http_response *response,
                              unsigned status, char *json);
void rgy_daemon_respond_ready (struct rgy_http_response *response, bool ready);

/** Run one role until it ends.
    @return the exit status.  */
int rgy_balancer_main (const struct rgy_settings *settings);
int rgy_agent_main (const struct rgy_settings *settings);

#endif
