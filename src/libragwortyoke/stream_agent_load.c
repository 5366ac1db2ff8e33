#include "private/stream_agent_private.h"

#include <string.h>

#include "ragwortyoke/bytes.h"

/* Weight of the newest run in the mean run times, as a divisor; that of a
   route's first runs is higher.  */
#define RUN_SMOOTHING 16
/* Runs of a route from which on its mean is reported; the mean of fewer says
   little.  */
#define MIN_REPORTED_RUNS 8
/* Difference of a route's mean run time from the one last reported that is
   news, as a divisor of the latter.  */
#define RUN_NEWS_DIVISOR 4
/* Time without a run of a route after which its mean counts as a single run:
   the speed of the backend server may have changed, and balancers send few
   requests to a slow one.  */
#define RUNS_PAUSE_US (5 * RGY_US_PER_S)
/* Interval at which the run times are repeated, so that a lost report does not
   leave a balancer without them.  */
#define RUNS_INTERVAL_US (5 * RGY_US_PER_S)
/* Multiple of the longest mean run time after which a request counts as
   unanswered, and its bounds: below the lower one a pause of a machine counts
   as a failure, above the upper one the request expires first.  */
#define UNANSWERED_RUNS 8
#define UNANSWERED_MIN_US (500 * RGY_US_PER_MS)
#define UNANSWERED_MAX_US (RUN_EXPIRE_US - 50 * RGY_US_PER_MS)
/* Multiple of the longest mean run time up to which requests vary; when it
   exceeds the upper bound, no request counts as unanswered.  */
#define VARIED_RUNS 3
/* Multiple of the longest mean run time without any answer after which a
   backend server whose slots are all taken counts as stalled.  */
#define STALLED_RUNS 4
/* Failed requests from which on a backend server may count as failing; a
   single one may be the request's own fault.  */
#define MIN_FAILED 2
/* Failed requests without an answer in between that show a failing backend
   server at once.  */
#define FAILED_IN_A_ROW 3
/* Time for which a failing backend server gets no new flows while others do
   not fail, at the first time and at most; doubled each time.  */
#define FAILING_MIN_US RGY_US_PER_S
#define FAILING_MAX_US (8 * RGY_US_PER_S)
/* Time after the end of that for which it gets a small share, and in which
   another failure counts as a repeated one.  */
#define PROBATION_US (2 * RGY_US_PER_S)
/* Share of failed requests that is reported in this time; below the share from
   which on balancers avoid a backend server.  */
#define PROBATION_PERMILLE 450
/* Changes since the last load report after which a brief report is no longer
   sufficient: a part of the requests and of the slots, or of the rate.  For
   balancers of other failure domains, to which bytes are charged for, several
   requests for each slot.  */
#define LOAD_CHANGE_DIVISOR 2
#define DISTANT_LOAD_CHANGE_SLOTS 2
#define RATE_CHANGE_DIVISOR 4
#define RATE_CHANGE_MIN 8
#define FAILED_CHANGE_PERMILLE 100
/* Age of the last load report at which it is repeated although nothing has
   changed, in case it was lost.  Balancers forget a load after two such
   times.  */
#define LOAD_REFRESH_US (4 * RGY_US_PER_S)
/* Change of the expected wait that is reported at once, besides a factor of
   two: a tenth of the shortest latency goals, and as many run times, since a
   queue of few requests comes and goes at random.  */
#define LOAD_NEWS_WAIT_US (20 * RGY_US_PER_MS)
#define LOAD_NEWS_RUNS 2
/* Minimum time between two load reports that are news, to balancers of the
   own failure domain and of others, to which bytes are charged for and which
   place few flows here.  */
#define LOAD_NEWS_INTERVAL_US (100 * RGY_US_PER_MS)
#define DISTANT_LOAD_NEWS_INTERVAL_US (400 * RGY_US_PER_MS)

static struct rgy_load_bucket *
get_bucket_ (struct rgy_agent_load *load)
{
  return &load->buckets[load->bucket];
}

