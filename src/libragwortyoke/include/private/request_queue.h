#ifndef RAGWORTYOKE_PRIVATE_REQUEST_QUEUE_H
#define RAGWORTYOKE_PRIVATE_REQUEST_QUEUE_H

/**
 * @file
 * Requests that wait for a slot of one backend server, and the decision which
 * of them starts next, which one can no longer be answered, and when a new one
 * would start.  No I/O and no clock.
 *
 * A request belongs to a class: a priority and a share.  Higher priorities
 * always go first.  Within a priority the shares get equal service while they
 * ask for more than there is (start-time fair queueing); a share that asks for
 * less leaves the rest to the others and gains no credit.  Within a share,
 * requests that can be answered within their latency goal go first.  If the
 * waiting ones cannot all be, the most urgent ones are given up, so that the
 * others start well before their latest start.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Measured run times of requests.  */
struct rgy_run_time
{
  int64_t mean_us;      /**< 0 if none was measured.  */
  int64_t deviation_us; /**< Mean absolute deviation from the mean.  */
};

void rgy_run_time_update (struct rgy_run_time *time, int64_t run_us);
/** Time to reserve for a run, so that nearly all runs fit.  */
int64_t rgy_run_time_get_allowance (const struct rgy_run_time *time);

struct rgy_request_class
{
  uint8_t priority; /**< 0 is the most urgent.  */
  uint64_t share;   /**< Requests with the same value share their part of the
                         service.  */
  bool limited; /**< The callers' time limit is known, so that requests may be
                     given up or refused.  Others start by latest start.  */
};

/** Capacity of the backend server.  */
struct rgy_queue_server
{
  uint32_t slots;   /**< Requests that run concurrently; at least 1.  */
  uint32_t running; /**< Requests that the backend server has got.  */
  struct rgy_run_time run_time; /**< Of requests of all classes.  */
};

enum rgy_waiting_state
{
  RGY_WAITING_NONE,    /**< Not in the queue.  */
  RGY_WAITING_ON_TIME, /**< Can be answered within its goal.  */
  RGY_WAITING_LATE     /**< Was given up as to its goal.  */
};

struct rgy_queue_share_;

/** A request of the queue; the caller owns the memory.  */
struct rgy_waiting_request
{
  int64_t goal_start_us;  /**< Latest start for an answer within the goal.  */
  int64_t limit_start_us; /**< Latest start for an answer within the callers'
                               time limit; for a class without one, the time at
                               which the request leaves the queue.  */
  void *owner;
  /* Used by the queue only.  */
  enum rgy_waiting_state state;
  struct rgy_queue_share_ *share;
  GList link;
};

/** Expected start of a request that arrives now.  */
struct rgy_start_prediction
{
  int64_t start_us; /**< Start among the requests that can be answered within
                         their goal.  */
  int64_t late_start_us; /**< Start if its goal is missed, with the part of the
                              service that late requests get at present.  */
};

struct rgy_request_queue;

struct rgy_request_queue *rgy_request_queue_new (void);
/** Delete the queue; requests must have been removed.  */
void rgy_request_queue_delete (struct rgy_request_queue *queue);

/** Requests that wait, and of these the late ones.  */
uint32_t rgy_request_queue_length (const struct rgy_request_queue *queue);
uint32_t rgy_request_queue_late (const struct rgy_request_queue *queue);
/** Requests that were given up as to their goal since the start.  */
uint64_t rgy_request_queue_demoted (const struct rgy_request_queue *queue);

void rgy_request_queue_push (struct rgy_request_queue *queue,
                             struct rgy_waiting_request *request,
                             const struct rgy_request_class *class,
                             const struct rgy_queue_server *server,
                             int64_t now_us);
void rgy_request_queue_remove (struct rgy_request_queue *queue,
                               struct rgy_waiting_request *request);
/** Remove the request that starts next, and count its service.
    @return NULL if none waits.  */
struct rgy_waiting_request *
rgy_request_queue_pop (struct rgy_request_queue *queue,
                       const struct rgy_queue_server *server, int64_t now_us);
/** Remove a request that can no longer be answered within its time limit, or
    that has waited long enough in a class without one.
    @return NULL if there is none.  */
struct rgy_waiting_request *
rgy_request_queue_pop_expired (struct rgy_request_queue *queue,
                               const struct rgy_queue_server *server,
                               int64_t now_us);
/** Any waiting request, in the order of priorities; NULL if there is none.  */
struct rgy_waiting_request *
rgy_request_queue_peek (const struct rgy_request_queue *queue);

/** Count one more (or, with -1, one less) request of a class that will arrive
    soon: its flow was accepted.  */
void rgy_request_queue_expect (struct rgy_request_queue *queue,
                               const struct rgy_request_class *class,
                               int change);
/** Count a request that callers asked for, whether it was accepted or not.  */
void rgy_request_queue_note_demand (struct rgy_request_queue *queue,
                                    const struct rgy_request_class *class,
                                    int64_t now_us);
/** Record how long a request of a class has run.  */
void rgy_request_queue_note_run (struct rgy_request_queue *queue,
                                 const struct rgy_request_class *class,
                                 int64_t run_us);
/** Run times of a class, or of all if none was measured.  */
struct rgy_run_time
rgy_request_queue_get_run_time (struct rgy_request_queue *queue,
                                const struct rgy_request_class *class,
                                const struct rgy_queue_server *server);
struct rgy_start_prediction rgy_request_queue_predict (
    struct rgy_request_queue *queue, const struct rgy_request_class *class,
    const struct rgy_queue_server *server, int64_t now_us);

#endif
