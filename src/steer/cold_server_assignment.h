/// @file cold_server_assignment.h Assigns each cold server to one entry VM.

#ifndef SORRELPLANK_STEER_COLD_SERVER_ASSIGNMENT_H_
#define SORRELPLANK_STEER_COLD_SERVER_ASSIGNMENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "steer/fleet_member_type.h"

namespace sorrelplank {

struct ServerEntry;

/// Each cold (recently started) server gets its requests from a single entry
/// VM, chosen by rendezvous hashing (highest random weight) among the VMs of
/// the server's failure domain. If that has none, the VMs of the region are
/// used, and then the whole fleet. VMs with the same view of the fleet agree
/// without exchanging messages.
///
/// Load pattern: thousands of servers are replaced while a fleet of hundreds of
/// VMs changes. A result is therefore cached until a VM joins or leaves the
/// group that it was chosen from.
class ColdServerAssignment {
 public:
  /// `regions` maps failure domains to regions.
  ColdServerAssignment(std::map<std::string, std::string> regions,
                       std::string own_vm);

  void SetFleet(const std::vector<FleetMember>& fleet);
  bool IsAssignedHere(const ServerEntry& server);
  /// This VM's part of a limit that the VMs of the server's region share. The
  /// parts of all VMs sum to the limit; VMs of other regions have none.
  uint32_t ShareOf(const ServerEntry& server, uint32_t limit);
  /// Number of weights computed so far.
  uint64_t WeightsComputed() const { return m_weights_computed; }

 private:
  /// VMs that a server's sender is chosen from.
  struct Group {
    /// Names, in the fleet's order.
    std::vector<std::string> m_vms;
    /// Changes whenever m_vms does.
    uint64_t m_generation = 0;
  };
  struct CachedRank {
    const Group* m_group;
    uint64_t m_generation;
    size_t m_rank;
  };
  /// By instance.
  using RankCache = std::unordered_map<std::string, CachedRank>;

  /// The group that senders for the domain's servers are chosen from.
  const Group& GroupOf(const std::string& failure_domain) const;
  /// The VMs of the domain's region; the whole fleet if it has none.
  const Group& RegionGroupOf(const std::string& failure_domain) const;
  /// How many VMs of the group go before this one for the server; the size of
  /// the group if this VM is not in it.
  size_t RankIn(const Group& group,
                const ServerEntry& server,
                RankCache& cache);
  size_t ComputeRank(const Group& group, const ServerEntry& server);
  void Replace(Group& group, std::vector<std::string> vms);

  std::map<std::string, std::string> m_regions;
  std::string m_own_vm;
  std::map<std::string, Group> m_domains;
  std::map<std::string, Group> m_by_region;
  Group m_all;
  uint64_t m_next_generation = 1;
  /// Ranks in GroupOf() and in RegionGroupOf().
  RankCache m_ranks;
  RankCache m_region_ranks;
  uint64_t m_weights_computed = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_COLD_SERVER_ASSIGNMENT_H_
