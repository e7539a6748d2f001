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

/// Settings for the backend servers of one service.
struct ServiceRules {
  std::string m_name;
  /// Connections that one backend server accepts from all callers together.
  uint32_t m_max_connections = 0;
  /// How long a backend server is cold after its start.
  Duration m_cold_start{};
  /// Requests per second that a cold backend server can handle.
  double m_cold_per_second = 0;
};

/// Size limits and timeouts for client requests.
struct ClientLimits {
  size_t m_header_bytes = 16384;
  size_t m_body_bytes = 1U << 20U;
  Duration m_header_timeout = seconds(3);
  Duration m_idle_timeout = seconds(15);
};

/// Everything that operators configure; immutable once built.
struct RoutingTable {
  uint64_t m_version = 0;
  std::vector<RouteRule> m_routes;
  std::map<std::string, ServiceRules> m_services;
  ClientLimits m_limits;
  /// Organisations that may send requests; without it requests need no keys.
  std::optional<std::vector<Organisation>> m_organisations;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_ROUTING_TABLE_TYPE_H_
