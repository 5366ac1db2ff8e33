#ifndef RAGWORTYOKE_IO_MAN_H
#define RAGWORTYOKE_IO_MAN_H

/**
 * @file
 * Building blocks of manual pages (man macros of roff).
 */

#include <glib.h>

/** Append the title line and the name section of a page of section 8.  */
void rgy_man_title (GString *page, const char *program, const char *summary);
/** Append the heading of a section.  */
void rgy_man_section (GString *page, const char *title);

/** Append a paragraph of plain text; special characters are escaped.  */
void rgy_man_paragraph (GString *page, const char *text);

/** Append a tagged paragraph with a bold tag and, unless it is NULL, an
    argument in italics.  */
void rgy_man_item (GString *page, const char *tag, const char *argument,
                   const char *text);

/** Append a tagged paragraph for the flag "--NAME".
    @param short_name  letter of the short flag; 0 for none.  */
void rgy_man_flag (GString *page, const char *name, char short_name,
                   const char *argument, const char *text);

#endif
