/// @file cold_server_assignment.h Which entry VM sends to a cold server.

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

/// Each cold server gets its requests from one entry VM: of its failure domain,
/// else of its region, else of all, by highest random weight. VMs with the same
/// view of the fleet agree without a message.
///
/// Load pattern: thousands of servers that are replaced, in a fleet of hundreds
/// of VMs that change meanwhile. An answer is kept until a VM of those it was
/// found among joins or leaves.
class ColdServerAssignment {
 public:
  /// The regions of failure domains, and this VM.
  ColdServerAssignment(std::map<std::string, std::string> regions,
                       std::string own_vm);

  void SetFleet(const std::vector<FleetMember>& fleet);
  bool IsAssignedHere(const ServerEntry& server);
  /// VMs that were weighed for a server so far.
  uint64_t WeightsComputed() const { return m_weights_computed; }

 private:
  /// VMs by name, in the fleet's order.
  struct Group {
    std::vector<std::string> m_vms;
    /// Changes with the VMs.
    uint64_t m_generation = 0;
  };
  struct CachedAssignment {
    const Group* m_group;
    uint64_t m_generation;
    bool m_is_assigned_here;
  };

  /// Among whose VMs the sender of a domain's servers is found.
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
