#include "rig.h"

#include <stdio.h>
#include <string.h>

/* Scenarios: each case of the review has one.  */

/* Ports of the routes.  */
#define ROUTE 443
#define OTHER_ROUTE 8443
#define N_NODES 4
#define N_ZONES 3
/* Routes that see no traffic.  */
#define N_IDLE_ROUTES 110
/* Time until all processes know each other, before traffic starts.  */
#define WARM_UP_S 4.0
/* Bounds of the pages, as in the sample settings.  */
#define CONTACT_S 4.0
#define CONFIG_APPLY_S 3.0
#define DRAIN_S 3.0
#define EVACUATE_S 5.0

static const char *const zones_[] = { "poa-a", "poa-b", "cxs-c" };
#define SERVICE "huvo11a"
#define OTHER_SERVICE "wuno96b"
#define SERVICE_JSON(name)                                                    \
  "{\"name\":\"" name "\",\"health_path\":\"/health\",\"max_conns\":2000,"    \
  "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":2.0,\"warmup_per_s\":0.0}"
static const char services_[]
    = "[" SERVICE_JSON (SERVICE) "," SERVICE_JSON (OTHER_SERVICE) "]";

/* Weight of SERVICE in the route that sees traffic, in percent; OTHER_SERVICE
   has the rest.  NO_SPLIT: the route names SERVICE only.  */
#define NO_SPLIT (-1)
static int service_weight_ = NO_SPLIT;

static struct rig_process *agents_[RIG_MAX_HOSTS];

static const char *
get_zone_ (size_t i)
{
  return zones_[i % N_ZONES];
}

/* @param target  where new flows go: a field of the route.  */
static void
append_route_ (GString *routes, const char *name, const char *ip,
               unsigned port, unsigned timeout_ms, const char *target)
{
  g_string_append_printf (
      routes,
      "%s{\"name\":\"%s\",\"hostname\":\"%s\",\"prefix\":\"/%u/\","
      "\"type\":\"unsafe\",\"timeout_ms\":%u,\"latency_goal_ms\":200,"
      "\"priority\":1,%s,\"attempts\":2}",
      routes->len > 0 ? "," : "", name, ip, port, timeout_ms, target);
}

/* Writes a manifest with the route PORT, a time-out of the idle routes, and
   N_IDLE of these.  */
static void
put_manifest_ (unsigned port, size_t n_idle, unsigned timeout_ms,
               const char *note)
{
  static const char only_service[] = "\"service\":\"" SERVICE "\"";
  GString *routes = g_string_new (NULL);
  char *split = g_strdup_printf (
      "\"traffic_split\":[{\"service\":\"" SERVICE "\",\"weight\":%d},"
      "{\"service\":\"" OTHER_SERVICE "\",\"weight\":%d}]",
      service_weight_, 100 - service_weight_);
  size_t i;

  append_route_ (routes, "r-a3hwrr6", "127.18.0.1", port, 1500,
                 service_weight_ == NO_SPLIT ? only_service : split);
  for (i = 0; i < n_idle; i++)
    {
      char *name = g_strdup_printf ("r-i%05zu", i);
      char *ip = g_strdup_printf ("127.18.%zu.%zu", 1 + i / 250, 1 + i % 250);

      append_route_ (routes, name, ip, 8080, timeout_ms, only_service);
      g_free (ip);
      g_free (name);
    }
  rig_put_manifest (routes->str, services_, note);
  g_free (split);
  g_string_free (routes, TRUE);
}

/* Starts an agent and its host.  */
static void
start_host_ (size_t i, const char *service)
{
  agents_[i] = rig_start_agent (i, get_zone_ (i), service, true);
  rig_host_start (i, service, get_zone_ (i), 1, 0);
}

