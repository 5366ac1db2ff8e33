#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/replica.h"

#define SEED_COUNT 20

static struct rgy_name
numbered_name_ (const char *prefix, unsigned number)
{
  char text[32];

  g_snprintf (text, sizeof text, "%s-%u", prefix, number);
  return rgy_name_from_c (text);
}

static struct rgy_bytes
get_text_bytes_ (const char *text)
{
  return (struct rgy_bytes){ .data = (const uint8_t *)text,
                             .len = strlen (text) };
}

static struct rgy_entry
make_entry_ (enum rgy_entry_class class, const char *key, uint64_t major,
             const char *value)
{
  return (struct rgy_entry){ .class = class,
                             .key = rgy_name_from_c (key),
                             .version = { .major = major },
                             .value = get_text_bytes_ (value) };
}

static struct rgy_entry
make_tombstone_ (enum rgy_entry_class class, const char *key, uint64_t major)
{
  return (struct rgy_entry){ .class = class,
                             .key = rgy_name_from_c (key),
                             .version = { .major = major },
                             .deleted = true };
}

static void
assert_entry_equal_ (const struct rgy_entry *a, const struct rgy_entry *b)
{
  assert_non_null (a);
  assert_non_null (b);
  assert_int_equal (a->class, b->class);
  assert_true (rgy_name_equal (&a->key, &b->key));
  assert_int_equal (rgy_version_compare (a->version, b->version), 0);
  assert_int_equal (a->deleted, b->deleted);
  assert_int_equal (a->value.len, b->value.len);
  if (a->value.len > 0)
    assert_memory_equal (a->value.data, b->value.data, a->value.len);
}

static void
collect_entry_ (const struct rgy_entry *entry, void *ctx)
{
  g_ptr_array_add (ctx, (void *)entry);
}

static void
assert_replicas_equal_ (const struct rgy_replica *a,
                        const struct rgy_replica *b)
{
  uint64_t subs_a[RGY_SUBDIGEST_COUNT];
  uint64_t subs_b[RGY_SUBDIGEST_COUNT];
  GPtrArray *of_a;
  GPtrArray *of_b;
  unsigned class;
  unsigned i;

  for (class = 0; class < RGY_ENTRY_CLASS_COUNT; class ++)
    {
      assert_int_equal (rgy_replica_get_digest (a, class),
                        rgy_replica_get_digest (b, class));
      rgy_replica_get_subdigests (a, class, subs_a);
      rgy_replica_get_subdigests (b, class, subs_b);
      assert_memory_equal (subs_a, subs_b, sizeof subs_a);
      of_a = g_ptr_array_new ();
      of_b = g_ptr_array_new ();
      rgy_replica_foreach (a, class, collect_entry_, of_a);
      rgy_replica_foreach (b, class, collect_entry_, of_b);
      assert_int_equal (of_a->len, of_b->len);
      assert_int_equal (of_a->len, rgy_replica_get_count (a, class));
      for (i = 0; i < of_a->len; i++)
        assert_entry_equal_ (of_a->pdata[i], of_b->pdata[i]);
      g_ptr_array_unref (of_a);
      g_ptr_array_unref (of_b);
    }
}

/* Merging of entries.  */

static void
shuffle_entries_ (GRand *rand, struct rgy_entry *entries, size_t count)
{
  struct rgy_entry swap;
  size_t i;
  size_t j;

  for (i = count - 1; i > 0; i--)
    {
      j = (size_t)g_rand_int_range (rand, 0, (gint32)i + 1);
      swap = entries[i];
      entries[i] = entries[j];
      entries[j] = swap;
    }
}

/* Guards against replicas that differ after receiving the same
   updates in different orders, also when a live entry and a tombstone
   have the same version.  */
