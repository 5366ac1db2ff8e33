#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwortyoke/blackboard.h"

#define INVALID_COUNTER "entries_invalid_total"

static const struct rgy_endpoint workshop_
    = { .ip = 0x7f000a01, .port = 5683 };
static const struct rgy_endpoint catalogue_
    = { .ip = 0x7f000a02, .port = 5683 };
static const uint32_t caller_ = 0x7f010001;

struct fixture
{
  struct rgy_counters *counters;
  struct rgy_blackboard *bb;
};

static int
setup_ (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);

  f->counters = rgy_counters_new ();
  f->bb = rgy_blackboard_new (f->counters);
  *state = f;
  return 0;
}

static int
teardown_ (void **state)
{
  struct fixture *f = *state;

  rgy_blackboard_delete (f->bb);
  rgy_counters_delete (f->counters);
  g_free (f);
  return 0;
}

/* Construction of entries.  */

static enum rgy_outcome
apply_text_ (struct fixture *f, enum rgy_entry_class class, const char *key,
             uint64_t major, uint64_t minor, const char *text)
{
  struct rgy_entry entry
      = { .class = class,
          .key = rgy_name_from_c (key),
          .version = { .major = major, .minor = minor },
          .value = { .data = (const uint8_t *)text, .len = strlen (text) } };

  return rgy_blackboard_apply (f->bb, &entry);
}

static enum rgy_outcome
put_contract_ (struct fixture *f, const char *customer, uint64_t revision,
               uint64_t bytes_per_second)
{
  char *text = g_strdup_printf (
      "{\"customer\": \"%s\", \"callers\": [\"127.1.0.0/16\"],"
      " \"limits\": {\"bytes_per_second\": %" G_GUINT64_FORMAT "},"
      " \"services\": [{\"name\": \"workshop\","
      " \"address\": \"127.0.10.1:5683\", \"protocol\": \"coap\"}]}",
      customer, bytes_per_second);
  enum rgy_outcome rc
      = apply_text_ (f, RGY_ENTRY_CONTRACT, customer, revision, 0, text);

  g_free (text);
  return rc;
}

static enum rgy_outcome
delete_entry_ (struct fixture *f, enum rgy_entry_class class, const char *key,
               uint64_t major)
{
  struct rgy_entry entry = { .class = class,
                             .key = rgy_name_from_c (key),
                             .version = { .major = major },
                             .deleted = true };

  return rgy_blackboard_apply (f->bb, &entry);
}

static enum rgy_outcome
put_order_ (struct fixture *f, const char *domain, bool out, uint64_t number,
            uint64_t id)
{
  struct rgy_domain_order order = { .domain = rgy_name_from_c (domain),
                                    .out = out,
                                    .number = number,
                                    .id = id,
                                    .operator_name = rgy_name_from_c ("ana") };
  char *text = rgy_domain_order_format (&order);
  enum rgy_outcome rc
      = apply_text_ (f, RGY_ENTRY_DOMAIN, domain, number, id, text);

  g_free (text);
  return rc;
}

/* Applies the "in" order number 4 of poa-a in an entry with
   the given version.  */
static enum rgy_outcome
put_order_with_version_ (struct fixture *f, uint64_t number, uint64_t id)
{
  struct rgy_domain_order order = { .domain = rgy_name_from_c ("poa-a"),
                                    .number = 4,
                                    .id = 99,
                                    .operator_name = rgy_name_from_c ("ana") };
  char *text = rgy_domain_order_format (&order);
  enum rgy_outcome rc
      = apply_text_ (f, RGY_ENTRY_DOMAIN, "poa-a", number, id, text);

  g_free (text);
  return rc;
}

static struct rgy_agent_record
make_agent_record_ (const char *id, uint64_t epoch, uint64_t sequence,
                    struct rgy_endpoint service)
{
  return (struct rgy_agent_record){ .id = rgy_name_from_c (id),
                                    .epoch = epoch,
                                    .sequence = sequence,
                                    .state = RGY_MEMBER_READY,
                                    .domain = rgy_name_from_c ("poa-a"),
                                    .endpoint = { .ip = 1, .port = 2 },
                                    .service = service };
}

