#ifndef RGY_TEST_GUARANTEES_SCENARIOS_H
#define RGY_TEST_GUARANTEES_SCENARIOS_H

/**
 * @file
 * Scenarios that test the guarantees of section 1.2 of the design page.  Each
 * scenario runs twice with the same seed: with the mechanism that gives the
 * guarantee switched off, where it must count violations, and with the product
 * as it is, where it must count none.
 */

#include "deployment.h"

#define SCENARIO_WATCHES 40
#define SCENARIO_POSTERS 14
#define SCENARIO_GETTERS 4

/** Seed of all scenarios.  */
extern uint64_t scenario_seed;

/** Start a deployment with the callers of a scenario and warm
    backend servers.  */
struct deployment *scenario_start (enum deployment_kind kind,
                                   const struct harness_settings *settings);

/* Each scenario runs in a deployment of its own and returns the number
   of violations.  */

/* sessions.c */
/** Sessions that had to register again or got no update for over 5 s while
   agents and balancers drained and returned.  */
uint64_t scenario_planned_changes (enum deployment_kind kind,
                                   const struct harness_settings *settings);
/** Datagrams that reached a backend server of another service, because its
    agent reused the address of an agent of the intended service.  */
uint64_t scenario_reused_address (enum deployment_kind kind,
                                  const struct harness_settings *settings);
/** Executions above the concurrency limit of a cold backend server.  */
uint64_t scenario_cold_start (enum deployment_kind kind,
                              const struct harness_settings *settings);
/** Flows and records that a draining agent accepted later than 3 s after it
    announced the drain.  */
uint64_t scenario_drain (enum deployment_kind kind,
                         const struct harness_settings *settings);
/** Requests and sessions that a planned stop of a process interrupted.  The
    process drains or, with @p kill, is killed.  */
uint64_t scenario_planned_stop (enum deployment_kind kind,
                                const struct harness_settings *settings,
                                bool kill);

/* requests.c */
/** Responses that a caller received for another request.  */
uint64_t scenario_late_answers (enum deployment_kind kind,
                                const struct harness_settings *settings);
/** Refusals with "not-run" for a record that was executed.  */
uint64_t scenario_lost_answers (enum deployment_kind kind,
                                const struct harness_settings *settings);
/** Records that were executed more than once.  */
uint64_t scenario_agent_deaths (enum deployment_kind kind,
                                const struct harness_settings *settings);

/* config.c */
/** Processes of a failure domain that received datagrams later than 3 s after
    the order to take it out.  */
uint64_t scenario_domain_out (enum deployment_kind kind,
                              const struct harness_settings *settings);
/** Processes whose active contract is not the newest one 6 s after it was
    written, and 6 s after the store came back with an older one.  */
uint64_t scenario_store_restore (enum deployment_kind kind,
                                 const struct harness_settings *settings);
/** Instants at which more requests of the contract were in flight than
    its limit.  */
uint64_t scenario_fleet_limit (enum deployment_kind kind,
                               const struct harness_settings *settings);

#endif
