#include "rig.h"

#include <glib-unix.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEARTBEAT_MS 1200
#define ACK_TIMEOUT_MS 1000
#define WORK_MS 20
#define RETRY_MS 200
#define MAX_RETRY_MS 1600
#define MAX_RETRIES 8
/* Time after which a host discards an idle flow: `idle_timeout_ms` of the
   manifests.  */
#define IDLE_S 15.0
#define IDLE_CHECK_MS 100

/* A flow at a host.  */
struct host_flow_
{
  struct rig_host *host;
  struct rig_packet caller; /* Ends of the flow, from the first packet.  */
  uint32_t first_seq;       /* The host's first sequence number.  */
  uint32_t next_seq;        /* The host's next one.  */
  uint32_t caller_next;     /* The caller's next one.  */
  bool open;
  bool ended;
  char *request; /* The request that is at work.  */
  char *answer;  /* Not acknowledged yet.  */
  unsigned retries;
  guint timer;
  double active_s; /* Time of the last packet.  */
};

struct rig_host rig_hosts[RIG_MAX_HOSTS];
void (*rig_on_arrival) (const struct rig_arrival *arrival);

static gpointer
make_key_ (const struct rig_packet *packet)
{
  return GUINT_TO_POINTER ((guint)packet->sport << 16 | packet->dport);
}

static void
send_on_flow_ (const struct host_flow_ *flow, uint8_t flags, uint32_t seq,
               const char *data)
{
  struct rig_packet packet
      = { .flags = flags,
          .seq = seq,
          .ack = flow->caller_next,
          .src = flow->caller.dst,
          .sport = flow->caller.dport,
          .dst = flow->caller.src,
          .dport = flow->caller.sport,
          .len = (uint16_t)(data == NULL ? 0 : strlen (data)),
          .data = data };
  uint8_t out[RIG_PACKET_BYTES];

  rig_send (flow->host->udp, rig_host_ip (flow->host->index),
            rig_port (RIG_PORT_OUTBOUND), out,
            rig_packet_build (&packet, out));
}

static void
free_flow_ (void *data)
{
  struct host_flow_ *flow = data;

  if (flow->timer != 0)
    g_source_remove (flow->timer);
  g_free (flow->request);
  g_free (flow->answer);
  g_free (flow);
}

static gboolean
on_answer_retry_ (gpointer data)
{
  struct host_flow_ *flow = data;

  flow->timer = 0;
  if (flow->answer == NULL || flow->retries++ == MAX_RETRIES)
    return G_SOURCE_REMOVE;
  send_on_flow_ (flow, RIG_ACK,
                 flow->next_seq - (uint32_t)strlen (flow->answer),
                 flow->answer);
  flow->timer = g_timeout_add (MIN (RETRY_MS << flow->retries, MAX_RETRY_MS),
                               on_answer_retry_, flow);
  return G_SOURCE_REMOVE;
}

static gboolean
on_work_done_ (gpointer data)
{
  struct host_flow_ *flow = data;
  const char *id = strstr (flow->request, "X-Request-Id: ");
  char *body = g_strdup_printf ("host %zu boot %u %.*s\n", flow->host->index,
                                flow->host->boot, (int)strcspn (id + 14, "\r"),
                                id + 14);

  flow->answer = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Response-Signature: %08x\r\nContent-Length: %zu"
      "\r\n\r\n%s",
      g_str_hash (body), strlen (body), body);
  rig_record ("run host=%zu %.*s", flow->host->index, (int)strcspn (id, "\r"),
              id);
  g_clear_pointer (&flow->request, g_free);
  flow->next_seq += (uint32_t)strlen (flow->answer);
  flow->retries = 0;
  send_on_flow_ (flow, RIG_ACK,
                 flow->next_seq - (uint32_t)strlen (flow->answer),
                 flow->answer);
  flow->timer = g_timeout_add (RETRY_MS, on_answer_retry_, flow);
  g_free (body);
  return G_SOURCE_REMOVE;
}

static void
bounce_ (const struct rig_host *host, const uint8_t *data, size_t len)
{
  uint8_t out[RIG_PACKET_BYTES];

  memcpy (out, data, len);
  out[0] |= RIG_BOUNCED;
  memset (out + 1, 0, 5);
  rig_send (host->udp, rig_host_ip (host->index), rig_port (RIG_PORT_OUTBOUND),
            out, len);
}

