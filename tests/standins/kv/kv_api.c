#include "kv_api.h"

#include <inttypes.h>
#include <string.h>

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define GRPC_INVALID 3
#define GRPC_NOT_FOUND 5
#define MEMBER_ID "10276657743932975437"
#define U64_TEXT_BYTES 24

const char *const kv_call_path[] = {
  [KV_CALL_RANGE] = "/v3/kv/range",
  [KV_CALL_PUT] = "/v3/kv/put",
  [KV_CALL_DELETERANGE] = "/v3/kv/deleterange",
  [KV_CALL_TXN] = "/v3/kv/txn",
  [KV_CALL_LEASE_GRANT] = "/v3/lease/grant",
  [KV_CALL_LEASE_KEEPALIVE] = "/v3/lease/keepalive",
  [KV_CALL_LEASE_REVOKE] = "/v3/lease/revoke",
  [KV_CALL_WATCH] = "/v3/watch",
};

const char *const kv_call_name[] = {
  [KV_CALL_RANGE] = "range",
  [KV_CALL_PUT] = "put",
  [KV_CALL_DELETERANGE] = "deleterange",
  [KV_CALL_TXN] = "txn",
  [KV_CALL_LEASE_GRANT] = "lease_grant",
  [KV_CALL_LEASE_KEEPALIVE] = "lease_keepalive",
  [KV_CALL_LEASE_REVOKE] = "lease_revoke",
  [KV_CALL_WATCH] = "watch",
};

/* Sets a 64-bit member. Like etcd's gRPC gateway, the stand-in writes 64-bit
   numbers as strings and omits zeros.  */
static void
set_u64_ (json_t *object, const char *name, uint64_t value)
{
  char text[U64_TEXT_BYTES];

  if (value == 0)
    return;
  g_snprintf (text, sizeof text, "%" PRIu64, value);
  json_object_set_new (object, name, json_string (text));
}

uint64_t
kv_api_get_u64 (const json_t *object, const char *name)
{
  const json_t *value = json_object_get (object, name);

  if (json_is_string (value))
    return g_ascii_strtoull (json_string_value (value), NULL, 10);
  return (uint64_t)json_integer_value (value);
}

static void
set_bytes_ (json_t *object, const char *name, GBytes *bytes)
{
  gsize len = 0;
  const uint8_t *data = g_bytes_get_data (bytes, &len);
  char *text;

  if (len == 0)
    return;
  text = g_base64_encode (data, len);
  json_object_set_new (object, name, json_string (text));
  g_free (text);
}

/* Decodes the base64 value of a member; the result is empty when the member is
   missing or empty.  */
static GBytes *
get_bytes_ (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  gsize len = 0;
  guchar *data;

  if (text == NULL || text[0] == '\0')
    return g_bytes_new_static ("", 0);
  data = g_base64_decode (text, &len);
  return g_bytes_new_take (data, len);
}

json_t *
kv_api_build_header (const struct kv_store *store)
{
  json_t *header = json_object ();

  set_u64_ (header, "cluster_id", store->cluster_id);
  json_object_set_new (header, "member_id", json_string (MEMBER_ID));
  set_u64_ (header, "revision", store->revision);
  json_object_set_new (header, "raft_term", json_string ("2"));
  return header;
}

static json_t *
new_answer_ (const struct kv_store *store)
{
  json_t *answer = json_object ();

  json_object_set_new (answer, "header", kv_api_build_header (store));
  return answer;
}

json_t *
kv_api_build_error (unsigned status, const char *message, unsigned *out)
{
  *out = status;
  return json_pack ("{s:s, s:i, s:s}", "error", message, "code",
                    status == HTTP_NOT_FOUND ? GRPC_NOT_FOUND : GRPC_INVALID,
                    "message", message);
}

bool
kv_api_parse_interval (const json_t *request, struct kv_interval *interval)
{
  interval->key = get_bytes_ (request, "key");
  interval->end = get_bytes_ (request, "range_end");
  if (g_bytes_get_size (interval->key) > 0)
    return true;
  kv_interval_finish (interval);
  return false;
}

