#include "private/store_http.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 1000L

/* Limit of the bytes of an answer that are buffered.  1,200 contracts of the
   usual size need about 1 MB.  */
#define MAX_ANSWER_BYTES (64 * 1024 * 1024)

struct rgy_store_request
{
  struct rgy_store_http *http;
  struct rgy_store_request *next;
  struct rgy_store_request **link; /* List pointer to this request.  */
  CURL *easy;
  char *body;
  GString *received;
  rgy_store_line_fn line;
  rgy_store_done_fn done;
  void *ctx;
  bool has_lines;
  bool finished;
  CURLcode result;
  char error[CURL_ERROR_SIZE];
};

struct socket_
{
  uv_poll_t poll;
  struct rgy_store_http *http;
  curl_socket_t fd;
};

struct rgy_store_http
{
  uv_loop_t *loop;
  CURLM *multi;
  uv_timer_t timer;
  struct curl_slist *headers;
  struct rgy_store_request *requests;
  unsigned open_handles; /* libuv handles that are not closed.  */
  bool closing;
  void (*on_closed) (void *ctx);
  void *ctx;
};

static void dispatch_requests_ (struct rgy_store_http *http);

/* Handles and sockets.  */

static void
release_handle_ (struct rgy_store_http *http)
{
  void (*on_closed) (void *ctx) = http->on_closed;
  void *ctx = http->ctx;

  http->open_handles--;
  if (http->open_handles > 0 || !http->closing)
    return;
  curl_slist_free_all (http->headers);
  g_free (http);
  on_closed (ctx);
}

static void
on_socket_closed_ (uv_handle_t *handle)
{
  struct socket_ *sock = handle->data;
  struct rgy_store_http *http = sock->http;

  g_free (sock);
  release_handle_ (http);
}

static void
on_timer_closed_ (uv_handle_t *handle)
{
  release_handle_ (handle->data);
}

static void
on_poll_ (uv_poll_t *poll, int status, int events)
{
  struct socket_ *sock = poll->data;
  struct rgy_store_http *http = sock->http;
  int flags = 0;
  int running;

  if (status < 0)
    flags = CURL_CSELECT_ERR;
  if (events & UV_READABLE)
    flags |= CURL_CSELECT_IN;
  if (events & UV_WRITABLE)
    flags |= CURL_CSELECT_OUT;
  curl_multi_socket_action (http->multi, sock->fd, flags, &running);
  dispatch_requests_ (http);
}

static int
on_socket_change_ (CURL *easy, curl_socket_t fd, int what, void *ctx,
                   void *state)
{
  struct rgy_store_http *http = ctx;
  struct socket_ *sock = state;
  int events = 0;

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      if (sock != NULL)
        {
          uv_poll_stop (&sock->poll);
          uv_close ((uv_handle_t *)&sock->poll, on_socket_closed_);
          curl_multi_assign (http->multi, fd, NULL);
        }
      return 0;
    }
  if (sock == NULL)
    {
      sock = g_new0 (struct socket_, 1);
      sock->http = http;
      sock->fd = fd;
      if (uv_poll_init_socket (http->loop, &sock->poll, fd) != 0)
        {
          g_free (sock);
          return -1;
        }
      sock->poll.data = sock;
      http->open_handles++;
      curl_multi_assign (http->multi, fd, sock);
    }
  if (what != CURL_POLL_IN)
    events |= UV_WRITABLE;
  if (what != CURL_POLL_OUT)
    events |= UV_READABLE;
  uv_poll_start (&sock->poll, events, on_poll_);
  return 0;
}

static void
on_timeout_ (uv_timer_t *timer)
{
  struct rgy_store_http *http = timer->data;
  int running;

  curl_multi_socket_action (http->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  dispatch_requests_ (http);
}

static int
on_timer_change_ (CURLM *multi, long timeout_ms, void *ctx)
{
  struct rgy_store_http *http = ctx;

  (void)multi;
  if (http->closing)
    return 0;
  if (timeout_ms < 0)
    uv_timer_stop (&http->timer);
  else
    uv_timer_start (&http->timer, on_timeout_, (uint64_t)timeout_ms, 0);
  return 0;
}

/* Calls and their answers.  */

static size_t
on_data_ (char *data, size_t size, size_t count, void *ctx)
{
  struct rgy_store_request *request = ctx;
  size_t len = size * count;

  if (request->received->len + len > MAX_ANSWER_BYTES)
    return 0;
  g_string_append_len (request->received, data, (gssize)len);
  if (request->line != NULL && memchr (data, '\n', len) != NULL)
    request->has_lines = true;
  return len;
}

static void
request_delete_ (struct rgy_store_request *request)
{
  curl_multi_remove_handle (request->http->multi, request->easy);
  curl_easy_cleanup (request->easy);
  g_string_free (request->received, TRUE);
  free (request->body);
  g_free (request);
}

void
rgy_store_http_cancel (struct rgy_store_request *request)
{
  if (request == NULL)
    return;
  *request->link = request->next;
  if (request->next != NULL)
    request->next->link = request->link;
  request_delete_ (request);
}

struct rgy_store_request *
rgy_store_http_post (struct rgy_store_http *http, const char *url,
                     json_t *body, long timeout_ms, rgy_store_line_fn line,
                     rgy_store_done_fn done, void *ctx)
{
  struct rgy_store_request *request = g_new0 (struct rgy_store_request, 1);
  CURL *easy = curl_easy_init ();

  *request = (struct rgy_store_request){
    .http = http, .easy = easy, .line = line, .done = done, .ctx = ctx
  };
  request->received = g_string_new (NULL);
  request->body = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)strlen (request->body));
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request->body);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, http->headers);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data_);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, request);
  curl_easy_setopt (easy, CURLOPT_ERRORBUFFER, request->error);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, request);
  request->next = http->requests;
  request->link = &http->requests;
  if (request->next != NULL)
    request->next->link = &request->next;
  http->requests = request;
  curl_multi_add_handle (http->multi, easy);
  return request;
}

