/// @file retry_account.cc Sliding window of requests and of retries that they
/// pay for.

#include "steer/retry_account.h"

#include <algorithm>

namespace sorrelplank {

// The current bucket is incomplete, so one extra bucket covers the window.
RetryAccount::RetryAccount(Duration window)
    : m_bucket_length(window / static_cast<int64_t>(kBuckets - 1)) {}

void RetryAccount::CountRequest(TimePoint now) {
  Advance(now);
  ++At(m_bucket_number).m_requests;
  ++m_unused_requests;
}

bool RetryAccount::Allows(double ratio, double extra, TimePoint now) {
  Advance(now);
  const Bucket sum = Sum();
  return sum.m_retries + 1 <= ratio * sum.m_requests + extra &&
         sum.m_paid_by_extra + 1 - PaidByRequests(ratio) <= extra;
}

void RetryAccount::Spend(double ratio, TimePoint now) {
  Advance(now);
  const double paid = PaidByRequests(ratio);
  ++At(m_bucket_number).m_retries;
  At(m_bucket_number).m_paid_by_extra += 1 - paid;
  m_unused_requests = paid < 1 ? 0 : Credit(ratio) - 1 / ratio;
}

uint32_t RetryAccount::Requests(TimePoint now) {
  Advance(now);
  return Sum().m_requests;
}

RetryCharge RetryAccount::Describe(double extra) const {
  const Bucket sum = Sum();
  return {.m_requests = sum.m_requests,
          .m_retries = sum.m_retries,
          .m_paid_by_extra = sum.m_paid_by_extra,
          .m_extra = extra};
}

RetryAccount::Bucket RetryAccount::Sum() const {
  Bucket sum;
  for (const Bucket& bucket : m_buckets) {
    sum.m_requests += bucket.m_requests;
    sum.m_retries += bucket.m_retries;
    sum.m_paid_by_extra += bucket.m_paid_by_extra;
  }
  return sum;
}

double RetryAccount::Credit(double ratio) const {
  double limit = ratio > 0 ? 1 / ratio : 0;
  double recent = 0;
  for (size_t age = 0; age < kCreditBuckets; ++age) {
    const auto number = static_cast<size_t>(m_bucket_number) - age;
    recent += m_buckets[number % kBuckets].m_requests;
  }
  limit = std::max(limit, recent);
  return std::min(m_unused_requests, limit);
}

double RetryAccount::PaidByRequests(double ratio) const {
  return std::min(1.0, ratio * Credit(ratio));
}

void RetryAccount::Advance(TimePoint now) {
  const int64_t bucket = now.time_since_epoch() / m_bucket_length;
  if (bucket - m_bucket_number >= static_cast<int64_t>(kBuckets)) {
    m_buckets.fill({});
    m_bucket_number = bucket;
    return;
  }
  while (m_bucket_number < bucket) {
    ++m_bucket_number;
    At(m_bucket_number) = {};
  }
}

}  // namespace sorrelplank
