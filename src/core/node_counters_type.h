/// @file node_counters_type.h Counters of the decision core.

#ifndef SORRELPLANK_CORE_NODE_COUNTERS_TYPE_H_
#define SORRELPLANK_CORE_NODE_COUNTERS_TYPE_H_

#include <array>
#include <cstdint>

#include "core/attempt_outcome_type.h"
#include "core/refusal_type.h"

namespace sorrelplank {

/// Monotonic counters; the process exports them as metrics.
struct NodeCounters {
  uint64_t m_calls = 0;
  uint64_t m_handed_on_here = 0;
  uint64_t m_answered = 0;
  uint64_t m_dispatched = 0;
  uint64_t m_handed_on = 0;
  uint64_t m_queued = 0;
  uint64_t m_replayed = 0;
  uint64_t m_late_ends = 0;
  uint64_t m_fences = 0;
  uint64_t m_gossip_records = 0;
  std::array<uint64_t, static_cast<size_t>(RefusalReason::kCount)> m_refused{};
  std::array<uint64_t, static_cast<size_t>(AttemptOutcome::kCount)>
      m_outcomes{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_NODE_COUNTERS_TYPE_H_