static void
start_ (size_t n_hosts, size_t n_other_hosts)
{
  size_t i;

  rig_store_start ();
  put_manifest_ (ROUTE, N_IDLE_ROUTES, 1500, "the first one");
  for (i = 0; i < N_NODES; i++)
    rig_start_node (i, get_zone_ (i), true);
  for (i = 0; i < n_hosts + n_other_hosts; i++)
    start_host_ (i, i < n_hosts ? SERVICE : OTHER_SERVICE);
  rig_clients_start (N_NODES);
  rig_run (WARM_UP_S);
}

static void
record_counts_ (void)
{
  const struct rig_counts *c = &rig_counts;

  rig_record ("flows begun=%u opened=%u refused=%u unopened=%u; requests "
              "sent=%u answered=%u; open flows reset=%u with a request under "
              "way=%u; foreign=%u",
              c->begun, c->opened, c->refused, c->unopened, c->sent,
              c->answered, c->resets, c->lost, c->foreign);
  if (c->answered < c->sent / 2 || c->answered == 0)
    rig_cannot_run ("fewer than half of the requests were answered");
}

/* Check of CONFIG: a manifest has replaced ROUTE by OTHER_ROUTE.  */

static struct
{
  double acked_s;
  double in_touch_s; /* All machines are in touch from then on.  */
  unsigned n_dropped;
  unsigned n_refused;
} change_;

/* True if a flow that a client began must be handled by the new manifest.  */
static bool
is_bound_ (double sent_s)
{
  return change_.acked_s > 0 && sent_s > change_.acked_s + CONFIG_APPLY_S
         && sent_s > change_.in_touch_s;
}

static void
check_dropped_route_ (const struct rig_arrival *arrival)
{
  if (arrival->route_port != ROUTE || !is_bound_ (arrival->sent_s))
    return;
  change_.n_dropped++;
  rig_record ("BROKEN CONFIG: host=%zu took a flow on the dropped route, "
              "sent %.3f s after the ack of the manifest",
              arrival->host, arrival->sent_s - change_.acked_s);
}

static void
check_refusal_ (uint16_t route_port, double sent_s)
{
  if (route_port != OTHER_ROUTE || !is_bound_ (sent_s))
    return;
  change_.n_refused++;
  rig_record ("BROKEN CONFIG: a flow on the added route was refused, sent "
              "%.3f s after the ack of the manifest",
              sent_s - change_.acked_s);
}

/* Replaces the route, and plays the rest of the run.  */
static void
replace_route_ (size_t n_idle, double rest_s)
{
  put_manifest_ (OTHER_ROUTE, n_idle, 1500, "route 443 dropped, 8443 added");
  change_.acked_s = rig_now ();
  rig_open_flows (OTHER_ROUTE, 10, rig_now () + rest_s - 3, 2, 0.2);
  rig_run (rest_s);
  record_counts_ ();
  rig_record ("after the bound: flows run on the dropped route: %u, flows "
              "refused on the added route: %u",
              change_.n_dropped, change_.n_refused);
}

static bool
has_broken_config_ (void)
{
  return change_.n_dropped > 0 || change_.n_refused > 0;
}

/* large-manifest: a large manifest changes in quick succession.  Afterwards a
   route is replaced, and a zone is evacuated.  */

#define EVACUATED_ZONE "poa-b"

#define BIG_STEPS 16
#define BIG_ROUTES 340
#define BIG_GAP_S 0.5
#define FAST_CHANGES 25
#define FAST_GAP_S 0.06

static double evacuated_s_; /* Time of the ack; 0 if none.  */
static unsigned n_evacuated_;

static void
check_evacuation_ (const struct rig_arrival *arrival)
{
  check_dropped_route_ (arrival);
  if (evacuated_s_ <= 0 || arrival->arrived_s < evacuated_s_ + EVACUATE_S
      || strcmp (rig_hosts[arrival->host].zone, EVACUATED_ZONE) != 0)
    return;
  n_evacuated_++;
  rig_record ("BROKEN EVAC: host=%zu got a new flow %.3f s after the ack of "
              "the evacuation of its zone",
              arrival->host, arrival->arrived_s - evacuated_s_);
}

