#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "ragwortyoke/store_position.h"

/* Revisions of a store that has returned from an older copy are lower than
   before: by itself, the higher one of the epoch before would win for ever. */
static void
later_epoch_comes_before_revision_ (void **state)
{
  static const struct rgy_store_position ascending[]
      = { { .epoch = 0, .revision = 0 },
          { .epoch = 0, .revision = UINT64_MAX },
          { .epoch = 1, .revision = 0 },
          { .epoch = 1, .revision = 500 },
          { .epoch = 2, .revision = 450 },
          { .epoch = 2, .revision = UINT64_MAX },
          { .epoch = UINT32_MAX, .revision = 1 } };
  const size_t n = sizeof ascending / sizeof ascending[0];
  size_t i;
  size_t k;

  (void)state;
  for (i = 0; i < n; i++)
    for (k = 0; k < n; k++)
      {
        int order = rgy_store_position_compare (ascending[i], ascending[k]);

        assert_int_equal ((order > 0) - (order < 0), (i > k) - (i < k));
        assert_int_equal (
            rgy_store_position_is_later (ascending[i], ascending[k]), i > k);
      }
}

/* An answer of an earlier epoch must change nothing, and one of a later epoch
   must not be taken for a change among others.  */
static void
answers_are_classified_by_epoch_ (void **state)
{
  (void)state;
  assert_int_equal (rgy_store_classify_answer (3, 3, false),
                    RGY_STORE_ANSWER_CURRENT);
  assert_int_equal (rgy_store_classify_answer (3, 2, false),
                    RGY_STORE_ANSWER_LATE);
  assert_int_equal (rgy_store_classify_answer (3, 2, true),
                    RGY_STORE_ANSWER_LATE);
  assert_int_equal (rgy_store_classify_answer (3, 4, false),
                    RGY_STORE_ANSWER_OF_RETURN);
  assert_int_equal (rgy_store_classify_answer (3, 9, false),
                    RGY_STORE_ANSWER_OF_RETURN);
  assert_int_equal (rgy_store_classify_answer (0, 4, true),
                    RGY_STORE_ANSWER_FIRST);
  /* Entries read without an epoch may be of an earlier one.  */
  assert_int_equal (rgy_store_classify_answer (0, 4, false),
                    RGY_STORE_ANSWER_OF_RETURN);
}

/* A store without epochs, and a single answer without one, must not stop the
   work.  */
static void
answers_without_epoch_are_current_ (void **state)
{
  (void)state;
  assert_int_equal (rgy_store_classify_answer (0, 0, true),
                    RGY_STORE_ANSWER_CURRENT);
  assert_int_equal (rgy_store_classify_answer (3, 0, false),
                    RGY_STORE_ANSWER_CURRENT);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (later_epoch_comes_before_revision_),
    cmocka_unit_test (answers_are_classified_by_epoch_),
    cmocka_unit_test (answers_without_epoch_are_current_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
