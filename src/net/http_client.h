/// @file http_client.h A non-blocking HTTP client.

#ifndef SORRELPLANK_NET_HTTP_CLIENT_H_
#define SORRELPLANK_NET_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "net/http_message_type.h"

namespace asio {
class io_context;
}

namespace sorrelplank {

/// HTTP client by libcurl on an io_context. Idle connections are reused.
///
/// libcurl silently resends a request when a reused connection turns out to be
/// dead. The server may have run the first copy, so a non-idempotent request
/// must set m_fresh_connection: libcurl never resends on a new connection.
class HttpClient {
 public:
  using Callback = std::function<void(HttpResult)>;

  explicit HttpClient(asio::io_context& io);
  ~HttpClient();

  /// Starts a fetch. The callback runs on the io thread, never inside Start().
  uint64_t Start(HttpFetch fetch, Callback callback);

  /// Cancels a fetch: its connection is closed and its callback never runs.
  void Cancel(uint64_t fetch);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_HTTP_CLIENT_H_
