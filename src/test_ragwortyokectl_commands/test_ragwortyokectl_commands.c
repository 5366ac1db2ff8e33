#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <microhttpd.h>
#include <poll.h>
#include <unistd.h>

#include "kv_server.h"
#include "private/ctl_io.h"
#include "ragwortyoke/domain.h"

#define LOOPBACK 0x7f000001
#define TOKEN "correct-token"
#define POLL_MS 10
/* Far longer than a store without faults needs on a busy machine.  */
#define LONG_STORE_TIMEOUT_MS 30000

/* Balancer that confirms every change unless LAGGING is set.  It runs in its
   own thread, so the lock protects its fields.  */
struct balancer_
{
  struct MHD_Daemon *daemon;
  GMutex lock;
  bool lagging;
  uint64_t number; /* Highest order number.  */
  unsigned orders; /* Number of orders accepted directly from the operator.  */
};

struct fixture_
{
  struct kv_server *server;
  GThread *thread;
  int stopping; /* Accessed atomically.  */
  char *store;
  struct balancer_ balancer;
  char *balancers;
  char *file;
  unsigned order_store_ms;
};

static void *
serve_store_ (void *data)
{
  struct fixture_ *f = data;
  struct pollfd pfd = { .fd = kv_server_get_fd (f->server), .events = POLLIN };
  int timeout_ms;

  while (!g_atomic_int_get (&f->stopping))
    {
      timeout_ms = kv_server_get_timeout_ms (f->server);
      poll (&pfd, 1,
            timeout_ms < 0 || timeout_ms > POLL_MS ? POLL_MS : timeout_ms);
      kv_server_run (f->server);
    }
  return NULL;
}

static char *
accept_order_ (struct balancer_ *balancer, const GString *body)
{
  struct rgy_domain_order order;
  struct rgy_check_error error;
  bool accepted;

  accepted = rgy_domain_order_parse (
                 (struct rgy_str){ .data = body->str, .len = body->len },
                 &order, &error)
                 == RGY_OK
             && order.number > balancer->number;
  if (accepted)
    {
      balancer->number = order.number;
      balancer->orders++;
    }
  return g_strdup_printf ("{\"accepted\":%s}", accepted ? "true" : "false");
}

static enum MHD_Result
answer_request_ (void *ctx, struct MHD_Connection *connection, const char *url,
                 const char *method, const char *version, const char *data,
                 size_t *size, void **state)
{
  struct balancer_ *balancer = ctx;
  const char *token = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                   "Authorization");
  unsigned status = MHD_HTTP_OK;
  GString *body = *state;
  struct MHD_Response *response;
  enum MHD_Result rc;
  char *text;

  (void)version;
  (void)url;
  if (body == NULL)
    {
      *state = g_string_new (NULL);
      return MHD_YES;
    }
  if (*size > 0)
    {
      g_string_append_len (body, data, (gssize)*size);
      *size = 0;
      return MHD_YES;
    }
  g_mutex_lock (&balancer->lock);
  if (strcmp (method, "POST") != 0)
    text = g_strdup_printf (
        "{\"confirmed\":%s,\"revision\":%u,\"lagging\":[%s]}",
        balancer->lagging ? "false" : "true", (unsigned)balancer->number,
        balancer->lagging ? "\"agent-7\"" : "");
  else if (g_strcmp0 (token, "Bearer " TOKEN) != 0)
    {
      status = MHD_HTTP_UNAUTHORIZED;
      text = g_strdup ("{}");
    }
  else
    text = accept_order_ (balancer, body);
  g_mutex_unlock (&balancer->lock);
  response = MHD_create_response_from_buffer (strlen (text), text,
                                              MHD_RESPMEM_MUST_COPY);
  rc = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  g_free (text);
  return rc;
}

static void
free_request_body_ (void *ctx, struct MHD_Connection *connection, void **state,
                    enum MHD_RequestTerminationCode code)
{
  (void)ctx;
  (void)connection;
  (void)code;
  if (*state != NULL)
    g_string_free (*state, TRUE);
}

static int
setup_ (void **state)
{
  struct fixture_ *f = g_new0 (struct fixture_, 1);
  struct sockaddr_in sin
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (LOOPBACK) };
  char text[RGY_ENDPOINT_TEXT_BYTES];
  int fd;

  f->order_store_ms = LONG_STORE_TIMEOUT_MS;
  f->server = kv_server_new ((struct rgy_endpoint){ .ip = LOOPBACK });
  assert_non_null (f->server);
  f->store = g_strdup (
      rgy_endpoint_format (kv_server_get_endpoint (f->server), text));
  f->thread = g_thread_new ("store", serve_store_, f);
  g_mutex_init (&f->balancer.lock);
  f->balancer.daemon = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, answer_request_,
      &f->balancer, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&sin,
      MHD_OPTION_NOTIFY_COMPLETED, free_request_body_, NULL, MHD_OPTION_END);
  assert_non_null (f->balancer.daemon);
  f->balancers = g_strdup_printf (
      "127.0.0.1:%u",
      MHD_get_daemon_info (f->balancer.daemon, MHD_DAEMON_INFO_BIND_PORT)
          ->port);
  fd = g_file_open_tmp ("contract-XXXXXX.json", &f->file, NULL);
  assert_true (fd >= 0);
  close (fd);
  *state = f;
  return 0;
}

