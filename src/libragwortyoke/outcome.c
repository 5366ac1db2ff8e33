#include "ragwortyoke/outcome.h"

const char *const rgy_outcome_string[] = {
  [RGY_OK] = "ok",
  [RGY_ERR_INVALID] = "invalid",
  [RGY_ERR_NOT_FOUND] = "not found",
  [RGY_ERR_FULL] = "full",
  [RGY_ERR_STALE] = "stale",
  [RGY_ERR_CONFLICT] = "conflict",
  [RGY_ERR_AUTH] = "authentication failed",
  [RGY_ERR_TIMEOUT] = "timeout",
  [RGY_ERR_UNAVAILABLE] = "unavailable",
  [RGY_ERR_UNSUPPORTED] = "unsupported",
};
