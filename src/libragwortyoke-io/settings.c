#include "ragwortyoke-io/settings.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ragwortyoke-io/man.h"

#define PROGRAM "ragwortyoked"
#define ENV_PREFIX "RAGWORTYOKE_"
#define SHOWN_VALUE_MAX_BYTES 64
#define STORE_MAX_ENDPOINTS 16
#define TOKEN_MIN_BYTES 8
#define TOKEN_MAX_BYTES 256
#define DRAIN_TIMEOUT_MAX_MS 3600000

const char *const rgy_role_string[] = {
  [RGY_ROLE_BALANCER] = "balancer",
  [RGY_ROLE_AGENT] = "agent",
};
#define ROLE_COUNT G_N_ELEMENTS (rgy_role_string)

static const char *const role_summary_[] = {
  [RGY_ROLE_BALANCER] = "forward datagrams from the fabric to agents",
  [RGY_ROLE_AGENT] = "own the flows and requests of one backend server",
};

/* Help texts of flags without a value.  */
#define CHECK_HELP "print the effective settings and exit"
#define HELP_HELP "print this text"
#define VERSION_HELP "print the version"
#define FLAGS_SUMMARY                                                         \
  "Each flag can be set by the environment variable in brackets; the flag "   \
  "takes precedence."
#define SECRETS_SUMMARY                                                       \
  "Prefer the environment for secrets: flags are visible to other users."

#define FOR_BALANCER (1U << RGY_ROLE_BALANCER)
#define FOR_AGENT (1U << RGY_ROLE_AGENT)
#define FOR_BOTH (FOR_BALANCER | FOR_AGENT)

enum setting_kind_
{
  KIND_NAME,
  KIND_ENDPOINT, /* Sent to other processes or used as a destination.  */
  KIND_BIND,     /* Only bound, so that 0.0.0.0 is allowed.  */
  KIND_STORE,
  KIND_SEEDS,
  KIND_KEY,
  KIND_TOKEN,
  KIND_LEVEL,
  KIND_NUMBER
};

struct setting_
{
  const char *name;
  unsigned roles; /* Bit mask of FOR_* values.  */
  bool required;
  enum setting_kind_ kind;
  size_t offset; /* Offset of the member of struct rgy_settings.  */
  unsigned min;  /* Only KIND_NUMBER uses min, max and defaults.  */
  unsigned max;
  unsigned defaults[ROLE_COUNT];
  const char *argument;
  const char *help;
};

#define MEMBER(member) .offset = offsetof (struct rgy_settings, member)

