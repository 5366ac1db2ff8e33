#include "rig.h"

#include <glib-unix.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define N_ZONES 3
#define READINESS_MS 500
#define READINESS_TIMEOUT_MS 450
#define MISSES 2
/* Address in the heads of packets; nothing is sent there.  */
#define ROUTE_IP 0x7f120001U /* 127.18.0.1 */
#define FIRST_PORT 20000
/* Times after which copies of the first packet are sent, and after which the
   attempt ends.  */
static const guint copy_ms_[] = { 200, 600, 1400 };
#define RETRY_MS 200
#define MAX_RETRY_MS 1600
/* Time limit of a request.  */
#define LIMIT_S 5.0

/* A flow of a client.  */
struct flow_
{
  uint16_t port;
  uint16_t route_port;
  uint32_t first_seq;
  uint32_t next_seq;
  uint32_t service_first_seq;
  uint32_t service_next;
  unsigned copies;
  unsigned requests;
  double pause_s;
  double begun_s;
  double opened_s;
  bool open;
  bool done;
  bool forget;   /* The client forgets the flow instead of closing it.  */
  char *request; /* Not answered yet.  */
  unsigned request_number;
  unsigned retries;
  double request_s;
  guint timer;
};

struct arrivals_
{
  uint16_t route_port;
  double per_s;
  double until_s;
  unsigned requests;
  double pause_s;
};

struct rig_counts rig_counts;
void (*rig_on_refusal) (uint16_t route_port, double sent_s);
void (*rig_on_wrong_reset) (const struct rig_host *host, double opened_s);

static int udp_;
static size_t n_nodes_;
static unsigned misses_[RIG_MAX_NODES];
static GPtrArray *flows_; /* The flow with the port FIRST_PORT comes first.  */

/* Chooses the node for a flow: one of those in the client's zone that are in
   rotation, all of the zone if fewer than half are, or one in another zone. */
static size_t
choose_node_ (uint16_t port)
{
  size_t zone = port % N_ZONES;
  size_t all[RIG_MAX_NODES];
  size_t ready[RIG_MAX_NODES];
  size_t elsewhere[RIG_MAX_NODES];
  size_t n_all = 0;
  size_t n_ready = 0;
  size_t n_elsewhere = 0;
  uint32_t hash = port * 2654435761U >> 8;
  size_t i;

  for (i = 0; i < n_nodes_; i++)
    {
      if (misses_[i] < MISSES && i % N_ZONES != zone)
        elsewhere[n_elsewhere++] = i;
      if (i % N_ZONES != zone)
        continue;
      all[n_all++] = i;
      if (misses_[i] < MISSES)
        ready[n_ready++] = i;
    }
  if (n_ready == 0 && n_elsewhere > 0)
    return elsewhere[hash % n_elsewhere];
  if (n_ready > 0 && n_ready * 2 >= n_all)
    return ready[hash % n_ready];
  return n_all > 0 ? all[hash % n_all] : 0;
}

static void
send_on_flow_ (const struct flow_ *flow, uint8_t flags, uint32_t seq,
               uint32_t ack, const char *data)
{
  struct rig_packet packet
      = { .flags = flags,
          .seq = seq,
          .ack = ack,
          .src = rig_client_ip (),
          .sport = flow->port,
          .dst = ROUTE_IP,
          .dport = flow->route_port,
          .len = (uint16_t)(data == NULL ? 0 : strlen (data)),
          .data = data };
  uint8_t out[RIG_PACKET_BYTES];

  rig_send (udp_, rig_node_ip (choose_node_ (flow->port)),
            rig_port (RIG_PORT_PACKETS), out, rig_packet_build (&packet, out));
}

static void
end_flow_ (struct flow_ *flow)
{
  flow->done = true;
  if (flow->timer != 0)
    g_source_remove (flow->timer);
  flow->timer = 0;
  g_clear_pointer (&flow->request, g_free);
}

static gboolean
on_retry_ (gpointer data)
{
  struct flow_ *flow = data;

  flow->timer = 0;
  if (rig_now () - flow->request_s > LIMIT_S)
    {
      rig_record ("unanswered flow=%u request=%u", flow->port,
                  flow->request_number);
      end_flow_ (flow);
      return G_SOURCE_REMOVE;
    }
  flow->retries++;
  send_on_flow_ (flow, RIG_ACK, flow->next_seq, flow->service_next,
                 flow->request);
  flow->timer = g_timeout_add (
      MIN (RETRY_MS << MIN (flow->retries, 4), MAX_RETRY_MS), on_retry_, flow);
  return G_SOURCE_REMOVE;
}

