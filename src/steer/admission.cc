/// @file admission.cc Estimates of waiting.

#include "steer/admission.h"

#include <algorithm>

namespace sorrelplank {

namespace {

/// Taken for the rate where nothing has ended yet, in ends a second.
constexpr double kMinCompletionsPerSecond = 2;
/// Part of the time until the target that may be spent waiting where the usual
/// latency alone misses the target; the answer is late anyway, a long wait
/// would only take the place of requests that can be met.
constexpr double kLateWaitFraction = 0.5;
/// Nobody is asked to come back sooner than a slot usually comes free.
constexpr Duration kMinRetryAfter = milliseconds(150);
/// Or later than overload of this kind lasts.
constexpr Duration kMaxRetryAfter = milliseconds(1500);

}  // namespace

Duration ExpectedWait(const QueueState& queue) {
  const double rate =
      std::max(kMinCompletionsPerSecond, queue.m_completions_per_second);
  const double wait_s = static_cast<double>(queue.m_ahead + 1) / rate;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(wait_s));
}

bool MayWait(const QueueState& queue, const WaitBudget& budget) {
  const Duration wait = ExpectedWait(queue);
  if (wait + queue.m_usual_latency > budget.m_time_to_deadline) {
    return false;
  }
  const Duration spare = budget.m_time_to_target - queue.m_usual_latency;
  const auto late_spare = std::chrono::duration_cast<Duration>(
      budget.m_time_to_target * kLateWaitFraction);
  return wait <= std::max(spare, late_spare);
}

Duration Jitter(Duration time, uint64_t seed) {
  // 0.75 to 1.25 of the time, in steps of a 64th.
  const double factor = 0.75 + static_cast<double>(seed % 33) / 64;
  return std::chrono::duration_cast<Duration>(time * factor);
}

Duration PositiveJitter(Duration time, uint64_t seed) {
  // 1 to 1.25 of the time, in steps of a 128th.
  const double factor = 1 + static_cast<double>(seed % 33) / 128;
  return std::chrono::duration_cast<Duration>(time * factor);
}

Duration RetryAfter(const QueueState& queue, uint64_t seed) {
  return std::clamp<Duration>(Jitter(ExpectedWait(queue), seed), kMinRetryAfter,
                              kMaxRetryAfter);
}

}  // namespace sorrelplank
