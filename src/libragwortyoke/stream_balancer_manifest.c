#include "private/stream_balancer_private.h"

#include "ragwortyoke/clock.h"

/* Time for which an older manifest that was written after the return of the
   store must stand before it becomes active: half of the 3 s within which a
   manifest must be in force.  Operators that write again what was lost may
   write several versions in a row.  */
#define WRITTEN_AGAIN_US (1500 * RGY_US_PER_MS)

uint64_t
rgy_stream_balancer_get_version (const struct rgy_stream_balancer *b)
{
  return b->manifest == NULL ? 0
                             : rgy_stream_manifest_get_version (b->manifest);
}

struct rgy_str
rgy_stream_balancer_get_manifest_text (const struct rgy_stream_balancer *b)
{
  return b->manifest == NULL ? (struct rgy_str){ 0 }
                             : rgy_stream_manifest_get_text (b->manifest);
}

const struct rgy_route *
rgy_stream_balancer_find_route_ (const struct rgy_stream_balancer *b,
                                 const struct rgy_flow_key *key)
{
  return b->manifest == NULL
             ? NULL
             : rgy_stream_manifest_find (b->manifest, key->u.segment.service);
}

/* Takes ownership of MANIFEST.  */
static void
activate_ (struct rgy_stream_balancer *b, struct rgy_stream_manifest *manifest,
           int64_t now_us)
{
  uint64_t version = rgy_stream_manifest_get_version (manifest);

  rgy_stream_emit_log (&b->settings.out,
                       "manifest_applied version=%" G_GUINT64_FORMAT
                       " before=%" G_GUINT64_FORMAT " epoch=%" PRIu32,
                       version, rgy_stream_balancer_get_version (b),
                       b->manifest_epoch);
  g_clear_pointer (&b->waiting.manifest, rgy_stream_manifest_delete);
  rgy_stream_manifest_delete (b->previous_manifest);
  b->previous_manifest = b->manifest;
  b->manifest = manifest;
  b->highest_version = MAX (b->highest_version, version);
  b->config_changed_us = now_us;
  rgy_stream_balancer_send_status_ (b, false, now_us);
  if (b->previous_manifest == NULL)
    {
      rgy_stream_balancer_retry_opens_ (b, now_us);
      rgy_stream_balancer_advance_lookups_ (b, now_us);
    }
}

/* True if a manifest of the store replaces the active one in the end.  A
   version above all that were active does so in every epoch, because operators
   count up; others only in a later epoch than that of the active one, or in
   the same one after the version has gone back.  */
static bool
is_later_manifest_ (const struct rgy_stream_balancer *b, uint32_t epoch,
                    uint64_t version)
{
  struct rgy_store_position active
      = { .epoch = b->manifest_epoch,
          .revision = rgy_stream_balancer_get_version (b) };
  struct rgy_store_position other = { .epoch = epoch, .revision = version };

  return b->manifest == NULL || version > b->highest_version
         || (epoch != 0 && rgy_store_position_is_later (other, active));
}

/* An earlier epoch than that in which the active manifest stands counts only
   for processes that state none.  One that has read the store in an epoch does
   not follow others back in it, since it may have read a newer manifest.  */
bool
rgy_stream_balancer_check_peer_manifest_ (struct rgy_stream_balancer *b,
                                          uint32_t epoch, uint64_t version)
{
  if (version == rgy_stream_balancer_get_version (b))
    {
      b->manifest_epoch = MAX (b->manifest_epoch, epoch);
      return false;
    }
  if (epoch == 0 || (epoch > b->manifest_epoch && epoch <= b->read_epoch))
    return version > b->highest_version;
  return epoch >= b->manifest_epoch && is_later_manifest_ (b, epoch, version);
}

/* Keeps an older manifest until it has stood for WRITTEN_AGAIN_US.  */
static void
delay_manifest_ (struct rgy_stream_balancer *b,
                 struct rgy_stream_manifest *manifest, uint32_t epoch,
                 int64_t now_us)
{
  rgy_stream_manifest_delete (b->waiting.manifest);
  b->waiting.manifest = manifest;
  b->waiting.epoch = epoch;
  b->waiting.apply_us = now_us + WRITTEN_AGAIN_US;
}

enum rgy_outcome
rgy_stream_balancer_receive_manifest (struct rgy_stream_balancer *b,
                                      struct rgy_stream_manifest *manifest,
                                      struct rgy_manifest_origin origin,
                                      int64_t now_us)
{
  uint64_t version = rgy_stream_manifest_get_version (manifest);
  bool is_peer = origin.source == RGY_MANIFEST_PEER;
  bool is_same = version == rgy_stream_balancer_get_version (b);
  bool is_return = origin.epoch > b->manifest_epoch;
  bool is_later = is_peer ? rgy_stream_balancer_check_peer_manifest_ (
                      b, origin.epoch, version)
                          : is_later_manifest_ (b, origin.epoch, version);
  bool goes_back = is_later && is_return && version <= b->highest_version;

  if (!is_peer)
    b->read_epoch = MAX (b->read_epoch, origin.epoch);
  switch (origin.source)
    {
    case RGY_MANIFEST_STORED:
      is_later = is_later && !goes_back;
      break;
    case RGY_MANIFEST_WRITTEN:
      if (goes_back && !is_same)
        {
          delay_manifest_ (b, manifest, origin.epoch, now_us);
          return RGY_ERR_STALE;
        }
      g_clear_pointer (&b->waiting.manifest, rgy_stream_manifest_delete);
      break;
    case RGY_MANIFEST_STANDING:
    case RGY_MANIFEST_PEER:
      if (is_later)
        b->manifest_epoch = MAX (b->manifest_epoch, origin.epoch);
      break;
    }
  if (is_later && !is_same)
    {
      activate_ (b, manifest, now_us);
      return RGY_OK;
    }
  rgy_stream_manifest_delete (manifest);
  return RGY_ERR_STALE;
}

enum rgy_outcome
rgy_stream_balancer_set_manifest (struct rgy_stream_balancer *b,
                                  struct rgy_stream_manifest *manifest,
                                  int64_t now_us)
{
  return rgy_stream_balancer_receive_manifest (
      b, manifest, (struct rgy_manifest_origin){ 0 }, now_us);
}

void
rgy_stream_balancer_apply_waiting_manifest_ (struct rgy_stream_balancer *b,
                                             int64_t now_us)
{
  struct rgy_stream_manifest *manifest = b->waiting.manifest;

  if (manifest == NULL || now_us < b->waiting.apply_us)
    return;
  b->waiting.manifest = NULL;
  (void)rgy_stream_balancer_receive_manifest (
      b, manifest,
      (struct rgy_manifest_origin){ .source = RGY_MANIFEST_STANDING,
                                    .epoch = b->waiting.epoch },
      now_us);
}
