/// @file region_latencies.cc Mean latencies and network latency of a region.

#include "steer/region_latencies.h"

#include <algorithm>

#include "steer/slot_time_fraction_func.h"

namespace sorrelplank {

namespace {

/// Sample weight of the moving mean, as a number of responses: about one second
/// of one VM's requests to a service.
constexpr int kMeanSamples = 20;

}  // namespace

void RegionLatencies::Add(size_t region,
                          const AttemptReport& report,
                          uint32_t slots) {
  const auto in_slot = std::chrono::duration_cast<Duration>(
      report.m_latency * SlotTimeFraction(report, slots));
  Latencies& latencies = m_latencies[region];
  UpdateMean(latencies.m_mean, in_slot);
  latencies.m_shortest.Add(in_slot);
  UpdateMean(m_mean, in_slot);
}

Duration RegionLatencies::Mean(size_t region) const {
  const Duration mean = m_latencies[region].m_mean;
  return mean == Duration::zero() ? m_mean : mean;
}

Duration RegionLatencies::SlotTime(size_t region) const {
  return Mean(region) - ExtraNetworkTime(region);
}

Duration RegionLatencies::ExtraNetworkTime(size_t region) const {
  const Latencies& there = m_latencies[region];
  Duration nearest = there.m_shortest.Get();
  for (const Latencies& latencies : m_latencies) {
    if (latencies.m_mean > Duration::zero()) {
      nearest = std::min(nearest, latencies.m_shortest.Get());
    }
  }
  return there.m_shortest.Get() - nearest;
}

void RegionLatencies::UpdateMean(Duration& mean, Duration sample) {
  mean =
      mean == Duration::zero() ? sample : mean + (sample - mean) / kMeanSamples;
}

}  // namespace sorrelplank
