/// @file rate_window.h Sliding-window limit on events per second.

#ifndef SORRELPLANK_CORE_RATE_WINDOW_H_
#define SORRELPLANK_CORE_RATE_WINDOW_H_

#include <array>
#include <cstdint>

#include "core/time_type.h"

namespace sorrelplank {

/// Counts events over a little more than a second, in buckets of 100 ms.
///
/// The window always covers the current bucket and the ten before it. Hence no
/// span of one second, wherever it starts, holds more events than the limit; a
/// plain token bucket would allow twice the limit around a refill.
class RateWindow {
 public:
  /// Longest time that the window covers.
  static constexpr Duration kSpan = milliseconds(1100);

  /// Counts one event if the limit allows it.
  bool TryTake(uint32_t limit, TimePoint now);

  /// Events in the window.
  uint32_t Count(TimePoint now);

 private:
  static constexpr int kBucketCount = 11;
  static constexpr Duration kBucketWidth = milliseconds(100);

  void Advance(TimePoint now);

  std::array<uint32_t, kBucketCount> m_counts{};
  int64_t m_current_bucket = 0;
  uint32_t m_sum = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_RATE_WINDOW_H_
