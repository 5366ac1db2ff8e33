#include "rig.h"

#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Runs one case: rig CASE TROUBLE FOLDER.  Writes the record to the standard
   output.  Exits with 1 if the rule was broken, 0 if it held, and 2 if the
   case could not run.  */

#define POLL_MS 5
#define BALANCERS 2
#define AGENTS 6
/* Agents, and those of hosts that replace others.  */
#define MACHINES 8
#define FLOWS_PER_S 300
#define LIGHT_FLOWS_PER_S 80
#define FEW_FLOWS_PER_S 20
#define KEPT_FLOWS_PER_S 120
/* Warm-up rate of the service, and the limit that follows from it: the rate
   times warmup_overshoot, and warmup_slack.  */
#define WARMUP_PER_S 5
#define COLD_LIMIT (WARMUP_PER_S * 1.5 + 5)
#define COLD_MS 8000
#define WORK_MS 20
#define LONG_WORK_MS 30
#define TRAFFIC_MS 5000
#define RESTART_DELAY_MS 500
#define AGENT_START_MS 500
#define CONNECT_MS 1
#define ADD_GAP_MS 75
#define CLOCK_STEP_MS 2400
#define SMALL_CLOCK_STEP_MS 2300
#define CLOCK_STEP_FOR_MS 6000
#define CONTACT_MS 4000
#define HOST_RESTART_MS 100
#define WARMUP_MS 2000
#define DRAIN_BOUND_MS 3000
/* Sixty times the usual 4 ms.  */
#define USUAL_STORE_MS 4
#define SLOW_STORE_MS 240

static struct rig_process balancers_[BALANCERS];
static struct rig_process agents_[MACHINES];
static struct rig_host hosts_[MACHINES];
static bool trouble_;
static bool has_failed_;
static int n_balancers_;

