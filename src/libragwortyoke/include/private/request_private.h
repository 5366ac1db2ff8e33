#ifndef RAGWORTYOKE_PRIVATE_REQUEST_PRIVATE_H
#define RAGWORTYOKE_PRIVATE_REQUEST_PRIVATE_H

/**
 * @file
 * Internal interfaces of the request engine.
 *
 * The engine terminates the CoAP message layer on both sides.  Towards the
 * backend server every request has its own token and message ID, so that a
 * late answer to an earlier request with the same caller token can be
 * distinguished.  Towards the caller, the answer to a confirmable request is
 * always piggybacked; the caller's retransmissions make it reliable.
 */

#include "ragwortyoke/request.h"

#define RGY_BACKEND_TOKEN_BYTES 8
#define RGY_ECHO_EPOCH_BYTES 8
#define RGY_ECHO_MAC_BYTES 16
#define RGY_ECHO_BYTES (RGY_ECHO_EPOCH_BYTES + RGY_ECHO_MAC_BYTES)
#define RGY_RECENT_NOTIFICATIONS 8
/** Transmissions of a confirmable message: the first one and the
    MAX_RETRANSMIT retransmissions of RFC 7252.  */
#define RGY_CONFIRMABLE_TRANSMISSIONS 5

struct rgy_session;

/** Counters of the engine; register_counters_() names their metrics.  */
struct rgy_request_counters
{
  uint64_t *delivered;
  uint64_t *retries;
  uint64_t *answered;
  uint64_t *refused[RGY_REFUSAL_REASON_COUNT];
  uint64_t *outcome_unknown;
  uint64_t *echo_challenges;
  uint64_t *echo_rejected;
  uint64_t *absorbed;
  uint64_t *replayed;
  uint64_t *late;
  uint64_t *unmatched;
  uint64_t *malformed;
  uint64_t *moving_dropped;
  uint64_t *records_full;
  uint64_t *cancelled;
  uint64_t *notifications;
  uint64_t *notifications_stale;
};

/* Deduplication records of finished requests.  */

struct rgy_dedup_key
{
  uint64_t token;
  uint16_t message_id;
  uint8_t token_len;
};

/** A finished request and its answer, which is sent again for duplicates.  */
struct rgy_dedup_record
{
  struct rgy_dedup_key key;
  struct rgy_session *session;
  GByteArray *response; /**< Stored answer; NULL: outcome unknown.  */
  uint64_t echo_epoch;  /**< Epoch of the request's Echo; 0: none.  */
  bool imported;        /**< The request ran at a previous owner of the flow,
                           under any of the imported epochs.  */
  bool safe;            /**< A GET or FETCH request; the record
                           may be evicted.  */
  int64_t finished_us;
  int64_t expires_us;
  GList session_link;
  GList engine_link;
};

struct rgy_dedup_key rgy_dedup_make_key (const struct rgy_coap_view *view);
guint rgy_dedup_key_hash (gconstpointer key);
gboolean rgy_dedup_key_equal (gconstpointer a, gconstpointer b);
struct rgy_dedup_record *rgy_dedup_find (struct rgy_session *session,
                                         const struct rgy_dedup_key *key);
/** Check that a record for one more request fits; evicts the oldest record of
    a safe request if necessary.  */
bool rgy_dedup_ensure_space (struct rgy_session *session);
/** Store the answer to a request; takes ownership of @p response.  A record
    with the same key is replaced.  */
struct rgy_dedup_record *rgy_dedup_store (struct rgy_session *session,
                                          const struct rgy_coap_view *request,
                                          GByteArray *response, bool safe,
                                          int64_t finished_us);
void rgy_dedup_expire (struct rgy_request_engine *engine, int64_t now_us);
void rgy_dedup_clear (struct rgy_session *session);

/* Outstanding requests.  */

enum rgy_request_state
{
  RGY_REQUEST_QUEUED,
  RGY_REQUEST_RUNNING,
  RGY_REQUEST_TIMED_OUT /**< Answered with outcome-unknown after the
                           deadline; a late answer of the backend server
                           may still arrive.  */
};

struct rgy_observation;

struct rgy_request
{
  uint64_t id;
  struct rgy_session *session;
  enum rgy_request_state state;
  GByteArray *datagram;
  struct rgy_coap_view view; /**< Parsed form of @c datagram.  */
  enum rgy_coap_class class;
  struct rgy_dedup_key key;
  struct rgy_observation *observation; /**< Observation that this request
                                          registers, or NULL.  */
  bool sent_by_engine; /**< Registration sent by the engine; the caller has no
                          exchange for it.  */
  uint8_t token[RGY_BACKEND_TOKEN_BYTES];
  uint16_t message_id; /**< Message ID towards the backend server.  */
  bool acknowledged;   /**< The backend server has
                          acknowledged the request.  */
  int64_t deadline_us;
  int64_t delivered_us;
  GList link; /**< Link in @c requests or @c timed_out of the session.  */
};

