/// @file domain_breaker.cc States of the failure domain circuit breaker.

#include "steer/domain_breaker.h"

#include <algorithm>

namespace sorrelplank {

namespace {

/// Distinct unreachable servers, with none reached in between, that open the
/// breaker. Fewer may be independent crashes; the smallest domains have six
/// servers.
constexpr size_t kUnreachableServersToOpen = 4;
/// Interval between probes; it doubles up to the maximum. The initial one is
/// short compared with the seconds that a restart takes.
constexpr Duration kInitialProbeInterval = milliseconds(400);
constexpr Duration kMaxProbeInterval = milliseconds(1600);

}  // namespace

bool DomainBreaker::HasTripped() const {
  return m_unreachable_instances.size() >= kUnreachableServersToOpen;
}

bool DomainBreaker::CountConnectFailure(const std::string& instance,
                                        TimePoint now) {
  const bool had_tripped = HasTripped();
  m_unreachable_instances.insert(instance);
  if (had_tripped || !HasTripped()) {
    return false;
  }
  m_probe_interval = kInitialProbeInterval;
  m_open_until = now + m_probe_interval;
  return true;
}

bool DomainBreaker::CountConnectSuccess() {
  const bool had_tripped = HasTripped();
  m_unreachable_instances.clear();
  m_open_until = TimePoint();
  return had_tripped;
}

bool DomainBreaker::CountSend(TimePoint now) {
  if (!HasTripped() || IsOpen(now)) {
    return false;
  }
  m_probe_interval = std::min(2 * m_probe_interval, kMaxProbeInterval);
  m_open_until = now + m_probe_interval;
  return true;
}

}  // namespace sorrelplank
