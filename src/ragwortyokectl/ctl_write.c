#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private/ctl_io.h"

/* Number of attempts to write a change when concurrent changes take the
   next audit slot.  */
#define MAX_ATTEMPTS 20
#define READ_BACK_PAUSE_US 100000
#define WRITE_ID_BYTES 16
#define US_PER_S 1000000

char *
ctl_random_hex (unsigned bytes)
{
  uint8_t random[WRITE_ID_BYTES];
  char *text = g_malloc ((gsize)bytes * 2 + 1);

  g_assert (bytes <= sizeof random);
  randombytes_buf (random, bytes);
  sodium_bin2hex (text, (gsize)bytes * 2 + 1, random, bytes);
  return text;
}

int
ctl_print_conflict (const struct ctl *ctl, const struct ctl_change *change,
                    uint64_t base, const struct ctl_key *theirs)
{
  char *text;

  if (ctl->settings->json)
    ctl_print_json (ctl_conflict_json (change, base, theirs));
  text = ctl_format_conflict (change, base, theirs);
  fprintf (stderr, "ragwortyokectl: %s", text);
  g_free (text);
  return CTL_EXIT_CONFLICT;
}

/* Determines the result of a write whose answer was lost.  */
static enum rgy_outcome
read_back_write_ (struct ctl *ctl, const struct ctl_change *change,
                  uint64_t base, const char *audit_key, int64_t deadline_ms,
                  enum ctl_write_result *write_result, uint64_t *revision,
                  struct ctl_key *theirs)
{
  enum rgy_outcome rc;
  json_t *answer;

  for (;;)
    {
      rc = ctl_store_read (ctl, ctl_plan_read_back (change, audit_key),
                           deadline_ms, &answer);
      if (rc == RGY_OK)
        {
          *write_result = ctl_check_read_back_answer (change, base, answer,
                                                      revision, theirs);
          json_decref (answer);
          return RGY_OK;
        }
      if (rc != RGY_ERR_UNAVAILABLE || ctl_remaining_ms (deadline_ms) == 0)
        return RGY_ERR_TIMEOUT;
      g_usleep (READ_BACK_PAUSE_US);
    }
}

/* Sends one planned transaction until its result is known.  */
static enum rgy_outcome
send_transaction_ (struct ctl *ctl, const struct ctl_change *change,
                   uint64_t base, const json_t *plan, const char *audit_key,
                   int64_t deadline_ms, enum ctl_write_result *write_result,
                   uint64_t *revision, struct ctl_key *theirs)
{
  bool ambiguous = false;
  enum rgy_outcome rc;
  json_t *answer;

  for (;;)
    {
      rc = ctl_store_call (ctl, RGY_STORE_PATH_TXN, plan, true, deadline_ms,
                           &answer);
      if (rc == RGY_OK)
        {
          *write_result = ctl_check_write_answer (change, base, answer,
                                                  revision, theirs);
          json_decref (answer);
          if (*write_result == CTL_WRITTEN || !ambiguous)
            return RGY_OK;
          /* The first attempt may have changed the keys.  Once its comparisons
             fail, it cannot take effect later.  */
          ctl_key_finish (theirs);
          return read_back_write_ (ctl, change, base, audit_key, deadline_ms,
                                   write_result, revision, theirs);
        }
      if (rc != RGY_ERR_TIMEOUT)
        return ambiguous ? RGY_ERR_TIMEOUT : rc;
      ambiguous = true;
      rc = read_back_write_ (ctl, change, base, audit_key, deadline_ms,
                             write_result, revision, theirs);
      /* The lost call may still be in progress, so the same transaction is
         sent again.  Only one of the two can pass the comparisons.  */
      if (rc != RGY_OK || *write_result != CTL_NOT_WRITTEN)
        return rc;
      if (ctl_remaining_ms (deadline_ms) == 0)
        return RGY_ERR_TIMEOUT;
    }
}

int
ctl_write (struct ctl *ctl, const struct ctl_change *change,
           const struct ctl_view *view, int64_t deadline_ms,
           uint64_t *revision, enum rgy_outcome *outcome)
{
  uint64_t base = view->subject.mod_revision;
  enum ctl_write_result write_result = CTL_NOT_WRITTEN;
  struct ctl_view again = { 0 };
  struct ctl_key theirs = { 0 };
  int status = CTL_EXIT_UNAVAILABLE;
  unsigned attempt;
  char *audit_key;
  json_t *answer;
  json_t *plan;

  *outcome = RGY_ERR_UNAVAILABLE;
  for (attempt = 0; attempt < MAX_ATTEMPTS; attempt++)
    {
      plan = ctl_plan_write (change, view, &audit_key);
      *outcome
          = send_transaction_ (ctl, change, base, plan, audit_key, deadline_ms,
                               &write_result, revision, &theirs);
      json_decref (plan);
      g_free (audit_key);
      if (*outcome != RGY_OK || write_result != CTL_NOT_WRITTEN)
        break;
      /* Only the audit ring has changed.  */
      *outcome
          = ctl_store_read (ctl, ctl_plan_view (change), deadline_ms, &answer);
      if (*outcome != RGY_OK)
        break;
      ctl_view_finish (&again);
      *outcome = ctl_view_parse (answer, &again) ? RGY_OK : RGY_ERR_INVALID;
      json_decref (answer);
      if (*outcome != RGY_OK)
        break;
      view = &again;
      if (again.subject.mod_revision != base)
        {
          theirs = again.subject;
          again.subject = (struct ctl_key){ 0 };
          write_result = CTL_WRITE_CONFLICT;
          break;
        }
    }
  if (*outcome == RGY_OK && write_result == CTL_WRITTEN)
    status = CTL_EXIT_OK;
  else if (*outcome == RGY_OK && write_result == CTL_WRITE_CONFLICT)
    status = ctl_print_conflict (ctl, change, base, &theirs);
  else if (*outcome == RGY_OK)
    *outcome = RGY_ERR_UNAVAILABLE;
  ctl_key_finish (&theirs);
  ctl_view_finish (&again);
  return status;
}

