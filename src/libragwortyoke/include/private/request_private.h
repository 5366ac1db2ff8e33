#ifndef RAGWORTYOKE_PRIVATE_REQUEST_PRIVATE_H
#define RAGWORTYOKE_PRIVATE_REQUEST_PRIVATE_H

/**
 * @file
 * Parts of the request engine.
 *
 * The engine ends the message layer on both sides: towards the backend server
 * every request has its own token and message ID, so that a late answer to an
 * earlier request with the same token of the caller is told apart.  Towards
 * the caller, the answer to a confirmable request is always piggybacked; the
 * caller's retransmissions make it reliable.
 */

#include "ragwortyoke/request.h"

#define RGY_BACKEND_TOKEN_BYTES 8
#define RGY_ECHO_EPOCH_BYTES 8
#define RGY_ECHO_MAC_BYTES 16
#define RGY_ECHO_BYTES (RGY_ECHO_EPOCH_BYTES + RGY_ECHO_MAC_BYTES)
#define RGY_RECENT_NOTIFICATIONS 8
/** MAX_RETRANSMIT of RFC 7252 and the first transmission.  */
#define RGY_CONFIRMABLE_ATTEMPTS 5

struct rgy_session;

/** Counters of the engine.  */
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

/* Deduplication records.  */

struct rgy_dedup_key
{
  uint64_t token;
  uint16_t message_id;
  uint8_t token_len;
};

/** A finished request and its answer.  */
struct rgy_dedup_record
{
  struct rgy_dedup_key key;
  struct rgy_session *session;
  GByteArray *response; /**< NULL: outcome unknown.  */
  uint64_t echo_epoch;  /**< Of the request's Echo; 0: none.  */
  bool imported;        /**< Run by an earlier holder, under any of the
                           imported epochs.  */
  bool safe;            /**< GET or FETCH: may be evicted.  */
  int64_t finished_us;
  int64_t expires_us;
  GList session_link;
  GList engine_link;
};

struct rgy_dedup_key rgy_dedup_key_of (const struct rgy_coap_view *view);
guint rgy_dedup_key_hash (gconstpointer key);
gboolean rgy_dedup_key_equal (gconstpointer a, gconstpointer b);
struct rgy_dedup_record *rgy_dedup_find (struct rgy_session *session,
                                         const struct rgy_dedup_key *key);
/** True when a record for one more request fits; evicts the oldest record of
    a safe request if necessary.  */
bool rgy_dedup_make_room (struct rgy_session *session);
/** Store the answer to a request; takes ownership of @p response.  */
struct rgy_dedup_record *rgy_dedup_store (struct rgy_session *session,
                                          const struct rgy_coap_view *request,
                                          GByteArray *response, bool safe,
                                          int64_t finished_us);
void rgy_dedup_expire (struct rgy_request_engine *engine, int64_t now_us);
void rgy_dedup_clear (struct rgy_session *session);

/* Requests.  */

enum rgy_request_state
{
  RGY_REQUEST_WAITING,
  RGY_REQUEST_RUNNING,
  RGY_REQUEST_LOST /**< Answered as outcome-unknown; a late answer may
                      come.  */
};

struct rgy_observation;

struct rgy_request
{
  uint64_t id;
  struct rgy_session *session;
  enum rgy_request_state state;
  GByteArray *datagram;
  struct rgy_coap_view view; /**< Of @c datagram.  */
  enum rgy_message_class class;
  struct rgy_dedup_key key;
  struct rgy_observation *observation; /**< Being registered, or NULL.  */
  bool own; /**< Registration by the engine; the caller has no exchange.  */
  uint8_t token[RGY_BACKEND_TOKEN_BYTES];
  uint16_t message_id; /**< Towards the backend server.  */
  bool acknowledged;   /**< By the backend server.  */
  int64_t deadline_us;
  int64_t delivered_us;
  GList link; /**< In the session's requests or lost requests.  */
};

/* Observations.  */

