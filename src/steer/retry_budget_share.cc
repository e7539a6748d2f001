/// @file retry_budget_share.cc Sliding window of requests and retries.

#include "steer/retry_budget_share.h"

#include <algorithm>

namespace sorrelplank {

// The current bucket is incomplete, so one extra bucket covers the window.
RetryBudgetShare::RetryBudgetShare(Duration window)
    : m_bucket_length(window / static_cast<int64_t>(kBuckets - 1)) {}

void RetryBudgetShare::CountRequest(TimePoint now) {
  Advance(now);
  ++m_buckets[static_cast<size_t>(m_bucket_number) % kBuckets].m_requests;
}

bool RetryBudgetShare::TrySpend(double ratio, double extra, TimePoint now) {
  Advance(now);
  uint32_t requests = 0;
  uint32_t retries = 0;
  for (const Bucket& bucket : m_buckets) {
    requests += bucket.m_requests;
    retries += bucket.m_retries;
  }
  if (retries + 1 > ratio * requests + extra) {
    return false;
  }
  ++m_buckets[static_cast<size_t>(m_bucket_number) % kBuckets].m_retries;
  return true;
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
