#include "private/request_queue.h"

/* Shares above which idle ones are forgotten; bounds the memory when callers
   use many routes.  */
#define MAX_SHARES 256
/* Multiple of the predicted waits, in tenths, that must fit before the latest
   starts for the order of latest starts to be used: at the edge that order
   makes requests of all shares late when a few runs take long.  */
#define ORDER_MARGIN_X10 20
/* Multiple of the predicted wait, in tenths, in the prediction for a request
   that arrives: one that is accepted and given up later has waited in vain. */
#define ADMISSION_MARGIN_X10 13
/* Weight of the newest run time in the moving average, as a divisor.  */
#define RUN_SMOOTHING 32
/* Mean deviations above the mean run time that are reserved for a run.  Of
   runs with an exponential distribution, the widest that the users state, 96
   of 100 are shorter.  */
#define RUN_DEVIATIONS 3
/* Weight of the newest start in the part of the service that late requests
   get, as a divisor: a few tenths of a second at a busy server, so that the
   end of an excess shows soon.  */
#define LATE_PART_SMOOTHING 32
/* Lowest part that is assumed.  */
#define MIN_LATE_PART 0.01
/* Window in which demand is counted; as long as the shortest excess that the
   users' bounds tell apart from a wave.  */
#define DEMAND_WINDOW_US INT64_C (1000000)

/* Requests of one class.  Entries of the queues are struct
   rgy_waiting_request.  */
struct rgy_queue_share_
{
  uint64_t id;
  uint8_t priority;
  bool limited;
  GQueue on_time; /* Ascending by goal_start_us.  */
  GQueue late;    /* Ascending by limit_start_us, then by goal_start_us.  */
  uint32_t expected;
  struct rgy_run_time run_time;
  double service_us; /* Virtual time at which the next request starts.  */
  int64_t window;    /* Number of the present window of DEMAND_WINDOW_US.  */
  uint32_t demand;   /* Requests asked for in the present window.  */
  uint32_t demand_before; /* Requests in the window before.  */
  double wanted_us; /* Service that callers asked for in the last second.  */
  bool within;      /* The demand is within the part that the share gets.  */
};

struct rgy_request_queue
{
  GPtrArray *shares;                /* Ascending by priority, owned.  */
  double virtual_us[UINT8_MAX + 1]; /* Virtual time of each priority.  */
  double late_part[UINT8_MAX + 1];  /* Part of the service that late requests
                                       of each priority get while some wait. */
  uint32_t length;
  uint32_t late;
  uint64_t demoted;
};

void
rgy_run_time_update (struct rgy_run_time *time, int64_t run_us)
{
  if (time->mean_us == 0)
    {
      *time = (struct rgy_run_time){ .mean_us = run_us,
                                     .deviation_us = run_us / 2 };
      return;
    }
  time->deviation_us
      += (ABS (run_us - time->mean_us) - time->deviation_us) / RUN_SMOOTHING;
  time->mean_us += (run_us - time->mean_us) / RUN_SMOOTHING;
}

int64_t
rgy_run_time_get_allowance (const struct rgy_run_time *time)
{
  return time->mean_us + RUN_DEVIATIONS * time->deviation_us;
}

struct rgy_request_queue *
rgy_request_queue_new (void)
{
  struct rgy_request_queue *queue = g_new0 (struct rgy_request_queue, 1);
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (queue->late_part); i++)
    queue->late_part[i] = 1;
  queue->shares = g_ptr_array_new_with_free_func (g_free);
  return queue;
}

void
rgy_request_queue_delete (struct rgy_request_queue *queue)
{
  if (queue == NULL)
    return;
  g_ptr_array_unref (queue->shares);
  g_free (queue);
}

uint32_t
rgy_request_queue_length (const struct rgy_request_queue *queue)
{
  return queue->length;
}

uint32_t
rgy_request_queue_late (const struct rgy_request_queue *queue)
{
  return queue->late;
}

uint64_t
rgy_request_queue_demoted (const struct rgy_request_queue *queue)
{
  return queue->demoted;
}

static struct rgy_queue_share_ *
get_share_ (const struct rgy_request_queue *queue, guint i)
{
  return g_ptr_array_index (queue->shares, i);
}

