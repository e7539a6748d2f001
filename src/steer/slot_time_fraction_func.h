/// @file slot_time_fraction_func.h How much of a request's time a slot was
/// taken.

#ifndef SORRELPLANK_STEER_SLOT_TIME_FRACTION_FUNC_H_
#define SORRELPLANK_STEER_SLOT_TIME_FRACTION_FUNC_H_

#include <algorithm>
#include <cstdint>

#include "steer/attempt_report_type.h"

namespace sorrelplank {

/// Part of its time at the server that an answered request had a slot, 0..1: a
/// server with a queue serves, on average, what it reports as waiting before a
/// request. 1 where it reports no load.
inline double SlotTimeFraction(const AttemptReport& report, uint32_t slots) {
  if (!report.m_load) {
    return 1;
  }
  const double there = report.m_load->m_running + report.m_load->m_waiting;
  return slots / std::max<double>(slots, there);
}

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SLOT_TIME_FRACTION_FUNC_H_
