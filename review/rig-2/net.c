#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_SOURCES 512
#define MAX_CALLS 64
#define CALL_BYTES 2048
#define BACKLOG 64
#define RECEIVE_BUFFER_BYTES (4 * 1024 * 1024)

uint32_t rig_net;
int64_t rig_now_ms;
char rig_folder[128];

static struct rig_source sources_[MAX_SOURCES];

static void
update_now_ (void)
{
  static int64_t start_ms;
  struct timespec now;
  int64_t ms;

  clock_gettime (CLOCK_MONOTONIC, &now);
  ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
  if (start_ms == 0)
    start_ms = ms;
  rig_now_ms = ms - start_ms;
}

struct rig_source *
rig_source_add (int fd, short events, rig_source_fn fn, void *ctx)
{
  int i;

  for (i = 0; i < MAX_SOURCES; i++)
    if (sources_[i].fn == NULL)
      {
        sources_[i] = (struct rig_source){
          .fd = fd, .events = events, .fn = fn, .ctx = ctx
        };
        return &sources_[i];
      }
  fprintf (stderr, "too many descriptors\n");
  exit (2);
}

void
rig_source_close (struct rig_source *source)
{
  close (source->fd);
  *source = (struct rig_source){ .fd = -1 };
}

void
rig_poll (int ms)
{
  struct pollfd polled[MAX_SOURCES];
  int index[MAX_SOURCES];
  nfds_t n = 0;
  nfds_t i;

  for (i = 0; i < MAX_SOURCES; i++)
    if (sources_[i].fn != NULL)
      {
        polled[n] = (struct pollfd){ .fd = sources_[i].fd,
                                     .events = sources_[i].events };
        index[n++] = (int)i;
      }
  if (poll (polled, n, ms) < 0)
    n = 0;
  update_now_ ();
  for (i = 0; i < n; i++)
    {
      struct rig_source *source = &sources_[index[i]];

      if (polled[i].revents != 0 && source->fn != NULL
          && source->fd == polled[i].fd)
        source->fn (source, polled[i].revents);
    }
}

static struct sockaddr_in
to_address_ (uint32_t ip, uint16_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };

  address.sin_addr.s_addr = htonl (ip);
  return address;
}

static void
set_nonblocking_ (int fd)
{
  (void)fcntl (fd, F_SETFL, O_NONBLOCK);
  (void)fcntl (fd, F_SETFD, FD_CLOEXEC);
}

