#include <string.h>

#include "fuzz.h"
#include "ragwortyoke/domain.h"

/* Fuzz target of the parser of failure domain orders.  */

void
fuzz_add_seeds (GPtrArray *seeds)
{
  struct rgy_domain_order order = { .domain = rgy_name_from_c ("poa-a"),
                                    .out = true,
                                    .number = 7,
                                    .id = UINT64_C (0x0123456789abcdef),
                                    .operator_name = rgy_name_from_c ("ana"),
                                    .issued_s = 1700000000 };
  char *text = rgy_domain_order_format (&order);

  fuzz_add_seed_text (seeds, text);
  g_free (text);
  order.out = false;
  order.number = 1;
  order.id = 0;
  text = rgy_domain_order_format (&order);
  fuzz_add_seed_text (seeds, text);
  g_free (text);
}

/* An order that the parser accepts must stay the same when it is formatted and
   parsed again, because the balancers that watch the store copy orders into
   it.  For rejected input the parser must give a reason.  */
void
fuzz_run_input (struct rgy_bytes input)
{
  struct rgy_check_error error;
  struct rgy_domain_order order;
  struct rgy_domain_order again;
  char *text;

  memset (error.text, 'x', sizeof error.text);
  if (rgy_domain_order_parse (
          (struct rgy_str){ .data = (const char *)input.data,
                            .len = input.len },
          &order, &error)
      != RGY_OK)
    {
      g_assert (memchr (error.text, '\0', sizeof error.text) != NULL);
      g_assert (error.text[0] != '\0');
      return;
    }
  text = rgy_domain_order_format (&order);
  g_assert (rgy_domain_order_parse (rgy_str_from_c (text), &again, &error)
            == RGY_OK);
  g_assert (rgy_name_equal (&order.domain, &again.domain));
  g_assert (order.out == again.out && order.number == again.number
            && order.id == again.id && order.issued_s == again.issued_s);
  g_assert (rgy_name_equal (&order.operator_name, &again.operator_name));
  g_free (text);
}
