#include "private/domain_view.h"

#include "ragwortyoke/store_position.h"

struct rgy_store_position
rgy_domain_view_get_position (const struct rgy_domain_view *view)
{
  return (struct rgy_store_position){ .epoch = view->epoch,
                                      .revision = view->revision };
}

bool
rgy_domain_view_is_out (const struct rgy_domain_view *view,
                        const struct rgy_name *domain)
{
  size_t i;

  for (i = 0; i < view->n_out; i++)
    if (rgy_name_equal (&view->out[i], domain))
      return true;
  return false;
}

bool
rgy_domain_view_has_same_names (const struct rgy_domain_view *a,
                                const struct rgy_domain_view *b)
{
  size_t i;

  for (i = 0; i < a->n_out; i++)
    if (!rgy_domain_view_is_out (b, &a->out[i]))
      return false;
  return a->n_out == b->n_out;
}

/* Keeps names of FROM, from the index FIRST on, that VIEW lacks.  Names beyond
   the maximum are left out, as they are in the store's own view.  */
static void
keep_names_ (struct rgy_domain_view *view, const struct rgy_domain_view *from,
             size_t first)
{
  size_t i;

  for (i = first; i < from->n_out && view->n_out < RGY_STREAM_MAX_DOMAINS; i++)
    if (!rgy_domain_view_is_out (view, &from->out[i]))
      {
        view->out[view->n_out++] = from->out[i];
        view->n_kept++;
      }
}

/* Returns RECEIVED as it is to be followed after BEFORE, which is earlier.  */
static struct rgy_domain_view
follow_ (const struct rgy_domain_view *before,
         const struct rgy_domain_view *received)
{
  struct rgy_domain_view view = *received;
  bool is_return = received->epoch > before->epoch;

  view.n_out -= view.n_kept;
  view.n_kept = 0;
  view.settled = received->settled || (!is_return && before->settled);
  if (view.settled || view.epoch == 0)
    return view;
  keep_names_ (&view, before, is_return ? 0 : before->n_out - before->n_kept);
  keep_names_ (&view, received, received->n_out - received->n_kept);
  return view;
}

/* True if RECEIVED ends the time in which names of VIEW are kept.  */
static bool
is_settled_by_ (const struct rgy_domain_view *view,
                const struct rgy_domain_view *received)
{
  return view->epoch != 0 && !view->settled && received->settled;
}

bool
rgy_domain_view_merge (struct rgy_domain_view *view,
                       struct rgy_domain_view_times *times,
                       const struct rgy_domain_view *received, int64_t now_us)
{
  struct rgy_domain_view before = *view;
  int order
      = rgy_store_position_compare (rgy_domain_view_get_position (received),
                                    rgy_domain_view_get_position (view));

  if (received->epoch >= view->epoch)
    times->heard_us = now_us;
  /* Only processes of an earlier version are left, which state no epoch.  */
  else if (received->epoch == 0
           && now_us - times->heard_us > RGY_STORE_REWRITE_MAX_US)
    {
      *view = *received;
      return !rgy_domain_view_has_same_names (&before, view);
    }
  if (order > 0 || (order == 0 && is_settled_by_ (view, received)))
    {
      if (received->epoch > view->epoch)
        times->settle_us = now_us + RGY_STORE_REWRITE_MAX_US;
      *view = follow_ (&before, received);
    }
  else if (received->epoch == view->epoch && view->epoch != 0
           && !view->settled)
    keep_names_ (view, received, received->n_out - received->n_kept);
  return !rgy_domain_view_has_same_names (&before, view);
}

bool
rgy_domain_view_settle (struct rgy_domain_view *view,
                        const struct rgy_domain_view_times *times,
                        int64_t now_us)
{
  bool has_kept = view->n_kept > 0;

  if (view->epoch == 0 || view->settled || now_us < times->settle_us)
    return false;
  view->settled = true;
  view->n_out -= view->n_kept;
  view->n_kept = 0;
  return has_kept;
}
