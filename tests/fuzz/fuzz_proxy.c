#include <string.h>

#include "fuzz.h"
#include "ragwortyoke/proxy.h"

/* Fuzz target of the parser of the proxy header on fabric datagrams.  */

void
fuzz_add_seeds (GPtrArray *seeds)
{
  /* The last seed has a TLV of 3 bytes behind the addresses.  */
  uint8_t datagram[RGY_PROXY_HEADER_BYTES + 3] = { 0 };

  rgy_proxy_write (datagram, (struct rgy_endpoint){ .ip = 1, .port = 2 },
                   (struct rgy_endpoint){ .ip = 3, .port = 4 });
  fuzz_add_seed (seeds, datagram, RGY_PROXY_HEADER_BYTES);
  fuzz_add_seed (seeds, datagram, sizeof datagram);
  datagram[15] = 15;
  datagram[RGY_PROXY_HEADER_BYTES] = 4;
  fuzz_add_seed (seeds, datagram, sizeof datagram);
}

/* The payload must lie within the datagram, and the addresses of a header that
   the parser accepts must stay the same when they are written and parsed
   again.  */
void
fuzz_run_input (struct rgy_bytes input)
{
  uint8_t header[RGY_PROXY_HEADER_BYTES];
  struct rgy_endpoint source;
  struct rgy_endpoint destination;
  struct rgy_endpoint source_again;
  struct rgy_endpoint destination_again;
  struct rgy_bytes payload;

  if (rgy_proxy_parse (input, &source, &destination, &payload) != RGY_OK)
    return;
  g_assert (fuzz_is_within (payload, input));
  g_assert (payload.len + RGY_PROXY_HEADER_BYTES <= input.len);
  rgy_proxy_write (header, source, destination);
  g_assert (rgy_proxy_parse (
                (struct rgy_bytes){ .data = header, .len = sizeof header },
                &source_again, &destination_again, &payload)
            == RGY_OK);
  g_assert (rgy_endpoint_equal (source, source_again));
  g_assert (rgy_endpoint_equal (destination, destination_again));
  g_assert (payload.len == 0);
}
