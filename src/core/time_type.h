/// @file time_type.h Time types of the decision core, which reads no clock
/// itself.

#ifndef SORRELPLANK_CORE_TIME_TYPE_H_
#define SORRELPLANK_CORE_TIME_TYPE_H_

#include <chrono>

namespace sorrelplank {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

using Duration = std::chrono::microseconds;
/// A point on the monotonic clock of one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Milliseconds as a fraction, for scores and reports.
inline double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_TIME_TYPE_H_