static void
merge_order_does_not_change_the_result_ (void **state)
{
  enum
  {
    KEYS = 12,
    VERSIONS = 6,
    COUNT = RGY_ENTRY_CLASS_COUNT * KEYS * VERSIONS
  };
  static char values[COUNT][16];
  struct rgy_entry entries[COUNT];
  struct rgy_replica *reference;
  struct rgy_replica *replica;
  GRand *rand;
  guint32 seed;
  size_t i;

  (void)state;
  for (seed = 1; seed <= SEED_COUNT; seed++)
    {
      rand = g_rand_new_with_seed (seed);
      for (i = 0; i < COUNT; i++)
        {
          g_snprintf (values[i], sizeof values[i], "v%zu", i);
          entries[i] = (struct rgy_entry){
            .class = i % RGY_ENTRY_CLASS_COUNT,
            .key = numbered_name_ ("key", i / RGY_ENTRY_CLASS_COUNT % KEYS),
            .version = { .major = i / (COUNT / VERSIONS) / 2,
                         .minor = i / (COUNT / VERSIONS) % 2 },
            .deleted = g_rand_int_range (rand, 0, 4) == 0,
          };
          if (!entries[i].deleted)
            entries[i].value = get_text_bytes_ (values[i]);
          /* Some versions exist as a live entry and as a tombstone.  */
          if (i >= COUNT / 2 && g_rand_boolean (rand))
            {
              entries[i].version
                  = entries[i - RGY_ENTRY_CLASS_COUNT * KEYS].version;
              entries[i].deleted
                  = !entries[i - RGY_ENTRY_CLASS_COUNT * KEYS].deleted;
              entries[i].value = entries[i].deleted
                                     ? (struct rgy_bytes){ 0 }
                                     : get_text_bytes_ (values[i]);
            }
        }
      /* A version has only one value, so a second live entry of the same
         version gets the value of the first.  */
      for (i = 0; i < COUNT; i++)
        {
          size_t j;

          for (j = i + 1; j < COUNT; j++)
            if (entries[i].class == entries[j].class
                && rgy_name_equal (&entries[i].key, &entries[j].key)
                && rgy_version_compare (entries[i].version, entries[j].version)
                       == 0
                && !entries[i].deleted && !entries[j].deleted)
              entries[j].value = entries[i].value;
        }
      reference = rgy_replica_new ();
      for (i = 0; i < COUNT; i++)
        rgy_replica_merge (reference, &entries[i]);
      for (i = 0; i < 5; i++)
        {
          size_t j;

          shuffle_entries_ (rand, entries, COUNT);
          replica = rgy_replica_new ();
          for (j = 0; j < COUNT; j++)
            rgy_replica_merge (replica, &entries[j]);
          /* A second delivery of every update changes nothing.  */
          for (j = 0; j < COUNT; j++)
            assert_int_equal (rgy_replica_merge (replica, &entries[j]),
                              RGY_ERR_STALE);
          assert_replicas_equal_ (reference, replica);
          rgy_replica_delete (replica);
        }
      rgy_replica_delete (reference);
      g_rand_free (rand);
    }
}

/* Guards against an accepted contract that reverts to an older version.  */
static void
older_version_is_stale_ (void **state)
{
  struct rgy_replica *replica = rgy_replica_new ();
  struct rgy_entry e = make_entry_ (RGY_ENTRY_CONTRACT, "rodaforte", 7, "new");
  struct rgy_entry older
      = make_entry_ (RGY_ENTRY_CONTRACT, "rodaforte", 6, "old");
  uint64_t digest;

  (void)state;
  older.version.minor = UINT64_MAX;
  assert_int_equal (rgy_replica_merge (replica, &e), RGY_OK);
  digest = rgy_replica_get_digest (replica, RGY_ENTRY_CONTRACT);
  assert_int_equal (rgy_replica_merge (replica, &older), RGY_ERR_STALE);
  assert_int_equal (rgy_replica_merge (replica, &e), RGY_ERR_STALE);
  assert_entry_equal_ (rgy_replica_get (replica, RGY_ENTRY_CONTRACT, &e.key),
                       &e);
  assert_int_equal (rgy_replica_get_digest (replica, RGY_ENTRY_CONTRACT),
                    digest);
  rgy_replica_delete (replica);
}

/* Guards against the return of a deleted contract through a replica that
   missed the deletion.  A newer contract of the same customer is accepted.  */