static struct rgy_load_bucket
sum_buckets_ (const struct rgy_agent_load *load)
{
  struct rgy_load_bucket sum = { 0 };
  size_t i;

  for (i = 0; i < LOAD_BUCKETS; i++)
    {
      sum.arrived += load->buckets[i].arrived;
      sum.follow_ups += load->buckets[i].follow_ups;
      sum.answered += load->buckets[i].answered;
      sum.failed += load->buckets[i].failed;
    }
  return sum;
}

static void
rotate_buckets_ (struct rgy_agent_load *load, int64_t now_us)
{
  unsigned n = 0;

  while (now_us - load->bucket_since_us >= LOAD_BUCKET_US)
    {
      if (n++ == LOAD_BUCKETS)
        {
          load->bucket_since_us = now_us;
          return;
        }
      load->bucket = (load->bucket + 1) % LOAD_BUCKETS;
      memset (get_bucket_ (load), 0, sizeof load->buckets[0]);
      load->bucket_since_us += LOAD_BUCKET_US;
    }
}

void
rgy_stream_agent_note_arrival_ (struct rgy_stream_agent *agent,
                                struct rgy_agent_stream *stream)
{
  get_bucket_ (&agent->load)->arrived++;
  if (stream->has_requested)
    get_bucket_ (&agent->load)->follow_ups++;
  stream->has_requested = true;
}

static void
update_mean_ (int64_t *mean_us, int64_t run_us, int64_t divisor)
{
  *mean_us = *mean_us == 0 ? run_us : *mean_us + (run_us - *mean_us) / divisor;
}

/* Finds the measure of a route; if there is none, the one that was used least
   lately is replaced.  */
static struct rgy_route_run *
get_route_run_ (struct rgy_agent_load *load, struct rgy_endpoint address)
{
  struct rgy_route_run *oldest = &load->routes[0];
  size_t i;

  for (i = 0; i < RGY_STREAM_MAX_RUNS; i++)
    {
      struct rgy_route_run *route = &load->routes[i];

      if (route->runs > 0 && route->address.ip == address.ip
          && route->address.port == address.port)
        return route;
      if (route->used_us < oldest->used_us)
        oldest = route;
    }
  *oldest = (struct rgy_route_run){ .address = address };
  return oldest;
}

static bool
is_run_news_ (const struct rgy_route_run *route)
{
  return route->runs >= MIN_REPORTED_RUNS
         && ABS (route->mean_us - route->announced_us) * RUN_NEWS_DIVISOR
                > route->announced_us;
}

static void
note_run_ (struct rgy_agent_load *load, struct rgy_endpoint address,
           int64_t run_us, int64_t now_us)
{
  struct rgy_route_run *route = get_route_run_ (load, address);

  if (now_us - route->used_us > RUNS_PAUSE_US)
    route->recent_runs = MIN (route->runs, 1);
  route->recent_runs++;
  update_mean_ (&route->mean_us, run_us,
                MIN (route->recent_runs, RUN_SMOOTHING));
  route->runs++;
  route->used_us = now_us;
  if (!is_run_news_ (route))
    return;
  route->announced_us = route->mean_us;
  load->runs_version++;
}

/* Notes that the request beyond the slots that was handed over first now
   occupies the slot of a request that ends.  */
static void
note_free_slot_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  const struct rgy_flow *next
      = g_queue_peek_nth (&agent->running, agent->slots);

  if (next != NULL)
    ((struct rgy_agent_stream *)next->session)->slot_since_us = now_us;
}

void
rgy_stream_agent_note_answer_ (struct rgy_stream_agent *agent,
                               const struct rgy_flow *flow, int64_t now_us)
{
  const struct rgy_agent_stream *stream = flow->session;
  int64_t run_us;

  /* An answer to a request that has expired still tells its run time.  */
  if (stream->request_state != REQUEST_RUNNING
      && (stream->request_state != REQUEST_NONE || stream->failed_run_us == 0
          || stream->failed_run_us != stream->running_since_us))
    return;
  get_bucket_ (&agent->load)->answered++;
  agent->load.failed_in_a_row = 0;
  agent->load.last_answer_us = now_us;
  note_free_slot_ (agent, now_us);
  run_us = MAX (now_us - MAX (stream->running_since_us, stream->slot_since_us),
                1);
  update_mean_ (&agent->load.run_us, run_us, RUN_SMOOTHING);
  if (agent->cold_until_us <= now_us)
    note_run_ (&agent->load, flow->key.u.segment.service, run_us, now_us);
}

