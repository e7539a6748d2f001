/// @file retry_budget_share.cc Sliding window of requests and retries.

#include "steer/retry_budget_share.h"

#include <algorithm>

namespace sorrelplank {

namespace {

/// Part of the budget that hedges may use. They would otherwise spend it while
/// machines are slowed, and rejected requests would find nothing left.
constexpr double kHedgeFraction = 0.5;
/// Part of the budget that is never reserved for returning requests. A caller
/// returns at most once, so at most half of the requests are returning ones.
constexpr double kFirstCallFraction = 0.5;

}  // namespace

RetryBudgetShare::RetryBudgetShare(Duration window)
    : m_all(window),
      m_hedges(window),
      m_first_calls(window),
      m_returning(window) {}

void RetryBudgetShare::CountRequest(TimePoint now) {
  m_all.CountRequest(now);
  m_hedges.CountRequest(now);
  m_first_calls.CountRequest(now);
}

std::optional<RetryCharge> RetryBudgetShare::TrySpend(double ratio,
                                                      double extra,
                                                      TimePoint now) {
  if (!m_all.Allows(ratio, extra, now)) {
    return std::nullopt;
  }
  m_all.Spend(ratio, now);
  return m_all.Describe(extra);
}

std::optional<RetryCharge> RetryBudgetShare::TrySpendHedge(double ratio,
                                                           double extra,
                                                           TimePoint now) {
  const double part_ratio = kHedgeFraction * ratio;
  if (!m_hedges.Allows(part_ratio, kHedgeFraction * extra, now)) {
    return std::nullopt;
  }
  const auto charge = TrySpend(ratio, extra, now);
  if (charge) {
    m_hedges.Spend(part_ratio, now);
  }
  return charge;
}

void RetryBudgetShare::CountReturningNeed(TimePoint now) {
  m_returning.CountRequest(now);
}

std::optional<RetryCharge> RetryBudgetShare::TrySpendAsFirstCall(
    double ratio,
    double extra,
    TimePoint now) {
  const double budget = ratio * m_all.Requests(now) + extra;
  if (budget <= 0) {
    return std::nullopt;
  }
  // The budget falls by a bucket's part when its oldest bucket is dropped. The
  // margin keeps returning requests from finding it overdrawn then.
  const double needs = m_returning.Requests(now);
  const double margin = std::min(needs, budget / RetryAccount::kBuckets);
  const double reserve =
      std::min(needs + margin, (1 - kFirstCallFraction) * budget);
  const double part = 1 - reserve / budget;
  if (!m_first_calls.Allows(part * ratio, part * extra, now)) {
    return std::nullopt;
  }
  const auto charge = TrySpend(ratio, extra, now);
  if (charge) {
    m_first_calls.Spend(part * ratio, now);
  }
  return charge;
}

}  // namespace sorrelplank
