#include "ragwortyoke/steering.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "private/bucket_weight.h"

struct rgy_bucket_table
{
  struct rgy_name members[RGY_GROUP_MAX]; /* Sorted by name.  */
  size_t count;
  uint64_t view;
  uint8_t owner[RGY_BUCKET_COUNT]; /* Index into members.  */
  uint8_t ranked[RGY_BUCKET_COUNT][RGY_GROUP_MAX];
};

/* A member as possible owner of one bucket.  */
struct candidate_
{
  uint64_t weight;
  uint16_t bucket;
  uint8_t member;
};

void
rgy_bucket_set_add (struct rgy_bucket_set *set, unsigned bucket)
{
  set->words[bucket / 64] |= UINT64_C (1) << bucket % 64;
}

void
rgy_bucket_set_remove (struct rgy_bucket_set *set, unsigned bucket)
{
  set->words[bucket / 64] &= ~(UINT64_C (1) << bucket % 64);
}

bool
rgy_bucket_set_has (const struct rgy_bucket_set *set, unsigned bucket)
{
  return (set->words[bucket / 64] >> bucket % 64 & 1) != 0;
}

struct rgy_bucket_table *
rgy_bucket_table_new (void)
{
  return g_new0 (struct rgy_bucket_table, 1);
}

void
rgy_bucket_table_delete (struct rgy_bucket_table *table)
{
  g_free (table);
}

static int
compare_names_ (const void *a, const void *b)
{
  return rgy_name_compare (a, b);
}

/* Sorts by decreasing weight; ties by bucket and member, so that the order is
   total.  */
static int
compare_candidates_ (const void *a, const void *b)
{
  const struct candidate_ *x = a;
  const struct candidate_ *y = b;

  if (x->weight != y->weight)
    return x->weight > y->weight ? -1 : 1;
  if (x->bucket != y->bucket)
    return x->bucket < y->bucket ? -1 : 1;
  return (int)x->member - (int)y->member;
}

/* Stores a sorted copy of the members, limited to RGY_GROUP_MAX.  */
static void
set_members_ (struct rgy_bucket_table *table, const struct rgy_name *members,
              size_t count)
{
  struct rgy_name *sorted = NULL;

  table->count = MIN (count, RGY_GROUP_MAX);
  if (count == 0)
    return;
  sorted = g_memdup2 (members, count * sizeof *members);
  qsort (sorted, count, sizeof *sorted, compare_names_);
  memcpy (table->members, sorted, table->count * sizeof *sorted);
  g_free (sorted);
}

static void
update_view_ (struct rgy_bucket_table *table)
{
  uint64_t hashes[RGY_GROUP_MAX];
  size_t i;

  table->view = 0;
  if (table->count == 0)
    return;
  for (i = 0; i < table->count; i++)
    hashes[i] = rgy_name_hash (&table->members[i], 0);
  table->view = rgy_hash_bytes (
      (struct rgy_bytes){ .data = (const uint8_t *)hashes,
                          .len = table->count * sizeof hashes[0] },
      0);
}

/* Goes through all candidates in order of decreasing weight and assigns each
   bucket to the first member below the cap.  No bucket remains without an
   owner, because the caps of all members add up to at least
   RGY_BUCKET_COUNT.  */
static void
assign_buckets_ (struct rgy_bucket_table *table,
                 const struct candidate_ *candidates, size_t candidate_count)
{
  size_t cap = (RGY_BUCKET_COUNT + table->count - 1) / table->count;
  size_t owned[RGY_GROUP_MAX] = { 0 };
  uint8_t ranks[RGY_BUCKET_COUNT] = { 0 };
  bool assigned[RGY_BUCKET_COUNT] = { false };
  size_t i;

  for (i = 0; i < candidate_count; i++)
    {
      unsigned bucket = candidates[i].bucket;
      uint8_t member = candidates[i].member;

      table->ranked[bucket][ranks[bucket]++] = member;
      if (assigned[bucket] || owned[member] >= cap)
        continue;
      assigned[bucket] = true;
      table->owner[bucket] = member;
      owned[member]++;
    }
}

void
rgy_bucket_table_build (struct rgy_bucket_table *table,
                        const struct rgy_name *members, size_t count,
                        uint64_t seed)
{
  struct candidate_ *candidates = NULL;
  size_t n = 0;
  size_t i;
  unsigned bucket;

  set_members_ (table, members, count);
  update_view_ (table);
  if (table->count == 0)
    return;
  candidates = g_new (struct candidate_, table->count * RGY_BUCKET_COUNT);
  for (i = 0; i < table->count; i++)
    {
      uint64_t hash = rgy_name_hash (&table->members[i], seed);

      for (bucket = 0; bucket < RGY_BUCKET_COUNT; bucket++)
        candidates[n++]
            = (struct candidate_){ .weight = rgy_bucket_weight (hash, bucket),
                                   .bucket = (uint16_t)bucket,
                                   .member = (uint8_t)i };
    }
  qsort (candidates, n, sizeof *candidates, compare_candidates_);
  assign_buckets_ (table, candidates, n);
  g_free (candidates);
}

const struct rgy_name *
rgy_bucket_table_get_owner (const struct rgy_bucket_table *table,
                            unsigned bucket)
{
  return table->count == 0 ? NULL : &table->members[table->owner[bucket]];
}

const struct rgy_name *
rgy_bucket_table_get_ranked (const struct rgy_bucket_table *table,
                             unsigned bucket, size_t rank)
{
  if (rank >= table->count)
    return NULL;
  return &table->members[table->ranked[bucket][rank]];
}

uint64_t
rgy_bucket_table_get_view (const struct rgy_bucket_table *table)
{
  return table->view;
}

size_t
rgy_bucket_table_get_count (const struct rgy_bucket_table *table)
{
  return table->count;
}
