/* Stand-in for the platform's fabric: takes datagrams on service addresses,
   puts a PROXY protocol version 2 header in front of each and sends it to a
   balancer chosen at random among those that report ready.  */

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
  struct rgy_endpoint data;
  bool ready;
  bool cut; /* Packets in both directions are dropped.  */
  uint64_t sent;
};

struct service_
{
  struct rgy_endpoint address;
  struct rgy_udp *udp;
};

struct fabric_
{
  uv_loop_t loop;
  struct rgy_udp *inside;
  struct rgy_udp *control;
  struct balancer_ balancers[MAX_BALANCERS];
  size_t balancer_count;
  struct service_ services[MAX_SERVICES];
  size_t service_count;
  GRand *random;
  GByteArray *packet;
  gint loss_percent;
  uint64_t unroutable;
};

static struct fabric_ fabric_;

static struct balancer_ *
choose_ (struct fabric_ *f)
{
  struct balancer_ *ready[MAX_BALANCERS];
  size_t n = 0;
  size_t i;

  for (i = 0; i < f->balancer_count; i++)
    if (f->balancers[i].ready)
      ready[n++] = &f->balancers[i];
  return n == 0 ? NULL : ready[g_rand_int_range (f->random, 0, (gint32)n)];
}

static bool
is_lost_ (struct fabric_ *f)
{
  return f->loss_percent > 0
         && g_rand_int_range (f->random, 0, PERCENT) < f->loss_percent;
}

static void
on_caller_ (struct rgy_endpoint from, struct rgy_bytes data, void *ctx)
{
  struct service_ *s = ctx;
  struct fabric_ *f = &fabric_;
  struct balancer_ *b = choose_ (f);
  uint8_t header[RGY_PROXY_HEADER_BYTES];

  if (b == NULL)
    {
      f->unroutable++;
      return;
    }
  if (b->cut || is_lost_ (f))
    return;
  rgy_proxy_write (header, from, s->address);
  g_byte_array_set_size (f->packet, 0);
  g_byte_array_append (f->packet, header, sizeof header);
  g_byte_array_append (f->packet, data.data, (guint)data.len);
  b->sent++;
  rgy_udp_send (
      f->inside, b->data,
      (struct rgy_bytes){ .data = f->packet->data, .len = f->packet->len });
}

static void
on_answer_ (struct rgy_endpoint from, struct rgy_bytes data, void *ctx)
{
  struct fabric_ *f = ctx;
  struct rgy_endpoint source;
  struct rgy_endpoint destination;
  struct rgy_bytes payload;
  size_t i;

  for (i = 0; i < f->balancer_count; i++)
    if (f->balancers[i].cut && rgy_endpoint_equal (f->balancers[i].data, from))
      return;
  if (is_lost_ (f)
      || rgy_proxy_parse (data, &source, &destination, &payload) != RGY_OK)
    return;
  for (i = 0; i < f->service_count; i++)
    if (rgy_endpoint_equal (f->services[i].address, source))
      rgy_udp_send (f->services[i].udp, destination, payload);
}

/* Control commands, one a datagram: "cut N", "heal N", "loss PERCENT",
   "counts".  */
static void
on_control_ (struct rgy_endpoint from, struct rgy_bytes data, void *ctx)
{
  struct fabric_ *f = ctx;
  char *text = g_strndup ((const char *)data.data, data.len);
  GString *answer = g_string_new ("ok");
  unsigned n = 0;
  size_t i;

  if (sscanf (text, "cut %u", &n) == 1 && n < f->balancer_count)
    f->balancers[n].cut = true;
  else if (sscanf (text, "heal %u", &n) == 1 && n < f->balancer_count)
    f->balancers[n].cut = false;
  else if (sscanf (text, "loss %u", &n) == 1 && n <= PERCENT)
    f->loss_percent = (gint)n;
  else if (g_str_has_prefix (text, "counts"))
    {
      g_string_printf (answer, "unroutable %" G_GUINT64_FORMAT, f->unroutable);
      for (i = 0; i < f->balancer_count; i++)
        g_string_append_printf (answer, " %" G_GUINT64_FORMAT "%s",
                                f->balancers[i].sent,
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
on_ready_ (bool ready, void *ctx)
{
  struct balancer_ *b = ctx;
  char text[RGY_ENDPOINT_TEXT_BYTES];

  b->ready = ready;
  printf ("balancer %s %s\n", rgy_endpoint_format (b->data, text),
          ready ? "ready" : "not-ready");
  fflush (stdout);
}

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
  readiness_new (&f->loop, http, on_ready_, b);
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
  s->udp = rgy_udp_bind (&f->loop, s->address, on_caller_, s, &why);
  if (s->udp == NULL)
    return false;
  f->service_count++;
  return true;
}

static struct rgy_udp *
bind_ (struct fabric_ *f, const char *text, rgy_udp_receive_fn receive)
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
            "Endpoint towards the balancers", "A.B.C.D:PORT" },
          { "control", 0, 0, G_OPTION_ARG_STRING, &control,
            "UDP endpoint for control commands", "A.B.C.D:PORT" },
          { "service", 0, 0, G_OPTION_ARG_STRING_ARRAY, &services,
            "Service address; may be repeated", "A.B.C.D:PORT" },
          { "balancer", 0, 0, G_OPTION_ARG_STRING_ARRAY, &balancers,
            "Balancer's fabric and HTTP endpoints; may be repeated",
            "DATA,HTTP" },
          { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the spray", "N" },
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
  f->packet = g_byte_array_new ();
  f->inside = bind_ (f, inside, on_answer_);
  f->control = control == NULL ? NULL : bind_ (f, control, on_control_);
  if (f->inside == NULL || (control != NULL && f->control == NULL))
    {
      fprintf (stderr, "rgy-standin-fabric: cannot bind --inside/--control\n");
      return 1;
    }
  for (i = 0; services != NULL && services[i] != NULL; i++)
    if (!add_service_ (f, services[i]))
      {
        fprintf (stderr, "rgy-standin-fabric: --service: \"%s\"\n",
                 services[i]);
        return 1;
      }
  for (i = 0; balancers != NULL && balancers[i] != NULL; i++)
    if (!add_balancer_ (f, balancers[i]))
      {
        fprintf (stderr, "rgy-standin-fabric: --balancer: \"%s\"\n",
                 balancers[i]);
        return 1;
      }
  printf ("ready\n");
  fflush (stdout);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  return 0;
}
