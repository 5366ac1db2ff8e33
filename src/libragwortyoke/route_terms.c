#include "private/route_terms.h"

#include <glib.h>

#include "ragwortyoke/clock.h"
#include "ragwortyoke/store_position.h"
#include "ragwortyoke/str.h"

/* Age of an answer at which the route is queried again, and the part of it by
   which the queries of different processes are spread.  A changed manifest
   reaches the balancers within 3 s and must be in force within 5 s.  */
#define REFRESH_US (2 * RGY_US_PER_S)
#define REFRESH_SPREAD_US (500 * RGY_US_PER_MS)
/* Time before its refresh at which a route joins the query of another one.  */
#define JOIN_US (500 * RGY_US_PER_MS)
/* Time since its last use for which a route is queried.  */
#define IN_USE_US (10 * RGY_US_PER_S)
/* Minimum time between two queries.  Under a flood of addresses the queries
   and their answers, 0.4 and 1 kB, then take about 30 kB/s at most.  */
#define QUERY_INTERVAL_US (50 * RGY_US_PER_MS)
/* Longest time after which an unanswered query is repeated; two balancers that
   do not answer delay a refresh by less than the users' 5 s.  */
#define REPEAT_MAX_US (800 * RGY_US_PER_MS)
/* Time for which a route that awaits its first answer keeps its place: three
   queries.  */
#define AWAIT_US RGY_US_PER_S

const char *const rgy_terms_effect_string[] = {
  [RGY_TERMS_CONFIRMED] = "confirmed", [RGY_TERMS_CHANGED] = "changed",
  [RGY_TERMS_REMOVED] = "removed",     [RGY_TERMS_OLDER] = "older",
  [RGY_TERMS_NOT_ASKED] = "not-asked",
};

/* A route.  The address must be the first member.  */
struct entry_
{
  uint64_t address; /* rgy_endpoint_pack() of the route's address.  */
  struct rgy_request_terms terms; /* Set if is_stated.  */
  uint64_t version;               /* Manifest of the last answer.  */
  int64_t added_us;
  int64_t used_us;
  int64_t answered_us; /* Time of the last answer that counted; 0 if none.  */
  int64_t due_us;      /* Time of the next query.  */
  int64_t repeat_us;   /* Time to the repetition of the next query.  */
  bool is_stated;      /* A manifest has stated the terms.  */
  bool is_listed;      /* The manifest of the last answer has the route.  */
  bool is_asked;
};

struct rgy_route_terms
{
  GHashTable *entries; /* Set of struct entry_, owned.  */
  size_t n_unstated;
  int64_t ttl_us;
  uint64_t seed;
  uint64_t newest_version;
  int64_t older_us;      /* Time of the first answer from an earlier one since
                            the last answer from the newest; 0 if none.  */
  int64_t next_due_us;   /* No query is due before this time.  */
  int64_t next_query_us; /* End of QUERY_INTERVAL_US.  */
};

struct rgy_route_terms *
rgy_route_terms_new (int64_t ttl_us, uint64_t seed)
{
  struct rgy_route_terms *table = g_new0 (struct rgy_route_terms, 1);

  table->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  table->ttl_us = ttl_us;
  table->seed = seed;
  table->next_due_us = INT64_MAX;
  return table;
}

void
rgy_route_terms_delete (struct rgy_route_terms *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->entries);
  g_free (table);
}

static struct entry_ *
find_entry_ (const struct rgy_route_terms *table, struct rgy_endpoint address)
{
  uint64_t packed = rgy_endpoint_pack (address);

  return g_hash_table_lookup (table->entries, &packed);
}

/* True if the entry may make room for a new route.  */
static bool
is_replaceable_ (const struct rgy_route_terms *table,
                 const struct entry_ *entry, int64_t now_us)
{
  if (entry->is_stated)
    return now_us - entry->used_us > table->ttl_us;
  return entry->answered_us != 0 || now_us - entry->added_us >= AWAIT_US;
}

/* Removes the entry that was used least recently among those that may make
   room.  */
