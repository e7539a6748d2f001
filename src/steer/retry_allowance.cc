/// @file retry_allowance.cc The sliding window of requests and second sends.

#include "steer/retry_allowance.h"

#include <algorithm>

namespace sorrelplank {

// The present tick counts whole, so one more covers the window.
RetryAllowance::RetryAllowance(Duration window)
    : m_tick_length(window / static_cast<int64_t>(kTicks - 1)) {}

void RetryAllowance::CountRequest(TimePoint now) {
  Roll(now);
  ++m_ticks[static_cast<size_t>(m_tick) % kTicks].m_requests;
}

bool RetryAllowance::TrySpend(double ratio, double extra, TimePoint now) {
  Roll(now);
  uint32_t requests = 0;
  uint32_t resends = 0;
  for (const Tick& tick : m_ticks) {
    requests += tick.m_requests;
    resends += tick.m_resends;
  }
  if (resends + 1 > ratio * requests + extra) {
    return false;
  }
  ++m_ticks[static_cast<size_t>(m_tick) % kTicks].m_resends;
  return true;
}

void RetryAllowance::Roll(TimePoint now) {
  const int64_t tick = now.time_since_epoch() / m_tick_length;
  if (tick - m_tick >= static_cast<int64_t>(kTicks)) {
    m_ticks.fill({});
    m_tick = tick;
    return;
  }
  while (m_tick < tick) {
    ++m_tick;
    m_ticks[static_cast<size_t>(m_tick) % kTicks] = {};
  }
}

}  // namespace sorrelplank