static gboolean
send_request_ (gpointer data)
{
  struct flow_ *flow = data;

  flow->request_number++;
  flow->request = g_strdup_printf ("POST /r HTTP/1.1\r\nHost: r\r\n"
                                   "X-Request-Id: %u-%u\r\n"
                                   "Content-Length: 0\r\n\r\n",
                                   flow->port, flow->request_number);
  flow->retries = 0;
  flow->request_s = rig_now ();
  rig_counts.sent++;
  rig_record ("sent flow=%u request=%u", flow->port, flow->request_number);
  send_on_flow_ (flow, RIG_ACK, flow->next_seq, flow->service_next,
                 flow->request);
  flow->timer = g_timeout_add (RETRY_MS, on_retry_, flow);
  return G_SOURCE_REMOVE;
}

static gboolean
on_copy_due_ (gpointer data)
{
  struct flow_ *flow = data;

  flow->copies++;
  if (flow->copies == G_N_ELEMENTS (copy_ms_))
    {
      flow->timer = 0;
      rig_counts.unopened++;
      rig_record ("not opened flow=%u route=%u", flow->port, flow->route_port);
      if (rig_on_refusal != NULL)
        rig_on_refusal (flow->route_port, flow->begun_s);
      end_flow_ (flow);
      return G_SOURCE_REMOVE;
    }
  send_on_flow_ (flow, RIG_SYN, flow->first_seq, flow->copies, NULL);
  flow->timer = g_timeout_add (
      copy_ms_[flow->copies] - copy_ms_[flow->copies - 1], on_copy_due_, flow);
  return G_SOURCE_REMOVE;
}

static void
begin_ (struct flow_ *flow, uint16_t route_port, unsigned requests,
        double pause_s)
{
  flow->route_port = route_port;
  flow->first_seq = g_random_int ();
  flow->next_seq = flow->first_seq + 1;
  flow->requests = requests;
  flow->pause_s = pause_s;
  flow->begun_s = rig_now ();
  rig_counts.begun++;
  rig_record ("begin flow=%u route=%u", flow->port, route_port);
  send_on_flow_ (flow, RIG_SYN, flow->first_seq, 0, NULL);
  flow->timer = g_timeout_add (copy_ms_[0], on_copy_due_, flow);
}

uint16_t
rig_open_flow (uint16_t route_port, unsigned requests, double pause_s)
{
  struct flow_ *flow = g_new0 (struct flow_, 1);

  flow->port = (uint16_t)(FIRST_PORT + flows_->len);
  g_ptr_array_add (flows_, flow);
  begin_ (flow, route_port, requests, pause_s);
  return flow->port;
}

void
rig_forget_flow (uint16_t port)
{
  ((struct flow_ *)g_ptr_array_index (flows_, port - FIRST_PORT))->forget
      = true;
}

void
rig_reuse_port (uint16_t port, unsigned requests, double pause_s)
{
  struct flow_ *flow = g_ptr_array_index (flows_, port - FIRST_PORT);
  uint16_t route_port = flow->route_port;

  end_flow_ (flow);
  *flow = (struct flow_){ .port = port };
  begin_ (flow, route_port, requests, pause_s);
}

double
rig_flow_sent_s (uint16_t port)
{
  return port >= FIRST_PORT && port - FIRST_PORT < (int)flows_->len
             ? ((struct flow_ *)g_ptr_array_index (flows_, port - FIRST_PORT))
                   ->begun_s
             : 0;
}

static gboolean
on_arrival_timer_ (gpointer data)
{
  struct arrivals_ *arrivals = data;

  if (rig_now () > arrivals->until_s)
    {
      g_free (arrivals);
      return G_SOURCE_REMOVE;
    }
  rig_open_flow (arrivals->route_port, arrivals->requests, arrivals->pause_s);
  return G_SOURCE_CONTINUE;
}

void
rig_open_flows (uint16_t route_port, double per_s, double until_s,
                unsigned requests, double pause_s)
{
  struct arrivals_ *arrivals = g_new0 (struct arrivals_, 1);

  *arrivals = (struct arrivals_){ .route_port = route_port,
                                  .per_s = per_s,
                                  .until_s = until_s,
                                  .requests = requests,
                                  .pause_s = pause_s };
  g_timeout_add ((guint)(1e3 / per_s), on_arrival_timer_, arrivals);
}

