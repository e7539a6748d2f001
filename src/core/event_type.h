/// @file event_type.h Events that the decision core handles.

#ifndef SORRELPLANK_CORE_EVENT_TYPE_H_
#define SORRELPLANK_CORE_EVENT_TYPE_H_

#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "core/attempt_outcome_type.h"
#include "core/call_type.h"
#include "core/key_memory_type.h"
#include "core/snapshot_type.h"
#include "core/vm_record_type.h"

namespace sorrelplank {

/// A request was received.
struct CallArrived {
  IncomingCall m_call;
};

/// The caller closed its connection.
struct CallerLeft {
  RequestId m_request;
};

/// An attempt ended.
struct AttemptEnded {
  AttemptId m_attempt;
  AttemptOutcome m_outcome = AttemptOutcome::kNoAnswer;
  /// Slots free at the peer now; from peers only.
  std::optional<ServiceSlots> m_slots;
  /// When the peer expects a free slot; from peers that refused only.
  Duration m_retry_after{};
};

/// Answer of another entry VM to QueryKeyState; kUnknown if there was none.
struct KeyStateReceived {
  RequestId m_request;
  VmName m_vm;
  KeyState m_state = KeyState::kUnknown;
};

/// VM records (heartbeats) were received.
struct GossipArrived {
  std::vector<VmRecord> m_records;
};

/// Another VM of the same region reports its free slots, or requests a slot.
struct SlotNoticeArrived {
  VmName m_vm;
  ServiceSlots m_slots;
  bool m_is_slot_request = false;
};

/// A newer configuration was fetched and checked.
struct SnapshotInstalled {
  std::shared_ptr<const Snapshot> m_snapshot;
};

/// Addresses of entry VMs for bootstrapping, from the settings or the platform.
struct SeedsLearned {
  std::vector<VmAddress> m_seeds;
};

/// Timer event, every few milliseconds.
struct Tick {};

/// The process was asked to stop.
struct StopRequested {};

using Event = std::variant<CallArrived,
                           CallerLeft,
                           AttemptEnded,
                           KeyStateReceived,
                           GossipArrived,
                           SlotNoticeArrived,
                           SnapshotInstalled,
                           SeedsLearned,
                           Tick,
                           StopRequested>;

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_EVENT_TYPE_H_