static const struct setting_ setting_table_[] = {
  { "id", FOR_BOTH, true, KIND_NAME, MEMBER (id), .argument = "NAME",
    .help = "unique name of this instance" },
  { "domain", FOR_BOTH, true, KIND_NAME, MEMBER (domain), .argument = "NAME",
    .help = "failure domain of this instance" },
  { "listen", FOR_BOTH, true, KIND_ENDPOINT, MEMBER (listen),
    .argument = "IP:PORT", .help = "UDP address for other instances" },
  { "http", FOR_BOTH, true, KIND_BIND, MEMBER (http), .argument = "IP:PORT",
    .help = "TCP address of the HTTP endpoint" },
  { "store", FOR_BOTH, true, KIND_STORE, MEMBER (store),
    .argument = "IP:PORT[,...]", .help = "key-value service" },
  { "seeds", FOR_BOTH, false, KIND_SEEDS, MEMBER (seeds),
    .argument = "IP:PORT[,...]",
    .help = "--listen addresses of some balancers" },
  { "cluster-key", FOR_BOTH, true, KIND_KEY, MEMBER (cluster_key),
    .argument = "HEX", .help = "key shared by all instances" },
  { "log-level", FOR_BOTH, false, KIND_LEVEL, MEMBER (log_level),
    .argument = "LEVEL", .help = "lowest severity that is logged" },
  { "drain-timeout-ms", FOR_BOTH, false, KIND_NUMBER,
    MEMBER (drain_timeout_ms), .min = 0, .max = DRAIN_TIMEOUT_MAX_MS,
    .defaults = { [RGY_ROLE_BALANCER] = 5000, [RGY_ROLE_AGENT] = 60000 },
    .argument = "MS", .help = "maximum duration of a graceful shutdown" },

  { "fabric-listen", FOR_BALANCER, true, KIND_BIND, MEMBER (fabric_listen),
    .argument = "IP:PORT",
    .help = "UDP address for datagrams from the fabric" },
  { "fabric", FOR_BALANCER, true, KIND_ENDPOINT, MEMBER (fabric),
    .argument = "IP:PORT",
    .help = "fabric address to which responses are sent" },
  { "sync", FOR_BALANCER, true, KIND_ENDPOINT, MEMBER (sync),
    .argument = "IP:PORT", .help = "TCP address for bulk state transfer" },
  { "operator-token", FOR_BALANCER, true, KIND_TOKEN, MEMBER (operator_token),
    .argument = "TEXT",
    .help = "token that operators' HTTP requests must carry" },

  { "service", FOR_AGENT, true, KIND_ENDPOINT, MEMBER (service),
    .argument = "IP:PORT", .help = "service address of the backend server" },
  { "backend", FOR_AGENT, true, KIND_ENDPOINT, MEMBER (backend),
    .argument = "IP:PORT", .help = "UDP address of the backend server" },
  { "slots", FOR_AGENT, false, KIND_NUMBER, MEMBER (slots), .min = 1,
    .max = 1024, .defaults = { [RGY_ROLE_AGENT] = 4 }, .argument = "N",
    .help = "maximum number of requests in execution" },
  { "connections", FOR_AGENT, false, KIND_NUMBER, MEMBER (connections),
    .min = 1, .max = 65536, .defaults = { [RGY_ROLE_AGENT] = 2000 },
    .argument = "N", .help = "maximum number of open flows" },
  { "queue", FOR_AGENT, false, KIND_NUMBER, MEMBER (queue), .min = 0,
    .max = 1024, .defaults = { [RGY_ROLE_AGENT] = 16 }, .argument = "N",
    .help = "maximum number of requests that wait for a slot" },
  { "deadline-ms", FOR_AGENT, false, KIND_NUMBER, MEMBER (deadline_ms),
    .min = 1, .max = 60000, .defaults = { [RGY_ROLE_AGENT] = 2000 },
    .argument = "MS", .help = "deadline of requests that specify none" },
  { "idle-timeout-s", FOR_AGENT, false, KIND_NUMBER, MEMBER (idle_timeout_s),
    .min = 1, .max = 604800, .defaults = { [RGY_ROLE_AGENT] = 86400 },
    .argument = "S", .help = "time after which an idle flow expires" },
};
#define SETTING_COUNT G_N_ELEMENTS (setting_table_)

static const char *const log_levels_[]
    = { "error", "warning", "info", "debug", NULL };
#define DEFAULT_LOG_LEVEL "info"

static void *
get_member_ (struct rgy_settings *settings, const struct setting_ *s)
{
  return (char *)settings + s->offset;
}

static const void *
get_const_member_ (const struct rgy_settings *settings,
                   const struct setting_ *s)
{
  return (const char *)settings + s->offset;
}

static bool
is_secret_ (const struct setting_ *s)
{
  return s->kind == KIND_KEY || s->kind == KIND_TOKEN;
}

static char *
get_env_name_ (const struct setting_ *s)
{
  char *upper = g_ascii_strup (s->name, -1);
  char *name = g_strconcat (ENV_PREFIX, g_strdelimit (upper, "-", '_'), NULL);

  g_free (upper);
  return name;
}

/* Describes the allowed values of a setting, for error messages and help.  To
   be freed with g_free().  */
