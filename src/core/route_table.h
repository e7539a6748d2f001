/// @file route_table.h Other entry VMs by latency, for forwarding requests.

#ifndef SORRELPLANK_CORE_ROUTE_TABLE_H_
#define SORRELPLANK_CORE_ROUTE_TABLE_H_

#include <unordered_map>
#include <vector>

#include "core/ids_type.h"
#include "core/membership.h"
#include "core/snapshot_type.h"
#include "core/time_type.h"

namespace sorrelplank {

/// An entry VM that may take requests of one service.
struct Route {
  Member* m_member = nullptr;
  SlotEstimate* m_estimate = nullptr;
  NameHash m_place;
  /// One-way latency, from the configuration.
  Duration m_latency{};
};

/// Routes per service, nearest first. Rebuilt when membership or configuration
/// changes, so that a routing decision only iterates over an array.
class RouteTable {
 public:
  /// Builds the routes from all live VMs that are ready, not leaving and, with
  /// skip_leaving, not at a leaving place. The members must stay valid until
  /// the next build.
  void Build(const Snapshot& snapshot,
             PlaceId own_place,
             Membership& membership,
             bool skip_leaving,
             TimePoint now);

  /// Returns the routes of a service.
  const std::vector<Route>& RoutesOf(NameHash service) const;

 private:
  std::unordered_map<NameHash, std::vector<Route>> m_routes;
};

/// Returns the one-way latency between two places, by their regions.
Duration PlaceLatency(const Snapshot& snapshot, PlaceId a, PlaceId b);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_ROUTE_TABLE_H_