int
rig_udp_bind (uint32_t ip, uint16_t port)
{
  struct sockaddr_in address = to_address_ (ip, port);
  int fd = socket (AF_INET, SOCK_DGRAM, 0);
  int size = RECEIVE_BUFFER_BYTES;

  set_nonblocking_ (fd);
  (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

void
rig_udp_send (int fd, uint32_t ip, uint16_t port, const uint8_t *data,
              size_t len)
{
  struct sockaddr_in address = to_address_ (ip, port);

  (void)sendto (fd, data, len, MSG_DONTWAIT, (struct sockaddr *)&address,
                sizeof address);
}

int
rig_tcp_listen (uint32_t ip, uint16_t port)
{
  struct sockaddr_in address = to_address_ (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  set_nonblocking_ (fd);
  (void)setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0
      && listen (fd, BACKLOG) == 0)
    return fd;
  close (fd);
  return -1;
}

int
rig_tcp_connect (uint32_t ip, uint16_t port)
{
  struct sockaddr_in address = to_address_ (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  set_nonblocking_ (fd);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0
      || errno == EINPROGRESS)
    return fd;
  close (fd);
  return -1;
}

void
rig_format_ip (uint32_t ip, char *out, size_t size)
{
  snprintf (out, size, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255, ip >> 8 & 255,
            ip & 255);
}

void
rig_record (const char *format, ...)
{
  va_list ap;

  printf ("%8.3f ", (double)rig_now_ms / 1000);
  va_start (ap, format);
  vprintf (format, ap);
  va_end (ap);
  putchar ('\n');
}

/* Calls over HTTP.  */

struct call_
{
  struct rig_source *source; /* NULL: unused.  */
  char text[CALL_BYTES];
  size_t len;
  size_t written;
  char answer[CALL_BYTES];
  size_t answer_len;
  int64_t end_ms;
  rig_call_fn fn;
  void *ctx;
};

static struct call_ calls_[MAX_CALLS];

static void
finish_call_ (struct call_ *call, int status)
{
  rig_source_close (call->source);
  call->source = NULL;
  call->fn (status, call->ctx);
}

static void
on_call_ (struct rig_source *source, short events)
{
  struct call_ *call = source->ctx;
  ssize_t n;

  if (call->written < call->len && (events & POLLOUT) != 0)
    {
      n = send (source->fd, call->text + call->written,
                call->len - call->written, MSG_NOSIGNAL);
      if (n <= 0)
        {
          finish_call_ (call, 0);
          return;
        }
      call->written += (size_t)n;
      if (call->written == call->len)
        source->events = POLLIN;
      return;
    }
  n = recv (source->fd, call->answer + call->answer_len,
            CALL_BYTES - 1 - call->answer_len, 0);
  if (n <= 0)
    {
      finish_call_ (call, 0);
      return;
    }
  call->answer_len += (size_t)n;
  call->answer[call->answer_len] = '\0';
  if (strstr (call->answer, "\r\n\r\n") != NULL)
    finish_call_ (call, (int)strtol (call->answer + 9, NULL, 10));
}

void
rig_call (uint32_t ip, uint16_t port, const char *method, const char *target,
          const char *body, int timeout_ms, rig_call_fn fn, void *ctx)
{
  int fd = rig_tcp_connect (ip, port);
  char host[32];
  int i;

  for (i = 0; i < MAX_CALLS && calls_[i].source != NULL; i++)
    continue;
  if (fd < 0 || i == MAX_CALLS)
    {
      if (fd >= 0)
        close (fd);
      fn (0, ctx);
      return;
    }
  rig_format_ip (ip, host, sizeof host);
  calls_[i] = (struct call_){ .end_ms = rig_now_ms + timeout_ms,
                              .fn = fn,
                              .ctx = ctx };
  calls_[i].source
      = rig_source_add (fd, POLLOUT | POLLIN, on_call_, &calls_[i]);
  calls_[i].len = (size_t)snprintf (
      calls_[i].text, CALL_BYTES,
      "%s %s HTTP/1.1\r\nHost: %s:%u\r\nContent-Type: application/json\r\n"
      "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
      method, target, host, port, strlen (body), body);
}

void
rig_calls_tick (void)
{
  int i;

  for (i = 0; i < MAX_CALLS; i++)
    if (calls_[i].source != NULL && rig_now_ms >= calls_[i].end_ms)
      finish_call_ (&calls_[i], 0);
}

/* Packets.  */

static uint32_t
get_be_ (const uint8_t *in, int n)
{
  uint32_t value = 0;
  int i;

  for (i = 0; i < n; i++)
    value = value << 8 | in[i];
  return value;
}

static void
put_be_ (uint8_t *out, uint32_t value, int n)
{
  int i;

  for (i = n - 1; i >= 0; i--, value >>= 8)
    out[i] = (uint8_t)value;
}

bool
rig_packet_decode (const uint8_t *in, size_t len, struct rig_packet *packet)
{
  if (len < RIG_HEADER_BYTES || len - RIG_HEADER_BYTES != get_be_ (in + 30, 2))
    return false;
  *packet = (struct rig_packet){ .flags = in[0],
                                 .seq = get_be_ (in + 6, 4),
                                 .ack = get_be_ (in + 10, 4),
                                 .dport = (uint16_t)get_be_ (in + 18, 2),
                                 .dst = get_be_ (in + 20, 4),
                                 .src = get_be_ (in + 24, 4),
                                 .sport = (uint16_t)get_be_ (in + 28, 2),
                                 .data = in + RIG_HEADER_BYTES,
                                 .len = (uint16_t)get_be_ (in + 30, 2) };
  return true;
}

size_t
rig_packet_encode (const struct rig_packet *packet, uint8_t *out)
{
  memset (out, 0, RIG_HEADER_BYTES);
  out[0] = packet->flags;
  put_be_ (out + 6, packet->seq, 4);
  put_be_ (out + 10, packet->ack, 4);
  put_be_ (out + 18, packet->dport, 2);
  put_be_ (out + 20, packet->dst, 4);
  put_be_ (out + 24, packet->src, 4);
  put_be_ (out + 28, packet->sport, 2);
  put_be_ (out + 30, packet->len, 2);
  /* The key of the sum is not disclosed; the system does not check it.  */
  put_be_ (out + 32, packet->seq * 2654435761U ^ 0xa1b2c3d5U, 4);
  if (packet->len > 0)
    memcpy (out + RIG_HEADER_BYTES, packet->data, packet->len);
  return RIG_HEADER_BYTES + packet->len;
}
