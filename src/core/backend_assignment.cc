/// @file backend_assignment.cc Even assignment by highest random weight.

#include <xxhash.h>

#include <algorithm>
#include <map>

#include "core/backend_assignment_func.h"

namespace sorrelplank {

namespace {

uint64_t Weight(NameHash backend, const VmName& vm) {
  return XXH3_64bits_withSeed(vm.data(), vm.size(), backend.Get());
}

/// Returns the VMs by descending weight for one backend server.
std::vector<VmName> RankVms(NameHash backend, std::vector<VmName> vms) {
  std::sort(vms.begin(), vms.end(), [&](const VmName& a, const VmName& b) {
    const uint64_t weight_a = Weight(backend, a);
    const uint64_t weight_b = Weight(backend, b);
    return weight_a != weight_b ? weight_a > weight_b : a < b;
  });
  return vms;
}

/// Assigns the servers of one service.
void AssignService(std::vector<NameHash> backends,
                   const std::vector<VmName>& vms,
                   std::map<VmName, size_t>& total,
                   std::unordered_map<NameHash, VmName>& assignment) {
  std::sort(backends.begin(), backends.end());
  std::map<VmName, size_t> count;
  const size_t max_per_vm = (backends.size() + vms.size() - 1) / vms.size();
  for (const NameHash backend : backends) {
    const std::vector<VmName> ranked = RankVms(backend, vms);
    // If the servers of a service do not divide evenly, VMs with fewer servers
    // over all services get the extra ones. Otherwise the remainders of all
    // services could end up at the same VM.
    const auto chosen = std::min_element(
        ranked.begin(), ranked.end(), [&](const VmName& a, const VmName& b) {
          const bool full_a = count[a] >= max_per_vm;
          const bool full_b = count[b] >= max_per_vm;
          return full_a != full_b ? full_b : total[a] < total[b];
        });
    assignment[backend] = *chosen;
    ++count[*chosen];
    ++total[*chosen];
  }
}

}  // namespace

std::unordered_map<NameHash, VmName> AssignBackends(
    const Snapshot& snapshot,
    PlaceId place,
    const std::vector<VmName>& vms) {
  std::unordered_map<NameHash, VmName> assignment;
  if (vms.empty()) {
    return assignment;
  }
  std::map<ServiceId, std::vector<NameHash>> by_service;
  for (const BackendServer& backend : snapshot.m_backends) {
    if (backend.m_place == place) {
      by_service[backend.m_service].push_back(backend.m_hash);
    }
  }
  std::map<VmName, size_t> total;
  for (auto& [service, backends] : by_service) {
    AssignService(std::move(backends), vms, total, assignment);
  }
  return assignment;
}

}  // namespace sorrelplank
