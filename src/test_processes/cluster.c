#include "cluster.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <curl/curl.h>
#include <glib/gstdio.h>

#define NETWORK 0x7f3c0000 /* 127.60.0.0 */
#define NETWORK_COUNT 256
#define HOST_LOCK 254
#define OCTET_BITS 8
#define HTTP_TIMEOUT_MS 5000L
#define HTTP_OK 200
/* Byte limit of the first contract, in bytes per second.  */
#define FIRST_BYTE_LIMIT 50000000

const char *const cluster_domains[CLUSTER_MAX] = { "dom-a", "dom-b", "dom-c" };

char *
cluster_format_endpoint (const struct cluster *c, unsigned host, unsigned port)
{
  return g_strdup_printf ("127.60.%u.%u:%u", c->network, host, port);
}

/* Reserves a network that no other running test program uses: a bound socket
   marks it as used.  */
static void
reserve_network_ (struct cluster *c)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons (PORT_INSTANCE) };

  for (c->network = 0; c->network < NETWORK_COUNT; c->network++)
    {
      c->lock = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
      assert_true (c->lock >= 0);
      addr.sin_addr.s_addr
          = htonl (NETWORK | c->network << OCTET_BITS | HOST_LOCK);
      if (bind (c->lock, (struct sockaddr *)&addr, sizeof addr) == 0)
        return;
      close (c->lock);
    }
  fail_msg ("all networks of 127.60.0.0/16 are in use");
}

static size_t
on_data_ (char *data, size_t size, size_t count, void *ctx)
{
  g_string_append_len (ctx, data, (gssize)(size * count));
  return size * count;
}

char *
cluster_request_http (const struct cluster *c, unsigned host, unsigned port,
                      const char *path, const char *body, long *status)
{
  char *endpoint = cluster_format_endpoint (c, host, port);
  char *url = g_strdup_printf ("http://%s%s", endpoint, path);
  GString *received = g_string_new (NULL);
  CURL *easy = curl_easy_init ();
  bool answered;

  *status = 0;
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, HTTP_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data_);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, received);
  if (body != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)strlen (body));
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
    }
  answered = curl_easy_perform (easy) == CURLE_OK;
  if (answered)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, status);
  curl_easy_cleanup (easy);
  g_free (url);
  g_free (endpoint);
  return g_string_free (received, !answered);
}

struct json_wait_
{
  const struct cluster *c;
  unsigned host;
  unsigned port;
  const char *path;
  json_t *json;
};

static bool
is_json_received_ (void *ctx)
{
  struct json_wait_ *w = ctx;
  long status;
  char *text
      = cluster_request_http (w->c, w->host, w->port, w->path, NULL, &status);

  w->json = text == NULL ? NULL : json_loads (text, 0, NULL);
  g_free (text);
  return w->json != NULL;
}

json_t *
cluster_get_json (const struct cluster *c, unsigned host, unsigned port,
                  const char *path)
{
  struct json_wait_ wait
      = { .c = c, .host = host, .port = port, .path = path };

  await_condition (is_json_received_, &wait, path);
  return wait.json;
}

double
cluster_get_metric (const struct cluster *c, unsigned host, const char *name)
{
  long status;
  char *text
      = cluster_request_http (c, host, PORT_HTTP, "/metrics", NULL, &status);
  char *line = g_strdup_printf ("\nragwortyoke_%s ", name);
  const char *found = text == NULL ? NULL : strstr (text, line);
  double value = found == NULL ? 0 : strtod (found + strlen (line), NULL);

  g_free (line);
  g_free (text);
  return value;
}

void
cluster_set_faults (struct cluster *c, const char *json)
{
  long status;
  char *text = cluster_request_http (c, HOST_STORE, PORT_STORE,
                                     "/standin/faults", json, &status);

  assert_int_equal (status, HTTP_OK);
  g_free (text);
}

struct process *
cluster_start_ctl (struct cluster *c, const char *line)
{
  char *all = g_strdup_printf ("%s %s", RAGWORTYOKECTL_PATH, line);
  char **arguments = g_strsplit (all, " ", 0);
  struct process *p
      = process_start ("ragwortyokectl", arguments, c->environment);

  g_strfreev (arguments);
  g_free (all);
  return p;
}

int
cluster_run_ctl (struct cluster *c, const char *line)
{
  struct process *p = cluster_start_ctl (c, line);
  int status = process_await_exit (p);

  process_delete (p);
  return status;
}

