#include "ragwortyoke/replica.h"

#include <glib.h>
#include <string.h>

#include "private/update_queue.h"

/* Seeds that make the bucket of a key independent of its digest and of other
   uses of rgy_name_hash().  */
#define DIGEST_SEED UINT64_C (0x7267792d64696773)
#define BUCKET_SEED UINT64_C (0x7267792d62756b74)

/* Size of a node of GLib's balanced tree: five pointers and three bytes,
   rounded up to the allocator's granularity.  */
#define TREE_NODE_BYTES 64

const char *const rgy_entry_class_string[] = {
  [RGY_ENTRY_CONTRACT] = "contract",
  [RGY_ENTRY_DOMAIN] = "domain",
  [RGY_ENTRY_AGENT] = "agent",
  [RGY_ENTRY_BALANCER] = "balancer",
};

struct node_
{
  struct rgy_entry entry;
  struct rgy_update update;
};

struct class_
{
  GTree *nodes; /* Nodes by key.  */
  uint64_t digest;
  uint64_t subdigests[RGY_SUBDIGEST_COUNT];
};

struct rgy_replica
{
  struct class_ classes[RGY_ENTRY_CLASS_COUNT];
  struct rgy_update_queue queue;
  size_t value_bytes;
};

/* Properties of single entries.  */

int
rgy_version_compare (struct rgy_version a, struct rgy_version b)
{
  if (a.major != b.major)
    return a.major < b.major ? -1 : 1;
  if (a.minor != b.minor)
    return a.minor < b.minor ? -1 : 1;
  return 0;
}

uint64_t
rgy_entry_get_hash (const struct rgy_entry *entry)
{
  uint64_t words[]
      = { rgy_name_hash (&entry->key, DIGEST_SEED), (uint64_t)entry->class,
          entry->version.major, entry->version.minor, entry->deleted ? 1 : 0 };
  size_t i;

  /* Processes compare digests, so the hash covers the words in little-endian
     order on every machine.  */
  for (i = 0; i < G_N_ELEMENTS (words); i++)
    words[i] = GUINT64_TO_LE (words[i]);
  return rgy_hash_bytes ((struct rgy_bytes){ .data = (const uint8_t *)words,
                                             .len = sizeof words },
                         DIGEST_SEED);
}

unsigned
rgy_entry_get_bucket (const struct rgy_entry *entry)
{
  return (unsigned)(rgy_name_hash (&entry->key, BUCKET_SEED)
                    % RGY_SUBDIGEST_COUNT);
}

/* Creation and deletion.  */

static int
compare_keys_ (const void *a, const void *b, void *ctx)
{
  (void)ctx;
  return rgy_name_compare (a, b);
}

static void
node_free_ (void *data)
{
  struct node_ *node = data;

  g_free ((void *)node->entry.value.data);
  g_free (node);
}

struct rgy_replica *
rgy_replica_new (void)
{
  struct rgy_replica *replica = g_new0 (struct rgy_replica, 1);
  size_t i;

  for (i = 0; i < RGY_ENTRY_CLASS_COUNT; i++)
    replica->classes[i].nodes
        = g_tree_new_full (compare_keys_, NULL, NULL, node_free_);
  rgy_update_queue_init (&replica->queue);
  return replica;
}

void
rgy_replica_delete (struct rgy_replica *replica)
{
  size_t i;

  if (replica == NULL)
    return;
  for (i = 0; i < RGY_ENTRY_CLASS_COUNT; i++)
    g_tree_unref (replica->classes[i].nodes);
  g_free (replica);
}

/* Merging, lookup and removal of entries.  */

/* XORs the hash of an entry into the digests, which adds the entry or removes
   it again.  */
static void
toggle_digest_ (struct class_ *class, const struct rgy_entry *entry)
{
  uint64_t hash = rgy_entry_get_hash (entry);

  class->digest ^= hash;
  class->subdigests[rgy_entry_get_bucket (entry)] ^= hash;
}

static bool
is_newer_ (const struct rgy_entry *a, const struct rgy_entry *b)
{
  int order = rgy_version_compare (a->version, b->version);

  return order > 0 || (order == 0 && a->deleted && !b->deleted);
}

static struct node_ *
find_node_ (const struct rgy_replica *replica, enum rgy_entry_class class,
            const struct rgy_name *key)
{
  g_assert ((unsigned)class < RGY_ENTRY_CLASS_COUNT);
  return g_tree_lookup (replica->classes[class].nodes, key);
}

static enum rgy_outcome
merge_entry_ (struct rgy_replica *replica, const struct rgy_entry *entry,
              struct node_ **merged)
{
  struct class_ *class;
  struct node_ *node;

  if ((unsigned)entry->class >= RGY_ENTRY_CLASS_COUNT || entry->key.len == 0)
    return RGY_ERR_INVALID;
  class = &replica->classes[entry->class];
  node = find_node_ (replica, entry->class, &entry->key);
  if (node != NULL && !is_newer_ (entry, &node->entry))
    return RGY_ERR_STALE;
  if (node == NULL)
    {
      node = g_new0 (struct node_, 1);
      node->entry.class = entry->class;
      node->entry.key = entry->key;
      node->update.entry = &node->entry;
      g_tree_insert (class->nodes, &node->entry.key, node);
    }
  else
    {
      toggle_digest_ (class, &node->entry);
      replica->value_bytes -= node->entry.value.len;
      g_free ((void *)node->entry.value.data);
    }
  node->entry.version = entry->version;
  node->entry.deleted = entry->deleted;
  node->entry.value = (struct rgy_bytes){ 0 };
  if (!entry->deleted && entry->value.len > 0)
    node->entry.value = (struct rgy_bytes){
      .data = g_memdup2 (entry->value.data, entry->value.len),
      .len = entry->value.len,
    };
  replica->value_bytes += node->entry.value.len;
  toggle_digest_ (class, &node->entry);
  *merged = node;
  return RGY_OK;
}

