/// @file key_memory.cc Recording and expiry of idempotency keys.

#include "core/key_memory.h"

#include <algorithm>

namespace sorrelplank {

KeyRecord KeyMemory::Find(KeyHash key) const {
  const auto it = m_records.find(key);
  return it == m_records.end() ? KeyRecord{} : it->second;
}

void KeyMemory::Begin(KeyHash key,
                      RequestId request,
                      uint32_t send,
                      TimePoint now) {
  StoreRecord(key, {KeyState::kInProgress, request, send, now});
}

void KeyMemory::End(KeyHash key, KeyState state) {
  const auto it = m_records.find(key);
  if (it != m_records.end()) {
    it->second.m_state = state;
  }
}

KeyState KeyMemory::AnswerPeerQuery(KeyHash key, uint32_t send, TimePoint now) {
  const KeyRecord known = Find(key);
  switch (known.m_state) {
    case KeyState::kNeverSeen:
      if (now < m_incomplete_until) {
        return KeyState::kUnknown;
      }
      StoreRecord(key, {KeyState::kClaimedByPeer, RequestId(), send, now});
      return KeyState::kNeverSeen;
    case KeyState::kNotRun:
    case KeyState::kClaimedByPeer:
      // The querying VM is going to run the request, so this VM must not.
      StoreRecord(key, {KeyState::kClaimedByPeer, known.m_request,
                        std::max(send, known.m_send), now});
      return known.m_state == KeyState::kClaimedByPeer ? KeyState::kNeverSeen
                                                       : KeyState::kNotRun;
    default:
      return known.m_state;
  }
}

void KeyMemory::Expire(TimePoint now) {
  while (!m_expiry_order.empty() &&
         m_expiry_order.front().first + m_window <= now) {
    const auto it = m_records.find(m_expiry_order.front().second);
    const bool is_latest = it != m_records.end() &&
                           it->second.m_since == m_expiry_order.front().first;
    if (is_latest && it->second.m_state != KeyState::kInProgress) {
      m_records.erase(it);
    }
    m_expiry_order.pop_front();
  }
}

void KeyMemory::StoreRecord(KeyHash key, KeyRecord record) {
  if (m_records.size() >= kMaxKeys && !m_expiry_order.empty()) {
    const auto [since, oldest] = m_expiry_order.front();
    m_expiry_order.pop_front();
    m_records.erase(oldest);
    m_incomplete_until = std::max(m_incomplete_until, since + m_window);
  }
  m_records[key] = record;
  m_expiry_order.emplace_back(record.m_since, key);
}

}  // namespace sorrelplank
