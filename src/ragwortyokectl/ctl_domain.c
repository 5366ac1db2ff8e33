#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private/ctl_io.h"
#include "ragwortyoke/domain.h"

#define ID_BYTES 8
#define HEX_BASE 16
#define US_PER_S 1000000
#define MAX_DIRECT_ATTEMPTS 3

/* Returns the highest order number that a balancer knows for the failure
   domain, or 0.
   @param store_revision set to the highest store revision of the contracts
   that are active at that balancer; may be NULL.  */
static uint64_t
query_order_number_ (struct ctl *ctl, int64_t deadline_ms,
                     uint64_t *store_revision)
{
  char *path = g_strdup_printf ("/v1/confirm?domain=%s&number=1",
                                ctl->settings->argument);
  uint64_t number = 0;
  json_t *answer;

  if (ctl_balancer_call (ctl, path, NULL, NULL, deadline_ms, &answer)
      == RGY_OK)
    number = rgy_store_json_get_u64 (answer, "revision");
  if (store_revision != NULL)
    *store_revision = rgy_store_json_get_u64 (answer, "store_revision");
  json_decref (answer);
  g_free (path);
  return number;
}

static struct rgy_domain_order
make_order_ (const struct ctl *ctl, const char *id, uint64_t number)
{
  struct rgy_domain_order order
      = { .out = ctl->settings->command == CTL_DOMAIN_OUT,
          .number = number,
          .id = g_ascii_strtoull (id, NULL, HEX_BASE),
          .issued_s = g_get_real_time () / US_PER_S };

  rgy_name_set (&order.domain, rgy_str_from_c (ctl->settings->argument));
  rgy_name_set (&order.operator_name,
                rgy_str_from_c (ctl->settings->operator_name));
  return order;
}

/* Writes the order to the store and prints a conflict.  A store with older
   contents counts as unavailable, because no balancer reads it.  */
static int
write_order_ (struct ctl *ctl, const char *id, struct rgy_domain_order *order)
{
  int64_t deadline_ms = ctl_now_ms () + ctl->order_store_ms;
  struct ctl_change change
      = { .kind = CTL_CHANGE_DOMAIN,
          .action = ctl_command_string[ctl->settings->command],
          .name = ctl->settings->argument,
          .operator_name = ctl->settings->operator_name,
          .write_id = id };
  struct rgy_domain_order stored = { 0 };
  struct rgy_check_error error;
  struct ctl_view view = { 0 };
  uint64_t store_revision;
  enum rgy_outcome rc;
  uint64_t revision;
  uint64_t number;
  json_t *answer;
  char *value;
  int status;

  /* The balancer is queried before the store is read.  In the other
     order, the read could miss another operator's change that the
     balancer already has.  */
  number = query_order_number_ (ctl, deadline_ms, &store_revision);
  rc = ctl_store_read (ctl, ctl_plan_view (&change), deadline_ms, &answer);
  if (rc == RGY_OK && !ctl_view_parse (answer, &view))
    rc = RGY_ERR_INVALID;
  json_decref (answer);
  if (rc == RGY_OK && ctl->last_header.revision < store_revision)
    rc = RGY_ERR_STALE;
  if (rc != RGY_OK)
    {
      ctl_view_finish (&view);
      return CTL_EXIT_UNAVAILABLE;
    }
  if (view.subject.value != NULL)
    rgy_domain_order_parse (rgy_str_from_c (view.subject.value), &stored,
                            &error);
  *order = make_order_ (ctl, id, MAX (number, stored.number) + 1);
  change.time_s = order->issued_s;
  value = rgy_domain_order_format (order);
  change.value = value;
  status = ctl_write (ctl, &change, &view, deadline_ms, &revision, &rc);
  g_free (value);
  ctl_view_finish (&view);
  return status;
}

/* Sends the order directly to a balancer.  A write that may have reached the
   store before does no harm, because it is the same order.  */
static int
send_order_ (struct ctl *ctl, const char *id, struct rgy_domain_order *order)
{
  int64_t deadline_ms = ctl_now_ms () + ctl->settings->timeout_ms;
  enum rgy_outcome rc = RGY_ERR_UNAVAILABLE;
  bool accepted = false;
  unsigned attempt;
  json_t *answer;
  json_t *body;
  char *text;

  if (ctl->settings->operator_token == NULL
      || ctl->settings->balancers == NULL)
    {
      fputs ("ragwortyokectl: the store is not usable, and the order cannot "
             "go directly to the balancers because --operator-token or "
             "--balancers is not set\n",
             stderr);
      return CTL_EXIT_UNAVAILABLE;
    }
  fputs ("ragwortyokectl: the store is not usable; sending the order "
         "directly to the balancers\n",
         stderr);
  for (attempt = 0; attempt < MAX_DIRECT_ATTEMPTS && !accepted; attempt++)
    {
      if (order->number == 0 || attempt > 0)
        *order = make_order_ (
            ctl, id, query_order_number_ (ctl, deadline_ms, NULL) + 1);
      text = rgy_domain_order_format (order);
      body = json_loads (text, 0, NULL);
      g_free (text);
      rc = ctl_balancer_call (ctl, "/v1/domain", ctl->settings->operator_token,
                              body, deadline_ms, &answer);
      json_decref (body);
      accepted = json_is_true (json_object_get (answer, "accepted"));
      json_decref (answer);
      if (rc != RGY_OK)
        break;
    }
  if (accepted)
    return CTL_EXIT_OK;
  if (rc == RGY_OK)
    {
      fprintf (stderr,
               "ragwortyokectl: conflict: another order for failure domain %s "
               "is newer\n",
               ctl->settings->argument);
      return CTL_EXIT_CONFLICT;
    }
  fputs (rc == RGY_ERR_AUTH
             ? "ragwortyokectl: the balancers reject --operator-token\n"
             : "ragwortyokectl: no balancer answers\n",
         stderr);
  return CTL_EXIT_UNAVAILABLE;
}

int
ctl_run_domain_write (struct ctl *ctl)
{
  char *id = ctl_random_hex (ID_BYTES);
  struct rgy_domain_order order = { 0 };
  char *query;
  int status;

  status = write_order_ (ctl, id, &order);
  if (status == CTL_EXIT_UNAVAILABLE)
    status = send_order_ (ctl, id, &order);
  if (status == CTL_EXIT_OK)
    {
      query = g_strdup_printf ("domain=%s&number=%" PRIu64,
                               ctl->settings->argument, order.number);
      status = ctl_confirm (ctl, query, ctl->settings->argument, "number",
                            order.number,
                            order.out ? "out of service" : "in service");
      g_free (query);
    }
  g_free (id);
  return status;
}
