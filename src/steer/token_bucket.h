/// @file token_bucket.h A token bucket.

#ifndef SORRELPLANK_STEER_TOKEN_BUCKET_H_
#define SORRELPLANK_STEER_TOKEN_BUCKET_H_

#include <cstdint>

#include "core/time_type.h"
#include "steer/quota_share_func.h"

namespace sorrelplank {

/// Refills at a constant rate up to a capacity.
class TokenBucket {
 public:
  TokenBucket(const QuotaShare& share, TimePoint now);

  /// Changes rate and capacity; tokens above the new capacity are dropped.
  void SetShare(const QuotaShare& share, TimePoint now);

  /// Takes up to `wanted` whole tokens and returns how many it took.
  uint32_t Take(uint32_t wanted, TimePoint now);

 private:
  void Refill(TimePoint now);

  QuotaShare m_share;
  double m_tokens;
  TimePoint m_refilled_at;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_TOKEN_BUCKET_H_
