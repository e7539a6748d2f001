/// @file load_peers_func.h Selection of the peers for the load exchange.

#ifndef SORRELPLANK_PROXY_LOAD_PEERS_FUNC_H_
#define SORRELPLANK_PROXY_LOAD_PEERS_FUNC_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/vm_record_type.h"
#include "steer/fleet_member_type.h"

namespace sorrelplank {

/// Number of peers that can receive loads every 250 ms within the bandwidth
/// limit of the load exchange.
constexpr size_t kMaxLoadPeers = 30;

/// Returns the addresses of the peers that receive loads, with the given port.
/// In a small fleet these are all other VMs, since a region with few servers
/// sends requests to the servers of other regions. In a larger fleet they are
/// the VMs of the own region, which mostly share its servers.
std::vector<VmAddress> ChooseLoadPeers(const std::vector<FleetMember>& fleet,
                                       const FleetMember& own,
                                       uint16_t port);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_LOAD_PEERS_FUNC_H_
