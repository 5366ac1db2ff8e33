#ifndef STEERING_MODEL_H
#define STEERING_MODEL_H

/* Simulates the agents of one service that learn changes of their group at
   different times, over a network with random delays and losses.  Callers wait
   for the response to a packet before they send the next one.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct model_settings
{
  uint32_t seed;
  size_t agents; /* Number of agents at the start.  */
  size_t joins;  /* Number of agents that join later.  */
  bool lookup;
  bool restarts; /* Drained agents leave once they own no flows.  */
};

struct model_result
{
  size_t flows;
  size_t opened;       /* Flows opened at least once.  */
  size_t opened_twice; /* Flows opened a second time.  */
  size_t unfinished;   /* Flows whose packets were not all delivered.  */
  size_t drops; /* Packets dropped by decision; the caller sends them again. */
  size_t lost;  /* Packets sent to an agent that had left.  */
  size_t max_hops;
  size_t forwards;
  size_t packets;
};

struct model_result model_run (const struct model_settings *settings);

#endif
