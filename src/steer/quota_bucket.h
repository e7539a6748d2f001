/// @file quota_bucket.h A token bucket.

#ifndef SORRELPLANK_STEER_QUOTA_BUCKET_H_
#define SORRELPLANK_STEER_QUOTA_BUCKET_H_

#include <cstdint>

#include "core/time_type.h"
#include "steer/quota_part_func.h"

namespace sorrelplank {

/// Gains tokens at a rate up to a capacity.
class QuotaBucket {
 public:
  QuotaBucket(const QuotaPart& part, TimePoint now);

  /// Another rate and capacity from now on; what it holds stays, up to the
  /// capacity.
  void SetPart(const QuotaPart& part, TimePoint now);

  /// Takes up to so many whole tokens; how many it took.
  uint32_t Take(uint32_t wanted, TimePoint now);

 private:
  void Gain(TimePoint now);

  QuotaPart m_part;
  double m_tokens;
  TimePoint m_gained;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUOTA_BUCKET_H_
