/// @file machine_speed.cc Decay of a reported processing time.

#include "steer/machine_speed.h"

#include <algorithm>
#include <cmath>

namespace sorrelplank {

namespace {

/// Time within which a figure's difference from the usual halves: half of a
/// spell, since a report comes at any moment within one.
constexpr Duration kHalfLife = milliseconds(300);
/// A smaller difference counts as none. It is below the spread of the work
/// itself (a standard deviation of 0.15) and would only move objects to and fro
/// between two servers.
constexpr double kMinDeviation = 0.1;
/// Bounds of a reported factor, so that a wrong figure neither attracts all
/// requests to a server nor keeps them away for longer than some seconds.
constexpr double kMinFactor = 0.5;
constexpr double kMaxFactor = 10;

}  // namespace

void MachineSpeed::SetReported(std::optional<uint32_t> work_percent,
                               TimePoint as_of) {
  if (work_percent.value_or(0) == 0) {
    return;
  }
  m_reported = std::clamp(*work_percent / 100.0, kMinFactor, kMaxFactor);
  m_as_of = as_of;
}

double MachineSpeed::Factor(TimePoint now) const {
  const double age =
      std::max(0.0, ToMilliseconds(now - m_as_of) / ToMilliseconds(kHalfLife));
  const double deviation = (m_reported - 1) * std::exp2(-age);
  return std::abs(deviation) < kMinDeviation ? 1 : 1 + deviation;
}

}  // namespace sorrelplank
