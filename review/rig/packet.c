#include "rig.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

/* Offsets of the fields in the head.  */
enum
{
  OFFSET_FLAGS = 0,
  OFFSET_SEQ = 6,
  OFFSET_ACK = 10,
  OFFSET_DPORT = 18,
  OFFSET_DST = 20,
  OFFSET_SRC = 24,
  OFFSET_SPORT = 28,
  OFFSET_LEN = 30,
  OFFSET_SUM = 32
};

#define SUM_KEY 0x5bd1e995U

static void
put_ (uint8_t *out, uint32_t value, int bytes)
{
  int i;

  for (i = 0; i < bytes; i++)
    out[i] = (uint8_t)(value >> (8 * (bytes - 1 - i)));
}

static uint32_t
get_ (const uint8_t *in, int bytes)
{
  uint32_t value = 0;
  int i;

  for (i = 0; i < bytes; i++)
    value = value << 8 | in[i];
  return value;
}

static uint32_t
add_to_sum_ (uint32_t sum, const uint8_t *data, size_t len)
{
  size_t i;

  for (i = 0; i < len; i++)
    sum = (sum ^ data[i]) * 16777619U;
  return sum;
}

/* The keyed sum over all fields but echo, pad and BOUNCED.  */
static uint32_t
compute_sum_ (const uint8_t *packet, size_t len)
{
  uint8_t flags = packet[OFFSET_FLAGS] & (uint8_t)~RIG_BOUNCED;
  uint32_t sum = add_to_sum_ (SUM_KEY, &flags, 1);

  sum = add_to_sum_ (sum, packet + OFFSET_SEQ, 8);
  sum = add_to_sum_ (sum, packet + OFFSET_DPORT, OFFSET_SUM - OFFSET_DPORT);
  sum = add_to_sum_ (sum, packet + RIG_HEAD_BYTES, len - RIG_HEAD_BYTES);
  return sum == 0 ? 1 : sum;
}

size_t
rig_packet_build (const struct rig_packet *packet, uint8_t *out)
{
  size_t len = RIG_HEAD_BYTES + (size_t)packet->len;

  memset (out, 0, RIG_HEAD_BYTES);
  out[OFFSET_FLAGS] = packet->flags;
  put_ (out + OFFSET_SEQ, packet->seq, 4);
  put_ (out + OFFSET_ACK, packet->ack, 4);
  put_ (out + OFFSET_DPORT, packet->dport, 2);
  put_ (out + OFFSET_DST, packet->dst, 4);
  put_ (out + OFFSET_SRC, packet->src, 4);
  put_ (out + OFFSET_SPORT, packet->sport, 2);
  put_ (out + OFFSET_LEN, packet->len, 2);
  if (packet->len > 0)
    memcpy (out + RIG_HEAD_BYTES, packet->data, packet->len);
  put_ (out + OFFSET_SUM, compute_sum_ (out, len), 4);
  return len;
}

bool
rig_packet_parse (const uint8_t *in, size_t len, struct rig_packet *packet)
{
  if (len < RIG_HEAD_BYTES
      || len != RIG_HEAD_BYTES + get_ (in + OFFSET_LEN, 2))
    return false;
  *packet = (struct rig_packet){
    .flags = in[OFFSET_FLAGS],
    .seq = get_ (in + OFFSET_SEQ, 4),
    .ack = get_ (in + OFFSET_ACK, 4),
    .src = get_ (in + OFFSET_SRC, 4),
    .dst = get_ (in + OFFSET_DST, 4),
    .sport = (uint16_t)get_ (in + OFFSET_SPORT, 2),
    .dport = (uint16_t)get_ (in + OFFSET_DPORT, 2),
    .len = (uint16_t)get_ (in + OFFSET_LEN, 2),
    .data = (const char *)in + RIG_HEAD_BYTES,
    .sum = get_ (in + OFFSET_SUM, 4),
  };
  packet->intact = packet->sum == compute_sum_ (in, len);
  return true;
}

void
rig_send (int fd, uint32_t ip, uint16_t port, const uint8_t *data, size_t len)
{
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_port = htons (port),
                            .sin_addr.s_addr = htonl (ip) };

  sendto (fd, data, len, 0, (struct sockaddr *)&in, sizeof in);
}
