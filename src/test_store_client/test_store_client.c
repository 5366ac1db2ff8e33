#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fixture.h"
#include "ragwortyoke/domain.h"
#include "ragwortyoke/member.h"

#define CONTRACT_A "/ragwortyoke/contracts/a"
#define CONTRACT_B "/ragwortyoke/contracts/b"
#define AGENT "/ragwortyoke/agents/x"

static bool
is_synced_ (const struct fixture *f)
{
  return f->sync_count >= 1;
}

static bool
is_synced_twice_ (const struct fixture *f)
{
  return f->sync_count >= 2;
}

static bool
is_watching_ (const struct fixture *f)
{
  return kv_server_get_call_count (f->server, KV_CALL_WATCH) >= 1;
}

static bool
is_down_ (const struct fixture *f)
{
  return rgy_store_client_get_state (f->client) == RGY_STORE_DOWN
         && f->states->len > 0;
}

static bool
is_refused_ (const struct fixture *f)
{
  return rgy_store_client_get_state (f->client) == RGY_STORE_REFUSED;
}

static bool
has_swapped_ (const struct fixture *f)
{
  return f->swaps_done >= 1;
}

static bool
has_four_events_ (const struct fixture *f)
{
  return f->events->len >= 4;
}

static bool
has_last_a_ (const struct fixture *f)
{
  return fixture_has_event (f, "put " CONTRACT_A " last");
}

static bool
has_deleted_a_ (const struct fixture *f)
{
  return fixture_has_event (f, "delete " CONTRACT_A);
}

static bool
has_probed_often_ (const struct fixture *f)
{
  return kv_server_get_call_count (f->server, KV_CALL_RANGE) >= 5;
}

static bool
has_agent_ (const struct fixture *f)
{
  char *value = fixture_get ((struct fixture *)f, AGENT);
  bool found = g_strcmp0 (value, "record") == 0;

  g_free (value);
  return found;
}

static bool
has_second_agent_value_ (const struct fixture *f)
{
  char *value = fixture_get ((struct fixture *)f, AGENT);
  bool found = g_strcmp0 (value, "second") == 0;

  g_free (value);
  return found;
}

static bool
has_no_agent_ (const struct fixture *f)
{
  char *value = fixture_get ((struct fixture *)f, AGENT);
  bool missing = value == NULL;

  g_free (value);
  return missing;
}

static bool
has_kept_alive_ (const struct fixture *f)
{
  return kv_server_get_call_count (f->server, KV_CALL_LEASE_KEEPALIVE) >= 1;
}

/* A read must report every key that existed before it started, but only keys
   of the kinds that the client reports.  */
static void
read_reports_existing_keys_of_known_kinds_ (void **state)
{
  struct fixture *f = fixture_new ();

  (void)state;
  fixture_put (f, CONTRACT_A, "1");
  fixture_put (f, "/ragwortyoke/domains/d", "2");
  fixture_put (f, AGENT, "3");
  fixture_put (f, "/ragwortyoke/balancers/d", "4");
  fixture_put (f, "/ragwortyoke/audit/0001", "5");
  fixture_put (f, "/ragwortyoke/history/a/1", "6");
  fixture_put (f, "/other/contracts/a", "7");
  fixture_start (f, NULL);
  rgy_store_client_read (f->client);
  fixture_run (f, is_synced_);
  assert_int_equal (f->events->len, 4);
  assert_true (fixture_has_event (f, "put " CONTRACT_A " 1"));
  assert_true (fixture_has_event (f, "put /ragwortyoke/domains/d 2"));
  assert_true (fixture_has_event (f, "put " AGENT " 3"));
  assert_true (fixture_has_event (f, "put /ragwortyoke/balancers/d 4"));
  assert_int_equal (f->synced_revision, 8);
  assert_int_equal (
      rgy_store_client_get_mod_revision (f->client, RGY_STR (CONTRACT_A)), 2);
  assert_int_equal (kv_server_get_call_count (f->server, KV_CALL_WATCH), 0);
  assert_int_equal (rgy_store_client_get_calls (f->client), 1);
  assert_string_equal (f->states->str, "up ");
  fixture_delete (f);
}