/* Applies an agent's record in an entry with the given key and version.  */
static enum rgy_outcome
put_agent_with_version_ (struct fixture *f,
                         const struct rgy_agent_record *record,
                         const char *key, uint64_t epoch, uint64_t sequence)
{
  GByteArray *bytes = rgy_agent_record_encode (record);
  struct rgy_entry entry
      = { .class = RGY_ENTRY_AGENT,
          .key = rgy_name_from_c (key),
          .version = { .major = epoch, .minor = sequence },
          .value = { .data = bytes->data, .len = bytes->len } };
  enum rgy_outcome rc = rgy_blackboard_apply (f->bb, &entry);

  g_byte_array_unref (bytes);
  return rc;
}

static enum rgy_outcome
put_agent_ (struct fixture *f, const struct rgy_agent_record *record)
{
  return put_agent_with_version_ (f, record, record->id.data, record->epoch,
                                  record->sequence);
}

static enum rgy_outcome
put_balancer_with_version_ (struct fixture *f, const char *key, uint64_t epoch,
                            uint64_t sequence)
{
  struct rgy_balancer_record record = { .id = rgy_name_from_c ("balancer-1"),
                                        .epoch = 3,
                                        .sequence = 4,
                                        .state = RGY_MEMBER_READY,
                                        .domain = rgy_name_from_c ("poa-a"),
                                        .endpoint = { .ip = 1, .port = 3 } };
  GByteArray *bytes = rgy_balancer_record_encode (&record);
  struct rgy_entry entry
      = { .class = RGY_ENTRY_BALANCER,
          .key = rgy_name_from_c (key),
          .version = { .major = epoch, .minor = sequence },
          .value = { .data = bytes->data, .len = bytes->len } };
  enum rgy_outcome rc = rgy_blackboard_apply (f->bb, &entry);

  g_byte_array_unref (bytes);
  return rc;
}

/* State of the blackboard.  */

static const struct rgy_contract *
get_contract_ (struct fixture *f, const char *customer)
{
  struct rgy_name name = rgy_name_from_c (customer);

  return rgy_contract_set_get (f->bb->contracts, &name);
}

static bool
is_out_ (struct fixture *f, const char *domain)
{
  struct rgy_name name = rgy_name_from_c (domain);

  return rgy_domain_set_is_out (f->bb->domains, &name);
}

static size_t
get_group_size_ (struct fixture *f, struct rgy_endpoint service)
{
  return rgy_blackboard_get_group (f->bb, service)->agents->len;
}

/* State that a change may affect.  */
struct snapshot
{
  uint64_t digests[RGY_ENTRY_CLASS_COUNT];
  uint64_t changes[RGY_ENTRY_CLASS_COUNT];
  size_t contracts;
  unsigned agents;
  unsigned balancers;
  uint64_t workshop;
  uint64_t workshop_changes;
  uint64_t catalogue;
  uint64_t catalogue_changes;
  uint64_t revision;
  bool out;
};

static struct snapshot
take_snapshot_ (struct fixture *f)
{
  struct snapshot s;
  const struct rgy_contract *contract = get_contract_ (f, "rodaforte");
  int class;

  /* Snapshots are compared as memory, so the padding must be
     equal as well.  */
  memset (&s, 0, sizeof s);
  for (class = 0; class < RGY_ENTRY_CLASS_COUNT; class ++)
    {
      s.digests[class] = rgy_replica_get_digest (f->bb->replica,
                                                 (enum rgy_entry_class) class);
      s.changes[class] = f->bb->changes[class];
    }
  s.contracts = rgy_contract_set_get_count (f->bb->contracts);
  s.agents = g_hash_table_size (f->bb->agents);
  s.balancers = g_hash_table_size (f->bb->balancers);
  s.workshop = rgy_blackboard_get_group_digest (f->bb, workshop_);
  s.workshop_changes = rgy_blackboard_get_group (f->bb, workshop_)->changes;
  s.catalogue = rgy_blackboard_get_group_digest (f->bb, catalogue_);
  s.catalogue_changes = rgy_blackboard_get_group (f->bb, catalogue_)->changes;
  s.revision = contract == NULL ? 0 : contract->revision;
  s.out = is_out_ (f, "poa-a");
  return s;
}

