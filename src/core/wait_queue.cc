/// @file wait_queue.cc Order and limits of queued requests.

#include "core/wait_queue.h"

#include <algorithm>
#include <tuple>

namespace sorrelplank {

bool WaitQueue::TryPush(const QueuedRequest& waiting, size_t limit) {
  if (m_waiting.size() >= limit) {
    return false;
  }
  // One caller may fill at most three quarters of the queue, so that a burst of
  // it always leaves room for others.
  const size_t caller_limit = std::max<size_t>(1, limit * 3 / 4);
  if (CountWaiting(waiting.m_caller) >= caller_limit) {
    return false;
  }
  m_waiting.push_back(waiting);
  return true;
}

void WaitQueue::Requeue(const QueuedRequest& waiting) {
  m_waiting.push_back(waiting);
}

std::optional<QueuedRequest> WaitQueue::Pop() {
  if (m_waiting.empty()) {
    return std::nullopt;
  }
  const auto rank = [&](const QueuedRequest& waiting) {
    return std::make_tuple(IsDominantCaller(waiting.m_caller),
                           waiting.m_deadline, waiting.m_request);
  };
  const auto next =
      std::min_element(m_waiting.begin(), m_waiting.end(),
                       [&](const QueuedRequest& a, const QueuedRequest& b) {
                         return rank(a) < rank(b);
                       });
  const QueuedRequest chosen = *next;
  m_waiting.erase(next);
  return chosen;
}

bool WaitQueue::Remove(RequestId request) {
  return std::erase_if(m_waiting, [&](const QueuedRequest& waiting) {
           return waiting.m_request == request;
         }) > 0;
}

std::vector<QueuedRequest> WaitQueue::TakeExpired(TimePoint before) {
  std::vector<QueuedRequest> expired;
  std::erase_if(m_waiting, [&](const QueuedRequest& waiting) {
    if (waiting.m_deadline >= before) {
      return false;
    }
    expired.push_back(waiting);
    return true;
  });
  return expired;
}

void WaitQueue::CountRunning(CallerId caller, int change) {
  const auto it = m_running.try_emplace(caller, 0).first;
  it->second += change;
  m_total_running += static_cast<size_t>(change);
  if (it->second <= 0) {
    m_running.erase(it);
  }
}

bool WaitQueue::IsDominantCaller(CallerId caller) const {
  const auto it = m_running.find(caller);
  const size_t running =
      it == m_running.end() ? 0 : static_cast<size_t>(it->second);
  return 2 * running > m_total_running && running > 1;
}

size_t WaitQueue::CountWaiting(CallerId caller) const {
  return static_cast<size_t>(std::count_if(m_waiting.begin(), m_waiting.end(),
                                           [&](const QueuedRequest& waiting) {
                                             return waiting.m_caller == caller;
                                           }));
}

}  // namespace sorrelplank
