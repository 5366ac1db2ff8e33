/* The order of waiting requests and the prediction of their start, under load
   patterns on a virtual clock: random arrivals and run times in front of three
   slots, a latency goal of 250 ms and a time limit of 2 s.  */

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "private/request_queue.h"

#define US_PER_MS INT64_C (1000)
#define US_PER_S INT64_C (1000000)
#define SLOTS 3
#define RUN_US (30 * US_PER_MS)
/* Longest run time, as a multiple of the mean.  */
#define MAX_RUN_MEANS 6
#define GOAL_US (250 * US_PER_MS)
#define LIMIT_US (2 * US_PER_S)
#define TRAVEL_US (20 * US_PER_MS)
/* Requests a second that the slots can serve.  */
#define CAPACITY ((double)SLOTS * US_PER_S / RUN_US)

/* Callers that send requests of one class.  */
struct stream_
{
  struct rgy_request_class class;
  double per_s;
  bool is_open;    /* The flows are open, so that no request is refused.  */
  int64_t from_us; /* Time in which they send.  */
  int64_t until_us;
  /* Results, by the time of arrival.  */
  unsigned asked;
  unsigned in_time;
  unsigned late;
  unsigned refused;
  unsigned expired;
  int64_t next_us;
};

struct request_
{
  struct rgy_waiting_request waiting;
  struct stream_ *stream;
  int64_t arrived_us;
  int64_t started_us;
  int64_t done_us;
};

/* One backend server with its queue.  */
struct play_
{
  struct rgy_request_queue *queue;
  struct rgy_queue_server server;
  GRand *rand;
  struct request_ *running[SLOTS];
  unsigned refused_with_free_slot;
  int64_t longest_wait_us;
};

static double
draw_ (struct play_ *play, double mean)
{
  return -mean * log (1 - g_rand_double (play->rand));
}

static void
end_run_ (struct play_ *play, unsigned slot)
{
  struct request_ *request = play->running[slot];
  int64_t run_us = request->done_us - request->started_us;
  int64_t took_us = request->done_us - request->arrived_us + TRAVEL_US;

  rgy_run_time_update (&play->server.run_time, run_us);
  rgy_request_queue_note_run (play->queue, &request->stream->class, run_us);
  if (took_us <= GOAL_US)
    request->stream->in_time++;
  else if (took_us <= LIMIT_US)
    request->stream->late++;
  play->running[slot] = NULL;
  play->server.running--;
  g_free (request);
}

static void
arrive_ (struct play_ *play, struct stream_ *stream, int64_t now_us)
{
  struct rgy_run_time time = rgy_request_queue_get_run_time (
      play->queue, &stream->class, &play->server);
  int64_t allowance_us = rgy_run_time_get_allowance (&time) + TRAVEL_US;
  struct rgy_start_prediction start;
  struct request_ *request;

  stream->asked++;
  rgy_request_queue_note_demand (play->queue, &stream->class, now_us);
  start = rgy_request_queue_predict (play->queue, &stream->class,
                                     &play->server, now_us);
  if (!stream->is_open && play->server.running == SLOTS
      && start.start_us > now_us + GOAL_US - allowance_us
      && start.late_start_us > now_us + LIMIT_US - allowance_us)
    {
      stream->refused++;
      return;
    }
  request = g_new0 (struct request_, 1);
  request->stream = stream;
  request->arrived_us = now_us;
  request->waiting.owner = request;
  request->waiting.goal_start_us = now_us + GOAL_US - allowance_us;
  request->waiting.limit_start_us = now_us + LIMIT_US - allowance_us;
  rgy_request_queue_push (play->queue, &request->waiting, &stream->class,
                          &play->server, now_us);
}

