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

/* Runs with standard output in a pipe; returns what was written.  */
static char *
capture_ (void (*fn) (void))
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
flood_ (void)
{
  int i;

  for (i = 0; i < FLOW_LINES; i++)
    rgy_log_flow ("segment_returned flow=%d", i);
  rgy_log_info ("backend_state to=gone");
}

static unsigned
count_ (const char *text, const char *part)
{
  unsigned n = 0;

  for (text = strstr (text, part); text != NULL;
       text = strstr (text + 1, part))
    n++;
  return n;
}

/* Load pattern: a loss of power, after which an agent returns thousands of
   segments.  Its line that the backend server has gone was left out
   (rodaforte-sul-grown, trouble-1).  */
static void
flows_do_not_crowd_out_state_ (void **state)
{
  const char *text;

  (void)state;
  rgy_log_init ("agent", "test", "info");
  text = capture_ (flood_);
  assert_int_equal (count_ (text, "event=backend_state to=gone"), 1);
  /* The clock may pass into another second or two.  */
  assert_in_range (count_ (text, "event=segment_returned"), 80, 3 * 80);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (flows_do_not_crowd_out_state_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