static char *
describe_allowed_values_ (const struct setting_ *s)
{
  switch (s->kind)
    {
    case KIND_NAME:
      return g_strdup_printf ("1 to %d characters from a-z, A-Z, 0-9, "
                              "'-', '_' and '.'",
                              RGY_NAME_MAX_BYTES);
    case KIND_ENDPOINT:
      return g_strdup ("A.B.C.D:PORT, not 0.0.0.0, port 1 to 65535");
    case KIND_BIND:
      return g_strdup ("A.B.C.D:PORT, port 1 to 65535");
    case KIND_STORE:
      return g_strdup_printf ("1 to %d different A.B.C.D:PORT, separated by "
                              "commas",
                              STORE_MAX_ENDPOINTS);
    case KIND_SEEDS:
      return g_strdup_printf ("1 to %d different A.B.C.D:PORT, separated by "
                              "commas",
                              RGY_SETTINGS_MAX_SEEDS);
    case KIND_KEY:
      return g_strdup_printf ("%d hexadecimal digits", 2 * RGY_WIRE_KEY_BYTES);
    case KIND_TOKEN:
      return g_strdup_printf ("%d to %d printable ASCII characters without "
                              "spaces",
                              TOKEN_MIN_BYTES, TOKEN_MAX_BYTES);
    case KIND_LEVEL:
      return g_strdup ("error, warning, info or debug");
    case KIND_NUMBER:
      return g_strdup_printf ("an integer from %u to %u", s->min, s->max);
    }
  g_assert_not_reached ();
}

/* Parses a comma-separated list of 1 to MAX different endpoints.  */
static enum rgy_outcome
parse_endpoint_list_ (const char *text, size_t max,
                      struct rgy_endpoint *endpoints, size_t *count)
{
  char **parts = g_strsplit (text, ",", -1);
  enum rgy_outcome rc = RGY_ERR_INVALID;
  size_t n = g_strv_length (parts);
  size_t i;
  size_t k;

  if (n == 0 || n > max)
    goto out;
  for (i = 0; i < n; i++)
    {
      if (rgy_endpoint_parse (rgy_str_from_c (parts[i]), &endpoints[i])
              != RGY_OK
          || endpoints[i].ip == 0)
        goto out;
      for (k = 0; k < i; k++)
        if (rgy_endpoint_equal (endpoints[k], endpoints[i]))
          goto out;
    }
  *count = n;
  rc = RGY_OK;

out:
  g_strfreev (parts);
  return rc;
}

static enum rgy_outcome
parse_cluster_key_ (const char *text, uint8_t *key)
{
  size_t i;

  if (strlen (text) != (size_t)2 * RGY_WIRE_KEY_BYTES)
    return RGY_ERR_INVALID;
  for (i = 0; i < RGY_WIRE_KEY_BYTES; i++)
    {
      int high = g_ascii_xdigit_value (text[2 * i]);
      int low = g_ascii_xdigit_value (text[2 * i + 1]);

      if (high < 0 || low < 0)
        return RGY_ERR_INVALID;
      key[i] = (uint8_t)(high << 4 | low);
    }
  return RGY_OK;
}

static enum rgy_outcome
check_operator_token_ (const char *text)
{
  size_t len = strlen (text);
  size_t i;

  if (len < TOKEN_MIN_BYTES || len > TOKEN_MAX_BYTES)
    return RGY_ERR_INVALID;
  for (i = 0; i < len; i++)
    if (!g_ascii_isgraph (text[i]))
      return RGY_ERR_INVALID;
  return RGY_OK;
}

static enum rgy_outcome
parse_number_ (const struct setting_ *s, const char *text, unsigned *number)
{
  guint64 value = 0;

  if (!g_ascii_string_to_unsigned (text, 10, s->min, s->max, &value, NULL))
    return RGY_ERR_INVALID;
  *number = (unsigned)value;
  return RGY_OK;
}

static enum rgy_outcome
parse_value_ (const struct setting_ *s, const char *text,
              struct rgy_settings *settings)
{
  struct rgy_endpoint store[STORE_MAX_ENDPOINTS];
  enum rgy_outcome rc = RGY_ERR_INVALID;
  void *member = get_member_ (settings, s);
  size_t count = 0;