static void
start_and_expire_ (struct play_ *play, int64_t now_us)
{
  struct rgy_waiting_request *waiting;
  unsigned i;

  for (i = 0; i < SLOTS; i++)
    if (play->running[i] == NULL
        && (waiting
            = rgy_request_queue_pop (play->queue, &play->server, now_us))
               != NULL)
      {
        struct request_ *request = waiting->owner;

        request->started_us = now_us;
        request->done_us
            = now_us
              + (int64_t)MIN (draw_ (play, RUN_US), MAX_RUN_MEANS * RUN_US);
        play->running[i] = request;
        play->server.running++;
        play->longest_wait_us
            = MAX (play->longest_wait_us, now_us - request->arrived_us);
      }
  while ((waiting
          = rgy_request_queue_pop_expired (play->queue, &play->server, now_us))
         != NULL)
    {
      struct request_ *request = waiting->owner;

      request->stream->expired++;
      play->longest_wait_us
          = MAX (play->longest_wait_us, now_us - request->arrived_us);
      g_free (request);
    }
}

/* Plays streams of callers until UNTIL_US, and then until nothing is left.  */
static struct play_
play_streams_ (struct stream_ *streams, size_t n, int64_t until_us,
               uint32_t seed)
{
  struct play_ play = { .queue = rgy_request_queue_new (),
                        .server = { .slots = SLOTS },
                        .rand = g_rand_new_with_seed (seed) };
  int64_t now_us;
  size_t i;

  for (i = 0; i < n; i++)
    streams[i].next_us = streams[i].from_us;
  for (now_us = US_PER_MS; now_us < until_us + 3 * LIMIT_US;
       now_us += US_PER_MS)
    {
      for (i = 0; i < SLOTS; i++)
        if (play.running[i] != NULL && play.running[i]->done_us <= now_us)
          end_run_ (&play, (unsigned)i);
      start_and_expire_ (&play, now_us);
      for (i = 0; i < n; i++)
        while (streams[i].next_us <= now_us
               && streams[i].next_us < MIN (streams[i].until_us, until_us))
          {
            unsigned refused = streams[i].refused;
            bool is_free = play.server.running < SLOTS;

            arrive_ (&play, &streams[i], now_us);
            play.refused_with_free_slot
                += is_free && streams[i].refused > refused;
            streams[i].next_us
                += (int64_t)draw_ (&play, US_PER_S / streams[i].per_s);
            start_and_expire_ (&play, now_us);
          }
    }
  assert_int_equal (rgy_request_queue_length (play.queue), 0);
  rgy_request_queue_delete (play.queue);
  g_rand_free (play.rand);
  return play;
}

static struct stream_
make_stream_ (uint8_t priority, uint64_t share, double load)
{
  return (struct stream_){
    .class = { .priority = priority, .share = share, .limited = true },
    .per_s = load * CAPACITY,
    .until_us = INT64_MAX
  };
}

static double
get_share_in_time_ (const struct stream_ *stream)
{
  return stream->asked == 0 ? 1 : (double)stream->in_time / stream->asked;
}

/* Callers keep asking for more than the slots bear.  In order of latest start
   alone nearly every answer came too late.  */
static void
goodput_does_not_collapse_ (void **state)
{
  static const double loads[] = { 1.0, 1.2, 1.5, 2, 3, 5 };
  double reference = 0;
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      struct stream_ stream = make_stream_ (0, 1, loads[i]);
      struct play_ play = play_streams_ (&stream, 1, 40 * US_PER_S, 7);
      double goodput = stream.in_time / (CAPACITY * 40);

      print_message ("load %.1f: in time %.3f of capacity, late %u, refused "
                     "%u, expired %u, longest wait %d ms\n",
                     loads[i], goodput, stream.late, stream.refused,
                     stream.expired, (int)(play.longest_wait_us / US_PER_MS));
      if (i == 0)
        reference = goodput;
      assert_true (goodput >= .9 * reference);
      assert_true (play.longest_wait_us <= LIMIT_US);
      assert_int_equal (play.refused_with_free_slot, 0);
    }
}