/* Writing of contracts.  */

/* Reads a file, or standard input for "-".  */
static char *
read_file_ (const char *path)
{
  GError *problem = NULL;
  char *text = NULL;

  if (strcmp (path, "-") == 0)
    path = "/dev/stdin";
  if (!g_file_get_contents (path, &text, NULL, &problem))
    {
      fprintf (stderr, "ragwortyokectl: %s\n", problem->message);
      g_error_free (problem);
    }
  return text;
}

/* Reads and validates the contract file of "contract put".  */
static bool
load_contract_ (const char *path, const char *write_id, char **name,
                char **value)
{
  struct rgy_check_error error;
  struct rgy_contract *contract;
  char *text = read_file_ (path);

  *name = NULL;
  *value = NULL;
  if (text == NULL)
    return false;
  contract = rgy_contract_parse (rgy_str_from_c (text), &error);
  if (contract == NULL)
    fprintf (stderr, "ragwortyokectl: %s: %s\n", path, error.text);
  else
    {
      *name = g_strdup (contract->customer.data);
      *value = ctl_add_write_id (text, write_id);
    }
  rgy_contract_delete (contract);
  g_free (text);
  return *value != NULL;
}

/* Returns the highest store revision of the contracts at a balancer, or 0 when
   no balancer is given or answers.  */
static uint64_t
query_store_revision_ (struct ctl *ctl, const struct ctl_change *change,
                       int64_t deadline_ms)
{
  char *path
      = g_strdup_printf ("/v1/confirm?customer=%s&revision=1", change->name);
  uint64_t revision = 0;
  json_t *answer;

  if (ctl_balancer_call (ctl, path, NULL, NULL, deadline_ms, &answer)
      == RGY_OK)
    revision = rgy_store_json_get_u64 (answer, "store_revision");
  json_decref (answer);
  g_free (path);
  return revision;
}

static int
write_contract_ (struct ctl *ctl, const struct ctl_change *change,
                 uint64_t *revision)
{
  int64_t deadline_ms = ctl_now_ms () + ctl->settings->timeout_ms;
  struct ctl_view view = { 0 };
  uint64_t store_revision;
  enum rgy_outcome rc;
  json_t *answer;
  int status;

  /* The balancer is queried before the store is read.  In the other
     order, the read could miss another operator's change that the
     balancer already has.  */
  store_revision = query_store_revision_ (ctl, change, deadline_ms);
  rc = ctl_store_read (ctl, ctl_plan_view (change), deadline_ms, &answer);
  if (rc == RGY_OK && !ctl_view_parse (answer, &view))
    rc = RGY_ERR_INVALID;
  json_decref (answer);
  /* The balancers reject a store with older contents.  A change written there
     would take effect nowhere or, after a restart of all balancers, replace
     the contracts that are active now.  */
  if (rc == RGY_OK && ctl->last_header.revision < store_revision)
    rc = RGY_ERR_STALE;
  if (rc != RGY_OK)
    {
      ctl_view_finish (&view);
      return ctl_store_failed (rc);
    }
  if (change->value == NULL && view.subject.key == NULL)
    {
      fprintf (stderr, "ragwortyokectl: there is no contract of %s\n",
               change->name);
      status = CTL_EXIT_NOT_FOUND;
    }
  else if (ctl->settings->has_expected
           && ctl->settings->expected != view.subject.mod_revision)
    status = ctl_print_conflict (ctl, change, ctl->settings->expected,
                                 &view.subject);
  else
    {
      status = ctl_write (ctl, change, &view, deadline_ms, revision, &rc);
      if (status == CTL_EXIT_UNAVAILABLE)
        ctl_store_failed (rc);
    }
  ctl_view_finish (&view);
  return status;
}

int
ctl_run_contract_write (struct ctl *ctl)
{
  bool put = ctl->settings->command == CTL_CONTRACT_PUT;
  char *write_id = ctl_random_hex (WRITE_ID_BYTES);
  struct ctl_change change
      = { .kind = CTL_CHANGE_CONTRACT,
          .action = ctl_command_string[ctl->settings->command],
          .operator_name = ctl->settings->operator_name,
          .write_id = write_id,
          .time_s = g_get_real_time () / US_PER_S };
  int status = CTL_EXIT_USAGE;
  uint64_t revision = 0;
  char *value = NULL;
  char *name = NULL;
  char *query;

  if (put
      && !load_contract_ (ctl->settings->argument, write_id, &name, &value))
    goto out;
  change.name = put ? name : ctl->settings->argument;
  change.value = value;
  status = write_contract_ (ctl, &change, &revision);
  if (status != CTL_EXIT_OK)
    goto out;
  query = g_strdup_printf ("customer=%s&revision=%" PRIu64, change.name,
                           revision);
  status = ctl_confirm (ctl, query, change.name, "revision", revision,
                        put ? "contract written" : "contract deleted");
  g_free (query);

out:
  g_free (name);
  g_free (value);
  g_free (write_id);
  return status;
}
