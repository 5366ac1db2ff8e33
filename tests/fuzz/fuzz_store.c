#include <jansson.h>
#include <string.h>

#include "fuzz.h"
#include "ragwortyoke-io/store_client.h"
#include "ragwortyoke-io/store_json.h"
#include "ragwortyoke/blackboard.h"

/* Fuzz target of the adapter of the key-value service.  An input that starts
   with '{' is an answer of the service.  Any other input is one event: a byte
   whose bit 0 means deleted, the modification revision in 8 bytes, the length
   of the key in one byte, the key and the value.  */

#define EVENT_HEADER_BYTES 10

static const char contract_[]
    = "{\"customer\":\"rodaforte\",\"callers\":[\"127.0.0.0/8\"],"
      "\"services\":[{\"name\":\"workshop\","
      "\"address\":\"127.0.10.1:5683\",\"protocol\":\"coap\"}]}";

static struct rgy_bytes
get_bytes_view_ (GBytes *bytes)
{
  struct rgy_bytes out;

  out.data = g_bytes_get_data (bytes, &out.len);
  return out;
}

static void
add_event_seed_ (GPtrArray *seeds, bool deleted, const char *key,
                 struct rgy_bytes value)
{
  GByteArray *event = g_byte_array_new ();
  uint8_t header[EVENT_HEADER_BYTES] = { deleted ? 1 : 0 };

  header[8] = 42;
  header[9] = (uint8_t)strlen (key);
  g_byte_array_append (event, header, sizeof header);
  g_byte_array_append (event, (const guint8 *)key, (guint)strlen (key));
  if (value.len > 0)
    g_byte_array_append (event, value.data, (guint)value.len);
  fuzz_add_seed_array (seeds, event);
}

static json_t *
build_kv_ (const char *key, struct rgy_bytes value)
{
  return json_pack ("{s:o, s:o, s:o, s:o, s:o}", "key",
                    rgy_store_json_str (rgy_str_from_c (key)), "mod_revision",
                    rgy_store_json_u64 (42), "version", rgy_store_json_u64 (3),
                    "lease", rgy_store_json_u64 (7), "value",
                    rgy_store_json_bytes (value));
}

static json_t *
build_header_ (void)
{
  return json_pack ("{s:o, s:o}", "cluster_id",
                    rgy_store_json_u64 (UINT64_MAX), "revision",
                    rgy_store_json_u64 (43));
}

static void
add_json_seed_ (GPtrArray *seeds, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  fuzz_add_seed_text (seeds, text);
  free (text);
  json_decref (json);
}

void
fuzz_add_seeds (GPtrArray *seeds)
{
  static const char contract_key[] = RGY_STORE_PREFIX "contracts/rodaforte";
  struct rgy_bytes contract
      = { .data = (const uint8_t *)contract_, .len = sizeof contract_ - 1 };
  struct rgy_domain_order order = { .domain = rgy_name_from_c ("poa-a"),
                                    .out = true,
                                    .number = 5,
                                    .id = 6,
                                    .operator_name = rgy_name_from_c ("ana") };
  struct rgy_agent_record agent
      = { .id = rgy_name_from_c ("agent-1"),
          .epoch = 5,
          .sequence = 8,
          .state = RGY_MEMBER_READY,
          .domain = rgy_name_from_c ("poa-a"),
          .endpoint = { .ip = 0x7f000001, .port = 7000 },
          .service = { .ip = 0x7f000a01, .port = 5683 } };
  char *order_text = rgy_domain_order_format (&order);
  struct rgy_bytes order_bytes
      = { .data = (const uint8_t *)order_text, .len = strlen (order_text) };
  GByteArray *record = rgy_agent_record_encode (&agent);

  add_event_seed_ (seeds, false, contract_key, contract);
  add_event_seed_ (seeds, true, contract_key, (struct rgy_bytes){ 0 });
  add_event_seed_ (seeds, false, RGY_STORE_PREFIX "domains/poa-a",
                   order_bytes);
  add_event_seed_ (seeds, false, RGY_STORE_PREFIX "agents/agent-1",
                   fuzz_view_array (record));
  add_json_seed_ (
      seeds, json_pack ("{s:o, s:[o, o], s:s}", "header", build_header_ (),
                        "kvs", build_kv_ (contract_key, contract),
                        build_kv_ (RGY_STORE_PREFIX "agents/agent-1",
                                   fuzz_view_array (record)),
                        "count", "2"));
  add_json_seed_ (
      seeds,
      json_pack ("{s:{s:o, s:[{s:s, s:o}, {s:o}]}}", "result", "header",
                 build_header_ (), "events", "type", "DELETE", "kv",
                 build_kv_ (contract_key, contract), "kv",
                 build_kv_ (RGY_STORE_PREFIX "domains/poa-a", order_bytes)));
  add_json_seed_ (seeds, json_pack ("{s:o, s:b, s:[{s:{s:[o]}}]}", "header",
                                    build_header_ (), "succeeded", 1,
                                    "responses", "response_range", "kvs",
                                    build_kv_ (contract_key, contract)));
  g_byte_array_unref (record);
  g_free (order_text);
}