static void
accept_flow_ (struct rig_host *host, const struct rig_packet *packet)
{
  struct host_flow_ *flow
      = g_hash_table_lookup (host->flows, make_key_ (packet));

  if (flow == NULL)
    {
      struct rig_arrival arrival = { .sent_s = rig_flow_sent_s (packet->sport),
                                     .arrived_s = rig_now (),
                                     .host = host->index,
                                     .route_port = packet->dport };

      flow = g_new0 (struct host_flow_, 1);
      flow->host = host;
      flow->caller = *packet;
      flow->caller.data = NULL;
      flow->first_seq = g_random_int ();
      flow->next_seq = flow->first_seq + 1;
      flow->caller_next = packet->seq + 1;
      g_hash_table_insert (host->flows, make_key_ (packet), flow);
      rig_record ("arrival host=%zu service=%s flow=%u route=%u", host->index,
                  host->service, packet->sport, packet->dport);
      if (rig_on_arrival != NULL)
        rig_on_arrival (&arrival);
    }
  flow->active_s = rig_now ();
  send_on_flow_ (flow, RIG_SYN | RIG_ACK, flow->first_seq, NULL);
}

static gboolean
is_idle_ (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  (void)data;
  return rig_now () - ((struct host_flow_ *)value)->active_s > IDLE_S;
}

static gboolean
on_idle_timer_ (gpointer data)
{
  struct rig_host *host = data;

  g_hash_table_foreach_remove (host->flows, is_idle_, NULL);
  return G_SOURCE_CONTINUE;
}

/* Takes data of a caller: a request, or a repetition of one.  */
static void
take_data_ (struct host_flow_ *flow, const struct rig_packet *packet)
{
  if (packet->seq == flow->caller_next && flow->request == NULL
      && flow->answer == NULL)
    {
      flow->caller_next += packet->len;
      flow->request = g_strndup (packet->data, packet->len);
      flow->timer = g_timeout_add (WORK_MS, on_work_done_, flow);
    }
  send_on_flow_ (
      flow, RIG_ACK,
      flow->next_seq
          - (uint32_t)(flow->answer == NULL ? 0 : strlen (flow->answer)),
      NULL);
}

static void
take_packet_ (struct host_flow_ *flow, const struct rig_packet *packet)
{
  if ((packet->flags & RIG_RST) != 0)
    {
      g_hash_table_remove (flow->host->flows, make_key_ (packet));
      return;
    }
  flow->open = true;
  flow->active_s = rig_now ();
  if (flow->answer != NULL && packet->ack == flow->next_seq)
    {
      g_clear_pointer (&flow->answer, g_free);
      if (flow->timer != 0)
        g_source_remove (flow->timer);
      flow->timer = 0;
    }
  if (packet->len > 0)
    take_data_ (flow, packet);
  if ((packet->flags & RIG_FIN) == 0 || packet->seq != flow->caller_next)
    return;
  flow->caller_next++;
  flow->ended = true;
  send_on_flow_ (flow, RIG_FIN | RIG_ACK, flow->next_seq, NULL);
}

static gboolean
on_packet_ (gint fd, GIOCondition condition, gpointer data)
{
  struct rig_host *host = data;
  uint8_t in[RIG_PACKET_BYTES];
  ssize_t n = recv (fd, in, sizeof in, 0);
  struct rig_packet packet;
  struct host_flow_ *flow;

  (void)condition;
  if (n < 0 || !rig_packet_parse (in, (size_t)n, &packet))
    return G_SOURCE_CONTINUE;
  if (!packet.intact)
    {
      rig_counts.foreign++;
      rig_record ("host=%zu got a packet that its sender didn't write",
                  host->index);
      return G_SOURCE_CONTINUE;
    }
  if ((packet.flags & (RIG_SYN | RIG_ACK)) == RIG_SYN)
    {
      accept_flow_ (host, &packet);
      return G_SOURCE_CONTINUE;
    }
  flow = g_hash_table_lookup (host->flows, make_key_ (&packet));
  if (flow == NULL || (!flow->open && packet.ack - flow->first_seq != 1))
    bounce_ (host, in, (size_t)n);
  else if (flow->ended)
    send_on_flow_ (flow, packet.len > 0 ? RIG_RST : RIG_ACK, flow->next_seq,
                   NULL);
  else
    take_packet_ (flow, &packet);
  return G_SOURCE_CONTINUE;
}

