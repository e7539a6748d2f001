/// @file held_backend.h State of a backend server at its holder.

#ifndef SORRELPLANK_CORE_HELD_BACKEND_H_
#define SORRELPLANK_CORE_HELD_BACKEND_H_

#include <cstdint>
#include <deque>

#include "core/attempt_outcome_type.h"
#include "core/rate_window.h"
#include "core/time_type.h"

namespace sorrelplank {

/// Exact state of one held backend server. Load reports of the server never
/// raise its limit: they lag and can be wrong, while the holder counts the
/// requests itself.
class HeldBackend {
 public:
  /// A newly held server starts with a low limit: its caches may be cold.
  HeldBackend(uint32_t slots, TimePoint now);

  /// Sets when the server was taken over, also when it is held again after a
  /// pause during which another VM may have held it.
  void SetHeldSince(TimePoint now) { m_held_since = now; }

  /// Applies a configuration change.
  void SetSlots(uint32_t slots);

  /// Free slots within the adaptive limit.
  uint32_t FreeSlots(TimePoint now);

  /// Takes one slot. The caller must have checked that one is free.
  void Take(TimePoint now);

  /// Releases the slot, given the outcome and the duration of the attempt.
  void Finish(AttemptOutcome outcome, Duration took, TimePoint now);

  /// Requests in flight, including those aborted less than kAbortGrace ago.
  uint32_t InFlight(TimePoint now);

  /// Whether the server is ejected after consecutive failures.
  bool IsEjected(TimePoint now) const { return now < m_ejected_until; }

  /// Moving average of the run time of answered requests; zero before the
  /// first.
  Duration RunTime() const { return m_run_time; }

  /// Slots by the configuration.
  uint32_t Slots() const { return m_slots; }

  /// Counts a request of a caller from another place, if the share of the shift
  /// cap allows it.
  bool TryCountShifted(uint32_t share, TimePoint now);

 private:
  void ExpireAborted(TimePoint now);
  void CountFailure(TimePoint now);

  uint32_t m_slots;
  uint32_t m_in_flight = 0;
  /// Adaptive limit: starts low, grows with each answer, shrinks when the
  /// server sheds a request.
  double m_limit;
  Duration m_run_time{};
  uint32_t m_failures_in_row = 0;
  TimePoint m_ejected_until{};
  /// Times at which the slots of aborted requests count as free again.
  std::deque<TimePoint> m_aborted;
  TimePoint m_held_since;
  RateWindow m_shift_window;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_HELD_BACKEND_H_
