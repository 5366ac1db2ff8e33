#include "ragwortyoke/request.h"

#include <string.h>

#include <coap3/coap.h>

#define HEADER_BYTES 4
#define VERSION 1
#define PAYLOAD_MARKER 0xff
#define OPTION_MAX 65535
#define OBSERVE_MAX_BYTES 3
#define DEADLINE_MAX_BYTES 4

#define CLASS_REQUEST 0
#define CLASS_SUCCESS 2
#define CLASS_SERVER_ERROR 5

#define METHOD_GET 1
#define METHOD_PUT 3
#define METHOD_DELETE 4
#define METHOD_FETCH 5

/* Parsing of messages.  */

uint32_t
rgy_coap_option_uint (struct rgy_bytes value)
{
  uint32_t number = 0;
  size_t i;

  for (i = 0; i < value.len && i < sizeof number; i++)
    number = number << 8 | value.data[i];
  return number;
}

bool
rgy_coap_next_option (const struct rgy_coap_view *view,
                      struct rgy_coap_cursor *cursor,
                      struct rgy_coap_option *option)
{
  coap_option_t parsed;
  size_t used;

  if (cursor->offset >= view->options.len)
    return false;
  used = coap_opt_parse (view->options.data + cursor->offset,
                         view->options.len - cursor->offset, &parsed);
  if (used == 0)
    return false;
  cursor->offset += used;
  cursor->number = (uint16_t)(cursor->number + parsed.delta);
  option->number = cursor->number;
  option->value
      = (struct rgy_bytes){ .data = parsed.value, .len = parsed.length };
  return true;
}

/* Stores the options that the agent evaluates.  Elective options with a
   malformed value are ignored, as RFC 7252 section 5.4.3 requires.  */
static void
store_known_option_ (struct rgy_coap_view *view, uint32_t number,
                     struct rgy_bytes value)
{
  uint32_t uint_value = rgy_coap_option_uint (value);

  switch (number)
    {
    case RGY_COAP_OPTION_OBSERVE:
      if (view->has_observe || value.len > OBSERVE_MAX_BYTES)
        break;
      view->has_observe = true;
      view->observe = uint_value;
      break;
    case RGY_COAP_OPTION_ECHO:
      if (view->has_echo)
        break;
      view->has_echo = true;
      view->echo = value;
      break;
    case RGY_COAP_OPTION_DEADLINE_MS:
      if (view->has_deadline || value.len > DEADLINE_MAX_BYTES
          || uint_value == 0 || uint_value > RGY_COAP_DEADLINE_MAX_MS)
        break;
      view->has_deadline = true;
      view->deadline_ms = uint_value;
      break;
    default:
      break;
    }
}

/* Parses the options and the payload that follow the token.  */
static enum rgy_outcome
parse_options_ (struct rgy_bytes rest, struct rgy_coap_view *view)
{
  size_t offset = 0;
  uint32_t number = 0;

  while (offset < rest.len && rest.data[offset] != PAYLOAD_MARKER)
    {
      coap_option_t parsed;
      size_t used
          = coap_opt_parse (rest.data + offset, rest.len - offset, &parsed);

      if (used == 0)
        return RGY_ERR_INVALID;
      number += parsed.delta;
      if (number > OPTION_MAX)
        return RGY_ERR_INVALID;
      store_known_option_ (
          view, number,
          (struct rgy_bytes){ .data = parsed.value, .len = parsed.length });
      offset += used;
    }
  view->options = (struct rgy_bytes){ .data = rest.data, .len = offset };
  if (offset == rest.len)
    return RGY_OK;
  offset++;
  if (offset == rest.len)
    return RGY_ERR_INVALID;
  view->payload = (struct rgy_bytes){ .data = rest.data + offset,
                                      .len = rest.len - offset };
  return RGY_OK;
}

enum rgy_outcome
rgy_coap_parse (struct rgy_bytes datagram, struct rgy_coap_view *view)
{
  const uint8_t *p = datagram.data;
  size_t token_len;
  unsigned code_class;

  *view = (struct rgy_coap_view){ 0 };
  if (datagram.len < HEADER_BYTES || p[0] >> 6 != VERSION)
    return RGY_ERR_INVALID;
  token_len = p[0] & 0x0f;
  if (token_len > RGY_COAP_TOKEN_MAX_BYTES
      || datagram.len < HEADER_BYTES + token_len)
    return RGY_ERR_INVALID;
  view->type = (enum rgy_coap_type) ((p[0] >> 4) & 0x03);
  view->code = p[1];
  view->message_id = (uint16_t)(p[2] << 8 | p[3]);
  view->token
      = (struct rgy_bytes){ .data = p + HEADER_BYTES, .len = token_len };
  if (view->code == 0)
    return datagram.len == HEADER_BYTES && view->type != RGY_COAP_NON
               ? RGY_OK
               : RGY_ERR_INVALID;
  code_class = view->code >> 5;
  if (code_class != CLASS_REQUEST
      && (code_class < CLASS_SUCCESS || code_class > CLASS_SERVER_ERROR))
    return RGY_ERR_INVALID;
  if (view->type == RGY_COAP_RST
      || (view->type == RGY_COAP_ACK && code_class == CLASS_REQUEST))
    return RGY_ERR_INVALID;
  return parse_options_ (
      (struct rgy_bytes){ .data = p + HEADER_BYTES + token_len,
                          .len = datagram.len - HEADER_BYTES - token_len },
      view);
}