/* Observations of callers.  */

struct rgy_notification_ids
{
  uint16_t backend_id;
  uint16_t caller_id;
  uint32_t sequence;
};

struct rgy_observation
{
  GByteArray *registration;
  struct rgy_coap_view view; /**< Parsed form of @c registration.  */
  uint8_t token[RGY_BACKEND_TOKEN_BYTES];
  bool registered; /**< Registered at this agent's backend server.  */
  bool notified;
  uint32_t last_sequence; /**< Observe value sent to the caller last.  */
  uint32_t offset;        /**< Observe value towards the caller minus the
                             backend server's.  */
  struct rgy_notification_ids recent_notifications[RGY_RECENT_NOTIFICATIONS];
  size_t notification_count;   /**< Number of notifications received from the
                                  backend server.  */
  struct rgy_request *request; /**< Outstanding registration, or NULL.  */
  bool must_register;          /**< The engine must send a registration.  */
  int64_t register_after_us;   /**< Earliest time of that registration.  */
  GByteArray *confirmable;     /**< Notification sent by the engine that the
                                  caller has not yet acknowledged, or NULL.  */
  uint16_t confirmable_id;
  /** Message IDs of the transmissions of @c confirmable.  They can differ,
      because a retransmission carries the newest state under a new ID.  */
  uint16_t confirmable_ids[RGY_CONFIRMABLE_TRANSMISSIONS];
  unsigned confirmable_transmissions;
  int64_t confirmable_due_us;
};

struct rgy_session
{
  struct rgy_request_engine *engine;
  struct rgy_flow *flow;
  uint64_t first_epoch; /**< The Echo epochs from this one to @c step
                           above it are valid; the last of them is used
                           for new Echo values.  */
  unsigned step;
  unsigned accepted; /**< Number of requests accepted in the current epoch.  */
  uint64_t imported_epochs[RGY_HANDOVER_MAX_EPOCHS]; /**< Epochs of previous
                                                        owners, which are
                                                        valid too.  */
  size_t imported_count;
  unsigned export_count; /**< Number of exports since the Echo values
                            were last invalidated.  */
  GQueue requests;
  GQueue timed_out;
  GHashTable *records;
  GQueue record_order;
  struct rgy_observation *observations[RGY_HANDOVER_MAX_OBSERVATIONS];
  size_t observation_count;
  uint32_t token_prefix;
  uint32_t token_count;
  uint16_t backend_id;
  uint16_t caller_id;
  bool has_timers_queued;
  GList timer_link;
};

struct rgy_request_engine
{
  struct rgy_request_settings settings;
  struct rgy_request_hooks hooks;
  struct rgy_admission *admission;
  struct rgy_retry_budget *retry_budget;
  struct rgy_counters *own_counters;
  struct rgy_request_counters c;
  GHashTable *requests; /**< Outstanding and timed-out requests by ID.  */
  uint64_t next_id;
  int64_t now_us;  /**< Time of the latest event.  */
  bool domain_out; /**< The agent's failure domain is out of service.  */
  uint32_t echo_generations[RGY_BUCKET_COUNT]; /**< Generation of the Echo
                                                  epochs of each bucket.  */
  GQueue records;                              /**< Records in the
                                                  order of storing.  */
  GQueue timer_sessions; /**< Sessions with timers of observations.  */
};

/* Session: the request state of one flow.  */

/** Return the session of a flow, which is created if necessary.  */
struct rgy_session *rgy_session_get (struct rgy_request_engine *engine,
                                     struct rgy_flow *flow);
void rgy_session_send (struct rgy_session *session,
                       const GByteArray *datagram);
void rgy_session_send_empty (struct rgy_session *session,
                             enum rgy_coap_type type, uint16_t message_id);
void rgy_session_deliver (struct rgy_session *session,
                          const GByteArray *datagram,
                          struct rgy_actions *actions);
void rgy_session_deliver_empty (struct rgy_session *session,
                                enum rgy_coap_type type, uint16_t message_id,
                                struct rgy_actions *actions);
void rgy_session_new_token (struct rgy_session *session, uint8_t *token);
/** Have rgy_observation_run_timers() called for the session.  */
void rgy_session_schedule_timers (struct rgy_session *session);

/* Echo values.  */

/** Return the first epoch of new sessions of a bucket.  */
uint64_t rgy_echo_first_epoch (const struct rgy_request_engine *engine,
                               unsigned bucket);
/** Make all Echo values of the session invalid and start a new epoch
    for its bucket.  */
void rgy_echo_invalidate (struct rgy_session *session);
/** Return the epoch of the Echo values that are created now.  */
uint64_t rgy_echo_current_epoch (const struct rgy_session *session);
/** Return the epoch in the Echo of a request; 0 when the request has none.  */
uint64_t rgy_echo_get_epoch (const struct rgy_coap_view *request);
/** Count a request whose Echo was accepted; advances the epoch after a number
    of them.  */
