#ifndef RAGWORTYOKE_IO_LOG_H
#define RAGWORTYOKE_IO_LOG_H

/**
 * @file
 * Structured logging through GLib, one line for each state change, to standard
 * error or to standard output.
 */

#include "ragwortyoke/str.h"

/** Start logging to standard error.  A later call replaces the values.
    @param role   role of the process, shown in each line.
    @param id     name of the process, shown in each line.
    @param level  least severe level that is logged:
                  error, warning, info or debug.  */
void rgy_log_init (const char *role, const char *id, const char *level);

/** Write "key=value" lines to standard output instead, without blocking and at
    a limited rate.  Lines above the rate are left out; the next line that is
    written gives their number.  */
void rgy_log_to_standard_output (void);

/** Log a decision about one flow.  On standard output such lines take at most
    four fifths of the rate, so that state changes are not left out.  */
void rgy_log_flow (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/** Log a state change at level info, warning or error.  */
void rgy_log_info (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
void rgy_log_warning (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
void rgy_log_error (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

#endif