struct rgy_notification_ids
{
  uint16_t backend_id;
  uint16_t caller_id;
  uint32_t sequence;
};

struct rgy_observation
{
  GByteArray *registration;
  struct rgy_coap_view view; /**< Of @c registration.  */
  uint8_t token[RGY_BACKEND_TOKEN_BYTES];
  bool registered; /**< At the own backend server.  */
  bool notified;
  uint32_t last_sequence; /**< Sent to the caller.  */
  uint32_t offset;        /**< Caller's sequence minus backend server's.  */
  struct rgy_notification_ids recent[RGY_RECENT_NOTIFICATIONS];
  size_t recent_count; /**< Notifications of the backend server so far.  */
  struct rgy_request *request; /**< Registration under way.  */
  bool wanted;                 /**< To be registered by the engine.  */
  int64_t register_us;         /**< Not before.  */
  GByteArray *confirmable;     /**< Notification sent by the engine, not yet
                                  acknowledged.  */
  uint16_t confirmable_id;
  /** IDs it was sent with; the state in it, and so the ID, is renewed.  */
  uint16_t confirmable_sent[RGY_CONFIRMABLE_ATTEMPTS];
  unsigned confirmable_attempts;
  int64_t confirmable_due_us;
};

struct rgy_session
{
  struct rgy_request_engine *engine;
  struct rgy_flow *flow;
  uint64_t own_epoch; /**< Echo epochs from this one to @c step above it
                         are valid; the last is minted.  */
  unsigned step;
  unsigned accepted; /**< Requests under the last own epoch.  */
  uint64_t imported_epochs[RGY_HANDOVER_MAX_EPOCHS]; /**< Also valid.  */
  size_t imported_count;
  unsigned exports; /**< Since the Echo epochs were last renewed.  */
  GQueue requests;
  GQueue lost;
  GHashTable *records;
  GQueue record_order;
  struct rgy_observation *observations[RGY_HANDOVER_MAX_OBSERVATIONS];
  size_t observation_count;
  uint32_t token_prefix;
  uint32_t token_count;
  uint16_t backend_id;
  uint16_t caller_id;
  bool needs_attention;
  GList attention_link;
};

struct rgy_request_engine
{
  struct rgy_request_settings settings;
  struct rgy_request_hooks hooks;
  struct rgy_admission *admission;
  struct rgy_retry_budget *budget;
  struct rgy_counters *own_counters;
  struct rgy_request_counters c;
  GHashTable *requests; /**< By ID.  */
  uint64_t next_id;
  int64_t now_us; /**< Of the latest event.  */
  bool out;
  uint32_t generations[RGY_BUCKET_COUNT]; /**< Of Echo epochs.  */
  GQueue records;                         /**< In order of storing.  */
  GQueue attention; /**< Sessions with timers of observations.  */
};

/* Sessions.  */

/** Session of a flow; made when there is none.  */
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
/** Have rgy_observation_tick() called for the session.  */
void rgy_session_attend (struct rgy_session *session);

/* Echo.  */

/** First epoch of new sessions of a bucket.  */
uint64_t rgy_echo_epoch (const struct rgy_request_engine *engine,
                         unsigned bucket);
/** Make all Echo values of the session invalid and begin a new epoch for its
    bucket.  */
void rgy_echo_renew (struct rgy_session *session);
/** Epoch of the Echo values that are minted now.  */
uint64_t rgy_echo_current (const struct rgy_session *session);
/** Epoch in the Echo of a request; 0 when there is none.  */
uint64_t rgy_echo_epoch_of (const struct rgy_coap_view *request);
/** Count a request whose Echo was accepted.  */
void rgy_echo_note_accepted (struct rgy_session *session,
                             const struct rgy_coap_view *request);
void rgy_echo_mint (const struct rgy_session *session, uint8_t *echo);
bool rgy_echo_is_valid (const struct rgy_session *session,
                        struct rgy_bytes echo);

/* Running requests.  */

/** Take a request of the caller that is neither a duplicate nor refused by
    its Echo.  */