static void
take_reset_ (struct flow_ *flow, const struct rig_packet *packet)
{
  const struct rig_host *host
      = flow->open ? rig_host_of_flow (flow->port, flow->service_first_seq)
                   : NULL;

  if (packet->intact)
    rig_counts.host_resets++;
  else if (!flow->open)
    {
      rig_counts.refused++;
      if (rig_on_refusal != NULL)
        rig_on_refusal (flow->route_port, flow->begun_s);
    }
  else if (host != NULL)
    {
      rig_counts.resets++;
      rig_counts.lost += flow->request != NULL;
      if (rig_on_wrong_reset != NULL)
        rig_on_wrong_reset (host, flow->opened_s);
    }
  rig_record ("reset flow=%u route=%u open=%d by=%s host_serves_it=%d "
              "request_under_way=%d",
              flow->port, flow->route_port, flow->open,
              packet->intact ? "host" : "system", host != NULL,
              flow->request != NULL);
  end_flow_ (flow);
}

static void
take_answer_ (struct flow_ *flow, const struct rig_packet *packet)
{
  char *id = g_strdup_printf (" %u-%u\n", flow->port, flow->request_number);
  char *text = g_strndup (packet->data, packet->len);

  if (flow->request == NULL || packet->seq != flow->service_next
      || packet->ack != flow->next_seq + strlen (flow->request))
    send_on_flow_ (flow, RIG_ACK, flow->next_seq, flow->service_next, NULL);
  else
    {
      if (!g_str_has_suffix (text, id))
        rig_counts.foreign++;
      rig_counts.answered++;
      rig_record ("answered flow=%u request=%u after_ms=%.0f", flow->port,
                  flow->request_number, (rig_now () - flow->request_s) * 1e3);
      flow->next_seq += (uint32_t)strlen (flow->request);
      flow->service_next += packet->len;
      g_clear_pointer (&flow->request, g_free);
      g_source_remove (flow->timer);
      flow->timer = 0;
      if (flow->request_number == flow->requests)
        {
          send_on_flow_ (flow, flow->forget ? RIG_ACK : RIG_FIN | RIG_ACK,
                         flow->next_seq, flow->service_next, NULL);
          end_flow_ (flow);
        }
      else
        {
          send_on_flow_ (flow, RIG_ACK, flow->next_seq, flow->service_next,
                         NULL);
          flow->timer = g_timeout_add ((guint)(flow->pause_s * 1e3),
                                       send_request_, flow);
        }
    }
  g_free (text);
  g_free (id);
}

static void
take_packet_ (const struct rig_packet *packet)
{
  struct flow_ *flow;

  if (packet->dport < FIRST_PORT
      || packet->dport - FIRST_PORT >= (int)flows_->len)
    return;
  flow = g_ptr_array_index (flows_, packet->dport - FIRST_PORT);
  if (!packet->intact && ((packet->flags & RIG_RST) == 0 || packet->sum != 0))
    {
      rig_counts.foreign++;
      return;
    }
  if (flow->done)
    return;
  if ((packet->flags & RIG_RST) != 0)
    take_reset_ (flow, packet);
  else if ((packet->flags & RIG_SYN) != 0)
    {
      if (flow->open)
        return;
      flow->open = true;
      flow->opened_s = rig_now ();
      flow->service_first_seq = packet->seq;
      flow->service_next = packet->seq + 1;
      g_source_remove (flow->timer);
      flow->timer = 0;
      rig_counts.opened++;
      send_request_ (flow);
    }
  else if (packet->len > 0 && flow->open)
    take_answer_ (flow, packet);
}

static gboolean
on_packet_ (gint fd, GIOCondition condition, gpointer data)
{
  uint8_t in[RIG_PACKET_BYTES];
  ssize_t n = recv (fd, in, sizeof in, 0);
  struct rig_packet packet;

  (void)condition;
  (void)data;
  if (n >= 0 && rig_packet_parse (in, (size_t)n, &packet))
    take_packet_ (&packet);
  return G_SOURCE_CONTINUE;
}

static void
on_ready_answer_ (unsigned status, void *ctx)
{
  unsigned *misses = ctx;

  if (status == 200)
    *misses = 0;
  else
    ++*misses;
}

static gboolean
on_readiness_timer_ (gpointer data)
{
  size_t i;

  (void)data;
  for (i = 0; i < n_nodes_; i++)
    rig_http_call (rig_node_ip (i), rig_port (RIG_PORT_READINESS), "GET",
                   "/ready", "", READINESS_TIMEOUT_MS, on_ready_answer_,
                   &misses_[i]);
  return G_SOURCE_CONTINUE;
}

void
rig_clients_start (size_t n_nodes)
{
  n_nodes_ = n_nodes;
  flows_ = g_ptr_array_new ();
  udp_ = rig_bind (SOCK_DGRAM, rig_client_ip (), rig_port (RIG_PORT_PACKETS));
  if (udp_ < 0)
    rig_cannot_run ("cannot bind the clients");
  g_unix_fd_add (udp_, G_IO_IN, on_packet_, NULL);
  on_readiness_timer_ (NULL);
  g_timeout_add (READINESS_MS, on_readiness_timer_, NULL);
}
