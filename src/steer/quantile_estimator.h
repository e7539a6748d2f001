/// @file quantile_estimator.h Follows a quantile of a stream of times.

#ifndef SORRELPLANK_STEER_QUANTILE_ESTIMATOR_H_
#define SORRELPLANK_STEER_QUANTILE_ESTIMATOR_H_

#include "core/time_type.h"

namespace sorrelplank {

/// Steps up or down by a small part with each sample, so that the quantile's
/// part of the samples is below. A mean would follow the few requests that find
/// a server not warm for their object, which take 3.3 times as long.
class QuantileEstimator {
 public:
  explicit QuantileEstimator(double quantile) : m_quantile(quantile) {}

  void Add(Duration sample) {
    if (m_value == Duration::zero()) {
      m_value = sample;
      return;
    }
    const double step = sample > m_value ? m_quantile : m_quantile - 1;
    m_value += std::chrono::duration_cast<Duration>(m_value *
                                                    (step * kMaxStepFraction));
  }

  /// Zero before the first sample.
  Duration Get() const { return m_value; }

 private:
  /// Part of the value: a change to a third is followed in some 20 samples.
  static constexpr double kMaxStepFraction = 0.12;

  double m_quantile;
  Duration m_value{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUANTILE_ESTIMATOR_H_