static void
older_entry_does_not_replace_tombstone_ (void **state)
{
  struct rgy_replica *replica = rgy_replica_new ();
  struct rgy_entry live
      = make_entry_ (RGY_ENTRY_CONTRACT, "hollenbeck", 5, "a");
  struct rgy_entry tombstone
      = make_tombstone_ (RGY_ENTRY_CONTRACT, "hollenbeck", 6);
  struct rgy_entry same
      = make_entry_ (RGY_ENTRY_CONTRACT, "hollenbeck", 6, "b");
  struct rgy_entry next
      = make_entry_ (RGY_ENTRY_CONTRACT, "hollenbeck", 8, "c");
  const struct rgy_entry *got;

  (void)state;
  tombstone.value = get_text_bytes_ ("ignored");
  assert_int_equal (rgy_replica_merge (replica, &live), RGY_OK);
  assert_int_equal (rgy_replica_merge (replica, &tombstone), RGY_OK);
  got = rgy_replica_get (replica, RGY_ENTRY_CONTRACT, &live.key);
  assert_true (got->deleted);
  assert_int_equal (got->value.len, 0);
  assert_int_equal (rgy_replica_merge (replica, &live), RGY_ERR_STALE);
  assert_int_equal (rgy_replica_merge (replica, &same), RGY_ERR_STALE);
  assert_true (
      rgy_replica_get (replica, RGY_ENTRY_CONTRACT, &live.key)->deleted);
  assert_int_equal (rgy_replica_get_count (replica, RGY_ENTRY_CONTRACT), 1);
  assert_int_equal (rgy_replica_merge (replica, &next), RGY_OK);
  assert_entry_equal_ (
      rgy_replica_get (replica, RGY_ENTRY_CONTRACT, &live.key), &next);
  rgy_replica_delete (replica);
}

/* Guards against an index outside the classes that was read
   from the network.  */
static void
malformed_entry_is_rejected_ (void **state)
{
  struct rgy_replica *replica = rgy_replica_new ();
  struct rgy_entry e = make_entry_ (RGY_ENTRY_AGENT, "a", 1, "x");

  (void)state;
  e.class = RGY_ENTRY_CLASS_COUNT;
  assert_int_equal (rgy_replica_merge (replica, &e), RGY_ERR_INVALID);
  e.class = RGY_ENTRY_AGENT;
  memset (&e.key, 0, sizeof e.key);
  assert_int_equal (rgy_replica_merge (replica, &e), RGY_ERR_INVALID);
  assert_int_equal (rgy_replica_get_count (replica, RGY_ENTRY_AGENT), 0);
  rgy_replica_delete (replica);
}

/* Guards against a replica that refers to the caller's buffer, which is reused
   after the merge, and against a fault when an entry of the replica itself is
   merged again.  */
static void
value_is_copied_ (void **state)
{
  struct rgy_replica *replica = rgy_replica_new ();
  char buffer[] = "first";
  struct rgy_entry e = make_entry_ (RGY_ENTRY_DOMAIN, "poa-a", 1, buffer);
  const struct rgy_entry *got;

  (void)state;
  assert_int_equal (rgy_replica_merge (replica, &e), RGY_OK);
  memset (buffer, 'x', sizeof buffer - 1);
  got = rgy_replica_get (replica, RGY_ENTRY_DOMAIN, &e.key);
  assert_memory_equal (got->value.data, "first", 5);
  assert_int_equal (rgy_replica_merge (replica, got), RGY_ERR_STALE);
  assert_null (rgy_replica_get (replica, RGY_ENTRY_AGENT, &e.key));
  rgy_replica_delete (replica);
}

/* Digests and iteration.  */

/* Guards against a replica without entries whose digest differs from an empty
   one's because entries were pruned; it would synchronise for ever.  */
