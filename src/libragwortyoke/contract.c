#include "ragwortyoke/contract.h"

#include <glib.h>
#include <string.h>

#include "private/check.h"

#define MAX_COUNT_LIMIT UINT64_C (1000000000)
#define MAX_BYTES_PER_SECOND UINT64_C (1000000000000)

/* Number of bytes of an input value that an error message quotes.  */
#define MAX_QUOTED_BYTES 40

const char *const rgy_protocol_string[] = {
  [RGY_PROTOCOL_UDP] = "udp",
  [RGY_PROTOCOL_COAP] = "coap",
};

static const struct rgy_check_path root_path_ = { .text = "" };

/* Parses an optional limit; a missing limit means unlimited.  */
static bool
parse_limit_ (const json_t *limits, const struct rgy_check_path *parent,
              const char *member, uint64_t max, uint64_t *limit,
              struct rgy_check_error *error)
{
  struct rgy_check_path path = rgy_check_path_member (parent, member);
  const json_t *value = json_object_get (limits, member);

  *limit = 0;
  if (value == NULL)
    return true;
  return rgy_check_integer (value, &path, 0, max, limit, error);
}

static bool
parse_protocol_ (const json_t *value, const struct rgy_check_path *path,
                 enum rgy_protocol *protocol, struct rgy_check_error *error)
{
  struct rgy_str text = rgy_check_text (value);
  int p;

  for (p = RGY_PROTOCOL_UDP; p <= RGY_PROTOCOL_COAP; p++)
    if (rgy_str_equal (text, rgy_str_from_c (rgy_protocol_string[p])))
      {
        *protocol = (enum rgy_protocol)p;
        return true;
      }
  return rgy_check_fail (error, path, "%s, must be \"udp\" or \"coap\"",
                         value == NULL ? "is missing"
                                       : "is not a known protocol");
}

static bool
parse_address_ (const json_t *value, const struct rgy_check_path *path,
                struct rgy_endpoint *address, struct rgy_check_error *error)
{
  struct rgy_str text = rgy_check_text (value);

  if (rgy_endpoint_parse (text, address) != RGY_OK)
    return rgy_check_fail (error, path,
                           "\"%.*s\" is not a service address, must be "
                           "A.B.C.D:PORT with port 1 to 65535",
                           (int)MIN (text.len, MAX_QUOTED_BYTES), text.data);
  return true;
}

static bool
parse_domains_ (const json_t *array, const struct rgy_check_path *path,
                struct rgy_contract_service *service,
                struct rgy_check_error *error)
{
  struct rgy_check_path element;
  size_t i;
  size_t j;

  if (array == NULL)
    return true;
  if (!rgy_check_array (array, path, 0, RGY_CONTRACT_MAX_DOMAINS, error))
    return false;
  for (i = 0; i < json_array_size (array); i++)
    {
      element = rgy_check_path_element (path, i);
      if (!rgy_check_name (json_array_get (array, i), &element,
                           &service->domains[i], error))
        return false;
      for (j = 0; j < i; j++)
        if (rgy_name_equal (&service->domains[i], &service->domains[j]))
          return rgy_check_fail (error, &element,
                                 "\"%s\" is already at index %zu, a failure "
                                 "domain may be named once",
                                 service->domains[i].data, j);
      service->domain_count = i + 1;
    }
  return true;
}

static bool
parse_service_limits_ (const json_t *limits, const struct rgy_check_path *path,
                       struct rgy_service_limits *out,
                       struct rgy_check_error *error)
{
  static const char *const allowed[]
      = { "open_flows", "new_flows_per_second", "requests_in_flight", NULL };

  if (limits == NULL)
    return true;
  return rgy_check_object (limits, path, allowed, error)
         && parse_limit_ (limits, path, "open_flows", MAX_COUNT_LIMIT,
                          &out->open_flows, error)
         && parse_limit_ (limits, path, "new_flows_per_second",
                          MAX_COUNT_LIMIT, &out->new_flows_per_second, error)
         && parse_limit_ (limits, path, "requests_in_flight", MAX_COUNT_LIMIT,
                          &out->requests_in_flight, error);
}

static bool
parse_service_ (const json_t *object, const struct rgy_check_path *path,
                struct rgy_contract_service *service,
                struct rgy_check_error *error)
{
  static const char *const allowed[]
      = { "name", "address", "protocol", "failure_domains", "limits", NULL };
  struct rgy_check_path name = rgy_check_path_member (path, "name");
  struct rgy_check_path address = rgy_check_path_member (path, "address");
  struct rgy_check_path protocol = rgy_check_path_member (path, "protocol");
  struct rgy_check_path domains
      = rgy_check_path_member (path, "failure_domains");
  struct rgy_check_path limits = rgy_check_path_member (path, "limits");

  return rgy_check_object (object, path, allowed, error)
         && rgy_check_name (json_object_get (object, "name"), &name,
                            &service->name, error)
         && parse_address_ (json_object_get (object, "address"), &address,
                            &service->address, error)
         && parse_protocol_ (json_object_get (object, "protocol"), &protocol,
                             &service->protocol, error)
         && parse_domains_ (json_object_get (object, "failure_domains"),
                            &domains, service, error)
         && parse_service_limits_ (json_object_get (object, "limits"), &limits,
                                   &service->limits, error);
}

