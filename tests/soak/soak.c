#include "soak.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "ragwortyoke-io/http_client.h"
#include "ragwortyoke-io/udp.h"
#include "ragwortyoke/bytes.h"
#include "ragwortyoke/clock.h"

#define SERVICE_IP 0xc6120001U
#define SERVICE_PORT 443
#define FLOWS_PER_S 15
#define FLOW_LIFE_US (6 * RGY_US_PER_S)
#define REQUEST_US (250 * RGY_US_PER_MS)
#define RETRY_US (200 * RGY_US_PER_MS)
#define MAX_REPEATS 6
#define HEARTBEAT_US (500 * RGY_US_PER_MS)
#define READY_US (500 * RGY_US_PER_MS)
#define TICK_MS 10
#define WARM_UP_US (5 * RGY_US_PER_S)
#define CALM_US (8 * RGY_US_PER_S)
/* The users' bounds: after a fault a machine is in touch again, and new flows
   leave a draining backend server and a failure domain out of service.  */
#define IN_TOUCH_US (4 * RGY_US_PER_S)
#define DRAIN_US (3 * RGY_US_PER_S)
#define EVACUATE_US (5 * RGY_US_PER_S)
#define BOUNCED 128
#define SYN 2
#define ACK 4
#define RST 8
#define FIN 16

struct backend_
{
  struct rgy_udp *udp;
  struct rgy_http *health; /* Listens while the backend server runs.  */
  struct rgy_http_client *heartbeats;
  bool alive;
  bool draining;
  int64_t drained_us; /* Acknowledged; 0: not.  */
  unsigned generation;
  uint64_t seq;
  int64_t heartbeat_us;
  GHashTable *flows; /* Port of the caller to its number.  */
};

struct caller_
{
  uint16_t port;
  bool open;
  bool done;
  uint32_t number; /* The backend server's, of its first segment.  */
  size_t backend;
  int64_t ends_us;
  int64_t next_us;
  unsigned repeats;
  bool asked;
};

static struct
{
  uv_loop_t loop;
  GRand *rand;
  int64_t now_us;
  int64_t end_us;
  struct soak_process balancers[SOAK_BALANCERS];
  struct soak_process agents[SOAK_AGENTS];
  int64_t restart_us[SOAK_BALANCERS + SOAK_AGENTS];
  struct rgy_http_client *ready_calls[SOAK_BALANCERS];
  unsigned misses[SOAK_BALANCERS];
  struct backend_ backends[SOAK_AGENTS];
  struct rgy_udp *caller_udp;
  GPtrArray *callers;
  uint16_t next_port;
  int64_t next_flow_us;
  int64_t next_fault_us;
  int64_t ready_us;
  int64_t store_back_us;
  int64_t domain_back_us;
  int64_t domain_out_us;
  uint64_t version;
  bool calm;
  unsigned opened;
  unsigned answered;
  unsigned calm_begun;
  unsigned calm_opened;
  unsigned resets;
  unsigned broken;
} soak_;

/* Builds a packet; FROM_SERVICE swaps the ends.  */
static size_t
build_ (uint8_t *out, const struct caller_ *caller, bool from_service,
        uint8_t flags, uint32_t seq, uint32_t ack, uint16_t len)
{
  uint32_t src = from_service ? SERVICE_IP : SOAK_CALLER_IP;
  uint32_t dst = from_service ? SOAK_CALLER_IP : SERVICE_IP;
  uint16_t sport = from_service ? SERVICE_PORT : caller->port;
  uint16_t dport = from_service ? caller->port : SERVICE_PORT;

  memset (out, 0, RGY_PACKET_HEADER_BYTES + len);
  out[0] = flags;
  rgy_put_be (out + 6, seq, 4);
  rgy_put_be (out + 10, ack, 4);
  rgy_put_be (out + 18, dport, 2);
  rgy_put_be (out + 20, dst, 4);
  rgy_put_be (out + 24, src, 4);
  rgy_put_be (out + 28, sport, 2);
  rgy_put_be (out + 30, len, 2);
  return RGY_PACKET_HEADER_BYTES + len;
}

