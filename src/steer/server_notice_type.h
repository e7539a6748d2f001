/// @file server_notice_type.h What a backend server asks of its callers.

#ifndef SORRELPLANK_STEER_SERVER_NOTICE_TYPE_H_
#define SORRELPLANK_STEER_SERVER_NOTICE_TYPE_H_

#include <optional>

#include "core/time_type.h"

namespace sorrelplank {

/// What one answer of a backend server asks for.
struct ServerNotice {
  /// Requests a second that it takes from all entry VMs together.
  std::optional<double> m_most_per_second;
  /// It leaves and wants no more requests.
  bool m_is_leaving = false;
  /// It wants no request from this VM for so long.
  std::optional<Duration> m_pause;
  /// A field that asks for something cannot be read.
  bool m_is_malformed = false;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_NOTICE_TYPE_H_
