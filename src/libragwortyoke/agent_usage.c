#include "private/agent_private.h"

/* Usage of the contracts at this agent and its exchange with the peers.  */

#define NEW_FLOW_BURST_MS 1000

void
rgy_agent_usage_free (void *data)
{
  struct rgy_customer_usage *usage = data;

  rgy_count_limit_delete (usage->flows);
  rgy_rate_limit_delete (usage->new_flows);
  rgy_count_limit_delete (usage->requests);
  g_free (usage);
}

static const struct rgy_contract_service *
find_service_ (const struct rgy_agent *a, const struct rgy_name *customer)
{
  const struct rgy_contract *contract
      = rgy_contract_set_get (a->bb->contracts, customer);
  size_t i;

  if (contract == NULL)
    return NULL;
  for (i = 0; i < contract->service_count; i++)
    if (rgy_endpoint_equal (contract->services[i].address,
                            a->settings.service))
      return &contract->services[i];
  return NULL;
}

static void
set_limit_instances_ (struct rgy_agent *a, struct rgy_customer_usage *usage)
{
  rgy_count_limit_set_instances (usage->flows, a->peer_names, a->peer_count);
  rgy_rate_limit_set_instances (usage->new_flows, a->peer_names,
                                a->peer_count);
  rgy_count_limit_set_instances (usage->requests, a->peer_names,
                                 a->peer_count);
}

struct rgy_customer_usage *
rgy_agent_get_usage (struct rgy_agent *a, const struct rgy_name *customer)
{
  struct rgy_customer_usage *usage = g_hash_table_lookup (a->usage, customer);
  const struct rgy_contract_service *service = find_service_ (a, customer);
  struct rgy_service_limits limits = { 0 };

  if (service != NULL)
    limits = service->limits;
  if (usage == NULL)
    {
      usage = g_new0 (struct rgy_customer_usage, 1);
      usage->flows = rgy_count_limit_new (limits.open_flows);
      usage->new_flows = rgy_rate_limit_new (limits.new_flows_per_second,
                                             NEW_FLOW_BURST_MS);
      usage->requests = rgy_count_limit_new (limits.requests_in_flight);
      g_hash_table_insert (a->usage, g_memdup2 (customer, sizeof *customer),
                           usage);
      set_limit_instances_ (a, usage);
    }
  rgy_count_limit_set_limit (usage->flows, limits.open_flows);
  rgy_rate_limit_set_rate (usage->new_flows, limits.new_flows_per_second);
  rgy_count_limit_set_limit (usage->requests, limits.requests_in_flight);
  return usage;
}

static const struct rgy_usage *
find_usage_ (const struct rgy_peer_state_message *m,
             const struct rgy_name *customer)
{
  size_t i;

  for (i = 0; i < m->usage_count; i++)
    if (rgy_name_equal (&m->usage[i].customer, customer))
      return &m->usage[i];
  return NULL;
}

/* A peer without traffic of a customer leaves the customer out of a report
   that is not full; its demand is then 0.  */
static void
clear_missing_demand_ (struct rgy_agent *a,
                       const struct rgy_peer_state_message *m)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (m->usage_count == RGY_WIRE_MAX_USAGE)
    return;
  g_hash_table_iter_init (&iter, a->usage);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (find_usage_ (m, key) == NULL)
      rgy_rate_limit_record_demand (
          ((struct rgy_customer_usage *)value)->new_flows, &m->from, 0,
          a->now_us);
}

void
rgy_agent_note_peer_usage (struct rgy_agent *a,
                           const struct rgy_peer_state_message *m)
{
  size_t i;

  for (i = 0; i < m->usage_count; i++)
    {
      const struct rgy_usage *reported = &m->usage[i];
      struct rgy_customer_usage *usage
          = rgy_agent_get_usage (a, &reported->customer);

      rgy_count_limit_record_claim (usage->flows, &m->from,
                                    reported->open_flows, a->now_us);
      rgy_rate_limit_record_demand (usage->new_flows, &m->from,
                                    reported->new_flows_per_s, a->now_us);
      rgy_count_limit_record_claim (usage->requests, &m->from,
                                    reported->requests, a->now_us);
    }
  clear_missing_demand_ (a, m);
}

size_t
rgy_agent_fill_usage (struct rgy_agent *a, struct rgy_usage *out)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  size_t n = 0;

  g_hash_table_iter_init (&iter, a->usage);
  while (n < RGY_WIRE_MAX_USAGE
         && g_hash_table_iter_next (&iter, &key, &value))
    {
      struct rgy_customer_usage *usage = value;

      out[n++] = (struct rgy_usage){
        .customer = *(struct rgy_name *)key,
        .open_flows = rgy_count_limit_publish_claim (usage->flows, a->now_us),
        .new_flows_per_s
        = rgy_rate_limit_publish_demand (usage->new_flows, a->now_us),
        .requests = rgy_count_limit_publish_claim (usage->requests, a->now_us),
      };
    }
  return n;
}

void
rgy_agent_update_usage_instances (struct rgy_agent *a)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, a->usage);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    set_limit_instances_ (a, value);
}

static void
prepare_contract_usage_ (const struct rgy_contract *contract, void *ctx)
{
  struct rgy_agent *a = ctx;

  if (find_service_ (a, &contract->customer) != NULL)
    rgy_agent_get_usage (a, &contract->customer);
}

/* Creates the limits of a contract before its first flow, because reservations
   take seconds to grow.  */
void
rgy_agent_prepare_usage (struct rgy_agent *a)
{
  rgy_contract_set_foreach (a->bb->contracts, prepare_contract_usage_, a);
}
