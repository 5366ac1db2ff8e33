#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <fcntl.h>
#include <glib.h>
#include <unistd.h>

#include "ragwortyoke-io/log.h"

#define FLOW_LINES 1000

/* Runs FN with standard output in a pipe and returns what was written, in a
   static buffer.  */
static char *
capture_output_ (void (*fn) (void))
{
  static char text[65536];
  int ends[2];
  int saved = dup (STDOUT_FILENO);
  ssize_t n;

  assert_int_equal (pipe (ends), 0);
  assert_true (dup2 (ends[1], STDOUT_FILENO) >= 0);
  rgy_log_to_standard_output ();
  fn ();
  assert_true (dup2 (saved, STDOUT_FILENO) >= 0);
  close (saved);
  close (ends[1]);
  n = read (ends[0], text, sizeof text - 1);
  close (ends[0]);
  text[n > 0 ? n : 0] = '\0';
  return text;
}

static void
log_burst_of_flows_ (void)
{
  int i;

  for (i = 0; i < FLOW_LINES; i++)
    rgy_log_flow ("segment_returned flow=%d", i);
  rgy_log_info ("backend_state to=gone");
}

static unsigned
count_occurrences_ (const char *text, const char *part)
{
  unsigned n = 0;

  for (text = strstr (text, part); text != NULL;
       text = strstr (text + 1, part))
    n++;
  return n;
}

/* A burst of lines about flows must not displace lines about state changes.
   In the load pattern rodaforte-sul-grown, trouble-1, an agent returned
   thousands of segments after a loss of power, and its line that reported the
   backend server as gone was left out.  */
static void
state_lines_survive_a_burst_of_flow_lines_ (void **state)
{
  const char *text;

  (void)state;
  rgy_log_init ("agent", "test", "info");
  text = capture_output_ (log_burst_of_flows_);
  assert_int_equal (count_occurrences_ (text, "event=backend_state to=gone"),
                    1);
  /* The burst may extend over up to three seconds of the clock.  */
  assert_in_range (count_occurrences_ (text, "event=segment_returned"), 80,
                   3 * 80);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (state_lines_survive_a_burst_of_flow_lines_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