void
kv_interval_finish (struct kv_interval *interval)
{
  g_bytes_unref (interval->key);
  g_bytes_unref (interval->end);
}

static json_t *
build_pair_json_ (const struct kv_pair *pair, bool keys_only)
{
  json_t *object = json_object ();

  set_bytes_ (object, "key", pair->key);
  set_u64_ (object, "create_revision", pair->create_revision);
  set_u64_ (object, "mod_revision", pair->mod_revision);
  set_u64_ (object, "version", pair->version);
  if (pair->value != NULL && !keys_only)
    set_bytes_ (object, "value", pair->value);
  set_u64_ (object, "lease", pair->lease);
  return object;
}

json_t *
kv_api_build_event (const struct kv_pair *pair)
{
  json_t *event = json_object ();

  if (pair->value == NULL)
    json_object_set_new (event, "type", json_string ("DELETE"));
  json_object_set_new (event, "kv", build_pair_json_ (pair, false));
  return event;
}

static void
add_range_result_ (const struct kv_store *store, const json_t *request,
                   json_t *answer)
{
  uint64_t limit = kv_api_get_u64 (request, "limit");
  bool keys_only = json_is_true (json_object_get (request, "keys_only"));
  bool count_only = json_is_true (json_object_get (request, "count_only"));
  struct kv_interval interval;
  GPtrArray *pairs;
  json_t *kvs;
  unsigned listed;
  unsigned i;

  if (!kv_api_parse_interval (request, &interval))
    return;
  pairs = kv_store_range (store, &interval);
  listed = pairs->len;
  if (limit != 0 && limit < listed)
    {
      listed = (unsigned)limit;
      json_object_set_new (answer, "more", json_true ());
    }
  if (count_only)
    listed = 0;
  if (listed > 0)
    {
      kvs = json_array ();
      for (i = 0; i < listed; i++)
        json_array_append_new (
            kvs, build_pair_json_ (g_ptr_array_index (pairs, i), keys_only));
      json_object_set_new (answer, "kvs", kvs);
    }
  set_u64_ (answer, "count", pairs->len);
  g_ptr_array_unref (pairs);
  kv_interval_finish (&interval);
}

/* Checks whether a put can run.
   @return NULL, or the error message; STATUS is then the HTTP status.  */
static const char *
check_put_ (const struct kv_store *store, const json_t *request,
            unsigned *status)
{
  const char *key = json_string_value (json_object_get (request, "key"));
  uint64_t lease = kv_api_get_u64 (request, "lease");

  if (key == NULL || key[0] == '\0')
    {
      *status = HTTP_BAD_REQUEST;
      return "etcdserver: key is not provided";
    }
  if (lease != 0 && kv_store_get_lease (store, lease) == NULL)
    {
      *status = HTTP_NOT_FOUND;
      return "etcdserver: requested lease not found";
    }
  return NULL;
}

static void
put_pair_ (struct kv_store *store, const json_t *request)
{
  GBytes *key = get_bytes_ (request, "key");
  GBytes *value = get_bytes_ (request, "value");

  kv_store_put (store, key, value, kv_api_get_u64 (request, "lease"));
  g_bytes_unref (key);
  g_bytes_unref (value);
}

static unsigned
delete_interval_ (struct kv_store *store, const json_t *request)
{
  struct kv_interval interval;
  unsigned deleted;

  if (!kv_api_parse_interval (request, &interval))
    return 0;
  deleted = kv_store_delete (store, &interval);
  kv_interval_finish (&interval);
  return deleted;
}

/* Compares as strcmp() does.  */
static int
compare_u64_ (uint64_t a, uint64_t b)
{
  return a < b ? -1 : a > b;
}

