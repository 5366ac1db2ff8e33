#include "rig.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define PROGRAM "target/ragwortyoke"
#define MEMORY_MB_BALANCER 260
#define MEMORY_MB_AGENT 128

/* Writes the settings file as the platform fills in platform/settings.conf. */
static void
write_settings_ (const struct rig_process *process, bool bootstrap,
                 const char *path)
{
  uint32_t address = process->is_agent ? RIG_AGENT_IP (process->index)
                                       : RIG_BALANCER_IP (process->index);
  FILE *file = fopen (path, "w");
  char ip[32];
  char store[32];
  char seeds[2][32];

  if (file == NULL)
    exit (2);
  rig_format_ip (address, ip, sizeof ip);
  rig_format_ip (RIG_STORE_IP, store, sizeof store);
  rig_format_ip (RIG_AGENT_IP (0), seeds[0], sizeof seeds[0]);
  rig_format_ip (RIG_AGENT_IP (1), seeds[1], sizeof seeds[1]);
  fprintf (file, "[instance]\nname=%s-%d\nip=%s\nfailure-domain=%s\n",
           process->is_agent ? "side" : "frontend", process->index, ip,
           process->zone);
  fprintf (file, "first-start=%s\nseeds=%s:%d,%s:%d\n",
           bootstrap ? "true" : "false", seeds[0], RIG_CONTROL_PORT, seeds[1],
           RIG_CONTROL_PORT);
  if (process->is_agent)
    fprintf (file, "[backend-server]\nservice=%s\naddress=%s:%d\n",
             RIG_SERVICE, ip, RIG_APP_PORT);
  else
    fprintf (file, "[backend-server]\nservice=\naddress=\n");
  fprintf (file, "heartbeat-ms=%d\n[listen]\npackets=%s:%d\n",
           RIG_HEARTBEAT_MS, ip, RIG_PACKETS_PORT);
  if (process->is_agent)
    fprintf (file, "from-backend-server=%s:%d\n", ip, RIG_OUTBOUND_PORT);
  else
    fprintf (file, "from-backend-server=\n");
  fprintf (file, "readiness=%s:%d\nheartbeats=%s:%d\n", ip, RIG_READINESS_PORT,
           ip, RIG_CONTROL_PORT);
  fprintf (file, "internal-ports=7720,7735\n[store]\naddress=%s:%d\n", store,
           RIG_STORE_PORT);
  fprintf (file, "recovery-ms=4000\n[flows]\nlifetime-s=60\nmemory-mb=%d\n",
           process->is_agent ? MEMORY_MB_AGENT : MEMORY_MB_BALANCER);
  fprintf (file, "cold-overshoot=1.5\ncold-slack=5\n");
  fclose (file);
}

void
rig_process_start (struct rig_process *process, bool bootstrap)
{
  const char *role = process->is_agent ? "agent" : "balancer";
  char path[192];
  char variable[256];
  char log[256];
  char *argv[] = { (char *)PROGRAM, (char *)role, NULL };
  char *envp[] = { variable, NULL };

  snprintf (path, sizeof path, "%s/%s-%d.conf", rig_folder, role,
            process->index);
  snprintf (variable, sizeof variable, "RAGWORTYOKE_BOOT=%s", path);
  snprintf (log, sizeof log, "%s.log", path);
  write_settings_ (process, bootstrap, path);
  rig_record ("start %s %d", role, process->index);
  process->is_stopping = false;
  fflush (stdout);
  process->pid = fork ();
  if (process->pid != 0)
    return;
  {
    int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
    int other;

    prctl (PR_SET_PDEATHSIG, SIGKILL);
    dup2 (fd, STDOUT_FILENO);
    dup2 (fd, STDERR_FILENO);
    for (other = 3; other < 1024; other++)
      close (other);
    execve (argv[0], argv, envp);
    _exit (127);
  }
}

void
rig_process_kill (struct rig_process *process, int signal)
{
  rig_record ("signal %d to %s %d", signal,
              process->is_agent ? "agent" : "balancer", process->index);
  kill (process->pid, signal);
  process->is_stopping = signal == SIGTERM;
  if (signal != SIGKILL)
    return;
  waitpid (process->pid, NULL, 0);
  process->pid = 0;
}

void
rig_process_stop (struct rig_process *process)
{
  rig_process_kill (process, SIGTERM);
  waitpid (process->pid, NULL, 0);
  process->pid = 0;
}

void
rig_process_end (struct rig_process *process)
{
  if (process->pid == 0)
    return;
  kill (process->pid, SIGKILL);
  waitpid (process->pid, NULL, 0);
  process->pid = 0;
}

bool
rig_process_check (struct rig_process *process)
{
  if (process->pid == 0 || waitpid (process->pid, NULL, WNOHANG) == 0)
    return false;
  process->pid = 0;
  return !process->is_stopping;
}
