/// @file slot_time_fraction_func.h Fraction of a request's latency spent in a
/// slot.

#ifndef SORRELPLANK_STEER_SLOT_TIME_FRACTION_FUNC_H_
#define SORRELPLANK_STEER_SLOT_TIME_FRACTION_FUNC_H_

#include <algorithm>
#include <cstdint>

#include "steer/attempt_report_type.h"

namespace sorrelplank {

/// Fraction (0..1) of its latency that an answered request occupied a slot. A
/// server with a queue serves, on average, the requests that it reports as
/// waiting before this one. 1 if the server reports no load.
inline double SlotTimeFraction(const AttemptReport& report, uint32_t slots) {
  if (!report.m_load) {
    return 1;
  }
  const double there = report.m_load->m_running + report.m_load->m_waiting;
  return slots / std::max<double>(slots, there);
}

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SLOT_TIME_FRACTION_FUNC_H_
