#include "rig.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

/* The platform kills a process that has not ended this time after
   SIGTERM.  */
#define GRACE_S 6.0
#define POLL_MS 20

struct rig_process
{
  char *name;
  bool agent;
  size_t index;
  char *zone;
  char *service;
  pid_t pid;
  double kill_at_s;
  double pause_s;
};

static GPtrArray *processes_;
static char *folder_;

/* Fills in platform/settings.conf as the platform does.  */
static char *
write_settings_ (const struct rig_process *p, bool first)
{
  const char *ip = rig_ip_text (p->agent ? rig_host_ip (p->index)
                                         : rig_node_ip (p->index));
  char *path = g_strdup_printf ("%s/%s.conf", folder_, p->name);
  char *app = p->agent ? g_strdup_printf ("%s:%u", ip, rig_port (RIG_PORT_APP))
                       : g_strdup ("");
  char *outbound
      = p->agent ? g_strdup_printf ("%s:%u", ip, rig_port (RIG_PORT_OUTBOUND))
                 : g_strdup ("");
  char *text = g_strdup_printf (
      "[instance]\nname=%s\nip=%s\nfailure-domain=%s\nfirst-start=%s\n"
      "seeds=%s:%u\n\n[backend-server]\nservice=%s\naddress=%s\n"
      "heartbeat-ms=1200\n\n[listen]\npackets=%s:%u\n"
      "from-backend-server=%s\nreadiness=%s:%u\nheartbeats=%s:%u\n"
      "internal-ports=%u,%u\n\n[store]\naddress=%s:%u\n\n[flows]\n"
      "lifetime-s=60\nmemory-mb=%d\ncold-overshoot=1.5\ncold-slack=5\n",
      p->name, ip, p->zone, first ? "true" : "false",
      rig_ip_text (rig_node_ip (0)), rig_port (RIG_PORT_CONTROL),
      p->agent ? p->service : "", app, ip, rig_port (RIG_PORT_PACKETS),
      outbound, ip, rig_port (RIG_PORT_READINESS), ip,
      rig_port (RIG_PORT_CONTROL), rig_port (RIG_PORT_INTERNAL),
      rig_port (RIG_PORT_INTERNAL) + 15, rig_ip_text (rig_store_ip ()),
      rig_port (RIG_PORT_STORE), p->agent ? 128 : 260);

  g_file_set_contents (path, text, -1, NULL);
  g_free (text);
  g_free (outbound);
  g_free (app);
  return path;
}

static void
start_ (struct rig_process *p, bool first)
{
  char *settings = write_settings_ (p, first);
  char *variable = g_strconcat ("RAGWORTYOKE_BOOT=", settings, NULL);
  char *log = g_strconcat (settings, ".log", NULL);
  char program[] = "target/ragwortyoke";
  char agent[] = "agent";
  char balancer[] = "balancer";
  char *argv[] = { program, p->agent ? agent : balancer, NULL };
  char *envp[] = { variable, NULL };
  pid_t parent = getpid ();
  pid_t pid = fork ();

  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (getppid () != parent)
        _exit (127);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execve (program, argv, envp);
      _exit (127);
    }
  if (pid < 0)
    rig_cannot_run ("cannot start a process");
  p->pid = pid;
  p->kill_at_s = 0;
  rig_record ("start process=%s pid=%d first=%d", p->name, (int)pid, first);
  g_free (log);
  g_free (variable);
  g_free (settings);
}

static struct rig_process *
new_process_ (bool agent, size_t i, const char *zone, const char *service,
              bool first)
{
  struct rig_process *p = g_new0 (struct rig_process, 1);

  if (processes_ == NULL)
    {
      processes_ = g_ptr_array_new ();
      folder_ = g_dir_make_tmp ("rgy-review-XXXXXX", NULL);
      if (folder_ == NULL || g_access ("target/ragwortyoke", X_OK) != 0)
        rig_cannot_run ("no folder, or target/ragwortyoke isn't built");
    }
  p->name = g_strdup_printf ("%s-%zu", agent ? "side" : "front", i);
  p->agent = agent;
  p->index = i;
  p->zone = g_strdup (zone);
  p->service = g_strdup (service);
  g_ptr_array_add (processes_, p);
  start_ (p, first);
  return p;
}

struct rig_process *
rig_start_node (size_t i, const char *zone, bool first)
{
  return new_process_ (false, i, zone, NULL, first);
}

struct rig_process *
rig_start_agent (size_t i, const char *zone, const char *service, bool first)
{
  return new_process_ (true, i, zone, service, first);
}

static gboolean
on_start_timer_ (gpointer data)
{
  start_ (data, false);
  return G_SOURCE_REMOVE;
}

static gboolean
on_end_poll_ (gpointer data)
{
  struct rig_process *p = data;

  if (waitpid (p->pid, NULL, WNOHANG) != p->pid)
    {
      if (rig_now () > p->kill_at_s)
        kill (p->pid, SIGKILL);
      return G_SOURCE_CONTINUE;
    }
  rig_record ("ended process=%s", p->name);
  p->pid = 0;
  g_timeout_add ((guint)(p->pause_s * 1e3), on_start_timer_, p);
  return G_SOURCE_REMOVE;
}

void
rig_kill (struct rig_process *p)
{
  rig_record ("SIGKILL process=%s", p->name);
  kill (p->pid, SIGKILL);
  waitpid (p->pid, NULL, 0);
  p->pid = 0;
}

void
rig_restart (struct rig_process *p, double pause_s)
{
  rig_record ("SIGTERM process=%s", p->name);
  p->kill_at_s = rig_now () + GRACE_S;
  p->pause_s = pause_s;
  kill (p->pid, SIGTERM);
  g_timeout_add (POLL_MS, on_end_poll_, p);
}

static void
delete_folder_ (void)
{
  GDir *dir = g_dir_open (folder_, 0, NULL);
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

void
rig_end_processes (void)
{
  guint i;

  if (processes_ == NULL)
    return;
  for (i = 0; i < processes_->len; i++)
    {
      struct rig_process *p = g_ptr_array_index (processes_, i);

      if (p->pid == 0)
        continue;
      kill (p->pid, SIGKILL);
      waitpid (p->pid, NULL, 0);
      p->pid = 0;
    }
  if (g_getenv ("KEEP_LOGS") == NULL)
    delete_folder_ ();
  else
    rig_record ("logs %s", folder_);
  processes_ = NULL;
}
