/// @file server_reply_type.h What came back of one send.

#ifndef SORRELPLANK_PROXY_SERVER_REPLY_TYPE_H_
#define SORRELPLANK_PROXY_SERVER_REPLY_TYPE_H_

#include <cstdint>
#include <functional>

#include "core/time_type.h"
#include "net/http_message_type.h"

namespace sorrelplank {

/// How far a send came.
enum class ReplyEnd : uint8_t {
  kWhole,    ///< A whole answer that carries the request's id.
  kNotSent,  ///< Not one byte left this process.
  kLost,     ///< Some bytes left, and no whole answer came.
};

/// Outcome of a send.
struct ServerReply {
  ReplyEnd m_end = ReplyEnd::kLost;
  HttpResponse m_response;
  /// Since the first byte was handed to the connection.
  Duration m_latency{};
  /// What went wrong, for logs; a constant.
  const char* m_problem = "";
  bool m_kept_connection = false;
};

using ReplyHandler = std::function<void(ServerReply)>;

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_SERVER_REPLY_TYPE_H_
