/// @file node_driver.h Feeds the decision core and delivers its actions.

#ifndef SORRELPLANK_SERVE_NODE_DRIVER_H_
#define SORRELPLANK_SERVE_NODE_DRIVER_H_

#include <functional>
#include <vector>

#include "core/action_type.h"
#include "core/event_type.h"
#include "core/hybrid_clock.h"
#include "core/node.h"
#include "serve/event_ring.h"

namespace sorrelplank {

/// Owns the Node of this process. Call on the io thread only.
class NodeDriver {
 public:
  using Sink = std::function<void(const Action&)>;

  NodeDriver(NodeIdentity identity, size_t timeline_events);

  /// Adds a receiver of actions. Every sink gets all actions and ignores those
  /// that it doesn't handle.
  void AddSink(Sink sink) { m_sinks.push_back(std::move(sink)); }

  /// Passes an event to the core and the resulting actions to the sinks. Events
  /// that sinks feed in the meantime are queued and handled in order.
  void Feed(Event event);

  /// Adds an event of the process itself to the timeline.
  void AddTimelineEvent(TimelineKind kind, const std::string& detail);

  Node& Core() { return m_node; }
  const EventRing& Ring() const { return m_ring; }
  HybridClock& Clock() { return m_clock; }

  /// Returns the hybrid clock stamp for a message to send.
  uint64_t NextStamp();

 private:
  void DeliverAction(const Action& action);

  Node m_node;
  HybridClock m_clock;
  EventRing m_ring;
  std::vector<Sink> m_sinks;
  std::vector<Event> m_queued_events;
  bool m_is_feeding = false;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_NODE_DRIVER_H_
