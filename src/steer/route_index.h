/// @file route_index.h Lookup of routes by host and path.

#ifndef SORRELPLANK_STEER_ROUTE_INDEX_H_
#define SORRELPLANK_STEER_ROUTE_INDEX_H_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace sorrelplank {

struct RoutingTable;
struct RouteRule;

/// Routes by host, longest prefix first.
class RouteIndex {
 public:
  /// The table must outlive the index.
  explicit RouteIndex(const RoutingTable& table);

  /// The route of the host with the longest prefix of the path, or nullptr.
  const RouteRule* Find(const std::string& host, const std::string& path) const;

 private:
  std::unordered_map<std::string, std::vector<const RouteRule*>> m_by_host;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_ROUTE_INDEX_H_
