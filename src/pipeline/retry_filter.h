/// @file retry_filter.h Decides how a request goes on after an attempt ended.

#ifndef SORRELPLANK_PIPELINE_RETRY_FILTER_H_
#define SORRELPLANK_PIPELINE_RETRY_FILTER_H_

#include <variant>

#include "core/attempt_outcome_type.h"
#include "core/call_type.h"
#include "core/refusal_type.h"
#include "core/retry_budget.h"
#include "core/safeguards_type.h"
#include "core/verdict_type.h"

namespace sorrelplank {

/// The attempt's answer goes to the caller.
struct RetryNotNeeded {};
/// Another attempt is allowed.
struct RetryAllowed {};
/// No further attempt is allowed; the request is refused at once.
struct RetryDenied {
  RefusalReason m_reason;
  Verdict m_verdict;
};
using RetryDecision = std::variant<RetryNotNeeded, RetryAllowed, RetryDenied>;

/// Decides between answering, retrying and refusing after an attempt.
class RetryFilter {
 public:
  explicit RetryFilter(Safeguards safeguards) : m_safeguards(safeguards) {}

  RetryDecision Apply(const Call& call,
                      AttemptOutcome outcome,
                      RetryBudget& budget,
                      TimePoint now) const;

 private:
  Safeguards m_safeguards;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PIPELINE_RETRY_FILTER_H_