static void
collect_finished_requests_ (struct rgy_store_http *http)
{
  struct rgy_store_request *request = NULL;
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (http->multi, &left)) != NULL)
    if (message->msg == CURLMSG_DONE)
      {
        curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &request);
        request->finished = true;
        request->result = message->data.result;
      }
}

static struct rgy_store_request *
find_ready_request_ (const struct rgy_store_http *http)
{
  struct rgy_store_request *request = http->requests;

  while (request != NULL && !request->has_lines && !request->finished)
    request = request->next;
  return request;
}

/* Passes one line of a streamed answer to its callback,
   which may cancel the request.  */
static void
dispatch_line_ (struct rgy_store_request *request)
{
  char *end = memchr (request->received->str, '\n', request->received->len);
  json_t *line;

  if (end == NULL)
    {
      request->has_lines = false;
      return;
    }
  line = json_loadb (request->received->str,
                     (size_t)(end - request->received->str), 0, NULL);
  g_string_erase (request->received, 0, end - request->received->str + 1);
  if (line != NULL)
    request->line (line, request->ctx);
  json_decref (line);
}

static void
dispatch_end_ (struct rgy_store_request *request)
{
  enum rgy_outcome outcome = RGY_ERR_UNAVAILABLE;
  rgy_store_done_fn done = request->done;
  void *ctx = request->ctx;
  json_t *answer = NULL;
  long status = 0;
  char *why;

  curl_easy_getinfo (request->easy, CURLINFO_RESPONSE_CODE, &status);
  if (request->result == CURLE_OPERATION_TIMEDOUT)
    outcome = RGY_ERR_TIMEOUT;
  else if (request->result == CURLE_OK && request->line == NULL)
    {
      answer = json_loadb (request->received->str, request->received->len, 0,
                           NULL);
      outcome = answer == NULL ? RGY_ERR_INVALID : RGY_OK;
    }
  if (request->result != CURLE_OK)
    why = g_strdup (request->error[0] != '\0'
                        ? request->error
                        : curl_easy_strerror (request->result));
  else if (answer == NULL)
    why = g_strdup (request->line != NULL ? "the stream ended"
                                          : "the answer is not JSON");
  else
    why = g_strdup_printf ("HTTP status %ld", status);
  rgy_store_http_cancel (request);
  done (outcome, status, answer, why, ctx);
  json_decref (answer);
  g_free (why);
}

static void
dispatch_requests_ (struct rgy_store_http *http)
{
  struct rgy_store_request *request;

  collect_finished_requests_ (http);
  while (!http->closing && (request = find_ready_request_ (http)) != NULL)
    {
      if (request->has_lines)
        dispatch_line_ (request);
      else
        dispatch_end_ (request);
    }
}

struct rgy_store_http *
rgy_store_http_new (uv_loop_t *loop, void (*on_closed) (void *ctx), void *ctx)
{
  static gsize initialised;
  struct rgy_store_http *http;

  if (g_once_init_enter (&initialised))
    {
      curl_global_init (CURL_GLOBAL_DEFAULT);
      g_once_init_leave (&initialised, 1);
    }
  http = g_new0 (struct rgy_store_http, 1);
  http->loop = loop;
  http->on_closed = on_closed;
  http->ctx = ctx;
  http->headers = curl_slist_append (NULL, "Content-Type: application/json");
  /* Without the empty header libcurl waits for "100 Continue" before it sends
     a large body.  */
  http->headers = curl_slist_append (http->headers, "Expect:");
  uv_timer_init (loop, &http->timer);
  http->timer.data = http;
  http->open_handles = 1;
  http->multi = curl_multi_init ();
  curl_multi_setopt (http->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change_);
  curl_multi_setopt (http->multi, CURLMOPT_SOCKETDATA, http);
  curl_multi_setopt (http->multi, CURLMOPT_TIMERFUNCTION, on_timer_change_);
  curl_multi_setopt (http->multi, CURLMOPT_TIMERDATA, http);
  return http;
}

void
rgy_store_http_delete (struct rgy_store_http *http)
{
  struct rgy_store_request *request;

  http->closing = true;
  while ((request = http->requests) != NULL)
    {
      http->requests = request->next;
      request_delete_ (request);
    }
  curl_multi_cleanup (http->multi);
  uv_close ((uv_handle_t *)&http->timer, on_timer_closed_);
}
