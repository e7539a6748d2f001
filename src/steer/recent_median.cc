/// @file recent_median.cc Median of a ring of samples.

#include "steer/recent_median.h"

#include <algorithm>

namespace sorrelplank {

void RecentMedian::Add(Duration sample) {
  m_samples[m_added % kSamples] = sample;
  ++m_added;
  std::array<Duration, kSamples> sorted = m_samples;
  const auto end =
      sorted.begin() + static_cast<ptrdiff_t>(std::min(m_added, kSamples));
  const auto middle = sorted.begin() + (end - sorted.begin()) / 2;
  std::nth_element(sorted.begin(), middle, end);
  m_median = *middle;
}

}  // namespace sorrelplank
