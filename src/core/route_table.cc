/// @file route_table.cc Construction of the route table.

#include "core/route_table.h"

#include <algorithm>

namespace sorrelplank {

void RouteTable::Build(const Snapshot& snapshot,
                       PlaceId own_place,
                       Membership& membership,
                       bool skip_leaving,
                       TimePoint now) {
  m_routes.clear();
  for (auto& [name, member] : membership.All()) {
    const VmRecord& record = member.m_record;
    const auto place = snapshot.FindPlace(record.m_place);
    const bool is_usable = place && record.m_ready && !record.m_leaving &&
                           membership.IsAlive(member, now);
    if (!is_usable || (skip_leaving && snapshot.Get(*place).m_leaving)) {
      continue;
    }
    const Duration latency = PlaceLatency(snapshot, own_place, *place);
    for (auto& [service, estimate] : member.m_slot_estimates) {
      m_routes[service].push_back(
          {&member, &estimate, record.m_place, latency});
    }
  }
  for (auto& [service, routes] : m_routes) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route& a, const Route& b) {
                       return a.m_latency < b.m_latency;
                     });
  }
}

const std::vector<Route>& RouteTable::RoutesOf(NameHash service) const {
  static const std::vector<Route> none;
  const auto it = m_routes.find(service);
  return it == m_routes.end() ? none : it->second;
}

Duration PlaceLatency(const Snapshot& snapshot, PlaceId a, PlaceId b) {
  const Place& first = snapshot.Get(a);
  const Place& second = snapshot.Get(b);
  if (first.m_region != second.m_region) {
    return snapshot.m_policy.m_region_latency;
  }
  return snapshot.m_policy.m_domain_latency;
}

}  // namespace sorrelplank
