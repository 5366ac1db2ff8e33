#include "matrix.h"

#define BUSY_CALLERS 15
#define BUSY_INTERVAL_US (100 * H_MS)
#define NEW_WATCHES 10
#define NEW_POSTERS 5
/* A watch registers again after 10 s of silence; the rest of that time is for
   notifications that are lost.  */
#define IDLE_US (6 * H_S)
#define DIRECT_US H_S
#define LEAVE_US (12 * H_S)
/* Longer than a watch waits before it registers again.  */
#define OUT_US (15 * H_S)
#define FIRST_LIMIT 900
#define FIRST_IP (DEPLOYMENT_CUSTOMER_IP + 0x1000)

const char *const step_string[] = {
  [STEP_OPEN] = "open",
  [STEP_REQUEST] = "request",
  [STEP_IDLE] = "idle",
  [STEP_DRAIN] = "drain",
  [STEP_HANDOVER] = "handover",
  [STEP_DOMAIN_OUT] = "domain-out",
  [STEP_DOMAIN_BACK] = "domain-back",
  [STEP_CONTRACT] = "contract",
  [STEP_BALANCER_JOIN] = "balancer-join",
  [STEP_BALANCER_LEAVE] = "balancer-leave",
};

void
step_add_busy_callers (struct run *r)
{
  unsigned i;

  for (i = 0; i < BUSY_CALLERS; i++)
    g_ptr_array_add (r->busy,
                     harness_add_caller (r->d->h, CALLER_POST, FIRST_IP + i,
                                         r->d->desk, BUSY_INTERVAL_US));
}

static void
add_watch_ (struct run *r, struct caller *watch)
{
  uint64_t registrations = 1;

  g_ptr_array_add (r->watches, watch);
  g_array_append_val (r->registrations, registrations);
}

void
step_put_contract (struct run *r)
{
  char *json = deployment_make_contract (
      r->d, FIRST_LIMIT - (unsigned)r->revision % 100);

  r->revision = harness_put_contract (r->d->h, json);
  r->revision_us = harness_now_us (r->d->h);
  g_free (json);
}

/* What has to be there before the step.  */
void
step_prepare (struct run *r)
{
  struct rgy_domain_order order;

  switch (r->step)
    {
    case STEP_REQUEST:
      step_add_busy_callers (r);
      break;
    case STEP_HANDOVER:
      harness_drain (r->d->h, r->subject);
      deployment_run (r->d, LEAVE_US);
      break;
    case STEP_DOMAIN_BACK:
      order = harness_make_order (r->d->h, OUT_DOMAIN, true);
      harness_put_order (r->d->h, &order);
      deployment_run (r->d, OUT_US);
      break;
    default:
      break;
    }
}

static struct node *
find_balancer_ (struct run *r, unsigned skip)
{
  unsigned i;

  for (i = 0; i < DEPLOYMENT_DOMAINS; i++)
    {
      struct node *b = r->d->balancers[i];

      if (b->alive && !b->frozen && rgy_balancer_is_ready (b->balancer)
          && skip-- == 0)
        return b;
    }
  return NULL;
}

/* The operator gives the order through the store, and directly when the
   store does not answer within a second.  */
static void
order_domain_ (struct run *r, bool out)
{
  struct harness *h = r->d->h;
  struct rgy_domain_order loser;
  struct node *balancer;

  r->order = harness_make_order (h, OUT_DOMAIN, out);
  if (fault_has (r, FAULT_OPERATORS_RACE))
    {
      /* Another operator orders the opposite at the same time, with the same
         number; the higher ID wins.  */
      loser = r->order;
      loser.out = !out;
      loser.id--;
      balancer = find_balancer_ (r, 1);
      if (balancer != NULL)
        harness_give_order (h, &loser, balancer);
    }
  if (fault_is_active (r, FAULT_STORE_DOWN))
    {
      r->direct_us = harness_now_us (h) + DIRECT_US;
      return;
    }
  harness_put_order (h, &r->order);
  r->order_us = harness_now_us (h);
  if (fault_is_active (r, FAULT_STORE_SLOW)
      || fault_has (r, FAULT_STORE_ANSWER_LOST))
    r->direct_us = harness_now_us (h) + DIRECT_US;
}

static void
give_directly_ (struct run *r)
{
  struct node *balancer = find_balancer_ (r, 0);

  if (balancer == NULL)
    return; /* ctl goes on asking.  */
  r->direct_us = 0;
  harness_give_order (r->d->h, &r->order, balancer);
  r->order_us = harness_now_us (r->d->h);
}

static void
open_flows_ (struct run *r)
{
  unsigned i;

  for (i = 0; i < NEW_WATCHES; i++)
    add_watch_ (r, harness_add_caller (r->d->h, CALLER_WATCH,
                                       FIRST_IP + 100 + i, r->d->desk, 0));
  for (i = 0; i < NEW_POSTERS; i++)
    g_ptr_array_add (r->busy,
                     harness_add_caller (r->d->h, CALLER_POST,
                                         FIRST_IP + 200 + i, r->d->desk, H_S));
}

static void
begin_ (struct run *r)
{
  struct harness *h = r->d->h;

  switch (r->step)
    {
    case STEP_OPEN:
      open_flows_ (r);
      break;
    case STEP_IDLE:
      r->boards_idle = true;
      break;
    case STEP_DRAIN:
      if (!r->subject->alive || r->subject->frozen)
        return;
      r->drain_us = harness_now_us (h);
      harness_drain (h, r->subject);
      break;
    case STEP_HANDOVER:
      harness_restart (h, r->subject, true);
      break;
    case STEP_DOMAIN_OUT:
      order_domain_ (r, true);
      break;
    case STEP_DOMAIN_BACK:
      order_domain_ (r, false);
      break;
    case STEP_CONTRACT:
      /* ctl refuses a change while the store is down.  */
      if (fault_is_active (r, FAULT_STORE_DOWN))
        return;
      step_put_contract (r);
      if (fault_has (r, FAULT_STORE_ANSWER_LOST))
        {
          harness_run (h, H_S);
          step_put_contract (r);
        }
      break;
    case STEP_BALANCER_JOIN:
      harness_add_balancer (h, "balancer-4", 0);
      break;
    case STEP_BALANCER_LEAVE:
      if (!r->subject_balancer->alive || r->subject_balancer->frozen)
        return;
      harness_drain (h, r->subject_balancer);
      break;
    case STEP_REQUEST:
    case STEP_COUNT:
      break;
    }
  r->stepped = true;
}

void
step_tick (struct run *r)
{
  int64_t now_us = harness_now_us (r->d->h);

  if (!r->stepped && now_us >= r->step_us)
    begin_ (r);
  if (r->direct_us != 0 && now_us >= r->direct_us)
    give_directly_ (r);
  if (r->boards_idle && now_us >= r->step_us + IDLE_US)
    {
      r->boards_idle = false;
      r->d->next_bump_us = now_us + H_MS;
    }
}
