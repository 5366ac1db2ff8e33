#include "fuzz.h"
#include "store_answer.h"

/* Fuzz target of the decoder of the answers of the platform's store.  */

void
fuzz_add_seeds (GPtrArray *seeds)
{
  fuzz_add_seed_text (
      seeds, "{\"items\":[{\"key\":\"ragwortyoke/balancer/10.1.0.10\","
             "\"value\":\"MTAuMS4wLjEw\",\"revision\":412,\"create_rev\":412,"
             "\"lease\":77120}],\"more_pages\":false,\"current_rev\":530}");
  fuzz_add_seed_text (
      seeds, "{\"events\":[{\"key\":\"op/config\",\"value\":\"e30=\","
             "\"revision\":9,\"create_rev\":3,\"lease\":0},{\"key\":"
             "\"op/evacuate/poa-a\",\"revision\":10,\"tombstone\":true}],"
             "\"current_rev\":530}");
}

static void
check_list_ (struct rgy_bytes input, const char *name)
{
  struct rgy_platform_store_answer answer;
  guint i;

  if (!rgy_platform_store_answer_read (&answer, input, name))
    return;
  g_assert (json_is_object (answer.fields));
  for (i = 0; i < answer.list->len; i++)
    {
      struct rgy_bytes text = g_array_index (answer.list, struct rgy_bytes, i);
      struct rgy_platform_store_entry entry;

      g_assert (text.data >= input.data
                && text.data + text.len <= input.data + input.len);
      if (rgy_platform_store_entry_read (&entry, text) == NULL)
        g_assert (entry.key.len > 0 && entry.revision > 0
                  && entry.removed == (entry.value == NULL));
      rgy_platform_store_entry_clear (&entry);
    }
  rgy_platform_store_answer_clear (&answer);
}

/* Each entry must lie within the answer, and must be valid or rejected.  */
void
fuzz_run_input (struct rgy_bytes input)
{
  check_list_ (input, "items");
  check_list_ (input, "events");
}
