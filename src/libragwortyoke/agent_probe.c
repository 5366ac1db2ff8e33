#include "private/agent_private.h"

#include <jansson.h>

/* Health probes of the backend server and readings of its load endpoint.  */

#define LOAD_INTERVAL_US (2 * RGY_US_PER_S)
/* A backend server without a load endpoint is queried again after this
   time.  */
#define LOAD_RETRY_US (60 * RGY_US_PER_S)
#define LOAD_PATH "load"
#define COAP_OPTION_URI_PATH 11
#define COAP_METHOD_GET 1
#define COAP_CODE_CONTENT RGY_COAP_CODE (2, 5)

static const uint8_t load_token_[] = { 'L' };

static struct rgy_admission *
get_admission_ (const struct rgy_agent *a)
{
  return rgy_request_engine_get_admission (a->engine);
}

void
rgy_agent_note_health (struct rgy_agent *a, enum rgy_health_change change)
{
  if (change == RGY_HEALTH_UNCHANGED)
    return;
  rgy_admission_set_cold (get_admission_ (a), RGY_COLD_PROBE, a->now_us);
  rgy_actions_log (a->actions, "backend server: %s",
                   change == RGY_HEALTH_FAILED ? "unhealthy" : "healthy");
}

static void
send_ping_ (struct rgy_agent *a)
{
  GByteArray *ping;
  uint16_t id;

  if (!rgy_health_start_probe (a->health, a->now_us, &id))
    return;
  ping = rgy_coap_build_empty (RGY_COAP_CON, id);
  rgy_actions_deliver (
      a->actions, RGY_PROBE_FLOW_ID,
      (struct rgy_bytes){ .data = ping->data, .len = ping->len });
  g_byte_array_unref (ping);
}

static void
request_load_ (struct rgy_agent *a)
{
  struct rgy_coap_header header
      = { .type = RGY_COAP_NON,
          .code = COAP_METHOD_GET,
          .message_id = a->load_message_id++,
          .token = { .data = load_token_, .len = sizeof load_token_ } };
  struct rgy_coap_option path
      = { .number = COAP_OPTION_URI_PATH,
          .value = { .data = (const uint8_t *)LOAD_PATH,
                     .len = sizeof LOAD_PATH - 1 } };
  GByteArray *get;

  if (a->now_us < a->next_load_us)
    return;
  a->next_load_us = a->now_us + LOAD_INTERVAL_US;
  a->running_peak[1] = a->running_peak[0];
  a->running_peak[0] = rgy_admission_get_running (get_admission_ (a));
  get = rgy_coap_build (&header, &path, 1, (struct rgy_bytes){ 0 });
  rgy_actions_deliver (
      a->actions, RGY_PROBE_FLOW_ID,
      (struct rgy_bytes){ .data = get->data, .len = get->len });
  g_byte_array_unref (get);
}

/* Records the load of others.  A reading includes this agent's own requests
   and may be as old as two intervals, so the highest number of requests that
   this agent had running in that time is subtracted.  */
static void
note_load_reading_ (struct rgy_agent *a, struct rgy_bytes payload)
{
  unsigned own = MAX (a->running_peak[0], a->running_peak[1]);
  json_t *json = json_loadb ((const char *)payload.data, payload.len, 0, NULL);
  json_t *running = json_object_get (json, "running");
  json_int_t value;

  if (json_is_integer (running))
    {
      value = json_integer_value (running);
      if (value >= 0)
        rgy_health_note_load (
            a->health,
            value > own ? (unsigned)MIN (value - own, a->settings.slots) : 0,
            a->now_us);
    }
  json_decref (json);
}

void
rgy_agent_handle_probe_answer (struct rgy_agent *a, struct rgy_bytes datagram)
{
  struct rgy_coap_view view;

  if (rgy_coap_parse (datagram, &view) != RGY_OK)
    return;
  if (view.token.len == 0)
    rgy_agent_note_health (
        a, rgy_health_note_answer (a->health, view.message_id, a->now_us));
  else if (view.code == COAP_CODE_CONTENT)
    note_load_reading_ (a, view.payload);
  else
    a->next_load_us = a->now_us + LOAD_RETRY_US;
}

void
rgy_agent_probe_tick (struct rgy_agent *a)
{
  if (!rgy_agent_serves_requests (a) || a->domain_out)
    return;
  a->running_peak[0] = MAX (a->running_peak[0],
                            rgy_admission_get_running (get_admission_ (a)));
  rgy_agent_note_health (a, rgy_health_tick (a->health, a->now_us));
  send_ping_ (a);
  request_load_ (a);
  rgy_admission_set_ceiling (get_admission_ (a),
                             rgy_health_get_ceiling (a->health, a->now_us));
}