static uint32_t
count_waiting_ (const struct rgy_queue_share_ *share)
{
  return share->on_time.length + share->late.length;
}

static void
forget_idle_shares_ (struct rgy_request_queue *queue)
{
  guint i;

  if (queue->shares->len < MAX_SHARES)
    return;
  for (i = queue->shares->len; i > 0; i--)
    if (count_waiting_ (get_share_ (queue, i - 1)) == 0
        && get_share_ (queue, i - 1)->expected == 0)
      g_ptr_array_remove_index (queue->shares, i - 1);
}

/* Finds the share of a class, or adds it.  */
static struct rgy_queue_share_ *
find_share_ (struct rgy_request_queue *queue,
             const struct rgy_request_class *class)
{
  struct rgy_queue_share_ *share;
  guint i;

  for (i = 0; i < queue->shares->len; i++)
    {
      share = get_share_ (queue, i);
      if (share->priority == class->priority && share->id == class->share
          && share->limited == class->limited)
        return share;
    }
  forget_idle_shares_ (queue);
  for (i = 0; i < queue->shares->len; i++)
    if (get_share_ (queue, i)->priority > class->priority)
      break;
  share = g_new0 (struct rgy_queue_share_, 1);
  share->id = class->share;
  share->priority = class->priority;
  share->limited = class->limited;
  g_ptr_array_insert (queue->shares, (gint)i, share);
  return share;
}

static int64_t
get_run_us_ (const struct rgy_queue_share_ *share,
             const struct rgy_queue_server *server)
{
  return share->run_time.mean_us > 0 ? share->run_time.mean_us
                                     : server->run_time.mean_us;
}

static int
compare_goals_ (const void *a, const void *b, void *ctx)
{
  const struct rgy_waiting_request *x = a;
  const struct rgy_waiting_request *y = b;

  (void)ctx;
  return (x->goal_start_us > y->goal_start_us)
         - (x->goal_start_us < y->goal_start_us);
}

static int
compare_limits_ (const void *a, const void *b)
{
  const struct rgy_waiting_request *x = a;
  const struct rgy_waiting_request *y = b;

  return (x->limit_start_us > y->limit_start_us)
         - (x->limit_start_us < y->limit_start_us);
}

/* Inserts a request behind all that do not come after it.  */
static void
insert_ (GQueue *requests, struct rgy_waiting_request *request, bool by_limit)
{
  GList *after = requests->tail;

  request->link = (GList){ .data = request };
  while (after != NULL
         && (by_limit ? compare_limits_ (after->data, request)
                      : compare_goals_ (after->data, request, NULL))
                > 0)
    after = after->prev;
  if (after == NULL)
    g_queue_push_head_link (requests, &request->link);
  else
    g_queue_insert_after_link (requests, after, &request->link);
}

void
rgy_request_queue_remove (struct rgy_request_queue *queue,
                          struct rgy_waiting_request *request)
{
  switch (request->state)
    {
    case RGY_WAITING_NONE:
      return;
    case RGY_WAITING_ON_TIME:
      g_queue_unlink (&request->share->on_time, &request->link);
      break;
    case RGY_WAITING_LATE:
      g_queue_unlink (&request->share->late, &request->link);
      queue->late--;
      break;
    }
  queue->length--;
  request->state = RGY_WAITING_NONE;
}

static void
demote_ (struct rgy_request_queue *queue, struct rgy_waiting_request *request)
{
  struct rgy_queue_share_ *share = request->share;

  g_queue_unlink (&share->on_time, &request->link);
  if (share->limited)
    insert_ (&share->late, request, true);
  else
    g_queue_push_tail_link (&share->late, &request->link);
  request->state = RGY_WAITING_LATE;
  queue->late++;
  queue->demoted++;
}

static void
advance_demand_window_ (struct rgy_queue_share_ *share, int64_t now_us)
{
  int64_t window = now_us / DEMAND_WINDOW_US;

  if (window == share->window)
    return;
  share->demand_before = window == share->window + 1 ? share->demand : 0;
  share->demand = 0;
  share->window = window;
}

