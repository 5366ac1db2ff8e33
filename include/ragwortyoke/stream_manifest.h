#ifndef RAGWORTYOKE_STREAM_MANIFEST_H
#define RAGWORTYOKE_STREAM_MANIFEST_H

/**
 * @file
 * Routes of sequenced flows: which services may take the flows to an address.
 */

#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/address.h"
#include "ragwortyoke/outcome.h"
#include "ragwortyoke/str.h"

/** Most services that one route may be split over.  */
#define RGY_ROUTE_MAX_TARGETS 8

struct rgy_route_target
{
  struct rgy_name service;
  uint32_t tag;    /**< rgy_service_tag() of @c service; set on adding.  */
  uint32_t weight; /**< Share of new flows; 0 takes none.  */
};

struct rgy_route
{
  struct rgy_endpoint address; /**< Where callers send to.  */
  size_t n_targets;
  struct rgy_route_target targets[RGY_ROUTE_MAX_TARGETS];
};

struct rgy_stream_service
{
  struct rgy_name name;
  uint32_t cold_rate_milli; /**< New flows a second that a cold backend server
                                 bears, in thousandths.  */
};

struct rgy_stream_manifest;

struct rgy_stream_manifest *rgy_stream_manifest_new (uint64_t version);
void rgy_stream_manifest_delete (struct rgy_stream_manifest *manifest);

/** @return RGY_OK; RGY_ERR_CONFLICT when the address has a route already;
            RGY_ERR_INVALID when no target has a weight.  */
enum rgy_outcome
rgy_stream_manifest_add_route (struct rgy_stream_manifest *manifest,
                               const struct rgy_route *route);
void
rgy_stream_manifest_add_service (struct rgy_stream_manifest *manifest,
                                 const struct rgy_stream_service *service);

uint64_t
rgy_stream_manifest_get_version (const struct rgy_stream_manifest *manifest);

/** @return the route, or NULL.  */
const struct rgy_route *
rgy_stream_manifest_find (const struct rgy_stream_manifest *manifest,
                          struct rgy_endpoint address);

/** Cold rate of a service; 0 when it is not listed.  */
uint32_t
rgy_stream_manifest_get_cold_rate (const struct rgy_stream_manifest *manifest,
                                   const struct rgy_name *service);

/** Time after which idle flows may be lost; 0 (the default): not stated.  */
void
rgy_stream_manifest_set_idle_timeout (struct rgy_stream_manifest *manifest,
                                      uint32_t ms);
uint32_t rgy_stream_manifest_get_idle_timeout (
    const struct rgy_stream_manifest *manifest);

/** Index of the target that a new flow belongs to, by its hash.  */
size_t rgy_route_choose (const struct rgy_route *route, uint64_t flow_hash);

#endif