static void
note_failure_ (struct rgy_stream_agent *agent, struct rgy_agent_stream *stream)
{
  stream->failed_run_us = stream->running_since_us;
  get_bucket_ (&agent->load)->failed++;
  agent->load.failed_in_a_row++;
}

void
rgy_stream_agent_note_reset_request_ (struct rgy_stream_agent *agent,
                                      struct rgy_agent_stream *stream,
                                      int64_t now_us)
{
  if (stream->request_state != REQUEST_RUNNING)
    return;
  ++*agent->n_requests_reset;
  note_free_slot_ (agent, now_us);
  if (stream->failed_run_us == stream->running_since_us)
    return;
  note_failure_ (agent, stream);
}

static int64_t
get_longest_mean_us_ (const struct rgy_agent_load *load)
{
  int64_t longest_us = load->run_us;
  size_t i;

  for (i = 0; i < RGY_STREAM_MAX_RUNS; i++)
    longest_us = MAX (longest_us, load->routes[i].mean_us);
  return longest_us;
}

/* Counts requests that the backend server has had for too long.  */
static void
count_unanswered_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  int64_t limit_us
      = CLAMP (get_longest_mean_us_ (&agent->load) * UNANSWERED_RUNS,
               UNANSWERED_MIN_US, UNANSWERED_MAX_US);
  const GList *link;

  if (get_longest_mean_us_ (&agent->load) * VARIED_RUNS > UNANSWERED_MAX_US)
    return;
  for (link = agent->running.head; link != NULL; link = link->next)
    {
      const struct rgy_flow *flow = link->data;
      struct rgy_agent_stream *stream = flow->session;

      if (now_us - MAX (stream->running_since_us, stream->slot_since_us)
          < limit_us)
        return;
      if (stream->failed_run_us == stream->running_since_us)
        continue;
      ++*agent->n_unanswered;
      note_failure_ (agent, stream);
    }
}

static bool
is_on_probation_ (const struct rgy_agent_load *load, int64_t now_us)
{
  return load->failing_until_us != 0
         && now_us - load->failing_until_us < PROBATION_US;
}

static void
log_failing_ (const struct rgy_stream_agent *agent, const char *event,
              const struct rgy_load_bucket *sum)
{
  rgy_stream_emit_log (&agent->settings.out,
                       "%s backend=%s answered=%u failed=%u running=%u "
                       "slots=%u for_ms=%" G_GINT64_FORMAT,
                       event, agent->backend.data, sum->answered, sum->failed,
                       agent->running.length, agent->slots,
                       agent->load.failing_for_us / RGY_US_PER_MS);
}

static void
update_failing_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  struct rgy_agent_load *load = &agent->load;
  struct rgy_load_bucket sum = sum_buckets_ (load);
  bool fails = load->failed_in_a_row >= FAILED_IN_A_ROW
               || (sum.failed >= MIN_FAILED && sum.failed >= sum.answered);

  if (load->is_failing)
    {
      if (now_us < load->failing_until_us)
        return;
      load->is_failing = false;
      load->failed_in_a_row = 0;
      load->failing_until_us = now_us;
      log_failing_ (agent, "backend_on_probation", &sum);
      return;
    }
  if (!fails)
    return;
  load->failing_for_us = is_on_probation_ (load, now_us)
                             ? MIN (load->failing_for_us * 2, FAILING_MAX_US)
                             : FAILING_MIN_US;
  load->is_failing = true;
  load->failing_until_us = now_us + load->failing_for_us;
  log_failing_ (agent, "backend_failing", &sum);
}

void
rgy_stream_agent_watch_load_ (struct rgy_stream_agent *agent, int64_t now_us)
{
  if (agent->load.generation != agent->generation)
    agent->load = (struct rgy_agent_load){ .generation = agent->generation,
                                           .runs_version
                                           = agent->load.runs_version + 1,
                                           .bucket_since_us = now_us };
  /* Answers may have arrived during a pause of this process.  */
  if (!agent->was_paused)
    count_unanswered_ (agent, now_us);
  update_failing_ (agent, now_us);
  rotate_buckets_ (&agent->load, now_us);
}

