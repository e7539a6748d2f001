/// @file cold_server_assignment.cc Rendezvous hashing over groups of VMs, with
/// a cache.

#include "steer/cold_server_assignment.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "steer/server_entry_type.h"

namespace sorrelplank {

namespace {

/// Cache size; a full cache is cleared and filled again on demand.
constexpr size_t kMaxCachedAssignments = 16384;

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
  const Group& region = m_by_region.at(m_regions.at(failure_domain));
  return region.m_vms.empty() ? m_all : region;
}

bool ColdServerAssignment::IsAssignedHere(const ServerEntry& server) {
  const Group& group = GroupOf(server.m_failure_domain);
  const auto known = m_cached.find(server.m_instance);
  const bool is_known = known != m_cached.end() &&
                        known->second.m_group == &group &&
                        known->second.m_generation == group.m_generation;
  if (is_known) {
    return known->second.m_is_assigned_here;
  }
  if (m_cached.size() >= kMaxCachedAssignments) {
    m_cached.clear();
  }
  const bool is_own = ComputeIsAssignedHere(server, group);
  m_cached[server.m_instance] = {&group, group.m_generation, is_own};
  return is_own;
}

bool ColdServerAssignment::ComputeIsAssignedHere(const ServerEntry& server,
                                                 const Group& group) {
  const bool is_among_them = std::find(group.m_vms.begin(), group.m_vms.end(),
                                       m_own_vm) != group.m_vms.end();
  if (!is_among_them) {
    return false;
  }
  m_weights_computed += group.m_vms.size();
  const uint64_t own = NameWeight(server.m_instance, m_own_vm);
  return std::none_of(group.m_vms.begin(), group.m_vms.end(),
                      [&](const std::string& vm) {
                        return NameWeight(server.m_instance, vm) < own;
                      });
}

}  // namespace sorrelplank
