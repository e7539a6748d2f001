/// @file http_server_context.h What an HTTP server shares with its connections.

#ifndef SORRELPLANK_NET_HTTP_SERVER_CONTEXT_H_
#define SORRELPLANK_NET_HTTP_SERVER_CONTEXT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "net/http_limits_type.h"
#include "net/http_message_type.h"

namespace sorrelplank {

class HttpConnection;

/// Outlives the server in connections and callbacks that have not ended.
struct HttpServerContext {
  HttpLimits m_limits;
  HttpCapacity m_capacity;
  HttpTimeouts m_timeouts;
  std::function<void(HttpRequest, HttpReply)> m_handler;
  /// May be empty.
  std::function<void(uint64_t connection)> m_on_closed;
  std::function<std::optional<HttpResponse>(HttpRequest&, size_t)>
      m_admit_body = [](HttpRequest&, size_t) { return std::nullopt; };
  std::unordered_map<uint64_t, std::shared_ptr<HttpConnection>> m_connections;
  /// Closes connections whose heads have arrived for the longest time, until
  /// the others fit.
  std::function<void()> m_on_heads_grown = [] {};
  /// Memory of heads that are arriving, on all connections.
  size_t m_head_bytes = 0;
  /// Connections closed to keep within the capacity.
  size_t m_closed_for_others = 0;
  /// Connections accepted and requests read.
  size_t m_arrivals = 0;
  /// Responses that are not written completely.
  std::shared_ptr<size_t> m_unwritten_responses = std::make_shared<size_t>(0);
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_HTTP_SERVER_CONTEXT_H_
