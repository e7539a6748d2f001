/// @file timeline_table.h Names of timeline event kinds, in order of the enum.

#ifndef SORRELPLANK_TABLE_TIMELINE_TABLE_H_
#define SORRELPLANK_TABLE_TIMELINE_TABLE_H_

#include <array>
#include <cstddef>

#include "core/timeline_event_type.h"

namespace sorrelplank {

inline constexpr std::array<const char*,
                            static_cast<std::size_t>(TimelineKind::kCount)>
    kTimelineKindNames{"started",
                       "ready",
                       "config_installed",
                       "config_refused",
                       "vm_up",
                       "vm_down",
                       "vm_leaving",
                       "backend_taken",
                       "backend_released",
                       "backend_set_aside",
                       "fenced",
                       "replaced",
                       "refused",
                       "handed_on",
                       "retried",
                       "platform_down",
                       "platform_up",
                       "stopping",
                       "stopped"};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TABLE_TIMELINE_TABLE_H_