static bool
is_compare_true_ (const struct kv_store *store, const json_t *compare)
{
  const char *target = json_string_value (json_object_get (compare, "target"));
  const char *result = json_string_value (json_object_get (compare, "result"));
  GBytes *key = get_bytes_ (compare, "key");
  const struct kv_pair *pair = kv_store_get (store, key);
  GBytes *value;
  int order = 0;

  g_bytes_unref (key);
  if (target == NULL || strcmp (target, "VERSION") == 0)
    order = compare_u64_ (pair == NULL ? 0 : pair->version,
                          kv_api_get_u64 (compare, "version"));
  else if (strcmp (target, "MOD") == 0)
    order = compare_u64_ (pair == NULL ? 0 : pair->mod_revision,
                          kv_api_get_u64 (compare, "mod_revision"));
  else if (strcmp (target, "CREATE") == 0)
    order = compare_u64_ (pair == NULL ? 0 : pair->create_revision,
                          kv_api_get_u64 (compare, "create_revision"));
  else if (pair == NULL)
    return false; /* A missing key has no VALUE to compare.  */
  else
    {
      value = get_bytes_ (compare, "value");
      order = g_bytes_compare (pair->value, value);
      g_bytes_unref (value);
    }
  if (result == NULL || strcmp (result, "EQUAL") == 0)
    return order == 0;
  if (strcmp (result, "GREATER") == 0)
    return order > 0;
  if (strcmp (result, "LESS") == 0)
    return order < 0;
  return order != 0;
}

/* Returns the request of an operation, or NULL when the operation is of
   another kind. Clients write the member in snake or in camel case.  */
static const json_t *
get_operation_ (const json_t *op, const char *snake_name,
                const char *camel_name)
{
  const json_t *request = json_object_get (op, snake_name);

  return request != NULL ? request : json_object_get (op, camel_name);
}

/* Checks all operations of a transaction before the first one runs, so that a
   transaction never runs in part.
   @return NULL, or the error message; STATUS is then the HTTP status.  */
static const char *
check_operations_ (const struct kv_store *store, const json_t *ops,
                   bool *writes, unsigned *status)
{
  GHashTable *keys = g_hash_table_new (g_str_hash, g_str_equal);
  const char *error = NULL;
  const json_t *request;
  json_t *op;
  size_t i;

  *writes = false;
  json_array_foreach ((json_t *)ops, i, op)
  {
    request = get_operation_ (op, "request_put", "requestPut");
    if (request != NULL)
      {
        *writes = true;
        error = check_put_ (store, request, status);
        if (error == NULL
            && !g_hash_table_add (keys, (void *)json_string_value (
                                            json_object_get (request, "key"))))
          {
            *status = HTTP_BAD_REQUEST;
            error = "etcdserver: duplicate key given in txn request";
          }
      }
    else if (get_operation_ (op, "request_delete_range", "requestDeleteRange")
             != NULL)
      *writes = true;
    else if (get_operation_ (op, "request_range", "requestRange") == NULL)
      {
        *status = HTTP_BAD_REQUEST;
        error = "etcdserver: unsupported operation in txn request";
      }
    if (error != NULL)
      break;
  }
  g_hash_table_unref (keys);
  return error;
}

static json_t *
run_transaction_ (struct kv_store *store, const json_t *request,
                  unsigned *status)
{
  const json_t *compares = json_object_get (request, "compare");
  json_t *responses = json_array ();
  const char *error;
  const json_t *ops;
  const json_t *sub_request;
  json_t *compare;
  json_t *answer;
  json_t *reply;
  json_t *op;
  bool succeeded = true;
  bool writes = false;
  size_t i;

  json_array_foreach ((json_t *)compares, i, compare) succeeded
      = succeeded && is_compare_true_ (store, compare);
  ops = json_object_get (request, succeeded ? "success" : "failure");
  error = check_operations_ (store, ops, &writes, status);
  if (error != NULL)
    {
      json_decref (responses);
      return kv_api_build_error (*status, error, status);
    }
  if (writes)
    store->revision++;
  json_array_foreach ((json_t *)ops, i, op)
  {
    reply = new_answer_ (store);
    if ((sub_request = get_operation_ (op, "request_put", "requestPut"))
        != NULL)
      {
        put_pair_ (store, sub_request);
        json_array_append_new (responses,
                               json_pack ("{s:o}", "response_put", reply));
      }
    else if ((sub_request
              = get_operation_ (op, "request_range", "requestRange"))
             != NULL)
      {
        add_range_result_ (store, sub_request, reply);
        json_array_append_new (responses,
                               json_pack ("{s:o}", "response_range", reply));
      }
    else
      {
        sub_request = get_operation_ (op, "request_delete_range",
                                      "requestDeleteRange");
        set_u64_ (reply, "deleted", delete_interval_ (store, sub_request));
        json_array_append_new (
            responses, json_pack ("{s:o}", "response_delete_range", reply));
      }
  }
  answer = new_answer_ (store);
  if (succeeded)
    json_object_set_new (answer, "succeeded", json_true ());
  json_object_set_new (answer, "responses", responses);
  return answer;
}

