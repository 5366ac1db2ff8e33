#ifndef RAGWORTYOKECTL_PLAN_H
#define RAGWORTYOKECTL_PLAN_H

/**
 * @file
 * Planning of writes to the store and evaluation of the answers, without I/O.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwortyoke-io/store_client.h"
#include "ragwortyoke/str.h"

#define CTL_CONTRACTS RGY_STORE_PREFIX "contracts/"
#define CTL_HISTORY RGY_STORE_PREFIX "history/"
#define CTL_DOMAINS RGY_STORE_PREFIX "domains/"
#define CTL_AUDIT_RING RGY_STORE_PREFIX "audit/"
/** Key that contains the number of the next audit record.  Each write compares
    its revision, so that two writers cannot use the same slot.  */
#define CTL_AUDIT_HEAD CTL_AUDIT_RING "head"

#define CTL_HISTORY_KEPT 20
#define CTL_AUDIT_SLOTS 1000

/** A key and its value as read from the store.  */
struct ctl_key
{
  char *key;   /**< NULL when the key does not exist.  */
  char *value; /**< Text; bytes after a zero byte are lost.  */
  uint64_t mod_revision;
};

void ctl_key_finish (struct ctl_key *key);

/** One change that an operator requests.  */
struct ctl_change
{
  enum
  {
    CTL_CHANGE_CONTRACT,
    CTL_CHANGE_DOMAIN
  } kind;
  const char *action; /**< Command for the audit record, such
                         as "contract put".  */
  const char *name;   /**< Customer or failure domain.  */
  const char *operator_name;
  const char *write_id; /**< Unique ID; it is also contained in @c value.  */
  const char *value;    /**< New value, or NULL to delete the key.  */
  int64_t time_s;
};

/** State of the store that a write is based on.  */
struct ctl_view
{
  struct ctl_key subject; /**< The contract or the order to be changed.  */
  struct ctl_key head;
  GPtrArray *history; /**< Keys of earlier contracts, oldest first.  */
  uint64_t revision;  /**< Store revision at which the view was read.  */
};

void ctl_view_finish (struct ctl_view *view);

/** Plan a transaction that reads the view of a change; free
    it with json_decref().  */
json_t *ctl_plan_view (const struct ctl_change *change);
/** Parse the answer to ctl_plan_view().
    @return false when the answer is malformed.  */
bool ctl_view_parse (const json_t *answer, struct ctl_view *view);

/**
 * Plan a transaction that writes the change if neither the subject nor the
 * audit ring has changed since the view was read.
 *
 * @param audit_key  set to the key of the audit record; free with g_free().
 */
json_t *ctl_plan_write (const struct ctl_change *change,
                        const struct ctl_view *view, char **audit_key);

/** Plan a transaction that reads the keys that a write with a lost answer may
    have written.  */
json_t *ctl_plan_read_back (const struct ctl_change *change,
                            const char *audit_key);

enum ctl_write_result
{
  CTL_WRITTEN,        /**< The change is or was in the store; it may
                         have been replaced.  */
  CTL_NOT_WRITTEN,    /**< The subject is unchanged: the write
                         can be repeated.  */
  CTL_WRITE_CONFLICT, /**< Another change to the subject came first.  */
  CTL_ANSWER_MALFORMED
};

/** Evaluate the answer to ctl_plan_write().  @p revision is set for
    CTL_WRITTEN and @p theirs for CTL_WRITE_CONFLICT.  */
enum ctl_write_result ctl_check_write_answer (const struct ctl_change *change,
                                              uint64_t base,
                                              const json_t *answer,
                                              uint64_t *revision,
                                              struct ctl_key *theirs);
/** Evaluate the answer to ctl_plan_read_back().  @p revision is set for
    CTL_WRITTEN and @p theirs for CTL_WRITE_CONFLICT.  */
enum ctl_write_result
ctl_check_read_back_answer (const struct ctl_change *change, uint64_t base,
                            const json_t *answer, uint64_t *revision,
                            struct ctl_key *theirs);

/** Parse the keys of one range in the answer to a transaction.  The elements
    are struct ctl_key; free the array with g_ptr_array_unref().  */
GPtrArray *ctl_parse_range (const json_t *response_range);

/** Add the write ID to the text of a contract.
    @return the new text, or NULL when @p json is not a JSON object; free it
    with g_free().  */
char *ctl_add_write_id (const char *json, const char *write_id);
/** Format a contract for display: indented JSON without the write ID.  A text
    that is not JSON is returned as it is.  Free the result with g_free().  */
char *ctl_format_contract (const char *json);

/** Format a conflict as text with both versions of the value; free
    it with g_free().  */
char *ctl_format_conflict (const struct ctl_change *change, uint64_t base,
                           const struct ctl_key *theirs);
/** Format a conflict as JSON; free it with json_decref().  */
json_t *ctl_conflict_json (const struct ctl_change *change, uint64_t base,
                           const struct ctl_key *theirs);

#endif
