#include "private/ctl_settings.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "ragwortyoke-io/man.h"
#include "ragwortyoke/address.h"

#define DEFAULT_TIMEOUT_MS 6000
#define MIN_TIMEOUT_MS 100
#define MAX_TIMEOUT_MS 600000
#define MIN_TOKEN_BYTES 8
#define MAX_TOKEN_BYTES 128

const char *const ctl_command_string[] = {
  [CTL_CONTRACT_PUT] = "contract put",
  [CTL_CONTRACT_GET] = "contract get",
  [CTL_CONTRACT_LIST] = "contract list",
  [CTL_CONTRACT_DELETE] = "contract delete",
  [CTL_CONTRACT_HISTORY] = "contract history",
  [CTL_DOMAIN_OUT] = "domain out",
  [CTL_DOMAIN_IN] = "domain in",
  [CTL_DOMAIN_LIST] = "domain list",
  [CTL_STATUS] = "status",
  [CTL_AUDIT] = "audit",
};

static const char *const exit_string_[] = {
  [CTL_EXIT_OK] = "done",
  [CTL_EXIT_USAGE] = "usage or invalid input",
  [CTL_EXIT_CONFLICT] = "conflict",
  [CTL_EXIT_UNAVAILABLE] = "store or balancer unavailable",
  [CTL_EXIT_UNCONFIRMED] = "not confirmed everywhere in time",
  [CTL_EXIT_NOT_FOUND] = "not found",
};

#define ENVIRONMENT_HELP                                                      \
  "Each option that takes a value, except --expect-revision, can also be "    \
  "set by an environment variable, for example RAGWORTYOKE_STORE."

struct command_
{
  const char *argument; /* NULL when the command has no argument.  */
  bool store;
  bool balancers;
  bool writes;
  const char *summary;
};

static const struct command_ commands_[] = {
  [CTL_CONTRACT_PUT]
  = { "FILE", true, false, true,
      "Validate a contract file (\"-\" for standard input), write it and wait "
      "until it is in effect everywhere." },
  [CTL_CONTRACT_GET] = { "CUSTOMER", true, false, false, "Print a contract." },
  [CTL_CONTRACT_LIST] = { NULL, true, false, false, "List all contracts." },
  [CTL_CONTRACT_DELETE] = { "CUSTOMER", true, false, true,
                            "Delete a contract and wait until no instance "
                            "uses it." },
  [CTL_CONTRACT_HISTORY] = { "CUSTOMER", true, false, false,
                             "Print the last 20 earlier versions of a "
                             "contract." },
  [CTL_DOMAIN_OUT] = { "NAME", true, false, true,
                       "Take a failure domain out of service.  The order is "
                       "sent directly to the balancers when the store does "
                       "not answer." },
  [CTL_DOMAIN_IN]
  = { "NAME", true, false, true, "Bring a failure domain back into service." },
  [CTL_DOMAIN_LIST]
  = { NULL, true, false, false, "List the failure domain orders." },
  [CTL_STATUS] = { NULL, false, true, false,
                   "Print the status of each balancer in --balancers." },
  [CTL_AUDIT] = { NULL, true, false, false,
                  "Print the last 1,000 changes, oldest first." },
};

/* Settings as given on the command line or in the environment,
   not yet validated.  */
struct raw_settings_
{
  char *store;
  char *balancers;
  char *operator_token;
  char *operator_name;
  char *timeout_ms;
  char *expected;
  gboolean json;
  gboolean no_wait;
  gboolean help;
  gboolean man;
  char **words;
};

