#include <arpa/inet.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "cluster.h"
#include "ragwortyoke/domain.h"
#include "ragwortyoke/wire.h"
#include "tests.h"

#define RANDOM_SEED 20
#define RANDOM_DATAGRAM_COUNT 50
#define RANDOM_MAX_BYTES 1400
#define OTHER_KEY_BYTE 0x33

static struct sockaddr_in
make_address_ (const struct cluster *c, unsigned host, unsigned port)
{
  char *text = g_strdup_printf ("127.60.%u.%u", c->network, host);
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)port),
                            .sin_addr.s_addr = inet_addr (text) };

  g_free (text);
  return in;
}

static void
send_datagram_ (const struct cluster *c, unsigned host, unsigned port,
                struct rgy_bytes data)
{
  struct sockaddr_in to = make_address_ (c, host, port);
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  assert_true (fd >= 0);
  assert_int_equal (
      sendto (fd, data.data, data.len, 0, (struct sockaddr *)&to, sizeof to),
      data.len);
  close (fd);
}

/* Sends bytes over TCP and reads until the peer closes the connection. The
   test fails when the peer keeps the connection open.  */
static void
send_stream_ (const struct cluster *c, unsigned host, unsigned port,
              struct rgy_bytes data)
{
  struct sockaddr_in to = make_address_ (c, host, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct pollfd pfd = { .fd = fd, .events = POLLIN };
  char answer[RANDOM_MAX_BYTES];

  assert_true (fd >= 0);
  assert_int_equal (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  (void)send (fd, data.data, data.len, MSG_NOSIGNAL);
  shutdown (fd, SHUT_WR);
  do
    if (poll (&pfd, 1, WAIT_TIMEOUT_MS) != 1)
      fail_msg (
          "host %u port %u did not close a connection after invalid input",
          host, port);
  while (recv (fd, answer, sizeof answer, 0) > 0);
  close (fd);
}

static GByteArray *
make_random_bytes_ (GRand *rand)
{
  guint len = (guint)g_rand_int_range (rand, 1, RANDOM_MAX_BYTES);
  GByteArray *bytes = g_byte_array_new ();
  uint8_t byte;

  while (bytes->len < len)
    {
      byte = (uint8_t)g_rand_int (rand);
      g_byte_array_append (bytes, &byte, 1);
    }
  return bytes;
}

/* Builds a message with an order that takes dom-a out of service, signed with
   the given key.  */
static GByteArray *
build_order_message_ (uint8_t key_byte)
{
  struct rgy_domain_order order = { .out = true, .number = 100, .id = 1 };
  struct rgy_message *m = g_new0 (struct rgy_message, 1);
  GByteArray *copy = g_byte_array_new ();
  uint8_t key[RGY_WIRE_KEY_BYTES];
  struct rgy_entry entry = { .class = RGY_ENTRY_DOMAIN };
  struct rgy_bytes bytes;
  struct rgy_wire *wire;
  char *json;

  rgy_name_set (&order.domain, rgy_str_from_c (cluster_domains[0]));
  rgy_name_set (&order.operator_name, RGY_STR ("eve"));
  json = rgy_domain_order_format (&order);
  entry.key = order.domain;
  entry.version = (struct rgy_version){ .major = 100, .minor = 1 };
  entry.value = (struct rgy_bytes){ .data = (const uint8_t *)json,
                                    .len = strlen (json) };
  memset (key, key_byte, sizeof key);
  wire = rgy_wire_new (key);
  m->kind = RGY_MSG_ENTRIES;
  rgy_name_set (&m->u.entries.from, RGY_STR ("balancer-0"));
  m->u.entries.entries[0] = &entry;
  m->u.entries.count = 1;
  bytes = rgy_wire_encode (wire, m);
  g_byte_array_append (copy, bytes.data, (guint)bytes.len);
  rgy_wire_delete (wire);
  g_free (json);
  g_free (m);
  return copy;
}

struct count_wait_
{
  const struct cluster *c;
  unsigned host;
  const char *name;
  double least;
};

static bool
is_count_met_ (void *ctx)
{
  const struct count_wait_ *w = ctx;

  return cluster_get_metric (w->c, w->host, w->name) >= w->least;
}

static void
await_count_ (const struct cluster *c, unsigned host, const char *name,
              double least)
{
  struct count_wait_ wait
      = { .c = c, .host = host, .name = name, .least = least };

  await_condition (is_count_met_, &wait, name);
}

/* Returns the state of a balancer that invalid input must not change. The
   agents and balancers, which a balancer lists in no fixed order, are only
   counted.  */
static char *
get_balancer_state_ (const struct cluster *c, unsigned balancer)
{
  json_t *status = cluster_get_json (c, HOST_BALANCER + balancer, PORT_HTTP,
                                     "/v1/status");
  json_t *kept = json_pack (
      "{s:O, s:O, s:O, s:O, s:i, s:i}", "contracts",
      json_object_get (status, "contracts"), "domains",
      json_object_get (status, "domains"), "ready",
      json_object_get (status, "ready"), "state",
      json_object_get (status, "state"), "agents",
      (int)json_array_size (json_object_get (status, "agents")), "balancers",
      (int)json_array_size (json_object_get (status, "balancers")));
  char *text = json_dumps (kept, JSON_COMPACT | JSON_SORT_KEYS);

  json_decref (kept);
  json_decref (status);
  return text;
}

/* Sends random bytes to all ports of all instances.  */
static void
send_random_input_ (const struct cluster *c)
{
  static const char request[] = "GET /v1/domain HTTP/9.9\r\nHost\r\n\r\n";
  GRand *rand = g_rand_new_with_seed (RANDOM_SEED);
  struct rgy_bytes data;
  GByteArray *bytes;
  unsigned i;
  unsigned k;

  for (k = 0; k < RANDOM_DATAGRAM_COUNT; k++)
    {
      bytes = make_random_bytes_ (rand);
      data = (struct rgy_bytes){ .data = bytes->data, .len = bytes->len };
      for (i = 0; i < c->balancer_count; i++)
        {
          send_datagram_ (c, HOST_BALANCER + i, PORT_INSTANCE, data);
          send_datagram_ (c, HOST_BALANCER + i, PORT_FABRIC, data);
        }
      for (i = 0; i < c->agent_count; i++)
        send_datagram_ (c, HOST_AGENT + i, PORT_INSTANCE, data);
      g_byte_array_unref (bytes);
    }
  bytes = make_random_bytes_ (rand);
  data = (struct rgy_bytes){ .data = bytes->data, .len = bytes->len };
  for (i = 0; i < c->balancer_count; i++)
    {
      send_stream_ (c, HOST_BALANCER + i, PORT_HTTP, data);
      send_stream_ (c, HOST_BALANCER + i, PORT_HTTP,
                    (struct rgy_bytes){ .data = (const uint8_t *)request,
                                        .len = sizeof request - 1 });
      send_stream_ (c, HOST_BALANCER + i, PORT_SYNC, data);
    }
  for (i = 0; i < c->agent_count; i++)
    send_stream_ (c, HOST_AGENT + i, PORT_HTTP, data);
  g_byte_array_unref (bytes);
  g_rand_free (rand);
}

/* Guards against input of unauthenticated senders that terminates a process or
   changes its state: an order signed with a wrong key, random datagrams and
   random bytes on TCP connections.  */
void
unauthenticated_input_changes_nothing (void **state)
{
  struct cluster *c = cluster_new (2, 2, "");
  GByteArray *order = build_order_message_ (OTHER_KEY_BYTE);
  struct rgy_bytes data = { .data = order->data, .len = order->len };
  char *before[2];
  char *after;
  long status;
  char *body;
  unsigned i;

  (void)state;
  for (i = 0; i < 2; i++)
    before[i] = get_balancer_state_ (c, i);
  for (i = 0; i < 2; i++)
    {
      send_datagram_ (c, HOST_BALANCER + i, PORT_INSTANCE, data);
      send_datagram_ (c, HOST_AGENT + i, PORT_INSTANCE, data);
    }
  send_random_input_ (c);
  for (i = 0; i < 2; i++)
    {
      await_count_ (c, HOST_BALANCER + i, "bad_tag_total",
                    RANDOM_DATAGRAM_COUNT + 1);
      await_count_ (c, HOST_BALANCER + i,
                    "balancer_dropped_total{reason=\"malformed\"}",
                    RANDOM_DATAGRAM_COUNT);
      await_count_ (c, HOST_AGENT + i, "bad_tag_total",
                    RANDOM_DATAGRAM_COUNT + 1);
    }
  /* A request without the operator token, whose body is not an order either,
     is rejected.  */
  body = cluster_request_http (c, HOST_BALANCER, PORT_HTTP, "/v1/domain", "{}",
                               &status);
  assert_int_equal (status, 401);
  g_free (body);
  cluster_check_all_running (c);
  for (i = 0; i < 2; i++)
    {
      after = get_balancer_state_ (c, i);
      assert_string_equal (after, before[i]);
      free (after);
      free (before[i]);
    }
  cluster_post_records (c, "post", 8);
  g_byte_array_unref (order);
  cluster_delete (c);
}

/* A setting with a valid and an invalid value.  */
struct setting_case_
{
  const char *name;
  const char *valid_value;
  const char *invalid_value;
  bool secret; /* The error message must not contain the value.  */
};

#define VALID_KEY                                                             \
  "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

/* Settings of both roles.  */
static const struct setting_case_ common_settings_[] = {
  { "id", "a-1", "a b", false },
  { "domain", "dom-a", "dom/a", false },
  { "listen", "127.60.255.1:7000", "127.60.255.1", false },
  { "http", "127.60.255.1:8080", "127.60.255.1:0", false },
  { "store", "127.60.255.2:2379", "127.60.255.2:2379,", false },
  { "cluster-key", VALID_KEY, "not-a-key", true },
};

static const struct setting_case_ balancer_settings_[] = {
  { "fabric-listen", "127.60.255.1:9000", "localhost:9000", false },
  { "fabric", "127.60.255.3:9000", "0.0.0.0:9000", false },
  { "sync", "127.60.255.1:7001", "127.60.255.1:70010", false },
  { "operator-token", "test-token", "short", true },
};

static const struct setting_case_ agent_settings_[] = {
  { "service", "127.60.255.4:5683", "127.60.255:5683", false },
  { "backend", "127.60.255.5:5683", "127.60.255.5:port", false },
};

/* Returns the environment without all RAGWORTYOKE_ variables.  */
static char **
build_clean_environment_ (void)
{
  char **env = g_get_environ ();
  char **names = g_listenv ();
  int i;

  for (i = 0; names[i] != NULL; i++)
    if (g_str_has_prefix (names[i], "RAGWORTYOKE_"))
      env = g_environ_unsetenv (env, names[i]);
  g_strfreev (names);
  return env;
}

/* Runs a program, which must reject its settings with exit status 1 and an
   error message that contains all of TEXTS.  */
static void
check_rejected_ (char **arguments, char **environment,
                 const char *const *texts)
{
  struct process *p = process_start (arguments[0], arguments, environment);
  int status = process_await_exit (p);
  const char *error = process_get_text (p, STREAM_ERROR);

  if (status != 1)
    fail_msg ("exit status %d instead of 1, message: %s", status, error);
  for (; *texts != NULL; texts++)
    if (strstr (error, *texts) == NULL)
      fail_msg ("the error message does not contain \"%s\": %s", *texts,
                error);
  process_delete (p);
}

/* Runs a daemon in which setting BROKEN is missing, or invalid in a flag or in
   an environment variable, and checks its error message.  */
static void
check_daemon_setting_ (const char *role, const struct setting_case_ *cases,
                       size_t count, size_t broken, bool missing, bool flag)
{
  GPtrArray *arguments = g_ptr_array_new_with_free_func (g_free);
  char **env = build_clean_environment_ ();
  char *named = g_strdup_printf ("--%s", cases[broken].name);
  char *upper = g_ascii_strup (cases[broken].name, -1);
  char *variable
      = g_strdup_printf ("RAGWORTYOKE_%s", g_strdelimit (upper, "-", '_'));
  const char *shown
      = cases[broken].secret ? "characters" : cases[broken].invalid_value;
  const char *texts[] = { flag || missing ? named : variable,
                          missing ? "not set" : shown, "must be", NULL };
  size_t i;

  g_ptr_array_add (arguments, g_strdup (RAGWORTYOKED_PATH));
  g_ptr_array_add (arguments, g_strdup (role));
  for (i = 0; i < count; i++)
    {
      if (i == broken && (missing || !flag))
        continue;
      g_ptr_array_add (arguments, g_strdup_printf ("--%s", cases[i].name));
      g_ptr_array_add (arguments,
                       g_strdup (i == broken ? cases[i].invalid_value
                                             : cases[i].valid_value));
    }
  g_ptr_array_add (arguments, NULL);
  if (!missing && !flag)
    env = g_environ_setenv (env, variable, cases[broken].invalid_value, TRUE);
  check_rejected_ ((char **)arguments->pdata, env, texts);
  g_ptr_array_unref (arguments);
  g_free (variable);
  g_free (upper);
  g_free (named);
  g_strfreev (env);
}

/* Checks each setting of a role in turn: missing, invalid as a flag, and
   invalid as a variable.  */
static void
check_role_settings_ (const char *role,
                      const struct setting_case_ *role_settings,
                      size_t role_count)
{
  size_t count = G_N_ELEMENTS (common_settings_) + role_count;
  struct setting_case_ *cases = g_new (struct setting_case_, count);
  size_t i;

  memcpy (cases, common_settings_, sizeof common_settings_);
  memcpy (cases + G_N_ELEMENTS (common_settings_), role_settings,
          role_count * sizeof *role_settings);
  for (i = 0; i < count; i++)
    {
      check_daemon_setting_ (role, cases, count, i, true, true);
      check_daemon_setting_ (role, cases, count, i, false, true);
      check_daemon_setting_ (role, cases, count, i, false, false);
    }
  g_free (cases);
}

/* Guards against a daemon that starts with a missing or invalid setting, or
   whose error message does not name the setting and the values that are
   allowed.  */
void
invalid_daemon_settings_are_named (void **state)
{
  (void)state;
  check_role_settings_ ("balancer", balancer_settings_,
                        G_N_ELEMENTS (balancer_settings_));
  check_role_settings_ ("agent", agent_settings_,
                        G_N_ELEMENTS (agent_settings_));
}

/* Guards against a ragwortyokectl that runs with a missing or invalid
   argument, or whose error message does not name the argument and the values
   that are allowed.  */
void
invalid_ctl_settings_are_named (void **state)
{
  static const struct
  {
    const char *line;
    const char *texts[4];
  } cases[] = {
    { "contract list", { "--store", "not set", "must be", NULL } },
    { "contract list --store 127.60.255.2",
      { "--store", "127.60.255.2", "must be", NULL } },
    { "status", { "--balancers", "not set", "must be", NULL } },
    { "status --balancers 127.60.255.1:x",
      { "--balancers", "127.60.255.1:x", "must be", NULL } },
    { "domain out dom-a --store 127.60.255.2:1 --balancers 127.60.255.1:1",
      { "--operator", "not set", "must be", NULL } },
    { "domain out dom-a --store 127.60.255.2:1 --balancers 127.60.255.1:1 "
      "--operator a/b",
      { "--operator", "a/b", "must be", NULL } },
    { "domain out dom/a --store 127.60.255.2:1 --balancers 127.60.255.1:1 "
      "--operator ana",
      { "NAME", "dom/a", "must be", NULL } },
    { "contract list --store 127.60.255.2:1 --timeout-ms soon",
      { "--timeout-ms", "soon", "must be", NULL } },
    { "contract delete shop --store 127.60.255.2:1 --no-wait --operator ana "
      "--expect-revision -1",
      { "--expect-revision", "-1", "must be", NULL } },
  };
  char **env = build_clean_environment_ ();
  char **arguments;
  char *line;
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      line = g_strdup_printf ("%s %s", RAGWORTYOKECTL_PATH, cases[i].line);
      arguments = g_strsplit (line, " ", 0);
      check_rejected_ (arguments, env, cases[i].texts);
      g_strfreev (arguments);
      g_free (line);
    }
  g_strfreev (env);
}
