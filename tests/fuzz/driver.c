#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fuzz.h"

/* Driver of the fuzz targets in ordinary builds: mutates the target's valid
   inputs with a seeded random generator.  The generator state of an iteration
   depends only on the seed and on the iteration's number, so that "--first I
   --iterations 1" reproduces one input.  */

#define MAX_INPUT_BYTES 65536
#define MAX_MUTATIONS 6
#define MAX_INSERT_BYTES 32
/* One input in this many consists of random bytes only.  */
#define RANDOM_INPUT_INTERVAL 64
#define TEXT_BYTES 160

/* Message with the command that reproduces the current input.  It is formatted
   before the input runs, as a signal handler may only write.  */
static char failure_message_[TEXT_BYTES];
static size_t failure_message_len_;

/* The sanitizers define this function; its address is NULL in programs built
   without them.  */
/* NOLINTNEXTLINE(readability-identifier-naming) */
void __sanitizer_set_death_callback (void (*callback) (void))
    __attribute__ ((weak));

/* In GCC, the undefined behaviour sanitizer does not call the death callback
   of the address sanitizer.  With these options it aborts instead, so that
   handle_fatal_signal_() reports the input.  */
/* NOLINTNEXTLINE(readability-identifier-naming) */
const char *__ubsan_default_options (void);

/* NOLINTNEXTLINE(readability-identifier-naming) */
const char *
__ubsan_default_options (void)
{
  return "abort_on_error=1:print_stacktrace=1";
}

static void
format_failure_message_ (const char *program, gint64 seed, gint64 iteration)
{
  g_snprintf (failure_message_, sizeof failure_message_,
              "\nfailed; rerun with: %s --seed %" G_GINT64_FORMAT
              " --first %" G_GINT64_FORMAT " --iterations 1\n",
              program, seed, iteration);
  failure_message_len_ = strlen (failure_message_);
}

static void
write_failure_message_ (void)
{
  ssize_t written
      = write (STDERR_FILENO, failure_message_, failure_message_len_);

  (void)written;
}

static void
handle_fatal_signal_ (int number)
{
  write_failure_message_ ();
  (void)signal (number, SIG_DFL);
  (void)raise (number);
}

static void
install_failure_handlers_ (void)
{
  if (__sanitizer_set_death_callback != NULL)
    __sanitizer_set_death_callback (write_failure_message_);
  else
    (void)signal (SIGSEGV, handle_fatal_signal_);
  (void)signal (SIGABRT, handle_fatal_signal_);
}

/* Inserts bytes, unless the input would exceed MAX_INPUT_BYTES.  */
static void
insert_bytes_ (GByteArray *input, size_t at, const uint8_t *data, size_t len)
{
  size_t tail = input->len - at;

  if (len == 0 || input->len + len > MAX_INPUT_BYTES)
    return;
  g_byte_array_set_size (input, (guint)(input->len + len));
  memmove (input->data + at + len, input->data + at, tail);
  memcpy (input->data + at, data, len);
}

static void
insert_random_bytes_ (GByteArray *input, uint64_t *state)
{
  uint8_t data[MAX_INSERT_BYTES];
  size_t len = 1 + fuzz_random_below (state, MAX_INSERT_BYTES);
  size_t i;

  for (i = 0; i < len; i++)
    data[i] = (uint8_t)fuzz_random_u64 (state);
  insert_bytes_ (input, fuzz_random_below (state, input->len + 1), data, len);
}

/* Replaces the tail of the input by the tail of a random valid input.  */
static void
splice_seed_tail_ (GByteArray *input, const GPtrArray *seeds, uint64_t *state)
{
  gsize len = 0;
  const uint8_t *other = g_bytes_get_data (
      g_ptr_array_index (seeds, fuzz_random_below (state, seeds->len)), &len);
  size_t at = fuzz_random_below (state, input->len + 1);
  size_t from = fuzz_random_below (state, len + 1);

  g_byte_array_set_size (input, (guint)at);
  insert_bytes_ (input, at, other + from, len - from);
}

