#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private/ctl_io.h"
#include "ragwortyoke/domain.h"

#define TIME_TEXT_BYTES 32

/* Reads the keys that start with PREFIX or, when PREFIX does not end with '/',
   the key PREFIX itself.  */
static int
read_keys_ (struct ctl *ctl, const char *prefix, GPtrArray **keys)
{
  int64_t deadline_ms = ctl_now_ms () + ctl->settings->timeout_ms;
  char *end = g_str_has_suffix (prefix, "/") ? rgy_store_prefix_end (prefix)
                                             : g_strdup ("");
  enum rgy_outcome rc;
  json_t *answer;
  json_t *range;

  *keys = NULL;
  range = rgy_store_json_range (rgy_str_from_c (prefix), rgy_str_from_c (end));
  g_free (end);
  rc = ctl_store_call (ctl, RGY_STORE_PATH_RANGE, range, false, deadline_ms,
                       &answer);
  json_decref (range);
  if (rc == RGY_OK)
    *keys = ctl_parse_range (answer);
  json_decref (answer);
  if (rc == RGY_OK)
    return CTL_EXIT_OK;
  fputs ("ragwortyokectl: the store does not answer\n", stderr);
  return CTL_EXIT_UNAVAILABLE;
}

static json_t *
value_json_ (const struct ctl_key *key)
{
  json_t *value = json_loads (key->value, 0, NULL);

  json_object_del (value, "write_id");
  return value != NULL ? value : json_string (key->value);
}

static const char *
base_name_ (const struct ctl_key *key)
{
  return strrchr (key->key, '/') + 1;
}

static void
print_contract_ (const struct ctl_key *key, uint64_t revision)
{
  char *text = ctl_format_contract (key->value);

  printf ("revision %" PRIu64 "\n%s\n", revision, text);
  g_free (text);
}

static void
format_time_ (int64_t time_s, char text[TIME_TEXT_BYTES])
{
  GDateTime *time = g_date_time_new_from_unix_utc (time_s);
  char *iso = time == NULL ? NULL : g_date_time_format_iso8601 (time);

  g_strlcpy (text, iso == NULL ? "-" : iso, TIME_TEXT_BYTES);
  g_free (iso);
  if (time != NULL)
    g_date_time_unref (time);
}

/* Prints contracts: one line each for a list, otherwise whole versions.  */
static void
print_contracts_ (const struct ctl *ctl, const GPtrArray *keys)
{
  bool history = ctl->settings->command == CTL_CONTRACT_HISTORY;
  bool list = ctl->settings->command == CTL_CONTRACT_LIST;
  json_t *array = json_array ();
  const struct ctl_key *key;
  uint64_t revision;
  unsigned i;

  for (i = 0; i < keys->len; i++)
    {
      key = g_ptr_array_index (keys, i);
      /* The key of an earlier version contains its revision.  The
         modification revision of the key belongs to the change that
         replaced this version.  */
      revision = history ? g_ascii_strtoull (base_name_ (key), NULL, 10)
                         : key->mod_revision;
      if (ctl->settings->json)
        json_array_append_new (
            array,
            json_pack ("{s:s, s:I, s:o}", "customer",
                       history ? ctl->settings->argument : base_name_ (key),
                       "revision", (json_int_t)revision, "contract",
                       value_json_ (key)));
      else if (list)
        printf ("%s revision %" PRIu64 "\n", base_name_ (key), revision);
      else
        print_contract_ (key, revision);
    }
  if (!ctl->settings->json)
    json_decref (array);
  else if (ctl->settings->command == CTL_CONTRACT_GET)
    {
      ctl_print_json (json_incref (json_array_get (array, 0)));
      json_decref (array);
    }
  else
    ctl_print_json (array);
}

