/// @file event_ring.h The latest timeline events of the process.

#ifndef SORRELPLANK_SERVE_EVENT_RING_H_
#define SORRELPLANK_SERVE_EVENT_RING_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "core/timeline_event_type.h"

namespace sorrelplank {

/// Ring buffer of timeline events with their hybrid clock stamps.
class EventRing {
 public:
  explicit EventRing(size_t limit) : m_limit(limit) {}

  void Add(uint64_t stamp, TimelineEvent event);

  /// Returns the events that match every given filter ("service", "place",
  /// "request", "kind") as a JSON array. An empty filter value matches all.
  std::string ToJson(const std::string& vm,
                     const std::map<std::string, std::string>& filters) const;

 private:
  /// An event with its stamp.
  struct Entry {
    uint64_t m_stamp;
    TimelineEvent m_event;
  };

  size_t m_limit;
  std::deque<Entry> m_entries;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_EVENT_RING_H_