char *
cluster_read_ctl (struct cluster *c, const char *line)
{
  struct process *p = cluster_start_ctl (c, line);
  char *text;

  if (process_await_exit (p) != 0)
    fail_msg ("ragwortyokectl %s: %s", line,
              process_get_text (p, STREAM_ERROR));
  text = g_strdup (process_get_text (p, STREAM_OUT));
  process_delete (p);
  return text;
}

char *
cluster_write_contract (struct cluster *c, unsigned bytes_per_second)
{
  char *service = cluster_format_endpoint (c, HOST_SERVICE, PORT_SERVICE);
  char *path
      = g_strdup_printf ("%s/contract-%u.json", c->folder, bytes_per_second);
  char *text = g_strdup_printf (
      "{\"customer\":\"" CLUSTER_CUSTOMER "\",\"callers\":[\"127.60.%u.0/24\"]"
      ",\"limits\":{\"bytes_per_second\":%u},\"services\":[{\"name\":"
      "\"workshop\",\"address\":\"%s\",\"protocol\":\"coap\",\"limits\":{"
      "\"open_flows\":5000,\"new_flows_per_second\":500,"
      "\"requests_in_flight\":200}}]}",
      c->network, bytes_per_second, service);

  assert_true (g_file_set_contents (path, text, -1, NULL));
  g_free (text);
  g_free (service);
  return path;
}

int
cluster_put_contract (struct cluster *c, unsigned bytes_per_second,
                      const char *options)
{
  char *path = cluster_write_contract (c, bytes_per_second);
  char *line = g_strdup_printf ("contract put %s%s", path, options);
  int status = cluster_run_ctl (c, line);

  g_free (line);
  g_free (path);
  return status;
}

/* Starts a program. FORMAT gives the path of the program and its arguments,
   separated by spaces.  */
