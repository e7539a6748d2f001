/// @file load_peers.cc Choice of the VMs that are told loads.

#include "proxy/load_peers_func.h"

#include "config/field_check.h"

namespace sorrelplank {

std::vector<VmAddress> ChooseLoadPeers(const std::vector<FleetMember>& fleet,
                                       const FleetMember& own,
                                       uint16_t port) {
  const bool tells_all = fleet.size() <= kMostLoadPeers + 1;
  std::vector<VmAddress> peers;
  for (const FleetMember& member : fleet) {
    const bool is_peer = member.m_vm != own.m_vm &&
                         (tells_all || member.m_region == own.m_region);
    VmAddress address;
    if (is_peer &&
        ParseAddress(member.m_client_address, address.m_ip, address.m_port)) {
      address.m_port = port;
      peers.push_back(address);
    }
  }
  return peers;
}

}  // namespace sorrelplank
