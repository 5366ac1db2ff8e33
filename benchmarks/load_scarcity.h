#ifndef LOAD_SCARCITY_H
#define LOAD_SCARCITY_H

/**
 * @file
 * Part of load_experiment: patterns of load beyond what the backend servers
 * can run.
 */

#include <glib.h>
#include <stdbool.h>

/** Arguments of these patterns.  */
struct scarcity_options
{
  gchar *site;
  gdouble factor;
  gboolean table;
  gint first_seed;
  gint seeds;
  gint balancers;
  gint agents;
};

/** True if a pattern of this name is one of scarcity.  */
bool scarcity_has_pattern (const char *name);

/** Play a pattern, or with @c table the load factors, and print the outcomes.
    @return an error message, or NULL.  */
const char *scarcity_play (const char *pattern,
                           const struct scarcity_options *options);

#endif