static json_t *
renew_lease_ (const struct kv_store *store, uint64_t id, int64_t now_us)
{
  struct kv_lease *lease = kv_store_get_lease (store, id);
  json_t *answer = new_answer_ (store);

  set_u64_ (answer, "ID", id);
  if (lease != NULL)
    {
      lease->expires_us = now_us + lease->ttl_s * G_USEC_PER_SEC;
      set_u64_ (answer, "TTL", (uint64_t)lease->ttl_s);
    }
  return json_pack ("{s:o}", "result", answer);
}

static json_t *
grant_lease_ (struct kv_store *store, const json_t *request, int64_t now_us,
              unsigned *status)
{
  uint64_t ttl_s = kv_api_get_u64 (request, "TTL");
  const struct kv_lease *lease;
  json_t *answer;

  if (ttl_s == 0 || ttl_s > INT32_MAX)
    return kv_api_build_error (HTTP_BAD_REQUEST,
                               "etcdserver: too large lease TTL", status);
  lease = kv_store_grant_lease (store, (int64_t)ttl_s, now_us);
  answer = new_answer_ (store);
  set_u64_ (answer, "ID", lease->id);
  set_u64_ (answer, "TTL", ttl_s);
  return answer;
}

json_t *
kv_api_call (struct kv_store *store, enum kv_call call, const json_t *request,
             int64_t now_us, unsigned *status)
{
  struct kv_interval interval;
  const char *error;
  json_t *answer;

  *status = HTTP_OK;
  switch (call)
    {
    case KV_CALL_RANGE:
    case KV_CALL_DELETERANGE:
      if (!kv_api_parse_interval (request, &interval))
        return kv_api_build_error (HTTP_BAD_REQUEST,
                                   "etcdserver: key is not provided", status);
      kv_interval_finish (&interval);
      if (call == KV_CALL_RANGE)
        {
          answer = new_answer_ (store);
          add_range_result_ (store, request, answer);
          return answer;
        }
      store->revision++;
      answer = json_object ();
      set_u64_ (answer, "deleted", delete_interval_ (store, request));
      if (json_object_size (answer) == 0)
        store->revision--; /* No key was deleted, so nothing changed.  */
      json_object_set_new (answer, "header", kv_api_build_header (store));
      return answer;
    case KV_CALL_PUT:
      error = check_put_ (store, request, status);
      if (error != NULL)
        return kv_api_build_error (*status, error, status);
      store->revision++;
      put_pair_ (store, request);
      return new_answer_ (store);
    case KV_CALL_TXN:
      return run_transaction_ (store, request, status);
    case KV_CALL_LEASE_GRANT:
      return grant_lease_ (store, request, now_us, status);
    case KV_CALL_LEASE_KEEPALIVE:
      return renew_lease_ (store, kv_api_get_u64 (request, "ID"), now_us);
    case KV_CALL_LEASE_REVOKE:
      if (!kv_store_revoke_lease (store, kv_api_get_u64 (request, "ID")))
        return kv_api_build_error (
            HTTP_NOT_FOUND, "etcdserver: requested lease not found", status);
      return new_answer_ (store);
    case KV_CALL_WATCH:
    case KV_CALL_COUNT:
      break;
    }
  return kv_api_build_error (HTTP_NOT_FOUND, "Not Found", status);
}
