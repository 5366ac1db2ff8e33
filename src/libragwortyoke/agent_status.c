#include "private/agent_private.h"

#include <jansson.h>

char *
rgy_agent_format_status (const struct rgy_agent *a)
{
  const struct rgy_admission *admission
      = rgy_request_engine_get_admission (a->engine);
  json_t *peers = json_array ();
  json_t *json;
  GHashTableIter iter;
  gpointer key;
  char *text;
  char *copy;

  g_hash_table_iter_init (&iter, a->peers);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    json_array_append_new (peers,
                           json_string (((struct rgy_name *)key)->data));
  json = json_pack (
      "{s:s, s:s, s:s, s:s, s:b, s:i, s:i, s:i, s:i, s:s, s:s, s:o}", "id",
      a->settings.id.data, "role", "agent", "state",
      rgy_member_state_string[a->self.state], "domain",
      a->settings.domain.data, "ready", rgy_agent_is_ready (a), "flows",
      (int)rgy_flow_table_get_count (a->flows), "running",
      (int)rgy_admission_get_running (admission), "queued",
      (int)rgy_admission_get_queued (admission), "limit",
      (int)rgy_admission_get_limit (admission), "cold_reason",
      rgy_cold_reason_string[rgy_admission_get_cold_reason (admission)],
      "drain", rgy_drain_stage_string[rgy_drain_get_stage (a->drain)], "peers",
      peers);
  text = json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS);
  copy = g_strdup (text);
  free (text);
  json_decref (json);
  return copy;
}
