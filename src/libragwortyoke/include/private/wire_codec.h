#ifndef RAGWORTYOKE_PRIVATE_WIRE_CODEC_H
#define RAGWORTYOKE_PRIVATE_WIRE_CODEC_H

/**
 * @file
 * MessagePack bodies of the messages between processes, without the keyed tag.
 */

#include "private/msgpack_io.h"
#include "ragwortyoke/wire.h"

/** Append the MessagePack encoding of @p message.  */
void rgy_wire_pack_message (msgpack_packer *pk,
                            const struct rgy_message *message);

/** Decode the body of a message.
    @return RGY_OK, RGY_ERR_INVALID or RGY_ERR_UNSUPPORTED.  */
enum rgy_outcome rgy_wire_read_message (const msgpack_object *object,
                                        struct rgy_message *message);

#endif
