/// @file return_schedule.h When the callers rejected at one server return.

#ifndef SORRELPLANK_STEER_RETURN_SCHEDULE_H_
#define SORRELPLANK_STEER_RETURN_SCHEDULE_H_

#include <cstdint>

#include "core/time_type.h"

namespace sorrelplank {

struct QueueState;

/// Gives the callers that are rejected for want of a server's slots times one
/// after the other.
///
/// Load pattern: a burst of requests for one server is rejected within
/// milliseconds. With one time for all, give or take a quarter, the callers
/// return as a burst and are rejected for good. Here each one gets the time at
/// which one more slot is expected to become free. If the load lasts, that time
/// is soon later than every caller's target; therefore slots that a caller can
/// use in time are given first, and the callers left over get later ones.
class ReturnSchedule {
 public:
  /// The time after which the next rejected caller returns; the seed (the
  /// request's number) places it within its slot's time, since other VMs reject
  /// callers of the same server at the same moment.
  /// `in_time` is the latest time at which it can still meet its target.
  Duration Next(const QueueState& queue,
                Duration in_time,
                uint64_t seed,
                TimePoint now);

 private:
  /// The latest slots given to callers that return in time, and to others.
  TimePoint m_last_in_time;
  TimePoint m_last_late;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_RETURN_SCHEDULE_H_