static void broken_ (const char *format, ...) G_GNUC_PRINTF (1, 2);

static void
broken_ (const char *format, ...)
{
  char *text;
  va_list ap;

  soak_.broken++;
  va_start (ap, format);
  text = g_strdup_vprintf (format, ap);
  va_end (ap);
  fprintf (stderr, "%9.3f BROKEN %s\n", (double)soak_.now_us / 1e6, text);
  g_free (text);
}

static void
note_ (const char *what, size_t index)
{
  fprintf (stderr, "%9.3f %s %zu\n", (double)soak_.now_us / 1e6, what, index);
}

/* Callers.  */

static void
send_caller_ (const struct caller_ *caller, uint8_t flags, uint16_t len)
{
  uint8_t out[RGY_PACKET_MAX_BYTES];
  size_t n = build_ (out, caller, false, flags, 0,
                     caller->open ? caller->number + 1 : caller->repeats, len);
  size_t ready[SOAK_BALANCERS];
  size_t count = 0;
  size_t i;

  for (i = 0; i < SOAK_BALANCERS; i++)
    if (soak_.misses[i] < 2)
      ready[count++] = i;
  if (count == 0)
    return;
  i = ready[caller->port * 2654435761U / 65536U % count];
  (void)rgy_udp_send (
      soak_.caller_udp,
      (struct rgy_endpoint){ .ip = SOAK_BALANCER_IP + (uint32_t)i,
                             .port = SOAK_PACKETS_PORT },
      (struct rgy_bytes){ .data = out, .len = n });
}

static void
begin_flow_ (void)
{
  struct caller_ *caller = g_new0 (struct caller_, 1);

  caller->port = soak_.next_port++;
  caller->ends_us = soak_.now_us + FLOW_LIFE_US;
  caller->next_us = soak_.now_us + RETRY_US;
  g_ptr_array_add (soak_.callers, caller);
  soak_.calm_begun += soak_.calm;
  send_caller_ (caller, SYN, 0);
}

static void
step_caller_ (struct caller_ *caller)
{
  if (caller->done || soak_.now_us < caller->next_us)
    return;
  if (caller->open && !caller->asked && soak_.now_us >= caller->ends_us)
    {
      send_caller_ (caller, FIN | ACK, 0);
      caller->done = true;
      return;
    }
  if (caller->repeats > (caller->open ? MAX_REPEATS : 1))
    {
      caller->done = true;
      return;
    }
  caller->repeats++;
  caller->asked = caller->open;
  send_caller_ (caller, caller->open ? ACK : SYN, caller->open ? 100 : 0);
  caller->next_us = soak_.now_us
                    + (caller->open ? RETRY_US << MIN (caller->repeats - 1, 3)
                                    : 2 * RETRY_US);
}

static bool
was_in_trouble_ (const struct soak_process *process)
{
  return process->troubled_us != 0
         && soak_.now_us - process->troubled_us < IN_TOUCH_US;
}

/* A reset breaks the promise when the backend server holds the flow and both
   its machine and the sender's were in touch.  */
static void
on_reset_ (struct caller_ *caller, uint32_t from_ip)
{
  const struct backend_ *backend = &soak_.backends[caller->backend];
  bool from_agent = from_ip >= SOAK_AGENT_IP;
  const struct soak_process *sender
      = from_agent ? &soak_.agents[from_ip - SOAK_AGENT_IP]
                   : &soak_.balancers[from_ip - SOAK_BALANCER_IP];

  soak_.resets++;
  caller->done = true;
  if (caller->open && backend->alive
      && GPOINTER_TO_UINT (g_hash_table_lookup (
             backend->flows, GUINT_TO_POINTER (caller->port)))
             == caller->number
      && !was_in_trouble_ (sender)
      && !was_in_trouble_ (&soak_.agents[caller->backend]))
    broken_ ("open flow %u at backend %zu reset by %s %u", caller->port,
             caller->backend, from_agent ? "agent" : "balancer",
             from_ip & 0xff);
}

