/// @file key_memory.h Idempotency keys of non-idempotent requests seen by this
/// entry VM.

#ifndef SORRELPLANK_CORE_KEY_MEMORY_H_
#define SORRELPLANK_CORE_KEY_MEMORY_H_

#include <deque>
#include <unordered_map>
#include <utility>

#include "core/key_memory_type.h"

namespace sorrelplank {

/// Remembers idempotency keys for a time window, so that a repeated request
/// runs only once.
///
/// A repeat may reach another entry VM, which then queries those that the
/// caller tried before. The answer kNeverSeen is binding: the key is marked as
/// claimed by a peer, and an earlier send that arrives late is refused as
/// superseded. Without the mark, a request delayed in the network would run
/// after its repeat did. Sends are told apart by their number, since a late one
/// may itself be a repeat.
class KeyMemory {
 public:
  explicit KeyMemory(Duration window) : m_window(window) {}

  /// Returns the record of a key.
  KeyRecord Find(KeyHash key) const;

  /// Records that a request with this key is in progress.
  void Begin(KeyHash key, RequestId request, uint32_t send, TimePoint now);

  /// Sets the state of the key after its request ended.
  void End(KeyHash key, KeyState state);

  /// Answers another VM that received the given send of the key. If the answer
  /// allows that VM to run the request, this one will refuse earlier sends.
  KeyState AnswerPeerQuery(KeyHash key, uint32_t send, TimePoint now);

  /// Removes records that are older than the window.
  void Expire(TimePoint now);

  void SetWindow(Duration window) { m_window = window; }
  size_t Size() const { return m_records.size(); }

 private:
  /// About 64 bytes per key, so 6 MB at most.
  static constexpr size_t kMaxKeys = 100000;

  void StoreRecord(KeyHash key, KeyRecord record);

  Duration m_window;
  std::unordered_map<KeyHash, KeyRecord> m_records;
  std::deque<std::pair<TimePoint, KeyHash>> m_expiry_order;
  /// Until then kNeverSeen cannot be answered, because records were removed
  /// before their window ended.
  TimePoint m_incomplete_until{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_KEY_MEMORY_H_
