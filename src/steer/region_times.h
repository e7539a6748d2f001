/// @file region_times.h How long requests of a service take in each region.

#ifndef SORRELPLANK_STEER_REGION_TIMES_H_
#define SORRELPLANK_STEER_REGION_TIMES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/time_type.h"
#include "steer/quantile_estimator.h"

namespace sorrelplank {

struct AttemptReport;

/// Times of a service's requests by the region of the backend server.
///
/// Load pattern: a region with few servers sends two thirds of its requests to
/// other regions, 110 ms away. One mean over all regions took that way for work
/// at the near servers: their slots seemed to come free later than they did,
/// and 72 of 76 refusals of a calm moment had one other request, or none,
/// before them. Time in a server's queue was taken for work too, which made a
/// line look longer the longer it was.
class RegionTimes {
 public:
  explicit RegionTimes(size_t regions) : m_times(regions) {}

  /// Notes an answer of a server that has so many slots.
  void Add(size_t region, const AttemptReport& report, uint32_t slots);

  /// Mean time of a request that finds a free slot, with the way there; zero
  /// before the first answer from anywhere.
  Duration Usual(size_t region) const;

  /// The same without the way there: how long a slot is taken.
  Duration Work(size_t region) const;

 private:
  /// Times of one region, without waiting for a slot.
  struct Times {
    /// Beside a median, a mean counts requests on objects that are not warm,
    /// which a waiting request may turn out to be.
    Duration m_mean{};
    /// Nearly the shortest: the difference between regions is the way.
    QuantileEstimator m_shortest{0.1};
  };

  static void Blend(Duration& mean, Duration sample);

  std::vector<Times> m_times;
  /// Over all regions, for one that has not answered yet.
  Duration m_mean{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_REGION_TIMES_H_