static void
on_caller_packet_ (struct rgy_endpoint from, struct rgy_bytes data, void *ctx)
{
  struct rgy_segment segment;
  struct caller_ *caller = NULL;
  guint i;

  (void)ctx;
  if (rgy_packet_decode (data, true, &segment) != RGY_OK)
    {
      broken_ ("caller got no packet");
      return;
    }
  for (i = 0; i < soak_.callers->len && caller == NULL; i++)
    {
      struct caller_ *at = g_ptr_array_index (soak_.callers, i);

      if (at->port == segment.key.u.segment.caller.port)
        caller = at;
    }
  if (caller == NULL || caller->done)
    return;
  if ((segment.flags & RGY_SEGMENT_RST) != 0)
    on_reset_ (caller, from.ip);
  else if ((segment.flags & RGY_SEGMENT_SYN) != 0 && !caller->open)
    {
      caller->open = true;
      caller->number = segment.seq;
      caller->backend = from.ip - SOAK_AGENT_IP;
      caller->repeats = 0;
      caller->next_us = soak_.now_us;
      soak_.opened++;
      soak_.calm_opened += soak_.calm;
    }
  else if (caller->open && caller->asked && segment.payload_len > 0)
    {
      caller->asked = false;
      caller->repeats = 0;
      caller->next_us = soak_.now_us + REQUEST_US;
      soak_.answered++;
    }
}

/* Backend servers.  */

static void
send_backend_ (size_t i, const uint8_t *packet, size_t len)
{
  (void)rgy_udp_send (soak_.backends[i].udp,
                      (struct rgy_endpoint){ .ip = SOAK_AGENT_IP + (uint32_t)i,
                                             .port = SOAK_OUTBOUND_PORT },
                      (struct rgy_bytes){ .data = packet, .len = len });
}

static void
check_opening_ (size_t i)
{
  const struct backend_ *backend = &soak_.backends[i];
  bool troubled = was_in_trouble_ (&soak_.agents[i]);

  if (backend->draining && backend->drained_us != 0
      && soak_.now_us - backend->drained_us > DRAIN_US && !troubled)
    broken_ ("new flow at draining backend %zu", i);
  if (i % 2 == 0 && soak_.domain_out_us != 0
      && soak_.now_us - soak_.domain_out_us > EVACUATE_US && !troubled)
    broken_ ("new flow at backend %zu of a domain out of service", i);
}

static void
on_backend_packet_ (struct rgy_endpoint from, struct rgy_bytes data, void *ctx)
{
  struct backend_ *backend = ctx;
  size_t i = (size_t)(backend - soak_.backends);
  uint8_t out[RGY_PACKET_MAX_BYTES];
  struct rgy_segment segment;
  struct caller_ end = { 0 };
  uint32_t number;
  void *key;

  (void)from;
  if (!backend->alive)
    return;
  if (rgy_packet_decode (data, false, &segment) != RGY_OK)
    {
      broken_ ("backend %zu got no packet", i);
      return;
    }
  end.port = segment.key.u.segment.caller.port;
  key = GUINT_TO_POINTER (end.port);
  number = GPOINTER_TO_UINT (g_hash_table_lookup (backend->flows, key));
  if (rgy_segment_is_opening (&segment))
    {
      if (number == 0)
        {
          check_opening_ (i);
          number = (uint32_t)g_rand_int_range (soak_.rand, 1, G_MAXINT);
          g_hash_table_insert (backend->flows, key, GUINT_TO_POINTER (number));
        }
      send_backend_ (i, out,
                     build_ (out, &end, true, SYN | ACK, number, 0, 0));
    }
  else if (number == 0 || segment.ack != number + 1)
    {
      memcpy (out, data.data, data.len);
      out[0] |= BOUNCED;
      memset (out + 1, 0, 5);
      send_backend_ (i, out, data.len);
    }
  else if ((segment.flags & RGY_SEGMENT_FIN) != 0)
    {
      g_hash_table_remove (backend->flows, key);
      send_backend_ (i, out, build_ (out, &end, true, FIN | ACK, 0, 0, 0));
    }
  else
    send_backend_ (i, out, build_ (out, &end, true, ACK, 0, 0, 200));
}