/* Requests of a share that callers asked for in the last second: those of the
   present window, and the part of the one before that lies in the second.  */
static double
get_demand_ (struct rgy_queue_share_ *share, int64_t now_us)
{
  double part;

  advance_demand_window_ (share, now_us);
  part = (double)(now_us % DEMAND_WINDOW_US) / DEMAND_WINDOW_US;
  return share->demand + (1 - part) * share->demand_before;
}

/* Index of the first share of the priority that follows that of FIRST.  */
static guint
get_next_priority_ (const struct rgy_request_queue *queue, guint first)
{
  guint i = first;

  while (i < queue->shares->len
         && get_share_ (queue, i)->priority
                == get_share_ (queue, first)->priority)
    i++;
  return i;
}

/* Divides service among the shares from index FIRST up to END: no share gets
   more than it wants, and those that want more get equal parts.  */
static void
divide_service_ (struct rgy_request_queue *queue, guint first, guint end,
                 double service_us)
{
  guint n_open = end - first;
  bool is_done = false;
  guint i;

  for (i = first; i < end; i++)
    get_share_ (queue, i)->within = false;
  while (!is_done && n_open > 0)
    {
      double part_us = service_us / n_open;

      is_done = true;
      for (i = first; i < end; i++)
        {
          struct rgy_queue_share_ *share = get_share_ (queue, i);

          if (share->within || share->wanted_us > part_us)
            continue;
          share->within = true;
          service_us -= share->wanted_us;
          n_open--;
          is_done = false;
        }
    }
}

/* True if no share of a priority asks for more than its part.  */
static bool
are_within_ (const struct rgy_request_queue *queue, guint first)
{
  guint end = get_next_priority_ (queue, first);
  guint i;

  for (i = first; i < end; i++)
    if (!get_share_ (queue, i)->within)
      return false;
  return true;
}

/* Finds out which shares ask for more than their part of the service.  */
static void
update_parts_ (struct rgy_request_queue *queue,
               const struct rgy_queue_server *server, int64_t now_us)
{
  double service_us = (double)DEMAND_WINDOW_US * server->slots;
  guint first = 0;
  guint end;

  while (first < queue->shares->len)
    {
      double wanted_us = 0;
      guint i;

      end = get_next_priority_ (queue, first);
      for (i = first; i < end; i++)
        {
          struct rgy_queue_share_ *share = get_share_ (queue, i);

          share->wanted_us = get_demand_ (share, now_us)
                             * (double)get_run_us_ (share, server);
          wanted_us += share->wanted_us;
        }
      divide_service_ (queue, first, end, service_us);
      service_us = MAX (service_us - wanted_us, 0);
      first = end;
    }
}

/* Time until the backend server has a slot for the first waiting request.  */
static int64_t
get_slot_wait_us_ (const struct rgy_queue_server *server)
{
  return server->running < server->slots
             ? 0
             : (server->running - server->slots + 1) * server->run_time.mean_us
                   / server->slots;
}

/* Work of all requests with a higher priority than that of SHARE, in run time
   of one slot.  */
static int64_t
get_higher_work_us_ (const struct rgy_request_queue *queue, uint8_t priority,
                     const struct rgy_queue_server *server)
{
  int64_t work_us = 0;
  guint i;

  for (i = 0; i < queue->shares->len; i++)
    {
      const struct rgy_queue_share_ *share = get_share_ (queue, i);

      if (share->priority >= priority)
        break;
      work_us += (count_waiting_ (share) + share->expected)
                 * get_run_us_ (share, server);
    }
  return work_us;
}

/* Work of the other shares of the same priority that is done before a share
   has got N requests through: that of the shares within their part, and as
   much of each other one as of the share itself.  */
static int64_t
get_fair_work_us_ (const struct rgy_request_queue *queue,
                   const struct rgy_queue_share_ *own, uint32_t n,
                   const struct rgy_queue_server *server)
{
  int64_t own_us = n * get_run_us_ (own, server);
  int64_t work_us = 0;
  guint i;

  for (i = 0; i < queue->shares->len; i++)
    {
      const struct rgy_queue_share_ *share = get_share_ (queue, i);
      int64_t share_us = (share->on_time.length + share->expected)
                         * get_run_us_ (share, server);

      if (share == own || share->priority != own->priority
          || (own->within && !share->within))
        continue;
      work_us
          += share->within && !own->within ? share_us : MIN (share_us, own_us);
    }
  return work_us;
}