static void
digest_of_empty_class_is_zero_ (void **state)
{
  static const uint64_t zero[RGY_SUBDIGEST_COUNT];
  struct rgy_replica *replica = rgy_replica_new ();
  size_t empty = rgy_replica_get_memory (replica);
  uint64_t subs[RGY_SUBDIGEST_COUNT];
  const struct rgy_entry *out[8];
  struct rgy_entry e;
  struct rgy_name key;
  unsigned i;

  (void)state;
  assert_int_equal (rgy_replica_get_digest (replica, RGY_ENTRY_AGENT), 0);
  for (i = 0; i < 100; i++)
    {
      e = make_entry_ (RGY_ENTRY_AGENT, "a", i, "value");
      e.key = numbered_name_ ("agent", i);
      assert_int_equal (rgy_replica_merge (replica, &e), RGY_OK);
      assert_true (rgy_replica_get_digest (replica, RGY_ENTRY_AGENT) != 0);
    }
  assert_int_equal (rgy_replica_get_digest (replica, RGY_ENTRY_BALANCER), 0);
  assert_true (rgy_replica_get_memory (replica) > empty + 100 * 5);
  for (i = 0; i < 100; i++)
    {
      key = numbered_name_ ("agent", i);
      rgy_replica_prune (replica, RGY_ENTRY_AGENT, &key);
      rgy_replica_prune (replica, RGY_ENTRY_AGENT, &key);
    }
  assert_int_equal (rgy_replica_get_digest (replica, RGY_ENTRY_AGENT), 0);
  rgy_replica_get_subdigests (replica, RGY_ENTRY_AGENT, subs);
  assert_memory_equal (subs, zero, sizeof subs);
  assert_int_equal (rgy_replica_get_count (replica, RGY_ENTRY_AGENT), 0);
  assert_int_equal (rgy_replica_get_memory (replica), empty);
  /* A pruned entry must not stay in the queue as a dangling pointer.  */
  assert_int_equal (rgy_replica_take_updates (replica, 3, 1200, out, 8), 0);
  rgy_replica_delete (replica);
}

/* Guards against a digest that does not cover the version or the tombstone
   flag and therefore hides a difference.  */
static void
digest_covers_key_version_and_tombstone_ (void **state)
{
  struct rgy_entry base = make_entry_ (RGY_ENTRY_AGENT, "a", 1, "x");
  struct rgy_entry other;

  (void)state;
  other = base;
  other.key = rgy_name_from_c ("b");
  assert_true (rgy_entry_get_hash (&base) != rgy_entry_get_hash (&other));
  other = base;
  other.version.major = 2;
  assert_true (rgy_entry_get_hash (&base) != rgy_entry_get_hash (&other));
  other = base;
  other.version.minor = 1;
  assert_true (rgy_entry_get_hash (&base) != rgy_entry_get_hash (&other));
  other = base;
  other.deleted = true;
  assert_true (rgy_entry_get_hash (&base) != rgy_entry_get_hash (&other));
  other = base;
  other.class = RGY_ENTRY_BALANCER;
  assert_true (rgy_entry_get_hash (&base) != rgy_entry_get_hash (&other));
  /* The version determines the value, so the hash does not
     cover the value.  */
  other = base;
  other.value = get_text_bytes_ ("y");
  assert_true (rgy_entry_get_hash (&base) == rgy_entry_get_hash (&other));
}

/* Guards against an order of iteration that differs between processes, on
   which the readers of a class depend.  */
static void
iteration_is_in_key_order_ (void **state)
{
  struct rgy_replica *replica = rgy_replica_new ();
  GPtrArray *seen = g_ptr_array_new ();
  const struct rgy_entry *a;
  const struct rgy_entry *b;
  struct rgy_entry e;
  unsigned i;

  (void)state;
  for (i = 0; i < 200; i++)
    {
      e = make_entry_ (RGY_ENTRY_AGENT, "a", 1, "");
      e.key = numbered_name_ ("agent", i * 37 % 200);
      e.deleted = i % 3 == 0;
      assert_int_equal (rgy_replica_merge (replica, &e), RGY_OK);
    }
  rgy_replica_foreach (replica, RGY_ENTRY_AGENT, collect_entry_, seen);
  assert_int_equal (seen->len, 200);
  for (i = 1; i < seen->len; i++)
    {
      a = seen->pdata[i - 1];
      b = seen->pdata[i];
      assert_true (rgy_name_compare (&a->key, &b->key) < 0);
    }
  g_ptr_array_unref (seen);
  rgy_replica_delete (replica);
}

struct pull_context_
{
  struct rgy_replica *into;
  size_t sent;
};

static void
pull_entry_ (const struct rgy_entry *entry, void *ctx)
{
  struct pull_context_ *pull = ctx;

  rgy_replica_merge (pull->into, entry);
  pull->sent++;
}

/* Pulls the difference of one class, as a synchronisation does.  */
static size_t
pull_class_ (struct rgy_replica *into, const struct rgy_replica *from,
             enum rgy_entry_class class)
{
  struct pull_context_ pull = { .into = into };
  uint64_t subs[RGY_SUBDIGEST_COUNT];

