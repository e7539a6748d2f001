/// @file rate_window.cc Advancing of the window.

#include "core/rate_window.h"

namespace sorrelplank {

bool RateWindow::TryTake(uint32_t limit, TimePoint now) {
  Advance(now);
  if (m_sum >= limit) {
    return false;
  }
  ++m_counts[m_current_bucket % kBucketCount];
  ++m_sum;
  return true;
}

uint32_t RateWindow::Count(TimePoint now) {
  Advance(now);
  return m_sum;
}

void RateWindow::Advance(TimePoint now) {
  const int64_t bucket = now.time_since_epoch() / kBucketWidth;
  if (bucket - m_current_bucket >= kBucketCount) {
    m_counts.fill(0);
    m_sum = 0;
    m_current_bucket = bucket;
    return;
  }
  while (m_current_bucket < bucket) {
    ++m_current_bucket;
    m_sum -= m_counts[m_current_bucket % kBucketCount];
    m_counts[m_current_bucket % kBucketCount] = 0;
  }
}

}  // namespace sorrelplank
