#include "fuzz.h"
#include "ragwortyoke/handover.h"

/* Fuzz target of the decoder of handover states.  */

static const uint8_t registration_[] = { 0x52, 0x01, 0x00, 0x07, 0xaa, 0xbb };
static const uint8_t token_[] = { 0xaa, 0xbb };

#define BYTES(array)                                                          \
  ((struct rgy_bytes){ .data = (array), .len = sizeof (array) })

void
fuzz_add_seeds (GPtrArray *seeds)
{
  struct rgy_handover_state state
      = { .key
          = rgy_flow_key_udp ((struct rgy_endpoint){ .ip = 1, .port = 2 },
                              (struct rgy_endpoint){ .ip = 3, .port = 4 }),
          .customer = rgy_name_from_c ("rodaforte") };
  size_t i;

  fuzz_add_seed_array (seeds, rgy_handover_state_encode (&state));
  state.observation_count = RGY_HANDOVER_MAX_OBSERVATIONS;
  for (i = 0; i < state.observation_count; i++)
    state.observations[i] = (struct rgy_handover_observation){
      .registration = BYTES (registration_),
      .last_sequence = 0xffffff - (uint32_t)i,
      .notified = true
    };
  state.record_count = RGY_HANDOVER_MAX_RECORDS;
  for (i = 0; i < state.record_count; i++)
    state.records[i]
        = (struct rgy_handover_record){ .message_id = (uint16_t)i,
                                        .token = BYTES (token_),
                                        .response = BYTES (registration_),
                                        .age_ms = 1000 };
  state.echo_epoch_count = RGY_HANDOVER_MAX_EPOCHS;
  for (i = 0; i < state.echo_epoch_count; i++)
    state.echo_epochs[i] = UINT64_MAX - i;
  fuzz_add_seed_array (seeds, rgy_handover_state_encode (&state));
}

/* A state that the decoder accepts must stay the same when it is encoded and
   decoded again, and its byte ranges must lie within the input.  */
void
fuzz_run_input (struct rgy_bytes input)
{
  struct rgy_handover_state state;
  struct rgy_handover_state again;
  GByteArray *first;
  GByteArray *second;
  size_t i;

  if (rgy_handover_state_decode (input, &state) != RGY_OK)
    return;
  g_assert (state.observation_count <= RGY_HANDOVER_MAX_OBSERVATIONS
            && state.record_count <= RGY_HANDOVER_MAX_RECORDS
            && state.echo_epoch_count <= RGY_HANDOVER_MAX_EPOCHS);
  for (i = 0; i < state.observation_count; i++)
    g_assert (fuzz_is_within (state.observations[i].registration, input));
  for (i = 0; i < state.record_count; i++)
    g_assert (fuzz_is_within (state.records[i].token, input)
              && fuzz_is_within (state.records[i].response, input));
  first = rgy_handover_state_encode (&state);
  g_assert (rgy_handover_state_decode (fuzz_view_array (first), &again)
            == RGY_OK);
  second = rgy_handover_state_encode (&again);
  g_assert (fuzz_arrays_equal (first, second));
  g_byte_array_unref (first);
  g_byte_array_unref (second);
}