/* Mean time for which a request occupies a slot.  While the backend server is
   stalled, the time since its last answer, so that its queue does not look
   short.  */
static int64_t
get_run_us_ (const struct rgy_stream_agent *agent, int64_t now_us)
{
  const struct rgy_agent_load *load = &agent->load;
  const struct rgy_flow *first;
  const struct rgy_agent_stream *stream;
  int64_t silent_us;

  if (agent->running.length == 0 || agent->running.length < agent->slots)
    return load->run_us;
  first = agent->running.head->data;
  stream = first->session;
  silent_us = now_us - MAX (load->last_answer_us, stream->running_since_us);
  return silent_us > get_longest_mean_us_ (load) * STALLED_RUNS
             ? MAX (silent_us, load->run_us)
             : load->run_us;
}

static uint32_t
get_failed_permille_ (const struct rgy_agent_load *load,
                      const struct rgy_load_bucket *sum, int64_t now_us)
{
  uint32_t permille = 0;

  if (load->is_failing)
    return 1000;
  if (sum->failed >= MIN_FAILED)
    permille = sum->failed * 1000 / (sum->failed + sum->answered);
  return is_on_probation_ (load, now_us) ? MAX (permille, PROBATION_PERMILLE)
                                         : permille;
}

static void
append_runs_ (const struct rgy_agent_load *load, GByteArray *runs)
{
  size_t i;

  for (i = 0; i < RGY_STREAM_MAX_RUNS; i++)
    {
      uint8_t entry[RGY_ROUTE_RUN_BYTES];

      if (load->routes[i].runs < MIN_REPORTED_RUNS)
        continue;
      rgy_route_address_encode (load->routes[i].address, entry);
      rgy_put_be (entry + RGY_ROUTE_ADDRESS_BYTES,
                  (uint64_t)MIN (load->routes[i].mean_us, UINT32_MAX),
                  RGY_ROUTE_RUN_BYTES - RGY_ROUTE_ADDRESS_BYTES);
      g_byte_array_append (runs, entry, sizeof entry);
    }
}

static void
measure_load_ (const struct rgy_stream_agent *agent,
               struct rgy_stream_load_report *load, int64_t now_us)
{
  struct rgy_load_bucket sum = sum_buckets_ (&agent->load);

  rgy_stream_agent_measure_queue_ (agent, load);
  load->run_us
      = (uint32_t)MIN (get_run_us_ (agent, now_us), (int64_t)UINT32_MAX);
  load->requests_per_s = sum.arrived;
  load->follow_ups_per_s = sum.follow_ups;
  load->failed_permille = get_failed_permille_ (&agent->load, &sum, now_us);
}

static int64_t
get_wait_us_ (const struct rgy_stream_load_report *load, uint32_t slots)
{
  return load->requests <= slots
             ? 0
             : (int64_t)(load->requests - slots) * load->run_us / slots;
}

static bool
differs_by_part_ (uint32_t a, uint32_t b, uint32_t divisor, uint32_t least)
{
  uint32_t difference = a > b ? a - b : b - a;

  return difference > MAX (MAX (a, b) / divisor, least);
}

/* True if the load differs so much from the one last sent that a brief report
   does not stand for it.  */
static bool
is_load_changed_ (const struct rgy_stream_agent *agent,
                  const struct rgy_agent_balancer *b,
                  const struct rgy_stream_load_report *load)
{
  const struct rgy_stream_load_report *sent = &b->sent_load;
  uint32_t least_requests = rgy_stream_agent_is_near_balancer_ (agent, b)
                                ? agent->slots / LOAD_CHANGE_DIVISOR
                                : agent->slots * DISTANT_LOAD_CHANGE_SLOTS;

  return differs_by_part_ (load->requests, sent->requests, LOAD_CHANGE_DIVISOR,
                           least_requests)
         || differs_by_part_ (load->requests_per_s, sent->requests_per_s,
                              RATE_CHANGE_DIVISOR, RATE_CHANGE_MIN)
         || differs_by_part_ (load->failed_permille, sent->failed_permille, 1,
                              FAILED_CHANGE_PERMILLE)
         || b->sent_runs_version != agent->load.runs_version;
}