/* Inserts a copy of a random part of the input at a random position.  */
static void
duplicate_part_ (GByteArray *input, uint64_t *state)
{
  size_t from = fuzz_random_below (state, input->len);
  size_t len = 1 + fuzz_random_below (state, input->len - from);
  uint8_t *copy = g_memdup2 (input->data + from, len);

  insert_bytes_ (input, fuzz_random_below (state, input->len + 1), copy, len);
  g_free (copy);
}

/* Changes the big-endian number in 1, 2 or 4 random bytes, as such numbers are
   often lengths.  */
static void
change_number_ (GByteArray *input, uint64_t *state)
{
  static const uint32_t values[]
      = { 0, 1, 0x7f, 0x80, 0xff, 0x7fff, 0xffff, 0x7fffffff, 0xffffffff };
  size_t width = (size_t)1 << fuzz_random_below (state, 3);
  uint64_t value = 0;
  size_t at;
  size_t i;

  if (input->len < width)
    return;
  at = fuzz_random_below (state, input->len - width + 1);
  for (i = 0; i < width; i++)
    value = value << 8 | input->data[at + i];
  switch (fuzz_random_below (state, 3))
    {
    case 0:
      value++;
      break;
    case 1:
      value--;
      break;
    default:
      value = values[fuzz_random_below (state, G_N_ELEMENTS (values))];
      break;
    }
  for (i = 0; i < width; i++)
    input->data[at + i] = (uint8_t)(value >> (8 * (width - 1 - i)));
}

/* Applies one random mutation that ignores the input's structure.  */
static void
mutate_bytes_ (GByteArray *input, const GPtrArray *seeds, uint64_t *state)
{
  size_t at;
  size_t kind = fuzz_random_below (state, 8);

  if (input->len == 0)
    {
      insert_random_bytes_ (input, state);
      return;
    }
  at = fuzz_random_below (state, input->len);
  switch (kind)
    {
    case 0: /* Truncate the input.  */
      g_byte_array_set_size (input, (guint)at);
      break;
    case 1: /* Remove a part of the input.  */
      g_byte_array_remove_range (
          input, (guint)at,
          (guint)(1 + fuzz_random_below (state, input->len - at)));
      break;
    case 2:
      insert_random_bytes_ (input, state);
      break;
    case 3:
      splice_seed_tail_ (input, seeds, state);
      break;
    case 4:
      duplicate_part_ (input, state);
      break;
    case 5:
      change_number_ (input, state);
      break;
    case 6:
      input->data[at] = (uint8_t)fuzz_random_u64 (state);
      break;
    default:
      input->data[at] ^= (uint8_t)(1U << fuzz_random_below (state, 8));
      break;
    }
}

/* Builds the input of an iteration: random bytes, or a valid input with 1 to
   MAX_MUTATIONS mutations, of which about half keep the structure.  */
static void
build_input_ (GByteArray *input, const GPtrArray *seeds, uint64_t *state)
{
  gsize len = 0;
  const uint8_t *data;
  size_t mutations;
  size_t i;

  g_byte_array_set_size (input, 0);
  if (fuzz_random_below (state, RANDOM_INPUT_INTERVAL) == 0)
    {
      len = fuzz_random_below (state, MAX_INSERT_BYTES * 8);
      for (i = 0; i < len; i++)
        {
          uint8_t byte = (uint8_t)fuzz_random_u64 (state);

          g_byte_array_append (input, &byte, 1);
        }
      return;
    }
  data = g_bytes_get_data (
      g_ptr_array_index (seeds, fuzz_random_below (state, seeds->len)), &len);
  g_byte_array_append (input, data, (guint)len);
  mutations = 1 + fuzz_random_below (state, MAX_MUTATIONS);
  for (i = 0; i < mutations; i++)
    if (fuzz_random_below (state, 2) == 0
        || !fuzz_mutate_structure (input, state))
      mutate_bytes_ (input, seeds, state);
}

/* Runs the target on a copy that has exactly the input's length, so that the
   sanitizers detect a read past its end.  */
