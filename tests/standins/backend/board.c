#include "server.h"

#include <string.h>

/* Notifications of an observer that a Reset can still refer to.  */
#define RECENT_MESSAGE_IDS 16
#define OBSERVE_MASK 0xffffff
#define CODE_CONTENT RGY_COAP_CODE (2, 5)
#define MAX_AGE_S 60

struct observer_
{
  struct rgy_endpoint from;
  uint8_t token[RGY_COAP_TOKEN_MAX_BYTES];
  size_t token_len;
  uint16_t recent_message_ids[RECENT_MESSAGE_IDS];
  size_t notification_count;
};

struct board
{
  struct server *server;
  GPtrArray *observers;
  uint64_t version;
  uint32_t sequence; /* Observe value; its lower 24 bits are sent.  */
};

struct board *
board_new (struct server *server)
{
  struct board *board = g_new0 (struct board, 1);

  board->server = server;
  board->observers = g_ptr_array_new_with_free_func (g_free);
  board->version = 1;
  board->sequence = server_get_settings (server)->observe_start;
  return board;
}

static struct observer_ *
find_observer_ (const struct board *board, struct rgy_endpoint from,
                struct rgy_bytes token)
{
  guint i;

  for (i = 0; i < board->observers->len; i++)
    {
      struct observer_ *o = g_ptr_array_index (board->observers, i);

      if (rgy_endpoint_equal (o->from, from) && o->token_len == token.len
          && memcmp (o->token, token.data, token.len) == 0)
        return o;
    }
  return NULL;
}

/* Builds a message with the current version.  */
static GByteArray *
build_message_ (const struct board *board,
                const struct rgy_coap_header *header, bool observe)
{
  struct rgy_standin_options options = { 0 };
  char *text = g_strdup_printf ("%" G_GUINT64_FORMAT, board->version);
  GByteArray *out;

  if (observe)
    rgy_standin_add_uint (&options, RGY_COAP_OPTION_OBSERVE,
                          board->sequence & OBSERVE_MASK);
  rgy_standin_add_uint (&options, RGY_COAP_OPTION_MAX_AGE, MAX_AGE_S);
  out = rgy_coap_build (header, options.list, options.count,
                        (struct rgy_bytes){ .data = (const uint8_t *)text,
                                            .len = strlen (text) });
  g_free (text);
  return out;
}

GByteArray *
board_answer (struct board *board, struct rgy_endpoint from,
              const struct rgy_coap_view *request,
              const struct rgy_coap_header *header)
{
  bool observe = request->has_observe && request->observe == 0;

  if (observe && find_observer_ (board, from, request->token) == NULL)
    {
      struct observer_ *o = g_new0 (struct observer_, 1);

      o->from = from;
      o->token_len = request->token.len;
      if (o->token_len > 0)
        memcpy (o->token, request->token.data, o->token_len);
      g_ptr_array_add (board->observers, o);
    }
  if (request->has_observe && request->observe == 1)
    board_remove (board, from, request->token);
  return build_message_ (board, header, observe);
}

void
board_remove (struct board *board, struct rgy_endpoint from,
              struct rgy_bytes token)
{
  struct observer_ *o = find_observer_ (board, from, token);

  if (o == NULL)
    return;
  server_get_mutable_stats (board->server)->observers_ended++;
  g_ptr_array_remove_fast (board->observers, o);
}

void
board_handle_reset (struct board *board, struct rgy_endpoint from,
                    uint16_t message_id)
{
  guint i;
  size_t k;

  for (i = 0; i < board->observers->len; i++)
    {
      struct observer_ *o = g_ptr_array_index (board->observers, i);

      if (!rgy_endpoint_equal (o->from, from))
        continue;
      for (k = 0; k < MIN (o->notification_count, RECENT_MESSAGE_IDS); k++)
        if (o->recent_message_ids[k] == message_id)
          {
            server_get_mutable_stats (board->server)->observers_ended++;
            g_ptr_array_remove_index_fast (board->observers, i);
            return;
          }
    }
}

void
board_handle_delivery_failure (struct board *board, struct rgy_endpoint from,
                               uint16_t message_id)
{
  board_handle_reset (board, from, message_id);
}

static void
notify_observer_ (struct board *board, struct observer_ *o)
{
  struct server_stats *stats = server_get_mutable_stats (board->server);
  unsigned every = server_get_settings (board->server)->confirm_every;
  struct rgy_coap_header header
      = { .type = RGY_COAP_NON,
          .code = CODE_CONTENT,
          .message_id = server_next_message_id (board->server),
          .token = { .data = o->token, .len = o->token_len } };
  GByteArray *out;

  if (every > 0 && (o->notification_count + 1) % every == 0)
    header.type = RGY_COAP_CON;
  out = build_message_ (board, &header, true);
  o->recent_message_ids[o->notification_count++ % RECENT_MESSAGE_IDS]
      = header.message_id;
  stats->notifications++;
  if (header.type == RGY_COAP_CON)
    {
      server_send_confirmable (board->server, o->from, header.message_id, out);
      return;
    }
  server_send (board->server, o->from, out);
  g_byte_array_unref (out);
}

void
board_raise_version (struct board *board, uint64_t version)
{
  guint i;

  board->version = MAX (board->version + (version == 0 ? 1 : 0), version);
  board->sequence++;
  for (i = 0; i < board->observers->len; i++)
    notify_observer_ (board, g_ptr_array_index (board->observers, i));
}

uint64_t
board_get_version (const struct board *board)
{
  return board->version;
}

unsigned
board_get_observer_count (const struct board *board)
{
  return board->observers->len;
}
