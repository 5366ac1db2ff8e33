#include "deployment.h"

/* Capacity of each agent and its backend server.  */
#define SLOTS 4
#define CONNECTIONS 2000
#define WORK_US (20 * H_MS)
#define JITTER_PERCENT 20
/* Virtual time for the processes to get ready, for the backend servers to warm
   up under load, and for the last requests to end.  */
#define STARTUP_US (6 * H_S)
#define WARMUP_US (20 * H_S)
#define FINISH_LOAD_US (70 * H_S)
#define BOARD_UPDATE_US H_S
#define DEFAULT_IN_FLIGHT 1000

const char *const deployment_string[]
    = { [DEPLOYMENT_SUL] = "sul", [DEPLOYMENT_GREAT_LAKES] = "great-lakes" };

/* Names and network delays of a user's deployment.  */
struct layout_
{
  const char *customer;
  const char *domains[DEPLOYMENT_DOMAINS];
  const char *desk;
  const char *guide;
  int64_t domain_delay_us;
  int64_t client_delay_us;
};

static const struct layout_ layouts_[] = {
  [DEPLOYMENT_SUL] = { .customer = "rodaforte",
                       .domains = { "poa-a", "poa-b", "cxs-c" },
                       .desk = "workshop",
                       .guide = "catalogue",
                       .domain_delay_us = 5 * H_MS,
                       .client_delay_us = 3 * H_MS },
  [DEPLOYMENT_GREAT_LAKES]
  = { .customer = "hollenbeck",
      .domains = { "toledo-bay", "erie-shore", "huron-dock" },
      .desk = "catalog-desk",
      .guide = "guide-room",
      .domain_delay_us = 4 * H_MS,
      .client_delay_us = 1 * H_MS },
};

void
deployment_get_customer (const struct deployment *d, struct rgy_name *customer)
{
  *customer = rgy_name_from_c (layouts_[d->kind].customer);
}

char *
deployment_make_contract (const struct deployment *d,
                          unsigned requests_in_flight)
{
  const struct layout_ *s = &layouts_[d->kind];
  char desk[RGY_ENDPOINT_TEXT_BYTES];
  char guide[RGY_ENDPOINT_TEXT_BYTES];

  return g_strdup_printf (
      "{\"customer\":\"%s\",\"callers\":[\"127.100.0.0/16\"],"
      "\"limits\":{\"bytes_per_second\":100000000},\"services\":["
      "{\"name\":\"%s\",\"address\":\"%s\",\"protocol\":\"coap\","
      "\"limits\":{\"open_flows\":10000,\"new_flows_per_second\":5000,"
      "\"requests_in_flight\":%u}},"
      "{\"name\":\"%s\",\"address\":\"%s\",\"protocol\":\"coap\","
      "\"limits\":{\"open_flows\":10000,\"new_flows_per_second\":5000,"
      "\"requests_in_flight\":1000}}]}",
      s->customer, s->desk, rgy_endpoint_format (d->desk, desk),
      requests_in_flight, s->guide, rgy_endpoint_format (d->guide, guide));
}

struct deployment *
deployment_new (enum deployment_kind kind,
                const struct harness_settings *settings)
{
  const struct layout_ *s = &layouts_[kind];
  struct deployment *d = g_new0 (struct deployment, 1);
  struct harness_settings hs = *settings;
  char id[64];
  char *json;
  unsigned i;

  if (hs.domain_delay_us == 0)
    hs.domain_delay_us = s->domain_delay_us;
  if (hs.client_delay_us == 0)
    hs.client_delay_us = s->client_delay_us;
  if (hs.jitter_percent == 0)
    hs.jitter_percent = JITTER_PERCENT;
  d->kind = kind;
  d->h = harness_new (&hs);
  d->desk = (struct rgy_endpoint){ .ip = 0x7f0a0001, .port = 5683 };
  d->guide = (struct rgy_endpoint){ .ip = 0x7f0a0002, .port = 5683 };
  d->callers = g_ptr_array_new ();
  for (i = 0; i < DEPLOYMENT_DOMAINS; i++)
    harness_add_domain (d->h, s->domains[i]);
  json = deployment_make_contract (d, DEFAULT_IN_FLIGHT);
  harness_put_contract (d->h, json);
  g_free (json);
  for (i = 0; i < DEPLOYMENT_DOMAINS; i++)
    {
      g_snprintf (id, sizeof id, "balancer-%u", i + 1);
      d->balancers[i] = harness_add_balancer (d->h, id, i);
    }
  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i++)
    {
      g_snprintf (id, sizeof id, "%s-%u", s->desk, i + 1);
      d->desk_agents[i]
          = harness_add_agent (d->h, id, i % DEPLOYMENT_DOMAINS, d->desk,
                               SLOTS, CONNECTIONS, WORK_US);
    }
  for (i = 0; i < DEPLOYMENT_GUIDE_HOSTS; i++)
    {
      g_snprintf (id, sizeof id, "%s-%u", s->guide, i + 1);
      d->guide_agents[i]
          = harness_add_agent (d->h, id, i % DEPLOYMENT_DOMAINS, d->guide,
                               SLOTS, CONNECTIONS, WORK_US);
    }
  harness_run (d->h, STARTUP_US);
  return d;
}

