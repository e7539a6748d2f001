/// @file reach_monitor.h Detects that this VM reaches no backend server at all.

#ifndef SORRELPLANK_STEER_REACH_MONITOR_H_
#define SORRELPLANK_STEER_REACH_MONITOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "core/time_type.h"

namespace sorrelplank {

/// Whether this VM reaches any backend server, by failed sends and by probes.
///
/// Load pattern: the VM loses its paths to all servers, while callers, the
/// store and the other VMs still reach it. Open connections may live on, so
/// that only a new connection proves that a server is within reach. Failures at
/// several servers start a round of probes in different failure domains; only
/// if all of them fail as well, no server is within reach.
class ReachMonitor {
 public:
  /// Change of the state by the end of a probe.
  enum class Change : uint8_t { kNone, kLost, kRegained };

  /// Counts a send to the server without any response.
  void CountFailure(const std::string& instance, TimePoint now);
  /// Counts a response of a server on a new connection. Returns whether servers
  /// are within reach again.
  bool CountResponse();

  /// Whether a send to the server failed recently.
  bool HasFailed(const std::string& instance) const {
    return m_failures.contains(instance);
  }

  /// Number of servers to probe now; zero unless a round of probes is due.
  size_t ProbesDue(TimePoint now);
  /// Starts a round of this many probes.
  void StartProbes(size_t count, TimePoint now);
  /// Counts the end of one probe of the round.
  Change CountProbe(bool is_reached);

  /// Whether it is not known yet if any server is within reach: several failed
  /// recently, and probes have not ended.
  bool IsUncertain(TimePoint now) const;

  /// Whether no server is within reach.
  bool IsLost() const { return m_is_lost; }

 private:
  size_t RecentFailures(TimePoint now) const;
  Change Regain();

  /// Time of the last failure by instance.
  std::map<std::string, TimePoint> m_failures;
  size_t m_pending_probes = 0;
  bool m_has_reached_any = false;
  TimePoint m_next_round{};
  bool m_is_lost = false;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_REACH_MONITOR_H_
