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

// The current bucket is incomplete, so one extra bucket covers the window.
RetryBudgetShare::RetryBudgetShare(Duration window)
    : m_bucket_length(window / static_cast<int64_t>(kBuckets - 1)) {}

void RetryBudgetShare::CountRequest(TimePoint now) {
  Advance(now);
  ++Current().m_requests;
}

bool RetryBudgetShare::TrySpend(double ratio, double extra, TimePoint now) {
  Advance(now);
  const Bucket sum = Sum();
  if (sum.m_retries + 1 > ratio * sum.m_requests + extra) {
    return false;
  }
  ++Current().m_retries;
  return true;
}

bool RetryBudgetShare::TrySpendHedge(double ratio,
                                     double extra,
                                     TimePoint now) {
  Advance(now);
  const Bucket sum = Sum();
  if (sum.m_hedges + 1 > kHedgeFraction * (ratio * sum.m_requests + extra) ||
      !TrySpend(ratio, extra, now)) {
    return false;
  }
  ++Current().m_hedges;
  return true;
}

void RetryBudgetShare::CountReturningNeed(TimePoint now) {
  Advance(now);
  ++Current().m_returning_needs;
}

bool RetryBudgetShare::TrySpendAsFirstCall(double ratio,
                                           double extra,
                                           TimePoint now) {
  Advance(now);
  const Bucket sum = Sum();
  const double budget = ratio * sum.m_requests + extra;
  // The budget falls by a bucket's part when its oldest bucket is dropped. The
  // margin keeps returning requests from finding it overdrawn then.
  const double needs = sum.m_returning_needs;
  const double margin = std::min(needs, budget / kBuckets);
  const double reserve =
      std::min(needs + margin, (1 - kFirstCallFraction) * budget);
  if (sum.m_first_call_retries + 1 > budget - reserve ||
      !TrySpend(ratio, extra, now)) {
    return false;
  }
  ++Current().m_first_call_retries;
  return true;
}

RetryBudgetShare::Bucket RetryBudgetShare::Sum() const {
  Bucket sum;
  for (const Bucket& bucket : m_buckets) {
    sum.m_requests += bucket.m_requests;
    sum.m_retries += bucket.m_retries;
    sum.m_hedges += bucket.m_hedges;
    sum.m_first_call_retries += bucket.m_first_call_retries;
    sum.m_returning_needs += bucket.m_returning_needs;
  }
  return sum;
}

void RetryBudgetShare::Advance(TimePoint now) {
  const int64_t bucket = now.time_since_epoch() / m_bucket_length;
  if (bucket - m_bucket_number >= static_cast<int64_t>(kBuckets)) {
    m_buckets.fill({});
    m_bucket_number = bucket;
    return;
  }
  while (m_bucket_number < bucket) {
    ++m_bucket_number;
    m_buckets[static_cast<size_t>(m_bucket_number) % kBuckets] = {};
  }
}

}  // namespace sorrelplank
