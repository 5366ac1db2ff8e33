#include "ragwortyoke/store_position.h"

int
rgy_store_position_compare (struct rgy_store_position a,
                            struct rgy_store_position b)
{
  if (a.epoch != b.epoch)
    return a.epoch > b.epoch ? 1 : -1;
  return (a.revision > b.revision) - (a.revision < b.revision);
}

bool
rgy_store_position_is_later (struct rgy_store_position a,
                             struct rgy_store_position b)
{
  return rgy_store_position_compare (a, b) > 0;
}

enum rgy_store_answer_age
rgy_store_classify_answer (uint32_t known, uint32_t epoch, bool is_new)
{
  if (epoch == 0 || epoch == known)
    return RGY_STORE_ANSWER_CURRENT;
  if (epoch < known)
    return RGY_STORE_ANSWER_LATE;
  return is_new ? RGY_STORE_ANSWER_FIRST : RGY_STORE_ANSWER_OF_RETURN;
}