static void
write_between_read_and_watch_ (struct fixture *f)
{
  fixture_put (f, CONTRACT_B, "between");
}

/* A write between the read and the start of the watch must not be lost, and
   keys of other kinds must not be reported.  */
static void
watch_misses_no_write_ (void **state)
{
  struct fixture *f = fixture_new ();

  (void)state;
  fixture_put (f, CONTRACT_A, "1");
  fixture_start (f, NULL);
  f->on_synced = write_between_read_and_watch_;
  rgy_store_client_set_watching (f->client, true);
  fixture_run (f, is_watching_);
  fixture_put (f, "/ragwortyoke/history/a/1", "hidden");
  fixture_put (f, CONTRACT_A, "last");
  fixture_run (f, has_last_a_);
  fixture_remove (f, CONTRACT_A);
  fixture_run (f, has_deleted_a_);
  assert_int_equal (f->events->len, 4);
  assert_string_equal (g_ptr_array_index (f->events, 1),
                       "put " CONTRACT_B " between");
  assert_int_equal (f->sync_count, 1);
  fixture_delete (f);
}

static void
compact_after_first_read_ (struct fixture *f)
{
  if (f->sync_count > 1)
    return;
  fixture_put (f, CONTRACT_A, "last");
  fixture_set_faults (f, "{\"compact\":true}");
}

/* When the service has compacted the events from which the watch should start,
   the client must read again instead of waiting forever.  */
static void
compacted_history_causes_a_new_read_ (void **state)
{
  struct fixture *f = fixture_new ();

  (void)state;
  fixture_start (f, NULL);
  f->on_synced = compact_after_first_read_;
  rgy_store_client_set_watching (f->client, true);
  fixture_run (f, has_last_a_);
  assert_int_equal (f->sync_count, 2);
  fixture_delete (f);
}

/* A burst of writes to one key must be coalesced, so that the replica does not
   apply every intermediate value.  */
static void
burst_of_writes_is_coalesced_ (void **state)
{
  struct fixture *f = fixture_new ();

  (void)state;
  fixture_start (f, NULL);
  rgy_store_client_set_watching (f->client, true);
  fixture_run (f, is_watching_);
  fixture_put (f, CONTRACT_A, "1");
  fixture_put (f, CONTRACT_A, "2");
  fixture_put (f, CONTRACT_A, "3");
  fixture_put (f, CONTRACT_A, "last");
  fixture_run (f, has_last_a_);
  assert_true (f->events->len < 4);
  assert_string_equal (g_ptr_array_index (f->events, f->events->len - 1),
                       "put " CONTRACT_A " last");
  fixture_delete (f);
}

/* Keys that are deleted during an outage of the store must be reported when it
   ends; the outage itself must not cause a report of a deletion.  */
static void
deletions_during_an_outage_are_reported_afterwards_ (void **state)
{
  struct fixture *f = fixture_new ();

  (void)state;
  fixture_put (f, CONTRACT_A, "1");
  fixture_put (f, CONTRACT_B, "2");
  fixture_start (f, NULL);
  rgy_store_client_set_watching (f->client, true);
  fixture_run (f, is_watching_);
  fixture_set_faults (f, "{\"down\":true}");
  fixture_run (f, is_down_);
  assert_int_equal (f->events->len, 2);
  fixture_remove (f, CONTRACT_A);
  fixture_set_faults (f, "{\"down\":false}");
  fixture_run (f, has_deleted_a_);
  assert_int_equal (f->events->len, 3);
  assert_string_equal (f->states->str, "up down up ");
  fixture_delete (f);
}

/* A watch whose connection stays open but delivers nothing must be replaced,
   and the missed change must be reported.  */