static struct process *start_program_ (struct cluster *c, const char *name,
                                       const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

static struct process *
start_program_ (struct cluster *c, const char *name, const char *format, ...)
{
  char **arguments;
  struct process *p;
  char *line;
  va_list ap;

  va_start (ap, format);
  line = g_strdup_vprintf (format, ap);
  va_end (ap);
  arguments = g_strsplit (line, " ", 0);
  p = process_start (name, arguments, c->environment);
  g_strfreev (arguments);
  g_free (line);
  return p;
}

/* Returns the endpoints of all balancers, separated by commas.  */
static char *
list_balancers_ (const struct cluster *c, unsigned port)
{
  GString *list = g_string_new (NULL);
  unsigned i;

  for (i = 0; i < c->balancer_count; i++)
    g_string_append_printf (list, "%s127.60.%u.%u:%u", i == 0 ? "" : ",",
                            c->network, HOST_BALANCER + i, port);
  return g_string_free (list, FALSE);
}

static char **
build_environment_ (const struct cluster *c)
{
  char **env = g_get_environ ();
  char *balancers = list_balancers_ (c, PORT_HTTP);
  char *seeds = list_balancers_ (c, PORT_INSTANCE);
  char *store = cluster_format_endpoint (c, HOST_STORE, PORT_STORE);
  GString *key = g_string_new (NULL);
  int i;

  for (i = 0; i < 32; i++)
    g_string_append_printf (key, "%02x", CLUSTER_KEY_BYTE);
  env = g_environ_setenv (env, "RAGWORTYOKE_CLUSTER_KEY", key->str, TRUE);
  env = g_environ_setenv (env, "RAGWORTYOKE_OPERATOR_TOKEN", "test-token",
                          TRUE);
  env = g_environ_setenv (env, "RAGWORTYOKE_OPERATOR", "ana", TRUE);
  env = g_environ_setenv (env, "RAGWORTYOKE_STORE", store, TRUE);
  env = g_environ_setenv (env, "RAGWORTYOKE_BALANCERS", balancers, TRUE);
  env = g_environ_setenv (env, "RAGWORTYOKE_SEEDS", seeds, TRUE);
  /* ragwortyokectl waits as long as the test does, so that a slow machine does
     not change the result.  */
  env = g_environ_setenv (env, "RAGWORTYOKE_TIMEOUT_MS",
                          G_STRINGIFY (WAIT_TIMEOUT_MS), TRUE);
  g_string_free (key, TRUE);
  g_free (store);
  g_free (seeds);
  g_free (balancers);
  return env;
}

void
cluster_start_balancer (struct cluster *c, unsigned index)
{
  unsigned n = c->network;
  unsigned host = HOST_BALANCER + index;
  char *name = g_strdup_printf ("balancer-%u", index);

  g_assert (index < CLUSTER_MAX);
  c->balancers[index] = start_program_ (
      c, name,
      "%s balancer --id %s --domain %s --listen 127.60.%u.%u:%u "
      "--sync 127.60.%u.%u:%u --http 127.60.%u.%u:%u "
      "--fabric-listen 127.60.%u.%u:%u --fabric 127.60.%u.%u:%u",
      RAGWORTYOKED_PATH, name, cluster_domains[index], n, host, PORT_INSTANCE,
      n, host, PORT_SYNC, n, host, PORT_HTTP, n, host, PORT_FABRIC, n,
      HOST_FABRIC, PORT_FABRIC);
  g_free (name);
}

void
cluster_start_agent (struct cluster *c, unsigned index)
{
  unsigned n = c->network;
  unsigned host = HOST_AGENT + index;
  char *name = g_strdup_printf ("agent-%u", index);

  g_assert (index < CLUSTER_MAX);
  c->agents[index] = start_program_ (
      c, name,
      "%s agent --id %s --domain %s --listen 127.60.%u.%u:%u "
      "--http 127.60.%u.%u:%u --service 127.60.%u.%u:%u "
      "--backend 127.60.%u.%u:%u",
      RAGWORTYOKED_PATH, name, cluster_domains[index], n, host, PORT_INSTANCE,
      n, host, PORT_HTTP, n, HOST_SERVICE, PORT_SERVICE, n,
      HOST_BACKEND + index, PORT_SERVICE);
  g_free (name);
}

static void
start_backend_ (struct cluster *c, unsigned index, const char *options)
{
  unsigned n = c->network;
  char *name = g_strdup_printf ("backend-%u", index);

  c->backends[index] = start_program_ (
      c, name, "%s --listen 127.60.%u.%u:%u --control 127.60.%u.%u:%u%s",
      RGY_STANDIN_BACKEND_PATH, n, HOST_BACKEND + index, PORT_SERVICE, n,
      HOST_BACKEND + index, PORT_CONTROL, options);
  process_await_line (c->backends[index], STREAM_OUT, "ready", 0);
  g_free (name);
}

static void
start_fabric_ (struct cluster *c)
{
  unsigned n = c->network;
  GString *list = g_string_new (NULL);
  unsigned i;

  for (i = 0; i < c->balancer_count; i++)
    g_string_append_printf (
        list, " --balancer 127.60.%u.%u:%u,127.60.%u.%u:%u", n,
        HOST_BALANCER + i, PORT_FABRIC, n, HOST_BALANCER + i, PORT_HTTP);
  c->fabric = start_program_ (
      c, "fabric", "%s --inside 127.60.%u.%u:%u --service 127.60.%u.%u:%u%s",
      RGY_STANDIN_FABRIC_PATH, n, HOST_FABRIC, PORT_FABRIC, n, HOST_SERVICE,
      PORT_SERVICE, list->str);
  g_string_free (list, TRUE);
  process_await_line (c->fabric, STREAM_OUT, "ready", 0);
}

void
cluster_await_balancer (struct cluster *c, unsigned index)
{
  char *line = g_strdup_printf ("127.60.%u.%u:%u ready", c->network,
                                HOST_BALANCER + index, PORT_FABRIC);

  cluster_await_ready (c, HOST_BALANCER + index, true);
  process_await_line (c->fabric, STREAM_OUT, line, 0);
  g_free (line);
}

void
cluster_await_agent (struct cluster *c, unsigned index)
{
  unsigned i;

  cluster_await_ready (c, HOST_AGENT + index, true);
  for (i = 0; i < c->balancer_count; i++)
    if (c->balancers[i] != NULL)
      cluster_await_state (c, i, index, "ready");
}

static bool
is_answering_ (void *ctx)
{
  const struct json_wait_ *w = ctx;
  long status;
  char *text = cluster_request_http (w->c, w->host, PORT_HTTP, "/healthz",
                                     NULL, &status);

  g_free (text);
  return status == HTTP_OK;
}

struct cluster *
cluster_new_partial (unsigned balancers, unsigned started, unsigned agents,
                     const char *backend_options)
{
  struct cluster *c = g_new0 (struct cluster, 1);
  unsigned i;

  reserve_network_ (c);
  c->balancer_count = balancers;
  c->agent_count = agents;
  c->folder = g_dir_make_tmp ("processes-XXXXXX", NULL);
  assert_non_null (c->folder);
  c->environment = build_environment_ (c);
  c->store = start_program_ (c, "store", "%s --listen 127.60.%u.%u:%u",
                             RGY_STANDIN_KV_PATH, c->network, HOST_STORE,
                             PORT_STORE);
  process_await_line (c->store, STREAM_OUT, "ready", 0);
  for (i = 0; i < started; i++)
    cluster_start_balancer (c, i);
  start_fabric_ (c);
  for (i = 0; i < agents; i++)
    {
      start_backend_ (c, i, backend_options);
      cluster_start_agent (c, i);
    }
  for (i = 0; i < started; i++)
    {
      struct json_wait_ wait = { .c = c, .host = HOST_BALANCER + i };

      await_condition (is_answering_, &wait,
                       "the HTTP endpoint of a balancer");
    }
  assert_int_equal (cluster_put_contract (c, FIRST_BYTE_LIMIT, ""), 0);
  for (i = 0; i < started; i++)
    cluster_await_balancer (c, i);
  for (i = 0; i < agents; i++)
    cluster_await_agent (c, i);
  return c;
}

struct cluster *
cluster_new (unsigned balancers, unsigned agents, const char *backend_options)
{
  return cluster_new_partial (balancers, balancers, agents, backend_options);
}

void
cluster_delete (struct cluster *c)
{
  const char *name;
  GDir *dir;
  char *path;

  process_delete_all ();
  dir = g_dir_open (c->folder, 0, NULL);
  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      path = g_build_filename (c->folder, name, NULL);
      g_unlink (path);
      g_free (path);
    }
  if (dir != NULL)
    g_dir_close (dir);
  g_rmdir (c->folder);
  close (c->lock);
  g_free (c->folder);
  g_strfreev (c->environment);
  g_free (c);
}