void rgy_echo_count_accepted (struct rgy_session *session,
                              const struct rgy_coap_view *request);
void rgy_echo_create (const struct rgy_session *session, uint8_t *echo);
bool rgy_echo_is_valid (const struct rgy_session *session,
                        struct rgy_bytes echo);

/* Processing of requests.  */

/** Submit a request of the caller that is not a duplicate and whose Echo has
    been accepted, if it needs one.  */
void rgy_request_begin (struct rgy_session *session, struct rgy_bytes datagram,
                        const struct rgy_coap_view *view, int64_t now_us,
                        struct rgy_actions *actions);
/** Send a registration of an observation on behalf of the engine.  */
void rgy_request_begin_registration (struct rgy_session *session,
                                     struct rgy_observation *observation,
                                     int64_t now_us,
                                     struct rgy_actions *actions);
/** Refuse a request of the caller that has not been delivered.  */
void rgy_request_refuse (struct rgy_session *session,
                         const struct rgy_coap_view *view,
                         enum rgy_refusal_reason reason, int64_t now_us);
void rgy_request_handle_duplicate (struct rgy_request *request, int64_t now_us,
                                   struct rgy_actions *actions);
void rgy_request_cancel (struct rgy_request *request, int64_t now_us,
                         struct rgy_actions *actions);
/** Handle an answer of the backend server.  */
void rgy_request_handle_answer (struct rgy_request *request,
                                const struct rgy_coap_view *answer,
                                int64_t now_us);
/** Handle the failure of a running request that the backend server
    could not receive.  */
void rgy_request_handle_failure (struct rgy_request *request, int64_t now_us);
void rgy_request_handle_late_answer (struct rgy_request *request,
                                     const struct rgy_coap_view *answer,
                                     int64_t now_us);
/** Release a request without an answer to the caller.  */
void rgy_request_release (struct rgy_request *request);
void rgy_request_expire_due (struct rgy_request_engine *engine,
                             int64_t now_us);
/** Deliver the queued requests that admission lets start.  */
void rgy_request_start_queued (struct rgy_request_engine *engine,
                               int64_t now_us, struct rgy_actions *actions);

/* Observations of a session.  */

struct rgy_observation *
rgy_observation_find (const struct rgy_session *session,
                      struct rgy_bytes caller_token);
struct rgy_observation *
rgy_observation_find_backend (const struct rgy_session *session,
                              struct rgy_bytes token);
/** Add an observation, or replace the registration of the one with the same
    caller token.
    @return NULL when the registration is malformed or the session already has
    RGY_HANDOVER_MAX_OBSERVATIONS observations.  */
struct rgy_observation *
rgy_observation_add_or_replace (struct rgy_session *session,
                                struct rgy_bytes registration);
/** Cancel the outstanding registration of an observation, which itself
    is not removed.  */
void rgy_observation_cancel_request (struct rgy_observation *observation,
                                     int64_t now_us,
                                     struct rgy_actions *actions);
void rgy_observation_remove (struct rgy_session *session,
                             struct rgy_observation *observation);
/** Return the Observe value for the answer to a registration, shifted so that
    it follows the one sent last.  */
uint32_t rgy_observation_first_sequence (struct rgy_observation *observation,
                                         uint32_t sequence);
/** Continue the Observe values after @p sequence, the last one that another
    agent has sent to the caller.  */
void rgy_observation_continue_after (struct rgy_observation *observation,
                                     uint32_t sequence);
void rgy_observation_handle_notification (struct rgy_session *session,
                                          struct rgy_observation *observation,
                                          const struct rgy_coap_view *view,
                                          struct rgy_actions *actions);
/** Handle the answer to a registration sent by the engine.  */
void rgy_observation_handle_registration_answer (
    struct rgy_session *session, struct rgy_observation *observation,
    const struct rgy_coap_view *answer, int64_t now_us);
/** Schedule another registration by the engine, after one has failed.  */
void
rgy_observation_schedule_registration (struct rgy_session *session,
                                       struct rgy_observation *observation,
                                       int64_t delay_us, int64_t now_us);
/** Handle an acknowledgement or a Reset of the caller.
    @return false when it belongs to no notification.  */
bool rgy_observation_handle_ack (struct rgy_session *session,
                                 uint16_t message_id,
                                 struct rgy_actions *actions);
bool rgy_observation_handle_reset (struct rgy_session *session,
                                   uint16_t message_id, int64_t now_us,
                                   struct rgy_actions *actions);
/** End an observation at the backend server.  */
void rgy_observation_deregister (struct rgy_session *session,
                                 const struct rgy_observation *observation,
                                 struct rgy_actions *actions);
/** Run the timers of a session's observations.
    @return true while the session has timers.  */
bool rgy_observation_run_timers (struct rgy_session *session, int64_t now_us,
                                 struct rgy_actions *actions);

#endif