static void
on_health_ (struct rig_connection *connection, const char *method,
            const char *target, const char *body)
{
  (void)method;
  (void)target;
  (void)body;
  rig_http_answer (connection, 200, "{}");
}

struct beat_
{
  struct rig_host *host;
  bool draining;
};

static void
on_beat_answer_ (unsigned status, void *ctx)
{
  struct beat_ *beat = ctx;
  struct rig_host *host = beat->host;

  if (status != 200)
    rig_record ("heartbeat of host=%zu not acknowledged, status=%u",
                host->index, status);
  else if (beat->draining && host->drain_acked_s <= 0)
    {
      host->drain_acked_s = rig_now ();
      rig_record ("draining of host=%zu acknowledged", host->index);
    }
  g_free (beat);
}

static gboolean
on_beat_timer_ (gpointer data)
{
  struct rig_host *host = data;
  struct beat_ *beat = g_new0 (struct beat_, 1);
  char *target = g_strdup_printf ("/instances/i-%zu-%u/heartbeat", host->index,
                                  host->boot);
  char *body = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
      "\"version\":\"v1\",\"concurrency\":4,\"state\":\"%s\","
      "\"warmup_left_ms\":0,\"seq\":%" G_GUINT64_FORMAT
      ",\"born\":%" G_GINT64_FORMAT "}",
      host->service, rig_ip_text (rig_host_ip (host->index)),
      rig_port (RIG_PORT_APP), host->zone,
      host->draining ? "draining" : "ready", host->seq++, host->born_ms);

  beat->host = host;
  beat->draining = host->draining;
  rig_http_call (rig_host_ip (host->index), rig_port (RIG_PORT_CONTROL),
                 "POST", target, body, ACK_TIMEOUT_MS, on_beat_answer_, beat);
  g_free (body);
  g_free (target);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_first_beat_ (gpointer data)
{
  struct rig_host *host = data;

  on_beat_timer_ (host);
  host->beat_timer = g_timeout_add (HEARTBEAT_MS, on_beat_timer_, host);
  return G_SOURCE_REMOVE;
}

void
rig_host_start (size_t i, const char *service, const char *zone,
                unsigned first_seq, double first_beat_s)
{
  struct rig_host *host = &rig_hosts[i];

  host->index = i;
  host->service = service;
  host->zone = zone;
  host->alive = true;
  host->boot++;
  host->born_ms = g_get_real_time () / 1000;
  host->seq = first_seq;
  host->flows = g_hash_table_new_full (NULL, NULL, NULL, free_flow_);
  host->udp = rig_bind (SOCK_DGRAM, rig_host_ip (i), rig_port (RIG_PORT_APP));
  if (host->udp < 0)
    rig_cannot_run ("cannot bind a host");
  host->udp_watch = g_unix_fd_add (host->udp, G_IO_IN, on_packet_, host);
  host->health
      = rig_http_listen (rig_host_ip (i), rig_port (RIG_PORT_APP), on_health_);
  host->idle_timer = g_timeout_add (IDLE_CHECK_MS, on_idle_timer_, host);
  rig_record ("start host=%zu service=%s zone=%s", i, service, zone);
  host->beat_timer
      = g_timeout_add ((guint)(first_beat_s * 1e3), on_first_beat_, host);
}

void
rig_host_drain (size_t i)
{
  rig_hosts[i].draining = true;
  rig_record ("draining host=%zu", i);
  on_beat_timer_ (&rig_hosts[i]);
}

void
rig_host_crash (size_t i)
{
  struct rig_host *host = &rig_hosts[i];

  rig_record ("crash host=%zu", i);
  host->alive = false;
  g_source_remove (host->udp_watch);
  g_source_remove (host->beat_timer);
  g_source_remove (host->idle_timer);
  close (host->udp);
  rig_http_stop (host->health);
  g_hash_table_unref (host->flows);
}

struct rig_host *
rig_host_of_flow (uint16_t caller_port, uint32_t service_seq)
{
  GHashTableIter iter;
  void *value;
  size_t i;

  for (i = 0; i < RIG_MAX_HOSTS; i++)
    {
      if (!rig_hosts[i].alive)
        continue;
      g_hash_table_iter_init (&iter, rig_hosts[i].flows);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          const struct host_flow_ *flow = value;

          if (flow->caller.sport == caller_port
              && flow->first_seq == service_seq && flow->open && !flow->ended)
            return &rig_hosts[i];
        }
    }
  return NULL;
}
