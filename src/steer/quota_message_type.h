/// @file quota_message_type.h Quota messages between entry VMs.

#ifndef SORRELPLANK_STEER_QUOTA_MESSAGE_TYPE_H_
#define SORRELPLANK_STEER_QUOTA_MESSAGE_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/ids_type.h"
#include "core/time_type.h"

namespace sorrelplank {

/// A rate limit that a backend server named.
struct NamedLimit {
  double m_per_second = 0;
  /// Time since the response that named it.
  Duration m_age{};
};

/// Asks the keeper of a quota for tokens. One token admits one request.
struct QuotaRequest {
  QuotaSubject m_subject;
  /// Matches a grant to the request of one VM.
  uint64_t m_number = 0;
  uint32_t m_tokens = 0;
  /// Set if the quota is a backend server's limit, which the keeper may not
  /// know yet.
  std::optional<NamedLimit> m_limit;
};

/// A quota request and its recipient.
struct AddressedQuotaRequest {
  /// Name of the keeper VM.
  std::string m_keeper;
  QuotaRequest m_quota_request;
};

/// The keeper's response.
struct QuotaGrant {
  QuotaSubject m_subject;
  uint64_t m_number = 0;
  uint32_t m_tokens = 0;
  /// False if the VM that was asked is not the keeper by its view of the fleet.
  bool m_is_keeper = false;
  /// Time until tokens are available for what was not granted.
  Duration m_wait{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUOTA_MESSAGE_TYPE_H_