static void
stalled_watch_is_replaced_ (void **state)
{
  struct fixture *f = fixture_new ();

  (void)state;
  fixture_put (f, CONTRACT_A, "1");
  fixture_start (f, NULL);
  rgy_store_client_set_watching (f->client, true);
  fixture_run (f, is_watching_);
  fixture_set_faults (f, "{\"silent_watches\":true}");
  fixture_put (f, CONTRACT_A, "last");
  fixture_set_faults (f, "{\"silent_watches\":false}");
  fixture_run (f, has_last_a_);
  assert_int_equal (f->sync_count, 2);
  assert_string_equal (f->states->str, "up ");
  fixture_delete (f);
}

/* An idle watch that is up to date must not be replaced, because each
   replacement causes a complete read.  */
static void
idle_watch_is_not_replaced_ (void **state)
{
  struct fixture *f = fixture_new ();

  (void)state;
  fixture_put (f, CONTRACT_A, "1");
  fixture_start (f, NULL);
  rgy_store_client_set_watching (f->client, true);
  fixture_run (f, has_probed_often_);
  assert_int_equal (kv_server_get_call_count (f->server, KV_CALL_WATCH), 1);
  assert_int_equal (f->sync_count, 1);
  fixture_delete (f);
}

/* A store that has lost its contents must be refused.  No deletion may be
   reported, so that the last valid configuration stays in effect.  */
static void
store_with_older_contents_is_refused_ (void **state)
{
  struct fixture *f = fixture_new ();
  int i;

  (void)state;
  for (i = 0; i < 5; i++)
    fixture_put (f, CONTRACT_A, "1");
  fixture_start (f, NULL);
  rgy_store_client_set_watching (f->client, true);
  fixture_run (f, is_watching_);
  fixture_set_faults (f, "{\"reset\":true}");
  fixture_run (f, is_refused_);
  assert_int_equal (f->events->len, 1);
  /* Later writes raise the revision again, but the revision of the key is
     still older.  */
  fixture_put (f, CONTRACT_A, "older");
  for (i = 0; i < 20; i++)
    fixture_put (f, CONTRACT_B, "2");
  i = (int)kv_server_get_call_count (f->server, KV_CALL_TXN);
  while (kv_server_get_call_count (f->server, KV_CALL_TXN) < (uint64_t)i + 3)
    uv_run (&f->loop, UV_RUN_ONCE);
  assert_string_equal (f->states->str, "up down refused ");
  assert_int_equal (f->events->len, 1);
  fixture_delete (f);
}

/* A setting that points to the store of another cluster
   must not replace the contracts.  */
static void
store_of_another_cluster_is_refused_ (void **state)
{
  struct fixture *f = fixture_new ();
  int i;

  (void)state;
  fixture_put (f, CONTRACT_A, "1");
  fixture_start (f, NULL);
  rgy_store_client_set_watching (f->client, true);
  fixture_run (f, is_watching_);
  fixture_set_faults (f, "{\"new_cluster\":true}");
  for (i = 0; i < 5; i++)
    fixture_put (f, CONTRACT_A, "other");
  fixture_run (f, is_refused_);
  assert_int_equal (f->events->len, 1);
  fixture_delete (f);
}

/* A store that accepts connections but answers too late must be reported as
   down and be used again once it answers in time.  */
static void
slow_store_is_down_until_it_answers_ (void **state)
{
  struct rgy_store_intervals intervals = rgy_store_intervals_default;
  struct fixture *f = fixture_new ();

  (void)state;
  fixture_put (f, CONTRACT_A, "last");
  fixture_set_faults (f, "{\"delay_ms\":600000}");
  fixture_start (f, NULL);
  intervals.call_ms = 30;
  intervals.retry_min_ms = 5;
  intervals.retry_max_ms = 10;
  rgy_store_client_set_intervals (f->client, &intervals);
  rgy_store_client_set_watching (f->client, true);
  while (kv_server_get_call_count (f->server, KV_CALL_TXN) < 3)
    uv_run (&f->loop, UV_RUN_ONCE);
  assert_int_equal (rgy_store_client_get_state (f->client), RGY_STORE_DOWN);
  assert_int_equal (f->sync_count, 0);
  intervals.call_ms = 2000;
  rgy_store_client_set_intervals (f->client, &intervals);
  fixture_set_faults (f, "{\"delay_ms\":0}");
  fixture_run (f, has_last_a_);
  assert_string_equal (f->states->str, "up ");
  fixture_delete (f);
}