static int
run_contracts_ (struct ctl *ctl)
{
  bool list = ctl->settings->command == CTL_CONTRACT_LIST;
  GPtrArray *keys;
  char *prefix;
  int status;

  if (list)
    prefix = g_strdup (CTL_CONTRACTS);
  else if (ctl->settings->command == CTL_CONTRACT_GET)
    prefix = g_strconcat (CTL_CONTRACTS, ctl->settings->argument, NULL);
  else
    prefix = g_strconcat (CTL_HISTORY, ctl->settings->argument, "/", NULL);
  status = read_keys_ (ctl, prefix, &keys);
  g_free (prefix);
  if (status != CTL_EXIT_OK)
    return status;
  if (keys->len == 0 && !list)
    {
      fprintf (stderr, "ragwortyokectl: there is no %s of %s\n",
               ctl->settings->command == CTL_CONTRACT_GET ? "contract"
                                                          : "earlier contract",
               ctl->settings->argument);
      status = CTL_EXIT_NOT_FOUND;
    }
  else
    print_contracts_ (ctl, keys);
  g_ptr_array_unref (keys);
  return status;
}

static int
run_domains_ (struct ctl *ctl)
{
  json_t *array = json_array ();
  struct rgy_domain_order order;
  struct rgy_check_error error;
  char time[TIME_TEXT_BYTES];
  struct ctl_key *key;
  GPtrArray *keys;
  unsigned i;
  int status;

  status = read_keys_ (ctl, CTL_DOMAINS, &keys);
  for (i = 0; keys != NULL && i < keys->len; i++)
    {
      key = g_ptr_array_index (keys, i);
      json_array_append_new (array, value_json_ (key));
      if (ctl->settings->json)
        continue;
      if (rgy_domain_order_parse (rgy_str_from_c (key->value), &order, &error)
          != RGY_OK)
        {
          printf ("%s malformed order: %s\n", base_name_ (key), error.text);
          continue;
        }
      format_time_ (order.issued_s, time);
      printf ("%s %s number %" PRIu64 " by %s at %s\n", order.domain.data,
              order.out ? "out" : "in", order.number, order.operator_name.data,
              time);
    }
  if (ctl->settings->json && status == CTL_EXIT_OK)
    ctl_print_json (json_incref (array));
  json_decref (array);
  if (keys != NULL)
    g_ptr_array_unref (keys);
  return status;
}

static int
compare_revision_ (const void *left, const void *right)
{
  const struct ctl_key *a = *(struct ctl_key *const *)left;
  const struct ctl_key *b = *(struct ctl_key *const *)right;

  return a->mod_revision < b->mod_revision ? -1
                                           : a->mod_revision > b->mod_revision;
}

static const char *
get_string_or_dash_ (const json_t *object, const char *name)
{
  const json_t *value = json_object_get (object, name);

  return json_is_string (value) ? json_string_value (value) : "-";
}

static int
run_audit_ (struct ctl *ctl)
{
  json_t *array = json_array ();
  char time[TIME_TEXT_BYTES];
  struct ctl_key *key;
  GPtrArray *keys;
  json_t *record;
  unsigned i;
  int status;

  status = read_keys_ (ctl, CTL_AUDIT_RING, &keys);
  if (keys != NULL)
    g_ptr_array_sort (keys, compare_revision_);
  for (i = 0; keys != NULL && i < keys->len; i++)
    {
      key = g_ptr_array_index (keys, i);
      record = json_loads (key->value, 0, NULL);
      if (strcmp (key->key, CTL_AUDIT_HEAD) != 0 && json_is_object (record))
        {
          json_object_set_new (record, "revision",
                               json_integer ((json_int_t)key->mod_revision));
          json_array_append (array, record);
          format_time_ ((int64_t)rgy_store_json_get_u64 (record, "time"),
                        time);
          if (!ctl->settings->json)
            printf ("%s revision %" PRIu64 " %s: %s %s\n", time,
                    key->mod_revision,
                    get_string_or_dash_ (record, "operator"),
                    get_string_or_dash_ (record, "action"),
                    get_string_or_dash_ (record, "name"));
        }
      json_decref (record);
    }
  if (ctl->settings->json && status == CTL_EXIT_OK)
    ctl_print_json (json_incref (array));
  json_decref (array);
  if (keys != NULL)
    g_ptr_array_unref (keys);
  return status;
}

/* Prints one line with the members of STATUS; for a list, only the number
   of its elements.  */