static void
assert_unchanged_ (struct fixture *f, const struct snapshot *before)
{
  struct snapshot now = take_snapshot_ (f);

  assert_memory_equal (&now, before, sizeof now);
}

/* Applies one entry of each class.  */
static void
populate_blackboard_ (struct fixture *f)
{
  struct rgy_agent_record agent
      = make_agent_record_ ("agent-1", 5, 8, workshop_);

  assert_int_equal (put_contract_ (f, "rodaforte", 10, 100), RGY_OK);
  assert_int_equal (put_order_ (f, "poa-a", true, 5, 50), RGY_OK);
  assert_int_equal (put_agent_ (f, &agent), RGY_OK);
  assert_int_equal (put_balancer_with_version_ (f, "balancer-1", 3, 4),
                    RGY_OK);
}

/* Tests of rgy_blackboard_apply().  */

/* Guards against a change that does not reach all state derived from its
   class, so that a controller would use the old state.  */
static void
new_entry_of_each_class_is_applied_ (void **state)
{
  struct fixture *f = *state;
  struct rgy_name agent = rgy_name_from_c ("agent-1");
  struct rgy_name balancer = rgy_name_from_c ("balancer-1");
  const struct rgy_contract *contract;
  const struct rgy_contract_service *service;
  int class;

  populate_blackboard_ (f);
  assert_int_equal (rgy_contract_set_match (f->bb->contracts, caller_,
                                            workshop_, &contract, &service),
                    RGY_OK);
  assert_int_equal (contract->revision, 10);
  assert_true (is_out_ (f, "poa-a"));
  assert_non_null (rgy_blackboard_get_agent (f->bb, &agent));
  assert_non_null (rgy_blackboard_get_balancer (f->bb, &balancer));
  assert_int_equal (get_group_size_ (f, workshop_), 1);
  assert_false (rgy_blackboard_agent_is_live (
      f->bb, rgy_blackboard_get_agent (f->bb, &agent)));
  assert_false (rgy_blackboard_balancer_is_usable (
      f->bb, rgy_blackboard_get_balancer (f->bb, &balancer)));
  for (class = 0; class < RGY_ENTRY_CLASS_COUNT; class ++)
    {
      assert_int_equal (f->bb->changes[class], 1);
      assert_int_equal (
          rgy_replica_get_count (f->bb->replica, (enum rgy_entry_class) class),
          1);
    }
}

/* Guards against a malformed entry that replaces a valid one in the replica,
   from which it would spread, or in the derived state.  */