enum rgy_coap_class
rgy_coap_classify (const struct rgy_coap_view *view)
{
  if (view->code == 0)
    {
      switch (view->type)
        {
        case RGY_COAP_ACK:
          return RGY_COAP_CLASS_ACK;
        case RGY_COAP_RST:
          return RGY_COAP_CLASS_RESET;
        case RGY_COAP_CON:
        case RGY_COAP_NON:
          return RGY_COAP_CLASS_PING;
        }
    }
  if (view->code >> 5 != CLASS_REQUEST)
    return RGY_COAP_CLASS_RESPONSE;
  switch (view->code)
    {
    case METHOD_GET:
      if (view->has_observe && view->observe == 0)
        return RGY_COAP_CLASS_OBSERVE;
      if (view->has_observe && view->observe == 1)
        return RGY_COAP_CLASS_OBSERVE_END;
      return RGY_COAP_CLASS_IDEMPOTENT;
    case METHOD_PUT:
    case METHOD_DELETE:
    case METHOD_FETCH:
      return RGY_COAP_CLASS_IDEMPOTENT;
    default:
      return RGY_COAP_CLASS_NON_IDEMPOTENT;
    }
}

/* Encoding of messages.  */

struct writer_
{
  GByteArray *out;
  uint16_t number; /* Number of the last option written.  */
};

static struct writer_
writer_start_message_ (const struct rgy_coap_header *header)
{
  struct writer_ w = { .out = g_byte_array_new () };
  uint8_t fixed[HEADER_BYTES];

  g_assert (header->token.len <= RGY_COAP_TOKEN_MAX_BYTES);
  fixed[0] = (uint8_t)(VERSION << 6 | (unsigned)header->type << 4
                       | header->token.len);
  fixed[1] = header->code;
  fixed[2] = (uint8_t)(header->message_id >> 8);
  fixed[3] = (uint8_t)header->message_id;
  g_byte_array_append (w.out, fixed, sizeof fixed);
  if (header->token.len > 0)
    g_byte_array_append (w.out, header->token.data, (guint)header->token.len);
  return w;
}

static void
writer_append_option_ (struct writer_ *w, const struct rgy_coap_option *option)
{
  uint16_t delta;
  guint start = w->out->len;
  size_t size;
  size_t used;

  g_assert (option->number >= w->number);
  delta = (uint16_t)(option->number - w->number);
  size = coap_opt_encode_size (delta, option->value.len);
  g_byte_array_set_size (w->out, start + (guint)size);
  used = coap_opt_encode (w->out->data + start, size, delta,
                          option->value.data, option->value.len);
  g_assert (used == size);
  w->number = option->number;
}

static void
writer_append_payload_ (struct writer_ *w, struct rgy_bytes payload)
{
  static const uint8_t marker = PAYLOAD_MARKER;

  if (payload.len == 0)
    return;
  g_byte_array_append (w->out, &marker, 1);
  g_byte_array_append (w->out, payload.data, (guint)payload.len);
}

struct rgy_coap_option
rgy_coap_uint_option (uint16_t number, uint32_t value,
                      struct rgy_coap_uint *room)
{
  size_t skip = 0;
  size_t i;

  for (i = 0; i < sizeof room->bytes; i++)
    room->bytes[i] = (uint8_t)(value >> (8 * (sizeof room->bytes - 1 - i)));
  while (skip < sizeof room->bytes && room->bytes[skip] == 0)
    skip++;
  return (struct rgy_coap_option){
    .number = number,
    .value = { .data = room->bytes + skip, .len = sizeof room->bytes - skip }
  };
}

GByteArray *
rgy_coap_build (const struct rgy_coap_header *header,
                const struct rgy_coap_option *options, size_t option_count,
                struct rgy_bytes payload)
{
  struct writer_ w = writer_start_message_ (header);
  size_t i;

  for (i = 0; i < option_count; i++)
    writer_append_option_ (&w, &options[i]);
  writer_append_payload_ (&w, payload);
  return w.out;
}

GByteArray *
rgy_coap_rewrite (const struct rgy_coap_view *view,
                  const struct rgy_coap_header *header,
                  const struct rgy_coap_option *changes, size_t change_count)
{
  struct writer_ w = writer_start_message_ (header);
  struct rgy_coap_cursor cursor = { 0 };
  struct rgy_coap_option option;
  size_t next = 0;

  while (rgy_coap_next_option (view, &cursor, &option))
    {
      for (; next < change_count && changes[next].number <= option.number;
           next++)
        if (changes[next].value.data != NULL)
          writer_append_option_ (&w, &changes[next]);
      if (next > 0 && changes[next - 1].number == option.number)
        continue;
      writer_append_option_ (&w, &option);
    }
  for (; next < change_count; next++)
    if (changes[next].value.data != NULL)
      writer_append_option_ (&w, &changes[next]);
  writer_append_payload_ (&w, view->payload);
  return w.out;
}

GByteArray *
rgy_coap_build_empty (enum rgy_coap_type type, uint16_t message_id)
{
  struct rgy_coap_header header = { .type = type, .message_id = message_id };

  return rgy_coap_build (&header, NULL, 0, (struct rgy_bytes){ 0 });
}
