/// @file retry_filter.cc Retry decision by verdict, retry budget and deadline.

#include "pipeline/retry_filter.h"

#include <algorithm>

namespace sorrelplank {

namespace {

constexpr uint32_t kMaxBackendAttempts = 3;
constexpr uint32_t kMaxPeerAttempts = 12;

}  // namespace

RetryDecision RetryFilter::Apply(const Call& call,
                                 AttemptOutcome outcome,
                                 RetryBudget& budget,
                                 TimePoint now) const {
  if (outcome == AttemptOutcome::kAnswered) {
    return RetryNotNeeded{};
  }
  const Verdict attempt_verdict = DescribeOutcome(outcome).m_verdict;
  const Verdict verdict = std::max(call.m_verdict, attempt_verdict);
  const bool may_retry = attempt_verdict == Verdict::kNotRun ||
                         call.m_idempotent ||
                         !m_safeguards.m_retry_only_not_run;
  if (!may_retry) {
    return RetryDenied{RefusalReason::kBackendFailed, verdict};
  }
  if (now >= call.m_deadline) {
    return RetryDenied{RefusalReason::kDeadlinePassed, verdict};
  }
  if (call.m_handed_on) {
    // The entry VM that forwarded it decides; it may have a better route.
    return RetryDenied{RefusalReason::kBackendFailed, verdict};
  }
  if (outcome == AttemptOutcome::kPeerRefused ||
      outcome == AttemptOutcome::kPeerUnreachable) {
    // No backend server ran the request, so this does not count against the
    // retry budget.
    if (call.m_peer_attempts >= kMaxPeerAttempts) {
      return RetryDenied{RefusalReason::kNoCapacity, verdict};
    }
    return RetryAllowed{};
  }
  if (call.m_backend_attempts >= kMaxBackendAttempts || !budget.TrySpend()) {
    return RetryDenied{RefusalReason::kBackendFailed, verdict};
  }
  return RetryAllowed{};
}

}  // namespace sorrelplank