/* Gives up the goals of as many requests as needed, the most urgent ones
   first, so that the others can start in time.  */
static void
demote_excess_ (struct rgy_request_queue *queue,
                struct rgy_queue_share_ *share,
                const struct rgy_queue_server *server, int64_t now_us)
{
  int64_t run_us = get_run_us_ (share, server);
  int64_t base_us;
  uint32_t n = 0; /* Requests before the present one.  */
  const GList *link;
  const GList *next;

  while (share->on_time.head != NULL
         && ((struct rgy_waiting_request *)share->on_time.head->data)
                    ->goal_start_us
                <= now_us)
    demote_ (queue, share->on_time.head->data);
  if (!share->limited || run_us == 0)
    return;
  base_us
      = now_us + get_slot_wait_us_ (server)
        + get_higher_work_us_ (queue, share->priority, server) / server->slots;
  for (link = share->on_time.head; link != NULL; link = next)
    {
      const struct rgy_waiting_request *request = link->data;

      next = link->next;
      while (request->state == RGY_WAITING_ON_TIME
             && base_us
                        + (n * run_us
                           + get_fair_work_us_ (queue, share, n, server))
                              / server->slots
                    > request->goal_start_us)
        {
          demote_ (queue, share->on_time.head->data);
          if (n > 0)
            n--;
        }
      if (request->state == RGY_WAITING_ON_TIME)
        n++;
    }
}

void
rgy_request_queue_push (struct rgy_request_queue *queue,
                        struct rgy_waiting_request *request,
                        const struct rgy_request_class *class,
                        const struct rgy_queue_server *server, int64_t now_us)
{
  struct rgy_queue_share_ *share = find_share_ (queue, class);

  if (count_waiting_ (share) == 0)
    share->service_us
        = MAX (share->service_us, queue->virtual_us[share->priority]);
  request->share = share;
  request->state = RGY_WAITING_ON_TIME;
  insert_ (&share->on_time, request, false);
  queue->length++;
  update_parts_ (queue, server, now_us);
  demote_excess_ (queue, share, server, now_us);
}

/* True if all requests of a priority can start in time in the order of their
   latest starts.  */
static bool
fits_in_order_ (const struct rgy_request_queue *queue, guint first,
                const struct rgy_queue_server *server, int64_t now_us)
{
  uint8_t priority = get_share_ (queue, first)->priority;
  GQueue all = G_QUEUE_INIT;
  int64_t wait_us = get_slot_wait_us_ (server);
  bool fits = true;
  const GList *link;
  guint i;

  for (i = first;
       i < queue->shares->len && get_share_ (queue, i)->priority == priority;
       i++)
    for (link = get_share_ (queue, i)->on_time.head; link != NULL;
         link = link->next)
      g_queue_push_tail (&all, link->data);
  g_queue_sort (&all, compare_goals_, NULL);
  for (link = all.head; fits && link != NULL; link = link->next)
    {
      const struct rgy_waiting_request *request = link->data;

      fits
          = now_us + wait_us * ORDER_MARGIN_X10 / 10 <= request->goal_start_us;
      wait_us += get_run_us_ (request->share, server) / server->slots;
    }
  g_queue_clear (&all);
  return fits;
}

/* Late request of a share that starts next: one that can be answered within
   its goal after all, else the one whose caller leaves first.  */
static struct rgy_waiting_request *
choose_late_ (const struct rgy_queue_share_ *share, int64_t now_us)
{
  struct rgy_waiting_request *best = NULL;
  const GList *link;

  for (link = share->late.head; link != NULL; link = link->next)
    {
      struct rgy_waiting_request *request = link->data;

      if (request->goal_start_us > now_us
          && (best == NULL || request->goal_start_us < best->goal_start_us))
        best = request;
    }
  return best != NULL || share->late.head == NULL ? best
                                                  : share->late.head->data;
}

/* True if a request starts before another one of the same priority: that of a
   share within its part first.  */
