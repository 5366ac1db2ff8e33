#include "standin.h"

#include <string.h>

/* Layout of a Block2 value (RFC 7959 section 2.2).  */
#define BLOCK_MORE 0x08
#define BLOCK_EXPONENT_MASK 0x07
#define BLOCK_NUMBER_SHIFT 4

void
rgy_standin_add_uint (struct rgy_standin_options *options, uint16_t number,
                      uint32_t value)
{
  g_assert (options->count < RGY_STANDIN_MAX_OPTIONS);
  options->list[options->count] = rgy_coap_uint_option (
      number, value, &options->integers[options->count]);
  options->count++;
}

void
rgy_standin_add_bytes (struct rgy_standin_options *options, uint16_t number,
                       struct rgy_bytes value)
{
  g_assert (options->count < RGY_STANDIN_MAX_OPTIONS);
  options->list[options->count++]
      = (struct rgy_coap_option){ .number = number, .value = value };
}

void
rgy_standin_add_path (struct rgy_standin_options *options, const char *path)
{
  const char *p = path;

  while (*p != '\0')
    {
      size_t len;

      if (*p == '/')
        {
          p++;
          continue;
        }
      len = strcspn (p, "/");
      rgy_standin_add_bytes (
          options, RGY_STANDIN_OPTION_URI_PATH,
          (struct rgy_bytes){ .data = (const uint8_t *)p, .len = len });
      p += len;
    }
}

char *
rgy_standin_get_path (const struct rgy_coap_view *view)
{
  struct rgy_coap_cursor cursor = { 0 };
  struct rgy_coap_option option;
  GString *path = g_string_new (NULL);

  while (rgy_coap_next_option (view, &cursor, &option))
    if (option.number == RGY_STANDIN_OPTION_URI_PATH)
      {
        g_string_append_c (path, '/');
        g_string_append_len (path, (const char *)option.value.data,
                             (gssize)option.value.len);
      }
  return g_string_free (path, FALSE);
}

bool
rgy_standin_find_option (const struct rgy_coap_view *view, uint16_t number,
                         struct rgy_bytes *value)
{
  struct rgy_coap_cursor cursor = { 0 };
  struct rgy_coap_option option;

  while (rgy_coap_next_option (view, &cursor, &option))
    if (option.number == number)
      {
        *value = option.value;
        return true;
      }
  return false;
}

bool
rgy_standin_block_decode (struct rgy_bytes value,
                          struct rgy_standin_block *block)
{
  uint32_t number = rgy_coap_option_uint (value);

  *block
      = (struct rgy_standin_block){ .number = number >> BLOCK_NUMBER_SHIFT,
                                    .more = (number & BLOCK_MORE) != 0,
                                    .exponent = number & BLOCK_EXPONENT_MASK };
  return block->exponent <= RGY_STANDIN_BLOCK_MAX_EXPONENT;
}

uint32_t
rgy_standin_block_encode (const struct rgy_standin_block *block)
{
  return block->number << BLOCK_NUMBER_SHIFT | (block->more ? BLOCK_MORE : 0)
         | block->exponent;
}