static enum rgy_outcome set_error_ (struct rgy_check_error *error,
                                    const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static enum rgy_outcome
set_error_ (struct rgy_check_error *error, const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  g_vsnprintf (error->text, sizeof error->text, format, ap);
  va_end (ap);
  return RGY_ERR_INVALID;
}

static enum rgy_outcome
check_endpoints_ (const char *setting, const char *text, char ***list,
                  struct rgy_check_error *error)
{
  struct rgy_endpoint endpoint;
  char **parts = g_strsplit (text, ",", 0);
  size_t i;

  for (i = 0; parts[i] != NULL; i++)
    if (rgy_endpoint_parse (rgy_str_from_c (g_strstrip (parts[i])), &endpoint)
        != RGY_OK)
      break;
  if (i == 0 || parts[i] != NULL)
    {
      g_strfreev (parts);
      return set_error_ (error,
                         "%s is \"%s\", must be a comma-separated list of "
                         "A.B.C.D:PORT with ports 1 to 65535",
                         setting, text);
    }
  *list = parts;
  return RGY_OK;
}

static enum rgy_outcome
check_number_ (const char *setting, const char *text, uint64_t min,
               uint64_t max, uint64_t *number, struct rgy_check_error *error)
{
  guint64 n = 0;

  if (!g_ascii_string_to_unsigned (text, 10, min, max, &n, NULL))
    return set_error_ (error,
                       "%s is \"%s\", must be a number from %" G_GUINT64_FORMAT
                       " to %" G_GUINT64_FORMAT,
                       setting, text, min, max);
  *number = n;
  return RGY_OK;
}

static enum rgy_outcome
check_token_ (const char *text, struct rgy_check_error *error)
{
  size_t len = strlen (text);
  size_t i;

  for (i = 0; i < len && g_ascii_isgraph (text[i]); i++)
    continue;
  if (i < len || len < MIN_TOKEN_BYTES || len > MAX_TOKEN_BYTES)
    return set_error_ (error,
                       "--operator-token (value not shown) must be %d to %d "
                       "printable ASCII characters without blanks",
                       MIN_TOKEN_BYTES, MAX_TOKEN_BYTES);
  return RGY_OK;
}

static enum rgy_outcome
find_command_ (const struct raw_settings_ *raw, struct ctl_settings *settings,
               struct rgy_check_error *error)
{
  static char *no_words[] = { NULL };
  char **line = raw->words != NULL ? raw->words : no_words;
  unsigned given = g_strv_length (line);
  char **words;
  unsigned count;
  bool matches;
  unsigned i;
  int c;

  for (c = 0; c < CTL_COMMAND_COUNT; c++)
    {
      words = g_strsplit (ctl_command_string[c], " ", 0);
      count = g_strv_length (words);
      matches = given >= count;
      for (i = 0; matches && i < count; i++)
        matches = strcmp (words[i], line[i]) == 0;
      g_strfreev (words);
      if (!matches)
        continue;
      settings->command = (enum ctl_command)c;
      if (raw->help)
        return RGY_OK;
      if (given - count != (commands_[c].argument != NULL ? 1 : 0))
        return set_error_ (
            error, "%s takes %s, got %u arguments", ctl_command_string[c],
            commands_[c].argument != NULL ? commands_[c].argument
                                          : "no argument",
            given - count);
      settings->argument = g_strdup (line[count]);
      return RGY_OK;
    }
  settings->command = CTL_COMMAND_COUNT;
  if (raw->help)
    return RGY_OK;
  return set_error_ (
      error,
      "\"%s\" is not a command, must be contract "
      "put|get|list|delete|history, domain out|in|list, status or "
      "audit",
      given == 0 ? "" : line[0]);
}

/* Validates the argument of commands that take a name.  */
static enum rgy_outcome
check_argument_ (const struct ctl_settings *settings,
                 struct rgy_check_error *error)
{
  const char *kind = commands_[settings->command].argument;
  struct rgy_name name;

  if (kind == NULL || settings->command == CTL_CONTRACT_PUT
      || rgy_name_set (&name, rgy_str_from_c (settings->argument)) == RGY_OK)
    return RGY_OK;
  return set_error_ (error,
                     "%s is \"%s\", must be 1 to %d characters a-z, A-Z, 0-9, "
                     "'-', '_' and '.'",
                     kind, settings->argument, RGY_NAME_MAX_BYTES);
}

static enum rgy_outcome
check_operator_ (const struct raw_settings_ *raw,
                 struct ctl_settings *settings, struct rgy_check_error *error)
{
  struct rgy_name name;

  if (raw->operator_name == NULL)
    return set_error_ (
        error, "--operator is not set, must be the name of the operator "
               "for the audit record");
  if (rgy_name_set (&name, rgy_str_from_c (raw->operator_name)) != RGY_OK)
    return set_error_ (
        error,
        "--operator is \"%s\", must be 1 to %d characters a-z, A-Z, "
        "0-9, '-', '_' and '.'",
        raw->operator_name, RGY_NAME_MAX_BYTES);
  settings->operator_name = g_strdup (raw->operator_name);
  return RGY_OK;
}

static enum rgy_outcome
check_settings_ (const struct raw_settings_ *raw,
                 struct ctl_settings *settings, struct rgy_check_error *error)
{
  const struct command_ *command = &commands_[settings->command];
  enum rgy_outcome rc = check_argument_ (settings, error);
  uint64_t number = DEFAULT_TIMEOUT_MS;

  if (rc == RGY_OK && raw->store != NULL)
    rc = check_endpoints_ ("--store", raw->store, &settings->stores, error);
  else if (rc == RGY_OK && command->store)
    rc = set_error_ (error,
                     "--store is not set, must be a comma-separated list "
                     "of A.B.C.D:PORT");
  if (rc == RGY_OK && raw->balancers != NULL)
    rc = check_endpoints_ ("--balancers", raw->balancers, &settings->balancers,
                           error);
  else if (rc == RGY_OK
           && (command->balancers || (command->writes && !raw->no_wait)))
    rc = set_error_ (error,
                     "--balancers is not set, must be a comma-separated "
                     "list of A.B.C.D:PORT%s",
                     command->writes ? " unless --no-wait is given" : "");
  if (rc == RGY_OK && command->writes)
    rc = check_operator_ (raw, settings, error);
  if (rc == RGY_OK && raw->operator_token != NULL)
    rc = check_token_ (raw->operator_token, error);
  if (rc == RGY_OK && raw->timeout_ms != NULL)
    rc = check_number_ ("--timeout-ms", raw->timeout_ms, MIN_TIMEOUT_MS,
                        MAX_TIMEOUT_MS, &number, error);
  settings->timeout_ms = (unsigned)number;
  settings->operator_token = g_strdup (raw->operator_token);
  settings->json = raw->json;
  settings->no_wait = raw->no_wait;
  if (rc == RGY_OK && raw->expected != NULL)
    {
      if (settings->command != CTL_CONTRACT_PUT
          && settings->command != CTL_CONTRACT_DELETE)
        return set_error_ (error,
                           "--expect-revision is \"%s\", allowed only for "
                           "contract put and contract delete",
                           raw->expected);
      settings->has_expected = true;
      rc = check_number_ ("--expect-revision", raw->expected, 0, INT64_MAX,
                          &settings->expected, error);
    }
  return rc;
}

/* Reads a setting from the environment unless a flag has set it.  */
static void
use_environment_ (char **text, const char *variable)
{
  const char *value = getenv (variable);

  if (*text == NULL && value != NULL && value[0] != '\0')
    *text = g_strdup (value);
}

static char *
format_help_ (GOptionContext *context, enum ctl_command command)
{
  GString *text = g_string_new ("Usage: ragwortyokectl ");
  char *options = g_option_context_get_help (context, TRUE, NULL);
  const char *body = strchr (options, '\n');
  size_t i;
  int c;

  if (command < CTL_COMMAND_COUNT)
    g_string_append_printf (
        text, "%s%s%s [OPTION...]\n\n%s\n", ctl_command_string[command],
        commands_[command].argument != NULL ? " " : "",
        commands_[command].argument != NULL ? commands_[command].argument : "",
        commands_[command].summary);
  else
    {
      g_string_append (text, "COMMAND [OPTION...]\n\nCommands:\n");
      for (c = 0; c < CTL_COMMAND_COUNT; c++)
        g_string_append_printf (
            text, "  %s %s\n", ctl_command_string[c],
            commands_[c].argument != NULL ? commands_[c].argument : "");
    }
  g_string_append (text, body == NULL ? "" : body);
  g_string_append (text, ENVIRONMENT_HELP "\n\nExit status:\n");
  for (i = 0; i < G_N_ELEMENTS (exit_string_); i++)
    g_string_append_printf (text, "  %zu %s\n", i, exit_string_[i]);
  g_free (options);
  return g_string_free (text, FALSE);
}

/* Formats the manual page; free the result with g_free().  */
static char *
format_man_ (const GOptionEntry *entries)
{
  GString *page = g_string_new (NULL);
  const GOptionEntry *e;
  char *status;
  size_t i;
  int c;

  rgy_man_title (page, "ragwortyokectl",
                 "contracts and failure domains of ragwortyoke");
  rgy_man_section (page, "SYNOPSIS");
  g_string_append (page, ".B ragwortyokectl\n"
                         "\\fIcommand\\fR [\\fIoption\\fR]...\n");
  rgy_man_section (page, "COMMANDS");
  for (c = 0; c < CTL_COMMAND_COUNT; c++)
    rgy_man_item (page, ctl_command_string[c], commands_[c].argument,
                  commands_[c].summary);
  rgy_man_section (page, "OPTIONS");
  for (e = entries; e->long_name != NULL; e++)
    if (e->description != NULL)
      rgy_man_flag (page, e->long_name, e->short_name, e->arg_description,
                    e->description);
  rgy_man_paragraph (page, ENVIRONMENT_HELP);
  rgy_man_section (page, "EXIT STATUS");
  for (i = 0; i < G_N_ELEMENTS (exit_string_); i++)
    {
      status = g_strdup_printf ("%zu", i);
      rgy_man_item (page, status, NULL, exit_string_[i]);
      g_free (status);
    }
  rgy_man_section (page, "SEE ALSO");
  g_string_append (page, ".BR ragwortyoked (8)\n");
  return g_string_free (page, FALSE);
}

enum rgy_outcome
ctl_settings_parse (char **argv, struct ctl_settings *settings, char **help,
                    struct rgy_check_error *error)
{
  struct raw_settings_ raw = { 0 };
  const GOptionEntry entries[] = {
    { "store", 0, 0, G_OPTION_ARG_STRING, &raw.store,
      "Endpoints of the key-value service", "LIST" },
    { "balancers", 0, 0, G_OPTION_ARG_STRING, &raw.balancers,
      "HTTP endpoints of balancers", "LIST" },
    { "operator", 0, 0, G_OPTION_ARG_STRING, &raw.operator_name,
      "Name of the operator, for the audit record", "NAME" },
    { "operator-token", 0, 0, G_OPTION_ARG_STRING, &raw.operator_token,
      "Token for orders sent directly to balancers", "TOKEN" },
    { "timeout-ms", 0, 0, G_OPTION_ARG_STRING, &raw.timeout_ms,
      "Time to wait until a change is in effect everywhere (6000)", "MS" },
    { "expect-revision", 0, 0, G_OPTION_ARG_STRING, &raw.expected,
      "Change the contract only if its revision is N; with 0, only if there "
      "is no contract",
      "N" },
    { "no-wait", 0, 0, G_OPTION_ARG_NONE, &raw.no_wait,
      "Do not wait until a change is in effect everywhere", NULL },
    { "json", 0, 0, G_OPTION_ARG_NONE, &raw.json, "Print JSON", NULL },
    { "help", 'h', 0, G_OPTION_ARG_NONE, &raw.help, "Print this help", NULL },
    { "man", 0, G_OPTION_FLAG_HIDDEN, G_OPTION_ARG_NONE, &raw.man, NULL,
      NULL },
    { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &raw.words, NULL,
      NULL },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new (NULL);
  char **args = g_strdupv (argv);
  GError *problem = NULL;
  enum rgy_outcome rc;

  *settings = (struct ctl_settings){ 0 };
  *help = NULL;
  g_option_context_set_help_enabled (context, FALSE);
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse_strv (context, &args, &problem))
    {
      rc = set_error_ (error, "%s", problem->message);
      g_clear_error (&problem);
    }
  else if (raw.man)
    {
      *help = format_man_ (entries);
      rc = RGY_ERR_UNSUPPORTED;
    }
  else
    {
      rc = find_command_ (&raw, settings, error);
      if (rc == RGY_OK && raw.help)
        {
          *help = format_help_ (context, settings->command);
          rc = RGY_ERR_UNSUPPORTED;
        }
    }
  if (rc == RGY_OK)
    {
      use_environment_ (&raw.store, "RAGWORTYOKE_STORE");
      use_environment_ (&raw.balancers, "RAGWORTYOKE_BALANCERS");
      use_environment_ (&raw.operator_name, "RAGWORTYOKE_OPERATOR");
      use_environment_ (&raw.operator_token, "RAGWORTYOKE_OPERATOR_TOKEN");
      use_environment_ (&raw.timeout_ms, "RAGWORTYOKE_TIMEOUT_MS");
      rc = check_settings_ (&raw, settings, error);
    }
  if (rc != RGY_OK)
    ctl_settings_finish (settings);
  g_option_context_free (context);
  g_strfreev (args);
  g_free (raw.store);
  g_free (raw.balancers);
  g_free (raw.operator_token);
  g_free (raw.operator_name);
  g_free (raw.timeout_ms);
  g_free (raw.expected);
  g_strfreev (raw.words);
  return rc;
}

void
ctl_settings_finish (struct ctl_settings *settings)
{
  g_free (settings->argument);
  g_strfreev (settings->stores);
  g_strfreev (settings->balancers);
  g_free (settings->operator_token);
  g_free (settings->operator_name);
  *settings = (struct ctl_settings){ 0 };
}
