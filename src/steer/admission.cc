/// @file admission.cc Estimates of waiting.

#include "steer/admission.h"

#include <algorithm>

namespace sorrelplank {

namespace {

/// Taken for the rate where nothing has ended yet, in ends a second.
constexpr double kLeastRate = 2;
/// Part of the time until the target that may be spent waiting where the usual
/// latency alone misses the target; the answer is late anyway, a long wait
/// would only take the place of requests that can be met.
constexpr double kLateWaitPart = 0.5;
/// Nobody is asked to come back sooner than a slot usually comes free.
constexpr Duration kSoonest = milliseconds(150);
/// Or later than overload of this kind lasts.
constexpr Duration kLatest = milliseconds(1500);

}  // namespace

Duration ExpectedWait(const LineState& line) {
  const double rate = std::max(kLeastRate, line.m_ends_per_second);
  const double wait_s = static_cast<double>(line.m_ahead + 1) / rate;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(wait_s));
}

bool MayWait(const LineState& line, const WaitNeed& need) {
  const Duration wait = ExpectedWait(line);
  if (wait + line.m_usual_latency > need.m_until_end) {
    return false;
  }
  const Duration spare = need.m_until_target - line.m_usual_latency;
  const auto late_spare =
      std::chrono::duration_cast<Duration>(need.m_until_target * kLateWaitPart);
  return wait <= std::max(spare, late_spare);
}

Duration Spread(Duration time, uint64_t spread) {
  // 0.75 to 1.25 of the time, in steps of a 64th.
  const double factor = 0.75 + static_cast<double>(spread % 33) / 64;
  return std::chrono::duration_cast<Duration>(time * factor);
}

Duration SpreadLater(Duration time, uint64_t spread) {
  // 1 to 1.25 of the time, in steps of a 128th.
  const double factor = 1 + static_cast<double>(spread % 33) / 128;
  return std::chrono::duration_cast<Duration>(time * factor);
}

Duration ComeBackAfter(const LineState& line, uint64_t spread) {
  return std::clamp<Duration>(Spread(ExpectedWait(line), spread), kSoonest,
                              kLatest);
}

}  // namespace sorrelplank