  rgy_replica_get_subdigests (into, class, subs);
  rgy_replica_foreach_difference (from, class, subs, pull_entry_, &pull);
  return pull.sent;
}

/* Guards against a synchronisation that misses a difference, which would leave
   two replicas different for ever.  One pull in each direction makes any two
   replicas equal.  */
static void
synchronisation_finds_every_difference_ (void **state)
{
  struct rgy_replica *a;
  struct rgy_replica *b;
  struct rgy_entry e;
  GRand *rand;
  guint32 seed;
  unsigned class;
  unsigned i;
  int sides;

  (void)state;
  for (seed = 1; seed <= SEED_COUNT; seed++)
    {
      rand = g_rand_new_with_seed (seed);
      a = rgy_replica_new ();
      b = rgy_replica_new ();
      for (i = 0; i < 600; i++)
        {
          class = (unsigned)g_rand_int_range (rand, 0, RGY_ENTRY_CLASS_COUNT);
          e = make_entry_ (class, "k", (uint64_t)g_rand_int_range (rand, 1, 4),
                           "value");
          e.key = numbered_name_ ("key",
                                  (unsigned)g_rand_int_range (rand, 0, 150));
          e.deleted = g_rand_int_range (rand, 0, 5) == 0;
          sides = g_rand_int_range (rand, 0, 10);
          if (sides != 0)
            rgy_replica_merge (a, &e);
          if (sides != 1)
            rgy_replica_merge (b, &e);
        }
      for (class = 0; class < RGY_ENTRY_CLASS_COUNT; class ++)
        {
          pull_class_ (a, b, class);
          pull_class_ (b, a, class);
        }
      assert_replicas_equal_ (a, b);
      for (class = 0; class < RGY_ENTRY_CLASS_COUNT; class ++)
        assert_int_equal (pull_class_ (a, b, class), 0);
      rgy_replica_delete (a);
      rgy_replica_delete (b);
      g_rand_free (rand);
    }
}

/* Guards against the transfer of a whole class for one changed entry among
   thousands, which would exceed the control-plane budget.  */
static void
synchronisation_sends_only_differing_buckets_ (void **state)
{
  struct rgy_replica *a = rgy_replica_new ();
  struct rgy_replica *b = rgy_replica_new ();
  unsigned in_bucket = 0;
  unsigned bucket;
  struct rgy_entry e;
  unsigned i;

  (void)state;
  for (i = 0; i < 3400; i++)
    {
      e = make_entry_ (RGY_ENTRY_AGENT, "a", 1, "record");
      e.key = numbered_name_ ("agent", i);
      rgy_replica_merge (a, &e);
      rgy_replica_merge (b, &e);
    }
  e.version.major = 2;
  rgy_replica_merge (b, &e);
  bucket = rgy_entry_get_bucket (&e);
  for (i = 0; i < 3400; i++)
    {
      struct rgy_entry other = e;

      other.key = numbered_name_ ("agent", i);
      in_bucket += rgy_entry_get_bucket (&other) == bucket;
    }
  assert_int_equal (pull_class_ (a, b, RGY_ENTRY_AGENT), in_bucket);
  assert_in_range (in_bucket, 1, 3400 / 16);
  assert_replicas_equal_ (a, b);
  rgy_replica_delete (a);
  rgy_replica_delete (b);
}

/* Queue of updates for gossip.  */

static size_t
take_updates_ (struct rgy_replica *replica, unsigned transmissions,
               const struct rgy_entry **out, size_t max)
{
  return rgy_replica_take_updates (replica, transmissions, 1200, out, max);
}

/* Guards against an update that leaves the queue before all of its
   transmissions and may then not reach every replica.  */
