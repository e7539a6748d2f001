/// @file http_message_type.h HTTP messages as the rest of the program sees
/// them; no library types.

#ifndef SORRELPLANK_NET_HTTP_MESSAGE_TYPE_H_
#define SORRELPLANK_NET_HTTP_MESSAGE_TYPE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/time_type.h"

namespace sorrelplank {

/// Header fields in order of sending.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request that a server received.
struct HttpRequest {
  std::string m_method;
  /// Path without query.
  std::string m_path;
  std::map<std::string, std::string> m_query;
  /// The query as received, without the question mark.
  std::string m_raw_query;
  /// Path and query as received.
  std::string m_target;
  /// Field names in lower case; values of a repeated field joined by ", ".
  std::map<std::string, std::string> m_headers;
  std::string m_body;
  uint32_t m_remote_ip = 0;
  uint64_t m_connection = 0;

  /// A header by its lower-case name.
  std::optional<std::string> Header(const std::string& name) const;
};

/// An answer, sent or received.
struct HttpResponse {
  int m_status = 200;
  std::string m_content_type = "application/json";
  HttpHeaders m_headers;
  std::string m_body;
  /// The connection is closed behind the answer.
  bool m_close = false;
};

/// Sends the answer to one request; to be called once, on the io thread.
using HttpReply = std::function<void(HttpResponse)>;

/// How a fetch ended.
enum class FetchEnd : uint8_t {
  kAnswered,       ///< A whole answer arrived.
  kConnectFailed,  ///< No connection.
  kNothingSent,    ///< Connected, but not one byte was sent.
  kSentPartly,     ///< The connection broke while sending.
  kNoAnswer,       ///< Sent; no byte came back.
  kTruncated,      ///< The answer broke off.
  kMalformed,      ///< What came back is no HTTP, or too large.
  kTimedOut,       ///< The time limit passed after bytes were sent.
};

/// A request to send.
struct HttpFetch {
  std::string m_method = "GET";
  std::string m_url;
  HttpHeaders m_headers;
  std::string m_body;
  Duration m_timeout = seconds(5);
  Duration m_connect_timeout = milliseconds(500);
  size_t m_most_bytes = 4U << 20U;
  /// Never send on a kept connection. See HttpClient.
  bool m_fresh_connection = false;
  /// Close the connection behind the answer.
  bool m_close_connection = false;
};

/// What came of it.
struct HttpResult {
  FetchEnd m_end = FetchEnd::kConnectFailed;
  HttpResponse m_response;
  std::string m_error;
};

/// The value of the first field with a lower-case name, or nullptr.
const std::string* FindField(const HttpHeaders& headers,
                             const std::string& name);

/// ASCII letters in lower case.
std::string ToLower(std::string text);

/// Reads "a=b&c=d"; percent escapes are decoded.
std::map<std::string, std::string> ParseQuery(const std::string& query);

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_HTTP_MESSAGE_TYPE_H_