static void
run_exact_copy_ (const void *data, size_t len)
{
  uint8_t *copy = g_memdup2 (data, len);

  fuzz_run_input ((struct rgy_bytes){ .data = copy, .len = len });
  g_free (copy);
}

static bool
run_files_ (char **files)
{
  char *data = NULL;
  gsize len = 0;
  size_t i;

  for (i = 0; files[i] != NULL; i++)
    {
      if (!g_file_get_contents (files[i], &data, &len, NULL))
        {
          g_printerr ("cannot read the input file %s\n", files[i]);
          return false;
        }
      run_exact_copy_ (data, len);
      g_free (data);
    }
  return true;
}

static bool
write_seeds_ (const GPtrArray *seeds, const char *folder)
{
  char name[TEXT_BYTES];
  char *path;
  gsize len = 0;
  const char *data;
  bool ok = true;
  guint i;

  for (i = 0; ok && i < seeds->len; i++)
    {
      g_snprintf (name, sizeof name, "seed-%u", i);
      path = g_build_filename (folder, name, NULL);
      data = g_bytes_get_data (g_ptr_array_index (seeds, i), &len);
      ok = g_file_set_contents (path, data, (gssize)len, NULL);
      if (!ok)
        g_printerr ("cannot write the seed file %s\n", path);
      g_free (path);
    }
  return ok;
}

static void
run_mutations_ (const GPtrArray *seeds, const char *program, gint64 seed,
                gint64 first, gint64 iterations)
{
  GByteArray *input = g_byte_array_new ();
  uint64_t state;
  gint64 i;

  for (i = first; i < first + iterations; i++)
    {
      format_failure_message_ (program, seed, i);
      state = (uint64_t)seed;
      state = fuzz_random_u64 (&state) ^ (uint64_t)i;
      build_input_ (input, seeds, &state);
      run_exact_copy_ (input->data, input->len);
    }
  g_byte_array_unref (input);
}

/* Runs the target on its valid inputs without a mutation.  */
static void
run_seeds_ (const GPtrArray *seeds)
{
  gsize len = 0;
  const void *data;
  guint i;

  for (i = 0; i < seeds->len; i++)
    {
      data = g_bytes_get_data (g_ptr_array_index (seeds, i), &len);
      run_exact_copy_ (data, len);
    }
}

int
main (int argc, char **argv)
{
  gint64 seed = 1;
  gint64 first = 0;
  gint64 iterations = 1000;
  gchar *folder = NULL;
  gchar **files = NULL;
  GOptionEntry options[] = {
    { "seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Seed of the random mutations",
      "N" },
    { "first", 0, 0, G_OPTION_ARG_INT64, &first,
      "Number of the first iteration", "N" },
    { "iterations", 0, 0, G_OPTION_ARG_INT64, &iterations,
      "Number of iterations", "N" },
    { "write-seeds", 0, 0, G_OPTION_ARG_FILENAME, &folder,
      "Write the valid inputs to a folder and exit", "FOLDER" },
    { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &files,
      "Input files to run instead of mutations", "FILE..." },
    { 0 },
  };
  GOptionContext *context = g_option_context_new (NULL);
  GPtrArray *seeds
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  GError *error = NULL;
  bool ok = true;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      g_printerr ("%s\n", error->message);
      g_error_free (error);
      ok = false;
      goto done;
    }
  install_failure_handlers_ ();
  fuzz_add_seeds (seeds);
  g_assert (seeds->len > 0);
  if (folder != NULL)
    ok = write_seeds_ (seeds, folder);
  else if (files != NULL)
    ok = run_files_ (files);
  else
    {
      run_seeds_ (seeds);
      run_mutations_ (seeds, argv[0], seed, first, iterations);
      g_print ("seed %" G_GINT64_FORMAT
               ": %u valid inputs and %" G_GINT64_FORMAT " mutations passed\n",
               seed, seeds->len, iterations);
    }
done:
  g_ptr_array_unref (seeds);
  g_option_context_free (context);
  g_free (folder);
  g_strfreev (files);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
