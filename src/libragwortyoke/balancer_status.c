#include "private/balancer_private.h"

#include <jansson.h>

/* JSON documents in which a balancer reports its state to operators.  */

static char *
dump_json_ (json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS);
  char *copy = g_strdup (text);

  free (text);
  json_decref (json);
  return copy;
}

static json_t *
endpoint_json_ (struct rgy_endpoint endpoint)
{
  char text[RGY_ENDPOINT_TEXT_BYTES];

  return json_string (rgy_endpoint_format (endpoint, text));
}

/* Adds the load that a monitored agent last reported.  Only refusal reasons
   that have occurred are listed.  */
static void
add_agent_load_ (json_t *agent, const struct rgy_agent_load *load)
{
  json_t *refused = json_object ();
  size_t i;

  for (i = 0; i < RGY_REFUSAL_REASON_COUNT; i++)
    if (load->refused[i] > 0)
      json_object_set_new (refused, rgy_refusal_reason_string[i],
                           json_integer ((json_int_t)load->refused[i]));
  json_object_set_new (agent, "flows", json_integer (load->flows));
  json_object_set_new (agent, "running", json_integer (load->running));
  json_object_set_new (agent, "limit", json_integer (load->limit));
  json_object_set_new (agent, "refused", refused);
}

static json_t *
agents_json_ (const struct rgy_balancer *b)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->bb->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_agent_record *r = value;
      const struct rgy_agent_load *load
          = g_hash_table_lookup (b->loads, &r->id);
      json_t *agent = json_pack ("{s:s, s:s, s:s, s:o, s:o}", "id", r->id.data,
                                 "state", rgy_member_state_string[r->state],
                                 "domain", r->domain.data, "endpoint",
                                 endpoint_json_ (r->endpoint), "service",
                                 endpoint_json_ (r->service));

      if (load != NULL)
        add_agent_load_ (agent, load);
      json_array_append_new (list, agent);
    }
  return list;
}

static json_t *
balancers_json_ (const struct rgy_balancer *b)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->bb->balancers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_balancer_record *r = value;

      json_array_append_new (
          list,
          json_pack ("{s:s, s:s, s:s, s:o, s:i}", "id", r->id.data, "state",
                     rgy_member_state_string[r->state], "domain",
                     r->domain.data, "endpoint", endpoint_json_ (r->endpoint),
                     "lagging", (int)r->lagging_count));
    }
  return list;
}

static void
add_contract_ (const struct rgy_contract *contract, void *ctx)
{
  json_array_append_new (
      ctx, json_pack ("{s:s, s:I, s:i}", "customer", contract->customer.data,
                      "revision", (json_int_t)contract->revision, "services",
                      (int)contract->service_count));
}

static void
add_domain_ (const struct rgy_domain_order *order, void *ctx)
{
  json_array_append_new (ctx, json_pack ("{s:s, s:b, s:I}", "domain",
                                         order->domain.data, "out", order->out,
                                         "number", (json_int_t)order->number));
}

char *
rgy_balancer_format_status (const struct rgy_balancer *b)
{
  json_t *contracts = json_array ();
  json_t *domains = json_array ();

  rgy_contract_set_foreach (b->bb->contracts, add_contract_, contracts);
  rgy_domain_set_foreach (b->bb->domains, add_domain_, domains);
  return dump_json_ (json_pack (
      "{s:s, s:s, s:s, s:s, s:b, s:b, s:b, s:o, s:o, s:o, s:o}", "id",
      b->settings.id.data, "role", "balancer", "state",
      rgy_member_state_string[b->self.state], "domain",
      b->settings.domain.data, "ready", rgy_balancer_is_ready (b), "reader",
      rgy_balancer_is_reader (b), "cut_protection", b->cut_protection,
      "agents", agents_json_ (b), "balancers", balancers_json_ (b),
      "contracts", contracts, "domains", domains));
}

static bool
has_version_ (const struct rgy_balancer *b, const struct rgy_name *key,
              bool is_domain, uint64_t revision, uint64_t *known)
{
  const struct rgy_entry *entry = rgy_replica_get (
      b->bb->replica, is_domain ? RGY_ENTRY_DOMAIN : RGY_ENTRY_CONTRACT, key);

  *known = entry == NULL ? 0 : entry->version.major;
  return entry != NULL && entry->version.major >= revision;
}

static void
note_newest_revision_ (const struct rgy_entry *entry, void *ctx)
{
  uint64_t *newest = ctx;

  *newest = MAX (*newest, entry->version.major);
}

/* Returns the highest store revision of the contracts that this
   balancer knows.  A store whose revision is lower has lost a contract
   that is active.  */
static uint64_t
get_store_revision_ (const struct rgy_balancer *b)
{
  uint64_t newest = 0;

  rgy_replica_foreach (b->bb->replica, RGY_ENTRY_CONTRACT,
                       note_newest_revision_, &newest);
  return newest;
}

/* A change is confirmed when all balancers publish the same configuration
   digest as this one and none of them has a lagging agent.  */
char *
rgy_balancer_format_confirm (const struct rgy_balancer *b,
                             const struct rgy_name *key, bool is_domain,
                             uint64_t revision)
{
  uint64_t digest = rgy_blackboard_get_config_digest (b->bb);
  json_t *lagging = json_array ();
  GHashTableIter iter;
  gpointer value;
  uint64_t known;
  bool confirmed = has_version_ (b, key, is_domain, revision, &known);
  size_t i;

  if (!confirmed)
    json_array_append_new (lagging, json_string (b->settings.id.data));
  g_hash_table_iter_init (&iter, b->bb->balancers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rgy_balancer_record *r = value;

      if (r->state == RGY_MEMBER_DEAD || r->state == RGY_MEMBER_LEFT)
        continue;
      if (r->config_digest != digest)
        json_array_append_new (lagging, json_string (r->id.data));
      for (i = 0; i < RGY_LAGGING_NAMES_MAX && r->lagging[i].len > 0; i++)
        json_array_append_new (lagging, json_string (r->lagging[i].data));
      confirmed
          = confirmed && r->config_digest == digest && r->lagging_count == 0;
    }
  return dump_json_ (
      json_pack ("{s:b, s:I, s:I, s:o}", "confirmed", confirmed, "revision",
                 (json_int_t)known, "store_revision",
                 (json_int_t)get_store_revision_ (b), "lagging", lagging));
}
