#include "private/read_buffer.h"

#define READ_BYTES 16384

static char buffer_[READ_BYTES];

void
rgy_read_buffer_allocate (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  (void)handle;
  (void)suggested;
  *buf = uv_buf_init (buffer_, sizeof buffer_);
}