/* A failed member of the service must not stop a client
   that knows other endpoints.  */
static void
endpoints_are_tried_in_turn_ (void **state)
{
  struct sockaddr_in sin
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct fixture *f = fixture_new ();
  socklen_t len = sizeof sin;
  char text[RGY_ENDPOINT_TEXT_BYTES];
  char *endpoints;
  int fd;

  (void)state;
  /* The socket is bound but does not listen,
     so that connections are refused.  */
  fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (fd, (struct sockaddr *)&sin, sizeof sin), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *)&sin, &len), 0);
  rgy_endpoint_format (kv_server_get_endpoint (f->server), text);
  endpoints
      = g_strdup_printf ("127.0.0.1:%u, 127.0.0.1:%u,%s", ntohs (sin.sin_port),
                         ntohs (sin.sin_port), text);
  fixture_start (f, endpoints);
  rgy_store_client_read (f->client);
  fixture_run (f, is_synced_);
  g_free (endpoints);
  close (fd);
  fixture_delete (f);
}

/* A malformed list of endpoints must be rejected when the client is created,
   not with the first call.  */
static void
malformed_endpoints_are_rejected_ (void **state)
{
  static const char *const bad[] = { "", "host:1", "127.0.0.1", "127.0.0.1:1,",
                                     "127.0.0.1:1,,127.0.0.1:2" };
  const struct rgy_store_callbacks callbacks = { 0 };
  struct fixture *f = fixture_new ();
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (bad); i++)
    assert_null (rgy_store_client_new (&f->loop, bad[i], 1, &callbacks));
  fixture_delete (f);
}

/* The key of an agent must return to the store after lost answers, an expired
   lease or a changed value, and must be deleted after a graceful shutdown.  */
static void
leased_key_survives_faults_ (void **state)
{
  static const struct rgy_bytes first
      = { .data = (const uint8_t *)"record", .len = 6 };
  static const struct rgy_bytes second
      = { .data = (const uint8_t *)"second", .len = 6 };
  struct fixture *f = fixture_new ();

  (void)state;
  fixture_set_faults (f, "{\"drop_next_answers\":3}");
  fixture_start (f, NULL);
  rgy_store_client_set_leased_key (f->client, RGY_STR (AGENT), first, 1);
  fixture_run (f, has_agent_);
  fixture_run (f, has_kept_alive_);
  fixture_set_faults (f, "{\"expire_leases\":true}");
  assert_true (has_no_agent_ (f));
  fixture_run (f, has_agent_);
  fixture_set_faults (f, "{\"expire_leases\":true,\"drop_next_answers\":2}");
  rgy_store_client_set_leased_key (f->client, RGY_STR (AGENT), second, 1);
  fixture_run (f, has_second_agent_value_);
  rgy_store_client_revoke_lease (f->client);
  fixture_run (f, has_no_agent_);
  assert_true (kv_server_get_call_count (f->server, KV_CALL_LEASE_REVOKE)
               >= 1);
  fixture_delete (f);
}

/* Two clients that update the same key, such as a roll-up, must not overwrite
   each other.  */
static void
swap_detects_a_concurrent_write_ (void **state)
{
  struct fixture *f = fixture_new ();
  char *value;

  (void)state;
  fixture_start (f, NULL);
  fixture_swap (f, CONTRACT_A, "1", 0);
  fixture_run (f, has_swapped_);
  assert_int_equal (f->swap_outcome, RGY_OK);
  f->swaps_done = 0;
  fixture_swap (f, CONTRACT_A, "2", 0);
  fixture_run (f, has_swapped_);
  assert_int_equal (f->swap_outcome, RGY_ERR_CONFLICT);
  f->swaps_done = 0;
  fixture_swap (f, CONTRACT_A, "3", 2);
  fixture_run (f, has_swapped_);
  assert_int_equal (f->swap_outcome, RGY_OK);
  value = fixture_get (f, CONTRACT_A);
  assert_string_equal (value, "3");
  g_free (value);
  fixture_delete (f);
}

