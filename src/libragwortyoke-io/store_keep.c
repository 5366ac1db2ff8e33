#include <string.h>

#include "private/store_client_private.h"

/* Number of keepalives within the lifetime of a lease.  */
#define KEEPALIVES_PER_LEASE 3
#define MS_PER_S 1000

static void start_next_call_ (struct rgy_store_client *client);

static void
on_next_call_timer_ (uv_timer_t *timer)
{
  start_next_call_ (timer->data);
}

static void
start_timer_ (struct rgy_store_client *client, uint64_t ms)
{
  uv_timer_start (&client->leased_key.timer, on_next_call_timer_, ms, 0);
}

/* Checks the result of a call and schedules a retry when it failed.  */
static enum rgy_outcome
check_call_ (struct rgy_store_client *client, enum rgy_outcome outcome,
             long status, const json_t *answer, const char *why)
{
  struct rgy_store_leased_key *leased_key = &client->leased_key;
  enum rgy_outcome rc;

  leased_key->request = NULL;
  rc = rgy_store_client_check_answer (client, outcome, status, answer, why,
                                      leased_key->sent_revision);
  if (client->closing || !leased_key->active || leased_key->request != NULL)
    return RGY_ERR_UNAVAILABLE;
  if (rc == RGY_OK)
    {
      leased_key->failures = 0;
      return rc;
    }
  leased_key->failures++;
  if (rc == RGY_ERR_NOT_FOUND)
    {
      /* The lease has expired.  */
      leased_key->lease = 0;
      leased_key->dirty = true;
    }
  start_timer_ (client, rc == RGY_ERR_NOT_FOUND && leased_key->failures == 1
                            ? 0
                            : rgy_store_client_backoff_ms (
                                client, leased_key->failures));
  return rc;
}

static void
on_lease_granted_ (enum rgy_outcome outcome, long status, const json_t *answer,
                   const char *why, void *ctx)
{
  struct rgy_store_client *client = ctx;

  if (check_call_ (client, outcome, status, answer, why) != RGY_OK)
    return;
  client->leased_key.lease = rgy_store_json_get_u64 (answer, "ID");
  client->leased_key.dirty = true;
  start_next_call_ (client);
}

static void
on_value_written_ (enum rgy_outcome outcome, long status, const json_t *answer,
                   const char *why, void *ctx)
{
  struct rgy_store_client *client = ctx;

  if (check_call_ (client, outcome, status, answer, why) != RGY_OK)
    {
      client->leased_key.dirty = true;
      return;
    }
  /* The flag is set again when the value was replaced during the call.  */
  if (client->leased_key.dirty)
    start_next_call_ (client);
  else
    start_timer_ (client, (uint64_t)client->leased_key.lease_s * MS_PER_S
                              / KEEPALIVES_PER_LEASE);
}

static void
on_lease_kept_alive_ (enum rgy_outcome outcome, long status,
                      const json_t *answer, const char *why, void *ctx)
{
  struct rgy_store_client *client = ctx;
  const json_t *result = json_object_get (answer, "result");

  if (check_call_ (client, outcome, status, result, why) != RGY_OK)
    return;
  if (rgy_store_json_get_u64 (result, "TTL") == 0)
    {
      client->leased_key.lease = 0;
      client->leased_key.dirty = true;
      start_next_call_ (client);
    }
  else if (client->leased_key.dirty)
    start_next_call_ (client);
  else
    start_timer_ (client, (uint64_t)client->leased_key.lease_s * MS_PER_S
                              / KEEPALIVES_PER_LEASE);
}

/* Starts the next call for the leased key: requesting a lease, writing the
   value or keeping the lease alive.  */
static void
start_next_call_ (struct rgy_store_client *client)
{
  struct rgy_store_leased_key *leased_key = &client->leased_key;
  struct rgy_bytes value;
  gsize len = 0;

  if (!leased_key->active || leased_key->request != NULL)
    return;
  uv_timer_stop (&leased_key->timer);
  leased_key->sent_revision = client->newest_header.revision;
  if (leased_key->lease == 0)
    leased_key->request = rgy_store_client_post (
        client, RGY_STORE_PATH_LEASE_GRANT,
        json_pack ("{s:o}", "TTL", rgy_store_json_u64 (leased_key->lease_s)),
        NULL, on_lease_granted_, client);
  else if (leased_key->dirty)
    {
      leased_key->dirty = false;
      value.data = g_bytes_get_data (leased_key->value, &len);
      value.len = len;
      leased_key->request = rgy_store_client_post (
          client, RGY_STORE_PATH_PUT,
          rgy_store_json_put (rgy_str_from_c (leased_key->key), value,
                              leased_key->lease),
          NULL, on_value_written_, client);
    }
  else
    leased_key->request = rgy_store_client_post (
        client, RGY_STORE_PATH_LEASE_KEEPALIVE,
        json_pack ("{s:o}", "ID", rgy_store_json_u64 (leased_key->lease)),
        NULL, on_lease_kept_alive_, client);
}

void
rgy_store_client_set_leased_key (struct rgy_store_client *client,
                                 struct rgy_str key, struct rgy_bytes value,
                                 unsigned lease_s)
{
  struct rgy_store_leased_key *leased_key = &client->leased_key;
  bool retrying = leased_key->active && leased_key->failures > 0;

  g_free (leased_key->key);
  if (leased_key->value != NULL)
    g_bytes_unref (leased_key->value);
  leased_key->key = g_strndup (key.data, key.len);
  leased_key->value = g_bytes_new (value.data, value.len);
  leased_key->lease_s = lease_s;
  leased_key->dirty = true;
  leased_key->active = true;
  /* A new value must not bypass the back-off during an outage.  */
  if (!retrying)
    start_next_call_ (client);
}

static void
on_lease_revoked_ (enum rgy_outcome outcome, long status, const json_t *answer,
                   const char *why, void *ctx)
{
  /* A failed call needs no retry, because the lease expires anyway.  */
  (void)outcome;
  (void)status;
  (void)answer;
  (void)why;
  (void)ctx;
}

void
rgy_store_client_revoke_lease (struct rgy_store_client *client)
{
  struct rgy_store_leased_key *leased_key = &client->leased_key;

  rgy_store_http_cancel (leased_key->request);
  leased_key->request = NULL;
  uv_timer_stop (&leased_key->timer);
  if (leased_key->active && leased_key->lease != 0)
    rgy_store_client_post (
        client, RGY_STORE_PATH_LEASE_REVOKE,
        json_pack ("{s:o}", "ID", rgy_store_json_u64 (leased_key->lease)),
        NULL, on_lease_revoked_, client);
  leased_key->active = false;
  leased_key->lease = 0;
  leased_key->failures = 0;
}

void
rgy_store_leased_key_init (struct rgy_store_client *client)
{
  rgy_store_client_init_timer (client, &client->leased_key.timer);
}

void
rgy_store_leased_key_finish (struct rgy_store_client *client)
{
  struct rgy_store_leased_key *leased_key = &client->leased_key;

  leased_key->active = false;
  g_free (leased_key->key);
  if (leased_key->value != NULL)
    g_bytes_unref (leased_key->value);
  leased_key->key = NULL;
  leased_key->value = NULL;
  rgy_store_client_close_timer (client, &leased_key->timer);
}
