/// @file server_notices.h Notices in force for a run of a backend server.

#ifndef SORRELPLANK_STEER_SERVER_NOTICES_H_
#define SORRELPLANK_STEER_SERVER_NOTICES_H_

#include <optional>

#include "core/time_type.h"

namespace sorrelplank {

struct ServerNotice;

/// Combines the notices in the responses of one run.
class ServerNotices {
 public:
  /// Applies the notices of a response. A response without a limit ends the
  /// limit if `may_end_limit`, which is false for errors and rejections:
  /// another part of the server may produce these.
  void Apply(const ServerNotice& notice, bool may_end_limit, TimePoint now);

  /// Requests per second that it accepts from all entry VMs together.
  std::optional<double> MaxPerSecond() const { return m_max_per_second; }
  /// When a response last named that limit.
  TimePoint LimitNamedAt() const { return m_limit_named_at; }
  /// Whether the run is shutting down; this is final for a run.
  bool IsLeaving() const { return m_is_leaving; }
  /// Whether it wants no requests from this VM now.
  bool IsPaused(TimePoint now) const { return now < m_paused_until; }
  TimePoint PausedUntil() const { return m_paused_until; }
  bool IsAnyInForce(TimePoint now) const {
    return m_max_per_second || m_is_leaving || IsPaused(now);
  }
  /// Whether any response of the run had a field that could not be parsed.
  bool WasMalformed() const { return m_was_malformed; }

 private:
  std::optional<double> m_max_per_second;
  TimePoint m_limit_named_at{};
  bool m_is_leaving = false;
  TimePoint m_paused_until{};
  bool m_was_malformed = false;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_NOTICES_H_
