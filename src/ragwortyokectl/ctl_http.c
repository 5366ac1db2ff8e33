#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private/ctl_io.h"

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define CONNECT_TIMEOUT_MS 500
#define STORE_CALL_MS 2000
#define BALANCER_CALL_MS 1000
#define READ_ATTEMPTS 3
#define READ_PAUSE_US 100000
#define US_PER_MS 1000
#define HTTP_UNAUTHORIZED 401
#define HTTP_FORBIDDEN 403

int64_t
ctl_now_ms (void)
{
  return g_get_monotonic_time () / US_PER_MS;
}

unsigned
ctl_remaining_ms (int64_t deadline_ms)
{
  int64_t left = deadline_ms - ctl_now_ms ();

  return left <= 0 ? 0 : (unsigned)left;
}

static size_t
on_data_ (char *data, size_t size, size_t count, void *ctx)
{
  g_string_append_len (ctx, data, (gssize)(size * count));
  return size * count;
}

/* True when the request certainly did not reach the server.  */
static bool
was_not_sent_ (CURL *easy, CURLcode result)
{
  double connected_s = 0;

  if (result == CURLE_COULDNT_CONNECT)
    return true;
  curl_easy_getinfo (easy, CURLINFO_CONNECT_TIME, &connected_s);
  return result == CURLE_OPERATION_TIMEDOUT && connected_s <= 0;
}

enum rgy_outcome
ctl_http (const char *url, const char *token, const json_t *body,
          unsigned timeout_ms, json_t **answer, long *status)
{
  struct curl_slist *headers = NULL;
  enum rgy_outcome rc = RGY_ERR_TIMEOUT;
  GString *received = g_string_new (NULL);
  CURL *easy = curl_easy_init ();
  char *text = NULL;
  char *authorization;
  CURLcode result;

  *answer = NULL;
  *status = 0;
  headers = curl_slist_append (headers, "Content-Type: application/json");
  headers = curl_slist_append (headers, "Expect:");
  if (token != NULL)
    {
      authorization = g_strdup_printf ("Authorization: Bearer %s", token);
      headers = curl_slist_append (headers, authorization);
      g_free (authorization);
    }
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)MIN (timeout_ms, CONNECT_TIMEOUT_MS));
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)MAX (timeout_ms, 1));
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data_);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, received);
  if (body != NULL)
    {
      text = json_dumps (body, JSON_COMPACT);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)strlen (text));
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, text);
    }
  result = curl_easy_perform (easy);
  if (result == CURLE_OK)
    {
      curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, status);
      *answer = json_loadb (received->str, received->len, 0, NULL);
      rc = *answer == NULL ? RGY_ERR_TIMEOUT : RGY_OK;
    }
  else if (was_not_sent_ (easy, result))
    rc = RGY_ERR_UNAVAILABLE;
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  g_string_free (received, TRUE);
  free (text);
  return rc;
}

/* Derives the outcome of a call to the store from its transport result, HTTP
   status and answer.  */
static enum rgy_outcome
check_store_answer_ (struct ctl *ctl, enum rgy_outcome rc, long status,
                     const json_t *answer)
{
  struct rgy_store_header header;

  if (rc != RGY_OK)
    return rc;
  if (status == HTTP_BAD_REQUEST)
    return RGY_ERR_INVALID;
  if (status != HTTP_OK || !rgy_store_json_get_header (answer, &header))
    return RGY_ERR_TIMEOUT;
  if ((ctl->last_header.cluster_id != 0
       && ctl->last_header.cluster_id != header.cluster_id)
      || header.revision < ctl->last_header.revision)
    return RGY_ERR_STALE;
  ctl->last_header = header;
  return RGY_OK;
}

