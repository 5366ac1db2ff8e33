#include "ragwortyoke/stream_message.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "private/msgpack_io.h"
#include "ragwortyoke/bytes.h"
#include "ragwortyoke/clock.h"

/* Begin of the name that holds the epoch of a view.  No failure domain begins
   with a period.  */
#define EPOCH_NAME_PREFIX ".e"
#define EPOCH_NAME_MIN_NUMBERS 3

const char *const rgy_backend_state_string[] = {
  [RGY_BACKEND_UNKNOWN] = "unknown",   [RGY_BACKEND_READY] = "ready",
  [RGY_BACKEND_DRAINING] = "draining", [RGY_BACKEND_UNRESPONSIVE] = "silent",
  [RGY_BACKEND_ENDED] = "gone",
};

const char *const rgy_stream_refusal_string[] = {
  [RGY_REFUSED_SERVICE] = "wrong-service",
  [RGY_REFUSED_STATE] = "backend-not-ready",
  [RGY_REFUSED_DOMAIN] = "domain-out",
  [RGY_REFUSED_COLD] = "cold",
  [RGY_REFUSED_FULL] = "full",
  [RGY_REFUSED_RESTARTING] = "agent-restarting",
  [RGY_REFUSED_OVERLOAD] = "overload",
};

const char *const rgy_stream_message_kind_string[] = {
  [RGY_STREAM_REPORT] = "report",
  [RGY_STREAM_REPORT_ACK] = "report-ack",
  [RGY_STREAM_STATUS] = "status",
  [RGY_STREAM_REPORT_REQUEST] = "report-request",
  [RGY_STREAM_ACCEPTED] = "accepted",
  [RGY_STREAM_REFUSED] = "refused",
  [RGY_STREAM_QUERY] = "query",
  [RGY_STREAM_ANSWER] = "answer",
  [RGY_STREAM_BRIEF_REPORT] = "brief-report",
  [RGY_STREAM_FEATURES] = "features",
  [RGY_STREAM_OPEN_FLOWS] = "open-flows",
  [RGY_STREAM_FORMER_FLOWS] = "former-flows",
  [RGY_STREAM_LOAD_REPORT] = "load-report",
  [RGY_STREAM_TERMS_QUERY] = "terms-query",
  [RGY_STREAM_TERMS] = "terms",
};

uint32_t
rgy_stream_decode_ip (const uint8_t *in)
{
  return (uint32_t)rgy_get_be (in, RGY_STREAM_IP_BYTES);
}

uint64_t
rgy_stream_hash_balancer (uint32_t ip)
{
  return rgy_hash_bytes (
      (struct rgy_bytes){ .data = (const uint8_t *)&ip, .len = sizeof ip }, 0);
}

uint64_t
rgy_stream_hash_domain (const struct rgy_name *domain)
{
  return rgy_name_hash (domain, 0);
}

void
rgy_route_address_encode (struct rgy_endpoint address, uint8_t *out)
{
  rgy_put_be (out, address.ip, 4);
  rgy_put_be (out + 4, address.port, 2);
}

struct rgy_endpoint
rgy_route_address_decode (const uint8_t *in)
{
  return (struct rgy_endpoint){ .ip = (uint32_t)rgy_get_be (in, 4),
                                .port = (uint16_t)rgy_get_be (in + 4, 2) };
}

static uint64_t
get_ms_ (int64_t us)
{
  return (uint64_t)CLAMP (us / RGY_US_PER_MS, 0, UINT32_MAX);
}

void
rgy_route_terms_encode (struct rgy_endpoint address,
                        const struct rgy_request_terms *terms, uint8_t *out)
{
  static const struct rgy_request_terms none;
  uint8_t *p = out + RGY_ROUTE_ADDRESS_BYTES;
  uint8_t flags = 0;

  if (terms == NULL)
    terms = &none;
  else
    flags = RGY_TERMS_KNOWN | (terms->repeatable ? RGY_TERMS_REPEATABLE : 0);
  rgy_route_address_encode (address, out);
  p[0] = terms->priority;
  p[1] = flags;
  rgy_put_be (p + 2, get_ms_ (terms->goal_us), 4);
  rgy_put_be (p + 6, get_ms_ (terms->limit_us), 4);
}