static bool
starts_before_ (const struct rgy_waiting_request *a,
                const struct rgy_waiting_request *b, bool in_order)
{
  if (in_order)
    return a->goal_start_us < b->goal_start_us;
  if (a->share->within != b->share->within)
    return a->share->within;
  return a->share->service_us < b->share->service_us;
}

/* Chooses among the shares of one priority, from index FIRST on, that have
   requests in time (or late ones).  */
static struct rgy_waiting_request *
choose_of_priority_ (const struct rgy_request_queue *queue, guint first,
                     bool late, bool in_order, int64_t now_us)
{
  struct rgy_waiting_request *best = NULL;
  guint end = get_next_priority_ (queue, first);
  guint i;

  for (i = first; i < end; i++)
    {
      const struct rgy_queue_share_ *share = get_share_ (queue, i);
      struct rgy_waiting_request *request = late ? choose_late_ (share, now_us)
                                            : share->on_time.head == NULL
                                                ? NULL
                                                : share->on_time.head->data;

      if (request != NULL
          && (best == NULL || starts_before_ (request, best, in_order)))
        best = request;
    }
  return best;
}

/* Records for each priority whether its late requests got the service that
   REQUEST gets.  One without late requests has room for them.  */
static void
note_start_ (struct rgy_request_queue *queue,
             const struct rgy_waiting_request *request)
{
  guint first = 0;

  while (first < queue->shares->len)
    {
      uint8_t priority = get_share_ (queue, first)->priority;
      guint end = get_next_priority_ (queue, first);
      bool has_late = false;
      double part;

      for (; first < end; first++)
        has_late = has_late || get_share_ (queue, first)->late.length > 0;
      part = !has_late
             || (request->state == RGY_WAITING_LATE
                 && request->share->priority == priority);
      queue->late_part[priority]
          += (part - queue->late_part[priority]) / LATE_PART_SMOOTHING;
    }
}

struct rgy_waiting_request *
rgy_request_queue_pop (struct rgy_request_queue *queue,
                       const struct rgy_queue_server *server, int64_t now_us)
{
  struct rgy_waiting_request *request = NULL;
  struct rgy_queue_share_ *share;
  bool in_order = true;
  guint first = 0;
  guint i;

  if (queue->length == 0)
    return NULL;
  update_parts_ (queue, server, now_us);
  for (i = 0; i < queue->shares->len; i++)
    if (get_share_ (queue, i)->on_time.length > 0)
      demote_excess_ (queue, get_share_ (queue, i), server, now_us);
  while (request == NULL && first < queue->shares->len)
    {
      in_order = are_within_ (queue, first)
                 || fits_in_order_ (queue, first, server, now_us);
      request = choose_of_priority_ (queue, first, false, in_order, now_us);
      if (request == NULL)
        {
          in_order = false;
          request = choose_of_priority_ (queue, first, true, false, now_us);
        }
      first = get_next_priority_ (queue, first);
    }
  if (request == NULL)
    return NULL;
  share = request->share;
  note_start_ (queue, request);
  /* Service counts only while there is less than the shares ask for.  */
  if (!in_order)
    {
      queue->virtual_us[share->priority]
          = MAX (queue->virtual_us[share->priority], share->service_us);
      share->service_us += (double)MAX (get_run_us_ (share, server), 1);
    }
  rgy_request_queue_remove (queue, request);
  return request;
}

struct rgy_waiting_request *
rgy_request_queue_pop_expired (struct rgy_request_queue *queue,
                               const struct rgy_queue_server *server,
                               int64_t now_us)
{
  guint i;

  if (queue->length == 0)
    return NULL;
  update_parts_ (queue, server, now_us);
  for (i = 0; i < queue->shares->len; i++)
    {
      struct rgy_queue_share_ *share = get_share_ (queue, i);
      int64_t start_us = now_us + get_slot_wait_us_ (server);
      int64_t run_us = get_run_us_ (share, server);
      struct rgy_waiting_request *request = NULL;
      const GList *link;

      demote_excess_ (queue, share, server, now_us);
      if (!share->limited)
        {
          if (share->late.head == NULL)
            continue;
          request = share->late.head->data;
          if (request->limit_start_us > now_us)
            continue;
          rgy_request_queue_remove (queue, request);
          return request;
        }
      /* Even if all service went to the late requests of the share, one of
         those up to the first that does not fit could not start in time.  */
      for (link = share->late.head; link != NULL && request == NULL;
           link = link->next)
        {
          const struct rgy_waiting_request *next = link->data;

          if (start_us > next->limit_start_us)
            request = share->late.head->data;
          start_us += run_us / server->slots;
        }
      if (request == NULL)
        continue;
      rgy_request_queue_remove (queue, request);
      return request;
    }
  return NULL;
}