  switch (s->kind)
    {
    case KIND_NAME:
      return rgy_name_set (member, rgy_str_from_c (text));
    case KIND_ENDPOINT:
    case KIND_BIND:
      rc = rgy_endpoint_parse (rgy_str_from_c (text), member);
      if (rc == RGY_OK && s->kind == KIND_ENDPOINT
          && ((struct rgy_endpoint *)member)->ip == 0)
        rc = RGY_ERR_INVALID;
      return rc;
    case KIND_SEEDS:
      return parse_endpoint_list_ (text, RGY_SETTINGS_MAX_SEEDS, member,
                                   &settings->seed_count);
    case KIND_KEY:
      return parse_cluster_key_ (text, member);
    case KIND_NUMBER:
      return parse_number_ (s, text, member);
    case KIND_STORE:
      rc = parse_endpoint_list_ (text, STORE_MAX_ENDPOINTS, store, &count);
      break;
    case KIND_TOKEN:
      rc = check_operator_token_ (text);
      break;
    case KIND_LEVEL:
      rc = g_strv_contains (log_levels_, text) ? RGY_OK : RGY_ERR_INVALID;
      break;
    }
  if (rc == RGY_OK)
    *(char **)member = g_strdup (text);
  return rc;
}

static void set_error_ (struct rgy_check_error *error, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
set_error_ (struct rgy_check_error *error, const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  g_vsnprintf (error->text, sizeof error->text, format, ap);
  va_end (ap);
}

/* Formats a value for an error message: escaped and shortened; a secret is
   replaced by its length.  To be freed with g_free().  */
static char *
format_shown_value_ (const struct setting_ *s, const char *text)
{
  char *escaped;
  char *shown;

  if (is_secret_ (s))
    return g_strdup_printf ("(%zu characters)", strlen (text));
  escaped = g_strescape (text, NULL);
  if (strlen (escaped) > SHOWN_VALUE_MAX_BYTES)
    shown = g_strdup_printf ("\"%.*s...\"", SHOWN_VALUE_MAX_BYTES, escaped);
  else
    shown = g_strdup_printf ("\"%s\"", escaped);
  g_free (escaped);
  return shown;
}

/* Sets one member from its flag, from its environment variable or to its
   default, in this order of precedence.  An empty environment variable counts
   as not set.  */
static enum rgy_outcome
apply_setting_ (const struct setting_ *s, const char *flag,
                struct rgy_settings *settings, struct rgy_check_error *error)
{
  char *env = get_env_name_ (s);
  char *allowed = describe_allowed_values_ (s);
  const char *text = flag != NULL ? flag : g_getenv (env);
  enum rgy_outcome rc = RGY_OK;
  char *shown;

  if (flag == NULL && text != NULL && *text == '\0')
    text = NULL;
  if (text != NULL)
    {
      rc = parse_value_ (s, text, settings);
      if (rc != RGY_OK)
        {
          shown = format_shown_value_ (s, text);
          set_error_ (error, "%s%s: %s: must be %s", flag != NULL ? "--" : "",
                      flag != NULL ? s->name : env, shown, allowed);
          g_free (shown);
        }
    }
  else if (s->required)
    {
      set_error_ (error, "--%s (or %s): not set: must be %s", s->name, env,
                  allowed);
      rc = RGY_ERR_INVALID;
    }
  else if (s->kind == KIND_NUMBER)
    *(unsigned *)get_member_ (settings, s) = s->defaults[settings->role];
  else if (s->kind == KIND_LEVEL)
    *(char **)get_member_ (settings, s) = g_strdup (DEFAULT_LOG_LEVEL);
  g_free (env);
  g_free (allowed);
  return rc;
}

/* Checks that no two sockets of one process use the same address.  */
static enum rgy_outcome
check_distinct_sockets_ (const struct rgy_settings *settings,
                         struct rgy_check_error *error)
{
  char text[RGY_ENDPOINT_TEXT_BYTES];

  if (settings->role != RGY_ROLE_BALANCER)
    return RGY_OK;
  if (rgy_endpoint_equal (settings->listen, settings->fabric_listen))
    {
      set_error_ (error, "--fabric-listen: \"%s\": must differ from --listen",
                  rgy_endpoint_format (settings->fabric_listen, text));
      return RGY_ERR_INVALID;
    }
  if (rgy_endpoint_equal (settings->http, settings->sync))
    {
      set_error_ (error, "--sync: \"%s\": must differ from --http",
                  rgy_endpoint_format (settings->sync, text));
      return RGY_ERR_INVALID;
    }
  return RGY_OK;
}

/* Appends the default; when the defaults of the roles in ROLES differ,
   one for each role.  */
static void
append_defaults_ (GString *text, const struct setting_ *s, unsigned roles)
{
  bool differ = false;
  const char *separator = "; default ";
  unsigned role;

  if (s->kind == KIND_LEVEL)
    g_string_append (text, "; default " DEFAULT_LOG_LEVEL);
  if (s->kind != KIND_NUMBER)
    return;
  for (role = 1; role < ROLE_COUNT; role++)
    differ |= roles == FOR_BOTH && s->defaults[role] != s->defaults[0];
  for (role = 0; role < ROLE_COUNT; role++)
    {
      if ((roles & 1U << role) == 0)
        continue;
      g_string_append_printf (text, "%s%u", separator, s->defaults[role]);
      if (!differ)
        return;
      g_string_append_printf (text, " (%s)", rgy_role_string[role]);
      separator = ", ";
    }
}

/* Returns the help text of a setting for the roles in ROLES.
   To be freed with g_free().  */
static char *
describe_setting_ (const struct setting_ *s, unsigned roles)
{
  char *env = get_env_name_ (s);
  char *allowed = describe_allowed_values_ (s);
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "%s; %s", s->help, allowed);
  if (s->required)
    g_string_append (text, "; required");
  else
    append_defaults_ (text, s, roles);
  g_string_append_printf (text, " [%s]", env);
  g_free (env);
  g_free (allowed);
  return g_string_free (text, FALSE);
}

