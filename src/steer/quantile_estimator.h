/// @file quantile_estimator.h Estimates a quantile of a stream of durations.

#ifndef SORRELPLANK_STEER_QUANTILE_ESTIMATOR_H_
#define SORRELPLANK_STEER_QUANTILE_ESTIMATOR_H_

#include "core/time_type.h"

namespace sorrelplank {

/// Moves up or down by a small step with each sample, so that it converges to
/// the quantile. A mean would be skewed by the few requests whose object the
/// server does not have cached, which take 3.3 times as long.
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
  /// Fraction of the value. A drop to a third is followed within about 20
  /// samples.
  static constexpr double kMaxStepFraction = 0.12;

  double m_quantile;
  Duration m_value{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUANTILE_ESTIMATOR_H_