struct process *
cluster_start_callers (struct cluster *c, const char *name,
                       const char *options)
{
  return start_program_ (
      c, name,
      "%s --connect 127.60.%u.%u:%u --bind 127.60.%u.%u --name %s "
      "%s",
      RGY_STANDIN_CALLER_PATH, c->network, HOST_SERVICE, PORT_SERVICE,
      c->network, HOST_CALLER + c->caller_count++, name, options);
}

json_t *
cluster_await_callers (struct process *callers)
{
  json_t *results = json_array ();
  char **lines;
  unsigned i;

  assert_int_equal (process_await_exit (callers), 0);
  lines = g_strsplit (process_get_text (callers, STREAM_OUT), "\n", 0);
  for (i = 0; lines[i] != NULL; i++)
    if (lines[i][0] == '{')
      json_array_append_new (results, json_loads (lines[i], 0, NULL));
  g_strfreev (lines);
  return results;
}

void
cluster_post_records (struct cluster *c, const char *name, unsigned callers)
{
  char *options = g_strdup_printf ("--callers %u --post 1 --deadline-ms 60000 "
                                   "--attempts 20",
                                   callers);
  json_t *results
      = cluster_await_callers (cluster_start_callers (c, name, options));

  if (cluster_check_records (c, results) != callers)
    fail_msg ("not all records were accepted: %s",
              json_dumps (results, JSON_COMPACT));
  json_decref (results);
  g_free (options);
}

json_int_t
cluster_get_backend_stat (const struct cluster *c, unsigned index,
                          const char *name)
{
  json_t *stats
      = cluster_get_json (c, HOST_BACKEND + index, PORT_CONTROL, "/stats");
  json_int_t value = json_integer_value (json_object_get (stats, name));

  json_decref (stats);
  return value;
}

json_int_t
cluster_sum_backend_stats (const struct cluster *c, const char *name)
{
  json_int_t sum = 0;
  unsigned i;

  for (i = 0; i < c->agent_count; i++)
    sum += cluster_get_backend_stat (c, i, name);
  return sum;
}

void
cluster_raise_versions (const struct cluster *c, unsigned version)
{
  char *path = g_strdup_printf ("/bump?version=%u", version);
  long status;
  unsigned i;

  for (i = 0; i < c->agent_count; i++)
    {
      g_free (cluster_request_http (c, HOST_BACKEND + i, PORT_CONTROL, path,
                                    "", &status));
      assert_int_equal (status, HTTP_OK);
    }
  g_free (path);
}

json_t *
cluster_get_executions (const struct cluster *c)
{
  json_t *all = json_object ();
  const char *id;
  json_t *count;
  json_t *own;
  unsigned i;

  for (i = 0; i < c->agent_count; i++)
    {
      own = cluster_get_json (c, HOST_BACKEND + i, PORT_CONTROL, "/records");
      json_object_foreach (own, id, count) json_object_set_new (
          all, id,
          json_integer (json_integer_value (json_object_get (all, id))
                        + json_integer_value (count)));
      json_decref (own);
    }
  return all;
}