/* Flags of one role, as GLib option entries, and their values.  */
struct flags_
{
  GOptionEntry entries[SETTING_COUNT + 4];
  char *values[SETTING_COUNT];
  char *descriptions[SETTING_COUNT];
  gboolean check;
  gboolean help;
  gboolean version;
};

static void
flags_init_ (struct flags_ *flags, enum rgy_role role)
{
  size_t n = 0;
  size_t i;

  memset (flags, 0, sizeof *flags);
  for (i = 0; i < SETTING_COUNT; i++)
    {
      if ((setting_table_[i].roles & 1U << role) == 0)
        continue;
      flags->descriptions[i]
          = describe_setting_ (&setting_table_[i], 1U << role);
      flags->entries[n++]
          = (GOptionEntry){ .long_name = setting_table_[i].name,
                            .arg = G_OPTION_ARG_STRING,
                            .arg_data = &flags->values[i],
                            .description = flags->descriptions[i],
                            .arg_description = setting_table_[i].argument };
    }
  flags->entries[n++] = (GOptionEntry){ .long_name = "check",
                                        .arg_data = &flags->check,
                                        .description = CHECK_HELP };
  flags->entries[n++] = (GOptionEntry){ .long_name = "help",
                                        .short_name = 'h',
                                        .arg_data = &flags->help,
                                        .description = HELP_HELP };
  flags->entries[n++] = (GOptionEntry){ .long_name = "version",
                                        .arg_data = &flags->version,
                                        .description = VERSION_HELP };
}

static void
flags_finish_ (struct flags_ *flags)
{
  size_t i;

  for (i = 0; i < SETTING_COUNT; i++)
    {
      g_free (flags->values[i]);
      g_free (flags->descriptions[i]);
    }
}

static enum rgy_outcome
apply_flags_ (const struct flags_ *flags, struct rgy_settings *settings,
              struct rgy_check_error *error)
{
  enum rgy_outcome rc = RGY_OK;
  size_t i;

  settings->check_only = flags->check;
  for (i = 0; i < SETTING_COUNT && rc == RGY_OK; i++)
    if ((setting_table_[i].roles & 1U << settings->role) != 0)
      rc = apply_setting_ (&setting_table_[i], flags->values[i], settings,
                           error);
  if (rc == RGY_OK)
    rc = check_distinct_sockets_ (settings, error);
  return rc;
}

static enum rgy_outcome
parse_role_flags_ (int argc, char **argv, struct rgy_settings *settings,
                   struct rgy_check_error *error)
{
  const char *role = rgy_role_string[settings->role];
  char *program = g_strconcat (PROGRAM " ", role, NULL);
  GOptionContext *context = g_option_context_new (NULL);
  char **args = g_new0 (char *, (gsize)argc);
  struct flags_ flags;
  enum rgy_outcome rc = RGY_ERR_INVALID;
  GError *gerror = NULL;
  char *text;
  int i;

