/// @file server_connection.h HTTP connection to a backend server.

#ifndef SORRELPLANK_PROXY_SERVER_CONNECTION_H_
#define SORRELPLANK_PROXY_SERVER_CONNECTION_H_

#include <http_parser.h>

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/time_type.h"
#include "core/vm_record_type.h"
#include "net/http_head_check.h"
#include "proxy/body_reservation.h"
#include "proxy/server_reply_type.h"

namespace sorrelplank {

/// A request to send on a connection.
struct ServerRequest {
  /// The serialised request, or its head if it has a body.
  std::string m_bytes;
  /// Sent after them. Shared, because copies for each attempt would take
  /// memory that the account of bodies does not count.
  std::shared_ptr<const std::string> m_body;
  std::string m_request_id;
  /// Lower-case name of the field in which servers repeat the request id.
  std::string m_request_id_name;
  bool m_is_head = false;
  size_t m_max_response_bytes = 0;
  /// Grows with the response's body.
  BodyReservation m_held;
  /// Called with the memory of the response's body so far, after each read that
  /// does not complete the response. May end the request.
  std::function<void(size_t bytes)> m_on_body;
};

/// HTTP/1.1 client connection over Asio, one request at a time.
///
/// libcurl is not used because it resends a request on its own when a reused
/// connection breaks, which may run the request twice, and because it accepts
/// any response that comes next. This class never resends, and only accepts a
/// response that repeats the request id.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  /// Called when an idle connection can no longer be used.
  using IdleEndHandler = std::function<void(ServerConnection*)>;

  ServerConnection(asio::io_context& io,
                   VmAddress address,
                   IdleEndHandler idle_end);

  /// Connects first if necessary. The handler is called once, never from within
  /// Send.
  void Send(ServerRequest send, Duration connect_timeout, ReplyHandler handler);

  /// Ends the request as oversized; the problem is a string literal.
  void EndOversized(const char* problem);

  /// Closes the connection; the handler is not called any more.
  void Close();

  /// Whether another request may be sent now, regardless of UsableUntil.
  bool IsReusable() const { return m_is_open && !m_is_busy && !m_must_close; }
  /// End of the keep-alive time that the server announced, less a safety
  /// margin; a default if it announced none.
  TimePoint UsableUntil() const { return m_usable_until; }
  TimePoint IdleSince() const { return m_idle_since; }

 private:
  void Connect(Duration timeout);
  void Write();
  void Read();
  void OnRead(size_t bytes);
  void OnReadEnd(bool is_eof);
  /// A complete response was parsed.
  void OnResponse();
  void Finish(ReplyEnd end, const char* problem);
  /// Discards what was received of a response.
  void ResetResponse();
  bool IsResponseToCurrentRequest() const;
  void UpdateKeepAlive();

  static int OnHeaderField(http_parser* parser, const char* at, size_t length);
  static int OnHeaderValue(http_parser* parser, const char* at, size_t length);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, size_t length);
  static int OnMessageComplete(http_parser* parser);

  static constexpr size_t kBufferBytes = 8192;

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_connect_timer;
  VmAddress m_address;
  IdleEndHandler m_on_idle_end;
  http_parser m_parser{};
  std::array<char, kBufferBytes> m_buffer{};

  ServerRequest m_request;
  ReplyHandler m_handler;
  HttpResponse m_response;
  bool m_has_value_begun = false;
  /// Of the response that is arriving.
  HttpHeadCheck m_head_check{HttpHeadCheck::Kind::kResponse};
  TimePoint m_started{};
  size_t m_written = 0;
  bool m_is_write_done = false;

  bool m_is_open = false;
  bool m_is_busy = false;
  bool m_must_close = false;
  bool m_is_closed = false;
  bool m_is_message_complete = false;
  bool m_is_too_large = false;
  /// Since the request was handed to the connection: all bytes received, and
  /// the complete responses that do not belong to it.
  size_t m_received_bytes = 0;
  size_t m_other_responses = 0;
  uint64_t m_send_count = 0;
  TimePoint m_usable_until{};
  TimePoint m_idle_since{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_SERVER_CONNECTION_H_
