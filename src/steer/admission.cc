/// @file admission.cc Estimates of queueing time.

#include "steer/admission.h"

#include <algorithm>

namespace sorrelplank {

namespace {

/// Lower bound of the completion rate; assumed before the first completion.
constexpr double kMinCompletionsPerSecond = 2;
/// Fraction of the time to the target that may be spent queueing if the usual
/// latency alone exceeds the target. The response is late anyway, and a longer
/// wait would displace requests that can still meet their target.
constexpr double kLateWaitFraction = 0.5;

}  // namespace

Duration DrainTime(const QueueState& queue, size_t requests) {
  const double rate =
      std::max(kMinCompletionsPerSecond, queue.m_completions_per_second);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(requests) / rate));
}

Duration ExpectedWait(const QueueState& queue) {
  return DrainTime(queue, queue.m_ahead + 1);
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
  // Factor 0.75 to 1.25 in steps of 1/64.
  const double factor = 0.75 + static_cast<double>(seed % 33) / 64;
  return std::chrono::duration_cast<Duration>(time * factor);
}

Duration PositiveJitter(Duration time, uint64_t seed) {
  // Factor 1 to 1.25 in steps of 1/128.
  const double factor = 1 + static_cast<double>(seed % 33) / 128;
  return std::chrono::duration_cast<Duration>(time * factor);
}

Duration RetryAfter(const QueueState& queue, uint64_t seed) {
  return std::clamp<Duration>(Jitter(ExpectedWait(queue), seed), kMinRetryAfter,
                              kMaxRetryAfter);
}

Duration RetryAfterTime(Duration time, uint64_t seed) {
  return std::clamp<Duration>(PositiveJitter(time, seed), kMinRetryAfter,
                              kMaxRetryAfter);
}

}  // namespace sorrelplank
