/// @file quota_message_type.h What entry VMs tell each other of quotas.

#ifndef SORRELPLANK_STEER_QUOTA_MESSAGE_TYPE_H_
#define SORRELPLANK_STEER_QUOTA_MESSAGE_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/ids_type.h"
#include "core/time_type.h"

namespace sorrelplank {

/// A limit that a backend server named.
struct NamedLimit {
  double m_per_second = 0;
  /// Since the answer that named it.
  Duration m_age{};
};

/// An entry VM asks the keeper of a quota for tokens. One token
/// lets one request run.
struct QuotaAsk {
  QuotaSubject m_subject;
  /// Tells the answers to one VM's questions apart.
  uint64_t m_number = 0;
  uint32_t m_tokens = 0;
  /// Where the quota is a backend server's limit, which the keeper may not have
  /// heard of.
  std::optional<NamedLimit> m_limit;
};

/// A question and whom it goes to.
struct QuotaQuestion {
  /// Name of the keeper's VM.
  std::string m_keeper;
  QuotaAsk m_ask;
};

/// The keeper's answer.
struct QuotaGrant {
  QuotaSubject m_subject;
  uint64_t m_number = 0;
  uint32_t m_tokens = 0;
  /// False where the VM that was asked does not take itself for the keeper.
  bool m_is_keeper = false;
  /// When there will be a token for those that were not granted one.
  Duration m_wait{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUOTA_MESSAGE_TYPE_H_
