#ifndef RAGWORTYOKE_STREAM_MANIFEST_H
#define RAGWORTYOKE_STREAM_MANIFEST_H

/**
 * @file
 * Routes of sequenced flows: the services among which the new flows to an
 * address are split.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/outcome.h"
#include "ragwortyoke/str.h"

/** Maximum number of services in one route.  */
#define RGY_ROUTE_MAX_TARGETS 8

struct rgy_route_target
{
  struct rgy_name service;
  uint32_t tag;    /**< rgy_service_tag() of @c service; set when the route is
                        added.  */
  uint32_t weight; /**< Share of new flows; a service with 0 gets none.  */
};

/** Priority of a route that states none: below all stated ones.  */
#define RGY_PRIORITY_UNSTATED 255

/** Requests that a route carries, as the manifest states them.  */
struct rgy_request_terms
{
  uint8_t priority; /**< 0 is the most urgent; RGY_PRIORITY_UNSTATED if none is
                         stated.  */
  bool repeatable;  /**< The caller may send a request again that may have
                         run.  */
  int64_t goal_us;  /**< Time within which requests should be answered; 0 if
                         none is stated.  */
  int64_t limit_us; /**< Time after which the caller no longer waits for an
                         answer; 0 if none is stated.  */
};

struct rgy_route
{
  struct rgy_endpoint address; /**< Address to which callers send.  */
  struct rgy_request_terms terms;
  size_t n_targets;
  struct rgy_route_target targets[RGY_ROUTE_MAX_TARGETS];
};

struct rgy_stream_service
{
  struct rgy_name name;
  uint32_t cold_rate_milli; /**< New flows a second that a backend server
                                 accepts during its warm-up, in
                                 thousandths.  */
};

struct rgy_stream_manifest;

struct rgy_stream_manifest *rgy_stream_manifest_new (uint64_t version);
void rgy_stream_manifest_delete (struct rgy_stream_manifest *manifest);

/**
 * Add a copy of a route.
 *
 * @return RGY_OK; RGY_ERR_CONFLICT if the address already has a route;
 *         RGY_ERR_INVALID if no target has a weight.
 */
enum rgy_outcome
rgy_stream_manifest_add_route (struct rgy_stream_manifest *manifest,
                               const struct rgy_route *route);
void
rgy_stream_manifest_add_service (struct rgy_stream_manifest *manifest,
                                 const struct rgy_stream_service *service);

uint64_t
rgy_stream_manifest_get_version (const struct rgy_stream_manifest *manifest);

/** Attach a copy of the text from which the manifest was decoded.  */
void rgy_stream_manifest_set_text (struct rgy_stream_manifest *manifest,
                                   struct rgy_str text);
/** @return the text, owned by the manifest; empty if none was attached.  */
struct rgy_str
rgy_stream_manifest_get_text (const struct rgy_stream_manifest *manifest);

/** @return the route of an address, owned by the manifest, or NULL.  */
const struct rgy_route *
rgy_stream_manifest_find (const struct rgy_stream_manifest *manifest,
                          struct rgy_endpoint address);

/** New flows a second that a backend server of a service accepts during its
    warm-up, in thousandths; 0 if the service is not listed.  */
uint32_t
rgy_stream_manifest_get_cold_rate (const struct rgy_stream_manifest *manifest,
                                   const struct rgy_name *service);

/** Set the time in milliseconds after which idle flows may be lost; 0, the
    default, means that no time is stated.  */
void
rgy_stream_manifest_set_idle_timeout (struct rgy_stream_manifest *manifest,
                                      uint32_t ms);
uint32_t rgy_stream_manifest_get_idle_timeout (
    const struct rgy_stream_manifest *manifest);

/** Index of the target that a new flow with this hash is placed on.  */
size_t rgy_route_choose (const struct rgy_route *route, uint64_t flow_hash);

#endif
