#ifndef RAGWORTYOKE_PRIVATE_READ_BUFFER_H
#define RAGWORTYOKE_PRIVATE_READ_BUFFER_H

/**
 * @file
 * Read buffer that all TCP connections of the process share.  This is safe
 * because libuv allocates a buffer and passes it to the read callback within
 * one turn of a single-threaded loop.
 */

#include <uv.h>

/** Allocation callback for uv_read_start(),
    which returns the shared buffer.  */
void rgy_read_buffer_allocate (uv_handle_t *handle, size_t suggested,
                               uv_buf_t *buf);

#endif
