#ifndef RAGWORTYOKECTL_PLAN_H
#define RAGWORTYOKECTL_PLAN_H

/**
 * @file
 * Planning of writes to the store and judging of their answers, without I/O.
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
/** Number of the next audit record; comparing it keeps two writers from
    using one slot.  */
#define CTL_AUDIT_HEAD CTL_AUDIT_RING "head"

#define CTL_HISTORY_KEPT 20
#define CTL_AUDIT_SLOTS 1000

/** A key as read from the store.  */
struct ctl_key
{
  char *key;   /**< NULL when the store does not have it.  */
  char *value; /**< Text; bytes after a zero byte are lost.  */
  uint64_t mod_revision;
};

void ctl_key_finish (struct ctl_key *key);

/** One change that an operator asks for.  */
struct ctl_change
{
  enum
  {
    CTL_CHANGE_CONTRACT,
    CTL_CHANGE_DOMAIN
  } kind;
  const char *action; /**< For the audit record, "contract put" and so on.  */
  const char *name;   /**< Customer or failure domain.  */
  const char *operator_name;
  const char *write_id; /**< Unique; also inside @c value.  */
  const char *value;    /**< New value, NULL to delete.  */
  int64_t time_s;
};

/** What a write needs to know.  */
struct ctl_view
{
  struct ctl_key subject; /**< The contract or the order.  */
  struct ctl_key head;
  GPtrArray *history; /**< Keys of earlier contracts, oldest first.  */
  uint64_t revision;  /**< Of the store.  */
};

void ctl_view_finish (struct ctl_view *view);

/** Transaction that reads the view of a change; free with json_decref().  */
json_t *ctl_plan_view (const struct ctl_change *change);
/** @return false when the answer is malformed.  */
bool ctl_view_parse (const json_t *answer, struct ctl_view *view);

/**
 * Transaction that writes the change if neither the subject nor the audit
 * ring changed since the view was read.
 *
 * @param audit_key  set to the key of the audit record; free with g_free().
 */
json_t *ctl_plan_write (const struct ctl_change *change,
                        const struct ctl_view *view, char **audit_key);

/** Transaction that reads back what a lost write may have written.  */
json_t *ctl_plan_read_back (const struct ctl_change *change,
                            const char *audit_key);

enum ctl_verdict
{
  CTL_WRITTEN,     /**< In the store; perhaps replaced since.  */
  CTL_NOT_WRITTEN, /**< Nothing changed the subject: try again.  */
  CTL_LOST_RACE,   /**< Another change was first.  */
  CTL_MALFORMED
};

/** Judge the answer to ctl_plan_write().  @p revision is set for
    CTL_WRITTEN and @p theirs for CTL_LOST_RACE.  */
enum ctl_verdict ctl_judge_write (const struct ctl_change *change,
                                  uint64_t base, const json_t *answer,
                                  uint64_t *revision, struct ctl_key *theirs);
/** Judge the answer to ctl_plan_read_back(), likewise.  */
enum ctl_verdict ctl_judge_read_back (const struct ctl_change *change,
                                      uint64_t base, const json_t *answer,
                                      uint64_t *revision,
                                      struct ctl_key *theirs);

/** Keys of one range in the answer to a transaction; the elements are
    struct ctl_key; free with g_ptr_array_unref().  */
GPtrArray *ctl_parse_range (const json_t *response_range);

/** Contract text with the write ID added, or NULL when it is not a JSON
    object; free with g_free().  */
char *ctl_add_write_id (const char *json, const char *write_id);
/** Contract JSON without its write ID, indented for people; the text itself
    when it is not JSON; free with g_free().  */
char *ctl_format_contract (const char *json);

/** Text for the loser of a race, with both versions; free with g_free().  */
char *ctl_format_conflict (const struct ctl_change *change, uint64_t base,
                           const struct ctl_key *theirs);
/** The same as JSON.  */
json_t *ctl_conflict_json (const struct ctl_change *change, uint64_t base,
                           const struct ctl_key *theirs);

#endif