void rgy_request_begin (struct rgy_session *session, struct rgy_bytes datagram,
                        const struct rgy_coap_view *view, int64_t now_us,
                        struct rgy_actions *actions);
/** Register an observation for the engine.  */
void rgy_request_begin_own (struct rgy_session *session,
                            struct rgy_observation *observation,
                            int64_t now_us, struct rgy_actions *actions);
/** Refuse a request of the caller; nothing has been delivered.  */
void rgy_request_refuse (struct rgy_session *session,
                         const struct rgy_coap_view *view,
                         enum rgy_refusal_reason reason, int64_t now_us);
void rgy_request_absorb (struct rgy_request *request, int64_t now_us,
                         struct rgy_actions *actions);
void rgy_request_cancel (struct rgy_request *request, int64_t now_us,
                         struct rgy_actions *actions);
/** An answer of the backend server.  */
void rgy_request_answered (struct rgy_request *request,
                           const struct rgy_coap_view *answer, int64_t now_us);
/** The backend server could not take a running request.  */
void rgy_request_failed (struct rgy_request *request, int64_t now_us);
void rgy_request_note_late (struct rgy_request *request,
                            const struct rgy_coap_view *answer,
                            int64_t now_us);
/** Release a request without an answer.  */
void rgy_request_drop (struct rgy_request *request);
void rgy_request_expire (struct rgy_request_engine *engine, int64_t now_us);
/** Deliver requests that can start.  */
void rgy_request_pump (struct rgy_request_engine *engine, int64_t now_us,
                       struct rgy_actions *actions);

/* Observations of a session.  */

struct rgy_observation *
rgy_observation_find (const struct rgy_session *session,
                      struct rgy_bytes caller_token);
struct rgy_observation *
rgy_observation_find_backend (const struct rgy_session *session,
                              struct rgy_bytes token);
/** Add an observation, or replace the registration of the one with the same
    token of the caller.
    @return NULL when the session has the most observations.  */
struct rgy_observation *rgy_observation_put (struct rgy_session *session,
                                             struct rgy_bytes registration);
/** Cancel the registration under way; the observation stays.  */
void rgy_observation_cancel_request (struct rgy_observation *observation,
                                     int64_t now_us,
                                     struct rgy_actions *actions);
void rgy_observation_remove (struct rgy_session *session,
                             struct rgy_observation *observation);
/** Shift the Observe value of a registration's answer so that it follows the
    last one sent.  */
uint32_t rgy_observation_shift_first (struct rgy_observation *observation,
                                      uint32_t sequence);
/** Another agent has sent up to @p sequence to the caller.  */
void rgy_observation_skip (struct rgy_observation *observation,
                           uint32_t sequence);
void rgy_observation_notify (struct rgy_session *session,
                             struct rgy_observation *observation,
                             const struct rgy_coap_view *view,
                             struct rgy_actions *actions);
/** Answer to a registration by the engine.  */
void rgy_observation_registered (struct rgy_session *session,
                                 struct rgy_observation *observation,
                                 const struct rgy_coap_view *answer,
                                 int64_t now_us);
/** A registration by the engine did not succeed; it is tried again.  */
void rgy_observation_retry (struct rgy_session *session,
                            struct rgy_observation *observation,
                            int64_t delay_us, int64_t now_us);
/** Acknowledgement or Reset of the caller.
    @return false when it belongs to no notification.  */
bool rgy_observation_note_ack (struct rgy_session *session,
                               uint16_t message_id,
                               struct rgy_actions *actions);
bool rgy_observation_note_reset (struct rgy_session *session,
                                 uint16_t message_id, int64_t now_us,
                                 struct rgy_actions *actions);
/** End an observation at the backend server.  */
void rgy_observation_deregister (struct rgy_session *session,
                                 const struct rgy_observation *observation,
                                 struct rgy_actions *actions);
/** @return true while the session has timers.  */
bool rgy_observation_tick (struct rgy_session *session, int64_t now_us,
                           struct rgy_actions *actions);

#endif