/* The blackboard must apply an entry that the adapter makes from an event, and
   must report the entry as stale when it is applied again.  Otherwise the
   checks of the adapter and of the blackboard disagree.  */
static void
check_event_ (const struct rgy_store_event *event)
{
  struct rgy_counters *counters;
  struct rgy_blackboard *bb;
  struct rgy_check_error error = { 0 };
  struct rgy_entry entry;
  enum rgy_outcome rc = rgy_store_event_to_entry (event, &entry, &error);

  g_assert ((rc == RGY_ERR_INVALID) == (error.text[0] != '\0'));
  if (rc != RGY_OK)
    return;
  counters = rgy_counters_new ();
  bb = rgy_blackboard_new (counters);
  g_assert (rgy_blackboard_apply (bb, &entry) == RGY_OK);
  g_assert (rgy_blackboard_apply (bb, &entry) == RGY_ERR_STALE);
  rgy_blackboard_delete (bb);
  rgy_counters_delete (counters);
}

/* Decodes the input as one event, in the form described at the head of this
   file, and checks it.  */
static void
run_event_input_ (struct rgy_bytes input)
{
  struct rgy_store_event event = { 0 };
  size_t key_len;
  size_t i;

  if (input.len < EVENT_HEADER_BYTES)
    return;
  key_len = MIN (input.data[9], input.len - EVENT_HEADER_BYTES);
  event.deleted = (input.data[0] & 1) != 0;
  for (i = 1; i < EVENT_HEADER_BYTES - 1; i++)
    event.mod_revision = event.mod_revision << 8 | input.data[i];
  event.key = (struct rgy_str){
    .data = (const char *)input.data + EVENT_HEADER_BYTES, .len = key_len
  };
  if (!event.deleted)
    event.value = (struct rgy_bytes){
      .data = input.data + EVENT_HEADER_BYTES + key_len,
      .len = input.len - EVENT_HEADER_BYTES - key_len
    };
  check_event_ (&event);
}

/* Checks the event that a key-value pair of an answer stands for.  */
static void
check_kv_ (const json_t *kv, bool deleted)
{
  GBytes *key = rgy_store_json_get_bytes (kv, "key");
  GBytes *value = rgy_store_json_get_bytes (kv, "value");
  struct rgy_store_event event
      = { .deleted = deleted,
          .mod_revision = rgy_store_json_get_revision (kv, "mod_revision") };
  struct rgy_bytes key_bytes = get_bytes_view_ (key);

  event.key = (struct rgy_str){ .data = (const char *)key_bytes.data,
                                .len = key_bytes.len };
  if (!deleted)
    event.value = get_bytes_view_ (value);
  check_event_ (&event);
  g_bytes_unref (key);
  g_bytes_unref (value);
}

/* Checks the items of a list as key-value pairs, as watch events and as
   responses of a transaction.  */
static void
check_list_ (const json_t *list)
{
  json_t *item;
  size_t i;

  json_array_foreach ((json_t *)list, i, item)
  {
    check_kv_ (item, false);
    check_kv_ (json_object_get (item, "kv"),
               g_strcmp0 (json_string_value (json_object_get (item, "type")),
                          "DELETE")
                   == 0);
    check_list_ (
        json_object_get (json_object_get (item, "response_range"), "kvs"));
  }
}

static void
check_answer_ (const json_t *answer)
{
  struct rgy_store_header header;

  /* A revision above INT64_MAX would make every later answer look older.  */
  if (rgy_store_json_get_header (answer, &header))
    g_assert (header.revision <= INT64_MAX);
  check_list_ (json_object_get (answer, "kvs"));
  check_list_ (json_object_get (answer, "events"));
  check_list_ (json_object_get (answer, "responses"));
}

/* The adapter must decode whatever the service sends without a crash, and the
   blackboard must apply the entries that the adapter makes from it.  */
void
fuzz_run_input (struct rgy_bytes input)
{
  json_t *json;

  if (input.len == 0 || input.data[0] != '{')
    {
      run_event_input_ (input);
      return;
    }
  json = json_loadb ((const char *)input.data, input.len, 0, NULL);
  if (json == NULL)
    return;
  check_answer_ (json);
  check_answer_ (json_object_get (json, "result"));
  json_decref (json);
}
