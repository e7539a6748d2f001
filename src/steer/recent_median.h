/// @file recent_median.h Median of the most recent durations.

#ifndef SORRELPLANK_STEER_RECENT_MEDIAN_H_
#define SORRELPLANK_STEER_RECENT_MEDIAN_H_

#include <array>
#include <cstddef>

#include "core/time_type.h"

namespace sorrelplank {

/// Exact median of the last samples. Unlike QuantileEstimator, which moves by
/// 6 % of its value with each sample, it is steady enough to be compared with a
/// bound that is 20 % above it.
class RecentMedian {
 public:
  void Add(Duration sample);

  /// Zero before the first sample.
  Duration Get() const { return m_median; }

 private:
  /// Three seconds of a VM that sends ten requests a second to a service; the
  /// standard error is a fifth of the samples' deviation.
  static constexpr size_t kSamples = 32;

  std::array<Duration, kSamples> m_samples{};
  size_t m_added = 0;
  Duration m_median{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_RECENT_MEDIAN_H_
