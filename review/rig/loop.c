#include "rig.h"

#include <arpa/inet.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define N_PORTS (RIG_PORT_INTERNAL + 16)
#define ATTEMPTS 50

static FILE *record_;
static gint64 started_us_;
static uint32_t network_; /* The first 24 bits of all addresses.  */
static uint16_t first_port_;

double
rig_now (void)
{
  return (double)(g_get_monotonic_time () - started_us_) / 1e6;
}

void
rig_record (const char *format, ...)
{
  va_list ap;

  fprintf (record_, "%9.3f ", rig_now ());
  va_start (ap, format);
  vfprintf (record_, format, ap);
  va_end (ap);
  fputc ('\n', record_);
  fflush (record_);
}

static gboolean
stop_loop_ (gpointer loop)
{
  g_main_loop_quit (loop);
  return G_SOURCE_REMOVE;
}

void
rig_run (double seconds)
{
  GMainLoop *loop = g_main_loop_new (NULL, FALSE);

  g_timeout_add ((guint)(seconds * 1e3), stop_loop_, loop);
  g_main_loop_run (loop);
  g_main_loop_unref (loop);
}

bool
rig_has_trouble (void)
{
  return g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
}

void
rig_finish (bool broken)
{
  rig_record ("result %s", broken ? "rule broken" : "rule held");
  rig_end_processes ();
  exit (broken ? 1 : 0);
}

void
rig_cannot_run (const char *why)
{
  rig_record ("cannot run: %s", why);
  fprintf (stderr, "cannot run: %s\n", why);
  rig_end_processes ();
  exit (2);
}

int
rig_bind (int type, uint32_t ip, uint16_t port)
{
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_port = htons (port),
                            .sin_addr.s_addr = htonl (ip) };
  int fd = socket (AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;

  if (fd < 0)
    return -1;
  if (type == SOCK_STREAM)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&in, sizeof in) == 0)
    return fd;
  close (fd);
  return -1;
}

/* True if all ports are free on the address.  */
static bool
are_ports_free_ (uint32_t ip)
{
  static const int types[] = { SOCK_STREAM, SOCK_DGRAM };
  unsigned i;
  size_t t;

  for (i = 0; i < N_PORTS; i++)
    for (t = 0; t < G_N_ELEMENTS (types); t++)
      {
        int fd = rig_bind (types[t], ip, (uint16_t)(first_port_ + i));

        if (fd < 0)
          return false;
        close (fd);
      }
  return true;
}

static bool
choose_addresses_ (void)
{
  size_t i;

  network_ = 0x7f000000U | (uint32_t)g_random_int_range (16, 250) << 16
             | (uint32_t)g_random_int_range (1, 250) << 8;
  first_port_ = (uint16_t)g_random_int_range (12000, 30000);
  for (i = 0; i < RIG_MAX_NODES; i++)
    if (!are_ports_free_ (rig_node_ip (i)))
      return false;
  for (i = 0; i < RIG_MAX_HOSTS; i++)
    if (!are_ports_free_ (rig_host_ip (i)))
      return false;
  return are_ports_free_ (rig_client_ip ())
         && are_ports_free_ (rig_store_ip ());
}

static gboolean
on_signal_ (gpointer data)
{
  (void)data;
  rig_cannot_run ("stopped by a signal");
  return G_SOURCE_REMOVE;
}

void
rig_init (const char *record_path)
{
  int i;

  started_us_ = g_get_monotonic_time ();
  record_ = fopen (record_path, "a");
  if (record_ == NULL)
    {
      perror (record_path);
      exit (2);
    }
  signal (SIGPIPE, SIG_IGN);
  g_unix_signal_add (SIGTERM, on_signal_, NULL);
  g_unix_signal_add (SIGINT, on_signal_, NULL);
  for (i = 0; i < ATTEMPTS; i++)
    if (choose_addresses_ ())
      break;
  if (i == ATTEMPTS)
    rig_cannot_run ("no free loopback addresses");
  rig_record ("network %s, first port %u, trouble %d", rig_ip_text (network_),
              first_port_, rig_has_trouble ());
}

uint32_t
rig_node_ip (size_t i)
{
  return network_ + 10 + (uint32_t)i;
}

uint32_t
rig_host_ip (size_t i)
{
  return network_ + 40 + (uint32_t)i;
}

uint32_t
rig_client_ip (void)
{
  return network_ + 100;
}

uint32_t
rig_store_ip (void)
{
  return network_ + 120;
}

const char *
rig_ip_text (uint32_t ip)
{
  static char text[4][INET_ADDRSTRLEN];
  static unsigned next;
  struct in_addr in = { .s_addr = htonl (ip) };
  char *out = text[next++ % G_N_ELEMENTS (text)];

  inet_ntop (AF_INET, &in, out, INET_ADDRSTRLEN);
  return out;
}

uint16_t
rig_port (enum rig_port port)
{
  return (uint16_t)(first_port_ + (uint16_t)port);
}
