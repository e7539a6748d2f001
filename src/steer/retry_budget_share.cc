/// @file retry_budget_share.cc Sliding window of requests and retries.

#include "steer/retry_budget_share.h"

#include <algorithm>

namespace sorrelplank {

namespace {

/// Part of the budget that hedges may use. They would otherwise spend it while
/// machines are slowed, and rejected requests would find nothing left.
constexpr double kHedgeFraction = 0.5;

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

RetryBudgetShare::Bucket RetryBudgetShare::Sum() const {
  Bucket sum;
  for (const Bucket& bucket : m_buckets) {
    sum.m_requests += bucket.m_requests;
    sum.m_retries += bucket.m_retries;
    sum.m_hedges += bucket.m_hedges;
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