bool
rgy_route_terms_decode (const uint8_t *in, struct rgy_endpoint *address,
                        struct rgy_request_terms *terms)
{
  const uint8_t *p = in + RGY_ROUTE_ADDRESS_BYTES;

  *address = rgy_route_address_decode (in);
  *terms = (struct rgy_request_terms){
    .priority = p[0],
    .repeatable = (p[1] & RGY_TERMS_REPEATABLE) != 0,
    .goal_us = (int64_t)rgy_get_be (p + 2, 4) * RGY_US_PER_MS,
    .limit_us = (int64_t)rgy_get_be (p + 6, 4) * RGY_US_PER_MS
  };
  return (p[1] & RGY_TERMS_KNOWN) != 0;
}

uint64_t
rgy_stream_report_fingerprint (const struct rgy_stream_report *report)
{
  const uint64_t numbers[] = { report->incarnation,
                               rgy_name_hash (&report->service, 0),
                               rgy_name_hash (&report->domain, 0),
                               report->backend_id,
                               (uint64_t)report->state,
                               report->restarting,
                               report->complete,
                               report->cold,
                               report->slots,
                               report->balancers_hash };
  uint8_t bytes[sizeof numbers];
  size_t i;

  for (i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
    rgy_put_be (bytes + i * sizeof numbers[0], numbers[i], sizeof numbers[0]);
  return rgy_hash_bytes (
      (struct rgy_bytes){ .data = bytes, .len = sizeof bytes }, 0);
}

/* Formats the name that holds the epoch of a view: epoch, whether it is
   settled, number of kept names, and epoch and version of the sender's
   manifest if that has an epoch.  */
static struct rgy_name
make_epoch_name_ (const struct rgy_domain_view *view,
                  struct rgy_store_position manifest)
{
  struct rgy_name name = { 0 };
  int len = g_snprintf (name.data, sizeof name.data,
                        EPOCH_NAME_PREFIX "%" PRIu32 "-%u-%zu", view->epoch,
                        (unsigned)view->settled, view->n_kept);

  if (manifest.epoch != 0)
    len += g_snprintf (name.data + len, sizeof name.data - (size_t)len,
                       "-%" PRIu32 "-%" PRIu64, manifest.epoch,
                       manifest.revision);
  name.len = (uint8_t)len;
  return name;
}

/* Packs a view.  Its epoch is the last name: earlier versions take it for a
   failure domain without members, and pass it on.
   @param manifest  epoch and version of the sender's manifest; 0 in a message
                    that names none.  */
static void
pack_domain_view_ (msgpack_packer *pk, const struct rgy_domain_view *view,
                   struct rgy_store_position manifest)
{
  bool has_epoch = view->epoch != 0 || manifest.epoch != 0;
  struct rgy_name epoch;
  size_t i;

  msgpack_pack_array (pk, 1 + view->n_out + has_epoch);
  msgpack_pack_uint64 (pk, view->revision);
  for (i = 0; i < view->n_out; i++)
    rgy_pack_name (pk, &view->out[i]);
  if (!has_epoch)
    return;
  epoch = make_epoch_name_ (view, manifest);
  rgy_pack_name (pk, &epoch);
}

static void
pack_report_ (msgpack_packer *pk, const struct rgy_stream_report *r)
{
  msgpack_pack_array (pk, 16);
  msgpack_pack_uint8 (pk, RGY_STREAM_REPORT);
  msgpack_pack_uint64 (pk, r->incarnation);
  msgpack_pack_uint64 (pk, r->seq);
  rgy_pack_name (pk, &r->service);
  rgy_pack_name (pk, &r->domain);
  msgpack_pack_uint64 (pk, r->backend_id);
  msgpack_pack_uint8 (pk, (uint8_t)r->state);
  rgy_pack_bool (pk, r->restarting);
  rgy_pack_bool (pk, r->complete);
  rgy_pack_bool (pk, r->cold);
  msgpack_pack_uint32 (pk, r->slots);
  msgpack_pack_uint32 (pk, r->open_flows);
  msgpack_pack_uint32 (pk, r->latency_us);
  msgpack_pack_uint64 (pk, r->balancers_hash);
  msgpack_pack_uint64 (pk, r->changes_from);
  rgy_pack_bytes (pk, r->changes);
}

static void
pack_report_ack_ (msgpack_packer *pk, const struct rgy_stream_report_ack *a)
{
  msgpack_pack_array (pk, 10);
  msgpack_pack_uint8 (pk, RGY_STREAM_REPORT_ACK);
  msgpack_pack_uint64 (pk, a->balancer_incarnation);
  msgpack_pack_uint64 (pk, a->balancer_domain);
  msgpack_pack_uint64 (pk, a->agent_incarnation);
  msgpack_pack_uint64 (pk, a->seq);
  msgpack_pack_uint64 (pk, a->changes_upto);
  pack_domain_view_ (pk, &a->view, (struct rgy_store_position){ 0 });
  msgpack_pack_uint32 (pk, a->cold_rate_milli);
  msgpack_pack_uint32 (pk, a->idle_timeout_ms);
  rgy_pack_bytes (pk, a->balancers);
}

static void
pack_status_ (msgpack_packer *pk, const struct rgy_stream_status *s)
{
  msgpack_pack_array (pk, 9);
  msgpack_pack_uint8 (pk, RGY_STREAM_STATUS);
  msgpack_pack_uint64 (pk, s->incarnation);
  msgpack_pack_uint64 (pk, s->manifest_version);
  rgy_pack_bool (pk, s->wants_reply);
  rgy_pack_bool (pk, s->settled);
  pack_domain_view_ (
      pk, &s->view,
      (struct rgy_store_position){ .epoch = s->manifest_epoch,
                                   .revision = s->manifest_version });
  msgpack_pack_uint64 (pk, s->balancers_hash);
  rgy_pack_bytes (pk, s->balancers);
  rgy_pack_bytes (pk, s->agents);
}

static void
pack_brief_report_ (msgpack_packer *pk,
                    const struct rgy_stream_brief_report *r)
{
  msgpack_pack_array (pk, 5);
  msgpack_pack_uint8 (pk, RGY_STREAM_BRIEF_REPORT);
  msgpack_pack_uint64 (pk, r->seq);
  msgpack_pack_uint64 (pk, r->fingerprint);
  msgpack_pack_uint32 (pk, r->open_flows);
  msgpack_pack_uint32 (pk, r->latency_us);
}

static void
pack_load_report_ (msgpack_packer *pk, const struct rgy_stream_load_report *r)
{
  msgpack_pack_array (pk, 12);
  msgpack_pack_uint8 (pk, RGY_STREAM_LOAD_REPORT);
  msgpack_pack_uint64 (pk, r->brief.seq);
  msgpack_pack_uint64 (pk, r->brief.fingerprint);
  msgpack_pack_uint32 (pk, r->brief.open_flows);
  msgpack_pack_uint32 (pk, r->brief.latency_us);
  msgpack_pack_uint32 (pk, r->run_us);
  msgpack_pack_uint32 (pk, r->requests);
  msgpack_pack_uint32 (pk, r->wait_us);
  msgpack_pack_uint32 (pk, r->requests_per_s);
  msgpack_pack_uint32 (pk, r->follow_ups_per_s);
  msgpack_pack_uint32 (pk, r->failed_permille);
  rgy_pack_bytes (pk, r->runs);
}

static void
pack_open_flows_ (msgpack_packer *pk, enum rgy_stream_message_kind kind,
                  const struct rgy_stream_open_flows *f)
{
  msgpack_pack_array (pk, 5);
  msgpack_pack_uint8 (pk, (uint8_t)kind);
  msgpack_pack_uint64 (pk, f->agent_incarnation);
  msgpack_pack_uint64 (pk, f->backend_id);
  msgpack_pack_uint32 (pk, f->max_flows);
  rgy_pack_bytes (pk, f->flows);
}

static void
pack_records_ (msgpack_packer *pk, enum rgy_stream_message_kind kind,
               struct rgy_bytes records)
{
  msgpack_pack_array (pk, 2);
  msgpack_pack_uint8 (pk, (uint8_t)kind);
  rgy_pack_bytes (pk, records);
}

static void
pack_flow_message_ (msgpack_packer *pk,
                    const struct rgy_stream_message *message, int argument)
{
  uint8_t endpoints[RGY_FLOW_ENDPOINTS_BYTES];

  rgy_flow_endpoints_encode (&message->u.flow.key, endpoints);
  msgpack_pack_array (pk, 3);
  msgpack_pack_uint8 (pk, (uint8_t)message->kind);
  rgy_pack_bytes (
      pk, (struct rgy_bytes){ .data = endpoints, .len = sizeof endpoints });
  msgpack_pack_uint8 (pk, (uint8_t)argument);
}

void
rgy_stream_message_encode (const struct rgy_stream_message *message,
                           GByteArray *out)
{
  msgpack_packer pk;

  msgpack_packer_init (&pk, out, rgy_pack_append);
  switch (message->kind)
    {
    case RGY_STREAM_REPORT:
      pack_report_ (&pk, &message->u.report);
      return;
    case RGY_STREAM_REPORT_ACK:
      pack_report_ack_ (&pk, &message->u.ack);
      return;
    case RGY_STREAM_STATUS:
      pack_status_ (&pk, &message->u.status);
      return;
    case RGY_STREAM_REPORT_REQUEST:
      msgpack_pack_array (&pk, 1);
      msgpack_pack_uint8 (&pk, RGY_STREAM_REPORT_REQUEST);
      return;
    case RGY_STREAM_ACCEPTED:
      pack_flow_message_ (&pk, message, 0);
      return;
    case RGY_STREAM_REFUSED:
      pack_flow_message_ (&pk, message, (int)message->u.flow.reason);
      return;
    case RGY_STREAM_QUERY:
      pack_records_ (&pk, message->kind, message->u.queried);
      return;
    case RGY_STREAM_ANSWER:
      pack_records_ (&pk, message->kind, message->u.answers);
      return;
    case RGY_STREAM_BRIEF_REPORT:
      pack_brief_report_ (&pk, &message->u.brief);
      return;
    case RGY_STREAM_FEATURES:
      msgpack_pack_array (&pk, 3);
      msgpack_pack_uint8 (&pk, RGY_STREAM_FEATURES);
      msgpack_pack_uint64 (&pk, message->u.features.balancer_incarnation);
      msgpack_pack_uint32 (&pk, message->u.features.flags);
      return;
    case RGY_STREAM_OPEN_FLOWS:
    case RGY_STREAM_FORMER_FLOWS:
      pack_open_flows_ (&pk, message->kind, &message->u.open_flows);
      return;
    case RGY_STREAM_LOAD_REPORT:
      pack_load_report_ (&pk, &message->u.load);
      return;
    case RGY_STREAM_TERMS_QUERY:
      pack_records_ (&pk, message->kind, message->u.queried_routes);
      return;
    case RGY_STREAM_TERMS:
      msgpack_pack_array (&pk, 3);
      msgpack_pack_uint8 (&pk, RGY_STREAM_TERMS);
      msgpack_pack_uint64 (&pk, message->u.terms.manifest_version);
      rgy_pack_bytes (&pk, message->u.terms.routes);
      return;
    case RGY_STREAM_MESSAGE_KIND_COUNT:
      break;
    }
  abort ();
}

static struct rgy_bytes
read_records_ (struct rgy_reader *reader, size_t record_bytes, size_t max)
{
  struct rgy_bytes bytes = rgy_read_bytes (reader);

  if (bytes.len % record_bytes != 0 || bytes.len / record_bytes > max)
    rgy_reader_fail (reader, RGY_ERR_INVALID);
  return bytes;
}

/* Reads the epoch from the name that pack_domain_view_() has added.  Returns
   false if NAME is another one.  */
static bool
read_epoch_name_ (const struct rgy_name *name, struct rgy_domain_view *view,
                  struct rgy_store_position *manifest)
{
  struct rgy_domain_view read = { 0 };
  struct rgy_store_position position = { 0 };
  struct rgy_name again;
  unsigned settled = 0;

  if (sscanf (name->data,
              EPOCH_NAME_PREFIX "%" SCNu32 "-%1u-%zu-%" SCNu32 "-%" SCNu64,
              &read.epoch, &settled, &read.n_kept, &position.epoch,
              &position.revision)
      < EPOCH_NAME_MIN_NUMBERS)
    return false;
  read.settled = settled != 0;
  again = make_epoch_name_ (&read, position);
  if ((read.epoch == 0 && position.epoch == 0)
      || !rgy_name_equal (name, &again))
    return false;
  view->epoch = read.epoch;
  view->settled = read.settled;
  view->n_kept = read.n_kept;
  *manifest = position;
  return true;
}

/* Reads a view.
   @param manifest  receives the sender's manifest; 0 if none is named.  */
static void
read_domain_view_ (struct rgy_reader *reader, struct rgy_domain_view *view,
                   struct rgy_store_position *manifest)
{
  struct rgy_reader items
      = rgy_read_array_of (reader, 1, RGY_STREAM_MAX_DOMAINS + 2);
  size_t i;

  if (!rgy_reader_is_ok (&items))
    {
      rgy_reader_fail (reader, items.outcome);
      return;
    }
  view->revision = rgy_read_u64 (&items);
  for (i = 1; i < items.count; i++)
    {
      struct rgy_name name = { 0 };

      rgy_read_name (&items, &name);
      if (i + 1 == items.count && read_epoch_name_ (&name, view, manifest))
        break;
      if (view->n_out == RGY_STREAM_MAX_DOMAINS)
        rgy_reader_fail (&items, RGY_ERR_INVALID);
      else
        view->out[view->n_out++] = name;
    }
  if (view->n_kept > view->n_out)
    rgy_reader_fail (&items, RGY_ERR_INVALID);
  rgy_reader_fail (reader, items.outcome);
}

static void
read_report_ (struct rgy_reader *reader, struct rgy_stream_report *r)
{
  r->incarnation = rgy_read_u64 (reader);
  r->seq = rgy_read_u64 (reader);
  rgy_read_name (reader, &r->service);
  rgy_read_name (reader, &r->domain);
  r->backend_id = rgy_read_u64 (reader);
  r->state = (enum rgy_backend_state)rgy_read_u64_max (
      reader, RGY_BACKEND_STATE_COUNT - 1);
  r->restarting = rgy_read_bool (reader);
  r->complete = rgy_read_bool (reader);
  r->cold = rgy_read_bool (reader);
  r->slots = (uint32_t)rgy_read_u64_max (reader, UINT32_MAX);
  r->open_flows = (uint32_t)rgy_read_u64_max (reader, UINT32_MAX);
  r->latency_us = (uint32_t)rgy_read_u64_max (reader, UINT32_MAX);
  r->balancers_hash = rgy_read_u64 (reader);
  r->changes_from = rgy_read_u64 (reader);
  r->changes
      = read_records_ (reader, RGY_FLOW_CHANGE_BYTES, RGY_STREAM_MAX_CHANGES);
}

static void
read_brief_report_ (struct rgy_reader *reader,
                    struct rgy_stream_brief_report *r)
{
  r->seq = rgy_read_u64 (reader);
  r->fingerprint = rgy_read_u64 (reader);
  r->open_flows = (uint32_t)rgy_read_u64_max (reader, UINT32_MAX);
  r->latency_us = (uint32_t)rgy_read_u64_max (reader, UINT32_MAX);
}

static void
read_load_report_ (struct rgy_reader *reader, struct rgy_stream_load_report *r)
{
  read_brief_report_ (reader, &r->brief);
  r->run_us = (uint32_t)rgy_read_u64_max (reader, UINT32_MAX);
  r->requests = (uint32_t)rgy_read_u64_max (reader, UINT32_MAX);
  r->wait_us = (uint32_t)rgy_read_u64_max (reader, UINT32_MAX);
  r->requests_per_s = (uint32_t)rgy_read_u64_max (reader, UINT32_MAX);
  r->follow_ups_per_s = (uint32_t)rgy_read_u64_max (reader, UINT32_MAX);
  r->failed_permille = (uint32_t)rgy_read_u64_max (reader, 1000);
  r->runs = read_records_ (reader, RGY_ROUTE_RUN_BYTES, RGY_STREAM_MAX_RUNS);
}

static void
read_open_flows_ (struct rgy_reader *reader, struct rgy_stream_open_flows *f)
{
  f->agent_incarnation = rgy_read_u64 (reader);
  f->backend_id = rgy_read_u64 (reader);
  f->max_flows = (uint32_t)rgy_read_u64_max (reader, UINT32_MAX);
  f->flows
      = read_records_ (reader, RGY_OPEN_FLOW_BYTES, RGY_STREAM_MAX_OPEN_FLOWS);
}

static void
read_report_ack_ (struct rgy_reader *reader, struct rgy_stream_report_ack *a)
{
  struct rgy_store_position manifest = { 0 };

  a->balancer_incarnation = rgy_read_u64 (reader);
  a->balancer_domain = rgy_read_u64 (reader);
  a->agent_incarnation = rgy_read_u64 (reader);
  a->seq = rgy_read_u64 (reader);
  a->changes_upto = rgy_read_u64 (reader);
  read_domain_view_ (reader, &a->view, &manifest);
  a->cold_rate_milli = (uint32_t)rgy_read_u64_max (reader, UINT32_MAX);
  a->idle_timeout_ms = (uint32_t)rgy_read_u64_max (reader, UINT32_MAX);
  a->balancers
      = read_records_ (reader, RGY_STREAM_IP_BYTES, RGY_STREAM_MAX_BALANCERS);
}

static void
read_agents_ (struct rgy_reader *reader, struct rgy_bytes *agents)
{
  size_t i;

  *agents
      = read_records_ (reader, RGY_STREAM_AGENT_BYTES, RGY_STREAM_MAX_AGENTS);
  for (i = RGY_STREAM_IP_BYTES; i < agents->len; i += RGY_STREAM_AGENT_BYTES)
    if ((agents->data[i] & ~RGY_STREAM_AGENT_RESTARTING)
        >= RGY_BACKEND_STATE_COUNT)
      rgy_reader_fail (reader, RGY_ERR_INVALID);
}

static void
read_status_ (struct rgy_reader *reader, struct rgy_stream_status *s)
{
  struct rgy_store_position manifest = { 0 };

  s->incarnation = rgy_read_u64 (reader);
  s->manifest_version = rgy_read_u64 (reader);
  s->wants_reply = rgy_read_bool (reader);
  s->settled = rgy_read_bool (reader);
  read_domain_view_ (reader, &s->view, &manifest);
  /* An earlier version passes on the epoch of another sender's manifest.  */
  if (manifest.revision == s->manifest_version)
    s->manifest_epoch = manifest.epoch;
  s->balancers_hash = rgy_read_u64 (reader);
  s->balancers
      = read_records_ (reader, RGY_STREAM_IP_BYTES, RGY_STREAM_MAX_BALANCERS);
  read_agents_ (reader, &s->agents);
}

static void
read_flow_message_ (struct rgy_reader *reader,
                    struct rgy_stream_message *message)
{
  struct rgy_bytes endpoints = rgy_read_bytes (reader);
  uint64_t argument;

  if (endpoints.len != RGY_FLOW_ENDPOINTS_BYTES)
    {
      rgy_reader_fail (reader, RGY_ERR_INVALID);
      return;
    }
  message->u.flow.key = rgy_flow_endpoints_decode (endpoints.data);
  argument = rgy_read_u64_max (reader, message->kind == RGY_STREAM_REFUSED
                                           ? RGY_STREAM_REFUSAL_COUNT - 1
                                           : 0);
  message->u.flow.reason = (enum rgy_stream_refusal)argument;
}

static void
read_answers_ (struct rgy_reader *reader, struct rgy_bytes *answers)
{
  size_t i;

  *answers
      = read_records_ (reader, RGY_FLOW_ANSWER_BYTES, RGY_STREAM_MAX_QUERIED);
  for (i = RGY_FLOW_ENDPOINTS_BYTES; i < answers->len;
       i += RGY_FLOW_ANSWER_BYTES)
    if (answers->data[i] >= RGY_FLOW_OWNERSHIP_COUNT)
      rgy_reader_fail (reader, RGY_ERR_INVALID);
}

enum rgy_outcome
rgy_stream_message_decode (struct rgy_bytes bytes,
                           struct rgy_stream_message *message)
{
  static const size_t n_fields[] = {
    [RGY_STREAM_REPORT] = 16,      [RGY_STREAM_REPORT_ACK] = 10,
    [RGY_STREAM_STATUS] = 9,       [RGY_STREAM_REPORT_REQUEST] = 1,
    [RGY_STREAM_ACCEPTED] = 3,     [RGY_STREAM_REFUSED] = 3,
    [RGY_STREAM_QUERY] = 2,        [RGY_STREAM_ANSWER] = 2,
    [RGY_STREAM_BRIEF_REPORT] = 5, [RGY_STREAM_FEATURES] = 3,
    [RGY_STREAM_OPEN_FLOWS] = 5,   [RGY_STREAM_FORMER_FLOWS] = 5,
    [RGY_STREAM_LOAD_REPORT] = 12, [RGY_STREAM_TERMS_QUERY] = 2,
    [RGY_STREAM_TERMS] = 3,
  };
  msgpack_zone zone;
  msgpack_object object;
  struct rgy_reader reader;
  uint64_t kind;
  enum rgy_outcome rc = RGY_ERR_INVALID;

  if (!msgpack_zone_init (&zone, 1024))
    return RGY_ERR_FULL;
  if (!rgy_msgpack_unpack (bytes, &zone, &object))
    goto out;
  reader = rgy_reader_init (&object);
  kind = rgy_read_u64 (&reader);
  if (!rgy_reader_is_ok (&reader))
    goto out;
  if (kind >= RGY_STREAM_MESSAGE_KIND_COUNT)
    {
      rc = RGY_ERR_UNSUPPORTED;
      goto out;
    }
  if (reader.count != n_fields[kind])
    goto out;
  *message
      = (struct rgy_stream_message){ .kind
                                     = (enum rgy_stream_message_kind)kind };
  switch (message->kind)
    {
    case RGY_STREAM_REPORT:
      read_report_ (&reader, &message->u.report);
      break;
    case RGY_STREAM_REPORT_ACK:
      read_report_ack_ (&reader, &message->u.ack);
      break;
    case RGY_STREAM_STATUS:
      read_status_ (&reader, &message->u.status);
      break;
    case RGY_STREAM_REPORT_REQUEST:
      break;
    case RGY_STREAM_ACCEPTED:
    case RGY_STREAM_REFUSED:
      read_flow_message_ (&reader, message);
      break;
    case RGY_STREAM_QUERY:
      message->u.queried = read_records_ (&reader, RGY_FLOW_ENDPOINTS_BYTES,
                                          RGY_STREAM_MAX_QUERIED);
      break;
    case RGY_STREAM_ANSWER:
      read_answers_ (&reader, &message->u.answers);
      break;
    case RGY_STREAM_BRIEF_REPORT:
      read_brief_report_ (&reader, &message->u.brief);
      break;
    case RGY_STREAM_FEATURES:
      message->u.features.balancer_incarnation = rgy_read_u64 (&reader);
      message->u.features.flags
          = (uint32_t)rgy_read_u64_max (&reader, UINT32_MAX);
      break;
    case RGY_STREAM_OPEN_FLOWS:
    case RGY_STREAM_FORMER_FLOWS:
      read_open_flows_ (&reader, &message->u.open_flows);
      break;
    case RGY_STREAM_LOAD_REPORT:
      read_load_report_ (&reader, &message->u.load);
      break;
    case RGY_STREAM_TERMS_QUERY:
      message->u.queried_routes = read_records_ (
          &reader, RGY_ROUTE_ADDRESS_BYTES, RGY_STREAM_MAX_TERMS);
      break;
    case RGY_STREAM_TERMS:
      message->u.terms.manifest_version = rgy_read_u64 (&reader);
      message->u.terms.routes = read_records_ (&reader, RGY_ROUTE_TERMS_BYTES,
                                               RGY_STREAM_MAX_TERMS);
      break;
    case RGY_STREAM_MESSAGE_KIND_COUNT:
      abort ();
    }
  rc = reader.outcome;
out:
  msgpack_zone_destroy (&zone);
  return rc;
}
