/// @file directory.cc Choice of entry VMs for a client.

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <tuple>

#include "proxy/directory_func.h"

namespace sorrelplank {

namespace {

using Members = std::vector<const FleetMember*>;
using MemberTest = std::function<bool(const FleetMember&)>;

/// Processor and link that go together in the smallest VMs.
constexpr double kUnitCores = 0.1;
constexpr double kUnitMbps = 20;
/// Part of a failure domain's processor and link that its clients are sent to,
/// the largest VMs first. Clients use all addresses alike, and a small VM would
/// get as much as a large one; the others stand by.
constexpr double kCarryingPart = 1.0 / 3;
/// At least so many addresses, so that one VM's end is felt by few clients.
constexpr size_t kLeastAddresses = 8;
/// VMs of a failure domain from which on a part of them is enough. With fewer,
/// clients get all VMs of their region.
constexpr size_t kLargeDomain = 40;

Members Matching(const std::vector<FleetMember>& fleet,
                 const MemberTest& test) {
  Members members;
  for (const FleetMember& member : fleet) {
    if (test(member)) {
      members.push_back(&member);
    }
  }
  return members;
}

/// Members of the client's region; where it has none, of the home regions, else
/// all.
Members Eligible(const std::vector<FleetMember>& fleet,
                 const DirectoryQuery& query) {
  const auto& homes = query.m_home_regions;
  const MemberTest tests[] = {[&](const FleetMember& member) {
                                return member.m_region == query.m_region;
                              },
                              [&](const FleetMember& member) {
                                return std::find(homes.begin(), homes.end(),
                                                 member.m_region) !=
                                       homes.end();
                              },
                              [](const FleetMember&) { return true; }};
  for (const MemberTest& test : tests) {
    Members members = Matching(fleet, test);
    if (!members.empty()) {
      return members;
    }
  }
  return {};
}

/// How much of the load the VM can carry; 1 for the smallest, and where it is
/// not known.
double WeightOf(const VmCapacity& capacity) {
  if (capacity.m_cores <= 0 || capacity.m_link_mbps <= 0) {
    return 1;
  }
  return std::min(capacity.m_cores / kUnitCores,
                  capacity.m_link_mbps / kUnitMbps);
}

/// Those of the own domain first, and the larger ones of each; of a large
/// domain a part is enough. The order among VMs of one size is by hash, the
/// same in every VM that is asked: one VM more or less changes one address.
Members OwnAndLargestFirst(const Members& members,
                           const std::string& own_domain) {
  using Place = std::tuple<bool, double, uint64_t, const FleetMember*>;
  std::vector<Place> places;
  places.reserve(members.size());
  double own_weight = 0;
  size_t own_count = 0;
  for (const FleetMember* member : members) {
    const bool is_elsewhere = member->m_failure_domain != own_domain;
    const double weight = WeightOf(member->m_capacity);
    own_weight += is_elsewhere ? 0 : weight;
    own_count += is_elsewhere ? 0 : 1;
    places.emplace_back(is_elsewhere, -weight,
                        XXH3_64bits(member->m_vm.data(), member->m_vm.size()),
                        member);
  }
  std::sort(places.begin(), places.end());
  const double wanted = own_weight * kCarryingPart;
  Members chosen;
  double carried = 0;
  for (const auto& [is_elsewhere, minus_weight, hash, member] : places) {
    const bool is_enough = own_count >= kLargeDomain &&
                           chosen.size() >= kLeastAddresses &&
                           carried >= wanted;
    if (is_enough || chosen.size() == kMostDirectoryAddresses) {
      break;
    }
    carried -= minus_weight;
    chosen.push_back(member);
  }
  return chosen;
}

}  // namespace

std::vector<const FleetMember*> ChooseClientVms(
    const std::vector<FleetMember>& fleet,
    const DirectoryQuery& query) {
  const Members members = Eligible(fleet, query);
  return members.size() > kMostDirectoryAddresses
             ? OwnAndLargestFirst(members, query.m_failure_domain)
             : members;
}

std::vector<std::string> ChooseAddresses(const std::vector<FleetMember>& fleet,
                                         const DirectoryQuery& query) {
  std::vector<std::string> addresses;
  for (const FleetMember* member : ChooseClientVms(fleet, query)) {
    addresses.push_back(member->m_client_address);
  }
  return addresses;
}

}  // namespace sorrelplank