static const char manifest_[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r-board\",\"hostname\":\"%s\","
      "\"prefix\":\"/%d/\",\"type\":\"unsafe\",\"timeout_ms\":%d,"
      "\"latency_goal_ms\":150,\"priority\":2,\"service\":\"%s\","
      "\"attempts\":2}],\"services\":[{\"name\":\"%s\","
      "\"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\","
      "\"tls\":false,\"warmup_s\":%d.0,\"warmup_per_s\":%d.0}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static const char *
get_zone_ (int index, int count)
{
  if (index >= count)
    return index % 2 == 0 ? "poa-a" : "poa-b";
  return index < (count + 1) / 2 ? "poa-a" : "poa-b";
}

/* Chooses a loopback network that no other run uses.  */
static void
choose_network_ (void)
{
  uint32_t first = (uint32_t)getpid () * 2654435761U;
  uint32_t i;

  for (i = 0; i < 64; i++)
    {
      int fd;

      rig_net = 0x7f400000U | ((first + i) & 0x1fffU) << 8;
      fd = rig_tcp_listen (RIG_ROUTE_IP, RIG_STORE_PORT);
      if (fd >= 0)
        {
          close (fd);
          return;
        }
    }
  exit (2);
}

static void
tick_ (void)
{
  int i;

  rig_poll (POLL_MS);
  rig_store_tick ();
  rig_calls_tick ();
  rig_router_tick (balancers_, n_balancers_);
  rig_callers_tick ();
  for (i = 0; i < MACHINES; i++)
    rig_host_tick (&hosts_[i]);
  for (i = 0; i < BALANCERS; i++)
    has_failed_ = rig_process_check (&balancers_[i]) || has_failed_;
  for (i = 0; i < MACHINES; i++)
    has_failed_ = rig_process_check (&agents_[i]) || has_failed_;
}

static void
run_until_ (int64_t ms)
{
  while (rig_now_ms < ms)
    tick_ ();
}

/* True if something listens for heartbeats beside the host.  */
static bool
is_agent_listening_ (int index)
{
  int fd = rig_tcp_connect (RIG_AGENT_IP (index), RIG_CONTROL_PORT);
  struct pollfd polled = { .fd = fd, .events = POLLOUT };
  bool is_connected;

  if (fd < 0)
    return false;
  is_connected = poll (&polled, 1, CONNECT_MS) == 1
                 && (polled.revents & (POLLERR | POLLHUP)) == 0;
  close (fd);
  return is_connected;
}

/* Starts a host as soon as the agent beside it listens, so that its first
   heartbeat arrives before any packet.  */
static void
start_machine_ (int index, bool bootstrap, int64_t cold_ms)
{
  int64_t end_ms = rig_now_ms + AGENT_START_MS;

  rig_process_start (&agents_[index], bootstrap);
  while (!is_agent_listening_ (index) && rig_now_ms < end_ms)
    {
      usleep (CONNECT_MS * 1000);
      rig_poll (0);
    }
  rig_host_start (&hosts_[index], cold_ms);
  rig_host_tick (&hosts_[index]);
}

/* Starts the deployment without the last machines, and the traffic.  */
static void
start_ (int agents)
{
  char ip[32];
  char manifest[2048];
  int i;

  rig_poll (0);
  rig_store_start ();
  rig_format_ip (RIG_ROUTE_IP, ip, sizeof ip);
  snprintf (manifest, sizeof manifest, manifest_, ip, RIG_ROUTE_PORT,
            RIG_LIMIT_MS, RIG_SERVICE, RIG_SERVICE, COLD_MS / 1000,
            WARMUP_PER_S);
  rig_store_put ("op/config", manifest);
  n_balancers_ = BALANCERS;
  for (i = 0; i < BALANCERS; i++)
    {
      balancers_[i] = (struct rig_process){ .index = i,
                                            .zone = get_zone_ (i, BALANCERS) };
      rig_process_start (&balancers_[i], true);
    }
  for (i = 0; i < MACHINES; i++)
    {
      agents_[i] = (struct rig_process){ .is_agent = true,
                                         .index = i,
                                         .zone = get_zone_ (i, AGENTS) };
      hosts_[i].index = i;
      hosts_[i].zone = agents_[i].zone;
      hosts_[i].cold_from_ms = -1;
      hosts_[i].drain_acked_ms = -1;
      if (i < agents)
        start_machine_ (i, true, 0);
    }
  run_until_ (TRAFFIC_MS);
  rig_callers_start (FLOWS_PER_S);
}

/* Cases.  */

/* Lets cold hosts fall over when they get more than the rule allows.  */
static void
set_cold_hosts_ (void)
{
  rig_work_ms = WORK_MS;
  rig_cold_limit = COLD_LIMIT;
}

/* The hosts of a failure domain are cold when it is put back into service:
   shortly before, or with TROUBLE=0 long enough before that their next
   heartbeats say so.  */
static void
run_return_ (void)
{
  int64_t back_ms = TRAFFIC_MS + 8000;
  int i;

  set_cold_hosts_ ();
  start_ (AGENTS);
  run_until_ (TRAFFIC_MS + 2000);
  rig_store_put ("op/evacuate/poa-b", "{}");
  run_until_ (back_ms - (trouble_ ? 300 : 3000));
  for (i = AGENTS / 2; i < AGENTS; i++)
    rig_host_cool (&hosts_[i], COLD_MS);
  run_until_ (back_ms);
  rig_store_delete ("op/evacuate/poa-b");
  run_until_ (back_ms + 5500);
}

/* Adds machines, whose hosts are cold, one after the other.  */
static void
add_machines_ (int first, int64_t wait_ms)
{
  int i;

  run_until_ (TRAFFIC_MS + 2000);
  for (i = first; i < AGENTS; i++)
    {
      start_machine_ (i, false, COLD_MS);
      run_until_ (rig_now_ms + ADD_GAP_MS);
    }
  run_until_ (TRAFFIC_MS + 2000 + wait_ms);
}

/* The agent beside a cold host that was added is stopped and started as
   planned.  */
static void
run_agent_ (void)
{
  int index = AGENTS - 1;

  set_cold_hosts_ ();
  start_ (AGENTS / 2);
  add_machines_ (index, 2500);
  if (trouble_)
    {
      rig_process_stop (&agents_[index]);
      run_until_ (rig_now_ms + RESTART_DELAY_MS);
      rig_process_start (&agents_[index], false);
    }
  run_until_ (TRAFFIC_MS + 2000 + COLD_MS);
}

/* All balancers are killed at the same moment and restarted beside cold hosts
   while the store is slow.  */
static void
run_balancers_ (void)
{
  int i;

  set_cold_hosts_ ();
  start_ (AGENTS / 2);
  add_machines_ (AGENTS / 2, 2500);
  if (trouble_)
    {
      rig_store_set_delay (SLOW_STORE_MS);
      for (i = 0; i < BALANCERS; i++)
        rig_process_kill (&balancers_[i], SIGKILL);
      run_until_ (rig_now_ms + RESTART_DELAY_MS);
      for (i = 0; i < BALANCERS; i++)
        rig_process_start (&balancers_[i], false);
      run_until_ (TRAFFIC_MS + 8000);
      rig_store_set_delay (USUAL_STORE_MS);
    }
  run_until_ (TRAFFIC_MS + 2000 + COLD_MS);
}

/* The clock of a machine that was just added jumps back for a while; its host
   ends meanwhile and is started again at once, and leaves much later.  */
static void
run_clock_ (void)
{
  struct rig_host *host = &hosts_[AGENTS - 1];
  int64_t jump_ms;

  rig_work_ms = LONG_WORK_MS;
  start_ (AGENTS / 2);
  rig_callers_set_rate (LIGHT_FLOWS_PER_S);
  add_machines_ (AGENTS - 1, 500);
  jump_ms = rig_now_ms;
  if (trouble_)
    {
      rig_record ("the clock of host %d jumps back", host->index);
      host->clock_ahead_ms = -CLOCK_STEP_MS;
      run_until_ (jump_ms + 500);
      rig_host_crash (host);
      run_until_ (rig_now_ms + HOST_RESTART_MS);
      rig_host_start (host, WARMUP_MS);
    }
  run_until_ (jump_ms + CLOCK_STEP_FOR_MS);
  host->clock_ahead_ms = 0;
  run_until_ (rig_now_ms + CONTACT_MS + 1000);
  rig_host_drain (host);
  run_until_ (rig_now_ms + DRAIN_BOUND_MS + 4000);
  rig_host_leave (host);
  run_until_ (rig_now_ms + RIG_LIMIT_MS + 500);
}

/* The clock of a machine that was just added returns to the right time, and
   its agent is stopped and started as planned.  The callers' flows stay idle
   meanwhile.  */
static void
run_flows_ (void)
{
  struct rig_host *host = &hosts_[AGENTS - 1];

  start_ (AGENTS / 2);
  rig_callers_set_rate (LIGHT_FLOWS_PER_S);
  host->clock_ahead_ms = trouble_ ? SMALL_CLOCK_STEP_MS : 0;
  add_machines_ (AGENTS - 1, 200);
  rig_callers_keep_flows (true);
  run_until_ (TRAFFIC_MS + 3000);
  if (trouble_)
    rig_record ("the clock of host %d returns", host->index);
  rig_callers_keep_flows (false);
  run_until_ (TRAFFIC_MS + 3500);
  rig_process_stop (&agents_[host->index]);
  run_until_ (TRAFFIC_MS + 4000);
  rig_process_start (&agents_[host->index], false);
  run_until_ (TRAFFIC_MS + 10000);
  rig_callers_ask_again ();
  run_until_ (TRAFFIC_MS + 12000);
}

/* Two hosts are replaced one after the other and close their flows; the
   callers open new ones from the same ports, at other hosts.  A balancer is
   stopped as planned, so that the next request on a flow reaches the other
   one.  */
static void
run_ports_ (void)
{
  start_ (AGENTS);
  rig_callers_set_rate (KEPT_FLOWS_PER_S);
  rig_callers_keep_flows (true);
  run_until_ (TRAFFIC_MS + 3000);
  rig_callers_keep_flows (false);
  rig_callers_set_rate (FEW_FLOWS_PER_S);
  rig_callers_reuse_ports (true);
  start_machine_ (AGENTS, false, WARMUP_MS);
  run_until_ (TRAFFIC_MS + 4000);
  rig_host_drain (&hosts_[AGENTS - 1]);
  start_machine_ (AGENTS + 1, false, WARMUP_MS);
  run_until_ (TRAFFIC_MS + 5000);
  rig_host_drain (&hosts_[0]);
  run_until_ (TRAFFIC_MS + 5500);
  if (trouble_)
    rig_process_kill (&balancers_[1], SIGTERM);
  rig_callers_ask_again ();
  run_until_ (TRAFFIC_MS + 7000);
  rig_callers_ask_again ();
  run_until_ (TRAFFIC_MS + 10500);
}

static const struct
{
  const char *name;
  void (*run) (void);
} cases_[] = { { "return", run_return_ },       { "agent", run_agent_ },
               { "balancers", run_balancers_ }, { "clock", run_clock_ },
               { "flows", run_flows_ },         { "ports", run_ports_ } };

/* True if a cold host got more requests in a second than it bears.  */
static bool
check_cold_ (void)
{
  bool is_broken = false;
  int i;

  for (i = 0; i < MACHINES; i++)
    {
      int64_t from_ms = 0;
      int peak = hosts_[i].cold_from_ms < 0
                     ? 0
                     : rig_host_count_cold_peak (&hosts_[i], &from_ms);

      if (hosts_[i].cold_from_ms < 0)
        continue;
      rig_record ("cold host %d: at most %d requests in a second, from %.3f; "
                  "allowed %.1f; fell over %d times, with %d requests",
                  i, peak, (double)from_ms / 1000, COLD_LIMIT,
                  hosts_[i].n_falls, hosts_[i].n_lost);
      is_broken = is_broken || peak > COLD_LIMIT;
    }
  return is_broken;
}

/* True if a host got requests too long after its draining was
   acknowledged.  */
static bool
check_drain_ (void)
{
  bool is_broken = false;
  int i;

  for (i = 0; i < MACHINES; i++)
    {
      int late = rig_host_count_late (&hosts_[i], DRAIN_BOUND_MS);

      if (hosts_[i].drain_acked_ms < 0)
        continue;
      rig_record ("host %d left, acknowledged at %.3f: %d requests later than "
                  "%d ms after that; ended with %d requests",
                  i, (double)hosts_[i].drain_acked_ms / 1000, late,
                  DRAIN_BOUND_MS, hosts_[i].n_lost);
      is_broken = is_broken || late > 0;
    }
  return is_broken;
}

/* True if an open flow was reset that its host did not reset.  */
static bool
check_flows_ (void)
{
  int broken = rig_callers_count_broken (hosts_, MACHINES);
  int lost = rig_hosts_count_lost_flows ();

  rig_record ("%d open flows were reset", broken);
  rig_record ("packets of %d open flows reached only other hosts for 2 s",
              lost);
  return broken > 0 || lost > 0;
}

static bool
check_ (const char *name)
{
  if (strcmp (name, "clock") == 0)
    return check_drain_ ();
  if (strcmp (name, "flows") == 0 || strcmp (name, "ports") == 0)
    return check_flows_ ();
  return check_cold_ ();
}

int
main (int argc, char **argv)
{
  bool is_broken;
  size_t i;

  if (argc != 4)
    return 2;
  trouble_ = strcmp (argv[2], "0") != 0;
  snprintf (rig_folder, sizeof rig_folder, "%s", argv[3]);
  signal (SIGPIPE, SIG_IGN);
  choose_network_ ();
  for (i = 0; i < sizeof cases_ / sizeof *cases_; i++)
    if (strcmp (argv[1], cases_[i].name) == 0)
      break;
  if (i == sizeof cases_ / sizeof *cases_)
    return 2;
  cases_[i].run ();
  is_broken = check_ (argv[1]);
  rig_callers_print_totals ();
  for (i = 0; i < BALANCERS; i++)
    rig_process_end (&balancers_[i]);
  for (i = 0; i < MACHINES; i++)
    rig_process_end (&agents_[i]);
  if (has_failed_ || rig_callers_get_answered () < 100)
    {
      rig_record ("the case could not run: %s",
                  has_failed_ ? "a process has ended" : "too few answers");
      return 2;
    }
  rig_record (is_broken ? "rule broken" : "rule held");
  return is_broken ? 1 : 0;
}