static void
run_large_manifest_ (void)
{
  size_t n_idle = N_IDLE_ROUTES;
  double storm_s;
  int i;

  rig_on_arrival = check_evacuation_;
  rig_on_refusal = check_refusal_;
  start_ (5, 0);
  rig_open_flows (ROUTE, 30, rig_now () + 40, 2, 0.2);
  rig_run (2);
  for (i = 0; i < BIG_STEPS; i++)
    {
      n_idle += BIG_ROUTES;
      put_manifest_ (ROUTE, n_idle, 1500, "more routes");
      rig_run (BIG_GAP_S);
    }
  storm_s = rig_now ();
  for (i = 0; rig_has_trouble () && i < FAST_CHANGES; i++)
    {
      put_manifest_ (ROUTE, n_idle, 1600 + (unsigned)i, "another time-out");
      rig_run (MAX (storm_s + (i + 1) * FAST_GAP_S - rig_now (), 0));
    }
  rig_run (2);
  rig_store_put ("op/evacuate/" EVACUATED_ZONE, "{}");
  evacuated_s_ = rig_now ();
  rig_record ("evacuation of " EVACUATED_ZONE " acknowledged");
  replace_route_ (n_idle, 30);
  rig_record ("new flows at hosts of the evacuated zone: %u", n_evacuated_);
  rig_finish (has_broken_config_ () || n_evacuated_ > 0);
}

/* silent-store: the store is down for a while; a manifest and an evacuation
   that come when it is back aren't applied.  */

/* Time from a change until the store goes down: shortly before the watches
   that began with the change end.  */
#define BEFORE_DOWN_S 9.5
#define DOWN_S 4.5

static void
run_silent_store_ (void)
{
  rig_on_arrival = check_evacuation_;
  rig_on_refusal = check_refusal_;
  start_ (5, 0);
  rig_open_flows (ROUTE, 30, rig_now () + 40, 2, 0.2);
  put_manifest_ (ROUTE, N_IDLE_ROUTES, 1600, "another time-out");
  rig_run (BEFORE_DOWN_S);
  if (rig_has_trouble ())
    rig_store_set_silent (true);
  rig_run (DOWN_S);
  if (rig_has_trouble ())
    rig_store_set_silent (false);
  change_.in_touch_s = rig_now () + CONTACT_S;
  rig_run (0.2);
  rig_store_put ("op/evacuate/" EVACUATED_ZONE, "{}");
  evacuated_s_ = rig_now ();
  rig_record ("evacuation of " EVACUATED_ZONE " acknowledged");
  rig_run (CONTACT_S);
  rig_record ("all machines are in touch");
  replace_route_ (N_IDLE_ROUTES, 14);
  rig_record ("new flows at hosts of the evacuated zone: %u", n_evacuated_);
  rig_finish (has_broken_config_ () || n_evacuated_ > 0);
}

/* other-writer: a heartbeat without an address arrives from another writer. */

static unsigned n_late_drain_;

static void
check_draining_ (const struct rig_arrival *arrival)
{
  const struct rig_host *host = &rig_hosts[arrival->host];

  if (host->drain_acked_s <= 0
      || arrival->arrived_s < host->drain_acked_s + DRAIN_S)
    return;
  n_late_drain_++;
  rig_record ("BROKEN DRAIN: host=%zu got a new flow %.3f s after the ack of "
              "draining",
              arrival->host, arrival->arrived_s - host->drain_acked_s);
}

static void
on_other_answer_ (unsigned status, void *ctx)
{
  (void)ctx;
  rig_record ("the other writer's heartbeat was answered with %u", status);
}

static void
record_wrong_reset_ (const struct rig_host *host, double opened_s)
{
  rig_record ("BROKEN FLOW: the system reset a flow of host=%zu, open for "
              "%.3f s, which the host serves",
              host->index, rig_now () - opened_s);
}