/* After a lost answer the outcome must not say that nothing was written,
   because the write may have taken effect.  */
static void
swap_with_lost_answer_reports_unavailable_ (void **state)
{
  struct fixture *f = fixture_new ();
  char *value;

  (void)state;
  fixture_start (f, NULL);
  fixture_set_faults (f, "{\"drop_next_answers\":1}");
  fixture_swap (f, CONTRACT_A, "1", 0);
  fixture_run (f, has_swapped_);
  assert_int_equal (f->swap_outcome, RGY_ERR_UNAVAILABLE);
  value = fixture_get (f, CONTRACT_A);
  assert_string_equal (value, "1");
  g_free (value);
  fixture_delete (f);
}

static void
delete_client_ (struct fixture *f)
{
  rgy_store_client_delete (f->client);
  f->client = NULL;
}

/* A process may stop at any time.  Deleting the client must cancel the calls
   in progress without callbacks, also when it is deleted from a callback.  */
static void
delete_cancels_calls_without_callbacks_ (void **state)
{
  struct fixture *f = fixture_new ();

  (void)state;
  fixture_put (f, CONTRACT_A, "1");
  fixture_start (f, NULL);
  rgy_store_client_set_watching (f->client, true);
  fixture_swap (f, CONTRACT_B, "1", 0);
  rgy_store_client_set_leased_key (f->client, RGY_STR (AGENT),
                                   (struct rgy_bytes){ 0 }, 1);
  fixture_delete (f);

  f = fixture_new ();
  fixture_put (f, CONTRACT_A, "1");
  fixture_start (f, NULL);
  f->on_synced = delete_client_;
  rgy_store_client_set_watching (f->client, true);
  fixture_run (f, is_synced_);
  fixture_delete (f);
}

/* When the client watches again after a pause, each change during the pause
   must be reported exactly once.  */
static void
changes_during_a_pause_are_reported_once_ (void **state)
{
  struct fixture *f = fixture_new ();

  (void)state;
  fixture_put (f, CONTRACT_A, "1");
  fixture_put (f, CONTRACT_B, "2");
  fixture_start (f, NULL);
  rgy_store_client_set_watching (f->client, true);
  fixture_run (f, is_watching_);
  rgy_store_client_set_watching (f->client, false);
  fixture_put (f, CONTRACT_B, "3");
  fixture_remove (f, CONTRACT_A);
  rgy_store_client_set_watching (f->client, true);
  fixture_run (f, is_synced_twice_);
  assert_true (has_four_events_ (f));
  assert_int_equal (f->events->len, 4);
  assert_true (fixture_has_event (f, "put " CONTRACT_B " 3"));
  assert_true (has_deleted_a_ (f));
  fixture_delete (f);
}

/* The version of an entry decides which value all instances use; a version
   read from the wrong field would make an old value replace a newer one.  */
