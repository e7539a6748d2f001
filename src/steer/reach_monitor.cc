/// @file reach_monitor.cc Failures, and rounds of probes.

#include "steer/reach_monitor.h"

#include <algorithm>

namespace sorrelplank {

namespace {

/// Failures that are older do not count.
constexpr Duration kFailureWindow = seconds(2);
/// Distinct servers with failures that start a round of probes. One may have
/// crashed.
constexpr size_t kFailedServersToProbe = 2;
/// Probes that must all fail before no server counts as within reach: enough
/// that the loss of a region, or of single packets, does not look the same.
constexpr size_t kProbesToConfirm = 4;
/// Time between the starts of two rounds. Longer than one round takes while no
/// server responds, except for its connect timeout.
constexpr Duration kProbeInterval = milliseconds(400);

}  // namespace

void ReachMonitor::CountFailure(const std::string& instance, TimePoint now) {
  m_failures[instance] = now;
}

bool ReachMonitor::CountResponse() {
  return Regain() == Change::kRegained;
}

ReachMonitor::Change ReachMonitor::Regain() {
  m_failures.clear();
  m_has_reached_any = true;
  const bool was_lost = m_is_lost;
  m_is_lost = false;
  return was_lost ? Change::kRegained : Change::kNone;
}

size_t ReachMonitor::ProbesDue(TimePoint now) {
  if (m_pending_probes > 0 || now < m_next_round) {
    return 0;
  }
  if (m_is_lost) {
    return 1;
  }
  std::erase_if(m_failures, [now](const auto& failure) {
    return now - failure.second > kFailureWindow;
  });
  return RecentFailures(now) >= kFailedServersToProbe ? kProbesToConfirm : 0;
}

size_t ReachMonitor::RecentFailures(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      m_failures.begin(), m_failures.end(), [now](const auto& failure) {
        return now - failure.second <= kFailureWindow;
      }));
}

bool ReachMonitor::IsUncertain(TimePoint now) const {
  const bool is_settled = m_is_lost || m_has_reached_any;
  return m_pending_probes > 0
             ? !is_settled
             : !m_is_lost && RecentFailures(now) >= kFailedServersToProbe;
}

void ReachMonitor::StartProbes(size_t count, TimePoint now) {
  m_pending_probes = count;
  m_has_reached_any = false;
  m_next_round = now + kProbeInterval;
}

ReachMonitor::Change ReachMonitor::CountProbe(bool is_reached) {
  --m_pending_probes;
  if (is_reached) {
    return Regain();
  }
  if (m_pending_probes > 0 || m_has_reached_any || m_is_lost) {
    return Change::kNone;
  }
  m_is_lost = true;
  return Change::kLost;
}

}  // namespace sorrelplank
