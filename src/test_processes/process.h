#ifndef TEST_PROCESSES_PROCESS_H
#define TEST_PROCESSES_PROCESS_H

/**
 * @file
 * Child processes of the test. Every wait ends with the event that it waits
 * for. The time-out applies only to a hung test: it fails the test with a
 * message that names the event.
 */

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#include <glib.h>

/** Time-out of every wait, which is far longer than any event takes even on a
    busy machine.  */
#define WAIT_TIMEOUT_MS 60000

/** Output streams of a process.  */
enum stream
{
  STREAM_OUT,
  STREAM_ERROR,
  STREAM_COUNT
};

struct process;

/** Start a program, whose process is killed when the test program ends.
    @param name  name of the process in messages; copied.
    @param arguments  path of the program and arguments; copied.
    @param environment  complete environment as "NAME=VALUE"; copied.  */
struct process *process_start (const char *name, char **arguments,
                               char **environment);
/** Kill the process by its ID if it still runs, and free it.  */
void process_delete (struct process *process);
/** Kill and free all processes, in the reverse order of their start.  */
void process_delete_all (void);

/** Send a signal to a process, which must still run.  */
void process_signal (struct process *process, int number);
/** Wait for the end of a process.
    @return its exit status, or the negative number of the signal.  */
int process_await_exit (struct process *process);
/** Wait for a complete line that contains @p text. The test fails at once when
    the stream has ended without such a line.
    @param from  offset in the stream at which the search starts.
    @return the offset after that line.  */
size_t process_await_line (struct process *process, enum stream stream,
                           const char *text, size_t from);
/** Output of a process that has been read so far; owned by the process.  */
const char *process_get_text (struct process *process, enum stream stream);
/** Read the available output and return the length of the stream so far.  */
size_t process_get_length (struct process *process, enum stream stream);
/** Fail the test when a process that should still run has ended.  */
void process_check_running (struct process *process);

/** Call @p is_met repeatedly until it returns true.
    @param what  description of the condition in the message of a time-out.  */
void await_condition (bool (*is_met) (void *ctx), void *ctx, const char *what);

#endif
