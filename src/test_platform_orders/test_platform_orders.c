#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "store_orders.h"

static int
set_up_ (void **state)
{
  *state = rgy_platform_orders_new ();
  return 0;
}

static int
tear_down_ (void **state)
{
  rgy_platform_orders_delete (*state);
  return 0;
}

/* Applies an order of the load, or of a watch.  */
static void
put_ (struct rgy_platform_orders *orders, bool is_load, const char *domain,
      uint64_t revision)
{
  struct rgy_platform_store_entry entry
      = { .revision = revision, .created = revision };
  struct rgy_name name = rgy_name_from_c (domain);

  rgy_platform_orders_apply (orders, is_load, &name, &entry, false);
}

static void
remove_ (struct rgy_platform_orders *orders, const char *domain)
{
  struct rgy_platform_store_entry entry = { .removed = true, .revision = 99 };
  struct rgy_name name = rgy_name_from_c (domain);

  rgy_platform_orders_apply (orders, false, &name, &entry, false);
}

static void
load_ (struct rgy_platform_orders *orders, uint32_t epoch, const char *domain,
       uint64_t revision)
{
  rgy_platform_orders_begin_load (orders);
  if (domain != NULL)
    put_ (orders, true, domain, revision);
  rgy_platform_orders_end_load (orders, epoch);
}

static size_t
count_ (const struct rgy_platform_orders *orders)
{
  struct rgy_domain_view view = { 0 };

  assert_true (rgy_platform_orders_list (orders, &view));
  return view.n_out;
}

/* An order that was withdrawn, and that the store has again after its return,
   is not a new one.  */
static void
withdrawn_order_is_not_listed_again_ (void **state)
{
  load_ (*state, 1, "poa-a", 5);
  assert_int_equal (count_ (*state), 1);
  remove_ (*state, "poa-a");
  load_ (*state, 2, "poa-a", 5);
  assert_int_equal (count_ (*state), 0);
  put_ (*state, false, "poa-a", 6);
  assert_int_equal (count_ (*state), 1);
}

/* A withdrawal shows as a missing order in a load of the same epoch, but in
   one of another epoch the order may be lost.  */
static void
missing_order_is_withdrawn_only_in_the_same_epoch_ (void **state)
{
  load_ (*state, 1, "poa-a", 5);
  load_ (*state, 1, NULL, 0);
  load_ (*state, 2, "poa-a", 5);
  assert_int_equal (count_ (*state), 0);
  load_ (*state, 2, "poa-b", 7);
  load_ (*state, 3, NULL, 0);
  load_ (*state, 4, "poa-b", 7);
  assert_int_equal (count_ (*state), 1);
}

/* When the time for writing again has passed, what is stored stands.  */
static void
withdrawn_order_that_stands_is_listed_ (void **state)
{
  struct rgy_platform_store_entry entry = { .revision = 5, .created = 5 };
  struct rgy_name name = rgy_name_from_c ("poa-a");

  load_ (*state, 1, "poa-a", 5);
  remove_ (*state, "poa-a");
  rgy_platform_orders_begin_load (*state);
  rgy_platform_orders_apply (*state, true, &name, &entry, true);
  rgy_platform_orders_end_load (*state, 2);
  assert_int_equal (count_ (*state), 1);
}

/* A load that was cut short changes nothing.  */
static void
cancelled_load_changes_nothing_ (void **state)
{
  load_ (*state, 1, "poa-a", 5);
  rgy_platform_orders_begin_load (*state);
  put_ (*state, true, "poa-b", 6);
  rgy_platform_orders_cancel_load (*state);
  assert_false (rgy_platform_orders_is_loading (*state));
  assert_int_equal (count_ (*state), 1);
  load_ (*state, 1, "poa-c", 7);
  assert_int_equal (count_ (*state), 1);
}

/* The message to agents has room for a number of failure domains only.  */
static void
too_many_orders_are_told_ (void **state)
{
  struct rgy_domain_view view = { 0 };
  int i;

  load_ (*state, 1, NULL, 0);
  for (i = 0; i <= RGY_STREAM_MAX_DOMAINS; i++)
    {
      char *name = g_strdup_printf ("d%d", i);

      put_ (*state, false, name, (uint64_t)i + 1);
      g_free (name);
    }
  assert_false (rgy_platform_orders_list (*state, &view));
  assert_int_equal (view.n_out, RGY_STREAM_MAX_DOMAINS);
}

int
main (void)
{
#define WITH_ORDERS(test)                                                     \
  cmocka_unit_test_setup_teardown (test, set_up_, tear_down_)
  const struct CMUnitTest tests[] = {
    WITH_ORDERS (withdrawn_order_is_not_listed_again_),
    WITH_ORDERS (missing_order_is_withdrawn_only_in_the_same_epoch_),
    WITH_ORDERS (withdrawn_order_that_stands_is_listed_),
    WITH_ORDERS (cancelled_load_changes_nothing_),
    WITH_ORDERS (too_many_orders_are_told_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
