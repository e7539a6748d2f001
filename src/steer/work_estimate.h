/// @file work_estimate.h Estimates the work of a route's requests on cached
/// objects.

#ifndef SORRELPLANK_STEER_WORK_ESTIMATE_H_
#define SORRELPLANK_STEER_WORK_ESTIMATE_H_

#include <cstdint>
#include <optional>

#include "core/time_type.h"
#include "steer/quantile_estimator.h"

namespace sorrelplank {

/// Processing time of a route's requests on cached objects, by their responses.
///
/// Load pattern: two kinds of requests share the servers of one service, with
/// 200 and 650 ms of work. The mean of both would refuse the shorter ones,
/// which are worth more, half a second too early.
class WorkEstimate {
 public:
  /// Adds the time for which an answered request occupied a slot.
  void Add(Duration in_slot) {
    m_work.Add(in_slot);
    m_samples = m_samples < kMinSamples ? m_samples + 1 : m_samples;
  }

  /// No value until enough responses are known.
  std::optional<Duration> Get() const {
    return m_samples < kMinSamples ? std::nullopt : std::optional(m_work.Get());
  }

 private:
  /// Responses below which the error may be as large as the value: the first
  /// one may be a cache miss, which takes 3.3 times as long, and seven more
  /// bring the estimate down to half of that.
  static constexpr uint32_t kMinSamples = 8;
  /// Requests whose object is not cached must not raise the estimate, also
  /// where they are the majority; above the shortest ones, since those include
  /// responses that needed no work.
  static constexpr double kCachedQuantile = 0.25;

  QuantileEstimator m_work{kCachedQuantile};
  uint32_t m_samples = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_WORK_ESTIMATE_H_