static void
on_heartbeat_answer_ (enum rgy_outcome outcome, unsigned status,
                      struct rgy_bytes body, void *ctx)
{
  struct backend_ *backend = ctx;

  (void)body;
  if (outcome == RGY_OK && status == 200 && backend->draining
      && backend->drained_us == 0)
    backend->drained_us = soak_.now_us;
}

static void
report_ (size_t i, const char *verb)
{
  struct backend_ *backend = &soak_.backends[i];
  char *target;
  char *body;

  if (rgy_http_client_is_busy (backend->heartbeats))
    return;
  target = g_strdup_printf ("/instances/i-%zu-%u/%s", i, backend->generation,
                            verb);
  body = g_strdup_printf (
      "{\"service\":\"%s\",\"concurrency\":4,\"state\":\"%s\","
      "\"warmup_left_ms\":0,\"seq\":%" G_GUINT64_FORMAT ",\"born\":%u}",
      i < SOAK_WORKSHOP ? "workshop" : "catalogue",
      backend->draining ? "draining" : "ready", ++backend->seq,
      1000 + backend->generation);
  rgy_http_client_call (backend->heartbeats, "POST", target,
                        (struct rgy_bytes){ .data = (const uint8_t *)body,
                                            .len = strlen (body) },
                        1000, on_heartbeat_answer_, backend);
  g_free (body);
  g_free (target);
}

static void
serve_health_ (const struct rgy_http_request *request,
               struct rgy_http_response *response, void *ctx)
{
  (void)request;
  (void)ctx;
  response->status = 200;
}

static void
end_backend_ (size_t i)
{
  struct backend_ *backend = &soak_.backends[i];

  backend->alive = false;
  rgy_http_delete (backend->health);
  backend->health = NULL;
}

static void
start_backend_ (size_t i)
{
  struct backend_ *backend = &soak_.backends[i];

  g_hash_table_remove_all (backend->flows);
  backend->alive = true;
  if (backend->health == NULL)
    backend->health = rgy_http_new (
        &soak_.loop,
        (struct rgy_endpoint){ .ip = SOAK_AGENT_IP + (uint32_t)i,
                               .port = SOAK_APP_PORT },
        serve_health_, NULL);
  if (backend->health == NULL)
    broken_ ("backend %zu cannot listen", i);
  backend->draining = false;
  backend->drained_us = 0;
  backend->generation++;
  backend->seq = 0;
  backend->heartbeat_us = soak_.now_us;
}

/* Faults.  */

static void
set_manifest_ (uint32_t catalogue)
{
  char *text = g_strdup_printf (
      "{\"version\":%" G_GUINT64_FORMAT
      ",\"routes\":[{\"hostname\":\"198.18.0.1\",\"prefix\":\"/443/\","
      "\"traffic_split\":[{\"service\":\"workshop\",\"weight\":10},"
      "{\"service\":\"catalogue\",\"weight\":%u}]}],\"services\":[]}",
      ++soak_.version, catalogue);

  soak_store_put ("op/config", text);
  g_free (text);
}

static void
restart_later_ (size_t slot, int64_t delay_us)
{
  soak_.restart_us[slot] = soak_.now_us + delay_us;
}

static struct soak_process *
process_ (size_t slot)
{
  return slot < SOAK_BALANCERS ? &soak_.balancers[slot]
                               : &soak_.agents[slot - SOAK_BALANCERS];
}

static int64_t
pick_us_ (int from_ms, int to_ms)
{
  return g_rand_int_range (soak_.rand, from_ms, to_ms) * RGY_US_PER_MS;
}

