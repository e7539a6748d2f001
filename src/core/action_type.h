/// @file action_type.h Actions that the decision core asks the process to carry
/// out.

#ifndef SORRELPLANK_CORE_ACTION_TYPE_H_
#define SORRELPLANK_CORE_ACTION_TYPE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/ids_type.h"
#include "core/refusal_type.h"
#include "core/time_type.h"
#include "core/timeline_event_type.h"
#include "core/verdict_type.h"
#include "core/vm_record_type.h"

namespace sorrelplank {

/// Sends the request to a backend server.
struct DispatchToBackend {
  RequestId m_request;
  AttemptId m_attempt;
  NameHash m_backend;
  Duration m_time_left{};
  bool m_idempotent = false;
};

/// Forwards the request to another entry VM ("hands it on" in wire and metric
/// names).
struct HandOnToVm {
  RequestId m_request;
  AttemptId m_attempt;
  VmName m_vm;
  VmAddress m_address;
  NameHash m_home_place;
  CallerId m_caller;
  Duration m_time_left{};
};

/// Aborts an attempt. The process need not report how it ended.
struct CancelAttempt {
  AttemptId m_attempt;
};

/// Sends the answer of the attempt to the caller.
struct ForwardAnswer {
  RequestId m_request;
  AttemptId m_attempt;
};

/// Sends the caller the answer of an earlier request with the same key.
struct ReplayAnswer {
  RequestId m_request;
  RequestId m_original;
};

/// Sends the caller the answer that another entry VM has stored for the key.
struct ReplayPeerAnswer {
  RequestId m_request;
  VmName m_vm;
};

/// Refuses the request, to the caller or to the entry VM that forwarded it.
struct RefuseCall {
  RequestId m_request;
  RefusalReason m_reason = RefusalReason::kNoCapacity;
  Verdict m_verdict = Verdict::kNotRun;
  Duration m_retry_after{};
  /// Slots free here now, for an entry VM that forwarded the request.
  ServiceSlots m_slots;
};

/// Asks another entry VM for the state of a key there.
struct QueryKeyState {
  RequestId m_request;
  VmName m_vm;
  VmAddress m_address;
  Incarnation m_incarnation;
  KeyHash m_key;
  uint32_t m_send = 0;
};

/// Sends VM records (heartbeats) to another entry VM.
struct SendGossip {
  VmName m_vm;
  VmAddress m_address;
  std::vector<VmRecord> m_records;
  /// Asks for every known record in the answer; set shortly after start.
  bool m_wants_all = false;
};

/// Notifies an entry VM of the same region that a slot is free here now, or
/// that a request waits here for one.
struct SendSlotNotice {
  VmName m_vm;
  VmAddress m_address;
  ServiceSlots m_slots;
  bool m_is_slot_request = false;
};

/// Fetches the newer configuration that another VM runs from that VM.
struct FetchConfig {
  VmName m_vm;
  VmAddress m_address;
  ConfigVersion m_version;
};

/// Adds an event to the timeline.
struct RecordEvent {
  TimelineEvent m_event;
};

/// Nothing is left in flight; the process may exit.
struct ExitProcess {};

using Action = std::variant<DispatchToBackend,
                            HandOnToVm,
                            CancelAttempt,
                            ForwardAnswer,
                            ReplayAnswer,
                            ReplayPeerAnswer,
                            RefuseCall,
                            QueryKeyState,
                            SendGossip,
                            SendSlotNotice,
                            FetchConfig,
                            RecordEvent,
                            ExitProcess>;
using Actions = std::vector<Action>;

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_ACTION_TYPE_H_