static void
invalid_entry_changes_nothing_ (void **state)
{
  struct fixture *f = *state;
  struct rgy_agent_record agent
      = make_agent_record_ ("agent-1", 6, 10, catalogue_);
  struct snapshot before;
  enum rgy_outcome results[24];
  size_t count = 0;
  size_t i;

  populate_blackboard_ (f);
  before = take_snapshot_ (f);
  results[count++]
      = apply_text_ (f, RGY_ENTRY_CONTRACT, "rodaforte", 11, 0, "");
  results[count++]
      = apply_text_ (f, RGY_ENTRY_CONTRACT, "rodaforte", 11, 0, "{\"cust");
  results[count++]
      = apply_text_ (f, RGY_ENTRY_CONTRACT, "rodaforte", 11, 0,
                     "{\"customer\": \"rodaforte\", \"callers\": [],"
                     " \"services\": []}");
  /* The contract is valid but belongs to another customer.  */
  results[count++] = apply_text_ (
      f, RGY_ENTRY_CONTRACT, "rodaforte", 11, 0,
      "{\"customer\": \"hollenbeck\", \"callers\": [\"127.1.0.0/16\"],"
      " \"services\": [{\"name\": \"workshop\","
      " \"address\": \"127.0.10.1:5683\", \"protocol\": \"coap\"}]}");
  results[count++] = apply_text_ (f, RGY_ENTRY_DOMAIN, "poa-a", 6, 0, "{}");
  results[count++] = delete_entry_ (f, RGY_ENTRY_DOMAIN, "poa-a", 6);
  /* The version of the entry is newer, the order in it is older.  */
  results[count++] = put_order_with_version_ (f, 6, 50);
  results[count++] = put_order_with_version_ (f, 5, 51);
  results[count++]
      = apply_text_ (f, RGY_ENTRY_AGENT, "agent-1", 6, 10, "\x97\x01");
  /* The key or the version of the entry differs from the record's.  */
  results[count++] = put_agent_with_version_ (f, &agent, "agent-2", 6, 10);
  results[count++] = put_agent_with_version_ (f, &agent, "agent-1", 7, 10);
  results[count++] = put_agent_with_version_ (f, &agent, "agent-1", 6, 12);
  results[count++] = delete_entry_ (f, RGY_ENTRY_AGENT, "agent-1", 6);
  results[count++]
      = apply_text_ (f, RGY_ENTRY_BALANCER, "balancer-1", 6, 10, "\x9c");
  results[count++]
      = apply_text_ (f, RGY_ENTRY_CLASS_COUNT, "rodaforte", 11, 0, "{}");
  results[count++] = put_balancer_with_version_ (f, "balancer-2", 3, 4);
  results[count++] = put_balancer_with_version_ (f, "balancer-1", 3, 6);
  results[count++] = delete_entry_ (f, RGY_ENTRY_BALANCER, "balancer-1", 6);
  for (i = 0; i < count; i++)
    assert_int_equal (results[i], RGY_ERR_INVALID);
  assert_unchanged_ (f, &before);
  assert_int_equal (rgy_counters_get (f->counters, INVALID_COUNTER, NULL),
                    count);
}

/* Gossip delivers entries repeatedly and in any order.  Guards against an
   older entry that reverts an active change.  */
static void
older_entry_changes_nothing_ (void **state)
{
  struct fixture *f = *state;
  struct rgy_agent_record restarted
      = make_agent_record_ ("agent-1", 4, 20, catalogue_);
  struct rgy_agent_record earlier
      = make_agent_record_ ("agent-1", 5, 6, catalogue_);
  struct rgy_agent_record repeated
      = make_agent_record_ ("agent-1", 5, 8, workshop_);
  struct snapshot before;

  populate_blackboard_ (f);
  before = take_snapshot_ (f);
  assert_int_equal (put_contract_ (f, "rodaforte", 9, 200), RGY_ERR_STALE);
  assert_int_equal (put_contract_ (f, "rodaforte", 10, 100), RGY_ERR_STALE);
  assert_int_equal (delete_entry_ (f, RGY_ENTRY_CONTRACT, "rodaforte", 9),
                    RGY_ERR_STALE);
  assert_int_equal (put_order_ (f, "poa-a", false, 4, 99), RGY_ERR_STALE);
  assert_int_equal (put_order_ (f, "poa-a", false, 5, 49), RGY_ERR_STALE);
  assert_int_equal (put_order_ (f, "poa-a", true, 5, 50), RGY_ERR_STALE);
  assert_int_equal (put_agent_ (f, &restarted), RGY_ERR_STALE);
  assert_int_equal (put_agent_ (f, &earlier), RGY_ERR_STALE);
  assert_int_equal (put_agent_ (f, &repeated), RGY_ERR_STALE);
  assert_int_equal (put_balancer_with_version_ (f, "balancer-1", 3, 4),
                    RGY_ERR_STALE);
  assert_unchanged_ (f, &before);
  assert_int_equal (get_contract_ (f, "rodaforte")->bytes_per_second, 100);
  assert_int_equal (rgy_counters_get (f->counters, INVALID_COUNTER, NULL), 0);
}