static void
update_is_sent_exactly_the_given_times_ (void **state)
{
  enum
  {
    COUNT = 40,
    TRANSMISSIONS = 9
  };
  struct rgy_replica *replica = rgy_replica_new ();
  const struct rgy_entry *out[8];
  unsigned sends[COUNT] = { 0 };
  struct rgy_entry e;
  unsigned most;
  unsigned least;
  unsigned number;
  size_t taken;
  size_t i;

  (void)state;
  for (i = 0; i < COUNT; i++)
    {
      e = make_entry_ (RGY_ENTRY_AGENT, "a", 1, "record");
      e.key = numbered_name_ ("agent", (unsigned)i);
      rgy_replica_merge (replica, &e);
    }
  while ((taken = take_updates_ (replica, TRANSMISSIONS, out, 8)) > 0)
    {
      for (i = 0; i < taken; i++)
        {
          size_t j;

          /* One datagram must not carry an update twice.  */
          for (j = 0; j < i; j++)
            assert_ptr_not_equal (out[i], out[j]);
          number = (unsigned)strtoul (out[i]->key.data + strlen ("agent-"),
                                      NULL, 10);
          sends[number]++;
        }
      most = 0;
      least = TRANSMISSIONS;
      for (i = 0; i < COUNT; i++)
        {
          most = MAX (most, sends[i]);
          least = MIN (least, sends[i]);
        }
      assert_in_range (most - least, 0, 1);
    }
  for (i = 0; i < COUNT; i++)
    assert_int_equal (sends[i], TRANSMISSIONS);
  assert_int_equal (rgy_replica_get_update_count (replica), 0);
  rgy_replica_delete (replica);
}

/* Guards against a new version that is sent less often than other updates
   because the version before it was sent already, and against further sends of
   the old version.  */
static void
new_version_replaces_queued_update_ (void **state)
{
  struct rgy_replica *replica = rgy_replica_new ();
  struct rgy_entry e = make_entry_ (RGY_ENTRY_CONTRACT, "rodaforte", 1, "one");
  const struct rgy_entry *out[4];
  unsigned i;

  (void)state;
  rgy_replica_merge (replica, &e);
  for (i = 0; i < 4; i++)
    assert_int_equal (take_updates_ (replica, 5, out, 4), 1);
  e.version.major = 2;
  e.value = get_text_bytes_ ("two");
  rgy_replica_merge (replica, &e);
  assert_int_equal (rgy_replica_get_update_count (replica), 1);
  for (i = 0; i < 5; i++)
    {
      assert_int_equal (take_updates_ (replica, 5, out, 4), 1);
      assert_int_equal (out[0]->version.major, 2);
    }
  assert_int_equal (take_updates_ (replica, 5, out, 4), 0);
  /* A stale version must not queue the entry again.  */
  e.version.major = 1;
  assert_int_equal (rgy_replica_merge (replica, &e), RGY_ERR_STALE);
  assert_int_equal (take_updates_ (replica, 5, out, 4), 0);
  rgy_replica_delete (replica);
}

/* Guards against a change that waits behind the backlog of a bulk merge or
   behind updates that were sent before.  */
static void
newest_update_is_sent_first_ (void **state)
{
  struct rgy_replica *replica = rgy_replica_new ();
  const struct rgy_entry *out[4];
  struct rgy_entry e;
  unsigned i;

  (void)state;
  for (i = 0; i < 500; i++)
    {
      e = make_entry_ (RGY_ENTRY_AGENT, "a", 1, "record");
      e.key = numbered_name_ ("agent", i);
      rgy_replica_merge (replica, &e);
    }
  assert_int_equal (take_updates_ (replica, 27, out, 4), 4);
  e = make_entry_ (RGY_ENTRY_CONTRACT, "rodaforte", 9, "contract");
  rgy_replica_merge (replica, &e);
  assert_int_equal (take_updates_ (replica, 27, out, 4), 4);
  assert_int_equal (out[0]->class, RGY_ENTRY_CONTRACT);
  rgy_replica_delete (replica);
}

/* Guards against datagrams that are too large, a large update that blocks
   smaller ones, and an update that loses its place in the queue because a
   datagram was full.  */
