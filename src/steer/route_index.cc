/// @file route_index.cc Longest-prefix match.

#include "steer/route_index.h"

#include <algorithm>

#include "steer/routing_table_type.h"

namespace sorrelplank {

RouteIndex::RouteIndex(const RoutingTable& table) {
  for (const RouteRule& route : table.m_routes) {
    m_by_host[route.m_host].push_back(&route);
  }
  for (auto& [host, routes] : m_by_host) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const RouteRule* a, const RouteRule* b) {
                       return a->m_prefix.size() > b->m_prefix.size();
                     });
  }
}

const RouteRule* RouteIndex::Find(const std::string& host,
                                  const std::string& path) const {
  const auto it = m_by_host.find(host);
  if (it == m_by_host.end()) {
    return nullptr;
  }
  const auto route =
      std::find_if(it->second.begin(), it->second.end(),
                   [&path](const RouteRule* candidate) {
                     return path.starts_with(candidate->m_prefix);
                   });
  return route == it->second.end() ? nullptr : *route;
}

}  // namespace sorrelplank
