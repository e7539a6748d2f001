/// @file load_peers.cc Selection of the VMs that receive load datagrams.

#include <map>
#include <set>
#include <string>

#include "config/field_check.h"
#include "proxy/directory_func.h"
#include "proxy/load_peers_func.h"

namespace sorrelplank {

namespace {

/// Returns the VMs to which the directory sends clients of the region.
std::vector<const FleetMember*> ClientVmsOf(
    const std::string& region,
    const std::vector<FleetMember>& fleet) {
  std::set<std::string> domains;
  for (const FleetMember& member : fleet) {
    if (member.m_region == region) {
      domains.insert(member.m_failure_domain);
    }
  }
  std::map<std::string, const FleetMember*> by_name;
  for (const std::string& domain : domains) {
    for (const FleetMember* member :
         ChooseClientVms(fleet, {region, domain, {}})) {
      by_name[member->m_vm] = member;
    }
  }
  std::vector<const FleetMember*> members;
  members.reserve(by_name.size());
  for (const auto& [name, member] : by_name) {
    members.push_back(member);
  }
  return members;
}

}  // namespace

std::vector<VmAddress> ChooseLoadPeers(const std::vector<FleetMember>& fleet,
                                       const FleetMember& own,
                                       uint16_t port) {
  std::vector<const FleetMember*> members;
  members.reserve(fleet.size());
  if (fleet.size() <= kMaxLoadPeers + 1) {
    for (const FleetMember& member : fleet) {
      members.push_back(&member);
    }
  } else {
    members = ClientVmsOf(own.m_region, fleet);
  }
  std::vector<VmAddress> peers;
  for (const FleetMember* member : members) {
    VmAddress address;
    const bool is_peer =
        member->m_vm != own.m_vm &&
        ParseAddress(member->m_client_address, address.m_ip, address.m_port);
    if (is_peer) {
      address.m_port = port;
      peers.push_back(address);
    }
  }
  return peers;
}

}  // namespace sorrelplank
