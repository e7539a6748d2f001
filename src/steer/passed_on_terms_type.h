/// @file passed_on_terms_type.h Terms of a request that another entry VM passed
/// on.

#ifndef SORRELPLANK_STEER_PASSED_ON_TERMS_TYPE_H_
#define SORRELPLANK_STEER_PASSED_ON_TERMS_TYPE_H_

#include <cstdint>

namespace sorrelplank {

/// What the VM that received the request from its caller asks of this one.
struct PassedOnTerms {
  /// Version of the routing table there; an older one must not be used.
  uint64_t m_table_version = 0;
  /// Whether its data on servers and configuration may be outdated; if not,
  /// that of this VM must not be either.
  bool m_is_data_stale = false;
  /// Backend servers that the request may still be sent to.
  uint32_t m_max_sends = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_PASSED_ON_TERMS_TYPE_H_
