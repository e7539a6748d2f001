/// @file http_server.h An HTTP server on one address.

#ifndef SORRELPLANK_NET_HTTP_SERVER_H_
#define SORRELPLANK_NET_HTTP_SERVER_H_

#include <cstddef>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/http_limits_type.h"
#include "net/http_message_type.h"

namespace asio {
class io_context;
}

namespace sorrelplank {

/// HTTP/1.1 server over Asio, on an io_context that one thread runs.
///
/// No library's server is used, because the memory of arriving bodies must be
/// bounded, and a connection closed only after its last response. See
/// HttpConnection.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, HttpReply)>;
  /// Called when a connection is closed, even with a request in progress.
  using ClosedHandler = std::function<void(uint64_t connection)>;
  using FailureHandler = std::function<void(std::exception_ptr)>;
  /// Decides whether a body may be read, by the request's head and the bytes of
  /// the body that are known: its length, or, without one, what has arrived;
  /// then it is called again as the body grows. Returns the refusal if not.
  using BodyAdmission =
      std::function<std::optional<HttpResponse>(HttpRequest& head,
                                                size_t body_bytes)>;

  /// Starts to listen; throws std::runtime_error if it cannot.
  HttpServer(asio::io_context& io,
             const std::string& ip,
             uint16_t port,
             HttpLimits limits,
             Handler handler,
             ClosedHandler closed = nullptr);
  ~HttpServer();

  /// Without one, all bodies within the limits are read.
  void SetBodyAdmission(BodyAdmission admission);

  /// Bounds what all connections hold. To keep a bound, connections are closed
  /// that have made no progress for the longest time.
  void SetCapacity(const HttpCapacity& capacity);

  /// Connections that take longer are closed within two seconds.
  void SetTimeouts(const HttpTimeouts& timeouts);

  /// Ends the body that has made no progress for the longest time, so that its
  /// memory can be used for others. Returns false if all make progress.
  bool EndStalledBody();

  /// Number of connections closed to keep it.
  size_t ClosedForOthers() const;

  /// Stops accepting connections, once those that the kernel has accepted have
  /// been taken over; closing the socket would reset them.
  void Stop();

  /// Calls `then` when the event loop has read all requests that have arrived.
  void AfterReading(std::function<void()> then);

  /// Number of responses passed to the server and not yet written completely.
  size_t UnwrittenResponses() const;

  /// Accepts connections again after Stop(); calls on_failure if it cannot.
  void Reopen(FailureHandler on_failure);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_HTTP_SERVER_H_