static int
teardown_ (void **state)
{
  struct fixture_ *f = *state;

  g_atomic_int_set (&f->stopping, 1);
  g_thread_join (f->thread);
  kv_server_delete (f->server);
  MHD_stop_daemon (f->balancer.daemon);
  g_mutex_clear (&f->balancer.lock);
  unlink (f->file);
  g_free (f->file);
  g_free (f->store);
  g_free (f->balancers);
  g_free (f);
  return 0;
}

static void
set_faults_ (const struct fixture_ *f, const char *json)
{
  char *url = g_strdup_printf ("http://%s/standin/faults", f->store);
  json_t *faults = json_loads (json, 0, NULL);
  json_t *answer;
  long status;

  assert_int_equal (ctl_http (url, NULL, faults, 5000, &answer, &status),
                    RGY_OK);
  assert_int_equal (status, 200);
  json_decref (answer);
  json_decref (faults);
  g_free (url);
}

/* Runs one command line.
   @return the exit status.  */
static int
run_command_ (const struct fixture_ *f, const char *line)
{
  char *all = g_strdup_printf ("ctl %s --store %s --balancers %s --operator "
                               "ana",
                               line, f->store, f->balancers);
  char **words = g_strsplit (all, " ", 0);
  struct ctl_settings settings;
  struct ctl ctl
      = { .settings = &settings, .order_store_ms = f->order_store_ms };
  struct rgy_check_error error;
  char *help;
  int status;

  assert_int_equal (ctl_settings_parse (words, &settings, &help, &error),
                    RGY_OK);
  switch (settings.command)
    {
    case CTL_CONTRACT_PUT:
    case CTL_CONTRACT_DELETE:
      status = ctl_run_contract_write (&ctl);
      break;
    case CTL_DOMAIN_OUT:
    case CTL_DOMAIN_IN:
      status = ctl_run_domain_write (&ctl);
      break;
    default:
      status = ctl_run_read (&ctl);
      break;
    }
  ctl_settings_finish (&settings);
  g_strfreev (words);
  g_free (all);
  return status;
}

static int
put_contract_ (const struct fixture_ *f, const char *callers,
               const char *options)
{
  char *text = g_strdup_printf (
      "{\"customer\":\"a\",\"callers\":[\"%s\"],\"services\":[{\"name\":\"s\","
      "\"address\":\"1.2.3.4:5\",\"protocol\":\"udp\"}]}",
      callers);
  char *line = g_strdup_printf ("contract put %s%s", f->file, options);
  int status;

  assert_true (g_file_set_contents (f->file, text, -1, NULL));
  status = run_command_ (f, line);
  g_free (line);
  g_free (text);
  return status;
}

/* Number of audit records, each of which is one change that took effect.  */
static unsigned
count_changes_ (const struct fixture_ *f)
{
  char *url = g_strdup_printf ("http://%s" RGY_STORE_PATH_RANGE, f->store);
  json_t *range = rgy_store_json_range (RGY_STR (CTL_AUDIT_RING),
                                        RGY_STR (RGY_STORE_PREFIX "audit0"));
  unsigned count;
  json_t *answer;
  long status;

  assert_int_equal (ctl_http (url, NULL, range, 5000, &answer, &status),
                    RGY_OK);
  count = (unsigned)json_array_size (json_object_get (answer, "kvs"));
  json_decref (answer);
  json_decref (range);
  g_free (url);
  return count == 0 ? 0 : count - 1; /* The head key is not a record.  */
}

/* Guards against changed exit statuses of the usual commands, on
   which scripts rely.  */
static void
commands_return_their_exit_status_ (void **state)
{
  struct fixture_ *f = *state;

  assert_int_equal (run_command_ (f, "contract get a"), CTL_EXIT_NOT_FOUND);
  assert_int_equal (run_command_ (f, "contract delete a"), CTL_EXIT_NOT_FOUND);
  assert_int_equal (put_contract_ (f, "10.0.0.0/8", ""), CTL_EXIT_OK);
  assert_int_equal (put_contract_ (f, "10.0.0.1/8", ""), CTL_EXIT_USAGE);
  assert_int_equal (put_contract_ (f, "11.0.0.0/8", " --expect-revision 0"),
                    CTL_EXIT_CONFLICT);
  assert_int_equal (put_contract_ (f, "11.0.0.0/8", " --json"), CTL_EXIT_OK);
  assert_int_equal (run_command_ (f, "contract get a"), CTL_EXIT_OK);
  assert_int_equal (run_command_ (f, "contract history a"), CTL_EXIT_OK);
  assert_int_equal (run_command_ (f, "contract list --json"), CTL_EXIT_OK);
  assert_int_equal (run_command_ (f, "domain out poa-a"), CTL_EXIT_OK);
  assert_int_equal (run_command_ (f, "domain in poa-a"), CTL_EXIT_OK);
  assert_int_equal (run_command_ (f, "domain list"), CTL_EXIT_OK);
  assert_int_equal (run_command_ (f, "contract delete a"), CTL_EXIT_OK);
  assert_int_equal (run_command_ (f, "audit"), CTL_EXIT_OK);
  assert_int_equal (run_command_ (f, "status"), CTL_EXIT_OK);
  assert_int_equal (count_changes_ (f), 5);
}

