/// @file connection_standing_type.h What a client's connection is doing.

#ifndef SORRELPLANK_NET_CONNECTION_STANDING_TYPE_H_
#define SORRELPLANK_NET_CONNECTION_STANDING_TYPE_H_

#include <cstddef>
#include <cstdint>

#include "core/time_type.h"

namespace sorrelplank {

/// State of a connection, from which the one to close for others is chosen.
struct ConnectionStanding {
  uint64_t m_id = 0;
  /// A request that was read completely has no response yet.
  bool m_is_serving = false;
  /// Beginning of the head that is arriving; else the last progress of a body,
  /// a response or, between requests, either.
  TimePoint m_since{};
  /// A body is arriving and is kept.
  bool m_is_body_arriving = false;
  /// Bytes of the head that is arriving.
  size_t m_head_bytes = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_CONNECTION_STANDING_TYPE_H_