static void
fault_ (void)
{
  size_t slot
      = (size_t)g_rand_int_range (soak_.rand, 0, SOAK_BALANCERS + SOAK_AGENTS);
  size_t b = (size_t)g_rand_int_range (soak_.rand, 0, SOAK_AGENTS);
  struct soak_process *process = process_ (slot);

  switch (g_rand_int_range (soak_.rand, 0, 10))
    {
    case 0:
      note_ ("kill", slot);
      process->troubled_us = soak_.now_us;
      soak_process_signal (process, SIGKILL);
      restart_later_ (slot, pick_us_ (50, 1500));
      return;
    case 1:
      if (process->pid == 0 || process->paused)
        return;
      note_ ("pause", slot);
      process->troubled_us = soak_.now_us;
      soak_process_signal (process, SIGSTOP);
      restart_later_ (slot, pick_us_ (200, 3000));
      return;
    case 2:
    case 3:
      if (process->pid == 0 || process->paused || soak_.restart_us[slot] != 0)
        return;
      note_ ("stop", slot);
      soak_process_signal (process, SIGTERM);
      restart_later_ (slot, pick_us_ (300, 2500));
      return;
    case 4:
      note_ ("drain", b);
      soak_.backends[b].draining = true;
      report_ (b, "heartbeat");
      return;
    case 5:
      note_ ("backend ends", b);
      if (g_rand_boolean (soak_.rand))
        report_ (b, "deregister");
      end_backend_ (b);
      return;
    case 6:
      note_ ("weights", b);
      set_manifest_ ((uint32_t)g_rand_int_range (soak_.rand, 0, 3) * 5);
      return;
    case 7:
      if (soak_.store_back_us != 0)
        return;
      note_ ("store", b);
      if (g_rand_boolean (soak_.rand))
        soak_store_compact ();
      if (g_rand_boolean (soak_.rand))
        soak_store_revoke ();
      soak_store_set_mode ((enum soak_store_mode)g_rand_int_range (
          soak_.rand, SOAK_STORE_BUSY, SOAK_STORE_MODES));
      soak_.store_back_us = soak_.now_us + pick_us_ (500, 4000);
      return;
    case 8:
      if (soak_.domain_back_us != 0 || soak_.store_back_us != 0)
        return;
      note_ ("domain out", 0);
      soak_store_put ("op/evacuate/domain-a", "{}");
      soak_.domain_out_us = soak_.now_us;
      soak_.domain_back_us = soak_.now_us + pick_us_ (2000, 8000);
      return;
    default:
      note_ ("SIGHUP", slot);
      if (process->pid != 0)
        soak_process_signal (process, SIGHUP);
      return;
    }
}

/* Time.  */

static void
on_ready_ (enum rgy_outcome outcome, unsigned status, struct rgy_bytes body,
           void *ctx)
{
  size_t i = GPOINTER_TO_SIZE (ctx);

  (void)body;
  soak_.misses[i]
      = outcome == RGY_OK && status == 200 ? 0 : soak_.misses[i] + 1;
}

static void
ask_ready_ (void)
{
  size_t i;

  for (i = 0; i < SOAK_BALANCERS; i++)
    if (!rgy_http_client_is_busy (soak_.ready_calls[i]))
      rgy_http_client_call (soak_.ready_calls[i], "GET", "/ready",
                            (struct rgy_bytes){ 0 }, 400, on_ready_,
                            GSIZE_TO_POINTER (i));
}

static void
step_processes_ (void)
{
  size_t slot;

  for (slot = 0; slot < SOAK_BALANCERS + SOAK_AGENTS; slot++)
    {
      struct soak_process *process = process_ (slot);

      if (process->paused && process->pid != 0)
        process->troubled_us = soak_.now_us;
      if (soak_.restart_us[slot] == 0 || soak_.now_us < soak_.restart_us[slot])
        {
          if (soak_.restart_us[slot] == 0 && soak_process_has_ended (process))
            restart_later_ (slot, 100 * RGY_US_PER_MS);
          continue;
        }
      if (process->paused)
        soak_process_signal (process, SIGCONT);
      else if (!soak_process_has_ended (process))
        continue;
      else
        soak_process_start (process, false);
      soak_.restart_us[slot] = 0;
    }
}

