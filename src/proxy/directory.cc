/// @file directory.cc Selection of entry VMs for a client.

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <tuple>

#include "proxy/directory_func.h"

namespace sorrelplank {

namespace {

using Members = std::vector<const FleetMember*>;
using MemberPredicate = std::function<bool(const FleetMember&)>;

/// Processor cores and link speed of the smallest VM size.
constexpr double kSmallestVmCores = 0.1;
constexpr double kSmallestVmLinkMbps = 20;
/// Share of a failure domain's capacity that its clients are sent to, the
/// largest VMs first. Clients spread their load evenly over all addresses, so
/// that a small VM would get as much as a large one; the other VMs stand by.
constexpr double kTargetCapacityShare = 1.0 / 3;
/// Minimum number of addresses, so that the loss of one VM affects few clients.
constexpr size_t kMinAddresses = 8;
/// Number of VMs from which on a failure domain offers clients only a part of
/// them. In smaller ones clients get all VMs of their region.
constexpr size_t kLargeDomainVms = 40;

Members FilterMembers(const std::vector<FleetMember>& fleet,
                      const MemberPredicate& test) {
  Members members;
  for (const FleetMember& member : fleet) {
    if (test(member)) {
      members.push_back(&member);
    }
  }
  return members;
}

/// Returns the members of the client's region; if it has none, those of the
/// home regions; if these have none either, all members.
Members EligibleMembers(const std::vector<FleetMember>& fleet,
                        const DirectoryQuery& query) {
  const auto& homes = query.m_home_regions;
  const MemberPredicate tests[] = {
      [&](const FleetMember& member) {
        return member.m_region == query.m_region;
      },
      [&](const FleetMember& member) {
        return std::find(homes.begin(), homes.end(), member.m_region) !=
               homes.end();
      },
      [](const FleetMember&) { return true; }};
  for (const MemberPredicate& test : tests) {
    Members members = FilterMembers(fleet, test);
    if (!members.empty()) {
      return members;
    }
  }
  return {};
}

/// Capacity in multiples of the smallest VM size, limited by the scarcer of
/// processor and link; 1 if the capacity is unknown.
double CapacityWeight(const VmCapacity& capacity) {
  if (capacity.m_cores <= 0 || capacity.m_link_mbps <= 0) {
    return 1;
  }
  return std::min(capacity.m_cores / kSmallestVmCores,
                  capacity.m_link_mbps / kSmallestVmLinkMbps);
}

/// Selects members of the client's own domain first, larger VMs before smaller
/// ones; of a large domain only a part. VMs of equal size are ordered by a hash
/// of their name, which is the same on every VM that is asked: adding or
/// removing one VM changes one address.
Members SelectOwnDomainAndLargest(const Members& members,
                                  const std::string& own_domain) {
  using RankedMember = std::tuple<bool, double, uint64_t, const FleetMember*>;
  std::vector<RankedMember> ranked;
  ranked.reserve(members.size());
  double own_weight = 0;
  size_t own_count = 0;
  for (const FleetMember* member : members) {
    const bool is_other_domain = member->m_failure_domain != own_domain;
    const double weight = CapacityWeight(member->m_capacity);
    own_weight += is_other_domain ? 0 : weight;
    own_count += is_other_domain ? 0 : 1;
    ranked.emplace_back(is_other_domain, -weight,
                        XXH3_64bits(member->m_vm.data(), member->m_vm.size()),
                        member);
  }
  std::sort(ranked.begin(), ranked.end());
  const double target_weight = own_weight * kTargetCapacityShare;
  Members chosen;
  double chosen_weight = 0;
  for (const auto& [is_other_domain, negative_weight, hash, member] : ranked) {
    const bool is_enough = own_count >= kLargeDomainVms &&
                           chosen.size() >= kMinAddresses &&
                           chosen_weight >= target_weight;
    if (is_enough || chosen.size() == kMaxDirectoryAddresses) {
      break;
    }
    chosen_weight -= negative_weight;
    chosen.push_back(member);
  }
  return chosen;
}

}  // namespace

std::vector<const FleetMember*> ChooseClientVms(
    const std::vector<FleetMember>& fleet,
    const DirectoryQuery& query) {
  const Members members = EligibleMembers(fleet, query);
  return members.size() > kMaxDirectoryAddresses
             ? SelectOwnDomainAndLargest(members, query.m_failure_domain)
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