static bool
make_room_ (struct rgy_route_terms *table, bool unstated_only, int64_t now_us)
{
  struct entry_ *oldest = NULL;
  GHashTableIter iter;
  void *key;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct entry_ *entry = key;

      if ((entry->is_stated && unstated_only)
          || !is_replaceable_ (table, entry, now_us))
        continue;
      if (oldest == NULL || entry->used_us < oldest->used_us)
        oldest = entry;
    }
  if (oldest == NULL)
    return false;
  table->n_unstated -= !oldest->is_stated;
  g_hash_table_remove (table->entries, oldest);
  return true;
}

static struct entry_ *
add_entry_ (struct rgy_route_terms *table, struct rgy_endpoint address,
            int64_t now_us)
{
  bool is_full_of_unstated = table->n_unstated >= RGY_ROUTE_TERMS_MAX_UNSTATED;
  struct entry_ *entry;

  if ((is_full_of_unstated
       || g_hash_table_size (table->entries) >= RGY_ROUTE_TERMS_MAX)
      && !make_room_ (table, is_full_of_unstated, now_us))
    return NULL;
  entry = g_new0 (struct entry_, 1);
  entry->address = rgy_endpoint_pack (address);
  entry->added_us = now_us;
  entry->due_us = now_us;
  entry->repeat_us = RGY_ROUTE_TERMS_REPEAT_US;
  table->n_unstated++;
  g_hash_table_add (table->entries, entry);
  return entry;
}

bool
rgy_route_terms_use (struct rgy_route_terms *table,
                     struct rgy_endpoint address, int64_t now_us)
{
  struct entry_ *entry = find_entry_ (table, address);

  if (entry == NULL)
    entry = add_entry_ (table, address, now_us);
  if (entry == NULL)
    return false;
  entry->used_us = now_us;
  table->next_due_us = MIN (table->next_due_us, entry->due_us);
  return true;
}

bool
rgy_route_terms_find (const struct rgy_route_terms *table,
                      struct rgy_endpoint address, int64_t goal_us,
                      struct rgy_request_terms *terms)
{
  const struct entry_ *entry = find_entry_ (table, address);

  if (entry != NULL && entry->is_stated)
    {
      *terms = entry->terms;
      return true;
    }
  *terms = (struct rgy_request_terms){ .priority = RGY_PRIORITY_UNSTATED,
                                       .goal_us = goal_us };
  return false;
}

static bool
is_in_use_ (const struct entry_ *entry, int64_t now_us)
{
  return now_us - entry->used_us <= IN_USE_US;
}

/* Time at which the first route in use is to be queried.  */
static int64_t
get_next_due_us_ (const struct rgy_route_terms *table, int64_t now_us)
{
  int64_t due_us = INT64_MAX;
  GHashTableIter iter;
  void *key;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct entry_ *entry = key;

      if (is_in_use_ (entry, now_us))
        due_us = MIN (due_us, entry->due_us);
    }
  return due_us;
}

/* True if the route is queried together with others whose time has come.  */
static bool
joins_query_ (const struct entry_ *entry, int64_t now_us)
{
  bool awaits_answer = entry->repeat_us != RGY_ROUTE_TERMS_REPEAT_US;

  return is_in_use_ (entry, now_us)
         && entry->due_us <= now_us + (awaits_answer ? 0 : JOIN_US);
}

static void
mark_queried_ (struct entry_ *entry, int64_t now_us)
{
  entry->is_asked = true;
  entry->due_us = now_us + entry->repeat_us;
  entry->repeat_us = MIN (2 * entry->repeat_us, REPEAT_MAX_US);
}

bool
rgy_route_terms_is_due (const struct rgy_route_terms *table, int64_t now_us)
{
  return now_us >= table->next_due_us && now_us >= table->next_query_us;
}

void
rgy_route_terms_postpone (struct rgy_route_terms *table, int64_t now_us)
{
  table->next_query_us = now_us + QUERY_INTERVAL_US;
}

size_t
rgy_route_terms_take_queries (struct rgy_route_terms *table,
                              struct rgy_endpoint *routes, int64_t now_us)
{
  GHashTableIter iter;
  size_t n = 0;
  void *key;

  if (!rgy_route_terms_is_due (table, now_us))
    return 0;
  table->next_due_us = get_next_due_us_ (table, now_us);
  if (now_us < table->next_due_us)
    return 0;
  g_hash_table_iter_init (&iter, table->entries);
  while (n < RGY_STREAM_MAX_TERMS
         && g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct entry_ *entry = key;

      if (!joins_query_ (entry, now_us))
        continue;
      routes[n++] = rgy_endpoint_unpack (entry->address);
      mark_queried_ (entry, now_us);
    }
  rgy_route_terms_postpone (table, now_us);
  table->next_due_us = get_next_due_us_ (table, now_us);
  return n;
}

