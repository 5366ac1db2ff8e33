#ifndef TEST_PROCESSES_PROCESS_H
#define TEST_PROCESSES_PROCESS_H

/**
 * @file
 * Child processes of the test.  Every wait ends with an event; the bound only
 * ends a hung test, with a message that says what was awaited.
 */

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#include <glib.h>

/** Far above what any event needs on a busy machine.  */
#define WAIT_BOUND_MS 60000

enum stream
{
  STREAM_OUT,
  STREAM_ERROR,
  STREAM_COUNT
};

struct process;

/** Start a program.  The process ends when the test program ends.
    @param arguments  program and arguments; not kept.
    @param environment  whole environment as "NAME=VALUE".  */
struct process *process_start (const char *name, char **arguments,
                               char **environment);
/** Kill the process if it still runs, by its ID, and forget it.  */
void process_delete (struct process *process);
/** Kill and forget all processes, in the reverse order of their start.  */
void process_delete_all (void);

/** Send a signal to a process that has not ended.  */
void process_signal (struct process *process, int number);
/** Wait for the end.  @return exit status, or minus the signal's number.  */
int process_await_exit (struct process *process);
/** Wait for a line that contains @p text.
    @param from  offset in the stream to search from.
    @return offset behind that line.  */
size_t process_await_line (struct process *process, enum stream stream,
                           const char *text, size_t from);
/** What the process has written so far.  */
const char *process_get_text (struct process *process, enum stream stream);
size_t process_get_length (struct process *process, enum stream stream);
/** Fail when a process that was not signalled or awaited has ended.  */
void process_check_running (struct process *process);

/** Repeat @p is_met until it holds.  @param what  names it in the message.  */
void await (bool (*is_met) (void *ctx), void *ctx, const char *what);

#endif
