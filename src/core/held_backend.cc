/// @file held_backend.cc Slots, slow start and ejection of a backend server.

#include "core/held_backend.h"

#include <algorithm>
#include <cmath>

#include "core/invariant_func.h"
#include "core/timing_type.h"

namespace sorrelplank {

namespace {

constexpr double kColdStartShare = 0.5;
constexpr double kShedLimitFactor = 0.7;
constexpr double kRunTimeEwmaWeight = 0.1;
constexpr uint32_t kFailuresToEject = 3;
constexpr Duration kMinEjection = milliseconds(250);
constexpr Duration kMaxEjection = seconds(4);

/// Whether the server may still be busy with the request after the attempt
/// ended here.
bool MayStillRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kDeadlineAfterSend ||
         outcome == AttemptOutcome::kCancelledAfterSend ||
         outcome == AttemptOutcome::kSentPartly;
}

}  // namespace

HeldBackend::HeldBackend(uint32_t slots, TimePoint now)
    : m_slots(slots),
      m_limit(std::max(1.0, slots * kColdStartShare)),
      m_held_since(now) {}

void HeldBackend::SetSlots(uint32_t slots) {
  m_slots = slots;
  m_limit = std::min(m_limit, std::max<double>(1, slots));
}

uint32_t HeldBackend::FreeSlots(TimePoint now) {
  const uint32_t limit =
      std::min(m_slots, static_cast<uint32_t>(std::lround(m_limit)));
  const uint32_t busy = InFlight(now);
  return busy >= limit ? 0 : limit - busy;
}

void HeldBackend::Take(TimePoint now) {
  ++m_in_flight;
  Invariant(InFlight(now) <= m_slots,
            "a backend server is never given more requests than its slots");
}

void HeldBackend::Finish(AttemptOutcome outcome, Duration took, TimePoint now) {
  Invariant(m_in_flight > 0, "a finished request was in flight");
  --m_in_flight;
  if (MayStillRun(outcome)) {
    m_aborted.push_back(now + kAbortGrace);
  }
  if (outcome == AttemptOutcome::kShed) {
    m_limit = std::max(1.0, m_limit * kShedLimitFactor);
    return;
  }
  if (outcome == AttemptOutcome::kAnswered) {
    m_failures_in_row = 0;
    m_limit = std::min<double>(m_slots, m_limit + 1.0 / m_limit);
    m_run_time =
        m_run_time == Duration{}
            ? took
            : Duration(static_cast<int64_t>(std::lround(
                  static_cast<double>(m_run_time.count()) *
                      (1 - kRunTimeEwmaWeight) +
                  static_cast<double>(took.count()) * kRunTimeEwmaWeight)));
    return;
  }
  if (DescribeOutcome(outcome).m_is_failure) {
    CountFailure(now);
  }
}

bool HeldBackend::TryCountShifted(uint32_t share, TimePoint now) {
  // The former holder may have used up the share of the current second, which
  // is not in this window. After one window span its requests no longer count.
  if (now - m_held_since < RateWindow::kSpan) {
    return false;
  }
  return m_shift_window.TryTake(share, now);
}

uint32_t HeldBackend::InFlight(TimePoint now) {
  ExpireAborted(now);
  return m_in_flight + static_cast<uint32_t>(m_aborted.size());
}

void HeldBackend::ExpireAborted(TimePoint now) {
  while (!m_aborted.empty() && m_aborted.front() <= now) {
    m_aborted.pop_front();
  }
}

void HeldBackend::CountFailure(TimePoint now) {
  ++m_failures_in_row;
  if (m_failures_in_row < kFailuresToEject) {
    return;
  }
  const uint32_t doublings = std::min(m_failures_in_row - kFailuresToEject, 4U);
  m_ejected_until =
      now + std::min(kMaxEjection, kMinEjection * (1 << doublings));
}

}  // namespace sorrelplank