enum rgy_outcome
ctl_store_call (struct ctl *ctl, const char *path, const json_t *body,
                bool write, int64_t deadline_ms, json_t **answer)
{
  unsigned count = g_strv_length (ctl->settings->stores);
  enum rgy_outcome rc = RGY_ERR_UNAVAILABLE;
  unsigned timeout_ms;
  unsigned i;
  long status;
  char *url;

  *answer = NULL;
  for (i = 0; i < count && ctl_remaining_ms (deadline_ms) > 0; i++)
    {
      url = g_strdup_printf ("http://%s%s",
                             ctl->settings->stores[ctl->store % count], path);
      timeout_ms = MIN (ctl_remaining_ms (deadline_ms), STORE_CALL_MS);
      rc = ctl_http (url, NULL, body, timeout_ms, answer, &status);
      g_free (url);
      rc = check_store_answer_ (ctl, rc, status, *answer);
      if (rc == RGY_OK)
        return rc;
      json_decref (*answer);
      *answer = NULL;
      ctl->store++;
      if (rc == RGY_ERR_INVALID || (write && rc != RGY_ERR_UNAVAILABLE))
        return rc;
    }
  return rc == RGY_ERR_TIMEOUT ? RGY_ERR_UNAVAILABLE : rc;
}

enum rgy_outcome
ctl_store_read (struct ctl *ctl, json_t *plan, int64_t deadline_ms,
                json_t **answer)
{
  enum rgy_outcome rc = RGY_ERR_UNAVAILABLE;
  unsigned attempt;

  for (attempt = 0; attempt < READ_ATTEMPTS && rc == RGY_ERR_UNAVAILABLE;
       attempt++)
    {
      if (attempt > 0)
        g_usleep (READ_PAUSE_US);
      rc = ctl_store_call (ctl, RGY_STORE_PATH_TXN, plan, false, deadline_ms,
                           answer);
    }
  json_decref (plan);
  return rc;
}

int
ctl_store_failed (enum rgy_outcome outcome)
{
  switch (outcome)
    {
    case RGY_ERR_STALE:
      fputs ("ragwortyokectl: the store answered with older contents or as "
             "another cluster; nothing was written\n",
             stderr);
      break;
    case RGY_ERR_INVALID:
      fputs ("ragwortyokectl: the store rejected the call; nothing was "
             "written\n",
             stderr);
      break;
    case RGY_ERR_TIMEOUT:
      fputs ("ragwortyokectl: the store did not answer; the change may have "
             "been written, read it back before trying again\n",
             stderr);
      break;
    default:
      fputs ("ragwortyokectl: the store does not answer; nothing was written, "
             "and the last good configuration stays in effect\n",
             stderr);
      break;
    }
  return CTL_EXIT_UNAVAILABLE;
}

enum rgy_outcome
ctl_balancer_call (struct ctl *ctl, const char *path, const char *token,
                   const json_t *body, int64_t deadline_ms, json_t **answer)
{
  unsigned count = ctl->settings->balancers == NULL
                       ? 0
                       : g_strv_length (ctl->settings->balancers);
  enum rgy_outcome rc;
  bool rejected = false;
  unsigned timeout_ms;
  unsigned i;
  long status;
  char *url;

  *answer = NULL;
  for (i = 0; i < count && ctl_remaining_ms (deadline_ms) > 0; i++)
    {
      url = g_strdup_printf ("http://%s%s",
                             ctl->settings->balancers[ctl->balancer % count],
                             path);
      timeout_ms = MIN (ctl_remaining_ms (deadline_ms), BALANCER_CALL_MS);
      rc = ctl_http (url, token, body, timeout_ms, answer, &status);
      g_free (url);
      if (rc == RGY_OK && status == HTTP_OK)
        return RGY_OK;
      rejected |= rc == RGY_OK
                  && (status == HTTP_UNAUTHORIZED || status == HTTP_FORBIDDEN);
      json_decref (*answer);
      *answer = NULL;
      ctl->balancer++;
    }
  return rejected ? RGY_ERR_AUTH : RGY_ERR_UNAVAILABLE;
}
