/// @file call_type.h A request in the pipeline.

#ifndef SORRELPLANK_CORE_CALL_TYPE_H_
#define SORRELPLANK_CORE_CALL_TYPE_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "core/ids_type.h"
#include "core/time_type.h"
#include "core/verdict_type.h"

namespace sorrelplank {

/// An entry VM to which the caller already sent the same key.
struct TriedVm {
  VmName m_name;
  Incarnation m_incarnation;
};

/// What a caller states about earlier sends of the same key.
struct TriedNone {};      ///< This is the first send.
struct TriedUnstated {};  ///< Not stated; any entry VM may have seen the key.
using TriedList = std::vector<TriedVm>;
using Tried = std::variant<TriedUnstated, TriedNone, TriedList>;

/// Number of this send of the key: 1 for the first, 0 if the caller does not
/// state it.
uint32_t SendNumber(const Tried& tried);

/// A request as received from a caller or from another entry VM.
struct IncomingCall {
  RequestId m_request;
  NameHash m_service;
  uint32_t m_caller_ip = 0;
  /// Set by the entry VM that forwarded the request; it has classified it.
  std::optional<NameHash> m_home_place;
  bool m_handed_on = false;
  /// The entry VM that forwarded it.
  VmName m_from;
  /// Time limit stated by the caller; if absent, the service's deadline
  /// applies.
  std::optional<Duration> m_time_left;
  size_t m_body_size = 0;
  /// Zero if there is no idempotency key.
  KeyHash m_key;
  Tried m_tried = TriedUnstated{};
};

/// Processing stage of a call.
enum class CallStage : uint8_t {
  kQueryingPeers,  ///< Waits for other entry VMs to report on its key.
  kWaiting,        ///< In the queue.
  kRunning,        ///< At a backend server or at another entry VM.
};

/// A classified request.
struct Call {
  RequestId m_request;
  NameHash m_service;
  CallerId m_caller;
  /// Home place of the caller; absent if no client block covers its address.
  std::optional<NameHash> m_home_place;
  TimePoint m_arrived{};
  TimePoint m_deadline{};
  bool m_idempotent = false;
  bool m_handed_on = false;
  VmName m_from;
  KeyHash m_key;
  Tried m_tried = TriedUnstated{};
  /// Worst verdict of all attempts so far. It never improves: a second attempt
  /// that certainly did not run says nothing about a first one that may have
  /// run.
  Verdict m_verdict = Verdict::kNotRun;
  CallStage m_stage = CallStage::kRunning;
  /// Key queries without an answer so far.
  uint32_t m_pending_queries = 0;
  /// The current attempt.
  AttemptId m_attempt;
  TimePoint m_attempt_started{};
  /// Set while the attempt is at a backend server held here.
  std::optional<NameHash> m_backend;
  /// Set while the request is forwarded to another entry VM.
  VmName m_peer;
  /// Entry VMs and backend servers that refused it or failed before.
  std::vector<VmName> m_tried_peers;
  std::vector<NameHash> m_tried_backends;
  uint32_t m_backend_attempts = 0;
  uint32_t m_peer_attempts = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_CALL_TYPE_H_
