#include "soak.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ragwortyoke/clock.h"

unsigned soak_run_number;

static char *folder_;

const char *
soak_process_get_folder (void)
{
  if (folder_ == NULL)
    folder_ = g_dir_make_tmp ("rgy-soak-XXXXXX", NULL);
  return folder_;
}

void
soak_process_delete_folder (void)
{
  GDir *dir = g_dir_open (soak_process_get_folder (), 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_build_filename (folder_, name, NULL);

      g_unlink (path);
      g_free (path);
    }
  if (dir != NULL)
    g_dir_close (dir);
  g_rmdir (folder_);
}

/* Writes the settings file of a process.  @return its path.  */
static char *
write_settings_ (const struct soak_process *process, bool first_start)
{
  uint32_t address = (process->agent ? SOAK_AGENT_IP : SOAK_BALANCER_IP)
                     + (uint32_t)process->index;
  char ip[RGY_IP_TEXT_BYTES];
  char store[RGY_IP_TEXT_BYTES];
  char seed[RGY_IP_TEXT_BYTES];
  char *backend_address = g_strdup_printf (
      "%s:%d", rgy_ip_format (address, ip), SOAK_BACKEND_PORT);
  char *path = g_strdup_printf ("%s/%s.conf", soak_process_get_folder (), ip);
  char *text = g_strdup_printf (
      "[instance]\nname=%s-%zu\nip=%s\nfailure-domain=%s\nfirst-start=%s\n"
      "seeds=%s:%d\n[backend-server]\nservice=%s\naddress=%s\n"
      "heartbeat-ms=500\n[listen]\npackets=%s:%d\nfrom-backend-server=%s:%d\n"
      "readiness=%s:%d\nheartbeats=%s:%d\ninternal-ports=%d,%d\n"
      "[store]\naddress=%s:%d\n[flows]\nlifetime-s=60\nmemory-mb=64\n",
      process->agent ? "side" : "front", process->index, ip,
      process->index % 2 == 0 ? "domain-a" : "domain-b",
      first_start ? "true" : "false", rgy_ip_format (SOAK_BALANCER_IP, seed),
      SOAK_CONTROL_PORT,
      process->index < SOAK_WORKSHOP_AGENTS ? "workshop" : "catalogue",
      process->agent ? backend_address : "", ip, SOAK_PACKETS_PORT, ip,
      SOAK_OUTBOUND_PORT, ip, SOAK_READINESS_PORT, ip, SOAK_CONTROL_PORT,
      SOAK_INTERNAL_PORT, SOAK_INTERNAL_PORT + 15,
      rgy_ip_format (SOAK_STORE_IP, store), SOAK_STORE_PORT);

  g_file_set_contents (path, text, -1, NULL);
  g_free (text);
  g_free (backend_address);
  return path;
}

void
soak_process_start (struct soak_process *process, bool first_start)
{
  char *settings = write_settings_ (process, first_start);
  char *settings_variable = g_strconcat ("RAGWORTYOKE_BOOT=", settings, NULL);
  char *log = g_strconcat (settings, ".log", NULL);
  char *argv[] = { (char *)SOAK_PROGRAM,
                   (char *)(process->agent ? "agent" : "balancer"), NULL };
  char *envp[] = { settings_variable, NULL };
  pid_t pid = fork ();

  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      int other_fd;

      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      /* The child must not keep the sockets of the soak bound.  */
      for (other_fd = 3; other_fd < 1024; other_fd++)
        close (other_fd);
      execve (argv[0], argv, envp);
      _exit (127);
    }
  g_assert (pid > 0);
  process->pid = pid;
  process->paused = false;
  g_free (log);
  g_free (settings_variable);
  g_free (settings);
}

void
soak_process_signal (struct soak_process *process, int signal)
{
  if (process->pid == 0)
    return;
  kill (process->pid, signal);
  if (signal == SIGSTOP || signal == SIGCONT || signal == SIGKILL)
    process->paused = signal == SIGSTOP;
  if (signal != SIGKILL)
    return;
  waitpid (process->pid, NULL, 0);
  process->pid = 0;
}

bool
soak_process_has_ended (struct soak_process *process)
{
  if (process->pid != 0
      && waitpid (process->pid, NULL, WNOHANG) == process->pid)
    process->pid = 0;
  return process->pid == 0;
}
