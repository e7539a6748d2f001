/// @file quota_bucket.cc Gaining and taking tokens.

#include "steer/quota_bucket.h"

#include <algorithm>
#include <cmath>

namespace sorrelplank {

QuotaBucket::QuotaBucket(const QuotaPart& part, TimePoint now)
    : m_part(part),
      m_tokens(std::min(part.m_first, part.m_capacity)),
      m_gained(now) {}

void QuotaBucket::SetPart(const QuotaPart& part, TimePoint now) {
  Gain(now);
  m_part = part;
  m_tokens = std::min(m_tokens, part.m_capacity);
}

uint32_t QuotaBucket::Take(uint32_t wanted, TimePoint now) {
  Gain(now);
  const double taken =
      std::min(static_cast<double>(wanted), std::floor(m_tokens));
  m_tokens -= taken;
  return static_cast<uint32_t>(taken);
}

void QuotaBucket::Gain(TimePoint now) {
  const double passed_s = ToMilliseconds(now - m_gained) / 1000;
  m_gained = now;
  m_tokens = std::min(m_part.m_capacity, m_tokens + m_part.m_rate * passed_s);
}

}  // namespace sorrelplank
