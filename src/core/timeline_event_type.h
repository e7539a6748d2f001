/// @file timeline_event_type.h Events of the timeline.

#ifndef SORRELPLANK_CORE_TIMELINE_EVENT_TYPE_H_
#define SORRELPLANK_CORE_TIMELINE_EVENT_TYPE_H_

#include <cstdint>
#include <string>

namespace sorrelplank {

/// Kinds of timeline events; their names are in table/timeline_table.h.
enum class TimelineKind : uint8_t {
  kStarted,
  kReady,
  kConfigInstalled,
  kConfigRefused,
  kVmUp,
  kVmDown,
  kVmLeaving,
  kBackendTaken,
  kBackendReleased,
  kBackendSetAside,
  kFenced,
  kReplaced,
  kRefused,
  kHandedOn,
  kRetried,
  kPlatformDown,
  kPlatformUp,
  kStopping,
  kStopped,
  kCount
};

/// Returns the name of a kind, as used in filters.
const char* TimelineKindName(TimelineKind kind);

/// A timeline event without its time.
struct TimelineEvent {
  TimelineKind m_kind = TimelineKind::kStarted;
  std::string m_service;
  std::string m_place;
  std::string m_request;
  std::string m_detail;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_TIMELINE_EVENT_TYPE_H_
