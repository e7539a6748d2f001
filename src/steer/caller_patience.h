/// @file caller_patience.h How long callers of a route have waited before.

#ifndef SORRELPLANK_STEER_CALLER_PATIENCE_H_
#define SORRELPLANK_STEER_CALLER_PATIENCE_H_

#include <algorithm>

#include "core/time_type.h"

namespace sorrelplank {

/// Callers state how long they still wait. One that comes back states less than
/// it did at first, and the longest time stated lately is what a first attempt
/// states; so the difference is the time that it has waited already.
class CallerPatience {
 public:
  /// Notes a request; how long its caller has waited.
  Duration Note(Duration time_left) {
    m_longest -= (m_longest - time_left) / kForgetting;
    m_longest = std::max(m_longest, time_left);
    return m_longest - time_left;
  }

 private:
  /// A longer time than callers state now is forgotten over some hundred
  /// requests. Kept for good, one odd caller would make all others seem old.
  static constexpr int64_t kForgetting = 100;

  Duration m_longest{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_CALLER_PATIENCE_H_