/* Lets all routes be queried that were stated by an earlier manifest.  */
static void
note_newest_version_ (struct rgy_route_terms *table, uint64_t version,
                      int64_t now_us)
{
  GHashTableIter iter;
  void *key;

  table->newest_version = version;
  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct entry_ *entry = key;

      if (entry->answered_us != 0 && entry->version < version)
        entry->due_us = MIN (entry->due_us, now_us);
    }
  table->next_due_us = MIN (table->next_due_us, now_us);
}

/* Sets the time of the next query after an answer.  The time differs between
   processes that got their answers at the same moment.  */
static void
schedule_refresh_ (struct rgy_route_terms *table, struct entry_ *entry,
                   int64_t now_us)
{
  uint64_t hash
      = rgy_hash_bytes ((struct rgy_bytes){ .data = (const uint8_t *)&now_us,
                                            .len = sizeof now_us },
                        table->seed);

  entry->repeat_us = RGY_ROUTE_TERMS_REPEAT_US;
  entry->due_us = now_us + REFRESH_US - (int64_t)(hash % REFRESH_SPREAD_US);
}

static bool
are_terms_equal_ (const struct rgy_request_terms *a,
                  const struct rgy_request_terms *b)
{
  return a->priority == b->priority && a->repeatable == b->repeatable
         && a->goal_us == b->goal_us && a->limit_us == b->limit_us;
}

static enum rgy_terms_effect
set_terms_ (struct rgy_route_terms *table, struct entry_ *entry,
            const struct rgy_request_terms *terms)
{
  bool was_listed = entry->is_listed;

  entry->is_listed = terms != NULL;
  if (terms == NULL)
    return was_listed ? RGY_TERMS_REMOVED : RGY_TERMS_CONFIRMED;
  if (was_listed && are_terms_equal_ (&entry->terms, terms))
    return RGY_TERMS_CONFIRMED;
  table->n_unstated -= !entry->is_stated;
  entry->is_stated = true;
  entry->terms = *terms;
  return RGY_TERMS_CHANGED;
}

/* Goes back to an earlier manifest that the balancers state since the store
   has lost the newest one: all answers have come from earlier ones for as long
   as the store's entries may be written again.  */
static void
go_back_ (struct rgy_route_terms *table, uint64_t version)
{
  GHashTableIter iter;
  void *key;

  table->newest_version = version;
  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct entry_ *entry = key;

      entry->version = MIN (entry->version, version);
    }
}

enum rgy_terms_effect
rgy_route_terms_apply (struct rgy_route_terms *table,
                       struct rgy_endpoint address,
                       const struct rgy_request_terms *terms, uint64_t version,
                       int64_t now_us, int64_t *age_us)
{
  struct entry_ *entry = find_entry_ (table, address);

  *age_us = 0;
  if (entry == NULL || !entry->is_asked)
    return RGY_TERMS_NOT_ASKED;
  if (version < table->newest_version && table->older_us == 0)
    table->older_us = now_us;
  if (version < table->newest_version
      && now_us - table->older_us > RGY_STORE_REWRITE_US)
    go_back_ (table, version);
  if (version >= table->newest_version)
    table->older_us = 0;
  if (entry->answered_us != 0 && version < entry->version)
    return RGY_TERMS_OLDER;
  *age_us = now_us
            - (entry->answered_us == 0 ? entry->added_us : entry->answered_us);
  entry->answered_us = now_us;
  entry->version = version;
  if (version > table->newest_version)
    note_newest_version_ (table, version, now_us);
  /* The query is repeated if the balancer is behind.  */
  if (version == table->newest_version)
    schedule_refresh_ (table, entry, now_us);
  return set_terms_ (table, entry, terms);
}

uint64_t
rgy_route_terms_get_newest_version (const struct rgy_route_terms *table)
{
  return table->newest_version;
}

size_t
rgy_route_terms_count (const struct rgy_route_terms *table)
{
  return g_hash_table_size (table->entries);
}
