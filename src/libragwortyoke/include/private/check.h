#ifndef RAGWORTYOKE_PRIVATE_CHECK_H
#define RAGWORTYOKE_PRIVATE_CHECK_H

/**
 * @file
 * Validation of JSON input.  Every error message names the path of the field,
 * what is wrong and what is allowed.
 */

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwortyoke/contract.h"
#include "ragwortyoke/str.h"

#define RGY_CHECK_PATH_BYTES 96

/** Path of a JSON field, for example "services[1].limits.open_flows".  */
struct rgy_check_path
{
  char text[RGY_CHECK_PATH_BYTES];
};

struct rgy_check_path
rgy_check_path_member (const struct rgy_check_path *parent,
                       const char *member);
struct rgy_check_path
rgy_check_path_element (const struct rgy_check_path *parent, size_t index);

/** Set @p error to "PATH: MESSAGE"; always returns false.  */
bool rgy_check_fail (struct rgy_check_error *error,
                     const struct rgy_check_path *path, const char *format,
                     ...) __attribute__ ((format (printf, 3, 4)));

/** Parse JSON text; duplicate members are rejected.
    @return a new reference, or NULL with @p error set.  */
json_t *rgy_check_parse_json (struct rgy_str text,
                              struct rgy_check_error *error);

/** Check that @p object is a JSON object whose members are all listed in
    @p allowed, which ends with NULL.  */
bool rgy_check_object (const json_t *object, const struct rgy_check_path *path,
                       const char *const *allowed,
                       struct rgy_check_error *error);

/** Check that @p value is a JSON array of @p min to @p max elements.  */
bool rgy_check_array (const json_t *value, const struct rgy_check_path *path,
                      size_t min, size_t max, struct rgy_check_error *error);
bool rgy_check_name (const json_t *value, const struct rgy_check_path *path,
                     struct rgy_name *name, struct rgy_check_error *error);
bool rgy_check_integer (const json_t *value, const struct rgy_check_path *path,
                        uint64_t min, uint64_t max, uint64_t *number,
                        struct rgy_check_error *error);
bool rgy_check_boolean (const json_t *value, const struct rgy_check_path *path,
                        bool *flag, struct rgy_check_error *error);

/** Return the text of a JSON string, or an empty text for any other type.  */
struct rgy_str rgy_check_text (const json_t *value);

#endif
