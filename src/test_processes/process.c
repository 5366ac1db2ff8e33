#include "process.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/pidfd.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#define RETRY_MS 20
#define READ_BYTES 4096
#define US_PER_MS 1000
/* Bytes at the end of each stream that a failed wait prints.  */
#define SHOWN_BYTES 1500

struct process
{
  char *name;
  pid_t pid;
  int pidfd;
  int fds[STREAM_COUNT];
  GString *text[STREAM_COUNT];
  bool ended;
  int status;
};

/* All processes that were not deleted yet, in the order of their start.  */
static GPtrArray *processes_;

/* Called in the child before the program starts: the kernel kills the child
   when the test program ends.  */
static void
on_child_started_ (gpointer data)
{
  (void)data;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

struct process *
process_start (const char *name, char **arguments, char **environment)
{
  struct process *p = g_new0 (struct process, 1);
  GError *error = NULL;
  int i;

  if (!g_spawn_async_with_pipes (NULL, arguments, environment,
                                 G_SPAWN_DO_NOT_REAP_CHILD, on_child_started_,
                                 NULL, &p->pid, NULL, &p->fds[STREAM_OUT],
                                 &p->fds[STREAM_ERROR], &error))
    fail_msg ("cannot start %s: %s", arguments[0], error->message);
  p->name = g_strdup (name);
  p->pidfd = pidfd_open (p->pid, 0);
  assert_true (p->pidfd >= 0);
  for (i = 0; i < STREAM_COUNT; i++)
    {
      p->text[i] = g_string_new (NULL);
      assert_true (fcntl (p->fds[i], F_SETFL, O_NONBLOCK) == 0);
    }
  if (processes_ == NULL)
    processes_ = g_ptr_array_new ();
  g_ptr_array_add (processes_, p);
  return p;
}

/* Reads the available output of one stream.  */
static void
read_stream_ (struct process *p, int stream)
{
  char data[READ_BYTES];
  ssize_t n;

  while (p->fds[stream] >= 0)
    {
      n = read (p->fds[stream], data, sizeof data);
      if (n > 0)
        {
          g_string_append_len (p->text[stream], data, n);
          continue;
        }
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        return;
      close (p->fds[stream]);
      p->fds[stream] = -1;
    }
}

static void
reap_process_ (struct process *p)
{
  int status;

  if (p->ended || waitpid (p->pid, &status, WNOHANG) != p->pid)
    return;
  p->ended = true;
  p->status = WIFEXITED (status) ? WEXITSTATUS (status) : -WTERMSIG (status);
}

/* Waits up to TIMEOUT_MS for output or the end of any process. The pipes of
   all processes are read, so that no process blocks on a full pipe.  */
static void
poll_processes_ (int timeout_ms)
{
  struct pollfd *fds = g_new0 (struct pollfd, processes_->len * 3);
  struct process *p;
  nfds_t n = 0;
  guint i;
  int s;

  for (i = 0; i < processes_->len; i++)
    {
      p = g_ptr_array_index (processes_, i);
      for (s = 0; s < STREAM_COUNT; s++)
        if (p->fds[s] >= 0)
          fds[n++] = (struct pollfd){ .fd = p->fds[s], .events = POLLIN };
      if (!p->ended)
        fds[n++] = (struct pollfd){ .fd = p->pidfd, .events = POLLIN };
    }
  poll (fds, n, timeout_ms);
  g_free (fds);
  for (i = 0; i < processes_->len; i++)
    {
      p = g_ptr_array_index (processes_, i);
      for (s = 0; s < STREAM_COUNT; s++)
        read_stream_ (p, s);
      reap_process_ (p);
    }
}

/* Prints the last output of all processes and fails the test.  */
static void
fail_timed_out_ (const char *what)
{
  const struct process *p;
  const GString *text;
  guint i;
  int s;

  for (i = 0; i < processes_->len; i++)
    {
      p = g_ptr_array_index (processes_, i);
      for (s = 0; s < STREAM_COUNT; s++)
        {
          text = p->text[s];
          if (text->len > 0)
            fprintf (
                stderr, "--- %s (%s)\n%s\n", p->name,
                p->ended ? "ended" : "running",
                text->str
                    + (text->len > SHOWN_BYTES ? text->len - SHOWN_BYTES : 0));
        }
    }
  fail_msg ("timed out after %d ms waiting for %s", WAIT_TIMEOUT_MS, what);
}

static int64_t
get_now_ms_ (void)
{
  return g_get_monotonic_time () / US_PER_MS;
}

void
await_condition (bool (*is_met) (void *ctx), void *ctx, const char *what)
{
  int64_t deadline_ms = get_now_ms_ () + WAIT_TIMEOUT_MS;

  while (!is_met (ctx))
    {
      if (get_now_ms_ () >= deadline_ms)
        fail_timed_out_ (what);
      poll_processes_ (0);
      g_usleep (RETRY_MS * US_PER_MS);
    }
}

int
process_await_exit (struct process *process)
{
  int64_t deadline_ms = get_now_ms_ () + WAIT_TIMEOUT_MS;
  char *what;

  while (!process->ended)
    {
      if (get_now_ms_ () >= deadline_ms)
        {
          what = g_strdup_printf ("the end of %s", process->name);
          fail_timed_out_ (what);
        }
      poll_processes_ (RETRY_MS);
    }
  poll_processes_ (0);
  return process->status;
}

size_t
process_await_line (struct process *process, enum stream stream,
                    const char *text, size_t from)
{
  int64_t deadline_ms = get_now_ms_ () + WAIT_TIMEOUT_MS;
  const char *found;
  const char *end;
  char *what;

  for (;;)
    {
      found = strstr (process->text[stream]->str + from, text);
      end = found == NULL ? NULL : strchr (found, '\n');
      if (end != NULL)
        return (size_t)(end + 1 - process->text[stream]->str);
      if (get_now_ms_ () >= deadline_ms || process->fds[stream] < 0)
        {
          what
              = g_strdup_printf ("the line \"%s\" of %s", text, process->name);
          fail_timed_out_ (what);
        }
      poll_processes_ (RETRY_MS);
    }
}

const char *
process_get_text (struct process *process, enum stream stream)
{
  return process->text[stream]->str;
}

size_t
process_get_length (struct process *process, enum stream stream)
{
  poll_processes_ (0);
  return process->text[stream]->len;
}

void
process_check_running (struct process *process)
{
  poll_processes_ (0);
  if (process->ended)
    {
      fprintf (stderr, "%s\n", process->text[STREAM_ERROR]->str);
      fail_msg ("%s has ended with status %d", process->name, process->status);
    }
}

void
process_signal (struct process *process, int number)
{
  process_check_running (process);
  assert_int_equal (kill (process->pid, number), 0);
}

void
process_delete (struct process *process)
{
  int s;

  g_ptr_array_remove (processes_, process);
  if (!process->ended)
    {
      kill (process->pid, SIGKILL);
      waitpid (process->pid, NULL, 0);
    }
  close (process->pidfd);
  for (s = 0; s < STREAM_COUNT; s++)
    {
      if (process->fds[s] >= 0)
        close (process->fds[s]);
      g_string_free (process->text[s], TRUE);
    }
  g_free (process->name);
  g_free (process);
}

void
process_delete_all (void)
{
  while (processes_ != NULL && processes_->len > 0)
    process_delete (g_ptr_array_index (processes_, processes_->len - 1));
  if (processes_ != NULL)
    g_ptr_array_unref (processes_);
  processes_ = NULL;
}
