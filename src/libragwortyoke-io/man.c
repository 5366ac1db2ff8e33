#include "ragwortyoke-io/man.h"

#include <stdbool.h>

/* Appends text with escaped special characters.  Hyphens of flags become minus
   signs, so that flags can be copied from the page; other hyphens stay, so
   that lines can be broken there.  */
static void
append_escaped_ (GString *page, const char *text)
{
  bool word_start = true;
  bool flag = false;
  const char *p;

  if (*text == '.' || *text == '\'')
    g_string_append (page, "\\&");
  for (p = text; *p != '\0'; p++)
    {
      if (word_start)
        flag = *p == '-';
      word_start = *p == ' ' || *p == '(' || *p == '"' || *p == '[';
      if (*p == '\\')
        g_string_append (page, "\\e");
      else if (*p == '-' && flag)
        g_string_append (page, "\\-");
      else
        g_string_append_c (page, *p);
    }
}

void
rgy_man_title (GString *page, const char *program, const char *summary)
{
  char *upper = g_ascii_strup (program, -1);

  g_string_append_printf (page, ".TH %s 8 \"\" \"ragwortyoke %s\"\n", upper,
                          RGY_VERSION);
  rgy_man_section (page, "NAME");
  g_string_append_printf (page, "%s \\- ", program);
  append_escaped_ (page, summary);
  g_string_append_c (page, '\n');
  g_free (upper);
}

void
rgy_man_section (GString *page, const char *title)
{
  g_string_append_printf (page, ".SH %s\n", title);
}

void
rgy_man_paragraph (GString *page, const char *text)
{
  g_string_append (page, ".PP\n");
  append_escaped_ (page, text);
  g_string_append_c (page, '\n');
}

/* Appends the argument and the text of a tagged paragraph.  */
static void
append_item_text_ (GString *page, const char *argument, const char *text)
{
  if (argument != NULL)
    {
      g_string_append (page, " \\fI");
      append_escaped_ (page, argument);
      g_string_append (page, "\\fR");
    }
  g_string_append_c (page, '\n');
  append_escaped_ (page, text);
  g_string_append_c (page, '\n');
}

void
rgy_man_item (GString *page, const char *tag, const char *argument,
              const char *text)
{
  g_string_append (page, ".TP\n\\fB");
  append_escaped_ (page, tag);
  g_string_append (page, "\\fR");
  append_item_text_ (page, argument, text);
}

void
rgy_man_flag (GString *page, const char *name, char short_name,
              const char *argument, const char *text)
{
  char *tag = g_strconcat ("--", name, NULL);

  g_string_append (page, ".TP\n");
  if (short_name != '\0')
    g_string_append_printf (page, "\\fB\\-%c\\fR, ", short_name);
  g_string_append (page, "\\fB");
  append_escaped_ (page, tag);
  g_string_append (page, "\\fR");
  append_item_text_ (page, argument, text);
  g_free (tag);
}