static void
run_other_writer_ (void)
{
  char *body;

  rig_on_arrival = check_draining_;
  rig_on_wrong_reset = record_wrong_reset_;
  start_ (4, 0);
  rig_open_flows (ROUTE, 20, rig_now () + 24, 20, 0.4);
  rig_run (6);
  if (rig_has_trouble ())
    {
      body = g_strdup_printf (
          "{\"service\":\"huvo11a\",\"zone\":\"%s\",\"version\":2,"
          "\"concurrency\":4,\"state\":\"ready\",\"warmup_left_ms\":0,"
          "\"seq\":1,\"born\":%" G_GINT64_FORMAT "}",
          get_zone_ (0), g_get_real_time () / 1000);
      rig_record ("another writer sends to the agent of host=0: %s", body);
      rig_http_call (rig_host_ip (0), rig_port (RIG_PORT_CONTROL), "POST",
                     "/instances/i-other/heartbeat", body, 1000,
                     on_other_answer_, NULL);
      g_free (body);
    }
  rig_run (8);
  rig_host_drain (0);
  rig_run (10);
  record_counts_ ();
  rig_record ("open flows reset: %u, new flows at a draining host: %u",
              rig_counts.resets, n_late_drain_);
  rig_finish (rig_counts.resets > 0 || n_late_drain_ > 0);
}

/* young-host: the agents beside hosts that have just started are stopped and
   started in turn.  */

#define COUNTING_HOST 3 /* Counts its heartbeats from 0.  */
#define LATE_HOST 4     /* Sends the first one after an interval.  */

static void
run_young_host_ (void)
{
  rig_on_wrong_reset = record_wrong_reset_;
  start_ (3, 0);
  rig_open_flows (ROUTE, 40, rig_now () + 16, 6, 2.0);
  rig_run (2);
  agents_[COUNTING_HOST]
      = rig_start_agent (COUNTING_HOST, get_zone_ (0), SERVICE, false);
  rig_run (0.3);
  rig_host_start (COUNTING_HOST, SERVICE, get_zone_ (0), 0, 0);
  rig_run (0.5);
  if (rig_has_trouble ())
    rig_restart (agents_[COUNTING_HOST], 0.3);
  rig_run (5);
  agents_[LATE_HOST]
      = rig_start_agent (LATE_HOST, get_zone_ (1), SERVICE, false);
  rig_run (0.3);
  rig_host_start (LATE_HOST, SERVICE, get_zone_ (1), 1, 1.2);
  rig_run (0.5);
  if (rig_has_trouble ())
    rig_restart (agents_[LATE_HOST], 0.3);
  rig_run (14);
  record_counts_ ();
  rig_finish (rig_counts.resets > 0);
}

/* reused-port: clients open flows from ports whose earlier flows lie idle for
   longer than the idle timeout, after the route has moved to another
   service.  */

#define N_FORGOTTEN 60
/* Pause before the ports are used again; longer than the idle timeout.  */
#define IDLE_PAUSE_S 17.0
/* Time from the ack of the manifest until then.  */
#define AFTER_MANIFEST_S 8.0

static unsigned n_old_service_;

static void
check_service_ (const struct rig_arrival *arrival)
{
  const char *service = rig_hosts[arrival->host].service;

  if (!is_bound_ (arrival->sent_s) || strcmp (service, SERVICE) != 0)
    return;
  n_old_service_++;
  rig_record ("BROKEN CONFIG: host=%zu of the old service took a flow, sent "
              "%.3f s after the ack of the manifest",
              arrival->host, arrival->sent_s - change_.acked_s);
}

