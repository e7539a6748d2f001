/// @file clock_func.h Reads the monotonic clock and the wall clock.

#ifndef SORRELPLANK_SERVE_CLOCK_FUNC_H_
#define SORRELPLANK_SERVE_CLOCK_FUNC_H_

#include "core/time_type.h"

namespace sorrelplank {

/// Reads the monotonic clock.
inline TimePoint SteadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// Reads the wall clock, for timestamps and incarnations; never for timeouts.
inline microseconds WallNow() {
  return std::chrono::duration_cast<microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_CLOCK_FUNC_H_
