/// @file http_server.h An HTTP server on one address.

#ifndef SORRELPLANK_NET_HTTP_SERVER_H_
#define SORRELPLANK_NET_HTTP_SERVER_H_

#include <cstddef>
#include <exception>
#include <functional>
#include <memory>
#include <string>

#include "net/http_message_type.h"

namespace asio {
class io_context;
}

namespace sorrelplank {

/// Limits on what a sender may make the server hold.
struct HttpLimits {
  size_t m_most_body_bytes = 1U << 20U;
  size_t m_most_field_bytes = 8192;
};

/// Serves HTTP by RESTinio on an io_context that one thread runs.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, HttpReply)>;
  /// Told when a connection with a request under way is closed.
  using ClosedHandler = std::function<void(uint64_t connection)>;
  using FailureHandler = std::function<void(std::exception_ptr)>;

  /// Listens at once; throws std::runtime_error where it cannot.
  HttpServer(asio::io_context& io,
             const std::string& ip,
             uint16_t port,
             HttpLimits limits,
             Handler handler,
             ClosedHandler closed = nullptr);
  ~HttpServer();

  /// Accepts no more connections.
  void Stop();

  /// Answers that were handed over and are not yet written whole.
  size_t Unwritten() const;

  /// Accepts connections again after Stop; on_failure runs where it cannot.
  void Reopen(FailureHandler on_failure);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_HTTP_SERVER_H_
