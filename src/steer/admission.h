/// @file admission.h Whether a request that finds no free slot may wait.

#ifndef SORRELPLANK_STEER_ADMISSION_H_
#define SORRELPLANK_STEER_ADMISSION_H_

#include <cstddef>
#include <optional>

#include "core/time_type.h"

namespace sorrelplank {

/// The queue of this entry VM's requests that wait for one backend server.
struct QueueState {
  /// Requests that would be served before the new one.
  size_t m_ahead = 0;
  /// Ends a second at the server that this VM may expect to use.
  double m_completions_per_second = 0;
  /// Usual time of one request at a backend server.
  Duration m_usual_latency{};
};

/// What a request needs of its wait.
struct WaitBudget {
  /// Time until an answer stops being worth most; may be negative.
  Duration m_time_to_target{};
  /// Time until the request ends unanswered.
  Duration m_time_to_deadline{};
};

/// How long a new request would wait.
Duration ExpectedWait(const QueueState& queue);

/// Whether it may wait.
///
/// Load pattern: more requests than slots for seconds. Letting all of them wait
/// makes every answer late; so those that would miss the target are turned away
/// at once, while they still have time to come back.
bool MayWait(const QueueState& queue, const WaitBudget& budget);

/// When a refused request may come back: once the queue has emptied, seed by
/// the request's own number, so that those refused together do not return
/// together.
Duration RetryAfter(const QueueState& queue, uint64_t seed);

/// The time made longer or shorter by up to a quarter, by the request's own
/// number.
Duration Jitter(Duration time, uint64_t seed);
/// The time made longer by up to a quarter, by the request's own number.
Duration PositiveJitter(Duration time, uint64_t seed);

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_ADMISSION_H_
