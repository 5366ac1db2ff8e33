#ifndef RGY_MESSAGE_SAMPLES_H
#define RGY_MESSAGE_SAMPLES_H

/**
 * @file
 * One message of each kind with every field set, for tests of the codec.
 */

#include "ragwortyoke/wire.h"

/** Fill @p message with a message of @p kind; lists are as long as they may
    be, and no two fields have the same value.  */
void message_sample_fill (enum rgy_message_kind kind,
                          struct rgy_message *message);

#endif
