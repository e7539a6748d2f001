/// @file http_message_type.h HTTP messages, independent of the HTTP libraries.

#ifndef SORRELPLANK_NET_HTTP_MESSAGE_TYPE_H_
#define SORRELPLANK_NET_HTTP_MESSAGE_TYPE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/time_type.h"

namespace sorrelplank {

class BodyReservation;

/// Header fields in the order in which they are sent.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request that a server received.
struct HttpRequest {
  std::string m_method;
  /// Path without query.
  std::string m_path;
  /// The query as received, without the question mark.
  std::string m_raw_query;
  /// Path and query as received.
  std::string m_target;
  /// Field names in lower case; values of a repeated field joined by ", ".
  std::map<std::string, std::string> m_headers;
  std::string m_body;
  uint32_t m_remote_ip = 0;
  uint64_t m_connection = 0;
  /// Counts the memory of the request, if it was admitted before its body.
  std::shared_ptr<BodyReservation> m_held;

  /// The parameters of the query. Parsed anew by each call, because thousands
  /// of short parameters take a hundred times the memory of the query.
  std::map<std::string, std::string> Query() const;
  /// A header by its lower-case name.
  std::optional<std::string> Header(const std::string& name) const;
};

/// A response, sent or received.
struct HttpResponse {
  int m_status = 200;
  std::string m_content_type = "application/json";
  HttpHeaders m_headers;
  std::string m_body;
  /// Close the connection after the response.
  bool m_close = false;
  /// Destroyed when the response has been written, or cannot be any more.
  std::shared_ptr<void> m_until_written = nullptr;
};

/// Sends the response to one request. Must be called once, on the io thread.
using HttpReply = std::function<void(HttpResponse)>;

/// Outcome of a fetch.
enum class FetchOutcome : uint8_t {
  kAnswered,       ///< A complete response arrived.
  kConnectFailed,  ///< No connection was established.
  kNothingSent,    ///< Connected, but no byte was sent.
  kSentPartly,     ///< The connection broke while sending.
  kNoAnswer,       ///< Sent, but no response arrived.
  kTruncated,      ///< The response was cut off.
  kMalformed,      ///< The response is not valid HTTP.
  kTooLarge,       ///< The response's head or body exceeds its limit.
  kTimedOut,       ///< Timed out after bytes were sent.
};

/// A request to send.
struct HttpFetch {
  /// Limit on what an arriving response may take beyond m_timeout.
  static constexpr Duration kMaxArrivalTime = seconds(10);

  std::string m_method = "GET";
  std::string m_url;
  HttpHeaders m_headers;
  std::string m_body;
  Duration m_timeout = seconds(5);
  /// If set, a response that is arriving may take up to kMaxArrivalTime longer
  /// than m_timeout, while no pause of it is longer than this.
  std::optional<Duration> m_max_pause;
  Duration m_connect_timeout = milliseconds(500);
  size_t m_max_response_bytes = 4U << 20U;
  /// Never send on a reused connection. See HttpClient.
  bool m_fresh_connection = false;
  /// Close the connection after the response.
  bool m_close_connection = false;
};

/// Result of a fetch.
struct HttpResult {
  FetchOutcome m_end = FetchOutcome::kConnectFailed;
  HttpResponse m_response;
  std::string m_error;
};

/// The value of the first field with this lower-case name, or nullptr.
const std::string* FindField(const HttpHeaders& headers,
                             const std::string& name);

/// Converts ASCII letters to lower case.
std::string ToLower(std::string text);

/// Parses "a=b&c=d" and decodes percent escapes.
std::map<std::string, std::string> ParseQuery(const std::string& query);

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_HTTP_MESSAGE_TYPE_H_
