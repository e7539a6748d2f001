/// @file server_notice_type.h Notices in a response of a backend server.

#ifndef SORRELPLANK_STEER_SERVER_NOTICE_TYPE_H_
#define SORRELPLANK_STEER_SERVER_NOTICE_TYPE_H_

#include <optional>

#include "core/time_type.h"

namespace sorrelplank {

/// Notices to callers in one response of a backend server.
struct ServerNotice {
  /// Requests per second that it accepts from all entry VMs together.
  std::optional<double> m_max_per_second;
  /// It is shutting down and wants no more requests.
  bool m_is_leaving = false;
  /// It wants no requests from this VM for this time.
  std::optional<Duration> m_pause;
  /// Whether a notice field could not be parsed.
  bool m_is_malformed = false;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_NOTICE_TYPE_H_
