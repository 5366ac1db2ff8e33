#ifndef RAGWORTYOKE_DOMAIN_H
#define RAGWORTYOKE_DOMAIN_H

/**
 * @file
 * Failure domain orders, by which an operator takes a failure domain out of
 * service or brings it back.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/contract.h"
#include "ragwortyoke/outcome.h"
#include "ragwortyoke/str.h"

struct rgy_domain_order
{
  struct rgy_name domain;
  bool out;
  uint64_t number; /**< Highest order number that the writer has
                      seen, plus one.  */
  uint64_t id; /**< Random ID; the higher one wins between equal numbers.  */
  struct rgy_name operator_name;
  int64_t issued_s; /**< Unix time, for information only; it does not affect
                       the order.  */
};

/** True when @p a replaces @p b.  */
bool rgy_domain_order_is_newer (const struct rgy_domain_order *a,
                                const struct rgy_domain_order *b);

/** Format an order as JSON {"domain","out","number","id","operator","issued"};
    "id" has 16 hexadecimal digits.
    @return a string to be freed with g_free().  */
char *rgy_domain_order_format (const struct rgy_domain_order *order);
enum rgy_outcome rgy_domain_order_parse (struct rgy_str json,
                                         struct rgy_domain_order *order,
                                         struct rgy_check_error *error);

struct rgy_domain_set;

struct rgy_domain_set *rgy_domain_set_new (void);
void rgy_domain_set_delete (struct rgy_domain_set *set);
/** Apply an order.
    @return RGY_OK when the order is newer than the known
    one, RGY_ERR_STALE otherwise.  */
enum rgy_outcome rgy_domain_set_apply (struct rgy_domain_set *set,
                                       const struct rgy_domain_order *order);
/** True when the failure domain is out of service.  A failure domain without
    an order is in service.  */
bool rgy_domain_set_is_out (const struct rgy_domain_set *set,
                            const struct rgy_name *domain);
/** Get the order that applies to a failure domain.
    @return the order, or NULL.  */
const struct rgy_domain_order *
rgy_domain_set_get (const struct rgy_domain_set *set,
                    const struct rgy_name *domain);
void rgy_domain_set_foreach (const struct rgy_domain_set *set,
                             void (*fn) (const struct rgy_domain_order *order,
                                         void *ctx),
                             void *ctx);

#endif
