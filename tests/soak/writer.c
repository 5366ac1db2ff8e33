#include "soak.h"

#include <jansson.h>
#include <string.h>

#include "ragwortyoke-io/http_client.h"

/* Another writer, which sends odd heartbeats and deregistrations to the agents
   and leaves odd entries in the store.  It has random numbers of its own, so
   that it does not change the faults of a seed.  */

#define MIN_PAUSE_MS 100
#define MAX_PAUSE_MS 700
#define TIMEOUT_MS 1000
/* Nesting beyond the limit of the parser.  */
#define TOO_DEEP 3000

static const char *const field_names_[]
    = { "service", "address",        "zone", "version", "concurrency",
        "state",   "warmup_left_ms", "seq",  "born" };

/* Values that no field may have, as JSON.  The texts at the end are allowed
   for the version only.  */
static const char *const odd_values_[]
    = { "null",    "true", "[]",
        "{}",      "-1",   "99999999999999999999",
        "1e99999", "\"\"", "\"10.0.0.1:65536\"" };
#define N_ODD_TEXTS 2

static struct
{
  GRand *rand;
  struct rgy_http_client *clients[SOAK_AGENTS];
  int64_t next_us;
  unsigned accepted; /* Odd heartbeats that were acknowledged.  */
} writer_;

static void
on_heartbeat_answer_ (enum rgy_outcome outcome, unsigned status,
                      struct rgy_bytes body, void *ctx)
{
  (void)body;
  (void)ctx;
  writer_.accepted += outcome == RGY_OK && status == 200;
}

static void
on_deregistration_answer_ (enum rgy_outcome outcome, unsigned status,
                           struct rgy_bytes body, void *ctx)
{
  (void)outcome;
  (void)status;
  (void)body;
  (void)ctx;
}

/* Builds a heartbeat in which one field is missing or odd.  */
static char *
build_odd_heartbeat_ (size_t agent)
{
  const char *odd_name = field_names_[g_rand_int_range (
      writer_.rand, 0, G_N_ELEMENTS (field_names_))];
  bool is_version = strcmp (odd_name, "version") == 0;
  gint32 odd = g_rand_int_range (writer_.rand, -2,
                                 G_N_ELEMENTS (odd_values_)
                                     - (is_version ? N_ODD_TEXTS : 0));
  char ip[RGY_IP_TEXT_BYTES];
  char *address = g_strdup_printf (
      "\"%s:%d\"", rgy_ip_format (SOAK_AGENT_IP + (uint32_t)agent, ip),
      SOAK_BACKEND_PORT);
  char *born
      = g_strdup_printf ("%" G_GINT64_FORMAT, g_get_real_time () / 1000);
  const char *const valid[G_N_ELEMENTS (field_names_)]
      = { agent < SOAK_WORKSHOP_AGENTS ? "\"workshop\"" : "\"catalogue\"",
          address,
          "\"domain-a\"",
          "\"v1\"",
          "4",
          "\"ready\"",
          "0",
          "1",
          born };
  GString *text = g_string_new ("{");
  char *deep = g_strnfill (TOO_DEEP, '[');
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (field_names_); i++)
    {
      bool is_odd = strcmp (field_names_[i], odd_name) == 0;

      if (is_odd && odd == -1)
        continue;
      g_string_append_printf (
          text, "%s\"%s\":%s", text->len > 1 ? "," : "", field_names_[i],
          !is_odd ? valid[i] : (odd == -2 ? deep : odd_values_[odd]));
    }
  g_string_append_c (text, '}');
  g_free (born);
  g_free (deep);
  g_free (address);
  return g_string_free (text, FALSE);
}

static void
send_to_agent_ (size_t agent, bool heartbeat)
{
  char *body = heartbeat ? build_odd_heartbeat_ (agent) : g_strdup ("");

  if (!rgy_http_client_is_busy (writer_.clients[agent]))
    rgy_http_client_call (
        writer_.clients[agent], "POST",
        heartbeat ? "/instances/i-odd/heartbeat"
                  : "/instances/i-odd/deregister",
        (struct rgy_bytes){ .data = (const uint8_t *)body,
                            .len = strlen (body) },
        TIMEOUT_MS,
        heartbeat ? on_heartbeat_answer_ : on_deregistration_answer_, NULL);
  g_free (body);
}

static void
leave_odd_entry_ (void)
{
  static const char *const keys[] = { "ragwortyoke/balancer/",
                                      "ragwortyoke/balancer/7",
                                      "ragwortyoke/balancer/224.0.0.1",
                                      "ragwortyoke/balancer/10.9.9.9",
                                      "ragwortyoke/odd",
                                      "op/evacuate/a b" };

  soak_store_put (
      keys[g_rand_int_range (writer_.rand, 0, G_N_ELEMENTS (keys))], "[[[[");
}

void
soak_writer_start (uv_loop_t *loop, uint32_t seed)
{
  size_t i;

  writer_.rand = g_rand_new_with_seed (seed);
  for (i = 0; i < SOAK_AGENTS; i++)
    writer_.clients[i] = rgy_http_client_new (
        loop, (struct rgy_endpoint){ .ip = SOAK_AGENT_IP + (uint32_t)i,
                                     .port = SOAK_CONTROL_PORT });
}

void
soak_writer_tick (int64_t now_us)
{
  size_t agent;

  if (now_us < writer_.next_us)
    return;
  writer_.next_us
      = now_us
        + g_rand_int_range (writer_.rand, MIN_PAUSE_MS, MAX_PAUSE_MS) * 1000;
  agent = (size_t)g_rand_int_range (writer_.rand, 0, SOAK_AGENTS);
  switch (g_rand_int_range (writer_.rand, 0, 5))
    {
    case 0:
      leave_odd_entry_ ();
      return;
    case 1:
      send_to_agent_ (agent, false);
      return;
    default:
      send_to_agent_ (agent, true);
      return;
    }
}

unsigned
soak_writer_get_accepted (void)
{
  return writer_.accepted;
}
