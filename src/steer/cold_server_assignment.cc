/// @file cold_server_assignment.cc Rendezvous hashing over groups of VMs, with
/// a cache.

#include "steer/cold_server_assignment.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "steer/server_entry_type.h"

namespace sorrelplank {

namespace {

/// Size of each cache; a full one is cleared and filled again on demand.
constexpr size_t kMaxCachedRanks = 16384;

uint64_t Weight(uint64_t seed, const std::string& name) {
  return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

uint64_t NameWeight(const std::string& a, const std::string& b) {
  return Weight(Weight(0, a), b);
}

}  // namespace

ColdServerAssignment::ColdServerAssignment(
    std::map<std::string, std::string> regions,
    std::string own_vm)
    : m_regions(std::move(regions)), m_own_vm(std::move(own_vm)) {
  for (const auto& [domain, region] : m_regions) {
    m_domains[domain];
    m_by_region[region];
  }
}

void ColdServerAssignment::SetFleet(const std::vector<FleetMember>& fleet) {
  std::map<std::string, std::vector<std::string>> domains;
  std::map<std::string, std::vector<std::string>> regions;
  std::vector<std::string> all;
  for (const FleetMember& member : fleet) {
    domains[member.m_failure_domain].push_back(member.m_vm);
    regions[member.m_region].push_back(member.m_vm);
    all.push_back(member.m_vm);
  }
  for (auto& [domain, group] : m_domains) {
    Replace(group, std::move(domains[domain]));
  }
  for (auto& [region, group] : m_by_region) {
    Replace(group, std::move(regions[region]));
  }
  Replace(m_all, std::move(all));
}

void ColdServerAssignment::Replace(Group& group, std::vector<std::string> vms) {
  if (group.m_vms != vms) {
    group.m_vms = std::move(vms);
    group.m_generation = m_next_generation++;
  }
}

const ColdServerAssignment::Group& ColdServerAssignment::GroupOf(
    const std::string& failure_domain) const {
  const auto domain = m_domains.find(failure_domain);
  if (domain == m_domains.end()) {
    return m_all;
  }
  if (!domain->second.m_vms.empty()) {
    return domain->second;
  }
  return RegionGroupOf(failure_domain);
}

const ColdServerAssignment::Group& ColdServerAssignment::RegionGroupOf(
    const std::string& failure_domain) const {
  const auto region = m_regions.find(failure_domain);
  if (region == m_regions.end()) {
    return m_all;
  }
  const Group& group = m_by_region.at(region->second);
  return group.m_vms.empty() ? m_all : group;
}

bool ColdServerAssignment::IsAssignedHere(const ServerEntry& server) {
  const Group& group = GroupOf(server.m_failure_domain);
  return !group.m_vms.empty() && RankIn(group, server, m_ranks) == 0;
}

uint32_t ColdServerAssignment::ShareOf(const ServerEntry& server,
                                       uint32_t limit) {
  const Group& group = RegionGroupOf(server.m_failure_domain);
  const size_t rank = RankIn(group, server, m_region_ranks);
  const auto vms = static_cast<uint32_t>(group.m_vms.size());
  if (rank >= vms) {
    return 0;
  }
  return limit / vms + (rank < limit % vms ? 1 : 0);
}

size_t ColdServerAssignment::RankIn(const Group& group,
                                    const ServerEntry& server,
                                    RankCache& cache) {
  const auto known = cache.find(server.m_instance);
  const bool is_known = known != cache.end() &&
                        known->second.m_group == &group &&
                        known->second.m_generation == group.m_generation;
  if (is_known) {
    return known->second.m_rank;
  }
  if (cache.size() >= kMaxCachedRanks) {
    cache.clear();
  }
  const size_t rank = ComputeRank(group, server);
  cache[server.m_instance] = {&group, group.m_generation, rank};
  return rank;
}

size_t ColdServerAssignment::ComputeRank(const Group& group,
                                         const ServerEntry& server) {
  const bool is_among_them = std::find(group.m_vms.begin(), group.m_vms.end(),
                                       m_own_vm) != group.m_vms.end();
  if (!is_among_them) {
    return group.m_vms.size();
  }
  m_weights_computed += group.m_vms.size();
  const uint64_t own = NameWeight(server.m_instance, m_own_vm);
  return static_cast<size_t>(std::count_if(
      group.m_vms.begin(), group.m_vms.end(), [&](const std::string& vm) {
        return NameWeight(server.m_instance, vm) < own;
      }));
}

}  // namespace sorrelplank
