/// @file decaying_mean.h A moving mean that is forgotten when samples stop.

#ifndef SORRELPLANK_STEER_DECAYING_MEAN_H_
#define SORRELPLANK_STEER_DECAYING_MEAN_H_

#include <algorithm>

#include "core/time_type.h"

namespace sorrelplank {

/// Mean over the last samples, for decisions that stop the samples themselves:
/// a mean that stayed would keep a server that seemed full from ever being
/// tried again.
class DecayingMean {
 public:
  void Add(double sample, TimePoint now) {
    const double before = Get(now);
    m_value = before + (sample - before) * kSampleWeight;
    m_sampled = now;
  }

  /// Zero before the first sample and long after the last one.
  double Get(TimePoint now) const {
    const Duration age = now - m_sampled - kHoldTime;
    if (age <= Duration::zero()) {
      return m_value;
    }
    const double left = 1 - ToMilliseconds(age) / ToMilliseconds(kDecayTime);
    return m_value * std::max(0.0, left);
  }

 private:
  /// Weight of the newest sample; some ten samples to follow a change.
  static constexpr double kSampleWeight = 0.1;
  /// Kept whole for this long after a sample: a VM that sends eighteen requests
  /// a second to a service has a sample every 60 ms.
  static constexpr Duration kHoldTime = milliseconds(200);
  /// Then gone within this time.
  static constexpr Duration kDecayTime = milliseconds(800);

  double m_value = 0;
  TimePoint m_sampled{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_DECAYING_MEAN_H_
