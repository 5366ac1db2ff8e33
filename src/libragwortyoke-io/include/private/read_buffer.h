#ifndef RAGWORTYOKE_PRIVATE_READ_BUFFER_H
#define RAGWORTYOKE_PRIVATE_READ_BUFFER_H

/**
 * @file
 * Buffer for reading from all TCP connections of the process: libuv hands it
 * out and gives it back within one callback round of a single-threaded loop.
 */

#include <uv.h>

/** Allocation callback for uv_read_start().  */
void rgy_read_buffer_allocate (uv_handle_t *handle, size_t suggested,
                               uv_buf_t *buf);

#endif
