/// @file timeline_event.cc Names of timeline event kinds.

#include "core/timeline_event_type.h"

#include "table/timeline_table.h"

namespace sorrelplank {

const char* TimelineKindName(TimelineKind kind) {
  return kTimelineKindNames.at(static_cast<size_t>(kind));
}

}  // namespace sorrelplank
