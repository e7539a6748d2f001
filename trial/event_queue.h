/// @file event_queue.h Event queue of a discrete-event simulation.

#ifndef SORRELPLANK_TRIAL_EVENT_QUEUE_H_
#define SORRELPLANK_TRIAL_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/time_type.h"

namespace sorrelplank::trial {

/// Runs callbacks in order of simulated time. Callbacks of the same time run in
/// the order in which they were scheduled, so that a seed always gives the same
/// run.
class EventQueue {
 public:
  using Callback = std::function<void()>;

  void At(TimePoint time, Callback callback) {
    m_events.push(
        {std::max(time, m_now), m_next_sequence++, std::move(callback)});
  }
  void After(Duration delay, Callback callback) {
    At(m_now + delay, std::move(callback));
  }

  TimePoint Now() const { return m_now; }

  /// Runs the next callback; returns false if there is none.
  bool RunOne() {
    if (m_events.empty()) {
      return false;
    }
    // top() gives const access only; moving is safe, as the entry is popped
    // right after.
    Entry entry = std::move(const_cast<Entry&>(m_events.top()));
    m_events.pop();
    m_now = entry.m_time;
    entry.m_callback();
    return true;
  }

 private:
  struct Entry {
    TimePoint m_time;
    uint64_t m_sequence;
    Callback m_callback;
    bool operator<(const Entry& other) const {
      return m_time != other.m_time ? m_time > other.m_time
                                    : m_sequence > other.m_sequence;
    }
  };

  TimePoint m_now{seconds(1000)};
  uint64_t m_next_sequence = 0;
  std::priority_queue<Entry> m_events;
};

}  // namespace sorrelplank::trial

#endif  // SORRELPLANK_TRIAL_EVENT_QUEUE_H_
