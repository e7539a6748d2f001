/// @file http_connection.h A client's connection to the HTTP server.

#ifndef SORRELPLANK_NET_HTTP_CONNECTION_H_
#define SORRELPLANK_NET_HTTP_CONNECTION_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/time_type.h"
#include "net/connection_standing_type.h"
#include "net/http_message_type.h"
#include "net/http_request_parser.h"
#include "net/response_pipeline.h"

namespace sorrelplank {

struct HttpServerContext;

/// Reads pipelined requests and writes their responses.
///
/// After a response that closes the connection only the sending side is shut
/// down, and what the client still sends is read and dropped: closing a socket
/// with unread bytes resets the connection, and the client may lose the
/// response.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(asio::ip::tcp::socket socket,
                 uint64_t id,
                 std::shared_ptr<HttpServerContext> context);

  void Start();
  /// Closes the connection and reports it to the ClosedHandler.
  void Close();
  /// Closes the connection if it has made no progress for too long.
  void CloseIfOverdue(TimePoint now);
  ConnectionStanding Standing() const;
  /// Ends the body that is arriving, and answers that the request has not run.
  void EndBody(TimePoint now);

 private:
  void Read();
  void OnRead(size_t bytes);
  /// Parses the bytes that were read, as far as requests may be accepted.
  void Consume();
  bool MayParse() const;
  /// Whether the head, or the next request, takes longer than it may.
  bool IsRequestOverdue(TimePoint now) const;
  /// Counts the memory of the head that is arriving.
  void CountHead();
  /// Notes that the body has grown.
  void NoteBodyProgress();
  void OnHead();
  /// Asks whether the body may be read, and refuses it if not.
  void AdmitBody(size_t bytes);
  /// The same for more of a body without a length.
  void AdmitGrownBody();
  void OnRequest();
  void OnParseFailure();
  /// Refuses the request whose body is arriving, and drops the body.
  void RefuseBody(HttpResponse refusal);
  void Respond(uint64_t number, HttpResponse response);
  void Write();
  void OnWritten(bool is_failed);
  /// Shuts the sending side down once the last response is written.
  void CloseAfterLastResponse();

  static constexpr size_t kBufferBytes = 8192;

  /// A response that is being written.
  struct Outgoing {
    std::string m_head;
    std::string m_body;
    std::shared_ptr<void> m_until_written;
  };

  asio::ip::tcp::socket m_socket;
  uint64_t m_id;
  uint32_t m_remote_ip = 0;
  std::shared_ptr<HttpServerContext> m_context;
  HttpRequestParser m_parser;
  ResponsePipeline m_pipeline;
  /// Number of the last request whose head is complete.
  uint64_t m_number = 0;
  /// That request is not complete.
  bool m_is_body_arriving = false;
  std::array<char, kBufferBytes> m_buffer{};
  /// Memory of the head that is arriving, as counted by the server.
  size_t m_head_bytes = 0;
  size_t m_filled = 0;
  size_t m_parsed = 0;
  std::vector<Outgoing> m_outgoing;
  bool m_is_reading = false;
  bool m_is_consuming = false;
  bool m_is_lingering = false;
  /// The head or the next request took too long when this was last checked.
  bool m_was_overdue = false;
  bool m_is_closed = false;
  /// Beginning of the read or write under way, and of lingering.
  TimePoint m_read_began{};
  /// When the last bytes arrived, or a response was written.
  TimePoint m_progressed{};
  /// When the first bytes of the head that is arriving came.
  TimePoint m_head_began{};
  /// When the last head was complete.
  TimePoint m_body_began{};
  /// When the body had last grown by kMinBodyProgress, and its size then.
  TimePoint m_body_progressed{};
  size_t m_body_size = 0;
  TimePoint m_write_began{};
  TimePoint m_linger_began{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_HTTP_CONNECTION_H_
