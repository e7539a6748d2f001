/// @file quota_bounds_type.h How exactly quotas must hold.

#ifndef SORRELPLANK_STEER_QUOTA_BOUNDS_TYPE_H_
#define SORRELPLANK_STEER_QUOTA_BOUNDS_TYPE_H_

#include "core/time_type.h"

namespace sorrelplank {

/// In any window rate x window + burst requests may run, more by the
/// excess and the slack: (rate x window + burst) x (1 + excess) + slack.
struct QuotaBounds {
  Duration m_window = seconds(5);
  /// A part; no unit.
  double m_excess = 0;
  /// Requests.
  double m_slack = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUOTA_BOUNDS_TYPE_H_