size_t
cluster_check_records (const struct cluster *c, const json_t *results)
{
  json_t *records = cluster_get_executions (c);
  size_t accepted = 0;
  const json_t *result;
  const char *id;
  json_t *count;
  json_t *name;
  size_t i;
  size_t k;

  json_object_foreach (records, id, count)
  {
    if (json_integer_value (count) != 1)
      fail_msg ("record %s was executed %d times", id,
                (int)json_integer_value (count));
  }
  json_array_foreach ((json_t *)results, i, result)
  {
    json_array_foreach (json_object_get (result, "accepted"), k, name)
    {
      accepted++;
      if (json_object_get (records, json_string_value (name)) == NULL)
        fail_msg ("record %s was accepted but never executed",
                  json_string_value (name));
    }
  }
  json_decref (records);
  return accepted;
}

bool
cluster_is_ready (const struct cluster *c, unsigned host)
{
  long status;

  g_free (cluster_request_http (c, host, PORT_HTTP, "/readyz", NULL, &status));
  return status == HTTP_OK;
}

struct ready_wait_
{
  const struct cluster *c;
  unsigned host;
  bool ready;
};

static bool
is_readiness_met_ (void *ctx)
{
  const struct ready_wait_ *w = ctx;
  long status;

  g_free (cluster_request_http (w->c, w->host, PORT_HTTP, "/readyz", NULL,
                                &status));
  return status != 0 && (status == HTTP_OK) == w->ready;
}

void
cluster_await_ready (const struct cluster *c, unsigned host, bool ready)
{
  struct ready_wait_ wait = { .c = c, .host = host, .ready = ready };
  char *what = g_strdup_printf ("host %u to be %s", host,
                                ready ? "ready" : "not ready");

  await_condition (is_readiness_met_, &wait, what);
  g_free (what);
}

struct state_wait_
{
  const struct cluster *c;
  unsigned balancer;
  const char *agent;
  const char *state;
};

static bool
is_state_met_ (void *ctx)
{
  const struct state_wait_ *w = ctx;
  json_t *status = cluster_get_json (w->c, HOST_BALANCER + w->balancer,
                                     PORT_HTTP, "/v1/status");
  bool met = false;
  json_t *agent;
  size_t i;

  json_array_foreach (json_object_get (status, "agents"), i, agent) met
      |= g_strcmp0 (json_string_value (json_object_get (agent, "id")),
                    w->agent)
             == 0
         && g_strcmp0 (json_string_value (json_object_get (agent, "state")),
                       w->state)
                == 0;
  json_decref (status);
  return met;
}

void
cluster_await_state (const struct cluster *c, unsigned balancer,
                     unsigned agent, const char *state)
{
  char *name = g_strdup_printf ("agent-%u", agent);
  char *what
      = g_strdup_printf ("%s to be %s at balancer-%u", name, state, balancer);
  struct state_wait_ wait
      = { .c = c, .balancer = balancer, .agent = name, .state = state };

  await_condition (is_state_met_, &wait, what);
  g_free (what);
  g_free (name);
}

json_int_t
cluster_get_contract_revision (const struct cluster *c, unsigned balancer)
{
  json_t *status = cluster_get_json (c, HOST_BALANCER + balancer, PORT_HTTP,
                                     "/v1/status");
  json_int_t revision = json_integer_value (json_object_get (
      json_array_get (json_object_get (status, "contracts"), 0), "revision"));

  json_decref (status);
  return revision;
}

struct sum_wait_
{
  const struct cluster *c;
  const char *name;
  json_int_t least;
};

static bool
is_sum_met_ (void *ctx)
{
  const struct sum_wait_ *w = ctx;

  return cluster_sum_backend_stats (w->c, w->name) >= w->least;
}

void
cluster_await_backend_sum (const struct cluster *c, const char *name,
                           json_int_t least)
{
  struct sum_wait_ wait = { .c = c, .name = name, .least = least };

  await_condition (is_sum_met_, &wait, name);
}

void
cluster_check_all_running (const struct cluster *c)
{
  unsigned i;

  process_check_running (c->store);
  process_check_running (c->fabric);
  for (i = 0; i < CLUSTER_MAX; i++)
    {
      if (c->balancers[i] != NULL)
        process_check_running (c->balancers[i]);
      if (c->agents[i] != NULL)
        process_check_running (c->agents[i]);
      if (c->backends[i] != NULL)
        process_check_running (c->backends[i]);
    }
}
