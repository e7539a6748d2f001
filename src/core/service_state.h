/// @file service_state.h Per-service state of an entry VM.

#ifndef SORRELPLANK_CORE_SERVICE_STATE_H_
#define SORRELPLANK_CORE_SERVICE_STATE_H_

#include <algorithm>
#include <deque>
#include <utility>

#include "core/ids_type.h"
#include "core/retry_budget.h"
#include "core/time_type.h"
#include "core/wait_queue.h"

namespace sorrelplank {

/// Queue, retry budget and measured run time of one service.
class ServiceState {
 public:
  explicit ServiceState(Duration expected_run) : m_run_time(expected_run) {}

  WaitQueue& Queue() { return m_queue; }
  RetryBudget& Budget() { return m_budget; }

  /// Moving average of the run time; the expected run time from the
  /// configuration before the first answer.
  Duration RunTime() const { return m_run_time; }

  /// Counts an answered run.
  void CountRun(Duration took) { m_run_time += (took - m_run_time) / 16; }

  /// Adds an entry VM of our region whose request found no free slot here.
  void AddSlotWaiter(const VmName& vm, TimePoint now) {
    if (m_slot_waiters.size() < kMaxSlotWaiters) {
      m_slot_waiters.emplace_back(vm, now);
    }
  }

  /// Removes and returns the first VM added that may still have its request
  /// waiting; empty if there is none.
  VmName TakeSlotWaiter(TimePoint now) {
    while (!m_slot_waiters.empty()) {
      const auto [vm, since] = m_slot_waiters.front();
      m_slot_waiters.pop_front();
      if (now - since < 2 * m_run_time) {
        return vm;
      }
    }
    return {};
  }

  /// Estimated time until a newly queued request gets a slot.
  Duration EstimateWait(uint32_t slots) const {
    const auto ahead = static_cast<int64_t>(m_queue.Size()) + 1;
    return m_run_time * ahead / std::max<int64_t>(1, slots);
  }

 private:
  static constexpr size_t kMaxSlotWaiters = 64;

  WaitQueue m_queue;
  RetryBudget m_budget;
  Duration m_run_time;
  std::deque<std::pair<VmName, TimePoint>> m_slot_waiters;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_SERVICE_STATE_H_
