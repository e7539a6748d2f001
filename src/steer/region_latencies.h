/// @file region_latencies.h Latencies of a service's requests per region.

#ifndef SORRELPLANK_STEER_REGION_LATENCIES_H_
#define SORRELPLANK_STEER_REGION_LATENCIES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/time_type.h"
#include "steer/quantile_estimator.h"

namespace sorrelplank {

struct AttemptReport;

/// Latencies of a service's requests by the region of the backend server.
///
/// Load pattern: a region with few servers sends two thirds of its requests to
/// other regions, 110 ms away. A single mean over all regions counts that round
/// trip as processing time at the near servers: their slots seem to become free
/// later than they do, and 72 of 76 refusals at low load had at most one other
/// request ahead of them. Time in a server's queue must not count as processing
/// time either; the longer the queue, the more its wait would be overestimated.
class RegionLatencies {
 public:
  explicit RegionLatencies(size_t regions) : m_latencies(regions) {}

  /// Adds a response of a server with `slots` slots.
  void Add(size_t region, const AttemptReport& report, uint32_t slots);

  /// Mean latency of a request that finds a free slot, network included; the
  /// mean of all regions before the region's first response, zero before any.
  Duration Mean(size_t region) const;

  /// How long a request occupies a slot: Mean() without the network latency.
  Duration SlotTime(size_t region) const;

  /// Network latency of the region beyond that of the nearest one.
  Duration ExtraNetworkTime(size_t region) const;

 private:
  /// Latencies of one region, without waiting for a slot.
  struct Latencies {
    /// A mean rather than a median, since it includes slower requests on
    /// objects that are not cached, which a waiting request may be.
    Duration m_mean{};
    /// Tenth percentile; its difference between regions is network latency.
    QuantileEstimator m_shortest{0.1};
  };

  static void UpdateMean(Duration& mean, Duration sample);

  std::vector<Latencies> m_latencies;
  /// Over all regions; used for regions without a response yet.
  Duration m_mean{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_REGION_LATENCIES_H_
