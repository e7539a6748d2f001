/// @file admission.h Admission of requests to a backend server's wait queue.

#ifndef SORRELPLANK_STEER_ADMISSION_H_
#define SORRELPLANK_STEER_ADMISSION_H_

#include <cstddef>
#include <optional>

#include "core/time_type.h"

namespace sorrelplank {

/// Shortest time after which a client may retry: about the time until a slot
/// becomes free.
inline constexpr Duration kMinRetryAfter = milliseconds(150);
/// Longest retry time: about as long as such an overload lasts.
inline constexpr Duration kMaxRetryAfter = milliseconds(1500);

/// This entry VM's queue of requests for one backend server.
struct QueueState {
  /// Number of requests that would be served before the new one.
  size_t m_ahead = 0;
  /// Completions per second at the server whose slots this VM can expect to
  /// get.
  double m_completions_per_second = 0;
  /// Mean latency of a request that finds a free slot in the server's region.
  Duration m_usual_latency{};
};

/// Time that a request has left.
struct WaitBudget {
  /// Until the route's target latency is exceeded; may be negative.
  Duration m_time_to_target{};
  /// Until the request is ended without a response.
  Duration m_time_to_deadline{};
};

/// Time in which the queue's server completes the given number of requests.
Duration DrainTime(const QueueState& queue, size_t requests);

/// Expected queueing time of a new request.
Duration ExpectedWait(const QueueState& queue);

/// Whether a request may be queued.
///
/// Load pattern: more requests than slots for several seconds. Queueing all of
/// them would make every response late, so requests that would miss their
/// target latency are refused at once, while the client still has time to
/// retry.
bool MayWait(const QueueState& queue, const WaitBudget& budget);

/// Time after which a client may retry a refused request: when the queue has
/// drained, with jitter by the seed (the request's number) so that requests
/// refused together are not retried together.
Duration RetryAfter(const QueueState& queue, uint64_t seed);

/// The time, with jitter as above but none earlier, within the same bounds.
Duration RetryAfterTime(Duration time, uint64_t seed);

/// The time with up to 25 % added or subtracted, chosen by the seed (the
/// request's number).
Duration Jitter(Duration time, uint64_t seed);
/// The time with up to 25 % added, chosen by the seed (the request's number).
Duration PositiveJitter(Duration time, uint64_t seed);

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_ADMISSION_H_
