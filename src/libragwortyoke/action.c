#include "ragwortyoke/action.h"

#include <glib.h>
#include <stdarg.h>
#include <string.h>

/* Payloads are appended to one byte array, which may move when it grows;
   records therefore store offsets instead of pointers.  */
struct record_
{
  enum rgy_action_kind kind;
  struct rgy_endpoint to;
  uint64_t flow_id;
  size_t offset;
  size_t key_len; /* Length of the key, which precedes the value;
                     for WRITE_STORE only.  */
  size_t len;
};

struct rgy_actions
{
  GArray *records;
  GByteArray *payload;
};

struct rgy_actions *
rgy_actions_new (void)
{
  struct rgy_actions *actions = g_new0 (struct rgy_actions, 1);

  actions->records = g_array_new (FALSE, FALSE, sizeof (struct record_));
  actions->payload = g_byte_array_new ();
  return actions;
}

void
rgy_actions_delete (struct rgy_actions *actions)
{
  if (actions == NULL)
    return;
  g_array_unref (actions->records);
  g_byte_array_unref (actions->payload);
  g_free (actions);
}

void
rgy_actions_clear (struct rgy_actions *actions)
{
  g_array_set_size (actions->records, 0);
  g_byte_array_set_size (actions->payload, 0);
}

size_t
rgy_actions_get_count (const struct rgy_actions *actions)
{
  return actions->records->len;
}

struct rgy_action
rgy_actions_get (const struct rgy_actions *actions, size_t index)
{
  const struct record_ *r;
  struct rgy_action action;
  struct rgy_bytes data;

  g_assert (index < actions->records->len);
  r = &g_array_index (actions->records, struct record_, index);
  data = (struct rgy_bytes){ .data = actions->payload->data + r->offset,
                             .len = r->len };
  action = (struct rgy_action){ .kind = r->kind };
  switch (r->kind)
    {
    case RGY_ACTION_SEND:
    case RGY_ACTION_EGRESS:
    case RGY_ACTION_SYNC:
      action.u.send.to = r->to;
      action.u.send.data = data;
      break;
    case RGY_ACTION_DELIVER:
    case RGY_ACTION_CLOSE_FLOW:
      action.u.flow.flow_id = r->flow_id;
      action.u.flow.data = data;
      break;
    case RGY_ACTION_WRITE_STORE:
      action.u.store.key = (struct rgy_str){ .data = (const char *)data.data,
                                             .len = r->key_len };
      action.u.store.value
          = (struct rgy_bytes){ .data = data.data + r->key_len,
                                .len = data.len - r->key_len };
      break;
    case RGY_ACTION_LOG:
      action.u.text = (struct rgy_str){ .data = (const char *)data.data,
                                        .len = data.len };
      break;
    case RGY_ACTION_READ_STORE:
    case RGY_ACTION_EXIT:
      break;
    }
  return action;
}

static void
append_record_ (struct rgy_actions *actions, struct record_ record,
                struct rgy_bytes data)
{
  record.offset = actions->payload->len;
  record.len = data.len;
  if (data.len > 0)
    g_byte_array_append (actions->payload, data.data, (guint)data.len);
  g_array_append_val (actions->records, record);
}

void
rgy_actions_send (struct rgy_actions *actions, struct rgy_endpoint to,
                  struct rgy_bytes data)
{
  append_record_ (actions,
                  (struct record_){ .kind = RGY_ACTION_SEND, .to = to }, data);
}

void
rgy_actions_deliver (struct rgy_actions *actions, uint64_t flow_id,
                     struct rgy_bytes data)
{
  append_record_ (
      actions,
      (struct record_){ .kind = RGY_ACTION_DELIVER, .flow_id = flow_id },
      data);
}

void
rgy_actions_close_flow (struct rgy_actions *actions, uint64_t flow_id)
{
  append_record_ (
      actions,
      (struct record_){ .kind = RGY_ACTION_CLOSE_FLOW, .flow_id = flow_id },
      (struct rgy_bytes){ 0 });
}

void
rgy_actions_egress (struct rgy_actions *actions, struct rgy_bytes data)
{
  append_record_ (actions, (struct record_){ .kind = RGY_ACTION_EGRESS },
                  data);
}

void
rgy_actions_sync (struct rgy_actions *actions, struct rgy_endpoint peer)
{
  append_record_ (actions,
                  (struct record_){ .kind = RGY_ACTION_SYNC, .to = peer },
                  (struct rgy_bytes){ 0 });
}

void
rgy_actions_write_store (struct rgy_actions *actions, struct rgy_str key,
                         struct rgy_bytes value)
{
  append_record_ (
      actions,
      (struct record_){ .kind = RGY_ACTION_WRITE_STORE, .key_len = key.len },
      (struct rgy_bytes){ .data = (const uint8_t *)key.data, .len = key.len });
  g_byte_array_append (actions->payload, value.data, (guint)value.len);
  g_array_index (actions->records, struct record_, actions->records->len - 1)
      .len
      += value.len;
}

void
rgy_actions_read_store (struct rgy_actions *actions)
{
  append_record_ (actions, (struct record_){ .kind = RGY_ACTION_READ_STORE },
                  (struct rgy_bytes){ 0 });
}

void
rgy_actions_log (struct rgy_actions *actions, const char *format, ...)
{
  va_list ap;
  char *text;

  va_start (ap, format);
  text = g_strdup_vprintf (format, ap);
  va_end (ap);
  append_record_ (actions, (struct record_){ .kind = RGY_ACTION_LOG },
                  (struct rgy_bytes){ .data = (const uint8_t *)text,
                                      .len = strlen (text) });
  g_free (text);
}

void
rgy_actions_exit (struct rgy_actions *actions)
{
  append_record_ (actions, (struct record_){ .kind = RGY_ACTION_EXIT },
                  (struct rgy_bytes){ 0 });
}
