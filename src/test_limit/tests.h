#ifndef TESTS_H
#define TESTS_H

/** Test groups; each function returns the number of failed tests.  */
int run_rate_tests (void);
int run_count_tests (void);

#endif
