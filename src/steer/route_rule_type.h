/// @file route_rule_type.h One route of the routing table.

#ifndef SORRELPLANK_STEER_ROUTE_RULE_TYPE_H_
#define SORRELPLANK_STEER_ROUTE_RULE_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/time_type.h"

namespace sorrelplank {

/// A service that takes part of a route's requests.
struct BackendShare {
  std::string m_service;
  /// Relative to the sum over the route's shares; no unit.
  double m_weight = 1;
};

/// What requests of one host and path prefix are and where they go.
struct RouteRule {
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_prefix;
  /// Whether a request may run more than once.
  bool m_idempotent = false;
  /// Longest time a request is kept unanswered.
  Duration m_timeout = seconds(1);
  /// An answer within this time is worth most to the caller.
  Duration m_target_latency = seconds(1);
  /// 0 is the most urgent.
  int m_priority = 0;
  /// Backend servers that one request may be sent to, the first included.
  uint32_t m_most_sends = 1;
  /// Backend servers work faster on objects that they handled lately.
  bool m_keeps_objects_together = false;
  /// Whether requests need no key.
  bool m_is_public = false;
  /// Regions that may run the requests; empty: all.
  std::vector<std::string> m_home_regions;
  /// Never empty.
  std::vector<BackendShare> m_shares;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_ROUTE_RULE_TYPE_H_
