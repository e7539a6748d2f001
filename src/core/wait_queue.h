/// @file wait_queue.h Queue of requests that wait for a slot.

#ifndef SORRELPLANK_CORE_WAIT_QUEUE_H_
#define SORRELPLANK_CORE_WAIT_QUEUE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "core/ids_type.h"
#include "core/time_type.h"

namespace sorrelplank {

/// A request in the queue.
struct QueuedRequest {
  RequestId m_request;
  CallerId m_caller;
  TimePoint m_deadline;
};

/// Small queue of one service, ordered by deadline. Callers that have more than
/// half of all running requests come after all others, so that a burst of one
/// caller does not starve them.
class WaitQueue {
 public:
  /// Adds a request. Returns false if the queue or the caller's share of it is
  /// full.
  bool TryPush(const QueuedRequest& waiting, size_t limit);

  /// Puts back a request that was popped and found no slot. No limit applies,
  /// as it was accepted before.
  void Requeue(const QueuedRequest& waiting);

  /// Removes and returns the next request.
  std::optional<QueuedRequest> Pop();

  /// Removes a request from any position. Returns whether it was queued.
  bool Remove(RequestId request);

  /// Removes and returns all requests with a deadline before the given time.
  std::vector<QueuedRequest> TakeExpired(TimePoint before);

  size_t Size() const { return m_waiting.size(); }

  /// Changes the number of running requests of a caller, which its priority
  /// depends on.
  void CountRunning(CallerId caller, int change);

 private:
  size_t CountWaiting(CallerId caller) const;
  /// Whether more than half of all running requests, and at least two, are of
  /// this caller.
  bool IsDominantCaller(CallerId caller) const;

  std::vector<QueuedRequest> m_waiting;
  std::map<CallerId, int> m_running;
  size_t m_total_running = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_WAIT_QUEUE_H_
