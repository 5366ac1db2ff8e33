#include <string.h>

#include "fuzz.h"
#include "ragwortyoke/request.h"

/* Fuzz target of the CoAP decoder and of the builders of CoAP messages.  */

#define MAX_OPTIONS 512

static const uint8_t token_[] = { 1, 2, 3, 4, 5, 6, 7, 8 };
static const uint8_t echo_[] = { 9, 8, 7, 6, 5, 4, 3, 2, 1 };

#define BYTES(array)                                                          \
  ((struct rgy_bytes){ .data = (array), .len = sizeof (array) })

static void
add_message_seed_ (GPtrArray *seeds, enum rgy_coap_type type, uint8_t code,
                   const struct rgy_coap_option *options, size_t count,
                   struct rgy_bytes payload)
{
  struct rgy_coap_header header
      = { .type = type,
          .code = code,
          .message_id = 0x1234,
          .token = { .data = token_, .len = 1 + code % sizeof token_ } };

  fuzz_add_seed_array (seeds,
                       rgy_coap_build (&header, options, count, payload));
}

void
fuzz_add_seeds (GPtrArray *seeds)
{
  struct rgy_coap_uint buffers[4];
  struct rgy_bytes path = { .data = (const uint8_t *)"board", .len = 5 };
  struct rgy_coap_option options[]
      = { rgy_coap_uint_option (RGY_COAP_OPTION_OBSERVE, 0, &buffers[0]),
          { .number = 11, .value = path },
          rgy_coap_uint_option (RGY_COAP_OPTION_MAX_AGE, 70000, &buffers[1]),
          { .number = RGY_COAP_OPTION_ECHO, .value = BYTES (echo_) },
          rgy_coap_uint_option (RGY_COAP_OPTION_DEADLINE_MS, 2000,
                                &buffers[2]) };

  add_message_seed_ (seeds, RGY_COAP_CON, RGY_COAP_CODE (0, 1), options, 2,
                     (struct rgy_bytes){ 0 });
  add_message_seed_ (seeds, RGY_COAP_NON, RGY_COAP_CODE (0, 2), options + 1, 4,
                     path);
  add_message_seed_ (seeds, RGY_COAP_ACK, RGY_COAP_CODE (2, 5), options,
                     G_N_ELEMENTS (options), path);
  fuzz_add_seed_array (seeds, rgy_coap_build_empty (RGY_COAP_RST, 7));
}

static bool
bytes_are_equal_ (struct rgy_bytes a, struct rgy_bytes b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

/* Checks that an answer is a valid response to the request, and frees it.  */
static void
check_answer_ (GByteArray *answer, const struct rgy_coap_view *request)
{
  struct rgy_coap_view view;

  g_assert (rgy_coap_parse (fuzz_view_array (answer), &view) == RGY_OK);
  g_assert (bytes_are_equal_ (view.token, request->token));
  g_assert (rgy_coap_classify (&view) == RGY_COAP_CLASS_RESPONSE);
  g_byte_array_unref (answer);
}

/* Checks the answers that the library builds in place of the backend server's:
   refusal, request not run, and outcome unknown.  For every request it must
   build all three.  */
static void
check_refusals_ (const struct rgy_coap_view *view)
{
  enum rgy_coap_class class = rgy_coap_classify (view);
  GByteArray *answer;

  answer = rgy_coap_build_refusal (view, RGY_REFUSAL_OVERLOAD, 5);
  if (answer != NULL)
    check_answer_ (answer, view);
  if (class != RGY_COAP_CLASS_IDEMPOTENT && class != RGY_COAP_CLASS_OBSERVE
      && class != RGY_COAP_CLASS_OBSERVE_END
      && class != RGY_COAP_CLASS_NON_IDEMPOTENT)
    return;
  check_answer_ (rgy_coap_build_not_run (view, RGY_REFUSAL_DRAINING, 5), view);
  check_answer_ (rgy_coap_build_outcome_unknown (view, "deadline"), view);
  g_assert (answer != NULL);
}

/* A message that the decoder accepts must keep all its parts when it is
   encoded again, because an agent encodes the requests that it forwards.  */
void
fuzz_run_input (struct rgy_bytes input)
{
  static struct rgy_coap_option options[MAX_OPTIONS];
  struct rgy_coap_cursor cursor = { 0 };
  struct rgy_coap_option option;
  struct rgy_coap_header header;
  struct rgy_coap_view view;
  struct rgy_coap_view again;
  GByteArray *built;
  GByteArray *rewritten;
  size_t count = 0;
  size_t bytes = 0;
  uint16_t last = 0;

  if (rgy_coap_parse (input, &view) != RGY_OK)
    return;
  g_assert (view.token.len <= RGY_COAP_TOKEN_MAX_BYTES);
  g_assert (fuzz_is_within (view.token, input)
            && fuzz_is_within (view.options, input)
            && fuzz_is_within (view.payload, input)
            && (!view.has_echo || fuzz_is_within (view.echo, input)));
  while (rgy_coap_next_option (&view, &cursor, &option))
    {
      g_assert (option.number >= last);
      g_assert (fuzz_is_within (option.value, view.options));
      last = option.number;
      bytes += 1 + option.value.len;
      g_assert (bytes <= view.options.len);
      if (count < MAX_OPTIONS)
        options[count++] = option;
    }
  check_refusals_ (&view);
  if (count == MAX_OPTIONS)
    return;
  header = (struct rgy_coap_header){ .type = view.type,
                                     .code = view.code,
                                     .message_id = view.message_id,
                                     .token = view.token };
  built = rgy_coap_build (&header, options, count, view.payload);
  rewritten = rgy_coap_rewrite (&view, &header, NULL, 0);
  g_assert (fuzz_arrays_equal (built, rewritten));
  g_assert (rgy_coap_parse (fuzz_view_array (built), &again) == RGY_OK);
  g_assert (again.type == view.type && again.code == view.code
            && again.message_id == view.message_id
            && bytes_are_equal_ (again.token, view.token)
            && bytes_are_equal_ (again.payload, view.payload));
  g_assert (again.has_observe == view.has_observe
            && again.has_echo == view.has_echo
            && again.has_deadline == view.has_deadline);
  g_assert (!view.has_observe || again.observe == view.observe);
  g_assert (!view.has_echo || bytes_are_equal_ (again.echo, view.echo));
  g_assert (!view.has_deadline || again.deadline_ms == view.deadline_ms);
  g_byte_array_unref (built);
  g_byte_array_unref (rewritten);
}