  flags_init_ (&flags, settings->role);
  args[0] = program;
  for (i = 2; i < argc; i++)
    args[i - 1] = g_strdup (argv[i]);
  g_option_context_set_help_enabled (context, FALSE);
  g_option_context_add_main_entries (context, flags.entries, NULL);
  g_option_context_set_summary (context, FLAGS_SUMMARY "\n" SECRETS_SUMMARY);
  g_set_prgname (PROGRAM);
  if (!g_option_context_parse_strv (context, &args, &gerror))
    {
      set_error_ (error, "%s %s: %s", PROGRAM, role, gerror->message);
      g_error_free (gerror);
    }
  else if (flags.help)
    {
      text = g_option_context_get_help (context, TRUE, NULL);
      fputs (text, stdout);
      g_free (text);
      rc = RGY_ERR_UNSUPPORTED;
    }
  else if (flags.version)
    {
      puts (PROGRAM " " RGY_VERSION);
      rc = RGY_ERR_UNSUPPORTED;
    }
  else if (args[1] != NULL)
    set_error_ (error, "\"%.*s\": unexpected argument: only flags are allowed",
                SHOWN_VALUE_MAX_BYTES, args[1]);
  else
    rc = apply_flags_ (&flags, settings, error);

  g_strfreev (args);
  g_option_context_free (context);
  flags_finish_ (&flags);
  return rc;
}

static void
print_usage_ (void)
{
  size_t role;

  puts ("Usage: " PROGRAM " balancer|agent [flags]\n");
  for (role = 0; role < ROLE_COUNT; role++)
    printf ("  %-10s %s\n", rgy_role_string[role], role_summary_[role]);
  puts ("\n"
        "\"" PROGRAM " balancer --help\" and \"" PROGRAM
        " agent --help\" list "
        "the flags.\n"
        "\"" PROGRAM " --version\" prints the version.");
}

/* Generation of the manual page.  */

static void
append_man_flags_ (GString *page, const char *title, unsigned roles)
{
  char *text;
  size_t i;

  rgy_man_section (page, title);
  for (i = 0; i < SETTING_COUNT; i++)
    if (setting_table_[i].roles == roles)
      {
        text = describe_setting_ (&setting_table_[i], roles);
        rgy_man_flag (page, setting_table_[i].name, '\0',
                      setting_table_[i].argument, text);
        g_free (text);
      }
}

char *
rgy_settings_format_man (void)
{
  GString *page = g_string_new (NULL);
  size_t role;

  rgy_man_title (page, PROGRAM, "layer-4 load balancer driven by contracts");
  rgy_man_section (page, "SYNOPSIS");
  g_string_append (page, ".B " PROGRAM "\n"
                         "\\fBbalancer\\fR|\\fBagent\\fR [\\fIflags\\fR]\n");
  rgy_man_section (page, "DESCRIPTION");
  rgy_man_paragraph (page, "The first argument selects the role of the "
                           "process:");
  for (role = 0; role < ROLE_COUNT; role++)
    rgy_man_item (page, rgy_role_string[role], NULL, role_summary_[role]);
  rgy_man_paragraph (page, FLAGS_SUMMARY " " SECRETS_SUMMARY);
  append_man_flags_ (page, "FLAGS OF BOTH ROLES", FOR_BOTH);
  rgy_man_flag (page, "check", '\0', NULL, CHECK_HELP);
  rgy_man_flag (page, "help", 'h', NULL, HELP_HELP);
  rgy_man_flag (page, "version", '\0', NULL, VERSION_HELP);
  append_man_flags_ (page, "FLAGS OF A BALANCER", FOR_BALANCER);
  append_man_flags_ (page, "FLAGS OF AN AGENT", FOR_AGENT);
  rgy_man_section (page, "SIGNALS");
  rgy_man_item (page, "SIGTERM, SIGINT", NULL,
                "start a graceful shutdown, which ends after "
                "--drain-timeout-ms at the latest");
  rgy_man_section (page, "EXIT STATUS");
  rgy_man_item (page, "0", NULL, "graceful shutdown, help or version");
  rgy_man_item (
      page, "1", NULL,
      "a setting is missing or invalid, or the process cannot start");
  rgy_man_section (page, "SEE ALSO");
  g_string_append (page, ".BR ragwortyokectl (8)\n");
  return g_string_free (page, FALSE);
}

