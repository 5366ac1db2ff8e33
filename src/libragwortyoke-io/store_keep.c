#include <string.h>

#include "private/store_client_private.h"

/* The lease is kept alive this many times within its term.  */
#define KEEPALIVES_PER_TERM 3
#define MS_PER_S 1000

static void step_ (struct rgy_store_client *client);

static void
on_timer_ (uv_timer_t *timer)
{
  step_ (timer->data);
}

static void
wait_ms_ (struct rgy_store_client *client, uint64_t ms)
{
  uv_timer_start (&client->keep.timer, on_timer_, ms, 0);
}

/* Checks the end of a call; schedules a retry when it failed.  */
static enum rgy_outcome
check_ (struct rgy_store_client *client, enum rgy_outcome outcome, long status,
        const json_t *answer, const char *why)
{
  struct rgy_store_keep *keep = &client->keep;
  enum rgy_outcome rc;

  keep->request = NULL;
  rc = rgy_store_client_check (client, outcome, status, answer, why,
                               keep->sent_revision);
  if (client->closing || !keep->active || keep->request != NULL)
    return RGY_ERR_UNAVAILABLE;
  if (rc == RGY_OK)
    {
      keep->failures = 0;
      return rc;
    }
  keep->failures++;
  if (rc == RGY_ERR_NOT_FOUND)
    {
      /* The lease has lapsed.  */
      keep->lease = 0;
      keep->dirty = true;
    }
  wait_ms_ (client,
            rc == RGY_ERR_NOT_FOUND && keep->failures == 1
                ? 0
                : rgy_store_client_backoff_ms (client, keep->failures));
  return rc;
}

static void
granted_ (enum rgy_outcome outcome, long status, const json_t *answer,
          const char *why, void *ctx)
{
  struct rgy_store_client *client = ctx;

  if (check_ (client, outcome, status, answer, why) != RGY_OK)
    return;
  client->keep.lease = rgy_store_json_get_u64 (answer, "ID");
  client->keep.dirty = true;
  step_ (client);
}

static void
written_ (enum rgy_outcome outcome, long status, const json_t *answer,
          const char *why, void *ctx)
{
  struct rgy_store_client *client = ctx;

  if (check_ (client, outcome, status, answer, why) != RGY_OK)
    {
      client->keep.dirty = true;
      return;
    }
  /* A value that was replaced meanwhile has set the flag again.  */
  if (client->keep.dirty)
    step_ (client);
  else
    wait_ms_ (client,
              (uint64_t)client->keep.lease_s * MS_PER_S / KEEPALIVES_PER_TERM);
}

static void
kept_alive_ (enum rgy_outcome outcome, long status, const json_t *answer,
             const char *why, void *ctx)
{
  struct rgy_store_client *client = ctx;
  const json_t *result = json_object_get (answer, "result");

  if (check_ (client, outcome, status, result, why) != RGY_OK)
    return;
  if (rgy_store_json_get_u64 (result, "TTL") == 0)
    {
      client->keep.lease = 0;
      client->keep.dirty = true;
      step_ (client);
    }
  else if (client->keep.dirty)
    step_ (client);
  else
    wait_ms_ (client,
              (uint64_t)client->keep.lease_s * MS_PER_S / KEEPALIVES_PER_TERM);
}

/* Starts the next call that the kept key needs: a lease, its value, or a
   keepalive.  */
static void
step_ (struct rgy_store_client *client)
{
  struct rgy_store_keep *keep = &client->keep;
  struct rgy_bytes value;
  gsize len = 0;

  if (!keep->active || keep->request != NULL)
    return;
  uv_timer_stop (&keep->timer);
  keep->sent_revision = client->seen.revision;
  if (keep->lease == 0)
    keep->request = rgy_store_client_post (
        client, RGY_STORE_PATH_LEASE_GRANT,
        json_pack ("{s:o}", "TTL", rgy_store_json_u64 (keep->lease_s)), NULL,
        granted_, client);
  else if (keep->dirty)
    {
      keep->dirty = false;
      value.data = g_bytes_get_data (keep->value, &len);
      value.len = len;
      keep->request = rgy_store_client_post (
          client, RGY_STORE_PATH_PUT,
          rgy_store_json_put (rgy_str_from_c (keep->key), value, keep->lease),
          NULL, written_, client);
    }
  else
    keep->request = rgy_store_client_post (
        client, RGY_STORE_PATH_LEASE_KEEPALIVE,
        json_pack ("{s:o}", "ID", rgy_store_json_u64 (keep->lease)), NULL,
        kept_alive_, client);
}

void
rgy_store_client_keep (struct rgy_store_client *client, struct rgy_str key,
                       struct rgy_bytes value, unsigned lease_s)
{
  struct rgy_store_keep *keep = &client->keep;
  bool retrying = keep->active && keep->failures > 0;

  g_free (keep->key);
  if (keep->value != NULL)
    g_bytes_unref (keep->value);
  keep->key = g_strndup (key.data, key.len);
  keep->value = g_bytes_new (value.data, value.len);
  keep->lease_s = lease_s;
  keep->dirty = true;
  keep->active = true;
  /* A new value must not bypass the back-off of an outage.  */
  if (!retrying)
    step_ (client);
}

static void
released_ (enum rgy_outcome outcome, long status, const json_t *answer,
           const char *why, void *ctx)
{
  /* A lost answer needs no retry: the lease ends by itself.  */
  (void)outcome;
  (void)status;
  (void)answer;
  (void)why;
  (void)ctx;
}

void
rgy_store_client_release (struct rgy_store_client *client)
{
  struct rgy_store_keep *keep = &client->keep;

  rgy_store_http_cancel (keep->request);
  keep->request = NULL;
  uv_timer_stop (&keep->timer);
  if (keep->active && keep->lease != 0)
    rgy_store_client_post (
        client, RGY_STORE_PATH_LEASE_REVOKE,
        json_pack ("{s:o}", "ID", rgy_store_json_u64 (keep->lease)), NULL,
        released_, client);
  keep->active = false;
  keep->lease = 0;
  keep->failures = 0;
}

void
rgy_store_keep_init (struct rgy_store_client *client)
{
  rgy_store_client_init_timer (client, &client->keep.timer);
}

void
rgy_store_keep_finish (struct rgy_store_client *client)
{
  struct rgy_store_keep *keep = &client->keep;

  keep->active = false;
  g_free (keep->key);
  if (keep->value != NULL)
    g_bytes_unref (keep->value);
  keep->key = NULL;
  keep->value = NULL;
  rgy_store_client_close_timer (client, &keep->timer);
}
