#include "matrix.h"

#define POSTERS 15
#define POST_INTERVAL_US (100 * H_MS)
#define NEW_WATCHES 10
#define NEW_POSTERS 5
/* A watch registers again after 10 s without an update.  The boards are idle
   for less, which leaves time for notifications that are lost.  */
#define BOARDS_IDLE_US (6 * H_S)
#define DIRECT_ORDER_DELAY_US H_S
#define AGENT_AWAY_US (12 * H_S)
/* Operators take the failure domain out for longer than the 10 s without an
   update after which a watch registers again.  */
#define DOMAIN_OUT_US (15 * H_S)
#define HIGHEST_LIMIT 900
#define STEP_CALLER_IP (DEPLOYMENT_CUSTOMER_IP + 0x1000)

/* These names are a part of the cell names, like the names of the faults.  */
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
step_add_posters (struct run *r)
{
  unsigned i;

  for (i = 0; i < POSTERS; i++)
    g_ptr_array_add (r->extra_callers,
                     harness_add_caller (r->d->h, CALLER_POST,
                                         STEP_CALLER_IP + i, r->d->desk,
                                         POST_INTERVAL_US));
}

/* Adds a new watch to the checks; it registers once.  */
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
      r->d, HIGHEST_LIMIT - (unsigned)r->revision % 100);

  r->revision = harness_put_contract (r->d->h, json);
  r->revision_us = harness_now_us (r->d->h);
  g_free (json);
}

void
step_prepare (struct run *r)
{
  struct rgy_domain_order order;

  switch (r->step)
    {
    case STEP_REQUEST:
      step_add_posters (r);
      break;
    case STEP_HANDOVER:
      harness_drain (r->d->h, r->step_agent);
      deployment_run (r->d, AGENT_AWAY_US);
      break;
    case STEP_DOMAIN_BACK:
      order = harness_make_order (r->d->h, OUT_DOMAIN, true);
      harness_put_order (r->d->h, &order);
      deployment_run (r->d, DOMAIN_OUT_US);
      break;
    default:
      break;
    }
}

/* First ready balancer after the first SKIP ready ones, or NULL.  */
static struct node *
find_ready_balancer_ (struct run *r, unsigned skip)
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

/* The operator writes the order to the store, and sends it directly to a
   balancer when the store does not answer within a second.  */
static void
order_domain_change_ (struct run *r, bool out)
{
  struct harness *h = r->d->h;
  struct rgy_domain_order losing_order;
  struct node *balancer;

  r->order = harness_make_order (h, OUT_DOMAIN, out);
  if (fault_is_planned (r, FAULT_OPERATORS_RACE))
    {
      /* Another operator orders the opposite at the same time with the same
         number.  The order with the higher ID wins.  */
      losing_order = r->order;
      losing_order.out = !out;
      losing_order.id--;
      balancer = find_ready_balancer_ (r, 1);
      if (balancer != NULL)
        harness_send_order (h, &losing_order, balancer);
    }
  if (fault_is_active (r, FAULT_STORE_DOWN))
    {
      r->direct_order_us = harness_now_us (h) + DIRECT_ORDER_DELAY_US;
      return;
    }
  harness_put_order (h, &r->order);
  r->order_us = harness_now_us (h);
  if (fault_is_active (r, FAULT_STORE_SLOW)
      || fault_is_planned (r, FAULT_STORE_ANSWER_LOST))
    r->direct_order_us = harness_now_us (h) + DIRECT_ORDER_DELAY_US;
}

/* Sends the pending order to a ready balancer, or leaves it pending when there
   is none.  */
static void
send_order_directly_ (struct run *r)
{
  struct node *balancer = find_ready_balancer_ (r, 0);

  if (balancer == NULL)
    return; /* ragwortyokectl retries until a balancer is ready.  */
  r->direct_order_us = 0;
  harness_send_order (r->d->h, &r->order, balancer);
  r->order_us = harness_now_us (r->d->h);
}

/* New watches and posters open flows.  */
static void
open_flows_ (struct run *r)
{
  unsigned i;

  for (i = 0; i < NEW_WATCHES; i++)
    add_watch_ (r,
                harness_add_caller (r->d->h, CALLER_WATCH,
                                    STEP_CALLER_IP + 100 + i, r->d->desk, 0));
  for (i = 0; i < NEW_POSTERS; i++)
    g_ptr_array_add (r->extra_callers,
                     harness_add_caller (r->d->h, CALLER_POST,
                                         STEP_CALLER_IP + 200 + i, r->d->desk,
                                         H_S));
}

/* A step whose process is not running waits until it is, and a contract change
   waits for the store.  */
static void
begin_step_ (struct run *r)
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
      if (!r->step_agent->alive || r->step_agent->frozen)
        return;
      r->drain_us = harness_now_us (h);
      harness_drain (h, r->step_agent);
      break;
    case STEP_HANDOVER:
      harness_restart (h, r->step_agent, true);
      break;
    case STEP_DOMAIN_OUT:
      order_domain_change_ (r, true);
      break;
    case STEP_DOMAIN_BACK:
      order_domain_change_ (r, false);
      break;
    case STEP_CONTRACT:
      /* ragwortyokectl rejects a contract change while the store is down.  */
      if (fault_is_active (r, FAULT_STORE_DOWN))
        return;
      step_put_contract (r);
      if (fault_is_planned (r, FAULT_STORE_ANSWER_LOST))
        {
          /* The operator repeats the write whose response was lost.  */
          harness_run (h, H_S);
          step_put_contract (r);
        }
      break;
    case STEP_BALANCER_JOIN:
      harness_add_balancer (h, "balancer-4", 0);
      break;
    case STEP_BALANCER_LEAVE:
      if (!r->leaving_balancer->alive || r->leaving_balancer->frozen)
        return;
      harness_drain (h, r->leaving_balancer);
      break;
    case STEP_REQUEST:
    case STEP_COUNT:
      break;
    }
  r->step_begun = true;
}

void
step_tick (struct run *r)
{
  int64_t now_us = harness_now_us (r->d->h);

  if (!r->step_begun && now_us >= r->step_us)
    begin_step_ (r);
  if (r->direct_order_us != 0 && now_us >= r->direct_order_us)
    send_order_directly_ (r);
  if (r->boards_idle && now_us >= r->step_us + BOARDS_IDLE_US)
    {
      r->boards_idle = false;
      r->d->next_board_update_us = now_us + H_MS;
    }
}