static bool
parse_services_ (const json_t *array, struct rgy_contract *contract,
                 struct rgy_check_error *error)
{
  struct rgy_check_path path = rgy_check_path_member (&root_path_, "services");
  char text[RGY_ENDPOINT_TEXT_BYTES];
  struct rgy_contract_service *service;
  struct rgy_check_path element;
  struct rgy_check_path field;
  size_t i;
  size_t j;

  if (!rgy_check_array (array, &path, 1, RGY_CONTRACT_MAX_SERVICES, error))
    return false;
  contract->services
      = g_new0 (struct rgy_contract_service, json_array_size (array));
  for (i = 0; i < json_array_size (array); i++)
    {
      service = &contract->services[i];
      element = rgy_check_path_element (&path, i);
      if (!parse_service_ (json_array_get (array, i), &element, service,
                           error))
        return false;
      for (j = 0; j < i; j++)
        {
          if (rgy_name_equal (&service->name, &contract->services[j].name))
            {
              field = rgy_check_path_member (&element, "name");
              return rgy_check_fail (error, &field,
                                     "\"%s\" is already the name of "
                                     "services[%zu], names must be unique",
                                     service->name.data, j);
            }
          if (rgy_endpoint_equal (service->address,
                                  contract->services[j].address))
            {
              field = rgy_check_path_member (&element, "address");
              return rgy_check_fail (
                  error, &field,
                  "%s is already the address of services[%zu], addresses "
                  "must be unique",
                  rgy_endpoint_format (service->address, text), j);
            }
        }
      contract->service_count = i + 1;
    }
  return true;
}

static bool
parse_callers_ (const json_t *array, struct rgy_contract *contract,
                struct rgy_check_error *error)
{
  struct rgy_check_path path = rgy_check_path_member (&root_path_, "callers");
  struct rgy_check_path element;
  struct rgy_prefix *prefix;
  struct rgy_str text;
  size_t i;
  size_t j;

  if (!rgy_check_array (array, &path, 1, RGY_CONTRACT_MAX_PREFIXES, error))
    return false;
  contract->prefixes = g_new0 (struct rgy_prefix, json_array_size (array));
  for (i = 0; i < json_array_size (array); i++)
    {
      prefix = &contract->prefixes[i];
      element = rgy_check_path_element (&path, i);
      text = rgy_check_text (json_array_get (array, i));
      if (rgy_prefix_parse (text, prefix) != RGY_OK)
        return rgy_check_fail (error, &element,
                               "\"%.*s\" is not a prefix, must be "
                               "A.B.C.D/BITS with 0 to 32 bits and all "
                               "further address bits zero",
                               (int)MIN (text.len, MAX_QUOTED_BYTES),
                               text.data);
      for (j = 0; j < i; j++)
        if (prefix->ip == contract->prefixes[j].ip
            && prefix->bits == contract->prefixes[j].bits)
          return rgy_check_fail (error, &element,
                                 "\"%.*s\" is already at index %zu, prefixes "
                                 "must be unique",
                                 (int)MIN (text.len, MAX_QUOTED_BYTES),
                                 text.data, j);
      contract->prefix_count = i + 1;
    }
  return true;
}

static bool
parse_contract_limits_ (const json_t *limits, struct rgy_contract *contract,
                        struct rgy_check_error *error)
{
  static const char *const allowed[] = { "bytes_per_second", NULL };
  struct rgy_check_path path = rgy_check_path_member (&root_path_, "limits");

  if (limits == NULL)
    return true;
  return rgy_check_object (limits, &path, allowed, error)
         && parse_limit_ (limits, &path, "bytes_per_second",
                          MAX_BYTES_PER_SECOND, &contract->bytes_per_second,
                          error);
}

struct rgy_contract *
rgy_contract_parse (struct rgy_str json, struct rgy_check_error *error)
{
  static const char *const allowed[]
      = { "customer", "callers", "limits", "services", "write_id", NULL };
  struct rgy_check_path customer
      = rgy_check_path_member (&root_path_, "customer");
  struct rgy_contract *contract = NULL;
  json_t *root = NULL;
  bool ok = false;

  if (json.len > RGY_CONTRACT_MAX_JSON_BYTES)
    {
      rgy_check_fail (error, &root_path_,
                      "has %zu bytes, must have at most %d", json.len,
                      RGY_CONTRACT_MAX_JSON_BYTES);
      return NULL;
    }
  root = rgy_check_parse_json (json, error);
  if (root == NULL)
    return NULL;
  contract = g_new0 (struct rgy_contract, 1);
  ok = rgy_check_object (root, &root_path_, allowed, error)
       && rgy_check_name (json_object_get (root, "customer"), &customer,
                          &contract->customer, error)
       && parse_callers_ (json_object_get (root, "callers"), contract, error)
       && parse_contract_limits_ (json_object_get (root, "limits"), contract,
                                  error)
       && parse_services_ (json_object_get (root, "services"), contract,
                           error);
  json_decref (root);
  if (ok)
    return contract;
  rgy_contract_delete (contract);
  return NULL;
}

void
rgy_contract_delete (struct rgy_contract *contract)
{
  if (contract == NULL)
    return;
  g_free (contract->prefixes);
  g_free (contract->services);
  g_free (contract);
}