static void
datagram_size_limit_is_respected_ (void **state)
{
  static char large[1000];
  static char huge[2000];
  struct rgy_replica *replica = rgy_replica_new ();
  const struct rgy_entry *out[8];
  struct rgy_entry e;
  size_t bytes;
  size_t taken;
  size_t i;
  unsigned sent_large = 0;
  unsigned sent_small = 0;
  unsigned round;

  (void)state;
  memset (large, 'l', sizeof large - 1);
  memset (huge, 'h', sizeof huge - 1);
  e = make_entry_ (RGY_ENTRY_CONTRACT, "small", 1, "s");
  rgy_replica_merge (replica, &e);
  e = make_entry_ (RGY_ENTRY_CONTRACT, "large-1", 1, large);
  rgy_replica_merge (replica, &e);
  e = make_entry_ (RGY_ENTRY_CONTRACT, "large-2", 1, large);
  rgy_replica_merge (replica, &e);
  e = make_entry_ (RGY_ENTRY_CONTRACT, "huge", 1, huge);
  rgy_replica_merge (replica, &e);
  for (round = 0; round < 10; round++)
    {
      taken = rgy_replica_take_updates (replica, 3, 1200, out, 8);
      bytes = 0;
      for (i = 0; i < taken; i++)
        {
          bytes += out[i]->key.len + out[i]->value.len + 32;
          assert_string_not_equal (out[i]->key.data, "huge");
          if (out[i]->value.len > 1)
            sent_large++;
          else
            sent_small++;
        }
      assert_in_range (bytes, 0, 1200);
    }
  assert_int_equal (sent_large, 2 * 3);
  assert_int_equal (sent_small, 3);
  assert_int_equal (rgy_replica_get_update_count (replica), 0);
  /* The huge entry reaches others by synchronisation.  */
  e = make_entry_ (RGY_ENTRY_CONTRACT, "huge", 1, huge);
  assert_non_null (rgy_replica_get (replica, RGY_ENTRY_CONTRACT, &e.key));
  rgy_replica_delete (replica);
}

/* A replica without peers cannot send updates.  Guards against updates that
   are dropped before the first peer is known.  */
static void
updates_wait_for_the_first_peer_ (void **state)
{
  struct rgy_replica *replica = rgy_replica_new ();
  struct rgy_entry e = make_entry_ (RGY_ENTRY_DOMAIN, "cxs-c", 3, "out");
  const struct rgy_entry *out[1];

  (void)state;
  rgy_replica_merge (replica, &e);
  assert_int_equal (take_updates_ (replica, 0, out, 1), 0);
  assert_int_equal (take_updates_ (replica, 3, out, 0), 0);
  assert_int_equal (take_updates_ (replica, 3, out, 1), 1);
  rgy_replica_delete (replica);
}

/* Guards against entries of the initial synchronisation that fill the gossip
   of a starting replica, although all others have them.  */
static void
unqueued_merge_queues_no_update_ (void **state)
{
  struct rgy_replica *replica = rgy_replica_new ();
  struct rgy_entry e = make_entry_ (RGY_ENTRY_DOMAIN, "cxs-c", 3, "out");
  const struct rgy_entry *out[1];

  (void)state;
  assert_int_equal (rgy_replica_merge_unqueued (replica, &e), RGY_OK);
  assert_int_equal (rgy_replica_merge_unqueued (replica, &e), RGY_ERR_STALE);
  assert_int_equal (take_updates_ (replica, 3, out, 1), 0);
  e.version.major = 4;
  assert_int_equal (rgy_replica_merge (replica, &e), RGY_OK);
  assert_int_equal (take_updates_ (replica, 3, out, 1), 1);
  rgy_replica_delete (replica);
}

/* Dissemination of an update among many replicas.  */

#define REPLICA_COUNT 460
#define ROUND_LIMIT 20 /* Rounds of 200 ms each: 4 s of the target of 6 s. */
#define DATAGRAM_BYTES 1200
#define DATAGRAM_ENTRIES 32

static unsigned
ceil_log2_ (unsigned n)
{
  unsigned bits = 0;

  while ((1U << bits) < n)
    bits++;
  return bits;
}

/* Datagram in transit; its entries belong to the sender.  */
struct datagram_
{
  unsigned from;
  unsigned to;
  const struct rgy_entry *entries[DATAGRAM_ENTRIES];
  size_t count;
};

static void
fill_datagram_ (struct rgy_replica *const *replicas, struct datagram_ *d,
                unsigned from, unsigned to)
{
  d->from = from;
  d->to = to;
  d->count = rgy_replica_take_updates (
      replicas[from], 3 * ceil_log2_ (REPLICA_COUNT), DATAGRAM_BYTES,
      d->entries, DATAGRAM_ENTRIES);
}

static void
deliver_datagram_ (struct rgy_replica *const *replicas,
                   const struct datagram_ *d, GRand *rand, double loss)
{
  size_t i;

  if (g_rand_double (rand) < loss)
    return;
  for (i = 0; i < d->count; i++)
    rgy_replica_merge (replicas[d->to], d->entries[i]);
}

