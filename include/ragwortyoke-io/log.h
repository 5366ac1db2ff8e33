#ifndef RAGWORTYOKE_IO_LOG_H
#define RAGWORTYOKE_IO_LOG_H

/**
 * @file
 * Structured logging through GLib, one line for each change of state, to
 * standard error.
 */

#include "ragwortyoke/str.h"

/** @param level  error, warning, info or debug.  */
void rgy_log_init (const char *role, const char *id, const char *level);

/** Write "key=value" lines to standard output instead, without blocking and at
    a bounded rate; lines left out are counted in the next one.  */
void rgy_log_to_standard_output (void);

/** Log a decision about one flow.  On standard output these take at most four
    fifths of the lines, so that changes of state are not left out.  */
void rgy_log_flow (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/** Log a change of state.  */
void rgy_log_info (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
void rgy_log_warning (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
void rgy_log_error (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

#endif
