#include <string.h>

#include "fuzz.h"
#include "ragwortyoke/contract.h"

/* Fuzz target of the contract parser.  */

void
fuzz_add_seeds (GPtrArray *seeds)
{
  fuzz_add_seed_text (
      seeds,
      "{\"customer\": \"rodaforte\", \"callers\": [\"127.0.0.0/8\"],"
      " \"limits\": {\"bytes_per_second\": 1000000},"
      " \"services\": [{\"name\": \"workshop\","
      " \"address\": \"127.0.10.1:5683\", \"protocol\": \"coap\","
      " \"failure_domains\": [\"poa-a\", \"poa-b\"],"
      " \"limits\": {\"open_flows\": 1000, \"new_flows_per_second\": 50,"
      " \"requests_in_flight\": 28}}], \"write_id\": \"0123456789abcdef\"}");
  fuzz_add_seed_text (
      seeds, "{\"customer\":\"hollenbeck\",\"callers\":[\"10.0.0.0/8\","
             "\"127.2.0.0/16\",\"0.0.0.0/0\",\"1.2.3.4/32\"],\"services\":["
             "{\"name\":\"catalog-desk\",\"address\":\"127.0.20.1:5683\","
             "\"protocol\":\"udp\"},{\"name\":\"guide-room\","
             "\"address\":\"127.0.20.2:5683\",\"protocol\":\"coap\"}]}");
}

/* Checks that a contract set finds each service of the contract for a caller
   in the contract's first prefix, and passes the contract to the set, which
   frees it.  */
static void
check_contract_ (struct rgy_contract *contract)
{
  struct rgy_contract_set *set = rgy_contract_set_new ();
  const struct rgy_contract *found;
  const struct rgy_contract_service *service;
  uint32_t ip;
  size_t i;

  g_assert (contract->service_count > 0 && contract->prefix_count > 0);
  g_assert (rgy_contract_set_put (set, contract) == RGY_OK);
  for (i = 0; i < contract->service_count; i++)
    {
      ip = contract->prefixes[0].ip;
      g_assert (rgy_contract_set_match (set, ip, contract->services[i].address,
                                        &found, &service)
                == RGY_OK);
      g_assert (found == contract && service == &contract->services[i]);
    }
  rgy_contract_set_delete (set);
}

/* A contract that the parser accepts must be found by its addresses; for
   rejected input the parser must give a reason.  */
void
fuzz_run_input (struct rgy_bytes input)
{
  struct rgy_check_error error;
  struct rgy_contract *contract;

  memset (error.text, 'x', sizeof error.text);
  contract = rgy_contract_parse (
      (struct rgy_str){ .data = (const char *)input.data, .len = input.len },
      &error);
  if (contract != NULL)
    {
      check_contract_ (contract);
      return;
    }
  g_assert (memchr (error.text, '\0', sizeof error.text) != NULL);
  g_assert (error.text[0] != '\0');
}
