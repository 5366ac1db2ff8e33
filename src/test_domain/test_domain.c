#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/domain.h"

static struct rgy_domain_order
make_order_ (const char *domain, bool out, uint64_t number, uint64_t id)
{
  return (struct rgy_domain_order){ .domain = rgy_name_from_c (domain),
                                    .out = out,
                                    .number = number,
                                    .id = id,
                                    .operator_name = rgy_name_from_c ("ana"),
                                    .issued_s = 1700000000 };
}

/* Orders reach processes in any order and more than once.  Guards against
   processes that end with different orders in effect.  */
static void
merge_is_independent_of_order_ (void **state)
{
  const struct rgy_domain_order orders[] = {
    make_order_ ("poa-a", true, 1, 7), make_order_ ("poa-a", false, 2, 3),
    make_order_ ("poa-a", true, 2, 9), make_order_ ("poa-a", false, 1, 8)
  };
  static const int sequences[][6]
      = { { 0, 1, 2, 3, 0, 1 }, { 3, 2, 1, 0, 2, 2 }, { 2, 0, 3, 1, 1, 0 } };
  struct rgy_name name = rgy_name_from_c ("poa-a");
  struct rgy_domain_set *set;
  size_t s;
  size_t i;

  (void)state;
  for (s = 0; s < G_N_ELEMENTS (sequences); s++)
    {
      set = rgy_domain_set_new ();
      for (i = 0; i < G_N_ELEMENTS (sequences[s]); i++)
        rgy_domain_set_apply (set, &orders[sequences[s][i]]);
      assert_true (rgy_domain_set_is_out (set, &name));
      assert_int_equal (rgy_domain_set_get (set, &name)->id, 9);
      rgy_domain_set_delete (set);
    }
}

/* Guards against a repeated order that counts as a new one, because it would
   spread for ever.  */
static void
apply_reports_repeats_as_stale_ (void **state)
{
  struct rgy_domain_set *set = rgy_domain_set_new ();
  struct rgy_domain_order order = make_order_ ("poa-a", true, 4, 1);

  (void)state;
  assert_int_equal (rgy_domain_set_apply (set, &order), RGY_OK);
  assert_int_equal (rgy_domain_set_apply (set, &order), RGY_ERR_STALE);
  order.number = 3;
  assert_int_equal (rgy_domain_set_apply (set, &order), RGY_ERR_STALE);
  rgy_domain_set_delete (set);
}

/* Guards against a failure domain that carries no traffic although no operator
   has taken it out of service.  */
static void
domain_without_order_is_in_service_ (void **state)
{
  struct rgy_domain_set *set = rgy_domain_set_new ();
  struct rgy_name name = rgy_name_from_c ("erie-shore");

  (void)state;
  assert_false (rgy_domain_set_is_out (set, &name));
  assert_null (rgy_domain_set_get (set, &name));
  rgy_domain_set_delete (set);
}

/* Orders pass through the store and through HTTP.  Guards against
   a field changed on the way, because processes would then
   resolve conflicts differently.  */
static void
json_round_trip_keeps_every_field_ (void **state)
{
  struct rgy_domain_order order
      = make_order_ ("huron-dock", true, 12, UINT64_C (0xfedcba9876543210));
  struct rgy_domain_order copy = { 0 };
  struct rgy_check_error error = { "" };
  char *text = rgy_domain_order_format (&order);

  (void)state;
  assert_string_equal (text,
                       "{\"domain\":\"huron-dock\",\"out\":true,\"number\":12,"
                       "\"id\":\"fedcba9876543210\",\"operator\":\"ana\","
                       "\"issued\":1700000000}");
  assert_int_equal (
      rgy_domain_order_parse (rgy_str_from_c (text), &copy, &error), RGY_OK);
  assert_true (rgy_name_equal (&copy.domain, &order.domain));
  assert_true (copy.out);
  assert_int_equal (copy.number, order.number);
  assert_true (copy.id == order.id);
  assert_true (rgy_name_equal (&copy.operator_name, &order.operator_name));
  assert_int_equal (copy.issued_s, order.issued_s);
  g_free (text);
}

/* Guards against acceptance of a malformed order, an error message without the
   path of the field, and a changed output.  */
static void
parse_errors_name_path_and_allowed_values_ (void **state)
{
  static const struct
  {
    const char *text;
    const char *message;
  } cases[] = {
    { "{\"domain\":\"a\",\"out\":1,\"number\":1,\"id\":\"0000000000000001\","
      "\"operator\":\"o\",\"issued\":1}",
      "out: must be true or false" },
    { "{\"domain\":\"a\",\"out\":true,\"number\":0,"
      "\"id\":\"0000000000000001\",\"operator\":\"o\",\"issued\":1}",
      "number: must be an integer from 1 to 9007199254740991" },
    { "{\"domain\":\"a\",\"out\":true,\"number\":1,\"id\":\"1\","
      "\"operator\":\"o\",\"issued\":1}",
      "id: must be a string of 16 hexadecimal digits" },
    { "{\"domain\":\"a\",\"out\":true,\"number\":1,"
      "\"id\":\"000000000000000x\",\"operator\":\"o\",\"issued\":1}",
      "id: must be a string of 16 hexadecimal digits" },
    { "{\"domain\":\"a\",\"out\":true,\"number\":1,"
      "\"id\":\"0000000000000001\",\"operator\":\"o\",\"issued\":-1}",
      "issued: must be an integer from 0 to 9007199254740991" },
    { "{\"out\":true,\"number\":1,\"id\":\"0000000000000001\","
      "\"operator\":\"o\",\"issued\":1}",
      "domain: is missing, must be a string of 1 to 62 characters a-z, A-Z, "
      "0-9, '-', '_' and '.'" },
    { "{\"domain\":\"a\",\"in\":true}",
      "in: unknown member, allowed are domain, out, number, id, operator, "
      "issued" },
    { "[]", "(top level): must be an object" },
  };
  struct rgy_domain_order order = { .number = 77 };
  struct rgy_check_error error;
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      assert_int_equal (rgy_domain_order_parse (rgy_str_from_c (cases[i].text),
                                                &order, &error),
                        RGY_ERR_INVALID);
      assert_string_equal (error.text, cases[i].message);
      assert_int_equal (order.number, 77);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (merge_is_independent_of_order_),
    cmocka_unit_test (apply_reports_repeats_as_stale_),
    cmocka_unit_test (domain_without_order_is_in_service_),
    cmocka_unit_test (json_round_trip_keeps_every_field_),
    cmocka_unit_test (parse_errors_name_path_and_allowed_values_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
