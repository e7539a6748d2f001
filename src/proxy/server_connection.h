/// @file server_connection.h One connection to a backend server.

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
#include "proxy/server_reply_type.h"

namespace sorrelplank {

/// What to send on a connection.
struct ServerSend {
  /// The whole request as bytes.
  std::string m_bytes;
  std::string m_request_id;
  /// Lower-case name of the field in which servers repeat the id.
  std::string m_request_id_name;
  bool m_is_head = false;
  size_t m_most_answer_bytes = 0;
};

/// HTTP/1.1 over Asio, one request at a time.
///
/// Our own client instead of libcurl: libcurl sends a request a second time by
/// itself when a kept connection breaks, which may run it twice, and it takes
/// whatever answer comes next for the answer. Here nothing is sent twice, and
/// only an answer that repeats the request's id counts.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  /// Told when an idle connection can no longer be used.
  using IdleEndHandler = std::function<void(ServerConnection*)>;

  ServerConnection(asio::io_context& io,
                   VmAddress address,
                   IdleEndHandler idle_end);

  /// Connects first where needed. The handler runs once, never within Send.
  void Send(ServerSend send, Duration connect_timeout, ReplyHandler handler);

  /// Closes; the handler does not run any more.
  void Close();

  /// Whether another request may be sent now.
  bool IsReusable() const { return m_is_open && !m_is_busy && !m_is_spoilt; }
  /// Until when the server keeps the connection open, by its own word.
  TimePoint UsableUntil() const { return m_usable_until; }
  TimePoint IdleSince() const { return m_idle_since; }

 private:
  void Connect(Duration timeout);
  void Write();
  void Read();
  void OnRead(size_t bytes);
  void OnReadEnd(bool is_clean);
  /// A whole answer was parsed.
  void OnAnswer();
  void Finish(ReplyEnd end, const char* problem);
  bool IsOurs() const;
  void NoteKeepAlive();

  static int OnHeaderField(http_parser* parser, const char* at, size_t length);
  static int OnHeaderValue(http_parser* parser, const char* at, size_t length);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, size_t length);
  static int OnMessageComplete(http_parser* parser);

  static constexpr size_t kBufferBytes = 8192;

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_connect_timer;
  VmAddress m_address;
  IdleEndHandler m_idle_end;
  http_parser m_parser{};
  std::array<char, kBufferBytes> m_buffer{};

  ServerSend m_send;
  ReplyHandler m_handler;
  HttpResponse m_response;
  bool m_value_begun = false;
  TimePoint m_started{};
  size_t m_written = 0;
  bool m_write_done = false;

  bool m_is_open = false;
  bool m_is_busy = false;
  bool m_is_spoilt = false;
  bool m_is_closed = false;
  bool m_message_complete = false;
  bool m_too_large = false;
  uint64_t m_sends = 0;
  TimePoint m_usable_until{};
  TimePoint m_idle_since{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_SERVER_CONNECTION_H_
