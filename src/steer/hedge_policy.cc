/// @file hedge_policy.cc Conditions of hedges within the target latency.

#include "steer/hedge_policy.h"

#include <algorithm>

namespace sorrelplank {

namespace {

/// A figure above this means that the machine is slowed: half-way to missing
/// the target in the deployments known to report it.
constexpr uint32_t kSlowedWorkPercent = 150;
/// Age up to which figures tell how the service behaves. With two servers a
/// spell begins every 2 s; by chance none is seen within 5 s once in ten times,
/// within 10 s once in a hundred.
constexpr Duration kVariationWindow = seconds(10);
/// An attempt is overdue after this multiple of the usual latency; a sixth of
/// the ordinary responses take as long.
constexpr double kOverdueFactor = 1.1;
/// A hedge is sent when this multiple of the other server's expected latency is
/// left until the target: late enough that most ordinary responses have come,
/// and early enough to answer in time. A fixed delay after the first attempt
/// often leaves no time for the hedge.
constexpr double kTimeToAnswer = 1.2;
/// Utilisation of the region in requests per slot above which the slots are
/// left to first attempts: queues form soon beyond it.
constexpr double kMaxHedgeUtilisation = 0.7;

}  // namespace

void HedgePolicy::NoteReported(std::optional<uint32_t> work_percent,
                               TimePoint as_of) {
  if (work_percent.value_or(0) == 0) {
    return;
  }
  std::optional<TimePoint>& last =
      *work_percent > kSlowedWorkPercent ? m_slowed_at : m_usual_at;
  last = std::max(as_of, last.value_or(as_of));
}

void HedgePolicy::AddAnswer(size_t region,
                            Duration latency,
                            std::optional<uint32_t> work_percent) {
  if (work_percent.value_or(0) <= kSlowedWorkPercent) {
    m_usual[region].Add(latency);
  }
}

bool HedgePolicy::IsActive(TimePoint now) const {
  const auto is_recent = [now](const std::optional<TimePoint>& last) {
    return last && now - *last < kVariationWindow;
  };
  return is_recent(m_slowed_at) && is_recent(m_usual_at);
}

bool HedgePolicy::IsOverdue(const AttemptProgress& attempt) {
  const Duration expected =
      std::chrono::duration_cast<Duration>(attempt.m_usual * kOverdueFactor) +
      attempt.m_queue_met;
  return attempt.m_usual > Duration::zero() &&
         attempt.m_time_since_sent >= expected;
}

bool HedgePolicy::IsWorthwhile(const HedgeCandidate& candidate,
                               Duration time_to_target) {
  if (!candidate.m_has_free_slot || !candidate.m_is_cached ||
      candidate.m_is_rate_limited ||
      candidate.m_region_utilisation > kMaxHedgeUtilisation) {
    return false;
  }
  const double expected_ms =
      ToMilliseconds(candidate.m_usual) * candidate.m_work_factor;
  const double left_ms = ToMilliseconds(time_to_target);
  // Until later, the first attempt may still answer, and most do.
  return expected_ms <= left_ms && left_ms <= kTimeToAnswer * expected_ms;
}

}  // namespace sorrelplank
