/// @file token_bucket.cc Refilling and taking tokens.

#include "steer/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace sorrelplank {

TokenBucket::TokenBucket(const QuotaShare& share, TimePoint now)
    : m_share(share),
      m_tokens(std::min(share.m_initial, share.m_capacity)),
      m_refilled_at(now) {}

void TokenBucket::SetShare(const QuotaShare& share, TimePoint now) {
  Refill(now);
  m_share = share;
  m_tokens = std::min(m_tokens, share.m_capacity);
}

uint32_t TokenBucket::Take(uint32_t wanted, TimePoint now) {
  Refill(now);
  const double taken =
      std::min(static_cast<double>(wanted), std::floor(m_tokens));
  m_tokens -= taken;
  return static_cast<uint32_t>(taken);
}

void TokenBucket::Refill(TimePoint now) {
  const double passed_s = ToMilliseconds(now - m_refilled_at) / 1000;
  m_refilled_at = now;
  m_tokens = std::min(m_share.m_capacity, m_tokens + m_share.m_rate * passed_s);
}

}  // namespace sorrelplank
