/// @file quota_directory.cc Rendezvous hashing over the VMs of a region.

#include "steer/quota_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace sorrelplank {

void QuotaDirectory::SetFleet(const std::vector<FleetMember>& fleet) {
  m_vms_by_region.clear();
  m_keeper_cache.clear();
  for (const FleetMember& member : fleet) {
    m_vms_by_region[member.m_region].push_back(member.m_vm);
  }
}

const std::string& QuotaDirectory::KeeperIn(const std::string& region,
                                            QuotaSubject subject) const {
  static const std::string none;
  const auto vms = m_vms_by_region.find(region);
  if (vms == m_vms_by_region.end()) {
    return none;
  }
  std::string& keeper = m_keeper_cache[region][subject];
  if (keeper.empty()) {
    const auto weight = [subject](const std::string& vm) {
      return XXH3_64bits_withSeed(vm.data(), vm.size(), subject.Get());
    };
    keeper = *std::max_element(
        vms->second.begin(), vms->second.end(),
        [&weight](const std::string& one, const std::string& other) {
          return weight(one) < weight(other);
        });
  }
  return keeper;
}

}  // namespace sorrelplank
