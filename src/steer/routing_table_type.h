/// @file routing_table_type.h One version of the routing configuration.

#ifndef SORRELPLANK_STEER_ROUTING_TABLE_TYPE_H_
#define SORRELPLANK_STEER_ROUTING_TABLE_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time_type.h"
#include "steer/organisation_type.h"
#include "steer/route_rule_type.h"

namespace sorrelplank {

/// How backend servers of one service are treated.
struct ServiceRules {
  std::string m_name;
  /// Connections that one backend server takes from all callers together.
  uint32_t m_most_connections = 0;
  /// How long a backend server is cold after its start.
  Duration m_cold_start{};
  /// Requests a second that a cold backend server bears.
  double m_cold_per_second = 0;
};

/// Bounds on what a client may send, and how long it may take.
struct ClientLimits {
  size_t m_header_bytes = 16384;
  size_t m_body_bytes = 1U << 20U;
  Duration m_header_timeout = seconds(3);
  Duration m_idle_timeout = seconds(15);
};

/// Everything that operators configure; never changed once built.
struct RoutingTable {
  uint64_t m_version = 0;
  std::vector<RouteRule> m_routes;
  std::map<std::string, ServiceRules> m_services;
  ClientLimits m_limits;
  /// Who may send requests; nothing: requests carry no keys.
  std::optional<std::vector<Organisation>> m_organisations;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_ROUTING_TABLE_TYPE_H_