void
deployment_delete (struct deployment *d)
{
  g_ptr_array_unref (d->callers);
  harness_delete (d->h);
  g_free (d);
}

void
deployment_run (struct deployment *d, int64_t duration_us)
{
  int64_t end_us = harness_now_us (d->h) + duration_us;

  if (d->next_board_update_us == 0)
    d->next_board_update_us = harness_now_us (d->h) + BOARD_UPDATE_US;
  while (d->next_board_update_us <= end_us)
    {
      harness_run (d->h, d->next_board_update_us - harness_now_us (d->h));
      harness_update_boards (d->h, d->desk);
      d->next_board_update_us += BOARD_UPDATE_US;
    }
  harness_run (d->h, end_us - harness_now_us (d->h));
}

void
deployment_add_load (struct deployment *d, const struct deployment_load *load)
{
  unsigned i;

  for (i = 0; i < load->watches; i++)
    g_ptr_array_add (d->callers,
                     harness_add_caller (d->h, CALLER_WATCH,
                                         DEPLOYMENT_CUSTOMER_IP + i + 1,
                                         d->desk, 0));
  for (i = 0; i < load->posters; i++)
    g_ptr_array_add (d->callers,
                     harness_add_caller (d->h, CALLER_POST,
                                         DEPLOYMENT_CUSTOMER_IP + i + 1,
                                         d->desk, load->interval_us));
  for (i = 0; i < load->getters; i++)
    g_ptr_array_add (d->callers,
                     harness_add_caller (d->h, CALLER_GET,
                                         DEPLOYMENT_CUSTOMER_IP + i + 1,
                                         d->guide, load->interval_us));
  deployment_run (d, WARMUP_US);
}

void
deployment_finish_load (struct deployment *d)
{
  guint i;

  for (i = 0; i < d->callers->len; i++)
    harness_stop_caller (g_ptr_array_index (d->callers, i));
  deployment_run (d, FINISH_LOAD_US);
}

double
deployment_get_imbalance (const struct deployment *d)
{
  size_t largest = 0;
  size_t sum = 0;
  size_t n = 0;
  unsigned i;

  for (i = 0; i < DEPLOYMENT_DESK_HOSTS; i++)
    {
      const struct node *node = d->desk_agents[i];
      size_t flows;

      if (!node->alive || !rgy_agent_is_ready (node->agent))
        continue;
      flows = rgy_agent_get_flow_count (node->agent);
      largest = MAX (largest, flows);
      sum += flows;
      n++;
    }
  return sum == 0 ? 0 : (double)largest * (double)n / (double)sum;
}

void
deployment_put_limit (struct deployment *d, unsigned requests_in_flight)
{
  char *json = deployment_make_contract (d, requests_in_flight);

  harness_put_contract (d->h, json);
  g_free (json);
}

/* Limit of requests in flight for the desk service in the active contract of a
   process; 0 when it has no contract of the customer.  */
static uint64_t
get_active_limit_ (const struct deployment *d, const struct node *node)
{
  const struct rgy_blackboard *bb
      = node->kind == NODE_BALANCER
            ? rgy_balancer_get_blackboard (node->balancer)
            : rgy_agent_get_blackboard (node->agent);
  const struct rgy_contract *contract;
  const struct rgy_contract_service *service;

  if (rgy_contract_set_match (bb->contracts, DEPLOYMENT_CUSTOMER_IP + 1,
                              d->desk, &contract, &service)
      != RGY_OK)
    return 0;
  return service->limits.requests_in_flight;
}

unsigned
deployment_count_without_limit (const struct deployment *d,
                                unsigned requests_in_flight)
{
  unsigned n = 0;
  unsigned i;

  for (i = 0; i < harness_get_node_count (d->h); i++)
    {
      const struct node *node = harness_get_node_at (d->h, i);

      if (node->alive && get_active_limit_ (d, node) != requests_in_flight)
        n++;
    }
  return n;
}

unsigned
deployment_count_receivers (const struct deployment *d, unsigned domain,
                            int64_t after_us)
{
  unsigned n = 0;
  unsigned i;

  for (i = 0; i < harness_get_node_count (d->h); i++)
    {
      const struct node *node = harness_get_node_at (d->h, i);

      if (node->domain == domain && node->last_datagram_us > after_us)
        n++;
    }
  return n;
}
