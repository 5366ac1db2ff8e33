#ifndef RAGWORTYOKECTL_IO_H
#define RAGWORTYOKECTL_IO_H

/**
 * @file
 * Calls to the store and to balancers, and the commands that use them.
 */

#include "private/ctl_plan.h"
#include "private/ctl_settings.h"
#include "ragwortyoke-io/store_json.h"

/** Time for the store to accept a failure domain order; after it the order is
    sent directly to the balancers.  */
#define CTL_ORDER_STORE_MS 1000

struct ctl
{
  const struct ctl_settings *settings;
  unsigned store;          /**< Index of the store endpoint in use, modulo
                              their number.  */
  unsigned balancer;       /**< Index of the balancer endpoint in use, modulo
                              their number.  */
  unsigned order_store_ms; /**< CTL_ORDER_STORE_MS; tests use
                              a longer time.  */
  struct rgy_store_header last_header;
};

int64_t ctl_now_ms (void);
/** Milliseconds until @p deadline_ms, at least 0.  */
unsigned ctl_remaining_ms (int64_t deadline_ms);

/**
 * Make one HTTP call.
 *
 * @param token   operator token, or NULL.
 * @param body    NULL for GET.
 * @param answer  set on RGY_OK.
 * @return RGY_OK with any status; RGY_ERR_UNAVAILABLE when no connection was
 *         made, so that nothing was sent; RGY_ERR_TIMEOUT when the call may
 *         have taken effect.
 */
enum rgy_outcome ctl_http (const char *url, const char *token,
                           const json_t *body, unsigned timeout_ms,
                           json_t **answer, long *status);

/**
 * Call the store.  The endpoints are tried one after the other until
 * @p deadline_ms.
 *
 * @param write  true for a write: a call that may have taken effect is not
 *         sent again.
 * @return RGY_OK, RGY_ERR_UNAVAILABLE, RGY_ERR_TIMEOUT (a write may have taken
 *         effect), RGY_ERR_STALE (older contents or another cluster) or
 *         RGY_ERR_INVALID (the store rejected the call).
 */
enum rgy_outcome ctl_store_call (struct ctl *ctl, const char *path,
                                 const json_t *body, bool write,
                                 int64_t deadline_ms, json_t **answer);
/** Run a transaction without comparisons, with a few attempts.  The function
    takes ownership of @p plan.  */
enum rgy_outcome ctl_store_read (struct ctl *ctl, json_t *plan,
                                 int64_t deadline_ms, json_t **answer);
/** Print why the store could not be used.
    @return the exit status.  */
int ctl_store_failed (enum rgy_outcome outcome);

/** Call balancers, one after the other until one answers with status 200.
    @return RGY_OK, RGY_ERR_UNAVAILABLE, or RGY_ERR_AUTH when one has rejected
    the token and none answered with status 200.  */
enum rgy_outcome ctl_balancer_call (struct ctl *ctl, const char *path,
                                    const char *token, const json_t *body,
                                    int64_t deadline_ms, json_t **answer);

/**
 * Write a change whose view has been read.
 *
 * @return CTL_EXIT_OK with @p revision set; CTL_EXIT_CONFLICT after the
 *         conflict was printed; CTL_EXIT_UNAVAILABLE with @p outcome set and
 *         nothing printed.
 */
int ctl_write (struct ctl *ctl, const struct ctl_change *change,
               const struct ctl_view *view, int64_t deadline_ms,
               uint64_t *revision, enum rgy_outcome *outcome);
int ctl_print_conflict (const struct ctl *ctl, const struct ctl_change *change,
                        uint64_t base, const struct ctl_key *theirs);

/** Wait until a change is in effect everywhere and print the result, which
    begins with @p done.
    @param query argument of the balancers' confirm call.
    @param unit "revision" or "number".  */
int ctl_confirm (struct ctl *ctl, const char *query, const char *name,
                 const char *unit, uint64_t revision, const char *done);

/** Random hexadecimal digits for @p bytes bytes; free with g_free().  */
char *ctl_random_hex (unsigned bytes);
void ctl_print_json (json_t *json);

int ctl_run_contract_write (struct ctl *ctl);
int ctl_run_domain_write (struct ctl *ctl);
/** Run a command that only reads.  */
int ctl_run_read (struct ctl *ctl);

#endif
