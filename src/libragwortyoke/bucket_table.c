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

struct triple_
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

/* Decreasing weight; ties by bucket and member, so that the order is
   total.  */
static int
compare_triples_ (const void *a, const void *b)
{
  const struct triple_ *x = a;
  const struct triple_ *y = b;

  if (x->weight != y->weight)
    return x->weight > y->weight ? -1 : 1;
  if (x->bucket != y->bucket)
    return x->bucket < y->bucket ? -1 : 1;
  return (int)x->member - (int)y->member;
}

/* Sorted copy of the members, cut to RGY_GROUP_MAX.  */
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
set_view_ (struct rgy_bucket_table *table)
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

/* Goes through all triples in order of decreasing weight.  A bucket is given
   to the first member that is below the cap.  No bucket stays without owner,
   because the caps of all members add up to at least RGY_BUCKET_COUNT.  */
static void
assign_ (struct rgy_bucket_table *table, const struct triple_ *triples,
         size_t triple_count)
{
  size_t cap = (RGY_BUCKET_COUNT + table->count - 1) / table->count;
  size_t owned[RGY_GROUP_MAX] = { 0 };
  uint8_t ranks[RGY_BUCKET_COUNT] = { 0 };
  bool assigned[RGY_BUCKET_COUNT] = { false };
  size_t i;

  for (i = 0; i < triple_count; i++)
    {
      unsigned bucket = triples[i].bucket;
      uint8_t member = triples[i].member;

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
  struct triple_ *triples = NULL;
  size_t n = 0;
  size_t i;
  unsigned bucket;

  set_members_ (table, members, count);
  set_view_ (table);
  if (table->count == 0)
    return;
  triples = g_new (struct triple_, table->count * RGY_BUCKET_COUNT);
  for (i = 0; i < table->count; i++)
    {
      uint64_t hash = rgy_name_hash (&table->members[i], seed);

      for (bucket = 0; bucket < RGY_BUCKET_COUNT; bucket++)
        triples[n++]
            = (struct triple_){ .weight = rgy_bucket_weight (hash, bucket),
                                .bucket = (uint16_t)bucket,
                                .member = (uint8_t)i };
    }
  qsort (triples, n, sizeof *triples, compare_triples_);
  assign_ (table, triples, n);
  g_free (triples);
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