/* Counts the rounds until one update of replica 0 has reached all replicas;
   the result is ROUND_LIMIT + 1 when the limit is exceeded.  In each round
   every replica sends GOSSIP to a random other one, which replies with
   GOSSIP_ACK; both carry updates.  All datagrams of a step are sent before the
   first of them arrives, so that an update moves at most twice a round.  */
static unsigned
count_rounds_to_reach_all_ (guint32 seed, double loss)
{
  static struct datagram_ datagrams[REPLICA_COUNT];
  struct rgy_replica *replicas[REPLICA_COUNT];
  struct rgy_entry e
      = make_entry_ (RGY_ENTRY_CONTRACT, "rodaforte", 9, "contract");
  GRand *rand = g_rand_new_with_seed (seed);
  unsigned reached = 0;
  unsigned round = 0;
  unsigned peer;
  unsigned i;

  for (i = 0; i < REPLICA_COUNT; i++)
    replicas[i] = rgy_replica_new ();
  rgy_replica_merge (replicas[0], &e);
  while (reached < REPLICA_COUNT && round <= ROUND_LIMIT)
    {
      round++;
      for (i = 0; i < REPLICA_COUNT; i++)
        {
          peer = (unsigned)g_rand_int_range (rand, 0, REPLICA_COUNT - 1);
          peer += peer >= i;
          fill_datagram_ (replicas, &datagrams[i], i, peer);
        }
      for (i = 0; i < REPLICA_COUNT; i++)
        deliver_datagram_ (replicas, &datagrams[i], rand, loss);
      for (i = 0; i < REPLICA_COUNT; i++)
        fill_datagram_ (replicas, &datagrams[i], datagrams[i].to,
                        datagrams[i].from);
      for (i = 0; i < REPLICA_COUNT; i++)
        deliver_datagram_ (replicas, &datagrams[i], rand, loss);
      reached = 0;
      for (i = 0; i < REPLICA_COUNT; i++)
        reached += rgy_replica_get (replicas[i], RGY_ENTRY_CONTRACT, &e.key)
                   != NULL;
    }
  for (i = 0; i < REPLICA_COUNT; i++)
    rgy_replica_delete (replicas[i]);
  g_rand_free (rand);
  return round;
}

/* Guards against gossip that spreads a change too slowly for the target
   of six seconds.  */
static void
update_reaches_460_replicas_in_time_ (void **state)
{
  guint32 seed;

  (void)state;
  for (seed = 1; seed <= SEED_COUNT; seed++)
    assert_in_range (count_rounds_to_reach_all_ (seed, 0.0), 1, ROUND_LIMIT);
}

/* Guards against gossip that misses the target when links between failure
   domains drop packets.  */
static void
update_reaches_460_replicas_despite_loss_ (void **state)
{
  guint32 seed;

  (void)state;
  for (seed = 1; seed <= SEED_COUNT; seed++)
    assert_in_range (count_rounds_to_reach_all_ (seed, 0.05), 1, ROUND_LIMIT);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (merge_order_does_not_change_the_result_),
    cmocka_unit_test (older_version_is_stale_),
    cmocka_unit_test (older_entry_does_not_replace_tombstone_),
    cmocka_unit_test (malformed_entry_is_rejected_),
    cmocka_unit_test (value_is_copied_),
    cmocka_unit_test (digest_of_empty_class_is_zero_),
    cmocka_unit_test (digest_covers_key_version_and_tombstone_),
    cmocka_unit_test (iteration_is_in_key_order_),
    cmocka_unit_test (synchronisation_finds_every_difference_),
    cmocka_unit_test (synchronisation_sends_only_differing_buckets_),
    cmocka_unit_test (update_is_sent_exactly_the_given_times_),
    cmocka_unit_test (new_version_replaces_queued_update_),
    cmocka_unit_test (newest_update_is_sent_first_),
    cmocka_unit_test (datagram_size_limit_is_respected_),
    cmocka_unit_test (updates_wait_for_the_first_peer_),
    cmocka_unit_test (unqueued_merge_queues_no_update_),
    cmocka_unit_test (update_reaches_460_replicas_in_time_),
    cmocka_unit_test (update_reaches_460_replicas_despite_loss_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
