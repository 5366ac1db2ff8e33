#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/stream_manifest.h"

static struct rgy_route
make_route_ (uint16_t port, uint32_t weight_a, uint32_t weight_b)
{
  struct rgy_route route
      = { .address = { .ip = 0xc6120001, .port = port }, .n_targets = 2 };

  route.targets[0].service = rgy_name_from_c ("workshop");
  route.targets[0].weight = weight_a;
  route.targets[1].service = rgy_name_from_c ("catalogue");
  route.targets[1].weight = weight_b;
  return route;
}

/* With wrong shares, new flows would be placed on another service of the route
   than the manifest states.  */
static void
new_flows_follow_the_weights_ (void **state)
{
  struct rgy_route route = make_route_ (443, 90, 10);
  unsigned second = 0;
  uint64_t hash;

  (void)state;
  for (hash = 0; hash < 10000; hash++)
    second += rgy_route_choose (&route, hash * 7919) == 1;
  assert_in_range (second, 900, 1100);
  route = make_route_ (443, 0, 1);
  for (hash = 0; hash < 100; hash++)
    assert_int_equal (rgy_route_choose (&route, hash), 1);
}

/* A second route to an address would replace the first one, and a route
   without a weight has no target for its flows.  */
static void
invalid_routes_are_rejected_ (void **state)
{
  struct rgy_stream_manifest *manifest = rgy_stream_manifest_new (7);
  struct rgy_route valid = make_route_ (443, 1, 0);
  struct rgy_route without_weight = make_route_ (444, 0, 0);

  (void)state;
  assert_int_equal (rgy_stream_manifest_add_route (manifest, &valid), RGY_OK);
  assert_int_equal (rgy_stream_manifest_add_route (manifest, &valid),
                    RGY_ERR_CONFLICT);
  assert_int_equal (rgy_stream_manifest_add_route (manifest, &without_weight),
                    RGY_ERR_INVALID);
  assert_non_null (rgy_stream_manifest_find (manifest, valid.address));
  assert_null (rgy_stream_manifest_find (manifest, without_weight.address));
  assert_int_equal (rgy_stream_manifest_get_version (manifest), 7);
  rgy_stream_manifest_delete (manifest);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (new_flows_follow_the_weights_),
    cmocka_unit_test (invalid_routes_are_rejected_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