enum rgy_outcome
rgy_settings_parse (int argc, char **argv, struct rgy_settings *settings,
                    struct rgy_check_error *error)
{
  const char *role = argc > 1 ? argv[1] : NULL;
  enum rgy_outcome rc;
  char *page;

  memset (settings, 0, sizeof *settings);
  memset (error, 0, sizeof *error);
  if (role == NULL)
    {
      set_error_ (error, "subcommand not set: must be balancer or agent");
      return RGY_ERR_INVALID;
    }
  if (strcmp (role, "--help") == 0 || strcmp (role, "-h") == 0)
    {
      print_usage_ ();
      return RGY_ERR_UNSUPPORTED;
    }
  if (strcmp (role, "--man") == 0)
    {
      page = rgy_settings_format_man ();
      fputs (page, stdout);
      g_free (page);
      return RGY_ERR_UNSUPPORTED;
    }
  if (strcmp (role, "--version") == 0)
    {
      puts (PROGRAM " " RGY_VERSION);
      return RGY_ERR_UNSUPPORTED;
    }
  if (strcmp (role, rgy_role_string[RGY_ROLE_BALANCER]) == 0)
    settings->role = RGY_ROLE_BALANCER;
  else if (strcmp (role, rgy_role_string[RGY_ROLE_AGENT]) == 0)
    settings->role = RGY_ROLE_AGENT;
  else
    {
      set_error_ (error, "subcommand: \"%.*s\": must be balancer or agent",
                  SHOWN_VALUE_MAX_BYTES, role);
      return RGY_ERR_INVALID;
    }
  rc = parse_role_flags_ (argc, argv, settings, error);
  if (rc != RGY_OK)
    rgy_settings_finish (settings);
  return rc;
}

void
rgy_settings_finish (struct rgy_settings *settings)
{
  g_free (settings->store);
  g_free (settings->log_level);
  g_free (settings->operator_token);
  memset (settings, 0, sizeof *settings);
}

static void
append_value_ (GString *text, const struct setting_ *s,
               const struct rgy_settings *settings)
{
  const void *member = get_const_member_ (settings, s);
  char buf[RGY_ENDPOINT_TEXT_BYTES];
  size_t i;

  switch (s->kind)
    {
    case KIND_NAME:
      g_string_append (text, ((const struct rgy_name *)member)->data);
      return;
    case KIND_ENDPOINT:
    case KIND_BIND:
      g_string_append (text, rgy_endpoint_format (
                                 *(const struct rgy_endpoint *)member, buf));
      return;
    case KIND_SEEDS:
      for (i = 0; i < settings->seed_count; i++)
        g_string_append_printf (text, "%s%s", i > 0 ? "," : "",
                                rgy_endpoint_format (settings->seeds[i], buf));
      return;
    case KIND_KEY:
    case KIND_TOKEN:
      g_string_append (text, "(set)");
      return;
    case KIND_STORE:
    case KIND_LEVEL:
      g_string_append (text, *(char *const *)member);
      return;
    case KIND_NUMBER:
      g_string_append_printf (text, "%u", *(const unsigned *)member);
      return;
    }
}

char *
rgy_settings_format (const struct rgy_settings *settings)
{
  GString *text = g_string_new (NULL);
  size_t i;

  g_string_append_printf (text, "role = %s\n",
                          rgy_role_string[settings->role]);
  for (i = 0; i < SETTING_COUNT; i++)
    {
      if ((setting_table_[i].roles & 1U << settings->role) == 0)
        continue;
      g_string_append_printf (text, "%s = ", setting_table_[i].name);
      append_value_ (text, &setting_table_[i], settings);
      g_string_append_c (text, '\n');
    }
  return g_string_free (text, FALSE);
}
