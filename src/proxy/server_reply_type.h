/// @file server_reply_type.h Result of one send to a backend server.

#ifndef SORRELPLANK_PROXY_SERVER_REPLY_TYPE_H_
#define SORRELPLANK_PROXY_SERVER_REPLY_TYPE_H_

#include <cstdint>
#include <functional>

#include "core/time_type.h"
#include "net/http_message_type.h"
#include "proxy/body_reservation.h"

namespace sorrelplank {

/// How a send ended.
enum class ReplyEnd : uint8_t {
  kComplete,   ///< A complete response that carries the request id.
  kNotSent,    ///< No byte was sent.
  kLost,       ///< Some bytes were sent, but no complete response was received.
  kOversized,  ///< As kLost; the server sent more than a response may need.
};

/// Outcome of a send, with the response if there is one.
struct ServerReply {
  ReplyEnd m_end = ReplyEnd::kLost;
  HttpResponse m_response;
  /// Since the request was handed to the connection.
  Duration m_latency{};
  /// Error description for logs; a string literal.
  const char* m_problem = "";
  bool m_is_reused_connection = false;
  /// For the response's body.
  BodyReservation m_held;
};

using ReplyHandler = std::function<void(ServerReply)>;

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_SERVER_REPLY_TYPE_H_