/* Pattern as before, on flows that are open, where nothing can be refused.  */
static void
goodput_on_open_flows_does_not_collapse_ (void **state)
{
  static const double loads[] = { 1.0, 1.2, 1.5, 2, 3, 5 };
  double reference = 0;
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      struct stream_ stream = make_stream_ (0, 1, loads[i]);
      struct play_ play;
      double goodput;

      stream.is_open = true;
      play = play_streams_ (&stream, 1, 40 * US_PER_S, 7);
      goodput = stream.in_time / (CAPACITY * 40);
      print_message ("open flows, load %.1f: in time %.3f of capacity, late "
                     "%u, expired %u\n",
                     loads[i], goodput, stream.late, stream.expired);
      if (i == 0)
        reference = goodput;
      assert_true (goodput >= .9 * reference);
      assert_true (play.longest_wait_us <= LIMIT_US);
    }
}

/* Polls ask for three and five times the capacity while urgent posts ask for
   less than half of it.  */
static void
urgent_requests_do_not_wait_behind_others_ (void **state)
{
  static const double loads[] = { 1, 3, 5 };
  size_t i;

  (void)state;
  for (i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      struct stream_ streams[]
          = { make_stream_ (1, 1, .45), make_stream_ (2, 2, loads[i]) };

      (void)play_streams_ (streams, 2, 40 * US_PER_S, 11);
      print_message ("polls %.0f: posts in time %.4f, polls %.3f\n", loads[i],
                     get_share_in_time_ (&streams[0]),
                     get_share_in_time_ (&streams[1]));
      assert_true (get_share_in_time_ (&streams[0]) >= .98);
    }
}

/* The callers of one failure domain ask five times as much as before; those of
   the three others ask for three fifths of their shares.  */
static void
burst_of_one_domain_leaves_others_their_share_ (void **state)
{
  struct stream_ streams[]
      = { make_stream_ (1, 1, 5 * .15), make_stream_ (1, 2, .15),
          make_stream_ (1, 3, .15), make_stream_ (1, 4, .15) };
  size_t i;

  (void)state;
  (void)play_streams_ (streams, 4, 40 * US_PER_S, 13);
  for (i = 0; i < 4; i++)
    print_message (
        "domain %zu: in time %.4f, late %u, refused %u, expired %u\n", i,
        get_share_in_time_ (&streams[i]), streams[i].late, streams[i].refused,
        streams[i].expired);
  for (i = 1; i < 4; i++)
    assert_true (get_share_in_time_ (&streams[i]) >= .97);
  /* The burst gets what the others leave.  */
  assert_true (streams[0].in_time >= (.85 - 3 * .15) * CAPACITY * 40);
}

/* Two failure domains ask for more than half each, one of them four times as
   much as the other one: both get half.  */
static void
larger_burst_gets_no_larger_part_ (void **state)
{
  struct stream_ streams[]
      = { make_stream_ (1, 1, 3), make_stream_ (1, 2, .75) };
  size_t i;

  (void)state;
  streams[0].is_open = true;
  streams[1].is_open = true;
  (void)play_streams_ (streams, 2, 40 * US_PER_S, 29);
  for (i = 0; i < 2; i++)
    {
      double part = streams[i].in_time / (CAPACITY * 40);

      print_message ("burst %zu: in time %.3f of capacity\n", i, part);
      assert_true (part >= .45);
    }
}

/* A wave puts twice the work into the queue that can be done in time.  The
   order of latest starts would begin with the oldest requests and make each
   one wait until the edge of its goal, where a single long run makes all late;
   the most urgent half is given up at once instead.  */
static void
oldest_requests_of_a_wave_are_given_up_ (void **state)
{
  struct rgy_request_queue *queue = rgy_request_queue_new ();
  const struct rgy_queue_server server
      = { .slots = SLOTS,
          .running = SLOTS,
          .run_time = { .mean_us = RUN_US, .deviation_us = RUN_US / 2 } };
  const struct rgy_request_class class = { .priority = 1, .limited = true };
  struct rgy_waiting_request requests[20];
  const struct rgy_waiting_request *first;
  size_t i;

  (void)state;
  memset (requests, 0, sizeof requests);
  for (i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      requests[i].goal_start_us = US_PER_S + 100 * US_PER_MS + (int64_t)i;
      requests[i].limit_start_us = requests[i].goal_start_us + LIMIT_US;
      rgy_request_queue_push (queue, &requests[i], &class, &server, US_PER_S);
    }
  /* 100 ms of three slots are ten runs.  */
  assert_in_range (rgy_request_queue_late (queue), 9, 11);
  first = rgy_request_queue_pop (queue, &server, US_PER_S);
  assert_ptr_equal (first, &requests[rgy_request_queue_late (queue)]);
  for (i = 0; i < G_N_ELEMENTS (requests); i++)
    rgy_request_queue_remove (queue, &requests[i]);
  rgy_request_queue_delete (queue);
}

