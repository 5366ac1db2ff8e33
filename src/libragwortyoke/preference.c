#include "ragwortyoke/placement.h"

#include <string.h>

#include "ragwortyoke/str.h"

void
rgy_preference_init (struct rgy_preference *preference, uint64_t flow_hash)
{
  preference->flow_hash = flow_hash;
  preference->preferred_domain_count = 0;
}

uint64_t
rgy_preference_rank (const struct rgy_preference *preference, uint32_t ip)
{
  return rgy_hash_bytes (
      (struct rgy_bytes){ .data = (const uint8_t *)&ip, .len = sizeof ip },
      preference->flow_hash);
}

static size_t
find_domain_ (const struct rgy_preference *preference, uint64_t domain)
{
  size_t i;

  for (i = 0; i < preference->preferred_domain_count; i++)
    if (preference->domains[i].domain == domain)
      break;
  return i;
}

void
rgy_preference_add (struct rgy_preference *preference, uint64_t domain,
                    uint32_t ip)
{
  uint64_t rank = rgy_preference_rank (preference, ip);
  size_t d = find_domain_ (preference, domain);
  size_t at;

  if (d == RGY_PREFERENCE_DOMAINS)
    return;
  if (d == preference->preferred_domain_count)
    {
      preference->domains[d].domain = domain;
      preference->domains[d].n = 0;
      preference->preferred_domain_count++;
    }
  at = preference->domains[d].n;
  while (at > 0 && preference->domains[d].ranks[at - 1] > rank)
    at--;
  if (at == RGY_PREFERRED_PER_DOMAIN)
    return;
  if (preference->domains[d].n < RGY_PREFERRED_PER_DOMAIN)
    preference->domains[d].n++;
  memmove (&preference->domains[d].ranks[at + 1],
           &preference->domains[d].ranks[at],
           (preference->domains[d].n - at - 1) * sizeof rank);
  memmove (&preference->domains[d].ips[at + 1],
           &preference->domains[d].ips[at],
           (preference->domains[d].n - at - 1) * sizeof ip);
  preference->domains[d].ranks[at] = rank;
  preference->domains[d].ips[at] = ip;
}

bool
rgy_preference_has (const struct rgy_preference *preference, uint64_t domain,
                    uint32_t ip)
{
  size_t d = find_domain_ (preference, domain);
  size_t i;

  if (d == preference->preferred_domain_count)
    return false;
  for (i = 0; i < preference->domains[d].n; i++)
    if (preference->domains[d].ips[i] == ip)
      return true;
  return false;
}
