/// @file cold_server_assignment.h Assigns each cold server to one entry VM.

#ifndef SORRELPLANK_STEER_COLD_SERVER_ASSIGNMENT_H_
#define SORRELPLANK_STEER_COLD_SERVER_ASSIGNMENT_H_

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
  struct CachedAssignment {
    const Group* m_group;
    uint64_t m_generation;
    bool m_is_assigned_here;
  };

  /// The group that senders for the domain's servers are chosen from.
  const Group& GroupOf(const std::string& failure_domain) const;
  bool ComputeIsAssignedHere(const ServerEntry& server, const Group& group);
  void Replace(Group& group, std::vector<std::string> vms);

  std::map<std::string, std::string> m_regions;
  std::string m_own_vm;
  std::map<std::string, Group> m_domains;
  std::map<std::string, Group> m_by_region;
  Group m_all;
  uint64_t m_next_generation = 1;
  /// By instance.
  std::unordered_map<std::string, CachedAssignment> m_cached;
  uint64_t m_weights_computed = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_COLD_SERVER_ASSIGNMENT_H_
