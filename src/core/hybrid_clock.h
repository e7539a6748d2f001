/// @file hybrid_clock.h Ordering of events across processes with different
/// clocks.

#ifndef SORRELPLANK_CORE_HYBRID_CLOCK_H_
#define SORRELPLANK_CORE_HYBRID_CLOCK_H_

#include <algorithm>
#include <cstdint>

#include "core/time_type.h"

namespace sorrelplank {

/// Hybrid logical clock: wall-clock microseconds in the upper 52 bits, a
/// counter in the lower 12. Each message carries a stamp, and a receiver never
/// issues a lower one than it received. So causes sort before effects even if
/// clocks differ by minutes.
class HybridClock {
 public:
  /// Returns the stamp of a local event or a message to send.
  uint64_t Next(microseconds wall) {
    m_last = std::max(m_last + 1, Pack(wall));
    return m_last;
  }

  /// Takes the stamp of a received message into account.
  void Observe(uint64_t stamp) { m_last = std::max(m_last, stamp); }

  /// Wall-clock part of a stamp.
  static microseconds Wall(uint64_t stamp) {
    return microseconds(static_cast<int64_t>(stamp >> kCounterBits));
  }

 private:
  static constexpr int kCounterBits = 12;

  static uint64_t Pack(microseconds wall) {
    return static_cast<uint64_t>(wall.count()) << kCounterBits;
  }

  uint64_t m_last = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_HYBRID_CLOCK_H_
