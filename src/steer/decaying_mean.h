/// @file decaying_mean.h A moving average that decays when samples stop.

#ifndef SORRELPLANK_STEER_DECAYING_MEAN_H_
#define SORRELPLANK_STEER_DECAYING_MEAN_H_

#include <algorithm>

#include "core/time_type.h"

namespace sorrelplank {

/// Exponentially weighted moving average that decays to zero without samples.
/// For decisions that themselves stop the samples: with a constant value, a
/// server that seemed full would never be tried again.
class DecayingMean {
 public:
  void Add(double sample, TimePoint now) {
    const double before = Get(now);
    m_value = before + (sample - before) * kSampleWeight;
    m_sampled = now;
  }

  /// Zero before the first sample, and once the last one has decayed.
  double Get(TimePoint now) const {
    const Duration age = now - m_sampled - kHoldTime;
    if (age <= Duration::zero()) {
      return m_value;
    }
    const double left = 1 - ToMilliseconds(age) / ToMilliseconds(kDecayTime);
    return m_value * std::max(0.0, left);
  }

 private:
  /// Weight of the newest sample; follows a change within about ten samples.
  static constexpr double kSampleWeight = 0.1;
  /// Time after a sample before the decay begins. A VM that sends eighteen
  /// requests a second to a service has a sample every 60 ms.
  static constexpr Duration kHoldTime = milliseconds(200);
  /// Duration of the linear decay to zero.
  static constexpr Duration kDecayTime = milliseconds(800);

  double m_value = 0;
  TimePoint m_sampled{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_DECAYING_MEAN_H_
