/// @file usual_service_type.h What is usual for a service at the moment.

#ifndef SORRELPLANK_STEER_USUAL_SERVICE_TYPE_H_
#define SORRELPLANK_STEER_USUAL_SERVICE_TYPE_H_

#include "core/time_type.h"

namespace sorrelplank {

/// Over all servers of a service, as this entry VM meets them. One server is
/// judged against it: what all of them do is no fault of one.
struct UsualService {
  /// Median time of a request; zero while unknown.
  Duration m_latency{};
  /// Part of sends that servers reject though they have free slots, 0..1.
  double m_rejections = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_USUAL_SERVICE_TYPE_H_