static void
end_faults_ (void)
{
  size_t i;

  soak_.calm = true;
  soak_store_set_mode (SOAK_STORE_SERVES);
  soak_.store_back_us = 0;
  soak_store_delete ("op/evacuate/domain-a");
  soak_.domain_back_us = 0;
  soak_.domain_out_us = 0;
  for (i = 0; i < SOAK_AGENTS; i++)
    if (!soak_.backends[i].alive || soak_.backends[i].draining)
      start_backend_ (i);
}

static void
step_backends_ (void)
{
  size_t i;

  for (i = 0; i < SOAK_AGENTS; i++)
    {
      struct backend_ *backend = &soak_.backends[i];

      if (backend->alive && soak_.now_us >= backend->heartbeat_us)
        {
          report_ (i, "heartbeat");
          backend->heartbeat_us = soak_.now_us + HEARTBEAT_US;
        }
      if (!soak_.calm && (!backend->alive || backend->draining)
          && g_rand_double (soak_.rand) < 0.003)
        {
          note_ ("backend starts", i);
          start_backend_ (i);
        }
    }
}

static void
on_tick_ (uv_timer_t *timer)
{
  guint i;

  soak_.now_us = (int64_t)(uv_hrtime () / 1000);
  step_processes_ ();
  step_backends_ ();
  if (soak_.now_us >= soak_.ready_us)
    {
      soak_.ready_us = soak_.now_us + READY_US;
      ask_ready_ ();
    }
  if (soak_.store_back_us != 0 && soak_.now_us >= soak_.store_back_us)
    {
      soak_store_set_mode (SOAK_STORE_SERVES);
      soak_.store_back_us = 0;
    }
  if (soak_.domain_back_us != 0 && soak_.now_us >= soak_.domain_back_us)
    {
      soak_store_delete ("op/evacuate/domain-a");
      soak_.domain_back_us = 0;
      soak_.domain_out_us = 0;
    }
  /* An unstable store stretches the bound on evacuations.  */
  if (soak_.store_back_us != 0 && soak_.domain_out_us != 0)
    soak_.domain_out_us = soak_.now_us;
  if (!soak_.calm && soak_.now_us > soak_.end_us - CALM_US)
    end_faults_ ();
  if (!soak_.calm && soak_.now_us >= soak_.next_fault_us)
    {
      fault_ ();
      soak_.next_fault_us = soak_.now_us + pick_us_ (50, 900);
    }
  while (soak_.now_us >= soak_.next_flow_us)
    {
      begin_flow_ ();
      soak_.next_flow_us += RGY_US_PER_S / FLOWS_PER_S;
    }
  for (i = 0; i < soak_.callers->len; i++)
    step_caller_ (g_ptr_array_index (soak_.callers, i));
  if (soak_.now_us >= soak_.end_us)
    uv_stop (timer->loop);
}

/* Set-up.  */

