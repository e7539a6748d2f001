/// @file route_rule_type.h One route of the routing table.

#ifndef SORRELPLANK_STEER_ROUTE_RULE_TYPE_H_
#define SORRELPLANK_STEER_ROUTE_RULE_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/time_type.h"

namespace sorrelplank {

/// A service that receives a share of a route's requests.
struct BackendShare {
  std::string m_service;
  /// Relative to the sum over the route's shares; no unit.
  double m_weight = 1;
};

/// Properties and target services of the requests with one host and path
/// prefix.
struct RouteRule {
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_prefix;
  /// Whether a request may run more than once.
  bool m_idempotent = false;
  /// Maximum time until the response to the client.
  Duration m_timeout = seconds(1);
  /// Responses within this time have full value for the caller.
  Duration m_target_latency = seconds(1);
  /// 0 is the most urgent.
  int m_priority = 0;
  /// Maximum number of backend servers that a request is sent to, the first
  /// included.
  uint32_t m_max_sends = 1;
  /// Whether requests on one object prefer the same server, which works faster
  /// on objects that it handled recently.
  bool m_has_object_affinity = false;
  /// Whether requests are accepted without a key.
  bool m_is_public = false;
  /// Regions that may run the requests; empty: all.
  std::vector<std::string> m_home_regions;
  /// Never empty.
  std::vector<BackendShare> m_shares;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_ROUTE_RULE_TYPE_H_
