/// @file node_driver.cc Passes events to the core and actions to the sinks.

#include "serve/node_driver.h"

#include <glog/logging.h>

#include <utility>

#include "serve/clock_func.h"

namespace sorrelplank {

namespace {

/// Kinds that occur per request: recorded in the ring but not logged.
bool IsPerRequest(TimelineKind kind) {
  return kind == TimelineKind::kRefused || kind == TimelineKind::kHandedOn ||
         kind == TimelineKind::kRetried;
}

}  // namespace

NodeDriver::NodeDriver(NodeIdentity identity, size_t timeline_events)
    : m_node(std::move(identity), Safeguards(), SteadyNow()),
      m_ring(timeline_events) {}

void NodeDriver::Feed(Event event) {
  m_queued_events.push_back(std::move(event));
  if (m_is_feeding) {
    return;
  }
  m_is_feeding = true;
  Actions actions;
  for (size_t next = 0; next < m_queued_events.size(); ++next) {
    const Event current = std::move(m_queued_events[next]);
    actions.clear();
    m_node.Handle(current, SteadyNow(), actions);
    for (const Action& action : actions) {
      DeliverAction(action);
    }
  }
  m_queued_events.clear();
  m_is_feeding = false;
}

void NodeDriver::AddTimelineEvent(TimelineKind kind,
                                  const std::string& detail) {
  DeliverAction(RecordEvent{{kind, "", "", "", detail}});
}

uint64_t NodeDriver::NextStamp() {
  return m_clock.Next(WallNow());
}

void NodeDriver::DeliverAction(const Action& action) {
  if (const auto* record = std::get_if<RecordEvent>(&action)) {
    const TimelineEvent& event = record->m_event;
    if (!IsPerRequest(event.m_kind)) {
      LOG(INFO) << TimelineKindName(event.m_kind) << " " << event.m_detail;
    }
    m_ring.Add(NextStamp(), event);
    return;
  }
  for (const Sink& sink : m_sinks) {
    sink(action);
  }
}

}  // namespace sorrelplank
