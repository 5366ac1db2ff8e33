#include "private/request_private.h"

#include <string.h>

/* Largest number of deduplication records of one flow, enough for 16
   requests a second over the exchange lifetime.  A request that needs one
   more record is dropped, because the agent could neither run it safely nor
   refuse it truthfully.  */
#define SESSION_RECORDS_MAX 4096

struct rgy_dedup_key
rgy_dedup_make_key (const struct rgy_coap_view *view)
{
  struct rgy_dedup_key key;

  memset (&key, 0, sizeof key);
  key.message_id = view->message_id;
  key.token_len = (uint8_t)view->token.len;
  if (view->token.len > 0)
    memcpy (&key.token, view->token.data, view->token.len);
  return key;
}

guint
rgy_dedup_key_hash (gconstpointer key)
{
  return (guint)rgy_hash_bytes (
      (struct rgy_bytes){ .data = key, .len = sizeof (struct rgy_dedup_key) },
      0);
}

gboolean
rgy_dedup_key_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (struct rgy_dedup_key)) == 0;
}

struct rgy_dedup_record *
rgy_dedup_find (struct rgy_session *session, const struct rgy_dedup_key *key)
{
  return g_hash_table_lookup (session->records, key);
}

static void
remove_record_ (struct rgy_dedup_record *r)
{
  struct rgy_session *session = r->session;

  g_hash_table_remove (session->records, &r->key);
  g_queue_unlink (&session->record_order, &r->session_link);
  g_queue_unlink (&session->engine->records, &r->engine_link);
  if (r->response != NULL)
    g_byte_array_unref (r->response);
  g_free (r);
}

bool
rgy_dedup_ensure_space (struct rgy_session *session)
{
  GList *link;

  if (session->record_order.length + session->requests.length
      < SESSION_RECORDS_MAX)
    return true;
  for (link = session->record_order.head; link != NULL; link = link->next)
    {
      struct rgy_dedup_record *r = link->data;

      if (r->safe)
        {
          remove_record_ (r);
          return true;
        }
    }
  return false;
}

struct rgy_dedup_record *
rgy_dedup_store (struct rgy_session *session,
                 const struct rgy_coap_view *request, GByteArray *response,
                 bool safe, int64_t finished_us)
{
  struct rgy_dedup_key key = rgy_dedup_make_key (request);
  struct rgy_dedup_record *r = rgy_dedup_find (session, &key);

  if (r != NULL)
    remove_record_ (r);
  r = g_new0 (struct rgy_dedup_record, 1);
  r->key = key;
  r->echo_epoch = rgy_echo_get_epoch (request);
  r->session = session;
  r->response = response;
  r->safe = safe;
  r->finished_us = finished_us;
  r->expires_us = finished_us + RGY_COAP_EXCHANGE_LIFETIME_US;
  r->session_link.data = r;
  r->engine_link.data = r;
  g_hash_table_insert (session->records, &r->key, r);
  g_queue_push_tail_link (&session->record_order, &r->session_link);
  g_queue_push_tail_link (&session->engine->records, &r->engine_link);
  return r;
}

/* Removes expired records.  The loop stops at the first record that has not
   expired.  A record imported from another agent is older than its place in
   the queue and therefore stays too long, which is harmless.  */
void
rgy_dedup_expire (struct rgy_request_engine *engine, int64_t now_us)
{
  GList *link;
  GList *next;

  for (link = engine->records.head; link != NULL; link = next)
    {
      struct rgy_dedup_record *r = link->data;

      if (r->expires_us > now_us)
        return;
      next = link->next;
      remove_record_ (r);
    }
}

void
rgy_dedup_clear (struct rgy_session *session)
{
  GList *link;
  GList *next;

  for (link = session->record_order.head; link != NULL; link = next)
    {
      next = link->next;
      remove_record_ (link->data);
    }
}