/* Guards against the return of a deleted contract by an older put that some
   replica still spreads.  A newer put is a new contract.  */
static void
older_put_does_not_restore_deleted_contract_ (void **state)
{
  struct fixture *f = *state;
  const struct rgy_contract *contract;
  const struct rgy_contract_service *service;
  struct snapshot before;

  assert_int_equal (put_contract_ (f, "rodaforte", 10, 100), RGY_OK);
  assert_int_equal (delete_entry_ (f, RGY_ENTRY_CONTRACT, "rodaforte", 20),
                    RGY_OK);
  assert_null (get_contract_ (f, "rodaforte"));
  assert_int_equal (rgy_contract_set_match (f->bb->contracts, caller_,
                                            workshop_, &contract, &service),
                    RGY_ERR_NOT_FOUND);
  before = take_snapshot_ (f);
  assert_int_equal (put_contract_ (f, "rodaforte", 10, 100), RGY_ERR_STALE);
  assert_int_equal (put_contract_ (f, "rodaforte", 19, 100), RGY_ERR_STALE);
  assert_int_equal (put_contract_ (f, "rodaforte", 20, 100), RGY_ERR_STALE);
  assert_unchanged_ (f, &before);
  assert_int_equal (put_contract_ (f, "rodaforte", 21, 300), RGY_OK);
  assert_int_equal (get_contract_ (f, "rodaforte")->bytes_per_second, 300);
}

/* Guards against processes that end with different entries when they receive
   the same ones in different orders: digests that differ permanently would
   make them synchronise for ever.  */
static void
deletion_wins_at_equal_revisions_ (void **state)
{
  struct fixture *f = *state;
  struct fixture *g;
  void *other = NULL;

  setup_ (&other);
  g = other;
  assert_int_equal (put_contract_ (f, "rodaforte", 10, 100), RGY_OK);
  assert_int_equal (delete_entry_ (f, RGY_ENTRY_CONTRACT, "rodaforte", 10),
                    RGY_OK);
  assert_int_equal (delete_entry_ (g, RGY_ENTRY_CONTRACT, "rodaforte", 10),
                    RGY_OK);
  assert_int_equal (put_contract_ (g, "rodaforte", 10, 100), RGY_ERR_STALE);
  assert_int_equal (rgy_blackboard_get_config_digest (f->bb),
                    rgy_blackboard_get_config_digest (g->bb));
  assert_null (get_contract_ (f, "rodaforte"));
  assert_null (get_contract_ (g, "rodaforte"));
  teardown_ (&other);
}

/* A process may receive the deletion before the contract.  Guards against the
   deletion being lost in this case.  */
static void
deletion_of_an_unknown_contract_is_kept_ (void **state)
{
  struct fixture *f = *state;

  assert_int_equal (delete_entry_ (f, RGY_ENTRY_CONTRACT, "rodaforte", 20),
                    RGY_OK);
  assert_int_equal (put_contract_ (f, "rodaforte", 10, 100), RGY_ERR_STALE);
  assert_null (get_contract_ (f, "rodaforte"));
}

/* Guards against an agent that was restarted for another service and stays in
   the table of the old one, so that packets of one service reach another.  */
