/// @file server_notices.h What a run of a backend server asks of its callers.

#ifndef SORRELPLANK_STEER_SERVER_NOTICES_H_
#define SORRELPLANK_STEER_SERVER_NOTICES_H_

#include <optional>

#include "core/time_type.h"

namespace sorrelplank {

struct ServerNotice;

/// What is in force of all that the run's answers asked for.
class ServerNotices {
 public:
  /// An answer came. A limit ends by one without it, unless that is an error or
  /// a rejection: those may be made by another part of the server.
  void Take(const ServerNotice& notice, bool may_end_limit, TimePoint now);

  /// Requests a second that it takes from all entry VMs together.
  std::optional<double> MostPerSecond() const { return m_most_per_second; }
  /// When an answer last named that limit.
  TimePoint LimitNamed() const { return m_limit_named; }
  /// Whether it leaves; a run that said so does not come back.
  bool IsLeaving() const { return m_is_leaving; }
  /// Whether it wants no request from this VM now.
  bool IsPaused(TimePoint now) const { return now < m_paused_until; }
  TimePoint PausedUntil() const { return m_paused_until; }
  bool IsAnyInForce(TimePoint now) const {
    return m_most_per_second || m_is_leaving || IsPaused(now);
  }
  /// Whether any answer of the run had a field that cannot be read.
  bool WasMalformed() const { return m_was_malformed; }

 private:
  std::optional<double> m_most_per_second;
  TimePoint m_limit_named{};
  bool m_is_leaving = false;
  TimePoint m_paused_until{};
  bool m_was_malformed = false;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_NOTICES_H_
