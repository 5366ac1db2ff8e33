#include "private/stream_balancer_private.h"

void
rgy_stream_balancer_answer_terms_query_ (struct rgy_stream_balancer *b,
                                         struct rgy_bytes routes, uint32_t ip)
{
  uint8_t answers[RGY_STREAM_MAX_TERMS * RGY_ROUTE_TERMS_BYTES];
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_TERMS, .u.terms.routes = { .data = answers } };
  size_t i;

  if (rgy_stream_balancer_find_agent_ (b, ip) == NULL)
    {
      ++*b->n_unknown_agents;
      return;
    }
  /* Without an answer the agent queries another balancer.  */
  if (b->manifest == NULL)
    return;
  message.u.terms.manifest_version
      = rgy_stream_manifest_get_version (b->manifest);
  for (i = 0; i < routes.len; i += RGY_ROUTE_ADDRESS_BYTES)
    {
      struct rgy_endpoint address = rgy_route_address_decode (routes.data + i);
      const struct rgy_route *route
          = rgy_stream_manifest_find (b->manifest, address);

      rgy_route_terms_encode (address, route == NULL ? NULL : &route->terms,
                              answers + message.u.terms.routes.len);
      message.u.terms.routes.len += RGY_ROUTE_TERMS_BYTES;
    }
  rgy_stream_balancer_send_message_ (b, ip, &message);
}
