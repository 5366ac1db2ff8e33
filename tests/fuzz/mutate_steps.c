#include "fuzz.h"

/* Mutation of inputs that are sequences of steps: repeats, moves or removes a
   step, or changes the MessagePack body of one.  */

struct step_
{
  uint8_t operation;
  GByteArray *data;
};

static void
release_step_data_ (void *data)
{
  g_byte_array_unref (((struct step_ *)data)->data);
}

/* Steps of the input as an array of struct step_.  Free it with
   g_array_unref().  */
static GArray *
parse_steps_ (const GByteArray *input)
{
  GArray *steps = g_array_new (FALSE, FALSE, sizeof (struct step_));
  struct rgy_bytes rest = fuzz_view_array (input);
  struct rgy_bytes data;
  struct step_ step;

  g_array_set_clear_func (steps, release_step_data_);
  while (fuzz_step_next (&rest, &step.operation, &data))
    {
      step.data = g_byte_array_new ();
      if (data.len > 0)
        g_byte_array_append (step.data, data.data, (guint)data.len);
      g_array_append_val (steps, step);
    }
  return steps;
}

static void
mutate_steps_ (GArray *steps, uint64_t *state)
{
  size_t at = fuzz_random_below (state, steps->len);
  struct step_ step = g_array_index (steps, struct step_, at);

  switch (fuzz_random_below (state, 6))
    {
    case 0: /* Repeat the step at once or later.  */
      g_byte_array_ref (step.data);
      g_array_insert_val (
          steps, (guint)(at + fuzz_random_below (state, steps->len - at + 1)),
          step);
      break;
    case 1: /* Move the step to the front.  */
      g_byte_array_ref (step.data);
      g_array_remove_index (steps, (guint)at);
      g_array_prepend_val (steps, step);
      break;
    case 2:
      g_array_remove_index (steps, (guint)at);
      break;
    default:
      fuzz_mutate_msgpack (step.data, state);
      break;
    }
}

bool
fuzz_mutate_structure (GByteArray *input, uint64_t *state)
{
  GArray *steps = parse_steps_ (input);
  bool ok = steps->len > 0;
  guint i;

  if (ok)
    {
      mutate_steps_ (steps, state);
      g_byte_array_set_size (input, 0);
      for (i = 0; i < steps->len; i++)
        {
          const struct step_ *s = &g_array_index (steps, struct step_, i);

          if (s->data->len <= UINT16_MAX)
            fuzz_step_append (input, s->operation, fuzz_view_array (s->data));
        }
    }
  g_array_unref (steps);
  return ok;
}
