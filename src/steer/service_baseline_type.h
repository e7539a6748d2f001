/// @file service_baseline_type.h Current typical behaviour of a service.

#ifndef SORRELPLANK_STEER_SERVICE_BASELINE_TYPE_H_
#define SORRELPLANK_STEER_SERVICE_BASELINE_TYPE_H_

#include "core/time_type.h"

namespace sorrelplank {

/// Measured over all servers of a service by this entry VM. A single server is
/// compared with it, so that what all servers do is not counted against one.
struct ServiceBaseline {
  /// Median request latency; zero while unknown.
  Duration m_latency{};
  /// Fraction of sends that servers reject although they have free slots, 0..1.
  double m_rejections = 0;
  /// Mean time for which a request occupies a slot in the region in question;
  /// zero while unknown.
  Duration m_slot_time{};
  /// Whether the service's slots are spread unevenly over the regions.
  bool m_is_uneven = false;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVICE_BASELINE_TYPE_H_
