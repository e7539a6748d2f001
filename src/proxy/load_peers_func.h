/// @file load_peers_func.h Which entry VMs are told the loads of servers.

#ifndef SORRELPLANK_PROXY_LOAD_PEERS_FUNC_H_
#define SORRELPLANK_PROXY_LOAD_PEERS_FUNC_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/vm_record_type.h"
#include "steer/fleet_member_type.h"

namespace sorrelplank {

/// Peers with which loads are told every 250 ms within the bound on bytes.
constexpr size_t kMostLoadPeers = 30;

/// Addresses at which peers take loads, on the given port. All other VMs where
/// they are few: a region with few servers sends to those of others. In larger
/// fleets those of the own region, which send to the same servers most often.
std::vector<VmAddress> ChooseLoadPeers(const std::vector<FleetMember>& fleet,
                                       const FleetMember& own,
                                       uint16_t port);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_LOAD_PEERS_FUNC_H_