static void
run_reused_port_ (void)
{
  uint16_t ports[N_FORGOTTEN];
  size_t i;

  rig_on_arrival = check_service_;
  service_weight_ = 100;
  start_ (3, 2);
  rig_open_flows (ROUTE, 20, rig_now () + 30, 2, 0.2);
  rig_run (1);
  for (i = 0; i < N_FORGOTTEN; i++)
    {
      ports[i] = rig_open_flow (ROUTE, 2, 0.2);
      rig_forget_flow (ports[i]);
      rig_run (0.02);
    }
  rig_run (IDLE_PAUSE_S - AFTER_MANIFEST_S);
  if (rig_has_trouble ())
    {
      service_weight_ = 0;
      put_manifest_ (ROUTE, N_IDLE_ROUTES, 1500,
                     "weights of route 443: 0 and 100");
      change_.acked_s = rig_now ();
    }
  rig_run (AFTER_MANIFEST_S);
  rig_record ("ports of idle flows are used again");
  for (i = 0; i < N_FORGOTTEN; i++)
    {
      rig_reuse_port (ports[i], 2, 0.2);
      rig_run (0.02);
    }
  rig_run (3);
  record_counts_ ();
  rig_record ("flows run by the old service after the bound: %u",
              n_old_service_);
  rig_finish (n_old_service_ > 0);
}

/* reused-address: the address of a host goes to another service; clients open
   flows from ports whose earlier flows lie idle for longer than the idle
   timeout.  */

#define LOST_HOST 0
/* Pause until an address is used again.  */
#define REUSE_DELAY_S 2.5
#define REUSED_AFTER_S 6.0

static unsigned n_other_service_;

static void
check_route_ (const struct rig_arrival *arrival)
{
  if (strcmp (rig_hosts[arrival->host].service, SERVICE) == 0)
    return;
  n_other_service_++;
  rig_record ("BROKEN ROUTE: host=%zu of service %s took a flow that no "
              "manifest lets go there",
              arrival->host, rig_hosts[arrival->host].service);
}

static void
run_reused_address_ (void)
{
  uint16_t ports[N_FORGOTTEN];
  size_t i;

  rig_on_arrival = check_route_;
  start_ (3, 2);
  rig_open_flows (ROUTE, 20, rig_now () + 30, 2, 0.2);
  rig_run (1);
  for (i = 0; i < N_FORGOTTEN; i++)
    {
      ports[i] = rig_open_flow (ROUTE, 2, 0.2);
      rig_forget_flow (ports[i]);
      rig_run (0.02);
    }
  rig_run (IDLE_PAUSE_S - REUSE_DELAY_S - REUSED_AFTER_S);
  if (rig_has_trouble ())
    {
      rig_host_crash (LOST_HOST);
      rig_kill (agents_[LOST_HOST]);
      rig_run (REUSE_DELAY_S);
      /* The host sends its first heartbeat before the agent listens.  */
      rig_host_start (LOST_HOST, OTHER_SERVICE, get_zone_ (LOST_HOST), 1, 0);
      rig_run (0.05);
      agents_[LOST_HOST] = rig_start_agent (LOST_HOST, get_zone_ (LOST_HOST),
                                            OTHER_SERVICE, false);
    }
  rig_run (REUSED_AFTER_S);
  rig_record ("ports of idle flows are used again");
  for (i = 0; i < N_FORGOTTEN; i++)
    {
      rig_reuse_port (ports[i], 2, 0.2);
      rig_run (0.02);
    }
  rig_run (3);
  record_counts_ ();
  rig_record ("flows run by a service that no manifest allows: %u",
              n_other_service_);
  rig_finish (n_other_service_ > 0);
}

struct scenario_
{
  const char *name;
  void (*run) (void);
};

int
main (int argc, char **argv)
{
  static const struct scenario_ scenarios[]
      = { { "large-manifest", run_large_manifest_ },
          { "silent-store", run_silent_store_ },
          { "other-writer", run_other_writer_ },
          { "young-host", run_young_host_ },
          { "reused-port", run_reused_port_ },
          { "reused-address", run_reused_address_ } };
  size_t i;

  if (argc == 3)
    for (i = 0; i < G_N_ELEMENTS (scenarios); i++)
      if (strcmp (argv[1], scenarios[i].name) == 0)
        {
          rig_init (argv[2]);
          scenarios[i].run ();
        }
  fputs ("usage: rig SCENARIO RECORD\n", stderr);
  return 2;
}
