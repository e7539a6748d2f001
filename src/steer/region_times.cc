/// @file region_times.cc Means and the way to a region.

#include "steer/region_times.h"

#include <algorithm>

#include "steer/slot_time_fraction_func.h"

namespace sorrelplank {

namespace {

/// Answers that a mean goes over: a second of one VM's requests to a service.
constexpr int kMeanSamples = 20;

}  // namespace

void RegionTimes::Add(size_t region,
                      const AttemptReport& report,
                      uint32_t slots) {
  const auto in_slot = std::chrono::duration_cast<Duration>(
      report.m_latency * SlotTimeFraction(report, slots));
  Times& times = m_times[region];
  Blend(times.m_mean, in_slot);
  times.m_shortest.Add(in_slot);
  Blend(m_mean, in_slot);
}

Duration RegionTimes::Usual(size_t region) const {
  const Duration mean = m_times[region].m_mean;
  return mean == Duration::zero() ? m_mean : mean;
}

Duration RegionTimes::Work(size_t region) const {
  const Times& there = m_times[region];
  Duration nearest = there.m_shortest.Get();
  for (const Times& times : m_times) {
    if (times.m_mean > Duration::zero()) {
      nearest = std::min(nearest, times.m_shortest.Get());
    }
  }
  return Usual(region) - (there.m_shortest.Get() - nearest);
}

void RegionTimes::Blend(Duration& mean, Duration sample) {
  mean =
      mean == Duration::zero() ? sample : mean + (sample - mean) / kMeanSamples;
}

}  // namespace sorrelplank
