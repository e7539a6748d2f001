/// @file http_limits_type.h Limits of an HTTP server.

#ifndef SORRELPLANK_NET_HTTP_LIMITS_TYPE_H_
#define SORRELPLANK_NET_HTTP_LIMITS_TYPE_H_

#include <cstddef>
#include <cstdint>

#include "core/time_type.h"

namespace sorrelplank {

/// Limits on what one client can make the server hold in memory.
struct HttpLimits {
  size_t m_max_body_bytes = 1U << 20U;
  size_t m_max_field_bytes = 8192;
};

/// Limits on what all clients of a server together can make it hold.
struct HttpCapacity {
  size_t m_max_connections = SIZE_MAX;
  /// Memory of heads that are not complete.
  size_t m_max_head_bytes = SIZE_MAX;
};

/// Limits on how long a client may take.
struct HttpTimeouts {
  /// For a head, from its first byte.
  Duration m_head = seconds(30);
  /// Between two requests.
  Duration m_idle = seconds(300);
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_HTTP_LIMITS_TYPE_H_
