/// @file send_forecast.cc Wait for a slot, work and network of an attempt.

#include "steer/send_forecast.h"

#include <algorithm>

#include "steer/server_state.h"

namespace sorrelplank {

namespace {

/// Time by which a slot may become free later than on average, in slot times:
/// after a burst the slots' requests end together rather than one after the
/// other. Replay of send_forecast_test.cc: with 0, 0.5, 0.75 and 1, of 222
/// requests at twice the capacity 42, 4, 0 and 0 were cut off and 124, 142, 142
/// and 141 answered; of 133 at 1.2 times, 12, 2, 0 and 0, and 126, 132, 130 and
/// 128.
constexpr double kWaitMargin = 0.75;

}  // namespace

double SendForecast::Surplus() const {
  const auto queued = static_cast<double>(m_conditions.m_queued_ahead);
  return std::max(0.0,
                  m_conditions.m_occupancy + queued + 1 - m_conditions.m_slots);
}

Duration SendForecast::Wait() const {
  const double slots = std::max(1U, m_conditions.m_slots);
  return std::chrono::duration_cast<Duration>(m_conditions.m_slot_time *
                                              (Surplus() / slots));
}

std::optional<Duration> SendForecast::TimeToAnswer() const {
  if (!m_conditions.m_cached_work) {
    return std::nullopt;
  }
  const double factor =
      m_conditions.m_is_cached ? 1 : ServerState::kCacheMissFactor;
  const auto work = std::chrono::duration_cast<Duration>(
      *m_conditions.m_cached_work * factor);
  return Wait() + work + m_conditions.m_round_trip;
}

std::optional<Duration> SendForecast::TimeNeeded() const {
  const std::optional<Duration> to_answer = TimeToAnswer();
  if (!to_answer || Surplus() == 0) {
    return to_answer;
  }
  return *to_answer + std::chrono::duration_cast<Duration>(
                          m_conditions.m_slot_time * kWaitMargin);
}

bool SendForecast::CanFinish(const AnswerTime& time) const {
  const std::optional<Duration> needed = TimeNeeded();
  if (!needed || *needed <= time.m_left) {
    return true;
  }
  if (Surplus() > 0) {
    return false;
  }
  // A free slot costs no other request its place. The object may be cached
  // although this VM does not know it, and a service that usually takes longer
  // than callers allow would otherwise never be tried again. With less than
  // half of its time left, a request would only be cut off.
  const Duration shortest =
      *m_conditions.m_cached_work + m_conditions.m_round_trip;
  return shortest <= time.m_left ||
         (shortest > time.m_full && 2 * time.m_left >= time.m_full);
}

Duration SendForecast::TimeUntilItCan(const AnswerTime& time) const {
  const Duration needed = TimeNeeded().value_or(Duration::zero());
  // Once a slot is free, it can in any case.
  return std::clamp<Duration>(needed - time.m_full, Duration::zero(), Wait());
}

}  // namespace sorrelplank
