/// @file quota_bounds_type.h How far a quota may be exceeded.

#ifndef SORRELPLANK_STEER_QUOTA_BOUNDS_TYPE_H_
#define SORRELPLANK_STEER_QUOTA_BOUNDS_TYPE_H_

#include "core/time_type.h"

namespace sorrelplank {

/// Tolerance of a distributed quota. In any window at most (rate x window +
/// burst) x (1 + excess) + slack requests may run.
struct QuotaBounds {
  Duration m_window = seconds(5);
  /// Fraction; no unit.
  double m_excess = 0;
  /// Requests.
  double m_slack = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUOTA_BOUNDS_TYPE_H_
