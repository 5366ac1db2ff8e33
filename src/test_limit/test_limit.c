#include "tests.h"

int
main (void)
{
  int failed = run_rate_tests ();

  failed += run_count_tests ();
  return failed != 0;
}