struct rgy_waiting_request *
rgy_request_queue_peek (const struct rgy_request_queue *queue)
{
  guint i;

  for (i = 0; queue->length > 0 && i < queue->shares->len; i++)
    {
      const struct rgy_queue_share_ *share = get_share_ (queue, i);

      if (share->on_time.head != NULL)
        return share->on_time.head->data;
      if (share->late.head != NULL)
        return share->late.head->data;
    }
  return NULL;
}

void
rgy_request_queue_expect (struct rgy_request_queue *queue,
                          const struct rgy_request_class *class, int change)
{
  struct rgy_queue_share_ *share = find_share_ (queue, class);

  if (change > 0)
    share->expected++;
  else if (share->expected > 0)
    share->expected--;
}

void
rgy_request_queue_note_demand (struct rgy_request_queue *queue,
                               const struct rgy_request_class *class,
                               int64_t now_us)
{
  struct rgy_queue_share_ *share = find_share_ (queue, class);

  advance_demand_window_ (share, now_us);
  share->demand++;
}

void
rgy_request_queue_note_run (struct rgy_request_queue *queue,
                            const struct rgy_request_class *class,
                            int64_t run_us)
{
  rgy_run_time_update (&find_share_ (queue, class)->run_time, run_us);
}

struct rgy_run_time
rgy_request_queue_get_run_time (struct rgy_request_queue *queue,
                                const struct rgy_request_class *class,
                                const struct rgy_queue_server *server)
{
  const struct rgy_queue_share_ *share = find_share_ (queue, class);

  return share->run_time.mean_us > 0 ? share->run_time : server->run_time;
}

/* Finds the share of a class after the parts of all were updated.  */
static const struct rgy_queue_share_ *
find_own_ (struct rgy_request_queue *queue,
           const struct rgy_request_class *class,
           const struct rgy_queue_server *server, int64_t now_us)
{
  const struct rgy_queue_share_ *own = find_share_ (queue, class);

  update_parts_ (queue, server, now_us);
  return own;
}

struct rgy_start_prediction
rgy_request_queue_predict (struct rgy_request_queue *queue,
                           const struct rgy_request_class *class,
                           const struct rgy_queue_server *server,
                           int64_t now_us)
{
  const struct rgy_queue_share_ *own
      = find_own_ (queue, class, server, now_us);
  uint32_t n = own->on_time.length + own->expected;
  int64_t higher_us = get_higher_work_us_ (queue, own->priority, server);
  int64_t base_us = now_us + get_slot_wait_us_ (server);
  int64_t wait_us = get_slot_wait_us_ (server)
                    + (higher_us + n * get_run_us_ (own, server)
                       + get_fair_work_us_ (queue, own, n + 1, server))
                          / server->slots;
  int64_t level_us = 0;
  int64_t late_us = 0;
  guint i;

  for (i = 0; i < queue->shares->len; i++)
    {
      const struct rgy_queue_share_ *share = get_share_ (queue, i);

      if (share->priority != own->priority)
        continue;
      level_us += (count_waiting_ (share) + share->expected)
                  * get_run_us_ (share, server);
      late_us += share->late.length * get_run_us_ (share, server);
    }
  return (struct rgy_start_prediction){
    .start_us = now_us + wait_us * ADMISSION_MARGIN_X10 / 10,
    .late_start_us
    = base_us
      + MAX ((higher_us + level_us) / server->slots,
             (int64_t)((double)late_us / server->slots
                       / MAX (queue->late_part[own->priority], MIN_LATE_PART)))
  };
}
