#ifndef RGY_TEST_GUARANTEES_PROOFS_H
#define RGY_TEST_GUARANTEES_PROOFS_H

/**
 * @file
 * Proofs of the guarantees of section 1.2 of the design page.  Every proof
 * runs one scenario twice with the same seed: with the mechanism switched
 * off, where it must count violations, and with the product as it is, where
 * it must count none.
 */

#include "deployment.h"

#define PROOF_WATCHES 40
#define PROOF_POSTERS 14
#define PROOF_GETTERS 4

/** Seed of the proofs.  */
extern uint64_t proof_seed;

/** A deployment under the load of a proof, with warm backend servers.  */
struct deployment *proof_start (enum deployment_kind kind,
                                const struct harness_settings *settings);

/* Scenarios; each returns the number of violations.  */

/* sessions.c */
/** Sessions that had to register again or lagged by over 5 s while agents and
   balancers drained and returned.  */
uint64_t proof_sessions (enum deployment_kind kind,
                         const struct harness_settings *settings);
/** Packets of another service that reached a backend server through an
    address that had been used again.  */
uint64_t proof_services (enum deployment_kind kind,
                         const struct harness_settings *settings);
/** Executions above what a cold backend server bears.  */
uint64_t proof_cold_start (enum deployment_kind kind,
                           const struct harness_settings *settings);
/** Flows and records that a draining agent took 3 s after its announcement
    or later.  */
uint64_t proof_drain (enum deployment_kind kind,
                      const struct harness_settings *settings);
/** Requests and sessions that a planned stop interrupted.  A stop is a drain
    or, with @p kill, an immediate end.  */
uint64_t proof_planned_stop (enum deployment_kind kind,
                             const struct harness_settings *settings,
                             bool kill);

/* requests.c */
/** Answers that a caller got for another request.  */
uint64_t proof_answers (enum deployment_kind kind,
                        const struct harness_settings *settings);
/** Refusals that said "not-run" of an executed record.  */
uint64_t proof_refusals (enum deployment_kind kind,
                         const struct harness_settings *settings);
/** Records that were executed more than once.  */
uint64_t proof_at_most_once (enum deployment_kind kind,
                             const struct harness_settings *settings);

/* config.c */
/** Processes of a failure domain that got packets 3 s after the order or
    later.  */
uint64_t proof_domain_out (enum deployment_kind kind,
                           const struct harness_settings *settings);
/** Processes without the newest contract after the store came back with an
    older one.  */
uint64_t proof_contract (enum deployment_kind kind,
                         const struct harness_settings *settings);
/** Instants at which more requests of the contract were in flight than its
    limit.  */
uint64_t proof_fleet_limit (enum deployment_kind kind,
                            const struct harness_settings *settings);

#endif
