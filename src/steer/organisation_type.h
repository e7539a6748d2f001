/// @file organisation_type.h A customer whose callers are told by keys.

#ifndef SORRELPLANK_STEER_ORGANISATION_TYPE_H_
#define SORRELPLANK_STEER_ORGANISATION_TYPE_H_

#include <optional>
#include <string>
#include <vector>

#include "steer/quota_terms_type.h"

namespace sorrelplank {

/// What a caller's key stands for.
struct Organisation {
  std::string m_name;
  /// Any of them names the organisation; no other organisation has them.
  std::vector<std::string> m_keys;
  /// Goes before the priority of the route; 0 is the most urgent.
  std::optional<int> m_priority;
  /// Requests a second over all entry VMs together; 0: no limit.
  double m_rate_per_second = 0;
  /// Requests beside the rate in any span of time.
  double m_burst = 0;
  /// Regions that may run the requests; empty: all.
  std::vector<std::string> m_home_regions;
};

/// Whether it may run only so many requests; false for nullptr.
inline bool HasLimit(const Organisation* organisation) {
  return organisation != nullptr && organisation->m_rate_per_second > 0;
}

inline QuotaTerms TermsOf(const Organisation& organisation) {
  return {organisation.m_rate_per_second, organisation.m_burst};
}

/// The name, or nothing for nullptr.
inline std::string NameOf(const Organisation* organisation) {
  return organisation == nullptr ? std::string() : organisation->m_name;
}

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_ORGANISATION_TYPE_H_
