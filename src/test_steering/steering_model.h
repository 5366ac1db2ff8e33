#ifndef STEERING_MODEL_H
#define STEERING_MODEL_H

/* Model of the agents of one service that learn changes of their group at
   different times, over a network with random delays and losses.  Callers
   wait for the response to a packet before they send the next one.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct model_settings
{
  uint32_t seed;
  size_t agents; /* Agents at the start.  */
  size_t joins;  /* Agents that join later.  */
  bool chain;
  bool restarts; /* Drained agents leave once they hold no flows.  */
};

struct model_result
{
  size_t flows;
  size_t opened;     /* Flows opened at least once.  */
  size_t split;      /* Flows opened a second time.  */
  size_t unfinished; /* Flows whose packets were not all delivered.  */
  size_t drops;      /* By decision; the caller sends again.  */
  size_t lost;       /* Sent to an agent that had left.  */
  size_t max_hops;
  size_t forwards;
  size_t packets;
};

struct model_result model_run (const struct model_settings *settings);

#endif
