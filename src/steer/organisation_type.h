/// @file organisation_type.h A customer whose callers authenticate by key.

#ifndef SORRELPLANK_STEER_ORGANISATION_TYPE_H_
#define SORRELPLANK_STEER_ORGANISATION_TYPE_H_

#include <optional>
#include <string>
#include <vector>

#include "steer/quota_terms_type.h"

namespace sorrelplank {

/// A customer, identified by the callers' keys.
struct Organisation {
  std::string m_name;
  /// Each key identifies this organisation only.
  std::vector<std::string> m_keys;
  /// Overrides the route's priority; 0 is the most urgent.
  std::optional<int> m_priority;
  /// Requests per second over all entry VMs together; 0: no limit.
  double m_rate_per_second = 0;
  /// Requests beyond the rate in any span of time.
  double m_burst = 0;
  /// Regions that may run the requests; empty: all.
  std::vector<std::string> m_home_regions;
};

/// Whether the organisation has a rate limit; false for nullptr.
inline bool HasLimit(const Organisation* organisation) {
  return organisation != nullptr && organisation->m_rate_per_second > 0;
}

inline QuotaTerms TermsOf(const Organisation& organisation) {
  return {organisation.m_rate_per_second, organisation.m_burst};
}

/// The name; empty for nullptr.
inline std::string NameOf(const Organisation* organisation) {
  return organisation == nullptr ? std::string() : organisation->m_name;
}

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_ORGANISATION_TYPE_H_
