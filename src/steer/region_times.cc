/// @file region_times.cc Means and the way to a region.

#include "steer/region_times.h"

#include <algorithm>

#include "steer/attempt_report_type.h"

namespace sorrelplank {

namespace {

/// Answers that a mean goes over: a second of one VM's requests to a service.
constexpr int kMeanSamples = 20;

/// Part of its time at the server that a request had a slot: what a full server
/// reports as waiting was served, on average, before it.
double PartInSlot(const AttemptReport& report, uint32_t slots) {
  if (!report.m_load) {
    return 1;
  }
  const double there = report.m_load->m_running + report.m_load->m_waiting;
  return slots / std::max<double>(slots, there);
}

}  // namespace

void RegionTimes::Add(size_t region,
                      const AttemptReport& report,
                      uint32_t slots) {
  const auto in_slot = std::chrono::duration_cast<Duration>(
      report.m_latency * PartInSlot(report, slots));
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
