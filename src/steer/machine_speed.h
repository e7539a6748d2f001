/// @file machine_speed.h How long work currently takes on a server's machine.

#ifndef SORRELPLANK_STEER_MACHINE_SPEED_H_
#define SORRELPLANK_STEER_MACHINE_SPEED_H_

#include <cstdint>
#include <optional>

#include "core/time_type.h"

namespace sorrelplank {

/// Predicts the processing time on a server's machine from the newest figure
/// that the server reported.
///
/// Load pattern: servers on shared machines whose work takes 2.5 times as long
/// during 0.15 of the time, in spells of 0.6 s. A figure says much about the
/// next request, and nothing about one a second later.
class MachineSpeed {
 public:
  /// Sets the reported processing time in percent of the usual one. Nothing
  /// changes if it is absent or 0, which both mean that it was not reported.
  void SetReported(std::optional<uint32_t> work_percent, TimePoint as_of);

  /// Expected processing time in usual ones; 1 without a recent figure.
  double Factor(TimePoint now) const;

 private:
  double m_reported = 1;
  TimePoint m_as_of{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_MACHINE_SPEED_H_