static void
print_status_ (const char *endpoint, const json_t *status)
{
  const char *name;
  json_t *value;
  char *text;

  printf ("%s", endpoint);
  json_object_foreach ((json_t *)status, name, value)
  {
    if (json_is_array (value))
      printf (" %s=%zu", name, json_array_size (value));
    else if (json_is_string (value))
      printf (" %s=%s", name, json_string_value (value));
    else
      {
        text = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
        printf (" %s=%s", name, text);
        free (text);
      }
  }
  putchar ('\n');
}

/* Keeps the most complete description of each agent: only the balancers that
   monitor an agent report its load.  */
static void
collect_agents_ (json_t *agents, const json_t *status)
{
  json_t *agent;
  size_t i;

  json_array_foreach (json_object_get (status, "agents"), i, agent)
  {
    const char *id = json_string_value (json_object_get (agent, "id"));
    json_t *known = id == NULL ? NULL : json_object_get (agents, id);

    if (id != NULL
        && (known == NULL
            || json_object_size (agent) > json_object_size (known)))
      json_object_set (agents, id, agent);
  }
}

static const char *
get_text_ (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text == NULL ? "-" : text;
}

static void
print_agent_ (const json_t *agent)
{
  const json_t *flows = json_object_get (agent, "flows");
  const char *reason;
  json_t *count;

  printf ("agent %s state=%s domain=%s service=%s", get_text_ (agent, "id"),
          get_text_ (agent, "state"), get_text_ (agent, "domain"),
          get_text_ (agent, "service"));
  if (json_is_integer (flows))
    printf (" flows=%" JSON_INTEGER_FORMAT " running=%" JSON_INTEGER_FORMAT
            " limit=%" JSON_INTEGER_FORMAT,
            json_integer_value (flows),
            json_integer_value (json_object_get (agent, "running")),
            json_integer_value (json_object_get (agent, "limit")));
  json_object_foreach (json_object_get (agent, "refused"), reason, count)
      printf (" refused[%s]=%" JSON_INTEGER_FORMAT, reason,
              json_integer_value (count));
  putchar ('\n');
}

static void
print_agents_ (json_t *agents)
{
  const char *id;
  json_t *agent;

  json_object_foreach (agents, id, agent) print_agent_ (agent);
}

static int
run_status_ (struct ctl *ctl)
{
  json_t *agents = json_object ();
  json_t *array = json_array ();
  int result = CTL_EXIT_OK;
  enum rgy_outcome rc;
  const char *endpoint;
  json_t *answer;
  long status;
  char *url;
  size_t i;

  for (i = 0; ctl->settings->balancers[i] != NULL; i++)
    {
      endpoint = ctl->settings->balancers[i];
      url = g_strdup_printf ("http://%s/v1/status", endpoint);
      rc = ctl_http (url, NULL, NULL, ctl->settings->timeout_ms, &answer,
                     &status);
      g_free (url);
      if (rc != RGY_OK || !json_is_object (answer))
        {
          fprintf (stderr, "ragwortyokectl: balancer %s does not answer\n",
                   endpoint);
          json_decref (answer);
          answer = json_pack ("{s:s}", "error", "no answer");
          result = CTL_EXIT_UNAVAILABLE;
        }
      else if (!ctl->settings->json)
        print_status_ (endpoint, answer);
      collect_agents_ (agents, answer);
      json_object_set_new (answer, "endpoint", json_string (endpoint));
      json_array_append_new (array, answer);
    }
  if (ctl->settings->json)
    ctl_print_json (json_incref (array));
  else
    print_agents_ (agents);
  json_decref (agents);
  json_decref (array);
  return result;
}

int
ctl_run_read (struct ctl *ctl)
{
  switch (ctl->settings->command)
    {
    case CTL_CONTRACT_GET:
    case CTL_CONTRACT_LIST:
    case CTL_CONTRACT_HISTORY:
      return run_contracts_ (ctl);
    case CTL_DOMAIN_LIST:
      return run_domains_ (ctl);
    case CTL_AUDIT:
      return run_audit_ (ctl);
    case CTL_STATUS:
      return run_status_ (ctl);
    default:
      return CTL_EXIT_USAGE;
    }
}
