/// @file quota_share.cc Division of rate, burst and tolerance.

#include <algorithm>

#include "core/time_type.h"
#include "steer/quota_share_func.h"
#include "steer/quota_terms_type.h"

namespace sorrelplank {

namespace {

/// Fractions of the tolerance. The rest is for tokens granted in one window and
/// used in the next, and for two VMs that both act as the keeper while a fleet
/// change propagates.
constexpr double kBurstTolerance = 0.3;
constexpr double kInitialTolerance = 0.15;
constexpr double kFallbackTolerance = 0.2;

double SecondsOf(Duration time) {
  return ToMilliseconds(time) / 1000;
}

/// Requests that may run in a window beyond rate and burst.
double Tolerance(const QuotaTerms& terms, const QuotaBounds& bounds) {
  const double in_window =
      terms.m_rate_per_second * SecondsOf(bounds.m_window) + terms.m_burst;
  return bounds.m_excess * in_window + bounds.m_slack;
}

}  // namespace

QuotaShare KeeperShare(const QuotaTerms& terms,
                       const QuotaBounds& bounds,
                       size_t keepers) {
  const auto count = static_cast<double>(std::max<size_t>(1, keepers));
  const double tolerance = Tolerance(terms, bounds) / count;
  const double capacity = terms.m_burst / count + tolerance * kBurstTolerance;
  // A bucket that cannot hold one token would never grant any.
  return {.m_rate = terms.m_rate_per_second / count,
          .m_capacity = std::max(1.0, capacity),
          .m_initial = tolerance * kInitialTolerance};
}

QuotaShare FallbackShare(const QuotaTerms& terms,
                         const QuotaBounds& bounds,
                         size_t vms) {
  const auto count = static_cast<double>(std::max<size_t>(1, vms));
  const double window = std::max(0.001, SecondsOf(bounds.m_window));
  const double in_window =
      Tolerance(terms, bounds) * kFallbackTolerance / count;
  return {.m_rate = in_window / window, .m_capacity = 1, .m_initial = 0};
}

}  // namespace sorrelplank
