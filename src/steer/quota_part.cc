/// @file quota_part.cc Shares of rate, burst and tolerance.

#include <algorithm>

#include "core/time_type.h"
#include "steer/organisation_type.h"
#include "steer/quota_part_func.h"

namespace sorrelplank {

namespace {

/// Parts of the tolerance. The rest is for tokens that are granted in one
/// window and used in the next, and for two VMs that take themselves for the
/// keeper while news of the fleet is under way.
constexpr double kBurstTolerance = 0.3;
constexpr double kFirstTolerance = 0.15;
constexpr double kOutOfReachTolerance = 0.2;

double SecondsOf(Duration time) {
  return ToMilliseconds(time) / 1000;
}

/// Requests in a window beyond rate and burst.
double Tolerance(const Organisation& organisation, const QuotaBounds& bounds) {
  const double in_window =
      organisation.m_rate_per_second * SecondsOf(bounds.m_window) +
      organisation.m_burst;
  return bounds.m_excess * in_window + bounds.m_slack;
}

}  // namespace

QuotaPart PartOfKeeper(const Organisation& organisation,
                       const QuotaBounds& bounds,
                       size_t keepers) {
  const auto count = static_cast<double>(std::max<size_t>(1, keepers));
  const double tolerance = Tolerance(organisation, bounds) / count;
  const double capacity =
      organisation.m_burst / count + tolerance * kBurstTolerance;
  // A bucket that cannot hold one token would never grant any.
  return {.m_rate = organisation.m_rate_per_second / count,
          .m_capacity = std::max(1.0, capacity),
          .m_first = tolerance * kFirstTolerance};
}

QuotaPart PartOutOfReach(const Organisation& organisation,
                         const QuotaBounds& bounds,
                         size_t vms) {
  const auto count = static_cast<double>(std::max<size_t>(1, vms));
  const double window = std::max(0.001, SecondsOf(bounds.m_window));
  const double in_window =
      Tolerance(organisation, bounds) * kOutOfReachTolerance / count;
  return {.m_rate = in_window / window, .m_capacity = 1, .m_first = 0};
}

}  // namespace sorrelplank
