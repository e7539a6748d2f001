/// @file http_request_parser.h Parsing of HTTP/1.1 requests.

#ifndef SORRELPLANK_NET_HTTP_REQUEST_PARSER_H_
#define SORRELPLANK_NET_HTTP_REQUEST_PARSER_H_

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_head_check.h"
#include "net/http_limits_type.h"
#include "net/http_message_type.h"

namespace sorrelplank {

/// Parses the requests of one connection, one after the other, by http_parser.
/// The memory of a request follows the bytes of its head and body, however the
/// body is divided into chunks.
class HttpRequestParser {
 public:
  enum class State : uint8_t {
    kIdle,      ///< Between two requests.
    kHead,      ///< A head is arriving.
    kHeadDone,  ///< Reported once for each request, before its body.
    kBody,      ///< A body is arriving.
    kComplete,  ///< The request is complete. Call Next() to continue.
    kFailed,    ///< Not valid HTTP, or too large; see FailureStatus().
  };

  explicit HttpRequestParser(HttpLimits limits);
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  /// Parses until the state changes to kHeadDone, kComplete or kFailed, or all
  /// bytes are parsed. Returns the number of bytes parsed.
  size_t Parse(std::string_view bytes);
  /// Begins the next request.
  void Next();

  State CurrentState() const { return m_state; }
  /// Bytes of the head parsed so far.
  size_t HeadBytes() const { return m_head_bytes; }
  HttpRequest& Request() { return m_request; }
  /// Whether a body follows the head.
  bool HasBody() const { return m_has_body; }
  /// Bytes of the body that the head announces; nothing if it comes in chunks.
  std::optional<uint64_t> BodyLength() const { return m_body_length; }
  /// Whether the client keeps the connection open after this request.
  bool KeepsAlive() const { return m_keeps_alive; }
  /// Drops the body read so far and what is left of it.
  void DiscardBody();
  bool IsDiscarding() const { return m_is_discarding; }
  /// 400, 413 or 431.
  int FailureStatus() const { return m_failure_status; }

 private:
  static int OnBegin(http_parser* parser);
  static int OnTarget(http_parser* parser, const char* at, size_t length);
  static int OnFieldName(http_parser* parser, const char* at, size_t length);
  static int OnFieldValue(http_parser* parser, const char* at, size_t length);
  static int OnHeadComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, size_t length);
  static int OnComplete(http_parser* parser);
  static const http_parser_settings& ParserSettings();

  void AddField();
  int Fail(int status);

  HttpLimits m_limits;
  http_parser m_parser{};
  HttpHeadCheck m_head_check{HttpHeadCheck::Kind::kRequest};
  State m_state = State::kIdle;
  HttpRequest m_request;
  std::string m_field_name;
  std::string m_field_value;
  bool m_has_value_begun = false;
  size_t m_field_count = 0;
  size_t m_head_bytes = 0;
  bool m_has_body = false;
  std::optional<uint64_t> m_body_length;
  bool m_keeps_alive = true;
  bool m_is_discarding = false;
  int m_failure_status = 400;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_HTTP_REQUEST_PARSER_H_
