#ifndef RAGWORTYOKE_PRIVATE_BLACKBOARD_PRIVATE_H
#define RAGWORTYOKE_PRIVATE_BLACKBOARD_PRIVATE_H

#include "ragwortyoke/blackboard.h"

/** Return the group of a service; it is created when there is none.  */
struct rgy_group *rgy_blackboard_ensure_group (struct rgy_blackboard *bb,
                                               struct rgy_endpoint service);

#endif