static void
events_are_converted_to_entries_ (void **state)
{
  static const char order[]
      = "{\"domain\":\"d\",\"out\":true,\"number\":7,"
        "\"id\":\"00000000000000ff\",\"operator\":\"o\",\"issued\":1}";
  static const char contract[]
      = "{\"customer\":\"a\",\"callers\":[\"10.0.0.0/8\"],\"services\":"
        "[{\"name\":\"s\",\"address\":\"1.2.3.4:5\",\"protocol\":\"udp\"}]}";
  struct rgy_agent_record record = { .id = rgy_name_from_c ("x"),
                                     .epoch = 5,
                                     .sequence = 6,
                                     .state = RGY_MEMBER_READY,
                                     .domain = rgy_name_from_c ("d"),
                                     .endpoint = { 0x7f000001, 1 },
                                     .service = { 0x7f000001, 2 } };
  GByteArray *encoded = rgy_agent_record_encode (&record);
  struct rgy_store_event event = { .mod_revision = 42 };
  struct rgy_check_error error = { 0 };
  struct rgy_entry entry;

  (void)state;
  event.key = RGY_STR (CONTRACT_A);
  event.value
      = (struct rgy_bytes){ (const uint8_t *)contract, sizeof contract - 1 };
  assert_int_equal (rgy_store_event_to_entry (&event, &entry, &error), RGY_OK);
  assert_int_equal (entry.class, RGY_ENTRY_CONTRACT);
  assert_string_equal (entry.key.data, "a");
  assert_int_equal (entry.version.major, 42);
  event.key = RGY_STR (CONTRACT_B);
  assert_int_equal (rgy_store_event_to_entry (&event, &entry, &error),
                    RGY_ERR_INVALID);
  event.deleted = true;
  event.value.len = 0;
  assert_int_equal (rgy_store_event_to_entry (&event, &entry, &error), RGY_OK);
  assert_true (entry.deleted);
  event.deleted = false;
  event.key = RGY_STR ("/ragwortyoke/domains/d");
  event.value = (struct rgy_bytes){ (const uint8_t *)order, sizeof order - 1 };
  assert_int_equal (rgy_store_event_to_entry (&event, &entry, &error), RGY_OK);
  assert_int_equal (entry.class, RGY_ENTRY_DOMAIN);
  assert_int_equal (entry.version.major, 7);
  assert_int_equal (entry.version.minor, 255);
  event.deleted = true;
  assert_int_equal (rgy_store_event_to_entry (&event, &entry, &error),
                    RGY_ERR_NOT_FOUND);
  event.deleted = false;
  event.key = RGY_STR (AGENT);
  assert_int_equal (rgy_store_event_to_entry (&event, &entry, &error),
                    RGY_ERR_INVALID);
  assert_true (g_str_has_prefix (error.text, "value"));
  event.value = (struct rgy_bytes){ encoded->data, encoded->len };
  assert_int_equal (rgy_store_event_to_entry (&event, &entry, &error), RGY_OK);
  assert_int_equal (entry.class, RGY_ENTRY_AGENT);
  assert_int_equal (entry.version.major, 5);
  assert_int_equal (entry.version.minor, 6);
  event.key = RGY_STR ("/ragwortyoke/audit/0001");
  assert_int_equal (rgy_store_event_to_entry (&event, &entry, &error),
                    RGY_ERR_NOT_FOUND);
  event.key = RGY_STR ("/ragwortyoke/contracts/a/b");
  assert_int_equal (rgy_store_event_to_entry (&event, &entry, &error),
                    RGY_ERR_INVALID);
  g_byte_array_unref (encoded);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (read_reports_existing_keys_of_known_kinds_),
    cmocka_unit_test (watch_misses_no_write_),
    cmocka_unit_test (compacted_history_causes_a_new_read_),
    cmocka_unit_test (burst_of_writes_is_coalesced_),
    cmocka_unit_test (deletions_during_an_outage_are_reported_afterwards_),
    cmocka_unit_test (stalled_watch_is_replaced_),
    cmocka_unit_test (idle_watch_is_not_replaced_),
    cmocka_unit_test (store_with_older_contents_is_refused_),
    cmocka_unit_test (store_of_another_cluster_is_refused_),
    cmocka_unit_test (slow_store_is_down_until_it_answers_),
    cmocka_unit_test (endpoints_are_tried_in_turn_),
    cmocka_unit_test (malformed_endpoints_are_rejected_),
    cmocka_unit_test (leased_key_survives_faults_),
    cmocka_unit_test (swap_detects_a_concurrent_write_),
    cmocka_unit_test (swap_with_lost_answer_reports_unavailable_),
    cmocka_unit_test (delete_cancels_calls_without_callbacks_),
    cmocka_unit_test (changes_during_a_pause_are_reported_once_),
    cmocka_unit_test (events_are_converted_to_entries_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