/* Callers of one failure domain send on open flows a third of a second's work
   within 30 ms, again and again: shorter than the window in which demand is
   counted.  */
static void
spike_of_one_domain_does_not_delay_others_ (void **state)
{
  struct stream_ streams[12];
  size_t i;

  (void)state;
  for (i = 0; i < 10; i++)
    {
      streams[i] = make_stream_ (1, 1, 11);
      streams[i].is_open = true;
      streams[i].from_us = (int64_t)(1 + 3 * i) * US_PER_S;
      streams[i].until_us = streams[i].from_us + 30 * US_PER_MS;
    }
  streams[10] = make_stream_ (1, 2, .2);
  streams[11] = make_stream_ (1, 3, .2);
  (void)play_streams_ (streams, 12, 32 * US_PER_S, 23);
  for (i = 10; i < 12; i++)
    {
      print_message ("beside spikes: in time %.4f\n",
                     get_share_in_time_ (&streams[i]));
      assert_true (get_share_in_time_ (&streams[i]) >= .97);
    }
}

/* A wave of three times the capacity for 8 s.  */
static void
service_is_normal_soon_after_a_wave_ (void **state)
{
  struct stream_ streams[] = { make_stream_ (1, 1, .5), make_stream_ (1, 1, 3),
                               make_stream_ (1, 1, .5) };

  (void)state;
  streams[0].until_us = 10 * US_PER_S;
  streams[1].from_us = 10 * US_PER_S;
  streams[1].until_us = 18 * US_PER_S;
  streams[2].from_us = 19 * US_PER_S;
  (void)play_streams_ (streams, 3, 40 * US_PER_S, 17);
  print_message ("in time before %.4f, after %.4f\n",
                 get_share_in_time_ (&streams[0]),
                 get_share_in_time_ (&streams[2]));
  assert_true (get_share_in_time_ (&streams[2])
               >= get_share_in_time_ (&streams[0]) - .01);
}

/* A wave of polls for 8 s over urgent posts: the posts feel nothing of it, and
   the polls use what the posts leave.  */
static void
wave_of_a_lower_priority_uses_the_rest_ (void **state)
{
  struct stream_ streams[]
      = { make_stream_ (1, 1, .5), make_stream_ (2, 2, 1.5) };

  (void)state;
  streams[1].from_us = 5 * US_PER_S;
  streams[1].until_us = 13 * US_PER_S;
  (void)play_streams_ (streams, 2, 20 * US_PER_S, 19);
  print_message ("posts in time %.4f, polls %.3f\n",
                 get_share_in_time_ (&streams[0]),
                 get_share_in_time_ (&streams[1]));
  assert_true (get_share_in_time_ (&streams[0]) >= .98);
  assert_true (streams[1].in_time >= .85 * .5 * CAPACITY * 8);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (goodput_does_not_collapse_),
    cmocka_unit_test (goodput_on_open_flows_does_not_collapse_),
    cmocka_unit_test (urgent_requests_do_not_wait_behind_others_),
    cmocka_unit_test (burst_of_one_domain_leaves_others_their_share_),
    cmocka_unit_test (larger_burst_gets_no_larger_part_),
    cmocka_unit_test (oldest_requests_of_a_wave_are_given_up_),
    cmocka_unit_test (spike_of_one_domain_does_not_delay_others_),
    cmocka_unit_test (service_is_normal_soon_after_a_wave_),
    cmocka_unit_test (wave_of_a_lower_priority_uses_the_rest_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
