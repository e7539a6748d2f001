/// @file domain_breaker.cc Opening, trials, closing.

#include "steer/domain_breaker.h"

#include <algorithm>

namespace sorrelplank {

namespace {

/// Distinct servers out of reach, with none reached in between. Fewer may be
/// servers that crashed by themselves; the smallest domains have six.
constexpr size_t kServersToOpen = 4;
/// Pause between trials; it doubles up to the longest. The first one is short
/// beside the seconds that a restart takes.
constexpr Duration kFirstInterval = milliseconds(400);
constexpr Duration kLongestInterval = milliseconds(1600);

}  // namespace

bool DomainBreaker::HasTripped() const {
  return m_unreached.size() >= kServersToOpen;
}

bool DomainBreaker::CountUnreached(const std::string& instance, TimePoint now) {
  const bool had_tripped = HasTripped();
  m_unreached.insert(instance);
  if (had_tripped || !HasTripped()) {
    return false;
  }
  m_interval = kFirstInterval;
  m_open_until = now + m_interval;
  return true;
}

bool DomainBreaker::CountReached() {
  const bool had_tripped = HasTripped();
  m_unreached.clear();
  m_open_until = TimePoint();
  return had_tripped;
}

bool DomainBreaker::CountSend(TimePoint now) {
  if (!HasTripped() || IsOpen(now)) {
    return false;
  }
  m_interval = std::min(2 * m_interval, kLongestInterval);
  m_open_until = now + m_interval;
  return true;
}

}  // namespace sorrelplank