static bool
set_up_ (void)
{
  const char *why = "";
  size_t i;

  soak_store_start (&soak_.loop);
  set_manifest_ (5);
  soak_.caller_udp = rgy_udp_bind (
      &soak_.loop,
      (struct rgy_endpoint){ .ip = SOAK_CALLER_IP, .port = SOAK_PACKETS_PORT },
      on_caller_packet_, NULL, &why);
  for (i = 0; i < SOAK_AGENTS; i++)
    {
      struct backend_ *backend = &soak_.backends[i];
      uint32_t ip = SOAK_AGENT_IP + (uint32_t)i;

      backend->flows = g_hash_table_new (g_direct_hash, g_direct_equal);
      backend->heartbeats = rgy_http_client_new (
          &soak_.loop,
          (struct rgy_endpoint){ .ip = ip, .port = SOAK_CONTROL_PORT });
      backend->udp = rgy_udp_bind (
          &soak_.loop,
          (struct rgy_endpoint){ .ip = ip, .port = SOAK_APP_PORT },
          on_backend_packet_, backend, &why);
      if (backend->udp == NULL)
        break;
      start_backend_ (i);
      soak_.agents[i] = (struct soak_process){ .agent = true, .index = i };
      soak_process_start (&soak_.agents[i], true);
    }
  for (i = 0; i < SOAK_BALANCERS; i++)
    {
      soak_.ready_calls[i] = rgy_http_client_new (
          &soak_.loop,
          (struct rgy_endpoint){ .ip = SOAK_BALANCER_IP + (uint32_t)i,
                                 .port = SOAK_READY_PORT });
      soak_.misses[i] = 2;
      soak_.balancers[i] = (struct soak_process){ .index = i };
      soak_process_start (&soak_.balancers[i], true);
    }
  if (soak_.caller_udp != NULL && *why == '\0')
    return true;
  fprintf (stderr, "soak: %s\n", why);
  return false;
}

static void
tear_down_ (bool keep)
{
  size_t slot;

  for (slot = 0; slot < SOAK_BALANCERS + SOAK_AGENTS; slot++)
    soak_process_signal (process_ (slot), SIGKILL);
  soak_store_stop ();
  if (keep)
    fprintf (stderr, "soak: logs are in %s\n", soak_process_folder ());
  else
    soak_process_clean ();
}

int
main (int argc, char **argv)
{
  static gint seed = 1;
  static gint seconds = 30;
  static gint instance = 0;
  GOptionEntry entries[]
      = { { "seed", 's', 0, G_OPTION_ARG_INT, &seed, "Seed of the faults",
            "N" },
          { "seconds", 't', 0, G_OPTION_ARG_INT, &seconds, "Length of the run",
            "N" },
          { "instance", 'i', 0, G_OPTION_ARG_INT, &instance,
            "Number that keeps the addresses of parallel runs apart, 0 to 250",
            "N" },
          { 0 } };
  GOptionContext *context
      = g_option_context_new ("- run the programs under faults");
  GError *error = NULL;
  uv_timer_t timer;
  bool served;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "soak: %s\n", error->message);
      return 2;
    }
  g_option_context_free (context);
  soak_instance = (unsigned)CLAMP (instance, 0, 250);
  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&soak_.loop);
  soak_.rand = g_rand_new_with_seed ((guint32)seed);
  soak_.callers = g_ptr_array_new_with_free_func (g_free);
  soak_.now_us = (int64_t)(uv_hrtime () / 1000);
  soak_.next_port = 10000;
  if (!set_up_ ())
    {
      tear_down_ (false);
      return 2;
    }
  soak_.next_flow_us = soak_.now_us + 2 * RGY_US_PER_S;
  soak_.next_fault_us = soak_.now_us + WARM_UP_US;
  soak_.end_us = soak_.now_us + WARM_UP_US + CALM_US + seconds * RGY_US_PER_S;
  uv_timer_init (&soak_.loop, &timer);
  uv_timer_start (&timer, on_tick_, TICK_MS, TICK_MS);
  uv_run (&soak_.loop, UV_RUN_DEFAULT);
  /* Flows begun in the last second may still be opening.  */
  served = soak_.calm_opened + FLOWS_PER_S * 3 > soak_.calm_begun;
  if (!served)
    broken_ ("after the faults %u of %u new flows opened", soak_.calm_opened,
             soak_.calm_begun);
  tear_down_ (soak_.broken > 0);
  printf ("soak seed %d: %u flows opened, %u answers, %u resets, %u broken\n",
          seed, soak_.opened, soak_.answered, soak_.resets, soak_.broken);
  return soak_.broken > 0;
}