/* True if the balancer must not wait for the next periodic report: a queue
   forms or drains, or the backend server fails.  */
static bool
is_load_news_ (const struct rgy_stream_agent *agent,
               const struct rgy_agent_balancer *b,
               const struct rgy_stream_load_report *load)
{
  int64_t sent_us = get_wait_us_ (&b->sent_load, agent->slots);
  int64_t wait_us = get_wait_us_ (load, agent->slots);
  int64_t least_us
      = MAX (LOAD_NEWS_WAIT_US, agent->load.run_us * LOAD_NEWS_RUNS);

  return (ABS (wait_us - sent_us) > least_us
          && (wait_us > 2 * sent_us || sent_us > 2 * wait_us))
         || (load->failed_permille > PROBATION_PERMILLE)
                != (b->sent_load.failed_permille > PROBATION_PERMILLE);
}

static bool
decodes_load_ (const struct rgy_agent_balancer *b, int64_t now_us)
{
  return rgy_agent_balancer_has_feature_ (b, RGY_STREAM_DECODES_LOAD, now_us);
}

static void
send_load_ (struct rgy_stream_agent *agent, struct rgy_agent_balancer *b,
            const struct rgy_stream_load_report *load, int64_t now_us)
{
  struct rgy_stream_message message
      = { .kind = RGY_STREAM_LOAD_REPORT, .u.load = *load };
  GByteArray *runs = g_byte_array_new ();

  message.u.load.brief = (struct rgy_stream_brief_report){
    .seq = rgy_stream_agent_number_report_ (agent, b, now_us),
    .fingerprint = b->sent_fingerprint,
    .open_flows = agent->n_open,
    .latency_us = agent->latency_us
  };
  if (b->load_sent_us == 0 || b->sent_runs_version != agent->load.runs_version
      || now_us - b->runs_sent_us >= RUNS_INTERVAL_US)
    {
      append_runs_ (&agent->load, runs);
      b->runs_sent_us = now_us;
      b->sent_runs_version = agent->load.runs_version;
    }
  message.u.load.runs
      = (struct rgy_bytes){ .data = runs->data, .len = runs->len };
  b->load_sent_us = now_us;
  b->sent_load = *load;
  b->sent_flows = agent->n_open;
  rgy_stream_agent_send_message_ (agent, b->ip, &message);
  g_byte_array_unref (runs);
}

bool
rgy_stream_agent_report_load_ (struct rgy_stream_agent *agent,
                               struct rgy_agent_balancer *b, int64_t now_us)
{
  struct rgy_stream_load_report load = { 0 };

  if (!decodes_load_ (b, now_us))
    return false;
  measure_load_ (agent, &load, now_us);
  if (b->load_sent_us != 0 && now_us - b->load_sent_us < LOAD_REFRESH_US
      && !is_load_changed_ (agent, b, &load))
    return false;
  send_load_ (agent, b, &load, now_us);
  return true;
}

void
rgy_stream_agent_report_load_news_ (struct rgy_stream_agent *agent,
                                    int64_t now_us)
{
  struct rgy_stream_load_report load = { 0 };
  guint i;

  measure_load_ (agent, &load, now_us);
  for (i = 0; i < agent->balancers->len; i++)
    {
      struct rgy_agent_balancer *b
          = &g_array_index (agent->balancers, struct rgy_agent_balancer, i);
      int64_t interval_us = rgy_stream_agent_is_near_balancer_ (agent, b)
                                ? LOAD_NEWS_INTERVAL_US
                                : DISTANT_LOAD_NEWS_INTERVAL_US;

      if (b->synced && b->sent_fingerprint != 0 && decodes_load_ (b, now_us)
          && now_us - b->load_sent_us >= interval_us
          && is_load_news_ (agent, b, &load))
        send_load_ (agent, b, &load, now_us);
    }
}