enum rgy_outcome
rgy_replica_merge (struct rgy_replica *replica, const struct rgy_entry *entry)
{
  struct node_ *node;
  enum rgy_outcome rc = merge_entry_ (replica, entry, &node);

  if (rc == RGY_OK)
    rgy_update_queue_push (&replica->queue, &node->update);
  return rc;
}

enum rgy_outcome
rgy_replica_merge_unqueued (struct rgy_replica *replica,
                            const struct rgy_entry *entry)
{
  struct node_ *node;
  enum rgy_outcome rc = merge_entry_ (replica, entry, &node);

  if (rc == RGY_OK)
    rgy_update_queue_remove (&replica->queue, &node->update);
  return rc;
}

const struct rgy_entry *
rgy_replica_get (const struct rgy_replica *replica, enum rgy_entry_class class,
                 const struct rgy_name *key)
{
  const struct node_ *node = find_node_ (replica, class, key);

  return node == NULL ? NULL : &node->entry;
}

void
rgy_replica_prune (struct rgy_replica *replica, enum rgy_entry_class class,
                   const struct rgy_name *key)
{
  struct node_ *node = find_node_ (replica, class, key);

  if (node == NULL)
    return;
  rgy_update_queue_remove (&replica->queue, &node->update);
  toggle_digest_ (&replica->classes[class], &node->entry);
  replica->value_bytes -= node->entry.value.len;
  g_tree_remove (replica->classes[class].nodes, key);
}

size_t
rgy_replica_get_count (const struct rgy_replica *replica,
                       enum rgy_entry_class class)
{
  g_assert ((unsigned)class < RGY_ENTRY_CLASS_COUNT);
  return (size_t)g_tree_nnodes (replica->classes[class].nodes);
}

/* Iteration and digests.  */

void
rgy_replica_foreach (const struct rgy_replica *replica,
                     enum rgy_entry_class class, rgy_entry_fn fn, void *ctx)
{
  const struct node_ *node;
  GTreeNode *at;

  g_assert ((unsigned)class < RGY_ENTRY_CLASS_COUNT);
  for (at = g_tree_node_first (replica->classes[class].nodes); at != NULL;
       at = g_tree_node_next (at))
    {
      node = g_tree_node_value (at);
      fn (&node->entry, ctx);
    }
}

uint64_t
rgy_replica_get_digest (const struct rgy_replica *replica,
                        enum rgy_entry_class class)
{
  g_assert ((unsigned)class < RGY_ENTRY_CLASS_COUNT);
  return replica->classes[class].digest;
}

void
rgy_replica_get_subdigests (const struct rgy_replica *replica,
                            enum rgy_entry_class class,
                            uint64_t subdigests[RGY_SUBDIGEST_COUNT])
{
  g_assert ((unsigned)class < RGY_ENTRY_CLASS_COUNT);
  memcpy (subdigests, replica->classes[class].subdigests,
          sizeof replica->classes[class].subdigests);
}

struct difference_
{
  const uint64_t *ours;
  const uint64_t *theirs;
  rgy_entry_fn fn;
  void *ctx;
};

static void
report_difference_ (const struct rgy_entry *entry, void *ctx)
{
  const struct difference_ *d = ctx;
  unsigned bucket = rgy_entry_get_bucket (entry);

  if (d->ours[bucket] != d->theirs[bucket])
    d->fn (entry, d->ctx);
}

void
rgy_replica_foreach_difference (const struct rgy_replica *replica,
                                enum rgy_entry_class class,
                                const uint64_t theirs[RGY_SUBDIGEST_COUNT],
                                rgy_entry_fn fn, void *ctx)
{
  struct difference_ d;

  g_assert ((unsigned)class < RGY_ENTRY_CLASS_COUNT);
  d = (struct difference_){ .ours = replica->classes[class].subdigests,
                            .theirs = theirs,
                            .fn = fn,
                            .ctx = ctx };
  rgy_replica_foreach (replica, class, report_difference_, &d);
}

/* Update queue and memory use.  */

size_t
rgy_replica_take_updates (struct rgy_replica *replica, unsigned transmissions,
                          size_t max_bytes, const struct rgy_entry **out,
                          size_t max_entries)
{
  return rgy_update_queue_take (&replica->queue, transmissions, max_bytes, out,
                                max_entries);
}

size_t
rgy_replica_get_update_count (const struct rgy_replica *replica)
{
  return replica->queue.count;
}

size_t
rgy_replica_get_memory (const struct rgy_replica *replica)
{
  size_t entries = 0;
  size_t i;

  for (i = 0; i < RGY_ENTRY_CLASS_COUNT; i++)
    entries += rgy_replica_get_count (replica, (enum rgy_entry_class)i);
  return sizeof *replica + replica->value_bytes
         + entries * (sizeof (struct node_) + TREE_NODE_BYTES);
}
