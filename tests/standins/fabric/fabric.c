/* Stand-in for the platform's fabric. The program receives datagrams on
   service addresses, prefixes each with a PROXY protocol version 2 header and
   forwards it to a balancer that it draws at random from those that report
   ready. An answer goes back to the caller through the service address.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <uv.h>

#include "ragwortyoke-io/udp.h"
#include "ragwortyoke/proxy.h"
#include "readiness.h"

#define MAX_BALANCERS 512
#define MAX_SERVICES 1024
#define PERCENT 100

struct balancer_
{
  struct rgy_endpoint data; /* Receives the datagrams of the fabric.  */
  bool ready;
  bool is_partitioned; /* Datagrams in both directions are dropped.  */
  uint64_t forwarded;  /* Datagrams forwarded to the balancer.  */
};

struct service_
{
  struct rgy_endpoint address;
  struct rgy_udp *udp;
};

struct fabric_
{
  uv_loop_t loop;
  struct rgy_udp *inside;  /* Socket towards the balancers.  */
  struct rgy_udp *control; /* Socket for control commands, or NULL.  */
  struct balancer_ balancers[MAX_BALANCERS];
  size_t balancer_count;
  struct service_ services[MAX_SERVICES];
  size_t service_count;
  GRand *random;
  GByteArray *datagram; /* Buffer of the forwarded datagram.  */
  gint loss_percent;    /* Percentage of datagrams dropped at random.  */
  uint64_t unroutable;  /* Datagrams received while no balancer was ready.  */
};

static struct fabric_ fabric_;

/* Draws a ready balancer; NULL when there is none.  */
static struct balancer_ *
draw_balancer_ (struct fabric_ *f)
{
  struct balancer_ *ready[MAX_BALANCERS];
  size_t n = 0;
  size_t i;

  for (i = 0; i < f->balancer_count; i++)
    if (f->balancers[i].ready)
      ready[n++] = &f->balancers[i];
  return n == 0 ? NULL : ready[g_rand_int_range (f->random, 0, (gint32)n)];
}

/* Decides at random whether a datagram is dropped.  */
static bool
draw_loss_ (struct fabric_ *f)
{
  return f->loss_percent > 0
         && g_rand_int_range (f->random, 0, PERCENT) < f->loss_percent;
}

/* Forwards a caller's datagram to a balancer.  */
static void
on_caller_datagram_ (struct rgy_endpoint from, struct rgy_bytes data,
                     void *ctx)
{
  struct service_ *s = ctx;
  struct fabric_ *f = &fabric_;
  struct balancer_ *b = draw_balancer_ (f);
  uint8_t header[RGY_PROXY_HEADER_BYTES];

  if (b == NULL)
    {
      f->unroutable++;
      return;
    }
  if (b->is_partitioned || draw_loss_ (f))
    return;
  rgy_proxy_write (header, from, s->address);
  g_byte_array_set_size (f->datagram, 0);
  g_byte_array_append (f->datagram, header, sizeof header);
  g_byte_array_append (f->datagram, data.data, (guint)data.len);
  b->forwarded++;
  rgy_udp_send (f->inside, b->data,
                (struct rgy_bytes){ .data = f->datagram->data,
                                    .len = f->datagram->len });
}

/* Returns a balancer's datagram to the caller.  */
static void
on_balancer_datagram_ (struct rgy_endpoint from, struct rgy_bytes data,
                       void *ctx)
{
  struct fabric_ *f = ctx;
  struct rgy_endpoint source;
  struct rgy_endpoint destination;
  struct rgy_bytes payload;
  size_t i;

  for (i = 0; i < f->balancer_count; i++)
    if (f->balancers[i].is_partitioned
        && rgy_endpoint_equal (f->balancers[i].data, from))
      return;
  if (draw_loss_ (f)
      || rgy_proxy_parse (data, &source, &destination, &payload) != RGY_OK)
    return;
  for (i = 0; i < f->service_count; i++)
    if (rgy_endpoint_equal (f->services[i].address, source))
      rgy_udp_send (f->services[i].udp, destination, payload);
}

/* Runs the control command in a datagram: "cut N" partitions balancer N from
   the fabric, "heal N" ends the partition, "loss PERCENT" sets the
   share of dropped datagrams, and "counts" returns the counters, with "!"
   after a balancer that is not ready.  */
static void
on_control_datagram_ (struct rgy_endpoint from, struct rgy_bytes data,
                      void *ctx)
{
  struct fabric_ *f = ctx;
  char *text = g_strndup ((const char *)data.data, data.len);
  GString *answer = g_string_new ("ok");
  unsigned n = 0;
  size_t i;

  if (sscanf (text, "cut %u", &n) == 1 && n < f->balancer_count)
    f->balancers[n].is_partitioned = true;
  else if (sscanf (text, "heal %u", &n) == 1 && n < f->balancer_count)
    f->balancers[n].is_partitioned = false;
  else if (sscanf (text, "loss %u", &n) == 1 && n <= PERCENT)
    f->loss_percent = (gint)n;
  else if (g_str_has_prefix (text, "counts"))
    {
      g_string_printf (answer, "unroutable %" G_GUINT64_FORMAT, f->unroutable);
      for (i = 0; i < f->balancer_count; i++)
        g_string_append_printf (answer, " %" G_GUINT64_FORMAT "%s",
                                f->balancers[i].forwarded,
                                f->balancers[i].ready ? "" : "!");
    }
  else
    g_string_assign (answer, "unknown command");
  rgy_udp_send (f->control, from,
                (struct rgy_bytes){ .data = (const uint8_t *)answer->str,
                                    .len = answer->len });
  g_string_free (answer, TRUE);
  g_free (text);
}

