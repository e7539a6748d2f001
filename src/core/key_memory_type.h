/// @file key_memory_type.h Record of an idempotency key at an entry VM.

#ifndef SORRELPLANK_CORE_KEY_MEMORY_TYPE_H_
#define SORRELPLANK_CORE_KEY_MEMORY_TYPE_H_

#include <cstdint>

#include "core/ids_type.h"
#include "core/time_type.h"

namespace sorrelplank {

/// State of the key of a non-idempotent request at one entry VM. The values are
/// sent between processes; never renumber them.
enum class KeyState : uint8_t {
  kNeverSeen = 0,      ///< Certainly never arrived here.
  kInProgress = 1,     ///< In progress here.
  kNotRun = 2,         ///< Ended; certainly did not run.
  kMayHaveRun = 3,     ///< Ended; may have run.
  kRan = 4,            ///< Ran; the answer may still be stored.
  kClaimedByPeer = 5,  ///< A peer was told that it may run the request.
  kUnknown = 6,        ///< Cannot tell: records were lost or removed early.
};

/// Record of a key.
struct KeyRecord {
  KeyState m_state = KeyState::kNeverSeen;
  RequestId m_request;
  /// Number of the caller's send that made the record: 1 for the first, 0 if
  /// not stated.
  uint32_t m_send = 0;
  TimePoint m_since{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_KEY_MEMORY_TYPE_H_