static void
agent_that_changes_service_leaves_its_group_ (void **state)
{
  struct fixture *f = *state;
  struct rgy_agent_record first
      = make_agent_record_ ("agent-1", 5, 8, workshop_);
  struct rgy_agent_record second
      = make_agent_record_ ("agent-2", 5, 8, workshop_);
  struct rgy_agent_record moved
      = make_agent_record_ ("agent-1", 6, 0, catalogue_);
  const struct rgy_group *group;
  uint64_t changes;

  assert_int_equal (put_agent_ (f, &first), RGY_OK);
  assert_int_equal (put_agent_ (f, &second), RGY_OK);
  assert_int_equal (get_group_size_ (f, workshop_), 2);
  changes = rgy_blackboard_get_group (f->bb, workshop_)->changes;
  assert_int_equal (put_agent_ (f, &moved), RGY_OK);
  group = rgy_blackboard_get_group (f->bb, workshop_);
  assert_int_equal (group->agents->len, 1);
  assert_ptr_equal (g_ptr_array_index (group->agents, 0),
                    rgy_blackboard_get_agent (f->bb, &second.id));
  assert_true (group->changes > changes);
  group = rgy_blackboard_get_group (f->bb, catalogue_);
  assert_int_equal (group->agents->len, 1);
  assert_ptr_equal (g_ptr_array_index (group->agents, 0),
                    rgy_blackboard_get_agent (f->bb, &moved.id));
}

/* Guards against a group that refers to a freed earlier record, and against a
   group digest that does not change with the record: the agents of the service
   compare this digest.  */
static void
group_contains_current_records_ (void **state)
{
  struct fixture *f = *state;
  struct rgy_agent_record record
      = make_agent_record_ ("agent-1", 5, 8, workshop_);
  const struct rgy_agent_record *known;
  uint64_t digest;

  assert_int_equal (put_agent_ (f, &record), RGY_OK);
  digest = rgy_blackboard_get_group_digest (f->bb, workshop_);
  record.sequence = 9;
  record.state = RGY_MEMBER_DEAD;
  assert_int_equal (put_agent_ (f, &record), RGY_OK);
  assert_int_equal (get_group_size_ (f, workshop_), 1);
  known = g_ptr_array_index (
      rgy_blackboard_get_group (f->bb, workshop_)->agents, 0);
  assert_int_equal (known->state, RGY_MEMBER_DEAD);
  assert_false (rgy_blackboard_agent_is_live (f->bb, known));
  assert_int_not_equal (digest,
                        rgy_blackboard_get_group_digest (f->bb, workshop_));
}

/* Guards against a configuration digest that depends on the order of arrival:
   ragwortyokectl compares the digests of processes.  */
static void
config_digest_is_independent_of_order_ (void **state)
{
  struct fixture *f = *state;
  struct fixture *g;
  void *other = NULL;

  setup_ (&other);
  g = other;
  assert_int_equal (put_contract_ (f, "rodaforte", 10, 100), RGY_OK);
  assert_int_equal (put_contract_ (f, "hollenbeck", 12, 100), RGY_OK);
  assert_int_equal (put_order_ (f, "poa-a", true, 5, 50), RGY_OK);
  assert_int_equal (put_order_ (g, "poa-a", false, 4, 99), RGY_OK);
  assert_int_equal (put_order_ (g, "poa-a", true, 5, 50), RGY_OK);
  assert_int_equal (put_contract_ (g, "hollenbeck", 12, 100), RGY_OK);
  assert_int_not_equal (rgy_blackboard_get_config_digest (f->bb),
                        rgy_blackboard_get_config_digest (g->bb));
  assert_int_equal (put_contract_ (g, "rodaforte", 10, 100), RGY_OK);
  assert_int_equal (rgy_blackboard_get_config_digest (f->bb),
                    rgy_blackboard_get_config_digest (g->bb));
  teardown_ (&other);
}

#define TEST(function)                                                        \
  cmocka_unit_test_setup_teardown (function, setup_, teardown_)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (new_entry_of_each_class_is_applied_),
    TEST (invalid_entry_changes_nothing_),
    TEST (older_entry_changes_nothing_),
    TEST (older_put_does_not_restore_deleted_contract_),
    TEST (deletion_wins_at_equal_revisions_),
    TEST (deletion_of_an_unknown_contract_is_kept_),
    TEST (agent_that_changes_service_leaves_its_group_),
    TEST (group_contains_current_records_),
    TEST (config_digest_is_independent_of_order_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