static void
on_readiness_changed_ (bool ready, void *ctx)
{
  struct balancer_ *b = ctx;
  char text[RGY_ENDPOINT_TEXT_BYTES];

  b->ready = ready;
  printf ("balancer %s %s\n", rgy_endpoint_format (b->data, text),
          ready ? "ready" : "not-ready");
  fflush (stdout);
}

/* Adds a balancer given as DATA,HTTP.  */
static bool
add_balancer_ (struct fabric_ *f, const char *text)
{
  gchar **parts = g_strsplit (text, ",", 2);
  struct balancer_ *b = &f->balancers[f->balancer_count];
  struct rgy_endpoint http;
  bool ok
      = f->balancer_count < MAX_BALANCERS && parts[0] != NULL
        && parts[1] != NULL
        && rgy_endpoint_parse (rgy_str_from_c (parts[0]), &b->data) == RGY_OK
        && rgy_endpoint_parse (rgy_str_from_c (parts[1]), &http) == RGY_OK;

  g_strfreev (parts);
  if (!ok)
    return false;
  f->balancer_count++;
  readiness_new (&f->loop, http, on_readiness_changed_, b);
  return true;
}

static bool
add_service_ (struct fabric_ *f, const char *text)
{
  struct service_ *s = &f->services[f->service_count];
  const char *why = "";

  if (f->service_count == MAX_SERVICES
      || rgy_endpoint_parse (rgy_str_from_c (text), &s->address) != RGY_OK)
    return false;
  s->udp = rgy_udp_bind (&f->loop, s->address, on_caller_datagram_, s, &why);
  if (s->udp == NULL)
    return false;
  f->service_count++;
  return true;
}

static struct rgy_udp *
bind_socket_ (struct fabric_ *f, const char *text, rgy_udp_receive_fn receive)
{
  struct rgy_endpoint endpoint;
  const char *why = "";

  if (text == NULL
      || rgy_endpoint_parse (rgy_str_from_c (text), &endpoint) != RGY_OK)
    return NULL;
  return rgy_udp_bind (&f->loop, endpoint, receive, f, &why);
}

int
main (int argc, char **argv)
{
  struct fabric_ *f = &fabric_;
  gchar *inside = NULL;
  gchar *control = NULL;
  gchar **services = NULL;
  gchar **balancers = NULL;
  gint seed = 1;
  GOptionEntry options[]
      = { { "inside", 0, 0, G_OPTION_ARG_STRING, &inside,
            "Endpoint of the fabric towards the balancers", "A.B.C.D:PORT" },
          { "control", 0, 0, G_OPTION_ARG_STRING, &control,
            "UDP endpoint for control commands", "A.B.C.D:PORT" },
          { "service", 0, 0, G_OPTION_ARG_STRING_ARRAY, &services,
            "Service address; repeatable", "A.B.C.D:PORT" },
          { "balancer", 0, 0, G_OPTION_ARG_STRING_ARRAY, &balancers,
            "Fabric and HTTP endpoints of a balancer; repeatable",
            "DATA,HTTP" },
          { "seed", 0, 0, G_OPTION_ARG_INT, &seed,
            "Seed of the random choice of balancers and of the loss", "N" },
          { 0 } };
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;
  size_t i;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "rgy-standin-fabric: %s\n", error->message);
      return 1;
    }
  uv_loop_init (&f->loop);
  f->random = g_rand_new_with_seed ((guint32)seed);
  f->datagram = g_byte_array_new ();
  f->inside = bind_socket_ (f, inside, on_balancer_datagram_);
  f->control = control == NULL
                   ? NULL
                   : bind_socket_ (f, control, on_control_datagram_);
  if (f->inside == NULL || (control != NULL && f->control == NULL))
    {
      fprintf (stderr,
               "rgy-standin-fabric: cannot bind --inside or --control\n");
      return 1;
    }
  for (i = 0; services != NULL && services[i] != NULL; i++)
    if (!add_service_ (f, services[i]))
      {
        fprintf (stderr,
                 "rgy-standin-fabric: --service: cannot listen on \"%s\"\n",
                 services[i]);
        return 1;
      }
  for (i = 0; balancers != NULL && balancers[i] != NULL; i++)
    if (!add_balancer_ (f, balancers[i]))
      {
        fprintf (stderr,
                 "rgy-standin-fabric: --balancer: cannot add \"%s\", must be "
                 "DATA,HTTP\n",
                 balancers[i]);
        return 1;
      }
  printf ("ready\n");
  fflush (stdout);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  return 0;
}