/* Guards against a lost answer that is reported as a failure or leads to a
   second write.  */
static void
lost_answers_are_resolved_ (void **state)
{
  struct fixture_ *f = *state;

  set_faults_ (f, "{\"drop_next_answers\":1}");
  assert_int_equal (put_contract_ (f, "10.0.0.0/8", ""), CTL_EXIT_OK);
  assert_int_equal (count_changes_ (f), 1);
  set_faults_ (f, "{\"drop_next_answers\":1}");
  assert_int_equal (run_command_ (f, "domain out poa-a"), CTL_EXIT_OK);
  assert_int_equal (count_changes_ (f), 2);
  set_faults_ (f, "{\"drop_next_answers\":1}");
  assert_int_equal (run_command_ (f, "contract delete a"), CTL_EXIT_OK);
  assert_int_equal (count_changes_ (f), 3);
  assert_int_equal (run_command_ (f, "contract get a"), CTL_EXIT_NOT_FOUND);
}

/* Guards against a contract change that is accepted while the store
   is down, and against a failure domain order that does not reach
   the balancers then.  */
static void
outage_rejects_contract_changes_but_not_orders_ (void **state)
{
  struct fixture_ *f = *state;

  set_faults_ (f, "{\"down\":true}");
  assert_int_equal (put_contract_ (f, "10.0.0.0/8", ""), CTL_EXIT_UNAVAILABLE);
  assert_int_equal (run_command_ (f, "domain out poa-a"),
                    CTL_EXIT_UNAVAILABLE);
  assert_int_equal (f->balancer.orders, 0);
  assert_int_equal (
      run_command_ (f, "domain out poa-a --operator-token wrong-token"),
      CTL_EXIT_UNAVAILABLE);
  assert_int_equal (f->balancer.orders, 0);
  assert_int_equal (
      run_command_ (f, "domain out poa-a --operator-token " TOKEN),
      CTL_EXIT_OK);
  assert_int_equal (
      run_command_ (f, "domain in poa-a --operator-token " TOKEN),
      CTL_EXIT_OK);
  assert_int_equal (f->balancer.orders, 2);
  assert_int_equal (f->balancer.number, 2);
  set_faults_ (f, "{\"down\":false}");
  /* The next order must be newer than those that the store
     did not receive.  */
  assert_int_equal (run_command_ (f, "domain out poa-a"), CTL_EXIT_OK);
  assert_int_equal (run_command_ (f, "domain list"), CTL_EXIT_OK);
  assert_int_equal (count_changes_ (f), 1);
}

/* Guards against an order that waits for a slow store: an answer that arrives
   too late counts as an outage.  */
static void
slow_store_does_not_delay_orders_ (void **state)
{
  struct fixture_ *f = *state;

  set_faults_ (f, "{\"delay_ms\":600000}");
  f->order_store_ms = CTL_ORDER_STORE_MS;
  assert_int_equal (
      run_command_ (f, "domain out poa-a --operator-token " TOKEN),
      CTL_EXIT_OK);
  assert_int_equal (f->balancer.orders, 1);
}

/* Guards against a report of success for a change that is written but not in
   effect everywhere.  */
static void
unconfirmed_change_is_reported_ (void **state)
{
  struct fixture_ *f = *state;

  g_mutex_lock (&f->balancer.lock);
  f->balancer.lagging = true;
  g_mutex_unlock (&f->balancer.lock);
  assert_int_equal (put_contract_ (f, "10.0.0.0/8", " --timeout-ms 2000"),
                    CTL_EXIT_UNCONFIRMED);
  assert_int_equal (put_contract_ (f, "11.0.0.0/8", " --no-wait"),
                    CTL_EXIT_OK);
  assert_int_equal (count_changes_ (f), 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (commands_return_their_exit_status_,
                                     setup_, teardown_),
    cmocka_unit_test_setup_teardown (lost_answers_are_resolved_, setup_,
                                     teardown_),
    cmocka_unit_test_setup_teardown (
        outage_rejects_contract_changes_but_not_orders_, setup_, teardown_),
    cmocka_unit_test_setup_teardown (slow_store_does_not_delay_orders_, setup_,
                                     teardown_),
    cmocka_unit_test_setup_teardown (unconfirmed_change_is_reported_, setup_,
                                     teardown_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
